//! The UDP socket between servers of a fleet. The main thread sends; a thread of its own receives, authenticates each
//! datagram, and passes on only authentic ones. It counts what it drops, by reason.
//!
//! Decides nothing: the rate limit is [`RateLimiter`]'s, authentication [`Envelope`]'s.

use crate::clock::Clock;
use crossbeam_channel::{Sender, TrySendError};
use gradepin_cluster::authentication::{AuthenticationKeys, DropReason, MAX_DATAGRAM_BYTES};
use gradepin_cluster::cluster::Envelope;
use gradepin_cluster::rate_limit::RateLimiter;
use gradepin_core::messages::Input;
use slog::{Logger, info};
use std::collections::BTreeMap;
use std::io;
use std::net::{SocketAddr, UdpSocket};
use std::sync::{Arc, PoisonError, RwLock};
use std::thread;
use std::time::{Duration, Instant};

const STACK_BYTES: usize = 128 * 1024;
/// The pause between reports of dropped datagrams, and the longest wait for a datagram.
const DROP_REPORT_INTERVAL: Duration = Duration::from_millis(500);

/// The pause after an error of the socket.
const SOCKET_ERROR_PAUSE: Duration = Duration::from_millis(1);

/// The sending side of the socket.
#[derive(Debug)]
pub struct PeerDatagrams {
    socket: UdpSocket,
    log: Logger,
}

/// The keys that datagrams are authenticated with; a reload replaces them.
pub type SharedKeys = Arc<RwLock<AuthenticationKeys>>;

impl PeerDatagrams {
    /// Starts the receiving thread. The queue of `inputs` is for datagrams alone: a datagram that finds it full is dropped, so
    /// that a flood of them delays nothing else.
    pub fn start(
        socket: UdpSocket,
        keys: SharedKeys,
        inputs: Sender<Input>,
        clock: Clock,
        log: Logger,
    ) -> io::Result<Self> {
        let receiving = socket.try_clone()?;
        receiving.set_read_timeout(Some(DROP_REPORT_INTERVAL))?;
        let mut receiver = Receiver {
            socket: receiving,
            keys,
            inputs,
            clock,
            limiter: RateLimiter::default(),
            dropped: BTreeMap::new(),
            last_report: Instant::now(),
        };
        let run = move || receiver.run();
        thread::Builder::new().name("peers".into()).stack_size(STACK_BYTES).spawn(run)?;
        Ok(Self { socket, log })
    }

    /// Sends a datagram; never blocks. A lost datagram is made up for by later ones.
    pub fn send(&self, to: SocketAddr, datagram: &[u8]) {
        if let Err(why) = self.socket.send_to(datagram, to) {
            info!(self.log, "can't send a datagram to a peer"; "to" => %to, "error" => %why);
        }
    }
}

/// The state of the receiving thread.
struct Receiver {
    socket: UdpSocket,
    keys: SharedKeys,
    inputs: Sender<Input>,
    clock: Clock,
    limiter: RateLimiter,
    /// Datagrams dropped since the last report.
    dropped: BTreeMap<DropReason, u64>,
    last_report: Instant,
}

/// Nobody receives inputs any more.
struct Disconnected;

impl Receiver {
    fn run(&mut self) {
        // One byte more than a datagram may have: a longer one would look like a complete one otherwise.
        let mut buffer = [0_u8; MAX_DATAGRAM_BYTES + 1];
        loop {
            match self.receive(&mut buffer) {
                Some(Ok(envelope)) => match self.pass_on(envelope) {
                    Ok(()) => {}
                    Err(Disconnected) => return,
                },
                Some(Err(reason)) => self.count_drop(reason),
                None => {}
            }
            if !self.dropped.is_empty() && self.last_report.elapsed() >= DROP_REPORT_INTERVAL {
                self.report_dropped();
            }
        }
    }

    /// Waits for a datagram and authenticates it; None where none came in time.
    fn receive(&mut self, buffer: &mut [u8]) -> Option<Result<Envelope, DropReason>> {
        match self.socket.recv_from(buffer) {
            Ok((length, _)) if self.limiter.admits(self.clock.read().now) => {
                let keys = self.keys.read().unwrap_or_else(PoisonError::into_inner);
                Some(Envelope::open(&keys, &buffer[..length]))
            }
            Ok(_) => Some(Err(DropReason::RateLimited)),
            Err(e) if matches!(e.kind(), io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut) => None,
            // An ICMP error of an earlier datagram. The pause guards against a busy loop where an error persists.
            Err(_) => {
                thread::sleep(SOCKET_ERROR_PAUSE);
                None
            }
        }
    }

    /// Passes on an authentic datagram; drops it where the queue is full.
    fn pass_on(&mut self, envelope: Envelope) -> Result<(), Disconnected> {
        match self.inputs.try_send(Input::PeerDatagram(Box::new(envelope))) {
            Ok(()) => Ok(()),
            Err(TrySendError::Full(_)) => {
                self.count_drop(DropReason::RateLimited);
                Ok(())
            }
            Err(TrySendError::Disconnected(_)) => Err(Disconnected),
        }
    }

    fn count_drop(&mut self, reason: DropReason) {
        *self.dropped.entry(reason).or_default() += 1;
    }

    /// Reports the counts of dropped datagrams; kept for the next report where the queue is full.
    fn report_dropped(&mut self) {
        let counts = self.dropped.iter().map(|(reason, count)| (*reason, *count)).collect();
        if self.inputs.try_send(Input::PeerDatagramsDropped(counts)).is_ok() {
            self.dropped.clear();
            self.last_report = Instant::now();
        }
    }
}
