//! Each fault of system calls arrives in the daemon: it is injected there, and the daemon goes on serving.

use gradepin_testkit::drill::faults::control::ControlPlane;
use gradepin_testkit::drill::faults::traffic;
use gradepin_testkit::drill::soak::clients::read_options;
use gradepin_testkit::drill::soak::server::{Plan, Server};
use gradepin_testkit::drill::soak::system_faults::SystemFault;
use gradepin_testkit::fleet;
use std::time::{Duration, Instant};

const TIMEOUT: Duration = Duration::from_secs(20);

/// A server with one process that is ready.
fn with_server(name: &str, check: impl FnOnce(&mut Server<'_>)) {
    with_server_started_under(name, None, check);
}

/// Like [`with_server`]; the fault is in force while the process starts.
fn with_server_started_under(name: &str, fault: Option<SystemFault>, check: impl FnOnce(&mut Server<'_>)) {
    let daemon = fleet::daemon().expect("the daemon is built with the workspace's tests");
    let folder = fleet::folder(name).expect("a folder");
    let control = ControlPlane::start().expect("a control plane");
    let plan = Plan {
        daemon: &daemon,
        folder: folder.clone(),
        name: "s0".into(),
        seed: 7,
        descriptors: 256,
        corrupts: false,
    };
    let mut server = Server::create(plan, &control).expect("the library is built with the workspace's tests");
    if let Some(fault) = fault {
        server.system_faults.set(fault, 700).expect("written");
    }
    server.start(Duration::from_millis(1_000)).expect("it starts");
    assert!(server.wait_ready(TIMEOUT), "it is not ready");
    check(&mut server);
    drop(server);
    fleet::remove(&folder);
}

/// Sends requests, keyed ones among them, until the fault was injected.
fn serve_until_injected(server: &Server<'_>, fault: SystemFault) {
    server.system_faults.set(fault, 300).expect("written");
    let start = Instant::now();
    while server.system_faults.injected(fault).expect("read") == 0 {
        assert!(start.elapsed() < TIMEOUT, "{fault:?} was never injected");
        traffic::serves_one_of(&server.target, 1, &read_options());
        server.serve_keyed();
    }
    server.system_faults.set(fault, 0).expect("written");
    traffic::serves_one_of(&server.target, 2, &read_options());
    let entries = server.target.record.entries();
    let unanswered: Vec<_> = entries.checks.iter().filter(|check| check.answer.is_err()).collect();
    assert!(unanswered.is_empty(), "{fault:?}: {unanswered:?}");
}

#[test]
fn faults_of_sockets_waits_and_files_arrive_in_the_daemon() {
    with_server("system-faults", |server| {
        for fault in [
            SystemFault::Accept,
            SystemFault::WaitInterrupted,
            SystemFault::ShortRead,
            SystemFault::ShortWrite,
            SystemFault::Interrupted,
            SystemFault::FileWrite,
        ] {
            serve_until_injected(server, fault);
        }
    });
}

/// Connections of the daemon: to its processor, made again after each cut.
#[test]
fn faults_of_new_sockets_arrive_in_the_daemon() {
    with_server("system-faults-sockets", |server| {
        for fault in [SystemFault::Connect, SystemFault::Socket] {
            server.system_faults.set(fault, 500).expect("written");
            let start = Instant::now();
            while server.system_faults.injected(fault).expect("read") == 0 {
                assert!(start.elapsed() < TIMEOUT, "{fault:?} was never injected");
                server.cut_link();
                traffic::serves_one_of(&server.target, 3, &read_options());
            }
            server.system_faults.set(fault, 0).expect("written");
            traffic::serves_one_of(&server.target, 4, &read_options());
        }
    });
}

/// A broken connection ends the connection, and the daemon goes on.
#[test]
fn broken_connections_arrive_in_the_daemon() {
    with_server("system-faults-broken", |server| {
        serve_until_injected(server, SystemFault::BrokenConnection);
    });
}

#[test]
fn steps_of_the_wall_clock_arrive_in_the_daemon() {
    with_server("system-faults-clock", |server| {
        for offset_ms in [3_600_000, -3_600_000, 0] {
            server.system_faults.set_clock_offset_ms(offset_ms).expect("written");
            traffic::serves_one_of(&server.target, 5, &read_options());
        }
        let stats = server.processes[0].admin_call("GET /stats").expect("answered");
        assert!(stats.contains("server_clock_steps_total 3\n"), "{stats}");
    });
}

/// Guards against a new process of an upgrade that ends because the system had no descriptors for a moment at its start.
#[test]
fn a_start_outlasts_sockets_that_fail_for_a_moment() {
    with_server_started_under("system-faults-start", Some(SystemFault::Socket), |server| {
        let injected = server.system_faults.injected(SystemFault::Socket).expect("read");
        assert!(injected > 0, "no socket failed");
        server.system_faults.set(SystemFault::Socket, 0).expect("written");
        traffic::serves_one_of(&server.target, 6, &read_options());
    });
}
