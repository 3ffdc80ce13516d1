//! Scenarios of a large fleet, drawn from a seed: a rollout during a zone's power loss and a partition.

use super::{Fleet, HEALTHY_SERVICE, limits, plan};
use gradepin_admission::Time;
use gradepin_coordination::replicated_state::Limits;
use gradepin_coordination::rollout::{Batch, ReleaseKind, RolloutState};

const MS: u64 = 1_000_000;

/// Parameters of a scenario.
#[derive(Debug, Clone)]
pub struct Scenario {
    /// Seed of everything drawn.
    pub seed: u64,
    /// Number of servers, in three zones.
    pub servers: usize,
    /// Number of voters among them.
    pub voters: usize,
    /// Largest number of servers out in the fleet.
    pub most: u32,
    /// Largest number of servers out in a zone.
    pub zone: u32,
    /// Decrease of the served fraction with the new version, from 0 to 1.
    pub worse_by: f64,
    /// Whether a zone loses power and other servers are partitioned.
    pub faults: bool,
    /// Observation time after each batch, in milliseconds.
    pub looks_ms: u64,
    /// Largest duration of the rollout in seconds.
    pub patience_s: u64,
}

/// Result of a scenario.
#[derive(Debug, Clone)]
pub struct Outcome {
    /// First violation of the limits.
    pub broken: Option<String>,
    /// State of the rollout at the end.
    pub state: RolloutState,
    /// Duration of the rollout in seconds.
    pub took_s: f64,
    /// Largest number of servers that ran the new version.
    pub had: usize,
    /// Mean fraction of servers ready during the rollout.
    pub ready: f64,
}

/// Plays a scenario.
pub fn play(scenario: &Scenario) -> Outcome {
    let most = limits(scenario.most, scenario.zone);
    let mut fleet = Fleet::new(scenario.servers, scenario.voters, most.clone(), scenario.seed);
    let version = if scenario.worse_by > 0.0 { "v-slight" } else { "v2" };
    fleet.slight_service = HEALTHY_SERVICE - scenario.worse_by;
    let mut plan = plan(version, ReleaseKind::Program);
    let waves = [(0.0, scenario.looks_ms), (0.1, scenario.looks_ms), (1.0, 0)];
    plan.batches = waves.map(|(share, pause_ms)| Batch { share, pause_ms }).into();
    let begin = fleet.now;
    let started = fleet.start_rollout(plan);
    // During the rollout a zone loses power, and after its return some servers are partitioned.
    let dark_at = 5_000 + fleet.draw(30_000);
    let dark_for = 5_000 + fleet.draw(15_000);
    let zone = fleet.draw(3) as usize;
    let cut_at = dark_at + dark_for + 4_000 + fleet.draw(10_000);
    let cut_for = 3_000 + fleet.draw(15_000);
    let (mut ready, mut samples, mut had) = (0.0, 0.0, 0);
    let mut done = [false; 4];
    let over = |fleet: &Fleet| matches!(fleet.state(), RolloutState::Done | RolloutState::RolledBack(_));
    while started.is_ok() && !over(&fleet) && fleet.now.0 - begin.0 < scenario.patience_s * 1_000 * MS {
        fleet.run(500);
        let at_ms = (fleet.now.0 - begin.0) / MS;
        if scenario.faults {
            let due = [dark_at, dark_at + dark_for, cut_at, cut_at + cut_for].map(|at| at_ms >= at);
            for n in 0..4 {
                if due[n] && !std::mem::replace(&mut done[n], true) {
                    fault(&mut fleet, n, zone, scenario);
                }
            }
        }
        ready += fleet.servers.iter().filter(|server| server.ready).count() as f64 / scenario.servers as f64;
        samples += 1.0;
        had = had.max(fleet.servers.iter().filter(|server| server.program == version).count());
    }
    let took_s = Time(fleet.now.0 - begin.0).0 as f64 / 1e9;
    Outcome {
        broken: broken(&fleet, &most),
        state: fleet.state(),
        took_s,
        had,
        ready: ready / f64::max(samples, 1.0),
    }
}

fn broken(fleet: &Fleet, most: &Limits) -> Option<String> {
    fleet.check_permit_limits(most).err()
}

fn fault(fleet: &mut Fleet, which: usize, zone: usize, scenario: &Scenario) {
    let of_zone: Vec<usize> = (0..scenario.servers).filter(|n| n % 3 == zone).collect();
    match which {
        0 => of_zone.iter().for_each(|&n| {
            fleet.servers[n].unpowered = true;
            fleet.kill(n);
        }),
        1 => of_zone.iter().for_each(|&n| {
            fleet.servers[n].unpowered = false;
            fleet.restart(n);
        }),
        2 => {
            let first = fleet.draw(scenario.servers as u64) as usize;
            let some: Vec<usize> =
                (0..scenario.servers / 4).map(|n| (first + n) % scenario.servers).collect();
            fleet.isolate(&some);
        }
        _ => fleet.partitioned.clear(),
    }
}
