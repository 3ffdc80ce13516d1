//! Front ends for clients: one thread accepts and reads all connections of every protocol, and the main thread writes.
//!
//! Inputs are bytes of clients, which become inputs of the reducer; outputs are the responses and closes of the
//! reducer's effects, through [`Frontend`]. A protocol is a folder with a [`Protocol`], which does no I/O; descriptors,
//! buffers, throttling, fair reading, connection slots and draining are here once, for all protocols:
//!
//! - `event_loop` waits for sockets and reads connections in turn, `acceptor` accepts them within their bounds;
//! - `connection_reader` decodes the bytes of one connection, `throttle` bounds its rate;
//! - `connection` is the state that both threads share, under one lock.
//!
//! A connection takes one descriptor and no thread: a thread for each would be stopped and continued one by one when
//! the process is held to its share of the core. Nothing blocks the caller of [`Frontend`]: frames that a socket doesn't
//! take at once are queued until it is writable. That queue is bounded, since nothing is read from a peer that leaves
//! `MAX_UNSENT_FRAMES` unread.

mod acceptor;
mod connection;
mod connection_reader;
mod event_loop;
mod listener;
mod protocol;
pub mod scgi;
mod shared;
pub mod thrift;
mod throttle;

pub use listener::Listener;
pub use protocol::{
    DecodedFrame, DecodedMessage, FirstMessageTimeout, FrameDecoder, InvalidRequest, MalformedFrame,
    Protocol, ReadTimeouts,
};

use connection::Connection;
use crossbeam_channel::Sender;
use event_loop::EventLoop;
use gradepin_core::buffer_pool::BufferPool;
use gradepin_core::messages::{ConnectionId, Input, Response, SequenceId};
use shared::{Connections, Shared};
use slog::Logger;
use std::io;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, PoisonError};
use std::thread;
use throttle::MessageOutcome;

/// Stack of the reading thread: its buffers are on the heap.
const STACK_BYTES: usize = 64 * 1024;
/// The connections of all front ends, for the effects of the reducer. Ids of connections that are gone are ignored.
pub struct Frontend {
    connections: Arc<Connections>,
    pool: Arc<BufferPool>,
    /// Whether clients were asked to drain, which responses may state.
    draining: AtomicBool,
    accepting: Arc<AtomicBool>,
}

impl Frontend {
    /// Starts the reading thread, which accepts connections of these protocols, at most `max_connections` at a time, and
    /// sends what they receive as inputs. Health checks are expected on the first listener.
    ///
    /// # Errors
    /// If a listener can't be watched, or the thread not be started.
    pub fn listen(
        frontends: Vec<(Arc<dyn Protocol>, Listener)>,
        max_connections: usize,
        inputs: Sender<Input>,
        pool: Arc<BufferPool>,
        log: Logger,
    ) -> io::Result<Self> {
        let connections = Arc::new(Connections::default());
        let accepting = Arc::new(AtomicBool::new(true));
        let shared = Shared {
            connections: Arc::clone(&connections),
            accepting: Arc::clone(&accepting),
            inputs,
            pool: Arc::clone(&pool),
            log,
        };
        let mut event_loop = EventLoop::new(frontends, max_connections, shared)?;
        let reading_thread = thread::Builder::new().name("read".into()).stack_size(STACK_BYTES);
        reading_thread.spawn(move || event_loop.run())?;
        Ok(Self { connections, pool, draining: AtomicBool::new(false), accepting })
    }

    /// Accepts no more connections; those that were accepted are read and answered as before. Connections queued on a
    /// listener of this process alone are accepted first, and the listener is then closed; those queued on a shared
    /// listener are left to the process that shares it.
    pub fn stop_accepting(&self) {
        self.accepting.store(false, Ordering::SeqCst);
    }

    fn connection(&self, id: ConnectionId) -> Option<Arc<Connection>> {
        self.connections.lock().unwrap_or_else(PoisonError::into_inner).get(&id).cloned()
    }

    /// Sends a response. If it can't be encoded, a failure is sent instead; if that can't be either, the connection is
    /// closed.
    pub fn respond(
        &self,
        connection: ConnectionId,
        sequence: SequenceId,
        response: &Response,
        capacity_hint: Option<f64>,
    ) {
        let Some(connection) = self.connection(connection) else { return };
        let draining = self.draining.load(Ordering::Relaxed);
        let encode =
            |response| connection.protocol.encode(sequence, response, capacity_hint, draining, &self.pool);
        let frame = encode(response).or_else(|| encode(&Response::Failed { timed_out: false }));
        connection.add_response_cost(MessageOutcome::of(response).cost());
        let is_last = frame.is_none() || connection.protocol.closes_after_response();
        if let Some(frame) = frame {
            connection.send(frame);
        }
        if is_last {
            connection.close();
        }
    }

    /// Asks a peer to send no more requests. If the protocol has no such message, the connection is closed unless it
    /// has delivered a request.
    pub fn request_drain(&self, connection: ConnectionId) {
        self.draining.store(true, Ordering::Relaxed);
        let Some(connection) = self.connection(connection) else { return };
        match connection.protocol.drain_request(&self.pool) {
            Some(frame) => connection.send(frame),
            None => connection.close_when_idle(0),
        }
    }

    /// Closes a connection once it is idle, unless it delivers more messages than these before; its end is reported as
    /// an input. Guards against a request in the socket or in the queue of which the reducer doesn't know yet: its
    /// response would be lost.
    pub fn close_when_idle(&self, connection: ConnectionId, messages_received: u64) {
        if let Some(connection) = self.connection(connection) {
            connection.close_when_idle(messages_received);
        }
    }

    /// Closes a connection whose message timed out, on the same terms; an incomplete message doesn't keep it open.
    pub fn close_timed_out(&self, connection: ConnectionId, messages_received: u64) {
        if let Some(connection) = self.connection(connection) {
            connection.close_timed_out(messages_received);
        }
    }

    /// Closes a connection once all its frames are written; its end is reported as an input once the peer has ended its
    /// half too.
    pub fn close(&self, connection: ConnectionId) {
        if let Some(connection) = self.connection(connection) {
            connection.close();
        }
    }
}
