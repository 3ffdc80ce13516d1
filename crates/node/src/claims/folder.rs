//! The folder of claims: creates, reads and removes its files, whose meaning is in the table of [`super`].
//!
//! Invariant: the content of a file changes atomically from one state of that table to the next.

use gradepin_core::buffer_pool::{BUFFER_BYTES, BufferPool};
use gradepin_core::idempotency_table::{Fingerprint, MAX_READ_DELAY, RunOutcome};
use gradepin_core::messages::RecordedRun;
use siphasher::sip128::{Hasher128, SipHasher13};
use std::collections::{HashMap, VecDeque};
use std::fs::{self, File, OpenOptions, Permissions};
use std::hash::Hasher;
use std::io::{self, ErrorKind, Write};
use std::os::unix::fs::{OpenOptionsExt, PermissionsExt};
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::time::{Duration, Instant, SystemTime};

/// Memory that an empty file uses.
pub(super) const FILE_BYTES: usize = 1024;
/// Unit in which files with content use memory.
const PAGE_BYTES: usize = 4096;
/// Claims use at most the memory divided by this number.
pub(super) const CLAIMS_MEMORY_DIVISOR: usize = 16;
/// Claims of other processes that are kept until their window has passed by the monotonic clock, as a multiple of the claims
/// of this process. Beyond that, those that have expired by the wall clock are removed.
const MAX_OTHER_CLAIMS_MULTIPLE: usize = 4;
/// Results use at most the memory divided by this number.
const RESULTS_MEMORY_DIVISOR: usize = 16;
const OPEN_MODE: u32 = 0o600;
const ENDED_MODE: u32 = 0o400;
const MODE_BITS: u32 = 0o777;
const SALT_FILE: &str = "salt";
const ALIVE_PREFIX: &str = "alive.";
const DRAFT_PREFIX: &str = "draft.";
/// In the name of the folder, a longer server name is replaced by its digest.
const MAX_PLAIN_NAME_BYTES: usize = 64;

/// Settings of the claims of one process.
#[derive(Debug, Clone)]
pub struct ClaimsSettings {
    /// The folder, which is created if it doesn't exist.
    pub folder: PathBuf,
    /// Identifies this process among those that share the folder.
    pub seed: u64,
    /// Memory limit of the process, in bytes.
    pub memory: usize,
}

impl ClaimsSettings {
    /// Settings of the server `name`, whose folder is created in `shared`, a folder that both processes can use. A name
    /// that is no plain file name, or too long for one, is replaced by its digest: a server called `../n1` would use a
    /// folder elsewhere, and a folder for a name of 250 bytes could not be created, so every claim would fail.
    pub fn new(shared: &Path, name: &str, seed: u64, memory: usize) -> Self {
        let is_plain = |b: u8| b.is_ascii_alphanumeric() || matches!(b, b'-' | b'_' | b'.');
        let name = if name.len() <= MAX_PLAIN_NAME_BYTES && name.bytes().all(is_plain) {
            name.to_string()
        } else {
            blake3::hash(name.as_bytes()).to_hex().to_string()
        };
        Self { folder: shared.join(format!("gradepin.{name}.keys")), seed, memory }
    }
}

/// Result of an attempt to claim a key.
#[derive(Debug)]
pub(super) enum ClaimAttempt {
    /// The key is claimed by this process.
    Claimed,
    /// The other process's run is in progress, or its claim was just removed.
    InProgress,
    /// The other process's run ended with this outcome.
    Ended(RunOutcome),
    /// No process has claimed the key, and this one can't, for this reason.
    Unavailable(io::Error),
}

/// A result that this process wrote.
struct WrittenResult {
    file_name: String,
    /// Size of the result, rounded up to pages.
    bytes: usize,
}

/// The open folder and the claims of this process in it. Dropping it removes the `alive` file.
pub(super) struct ClaimFolder {
    folder: PathBuf,
    /// The `alive` file, locked until this process exits.
    _alive_lock: File,
    alive_name: String,
    /// Hash key of the file names and fingerprints of all processes.
    pub(super) salt: u64,
    /// The longest time during which a key may be repeated.
    pub(super) window: Duration,
    /// Claims of this process by file name, with the time of each.
    pub(super) own: HashMap<String, Instant>,
    /// Claims of other processes by file name, with the time at which each was first seen. Their files tell their age by
    /// the wall clock only, which may have been set since.
    others: HashMap<String, Instant>,
    max_claims: usize,
    /// Results of this process, oldest first.
    results: VecDeque<WrittenResult>,
    /// Total size of `results`.
    pub(super) result_bytes: usize,
    pub(super) max_result_bytes: usize,
    pool: Arc<BufferPool>,
}

impl ClaimFolder {
    /// Opens the folder, creating it if needed, and removes expired files.
    pub(super) fn open(
        settings: &ClaimsSettings,
        window: Duration,
        pool: Arc<BufferPool>,
    ) -> io::Result<Self> {
        let ClaimsSettings { folder, seed, memory } = settings.clone();
        fs::create_dir_all(&folder)?;
        let salt = salt(&folder, seed)?;
        let alive_name = format!("{ALIVE_PREFIX}{seed:016x}");
        // The file is locked before it gets its final name: otherwise the other process could consider this one dead.
        let draft = folder.join(format!("{DRAFT_PREFIX}{alive_name}"));
        let lock = File::create(&draft)?;
        lock.try_lock().map_err(io::Error::from)?;
        fs::rename(draft, folder.join(&alive_name))?;
        let mut opened = Self {
            folder,
            _alive_lock: lock,
            alive_name,
            salt,
            window,
            own: HashMap::new(),
            others: HashMap::new(),
            max_claims: memory / CLAIMS_MEMORY_DIVISOR / FILE_BYTES,
            results: VecDeque::new(),
            result_bytes: 0,
            max_result_bytes: memory / RESULTS_MEMORY_DIVISOR,
            pool,
        };
        opened.clean_up(Instant::now())?;
        Ok(opened)
    }

    /// The file name of an idempotency key.
    fn file_name(&self, key: &str) -> String {
        let mut hasher = SipHasher13::new_with_keys(self.salt, !self.salt);
        hasher.write(key.as_bytes());
        format!("{:032x}", hasher.finish128().as_u128())
    }

    /// Claims a key, or reads the other process's claim of it, also if this process can make no claim.
    pub(super) fn claim(&mut self, key: &str, fingerprint: Fingerprint) -> io::Result<ClaimAttempt> {
        let name = self.file_name(key);
        if self.own.contains_key(&name) {
            // The key ran here and its window has passed: otherwise the reducer would have answered with that outcome.
            self.forget(&name)?;
        }
        let reason = match self.create(&name) {
            Ok(()) => {
                self.own.insert(name, Instant::now());
                return Ok(ClaimAttempt::Claimed);
            }
            Err(reason) => reason,
        };
        match self.read(&name, fingerprint)? {
            RecordedRun::Ended(outcome) => Ok(ClaimAttempt::Ended(outcome)),
            RecordedRun::InProgress => Ok(ClaimAttempt::InProgress),
            // The run never started, and the file was just removed: the next attempt claims the key.
            RecordedRun::None if reason.kind() == ErrorKind::AlreadyExists => Ok(ClaimAttempt::InProgress),
            RecordedRun::None => Ok(ClaimAttempt::Unavailable(reason)),
            RecordedRun::Unknown => Err(reason),
        }
    }

    /// Creates the file of a claim, unless the claims of this process use their memory up.
    fn create(&self, name: &str) -> io::Result<()> {
        if self.own.len() >= self.max_claims {
            return Err(io::Error::other("the memory for claims of keyed runs is full"));
        }
        let path = self.folder.join(name);
        OpenOptions::new().write(true).create_new(true).mode(OPEN_MODE).open(path).map(drop)
    }

    /// Reads what the processes have recorded about the run of a key, without claiming it.
    pub(super) fn look_up(&self, key: &str, fingerprint: Fingerprint) -> io::Result<RecordedRun> {
        self.read(&self.file_name(key), fingerprint)
    }

    fn read(&self, name: &str, fingerprint: Fingerprint) -> io::Result<RecordedRun> {
        let path = self.folder.join(name);
        let read = fs::metadata(&path).and_then(|meta| Ok((meta, fs::read(&path)?)));
        let (meta, bytes) = match read {
            Ok(read) => read,
            Err(e) if e.kind() == ErrorKind::NotFound => return self.confirm_absence(),
            Err(e) => return Err(e),
        };
        let has_ended = meta.permissions().mode() & MODE_BITS == ENDED_MODE;
        let Some((written_fingerprint, result)) = bytes.split_first_chunk() else {
            let run =
                if has_ended { RecordedRun::Ended(RunOutcome::Failed) } else { RecordedRun::InProgress };
            return Ok(run);
        };
        // A client that knows another client's key must not get the result of that client's request.
        let is_same_request = Fingerprint::from_le_bytes(*written_fingerprint) == fingerprint;
        let is_usable = is_same_request && result.len() <= BUFFER_BYTES;
        let result = is_usable.then(|| self.pool.exact(result)).flatten();
        let outcome = result.map_or(RunOutcome::Failed, |result| RunOutcome::Served(Arc::new(result)));
        Ok(RecordedRun::Ended(outcome))
    }

    /// A file that is absent means that no process has started the run, unless the folder itself is gone.
    fn confirm_absence(&self) -> io::Result<RecordedRun> {
        fs::metadata(self.folder.join(SALT_FILE)).map(|_| RecordedRun::None)
    }

    /// Removes a claim of this process.
    fn forget(&mut self, name: &str) -> io::Result<()> {
        self.own.remove(name);
        match fs::remove_file(self.folder.join(name)) {
            Err(e) if e.kind() != ErrorKind::NotFound => Err(e),
            _ => Ok(()),
        }
    }

    /// Writes the outcome of a run; `None` if the run never started. Does nothing for a key that this process did not
    /// claim: the other process writes that outcome.
    pub(super) fn release(
        &mut self,
        key: &str,
        fingerprint: Fingerprint,
        outcome: Option<RunOutcome>,
    ) -> io::Result<()> {
        let name = self.file_name(key);
        if !self.own.contains_key(&name) {
            return Ok(());
        }
        match outcome {
            None => self.forget(&name),
            Some(RunOutcome::Served(result)) => self.write_result(name, fingerprint, &result),
            Some(RunOutcome::Failed | RunOutcome::Unknown) => end_without_result(&self.folder.join(name)),
        }
    }

    fn write_result(&mut self, name: String, fingerprint: Fingerprint, result: &[u8]) -> io::Result<()> {
        let draft = self.folder.join(format!("{DRAFT_PREFIX}{}", self.alive_name));
        let mut file =
            OpenOptions::new().write(true).create(true).truncate(true).mode(OPEN_MODE).open(&draft)?;
        file.write_all(&fingerprint.to_le_bytes())?;
        file.write_all(result)?;
        fs::rename(draft, self.folder.join(&name))?;
        let bytes = (result.len() + size_of::<Fingerprint>()).next_multiple_of(PAGE_BYTES);
        self.result_bytes += bytes;
        self.results.push_back(WrittenResult { file_name: name, bytes });
        self.drop_oldest_results()
    }

    /// Drops the oldest results until the rest is within its memory limit.
    fn drop_oldest_results(&mut self) -> io::Result<()> {
        while self.result_bytes > self.max_result_bytes {
            let Some(oldest) = self.results.pop_front() else { break };
            self.result_bytes -= oldest.bytes;
            if self.own.contains_key(&oldest.file_name) {
                end_without_result(&self.folder.join(oldest.file_name))?;
            }
        }
        Ok(())
    }

    /// Removes files whose window has passed, and ends the open claims of dead processes.
    pub(super) fn clean_up(&mut self, now: Instant) -> io::Result<()> {
        let mut is_alone = true;
        let mut open_claims = Vec::new();
        let mut others = HashMap::new();
        for entry in fs::read_dir(&self.folder)? {
            let entry = entry?;
            let name = entry.file_name().to_string_lossy().into_owned();
            if name == SALT_FILE || name.starts_with(DRAFT_PREFIX) {
                continue;
            }
            if name.starts_with(ALIVE_PREFIX) {
                is_alone &= name == self.alive_name || remove_if_dead(&entry.path())?;
                continue;
            }
            let Ok(meta) = entry.metadata() else { continue };
            let claimed_at = self.own.get(&name).or_else(|| self.others.get(&name)).copied();
            if self.has_expired(now, claimed_at.unwrap_or(now), meta.modified()?) {
                self.forget(&name)?;
                continue;
            }
            if self.own.contains_key(&name) {
                continue;
            }
            if meta.len() == 0 && meta.permissions().mode() & MODE_BITS == OPEN_MODE {
                open_claims.push(entry.path());
            }
            others.insert(name, claimed_at.unwrap_or(now));
        }
        self.others = others;
        self.forget_removed_results();
        // The claims of a process that started meanwhile are not affected: it locked its `alive` file before it claimed
        // anything, so it was counted above.
        if is_alone {
            open_claims.iter().try_for_each(|path| end_without_result(path))?;
        }
        Ok(())
    }

    /// Whether the window of a claim has passed since it was made or first seen. If there are too many claims of other
    /// processes, the time of its file by the wall clock counts too.
    fn has_expired(&self, now: Instant, claimed_at: Instant, modified: SystemTime) -> bool {
        let retention = self.window + Duration::from_nanos(MAX_READ_DELAY.0);
        let trusts_wall_clock = self.others.len() > self.max_claims * MAX_OTHER_CLAIMS_MULTIPLE;
        let wall_age = || SystemTime::now().duration_since(modified).unwrap_or_default();
        now.duration_since(claimed_at) > retention || (trusts_wall_clock && wall_age() > retention)
    }

    /// Stops counting results whose claims were removed.
    fn forget_removed_results(&mut self) {
        while self.results.front().is_some_and(|oldest| !self.own.contains_key(&oldest.file_name)) {
            self.result_bytes -= self.results.pop_front().map_or(0, |oldest| oldest.bytes);
        }
    }
}

impl Drop for ClaimFolder {
    fn drop(&mut self) {
        let _ = fs::remove_file(self.folder.join(&self.alive_name));
    }
}

/// Marks a claim as ended without a result.
fn end_without_result(path: &Path) -> io::Result<()> {
    // The mode is set first, because an empty file of mode 0600 means that the run is in progress.
    let ended = OpenOptions::new().write(true).open(path).and_then(|file| {
        file.set_permissions(Permissions::from_mode(ENDED_MODE))?;
        file.set_len(0)
    });
    match ended {
        // The claim was removed or has already ended.
        Err(e) if matches!(e.kind(), ErrorKind::NotFound | ErrorKind::PermissionDenied) => Ok(()),
        result => result,
    }
}

/// Whether the process of an `alive` file is dead; if so, removes the file.
fn remove_if_dead(path: &Path) -> io::Result<bool> {
    let file = match File::open(path) {
        Ok(file) => file,
        Err(e) if e.kind() == ErrorKind::NotFound => return Ok(true),
        Err(e) => return Err(e),
    };
    // A shared lock, so that two processes that check at the same time don't take each other for the live owner.
    if file.try_lock_shared().is_err() {
        return Ok(false);
    }
    let _ = fs::remove_file(path);
    Ok(true)
}

/// Reads the folder's salt, which the first process creates.
fn salt(folder: &Path, seed: u64) -> io::Result<u64> {
    let path = folder.join(SALT_FILE);
    let draft = folder.join(format!("{DRAFT_PREFIX}{SALT_FILE}.{seed:016x}"));
    fs::write(&draft, seed.to_le_bytes())?;
    // Atomic, and fails if another process created the salt first.
    let linked = fs::hard_link(&draft, &path);
    fs::remove_file(&draft)?;
    match linked {
        Err(e) if e.kind() != ErrorKind::AlreadyExists => return Err(e),
        _ => {}
    }
    let bytes = fs::read(&path)?;
    let bytes = bytes.try_into().map_err(|_| io::Error::other("expected eight bytes in the file 'salt'"))?;
    Ok(u64::from_le_bytes(bytes))
}
