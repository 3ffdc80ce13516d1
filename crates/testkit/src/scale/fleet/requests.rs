//! Synthetic requests of a hollow server, and a simulated processor: arrivals are drawn from a seed, and a run ends after a
//! random time without doing any work.

use crate::load;
use gradepin_admission::{RequestId, Settings, Span, Time, time_after};
use gradepin_core::buffer_pool::BufferPool;
use gradepin_core::messages::{ClientRequest, ConnectionId, Effect, Input, Receipt, RunEnd};
use gradepin_core::timestamp::Timestamp;
use rand_pcg::Pcg64Mcg;
use rand_pcg::rand_core::{Rng, SeedableRng};
use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::sync::Arc;

/// Maximum time of a run as a multiple of the mean, as in the stand-in processor.
const MAX_RUN_FACTOR: f64 = 8.0;
/// Core utilization reported by the simulated processor.
const CORE_UTILIZATION: f64 = 0.1;
/// Heap utilization reported by the simulated processor.
const HEAP_UTILIZATION: f64 = 0.1;
/// Number of the processor link, which never fails.
const LINK: u64 = 1;

/// Requests of a hollow server and their runs.
pub struct Requests {
    rng: Pcg64Mcg,
    /// Arrivals per second; 0 for none.
    rate: f64,
    mean_run_s: f64,
    next_arrival: Option<Time>,
    /// Runs by end time.
    runs: BinaryHeap<Reverse<(Time, RequestId)>>,
    notices: u64,
    /// Open connection of the simulated client, if any.
    conn: Option<ConnectionId>,
    last_conn: ConnectionId,
    last_seq: i32,
    last_request: u64,
    name: u64,
}

impl Requests {
    /// Creates the load of the server with this number, starting at `now`.
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

    /// Greeting of the processor at the start of the server.
    pub fn greeting() -> Input {
        Input::LinkUp { link: LINK, cold: false, age: Span(0) }
    }

    /// Time of the next arrival or end of a run.
    pub fn wake_at(&self) -> Option<Time> {
        let run = self.runs.peek().map(|Reverse((at, _))| *at);
        [run, self.next_arrival].into_iter().flatten().min()
    }

    /// Appends all inputs due by now; returns the number of arrived requests.
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

    /// Applies an effect on the processor or a connection, and appends its immediate results.
    pub fn apply(&mut self, now: Time, effect: Effect, inputs: &mut Vec<Input>) {
        match effect {
            Effect::StartRun { id, .. } => {
                let duration_s = self.exponential(self.mean_run_s).min(MAX_RUN_FACTOR * self.mean_run_s);
                self.runs
                    .push(Reverse((time_after(now, gradepin_admission::span_from_seconds(duration_s)), id)));
            }
            Effect::ReadGauges { number: tag, .. } => {
                let gauges = vec![CORE_UTILIZATION, self.runs.len() as f64, HEAP_UTILIZATION, 0.0];
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
            receipt: Receipt::default(),
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

    /// Draws a class with the fractions that the client proxies use.
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
