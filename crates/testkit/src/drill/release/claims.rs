//! The claims of the drill, of what was seen. Those that hold whatever the machine does are apart from those that rest on its
//! speed: a server's or a client's times, and what has to be over within a time.

use super::scenario::Observed;
use super::session::Session;
use super::{KEEPS, LONGER, SEEN, STEP};
use crate::drill::Claims;
use crate::harness::supervisor::Replacement;
use crate::load::{Attempt, End, Records};
use crate::processor::runs_by;
use crate::registry::server::unix_ms;
use std::time::Duration;

/// Makes all of them.
pub fn claim(claims: &mut Claims, session: &Session<'_>, seen: &Observed) {
    outages(claims, session);
    sound(claims, session, seen);
    bad(claims, session, seen);
    service(claims, session, seen);
    answers(claims, session, seen);
    saves(claims, session);
}

fn outages(claims: &mut Claims, session: &Session<'_>) {
    let (most, zone) = session.drill.most();
    let all = &session.supervisor.replacements;
    let past = |began: &&Replacement| {
        let out: Vec<usize> = began.agreed.iter().chain(&began.unplanned).copied().collect();
        let of_zone = out.iter().filter(|n| *n % 3 == began.server % 3).count();
        out.len() > most as usize || of_zone > zone as usize
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

fn sound(claims: &mut Claims, session: &Session<'_>, seen: &Observed) {
    let (drill, sound) = (session.drill, &seen.sound);
    claims.timed(
        sound.through && sound.had_v1,
        "the release is everywhere in the end, and all that ran before runs after",
        format!("{:.1} s", sound.took.as_secs_f64()),
    );
    if !drill.timed || drill.faults || drill.plain {
        return;
    }
    // One first, then as many at a time as may be out.
    let rest = (drill.servers as u32 - 1).div_ceil(drill.most().0);
    let parts = STEP * (1 + rest) + Duration::from_millis(3_000 + 1_000);
    let times = sound.took.as_secs_f64() / parts.as_secs_f64();
    claims.timed(
        times <= LONGER,
        "undisturbed it takes no more than 1.3 times what its parts take",
        format!("{:.1} s of {:.1} s, {times:.2} times", sound.took.as_secs_f64(), parts.as_secs_f64()),
    );
}

fn bad(claims: &mut Claims, session: &Session<'_>, seen: &Observed) {
    let (drill, bad) = (session.drill, &seen.bad);
    let in_time = !drill.timed || bad.halted_after <= SEEN && bad.servers == 1;
    claims.timed(
        bad.first && bad.stopped && in_time,
        "a version that turns saves away is stopped, within 10 s of its first server",
        format!("{:.1} s, {} servers had it: {}", bad.halted_after.as_secs_f64(), bad.servers, bad.why),
    );
    claims.timed(bad.gone, "and is gone everywhere, with nobody's help", &bad.last_state);
}

/// How many of the requests that came between two moments were served, and how many came.
fn served(books: &[Records], from_ms: u64, to_ms: u64) -> (f64, usize) {
    let of = books.iter().flat_map(|b| &b.requests).filter(|r| (from_ms..to_ms).contains(&r.arrived_ms));
    let of: Vec<bool> = of.map(|request| request.took_ms.is_some()).collect();
    (of.iter().filter(|served| **served).count() as f64 / of.len().max(1) as f64, of.len())
}

fn service(claims: &mut Claims, session: &Session<'_>, seen: &Observed) {
    let (drill, sound) = (session.drill, &seen.sound);
    let (quiet, quiet_of) = served(&seen.books, seen.loaded_ms + 1_000, sound.begin_ms);
    let (during, during_of) = served(&seen.books, sound.begin_ms, sound.done_ms);
    let kept = during / quiet.max(1e-9);
    let least = match (drill.timed, drill.faults) {
        (false, _) => 0.5,
        (true, true) => 0.9,
        (true, false) => KEEPS,
    };
    claims.timed(
        kept >= least && quiet_of > 0 && during_of > 0,
        &format!("service during the release at least {least} of that without one"),
        format!("{during:.3} of {during_of}, {quiet:.3} of {quiet_of} before: {kept:.3}"),
    );
    let (share, of) = served(&seen.books, seen.bad.begin_ms, unix_ms());
    println!("  served {share:.3} of {of} while the bad version came and went");
}

fn answers(claims: &mut Claims, session: &Session<'_>, seen: &Observed) {
    let hurt = |one: &Attempt| {
        let server = session.fleet.nodes.iter().position(|node| node.address == one.server);
        server.is_some_and(|server| session.faults.took(server, one.t0_ms, one.end_ms))
    };
    let tries: Vec<&Attempt> = seen.books.iter().flat_map(|books| &books.tries).collect();
    let owed: Vec<&&Attempt> = tries.iter().filter(|one| !hurt(one)).collect();
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
