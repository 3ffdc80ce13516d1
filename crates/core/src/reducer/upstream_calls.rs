//! Calls to the ledger, the dependency that all servers share: a run asks for one through the processor, the module
//! says when it is made and how long it may take, and its reply goes back to the run. The reducer keeps the call's
//! body and the time it went out; how many are out at once is the module's to say.

use super::{MS, Reducer};
use crate::buffer_pool::Buffer;
use crate::messages::{Effect, UpstreamCallId};
use gradepin_admission::{Event, Outcome, RequestId, Span, Time};
use slog::Level;
use std::sync::Arc;

impl Reducer {
    /// A run waits for a call with this body; the module hears of it, unless the request is no longer in the books.
    pub(super) fn upstream_call_requested(&mut self, id: &RequestId, body: Buffer) {
        // It goes on from the call before: that one's reply has arrived.
        self.processor.reply_received(id);
        let Some(open) = self.requests.get_mut(id) else { return };
        open.call = Some(Arc::new(body));
        (open.call_since, open.call_number) = (None, None);
        self.note_call_requested(id, true);
        self.events.push(Event::UpstreamCallNeeded(id.clone()));
    }

    /// The module makes the call a run waits for.
    pub(super) fn start_upstream_call(&mut self, id: &RequestId, timeout: Span) {
        let Some(open) = self.requests.get_mut(id) else { return };
        if open.call.is_none() || open.call_since.is_some() {
            return;
        }
        open.call_since = Some(self.timestamp.now);
        let timeout = if timeout.0 == 0 { self.classes.profile(open.class).deadline } else { timeout };
        self.note_call_requested(id, false);
        if self.cluster.is_on() {
            self.queue_upstream_call(id, timeout);
        } else {
            self.send_upstream_call(id, timeout, None);
        }
    }

    /// A call leaves, with so much time for its reply; past a time it must not leave any more. Its number.
    pub(super) fn send_upstream_call(
        &mut self,
        id: &RequestId,
        timeout: Span,
        leaves: Option<Time>,
    ) -> UpstreamCallId {
        let now = self.timestamp.now;
        self.last_upstream_call += 1;
        let number = self.last_upstream_call;
        let body = self.requests.get_mut(id).and_then(|open| {
            // What it takes is the ledger's time, not the wait for a slot: the module goes by it.
            (open.call_since, open.call_number) = (Some(now), Some(number));
            open.call.clone()
        });
        if let Some(body) = body {
            self.effects.push(Effect::CallUpstream {
                id: id.clone(),
                call: number,
                body,
                timeout,
                leave_before: leaves,
            });
        }
        number
    }

    /// A call that was out ended.
    pub(super) fn upstream_call_ended(
        &mut self,
        id: &RequestId,
        number: UpstreamCallId,
        outcome: Outcome,
        reply: Option<Buffer>,
    ) {
        // Its slot is free, whatever became of the request meanwhile.
        self.release_call_slot(number, outcome);
        self.complete_upstream_call(id, Some(number), outcome, reply);
    }

    /// A call ended, or with no number never left. Its reply goes to the run that waits for this call; the module hears how
    /// it went. Guards against the reply to a request's call that goes to another one under the same id.
    pub(super) fn complete_upstream_call(
        &mut self,
        id: &RequestId,
        number: Option<UpstreamCallId>,
        outcome: Outcome,
        reply: Option<Buffer>,
    ) {
        let now = self.timestamp.now;
        let Some(open) = self.requests.get_mut(id).filter(|open| open.call_number == number) else { return };
        let Some(since) = open.call_since.take() else { return };
        open.call_number = None;
        let took = Span(now.0.saturating_sub(since.0));
        if outcome != Outcome::Success {
            let text =
                format!("a call to the ledger for {} ended {outcome:?} after {} ms", id.0, took.0 / MS);
            self.effects.push(Effect::Log { level: Level::Warning, text });
        }
        if let (Outcome::Success, Some(reply)) = (outcome, reply) {
            open.call = None;
            self.deliver_reply(id.clone(), Arc::new(reply));
        } else {
            // It waits for its call still, until the module makes it again or gives the request up.
            self.note_call_requested(id, true);
        }
        self.events.push(Event::UpstreamCallEnded { id: id.clone(), outcome, took });
    }

    /// Gives a run the reply to its call, now or once the link stands and is settled; what a fallen link may have lost
    /// is sent again then. Guards against runs that wait for a reply until their callers give up, and against calls
    /// made twice, or keyed requests failed, because a link fell beside them.
    pub(super) fn deliver_reply(&mut self, id: RequestId, reply: Arc<Buffer>) {
        if let Some(link) = self.processor.usable_link() {
            self.effects.push(Effect::DeliverUpstreamReply {
                link,
                id: id.clone(),
                reply: Arc::clone(&reply),
            });
        }
        self.processor.unconfirmed_replies.push((id, reply, self.processor.last_reading));
    }

    /// Stops a run where there is a link; a run that ends so is told as stopped.
    pub(super) fn stop_run(&mut self, id: &RequestId) {
        if let (Some(_), Some(link)) = (self.requests.get(id), self.processor.number) {
            self.effects.push(Effect::StopRun { link, id: id.clone() });
        }
    }
}
