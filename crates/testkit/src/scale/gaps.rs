//! How long a server leaves health checks without an answer: a caller that asks every two milliseconds over one connection.

use crate::thrift::{self, Answer, Message};
use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

/// Between an answer and the next check.
const EVERY: Duration = Duration::from_millis(2);
/// The longest that one answer is waited for.
const PATIENCE: Duration = Duration::from_secs(60);

/// A connection that asks for health.
pub struct Prober {
    stream: TcpStream,
    bytes: Vec<u8>,
    seq: i32,
}

impl Prober {
    /// Connects.
    pub fn connect(address: SocketAddr) -> io::Result<Self> {
        let stream = TcpStream::connect_timeout(&address, Duration::from_millis(200))?;
        stream.set_nodelay(true)?;
        stream.set_read_timeout(Some(PATIENCE))?;
        Ok(Self { stream, bytes: Vec::new(), seq: 0 })
    }

    /// Asks once, and waits for the answer; whether health is good.
    pub fn ask(&mut self) -> io::Result<bool> {
        self.seq += 1;
        self.stream.write_all(&thrift::health(self.seq))?;
        let mut chunk = [0; 1024];
        loop {
            while let Some(len) = thrift::frame(&self.bytes).map_err(io::Error::other)? {
                let message = thrift::decode(&self.bytes[4..len]).map_err(io::Error::other)?;
                self.bytes.drain(..len);
                if let Message::Answer(seq, answer) = message
                    && seq == self.seq
                {
                    return Ok(matches!(answer, Answer::Served(..)));
                }
            }
            let len = self.stream.read(&mut chunk)?;
            if len == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
            self.bytes.extend_from_slice(&chunk[..len]);
        }
    }
}

/// What a watch saw.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Gaps {
    /// Checks that were answered.
    pub answered: u64,
    /// The longest that an answer took.
    pub longest: Duration,
    /// Checks that were answered as bad, or not.
    pub bad: u64,
    /// The most by which the caller itself was late to ask.
    pub own_lag: Duration,
}

/// A caller in a thread of its own.
pub struct Watch {
    stop: Arc<AtomicBool>,
    thread: JoinHandle<Gaps>,
}

impl Watch {
    /// Begins to ask.
    pub fn start(address: SocketAddr) -> io::Result<Self> {
        let mut prober = Prober::connect(address)?;
        let stop = Arc::<AtomicBool>::default();
        let stops = Arc::clone(&stop);
        let watch = move || {
            let mut gaps = Gaps::default();
            while !stops.load(Ordering::Relaxed) {
                let asked = Instant::now();
                match prober.ask() {
                    Ok(true) => gaps.answered += 1,
                    Ok(false) => gaps.bad += 1,
                    Err(_) => {
                        gaps.bad += 1;
                        if let Ok(anew) = Prober::connect(address) {
                            prober = anew;
                        }
                    }
                }
                gaps.longest = gaps.longest.max(asked.elapsed());
                let rest = Instant::now();
                thread::sleep(EVERY);
                gaps.own_lag = gaps.own_lag.max(rest.elapsed().saturating_sub(EVERY));
            }
            gaps
        };
        let thread = thread::Builder::new().name("watch".into()).spawn(watch)?;
        Ok(Self { stop, thread })
    }

    /// Ends, and tells what was seen.
    pub fn stop(self) -> io::Result<Gaps> {
        self.stop.store(true, Ordering::Relaxed);
        self.thread.join().map_err(|_| io::Error::other("a caller's thread has panicked"))
    }
}
