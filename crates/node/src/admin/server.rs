//! Accepts connections of the admin endpoint, at most [`MAX_CONNECTIONS`] at a time, and serves each on a thread.
//!
//! If all slots are in use, a new connection replaces the oldest one whose request is incomplete. If all requests are
//! complete, the new connection is answered 503; the others are answered within their timeout.

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

/// Maximum number of concurrent connections, each with a thread. Their descriptors are reserved in addition to those of
/// clients.
pub const MAX_CONNECTIONS: usize = 32;
/// Pause before accepting is retried after an error.
const ACCEPT_BACKOFF: Duration = Duration::from_millis(50);
/// Stack size of each thread, whose buffers are on the heap.
const STACK_BYTES: usize = 64 * 1024;

/// A connection being served.
struct ServedConnection {
    number: u64,
    /// Shared with the connection's thread, so that it uses one descriptor and the acceptor can shut it down.
    stream: Arc<TcpStream>,
    /// Whether the request has been read completely.
    request_complete: Arc<AtomicBool>,
}

/// State shared by the threads of the endpoint.
struct Shared {
    /// Connections being served, at most [`MAX_CONNECTIONS`], oldest first.
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

    /// Allocates a slot for a connection; false if all slots are used by connections with complete requests.
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

/// The main thread's handle to the endpoint, which receives the reducer's responses.
pub struct Admin {
    shared: Arc<Shared>,
    address: SocketAddr,
}

impl Admin {
    /// Starts serving connections of the listener; requests become inputs of the reducer.
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

    /// The address on which the endpoint listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Forwards the reducer's response to a request; dropped if the request has timed out meanwhile.
    pub fn answer(&self, id: AdminRequestId, answer: AdminResponse) {
        self.shared.backends.reducer.answer(id, answer);
    }
}

fn accept(listener: &TcpListener, shared: &Arc<Shared>) {
    for stream in listener.incoming() {
        match stream {
            Ok(stream) => start_serving(stream, shared),
            Err(e) => {
                warn!(shared.log, "accepting a connection of the admin endpoint failed; retrying"; "error" => %e);
                // Usually a shortage of descriptors. Without a pause it would cause a busy loop.
                thread::sleep(ACCEPT_BACKOFF);
            }
        }
    }
}

/// Serves a connection on a separate thread, if a slot is free.
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
        warn!(shared.log, "can't start a thread for a connection of the admin endpoint; closing it"; "error" => %e);
        shared.forget(number);
    }
}
