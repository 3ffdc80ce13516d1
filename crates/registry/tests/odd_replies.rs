//! A server's registration against a registry that says anything at any time, and a clock that jumps: nothing ends the process,
//! no question is put for ever at one moment, and what was undone here stays undone.

use gradepin_admission::{Span, Time, time_after};
use gradepin_registry::instance::{Instance, InstanceStatus};
use gradepin_registry::membership::{
    Membership, MembershipSettings, RegistryOperation, RegistryReply, RegistryRequest, RequestLane,
};
use gradepin_registry::wire::{self, Format};
use proptest::prelude::*;
use rand_pcg::Pcg64Mcg;
use rand_pcg::rand_core::{Rng, SeedableRng};

const MS: u64 = 1_000_000;

fn settings(urls: usize) -> MembershipSettings {
    MembershipSettings {
        instance: Instance { id: "n1".into(), app: "TILES".into(), ..Instance::default() },
        urls,
        heartbeat: Span(10_000 * MS),
        timeout: Span(1_000 * MS),
        min_change_interval: Span(1_000 * MS),
        stabilization_period: Span(500 * MS),
        ready_share: 0.6,
        cold_capacity: 0.2,
        cold: Span(8_000 * MS),
        preferred_retry_interval: Span(30_000 * MS),
        cancel: true,
    }
}

/// What the registry has of this server.
fn record(status: InstanceStatus, dirty_ms: u64) -> RegistryReply {
    RegistryReply::Record(Box::new(Instance { id: "n1".into(), status, dirty_ms, ..Instance::default() }))
}

/// Puts questions until one of this kind is put, and answers the others as done.
fn asked(
    membership: &mut Membership,
    now: &mut Time,
    wanted: impl Fn(&RegistryRequest) -> bool,
) -> RegistryRequest {
    for _ in 0..200 {
        while let Some(ask) = membership.poll(*now, now.0 / MS) {
            if wanted(&ask) {
                return ask;
            }
            let shown = membership.shown().unwrap_or_default();
            let reply = if ask.operation == RegistryOperation::FetchOwnRecord {
                record(shown, 1)
            } else {
                RegistryReply::Done
            };
            membership.reply(*now, ask.ticket, reply);
        }
        *now = time_after(*now, Span(100 * MS));
    }
    panic!("it is never asked");
}

/// Guards the process against a time of the last change that has no next one.
#[test]
fn a_record_of_the_last_moment_there_is_ends_nothing() {
    for dirty_ms in [u64::MAX - 1, u64::MAX] {
        let mut now = Time(1_000 * MS);
        let mut membership = Membership::new(settings(1), 5, now);
        let look = asked(&mut membership, &mut now, |ask| ask.operation == RegistryOperation::FetchOwnRecord);
        membership.reply(now, look.ticket, record(InstanceStatus::Starting, dirty_ms));
        let again =
            asked(&mut membership, &mut now, |ask| matches!(ask.operation, RegistryOperation::Register(_)));
        membership.reply(now, again.ticket, RegistryReply::Done);
        membership.leave(now);
        asked(&mut membership, &mut now, |ask| ask.lane == RequestLane::Urgent);
    }
}

/// Guards a server that was taken back in against an answer of the leave before, by a registry that is no longer in use.
#[test]
fn a_late_answer_to_a_leave_that_was_undone_takes_nobody_out() {
    let mut now = Time(1_000 * MS);
    let mut membership = Membership::new(settings(2), 5, now);
    membership.processor(Some((now, false)));
    membership.health(now, true);
    asked(&mut membership, &mut now, |ask| matches!(ask.operation, RegistryOperation::Heartbeat { .. }));
    membership.leave(now);
    let look = asked(&mut membership, &mut now, |ask| {
        ask.lane == RequestLane::Urgent && ask.operation == RegistryOperation::FetchOwnRecord
    });
    membership.return_to_service();
    now = time_after(now, Span(600 * MS));
    // The other lane's question runs out of its time meanwhile, so the second registry is in use.
    let routine = (1..look.ticket).rev().find(|ticket| {
        membership.reply(now, *ticket, RegistryReply::Failed("cut".into()));
        membership.take_log_lines().iter().any(|note| note.contains("failed"))
    });
    assert!(routine.is_some(), "one was open");
    membership.reply(now, look.ticket, record(InstanceStatus::OutOfService, 1));
    assert_eq!(membership.wanted(now), InstanceStatus::Up, "an operator took it back in");
}

/// 200,000 moments of drawn events and answers over 400 seeds.
#[test]
fn whatever_a_registry_answers_questions_end_and_have_a_next_time() {
    for seed in 0..400 {
        println!("seed {seed}");
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let mut now = Time(1_000 * MS);
        let mut membership = Membership::new(settings(1 + (seed % 3) as usize), seed, now);
        let mut open: Vec<RegistryRequest> = Vec::new();
        for _ in 0..500 {
            let mut put = 0;
            while let Some(ask) = membership.poll(now, now.0 / MS) {
                open.push(ask);
                put += 1;
                assert!(put < 8, "{open:?} at {}", now.0);
            }
            assert!(membership.wake_at(now) > now, "a turn at {} again and again", now.0);
            let draw = rng.next_u64();
            let ticket = open.get(draw as usize % open.len().max(1)).map_or(draw % 99, |ask| ask.ticket);
            let status = [
                InstanceStatus::Up,
                InstanceStatus::Down,
                InstanceStatus::Starting,
                InstanceStatus::OutOfService,
                InstanceStatus::Unknown,
            ];
            let status = status[(draw >> 8) as usize % 5];
            let dirty_ms = [0, now.0 / MS, u64::MAX, u64::MAX - 1, 1][(draw >> 16) as usize % 5];
            match (draw >> 24) % 16 {
                0 => membership.leave(now),
                1 => membership.return_to_service(),
                2 => membership.health(now, draw.is_multiple_of(2)),
                3 => membership.processor((!draw.is_multiple_of(3)).then_some((now, draw.is_multiple_of(5)))),
                4 => membership.metadata("store", &draw.to_string()),
                5 if draw.is_multiple_of(50) => membership.answered(),
                6..9 => membership.reply(now, ticket, RegistryReply::Done),
                9 => membership.reply(now, ticket, RegistryReply::NotFound),
                10 => membership.reply(now, ticket, RegistryReply::Rejected((draw >> 32) as u16)),
                11 => membership.reply(now, ticket, RegistryReply::Failed("odd".into())),
                12..14 => membership.reply(now, ticket, record(status, dirty_ms)),
                14 => now = time_after(now, Span(rng.next_u64() % (4_000_000 * MS))),
                _ => now = membership.wake_at(now).min(time_after(now, Span(5_000 * MS))),
            }
        }
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 4_000, ..ProptestConfig::default() })]

    /// Guards the thread that reads answers: a record with bytes changed, cut or doubled is read or refused.
    #[test]
    fn mutated_records_are_read_or_refused(
        json in any::<bool>(),
        changes in proptest::collection::vec((any::<u16>(), any::<u8>(), 0..4_u8), 1..8),
    ) {
        let format = if json { Format::Json } else { Format::Xml };
        let instance = Instance {
            id: "n1".into(),
            app: "TILES".into(),
            host: "h<&\"\u{e4}".into(),
            metadata: [("zone".to_string(), "z&<>".to_string())].into(),
            ..Instance::default()
        };
        let mut bytes = wire::write_instance(&instance, format);
        for (place, byte, kind) in changes {
            let place = usize::from(place) % bytes.len().max(1);
            match kind {
                0 if !bytes.is_empty() => bytes[place] = byte,
                1 => bytes.truncate(place.max(1)),
                2 => bytes.insert(place.min(bytes.len()), byte),
                _ => { let tail = bytes[place.min(bytes.len())..].to_vec(); bytes.extend(tail); }
            }
            bytes.truncate(20_000);
        }
        let _ = wire::read_instance(&bytes, format);
        let _ = wire::read_applications(&bytes, format);
    }
}
