//! Entry point of a tile server: starts all parts, then runs the main loop on the calling thread.

pub use crate::config::ServerFiles;
use crate::inherited_listener::InheritedListener;
use crate::settings::OperatorSettings;
use crate::signals::Signals;
use crate::startup::{self, StartAborted, StartArguments};
pub use crate::startup::{StartError, cluster_settings};
use gradepin_core::config::Config;
use slog::Logger;

/// Starts a server and serves until the reducer ends the process: after SIGTERM, once all requests are answered or the
/// shutdown timeout has passed. Also returns `Ok` if SIGTERM arrives while the start waits for the predecessor process.
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
