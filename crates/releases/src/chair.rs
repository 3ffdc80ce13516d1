//! What the council's leader does: it judges asks by the record and by who is heard to be ready, ends permits, frees what an
//! operator freed once that is safe, and moves the release. A voter that doesn't lead names the one that does.
//!
//! The chair proposes; the record decides. What the chair goes by beside the record, who is heard, is its own and dies with
//! its lead: a new one has heard nobody, so that all count as out until they are heard.

use crate::asker::{Answer, Ask, Want};
use crate::council::{Council, Refused, VoterId};
use crate::halt::{Cell, Total, Watch};
use crate::record::{Command, Ends, Limits, Name, Outcome, Purpose, Record, Stage, Target, Why};
use crate::release::{Kind, Plan, ReleaseOrder, State, Step};
use gradepin_decisions::{Span, Time, after};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

const MS: u64 = 1_000_000;
/// How long a holder may begin after it asked, by its own clock.
pub const BEGIN_WITHIN: Span = Span(5_000 * MS);
/// An answer to begin goes by who was heard no longer ago than this when it was proposed and agreed on.
const AGREED_WITHIN: Span = Span(1_000 * MS);
/// A permit that was kept and never begun is over after this, if its server is there all the while.
const UNUSED: Span = Span(30_000 * MS);
/// Between turns.
const TURN: Span = Span(100 * MS);
/// A server is told of its turn so often.
const TELL: Span = Span(500 * MS);
/// Between steps of the fleet's course.
const COURSE: Span = Span(5_000 * MS);
/// Lives of one server with the new version after which it counts as one that crashes.
const MOST_LIVES: usize = 3;
/// Proposals whose outcome somebody waits for.
const MOST_PENDING: usize = 1_024;
/// So many servers that are gone without a permit are a trouble of their own, and a hundredth of a large fleet.
const SEVERAL: usize = 2;
/// Who halts where nobody did by hand.
const COUNCIL: &str = "the council";

/// How the chair goes by what it hears.
#[derive(Debug, Clone, PartialEq)]
pub struct ChairSettings {
    /// The most that may be out.
    pub limits: Limits,
    /// How long a server must have been ready before its permit is over.
    pub steady: Span,
    /// A server that wasn't heard for so long counts as out.
    pub fresh: Span,
    /// How far a clock may be off its rate, in millionths.
    pub drift_ppm: u64,
    /// A drill's: everybody may always be out.
    pub plain: bool,
    /// What cells of the counts are called.
    pub names: BTreeMap<Cell, String>,
}

impl Default for ChairSettings {
    fn default() -> Self {
        Self {
            limits: Limits::default(),
            steady: Span(3_000 * MS),
            fresh: Span(2_000 * MS),
            drift_ppm: 10_000,
            plain: false,
            names: BTreeMap::new(),
        }
    }
}

/// What a server tells the voters of itself, again and again.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Report {
    /// Its zone.
    pub zone: String,
    /// Whether it is ready to serve: not draining, its processor there.
    pub ready: bool,
    /// What it runs: of programs and of settings.
    pub program: String,
    /// See `program`.
    pub settings: String,
    /// Settings that are staged here and whole, by their digests.
    pub staged: Vec<String>,
    /// The identity of its council's folder, if it has one.
    pub voter: Option<VoterId>,
    /// Whether that folder belongs to a council.
    pub founded: bool,
    /// The release whose step it couldn't take, and why.
    pub failed: Option<(u64, String)>,
    /// What it counted in its life.
    pub totals: Vec<(Cell, Total)>,
}

/// What an operator orders.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Order {
    /// A permit for a zone or a member of a service.
    Out {
        /// What.
        target: Target,
        /// Who.
        by: Name,
    },
    /// Such a permit is over.
    In {
        /// What.
        target: Target,
        /// Who.
        by: Name,
    },
    /// A permit's holder won't come back.
    Free {
        /// The permit.
        epoch: u64,
        /// Who.
        by: Name,
        /// Why.
        why: String,
    },
    /// A server won't come back.
    Strike {
        /// Which.
        name: Name,
        /// Who.
        by: Name,
        /// Why.
        why: String,
    },
    /// A server becomes a voter, by what it reports of its folder; or one that was is none any more.
    Voter {
        /// Which.
        name: Name,
        /// In, or out.
        puts_in: bool,
        /// Who.
        by: Name,
    },
    /// A release begins.
    Start {
        /// What and how.
        plan: Box<Plan>,
        /// Who.
        by: Name,
    },
    /// Something about the release that is there.
    Release(ReleaseOrder),
}

/// A server's turn in a release.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Turn {
    /// The release.
    pub release: u64,
    /// The permit to ask to begin by.
    pub epoch: u64,
    /// What is changed.
    pub kind: Kind,
    /// What it shall have then.
    pub version: String,
}

/// What the chair says.
#[derive(Debug, Clone, PartialEq)]
pub enum Says {
    /// An answer to a server's question.
    Answer(Name, u64, Answer),
    /// It is a server's turn.
    Turn(Name, Turn),
    /// What an operator's order came to, under its ticket.
    Ordered(u64, Ordered),
    /// Tell it in the log; whether it is bad.
    Note(bool, String),
}

/// What an order came to.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Ordered {
    /// Put it to this one, or if nobody is named, to another.
    Elsewhere(Option<Name>),
    /// This.
    Over(Result<String, String>),
}

/// Whom the outcome of a proposal is for.
#[derive(Debug)]
enum For {
    Nobody,
    Server { name: Name, number: u64, begin: Option<Target> },
    Operator(u64),
}

#[derive(Debug)]
struct Pending {
    at: Time,
    whom: For,
}

/// What is heard of a server.
#[derive(Debug, Clone)]
struct Heard {
    at: Time,
    life: u64,
    report: Report,
    /// Since when it has been ready without a break.
    ready_since: Option<Time>,
}

/// What is known of a permit since this lead began.
#[derive(Debug)]
struct Known {
    stage: Stage,
    begins: u32,
    since: Time,
    /// The life that it began in, as far as it was heard, and those that were heard since.
    first: Option<u64>,
    lives: BTreeSet<u64>,
    told: Option<Time>,
}

/// The chair of one voter.
pub struct Chair {
    set: ChairSettings,
    term: Option<u64>,
    heard: BTreeMap<Name, Heard>,
    permits: BTreeMap<u64, Known>,
    pending: BTreeMap<u64, Pending>,
    number: u64,
    next_turn: Time,
    /// Proposals that are under way and mustn't be made again meanwhile.
    under_way: BTreeMap<String, u64>,
    watch: Watch,
    watched: Option<u64>,
    /// Which way the release goes.
    forward: Option<bool>,
    next_course: Time,
    /// Since when the wave has been whole.
    whole: Option<Time>,
    /// Releases that were ordered to halt here, agreed or not, with the halts known then.
    halted: BTreeMap<String, u32>,
    says: Vec<Says>,
}

impl Chair {
    /// A voter's chair; its proposals are numbered from here on, greater than those of any earlier life.
    pub fn new(set: ChairSettings, number: u64, now: Time) -> Self {
        Self {
            set,
            term: None,
            heard: BTreeMap::new(),
            permits: BTreeMap::new(),
            pending: BTreeMap::new(),
            number,
            next_turn: now,
            under_way: BTreeMap::new(),
            watch: Watch::default(),
            watched: None,
            forward: None,
            next_course: now,
            whole: None,
            halted: BTreeMap::new(),
            says: Vec::new(),
        }
    }

    /// What is to be said since the last call.
    pub fn says(&mut self) -> Vec<Says> {
        std::mem::take(&mut self.says)
    }

    /// When [`Chair::step`] must be called again.
    pub fn wake_at(&self) -> Time {
        self.next_turn
    }

    /// What a server last told of itself, and how long ago.
    pub fn report(&self, now: Time, name: &str) -> Option<(&Report, Span)> {
        let heard = self.heard.get(name)?;
        Some((&heard.report, Span(now.0.saturating_sub(heard.at.0))))
    }

    /// Everybody that was ever heard here.
    pub fn reports(&self) -> impl Iterator<Item = (&Name, &Report)> {
        self.heard.iter().map(|(name, heard)| (name, &heard.report))
    }

    /// A server told of itself.
    pub fn told(&mut self, now: Time, record: &Record, name: &Name, life: u64, report: Report) {
        if self.heard.len() >= crate::record::MOST_SERVERS && !self.heard.contains_key(name) {
            return;
        }
        let before = self.heard.get(name);
        if before.is_some_and(|before| before.life > life) {
            return;
        }
        let unbroken = before
            .filter(|before| before.life == life && now.0.saturating_sub(before.at.0) <= self.set.fresh.0);
        let ready_since = report.ready.then(|| unbroken.and_then(|before| before.ready_since).unwrap_or(now));
        if let Some(release) = &record.release
            && self.watched == Some(release.number)
            && let Some(server) = release.servers.get(name)
        {
            let has = version_of(&report, release.plan.kind);
            let new = if *has == release.plan.version {
                Some(true)
            } else {
                (*has == server.before).then_some(false)
            };
            self.watch.told(name, life, new, &report.totals);
        }
        for (epoch, known) in &mut self.permits {
            let of = record.permits.get(epoch).map(|permit| &permit.target);
            if matches!(of, Some(Target::Server(of)) if of == name) && known.lives.len() <= MOST_LIVES {
                known.lives.insert(life);
            }
        }
        self.heard.insert(Arc::clone(name), Heard { at: now, life, report, ready_since });
    }

    fn is_fresh(&self, now: Time, heard: &Heard) -> bool {
        now.0.saturating_sub(heard.at.0) <= self.set.fresh.0
    }

    /// Servers of the roster that aren't heard to be ready.
    pub fn unplanned(&self, now: Time, record: &Record) -> BTreeSet<Name> {
        let ready = |name: &Name| {
            self.heard.get(name).is_some_and(|heard| heard.report.ready && self.is_fresh(now, heard))
        };
        record.roster.keys().filter(|name| !ready(name)).cloned().collect()
    }

    /// Whether one more may be out, by all that is known here.
    fn fits(&self, now: Time, record: &Record, target: &Target) -> Result<(), Why> {
        if self.set.plain {
            return Ok(());
        }
        record.fits(target, &self.unplanned(now, record))
    }

    fn steady(&self, now: Time, name: &Name, span: Span) -> bool {
        let heard = self.heard.get(name).filter(|heard| self.is_fresh(now, heard));
        heard.and_then(|heard| heard.ready_since).is_some_and(|since| now >= after(since, span))
    }

    fn propose(
        &mut self,
        now: Time,
        council: &mut Council,
        command: Command,
        whom: For,
    ) -> Result<u64, Refused> {
        if self.pending.len() >= MOST_PENDING {
            return Err(Refused::Busy);
        }
        self.number += 1;
        council.propose(self.number, command)?;
        self.pending.insert(self.number, Pending { at: now, whom });
        Ok(self.number)
    }

    /// Proposes what nobody waits for, unless the same is under way.
    fn once(&mut self, now: Time, council: &mut Council, key: String, command: Command) {
        if self.under_way.get(&key).is_some_and(|number| self.pending.contains_key(number)) {
            return;
        }
        if let Ok(number) = self.propose(now, council, command, For::Nobody) {
            self.under_way.insert(key, number);
        }
    }

    /// A server asks.
    pub fn ask(&mut self, now: Time, council: &mut Council, from: &Name, life: u64, ask: Ask) {
        let number = ask.number;
        let target = Target::Server(Arc::clone(from));
        let record = council.record();
        let (command, begin) = match ask.want {
            Want::Out => {
                if council.leads().is_some()
                    && let Err(why) = self.fits(now, record, &target)
                {
                    return self.answer(from, number, Answer::Wait(why));
                }
                (Command::Reserve { target, holder: Arc::clone(from), life, purpose: Purpose::Drain }, None)
            }
            Want::Begin(epoch) => {
                if council.leads().is_some()
                    && record.permits.contains_key(&epoch)
                    && let Err(why) = self.may_begin(now, record, epoch, &target)
                {
                    return self.answer(from, number, Answer::Wait(why));
                }
                (Command::Begin { epoch, holder: Arc::clone(from), life }, Some(target))
            }
            Want::Cancel(epoch) => {
                let its = record.permits.get(&epoch).is_none_or(|permit| permit.holder == *from);
                if !its {
                    return self.answer(from, number, Answer::Over);
                }
                (Command::End { epoch, by: Ends::Word(life) }, None)
            }
        };
        let whom = For::Server { name: Arc::clone(from), number, begin };
        if let Err(why) = self.propose(now, council, command, whom) {
            let leader = match why {
                Refused::Elsewhere(id) => council.record().voters.get(&id).cloned(),
                Refused::Busy | Refused::Leaderless | Refused::NoVoter => None,
            };
            self.answer(from, number, Answer::Elsewhere(leader));
        }
    }

    /// Whether a step may begin: it fits, and its release was not halted here.
    fn may_begin(&self, now: Time, record: &Record, epoch: u64, target: &Target) -> Result<(), Why> {
        if let Some(Purpose::Release(number)) = record.permits.get(&epoch).map(|permit| &permit.purpose)
            && let Some(release) = record.release.as_ref().filter(|release| release.number == *number)
            && self.is_halted(record)
        {
            return Err(Why::Release(format!("{} is ordered to halt", release.plan.name)));
        }
        self.fits(now, record, target)
    }

    /// Whether a halt was ordered here that the record doesn't know yet.
    fn is_halted(&self, record: &Record) -> bool {
        record.release.as_ref().is_some_and(|release| {
            self.halted.get(&release.plan.name).is_some_and(|halts| release.halts <= *halts)
        })
    }

    /// A halt was ordered somewhere: no further step here, agreed or not.
    pub fn halt(&mut self, record: &Record, name: &str) {
        if let Some(release) = record.release.as_ref().filter(|release| release.plan.name == name) {
            self.halted.insert(name.to_string(), release.halts);
        }
    }

    fn answer(&mut self, to: &Name, number: u64, answer: Answer) {
        self.says.push(Says::Answer(Arc::clone(to), number, answer));
    }

    /// An operator orders something; the answer comes as [`Says::Ordered`] with the ticket.
    pub fn order(&mut self, now: Time, council: &mut Council, ticket: u64, order: Order) {
        if let Order::Release(ReleaseOrder::Halt { name, .. }) = &order {
            // It takes effect here before anybody agrees.
            self.halt(council.record(), name);
        }
        if council.leads().is_none() {
            let leader = council.leader().and_then(|id| council.record().voters.get(&id).cloned());
            return self.says.push(Says::Ordered(ticket, Ordered::Elsewhere(leader)));
        }
        if let Err(why) = self.try_order(now, council, ticket, order) {
            self.says.push(Says::Ordered(ticket, Ordered::Over(Err(why))));
        }
    }

    fn try_order(
        &mut self,
        now: Time,
        council: &mut Council,
        ticket: u64,
        order: Order,
    ) -> Result<(), String> {
        let command = match order {
            Order::Out { target, by } => {
                if let Target::Server(name) = &target {
                    return Err(format!("a server asks itself: tell {name} to leave"));
                }
                self.fits(now, council.record(), &target).map_err(|why| why.to_string())?;
                Command::Reserve { target, holder: by, life: 0, purpose: Purpose::Drain }
            }
            Order::In { target, by } => {
                let (epoch, permit) =
                    council.record().permit_of(&target).ok_or_else(|| format!("{target} has no permit"))?;
                if permit.holder != by {
                    return Err(format!("the permit of {target} is {}'s", permit.holder));
                }
                Command::End { epoch, by: Ends::Word(permit.life) }
            }
            Order::Free { epoch, by, why } => Command::Free { epoch, by, why },
            Order::Strike { name, by, why } => {
                let heard = self.heard.get(&name).filter(|heard| self.is_fresh(now, heard));
                if heard.is_some() {
                    return Err(format!("{name} is there"));
                }
                self.heard.remove(&name);
                Command::Strike { name, by, why }
            }
            Order::Voter { name, puts_in, by } => {
                let text = self.change_council(council, &name, puts_in)?;
                self.says.push(Says::Note(false, format!("{by}: {text}")));
                self.says.push(Says::Ordered(ticket, Ordered::Over(Ok(text))));
                return Ok(());
            }
            Order::Start { plan, by } => {
                plan.check()?;
                let kind = plan.kind;
                let heard = council.record().roster.keys().filter_map(|name| {
                    let heard = self.heard.get(name).filter(|heard| self.is_fresh(now, heard))?;
                    Some((Arc::clone(name), heard))
                });
                let heard: Vec<(Name, &Heard)> = heard.collect();
                if kind == Kind::Settings {
                    let lacks: Vec<&str> = heard
                        .iter()
                        .filter(|(_, heard)| !heard.report.staged.contains(&plan.version))
                        .map(|(name, _)| &**name)
                        .collect();
                    if !lacks.is_empty() {
                        return Err(format!(
                            "settings {} aren't staged on {}",
                            plan.version,
                            lacks.join(", ")
                        ));
                    }
                }
                let before = heard
                    .iter()
                    .map(|(name, heard)| (Arc::clone(name), version_of(&heard.report, kind).to_string()));
                let before = before.collect();
                Command::Release(ReleaseOrder::Start { plan, by, before })
            }
            Order::Release(order) => Command::Release(order),
        };
        self.propose(now, council, command, For::Operator(ticket)).map(drop).map_err(|why| why.to_string())
    }

    fn change_council(&self, council: &mut Council, name: &Name, puts_in: bool) -> Result<String, String> {
        let record = council.record();
        let present: Vec<VoterId> =
            record.voters.iter().filter(|(_, of)| *of == name).map(|(id, _)| *id).collect();
        if !puts_in {
            let reported = self.heard.get(name).and_then(|heard| heard.report.voter);
            // Of two disks of one name the one goes that isn't there any more.
            let id = present.iter().copied().find(|id| Some(*id) != reported).or(present.first().copied());
            let id = id.ok_or_else(|| format!("{name} is no voter"))?;
            council.change(id, None).map_err(|why| why.to_string())?;
            return Ok(format!("{name} (disk {id:x}) is to be no voter any more"));
        }
        let id = self.heard.get(name).and_then(|heard| heard.report.voter);
        let id =
            id.ok_or_else(|| format!("{name} isn't heard, or its settings name no store for a council"))?;
        if present.contains(&id) {
            return Err(format!("{name} is a voter with this disk"));
        }
        council.change(id, Some(name)).map_err(|why| why.to_string())?;
        Ok(format!("{name} (disk {id:x}) is to be a voter"))
    }

    /// A proposal of this chair was applied.
    pub fn applied(&mut self, now: Time, record: &Record, number: u64, outcome: Outcome) {
        let Some(Pending { at, whom }) = self.pending.remove(&number) else { return };
        match whom {
            For::Nobody => {}
            For::Operator(ticket) => {
                let said = match outcome {
                    Outcome::Done => Ok("done".to_string()),
                    Outcome::Permit(epoch, _) => Ok(format!("permit {epoch}")),
                    Outcome::Refused(why) => Err(why.to_string()),
                    Outcome::Revision(revision) => Ok(format!("revision {revision}")),
                    Outcome::NotCommitted(why) => Err(why.to_string()),
                };
                self.says.push(Says::Ordered(ticket, Ordered::Over(said)));
            }
            For::Server { name, number, begin } => {
                let answer = match (outcome, begin) {
                    (Outcome::Refused(why), _) => Answer::Wait(why),
                    (Outcome::Permit(epoch, _), Some(target)) => {
                        let late = now.0.saturating_sub(at.0) > AGREED_WITHIN.0;
                        match self.may_begin(now, record, epoch, &target) {
                            Ok(()) if !late => Answer::Begin(epoch),
                            Ok(()) => Answer::Wait(Why::Sense("it took too long to agree; ask again".into())),
                            Err(why) => Answer::Wait(why),
                        }
                    }
                    (Outcome::Permit(epoch, _), None) => Answer::Permit(epoch),
                    (Outcome::Done | Outcome::Revision(_) | Outcome::NotCommitted(_), _) => Answer::Over,
                };
                self.answer(&name, number, answer);
            }
        }
    }

    /// Does what is due.
    pub fn step(&mut self, now: Time, council: &mut Council) {
        if now < self.next_turn {
            return;
        }
        self.next_turn = after(now, TURN);
        let term = council.leads();
        if term != self.term {
            self.begin(now, term);
        }
        // What wasn't agreed on in all this time is answered by nobody; whoever asked asks again.
        self.pending.retain(|_, pending| now < after(pending.at, Span(10_000 * MS)));
        if term.is_none() {
            return;
        }
        self.enrol(now, council);
        self.end_permits(now, council);
        self.conduct(now, council);
    }

    fn begin(&mut self, now: Time, term: Option<u64>) {
        self.term = term;
        self.permits.clear();
        self.under_way.clear();
        (self.watch, self.watched, self.whole) = (Watch::default(), None, None);
        // What was heard before counts by its age, but nobody is steady by it.
        for heard in self.heard.values_mut() {
            heard.ready_since = heard.ready_since.map(|_| now);
        }
        if term.is_some() {
            self.says.push(Says::Note(false, "this server leads the council".into()));
        }
    }

    fn enrol(&mut self, now: Time, council: &mut Council) {
        let record = council.record();
        let limits = (record.limits != self.set.limits).then(|| self.set.limits.clone());
        let news: Vec<(Name, Name)> = self
            .heard
            .iter()
            .filter(|(_, heard)| now.0.saturating_sub(heard.at.0) <= self.set.fresh.0)
            .filter(|(name, heard)| {
                record.roster.get(*name).is_none_or(|member| *member.zone != *heard.report.zone)
            })
            .map(|(name, heard)| (Arc::clone(name), Arc::from(heard.report.zone.as_str())))
            .take(16)
            .collect();
        if let Some(limits) = limits {
            self.once(now, council, "limits".into(), Command::Limits(limits));
        }
        for (name, zone) in news {
            self.once(now, council, format!("enrol {name}"), Command::Enrol { name, zone });
        }
    }

    /// How long a freed permit counts, or one whose holder is there all the while, by the slowest and the fastest clock.
    fn right_is_over(&self) -> Span {
        let (fast, slow) = (1_000_000 + self.set.drift_ppm, 1_000_000 - self.set.drift_ppm.min(999_999));
        let span = u128::from(BEGIN_WITHIN.0) * u128::from(fast) / u128::from(slow);
        Span(span as u64 + AGREED_WITHIN.0)
    }

    fn end_permits(&mut self, now: Time, council: &mut Council) {
        let record = council.record();
        self.permits.retain(|epoch, _| record.permits.contains_key(epoch));
        let mut due = Vec::new();
        for (epoch, permit) in &record.permits {
            let known = self.permits.entry(*epoch).or_insert_with(|| Known {
                stage: permit.stage.clone(),
                begins: permit.begins,
                since: now,
                first: None,
                lives: BTreeSet::new(),
                told: None,
            });
            if (&known.stage, known.begins) != (&permit.stage, permit.begins) {
                (known.stage, known.begins, known.since) = (permit.stage.clone(), permit.begins, now);
                // Its right is of the life that was heard by then, or of a later one.
                known.first = None;
            }
            let since = known.since;
            let heard = match &permit.target {
                Target::Server(name) => self.heard.get(name),
                _ => None,
            };
            if known.first.is_none() {
                known.first = heard.map(|heard| heard.life);
            }
            // A later life has none of the right that an earlier one was given.
            let anew = heard.is_some_and(|heard| known.first.is_some_and(|first| heard.life > first));
            // Nor has one that has what it was changed to.
            let changed = match (&permit.purpose, heard, &record.release) {
                (Purpose::Release(number), Some(heard), Some(release)) if release.number == *number => {
                    let name = if let Target::Server(name) = &permit.target { Some(name) } else { None };
                    let server = name.and_then(|name| release.servers.get(name));
                    server.is_some_and(|server| {
                        *version_of(&heard.report, release.plan.kind) == release.wanted(server)
                    })
                }
                _ => false,
            };
            let over = if anew || changed { now } else { after(since, self.right_is_over()) };
            match (&permit.stage, &permit.target) {
                (Stage::Freed, _) if now >= over => due.push((*epoch, Command::Gone { epoch: *epoch })),
                (Stage::Begun, Target::Server(name))
                    if now >= over && self.steady(now, name, self.set.steady) =>
                {
                    due.push((*epoch, Command::End { epoch: *epoch, by: Ends::Steady(permit.begins) }));
                }
                (Stage::Reserved, Target::Server(name))
                    if now >= after(since, UNUSED) && self.steady(now, name, UNUSED) =>
                {
                    due.push((*epoch, Command::End { epoch: *epoch, by: Ends::Steady(permit.begins) }));
                }
                _ => {}
            }
        }
        for (epoch, command) in due {
            self.once(now, council, format!("permit {epoch}"), command);
        }
    }

    // ---- the release

    fn order_release(&mut self, now: Time, council: &mut Council, key: &str, order: ReleaseOrder) {
        self.once(now, council, format!("release {key}"), Command::Release(order));
    }

    /// Halts, and goes back if the plan says so.
    fn stop(&mut self, now: Time, council: &mut Council, why: String) {
        let Some(release) = &council.record().release else { return };
        let (name, by): (String, Name) = (release.plan.name.clone(), Arc::from(COUNCIL));
        let back = release.plan.goes_back && release.state == State::Runs;
        self.says.push(Says::Note(true, format!("release {name} stops: {why}")));
        let order =
            if back { ReleaseOrder::Back { name, by, why } } else { ReleaseOrder::Halt { name, by, why } };
        self.order_release(now, council, "stop", order);
    }

    fn conduct(&mut self, now: Time, council: &mut Council) {
        let Some(release) = council.record().release.clone().filter(|release| release.is_open()) else {
            (self.watched, self.forward) = (None, None);
            return;
        };
        let number = release.number;
        if self.watched != Some(number) {
            (self.watch, self.watched, self.next_course) = (Watch::default(), Some(number), now);
        }
        if now >= self.next_course {
            self.watch.next_step();
            self.next_course = after(now, COURSE);
        }
        if matches!(release.state, State::Halted(_)) || self.is_halted(council.record()) {
            return;
        }
        let forward = release.state == State::Runs;
        if self.forward != Some(forward) {
            // What was seen of the way forward says nothing of the way back.
            for known in self.permits.values_mut() {
                known.since = now;
                known.lives.clear();
                known.told = None;
            }
            self.forward = Some(forward);
        }
        if forward {
            if let Some(worse) = self.watch.worse(release.plan.worse) {
                let name = self.set.names.get(&worse.cell).cloned();
                let name = name.unwrap_or_else(|| format!("cell {:x}", worse.cell));
                let why = format!(
                    "{name} is served to {:.3} by the new version and to {:.3} by the old, by {} tries",
                    worse.new, worse.old, worse.tries
                );
                return self.stop(now, council, why);
            }
            if let Some((before, since)) = self.watch.fleet_falls(release.plan.worse.max(0.05)) {
                let why = format!("the fleet serves {since:.3}, {before:.3} before");
                return self.stop(now, council, why);
            }
        }
        let names: Vec<Name> = release.turns().into_iter().cloned().collect();
        for name in names {
            if self.turn_of(now, council, &release, &name) {
                return;
            }
        }
        let over = if forward {
            release.servers.values().all(|server| server.step == Step::New)
        } else {
            release.servers.values().all(|server| matches!(server.step, Step::Waits | Step::Back))
        };
        if over {
            return self.order_release(now, council, "over", ReleaseOrder::Over { number });
        }
        if !forward || !release.wave_is_whole() {
            self.whole = None;
            return;
        }
        let since = *self.whole.get_or_insert(now);
        let pause = release.plan.waves.get(release.wave as usize).map_or(0, |wave| wave.pause_ms);
        if now >= after(since, Span(pause * MS)) {
            self.whole = None;
            let wave = release.wave + 1;
            self.order_release(now, council, "wave", ReleaseOrder::Wave { number, wave });
        }
    }

    /// What is due with one server of a release; whether the release stops for it.
    fn turn_of(
        &mut self,
        now: Time,
        council: &mut Council,
        release: &crate::release::Release,
        name: &Name,
    ) -> bool {
        let Some(server) = release.servers.get(name) else { return false };
        let (number, plan) = (release.number, &release.plan);
        let forward = release.state == State::Runs;
        let wanted = if forward { &plan.version } else { &server.before };
        let heard = self.heard.get(name).filter(|heard| self.is_fresh(now, heard)).cloned();
        let has = heard.as_ref().is_some_and(|heard| version_of(&heard.report, plan.kind) == wanted);
        if has && self.steady(now, name, Span(plan.steady_ms * MS)) {
            let step = if forward { Step::New } else { Step::Back };
            let server = Arc::clone(name);
            self.order_release(
                now,
                council,
                &format!("step {name}"),
                ReleaseOrder::Stepped { number, server, step },
            );
            return false;
        }
        let failed =
            heard.as_ref().and_then(|heard| heard.report.failed.clone()).filter(|(of, _)| *of == number);
        let permit = council.record().permit_of(&Target::Server(Arc::clone(name)));
        let permit = permit.map(|(epoch, permit)| (epoch, permit.clone()));
        let Some((epoch, permit)) = permit.filter(|(_, permit)| permit.purpose == Purpose::Release(number))
        else {
            // Who isn't there can't be told; who is there and doesn't fit waits.
            let target = Target::Server(Arc::clone(name));
            if heard.is_some() && self.fits(now, council.record(), &target).is_ok() {
                let (holder, purpose) = (Arc::clone(name), Purpose::Release(number));
                let life = heard.as_ref().map_or(0, |heard| heard.life);
                self.once(
                    now,
                    council,
                    format!("reserve {name}"),
                    Command::Reserve { target, holder, life, purpose },
                );
            }
            return false;
        };
        let Some(known) = self.permits.get_mut(&epoch) else { return false };
        let late = permit.stage == Stage::Begun && now >= after(known.since, Span(plan.ready_ms * MS));
        let crashes = known.lives.len() > MOST_LIVES;
        let why = match failed {
            Some((_, why)) => Some(why),
            None if permit.stage == Stage::Begun && crashes => {
                Some("its process ends again and again".into())
            }
            None if late => Some(format!("not ready within {} ms", plan.ready_ms)),
            None => None,
        };
        if let Some(why) = why {
            if self.others_are_gone(now, council.record(), name) {
                // More is lost than it: that is no fault of the version, whose time counts from when they are back.
                if let Some(known) = self.permits.get_mut(&epoch) {
                    known.since = now;
                    known.lives.clear();
                }
                return false;
            }
            let text = format!("{name}: {why}");
            let (server, step) =
                (Arc::clone(name), if forward { Step::Failed(why) } else { Step::Stuck(why) });
            self.order_release(
                now,
                council,
                &format!("step {name}"),
                ReleaseOrder::Stepped { number, server, step },
            );
            self.stop(now, council, text);
            return true;
        }
        if known.told.is_none_or(|told| now >= after(told, TELL)) && heard.is_some() && !has {
            known.told = Some(now);
            let turn = Turn { release: number, epoch, kind: plan.kind, version: wanted.clone() };
            self.says.push(Says::Turn(Arc::clone(name), turn));
        }
        false
    }

    /// Whether more is gone than one server, which nobody agreed on: all of its zone, or several of the fleet. It may have lost its
    /// power, or be cut off, with them.
    fn others_are_gone(&self, now: Time, record: &Record, name: &Name) -> bool {
        let Some(zone) = record.roster.get(name).map(|member| &member.zone) else { return false };
        let (planned, unplanned) = (record.out_by_permit(), self.unplanned(now, record));
        let others = record.roster.iter().filter(|(other, _)| *other != name && !planned.contains(*other));
        let (mut there, mut gone) = (0, 0);
        let mut all_gone = 0;
        for (other, member) in others {
            let is_gone = unplanned.contains(other);
            all_gone += usize::from(is_gone);
            if member.zone == *zone {
                (there, gone) = (there + usize::from(!is_gone), gone + usize::from(is_gone));
            }
        }
        (there == 0 && gone > 0) || all_gone >= SEVERAL.max(record.roster.len() / 100)
    }
}

/// What a server has of a kind.
pub fn version_of(report: &Report, kind: Kind) -> &String {
    match kind {
        Kind::Program => &report.program,
        Kind::Settings => &report.settings,
    }
}
