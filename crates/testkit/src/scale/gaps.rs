//! Longest time that a server leaves health checks unanswered, measured by a client that sends one every two milliseconds.

use crate::thrift::{self, Answer, Message};
use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

/// Pause between an answer and the next health check.
const PROBE_PAUSE: Duration = Duration::from_millis(2);
/// Timeout of one answer.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(60);

/// Connection that sends health checks.
pub struct Prober {
    stream: TcpStream,
    bytes: Vec<u8>,
    seq: i32,
}

impl Prober {
    /// Connects to a server's Thrift address.
    pub fn connect(address: SocketAddr) -> io::Result<Self> {
        let stream = TcpStream::connect_timeout(&address, Duration::from_millis(200))?;
        stream.set_nodelay(true)?;
        stream.set_read_timeout(Some(ANSWER_TIMEOUT))?;
        Ok(Self { stream, bytes: Vec::new(), seq: 0 })
    }

    /// Sends a health check and waits for the answer; returns whether it passes.
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

/// Results of a monitor.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Gaps {
    /// Number of checks that passed.
    pub answered: u64,
    /// Longest time until an answer or a failed connection.
    pub longest: Duration,
    /// Number of checks that failed or got no answer.
    pub bad: u64,
    /// Longest delay of the monitor itself beyond its pause.
    pub own_delay: Duration,
}

/// Sends health checks in a background thread.
pub struct HealthMonitor {
    stop: Arc<AtomicBool>,
    thread: JoinHandle<Gaps>,
}

impl HealthMonitor {
    /// Connects and starts to send health checks.
    pub fn start(address: SocketAddr) -> io::Result<Self> {
        let mut prober = Prober::connect(address)?;
        let stop = Arc::<AtomicBool>::default();
        let stop_flag = Arc::clone(&stop);
        let watch = move || {
            let mut gaps = Gaps::default();
            while !stop_flag.load(Ordering::Relaxed) {
                let asked = Instant::now();
                match prober.ask() {
                    Ok(true) => gaps.answered += 1,
                    Ok(false) => gaps.bad += 1,
                    Err(_) => {
                        gaps.bad += 1;
                        if let Ok(reconnected) = Prober::connect(address) {
                            prober = reconnected;
                        }
                    }
                }
                gaps.longest = gaps.longest.max(asked.elapsed());
                let pause_start = Instant::now();
                thread::sleep(PROBE_PAUSE);
                gaps.own_delay = gaps.own_delay.max(pause_start.elapsed().saturating_sub(PROBE_PAUSE));
            }
            gaps
        };
        let thread = thread::Builder::new().name("watch".into()).spawn(watch)?;
        Ok(Self { stop, thread })
    }

    /// Stops the thread and returns the results.
    pub fn stop(self) -> io::Result<Gaps> {
        self.stop.store(true, Ordering::Relaxed);
        self.thread.join().map_err(|_| io::Error::other("a caller's thread has panicked"))
    }
}
