//! The end by a signal.

use signal_hook::consts::{SIGINT, SIGTERM};
use std::io;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;

/// A flag that Ctrl-C and SIGTERM set from now on, in place of ending the process.
pub fn flag() -> io::Result<Arc<AtomicBool>> {
    let end = Arc::<AtomicBool>::default();
    for signal in [SIGINT, SIGTERM] {
        signal_hook::flag::register(signal, Arc::clone(&end))?;
    }
    Ok(end)
}
