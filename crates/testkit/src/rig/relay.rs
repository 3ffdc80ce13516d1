//! Relays in front of each server's datagrams. Each server advertises its relay's address and sends from its own, so a relay
//! knows both ends of what passes, and the net can treat any pair as it likes.

use super::history::{History, What};
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

/// How long a relay waits for a datagram before it looks at what is held back.
const TURN: Duration = Duration::from_millis(2);
/// Datagrams held back at the most.
const MOST_HELD: usize = 10_000;

/// How the net treats datagrams.
#[derive(Debug, Clone)]
struct Ways {
    /// By receiver and sender: whether nothing passes.
    cut: Vec<Vec<bool>>,
    slow_ms: u64,
    lost: u32,
    doubled: u32,
}

/// The net between the servers of a fleet.
pub struct Net {
    ways: Arc<Mutex<Ways>>,
    ends: Arc<AtomicBool>,
    servers: usize,
    /// Where each server is told to be reached.
    pub advertise: Vec<SocketAddr>,
}

impl Net {
    /// Relays to servers that listen there; words about leases that pass go into the history.
    pub fn start(
        listen: &[SocketAddr],
        seed: u64,
        keys: &AuthenticationKeys,
        history: &Arc<History>,
    ) -> io::Result<Self> {
        let servers = listen.len();
        let ways = Ways { cut: vec![vec![false; servers]; servers], slow_ms: 0, lost: 0, doubled: 0 };
        let (ways, ends) = (Arc::new(Mutex::new(ways)), Arc::<AtomicBool>::default());
        let mut advertise = Vec::new();
        for (to, &address) in listen.iter().enumerate() {
            let socket = UdpSocket::bind("127.0.0.1:0")?;
            socket.set_read_timeout(Some(TURN))?;
            advertise.push(socket.local_addr()?);
            let relay = Relay {
                to,
                address,
                from: listen.to_vec(),
                socket,
                ways: Arc::clone(&ways),
                ends: Arc::clone(&ends),
                rng: Pcg64Mcg::seed_from_u64(seed.wrapping_add(to as u64)),
                held: BinaryHeap::new(),
                number: 0,
                keys: keys.clone(),
                history: Arc::clone(history),
            };
            thread::Builder::new().name(format!("relay-{to}")).spawn(move || relay.run())?;
        }
        Ok(Self { ways, ends, servers, advertise })
    }

    fn ways(&self) -> MutexGuard<'_, Ways> {
        self.ways.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// These hear nothing of the others; and the others nothing of these, if both ways are cut.
    pub fn cut(&self, some: &[usize], both: bool) {
        let mut ways = self.ways();
        for to in 0..self.servers {
            for from in 0..self.servers {
                let apart = some.contains(&to) != some.contains(&from);
                ways.cut[to][from] = apart && (both || some.contains(&to));
            }
        }
    }

    /// All hear each other.
    pub fn heal(&self) {
        self.ways().cut.iter_mut().for_each(|row| row.fill(false));
    }

    /// Datagrams take up to so many ms longer, and so many in a hundred are lost or come twice.
    pub fn rough(&self, slow_ms: u64, lost: u32, doubled: u32) {
        let mut ways = self.ways();
        (ways.slow_ms, ways.lost, ways.doubled) = (slow_ms, lost, doubled);
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
    /// Where each server sends from.
    from: Vec<SocketAddr>,
    socket: UdpSocket,
    ways: Arc<Mutex<Ways>>,
    ends: Arc<AtomicBool>,
    rng: Pcg64Mcg,
    held: BinaryHeap<Reverse<(Instant, u64, Vec<u8>)>>,
    number: u64,
    keys: AuthenticationKeys,
    history: Arc<History>,
}

impl Relay {
    fn run(mut self) {
        let mut buffer = [0_u8; 2_048];
        while !self.ends.load(Ordering::Relaxed) {
            if let Ok((length, sender)) = self.socket.recv_from(&mut buffer) {
                // What comes from nobody of the fleet goes through as it is: a stranger can reach a server too.
                let from = self.from.iter().position(|address| *address == sender);
                self.take(from, &buffer[..length]);
            }
            let now = Instant::now();
            while self.held.peek().is_some_and(|Reverse((due, ..))| *due <= now) {
                if let Some(Reverse((.., datagram))) = self.held.pop() {
                    self.pass(&datagram);
                }
            }
        }
    }

    fn draw(&mut self, most: u64) -> u64 {
        self.rng.next_u64() % most.max(1)
    }

    fn take(&mut self, from: Option<usize>, datagram: &[u8]) {
        let ways = self.ways.lock().unwrap_or_else(PoisonError::into_inner).clone();
        if let Some(from) = from {
            self.witness(from, datagram);
            if ways.cut[self.to][from] || self.draw(100) < u64::from(ways.lost) {
                return;
            }
        }
        let copies = if self.draw(100) < u64::from(ways.doubled) { 2 } else { 1 };
        for _ in 0..copies {
            let late = if ways.slow_ms > 0 { self.draw(ways.slow_ms) } else { 0 };
            if late == 0 {
                self.pass(datagram);
            } else if self.held.len() < MOST_HELD {
                self.number += 1;
                let due = Instant::now() + Duration::from_millis(late);
                self.held.push(Reverse((due, self.number, datagram.to_vec())));
            }
        }
    }

    fn pass(&self, datagram: &[u8]) {
        // A server that is down takes nothing; that is no fault of the relay's.
        let _ = self.socket.send_to(datagram, self.address);
    }

    /// Writes down what is said about leases. An ask is seen no sooner than it was made, and a grant no later than it comes.
    fn witness(&self, from: usize, datagram: &[u8]) {
        let Some(message) =
            Envelope::open(&self.keys, datagram).ok().and_then(|envelope| envelope.lease_message())
        else {
            return;
        };
        let what = match message {
            LeaseMessage::Request { number, round, .. } => What::Asked { lender: self.to, number, round },
            LeaseMessage::Grant { number, round, amount, duration_ms } => {
                What::Granted { borrower: self.to, number, round, amount, length_ms: duration_ms }
            }
            LeaseMessage::Return { number } => What::Returned { lender: self.to, number },
            LeaseMessage::Refuse { .. } | LeaseMessage::Recall { .. } => return,
        };
        self.history.write(from, what);
    }
}
