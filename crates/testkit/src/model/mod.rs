//! Experiments with the fleet model of `gradepin-model`: experiment files, parallel runs, figures with confidence intervals,
//! plots and reports.

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

/// Plan of a simulated day: the policy, and the ranges that the day is drawn from.
#[derive(Debug, Clone, PartialEq)]
pub struct Plan {
    /// Admission policy of the servers.
    pub policy: Kind,
    /// Ranges that days are drawn from.
    pub ranges: Ranges,
}

/// Invalid setting of a plan.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum BadPlan {
    /// Invalid setting of the ranges.
    #[error(transparent)]
    Setting(#[from] SettingError),
    /// Unknown policy.
    #[error("expected one of {known} as policy, got '{0}'", known = Kind::ALL.map(Kind::name).join(", "))]
    Policy(String),
}

impl Default for Plan {
    fn default() -> Self {
        Self { policy: Kind::Gradepin, ranges: Ranges::specified() }
    }
}

impl Plan {
    /// Sets the policy or one of the ranges by name.
    pub fn set(&mut self, name: &str, value: &str) -> Result<(), BadPlan> {
        if name == "policy" {
            self.policy = Kind::named(value).ok_or_else(|| BadPlan::Policy(value.to_string()))?;
        } else {
            self.ranges.set(name, value)?;
        }
        Ok(())
    }

    /// Simulates the day drawn from a seed.
    pub fn play(&self, seed: u64) -> Result<Outcome, ScenarioError> {
        World::new(self.ranges.draw(seed), self.policy)?.play()
    }
}
