//! The registration of this server at a Eureka registry.
//!
//! A state machine without I/O. The caller reports the facts ([`Membership::processor`], [`Membership::health`],
//! [`Membership::leave`], ..) and the replies to requests ([`Membership::reply`]). [`Membership::poll`] returns the next
//! request to send, and [`Membership::wake_at`] the time of the next poll. Nothing waits for a registry.
//!
//! Invariants:
//!
//! - The status at the registry converges to the status here, whatever requests are lost, late or answered twice. Each
//!   change is verified afterwards (`GET` of the own instance), and only what is found there counts.
//! - One routine request is open at a time, so that changes arrive in order. Leaving has a lane of its own: it waits for
//!   no other reply, and is verified again once the routine lane is empty.
//! - `OUT_OF_SERVICE` is set as an override, since a registration with a status does not change a lease that is up, and
//!   an override outlives a registration. Returning to service removes it first.
//! - An override that existed before this server was first up is its predecessor's, under the same id, and is removed
//!   when this server is ready. One that somebody else sets later is an operator's, and is left in place.
//! - `UP` is registered only once a cold server can meet its latency objectives and its health was good for a while.
//!
//! Requests are chosen in `requests`, replies handled in `replies`; their types are in `messages`.

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
/// First delay after a failed request; it doubles up to the heartbeat interval.
const INITIAL_RETRY_DELAY: Span = Span(250 * MS);
/// First delay after a failed request of a leave, which has little time.
const INITIAL_LEAVE_RETRY_DELAY: Span = Span(50 * MS);
/// Maximum delay after a failed request of a leave.
const MAX_LEAVE_RETRY_DELAY: Span = Span(400 * MS);

/// The operators' settings of the registration, and the identity of this server.
#[derive(Debug, Clone)]
pub struct MembershipSettings {
    /// The instance to register; its status and timestamps are filled in here.
    pub instance: Instance,
    /// The number of service URLs, in the order of preference.
    pub urls: usize,
    /// Interval between heartbeats.
    pub heartbeat: Span,
    /// Timeout of one exchange.
    pub timeout: Span,
    /// Minimum interval between changes of status; a leave is sent at once.
    pub min_change_interval: Span,
    /// How long health must be good before `UP` is registered.
    pub stabilization_period: Span,
    /// The share of full speed from which on a cold server can meet its latency objectives.
    pub ready_share: f64,
    /// The share of full speed at which a cold server starts.
    pub cold_capacity: f64,
    /// The time within which a cold server reaches full speed.
    pub cold: Span,
    /// Interval between attempts to return to a service URL of higher preference.
    pub preferred_retry_interval: Span,
    /// Whether the registration is removed once all requests are answered. A removal that arrives late removes a
    /// successor under the same id until its next heartbeat; without it the lease expires by itself.
    pub cancel: bool,
}

/// A processor that runs.
#[derive(Debug, Clone, Copy)]
struct ProcessorStart {
    started_at: Time,
    /// Whether it had to warm up.
    cold: bool,
}

/// The progress of a leave.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Leaving {
    No,
    /// The override `OUT_OF_SERVICE` is to be set, or set again.
    SetOverride,
    /// The registry doesn't know this instance: it is registered first, then the override is set.
    Register,
    /// The override was set and is to be verified.
    Verify,
    /// The registry showed `OUT_OF_SERVICE`.
    Confirmed,
}

/// The registration of one server; see the module documentation.
#[derive(Debug)]
pub struct Membership {
    settings: MembershipSettings,
    rng: Pcg64Mcg,
    // Facts about this server.
    /// The running processor, if there is one.
    processor: Option<ProcessorStart>,
    had_processor: bool,
    healthy: bool,
    health_since: Time,
    leaving: Leaving,
    /// Service URLs other than the one in use at which the override is still to be set.
    secondary_urls: Vec<usize>,
    // What the registry is believed to hold.
    registered: bool,
    /// The status there, as last read or written.
    shown_status: Option<InstanceStatus>,
    /// Whether an override is in force that this server set or inherited.
    has_own_override: bool,
    /// An override that somebody else settings.
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
    /// The registration is to be removed.
    cancel_due: bool,
    /// The registration was removed: no more requests are sent.
    cancelled: bool,
    requests_sent: u64,
    log_lines: Vec<String>,
}

impl Membership {
    /// The registration of a server that starts now and isn't ready.
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

    /// Sets when the running processor started and whether it was cold; `None` while no processor runs.
    pub fn processor(&mut self, up: Option<(Time, bool)>) {
        self.processor = up.map(|(started_at, cold)| ProcessorStart { started_at, cold });
        self.had_processor |= up.is_some();
    }

    /// Sets the health as the admission module reports it.
    pub fn health(&mut self, now: Time, good: bool) {
        if good != self.healthy {
            (self.healthy, self.health_since) = (good, now);
        }
    }

    /// Sets an entry of the instance's metadata; a change is sent with a registration, the status unchanged.
    pub fn metadata(&mut self, key: &str, value: &str) {
        let known = self.settings.instance.metadata.insert(key.to_string(), value.to_string());
        if known.as_deref() != Some(value) && self.registered && self.leaving == Leaving::No {
            self.registered = false;
        }
    }

    /// Takes the server out of service, for a shutdown or by an operator: sent at once, and repeated until confirmed.
    pub fn leave(&mut self, now: Time) {
        if self.leaving == Leaving::No {
            self.leaving = Leaving::SetOverride;
            self.next_urgent_at = now;
            self.leave_backoff.reset();
            // Registries replicate to one another, but not while they are partitioned.
            self.secondary_urls = (0..self.settings.urls).rev().collect();
        }
    }

    /// Returns the server to service, by an operator.
    pub fn return_to_service(&mut self) {
        self.leaving = Leaving::No;
        self.secondary_urls.clear();
    }

    /// All requests of clients are answered and no more will arrive.
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
            // Against a flapping status: good health counts after a while, bad health at once.
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

    /// When a processor that started cold reaches the ready share at the latest: it warms up at least linearly.
    fn ready_at(&self, started_at: Time) -> Time {
        let (initial, ready) = (self.settings.cold_capacity, self.settings.ready_share);
        let fraction =
            if initial < 1.0 { ((ready - initial) / (1.0 - initial)).clamp(0.0, 1.0) } else { 0.0 };
        time_after(started_at, Span((self.settings.cold.0 as f64 * fraction) as u64))
    }

    /// Whether the registry was seen to show this server as out of service.
    pub fn is_out_of_service(&self) -> bool {
        self.leaving == Leaving::Confirmed
    }

    /// The status last read or written at the registry; `None` before the first registration.
    pub fn shown(&self) -> Option<InstanceStatus> {
        self.shown_status.filter(|_| self.registered)
    }

    /// The number of requests so far.
    pub fn requests_sent(&self) -> u64 {
        self.requests_sent
    }

    /// Takes the log lines since the last call.
    pub fn take_log_lines(&mut self) -> Vec<String> {
        std::mem::take(&mut self.log_lines)
    }
}
