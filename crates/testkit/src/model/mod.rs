//! Experiments with the fleet model: files that say what is tried, runs over all cores, figures with their intervals, plots and
//! reports. The model itself is in `gradepin-model`.

pub mod agreed;
pub mod cli;
pub mod config;
pub mod experiment;
pub mod peers;
pub mod plots;
pub mod report;
pub mod results;
pub mod stats;
pub mod trace;

use gradepin_model::policies::Kind;
use gradepin_model::scenario::{Ranges, SettingError};
use gradepin_model::world::{Outcome, ScenarioError, World};

/// One day to be played: a policy, and what of the ranges is set otherwise.
#[derive(Debug, Clone, PartialEq)]
pub struct Plan {
    /// Which servers.
    pub policy: Kind,
    /// From which days are drawn.
    pub ranges: Ranges,
}

/// Why a plan can't be made.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum BadPlan {
    /// A setting of the ranges.
    #[error(transparent)]
    Setting(#[from] SettingError),
    /// No such policy.
    #[error("expected one of {known} as policy, got '{0}'", known = Kind::ALL.map(Kind::name).join(", "))]
    Policy(String),
}

impl Default for Plan {
    fn default() -> Self {
        Self { policy: Kind::Gradepin, ranges: Ranges::specified() }
    }
}

impl Plan {
    /// Sets one thing.
    pub fn set(&mut self, name: &str, value: &str) -> Result<(), BadPlan> {
        if name == "policy" {
            self.policy = Kind::named(value).ok_or_else(|| BadPlan::Policy(value.to_string()))?;
        } else {
            self.ranges.set(name, value)?;
        }
        Ok(())
    }

    /// Plays the day of a seed.
    pub fn play(&self, seed: u64) -> Result<Outcome, ScenarioError> {
        World::new(self.ranges.draw(seed), self.policy)?.play()
    }
}
