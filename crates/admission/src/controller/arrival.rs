//! The arrival of a request: its deadline and objective, and whether it is queued, joined to an earlier
//! attempt, or rejected.

use super::Controller;
use super::endings::RejectionCause;
use crate::actions::Action;
use crate::class_definition::{ClassProfile, Idempotency};
use crate::density;
use crate::open_requests::{OpenRequest, RequestState, Sequence};
use crate::request::Request;
use crate::time::{Span, Time, seconds_until, span_from_seconds, span_seconds, time_after, time_before};
use std::sync::Arc;

/// Upper bound of the memory kept free for queued requests to run, as a fraction of the usable memory.
const MAX_RUN_RESERVE_SHARE: f64 = 0.5;

/// The earlier attempt that a request names, looked up after queued requests were evicted for the request.
struct EarlierAttempt {
    /// The earlier attempt, if it is still in the wait queue.
    queued: Option<Sequence>,
    /// Whether the earlier attempt arrived after the request, although it was read before it. The request may
    /// then fall into the idempotency window of an older run.
    arrived_later: bool,
}

impl EarlierAttempt {
    /// Whether running the request could run the same operation a second time.
    fn may_have_run(&self) -> bool {
        self.queued.is_none() || self.arrived_later
    }
}

impl Controller {
    /// Handles the arrival of a request. Ignores a request whose id is already open or whose class is not
    /// defined.
    pub(super) fn request_arrived(&mut self, request: &Request, out: &mut Vec<Action>) {
        let is_known = self.requests.find(&request.id).is_some();
        if is_known || !self.classes.is_defined(request.class) {
            return;
        }
        self.classes.note_arrival(request.class);
        let definition = Arc::clone(self.classes.estimate(request.class).definition());
        let profile = &definition.profile;
        let timeout_fraction = self.timeout_fraction(request, profile);
        let open_request = self.open_request(request, profile, timeout_fraction);
        self.count_arrival(request, profile, timeout_fraction);
        self.memory.reserve(request.size_kb);
        let sequence = self.requests.insert(open_request);
        self.wait_queue.push(sequence);
        self.admit(sequence, request, profile.effect, out);
    }

    fn arrived_at(&self, request: &Request) -> Time {
        time_before(self.now, request.unread_for)
    }

    fn open_request(&self, request: &Request, profile: &ClassProfile, timeout_fraction: f64) -> OpenRequest {
        let expires_at = self.expires_at(request, profile);
        let objective_at = self.objective_at(request, profile, timeout_fraction).min(expires_at);
        OpenRequest {
            id: request.id.clone(),
            class: request.class,
            tenant: request.tenant,
            queued_kb: request.size_kb,
            attempts_served: 1.0,
            arrived_at: self.arrived_at(request),
            expires_at,
            objective_at,
            work_seconds: request.work.map(span_seconds),
            is_retry: request.retry,
            ..OpenRequest::default()
        }
    }

    /// Time at which the caller stops waiting, as the request says or else by the deadline of the class.
    /// Earlier while draining, and never before the request was read.
    fn expires_at(&self, request: &Request, profile: &ClassProfile) -> Time {
        let by_caller = request.expires_in.map(|wait| time_after(self.now, wait));
        let by_class = time_after(self.arrived_at(request), profile.deadline);
        let expires_at = by_caller.unwrap_or(by_class);
        self.drain.map_or(expires_at, |drain| expires_at.min(drain.answered_by())).max(self.now)
    }

    /// Time at which the latency objective passes. It counts from the first attempt, so a retry has less time
    /// left.
    fn objective_at(&self, request: &Request, profile: &ClassProfile, timeout_fraction: f64) -> Time {
        let stretch_seconds = request.work.map_or(0.0, |work| span_seconds(work) * profile.objective_stretch);
        let stretched =
            Span(profile.latency_objective.0.saturating_add(span_from_seconds(stretch_seconds).0));
        let objective = stretched.min(profile.deadline);
        let elapsed_fraction =
            self.retry_patterns.elapsed_fraction(request, timeout_fraction, &self.settings, &self.demand);
        let elapsed = span_from_seconds(span_seconds(profile.deadline) * elapsed_fraction);
        time_before(time_after(self.arrived_at(request), objective), elapsed)
    }

    /// Timeout that the caller gave this attempt, as a fraction of the deadline of the class.
    fn timeout_fraction(&self, request: &Request, profile: &ClassProfile) -> f64 {
        let by_caller = request.expires_in.map(|wait| time_after(self.now, wait));
        let gives_up_at = by_caller.unwrap_or_else(|| self.expires_at(request, profile));
        seconds_until(self.arrived_at(request), gives_up_at) / span_seconds(profile.deadline)
    }

    fn count_arrival(&mut self, request: &Request, profile: &ClassProfile, timeout_fraction: f64) {
        self.demand.count_arrival(request.retry);
        self.health.note_unread_wait(request.unread_for, profile.latency_objective);
        if request.retry {
            return;
        }
        self.classes.count_first_attempt(request.class);
        self.retry_patterns.learn(timeout_fraction);
        if let Some(tenant) = request.tenant {
            self.tenants.count_first_attempt(tenant);
        }
    }

    /// Decides whether a new request stays queued, is joined to an earlier attempt, or is rejected.
    fn admit(&mut self, sequence: Sequence, request: &Request, effect: Idempotency, out: &mut Vec<Action>) {
        let queued_before = self.queued_earlier_attempt(request);
        let fits = self.evict_for(sequence, 0.0, out);
        let earlier = self.earlier_attempt(sequence, request, queued_before);
        if let Some(earlier) = &earlier
            && effect != Idempotency::Idempotent
            && earlier.may_have_run()
        {
            return self.answer_from_run(sequence, fits && !earlier.arrived_later, out);
        }
        if !fits || self.is_dead_on_arrival(sequence) || self.throttle.picks_request(&mut self.random) {
            return self.reject_on_arrival(sequence, out);
        }
        let is_shared = effect == Idempotency::Idempotent && !request.write && self.shares_responses();
        if earlier.is_some() && is_shared {
            return self.share_run(sequence, request, out);
        }
        let needs_key = effect == Idempotency::Keyed || (is_shared && request.has_subject);
        let key_kb = if needs_key { self.settings.specifics.idempotency_key_kb } else { 0.0 };
        if !self.evict_for(sequence, key_kb, out) {
            return self.reject(sequence, RejectionCause::Capacity, out);
        }
        if needs_key {
            self.retain_key(sequence, out);
        }
        let earlier = earlier.and_then(|earlier| earlier.queued);
        if let Some(earlier) = earlier.filter(|&earlier| self.requests.is_queued(earlier))
            && effect == Idempotency::Keyed
        {
            self.replace_queued_attempt(earlier, out);
        }
    }

    /// The earlier attempt that a request names, if it is in the wait queue.
    fn queued_earlier_attempt(&self, request: &Request) -> Option<Sequence> {
        let earlier = self.requests.find(request.earlier_attempt.as_ref()?)?;
        self.requests.is_queued(earlier).then_some(earlier)
    }

    /// State of the earlier attempt that a request names. `None` if that attempt was evicted to free memory
    /// for the request.
    fn earlier_attempt(
        &self,
        sequence: Sequence,
        request: &Request,
        queued_before: Option<Sequence>,
    ) -> Option<EarlierAttempt> {
        request.earlier_attempt.as_ref()?;
        let queued = queued_before.filter(|&earlier| self.requests.is_queued(earlier));
        if queued != queued_before {
            return None;
        }
        let arrived_at = self.requests.open(sequence).arrived_at;
        let arrived_later = queued.is_some_and(|earlier| self.requests.open(earlier).arrived_at > arrived_at);
        Some(EarlierAttempt { queued, arrived_later })
    }

    /// Responds to a repeat from the run of its earlier attempt: running it again would repeat the effect.
    fn answer_from_run(&mut self, sequence: Sequence, can_join: bool, out: &mut Vec<Action>) {
        if can_join {
            self.join(sequence, out);
        } else {
            self.end_with_error(sequence, out);
        }
    }

    /// Whether a request can no longer earn any priority weight, for example after a long unread wait.
    fn is_dead_on_arrival(&self, sequence: Sequence) -> bool {
        let arrived_at = self.requests.open(sequence).arrived_at;
        let is_too_late_to_run = self.drain.is_some_and(|drain| !drain.allows_run(arrived_at));
        is_too_late_to_run || self.health.is_stalled() || self.density(sequence) <= 0.0
    }

    /// Rejects a request on arrival. A request that had too little time left when it arrived, such as a retry
    /// after a timeout, shows no lack of capacity. Counting it would turn callers away from idle cores.
    fn reject_on_arrival(&mut self, sequence: Sequence, out: &mut Vec<Action>) {
        let request = self.requests.open(sequence);
        let initial_run_seconds = self.class_of(request).initial_seconds();
        let had_little_time = seconds_until(request.arrived_at, request.objective_at) < initial_run_seconds;
        let has_idle_cores = self.concurrency.has_idle_cores(f64::from(self.settings.specifics.n_cores));
        let cause = if has_idle_cores && had_little_time {
            RejectionCause::LostBeforeArrival
        } else {
            RejectionCause::Capacity
        };
        self.reject(sequence, cause, out);
    }

    /// Whether the response to a read may serve other reads of the same subject.
    fn shares_responses(&self) -> bool {
        self.settings.specifics.fresh_for.0 > 0
    }

    /// Joins a read to the earlier attempt that it names, whose run then serves both.
    fn share_run(&mut self, sequence: Sequence, request: &Request, out: &mut Vec<Action>) {
        let objective_at = self.requests.open(sequence).objective_at;
        let earlier = request.earlier_attempt.as_ref().and_then(|id| self.requests.find(id));
        if let Some(earlier) = earlier.and_then(|earlier| self.requests.get_mut(earlier)) {
            earlier.attempts_served += 1.0;
            earlier.objective_at = earlier.objective_at.max(objective_at).min(earlier.expires_at);
        }
        self.join(sequence, out);
    }

    fn join(&mut self, sequence: Sequence, out: &mut Vec<Action>) {
        self.wait_queue.remove(sequence);
        if let Some(request) = self.requests.get_mut(sequence) {
            request.state = RequestState::Joined;
            out.push(Action::JoinRun(request.id.clone()));
        }
    }

    /// Rejects a queued attempt whose repeat takes over its key. The attempt never ran, and its caller has
    /// given it up.
    fn replace_queued_attempt(&mut self, earlier: Sequence, out: &mut Vec<Action>) {
        let id = self.requests.open(earlier).id.clone();
        self.remove_key(&id);
        self.reject(earlier, RejectionCause::Capacity, out);
    }

    /// Adds a request to the table of idempotency keys: a keyed request until its window after arrival has
    /// passed, a read as long as its response counts as fresh.
    fn retain_key(&mut self, sequence: Sequence, out: &mut Vec<Action>) {
        let request = self.requests.open(sequence);
        let profile = &self.class_of(request).definition().profile;
        let interval = self.settings.min_batch_interval;
        let expires_at = match profile.effect {
            Idempotency::Keyed => time_after(time_after(request.arrived_at, profile.window), interval),
            _ => time_after(request.objective_at.max(self.now), self.settings.specifics.fresh_for),
        };
        let expires_at = expires_at.max(time_after(self.now, interval));
        let id = request.id.clone();
        self.remove_key(&id);
        self.memory.reserve(self.settings.specifics.idempotency_key_kb);
        self.keys.insert(id.clone(), expires_at);
        out.push(Action::RetainIdempotencyKey { id, retain_for: Span(expires_at.0 - self.now.0) });
    }

    /// Rejects the queued requests of the lowest density until the new request and `more_kb` fit into memory.
    /// Returns false if the new request itself has the lowest density.
    fn evict_for(&mut self, sequence: Sequence, more_kb: f64, out: &mut Vec<Action>) -> bool {
        let capacity_kb = self.queue_capacity_kb(sequence);
        while self.memory.exceeds(capacity_kb, more_kb) {
            match density::lowest(self.ranked(self.wait_queue.iter())) {
                Some(lowest) if lowest.sequence != sequence => {
                    self.reject(lowest.sequence, RejectionCause::Capacity, out);
                }
                _ => return false,
            }
        }
        true
    }

    /// Kilobytes that may be reserved while a new request is queued. Queued requests must not fill the memory
    /// that they will need to run.
    fn queue_capacity_kb(&self, sequence: Sequence) -> f64 {
        let specifics = &self.settings.specifics;
        let capacity_kb = self.memory.reservable_kb(specifics.memory_kb);
        let queued_kb = self.requests.open(sequence).queued_kb;
        let run_reserve_kb = self.concurrency.free_runs() * queued_kb * (specifics.run_factor - 1.0);
        capacity_kb - run_reserve_kb.min(capacity_kb.max(0.0) * MAX_RUN_RESERVE_SHARE)
    }
}
