//! The figures of a scrape in the text format of Prometheus and OpenMetrics, written by `prometheus-client`.
//!
//! | name | type | labels | what |
//! | --- | --- | --- | --- |
//! | `server_operations_total` | counter | `priority` (the class), `status` (`fulfilled`, `throttled`, `faulted`) | final answers |
//! | `server_relayed_total` | counter | | runs handed to the processor |
//! | `server_open_requests` | gauge | | requests taken and not answered |
//! | `server_cfg_accepted_total` | counter | | configuration files taken at SIGHUP |
//! | `server_cfg_invalid_total` | counter | | configuration files turned down at SIGHUP |
//!
//! Where servers talk to each other, beside these:
//!
//! | name | type | labels | what |
//! | --- | --- | --- | --- |
//! | `server_fleet_members` | gauge | `state` (`up`, `down`) | other servers, as they are believed to be |
//! | `server_fleet_heard` | gauge | | servers whose counts are young enough, this one among them |
//! | `server_fleet_oldest_seconds` | gauge | | the age of the oldest of these counts |
//! | `server_fleet_slots` | gauge | `kind` (`kept`, `lent`, `borrowed`, `taken`) | slots of the shared ledger |
//! | `server_fleet_waiting` | gauge | | runs that wait for a slot |
//! | `server_fleet_ledger_open` | gauge | | 1 while calls to the ledger are made as ever |
//! | `server_fleet_datagrams_total` | counter | `kind` (`sent`, `taken`, `withheld`) | datagrams between servers |
//! | `server_fleet_dropped_total` | counter | `why` | datagrams that were not taken |
//! | `server_fleet_sent_bytes_total` | counter | | bytes sent to other servers |
//!
//! Where the configuration service is on:
//!
//! | name | type | labels | what |
//! | --- | --- | --- | --- |
//! | `server_config_revision` | gauge | | the revision in force |
//! | `server_config_age_seconds` | gauge | | since it was last confirmed as the newest one |

use gradepin_cluster::cluster::ClusterStatus;
use gradepin_core::configuration::ConfigurationMetrics;
use gradepin_core::request_metrics::MetricsSnapshot;
use prometheus_client::encoding::text::encode;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::registry::Registry;
use std::sync::atomic::AtomicU64;

/// The type of the text, as OpenMetrics names it; Prometheus reads it too.
pub const CONTENT_TYPE: &str = "application/openmetrics-text; version=1.0.0; charset=utf-8";

type Labels = Vec<(&'static str, String)>;

/// The text of a scrape.
pub fn text(stats: &MetricsSnapshot) -> String {
    let mut registry = Registry::with_prefix("server");
    let operations = Family::<Labels, Counter>::default();
    for (class, counts) in &stats.classes {
        let figures =
            [("fulfilled", counts.fulfilled), ("throttled", counts.throttled), ("faulted", counts.faulted)];
        for (status, count) in figures {
            let labels = vec![("priority", class.to_string()), ("status", status.to_string())];
            operations.get_or_create(&labels).inc_by(count);
        }
    }
    registry.register("operations", "Final answers to requests, by class and kind", operations);
    let counter = |value: u64| {
        let counter = Counter::<u64>::default();
        counter.inc_by(value);
        counter
    };
    registry.register("relayed", "Runs handed to the processor", counter(stats.relayed));
    let open = Gauge::<i64>::default();
    open.set(i64::try_from(stats.open).unwrap_or(i64::MAX));
    registry.register("open_requests", "Requests taken and not answered yet", open);
    registry.register("cfg_accepted", "Configuration files taken at a reload", counter(stats.cfg_accepted));
    registry.register(
        "cfg_invalid",
        "Configuration files turned down at a reload",
        counter(stats.cfg_invalid),
    );
    if let Some(fleet) = &stats.fleet {
        fleet_figures(&mut registry, fleet);
    }
    if let Some(configuration) = &stats.configuration {
        configuration_figures(&mut registry, configuration);
    }
    let mut text = String::new();
    // Writing to a String does not fail.
    let _ = encode(&mut text, &registry);
    text
}

/// How the committed configuration stands here.
fn configuration_figures(registry: &mut Registry, figures: &ConfigurationMetrics) {
    let revision = Gauge::<i64>::default();
    revision.set(i64::try_from(figures.revision).unwrap_or(i64::MAX));
    registry.register("config_revision", "The revision of the configuration in force", revision);
    let age = Gauge::<f64, AtomicU64>::default();
    age.set(figures.age_s);
    registry.register("config_age_seconds", "Since it was last confirmed as the newest one", age);
}

/// What this server knows of the others and shares with them.
fn fleet_figures(registry: &mut Registry, fleet: &ClusterStatus) {
    let gauge = |value: f64| {
        let gauge = Gauge::<f64, AtomicU64>::default();
        gauge.set(value);
        gauge
    };
    let members = Family::<Labels, Gauge>::default();
    for (state, count) in [("up", fleet.up), ("down", fleet.down)] {
        let count = i64::try_from(count).unwrap_or(i64::MAX);
        members.get_or_create(&vec![("state", state.to_string())]).set(count);
    }
    registry.register("fleet_members", "Other servers, as they are believed to be", members);
    registry.register(
        "fleet_heard",
        "Servers whose counts are young enough, this one among them",
        gauge(fleet.reporting as f64),
    );
    registry.register(
        "fleet_oldest_seconds",
        "The age of the oldest of these counts",
        gauge(fleet.oldest_report_s),
    );
    let slots = Family::<Labels, Gauge<f64, AtomicU64>>::default();
    let kinds =
        [("kept", fleet.retained_slots), ("lent", fleet.lent_slots), ("borrowed", fleet.borrowed_slots)];
    for (kind, value) in kinds.into_iter().chain([("taken", f64::from(fleet.taken_slots))]) {
        slots.get_or_create(&vec![("kind", kind.to_string())]).set(value);
    }
    registry.register("fleet_slots", "Slots of the shared ledger", slots);
    registry.register("fleet_waiting", "Runs that wait for a slot", gauge(f64::from(fleet.waiting_runs)));
    registry.register(
        "fleet_ledger_open",
        "Whether calls to the ledger are made as ever",
        gauge(f64::from(u8::from(fleet.circuit_closed))),
    );
    let datagrams = Family::<Labels, Counter>::default();
    let kinds = [("sent", fleet.sent), ("taken", fleet.received), ("withheld", fleet.suppressed)];
    for (kind, count) in kinds {
        datagrams.get_or_create(&vec![("kind", kind.to_string())]).inc_by(count);
    }
    registry.register("fleet_datagrams", "Datagrams between servers", datagrams);
    let dropped = Family::<Labels, Counter>::default();
    for (why, count) in &fleet.dropped {
        dropped.get_or_create(&vec![("why", why.label().to_string())]).inc_by(*count);
    }
    registry.register("fleet_dropped", "Datagrams that were not taken, by reason", dropped);
    let bytes = Counter::<u64>::default();
    bytes.inc_by(fleet.bytes_sent);
    registry.register("fleet_sent_bytes", "Bytes sent to other servers", bytes);
}

#[cfg(test)]
mod tests {
    use super::*;
    use gradepin_core::request_metrics::ResponseCounts;
    use std::sync::Arc;

    /// Guards the names and labels that peers read: one line for each figure, with its value.
    #[test]
    fn figures_have_the_names_and_labels_that_are_read() {
        let stats = MetricsSnapshot {
            classes: vec![(
                Arc::from("sheet-view"),
                ResponseCounts { fulfilled: 812, throttled: 3, faulted: 1 },
            )],
            relayed: 815,
            open: 14,
            cfg_accepted: 2,
            cfg_invalid: 1,
            fleet: None,
            configuration: None,
        };
        let text = text(&stats);
        let lines: Vec<&str> = text.lines().filter(|line| !line.starts_with('#')).collect();
        for line in [
            r#"server_operations_total{priority="sheet-view",status="fulfilled"} 812"#,
            r#"server_operations_total{priority="sheet-view",status="throttled"} 3"#,
            r#"server_operations_total{priority="sheet-view",status="faulted"} 1"#,
            "server_relayed_total 815",
            "server_open_requests 14",
            "server_cfg_accepted_total 2",
            "server_cfg_invalid_total 1",
        ] {
            assert!(lines.contains(&line), "{line} is not in\n{text}");
        }
        assert_eq!(lines.len(), 7, "{text}");
        assert!(text.ends_with("# EOF\n"));
    }
}
