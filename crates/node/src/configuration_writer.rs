//! The thread that writes the last good configuration. Who hands states in never waits for the disk.
//!
//! It holds the newest state and at most [`MAX_COMMITS`] commits that led to it; what it can't keep up with is written as
//! one snapshot. A failure is told once for each reason and tried again: serving does not depend on it.

use gradepin_config::{Commit, Snapshot};
use gradepin_core::configuration::ConfigurationSaveResult;
use gradepin_store::configuration::{ConfigurationStore, ConfigurationStoreError};
use std::collections::VecDeque;
use std::io;
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::thread::{self, JoinHandle};
use std::time::Duration;

/// Encoding nests little; snapshots are on the heap.
const STACK: usize = 256 * 1024;
/// Commits that wait for the disk, at the most; a snapshot replaces more.
const MAX_COMMITS: usize = 256;
/// Between tries on a disk that fails.
pub const RETRY: Duration = Duration::from_secs(5);

#[derive(Default)]
struct Pending {
    /// The newest state, where it is not written yet.
    state: Option<Snapshot>,
    /// The last commits that led to it, without gaps.
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

/// The thread, as the server sees it. Dropped, it writes what was handed in and ends.
pub struct ConfigurationWriter {
    shared: Arc<Shared>,
    thread: Option<JoinHandle<()>>,
}

impl ConfigurationWriter {
    /// Starts the thread; `told` hears on it what became of each write.
    pub fn start(
        store: ConfigurationStore,
        retry: Duration,
        told: impl FnMut(ConfigurationSaveResult) + Send + 'static,
    ) -> io::Result<Self> {
        let shared = Arc::new(Shared::default());
        let ours = Arc::clone(&shared);
        let run = move || write_all(&ours, store, retry, told);
        let thread = thread::Builder::new().name("config".into()).stack_size(STACK).spawn(run)?;
        Ok(Self { shared, thread: Some(thread) })
    }

    /// Hands in a state, and the commit that led to it from the one before; none for a state that came otherwise.
    pub fn hand_in(&self, state: Snapshot, commit: Option<Arc<Commit>>) {
        let mut pending = self.shared.pending();
        match commit {
            Some(commit) => {
                let follows = |last: &Arc<Commit>| commit.revision == last.revision.next();
                if pending.commits.len() >= MAX_COMMITS || !pending.commits.back().is_none_or(follows) {
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
    mut told: impl FnMut(ConfigurationSaveResult),
) {
    let mut last_failure = String::new();
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
                last_failure.clear();
                told(ConfigurationSaveResult::Durable(state.version().revision));
            }
            Err(error) => {
                let reason = error.reason();
                if reason != last_failure {
                    told(ConfigurationSaveResult::Failed { reason: error.to_string() });
                    last_failure = reason;
                }
                if !put_back(shared, state, retry) {
                    return;
                }
            }
        }
    }
}

/// What failed is tried again later, unless a newer state was handed in meanwhile. False at the end of the server.
fn put_back(shared: &Shared, state: Snapshot, retry: Duration) -> bool {
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
