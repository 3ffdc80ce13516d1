//! The host processes of a run: started from this program, told by their inputs, read by their outputs, and ended by the
//! ends of their inputs or, where that takes too long, by their ids.

use super::cut::Cut;
use super::messages::{HostPlan, Order, Report};
use crossbeam_channel::{Receiver, RecvTimeoutError, Sender, unbounded};
use std::io::{self, BufRead, BufReader, Write};
use std::path::Path;
use std::process::{Child, ChildStdin, Command, Stdio};
use std::thread;
use std::time::{Duration, Instant};

/// How long a host may take for a report that was asked for, on a machine that is busy.
const REPORT_PATIENCE: Duration = Duration::from_secs(30);
/// How long it may take to end once its input has ended.
const END_PATIENCE: Duration = Duration::from_secs(3);
/// Between looks at whether it has.
const END_LOOK: Duration = Duration::from_millis(10);

/// Why hosts can't be used any more.
#[derive(Debug, thiserror::Error)]
pub enum HostsError {
    /// The system denies something.
    #[error(transparent)]
    Io(#[from] io::Error),
    /// A plan can't be written, or an order.
    #[error(transparent)]
    Form(#[from] serde_json::Error),
    /// One ended.
    #[error("a host of hollow servers ended by itself; see {log}")]
    Ended {
        /// What it said.
        log: String,
    },
    /// One doesn't report.
    #[error("a host of hollow servers did not report within {s} s", s = REPORT_PATIENCE.as_secs())]
    Silent,
}

struct Host {
    child: Child,
    input: Option<ChildStdin>,
    servers: usize,
    log: String,
    /// The last report, whichever.
    latest: Option<Report>,
}

/// What came of a host: a report, or its end.
struct Came {
    host: usize,
    report: Option<Report>,
}

/// All hosts of a run. None of their processes is left when this is dropped.
pub struct Hosts {
    hosts: Vec<Host>,
    came: Receiver<Came>,
    numbers: u32,
}

impl Hosts {
    /// Starts a process for each plan; files go into the folder.
    pub fn start(plans: &[HostPlan], folder: &Path) -> Result<Self, HostsError> {
        let program = std::env::current_exe()?;
        let (sender, came) = unbounded();
        let mut all = Self { hosts: Vec::new(), came, numbers: 0 };
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

    /// The ids of the processes.
    pub fn pids(&self) -> Vec<u32> {
        self.hosts.iter().map(|host| host.child.id()).collect()
    }

    /// Cuts regions from the others, or ends a cut.
    pub fn cut(&mut self, cut: &Cut) -> Result<(), HostsError> {
        self.order(&Order::Cut(cut.clone()))
    }

    /// A report of each host as of now, in their order.
    pub fn report(&mut self) -> Result<Vec<Report>, HostsError> {
        self.numbers += 1;
        let number = self.numbers;
        self.order(&Order::Report(number))?;
        let begin = Instant::now();
        let wanted = |host: &Host| host.latest.as_ref().is_some_and(|report| report.number == Some(number));
        while !self.hosts.iter().all(wanted) {
            let left = REPORT_PATIENCE.checked_sub(begin.elapsed()).ok_or(HostsError::Silent)?;
            self.take(left, Some(number))?;
        }
        Ok(self.hosts.iter().filter_map(|host| host.latest.clone()).collect())
    }

    /// Takes in what came meanwhile, and gives each host's last report; none before all have reported once.
    pub fn latest(&mut self) -> Result<Option<Vec<&Report>>, HostsError> {
        while !self.came.is_empty() {
            self.take(Duration::ZERO, None)?;
        }
        let latest: Vec<&Report> = self.hosts.iter().filter_map(|host| host.latest.as_ref()).collect();
        Ok((latest.len() == self.hosts.len()).then_some(latest))
    }

    /// Servers of all hosts.
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

    /// Takes one thing that came. While a numbered report is waited for, it isn't replaced by a later one.
    fn take(&mut self, patience: Duration, number: Option<u32>) -> Result<(), HostsError> {
        let came = match self.came.recv_timeout(patience) {
            Ok(came) => came,
            Err(RecvTimeoutError::Timeout) => return Ok(()),
            Err(RecvTimeoutError::Disconnected) => return Err(HostsError::Silent),
        };
        let host = &mut self.hosts[came.host];
        let Some(report) = came.report else { return Err(HostsError::Ended { log: host.log.clone() }) };
        let keeps = number.is_some() && host.latest.as_ref().is_some_and(|latest| latest.number == number);
        if !keeps {
            host.latest = Some(report);
        }
        Ok(())
    }
}

impl Drop for Hosts {
    fn drop(&mut self) {
        // The end of its input ends a host.
        self.hosts.iter_mut().for_each(|host| drop(host.input.take()));
        let begin = Instant::now();
        for host in &mut self.hosts {
            while matches!(host.child.try_wait(), Ok(None)) && begin.elapsed() < END_PATIENCE {
                thread::sleep(END_LOOK);
            }
            if matches!(host.child.try_wait(), Ok(None)) {
                let _ = host.child.kill();
                let _ = host.child.wait();
            }
        }
    }
}

fn read_reports(host: usize, output: impl BufRead, sender: &Sender<Came>) {
    for line in output.lines().map_while(Result::ok) {
        let Ok(report) = serde_json::from_str::<Report>(&line) else { break };
        if sender.send(Came { host, report: Some(report) }).is_err() {
            return;
        }
    }
    let _ = sender.send(Came { host, report: None });
}
