use super::*;

const START_MS: u64 = 1_700_000_000_000;

/// A reading at `ms` after the start; the wall clock is ahead by `offset_ms`.
fn reading(ms: u64, offset_ms: i64) -> Timestamp {
    Timestamp {
        now: Time((77_000 + ms) * NANOS_PER_MS),
        unix_ms: (START_MS + ms).saturating_add_signed(offset_ms),
    }
}

/// Age of a stamp that was made `age_ms` ago by a clock with this offset.
fn age(clock: &WallClock, age_ms: u64, offset_ms: i64) -> u64 {
    let stamp_ms = (clock.reference_ms() - age_ms).saturating_add_signed(offset_ms);
    clock.reference_ms() - clock.to_reference(stamp_ms, ClientClock::default())
}

/// Guards against ages that are wrong by what a clock was set, whether that of the server alone or all clocks.
#[test]
fn ages_are_right_before_and_after_steps_of_the_own_clock_and_of_all_clocks() {
    for step_ms in [3_600_000, -3_600_000, 3_000, -3_000, 86_400_000] {
        let mut clock = WallClock::default();
        assert_eq!(clock.observe(reading(0, 0)), None);
        assert_eq!(age(&clock, 700, 0), 700);
        assert_eq!(clock.observe(reading(1_000, step_ms)), Some(step_ms));
        assert_eq!((clock.reference_ms(), clock.observe(reading(2_000, step_ms))), (START_MS + 1_000, None));
        for age_ms in [0, 30, 1_400] {
            assert_eq!(age(&clock, age_ms, 0), age_ms, "the server alone, {step_ms}");
            assert_eq!(age(&clock, age_ms, step_ms), age_ms, "all, {step_ms}");
        }
        assert_eq!(clock.observe(reading(3_000, 0)), Some(-step_ms), "it is set back");
        assert_eq!((age(&clock, 40, 0), age(&clock, 40, step_ms)), (40, 40));
    }
}

/// A clock that is adjusted slowly is followed; a stamp in the future counts as now.
#[test]
fn adjustment_is_no_step_and_the_future_counts_as_now() {
    let mut clock = WallClock::default();
    for second in 0..3_600 {
        assert_eq!(clock.observe(reading(second * 1_000, second as i64)), None);
    }
    assert_eq!(age(&clock, 500, 3_599), 500);
    let ahead = clock.reference_ms() + 3_599 + 10_000;
    assert_eq!(clock.to_reference(ahead, ClientClock::default()), clock.reference_ms());
}

/// A process that starts with a wrong clock learns that of a client from its stamps. Guards against due times of other clients
/// that one bad stamp moves.
#[test]
fn the_clock_of_a_client_is_known_for_its_own_stamps_alone() {
    let mut clock = WallClock::default();
    clock.observe(reading(0, 0));
    let client = clock.client_clock(START_MS - 3_600_000);
    clock.observe(reading(5_000, 0));
    let stamp_ms = clock.reference_ms() - 200 - 3_600_000;
    assert_eq!(clock.reference_ms() - clock.to_reference(stamp_ms, client), 200);
    assert_eq!(clock.reference_ms() - clock.to_reference(clock.reference_ms() - 200, client), 200);
    assert_eq!(age(&clock, 200, -3_600_000), 3_600_200, "a client without a clock of its own");
    let slightly_old = clock.client_clock(clock.reference_ms() - 1_300);
    assert_eq!(clock.reference_ms() - clock.to_reference(clock.reference_ms() - 1_300, slightly_old), 0);
    assert_eq!(age(&clock, 1_300, 0), 1_300);
}

#[test]
fn the_number_of_former_clocks_is_bounded() {
    let mut clock = WallClock::default();
    clock.observe(reading(0, 0));
    for n in 1..=100 {
        clock.observe(reading(n, n as i64 * 100_000));
    }
    assert_eq!(clock.former_offsets_ms.len(), MAX_FORMER_CLOCKS);
    assert_eq!((age(&clock, 200, 9_900_000), age(&clock, 200, 10_000_000)), (200, 200));
}
