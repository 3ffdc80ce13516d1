//! Fixed limits: a plain pool, and a limit with a short line that drops what comes too late.

use super::shell::{Ask, Load, Policy};
use gradepin_admission::Time;

/// So many runs and so many waiting, first come first served.
#[derive(Debug)]
pub struct Fixed {
    runs: usize,
    line: usize,
    drops: bool,
}

impl Fixed {
    /// Two runs and four waiting requests a core: what a thread pool with a bounded queue does.
    pub fn pool(cores: u32) -> Self {
        let cores = cores as usize;
        Self { runs: 2 * cores, line: 4 * cores, drops: false }
    }

    /// One and a half runs and two waiting requests a core; one whose caller has gone by its turn is dropped.
    pub fn line(cores: u32) -> Self {
        let cores = cores as usize;
        Self { runs: cores * 3 / 2, line: 2 * cores, drops: true }
    }
}

impl Policy for Fixed {
    fn takes(&mut self, _now: Time, _ask: &Ask, load: Load) -> bool {
        load.running < self.runs || load.waiting < self.line
    }

    fn may_run(&self, load: Load) -> bool {
        load.running < self.runs
    }

    fn drops(&mut self, now: Time, ask: &Ask) -> bool {
        self.drops && ask.due <= now
    }
}
