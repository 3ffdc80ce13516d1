//! The UDP socket for datagrams between servers of a fleet. The main thread sends; a receiving thread authenticates
//! each datagram, forwards authentic ones to the reducer and counts dropped ones by reason.
//!
//! No policy is implemented here: [`RateLimiter`] limits the rate and [`Envelope`] authenticates.

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
/// Interval between reports of dropped datagrams, and the read timeout of the socket.
const DROP_REPORT_INTERVAL: Duration = Duration::from_millis(500);

/// Pause after a receive error, so that a persistent error doesn't cause a busy loop.
const SOCKET_ERROR_PAUSE: Duration = Duration::from_millis(1);

/// The sending side of the socket.
#[derive(Debug)]
pub struct PeerDatagrams {
    socket: UdpSocket,
    log: Logger,
}

/// The authentication keys of the fleet's datagrams; a reload replaces them.
pub type SharedKeys = Arc<RwLock<AuthenticationKeys>>;

impl PeerDatagrams {
    /// Starts the receiving thread. The queue `inputs` must be used for datagrams only: a datagram is dropped if it is
    /// full, so that a flood delays nothing else.
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

    /// Sends a datagram; never blocks. The protocol tolerates loss: later datagrams replace a lost one.
    pub fn send(&self, to: SocketAddr, datagram: &[u8]) {
        if let Err(why) = self.socket.send_to(datagram, to) {
            info!(self.log, "can't send a datagram to a peer; it is dropped"; "to" => %to, "error" => %why);
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

/// The queue of inputs is closed because the main thread has ended.
struct Disconnected;

impl Receiver {
    fn run(&mut self) {
        // One byte more than the longest valid datagram: otherwise a longer one would be truncated to a valid length.
        let mut buffer = [0_u8; MAX_DATAGRAM_BYTES + 1];
        loop {
            match self.receive(&mut buffer) {
                Some(Ok(envelope)) => match self.forward(envelope) {
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

    /// Waits for a datagram and authenticates it; `None` if none arrives before the read timeout.
    fn receive(&mut self, buffer: &mut [u8]) -> Option<Result<Envelope, DropReason>> {
        match self.socket.recv_from(buffer) {
            Ok((length, _)) if self.limiter.admits(self.clock.read().now) => {
                let keys = self.keys.read().unwrap_or_else(PoisonError::into_inner);
                Some(Envelope::open(&keys, &buffer[..length]))
            }
            Ok(_) => Some(Err(DropReason::RateLimited)),
            Err(e) if matches!(e.kind(), io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut) => None,
            // Usually an ICMP error caused by an earlier datagram.
            Err(_) => {
                thread::sleep(SOCKET_ERROR_PAUSE);
                None
            }
        }
    }

    /// Forwards an authentic datagram to the reducer; drops it if the queue is full.
    fn forward(&mut self, envelope: Envelope) -> Result<(), Disconnected> {
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

    /// Reports the counts of dropped datagrams; keeps them for the next report if the queue is full.
    fn report_dropped(&mut self) {
        let counts = self.dropped.iter().map(|(reason, count)| (*reason, *count)).collect();
        if self.inputs.try_send(Input::PeerDatagramsDropped(counts)).is_ok() {
            self.dropped.clear();
            self.last_report = Instant::now();
        }
    }
}
