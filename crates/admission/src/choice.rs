//! Every decision of gradepin. Its interface (settings, events, actions, ids, times) is `interface.rs`.
//!
//! A request's path: `arrive` (drain, the law's random share, repeats, memory) -> the hold -> `expire` and
//! `trim` (what can't be won is turned away) -> `start` (best worth per core time, under the running limit)
//! -> `gate` (calls below, or going on without) -> `completed`. `period` samples the gauges for all of it.

use crate::interface::*;
use rand_pcg::Pcg64Mcg;
use rand_pcg::rand_core::{Rng, SeedableRng};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::Arc;

// Every constant, with unit and reason. Shares have no unit.
const PERIOD: Span = Span(100_000_000); // ns; the source's sampling period
const CP: f64 = 1.0; // per cent; the law's coefficient: 10 % at U = 0.9, all at U = 0.99
const DANGER_ZONE: f64 = 0.9; // utilization past which the law throttles, as in the source's tests
const LAW_WEIGHT: f64 = 0.3; // of a new sample in the law's exponential average: about three periods
const MEMORY_FILL: f64 = 0.96; // share of the memory that exact accounting lets things fill
const CROWD_FILL: f64 = 0.85; // share of the survivable crowd that runs, those at calls too, may reach
const PATIENCE_SPREAD: f64 = 0.01; // part of the deadline by which one habit's tries differ: the way here
const PATIENCES: usize = 8; // habits of callers told apart; a new one takes the place of the rarest
const PATIENCE_SEEN: [f64; 2] = [0.05, 0.25]; // shares of first tries: a part is no noise, all parts tell
const IDLE_LEAST: f64 = 0.1; // part of the callers' own idle time after which connections close at the least
const IDLE_STEP: f64 = 0.1; // a Period; by which that part moves: through its whole range in some 3 s
const IDLE_USE: f64 = 0.9; // share of the cores in use under which more callers are let in
const INTAKE_CROWD: f64 = 0.8; // readings and new connections a core that are too many beside the runs
const FIRST_RUN: f64 = 0.125; // share of its class's aim that a run takes, before any was seen
const RUN_WEIGHT: f64 = 0.12; // of a run in its class's estimate: a dozen replace it
const TRIM_SLACK: f64 = 0.6; // predicted sojourn over target that counts as winnable: runs differ as much
const CORES_BUSY: f64 = 0.95; // share of the cores in use under which the running limit grows
const CROWD_AIM: f64 = 1.15; // smoothed crowd per core above which the running limit shrinks
const STALL_RUNS: f64 = 5.0; // mean runs for which nothing moves on full cores: then work hangs here
const STALL_AIM: f64 = 0.5; // and at least this part of the shortest aim
const CROWDED: [f64; 2] = [0.1, 0.2]; // share of retries, or unmarked of refusals: then the fleet is full
const CALL_SLOW: f64 = 2.5; // times their floor that calls may take before fewer are made
const CALL_FLOOR_DRIFT: f64 = 1.003; // a Period; a new usual is learnt in some 20 s, calls or no calls
const CALL_RETURN: f64 = 0.03; // a Period; part of the way from a call's time back to its floor, unasked
const CALL_PACE: [f64; 2] = [0.125, 0.5]; // least and most part of a share below one call that is aimed at
const CALL_STEP: f64 = 1.1; // by which that part moves with each call, slow or not
const GATE_WAITS: f64 = 3.0; // times the mean wait so far of runs at their calls that one more will wait
const CALL_PATIENCE: f64 = 6.0; // times the mean call that a repeatable one may take
const CALL_SHORTEST: f64 = 0.25; // part of the shortest aim that any call may take
const CALL_FIRST: f64 = 0.35; // part of the shortest aim over which the first calls of a fleet are spread
const CALL_BACKOFF_S: f64 = 0.05; // s; first half wait after a failed call, doubled with each
const MEMORY_OF_COUNTS_S: f64 = 8.0; // s; time constant of what was asked and turned away
const HOLD_AIM: f64 = 0.5; // part of the shortest aim that held work may take before arrivals are shaped
const WINDOW_AIM: f64 = 0.25; // part of the shortest aim that callers' windows may fill with held work
const UNREAD_UNWELL: f64 = 0.4; // part of the shortest aim waited unread at which health goes bad
const FIRST_WAIT: f64 = 0.125; // part of the wait winnable that a first try may wait however short runs are
const SWAMP_AIM: f64 = 0.4; // part of the shortest aim for which readings may fill the cores alone
const UNREAD_WELL: f64 = 0.1; // and at which it is good again, and runs get all the cores
const UNASKED: f64 = 0.1; // requests that a class in force counts by in the mean run, asked for or not
const FORGOTTEN: f64 = 1e-18; // requests; a count below it changes no sum any more, and fades no further
const AT_REST: f64 = 4_000.0; // periods; by then an estimate is back at where it began

/// Output of the law at a utilization, in per cent of the arrivals, before the danger zone is looked at.
pub fn throttling(utilization: f64) -> f64 {
    if utilization >= 1.0 { 100.0 } else { (CP / (1.0 - utilization)).clamp(0.0, 100.0) }
}

#[derive(Debug, Clone, Copy, Default, PartialEq)]
enum State {
    #[default]
    Held,
    Joined,
    Running,
    /// Waits for a call to be made, since a time and not before another.
    Gate(Time, Time),
    /// Its call is out, since a time.
    Calling(Time),
}

#[derive(Debug, Default)]
struct Try {
    id: RequestId,
    class: usize,
    tenant: Option<usize>,
    kb: f64,
    /// Tries that its run would serve: itself and those that joined it.
    serves: f64,
    arrived: Time,
    due: Time,
    aim: Time,
    work: Option<f64>,
    retry: bool,
    state: State,
    answered: bool,
    call_s: f64,
    call_fails: u32,
}

impl Try {
    /// The memory that it takes as it stands.
    fn booked(&self, set: &Settings) -> f64 {
        self.kb
            * if matches!(self.state, State::Held | State::Joined) { 1.0 } else { set.specifics.run_factor }
    }
}

/// What is learnt of the class in a slot; `counts` is 0 where the slot is free.
#[derive(Debug, Default)]
struct Class {
    definition: Arc<ClassDefinition>,
    counts: f64,
    recent: bool,
    core_s: f64,
    lat_s: f64,
    per_work: f64,
    seen: f64,
    asked: f64,
    /// Run time taken before any was seen, and periods since the last was.
    first_s: f64,
    idle: f64,
}

impl Class {
    fn fresh(definition: Arc<ClassDefinition>) -> Self {
        let first = span_seconds(definition.profile.latency_objective) * FIRST_RUN;
        let start = Class { core_s: first, lat_s: first, first_s: first, per_work: 1.0, ..Class::default() };
        let counts = if definition.profile.name.is_empty() { 0.0 } else { UNASKED };
        Class { definition, counts, ..start }
    }
}

/// The controller of one worker.
#[derive(Debug, Default)]
pub struct Controller {
    set: Settings,
    rng: Option<Pcg64Mcg>,
    now: Time,
    born: Time,
    begun: bool,
    next_seq: u64,
    tries: BTreeMap<u64, Try>,
    seqs: BTreeMap<RequestId, u64>,
    held: Vec<u64>,
    at_gate: Vec<u64>,
    dues: BTreeSet<(Time, u64)>,
    keys: BTreeMap<RequestId, Time>,
    key_ends: BTreeSet<(Time, RequestId)>,
    on_core: usize,
    at_calls: usize,
    calls_out: usize,
    lingering: VecDeque<Time>,
    /// Calls over, by when they leave the averaging span, and their length in s; and the sum of those.
    call_log: VecDeque<(Time, f64)>,
    call_spent: f64,
    kb: f64,
    kb_unseen: f64,
    classes: Vec<Class>,
    /// By slot: quotas in requests a second, and what was asked for lately.
    tenants: Vec<(f64, f64)>,
    /// Slots seen lately, whose figures fade.
    recent_classes: Vec<usize>,
    recent_tenants: Vec<usize>,
    shortest_aim: f64,
    aims_changed: bool,
    /// Parts of their deadlines that first tries may take, and how often each was seen.
    patiences: Vec<(f64, f64)>,
    arrivals: f64,
    retries: f64,
    refusals: f64,
    limit: f64,
    crowd: f64,
    busy: f64,
    gauges: Option<Gauges>,
    output: f64,
    throttle: f64,
    call_limit: f64,
    call_s: f64,
    call_floor_s: f64,
    calls_seen: u64,
    call_failing: u32,
    /// Part of a share below one call that is aimed at, and when the next call is due for it.
    pace: f64,
    next_call: Time,
    accept: f64,
    refused_now: bool,
    /// How long requests waited unread of late, in s, and whether that made health go bad.
    unread_s: f64,
    unwell: bool,
    /// When runs last moved on or a core was free, and whether that is suspiciously long ago.
    progress: Time,
    stalled: bool,
    signalled: f64,
    /// Part of the callers' idle time in force and last told; smoothed crowd of readings and connections.
    idle_part: f64,
    idle_told: f64,
    intake: f64,
    /// Whether readings alone fill the cores.
    swamped: bool,
    next_period: Time,
    armed: Option<Time>,
    leaving: Option<(Time, Time)>,
}

impl Controller {
    /// A controller for a worker that starts now.
    pub fn new(mut set: Settings, seed: u64, now: Time) -> Self {
        set.specifics.n_cores = set.specifics.n_cores.max(1);
        let (cores, shared) = (f64::from(set.specifics.n_cores), set.specifics.below == UpstreamKind::Shared);
        let (set, classes, tenants) = set.split();
        let mut new = Self {
            rng: Some(Pcg64Mcg::seed_from_u64(seed)),
            now,
            limit: cores,
            crowd: cores,
            call_limit: if shared { (set.specifics.calls_out / 2.0).max(1.0) } else { cores },
            signalled: -1.0,
            pace: CALL_PACE[1],
            idle_part: IDLE_LEAST,
            next_period: now,
            shortest_aim: f64::INFINITY,
            set,
            ..Self::default()
        };
        new.cores_started(new.set.specifics.cold_start, now);
        classes.into_iter().enumerate().for_each(|(slot, class)| new.put_class(slot, class));
        tenants.iter().enumerate().for_each(|(slot, tenant)| new.put_tenant(slot, tenant.quota_rps, true));
        new
    }

    /// The class of a slot from now on, of no name where it is free. What was learnt goes by the name; the
    /// host gives no slot away that an open request is in.
    pub fn put_class(&mut self, slot: usize, definition: Arc<ClassDefinition>) {
        self.classes.resize_with(self.classes.len().max(slot + 1), Class::default);
        self.shortest_aim = self.shortest_aim.min(span_seconds(definition.profile.latency_objective));
        self.aims_changed = true;
        let class = &mut self.classes[slot];
        if class.definition.profile.name == definition.profile.name {
            class.definition = definition;
        } else {
            // It stays listed where the one before was, or it would be listed twice.
            *class = Class { recent: class.recent, ..Class::fresh(definition) };
        }
    }

    /// The quota of the tenant in a slot, in requests a second; another one than before begins anew.
    pub fn put_tenant(&mut self, slot: usize, quota_rps: f64, another: bool) {
        self.tenants.resize_with(self.tenants.len().max(slot + 1), Default::default);
        let asked = self.tenants[slot].1;
        self.tenants[slot] = (quota_rps, if another { asked.min(2.0 * FORGOTTEN) } else { asked });
    }

    /// The cores started then, cold or not: with the worker, or again beside one that goes on.
    pub fn cores_started(&mut self, cold: bool, at: Time) {
        (self.set.specifics.cold_start, self.born) = (cold, at);
        // Until its answers reach callers, a cold worker gets all that they think a warm one takes.
        self.accept = if cold { self.set.rules.cold_capacity } else { 1.0 };
    }

    /// All settings but classes and tenants.
    pub fn set_rest(&mut self, mut rest: Settings) {
        rest.specifics.n_cores = rest.specifics.n_cores.max(1);
        // Whether it began cold was learnt at its start, not told by the file.
        rest.specifics.cold_start = self.set.specifics.cold_start;
        // Calls are spaced by their share: one that was nothing for a moment would silence them for days.
        let same = rest.specifics.calls_out == self.set.specifics.calls_out;
        self.next_call = if same { self.next_call } else { Time(0) };
        self.set = rest;
        // Booked anew, or what ends takes off another figure than was put on, and the rest stays for good.
        let (told, gone) = (&self.set.specifics, time_after(self.now, self.set.specifics.linger));
        let tries: f64 = self.tries.values().map(|t| t.booked(&self.set)).sum();
        self.kb = tries + self.keys.len() as f64 * told.idempotency_key_kb;
        self.lingering.iter_mut().for_each(|until| *until = gone.min(*until));
        self.call_log.iter_mut().for_each(|call| call.0 = time_after(gone, told.share_span).min(call.0));
    }

    /// Takes in all events of a batch, then decides once. Events of requests it doesn't know change nothing.
    pub fn handle(&mut self, now: Time, events: &[Event], out: &mut Vec<Action>) {
        self.now = self.now.max(now);
        if !self.begun {
            // Guards against a stall seen in the first period, which took each new server off the list: its
            // clock may have started at any time, and its processor long before it.
            (self.begun, self.progress) = (true, self.now);
            out.push(Action::ReportHealth { shallow: true, active: true });
        }
        self.forget_keys();
        self.see_crowd();
        for event in events {
            let moves = matches!(event, Event::Completed { .. } | Event::UpstreamCallNeeded(_));
            // A free place is no progress while reading alone fills the cores and what it brings is lost.
            let free = self.on_core < self.set.specifics.n_cores as usize && !self.swamped;
            if moves || free {
                (self.progress, self.stalled) = (self.now, false);
            }
            match event {
                Event::Arrived(request) => self.arrive(request, out),
                Event::Completed { id, outcome, took } => self.completed(id, *outcome, *took, out),
                Event::CallerGone(id) => self.left(id, out),
                Event::UpstreamCallNeeded(id) => self.ready(id),
                Event::UpstreamCallEnded { id, outcome, took } => self.call_result(id, *outcome, *took, out),
                Event::ShutdownNotice(wait) => self.drain(*wait, out),
                Event::Timer(gauges) => self.gauges = Some(*gauges),
            }
        }
        self.expire(out);
        if self.now >= self.next_period {
            self.period(out);
        }
        self.gate(out);
        self.start(out);
        self.arm(out);
    }

    // ---- arrival

    fn arrive(&mut self, r: &Request, out: &mut Vec<Action>) {
        let class = self.classes.get_mut(r.class).filter(|class| class.counts > 0.0);
        let Some(class) = class.filter(|_| !self.seqs.contains_key(&r.id)) else { return };
        self.recent_classes.extend((!class.recent).then_some(r.class));
        (class.recent, class.idle) = (true, class.idle.min(10.0));
        let definition = Arc::clone(&class.definition);
        let profile = &definition.profile;
        let arrived = time_before(self.now, r.queued_for);
        let told = r.expires_in.map(|wait| time_after(self.now, wait));
        let due = told.unwrap_or(time_after(arrived, profile.deadline));
        let due = self.leaving.map_or(due, |(_, stop)| due.min(stop)).max(self.now);
        let stretch = r.work.map_or(0.0, |w| span_seconds(w) * profile.objective_stretch);
        let latency_objective = Span(
            profile.latency_objective.0.saturating_add(span_from_seconds(stretch).0).min(profile.deadline.0),
        );
        let patience = seconds_until(arrived, told.unwrap_or(due)) / span_seconds(profile.deadline);
        let age = span_from_seconds(span_seconds(profile.deadline) * self.age(r, patience));
        let aim = time_before(time_after(arrived, latency_objective), age).min(due);
        self.arrivals += 1.0;
        let unread = span_seconds(r.queued_for).min(span_seconds(profile.latency_objective)) - self.unread_s;
        self.unread_s += if unread > 0.0 { 0.4 } else { 0.1 } * unread;
        if r.retry {
            self.retries += 1.0;
        } else {
            self.classes[r.class].asked += 1.0;
            self.learn_patience(patience);
            if let Some(((_, asked), slot)) = r.tenant.and_then(|t| Some((self.tenants.get_mut(t)?, t))) {
                self.recent_tenants.extend((*asked <= FORGOTTEN).then_some(slot));
                *asked += 1.0;
            }
        }
        let seq = self.next_seq;
        self.next_seq += 1;
        let t = Try {
            id: r.id.clone(),
            class: r.class,
            tenant: r.tenant,
            kb: r.size_kb,
            serves: 1.0,
            arrived,
            due,
            aim,
            work: r.work.map(span_seconds),
            retry: r.retry,
            ..Try::default()
        };
        self.seqs.insert(r.id.clone(), seq);
        self.dues.insert((due, seq));
        self.held.push(seq);
        self.kb += r.size_kb;
        self.tries.insert(seq, t);
        self.admit(seq, r, out);
    }

    /// Part of the deadline gone before a retry came. Each habit of callers gives its tries a set part of it,
    /// seen again in first tries; a retry, or any try where none is marked, with another was given the rest.
    fn age(&self, r: &Request, patience: f64) -> f64 {
        let seen: f64 = self.patiences.iter().map(|(_, seen)| seen).sum();
        let near = |part: f64| (part - patience).abs() < PATIENCE_SPREAD;
        let habit = self.patiences.iter().any(|&(part, times)| near(part) && times > PATIENCE_SEEN[0] * seen);
        let old = (r.retry || !self.set.callers.marks_retries) && self.set.tier == 0;
        let again: f64 = self.patiences.iter().map(|(_, seen)| (seen - 1.0).max(0.0)).sum();
        let told = old && again > PATIENCE_SEEN[1] * (self.arrivals - self.retries) && r.expires_in.is_some();
        if told && !habit { (1.0 - patience).max(0.0) } else { 0.0 }
    }

    fn learn_patience(&mut self, patience: f64) {
        let same = |(part, _): &&mut (f64, f64)| (*part - patience).abs() < PATIENCE_SPREAD;
        match self.patiences.iter_mut().find(same) {
            Some((_, times)) => *times += 1.0,
            None => {
                self.patiences.push((patience, 1.0));
                self.patiences.sort_by(|a, b| b.1.total_cmp(&a.1));
                self.patiences.truncate(PATIENCES);
            }
        }
    }

    /// What becomes of a request that was just read.
    fn admit(&mut self, seq: u64, r: &Request, out: &mut Vec<Action>) {
        let effect = self.classes[r.class].definition.profile.effect;
        let held = |c: &Self, seq: &u64| c.tries.get(seq).is_some_and(|t| t.state == State::Held);
        let known = r.earlier.as_ref().and_then(|id| self.seqs.get(id)).copied().filter(|k| held(self, k));
        let fits = self.make_room(seq, 0.0, out);
        // Making room may have turned away the very try that this one repeats.
        let known_held = known.filter(|k| held(self, k));
        let earlier = r.earlier.as_ref().filter(|_| known == known_held);
        // Read after, but arrived before its elder: it may fall into the window of an older run.
        let swapped = known_held.is_some_and(|k| self.tries[&k].arrived > self.tries[&seq].arrived);
        if earlier.is_some() && effect != Idempotency::Idempotent && (known_held.is_none() || swapped) {
            // Repeats of what ran, or runs, are answered from it: a second run would be a second effect.
            return if fits && !swapped { self.join(seq, out) } else { self.give_up(seq, out) };
        }
        let late = self.leaving.is_some_and(|(last, _)| self.tries[&seq].arrived > last);
        // Dead on arrival, as after a long wait unread: nothing spent on it can win worth any more.
        let dead = late || !fits || self.stalled || self.density(seq) <= 0.0;
        if dead || (self.throttle > 0.0 && self.unit() * 100.0 < self.throttle) {
            // Lost before it came here, as a retry after a timeout: turning it away is no sign of too little
            // room, and a level raised for it keeps callers from cores that idle.
            let (t, told) = (&self.tries[&seq], self.refused_now);
            let cores = f64::from(self.set.specifics.n_cores);
            let free = self.busy < cores && (self.on_core as f64) < cores;
            let lost = free && seconds_until(t.arrived, t.aim) < self.classes[t.class].first_s;
            self.refuse(seq, out);
            self.refused_now = if lost { told } else { self.refused_now };
            return;
        }
        let share = self.set.specifics.fresh_for.0 > 0 && effect == Idempotency::Idempotent && !r.write;
        if earlier.is_some() && share {
            let aim = self.tries[&seq].aim;
            let first = r.earlier.as_ref().and_then(|id| self.seqs.get(id));
            if let Some(first) = first.and_then(|first| self.tries.get_mut(first)) {
                first.serves += 1.0;
                first.aim = first.aim.max(aim).min(first.due);
            }
            return self.join(seq, out);
        }
        let keep = effect == Idempotency::Keyed || (share && r.has_key);
        let room = if keep { self.set.specifics.idempotency_key_kb } else { 0.0 };
        if !self.make_room(seq, room, out) {
            return self.refuse(seq, out);
        }
        if keep {
            self.remember(seq, out);
        }
        if let (Some(first), Idempotency::Keyed) = (known_held.filter(|k| held(self, k)), effect) {
            // The repeat takes the entry over; its elder never ran, and its caller has given it up.
            let elder = self.tries[&first].id.clone();
            self.drop_key(&elder);
            self.refuse(first, out);
        }
    }

    /// Keeps a request in the table: a keyed one until its window from arrival is past, a read while fresh.
    fn remember(&mut self, seq: u64, out: &mut Vec<Action>) {
        let t = &self.tries[&seq];
        let profile = &self.classes[t.class].definition.profile;
        let until = match profile.effect {
            Idempotency::Keyed => time_after(time_after(t.arrived, profile.window), self.set.granularity),
            _ => time_after(t.aim.max(self.now), self.set.specifics.fresh_for),
        };
        let until = until.max(time_after(self.now, self.set.granularity));
        let id = t.id.clone();
        self.drop_key(&id);
        self.kb += self.set.specifics.idempotency_key_kb;
        self.keys.insert(id.clone(), until);
        self.key_ends.insert((until, id.clone()));
        out.push(Action::RetainIdempotencyKey { id, retain_for: Span(until.0 - self.now.0) });
    }

    fn drop_key(&mut self, id: &RequestId) -> bool {
        let Some(until) = self.keys.remove(id) else { return false };
        self.key_ends.remove(&(until, id.clone()));
        self.kb -= self.set.specifics.idempotency_key_kb;
        true
    }

    fn forget_keys(&mut self) {
        let gone = time_before(self.now, self.set.granularity);
        while let Some((_, id)) = self.key_ends.first().filter(|(until, _)| *until <= gone).cloned() {
            self.drop_key(&id);
        }
    }

    fn join(&mut self, seq: u64, out: &mut Vec<Action>) {
        self.held.retain(|&s| s != seq);
        if let Some(t) = self.tries.get_mut(&seq) {
            t.state = State::Joined;
            out.push(Action::JoinRun(t.id.clone()));
        }
    }

    /// Guards rule 4: gives up the least of what is held until all fits. False if the newcomer is the least.
    fn make_room(&mut self, seq: u64, more: f64, out: &mut Vec<Action>) -> bool {
        // What is held must not take the memory that it needs to run.
        let whole = self.set.specifics.memory_kb * MEMORY_FILL - self.kb_unseen;
        let starts = (self.limit - self.on_core as f64).max(1.0);
        let reserve = starts * self.tries[&seq].kb * (self.set.specifics.run_factor - 1.0);
        let room = whole - reserve.min(whole.max(0.0) / 2.0);
        while self.kb + more > room {
            let worst = self.held.iter().copied().map(|s| (self.density(s), s));
            match worst.min_by(|a, b| a.0.total_cmp(&b.0).then(b.1.cmp(&a.1))) {
                Some((_, worst)) if worst != seq => self.refuse(worst, out),
                _ => return false,
            }
        }
        true
    }

    fn unit(&mut self) -> f64 {
        (self.rng.as_mut().map_or(0, |rng| rng.next_u64()) >> 11) as f64 / (1_u64 << 53) as f64
    }

    /// Many arrivals were turned away elsewhere: the fleet is full, not this worker alone. Where no retry is
    /// marked, what this worker turns away itself stands in, and more of it must be.
    fn crowded(&self) -> bool {
        let marked = self.set.callers.marks_retries;
        let (seen, bound) = if marked { (self.retries, CROWDED[0]) } else { (self.refusals, CROWDED[1]) };
        seen > bound * self.arrivals.max(5.0)
    }

    /// Turns a held request away. Further tries only help while the fleet isn't turning many away itself.
    fn refuse(&mut self, seq: u64, out: &mut Vec<Action>) {
        let Some(t) = self.remove(seq) else { return };
        let away = self.leaving.is_some() || self.stalled;
        let last = !away && (t.retry || self.crowded() || t.aim <= self.now);
        // What another worker may still take is no sign that the fleet has too little room.
        self.refused_now |= last || away;
        self.refusals += 1.0;
        let most = self.set.limits.max_retry_after;
        // Of random length, and about one request of its caller at most, or callers leave and return in step.
        let gap = f64::from(self.set.specifics.clients_total) * MEMORY_OF_COUNTS_S / self.arrivals.max(1.0);
        let wait = self.unit() * (self.wait_s() + 4.0 * self.unread_s).min(gap);
        let wait = if away { most } else { span_from_seconds(wait).min(most) };
        let retry_after = if self.set.limits.retry_after { wait } else { Span(0) };
        if self.drop_key(&t.id) {
            out.push(Action::ReleaseIdempotencyKey(t.id.clone()));
        }
        out.push(Action::Reject { id: t.id, retry_after, last });
    }

    /// Takes a try out of all books.
    fn remove(&mut self, seq: u64) -> Option<Try> {
        let t = self.tries.remove(&seq)?;
        self.seqs.remove(&t.id);
        self.dues.remove(&(t.due, seq));
        self.kb -= t.booked(&self.set);
        match t.state {
            State::Held | State::Joined => self.held.retain(|&s| s != seq),
            State::Running => self.on_core -= 1,
            State::Gate(..) | State::Calling(_) => {
                self.at_calls -= 1;
                self.at_gate.retain(|&s| s != seq);
                if let State::Calling(since) = t.state {
                    self.call_over(since, true);
                }
            }
        }
        Some(t)
    }

    /// Answers everything whose caller stops waiting, whatever it is doing.
    fn expire(&mut self, out: &mut Vec<Action>) {
        while let Some(&(_, seq)) = self.dues.first().filter(|(due, _)| *due <= self.now) {
            self.dues.pop_first();
            match self.tries.get(&seq).map(|t| t.state) {
                Some(State::Held) => self.refuse(seq, out),
                Some(State::Joined) => self.give_up(seq, out),
                _ => self.fail(seq, out),
            }
        }
    }

    /// Ends, with an error, what may not be said never to have run.
    fn give_up(&mut self, seq: u64, out: &mut Vec<Action>) {
        if let Some(t) = self.remove(seq) {
            out.push(Action::Fail(t.id));
        }
    }

    /// Answers a running request with an error; it stays in the books until its run ends.
    fn fail(&mut self, seq: u64, out: &mut Vec<Action>) {
        if let Some(t) = self.tries.get(&seq).filter(|t| !t.answered) {
            out.push(Action::Fail(t.id.clone()));
            self.abandon(seq, out);
        }
    }

    /// Nobody waits for this run any more: stops it, unless a repeat could still be answered from it.
    fn abandon(&mut self, seq: u64, out: &mut Vec<Action>) {
        let Some(t) = self.tries.get_mut(&seq) else { return };
        t.answered = true;
        self.at_gate.retain(|&s| s != seq);
        self.dues.remove(&(t.due, seq));
        let safe =
            self.classes[t.class].definition.profile.effect == Idempotency::Idempotent && t.serves <= 1.0;
        if safe && self.set.specifics.stop_mode != StopMode::Off && t.state == State::Running {
            out.push(Action::StopRun(t.id.clone()));
        }
    }

    fn left(&mut self, id: &RequestId, out: &mut Vec<Action>) {
        let Some(&seq) = self.seqs.get(id) else { return };
        if !matches!(self.tries[&seq].state, State::Held | State::Joined) {
            return self.abandon(seq, out);
        }
        let held = self.remove(seq).is_some_and(|t| t.state == State::Held);
        if held && self.drop_key(id) {
            out.push(Action::ReleaseIdempotencyKey(id.clone()));
        }
    }

    fn completed(&mut self, id: &RequestId, outcome: Outcome, took: Span, out: &mut Vec<Action>) {
        let Some(&seq) = self.seqs.get(id) else { return };
        if self.tries[&seq].state == State::Held {
            return;
        }
        let Some(t) = self.remove(seq) else { return };
        if outcome == Outcome::Stopped && !t.answered {
            out.push(Action::Fail(t.id.clone()));
        }
        if outcome != Outcome::Success || t.state == State::Joined {
            return;
        }
        let class = &mut self.classes[t.class];
        let core = (span_seconds(took) - t.call_s).max(1e-4);
        (class.seen, class.idle) = (class.seen + 1.0, 0.0);
        let w = RUN_WEIGHT.max(1.0 / class.seen);
        class.core_s += w * (core - class.core_s);
        class.lat_s += w * (span_seconds(took) - class.lat_s);
        if let Some(work) = t.work.filter(|&work| work > 0.0) {
            class.per_work += w * ((core / work).min(100.0) - class.per_work);
        }
    }

    // ---- calls

    fn skip_weight(&self, class: usize) -> f64 {
        self.classes[class].definition.skip_weight
    }

    fn ready(&mut self, id: &RequestId) {
        let Some(&seq) = self.seqs.get(id) else { return };
        let Some(t) = self.tries.get_mut(&seq).filter(|t| t.state == State::Running) else { return };
        t.state = State::Gate(self.now, self.now);
        self.on_core -= 1;
        self.at_calls += 1;
        if !t.answered {
            self.at_gate.push(seq);
        }
    }

    fn call_result(&mut self, id: &RequestId, outcome: Outcome, took: Span, out: &mut Vec<Action>) {
        let Some(&seq) = self.seqs.get(id) else { return };
        let Some(State::Calling(since)) = self.tries.get(&seq).map(|t| t.state) else { return };
        self.call_over(since, matches!(outcome, Outcome::TimedOut | Outcome::Aborted));
        let Some(t) = self.tries.get_mut(&seq) else { return };
        t.call_s += seconds_until(since, self.now).max(0.0);
        if outcome == Outcome::Success {
            t.state = State::Running;
            t.call_fails = 0;
            self.at_calls -= 1;
            self.on_core += 1;
            self.call_failing = 0;
            self.learn_call(span_seconds(took));
            return;
        }
        self.call_failing += 1;
        self.call_limit = (self.call_limit * 0.8).max(1.0);
        t.call_fails += 1;
        let wait = span_from_seconds(CALL_BACKOFF_S * f64::from(1_u32 << t.call_fails.min(6)));
        t.state = State::Gate(self.now, time_after(self.now, wait));
        if t.answered {
            return;
        }
        let class = t.class;
        let never_ran = matches!(outcome, Outcome::Rejected | Outcome::ConnectFailed);
        if never_ran || self.classes[class].definition.profile.effect == Idempotency::Idempotent {
            self.at_gate.push(seq);
        } else if self.skip_weight(class) > 0.0 {
            self.degrade(seq, out);
        } else {
            self.fail(seq, out);
        }
    }

    /// A call is over. One given up stays in the dependency's hands for a while, which counts as long.
    fn call_over(&mut self, since: Time, given_up: bool) {
        let linger = if given_up { self.set.specifics.linger } else { Span(0) };
        let (gone, took) =
            (time_after(self.now, linger), seconds_until(since, self.now) + span_seconds(linger));
        self.calls_out -= 1;
        self.lingering.extend(given_up.then_some(gone));
        self.call_log.push_back((time_after(gone, self.set.specifics.share_span), took));
        self.call_spent += took;
    }

    /// Calls in hand grow while calls take about their floor and shrink when they slow down.
    fn learn_call(&mut self, took: f64) {
        self.call_s = if self.call_s == 0.0 { took } else { self.call_s + 0.2 * (took - self.call_s) };
        // The floor of the mean, not of single calls: those differ by far more than crowding slows them.
        self.calls_seen += 1;
        if self.calls_seen == 1 && self.small_share() {
            // Now that a length is known, the next one is spaced by it.
            let gap = took / (self.set.specifics.calls_out * self.pace).max(1e-6);
            self.next_call = time_after(self.now, span_from_seconds(gap * self.unit()));
        }
        let floor = if self.calls_seen > 10 { self.call_floor_s } else { self.call_s };
        self.call_floor_s = floor.min(self.call_s).max(1e-4);
        let slow = self.call_s > CALL_SLOW * self.call_floor_s;
        self.pace =
            (self.pace * if slow { 1.0 / CALL_STEP } else { CALL_STEP }).clamp(CALL_PACE[0], CALL_PACE[1]);
        let limit = self.call_limit + if slow { -0.1 } else { 0.2 };
        self.call_limit = limit.clamp((self.call_cap() / 4.0).max(1.0), self.call_cap());
    }

    /// Whether the told share is below one call, so that a mean over its span is kept, by pacing.
    fn small_share(&self) -> bool {
        self.set.specifics.below == UpstreamKind::Shared && self.set.specifics.calls_out < 1.0
    }

    /// Most calls in hand: the told share, or for a tier of servers the crowd that may run here.
    fn call_cap(&self) -> f64 {
        let shared = self.set.specifics.below == UpstreamKind::Shared;
        if shared { self.set.specifics.calls_out.max(1.0) } else { self.crowd }
    }

    fn degrade(&mut self, seq: u64, out: &mut Vec<Action>) {
        let Some(t) = self.tries.get_mut(&seq) else { return };
        t.state = State::Running;
        self.at_calls -= 1;
        self.on_core += 1;
        out.push(Action::SkipUpstreamCall(t.id.clone()));
    }

    /// Makes the calls that may be made, best worth first; goes on without where waiting would cost the aim.
    fn gate(&mut self, out: &mut Vec<Action>) {
        self.lingering.retain(|&until| until > self.now);
        while self.call_log.front().is_some_and(|&(until, _)| until <= self.now) {
            self.call_spent -= self.call_log.pop_front().map_or(0.0, |(_, took)| took);
        }
        let dice = self.unit();
        let mut waiting: Vec<(f64, u64)> = self.at_gate.iter().map(|&s| (self.density(s), s)).collect();
        waiting.sort_by(|a, b| b.0.total_cmp(&a.0).then(a.1.cmp(&b.1)));
        for (place, (_, seq)) in waiting.into_iter().enumerate() {
            let t = &self.tries[&seq];
            let State::Gate(since, not_before) = t.state else { continue };
            let class = &self.classes[t.class];
            let aim_left = seconds_until(self.now, t.aim) - class.core_s * 0.5;
            let skip = self.skip_weight(t.class) > 0.0;
            let turn = 1.0 + place as f64 / self.call_limit;
            let (waited, down) = (seconds_until(since, self.now), self.call_failing >= 3 && t.call_fails > 0);
            if skip
                && (down || (aim_left < turn * self.call_s * 1.2 && (aim_left > 0.0 || waited > self.call_s)))
            {
                self.at_gate.retain(|&s| s != seq);
                self.degrade(seq, out);
                continue;
            }
            let share = self.set.specifics.calls_out;
            // The told share rounds down: 1.2 lets one call out, or a full fleet would pass what is survived.
            let room = (self.calls_out + self.lingering.len() + 1) as f64 <= self.call_limit.max(1.0);
            // Below a share of one call, the mean over the span is kept by what calls may still take in it.
            let (small, linger) = (self.small_share(), span_seconds(self.set.specifics.linger));
            let budget = span_seconds(self.set.specifics.share_span) * share;
            let longest = (budget / 2.0 - linger).max(budget / 8.0);
            let cost = longest + linger;
            // Before any came back, one may take the longest it may, always where that is over the budget;
            // the first ones of all who hear of a dependency's start are spread, or they come together.
            let (unknown, tiny) = (small && self.calls_seen == 0, small && cost > budget);
            let usual = if unknown || tiny { cost } else { self.call_s };
            let gap = usual / (share * if unknown && !tiny { 1.0 } else { self.pace }).max(1e-6);
            if unknown && self.next_call == Time(0) {
                let first = if tiny { gap } else { CALL_FIRST * self.shortest_aim };
                self.next_call = time_after(self.now, span_from_seconds(first * dice));
            }
            if small && self.call_spent > (budget - cost).min(budget / 2.0).max(1e-6) {
                // One more given up must fit. At random, or all call together once their budgets are back.
                self.next_call = time_after(self.now, span_from_seconds(gap * dice));
            }
            let paced = small && self.now < self.next_call;
            if !room || not_before > self.now || paced {
                continue;
            }
            let mut timeout = seconds_until(self.now, t.due).max(span_seconds(self.set.granularity));
            if self.classes[t.class].definition.profile.effect == Idempotency::Idempotent
                && self.calls_seen > 10
            {
                // A call may be lost on its way: what is safe to repeat doesn't wait for it to the end.
                let heavy =
                    (self.core_s(t) / class.core_s).max(1.0) * f64::from(1 << (2 * t.call_fails).min(16));
                let usual = (CALL_PATIENCE * self.call_s).max(CALL_SHORTEST * self.shortest_aim);
                timeout = timeout.min(usual * heavy);
            }
            if small {
                timeout = timeout.min(longest);
            }
            self.at_gate.retain(|&s| s != seq);
            self.calls_out += 1;
            // Spaced by what a call takes, and at random: a budget spent at once leaves all silent together.
            self.next_call = time_after(self.now, span_from_seconds(gap * (0.5 + dice)));
            let Some(t) = self.tries.get_mut(&seq) else { continue };
            t.call_s += waited;
            t.state = State::Calling(self.now);
            out.push(Action::CallUpstream { id: t.id.clone(), timeout: span_from_seconds(timeout) });
        }
    }

    fn core_s(&self, t: &Try) -> f64 {
        let class = &self.classes[t.class];
        match t.work {
            Some(work) if class.seen > 0.0 => {
                (work * class.per_work).clamp(class.core_s * 0.1, class.core_s * 10.0)
            }
            _ => class.core_s,
        }
    }

    /// Seconds until a run of this class that can't go on without its call gets a turn at the calls, as those
    /// that wait there tell. Where several calls may be out at once, the longest waiting are the passed over.
    fn gate_s(&self, class: usize) -> f64 {
        let (told, now) = (&self.set.specifics, self.now);
        let calls = self.classes[class].definition.calls && told.calls_out < 1.0;
        if !calls || self.skip_weight(class) > 0.0 || told.below != UpstreamKind::Shared {
            return 0.0;
        }
        let waited =
            |s| if let State::Gate(since, _) = self.tries[s].state { seconds_until(since, now) } else { 0.0 };
        GATE_WAITS * self.at_gate.iter().map(waited).sum::<f64>() / (self.at_gate.len() as f64).max(1.0)
    }

    /// Worth still winnable per core time.
    fn density(&self, seq: u64) -> f64 {
        let t = &self.tries[&seq];
        let class = &self.classes[t.class];
        let profile = &class.definition.profile;
        let cost = self.core_s(t);
        let wait = class.lat_s.min(class.lat_s - class.core_s + cost) + self.gate_s(t.class);
        let part = match (seconds_until(self.now, t.aim), seconds_until(self.now, t.due)) {
            (aim, _) if aim >= wait => 1.0,
            (_, due) if due >= wait => profile.late_value,
            _ => 0.0,
        };
        let cost = if self.set.weight_basis == WeightBasis::Work { 1.0 } else { cost.max(1e-4) };
        part * t.serves * profile.priority_weight * self.tenant_factor(t.tenant) / cost
    }

    /// What a tenant sends over its local share is worth little, and nothing marks it: the mean counts.
    fn tenant_factor(&self, tenant: Option<usize>) -> f64 {
        let Some(&(quota, asked)) = tenant.and_then(|slot| self.tenants.get(slot)) else { return 1.0 };
        let mine = quota / f64::from(self.set.servers.max(1)) * MEMORY_OF_COUNTS_S;
        if self.set.tier > 0 || quota <= 0.0 || asked <= mine {
            return 1.0;
        }
        let inside = mine / asked;
        inside + (1.0 - inside) * self.set.over_quota_weight
    }

    /// Seconds that all held work would take.
    fn wait_s(&self) -> f64 {
        let work: f64 = self.held.iter().map(|s| self.core_s(&self.tries[s])).sum();
        work / self.limit.max(1.0)
    }

    /// The sojourn bound: a held request is given up once it waited, or is bound to wait, past its aim less
    /// its class's base latency. Guards against cores spent on what comes too late, whatever filled the hold.
    fn trim(&mut self, out: &mut Vec<Action>) {
        let mut line: Vec<(f64, u64)> = self.held.iter().map(|&s| (self.density(s), s)).collect();
        line.sort_by(|a, b| b.0.total_cmp(&a.0).then(a.1.cmp(&b.1)));
        let mut ahead = 0.0;
        for (_, seq) in line {
            let Some(t) = self.tries.get(&seq) else { continue };
            let (class, profile) = (&self.classes[t.class], &self.classes[t.class].definition.profile);
            let cost = self.core_s(t);
            let base = class.lat_s.min(class.lat_s - class.core_s + cost) + self.gate_s(t.class);
            let target = seconds_until(self.now, t.aim) - base;
            let late = profile.late_value > 0.0 && seconds_until(self.now, t.due) > base;
            let hopeless = target < 0.0 && !(late && self.held.len() as f64 <= self.limit);
            let starts_in = ahead / self.limit.max(1.0);
            // A first try may wait a mean run of its class, or as much of its aim as costs nothing,
            // while another box has time for it; a retry more.
            let first = self.set.callers.marks_retries && !t.retry && !self.crowded();
            let bound = target * TRIM_SLACK;
            let bound = if first { bound.min(class.core_s.max(FIRST_WAIT * target)) } else { bound };
            // On a warm server a guess turns nobody away before a run took longer than it.
            let guess = class.seen == 0.0 && !self.set.specifics.cold_start;
            let starts_in =
                if guess && seconds_until(self.progress, self.now) < cost { 0.0 } else { starts_in };
            if self.stalled || hopeless || (target >= 0.0 && starts_in > bound) {
                self.refuse(seq, out);
            } else {
                ahead += cost;
            }
        }
    }

    /// Starts the best of what is held while the running limit, the crowd and the memory allow.
    fn start(&mut self, out: &mut Vec<Action>) {
        while !self.held.is_empty() && (self.on_core as f64) + 1.0 <= self.limit.floor() {
            if (self.on_core + self.at_calls) as f64 + 1.0 > self.crowd.floor().max(1.0) {
                break;
            }
            let held = self.held.iter().map(|&s| (self.density(s), s));
            let best = held.max_by(|a, b| a.0.total_cmp(&b.0).then(b.1.cmp(&a.1)));
            let Some((_, seq)) = best.filter(|&(priority_weight, _)| priority_weight > 0.0) else { break };
            let extra = self.tries[&seq].kb * (self.set.specifics.run_factor - 1.0);
            let room = self.set.specifics.memory_kb * MEMORY_FILL - self.kb - self.kb_unseen;
            if extra > room {
                break;
            }
            self.held.retain(|&s| s != seq);
            self.kb += extra;
            self.on_core += 1;
            if let Some(t) = self.tries.get_mut(&seq) {
                t.state = State::Running;
                out.push(Action::Run(t.id.clone()));
            }
        }
    }

    /// The crowd survived: less while cold, by the slowest warming the settings allow.
    fn see_crowd(&mut self) {
        let rules = &self.set.rules;
        let warm = (seconds_until(self.born, self.now) / span_seconds(rules.cold).max(1e-9)).clamp(0.0, 1.0);
        let warm = if self.set.specifics.cold_start { warm } else { 1.0 };
        let share = rules.cold_capacity + (1.0 - rules.cold_capacity) * warm;
        let survived =
            f64::from(self.set.specifics.n_cores) * (1.0 + (rules.max_concurrency_per_core - 1.0) * share);
        self.crowd = (survived * CROWD_FILL).max(1.0);
    }

    fn period(&mut self, out: &mut Vec<Action>) {
        self.next_period = time_after(self.now, PERIOD);
        let gauges = self.gauges.take().unwrap_or_default();
        if std::mem::take(&mut self.aims_changed) {
            let aims =
                self.classes.iter().map(|class| span_seconds(class.definition.profile.latency_objective));
            self.shortest_aim = aims.fold(f64::INFINITY, f64::min);
        }
        self.law(&gauges, out);
        self.adapt_limit(&gauges);
        // The way back: while calls look too slow to make, none comes back to say that they no longer are.
        self.call_s -= CALL_RETURN * (self.call_s - self.call_floor_s).max(0.0);
        self.call_floor_s *= CALL_FLOOR_DRIFT;
        let keep = (-span_seconds(PERIOD) / MEMORY_OF_COUNTS_S).exp();
        [&mut self.arrivals, &mut self.retries, &mut self.refusals].into_iter().for_each(|n| *n *= keep);
        let (classes, tenants) = (&mut self.classes, &mut self.tenants);
        self.recent_classes.retain(|&slot| {
            let class = &mut classes[slot];
            class.asked *= keep;
            // The way back for an estimate so long that nothing is started to correct it.
            class.idle += 1.0;
            if class.idle > 10.0 {
                class.core_s -= 0.03 * (class.core_s - class.first_s).max(0.0);
                class.lat_s -= 0.03 * (class.lat_s - class.first_s).max(0.0);
            }
            class.recent = class.asked > FORGOTTEN || class.idle < AT_REST;
            class.recent
        });
        self.recent_tenants.retain(|&slot| {
            tenants[slot].1 *= keep;
            tenants[slot].1 > FORGOTTEN
        });
        self.patiences.iter_mut().for_each(|(_, times)| *times *= keep);
        let mean = self.mean_run();
        let usual = (STALL_RUNS * mean).max(STALL_AIM * self.shortest_aim);
        let usual = if self.swamped { usual.min(SWAMP_AIM * self.shortest_aim) } else { usual };
        self.stalled = seconds_until(self.progress, self.now) > usual;
        self.trim(out);
        self.shape_connections(&gauges, out);
        self.advise(mean, out);
    }

    /// The design's law: past the danger zone, Output per cent of the arrivals are refused before being held.
    fn law(&mut self, gauges: &Gauges, out: &mut Vec<Action>) {
        let own = self.kb / self.set.specifics.memory_kb;
        let utilization = gauges.memory_utilization.unwrap_or(own);
        let unseen = ((utilization - own) * self.set.specifics.memory_kb).max(0.0);
        self.kb_unseen = if unseen > self.kb_unseen { unseen } else { self.kb_unseen * 0.9 };
        self.output += LAW_WEIGHT * (throttling(utilization) - self.output);
        let throttle = if utilization > DANGER_ZONE { self.output } else { 0.0 };
        if throttle > 0.0 && self.throttle == 0.0 {
            out.push(Action::Log(format!("danger zone: utilization {utilization:.2}")));
        }
        self.throttle = throttle;
    }

    /// The running limit grows while cores idle and work is held, and shrinks while the cores are crowded.
    fn adapt_limit(&mut self, gauges: &Gauges) {
        let cores = f64::from(self.set.specifics.n_cores);
        let now = gauges.runnable.unwrap_or(self.on_core as f64);
        self.busy += 0.3 * (now - self.busy);
        let used = gauges.cpu_utilization.unwrap_or(now / cores);
        if used < CORES_BUSY && now < cores * CROWD_AIM && !self.held.is_empty() {
            self.limit += 0.5;
        } else if self.busy > cores * CROWD_AIM {
            self.limit -= 0.25;
        }
        // The floor gives way while requests wait unread: runs and readings crowd each other.
        let unread = self.unread_s / self.shortest_aim;
        let floor = cores * (1.0 - (unread - UNREAD_WELL) / (UNREAD_UNWELL - UNREAD_WELL)).clamp(0.0, 1.0);
        self.limit = self.limit.clamp(floor.min(self.crowd), self.crowd.max(1.0));
    }

    /// Open connections cost core time and places in a table whose size isn't told, new ones cost work. While
    /// cores idle, rare callers give their places back for others; while work is turned away beside a crowd
    /// of readings and new connections, they keep them: callers that find no place cost nothing here.
    fn shape_connections(&mut self, gauges: &Gauges, out: &mut Vec<Action>) {
        let cores = f64::from(self.set.specifics.n_cores);
        let beside = gauges.runnable.map_or(0.0, |now| now - self.on_core as f64);
        self.intake += 0.1 * (beside - self.intake);
        let idle = gauges.cpu_utilization.is_some_and(|used| used < IDLE_USE);
        self.swamped = !idle && beside >= cores && self.held.is_empty();
        let swamped = !idle && self.refused_now && self.intake > INTAKE_CROWD * cores;
        let step = IDLE_STEP * (f64::from(u8::from(swamped)) - f64::from(u8::from(idle)));
        self.idle_part = (self.idle_part * (1.0 + step)).clamp(IDLE_LEAST, 1.0);
        if (self.idle_part - self.idle_told).abs() > IDLE_STEP * self.idle_told {
            self.idle_told = self.idle_part;
            out.push(Action::SetIdleTimeout(span_from_seconds(
                span_seconds(self.set.specifics.idle) * self.idle_part,
            )));
        }
    }

    fn mean_run(&self) -> f64 {
        let asked: f64 = self.classes.iter().map(|c| c.asked + c.counts).sum();
        self.classes.iter().map(|c| c.core_s * (c.asked + c.counts) / asked).sum()
    }

    /// Tells callers early what this worker has room for.
    fn advise(&mut self, mean: f64, out: &mut Vec<Action>) {
        let latency_objective = self.shortest_aim;
        let fill = self.wait_s() / (HOLD_AIM * latency_objective);
        if self.refused_now || fill > 1.0 {
            self.accept = (self.accept * 0.95).max(0.05);
        } else if fill < 0.5 {
            self.accept = (self.accept + 0.02).min(1.0);
        }
        self.refused_now = false;
        // Requests waiting unread starve the runs, then answers come too late for callers to hear any advice:
        // say less early, and call checkers off. Catches whatever swamps the reading; resets as it drains.
        self.unread_s *= 0.98;
        let unread = self.unread_s / latency_objective;
        // Where the list follows health, many boxes late at once would empty it: there only a stall counts.
        let late = unread > if self.unwell { UNREAD_WELL } else { UNREAD_UNWELL };
        let unwell = self.stalled || (late && !self.set.specifics.endpoint_list_follows_health);
        if unwell != self.unwell && self.leaving.is_none() {
            self.unwell = unwell;
            out.push(Action::ReportHealth { shallow: true, active: !unwell });
        }
        // Reading itself takes a while: up to the part at which all is well, nothing waits for the runs.
        let read = (1.0 - (unread - UNREAD_WELL) / (UNREAD_UNWELL - UNREAD_WELL)).clamp(0.05, 1.0);
        let open = if self.leaving.is_some() || self.stalled { 0.0 } else { read };
        let room = open * self.limit * (1.0 + WINDOW_AIM * latency_objective / mean.max(1e-3));
        let value = match self.set.specifics.advert {
            CapacitySignal::Off => return,
            CapacitySignal::ConcurrencyWindow => room / f64::from(self.set.specifics.clients_total.max(1)),
            CapacitySignal::AcceptanceProbability => open * self.accept,
            CapacitySignal::PrecedenceThreshold => 1.0 - open * self.accept,
        };
        if (value - self.signalled).abs() > 0.1 * self.signalled.abs() {
            self.signalled = value;
            out.push(Action::AdvertiseCapacity((value * 1e6).round() / 1e6));
        }
    }

    fn drain(&mut self, wait: Span, out: &mut Vec<Action>) {
        if self.leaving.is_some() {
            return;
        }
        let last = time_after(self.now, self.set.rules.drain_grace);
        let margin = Span(self.set.granularity.0.saturating_mul(4).min(wait.0 / 4));
        let stop = time_before(time_after(self.now, wait), margin);
        self.leaving = Some((last, stop));
        out.push(Action::ReportHealth { shallow: true, active: false });
        out.push(Action::Log(format!("draining, stop in {:.1} s", span_seconds(wait))));
        let later: Vec<(Time, u64)> = self.dues.iter().copied().filter(|&(due, _)| due > stop).collect();
        for (due, seq) in later {
            self.dues.remove(&(due, seq));
            self.dues.insert((stop, seq));
            self.tries.entry(seq).and_modify(|t| t.due = stop);
        }
    }

    /// One timer, at the next due time or the next period, whichever comes first.
    fn arm(&mut self, out: &mut Vec<Action>) {
        let due = self.dues.first().map_or(self.next_period, |&(due, _)| due.min(self.next_period));
        let paced = !self.at_gate.is_empty() && self.next_call > self.now;
        let due = if paced { due.min(self.next_call) } else { due };
        let due = due.max(time_after(self.now, Span(1)));
        if self.armed.is_none_or(|armed| armed <= self.now || due < armed) {
            self.armed = Some(due);
            out.push(Action::SetTimer(due));
        }
    }
}
