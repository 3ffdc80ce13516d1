//! Permits, explored exhaustively: three voters, four servers, of which one may be out; the record is the daemon's own.
//!
//! What is assumed, as `crates/coordination/tests/consensus.rs` attacks it by seeds: entries that are agreed on have one order and
//! stay. All else is left open, and more than the library allows: any voter may propose at any time by the record, a proposal may be
//! agreed on whenever, or never, or after its proposer died, and then nobody answers. Words are lost, doubled and reordered: they stay on
//! the net and come any number of times, or never. Servers crash and come back; an operator frees a permit at any time.
//!
//! Time passes in eras: a right to begin that was asked for in one is over in the next, by the holder's clock; a permit that was freed in
//! one counts until the next, by the leader's. That is what the lengths in the daemon are chosen for.

use gradepin_coordination::replicated_state::{
    Command, CommandOutcome, Limits, Name, Permit, PermitEnd, PermitStage, Purpose, ReplicatedState, Target,
};
use stateright::{Checker, Model, Property};
use std::collections::{BTreeMap, BTreeSet};
use std::hash::{Hash, Hasher};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Which rule is left out, if any.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Without {
    /// None: the promise has to hold.
    Nothing,
    /// Whether all fits is looked at again when the holder begins.
    TheSecondLook,
    /// The epoch is looked at when the holder begins to leave.
    TheEpochsLook,
    /// A right to begin is over with its time, and a freed permit counts until then.
    Time,
    /// An end names how many beginnings its leader saw.
    TheEndsLook,
}

/// What is explored.
#[derive(Debug, Clone)]
pub struct Small {
    /// Servers.
    pub servers: usize,
    /// Entries at the most.
    pub entries: u64,
    /// Eras at the most.
    pub eras: u8,
    /// Crashes at the most, and permits that an operator frees.
    pub crashes: u8,
    /// See `crashes`.
    pub frees: u8,
    /// Which rule is left out.
    pub without: Without,
}

impl Default for Small {
    fn default() -> Self {
        Self { servers: 4, entries: 9, eras: 2, crashes: 1, frees: 1, without: Without::Nothing }
    }
}

/// A record that is told apart by what it holds.
#[derive(Debug, Clone, PartialEq)]
pub struct Agreed(ReplicatedState);

impl Hash for Agreed {
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

/// A server, as it is.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Server {
    /// It serves.
    In,
    /// It serves, and wants out.
    Wants,
    /// It serves, has the word that a permit is kept for it, and asked to begin in this era.
    Asks(u64, u8),
    /// It is out by what was agreed.
    Out(u64),
    /// It is out though nobody agreed; whether that is known.
    Dead(bool),
}

/// A word on the net.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Word {
    /// A server wants out.
    Out(usize),
    /// It asks to begin by a permit, in an era.
    Begin(usize, u64, u8),
    /// A permit is kept for it.
    Kept(usize, u64),
    /// It may begin, as it asked in that era.
    May(usize, u64, u8),
}

/// A proposal that isn't agreed on yet.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Proposal {
    /// A place for a server.
    Reserve(usize),
    /// A server begins; asked in that era.
    Begin(usize, u64, u8),
    /// A permit ends, seen after so many beginnings.
    End(u64, u32),
    /// An operator frees it.
    Free(u64),
    /// A freed one counts no more.
    Gone(u64),
}

/// All of it.
#[derive(Debug, Clone, PartialEq, Hash)]
pub struct State {
    record: Agreed,
    servers: Vec<Server>,
    net: BTreeSet<Word>,
    /// Proposals, and whether who made them lives to answer.
    pending: BTreeSet<(Proposal, bool)>,
    era: u8,
    /// The era in which a permit was seen begun, or freed.
    since: BTreeMap<u64, u8>,
    crashes: u8,
    frees: u8,
    been_out: BTreeSet<usize>,
    broken: bool,
}

/// What happens next.
#[derive(Debug, Clone, PartialEq)]
pub enum Action {
    /// A server wants out.
    Want(usize),
    /// A word comes.
    Hear(Word),
    /// A proposal is agreed on; whether its proposer answers.
    Agree(Proposal, bool),
    /// Its proposer dies.
    Die(Proposal),
    /// A server is back.
    Back(usize),
    /// A server dies; it is known to have; it comes back.
    Crash(usize),
    /// See `Crash`.
    Know(usize),
    /// An operator frees a permit.
    Free(u64),
    /// A leader sees that a permit may end, or that a freed one counts no more.
    End(u64),
    /// See `End`.
    Gone(u64),
    /// Time passes.
    Pass,
}

fn name(n: usize) -> Name {
    Arc::from(format!("n{n}"))
}

impl Small {
    fn unplanned(&self, state: &State) -> BTreeSet<Name> {
        let gone = |server: &Server| matches!(server, Server::Dead(true) | Server::Out(_));
        let gone = state.servers.iter().enumerate().filter(|(_, server)| gone(server));
        gone.map(|(n, _)| name(n)).collect()
    }

    fn fits(&self, state: &State, n: usize) -> bool {
        state.record.0.fits(&Target::Server(name(n)), &self.unplanned(state)).is_ok()
    }

    /// Whether a permit's server is there, and the right that it may have is over.
    fn may_end(&self, state: &State, epoch: u64, permit: &Permit) -> bool {
        let Target::Server(of) = &permit.target else { return false };
        let there = (0..self.servers).find(|n| name(*n) == *of).map(|n| state.servers[n]);
        let there = matches!(there, Some(Server::In | Server::Wants | Server::Asks(..)));
        let over = state.since.get(&epoch).is_some_and(|since| state.era > *since);
        there && over && permit.stage == PermitStage::Begun
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
                    state.net.insert(Word::Kept(*n, epoch));
                }
            }
            Proposal::Begin(n, epoch, era) => {
                let outcome =
                    record.apply(index, Command::Begin { epoch: *epoch, holder: name(*n), incarnation: 1 });
                if let CommandOutcome::Permit { epoch, stage: PermitStage::Begun } = outcome {
                    state.since.insert(epoch, state.era);
                    // Looked at once more by who answers.
                    if answers && (self.without == Without::TheSecondLook || self.fits(state, *n)) {
                        let out =
                            self.unplanned(state).into_iter().filter(|other| *other != name(*n)).count();
                        state.broken |= out >= 1;
                        state.net.insert(Word::May(*n, epoch, *era));
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
                // What operators did doesn't tell states apart.
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

impl Model for Small {
    type State = State;
    type Action = Action;

    fn init_states(&self) -> Vec<State> {
        let mut record = ReplicatedState::default();
        for n in 0..self.servers {
            record.apply(0, Command::AddServer { name: name(n), zone: name(0) });
        }
        record.apply(0, Command::Limits(Limits { fleet: 1, zone: 1, ..Limits::default() }));
        vec![State {
            record: Agreed(record),
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
        actions.extend(state.net.iter().map(|word| Action::Hear(*word)));
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
                state.net.insert(Word::Out(n));
            }
            Action::Hear(Word::Out(n)) => {
                if self.fits(&state, n) {
                    state.pending.insert((Proposal::Reserve(n), true));
                }
            }
            Action::Hear(Word::Begin(n, epoch, era)) => {
                let looks = self.without != Without::TheSecondLook;
                if state.record.0.permits.contains_key(&epoch) && (!looks || self.fits(&state, n)) {
                    state.pending.insert((Proposal::Begin(n, epoch, era), true));
                }
            }
            Action::Hear(Word::Kept(n, epoch)) => match state.servers[n] {
                Server::Wants | Server::Asks(..) if self.without == Without::TheEpochsLook => {
                    Self::leave(&mut state, n, epoch);
                }
                Server::Wants | Server::Asks(..) => {
                    let era = state.era;
                    state.servers[n] = Server::Asks(epoch, era);
                    state.net.insert(Word::Begin(n, epoch, era));
                }
                _ => {}
            },
            Action::Hear(Word::May(n, epoch, era)) => {
                let in_time = era == state.era || self.without == Without::Time;
                if matches!(state.servers[n], Server::Asks(of, _) if of == epoch) && in_time {
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

/// What an exploration came to.
#[derive(Debug, Clone)]
pub struct Explored {
    /// States that were told apart.
    pub states: usize,
    /// How long it took.
    pub took: Duration,
    /// The course of events that breaks the promise, if there is one.
    pub counterexample: Option<Vec<String>>,
    /// Properties that were never seen to hold though they must be sometimes.
    pub never: Vec<&'static str>,
    /// Whether all that can happen within the bounds was looked at.
    pub whole: bool,
}

/// Explores it, for so long at the most.
pub fn explore(small: &Small, threads: usize, most: Duration) -> Explored {
    let begin = Instant::now();
    let checker = small.clone().checker().threads(threads).timeout(most).spawn_bfs().join();
    let counterexample = checker
        .discovery("no more is out than may be")
        .map(|path| path.into_actions().into_iter().map(|action| format!("{action:?}")).collect());
    let never = ["two get their turn", "a freed place is had by another"];
    let never = never.into_iter().filter(|name| checker.discovery(name).is_none()).collect();
    Explored {
        states: checker.unique_state_count(),
        took: begin.elapsed(),
        counterexample,
        never,
        whole: checker.is_done() && begin.elapsed() < most,
    }
}

/// Explores all of them, prints what came of it, and says whether each is as it has to be.
pub fn run(small: &Small, threads: usize, most: Duration) -> bool {
    let mut good = true;
    for without in [
        Without::Nothing,
        Without::TheSecondLook,
        Without::TheEpochsLook,
        Without::Time,
        Without::TheEndsLook,
    ] {
        let explored = explore(&Small { without, ..small.clone() }, threads, most);
        let (states, took) = (explored.states, explored.took.as_secs_f64());
        match (&explored.counterexample, without) {
            (None, Without::Nothing) => {
                good &= explored.whole && explored.never.is_empty();
                let whole = if explored.whole { "all that can happen" } else { "NOT ALL that can happen" };
                println!("kept      the promise, with every rule: {states} states in {took:.1} s, {whole}");
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

    /// Guards the protocol in the small: the promise in all that can happen within the bounds, and a course of
    /// events that breaks it where the rule is left out. The command explores wider ones.
    #[test]
    fn the_promise_holds_and_each_rule_is_needed() {
        let long = Duration::from_secs(600);
        let small =
            Small { servers: 2, entries: 3, eras: 1, crashes: 1, frees: 1, without: Without::Nothing };
        let explored = explore(&small, 4, long);
        assert_eq!(explored.counterexample, None);
        assert!(explored.whole && explored.states > 100_000, "{explored:?}");
        for (entries, crashes, frees, without) in
            [(4, 1, 0, Without::TheSecondLook), (4, 0, 1, Without::TheEpochsLook), (5, 0, 1, Without::Time)]
        {
            let small = Small { servers: 2, entries, eras: 1, crashes, frees, without };
            let explored = explore(&small, 4, long);
            println!("{small:?}: {} states, {:.1} s", explored.states, explored.took.as_secs_f64());
            assert!(explored.counterexample.is_some(), "{without:?}");
        }
    }
}
