//! A run under way: the fleet with its relays, supervisor and clients, the time that passes, and the orders that are given.

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

/// What a run is made of.
pub struct Session<'d> {
    pub(super) drill: &'d Drill,
    pub(super) fleet: Fleet,
    pub(super) net: Net,
    /// Ends when this does.
    pub(super) _ledger: Ledger,
    pub(super) supervisor: Supervisor,
    pub(super) clients: Option<Clients>,
    pub(super) rng: Pcg64Mcg,
    pub(super) stop: &'d AtomicBool,
    pub(super) faults: Faults,
    /// How late the machine is.
    pub(super) lag: MachineDelayMonitor,
    /// Releases that were started.
    pub(super) starts: u32,
}

impl Session<'_> {
    /// Lets time pass until something holds; whether it did before the time was up.
    pub(super) fn until(
        &mut self,
        patience: Duration,
        mut holds: impl FnMut(&mut Self) -> bool,
    ) -> io::Result<bool> {
        let begin = Instant::now();
        while !self.stop.load(Ordering::Relaxed) {
            if holds(self) {
                return Ok(true);
            }
            if begin.elapsed() > patience {
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

    pub(super) fn draw(&mut self, most: u64) -> u64 {
        self.rng.next_u64() % most
    }

    fn watch_processes(&self) {
        let nodes = self.fleet.nodes.iter();
        let watched =
            nodes.filter_map(|node| Some(MonitoredProcess { name: node.name.clone(), pid: node.pid()? }));
        self.lag.set_processes(watched.collect());
    }

    pub(super) fn status(&self) -> Option<Value> {
        let order = (0..self.drill.servers).map(|n| self.fleet.nodes[n].admin());
        let all = order.filter_map(|door| ask(door, "/fleet/status"));
        all.filter(|status| status["index"].is_u64()).max_by_key(|status| status["index"].as_u64())
    }

    pub(super) fn release_state(&self) -> String {
        let status = self.status().unwrap_or_default();
        status["release"]["state"].as_str().unwrap_or_default().to_string()
    }

    /// Gives an order at some door until one takes it, and waits for what came of it.
    fn order(&mut self, order: &OperatorCommand) -> io::Result<Result<String, String>> {
        let text = serde_json::to_string(order).map_err(io::Error::other)?;
        let mut last = Err("no door took it".to_string());
        for n in (0..self.drill.servers).cycle().take(2 * self.drill.servers) {
            let door = self.fleet.nodes[n].admin();
            let Some((202, ticket)) = call(door, "POST", "/fleet/order", &text) else {
                self.until(Duration::from_millis(50), |_| false)?;
                continue;
            };
            let mut answer = None;
            self.until(Duration::from_secs(10), |_| {
                answer = call(door, "GET", &format!("/fleet/order?ticket={ticket}"), "")
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

    /// Starts a release; each under a name of its own.
    pub(super) fn start(&mut self, version: &str) -> io::Result<Result<String, String>> {
        self.starts += 1;
        let mut plan = plan(version);
        plan.name = format!("{}: to {version}", self.starts);
        self.order(&OperatorCommand::StartRollout { plan: Box::new(plan), operator: Arc::from("the drill") })
    }

    /// Sees a release through to its end; one that stood still for a fault is resumed, one that went back is started again.
    pub(super) fn through(&mut self, version: &str, patience: Duration) -> io::Result<bool> {
        let begin = Instant::now();
        while begin.elapsed() < patience && !self.stop.load(Ordering::Relaxed) {
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
