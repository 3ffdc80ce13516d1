//! Checks of the sources of this crate: size, documentation, imports, and use of randomness and clocks.
#![allow(clippy::disallowed_methods)] // This test reads the sources of the crate; the crate itself reads no files.

use std::path::{Path, PathBuf};

const MAX_LINES: usize = 500;
const MAX_LINE_CHARACTERS: usize = 110;
/// The only module that may use a random generator, which the host seeds.
const RANDOM_MODULE: &str = "random.rs";
/// Modules of the public interface. All others make decisions, and are listed as policy in the deploy file.
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
    /// Path relative to `src/`.
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
    assert!(modules.len() > INTERFACE.len(), "no sources found");
    modules
}

#[test]
fn modules_stay_within_the_size_limits() {
    for Module { name, text } in modules() {
        let lines = text.lines().count();
        assert!(lines <= MAX_LINES, "{name} has {lines} lines, more than {MAX_LINES}");
        for (number, line) in text.lines().enumerate() {
            let characters = line.chars().count();
            assert!(
                characters <= MAX_LINE_CHARACTERS,
                "{name}:{} has {characters} characters, more than {MAX_LINE_CHARACTERS}",
                number + 1
            );
        }
    }
}

#[test]
fn modules_start_with_documentation() {
    for Module { name, text } in modules() {
        assert!(text.starts_with("//! "), "{name} does not start with documentation");
    }
}

#[test]
fn only_one_module_draws_random_numbers_and_none_reads_a_clock() {
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
fn deploy_file_lists_exactly_the_policy_modules() {
    let deploy = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../deploy/balancer.toml");
    let deploy = std::fs::read_to_string(deploy).expect("the deploy file");
    for Module { name, .. } in modules() {
        let is_listed = deploy.contains(&format!("/src/{name}\""));
        let is_interface = INTERFACE.contains(&name.as_str());
        assert_ne!(is_listed, is_interface, "{name}: listed as policy {is_listed}, interface {is_interface}");
    }
}
