//! The callers behind a client: when their requests come, and how long they wait.

use super::Drill;
use crate::drill::faults::random::Random;
use std::borrow::Cow;
use std::collections::VecDeque;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Classes with their shares in eight requests; the last one is keyed.
const CLASSES: [&str; 8] = [
    "sheet-view",
    "sheet-view",
    "sheet-view",
    "deep-zoom",
    "deep-zoom",
    "label-read",
    "label-read",
    "label-save",
];
const KEYED: &str = "label-save";
const TENANTS: [&str; 4] = ["etela-kasvio", "lansi-kasvio", "ita-kasvio", "pohjois-kasvio"];
/// Bodies have this many bytes, the longest that the protocol page allows.
const BODY_BYTES: usize = 2_048;
/// One in this many requests is a retry.
const RETRY_DRAWS: u64 = 3;

/// A request of a caller.
#[derive(Debug, Clone)]
pub(super) struct Request {
    pub(super) rid: String,
    pub(super) class: Cow<'static, str>,
    pub(super) tenant: &'static str,
    pub(super) token: Option<String>,
    pub(super) is_retry: bool,
    /// When it came to the client.
    pub(super) came: Instant,
    pub(super) t0_ms: u64,
    pub(super) budget: Duration,
    pub(super) body: Vec<u8>,
}

impl Request {
    /// When its caller stops waiting.
    pub(super) fn expires_at(&self) -> Instant {
        self.came + self.budget
    }
}

/// The callers of one client: Poisson arrivals.
pub(super) struct Callers {
    random: Random,
    /// Mean time between two requests.
    mean_pause: Duration,
    budget_ms: [u64; 2],
    next_at: Instant,
    ends_at: Instant,
    /// Requests that have come and wait for a place on the connection.
    pub(super) waiting: VecDeque<Request>,
}

impl Callers {
    pub(super) fn new(drill: &Drill, number: usize) -> Self {
        let now = Instant::now();
        let mean_pause = Duration::from_secs_f64(drill.connections as f64 / drill.requests_per_second);
        let mut callers = Self {
            random: Random::new(drill.seed.wrapping_mul(10_007).wrapping_add(number as u64), 32),
            mean_pause,
            budget_ms: drill.budget_ms,
            next_at: now,
            ends_at: now + drill.duration,
            waiting: VecDeque::new(),
        };
        let pause = callers.draw_pause();
        callers.next_at += pause;
        callers
    }

    /// Whether no more requests come and none waits.
    pub(super) fn are_done(&self) -> bool {
        self.next_at >= self.ends_at && self.waiting.is_empty()
    }

    /// When the next request comes; `None` if no more do.
    pub(super) fn next_at(&self) -> Option<Instant> {
        (self.next_at < self.ends_at).then_some(self.next_at)
    }

    /// Adds the requests that have come by now.
    pub(super) fn advance(&mut self, now: Instant) {
        while self.next_at <= now && self.next_at < self.ends_at {
            let request = self.draw_request(self.next_at, now);
            self.waiting.push_back(request);
            let pause = self.draw_pause();
            self.next_at += pause;
        }
    }

    /// Draws a request that comes now, whatever the rate.
    pub(super) fn draw_now(&mut self) -> Request {
        let now = Instant::now();
        self.draw_request(now, now)
    }

    fn draw_pause(&mut self) -> Duration {
        let unit = (self.random.number() >> 11) as f64 / (1_u64 << 53) as f64;
        self.mean_pause.mul_f64(-(1.0 - unit).ln())
    }

    fn draw_request(&mut self, came: Instant, now: Instant) -> Request {
        let class = self.random.one_of(&CLASSES);
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        let t0_ms = unix.saturating_sub(now.saturating_duration_since(came)).as_millis() as u64;
        let token =
            (class == KEYED).then(|| format!("{:016x}{:016x}", self.random.number(), self.random.number()));
        let [shortest, longest] = self.budget_ms;
        Request {
            rid: format!("{:016x}", self.random.number()),
            class: class.into(),
            tenant: self.random.one_of(&TENANTS),
            token,
            is_retry: self.random.once_in(RETRY_DRAWS),
            came,
            t0_ms,
            budget: Duration::from_millis(self.random.within(shortest..=longest)),
            body: self.random.bytes(BODY_BYTES),
        }
    }
}
