//! The adapter: wire text on standard input to events, actions to text on standard output, one controller for
//! each instance. It decides nothing.

mod wire;

use gradepin_admission::{Action, Controller, Event, Settings, Time};
use std::collections::BTreeMap;
use std::io::{self, BufRead, BufWriter, Write};
use std::process::ExitCode;

/// One instance: its controller and the settings, which name classes and tenants.
struct Instance {
    controller: Controller,
    settings: Settings,
    events: Vec<Event>,
}

/// All instances of this process, and the order in which this batch named them.
#[derive(Default)]
struct Host {
    instances: BTreeMap<String, Instance>,
    touched: Vec<String>,
    /// Clock of the batch being read; absent between batches.
    now: Option<Time>,
    reply: String,
}

impl Host {
    /// Takes one line in; says whether a reply is ready.
    fn line(&mut self, line: &str) -> Result<bool, String> {
        let Some(now) = self.now else {
            if line.is_empty() {
                return Ok(false);
            }
            self.now = Some(wire::sync(line)?);
            return Ok(false);
        };
        if line == "go" {
            self.now = None;
            self.answer(now);
            return Ok(true);
        }
        let (op, rest) = line.split_once(' ').unwrap_or((line, ""));
        let (name, rest) = rest.split_once(' ').unwrap_or((rest, ""));
        match op {
            "start" => {
                let (seed, settings) = wire::start(rest)?;
                let controller = Controller::new(settings.clone(), seed, now);
                self.touch(name);
                self.instances
                    .insert(name.to_string(), Instance { controller, settings, events: Vec::new() });
            }
            "exit" => {
                self.instances.remove(name);
                self.touched.retain(|touched| touched != name);
            }
            _ => {
                let Some(instance) = self.instances.get_mut(name) else {
                    return if wire::is_event(op) {
                        Err(format!("expected an event for a started instance, got one for '{name}'"))
                    } else {
                        Ok(false)
                    };
                };
                if let Some(event) = wire::event(op, rest, &instance.settings)? {
                    instance.events.push(event);
                }
                self.touch(name);
            }
        }
        Ok(false)
    }

    fn touch(&mut self, name: &str) {
        if self.touched.last().is_none_or(|last| last != name) && !self.touched.iter().any(|t| t == name) {
            self.touched.push(name.to_string());
        }
    }

    fn answer(&mut self, now: Time) {
        let mut actions: Vec<Action> = Vec::new();
        for name in self.touched.drain(..) {
            if let Some(instance) = self.instances.get_mut(&name) {
                instance.controller.handle(now, &instance.events, &mut actions);
                instance.events.clear();
                for action in actions.drain(..) {
                    wire::write_action(&mut self.reply, &name, &action);
                }
            }
        }
        self.reply.push_str("end\n");
    }
}

fn run() -> Result<(), String> {
    let mut input = io::stdin().lock();
    let mut output = BufWriter::new(io::stdout().lock());
    let mut host = Host::default();
    let mut buffer = Vec::new();
    let mut number = 0_u64;
    loop {
        buffer.clear();
        let read = input.read_until(b'\n', &mut buffer).map_err(|e| format!("reading input: {e}"))?;
        number += 1;
        if read == 0 {
            return match host.now {
                None => Ok(()),
                Some(_) => Err(format!("line {number}: expected 'go' before the end of input")),
            };
        }
        let text = std::str::from_utf8(&buffer).map_err(|_| format!("line {number}: expected UTF-8 text"))?;
        let line = text.strip_suffix('\n').unwrap_or(text);
        if host.line(line).map_err(|e| format!("line {number}: {e}"))? {
            let sent = output.write_all(host.reply.as_bytes()).and_then(|()| output.flush());
            sent.map_err(|e| format!("writing the reply: {e}"))?;
            host.reply.clear();
        }
    }
}

/// Serves the simulator on standard input and output until its input ends; status 2 for input that is not of its form.
pub fn main() -> ExitCode {
    match run() {
        Ok(()) => ExitCode::SUCCESS,
        Err(message) => {
            eprintln!("gradepin-simulator-adapter: {message}");
            ExitCode::from(2)
        }
    }
}
