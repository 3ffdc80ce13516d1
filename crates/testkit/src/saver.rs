//! A station that saves and insists: it asks the same server for the same save, over connections of its own, until it has a
//! final answer or its window is over, whatever becomes of the server meanwhile.

use crate::registry::server::unix_ms;
use crate::thrift::{self, Answer, Message};
use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

/// How long a try's caller waits, and how much longer the station does for its answer.
const WAIT: Duration = Duration::from_millis(1_000);
const SLACK: Duration = Duration::from_millis(200);
const CONNECT: Duration = Duration::from_millis(200);

/// What became of one try.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Tried {
    /// Served, with this result.
    Served(Vec<u8>),
    /// Turned away, with the time to stay away in ms.
    Refused(u64),
    /// Failed; with a text that says why, if there was one.
    Failed(Option<String>),
    /// No connection could be had: nothing came to the server.
    NoConnection,
    /// The connection ended, or its time ran out, without an answer.
    Lost,
}

/// One connection to a server, as long as it lasts.
#[derive(Debug)]
pub struct Saver {
    server: SocketAddr,
    stream: Option<TcpStream>,
    seq: i32,
    rids: u64,
}

impl Saver {
    /// For a server; `number` tells savers apart.
    pub fn new(server: SocketAddr, number: u64) -> Self {
        Self { server, stream: None, seq: 0, rids: number << 32 }
    }

    /// Sends a save once.
    pub fn save(&mut self, token: &str, body: &str, again: bool) -> Tried {
        let mut fields = vec![("method", "label-save"), ("token", token)];
        if again {
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
            let Ok(stream) = TcpStream::connect_timeout(&self.server, CONNECT) else {
                return Tried::NoConnection;
            };
            let set = stream.set_nodelay(true).and_then(|()| stream.set_read_timeout(Some(WAIT + SLACK)));
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
        let wait = WAIT.as_millis().to_string();
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
                    // What is on its way is still answered on it.
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

    /// Sends a save until it is served or has failed, for as long as this at the most; each try is counted.
    pub fn insist(
        &mut self,
        token: &str,
        body: &str,
        within: Duration,
        mut count: impl FnMut(&Tried),
    ) -> Option<Tried> {
        let start = Instant::now();
        let mut again = false;
        while start.elapsed() < within {
            let tried = self.save(token, body, again);
            count(&tried);
            let pause = match &tried {
                Tried::Served(_) | Tried::Failed(_) => return Some(tried),
                Tried::Refused(told) => Duration::from_millis((*told).clamp(5, 500)),
                Tried::NoConnection | Tried::Lost => Duration::from_millis(5),
            };
            again |= tried != Tried::NoConnection;
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
