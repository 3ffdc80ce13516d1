//! Start, steps and end of the faults of a scenario.

use super::{Event, MS, World};
use crate::queue::{At, Queue, nanos};
use crate::scenario::FaultKind;
use gradepin_core::messages::Input;

impl World {
    /// Starts a fault or carries out its next step.
    pub(super) fn fault(&mut self, number: usize, step: u32) {
        let scenario = std::sync::Arc::clone(&self.scenario);
        let fault = &scenario.faults[number];
        let len = nanos(fault.len_s);
        let end = self.now + len;
        match &fault.what {
            FaultKind::Burst { .. } => {}
            FaultKind::Crash => {
                for &machine in &fault.on {
                    if self.machines[machine].up {
                        self.stop(machine, true);
                        self.queue.push(end, Event::NodeFactories(machine));
                    }
                }
            }
            FaultKind::Deploy { batch, drain_s, successors } => {
                let batches = fault.on.len().div_ceil((*batch).max(1)).max(1);
                let from = step as usize * batch;
                for (place, &machine) in fault.on.iter().enumerate().skip(from).take(*batch) {
                    if let Some(&successor) = successors.get(place) {
                        self.machines[machine].succeeded = true;
                        self.start(successor, true);
                    }
                    self.notify_shutdown(machine, nanos(*drain_s));
                }
                if (step as usize) + 1 < batches {
                    let next = nanos(fault.at_s) + len * u64::from(step + 1) / batches as u64;
                    self.queue.push(next.max(self.now), Event::Fault(number, step + 1));
                }
            }
            FaultKind::RegistryAway => self.away_until = self.away_until.max(end),
            FaultKind::ZoneCut { zone } => self.net.cut(*zone, end),
            FaultKind::Slow { .. } | FaultKind::Hang | FaultKind::Pause => {
                fault.on.iter().for_each(|&machine| self.apply_faults(machine));
                self.queue.push(end, Event::FaultEnds(number));
            }
        }
    }

    fn notify_shutdown(&mut self, machine: usize, drain: At) {
        let here = &mut self.machines[machine];
        if !here.up {
            return;
        }
        here.inputs.push(Input::ShutdownNotice);
        let (server_number, incarnation) = (here.server_number, here.incarnation);
        self.rules.shutdown_notice(server_number, self.now / MS);
        self.queue.push(self.now + drain, Event::Stops(machine, incarnation));
        self.run_node(machine);
    }

    pub(super) fn fault_ends(&mut self, number: usize) {
        let scenario = std::sync::Arc::clone(&self.scenario);
        scenario.faults[number].on.iter().for_each(|&machine| self.apply_faults(machine));
    }

    /// Applies all faults active at this time to a machine.
    pub(super) fn apply_faults(&mut self, number: usize) {
        let (mut slow, mut hangs, mut paused) = (1.0, false, None);
        for fault in self.scenario.faults.iter().filter(|fault| fault.on.contains(&number)) {
            let from = nanos(fault.at_s);
            let end = from + nanos(fault.len_s);
            if self.now < from || self.now >= end {
                continue;
            }
            match fault.what {
                FaultKind::Slow { factor } => slow *= factor,
                FaultKind::Hang => hangs = true,
                FaultKind::Pause => paused = paused.max(Some(end)),
                _ => {}
            }
        }
        let machine = &mut self.machines[number];
        machine.cores.advance(self.now);
        machine.cores.slow(slow);
        machine.cores.hang(hangs);
        machine.cores.pause(paused.is_some());
        let was = std::mem::replace(&mut machine.paused, paused.is_some());
        match paused {
            Some(end) if !was => self.rules.pauses(machine.server_number, (end - self.now).div_ceil(MS)),
            None if was => self.run_node(number),
            _ => {}
        }
        self.plan_cores(number);
    }
}
