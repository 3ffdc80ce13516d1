//! What an operator may set of dissemination.

use crate::log::LogLimits;
use gradepin_admission::Span;

const MS: u64 = 1_000_000;

/// Which peers a server adverts to, pushes to and fetches from.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum Selection {
    /// Push to a few, adverts to random peers, zone first (Demers et al., "Epidemic algorithms for replicated database
    /// maintenance", PODC 1987).
    #[default]
    Epidemic,
    /// A tree: voters push to two relays in each zone, relays to all of their zone.
    Relays,
    /// Each server asks a voter once a second.
    Voters,
}

/// Settings of one server.
#[derive(Debug, Clone, PartialEq)]
pub struct DisseminationSettings {
    /// Which peers are talked to.
    pub selection: Selection,
    /// Between adverts.
    pub advert_every: Span,
    /// Commits that come within this long are pushed together.
    pub push_every: Span,
    /// Peers of the own zone that a fresh commit is pushed to.
    pub push_zone: usize,
    /// Peers of each other zone that a voter pushes to; voters share the zones between them.
    pub push_entry: usize,
    /// One advert of so many goes to another zone of the region also.
    pub region_part: u32,
    /// One advert of so many goes to another region also.
    pub far_part: u32,
    /// An answer to a request is awaited for so long.
    pub request_timeout: Span,
    /// The longest pause after refusals.
    pub most_backoff: Span,
    /// A bad source is left out for so long at first; doubled each time.
    pub quarantine: Span,
    /// Commits kept for peers.
    pub kept: LogLimits,
    /// Bytes a second sent, snapshots aside; a burst is four seconds' worth.
    pub send_bytes_s: f64,
    /// Bytes a second of snapshots served.
    pub snapshot_bytes_s: f64,
    /// Bytes a second that are asked of others.
    pub request_bytes_s: f64,
    /// What each datagram costs beside its content, in bytes.
    pub envelope_bytes: usize,
    /// What fits into one datagram; longer messages take several.
    pub piece_bytes: usize,
    /// Without the checks of digests and of order: the control of the model, which must break there.
    pub plain: bool,
}

impl Default for DisseminationSettings {
    fn default() -> Self {
        Self {
            selection: Selection::Epidemic,
            advert_every: Span(1_000 * MS),
            push_every: Span(50 * MS),
            push_zone: 3,
            push_entry: 2,
            region_part: 4,
            far_part: 8,
            request_timeout: Span(500 * MS),
            most_backoff: Span(2_000 * MS),
            quarantine: Span(60_000 * MS),
            kept: LogLimits { commits: 1_024, bytes: 4 << 20 },
            send_bytes_s: 32_000.0,
            snapshot_bytes_s: 64_000.0,
            request_bytes_s: 256_000.0,
            envelope_bytes: 106,
            piece_bytes: 1_280,
            plain: false,
        }
    }
}

impl DisseminationSettings {
    /// What a message of this length takes on the wire.
    pub fn wire_bytes(&self, length: usize) -> usize {
        let pieces = length.div_ceil(self.piece_bytes).max(1);
        length + pieces * self.envelope_bytes
    }
}
