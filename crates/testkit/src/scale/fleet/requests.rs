//! Synthetic requests of one hollow server, and a processor that only keeps time: arrivals are drawn from a seed, a run is
//! answered after a drawn time, and no work is done.

use crate::load;
use gradepin_admission::{RequestId, Settings, Span, Time, time_after};
use gradepin_core::buffer_pool::BufferPool;
use gradepin_core::messages::{ClientRequest, ConnectionId, Effect, Input, RunEnd};
use gradepin_core::timestamp::Timestamp;
use rand_pcg::Pcg64Mcg;
use rand_pcg::rand_core::{Rng, SeedableRng};
use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::sync::Arc;

/// No run takes more of the mean than this: long tails are cut, as the stand-in processor does.
const MOST_OF_MEAN: f64 = 8.0;
/// The gauges that the stand-in for the processor tells: a part of the cores in use, runs on them, the heap's share, links.
const CORE_USE: f64 = 0.1;
const HEAP_SHARE: f64 = 0.1;
/// The link to the processor, which never falls.
const LINK: u64 = 1;

/// Requests and their runs.
pub struct Requests {
    rng: Pcg64Mcg,
    /// Arrivals a second; 0 for none.
    rate: f64,
    mean_run_s: f64,
    next_arrival: Option<Time>,
    /// Runs by when they end.
    runs: BinaryHeap<Reverse<(Time, RequestId)>>,
    notices: u64,
    /// The connection that requests come on, while there is one.
    conn: Option<ConnectionId>,
    last_conn: ConnectionId,
    last_seq: i32,
    last_request: u64,
    name: u64,
}

impl Requests {
    /// Of a server with this number, from now on.
    pub fn new(number: u64, seed: u64, rate: f64, mean_run_ms: f64, now: Time) -> Self {
        let mut requests = Self {
            rng: Pcg64Mcg::seed_from_u64(seed ^ number.wrapping_mul(0x9e37_79b9_7f4a_7c15)),
            rate,
            mean_run_s: mean_run_ms / 1e3,
            next_arrival: None,
            runs: BinaryHeap::new(),
            notices: 0,
            conn: None,
            last_conn: 0,
            last_seq: 0,
            last_request: 0,
            name: number + 1,
        };
        requests.next_arrival = requests.arrival_after(now);
        requests
    }

    /// The processor greets, at the server's start.
    pub fn greeting() -> Input {
        Input::LinkUp { link: LINK, cold: false, age: Span(0) }
    }

    /// When something comes.
    pub fn wake_at(&self) -> Option<Time> {
        let run = self.runs.peek().map(|Reverse((at, _))| *at);
        [run, self.next_arrival].into_iter().flatten().min()
    }

    /// Appends what came by now, and says how many requests that are.
    pub fn due(
        &mut self,
        moment: Timestamp,
        settings: &Settings,
        pool: &Arc<BufferPool>,
        inputs: &mut Vec<Input>,
    ) -> u64 {
        while self.runs.peek().is_some_and(|Reverse((at, _))| *at <= moment.now) {
            let Some(Reverse((_, id))) = self.runs.pop() else { break };
            self.notices += 1;
            let Some(result) = pool.copy(b"tile") else { break };
            let took = Span((self.mean_run_s * 1e9) as u64);
            inputs.push(Input::RunCompleted { notice: self.notices, id, end: RunEnd::Ok, took, result });
        }
        let mut arrived = 0;
        while self.next_arrival.is_some_and(|at| at <= moment.now) {
            let at = self.next_arrival.unwrap_or_default();
            self.next_arrival = self.arrival_after(at);
            self.arrive(moment, settings, pool, inputs);
            arrived += 1;
        }
        arrived
    }

    /// Takes an effect that is the processor's or a connection's, and appends what comes of it at once.
    pub fn take(&mut self, now: Time, effect: Effect, inputs: &mut Vec<Input>) {
        match effect {
            Effect::StartRun { id, .. } => {
                let takes = self.exponential(self.mean_run_s).min(MOST_OF_MEAN * self.mean_run_s);
                self.runs.push(Reverse((time_after(now, gradepin_admission::span_from_seconds(takes)), id)));
            }
            Effect::ReadGauges { number: tag, .. } => {
                let gauges = vec![CORE_USE, self.runs.len() as f64, HEAP_SHARE, 0.0];
                inputs.push(Input::GaugesRead { number: tag, values: gauges });
            }
            Effect::CloseConnection(conn)
            | Effect::CloseIdleConnection { connection: conn, .. }
            | Effect::CloseLateConnection { connection: conn, .. } => {
                self.conn.take_if(|open| *open == conn);
                inputs.push(Input::ConnectionClosed(conn));
            }
            _ => {}
        }
    }

    fn arrive(
        &mut self,
        moment: Timestamp,
        settings: &Settings,
        pool: &Arc<BufferPool>,
        inputs: &mut Vec<Input>,
    ) {
        let conn = self.connection(inputs);
        self.last_seq += 1;
        self.last_request += 1;
        let class = self.class(settings);
        let (keyed, deadline) = {
            let profile = &settings.profiles[class];
            (profile.effect == gradepin_admission::Idempotency::Keyed, profile.deadline)
        };
        let tenants = settings.tenants.len();
        let number = self.name << 40 | self.last_request;
        let Some(body) = pool.exact(number.to_string().as_bytes()) else { return };
        let call = ClientRequest {
            id: RequestId::new(&format!("{:016x}", self.rng.next_u64())),
            class: class.into(),
            tenant: (tenants > 0).then(|| (self.last_request as usize % tenants).into()),
            client_proxy: self.name,
            arrived_unix_ms: moment.unix_ms,
            budget_ms: deadline.0 / 1_000_000,
            retry: false,
            size_kb: 8.0 + 56.0 * self.unit(),
            precedence: self.unit() * 0.999,
            idempotency_key: keyed.then(|| Arc::from(format!("{number:032x}"))),
            has_subject: false,
            body,
        };
        inputs.push(Input::Request { connection: conn, sequence: self.last_seq, request: Box::new(call) });
    }

    fn connection(&mut self, inputs: &mut Vec<Input>) -> ConnectionId {
        if let Some(conn) = self.conn {
            return conn;
        }
        self.last_conn += 1;
        inputs.push(Input::ConnectionOpened(self.last_conn));
        self.conn = Some(self.last_conn);
        self.last_conn
    }

    /// A class by the shares that the client proxies of the kit draw by.
    fn class(&mut self, settings: &Settings) -> usize {
        let mut draw = self.unit();
        let drawn = load::classes().into_iter().find(|class| {
            draw -= class.share;
            draw < 0.0
        });
        drawn.and_then(|class| settings.class(&class.name)).unwrap_or(0)
    }

    fn arrival_after(&mut self, at: Time) -> Option<Time> {
        let pause = (self.rate > 0.0).then(|| self.exponential(1.0 / self.rate))?;
        Some(time_after(at, gradepin_admission::span_from_seconds(pause)))
    }

    fn exponential(&mut self, mean: f64) -> f64 {
        -(1.0 - self.unit()).ln() * mean
    }

    fn unit(&mut self) -> f64 {
        (self.rng.next_u64() >> 11) as f64 / (1_u64 << 53) as f64
    }
}

#[cfg(test)]
mod tests;
