//! Network between zones: delays, lost and retransmitted messages, partitions.

use crate::queue::At;
use crate::scenario::NetSpec;
use crate::streams::{chance, unit};
use rand_pcg::Pcg64Mcg;

const MS: f64 = 1e6;

/// Network of a scenario.
#[derive(Debug)]
pub struct Net {
    spec: NetSpec,
    /// Time until which each zone is cut off.
    cut: Vec<At>,
}

impl Net {
    /// Creates a network without partitions.
    pub fn new(spec: NetSpec) -> Self {
        Self { cut: vec![0; spec.zones.max(1)], spec }
    }

    /// Cuts a zone off until a time.
    pub fn cut(&mut self, zone: usize, until: At) {
        if let Some(cut) = self.cut.get_mut(zone) {
            *cut = until.max(*cut);
        }
    }

    /// End of the partition between two zones; a time in the past if there is none.
    pub fn cut_until(&self, from: usize, to: usize) -> At {
        let until = |zone: usize| self.cut.get(zone).copied().unwrap_or(0);
        if from == to { 0 } else { until(from).max(until(to)) }
    }

    /// Arrival time of a message sent now. The transport retransmits a message that is lost or meets a partition, so
    /// that it arrives late but always arrives.
    pub fn arrives(&self, now: At, from: usize, to: usize, rng: &mut Pcg64Mcg) -> At {
        let mean = if from == to { self.spec.same_ms } else { self.spec.cross_ms };
        let delay = mean * (1.0 + self.spec.jitter * (2.0 * unit(rng) - 1.0));
        let lost = self.spec.loss > 0.0 && chance(rng, self.spec.loss);
        let again = if lost { self.spec.resend_ms } else { 0.0 };
        let sent = match self.cut_until(from, to) {
            until if until > now => until + (self.spec.resend_ms * MS) as At,
            _ => now,
        };
        sent + ((delay + again) * MS) as At
    }

    /// Draws whether a cancellation gets lost, as with clients that cancel late or not at all.
    pub fn cancellation_loss(&self, rng: &mut Pcg64Mcg) -> bool {
        chance(rng, self.spec.cancellation_loss)
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::streams::Streams;

    /// Guards against messages that pass through a partition, and against messages that it drops.
    #[test]
    fn a_partition_delays_messages_and_loses_none() {
        let spec = NetSpec {
            zones: 2,
            same_ms: 1.0,
            cross_ms: 2.0,
            jitter: 0.1,
            loss: 0.0,
            resend_ms: 200.0,
            cancellation_loss: 0.0,
        };
        let (mut net, mut rng) = (Net::new(spec), Streams::new(1).of("net", 0));
        net.cut(1, 1_000_000_000);
        let across = net.arrives(5_000_000, 0, 1, &mut rng);
        assert!((1_201_800_000..=1_202_200_000).contains(&across), "{across}");
        let within = net.arrives(5_000_000, 1, 1, &mut rng);
        assert!((5_900_000..=6_100_000).contains(&within), "{within}");
        let after = net.arrives(1_000_000_000, 0, 1, &mut rng);
        assert!(after <= 1_002_200_000, "{after}");
    }
}
