//! Sending of attempts over both protocols, and the records of their ends.

use super::{Later, Open, State, TIMEOUT_GRACE};
use crate::load::{Attempt, End, Repeats};
use crate::registry::server::unix_ms;
use crate::thrift;
use gradepin_node::frontend::scgi::codec as scgi;
use rand_pcg::rand_core::Rng;
use std::io::Write;
use std::net::{Shutdown, SocketAddr};
use std::time::{Duration, Instant};

/// Parameters of an attempt.
pub(super) struct AttemptSpec {
    class: usize,
    is_retry: bool,
    token: String,
    scgi: bool,
    repeat: bool,
}

impl State {
    /// Sends an attempt; returns `false` if no connection could be established.
    pub(super) fn write(&mut self, request: u64, server: SocketAddr, left: Duration) -> bool {
        let Some(pending) = self.pending.get_mut(&request) else { return true };
        pending.attempts += 1;
        pending.tried_servers.insert(server);
        pending.written.get_or_insert_with(Instant::now);
        let (class, is_retry, token, scgi) =
            (pending.class, pending.attempts > 1, pending.token.clone(), pending.scgi);
        let Repeats { share, within_ms, separate_keys } = self.behavior.repeats;
        if !is_retry && self.classes[class].keyed && self.unit() < share {
            let delay = Duration::from_secs_f64(within_ms as f64 / 1e3 * self.unit());
            let token = if separate_keys { format!("{:032x}", self.rng.next_u64()) } else { token.clone() };
            self.schedule(delay, Later::Repeat { request, class, token, server, scgi: !scgi });
        }
        self.send_attempt(request, server, left, AttemptSpec { class, is_retry, token, scgi, repeat: false })
    }

    /// Sends the duplicate copy of a keyed request, whatever the outcome of the first.
    pub(super) fn repeat(
        &mut self,
        request: u64,
        class: usize,
        token: String,
        server: SocketAddr,
        scgi: bool,
    ) {
        let left = self.classes[class].deadline;
        self.send_attempt(
            request,
            server,
            left,
            AttemptSpec { class, is_retry: true, token, scgi, repeat: true },
        );
    }

    /// Writes an attempt to a connection; returns `false` if none could be established.
    pub(super) fn send_attempt(
        &mut self,
        request: u64,
        server: SocketAddr,
        left: Duration,
        spec: AttemptSpec,
    ) -> bool {
        let AttemptSpec { class, is_retry, token, scgi: over_scgi, repeat } = spec;
        let rid = format!("{:016x}", self.rng.next_u64());
        let memory = 8.0 + 56.0 * self.unit();
        // Truncated, because rounding could give 1, and servers reject ranks that aren't below 1.
        let rank = (self.unit() * 1e4).floor() / 1e4;
        let (keyed, name) = (self.classes[class].keyed, self.classes[class].name.clone());
        let (t0_ms, budget_ms) = (unix_ms(), left.as_millis() as u64);
        let due = Instant::now() + left + TIMEOUT_GRACE;
        let open = Open { rid: rid.clone(), request, t0_ms, due, scgi: over_scgi, repeat };
        let conn = if over_scgi { self.scgi_connection(server) } else { self.connection(server) };
        let Some(conn) = conn else {
            self.record_attempt(server, &open, class, End::NoConnection, false);
            return false;
        };
        conn.next_seq += 1;
        let seq = conn.next_seq;
        let tenants = ["etela-kasvio", "lansi-kasvio", "ita-kasvio", "pohjois-kasvio"];
        let tenant = tenants[(request % 4) as usize];

        let (t0, budget) = (t0_ms.to_string(), budget_ms.to_string());
        let (memory, rank) = (format!("{memory:.1}"), format!("{rank:.4}"));
        let peer = (request >> 40).to_string();
        let mut fields: Vec<(&str, &str)> = vec![
            ("method", &name),
            ("rid", &rid),
            ("t0", &t0),
            ("peer", &peer),
            ("acct", tenant),
            ("budget", &budget),
            ("mem", &memory),
            ("prio", &rank),
        ];
        if is_retry {
            fields.push(("again", "1"));
        }
        if keyed {
            fields.push(("token", &token));
        }
        let bytes = if over_scgi {
            let path = format!("/{name}/{request}");
            let quoted = format!("\"{token}\"");
            let mut headers: Vec<(&str, &str)> = vec![
                ("REQUEST_METHOD", if keyed { "PUT" } else { "GET" }),
                ("DOCUMENT_URI", &path),
                ("HTTP_X_REQUEST_ID", &rid),
                ("HTTP_X_CALLER", &peer),
                ("HTTP_X_TENANT", tenant),
                ("HTTP_X_WAIT_MS", &budget),
                ("HTTP_X_MEMORY_KB", &memory),
                ("HTTP_X_RANK", &rank),
            ];
            if is_retry {
                headers.push(("HTTP_X_RETRY", "1"));
            }
            if keyed {
                headers.push(("HTTP_IDEMPOTENCY_KEY", &quoted));
            }
            scgi::encode(&headers, request.to_string().as_bytes())
        } else {
            thrift::call(seq, &fields, request.to_string().as_bytes())
        };
        if conn.stream.write_all(&bytes).is_err() {
            let _ = conn.stream.shutdown(Shutdown::Both);
        }
        conn.open.insert(seq, open);
        true
    }

    pub(super) fn record_attempt(
        &mut self,
        server: SocketAddr,
        open: &Open,
        class: usize,
        end: End,
        correct_result: bool,
    ) {
        self.records.tries.push(Attempt {
            rid: open.rid.clone(),
            request: open.request,
            class,
            server,
            scgi: open.scgi,
            t0_ms: open.t0_ms,
            budget_ms: (open.due - TIMEOUT_GRACE).saturating_duration_since(Instant::now()).as_millis()
                as u64
                + unix_ms().saturating_sub(open.t0_ms),
            end_ms: unix_ms(),
            end,
            correct_result,
        });
    }
}
