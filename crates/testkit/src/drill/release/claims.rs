//! The claims of the drill. Claims that hold on any machine are separate from those that depend on its speed: times
//! of servers and clients, and everything with a time limit.

use super::scenario::Observed;
use super::session::Session;
use super::{MIN_SERVICE_RATIO, OVERRUN_LIMIT, REGRESSION_DETECTION_TIME, STEP_DURATION};
use crate::drill::Claims;
use crate::harness::supervisor::Replacement;
use crate::load::{Attempt, End, Records};
use crate::processor::runs_by;
use crate::registry::server::unix_ms;
use std::time::Duration;

/// Makes all claims from the observations.
pub fn claim(claims: &mut Claims, session: &Session<'_>, observed: &Observed) {
    outages(claims, session);
    good_release(claims, session, observed);
    bad_release(claims, session, observed);
    service(claims, session, observed);
    answers(claims, session, observed);
    saves(claims, session);
}

fn outages(claims: &mut Claims, session: &Session<'_>) {
    let (max_out, max_zone_out) = session.drill.max_out();
    let all = &session.supervisor.replacements;
    let past = |began: &&Replacement| {
        let out: Vec<usize> = began.agreed.iter().chain(&began.unplanned).copied().collect();
        let of_zone = out.iter().filter(|n| *n % 3 == began.server % 3).count();
        out.len() > max_out as usize || of_zone > max_zone_out as usize
    };
    let over: Vec<&Replacement> = all.iter().filter(past).collect();
    let first = over.first().map(|began| {
        let at_s = began.at.as_secs_f64();
        let (server, agreed, unplanned) = (began.server, &began.agreed, &began.unplanned);
        format!("; the first at {at_s:.2} s n{server} beside {agreed:?}, unplanned {unplanned:?}")
    });
    claims.claim(
        over.is_empty(),
        "never more out than allowed when one began, by list and supervisor",
        format!("{} of {} began past it{}", over.len(), all.len(), first.unwrap_or_default()),
    );
    claims.timed(all.len() >= session.drill.servers, "each server had its turn", all.len());
}

fn good_release(claims: &mut Claims, session: &Session<'_>, observed: &Observed) {
    let (drill, good) = (session.drill, &observed.good);
    claims.timed(
        good.completed && good.had_v1,
        "the release is everywhere in the end, and all that ran before runs after",
        format!("{:.1} s", good.took.as_secs_f64()),
    );
    if !drill.timed || drill.faults || drill.plain {
        return;
    }
    // One server first, then as many at a time as may be out.
    let rest = (drill.servers as u32 - 1).div_ceil(drill.max_out().0);
    let parts = STEP_DURATION * (1 + rest) + Duration::from_millis(3_000 + 1_000);
    let times = good.took.as_secs_f64() / parts.as_secs_f64();
    claims.timed(
        times <= OVERRUN_LIMIT,
        "undisturbed it takes no more than 1.3 times what its parts take",
        format!("{:.1} s of {:.1} s, {times:.2} times", good.took.as_secs_f64(), parts.as_secs_f64()),
    );
}

fn bad_release(claims: &mut Claims, session: &Session<'_>, observed: &Observed) {
    let (drill, bad) = (session.drill, &observed.bad);
    let in_time = !drill.timed || bad.halted_after <= REGRESSION_DETECTION_TIME && bad.servers == 1;
    claims.timed(
        bad.started_first && bad.stopped && in_time,
        "a version that turns saves away is stopped, within 10 s of its first server",
        format!("{:.1} s, {} servers had it: {}", bad.halted_after.as_secs_f64(), bad.servers, bad.why),
    );
    claims.timed(bad.rolled_back, "and is gone everywhere, with nobody's help", &bad.last_state);
}

/// The fraction served of the requests that arrived in a period, and their number.
fn served(clients: &[Records], from_ms: u64, to_ms: u64) -> (f64, usize) {
    let of = clients
        .iter()
        .flat_map(|client| &client.requests)
        .filter(|r| (from_ms..to_ms).contains(&r.arrived_ms));
    let of: Vec<bool> = of.map(|request| request.took_ms.is_some()).collect();
    (of.iter().filter(|served| **served).count() as f64 / of.len().max(1) as f64, of.len())
}

fn service(claims: &mut Claims, session: &Session<'_>, observed: &Observed) {
    let (drill, good) = (session.drill, &observed.good);
    let (before, before_of) = served(&observed.clients, observed.loaded_ms + 1_000, good.begin_ms);
    let (during, during_of) = served(&observed.clients, good.begin_ms, good.done_ms);
    let ratio = during / before.max(1e-9);
    let min_ratio = match (drill.timed, drill.faults) {
        (false, _) => 0.5,
        (true, true) => 0.9,
        (true, false) => MIN_SERVICE_RATIO,
    };
    claims.timed(
        ratio >= min_ratio && before_of > 0 && during_of > 0,
        &format!("service during the release at least {min_ratio} of that without one"),
        format!("{during:.3} of {during_of}, {before:.3} of {before_of} before: {ratio:.3}"),
    );
    let (share, of) = served(&observed.clients, observed.bad.begin_ms, unix_ms());
    println!("  served {share:.3} of {of} while the bad version came and went");
}

fn answers(claims: &mut Claims, session: &Session<'_>, observed: &Observed) {
    let in_outage = |one: &Attempt| {
        let server = session.fleet.nodes.iter().position(|node| node.address == one.server);
        server.is_some_and(|server| session.faults.caused_outage(server, one.t0_ms, one.end_ms))
    };
    let tries: Vec<&Attempt> = observed.clients.iter().flat_map(|client| &client.tries).collect();
    let owed: Vec<&&Attempt> = tries.iter().filter(|one| !in_outage(one)).collect();
    let lost = owed.iter().filter(|one| matches!(one.end, End::Lost | End::TimedOut)).count();
    let false_ones = tries.iter().filter(|one| one.end == End::Served && !one.correct_result).count();
    claims.timed(
        lost * 1_000 < 3 * owed.len().max(1),
        "tries answered, all but 3 in 1,000",
        format!("{lost} of {} without an answer", owed.len()),
    );
    claims.claim(false_ones == 0, "none answered falsely", format!("{false_ones} of {}", tries.len()));
}

fn saves(claims: &mut Claims, session: &Session<'_>) {
    let (mut saves, mut twice) = (0, 0);
    for node in &session.fleet.nodes {
        let begun: Vec<_> = node.begun.iter().filter(|begun| begun.class == "label-save").cloned().collect();
        let runs = runs_by(&begun, |begun| Some(begun.body.clone()));
        saves += runs.len();
        twice += runs.values().filter(|count| **count > 1).count();
    }
    claims.claim(twice == 0, "saves run twice by one server", format!("{twice} of {saves}"));
    claims.timed(saves > 0, "saves were run", saves);
}
