//! Real daemons that talk to each other, with relays between them, on loopback sockets. Waits are upper bounds; nothing
//! passes or fails by how fast the machine is.

use gradepin_cluster::seal::Keys;
use gradepin_kit::drill::release;
use gradepin_kit::drill::shared::{Drill, run};
use gradepin_kit::fleet::{self, Fleet, FleetSpec, PeersSpec};
use gradepin_kit::rig::history::History;
use gradepin_kit::rig::ledger::Ledger;
use gradepin_kit::rig::play::ask;
use gradepin_kit::rig::relay::Net;
use std::net::UdpSocket;
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

const PATIENCE: Duration = Duration::from_secs(30);

fn wait_for(what: &str, mut holds: impl FnMut() -> bool) {
    let start = Instant::now();
    while !holds() {
        assert!(start.elapsed() < PATIENCE, "waited in vain for: {what}");
        thread::sleep(Duration::from_millis(50));
    }
}

/// A short drill: three daemons, the zone that has borrowed is cut off while all ask for more than there is.
#[test]
fn a_short_drill_keeps_its_claims() {
    let daemon = fleet::daemon().expect("the daemon is built with the workspace's tests");
    let drill = Drill { daemon, seed: 3, servers: 3, seconds: 26, plain: false, history: None };
    assert!(run(&drill).expect("it is played"), "a claim is not kept");
}

/// Guards a server's address against a stranger's flood: it goes on answering its operators and its peers, believes
/// nothing, and says what it dropped.
#[test]
fn a_flood_of_strangers_datagrams_changes_nothing() {
    let folder = fleet::folder("shared-flood").unwrap();
    let listen: Vec<_> = (0..3).map(|_| fleet::peer_address()).collect();
    let history = Arc::<History>::default();
    let net = Net::start(&listen, 1, &Keys::parse(fleet::KEY).unwrap(), &history).unwrap();
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

/// A short drill of what the fleet agrees on: three daemons, each replaced in a release under load, and a bad version that is
/// stopped and taken back by itself.
#[test]
fn a_short_release_keeps_its_claims() {
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
    assert!(release::run(&drill).expect("it is played"), "a claim is not kept");
}
