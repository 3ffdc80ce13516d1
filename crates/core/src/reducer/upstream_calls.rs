//! Calls to the shared upstream: a run asks for one through the processor, the admission module says when it is made and how
//! long it may take, and the reply goes back to the run.
//!
//! The body of a call and the time that it is out since are kept with its request. How many calls are out at once is the
//! admission module's decision; the slots that the servers of a cluster share are [`super::cluster`]'s.

use super::{MS, Reducer};
use crate::buffer_pool::Buffer;
use crate::messages::{Effect, UpstreamCallId};
use gradepin_admission::{Event, Outcome, RequestId, Span, Time};
use slog::Level;
use std::sync::Arc;

impl Reducer {
    /// The processor reports that a run waits for a call with this body. Ignored if the notice was read before, or if the
    /// request is no longer open.
    pub(super) fn upstream_call_requested(&mut self, notice: u64, id: &RequestId, body: Buffer) {
        if !self.processor.accept_notice(notice, self.timestamp.now) {
            return;
        }
        // The run goes on from its call before, so that one's reply has arrived.
        self.processor.reply_received(id);
        let Some(open) = self.requests.get_mut(id) else { return };
        open.upstream_call = Some(Arc::new(body));
        (open.upstream_call_since, open.upstream_call_id) = (None, None);
        self.note_call_requested(id, true);
        self.events.push(Event::UpstreamCallNeeded(id.clone()));
    }

    /// The admission module makes the call that a run waits for. A `timeout` of 0 stands for the deadline of the class.
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

    /// Sends a call. From `send_before` on it must not leave any more.
    pub(super) fn send_upstream_call(
        &mut self,
        id: &RequestId,
        timeout: Span,
        send_before: Option<Time>,
    ) -> UpstreamCallId {
        self.last_upstream_call += 1;
        let call = self.last_upstream_call;
        if let Some(open) = self.requests.get_mut(id) {
            // The admission module goes by the upstream's time, without the wait for a slot.
            (open.upstream_call_since, open.upstream_call_id) = (Some(self.timestamp.now), Some(call));
            if let Some(body) = open.upstream_call.clone() {
                let id = id.clone();
                self.effects.push(Effect::CallUpstream { id, call, body, timeout, send_before });
            }
        }
        call
    }

    /// The shell reports the end of a call. Its slot is free, whatever became of the request meanwhile.
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

    /// A call ended, or with no `call` was never sent. The reply goes to the run that waits for this very call. Guards against
    /// the reply to a call of one request that goes to another request under the same id.
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
            // The run still waits, until the admission module makes the call again or gives the request up.
            _ => self.note_call_requested(id, true),
        }
        self.events.push(Event::UpstreamCallEnded { id: id.clone(), outcome, took });
    }

    /// Gives a run the reply to its call, now or once there is a link that is usable. It is sent again after a link that may
    /// have lost it. Guards against runs that wait for a reply until their callers give up, and against calls made twice, or
    /// keyed requests failed, because a link fell.
    pub(super) fn deliver_reply(&mut self, id: RequestId, reply: Arc<Buffer>) {
        if let Some(link) = self.processor.usable_link() {
            let (id, reply) = (id.clone(), Arc::clone(&reply));
            self.effects.push(Effect::DeliverUpstreamReply { link, id, reply });
        }
        self.processor.add_unconfirmed_reply(id, reply);
    }
}

/// The name of an outcome in the log, as the operators' pages have it.
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
