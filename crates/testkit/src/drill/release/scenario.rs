//! The course of the drill: load alone, a good release, then a bad one that must stop and roll back. Returns the
//! observations, which [`super::claims`] judges.

use super::clients::Clients;
use super::session::Session;
use super::{REGRESSION_DETECTION_TIME, STEP_DURATION};
use crate::harness::supervisor::NO_SAVES;
use crate::load::Records;
use crate::registry::server::unix_ms;
use std::io;
use std::time::{Duration, Instant};

/// Observations of the good release.
#[derive(Debug)]
pub struct GoodRelease {
    /// Unix time in ms at which it was started.
    pub begin_ms: u64,
    /// Unix time in ms at which all servers had it.
    pub done_ms: u64,
    /// Time from the start until all servers had it.
    pub took: Duration,
    /// Whether it completed and all servers had it.
    pub completed: bool,
    /// Whether all servers ran the earlier version before.
    pub had_v1: bool,
}

/// Observations of the bad release.
#[derive(Debug)]
pub struct BadRelease {
    /// Unix time in ms at which it was started.
    pub begin_ms: u64,
    /// Whether any server ran it.
    pub started_first: bool,
    /// Whether the release stopped after that.
    pub stopped: bool,
    /// Time from the first server to the stop.
    pub halted_after: Duration,
    /// State of the release when it stopped.
    pub why: String,
    /// Whether it was rolled back on all servers.
    pub rolled_back: bool,
    /// State of the release at the end.
    pub last_state: String,
    /// Number of servers that ran it.
    pub servers: usize,
}

/// All observations of the drill.
#[derive(Debug)]
pub struct Observed {
    /// Unix time in ms at which the load began.
    pub loaded_ms: u64,
    /// Observations of the good release.
    pub good: GoodRelease,
    /// Observations of the bad release.
    pub bad: BadRelease,
    /// Records of the clients.
    pub clients: Vec<Records>,
}

/// Runs the whole scenario.
pub fn run(session: &mut Session<'_>) -> io::Result<Observed> {
    session.found_group()?;
    session.clients = Some(Clients::start(session.drill, &session.fleet)?);
    let loaded_ms = unix_ms();
    session.until(Duration::from_secs(session.drill.quiet_s), |_| false)?;
    let good = good_release(session)?;
    session.until(Duration::from_secs(2), |_| false)?;
    let bad = bad_release(session)?;
    session.until(Duration::from_secs(2), |_| false)?;
    let clients = session.clients.take().map(Clients::stop).unwrap_or_default();
    session.fleet.collect();
    Ok(Observed { loaded_ms, good, bad, clients })
}

fn good_release(session: &mut Session<'_>) -> io::Result<GoodRelease> {
    let drill = session.drill;
    let (begin, begin_ms) = (Instant::now(), unix_ms());
    let had_v1 = session.fleet.nodes.iter().all(|node| node.version == "v1");
    session.faults.next = Instant::now() + Duration::from_secs(2);
    let started = session.start("v2")?;
    println!("  the release of v2: {started:?}");
    let timeout =
        STEP_DURATION * (2 * drill.servers as u32) + Duration::from_secs(if drill.faults { 90 } else { 30 });
    let completed = session.complete_release("v2", timeout)?;
    session.faults.pause();
    let all_have = session
        .until(Duration::from_secs(15), |session| session.supervisor.all_have(&session.fleet, Some("v2")))?;
    let (took, done_ms) = (begin.elapsed(), unix_ms());
    Ok(GoodRelease { begin_ms, done_ms, took, completed: completed && all_have, had_v1 })
}

/// Starts a version that rejects saves, which must stop and roll back without an operator.
fn bad_release(session: &mut Session<'_>) -> io::Result<BadRelease> {
    let began = session.supervisor.replacements.len();
    let begin_ms = unix_ms();
    let started = session.start(NO_SAVES)?;
    println!("  the release of {NO_SAVES}: {started:?}");
    let started_first = session.until(Duration::from_secs(15), |session| {
        session.fleet.nodes.iter().any(|node| node.version == NO_SAVES)
    })?;
    let first_seen = Instant::now();
    let timeout =
        if session.drill.timed { 2 * REGRESSION_DETECTION_TIME } else { 6 * REGRESSION_DETECTION_TIME };
    let stopped = session.until(timeout, |session| {
        let state = session.release_state();
        state.starts_with("going back") || state.starts_with("undone") || state.starts_with("halted")
    })?;
    let halted_after = first_seen.elapsed();
    let why = session.release_state();
    let rolled_back = session.until(STEP_DURATION * 4 + Duration::from_secs(10), |session| {
        session.release_state().starts_with("undone")
            && session.supervisor.all_have(&session.fleet, Some("v2"))
    })?;
    let last_state = session.release_state();
    let began = &session.supervisor.replacements[began..];
    let servers = began.iter().filter(|began| began.version == NO_SAVES).count();
    Ok(BadRelease { begin_ms, started_first, stopped, halted_after, why, rolled_back, last_state, servers })
}
