//! Simulates a consensus group in virtual time: a network that loses, duplicates, delays and partitions messages, and disks
//! that lose records which aren't durable yet.
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
/// Step of the virtual time.
const STEP_INTERVAL: Span = Span(5 * MS);

/// State of a voter's disk when the voter restarts.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Disk {
    /// All durable records.
    Intact,
    /// All durable records, and a part of the write that was in progress.
    Torn,
    /// The records as of the last [`SimulatedGroup::copy_disk`].
    OldCopy,
    /// An empty directory, so the voter has a new identity.
    Empty,
}

pub struct Voter {
    pub id: VoterId,
    pub consensus: Option<ConsensusVoter>,
    /// Durable records on the disk.
    pub durable: Vec<DurableRecord>,
    /// Writes in progress: time of completion, number and records.
    pending_writes: VecDeque<(Time, u64, Vec<DurableRecord>)>,
    /// Copy of the durable records, for [`Disk::OldCopy`].
    disk_copy: Option<Vec<DurableRecord>>,
    pub disk_full: bool,
    pub suspended: bool,
    pub writes: u64,
    /// Configuration commits that the voter reported.
    pub commits: Vec<Arc<Commit>>,
    /// Revision that the voter last asked to make durable.
    pub requested_durable: Option<Revision>,
}

impl Voter {
    fn apply_write(&mut self, records: Vec<DurableRecord>) {
        if matches!(records.first(), Some(DurableRecord::Snapshot { .. })) {
            self.durable = records;
        } else {
            self.durable.extend(records);
        }
    }

    fn stored_state(&self) -> VoterState {
        VoterState { id: self.id, records: self.durable.clone() }
    }
}

/// Voters with their disks and the network between them; each test runs it by virtual time.
pub struct SimulatedGroup {
    pub now: Time,
    pub voters: Vec<Voter>,
    pub rng: Pcg64Mcg,
    /// Messages in flight: time of arrival, receiver, sender and bytes.
    in_flight: Vec<(Time, usize, VoterId, Vec<u8>)>,
    /// Links on which messages are lost: sender and receiver.
    pub blocked_links: BTreeSet<(usize, usize)>,
    /// Probability that a message is lost.
    pub loss: f64,
    /// Probability that a message is sent twice.
    pub duplication: f64,
    /// Maximum latency of a message; each message draws its own.
    pub max_latency_ms: u64,
    /// Time until a write is durable.
    pub write_latency_ms: u64,
    /// Longer messages are lost.
    pub max_message_bytes: usize,
    /// Messages sent so far, if they are recorded: receiver, sender and bytes.
    pub sent_messages: Option<Vec<(usize, VoterId, Vec<u8>)>>,
    /// Proposer and number of each applied entry, by index; must be the same on all voters.
    pub applied: BTreeMap<u64, (VoterId, u64)>,
    /// Outcomes that proposers got for their numbers.
    pub outcomes: BTreeMap<(VoterId, u64), CommandOutcome>,
    pub log_lines: Vec<String>,
    pub last_number: u64,
    next_id: VoterId,
}

impl SimulatedGroup {
    /// A group of `count` voters that was just founded.
    pub fn new(count: usize, seed: u64) -> Self {
        let now = Time(1_000 * MS);
        let mut group = Self {
            now,
            voters: Vec::new(),
            rng: Pcg64Mcg::seed_from_u64(seed),
            in_flight: Vec::new(),
            blocked_links: BTreeSet::new(),
            loss: 0.0,
            duplication: 0.0,
            max_latency_ms: 5,
            write_latency_ms: 3,
            max_message_bytes: usize::MAX,
            sent_messages: None,
            applied: BTreeMap::new(),
            outcomes: BTreeMap::new(),
            log_lines: Vec::new(),
            last_number: 0,
            next_id: 101,
        };
        for _ in 0..count {
            group.add_voter();
        }
        let voters: BTreeMap<VoterId, Name> =
            group.voters.iter().enumerate().map(|(n, voter)| (voter.id, name(n))).collect();
        for voter in &mut group.voters {
            voter.consensus.as_mut().unwrap().found(&voters).unwrap();
        }
        group
    }

    /// Adds a server with an empty disk, which isn't a voter yet; returns its position.
    pub fn add_voter(&mut self) -> usize {
        let id = self.next_id;
        self.next_id += 1;
        let consensus = ConsensusVoter::new(VoterState { id, records: Vec::new() }, 7, self.now);
        self.voters.push(Voter {
            id,
            consensus: Some(consensus),
            durable: Vec::new(),
            pending_writes: VecDeque::new(),
            disk_copy: None,
            disk_full: false,
            suspended: false,
            writes: 0,
            commits: Vec::new(),
            requested_durable: None,
        });
        self.voters.len() - 1
    }

    pub fn random_below(&mut self, bound: u64) -> u64 {
        self.rng.next_u64() % bound.max(1)
    }

    fn random_bool(&mut self, probability: f64) -> bool {
        (self.rng.next_u64() >> 11) as f64 / ((1_u64 << 53) as f64) < probability
    }

    pub fn run(&mut self, ms: u64) {
        let until = time_after(self.now, Span(ms * MS));
        while self.now < until {
            self.now = time_after(self.now, STEP_INTERVAL);
            let due: Vec<_> = self.in_flight.extract_if(.., |(at, ..)| *at <= self.now).collect();
            for (_, to, from, bytes) in due {
                let voter = &mut self.voters[to];
                if let Some(consensus) = voter.consensus.as_mut().filter(|_| !voter.suspended) {
                    consensus.receive(self.now, from, &bytes);
                }
            }
            for n in 0..self.voters.len() {
                self.step_voter(n);
            }
        }
    }

    fn step_voter(&mut self, n: usize) {
        let now = self.now;
        if self.voters[n].suspended || self.voters[n].consensus.is_none() {
            return;
        }
        while let Some((_, number, records)) =
            self.voters[n].pending_writes.pop_front_if(|(at, ..)| *at <= now)
        {
            let voter = &mut self.voters[n];
            if voter.disk_full {
                // The write fails and all later ones with it; the voter restarts from its durable records.
                voter.pending_writes.clear();
                let stored = voter.stored_state();
                voter.consensus.as_mut().unwrap().write_failed(stored, now);
                break;
            }
            voter.apply_write(records);
            voter.writes += 1;
            voter.consensus.as_mut().unwrap().write_completed(number);
        }
        let mut effects = Vec::new();
        self.voters[n].consensus.as_mut().unwrap().step(now, &mut effects);
        for effect in effects {
            match effect {
                VoterEffect::Send { to, message: bytes } => self.send(n, to, bytes),
                VoterEffect::Write { number, records } => {
                    let at = time_after(now, Span(self.write_latency_ms * MS));
                    self.voters[n].pending_writes.push_back((at, number, records));
                }
                VoterEffect::Applied { index, proposer, number, outcome } => {
                    let before = self.applied.insert(index, (proposer, number));
                    assert!(
                        before.is_none_or(|before| before == (proposer, number)),
                        "two different entries at index {index}"
                    );
                    if proposer == self.voters[n].id {
                        self.outcomes.insert((proposer, number), outcome);
                    }
                }
                VoterEffect::Committed(commit) => self.voters[n].commits.push(commit),
                VoterEffect::MakeDurable(revision) => self.voters[n].requested_durable = Some(revision),
                VoterEffect::Log { text, .. } => self.log_lines.push(format!("{}: {text}", name(n))),
            }
        }
    }

    fn send(&mut self, from: usize, to: VoterId, bytes: Vec<u8>) {
        let Some(to) = self.voters.iter().position(|voter| voter.id == to) else { return };
        if bytes.len() > self.max_message_bytes {
            return;
        }
        if let Some(sent) = &mut self.sent_messages {
            sent.push((to, self.voters[from].id, bytes.clone()));
        }
        let copies = if self.random_bool(self.duplication) { 2 } else { 1 };
        for _ in 0..copies {
            let latency_ms = 1 + self.random_below(self.max_latency_ms);
            if !self.random_bool(self.loss) && !self.blocked_links.contains(&(from, to)) {
                let at = time_after(self.now, Span(latency_ms * MS));
                self.in_flight.push((at, to, self.voters[from].id, bytes.clone()));
            }
        }
    }

    /// Blocks all links between the given voters and the others.
    pub fn isolate(&mut self, isolated: &[usize]) {
        for a in 0..self.voters.len() {
            for b in 0..self.voters.len() {
                if isolated.contains(&a) != isolated.contains(&b) {
                    self.blocked_links.insert((a, b));
                }
            }
        }
    }

    pub fn kill(&mut self, n: usize) {
        self.voters[n].consensus = None;
        self.voters[n].suspended = false;
    }

    pub fn copy_disk(&mut self, n: usize) {
        self.voters[n].disk_copy = Some(self.voters[n].durable.clone());
    }

    pub fn restart(&mut self, n: usize, disk: Disk) {
        let torn_records = self.random_below(4);
        let (now, new_id) = (self.now, self.next_id);
        let voter = &mut self.voters[n];
        match disk {
            Disk::Intact => {}
            Disk::Torn => {
                // The first records of the write in progress may be on the disk; a snapshot is written as a whole.
                if let Some((_, _, records)) = voter.pending_writes.pop_front()
                    && !matches!(records.first(), Some(DurableRecord::Snapshot { .. }))
                {
                    voter.durable.extend(records.into_iter().take(torn_records as usize));
                }
            }
            Disk::OldCopy => voter.durable = voter.disk_copy.clone().unwrap_or_default(),
            Disk::Empty => {
                (voter.durable, voter.id) = (Vec::new(), new_id);
                self.next_id += 1;
            }
        }
        let voter = &mut self.voters[n];
        voter.pending_writes.clear();
        voter.consensus = Some(ConsensusVoter::new(voter.stored_state(), 11 + n as u64, now));
    }

    pub fn consensus(&mut self, n: usize) -> &mut ConsensusVoter {
        self.voters[n].consensus.as_mut().expect("the voter runs")
    }

    pub fn leader(&self) -> Option<usize> {
        let leads = |voter: &Voter| voter.consensus.as_ref().and_then(ConsensusVoter::leader_term);
        let all = self.voters.iter().enumerate().filter(|(_, voter)| !voter.suspended);
        all.filter_map(|(n, voter)| Some((leads(voter)?, n))).max().map(|(_, n)| n)
    }

    /// Runs until a voter leads, and returns the leader; none if there is none in time.
    pub fn run_until_leader(&mut self, within_ms: u64) -> Option<usize> {
        for _ in 0..within_ms / 10 {
            if let Some(leader) = self.leader() {
                return Some(leader);
            }
            self.run(10);
        }
        self.leader()
    }

    /// Proposes a command at the leader; returns proposer and number if the proposal was accepted.
    pub fn propose(&mut self, command: Command) -> Option<(VoterId, u64)> {
        let leader = self.leader()?;
        self.last_number += 1;
        let number = self.last_number;
        let id = self.voters[leader].id;
        self.consensus(leader).propose(number, command).ok().map(|()| (id, number))
    }

    pub fn state(&self, n: usize) -> &ReplicatedState {
        self.voters[n].consensus.as_ref().expect("the voter runs").state()
    }
}

pub fn name(n: usize) -> Name {
    Arc::from(format!("n{n}"))
}

pub fn add_server(n: usize) -> Command {
    Command::AddServer { name: name(n), zone: name(n % 3) }
}
