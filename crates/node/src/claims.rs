//! Keyed runs that the two processes of an upgrade share: a file a token in a folder that both have, made before its
//! run is begun. Whoever makes it runs the request; the other one is told how that run ended, or runs it after all
//! where it never began. The thread here decides nothing about requests: it says whose a run is, and how it ended.
//!
//! | file | meaning |
//! | --- | --- |
//! | `NAME`, empty, mode 0600 | claimed; its run goes on |
//! | `NAME` with a print and bytes | it ended with this result |
//! | `NAME`, empty, mode 0400 | it ended without a result, or that is no longer kept |
//! | `alive.SEED` | locked by a process for as long as it lives |
//! | `salt` | keys the names and the prints of all processes |
//!
//! `NAME` is 32 hex digits, a keyed hash of the token, so that no stranger chooses a file's name. Files count as memory
//! there: an empty one takes about 1 kB of the system's, and results take pages, up to a part of the memory.

mod folder;
#[cfg(test)]
mod tests;

use crossbeam_channel::{Receiver, RecvTimeoutError, Sender, unbounded};
use folder::Files;
pub use folder::Place;
use gradepin_admission::{RequestId, Span};
use gradepin_core::buffer_pool::BufferPool;
use gradepin_core::idempotency_table::{Fingerprint, RunOutcome};
use gradepin_core::messages::{Input, RunClaim};
use slog::{Logger, warn};
use std::io;
use std::sync::Arc;
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant, SystemTime};

const STACK: usize = 64 * 1024;
/// Between looks at claims of the other process that runs here wait for.
const POLL: Duration = Duration::from_millis(10);
/// Between looks for files whose time is over, and for processes that have ended.
const TIDY: Duration = Duration::from_secs(2);
/// Between tries to have a folder that can't be used.
const OPEN_AGAIN: Duration = Duration::from_millis(500);

enum Job {
    Claim { id: RequestId, token: Arc<str>, print: Fingerprint, until: Instant },
    Ended { token: Arc<str>, print: Fingerprint, end: Option<RunOutcome> },
    Window(Duration),
}

/// The claims, as the reducer's effects see them.
pub struct Claims {
    // Without a bound of its own: a job a keyed request that the reducer holds open, and those are bounded.
    jobs: Sender<Job>,
    thread: JoinHandle<()>,
    salt: Option<u64>,
}

impl Claims {
    /// Shares keyed runs in this folder from now on; `window` is the longest in which a token may come again. Where the
    /// folder can't be used, it is tried again until it can: no keyed run begins meanwhile, and all else is served.
    pub fn start(
        place: Place,
        window: Span,
        inputs: Sender<Input>,
        pool: Arc<BufferPool>,
        log: Logger,
    ) -> io::Result<Self> {
        let window = Duration::from_nanos(window.0);
        let files = Files::open(&place, window, Arc::clone(&pool));
        let salt = files.as_ref().ok().map(|files| files.salt);
        let (jobs, queue) = unbounded();
        let run = move || {
            let files = match files {
                Ok(files) => Some(files),
                Err(why) => {
                    warn!(log, "the folder of keyed runs can't be used: each is refused until it can";
                          "folder" => %place.folder.display(), "error" => %why);
                    opened(&place, window, &pool, &queue, &inputs)
                }
            };
            if let Some(mut files) = files {
                serve(&mut files, &queue, &inputs, &log);
            }
        };
        let thread = thread::Builder::new().name("claims".into()).stack_size(STACK).spawn(run)?;
        Ok(Self { jobs, thread, salt })
    }

    /// The key of the prints of all processes that share the folder; none while it can't be used, and then it is told by
    /// [`Input::RunsShared`].
    pub fn salt(&self) -> Option<u64> {
        self.salt
    }

    /// Says whose the run of a token is, by an input; waits for so long for the end of another process's.
    pub fn claim(&self, id: RequestId, token: Arc<str>, print: Fingerprint, patience: Span) {
        let until = Instant::now() + Duration::from_nanos(patience.0);
        let _ = self.jobs.send(Job::Claim { id, token, print, until });
    }

    /// A run that was claimed here has its end, or with none never began.
    pub fn release(&self, token: Arc<str>, print: Fingerprint, end: Option<RunOutcome>) {
        let _ = self.jobs.send(Job::Ended { token, print, end });
    }

    /// The longest window has changed.
    pub fn set_longest_window(&self, window: Span) {
        let _ = self.jobs.send(Job::Window(Duration::from_nanos(window.0)));
    }

    /// Writes all that was told; to be called before the process ends, or the next one waits for ends that never come.
    /// Nobody takes `inputs` any more, so they end first: a thread that waited for room in them would never be done.
    pub fn close(self, inputs: Receiver<Input>) {
        drop(inputs);
        drop(self.jobs);
        let _ = self.thread.join();
    }
}

struct Waiting {
    id: RequestId,
    token: Arc<str>,
    print: Fingerprint,
    until: Instant,
}

/// Tries until the folder can be used, and says so; no claim can be made meanwhile. None if nobody asks any more.
fn opened(
    place: &Place,
    mut window: Duration,
    pool: &Arc<BufferPool>,
    queue: &Receiver<Job>,
    inputs: &Sender<Input>,
) -> Option<Files> {
    let mut next = Instant::now() + OPEN_AGAIN;
    loop {
        match queue.recv_deadline(next) {
            Ok(Job::Claim { id, .. }) => {
                inputs.send(Input::RunClaimed { id, claim: RunClaim::Unknown }).ok()?
            }
            // Nothing was claimed here that could end.
            Ok(Job::Ended { .. }) => {}
            Ok(Job::Window(new)) => window = new,
            Err(RecvTimeoutError::Disconnected) => return None,
            Err(RecvTimeoutError::Timeout) => {
                if let Ok(files) = Files::open(place, window, Arc::clone(pool)) {
                    inputs.send(Input::RunsShared { salt: files.salt }).ok()?;
                    return Some(files);
                }
                next = Instant::now() + OPEN_AGAIN;
            }
        }
    }
}

fn serve(files: &mut Files, queue: &Receiver<Job>, inputs: &Sender<Input>, log: &Logger) {
    let mut waiting: Vec<Waiting> = Vec::new();
    let (mut polled, mut tidied) = (Instant::now(), Instant::now());
    let mut told = false;
    let mut failed = |what: &str, why: &io::Error| {
        if !std::mem::replace(&mut told, true) {
            warn!(log, "keyed runs can't be shared with the other process of an upgrade"; "what" => what, "error" => %why);
        }
    };
    loop {
        let first = match queue.recv_timeout(if waiting.is_empty() { TIDY } else { POLL }) {
            Ok(job) => Some(job),
            Err(RecvTimeoutError::Timeout) => None,
            Err(RecvTimeoutError::Disconnected) => return,
        };
        let mut look = |files: &mut Files, wait: &Waiting| -> bool {
            let claim = match files.claim(&wait.token, wait.print) {
                Ok(Some(claim)) => claim,
                Ok(None) if Instant::now() < wait.until => return false,
                Ok(None) => RunClaim::Ended(RunOutcome::Failed),
                Err(why) => {
                    failed("claim", &why);
                    RunClaim::Unknown
                }
            };
            // Where nobody listens any more, the queue has ended too.
            let _ = inputs.send(Input::RunClaimed { id: wait.id.clone(), claim });
            true
        };
        for job in first.into_iter().chain(queue.try_iter()) {
            match job {
                Job::Claim { id, token, print, until } => {
                    let wait = Waiting { id, token, print, until };
                    if !look(files, &wait) {
                        waiting.push(wait);
                    }
                }
                Job::Ended { token, print, end } => {
                    if let Err(why) = files.ended(&token, print, end) {
                        warn!(log, "the end of a keyed run can't be shared"; "error" => %why);
                    }
                }
                Job::Window(window) => files.window = window,
            }
        }
        if polled.elapsed() >= POLL {
            waiting.retain(|wait| !look(files, wait));
            polled = Instant::now();
        }
        if tidied.elapsed() >= TIDY {
            if let Err(why) = files.tidy(SystemTime::now()) {
                failed("tidy", &why);
            }
            tidied = Instant::now();
        }
    }
}
