use super::*;
use gradepin_core::request_metrics::ResponseCounts;
use std::sync::Arc;

/// Guards the names and labels that scrapers read: there is one line with the value of each metric.
#[test]
fn metrics_have_their_published_names_and_labels() {
    let metrics = MetricsSnapshot {
        classes: vec![(Arc::from("sheet-view"), ResponseCounts { fulfilled: 812, throttled: 3, faulted: 1 })],
        relayed: 815,
        open: 14,
        cfg_accepted: 2,
        cfg_invalid: 1,
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
    ] {
        assert!(lines.contains(&line), "{line} is not in\n{text}");
    }
    assert_eq!(lines.len(), 7, "{text}");
    assert!(text.ends_with("# EOF\n"));
}
