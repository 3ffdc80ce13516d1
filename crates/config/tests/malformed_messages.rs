//! Malformed messages from an authenticated server: with bytes that are changed, truncated, repeated, or taken from other messages.
//! No such message may crash a server, make it step forever at the same time, or change the state in force.

mod common;

use common::{base, class, commit, put_class, put_tenant, tenant};
use gradepin_admission::{Span, Time, time_after};
use gradepin_config::dissemination::{
    Dissemination, DisseminationEffect, DisseminationSettings, Member, Message,
};
use gradepin_config::{Name, Revision, Snapshot};
use rand_pcg::Pcg64Mcg;
use rand_pcg::rand_core::{Rng, SeedableRng};
use std::sync::Arc;

const MS: u64 = 1_000_000;
const SERVER_COUNT: usize = 4;

fn name(n: usize) -> Name {
    Arc::from(format!("n{n}"))
}

fn member(n: usize) -> Member {
    Member { name: name(n), zone: "zone".into(), region: "region".into(), voter: n < 2 }
}

struct Fleet {
    now: Time,
    servers: Vec<Dissemination>,
    sent: Vec<(usize, Vec<u8>)>,
}

impl Fleet {
    fn new(seed: u64) -> Self {
        let server = |n| {
            let settings = DisseminationSettings::default();
            let mut server = Dissemination::new(settings, member(n), base(), seed + n as u64, Time(0));
            (0..SERVER_COUNT)
                .filter(|other| *other != n)
                .for_each(|other| server.member_up(Arc::new(member(other))));
            server
        };
        Self { now: Time(0), servers: (0..SERVER_COUNT).map(server).collect(), sent: Vec::new() }
    }

    /// Steps all servers at the current time and delivers their messages until no server is due.
    fn settle(&mut self, record_messages: bool) {
        for _ in 0..100 {
            for n in 0..SERVER_COUNT {
                let mut effects = Vec::new();
                self.servers[n].step(self.now, &mut effects);
                for effect in effects {
                    let DisseminationEffect::Send { to, bytes } = effect else { continue };
                    let Some(to) = (0..SERVER_COUNT).find(|other| name(*other) == to) else { continue };
                    self.servers[to].receive(self.now, &name(n), &bytes);
                    if record_messages {
                        self.sent.push((to, bytes));
                    }
                }
            }
            if self.servers.iter().all(|server| server.wake_at(self.now) > self.now) {
                return;
            }
        }
        panic!("a server is due at {} after 100 rounds", self.now.0);
    }

    fn run(&mut self, ms: u64, record_messages: bool) {
        for _ in 0..ms / 20 {
            self.now = time_after(self.now, Span(20 * MS));
            self.settle(record_messages);
        }
    }
}

/// A fleet that has disseminated commits and in which one server has fetched a snapshot. All messages are recorded.
fn fleet_with_history(seed: u64) -> Fleet {
    let mut fleet = Fleet::new(seed);
    for revision in 1..=30 {
        let change = match revision % 2 {
            0 => put_class(class(&format!("c{revision}"), revision)),
            _ => put_tenant(tenant(&format!("t{revision}"), 0.1)),
        };
        let commit = Arc::new(commit(revision, vec![change]));
        fleet.servers[0].committed(fleet.now, Arc::clone(&commit));
        fleet.servers[1].committed(fleet.now, commit);
        fleet.run(40, true);
    }
    let settings = DisseminationSettings::default();
    fleet.servers[3] = Dissemination::new(settings, member(3), base(), seed, fleet.now);
    (0..3).for_each(|other| fleet.servers[3].member_up(Arc::new(member(other))));
    fleet.servers[3].receive(fleet.now, &name(0), &Message::Compacted.encode());
    fleet.run(6_000, true);
    assert!(fleet.servers.iter().all(|server| server.state().revision() == Revision(30)));
    fleet
}

/// Applies one to three random corruptions to `bytes`, some of which copy bytes of `other`.
fn corrupt(rng: &mut Pcg64Mcg, bytes: &mut Vec<u8>, other: &[u8]) {
    for _ in 0..1 + rng.next_u64() % 3 {
        let index = rng.next_u64() as usize % bytes.len().max(1);
        match rng.next_u64() % 7 {
            0 if !bytes.is_empty() => bytes[index] ^= 1 << (rng.next_u64() % 8),
            1 => bytes.truncate(index),
            2 if !bytes.is_empty() => {
                let max_varint = [0xff; 9].into_iter().chain([0x01]);
                bytes.splice(index..=index, max_varint);
            }
            3 => bytes.splice(index.., other.iter().skip(index).copied()).for_each(drop),
            4 => bytes.extend(other.iter().skip(index).take(200).copied()),
            5 if !bytes.is_empty() => bytes[index] = rng.next_u64() as u8,
            _ if !bytes.is_empty() => bytes[index] = [0, 1, 0x7f, 0x80, 0xff][rng.next_u64() as usize % 5],
            _ => bytes.push(0),
        }
    }
}

/// The digest does not cover the revision, and a snapshot needs no confirmation if only one peer is up. So a single faulty peer
/// could otherwise install a revision that has no successor.
#[test]
fn rejects_snapshot_past_the_highest_revision() {
    for revision in [u64::MAX, u64::MAX - 1, 1 << 63] {
        let mut server = Dissemination::new(DisseminationSettings::default(), member(0), base(), 1, Time(0));
        let peer = name(1);
        server.member_up(Arc::new(member(1)));
        server.receive(Time(0), &peer, &Message::Compacted.encode());
        let mut now = Time(0);
        for _ in 0..400 {
            now = time_after(now, Span(20 * MS));
            let mut effects = Vec::new();
            server.step(now, &mut effects);
            for effect in effects {
                let DisseminationEffect::Send { bytes, .. } = effect else { continue };
                if let Some(Message::FetchManifest(_)) = Message::decode(&bytes) {
                    let mut manifest = Snapshot::of(&base()).manifest();
                    manifest.version.revision = Revision(revision);
                    server.receive(now, &peer, &Message::Manifest(manifest).encode());
                }
            }
        }
        assert_eq!(server.state().revision(), Revision(0), "offered {revision}");
    }
}

#[test]
fn survives_malformed_messages_without_change_of_state() {
    let seeds = std::env::var("SEEDS").ok().and_then(|text| text.parse().ok()).unwrap_or(8);
    for seed in 0..seeds {
        println!("seed {seed}");
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let mut fleet = fleet_with_history(seed);
        let committed = fleet.servers[0].state().version();
        let sent = std::mem::take(&mut fleet.sent);
        for n in 0..3_000 {
            let (to, bytes) = &sent[rng.next_u64() as usize % sent.len()];
            let (_, other) = &sent[rng.next_u64() as usize % sent.len()];
            let mut bytes = bytes.clone();
            corrupt(&mut rng, &mut bytes, other);
            let from = name(rng.next_u64() as usize % (SERVER_COUNT + 1));
            fleet.servers[*to].receive(fleet.now, &from, &bytes);
            fleet.settle(false);
            if n % 10 == 0 {
                fleet.run(40, false);
            }
        }
        for server in &fleet.servers {
            assert_eq!(server.state().version(), committed, "seed {seed}");
        }
    }
}
