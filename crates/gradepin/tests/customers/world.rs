//! One server's reducer with stand-ins for its clients and its processor, in virtual time. What each request must see holds
//! here in one place: one answer by its due time, and its own body under its own class at the processor.

use gradepin_admission::{Idempotency, Outcome, RequestId, Span, Time};
use gradepin_core::buffer_pool::BufferPool;
use gradepin_core::config::Config;
use gradepin_core::messages::{ClientRequest, Effect, Input, RunEnd, UpstreamCallId};
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
/// The Unix clock at the start.
const UNIX_MS: u64 = 1_764_576_000_000;
/// How much later than due an answer may come: the rules' slack on sockets, and a timer that waits for gauges.
const SLACK_MS: u64 = 100;
/// Steps without an input at one instant, and in one second, that no server at rest makes.
const STEPS_AT_ONCE: u32 = 2_000;
const STEPS_A_SECOND: u32 = 20_000;
const CONNS: u64 = 6;

/// A try as it was sent.
struct Sent {
    class: String,
    body: Vec<u8>,
    token: Option<Arc<str>>,
    conn: u64,
    seq: i32,
    t0: u64,
    due_ms: u64,
    /// Whether its caller waits; of one that doesn't, an answer that crosses is no harm.
    owed: bool,
    answered: bool,
    running: bool,
}

/// A keyed run, by the definition it began under.
struct Ran {
    id: RequestId,
    class: String,
    token: Arc<str>,
    t0: u64,
    window_ms: u64,
}

pub struct World {
    reducer: Reducer,
    names: ActiveSettings,
    classes: Vec<String>,
    tenants: Vec<String>,
    pool: Arc<BufferPool>,
    now: u64,
    rng: Pcg64Mcg,
    inputs: Vec<Input>,
    sent: BTreeMap<RequestId, Sent>,
    of_seq: HashMap<(u64, i32), RequestId>,
    open: HashSet<u64>,
    next_conn: u64,
    next_seq: i32,
    running: Vec<RequestId>,
    ran: Vec<Ran>,
    calls: Vec<(RequestId, UpstreamCallId)>,
    notice: u64,
    link: u64,
    mute: bool,
    reloading: bool,
    left: bool,
    /// Runs begun and results served, for who asks whether anything happened.
    counts: [u64; 2],
    /// Steps at this instant, and since the start of a second.
    at_once: u32,
    second: (u64, u32),
}

impl World {
    /// Serves the first customer, then each of the others, and drains; runs begun and results served.
    pub fn play(configs: &[Value], seed: u64) -> [u64; 2] {
        let parsed = |value: &Value| Config::parse(&value.to_string()).expect("a valid configuration");
        let mut world = Self::new(parsed(&configs[0]), seed);
        // The processor may come up much later, with another file in force by then.
        if world.below(3) == 0 {
            world.traffic(200);
            if let Some(config) = configs.get(1) {
                world.reload(parsed(config));
                world.traffic(50);
            }
        }
        world.link_up();
        world.traffic(1_500);
        for config in &configs[1..] {
            world.reload(parsed(config));
            let ms = [0, 30, 1_500, 4_000][world.below(4) as usize];
            world.traffic(ms);
        }
        world.drain();
        world.counts
    }

    fn new(config: Config, seed: u64) -> Self {
        let settings = Arc::new(config.settings.clone());
        let mut world = Self {
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
            ran: Vec::new(),
            calls: Vec::new(),
            notice: 0,
            link: 0,
            mute: false,
            reloading: false,
            left: false,
            counts: [0, 0],
            at_once: 0,
            second: (0, 0),
        };
        world.known(&config);
        world
    }

    fn known(&mut self, config: &Config) {
        // Some of the old names stay in use for a while.
        self.classes.truncate(2);
        self.tenants.truncate(2);
        self.classes.extend(config.settings.profiles.iter().map(|class| class.name.clone()));
        self.tenants.extend(config.settings.tenants.iter().map(|tenant| tenant.name.clone()));
    }

    fn below(&mut self, most: u64) -> u64 {
        self.rng.next_u64() % most.max(1)
    }

    fn unix_ms(&self) -> u64 {
        UNIX_MS + self.now / MS
    }

    fn step(&mut self) {
        let inputs = std::mem::take(&mut self.inputs);
        self.at_once = if inputs.is_empty() { self.at_once + 1 } else { 0 };
        assert!(self.at_once < STEPS_AT_ONCE, "the reducer never rests");
        let second = self.now / (1_000 * MS);
        self.second = if self.second.0 == second { (second, self.second.1 + 1) } else { (second, 0) };
        assert!(self.second.1 < STEPS_A_SECOND, "the reducer hardly rests");
        let moment = Timestamp { now: Time(self.now), unix_ms: self.unix_ms() };
        let mut effects = Vec::new();
        self.reducer.step(moment, inputs, &mut effects);
        effects.into_iter().for_each(|effect| self.effect(effect));
        self.overdue();
    }

    /// Steps until then, whenever the reducer asks for it.
    fn advance(&mut self, until: u64) {
        loop {
            if self.inputs.is_empty() {
                let wake = self.reducer.wake_at().map_or(u64::MAX, |at| at.0).max(self.now);
                if wake > until {
                    self.now = until;
                    return;
                }
                if wake > self.now {
                    (self.now, self.at_once) = (wake, 0);
                }
            }
            self.step();
        }
    }

    fn overdue(&self) {
        let now = self.unix_ms();
        for (id, sent) in &self.sent {
            let (id, class) = (&id.0, &sent.class);
            assert!(
                !sent.owed || now <= sent.due_ms + SLACK_MS,
                "{id} of {class:?} got no answer by its due time"
            );
        }
    }

    fn effect(&mut self, effect: Effect) {
        match effect {
            Effect::Respond { connection: conn, sequence: seq, response: answer, capacity_hint: hint } => {
                assert!(hint.is_none_or(|hint| hint.is_finite() && hint >= 0.0), "a hint of {hint:?}");
                assert!(
                    codec::encode(seq, &answer, hint, &self.pool).is_some(),
                    "an answer that doesn't fit"
                );
                let Some(id) = self.of_seq.get(&(conn, seq)) else {
                    assert!(matches!(answer, Response::Health { .. }), "an answer to what nobody sent");
                    return;
                };
                let sent = self.sent.get_mut(id).expect("sent");
                assert!(!std::mem::replace(&mut sent.answered, true), "two answers to {}", id.0);
                sent.owed = false;
                assert!(
                    !(sent.running && matches!(answer, Response::Rejected { .. })),
                    "{} runs and was refused",
                    id.0
                );
                if let Response::Served(result) = &answer {
                    self.counts[1] += 1;
                    assert_eq!(&result[..], &sent.body[..], "{} was served another's result", id.0);
                }
            }
            Effect::StartRun { id, class, body, .. } => self.begun(&id, &class.profile, &body),
            Effect::ReadGauges { number: tag, .. } if !self.mute => {
                let odd = [0.5, f64::NAN, f64::INFINITY, -1.0, 1e308, 0.0, 1.0, 3.0];
                let values = (0..self.below(7)).map(|_| odd[self.below(8) as usize]).collect();
                self.inputs.push(Input::GaugesRead { number: tag, values });
            }
            Effect::CallUpstream { id, call: number, .. } => self.calls.push((id, number)),
            Effect::UpdateNames { edition, changes } => self.names.publish(edition, changes),
            Effect::ReloadFinished => self.reloading = false,
            Effect::CloseIdleConnection { connection: conn, .. } | Effect::CloseConnection(conn)
                if self.open.remove(&conn) =>
            {
                let owed = self.sent.iter().find(|(_, sent)| sent.owed && sent.conn == conn);
                assert!(owed.is_none(), "a connection was closed that an answer is owed on");
                self.inputs.push(Input::ConnectionClosed(conn));
                self.gone(conn);
            }
            Effect::StopAccepting => self.inputs.push(Input::StoppedAccepting),
            Effect::Exit => self.left = true,
            Effect::Log { text, .. } => assert!(!text.contains("turned down"), "{text}"),
            _ => {}
        }
    }

    fn begun(&mut self, id: &RequestId, profile: &gradepin_admission::ClassProfile, body: &[u8]) {
        let sent = self.sent.get_mut(id).expect("a begin of what was sent");
        assert_eq!(profile.name, sent.class, "{} began under another class", id.0);
        assert_eq!(body, &sent.body[..], "{} began with another body", id.0);
        assert!(!std::mem::replace(&mut sent.running, true), "{} began twice", id.0);
        let (t0, class) = (sent.t0, sent.class.clone());
        if let Some(token) = sent.token.clone().filter(|_| profile.effect == Idempotency::Keyed) {
            // One that runs already may be begun again, on a new link.
            let same = |ran: &&Ran| ran.id != *id && ran.token == token && ran.class == class;
            let again = self.ran.iter().filter(same).find(|ran| t0.abs_diff(ran.t0) < ran.window_ms);
            let told = again.map(|ran| format!("{}, which came at {} ms", ran.id.0, ran.t0));
            assert!(told.is_none(), "{} of {t0} ms runs inside the window of {told:?}", id.0);
            let window_ms = profile.window.0.div_ceil(MS);
            self.ran.push(Ran { id: id.clone(), class, token, t0, window_ms });
        }
        self.counts[0] += 1;
        self.running.push(id.clone());
    }

    /// A connection is over: nothing on it is owed any more.
    fn gone(&mut self, conn: u64) {
        self.sent.values_mut().filter(|sent| sent.conn == conn).for_each(|sent| sent.owed = false);
    }

    fn link_up(&mut self) {
        self.link += 1;
        let cold = self.below(2) == 0;
        let age = Span(self.below(4) * 400 * MS);
        self.inputs.push(Input::LinkUp { link: self.link, cold, age });
        self.advance(self.now);
    }

    fn reload(&mut self, config: Config) {
        // A file is compared once the one before is in force.
        while self.reloading {
            self.act();
            self.step();
        }
        self.known(&config);
        self.ran.clear();
        self.reloading = true;
        self.inputs.push(Input::Reload(Box::new(self.names.compare(config))));
        self.step();
        // Between the pieces of a long file requests come, and runs end.
        for _ in 0..self.below(30) {
            self.act();
            self.step();
        }
    }

    /// So many milliseconds of requests, ends of runs, and what else clients and a processor do.
    fn traffic(&mut self, ms: u64) {
        let until = self.now + ms * MS;
        while self.now < until {
            for _ in 0..self.below(4) {
                self.act();
            }
            let pause = [0, 1, MS, 7 * MS, 40 * MS, 150 * MS][self.below(6) as usize];
            self.advance((self.now + pause).min(until));
        }
    }

    fn act(&mut self) {
        match self.below(20) {
            0..9 => self.send(),
            9..15 => self.complete(),
            15 => self.cancel(),
            16 => self.asks(),
            17 => self.call_ends(),
            18 => match self.below(6) {
                0 => self.mute = !self.mute,
                1 if !self.open.is_empty() => {
                    let conn = self.pick_conn();
                    self.open.remove(&conn);
                    self.inputs.push(Input::ConnectionClosed(conn));
                    self.gone(conn);
                }
                2 if self.link > 0 => {
                    self.inputs.push(Input::LinkDown);
                    self.advance(self.now + 5 * MS);
                    self.running_again();
                }
                _ => self.complete(),
            },
            _ => {
                let conn = self.pick_conn();
                self.next_seq += 1;
                self.inputs.push(Input::HealthCheck { connection: conn, sequence: self.next_seq });
            }
        }
    }

    /// The same processor on a new link: what it was told before runs on.
    fn running_again(&mut self) {
        self.link += 1;
        for id in &self.running {
            // What may not have arrived is begun again.
            self.sent.get_mut(id).expect("sent").running = false;
        }
        for id in std::mem::take(&mut self.running) {
            self.end(id);
        }
        let age = Span(3_600_000 * MS);
        self.inputs.push(Input::LinkUp { link: self.link, cold: false, age });
    }

    fn pick_conn(&mut self) -> u64 {
        let at = self.below(CONNS) as usize;
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

    fn send(&mut self) {
        let place = self.below(self.classes.len() as u64) as usize;
        let name = self.classes[place].clone();
        let Some((class, definition)) = self.names.class(&name) else { return };
        let profile = &definition.profile;
        let tenant = self.below(self.tenants.len() as u64 + 1) as usize;
        let tenant = self.tenants.get(tenant).and_then(|tenant| self.names.tenant(tenant));
        let keyed = profile.effect == Idempotency::Keyed;
        let token = keyed.then(|| Arc::<str>::from(format!("{}-{}", self.below(5), place)));
        let longest = (profile.deadline.0 / MS).min(3_000);
        let budget = self.below(longest + 1);
        let t0 = self.unix_ms() - self.below(60);
        let id = RequestId::new(&format!("{:016x}", self.sent.len() + 1));
        // All tries of a keyed request carry the same body.
        let body = token.as_ref().map_or(id.0.as_bytes().to_vec(), |token| token.as_bytes().to_vec());
        let conn = self.pick_conn();
        self.next_seq += 1;
        let seq = self.next_seq;
        let (retry, has_key) = (self.below(3) == 0, self.below(2) == 0);
        let size_kb = [0.001, 1.0, 20.0, 1_999.0][self.below(4) as usize];
        let precedence = self.below(1_000) as f64 / 1_000.0;
        let call = ClientRequest {
            id: id.clone(),
            class,
            tenant,
            client_proxy: self.below(5),
            arrived_unix_ms: t0,
            budget_ms: budget,
            retry,
            size_kb,
            precedence,
            idempotency_key: token.clone(),
            has_subject: has_key,
            body: self.pool.copy(&body).expect("fits"),
        };
        let due_ms = (t0 + budget).max(self.unix_ms());
        let sent = Sent {
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

    fn complete(&mut self) {
        if self.running.is_empty() {
            return;
        }
        let place = self.below(self.running.len() as u64) as usize;
        let id = self.running.swap_remove(place);
        self.end(id);
    }

    fn end(&mut self, id: RequestId) {
        self.notice += 1;
        let end =
            [RunEnd::Ok, RunEnd::Ok, RunEnd::Ok, RunEnd::Failed, RunEnd::Stopped][self.below(5) as usize];
        let took = Span([0, 1, 20 * MS, 900 * MS, u64::MAX][self.below(5) as usize]);
        let result = self.pool.copy(&self.sent[&id].body).expect("fits");
        self.inputs.push(Input::RunCompleted { notice: self.notice, id, end, took, result });
    }

    fn asks(&mut self) {
        if let Some(id) = self.running.first().cloned() {
            self.notice += 1;
            let body = self.pool.copy(b"entry").expect("fits");
            self.inputs.push(Input::UpstreamCallRequested { notice: self.notice, id, body });
        }
    }

    fn call_ends(&mut self) {
        let Some((id, number)) = self.calls.pop() else { return };
        let ends =
            [Outcome::Success, Outcome::Rejected, Outcome::TimedOut, Outcome::Failure, Outcome::Aborted];
        let outcome = ends[self.below(5) as usize];
        let reply = (outcome == Outcome::Success).then(|| self.pool.copy(b"reply").expect("fits"));
        self.inputs.push(Input::UpstreamCallEnded { id, call: number, outcome, reply });
    }

    fn cancel(&mut self) {
        let place = self.below(self.sent.len() as u64) as usize;
        if let Some(sent) = self.sent.values_mut().nth(place).filter(|sent| sent.owed) {
            sent.owed = false;
            self.inputs.push(Input::Cancel { connection: sent.conn, sequence: sent.seq });
        }
    }

    fn drain(&mut self) {
        self.inputs.push(Input::ShutdownNotice);
        self.traffic(300);
        assert!(!self.reloading, "a reload never ended");
        self.advance(self.now + 6_000 * MS);
        let owed = self.sent.iter().find(|(_, sent)| sent.owed).map(|(id, _)| id.0.clone());
        assert_eq!(owed, None, "no answer after the drain");
    }
}
