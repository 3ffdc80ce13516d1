//! Stand-in for the control plane: receives load reports and lists the ready servers, with a delay for callers.

use std::collections::{BTreeMap, VecDeque};
use std::io;
use std::net::{SocketAddr, UdpSocket};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

/// A server without reports for this time is no longer ready.
const SILENCE: Duration = Duration::from_secs(3);

/// Readiness of all servers, without I/O, and the delayed view that callers get.
#[derive(Debug, Default)]
pub struct Roster {
    last: BTreeMap<String, (Instant, bool)>,
    changes: VecDeque<(Instant, String, bool)>,
    visible: BTreeMap<String, bool>,
}

impl Roster {
    /// Applies a report `lease NAME Ready|NotReady`; returns `false` for any other text.
    pub fn report(&mut self, now: Instant, text: &str) -> bool {
        let words: Vec<&str> = text.split(' ').collect();
        let ["lease", name, state @ ("Ready" | "NotReady")] = words[..] else { return false };
        let ready = state == "Ready";
        if self.last.insert(name.to_string(), (now, ready)).is_none_or(|(_, before)| before != ready) {
            self.changes.push_back((now, name.to_string(), ready));
        }
        true
    }

    /// Marks servers without recent reports as not ready.
    pub fn sweep(&mut self, now: Instant) {
        let silent = |at: &Instant| now.duration_since(*at) > SILENCE;
        let expired: Vec<String> = self
            .last
            .iter()
            .filter(|(_, (at, ready))| *ready && silent(at))
            .map(|(name, _)| name.clone())
            .collect();
        for name in expired {
            self.last.insert(name.clone(), (now, false));
            self.changes.push_back((now, name, false));
        }
    }

    /// Servers that are ready in the view of callers, which is behind by `delay`.
    pub fn ready(&mut self, now: Instant, delay: Duration) -> Vec<String> {
        while self.changes.front().is_some_and(|(at, ..)| *at + delay <= now) {
            if let Some((_, name, ready)) = self.changes.pop_front() {
                self.visible.insert(name, ready);
            }
        }
        self.visible.iter().filter(|(_, ready)| **ready).map(|(name, _)| name.clone()).collect()
    }
}

/// Running stand-in control plane; ends when dropped.
pub struct Control {
    roster: Arc<Mutex<Roster>>,
    address: SocketAddr,
    ended: Arc<AtomicBool>,
}

impl Control {
    /// Listens for reports at `address`; port 0 picks a free port.
    pub fn start(address: SocketAddr) -> io::Result<Self> {
        let socket = UdpSocket::bind(address)?;
        let address = socket.local_addr()?;
        socket.set_read_timeout(Some(Duration::from_millis(100)))?;
        let (roster, ended) = (Arc::<Mutex<Roster>>::default(), Arc::<AtomicBool>::default());
        let (shared_roster, stop_flag) = (Arc::clone(&roster), Arc::clone(&ended));
        let receive = move || {
            let mut datagram = [0; 256];
            while !stop_flag.load(Ordering::Relaxed) {
                let received = socket.recv(&mut datagram);
                let mut roster = shared_roster.lock().unwrap_or_else(PoisonError::into_inner);
                if let Ok(len) = received {
                    roster.report(Instant::now(), &String::from_utf8_lossy(&datagram[..len]));
                }
                roster.sweep(Instant::now());
            }
        };
        thread::Builder::new().name("control".into()).spawn(receive)?;
        Ok(Self { roster, address, ended })
    }

    /// Address that the control plane listens at.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Locks the readiness list.
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
    fn callers_see_delayed_changes_and_silent_servers_expire() {
        let (mut roster, start, delay) = (Roster::default(), Instant::now(), Duration::from_secs(1));
        let at = |s: u64| start + Duration::from_secs(s);
        assert!(roster.report(at(0), "lease n1 Ready") && roster.report(at(0), "lease n2 Ready"));
        assert!(!roster.report(at(0), "lease n3 Perhaps") && !roster.report(at(0), "hello"));
        assert!(roster.ready(at(0), delay).is_empty());
        assert_eq!(roster.ready(at(1), delay), ["n1", "n2"]);
        roster.report(at(3), "lease n2 Ready");
        roster.sweep(at(4));
        assert_eq!(roster.ready(at(4), delay), ["n1", "n2"]);
        assert_eq!(roster.ready(at(5), delay), ["n2"]);
    }
}
