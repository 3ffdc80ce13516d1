//! The measure with injected lateness, and the bounds.

use super::*;

const BOUNDS: Bounds =
    Bounds { mean_beat: Duration::from_millis(5), latest_beat: Duration::from_millis(500), starved: 0.2 };

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

#[test]
fn a_machine_in_time_is_within_the_bounds() {
    let mut lag = Lag::default();
    (0..1_000).for_each(|_| lag.beats.came(ms(1)));
    lag.processes.entry("n0".into()).or_default().look(1.0, 0.19);
    assert_eq!((lag.beats.mean(), lag.past(&BOUNDS)), (Duration::ZERO, None));
}

#[test]
fn each_bound_by_itself_says_what_was_late() {
    let mut mean = Lag::default();
    (0..1_000).for_each(|_| mean.beats.came(ms(8)));
    assert_eq!(mean.past(&BOUNDS).unwrap(), "6.0 ms a beat in the mean, 5.0 allowed");

    let mut once = Lag::default();
    (0..100_000).for_each(|_| once.beats.came(ms(0)));
    once.beats.came(ms(501));
    assert_eq!(once.past(&BOUNDS).unwrap(), "501 ms at one beat, 500 allowed");

    let mut starved = Lag::default();
    starved.processes.entry("n0".into()).or_default().look(2.0, 0.1);
    starved.processes.entry("n4".into()).or_default().look(2.0, 0.5);
    let why = starved.past(&BOUNDS).unwrap();
    assert_eq!(why, "25.0% of the time that a thread of n4 was ready to run, 20.0% allowed");
}

/// One stall of a second is a hundred beats that were late, not one.
#[test]
fn beats_that_were_missed_count_as_late() {
    let mut beats = Beats::default();
    beats.came(ms(1_000));
    assert_eq!(beats.due, 101);
    // 998 + 988 + .. + 8 ms, and the last one due now.
    assert_eq!(beats.late, ms(50_300));
}

/// A thread's delays count from the last look, a thread that came since from its begin, and one that is gone not at all.
#[test]
fn the_thread_that_waited_most_since_the_last_look_counts() {
    let mut delays = Delays::default();
    delays.advance([(1, 5_000_000_000), (2, 0)].into());
    assert_eq!(delays.advance([(1, 5_100_000_000), (2, 300_000_000)].into()), 0.3);
    assert_eq!(delays.advance([(1, 5_100_000_000), (3, 700_000_000)].into()), 0.7);
    assert_eq!(delays.advance(HashMap::new()), 0.0);
    assert_eq!(run_delay("655522 75440 4\n"), Some(75_440));
    assert_eq!(run_delay("655522"), None);
}
