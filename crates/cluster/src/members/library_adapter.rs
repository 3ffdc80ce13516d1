//! The adapter to the library `foca`: its configuration, and the requests that it makes of its caller.

use super::FailureDetection;
use crate::authentication::{MAX_DATAGRAM_BYTES, MAX_OVERHEAD_BYTES};
use crate::peer::Peer;
use foca::{Notification, OwnedNotification, PeriodicParams, Runtime, Timer};
use gradepin_admission::Span;
use std::num::{NonZeroU8, NonZeroUsize};
use std::time::Duration;

/// How long the library remembers members that are down.
const REMEMBER_DOWN_FOR: Duration = Duration::from_secs(600);
/// Interval between announcements to members that are down, in case they are back.
const ANNOUNCE_TO_DOWN_INTERVAL: Duration = Duration::from_millis(2_000);
/// Number of members that are down to which each announcement goes.
const DOWN_PER_ANNOUNCE: NonZeroUsize = nonzero(2);
/// Interval between two rounds of gossip.
const GOSSIP_INTERVAL: Duration = Duration::from_millis(200);
/// Number of members that receive gossip in a round.
const GOSSIP_FANOUT: NonZeroUsize = nonzero(3);
/// Interval between announcements to a random member, which replies with the members that it knows.
const FULL_EXCHANGE_INTERVAL: Duration = Duration::from_secs(15);
/// Number of members that are asked to probe a member that didn't respond.
const INDIRECT_PROBES: NonZeroUsize = nonzero(3);
/// Maximum number of times that an update is gossiped.
const MAX_TRANSMISSIONS: NonZeroU8 = NonZeroU8::MIN.saturating_add(9);
/// Maximum content of a datagram after the byte of its kind.
const MAX_PACKET_BYTES: NonZeroUsize = nonzero(MAX_DATAGRAM_BYTES - MAX_OVERHEAD_BYTES - 1);

/// The count, or 1 if it is 0.
const fn nonzero(count: usize) -> NonZeroUsize {
    NonZeroUsize::MIN.saturating_add(count.saturating_sub(1))
}

/// The configuration of the library.
pub(super) fn config(failure_detection: &FailureDetection) -> foca::Config {
    let duration = |span: Span| Duration::from_nanos(span.0);
    foca::Config {
        probe_period: duration(failure_detection.probe_period),
        probe_rtt: duration(failure_detection.probe_timeout),
        num_indirect_probes: INDIRECT_PROBES,
        max_transmissions: MAX_TRANSMISSIONS,
        suspect_to_down_after: duration(failure_detection.suspicion_timeout),
        remove_down_after: Some(REMEMBER_DOWN_FOR),
        max_packet_size: MAX_PACKET_BYTES,
        notify_down_members: true,
        periodic_announce: Some(PeriodicParams {
            frequency: FULL_EXCHANGE_INTERVAL,
            num_members: NonZeroUsize::MIN,
        }),
        periodic_announce_to_down_members: Some(PeriodicParams {
            frequency: ANNOUNCE_TO_DOWN_INTERVAL,
            num_members: DOWN_PER_ANNOUNCE,
        }),
        periodic_gossip: Some(PeriodicParams { frequency: GOSSIP_INTERVAL, num_members: GOSSIP_FANOUT }),
    }
}

/// Datagrams to send, timers to set and notifications to handle, as requested by the library.
#[derive(Default)]
pub(super) struct FocaRequests {
    pub send: Vec<(Peer, Vec<u8>)>,
    pub timers: Vec<(Duration, Timer<Peer>)>,
    pub notifications: Vec<OwnedNotification<Peer>>,
}

impl Runtime<Peer> for FocaRequests {
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
