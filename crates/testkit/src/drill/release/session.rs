//! A drill in progress: the fleet with its relays, supervisor and clients, the passage of time, and operators'
//! commands.

use super::clients::Clients;
use super::faults::Faults;
use super::{Drill, plan};
use crate::fleet::Fleet;
use crate::harness::ledger::Ledger;
use crate::harness::machine_delay::{MachineDelayMonitor, MonitoredProcess};
use crate::harness::play::{ask, call};
use crate::harness::relay::Net;
use crate::harness::supervisor::Supervisor;
use gradepin_coordination::messages::OperatorCommand;
use gradepin_coordination::rollout::RolloutCommand;
use rand_pcg::Pcg64Mcg;
use rand_pcg::rand_core::Rng;
use serde_json::Value;
use std::io;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::{Duration, Instant};

/// The parts of a drill in progress.
pub struct Session<'d> {
    pub(super) drill: &'d Drill,
    pub(super) fleet: Fleet,
    pub(super) net: Net,
    /// Owned only to keep the ledger running.
    pub(super) _ledger: Ledger,
    pub(super) supervisor: Supervisor,
    pub(super) clients: Option<Clients>,
    pub(super) rng: Pcg64Mcg,
    pub(super) stop: &'d AtomicBool,
    pub(super) faults: Faults,
    /// Measures the scheduling lag of the machine.
    pub(super) lag: MachineDelayMonitor,
    /// Number of releases started so far.
    pub(super) starts: u32,
}

impl Session<'_> {
    /// Advances supervisor, clients and faults until `holds` returns true; returns false on timeout or if the drill
    /// is stopped.
    pub(super) fn until(
        &mut self,
        timeout: Duration,
        mut holds: impl FnMut(&mut Self) -> bool,
    ) -> io::Result<bool> {
        let begin = Instant::now();
        while !self.stop.load(Ordering::Relaxed) {
            if holds(self) {
                return Ok(true);
            }
            if begin.elapsed() > timeout {
                return Ok(false);
            }
            self.supervisor.supervise(&mut self.fleet)?;
            self.watch_processes();
            if let Some(clients) = &self.clients {
                clients.update(&self.fleet);
            }
            self.advance_faults()?;
            thread::sleep(Duration::from_millis(15));
        }
        Ok(false)
    }

    pub(super) fn draw(&mut self, bound: u64) -> u64 {
        self.rng.next_u64() % bound
    }

    fn watch_processes(&self) {
        let nodes = self.fleet.nodes.iter();
        let watched =
            nodes.filter_map(|node| Some(MonitoredProcess { name: node.name.clone(), pid: node.pid()? }));
        self.lag.set_processes(watched.collect());
    }

    pub(super) fn status(&self) -> Option<Value> {
        let order = (0..self.drill.servers).map(|n| self.fleet.nodes[n].admin());
        let all = order.filter_map(|admin| ask(admin, "/fleet/status"));
        all.filter(|status| status["index"].is_u64()).max_by_key(|status| status["index"].as_u64())
    }

    pub(super) fn release_state(&self) -> String {
        let status = self.status().unwrap_or_default();
        status["release"]["state"].as_str().unwrap_or_default().to_string()
    }

    /// Sends a command to the servers in turn until one accepts it, and waits for the outcome.
    fn order(&mut self, order: &OperatorCommand) -> io::Result<Result<String, String>> {
        let text = serde_json::to_string(order).map_err(io::Error::other)?;
        let mut last = Err("no server accepted the command".to_string());
        for n in (0..self.drill.servers).cycle().take(2 * self.drill.servers) {
            let admin = self.fleet.nodes[n].admin();
            let Some((202, ticket)) = call(admin, "POST", "/fleet/order", &text) else {
                self.until(Duration::from_millis(50), |_| false)?;
                continue;
            };
            let mut answer = None;
            self.until(Duration::from_secs(10), |_| {
                answer = call(admin, "GET", &format!("/fleet/order?ticket={ticket}"), "")
                    .filter(|(s, _)| *s != 202);
                answer.is_some()
            })?;
            match answer {
                Some((200, text)) => return Ok(Ok(text)),
                Some((_, why)) => last = Err(why),
                None => {}
            }
        }
        Ok(last)
    }

    /// Starts a release under a unique name.
    pub(super) fn start(&mut self, version: &str) -> io::Result<Result<String, String>> {
        self.starts += 1;
        let mut plan = plan(version);
        plan.name = format!("{}: to {version}", self.starts);
        self.order(&OperatorCommand::StartRollout { plan: Box::new(plan), operator: Arc::from("the drill") })
    }

    /// Drives a release to its end: resumes it when a fault halted it, and starts it again when it was rolled back.
    pub(super) fn complete_release(&mut self, version: &str, timeout: Duration) -> io::Result<bool> {
        let begin = Instant::now();
        while begin.elapsed() < timeout && !self.stop.load(Ordering::Relaxed) {
            let version = version.to_string();
            self.until(Duration::from_secs(2), |session| session.release_state() == "done")?;
            let status = self.status().unwrap_or_default();
            let state = self.release_state();
            let is_it = status["release"]["version"].as_str() == Some(&version);
            if state == "done" && is_it {
                return Ok(true);
            }
            if state.starts_with("halted") {
                let name = status["release"]["name"].as_str().unwrap_or_default().to_string();
                let by = Arc::from("the drill");
                let halts = status["release"]["halts"].as_u64().unwrap_or(0) as u32;
                println!("  {state}; resumed");
                let _ = self.order(&OperatorCommand::Rollout(RolloutCommand::Resume {
                    name,
                    halt_count: halts,
                    operator: by,
                }))?;
            } else if state.starts_with("undone") || !is_it {
                println!("  {state}; started again");
                let _ = self.start(&version)?;
            }
        }
        Ok(false)
    }
}
