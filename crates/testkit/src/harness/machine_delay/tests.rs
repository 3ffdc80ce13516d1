//! Tests of the delay accounting with injected delays, and of the bounds.

use super::*;

const BOUNDS: Bounds = Bounds {
    mean_wakeup_delay: Duration::from_millis(5),
    max_wakeup_delay: Duration::from_millis(500),
    run_delay_fraction: 0.2,
};

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

#[test]
fn delays_below_the_bounds_are_accepted() {
    let mut delay = MachineDelay::default();
    (0..1_000).for_each(|_| delay.wakeups.record(ms(1)));
    delay.processes.entry("n0".into()).or_default().record(1.0, 0.19);
    assert_eq!((delay.wakeups.mean(), delay.exceeded(&BOUNDS)), (Duration::ZERO, None));
}

#[test]
fn each_exceeded_bound_is_explained() {
    let mut mean = MachineDelay::default();
    (0..1_000).for_each(|_| mean.wakeups.record(ms(8)));
    assert_eq!(mean.exceeded(&BOUNDS).unwrap(), "6.0 ms a beat in the mean, 5.0 allowed");

    let mut single = MachineDelay::default();
    (0..100_000).for_each(|_| single.wakeups.record(ms(0)));
    single.wakeups.record(ms(501));
    assert_eq!(single.exceeded(&BOUNDS).unwrap(), "501 ms at one beat, 500 allowed");

    let mut starved = MachineDelay::default();
    starved.processes.entry("n0".into()).or_default().record(2.0, 0.1);
    starved.processes.entry("n4".into()).or_default().record(2.0, 0.5);
    let why = starved.exceeded(&BOUNDS).unwrap();
    assert_eq!(why, "25.0% of the time that a thread of n4 was ready to run, 20.0% allowed");
}

/// A stall of one second delays a hundred wake-ups, not one.
#[test]
fn missed_wakeups_count_as_delayed() {
    let mut wakeups = WakeupDelays::default();
    wakeups.record(ms(1_000));
    assert_eq!(wakeups.due, 101);
    // 998 + 988 + .. + 8 ms; the last wake-up is due now.
    assert_eq!(wakeups.total, ms(50_300));
}

/// Known threads count since the last sample, new threads since their start, and ended threads not at all.
#[test]
fn longest_wait_of_any_thread_since_the_last_sample_counts() {
    let mut delays = ThreadDelays::default();
    delays.advance([(1, 5_000_000_000), (2, 0)].into());
    assert_eq!(delays.advance([(1, 5_100_000_000), (2, 300_000_000)].into()), 0.3);
    assert_eq!(delays.advance([(1, 5_100_000_000), (3, 700_000_000)].into()), 0.7);
    assert_eq!(delays.advance(HashMap::new()), 0.0);
    assert_eq!(run_delay("655522 75440 4\n"), Some(75_440));
    assert_eq!(run_delay("655522"), None);
}
