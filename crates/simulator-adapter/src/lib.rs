//! Connects admission controllers to the simulator's text protocol: reads events from standard input and writes
//! actions to standard output, with one controller per simulated server. The adapter itself makes no decisions.

mod wire;

use gradepin_admission::{Action, Controller, Event, Settings, Time};
use std::collections::BTreeMap;
use std::io::{self, BufRead, BufWriter, Write};
use std::process::ExitCode;

/// One simulated server: its controller, the settings that resolve names of classes and tenants, and the events
/// of the current batch.
struct Instance {
    controller: Controller,
    settings: Settings,
    events: Vec<Event>,
}

/// All simulated servers.
#[derive(Default)]
struct Host {
    instances: BTreeMap<String, Instance>,
    /// Instances that the current batch names, in the order in which it first names them.
    batch_instances: Vec<String>,
    /// Time of the batch that is being read; `None` between batches.
    now: Option<Time>,
    reply: String,
}

impl Host {
    /// Handles one input line. Returns whether the batch is complete and `reply` has its actions.
    fn handle_line(&mut self, line: &str) -> Result<bool, String> {
        let Some(now) = self.now else {
            if line.is_empty() {
                return Ok(false);
            }
            self.now = Some(wire::sync(line)?);
            return Ok(false);
        };
        if line == "go" {
            self.now = None;
            self.write_reply(now);
            return Ok(true);
        }
        let (op, rest) = line.split_once(' ').unwrap_or((line, ""));
        let (name, rest) = rest.split_once(' ').unwrap_or((rest, ""));
        match op {
            "start" => {
                let (seed, settings) = wire::start(rest)?;
                let controller = Controller::new(settings.clone(), seed, now);
                self.add_to_batch(name);
                self.instances
                    .insert(name.to_string(), Instance { controller, settings, events: Vec::new() });
            }
            "exit" => {
                self.instances.remove(name);
                self.batch_instances.retain(|batch_instances| batch_instances != name);
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
                self.add_to_batch(name);
            }
        }
        Ok(false)
    }

    fn add_to_batch(&mut self, name: &str) {
        if self.batch_instances.last().is_none_or(|last| last != name)
            && !self.batch_instances.iter().any(|t| t == name)
        {
            self.batch_instances.push(name.to_string());
        }
    }

    fn write_reply(&mut self, now: Time) {
        let mut actions: Vec<Action> = Vec::new();
        for name in self.batch_instances.drain(..) {
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
        if host.handle_line(line).map_err(|e| format!("line {number}: {e}"))? {
            let sent = output.write_all(host.reply.as_bytes()).and_then(|()| output.flush());
            sent.map_err(|e| format!("writing the reply: {e}"))?;
            host.reply.clear();
        }
    }
}

/// Serves the simulator on standard input and output until the input ends. Malformed input ends the process with
/// status 2.
pub fn main() -> ExitCode {
    match run() {
        Ok(()) => ExitCode::SUCCESS,
        Err(message) => {
            eprintln!("gradepin-simulator-adapter: {message}");
            ExitCode::from(2)
        }
    }
}
