//! Calls to the upstream, the dependency that all servers share: `POST /post` over HTTP/1.1, one call at a time on a
//! connection, on threads of their own. When a call is made and how long it may take is the module's decision; a thread
//! carries the call and reports its outcome.
//!
//! | reply | outcome |
//! | --- | --- |
//! | 200 with a body | `Success`, the body goes to the run |
//! | 503 or 409 with `X-Untouched: 1`, a call that was not sent | `Rejected`: it had no effect |
//! | a connection that was not made | `ConnectFailed`: it had no effect |
//! | 500, or 503 and 409 without that header | `Failure`: it may have had its effect |
//! | 504, or no reply in time (the connection is closed, which cancels the call) | `TimedOut` |
//! | a connection that broke during the call | `Aborted` |

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
use ureq::http::Response;
use ureq::{Agent, Body};

/// The HTTP library nests its calls deeply.
const STACK_BYTES: usize = 1024 * 1024;
/// Calls that wait for a thread; more are rejected here, which proves that they had no effect.
const QUEUE_CAPACITY: usize = 256;
/// A connection idle for so long is not used again: the upstream closes connections idle for 10 s, and a call on a closed
/// one would break unread, and count as one that may have had its effect.
const MAX_IDLE_AGE: Duration = Duration::from_secs(4);
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// A call in the queue.
struct Call {
    id: RequestId,
    number: UpstreamCallId,
    body: Arc<Vec<u8>>,
    timeout: Duration,
    /// The call and its wait in the queue end here.
    deadline: Instant,
    /// The call must not be sent at this time or later.
    send_before: Option<Instant>,
}

/// The address that calls go to; a reload changes it.
type SharedUrl = Arc<RwLock<Arc<str>>>;

/// The threads of upstream calls, as the main thread uses them.
pub struct UpstreamClient {
    calls: Sender<Call>,
    url: SharedUrl,
    log: Logger,
}

fn url(address: SocketAddr) -> Arc<str> {
    Arc::from(format!("http://{address}/post"))
}

impl UpstreamClient {
    /// Starts `max_calls` threads, each with one call at a time; the end of each call becomes an input.
    pub fn start(
        address: SocketAddr,
        max_calls: usize,
        inputs: Sender<Input>,
        pool: Arc<BufferPool>,
        log: Logger,
    ) -> io::Result<Self> {
        let config = Agent::config_builder()
            .http_status_as_error(false)
            .max_redirects(0)
            .proxy(None)
            .max_idle_age(MAX_IDLE_AGE)
            .timeout_connect(Some(CONNECT_TIMEOUT))
            .user_agent(concat!("gradepin/", env!("CARGO_PKG_VERSION")));
        let agent: Agent = config.build().into();
        let url = Arc::new(RwLock::new(url(address)));
        let (calls, queue) = bounded::<Call>(QUEUE_CAPACITY);
        for n in 0..max_calls {
            let caller = Caller {
                agent: agent.clone(),
                url: Arc::clone(&url),
                queue: queue.clone(),
                inputs: inputs.clone(),
                pool: Arc::clone(&pool),
            };
            let run = move || caller.run();
            thread::Builder::new().name(format!("ledger-{n}")).stack_size(STACK_BYTES).spawn(run)?;
        }
        Ok(Self { calls, url, log })
    }

    /// Sends calls to another address from now on; calls under way end at the old one.
    pub fn retarget(&self, address: SocketAddr) {
        *self.url.write().unwrap_or_else(PoisonError::into_inner) = url(address);
    }

    /// Queues a call for a request, under a number; never blocks. A full queue rejects it, and its end is returned: the
    /// caller is the thread that empties the inputs, and would wait for itself where those are full.
    /// At `send_before` or later the call must not be sent: the lease that it is made under has expired.
    pub fn call(
        &self,
        (id, number): (RequestId, UpstreamCallId),
        body: &[u8],
        timeout: Span,
        send_before: Option<Instant>,
    ) -> Result<(), Input> {
        let timeout = Duration::from_nanos(timeout.0);
        let deadline = Instant::now() + timeout;
        let call = Call { id, number, body: Arc::new(body.to_vec()), timeout, deadline, send_before };
        self.calls.try_send(call).map_err(|unsent| {
            warn!(self.log, "upstream call rejected: queue is full"; "capacity" => QUEUE_CAPACITY);
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

/// One thread of upstream calls.
struct Caller {
    agent: Agent,
    url: SharedUrl,
    queue: Receiver<Call>,
    inputs: Sender<Input>,
    pool: Arc<BufferPool>,
}

/// How a call ended, with its reply on success.
struct CallEnd {
    outcome: Outcome,
    reply: Option<Buffer>,
}

impl CallEnd {
    fn without_reply(outcome: Outcome) -> Self {
        Self { outcome, reply: None }
    }
}

impl Caller {
    fn run(&self) {
        for call in &self.queue {
            let url = Arc::clone(&self.url.read().unwrap_or_else(PoisonError::into_inner));
            let CallEnd { outcome, reply } = self.call(&url, &call);
            let ended = Input::UpstreamCallEnded { id: call.id, call: call.number, outcome, reply };
            if self.inputs.send(ended).is_err() {
                return;
            }
        }
    }

    /// Makes a call, unless its time ran out in the queue.
    fn call(&self, url: &str, call: &Call) -> CallEnd {
        let Some(remaining) = call.deadline.checked_duration_since(Instant::now()) else {
            return CallEnd::without_reply(Outcome::Rejected);
        };
        // Checked last: this thread may have been stopped since the call was decided.
        if call.send_before.is_some_and(|send_before| Instant::now() >= send_before) {
            return CallEnd::without_reply(Outcome::Rejected);
        }
        self.exchange(url, call, remaining)
    }

    fn exchange(&self, url: &str, call: &Call, remaining: Duration) -> CallEnd {
        let request = self.agent.post(url).config().timeout_global(Some(remaining)).build();
        let request = request
            .header("X-Txn-Ref", call.id.0.as_ref())
            .header("X-Limit-Ms", call.timeout.as_millis().to_string());
        let mut response = match request.send(call.body.as_slice()) {
            Ok(response) => response,
            Err(error) => return CallEnd::without_reply(outcome_of_error(&error)),
        };
        let untouched = response.headers().get("X-Untouched").is_some_and(|value| value.as_bytes() == b"1");
        match response.status().as_u16() {
            200 => self.read_reply(&mut response),
            503 | 409 if untouched => CallEnd::without_reply(Outcome::Rejected),
            504 => CallEnd::without_reply(Outcome::TimedOut),
            _ => CallEnd::without_reply(Outcome::Failure),
        }
    }

    /// Reads the body of a success; one longer than a buffer makes the call a failure.
    fn read_reply(&self, response: &mut Response<Body>) -> CallEnd {
        match response.body_mut().with_config().limit(BUFFER_BYTES as u64).read_to_vec() {
            Ok(body) => match self.pool.copy(&body) {
                Some(reply) => CallEnd { outcome: Outcome::Success, reply: Some(reply) },
                None => CallEnd::without_reply(Outcome::Failure),
            },
            Err(error) => CallEnd::without_reply(outcome_of_error(&error)),
        }
    }
}

fn outcome_of_error(error: &ureq::Error) -> Outcome {
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
