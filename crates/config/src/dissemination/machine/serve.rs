//! Serves requests of peers within the byte budgets. A request that exceeds its budget is rejected with [`Message::Busy`].

use super::Dissemination;
use crate::change::{Name, Revision};
use crate::digest::Version;
use crate::dissemination::messages::Message;
use crate::dissemination::outbox::Traffic;
use crate::dissemination::responses;
use crate::snapshot::ChunkDigest;
use gradepin_admission::Time;

impl Dissemination {
    /// Responds to a request for the commits after a state.
    pub(super) fn serve_commits(&mut self, now: Time, to: &Name, theirs: Version) {
        let own = self.state.version();
        for response in responses::commits(&self.settings, &self.history, own, theirs) {
            let is_commits = matches!(response, Message::Commits { .. });
            let traffic = if is_commits { Traffic::Commits } else { Traffic::Control };
            if !self.send(now, to, &response, traffic) {
                self.send(now, to, &Message::Busy, Traffic::Control);
                return;
            }
        }
    }

    /// Responds to a request for a manifest, or with an advert if this server is below the requested revision.
    pub(super) fn serve_manifest(&mut self, now: Time, to: &Name, min_revision: Revision) {
        let Some(response) = self.served.manifest(now, &self.state, min_revision) else {
            self.send(now, to, &Message::Advert(self.state.version()), Traffic::Control);
            return;
        };
        self.send_snapshot_response(now, to, &response);
    }

    /// Responds to a request for a chunk, with [`Message::NoChunk`] if no retained state has it.
    pub(super) fn serve_chunk(&mut self, now: Time, to: &Name, requested: ChunkDigest) {
        let response = self.served.chunk(&self.state, requested);
        self.send_snapshot_response(now, to, &response);
    }

    /// Responds to a request for the digest of the state at a revision.
    pub(super) fn serve_version(&mut self, now: Time, to: &Name, revision: Revision) {
        let response = Message::Version(revision, self.history.digest_at(revision));
        self.send(now, to, &response, Traffic::Control);
    }

    fn send_snapshot_response(&mut self, now: Time, to: &Name, response: &Message) {
        let has_no_data = matches!(response, Message::NoChunk(_));
        let traffic = if has_no_data { Traffic::Control } else { Traffic::Snapshot };
        if !self.send(now, to, response, traffic) {
            self.send(now, to, &Message::Busy, Traffic::Control);
        }
    }
}
