//! Troubles begin, go on and end.

use super::{Event, MS, World};
use crate::day::What;
use crate::queue::{At, Queue, nanos};
use gradepin_core::messages::Input;

impl World {
    /// A trouble begins, or goes on with its next step.
    pub(super) fn trouble(&mut self, number: usize, step: u32) {
        let day = std::sync::Arc::clone(&self.day);
        let trouble = &day.troubles[number];
        let len = nanos(trouble.len_s);
        let end = self.now + len;
        match &trouble.what {
            What::Burst { .. } => {}
            What::Crash => {
                for &machine in &trouble.on {
                    if self.machines[machine].up {
                        self.stop(machine, true);
                        self.queue.push(end, Event::Starts(machine));
                    }
                }
            }
            What::Deploy { batch, drain_s, successors } => {
                let batches = trouble.on.len().div_ceil((*batch).max(1)).max(1);
                let from = step as usize * batch;
                for (place, &machine) in trouble.on.iter().enumerate().skip(from).take(*batch) {
                    if let Some(&successor) = successors.get(place) {
                        self.machines[machine].succeeded = true;
                        self.start(successor, true);
                    }
                    self.told_to_leave(machine, nanos(*drain_s));
                }
                if (step as usize) + 1 < batches {
                    let next = nanos(trouble.at_s) + len * u64::from(step + 1) / batches as u64;
                    self.queue.push(next.max(self.now), Event::Trouble(number, step + 1));
                }
            }
            What::RegistryAway => self.away_until = self.away_until.max(end),
            What::ZoneCut { zone } => self.net.cut(*zone, end),
            What::Slow { .. } | What::Hang | What::Pause => {
                trouble.on.iter().for_each(|&machine| self.strike(machine));
                self.queue.push(end, Event::Eases(number));
            }
        }
    }

    fn told_to_leave(&mut self, machine: usize, drain: At) {
        let here = &mut self.machines[machine];
        if !here.up {
            return;
        }
        here.inputs.push(Input::ShutdownNotice);
        let (ident, life) = (here.ident, here.life);
        self.rules.told_to_leave(ident, self.now / MS);
        self.queue.push(self.now + drain, Event::Stops(machine, life));
        self.settle(machine);
    }

    pub(super) fn eases(&mut self, number: usize) {
        let day = std::sync::Arc::clone(&self.day);
        day.troubles[number].on.iter().for_each(|&machine| self.strike(machine));
    }

    /// What troubles of this moment do to a machine.
    pub(super) fn strike(&mut self, number: usize) {
        let (mut slow, mut hangs, mut paused) = (1.0, false, None);
        for trouble in self.day.troubles.iter().filter(|trouble| trouble.on.contains(&number)) {
            let from = nanos(trouble.at_s);
            let end = from + nanos(trouble.len_s);
            if self.now < from || self.now >= end {
                continue;
            }
            match trouble.what {
                What::Slow { factor } => slow *= factor,
                What::Hang => hangs = true,
                What::Pause => paused = paused.max(Some(end)),
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
            Some(end) if !was => self.rules.pauses(machine.ident, (end - self.now).div_ceil(MS)),
            None if was => self.settle(number),
            _ => {}
        }
        self.plan_cores(number);
    }
}
