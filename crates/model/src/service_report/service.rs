//! Counts requests, their outcomes and the score.
//!
//!
//! A request counts once, at the time of its first attempt, however many attempts it took. Windows start at every full
//! second, so that a stretch of bad service is found wherever it begins.

use super::{Ms, Terms, TermsError};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Distance between the starts of two windows.
const STEP_MS: Ms = 1_000;
/// Burst that a tenant may send within its quota, in seconds of that quota.
const BURST_S: f64 = 1.0;

/// Index of a request in the order of the first attempts.
pub type Request = usize;

#[derive(Debug, Clone, Copy, PartialEq)]
enum Ending {
    Open,
    /// Time from the first attempt to the answer.
    Served(Ms),
    GivenUp,
}

#[derive(Debug, Clone)]
struct RequestRecord {
    at: Ms,
    class: usize,
    tenant: usize,
    /// Whether the request was within its tenant's quota.
    within: bool,
    end: Ending,
}

/// State of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RequestState {
    /// An attempt is unanswered, or another one is planned.
    Open,
    /// Answered within the latency objective.
    InTime,
    /// Answered after the latency objective and before the deadline.
    Late,
    /// The client gave up.
    GivenUp,
}

/// Priority weight requested and earned.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize, Deserialize)]
pub struct Sum {
    /// Number of requests.
    pub count: u64,
    /// Priority weight requested.
    #[serde(rename = "asked")]
    pub requested: f64,
    /// Priority weight earned.
    pub earned: f64,
}

impl Sum {
    /// Earned fraction of the requested weight, from 0 to 1; 1 if nothing was requested.
    pub fn share(&self) -> f64 {
        if self.requested > 0.0 { self.earned / self.requested } else { 1.0 }
    }

    fn add(&mut self, priority_weight: f64, earned: f64) {
        self.count += 1;
        self.requested += priority_weight;
        self.earned += earned;
    }
}

/// Service of a whole scenario.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Report {
    /// All requests.
    #[serde(rename = "whole")]
    pub total: Sum,
    /// One sum per class, in the order of the terms.
    pub classes: Vec<Sum>,
    /// One sum per tenant, of the requests within its quota.
    #[serde(rename = "offices")]
    pub tenants: Vec<Sum>,
    /// One sum per tenant, of the requests over its quota.
    #[serde(rename = "beyond")]
    pub over_quota: Vec<Sum>,
    /// Start of the worst window and its sum.
    pub worst: (Ms, Sum),
    /// Number of requests by state: open, in time, late, given up.
    #[serde(rename = "places")]
    pub request_states: [u64; 4],
    /// Fraction of the requests that were answered late, and wasted work as a fraction of the work requested.
    #[serde(rename = "prices")]
    pub deduction_rates: [f64; 2],
    /// Weighted score after deductions.
    #[serde(rename = "g")]
    pub score: f64,
}

impl Report {
    /// Components of the score: total, worst window, worst class, worst tenant within its quota.
    pub fn parts(&self) -> [f64; 4] {
        let least = |sums: &[Sum]| {
            let requested = sums.iter().filter(|sum| sum.count > 0).map(Sum::share);
            requested.fold(1.0, f64::min)
        };
        [self.total.share(), self.worst.1.share(), least(&self.classes), least(&self.tenants)]
    }
}

/// Counts the service of a scenario.
#[derive(Debug, Clone)]
pub struct ServiceCounter {
    terms: Terms,
    requested: Vec<RequestRecord>,
    /// Token bucket of each tenant: requests left within its quota, and the time of the last refill.
    buckets: Vec<(f64, Ms)>,
    work_asked_ms: f64,
    work_wasted_ms: f64,
}

impl ServiceCounter {
    /// Creates a counter without requests.
    pub fn new(terms: Terms) -> Result<Self, TermsError> {
        terms.check()?;
        let buckets =
            terms.tenants.iter().map(|tenant| (tenant.share * terms.capacity * BURST_S, 0)).collect();
        Ok(Self { terms, requested: Vec::new(), buckets, work_asked_ms: 0.0, work_wasted_ms: 0.0 })
    }

    /// Parameters of the score.
    pub fn terms(&self) -> &Terms {
        &self.terms
    }

    /// Records the first attempt of a request. Times must not decrease. `work_ms` is the time of a run on a core of
    /// speed 1, or 0 if unknown.
    pub fn first_attempt(&mut self, at: Ms, class: usize, tenant: usize, work_ms: f64) -> Request {
        let rate = self.terms.tenants[tenant].share * self.terms.capacity;
        let (tokens, since) = &mut self.buckets[tenant];
        *tokens = (*tokens + rate * at.saturating_sub(*since) as f64 / 1e3).min((rate * BURST_S).max(1.0));
        *since = at;
        let within = *tokens >= 1.0;
        if within {
            *tokens -= 1.0;
        }
        self.work_asked_ms += work_ms;
        self.requested.push(RequestRecord { at, class, tenant, within, end: Ending::Open });
        self.requested.len() - 1
    }

    /// Records that an attempt was answered with a result. Only the first answer counts, and none after the client
    /// gave up.
    pub fn served(&mut self, request: Request, at: Ms) {
        let requested = &mut self.requested[request];
        if requested.end == Ending::Open {
            requested.end = Ending::Served(at.saturating_sub(requested.at));
        }
    }

    /// Records that the client gave up.
    pub fn given_up(&mut self, request: Request) {
        let requested = &mut self.requested[request];
        if requested.end == Ending::Open {
            requested.end = Ending::GivenUp;
        }
    }

    /// Adds work done for an answer that no client received.
    pub fn wasted(&mut self, work_ms: f64) {
        self.work_wasted_ms += work_ms;
    }

    /// State of a request.
    pub fn state(&self, request: Request) -> RequestState {
        let requested = &self.requested[request];
        let class = &self.terms.classes[requested.class];
        match requested.end {
            Ending::Open => RequestState::Open,
            Ending::GivenUp => RequestState::GivenUp,
            Ending::Served(took) if took <= class.latency_objective_ms => RequestState::InTime,
            Ending::Served(took) if took <= class.deadline_ms => RequestState::Late,
            Ending::Served(_) => RequestState::GivenUp,
        }
    }

    /// Number of requests recorded.
    pub fn len(&self) -> usize {
        self.requested.len()
    }

    /// Whether no request was recorded.
    pub fn is_empty(&self) -> bool {
        self.requested.is_empty()
    }

    /// Requested and earned priority weight of a request.
    fn priority_weight(&self, request: Request) -> (f64, f64) {
        let requested = &self.requested[request];
        let class = &self.terms.classes[requested.class];
        let priority_weight =
            class.priority_weight * if requested.within { 1.0 } else { self.terms.over_quota_weight };
        let earned = match self.state(request) {
            RequestState::InTime => priority_weight,
            RequestState::Late => priority_weight * class.late_value,
            RequestState::Open | RequestState::GivenUp => 0.0,
        };
        (priority_weight, earned)
    }

    /// Sums of each second of first attempts: one per class, and one per tenant within and over its quota together.
    pub fn seconds(&self) -> (Vec<Vec<Sum>>, Vec<Vec<Sum>>) {
        let last = self.requested.last().map_or(0, |requested| requested.at / STEP_MS) as usize;
        let mut classes = vec![vec![Sum::default(); self.terms.classes.len()]; last + 1];
        let mut tenants = vec![vec![Sum::default(); self.terms.tenants.len()]; last + 1];
        for (request, requested) in self.requested.iter().enumerate() {
            let (priority_weight, earned) = self.priority_weight(request);
            let second = (requested.at / STEP_MS) as usize;
            classes[second][requested.class].add(priority_weight, earned);
            tenants[second][requested.tenant].add(priority_weight, earned);
        }
        (classes, tenants)
    }

    /// Computes the report; open requests count as not served.
    pub fn report(&self) -> Report {
        let terms = &self.terms;
        let mut total = Sum::default();
        let mut classes = vec![Sum::default(); terms.classes.len()];
        let mut tenants = vec![Sum::default(); terms.tenants.len()];
        let mut over_quota = tenants.clone();
        let mut steps = BTreeMap::<Ms, Sum>::new();
        let (mut request_states, mut late) = ([0; 4], 0_u64);
        for (request, requested) in self.requested.iter().enumerate() {
            let (priority_weight, earned) = self.priority_weight(request);
            let state = self.state(request);
            request_states[match state {
                RequestState::Open => 0,
                RequestState::InTime => 1,
                RequestState::Late => 2,
                RequestState::GivenUp => 3,
            }] += 1;
            late += u64::from(state == RequestState::Late);
            total.add(priority_weight, earned);
            classes[requested.class].add(priority_weight, earned);
            let line = if requested.within { &mut tenants } else { &mut over_quota };
            line[requested.tenant].add(priority_weight, earned);
            steps.entry(requested.at / STEP_MS).or_default().add(priority_weight, earned);
        }
        let worst = worst_window(&steps, terms.window_ms.div_ceil(STEP_MS)).unwrap_or((0, total));
        let deduction_rates = [
            late as f64 / self.requested.len().max(1) as f64,
            if self.work_asked_ms > 0.0 { self.work_wasted_ms / self.work_asked_ms } else { 0.0 },
        ];
        let mut report = Report {
            total,
            classes,
            tenants,
            over_quota,
            worst,
            request_states,
            deduction_rates,
            score: 0.0,
        };
        let weighted: f64 =
            report.parts().iter().zip(terms.weights).map(|(part, weight)| part * weight).sum();
        let off: f64 =
            deduction_rates.iter().zip(terms.deductions).map(|(rate, points)| rate * points / 100.0).sum();
        report.score = weighted - off;
        report
    }
}

/// The window of `length` steps with the worst service, among those that lie completely within the scenario, or the
/// whole scenario if it is shorter than a window.
fn worst_window(steps: &BTreeMap<Ms, Sum>, length: u64) -> Option<(Ms, Sum)> {
    let (first, last) = (*steps.keys().next()?, *steps.keys().next_back()?);
    let last_start = (last + 1).saturating_sub(length).max(first);
    let windows = (first..=last_start).map(|start| {
        let mut sum = Sum::default();
        for step in steps.range(start..start + length).map(|(_, step)| step) {
            sum.count += step.count;
            sum.requested += step.requested;
            sum.earned += step.earned;
        }
        (start * STEP_MS, sum)
    });
    // The first of equal windows, so that the report is deterministic.
    windows.filter(|(_, sum)| sum.count > 0).min_by(|a, b| a.1.share().total_cmp(&b.1.share()))
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;

    fn counter() -> ServiceCounter {
        ServiceCounter::new(Terms::specified(100.0)).expect("valid terms")
    }

    /// Guards against perfect service that doesn't score 1, and against deductions where nothing is late or wasted.
    #[test]
    fn full_service_scores_one_and_none_scores_zero() {
        let (mut all, mut none) = (counter(), counter());
        for n in 0..6_000_u64 {
            let (at, class, tenant) = (n * 10, (n % 4) as usize, (n / 4 % 4) as usize);
            let request = all.first_attempt(at, class, tenant, 270.0);
            all.served(request, at + 100);
            let request = none.first_attempt(at, class, tenant, 270.0);
            none.given_up(request);
        }
        assert!((all.report().score - 1.0).abs() < 1e-12, "{:?}", all.report().score);
        assert_eq!((none.report().score, none.report().request_states), (0.0, [0, 0, 0, 6_000]));
    }

    /// Guards against a late answer that earns nothing or everything, an answer after the deadline that earns
    /// anything, and a second answer that counts.
    #[test]
    fn late_answers_earn_a_fraction_and_only_the_first_counts() {
        let mut counter = counter();
        let requests: Vec<_> = [1_600, 1_601, 4_000, 4_001]
            .map(|took| {
                let request = counter.first_attempt(0, 3, 0, 0.0);
                counter.served(request, took);
                counter.served(request, 1);
                counter.given_up(request);
                request
            })
            .to_vec();
        let request_states: Vec<RequestState> =
            requests.iter().map(|&request| counter.state(request)).collect();
        assert_eq!(
            request_states,
            [RequestState::InTime, RequestState::Late, RequestState::Late, RequestState::GivenUp]
        );
        let report = counter.report();
        assert!((report.total.earned - (4.0 + 0.8 + 0.8)).abs() < 1e-9 && report.total.requested == 16.0);
        assert_eq!(report.deduction_rates[0], 0.5);
        let weighted = 5.6 / 16.0;
        assert!((report.score - (weighted - 0.083 * 0.5)).abs() < 1e-9);
    }

    /// Guards against a tenant that gains by flooding: requests over quota have a twentieth of the weight and are
    /// summed separately.
    #[test]
    fn traffic_over_quota_has_little_weight() {
        let mut counter = counter();
        // pohjois-kasvio has a quota of 14 requests per second and sends 140; everything over its quota is
        // rejected.
        let mut within = 0;
        for n in 0..1_400_u64 {
            let request = counter.first_attempt(n * 1_000 / 140, 0, 3, 0.0);
            if counter.requested[request].within {
                within += 1;
                counter.served(request, n * 1_000 / 140 + 5);
            }
        }
        assert!((140..=155).contains(&within), "{within} within 10 s and a burst");
        let report = counter.report();
        assert_eq!(report.tenants[3].share(), 1.0);
        assert_eq!((report.over_quota[3].count, report.over_quota[3].earned), (1_400 - within, 0.0));
        assert!((report.total.requested - (within as f64 + 0.05 * (1_400 - within) as f64)).abs() < 1e-6);
    }

    /// Guards against bad service that spans two windows and is found in neither.
    #[test]
    fn the_worst_window_is_found_wherever_it_begins() {
        let mut counter = counter();
        for n in 0..6_000_u64 {
            let at = n * 10;
            let request = counter.first_attempt(at, 0, (n % 4) as usize, 0.0);
            if !(23_000..33_000).contains(&at) {
                counter.served(request, at);
            }
        }
        let report = counter.report();
        assert_eq!((report.worst.0, report.worst.1.earned), (23_000, 0.0));
        assert!((report.total.share() - 5.0 / 6.0).abs() < 0.01);
    }

    /// Guards against invalid parameters that are accepted.
    #[test]
    fn invalid_terms_are_rejected() {
        let with = |change: fn(&mut Terms)| {
            let mut terms = Terms::specified(10.0);
            change(&mut terms);
            ServiceCounter::new(terms).err()
        };
        assert_eq!(with(|_| {}), None);
        assert_eq!(with(|terms| terms.classes.clear()), Some(TermsError::Empty));
        assert!(matches!(with(|terms| terms.tenants[0].share = 0.5), Some(TermsError::Sum { .. })));
        assert!(matches!(with(|terms| terms.capacity = f64::NAN), Some(TermsError::Range { .. })));
        assert!(matches!(with(|terms| terms.classes[0].deadline_ms = 1), Some(TermsError::Range { .. })));
    }

    proptest! {
        /// Each request is in exactly one state, and the sums by class, tenant and window contain every request,
        /// whatever the order of the events.
        #[test]
        fn nothing_is_lost_or_counted_twice(
            events in proptest::collection::vec((0..4_usize, 0..4_usize, 0..400_u64, 0..3_u8, 0..8_000_u64), 1..300)
        ) {
            let mut counter = counter();
            let mut now = 0;
            for (class, tenant, gap, end, took) in events {
                now += gap;
                let request = counter.first_attempt(now, class, tenant, 1.0);
                match end {
                    0 => {}
                    1 => counter.served(request, now + took),
                    _ => counter.given_up(request),
                }
            }
            let report = counter.report();
            prop_assert_eq!(report.request_states.iter().sum::<u64>(), counter.len() as u64);
            prop_assert_eq!(report.total.count, counter.len() as u64);
            for sums in [vec![&report.classes], vec![&report.tenants, &report.over_quota]] {
                let sums: Vec<Sum> = sums.into_iter().flatten().copied().collect();
                prop_assert_eq!(sums.iter().map(|sum| sum.count).sum::<u64>(), report.total.count);
                let requested: f64 = sums.iter().map(|sum| sum.requested).sum();
                prop_assert!((requested - report.total.requested).abs() < 1e-6);
            }
            prop_assert!(report.score <= 1.0);
        }
    }
}
