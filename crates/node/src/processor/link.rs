//! One link to the processor: its number, its socket, and the commands of the current step, which are sent together.

use crate::outgoing::FrameWriter;
use gradepin_core::buffer_pool::{BUFFER_BYTES, Buffer, BufferPool};
use std::sync::Arc;

/// The current link to the processor.
pub(super) struct Link {
    /// Number of the link among those of this process, from 1.
    pub number: u64,
    /// Sends to the processor.
    pub out: Arc<FrameWriter>,
    /// Commands of this step that are not sent yet.
    batch: Option<Buffer>,
}

impl Link {
    /// Creates a link without commands.
    pub(super) fn new(number: u64, out: Arc<FrameWriter>) -> Self {
        Self { number, out, batch: None }
    }

    /// Adds a command, given in parts, to those of this step. The commands of a step share one write: a write and a
    /// wake-up of a writing thread for each command took a quarter of the server's CPU time.
    ///
    /// A command longer than a buffer is sent in several buffers, in order. Closing the link instead would repeat: the
    /// command would be sent again on each new link and close that too.
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

    /// Sends the commands of this step of the reducer.
    pub(super) fn flush(&mut self) {
        if let Some(batch) = self.batch.take() {
            self.out.send(batch);
        }
    }
}
