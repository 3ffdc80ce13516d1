//! Serves as one tile server: starts its parts, then runs the main loop on the calling thread.

pub use crate::config::ServerFiles;
use crate::inherited_listener::InheritedListener;
use crate::settings::OperatorSettings;
use crate::signals::Signals;
use crate::startup::{self, StartAborted, StartArguments};
pub use crate::startup::{StartError, cluster_settings};
use gradepin_core::config::Config;
use slog::Logger;

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
