//! State that the reading thread shares with the rest of the server.

use super::connection::Connection;
use crate::clock::Clock;
use crossbeam_channel::Sender;
use gradepin_core::buffer_pool::BufferPool;
use gradepin_core::messages::{ConnectionId, Input};
use slog::Logger;
use std::collections::HashMap;
use std::sync::atomic::AtomicBool;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

/// The connections of all front ends, by id.
pub(super) type Connections = Mutex<HashMap<ConnectionId, Arc<Connection>>>;

/// What the main thread has asked the reading thread to stop. No request is ever withdrawn.
#[derive(Debug, Default)]
pub(super) struct StopRequests {
    /// No more connections are accepted.
    pub(super) accepting: AtomicBool,
    /// No more messages are read.
    pub(super) reading: AtomicBool,
}

/// Handles of the reading thread to the queue, pool, flag and connections of the server.
pub(super) struct Shared {
    /// Open connections, also read by the main thread.
    pub(super) connections: Arc<Connections>,
    /// What the main thread has asked the reading thread to stop.
    pub(super) stops: Arc<StopRequests>,
    /// The reducer's queue of client messages. It is bounded, so sending can block.
    pub(super) inputs: Sender<Input>,
    /// Buffers for received bytes.
    pub(super) pool: Arc<BufferPool>,
    /// The reducer's clock.
    pub(super) clock: Clock,
    /// The server's log.
    pub(super) log: Logger,
}

impl Shared {
    /// Locks the map of open connections.
    pub(super) fn connections(&self) -> MutexGuard<'_, HashMap<ConnectionId, Arc<Connection>>> {
        self.connections.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
