//! Rules that the sources of this crate keep, as their readers set them.
#![allow(clippy::disallowed_methods)] // The test reads the crate's own sources; the crate itself reads no file.

use std::path::{Path, PathBuf};

const MAX_LINES: usize = 500;
const MAX_LINE_CHARACTERS: usize = 110;
/// The only module with a random generator; its seed comes from the host.
const RANDOM_MODULE: &str = "random.rs";
/// Modules of the interface. Every other one holds decisions, and is listed as policy in the deploy file.
const INTERFACE: [&str; 9] = [
    "actions.rs",
    "class_definition.rs",
    "events.rs",
    "lib.rs",
    "numbers.rs",
    "request.rs",
    "settings.rs",
    "specifics.rs",
    "time.rs",
];

struct Module {
    /// Path below `src/`.
    name: String,
    text: String,
}

fn sources() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("src")
}

fn collect(folder: &Path, modules: &mut Vec<Module>) {
    for entry in std::fs::read_dir(folder).expect("the sources are beside the test") {
        let path = entry.expect("an entry of the sources").path();
        if path.is_dir() {
            collect(&path, modules);
            continue;
        }
        let name = path.strip_prefix(sources()).expect("below src").to_string_lossy().into_owned();
        let text = std::fs::read_to_string(&path).expect("a source file is text");
        modules.push(Module { name, text });
    }
}

fn modules() -> Vec<Module> {
    let mut modules = Vec::new();
    collect(&sources(), &mut modules);
    assert!(modules.len() > INTERFACE.len(), "the sources are found");
    modules
}

#[test]
fn each_module_stays_within_its_size() {
    for Module { name, text } in modules() {
        let lines = text.lines().count();
        assert!(lines <= MAX_LINES, "{name} has {lines} lines; {MAX_LINES} at most");
        for (number, line) in text.lines().enumerate() {
            let characters = line.chars().count();
            assert!(
                characters <= MAX_LINE_CHARACTERS,
                "{name}:{} has {characters} characters; {MAX_LINE_CHARACTERS} at most",
                number + 1
            );
        }
    }
}

#[test]
fn each_module_says_first_what_it_is_for() {
    for Module { name, text } in modules() {
        assert!(text.starts_with("//! "), "{name} begins with its documentation");
    }
}

#[test]
fn chance_comes_from_one_module_and_time_from_the_host() {
    for Module { name, text } in modules() {
        for random in ["rand::", "rand_pcg", "rand_core", "getrandom"] {
            assert!(name == RANDOM_MODULE || !text.contains(random), "{name} uses {random}");
        }
        for clock in ["std::time", "Instant", "SystemTime", "chrono"] {
            assert!(!text.contains(clock), "{name} uses {clock}");
        }
    }
}

#[test]
fn no_module_imports_by_wildcard() {
    for Module { name, text } in modules() {
        let wildcard =
            text.lines().find(|line| line.trim_start().starts_with("use ") && line.contains("::*"));
        assert_eq!(wildcard, None, "{name}");
    }
}

#[test]
fn the_deploy_file_lists_every_module_that_decides() {
    let deploy = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../deploy/balancer.toml");
    let deploy = std::fs::read_to_string(deploy).expect("the deploy file");
    for Module { name, .. } in modules() {
        let is_listed = deploy.contains(&format!("/src/{name}\""));
        let is_interface = INTERFACE.contains(&name.as_str());
        assert_ne!(is_listed, is_interface, "{name}: listed as policy {is_listed}, interface {is_interface}");
    }
}
