//! Decisions by the fleet's counters: a tenant's quota and the retry budget, with peers and alone.

mod common;

use common::{MS, TwoServers};
use gradepin_admission::Span;
use gradepin_cluster::counters::CellId;

const TENANT: CellId = CellId(7);
const OTHER_TENANT: CellId = CellId(8);

/// Counts first attempts and retries of a cell at a server.
fn add_requests(two: &mut TwoServers, server: usize, cell: CellId, first_attempts: u32, retries: u32) {
    for n in 0..first_attempts.max(retries) {
        if n < first_attempts {
            two.servers[server].arrived(two.now, cell, false, Span(10 * MS));
        }
        if n < retries {
            two.servers[server].arrived(two.now, cell, true, Span(10 * MS));
        }
    }
}

fn quota(two: &TwoServers, server: usize) -> f64 {
    two.servers[server].quota(two.now, 100.0, |cell| cell == TENANT)
}

/// If a tenant sends most of its requests to one server, that server must not be limited to an even fraction
/// of the quota, and the fractions must still add up to the quota.
#[test]
fn a_quota_is_divided_by_where_the_tenants_requests_arrive() {
    let mut two = TwoServers::new();
    two.run(3_000);
    assert_eq!((quota(&two, 0), quota(&two, 1)), (100.0, 100.0), "nothing counted: even fractions");
    add_requests(&mut two, 0, TENANT, 90, 0);
    add_requests(&mut two, 1, TENANT, 10, 0);
    add_requests(&mut two, 1, OTHER_TENANT, 500, 0);
    two.run(2_500);
    let (first, second) = (quota(&two, 0), quota(&two, 1));
    assert!((first - 180.0).abs() < 5.0 && (second - 20.0).abs() < 5.0, "{first} and {second}");
    // After the window has delivered the counts are gone, and the quota is divided evenly again.
    two.run(11_000);
    assert_eq!((quota(&two, 0), quota(&two, 1)), (100.0, 100.0));
}

/// A server that receives nothing from its peers uses its even fraction, whatever it counted before.
#[test]
fn a_server_alone_uses_its_even_fraction_of_a_quota() {
    let mut two = TwoServers::new();
    two.run(3_000);
    add_requests(&mut two, 0, TENANT, 90, 0);
    two.run(1_500);
    two.is_cut = true;
    two.run(12_000);
    add_requests(&mut two, 0, TENANT, 90, 0);
    two.run(1_500);
    assert_eq!(quota(&two, 0), 100.0);
}

/// Retries at other servers use up the budget of this one, first attempts anywhere add to it, and a server
/// that receives nothing from its peers goes by its own requests.
#[test]
fn the_retry_budget_is_shared_by_the_fleet() {
    let admitted = |two: &mut TwoServers| {
        let now = two.now;
        (0..200).filter(|_| two.servers[0].admits_retry(now)).count()
    };
    let mut two = TwoServers::new();
    two.run(3_000);
    add_requests(&mut two, 0, TENANT, 100, 10);
    two.run(1_500);
    assert_eq!(admitted(&mut two), 200, "few retries");
    add_requests(&mut two, 1, TENANT, 20, 400);
    two.run(2_500);
    // 120 first attempts and 410 retries in 10 s; the budget is 0.2 per first attempt plus 2: 26 of 410.
    let some = admitted(&mut two);
    assert!((3..30).contains(&some), "{some} of 200 are admitted");
    add_requests(&mut two, 1, TENANT, 3_000, 0);
    two.run(2_500);
    assert_eq!(admitted(&mut two), 200, "first attempts add to the budget");
    let mut alone = TwoServers::new();
    alone.run(3_000);
    alone.is_cut = true;
    add_requests(&mut alone, 0, TENANT, 10, 100);
    alone.run(12_000);
    add_requests(&mut alone, 0, TENANT, 10, 100);
    alone.run(1_500);
    let some = admitted(&mut alone);
    assert!((1..30).contains(&some), "{some} of 200 are admitted alone");
}
