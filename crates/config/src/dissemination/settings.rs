//! Settings of dissemination. Times are in nanoseconds, as [`Span`] is.

use crate::log::LogLimits;
use gradepin_admission::Span;

const MS: u64 = 1_000_000;

/// How a server selects the peers that it sends adverts and commits to and fetches from.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum Selection {
    /// Pushes to a few random peers and adverts to random peers, zone first (Demers et al., "Epidemic algorithms for replicated database
    /// maintenance", PODC 1987).
    #[default]
    Epidemic,
    /// A tree: voters push to two relays in each zone, relays to all of their zone.
    Relays,
    /// Each server asks a voter once a second.
    Voters,
}

/// Dissemination settings of one server.
#[derive(Debug, Clone, PartialEq)]
pub struct DisseminationSettings {
    /// How peers are selected.
    pub selection: Selection,
    /// Interval between adverts; each is 10% shorter or longer at random.
    pub advert_interval: Span,
    /// How long a commit waits for others to be pushed in the same datagrams.
    pub push_delay: Span,
    /// Peers of the same zone that a new commit is pushed to.
    pub push_peers_in_zone: usize,
    /// Peers of each other zone that a voter pushes to. The zones are divided among the voters.
    pub push_peers_per_other_zone: usize,
    /// One in this many adverts goes to another zone of the region too.
    pub adverts_per_region_advert: u32,
    /// One in this many adverts goes to another region too.
    pub adverts_per_far_advert: u32,
    /// How long a response to a request is awaited.
    pub request_timeout: Span,
    /// The longest backoff after rejected requests.
    pub max_backoff: Span,
    /// How long a source of bad data is left out the first time; doubled each further time.
    pub first_quarantine: Span,
    /// Commits retained for peers.
    pub history_limits: LogLimits,
    /// Bytes sent per second, without snapshots. A burst takes the bytes of four seconds at most.
    pub message_bytes_per_second: f64,
    /// Bytes of snapshots sent per second.
    pub snapshot_bytes_per_second: f64,
    /// Bytes requested of peers per second.
    pub request_bytes_per_second: f64,
    /// Overhead of each datagram, in bytes.
    pub datagram_overhead_bytes: usize,
    /// Payload of one datagram, in bytes; longer messages take several.
    pub datagram_payload_bytes: usize,
    /// Turns off the checks of digests and of order. For a control run of the model only, whose invariants must fail then.
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
    /// Bytes on the wire of a message of this length, with the overhead of its datagrams.
    pub fn wire_bytes(&self, message_bytes: usize) -> usize {
        let datagrams = message_bytes.div_ceil(self.datagram_payload_bytes).max(1);
        message_bytes + datagrams * self.datagram_overhead_bytes
    }
}
