//! Termination by signals.

use signal_hook::consts::{SIGINT, SIGTERM};
use std::io;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;

/// Registers a flag that SIGINT and SIGTERM set from now on instead of ending the process.
pub fn flag() -> io::Result<Arc<AtomicBool>> {
    let end = Arc::<AtomicBool>::default();
    for signal in [SIGINT, SIGTERM] {
        signal_hook::flag::register(signal, Arc::clone(&end))?;
    }
    Ok(end)
}
