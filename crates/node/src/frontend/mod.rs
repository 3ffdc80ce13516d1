//! Front ends for clients: one thread accepts and reads the connections of all protocols, and the main thread writes.
//!
//! Bytes of clients become inputs of the reducer; the reducer's effects send responses and close connections through
//! [`Frontend`]. Each protocol has a submodule with an implementation of [`Protocol`], which does no I/O. Descriptors,
//! buffers, throttling, fair reading, connection slots and draining are implemented once, for all protocols:
//!
//! - `event_loop` waits for socket events and reads connections in turn, `acceptor` accepts them within their limits;
//! - `connection_reader` decodes the bytes of one connection, `throttle` limits messages that break the protocol;
//! - `connection` is the state that both threads share, under one lock.
//!
//! A connection uses one descriptor and no thread: with a thread per connection, a process limited to its share of a
//! core would have its threads suspended and resumed one by one. Callers of [`Frontend`] never block: frames that a
//! socket doesn't accept immediately are queued until it is writable. The queue is bounded because the reader stops
//! reading from a peer that leaves `MAX_UNSENT_FRAMES` unread.

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

use crate::clock::Clock;
use connection::Connection;
use crossbeam_channel::Sender;
use event_loop::EventLoop;
use gradepin_core::buffer_pool::BufferPool;
use gradepin_core::messages::{ConnectionId, Input, ProtocolViolation, Response, SequenceId};
use shared::{Connections, Shared, StopRequests};
use slog::Logger;
use std::io;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, PoisonError};
use std::thread;
use throttle::violation_tokens;

/// Stack size of the reading thread, whose buffers are on the heap.
const STACK_BYTES: usize = 64 * 1024;
/// The main thread's handle to the connections of all front ends. Ids of closed connections are ignored.
pub struct Frontend {
    connections: Arc<Connections>,
    pool: Arc<BufferPool>,
    /// Whether clients were asked to drain; some protocols state this in responses.
    draining: AtomicBool,
    stops: Arc<StopRequests>,
}

impl Frontend {
    /// Starts the reading thread, which accepts at most `max_connections` concurrent connections of these protocols and
    /// sends their messages as inputs. Health checks are expected on the first listener.
    ///
    /// # Errors
    /// If a listener can't be registered for events or the thread can't be started.
    pub fn listen(
        frontends: Vec<(Arc<dyn Protocol>, Listener)>,
        max_connections: usize,
        inputs: Sender<Input>,
        pool: Arc<BufferPool>,
        clock: Clock,
        log: Logger,
    ) -> io::Result<Self> {
        let connections = Arc::new(Connections::default());
        let stops = Arc::new(StopRequests::default());
        let shared = Shared {
            connections: Arc::clone(&connections),
            stops: Arc::clone(&stops),
            inputs,
            pool: Arc::clone(&pool),
            clock,
            log,
        };
        let mut event_loop = EventLoop::new(frontends, max_connections, shared)?;
        let reading_thread = thread::Builder::new().name("read".into()).stack_size(STACK_BYTES);
        reading_thread.spawn(move || event_loop.run())?;
        Ok(Self { connections, pool, draining: AtomicBool::new(false), stops })
    }

    /// Stops accepting connections; accepted ones are still read and answered. Connections that are queued on an
    /// exclusive listener are accepted before it is closed; those queued on a shared listener are left to the other
    /// process.
    pub fn stop_accepting(&self) {
        self.stops.accepting.store(true, Ordering::SeqCst);
    }

    /// Stops reading messages. What has arrived is read once more, and its messages become inputs; then
    /// [`Input::StoppedReading`] follows, and later bytes are discarded.
    pub fn stop_reading(&self) {
        self.stops.reading.store(true, Ordering::SeqCst);
    }

    fn connection(&self, id: ConnectionId) -> Option<Arc<Connection>> {
        self.connections.lock().unwrap_or_else(PoisonError::into_inner).get(&id).cloned()
    }

    /// Sends a response. If it can't be encoded, a failure response is sent instead; if that can't be encoded either,
    /// the connection is closed.
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
        let is_last = frame.is_none() || connection.protocol.closes_after_response();
        if let Some(frame) = frame {
            connection.send(frame);
        }
        if is_last {
            connection.close();
        }
    }

    /// Charges a connection for a message that breaks the protocol, which may pause its reading.
    pub fn charge(&self, connection: ConnectionId, violation: ProtocolViolation) {
        if let Some(connection) = self.connection(connection) {
            connection.charge(violation_tokens(violation));
        }
    }

    /// Asks a peer to send no more requests. If the protocol has no such message, the connection is closed unless it
    /// has already delivered a request.
    pub fn request_drain(&self, connection: ConnectionId) {
        self.draining.store(true, Ordering::Relaxed);
        let Some(connection) = self.connection(connection) else { return };
        match connection.protocol.drain_request(&self.pool) {
            Some(frame) => connection.send(frame),
            None => connection.close_when_idle(0),
        }
    }

    /// Closes a connection when it is idle, unless it delivers a message beyond `messages_received` first; the end is
    /// reported as an input. The count protects requests that are still in the socket or the queue, unknown to the
    /// reducer: their responses would be lost.
    pub fn close_when_idle(&self, connection: ConnectionId, messages_received: u64) {
        if let Some(connection) = self.connection(connection) {
            connection.close_when_idle(messages_received);
        }
    }

    /// Closes a connection whose message timed out, as [`Self::close_when_idle`] does, but even if a message is
    /// incomplete.
    pub fn close_timed_out(&self, connection: ConnectionId, messages_received: u64) {
        if let Some(connection) = self.connection(connection) {
            connection.close_timed_out(messages_received);
        }
    }

    /// Closes a connection after all its queued frames are written; the end is reported as an input after the peer has
    /// shut down its half too.
    pub fn close(&self, connection: ConnectionId) {
        if let Some(connection) = self.connection(connection) {
            connection.close();
        }
    }
}
