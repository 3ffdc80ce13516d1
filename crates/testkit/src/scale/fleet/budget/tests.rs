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

/// Guards the check from chance: servers that do the same differ by some percent, and that is nothing.
#[test]
fn servers_alike_are_even() {
    assert_eq!(uneven(&fleet(), 10.0), []);
}

/// Guards the budget: one server among many that sends a kilobyte or burns a millisecond a tick more is caught by its place,
/// though the mean hardly moves.
#[test]
fn one_that_spends_beside_its_work_is_caught() {
    let mut servers = fleet();
    servers[7].bytes += 1_024.0;
    servers[3].cpu_ms += 10.0;
    let caught: Vec<(usize, Cost)> =
        uneven(&servers, 10.0).into_iter().map(|one| (one.server, one.cost)).collect();
    assert_eq!(caught, [(7, Cost::Bytes), (3, Cost::Cpu)]);
}

/// Guards short spans: a datagram more or less is chance, as a feed of all members to one that asked for it.
#[test]
fn a_datagram_in_a_short_span_is_no_expense() {
    let mut servers = fleet();
    servers[2].bytes += 830.0;
    assert_eq!(uneven(&servers, 1.0), [], "a feed of all members in a second");
    assert_eq!(uneven(&servers, 60.0).len(), 1, "830 bytes in each of 60 seconds");
}
