//! Exhaustive exploration of the permit protocol with three voters and four servers, of which one may be out. It uses the
//! daemon's own replicated state.
//!
//! The only assumption is that committed log entries have one order and are never lost; the seeded tests in
//! `crates/coordination/tests/consensus.rs` check it. Everything else is unconstrained, beyond what the library allows: any
//! voter may propose at any time according to the replicated state, and a proposal may be committed at any time, never, or
//! after its proposer died, which then sends no answer. Messages are lost, duplicated and reordered: they stay on the network
//! and arrive any number of times, or never. Servers crash and come back; an operator may release a permit at any time.
//!
//! Time passes in eras. A right to begin that was requested in one era has expired in the next by the holder's clock; a permit
//! released in one era counts until the next by the leader's clock. The durations in the daemon guarantee this.

use gradepin_coordination::replicated_state::{
    Command, CommandOutcome, Limits, Name, Permit, PermitEnd, PermitStage, Purpose, ReplicatedState, Target,
};
use stateright::{Checker, Model, Property};
use std::collections::{BTreeMap, BTreeSet};
use std::hash::{Hash, Hasher};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Rule that an exploration leaves out. The names are printed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Without {
    /// No rule is left out; the limit must hold.
    Nothing,
    /// The limits are checked again when the holder begins.
    TheSecondLook,
    /// The epoch is checked when the holder begins to leave.
    TheEpochsLook,
    /// A right to begin expires, and a released permit counts until then.
    Time,
    /// The end of a permit names the number of begin grants that its leader has seen.
    TheEndsLook,
}

/// Bounds of an exploration.
#[derive(Debug, Clone)]
pub struct Bounds {
    /// Number of servers.
    pub servers: usize,
    /// Maximum number of log entries.
    pub entries: u64,
    /// Maximum number of era changes.
    pub eras: u8,
    /// Maximum number of crashes.
    pub crashes: u8,
    /// Maximum number of permits released by an operator.
    pub frees: u8,
    /// Rule to leave out.
    pub without: Without,
}

impl Default for Bounds {
    fn default() -> Self {
        Self { servers: 4, entries: 9, eras: 2, crashes: 1, frees: 1, without: Without::Nothing }
    }
}

/// Replicated state that is hashed by the parts that matter to the protocol.
#[derive(Debug, Clone, PartialEq)]
pub struct HashedState(ReplicatedState);

impl Hash for HashedState {
    fn hash<H: Hasher>(&self, state: &mut H) {
        for (epoch, permit) in &self.0.permits {
            (epoch, &permit.target, &permit.holder, stage(&permit.stage), permit.begin_grants).hash(state);
        }
        (self.0.index, self.0.roster.len()).hash(state);
    }
}

fn stage(stage: &PermitStage) -> u8 {
    match stage {
        PermitStage::Reserved => 0,
        PermitStage::Begun => 1,
        PermitStage::Released => 2,
    }
}

/// State of a server.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Server {
    /// In service.
    In,
    /// In service; has requested a permit.
    Wants,
    /// In service; knows of its reserved permit of this epoch, and requested to begin in this era.
    Asks(u64, u8),
    /// Out under the permit of this epoch.
    Out(u64),
    /// Crashed; the flag says whether the fleet has noticed.
    Dead(bool),
}

/// Message on the network.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Message {
    /// A server requests a permit.
    Out(usize),
    /// The server requests to begin under a permit: server, epoch, era of the request.
    Begin(usize, u64, u8),
    /// A permit is reserved for the server: server, epoch.
    Kept(usize, u64),
    /// The server may begin: server, epoch, era of its request.
    May(usize, u64, u8),
}

/// Proposal that isn't committed yet.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Proposal {
    /// Reserves a permit for a server.
    Reserve(usize),
    /// A server begins: server, epoch, era of its request.
    Begin(usize, u64, u8),
    /// A permit ends: epoch, begin grants seen by the leader.
    End(u64, u32),
    /// An operator releases a permit.
    Free(u64),
    /// A released permit no longer counts.
    Gone(u64),
}

/// Complete state of the model.
#[derive(Debug, Clone, PartialEq, Hash)]
pub struct State {
    record: HashedState,
    servers: Vec<Server>,
    net: BTreeSet<Message>,
    /// Open proposals, and whether their proposer lives to answer.
    pending: BTreeSet<(Proposal, bool)>,
    era: u8,
    /// Era in which a permit began or was released, by epoch.
    since: BTreeMap<u64, u8>,
    crashes: u8,
    frees: u8,
    been_out: BTreeSet<usize>,
    broken: bool,
}

/// Event of the model. The names are printed in counterexamples.
#[derive(Debug, Clone, PartialEq)]
pub enum Action {
    /// A server in service decides to request a permit.
    Want(usize),
    /// A message arrives.
    Hear(Message),
    /// A proposal is committed; the flag says whether its proposer answers.
    Agree(Proposal, bool),
    /// The proposer of a proposal dies.
    Die(Proposal),
    /// A server returns to service.
    Back(usize),
    /// A server crashes.
    Crash(usize),
    /// The fleet notices that a server is dead.
    Know(usize),
    /// An operator releases the permit of this epoch.
    Free(u64),
    /// A leader proposes the end of a permit that may end.
    End(u64),
    /// A leader proposes that a released permit no longer counts.
    Gone(u64),
    /// The next era begins.
    Pass,
}

fn name(n: usize) -> Name {
    Arc::from(format!("n{n}"))
}

impl Bounds {
    fn unplanned(&self, state: &State) -> BTreeSet<Name> {
        let is_out = |server: &Server| matches!(server, Server::Dead(true) | Server::Out(_));
        let is_out = state.servers.iter().enumerate().filter(|(_, server)| is_out(server));
        is_out.map(|(n, _)| name(n)).collect()
    }

    fn fits(&self, state: &State, n: usize) -> bool {
        state.record.0.fits(&Target::Server(name(n)), &self.unplanned(state)).is_ok()
    }

    /// Whether the server of a begun permit is in service and its right to begin has expired.
    fn may_end(&self, state: &State, epoch: u64, permit: &Permit) -> bool {
        let Target::Server(server_name) = &permit.target else { return false };
        let in_service = (0..self.servers).find(|n| name(*n) == *server_name).map(|n| state.servers[n]);
        let in_service = matches!(in_service, Some(Server::In | Server::Wants | Server::Asks(..)));
        let over = state.since.get(&epoch).is_some_and(|since| state.era > *since);
        in_service && over && permit.stage == PermitStage::Begun
    }

    fn agree(&self, state: &mut State, proposal: &Proposal, answers: bool) {
        let index = state.record.0.index + 1;
        let record = &mut state.record.0;
        match proposal {
            Proposal::Reserve(n) => {
                let (target, holder) = (Target::Server(name(*n)), name(*n));
                let purpose = Purpose::Drain;
                let outcome =
                    record.apply(index, Command::Reserve { target, holder, incarnation: 1, purpose });
                if let (CommandOutcome::Permit { epoch, .. }, true) = (outcome, answers) {
                    state.net.insert(Message::Kept(*n, epoch));
                }
            }
            Proposal::Begin(n, epoch, era) => {
                let outcome =
                    record.apply(index, Command::Begin { epoch: *epoch, holder: name(*n), incarnation: 1 });
                if let CommandOutcome::Permit { epoch, stage: PermitStage::Begun } = outcome {
                    state.since.insert(epoch, state.era);
                    // The answering leader checks the limits again.
                    if answers && (self.without == Without::TheSecondLook || self.fits(state, *n)) {
                        let out =
                            self.unplanned(state).into_iter().filter(|other| *other != name(*n)).count();
                        state.broken |= out >= 1;
                        state.net.insert(Message::May(*n, epoch, *era));
                    }
                }
            }
            Proposal::End(epoch, begins) => {
                let by = PermitEnd::Stable(if self.without == Without::TheEndsLook {
                    record.permits.get(epoch).map_or(0, |permit| permit.begin_grants)
                } else {
                    *begins
                });
                drop(record.apply(index, Command::End { epoch: *epoch, observed: by }));
            }
            Proposal::Free(epoch) => {
                let (by, why) = (Arc::from("kaisa"), String::new());
                if record.apply(index, Command::ReleasePermit { epoch: *epoch, operator: by, reason: why })
                    == CommandOutcome::Done
                {
                    state.since.insert(*epoch, state.era);
                }
                // The log of operator actions must not distinguish states.
                record.operator_actions.clear();
            }
            Proposal::Gone(epoch) => drop(record.apply(index, Command::PermitExpired { epoch: *epoch })),
        }
    }

    fn leave(state: &mut State, n: usize, epoch: u64) {
        let others = state
            .servers
            .iter()
            .enumerate()
            .filter(|(other, server)| *other != n && matches!(server, Server::Out(_)));
        state.broken |= others.count() >= 1;
        state.servers[n] = Server::Out(epoch);
        state.been_out.insert(n);
    }
}

impl Model for Bounds {
    type State = State;
    type Action = Action;

    fn init_states(&self) -> Vec<State> {
        let mut record = ReplicatedState::default();
        for n in 0..self.servers {
            record.apply(0, Command::AddServer { name: name(n), zone: name(0) });
        }
        record.apply(0, Command::Limits(Limits { fleet: 1, zone: 1, ..Limits::default() }));
        vec![State {
            record: HashedState(record),
            servers: vec![Server::In; self.servers],
            net: BTreeSet::new(),
            pending: BTreeSet::new(),
            era: 0,
            since: BTreeMap::new(),
            crashes: 0,
            frees: 0,
            been_out: BTreeSet::new(),
            broken: false,
        }]
    }

    fn actions(&self, state: &State, actions: &mut Vec<Action>) {
        for (n, server) in state.servers.iter().enumerate() {
            match server {
                Server::In if !state.been_out.contains(&n) => actions.push(Action::Want(n)),
                Server::Out(_) => actions.push(Action::Back(n)),
                Server::Dead(false) => actions.push(Action::Know(n)),
                Server::Dead(true) => actions.push(Action::Back(n)),
                _ => {}
            }
            if matches!(server, Server::In) && state.crashes < self.crashes {
                actions.push(Action::Crash(n));
            }
        }
        actions.extend(state.net.iter().map(|message| Action::Hear(*message)));
        for (proposal, answers) in &state.pending {
            actions.push(Action::Agree(proposal.clone(), *answers));
            if *answers {
                actions.push(Action::Die(proposal.clone()));
            }
        }
        for (epoch, permit) in &state.record.0.permits {
            if state.frees < self.frees && permit.stage != PermitStage::Released {
                actions.push(Action::Free(*epoch));
            }
            if self.may_end(state, *epoch, permit) {
                actions.push(Action::End(*epoch));
            }
            let over = state.since.get(epoch).is_some_and(|since| state.era > *since);
            if permit.stage == PermitStage::Released && (over || self.without == Without::Time) {
                actions.push(Action::Gone(*epoch));
            }
        }
        if state.era < self.eras {
            actions.push(Action::Pass);
        }
    }

    fn next_state(&self, last: &State, action: Action) -> Option<State> {
        let mut state = last.clone();
        match action {
            Action::Want(n) => {
                state.servers[n] = Server::Wants;
                state.net.insert(Message::Out(n));
            }
            Action::Hear(Message::Out(n)) => {
                if self.fits(&state, n) {
                    state.pending.insert((Proposal::Reserve(n), true));
                }
            }
            Action::Hear(Message::Begin(n, epoch, era)) => {
                let looks = self.without != Without::TheSecondLook;
                if state.record.0.permits.contains_key(&epoch) && (!looks || self.fits(&state, n)) {
                    state.pending.insert((Proposal::Begin(n, epoch, era), true));
                }
            }
            Action::Hear(Message::Kept(n, epoch)) => match state.servers[n] {
                Server::Wants | Server::Asks(..) if self.without == Without::TheEpochsLook => {
                    Self::leave(&mut state, n, epoch);
                }
                Server::Wants | Server::Asks(..) => {
                    let era = state.era;
                    state.servers[n] = Server::Asks(epoch, era);
                    state.net.insert(Message::Begin(n, epoch, era));
                }
                _ => {}
            },
            Action::Hear(Message::May(n, epoch, era)) => {
                let in_time = era == state.era || self.without == Without::Time;
                if matches!(state.servers[n], Server::Asks(server_name, _) if server_name == epoch) && in_time
                {
                    Self::leave(&mut state, n, epoch);
                }
            }
            Action::Agree(proposal, answers) => {
                state.pending.remove(&(proposal.clone(), answers));
                self.agree(&mut state, &proposal, answers);
            }
            Action::Die(proposal) => {
                state.pending.remove(&(proposal.clone(), true));
                state.pending.insert((proposal, false));
            }
            Action::Back(n) => state.servers[n] = Server::In,
            Action::Crash(n) => {
                state.crashes += 1;
                state.servers[n] = Server::Dead(false);
            }
            Action::Know(n) => state.servers[n] = Server::Dead(true),
            Action::Free(epoch) => {
                state.frees += 1;
                state.pending.insert((Proposal::Free(epoch), false));
            }
            Action::End(epoch) => {
                let begins = state.record.0.permits.get(&epoch).map_or(0, |permit| permit.begin_grants);
                state.pending.insert((Proposal::End(epoch, begins), false));
            }
            Action::Gone(epoch) => drop(state.pending.insert((Proposal::Gone(epoch), false))),
            Action::Pass => state.era += 1,
        }
        (state != *last).then_some(state)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always("no more is out than may be", |_, state: &State| !state.broken),
            Property::sometimes("two get their turn", |_, state: &State| state.been_out.len() >= 2),
            Property::sometimes("a freed place is had by another", |_, state: &State| {
                state.frees > 0 && !state.been_out.is_empty() && state.record.0.permits.len() == 1
            }),
        ]
    }

    fn within_boundary(&self, state: &State) -> bool {
        state.record.0.index <= self.entries
    }
}

/// Result of an exploration.
#[derive(Debug, Clone)]
pub struct Exploration {
    /// Number of distinct states.
    pub states: usize,
    /// Time taken.
    pub took: Duration,
    /// Sequence of events that breaks the limit, if found.
    pub counterexample: Option<Vec<String>>,
    /// Properties that must be reachable but were never seen.
    pub never: Vec<&'static str>,
    /// Whether all states within the bounds were explored.
    pub complete: bool,
}

/// Explores all states within the bounds, or as many as the time limit allows.
pub fn explore(bounds: &Bounds, threads: usize, time_limit: Duration) -> Exploration {
    let begin = Instant::now();
    let checker = bounds.clone().checker().threads(threads).timeout(time_limit).spawn_bfs().join();
    let counterexample = checker
        .discovery("no more is out than may be")
        .map(|path| path.into_actions().into_iter().map(|action| format!("{action:?}")).collect());
    let never = ["two get their turn", "a freed place is had by another"];
    let never = never.into_iter().filter(|name| checker.discovery(name).is_none()).collect();
    Exploration {
        states: checker.unique_state_count(),
        took: begin.elapsed(),
        counterexample,
        never,
        complete: checker.is_done() && begin.elapsed() < time_limit,
    }
}

/// Explores with every rule and with each one left out, prints the results, and returns whether all are as expected.
pub fn run(bounds: &Bounds, threads: usize, time_limit: Duration) -> bool {
    let mut good = true;
    for without in [
        Without::Nothing,
        Without::TheSecondLook,
        Without::TheEpochsLook,
        Without::Time,
        Without::TheEndsLook,
    ] {
        let explored = explore(&Bounds { without, ..bounds.clone() }, threads, time_limit);
        let (states, took) = (explored.states, explored.took.as_secs_f64());
        match (&explored.counterexample, without) {
            (None, Without::Nothing) => {
                good &= explored.complete && explored.never.is_empty();
                let complete =
                    if explored.complete { "all that can happen" } else { "NOT ALL that can happen" };
                println!(
                    "kept      the promise, with every rule: {states} states in {took:.1} s, {complete}"
                );
                explored.never.iter().for_each(|name| println!("NOT SEEN  {name}"));
            }
            (Some(course), Without::Nothing) => {
                good = false;
                println!("NOT KEPT  the promise, with every rule: {states} states in {took:.1} s");
                course.iter().for_each(|event| println!("    {event}"));
            }
            (Some(course), _) => {
                println!("broken    without {without:?}, as it has to be: {states} states in {took:.1} s");
                course.iter().for_each(|event| println!("    {event}"));
            }
            (None, _) => {
                good = false;
                println!(
                    "NOT KEPT  without {without:?} the promise should break: {states} states in {took:.1} s"
                );
            }
        }
    }
    good
}

#[cfg(test)]
mod tests {
    use super::*;

    /// Checks that the limit on servers out holds in every state within small bounds, and that leaving out a rule breaks it.
    /// The command explores larger bounds.
    #[test]
    fn limit_holds_with_all_rules_and_breaks_without_each() {
        let long = Duration::from_secs(600);
        let bounds =
            Bounds { servers: 2, entries: 3, eras: 1, crashes: 1, frees: 1, without: Without::Nothing };
        let explored = explore(&bounds, 4, long);
        assert_eq!(explored.counterexample, None);
        assert!(explored.complete && explored.states > 100_000, "{explored:?}");
        for (entries, crashes, frees, without) in
            [(4, 1, 0, Without::TheSecondLook), (4, 0, 1, Without::TheEpochsLook), (5, 0, 1, Without::Time)]
        {
            let bounds = Bounds { servers: 2, entries, eras: 1, crashes, frees, without };
            let explored = explore(&bounds, 4, long);
            println!("{bounds:?}: {} states, {:.1} s", explored.states, explored.took.as_secs_f64());
            assert!(explored.counterexample.is_some(), "{without:?}");
        }
    }
}
