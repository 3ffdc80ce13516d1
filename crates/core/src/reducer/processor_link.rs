//! The link to the processor: readings of its gauges, messages that it may not have received, and what is sent again
//! after a link was lost.
//!
//! The processor answers in order. Therefore everything sent before a reading was requested has been received once that
//! reading is answered; until then it is unconfirmed, and is sent again on the next link. Notices are numbered, and
//! each is applied once. The shell owns the connection; [`super::runs`] handles the ends of runs.

use super::{MS, Reducer};
use crate::buffer_pool::Buffer;
use crate::messages::{Effect, MIN_PROCESSOR_RESTART, RunEnd};
use gradepin_admission::{
    Controller, Event, Gauges, RequestId, Settings, Span, Time, time_after, time_before,
};
use slog::Level;
use std::sync::Arc;

/// Maximum time that a due timer of the admission module waits for the gauges before it fires without them.
pub(super) const MAX_GAUGES_WAIT: Span = Span(15 * MS);
/// A link whose gauge reading is unanswered for this long is considered dead.
const READING_TIMEOUT: Span = Span(1_500 * MS);

/// A run that was sent to the processor or is to be sent, and that the processor may not have received.
#[derive(Debug)]
struct UnconfirmedRun {
    id: RequestId,
    /// The latest reading that was requested before this was sent.
    last_reading: u64,
}

/// A reply to an upstream call that was sent to the processor or is to be sent, and that the processor may not have
/// received.
#[derive(Debug)]
struct UnconfirmedReply {
    id: RequestId,
    reply: Arc<Buffer>,
    /// The latest reading that was requested before this was sent.
    last_reading: u64,
}

/// The latest gauge values.
#[derive(Debug)]
struct Reading {
    at: Time,
    gauges: Gauges,
}

/// The link to the processor.
#[derive(Debug, Default)]
pub(super) struct ProcessorLink {
    /// Number of the current link; `None` while there is no link.
    pub(super) number: Option<u64>,
    /// The reading whose answer shows what a former link lost. Until then, no runs and replies are sent.
    resend_after: Option<u64>,
    /// The reading that was requested after the processor had to repeat its notices for recovered runs.
    replay_reading: Option<u64>,
    /// When the latest message of the processor was read.
    pub(super) last_message_at: Time,
    /// Number of the latest notice that was applied.
    last_notice: u64,
    /// Whether the shell has reported a new processor whose greeting has not come yet.
    is_new_processor: bool,
    /// Number of the latest reading that was requested, and when it was, if it is unanswered.
    last_reading: u64,
    pub(super) reading_since: Option<Time>,
    reading: Option<Reading>,
    unconfirmed_runs: Vec<UnconfirmedRun>,
    /// At most one for each run.
    unconfirmed_replies: Vec<UnconfirmedReply>,
}

impl ProcessorLink {
    /// Marks the link as ended. Unconfirmed runs and replies remain unconfirmed until the next link.
    fn disconnected(&mut self) {
        (self.number, self.resend_after, self.reading_since) = (None, None, None);
    }

    /// Returns whether a notice is new. After a reconnect the processor may repeat notices that were read before.
    pub(super) fn accept_notice(&mut self, notice: u64, now: Time) -> bool {
        self.last_message_at = now;
        let is_new = notice > self.last_notice;
        self.last_notice = self.last_notice.max(notice);
        is_new
    }

    /// Returns the number of the link unless runs or replies wait to be sent again on it.
    pub(super) fn usable_link(&self) -> Option<u64> {
        self.number.filter(|_| self.resend_after.is_none())
    }

    /// Adds a run that is sent now or is to be sent.
    pub(super) fn add_unconfirmed_run(&mut self, id: RequestId) {
        self.unconfirmed_runs.push(UnconfirmedRun { id, last_reading: self.last_reading });
    }

    /// Adds a reply that is sent now or is to be sent.
    pub(super) fn add_unconfirmed_reply(&mut self, id: RequestId, reply: Arc<Buffer>) {
        self.unconfirmed_replies.push(UnconfirmedReply { id, reply, last_reading: self.last_reading });
    }

    /// Whether the processor may not have received a run.
    pub(super) fn is_unconfirmed(&self, id: &RequestId) -> bool {
        self.unconfirmed_runs.iter().any(|run| run.id == *id)
    }

    /// Removes a run that has ended, so that nothing of it is sent again.
    pub(super) fn run_ended(&mut self, id: &RequestId) {
        self.unconfirmed_runs.retain(|run| run.id != *id);
        self.reply_received(id);
    }

    /// Notes that the processor has received the reply to a run's call.
    pub(super) fn reply_received(&mut self, id: &RequestId) {
        self.unconfirmed_replies.retain(|reply| reply.id != *id);
    }

    /// Confirms the runs and replies that were sent before this reading was requested.
    fn confirm_before(&mut self, reading: u64) {
        self.unconfirmed_runs.retain(|run| run.last_reading >= reading);
        self.unconfirmed_replies.retain(|reply| reply.last_reading >= reading);
    }

    fn has_unconfirmed(&self) -> bool {
        !self.unconfirmed_runs.is_empty() || !self.unconfirmed_replies.is_empty()
    }
}

impl Reducer {
    /// Handles the processor's greeting on a new link. The first greeting creates the admission module.
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
            // Guards against overload of a processor that starts cold by as many runs as a warm one could take.
            controller.restart_slow_start(cold, started_at);
        }
        self.processor.last_message_at = now;
        self.processor.number = Some(link);
        self.processor.reading_since = None;
        let must_resend = self.processor.has_unconfirmed();
        if must_resend || self.recovery.wait_until().is_some() {
            // The answer follows the notices of all runs that ended meanwhile.
            self.read_gauges(link);
            let reading = self.processor.last_reading;
            self.processor.resend_after = must_resend.then_some(reading);
            self.processor.replay_reading = self.recovery.wait_until().map(|_| reading);
        }
    }

    /// Creates the admission module. Slow start counts from the start of the processor, which may be long after the
    /// start of this process.
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

    pub(super) fn link_down(&mut self) {
        self.metrics.lifecycle.links_ended += 1;
        self.registration.processor_silent(self.timestamp.now);
        self.processor.disconnected();
    }

    /// Handles the start of a new processor: runs on the former one will never report an end, and notices are numbered
    /// from 1 again. The shell alone detects this, because it also sends the processor the number of the latest notice
    /// that was read. If the shell and the reducer decided separately, they could differ and lose every result.
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

    /// Handles the answer to a gauge reading. Answers to earlier readings are ignored.
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
        // An answer from before the replay is not conclusive, since the ends of recovered runs may still be reported.
        if self.processor.replay_reading.is_some_and(|reading| reading <= number) {
            self.check_recovered_runs(gauges.runnable);
        }
    }

    /// Sends again what a former link may have lost. Guards against requests that hang after a link was lost.
    fn resend_unconfirmed(&mut self) {
        for run in std::mem::take(&mut self.processor.unconfirmed_runs) {
            self.send_run(&run.id);
        }
        for reply in std::mem::take(&mut self.processor.unconfirmed_replies) {
            self.deliver_reply(reply.id, reply.reply);
        }
    }

    /// Stops waiting for recovered runs if the processor runs no more than this process has started: the end of any
    /// earlier run was either reported already or never will be. Guards against repeats that wait, process after
    /// process, for a run that never reached the processor.
    fn check_recovered_runs(&mut self, runnable: Option<f64>) {
        let (Some(_), Some(on_cores)) = (self.recovery.wait_until(), runnable) else { return };
        let running = self.requests.count_running();
        // Runs without a durable intent and runs sent after the reading are not on the cores.
        let own = running
            .saturating_sub(self.idempotency_log.count_waiting() + self.processor.unconfirmed_runs.len());
        if on_cores < own as f64 + 0.5 {
            self.recovery.stop_waiting(self.timestamp.now);
        }
    }

    /// Fires the due timers of the admission module with current gauges, or without gauges if the processor doesn't
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
                    self.log(
                        Level::Warning,
                        "the processor did not answer a gauge reading in time; reconnecting".into(),
                    );
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
