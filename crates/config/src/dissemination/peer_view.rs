//! The read-only input for choosing a peer to fetch from.

use super::peers::Peers;
use super::quarantine::Quarantine;
use super::settings::DisseminationSettings;
use gradepin_admission::Time;

/// A read-only view of the peers of a server at one time.
#[derive(Debug, Clone, Copy)]
pub struct PeerView<'a> {
    /// The current time.
    pub now: Time,
    /// The dissemination settings of this server.
    pub settings: &'a DisseminationSettings,
    /// The peers that are up.
    pub peers: &'a Peers,
    /// The peers whose data is rejected after bad data.
    pub quarantine: &'a Quarantine,
}

impl<'a> PeerView<'a> {
    /// Creates a view. The fields are passed one by one, so that the caller can mutably borrow its other fields.
    pub fn new(
        now: Time,
        settings: &'a DisseminationSettings,
        peers: &'a Peers,
        quarantine: &'a Quarantine,
    ) -> Self {
        Self { now, settings, peers, quarantine }
    }

    /// Whether a peer is quarantined at the time of this view.
    pub fn is_quarantined(&self, name: &str) -> bool {
        self.quarantine.contains(self.now, name)
    }
}
