//! Relays between the servers' datagram sockets. Each server advertises the address of its relay but sends from its own
//! address, so a relay knows sender and receiver and can disturb any pair of servers.

use super::history::{History, Observation};
use gradepin_cluster::authentication::AuthenticationKeys;
use gradepin_cluster::cluster::Envelope;
use gradepin_cluster::leases::LeaseMessage;
use rand_pcg::Pcg64Mcg;
use rand_pcg::rand_core::{Rng, SeedableRng};
use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::io;
use std::net::{SocketAddr, UdpSocket};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

/// Maximum wait for a datagram before a relay checks its delayed ones.
const RECEIVE_TIMEOUT: Duration = Duration::from_millis(2);
/// Maximum number of delayed datagrams per relay; more are dropped.
const MAX_DELAYED: usize = 10_000;

/// How the network treats datagrams.
#[derive(Debug, Clone)]
struct Conditions {
    /// Whether datagrams are dropped, indexed by receiver, then sender.
    cut: Vec<Vec<bool>>,
    slow_ms: u64,
    lost: u32,
    doubled: u32,
}

/// Network between the servers of a fleet; its relays end when it is dropped.
pub struct Net {
    conditions: Arc<Mutex<Conditions>>,
    ends: Arc<AtomicBool>,
    servers: usize,
    /// Address that each server advertises: that of its relay.
    pub advertise: Vec<SocketAddr>,
}

impl Net {
    /// Starts a relay for each server in `listen`; lease messages that pass are recorded in the history.
    pub fn start(
        listen: &[SocketAddr],
        seed: u64,
        keys: &AuthenticationKeys,
        history: &Arc<History>,
    ) -> io::Result<Self> {
        let servers = listen.len();
        let conditions =
            Conditions { cut: vec![vec![false; servers]; servers], slow_ms: 0, lost: 0, doubled: 0 };
        let (conditions, ends) = (Arc::new(Mutex::new(conditions)), Arc::<AtomicBool>::default());
        let mut advertise = Vec::new();
        for (to, &address) in listen.iter().enumerate() {
            let socket = UdpSocket::bind("127.0.0.1:0")?;
            socket.set_read_timeout(Some(RECEIVE_TIMEOUT))?;
            advertise.push(socket.local_addr()?);
            let relay = Relay {
                to,
                address,
                from: listen.to_vec(),
                socket,
                conditions: Arc::clone(&conditions),
                ends: Arc::clone(&ends),
                rng: Pcg64Mcg::seed_from_u64(seed.wrapping_add(to as u64)),
                delayed: BinaryHeap::new(),
                number: 0,
                keys: keys.clone(),
                history: Arc::clone(history),
            };
            thread::Builder::new().name(format!("relay-{to}")).spawn(move || relay.run())?;
        }
        Ok(Self { conditions, ends, servers, advertise })
    }

    fn conditions(&self) -> MutexGuard<'_, Conditions> {
        self.conditions.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Drops datagrams from all other servers to `some`, and with `both` also in the other direction.
    pub fn cut(&self, some: &[usize], both: bool) {
        let mut conditions = self.conditions();
        for to in 0..self.servers {
            for from in 0..self.servers {
                let apart = some.contains(&to) != some.contains(&from);
                conditions.cut[to][from] = apart && (both || some.contains(&to));
            }
        }
    }

    /// Ends all partitions.
    pub fn heal(&self) {
        self.conditions().cut.iter_mut().for_each(|row| row.fill(false));
    }

    /// Delays datagrams by up to `slow_ms` and loses or duplicates the given percentages of them.
    pub fn rough(&self, slow_ms: u64, lost: u32, doubled: u32) {
        let mut conditions = self.conditions();
        (conditions.slow_ms, conditions.lost, conditions.doubled) = (slow_ms, lost, doubled);
    }
}

impl Drop for Net {
    fn drop(&mut self) {
        self.ends.store(true, Ordering::Relaxed);
    }
}

struct Relay {
    to: usize,
    address: SocketAddr,
    /// Address that each server sends from.
    from: Vec<SocketAddr>,
    socket: UdpSocket,
    conditions: Arc<Mutex<Conditions>>,
    ends: Arc<AtomicBool>,
    rng: Pcg64Mcg,
    delayed: BinaryHeap<Reverse<(Instant, u64, Vec<u8>)>>,
    number: u64,
    keys: AuthenticationKeys,
    history: Arc<History>,
}

impl Relay {
    fn run(mut self) {
        let mut buffer = [0_u8; 2_048];
        while !self.ends.load(Ordering::Relaxed) {
            if let Ok((length, sender)) = self.socket.recv_from(&mut buffer) {
                // Datagrams from outside the fleet pass undisturbed, as they would reach the server itself.
                let from = self.from.iter().position(|address| *address == sender);
                self.receive(from, &buffer[..length]);
            }
            let now = Instant::now();
            while self.delayed.peek().is_some_and(|Reverse((due, ..))| *due <= now) {
                if let Some(Reverse((.., datagram))) = self.delayed.pop() {
                    self.pass(&datagram);
                }
            }
        }
    }

    fn draw(&mut self, bound: u64) -> u64 {
        self.rng.next_u64() % bound.max(1)
    }

    fn receive(&mut self, from: Option<usize>, datagram: &[u8]) {
        let conditions = self.conditions.lock().unwrap_or_else(PoisonError::into_inner).clone();
        if let Some(from) = from {
            self.record_lease_message(from, datagram);
            if conditions.cut[self.to][from] || self.draw(100) < u64::from(conditions.lost) {
                return;
            }
        }
        let copies = if self.draw(100) < u64::from(conditions.doubled) { 2 } else { 1 };
        for _ in 0..copies {
            let delay = if conditions.slow_ms > 0 { self.draw(conditions.slow_ms) } else { 0 };
            if delay == 0 {
                self.pass(datagram);
            } else if self.delayed.len() < MAX_DELAYED {
                self.number += 1;
                let due = Instant::now() + Duration::from_millis(delay);
                self.delayed.push(Reverse((due, self.number, datagram.to_vec())));
            }
        }
    }

    fn pass(&self, datagram: &[u8]) {
        // Fails while the server is down, which is no fault of the relay.
        let _ = self.socket.send_to(datagram, self.address);
    }

    /// Records lease messages. A request is recorded no earlier than it was sent, a grant no later than it arrives.
    fn record_lease_message(&self, from: usize, datagram: &[u8]) {
        let Some(message) =
            Envelope::open(&self.keys, datagram).ok().and_then(|envelope| envelope.lease_message())
        else {
            return;
        };
        let observation = match message {
            LeaseMessage::Request { number, round, .. } => {
                Observation::Asked { lender: self.to, number, round }
            }
            LeaseMessage::Grant { number, round, amount, duration_ms } => {
                Observation::Granted { borrower: self.to, number, round, amount, length_ms: duration_ms }
            }
            LeaseMessage::Return { number } => Observation::Returned { lender: self.to, number },
            LeaseMessage::Refuse { .. } | LeaseMessage::Recall { .. } => return,
        };
        self.history.write(from, observation);
    }
}
