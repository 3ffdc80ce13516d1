//! What a permit costs: voters with files on a real disk in one process, no net between them. Time from a server's question until it may
//! begin, syncs, and what the files keep.

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
    part: ServerAgent,
    log: VoterLog,
    found: VoterState,
}

struct World {
    voters: Vec<Voter>,
    net: VecDeque<(usize, usize, Vec<u8>)>,
    begin: Instant,
    syncs: u64,
    may: Option<usize>,
}

impl World {
    fn new(folder: &Path, count: usize) -> io::Result<Self> {
        let names: Vec<Name> = (0..count).map(|n| Arc::from(format!("n{n}"))).collect();
        let mut voters = Vec::new();
        for (n, name) in names.iter().enumerate() {
            let files = Folder::open(&folder.join(format!("{count}-{n}"))).map_err(io::Error::other)?;
            let (log, found) = VoterLog::open(Box::new(files), 100 + n as u64).map_err(io::Error::other)?;
            let limits = Limits { fleet: 1, zone: 1, ..Limits::default() };
            let set = AgentSettings {
                name: Arc::clone(name),
                incarnation: 1 << 20,
                zone: format!("z{n}"),
                voters: names.clone(),
                voter_state: Some(found.clone()),
                controller: ControllerSettings {
                    limits,
                    stabilization: Span(MS),
                    ..ControllerSettings::default()
                },
                waits_for_permit: true,
                seed: n as u64,
            };
            voters.push(Voter { name: Arc::clone(name), part: ServerAgent::new(set, Time(MS)), log, found });
        }
        Ok(Self { voters, net: VecDeque::new(), begin: Instant::now(), syncs: 0, may: None })
    }

    fn now(&self) -> Time {
        time_after(Time(MS), Span(self.begin.elapsed().as_nanos() as u64))
    }

    /// One turn of all; whether anything happened.
    fn turn(&mut self) -> io::Result<bool> {
        let mut busy = !self.net.is_empty();
        for (from, to, bytes) in std::mem::take(&mut self.net) {
            let (now, name) = (self.now(), Arc::clone(&self.voters[from].name));
            self.voters[to].part.receive(now, &name, 1 << 20, &bytes);
        }
        for n in 0..self.voters.len() {
            let now = self.now();
            let voter = &mut self.voters[n];
            voter.part.set_report(
                now,
                ServerReport { zone: format!("z{n}"), ready: true, ..ServerReport::default() },
            );
            let mut effects = Vec::new();
            voter.part.step(now, &mut effects);
            for effect in effects {
                busy = true;
                match effect {
                    AgentEffect::Send { to, message: bytes } => {
                        let to = self.voters.iter().position(|voter| voter.name == to);
                        self.net.extend(to.map(|to| (n, to, bytes)));
                    }
                    AgentEffect::Write { number, records } => {
                        let voter = &mut self.voters[n];
                        voter.log.write(&voter.found, &records).map_err(io::Error::other)?;
                        self.syncs += 1;
                        voter.part.write_completed(number);
                    }
                    AgentEffect::PermitGranted { .. } => self.may = Some(n),
                    _ => {}
                }
            }
        }
        Ok(busy)
    }

    fn until(&mut self, most: Duration, holds: impl Fn(&Self) -> bool) -> io::Result<bool> {
        let begin = Instant::now();
        while !holds(self) {
            if begin.elapsed() > most {
                return Ok(false);
            }
            if !self.turn()? {
                std::thread::sleep(Duration::from_micros(100));
            }
        }
        Ok(true)
    }
}

/// What grants came to.
#[derive(Debug, Clone, Copy)]
pub struct Granted {
    /// Half of the grants, in ms until a server may begin.
    pub p50_ms: f64,
    /// 99 in 100 of them.
    pub p99_ms: f64,
    /// Syncs of all voters for a grant and its end.
    pub syncs: f64,
    /// The most that a voter keeps, in bytes.
    pub bytes: u64,
}

/// Prints a line for each size.
pub fn run(folder: &Path, sizes: &[usize], grants: u64) -> io::Result<()> {
    for &count in sizes {
        let Granted { p50_ms, p99_ms, syncs, bytes } = measure(folder, count, grants)?;
        println!(
            "{count} voters, {grants} grants: p50 {p50_ms:.1} ms, p99 {p99_ms:.1} ms until a server may begin; {syncs:.1} syncs a grant and its end, of all \
             voters; {bytes} bytes kept by a voter"
        );
    }
    Ok(())
}

/// So many voters, and so many grants, one after another.
pub fn measure(folder: &Path, count: usize, grants: u64) -> io::Result<Granted> {
    let mut world = World::new(folder, count)?;
    let slow = Duration::from_secs(20);
    world.until(Duration::from_secs(2), |_| false)?;
    let now = world.now();
    world.voters[0].part.found(now).map_err(io::Error::other)?;
    let whole = |world: &World| {
        let record = world.voters[0].part.state();
        record.is_some_and(|record| record.roster.len() == world.voters.len() && record.limits.fleet == 1)
    };
    if !world.until(slow, whole)? {
        return Err(io::Error::other("the council was not founded"));
    }
    let mut times = Histogram::<u64>::new(3).map_err(io::Error::other)?;
    let syncs = world.syncs;
    for grant in 0..grants {
        let n = grant as usize % count;
        let (asked, now) = (Instant::now(), world.now());
        world.may = None;
        world.voters[n].part.request_permit(now);
        if !world.until(slow, |world| world.may == Some(n))? {
            let why = world.voters[n].part.status(world.now()).waiting_request;
            return Err(io::Error::other(format!("grant {grant} was not given: {why:?}")));
        }
        times.record(asked.elapsed().as_micros() as u64).map_err(io::Error::other)?;
        let now = world.now();
        world.voters[n].part.cancel_permit(now);
        let over = |world: &World| {
            world
                .voters
                .iter()
                .all(|voter| voter.part.state().is_some_and(|record| record.permits.is_empty()))
        };
        world.until(slow, over)?;
    }
    let bytes = |n: usize| -> u64 {
        let files = std::fs::read_dir(folder.join(format!("{count}-{n}"))).into_iter().flatten().flatten();
        files.filter_map(|file| file.metadata().ok()).map(|meta| meta.len()).sum()
    };
    Ok(Granted {
        p50_ms: times.value_at_quantile(0.5) as f64 / 1e3,
        p99_ms: times.value_at_quantile(0.99) as f64 / 1e3,
        syncs: (world.syncs - syncs) as f64 / grants as f64,
        bytes: (0..count).map(bytes).max().unwrap_or_default(),
    })
}
