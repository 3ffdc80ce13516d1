//! Days of a large fleet: a release goes while zones lose power and servers are cut off, drawn from a seed.

use super::{Fleet, HEALTHY_SERVICE, limits, plan};
use gradepin_admission::Time;
use gradepin_coordination::replicated_state::Limits;
use gradepin_coordination::rollout::{Batch, ReleaseKind, RolloutState};

const MS: u64 = 1_000_000;

/// What is played.
#[derive(Debug, Clone)]
pub struct Scenario {
    /// Of everything that is drawn.
    pub seed: u64,
    /// Servers, in three zones.
    pub servers: usize,
    /// Voters among them.
    pub voters: usize,
    /// The most that may be out, of the fleet and of a zone.
    pub most: u32,
    /// See `most`.
    pub zone: u32,
    /// How much worse the new version serves, from 0 to 1.
    pub worse_by: f64,
    /// Whether a zone loses power and others are cut off.
    pub faults: bool,
    /// How long is looked after each wave, in ms.
    pub looks_ms: u64,
    /// The longest that the release may take, in seconds.
    pub patience_s: u64,
}

/// What it came to.
#[derive(Debug, Clone)]
pub struct Outcome {
    /// Where the promise was broken.
    pub broken: Option<String>,
    /// Where the release stands at the end.
    pub state: RolloutState,
    /// How long it took, in seconds.
    pub took_s: f64,
    /// Servers that had the new version at the most.
    pub had: usize,
    /// The part of the servers that was ready, in the mean over the release.
    pub ready: f64,
}

/// Plays a day.
pub fn play(scenario: &Scenario) -> Outcome {
    let most = limits(scenario.most, scenario.zone);
    let mut fleet = Fleet::new(scenario.servers, scenario.voters, most.clone(), scenario.seed);
    let version = if scenario.worse_by > 0.0 { "v-slight" } else { "v2" };
    fleet.slight = HEALTHY_SERVICE - scenario.worse_by;
    let mut plan = plan(version, ReleaseKind::Program);
    let waves = [(0.0, scenario.looks_ms), (0.1, scenario.looks_ms), (1.0, 0)];
    plan.batches = waves.map(|(share, pause_ms)| Batch { share, pause_ms }).into();
    let begin = fleet.now;
    let started = fleet.release(plan);
    // A zone without power for some seconds, and a cut of some servers, one after the other, in the middle of it.
    let dark_at = 5_000 + fleet.draw(30_000);
    let dark_for = 5_000 + fleet.draw(15_000);
    let zone = fleet.draw(3) as usize;
    let cut_at = dark_at + dark_for + 4_000 + fleet.draw(10_000);
    let cut_for = 3_000 + fleet.draw(15_000);
    let (mut ready, mut looks, mut had) = (0.0, 0.0, 0);
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
        looks += 1.0;
        had = had.max(fleet.servers.iter().filter(|server| server.program == version).count());
    }
    let took_s = Time(fleet.now.0 - begin.0).0 as f64 / 1e9;
    Outcome {
        broken: broken(&fleet, &most),
        state: fleet.state(),
        took_s,
        had,
        ready: ready / f64::max(looks, 1.0),
    }
}

fn broken(fleet: &Fleet, most: &Limits) -> Option<String> {
    fleet.check_permit_limits(most).err()
}

fn fault(fleet: &mut Fleet, which: usize, zone: usize, scenario: &Scenario) {
    let of_zone: Vec<usize> = (0..scenario.servers).filter(|n| n % 3 == zone).collect();
    match which {
        0 => of_zone.iter().for_each(|&n| {
            fleet.servers[n].dark = true;
            fleet.kill(n);
        }),
        1 => of_zone.iter().for_each(|&n| {
            fleet.servers[n].dark = false;
            fleet.revive(n);
        }),
        2 => {
            let first = fleet.draw(scenario.servers as u64) as usize;
            let some: Vec<usize> =
                (0..scenario.servers / 4).map(|n| (first + n) % scenario.servers).collect();
            fleet.isolate(&some);
        }
        _ => fleet.cut.clear(),
    }
}
