//! The types that cross the border of the decision module: settings, events, actions, ids and times.

use crate::numbers::whole as whole_number;
use serde::{Deserialize, Serialize};
use std::sync::Arc;

/// A point on the worker's clock, in nanoseconds; the clock has no special start.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default)]
pub struct Time(pub u64);

/// A length of time in nanoseconds.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize)]
#[serde(transparent)]
pub struct Span(pub u64);

/// Seconds of a span.
pub fn span_seconds(span_from_seconds: Span) -> f64 {
    span_from_seconds.0 as f64 / 1e9
}
/// A span from seconds, none below 0.
pub fn span_from_seconds(span_seconds: f64) -> Span {
    Span((span_seconds.max(0.0) * 1e9) as u64)
}
/// The time a span later.
pub fn time_after(t: Time, s: Span) -> Time {
    Time(t.0.saturating_add(s.0))
}
/// The time a span earlier.
pub fn time_before(t: Time, s: Span) -> Time {
    Time(t.0.saturating_sub(s.0))
}
/// Seconds from one time to another, below 0 if it is past.
pub fn seconds_until(from: Time, to: Time) -> f64 {
    (to.0 as f64 - from.0 as f64) / 1e9
}

/// Names one try of one request; never repeated, and says nothing about it.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestId(pub Arc<str>);

impl RequestId {
    /// An id from its text.
    pub fn new(text: &str) -> Self {
        Self(Arc::from(text))
    }
}

impl Default for RequestId {
    fn default() -> Self {
        Self::new("")
    }
}

/// What a worker is told when it starts. Unknown keys are skipped.
#[derive(Debug, Clone, Default, Deserialize)]
#[allow(missing_docs)]
pub struct Settings {
    /// The shortest gap between batches.
    pub granularity: Span,
    /// Workers of this tier at this start.
    #[serde(default = "one", deserialize_with = "whole_number")]
    pub servers: u32,
    #[serde(default, deserialize_with = "whole_number")]
    pub tier: u32,
    pub profiles: Vec<ClassProfile>,
    #[serde(default)]
    pub customers: Vec<Tenant>,
    #[serde(default)]
    pub callers: Callers,
    #[serde(default)]
    pub goal: Goal,
    #[serde(default)]
    pub limits: Limits,
    #[serde(default)]
    pub prices: Prices,
    #[serde(default)]
    #[serde(rename = "worth_by")]
    pub weight_basis: WeightBasis,
    /// Worth of a request over its tenant's share, as a part of its class's worth.
    #[serde(default = "whole")]
    #[serde(rename = "over_share_worth")]
    pub over_quota_weight: f64,
    pub rules: Rules,
    pub specifics: Specifics,
}

/// A setting that the module can't work with.
#[derive(Debug, Clone, PartialEq, thiserror::Error)]
#[error("expected settings: {name} {range}, got {value}")]
pub struct AdmissionSettingsError {
    /// Which one.
    pub name: &'static str,
    /// What it may be.
    pub range: &'static str,
    /// What was told.
    pub value: f64,
}

impl Settings {
    /// Whether the module can work with these; if not, why.
    pub fn check(&self) -> Result<(), AdmissionSettingsError> {
        let positive = |name: &'static str, value: f64| {
            let good = value > 0.0 && value.is_finite();
            if good { Ok(()) } else { Err(AdmissionSettingsError { name, range: "above 0", value }) }
        };
        positive("number of profiles", self.profiles.len() as f64)?;
        positive("specifics.n_cores", f64::from(self.specifics.n_cores))?;
        positive("specifics.memory_kb", self.specifics.memory_kb)?;
        positive("specifics.run_factor", self.specifics.run_factor)?;
        positive("rules.tip_multiple", self.rules.max_concurrency_per_core)?;
        // Past 1 the module would say less than nothing to callers.
        let (name, value) = ("rules.cold_share", self.rules.cold_capacity);
        if !(0.0..=1.0).contains(&value) {
            return Err(AdmissionSettingsError { name, range: "from 0 to 1", value });
        }
        for profile in &self.profiles {
            positive("profiles[].deadline", profile.deadline.0 as f64)?;
            positive("profiles[].promise", profile.latency_objective.0 as f64)?;
        }
        Ok(())
    }

    /// The class of a name.
    pub fn class(&self, name: &str) -> Option<usize> {
        self.profiles.iter().position(|profile| profile.name == name)
    }

    /// The tenant of a name.
    pub fn tenant(&self, name: &str) -> Option<usize> {
        self.customers.iter().position(|customer| customer.name == name)
    }
}

/// A request class with the settings of it that the module keeps beside its profile.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ClassDefinition {
    /// Name, latency target, deadline, effect and worth.
    pub profile: ClassProfile,
    /// Whether its runs call the shared dependency; `specifics.calls_by_class` of the configuration file.
    pub calls: bool,
    /// Worth kept when the call is left out, as a part; `specifics.class_skip_worth` of the configuration file.
    #[serde(rename = "skip_worth")]
    pub skip_weight: f64,
}

impl Default for ClassDefinition {
    /// The class of a free slot, which no request is in.
    fn default() -> Self {
        let (name, none, never) = (String::new(), Span(0), Span(u64::MAX));
        let (effect, priority_weight) = (Idempotency::NonIdempotent, 0.0);
        let profile = ClassProfile {
            name,
            latency_objective: never,
            deadline: never,
            effect,
            late_value: 0.0,
            window: none,
            priority_weight,
            objective_stretch: 0.0,
        };
        Self { profile, calls: true, skip_weight: 0.0 }
    }
}

impl Settings {
    /// The rest, the classes and the tenants: what the settings of a class are told by its place for is in its definition.
    pub fn split(mut self) -> (Self, Vec<Arc<ClassDefinition>>, Vec<Arc<Tenant>>) {
        let calls = std::mem::take(&mut self.specifics.calls_by_class);
        let worths = std::mem::take(&mut self.specifics.class_skip_weights);
        let define = |(place, profile): (usize, ClassProfile)| {
            let calls = calls.get(place).copied().unwrap_or(true);
            Arc::new(ClassDefinition {
                profile,
                calls,
                skip_weight: worths.get(place).copied().unwrap_or(0.0),
            })
        };
        let classes = std::mem::take(&mut self.profiles).into_iter().enumerate().map(define).collect();
        let tenants = std::mem::take(&mut self.customers).into_iter().map(Arc::new).collect();
        (self, classes, tenants)
    }
}

fn one() -> u32 {
    1
}
fn whole() -> f64 {
    1.0
}

/// A request class.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[allow(missing_docs)]
pub struct ClassProfile {
    pub name: String,
    /// An answer within this long of the first try earns the full worth.
    #[serde(rename = "promise")]
    pub latency_objective: Span,
    /// How long a client waits for all tries together.
    pub deadline: Span,
    pub effect: Idempotency,
    #[serde(default)]
    pub late_value: f64,
    /// For keyed classes: how long after its arrival a request can come again.
    #[serde(default)]
    pub window: Span,
    #[serde(rename = "worth")]
    pub priority_weight: f64,
    /// The aim grows by this many times the request's own work.
    #[serde(default)]
    #[serde(rename = "aim_stretch")]
    pub objective_stretch: f64,
}

/// Whether a request may run again.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Idempotency {
    /// Safe to repeat.
    #[serde(rename = "repeatable")]
    Idempotent,
    /// Runs once a worker for each key within the window.
    #[serde(rename = "by_key")]
    Keyed,
    /// Unsafe: runs once.
    #[serde(rename = "once")]
    NonIdempotent,
}

/// A tenant.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[allow(missing_docs)]
pub struct Tenant {
    pub name: String,
    /// Requests a second inside its share, for all workers together.
    #[serde(default)]
    pub quota_rps: f64,
    #[serde(default)]
    pub portion: f64,
}

/// How callers behave.
#[derive(Debug, Clone, Default, Deserialize)]
pub struct Callers {
    /// Further tries are marked.
    #[serde(default)]
    #[serde(rename = "marks_retry")]
    pub marks_retries: bool,
}

/// Weights of the parts of the result.
#[derive(Debug, Clone, Deserialize)]
#[serde(default)]
#[allow(missing_docs)]
pub struct Goal {
    pub whole: f64,
    pub worst_class: f64,
    pub worst_tenant: f64,
    pub worst_window: f64,
}

impl Default for Goal {
    fn default() -> Self {
        Self { whole: 1.0, worst_class: 0.0, worst_tenant: 0.0, worst_window: 0.0 }
    }
}

/// What the site lets us do.
#[derive(Debug, Clone, Default, Deserialize)]
#[serde(default)]
pub struct Limits {
    /// The longest `retry_after` that is honoured.
    pub max_retry_after: Span,
    /// `retry_after` is passed on.
    pub retry_after: bool,
}

/// Points taken off the result.
#[derive(Debug, Clone, Default, Deserialize)]
#[serde(default)]
#[allow(missing_docs)]
pub struct Prices {
    pub connection: f64,
    pub handshake: f64,
    pub late_fail: f64,
    pub origin: f64,
    pub waste: f64,
}

/// What worth is counted by.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum WeightBasis {
    /// Each request counts the worth of its class.
    #[default]
    Request,
    /// The worth counts for each unit of work.
    Work,
}

/// Figures of the four rules.
#[derive(Debug, Clone, Default, Deserialize)]
#[allow(missing_docs)]
pub struct Rules {
    #[serde(default)]
    pub answer_slack: Span,
    /// A cold worker is fully warm within this long.
    #[serde(default)]
    pub cold: Span,
    /// And begins at no less than this share of its speed.
    #[serde(default = "whole")]
    #[serde(rename = "cold_share")]
    pub cold_capacity: f64,
    pub drain_grace: Span,
    /// Span over which the crowd is averaged.
    pub fall: Span,
    /// Requests a core that a warm worker survives.
    #[serde(rename = "tip_multiple")]
    pub max_concurrency_per_core: f64,
}

/// What lies below a worker.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum UpstreamKind {
    /// One dependency that every worker uses.
    Shared,
    /// The next tier, running this same code.
    Tier,
    /// Nothing.
    #[default]
    Off,
}

/// Whether running work can be stopped.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum StopMode {
    /// It can't.
    #[default]
    Off,
    /// Stopping throws the work away.
    Abort,
    /// Stopping pauses it.
    #[serde(rename = "suspend")]
    Pause,
}

/// What callers do with the signal.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum CapacitySignal {
    /// They send nothing of a lower precedence.
    #[serde(rename = "threshold")]
    PrecedenceThreshold,
    /// Each has at most this many requests out here.
    #[serde(rename = "window")]
    ConcurrencyWindow,
    /// The chance that one coming here doesn't pass by.
    #[serde(rename = "share_of")]
    AcceptanceProbability,
    /// There is no signal.
    #[default]
    Off,
}

/// Facts about this worker and its site.
#[derive(Debug, Clone, Default, Deserialize)]
#[allow(missing_docs)]
pub struct Specifics {
    #[serde(default)]
    pub advert: CapacitySignal,
    #[serde(default)]
    pub below: UpstreamKind,
    #[serde(default)]
    pub calls_by_class: Vec<bool>,
    /// Share of the calls that the dependency survives, as a mean count in hand.
    #[serde(default)]
    pub calls_out: f64,
    #[serde(default)]
    #[serde(rename = "class_skip_worth")]
    pub class_skip_weights: Vec<f64>,
    #[serde(default, deserialize_with = "whole_number")]
    pub clients_total: u32,
    /// How long a read's answer may serve others.
    #[serde(default)]
    pub fresh_for: Span,
    #[serde(default)]
    pub full_checks: bool,
    /// Names of the gauges, in the order in which they come.
    #[serde(default)]
    pub gauges: Vec<String>,
    #[serde(default)]
    pub heeded: Span,
    #[serde(default)]
    pub idle: Span,
    #[serde(default)]
    #[serde(rename = "just_started")]
    pub cold_start: bool,
    #[serde(default)]
    #[serde(rename = "kb_per_key")]
    pub idempotency_key_kb: f64,
    /// How long an abandoned call stays in the dependency's hands.
    #[serde(default)]
    pub linger: Span,
    #[serde(default)]
    #[serde(rename = "list_follows")]
    pub endpoint_list_follows_health: bool,
    pub memory_kb: f64,
    #[serde(deserialize_with = "whole_number")]
    pub n_cores: u32,
    #[serde(default)]
    #[serde(rename = "passes_deadline")]
    pub propagates_deadline: bool,
    #[serde(default = "whole")]
    pub run_factor: f64,
    /// Window over which calls in hand are averaged.
    #[serde(default)]
    pub share_span: Span,
    #[serde(default)]
    pub stop_mode: StopMode,
    #[serde(default)]
    #[serde(rename = "tells_gone")]
    pub reports_disconnects: bool,
}

/// A request that was read and is now held.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct Request {
    /// Its id.
    pub id: RequestId,
    /// How long its caller still waits for this try.
    pub expires_in: Option<Span>,
    /// Index into [`Settings::profiles`].
    pub class: usize,
    /// Whether it names a subject whose answer may be shared.
    pub has_key: bool,
    /// Number of the caller.
    pub caller: u64,
    /// Estimated work in standard-core time.
    pub work: Option<Span>,
    /// Index into [`Settings::customers`].
    pub tenant: Option<usize>,
    /// Memory it takes while held.
    pub size_kb: f64,
    /// Its rank by worth, 0 to below 1.
    pub precedence: f64,
    /// A marked retry or second copy.
    pub retry: bool,
    /// Writes.
    pub write: bool,
    /// The kept request that this one repeats.
    pub earlier: Option<RequestId>,
    /// How long since it reached the machine.
    pub queued_for: Span,
}

/// How a run or a call ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// It succeeded.
    Success,
    /// It failed and may have had its effect.
    Failure,
    /// The call was bounced without a look.
    Rejected,
    /// The call was abandoned.
    TimedOut,
    /// What lies below was unreachable.
    ConnectFailed,
    /// The call was broken off.
    Aborted,
    /// The run was stopped.
    Stopped,
    /// Nothing started.
    NotStarted,
}

/// The worker's gauges; absent ones are `None`.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct Gauges {
    /// Share of the cores busy in the last half second.
    pub cpu_utilization: Option<f64>,
    /// All that needs a core now.
    pub runnable: Option<f64>,
    /// Share of the memory in use.
    pub memory_utilization: Option<f64>,
    /// Open connections.
    pub links: Option<f64>,
}

impl Gauges {
    /// Sets the gauge of a name; other names, and values that are no numbers, change nothing.
    pub fn set(&mut self, name: &str, value: f64) {
        let value = Some(value).filter(|value| value.is_finite());
        match name {
            "core_use" => self.cpu_utilization = value,
            "on_cores" => self.runnable = value,
            "heap_share" => self.memory_utilization = value,
            "links" => self.links = value,
            _ => {}
        }
    }
}

/// What happened.
#[derive(Debug, Clone, PartialEq)]
pub enum Event {
    /// A request was read.
    Arrived(Request),
    /// A run or join is over.
    Completed {
        /// Which request.
        id: RequestId,
        /// How it ended.
        outcome: Outcome,
        /// Time since the action that started it.
        took: Span,
    },
    /// The caller has gone.
    CallerGone(RequestId),
    /// A running request needs a call.
    UpstreamCallNeeded(RequestId),
    /// A call is over.
    UpstreamCallEnded {
        /// Which request.
        id: RequestId,
        /// How it ended.
        outcome: Outcome,
        /// Time since the call was made.
        took: Span,
    },
    /// Notice to leave: the process is stopped this long from now.
    ShutdownNotice(Span),
    /// A timer set with [`Action::SetTimer`].
    Timer(Gauges),
}

/// What the worker is to do.
#[derive(Debug, Clone, PartialEq)]
pub enum Action {
    /// Run a held request, or take up a paused one.
    Run(RequestId),
    /// Stop a running request.
    StopRun(RequestId),
    /// Final answer: turned away, never ran.
    Reject {
        /// Which request.
        id: RequestId,
        /// How long the caller should stay away.
        retry_after: Span,
        /// Whether the caller should not try elsewhere.
        last: bool,
    },
    /// Final answer: failed, no promises.
    Fail(RequestId),
    /// Make the call a request waits for.
    CallUpstream {
        /// Which request.
        id: RequestId,
        /// Give the call up after this.
        timeout: Span,
    },
    /// Go on without the call.
    SkipUpstreamCall(RequestId),
    /// Enter a request in the table of keys.
    RetainIdempotencyKey {
        /// Which request.
        id: RequestId,
        /// How long the entry lasts.
        retain_for: Span,
    },
    /// Take its entry out.
    ReleaseIdempotencyKey(RequestId),
    /// Serve a held request from the one it repeats.
    JoinRun(RequestId),
    /// Set the answer to health checks.
    ReportHealth {
        /// Answer from store.
        shallow: bool,
        /// Good.
        active: bool,
    },
    /// Set the free value sent with every answer.
    AdvertiseCapacity(f64),
    /// Close connections idle for this long.
    SetIdleTimeout(Span),
    /// Ask for a [`Event::Timer`] at this time.
    SetTimer(Time),
    /// A line for the log.
    Log(String),
}
