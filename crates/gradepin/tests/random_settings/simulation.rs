//! Simulation of one server: its reducer with stand-ins for clients and processor, in virtual time. Checks the
//! invariants of every request: exactly one answer, by its deadline, and at the processor its own body under its own
//! class.

use gradepin_admission::{Idempotency, Outcome, RequestId, Span, Time};
use gradepin_core::buffer_pool::BufferPool;
use gradepin_core::config::Config;
use gradepin_core::messages::{ClientRequest, Effect, Input, Receipt, RunEnd, UpstreamCallId};
use gradepin_core::reducer::Reducer;
use gradepin_core::registration::Registration;
use gradepin_core::response::Response;
use gradepin_core::timestamp::Timestamp;
use gradepin_node::frontend::thrift::codec;
use gradepin_node::settings::ActiveSettings;
use rand_pcg::Pcg64Mcg;
use rand_pcg::rand_core::{Rng, SeedableRng};
use serde_json::Value;
use std::collections::{BTreeMap, HashMap, HashSet};
use std::sync::Arc;

const MS: u64 = 1_000_000;
/// Unix time at the start, in ms.
const UNIX_MS: u64 = 1_764_576_000_000;
/// Tolerated delay of an answer after its deadline: the configured answer slack on sockets, and a timer that waits
/// for gauges.
const SLACK_MS: u64 = 100;
/// Bounds on the steps without input, at one instant and within one second, that an idle server never reaches.
const MAX_STEPS_AT_ONE_INSTANT: u32 = 2_000;
const MAX_STEPS_PER_SECOND: u32 = 20_000;
const MAX_CONNECTIONS: u64 = 6;

/// An attempt as it was sent.
struct SentRequest {
    class: String,
    body: Vec<u8>,
    token: Option<Arc<str>>,
    conn: u64,
    seq: i32,
    t0: u64,
    due_ms: u64,
    /// True while the caller waits; an answer that crosses a cancel is tolerated.
    owed: bool,
    answered: bool,
    running: bool,
}

/// A keyed run, under the class definition it began with.
struct KeyedRun {
    id: RequestId,
    class: String,
    token: Arc<str>,
    t0: u64,
    window_ms: u64,
}

pub struct Simulation {
    reducer: Reducer,
    names: ActiveSettings,
    classes: Vec<String>,
    tenants: Vec<String>,
    pool: Arc<BufferPool>,
    now: u64,
    rng: Pcg64Mcg,
    inputs: Vec<Input>,
    sent: BTreeMap<RequestId, SentRequest>,
    of_seq: HashMap<(u64, i32), RequestId>,
    open: HashSet<u64>,
    next_conn: u64,
    next_seq: i32,
    running: Vec<RequestId>,
    keyed_runs: Vec<KeyedRun>,
    calls: Vec<(RequestId, UpstreamCallId)>,
    notice: u64,
    link: u64,
    mute: bool,
    reloading: bool,
    left: bool,
    /// Runs begun and results served, which show whether the simulation did anything.
    counts: [u64; 2],
    /// Consecutive steps without input at this instant.
    idle_steps: u32,
    /// The current second, and the steps in it so far.
    second: (u64, u32),
}

impl Simulation {
    /// Serves with the first configuration, reloads to each of the others and drains; returns the number of runs
    /// begun and of results served.
    pub fn play(configs: &[Value], seed: u64) -> [u64; 2] {
        let parsed = |value: &Value| Config::parse(&value.to_string()).expect("a valid configuration");
        let mut simulation = Self::new(parsed(&configs[0]), seed);
        // The processor may appear much later, after a reload.
        if simulation.random_below(3) == 0 {
            simulation.traffic(200);
            if let Some(config) = configs.get(1) {
                simulation.reload(parsed(config));
                simulation.traffic(50);
            }
        }
        simulation.link_up();
        simulation.traffic(1_500);
        for config in &configs[1..] {
            simulation.reload(parsed(config));
            let ms = [0, 30, 1_500, 4_000][simulation.random_below(4) as usize];
            simulation.traffic(ms);
        }
        simulation.drain();
        simulation.counts
    }

    fn new(config: Config, seed: u64) -> Self {
        let settings = Arc::new(config.settings.clone());
        let mut simulation = Self {
            names: ActiveSettings::new(&settings),
            classes: Vec::new(),
            tenants: Vec::new(),
            reducer: Reducer::new(&config, settings, Registration::default()).expect("a valid configuration"),
            pool: BufferPool::new(64),
            now: 1_000_000 * MS,
            rng: Pcg64Mcg::seed_from_u64(seed),
            inputs: Vec::new(),
            sent: BTreeMap::new(),
            of_seq: HashMap::new(),
            open: HashSet::new(),
            next_conn: 0,
            next_seq: 0,
            running: Vec::new(),
            keyed_runs: Vec::new(),
            calls: Vec::new(),
            notice: 0,
            link: 0,
            mute: false,
            reloading: false,
            left: false,
            counts: [0, 0],
            idle_steps: 0,
            second: (0, 0),
        };
        simulation.learn_names(&config);
        simulation
    }

    fn learn_names(&mut self, config: &Config) {
        // Clients keep using some of the old names for a while.
        self.classes.truncate(2);
        self.tenants.truncate(2);
        self.classes.extend(config.settings.profiles.iter().map(|class| class.name.clone()));
        self.tenants.extend(config.settings.tenants.iter().map(|tenant| tenant.name.clone()));
    }

    fn random_below(&mut self, bound: u64) -> u64 {
        self.rng.next_u64() % bound.max(1)
    }

    fn unix_ms(&self) -> u64 {
        UNIX_MS + self.now / MS
    }

    fn step(&mut self) {
        let inputs = std::mem::take(&mut self.inputs);
        self.idle_steps = if inputs.is_empty() { self.idle_steps + 1 } else { 0 };
        assert!(
            self.idle_steps < MAX_STEPS_AT_ONE_INSTANT,
            "the reducer requests steps endlessly at one instant"
        );
        let second = self.now / (1_000 * MS);
        self.second = if self.second.0 == second { (second, self.second.1 + 1) } else { (second, 0) };
        assert!(self.second.1 < MAX_STEPS_PER_SECOND, "the reducer requests too many steps per second");
        let moment = Timestamp { now: Time(self.now), unix_ms: self.unix_ms() };
        let mut effects = Vec::new();
        self.reducer.step(moment, inputs, &mut effects);
        effects.into_iter().for_each(|effect| self.apply_effect(effect));
        self.check_deadlines();
    }

    /// Advances the clock to `until`, with a step whenever the reducer requests one.
    fn advance(&mut self, until: u64) {
        loop {
            if self.inputs.is_empty() {
                let wake = self.reducer.wake_at().map_or(u64::MAX, |at| at.0).max(self.now);
                if wake > until {
                    self.now = until;
                    return;
                }
                if wake > self.now {
                    (self.now, self.idle_steps) = (wake, 0);
                }
            }
            self.step();
        }
    }

    fn check_deadlines(&self) {
        let now = self.unix_ms();
        for (id, sent) in &self.sent {
            let (id, class) = (&id.0, &sent.class);
            assert!(
                !sent.owed || now <= sent.due_ms + SLACK_MS,
                "{id} of {class:?} got no answer by its deadline"
            );
        }
    }

    fn apply_effect(&mut self, effect: Effect) {
        match effect {
            Effect::Respond { connection: conn, sequence: seq, response: answer, capacity_hint: hint } => {
                assert!(
                    hint.is_none_or(|hint| hint.is_finite() && hint >= 0.0),
                    "invalid capacity hint {hint:?}"
                );
                assert!(
                    codec::encode(seq, &answer, hint, &self.pool).is_some(),
                    "an answer that doesn't fit a frame"
                );
                let Some(id) = self.of_seq.get(&(conn, seq)) else {
                    assert!(matches!(answer, Response::Health { .. }), "an answer without a request");
                    return;
                };
                let sent = self.sent.get_mut(id).expect("sent");
                assert!(!std::mem::replace(&mut sent.answered, true), "two answers to {}", id.0);
                sent.owed = false;
                assert!(
                    !(sent.running && matches!(answer, Response::Rejected { .. })),
                    "{} was rejected while running",
                    id.0
                );
                if let Response::Served(result) = &answer {
                    self.counts[1] += 1;
                    assert_eq!(
                        &result[..],
                        &sent.body[..],
                        "{} was served the result of another request",
                        id.0
                    );
                }
            }
            Effect::StartRun { id, class, body, .. } => self.begin_run(&id, &class.profile, &body),
            Effect::ReadGauges { number: tag, .. } if !self.mute => {
                let values_to_draw = [0.5, f64::NAN, f64::INFINITY, -1.0, 1e308, 0.0, 1.0, 3.0];
                let values = (0..self.random_below(7))
                    .map(|_| values_to_draw[self.random_below(8) as usize])
                    .collect();
                self.inputs.push(Input::GaugesRead { number: tag, values });
            }
            Effect::CallUpstream { id, call: number, .. } => self.calls.push((id, number)),
            Effect::UpdateNames { edition, changes } => self.names.publish(edition, changes),
            Effect::ReloadFinished => self.reloading = false,
            Effect::CloseIdleConnection { connection: conn, .. } | Effect::CloseConnection(conn)
                if self.open.remove(&conn) =>
            {
                let owed = self.sent.iter().find(|(_, sent)| sent.owed && sent.conn == conn);
                assert!(owed.is_none(), "a connection with an open request was closed");
                self.inputs.push(Input::ConnectionClosed(conn));
                self.forget_connection(conn);
            }
            Effect::StopAccepting => self.inputs.push(Input::StoppedAccepting),
            Effect::StopReading => self.inputs.push(Input::StoppedReading),
            Effect::Exit => self.left = true,
            Effect::Log { text, .. } => assert!(!text.contains("turned down"), "{text}"),
            _ => {}
        }
    }

    fn begin_run(&mut self, id: &RequestId, profile: &gradepin_admission::ClassProfile, body: &[u8]) {
        let sent = self.sent.get_mut(id).expect("a request that was sent");
        assert_eq!(profile.name, sent.class, "{} began under another class", id.0);
        assert_eq!(body, &sent.body[..], "{} began with another body", id.0);
        assert!(!std::mem::replace(&mut sent.running, true), "{} began twice", id.0);
        let (t0, class) = (sent.t0, sent.class.clone());
        if let Some(token) = sent.token.clone().filter(|_| profile.effect == Idempotency::Keyed) {
            // A run that is already active may be begun again on a new link.
            let same = |ran: &&KeyedRun| ran.id != *id && ran.token == token && ran.class == class;
            let previous =
                self.keyed_runs.iter().filter(same).find(|ran| t0.abs_diff(ran.t0) < ran.window_ms);
            let conflict = previous.map(|ran| format!("{}, stamped {} ms", ran.id.0, ran.t0));
            assert!(conflict.is_none(), "{}, stamped {t0} ms, runs within the window of {conflict:?}", id.0);
            let window_ms = profile.window.0.div_ceil(MS);
            self.keyed_runs.push(KeyedRun { id: id.clone(), class, token, t0, window_ms });
        }
        self.counts[0] += 1;
        self.running.push(id.clone());
    }

    /// Marks the requests of a closed connection as no longer owed an answer.
    fn forget_connection(&mut self, conn: u64) {
        self.sent.values_mut().filter(|sent| sent.conn == conn).for_each(|sent| sent.owed = false);
    }

    fn link_up(&mut self) {
        self.link += 1;
        let cold = self.random_below(2) == 0;
        let age = Span(self.random_below(4) * 400 * MS);
        self.inputs.push(Input::LinkUp { link: self.link, cold, age });
        self.advance(self.now);
    }

    fn reload(&mut self, config: Config) {
        // A configuration is compared only after the previous one is active.
        while self.reloading {
            self.random_action();
            self.step();
        }
        self.learn_names(&config);
        self.keyed_runs.clear();
        self.reloading = true;
        self.inputs.push(Input::Reload(Box::new(self.names.compare(config))));
        self.step();
        // Requests arrive and runs end between the pieces of a long reload.
        for _ in 0..self.random_below(30) {
            self.random_action();
            self.step();
        }
    }

    /// Simulates clients and processor for `ms` milliseconds: requests, ends of runs, cancels, health checks and link
    /// failures.
    fn traffic(&mut self, ms: u64) {
        let until = self.now + ms * MS;
        while self.now < until {
            for _ in 0..self.random_below(4) {
                self.random_action();
            }
            let pause = [0, 1, MS, 7 * MS, 40 * MS, 150 * MS][self.random_below(6) as usize];
            self.advance((self.now + pause).min(until));
        }
    }

    fn random_action(&mut self) {
        match self.random_below(20) {
            0..9 => self.send_request(),
            9..15 => self.complete_random_run(),
            15 => self.cancel_random_request(),
            16 => self.request_upstream_call(),
            17 => self.end_upstream_call(),
            18 => match self.random_below(6) {
                0 => self.mute = !self.mute,
                1 if !self.open.is_empty() => {
                    let conn = self.pick_conn();
                    self.open.remove(&conn);
                    self.inputs.push(Input::ConnectionClosed(conn));
                    self.forget_connection(conn);
                }
                2 if self.link > 0 => {
                    self.inputs.push(Input::LinkDown);
                    self.advance(self.now + 5 * MS);
                    self.reconnect_processor();
                }
                _ => self.complete_random_run(),
            },
            _ => {
                let conn = self.pick_conn();
                self.next_seq += 1;
                self.inputs.push(Input::HealthCheck { connection: conn, sequence: self.next_seq });
            }
        }
    }

    /// The same processor on a new link; the runs it received before go on.
    fn reconnect_processor(&mut self) {
        self.link += 1;
        for id in &self.running {
            // A run whose `begin` may not have arrived is begun again.
            self.sent.get_mut(id).expect("sent").running = false;
        }
        for id in std::mem::take(&mut self.running) {
            self.end_run(id);
        }
        let age = Span(3_600_000 * MS);
        self.inputs.push(Input::LinkUp { link: self.link, cold: false, age });
    }

    fn pick_conn(&mut self) -> u64 {
        let at = self.random_below(MAX_CONNECTIONS) as usize;
        let mut open: Vec<u64> = self.open.iter().copied().collect();
        open.sort_unstable();
        match open.get(at) {
            Some(conn) => *conn,
            None => {
                self.next_conn += 1;
                self.open.insert(self.next_conn);
                self.inputs.push(Input::ConnectionOpened(self.next_conn));
                self.next_conn
            }
        }
    }

    fn send_request(&mut self) {
        let index = self.random_below(self.classes.len() as u64) as usize;
        let name = self.classes[index].clone();
        let Some((class, definition)) = self.names.class(&name) else { return };
        let profile = &definition.profile;
        let tenant = self.random_below(self.tenants.len() as u64 + 1) as usize;
        let tenant = self.tenants.get(tenant).and_then(|tenant| self.names.tenant(tenant));
        let keyed = profile.effect == Idempotency::Keyed;
        let token = keyed.then(|| Arc::<str>::from(format!("{}-{}", self.random_below(5), index)));
        let longest = (profile.deadline.0 / MS).min(3_000);
        let budget = self.random_below(longest + 1);
        let t0 = self.unix_ms() - self.random_below(60);
        let id = RequestId::new(&format!("{:016x}", self.sent.len() + 1));
        // All attempts of a keyed request have the same body.
        let body = token.as_ref().map_or(id.0.as_bytes().to_vec(), |token| token.as_bytes().to_vec());
        let conn = self.pick_conn();
        self.next_seq += 1;
        let seq = self.next_seq;
        let (retry, has_key) = (self.random_below(3) == 0, self.random_below(2) == 0);
        let size_kb = [0.001, 1.0, 20.0, 1_999.0][self.random_below(4) as usize];
        let precedence = self.random_below(1_000) as f64 / 1_000.0;
        let call = ClientRequest {
            id: id.clone(),
            class,
            tenant,
            client_proxy: self.random_below(5),
            arrived_unix_ms: t0,
            budget_ms: budget,
            retry,
            size_kb,
            precedence,
            idempotency_key: token.clone(),
            has_subject: has_key,
            receipt: Receipt::default(),
            body: self.pool.copy(&body).expect("fits"),
        };
        let due_ms = (t0 + budget).max(self.unix_ms());
        let sent = SentRequest {
            class: name,
            body,
            token,
            conn,
            seq,
            t0,
            due_ms,
            owed: true,
            answered: false,
            running: false,
        };
        self.sent.insert(id.clone(), sent);
        self.of_seq.insert((conn, seq), id);
        self.inputs.push(Input::Request { connection: conn, sequence: seq, request: Box::new(call) });
    }

    fn complete_random_run(&mut self) {
        if self.running.is_empty() {
            return;
        }
        let index = self.random_below(self.running.len() as u64) as usize;
        let id = self.running.swap_remove(index);
        self.end_run(id);
    }

    fn end_run(&mut self, id: RequestId) {
        self.notice += 1;
        let end = [RunEnd::Ok, RunEnd::Ok, RunEnd::Ok, RunEnd::Failed, RunEnd::Stopped]
            [self.random_below(5) as usize];
        let took = Span([0, 1, 20 * MS, 900 * MS, u64::MAX][self.random_below(5) as usize]);
        let result = self.pool.copy(&self.sent[&id].body).expect("fits");
        self.inputs.push(Input::RunCompleted { notice: self.notice, id, end, took, result });
    }

    fn request_upstream_call(&mut self) {
        if let Some(id) = self.running.first().cloned() {
            self.notice += 1;
            let body = self.pool.copy(b"entry").expect("fits");
            self.inputs.push(Input::UpstreamCallRequested { notice: self.notice, id, body });
        }
    }

    fn end_upstream_call(&mut self) {
        let Some((id, number)) = self.calls.pop() else { return };
        let ends =
            [Outcome::Success, Outcome::Rejected, Outcome::TimedOut, Outcome::Failure, Outcome::Aborted];
        let outcome = ends[self.random_below(5) as usize];
        let reply = (outcome == Outcome::Success).then(|| self.pool.copy(b"reply").expect("fits"));
        self.inputs.push(Input::UpstreamCallEnded { id, call: number, outcome, reply });
    }

    fn cancel_random_request(&mut self) {
        let index = self.random_below(self.sent.len() as u64) as usize;
        if let Some(sent) = self.sent.values_mut().nth(index).filter(|sent| sent.owed) {
            sent.owed = false;
            self.inputs.push(Input::Cancel { connection: sent.conn, sequence: sent.seq });
        }
    }

    fn drain(&mut self) {
        self.inputs.push(Input::ShutdownNotice);
        self.traffic(300);
        assert!(!self.reloading, "a reload never completed");
        self.advance(self.now + 6_000 * MS);
        let owed = self.sent.iter().find(|(_, sent)| sent.owed).map(|(id, _)| id.0.clone());
        assert_eq!(owed, None, "a request without an answer after the drain");
    }
}
