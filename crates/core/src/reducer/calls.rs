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
    pub(super) fn asks(&mut self, id: &RequestId, body: Buffer) {
        // It goes on from the call before: that one's reply has arrived.
        self.link.replied(id);
        let Some(open) = self.requests.get_mut(id) else { return };
        open.call = Some(Arc::new(body));
        (open.call_since, open.call_number) = (None, None);
        self.fleet_asks(id, true);
        self.events.push(Event::UpstreamCallNeeded(id.clone()));
    }

    /// The module makes the call a run waits for.
    pub(super) fn ask_below(&mut self, id: &RequestId, timeout: Span) {
        let Some(open) = self.requests.get_mut(id) else { return };
        if open.call.is_none() || open.call_since.is_some() {
            return;
        }
        open.call_since = Some(self.moment.now);
        let timeout = if timeout.0 == 0 { self.classes.profile(open.class).deadline } else { timeout };
        self.fleet_asks(id, false);
        if self.fleet.is_on() {
            self.call_waits(id, timeout);
        } else {
            self.make_call(id, timeout, None);
        }
    }

    /// A call leaves, with so much time for its reply; past a time it must not leave any more. Its number.
    pub(super) fn make_call(
        &mut self,
        id: &RequestId,
        timeout: Span,
        leaves: Option<Time>,
    ) -> UpstreamCallId {
        let now = self.moment.now;
        self.calls += 1;
        let number = self.calls;
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
    pub(super) fn called(
        &mut self,
        id: &RequestId,
        number: UpstreamCallId,
        outcome: Outcome,
        reply: Option<Buffer>,
    ) {
        // Its slot is free, whatever became of the request meanwhile.
        self.fleet_called(number, outcome);
        self.call_ended(id, Some(number), outcome, reply);
    }

    /// A call ended, or with no number never left. Its reply goes to the run that waits for this call; the module hears how
    /// it went. Guards against the reply to a request's call that goes to another one under the same id.
    pub(super) fn call_ended(
        &mut self,
        id: &RequestId,
        number: Option<UpstreamCallId>,
        outcome: Outcome,
        reply: Option<Buffer>,
    ) {
        let now = self.moment.now;
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
            self.reply(id.clone(), Arc::new(reply));
        } else {
            // It waits for its call still, until the module makes it again or gives the request up.
            self.fleet_asks(id, true);
        }
        self.events.push(Event::UpstreamCallEnded { id: id.clone(), outcome, took });
    }

    /// Gives a run the reply to its call, now or once the link stands and is settled; what a fallen link may have lost
    /// is sent again then. Guards against runs that wait for a reply until their callers give up, and against calls
    /// made twice, or keyed requests failed, because a link fell beside them.
    pub(super) fn reply(&mut self, id: RequestId, reply: Arc<Buffer>) {
        if let Some(link) = self.link.settled() {
            self.effects.push(Effect::DeliverUpstreamReply {
                link,
                id: id.clone(),
                reply: Arc::clone(&reply),
            });
        }
        self.link.replies.push((id, reply, self.link.asked));
    }

    /// Stops a run where there is a link; a run that ends so is told as stopped.
    pub(super) fn interrupt(&mut self, id: &RequestId) {
        if let (Some(_), Some(link)) = (self.requests.get(id), self.link.number) {
            self.effects.push(Effect::StopRun { link, id: id.clone() });
        }
    }
}
