//! The folder of claims: files made, read and removed. Which file means what stands in [`super`].

use gradepin_core::buffer_pool::{BUFFER_BYTES, BufferPool};
use gradepin_core::idempotency_table::{Fingerprint, READ_LATE, RunOutcome};
use gradepin_core::messages::RunClaim;
use siphasher::sip128::{Hasher128, SipHasher13};
use std::collections::{HashMap, VecDeque};
use std::fs::{self, File, OpenOptions, Permissions};
use std::hash::Hasher;
use std::io::{self, ErrorKind, Write};
use std::os::unix::fs::{OpenOptionsExt, PermissionsExt};
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::time::{Duration, SystemTime};

/// What an empty file takes of the memory, and the page in which bytes come.
pub(super) const FILE_BYTES: usize = 1024;
const PAGE: usize = 4096;
/// Parts of the memory for claims and for results.
pub(super) const CLAIMS_PART: usize = 16;
const RESULTS_PART: usize = 16;
const OPEN_MODE: u32 = 0o600;
const ENDED_MODE: u32 = 0o400;

/// Bytes of a server's name at the most that stand in the folder's name as they are.
const MAX_PLAIN_NAME: usize = 64;

/// Where the claims are, and whose.
#[derive(Debug, Clone)]
pub struct Place {
    /// The folder, made if it isn't there.
    pub folder: PathBuf,
    /// Names this process among those that share the folder.
    pub seed: u64,
    /// Of the process, in bytes.
    pub memory: usize,
}

impl Place {
    /// For a server of this name, below a folder that both processes have. A name that is no plain file name, or too long
    /// for one, is told by its digest: the folder of a server called `../n1` would stand elsewhere, and one of 250 bytes
    /// could not be made, so that no keyed run would ever be claimed.
    pub fn new(shared: &Path, name: &str, seed: u64, memory: usize) -> Self {
        let plain = |b: u8| b.is_ascii_alphanumeric() || matches!(b, b'-' | b'_' | b'.');
        let name = if name.len() <= MAX_PLAIN_NAME && name.bytes().all(plain) {
            name.to_string()
        } else {
            blake3::hash(name.as_bytes()).to_hex().to_string()
        };
        Self { folder: shared.join(format!("gradepin.{name}.keys")), seed, memory }
    }
}

/// The folder, and what of it is this process's own.
pub(super) struct Files {
    folder: PathBuf,
    /// Held locked for as long as this process lives.
    _alive: File,
    alive: String,
    pub(super) salt: u64,
    pub(super) window: Duration,
    pub(super) own: HashMap<String, SystemTime>,
    most: usize,
    /// Own results, oldest first, and the bytes that they take and may take.
    results: VecDeque<(String, usize)>,
    pub(super) bytes: usize,
    pub(super) most_bytes: usize,
    pool: Arc<BufferPool>,
}

impl Files {
    pub(super) fn open(place: &Place, window: Duration, pool: Arc<BufferPool>) -> io::Result<Self> {
        let Place { folder, seed, memory } = place.clone();
        fs::create_dir_all(&folder)?;
        let salt = salt(&folder, seed)?;
        let alive = format!("alive.{seed:016x}");
        // Locked before it has its name: one that looks in between would take its process for ended.
        let draft = folder.join(format!("draft.{alive}"));
        let lock = File::create(&draft)?;
        lock.try_lock().map_err(io::Error::from)?;
        fs::rename(draft, folder.join(&alive))?;
        let mut files = Self {
            folder,
            _alive: lock,
            alive,
            salt,
            window,
            own: HashMap::new(),
            most: memory / CLAIMS_PART / FILE_BYTES,
            results: VecDeque::new(),
            bytes: 0,
            most_bytes: memory / RESULTS_PART,
            pool,
        };
        files.tidy(SystemTime::now())?;
        Ok(files)
    }

    fn name(&self, token: &str) -> String {
        let mut hasher = SipHasher13::new_with_keys(self.salt, !self.salt);
        hasher.write(token.as_bytes());
        format!("{:032x}", hasher.finish128().as_u128())
    }

    /// Whose the run of a token is; none while another process's goes on.
    pub(super) fn claim(&mut self, token: &str, print: Fingerprint) -> io::Result<Option<RunClaim>> {
        let name = self.name(token);
        let path = self.folder.join(&name);
        if self.own.contains_key(&name) {
            // Ran here, and its window is over, or the reducer would have answered from that run.
            self.forget(&name)?;
        }
        if self.own.len() >= self.most {
            return Err(io::Error::other("more keyed runs are remembered than the memory has room for"));
        }
        let made = OpenOptions::new().write(true).create_new(true).mode(OPEN_MODE).open(&path);
        match made {
            Ok(_) => {
                self.own.insert(name, SystemTime::now());
                return Ok(Some(RunClaim::Ours));
            }
            Err(why) if why.kind() == ErrorKind::AlreadyExists => {}
            Err(why) => return Err(why),
        }
        let read = fs::metadata(&path).and_then(|meta| Ok((meta, fs::read(&path)?)));
        let (meta, bytes) = match read {
            Ok(read) => read,
            // It came to nothing just now: the next look claims it.
            Err(why) if why.kind() == ErrorKind::NotFound => return Ok(None),
            Err(why) => return Err(why),
        };
        let ended = meta.permissions().mode() & 0o777 == ENDED_MODE;
        let Some((theirs, result)) = bytes.split_first_chunk() else {
            return Ok(ended.then_some(RunClaim::Ended(RunOutcome::Failed)));
        };
        // Guards against a stranger who learnt a token: its request would be served another's result.
        let same = Fingerprint::from_le_bytes(*theirs) == print && result.len() <= BUFFER_BYTES;
        let result = same.then(|| self.pool.exact(result)).flatten();
        Ok(Some(RunClaim::Ended(
            result.map_or(RunOutcome::Failed, |result| RunOutcome::Served(Arc::new(result))),
        )))
    }

    fn forget(&mut self, name: &str) -> io::Result<()> {
        self.own.remove(name);
        match fs::remove_file(self.folder.join(name)) {
            Err(why) if why.kind() != ErrorKind::NotFound => Err(why),
            _ => Ok(()),
        }
    }

    pub(super) fn ended(
        &mut self,
        token: &str,
        print: Fingerprint,
        end: Option<RunOutcome>,
    ) -> io::Result<()> {
        let name = self.name(token);
        if !self.own.contains_key(&name) {
            // The other process's, which tells its end itself.
            return Ok(());
        }
        match end {
            None => self.forget(&name),
            Some(RunOutcome::Served(result)) => {
                // Whole or not at all: the name always stands, with one meaning or the next.
                let (path, draft) =
                    (self.folder.join(&name), self.folder.join(format!("draft.{}", self.alive)));
                let mut file = OpenOptions::new()
                    .write(true)
                    .create(true)
                    .truncate(true)
                    .mode(OPEN_MODE)
                    .open(&draft)?;
                file.write_all(&print.to_le_bytes())?;
                file.write_all(&result)?;
                fs::rename(draft, path)?;
                let bytes = (result.len() + size_of::<Fingerprint>()).next_multiple_of(PAGE);
                self.bytes += bytes;
                self.results.push_back((name, bytes));
                while self.bytes > self.most_bytes {
                    let Some((oldest, bytes)) = self.results.pop_front() else { break };
                    self.bytes -= bytes;
                    if self.own.contains_key(&oldest) {
                        without_result(&self.folder.join(oldest))?;
                    }
                }
                Ok(())
            }
            Some(RunOutcome::Failed | RunOutcome::Unknown) => without_result(&self.folder.join(name)),
        }
    }

    /// Removes what no try can ask for any more, and ends what a process left open that lives no longer.
    pub(super) fn tidy(&mut self, now: SystemTime) -> io::Result<()> {
        let keeps = self.window + Duration::from_nanos(READ_LATE.0);
        let over = |at: SystemTime| now.duration_since(at).is_ok_and(|since| since > keeps);
        let mut alone = true;
        let mut open = Vec::new();
        for entry in fs::read_dir(&self.folder)? {
            let entry = entry?;
            let name = entry.file_name().to_string_lossy().into_owned();
            if name == "salt" || name.starts_with("draft.") {
                continue;
            }
            if name.starts_with("alive.") {
                alone &= name == self.alive || gone(&entry.path())?;
                continue;
            }
            let Ok(meta) = entry.metadata() else { continue };
            let (mode, since) = (meta.permissions().mode() & 0o777, meta.modified()?);
            if over(*self.own.get(&name).unwrap_or(&since)) {
                self.forget(&name)?;
            } else if !self.own.contains_key(&name) && meta.len() == 0 && mode == OPEN_MODE {
                open.push(entry.path());
            }
        }
        while self.results.front().is_some_and(|(name, _)| !self.own.contains_key(name)) {
            self.bytes -= self.results.pop_front().map_or(0, |(_, bytes)| bytes);
        }
        // A process that just started may have claimed since: it locked its file before that, and was seen.
        if alone {
            open.iter().try_for_each(|path| without_result(path))?;
        }
        Ok(())
    }
}

impl Drop for Files {
    fn drop(&mut self) {
        let _ = fs::remove_file(self.folder.join(&self.alive));
    }
}

/// Leaves a claim as ended without a result.
fn without_result(path: &Path) -> io::Result<()> {
    // The mode first: an empty file of mode 0600 would say that its run goes on.
    let ended = OpenOptions::new().write(true).open(path).and_then(|file| {
        file.set_permissions(Permissions::from_mode(ENDED_MODE))?;
        file.set_len(0)
    });
    match ended {
        // It has ended already, or is no longer asked for.
        Err(why) if matches!(why.kind(), ErrorKind::NotFound | ErrorKind::PermissionDenied) => Ok(()),
        done => done,
    }
}

/// Whether the process of an `alive` file has ended; its file goes then.
fn gone(path: &Path) -> io::Result<bool> {
    let file = match File::open(path) {
        Ok(file) => file,
        Err(why) if why.kind() == ErrorKind::NotFound => return Ok(true),
        Err(why) => return Err(why),
    };
    // Shared, so that two that look at once don't take each other for a living owner.
    if file.try_lock_shared().is_err() {
        return Ok(false);
    }
    let _ = fs::remove_file(path);
    Ok(true)
}

/// The folder's salt, made by the process that comes first.
fn salt(folder: &Path, seed: u64) -> io::Result<u64> {
    let (path, draft) = (folder.join("salt"), folder.join(format!("draft.salt.{seed:016x}")));
    fs::write(&draft, seed.to_le_bytes())?;
    // A link is made whole or not at all.
    let linked = fs::hard_link(&draft, &path);
    fs::remove_file(&draft)?;
    match linked {
        Err(why) if why.kind() != ErrorKind::AlreadyExists => return Err(why),
        _ => {}
    }
    let bytes = fs::read(&path)?;
    let bytes = bytes.try_into().map_err(|_| io::Error::other("expected eight bytes in the file 'salt'"))?;
    Ok(u64::from_le_bytes(bytes))
}
