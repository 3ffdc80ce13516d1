use super::*;

fn fleet() -> Vec<Rates> {
    let one = |n: usize| Rates {
        bytes: 9_600.0 + 20.0 * (n % 5) as f64,
        cpu_ms: 3.0 + 0.3 * (n % 4) as f64,
        datagrams: 14.0,
        ..Rates::default()
    };
    (0..12).map(one).collect()
}

/// Guards against false alarms: servers with the same work differ by some percent.
#[test]
fn equal_servers_have_no_excess_cost() {
    assert_eq!(uneven(&fleet(), 10.0), []);
}

/// A server that sends an extra kilobyte per second or uses an extra millisecond per tick is detected, although the mean
/// hardly changes.
#[test]
fn extra_cost_of_one_server_is_detected() {
    let mut servers = fleet();
    servers[7].bytes += 1_024.0;
    servers[3].cpu_ms += 10.0;
    let caught: Vec<(usize, Cost)> =
        uneven(&servers, 10.0).into_iter().map(|one| (one.server, one.cost)).collect();
    assert_eq!(caught, [(7, Cost::Bytes), (3, Cost::Cpu)]);
}

/// Guards against false alarms in short windows, where one datagram more or less is chance.
#[test]
fn single_datagram_in_a_short_window_is_tolerated() {
    let mut servers = fleet();
    servers[2].bytes += 830.0;
    assert_eq!(uneven(&servers, 1.0), [], "a feed of all members in a second");
    assert_eq!(uneven(&servers, 60.0).len(), 1, "830 bytes in each of 60 seconds");
}
