use super::*;
use serde_json::{Value, json};

fn config(change: impl Fn(&mut Value)) -> Config {
    let mut text = json!({
        "name": "n", "listen": "127.0.0.1:1", "processor": "127.0.0.1:2", "control": "127.0.0.1:3", "seed": "1",
        "stop_ms": 1, "limits": {"sockets": 512}, "settings": {"granularity": 1,
            "profiles": [{"name": "a", "promise": 1, "deadline": 1, "effect": "once", "worth": 1.0}],
            "rules": {"fall": 1, "tip_multiple": 1.0, "drain_grace": 1},
            "specifics": {"n_cores": 1, "memory_kb": 1.0, "run_factor": 1.0}}
    });
    change(&mut text);
    Config::parse(&text.to_string()).unwrap()
}

/// Guards the server's own links: with every place taken by clients, there is a descriptor for each call to the ledger,
/// each caller at the operators' door, and the rest.
#[test]
fn places_for_clients_leave_descriptors_for_all_that_is_the_servers_own() {
    let plain = config(|_| ());
    assert_eq!((plain.connections(), plain.calls()), (480, 0));
    let calling = |share: f64, sockets: usize| {
        config(|text| {
            text["ledger"] = json!("127.0.0.1:4");
            text["admin_addr"] = json!("127.0.0.1:5");
            text["limits"]["sockets"] = json!(sockets);
            text["settings"]["specifics"]["below"] = json!("shared");
            text["settings"]["specifics"]["calls_out"] = json!(share);
        })
    };
    for (share, sockets, calls) in
        [(0.4, 512, 4), (15.0, 512, 30), (1e9, 512, 64), (1e9, 128, 16), (-1.0, 128, 4)]
    {
        let config = calling(share, sockets);
        assert_eq!(config.calls(), calls, "a share of {share}");
        assert_eq!(config.connections() + calls + ADMIN_SOCKETS + RESERVED_SOCKETS, sockets);
    }
    let lending = Config { lends: true, ..calling(4.0, 1024) };
    assert_eq!(lending.calls(), 24);
}
