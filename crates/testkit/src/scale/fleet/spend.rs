//! Injected extra cost of a hollow server, to test that the budget check detects it.

use serde::{Deserialize, Serialize};

/// Interval between two expenses, in ms: the tick of the gossip.
pub const TICK_MS: u64 = 100;

/// Extra cost of a server.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Spend {
    /// Extra bytes sent per second.
    pub bytes_s: u32,
    /// Extra CPU time per tick, in microseconds.
    pub tick_us: u32,
}

impl Spend {
    /// Whether there is any extra cost.
    pub fn is_any(self) -> bool {
        self.bytes_s > 0 || self.tick_us > 0
    }

    /// Extra bytes per tick.
    pub fn bytes_per_tick(self) -> usize {
        self.bytes_s as usize * TICK_MS as usize / 1_000
    }
}
