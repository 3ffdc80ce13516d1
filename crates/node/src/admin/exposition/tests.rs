use super::*;
use gradepin_core::request_metrics::ResponseCounts;
use std::sync::Arc;

fn lifecycle() -> LifecycleCounters {
    let mut counters = LifecycleCounters::default();
    counters.count_close(CloseReason::Shutdown);
    counters.count_close(CloseReason::Shutdown);
    counters.count_refusal(RefusalReason::Store);
    (counters.runs_repeated, counters.callers_gone) = (3, 4);
    (counters.clock_steps, counters.violations) = (5, 6);
    counters
}

/// Guards the names and labels that scrapers read: there is one line with the value of each metric.
#[test]
fn metrics_have_their_published_names_and_labels() {
    let metrics = MetricsSnapshot {
        classes: vec![(Arc::from("sheet-view"), ResponseCounts { fulfilled: 812, throttled: 3, faulted: 1 })],
        relayed: 815,
        open: 14,
        cfg_accepted: 2,
        cfg_invalid: 1,
        lifecycle: lifecycle(),
        fleet: None,
        configuration: None,
    };
    let text = text(&metrics);
    let lines: Vec<&str> = text.lines().filter(|line| !line.starts_with('#')).collect();
    for line in [
        r#"server_operations_total{priority="sheet-view",status="fulfilled"} 812"#,
        r#"server_operations_total{priority="sheet-view",status="throttled"} 3"#,
        r#"server_operations_total{priority="sheet-view",status="faulted"} 1"#,
        "server_relayed_total 815",
        "server_open_requests 14",
        "server_cfg_accepted_total 2",
        "server_cfg_invalid_total 1",
        r#"server_connections_closed_total{why="peer"} 0"#,
        r#"server_connections_closed_total{why="idle"} 0"#,
        r#"server_connections_closed_total{why="evicted"} 0"#,
        r#"server_connections_closed_total{why="message_timeout"} 0"#,
        r#"server_connections_closed_total{why="half_closed"} 0"#,
        r#"server_connections_closed_total{why="rejects_requests"} 0"#,
        r#"server_connections_closed_total{why="shutdown"} 2"#,
        r#"server_requests_refused_total{why="admission"} 0"#,
        r#"server_requests_refused_total{why="open_requests"} 0"#,
        r#"server_requests_refused_total{why="no_processor"} 0"#,
        r#"server_requests_refused_total{why="store"} 1"#,
        r#"server_requests_refused_total{why="retry_budget"} 0"#,
        "server_runs_repeated_total 3",
        "server_callers_gone_total 4",
        "server_clock_steps_total 5",
        "server_invariant_violations_total 6",
    ] {
        assert!(lines.contains(&line), "{line} is not in\n{text}");
    }
    assert_eq!(lines.len(), 23, "{text}");
    assert!(text.ends_with("# EOF\n"));
}
