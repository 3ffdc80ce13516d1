//! Costs that a hollow server is told to have beside its work, so that the check of the budget can be tested: it must be
//! caught.

use serde::{Deserialize, Serialize};

/// Between two expenses: the tick of the servers' own gossip.
pub const TICK_MS: u64 = 100;

/// What a server spends beside its work.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Spend {
    /// Bytes sent in a second.
    pub bytes_s: u32,
    /// CPU in each tick, in microseconds.
    pub tick_us: u32,
}

impl Spend {
    /// Whether there is anything to spend.
    pub fn is_any(self) -> bool {
        self.bytes_s > 0 || self.tick_us > 0
    }

    /// Bytes of one tick.
    pub fn bytes_a_tick(self) -> usize {
        self.bytes_s as usize * TICK_MS as usize / 1_000
    }
}
