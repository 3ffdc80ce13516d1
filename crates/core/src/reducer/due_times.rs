//! Due times of responses: each is checked when it is sent. A late one is counted by the stage that its request was in when it
//! was due, and logged with the length of each stage.
//!
//! Invariant: each response is sent by its due time, which is when its caller stops waiting plus `rules.answer_slack`. What
//! follows in the shell, until the client's socket takes the response, is reported by [`super::Input::ResponsesDelayed`].

use super::{MS, Reducer};
use crate::messages::ClientRequest;
use crate::request_timeline::RequestTimeline;
use gradepin_admission::{RequestId, Span, Time, time_after, time_before};
use slog::Level;

/// Interval between log lines on late responses. Each states how many were not logged.
const LOG_INTERVAL: Span = Span(1_000 * MS);

/// When a late response was last logged.
#[derive(Debug, Default)]
pub(super) struct LateLog {
    next_line_at: Time,
    unlogged: u64,
}

impl LateLog {
    /// Whether a line may be logged now; if so, returns the number of late responses since the line before.
    fn take_turn(&mut self, now: Time) -> Option<u64> {
        if now < self.next_line_at {
            self.unlogged += 1;
            return None;
        }
        self.next_line_at = time_after(now, LOG_INTERVAL);
        Some(std::mem::take(&mut self.unlogged))
    }
}

impl Reducer {
    /// Creates the timeline of a request that is received in this step, and counts how long it waited to be read. Its time
    /// stamp must be one of the reference time.
    pub(super) fn begin_timeline(&mut self, request: &ClientRequest) -> RequestTimeline {
        let now = self.timestamp.now;
        let age_ms = self.timestamp.unix_ms.saturating_sub(request.arrived_unix_ms);
        let sent_at = time_before(now, Span(age_ms.saturating_mul(MS)));
        let expires_at = time_after(sent_at, Span(request.budget_ms.saturating_mul(MS)));
        let due_at = time_after(expires_at, self.settings.rules.answer_slack);
        let timeline = RequestTimeline::new(request.receipt, sent_at, now, due_at);
        self.metrics.lifecycle.count_read_wait(timeline.read_wait_cause(), timeline.read_wait());
        timeline
    }

    /// Counts and logs a response that is sent now and late.
    pub(super) fn check_due(&mut self, id: &RequestId, timeline: &RequestTimeline) {
        let now = self.timestamp.now;
        let Some(late) = timeline.lateness(now) else { return };
        let stage = timeline.stage_when_due();
        self.metrics.lifecycle.count_late(stage);
        if let Some(unlogged) = self.late_log.take_turn(now) {
            let late_ms = late.0 as f64 / MS as f64;
            let text = format!(
                "the response to {} is late by {late_ms:.1} ms, due in stage '{stage}'; ms in each stage: {timeline}; \
                 {unlogged} more since the line before",
                id.0
            );
            self.log(Level::Warning, text);
        }
    }

    /// Counts responses that waited until their client took earlier ones, and logs those that were late by this wait alone.
    pub(super) fn responses_delayed(&mut self, count: u64, total: Span, longest: Span) {
        self.metrics.lifecycle.unsent_responses.add(count, total, longest);
        if longest <= self.settings.rules.answer_slack {
            return;
        }
        if let Some(unlogged) = self.late_log.take_turn(self.timestamp.now) {
            let longest_ms = longest.0 / MS;
            let text = format!(
                "{count} responses waited up to {longest_ms} ms until their client took earlier ones; {unlogged} more \
                 late responses since the line before"
            );
            self.log(Level::Warning, text);
        }
    }
}
