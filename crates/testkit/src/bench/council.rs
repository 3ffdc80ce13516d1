//! Cost of permits: voters with files on a real disk in one process, without a network. Measures the time from a request until
//! the permit is granted, disk syncs, and file sizes.

use gradepin_admission::{Span, Time, time_after};
use gradepin_coordination::consensus::VoterState;
use gradepin_coordination::controller::ControllerSettings;
use gradepin_coordination::messages::ServerReport;
use gradepin_coordination::replicated_state::{Limits, Name};
use gradepin_coordination::server_agent::{AgentEffect, AgentSettings, ServerAgent};
use gradepin_store::disk::Folder;
use gradepin_store::voter_log::VoterLog;
use hdrhistogram::Histogram;
use std::collections::VecDeque;
use std::io;
use std::path::Path;
use std::sync::Arc;
use std::time::{Duration, Instant};

const MS: u64 = 1_000_000;

struct Voter {
    name: Name,
    agent: ServerAgent,
    log: VoterLog,
    stored_state: VoterState,
}

struct Group {
    voters: Vec<Voter>,
    net: VecDeque<(usize, usize, Vec<u8>)>,
    begin: Instant,
    syncs: u64,
    granted_to: Option<usize>,
}

impl Group {
    fn new(folder: &Path, count: usize) -> io::Result<Self> {
        let names: Vec<Name> = (0..count).map(|n| Arc::from(format!("n{n}"))).collect();
        let mut voters = Vec::new();
        for (n, name) in names.iter().enumerate() {
            let files = Folder::open(&folder.join(format!("{count}-{n}"))).map_err(io::Error::other)?;
            let (log, stored_state) =
                VoterLog::open(Box::new(files), 100 + n as u64).map_err(io::Error::other)?;
            let limits = Limits { fleet: 1, zone: 1, ..Limits::default() };
            let set = AgentSettings {
                name: Arc::clone(name),
                incarnation: 1 << 20,
                zone: format!("z{n}"),
                voters: names.clone(),
                voter_state: Some(stored_state.clone()),
                controller: ControllerSettings {
                    limits,
                    stabilization: Span(MS),
                    ..ControllerSettings::default()
                },
                waits_for_permit: true,
                seed: n as u64,
            };
            voters.push(Voter {
                name: Arc::clone(name),
                agent: ServerAgent::new(set, Time(MS)),
                log,
                stored_state,
            });
        }
        Ok(Self { voters, net: VecDeque::new(), begin: Instant::now(), syncs: 0, granted_to: None })
    }

    fn now(&self) -> Time {
        time_after(Time(MS), Span(self.begin.elapsed().as_nanos() as u64))
    }

    /// Delivers all messages and steps every voter; returns whether anything happened.
    fn step_all(&mut self) -> io::Result<bool> {
        let mut busy = !self.net.is_empty();
        for (from, to, bytes) in std::mem::take(&mut self.net) {
            let (now, name) = (self.now(), Arc::clone(&self.voters[from].name));
            self.voters[to].agent.receive(now, &name, 1 << 20, &bytes);
        }
        for n in 0..self.voters.len() {
            let now = self.now();
            let voter = &mut self.voters[n];
            voter.agent.set_report(
                now,
                ServerReport { zone: format!("z{n}"), ready: true, ..ServerReport::default() },
            );
            let mut effects = Vec::new();
            voter.agent.step(now, &mut effects);
            for effect in effects {
                busy = true;
                match effect {
                    AgentEffect::Send { to, message: bytes } => {
                        let to = self.voters.iter().position(|voter| voter.name == to);
                        self.net.extend(to.map(|to| (n, to, bytes)));
                    }
                    AgentEffect::Write { number, records } => {
                        let voter = &mut self.voters[n];
                        voter.log.write(&voter.stored_state, &records).map_err(io::Error::other)?;
                        self.syncs += 1;
                        voter.agent.write_completed(number);
                    }
                    AgentEffect::PermitGranted { .. } => self.granted_to = Some(n),
                    _ => {}
                }
            }
        }
        Ok(busy)
    }

    fn until(&mut self, timeout: Duration, condition: impl Fn(&Self) -> bool) -> io::Result<bool> {
        let begin = Instant::now();
        while !condition(self) {
            if begin.elapsed() > timeout {
                return Ok(false);
            }
            if !self.step_all()? {
                std::thread::sleep(Duration::from_micros(100));
            }
        }
        Ok(true)
    }
}

/// Figures of a series of grants.
#[derive(Debug, Clone, Copy)]
pub struct GrantFigures {
    /// Median time until a permit is granted, in ms.
    pub p50_ms: f64,
    /// 99th percentile of that time, in ms.
    pub p99_ms: f64,
    /// Syncs of all voters per grant, including its end.
    pub syncs: f64,
    /// Largest total file size of a voter, in bytes.
    pub bytes: u64,
}

/// Measures each number of voters and prints one line each.
pub fn run(folder: &Path, sizes: &[usize], grants: u64) -> io::Result<()> {
    for &count in sizes {
        let GrantFigures { p50_ms, p99_ms, syncs, bytes } = measure(folder, count, grants)?;
        println!(
            "{count} voters, {grants} grants: p50 {p50_ms:.1} ms, p99 {p99_ms:.1} ms until a server may begin; {syncs:.1} syncs a grant and its end, of all \
             voters; {bytes} bytes kept by a voter"
        );
    }
    Ok(())
}

/// Measures `grants` consecutive grants with `count` voters.
pub fn measure(folder: &Path, count: usize, grants: u64) -> io::Result<GrantFigures> {
    let mut group = Group::new(folder, count)?;
    let timeout = Duration::from_secs(20);
    group.until(Duration::from_secs(2), |_| false)?;
    let now = group.now();
    group.voters[0].agent.found(now).map_err(io::Error::other)?;
    let is_founded = |group: &Group| {
        let record = group.voters[0].agent.state();
        record.is_some_and(|record| record.roster.len() == group.voters.len() && record.limits.fleet == 1)
    };
    if !group.until(timeout, is_founded)? {
        return Err(io::Error::other("the consensus group was not founded within 20 s"));
    }
    let mut times = Histogram::<u64>::new(3).map_err(io::Error::other)?;
    let syncs = group.syncs;
    for grant in 0..grants {
        let n = grant as usize % count;
        let (asked, now) = (Instant::now(), group.now());
        group.granted_to = None;
        group.voters[n].agent.request_permit(now);
        if !group.until(timeout, |group| group.granted_to == Some(n))? {
            let why = group.voters[n].agent.status(group.now()).waiting_request;
            return Err(io::Error::other(format!("permit {grant} was not granted within 20 s: {why:?}")));
        }
        times.record(asked.elapsed().as_micros() as u64).map_err(io::Error::other)?;
        let now = group.now();
        group.voters[n].agent.cancel_permit(now);
        let permit_ended = |group: &Group| {
            group
                .voters
                .iter()
                .all(|voter| voter.agent.state().is_some_and(|record| record.permits.is_empty()))
        };
        group.until(timeout, permit_ended)?;
    }
    let bytes = |n: usize| -> u64 {
        let files = std::fs::read_dir(folder.join(format!("{count}-{n}"))).into_iter().flatten().flatten();
        files.filter_map(|file| file.metadata().ok()).map(|meta| meta.len()).sum()
    };
    Ok(GrantFigures {
        p50_ms: times.value_at_quantile(0.5) as f64 / 1e3,
        p99_ms: times.value_at_quantile(0.99) as f64 / 1e3,
        syncs: (group.syncs - syncs) as f64 / grants as f64,
        bytes: (0..count).map(bytes).max().unwrap_or_default(),
    })
}
