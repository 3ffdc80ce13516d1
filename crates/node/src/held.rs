//! Addresses at the start of a process: one that another process still holds, which may be on its way out, is tried again
//! for a while. All addresses are taken so, the operators' and the fleet's too: a process gives them up in an order of its
//! own, some of them only with its end.

use crate::fronts::Listener;
use crate::serve::StartError;
use crate::signals::Signals;
use signal_hook::consts::SIGTERM;
use slog::{Logger, info, warn};
use std::io::{self, ErrorKind};
use std::net::SocketAddr;
use std::thread;
use std::time::{Duration, Instant};

/// How long an address may be held by another process, and how often it is tried again.
const PATIENCE: Duration = Duration::from_secs(10);
const AGAIN: Duration = Duration::from_millis(50);

/// Takes the addresses of a start, all within the same patience.
pub struct Held<'s> {
    start: Instant,
    signals: &'s Signals,
    log: &'s Logger,
}

impl<'s> Held<'s> {
    /// From now on.
    pub fn new(signals: &'s Signals, log: &'s Logger) -> Self {
        Self { start: Instant::now(), signals, log }
    }

    /// A listener on an address.
    pub fn tcp(&self, address: SocketAddr) -> Result<Option<Listener>, StartError> {
        self.taken(&format!("listening on {address}"), || Listener::tcp(address))
    }

    /// What `take` takes; where another process still holds it, it is tried again until the time is up. None if the notice
    /// to leave came meanwhile.
    pub fn taken<T>(&self, what: &str, take: impl Fn() -> io::Result<T>) -> Result<Option<T>, StartError> {
        let mut told = false;
        loop {
            match take() {
                Ok(taken) => return Ok(Some(taken)),
                Err(_) if self.signals.is_pending(SIGTERM) => {
                    info!(self.log, "told to leave before anything was served"; "waits for" => what);
                    return Ok(None);
                }
                Err(e) if e.kind() == ErrorKind::AddrInUse && self.start.elapsed() < PATIENCE => {
                    if !std::mem::replace(&mut told, true) {
                        warn!(self.log, "another process holds the address, and it is tried again"; "for" => what);
                    }
                    thread::sleep(AGAIN);
                }
                Err(why) => return Err(StartError::System { what: what.into(), why }),
            }
        }
    }
}
