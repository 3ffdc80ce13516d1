//! Answers by their due times: clients that keep to the protocol, a real server, and a proxy that breaks its link to the
//! processor.

use gradepin_testkit::drill::Verdict;
use gradepin_testkit::drill::due_times::{ClientProtocol, Drill, Report, run};
use gradepin_testkit::fault_proxy::LinkFault;
use gradepin_testkit::fleet;
use std::time::Duration;

/// More requests than the processor serves, on few connections and with short budgets, as retries have them.
fn overload(seed: u64) -> Drill {
    Drill {
        daemon: fleet::daemon().expect("the daemon is built with the workspace's tests"),
        kit: fleet::kit().expect("the kit is built with the workspace's tests"),
        seed,
        connections: 3,
        requests_per_second: 800.0,
        run_time: Duration::from_millis(60),
        budget_ms: [20, 300],
        link: LinkFault::Mixed,
        protocol: ClientProtocol::Thrift,
        cancels: false,
        flood: None,
        duration: Duration::from_secs(6),
    }
}

fn check(report: &Report) {
    let late = &report.clients.late;
    assert_ne!(report.verdict, Verdict::NotKept, "{} late, the first: {:?}", late.len(), late.first());
    let pauses = report.metric("server_reading_paused_total");
    assert_eq!(pauses, 0.0, "connections of clients that keep to the protocol were not read for a while");
}

/// Guards against answers after their due time (report 862027): connections whose requests were refused were not read, and the
/// next requests waited unread until their callers had given up, while the server was idle.
#[test]
fn refused_requests_delay_no_other_request_while_the_link_breaks() {
    for seed in [1, 2] {
        check(&run(&overload(seed)).expect("it is played"));
    }
}

/// The same with callers that cancel what they no longer wait for, which frees places on the connection.
#[test]
fn cancelled_requests_delay_no_other_request() {
    let drill = Drill { cancels: true, link: LinkFault::Whole, ..overload(3) };
    check(&run(&drill).expect("it is played"));
}
