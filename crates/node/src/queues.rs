//! The queues between the threads of the shell and the main thread, which owns the reducer.

use crossbeam_channel::{Receiver, Sender, bounded, never, select};
use gradepin_core::messages::Input;
use std::time::Duration;

/// Messages of clients that may wait for the reducer; while the queue is full, the reader thread waits. It is short, so that
/// a client that sends at full speed delays the others by little.
const CLIENT_QUEUE_CAPACITY: usize = 128;
/// Inputs of the processor, of signals and of operators; no client fills this queue.
const URGENT_QUEUE_CAPACITY: usize = 1024;
/// Datagrams of other servers; a datagram that finds the queue full is dropped.
const PEER_QUEUE_CAPACITY: usize = 512;

/// The ends of the queues that the shell's threads send to.
pub(crate) struct InputSenders {
    /// For messages of clients.
    pub client: Sender<Input>,
    /// For everything that no client causes.
    pub urgent: Sender<Input>,
    /// For datagrams of other servers.
    pub peer: Sender<Input>,
}

/// The ends of the queues that the main thread reads.
pub(crate) struct InputQueues {
    /// Everything that no client causes; read first.
    pub urgent: Receiver<Input>,
    client: Receiver<Input>,
    peer: Receiver<Input>,
}

/// Makes the three queues.
pub(crate) fn input_queues() -> (InputSenders, InputQueues) {
    let (client_sender, client) = bounded(CLIENT_QUEUE_CAPACITY);
    let (urgent_sender, urgent) = bounded(URGENT_QUEUE_CAPACITY);
    let (peer_sender, peer) = bounded(PEER_QUEUE_CAPACITY);
    let senders = InputSenders { client: client_sender, urgent: urgent_sender, peer: peer_sender };
    (senders, InputQueues { urgent, client, peer })
}

impl InputQueues {
    /// For a server without peers: a queue without senders counts as closed, and would end each wait at once.
    pub(crate) fn without_peers(self) -> Self {
        Self { peer: never(), ..self }
    }

    /// Waits for an input for at most `timeout`, and appends all that are queued by then: urgent ones first, at most a
    /// queue's capacity of each.
    pub(crate) fn wait(&self, timeout: Duration, arrived: &mut Vec<Input>) {
        // The senders are held by threads that last as long as the process, so a closed queue is treated as a timeout.
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
}
