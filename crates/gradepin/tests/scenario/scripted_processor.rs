//! A scripted processor: the test writes every byte itself. It accepts the server's links one at a time, reads
//! commands as they arrive and sends arbitrary replies. Waits are bounded; input that is not a command fails the
//! test.

use super::socket_stage::SocketStage;
use std::io::{ErrorKind, Read, Write};
use std::net::{Shutdown, TcpListener, TcpStream};
use std::thread;
use std::time::{Duration, Instant};

const TIMEOUT: Duration = Duration::from_secs(20);

/// Listener to which the server connects its links.
pub struct ScriptedProcessor {
    listener: TcpListener,
    /// Start of the test; the processor claims to have started [`INITIAL_UPTIME`] earlier.
    started: Instant,
}

/// Uptime that the processor reports at the start of the test.
const INITIAL_UPTIME: Duration = Duration::from_secs(10);

/// A command of the server.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Command {
    Hello(u64),
    Begin { id: String, class: String, body: Vec<u8> },
    Answer { id: String, reply: Vec<u8> },
    Interrupt(String),
    Usage(String),
}

impl ScriptedProcessor {
    /// Listens on an ephemeral port.
    pub fn new() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        listener.set_nonblocking(true).expect("a socket");
        Self { listener, started: Instant::now() }
    }

    pub fn address(&self) -> String {
        self.listener.local_addr().expect("an address").to_string()
    }

    /// Starts the server with this processor and a modified configuration.
    pub fn server(&self, name: &str, change: impl FnOnce(&mut serde_json::Value)) -> SocketStage {
        SocketStage::with(name, 1024, |config| {
            config["processor"] = self.address().into();
            change(config);
        })
    }

    /// Accepts the server's next link.
    pub fn accept(&self) -> Link {
        let start = Instant::now();
        loop {
            match self.listener.accept() {
                Ok((socket, _)) => {
                    socket.set_nonblocking(false).expect("a socket");
                    socket.set_nodelay(true).expect("a socket");
                    socket.set_read_timeout(Some(TIMEOUT)).expect("a socket");
                    return Link { socket, read: Vec::new(), parsed: 0 };
                }
                Err(e) if e.kind() == ErrorKind::WouldBlock => {}
                Err(e) => panic!("accepting a link failed: {e}"),
            }
            assert!(start.elapsed() < TIMEOUT, "the server does not connect");
            thread::sleep(Duration::from_millis(1));
        }
    }

    /// Accepts and greets the server's next link as the processor of the start of the test. Returns the link and the
    /// number of the last notice that the server read.
    pub fn greet(&self) -> (Link, u64) {
        self.greet_as(|| self.uptime())
    }

    /// Uptime of the processor of the start of the test.
    pub fn uptime(&self) -> Duration {
        INITIAL_UPTIME + self.started.elapsed()
    }

    /// Like [`Self::greet`], but with a given uptime.
    pub fn greet_as(&self, age: impl FnOnce() -> Duration) -> (Link, u64) {
        let mut link = self.accept();
        let Some(Command::Hello(last)) = link.command() else { panic!("no hello") };
        link.send(format!("hi WARM {:.3}\r\n", age().as_secs_f64() * 1e3).as_bytes());
        (link, last)
    }
}

/// The processor's end of a link.
pub struct Link {
    socket: TcpStream,
    /// All bytes received, and how many of them were consumed as commands.
    read: Vec<u8>,
    parsed: usize,
}

impl Link {
    /// Writes bytes; returns false if the server has closed the link.
    pub fn send(&mut self, bytes: &[u8]) -> bool {
        self.socket.write_all(bytes).is_ok()
    }

    /// Sends a notice or answer followed by its payload.
    pub fn send_with_payload(&mut self, line: &str, bytes: &[u8]) -> bool {
        self.send(&[format!("{line} {}\r\n", bytes.len()).as_bytes(), bytes, b"\r\n"].concat())
    }

    /// Answers a query for the gauges.
    pub fn answer_gauges(&mut self, tag: &str) -> bool {
        self.send(format!("used {tag} 0.5 2 0.1 9\r\n").as_bytes())
    }

    /// Reads more bytes; returns false at the end of the link.
    fn read_more(&mut self, max_bytes: usize) -> bool {
        let mut bytes = vec![0; max_bytes];
        loop {
            match self.socket.read(&mut bytes) {
                Ok(0) => return false,
                Ok(len) => {
                    self.read.extend_from_slice(&bytes[..len]);
                    return true;
                }
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                Err(e) if e.kind() == ErrorKind::ConnectionReset => return false,
                Err(e) => panic!("no data before the timeout: {e}"),
            }
        }
    }

    /// The next complete command; `None` at the end of the link, which may occur within a command.
    pub fn command(&mut self) -> Option<Command> {
        loop {
            if let Some((len, command)) = parse(&self.read[self.parsed..]) {
                self.parsed += len;
                return Some(command);
            }
            if !self.read_more(64 * 1024) {
                return None;
            }
        }
    }

    /// The next command other than a gauge query; gauge queries are answered.
    pub fn next_run_command(&mut self) -> Option<Command> {
        loop {
            match self.command()? {
                Command::Usage(tag) => self.answer_gauges(&tag),
                order => return Some(order),
            };
        }
    }

    /// Id, class and body of the next run that is started.
    pub fn next_run(&mut self) -> (String, String, Vec<u8>) {
        match self.next_run_command() {
            Some(Command::Begin { id, class, body }) => (id, class, body),
            other => panic!("expected a run to begin, got {other:?}"),
        }
    }

    /// Answers the gauge queries that precede the first byte of another command; returns false at the end of the
    /// link.
    pub fn answer_gauge_queries(&mut self) -> bool {
        loop {
            match self.read.get(self.parsed).copied() {
                Some(b'u') => match self.command() {
                    Some(Command::Usage(tag)) => drop(self.answer_gauges(&tag)),
                    other => panic!("expected a gauge query, got {other:?}"),
                },
                Some(_) => return true,
                None if self.read_more(64 * 1024) => {}
                None => return false,
            }
        }
    }

    /// Consumes the next `count` raw bytes; fewer at the end of the link.
    pub fn take_bytes(&mut self, count: usize) -> Vec<u8> {
        while self.read.len() < self.parsed + count {
            if !self.read_more(self.parsed + count - self.read.len()) {
                break;
            }
        }
        let end = self.read.len().min(self.parsed + count);
        let taken = self.read[self.parsed..end].to_vec();
        self.parsed = end;
        taken
    }

    /// Closes the link; with `reset`, by a reset that discards unread data.
    pub fn close(self, reset: bool) {
        if reset {
            let _ = rustix::net::sockopt::set_socket_linger(&self.socket, Some(Duration::ZERO));
        } else {
            let _ = self.socket.shutdown(Shutdown::Both);
        }
    }
}

/// Parses the first command; returns its length too, or `None` while it is incomplete.
fn parse(bytes: &[u8]) -> Option<(usize, Command)> {
    let end = bytes.windows(2).position(|two| two == b"\r\n")?;
    let line = String::from_utf8_lossy(&bytes[..end]).into_owned();
    let body = |len: &str| {
        let len: usize = len.parse().unwrap_or_else(|_| panic!("no length: {line}"));
        let rest = bytes.get(end + 2..end + 2 + len + 2)?;
        assert_eq!(rest[len..], *b"\r\n", "bytes beyond the length: {line}");
        Some((end + 2 + len + 2, rest[..len].to_vec()))
    };
    let words: Vec<&str> = line.split(' ').collect();
    Some(match words[..] {
        ["hello", n] => (end + 2, Command::Hello(n.parse().expect("a number"))),
        ["begin", id, class, len] => {
            let (whole, body) = body(len)?;
            (whole, Command::Begin { id: id.into(), class: class.into(), body })
        }
        ["answer", id, len] => {
            let (whole, reply) = body(len)?;
            (whole, Command::Answer { id: id.into(), reply })
        }
        ["interrupt", id] => (end + 2, Command::Interrupt(id.into())),
        ["usage", tag] => (end + 2, Command::Usage(tag.into())),
        _ => panic!("not a command: {line:?}"),
    })
}
