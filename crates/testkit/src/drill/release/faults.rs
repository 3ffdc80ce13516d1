//! Faults that are drawn from the seed while a release goes: one at a time, on one server.

use super::session::Session;
use crate::registry::server::unix_ms;
use std::io;
use std::time::{Duration, Instant};

/// What a server that a fault took was asked is owed no answer until so long after the fault.
const RECOVERS_MS: u64 = 4_000;

/// A fault that is drawn while a release goes.
#[derive(Debug, Clone, Copy)]
pub enum Fault {
    /// Its process is killed.
    Kill,
    /// Its process is stopped for a while.
    Stop,
    /// Its network is cut.
    Cut,
}

/// Faults of a run so far, and the next one.
#[derive(Debug)]
pub struct Faults {
    /// When the next one begins.
    pub next: Instant,
    /// The one that is on, which server has it, and when it ends.
    pub current: Option<(Fault, usize, Instant)>,
    /// Servers that a fault took, from when until when, in Unix milliseconds: what they were asked then is owed nothing.
    pub hurt: Vec<Hurt>,
}

/// A server that a fault took.
#[derive(Debug, Clone, Copy)]
pub struct Hurt {
    /// Which.
    pub server: usize,
    /// From when, in Unix milliseconds.
    pub from_ms: u64,
    /// Until when.
    pub to_ms: u64,
}

impl Faults {
    /// None yet, and none for the time being.
    pub fn none(now: Instant) -> Self {
        Self { next: now + Duration::from_secs(3_600), current: None, hurt: Vec::new() }
    }

    /// No further ones.
    pub fn pause(&mut self) {
        self.next = Instant::now() + Duration::from_secs(3_600);
    }

    /// Whether a server that was asked from one moment to another was taken by a fault meanwhile.
    pub fn took(&self, server: usize, from_ms: u64, to_ms: u64) -> bool {
        self.hurt.iter().any(|hurt| hurt.server == server && to_ms >= hurt.from_ms && from_ms <= hurt.to_ms)
    }
}

impl Session<'_> {
    /// Ends the fault that is over, and begins another now and then.
    pub(super) fn advance_faults(&mut self) -> io::Result<()> {
        let now = Instant::now();
        if let Some((fault, n, over)) = self.faults.current {
            if now >= over {
                match fault {
                    Fault::Kill => self.supervisor.restart_blocked[n] = false,
                    Fault::Stop => self.fleet.nodes[n].go_on(),
                    Fault::Cut => self.net.heal(),
                }
                if let Some(hurt) = self.faults.hurt.last_mut() {
                    hurt.to_ms = unix_ms() + RECOVERS_MS;
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
        let lasts = Duration::from_millis(500 + self.draw(2_500));
        match fault {
            Fault::Kill => {
                self.supervisor.restart_blocked[n] = true;
                self.fleet.nodes[n].kill();
            }
            Fault::Stop => self.fleet.nodes[n].pause(),
            Fault::Cut => self.net.cut(&[n], true),
        }
        println!("  n{n}: {fault:?} for {:.1} s", lasts.as_secs_f64());
        if !matches!(fault, Fault::Cut) {
            self.faults.hurt.push(Hurt { server: n, from_ms: unix_ms(), to_ms: u64::MAX });
        }
        self.faults.current = Some((fault, n, now + lasts));
        Ok(())
    }
}
