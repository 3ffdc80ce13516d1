//! Crashes at every boundary of the disk, and disks that fail, in virtual time: the real reducer and the real log over a
//! simulated disk. The rules are checked in `world` at each begin and each answer.

mod world;

use gradepin_store::sim::{Fault, Files};
use rand_pcg::Pcg64Mcg;
use rand_pcg::rand_core::{Rng, SeedableRng};
use world::{Got, PATIENCE_MS, SEGMENT, Truth, WINDOW_MS, World, late_ms, seed};

/// A life on an empty disk.
fn first(seed: u64) -> World {
    let mut world = World::start(Files::default(), Truth::default(), 0, false, seed);
    world.recover();
    world
}

/// Saves, repeats and waits for so many milliseconds.
fn script(world: &mut World, rng: &mut Pcg64Mcg, ms: u64, every_ms: u64) {
    let (mut n, end) = (0, world.truth.ms + ms);
    while world.truth.ms < end {
        let body = format!("s{}-{n}", world.truth.ms);
        n += 1;
        world.save(&body);
        if rng.next_u64().is_multiple_of(3) {
            world.wait(rng.next_u64() % 2_000);
            world.save(&body);
        }
        if rng.next_u64().is_multiple_of(4) {
            // Two in one step: one group.
            world.save(&format!("{body}b"));
        }
        world.wait(1 + rng.next_u64() % (2 * every_ms));
    }
}

/// A new life after a crash at this moment: repeats of everything whose window is open come at once, before the recovery
/// is told, right after it and later.
fn after_crash(files: Files, truth: &Truth, rng: &mut Pcg64Mcg, record: bool) -> World {
    let skew = [0, 3_600_000, -3_600_000][(rng.next_u64() % 3) as usize];
    let lives = rng.next_u64().is_multiple_of(2);
    let down = rng.next_u64() % 1_500;
    let mut truth = truth.clone();
    truth.ms += down;
    let open: Vec<String> =
        truth.ran.iter().filter(|(_, ran)| ran.closes_ms > truth.ms).map(|(body, _)| body.clone()).collect();
    let mut world = World::start(files, truth, skew, lives, rng.next_u64());
    if record {
        world.record();
    }
    for body in &open {
        let seq = world.save(body);
        assert!(matches!(world.got(seq), Some(Got::Refused(_))), "before recovery it is refused at once");
    }
    world.open();
    world.tell();
    for body in &open {
        world.save(body);
    }
    let new = format!("new{}", world.truth.ms);
    world.save(&new);
    world.wait(700);
    for body in &open {
        world.save(body);
    }
    world.wait(300);
    world
}

fn answered(mut world: World) -> World {
    world.wait(9_000);
    world.check_answered();
    world
}

/// Hard case 1: crash at every write and sync boundary of a scripted hour, and once more at a boundary of the recovery
/// itself. Guards against a second run, a result that no run made and an answer that is lost, whatever a disk does to
/// what was not synced, whether the processor outlived the server, and wherever the Unix clock was set meanwhile.
#[test]
fn no_crash_at_any_boundary_of_an_hour_runs_anything_twice() {
    let seed = seed(1);
    let mut rng = Pcg64Mcg::seed_from_u64(seed);
    let mut world = first(seed);
    world.record();
    script(&mut world, &mut rng, 3_600_000, 9_000);
    world.check_answered();
    let moments = std::mem::take(&mut world.moments);
    assert!(moments.len() > 2_000, "{} crash points", moments.len());
    let (mut unknown, mut served, mut second) = (0, 0, 0);
    for (n, (files, truth)) in moments.iter().enumerate() {
        let files = if n % 3 == 0 { files.killed() } else { files.crash(rng.next_u64()) };
        let again = n % 5 == 0;
        let world = after_crash(files, truth, &mut rng, again);
        let points = world.moments.clone();
        let world = answered(world);
        let tally = world.tally();
        unknown += tally.get("unknown").unwrap_or(&0);
        served += tally.get("served").unwrap_or(&0);
        if let Some((files, truth)) = points.get((rng.next_u64() % points.len().max(1) as u64) as usize) {
            second += 1;
            let crashed = files.crash(rng.next_u64());
            answered(after_crash(crashed, truth, &mut rng, false));
        }
    }
    println!(
        "{} crashes, {second} again while recovering; {served} served, {unknown} unknown",
        moments.len()
    );
    // Or the script proves nothing.
    assert!(unknown > 50 && served > 1_000 && second > 100, "{unknown} {served} {second}");
}

/// Hard case 2, in order: what a repeat is told after a crash between each two steps of a save's life.
#[test]
fn a_crash_between_each_two_steps_has_its_own_answer() {
    // Between intent and begin: the intent is durable, nothing ran, and nobody can know that.
    let mut world = first(1);
    world.mode = world::Disk::Held;
    world.record();
    world.save("a");
    assert!(world.truth.ran.is_empty(), "begun before its intent is durable");
    world.let_go();
    let (files, truth) =
        world.moments.iter().rfind(|(_, truth)| truth.ran.is_empty()).expect("a boundary").clone();
    for lives in [false, true] {
        let mut next = World::start(files.killed(), truth.clone(), 0, lives, 2);
        next.recover();
        let seq = next.save("a");
        // A processor that lives tells that nothing runs there: no repeat waits for it.
        assert_eq!(next.got(seq), Some(&Got::Unknown), "lives: {lives}");
        assert!(next.truth.ran.is_empty(), "it must not run");
    }

    // Between begin and end: it runs at a processor that lives, or was lost with one that doesn't.
    let mut world = first(3);
    world.save("b");
    let (files, truth) = (world.disk.files().crash(1), world.truth.clone());
    assert!(!truth.running.is_empty(), "it runs");
    for (lives, expected) in [(true, Got::Served(b"result of b".to_vec())), (false, Got::Unknown)] {
        let mut next = World::start(files.clone(), truth.clone(), 0, lives, 4);
        next.recover();
        let seq = next.save("b");
        next.wait(3_000);
        assert_eq!(next.got(seq), Some(&expected), "lives: {lives}");
    }

    // Between end and answer, and after it: the result is known without the processor.
    world.wait(3_000);
    let (files, truth) = (world.disk.files().crash(1), world.truth.clone());
    let mut next = World::start(files, truth, 0, false, 5);
    next.recover();
    let seq = next.save("b");
    assert_eq!(next.got(seq), Some(&Got::Served(b"result of b".to_vec())));
}

/// A run whose end the processor told while the server was down, and the server learns it though the link stood before the
/// folder was read: it has the notices told again.
#[test]
fn kept_notices_turn_unknown_into_known_in_either_order() {
    let mut world = first(6);
    world.save("c");
    let (files, mut truth) = (world.disk.files().crash(1), world.truth.clone());
    truth.ms += 2_000;
    let (_, id, body) = truth.running.remove(0);
    truth.notices.push((1, id, body));
    let mut next = World::start(files, truth, 0, true, 7);
    next.wait(100);
    next.recover();
    let seq = next.save("c");
    next.wait(10);
    assert_eq!(next.got(seq), Some(&Got::Served(b"result of c".to_vec())));
    // And it is durable from now on.
    let (files, truth) = (next.disk.files().crash(1), next.truth.clone());
    let mut third = World::start(files, truth, 0, false, 8);
    third.recover();
    let seq = third.save("c");
    assert_eq!(third.got(seq), Some(&Got::Served(b"result of c".to_vec())));
}

/// Guards against an answer of the processor from before the retelling that counts as behind it: the end of a run that the
/// processor keeps was given up as unknown where a question for the gauges was open as the folder was read.
#[test]
fn a_question_from_before_the_retelling_gives_no_run_up() {
    let mut world = first(11);
    world.save("s");
    let (files, mut truth) = (world.disk.files().crash(1), world.truth.clone());
    truth.ms += 2_000;
    let (_, id, body) = truth.running.remove(0);
    truth.notices.push((1, id, body));
    let mut world = World::start(files, truth, 0, true, 12);
    world.gauges_wait = true;
    world.wait(150);
    world.recover();
    let seq = world.save("s");
    world.wait(100);
    assert_eq!(world.got(seq), Some(&Got::Served(b"result of s".to_vec())));
}

/// Hard case 4: the disk fills in the middle of a publication and is freed again. Guards against a server that stops serving
/// all else, that begins what it can't keep, or that never comes back.
#[test]
fn a_disk_that_fails_refuses_saves_alone_and_comes_back() {
    for fault in [Fault::Full(500), Fault::WriteFails, Fault::SyncFails, Fault::ReadOnly] {
        let mut world = first(9);
        let done = world.save("before");
        world.wait(2_000);
        world.disk.fail(fault);
        let ran = world.truth.ran.len();
        let mut refused = 0;
        for n in 0..60 {
            let save = world.save(&format!("{fault:?}{n}"));
            let read = world.read();
            world.wait(100);
            refused += usize::from(matches!(world.got(save), Some(Got::Refused(1..))));
            world.wait(1_400);
            assert!(matches!(world.got(read), Some(Got::Served(_))), "{fault:?}: {:?}", world.got(read));
        }
        assert!(refused > 20, "{fault:?}: {refused} refused with advice");
        assert!(world.logged.iter().any(|line| line.contains("the store has failed")), "{:?}", world.logged);
        // What ran before is answered all the while.
        let again = world.save("before");
        assert!(
            matches!((world.got(done), world.got(again)), (Some(Got::Served(_)), Some(_))),
            "{:?}",
            world.got(again)
        );
        world.disk.fail(Fault::None);
        world.wait(10_000);
        let back = world.save("back");
        world.wait(3_000);
        assert!(matches!(world.got(back), Some(Got::Served(_))), "{fault:?}: {:?}", world.got(back));
        assert!(world.truth.ran.len() > ran);
        // What it wrote anew is whole: a crash now loses nothing of it.
        let (files, truth) = (world.disk.files().crash(3), world.truth.clone());
        let mut next = World::start(files, truth, 0, false, 10);
        next.recover();
        let seq = next.save("back");
        assert!(matches!(next.got(seq), Some(Got::Served(_))), "{fault:?}: {:?}", next.got(seq));
        answered(world);
    }
}

/// Guards against a slow disk (500 ms a sync) that holds saves until their callers are gone, that is asked again at every save,
/// or that holds anything else up.
#[test]
fn a_slow_disk_refuses_saves_in_time_and_all_else_goes_on() {
    let mut world = first(21);
    world.mode = world::Disk::Slow(500);
    let mut tried = 0;
    for n in 0..60 {
        let (save, read) = (world.save(&format!("slow{n}")), world.read());
        world.wait(PATIENCE_MS + 10);
        assert!(matches!(world.got(save), Some(Got::Refused(1..))), "{:?}", world.got(save));
        world.wait(1_400);
        assert!(matches!(world.got(read), Some(Got::Served(_))));
        tried = world.logged.iter().filter(|line| line.contains("the store takes over")).count();
    }
    assert!(world.truth.ran.is_empty(), "nothing began without its intent");
    // In 100 s, with pauses that grow to 8 s.
    assert!((3..25).contains(&tried), "{tried} times");
    world.mode = world::Disk::Prompt;
    world.wait(12_000);
    let save = world.save("quick");
    world.wait(3_000);
    assert!(matches!(world.got(save), Some(Got::Served(_))));
}

/// Hard case 5 in the small: guards against a recovery that brings back more than the memory has room for. All runs are known,
/// and the oldest results are gone: their repeats fail, and none runs again.
#[test]
fn a_recovery_keeps_its_results_within_their_bound() {
    use gradepin_admission::{RequestId, Span};
    use gradepin_core::idempotency_log::{LogRecord, SavedOutcome};
    use gradepin_store::log::{Limits, Log, Stamp};
    let disk = gradepin_store::sim::SimDisk::new(1);
    let window = Span(WINDOW_MS * world::MS);
    let limits = Limits {
        segment_bytes: 1 << 20,
        max_bytes: 1 << 30,
        max_result_bytes: 100_000,
        max_records: usize::MAX,
        window,
    };
    let (mut log, _) = Log::open(Box::new(disk.clone()), limits, 7).expect("an empty folder");
    let result = gradepin_core::buffer_pool::BufferPool::new(0).exact(&[7; 1_000]).map(std::sync::Arc::new);
    for group in 0..50 {
        let records: Vec<LogRecord> = (0..400)
            .map(|n| LogRecord::Outcome {
                key: format!("{:06}", group * 400 + n).into(),
                fingerprint: 1,
                id: RequestId::new(&format!("{n:016x}")),
                window_left: window,
                result: result.clone(),
            })
            .collect();
        log.add(Stamp::default(), &records).expect("room");
    }
    let files = disk.clone();
    let (_, found) = Log::open(Box::new(disk), limits, 7).expect("whole");
    let past = found.recovered.runs;
    assert_eq!(past.len(), 20_000);
    let kept: Vec<bool> = past.iter().map(|past| matches!(past.outcome, SavedOutcome::Served(_))).collect();
    assert_eq!(kept.iter().filter(|kept| **kept).count(), 100);
    assert!(kept[19_900..].iter().all(|kept| *kept), "the newest are kept");
    assert!(
        past[..19_900].iter().all(|past| past.outcome == SavedOutcome::Failed),
        "the others are known to have ended"
    );
    assert_eq!(found.recovered.incomplete_for, None);
    // More runs than there may be: the rest is not known, so nothing new of a key may run for a window.
    let few = Limits { max_records: 1_000, ..limits };
    let (_, found) = Log::open(Box::new(files), few, 7).expect("whole");
    assert_eq!((found.recovered.runs.len(), found.recovered.incomplete_for), (1_000, Some(window)));
}

/// Guards against what a failed sync leaves behind: nothing written before it is trusted, and a crash at any moment after
/// it runs nothing twice.
#[test]
fn a_crash_after_a_failed_sync_runs_nothing_twice() {
    let seed = seed(11);
    let mut rng = Pcg64Mcg::seed_from_u64(seed);
    for round in 0..40 {
        let mut world = first(rng.next_u64());
        world.record();
        script(&mut world, &mut rng, 6_000, 400);
        world.disk.fail([Fault::SyncFails, Fault::Full(3_000)][round % 2]);
        script(&mut world, &mut rng, 3_000, 400);
        world.disk.fail(Fault::None);
        script(&mut world, &mut rng, 6_000, 400);
        let moments = std::mem::take(&mut world.moments);
        answered(world);
        for (files, truth) in moments.iter().rev().step_by(3) {
            let crashed = files.crash(rng.next_u64());
            answered(after_crash(crashed, truth, &mut rng, false));
        }
    }
}

/// Hard case 4: a sync that never returns, then a drain. Guards against a save that is held until its caller gives up, and
/// against a drain that waits for a disk.
#[test]
fn a_sync_that_never_returns_ends_in_refusals_and_a_drain_in_time() {
    let mut world = first(12);
    world.mode = world::Disk::Held;
    let (save, repeat, read) = (world.save("held"), world.save("held"), world.read());
    world.wait(PATIENCE_MS + 10);
    for seq in [save, repeat] {
        assert!(matches!(world.got(seq), Some(Got::Refused(1..))), "{:?}", world.got(seq));
    }
    let late = world.save("late");
    assert!(matches!(world.got(late), Some(Got::Refused(1..))), "at once");
    world.wait(100);
    let drained = world.truth.ms;
    world.terminate();
    world.wait(1_800);
    world.check_answered();
    assert!(matches!(world.got(read), Some(Got::Served(_))));
    assert!(
        world.asked.values().all(|(_, _, answers)| answers.len() == 1),
        "all is answered within the grace"
    );
    world.wait(4_000);
    assert!(world.exited && world.truth.ms >= drained);
    assert!(world.truth.ran.is_empty(), "nothing of it was begun");
}

/// Guards against a second run where a durable record can't be read any more: a bit flips between two lives. Saves are
/// refused until no window that was lost can be open, and all else is served.
#[test]
fn while_a_flipped_bit_leaves_doubt_nothing_of_a_key_runs() {
    let seed = seed(13);
    let mut rng = Pcg64Mcg::seed_from_u64(seed);
    let mut doubted = 0;
    for _ in 0..200 {
        let mut world = first(rng.next_u64());
        let bodies: Vec<String> = (0..6).map(|n| format!("d{n}")).collect();
        for body in &bodies {
            world.save(body);
            world.wait(200);
        }
        let (names, truth) = (world.disk.lengths(), world.truth.clone());
        let (name, length) = names[(rng.next_u64() % names.len() as u64) as usize].clone();
        let bit = rng.next_u64() as usize % (length * 8);
        let mut next = World::start(world.disk.files().killed(), truth, 0, false, rng.next_u64());
        assert!(next.disk.damage(&name, |bytes| bytes[bit / 8] ^= 1 << (bit % 8)));
        next.recover();
        let (new, read) = (next.save("new"), next.read());
        next.wait(10);
        for body in &bodies {
            next.save(body);
        }
        next.wait(2_000);
        assert!(matches!(next.got(read), Some(Got::Served(_))));
        // A foreign or newer file keeps the folder closed, which is as good.
        doubted += usize::from(matches!(next.got(new), Some(Got::Refused(_))));
        next.wait(WINDOW_MS);
        answered(next);
    }
    assert_eq!(doubted, 200);
}

/// Guards against files that grow for good: what no try can ask for any more goes without a stop of the writes.
#[test]
fn the_files_stay_bounded_and_empty_once_all_is_over() {
    let mut world = first(14);
    let mut rng = Pcg64Mcg::seed_from_u64(14);
    let mut most = 0;
    for _ in 0..40 {
        script(&mut world, &mut rng, 10_000, 100);
        most = most.max(world.disk.lengths().iter().map(|(_, length)| length).sum::<usize>());
    }
    // About 15 saves a second, each known for its window and the time of late readers, in two records.
    let known = (WINDOW_MS + late_ms() + 10_000) as usize * 15 / 1_000 * 2;
    assert!(most < known * 150 + 4 * SEGMENT as usize, "{most} bytes");
    world.wait(10_000);
    for _ in 0..12 {
        world.wait(10_000);
    }
    assert!(world.disk.lengths().is_empty(), "{:?}", world.disk.lengths());
}

/// Guards against a file of another program or another version that is overwritten, removed or taken for damage.
#[test]
fn a_foreign_file_closes_the_store_and_is_left_alone() {
    let mut world = first(15);
    world.save("e");
    world.wait(2_000);
    let (name, _) = world.disk.lengths()[0].clone();
    let (files, truth) = (world.disk.files().killed(), world.truth.clone());
    for version in [0_u8, 2, 200] {
        let mut next = World::start(files.clone(), truth.clone(), 0, false, 16);
        assert!(next.disk.damage(&name, |bytes| bytes[8] = version));
        let before = next.disk.lengths();
        next.open();
        next.tell();
        let (save, read) = (next.save("e"), next.read());
        next.wait(1_000);
        assert!(matches!(next.got(save), Some(Got::Refused(1..))));
        assert!(matches!(next.got(read), Some(Got::Served(_))));
        assert!(next.logged.iter().any(|line| line.contains("version")), "{:?}", next.logged);
        assert_eq!(next.disk.lengths(), before);
    }
}
