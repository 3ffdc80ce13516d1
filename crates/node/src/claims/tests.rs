use super::folder::{CLAIMS_PART, FILE_BYTES};
use super::*;
use crossbeam_channel::bounded;
use gradepin_core::idempotency_table::READ_LATE;
use slog::{Discard, o};
use std::fs;
use std::path::PathBuf;
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

    fn place(&self, seed: u64, memory: usize) -> Place {
        Place { folder: self.0.clone(), seed, memory }
    }

    fn process(&self, seed: u64, memory: usize) -> Files {
        Files::open(&self.place(seed, memory), WINDOW, BufferPool::new(4)).expect("a folder")
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        let _ = fs::remove_dir_all(&self.0);
    }
}

fn served(text: &str) -> Option<RunOutcome> {
    Some(RunOutcome::Served(Arc::new(BufferPool::new(1).exact(text.as_bytes()).expect("it fits"))))
}

fn told(files: &mut Files, token: &str, print: Fingerprint) -> String {
    match files.claim(token, print).expect("a claim") {
        None => "goes on".into(),
        Some(RunClaim::Ours) => "ours".into(),
        Some(RunClaim::Ended(RunOutcome::Served(result))) => String::from_utf8_lossy(&result).into_owned(),
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
    new.ended("u", 7, Some(RunOutcome::Failed)).expect("written");
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

/// Guards against a process that never ends: claims are still asked at its end, and nobody takes what they came to.
#[test]
fn the_end_waits_for_no_room_in_a_queue_that_nobody_empties() {
    let folder = Folder::new();
    let (inputs, queue) = bounded(1);
    let log = Logger::root(Discard, o!());
    let claims = Claims::start(folder.place(1, MEMORY), Span(1_000), inputs, BufferPool::new(4), log)
        .expect("it starts");
    for n in 0..8 {
        claims.claim(RequestId::new(&n.to_string()), format!("t{n}").into(), 7, Span(1_000));
    }
    let (done, is_done) = bounded(1);
    thread::spawn(move || {
        claims.close(queue);
        let _ = done.send(());
    });
    is_done.recv_timeout(Duration::from_secs(20)).expect("it ends");
}

/// Guards against keyed requests that are never answered, or run unclaimed, while the folder can't be used; and against one
/// that stays unused once it can.
#[test]
fn a_folder_that_cannot_be_used_refuses_claims_until_it_can() {
    const PATIENCE: Duration = Duration::from_secs(20);
    let folder = Folder::new();
    fs::write(&folder.0, "a file in its place").expect("a file");
    let (inputs, told) = bounded(8);
    let log = Logger::root(Discard, o!());
    let claims = Claims::start(folder.place(1, MEMORY), Span(1_000), inputs, BufferPool::new(4), log)
        .expect("it starts");
    assert_eq!(claims.salt(), None);
    let asked = |n: u64| {
        claims.claim(RequestId::new(&n.to_string()), "t".into(), 7, Span(1_000));
        told.recv_timeout(PATIENCE).expect("an answer")
    };
    assert!(matches!(asked(1), Input::RunClaimed { claim: RunClaim::Unknown, .. }));
    fs::remove_file(&folder.0).expect("it goes");
    assert!(matches!(told.recv_timeout(PATIENCE), Ok(Input::RunsShared { salt: 1 })));
    assert!(matches!(asked(2), Input::RunClaimed { claim: RunClaim::Ours, .. }));
}

/// Guards against a server whose keyed requests are all refused in an upgrade, or claimed outside of the folder, because of
/// what it is called: each name that a configuration may have has a folder of its own, in the shared one.
#[test]
fn a_folder_is_had_for_every_name() {
    let shared = Folder::new();
    let names = ["n1", "a/b", "a/c", "../n1", "/", "..", ".", "%s", &"x".repeat(251), &"x".repeat(252)];
    let mut folders: Vec<PathBuf> = Vec::new();
    for name in names {
        let place = Place::new(&shared.0, name, 1, MEMORY);
        let mut files = Files::open(&place, WINDOW, BufferPool::new(4)).expect(name);
        assert_eq!(told(&mut files, "t", 7), "ours", "{name}");
        assert_eq!(place.folder.parent(), Some(shared.0.as_path()), "{name}");
        assert!(!folders.contains(&place.folder), "{name}");
        folders.push(place.folder);
    }
    assert_eq!(fs::read_dir(&shared.0).expect("it stands").count(), names.len());
    assert!(folders[0].ends_with("gradepin.n1.keys"), "the two versions of an upgrade have one folder");
}
