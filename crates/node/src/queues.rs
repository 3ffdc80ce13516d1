//! The input queues from the threads of the shell to the main thread, which owns the reducer.

use crossbeam_channel::{Receiver, Sender, bounded, never, select};
use gradepin_core::messages::Input;
use std::time::Duration;

/// Client messages that can wait for the reducer; the reading thread blocks while the queue is full. It is short, so
/// that a client that sends at full speed adds little delay to the others.
const CLIENT_QUEUE_CAPACITY: usize = 128;
/// Inputs from the processor, from signals and from operators; no client can fill this queue.
const URGENT_QUEUE_CAPACITY: usize = 1024;
/// Datagrams of other servers; when the queue is full, further datagrams are dropped.
const PEER_QUEUE_CAPACITY: usize = 512;

/// The sending ends of the input queues, for the shell's threads.
pub(crate) struct InputSenders {
    /// Messages of clients.
    pub client: Sender<Input>,
    /// Inputs that no client causes.
    pub urgent: Sender<Input>,
    /// Datagrams of other servers.
    pub peer: Sender<Input>,
}

/// The receiving ends of the input queues, for the main thread.
pub(crate) struct InputQueues {
    /// Inputs that no client causes; read first.
    pub urgent: Receiver<Input>,
    client: Receiver<Input>,
    peer: Receiver<Input>,
}

/// Creates the three input queues.
pub(crate) fn input_queues() -> (InputSenders, InputQueues) {
    let (client_sender, client) = bounded(CLIENT_QUEUE_CAPACITY);
    let (urgent_sender, urgent) = bounded(URGENT_QUEUE_CAPACITY);
    let (peer_sender, peer) = bounded(PEER_QUEUE_CAPACITY);
    let senders = InputSenders { client: client_sender, urgent: urgent_sender, peer: peer_sender };
    (senders, InputQueues { urgent, client, peer })
}

impl InputQueues {
    /// Replaces the peer queue of a server without peers: a queue without senders counts as closed, so every wait would
    /// return immediately.
    pub(crate) fn without_peers(self) -> Self {
        Self { peer: never(), ..self }
    }

    /// Waits at most `timeout` for an input, then appends all queued inputs to `arrived`: urgent ones first, and from
    /// each queue at most its capacity.
    pub(crate) fn wait(&self, timeout: Duration, arrived: &mut Vec<Input>) {
        // The threads that hold the senders run as long as the process, so a closed queue is treated as a timeout.
        select! {
            recv(self.urgent) -> input => arrived.extend(input),
            recv(self.client) -> input => arrived.extend(input),
            recv(self.peer) -> input => arrived.extend(input),
            default(timeout) => {}
        }
        arrived.extend(self.urgent.try_iter().take(URGENT_QUEUE_CAPACITY));
        arrived.extend(self.peer.try_iter().take(PEER_QUEUE_CAPACITY));
        arrived.extend(self.client.try_iter().take(CLIENT_QUEUE_CAPACITY));
    }

    /// Removes and returns the client inputs that the reducer has not handled, at most the capacity of their queue. At
    /// the exit of the process their requests are lost.
    pub(crate) fn unhandled_client_inputs(&self) -> Vec<Input> {
        self.client.try_iter().take(CLIENT_QUEUE_CAPACITY).collect()
    }
}
