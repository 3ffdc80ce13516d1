//! Orders that cross, batches, and the way back.

use super::*;
use crate::replicated_state::{Command, Limits};

fn name(text: &str) -> Name {
    Arc::from(text)
}

fn plan(version: &str) -> RolloutPlan {
    let waves = [(0.0, 100), (0.5, 100), (1.0, 100)];
    RolloutPlan {
        name: format!("to {version}"),
        kind: ReleaseKind::Program,
        version: version.into(),
        waves: waves.map(|(share, pause_ms)| Batch { share, pause_ms }).into(),
        zone_by_zone: false,
        ready_ms: 1_000,
        steady_ms: 100,
        worse: 0.02,
        goes_back: true,
    }
}

fn record() -> ReplicatedState {
    let mut record = ReplicatedState::default();
    record.apply(1, Command::Limits(Limits { fleet: 2, zone: 1, zones: 0, services: [].into() }));
    for n in 0..9 {
        record.apply(
            2 + n,
            Command::AddServer { name: name(&format!("n{n}")), zone: name(&format!("z{}", n % 3)) },
        );
    }
    record
}

fn start(record: &mut ReplicatedState, index: u64, plan: RolloutPlan) -> CommandOutcome {
    let before = record.roster.keys().map(|name| (Arc::clone(name), "v1".to_string())).collect();
    order(record, index, RolloutCommand::Start { plan: Box::new(plan), by: name("kaisa"), before })
}

fn order(record: &mut ReplicatedState, index: u64, order: RolloutCommand) -> CommandOutcome {
    record.apply(index, Command::Release(order))
}

fn stepped(record: &mut ReplicatedState, index: u64, server: &str, step: ServerProgress) -> CommandOutcome {
    let number = record.release.as_ref().map_or(0, |release| release.number);
    order(record, index, RolloutCommand::Stepped { number, server: name(server), step })
}

fn halt(record: &mut ReplicatedState, index: u64) -> CommandOutcome {
    let (name, why) = (plan("v2").name, "by hand".into());
    order(record, index, RolloutCommand::Halt { name, by: Arc::from("kaisa"), why })
}

#[test]
fn waves_are_one_then_shares_and_take_zones_in_turn() {
    let mut record = record();
    assert_eq!(start(&mut record, 20, plan("v2")), CommandOutcome::Done);
    let release = record.release.as_ref().unwrap();
    let of = |wave| release.servers.iter().filter(move |(_, s)| s.wave == wave).map(|(n, _)| &**n);
    assert_eq!(of(0).collect::<Vec<_>>(), ["n0"]);
    assert_eq!(of(1).collect::<Vec<_>>(), ["n1", "n2", "n3"]);
    assert_eq!(of(2).count(), 5);
    assert_eq!(release.turns(), [&name("n0")]);
}

/// Hard case 8: `start` twice is one release; another has to wait; `halt` and `resume` that cross leave it halted; `back`
/// of a release that isn't there does nothing to one that is.
#[test]
fn orders_that_cross_do_what_one_of_them_wanted() {
    let mut record = record();
    let back = |of: &str| RolloutCommand::Back { name: of.into(), by: name("liisa"), why: "no".into() };
    assert!(matches!(order(&mut record, 19, back("to v2")), CommandOutcome::Denied(_)));
    assert_eq!(start(&mut record, 20, plan("v2")), CommandOutcome::Done);
    let before = record.release.clone();
    assert_eq!(start(&mut record, 21, plan("v2")), CommandOutcome::Done);
    assert_eq!(record.release, before);
    assert!(matches!(start(&mut record, 22, plan("v3")), CommandOutcome::Denied(_)));
    assert!(matches!(order(&mut record, 23, back("to v3")), CommandOutcome::Denied(_)));
    assert_eq!(halt(&mut record, 24), CommandOutcome::Done);
    assert_eq!(halt(&mut record, 25), CommandOutcome::Done, "halted already");
    let resume = |halts| RolloutCommand::Resume { name: "to v2".into(), halts, by: name("kaisa") };
    assert_eq!(order(&mut record, 26, resume(1)), CommandOutcome::Done);
    assert_eq!(halt(&mut record, 27), CommandOutcome::Done);
    // A resume that was meant for the first halt comes after the second.
    assert!(matches!(order(&mut record, 28, resume(1)), CommandOutcome::Denied(_)));
    assert!(matches!(record.release.as_ref().unwrap().state, RolloutState::Halted(_)));
    assert_eq!(order(&mut record, 29, back("to v2")), CommandOutcome::Done);
    assert!(matches!(order(&mut record, 30, resume(2)), CommandOutcome::Denied(_)), "it goes back by now");
}

/// Guards the waves: none begins before the last one is whole, and what was seen of the way forward counts for
/// nothing on the way back.
#[test]
fn a_wave_waits_for_the_one_before_and_the_way_back_is_the_reverse() {
    let mut record = record();
    start(&mut record, 20, plan("v2"));
    let wave = |wave| RolloutCommand::Wave { number: 20, wave };
    assert!(matches!(order(&mut record, 21, wave(1)), CommandOutcome::Denied(_)));
    stepped(&mut record, 22, "n0", ServerProgress::Updated);
    assert!(matches!(order(&mut record, 23, wave(2)), CommandOutcome::Denied(_)), "one is left out");
    assert_eq!(order(&mut record, 24, wave(1)), CommandOutcome::Done);
    stepped(&mut record, 25, "n2", ServerProgress::Updated);
    stepped(&mut record, 26, "n1", ServerProgress::Failed("it doesn't start".into()));
    stepped(&mut record, 27, "n3", ServerProgress::Updating);
    let (by, why) = (name("the council"), "n1 failed".to_string());
    order(&mut record, 28, RolloutCommand::Back { name: "to v2".into(), by, why });
    let release = record.release.as_ref().unwrap();
    assert_eq!(release.turns(), ["n1", "n2", "n3", "n0"].map(name).iter().collect::<Vec<_>>());
    assert_eq!(release.wanted(&release.servers["n2"]), "v1");
    assert!(matches!(stepped(&mut record, 29, "n3", ServerProgress::Updated), CommandOutcome::Denied(_)));
    let over = RolloutCommand::Over { number: 20 };
    for (at, server) in ["n0", "n1", "n2"].into_iter().enumerate() {
        stepped(&mut record, 30 + at as u64, server, ServerProgress::RolledBack);
        assert!(matches!(order(&mut record, 40, over.clone()), CommandOutcome::Denied(_)));
    }
    stepped(&mut record, 41, "n3", ServerProgress::RolledBack);
    assert_eq!(order(&mut record, 42, over), CommandOutcome::Done);
    assert!(matches!(record.release.as_ref().unwrap().state, RolloutState::RolledBack(_)));
    let again = start(&mut record, 43, plan("v2"));
    assert!(
        matches!(&again, CommandOutcome::Denied(why) if why.to_string().ends_with("another name")),
        "{again:?}"
    );
    assert_eq!(start(&mut record, 44, plan("v3")), CommandOutcome::Done, "the next one may begin");
}

/// Guards a halt: no step of the release is granted while it stands still, and one that was reserved doesn't begin.
#[test]
fn a_halted_release_takes_no_step() {
    let mut record = record();
    start(&mut record, 20, plan("v2"));
    let reserve = |server: &str| Command::Reserve {
        target: Target::Server(name(server)),
        holder: name(server),
        life: 1,
        purpose: Purpose::Release(20),
    };
    assert!(matches!(record.apply(21, reserve("n0")), CommandOutcome::Permit(21, _)));
    halt(&mut record, 22);
    assert!(matches!(record.apply(23, reserve("n1")), CommandOutcome::Denied(DenialReason::Release(_))));
    let begin = Command::Begin { epoch: 21, holder: name("n0"), life: 1 };
    assert!(matches!(record.apply(24, begin), CommandOutcome::Denied(DenialReason::Release(_))));
    // A drain by hand has nothing to do with it, and draws on the same permits.
    let drain = |server: &str| Command::Reserve {
        target: Target::Server(name(server)),
        holder: name(server),
        life: 1,
        purpose: Purpose::Drain,
    };
    assert!(matches!(record.apply(25, drain("n1")), CommandOutcome::Permit(25, _)));
    assert!(matches!(record.apply(26, drain("n2")), CommandOutcome::Denied(DenialReason::Fleet { .. })));
}

#[test]
fn a_plan_that_makes_no_sense_says_why() {
    type Change = fn(&mut RolloutPlan);
    let bad: [(Change, &str); 5] = [
        (|plan| plan.waves.clear(), "expected 1 to 32 waves, got 0"),
        (|plan| plan.waves[1].share = 2.0, "expected shares from 0 to 1 that grow, got [0.0, 2.0, 1.0]"),
        (|plan| plan.waves.truncate(2), "expected the last wave to have a share of 1"),
        (|plan| plan.name.clear(), "expected a name and a version of 1 to 200 bytes"),
        (|plan| plan.worse = f64::NAN, "expected worse from 0 to 1, got NaN"),
    ];
    for (change, expected) in bad {
        let mut plan = plan("v2");
        change(&mut plan);
        assert_eq!(plan.check(), Err(expected.to_string()));
        assert!(matches!(start(&mut record(), 20, plan), CommandOutcome::Denied(_)));
    }
}
