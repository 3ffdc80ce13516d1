//! Host processes of a run, started from this program. They receive orders over standard input, report over standard output,
//! and end when their input closes; one that takes too long is killed.

use super::cut::Cut;
use super::messages::{HostPlan, Order, Report};
use crossbeam_channel::{Receiver, RecvTimeoutError, Sender, unbounded};
use std::io::{self, BufRead, BufReader, Write};
use std::path::Path;
use std::process::{Child, ChildStdin, Command, Stdio};
use std::thread;
use std::time::{Duration, Instant};

/// Timeout of an ordered report, generous for a busy machine.
const REPORT_TIMEOUT: Duration = Duration::from_secs(30);
/// Time for a host to end after its input closes.
const END_TIMEOUT: Duration = Duration::from_secs(3);
/// Interval of checks whether a host has ended.
const END_CHECK_INTERVAL: Duration = Duration::from_millis(10);

/// Failure of the host processes.
#[derive(Debug, thiserror::Error)]
pub enum HostsError {
    /// A system call failed.
    #[error(transparent)]
    Io(#[from] io::Error),
    /// A plan or an order can't be serialized.
    #[error(transparent)]
    Form(#[from] serde_json::Error),
    /// A host ended early.
    #[error("a host of hollow servers ended by itself; see {log}")]
    Ended {
        /// Path of its log.
        log: String,
    },
    /// A host doesn't report in time.
    #[error("a host of hollow servers did not report within {s} s", s = REPORT_TIMEOUT.as_secs())]
    Silent,
}

struct Host {
    child: Child,
    input: Option<ChildStdin>,
    servers: usize,
    log: String,
    /// Latest report, periodic or ordered.
    latest: Option<Report>,
}

/// Event of a host: a report, or `None` for its end.
struct HostEvent {
    host: usize,
    report: Option<Report>,
}

/// All host processes of a run; they are ended when dropped.
pub struct Hosts {
    hosts: Vec<Host>,
    events: Receiver<HostEvent>,
    last_number: u32,
}

impl Hosts {
    /// Starts a process for each plan; plans and logs go into `folder`.
    pub fn start(plans: &[HostPlan], folder: &Path) -> Result<Self, HostsError> {
        let program = std::env::current_exe()?;
        let (sender, events) = unbounded();
        let mut all = Self { hosts: Vec::new(), events, last_number: 0 };
        for (number, plan) in plans.iter().enumerate() {
            let file = folder.join(format!("host{number}.plan"));
            std::fs::write(&file, serde_json::to_string(plan)?)?;
            let log = folder.join(format!("host{number}.log"));
            let mut child = Command::new(&program)
                .args(["scale", "fleet-host", "--plan"])
                .arg(&file)
                .stdin(Stdio::piped())
                .stdout(Stdio::piped())
                .stderr(std::fs::File::create(&log)?)
                .spawn()?;
            let (input, output) = (child.stdin.take(), child.stdout.take());
            all.hosts.push(Host {
                child,
                input,
                servers: plan.places.len(),
                log: log.display().to_string(),
                latest: None,
            });
            if let Some(output) = output {
                let sender = sender.clone();
                thread::Builder::new()
                    .name(format!("host{number}"))
                    .spawn(move || read_reports(number, BufReader::new(output), &sender))?;
            }
        }
        Ok(all)
    }

    /// Process IDs.
    pub fn pids(&self) -> Vec<u32> {
        self.hosts.iter().map(|host| host.child.id()).collect()
    }

    /// Sets or ends a partition between regions.
    pub fn cut(&mut self, cut: &Cut) -> Result<(), HostsError> {
        self.order(&Order::Cut(cut.clone()))
    }

    /// Orders and returns a current report of each host, in their order.
    pub fn report(&mut self) -> Result<Vec<Report>, HostsError> {
        self.last_number += 1;
        let number = self.last_number;
        self.order(&Order::Report(number))?;
        let begin = Instant::now();
        let has_report =
            |host: &Host| host.latest.as_ref().is_some_and(|report| report.number == Some(number));
        while !self.hosts.iter().all(has_report) {
            let left = REPORT_TIMEOUT.checked_sub(begin.elapsed()).ok_or(HostsError::Silent)?;
            self.process_event(left, Some(number))?;
        }
        Ok(self.hosts.iter().filter_map(|host| host.latest.clone()).collect())
    }

    /// Processes pending events and returns the latest report of each host; `None` before all have reported once.
    pub fn latest(&mut self) -> Result<Option<Vec<&Report>>, HostsError> {
        while !self.events.is_empty() {
            self.process_event(Duration::ZERO, None)?;
        }
        let latest: Vec<&Report> = self.hosts.iter().filter_map(|host| host.latest.as_ref()).collect();
        Ok((latest.len() == self.hosts.len()).then_some(latest))
    }

    /// Number of servers of all hosts.
    pub fn servers(&self) -> usize {
        self.hosts.iter().map(|host| host.servers).sum()
    }

    fn order(&mut self, order: &Order) -> Result<(), HostsError> {
        let line = serde_json::to_string(order)? + "\n";
        for host in &mut self.hosts {
            if let Some(input) = &mut host.input {
                input.write_all(line.as_bytes())?;
            }
        }
        Ok(())
    }

    /// Processes one event. A report with the awaited `number` is not replaced by a later periodic one.
    fn process_event(&mut self, timeout: Duration, number: Option<u32>) -> Result<(), HostsError> {
        let event = match self.events.recv_timeout(timeout) {
            Ok(event) => event,
            Err(RecvTimeoutError::Timeout) => return Ok(()),
            Err(RecvTimeoutError::Disconnected) => return Err(HostsError::Silent),
        };
        let host = &mut self.hosts[event.host];
        let Some(report) = event.report else { return Err(HostsError::Ended { log: host.log.clone() }) };
        let keep_awaited =
            number.is_some() && host.latest.as_ref().is_some_and(|latest| latest.number == number);
        if !keep_awaited {
            host.latest = Some(report);
        }
        Ok(())
    }
}

impl Drop for Hosts {
    fn drop(&mut self) {
        // Closing its input ends a host.
        self.hosts.iter_mut().for_each(|host| drop(host.input.take()));
        let begin = Instant::now();
        for host in &mut self.hosts {
            while matches!(host.child.try_wait(), Ok(None)) && begin.elapsed() < END_TIMEOUT {
                thread::sleep(END_CHECK_INTERVAL);
            }
            if matches!(host.child.try_wait(), Ok(None)) {
                let _ = host.child.kill();
                let _ = host.child.wait();
            }
        }
    }
}

fn read_reports(host: usize, output: impl BufRead, sender: &Sender<HostEvent>) {
    for line in output.lines().map_while(Result::ok) {
        let Ok(report) = serde_json::from_str::<Report>(&line) else { break };
        if sender.send(HostEvent { host, report: Some(report) }).is_err() {
            return;
        }
    }
    let _ = sender.send(HostEvent { host, report: None });
}
