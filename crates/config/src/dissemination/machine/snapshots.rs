//! Starts and drives the transfer of a snapshot, and installs the result.

use super::Dissemination;
use crate::change::Revision;
use crate::dissemination::outbox::{DisseminationEffect, Traffic};
use crate::dissemination::peer_view::PeerView;
use crate::dissemination::transfer::{Transfer, TransferContext};
use crate::snapshot::Snapshot;
use gradepin_admission::Time;

impl Dissemination {
    /// Starts to fetch a snapshot of `min_revision` or later, unless the transfer in progress already satisfies this.
    pub(super) fn begin_transfer(&mut self, now: Time, min_revision: Revision) {
        if self.transfer.as_ref().is_none_or(|transfer| transfer.min_revision() < min_revision) {
            self.transfer = Some(Transfer::new(now, min_revision));
        }
    }

    /// Starts to fetch a snapshot of the same revision or later, because the state of this server is most likely wrong.
    pub(super) fn replace_doubtful_state(&mut self, now: Time) {
        self.begin_transfer(now, self.state.revision());
    }

    /// Passes input to the transfer in progress, if any, and processes its results: sources of bad data, unused bytes of the
    /// request budget, and the finished snapshot.
    pub(super) fn update_transfer(&mut self, now: Time, update: impl FnOnce(&mut Transfer)) {
        let Some(transfer) = &mut self.transfer else { return };
        update(transfer);
        let bad_sources = transfer.take_bad_sources();
        self.outbox.give_back_request_bytes(transfer.take_unused_request_bytes());
        let snapshot = transfer.take_finished(now);
        for name in bad_sources {
            self.quarantine_source(now, &name, "its manifest, chunk or digest for a snapshot failed a check");
        }
        if let Some(snapshot) = snapshot {
            self.install(now, snapshot);
        }
    }

    fn install(&mut self, now: Time, snapshot: Snapshot) {
        self.transfer = None;
        let (in_force, new) = (self.state.version(), snapshot.version());
        if new.revision < in_force.revision || new == in_force {
            // Commits that were applied during the transfer have made the snapshot obsolete.
            return;
        }
        self.state = snapshot.configuration().clone();
        self.history.restart(new);
        self.served.clear();
        self.peer_digests.clear();
        self.push_queue.clear();
        self.failed_apply = None;
        self.installed_snapshots += 1;
        self.outbox.push(DisseminationEffect::Install(snapshot));
        self.requests.record_progress(now, new.revision);
        self.apply_pending(now);
    }

    /// Sends the requests of the transfer in progress that are due.
    pub(super) fn step_transfer(&mut self, now: Time) {
        let Some(transfer) = &mut self.transfer else { return };
        let view = PeerView::new(now, &self.settings, &self.peers, &self.quarantine);
        let peer_ahead = self.requests.nearest_peer_ahead(&view, &mut self.rng);
        let mut context = TransferContext {
            view,
            peer_ahead,
            state: &self.state,
            outbox: &mut self.outbox,
            rng: &mut self.rng,
        };
        let requests = transfer.step(&mut context);
        for request in requests {
            self.send(now, &request.to, &request.message, Traffic::Control);
        }
        // The transfer may be complete without any response if the state in force already had all chunks.
        self.update_transfer(now, |_| {});
    }
}
