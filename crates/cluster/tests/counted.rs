//! What counts of the whole fleet are for: an office's quota, and a budget of repeated tries; and what holds alone.

mod common;

use common::{MS, Two};
use gradepin_admission::Span;
use gradepin_cluster::counters::CellId;

const OFFICE: CellId = CellId(7);
const OTHER: CellId = CellId(8);

/// So many requests of a cell come to a server, a tenth of a second apart.
fn ask(two: &mut Two, server: usize, cell: CellId, first_attempts: u32, repeats: u32) {
    for n in 0..first_attempts.max(repeats) {
        if n < first_attempts {
            two.servers[server].arrived(two.now, cell, false, Span(10 * MS));
        }
        if n < repeats {
            two.servers[server].arrived(two.now, cell, true, Span(10 * MS));
        }
    }
}

fn quota(two: &Two, server: usize) -> f64 {
    two.servers[server].quota(two.now, 100.0, |cell| cell == OFFICE)
}

/// Guards an office whose traffic leans on one server against that server's even part of its quota, and the sum of what
/// the parts come to.
#[test]
fn a_quota_follows_where_an_offices_traffic_goes() {
    let mut two = Two::new();
    two.run(3_000);
    assert_eq!((quota(&two, 0), quota(&two, 1)), (100.0, 100.0), "nothing counted: an even part");
    ask(&mut two, 0, OFFICE, 90, 0);
    ask(&mut two, 1, OFFICE, 10, 0);
    ask(&mut two, 1, OTHER, 500, 0);
    two.run(2_500);
    let (first, second) = (quota(&two, 0), quota(&two, 1));
    assert!((first - 180.0).abs() < 5.0 && (second - 20.0).abs() < 5.0, "{first} and {second}");
    // What is counted is forgotten with its window, and the quota is even again.
    two.run(11_000);
    assert_eq!((quota(&two, 0), quota(&two, 1)), (100.0, 100.0));
}

/// Guards a server that hears nobody: its quota is its own even part, whatever it counted before.
#[test]
fn alone_a_quota_is_the_even_part() {
    let mut two = Two::new();
    two.run(3_000);
    ask(&mut two, 0, OFFICE, 90, 0);
    two.run(1_500);
    two.cut = true;
    two.run(12_000);
    ask(&mut two, 0, OFFICE, 90, 0);
    two.run(1_500);
    assert_eq!(quota(&two, 0), 100.0);
}

/// Guards the fleet's budget of repeats: many that came elsewhere leave room for few here, many first tries make room, and a
/// server that hears nobody goes by what came here.
#[test]
fn the_budget_of_repeats_is_the_fleets() {
    let taken = |two: &mut Two| {
        let now = two.now;
        (0..200).filter(|_| two.servers[0].admits_retry(now)).count()
    };
    let mut two = Two::new();
    two.run(3_000);
    ask(&mut two, 0, OFFICE, 100, 10);
    two.run(1_500);
    assert_eq!(taken(&mut two), 200, "few of them");
    ask(&mut two, 1, OFFICE, 20, 400);
    two.run(2_500);
    // 120 first tries and 410 repeats in 10 s, 0.2 for each first and 2 beside: 26 of 410.
    let some = taken(&mut two);
    assert!((3..30).contains(&some), "{some} of 200 are taken");
    ask(&mut two, 1, OFFICE, 3_000, 0);
    two.run(2_500);
    assert_eq!(taken(&mut two), 200, "first tries make room");
    let mut alone = Two::new();
    alone.run(3_000);
    alone.cut = true;
    ask(&mut alone, 0, OFFICE, 10, 100);
    alone.run(12_000);
    ask(&mut alone, 0, OFFICE, 10, 100);
    alone.run(1_500);
    let some = taken(&mut alone);
    assert!((1..30).contains(&some), "{some} of 200 are taken alone");
}
