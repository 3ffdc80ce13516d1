//! What happens to one server during a soak: upgrades with signals in series, reloads, pauses, kills, steps of the wall
//! clock and failing system calls, drawn from a seed, while clients use it.

use super::server::{Process, Server};
use super::system_faults::SystemFault;
use crate::drill::faults::control::ControlPlane;
use crate::drill::faults::processor::Cut;
use crate::drill::faults::random::Random;
use crate::drill::faults::record::Pause;
use crate::fault_proxy::LinkFault;
use rustix::process::Signal;
use std::io;
use std::thread;
use std::time::{Duration, Instant};

/// Longest deadlines that configurations have, in ms.
const DEADLINES_MS: [u64; 4] = [600, 1_000, 1_500, 2_000];
/// Steps of the wall clock, in ms.
const CLOCK_STEPS_MS: [i64; 6] = [3_600_000, -3_600_000, 5_000, -5_000, 2_000, -2_000];
/// What may happen to the link to the processor.
const LINK_FAULTS: [LinkFault; 5] =
    [LinkFault::Reset, LinkFault::Stall, LinkFault::Trickle, LinkFault::Absent, LinkFault::Mixed];
/// Time in which a new process has to be ready.
const READY_TIMEOUT: Duration = Duration::from_secs(10);
/// A pause of an old process ends at least this long before SIGKILL, so that it can answer what has arrived.
const TIME_AFTER_PAUSE: Duration = Duration::from_millis(100);
const POLL_INTERVAL: Duration = Duration::from_millis(2);

/// An event of the script.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Event {
    Upgrade,
    /// A second upgrade starts before the old process of the first has ended.
    UpgradeTwice,
    /// The new process is killed before or after it is ready.
    FailedUpgrade,
    Reload,
    BrokenReload,
    Pause,
    ClockStep,
    SystemFaults,
    LinkCut,
    /// The link to the processor is broken again and again for a while.
    LinkFaults,
    /// The processor completes no run for a while.
    SlowRuns,
    ControlAway,
    OperatorDrain,
}

const EVENTS: [Event; 20] = [
    Event::Upgrade,
    Event::Upgrade,
    Event::Upgrade,
    Event::Upgrade,
    Event::UpgradeTwice,
    Event::FailedUpgrade,
    Event::Reload,
    Event::Reload,
    Event::BrokenReload,
    Event::Pause,
    Event::ClockStep,
    Event::SystemFaults,
    Event::SystemFaults,
    Event::LinkCut,
    Event::LinkFaults,
    Event::LinkFaults,
    Event::LinkFaults,
    Event::SlowRuns,
    Event::ControlAway,
    Event::OperatorDrain,
];

/// A pause of an old process.
struct PlannedPause {
    index: usize,
    from: Instant,
    until: Instant,
}

/// A script in progress.
pub struct Script<'s, 'p> {
    /// The server that it is played on.
    pub server: &'s mut Server<'p>,
    /// The control plane of all servers.
    pub control: &'s ControlPlane,
    /// Draws the events.
    pub random: Random,
    /// Whether processes are killed right after SIGTERM: the seeded defect of answers.
    pub kills_early: bool,
    /// What has happened, with the time since the begin.
    pub history: Vec<String>,
    /// Whether new processes are killed. What is open at that time is excused, which would hide a seeded defect.
    pub kills_new: bool,
    /// When the soak began.
    pub begin: Instant,
    /// Faults in force, with the time at which each ends. Other events are played meanwhile.
    pub faults: Vec<(Instant, LastingFault)>,
}

/// A fault that stays in force while other events are played.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LastingFault {
    /// System calls fail.
    System(SystemFault),
    /// The processor of the process with this index completes no run.
    SlowRuns(usize),
    /// The link of the process with this index is broken again and again.
    Link(usize),
    /// The control plane is gone.
    ControlAway,
}

impl Script<'_, '_> {
    /// Plays events until this time, then ends the faults.
    pub fn play(&mut self, until: Instant) -> io::Result<()> {
        if self.kills_early {
            self.upgrade()?;
        }
        while Instant::now() < until {
            let pause = Duration::from_millis(self.random.within(50..=600));
            self.wait(pause)?;
            let event = self.random.one_of(&EVENTS);
            self.note(format!("{event:?}"));
            self.event(event)?;
        }
        self.faults.iter_mut().for_each(|(ends, _)| *ends = Instant::now());
        self.end_faults()?;
        self.server.system_faults.set_clock_offset_ms(0)
    }

    /// Lets time pass; faults that are over meanwhile end.
    fn wait(&mut self, pause: Duration) -> io::Result<()> {
        let until = Instant::now() + pause;
        while Instant::now() < until {
            thread::sleep(POLL_INTERVAL);
            self.end_faults()?;
        }
        Ok(())
    }

    /// Has a fault last for a drawn time.
    fn begin_fault(&mut self, fault: LastingFault, longest_ms: u64) {
        let lasts = Duration::from_millis(self.random.within(50..=longest_ms));
        self.faults.push((Instant::now() + lasts, fault));
    }

    /// Ends the faults whose time is over.
    fn end_faults(&mut self) -> io::Result<()> {
        let now = Instant::now();
        let over: Vec<LastingFault> =
            self.faults.extract_if(.., |(ends, _)| *ends <= now).map(|(_, fault)| fault).collect();
        for fault in over {
            match fault {
                LastingFault::System(fault) => self.server.system_faults.set(fault, 0)?,
                LastingFault::SlowRuns(index) => self.hold_runs(index, false),
                LastingFault::Link(index) => self.set_link_fault(index, LinkFault::Whole),
                LastingFault::ControlAway => self.control.away(false),
            }
        }
        Ok(())
    }

    fn hold_runs(&mut self, index: usize, holds: bool) {
        if let Some(process) = self.server.processes.get(index) {
            process.processor.script(|script| script.holds_runs = holds);
        }
    }

    fn set_link_fault(&mut self, index: usize, fault: LinkFault) {
        if let Some(process) = self.server.processes.get(index) {
            process.proxy.set_fault(fault);
        }
    }

    fn note(&mut self, text: String) {
        self.history.push(format!("{:>6} ms  {text}", self.begin.elapsed().as_millis()));
    }

    fn event(&mut self, event: Event) -> io::Result<()> {
        match event {
            Event::Upgrade => self.upgrade(),
            Event::UpgradeTwice => {
                let old = self.begin_upgrade()?;
                let older = self.begin_upgrade()?;
                self.end_old([old, older].into_iter().flatten().collect())
            }
            Event::FailedUpgrade if self.kills_new => self.fail_upgrade(),
            Event::FailedUpgrade => self.upgrade(),
            Event::Reload => {
                let deadline = self.draw_deadline();
                self.current().reload(Some(deadline))
            }
            Event::BrokenReload => self.current().reload(None),
            Event::Pause => {
                let pause = Duration::from_millis(self.random.within(20..=1_000));
                self.pause_current(pause);
                Ok(())
            }
            Event::ClockStep => {
                let step_ms = self.random.one_of(&CLOCK_STEPS_MS);
                self.note(format!("wall clock {step_ms:+} ms"));
                self.server.system_faults.set_clock_offset_ms(step_ms)
            }
            Event::SystemFaults => self.inject_system_faults(),
            Event::LinkCut => {
                let cut = Cut { after: self.random.count(0..=200), resets: self.random.once_in(2), times: 1 };
                let in_commands = self.random.once_in(2);
                self.current().processor.script(|script| match in_commands {
                    true => script.cut_commands = Some(cut),
                    false => script.cut_notices = Some(cut),
                });
                Ok(())
            }
            Event::LinkFaults => {
                let index = self.server.processes.len() - 1;
                let fault = self.random.one_of(&LINK_FAULTS);
                self.note(format!("link: {fault:?}"));
                self.set_link_fault(index, fault);
                self.begin_fault(LastingFault::Link(index), 4_000);
                Ok(())
            }
            Event::SlowRuns => {
                let index = self.server.processes.len() - 1;
                self.hold_runs(index, true);
                self.begin_fault(LastingFault::SlowRuns(index), 400);
                Ok(())
            }
            Event::ControlAway => {
                self.control.away(true);
                self.begin_fault(LastingFault::ControlAway, 500);
                Ok(())
            }
            Event::OperatorDrain => {
                let process = self.current();
                // The call may meet a fault that is injected at this time.
                let _ = process.admin_call("POST /healthcheck/fail");
                thread::sleep(Duration::from_millis(100));
                let _ = process.admin_call("POST /healthcheck/ok");
                Ok(())
            }
        }
    }

    fn current(&mut self) -> &mut Process {
        self.server.processes.last_mut().expect("a soak starts with a process")
    }

    fn draw_deadline(&mut self) -> Duration {
        Duration::from_millis(self.random.one_of(&DEADLINES_MS))
    }

    fn pause_current(&mut self, pause: Duration) {
        let process = self.current();
        let from = Instant::now();
        process.signal(Signal::STOP);
        thread::sleep(pause);
        process.signal(Signal::CONT);
        self.note_pause(from);
    }

    fn inject_system_faults(&mut self) -> io::Result<()> {
        let fault = self.random.one_of(&SystemFault::HARMLESS);
        let permille = self.random.one_of(&[20, 100, 300]);
        self.note(format!("{fault:?} in {permille} of 1,000 calls"));
        self.server.system_faults.set(fault, permille)?;
        self.begin_fault(LastingFault::System(fault), 3_000);
        Ok(())
    }

    fn upgrade(&mut self) -> io::Result<()> {
        let old = self.begin_upgrade()?;
        self.end_old(old.into_iter().collect())
    }

    /// Starts a new process and sends SIGTERM to the former one once it is ready. Returns the index of the former one;
    /// `None` if the new one was not ready in time.
    fn begin_upgrade(&mut self) -> io::Result<Option<usize>> {
        let deadline = self.draw_deadline();
        let old = self.server.processes.len() - 1;
        self.server.start(deadline)?;
        let is_ready = self.server.wait_ready(READY_TIMEOUT);
        self.end_faults()?;
        if !is_ready {
            let name = &self.server.target.name;
            self.server.target.record.check(
                &format!("the start of process {} of {name}", old + 1),
                Err("it was not ready within 10 s".into()),
            );
            return Ok(None);
        }
        self.note(format!("SIGTERM to process {old}"));
        self.server.processes[old].terminate();
        Ok(Some(old))
    }

    /// Plays the last moments of old processes: signals in series and pauses, until each has ended or the platform stops it.
    fn end_old(&mut self, old: Vec<usize>) -> io::Result<()> {
        let mut pause = self.draw_pause(&old);
        let mut signals = self.random.within(0..=6);
        if self.random.once_in(3) {
            self.note("the runs of the old processes do not end".into());
            for &index in &old {
                self.server.processes[index].processor.script(|script| script.holds_runs = true);
            }
        }
        let early = self.kills_early.then(|| Instant::now() + Duration::from_millis(50));
        while old.iter().any(|&index| !self.server.processes[index].has_ended()) {
            thread::sleep(POLL_INTERVAL);
            self.end_faults()?;
            if signals > 0 && self.random.once_in(40) {
                signals -= 1;
                let signal = self.random.one_of(&[Signal::TERM, Signal::HUP]);
                let index = self.random.one_of(&old);
                self.server.processes[index].signal(signal);
            }
            if let Some(planned) = pause.take_if(|planned| planned.from <= Instant::now()) {
                self.pause_until(planned.index, planned.until);
            }
            for &index in &old {
                let process = &mut self.server.processes[index];
                let is_due = process.stop_at().is_some_and(|at| Instant::now() >= at);
                let is_early = early.is_some_and(|at| Instant::now() >= at);
                if (is_due || is_early) && !process.has_ended() {
                    process.kill();
                    self.history.push(format!("process {index} was stopped by SIGKILL"));
                }
            }
        }
        Ok(())
    }

    fn pause_until(&mut self, index: usize, until: Instant) {
        let pause = until.saturating_duration_since(Instant::now());
        self.note(format!("process {index} is stopped for {} ms", pause.as_millis()));
        let from = Instant::now();
        self.server.processes[index].signal(Signal::STOP);
        thread::sleep(pause);
        self.server.processes[index].signal(Signal::CONT);
        self.note_pause(from);
    }

    fn note_pause(&self, from: Instant) {
        let until = Instant::now();
        self.server.target.record.entries().pauses.push(Pause { from, until });
    }

    /// Draws which old process is stopped, from when and until when; it often covers its last moments.
    fn draw_pause(&mut self, old: &[usize]) -> Option<PlannedPause> {
        if old.is_empty() || !self.random.once_in(2) {
            return None;
        }
        let index = self.random.one_of(old);
        let latest = self.server.processes[index].stop_at()?.checked_sub(TIME_AFTER_PAUSE)?;
        let until = latest - Duration::from_millis(self.random.within(0..=300));
        let from = until - Duration::from_millis(self.random.within(20..=400));
        Some(PlannedPause { index, from, until })
    }

    /// A new process that is killed, before it is ready or after it has served for a moment.
    fn fail_upgrade(&mut self) -> io::Result<()> {
        let deadline = self.draw_deadline();
        self.server.start(deadline)?;
        if self.random.once_in(2) {
            self.server.wait_ready(READY_TIMEOUT);
        }
        thread::sleep(Duration::from_millis(self.random.within(0..=200)));
        let kill = |server: &Server<'_>| server.target.record.entries().kills.push(Instant::now());
        // Nothing that is open now is owed an answer, as nobody knows by which process it was accepted.
        kill(self.server);
        if let Some(mut process) = self.server.processes.pop() {
            process.kill();
            self.server.ended.push(process);
        }
        kill(self.server);
        Ok(())
    }
}
