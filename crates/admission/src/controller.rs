//! The admission controller of one server: decides what happens to each request and what callers are advised.
//!
//! The path of a request through the modules below:
//!
//! 1. `arrival`: the request gets its deadline and objective, and is queued, joined to an earlier attempt, or
//!    rejected (shutdown, throttling, lack of memory).
//! 2. `scheduling`: a queued request is rejected once it cannot succeed in time. Within the concurrency
//!    limit, the queued request with the highest density starts first.
//! 3. `upstream_calls`: a run that needs a call waits for the call limiter, then makes its call or goes on
//!    without it.
//! 4. `endings`: the request completes, is rejected, expires, or its caller disconnects.
//!
//! Once per sampling period, `sampling` adapts all limits to the gauges of the host.

mod arrival;
mod endings;
mod sampling;
mod scheduling;
mod upstream_calls;

use crate::actions::Action;
use crate::advice::Advice;
use crate::call_limiter::CallLimiter;
use crate::class_definition::ClassDefinition;
use crate::class_estimates::ClassEstimates;
use crate::concurrency_limit::ConcurrencyLimit;
use crate::demand::RecentDemand;
use crate::drain::Drain;
use crate::events::{Event, Gauges};
use crate::health::Health;
use crate::idempotency_keys::IdempotencyKeys;
use crate::idle_connections::IdleConnections;
use crate::memory::MemoryAccount;
use crate::open_requests::OpenRequests;
use crate::random::RandomSource;
use crate::request::RequestId;
use crate::retry_patterns::RetryPatterns;
use crate::settings::{Settings, SplitSettings};
use crate::slow_start::SlowStart;
use crate::tenant_quota::TenantQuotas;
use crate::throttling::Throttle;
use crate::time::{Span, Time, span_seconds, time_after, time_before};
use crate::wait_queue::WaitQueue;
use std::sync::Arc;

/// Shortest delay of a timer: a timer is never due in the batch that sets it.
const MIN_TIMER_DELAY: Span = Span(1);

/// The admission controller of one server.
///
/// It has no clock and does no I/O: the same seed, settings and events produce the same actions.
#[derive(Debug, Default)]
pub struct Controller {
    settings: Settings,
    random: RandomSource,
    /// Time of the current batch; never goes back.
    now: Time,
    is_started: bool,

    requests: OpenRequests,
    wait_queue: WaitQueue,
    keys: IdempotencyKeys,
    memory: MemoryAccount,

    classes: ClassEstimates,
    tenants: TenantQuotas,
    retry_patterns: RetryPatterns,
    demand: RecentDemand,

    throttle: Throttle,
    concurrency: ConcurrencyLimit,
    slow_start: SlowStart,
    call_limiter: CallLimiter,
    health: Health,
    idle_connections: IdleConnections,
    advice: Advice,
    drain: Option<Drain>,

    /// The latest gauges that no sampling period has used yet.
    latest_gauges: Option<Gauges>,
    next_sampling_at: Time,
    /// Time at which the last timer that was set is due.
    timer_at: Option<Time>,
}

impl Controller {
    /// Creates the controller of a server that starts now. All random draws follow from `seed`. A core count
    /// of 0 counts as 1.
    pub fn new(mut settings: Settings, seed: u64, now: Time) -> Self {
        settings.specifics.n_cores = settings.specifics.n_cores.max(1);
        let cores = f64::from(settings.specifics.n_cores);
        let SplitSettings { global: settings, classes, tenants } = settings.split();
        let mut controller = Self {
            random: RandomSource::seeded(seed),
            now,
            classes: ClassEstimates::new(),
            concurrency: ConcurrencyLimit::new(cores),
            call_limiter: CallLimiter::new(&settings.specifics),
            idle_connections: IdleConnections::new(),
            advice: Advice::new(),
            next_sampling_at: now,
            settings,
            ..Self::default()
        };
        controller.restart_slow_start(controller.settings.specifics.cold_start, now);
        for (slot, class) in classes.into_iter().enumerate() {
            controller.put_class(slot, class);
        }
        for (slot, tenant) in tenants.iter().enumerate() {
            controller.put_tenant(slot, tenant.quota_rps, true);
        }
        controller
    }

    /// Sets the class of a slot; an empty class name frees the slot. Estimates are kept if the name stays the
    /// same. The host must not reassign a slot while a request of its class is open.
    pub fn put_class(&mut self, slot: usize, definition: Arc<ClassDefinition>) {
        self.classes.put(slot, definition);
    }

    /// Sets the quota of the tenant in a slot, in requests per second over all servers; 0 for no quota.
    /// `is_other_tenant` tells that the slot had another tenant before, whose counts are reset.
    pub fn put_tenant(&mut self, slot: usize, quota_rps: f64, is_other_tenant: bool) {
        self.tenants.put(slot, quota_rps, is_other_tenant);
    }

    /// Restarts slow start for a processor that started at the given time, with cold cores or with warm ones.
    /// The processor may restart while this server continues to run.
    pub fn restart_slow_start(&mut self, cold: bool, at: Time) {
        self.settings.specifics.cold_start = cold;
        self.slow_start.restart(at);
        self.advice.restart(if cold { self.settings.rules.cold_capacity } else { 1.0 });
    }

    /// Replaces all settings except classes and tenants.
    pub fn set_global_settings(&mut self, mut settings: Settings) {
        settings.specifics.n_cores = settings.specifics.n_cores.max(1);
        // The processor reported at its start whether its cores were cold; the settings file does not say.
        settings.specifics.cold_start = self.settings.specifics.cold_start;
        let previous = std::mem::replace(&mut self.settings, settings);
        let specifics = &self.settings.specifics;
        // Ending requests release memory by the new sizes, so open ones must be reserved by them as well.
        // Otherwise the difference would stay reserved for good.
        let requests_kb = self.requests.reserved_kb(&self.settings);
        self.memory.set_reserved(requests_kb + self.keys.len() as f64 * specifics.idempotency_key_kb);
        self.call_limiter.reconfigure(&previous.specifics, specifics, self.now);
    }

    /// Handles all events of a batch, then makes the decisions for the batch and appends them to `out`.
    /// Events of unknown requests have no effect.
    pub fn handle(&mut self, now: Time, events: &[Event], out: &mut Vec<Action>) {
        self.now = self.now.max(now);
        self.start_once(out);
        self.remove_expired_keys();
        self.update_concurrency_ceiling();
        for event in events {
            self.note_progress(event);
            self.handle_event(event, out);
        }
        self.expire_requests(out);
        if self.now >= self.next_sampling_at {
            self.sample_period(out);
        }
        self.make_calls(out);
        self.start_runs(out);
        self.set_timer(out);
    }

    fn handle_event(&mut self, event: &Event, out: &mut Vec<Action>) {
        match event {
            Event::Arrived(request) => self.request_arrived(request, out),
            Event::Completed { id, outcome, took } => self.run_completed(id, *outcome, *took, out),
            Event::CallerGone(id) => self.caller_left(id, out),
            Event::UpstreamCallNeeded(id) => self.run_needs_call(id),
            Event::UpstreamCallEnded { id, outcome, took } => self.call_ended(id, *outcome, *took, out),
            Event::ShutdownNotice(time_to_stop) => self.begin_drain(*time_to_stop, out),
            Event::Timer(gauges) => self.latest_gauges = Some(*gauges),
        }
    }

    /// Reports good health in the first batch.
    fn start_once(&mut self, out: &mut Vec<Action>) {
        if !self.is_started {
            self.is_started = true;
            self.health.begin(self.now);
            out.push(Action::ReportHealth { shallow: true, active: true });
        }
    }

    /// Records progress if a run advances or a core has no run. A core without a run is no progress while
    /// reading alone keeps the cores busy: the requests that it yields have expired.
    fn note_progress(&mut self, event: &Event) {
        let run_moves_on = matches!(event, Event::Completed { .. } | Event::UpstreamCallNeeded(_));
        let has_free_core = self.concurrency.has_free_core(self.settings.specifics.n_cores)
            && !self.idle_connections.reading_fills_cores();
        if run_moves_on || has_free_core {
            self.health.note_progress(self.now);
        }
    }

    fn update_concurrency_ceiling(&mut self) {
        let speed_share = self.slow_start.speed_share(self.now, &self.settings);
        self.concurrency.set_ceiling(speed_share, &self.settings);
    }

    /// Starts the graceful shutdown, or brings its stop forward. All open requests get their response before
    /// the process is stopped.
    fn begin_drain(&mut self, time_to_stop: Span, out: &mut Vec<Action>) {
        let drain = Drain::new(self.now, time_to_stop, &self.settings).or_earlier(self.drain);
        self.requests.limit_deadlines(drain.answered_by());
        if self.drain.replace(drain).is_none() {
            out.push(Action::ReportHealth { shallow: true, active: false });
            out.push(Action::Log(format!("draining, stop in {:.1} s", span_seconds(time_to_stop))));
        }
    }

    fn is_draining(&self) -> bool {
        self.drain.is_some()
    }

    /// Removes a request from the table of idempotency keys. Returns false if it had no entry.
    fn remove_key(&mut self, id: &RequestId) -> bool {
        let was_present = self.keys.remove(id);
        if was_present {
            self.memory.release(self.settings.specifics.idempotency_key_kb);
        }
        was_present
    }

    /// Removes expired entries from the table of idempotency keys, one batch interval after their expiry: the
    /// host may have answered from them until then.
    fn remove_expired_keys(&mut self) {
        let expired_by = time_before(self.now, self.settings.min_batch_interval);
        while let Some(id) = self.keys.first_expired(expired_by) {
            self.remove_key(&id);
        }
    }

    /// Sets a timer for the next deadline, sampling period or paced upstream call, whichever is first, unless
    /// an earlier timer is pending.
    fn set_timer(&mut self, out: &mut Vec<Action>) {
        let next_call_at = self.call_limiter.next_call_at(self.now);
        let times = [Some(self.next_sampling_at), self.requests.next_deadline(), next_call_at];
        let earliest = time_after(self.now, MIN_TIMER_DELAY);
        let due_at = times.into_iter().flatten().min().unwrap_or(earliest).max(earliest);
        if self.timer_at.is_none_or(|timer_at| timer_at <= self.now || due_at < timer_at) {
            self.timer_at = Some(due_at);
            out.push(Action::SetTimer(due_at));
        }
    }
}
