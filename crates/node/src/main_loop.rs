//! The main loop of a tile server: it owns the reducer, hands it what arrives, and has its effects carried out.
//!
//! It waits for its queues and for nothing else, and never sends to them.

use crate::effects::EffectExecutor;
use crate::queues::InputQueues;
use gradepin_core::messages::{Effect, Input};
use gradepin_core::reducer::Reducer;
use slog::info;
use std::time::Duration;

/// The longest pause between two steps.
const MAX_STEP_INTERVAL: Duration = Duration::from_secs(1);

/// A server whose parts all run. Fields are dropped in this order: the parts before the queues that they send to.
pub(crate) struct Server {
    executor: EffectExecutor,
    queues: InputQueues,
    reducer: Reducer,
    /// Inputs of the next step.
    arrived: Vec<Input>,
}

impl Server {
    /// A server whose first step has these inputs.
    pub(crate) fn new(
        executor: EffectExecutor,
        queues: InputQueues,
        reducer: Reducer,
        arrived: Vec<Input>,
    ) -> Self {
        Self { executor, queues, reducer, arrived }
    }

    /// Steps the reducer until it asks for the end of the process.
    pub(crate) fn run(mut self) {
        let mut effects: Vec<Effect> = Vec::new();
        loop {
            self.reducer.step(self.executor.clock.read(), self.arrived.drain(..), &mut effects);
            for effect in effects.drain(..) {
                if self.executor.execute(effect, &mut self.arrived).is_break() {
                    return self.shut_down();
                }
            }
            self.executor.processor.flush();
            self.queues.wait(self.time_to_next_step(), &mut self.arrived);
        }
    }

    fn time_to_next_step(&self) -> Duration {
        let Some(wake_at) = self.reducer.wake_at() else { return MAX_STEP_INTERVAL };
        let now = self.executor.clock.read().now;
        Duration::from_nanos(wake_at.0.saturating_sub(now.0))
    }

    /// Ends the parts: claims first, since the other process of an upgrade waits for what they write. Their thread may
    /// itself wait for room in the urgent queue, so that queue ends with them.
    fn shut_down(self) {
        let Self { mut executor, queues, .. } = self;
        info!(executor.log, "leaving");
        if let Some(claims) = executor.claims.take() {
            claims.close(queues.urgent);
        }
        drop(executor);
    }
}
