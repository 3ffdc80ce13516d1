//! Whose turn it is among those that wait: by deficit round robin (M. Shreedhar, G. Varghese, SIGCOMM 1995) with weights, or by
//! start-time fair queueing (P. Goyal, H. Vin, H. Cheng, SIGCOMM 1996). Both share work, not requests: an item's cost is its
//! estimated work.

use std::cmp::Ordering;
use std::collections::{BTreeMap, BinaryHeap, VecDeque};

/// Flows that wait for turns; a flow is an office, or a client within one.
pub trait Turns<T> {
    /// An item of a flow with its cost.
    fn push(&mut self, flow: usize, cost: f64, item: T);

    /// The next item, with its flow.
    fn pop(&mut self) -> Option<(usize, T)>;

    /// Items that wait.
    fn len(&self) -> usize;

    /// Whether none does.
    fn is_empty(&self) -> bool {
        self.len() == 0
    }
}

/// Weights under this are this: a flow of weight 0 waits long, and not for ever.
const LEAST_WEIGHT: f64 = 1e-3;

fn weight(weights: &[f64], flow: usize) -> f64 {
    weights.get(flow).copied().unwrap_or(0.0).max(LEAST_WEIGHT)
}

#[derive(Debug)]
struct Flow<T> {
    waiting: VecDeque<(f64, T)>,
    deficit: f64,
}

/// Deficit round robin.
#[derive(Debug)]
pub struct Drr<T> {
    weights: Vec<f64>,
    /// Work that a flow of weight 1 gains in a round.
    quantum: f64,
    flows: BTreeMap<usize, Flow<T>>,
    round: VecDeque<usize>,
    /// Whether the flow whose turn it is has had its quantum.
    given: bool,
    count: usize,
}

impl<T> Drr<T> {
    /// Flows with these weights. The quantum should be the greatest usual cost, over the least weight that matters.
    pub fn new(weights: Vec<f64>, quantum: f64) -> Self {
        let quantum = if quantum > 0.0 { quantum } else { 1.0 };
        Self { weights, quantum, flows: BTreeMap::new(), round: VecDeque::new(), given: false, count: 0 }
    }
}

impl<T> Turns<T> for Drr<T> {
    fn push(&mut self, flow: usize, cost: f64, item: T) {
        let entry = self.flows.entry(flow).or_insert_with(|| {
            // One that idled comes with nothing saved up.
            self.round.push_back(flow);
            Flow { waiting: VecDeque::new(), deficit: 0.0 }
        });
        entry.waiting.push_back((cost.max(0.0), item));
        self.count += 1;
    }

    fn pop(&mut self) -> Option<(usize, T)> {
        loop {
            let flow = *self.round.front()?;
            let gain = self.quantum * weight(&self.weights, flow);
            let entry = self.flows.get_mut(&flow)?;
            if !std::mem::replace(&mut self.given, true) {
                entry.deficit += gain;
            }
            let cost = entry.waiting.front().map_or(0.0, |(cost, _)| *cost);
            if cost > entry.deficit {
                self.given = false;
                self.round.rotate_left(1);
                continue;
            }
            let (cost, item) = entry.waiting.pop_front()?;
            entry.deficit -= cost;
            self.count -= 1;
            if entry.waiting.is_empty() {
                self.flows.remove(&flow);
                self.round.pop_front();
                self.given = false;
            }
            return Some((flow, item));
        }
    }

    fn len(&self) -> usize {
        self.count
    }
}

#[derive(Debug)]
struct Tagged<T> {
    start: f64,
    number: u64,
    flow: usize,
    item: T,
}

impl<T> PartialEq for Tagged<T> {
    fn eq(&self, other: &Self) -> bool {
        self.cmp(other) == Ordering::Equal
    }
}

impl<T> Eq for Tagged<T> {}

impl<T> PartialOrd for Tagged<T> {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl<T> Ord for Tagged<T> {
    /// The earliest start is the greatest: the heap's top.
    fn cmp(&self, other: &Self) -> Ordering {
        other.start.total_cmp(&self.start).then(other.number.cmp(&self.number))
    }
}

/// Start-time fair queueing.
#[derive(Debug)]
pub struct Sfq<T> {
    weights: Vec<f64>,
    /// The start of what was last taken, and the finish of each flow's last item.
    virtual_time: f64,
    finishes: BTreeMap<usize, f64>,
    heap: BinaryHeap<Tagged<T>>,
    number: u64,
}

impl<T> Sfq<T> {
    /// Flows with these weights.
    pub fn new(weights: Vec<f64>) -> Self {
        Self { weights, virtual_time: 0.0, finishes: BTreeMap::new(), heap: BinaryHeap::new(), number: 0 }
    }
}

impl<T> Turns<T> for Sfq<T> {
    fn push(&mut self, flow: usize, cost: f64, item: T) {
        let finish = self.finishes.get(&flow).copied().unwrap_or(0.0);
        let start = finish.max(self.virtual_time);
        self.finishes.insert(flow, start + cost.max(0.0) / weight(&self.weights, flow));
        self.number += 1;
        self.heap.push(Tagged { start, number: self.number, flow, item });
    }

    fn pop(&mut self) -> Option<(usize, T)> {
        let tagged = self.heap.pop()?;
        self.virtual_time = tagged.start;
        if self.heap.is_empty() {
            // Nobody waits: whatever comes next begins alike.
            self.finishes.clear();
            self.virtual_time = 0.0;
        }
        Some((tagged.flow, tagged.item))
    }

    fn len(&self) -> usize {
        self.heap.len()
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;

    const SHARES: [f64; 4] = [0.42, 0.26, 0.18, 0.14];

    fn both() -> [Box<dyn Turns<f64>>; 2] {
        [Box::new(Drr::new(SHARES.to_vec(), 4.0)), Box::new(Sfq::new(SHARES.to_vec()))]
    }

    fn serve(turns: &mut dyn Turns<f64>, until: f64) -> [f64; 4] {
        let (mut work, mut all) = ([0.0; 4], 0.0);
        while all < until
            && let Some((flow, cost)) = turns.pop()
        {
            work[flow] += cost;
            all += cost;
        }
        work
    }

    /// Guards against shares of requests: an office with long requests gets no more work than its share.
    #[test]
    fn work_is_shared_by_weight_while_all_wait() {
        for mut turns in both() {
            for _ in 0..10_000 {
                for (flow, cost) in [(0, 1.0), (1, 0.3), (2, 0.2), (3, 0.5)] {
                    turns.push(flow, cost, cost);
                }
            }
            let work = serve(&mut *turns, 1_000.0);
            for (flow, share) in SHARES.iter().enumerate() {
                assert!((work[flow] / 1_000.0 - share).abs() < 0.01, "{flow}: {work:?}");
            }
        }
    }

    /// Hard case 1: one that floods gains nothing by it, and one that idled gets its share at once and no more.
    #[test]
    fn a_flood_takes_what_others_leave_and_idling_saves_nothing_up() {
        for mut turns in both() {
            (0..50_000).for_each(|_| turns.push(1, 0.3, 0.3));
            let alone = serve(&mut *turns, 500.0);
            assert!(alone[1] > 499.0, "what nobody else wants is lent");
            (0..5_000).for_each(|_| turns.push(0, 0.3, 0.3));
            let work = serve(&mut *turns, 50.0);
            // 0.42 to 0.26.
            assert!((work[0] / (work[0] + work[1]) - 0.618).abs() < 0.03, "{work:?}");
        }
    }

    /// Hard case 4: a share of 0, and an office that there isn't, wait long and come.
    #[test]
    fn a_share_of_nothing_is_served_last_and_not_never() {
        for mut turns in [
            Box::new(Drr::new(vec![1.0, 0.0], 1.0)) as Box<dyn Turns<f64>>,
            Box::new(Sfq::new(vec![1.0, 0.0])),
        ] {
            (0..2_000).for_each(|_| turns.push(0, 0.1, 0.1));
            [1, 9].into_iter().for_each(|flow| (0..3).for_each(|_| turns.push(flow, 0.1, 0.1)));
            let mut order = Vec::new();
            while let Some((flow, _)) = turns.pop() {
                order.push(flow);
            }
            assert_eq!((order.len(), order.iter().filter(|flow| **flow != 0).count()), (2_006, 6));
            assert!(order[..100].iter().filter(|flow| **flow != 0).count() <= 2, "{:?}", &order[..100]);
        }
    }

    proptest! {
        /// Guards against an item that is lost, and against a flow that waits and is passed over: over any stretch in which two wait,
        /// what they got by weight differs by no more than two items and two quanta.
        #[test]
        fn nobody_who_waits_is_passed_over(costs in prop::collection::vec((0_usize..4, 1_u32..30), 40..300)) {
            for mut turns in both() {
                for (flow, cost) in &costs {
                    turns.push(*flow, f64::from(*cost) / 10.0, f64::from(*cost) / 10.0);
                }
                let mut left = [0_usize; 4];
                costs.iter().for_each(|(flow, _)| left[*flow] += 1);
                let (mut got, mut count) = ([0.0; 4], 0);
                while let Some((flow, cost)) = turns.pop() {
                    if left.iter().all(|left| *left > 0) {
                        let by: Vec<f64> = got.iter().zip(SHARES).map(|(work, share)| work / share).collect();
                        let spread = by.iter().fold(0.0_f64, |a, b| a.max(*b)) - by.iter().fold(f64::MAX, |a, b| a.min(*b));
                        prop_assert!(spread <= 2.0 * (3.0 / 0.14 + 4.0), "{by:?}");
                    }
                    got[flow] += cost;
                    left[flow] -= 1;
                    count += 1;
                }
                prop_assert_eq!(count, costs.len());
                prop_assert!(turns.is_empty());
            }
        }
    }
}
