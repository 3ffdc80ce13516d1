//! The link to the processor: readings of its gauges, what it may not have received, and what is sent again after a link fell.
//!
//! The processor answers in order. So what was sent before a reading was asked for has been received once that reading is
//! answered; until then it is unconfirmed, and sent again on the next link. Notices are numbered, and each is applied once. Not
//! here: the connection itself, which is the shell's, and what the ends of runs mean ([`super::runs`]).

use super::{MS, Reducer};
use crate::buffer_pool::Buffer;
use crate::messages::{Effect, MIN_PROCESSOR_RESTART, RunEnd};
use gradepin_admission::{
    Controller, Event, Gauges, RequestId, Settings, Span, Time, time_after, time_before,
};
use slog::Level;
use std::sync::Arc;

/// How long a due timer of the admission module waits for the gauges; then it fires without them.
pub(super) const MAX_GAUGES_WAIT: Span = Span(15 * MS);
/// A reading of the gauges that is open for so long means that the link is dead.
const READING_TIMEOUT: Span = Span(1_500 * MS);

/// A run that was sent, or is to be sent, to the processor, which may not have it.
#[derive(Debug)]
struct UnconfirmedRun {
    id: RequestId,
    /// The last reading that was asked for before it was sent.
    last_reading: u64,
}

/// A reply to an upstream call that was sent, or is to be sent, to the processor, which may not have it.
#[derive(Debug)]
struct UnconfirmedReply {
    id: RequestId,
    reply: Arc<Buffer>,
    /// The last reading that was asked for before it was sent.
    last_reading: u64,
}

/// The gauges as they were read last.
#[derive(Debug)]
struct Reading {
    at: Time,
    gauges: Gauges,
}

/// The link to the processor.
#[derive(Debug, Default)]
pub(super) struct ProcessorLink {
    /// Number of the link, while there is one.
    pub(super) number: Option<u64>,
    /// The reading whose answer shows what a former link lost; runs and replies wait for it.
    resend_after: Option<u64>,
    /// The reading that was asked for after the processor was to repeat its notices for recovered runs.
    replay_reading: Option<u64>,
    /// When its last message was read.
    pub(super) last_message_at: Time,
    /// Number of the last notice that was applied.
    last_notice: u64,
    /// Whether the shell has reported another processor whose greeting has not come yet.
    is_new_processor: bool,
    /// Number of the last reading that was asked for, and since when it is open.
    last_reading: u64,
    pub(super) reading_since: Option<Time>,
    reading: Option<Reading>,
    unconfirmed_runs: Vec<UnconfirmedRun>,
    /// One a run at the most.
    unconfirmed_replies: Vec<UnconfirmedReply>,
}

impl ProcessorLink {
    /// The link has ended; what is unconfirmed stays so until the next one.
    fn disconnected(&mut self) {
        (self.number, self.resend_after, self.reading_since) = (None, None, None);
    }

    /// Whether a notice is new: after a reconnect the processor may repeat what was read before.
    pub(super) fn accept_notice(&mut self, notice: u64, now: Time) -> bool {
        self.last_message_at = now;
        let is_new = notice > self.last_notice;
        self.last_notice = self.last_notice.max(notice);
        is_new
    }

    /// Number of a link on which nothing waits to be sent again.
    pub(super) fn usable_link(&self) -> Option<u64> {
        self.number.filter(|_| self.resend_after.is_none())
    }

    /// A run is sent, or to be sent.
    pub(super) fn add_unconfirmed_run(&mut self, id: RequestId) {
        self.unconfirmed_runs.push(UnconfirmedRun { id, last_reading: self.last_reading });
    }

    /// A reply is sent, or to be sent.
    pub(super) fn add_unconfirmed_reply(&mut self, id: RequestId, reply: Arc<Buffer>) {
        self.unconfirmed_replies.push(UnconfirmedReply { id, reply, last_reading: self.last_reading });
    }

    /// Whether the processor may not have received a run.
    pub(super) fn is_unconfirmed(&self, id: &RequestId) -> bool {
        self.unconfirmed_runs.iter().any(|run| run.id == *id)
    }

    /// A run has ended: nothing of it is to be sent again.
    pub(super) fn run_ended(&mut self, id: &RequestId) {
        self.unconfirmed_runs.retain(|run| run.id != *id);
        self.reply_received(id);
    }

    /// The processor has received the reply to a run's call.
    pub(super) fn reply_received(&mut self, id: &RequestId) {
        self.unconfirmed_replies.retain(|reply| reply.id != *id);
    }

    /// Runs and replies that were sent before this reading are confirmed.
    fn confirm_before(&mut self, reading: u64) {
        self.unconfirmed_runs.retain(|run| run.last_reading >= reading);
        self.unconfirmed_replies.retain(|reply| reply.last_reading >= reading);
    }

    fn has_unconfirmed(&self) -> bool {
        !self.unconfirmed_runs.is_empty() || !self.unconfirmed_replies.is_empty()
    }
}

impl Reducer {
    /// The processor greeted on a new link. Its first greeting creates the admission module.
    pub(super) fn link_up(&mut self, link: u64, cold: bool, age: Span) {
        let now = self.timestamp.now;
        let started_at = time_before(now, age);
        self.registration.processor_up(started_at, cold);
        let is_first = self.controller.is_none();
        if is_first {
            self.create_controller(cold, started_at);
        }
        self.recovery.processor_up(now, started_at, MIN_PROCESSOR_RESTART);
        if std::mem::take(&mut self.processor.is_new_processor)
            && let Some(controller) = self.controller.as_mut().filter(|_| !is_first)
        {
            // Guards against runs for a warm processor on one that starts cold, which overload it.
            controller.cores_started(cold, started_at);
        }
        self.processor.last_message_at = now;
        self.processor.number = Some(link);
        self.processor.reading_since = None;
        let must_resend = self.processor.has_unconfirmed();
        if must_resend || self.recovery.wait_until().is_some() {
            // The answer follows all notices of runs that ended meanwhile.
            self.read_gauges(link);
            let reading = self.processor.last_reading;
            self.processor.resend_after = must_resend.then_some(reading);
            self.processor.replay_reading = self.recovery.wait_until().map(|_| reading);
        }
    }

    /// Creates the admission module. Warmth counts from the start of the processor, which may be long after this process's.
    fn create_controller(&mut self, cold: bool, started_at: Time) {
        let mut settings = Settings::clone(&self.settings);
        settings.specifics.cold_start = cold;
        let mut controller = Controller::new(settings, self.seed, started_at);
        for (slot, class) in self.classes.iter() {
            controller.put_class(slot, Arc::clone(class));
        }
        for (slot, tenant) in self.tenants.iter() {
            controller.put_tenant(slot, tenant.quota_rps, true);
        }
        self.controller = Some(controller);
        self.healthy = true;
        self.registration.publish_health(self.timestamp.now, true);
        self.report_change();
        if self.drain.is_draining() {
            self.notify_admission_of_shutdown();
        }
        self.log(Level::Info, format!("the processor is up, {}", if cold { "cold" } else { "warm" }));
    }

    /// The link has ended.
    pub(super) fn link_down(&mut self) {
        self.registration.processor_silent(self.timestamp.now);
        self.processor.disconnected();
    }

    /// Another processor greets: runs on the one before have no end to wait for, and notices are numbered from 1 again. The
    /// shell decides this, as it also sends the processor the number of the last notice that was read: two decisions could
    /// differ, and lose every result.
    pub(super) fn processor_restarted(&mut self) {
        self.log(Level::Warning, "the processor has restarted; its runs are lost".into());
        self.processor.last_notice = 0;
        self.processor.is_new_processor = true;
        for id in self.requests.running_ids() {
            self.end_run(&id, RunEnd::Failed, Span(0), None);
        }
    }

    fn read_gauges(&mut self, link: u64) {
        self.processor.last_reading += 1;
        self.processor.reading_since = Some(self.timestamp.now);
        self.effects.push(Effect::ReadGauges { link, number: self.processor.last_reading });
    }

    /// The processor answers a reading of its gauges; an answer to an earlier reading is ignored.
    pub(super) fn gauges_read(&mut self, number: u64, values: &[f64]) {
        let now = self.timestamp.now;
        self.processor.last_message_at = now;
        if number != self.processor.last_reading || self.processor.reading_since.take().is_none() {
            return;
        }
        let mut gauges = Gauges::default();
        for (name, value) in self.settings.specifics.gauges.iter().zip(values) {
            gauges.set(name, *value);
        }
        self.processor.reading = Some(Reading { at: now, gauges });
        if self.processor.resend_after.take_if(|reading| *reading <= number).is_some() {
            self.resend_unconfirmed();
        }
        self.processor.confirm_before(number);
        // An answer from before the replay says nothing: the ends of recovered runs may still be reported.
        if self.processor.replay_reading.is_some_and(|reading| reading <= number) {
            self.check_recovered_runs(gauges.runnable);
        }
    }

    /// Sends again what a former link may have lost. Guards against requests that hang because a link fell.
    fn resend_unconfirmed(&mut self) {
        for run in std::mem::take(&mut self.processor.unconfirmed_runs) {
            self.send_run(&run.id);
        }
        for reply in std::mem::take(&mut self.processor.unconfirmed_replies) {
            self.deliver_reply(reply.id, reply.reply);
        }
    }

    /// Where no more runs are on the cores than were started here, none of an earlier process is: its end was reported before
    /// or never will be. Guards against repeats that wait, in process after process, for a run that never reached the
    /// processor.
    fn check_recovered_runs(&mut self, runnable: Option<f64>) {
        let (Some(_), Some(on_cores)) = (self.recovery.wait_until(), runnable) else { return };
        let running = self.requests.count_running();
        // Runs without a durable intent, and those sent after the reading, aren't on the cores.
        let own = running
            .saturating_sub(self.idempotency_log.count_waiting() + self.processor.unconfirmed_runs.len());
        if on_cores < own as f64 + 0.5 {
            self.recovery.stop_waiting(self.timestamp.now);
        }
    }

    /// Fires the due timers of the admission module with the gauges as they are now, or without where the processor doesn't
    /// answer.
    pub(super) fn fire_timers(&mut self) {
        let now = self.timestamp.now;
        let Some(due) = self.schedule.due_timer(now) else { return };
        let gauges = self.processor.reading.as_ref().filter(|reading| reading.at >= due);
        let gauges = gauges.map(|reading| reading.gauges);
        if gauges.is_none() {
            match (self.processor.number, self.processor.reading_since) {
                (None, _) => {}
                (Some(link), None) => return self.read_gauges(link),
                (Some(_), Some(since)) if now < time_after(since, MAX_GAUGES_WAIT) => return,
                (Some(link), Some(since)) if now >= time_after(since, READING_TIMEOUT) => {
                    self.log(Level::Warning, "the processor doesn't answer; renewing the link".into());
                    self.effects.push(Effect::ReconnectProcessor { link });
                    self.processor.reading_since = Some(now);
                }
                _ => {}
            }
        }
        let gauges = gauges.unwrap_or_default();
        while self.schedule.take_due_timer(now).is_some() {
            self.events.push(Event::Timer(gauges));
        }
    }
}
