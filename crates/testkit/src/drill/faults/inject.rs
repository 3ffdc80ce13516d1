//! Does to a running server what a fault says, and takes it back: when this returns, all stand-ins behave again.

use super::client::Target;
use super::control::ControlPlane;
use super::misuse;
use super::plan::{BadFile, ClientFault, ControlFault, DependencyFault, Fault, ProcessorFault, SignalFault};
use super::processor::{Cut, Processor};
use super::random::Random;
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

/// How long a standing fault lasts under load.
const STANDS: Duration = Duration::from_millis(400);
/// How long cuts may take to be used up: a link that nothing comes over is not cut.
const CUTS_PATIENCE: Duration = Duration::from_millis(1_500);
/// Between steps of one fault.
const STEP: Duration = Duration::from_millis(5);
/// How often notices that are told again at each link are told so.
const REPEATS: usize = 3;

/// What a fault is done to.
pub struct Victim<'a> {
    /// The server. Locked only for what needs its process.
    pub server: &'a Mutex<Server>,
    /// As clients see it.
    pub target: Target,
    /// Its control plane.
    pub control: &'a ControlPlane,
    /// One to move to.
    pub other_control: &'a ControlPlane,
}

impl Victim<'_> {
    fn with_server<T>(&self, act: impl FnOnce(&mut Server) -> T) -> T {
        act(&mut self.server.lock().unwrap_or_else(PoisonError::into_inner))
    }

    fn with_processor<T>(&self, act: impl FnOnce(&Processor) -> T) -> T {
        self.with_server(|server| act(&server.processor))
    }
}

/// Plays one fault.
pub fn play(fault: Fault, victim: &Victim<'_>, random: &mut Random) -> io::Result<()> {
    match fault {
        Fault::Client(ClientFault::IdleToTheLimit) => {
            victim.control.away(true);
            misuse::play(ClientFault::IdleToTheLimit, &victim.target, random);
            victim.control.away(false);
        }
        Fault::Client(fault) => misuse::play(fault, &victim.target, random),
        Fault::Processor(fault) => processor(fault, victim),
        Fault::Dependency(fault) => dependency(fault, victim),
        Fault::Datagrams(fault) => {
            // No lock is held while it sends.
            let peer = victim.with_server(|server| server.peer.clone());
            peer.into_iter().for_each(|peer| peer.play(fault, random));
        }
        Fault::Control(fault) => control(fault, victim)?,
        Fault::Signal(fault) => signal(fault, victim, random)?,
    }
    Ok(())
}

fn processor(fault: ProcessorFault, victim: &Victim<'_>) {
    let script = |change: &dyn Fn(&mut super::processor::Script)| victim.with_processor(|p| p.script(change));
    match fault {
        ProcessorFault::Refused(ms) => {
            script(&|s| s.refuses = true);
            thread::sleep(Duration::from_millis(ms));
            script(&|s| s.refuses = false);
        }
        ProcessorFault::HiLate(ms) => {
            script(&|s| s.holds_hi = true);
            victim.with_processor(Processor::restart);
            thread::sleep(Duration::from_millis(ms));
            script(&|s| s.holds_hi = false);
        }
        ProcessorFault::CutCommand(after, times) => {
            script(&|s| s.cut_commands = Some(Cut { after, resets: false, times }));
            wait_for_cuts(victim);
        }
        ProcessorFault::CutNotice(after, times) => {
            script(&|s| s.cut_notices = Some(Cut { after, resets: false, times }));
            wait_for_cuts(victim);
        }
        ProcessorFault::ResetNotice(after, times) => {
            script(&|s| s.cut_notices = Some(Cut { after, resets: true, times }));
            wait_for_cuts(victim);
        }
        ProcessorFault::SlowReader(ms) => {
            script(&|s| s.holds_reads = true);
            thread::sleep(Duration::from_millis(ms));
            script(&|s| s.holds_reads = false);
        }
        ProcessorFault::Restart(times) => {
            for _ in 0..times {
                victim.with_processor(Processor::restart);
                thread::sleep(STANDS);
            }
        }
        ProcessorFault::RepeatNotices => {
            script(&|s| s.repeats = true);
            for _ in 0..REPEATS {
                script(&|s| s.cut_notices = Some(Cut { after: 9, resets: false, times: 1 }));
                thread::sleep(STANDS / 2);
            }
            script(&|s| s.repeats = false);
        }
        ProcessorFault::OutOfOrder => {
            script(&|s| s.out_of_order = true);
            thread::sleep(STANDS);
            victim.with_processor(Processor::tell_in_order);
        }
        ProcessorFault::LongRemark(length) => {
            script(&|s| s.remark = Some(length));
            thread::sleep(STANDS);
            script(&|s| s.remark = None);
        }
        ProcessorFault::ResultLength(length) => {
            script(&|s| s.result_length = Some(length));
            thread::sleep(STANDS);
            script(&|s| s.result_length = None);
        }
        ProcessorFault::Reject(which) => {
            script(&|s| s.reject = Some(which));
            thread::sleep(STANDS);
            script(&|s| s.reject = None);
        }
        ProcessorFault::EndsAs(end) => {
            script(&|s| s.end = end);
            thread::sleep(STANDS);
            script(&|s| s.end = "OK");
        }
        ProcessorFault::ByteByByte => {
            script(&|s| s.byte_by_byte = true);
            thread::sleep(STANDS);
            script(&|s| s.byte_by_byte = false);
        }
    }
}

/// Until all cuts were made, or nothing comes that they could be made in.
fn wait_for_cuts(victim: &Victim<'_>) {
    let start = Instant::now();
    while start.elapsed() < CUTS_PATIENCE && victim.with_processor(Processor::has_cuts) {
        thread::sleep(STEP);
    }
    victim.with_processor(|p| p.script(|s| (s.cut_commands, s.cut_notices) = (None, None)));
}

fn control(fault: ControlFault, victim: &Victim<'_>) -> io::Result<()> {
    match fault {
        ControlFault::Refused(ms) => {
            victim.control.away(true);
            thread::sleep(Duration::from_millis(ms));
            victim.control.away(false);
        }
        ControlFault::Moved => {
            victim.with_server(|server| {
                server.configuration["control"] = serde_json::json!(victim.other_control.address());
                server.write_configuration(&server.configuration.to_string())?;
                server.signal(Signal::HUP);
                io::Result::Ok(())
            })?;
            thread::sleep(STANDS);
        }
        ControlFault::ProcessorMoved => {
            victim.with_server(|server| {
                server.configuration["processor"] = serde_json::json!(server.processor.moves()?);
                server.write_configuration(&server.configuration.to_string())?;
                server.signal(Signal::HUP);
                io::Result::Ok(())
            })?;
            thread::sleep(STANDS);
        }
    }
    Ok(())
}

fn dependency(fault: DependencyFault, victim: &Victim<'_>) {
    let set = |fault| {
        victim.with_server(|server| {
            if let Some(dependency) = &server.dependency {
                dependency.set(fault);
            }
        });
    };
    set(Some(fault));
    thread::sleep(STANDS);
    set(None);
}

fn signal(fault: SignalFault, victim: &Victim<'_>, random: &mut Random) -> io::Result<()> {
    match fault {
        SignalFault::HangupStorm(count) => {
            let usual = victim.with_server(|server| server.configuration.clone());
            let changed = settings::retuned(&usual);
            for n in 0..count {
                let text = if n % 2 == 0 { &changed } else { &usual }.to_string();
                victim.with_server(|server| {
                    server.write_configuration(&text)?;
                    server.signal(Signal::HUP);
                    io::Result::Ok(())
                })?;
                thread::sleep(Duration::from_millis(random.within(0..=5)));
            }
            reload(victim, &usual.to_string())?;
        }
        SignalFault::BadFile(kind) => {
            let usual = victim.with_server(|server| server.configuration.clone());
            match bad_file(kind, &usual) {
                Some(text) => reload(victim, &text)?,
                None => {
                    victim.with_server(|server| fs::remove_file(&server.config))?;
                    victim.with_server(|server| server.signal(Signal::HUP));
                }
            }
            thread::sleep(STANDS);
            reload(victim, &usual.to_string())?;
            thread::sleep(STANDS);
        }
        SignalFault::Pause(ms) => {
            victim.with_server(|server| server.signal(Signal::STOP));
            let start = Instant::now();
            thread::sleep(Duration::from_millis(ms));
            victim.with_server(|server| server.signal(Signal::CONT));
            victim.target.record.entries().paused += start.elapsed();
        }
        SignalFault::Interrupts(count) => {
            for _ in 0..count {
                victim.with_server(|server| server.signal(Signal::STOP));
                victim.with_server(|server| server.signal(Signal::CONT));
                thread::sleep(Duration::from_millis(random.within(0..=3)));
            }
        }
        SignalFault::Kill => {
            victim.with_server(Server::kill_and_start)?;
        }
    }
    Ok(())
}

fn reload(victim: &Victim<'_>, text: &str) -> io::Result<()> {
    victim.with_server(|server| {
        server.write_configuration(text)?;
        server.signal(Signal::HUP);
        Ok(())
    })
}

/// The text of a bad file; none if there is to be no file.
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
