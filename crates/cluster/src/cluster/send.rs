//! Sent datagrams: the bound on bytes per second, and which rows are gossiped to which member.

use super::message::MessageKind;
use super::{Cluster, ClusterEffect};
use crate::MS;
use crate::authentication::{Header, MAX_DATAGRAM_BYTES, MAX_OVERHEAD_BYTES};
use crate::counters::{GossipedRow, StoredRow};
use crate::fragments;
use crate::leases::LeaseMessage;
use crate::peer::Peer;
use gradepin_admission::{Span, Time, span_seconds};
use rand_pcg::rand_core::Rng;
use std::sync::Arc;

/// Maximum content of a datagram after the byte of its kind.
const MAX_CONTENT_BYTES: usize = MAX_DATAGRAM_BYTES - MAX_OVERHEAD_BYTES - 1;
/// Maximum age of a gossiped row of another server; an older one would expire soon after it arrives.
const MAX_GOSSIP_AGE: Span = Span(6_000 * MS);
/// Maximum length of an encoded lease message, in bytes.
const MAX_LEASE_BYTES: usize = 32;
/// A send budget below this many datagrams of maximum length per second keeps no reserve, since deferrable
/// messages would rarely fit beside it.
const MIN_DATAGRAMS_FOR_RESERVE: f64 = 4.0;

/// A token bucket of bytes that holds at most what one second refills.
#[derive(Debug)]
pub(super) struct SendBudget {
    rate: f64,
    available: f64,
    at: Time,
}

impl SendBudget {
    /// A full bucket that is refilled at this rate.
    pub(super) fn new(bytes_per_second: u32, now: Time) -> Self {
        let rate = f64::from(bytes_per_second);
        Self { rate, available: rate, at: now }
    }

    fn refill(&mut self, now: Time) {
        let passed = span_seconds(Span(now.0.saturating_sub(self.at.0)));
        self.available = (self.available + self.rate * passed).min(self.rate);
        self.at = now;
    }

    /// Whether this many bytes of deferrable messages may be sent. Half of the bucket stays reserved for
    /// messages that can't wait, such as replies to probes and lease messages.
    fn allows_deferrable(&mut self, now: Time, bytes: usize) -> bool {
        self.refill(now);
        let bytes = bytes as f64;
        let has_no_reserve = self.rate < MIN_DATAGRAMS_FOR_RESERVE * MAX_DATAGRAM_BYTES as f64;
        self.available >= self.rate / 2.0 + bytes || has_no_reserve && self.available >= bytes
    }

    fn allows(&mut self, now: Time, bytes: usize) -> bool {
        self.refill(now);
        self.available >= bytes as f64
    }

    fn spend(&mut self, bytes: usize) {
        self.available -= bytes as f64;
    }
}

/// Encoded rows, one after the other, as many as fit into a datagram.
struct RowsContent {
    content: Vec<u8>,
    buffer: [u8; MAX_DATAGRAM_BYTES],
}

impl RowsContent {
    fn new() -> Self {
        Self { content: Vec::with_capacity(MAX_DATAGRAM_BYTES), buffer: [0; MAX_DATAGRAM_BYTES] }
    }

    /// Adds a row; returns whether it fitted.
    fn add(&mut self, now: Time, stored: &StoredRow) -> bool {
        let age_ms = stored.age(now).0.div_ceil(MS).min(u64::from(u32::MAX)) as u32;
        let gossiped = GossipedRow { row: stored.row.clone(), age_ms };
        match postcard::to_slice(&gossiped, &mut self.buffer) {
            Ok(bytes) if self.content.len() + bytes.len() <= MAX_CONTENT_BYTES => {
                self.content.extend_from_slice(bytes);
                true
            }
            _ => false,
        }
    }
}

impl Cluster {
    /// Gossips rows to one member: the own row, and a random selection of others as far as they fit.
    pub(super) fn gossip(&mut self, now: Time) {
        let up = self.members.up_count();
        if up == 0 || !self.budget.allows_deferrable(now, MAX_DATAGRAM_BYTES) {
            return;
        }
        let index = self.rng.next_u64() as usize % up;
        let Some(peer) = self.members.up().nth(index).cloned() else { return };
        let own = Arc::clone(&self.members.own().name);
        let mut content = RowsContent::new();
        if let Some(stored) = self.counters.row(&own) {
            content.add(now, stored);
        }
        let is_passed_on = |stored: &&StoredRow| {
            let name = &stored.row.name;
            *name != own && *name != peer.name && stored.age(now) <= MAX_GOSSIP_AGE
        };
        let young: Vec<&StoredRow> = self.counters.rows().filter(is_passed_on).collect();
        let from = if young.is_empty() { 0 } else { self.rng.next_u64() as usize % young.len() };
        // Starts at a random row, so that all rows have the same chance without a shuffle.
        for stored in young[from..].iter().chain(&young[..from]) {
            if !content.add(now, stored) {
                break;
            }
        }
        self.send(now, &peer, MessageKind::Rows, &content.content);
    }

    /// Sends a message to another server by name, in as many datagrams as needed, each of which may be lost.
    /// At the receiver it becomes [`ClusterEffect::Post`]; the content is opaque to the cluster.
    pub fn post(&mut self, now: Time, to: &str, content: &[u8]) {
        let Some(peer) = self.members.find(to).map(|known| known.peer.clone()) else { return };
        self.posts = self.posts.wrapping_add(1);
        for fragment in fragments::split(self.posts, content) {
            self.send(now, &peer, MessageKind::Fragment, &fragment);
        }
    }

    /// Sends a lease message to a member.
    pub(super) fn send_lease(&mut self, now: Time, to: &str, message: LeaseMessage) {
        let Some(peer) = self.members.find(to).map(|known| known.peer.clone()) else { return };
        let mut buffer = [0_u8; MAX_LEASE_BYTES];
        if let Ok(content) = postcard::to_slice(&message, &mut buffer) {
            self.send(now, &peer, MessageKind::Lease, content);
        }
    }

    /// Sends a datagram, if the send budget allows it.
    pub(super) fn send(&mut self, now: Time, peer: &Peer, kind: MessageKind, content: &[u8]) {
        if !self.budget.allows(now, MAX_OVERHEAD_BYTES + 1 + content.len()) {
            self.status.suppressed += 1;
            return;
        }
        self.number += 1;
        let own = self.members.own();
        let header = Header {
            name: &own.name,
            incarnation: own.incarnation,
            to: peer.incarnation,
            number: self.number,
            sent_us: (now.0 - self.started_at.0) / 1_000,
        };
        let mut body = Vec::with_capacity(1 + content.len());
        body.push(kind.byte());
        body.extend_from_slice(content);
        let datagram = self.settings.keys.authenticate(&header, &body);
        self.budget.spend(datagram.len());
        self.status.sent += 1;
        self.status.bytes_sent += datagram.len() as u64;
        self.effects.push(ClusterEffect::Send { to: peer.address, datagram });
    }
}
