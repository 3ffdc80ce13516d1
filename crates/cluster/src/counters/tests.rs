//! Merging of rows as a join, the age of a reading, and the bounds on rows and cells.

use super::*;
use gradepin_admission::time_after;
use proptest::prelude::*;

fn gossiped(name: &str, incarnation: u64, version: u32, requested_ms: u32, age_ms: u32) -> GossipedRow {
    let cells = vec![CounterCell { id: CellId(7), work: WorkCount { requested_ms, ..WorkCount::default() } }];
    let (name, zone) = (Arc::from(name), Arc::from("z"));
    let observation = Observation::default();
    let row = CounterRow {
        name,
        incarnation: Incarnation(incarnation),
        version,
        zone,
        spare: 0,
        observation,
        cells,
    };
    GossipedRow { row, age_ms }
}

fn requested(counters: &Counters, now: Time) -> u32 {
    counters.read(now, |_| true).sum.requested_ms
}

const NOW: Time = Time(100_000 * MS);

/// A row that is received twice, late or after a newer one counts once, and an earlier incarnation doesn't
/// count in addition to the current one.
#[test]
fn repeated_and_outdated_rows_are_counted_once() {
    let mut counters = Counters::new(Arc::from("own"));
    for gossiped in [
        gossiped("a", 1, 1, 10, 0),
        gossiped("a", 1, 1, 10, 0),
        gossiped("a", 1, 3, 30, 0),
        gossiped("a", 1, 2, 20, 500),
        gossiped("b", 9, 1, 5, 0),
        gossiped("a", 2, 1, 7, 0),
        gossiped("a", 1, 9, 90, 0),
    ] {
        counters.merge(NOW, gossiped, Span(0));
    }
    assert_eq!(requested(&counters, NOW), 12);
    assert_eq!(counters.read(NOW, |_| true).servers, 2);
}

#[test]
fn a_reading_has_servers_ages_and_zones_and_omits_expired_rows() {
    let mut counters = Counters::new(Arc::from("own"));
    counters.count(NOW, CellId(7), WorkCount { requested_ms: 100, ..WorkCount::default() });
    counters.write(NOW, Incarnation(1), &Arc::from("y"), 0, Observation::default());
    counters.merge(NOW, gossiped("a", 1, 1, 10, 4_000), Span(0));
    counters.merge(NOW, gossiped("b", 1, 1, 20, 1_000), Span(500 * MS));
    let reading = counters.read(NOW, |_| true);
    assert_eq!((reading.sum.requested_ms, reading.servers, reading.coverage(12)), (130, 3, 0.25));
    assert_eq!((reading.oldest, reading.median), (Span(4_000 * MS), Span(1_500 * MS)));
    assert_eq!(reading.zones.values().copied().collect::<Vec<_>>(), [1, 2]);
    let later = time_after(NOW, Span(7_000 * MS));
    assert_eq!(requested(&counters, later), 120, "the older row is no longer counted");
    counters.drop_expired(time_after(NOW, Span(60_000 * MS)));
    assert!(counters.is_empty());
    counters.write(time_after(NOW, WINDOW), Incarnation(1), &Arc::from("y"), 0, Observation::default());
    assert_eq!(requested(&counters, time_after(NOW, WINDOW)), 0, "the own count has left the window");
}

/// Cells and rows take bounded memory, whatever names are received.
#[test]
fn cells_and_rows_are_bounded() {
    let mut counters = Counters::new(Arc::from("own"));
    for n in 1..500 {
        counters.count(NOW, CellId(n), WorkCount { first_attempts: 1, ..WorkCount::default() });
    }
    counters.write(NOW, Incarnation(1), &Arc::from("z"), 0, Observation::default());
    let own = &counters.row("own").unwrap().row;
    assert_eq!(own.cells.len(), MAX_CELLS);
    assert_eq!(own.cells.iter().map(|cell| cell.work.first_attempts).sum::<u32>(), 499);
    for n in 0..MAX_ROWS + 9 {
        counters.merge(NOW, gossiped(&format!("n{n}"), 1, 1, 1, 0), Span(0));
    }
    assert_eq!(counters.len(), MAX_ROWS);
}

proptest! {
    /// Merging is commutative, associative and idempotent: the order, grouping and repetition of rows doesn't
    /// change what is stored.
    #[test]
    fn merging_is_a_join(
        rows in prop::collection::vec((0_u8..4, 0_u64..3, 0_u32..4, 0_u32..3), 0..24),
        order in prop::collection::vec(any::<prop::sample::Index>(), 0..60),
    ) {
        // Only its server writes a row, so its content is a function of name, incarnation and version.
        let all_rows: Vec<GossipedRow> = rows
            .iter()
            .map(|&(name, incarnation, version, age)| {
                let content = u32::from(name) * 100 + incarnation as u32 * 10 + version;
                gossiped(&format!("n{name}"), incarnation, version, content, age * 100)
            })
            .collect();
        let merged = |all: &mut dyn Iterator<Item = &GossipedRow>| {
            let mut counters = Counters::new(Arc::from("own"));
            for gossiped in all {
                counters.merge(NOW, gossiped.clone(), Span(0));
            }
            counters.rows
        };
        let once = merged(&mut all_rows.iter());
        let reversed = merged(&mut all_rows.iter().rev());
        prop_assert_eq!(&once, &reversed, "commutative");
        let mut shuffled: Vec<&GossipedRow> = all_rows.iter().collect();
        if !all_rows.is_empty() {
            shuffled.extend(order.iter().map(|index| &all_rows[index.index(all_rows.len())]));
            shuffled.rotate_left(order.len() % all_rows.len().max(1));
        }
        prop_assert_eq!(&once, &merged(&mut shuffled.into_iter()), "idempotent");
        // Two halves are merged separately, then their stored rows are joined, as after gossip between two
        // servers.
        let (left, right) = all_rows.split_at(all_rows.len() / 2);
        let mut counters = Counters::new(Arc::from("own"));
        for part in [merged(&mut right.iter()), merged(&mut left.iter())] {
            for stored in part.into_values() {
                counters.join(NOW, stored);
            }
        }
        prop_assert_eq!(&once, &counters.rows, "associative");
    }
}
