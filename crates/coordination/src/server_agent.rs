//! One server's part in what the fleet agrees on: its own asks and turns, and where its settings make it a voter, its vote and
//! its controller. Words to other servers go out as bytes by name; who said what came in is the fleet's tag's to prove.

use crate::configuration_log::{
    ConfigurationRejected, ConfigurationRequest, ConfigurationSettings, ReplicatedConfiguration,
};
use crate::consensus::{
    ConsensusVoter, DurableRecord, ProposalAccepted, ProposalRejected, VoterEffect, VoterId, VoterState,
};
use crate::controller::{Controller, ControllerEffect, ControllerSettings};
use crate::founding::{self, Founding, FoundingError, FoundingStep, ReportedVoter};
use crate::messages::{
    OperatorCommand, OperatorCommandReply, PermitAction, PermitReply, PermitRequest, ServerReport,
    StepAssignment,
};
use crate::permit_client::{ClientEvent, OutgoingRequest, PermitClient, WaitingRequest};
use crate::proposal_client::{
    OutgoingProposal, ProposalClient, ProposalResponse, VoterReply, Waiter, Waiters,
};
use crate::replicated_state::{Name, ReplicatedState, Target};
use crate::rollout::ReleaseKind;
use gradepin_admission::{Span, Time, span_seconds, time_after};
use gradepin_config::change::{Commit, Revision};
use gradepin_config::configuration::Configuration;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;

const MS: u64 = 1_000_000;
/// Between a server's words of itself to the voters.
const REPORT: Span = Span(500 * MS);
/// Between looks of one that is no voter at the record, for its operators.
const LOOK: Span = Span(2_000 * MS);
/// An order that isn't answered is put to the next voter after this, and given up after that.
const ORDER_AGAIN: Span = Span(700 * MS);
const ORDER_PATIENCE: Span = Span(8_000 * MS);
/// Orders under way, and answers that are kept for those who ask what became of them.
const MOST_ORDERS: usize = 64;

/// What servers say to each other here.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
enum Message {
    /// Between voters, by the identities of their disks.
    Voter { from: VoterId, to: VoterId, bytes: Vec<u8> },
    /// A server of itself.
    Report(Box<ServerReport>),
    /// A server's question, and the answer.
    Request(PermitRequest),
    /// See `Request`.
    Reply(u64, PermitReply),
    /// It is a server's turn.
    Turn(StepAssignment),
    /// An operator's order, on its way to the leader, and what it came to.
    Order(u64, OperatorCommand),
    /// See `OperatorCommand`.
    OrderReply(u64, OperatorCommandReply),
    /// A release is to halt: no further step, agreed or not.
    Halt(String),
    /// A council is founded with these voters.
    Found(BTreeMap<VoterId, Name>),
    /// The record is asked for, and told.
    Look,
    /// See `Look`.
    Record(Box<ReplicatedState>),
    /// A request for a change of the configuration, on its way to the leader, and what a voter says to it.
    ConfigurationRequest(u64, Box<ConfigurationRequest>),
    /// See `ConfigurationRequest`.
    ConfigurationReply(u64, VoterReply),
}

/// What an operator sets, and what the server knows of itself.
#[derive(Debug, Clone)]
pub struct AgentSettings {
    /// Its name and its life.
    pub name: Name,
    /// See `name`.
    pub life: u64,
    /// Its zone.
    pub zone: String,
    /// The voters, as the settings name them.
    pub voters: Vec<Name>,
    /// Its folder, if it is to be a voter.
    pub folder: Option<VoterState>,
    /// How its controller goes by what it hears.
    pub controller: ControllerSettings,
    /// Whether a leave without a permit to be had waits for one, or is refused.
    pub waits: bool,
    /// For all that is drawn.
    pub seed: u64,
}

/// What is to be done.
#[derive(Debug, Clone, PartialEq)]
pub enum AgentEffect {
    /// Tell another server; it may be lost.
    Send(Name, Vec<u8>),
    /// Make these durable in the council's folder, then say [`ServerAgent::written`].
    Write(u64, Vec<DurableRecord>),
    /// This server may leave by this permit, if that is still before the time.
    PermitGranted(u64, Time),
    /// The leave that was asked for is refused, and why.
    PermitDenied(String),
    /// This server may change by this turn, if that is still before the time.
    StepGranted(StepAssignment, Time),
    /// About the configuration.
    Configuration(ConfigurationEffect),
    /// Tell it in the log; whether it is bad.
    Log(bool, String),
}

/// What is to be done about the configuration.
#[derive(Debug, Clone, PartialEq)]
pub enum ConfigurationEffect {
    /// A commit, on voters only, in the order of revisions: to be applied and spread. One that is not newer than what the
    /// server has is to be passed over.
    Committed(Arc<Commit>),
    /// The configuration is to be made durable at this revision or a later one, then [`ServerAgent::configuration_durable`] called.
    MakeDurable(Revision),
    /// What a request came to that was handed in here.
    Answered(ProposalResponse),
}

/// What became of an operator's order.
#[derive(Debug, Clone, PartialEq)]
pub enum CommandStatus {
    /// It is under way.
    Pending,
    /// This.
    Finished(Result<String, String>),
    /// Nothing is known of it here.
    Unknown,
}

#[derive(Debug)]
struct Under {
    order: OperatorCommand,
    since: Time,
    next: Time,
    turn: usize,
    /// Why it isn't through yet.
    why: &'static str,
}

/// What operators are shown.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct AgentStatus {
    /// The record as it is known here, and how old that is in seconds; none if it was never heard.
    pub record: Option<(ReplicatedState, f64)>,
    /// Who leads the council, as far as is known here.
    pub leader: Option<Name>,
    /// Whether this server is a voter, and if it can't be one for good, why.
    pub voter: bool,
    /// See `voter`.
    pub lost: Option<String>,
    /// Whether it is a voter that started a moment ago and doesn't vote yet.
    pub unsure: bool,
    /// What this server asks for, how long and why it waits.
    pub waits: Option<WaitingRequest>,
    /// Servers of the roster that aren't heard to be ready here; known to voters alone.
    pub unheard: Vec<Name>,
    /// What servers have, as they told the voters: program and settings.
    pub versions: BTreeMap<Name, (String, String)>,
}

/// One server's part.
pub struct ServerAgent {
    set: AgentSettings,
    council: Option<ConsensusVoter>,
    controller: Controller,
    permit_client: PermitClient,
    /// A turn that is asked for, and the permit of one that this life has taken.
    turn: Option<StepAssignment>,
    taken: Option<u64>,
    report: ServerReport,
    next_report: Time,
    next_look: Time,
    /// The record as a voter told it, where this server is none.
    looked: Option<(ReplicatedState, Time)>,
    orders: BTreeMap<u64, Under>,
    answers: VecDeque<(u64, Result<String, String>)>,
    /// Orders that this server's controller was given: by whom, under which ticket of theirs.
    given: VecDeque<(u64, Name, u64)>,
    given_no: u64,
    founding: Founding,
    /// Whether changes of the configuration are committed by this group; requests that were handed in here; who waits here.
    configuration: Option<ConfigurationSettings>,
    requests: ProposalClient,
    waiters: Waiters,
    effects: Vec<AgentEffect>,
}

impl ServerAgent {
    /// A server that starts.
    pub fn new(set: AgentSettings, now: Time) -> Self {
        // Numbers of another life are less: a life is greater than any before.
        let number = set.life;
        let council = set.folder.clone().map(|found| ConsensusVoter::new(found, set.seed, now));
        Self {
            council,
            controller: Controller::new(set.controller.clone(), number, now),
            permit_client: PermitClient::new(set.voters.clone(), number),
            turn: None,
            taken: None,
            report: ServerReport { zone: set.zone.clone(), ..ServerReport::default() },
            next_report: now,
            next_look: now,
            looked: None,
            orders: BTreeMap::new(),
            answers: VecDeque::new(),
            given: VecDeque::new(),
            given_no: 0,
            founding: Founding::new(&set.voters),
            configuration: None,
            requests: ProposalClient::default(),
            waiters: Waiters::default(),
            effects: Vec::new(),
            set,
        }
    }

    /// What this server tells of itself from now on; a change of readiness is told at once.
    pub fn tells(&mut self, now: Time, report: ServerReport) {
        if report.ready != self.report.ready || report.failed != self.report.failed {
            self.next_report = now;
        }
        self.report = report;
    }

    /// This server wants out: asked for until it may, or until it is refused.
    pub fn leave(&mut self, now: Time) {
        self.permit_client.request(now, PermitAction::Reserve);
    }

    /// It doesn't want out any more.
    pub fn stay(&mut self, now: Time) {
        let epoch = match self.permit_client.wanted() {
            Some(PermitAction::Begin(epoch)) => Some(*epoch),
            _ => self.own_permit(),
        };
        self.turn = None;
        match epoch {
            Some(epoch) => self.permit_client.request(now, PermitAction::Cancel(epoch)),
            None => self.permit_client.stop(),
        }
    }

    fn own_permit(&self) -> Option<u64> {
        let record = self.record()?;
        let target = Target::Server(Arc::clone(&self.set.name));
        record.permit_of(&target).map(|(epoch, _)| epoch)
    }

    /// The time for a change was over when it was to begin: its turn comes again.
    pub fn missed(&mut self) {
        self.taken = None;
    }

    /// The record as it is known here.
    pub fn record(&self) -> Option<&ReplicatedState> {
        let own = self.council.as_ref().filter(|council| council.is_founded()).map(ConsensusVoter::record);
        own.or(self.looked.as_ref().map(|(record, _)| record))
    }

    /// An operator orders something: taken under this ticket.
    pub fn order(&mut self, now: Time, ticket: u64, order: OperatorCommand) -> Result<(), String> {
        if self.orders.len() >= MOST_ORDERS {
            return Err("too many orders are under way".into());
        }
        if let OperatorCommand::Rollout(crate::rollout::RolloutCommand::Halt { name, .. }) = &order {
            // Wherever it is said: here, and with all voters that hear it, no further step is taken from now on.
            self.halt(name);
            let name = name.clone();
            for voter in self.set.voters.clone() {
                self.send(&voter, &Message::Halt(name.clone()));
            }
        }
        self.orders
            .insert(ticket, Under { order, since: now, next: now, turn: 0, why: "no voter has answered" });
        Ok(())
    }

    fn halt(&mut self, name: &str) {
        let is_it = self.turn.as_ref().is_some_and(|turn| {
            let release = self.record().and_then(|record| record.release.as_ref());
            release.is_none_or(|release| release.number == turn.release)
        });
        if is_it {
            self.turn = None;
            self.permit_client.stop();
        }
        if let Some(council) = &self.council {
            self.controller.halt(council.record(), name);
        }
    }

    /// What became of an order.
    pub fn became(&self, ticket: u64) -> CommandStatus {
        if self.orders.contains_key(&ticket) {
            return CommandStatus::Pending;
        }
        let answer = self.answers.iter().rev().find(|(of, _)| *of == ticket);
        answer.map_or(CommandStatus::Unknown, |(_, answer)| CommandStatus::Finished(answer.clone()))
    }

    fn over(&mut self, ticket: u64, answer: Result<String, String>) {
        if self.orders.remove(&ticket).is_some() {
            self.answers.push_back((ticket, answer));
            while self.answers.len() > MOST_ORDERS {
                self.answers.pop_front();
            }
        }
    }

    /// Founds the council with the voters that the settings name, each of which must be heard and have an empty folder. Asked
    /// again, here or at another voter, it gives the same answer.
    pub fn found(&mut self, now: Time) -> Result<String, FoundingError> {
        let council = self.council.as_ref().ok_or(FoundingError::NoFolder)?;
        let reported = |name: &Name| {
            let (report, age) = self.controller.report(now, name)?;
            (age <= self.set.controller.fresh_for)
                .then_some(ReportedVoter { id: report.voter, founded: report.founded })
        };
        let voters = self.founding.ask(now, &self.set.name, council, reported)?;
        self.founded(&voters);
        Ok(founding::answer(&voters))
    }

    fn founded(&mut self, voters: &BTreeMap<VoterId, Name>) {
        let Some(council) = self.council.as_mut().filter(|council| !council.is_founded()) else { return };
        if let Err(why) = self.founding.accepts(voters) {
            return self.effects.push(AgentEffect::Log(true, format!("not founded: {why}")));
        }
        if council.found(voters).is_ok() {
            self.effects
                .push(AgentEffect::Log(false, "a council is founded, and this server is a voter".into()));
        }
    }

    /// Sends the founding to voters that have not taken it, while that is due.
    fn send_founding(&mut self, now: Time) {
        let own = Arc::clone(&self.set.name);
        let founded =
            |name: &Name| self.controller.report(now, name).is_some_and(|(report, _)| report.founded);
        let step = self.founding.step(now, &own, founded);
        self.effects.extend(step.note().map(|text| AgentEffect::Log(true, text)));
        if let FoundingStep::Send(voters) = step {
            let found = Message::Found(voters.clone());
            voters.values().filter(|voter| **voter != own).for_each(|voter| self.send(voter, &found));
        }
    }

    /// What was to be written in the council's folder is durable.
    pub fn written(&mut self, number: u64) {
        if let Some(council) = &mut self.council {
            council.written(number);
        }
    }

    /// It couldn't be; this is what the folder holds.
    pub fn failed(&mut self, now: Time, found: VoterState) {
        if let Some(council) = &mut self.council {
            council.failed(found, now);
        }
    }

    /// Another server said something, in this life of its.
    pub fn word(&mut self, now: Time, from: &Name, life: u64, bytes: &[u8]) {
        let Ok(message) = postcard::from_bytes::<Message>(bytes) else { return };
        match message {
            Message::Voter { from: id, to, bytes } => {
                if let Some(council) = self.council.as_mut().filter(|council| council.id() == to) {
                    council.heard_from(now, id, &bytes);
                }
            }
            Message::Report(report) => self.reported(now, from, life, *report),
            Message::Request(request) => match &mut self.council {
                Some(council) => self.controller.request(now, council, from, life, request),
                None => self.send(from, &Message::Reply(request.number, PermitReply::Redirect(None))),
            },
            Message::Reply(number, reply) => self.replied(now, number, reply),
            Message::Turn(turn) => self.take_turn(now, turn),
            Message::Order(ticket, order) => self.given(now, from, ticket, order),
            Message::OrderReply(ticket, answer) => self.ordered(now, ticket, answer),
            Message::Halt(name) => self.halt(&name),
            Message::Found(voters) => self.founded(&voters),
            Message::Look => {
                if let Some(record) =
                    self.council.as_ref().filter(|c| c.is_founded()).map(ConsensusVoter::record)
                {
                    let record = Message::Record(Box::new(record.clone()));
                    self.send(from, &record);
                }
            }
            Message::ConfigurationRequest(ticket, request) => self.requested(now, from, ticket, &request),
            Message::ConfigurationReply(ticket, answer) => self.request_answered(now, ticket, answer),
            Message::Record(record) => {
                let newer = self.looked.as_ref().is_none_or(|(known, _)| record.index >= known.index);
                if newer {
                    self.looked = Some((*record, now));
                }
            }
        }
    }

    fn reported(&mut self, now: Time, from: &Name, life: u64, report: ServerReport) {
        // Who is no voter hears no reports; one whose council isn't founded yet goes by them for that.
        if let Some(council) = &self.council {
            self.controller.reported(now, council.record(), from, life, report);
        }
    }

    fn replied(&mut self, now: Time, number: u64, reply: PermitReply) {
        let refuses = !self.set.waits
            && matches!(reply, PermitReply::Wait(_))
            && self.permit_client.wanted() == Some(&PermitAction::Reserve);
        let why = if let PermitReply::Wait(why) = &reply { why.to_string() } else { String::new() };
        match self.permit_client.receive(now, number, reply) {
            ClientEvent::Nothing if refuses => {
                self.permit_client.stop();
                self.effects.push(AgentEffect::PermitDenied(why));
            }
            ClientEvent::Nothing => {}
            ClientEvent::MayBegin { epoch, until } => match self.turn.take() {
                Some(turn) if turn.epoch == epoch => {
                    self.taken = Some(epoch);
                    self.effects.push(AgentEffect::StepGranted(turn, until));
                }
                _ => self.effects.push(AgentEffect::PermitGranted(epoch, until)),
            },
            ClientEvent::Stale(epoch) => {
                if self.turn.take().is_none() {
                    // The place was given away meanwhile: it has to be asked for anew.
                    let text = format!("permit {epoch} is over or was freed; another is asked for");
                    self.effects.push(AgentEffect::Log(true, text));
                    self.permit_client.request(now, PermitAction::Reserve);
                }
            }
        }
    }

    fn take_turn(&mut self, now: Time, turn: StepAssignment) {
        let has = match turn.kind {
            ReleaseKind::Program => &self.report.program,
            ReleaseKind::Settings => &self.report.settings,
        };
        // A drain by hand comes first; and who couldn't take a step doesn't try it again by itself.
        let failed = self.report.failed.as_ref().is_some_and(|(release, _)| *release == turn.release);
        let drains = matches!(self.permit_client.wanted(), Some(PermitAction::Reserve));
        if *has == turn.version || failed || drains || self.turn.is_some() || self.taken == Some(turn.epoch) {
            return;
        }
        self.permit_client.request(now, PermitAction::Begin(turn.epoch));
        self.turn = Some(turn);
    }

    /// An order for this server's controller, its own or another's.
    fn given(&mut self, now: Time, from: &Name, ticket: u64, order: OperatorCommand) {
        let Some(council) = &mut self.council else {
            return self.send(from, &Message::OrderReply(ticket, OperatorCommandReply::Redirect(None)));
        };
        self.given_no += 1;
        self.given.push_back((self.given_no, Arc::clone(from), ticket));
        while self.given.len() > MOST_ORDERS {
            self.given.pop_front();
        }
        self.controller.order(now, council, self.given_no, order);
        self.apply_controller_effects(now);
    }

    /// A voter says what became of an order.
    fn ordered(&mut self, now: Time, ticket: u64, answer: OperatorCommandReply) {
        let Some(under) = self.orders.get_mut(&ticket) else { return };
        match answer {
            OperatorCommandReply::Done(answer) => self.over(ticket, answer),
            OperatorCommandReply::Redirect(whom) => {
                let known = whom.and_then(|whom| self.set.voters.iter().position(|voter| *voter == whom));
                let pause = if known.is_some() { Span(20 * MS) } else { ORDER_AGAIN };
                under.turn = known.unwrap_or(under.turn + 1);
                under.next = time_after(now, pause);
                under.why = "the council has no leader that is heard";
            }
        }
    }

    /// Puts orders to voters that are due, and gives up those that nobody took.
    fn put_orders(&mut self, now: Time) {
        let late: Vec<(u64, &str)> = self
            .orders
            .iter()
            .filter(|(_, under)| now >= time_after(under.since, ORDER_PATIENCE))
            .map(|(ticket, under)| (*ticket, under.why))
            .collect();
        for (ticket, why) in late {
            // It may have been agreed on all the same: the status shows.
            self.over(
                ticket,
                Err(format!("{why} within {:.0} s; it may still be done", span_seconds(ORDER_PATIENCE))),
            );
        }
        let mut due = Vec::new();
        for (ticket, under) in &mut self.orders {
            if now >= under.next && !self.set.voters.is_empty() {
                let to = Arc::clone(&self.set.voters[under.turn % self.set.voters.len()]);
                under.next = time_after(now, ORDER_AGAIN);
                under.turn += 1;
                due.push((to, *ticket, under.order.clone()));
            }
        }
        for (to, ticket, order) in due {
            if to == self.set.name {
                self.given(now, &to, ticket, order);
            } else {
                self.send(&to, &Message::Order(ticket, order));
            }
        }
    }

    fn send(&mut self, to: &Name, message: &Message) {
        if let Ok(bytes) = postcard::to_stdvec(message) {
            self.effects.push(AgentEffect::Send(Arc::clone(to), bytes));
        }
    }

    /// Does what is due, and appends what is to be done.
    pub fn step(&mut self, now: Time, effects: &mut Vec<AgentEffect>) {
        self.vote(now);
        if let Some(council) = &mut self.council {
            self.controller.step(now, council);
        }
        self.apply_controller_effects(now);
        self.put_orders(now);
        self.put_requests(now);
        while let Some(OutgoingRequest { to, request }) = self.permit_client.step(now) {
            if to == self.set.name {
                if let Some(council) = &mut self.council {
                    let from = Arc::clone(&self.set.name);
                    self.controller.request(now, council, &from, self.set.life, request);
                    self.apply_controller_effects(now);
                }
            } else {
                self.send(&to, &Message::Request(request));
            }
        }
        if now >= self.next_report {
            self.next_report = time_after(now, REPORT);
            self.tell_voters(now);
        }
        if now >= self.next_look {
            self.next_look = time_after(now, LOOK);
            self.look();
        }
        self.vote(now);
        effects.append(&mut self.effects);
    }

    /// The council's turn, and what came of it.
    fn vote(&mut self, now: Time) {
        let Some(council) = &mut self.council else { return };
        let mut voted = Vec::new();
        council.step(now, &mut voted);
        let id = council.id();
        for effect in voted {
            match effect {
                VoterEffect::Send(to, bytes) => {
                    let name = self.voter_name(to);
                    if let Some(name) = name {
                        self.send(&name, &Message::Voter { from: id, to, bytes });
                    }
                }
                VoterEffect::Write(number, records) => self.effects.push(AgentEffect::Write(number, records)),
                VoterEffect::Applied { by, number, outcome, .. } if by == id => {
                    if let Some(council) = &self.council {
                        self.controller.applied(now, council.record(), number, outcome);
                    }
                }
                VoterEffect::Applied { .. } => {}
                VoterEffect::Committed(commit) => self.committed(now, commit),
                VoterEffect::MakeDurable(revision) => {
                    let effect = ConfigurationEffect::MakeDurable(revision);
                    self.effects.push(AgentEffect::Configuration(effect));
                }
                VoterEffect::Log(bad, text) => {
                    self.effects.push(AgentEffect::Log(bad, format!("council: {text}")))
                }
            }
        }
        self.apply_controller_effects(now);
    }

    /// Whose a disk is: by the record, or while that doesn't know it yet, by what servers report.
    fn voter_name(&self, id: VoterId) -> Option<Name> {
        let record = self.council.as_ref().map(ConsensusVoter::record);
        if let Some(name) = record.and_then(|record| record.voters.get(&id)) {
            return Some(Arc::clone(name));
        }
        self.controller
            .reports()
            .find(|(_, report)| report.voter == Some(id))
            .map(|(name, _)| Arc::clone(name))
    }

    fn apply_controller_effects(&mut self, now: Time) {
        for effect in self.controller.take_effects() {
            match effect {
                ControllerEffect::Reply { to, number, reply } if to == self.set.name => {
                    self.replied(now, number, reply)
                }
                ControllerEffect::Reply { to, number, reply } => {
                    self.send(&to, &Message::Reply(number, reply))
                }
                ControllerEffect::Turn { to, turn } if to == self.set.name => self.take_turn(now, turn),
                ControllerEffect::Turn { to, turn } => self.send(&to, &Message::Turn(turn)),
                ControllerEffect::OrderReply { ticket: given, reply: answer } => {
                    let Some((_, from, ticket)) = self.given.iter().find(|(no, ..)| *no == given).cloned()
                    else {
                        continue;
                    };
                    if from == self.set.name {
                        self.ordered(now, ticket, answer);
                    } else {
                        self.send(&from, &Message::OrderReply(ticket, answer));
                    }
                }
                ControllerEffect::Log(bad, text) => {
                    self.effects.push(AgentEffect::Log(bad, format!("council: {text}")))
                }
            }
        }
    }

    fn tell_voters(&mut self, now: Time) {
        if let Some(council) = &self.council {
            self.report.voter = Some(council.id()).filter(|_| council.lost().is_none());
            self.report.founded = council.is_founded();
        }
        if let Some(record) = self.record() {
            // Those that the council's record names, and those of the settings, who may not have learned of it.
            let mut voters: Vec<Name> = record.voters.values().cloned().collect();
            voters.extend(
                self.set.voters.iter().filter(|name| !record.voters.values().any(|v| v == *name)).cloned(),
            );
            self.permit_client.set_voters(voters.clone());
            self.set.voters = voters;
        }
        let report = Message::Report(Box::new(self.report.clone()));
        for voter in self.set.voters.clone() {
            if voter == self.set.name {
                let name = Arc::clone(&self.set.name);
                self.reported(now, &name, self.set.life, self.report.clone());
            } else {
                self.send(&voter, &report);
            }
        }
        self.send_founding(now);
    }

    /// One that is no voter keeps a copy of the record, for its operators.
    fn look(&mut self) {
        let own = self.council.as_ref().is_some_and(|council| council.is_founded());
        let place = self.given_no as usize + self.next_look.0 as usize / LOOK.0 as usize;
        if let Some(voter) =
            self.set.voters.get(place % self.set.voters.len().max(1)).filter(|_| !own).cloned()
            && voter != self.set.name
        {
            self.send(&voter, &Message::Look);
        }
    }

    /// When [`ServerAgent::step`] must be called again.
    pub fn wake_at(&self) -> Time {
        let council = self.council.as_ref().map_or(Time(u64::MAX), ConsensusVoter::wake_at);
        let controller = if self.council.is_some() { self.controller.wake_at() } else { Time(u64::MAX) };
        let orders = self.orders.values().map(|under| under.next).min();
        let permit_client = self.permit_client.wake_at();
        let requests = self.requests.wake_at();
        [
            requests,
            Some(self.next_report),
            Some(self.next_look),
            orders,
            permit_client,
            Some(council),
            Some(controller),
        ]
        .into_iter()
        .flatten()
        .min()
        .unwrap_or(Time(u64::MAX))
    }

    /// With changes of the configuration committed by this group.
    pub fn with_configuration(mut self, set: ConfigurationSettings) -> Self {
        self.configuration = Some(set);
        if let Some(council) = &mut self.council {
            council.set_configuration(set);
        }
        self
    }

    /// Hands in a request for a change; [`ConfigurationEffect::Answered`] with the ticket tells within 2 s what it came to.
    pub fn request(
        &mut self,
        now: Time,
        ticket: u64,
        request: ConfigurationRequest,
    ) -> Result<(), ConfigurationRejected> {
        if self.configuration.is_none() {
            return Err(ConfigurationRejected::Off);
        }
        self.requests.ask(now, ticket, request)
    }

    /// The host has this content: from its durable copy, its start file or its peers. To be called at the start, and when
    /// peers brought a newer one; what [`ConfigurationEffect::Committed`] told is known here already.
    pub fn holds_configuration(&mut self, configuration: &Configuration) {
        if let Some(council) = &mut self.council {
            council.hold_configuration(configuration);
        }
    }

    /// The host's durable copy has this revision.
    pub fn configuration_durable(&mut self, revision: Revision) {
        if let Some(council) = &mut self.council {
            council.configuration_durable(revision);
        }
    }

    /// The order of changes with its history, on a voter.
    pub fn configuration_order(&self) -> Option<&ReplicatedConfiguration> {
        let council = self.council.as_ref().filter(|council| council.is_founded());
        council.map(|council| &council.record().configuration)
    }

    /// The content that this voter holds, if it does.
    pub fn configuration(&self) -> Option<&Configuration> {
        self.council.as_ref().and_then(ConsensusVoter::configuration)
    }

    fn put_requests(&mut self, now: Time) {
        for OutgoingProposal { to, ticket, request } in self.requests.due(now, &self.set.voters) {
            if to == self.set.name {
                self.requested(now, &to, ticket, &request);
            } else {
                self.send(&to, &Message::ConfigurationRequest(ticket, Box::new(request)));
            }
        }
        let expired = self.requests.expired(now);
        expired.into_iter().for_each(|answered| self.answer_request(answered));
    }

    /// A request came to this voter, its own or another server's.
    fn requested(&mut self, now: Time, from: &Name, ticket: u64, request: &ConfigurationRequest) {
        let answer = match (&mut self.council, self.configuration) {
            (None, _) => VoterReply::NotLeader(None),
            (Some(_), None) => VoterReply::Finished(Err(ConfigurationRejected::Off)),
            (Some(council), Some(_)) => match council.request(request) {
                Ok(ProposalAccepted::Committed(revision)) => VoterReply::Finished(Ok(revision)),
                Ok(ProposalAccepted::Proposed(_)) => {
                    let request_id = request.proposal.request_id.clone();
                    self.waiters.wait(Waiter { request_id, server: Arc::clone(from), ticket, since: now });
                    VoterReply::Proposed
                }
                Err(ProposalRejected::Rejected(why)) => VoterReply::Finished(Err(why)),
                Err(ProposalRejected::NotLeader(leader)) => {
                    let voters = &council.record().voters;
                    VoterReply::NotLeader(leader.and_then(|leader| voters.get(&leader).cloned()))
                }
            },
        };
        self.tell_request(now, from, ticket, answer);
    }

    fn tell_request(&mut self, now: Time, to: &Name, ticket: u64, answer: VoterReply) {
        if *to == self.set.name {
            self.request_answered(now, ticket, answer);
        } else {
            self.send(to, &Message::ConfigurationReply(ticket, answer));
        }
    }

    fn request_answered(&mut self, now: Time, ticket: u64, answer: VoterReply) {
        if let Some(answered) = self.requests.answered(now, ticket, answer, &self.set.voters) {
            self.answer_request(answered);
        }
    }

    fn answer_request(&mut self, answered: ProposalResponse) {
        self.effects.push(AgentEffect::Configuration(ConfigurationEffect::Answered(answered)));
    }

    fn committed(&mut self, now: Time, commit: Arc<Commit>) {
        for waiter in self.waiters.committed(&commit.request_id) {
            self.tell_request(now, &waiter.server, waiter.ticket, VoterReply::Finished(Ok(commit.revision)));
        }
        self.effects.push(AgentEffect::Configuration(ConfigurationEffect::Committed(commit)));
    }

    /// The fleet's agreements as they are known here.
    pub fn status(&self, now: Time) -> AgentStatus {
        let founded = self.council.as_ref().filter(|council| council.is_founded());
        let record = match founded {
            Some(council) => {
                let age = council.heard(now).map_or(f64::INFINITY, span_seconds);
                Some((council.record().clone(), age))
            }
            None => {
                self.looked.as_ref().map(|(record, at)| (record.clone(), span_seconds(Span(now.0 - at.0))))
            }
        };
        let leader = founded.and_then(|council| council.leader());
        let leader = leader.and_then(|id| founded?.record().voters.get(&id).cloned());
        let unheard = founded.map(|council| self.controller.unplanned(now, council.record()));
        let versions = self
            .controller
            .reports()
            .map(|(name, report)| (Arc::clone(name), (report.program.clone(), report.settings.clone())));
        AgentStatus {
            record,
            leader,
            voter: founded.is_some(),
            lost: self.council.as_ref().and_then(|council| council.lost()).map(String::from),
            unsure: founded.is_some_and(ConsensusVoter::is_unsure),
            waits: self.permit_client.waits(now),
            unheard: unheard.into_iter().flatten().collect(),
            versions: versions.collect(),
        }
    }
}

#[cfg(test)]
mod tests;
