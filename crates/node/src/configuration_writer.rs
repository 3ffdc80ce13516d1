//! The thread that writes the last good configuration to disk; callers never wait for the disk.
//!
//! It queues the newest state and at most `MAX_PENDING_COMMITS` commits that led to it; if the disk is slower than the
//! commits, one snapshot replaces them. A failure is reported once per reason and the write is retried; serving doesn't
//! depend on it.

use gradepin_config::{Commit, Snapshot};
use gradepin_core::configuration::ConfigurationSaveResult;
use gradepin_store::configuration::{ConfigurationStore, ConfigurationStoreError};
use std::collections::VecDeque;
use std::io;
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::thread::{self, JoinHandle};
use std::time::Duration;

const STACK_BYTES: usize = 256 * 1024;
/// Commits that can wait for the disk; if there are more, a snapshot replaces them.
const MAX_PENDING_COMMITS: usize = 256;
/// Pause between attempts to write to a failing disk.
pub const RETRY_INTERVAL: Duration = Duration::from_secs(5);

#[derive(Default)]
struct Pending {
    /// The newest state; `None` after it is written.
    state: Option<Snapshot>,
    /// The last commits that led to the state, without gaps.
    commits: VecDeque<Arc<Commit>>,
    closed: bool,
}

#[derive(Default)]
struct Shared {
    pending: Mutex<Pending>,
    changed: Condvar,
}

impl Shared {
    fn pending(&self) -> MutexGuard<'_, Pending> {
        self.pending.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// The main thread's handle to the writer. Dropping it waits until the newest state is written or its write has failed.
pub struct ConfigurationWriter {
    shared: Arc<Shared>,
    thread: Option<JoinHandle<()>>,
}

impl ConfigurationWriter {
    /// Starts the thread, which calls `report` with each success and each new failure, and retries after `retry`.
    pub fn start(
        store: ConfigurationStore,
        retry: Duration,
        report: impl FnMut(ConfigurationSaveResult) + Send + 'static,
    ) -> io::Result<Self> {
        let shared = Arc::new(Shared::default());
        let writer_shared = Arc::clone(&shared);
        let run = move || write_all(&writer_shared, store, retry, report);
        let thread = thread::Builder::new().name("config".into()).stack_size(STACK_BYTES).spawn(run)?;
        Ok(Self { shared, thread: Some(thread) })
    }

    /// Queues a state and the commit that led to it from the previous one; `None` if it was not reached by one commit.
    pub fn save(&self, state: Snapshot, commit: Option<Arc<Commit>>) {
        let mut pending = self.shared.pending();
        match commit {
            Some(commit) => {
                let follows = |last: &Arc<Commit>| commit.revision == last.revision.next();
                if pending.commits.len() >= MAX_PENDING_COMMITS || !pending.commits.back().is_none_or(follows)
                {
                    pending.commits.clear();
                }
                pending.commits.push_back(commit);
            }
            None => pending.commits.clear(),
        }
        pending.state = Some(state);
        self.shared.changed.notify_all();
    }
}

impl Drop for ConfigurationWriter {
    fn drop(&mut self) {
        self.shared.pending().closed = true;
        self.shared.changed.notify_all();
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

fn write_all(
    shared: &Shared,
    mut store: ConfigurationStore,
    retry: Duration,
    mut report: impl FnMut(ConfigurationSaveResult),
) {
    let mut reported_failure = String::new();
    loop {
        let mut pending = shared.pending();
        while pending.state.is_none() && !pending.closed {
            pending = shared.changed.wait(pending).unwrap_or_else(PoisonError::into_inner);
        }
        let Some(state) = pending.state.take() else { return };
        let commits = std::mem::take(&mut pending.commits);
        drop(pending);
        match write(&mut store, &state, &commits) {
            Ok(()) => {
                reported_failure.clear();
                report(ConfigurationSaveResult::Durable(state.version().revision));
            }
            Err(error) => {
                let reason = error.reason();
                if reason != reported_failure {
                    report(ConfigurationSaveResult::Failed { reason: error.to_string() });
                    reported_failure = reason;
                }
                if !wait_to_retry(shared, state, retry) {
                    return;
                }
            }
        }
    }
}

/// Waits before the write of a state is retried; a newer state may replace it meanwhile. False if the writer was
/// dropped.
fn wait_to_retry(shared: &Shared, state: Snapshot, retry: Duration) -> bool {
    let mut pending = shared.pending();
    if pending.state.is_none() {
        pending.state = Some(state);
    }
    let waiting = |pending: &mut Pending| !pending.closed;
    let (pending, _) =
        shared.changed.wait_timeout_while(pending, retry, waiting).unwrap_or_else(PoisonError::into_inner);
    !pending.closed
}

fn write(
    store: &mut ConfigurationStore,
    state: &Snapshot,
    commits: &VecDeque<Arc<Commit>>,
) -> Result<(), ConfigurationStoreError> {
    let follows = commits.front().is_some_and(|first| first.revision == store.last().next());
    if !follows {
        return store.save(state);
    }
    for commit in commits {
        if store.wants_snapshot() {
            return store.save(state);
        }
        store.append(commit)?;
    }
    Ok(())
}

#[cfg(test)]
mod tests;
