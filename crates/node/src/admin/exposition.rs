//! The figures of a scrape in the text format of Prometheus and OpenMetrics, written by `prometheus-client`.
//!
//! | name | type | labels | what |
//! | --- | --- | --- | --- |
//! | `server_operations_total` | counter | `priority` (the class), `status` (`fulfilled`, `throttled`, `faulted`) | final answers |
//! | `server_relayed_total` | counter | | runs handed to the processor |
//! | `server_open_requests` | gauge | | requests taken and not answered |
//! | `server_cfg_accepted_total` | counter | | configuration files taken at SIGHUP |
//! | `server_cfg_invalid_total` | counter | | configuration files turned down at SIGHUP |

use gradepin_core::tally::Stats;
use prometheus_client::encoding::text::encode;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::registry::Registry;

/// The type of the text, as OpenMetrics names it; Prometheus reads it too.
pub const CONTENT_TYPE: &str = "application/openmetrics-text; version=1.0.0; charset=utf-8";

type Labels = Vec<(&'static str, String)>;

/// The text of a scrape.
pub fn text(stats: &Stats) -> String {
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
    let mut text = String::new();
    // Writing to a String does not fail.
    let _ = encode(&mut text, &registry);
    text
}

#[cfg(test)]
mod tests {
    use super::*;
    use gradepin_core::tally::Counts;
    use std::sync::Arc;

    /// Guards the names and labels that peers read: one line for each figure, with its value.
    #[test]
    fn figures_have_the_names_and_labels_that_are_read() {
        let stats = Stats {
            classes: vec![(Arc::from("sheet-view"), Counts { fulfilled: 812, throttled: 3, faulted: 1 })],
            relayed: 815,
            open: 14,
            cfg_accepted: 2,
            cfg_invalid: 1,
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
