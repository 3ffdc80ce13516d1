//! What comes back: answers, ends of connections, and times that run out.

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
                    // Closed once everything on it is answered.
                    conns.retain(|conn| {
                        let over = conn.draining && conn.open.is_empty();
                        if over {
                            let _ = conn.stream.shutdown(Shutdown::Both);
                        }
                        !over
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
                    if let Some(place) = conns.iter().position(|conn| conn.id == id) {
                        let conn = conns.remove(place);
                        lost.extend(conn.open.into_values().map(|open| (server, open)));
                    }
                }
                for (server, open) in lost {
                    self.over(server, &open, End::Lost, false);
                    self.again(&open, None);
                }
            }
            None => {}
        }
    }

    pub(super) fn answered(&mut self, server: SocketAddr, open: &Open, answer: Answer) {
        match answer {
            Answer::Served(result, _) => {
                let genuine = result == [&b"result of "[..], open.request.to_string().as_bytes()].concat();
                self.over(server, open, End::Served, genuine);
                if let Some(pending) = self.pending.remove(&open.request) {
                    let took = pending.arrived.elapsed();
                    let write = pending.written.map_or(took, |at| at.elapsed());
                    let aim = self.classes[pending.class].aim;
                    self.books.requests.push(pending.asked(Some(took.as_millis() as u64)));
                    self.count(|live| {
                        live.times_us.push(took.as_micros() as u64);
                        live.writes_us.push(write.as_micros() as u64);
                        if took <= aim { live.served += 1 } else { live.late += 1 }
                    });
                }
            }
            Answer::Refused { backoff_ms, last, .. } => {
                self.over(server, open, End::Refused, true);
                self.count(|live| live.refused += 1);
                if self.habit.heeds && backoff_ms > 0 {
                    self.away.insert(server, Instant::now() + Duration::from_millis(backoff_ms));
                }
                if self.habit.heeds && last && !open.repeat {
                    self.give_up(open.request)
                } else {
                    self.again(open, Some(Duration::from_millis(backoff_ms)))
                }
            }
            Answer::Failed(_) | Answer::Bad => {
                self.over(server, open, End::Failed, true);
                self.again(open, None);
            }
        }
    }

    /// A try has ended.
    pub(super) fn over(&mut self, server: SocketAddr, open: &Open, end: End, genuine: bool) {
        let keyed = self.classes.iter().position(|class| class.keyed).unwrap_or(0);
        let class = self.pending.get(&open.request).map_or(keyed, |pending| pending.class);
        self.end(server, open, class, end, genuine);
    }

    /// Tries again: what was refused, with the time to stay away, always; what may have run only if it is safe to
    /// repeat.
    pub(super) fn again(&mut self, open: &Open, refused: Option<Duration>) {
        if open.repeat {
            return;
        }
        let request = open.request;
        let keyed = self.pending.get(&request).is_some_and(|pending| self.classes[pending.class].keyed);
        match (refused, self.habit.retry) {
            (None, _) if keyed => self.give_up(request),
            (Some(told), Retry::Patient) => {
                // Spread over half as long again, so that those who were turned away together don't return together.
                let spread = 1.0 + 0.5 * self.unit();
                let by = told.max(Duration::from_millis(10)).mul_f64(spread);
                if let Some(pending) = self.pending.get_mut(&request) {
                    pending.tried.clear();
                }
                self.put_off(by, Later::Again(request));
            }
            _ => self.send(request),
        }
    }

    pub(super) fn time_out(&mut self, now: Instant) {
        let mut late = Vec::new();
        for (&server, conns) in &mut self.conns {
            for conn in conns {
                let due: Vec<i32> =
                    conn.open.iter().filter(|(_, open)| open.due <= now).map(|(seq, _)| *seq).collect();
                for seq in due {
                    // Over SCGI a caller that gives up closes.
                    let _ = if conn.once {
                        conn.stream.shutdown(Shutdown::Both)
                    } else {
                        conn.stream.write_all(&thrift::cancel(seq, seq))
                    };
                    late.extend(conn.open.remove(&seq).map(|open| (server, open)));
                }
            }
        }
        for (server, open) in late {
            self.over(server, &open, End::TimedOut, false);
            if !open.repeat {
                self.give_up(open.request);
            }
        }
    }
}
