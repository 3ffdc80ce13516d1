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

use crossbeam_channel::{Receiver, RecvTimeoutError, Sender, unbounded};
use gradepin_core::keys::{End, Print, READ_LATE};
use gradepin_core::messages::{Claim, Input};
use gradepin_core::pool::{Pool, SIZE};
use gradepin_decisions::{RequestId, Span};
use siphasher::sip128::{Hasher128, SipHasher13};
use slog::{Logger, warn};
use std::collections::{HashMap, VecDeque};
use std::fs::{self, File, OpenOptions, Permissions};
use std::hash::Hasher;
use std::io::{self, ErrorKind, Write};
use std::os::unix::fs::{OpenOptionsExt, PermissionsExt};
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant, SystemTime};

const STACK: usize = 64 * 1024;
/// Between looks at claims of the other process that runs here wait for.
const POLL: Duration = Duration::from_millis(10);
/// Between looks for files whose time is over, and for processes that have ended.
const TIDY: Duration = Duration::from_secs(2);
/// What an empty file takes of the memory, and the page in which bytes come.
const FILE_BYTES: usize = 1024;
const PAGE: usize = 4096;
/// Parts of the memory for claims and for results.
const CLAIMS_PART: usize = 16;
const RESULTS_PART: usize = 16;
const OPEN_MODE: u32 = 0o600;
const ENDED_MODE: u32 = 0o400;

enum Job {
    Claim { id: RequestId, token: Arc<str>, print: Print, until: Instant },
    Ended { token: Arc<str>, print: Print, end: Option<End> },
    Window(Duration),
}

/// The claims, as the reducer's effects see them.
pub struct Claims {
    // Without a bound of its own: a job a keyed request that the reducer holds open, and those are bounded.
    jobs: Sender<Job>,
    thread: JoinHandle<()>,
    salt: u64,
}

impl Claims {
    /// Shares keyed runs in this folder from now on. `memory` is the process's, in bytes; `window` the longest in
    /// which a token may come again.
    pub fn start(
        folder: PathBuf,
        seed: u64,
        memory: usize,
        window: Span,
        inputs: Sender<Input>,
        pool: Arc<Pool>,
        log: Logger,
    ) -> io::Result<Self> {
        let mut files = Files::open(folder, seed, memory, Duration::from_nanos(window.0), pool)?;
        let salt = files.salt;
        let (jobs, queue) = unbounded();
        let run = move || serve(&mut files, &queue, &inputs, &log);
        let thread = thread::Builder::new().name("claims".into()).stack_size(STACK).spawn(run)?;
        Ok(Self { jobs, thread, salt })
    }

    /// The key of the prints of all processes that share the folder.
    pub fn salt(&self) -> u64 {
        self.salt
    }

    /// Says whose the run of a token is, by an input; waits for so long for the end of another process's.
    pub fn claim(&self, id: RequestId, token: Arc<str>, print: Print, patience: Span) {
        let until = Instant::now() + Duration::from_nanos(patience.0);
        let _ = self.jobs.send(Job::Claim { id, token, print, until });
    }

    /// A run that was claimed here has its end, or with none never began.
    pub fn ended(&self, token: Arc<str>, print: Print, end: Option<End>) {
        let _ = self.jobs.send(Job::Ended { token, print, end });
    }

    /// The longest window has changed.
    pub fn window(&self, window: Span) {
        let _ = self.jobs.send(Job::Window(Duration::from_nanos(window.0)));
    }

    /// Writes all that was told; to be called before the process ends, or the next one waits for ends that never come.
    pub fn close(self) {
        drop(self.jobs);
        let _ = self.thread.join();
    }
}

struct Waiting {
    id: RequestId,
    token: Arc<str>,
    print: Print,
    until: Instant,
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
                Ok(None) => Claim::Ended(End::Failed),
                Err(why) => {
                    failed("claim", &why);
                    Claim::Unsure
                }
            };
            // Where nobody listens any more, the queue has ended too.
            let _ = inputs.send(Input::Claimed(wait.id.clone(), claim));
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

/// The folder, and what of it is this process's own.
struct Files {
    folder: PathBuf,
    /// Held locked for as long as this process lives.
    _alive: File,
    alive: String,
    salt: u64,
    window: Duration,
    own: HashMap<String, SystemTime>,
    most: usize,
    /// Own results, oldest first, and the bytes that they take and may take.
    results: VecDeque<(String, usize)>,
    bytes: usize,
    most_bytes: usize,
    pool: Arc<Pool>,
}

impl Files {
    fn open(
        folder: PathBuf,
        seed: u64,
        memory: usize,
        window: Duration,
        pool: Arc<Pool>,
    ) -> io::Result<Self> {
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
    fn claim(&mut self, token: &str, print: Print) -> io::Result<Option<Claim>> {
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
                return Ok(Some(Claim::Ours));
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
            return Ok(ended.then_some(Claim::Ended(End::Failed)));
        };
        // Guards against a stranger who learnt a token: its request would be served another's result.
        let same = Print::from_le_bytes(*theirs) == print && result.len() <= SIZE;
        let result = same.then(|| self.pool.exact(result)).flatten();
        Ok(Some(Claim::Ended(result.map_or(End::Failed, |result| End::Served(Arc::new(result))))))
    }

    fn forget(&mut self, name: &str) -> io::Result<()> {
        self.own.remove(name);
        match fs::remove_file(self.folder.join(name)) {
            Err(why) if why.kind() != ErrorKind::NotFound => Err(why),
            _ => Ok(()),
        }
    }

    fn ended(&mut self, token: &str, print: Print, end: Option<End>) -> io::Result<()> {
        let name = self.name(token);
        if !self.own.contains_key(&name) {
            // The other process's, which tells its end itself.
            return Ok(());
        }
        match end {
            None => self.forget(&name),
            Some(End::Served(result)) => {
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
                let bytes = (result.len() + size_of::<Print>()).next_multiple_of(PAGE);
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
            Some(End::Failed | End::Unknown) => without_result(&self.folder.join(name)),
        }
    }

    /// Removes what no try can ask for any more, and ends what a process left open that lives no longer.
    fn tidy(&mut self, now: SystemTime) -> io::Result<()> {
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

#[cfg(test)]
mod tests {
    use super::*;
    use std::sync::atomic::{AtomicU64, Ordering};

    const WINDOW: Duration = Duration::from_secs(12);
    const MEMORY: usize = 64 << 20;

    /// A folder of the test's own, removed at its end.
    struct Folder(PathBuf);

    impl Folder {
        fn new() -> Self {
            static NUMBER: AtomicU64 = AtomicU64::new(0);
            let n = NUMBER.fetch_add(1, Ordering::SeqCst);
            Self(std::env::temp_dir().join(format!("gradepin-claims-{}-{n}", std::process::id())))
        }

        fn process(&self, seed: u64, memory: usize) -> Files {
            Files::open(self.0.clone(), seed, memory, WINDOW, Pool::new(4)).expect("a folder")
        }
    }

    impl Drop for Folder {
        fn drop(&mut self) {
            let _ = fs::remove_dir_all(&self.0);
        }
    }

    fn served(text: &str) -> Option<End> {
        Some(End::Served(Arc::new(Pool::new(1).exact(text.as_bytes()).expect("it fits"))))
    }

    fn told(files: &mut Files, token: &str, print: Print) -> String {
        match files.claim(token, print).expect("a claim") {
            None => "goes on".into(),
            Some(Claim::Ours) => "ours".into(),
            Some(Claim::Ended(End::Served(result))) => String::from_utf8_lossy(&result).into_owned(),
            Some(claim) => format!("{claim:?}"),
        }
    }

    /// Guards the rule on runs with effects across an upgrade: a token runs in one of the two processes, the other is
    /// told its end, takes it over where it came to nothing, and gets no result for another body.
    #[test]
    fn a_token_runs_in_one_process_and_the_other_is_told_its_end() {
        let folder = Folder::new();
        let (mut old, mut new) = (folder.process(1, MEMORY), folder.process(2, MEMORY));
        assert_eq!(old.salt, new.salt);
        assert_eq!((told(&mut old, "t", 7), told(&mut new, "t", 7)), ("ours".into(), "goes on".into()));
        new.ended("t", 7, None).expect("not its own");
        assert_eq!(told(&mut new, "t", 7), "goes on");
        old.ended("t", 7, served("done")).expect("written");
        assert_eq!(told(&mut new, "t", 7), "done");
        assert_eq!(told(&mut new, "t", 8), "Ended(Failed)");
        assert_eq!((told(&mut old, "u", 7), told(&mut new, "u", 7)), ("ours".into(), "goes on".into()));
        old.ended("u", 7, None).expect("given back");
        assert_eq!((told(&mut new, "u", 7), told(&mut old, "u", 7)), ("ours".into(), "goes on".into()));
        new.ended("u", 7, Some(End::Failed)).expect("written");
        assert_eq!(told(&mut old, "u", 7), "Ended(Failed)");
    }

    /// Guards against claims that outlive their process: one that was killed leaves runs whose end nobody tells, and
    /// they must end here without a second run; those of a process that lives are left alone.
    #[test]
    fn what_a_dead_process_left_open_has_ended_and_what_a_living_one_runs_goes_on() {
        let folder = Folder::new();
        let (mut old, mut new) = (folder.process(1, MEMORY), folder.process(2, MEMORY));
        assert_eq!(told(&mut old, "t", 7), "ours");
        new.tidy(SystemTime::now()).expect("tidied");
        assert_eq!(told(&mut new, "t", 7), "goes on");
        drop(old);
        new.tidy(SystemTime::now()).expect("tidied");
        assert_eq!(told(&mut new, "t", 7), "Ended(Failed)");
    }

    /// Guards the memory: files go once no try can ask for them, results keep to their part of it, and past the
    /// bound a claim is refused and not made.
    #[test]
    fn claims_and_results_are_bounded_and_go_with_their_window() {
        let folder = Folder::new();
        let (mut old, mut new) = (folder.process(1, 1 << 20), folder.process(2, 1 << 20));
        let most = (1 << 20) / CLAIMS_PART / FILE_BYTES;
        for n in 0..most {
            let token = format!("t{n}");
            assert_eq!(told(&mut old, &token, 7), "ours");
            old.ended(&token, 7, served(&"x".repeat(3_000))).expect("written");
        }
        assert!(old.claim("more", 7).is_err());
        assert!(old.bytes <= old.most_bytes, "{} bytes of {}", old.bytes, old.most_bytes);
        assert_eq!(told(&mut new, "t0", 7), "Ended(Failed)", "the oldest results went first");
        assert_eq!(told(&mut new, &format!("t{}", most - 1), 7).len(), 3_000);
        let late = Duration::from_nanos(READ_LATE.0);
        old.tidy(SystemTime::now() + WINDOW + late - Duration::from_secs(1)).expect("tidied");
        assert_eq!(old.own.len(), most);
        old.tidy(SystemTime::now() + WINDOW + late + Duration::from_secs(1)).expect("tidied");
        assert_eq!((old.own.len(), old.bytes), (0, 0));
        assert_eq!(told(&mut new, "t0", 7), "ours");
    }
}
