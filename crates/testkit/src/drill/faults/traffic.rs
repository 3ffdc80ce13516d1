//! Steady load, health checks and operators' calls.

use super::client::{Connection, HANG_TIMEOUT, POLL_INTERVAL, Prepared, ReadOutcome, RequestOptions, Target};
use super::random::Random;
use super::settings::READ;
use crate::thrift::Answer;
use std::io::{self, Read, Write};
use std::net::TcpStream;
use std::thread;
use std::time::{Duration, Instant};

/// Maximum requests per batch, and maximum pause between batches.
const MAX_BATCH_REQUESTS: usize = 4;
const MAX_PAUSE_MS: u64 = 8;

/// Sends batches and reads every answer until the load is stopped.
pub fn steady(target: &Target, seed: u64) {
    let mut random = Random::new(seed, 3);
    while !target.load_is_over() {
        let Some(mut connection) = target.connect() else { return };
        loop {
            if target.load_is_over() {
                connection.finish();
                return;
            }
            let batch = batch(target, &mut connection, &mut random);
            if connection.send(&batch).is_err() {
                // Read what arrived before the connection broke.
                while connection.read(Instant::now() + POLL_INTERVAL) == ReadOutcome::Message {}
                connection.send_crossed_again(target);
                break;
            }
            match connection.wait_for_answers() {
                ReadOutcome::Message if connection.draining => {
                    connection.finish();
                    break;
                }
                ReadOutcome::Message => {}
                ReadOutcome::Closed => {
                    connection.send_crossed_again(target);
                    break;
                }
                ReadOutcome::TimedOut => return,
            }
            thread::sleep(Duration::from_millis(random.within(0..=MAX_PAUSE_MS)));
        }
    }
}

fn batch(target: &Target, connection: &mut Connection, random: &mut Random) -> Vec<Prepared> {
    let mut batch = Vec::new();
    for _ in 0..random.count(1..=MAX_BATCH_REQUESTS) {
        let first = connection.prepare(random, &RequestOptions::default());
        let index = first.index;
        batch.push(first);
        let keyed = target.record.entries().requests[index].token.is_some();
        if keyed && random.once_in(3) {
            batch.push(
                connection
                    .prepare(random, &RequestOptions { retry_of: Some(index), ..RequestOptions::default() }),
            );
        }
    }
    batch
}

/// Makes a health check on its own connection and records it; returns whether it was positive, or `None` if there was
/// no answer.
pub fn health(target: &Target) -> Option<bool> {
    let mut connection = target.connect()?;
    let check = connection.prepare_check();
    let sent = connection.write(&check);
    let came = connection.wait_for_answers();
    if came != ReadOutcome::Message && connection.was_killed() {
        return None;
    }
    let answer = match (sent, came) {
        (_, ReadOutcome::Message) => Ok("answered".to_string()),
        (Err(e), _) => Err(e.to_string()),
        (_, ReadOutcome::Closed) if target.is_stopping() => return None,
        (_, ReadOutcome::Closed) => Err(format!("closed with no answer after {:?}", connection.age())),
        (_, ReadOutcome::TimedOut) => Err(format!("no answer in time; threads\n{}", target.threads())),
    };
    let answered = answer.is_ok();
    target.record.check_on(connection.connected(), "a health check", answer);
    answered.then(|| connection.is_good())
}

/// Checks that requests are served again once all faults are reverted, by sending requests until one is served.
/// Detects a server that rejects every request or lets it time out for good.
pub fn serves_again(target: &Target, seed: u64) {
    serves_one_of(target, seed, &RequestOptions { class: Some(READ), ..RequestOptions::default() });
}

/// Like [`serves_again`], with requests of this kind.
pub fn serves_one_of(target: &Target, seed: u64, options: &RequestOptions) {
    let (start, mut random) = (Instant::now(), Random::new(seed, 7));
    while start.elapsed() < HANG_TIMEOUT {
        let Some(mut connection) = target.connect() else { return };
        let prepared = connection.prepare(&mut random, options);
        if connection.send(std::slice::from_ref(&prepared)).is_ok() {
            connection.wait_for_answers();
        }
        connection.finish();
        thread::sleep(POLL_INTERVAL);
        let entries = target.record.entries();
        let answers = &entries.requests[prepared.index].answers;
        if answers.iter().any(|(_, answer)| matches!(answer, Answer::Served(..))) {
            return;
        }
    }
    let hang = target.threads();
    target.record.check("any request after the faults", Err(format!("none is served; threads\n{hang}")));
}

/// Makes an operator's call and records its outcome.
pub fn admin(target: &Target, path: &str) {
    let call = || -> io::Result<String> {
        let mut stream = TcpStream::connect_timeout(&target.admin, HANG_TIMEOUT)?;
        stream.set_read_timeout(Some(HANG_TIMEOUT))?;
        stream.write_all(format!("GET {path} HTTP/1.1\r\nHost: a\r\n\r\n").as_bytes())?;
        let mut text = String::new();
        stream.read_to_string(&mut text)?;
        Ok(text)
    };
    let answer = match call() {
        Ok(text) if text.starts_with("HTTP/1.1 200 ") || text.starts_with("HTTP/1.1 503 not") => Ok(text),
        Ok(text) if path == "/healthcheck" && text.starts_with("HTTP/1.1 503 ") => Ok(text),
        Ok(text) => Err(format!("'{}'", text.lines().next().unwrap_or_default())),
        Err(e) => Err(format!("{e}; threads\n{}", target.threads())),
    };
    target.record.check(&format!("the operators' call {path}"), answer);
}
