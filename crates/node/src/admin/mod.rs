//! The operators' door: a listener of its own, apart from the clients' fronts, and a small thread for each connection,
//! so that no load on the fronts and no caller that says half a request holds another's answer back.
//!
//! A whole request becomes a call to the reducer on the urgent queue, which no client fills; the reducer answers it
//! in its next step. Where it does not answer in time, the door says so itself: an answer is owed within a second.
//! Callers that never finish their request are cut off after [`READ_PATIENCE`], and the oldest of them gives its
//! place to a newcomer once [`MOST_CALLERS`] are in. What the calls mean is the reducer's ([`gradepin_core::admin`]).

mod agreements;
mod configuration;
mod exposition;
mod fleet;
pub mod http;

use crate::staging::StagingArea;
use crossbeam_channel::{Receiver, Sender, bounded};
use gradepin_config::admin::AdminError;
use gradepin_core::admin::{AdminRequest, AdminRequestId, AdminResponse, AgreementRequest};
use gradepin_core::configuration::ConfigurationAdminRequest;
use gradepin_core::messages::Input;
use http::{BODY_MOST, Called, Head, Response};
use slog::{Logger, info, warn};
use std::collections::HashMap;
use std::io::{self, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

/// Connections served at a time, each with a thread. Their descriptors are kept apart from the clients'.
pub const MOST_CALLERS: usize = 32;
/// How long a caller has to send a whole request; then it is answered 408.
const READ_PATIENCE: Duration = Duration::from_secs(2);
/// How long the reducer has to answer a call; the door answers 503 after it, well inside the second that is owed.
const REDUCER_PATIENCE: Duration = Duration::from_millis(600);
/// How long a response waits for its caller to end the connection, so that a close does not reset it.
const LINGER: Duration = Duration::from_millis(200);
/// Stack of each thread: the buffer is on the heap.
const STACK: usize = 64 * 1024;

/// A caller being served: its socket, shared with its thread so that it takes one descriptor and can be cut off, and
/// whether its request is whole.
struct Caller {
    number: u64,
    stream: Arc<TcpStream>,
    whole: Arc<AtomicBool>,
}

/// What the threads share.
struct Shared {
    inputs: Sender<Input>,
    /// Calls that wait for the reducer, by id.
    waiting: Mutex<HashMap<AdminRequestId, Sender<AdminResponse>>>,
    callers: Mutex<Vec<Caller>>,
    next: AtomicU64,
    /// Where settings are staged, if they are.
    stage: Option<Arc<StagingArea>>,
    log: Logger,
}

impl Shared {
    fn waiting(&self) -> MutexGuard<'_, HashMap<AdminRequestId, Sender<AdminResponse>>> {
        self.waiting.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn callers(&self) -> MutexGuard<'_, Vec<Caller>> {
        self.callers.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// The door, as the main thread has it: where the reducer's answers go.
pub struct Admin {
    shared: Arc<Shared>,
    address: SocketAddr,
}

impl Admin {
    /// Serves callers of the listener from now on; calls go to the reducer as inputs.
    pub fn start(
        listener: TcpListener,
        inputs: Sender<Input>,
        stage: Option<Arc<StagingArea>>,
        log: Logger,
    ) -> io::Result<Self> {
        let address = listener.local_addr()?;
        let shared = Arc::new(Shared {
            inputs,
            waiting: Mutex::default(),
            callers: Mutex::new(Vec::with_capacity(MOST_CALLERS)),
            next: AtomicU64::new(1),
            stage,
            log,
        });
        let door = Arc::clone(&shared);
        let accept = move || accept(&listener, &door);
        thread::Builder::new().name("admin".into()).stack_size(STACK).spawn(accept)?;
        info!(shared.log, "the operators' door is open"; "address" => %address);
        Ok(Self { shared, address })
    }

    /// Where it listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// The reducer's answer to a call; one that was given up on meanwhile is dropped.
    pub fn answer(&self, id: AdminRequestId, answer: AdminResponse) {
        if let Some(reply) = self.shared.waiting().remove(&id) {
            let _ = reply.try_send(answer);
        }
    }
}

fn accept(listener: &TcpListener, shared: &Arc<Shared>) {
    for stream in listener.incoming() {
        let stream = match stream {
            Ok(stream) => stream,
            Err(e) => {
                warn!(shared.log, "the operators' door could not accept"; "error" => %e);
                // Out of descriptors, mostly; without a pause this would take the core.
                thread::sleep(Duration::from_millis(50));
                continue;
            }
        };
        let number = shared.next.fetch_add(1, Ordering::Relaxed);
        let whole = Arc::new(AtomicBool::new(false));
        let stream = Arc::new(stream);
        {
            let mut callers = shared.callers();
            if callers.len() >= MOST_CALLERS {
                // The one that has said the least for the longest gives way; a caller that sent its request is
                // answered within its time anyway.
                match callers.iter().position(|caller| !caller.whole.load(Ordering::SeqCst)) {
                    Some(oldest) => drop(callers.remove(oldest).stream.shutdown(Shutdown::Both)),
                    None => {
                        drop(callers);
                        respond(&stream, &Response::text(503, "too many calls at once\n"), false);
                        continue;
                    }
                }
            }
            callers.push(Caller { number, stream: Arc::clone(&stream), whole: Arc::clone(&whole) });
        }
        let (door, served) = (Arc::clone(shared), Arc::clone(&stream));
        let serve = move || {
            serve(&served, &whole, &door);
            door.callers().retain(|caller| caller.number != number);
        };
        if let Err(e) = thread::Builder::new().name("admin-call".into()).stack_size(STACK).spawn(serve) {
            warn!(shared.log, "a call at the operators' door could not be served"; "error" => %e);
            shared.callers().retain(|caller| caller.number != number);
        }
    }
}

/// One connection: a request, its answer, the end.
fn serve(stream: &TcpStream, whole: &AtomicBool, shared: &Shared) {
    let until = Instant::now() + READ_PATIENCE;
    let (head, body) = match read(stream, until) {
        Ok(read) => read,
        Err(Some(response)) => return respond(stream, &response, false),
        Err(None) => return,
    };
    whole.store(true, Ordering::SeqCst);
    let response = match head.call {
        Ok(Called::Plain(call)) => ask(shared, call),
        Ok(Called::Order) => match serde_json::from_slice(&body) {
            Ok(order) => ask(shared, AdminRequest::Agreement(AgreementRequest::Command(Box::new(order)))),
            Err(e) => Response::text(400, format!("expected an order as JSON: {e}\n")),
        },
        Ok(Called::ConfigurationApply) => match serde_json::from_slice(&body) {
            Ok(request) => {
                ask(shared, AdminRequest::Configuration(ConfigurationAdminRequest::Apply(Box::new(request))))
            }
            Err(e) => configuration::refused(&AdminError::BadCall { reason: e.to_string() }),
        },
        Ok(Called::Stage) => stage(shared, &body),
        Err(response) => response,
    };
    respond(stream, &response, head.head_only);
}

/// Reads a whole request, its body too; what to answer instead, if anything.
fn read(stream: &TcpStream, until: Instant) -> Result<(Head, Vec<u8>), Option<Response>> {
    let mut bytes = Vec::with_capacity(1024);
    let mut chunk = [0_u8; 1024];
    let head = loop {
        if let Some(head) = http::head(&bytes).map_err(Some)? {
            break head;
        }
        let n = read_some(stream, until, &mut chunk)?;
        bytes.extend_from_slice(&chunk[..n]);
    };
    // Most bodies have no use; they are read so that the close resets nothing.
    let uses = matches!(head.call, Ok(Called::Order | Called::Stage | Called::ConfigurationApply));
    let mut body = bytes.split_off(head.len.min(bytes.len()));
    let mut length = body.len().min(BODY_MOST);
    while length < head.body {
        let n = read_some(stream, until, &mut chunk)?;
        length += n;
        if uses {
            body.extend_from_slice(&chunk[..n]);
        }
    }
    body.truncate(head.body);
    Ok((head, body))
}

/// Stages settings: checked here, and told to the reducer where they are taken.
fn stage(shared: &Shared, body: &[u8]) -> Response {
    let Some(stage) = &shared.stage else {
        return Response::text(404, "expected a stage in the settings' council block\n");
    };
    match std::str::from_utf8(body)
        .map_err(|e| e.to_string())
        .and_then(|text| stage.put(text).map_err(|e| e.to_string()))
    {
        Ok(digest) => {
            let told = shared.inputs.send_timeout(
                Input::StagedSettingsChanged { active: None, staged: stage.staged() },
                REDUCER_PATIENCE,
            );
            if told.is_err() {
                return Response::text(503, "the server did not take it in time; try again\n");
            }
            Response::text(200, format!("{digest}\n"))
        }
        Err(why) => Response::text(409, format!("{why}\n")),
    }
}

/// Some bytes before the time is up; at the end of the connection or an error nothing is owed.
fn read_some(mut stream: &TcpStream, until: Instant, chunk: &mut [u8]) -> Result<usize, Option<Response>> {
    let late = || Some(Response::text(408, format!("expected a whole request within {READ_PATIENCE:?}\n")));
    loop {
        let left =
            until.checked_duration_since(Instant::now()).filter(|left| !left.is_zero()).ok_or_else(late)?;
        stream.set_read_timeout(Some(left)).map_err(|_| None)?;
        match stream.read(chunk) {
            Ok(0) => return Err(None),
            Ok(n) => return Ok(n),
            Err(e) if matches!(e.kind(), io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut) => {
                return Err(late());
            }
            Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
            Err(_) => return Err(None),
        }
    }
}

/// Puts the call to the reducer and makes a response of its answer.
fn ask(shared: &Shared, call: AdminRequest) -> Response {
    let id = shared.next.fetch_add(1, Ordering::Relaxed);
    let (reply, answer): (Sender<AdminResponse>, Receiver<AdminResponse>) = bounded(1);
    shared.waiting().insert(id, reply);
    let until = Instant::now() + REDUCER_PATIENCE;
    let told = call.clone();
    let sent = shared.inputs.send_deadline(Input::AdminRequest { id, request: call }, until).is_ok();
    let answer = if sent { answer.recv_deadline(until).ok() } else { None };
    shared.waiting().remove(&id);
    answer.map(response).unwrap_or_else(|| {
        warn!(shared.log, "the reducer did not answer an operator's call in time"; "call" => ?told);
        Response::text(503, "the server did not answer in time; try again\n")
    })
}

/// The response that an answer of the reducer makes.
pub fn response(answer: AdminResponse) -> Response {
    match answer {
        AdminResponse::Health(Ok(())) => Response::text(200, "ready\n"),
        AdminResponse::Health(Err(why)) => Response::text(503, format!("not ready: {}\n", why.word())),
        AdminResponse::Stats(stats) => {
            let mut response = Response::text(200, exposition::text(&stats));
            response.content_type = exposition::CONTENT_TYPE;
            response
        }
        AdminResponse::Fleet(Some(view)) => {
            let mut response = Response::text(200, fleet::text(&view));
            response.content_type = "application/json";
            response
        }
        AdminResponse::Configuration(answer) => configuration::response(&answer),
        AdminResponse::Agreement(answer) => agreements::response(&answer),
        AdminResponse::Fleet(None) => Response::text(404, "this server takes no part in a fleet\n"),
        AdminResponse::DrainState { draining: true, .. } => Response::text(200, "draining\n"),
        AdminResponse::DrainState { draining: false, .. } => Response::text(200, "serving\n"),
    }
}

/// Writes the response and ends the connection once the caller has it.
fn respond(mut stream: &TcpStream, response: &Response, head_only: bool) {
    let _ = stream.set_write_timeout(Some(READ_PATIENCE));
    if stream.write_all(&response.bytes(head_only)).is_err() {
        return;
    }
    let _ = stream.shutdown(Shutdown::Write);
    // Whatever the caller still sends is read, for a moment, so that the close does not reset the response.
    let _ = stream.set_read_timeout(Some(LINGER));
    let mut rest = [0_u8; 256];
    let until = Instant::now() + LINGER;
    while Instant::now() < until && matches!(stream.read(&mut rest), Ok(n) if n > 0) {}
}
