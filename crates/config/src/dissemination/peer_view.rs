//! What the choice of a peer to fetch from depends on.

use super::peers::Peers;
use super::quarantine::Quarantine;
use super::settings::DisseminationSettings;
use gradepin_admission::Time;

/// The peers of a server at one time, for reading.
#[derive(Debug, Clone, Copy)]
pub struct PeerView<'a> {
    /// The time of the step.
    pub now: Time,
    /// Settings of this server.
    pub settings: &'a DisseminationSettings,
    /// Servers that are up.
    pub peers: &'a Peers,
    /// Sources that are left out after bad data.
    pub quarantine: &'a Quarantine,
}

impl<'a> PeerView<'a> {
    /// A view of these peers at a time. It takes the parts one by one, so that the caller can borrow its other parts for writing.
    pub fn new(
        now: Time,
        settings: &'a DisseminationSettings,
        peers: &'a Peers,
        quarantine: &'a Quarantine,
    ) -> Self {
        Self { now, settings, peers, quarantine }
    }

    /// Whether a peer is left out now.
    pub fn is_quarantined(&self, name: &str) -> bool {
        self.quarantine.contains(self.now, name)
    }
}
