//! One link to the processor: its number, its socket, and the commands that leave together at the end of a step.

use crate::outgoing::Outgoing;
use gradepin_core::buffer_pool::{BUFFER_BYTES, Buffer, BufferPool};
use std::sync::Arc;

/// A link in use.
pub(super) struct Link {
    /// Counts the links of this process, from 1.
    pub number: u64,
    /// The socket.
    pub out: Arc<Outgoing>,
    /// Commands of this step that have not left yet.
    batch: Option<Buffer>,
}

impl Link {
    /// A link without commands.
    pub(super) fn new(number: u64, out: Arc<Outgoing>) -> Self {
        Self { number, out, batch: None }
    }

    /// Adds a command, given in parts, to those of this step. Commands of one step share a write: a write and a wake of a
    /// writing thread for each took a quarter of the server's CPU.
    ///
    /// A command longer than a buffer leaves in several, in order. Guards against a link that is closed over such a
    /// command: it would be sent again on each following link, and close all of them.
    pub(super) fn command(&mut self, pool: &Arc<BufferPool>, parts: &[&[u8]]) {
        let command_bytes: usize = parts.iter().map(|part| part.len()).sum();
        if self.batch.as_ref().is_some_and(|batch| batch.len() + command_bytes > BUFFER_BYTES) {
            self.flush();
        }
        for part in parts {
            let mut remaining = *part;
            while !remaining.is_empty() {
                let batch = self.batch.get_or_insert_with(|| pool.take());
                let (now, later) = remaining.split_at(remaining.len().min(BUFFER_BYTES - batch.len()));
                batch.extend(now);
                remaining = later;
                if !remaining.is_empty() {
                    self.flush();
                }
            }
        }
    }

    /// Sends the commands of this step.
    pub(super) fn flush(&mut self) {
        if let Some(batch) = self.batch.take() {
            self.out.send(batch);
        }
    }
}
