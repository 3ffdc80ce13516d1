//! What steady clients and operators do with a server: load, health checks, calls, and whether it serves at all.

use super::client::{Came, Connection, LOOK, PATIENCE, Prepared, Special, Target};
use super::random::Random;
use super::settings::READ;
use crate::thrift::Answer;
use std::io::{self, Read, Write};
use std::net::TcpStream;
use std::thread;
use std::time::{Duration, Instant};

/// Requests of a batch at the most, and the time between batches.
const LARGEST_BATCH: usize = 4;
const LONGEST_PAUSE_MS: u64 = 8;

/// Sends batch after batch until it is told to be quiet, and reads every answer.
pub fn steady(target: &Target, seed: u64) {
    let mut random = Random::new(seed, 3);
    while !target.is_quiet() {
        let Some(mut connection) = target.connect() else { return };
        loop {
            if target.is_quiet() {
                connection.finish();
                return;
            }
            let batch = batch(target, &mut connection, &mut random);
            if connection.send(&batch).is_err() {
                // Read what came before it broke.
                while connection.read(Instant::now() + LOOK) == Came::Message {}
                connection.send_crossed_again(target);
                break;
            }
            match connection.wait_for_answers() {
                Came::Message if connection.draining => {
                    connection.finish();
                    break;
                }
                Came::Message => {}
                Came::End => {
                    connection.send_crossed_again(target);
                    break;
                }
                Came::Nothing => return,
            }
            thread::sleep(Duration::from_millis(random.within(0..=LONGEST_PAUSE_MS)));
        }
    }
}

fn batch(target: &Target, connection: &mut Connection, random: &mut Random) -> Vec<Prepared> {
    let mut batch = Vec::new();
    for _ in 0..random.count(1..=LARGEST_BATCH) {
        let first = connection.prepare(random, &Special::default());
        let place = first.place;
        batch.push(first);
        let keyed = target.record.entries().requests[place].token.is_some();
        if keyed && random.once_in(3) {
            batch.push(connection.prepare(random, &Special { again: Some(place), ..Special::default() }));
        }
    }
    batch
}

/// A health check on its own connection.
pub fn health(target: &Target) -> Option<bool> {
    let mut connection = target.connect()?;
    let check = connection.prepare_check();
    let sent = connection.write(&check);
    let came = connection.wait_for_answers();
    if came != Came::Message && connection.was_killed() {
        return None;
    }
    let answer = match (sent, came) {
        (_, Came::Message) => Ok("answered".to_string()),
        (Err(e), _) => Err(e.to_string()),
        (_, Came::End) if target.is_leaving() => return None,
        (_, Came::End) => Err(format!("closed with no answer, {:?} after it was made", connection.age())),
        (_, Came::Nothing) => Err(format!("no answer within the wait; threads\n{}", target.threads())),
    };
    let answered = answer.is_ok();
    target.record.check_on(connection.connected(), "a health check", answer);
    answered.then(|| connection.is_good())
}

/// Whether requests are served again once all faults were taken back: asked for until one is. Guards against a server that
/// turns everything away, or fails it in time, for ever.
pub fn serves_again(target: &Target, seed: u64) {
    let (start, mut random) = (Instant::now(), Random::new(seed, 7));
    let special = Special { class: Some(READ), ..Special::default() };
    while start.elapsed() < PATIENCE {
        let Some(mut connection) = target.connect() else { return };
        let prepared = connection.prepare(&mut random, &special);
        if connection.send(std::slice::from_ref(&prepared)).is_ok() {
            connection.wait_for_answers();
        }
        connection.finish();
        let entries = target.record.entries();
        let answers = &entries.requests[prepared.place].answers;
        if answers.iter().any(|(_, answer)| matches!(answer, Answer::Served(..))) {
            return;
        }
    }
    let hang = target.threads();
    target.record.check("any request after the faults", Err(format!("none is served; threads\n{hang}")));
}

/// An operator's call.
pub fn admin(target: &Target, path: &str) {
    let call = || -> io::Result<String> {
        let mut stream = TcpStream::connect_timeout(&target.admin, PATIENCE)?;
        stream.set_read_timeout(Some(PATIENCE))?;
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
