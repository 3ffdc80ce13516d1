//! The arrival of a request: its deadline and objective, and whether it is held, joined to an earlier
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

/// Most of the memory that is kept free for held requests to run.
const MAX_RUN_RESERVE_SHARE: f64 = 0.5;

/// The earlier attempt that a request names, after others may have been evicted for the request.
struct EarlierAttempt {
    /// Its number, while it is held.
    held: Option<Sequence>,
    /// Whether it arrived after the request, though it was read before: the request may then fall into the
    /// window of an older run.
    arrived_later: bool,
}

impl EarlierAttempt {
    /// Whether a run of the request could be a second run of the same operation.
    fn may_have_run(&self) -> bool {
        self.held.is_none() || self.arrived_later
    }
}

impl Controller {
    /// Takes in a request. One whose id is open already, or whose class is not in force, changes nothing.
    pub(super) fn request_arrived(&mut self, request: &Request, out: &mut Vec<Action>) {
        let is_known = self.requests.find(&request.id).is_some();
        if is_known || !self.classes.is_in_force(request.class) {
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
            held_kb: request.size_kb,
            attempts_served: 1.0,
            arrived_at: self.arrived_at(request),
            expires_at,
            objective_at,
            work_seconds: request.work.map(span_seconds),
            is_retry: request.retry,
            ..OpenRequest::default()
        }
    }

    /// When the caller stops waiting, as it said or by the class's deadline; sooner while draining, and
    /// never before the request was read.
    fn expires_at(&self, request: &Request, profile: &ClassProfile) -> Time {
        let by_caller = request.expires_in.map(|wait| time_after(self.now, wait));
        let by_class = time_after(self.arrived_at(request), profile.deadline);
        let expires_at = by_caller.unwrap_or(by_class);
        self.drain.map_or(expires_at, |drain| expires_at.min(drain.answered_by())).max(self.now)
    }

    /// Until when the first attempt's latency objective lasts; it counts from that attempt, so a retry has
    /// less of it left.
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

    /// Time that the caller gave this attempt, as a fraction of the class's deadline.
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

    /// Decides what becomes of a request that was just read, and is held.
    fn admit(&mut self, sequence: Sequence, request: &Request, effect: Idempotency, out: &mut Vec<Action>) {
        let held_before = self.held_earlier_attempt(request);
        let fits = self.evict_for(sequence, 0.0, out);
        let earlier = self.earlier_attempt(sequence, request, held_before);
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
            self.remember_key(sequence, out);
        }
        let earlier = earlier.and_then(|earlier| earlier.held);
        if let Some(earlier) = earlier.filter(|&earlier| self.requests.is_held(earlier))
            && effect == Idempotency::Keyed
        {
            self.replace_held_attempt(earlier, out);
        }
    }

    /// The earlier attempt that a request names, if it is held.
    fn held_earlier_attempt(&self, request: &Request) -> Option<Sequence> {
        let earlier = self.requests.find(request.earlier_attempt.as_ref()?)?;
        self.requests.is_held(earlier).then_some(earlier)
    }

    /// What the earlier attempt that a request names amounts to. None if making room rejected that very
    /// attempt.
    fn earlier_attempt(
        &self,
        sequence: Sequence,
        request: &Request,
        held_before: Option<Sequence>,
    ) -> Option<EarlierAttempt> {
        request.earlier_attempt.as_ref()?;
        let held = held_before.filter(|&earlier| self.requests.is_held(earlier));
        if held != held_before {
            return None;
        }
        let arrived_at = self.requests.open(sequence).arrived_at;
        let arrived_later = held.is_some_and(|earlier| self.requests.open(earlier).arrived_at > arrived_at);
        Some(EarlierAttempt { held, arrived_later })
    }

    /// Answers a repeat of what ran, or runs, from that run: a second run would be a second effect.
    fn answer_from_run(&mut self, sequence: Sequence, can_join: bool, out: &mut Vec<Action>) {
        if can_join {
            self.join(sequence, out);
        } else {
            self.end_with_error(sequence, out);
        }
    }

    /// Whether nothing spent on a request can earn anything any more, as after a long wait unread.
    fn is_dead_on_arrival(&self, sequence: Sequence) -> bool {
        let arrived_at = self.requests.open(sequence).arrived_at;
        let is_too_late_to_run = self.drain.is_some_and(|drain| !drain.allows_run(arrived_at));
        is_too_late_to_run || self.health.is_stalled() || self.density(sequence) <= 0.0
    }

    /// Rejects a request at once. One that was lost before it came here, as a retry after a timeout, is no
    /// sign of a lack of capacity, and advice that followed it would keep callers from cores that idle.
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

    /// Whether the response to one read may serve others.
    fn shares_responses(&self) -> bool {
        self.settings.specifics.fresh_for.0 > 0
    }

    /// Joins a read to the earlier attempt that it names, which from now on serves both.
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

    /// A repeat takes over the key of a held attempt, which never ran and whose caller has given it up.
    fn replace_held_attempt(&mut self, earlier: Sequence, out: &mut Vec<Action>) {
        let id = self.requests.open(earlier).id.clone();
        self.remove_key(&id);
        self.reject(earlier, RejectionCause::Capacity, out);
    }

    /// Enters a request into the table of idempotency keys: until its window from arrival is past, or a
    /// read while its response is fresh.
    fn remember_key(&mut self, sequence: Sequence, out: &mut Vec<Action>) {
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

    /// Rejects held requests of the lowest density until a new one fits into the memory, with so much more.
    /// False if the new one itself has the lowest.
    fn evict_for(&mut self, sequence: Sequence, more_kb: f64, out: &mut Vec<Action>) -> bool {
        let capacity_kb = self.held_capacity_kb(sequence);
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

    /// Kilobytes that may be reserved before a new request starts to run: held requests must not take the
    /// memory that they need for running.
    fn held_capacity_kb(&self, sequence: Sequence) -> f64 {
        let specifics = &self.settings.specifics;
        let capacity_kb = self.memory.reservable_kb(specifics.memory_kb);
        let held_kb = self.requests.open(sequence).held_kb;
        let run_reserve_kb = self.concurrency.free_runs() * held_kb * (specifics.run_factor - 1.0);
        capacity_kb - run_reserve_kb.min(capacity_kb.max(0.0) * MAX_RUN_RESERVE_SHARE)
    }
}
