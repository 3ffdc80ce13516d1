use super::folder::{CLAIMS_MEMORY_DIVISOR, FILE_BYTES};
use super::*;
use crossbeam_channel::bounded;
use gradepin_core::idempotency_table::MAX_READ_DELAY;
use slog::{Discard, o};
use std::fs::{self, File};
use std::path::PathBuf;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::SystemTime;

const WINDOW: Duration = Duration::from_secs(12);
const MEMORY_BYTES: usize = 64 << 20;

/// A temporary folder of one test, removed when dropped.
struct Folder(PathBuf);

impl Folder {
    fn new() -> Self {
        static NUMBER: AtomicU64 = AtomicU64::new(0);
        let n = NUMBER.fetch_add(1, Ordering::SeqCst);
        Self(std::env::temp_dir().join(format!("gradepin-claims-{}-{n}", std::process::id())))
    }

    fn settings(&self, seed: u64, memory: usize) -> ClaimsSettings {
        ClaimsSettings { folder: self.0.clone(), seed, memory }
    }

    fn process(&self, seed: u64, memory: usize) -> ClaimFolder {
        ClaimFolder::open(&self.settings(seed, memory), WINDOW, BufferPool::new(4)).expect("a folder")
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        let _ = fs::remove_dir_all(&self.0);
    }
}

fn served(text: &str) -> Option<RunOutcome> {
    Some(RunOutcome::Served(Arc::new(
        BufferPool::new(1).exact(text.as_bytes()).expect("it fits in a buffer"),
    )))
}

fn claim(folder: &mut ClaimFolder, key: &str, fingerprint: Fingerprint) -> String {
    match folder.claim(key, fingerprint).expect("a claim") {
        ClaimAttempt::InProgress => "in progress".into(),
        ClaimAttempt::Claimed => "ours".into(),
        ClaimAttempt::Ended(RunOutcome::Served(result)) => String::from_utf8_lossy(&result).into_owned(),
        ClaimAttempt::Unavailable(_) => "unavailable".into(),
        attempt => format!("{attempt:?}"),
    }
}

/// Guards against a second run of a key during an upgrade: one of the two processes runs it. The other one gets the
/// outcome, can claim the key if the run never started, and gets no result for a different body.
#[test]
fn runs_a_key_in_one_process_and_gives_the_other_its_outcome() {
    let folder = Folder::new();
    let (mut old, mut new) = (folder.process(1, MEMORY_BYTES), folder.process(2, MEMORY_BYTES));
    assert_eq!(old.salt, new.salt);
    assert_eq!((claim(&mut old, "t", 7), claim(&mut new, "t", 7)), ("ours".into(), "in progress".into()));
    new.release("t", 7, None).expect("not its own");
    assert_eq!(claim(&mut new, "t", 7), "in progress");
    old.release("t", 7, served("done")).expect("written");
    assert_eq!(claim(&mut new, "t", 7), "done");
    assert_eq!(claim(&mut new, "t", 8), "Ended(Failed)");
    assert_eq!((claim(&mut old, "u", 7), claim(&mut new, "u", 7)), ("ours".into(), "in progress".into()));
    old.release("u", 7, None).expect("removed");
    assert_eq!((claim(&mut new, "u", 7), claim(&mut old, "u", 7)), ("ours".into(), "in progress".into()));
    new.release("u", 7, Some(RunOutcome::Failed)).expect("written");
    assert_eq!(claim(&mut old, "u", 7), "Ended(Failed)");
}

fn look_up(folder: &ClaimFolder, key: &str, fingerprint: Fingerprint) -> String {
    match folder.look_up(key, fingerprint).expect("a readable folder") {
        RecordedRun::Ended(RunOutcome::Served(result)) => String::from_utf8_lossy(&result).into_owned(),
        run => format!("{run:?}"),
    }
}

/// Guards against a refusal of what the other process ran: a look-up finds each run of either process and claims nothing,
/// and a process whose claims are full still learns of the other one's runs.
#[test]
fn look_ups_and_full_claims_find_the_runs_of_the_other_process() {
    let folder = Folder::new();
    let (mut old, mut full) = (folder.process(1, MEMORY_BYTES), folder.process(2, 0));
    assert_eq!(look_up(&full, "t", 7), "None");
    assert_eq!(claim(&mut full, "t", 7), "unavailable");
    assert_eq!(claim(&mut old, "t", 7), "ours", "a look-up claims nothing");
    assert_eq!((look_up(&full, "t", 7), look_up(&old, "t", 7)), ("InProgress".into(), "InProgress".into()));
    assert_eq!(claim(&mut full, "t", 7), "in progress");
    old.release("t", 7, served("done")).expect("written");
    assert_eq!((look_up(&full, "t", 7), look_up(&full, "t", 8)), ("done".into(), "Ended(Failed)".into()));
    assert_eq!(claim(&mut full, "t", 7), "done");
    assert_eq!(claim(&mut old, "u", 7), "ours");
    old.release("u", 7, None).expect("removed");
    assert_eq!(look_up(&full, "u", 7), "None", "a run that never started may be refused");
    fs::remove_dir_all(&folder.0).expect("removed");
    assert!(full.look_up("t", 7).is_err(), "without the folder nothing is known");
    assert!(full.claim("t", 7).is_err());
}

/// Guards against claims that outlive their process: nobody reports the outcomes of a killed process's runs, so the
/// other process must end the claims without a second run. Claims of a live process are kept.
#[test]
fn ends_open_claims_of_a_dead_process_but_not_of_a_live_one() {
    let folder = Folder::new();
    let (mut old, mut new) = (folder.process(1, MEMORY_BYTES), folder.process(2, MEMORY_BYTES));
    assert_eq!(claim(&mut old, "t", 7), "ours");
    new.clean_up(Instant::now()).expect("cleaned up");
    assert_eq!(claim(&mut new, "t", 7), "in progress");
    drop(old);
    new.clean_up(Instant::now()).expect("cleaned up");
    assert_eq!(claim(&mut new, "t", 7), "Ended(Failed)");
}

/// Guards against a second run inside the window of a key: claims were removed by the age of their files, which is wrong by
/// what the wall clock was set.
#[test]
fn keeps_the_claims_of_another_process_whatever_the_wall_clock_says() {
    let folder = Folder::new();
    let mut old = folder.process(1, MEMORY_BYTES);
    assert_eq!(claim(&mut old, "t", 7), "ours");
    old.release("t", 7, served("done")).expect("written");
    let hour = Duration::from_secs(3_600);
    for modified in [SystemTime::now() - hour, SystemTime::now() + hour] {
        for file in fs::read_dir(&folder.0).expect("a folder").flatten() {
            // Times of files can be set by a reader, also those of files that nobody may write.
            File::open(file.path()).and_then(|file| file.set_modified(modified)).expect("set");
        }
        let mut new = folder.process(2, MEMORY_BYTES);
        assert_eq!(claim(&mut new, "t", 7), "done");
        old.clean_up(Instant::now()).expect("cleaned up");
        assert_eq!(claim(&mut new, "t", 7), "done");
        let late = WINDOW + Duration::from_nanos(MAX_READ_DELAY.0) + Duration::from_secs(1);
        if modified > SystemTime::now() {
            new.clean_up(Instant::now() + late).expect("cleaned up");
            assert_eq!(claim(&mut new, "t", 7), "ours", "its window has passed");
        }
    }
}

/// Guards against an outcome that is lost because the disk failed when the run ended: it is shared once it can be written,
/// and other ends behind it.
#[test]
fn an_outcome_that_can_not_be_written_is_shared_later() {
    let folder = Folder::new();
    let (inputs, received) = unbounded();
    let settings = ClaimsSettings { folder: folder.0.clone(), seed: 1, memory: MEMORY_BYTES };
    let window = Span(WINDOW.as_nanos() as u64);
    let log = Logger::root(Discard, o!());
    let claims = Claims::start(settings, window, inputs, BufferPool::new(4), log).expect("started");
    let other = folder.process(2, MEMORY_BYTES);
    for key in ["t", "u"] {
        claims.claim(RequestId::new(key), Arc::from(key), 7, Span(0));
        assert!(matches!(received.recv(), Ok(Input::RunClaimed { claim: RunClaim::Ours, .. })));
    }
    // Results are written to this file first.
    let draft = folder.0.join("draft.alive.0000000000000001");
    fs::create_dir(&draft).expect("created");
    claims.release(Arc::from("t"), 7, served("done"));
    claims.release(Arc::from("u"), 7, Some(RunOutcome::Failed));
    // Behind the releases in the queue.
    claims.look_up(1, Arc::from("t"), 7);
    let run = received.recv();
    assert!(matches!(run, Ok(Input::RunLookedUp { run: RecordedRun::InProgress, .. })), "{run:?}");
    fs::remove_dir(&draft).expect("removed");
    claims.close(crossbeam_channel::never());
    assert_eq!((look_up(&other, "t", 7), look_up(&other, "u", 7)), ("done".into(), "Ended(Failed)".into()));
}

/// Guards against unbounded memory use: files are removed when no retry can ask for them any more, results are limited
/// to their fraction of the memory, and claims beyond the limit are rejected.
#[test]
fn bounds_claims_and_results_and_removes_them_after_their_window() {
    let folder = Folder::new();
    let (mut old, mut new) = (folder.process(1, 1 << 20), folder.process(2, 1 << 20));
    let max_claims = (1 << 20) / CLAIMS_MEMORY_DIVISOR / FILE_BYTES;
    for n in 0..max_claims {
        let key = format!("t{n}");
        assert_eq!(claim(&mut old, &key, 7), "ours");
        old.release(&key, 7, served(&"x".repeat(3_000))).expect("written");
    }
    assert_eq!(claim(&mut old, "more", 7), "unavailable");
    assert!(
        old.result_bytes <= old.max_result_bytes,
        "{} bytes of {}",
        old.result_bytes,
        old.max_result_bytes
    );
    assert_eq!(claim(&mut new, "t0", 7), "Ended(Failed)", "the oldest results are dropped first");
    assert_eq!(claim(&mut new, &format!("t{}", max_claims - 1), 7).len(), 3_000);
    let late = Duration::from_nanos(MAX_READ_DELAY.0);
    old.clean_up(Instant::now() + WINDOW + late - Duration::from_secs(1)).expect("cleaned up");
    assert_eq!(old.own.len(), max_claims);
    old.clean_up(Instant::now() + WINDOW + late + Duration::from_secs(1)).expect("cleaned up");
    assert_eq!((old.own.len(), old.result_bytes), (0, 0));
    assert_eq!(claim(&mut new, "t0", 7), "ours");
}

/// Guards against a process that never exits: claims can still be queued at the shutdown, when nobody reads the
/// answers.
#[test]
fn close_returns_though_nobody_empties_the_full_input_queue() {
    let folder = Folder::new();
    let (inputs, queue) = bounded(1);
    let log = Logger::root(Discard, o!());
    let claims =
        Claims::start(folder.settings(1, MEMORY_BYTES), Span(1_000), inputs, BufferPool::new(4), log)
            .expect("a claims thread");
    for n in 0..8 {
        claims.claim(RequestId::new(&n.to_string()), format!("t{n}").into(), 7, Span(1_000));
    }
    let (done, is_done) = bounded(1);
    thread::spawn(move || {
        claims.close(queue);
        let _ = done.send(());
    });
    is_done.recv_timeout(Duration::from_secs(20)).expect("close returns");
}

/// Guards against keyed requests that are never answered, or run without a claim, while the folder can't be used; and
/// against a folder that stays unused after it becomes usable.
#[test]
fn rejects_claims_until_an_unusable_folder_can_be_used() {
    const MAX_WAIT: Duration = Duration::from_secs(20);
    let folder = Folder::new();
    fs::write(&folder.0, "a file in its place").expect("a file");
    let (inputs, reported) = bounded(8);
    let log = Logger::root(Discard, o!());
    let claims =
        Claims::start(folder.settings(1, MEMORY_BYTES), Span(1_000), inputs, BufferPool::new(4), log)
            .expect("a claims thread");
    assert_eq!(claims.salt(), None);
    let claim_answer = |n: u64| {
        claims.claim(RequestId::new(&n.to_string()), "t".into(), 7, Span(1_000));
        reported.recv_timeout(MAX_WAIT).expect("an answer")
    };
    assert!(matches!(claim_answer(1), Input::RunClaimed { claim: RunClaim::Unknown, .. }));
    claims.look_up(5, "t".into(), 7);
    let looked_up = reported.recv_timeout(MAX_WAIT).expect("an answer");
    assert!(matches!(looked_up, Input::RunLookedUp { lookup: 5, run: RecordedRun::Unknown }));
    fs::remove_file(&folder.0).expect("removed");
    assert!(matches!(reported.recv_timeout(MAX_WAIT), Ok(Input::RunsShared { salt: 1 })));
    assert!(matches!(claim_answer(2), Input::RunClaimed { claim: RunClaim::Ours, .. }));
}

/// Guards against a server name for which all claims fail during an upgrade, or are made outside of the shared folder:
/// each valid name has a separate folder in the shared one.
#[test]
fn makes_a_folder_for_every_server_name() {
    let shared = Folder::new();
    let names = ["n1", "a/b", "a/c", "../n1", "/", "..", ".", "%s", &"x".repeat(251), &"x".repeat(252)];
    let mut folders: Vec<PathBuf> = Vec::new();
    for name in names {
        let settings = ClaimsSettings::new(&shared.0, name, 1, MEMORY_BYTES);
        let mut files = ClaimFolder::open(&settings, WINDOW, BufferPool::new(4)).expect(name);
        assert_eq!(claim(&mut files, "t", 7), "ours", "{name}");
        assert_eq!(settings.folder.parent(), Some(shared.0.as_path()), "{name}");
        assert!(!folders.contains(&settings.folder), "{name}");
        folders.push(settings.folder);
    }
    assert_eq!(fs::read_dir(&shared.0).expect("the shared folder").count(), names.len());
    assert!(folders[0].ends_with("gradepin.n1.keys"), "both versions of an upgrade use the same folder");
}
