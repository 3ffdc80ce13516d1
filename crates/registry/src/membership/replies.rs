//! Handles replies of the registry.

use super::messages::{OpenRequest, RegistryOperation, RegistryReply, RequestLane};
use super::{INITIAL_LEAVE_RETRY_DELAY, Leaving, MS, Membership};
use crate::instance::{Instance, InstanceStatus};
use gradepin_admission::{Span, Time, time_after};

/// For this long after the first registration, an override that this server didn't set is taken for its predecessor's.
const INHERITED_OVERRIDE_PERIOD: Span = Span(30_000 * MS);
/// The own record is fetched again after this many heartbeats.
const HEARTBEATS_PER_FETCH: u32 = 2;

impl Membership {
    /// Handles the reply to a request. A duplicate or late reply, whose request is no longer open, is ignored.
    pub fn reply(&mut self, now: Time, ticket: u64, reply: RegistryReply) {
        let lanes = [RequestLane::Routine, RequestLane::Urgent];
        let is_open = |lane: &RequestLane| {
            let open = if *lane == RequestLane::Routine { &self.routine } else { &self.urgent };
            open.as_ref().is_some_and(|open| open.ticket == ticket)
        };
        let Some(lane) = lanes.into_iter().find(is_open) else { return };
        let Some(open) = self.lane(lane).take() else { return };
        if open.secondary {
            self.next_urgent_at = now;
            return;
        }
        match (&reply, &open.operation) {
            (RegistryReply::Failed(reason), _) => return self.failed(now, lane, &open, reason),
            (RegistryReply::Rejected(status), _) => {
                return self.failed(now, lane, &open, &format!("answered with status {status}"));
            }
            (RegistryReply::Record(_), operation) if *operation != RegistryOperation::FetchOwnRecord => {
                return self.failed(now, lane, &open, "replied with a record that was not requested");
            }
            _ => {}
        }
        if lane == RequestLane::Routine {
            self.switch_to_url(open.url, now);
            self.backoff.reset();
            self.next_routine_at = now;
        } else {
            self.leave_backoff.reset();
            self.next_urgent_at = now;
        }
        match reply {
            RegistryReply::NotFound => self.instance_not_found(now, lane),
            // Another registry is in use by now, which may hold another record. A leave in progress is repeated there; one that
            // was undone meanwhile stays undone.
            RegistryReply::Record(_) if open.url != self.url => {
                if self.leaving != Leaving::No {
                    self.leaving = Leaving::SetOverride;
                }
            }
            RegistryReply::Record(record) => self.take_record(now, lane, &record),
            RegistryReply::Done => self.done(now, lane, open.operation),
            RegistryReply::Rejected(_) | RegistryReply::Failed(_) => {}
        }
        // The routine request that just ended may have undone the override.
        if lane == RequestLane::Routine && matches!(self.leaving, Leaving::Verify | Leaving::Confirmed) {
            self.leaving = Leaving::Verify;
        }
    }

    /// Switches to the service URL that replied.
    fn switch_to_url(&mut self, url: usize, now: Time) {
        if url != self.url {
            self.log_lines.push(format!("the registry at service URL {} is in use", url + 1));
            self.url = url;
            self.fetch_record = true;
            self.next_preferred_at = time_after(now, self.settings.preferred_retry_interval);
        }
    }

    /// Backs off after a failed request, and switches to the next service URL.
    fn failed(&mut self, now: Time, lane: RequestLane, open: &OpenRequest, reason: &str) {
        let mut rng = self.rng.clone();
        let wait = match lane {
            RequestLane::Routine => self.backoff.failed(&mut rng),
            RequestLane::Urgent => self.leave_backoff.failed(&mut rng),
        };
        self.rng = rng;
        let next = time_after(now, wait);
        match lane {
            RequestLane::Urgent => {
                self.next_urgent_at = next;
                if self.leaving == Leaving::Register {
                    self.leaving = Leaving::SetOverride;
                }
            }
            RequestLane::Routine if open.url != self.url => {
                // The preferred registry still fails: the heartbeat is sent to the one in use instead.
                self.next_heartbeat_at = now;
                return;
            }
            RequestLane::Routine => {
                self.next_routine_at = next;
                self.fetch_record |= matches!(
                    open.operation,
                    RegistryOperation::FetchOwnRecord
                        | RegistryOperation::Register(_)
                        | RegistryOperation::ClearOverride { .. }
                );
            }
        }
        if self.backoff.failures() <= 1 {
            self.log_lines.push(format!("the registry at service URL {} failed: {reason}", open.url + 1));
        }
        if self.settings.urls > 1 && open.url == self.url {
            self.url = (self.url + 1) % self.settings.urls;
            self.next_preferred_at = time_after(now, self.settings.preferred_retry_interval);
        }
    }

    /// The registry doesn't know this server: the registry restarted without its data or evicted the server, or a late cancel
    /// removed the registration.
    fn instance_not_found(&mut self, now: Time, lane: RequestLane) {
        if self.registered {
            self.log_lines.push("the registry has forgotten this server".into());
        }
        self.registered = false;
        self.shown_status = None;
        // Whether the registry kept the override without the lease is unknown, so the leave starts again.
        if lane == RequestLane::Urgent || self.leaving != Leaving::No {
            self.leaving = Leaving::Register;
            self.next_urgent_at = self.next_urgent_at.max(now);
        }
    }

    /// Applies an operation that succeeded.
    fn done(&mut self, now: Time, lane: RequestLane, operation: RegistryOperation) {
        match operation {
            RegistryOperation::Register(instance) => {
                self.registered = true;
                self.shown_status = Some(instance.status);
                self.first_registered.get_or_insert(now);
                self.schedule_heartbeat(now);
                self.log_status(instance.status);
                if lane == RequestLane::Urgent {
                    self.leaving = Leaving::SetOverride;
                } else {
                    self.fetch_record = true;
                }
            }
            RegistryOperation::Heartbeat { .. } => {
                self.heartbeats += 1;
                self.fetch_record |= self.heartbeats.is_multiple_of(HEARTBEATS_PER_FETCH);
                self.schedule_heartbeat(now);
            }
            RegistryOperation::Override { .. } => {
                self.registered = true;
                self.has_own_override = true;
                self.shown_status = Some(InstanceStatus::OutOfService);
                self.log_status(InstanceStatus::OutOfService);
                if lane == RequestLane::Urgent && self.leaving != Leaving::No {
                    self.leaving = Leaving::Verify;
                }
            }
            RegistryOperation::ClearOverride { .. } => {
                self.has_own_override = false;
                // The record still has the status from before the override, which is unknown here.
                self.shown_status = None;
                self.next_change_at = now;
            }
            RegistryOperation::FetchOwnRecord => {
                let request = OpenRequest {
                    ticket: 0,
                    url: self.url,
                    operation: RegistryOperation::FetchOwnRecord,
                    sent_at: now,
                    secondary: false,
                };
                self.failed(now, lane, &request, "replied to a fetch without the record");
            }
            RegistryOperation::Cancel => {
                (self.registered, self.cancelled) = (false, true);
                self.log_lines.push("the registration is removed".into());
            }
        }
    }

    fn log_status(&mut self, status: InstanceStatus) {
        self.log_lines.push(format!("status {status} sent to the registry"));
        self.ever_up |= status == InstanceStatus::Up;
    }

    /// Compares the registry's record of this server with the local state.
    fn take_record(&mut self, now: Time, lane: RequestLane, record: &Instance) {
        self.shown_status = Some(record.status);
        self.registered = true;
        if record.dirty_ms > self.dirty_ms {
            // An earlier process left a record with a later time. The registry keeps the latest record, so this server
            // registers again with a time after that one.
            self.dirty_ms = record.dirty_ms;
            self.registered = false;
        }
        let set_elsewhere = record.overridden != InstanceStatus::Unknown && !self.has_own_override;
        let inherited = !self.ever_up
            || self.first_registered.is_some_and(|first| now < time_after(first, INHERITED_OVERRIDE_PERIOD));
        let foreign = self.foreign_override;
        self.foreign_override = None;
        if self.leaving == Leaving::No && set_elsewhere {
            if inherited {
                self.has_own_override = true;
                self.log_lines.push(format!(
                    "removing the status override {} of a predecessor once this server is up",
                    record.overridden
                ));
            } else {
                self.foreign_override = Some(record.overridden);
            }
        }
        self.has_own_override &= record.overridden != InstanceStatus::Unknown;
        if foreign != self.foreign_override {
            let status = self.foreign_override.map_or("no override".into(), |status| status.to_string());
            self.log_lines.push(format!("somebody else changed the override at the registry to {status}"));
        }
        if lane == RequestLane::Urgent && self.leaving != Leaving::No {
            let is_out = record.status == InstanceStatus::OutOfService;
            self.leaving = if is_out { Leaving::Confirmed } else { Leaving::SetOverride };
            if is_out && self.routine.is_some() {
                // An open routine request may still undo the override, so it is verified again.
                self.leaving = Leaving::Verify;
                self.next_urgent_at = time_after(now, INITIAL_LEAVE_RETRY_DELAY);
            }
        }
    }
}
