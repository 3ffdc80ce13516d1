use super::*;
use gradepin_admission::Span;
use gradepin_core::request_metrics::ResponseCounts;
use std::sync::Arc;

fn lifecycle() -> LifecycleCounters {
    let mut counters = LifecycleCounters::default();
    counters.count_close(CloseReason::Shutdown);
    counters.count_close(CloseReason::Shutdown);
    counters.count_refusal(RefusalReason::Store);
    (counters.runs_repeated, counters.callers_gone) = (3, 4);
    (counters.clock_steps, counters.violations) = (5, 6);
    counters.count_late(Stage::Unread(ReadWait::RateLimit));
    counters.count_read_wait(ReadWait::Turn, Span(500_000_000));
    counters.count_read_wait(ReadWait::Turn, Span(1_500_000_000));
    counters.unsent_responses.add(2, Span(3_000_000_000), Span(2_000_000_000));
    counters.count_run_end(RunEnd::Failed);
    (counters.reading_paused, counters.links_ended) = (7, 8);
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
        r#"server_late_responses_total{stage="sending"} 0"#,
        r#"server_late_responses_total{stage="turn"} 0"#,
        r#"server_late_responses_total{stage="rate_limit"} 1"#,
        r#"server_late_responses_total{stage="unsent_responses"} 0"#,
        r#"server_late_responses_total{stage="input_queue"} 0"#,
        r#"server_late_responses_total{stage="decision"} 0"#,
        r#"server_late_responses_total{stage="other_run"} 0"#,
        r#"server_late_responses_total{stage="run_start"} 0"#,
        r#"server_late_responses_total{stage="run"} 0"#,
        r#"server_late_responses_total{stage="look_up"} 0"#,
        r#"server_reads_total{wait="turn"} 2"#,
        r#"server_reads_total{wait="rate_limit"} 0"#,
        r#"server_reads_total{wait="unsent_responses"} 0"#,
        r#"server_read_wait_seconds_total{wait="turn"} 2.0"#,
        r#"server_read_wait_seconds_total{wait="rate_limit"} 0.0"#,
        r#"server_read_wait_seconds_total{wait="unsent_responses"} 0.0"#,
        r#"server_longest_read_wait_seconds{wait="turn"} 1.5"#,
        r#"server_longest_read_wait_seconds{wait="rate_limit"} 0.0"#,
        r#"server_longest_read_wait_seconds{wait="unsent_responses"} 0.0"#,
        "server_reading_paused_total 7",
        "server_unsent_responses_total 2",
        "server_longest_unsent_seconds 2.0",
        r#"server_runs_ended_total{end="ok"} 0"#,
        r#"server_runs_ended_total{end="failed"} 1"#,
        r#"server_runs_ended_total{end="stopped"} 0"#,
        r#"server_runs_ended_total{end="not_started"} 0"#,
        "server_links_ended_total 8",
    ] {
        assert!(lines.contains(&line), "{line} is not in\n{text}");
    }
    assert_eq!(lines.len(), 50, "{text}");
    assert!(text.ends_with("# EOF\n"));
}
