//! Clients of a server in upgrade: those that heed `draining`, those that use a connection until it ends, and those that
//! rest and send again at any moment. All keep to the protocol page in what they send.

use crate::drill::faults::client::{
    Connection, POLL_INTERVAL, Prepared, ReadOutcome, RequestOptions, Target,
};
use crate::drill::faults::random::Random;
use crate::drill::faults::settings::{CLAIM, READ};
use std::ops::RangeInclusive;
use std::thread;
use std::time::{Duration, Instant};

/// A request that was written at most this long before its connection ended may have crossed the close.
const CROSSING: Duration = Duration::from_millis(50);
/// What clients wait for an answer, as they say in their requests.
const BUDGET_MS: u64 = 550;
/// The same of a client with little time left.
const HURRIED_BUDGET_MS: RangeInclusive<u64> = 5..=250;
/// Requests that may be open on a connection, and that a client with little time sends together at the most.
const MAX_OPEN_REQUESTS: usize = 32;
const MAX_HURRIED_BATCH: usize = 12;
/// Time after which a connection that brings neither an answer nor an end has hung.
const HANG_TIMEOUT: Duration = Duration::from_secs(8);
/// Requests that are answered on a connection before a client that heeds `draining` opens another.
const MAX_REQUESTS_PER_CONNECTION: usize = 400;

/// How a client treats its connections.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Manner {
    /// It stops using a connection on which the server says that it drains.
    Heeds,
    /// It uses a connection until the connection ends.
    Insists,
    /// It sends retries and other requests whose callers wait for a moment more, and uses a connection until it ends.
    Hurries,
    /// It rests for up to half a second between requests, and uses a connection until it ends.
    Rests,
}

impl Manner {
    fn pause(self, random: &mut Random, pace_ms: u64) -> Duration {
        Duration::from_millis(match self {
            Self::Heeds | Self::Insists | Self::Hurries => random.within(0..=pace_ms),
            Self::Rests => random.within(20..=500),
        })
    }

    /// How many requests are sent together.
    fn batch_size(self, random: &mut Random) -> usize {
        // One more may be added, a retry.
        random.count(if self == Self::Hurries { 1..=MAX_HURRIED_BATCH - 1 } else { 1..=4 })
    }

    /// How many requests are left unanswered when more are sent.
    fn max_left_open(self) -> usize {
        if self == Self::Hurries { MAX_OPEN_REQUESTS - MAX_HURRIED_BATCH } else { 0 }
    }

    /// What the callers wait for an answer.
    fn budget_ms(self, random: &mut Random) -> u64 {
        if self == Self::Hurries { random.within(HURRIED_BUDGET_MS) } else { BUDGET_MS }
    }
}

/// Sends requests until the load is stopped, up to four at a time with retries of keyed ones.
pub fn play(target: &Target, manner: Manner, pace_ms: u64, seed: u64) {
    let mut random = Random::new(seed, 11);
    // An earlier keyed request, which may be retried on any connection.
    let mut keyed: Option<(usize, Instant)> = None;
    while !target.load_is_over() {
        let Some(mut connection) = target.connect() else { return };
        let mut answered = 0;
        loop {
            if target.load_is_over() || answered > MAX_REQUESTS_PER_CONNECTION {
                connection.finish();
                break;
            }
            let batch = batch(target, manner, &mut connection, &mut random, &mut keyed);
            let is_cancelled = random.once_in(40);
            if connection.send(&batch).is_err() {
                while connection.read(Instant::now() + POLL_INTERVAL) == ReadOutcome::Message {}
                connection.send_crossing_again(target, CROSSING);
                break;
            }
            if is_cancelled {
                connection.cancel(&batch);
            }
            let answers_by = Instant::now() + HANG_TIMEOUT;
            match connection.wait_for_places_until(manner.max_left_open(), answers_by) {
                ReadOutcome::Message if connection.draining && manner == Manner::Heeds => {
                    connection.finish();
                    break;
                }
                ReadOutcome::Message => answered += batch.len(),
                ReadOutcome::Closed => {
                    connection.send_crossing_again(target, CROSSING);
                    break;
                }
                ReadOutcome::TimedOut => return,
            }
            let pause = manner.pause(&mut random, pace_ms);
            if manner != Manner::Hurries {
                thread::sleep(pause);
            } else if connection.read_for(pause) == ReadOutcome::Closed {
                connection.send_crossing_again(target, CROSSING);
                break;
            }
        }
    }
}

fn batch(
    target: &Target,
    manner: Manner,
    connection: &mut Connection,
    random: &mut Random,
    keyed: &mut Option<(usize, Instant)>,
) -> Vec<Prepared> {
    let mut batch = Vec::new();
    for _ in 0..manner.batch_size(random) {
        let class = if random.once_in(3) { CLAIM } else { READ };
        let fields = vec![("budget", manner.budget_ms(random).to_string())];
        let options = RequestOptions { class: Some(class), fields, ..RequestOptions::default() };
        let prepared = connection.prepare(random, &options);
        let is_keyed = target.record.entries().requests[prepared.index].token.is_some();
        if is_keyed && random.once_in(2) {
            *keyed = Some((prepared.index, Instant::now()));
        }
        batch.push(prepared);
    }
    // Well within the window of 9 s.
    let retried = keyed.filter(|(_, at)| at.elapsed() < Duration::from_secs(6) && random.once_in(4));
    if let Some((index, _)) = retried {
        let fields = vec![("budget", manner.budget_ms(random).to_string())];
        batch.push(
            connection.prepare(
                random,
                &RequestOptions { retry_of: Some(index), fields, ..RequestOptions::default() },
            ),
        );
    }
    batch
}

/// A request that is safe to repeat, with a budget that each deadline allows.
pub fn read_options() -> RequestOptions {
    let fields = vec![("budget", BUDGET_MS.to_string())];
    RequestOptions { class: Some(READ), fields, ..RequestOptions::default() }
}

/// Opens a connection, sends one request, and sends nothing more until the connection ends or the load is over.
pub fn rest(target: &Target, seed: u64) {
    let mut random = Random::new(seed, 12);
    while !target.load_is_over() {
        let Some(mut connection) = target.connect() else { return };
        let prepared = connection.prepare(&mut random, &read_options());
        if connection.send(std::slice::from_ref(&prepared)).is_ok()
            && connection.wait_for_answers_until(Instant::now() + HANG_TIMEOUT) == ReadOutcome::Message
        {
            while !target.load_is_over()
                && connection.read(Instant::now() + POLL_INTERVAL * 20) != ReadOutcome::Closed
            {}
            continue;
        }
        connection.send_crossing_again(target, CROSSING);
    }
}
