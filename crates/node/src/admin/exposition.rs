//! Encodes metrics in the text format of Prometheus and OpenMetrics with `prometheus-client`. The published names and
//! labels are mapped here.
//!
//! | name | type | labels | meaning |
//! | --- | --- | --- | --- |
//! | `server_operations_total` | counter | `priority` (the class), `status` (`fulfilled`, `throttled`, `faulted`) | final responses |
//! | `server_relayed_total` | counter | | runs started on the processor |
//! | `server_open_requests` | gauge | | requests accepted and not answered yet |
//! | `server_cfg_accepted_total` | counter | | configuration files accepted at SIGHUP |
//! | `server_cfg_invalid_total` | counter | | configuration files rejected at SIGHUP |
//! | `server_connections_closed_total` | counter | `why` | ends of client connections |
//! | `server_requests_refused_total` | counter | `why` | refusals of valid requests |
//! | `server_runs_repeated_total` | counter | | runs sent to the processor again after a lost link |
//! | `server_callers_gone_total` | counter | | requests whose connection ended while a response was owed |
//! | `server_invariant_violations_total` | counter | | actions that violated an invariant; each is a defect |
//! | `server_clock_steps_total` | counter | | how often the wall clock was set |
//! | `server_late_responses_total` | counter | `stage` | responses after their due time, by what the request waited for when its response was due |
//! | `server_reads_total` | counter | `wait` (`turn`, `rate_limit`, `unsent_responses`) | requests read, by what they waited for before |
//! | `server_read_wait_seconds_total` | counter | `wait` | time that requests waited to be read |
//! | `server_longest_read_wait_seconds` | gauge | `wait` | the longest of these waits |
//! | `server_reading_paused_total` | counter | | pauses of connections whose messages broke the protocol |
//! | `server_unsent_responses_total` | counter | | responses that waited until their client took earlier ones |
//! | `server_longest_unsent_seconds` | gauge | | the longest of these waits |
//! | `server_runs_ended_total` | counter | `end` (`ok`, `failed`, `stopped`, `not_started`) | ends of runs |
//! | `server_links_ended_total` | counter | | ends of the link to the processor |
//!
//! In addition, for members of a fleet:
//!
//! | name | type | labels | meaning |
//! | --- | --- | --- | --- |
//! | `server_fleet_members` | gauge | `state` (`up`, `down`) | other servers, by their state in the failure detection |
//! | `server_fleet_heard` | gauge | | servers with a recent report, this one among them |
//! | `server_fleet_oldest_seconds` | gauge | | age of the oldest of these reports |
//! | `server_fleet_slots` | gauge | `kind` (`kept`, `lent`, `borrowed`, `taken`) | slots of the shared upstream |
//! | `server_fleet_waiting` | gauge | | runs that wait for a slot |
//! | `server_fleet_ledger_open` | gauge | | 1 while the circuit breaker of the shared upstream is closed |
//! | `server_fleet_datagrams_total` | counter | `kind` (`sent`, `taken`, `withheld`) | datagrams between servers |
//! | `server_fleet_dropped_total` | counter | `why` | datagrams that were dropped |
//! | `server_fleet_sent_bytes_total` | counter | | bytes sent to other servers |
//!
//! In addition, with the configuration service:
//!
//! | name | type | labels | meaning |
//! | --- | --- | --- | --- |
//! | `server_config_revision` | gauge | | revision in force |
//! | `server_config_age_seconds` | gauge | | time since it was last confirmed as the newest one |

use gradepin_admission::span_seconds;
use gradepin_cluster::cluster::ClusterStatus;
use gradepin_core::configuration::ConfigurationMetrics;
use gradepin_core::lifecycle_counters::{CloseReason, LifecycleCounters, RefusalReason};
use gradepin_core::messages::RunEnd;
use gradepin_core::request_metrics::MetricsSnapshot;
use gradepin_core::request_timeline::{ReadWait, Stage};
use prometheus_client::encoding::text::encode;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::registry::Registry;
use std::sync::atomic::AtomicU64;

/// MIME type of the text according to OpenMetrics; Prometheus accepts it too.
pub(super) const CONTENT_TYPE: &str = "application/openmetrics-text; version=1.0.0; charset=utf-8";

type Labels = Vec<(&'static str, String)>;
type FloatGauge = Gauge<f64, AtomicU64>;

/// Encodes the response to a scrape.
pub(super) fn text(metrics: &MetricsSnapshot) -> String {
    let mut registry = Registry::with_prefix("server");
    register_requests(&mut registry, metrics);
    register_lifecycle(&mut registry, &metrics.lifecycle);
    if let Some(fleet) = &metrics.fleet {
        register_fleet(&mut registry, fleet);
    }
    if let Some(configuration) = &metrics.configuration {
        register_configuration(&mut registry, configuration);
    }
    let mut text = String::new();
    // Writing to a String does not fail.
    let _ = encode(&mut text, &registry);
    text
}

fn counter(value: u64) -> Counter<u64> {
    let counter = Counter::<u64>::default();
    counter.inc_by(value);
    counter
}

fn integer_gauge(value: u64) -> Gauge<i64> {
    let gauge = Gauge::<i64>::default();
    gauge.set(i64::try_from(value).unwrap_or(i64::MAX));
    gauge
}

fn float_gauge(value: f64) -> FloatGauge {
    let gauge = FloatGauge::default();
    gauge.set(value);
    gauge
}

fn register_requests(registry: &mut Registry, metrics: &MetricsSnapshot) {
    let operations = Family::<Labels, Counter>::default();
    for (class, counts) in &metrics.classes {
        let by_status =
            [("fulfilled", counts.fulfilled), ("throttled", counts.throttled), ("faulted", counts.faulted)];
        for (status, count) in by_status {
            let labels = vec![("priority", class.to_string()), ("status", status.to_string())];
            operations.get_or_create(&labels).inc_by(count);
        }
    }
    registry.register("operations", "Final answers to requests, by class and kind", operations);
    registry.register("relayed", "Runs handed to the processor", counter(metrics.relayed));
    registry.register("open_requests", "Requests taken and not answered yet", integer_gauge(metrics.open));
    registry.register("cfg_accepted", "Configuration files taken at a reload", counter(metrics.cfg_accepted));
    registry.register(
        "cfg_invalid",
        "Configuration files turned down at a reload",
        counter(metrics.cfg_invalid),
    );
}

fn register_lifecycle(registry: &mut Registry, counters: &LifecycleCounters) {
    let closed = Family::<Labels, Counter>::default();
    for reason in CloseReason::ALL {
        let labels = vec![("why", close_reason_label(reason).to_string())];
        closed.get_or_create(&labels).inc_by(counters.closed(reason));
    }
    registry.register("connections_closed", "Client connections that ended", closed);
    let refused = Family::<Labels, Counter>::default();
    for reason in RefusalReason::ALL {
        let labels = vec![("why", refusal_reason_label(reason).to_string())];
        refused.get_or_create(&labels).inc_by(counters.refused(reason));
    }
    registry.register("requests_refused", "Valid requests that were refused", refused);
    let repeated = counter(counters.runs_repeated);
    registry.register("runs_repeated", "Runs handed to the processor again", repeated);
    let gone = counter(counters.callers_gone);
    registry.register("callers_gone", "Requests whose connection ended before their response", gone);
    let violations = counter(counters.violations);
    registry.register("invariant_violations", "Denied actions that are defects", violations);
    registry.register("clock_steps", "Steps of the wall clock", counter(counters.clock_steps));
    register_waits(registry, counters);
    register_run_ends(registry, counters);
}

fn register_waits(registry: &mut Registry, counters: &LifecycleCounters) {
    let late = Family::<Labels, Counter>::default();
    for stage in Stage::ALL {
        let labels = vec![("stage", stage_label(stage).to_string())];
        late.get_or_create(&labels).inc_by(counters.late(stage));
    }
    registry.register("late_responses", "Responses after their due time, by stage", late);
    let reads = Family::<Labels, Counter>::default();
    let seconds = Family::<Labels, Counter<f64, AtomicU64>>::default();
    let longest = Family::<Labels, FloatGauge>::default();
    for wait in ReadWait::ALL {
        let labels = vec![("wait", read_wait_label(wait).to_string())];
        let totals = counters.read_waits(wait);
        reads.get_or_create(&labels).inc_by(totals.count);
        seconds.get_or_create(&labels).inc_by(span_seconds(totals.total));
        longest.get_or_create(&labels).set(span_seconds(totals.longest));
    }
    registry.register("reads", "Requests read, by what they waited for", reads);
    registry.register("read_wait_seconds", "Time that requests waited to be read", seconds);
    registry.register("longest_read_wait_seconds", "The longest wait of a request to be read", longest);
    registry.register("reading_paused", "Pauses of connections", counter(counters.reading_paused));
    let unsent = counters.unsent_responses;
    registry.register("unsent_responses", "Responses that waited for their client", counter(unsent.count));
    let longest = float_gauge(span_seconds(unsent.longest));
    registry.register("longest_unsent_seconds", "The longest wait of a response for its client", longest);
}

fn register_run_ends(registry: &mut Registry, counters: &LifecycleCounters) {
    let ended = Family::<Labels, Counter>::default();
    for end in RunEnd::ALL {
        let labels = vec![("end", run_end_label(end).to_string())];
        ended.get_or_create(&labels).inc_by(counters.runs_ended(end));
    }
    registry.register("runs_ended", "Runs that ended", ended);
    registry.register("links_ended", "Ends of the link to the processor", counter(counters.links_ended));
}

fn stage_label(stage: Stage) -> &'static str {
    match stage {
        Stage::Sending => "sending",
        Stage::Unread(wait) => read_wait_label(wait),
        Stage::InputQueue => "input_queue",
        Stage::Decision => "decision",
        Stage::OtherRun => "other_run",
        Stage::RunStart => "run_start",
        Stage::Run => "run",
        Stage::LookUp => "look_up",
    }
}

fn read_wait_label(wait: ReadWait) -> &'static str {
    match wait {
        ReadWait::Turn => "turn",
        ReadWait::RateLimit => "rate_limit",
        ReadWait::UnsentResponses => "unsent_responses",
    }
}

fn run_end_label(end: RunEnd) -> &'static str {
    match end {
        RunEnd::Ok => "ok",
        RunEnd::Failed => "failed",
        RunEnd::Stopped => "stopped",
        RunEnd::NotStarted => "not_started",
    }
}

fn close_reason_label(reason: CloseReason) -> &'static str {
    match reason {
        CloseReason::Peer => "peer",
        CloseReason::IdleTimeout => "idle",
        CloseReason::Evicted => "evicted",
        CloseReason::MessageTimeout => "message_timeout",
        CloseReason::HalfClosed => "half_closed",
        CloseReason::RejectsRequests => "rejects_requests",
        CloseReason::Shutdown => "shutdown",
    }
}

fn refusal_reason_label(reason: RefusalReason) -> &'static str {
    match reason {
        RefusalReason::Admission => "admission",
        RefusalReason::OpenRequestLimit => "open_requests",
        RefusalReason::NoProcessor => "no_processor",
        RefusalReason::Store => "store",
        RefusalReason::RetryBudget => "retry_budget",
    }
}

fn register_configuration(registry: &mut Registry, metrics: &ConfigurationMetrics) {
    let revision = integer_gauge(metrics.revision);
    registry.register("config_revision", "The revision of the configuration in force", revision);
    let age = float_gauge(metrics.age_s);
    registry.register("config_age_seconds", "Since it was last confirmed as the newest one", age);
}

fn register_fleet(registry: &mut Registry, fleet: &ClusterStatus) {
    register_members(registry, fleet);
    register_upstream_slots(registry, fleet);
    register_datagrams(registry, fleet);
}

fn register_members(registry: &mut Registry, fleet: &ClusterStatus) {
    let members = Family::<Labels, Gauge>::default();
    for (state, count) in [("up", fleet.up), ("down", fleet.down)] {
        let count = i64::try_from(count).unwrap_or(i64::MAX);
        members.get_or_create(&vec![("state", state.to_string())]).set(count);
    }
    registry.register("fleet_members", "Other servers, as they are believed to be", members);
    registry.register(
        "fleet_heard",
        "Servers whose counts are young enough, this one among them",
        float_gauge(fleet.reporting as f64),
    );
    registry.register(
        "fleet_oldest_seconds",
        "The age of the oldest of these counts",
        float_gauge(fleet.oldest_report_s),
    );
}

fn register_upstream_slots(registry: &mut Registry, fleet: &ClusterStatus) {
    let slots = Family::<Labels, FloatGauge>::default();
    let by_kind = [
        ("kept", fleet.retained_slots),
        ("lent", fleet.lent_slots),
        ("borrowed", fleet.borrowed_slots),
        ("taken", f64::from(fleet.taken_slots)),
    ];
    for (kind, count) in by_kind {
        slots.get_or_create(&vec![("kind", kind.to_string())]).set(count);
    }
    registry.register("fleet_slots", "Slots of the shared ledger", slots);
    let waiting_runs = float_gauge(f64::from(fleet.waiting_runs));
    registry.register("fleet_waiting", "Runs that wait for a slot", waiting_runs);
    registry.register(
        "fleet_ledger_open",
        "Whether calls to the ledger are made as ever",
        float_gauge(f64::from(u8::from(fleet.circuit_closed))),
    );
}

fn register_datagrams(registry: &mut Registry, fleet: &ClusterStatus) {
    let datagrams = Family::<Labels, Counter>::default();
    for (kind, count) in [("sent", fleet.sent), ("taken", fleet.received), ("withheld", fleet.suppressed)] {
        datagrams.get_or_create(&vec![("kind", kind.to_string())]).inc_by(count);
    }
    registry.register("fleet_datagrams", "Datagrams between servers", datagrams);
    let dropped = Family::<Labels, Counter>::default();
    for (reason, count) in &fleet.dropped {
        dropped.get_or_create(&vec![("why", reason.label().to_string())]).inc_by(*count);
    }
    registry.register("fleet_dropped", "Datagrams that were not taken, by reason", dropped);
    registry.register("fleet_sent_bytes", "Bytes sent to other servers", counter(fleet.bytes_sent));
}

#[cfg(test)]
mod tests;
