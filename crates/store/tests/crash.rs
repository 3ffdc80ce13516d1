//! Recovery of keyed runs after crashes at every disk operation, and on failing disks, in virtual time: the real reducer and the
//! real log on a simulated disk. `simulation` checks the rules at each start of a run and at each answer.

mod simulation;

use gradepin_store::sim::{Fault, Files};
use rand_pcg::Pcg64Mcg;
use rand_pcg::rand_core::{Rng, SeedableRng};
use simulation::{
    Answer, History, INTENT_TIMEOUT_MS, SEGMENT_BYTES, Simulation, WINDOW_MS, max_read_delay_ms, seed,
};

/// A server that has started on an empty disk.
fn start_on_empty_disk(seed: u64) -> Simulation {
    let mut server = Simulation::start(Files::default(), History::default(), 0, false, seed);
    server.recover();
    server
}

/// Sends keyed requests and repeats of them for `ms` milliseconds, about one every `every_ms`.
fn run_workload(server: &mut Simulation, rng: &mut Pcg64Mcg, ms: u64, every_ms: u64) {
    let (mut n, end) = (0, server.history.now_ms + ms);
    while server.history.now_ms < end {
        let body = format!("s{}-{n}", server.history.now_ms);
        n += 1;
        server.save(&body);
        if rng.next_u64().is_multiple_of(3) {
            server.advance(rng.next_u64() % 2_000);
            server.save(&body);
        }
        if rng.next_u64().is_multiple_of(4) {
            // Two requests at the same time share one group commit.
            server.save(&format!("{body}b"));
        }
        server.advance(1 + rng.next_u64() % (2 * every_ms));
    }
}

/// Restarts the server after a crash, with a random downtime and clock skew. Every request whose window is open is repeated
/// before the recovery is delivered, right after it, and once more later.
fn after_crash(files: Files, history: &History, rng: &mut Pcg64Mcg, record: bool) -> Simulation {
    let skew_ms = [0, 3_600_000, -3_600_000][(rng.next_u64() % 3) as usize];
    let processor_survived = rng.next_u64().is_multiple_of(2);
    let downtime_ms = rng.next_u64() % 1_500;
    let mut history = history.clone();
    history.now_ms += downtime_ms;
    let open_bodies: Vec<String> = history
        .runs_by_body
        .iter()
        .filter(|(_, key_runs)| key_runs.window_end_ms > history.now_ms)
        .map(|(body, _)| body.clone())
        .collect();
    let mut server = Simulation::start(files, history, skew_ms, processor_survived, rng.next_u64());
    if record {
        server.record();
    }
    for body in &open_bodies {
        let request = server.save(body);
        assert!(
            matches!(server.answer(request), Some(Answer::Unknown)),
            "before the recovery it is answered at once, without a promise"
        );
    }
    server.open_log();
    server.deliver_recovery();
    for body in &open_bodies {
        server.save(body);
    }
    let new = format!("new{}", server.history.now_ms);
    server.save(&new);
    server.advance(700);
    for body in &open_bodies {
        server.save(body);
    }
    server.advance(300);
    server
}

fn wait_for_all_answers(mut server: Simulation) -> Simulation {
    server.advance(9_000);
    server.assert_answered_once();
    server
}

/// Guards against a second run, a result that no run returned and a lost answer after a crash at any disk operation of an hour,
/// and after a second crash during the recovery: for any loss of unsynced bytes, with and without a processor that survived,
/// and with a changed Unix clock.
#[test]
fn a_crash_at_any_disk_operation_runs_no_request_twice() {
    let seed = seed(1);
    let mut rng = Pcg64Mcg::seed_from_u64(seed);
    let mut server = start_on_empty_disk(seed);
    server.record();
    run_workload(&mut server, &mut rng, 3_600_000, 9_000);
    server.assert_answered_once();
    let crash_points = std::mem::take(&mut server.crash_points);
    assert!(crash_points.len() > 2_000, "{} crash points", crash_points.len());
    let (mut unknown, mut served, mut second_crashes) = (0, 0, 0);
    for (n, (files, history)) in crash_points.iter().enumerate() {
        let files = if n % 3 == 0 { files.killed() } else { files.crash(rng.next_u64()) };
        let record_recovery = n % 5 == 0;
        let server = after_crash(files, history, &mut rng, record_recovery);
        let recovery_crash_points = server.crash_points.clone();
        let server = wait_for_all_answers(server);
        let answers_by_kind = server.answers_by_kind();
        unknown += answers_by_kind.get("unknown").unwrap_or(&0);
        served += answers_by_kind.get("served").unwrap_or(&0);
        if let Some((files, history)) =
            recovery_crash_points.get((rng.next_u64() % recovery_crash_points.len().max(1) as u64) as usize)
        {
            second_crashes += 1;
            let crashed = files.crash(rng.next_u64());
            wait_for_all_answers(after_crash(crashed, history, &mut rng, false));
        }
    }
    println!(
        "{} crashes, {second_crashes} again while recovering; {served} served, {unknown} unknown",
        crash_points.len()
    );
    // With lower counts the workload would prove nothing.
    assert!(unknown > 50 && served > 1_000 && second_crashes > 100, "{unknown} {served} {second_crashes}");
}

/// Guards against a wrong answer to a repeat after a crash between any two steps of a keyed request.
#[test]
fn a_repeat_after_a_crash_is_answered_according_to_the_interrupted_step() {
    // Between intent and start: the intent is durable but nothing ran, which the next process can't know.
    let mut server = start_on_empty_disk(1);
    server.disk_speed = simulation::DiskSpeed::Blocked;
    server.record();
    server.save("a");
    assert!(server.history.runs_by_body.is_empty(), "started before its intent is durable");
    server.resume_disk();
    let (files, history) = server
        .crash_points
        .iter()
        .rfind(|(_, history)| history.runs_by_body.is_empty())
        .expect("a boundary")
        .clone();
    for processor_survived in [false, true] {
        let mut restarted = Simulation::start(files.killed(), history.clone(), 0, processor_survived, 2);
        restarted.recover();
        let request = restarted.save("a");
        // A processor that survived reports that nothing runs, so the repeat doesn't wait for it.
        assert_eq!(
            restarted.answer(request),
            Some(&Answer::Unknown),
            "processor survived: {processor_survived}"
        );
        assert!(restarted.history.runs_by_body.is_empty(), "it must not run");
    }

    // Between start and end: the request still runs at a processor that survived, and is lost with one that didn't.
    let mut server = start_on_empty_disk(3);
    server.save("b");
    let (files, history) = (server.disk.files().crash(1), server.history.clone());
    assert!(!history.running.is_empty(), "it runs");
    for (processor_survived, expected) in
        [(true, Answer::Served(b"result of b".to_vec())), (false, Answer::Unknown)]
    {
        let mut restarted = Simulation::start(files.clone(), history.clone(), 0, processor_survived, 4);
        restarted.recover();
        let request = restarted.save("b");
        restarted.advance(3_000);
        assert_eq!(restarted.answer(request), Some(&expected), "processor survived: {processor_survived}");
    }

    // After the end, with or without an answer: the result is known from the log without the processor.
    server.advance(3_000);
    let (files, history) = (server.disk.files().crash(1), server.history.clone());
    let mut restarted = Simulation::start(files, history, 0, false, 5);
    restarted.recover();
    let request = restarted.save("b");
    assert_eq!(restarted.answer(request), Some(&Answer::Served(b"result of b".to_vec())));
}

/// Guards against a lost completion notice: the run ended while the server was down, and the link was up before the folder was
/// read. The server must have the notices replayed after the recovery.
#[test]
fn replayed_notices_resolve_unknown_outcomes_if_the_link_is_up_before_recovery() {
    let mut server = start_on_empty_disk(6);
    server.save("c");
    let (files, mut history) = (server.disk.files().crash(1), server.history.clone());
    history.now_ms += 2_000;
    let (_, id, body) = history.running.remove(0);
    history.notices.push((1, id, body));
    let mut restarted = Simulation::start(files, history, 0, true, 7);
    restarted.advance(100);
    restarted.recover();
    let request = restarted.save("c");
    restarted.advance(10);
    assert_eq!(restarted.answer(request), Some(&Answer::Served(b"result of c".to_vec())));
    // The result must be durable from now on.
    let (files, history) = (restarted.disk.files().crash(1), restarted.history.clone());
    let mut restarted_again = Simulation::start(files, history, 0, false, 8);
    restarted_again.recover();
    let request = restarted_again.save("c");
    assert_eq!(restarted_again.answer(request), Some(&Answer::Served(b"result of c".to_vec())));
}

/// Guards against a reply of the processor that is taken for one after the replay of notices, although it was requested before.
/// A run whose notice the processor retained was given up as unknown if a gauge reading was open when the folder was read.
#[test]
fn a_gauge_reading_requested_before_the_replay_gives_up_no_run() {
    let mut server = start_on_empty_disk(11);
    server.save("s");
    let (files, mut history) = (server.disk.files().crash(1), server.history.clone());
    history.now_ms += 2_000;
    let (_, id, body) = history.running.remove(0);
    history.notices.push((1, id, body));
    let mut server = Simulation::start(files, history, 0, true, 12);
    server.hold_gauges = true;
    server.advance(150);
    server.recover();
    let request = server.save("s");
    server.advance(100);
    assert_eq!(server.answer(request), Some(&Answer::Served(b"result of s".to_vec())));
}

/// Guards against a server that, while the disk fails, stops serving other requests, starts runs that it can't record, or never
/// returns to normal once the disk works again.
#[test]
fn a_failing_disk_rejects_only_keyed_requests_until_it_works_again() {
    for fault in [Fault::Full(500), Fault::WriteFails, Fault::SyncFails, Fault::ReadOnly] {
        let mut server = start_on_empty_disk(9);
        let first_request = server.save("before");
        server.advance(2_000);
        server.disk.fail(fault);
        let run_count = server.history.runs_by_body.len();
        let mut rejected = 0;
        for n in 0..60 {
            let save = server.save(&format!("{fault:?}{n}"));
            let read = server.read();
            server.advance(100);
            rejected += usize::from(matches!(server.answer(save), Some(Answer::Rejected(1..))));
            server.advance(1_400);
            assert!(
                matches!(server.answer(read), Some(Answer::Served(_))),
                "{fault:?}: {:?}",
                server.answer(read)
            );
        }
        assert!(rejected > 20, "{fault:?}: {rejected} rejected with an advised delay");
        assert!(
            server.log_lines.iter().any(|line| line.contains("the store has failed")),
            "{:?}",
            server.log_lines
        );
        // Repeats of earlier runs are answered while the disk fails.
        let repeat = server.save("before");
        assert!(
            matches!(
                (server.answer(first_request), server.answer(repeat)),
                (Some(Answer::Served(_)), Some(_))
            ),
            "{:?}",
            server.answer(repeat)
        );
        server.disk.fail(Fault::None);
        server.advance(10_000);
        let after_recovery = server.save("back");
        server.advance(3_000);
        assert!(
            matches!(server.answer(after_recovery), Some(Answer::Served(_))),
            "{fault:?}: {:?}",
            server.answer(after_recovery)
        );
        assert!(server.history.runs_by_body.len() > run_count);
        // The rewritten log must be complete: a crash now must lose nothing.
        let (files, history) = (server.disk.files().crash(3), server.history.clone());
        let mut restarted = Simulation::start(files, history, 0, false, 10);
        restarted.recover();
        let request = restarted.save("back");
        assert!(
            matches!(restarted.answer(request), Some(Answer::Served(_))),
            "{fault:?}: {:?}",
            restarted.answer(request)
        );
        wait_for_all_answers(server);
    }
}

/// Guards against a slow disk (500 ms for each sync) that holds keyed requests until their clients have given up, that is retried
/// at every request, or that delays other requests.
#[test]
fn a_slow_disk_rejects_keyed_requests_in_time_and_delays_nothing_else() {
    let mut server = start_on_empty_disk(21);
    server.disk_speed = simulation::DiskSpeed::Slow(500);
    let mut attempts = 0;
    for n in 0..60 {
        let (save, read) = (server.save(&format!("slow{n}")), server.read());
        server.advance(INTENT_TIMEOUT_MS + 10);
        assert!(matches!(server.answer(save), Some(Answer::Rejected(1..))), "{:?}", server.answer(save));
        server.advance(1_400);
        assert!(matches!(server.answer(read), Some(Answer::Served(_))));
        attempts = server.log_lines.iter().filter(|line| line.contains("the store takes over")).count();
    }
    assert!(server.history.runs_by_body.is_empty(), "no run started without a durable intent");
    // Over 100 s, with a backoff that grows to 8 s.
    assert!((3..25).contains(&attempts), "{attempts} times");
    server.disk_speed = simulation::DiskSpeed::Prompt;
    server.advance(12_000);
    let save = server.save("quick");
    server.advance(3_000);
    assert!(matches!(server.answer(save), Some(Answer::Served(_))));
}

/// Guards against a recovery that needs more memory than its limits. All runs must be known, but the oldest results are dropped:
/// their repeats fail, and none runs again.
#[test]
fn recovery_bounds_the_memory_for_results_and_runs() {
    use gradepin_admission::{RequestId, Span};
    use gradepin_core::idempotency_log::{LogRecord, SavedOutcome};
    use gradepin_store::log::{Limits, Log, Stamp};
    let disk = gradepin_store::sim::SimDisk::new(1);
    let window = Span(WINDOW_MS * simulation::MS);
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
        log.add(Stamp::default(), &records).expect("space for the records");
    }
    let files = disk.clone();
    let (_, recovered_log) = Log::open(Box::new(disk), limits, 7).expect("readable segments");
    let runs = recovered_log.recovered.runs;
    assert_eq!(runs.len(), 20_000);
    let has_result: Vec<bool> =
        runs.iter().map(|run| matches!(run.outcome, SavedOutcome::Served(_))).collect();
    assert_eq!(has_result.iter().filter(|has_result| **has_result).count(), 100);
    assert!(has_result[19_900..].iter().all(|has_result| *has_result), "the newest are kept");
    assert!(
        runs[..19_900].iter().all(|run| run.outcome == SavedOutcome::Failed),
        "the others are known to have ended"
    );
    assert_eq!(recovered_log.recovered.incomplete_for, None);
    // With more runs than the limit the recovery is incomplete, so no keyed request may run for a whole window.
    let lower_limit = Limits { max_records: 1_000, ..limits };
    let (_, recovered_log) = Log::open(Box::new(files), lower_limit, 7).expect("readable segments");
    assert_eq!(
        (recovered_log.recovered.runs.len(), recovered_log.recovered.incomplete_for),
        (1_000, Some(window))
    );
}

/// Guards against trust in bytes whose sync failed: a crash at any time after a failed sync, or after the disk was full, must run
/// nothing twice.
#[test]
fn a_crash_after_a_failed_sync_runs_nothing_twice() {
    let seed = seed(11);
    let mut rng = Pcg64Mcg::seed_from_u64(seed);
    for round in 0..40 {
        let mut server = start_on_empty_disk(rng.next_u64());
        server.record();
        run_workload(&mut server, &mut rng, 6_000, 400);
        server.disk.fail([Fault::SyncFails, Fault::Full(3_000)][round % 2]);
        run_workload(&mut server, &mut rng, 3_000, 400);
        server.disk.fail(Fault::None);
        run_workload(&mut server, &mut rng, 6_000, 400);
        let crash_points = std::mem::take(&mut server.crash_points);
        wait_for_all_answers(server);
        for (files, history) in crash_points.iter().rev().step_by(3) {
            let crashed = files.crash(rng.next_u64());
            wait_for_all_answers(after_crash(crashed, history, &mut rng, false));
        }
    }
}

/// Guards against a keyed request that is held until its client gives up because a sync never returns, and against a drain that
/// waits for the disk.
#[test]
fn a_sync_that_never_returns_rejects_keyed_requests_and_delays_no_drain() {
    let mut server = start_on_empty_disk(12);
    server.disk_speed = simulation::DiskSpeed::Blocked;
    let (save, repeat, read) = (server.save("held"), server.save("held"), server.read());
    server.advance(INTENT_TIMEOUT_MS + 10);
    for request in [save, repeat] {
        assert!(
            matches!(server.answer(request), Some(Answer::Rejected(1..))),
            "{:?}",
            server.answer(request)
        );
    }
    let late = server.save("late");
    assert!(matches!(server.answer(late), Some(Answer::Rejected(1..))), "at once");
    server.advance(100);
    let drain_started_ms = server.history.now_ms;
    server.terminate();
    server.advance(1_800);
    server.assert_answered_once();
    assert!(matches!(server.answer(read), Some(Answer::Served(_))));
    assert!(
        server.requests.values().all(|(_, _, answers)| answers.len() == 1),
        "all requests are answered within the grace period"
    );
    server.advance(4_000);
    assert!(server.exited && server.history.now_ms >= drain_started_ms);
    assert!(server.history.runs_by_body.is_empty(), "no run was started");
}

/// Guards against a second run after a durable record became unreadable, because a bit flipped between two processes. Keyed
/// requests must be rejected until no lost window can be open, and all other requests must be served.
#[test]
fn after_a_flipped_bit_no_keyed_request_runs_while_records_may_be_lost() {
    let seed = seed(13);
    let mut rng = Pcg64Mcg::seed_from_u64(seed);
    let mut unknown_count = 0;
    for _ in 0..200 {
        let mut server = start_on_empty_disk(rng.next_u64());
        let bodies: Vec<String> = (0..6).map(|n| format!("d{n}")).collect();
        for body in &bodies {
            server.save(body);
            server.advance(200);
        }
        let (segments, history) = (server.disk.lengths(), server.history.clone());
        let (name, length) = segments[(rng.next_u64() % segments.len() as u64) as usize].clone();
        let bit = rng.next_u64() as usize % (length * 8);
        let mut restarted =
            Simulation::start(server.disk.files().killed(), history, 0, false, rng.next_u64());
        assert!(restarted.disk.damage(&name, |bytes| bytes[bit / 8] ^= 1 << (bit % 8)));
        restarted.recover();
        let (new, read) = (restarted.save("new"), restarted.read());
        restarted.advance(10);
        for body in &bodies {
            restarted.save(body);
        }
        restarted.advance(2_000);
        assert!(matches!(restarted.answer(read), Some(Answer::Served(_))));
        // A flipped version or magic number keeps the whole store closed, and any key may have run too.
        unknown_count += usize::from(matches!(restarted.answer(new), Some(Answer::Unknown)));
        restarted.advance(WINDOW_MS);
        wait_for_all_answers(restarted);
    }
    assert_eq!(unknown_count, 200);
}

/// Guards against segments that accumulate: they must be removed once no retry can need them, without stopping the writes.
#[test]
fn segments_stay_bounded_and_are_removed_once_all_windows_expire() {
    let mut server = start_on_empty_disk(14);
    let mut rng = Pcg64Mcg::seed_from_u64(14);
    let mut max_total_bytes = 0;
    for _ in 0..40 {
        run_workload(&mut server, &mut rng, 10_000, 100);
        max_total_bytes =
            max_total_bytes.max(server.disk.lengths().iter().map(|(_, length)| length).sum::<usize>());
    }
    // About 15 keyed requests a second, each with two records, which are needed for its window and the maximum read delay.
    let live_runs = (WINDOW_MS + max_read_delay_ms() + 10_000) as usize * 15 / 1_000 * 2;
    assert!(max_total_bytes < live_runs * 150 + 4 * SEGMENT_BYTES as usize, "{max_total_bytes} bytes");
    server.advance(10_000);
    for _ in 0..12 {
        server.advance(10_000);
    }
    assert!(server.disk.lengths().is_empty(), "{:?}", server.disk.lengths());
}

/// Guards against a segment of another version that is overwritten, removed or treated as damage.
#[test]
fn a_segment_of_another_version_closes_the_store_and_stays_unchanged() {
    let mut server = start_on_empty_disk(15);
    server.save("e");
    server.advance(2_000);
    let (name, _) = server.disk.lengths()[0].clone();
    let (files, history) = (server.disk.files().killed(), server.history.clone());
    for version in [0_u8, 2, 200] {
        let mut restarted = Simulation::start(files.clone(), history.clone(), 0, false, 16);
        assert!(restarted.disk.damage(&name, |bytes| bytes[8] = version));
        let before = restarted.disk.lengths();
        restarted.open_log();
        restarted.deliver_recovery();
        let (save, read) = (restarted.save("e"), restarted.read());
        restarted.advance(1_000);
        assert!(matches!(restarted.answer(save), Some(Answer::Unknown)));
        assert!(matches!(restarted.answer(read), Some(Answer::Served(_))));
        assert!(restarted.log_lines.iter().any(|line| line.contains("version")), "{:?}", restarted.log_lines);
        assert_eq!(restarted.disk.lengths(), before);
    }
}
