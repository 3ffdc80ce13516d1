//! Replays, delayed datagrams, clocks that stop or drift, and restarts of a sender.

use super::*;

fn header(incarnation: u64, number: u64, sent_ms: u64) -> Header<'static> {
    Header {
        name: "n1",
        incarnation: Incarnation(incarnation),
        to: Incarnation(0),
        number,
        sent_us: sent_ms * 1_000,
    }
}

fn ms(ms: u64) -> Time {
    Time(ms * MS)
}

/// A recorded datagram that is sent again is dropped, in whatever order the originals arrived.
#[test]
fn each_sequence_number_is_accepted_once_in_any_order() {
    let mut window = ReplayWindow::default();
    for number in [5, 2, 9, 3, 1_000, 700, 701, 1_001] {
        assert!(window.check(ms(1_000), &header(1, number, 0)).is_ok(), "{number}");
    }
    for number in [5, 2, 9, 3, 1_000, 700, 701, 1_001] {
        assert_eq!(window.check(ms(1_001), &header(1, number, 0)), Err(DropReason::Replay), "{number}");
    }
    assert!(window.check(ms(1_002), &header(1, 4, 0)).is_ok(), "a skipped number is still accepted");
    assert!(window.check(ms(1_002), &header(1, 9_000, 0)).is_ok());
    assert_eq!(window.check(ms(1_002), &header(1, 6, 0)), Err(DropReason::Replay), "older than the window");
    assert_eq!(window.check(ms(1_002), &header(1, 9_000, 0)), Err(DropReason::Replay));
    assert!(window.check(ms(1_002), &header(1, 8_500, 0)).is_ok(), "no stale bit of the bitmap counts");
}

/// Datagrams that waited in the socket of a stopped process, or that a relay delayed, are dropped.
#[test]
fn a_datagram_delayed_beyond_the_bound_is_dropped() {
    let mut window = ReplayWindow::default();
    // The sender's clock has a different origin.
    for n in 0..50 {
        assert_eq!(window.check(ms(10_000 + 100 * n), &header(1, n + 1, 500_000 + 100 * n)), Ok(Span(0)));
    }
    assert_eq!(window.check(ms(15_400), &header(1, 60, 505_000)), Ok(Span(400 * MS)));
    assert_eq!(window.check(ms(20_000), &header(1, 61, 505_000)), Err(DropReason::Delayed));
    assert_eq!(
        window.check(ms(20_000), &header(1, 62, 510_000)),
        Ok(Span(0)),
        "the next datagram is on time"
    );
}

/// A sender whose clock stood still while its machine slept must not be cut off for ever, nor one whose clock
/// drifts by 1 % for hours.
#[test]
fn a_sender_whose_clock_stood_still_or_drifts_is_accepted() {
    let mut window = ReplayWindow::default();
    assert!(window.check(ms(0), &header(1, 1, 0)).is_ok());
    // The sender's machine slept for a minute, and its clock stood still.
    let mut dropped = 0;
    for n in 0..300 {
        dropped += u64::from(window.check(ms(60_000 + 100 * n), &header(1, 2 + n, 100 * n)).is_err());
    }
    assert!((190..=210).contains(&dropped), "{dropped}");
    let mut drifting = ReplayWindow::default();
    for n in 0..72_000 {
        let sent = 100 * n - n;
        assert!(drifting.check(ms(100 * n), &header(1, n + 1, sent)).is_ok(), "after {n}");
    }
}

/// A datagram of an earlier incarnation that arrives after the restart of its sender is dropped.
#[test]
fn an_earlier_incarnation_is_rejected_once_a_later_one_was_received() {
    let mut window = ReplayWindow::default();
    assert!(window.check(ms(0), &header(4, 90, 90)).is_ok());
    assert!(
        window.check(ms(10), &header(5, 1, 0)).is_ok(),
        "a new incarnation restarts its numbers and clock"
    );
    assert_eq!(window.check(ms(20), &header(4, 91, 100)), Err(DropReason::EarlierIncarnation));
    assert_eq!(window.incarnation("n1"), Some(Incarnation(5)));
}

#[test]
fn the_number_of_remembered_senders_is_bounded() {
    let mut window = ReplayWindow::default();
    for n in 0..MAX_SENDERS + 5 {
        let name = format!("n{n}");
        let header =
            Header { name: &name, incarnation: Incarnation(1), to: Incarnation(0), number: 1, sent_us: 0 };
        assert!(window.check(ms(n as u64), &header).is_ok());
    }
    assert_eq!((window.len(), window.is_empty()), (MAX_SENDERS, false));
}
