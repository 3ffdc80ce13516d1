//! Real daemons in a cluster, some with relays between them, on loopback sockets. Timeouts are generous upper bounds, so that
//! no result depends on the speed of the machine.

use gradepin_cluster::authentication::AuthenticationKeys;
use gradepin_testkit::drill::shared::{Drill, run};
use gradepin_testkit::drill::{Verdict, release};
use gradepin_testkit::fleet::{self, Fleet, FleetSpec, PeersSpec};
use gradepin_testkit::harness::history::{History, Observation};
use gradepin_testkit::harness::ledger::Ledger;
use gradepin_testkit::harness::play::ask;
use gradepin_testkit::harness::relay::Net;
use gradepin_testkit::load::{Proxy, ProxyBehavior, StaticServers, classes};
use gradepin_testkit::processor::Spec;
use std::net::UdpSocket;
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

const TIMEOUT: Duration = Duration::from_secs(30);

fn wait_for(what: &str, mut condition: impl FnMut() -> bool) {
    let start = Instant::now();
    while !condition() {
        assert!(start.elapsed() < TIMEOUT, "waited in vain for: {what}");
        thread::sleep(Duration::from_millis(50));
    }
}

/// Short drill with three daemons: the zone that has borrowed slots is partitioned while total demand exceeds the capacity.
#[test]
fn short_ledger_drill_keeps_its_claims() {
    let daemon = fleet::daemon().expect("the daemon is built with the workspace's tests");
    let drill = Drill { daemon, seed: 3, servers: 3, seconds: 26, plain: false, history: None };
    assert!(run(&drill).expect("it is played"), "a claim is not kept");
}

/// A server flooded with unauthenticated datagrams keeps answering operators and peers, learns nothing from them, and counts
/// the dropped ones.
#[test]
fn flood_of_unauthenticated_datagrams_has_no_effect() {
    let folder = fleet::folder("shared-flood").unwrap();
    let listen: Vec<_> = (0..3).map(|_| fleet::peer_address()).collect();
    let history = Arc::<History>::default();
    let net = Net::start(&listen, 1, &AuthenticationKeys::parse(fleet::KEY).unwrap(), &history).unwrap();
    let ledger = Ledger::start(3, Duration::from_millis(20), 1, &history).unwrap();
    let spec = FleetSpec {
        daemon: fleet::daemon().expect("the daemon is built with the workspace's tests"),
        servers: 3,
        peers: Some(PeersSpec {
            listen: listen.clone(),
            advertise: net.advertise.clone(),
            zones: vec!["z".into(); 3],
            ledgers: ledger.addresses.clone(),
            share: 2.0,
            lends: true,
            plain: false,
        }),
        folder: folder.clone(),
        ..FleetSpec::default()
    };
    let fleet = Fleet::start(&spec).unwrap();
    let up = |n: usize| {
        let view = ask(fleet.nodes[n].admin(), "/fleet")?;
        let members = view["members"].as_array()?.clone();
        Some(members.iter().filter(|member| member["up"] == true).count())
    };
    wait_for("all three know each other", || (0..3).all(|n| up(n) == Some(2)));
    let stranger = UdpSocket::bind("127.0.0.1:0").unwrap();
    let begin = Instant::now();
    let mut sent = 0_u32;
    while begin.elapsed() < Duration::from_secs(2) {
        for _ in 0..50 {
            let mut noise = vec![1_u8; 200 + sent as usize % 1_300];
            noise[1] = (sent % 60) as u8;
            let _ = stranger.send_to(&noise, listen[0]);
            sent += 1;
        }
        thread::sleep(Duration::from_millis(1));
    }
    wait_for("it says what it dropped", || {
        let view = ask(fleet.nodes[0].admin(), "/fleet").unwrap_or_default();
        view["dropped"]["tag"].as_u64().unwrap_or(0) > 100
    });
    wait_for("all three still know each other", || (0..3).all(|n| up(n) == Some(2)));
    let view = ask(fleet.nodes[0].admin(), "/fleet").unwrap();
    assert_eq!(view["members"].as_array().unwrap().len(), 2, "no member was made up");
    drop(fleet);
    fleet::remove(&folder);
}

/// Short rollout drill with three daemons under load: every server is replaced, and a faulty version is halted and rolled
/// back automatically.
#[test]
fn short_rollout_drill_keeps_its_claims() {
    let daemon = fleet::daemon().expect("the daemon is built with the workspace's tests");
    let drill = release::Drill {
        daemon,
        seed: 1,
        servers: 3,
        faults: false,
        plain: false,
        timed: false,
        load: 0.4,
        quiet_s: 3,
    };
    assert_eq!(release::run(&drill).expect("it is played"), Verdict::Kept);
}

/// A ledger that returns cold after an outage must not be overloaded by servers that don't lend slots and discover its return
/// independently: their mean number of calls stays within the sum of their quotas.
#[test]
fn ledger_that_returns_cold_is_not_overloaded() {
    const SERVERS: usize = 20;
    const COLD_CAPACITY: f64 = 4.0;
    const SPAN_US: u64 = 5_000_000;
    let folder = fleet::folder("shared-cold").unwrap();
    let listen: Vec<_> = (0..SERVERS).map(|_| fleet::peer_address()).collect();
    let history = Arc::<History>::default();
    let ledger = Ledger::start(SERVERS, Duration::from_millis(60), 1, &history).unwrap();
    let work = classes().into_iter().map(|class| (class.name, Duration::from_millis(20))).collect();
    let spec = FleetSpec {
        daemon: fleet::daemon().expect("the daemon is built with the workspace's tests"),
        servers: SERVERS,
        processor: Spec { classes: work, calls: 1.0, ..Spec::default() },
        scale: 4,
        peers: Some(PeersSpec {
            advertise: listen.clone(),
            listen,
            zones: vec!["z".into(); SERVERS],
            ledgers: ledger.addresses.clone(),
            share: COLD_CAPACITY / SERVERS as f64,
            lends: false,
            plain: false,
        }),
        folder: folder.clone(),
        ..FleetSpec::default()
    };
    // The ledger is away and will be slow when it returns, while the load on every server exceeds its quota.
    ledger.close(&(0..SERVERS).collect::<Vec<_>>());
    ledger.slow(8);
    let fleet = Fleet::start(&spec).unwrap();
    let clients: Vec<Proxy> = (0..SERVERS)
        .map(|n| {
            let list = StaticServers { all: vec![fleet.nodes[n].address], turn: 0 };
            Proxy::start(n as u64 + 1, n as u64, ProxyBehavior::thrift(6.0, 1, true), Box::new(list)).unwrap()
        })
        .collect();
    thread::sleep(Duration::from_secs(2));
    let back_us = history.elapsed_us();
    ledger.close(&[]);
    thread::sleep(Duration::from_secs(7));
    clients.into_iter().for_each(|client| drop(client.stop()));
    drop(fleet);
    fleet::remove(&folder);
    // Number of calls in flight at the ledger, and the time of its last change.
    let (mut in_flight, mut in_flight_by_time) = (0_usize, vec![(back_us, 0_usize)]);
    for entry in history.read().into_iter().filter(|entry| entry.at_us >= back_us) {
        match entry.observation {
            Observation::CallBegan(_) => in_flight += 1,
            Observation::CallEnded(_) => in_flight = in_flight.saturating_sub(1),
            _ => continue,
        }
        in_flight_by_time.push((entry.at_us, in_flight));
    }
    let most = in_flight_by_time.iter().map(|(_, in_flight)| *in_flight).max().unwrap();
    let calls = in_flight_by_time.windows(2).filter(|two| two[1].1 > two[0].1).count();
    let call_time: f64 = in_flight_by_time
        .windows(2)
        .filter(|two| two[0].0 < back_us + SPAN_US)
        .map(|two| two[0].1 as f64 * (two[1].0.min(back_us + SPAN_US) - two[0].0) as f64)
        .sum();
    let mean = call_time / SPAN_US as f64;
    println!("{calls} calls, {most} at once at the most, {mean:.2} in the mean of its first span");
    assert!(calls > SERVERS, "it was called at all");
    assert!(mean <= COLD_CAPACITY, "{mean:.2} in the mean");
    // The peak at one instant depends on how the machine schedules twenty processes; tests/cold_dependency.rs of the decisions
    // covers it in virtual time.
}
