use super::kdl_reader::NANOSECONDS_PER_MS;
use super::*;

fn problems(text: &str) -> Vec<String> {
    OperatorSettings::parse(text)
        .map_or_else(|all| all.iter().map(ToString::to_string).collect(), |_| Vec::new())
}

#[test]
fn reads_a_file_and_an_empty_one_has_defaults() {
    assert_eq!(OperatorSettings::parse(""), Ok(OperatorSettings::default()));
    let settings = OperatorSettings::parse(
        r#"
        leave { hold-ms 3000; }
        registry {
            zone "lahti-1"
            url "http://127.0.0.1:1/eureka" zone="tampere-1"
            url "http://a:b@127.0.0.1:2/eureka/v2/" zone="lahti-1"
            app "tile-server"
            vip "tiles"
            heartbeat-ms 5000
            ready-share 0.7
            cancel #true
            metadata { rack "b7"; }
        }"#,
    )
    .unwrap();
    let registry = settings.registry.unwrap();
    assert_eq!(settings.leave_hold, Span(3_000 * NANOSECONDS_PER_MS));
    let near =
        ServiceUrl { url: "http://127.0.0.1:2/eureka/v2".into(), login: Some(("a".into(), "b".into())) };
    assert_eq!(registry.urls[0], near, "the URL of the server's own zone comes first");
    assert_eq!((registry.app.as_str(), registry.vip.as_str()), ("TILE-SERVER", "tiles"));
    assert_eq!(
        (registry.lease, registry.ready_share, registry.deregister),
        (Span(15_000 * NANOSECONDS_PER_MS), 0.7, true)
    );
    assert_eq!(registry.metadata, [("rack".to_string(), "b7".to_string())]);
}

/// Guards against shipping example settings that the program rejects.
#[test]
fn reads_the_deployed_examples() {
    let settings = OperatorSettings::parse(include_str!("../../../../deploy/registry.kdl")).unwrap();
    assert_eq!(settings.registry.map(|registry| registry.urls.len()), Some(2));
    let settings = OperatorSettings::parse(include_str!("../../../../deploy/scgi.kdl")).unwrap();
    assert_eq!(settings.scgi.map(|scgi| scgi.routes.len()), Some(4));
    let settings = OperatorSettings::parse(include_str!("../../../../deploy/store.kdl")).unwrap();
    assert_eq!(settings.store.map(|store| store.persist_timeout), Some(Span(250 * NANOSECONDS_PER_MS)));
    let settings = OperatorSettings::parse(include_str!("../../../../deploy/council.kdl")).unwrap();
    let consensus = settings.consensus.unwrap();
    assert_eq!((consensus.voters.len(), consensus.limits.fleet, consensus.limits.services.len()), (3, 2, 1));
    let settings = OperatorSettings::parse(include_str!("../../../../deploy/cluster.kdl")).unwrap();
    assert_eq!(
        settings.cluster.and_then(|cluster| cluster.leases).map(|leases| leases.duration),
        Some(Span(2_000 * NANOSECONDS_PER_MS))
    );
}

/// Guards against a file of which only a part is used, and against a typing error that silently keeps a default.
#[test]
fn reports_every_problem_with_its_position() {
    let text = "registry {\n    url \"ftp://x\"\n    url \"http://h:1/e\"\n    url \"http://h:1/e\"\n    app \"A\"\n    heartbeat-ms 10\n    heart 5\n    lease-ms \"long\"\n    ready-share 2.0\n    cancel 1\n    format \"yaml\"\n    app \"B\"\n}\nregistri {\n}\n";
    let expected = [
        "line 2, column 5: expected a URL that begins with http://",
        "line 4, column 5: the same url twice",
        "line 6, column 5: expected heartbeat-ms from 100 to 600000, got 10",
        "line 7, column 5: an unknown node 'heart'",
        "line 8, column 5: expected lease-ms to be a whole number, got \"long\"",
        "line 9, column 5: expected ready-share from 0 to 1, got 2.0",
        "line 10, column 5: expected cancel to be #true or #false, got 1",
        "line 11, column 5: expected format",
        "line 12, column 5: 'app' occurs twice",
        "line 14, column 1: an unknown node 'registri'",
    ];
    let found = problems(text);
    for (n, expected) in expected.iter().enumerate() {
        assert!(found.get(n).is_some_and(|found| found.starts_with(expected)), "{expected}: {found:#?}");
    }
    assert_eq!(found.len(), expected.len(), "{found:#?}");
}

/// Guards against cluster settings with which servers can't find each other or detect failures.
#[test]
fn reports_invalid_cluster_settings() {
    let with = |more: &str| {
        problems(&format!(
            "cluster {{\nlisten \"127.0.0.1:7\"\nseed \"127.0.0.1:7\"\nkey-file \"k\"\n{more}\n}}"
        ))
    };
    assert_eq!(with("zone \"a\"\nleases { duration-ms 500; }"), Vec::<String>::new());
    for (more, expected) in [
        ("seed \"127.0.0.1:7\"", "the same seed twice"),
        ("seed \"here\"", "expected seed to be IP:PORT"),
        ("advertise \"0.0.0.0:7\"", "an address that others reach"),
        ("probe-period-ms 500", "half of probe-period-ms"),
        ("suspicion-timeout-ms 500", "suspicion-timeout-ms of probe-period-ms or more"),
        ("leases { max-clock-drift 0.5; }", "a clock further off"),
        ("leases { lease 5; }", "an unknown node 'lease'"),
        ("retry-ratio -1", "expected retry-ratio from 0 to 10"),
    ] {
        let found = with(more);
        assert!(found.len() == 1 && found[0].contains(expected), "{more}: {found:?}");
    }
    assert_eq!(problems("cluster {\n}").len(), 3, "no listen, no seed and no key-file");
}

/// Guards against council settings with which the consensus group can't work.
#[test]
fn reports_invalid_council_settings() {
    let with = |more: &str| {
        problems(&format!(
            "cluster {{\nlisten \"127.0.0.1:7\"\nseed \"127.0.0.1:7\"\nkey-file \"k\"\n}}\ncouncil {{\n{more}\n}}"
        ))
    };
    let three = "voter \"a\"\nvoter \"b\"\nvoter \"c\"\n";
    assert_eq!(with(three), Vec::<String>::new());
    for (more, expected) in [
        (format!("{three}voter \"d\""), "expected 3 or 5 voters"),
        (format!("{three}voter \"a\"\nvoter \"e\""), "the same voter twice"),
        (format!("{three}most-out -1"), "expected most-out from 0 to 4096"),
        (format!("{three}without-permit \"go\""), "expected without-permit"),
        (
            format!("{three}most-out-of-services {{ ledger \"one\"; }}"),
            "expected ledger to be a whole number",
        ),
        (String::new(), "expected a voter"),
    ] {
        let found = with(&more);
        assert!(found.len() == 1 && found[0].contains(expected), "{more}: {found:?}");
    }
    assert!(problems(&format!("council {{\n{three}}}"))[0].contains("expected a cluster beside the council"));
}

#[test]
fn reports_contradictions_and_syntax_errors() {
    let with =
        |more: &str| problems(&format!("registry {{\nurl \"http://h/e\" zone=\"z\"\napp \"A\"\n{more}\n}}"));
    for (more, expected) in [
        ("zone \"y\"", "no url is in the zone 'y'"),
        ("heartbeat-ms 1000\nlease-ms 1500", "twice heartbeat-ms"),
        ("heartbeat-ms 1000\ntimeout-ms 2000", "no more than heartbeat-ms"),
        ("metadata { zone \"y\"; }", "the zone is set by"),
        ("vip", "expected vip to be one word"),
        ("vip \"a\" \"b\"", "expected vip to be one word"),
        ("vip \"a\" { b 1; }", "expected no children"),
        ("address \"nowhere\"", "expected address to be IP:PORT"),
    ] {
        let found = with(more);
        assert!(found.len() == 1 && found[0].contains(expected), "{more}: {found:?}");
    }
    assert!(problems("registry {\n  url \"http://h/e\n}")[0].starts_with("line "), "an open string");
    assert_eq!(problems("registry {\n}").len(), 2, "no url and no app");
}
