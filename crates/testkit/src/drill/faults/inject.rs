//! Injects a fault into a running server and reverts it: when [`inject`] returns, all stand-ins behave normally
//! again.

use super::client::Target;
use super::control::ControlPlane;
use super::misuse;
use super::plan::{BadFile, ClientFault, ControlFault, DependencyFault, Fault, ProcessorFault, SignalFault};
use super::processor::{Cut, Processor};
use super::random::Random;
use super::record::Pause;
use super::server::Server;
use super::settings;
use rustix::process::Signal;
use serde_json::Value;
use std::fs;
use std::io;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::thread;
use std::time::{Duration, Instant};

/// How long a fault without a duration of its own stays active under load.
const FAULT_DURATION: Duration = Duration::from_millis(400);
/// Maximum wait until all cuts were made: a link that carries no traffic is never cut.
const CUTS_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Interval between checks for remaining cuts.
const POLL_INTERVAL: Duration = Duration::from_millis(5);
/// Number of links on which the notices are repeated.
const REPEATED_LINKS: usize = 3;

/// The server and the stand-ins that a fault affects.
pub struct FaultTarget<'a> {
    /// The server; locked only while its process is accessed, so that faults can overlap.
    pub server: &'a Mutex<Server>,
    /// The server's addresses and record, as its clients use them.
    pub target: Target,
    /// The control plane in the server's configuration.
    pub control: &'a ControlPlane,
    /// The control plane that [`ControlFault::Moved`] switches to.
    pub other_control: &'a ControlPlane,
}

impl FaultTarget<'_> {
    fn with_server<T>(&self, act: impl FnOnce(&mut Server) -> T) -> T {
        act(&mut self.server.lock().unwrap_or_else(PoisonError::into_inner))
    }

    fn with_processor<T>(&self, act: impl FnOnce(&Processor) -> T) -> T {
        self.with_server(|server| act(&server.processor))
    }
}

/// Injects one fault and returns once it is reverted.
pub fn inject(fault: Fault, fault_target: &FaultTarget<'_>, random: &mut Random) -> io::Result<()> {
    match fault {
        Fault::Client(ClientFault::IdleToTheLimit) => {
            fault_target.control.away(true);
            misuse::misbehave(ClientFault::IdleToTheLimit, &fault_target.target, random);
            fault_target.control.away(false);
        }
        Fault::Client(fault) => misuse::misbehave(fault, &fault_target.target, random),
        Fault::Processor(fault) => processor(fault, fault_target),
        Fault::Dependency(fault) => dependency(fault, fault_target),
        Fault::Datagrams(fault) => {
            // The peer is cloned so that the server is not locked while datagrams are sent.
            let peer = fault_target.with_server(|server| server.peer.clone());
            peer.into_iter().for_each(|peer| peer.send(fault, random));
        }
        Fault::Control(fault) => control(fault, fault_target)?,
        Fault::Signal(fault) => signal(fault, fault_target, random)?,
    }
    Ok(())
}

fn processor(fault: ProcessorFault, fault_target: &FaultTarget<'_>) {
    let script =
        |change: &dyn Fn(&mut super::processor::Script)| fault_target.with_processor(|p| p.script(change));
    match fault {
        ProcessorFault::Refused(ms) => {
            script(&|s| s.refuses = true);
            thread::sleep(Duration::from_millis(ms));
            script(&|s| s.refuses = false);
        }
        ProcessorFault::HiLate(ms) => {
            script(&|s| s.holds_greeting = true);
            fault_target.with_processor(Processor::restart);
            thread::sleep(Duration::from_millis(ms));
            script(&|s| s.holds_greeting = false);
        }
        ProcessorFault::CutCommand(after, times) => {
            script(&|s| s.cut_commands = Some(Cut { after, resets: false, times }));
            wait_for_cuts(fault_target);
        }
        ProcessorFault::CutNotice(after, times) => {
            script(&|s| s.cut_notices = Some(Cut { after, resets: false, times }));
            wait_for_cuts(fault_target);
        }
        ProcessorFault::ResetNotice(after, times) => {
            script(&|s| s.cut_notices = Some(Cut { after, resets: true, times }));
            wait_for_cuts(fault_target);
        }
        ProcessorFault::SlowReader(ms) => {
            script(&|s| s.holds_reads = true);
            thread::sleep(Duration::from_millis(ms));
            script(&|s| s.holds_reads = false);
        }
        ProcessorFault::Restart(times) => {
            for _ in 0..times {
                fault_target.with_processor(Processor::restart);
                thread::sleep(FAULT_DURATION);
            }
        }
        ProcessorFault::RepeatNotices => {
            script(&|s| s.repeats = true);
            for _ in 0..REPEATED_LINKS {
                script(&|s| s.cut_notices = Some(Cut { after: 9, resets: false, times: 1 }));
                thread::sleep(FAULT_DURATION / 2);
            }
            script(&|s| s.repeats = false);
        }
        ProcessorFault::OutOfOrder => {
            script(&|s| s.out_of_order = true);
            thread::sleep(FAULT_DURATION);
            fault_target.with_processor(Processor::restore_notice_order);
        }
        ProcessorFault::LongRemark(length) => {
            script(&|s| s.remark = Some(length));
            thread::sleep(FAULT_DURATION);
            script(&|s| s.remark = None);
        }
        ProcessorFault::ResultLength(length) => {
            script(&|s| s.result_length = Some(length));
            thread::sleep(FAULT_DURATION);
            script(&|s| s.result_length = None);
        }
        ProcessorFault::Reject(which) => {
            script(&|s| s.reject = Some(which));
            thread::sleep(FAULT_DURATION);
            script(&|s| s.reject = None);
        }
        ProcessorFault::EndsAs(end) => {
            script(&|s| s.end = end);
            thread::sleep(FAULT_DURATION);
            script(&|s| s.end = "OK");
        }
        ProcessorFault::ByteByByte => {
            script(&|s| s.byte_by_byte = true);
            thread::sleep(FAULT_DURATION);
            script(&|s| s.byte_by_byte = false);
        }
    }
}

/// Waits until all cuts were made or the timeout has passed, then removes the remaining ones.
fn wait_for_cuts(fault_target: &FaultTarget<'_>) {
    let start = Instant::now();
    while start.elapsed() < CUTS_TIMEOUT && fault_target.with_processor(Processor::has_cuts) {
        thread::sleep(POLL_INTERVAL);
    }
    fault_target.with_processor(|p| p.script(|s| (s.cut_commands, s.cut_notices) = (None, None)));
}

fn control(fault: ControlFault, fault_target: &FaultTarget<'_>) -> io::Result<()> {
    match fault {
        ControlFault::Refused(ms) => {
            fault_target.control.away(true);
            thread::sleep(Duration::from_millis(ms));
            fault_target.control.away(false);
        }
        ControlFault::Moved => {
            fault_target.with_server(|server| {
                server.configuration["control"] = serde_json::json!(fault_target.other_control.address());
                server.write_configuration(&server.configuration.to_string())?;
                server.signal(Signal::HUP);
                io::Result::Ok(())
            })?;
            thread::sleep(FAULT_DURATION);
        }
        ControlFault::ProcessorMoved => {
            fault_target.with_server(|server| {
                server.configuration["processor"] = serde_json::json!(server.processor.moves()?);
                server.write_configuration(&server.configuration.to_string())?;
                server.signal(Signal::HUP);
                io::Result::Ok(())
            })?;
            thread::sleep(FAULT_DURATION);
        }
    }
    Ok(())
}

fn dependency(fault: DependencyFault, fault_target: &FaultTarget<'_>) {
    let set = |fault| {
        fault_target.with_server(|server| {
            if let Some(dependency) = &server.dependency {
                dependency.set(fault);
            }
        });
    };
    set(Some(fault));
    thread::sleep(FAULT_DURATION);
    set(None);
}

fn signal(fault: SignalFault, fault_target: &FaultTarget<'_>, random: &mut Random) -> io::Result<()> {
    match fault {
        SignalFault::HangupStorm(count) => {
            let usual = fault_target.with_server(|server| server.configuration.clone());
            let changed = settings::retuned(&usual);
            for n in 0..count {
                let text = if n % 2 == 0 { &changed } else { &usual }.to_string();
                fault_target.with_server(|server| {
                    server.write_configuration(&text)?;
                    server.signal(Signal::HUP);
                    io::Result::Ok(())
                })?;
                thread::sleep(Duration::from_millis(random.within(0..=5)));
            }
            reload(fault_target, &usual.to_string())?;
        }
        SignalFault::BadFile(kind) => {
            let usual = fault_target.with_server(|server| server.configuration.clone());
            match bad_file(kind, &usual) {
                Some(text) => reload(fault_target, &text)?,
                None => {
                    fault_target.with_server(|server| fs::remove_file(&server.config))?;
                    fault_target.with_server(|server| server.signal(Signal::HUP));
                }
            }
            thread::sleep(FAULT_DURATION);
            reload(fault_target, &usual.to_string())?;
            thread::sleep(FAULT_DURATION);
        }
        SignalFault::Pause(ms) => {
            fault_target.with_server(|server| server.signal(Signal::STOP));
            let from = Instant::now();
            thread::sleep(Duration::from_millis(ms));
            fault_target.with_server(|server| server.signal(Signal::CONT));
            let until = Instant::now();
            fault_target.target.record.entries().pauses.push(Pause { from, until });
        }
        SignalFault::Interrupts(count) => {
            for _ in 0..count {
                fault_target.with_server(|server| server.signal(Signal::STOP));
                fault_target.with_server(|server| server.signal(Signal::CONT));
                thread::sleep(Duration::from_millis(random.within(0..=3)));
            }
        }
        SignalFault::Kill => {
            fault_target.with_server(Server::kill_and_start)?;
        }
    }
    Ok(())
}

fn reload(fault_target: &FaultTarget<'_>, text: &str) -> io::Result<()> {
    fault_target.with_server(|server| {
        server.write_configuration(text)?;
        server.signal(Signal::HUP);
        Ok(())
    })
}

/// The content of an unusable configuration file; `None` if the file is to be missing.
fn bad_file(kind: BadFile, usual: &Value) -> Option<String> {
    let text = usual.to_string();
    match kind {
        BadFile::Missing => None,
        BadFile::Empty => Some(String::new()),
        BadFile::Half => Some(text[..text.len() / 2].to_string()),
        BadFile::Word => {
            let mut changed = usual.clone();
            changed["settings"]["profiles"][0]["deadline"] = serde_json::json!("soon");
            Some(changed.to_string())
        }
        BadFile::OtherSite => Some(settings::other_site(usual).to_string()),
    }
}
