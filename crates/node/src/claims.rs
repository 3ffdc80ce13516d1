//! Shares keyed runs between the two processes of an upgrade: before a process starts a run of an idempotency key, it
//! creates a file for the key in a folder that both can use. The process that creates the file runs the request; the
//! other one gets the run's outcome, or runs the request itself if that run never started.
//!
//! The thread here makes no decisions about requests: it reports which process runs a key and the outcome.
//!
//! | file | meaning |
//! | --- | --- |
//! | `NAME`, empty, mode 0600 | claimed; the run is in progress |
//! | `NAME` with a fingerprint and bytes | the run ended with this result |
//! | `NAME`, empty, mode 0400 | the run ended without a result, or the result was dropped |
//! | `alive.SEED` | locked by a process until it exits |
//! | `salt` | hash key of the file names and fingerprints of all processes |
//!
//! `NAME` is a keyed hash of the idempotency key as 32 hex digits, so that no client can choose a file name. The files
//! count as memory of the process: an empty one takes about 1 kB, results take whole pages, up to a fraction of the
//! memory.

mod folder;
#[cfg(test)]
mod tests;

use crossbeam_channel::{Receiver, RecvTimeoutError, Sender, unbounded};
pub use folder::ClaimsSettings;
use folder::{ClaimAttempt, ClaimFolder};
use gradepin_admission::{RequestId, Span};
use gradepin_core::buffer_pool::BufferPool;
use gradepin_core::idempotency_table::{Fingerprint, RunOutcome};
use gradepin_core::messages::{Input, LookupId, RecordedRun, RunClaim};
use slog::{Logger, warn};
use std::collections::VecDeque;
use std::io;
use std::sync::Arc;
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

const STACK_BYTES: usize = 64 * 1024;
/// Interval between checks of the other process's claims for which requests wait here.
const POLL_INTERVAL: Duration = Duration::from_millis(10);
/// Interval between removals of expired files and of files of dead processes.
const CLEANUP_INTERVAL: Duration = Duration::from_secs(2);
/// Ends of runs that wait to be shared with their results; older ones are shared without.
const MAX_UNSHARED_RESULTS: usize = 1_024;
/// Interval between attempts to open a folder that can't be used.
const REOPEN_INTERVAL: Duration = Duration::from_millis(500);

enum Job {
    Claim(PendingClaim),
    LookUp { lookup: LookupId, key: Arc<str>, fingerprint: Fingerprint },
    Release(Release),
    SetWindow(Duration),
}

/// The end of a run that this process has claimed.
struct Release {
    key: Arc<str>,
    fingerprint: Fingerprint,
    /// `None` if the run never started.
    outcome: Option<RunOutcome>,
}

/// A claim that is not answered yet.
struct PendingClaim {
    id: RequestId,
    key: Arc<str>,
    fingerprint: Fingerprint,
    /// End of the wait for another process's run.
    deadline: Instant,
}

/// The main thread's handle to the claims thread. [`Claims::close`] ends the thread.
pub struct Claims {
    // Unbounded: there is at most one job per open keyed request, and the reducer bounds those.
    jobs: Sender<Job>,
    thread: JoinHandle<()>,
    salt: Option<u64>,
}

impl Claims {
    /// Starts the thread; `window` is the longest time during which a key may be repeated. While the folder can't be
    /// used, every claim is answered with [`RunClaim::Unknown`], and opening the folder is retried.
    pub fn start(
        settings: ClaimsSettings,
        window: Span,
        inputs: Sender<Input>,
        pool: Arc<BufferPool>,
        log: Logger,
    ) -> io::Result<Self> {
        let window = Duration::from_nanos(window.0);
        let opened = ClaimFolder::open(&settings, window, Arc::clone(&pool));
        let salt = opened.as_ref().ok().map(|folder| folder.salt);
        let (jobs, queue) = unbounded();
        let run = move || {
            let folder = match opened {
                Ok(folder) => Some(folder),
                Err(e) => {
                    warn!(log, "can't use the folder of keyed runs; keyed requests fail until it can be used";
                          "folder" => %settings.folder.display(), "error" => %e);
                    open_until_done(&settings, window, &pool, &queue, &inputs)
                }
            };
            if let Some(folder) = folder {
                ClaimServer::new(folder, inputs, log).run(&queue);
            }
        };
        let thread = thread::Builder::new().name("claims".into()).stack_size(STACK_BYTES).spawn(run)?;
        Ok(Self { jobs, thread, salt })
    }

    /// The hash key of the fingerprints of all processes that share the folder. `None` if the folder can't be used;
    /// [`Input::RunsShared`] is sent when it can be.
    pub fn salt(&self) -> Option<u64> {
        self.salt
    }

    /// Claims a key. [`Input::RunClaimed`] follows; if another process runs the key, after at most `timeout`.
    pub fn claim(&self, id: RequestId, key: Arc<str>, fingerprint: Fingerprint, timeout: Span) {
        let deadline = Instant::now() + Duration::from_nanos(timeout.0);
        let _ = self.jobs.send(Job::Claim(PendingClaim { id, key, fingerprint, deadline }));
    }

    /// Looks up whether a process has run a key. [`Input::RunLookedUp`] follows.
    pub fn look_up(&self, lookup: LookupId, key: Arc<str>, fingerprint: Fingerprint) {
        let _ = self.jobs.send(Job::LookUp { lookup, key, fingerprint });
    }

    /// Shares the outcome of a run that this process claimed; `None` if the run never started.
    pub fn release(&self, key: Arc<str>, fingerprint: Fingerprint, outcome: Option<RunOutcome>) {
        let _ = self.jobs.send(Job::Release(Release { key, fingerprint, outcome }));
    }

    /// Changes the longest time during which a key may be repeated.
    pub fn set_longest_window(&self, window: Span) {
        let _ = self.jobs.send(Job::SetWindow(Duration::from_nanos(window.0)));
    }

    /// Writes all queued outcomes and ends the thread; otherwise the other process would wait for outcomes that are
    /// never written. `inputs` is closed first: nobody reads it any more, so the thread could block on it forever.
    pub fn close(self, inputs: Receiver<Input>) {
        drop(inputs);
        drop(self.jobs);
        let _ = self.thread.join();
    }
}

/// Retries until the folder can be used, and reports that; meanwhile claims are answered with [`RunClaim::Unknown`].
/// `None` if the queue of jobs is closed.
fn open_until_done(
    settings: &ClaimsSettings,
    mut window: Duration,
    pool: &Arc<BufferPool>,
    queue: &Receiver<Job>,
    inputs: &Sender<Input>,
) -> Option<ClaimFolder> {
    let mut next_attempt = Instant::now() + REOPEN_INTERVAL;
    loop {
        match queue.recv_deadline(next_attempt) {
            Ok(Job::Claim(PendingClaim { id, .. })) => {
                inputs.send(Input::RunClaimed { id, claim: RunClaim::Unknown }).ok()?;
            }
            Ok(Job::LookUp { lookup, .. }) => {
                inputs.send(Input::RunLookedUp { lookup, run: RecordedRun::Unknown }).ok()?;
            }
            // No claim was granted here that could be released.
            Ok(Job::Release(_)) => {}
            Ok(Job::SetWindow(new)) => window = new,
            Err(RecvTimeoutError::Disconnected) => return None,
            Err(RecvTimeoutError::Timeout) => {
                if let Ok(folder) = ClaimFolder::open(settings, window, Arc::clone(pool)) {
                    inputs.send(Input::RunsShared { salt: folder.salt }).ok()?;
                    return Some(folder);
                }
                next_attempt = Instant::now() + REOPEN_INTERVAL;
            }
        }
    }
}

/// State of the thread while the folder can be used.
struct ClaimServer {
    folder: ClaimFolder,
    inputs: Sender<Input>,
    /// Claims of keys that another process is running.
    waiting: Vec<PendingClaim>,
    /// Ends of runs that could not be shared yet, at most one for each claim of this process.
    unshared: VecDeque<Release>,
    last_poll: Instant,
    last_cleanup: Instant,
    /// Whether a failure was logged; only the first one is logged.
    failure_logged: bool,
    log: Logger,
}

impl ClaimServer {
    fn new(folder: ClaimFolder, inputs: Sender<Input>, log: Logger) -> Self {
        let now = Instant::now();
        Self {
            folder,
            inputs,
            waiting: Vec::new(),
            unshared: VecDeque::new(),
            last_poll: now,
            last_cleanup: now,
            failure_logged: false,
            log,
        }
    }

    /// Processes jobs until their queue is closed.
    fn run(mut self, queue: &Receiver<Job>) {
        loop {
            let is_idle = self.waiting.is_empty() && self.unshared.is_empty();
            let timeout = if is_idle { CLEANUP_INTERVAL } else { POLL_INTERVAL };
            let first = match queue.recv_timeout(timeout) {
                Ok(job) => Some(job),
                Err(RecvTimeoutError::Timeout) => None,
                Err(RecvTimeoutError::Disconnected) => return self.share_ends(),
            };
            for job in first.into_iter().chain(queue.try_iter()) {
                self.serve(job);
            }
            if self.last_poll.elapsed() >= POLL_INTERVAL {
                self.poll();
                self.share_ends();
            }
            if self.last_cleanup.elapsed() >= CLEANUP_INTERVAL {
                if let Err(e) = self.folder.clean_up(Instant::now()) {
                    self.log_failure("cleanup", &e);
                }
                self.last_cleanup = Instant::now();
            }
        }
    }

    fn serve(&mut self, job: Job) {
        match job {
            Job::Claim(claim) => {
                if !self.is_answered(&claim) {
                    self.waiting.push(claim);
                }
            }
            Job::LookUp { lookup, key, fingerprint } => self.look_up(lookup, &key, fingerprint),
            Job::Release(release) => {
                self.unshared.push_back(release);
                self.drop_surplus_result();
                self.share_ends();
            }
            Job::SetWindow(window) => self.folder.window = window,
        }
    }

    fn look_up(&mut self, lookup: LookupId, key: &str, fingerprint: Fingerprint) {
        let run = self.folder.look_up(key, fingerprint).unwrap_or_else(|e| {
            self.log_failure("look-up", &e);
            RecordedRun::Unknown
        });
        let _ = self.inputs.send(Input::RunLookedUp { lookup, run });
    }

    /// Bounds the memory of the results that wait to be shared: the other process then learns that the run has ended.
    fn drop_surplus_result(&mut self) {
        let surplus = self.unshared.len().checked_sub(MAX_UNSHARED_RESULTS + 1);
        if let Some(release) = surplus.and_then(|index| self.unshared.get_mut(index)) {
            release.outcome = release.outcome.take().map(|_| RunOutcome::Failed);
        }
    }

    /// Shares the ends of runs until one can't be written; that one is tried again after the others.
    fn share_ends(&mut self) {
        while let Some(Release { key, fingerprint, outcome }) = self.unshared.front() {
            if let Err(e) = self.folder.release(key, *fingerprint, outcome.clone()) {
                self.unshared.rotate_left(1);
                return self.log_failure("outcome", &e);
            }
            self.unshared.pop_front();
        }
    }

    /// Retries all waiting claims.
    fn poll(&mut self) {
        let mut waiting = std::mem::take(&mut self.waiting);
        waiting.retain(|claim| !self.is_answered(claim));
        self.waiting = waiting;
        self.last_poll = Instant::now();
    }

    /// Tries a claim and answers it, unless another process's run is in progress and the claim's deadline has not
    /// passed.
    fn is_answered(&mut self, pending: &PendingClaim) -> bool {
        let claim = match self.folder.claim(&pending.key, pending.fingerprint) {
            Ok(ClaimAttempt::Claimed) => RunClaim::Ours,
            Ok(ClaimAttempt::Ended(outcome)) => RunClaim::Ended(outcome),
            Ok(ClaimAttempt::InProgress) if Instant::now() < pending.deadline => return false,
            Ok(ClaimAttempt::InProgress) => RunClaim::Ended(RunOutcome::Failed),
            Ok(ClaimAttempt::Unavailable(e)) => {
                self.log_failure("claim", &e);
                RunClaim::Unavailable
            }
            Err(e) => {
                self.log_failure("claim", &e);
                RunClaim::Unknown
            }
        };
        // If the queue of inputs is closed, the queue of jobs will be closed too.
        let _ = self.inputs.send(Input::RunClaimed { id: pending.id.clone(), claim });
        true
    }

    fn log_failure(&mut self, operation: &str, error: &io::Error) {
        if !std::mem::replace(&mut self.failure_logged, true) {
            warn!(self.log, "can't share keyed runs with the other process of an upgrade";
                  "operation" => operation, "error" => %error);
        }
    }
}
