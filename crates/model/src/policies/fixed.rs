//! Fixed limits: a plain pool, and a limit with a short queue that discards expired requests.

use super::shell::{Load, Policy, RequestInfo};
use gradepin_admission::Time;

/// Fixed limits of running and waiting requests, in FIFO order.
#[derive(Debug)]
pub struct Fixed {
    runs: usize,
    waiting_queue: usize,
    discards: bool,
}

impl Fixed {
    /// Two runs and four waiting requests per core, like a thread pool with a bounded queue.
    pub fn pool(cores: u32) -> Self {
        let cores = cores as usize;
        Self { runs: 2 * cores, waiting_queue: 4 * cores, discards: false }
    }

    /// 1.5 runs and two waiting requests per core; requests past their deadline are discarded instead of run.
    pub fn waiting_queue(cores: u32) -> Self {
        let cores = cores as usize;
        Self { runs: cores * 3 / 2, waiting_queue: 2 * cores, discards: true }
    }
}

impl Policy for Fixed {
    fn admits(&mut self, _now: Time, _ask: &RequestInfo, load: Load) -> bool {
        load.running < self.runs || load.waiting < self.waiting_queue
    }

    fn may_run(&self, load: Load) -> bool {
        load.running < self.runs
    }

    fn discards(&mut self, now: Time, info: &RequestInfo) -> bool {
        self.discards && info.due <= now
    }
}
