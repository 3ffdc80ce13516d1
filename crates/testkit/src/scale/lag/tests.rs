use super::*;

#[test]
fn a_load_that_is_late_itself_is_not_scored() {
    let mut late = vec![100; 980];
    assert_eq!(Lag::of(&late).unwrap().too_late(1.0), None);
    late.extend([5_000; 20]);
    let lag = Lag::of(&late).unwrap();
    assert!(lag.too_late(1.0).unwrap().contains("late by 5.0"), "{lag:?}");
    assert_eq!(Lag::default().worse(lag), lag);
    assert!(Lag::of(&[]).is_err());
}

#[test]
fn lag_is_from_the_schedule_to_the_write() {
    let live =
        IntervalCounts { times_us: vec![900, 700], writes_us: vec![600, 700], ..IntervalCounts::default() };
    assert_eq!(times(&live), [300, 0]);
}
