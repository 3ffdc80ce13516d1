//! The socket between servers of a fleet: datagrams out as the reducer asks for them, and in after their tags were looked
//! at. What has no good tag goes no further than this thread.
//!
//! Decides nothing: what is too much in a second is [`RateLimiter`]'s to say, what a tag is worth [`Envelope`]'s.

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

const STACK: usize = 128 * 1024;
/// Between tellings of what was dropped, and the longest wait for a datagram meanwhile.
const TELL: Duration = Duration::from_millis(500);

/// The fleet's socket.
#[derive(Debug)]
pub struct PeerDatagrams {
    socket: UdpSocket,
    log: Logger,
}

/// Keys that the socket's thread goes by; a reload changes them.
pub type SharedKeys = Arc<RwLock<AuthenticationKeys>>;

impl PeerDatagrams {
    /// Reads the socket, and hands in what has a good tag. The queue of `inputs` is the fleet's own: what finds no room there is
    /// dropped, so that no flood of datagrams holds back anything else.
    pub fn start(
        socket: UdpSocket,
        keys: SharedKeys,
        inputs: Sender<Input>,
        clock: Clock,
        log: Logger,
    ) -> io::Result<Self> {
        let reads = socket.try_clone()?;
        reads.set_read_timeout(Some(TELL))?;
        let receive = move || receive(&reads, &keys, &inputs, clock);
        thread::Builder::new().name("peers".into()).stack_size(STACK).spawn(receive)?;
        // A full buffer of the system loses datagrams, and never holds the reducer back.
        Ok(Self { socket, log })
    }

    /// Sends a datagram; one that is lost is made up for by others.
    pub fn send(&self, to: SocketAddr, datagram: &[u8]) {
        if let Err(why) = self.socket.send_to(datagram, to) {
            info!(self.log, "a datagram could not be sent"; "to" => %to, "error" => %why);
        }
    }
}

fn receive(socket: &UdpSocket, keys: &RwLock<AuthenticationKeys>, inputs: &Sender<Input>, clock: Clock) {
    // One byte more than a datagram may have, so that a longer one isn't taken for a whole one.
    let mut buffer = [0_u8; MAX_DATAGRAM_BYTES + 1];
    let mut limiter = RateLimiter::default();
    let mut dropped: BTreeMap<DropReason, u64> = BTreeMap::new();
    let mut told = Instant::now();
    loop {
        let envelope = match socket.recv_from(&mut buffer) {
            Ok((length, _)) if limiter.takes(clock.read().now) => {
                let keys = keys.read().unwrap_or_else(PoisonError::into_inner);
                Some(Envelope::open(&keys, &buffer[..length]))
            }
            Ok(_) => Some(Err(DropReason::RateLimited)),
            Err(e) if matches!(e.kind(), io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut) => None,
            // What ICMP tells of earlier datagrams; a pause, in case it is something that stays.
            Err(_) => {
                thread::sleep(Duration::from_millis(1));
                None
            }
        };
        let result = match envelope {
            Some(Ok(envelope)) => match inputs.try_send(Input::PeerDatagram(Box::new(envelope))) {
                Ok(()) => Ok(()),
                Err(TrySendError::Full(_)) => Err(DropReason::RateLimited),
                Err(TrySendError::Disconnected(_)) => return,
            },
            Some(Err(why)) => Err(why),
            None => Ok(()),
        };
        if let Err(why) = result {
            *dropped.entry(why).or_default() += 1;
        }
        if !dropped.is_empty() && told.elapsed() >= TELL {
            let figures: Vec<(DropReason, u64)> = dropped.iter().map(|(why, times)| (*why, *times)).collect();
            if inputs.try_send(Input::PeerDatagramsDropped(figures)).is_ok() {
                dropped.clear();
                told = Instant::now();
            }
        }
    }
}
