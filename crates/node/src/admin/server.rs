//! Accepts connections of the admin endpoint, at most [`MAX_CONNECTIONS`] at a time, and serves each on a thread.
//!
//! When all slots are taken, a new connection replaces the oldest one whose request is incomplete; if all requests are
//! complete, it is answered 503: those are answered within their timeout anyway.

use super::connection::{self, Backends};
use super::http::Response;
use super::reducer_client::ReducerClient;
use crate::staging::StagingArea;
use crossbeam_channel::Sender;
use gradepin_core::admin::{AdminRequestId, AdminResponse};
use gradepin_core::messages::Input;
use slog::{Logger, info, warn};
use std::io;
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::Duration;

/// Connections served at a time, each with a thread. Their descriptors are reserved, in addition to those of clients.
pub const MAX_CONNECTIONS: usize = 32;
/// Before accepting is retried after an error.
const ACCEPT_BACKOFF: Duration = Duration::from_millis(50);
/// Stack of each thread: the buffers are on the heap.
const STACK_BYTES: usize = 64 * 1024;

/// A connection being served.
struct ServedConnection {
    number: u64,
    /// Shared with its thread, so that it takes one descriptor and can be shut from here.
    stream: Arc<TcpStream>,
    /// Whether its request is complete.
    request_complete: Arc<AtomicBool>,
}

/// What the threads of the endpoint share.
struct Shared {
    /// At most [`MAX_CONNECTIONS`], the oldest first.
    connections: Mutex<Vec<ServedConnection>>,
    next_number: AtomicU64,
    backends: Backends,
    log: Logger,
}

impl Shared {
    fn connections(&self) -> MutexGuard<'_, Vec<ServedConnection>> {
        self.connections.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn forget(&self, number: u64) {
        self.connections().retain(|connection| connection.number != number);
    }

    /// Takes a slot for a connection; false if all are taken by connections whose requests are complete.
    fn take_slot(&self, connection: ServedConnection) -> bool {
        let mut connections = self.connections();
        if connections.len() >= MAX_CONNECTIONS {
            let oldest_incomplete =
                connections.iter().position(|connection| !connection.request_complete.load(Ordering::SeqCst));
            let Some(index) = oldest_incomplete else { return false };
            let _ = connections.remove(index).stream.shutdown(Shutdown::Both);
        }
        connections.push(connection);
        true
    }
}

/// The endpoint, for the main thread, which passes the reducer's responses to it.
pub struct Admin {
    shared: Arc<Shared>,
    address: SocketAddr,
}

impl Admin {
    /// Starts to serve connections of the listener; requests become inputs of the reducer.
    ///
    /// # Errors
    /// If the listener has no address, or the thread can't be started.
    pub fn start(
        listener: TcpListener,
        inputs: Sender<Input>,
        staging_area: Option<Arc<StagingArea>>,
        log: Logger,
    ) -> io::Result<Self> {
        let address = listener.local_addr()?;
        let shared = Arc::new(Shared {
            connections: Mutex::new(Vec::with_capacity(MAX_CONNECTIONS)),
            next_number: AtomicU64::new(1),
            backends: Backends { reducer: ReducerClient::new(inputs, log.clone()), staging_area },
            log,
        });
        let accepting = Arc::clone(&shared);
        let accept = move || accept(&listener, &accepting);
        thread::Builder::new().name("admin".into()).stack_size(STACK_BYTES).spawn(accept)?;
        info!(shared.log, "admin endpoint is listening"; "address" => %address);
        Ok(Self { shared, address })
    }

    /// Address that it listens on.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Passes on the reducer's response to a request; dropped if the request timed out meanwhile.
    pub fn answer(&self, id: AdminRequestId, answer: AdminResponse) {
        self.shared.backends.reducer.answer(id, answer);
    }
}

fn accept(listener: &TcpListener, shared: &Arc<Shared>) {
    for stream in listener.incoming() {
        match stream {
            Ok(stream) => start_serving(stream, shared),
            Err(e) => {
                warn!(shared.log, "accepting an admin connection failed"; "error" => %e);
                // Mostly for want of descriptors; without a pause this would take the core.
                thread::sleep(ACCEPT_BACKOFF);
            }
        }
    }
}

/// Serves a connection on a thread of its own, if a slot is free.
fn start_serving(stream: TcpStream, shared: &Arc<Shared>) {
    let number = shared.next_number.fetch_add(1, Ordering::Relaxed);
    let (stream, request_complete) = (Arc::new(stream), Arc::new(AtomicBool::new(false)));
    let has_slot = shared.take_slot(ServedConnection {
        number,
        stream: Arc::clone(&stream),
        request_complete: Arc::clone(&request_complete),
    });
    if !has_slot {
        return connection::respond(&stream, &Response::text(503, "too many calls at once\n"), false);
    }
    let serving = Arc::clone(shared);
    let serve = move || {
        connection::serve(&stream, &request_complete, &serving.backends);
        serving.forget(number);
    };
    if let Err(e) = thread::Builder::new().name("admin-call".into()).stack_size(STACK_BYTES).spawn(serve) {
        warn!(shared.log, "an admin connection could not be served"; "error" => %e);
        shared.forget(number);
    }
}
