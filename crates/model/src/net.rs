//! The network between machine rooms: delays, messages lost and sent again, rooms cut off.

use crate::queue::At;
use crate::scenario::NetSpec;
use crate::streams::{chance, unit};
use rand_pcg::Pcg64Mcg;

const MS: f64 = 1e6;

/// The network of a day.
#[derive(Debug)]
pub struct Net {
    spec: NetSpec,
    /// Until when a room is cut off.
    cut: Vec<At>,
}

impl Net {
    /// With all rooms in reach.
    pub fn new(spec: NetSpec) -> Self {
        Self { cut: vec![0; spec.zones.max(1)], spec }
    }

    /// Cuts a room off until then.
    pub fn cut(&mut self, zone: usize, until: At) {
        if let Some(cut) = self.cut.get_mut(zone) {
            *cut = until.max(*cut);
        }
    }

    /// Until when nothing passes between two rooms; a time that is past where it does.
    pub fn cut_until(&self, from: usize, to: usize) -> At {
        let until = |zone: usize| self.cut.get(zone).copied().unwrap_or(0);
        if from == to { 0 } else { until(from).max(until(to)) }
    }

    /// When a message that is sent now arrives. What is lost or meets a cut is sent again by the transport, so it comes late and
    /// not never.
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

    /// Whether a cancel gets lost where callers give up late or never tell.
    pub fn deaf(&self, rng: &mut Pcg64Mcg) -> bool {
        chance(rng, self.spec.deaf)
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::streams::Streams;

    /// Guards against messages that pass through a cut, and against ones that it swallows.
    #[test]
    fn a_cut_holds_messages_back_and_loses_none() {
        let spec = NetSpec {
            zones: 2,
            same_ms: 1.0,
            cross_ms: 2.0,
            jitter: 0.1,
            loss: 0.0,
            resend_ms: 200.0,
            deaf: 0.0,
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
