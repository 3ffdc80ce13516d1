//! Requests and their tries, as client proxies see them; and the connections on which they go.

use super::{Event, Got, MS, RequestNo, TryId, World};
use crate::proxy::{Choice, Loss, Next, Wanted};
use crate::queue::{At, Queue, nanos};
use crate::streams::unit;
use rand_distr::{Distribution, Exp1, LogNormal};
use rand_pcg::Pcg64Mcg;

/// Requests open on one connection.
const WINDOW: u32 = 32;
/// A run takes so many times the mean of its class at the most.
const MOST_OF_MEAN: f64 = 12.0;

/// A request, from its first try to its end.
#[derive(Debug)]
pub(super) struct Request {
    /// Its class and office, and until when its caller waits.
    pub class: u32,
    pub tenant: u32,
    until: At,
    proxy: u32,
    pub rank: f64,
    /// Work of a run in seconds, and memory while it is held.
    pub work_s: f64,
    pub size_kb: f64,
    /// Tries that may still be answered, those that failed, and whether another is planned.
    pub live: Vec<TryId>,
    failures: u32,
    pub pending: bool,
    /// Servers that it was sent to in this round through the list, and tries in all.
    tried: Vec<u32>,
    tries: u32,
    pub done: bool,
}

/// Where a try is.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Place {
    /// On its way to the machine.
    Up,
    /// There, and not read yet.
    Unread,
    /// Read by the server, which owes an answer.
    Held,
    /// Its answer, or the end of its connection, is on its way.
    Down,
    /// Over, for its caller and for the server.
    Over,
}

/// A try of a request.
#[derive(Debug)]
pub(super) struct Try {
    pub request: RequestNo,
    pub machine: u32,
    pub conn: u64,
    pub place: Place,
    pub sent: At,
    pub came: At,
    pub began: At,
    pub budget_ms: u64,
    pub retry: bool,
    /// Whether its caller no longer waits for it, and whether the server knows.
    pub left: bool,
    pub told_left: bool,
    pub runs: bool,
}

impl Try {
    /// Whether a run of it ever began: its memory as a held one was given back then.
    pub fn began_once(&self) -> bool {
        self.began > 0
    }
}

/// A connection of a proxy to one life of a server.
#[derive(Debug)]
pub(super) struct Conn {
    pub proxy: u32,
    pub machine: u32,
    pub life: u32,
    open: u32,
    /// Messages sent on it.
    pub sent: u64,
    /// Whether the server has accepted it, whether it heard its close, and whether it may be used.
    pub accepted: bool,
    pub closed: bool,
    usable: bool,
    /// Nothing overtakes on it: when the last message arrives there and here.
    last_up: At,
    last_down: At,
}

impl World {
    /// The next first try of an office: a Poisson stream, thinned by the day's course.
    pub(super) fn plan_ask(&mut self, tenant: usize) {
        let part = self.scenario.tenants[tenant].traffic;
        let top = self.top_rate * part;
        if top <= 0.0 {
            return;
        }
        let rng = &mut self.tenants[tenant];
        let (end, mut at_s) = (self.scenario.seconds, self.now as f64 / 1e9);
        loop {
            let gap: f64 = Exp1.sample(rng);
            at_s += gap / top;
            if at_s >= end {
                return;
            }
            if unit(rng) * top < self.scenario.rate(self.pace, at_s) * part {
                break;
            }
        }
        self.queue.push((nanos(at_s)).max(self.now), Event::Ask(tenant));
    }

    /// A first try comes.
    pub(super) fn ask(&mut self, tenant: usize) {
        let rng = &mut self.tenants[tenant];
        let (class, below) = draw_class(&self.scenario, rng);
        let spec = &self.scenario.classes[class];
        let total: f64 = self.scenario.classes.iter().map(|class| class.share).sum();
        // Ranks are by worth: a class has its band, as wide as its part of the traffic.
        let rank = ((below + unit(rng) * spec.share) / total).clamp(0.0, 0.9999);
        let work_s = (lognormal(spec.work_ms, spec.cv, rng) / 1e3).min(MOST_OF_MEAN * spec.work_ms / 1e3);
        let size_kb =
            lognormal(self.scenario.hold_kb * spec.memory, self.scenario.size_cv, rng).clamp(0.5, 1_900.0);
        let proxy = (unit(rng) * self.proxies.len() as f64) as u32;
        let until = self.now + spec.class.deadline_ms * MS;
        let number = self.service.ask(self.ms(), class, tenant, work_s * 1e3) as RequestNo;
        self.requests.push(Request {
            class: class as u32,
            tenant: tenant as u32,
            until,
            proxy,
            rank,
            work_s,
            size_kb,
            live: Vec::new(),
            failures: 0,
            pending: false,
            tried: Vec::new(),
            tries: 0,
            done: false,
        });
        self.watch.now.asked += 1;
        self.proxies[proxy as usize].first_try();
        self.plan_ask(tenant);
        self.attempt(number);
        let retry_policy = self.proxies[proxy as usize].retry_policy();
        let spec = &self.scenario.classes[class];
        if let Some(part) = retry_policy.copy_after.filter(|_| spec.class.window_ms.is_none()) {
            let at = self.now + (part * spec.class.latency_objective_ms as f64) as At * MS;
            self.queue.push(at, Event::Copy(number));
        }
    }

    /// Sends a request to some server, or gives it up.
    pub(super) fn attempt(&mut self, number: RequestNo) {
        let request = &self.requests[number as usize];
        if request.done {
            return;
        }
        let proxy = &mut self.proxies[request.proxy as usize];
        if request.failures > 0 && !request.tried.is_empty() && !proxy.any_but(&request.tried) {
            // All of the list had their turn: what failed may be tried at one of them again.
            self.requests[number as usize].tried.clear();
        }
        let request = &self.requests[number as usize];
        let key = if self.scenario.classes[request.class as usize].class.window_ms.is_some() {
            u64::from(number)
        } else {
            u64::from(request.tenant) << 32 | (request.rank * 1024.0) as u64
        };
        let wanted = Wanted { rank: request.rank, key, tried: &request.tried };
        match proxy.choose(self.now, wanted) {
            Choice::Server(server) => self.send(number, server),
            // Those that go on through their list come back when the first of it lets them.
            Choice::Away(until) if proxy.retry_policy().walks && until < request.until => {
                self.watch.now.away += 1;
                self.plan_again(number, until);
            }
            choice => {
                match choice {
                    Choice::Away(_) => self.watch.now.away += 1,
                    Choice::Level => self.watch.now.below_level += 1,
                    _ => self.watch.now.exhausted += 1,
                }
                if self.requests[number as usize].live.is_empty() {
                    self.give_up(number);
                }
            }
        }
    }

    fn plan_again(&mut self, number: RequestNo, at: At) {
        self.requests[number as usize].pending = true;
        self.queue.push(at.max(self.now), Event::Again(number));
    }

    /// A connection with room to a server's present life, or a new one.
    fn way(&mut self, proxy: u32, server: u32) -> u64 {
        let ways = self.ways[proxy as usize].entry(server).or_default();
        let conns = &self.conns;
        if let Some(&conn) = ways.iter().find(|conn| conns[**conn as usize].open < WINDOW) {
            return conn;
        }
        let conn = self.conns.len() as u64;
        ways.push(conn);
        self.conns.push(Conn {
            proxy,
            machine: server,
            life: self.machines[server as usize].life,
            open: 0,
            sent: 0,
            accepted: false,
            closed: false,
            usable: true,
            last_up: 0,
            last_down: 0,
        });
        conn
    }

    fn send(&mut self, number: RequestNo, server: u32) {
        let request = &self.requests[number as usize];
        let (proxy, until, class) = (request.proxy, request.until, request.class);
        let conn = self.way(proxy, server);
        let retry_policy = self.proxies[proxy as usize].retry_policy();
        let request = &mut self.requests[number as usize];
        let left = until.saturating_sub(self.now);
        let deadline = self.scenario.classes[class as usize].class.deadline_ms * MS;
        // The last try has all that is left.
        let own = (retry_policy.try_share * deadline as f64) as At;
        let wait = if request.failures >= retry_policy.retries { left } else { own.min(left) };
        let id = self.tries.len() as TryId;
        let retry = request.tries > 0;
        request.tries += 1;
        request.tried.push(server);
        request.live.push(id);
        self.proxies[proxy as usize].opened(server, 1);
        self.conns[conn as usize].open += 1;
        self.tries.push(Try {
            request: number,
            machine: server,
            conn,
            place: Place::Up,
            sent: self.now,
            came: 0,
            began: 0,
            budget_ms: wait.div_ceil(MS),
            retry,
            left: false,
            told_left: false,
            runs: false,
        });
        self.trace(|now| super::AttemptTrace::sent(number, server, now));
        self.watch.tried(retry);
        self.queue.push(self.now + wait, Event::TimedOut(id));
        self.upward(conn, Event::Reaches(id));
    }

    /// A message goes up a connection; behind the one before it. The first waits for the handshake.
    fn upward(&mut self, conn: u64, event: Event) {
        let way = &mut self.conns[conn as usize];
        let zones = (
            self.scenario.proxies[way.proxy as usize].zone,
            self.scenario.machines[way.machine as usize].zone,
        );
        let rng = &mut self.proxy_rngs[way.proxy as usize];
        let shakes = way.sent == 0;
        let mut at = self.net.arrives(self.now, zones.0, zones.1, rng);
        if shakes {
            let back = self.net.arrives(at, zones.1, zones.0, rng);
            at = self.net.arrives(back, zones.0, zones.1, rng);
        }
        at = at.max(way.last_up);
        (way.last_up, way.sent) = (at, way.sent + 1);
        self.queue.push(at, event);
    }

    /// A message comes down a connection.
    pub(super) fn downward(&mut self, conn: u64, event: Event) {
        let way = &mut self.conns[conn as usize];
        let zones = (
            self.scenario.machines[way.machine as usize].zone,
            self.scenario.proxies[way.proxy as usize].zone,
        );
        let rng = &mut self.machine_rngs[way.machine as usize];
        let at = self.net.arrives(self.now, zones.0, zones.1, rng).max(way.last_down);
        way.last_down = at;
        self.queue.push(at, event);
    }

    /// A try is over at its client proxy: its place on the connection is free.
    fn over(&mut self, id: TryId) {
        let one = &mut self.tries[id as usize];
        one.left = true;
        let (conn, machine, number) = (one.conn, one.machine, one.request);
        let request = &mut self.requests[number as usize];
        request.live.retain(|live| *live != id);
        let proxy = request.proxy as usize;
        self.proxies[proxy].opened(machine, -1);
        let way = &mut self.conns[conn as usize];
        way.open -= 1;
        if way.open == 0 && !way.usable {
            // Drained: nothing is open on it any more.
            self.upward(conn, Event::ClosedUp(conn));
        }
    }

    pub(super) fn timed_out(&mut self, id: TryId) {
        if self.tries[id as usize].left {
            return;
        }
        self.watch.now.timed_out += 1;
        self.cancel(id);
        let number = self.tries[id as usize].request;
        self.lost(number, Loss::Failed);
    }

    /// Nobody waits for a try any more; its server hears of it, if it does.
    fn cancel(&mut self, id: TryId) {
        let conn = self.tries[id as usize].conn;
        let rng = &mut self.proxy_rngs[self.conns[conn as usize].proxy as usize];
        if !self.net.deaf(rng) {
            self.upward(conn, Event::Cancelled(id));
        }
        self.over(id);
    }

    pub(super) fn answered(&mut self, id: TryId, got: Got) {
        let one = &mut self.tries[id as usize];
        one.place = Place::Over;
        if one.left {
            // The answer has crossed a cancel, or a timeout that nobody told.
            return;
        }
        let (number, machine, sent, conn) = (one.request, one.machine, one.sent, one.conn);
        self.over(id);
        if matches!(got, Got::Reset | Got::Unreached) {
            self.no_more(conn);
        }
        let took_ms = (self.now - sent) as f64 / 1e6;
        let proxy = &mut self.proxies[self.requests[number as usize].proxy as usize];
        let (level, loss) = match got {
            Got::Served(level) => (level, None),
            Got::Refused { away, last, level } => {
                proxy.stay_away(machine, if away > 0 { self.now + away } else { 0 });
                (level, Some(Loss::Refused { last }))
            }
            Got::Failed(level) => (level, Some(Loss::Failed)),
            Got::Reset => (None, Some(Loss::Failed)),
            Got::Unreached => (None, Some(Loss::Unreached)),
        };
        proxy.heard(self.now, machine, level, took_ms, loss.is_none());
        match loss {
            None => self.served(number),
            Some(loss) => self.lost(number, loss),
        }
    }

    fn served(&mut self, number: RequestNo) {
        let at = self.ms();
        let request = &mut self.requests[number as usize];
        if request.done {
            return;
        }
        request.done = true;
        let copies = request.live.clone();
        self.service.served(number as usize, at);
        self.watch.now.served += 1;
        for copy in copies {
            self.cancel(copy);
        }
    }

    fn give_up(&mut self, number: RequestNo) {
        let request = &mut self.requests[number as usize];
        if !request.done {
            request.done = true;
            self.service.given_up(number as usize);
            self.watch.now.given_up += 1;
        }
    }

    /// A try came to nothing: another one, or none.
    fn lost(&mut self, number: RequestNo, loss: Loss) {
        let request = &mut self.requests[number as usize];
        if request.done {
            return;
        }
        request.failures += u32::from(loss == Loss::Failed);
        if !request.live.is_empty() || request.pending {
            return;
        }
        let (until, failures, proxy) = (request.until, request.failures, request.proxy as usize);
        match self.proxies[proxy].next(loss, failures) {
            Next::Again(0) if self.now < until => self.attempt(number),
            Next::Again(pause) if self.now + pause < until => {
                // Not all at once.
                let spread = 0.75 + 0.5 * unit(&mut self.proxy_rngs[proxy]);
                self.plan_again(number, self.now + (pause as f64 * spread) as At);
            }
            _ => self.give_up(number),
        }
    }

    pub(super) fn second_copy(&mut self, number: RequestNo) {
        let request = &self.requests[number as usize];
        if !request.done && !request.pending && request.live.len() == 1 {
            self.attempt(number);
        }
    }

    /// No more requests should go on a connection.
    pub(super) fn draining(&mut self, conn: u64) {
        self.no_more(conn);
        if self.conns[conn as usize].open == 0 {
            self.upward(conn, Event::ClosedUp(conn));
        }
    }

    /// A connection may be used no more: it is drained, closed, or its server's life has ended.
    pub(super) fn no_more(&mut self, conn: u64) {
        let way = &mut self.conns[conn as usize];
        way.usable = false;
        if let Some(ways) = self.ways[way.proxy as usize].get_mut(&way.machine) {
            ways.retain(|other| *other != conn);
        }
    }

    /// Where each try of each request is, for those who check that none is lost.
    ///
    /// Each request that is not done must have a live try or one that is planned, and each live try must be somewhere.
    pub fn audit(&self) -> Result<(), String> {
        let (mut open, mut ended) = (0_u64, 0_u64);
        for (number, request) in self.requests.iter().enumerate() {
            let held = request.live.len() + usize::from(request.pending);
            if request.done && request.live.is_empty() {
                ended += 1;
            } else if request.done {
                return Err(format!("request {number} is over and has {} live tries", request.live.len()));
            } else if held == 0 {
                return Err(format!("request {number} is open and nowhere"));
            } else {
                open += 1;
            }
            let place = self.service.place(number);
            if (place == crate::service_report::service::Place::Open) == request.done {
                return Err(format!(
                    "request {number} is {place:?} in the service report, over here: {}",
                    request.done
                ));
            }
        }
        for (id, one) in self.tries.iter().enumerate() {
            let listed = self.requests[one.request as usize].live.contains(&(id as TryId));
            if listed == one.left {
                return Err(format!("try {id} is live for its request: {listed}, left: {}", one.left));
            }
            if listed && one.place == Place::Over {
                return Err(format!("try {id} is over and its request waits for it"));
            }
        }
        if open + ended != self.service.len() as u64 {
            return Err(format!("{open} open and {ended} ended of {} asked", self.service.len()));
        }
        Ok(())
    }
}

fn draw_class(scenario: &crate::scenario::Scenario, rng: &mut Pcg64Mcg) -> (usize, f64) {
    let total: f64 = scenario.classes.iter().map(|class| class.share).sum();
    let (mut point, mut class) = (unit(rng) * total, 0);
    while class + 1 < scenario.classes.len() && point >= scenario.classes[class].share {
        point -= scenario.classes[class].share;
        class += 1;
    }
    // What is worth less, and of those worth the same what comes first, ranks below.
    let priority_weight = scenario.classes[class].class.priority_weight;
    let below = scenario.classes.iter().enumerate().filter(|(other, spec)| {
        spec.class.priority_weight < priority_weight
            || spec.class.priority_weight == priority_weight && *other < class
    });
    (class, below.map(|(_, spec)| spec.share).sum())
}

fn lognormal(mean: f64, cv: f64, rng: &mut Pcg64Mcg) -> f64 {
    let sigma2 = (1.0 + cv * cv).ln();
    match LogNormal::new(mean.ln() - sigma2 / 2.0, sigma2.sqrt()) {
        Ok(distribution) => distribution.sample(rng),
        // Of a mean or a variation that makes none: the mean itself.
        Err(_) => mean,
    }
}
