//! Requests and their attempts as client proxies see them, and the connections that carry them.

use super::{AttemptId, AttemptReply, Event, MS, RequestNo, World};
use crate::proxy::{AttemptQuery, Choice, Failure, Next};
use crate::queue::{At, Queue, nanos};
use crate::streams::unit;
use rand_distr::{Distribution, Exp1, LogNormal};
use rand_pcg::Pcg64Mcg;

/// Largest number of open requests on one connection.
const WINDOW: u32 = 32;
/// Upper bound of the work of a run, as a multiple of the mean of its class.
const MOST_OF_MEAN: f64 = 12.0;

/// A request, from its first attempt until the client has an answer or gives up.
#[derive(Debug)]
pub(super) struct Request {
    /// Class and tenant by index, and the time at which the client gives up.
    pub class: u32,
    pub tenant: u32,
    until: At,
    proxy: u32,
    pub rank: f64,
    /// Work of a run in seconds, and memory while the request waits.
    pub work_s: f64,
    pub size_kb: f64,
    /// Attempts that may still be answered, the number that failed, and whether another one is planned.
    pub live: Vec<AttemptId>,
    failures: u32,
    pub pending: bool,
    /// Servers tried in the current round through the endpoint list, and the number of attempts so far.
    tried_servers: Vec<u32>,
    attempts: u32,
    pub done: bool,
}

/// Where an attempt is.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum AttemptState {
    /// On its way to the machine.
    Up,
    /// At the machine, not read yet.
    Unread,
    /// Read by the server, which owes an answer.
    Held,
    /// The answer or the reset is on its way to the client proxy.
    Down,
    /// Finished for the client proxy and the server.
    Over,
}

/// An attempt of a request.
#[derive(Debug)]
pub(super) struct Attempt {
    pub request: RequestNo,
    pub machine: u32,
    pub conn: u64,
    pub state: AttemptState,
    pub sent: At,
    pub came: At,
    pub began: At,
    pub budget_ms: u64,
    pub retry: bool,
    /// Whether the client proxy stopped waiting for it, and whether the server was notified.
    pub abandoned: bool,
    pub server_notified: bool,
    pub runs: bool,
}

impl Attempt {
    /// Whether it ever started to run; its memory as a waiting request was released then.
    pub fn began_once(&self) -> bool {
        self.began > 0
    }
}

/// A connection from a client proxy to one incarnation of a server.
#[derive(Debug)]
pub(super) struct Conn {
    pub proxy: u32,
    pub machine: u32,
    pub incarnation: u32,
    open: u32,
    /// Messages sent on the connection.
    pub sent: u64,
    /// Whether the server accepted it, whether the server saw it close, and whether new requests may use it.
    pub accepted: bool,
    pub closed: bool,
    usable: bool,
    /// Arrival times of the last message in each direction; messages on a connection stay in order.
    last_up: At,
    last_down: At,
}

impl World {
    /// Plans the next first attempt of a tenant: a Poisson process, thinned by the traffic shape of the scenario.
    pub(super) fn plan_first_attempt(&mut self, tenant: usize) {
        let part = self.scenario.tenants[tenant].traffic;
        let top = self.max_rate * part;
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
            if unit(rng) * top < self.scenario.rate(self.base_rate, at_s) * part {
                break;
            }
        }
        self.queue.push((nanos(at_s)).max(self.now), Event::FirstAttempt(tenant));
    }

    /// Creates a request and sends its first attempt.
    pub(super) fn first_attempt(&mut self, tenant: usize) {
        let rng = &mut self.tenants[tenant];
        let (class, below) = draw_class(&self.scenario, rng);
        let spec = &self.scenario.classes[class];
        let total: f64 = self.scenario.classes.iter().map(|class| class.share).sum();
        // Precedence follows the priority weight: each class has a band as wide as its share of the traffic.
        let rank = ((below + unit(rng) * spec.share) / total).clamp(0.0, 0.9999);
        let work_s = (lognormal(spec.work_ms, spec.cv, rng) / 1e3).min(MOST_OF_MEAN * spec.work_ms / 1e3);
        let size_kb =
            lognormal(self.scenario.hold_kb * spec.memory, self.scenario.size_cv, rng).clamp(0.5, 1_900.0);
        let proxy = (unit(rng) * self.proxies.len() as f64) as u32;
        let until = self.now + spec.class.deadline_ms * MS;
        let number = self.service.first_attempt(self.ms(), class, tenant, work_s * 1e3) as RequestNo;
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
            tried_servers: Vec::new(),
            attempts: 0,
            done: false,
        });
        self.counters.now.asked += 1;
        self.proxies[proxy as usize].earn_retry_credit();
        self.plan_first_attempt(tenant);
        self.start_attempt(number);
        let retry_policy = self.proxies[proxy as usize].retry_policy();
        let spec = &self.scenario.classes[class];
        if let Some(part) = retry_policy.copy_after.filter(|_| spec.class.window_ms.is_none()) {
            let at = self.now + (part * spec.class.latency_objective_ms as f64) as At * MS;
            self.queue.push(at, Event::Hedge(number));
        }
    }

    /// Sends an attempt to a server, or gives up the request.
    pub(super) fn start_attempt(&mut self, number: RequestNo) {
        let request = &self.requests[number as usize];
        if request.done {
            return;
        }
        let proxy = &mut self.proxies[request.proxy as usize];
        if request.failures > 0
            && !request.tried_servers.is_empty()
            && !proxy.lists_other_than(&request.tried_servers)
        {
            // Every listed server was tried; a failed request may go to one of them again.
            self.requests[number as usize].tried_servers.clear();
        }
        let request = &self.requests[number as usize];
        let key = if self.scenario.classes[request.class as usize].class.window_ms.is_some() {
            u64::from(number)
        } else {
            u64::from(request.tenant) << 32 | (request.rank * 1024.0) as u64
        };
        let query = AttemptQuery { rank: request.rank, key, tried_servers: &request.tried_servers };
        match proxy.choose(self.now, query) {
            Choice::Server(server) => self.send(number, server),
            // Client proxies that try the whole list retry when the first server accepts requests again.
            Choice::RetryAfter(until) if proxy.retry_policy().walks && until < request.until => {
                self.counters.now.away += 1;
                self.plan_retry(number, until);
            }
            choice => {
                match choice {
                    Choice::RetryAfter(_) => self.counters.now.away += 1,
                    Choice::BelowThreshold => self.counters.now.below_level += 1,
                    _ => self.counters.now.exhausted += 1,
                }
                if self.requests[number as usize].live.is_empty() {
                    self.give_up(number);
                }
            }
        }
    }

    fn plan_retry(&mut self, number: RequestNo, at: At) {
        self.requests[number as usize].pending = true;
        self.queue.push(at.max(self.now), Event::Retry(number));
    }

    /// Returns a connection to the current incarnation of a server with a free window, opening one if needed.
    fn connection(&mut self, proxy: u32, server: u32) -> u64 {
        let connections = self.connections[proxy as usize].entry(server).or_default();
        let conns = &self.conns;
        if let Some(&conn) = connections.iter().find(|conn| conns[**conn as usize].open < WINDOW) {
            return conn;
        }
        let conn = self.conns.len() as u64;
        connections.push(conn);
        self.conns.push(Conn {
            proxy,
            machine: server,
            incarnation: self.machines[server as usize].incarnation,
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
        let conn = self.connection(proxy, server);
        let retry_policy = self.proxies[proxy as usize].retry_policy();
        let request = &mut self.requests[number as usize];
        let remaining = until.saturating_sub(self.now);
        let deadline = self.scenario.classes[class as usize].class.deadline_ms * MS;
        // The last attempt gets all the remaining time.
        let own = (retry_policy.try_share * deadline as f64) as At;
        let wait = if request.failures >= retry_policy.retries { remaining } else { own.min(remaining) };
        let id = self.attempts.len() as AttemptId;
        let retry = request.attempts > 0;
        request.attempts += 1;
        request.tried_servers.push(server);
        request.live.push(id);
        self.proxies[proxy as usize].opened(server, 1);
        self.conns[conn as usize].open += 1;
        self.attempts.push(Attempt {
            request: number,
            machine: server,
            conn,
            state: AttemptState::Up,
            sent: self.now,
            came: 0,
            began: 0,
            budget_ms: wait.div_ceil(MS),
            retry,
            abandoned: false,
            server_notified: false,
            runs: false,
        });
        self.trace(|now| super::AttemptTrace::sent(number, server, now));
        self.counters.tried(retry);
        self.queue.push(self.now + wait, Event::TimedOut(id));
        self.send_up(conn, Event::Arrives(id));
    }

    /// Sends a message to the server, after the previous one on the connection. The first message waits for the
    /// handshake.
    fn send_up(&mut self, conn: u64, event: Event) {
        let connection = &mut self.conns[conn as usize];
        let zones = (
            self.scenario.proxies[connection.proxy as usize].zone,
            self.scenario.machines[connection.machine as usize].zone,
        );
        let rng = &mut self.proxy_rngs[connection.proxy as usize];
        let shakes = connection.sent == 0;
        let mut at = self.net.arrives(self.now, zones.0, zones.1, rng);
        if shakes {
            let back = self.net.arrives(at, zones.1, zones.0, rng);
            at = self.net.arrives(back, zones.0, zones.1, rng);
        }
        at = at.max(connection.last_up);
        (connection.last_up, connection.sent) = (at, connection.sent + 1);
        self.queue.push(at, event);
    }

    /// Sends a message from the server to the client proxy.
    pub(super) fn send_down(&mut self, conn: u64, event: Event) {
        let connection = &mut self.conns[conn as usize];
        let zones = (
            self.scenario.machines[connection.machine as usize].zone,
            self.scenario.proxies[connection.proxy as usize].zone,
        );
        let rng = &mut self.machine_rngs[connection.machine as usize];
        let at = self.net.arrives(self.now, zones.0, zones.1, rng).max(connection.last_down);
        connection.last_down = at;
        self.queue.push(at, event);
    }

    /// Ends an attempt at its client proxy and releases its window on the connection.
    fn end_attempt(&mut self, id: AttemptId) {
        let attempt = &mut self.attempts[id as usize];
        attempt.abandoned = true;
        let (conn, machine, number) = (attempt.conn, attempt.machine, attempt.request);
        let request = &mut self.requests[number as usize];
        request.live.retain(|live| *live != id);
        let proxy = request.proxy as usize;
        self.proxies[proxy].opened(machine, -1);
        let connection = &mut self.conns[conn as usize];
        connection.open -= 1;
        if connection.open == 0 && !connection.usable {
            // The connection was draining and has no open attempts left.
            self.send_up(conn, Event::ClientClosed(conn));
        }
    }

    pub(super) fn timed_out(&mut self, id: AttemptId) {
        if self.attempts[id as usize].abandoned {
            return;
        }
        self.counters.now.timed_out += 1;
        self.cancel(id);
        let number = self.attempts[id as usize].request;
        self.attempt_failed(number, Failure::Failed);
    }

    /// Cancels an attempt; the notification to the server may get lost.
    fn cancel(&mut self, id: AttemptId) {
        let conn = self.attempts[id as usize].conn;
        let rng = &mut self.proxy_rngs[self.conns[conn as usize].proxy as usize];
        if !self.net.cancellation_loss(rng) {
            self.send_up(conn, Event::Cancelled(id));
        }
        self.end_attempt(id);
    }

    pub(super) fn answered(&mut self, id: AttemptId, got: AttemptReply) {
        let attempt = &mut self.attempts[id as usize];
        attempt.state = AttemptState::Over;
        if attempt.abandoned {
            // The answer crossed a cancellation, or a timeout that the server was not notified of.
            return;
        }
        let (number, machine, sent, conn) = (attempt.request, attempt.machine, attempt.sent, attempt.conn);
        self.end_attempt(id);
        if matches!(got, AttemptReply::Reset | AttemptReply::NotConnected) {
            self.retire_connection(conn);
        }
        let took_ms = (self.now - sent) as f64 / 1e6;
        let proxy = &mut self.proxies[self.requests[number as usize].proxy as usize];
        let (level, failure) = match got {
            AttemptReply::Served(level) => (level, None),
            AttemptReply::Refused { away, last, level } => {
                proxy.stay_away(machine, if away > 0 { self.now + away } else { 0 });
                (level, Some(Failure::Refused { no_failover: last }))
            }
            AttemptReply::Failed(level) => (level, Some(Failure::Failed)),
            AttemptReply::Reset => (None, Some(Failure::Failed)),
            AttemptReply::NotConnected => (None, Some(Failure::NotConnected)),
        };
        proxy.record_answer(self.now, machine, level, took_ms, failure.is_none());
        match failure {
            None => self.served(number),
            Some(failure) => self.attempt_failed(number, failure),
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
        self.counters.now.served += 1;
        for copy in copies {
            self.cancel(copy);
        }
    }

    fn give_up(&mut self, number: RequestNo) {
        let request = &mut self.requests[number as usize];
        if !request.done {
            request.done = true;
            self.service.given_up(number as usize);
            self.counters.now.given_up += 1;
        }
    }

    /// Retries a request after a failed or rejected attempt, or gives it up.
    fn attempt_failed(&mut self, number: RequestNo, failure: Failure) {
        let request = &mut self.requests[number as usize];
        if request.done {
            return;
        }
        request.failures += u32::from(failure == Failure::Failed);
        if !request.live.is_empty() || request.pending {
            return;
        }
        let (until, failures, proxy) = (request.until, request.failures, request.proxy as usize);
        match self.proxies[proxy].next(failure, failures) {
            Next::Again(0) if self.now < until => self.start_attempt(number),
            Next::Again(pause) if self.now + pause < until => {
                // Jitter, so that clients don't retry at the same time.
                let notify_proxies = 0.75 + 0.5 * unit(&mut self.proxy_rngs[proxy]);
                self.plan_retry(number, self.now + (pause as f64 * notify_proxies) as At);
            }
            _ => self.give_up(number),
        }
    }

    pub(super) fn hedge(&mut self, number: RequestNo) {
        let request = &self.requests[number as usize];
        if !request.done && !request.pending && request.live.len() == 1 {
            self.start_attempt(number);
        }
    }

    /// Stops sending new requests on a connection.
    pub(super) fn draining(&mut self, conn: u64) {
        self.retire_connection(conn);
        if self.conns[conn as usize].open == 0 {
            self.send_up(conn, Event::ClientClosed(conn));
        }
    }

    /// Takes a connection out of use: it is draining or closed, or the server's incarnation ended.
    pub(super) fn retire_connection(&mut self, conn: u64) {
        let connection = &mut self.conns[conn as usize];
        connection.usable = false;
        if let Some(connections) = self.connections[connection.proxy as usize].get_mut(&connection.machine) {
            connections.retain(|other| *other != conn);
        }
    }

    /// Checks that no attempt is lost.
    ///
    ///
    /// Each unfinished request must have a live attempt or a planned one, and each live attempt must be on the way
    /// or at a server.
    pub fn audit(&self) -> Result<(), String> {
        let (mut open, mut ended) = (0_u64, 0_u64);
        for (number, request) in self.requests.iter().enumerate() {
            let held = request.live.len() + usize::from(request.pending);
            if request.done && request.live.is_empty() {
                ended += 1;
            } else if request.done {
                return Err(format!(
                    "request {number} has ended but has {} live attempts",
                    request.live.len()
                ));
            } else if held == 0 {
                return Err(format!("request {number} is open but has no live or planned attempt"));
            } else {
                open += 1;
            }
            let state = self.service.state(number);
            if (state == crate::service_report::service::RequestState::Open) == request.done {
                return Err(format!(
                    "request {number} is {state:?} in the service report, ended in the world: {}",
                    request.done
                ));
            }
        }
        for (id, attempt) in self.attempts.iter().enumerate() {
            let listed = self.requests[attempt.request as usize].live.contains(&(id as AttemptId));
            if listed == attempt.abandoned {
                return Err(format!(
                    "attempt {id} is live for its request: {listed}, abandoned: {}",
                    attempt.abandoned
                ));
            }
            if listed && attempt.state == AttemptState::Over {
                return Err(format!("attempt {id} has ended but its request waits for it"));
            }
        }
        if open + ended != self.service.len() as u64 {
            return Err(format!("{open} open and {ended} ended of {} requests", self.service.len()));
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
    // Classes of lower priority weight come below; among equal weights, classes with a lower index.
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
        // Parameters without a lognormal distribution: use the mean itself.
        Err(_) => mean,
    }
}
