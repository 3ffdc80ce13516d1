//! Calls to the shared upstream: a run requests a call through the processor, the admission module decides when it is
//! made and how long it may take, and the reply is returned to the run.
//!
//! The body and the send time of a call are stored with its request. The admission module decides how many calls are in
//! flight; [`super::cluster`] manages the slots that the servers of a cluster share.

use super::{MS, Reducer};
use crate::buffer_pool::Buffer;
use crate::messages::{Effect, UpstreamCallId};
use gradepin_admission::{Event, Outcome, RequestId, Span, Time};
use slog::Level;
use std::sync::Arc;

impl Reducer {
    /// Handles the processor's report that a run waits for a call with this body. Ignored if the notice was read before
    /// or the request is no longer open.
    pub(super) fn upstream_call_requested(&mut self, notice: u64, id: &RequestId, body: Buffer) {
        if !self.processor.accept_notice(notice, self.timestamp.now) {
            return;
        }
        // The run has continued after its previous call, so the reply to that call has arrived.
        self.processor.reply_received(id);
        let Some(open) = self.requests.get_mut(id) else { return };
        open.upstream_call = Some(Arc::new(body));
        (open.upstream_call_since, open.upstream_call_id) = (None, None);
        self.note_call_requested(id, true);
        self.events.push(Event::UpstreamCallNeeded(id.clone()));
    }

    /// Makes the call that a run waits for, as decided by the admission module. A `timeout` of 0 stands for the
    /// deadline of the class.
    pub(super) fn start_upstream_call(&mut self, id: &RequestId, timeout: Span) {
        let Some(open) = self.requests.get_mut(id) else { return };
        if open.upstream_call.is_none() || open.upstream_call_since.is_some() {
            return;
        }
        open.upstream_call_since = Some(self.timestamp.now);
        let timeout = if timeout.0 == 0 { self.classes.profile(open.class).deadline } else { timeout };
        self.note_call_requested(id, false);
        if self.cluster.is_enabled() {
            self.queue_upstream_call(id, timeout);
        } else {
            self.send_upstream_call(id, timeout, None);
        }
    }

    /// Sends a call. The shell must not send it at or after `send_before`.
    pub(super) fn send_upstream_call(
        &mut self,
        id: &RequestId,
        timeout: Span,
        send_before: Option<Time>,
    ) -> UpstreamCallId {
        self.last_upstream_call += 1;
        let call = self.last_upstream_call;
        if let Some(open) = self.requests.get_mut(id) {
            // The admission module measures the upstream's own time, without the wait for a slot.
            (open.upstream_call_since, open.upstream_call_id) = (Some(self.timestamp.now), Some(call));
            if let Some(body) = open.upstream_call.clone() {
                let id = id.clone();
                self.effects.push(Effect::CallUpstream { id, call, body, timeout, send_before });
            }
        }
        call
    }

    /// Handles the shell's report of the end of a call. Its slot is released whatever became of the request meanwhile.
    pub(super) fn upstream_call_ended(
        &mut self,
        id: &RequestId,
        call: UpstreamCallId,
        outcome: Outcome,
        reply: Option<Buffer>,
    ) {
        self.release_call_slot(call, outcome);
        self.complete_upstream_call(id, Some(call), outcome, reply);
    }

    /// Completes a call; without a `call` id it was never sent. The reply goes only to the run that waits for this very
    /// call. Guards against delivering the reply to another request that reuses the id.
    pub(super) fn complete_upstream_call(
        &mut self,
        id: &RequestId,
        call: Option<UpstreamCallId>,
        outcome: Outcome,
        reply: Option<Buffer>,
    ) {
        let open = self.requests.get_mut(id).filter(|open| open.upstream_call_id == call);
        let Some(open) = open else { return };
        let Some(since) = open.upstream_call_since.take() else { return };
        open.upstream_call_id = None;
        let took = Span(self.timestamp.now.0.saturating_sub(since.0));
        if outcome != Outcome::Success {
            let ms = took.0 / MS;
            let outcome = logged_name(outcome);
            let text = format!("a call to the ledger for {} ended {outcome} after {ms} ms", id.0);
            self.effects.push(Effect::Log { level: Level::Warning, text });
        }
        match reply {
            Some(reply) if outcome == Outcome::Success => {
                open.upstream_call = None;
                self.deliver_reply(id.clone(), Arc::new(reply));
            }
            // The run keeps waiting until the admission module repeats the call or gives the request up.
            _ => self.note_call_requested(id, true),
        }
        self.events.push(Event::UpstreamCallEnded { id: id.clone(), outcome, took });
    }

    /// Delivers the reply of a call to its run, now or once there is a usable link, and again after a link that may
    /// have lost it. Guards against runs that wait until their callers give up, calls made twice, and keyed requests
    /// that fail, because a link was lost.
    pub(super) fn deliver_reply(&mut self, id: RequestId, reply: Arc<Buffer>) {
        if let Some(link) = self.processor.usable_link() {
            let (id, reply) = (id.clone(), Arc::clone(&reply));
            self.effects.push(Effect::DeliverUpstreamReply { link, id, reply });
        }
        self.processor.add_unconfirmed_reply(id, reply);
    }
}

/// Returns the name of an outcome in the log, as operators' documentation lists it.
fn logged_name(outcome: Outcome) -> &'static str {
    match outcome {
        Outcome::Success => "Delivered",
        Outcome::Failure => "AppError",
        Outcome::Rejected => "Shed",
        Outcome::TimedOut => "Expired",
        Outcome::ConnectFailed => "DialFailed",
        Outcome::Aborted => "Dropped",
        Outcome::Stopped => "Revoked",
        Outcome::NotStarted => "Unused",
    }
}
