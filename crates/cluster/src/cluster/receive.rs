//! Received datagrams: which are accepted, and which component handles them.

use super::envelope::Envelope;
use super::message::MessageKind;
use super::{Cluster, ClusterEffect};
use crate::MS;
use crate::authentication::DropReason;
use crate::counters::GossipedRow;
use crate::leases::LeaseMessage;
use crate::peer::Incarnation;
use gradepin_admission::{Span, Time, time_after};
use std::sync::Arc;

/// Minimum interval between two notifications of one server about its incarnation.
const NOTIFICATION_INTERVAL: Span = Span(500 * MS);
/// The incarnation in datagrams that are addressed to any process at an address, such as a seed.
const ANY_INCARNATION: Incarnation = Incarnation(0);

impl Cluster {
    /// Counts datagrams that were dropped, by the shell or by [`Cluster::receive`].
    pub fn dropped(&mut self, reason: DropReason, times: u64) {
        *self.status.dropped.entry(reason).or_default() += times;
    }

    /// Handles a datagram whose tag was verified, and counts it as received or dropped.
    pub fn receive(&mut self, now: Time, envelope: &Envelope) {
        match self.take(now, envelope) {
            Ok(()) => self.status.received += 1,
            Err(reason) => self.dropped(reason, 1),
        }
    }

    fn take(&mut self, now: Time, envelope: &Envelope) -> Result<(), DropReason> {
        if envelope.name == *self.members.own().name {
            // Sent by another incarnation of this server, to an address at which it expects a peer.
            return Err(DropReason::OtherIncarnation);
        }
        // The replay window is updated before the content is read, so a datagram of an unknown kind is
        // dropped after it.
        if envelope.is_empty() {
            return Err(DropReason::MalformedContent);
        }
        let delay = self.check_replay(now, envelope)?;
        self.check_receiver(now, envelope)?;
        let (kind, content) = envelope.message().ok_or(DropReason::MalformedContent)?;
        match kind {
            MessageKind::Membership => {
                self.members.receive(now, content).map_err(|_| DropReason::MalformedContent)
            }
            MessageKind::Rows => self.receive_rows(now, content, delay),
            MessageKind::Lease => self.receive_lease(now, envelope, content),
            MessageKind::KnownIncarnation => Ok(()),
            MessageKind::Fragment => self.receive_fragment(now, envelope, content),
        }
    }

    /// Drops replays, delayed datagrams and those of an earlier incarnation; notifies the sender of the
    /// latter.
    fn check_replay(&mut self, now: Time, envelope: &Envelope) -> Result<Span, DropReason> {
        let checked = self.replay_window.check(now, &envelope.header());
        if checked == Err(DropReason::EarlierIncarnation) {
            self.notify_of_incarnation(now, &envelope.name);
        }
        checked
    }

    /// Drops a datagram for another incarnation of this server.
    fn check_receiver(&mut self, now: Time, envelope: &Envelope) -> Result<(), DropReason> {
        let own = self.members.own().incarnation;
        let kind = envelope.message().map(|(kind, _)| kind);
        let to = envelope.to;
        if to > own || (kind == Some(MessageKind::KnownIncarnation) && to < own) {
            // A greater incarnation of this server is known elsewhere: this server takes one above it.
            self.members.raise_incarnation(now, to);
            return Err(DropReason::OtherIncarnation);
        }
        // Of the datagrams to any incarnation only membership messages are accepted, so none changes counters
        // or leases.
        let is_membership = kind == Some(MessageKind::Membership);
        if to == own || (to == ANY_INCARNATION && is_membership) {
            return Ok(());
        }
        if is_membership
            && self.may_notify(now, &envelope.name)
            && let Some((_, content)) = envelope.message()
        {
            self.members.announce_to_sender(now, content);
        }
        Err(DropReason::OtherIncarnation)
    }

    fn receive_rows(&mut self, now: Time, mut content: &[u8], delay: Span) -> Result<(), DropReason> {
        while !content.is_empty() {
            let taken = postcard::take_from_bytes::<GossipedRow>(content);
            let (row, rest) = taken.map_err(|_| DropReason::MalformedContent)?;
            self.counters.merge(now, row, delay);
            content = rest;
        }
        Ok(())
    }

    fn receive_lease(&mut self, now: Time, envelope: &Envelope, content: &[u8]) -> Result<(), DropReason> {
        let message: LeaseMessage =
            postcard::from_bytes(content).map_err(|_| DropReason::MalformedContent)?;
        let from: Arc<str> = Arc::from(envelope.name.as_str());
        if let Some(reply) = self.leases.receive(now, &from, envelope.incarnation, message) {
            self.send_lease(now, &from, reply);
        }
        // A recalled lease must be returned as soon as possible.
        self.next_lease_step = self.next_lease_step.min(now);
        Ok(())
    }

    fn receive_fragment(&mut self, now: Time, envelope: &Envelope, content: &[u8]) -> Result<(), DropReason> {
        let Envelope { name, incarnation, .. } = envelope;
        if let Some(content) = self.reassembly.take(now, name, *incarnation, content)? {
            let from = Arc::from(name.as_str());
            self.effects.push(ClusterEffect::Post { from, incarnation: *incarnation, content });
        }
        Ok(())
    }

    /// Notifies a server that a greater incarnation of it is known. Most likely its wall clock was set back
    /// before a restart.
    fn notify_of_incarnation(&mut self, now: Time, name: &str) {
        let Some(known) = self.members.find(name) else { return };
        let mut peer = known.peer.clone();
        let last_seen = self.replay_window.incarnation(name).unwrap_or_default();
        peer.incarnation = last_seen.max(peer.incarnation);
        if self.may_notify(now, name) {
            self.send(now, &peer, MessageKind::KnownIncarnation, &[]);
        }
    }

    /// Whether this server may be notified now: at most once per [`NOTIFICATION_INTERVAL`]. If so, the
    /// notification counts as sent.
    fn may_notify(&mut self, now: Time, name: &str) -> bool {
        self.notified.retain(|_, at| now < time_after(*at, NOTIFICATION_INTERVAL));
        let may = !self.notified.contains_key(name);
        if may {
            self.notified.insert(Arc::from(name), now);
        }
        may
    }
}
