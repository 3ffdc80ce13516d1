//! Faults drawn from the seed while a release is in progress: one at a time, on one server.

use super::session::Session;
use crate::registry::server::unix_ms;
use std::io;
use std::time::{Duration, Instant};

/// Time after a fault for which requests to the affected server are still owed no answer.
const RECOVERY_MS: u64 = 4_000;

/// A fault injected during a release.
#[derive(Debug, Clone, Copy)]
pub enum Fault {
    /// The server process is killed and not restarted for a while.
    Kill,
    /// The server process is stopped for a while.
    Stop,
    /// The server is cut off from its peers.
    Cut,
}

/// The faults of a drill so far, and the time of the next one.
#[derive(Debug)]
pub struct Faults {
    /// Start of the next fault.
    pub next: Instant,
    /// The active fault, its server and its end.
    pub current: Option<(Fault, usize, Instant)>,
    /// Outages that faults caused; requests to a server during its outage are owed no answer.
    pub outages: Vec<ServerOutage>,
}

/// An outage of a server caused by a fault.
#[derive(Debug, Clone, Copy)]
pub struct ServerOutage {
    /// Index of the server in the fleet.
    pub server: usize,
    /// Start, in Unix milliseconds.
    pub from_ms: u64,
    /// End including recovery, in Unix milliseconds.
    pub to_ms: u64,
}

impl Faults {
    /// No faults so far, and none until `next` is set.
    pub fn none(now: Instant) -> Self {
        Self { next: now + Duration::from_secs(3_600), current: None, outages: Vec::new() }
    }

    /// Starts no further faults; an active one still ends.
    pub fn pause(&mut self) {
        self.next = Instant::now() + Duration::from_secs(3_600);
    }

    /// Whether an outage of the server overlaps a period, in Unix milliseconds.
    pub fn caused_outage(&self, server: usize, from_ms: u64, to_ms: u64) -> bool {
        self.outages
            .iter()
            .any(|outage| outage.server == server && to_ms >= outage.from_ms && from_ms <= outage.to_ms)
    }
}

impl Session<'_> {
    /// Ends the active fault when it is over, and starts the next one when it is due.
    pub(super) fn advance_faults(&mut self) -> io::Result<()> {
        let now = Instant::now();
        if let Some((fault, n, over)) = self.faults.current {
            if now >= over {
                match fault {
                    Fault::Kill => self.supervisor.restart_blocked[n] = false,
                    Fault::Stop => self.fleet.nodes[n].go_on(),
                    Fault::Cut => self.net.heal(),
                }
                if let Some(outage) = self.faults.outages.last_mut() {
                    outage.to_ms = unix_ms() + RECOVERY_MS;
                }
                self.faults.current = None;
                self.faults.next = now + Duration::from_millis(1_500 + self.draw(3_000));
            }
            return Ok(());
        }
        if !self.drill.faults || now < self.faults.next {
            return Ok(());
        }
        let n = self.draw(self.drill.servers as u64) as usize;
        let fault = [Fault::Kill, Fault::Stop, Fault::Cut][self.draw(3) as usize];
        let duration = Duration::from_millis(500 + self.draw(2_500));
        match fault {
            Fault::Kill => {
                self.supervisor.restart_blocked[n] = true;
                self.fleet.nodes[n].kill();
            }
            Fault::Stop => self.fleet.nodes[n].pause(),
            Fault::Cut => self.net.cut(&[n], true),
        }
        println!("  n{n}: {fault:?} for {:.1} s", duration.as_secs_f64());
        if !matches!(fault, Fault::Cut) {
            self.faults.outages.push(ServerOutage { server: n, from_ms: unix_ms(), to_ms: u64::MAX });
        }
        self.faults.current = Some((fault, n, now + duration));
        Ok(())
    }
}
