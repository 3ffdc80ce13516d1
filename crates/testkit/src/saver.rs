//! A client that repeats a save at the same server, reconnecting as necessary, until it has a final answer or its time is
//! over, even if the server restarts meanwhile.

use crate::registry::server::unix_ms;
use crate::thrift::{self, Answer, Message};
use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

/// Time that the caller of an attempt waits, as sent to the server.
const CALLER_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Additional time that the client waits for the answer.
const ANSWER_SLACK: Duration = Duration::from_millis(200);
const CONNECT_TIMEOUT: Duration = Duration::from_millis(200);

/// Outcome of one attempt.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Tried {
    /// Served, with this result.
    Served(Vec<u8>),
    /// Rejected, with the Retry-After time in ms.
    Refused(u64),
    /// Failed, with the reason if the server sent one.
    Failed(Option<String>),
    /// No connection could be established, so the server received nothing.
    NoConnection,
    /// The connection closed or the time ran out before an answer.
    Lost,
}

/// Client of one server that reconnects when its connection is lost.
#[derive(Debug)]
pub struct Saver {
    server: SocketAddr,
    stream: Option<TcpStream>,
    seq: i32,
    rids: u64,
}

impl Saver {
    /// Creates a client; `number` must differ between clients and makes their request IDs unique.
    pub fn new(server: SocketAddr, number: u64) -> Self {
        Self { server, stream: None, seq: 0, rids: number << 32 }
    }

    /// Sends a save once.
    pub fn save(&mut self, token: &str, body: &str, is_retry: bool) -> Tried {
        let mut fields = vec![("method", "label-save"), ("token", token)];
        if is_retry {
            fields.push(("again", "1"));
        }
        self.call(&fields, body)
    }

    /// Sends a read once.
    pub fn read(&mut self) -> Tried {
        self.call(&[("method", "sheet-view")], "sheet")
    }

    fn call(&mut self, fields: &[(&str, &str)], body: &str) -> Tried {
        if self.stream.is_none() {
            let Ok(stream) = TcpStream::connect_timeout(&self.server, CONNECT_TIMEOUT) else {
                return Tried::NoConnection;
            };
            let set = stream
                .set_nodelay(true)
                .and_then(|()| stream.set_read_timeout(Some(CALLER_TIMEOUT + ANSWER_SLACK)));
            if set.is_err() {
                return Tried::NoConnection;
            }
            (self.stream, self.seq) = (Some(stream), 0);
        }
        let tried = self.exchange(fields, body).unwrap_or(Tried::Lost);
        if tried == Tried::Lost {
            self.stream = None;
        }
        tried
    }

    fn exchange(&mut self, fields: &[(&str, &str)], body: &str) -> io::Result<Tried> {
        let Some(stream) = &mut self.stream else { return Ok(Tried::NoConnection) };
        self.seq += 1;
        self.rids += 1;
        let (rid, t0) = (format!("{:016x}", self.rids), unix_ms().to_string());
        let wait = CALLER_TIMEOUT.as_millis().to_string();
        let mut all = vec![
            ("rid", rid.as_str()),
            ("t0", &t0),
            ("peer", "1"),
            ("acct", "etela-kasvio"),
            ("budget", &wait),
            ("mem", "8.0"),
            ("prio", "0.9"),
        ];
        all.extend(fields);
        stream.write_all(&thrift::call(self.seq, &all, body.as_bytes()))?;
        let (mut bytes, mut chunk) = (Vec::new(), [0; 8192]);
        loop {
            while let Some(len) = thrift::frame(&bytes).map_err(io::Error::other)? {
                let message = thrift::decode(&bytes[4..len]).map_err(io::Error::other)?;
                bytes.drain(..len);
                match message {
                    Message::Answer(seq, answer) if seq == self.seq => return Ok(tried(answer)),
                    // A draining connection still answers the open request.
                    Message::Draining | Message::Answer(..) => {}
                }
            }
            let len = stream.read(&mut chunk)?;
            if len == 0 {
                return Ok(Tried::Lost);
            }
            bytes.extend_from_slice(&chunk[..len]);
        }
    }

    /// Repeats a save until it is served or fails, for at most `within`; `count` is called with each outcome.
    pub fn insist(
        &mut self,
        token: &str,
        body: &str,
        within: Duration,
        mut count: impl FnMut(&Tried),
    ) -> Option<Tried> {
        let start = Instant::now();
        let mut is_retry = false;
        while start.elapsed() < within {
            let tried = self.save(token, body, is_retry);
            count(&tried);
            let pause = match &tried {
                Tried::Served(_) | Tried::Failed(_) => return Some(tried),
                Tried::Refused(backoff_ms) => Duration::from_millis((*backoff_ms).clamp(5, 500)),
                Tried::NoConnection | Tried::Lost => Duration::from_millis(5),
            };
            is_retry |= tried != Tried::NoConnection;
            std::thread::sleep(pause);
        }
        None
    }
}

fn tried(answer: Answer) -> Tried {
    match answer {
        Answer::Served(result, _) => Tried::Served(result),
        Answer::Refused { backoff_ms, .. } => Tried::Refused(backoff_ms),
        Answer::Failed(why) => Tried::Failed(why),
        Answer::Bad => Tried::Failed(None),
    }
}
