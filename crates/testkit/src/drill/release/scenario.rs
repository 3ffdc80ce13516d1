//! What the drill plays, in its order: load by itself, a sound release, a bad one that is to stop and go back. Gives what was
//! seen; [`super::claims`] judges it.

use super::clients::Clients;
use super::session::Session;
use super::{SEEN, STEP};
use crate::harness::supervisor::NO_SAVES;
use crate::load::Records;
use crate::registry::server::unix_ms;
use std::io;
use std::time::{Duration, Instant};

/// What was seen of the sound release.
#[derive(Debug)]
pub struct Sound {
    /// Unix time in ms at which it was started, and at which all had it.
    pub begin_ms: u64,
    /// See `begin_ms`.
    pub done_ms: u64,
    /// From the one to the other.
    pub took: Duration,
    /// Whether it came to its end, and all servers had it.
    pub through: bool,
    /// Whether all had the earlier version before.
    pub had_v1: bool,
}

/// What was seen of the bad release.
#[derive(Debug)]
pub struct Bad {
    /// Unix time in ms at which it was started.
    pub begin_ms: u64,
    /// Whether a first server came to have it, and whether the release stopped then.
    pub first: bool,
    /// See `first`.
    pub stopped: bool,
    /// From the first server to the stop.
    pub halted_after: Duration,
    /// The state of the release when it stopped.
    pub why: String,
    /// Whether it was gone everywhere in the end, and the state then.
    pub gone: bool,
    /// See `gone`.
    pub last_state: String,
    /// How many servers had it.
    pub servers: usize,
}

/// What was seen of all of it.
#[derive(Debug)]
pub struct Observed {
    /// Unix time in ms at which the load began.
    pub loaded_ms: u64,
    /// The two releases.
    pub sound: Sound,
    /// See `sound`.
    pub bad: Bad,
    /// What the clients counted.
    pub books: Vec<Records>,
}

/// Plays all of it.
pub fn play(session: &mut Session<'_>) -> io::Result<Observed> {
    session.found()?;
    session.clients = Some(Clients::start(session.drill, &session.fleet)?);
    let loaded_ms = unix_ms();
    session.until(Duration::from_secs(session.drill.quiet_s), |_| false)?;
    let sound = sound(session)?;
    session.until(Duration::from_secs(2), |_| false)?;
    let bad = bad(session)?;
    session.until(Duration::from_secs(2), |_| false)?;
    let books = session.clients.take().map(Clients::stop).unwrap_or_default();
    session.fleet.collect();
    Ok(Observed { loaded_ms, sound, bad, books })
}

fn sound(session: &mut Session<'_>) -> io::Result<Sound> {
    let drill = session.drill;
    let (begin, begin_ms) = (Instant::now(), unix_ms());
    let had_v1 = session.fleet.nodes.iter().all(|node| node.version == "v1");
    session.faults.next = Instant::now() + Duration::from_secs(2);
    let started = session.start("v2")?;
    println!("  the release of v2: {started:?}");
    let patience =
        STEP * (2 * drill.servers as u32) + Duration::from_secs(if drill.faults { 90 } else { 30 });
    let through = session.through("v2", patience)?;
    session.faults.pause();
    let whole = session
        .until(Duration::from_secs(15), |session| session.supervisor.all_have(&session.fleet, Some("v2")))?;
    let (took, done_ms) = (begin.elapsed(), unix_ms());
    Ok(Sound { begin_ms, done_ms, took, through: through && whole, had_v1 })
}

/// A version that turns saves away: it is to stop and go back by itself.
fn bad(session: &mut Session<'_>) -> io::Result<Bad> {
    let began = session.supervisor.replacements.len();
    let begin_ms = unix_ms();
    let started = session.start(NO_SAVES)?;
    println!("  the release of {NO_SAVES}: {started:?}");
    let first = session.until(Duration::from_secs(15), |session| {
        session.fleet.nodes.iter().any(|node| node.version == NO_SAVES)
    })?;
    let seen = Instant::now();
    let patience = if session.drill.timed { 2 * SEEN } else { 6 * SEEN };
    let stopped = session.until(patience, |session| {
        let state = session.release_state();
        state.starts_with("going back") || state.starts_with("undone") || state.starts_with("halted")
    })?;
    let halted_after = seen.elapsed();
    let why = session.release_state();
    let gone = session.until(STEP * 4 + Duration::from_secs(10), |session| {
        session.release_state().starts_with("undone")
            && session.supervisor.all_have(&session.fleet, Some("v2"))
    })?;
    let last_state = session.release_state();
    let began = &session.supervisor.replacements[began..];
    let servers = began.iter().filter(|began| began.version == NO_SAVES).count();
    Ok(Bad { begin_ms, first, stopped, halted_after, why, gone, last_state, servers })
}
