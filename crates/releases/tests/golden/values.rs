//! A value of each kind, every field with another content, so that two that change places are seen.
use gradepin_config::change::{Change, ClassDefinition, Commit, Proposal, Revision, Rule, Transaction};
use gradepin_config::digest::{Digest, Version};
use gradepin_config::validation::Invalid;
use gradepin_decisions::{Customer, Effect, Profile, Span};
use gradepin_releases::configuration_log::{ConfigurationEntry, ConfigurationRequest, ProposalRefused};
use gradepin_releases::council::Durable;
use gradepin_releases::messages::{
    Order, OrderReply, PermitAction, PermitReply, PermitRequest, Report, Turn,
};
use gradepin_releases::proposal_client::VoterAnswer;
use gradepin_releases::record::{
    Act, Command, Ends, Limits, Member, Name, Permit, Purpose, Record, Stage, Target, Why,
};
use gradepin_releases::release::{Kind, Plan, Release, ReleaseOrder, Server, State, Step, Wave};
use gradepin_releases::rollback::Total;
use std::sync::Arc;

pub fn name(text: &str) -> Name {
    Arc::from(text)
}

fn class(name: &str, effect: Effect) -> Change {
    let profile = Profile {
        name: name.into(),
        promise: Span(100),
        deadline: Span(200),
        effect,
        late_value: 0.25,
        window: Span(300),
        worth: 1.5,
        aim_stretch: 0.75,
    };
    Change::PutClass(Arc::new(ClassDefinition { profile, calls: true, skip_worth: 0.125 }))
}

/// Every kind of change, of rule and of effect.
pub fn transaction() -> Transaction {
    let tenant = Customer { name: "osm".into(), quota_rps: 10.5, portion: 0.2 };
    let changes = vec![
        class("c1", Effect::Repeatable),
        class("c2", Effect::ByKey),
        class("c3", Effect::Once),
        Change::RemoveClass(name("old")),
        Change::PutTenant(Arc::new(tenant)),
        Change::RemoveTenant(name("gone")),
        Change::PutRule(Rule::AnswerSlack(Span(1))),
        Change::PutRule(Rule::Cold(Span(2))),
        Change::PutRule(Rule::ColdShare(0.5)),
        Change::PutRule(Rule::DrainGrace(Span(3))),
        Change::PutRule(Rule::Fall(Span(4))),
        Change::PutRule(Rule::TipMultiple(4.5)),
        Change::PutRule(Rule::OverShareWorth(0.0625)),
    ];
    Transaction { changes }
}

pub fn commit(revision: u64) -> Commit {
    Commit {
        revision: Revision(revision),
        author: name("ada"),
        reason: name("more"),
        request_id: format!("r{revision}").into(),
        proposed_at_ms: 1_700_000_000_000 + revision,
        transaction: transaction(),
    }
}

fn version(revision: u64) -> Version {
    Version { revision: Revision(revision), digest: Digest((1 << 100) + u128::from(revision)) }
}

pub fn entry(revision: u64) -> ConfigurationEntry {
    ConfigurationEntry {
        base: version(revision - 1),
        result: version(revision),
        seen: Revision(revision - 1),
        history: 2,
        commit: Arc::new(commit(revision)),
    }
}

pub fn request() -> ConfigurationRequest {
    let proposal = Proposal {
        request_id: name("r9"),
        author: name("ada"),
        reason: name("more"),
        expected: Some(Revision(300)),
        transaction: transaction(),
    };
    ConfigurationRequest { proposal, seen: Revision(299), asked_at_ms: 1_700_000_000_001 }
}

pub fn plan() -> Plan {
    Plan {
        name: "r-1".into(),
        kind: Kind::Program,
        version: "v2".into(),
        waves: vec![Wave { share: 0.25, pause_ms: 1_000 }, Wave { share: 1.0, pause_ms: 2_000 }],
        zone_by_zone: true,
        ready_ms: 30_000,
        steady_ms: 5_000,
        worse: 0.125,
        goes_back: true,
    }
}

pub fn steps() -> Vec<(&'static str, Step)> {
    vec![
        ("waits", Step::Waits),
        ("changes", Step::Changes),
        ("new", Step::New),
        ("failed", Step::Failed("f".into())),
        ("goes back", Step::GoesBack),
        ("back", Step::Back),
        ("stuck", Step::Stuck("s".into())),
    ]
}

pub fn states() -> Vec<(&'static str, State)> {
    vec![
        ("runs", State::Runs),
        ("halted", State::Halted("h".into())),
        ("goes back", State::GoesBack("g".into())),
        ("done", State::Done),
        ("undone", State::Undone("u".into())),
    ]
}

pub fn targets() -> Vec<(&'static str, Target)> {
    vec![
        ("server", Target::Server(name("n1"))),
        ("zone", Target::Zone(name("z1"))),
        ("service", Target::Service { group: name("ledger"), member: name("m1") }),
    ]
}

pub fn limits() -> Limits {
    Limits { fleet: 3, zone: 2, zones: 1, services: [(name("ledger"), 4), (name("maps"), 5)].into() }
}

pub fn release_orders() -> Vec<(&'static str, ReleaseOrder)> {
    let (r, by, why) = ("r-1".to_string(), name("kaisa"), "late".to_string());
    let before = vec![(name("n1"), "v1".to_string()), (name("n2"), "v0".to_string())];
    let stepped = Step::Failed("no".into());
    vec![
        ("start", ReleaseOrder::Start { plan: Box::new(plan()), by: by.clone(), before }),
        ("halt", ReleaseOrder::Halt { name: r.clone(), by: by.clone(), why: why.clone() }),
        ("resume", ReleaseOrder::Resume { name: r.clone(), halts: 300, by: by.clone() }),
        ("back", ReleaseOrder::Back { name: r, by, why }),
        ("stepped", ReleaseOrder::Stepped { number: 300, server: name("n1"), step: stepped }),
        ("wave", ReleaseOrder::Wave { number: 300, wave: 2 }),
        ("over", ReleaseOrder::Over { number: 300 }),
    ]
}

/// Every command, those about releases apart.
pub fn commands() -> Vec<(&'static str, Command)> {
    let (n1, z1, by, why) = (name("n1"), name("z1"), name("kaisa"), "gone".to_string());
    let reserve = |target, purpose| Command::Reserve { target, holder: name("n2"), life: 70_000, purpose };
    let service = targets().remove(2).1;
    vec![
        ("limits", Command::Limits(limits())),
        ("enrol", Command::Enrol { name: n1.clone(), zone: z1.clone() }),
        ("strike", Command::Strike { name: n1.clone(), by: by.clone(), why: why.clone() }),
        ("reserve a server to drain", reserve(Target::Server(n1.clone()), Purpose::Drain)),
        ("reserve a zone for a release", reserve(Target::Zone(z1), Purpose::Release(300))),
        ("reserve a member of a service", reserve(service, Purpose::Drain)),
        ("begin", Command::Begin { epoch: 300, holder: n1, life: 70_000 }),
        ("end by steadiness", Command::End { epoch: 300, by: Ends::Steady(2) }),
        ("end by word", Command::End { epoch: 300, by: Ends::Word(70_000) }),
        ("free", Command::Free { epoch: 300, by, why }),
        ("gone", Command::Gone { epoch: 300 }),
        ("release", Command::Release(ReleaseOrder::Over { number: 300 })),
        ("configuration", entry(2).command()),
    ]
}

pub fn durables() -> Vec<(&'static str, Durable)> {
    let entry = |changes| Durable::Entry { index: 301, term: 5, changes, data: vec![1, 2, 3] };
    vec![
        ("snapshot", Durable::Snapshot { index: 300, term: 4, voters: vec![7, 1 << 40], data: vec![9, 8] }),
        ("entry", entry(false)),
        ("change of the council", entry(true)),
        ("term", Durable::Term { term: 5, vote: 7, commit: 300 }),
    ]
}

fn permit(target: Target, purpose: Purpose, stage: Stage, begins: u32) -> Permit {
    Permit { target, holder: name("n2"), purpose, stage, begins, life: 70_000 }
}

pub fn release(state: State) -> Release {
    let server = |(at, (_, step)): (usize, (_, Step))| {
        let server = Server { wave: at as u32, before: format!("v{at}"), step };
        (name(&format!("n{at}")), server)
    };
    let servers = steps().into_iter().enumerate().map(server).collect();
    Release { number: 300, plan: plan(), by: name("kaisa"), state, wave: 1, halts: 2, servers }
}

/// All that a record may hold, with an order of three configuration changes of which two are remembered.
pub fn record() -> Record {
    let [server, zone, service] = [0, 1, 2].map(|at| targets().remove(at).1);
    let act = Act { index: 9, by: name("kaisa"), what: "permit 3 freed".into(), why: "gone".into() };
    let mut record = Record {
        index: 1,
        voters: [(7, name("n1")), (1 << 40, name("n2"))].into(),
        limits: limits(),
        roster: [(name("n1"), Member { zone: name("z1") }), (name("n2"), Member { zone: name("z2") })].into(),
        permits: [
            (3, permit(server, Purpose::Drain, Stage::Reserved, 0)),
            (4, permit(zone, Purpose::Release(300), Stage::Begun, 1)),
            (5, permit(service, Purpose::Drain, Stage::Freed, 2)),
        ]
        .into(),
        acts: [act].into(),
        release: Some(release(State::Halted("slow".into()))),
        ..Record::default()
    };
    for revision in 1..=3 {
        record.apply(310 + revision, entry(revision).command());
    }
    record
}

pub fn reasons() -> Vec<(&'static str, Why)> {
    vec![
        ("fleet", Why::Fleet { out: 3, most: 2, who: "n1".into() }),
        ("zone", Why::Zone { zone: name("z1"), out: 3, most: 2, who: "n1".into() }),
        ("zones", Why::Zones { out: 3, most: 2 }),
        ("service", Why::Service { group: name("ledger"), out: 3, most: 2 }),
        ("unknown", Why::Unknown("n9".into())),
        ("stale", Why::Stale(300)),
        ("other", Why::Other { epoch: 300, holder: name("n1") }),
        ("release", Why::Release("halted".into())),
        ("sense", Why::Sense("no".into())),
    ]
}

pub fn refusals() -> Vec<(&'static str, ProposalRefused)> {
    let (old, new) = (Revision(300), Revision(301));
    vec![
        ("moved", ProposalRefused::Moved { expected: old, in_force: new }),
        ("invalid", ProposalRefused::Invalid(Invalid::new("changes[0]", "a name", "none"))),
        ("too long", ProposalRefused::TooLong { limit: 300, came: 301 }),
        ("forgotten", ProposalRefused::Forgotten { seen: old, known_since: new }),
        ("behind", ProposalRefused::Behind { has: Some(old), committed: new }),
        ("behind with nothing", ProposalRefused::Behind { has: None, committed: new }),
        ("busy", ProposalRefused::Busy),
        ("no leader", ProposalRefused::NoLeader),
        ("no voter", ProposalRefused::NoVoter),
        ("unconfirmed", ProposalRefused::Unconfirmed),
        ("off", ProposalRefused::Off),
    ]
}

pub fn voter_answers() -> Vec<(&'static str, VoterAnswer)> {
    vec![
        ("elsewhere", VoterAnswer::Elsewhere(Some(name("n2")))),
        ("leaderless", VoterAnswer::Elsewhere(None)),
        ("proposed", VoterAnswer::Proposed),
        ("committed", VoterAnswer::Over(Ok(Revision(300)))),
        ("refused", VoterAnswer::Over(Err(ProposalRefused::Busy))),
    ]
}

pub fn permit_request() -> PermitRequest {
    PermitRequest { number: 300, action: PermitAction::Begin(7) }
}

pub fn permit_reply() -> PermitReply {
    PermitReply::Wait(Why::Stale(7))
}

pub fn report() -> Report {
    Report {
        zone: "z1".into(),
        ready: true,
        program: "v1".into(),
        settings: "s".into(),
        staged: vec!["t".into()],
        voter: Some(300),
        founded: true,
        failed: Some((5, "no".into())),
        totals: vec![(1, Total { came: 2, served: 1 })],
    }
}

pub fn turn() -> Turn {
    Turn { release: 20, epoch: 21, kind: Kind::Program, version: "v2".into() }
}

pub fn orders() -> Vec<(&'static str, Order)> {
    let (target, by, why) = (targets().remove(2).1, name("kaisa"), "gone".to_string());
    let halt = release_orders().remove(1).1;
    vec![
        ("out", Order::Out { target: target.clone(), by: by.clone() }),
        ("in", Order::In { target, by: by.clone() }),
        ("free", Order::Free { epoch: 300, by: by.clone(), why: why.clone() }),
        ("strike", Order::Strike { name: name("n1"), by: by.clone(), why }),
        ("voter", Order::Voter { name: name("n1"), puts_in: true, by: by.clone() }),
        ("start", Order::Start { plan: Box::new(plan()), by }),
        ("release", Order::Release(halt)),
    ]
}

pub fn order_reply() -> OrderReply {
    OrderReply::Redirect(Some(name("n2")))
}
