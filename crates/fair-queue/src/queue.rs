//! Two fair queues with weighted flows: deficit round robin (M. Shreedhar, G. Varghese, SIGCOMM 1995) and start-time fair
//! queueing (P. Goyal, H. Vin, H. Cheng, SIGCOMM 1996). Both share work instead of requests: the cost of an item is its
//! estimated work.

use std::cmp::Ordering;
use std::collections::{BTreeMap, BinaryHeap, VecDeque};

/// A queue that serves waiting flows in proportion to their weights. A flow is a tenant, or a client within a tenant.
pub trait FairQueue<T> {
    /// Appends an item to a flow. The cost is the estimated work of the item; a negative one counts as 0.
    fn push(&mut self, flow: usize, cost: f64, item: T);

    /// Removes the item to serve next; returns it with its flow.
    fn pop(&mut self) -> Option<(usize, T)>;

    /// The number of waiting items in all flows.
    fn len(&self) -> usize;

    /// Whether no item is waiting.
    fn is_empty(&self) -> bool {
        self.len() == 0
    }
}

/// Lower weights are raised to this one, so that a flow of weight 0 waits long but not forever.
const MIN_WEIGHT: f64 = 1e-3;

fn weight(weights: &[f64], flow: usize) -> f64 {
    weights.get(flow).copied().unwrap_or(0.0).max(MIN_WEIGHT)
}

#[derive(Debug)]
struct Flow<T> {
    waiting: VecDeque<(f64, T)>,
    deficit: f64,
}

/// A fair queue by deficit round robin.
#[derive(Debug)]
pub struct DeficitRoundRobin<T> {
    weights: Vec<f64>,
    /// The work that a flow of weight 1 may use in each round.
    quantum: f64,
    flows: BTreeMap<usize, Flow<T>>,
    round: VecDeque<usize>,
    /// Whether the flow at the front of the round has received its quantum in this round.
    front_has_quantum: bool,
    count: usize,
}

impl<T> DeficitRoundRobin<T> {
    /// A queue with these weights, indexed by flow. The quantum should be the highest usual cost divided by the lowest relevant
    /// weight, so that most turns serve at least one item; one that isn't positive becomes 1.
    pub fn new(weights: Vec<f64>, quantum: f64) -> Self {
        let quantum = if quantum > 0.0 { quantum } else { 1.0 };
        Self {
            weights,
            quantum,
            flows: BTreeMap::new(),
            round: VecDeque::new(),
            front_has_quantum: false,
            count: 0,
        }
    }
}

impl<T> FairQueue<T> for DeficitRoundRobin<T> {
    fn push(&mut self, flow: usize, cost: f64, item: T) {
        let entry = self.flows.entry(flow).or_insert_with(|| {
            // A flow that was idle starts without saved credit.
            self.round.push_back(flow);
            Flow { waiting: VecDeque::new(), deficit: 0.0 }
        });
        entry.waiting.push_back((cost.max(0.0), item));
        self.count += 1;
    }

    fn pop(&mut self) -> Option<(usize, T)> {
        loop {
            let flow = *self.round.front()?;
            let gained_work = self.quantum * weight(&self.weights, flow);
            let entry = self.flows.get_mut(&flow)?;
            if !std::mem::replace(&mut self.front_has_quantum, true) {
                entry.deficit += gained_work;
            }
            let cost = entry.waiting.front().map_or(0.0, |(cost, _)| *cost);
            if cost > entry.deficit {
                self.front_has_quantum = false;
                self.round.rotate_left(1);
                continue;
            }
            let (cost, item) = entry.waiting.pop_front()?;
            entry.deficit -= cost;
            self.count -= 1;
            if entry.waiting.is_empty() {
                self.flows.remove(&flow);
                self.round.pop_front();
                self.front_has_quantum = false;
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
    sequence: u64,
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
    /// The item with the earliest start tag is the greatest, so that it is at the top of the heap.
    fn cmp(&self, other: &Self) -> Ordering {
        other.start.total_cmp(&self.start).then(other.sequence.cmp(&self.sequence))
    }
}

/// A fair queue by start-time fair queueing.
#[derive(Debug)]
pub struct StartTimeFairQueue<T> {
    weights: Vec<f64>,
    /// The start tag of the item that was removed last.
    virtual_time: f64,
    /// The finish tag of each flow's last item.
    finishes: BTreeMap<usize, f64>,
    heap: BinaryHeap<Tagged<T>>,
    sequence: u64,
}

impl<T> StartTimeFairQueue<T> {
    /// A queue with these weights, indexed by flow.
    pub fn new(weights: Vec<f64>) -> Self {
        Self { weights, virtual_time: 0.0, finishes: BTreeMap::new(), heap: BinaryHeap::new(), sequence: 0 }
    }
}

impl<T> FairQueue<T> for StartTimeFairQueue<T> {
    fn push(&mut self, flow: usize, cost: f64, item: T) {
        let finish = self.finishes.get(&flow).copied().unwrap_or(0.0);
        let start = finish.max(self.virtual_time);
        self.finishes.insert(flow, start + cost.max(0.0) / weight(&self.weights, flow));
        self.sequence += 1;
        self.heap.push(Tagged { start, sequence: self.sequence, flow, item });
    }

    fn pop(&mut self) -> Option<(usize, T)> {
        let tagged = self.heap.pop()?;
        self.virtual_time = tagged.start;
        if self.heap.is_empty() {
            // No item is waiting, so all flows start again with equal tags.
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

    fn both_queues() -> [Box<dyn FairQueue<f64>>; 2] {
        [
            Box::new(DeficitRoundRobin::new(SHARES.to_vec(), 4.0)),
            Box::new(StartTimeFairQueue::new(SHARES.to_vec())),
        ]
    }

    fn serve(queue: &mut dyn FairQueue<f64>, max_work: f64) -> [f64; 4] {
        let (mut work, mut total) = ([0.0; 4], 0.0);
        while total < max_work
            && let Some((flow, cost)) = queue.pop()
        {
            work[flow] += cost;
            total += cost;
        }
        work
    }

    /// Guards against sharing by number of requests: a tenant with long requests must get no more work than its share.
    #[test]
    fn shares_work_by_weight_while_all_flows_wait() {
        for mut queue in both_queues() {
            for _ in 0..10_000 {
                for (flow, cost) in [(0, 1.0), (1, 0.3), (2, 0.2), (3, 0.5)] {
                    queue.push(flow, cost, cost);
                }
            }
            let work = serve(&mut *queue, 1_000.0);
            for (flow, share) in SHARES.iter().enumerate() {
                assert!((work[flow] / 1_000.0 - share).abs() < 0.01, "{flow}: {work:?}");
            }
        }
    }

    /// Guards against a flow that gains work by flooding, and against a flow that gets more than its share after being idle.
    #[test]
    fn a_flood_uses_only_idle_capacity_and_an_idle_flow_saves_no_credit() {
        for mut queue in both_queues() {
            (0..50_000).for_each(|_| queue.push(1, 0.3, 0.3));
            let flood_only = serve(&mut *queue, 500.0);
            assert!(flood_only[1] > 499.0, "a flow may use the capacity that idle flows leave");
            (0..5_000).for_each(|_| queue.push(0, 0.3, 0.3));
            let work = serve(&mut *queue, 50.0);
            // Weights of 0.42 and 0.26: 0.42 / 0.68 is 0.618.
            assert!((work[0] / (work[0] + work[1]) - 0.618).abs() < 0.03, "{work:?}");
        }
    }

    /// Guards against starvation of a flow with weight 0, and of a flow that has no weight.
    #[test]
    fn serves_flows_of_weight_0_late_but_not_never() {
        for mut queue in [
            Box::new(DeficitRoundRobin::new(vec![1.0, 0.0], 1.0)) as Box<dyn FairQueue<f64>>,
            Box::new(StartTimeFairQueue::new(vec![1.0, 0.0])),
        ] {
            (0..2_000).for_each(|_| queue.push(0, 0.1, 0.1));
            [1, 9].into_iter().for_each(|flow| (0..3).for_each(|_| queue.push(flow, 0.1, 0.1)));
            let mut order = Vec::new();
            while let Some((flow, _)) = queue.pop() {
                order.push(flow);
            }
            assert_eq!((order.len(), order.iter().filter(|flow| **flow != 0).count()), (2_006, 6));
            assert!(order[..100].iter().filter(|flow| **flow != 0).count() <= 2, "{:?}", &order[..100]);
        }
    }

    proptest! {
        /// Guards against lost items and against waiting flows that are passed over: while all flows wait, their work per weight
        /// differs by at most two items and two quanta.
        #[test]
        fn waiting_flows_get_equal_work_per_weight(costs in prop::collection::vec((0_usize..4, 1_u32..30), 40..300)) {
            for mut queue in both_queues() {
                for (flow, cost) in &costs {
                    queue.push(*flow, f64::from(*cost) / 10.0, f64::from(*cost) / 10.0);
                }
                let mut waiting = [0_usize; 4];
                costs.iter().for_each(|(flow, _)| waiting[*flow] += 1);
                let (mut served, mut count) = ([0.0; 4], 0);
                while let Some((flow, cost)) = queue.pop() {
                    if waiting.iter().all(|count| *count > 0) {
                        let work_per_weight: Vec<f64> = served.iter().zip(SHARES).map(|(work, share)| work / share).collect();
                        let spread = work_per_weight.iter().fold(0.0_f64, |a, b| a.max(*b)) - work_per_weight.iter().fold(f64::MAX, |a, b| a.min(*b));
                        prop_assert!(spread <= 2.0 * (3.0 / 0.14 + 4.0), "{work_per_weight:?}");
                    }
                    served[flow] += cost;
                    waiting[flow] -= 1;
                    count += 1;
                }
                prop_assert_eq!(count, costs.len());
                prop_assert!(queue.is_empty());
            }
        }
    }
}
