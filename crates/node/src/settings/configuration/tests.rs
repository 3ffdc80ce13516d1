//! Valid and invalid `config` blocks.

use super::*;
use crate::settings::OperatorSettings;

fn file(config: &str) -> String {
    format!(
        "cluster {{\nlisten \"127.0.0.1:7\"\nseed \"127.0.0.1:7\"\nkey-file \"k\"\nzone \"a\"\n}}\n\
         council {{\nvoter \"x\"\nvoter \"y\"\nvoter \"z\"\nfolder \"/d/council\"\n}}\n\
         store {{\npath \"/d/store\"\n}}\nconfig {{\n{config}\n}}"
    )
}

fn problems(text: &str) -> Vec<String> {
    OperatorSettings::parse(text)
        .map_or_else(|all| all.iter().map(ToString::to_string).collect(), |_| Vec::new())
}

#[test]
fn reads_a_block_and_uses_defaults_for_an_empty_one() {
    let settings = OperatorSettings::parse(&file("")).expect("defaults");
    let configuration = settings.configuration.expect("a block");
    assert_eq!(
        (configuration.folder.as_ref(), configuration.stale_after, configuration.history),
        (None, DEFAULT_STALE_AFTER, 1_024)
    );
    assert_eq!(configuration.region("a"), "a");
    let text = "folder \"/d/config\"\nstale-after-ms 5000\nhistory 64\nbytes-per-second 8000\n\
                region \"north\" { zone \"a\"; zone \"b\"; }\nregion \"south\" { zone \"c\"; }";
    let settings = OperatorSettings::parse(&file(text)).expect("a valid block");
    let configuration = settings.configuration.expect("a block");
    assert_eq!(
        (configuration.stale_after, configuration.history, configuration.bytes_per_second),
        (Span(5_000 * NANOSECONDS_PER_MS), 64, 8_000)
    );
    assert_eq!(
        (configuration.region("a"), configuration.region("b"), configuration.region("c")),
        ("north", "north", "south")
    );
    assert_eq!(OperatorSettings::parse("").map(|settings| settings.configuration), Ok(None));
}

#[test]
fn reports_invalid_values_and_contradictions() {
    for (config, expected) in [
        ("history 3", "expected history from 16 to 65536"),
        ("bytes-per-second 10", "expected bytes-per-second from 4000"),
        ("stale-after-ms 0", "expected stale-after-ms from 1000"),
        ("folder \"/d/council\"", "expected config's folder to be its own"),
        ("folder \"/d/store\"", "expected config's folder to be its own"),
        ("region \"north\"", "expected a zone in the region"),
        ("region \"north\" { zone \"a\"; zone \"a\"; }", "the same zone twice"),
        ("region \"n\" { zone \"a\"; }\nregion \"n\" { zone \"b\"; }", "the same region twice"),
        ("region \"n\" { zone \"b\"; }", "no region has the zone 'a'"),
        ("regions", "an unknown node 'regions'"),
    ] {
        let found = problems(&file(config));
        assert!(found.len() == 1 && found[0].contains(expected), "{config}: {found:?}");
    }
    let found = problems("config {\n}");
    assert!(found.len() == 1 && found[0].contains("expected a cluster and a council"), "{found:?}");
}
