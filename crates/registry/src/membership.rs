//! The registration of this server at a Eureka registry.
//!
//! A state machine without I/O. The caller reports the state of the server ([`Membership::processor`],
//! [`Membership::health`], [`Membership::leave`], ..) and the replies of the registry ([`Membership::reply`]).
//! [`Membership::poll`] returns the next request to send, and [`Membership::wake_at`] the time of the next poll. The server
//! never blocks on a registry.
//!
//! Invariants:
//!
//! - The status at the registry converges to the wanted status, even if requests or replies are lost, late or duplicated. Each
//!   change is verified afterwards with a `GET` of the own instance, and only the record read that way is trusted.
//! - At most one routine request is open, so that changes arrive in order. A leave has a lane of its own: it waits for no
//!   other reply, and is verified again once the routine lane is empty.
//! - `OUT_OF_SERVICE` is set as an override, since a registration with that status does not change a lease that is `UP`, and
//!   an override outlives a registration. Returning to service removes the override first.
//! - An override that existed before this server was first `UP` belongs to its predecessor with the same id, and is removed
//!   when this server is ready. An override that somebody else sets later belongs to an operator, and is left in place.
//! - `UP` is registered only once a cold server can meet its latency objectives and its health was good for the stabilization
//!   period.
//!
//! `requests` chooses the requests, `replies` handles the replies, and `messages` has the types of both.

mod messages;
mod replies;
mod requests;

pub use messages::{RegistryOperation, RegistryReply, RegistryRequest, RequestLane};

use crate::backoff::Backoff;
use crate::instance::{Instance, InstanceStatus};
use gradepin_admission::{Span, Time, time_after};
use messages::OpenRequest;
use rand_pcg::Pcg64Mcg;
use rand_pcg::rand_core::SeedableRng;

const MS: u64 = 1_000_000;
/// Delay after the first failure of a routine request; it doubles up to the heartbeat interval.
const INITIAL_RETRY_DELAY: Span = Span(250 * MS);
/// Delay after the first failed request of a leave, which must complete before the drain ends.
const INITIAL_LEAVE_RETRY_DELAY: Span = Span(50 * MS);
/// Maximum delay between the requests of a leave.
const MAX_LEAVE_RETRY_DELAY: Span = Span(400 * MS);

/// The operators' settings for the registration, and the identity of this server.
#[derive(Debug, Clone)]
pub struct MembershipSettings {
    /// The record to register; each registration sets its status and timestamps.
    pub instance: Instance,
    /// The number of service URLs; the first is the preferred one.
    pub urls: usize,
    /// Interval between heartbeats.
    pub heartbeat: Span,
    /// Timeout of a request; requests of a leave have a shorter one.
    pub timeout: Span,
    /// Minimum interval between changes of the status; a leave is exempt.
    pub min_change_interval: Span,
    /// How long the health must have been good before `UP` is registered.
    pub stabilization_period: Span,
    /// The fraction of full speed at which a cold server can meet its latency objectives.
    pub ready_share: f64,
    /// The fraction of full speed at which a cold server starts.
    pub cold_capacity: f64,
    /// The time that a cold server takes to reach full speed, at most.
    pub cold: Span,
    /// Interval between attempts to return to the preferred service URL.
    pub preferred_retry_interval: Span,
    /// Whether the registration is cancelled once all client requests are answered. A late cancel removes a successor with the
    /// same id until its next heartbeat; without a cancel the lease expires by itself.
    pub cancel: bool,
}

/// The start of the running processor.
#[derive(Debug, Clone, Copy)]
struct ProcessorStart {
    started_at: Time,
    /// Whether the processor had to warm up.
    cold: bool,
}

/// The progress of a leave.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Leaving {
    No,
    /// The override `OUT_OF_SERVICE` must be set, or set again.
    SetOverride,
    /// The registry doesn't know this instance, which must be registered before the override is set.
    Register,
    /// The override was set and must be verified.
    Verify,
    /// The registry's record showed `OUT_OF_SERVICE`.
    Confirmed,
}

/// The registration of one server; see the module documentation.
#[derive(Debug)]
pub struct Membership {
    settings: MembershipSettings,
    rng: Pcg64Mcg,
    // The state of this server, as the caller reported it.
    /// The running processor; `None` while none runs.
    processor: Option<ProcessorStart>,
    had_processor: bool,
    healthy: bool,
    health_since: Time,
    leaving: Leaving,
    /// The service URLs other than the one in use where the override must still be set.
    secondary_urls: Vec<usize>,
    // The state of the registry, as far as replies showed it.
    registered: bool,
    /// The status at the registry, as last read or written.
    shown_status: Option<InstanceStatus>,
    /// Whether an override is in force that this server set or inherited.
    has_own_override: bool,
    /// An override that somebody else set while this server was registered.
    foreign_override: Option<InstanceStatus>,
    ever_up: bool,
    first_registered: Option<Time>,
    dirty_ms: u64,
    // Open requests and timers.
    url: usize,
    routine: Option<OpenRequest>,
    urgent: Option<OpenRequest>,
    last_ticket: u64,
    backoff: Backoff,
    leave_backoff: Backoff,
    next_routine_at: Time,
    next_urgent_at: Time,
    next_heartbeat_at: Time,
    next_register_at: Time,
    next_change_at: Time,
    next_preferred_at: Time,
    heartbeats: u32,
    fetch_record: bool,
    /// Whether the registration must be cancelled with the next routine request.
    cancel_due: bool,
    /// Whether the registration was cancelled; no more requests are sent then.
    cancelled: bool,
    requests_sent: u64,
    log_lines: Vec<String>,
}

impl Membership {
    /// The registration of a server that starts now and isn't ready yet. The seed randomizes the backoff.
    pub fn new(settings: MembershipSettings, seed: u64, now: Time) -> Self {
        Self {
            backoff: Backoff::new(INITIAL_RETRY_DELAY, settings.heartbeat),
            leave_backoff: Backoff::new(INITIAL_LEAVE_RETRY_DELAY, MAX_LEAVE_RETRY_DELAY),
            rng: Pcg64Mcg::seed_from_u64(seed),
            processor: None,
            had_processor: false,
            healthy: false,
            health_since: now,
            leaving: Leaving::No,
            secondary_urls: Vec::new(),
            registered: false,
            shown_status: None,
            has_own_override: false,
            foreign_override: None,
            ever_up: false,
            first_registered: None,
            dirty_ms: 0,
            url: 0,
            routine: None,
            urgent: None,
            last_ticket: 0,
            next_routine_at: now,
            next_urgent_at: now,
            next_heartbeat_at: now,
            next_register_at: now,
            next_change_at: now,
            next_preferred_at: now,
            heartbeats: 0,
            fetch_record: false,
            cancel_due: false,
            cancelled: false,
            requests_sent: 0,
            log_lines: Vec::new(),
            settings,
        }
    }

    /// Reports the running processor as its start time and whether it started cold; `None` while no processor runs.
    pub fn processor(&mut self, up: Option<(Time, bool)>) {
        self.processor = up.map(|(started_at, cold)| ProcessorStart { started_at, cold });
        self.had_processor |= up.is_some();
    }

    /// Reports the health that admission control determined.
    pub fn health(&mut self, now: Time, good: bool) {
        if good != self.healthy {
            (self.healthy, self.health_since) = (good, now);
        }
    }

    /// Sets an entry of the instance's metadata. A change is sent with another registration of the same status, unless the
    /// server is leaving.
    pub fn metadata(&mut self, key: &str, value: &str) {
        let known = self.settings.instance.metadata.insert(key.to_string(), value.to_string());
        if known.as_deref() != Some(value) && self.registered && self.leaving == Leaving::No {
            self.registered = false;
        }
    }

    /// Takes the server out of service, for a shutdown or at an operator's request. The override is requested at once, and
    /// again until the registry confirms it.
    pub fn leave(&mut self, now: Time) {
        if self.leaving == Leaving::No {
            self.leaving = Leaving::SetOverride;
            self.next_urgent_at = now;
            self.leave_backoff.reset();
            // Registries replicate the override to one another, but not while they are partitioned.
            self.secondary_urls = (0..self.settings.urls).rev().collect();
        }
    }

    /// Returns the server to service at an operator's request.
    pub fn return_to_service(&mut self) {
        self.leaving = Leaving::No;
        self.secondary_urls.clear();
    }

    /// Reports that all client requests are answered and no more will arrive, so the registration may be cancelled.
    pub fn answered(&mut self) {
        self.cancel_due = self.settings.cancel;
    }

    /// The status that the registry should show.
    pub fn wanted(&self, now: Time) -> InstanceStatus {
        if self.leaving != Leaving::No {
            return InstanceStatus::OutOfService;
        }
        match self.processor {
            None if self.had_processor => InstanceStatus::Down,
            None => InstanceStatus::Starting,
            Some(processor) if processor.cold && now < self.ready_at(processor.started_at) => {
                InstanceStatus::Starting
            }
            Some(_) if !self.healthy => InstanceStatus::Down,
            // Prevents a flapping status: good health takes effect after the stabilization period, bad health at once.
            Some(_)
                if now < time_after(self.health_since, self.settings.stabilization_period)
                    && self.shown_status != Some(InstanceStatus::Up) =>
            {
                if self.ever_up {
                    InstanceStatus::Down
                } else {
                    InstanceStatus::Starting
                }
            }
            Some(_) => InstanceStatus::Up,
        }
    }

    /// When a processor that started cold reaches `ready_share` at the latest, since it warms up at least linearly.
    fn ready_at(&self, started_at: Time) -> Time {
        let (initial, ready) = (self.settings.cold_capacity, self.settings.ready_share);
        let fraction =
            if initial < 1.0 { ((ready - initial) / (1.0 - initial)).clamp(0.0, 1.0) } else { 0.0 };
        time_after(started_at, Span((self.settings.cold.0 as f64 * fraction) as u64))
    }

    /// Whether the registry confirmed that it shows this server as out of service.
    pub fn is_out_of_service(&self) -> bool {
        self.leaving == Leaving::Confirmed
    }

    /// The status last read or written at the registry; `None` while the server isn't registered.
    pub fn shown(&self) -> Option<InstanceStatus> {
        self.shown_status.filter(|_| self.registered)
    }

    /// The number of requests that `poll` returned so far.
    pub fn requests_sent(&self) -> u64 {
        self.requests_sent
    }

    /// Takes the log lines written since the last call.
    pub fn take_log_lines(&mut self) -> Vec<String> {
        std::mem::take(&mut self.log_lines)
    }
}
