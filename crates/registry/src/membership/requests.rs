//! Chooses the next request, and the time at which it is due.

use super::messages::{
    DueRequest, OpenRequest, RegistryOperation, RegistryReply, RegistryRequest, RequestLane,
};
use super::{Leaving, MS, Membership};
use crate::instance::InstanceStatus;
use gradepin_admission::{Span, Time, time_after};

/// Maximum timeout of a request of a leave: there must be time to try another registry before the drain ends.
const LEAVE_TIMEOUT: Span = Span(400 * MS);
/// A request counts as failed if the caller has reported no reply this long after its timeout.
const REPLY_GRACE: Span = Span(500 * MS);
/// For this long after the first registration heartbeats are more frequent, since a predecessor's late cancel may remove the
/// lease.
const NEW_REGISTRATION_PERIOD: Span = Span(30_000 * MS);
/// Maximum interval between heartbeats during [`NEW_REGISTRATION_PERIOD`].
const NEW_REGISTRATION_HEARTBEAT: Span = Span(2_000 * MS);
/// Minimum interval between registrations, so that a registry that loses each registration at once isn't flooded.
const MIN_REGISTER_INTERVAL: Span = Span(1_000 * MS);
const NEVER: Time = Time(u64::MAX);

impl Membership {
    /// The next request that is due at `now`. Must be called again until it returns `None`. `unix_ms` dates changes of the
    /// own record.
    pub fn poll(&mut self, now: Time, unix_ms: u64) -> Option<RegistryRequest> {
        if self.cancelled {
            return None;
        }
        self.fail_overdue_requests(now);
        let due = match self.due_urgent(now, unix_ms) {
            Some(urgent) => urgent,
            None => self.due_routine(now, unix_ms)?,
        };
        Some(self.open(now, due))
    }

    /// When [`Membership::poll`] must be called next if no fact or reply is reported before.
    pub fn wake_at(&self, now: Time) -> Time {
        if self.cancelled {
            return NEVER;
        }
        let overdue =
            |open: &OpenRequest, lane| time_after(open.sent_at, Span(self.timeout(lane).0 + REPLY_GRACE.0));
        let urgent = match (&self.urgent, self.leaving) {
            (Some(open), _) => overdue(open, RequestLane::Urgent),
            (None, Leaving::No) => NEVER,
            (None, Leaving::Confirmed) if self.secondary_urls.is_empty() => NEVER,
            (None, _) => self.next_urgent_at,
        };
        let routine = match &self.routine {
            Some(open) => overdue(open, RequestLane::Routine),
            None => self.next_routine_at.max(self.next_routine_due(now)),
        };
        urgent.min(routine)
    }

    /// When the next routine request is due, apart from the backoff.
    fn next_routine_due(&self, now: Time) -> Time {
        if self.cancel_due || (self.registered && self.fetch_record) {
            return now;
        }
        if !self.registered {
            return if self.leaving == Leaving::No { self.next_register_at } else { NEVER };
        }
        // The wanted status also changes with time: when a cold server becomes ready, and when the stabilization period ends.
        let cold_processor = self.processor.filter(|processor| processor.cold);
        let ready = cold_processor.map(|processor| self.ready_at(processor.started_at));
        let changes = [ready, Some(time_after(self.health_since, self.settings.stabilization_period))];
        let next_by_time = changes.into_iter().flatten().filter(|&at| at > now).min();
        let change = if self.needs_status_change(now) { Some(self.next_change_at) } else { next_by_time };
        self.next_heartbeat_at.min(change.unwrap_or(NEVER))
    }

    /// Whether the registry shows a status other than the wanted one, and this server may change it: not during a leave, and
    /// not against an operator's override.
    fn needs_status_change(&self, now: Time) -> bool {
        let may_change = self.leaving == Leaving::No && self.foreign_override.is_none();
        self.registered && may_change && self.shown_status != Some(self.wanted(now))
    }

    fn timeout(&self, lane: RequestLane) -> Span {
        match lane {
            RequestLane::Routine => self.settings.timeout,
            RequestLane::Urgent => self.settings.timeout.min(LEAVE_TIMEOUT),
        }
    }

    /// The open request of a lane.
    pub(super) fn lane(&mut self, lane: RequestLane) -> &mut Option<OpenRequest> {
        match lane {
            RequestLane::Routine => &mut self.routine,
            RequestLane::Urgent => &mut self.urgent,
        }
    }

    /// Fails the open requests whose replies are overdue.
    fn fail_overdue_requests(&mut self, now: Time) {
        for lane in [RequestLane::Routine, RequestLane::Urgent] {
            let overdue = Span(self.timeout(lane).0 + REPLY_GRACE.0);
            if let Some(open) =
                self.lane(lane).as_ref().filter(|open| time_after(open.sent_at, overdue) <= now)
            {
                let ticket = open.ticket;
                self.reply(now, ticket, RegistryReply::Failed("no reply within the timeout".into()));
            }
        }
    }

    /// Sets a time of change later than any before. A record from the registry may have any time, so the addition saturates.
    fn mark_changed(&mut self, unix_ms: u64) {
        self.dirty_ms = unix_ms.max(self.dirty_ms.saturating_add(1));
    }

    /// A registration of this instance with the given status.
    fn registration(&mut self, status: InstanceStatus, unix_ms: u64) -> RegistryOperation {
        self.mark_changed(unix_ms);
        let mut instance = self.settings.instance.clone();
        (instance.status, instance.dirty_ms, instance.updated_ms) = (status, self.dirty_ms, unix_ms);
        RegistryOperation::Register(Box::new(instance))
    }

    /// The next request of a leave, if one is due.
    fn due_urgent(&mut self, now: Time, unix_ms: u64) -> Option<DueRequest> {
        if self.urgent.is_some() || now < self.next_urgent_at {
            return None;
        }
        let out_of_service =
            |dirty_ms| RegistryOperation::Override { status: InstanceStatus::OutOfService, dirty_ms };
        let operation = match self.leaving {
            Leaving::No => return None,
            Leaving::SetOverride => {
                self.mark_changed(unix_ms);
                out_of_service(self.dirty_ms)
            }
            Leaving::Register => self.registration(InstanceStatus::OutOfService, unix_ms),
            Leaving::Verify => RegistryOperation::FetchOwnRecord,
            Leaving::Confirmed => {
                let url = self.next_secondary_url()?;
                let operation = out_of_service(self.dirty_ms);
                return Some(DueRequest { lane: RequestLane::Urgent, url, secondary: true, operation });
            }
        };
        Some(DueRequest { lane: RequestLane::Urgent, url: self.url, secondary: false, operation })
    }

    /// The next service URL other than the one in use at which the override is to be set.
    fn next_secondary_url(&mut self) -> Option<usize> {
        while let Some(url) = self.secondary_urls.pop() {
            if url != self.url {
                return Some(url);
            }
        }
        None
    }

    /// The next request of the routine lane, if one is due.
    fn due_routine(&mut self, now: Time, unix_ms: u64) -> Option<DueRequest> {
        if self.routine.is_some() || now < self.next_routine_at {
            return None;
        }
        let url = self.url;
        let routine = |operation| DueRequest { lane: RequestLane::Routine, url, secondary: false, operation };
        if std::mem::take(&mut self.cancel_due) {
            return Some(routine(RegistryOperation::Cancel));
        }
        if !self.registered {
            return self.due_registration(now, unix_ms).map(routine);
        }
        if std::mem::take(&mut self.fetch_record) {
            return Some(routine(RegistryOperation::FetchOwnRecord));
        }
        if self.needs_status_change(now) && now >= self.next_change_at {
            return Some(routine(self.status_change(now, unix_ms)));
        }
        self.due_heartbeat(now)
    }

    fn due_registration(&mut self, now: Time, unix_ms: u64) -> Option<RegistryOperation> {
        // During a leave the urgent lane registers, if that is needed.
        if now < self.next_register_at || self.leaving != Leaving::No {
            return None;
        }
        self.next_register_at = time_after(now, MIN_REGISTER_INTERVAL);
        let status = self.wanted(now);
        Some(self.registration(status, unix_ms))
    }

    /// The next operation towards the wanted status; some changes take two operations.
    fn status_change(&mut self, now: Time, unix_ms: u64) -> RegistryOperation {
        self.next_change_at = time_after(now, self.settings.min_change_interval);
        let status = self.wanted(now);
        if status == InstanceStatus::Up && self.has_own_override {
            self.mark_changed(unix_ms);
            return RegistryOperation::ClearOverride { status, dirty_ms: self.dirty_ms };
        }
        // For a lease that is out of service, a registry ignores a registration with `UP` but accepts one with `STARTING`, so
        // the change to `UP` takes both.
        let via_starting =
            status == InstanceStatus::Up && self.shown_status == Some(InstanceStatus::OutOfService);
        self.registration(if via_starting { InstanceStatus::Starting } else { status }, unix_ms)
    }

    fn due_heartbeat(&mut self, now: Time) -> Option<DueRequest> {
        if now < self.next_heartbeat_at {
            return None;
        }
        // The preferred registry is tried with a heartbeat, whose failure has no effect.
        let tries_preferred = self.url > 0 && now >= self.next_preferred_at;
        let url = if tries_preferred { 0 } else { self.url };
        if url != self.url {
            self.next_preferred_at = time_after(now, self.settings.preferred_retry_interval);
        }
        let operation = RegistryOperation::Heartbeat { status: self.wanted(now), dirty_ms: self.dirty_ms };
        Some(DueRequest { lane: RequestLane::Routine, url, secondary: false, operation })
    }

    fn open(&mut self, now: Time, due: DueRequest) -> RegistryRequest {
        self.last_ticket += 1;
        self.requests_sent += 1;
        let DueRequest { lane, url, secondary, operation } = due;
        let ticket = self.last_ticket;
        *self.lane(lane) =
            Some(OpenRequest { ticket, url, operation: operation.clone(), sent_at: now, secondary });
        RegistryRequest { ticket, url, lane, timeout: self.timeout(lane), operation }
    }

    /// Schedules the next heartbeat, with a shorter interval after the first registration.
    pub(super) fn schedule_heartbeat(&mut self, now: Time) {
        let is_new =
            self.first_registered.is_some_and(|first| now < time_after(first, NEW_REGISTRATION_PERIOD));
        let interval = self.settings.heartbeat;
        let interval = if is_new { interval.min(NEW_REGISTRATION_HEARTBEAT) } else { interval };
        self.next_heartbeat_at = time_after(now, interval);
    }
}
