//! The main thread of a tile server: it owns the reducer, hands it what arrives, and has its effects carried out.

use crate::effects::EffectExecutor;
use crate::inherited_listener::InheritedListener;
use crate::settings::OperatorSettings;
use crate::signals::Signals;
use crate::startup::{self, InputQueues, StartAborted, StartArguments};
pub use crate::startup::{StartError, cluster_settings};
use gradepin_core::config::Config;
use gradepin_core::messages::{Effect, Input};
use gradepin_core::reducer::Reducer;
use slog::{Logger, info};
use std::path::PathBuf;
use std::time::Duration;

/// The longest pause between two steps.
const MAX_STEP_INTERVAL: Duration = Duration::from_secs(1);

/// The files that a process was started with, which a reload reads again, and the version of its program.
#[derive(Debug, Clone)]
pub struct ServerFiles {
    /// The configuration.
    pub config: PathBuf,
    /// The operators' settings, where there are any.
    pub operator_settings: Option<PathBuf>,
    /// The version of the program, as a release names it.
    pub version: String,
}

/// Serves until the reducer ends the process: after SIGTERM, once all is answered or the time for that is up. Returns
/// without an error also where SIGTERM came while the start waited for a predecessor.
pub fn serve(
    config: Config,
    operator: OperatorSettings,
    files: ServerFiles,
    inherited: InheritedListener,
    signals: Signals,
    log: &Logger,
) -> Result<(), StartError> {
    match startup::start(StartArguments { config, operator, files, inherited, signals, log }) {
        Ok(server) => {
            server.run();
            Ok(())
        }
        Err(StartAborted::ShutdownRequested) => Ok(()),
        Err(StartAborted::Failed(error)) => Err(error),
    }
}

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
    fn run(mut self) {
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
