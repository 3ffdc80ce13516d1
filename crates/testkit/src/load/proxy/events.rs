//! Handling of answers, closed connections and timeouts.

use super::{Event, Later, Open, State};
use crate::load::{End, Retry};
use crate::thrift::{self, Answer, Message};
use std::io::Write;
use std::net::{Shutdown, SocketAddr};
use std::time::{Duration, Instant};

impl State {
    pub(super) fn event(&mut self, event: Option<Event>) {
        match event {
            Some(Event::Frame(id, Message::Draining)) => {
                for conns in self.conns.values_mut() {
                    for conn in conns.iter_mut().filter(|conn| conn.id == id) {
                        conn.draining = true;
                    }
                    // A draining connection closes once all its requests are answered.
                    conns.retain(|conn| {
                        let closed = conn.draining && conn.open.is_empty();
                        if closed {
                            let _ = conn.stream.shutdown(Shutdown::Both);
                        }
                        !closed
                    });
                }
            }
            Some(Event::Frame(id, Message::Answer(seq, answer))) => {
                let mut found = None;
                for (&server, conns) in &mut self.conns {
                    if let Some(conn) = conns.iter_mut().find(|conn| conn.id == id) {
                        found = conn.open.remove(&seq).map(|open| (server, open));
                        if conn.draining && conn.open.is_empty() {
                            let _ = conn.stream.shutdown(Shutdown::Both);
                        }
                    }
                }
                if let Some((server, open)) = found {
                    self.answered(server, &open, answer);
                }
            }
            Some(Event::Ended(id)) => {
                let mut lost = Vec::new();
                for (&server, conns) in &mut self.conns {
                    if let Some(index) = conns.iter().position(|conn| conn.id == id) {
                        let conn = conns.remove(index);
                        lost.extend(conn.open.into_values().map(|open| (server, open)));
                    }
                }
                for (server, open) in lost {
                    self.record_end(server, &open, End::Lost, false);
                    self.retry(&open, None);
                }
            }
            None => {}
        }
    }

    pub(super) fn answered(&mut self, server: SocketAddr, open: &Open, answer: Answer) {
        match answer {
            Answer::Served(result, _) => {
                let correct_result =
                    result == [&b"result of "[..], open.request.to_string().as_bytes()].concat();
                self.record_end(server, open, End::Served, correct_result);
                if let Some(pending) = self.pending.remove(&open.request) {
                    let took = pending.arrived.elapsed();
                    let write = pending.written.map_or(took, |at| at.elapsed());
                    let aim = self.classes[pending.class].aim;
                    self.records.requests.push(pending.record(Some(took.as_millis() as u64)));
                    self.count(|live| {
                        live.times_us.push(took.as_micros() as u64);
                        live.writes_us.push(write.as_micros() as u64);
                        if took <= aim { live.served += 1 } else { live.late += 1 }
                    });
                }
            }
            Answer::Refused { backoff_ms, last, .. } => {
                self.record_end(server, open, End::Refused, true);
                self.count(|live| live.refused += 1);
                if self.behavior.honors_retry_after && backoff_ms > 0 {
                    self.avoided_until.insert(server, Instant::now() + Duration::from_millis(backoff_ms));
                }
                if self.behavior.honors_retry_after && last && !open.repeat {
                    self.give_up(open.request)
                } else {
                    self.retry(open, Some(Duration::from_millis(backoff_ms)))
                }
            }
            Answer::Failed(_) | Answer::Bad => {
                self.record_end(server, open, End::Failed, true);
                self.retry(open, None);
            }
        }
    }

    /// Records the end of an attempt.
    pub(super) fn record_end(&mut self, server: SocketAddr, open: &Open, end: End, correct_result: bool) {
        let keyed = self.classes.iter().position(|class| class.keyed).unwrap_or(0);
        let class = self.pending.get(&open.request).map_or(keyed, |pending| pending.class);
        self.record_attempt(server, open, class, end, correct_result);
    }

    /// Retries a request. A rejected attempt, with its Retry-After time, may always be retried; an attempt that may have run
    /// only if its request has no idempotency key.
    pub(super) fn retry(&mut self, open: &Open, refused: Option<Duration>) {
        if open.repeat {
            return;
        }
        let request = open.request;
        let keyed = self.pending.get(&request).is_some_and(|pending| self.classes[pending.class].keyed);
        match (refused, self.behavior.retry) {
            (None, _) if keyed => self.give_up(request),
            (Some(retry_after), Retry::Patient) => {
                // Jitter of up to half the time keeps clients that were rejected together from returning together.
                let spread = 1.0 + 0.5 * self.unit();
                let delay = retry_after.max(Duration::from_millis(10)).mul_f64(spread);
                if let Some(pending) = self.pending.get_mut(&request) {
                    pending.tried_servers.clear();
                }
                self.schedule(delay, Later::Attempt(request));
            }
            _ => self.send(request),
        }
    }

    pub(super) fn expire_attempts(&mut self, now: Instant) {
        let mut expired = Vec::new();
        for (&server, conns) in &mut self.conns {
            for conn in conns {
                let due: Vec<i32> =
                    conn.open.iter().filter(|(_, open)| open.due <= now).map(|(seq, _)| *seq).collect();
                for seq in due {
                    // Over SCGI, closing the connection cancels the request.
                    let _ = if conn.once {
                        conn.stream.shutdown(Shutdown::Both)
                    } else {
                        conn.stream.write_all(&thrift::cancel(seq, seq))
                    };
                    expired.extend(conn.open.remove(&seq).map(|open| (server, open)));
                }
            }
        }
        for (server, open) in expired {
            self.record_end(server, &open, End::TimedOut, false);
            if !open.repeat {
                self.give_up(open.request);
            }
        }
    }
}
