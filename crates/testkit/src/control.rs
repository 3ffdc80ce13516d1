//! A stand-in for the control plane: takes reports, and lists who is ready, a second or two late for callers.

use std::collections::{BTreeMap, VecDeque};
use std::io;
use std::net::{SocketAddr, UdpSocket};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

/// A server that was silent for so long is off the list.
const SILENCE: Duration = Duration::from_secs(3);

/// The reports so far, without I/O: who is ready, and how callers learn of it.
#[derive(Debug, Default)]
pub struct Roster {
    last: BTreeMap<String, (Instant, bool)>,
    changes: VecDeque<(Instant, String, bool)>,
    seen: BTreeMap<String, bool>,
}

impl Roster {
    /// A report came: `lease NAME Ready|NotReady`. Anything else is no report.
    pub fn report(&mut self, now: Instant, text: &str) -> bool {
        let words: Vec<&str> = text.split(' ').collect();
        let ["lease", name, state @ ("Ready" | "NotReady")] = words[..] else { return false };
        let ready = state == "Ready";
        if self.last.insert(name.to_string(), (now, ready)).is_none_or(|(_, before)| before != ready) {
            self.changes.push_back((now, name.to_string(), ready));
        }
        true
    }

    /// Drops the silent ones.
    pub fn sweep(&mut self, now: Instant) {
        let silent = |at: &Instant| now.duration_since(*at) > SILENCE;
        let gone: Vec<String> = self
            .last
            .iter()
            .filter(|(_, (at, ready))| *ready && silent(at))
            .map(|(name, _)| name.clone())
            .collect();
        for name in gone {
            self.last.insert(name.clone(), (now, false));
            self.changes.push_back((now, name, false));
        }
    }

    /// Who is ready as callers see it, so much late.
    pub fn ready(&mut self, now: Instant, late: Duration) -> Vec<String> {
        while self.changes.front().is_some_and(|(at, ..)| *at + late <= now) {
            if let Some((_, name, ready)) = self.changes.pop_front() {
                self.seen.insert(name, ready);
            }
        }
        self.seen.iter().filter(|(_, ready)| **ready).map(|(name, _)| name.clone()).collect()
    }
}

/// A running stand-in; it ends when this is dropped.
pub struct Control {
    roster: Arc<Mutex<Roster>>,
    address: SocketAddr,
    ended: Arc<AtomicBool>,
}

impl Control {
    /// Listens on a loopback address.
    pub fn start(address: SocketAddr) -> io::Result<Self> {
        let socket = UdpSocket::bind(address)?;
        let address = socket.local_addr()?;
        socket.set_read_timeout(Some(Duration::from_millis(100)))?;
        let (roster, ended) = (Arc::<Mutex<Roster>>::default(), Arc::<AtomicBool>::default());
        let (mine, over) = (Arc::clone(&roster), Arc::clone(&ended));
        let take = move || {
            let mut datagram = [0; 256];
            while !over.load(Ordering::Relaxed) {
                let came = socket.recv(&mut datagram);
                let mut roster = mine.lock().unwrap_or_else(PoisonError::into_inner);
                if let Ok(len) = came {
                    roster.report(Instant::now(), &String::from_utf8_lossy(&datagram[..len]));
                }
                roster.sweep(Instant::now());
            }
        };
        thread::Builder::new().name("control".into()).spawn(take)?;
        Ok(Self { roster, address, ended })
    }

    /// Where it listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// What it lists.
    pub fn roster(&self) -> MutexGuard<'_, Roster> {
        self.roster.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Drop for Control {
    fn drop(&mut self) {
        self.ended.store(true, Ordering::Relaxed);
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn callers_learn_late_and_the_silent_are_dropped() {
        let (mut roster, start, late) = (Roster::default(), Instant::now(), Duration::from_secs(1));
        let at = |s: u64| start + Duration::from_secs(s);
        assert!(roster.report(at(0), "lease n1 Ready") && roster.report(at(0), "lease n2 Ready"));
        assert!(!roster.report(at(0), "lease n3 Perhaps") && !roster.report(at(0), "hello"));
        assert!(roster.ready(at(0), late).is_empty());
        assert_eq!(roster.ready(at(1), late), ["n1", "n2"]);
        roster.report(at(3), "lease n2 Ready");
        roster.sweep(at(4));
        assert_eq!(roster.ready(at(4), late), ["n1", "n2"]);
        assert_eq!(roster.ready(at(5), late), ["n2"]);
    }
}
