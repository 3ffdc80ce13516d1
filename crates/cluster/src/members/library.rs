//! What the library `foca` is given and asks for.

use super::FailureDetection;
use crate::authentication::{MAX_DATAGRAM_BYTES, MAX_OVERHEAD_BYTES};
use crate::peer::Peer;
use foca::{Notification, OwnedNotification, PeriodicParams, Runtime, Timer};
use gradepin_admission::Span;
use std::num::{NonZeroU8, NonZeroUsize};
use std::time::Duration;

/// Down members are remembered for so long.
const REMEMBER_DOWN_FOR: Duration = Duration::from_secs(600);
/// Between announcements to down members, in case they are back.
const ANNOUNCE_TO_DOWN_INTERVAL: Duration = Duration::from_millis(2_000);
/// Down members announced to at a time.
const DOWN_PER_ANNOUNCE: NonZeroUsize = nonzero(2);
/// Between two rounds of gossip.
const GOSSIP_INTERVAL: Duration = Duration::from_millis(200);
/// Members gossiped to in a round.
const GOSSIP_FANOUT: NonZeroUsize = nonzero(3);
/// Between feeds, by which one member sends all that it knows.
const FEED_INTERVAL: Duration = Duration::from_secs(15);
/// Members asked to probe when one doesn't answer.
const INDIRECT_PROBES: NonZeroUsize = nonzero(3);
/// Times that an update is passed on.
const MAX_TRANSMISSIONS: NonZeroU8 = NonZeroU8::MIN.saturating_add(9);
/// What a datagram may carry after the byte of its kind.
const MAX_PACKET_BYTES: NonZeroUsize = nonzero(MAX_DATAGRAM_BYTES - MAX_OVERHEAD_BYTES - 1);

/// A count of at least 1.
const fn nonzero(count: usize) -> NonZeroUsize {
    NonZeroUsize::MIN.saturating_add(count.saturating_sub(1))
}

/// The library's settings.
pub(super) fn config(set: &FailureDetection) -> foca::Config {
    let duration = |span: Span| Duration::from_nanos(span.0);
    foca::Config {
        probe_period: duration(set.probe_period),
        probe_rtt: duration(set.probe_timeout),
        num_indirect_probes: INDIRECT_PROBES,
        max_transmissions: MAX_TRANSMISSIONS,
        suspect_to_down_after: duration(set.suspicion_timeout),
        remove_down_after: Some(REMEMBER_DOWN_FOR),
        max_packet_size: MAX_PACKET_BYTES,
        notify_down_members: true,
        periodic_announce: Some(PeriodicParams { frequency: FEED_INTERVAL, num_members: NonZeroUsize::MIN }),
        periodic_announce_to_down_members: Some(PeriodicParams {
            frequency: ANNOUNCE_TO_DOWN_INTERVAL,
            num_members: DOWN_PER_ANNOUNCE,
        }),
        periodic_gossip: Some(PeriodicParams { frequency: GOSSIP_INTERVAL, num_members: GOSSIP_FANOUT }),
    }
}

/// What the library asks for in one call.
#[derive(Default)]
pub(super) struct LibraryRequests {
    pub send: Vec<(Peer, Vec<u8>)>,
    pub timers: Vec<(Duration, Timer<Peer>)>,
    pub notifications: Vec<OwnedNotification<Peer>>,
}

impl Runtime<Peer> for LibraryRequests {
    fn notify(&mut self, notification: Notification<'_, Peer>) {
        self.notifications.push(notification.to_owned());
    }

    fn send_to(&mut self, to: Peer, data: &[u8]) {
        self.send.push((to, data.to_vec()));
    }

    fn submit_after(&mut self, event: Timer<Peer>, after: Duration) {
        self.timers.push((after, event));
    }
}
