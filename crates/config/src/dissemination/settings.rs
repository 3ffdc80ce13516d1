//! Settings of dissemination. All durations are a [`Span`], in nanoseconds.

use crate::log::LogLimits;
use gradepin_admission::Span;

const MS: u64 = 1_000_000;

/// How a server selects the peers that it sends adverts and commits to, and fetches from.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum Selection {
    /// Pushes commits to a few random peers and sends adverts to random peers, preferring the zone (Demers et al., "Epidemic
    /// algorithms for replicated database maintenance", PODC 1987).
    #[default]
    Epidemic,
    /// A tree: voters push to two relays in each zone, and relays push to all servers of their zone.
    Relays,
    /// No pushes: each server sends its adverts to a random voter and fetches from voters.
    Voters,
}

/// Dissemination settings of one server.
#[derive(Debug, Clone, PartialEq)]
pub struct DisseminationSettings {
    /// How peers are selected for adverts, pushes and requests.
    pub selection: Selection,
    /// Mean interval between adverts. Each interval is up to 10% shorter or longer at random.
    pub advert_interval: Span,
    /// How long a push is delayed so that further commits are sent in the same datagrams.
    pub push_delay: Span,
    /// Number of peers of the same zone that a new commit is pushed to.
    pub push_peers_in_zone: usize,
    /// Number of peers in each other zone that a voter pushes to. The zones are divided among the voters.
    pub push_peers_per_other_zone: usize,
    /// On average, one in this many adverts is also sent to another zone of the region.
    pub adverts_per_region_advert: u32,
    /// On average, one in this many adverts is also sent to another region.
    pub adverts_per_far_advert: u32,
    /// How long to wait for the response to a request.
    pub request_timeout: Span,
    /// Maximum backoff after rejected requests.
    pub max_backoff: Span,
    /// Duration of the first quarantine of a peer that sent bad data; doubled for each further one.
    pub first_quarantine: Span,
    /// How many commits are retained for peers.
    pub history_limits: LogLimits,
    /// Limit on bytes sent per second, excluding snapshots. A burst may use the bytes of up to four seconds.
    pub message_bytes_per_second: f64,
    /// Limit on bytes of snapshots sent per second. A burst may use the bytes of up to four seconds.
    pub snapshot_bytes_per_second: f64,
    /// Limit on bytes requested from peers per second. A burst may use the bytes of up to four seconds.
    pub request_bytes_per_second: f64,
    /// Overhead of each datagram on the wire, in bytes.
    pub datagram_overhead_bytes: usize,
    /// Maximum payload of a datagram, in bytes. Longer messages take several datagrams.
    pub datagram_payload_bytes: usize,
    /// Disables the checks of digests and of order. Only for a control run of the model, which verifies that its invariants fail
    /// without these checks.
    pub skip_checks: bool,
}

impl Default for DisseminationSettings {
    fn default() -> Self {
        Self {
            selection: Selection::Epidemic,
            advert_interval: Span(1_000 * MS),
            push_delay: Span(50 * MS),
            push_peers_in_zone: 3,
            push_peers_per_other_zone: 2,
            adverts_per_region_advert: 4,
            adverts_per_far_advert: 8,
            request_timeout: Span(500 * MS),
            max_backoff: Span(2_000 * MS),
            first_quarantine: Span(60_000 * MS),
            history_limits: LogLimits { commits: 1_024, bytes: 4 << 20 },
            message_bytes_per_second: 32_000.0,
            snapshot_bytes_per_second: 64_000.0,
            request_bytes_per_second: 256_000.0,
            datagram_overhead_bytes: 106,
            datagram_payload_bytes: 1_280,
            skip_checks: false,
        }
    }
}

impl DisseminationSettings {
    /// Bytes on the wire of a message of `message_bytes`, including the overhead of its datagrams.
    pub fn wire_bytes(&self, message_bytes: usize) -> usize {
        let datagrams = message_bytes.div_ceil(self.datagram_payload_bytes).max(1);
        message_bytes + datagrams * self.datagram_overhead_bytes
    }
}
