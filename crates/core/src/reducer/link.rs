//! The link to the processor: questions for the gauges, what may not have arrived, and what is settled after it fell.
//! Not here: the connection itself, which is the shell's, and what the ends of runs mean ([`super::runs`]).

use super::{MS, Reducer};
use crate::buffer_pool::Buffer;
use crate::messages::{Effect, MIN_PROCESSOR_RESTART, RunEnd};
use gradepin_admission::{
    Controller, Event, Gauges, RequestId, Settings, Span, Time, time_after, time_before,
};
use slog::Level;
use std::sync::Arc;

/// How long a due timer waits for its gauges; then it fires without.
pub(super) const GAUGES_WAIT: Span = Span(15 * MS);
/// How long the processor may leave a question for the gauges open before the link counts as dead.
const LINK_PATIENCE: Span = Span(1_500 * MS);

/// The link to the processor.
#[derive(Debug, Default)]
pub(super) struct Link {
    /// Its number, while it stands.
    pub(super) number: Option<u64>,
    /// The question after which begins left over from an earlier link are sent again.
    pub(super) settles: Option<u64>,
    /// The question behind all kept notices, told since runs of an earlier life were found; none before they are.
    pub(super) retold: Option<u64>,
    /// When the processor last told anything.
    pub(super) heard: Time,
    pub(super) last_notice: u64,
    /// Whether another processor than the one before was told of, and its greeting hasn't been taken in yet.
    is_another: bool,
    /// Questions asked so far, and when the open one was.
    pub(super) asked: u64,
    pub(super) open_since: Option<Time>,
    pub(super) gauges: Option<(Time, Gauges)>,
    /// Begins that may not have arrived, with the questions asked before each.
    pub(super) unproven: Vec<(RequestId, u64)>,
    /// Replies to calls that may not have arrived, one a run at the most, with the questions asked before each.
    pub(super) replies: Vec<(RequestId, Arc<Buffer>, u64)>,
}

impl Link {
    /// It has ended; what is unproven stays so until the next one.
    pub(super) fn down(&mut self) {
        (self.number, self.settles, self.open_since) = (None, None, None);
    }

    /// A notice came; whether it is new. After a reconnect the processor may tell again what was already read.
    pub(super) fn notice(&mut self, notice: u64, now: Time) -> bool {
        self.heard = now;
        let new = notice > self.last_notice;
        self.last_notice = self.last_notice.max(notice);
        new
    }

    /// The number of a link that stands and is settled.
    pub(super) fn settled(&self) -> Option<u64> {
        self.number.filter(|_| self.settles.is_none())
    }

    /// Whether a run's begin may not have arrived.
    pub(super) fn is_unproven(&self, id: &RequestId) -> bool {
        self.unproven.iter().any(|(unproven, _)| unproven == id)
    }

    /// A run has ended: nothing of it is still to arrive.
    pub(super) fn ended(&mut self, id: &RequestId) {
        self.unproven.retain(|(unproven, _)| unproven != id);
        self.replied(id);
    }

    /// The reply to a run's call has arrived there.
    pub(super) fn replied(&mut self, id: &RequestId) {
        self.replies.retain(|(replied, ..)| replied != id);
    }
}

impl Reducer {
    pub(super) fn link_up(&mut self, number: u64, cold: bool, age: Span) {
        let now = self.moment.now;
        self.registration.processor_up(time_before(now, age), cold);
        let first = self.controller.is_none();
        if first {
            // Warmth counts from the start of the processor, which may be long after this process's.
            let mut settings = Settings::clone(&self.settings);
            settings.specifics.cold_start = cold;
            let mut controller = Controller::new(settings, self.seed, time_before(now, age));
            for (slot, class) in self.classes.iter() {
                controller.put_class(slot, Arc::clone(class));
            }
            for (slot, tenant) in self.tenants.iter() {
                controller.put_tenant(slot, tenant.quota_rps, true);
            }
            self.controller = Some(controller);
            self.active = true;
            self.registration.health(now, true);
            self.changed();
            if self.drain.is_told() {
                self.tell_leaving();
            }
            self.log(Level::Info, format!("the processor is up, {}", if cold { "cold" } else { "warm" }));
        }
        // It started with this process or after it: nothing of an earlier life runs there.
        self.past.processor_up(now, time_before(now, age), MIN_PROCESSOR_RESTART);
        if std::mem::take(&mut self.link.is_another)
            && let Some(controller) = self.controller.as_mut().filter(|_| !first)
        {
            // Guards against runs for a warm processor on one that begins cold: those make it fall over.
            controller.cores_started(cold, time_before(now, age));
        }
        self.link.heard = now;
        self.link.number = Some(number);
        self.link.open_since = None;
        let unproven = !self.link.unproven.is_empty() || !self.link.replies.is_empty();
        if unproven || self.past.hope().is_some() {
            // The answer comes behind all notices of runs that ended meanwhile.
            self.ask(number);
            self.link.settles = unproven.then_some(self.link.asked);
            self.link.retold = self.past.hope().map(|_| self.link.asked);
        }
    }

    /// Another processor: what ran on the one before has no end to wait for, and notices begin at 1 again. It is the shell
    /// that says so, which goes by the same word for its hello: two answers to one question lost every result.
    pub(super) fn restarted(&mut self) {
        self.log(Level::Warning, "the processor has restarted; its runs are lost".into());
        self.link.last_notice = 0;
        self.link.is_another = true;
        for id in self.requests.all_running() {
            self.ended(&id, RunEnd::Failed, Span(0), None);
        }
    }

    /// Asks for the gauges.
    pub(super) fn ask(&mut self, link: u64) {
        self.link.asked += 1;
        self.link.open_since = Some(self.moment.now);
        self.effects.push(Effect::ReadGauges { link, number: self.link.asked });
    }

    pub(super) fn used(&mut self, tag: u64, values: &[f64]) {
        if tag != self.link.asked || self.link.open_since.take().is_none() {
            return;
        }
        let mut gauges = Gauges::default();
        for (name, value) in self.settings.specifics.gauges.iter().zip(values) {
            gauges.set(name, *value);
        }
        self.link.gauges = Some((self.moment.now, gauges));
        if self.link.settles.take_if(|settles| *settles <= tag).is_some() {
            // Begins that the fallen link lost. Guards against requests that hang because a link fell.
            for (id, _) in std::mem::take(&mut self.link.unproven) {
                self.begin(&id);
            }
            for (id, reply, _) in std::mem::take(&mut self.link.replies) {
                self.reply(id, reply);
            }
        }
        self.link.unproven.retain(|(_, asked)| *asked >= tag);
        self.link.replies.retain(|(.., asked)| *asked >= tag);
        // Guards against an answer from before the retelling: the end of an earlier life's run may still be told.
        if self.link.retold.is_some_and(|retold| retold <= tag) {
            self.count_runs(gauges.runnable);
        }
    }

    /// Where no more runs than were begun here are on the cores, none of an earlier life is, and its end was told before or
    /// never will be. Guards against repeats that wait in life after life for a run that never reached the processor.
    pub(super) fn count_runs(&mut self, runnable: Option<f64>) {
        let (Some(_), Some(on)) = (self.past.hope(), runnable) else { return };
        let running = self.requests.count_running();
        // Those still without an intent, and those begun after the question, aren't among them.
        let own = running.saturating_sub(self.ledger.waiting() + self.link.unproven.len());
        if on < own as f64 + 0.5 {
            self.past.give_up(self.moment.now);
        }
    }

    /// Fires what is due, with the gauges of this moment, or without where the processor doesn't tell them.
    pub(super) fn fire(&mut self) {
        let now = self.moment.now;
        let Some(due) = self.duties.due(now) else { return };
        let fresh = self.link.gauges.filter(|(at, _)| *at >= due);
        if fresh.is_none() {
            match (self.link.number, self.link.open_since) {
                (None, _) => {}
                (Some(link), None) => return self.ask(link),
                (Some(_), Some(since)) if now < time_after(since, GAUGES_WAIT) => return,
                (Some(link), Some(since)) if now >= time_after(since, LINK_PATIENCE) => {
                    self.log(Level::Warning, "the processor doesn't answer; renewing the link".into());
                    self.effects.push(Effect::ReconnectProcessor { link });
                    self.link.open_since = Some(now);
                }
                _ => {}
            }
        }
        let gauges = fresh.map(|(_, gauges)| gauges).unwrap_or_default();
        while self.duties.take_due(now).is_some() {
            self.events.push(Event::Timer(gauges));
        }
    }
}
