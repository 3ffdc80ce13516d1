use super::*;
use std::time::Duration;

fn server(sent: u64, taken: u64) -> ServerFigures {
    ServerFigures {
        sent,
        taken,
        sent_bytes: 100 * sent,
        cpu_ns: 1_000_000 * sent,
        ..ServerFigures::default()
    }
}

fn snapshot(at: Instant, hollow: &[(u64, u64)], real: &[Option<(u64, u64)>], rows: u64) -> Snapshot {
    let kind = |from_real, datagrams| KindFigures {
        kind: "counters".into(),
        from_real,
        datagrams,
        bytes: 10 * datagrams,
    };
    Snapshot {
        at,
        hollow: hollow.iter().map(|(sent, taken)| server(*sent, *taken)).collect(),
        real: real.iter().map(|one| one.map(|(sent, taken)| server(sent, taken))).collect(),
        hosts_cpu_ns: 0,
        beside_ns: 0,
        late: Lateness::default(),
        kinds: vec![kind(false, rows), kind(true, rows / 2)],
    }
}

/// Rates are per server and second, those of message kinds per sender; a daemon that didn't answer both times is skipped.
#[test]
fn window_has_the_rates_between_two_snapshots() {
    let begin = Instant::now();
    let from = snapshot(begin, &[(10, 10), (20, 20)], &[Some((5, 5)), None], 40);
    let to =
        snapshot(begin + Duration::from_secs(2), &[(30, 25), (60, 50)], &[Some((9, 8)), Some((9, 9))], 80);
    let window = Window::between(&from, &to);
    assert_eq!(window.seconds, 2.0);
    assert_eq!(window.hollow.iter().map(|rates| rates.datagrams).collect::<Vec<_>>(), [10.0, 20.0]);
    assert_eq!((window.hollow[1].bytes, window.hollow[1].cpu_ms), (2_000.0, 20.0));
    assert_eq!(window.real.len(), 1);
    assert_eq!((window.kinds[0].datagrams, window.kinds[0].bytes), (10.0, 100.0));
    assert_eq!((window.kinds[1].datagrams, window.kinds[1].from_real), (5.0, true));
}

/// Datagrams that were neither accepted nor dropped for a counted reason are lost.
#[test]
fn datagrams_that_never_arrived_are_lost() {
    let begin = Instant::now();
    let from = snapshot(begin, &[(0, 0), (0, 0)], &[], 0);
    let to = snapshot(begin + Duration::from_secs(1), &[(50, 45), (50, 45)], &[], 0);
    assert!((lost(&from, &to) - 0.1).abs() < 1e-9);
}

/// Only differences of more than 15% between hollow and real servers are reported.
#[test]
fn differences_of_more_than_15_percent_are_reported() {
    let real = Rates { datagrams: 40.0, bytes: 9_000.0, cpu_ms: 10.0, asked: 0.0 };
    let hollow = Rates { datagrams: 44.0, bytes: 9_900.0, cpu_ms: 8.0, asked: 0.0 };
    let compared = Comparison::of(&hollow, &real).unwrap();
    assert_eq!(compared.differences(), [("CPU of control", 0.8)]);
    assert_eq!(Comparison::of(&hollow, &Rates::default()), None);
}
