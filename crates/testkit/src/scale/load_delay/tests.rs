use super::*;

#[test]
fn late_load_is_not_scored() {
    let mut delays_us = vec![100; 980];
    assert_eq!(LoadDelay::of(&delays_us).unwrap().not_scored_reason(1.0), None);
    delays_us.extend([5_000; 20]);
    let delay = LoadDelay::of(&delays_us).unwrap();
    assert!(delay.not_scored_reason(1.0).unwrap().contains("late by 5.0"), "{delay:?}");
    assert_eq!(LoadDelay::default().worse(delay), delay);
    assert!(LoadDelay::of(&[]).is_err());
}

#[test]
fn delay_counts_from_the_schedule_to_the_write() {
    let live =
        IntervalCounts { times_us: vec![900, 700], writes_us: vec![600, 700], ..IntervalCounts::default() };
    assert_eq!(times(&live), [300, 0]);
}
