//! Service: what was asked for, what became of it, and the one figure.
//!
//! A request counts once, however many tries it took, from its first try on and in the window in which that came. Windows
//! are counted by arrivals in steps of a second, so that one bad stretch is found wherever it begins.

use super::{Ms, Terms, TermsError};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Between beginnings of windows.
const STEP_MS: Ms = 1_000;
/// Seconds of an office's share that it may ask for at once.
const BURST_S: f64 = 1.0;

/// A request in the books: its place among all that were asked.
pub type Request = usize;

#[derive(Debug, Clone, Copy, PartialEq)]
enum End {
    Open,
    /// So long after its first try.
    Served(Ms),
    GivenUp,
}

#[derive(Debug, Clone)]
struct Asked {
    at: Ms,
    class: usize,
    tenant: usize,
    /// Within its office's share, or beyond it.
    within: bool,
    end: End,
}

/// How a request ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Place {
    /// Some try of it is still to be answered, or another to come.
    Open,
    /// Answered within its aim.
    InTime,
    /// Answered while its caller waited, after the aim.
    Late,
    /// Its caller has given it up.
    GivenUp,
}

/// Worth that was asked for and earned, and how many requests.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize, Deserialize)]
pub struct Sum {
    /// Requests.
    pub count: u64,
    /// Their worth.
    pub asked: f64,
    /// What of it was earned.
    pub earned: f64,
}

impl Sum {
    /// From 0 to 1; 1 where nothing was asked for.
    pub fn share(&self) -> f64 {
        if self.asked > 0.0 { self.earned / self.asked } else { 1.0 }
    }

    fn add(&mut self, priority_weight: f64, earned: f64) {
        self.count += 1;
        self.asked += priority_weight;
        self.earned += earned;
    }
}

/// What a day came to.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Report {
    /// All requests.
    #[serde(rename = "whole")]
    pub total: Sum,
    /// Each class, in the order of the terms.
    pub classes: Vec<Sum>,
    /// Each office within its share.
    #[serde(rename = "offices")]
    pub tenants: Vec<Sum>,
    /// Each office beyond it.
    #[serde(rename = "beyond")]
    pub over_quota: Vec<Sum>,
    /// The beginning of the worst window, and its sum.
    pub worst: (Ms, Sum),
    /// Requests in each place: open, in time, late, given up.
    #[serde(rename = "places")]
    pub states: [u64; 4],
    /// The part of the requests that failed only after their aim, and wasted work as a part of that asked for.
    #[serde(rename = "prices")]
    pub deduction_rates: [f64; 2],
    /// The one figure, deductions taken off.
    #[serde(rename = "g")]
    pub score: f64,
}

impl Report {
    /// What the one figure is made of: the whole, the worst window, the worst class, the worst office within its share.
    pub fn parts(&self) -> [f64; 4] {
        let least = |sums: &[Sum]| {
            let asked = sums.iter().filter(|sum| sum.count > 0).map(Sum::share);
            asked.fold(1.0, f64::min)
        };
        [self.total.share(), self.worst.1.share(), least(&self.classes), least(&self.tenants)]
    }
}

/// The books of a day.
#[derive(Debug, Clone)]
pub struct ServiceCounter {
    terms: Terms,
    asked: Vec<Asked>,
    /// Requests that an office may still ask for within its share, and when that was counted last.
    buckets: Vec<(f64, Ms)>,
    work_asked_ms: f64,
    work_wasted_ms: f64,
}

impl ServiceCounter {
    /// Empty books.
    pub fn new(terms: Terms) -> Result<Self, TermsError> {
        terms.check()?;
        let buckets =
            terms.tenants.iter().map(|tenant| (tenant.share * terms.capacity * BURST_S, 0)).collect();
        Ok(Self { terms, asked: Vec::new(), buckets, work_asked_ms: 0.0, work_wasted_ms: 0.0 })
    }

    /// The terms.
    pub fn terms(&self) -> &Terms {
        &self.terms
    }

    /// A request's first try leaves its caller. Times of first tries must not go back. `work_ms` is what a run of it takes
    /// on a core of speed 1, if that is known.
    pub fn ask(&mut self, at: Ms, class: usize, tenant: usize, work_ms: f64) -> Request {
        let rate = self.terms.tenants[tenant].share * self.terms.capacity;
        let (tokens, since) = &mut self.buckets[tenant];
        *tokens = (*tokens + rate * at.saturating_sub(*since) as f64 / 1e3).min((rate * BURST_S).max(1.0));
        *since = at;
        let within = *tokens >= 1.0;
        if within {
            *tokens -= 1.0;
        }
        self.work_asked_ms += work_ms;
        self.asked.push(Asked { at, class, tenant, within, end: End::Open });
        self.asked.len() - 1
    }

    /// Any try of a request was answered with a result; only the first counts, and none after its caller gave up.
    pub fn served(&mut self, request: Request, at: Ms) {
        let asked = &mut self.asked[request];
        if asked.end == End::Open {
            asked.end = End::Served(at.saturating_sub(asked.at));
        }
    }

    /// Its caller waits no longer.
    pub fn given_up(&mut self, request: Request) {
        let asked = &mut self.asked[request];
        if asked.end == End::Open {
            asked.end = End::GivenUp;
        }
    }

    /// Work was done for an answer that no caller got.
    pub fn wasted(&mut self, work_ms: f64) {
        self.work_wasted_ms += work_ms;
    }

    /// Where a request is.
    pub fn place(&self, request: Request) -> Place {
        let asked = &self.asked[request];
        let class = &self.terms.classes[asked.class];
        match asked.end {
            End::Open => Place::Open,
            End::GivenUp => Place::GivenUp,
            End::Served(took) if took <= class.latency_objective_ms => Place::InTime,
            End::Served(took) if took <= class.deadline_ms => Place::Late,
            End::Served(_) => Place::GivenUp,
        }
    }

    /// Requests so far.
    pub fn len(&self) -> usize {
        self.asked.len()
    }

    /// Whether there are none.
    pub fn is_empty(&self) -> bool {
        self.asked.is_empty()
    }

    /// What a request is worth, and what of it was earned.
    fn priority_weight(&self, request: Request) -> (f64, f64) {
        let asked = &self.asked[request];
        let class = &self.terms.classes[asked.class];
        let priority_weight =
            class.priority_weight * if asked.within { 1.0 } else { self.terms.over_quota_weight };
        let earned = match self.place(request) {
            Place::InTime => priority_weight,
            Place::Late => priority_weight * class.late_value,
            Place::Open | Place::GivenUp => 0.0,
        };
        (priority_weight, earned)
    }

    /// By the second of the first try: each class's sum, and each office's, within its share and beyond it.
    pub fn seconds(&self) -> (Vec<Vec<Sum>>, Vec<Vec<Sum>>) {
        let last = self.asked.last().map_or(0, |asked| asked.at / STEP_MS) as usize;
        let mut classes = vec![vec![Sum::default(); self.terms.classes.len()]; last + 1];
        let mut tenants = vec![vec![Sum::default(); self.terms.tenants.len()]; last + 1];
        for (request, asked) in self.asked.iter().enumerate() {
            let (priority_weight, earned) = self.priority_weight(request);
            let second = (asked.at / STEP_MS) as usize;
            classes[second][asked.class].add(priority_weight, earned);
            tenants[second][asked.tenant].add(priority_weight, earned);
        }
        (classes, tenants)
    }

    /// What it came to; requests still open count as not served.
    pub fn report(&self) -> Report {
        let terms = &self.terms;
        let mut total = Sum::default();
        let mut classes = vec![Sum::default(); terms.classes.len()];
        let mut tenants = vec![Sum::default(); terms.tenants.len()];
        let mut over_quota = tenants.clone();
        let mut steps = BTreeMap::<Ms, Sum>::new();
        let (mut states, mut late) = ([0; 4], 0_u64);
        for (request, asked) in self.asked.iter().enumerate() {
            let (priority_weight, earned) = self.priority_weight(request);
            let place = self.place(request);
            states[match place {
                Place::Open => 0,
                Place::InTime => 1,
                Place::Late => 2,
                Place::GivenUp => 3,
            }] += 1;
            late += u64::from(place == Place::Late);
            total.add(priority_weight, earned);
            classes[asked.class].add(priority_weight, earned);
            let line = if asked.within { &mut tenants } else { &mut over_quota };
            line[asked.tenant].add(priority_weight, earned);
            steps.entry(asked.at / STEP_MS).or_default().add(priority_weight, earned);
        }
        let worst = worst_window(&steps, terms.window_ms.div_ceil(STEP_MS)).unwrap_or((0, total));
        let deduction_rates = [
            late as f64 / self.asked.len().max(1) as f64,
            if self.work_asked_ms > 0.0 { self.work_wasted_ms / self.work_asked_ms } else { 0.0 },
        ];
        let mut report =
            Report { total, classes, tenants, over_quota, worst, states, deduction_rates, score: 0.0 };
        let weighted: f64 =
            report.parts().iter().zip(terms.weights).map(|(part, weight)| part * weight).sum();
        let off: f64 =
            deduction_rates.iter().zip(terms.deductions).map(|(rate, points)| rate * points / 100.0).sum();
        report.score = weighted - off;
        report
    }
}

/// The window of so many steps with the least service, among those that lie wholly within the day; the whole day where it
/// is shorter than a window.
fn worst_window(steps: &BTreeMap<Ms, Sum>, length: u64) -> Option<(Ms, Sum)> {
    let (first, last) = (*steps.keys().next()?, *steps.keys().next_back()?);
    let last_start = (last + 1).saturating_sub(length).max(first);
    let windows = (first..=last_start).map(|start| {
        let mut sum = Sum::default();
        for step in steps.range(start..start + length).map(|(_, step)| step) {
            sum.count += step.count;
            sum.asked += step.asked;
            sum.earned += step.earned;
        }
        (start * STEP_MS, sum)
    });
    // The first of equals, so that the same day gives the same report.
    windows.filter(|(_, sum)| sum.count > 0).min_by(|a, b| a.1.share().total_cmp(&b.1.share()))
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;

    fn books() -> ServiceCounter {
        ServiceCounter::new(Terms::brief(100.0)).expect("terms that make sense")
    }

    /// Guards against a calm day that is not counted as whole, and against deductions where nothing is late or wasted.
    #[test]
    fn all_in_time_is_one_and_nothing_served_is_none() {
        let (mut all, mut none) = (books(), books());
        for n in 0..6_000_u64 {
            let (at, class, tenant) = (n * 10, (n % 4) as usize, (n / 4 % 4) as usize);
            let request = all.ask(at, class, tenant, 270.0);
            all.served(request, at + 100);
            let request = none.ask(at, class, tenant, 270.0);
            none.given_up(request);
        }
        assert!((all.report().score - 1.0).abs() < 1e-12, "{:?}", all.report().score);
        assert_eq!((none.report().score, none.report().states), (0.0, [0, 0, 0, 6_000]));
    }

    /// Guards against a late answer that earns nothing or everything, against one after the deadline that earns, and against
    /// a second answer that counts.
    #[test]
    fn late_answers_earn_their_part_and_only_the_first_counts() {
        let mut books = books();
        let requests: Vec<_> = [1_600, 1_601, 4_000, 4_001]
            .map(|took| {
                let request = books.ask(0, 3, 0, 0.0);
                books.served(request, took);
                books.served(request, 1);
                books.given_up(request);
                request
            })
            .to_vec();
        let states: Vec<Place> = requests.iter().map(|&request| books.place(request)).collect();
        assert_eq!(states, [Place::InTime, Place::Late, Place::Late, Place::GivenUp]);
        let report = books.report();
        assert!((report.total.earned - (4.0 + 0.8 + 0.8)).abs() < 1e-9 && report.total.asked == 16.0);
        assert_eq!(report.deduction_rates[0], 0.5);
        let weighted = 5.6 / 16.0;
        assert!((report.score - (weighted - 0.083 * 0.5)).abs() < 1e-9);
    }

    /// Guards against a flood that buys its office service: beyond the share a request is worth a twentieth, and the office's own
    /// line counts what is within.
    #[test]
    fn traffic_beyond_a_share_is_worth_little() {
        let mut books = books();
        // pohjois-kasvio holds 14 of 100 a second and asks for 140; everything is refused beyond its share.
        let mut within = 0;
        for n in 0..1_400_u64 {
            let request = books.ask(n * 1_000 / 140, 0, 3, 0.0);
            if books.asked[request].within {
                within += 1;
                books.served(request, n * 1_000 / 140 + 5);
            }
        }
        assert!((140..=155).contains(&within), "{within} within 10 s and a burst");
        let report = books.report();
        assert_eq!(report.tenants[3].share(), 1.0);
        assert_eq!((report.over_quota[3].count, report.over_quota[3].earned), (1_400 - within, 0.0));
        assert!((report.total.asked - (within as f64 + 0.05 * (1_400 - within) as f64)).abs() < 1e-6);
    }

    /// Guards against a bad stretch that hides between windows.
    #[test]
    fn the_worst_window_is_found_wherever_it_begins() {
        let mut books = books();
        for n in 0..6_000_u64 {
            let at = n * 10;
            let request = books.ask(at, 0, (n % 4) as usize, 0.0);
            if !(23_000..33_000).contains(&at) {
                books.served(request, at);
            }
        }
        let report = books.report();
        assert_eq!((report.worst.0, report.worst.1.earned), (23_000, 0.0));
        assert!((report.total.share() - 5.0 / 6.0).abs() < 0.01);
    }

    /// Guards against terms that would count nonsense without a word.
    #[test]
    fn terms_that_make_no_sense_are_errors() {
        let with = |change: fn(&mut Terms)| {
            let mut terms = Terms::brief(10.0);
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
        /// Conservation: each first try is in exactly one place, and the sums by class, by office and by window hold all
        /// that was asked, whatever happens in whatever order.
        #[test]
        fn nothing_is_lost_or_counted_twice(
            events in proptest::collection::vec((0..4_usize, 0..4_usize, 0..400_u64, 0..3_u8, 0..8_000_u64), 1..300)
        ) {
            let mut books = books();
            let mut now = 0;
            for (class, tenant, gap, end, took) in events {
                now += gap;
                let request = books.ask(now, class, tenant, 1.0);
                match end {
                    0 => {}
                    1 => books.served(request, now + took),
                    _ => books.given_up(request),
                }
            }
            let report = books.report();
            prop_assert_eq!(report.states.iter().sum::<u64>(), books.len() as u64);
            prop_assert_eq!(report.total.count, books.len() as u64);
            for sums in [vec![&report.classes], vec![&report.tenants, &report.over_quota]] {
                let sums: Vec<Sum> = sums.into_iter().flatten().copied().collect();
                prop_assert_eq!(sums.iter().map(|sum| sum.count).sum::<u64>(), report.total.count);
                let asked: f64 = sums.iter().map(|sum| sum.asked).sum();
                prop_assert!((asked - report.total.asked).abs() < 1e-6);
            }
            prop_assert!(report.score <= 1.0);
        }
    }
}
