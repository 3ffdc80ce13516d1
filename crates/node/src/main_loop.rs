//! The main loop of a tile server: owns the reducer, passes it the inputs that arrive and executes its effects.
//!
//! The main thread blocks only on its input queues and never sends to them, so it can't deadlock with itself.

use crate::effects::EffectExecutor;
use crate::queues::InputQueues;
use gradepin_core::messages::{Effect, Input};
use gradepin_core::reducer::Reducer;
use slog::{info, warn};
use std::time::Duration;

/// The longest time between two steps of the reducer when it asks for no earlier one.
const MAX_STEP_INTERVAL: Duration = Duration::from_secs(1);

/// A running server. Fields are dropped in the order of declaration: parts before the queues that they send to.
pub(crate) struct Server {
    executor: EffectExecutor,
    queues: InputQueues,
    reducer: Reducer,
    /// Inputs of the next step, in order of arrival.
    arrived: Vec<Input>,
}

impl Server {
    /// Creates the main loop; `arrived` are the inputs of the first step.
    pub(crate) fn new(
        executor: EffectExecutor,
        queues: InputQueues,
        reducer: Reducer,
        arrived: Vec<Input>,
    ) -> Self {
        Self { executor, queues, reducer, arrived }
    }

    /// Steps the reducer until it returns [`Effect::Exit`], then shuts all parts down.
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

    /// Logs the requests that the reading thread has read and the reducer has not handled: they get no response.
    fn log_unhandled_requests(&self) {
        let inputs = self.queues.unhandled_client_inputs();
        let requests: Vec<String> = inputs.iter().filter_map(describe_request).collect();
        if !requests.is_empty() {
            warn!(self.executor.log, "exiting with requests that were read and not handled; they get no response";
                  "count" => requests.len(), "requests" => requests.join(", "));
        }
    }

    /// Shuts all parts down. Claims come first because the other process of an upgrade waits for the outcomes that they
    /// write. Their thread may be blocked on a full urgent queue, so they close that queue too.
    fn shut_down(self) {
        self.log_unhandled_requests();
        let Self { mut executor, queues, .. } = self;
        info!(executor.log, "server shutting down: closing all parts, then the process exits");
        if let Some(claims) = executor.claims.take() {
            claims.close(queues.urgent);
        }
        drop(executor);
    }
}

/// The connection, sequence number and id of a request; `None` for inputs that are owed no response.
fn describe_request(input: &Input) -> Option<String> {
    match input {
        Input::Request { connection, sequence, request } => {
            Some(format!("connection {connection} sequence {sequence} id {}", request.id.0))
        }
        Input::InvalidRequest { connection, sequence, .. } | Input::HealthCheck { connection, sequence } => {
            Some(format!("connection {connection} sequence {sequence}"))
        }
        _ => None,
    }
}
