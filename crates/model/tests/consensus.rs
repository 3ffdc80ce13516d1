//! Drains and rollouts of a fleet in virtual time: permits under faults, batches, halt and rollback.

use gradepin_coordination::messages::OperatorCommand;
use gradepin_coordination::replicated_state::Target;
use gradepin_coordination::rollout::{ReleaseKind, RolloutCommand, RolloutState, ServerProgress};
use gradepin_model::consensus::{Fleet, HEALTHY_SERVICE, Scenario, limits, plan, play};
use std::sync::Arc;

fn all_have(fleet: &Fleet, version: &str) -> bool {
    fleet.servers.iter().all(|server| server.ready && server.program == version)
}

/// Guards the outage limit when ten servers ask at once: each gets a permit, none too early.
#[test]
fn permit_requests_are_granted_one_by_one() {
    let most = limits(2, 1);
    let mut fleet = Fleet::new(9, 3, most.clone(), 1);
    (0..9).for_each(|n| fleet.request_permit_at(n));
    assert!(fleet.run_until(120_000, |fleet| fleet.permitted_outages.len() == 9), "{:?}", fleet.log_lines);
    fleet.check_permit_limits(&most).unwrap();
    assert!(fleet.run_until(20_000, |fleet| fleet.record().permits.is_empty()));
    let waited = fleet.permitted_outages.last().unwrap().at.0 - fleet.permitted_outages[0].at.0;
    assert!(waited > 5_000_000_000, "permits were granted without waiting");
}

/// Hard case 1: the leader is killed repeatedly while servers request permits.
#[test]
fn a_killed_leader_grants_no_permit_twice() {
    for seed in 0..6 {
        let most = limits(1, 1);
        let mut fleet = Fleet::new(7, 3, most.clone(), seed);
        for n in 3..7 {
            fleet.request_permit_at(n);
        }
        for _ in 0..6 {
            let pause = 200 + fleet.draw(3_000);
            fleet.run(pause);
            if let Some(leader) = fleet.leader() {
                fleet.kill(leader);
                fleet.run(1_000);
                fleet.restart(leader);
            }
        }
        assert!(
            fleet.run_until(120_000, |fleet| fleet.permitted_outages.len() >= 4),
            "seed {seed}: {:?}",
            fleet.log_lines
        );
        fleet.check_permit_limits(&most).unwrap();
    }
}

/// Hard case 2: a server in the minority gets no permit and reports how long and why it has waited; a holder that is
/// partitioned while out keeps its permit.
#[test]
fn a_minority_grants_nothing_and_a_partitioned_holder_keeps_its_permit() {
    let most = limits(1, 1);
    let mut fleet = Fleet::new(7, 3, most.clone(), 3);
    let leader = fleet.leader().unwrap();
    fleet.isolate(&[leader, 5]);
    fleet.request_permit_at(5);
    fleet.run(8_000);
    assert!(fleet.permitted_outages.is_empty());
    let waits = fleet.servers[5]
        .agent
        .as_ref()
        .unwrap()
        .status(fleet.now)
        .waiting_request
        .expect("the request is waiting");
    assert!(waits.waiting_s > 7.0 && !waits.reason.is_empty(), "{waits:?}");
    fleet.partitioned.clear();
    assert!(fleet.run_until(20_000, |fleet| fleet.permitted_outages.len() == 1));
    // The holder is out and partitioned: no other server may leave until it is back and stable.
    fleet.isolate(&[5]);
    fleet.request_permit_at(6);
    fleet.run(15_000);
    assert_eq!(fleet.permitted_outages.len(), 1);
    fleet.partitioned.clear();
    assert!(fleet.run_until(20_000, |fleet| fleet.permitted_outages.len() == 2));
    fleet.check_permit_limits(&most).unwrap();
}

/// Hard case 3: a holder is stopped before it leaves and continues a minute later; meanwhile an operator frees its
/// permit, which goes to another server. It must not leave on the old permit, which has expired on its own clock and has
/// a stale epoch.
#[test]
fn a_holder_stopped_for_a_minute_may_not_use_its_permit() {
    for seed in 0..12 {
        let most = limits(1, 1);
        let mut fleet = Fleet::new(7, 3, most.clone(), seed);
        fleet.request_permit_at(5);
        // Stopped at some point between its request and its leaving.
        fleet.run(10 + 10 * seed);
        if !fleet.permitted_outages.is_empty() {
            continue;
        }
        fleet.servers[5].stopped = true;
        fleet.run(3_000);
        fleet.request_permit_at(6);
        fleet.run(5_000);
        let holder = Target::Server(Arc::from("n5"));
        if let Some(epoch) = fleet.record().permit_of(&holder).map(|(epoch, _)| epoch) {
            assert!(fleet.permitted_outages.is_empty(), "seed {seed}: the slot is still held");
            let free = OperatorCommand::ReleasePermit {
                epoch,
                operator: Arc::from("kaisa"),
                reason: "its board is dead".into(),
            };
            fleet.submit_command(4, free).expect("the slot is released");
            assert!(
                fleet.permitted_outages.is_empty(),
                "seed {seed}: it counts until the holder's time is over"
            );
        }
        fleet.run(15_000);
        // The others don't hear from it, so it counts as out without a permit and no other server may leave.
        assert!(fleet.permitted_outages.is_empty(), "seed {seed}: {:?}", fleet.permitted_outages);
        fleet.servers[5].stopped = false;
        assert!(
            fleet.run_until(60_000, |fleet| fleet.permitted_outages.len() == 2),
            "seed {seed}: {:?}",
            fleet.log_lines
        );
        fleet.check_permit_limits(&most).unwrap();
    }
}

/// Hard case 5: a zone loses power during a batch. No permit is granted until the limits allow it, and the servers
/// without power don't count as failed successors.
#[test]
fn power_loss_in_a_zone_stops_grants_and_fails_no_rollout() {
    let most = limits(2, 1);
    let mut fleet = Fleet::new(9, 3, most.clone(), 4);
    fleet.start_rollout(plan("v2", ReleaseKind::Program)).expect("the rollout starts");
    assert!(fleet.run_until(40_000, |fleet| fleet.permitted_outages.len() >= 2));
    let zone: Vec<usize> = (0..9).filter(|n| n % 3 == 1).collect();
    for &n in &zone {
        fleet.servers[n].unpowered = true;
        fleet.kill(n);
    }
    fleet.run(6_000);
    let permitted_outages = fleet.permitted_outages.len();
    fleet.run(20_000);
    assert_eq!(fleet.permitted_outages.len(), permitted_outages, "three servers are out, two are allowed");
    assert_eq!(fleet.state(), RolloutState::Running, "{:?}", fleet.log_lines);
    for &n in &zone {
        fleet.servers[n].unpowered = false;
        fleet.restart(n);
    }
    assert!(
        fleet.run_until(200_000, |fleet| fleet.state() == RolloutState::Done),
        "{:?}",
        fleet.record().rollout
    );
    assert!(all_have(&fleet, "v2"));
    fleet.check_permit_limits(&most).unwrap();
}

/// A healthy rollout completes, first on one server and then in batches, in no more time than its steps need.
#[test]
fn a_healthy_rollout_completes() {
    let most = limits(2, 1);
    let mut fleet = Fleet::new(9, 3, most.clone(), 5);
    let begin = fleet.now;
    fleet.start_rollout(plan("v2", ReleaseKind::Program)).expect("the rollout starts");
    // A repeated command has no further effect; a different rollout has to wait.
    assert!(fleet.start_rollout(plan("v2", ReleaseKind::Program)).is_ok());
    assert!(fleet.start_rollout(plan("v3", ReleaseKind::Program)).unwrap_err().contains("to v2 is running"));
    fleet.run(6_000);
    assert!(fleet.servers.iter().filter(|server| server.program == "v2").count() <= 1, "one server first");
    assert!(
        fleet.run_until(120_000, |fleet| fleet.state() == RolloutState::Done),
        "{:?}",
        fleet.record().rollout
    );
    assert!(all_have(&fleet, "v2") && fleet.permitted_outages.len() == 9);
    fleet.check_permit_limits(&most).unwrap();
    let took = (fleet.now.0 - begin.0) as f64 / 1e9;
    // A step consists of drain, start, the stabilization times of plan and permit, and some checks. One server first,
    // then two at a time.
    let step = 0.8 + 1.2 + 1.0 + 0.8;
    assert!(took < 1.3 * (5.0 * step + 4.0), "{took:.1} s");
}

/// Hard case 6: a version that crashes at its start, one that rejects saves, and one that serves 5% less. Each is halted
/// after at most `first` servers, rolled back automatically, and removed everywhere.
#[test]
fn bad_versions_are_halted_and_rolled_back() {
    for (version, within_ms, most_had) in
        [("v-crash", 30_000, 1), ("v-bad", 20_000, 1), ("v-slight", 200_000, 9)]
    {
        let most = limits(2, 1);
        let mut fleet = Fleet::new(9, 3, most.clone(), 6);
        let mut plan = plan(version, ReleaseKind::Program);
        if version == "v-slight" {
            // Long observation times: a small regression takes several thousand requests to detect.
            plan.batches.iter_mut().for_each(|wave| wave.pause_ms = 60_000);
        }
        fleet.start_rollout(plan).expect("the rollout starts");
        let goes = |fleet: &Fleet| {
            matches!(fleet.state(), RolloutState::RollingBack(_) | RolloutState::RolledBack(_))
        };
        assert!(fleet.run_until(within_ms, goes), "{version}: {:?} {:?}", fleet.state(), fleet.log_lines);
        let had = fleet.servers.iter().filter(|server| server.program == version).count();
        assert!(had <= most_had, "{version}: {had} servers had the version");
        let undone = |fleet: &Fleet| matches!(fleet.state(), RolloutState::RolledBack(_));
        assert!(
            fleet.run_until(120_000, undone),
            "{version}: {:?} {:?}",
            fleet.record().rollout,
            fleet.log_lines
        );
        assert!(fleet.run_until(10_000, |fleet| all_have(fleet, "v1")), "{version}");
        fleet.check_permit_limits(&most).unwrap();
    }
}

/// If the service of the whole fleet drops while no server has the new version, the rollout is held without a rollback
/// and resumes when service recovers. The same drop once a server has the version causes a rollback, because no
/// comparison can tell the cause.
#[test]
fn a_service_drop_before_the_first_step_holds_the_rollout() {
    let seed = 11;
    println!("seed {seed}");
    let most = limits(1, 1);
    let mut fleet = Fleet::new(9, 3, most.clone(), seed);
    // One server is already out, so that no step of the rollout fits the limit.
    fleet.servers[8].unpowered = true;
    fleet.kill(8);
    fleet.run(5_000);
    fleet.start_rollout(plan("v2", ReleaseKind::Program)).expect("the rollout starts");
    fleet.run(7_000);
    fleet.healthy_service = 0.6;
    fleet.run(15_000);
    assert_eq!(fleet.state(), RolloutState::Running, "{:?}", fleet.log_lines);
    // A step would fit now, but the rollout is held.
    fleet.servers[8].unpowered = false;
    fleet.restart(8);
    fleet.run(20_000);
    assert!(
        fleet.permitted_outages.is_empty() && fleet.state() == RolloutState::Running,
        "{:?}",
        fleet.log_lines
    );
    let held = fleet.log_lines.iter().filter(|note| note.contains("no server has the version")).count();
    assert_eq!(held, 1, "reported once: {:?}", fleet.log_lines);
    fleet.healthy_service = HEALTHY_SERVICE;
    assert!(fleet.run_until(20_000, |fleet| !fleet.permitted_outages.is_empty()), "{:?}", fleet.log_lines);
    fleet.healthy_service = 0.6;
    let goes =
        |fleet: &Fleet| matches!(fleet.state(), RolloutState::RollingBack(_) | RolloutState::RolledBack(_));
    assert!(fleet.run_until(20_000, goes), "{:?} {:?}", fleet.state(), fleet.log_lines);
    fleet.check_permit_limits(&most).unwrap();
}

/// Hard case 6, continued: a healthy version is not blamed for a fault that affects old and new versions equally; if the
/// whole fleet is affected, the rollout stops whatever the cause.
#[test]
fn bad_settings_are_halted_and_rolled_back() {
    let most = limits(2, 1);
    let mut fleet = Fleet::new(9, 3, most.clone(), 7);
    let missing = fleet.start_rollout(plan("s-nowhere", ReleaseKind::Settings)).unwrap_err();
    assert!(missing.contains("aren't staged on n0"), "{missing}");
    fleet.start_rollout(plan("s2", ReleaseKind::Settings)).expect("the rollout starts");
    assert!(
        fleet.run_until(60_000, |fleet| fleet.state() == RolloutState::Done),
        "{:?}",
        fleet.record().rollout
    );
    assert!(fleet.servers.iter().all(|server| server.settings == "s2") && fleet.permitted_outages.is_empty());
    // Valid settings that make saves fail: detected, halted and rolled back.
    fleet.start_rollout(plan("s-bad", ReleaseKind::Settings)).expect("the rollout starts");
    assert!(
        fleet.run_until(60_000, |fleet| matches!(fleet.state(), RolloutState::RolledBack(_))),
        "{:?}",
        fleet.state()
    );
    assert!(fleet.servers.iter().all(|server| server.settings == "s2"));
    // Settings that no server can apply.
    fleet.start_rollout(plan("s-broken", ReleaseKind::Settings)).expect("the rollout starts");
    assert!(
        fleet.run_until(60_000, |fleet| matches!(fleet.state(), RolloutState::RolledBack(_))),
        "{:?}",
        fleet.state()
    );
    let RolloutState::RolledBack(why) = fleet.state() else { panic!("not rolled back") };
    assert_eq!(why, "n0: it can't be read");
}

/// Hard case 7: halted with half of the fleet updated, then resumed; a halt submitted to a minority stops the rollout
/// there as well.
#[test]
fn a_halt_needs_no_majority_and_a_resume_names_its_halt() {
    let most = limits(2, 1);
    let mut fleet = Fleet::new(9, 3, most.clone(), 8);
    fleet.start_rollout(plan("v2", ReleaseKind::Program)).expect("the rollout starts");
    let half = |fleet: &Fleet| fleet.servers.iter().filter(|server| server.program == "v2").count() >= 4;
    assert!(fleet.run_until(60_000, half));
    fleet.submit_command(6, fleet.halt_command("to v2")).expect("the rollout is halted");
    fleet.run(6_000);
    let permitted_outages = fleet.permitted_outages.len();
    fleet.run(20_000);
    assert_eq!(fleet.permitted_outages.len(), permitted_outages, "no step while halted");
    let resume = |halts| {
        OperatorCommand::Rollout(RolloutCommand::Resume {
            name: "to v2".into(),
            halt_count: halts,
            operator: Arc::from("kaisa"),
        })
    };
    assert!(fleet.submit_command(6, resume(0)).is_err(), "the resume names another halt");
    fleet.submit_command(6, resume(1)).expect("the rollout resumes");
    fleet.run(1_000);
    // The other voters don't hear from the one at which the halt is submitted, so no majority commits it.
    let leader = fleet.leader().unwrap();
    let others: Vec<usize> = (0..9).filter(|n| *n != leader).collect();
    fleet.isolate(&others);
    let halt_command = fleet.halt_command("to v2");
    let _ = fleet.submit_command(leader, halt_command);
    let permitted_outages = fleet.permitted_outages.len();
    fleet.run(5_000);
    let of_leader: Vec<usize> = fleet.permitted_outages[permitted_outages..]
        .iter()
        .map(|permitted_outages| permitted_outages.server_index)
        .filter(|n| *n == leader)
        .collect();
    assert!(of_leader.is_empty());
    fleet.partitioned.clear();
    fleet.run(3_000);
    fleet.check_permit_limits(&most).unwrap();
}

/// Hard case 8: rollback and halt submitted on both sides of a partition, and a manual rollback during a batch.
#[test]
fn manual_rollback_during_a_batch() {
    let most = limits(2, 1);
    let mut fleet = Fleet::new(9, 3, most.clone(), 9);
    fleet.start_rollout(plan("v2", ReleaseKind::Program)).expect("the rollout starts");
    let some = |fleet: &Fleet| fleet.servers.iter().filter(|server| server.program == "v2").count() >= 3;
    assert!(fleet.run_until(60_000, some));
    // The one in the minority can't commit; the other one can.
    let leader = fleet.leader().unwrap();
    fleet.isolate(&[leader]);
    let halt_command = fleet.halt_command("to v2");
    let alone = fleet.submit_command(leader, halt_command);
    assert!(alone.is_err(), "{alone:?}");
    let rollback_command = fleet.rollback_command("to v2");
    fleet.submit_command(6, rollback_command).expect("the rollout is rolled back");
    fleet.partitioned.clear();
    assert!(
        fleet.run_until(120_000, |fleet| matches!(fleet.state(), RolloutState::RolledBack(_))),
        "{:?}",
        fleet.record().rollout
    );
    assert!(fleet.run_until(10_000, |fleet| all_have(fleet, "v1")));
    let steps: Vec<&ServerProgress> =
        fleet.record().rollout.as_ref().unwrap().servers.values().map(|s| &s.progress).collect();
    assert!(steps.iter().all(|step| matches!(step, ServerProgress::Pending | ServerProgress::RolledBack)));
    fleet.check_permit_limits(&most).unwrap();
}

/// Hard case 9: the whole consensus group is killed during a rollout and restarts, except for one of three voters: the
/// rollout continues.
#[test]
fn a_rollout_survives_the_loss_of_the_consensus_group() {
    let most = limits(2, 1);
    let mut fleet = Fleet::new(9, 3, most.clone(), 10);
    fleet.start_rollout(plan("v2", ReleaseKind::Program)).expect("the rollout starts");
    assert!(fleet.run_until(60_000, |fleet| fleet.permitted_outages.len() >= 2));
    for n in 0..3 {
        fleet.kill(n);
    }
    fleet.servers[1].unpowered = true;
    fleet.run(3_000);
    for n in [0, 2] {
        fleet.restart(n);
    }
    fleet.run(15_000);
    // The voter that never returns is removed from the roster, which frees its slot.
    let by = Arc::from("kaisa");
    fleet
        .submit_command(
            5,
            OperatorCommand::RemoveServer { name: Arc::from("n1"), operator: by, reason: "burnt".into() },
        )
        .expect("the voter is removed");
    let rest = |fleet: &Fleet| {
        fleet.servers.iter().enumerate().all(|(n, server)| n == 1 || server.ready && server.program == "v2")
    };
    assert!(fleet.run_until(200_000, rest), "{:?} {:?}", fleet.record().rollout, fleet.log_lines);
    fleet.check_permit_limits(&most).unwrap();
}

/// Random faults (kills, stops, partitions, loss) while all servers request permits and a rollout runs: the limits hold,
/// and everything completes once the faults end.
#[test]
fn random_faults_keep_the_outage_limits() {
    let seeds = std::env::var("SEEDS").ok().and_then(|text| text.parse().ok()).unwrap_or(12);
    for seed in 0..seeds {
        println!("seed {seed}");
        let most = limits(2, 1);
        let mut fleet = Fleet::new(9, 3, most.clone(), seed);
        fleet.loss = fleet.draw(15) as f64 / 100.0;
        let _ = fleet.start_rollout(plan("v2", ReleaseKind::Program));
        for _ in 0..20 {
            let n = fleet.draw(9) as usize;
            match fleet.draw(7) {
                0 => fleet.isolate(&[n]),
                1 => fleet.isolate(&[n, (n + 1) % 9, (n + 4) % 9]),
                2 => fleet.partitioned.clear(),
                3 => fleet.kill(n),
                4 if fleet.servers[n].agent.is_some() => fleet.servers[n].stopped = !fleet.servers[n].stopped,
                5 if fleet.servers[n].agent.is_some() => fleet.request_permit_at(n),
                _ => {}
            }
            let pause = 100 + fleet.draw(2_500);
            fleet.run(pause);
            for n in 0..9 {
                if fleet.draw(3) == 0 {
                    fleet.restart(n);
                }
            }
        }
        fleet.partitioned.clear();
        fleet.loss = 0.0;
        for n in 0..9 {
            fleet.servers[n].stopped = false;
            fleet.restart(n);
        }
        fleet.check_permit_limits(&most).unwrap_or_else(|why| panic!("seed {seed}: {why}"));
        fleet.run(20_000);
        // A rollout that was halted or rolled back because of the faults is completed manually.
        for _ in 0..4 {
            if fleet.record().rollout.is_none() {
                let _ = fleet.start_rollout(plan("v2", ReleaseKind::Program));
            }
            let halts = fleet.record().rollout.as_ref().map_or(0, |start_rollout| start_rollout.halt_count);
            if matches!(fleet.record().rollout.as_ref().map(|r| &r.state), Some(RolloutState::Halted(_))) {
                let by = Arc::from("kaisa");
                let resume = RolloutCommand::Resume { name: "to v2".into(), halt_count: halts, operator: by };
                let _ = fleet.submit_command(5, OperatorCommand::Rollout(resume));
            }
            fleet.run(40_000);
        }
        let state = fleet.state();
        assert!(
            matches!(state, RolloutState::Done | RolloutState::RolledBack(_)),
            "seed {seed}: {state:?} {:?}",
            fleet.log_lines
        );
        assert!(
            fleet.run_until(30_000, |fleet| fleet.record().permits.is_empty()),
            "seed {seed}: {:?}",
            fleet.record()
        );
        fleet.check_permit_limits(&most).unwrap_or_else(|why| panic!("seed {seed}: {why}"));
    }
}

/// A zone's power loss and a partition during a rollout in a large fleet: the limits hold, and the rollout completes.
#[test]
fn a_large_fleet_keeps_the_outage_limits() {
    let scenario = Scenario {
        seed: 1,
        servers: 60,
        voters: 5,
        most: 6,
        zone: 3,
        worse_by: 0.0,
        faults: true,
        looks_ms: 2_000,
        patience_s: 400,
    };
    let outcome = play(&scenario);
    assert_eq!(outcome.broken, None);
    assert_eq!(outcome.state, RolloutState::Done, "{outcome:?}");
}
