//! Voters in virtual time, on a network that loses, duplicates, delays and partitions, with disks that lose what wasn't synced.
#![allow(dead_code)]

use gradepin_admission::{Span, Time, time_after};
use gradepin_config::change::{Commit, Revision};
use gradepin_coordination::consensus::{ConsensusVoter, DurableRecord, VoterEffect, VoterId, VoterState};
use gradepin_coordination::replicated_state::{Command, CommandOutcome, Name, ReplicatedState};
use rand_pcg::Pcg64Mcg;
use rand_pcg::rand_core::{Rng, SeedableRng};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::Arc;

pub const MS: u64 = 1_000_000;
/// The turn of the world.
const TURN: Span = Span(5 * MS);

/// What a voter finds when it starts again.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Disk {
    /// All that was durable.
    Kept,
    /// And a part of what wasn't yet.
    Torn,
    /// What was there when it was last copied.
    OldCopy,
    /// Nothing: another folder.
    Empty,
}

pub struct Voter {
    pub id: VoterId,
    pub consensus: Option<ConsensusVoter>,
    /// What the disk holds, what is under way to it, and an old copy.
    pub durable: Vec<DurableRecord>,
    pending: VecDeque<(Time, u64, Vec<DurableRecord>)>,
    copy: Option<Vec<DurableRecord>>,
    pub full: bool,
    pub stopped: bool,
    pub writes: u64,
    /// Configuration commits that were told, and the revision that was to be made durable last.
    pub commits: Vec<Arc<Commit>>,
    pub requested_durable: Option<Revision>,
}

impl Voter {
    fn put(&mut self, records: Vec<DurableRecord>) {
        if matches!(records.first(), Some(DurableRecord::Snapshot { .. })) {
            self.durable = records;
        } else {
            self.durable.extend(records);
        }
    }

    fn found(&self) -> VoterState {
        VoterState { id: self.id, records: self.durable.clone() }
    }
}

pub struct World {
    pub now: Time,
    pub voters: Vec<Voter>,
    pub rng: Pcg64Mcg,
    net: Vec<(Time, usize, VoterId, Vec<u8>)>,
    pub cut: BTreeSet<(usize, usize)>,
    pub loss: f64,
    pub duplicated: f64,
    pub slow_ms: u64,
    pub sync_ms: u64,
    /// What is longer doesn't get through.
    pub longest: usize,
    /// What was sent, if it is kept: to which voter, from whom, what.
    pub sent: Option<Vec<(usize, VoterId, Vec<u8>)>>,
    /// What was applied by whom, by index: the same everywhere, for ever.
    pub applied: BTreeMap<u64, (VoterId, u64)>,
    /// What proposers were told came of their numbers.
    pub outcomes: BTreeMap<(VoterId, u64), CommandOutcome>,
    pub notes: Vec<String>,
    pub number: u64,
    next_id: VoterId,
}

impl World {
    /// So many voters of a council that was just founded.
    pub fn new(count: usize, seed: u64) -> Self {
        let now = Time(1_000 * MS);
        let mut world = Self {
            now,
            voters: Vec::new(),
            rng: Pcg64Mcg::seed_from_u64(seed),
            net: Vec::new(),
            cut: BTreeSet::new(),
            loss: 0.0,
            duplicated: 0.0,
            slow_ms: 5,
            sync_ms: 3,
            longest: usize::MAX,
            sent: None,
            applied: BTreeMap::new(),
            outcomes: BTreeMap::new(),
            notes: Vec::new(),
            number: 0,
            next_id: 101,
        };
        for _ in 0..count {
            world.add();
        }
        let voters: BTreeMap<VoterId, Name> =
            world.voters.iter().enumerate().map(|(n, voter)| (voter.id, name(n))).collect();
        for voter in &mut world.voters {
            voter.consensus.as_mut().unwrap().found(&voters).unwrap();
        }
        world
    }

    /// Another server with an empty folder.
    pub fn add(&mut self) -> usize {
        let id = self.next_id;
        self.next_id += 1;
        let consensus = ConsensusVoter::new(VoterState { id, records: Vec::new() }, 7, self.now);
        self.voters.push(Voter {
            id,
            consensus: Some(consensus),
            durable: Vec::new(),
            pending: VecDeque::new(),
            copy: None,
            full: false,
            stopped: false,
            writes: 0,
            commits: Vec::new(),
            requested_durable: None,
        });
        self.voters.len() - 1
    }

    pub fn draw(&mut self, most: u64) -> u64 {
        self.rng.next_u64() % most.max(1)
    }

    fn chance(&mut self, part: f64) -> bool {
        (self.rng.next_u64() >> 11) as f64 / ((1_u64 << 53) as f64) < part
    }

    pub fn run(&mut self, ms: u64) {
        let until = time_after(self.now, Span(ms * MS));
        while self.now < until {
            self.now = time_after(self.now, TURN);
            let due: Vec<_> = self.net.extract_if(.., |(at, ..)| *at <= self.now).collect();
            for (_, to, from, bytes) in due {
                let voter = &mut self.voters[to];
                if let Some(consensus) = voter.consensus.as_mut().filter(|_| !voter.stopped) {
                    consensus.receive(self.now, from, &bytes);
                }
            }
            for n in 0..self.voters.len() {
                self.turn(n);
            }
        }
    }

    fn turn(&mut self, n: usize) {
        let now = self.now;
        if self.voters[n].stopped || self.voters[n].consensus.is_none() {
            return;
        }
        while let Some((_, number, records)) = self.voters[n].pending.pop_front_if(|(at, ..)| *at <= now) {
            let voter = &mut self.voters[n];
            if voter.full {
                // The write fails: what was behind it fails too, and the voter goes on from what it has.
                voter.pending.clear();
                let found = voter.found();
                voter.consensus.as_mut().unwrap().write_failed(found, now);
                break;
            }
            voter.put(records);
            voter.writes += 1;
            voter.consensus.as_mut().unwrap().write_completed(number);
        }
        let mut effects = Vec::new();
        self.voters[n].consensus.as_mut().unwrap().step(now, &mut effects);
        for effect in effects {
            match effect {
                VoterEffect::Send { to, message: bytes } => self.send(n, to, bytes),
                VoterEffect::Write { number, records } => {
                    let at = time_after(now, Span(self.sync_ms * MS));
                    self.voters[n].pending.push_back((at, number, records));
                }
                VoterEffect::Applied { index, proposer, number, outcome } => {
                    let before = self.applied.insert(index, (proposer, number));
                    assert!(
                        before.is_none_or(|before| before == (proposer, number)),
                        "two entries at {index}"
                    );
                    if proposer == self.voters[n].id {
                        self.outcomes.insert((proposer, number), outcome);
                    }
                }
                VoterEffect::Committed(commit) => self.voters[n].commits.push(commit),
                VoterEffect::MakeDurable(revision) => self.voters[n].requested_durable = Some(revision),
                VoterEffect::Log { text, .. } => self.notes.push(format!("{}: {text}", name(n))),
            }
        }
    }

    fn send(&mut self, from: usize, to: VoterId, bytes: Vec<u8>) {
        let Some(to) = self.voters.iter().position(|voter| voter.id == to) else { return };
        if bytes.len() > self.longest {
            return;
        }
        if let Some(sent) = &mut self.sent {
            sent.push((to, self.voters[from].id, bytes.clone()));
        }
        let copies = if self.chance(self.duplicated) { 2 } else { 1 };
        for _ in 0..copies {
            let late = 1 + self.draw(self.slow_ms);
            if !self.chance(self.loss) && !self.cut.contains(&(from, to)) {
                let at = time_after(self.now, Span(late * MS));
                self.net.push((at, to, self.voters[from].id, bytes.clone()));
            }
        }
    }

    /// Cuts some off from all others.
    pub fn isolate(&mut self, some: &[usize]) {
        for a in 0..self.voters.len() {
            for b in 0..self.voters.len() {
                if some.contains(&a) != some.contains(&b) {
                    self.cut.insert((a, b));
                }
            }
        }
    }

    pub fn kill(&mut self, n: usize) {
        self.voters[n].consensus = None;
        self.voters[n].stopped = false;
    }

    pub fn copy(&mut self, n: usize) {
        self.voters[n].copy = Some(self.voters[n].durable.clone());
    }

    pub fn start(&mut self, n: usize, disk: Disk) {
        let torn = self.draw(4);
        let (now, fresh) = (self.now, self.next_id);
        let voter = &mut self.voters[n];
        match disk {
            Disk::Kept => {}
            Disk::Torn => {
                // Of a write that was under way the first records may have got there; a new beginning counts as a whole.
                if let Some((_, _, records)) = voter.pending.pop_front()
                    && !matches!(records.first(), Some(DurableRecord::Snapshot { .. }))
                {
                    voter.durable.extend(records.into_iter().take(torn as usize));
                }
            }
            Disk::OldCopy => voter.durable = voter.copy.clone().unwrap_or_default(),
            Disk::Empty => {
                (voter.durable, voter.id) = (Vec::new(), fresh);
                self.next_id += 1;
            }
        }
        let voter = &mut self.voters[n];
        voter.pending.clear();
        voter.consensus = Some(ConsensusVoter::new(voter.found(), 11 + n as u64, now));
    }

    pub fn consensus(&mut self, n: usize) -> &mut ConsensusVoter {
        self.voters[n].consensus.as_mut().expect("it runs")
    }

    pub fn leader(&self) -> Option<usize> {
        let leads = |voter: &Voter| voter.consensus.as_ref().and_then(ConsensusVoter::leader_term);
        let all = self.voters.iter().enumerate().filter(|(_, voter)| !voter.stopped);
        all.filter_map(|(n, voter)| Some((leads(voter)?, n))).max().map(|(_, n)| n)
    }

    /// Runs until somebody leads.
    pub fn led(&mut self, within_ms: u64) -> Option<usize> {
        for _ in 0..within_ms / 10 {
            if let Some(leader) = self.leader() {
                return Some(leader);
            }
            self.run(10);
        }
        self.leader()
    }

    /// Proposes at whoever leads; the number, if it was taken.
    pub fn propose(&mut self, command: Command) -> Option<(VoterId, u64)> {
        let leader = self.leader()?;
        self.number += 1;
        let number = self.number;
        let id = self.voters[leader].id;
        self.consensus(leader).propose(number, command).ok().map(|()| (id, number))
    }

    pub fn state(&self, n: usize) -> &ReplicatedState {
        self.voters[n].consensus.as_ref().expect("it runs").state()
    }
}

pub fn name(n: usize) -> Name {
    Arc::from(format!("n{n}"))
}

pub fn enrol(n: usize) -> Command {
    Command::AddServer { name: name(n), zone: name(n % 3) }
}
