//! Calls to the upstream, the dependency that all servers share: `POST /post` over HTTP/1.1, one call at a time on each
//! connection, on separate threads. The admission controller decides when a call is made and how long it may take; a
//! thread makes the call and reports its outcome.
//!
//! | reply | outcome |
//! | --- | --- |
//! | 200 with a body | `Success`; the body is delivered to the run |
//! | 503 or 409 with `X-Untouched: 1`, or the call was not sent | `Rejected`: the call had no effect |
//! | connecting failed | `ConnectFailed`: the call had no effect |
//! | 500, or 503 and 409 without that header | `Failure`: the call may have had its effect |
//! | 504, or no reply in time (closing the connection cancels the call) | `TimedOut` |
//! | the connection broke during the call | `Aborted` |

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

/// The HTTP library uses deep call stacks.
const STACK_BYTES: usize = 1024 * 1024;
/// Calls that can wait for a thread; further ones are rejected before they are sent, so they had no effect.
const QUEUE_CAPACITY: usize = 256;
/// A connection idle for longer is not reused: the upstream closes connections that are idle for 10 s. A call on a
/// closed connection would fail without being read, but would count as one that may have had its effect.
const MAX_IDLE_AGE: Duration = Duration::from_secs(4);
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// A queued upstream call.
struct Call {
    id: RequestId,
    number: UpstreamCallId,
    body: Arc<Vec<u8>>,
    timeout: Duration,
    /// End of the timeout, which includes the wait in the queue.
    deadline: Instant,
    /// The call must be sent before this time, if set.
    send_before: Option<Instant>,
}

/// URL of the calls; a reload changes it.
type SharedUrl = Arc<RwLock<Arc<str>>>;

/// The main thread's handle to the threads of upstream calls.
pub struct UpstreamClient {
    calls: Sender<Call>,
    url: SharedUrl,
    log: Logger,
}

fn url(address: SocketAddr) -> Arc<str> {
    Arc::from(format!("http://{address}/post"))
}

impl UpstreamClient {
    /// Starts `max_calls` threads that make one call at a time each; the end of each call is sent to `inputs`.
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
            let worker = CallWorker {
                agent: agent.clone(),
                url: Arc::clone(&url),
                queue: queue.clone(),
                inputs: inputs.clone(),
                pool: Arc::clone(&pool),
            };
            let run = move || worker.run();
            thread::Builder::new().name(format!("ledger-{n}")).stack_size(STACK_BYTES).spawn(run)?;
        }
        Ok(Self { calls, url, log })
    }

    /// Changes the address of later calls; calls in flight complete at the old one.
    pub fn retarget(&self, address: SocketAddr) {
        *self.url.write().unwrap_or_else(PoisonError::into_inner) = url(address);
    }

    /// Queues a call of the request `id` under `number`; never blocks. If the queue is full, the call is rejected and
    /// the input that ends it is returned instead of sent: the main thread empties the queue of inputs, so it would
    /// wait for itself if that queue were full. The call is not sent at `send_before` or later, when its lease has
    /// expired.
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

/// Starts upstream clients that report to the same reducer. Needed while serving because a reload can be the first to
/// configure an upstream.
pub struct UpstreamStarter {
    inputs: Sender<Input>,
    pool: Arc<BufferPool>,
    log: Logger,
}

impl UpstreamStarter {
    /// Creates a starter of clients that send the ends of calls to `inputs`, with replies in buffers of `pool`.
    pub fn new(inputs: Sender<Input>, pool: Arc<BufferPool>, log: Logger) -> Self {
        Self { inputs, pool, log }
    }

    /// Starts a client with `max_calls` threads.
    pub fn start(&self, address: SocketAddr, max_calls: usize) -> io::Result<UpstreamClient> {
        let (inputs, pool) = (self.inputs.clone(), Arc::clone(&self.pool));
        UpstreamClient::start(address, max_calls, inputs, pool, self.log.clone())
    }
}

/// One thread of upstream calls.
struct CallWorker {
    agent: Agent,
    url: SharedUrl,
    queue: Receiver<Call>,
    inputs: Sender<Input>,
    pool: Arc<BufferPool>,
}

/// The outcome of a call, with its reply on success.
struct CallEnd {
    outcome: Outcome,
    reply: Option<Buffer>,
}

impl CallEnd {
    fn without_reply(outcome: Outcome) -> Self {
        Self { outcome, reply: None }
    }
}

impl CallWorker {
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

    /// Makes a call, unless its timeout passed in the queue.
    fn call(&self, url: &str, call: &Call) -> CallEnd {
        let Some(remaining) = call.deadline.checked_duration_since(Instant::now()) else {
            return CallEnd::without_reply(Outcome::Rejected);
        };
        // Checked last, because this thread may have been suspended since the call was queued.
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

    /// Reads the body of a successful reply. A body longer than a buffer is an error of the call.
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
