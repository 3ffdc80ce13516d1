//! Calls to the ledger, the dependency that all servers share: `POST /post` over HTTP/1.1 by `ureq`, one call at a
//! time on a connection, on threads of their own so that no step waits. When to call and how long a call may take is
//! the module's; this carries the call and says how it ended, in the module's words.
//!
//! | reply | outcome |
//! | --- | --- |
//! | 200 with a body | `Delivered`, the body goes to the run |
//! | 503 or 409 with `X-Untouched: 1`, a refused connection, a call that never left here | `Shed` or `DialFailed`: it never ran |
//! | 500, or 503 and 409 without that header | `AppError`: it may have had its effect |
//! | 504, or no reply in time (the connection is closed, which gives the call up) | `Expired` |
//! | a connection that broke during the call | `Dropped` |

use crossbeam_channel::{Receiver, Sender, bounded};
use gradepin_admission::{Outcome, RequestId, Span};
use gradepin_core::buffer_pool::{BUFFER_BYTES, Buffer, BufferPool};
use gradepin_core::messages::{Input, UpstreamCallId};
use slog::{Logger, warn};
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, PoisonError, RwLock};
use std::thread;
use std::time::{Duration, Instant};
use ureq::Agent;

/// The library nests its calls, and keeps its buffers on the heap.
const STACK: usize = 1024 * 1024;
/// Calls that wait for a thread at the most; more are turned away here, which proves that they never ran.
const QUEUE: usize = 256;
/// A connection idle for so long is not used again: the ledger closes those idle for 10 s, and a call on one that it
/// closed would break without having been read, and count as one that may have run.
const IDLE: Duration = Duration::from_secs(4);
/// How long a connection may take to be made; a call that can't be made in it never ran.
const CONNECT: Duration = Duration::from_millis(500);

/// A call as the threads take it.
struct Call {
    id: RequestId,
    number: UpstreamCallId,
    body: Arc<Vec<u8>>,
    limit: Duration,
    until: Instant,
    /// After which it must not leave here.
    leaves: Option<Instant>,
}

/// The calls to the ledger that all servers share.
pub struct UpstreamClient {
    calls: Sender<Call>,
    url: Arc<RwLock<Arc<str>>>,
    log: Logger,
}

fn url(address: SocketAddr) -> Arc<str> {
    Arc::from(format!("http://{address}/post"))
}

impl UpstreamClient {
    /// Calls this address from now on, so many calls at a time with a thread each, and tells how each ended.
    pub fn start(
        address: SocketAddr,
        most: usize,
        inputs: Sender<Input>,
        pool: Arc<BufferPool>,
        log: Logger,
    ) -> io::Result<Self> {
        let config = Agent::config_builder()
            .http_status_as_error(false)
            .max_redirects(0)
            .proxy(None)
            .max_idle_age(IDLE)
            .timeout_connect(Some(CONNECT))
            .user_agent(concat!("gradepin/", env!("CARGO_PKG_VERSION")));
        let agent: Agent = config.build().into();
        let url = Arc::new(RwLock::new(url(address)));
        let (calls, queue) = bounded::<Call>(QUEUE);
        for n in 0..most {
            let (agent, url, queue, inputs, pool) =
                (agent.clone(), Arc::clone(&url), queue.clone(), inputs.clone(), Arc::clone(&pool));
            let carry = move || carry(&agent, &url, &queue, &inputs, &pool);
            thread::Builder::new().name(format!("ledger-{n}")).stack_size(STACK).spawn(carry)?;
        }
        Ok(Self { calls, url, log })
    }

    /// Calls go to this address from now on; those out already end where they are.
    pub fn retarget(&self, address: SocketAddr) {
        *self.url.write().unwrap_or_else(PoisonError::into_inner) = url(address);
    }

    /// Makes a call, for a request and under a number; never blocks. Where it finds no room, its end is given back at once: put into the
    /// queue of inputs, a full one, it would have the thread that empties that queue wait for itself.
    /// `leaves` is the time after which it must not leave here any more: a lease that it goes by is over then.
    pub fn call(
        &self,
        (id, number): (RequestId, UpstreamCallId),
        body: &[u8],
        limit: Span,
        leaves: Option<Instant>,
    ) -> Result<(), Input> {
        let limit = Duration::from_nanos(limit.0);
        let until = Instant::now() + limit;
        let call = Call { id, number, body: Arc::new(body.to_vec()), limit, until, leaves };
        self.calls.try_send(call).map_err(|unsent| {
            warn!(self.log, "a call to the ledger found no room; it is turned away unmade");
            let Call { id, number, .. } = unsent.into_inner();
            Input::UpstreamCallEnded { id, call: number, outcome: Outcome::Rejected, reply: None }
        })
    }
}

/// Starts upstream clients that report to the same reducer. Kept while serving, since a reload may be the first to name an
/// upstream.
pub struct UpstreamStarter {
    inputs: Sender<Input>,
    pool: Arc<BufferPool>,
    log: Logger,
}

impl UpstreamStarter {
    /// For clients that send the ends of calls to `inputs`, with replies in buffers of `pool`.
    pub fn new(inputs: Sender<Input>, pool: Arc<BufferPool>, log: Logger) -> Self {
        Self { inputs, pool, log }
    }

    /// Starts a client; see [`UpstreamClient::start`].
    pub fn start(&self, address: SocketAddr, max_calls: usize) -> io::Result<UpstreamClient> {
        let (inputs, pool) = (self.inputs.clone(), Arc::clone(&self.pool));
        UpstreamClient::start(address, max_calls, inputs, pool, self.log.clone())
    }
}

fn carry(
    agent: &Agent,
    url: &RwLock<Arc<str>>,
    queue: &Receiver<Call>,
    inputs: &Sender<Input>,
    pool: &Arc<BufferPool>,
) {
    for call in queue {
        let url = Arc::clone(&url.read().unwrap_or_else(PoisonError::into_inner));
        let (outcome, reply) = match call.until.checked_duration_since(Instant::now()) {
            // Its time ran out while it waited here: it never left.
            None => (Outcome::Rejected, None),
            // The last look at the clock: this thread may have been stopped since the call was decided.
            Some(_) if call.leaves.is_some_and(|leaves| Instant::now() >= leaves) => {
                (Outcome::Rejected, None)
            }
            Some(left) => exchange(agent, &url, &call, left, pool),
        };
        if inputs.send(Input::UpstreamCallEnded { id: call.id, call: call.number, outcome, reply }).is_err() {
            return;
        }
    }
}

fn exchange(
    agent: &Agent,
    url: &str,
    call: &Call,
    left: Duration,
    pool: &Arc<BufferPool>,
) -> (Outcome, Option<Buffer>) {
    let request = agent.post(url).config().timeout_global(Some(left)).build();
    let request = request
        .header("X-Txn-Ref", call.id.0.as_ref())
        .header("X-Limit-Ms", call.limit.as_millis().to_string());
    let mut response = match request.send(call.body.as_slice()) {
        Ok(response) => response,
        Err(error) => return (failed(&error), None),
    };
    let untouched = response.headers().get("X-Untouched").is_some_and(|value| value.as_bytes() == b"1");
    match response.status().as_u16() {
        200 => match response.body_mut().with_config().limit(BUFFER_BYTES as u64).read_to_vec() {
            Ok(body) => match pool.copy(&body) {
                Some(body) => (Outcome::Success, Some(body)),
                None => (Outcome::Failure, None),
            },
            Err(error) => (failed(&error), None),
        },
        503 | 409 if untouched => (Outcome::Rejected, None),
        504 => (Outcome::TimedOut, None),
        _ => (Outcome::Failure, None),
    }
}

/// What an error of the exchange says of the call.
fn failed(error: &ureq::Error) -> Outcome {
    match error {
        ureq::Error::Timeout(ureq::Timeout::Connect | ureq::Timeout::Resolve) => Outcome::ConnectFailed,
        ureq::Error::Timeout(_) => Outcome::TimedOut,
        ureq::Error::ConnectionFailed | ureq::Error::HostNotFound => Outcome::ConnectFailed,
        ureq::Error::Io(io) if io.kind() == io::ErrorKind::ConnectionRefused => Outcome::ConnectFailed,
        _ => Outcome::Aborted,
    }
}

#[cfg(test)]
mod tests;
