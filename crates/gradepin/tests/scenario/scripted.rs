//! A processor whose every byte the test writes itself: it takes the server's links one by one, reads the commands as
//! they came, and tells what it likes. Waits are bounded; what comes that is no command fails the test.

use super::sockets::Sockets;
use std::io::{ErrorKind, Read, Write};
use std::net::{Shutdown, TcpListener, TcpStream};
use std::thread;
use std::time::{Duration, Instant};

const PATIENCE: Duration = Duration::from_secs(20);

/// Where the server makes its links to.
pub struct Scripted {
    listener: TcpListener,
    /// When the test began; the processor started some time before that.
    began: Instant,
}

/// How long before the test its processor started.
const UP: Duration = Duration::from_secs(10);

/// A command of the server.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Command {
    Hello(u64),
    Begin { id: String, class: String, body: Vec<u8> },
    Answer { id: String, reply: Vec<u8> },
    Interrupt(String),
    Usage(String),
}

impl Scripted {
    /// Listens on a port of its own.
    pub fn new() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        listener.set_nonblocking(true).expect("a socket");
        Self { listener, began: Instant::now() }
    }

    pub fn address(&self) -> String {
        self.listener.local_addr().expect("an address").to_string()
    }

    /// The program with this processor, and a change of its configuration beside that.
    pub fn server(&self, name: &str, change: impl FnOnce(&mut serde_json::Value)) -> Sockets {
        Sockets::with(name, 1024, |config| {
            config["processor"] = self.address().into();
            change(config);
        })
    }

    /// The server's next link.
    pub fn accept(&self) -> Link {
        let start = Instant::now();
        loop {
            match self.listener.accept() {
                Ok((socket, _)) => {
                    socket.set_nonblocking(false).expect("a socket");
                    socket.set_nodelay(true).expect("a socket");
                    socket.set_read_timeout(Some(PATIENCE)).expect("a socket");
                    return Link { socket, read: Vec::new(), parsed: 0 };
                }
                Err(e) if e.kind() == ErrorKind::WouldBlock => {}
                Err(e) => panic!("no link: {e}"),
            }
            assert!(start.elapsed() < PATIENCE, "the server makes no link");
            thread::sleep(Duration::from_millis(1));
        }
    }

    /// The server's next link, greeted by the processor that was there from the first; and the number of the last
    /// notice that the server read.
    pub fn greet(&self) -> (Link, u64) {
        self.greet_as(|| self.age())
    }

    /// How long ago that processor started.
    pub fn age(&self) -> Duration {
        UP + self.began.elapsed()
    }

    /// The same by one that says that it started so long ago.
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
    /// All that came, and how much of it was taken as commands.
    read: Vec<u8>,
    parsed: usize,
}

impl Link {
    /// Writes bytes; false where the server has ended the link.
    pub fn send(&mut self, bytes: &[u8]) -> bool {
        self.socket.write_all(bytes).is_ok()
    }

    /// Tells a notice or answer with bytes behind it.
    pub fn tell(&mut self, line: &str, bytes: &[u8]) -> bool {
        self.send(&[format!("{line} {}\r\n", bytes.len()).as_bytes(), bytes, b"\r\n"].concat())
    }

    /// Answers a question for the gauges.
    pub fn used(&mut self, tag: &str) -> bool {
        self.send(format!("used {tag} 0.5 2 0.1 9\r\n").as_bytes())
    }

    /// Reads on; false at the end of the link.
    fn read_on(&mut self, most: usize) -> bool {
        let mut bytes = vec![0; most];
        loop {
            match self.socket.read(&mut bytes) {
                Ok(0) => return false,
                Ok(len) => {
                    self.read.extend_from_slice(&bytes[..len]);
                    return true;
                }
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                Err(e) if e.kind() == ErrorKind::ConnectionReset => return false,
                Err(e) => panic!("nothing came in its time: {e}"),
            }
        }
    }

    /// The next command, whole; none at the end of the link, which may come in the midst of one.
    pub fn command(&mut self) -> Option<Command> {
        loop {
            if let Some((len, command)) = parse(&self.read[self.parsed..]) {
                self.parsed += len;
                return Some(command);
            }
            if !self.read_on(64 * 1024) {
                return None;
            }
        }
    }

    /// The next command that is no question for the gauges; those are answered.
    pub fn order(&mut self) -> Option<Command> {
        loop {
            match self.command()? {
                Command::Usage(tag) => self.used(&tag),
                order => return Some(order),
            };
        }
    }

    /// The next run that is asked for.
    pub fn begin(&mut self) -> (String, String, Vec<u8>) {
        match self.order() {
            Some(Command::Begin { id, class, body }) => (id, class, body),
            other => panic!("expected a run to begin, got {other:?}"),
        }
    }

    /// Answers the questions for the gauges that come before another command's first byte; false at the end of the link.
    pub fn questions(&mut self) -> bool {
        loop {
            match self.read.get(self.parsed).copied() {
                Some(b'u') => match self.command() {
                    Some(Command::Usage(tag)) => drop(self.used(&tag)),
                    other => panic!("expected a question, got {other:?}"),
                },
                Some(_) => return true,
                None if self.read_on(64 * 1024) => {}
                None => return false,
            }
        }
    }

    /// Takes so many bytes behind what was taken, whatever they are; fewer at the end of the link.
    pub fn bytes(&mut self, count: usize) -> Vec<u8> {
        while self.read.len() < self.parsed + count {
            if !self.read_on(self.parsed + count - self.read.len()) {
                break;
            }
        }
        let end = self.read.len().min(self.parsed + count);
        let taken = self.read[self.parsed..end].to_vec();
        self.parsed = end;
        taken
    }

    /// Ends the link, with a reset where it is to lose what is unread.
    pub fn cut(self, reset: bool) {
        if reset {
            let _ = rustix::net::sockopt::set_socket_linger(&self.socket, Some(Duration::ZERO));
        } else {
            let _ = self.socket.shutdown(Shutdown::Both);
        }
    }
}

/// The first command of the bytes, with its length; none while it isn't whole.
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
        _ => panic!("no command: {line:?}"),
    })
}
