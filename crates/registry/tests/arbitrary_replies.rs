//! The registration of a server with a registry that sends arbitrary replies at any time, and with a clock that jumps. Nothing
//! must panic, no poll may return requests forever at one time, and a leave that was undone must stay undone.

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

/// A reply with the registry's record of this server.
fn record(status: InstanceStatus, dirty_ms: u64) -> RegistryReply {
    RegistryReply::Record(Box::new(Instance { id: "n1".into(), status, dirty_ms, ..Instance::default() }))
}

/// Polls until a wanted request is returned, and replies to all others with success.
fn poll_until(
    membership: &mut Membership,
    now: &mut Time,
    wanted: impl Fn(&RegistryRequest) -> bool,
) -> RegistryRequest {
    for _ in 0..200 {
        while let Some(request) = membership.poll(*now, now.0 / MS) {
            if wanted(&request) {
                return request;
            }
            let shown = membership.shown().unwrap_or_default();
            let reply = if request.operation == RegistryOperation::FetchOwnRecord {
                record(shown, 1)
            } else {
                RegistryReply::Done
            };
            membership.reply(*now, request.ticket, reply);
        }
        *now = time_after(*now, Span(100 * MS));
    }
    panic!("the wanted request is never sent");
}

/// Guards against an overflow if a record from the registry has a time of change that no later time exceeds.
#[test]
fn survives_a_record_with_the_highest_time_of_change() {
    for dirty_ms in [u64::MAX - 1, u64::MAX] {
        let mut now = Time(1_000 * MS);
        let mut membership = Membership::new(settings(1), 5, now);
        let fetch =
            poll_until(&mut membership, &mut now, |r| r.operation == RegistryOperation::FetchOwnRecord);
        membership.reply(now, fetch.ticket, record(InstanceStatus::Starting, dirty_ms));
        let registration =
            poll_until(&mut membership, &mut now, |r| matches!(r.operation, RegistryOperation::Register(_)));
        membership.reply(now, registration.ticket, RegistryReply::Done);
        membership.leave(now);
        poll_until(&mut membership, &mut now, |request| request.lane == RequestLane::Urgent);
    }
}

/// Guards against a server that leaves again after it returned to service, because a registry that is no longer in use replies late
/// to a request of the earlier leave.
#[test]
fn a_late_reply_to_an_undone_leave_keeps_the_server_in_service() {
    let mut now = Time(1_000 * MS);
    let mut membership = Membership::new(settings(2), 5, now);
    membership.processor(Some((now, false)));
    membership.health(now, true);
    poll_until(&mut membership, &mut now, |r| matches!(r.operation, RegistryOperation::Heartbeat { .. }));
    membership.leave(now);
    let fetch = poll_until(&mut membership, &mut now, |request| {
        request.lane == RequestLane::Urgent && request.operation == RegistryOperation::FetchOwnRecord
    });
    membership.return_to_service();
    now = time_after(now, Span(600 * MS));
    // The open request of the routine lane fails meanwhile, so the second registry is in use.
    let routine_ticket = (1..fetch.ticket).rev().find(|ticket| {
        membership.reply(now, *ticket, RegistryReply::Failed("cut".into()));
        membership.take_log_lines().iter().any(|line| line.contains("failed"))
    });
    assert!(routine_ticket.is_some(), "a routine request was open");
    membership.reply(now, fetch.ticket, record(InstanceStatus::OutOfService, 1));
    assert_eq!(membership.wanted(now), InstanceStatus::Up, "an operator returned it to service");
}

/// Guards against endless polls and busy loops: 400 seeds with 500 random events and replies each.
#[test]
fn polls_terminate_and_the_next_wake_up_is_later_for_arbitrary_replies() {
    for seed in 0..400 {
        println!("seed {seed}");
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let mut now = Time(1_000 * MS);
        let mut membership = Membership::new(settings(1 + (seed % 3) as usize), seed, now);
        let mut open_requests: Vec<RegistryRequest> = Vec::new();
        for _ in 0..500 {
            let mut polled_requests = 0;
            while let Some(request) = membership.poll(now, now.0 / MS) {
                open_requests.push(request);
                polled_requests += 1;
                assert!(polled_requests < 8, "{open_requests:?} at {}", now.0);
            }
            assert!(membership.wake_at(now) > now, "wakes up at {} again without progress", now.0);
            let random = rng.next_u64();
            let ticket = open_requests
                .get(random as usize % open_requests.len().max(1))
                .map_or(random % 99, |request| request.ticket);
            let status = [
                InstanceStatus::Up,
                InstanceStatus::Down,
                InstanceStatus::Starting,
                InstanceStatus::OutOfService,
                InstanceStatus::Unknown,
            ];
            let status = status[(random >> 8) as usize % 5];
            let dirty_ms = [0, now.0 / MS, u64::MAX, u64::MAX - 1, 1][(random >> 16) as usize % 5];
            match (random >> 24) % 16 {
                0 => membership.leave(now),
                1 => membership.return_to_service(),
                2 => membership.health(now, random.is_multiple_of(2)),
                3 => membership
                    .processor((!random.is_multiple_of(3)).then_some((now, random.is_multiple_of(5)))),
                4 => membership.metadata("store", &random.to_string()),
                5 if random.is_multiple_of(50) => membership.answered(),
                6..9 => membership.reply(now, ticket, RegistryReply::Done),
                9 => membership.reply(now, ticket, RegistryReply::NotFound),
                10 => membership.reply(now, ticket, RegistryReply::Rejected((random >> 32) as u16)),
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

    /// Guards the thread that reads replies against a panic: a record with bytes changed, inserted, truncated or duplicated must be
    /// read or rejected.
    #[test]
    fn reading_mutated_records_never_panics(
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
        for (position, byte, kind) in changes {
            let position = usize::from(position) % bytes.len().max(1);
            match kind {
                0 if !bytes.is_empty() => bytes[position] = byte,
                1 => bytes.truncate(position.max(1)),
                2 => bytes.insert(position.min(bytes.len()), byte),
                _ => { let tail = bytes[position.min(bytes.len())..].to_vec(); bytes.extend(tail); }
            }
            bytes.truncate(20_000);
        }
        let _ = wire::read_instance(&bytes, format);
        let _ = wire::read_applications(&bytes, format);
    }
}
