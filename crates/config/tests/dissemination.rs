//! Data of peers that send bad data is rejected, and the peers are quarantined.

mod common;

use common::{base, commit, put_tenant, tenant};
use gradepin_admission::{Span, Time, time_after};
use gradepin_config::dissemination::{
    CommitRecord, Dissemination, DisseminationEffect, DisseminationSettings, Member, Message,
};
use gradepin_config::{Configuration, Name, Revision, Snapshot};
use std::sync::Arc;

const SEED: u64 = 1;

fn member(name: &str) -> Member {
    Member { name: name.into(), zone: "zone".into(), region: "region".into(), voter: false }
}

/// A server at `state` with three peers that are up.
fn server(state: Configuration) -> Dissemination {
    println!("SEED={SEED}");
    let mut server =
        Dissemination::new(DisseminationSettings::default(), member("own"), state, SEED, Time(0));
    ["b", "c", "d"].into_iter().for_each(|name| server.member_up(Arc::new(member(name))));
    server
}

/// The state after a first commit, which sets the portion of a tenant, and the record of this commit.
fn state_and_record_of_first_commit(portion: f64) -> (Configuration, CommitRecord) {
    let commit = commit(1, vec![put_tenant(tenant("acme", portion))]);
    let mut state = base();
    state.apply(&commit).expect("the next commit");
    let digest = state.digest();
    (state, CommitRecord::new(Arc::new(commit), digest))
}

#[test]
fn ignores_commits_of_quarantined_source_until_quarantine_ends() {
    let bad: Name = "b".into();
    let (_, record) = state_and_record_of_first_commit(0.25);
    let mut changed = record.clone();
    Arc::make_mut(&mut changed.commit).author = "somebody else".into();
    let mut server = server(base());
    server.receive(Time(0), &bad, &Message::Push(vec![changed]).encode());
    assert!(server.is_quarantined(Time(0), "b"));
    let valid = Message::Push(vec![record]).encode();
    server.receive(Time(1), &bad, &valid);
    assert_eq!(server.state().revision(), Revision(0));
    let later = time_after(Time(0), DisseminationSettings::default().first_quarantine);
    server.receive(later, &bad, &valid);
    assert_eq!(server.state().revision(), Revision(1));
}

/// The model counts quarantined peers by parsing this text.
#[test]
fn logs_quarantine_with_name_of_peer() {
    let bad: Name = "b".into();
    let (_, mut record) = state_and_record_of_first_commit(0.25);
    Arc::make_mut(&mut record.commit).author = "somebody else".into();
    let mut server = server(base());
    server.receive(Time(0), &bad, &Message::Push(vec![record]).encode());
    let mut effects = Vec::new();
    server.step(Time(0), &mut effects);
    let is_logged = effects.iter().any(|effect| {
        matches!(effect, DisseminationEffect::Log { is_warning: true, text }
            if text == "b quarantined: the checksum of a commit does not match")
    });
    assert!(is_logged, "{effects:?}");
}

/// The snapshot is consistent in itself, but two peers report a different digest for its revision.
#[test]
fn rejects_snapshot_that_two_peers_contradict() {
    let (bad, peers): (Name, [Name; 2]) = ("b".into(), ["c".into(), "d".into()]);
    let (forged, _) = state_and_record_of_first_commit(0.75);
    let (committed, _) = state_and_record_of_first_commit(0.25);
    let mut server = server(base());
    server.receive(Time(0), &bad, &Message::Advert(forged.version()).encode());
    server.receive(Time(0), &bad, &Message::Compacted.encode());
    let (mut now, mut contradicted) = (Time(0), 0);
    while contradicted < peers.len() {
        let mut effects = Vec::new();
        server.step(now, &mut effects);
        for effect in effects {
            let DisseminationEffect::Send { to, bytes } = effect else { continue };
            let response = match Message::decode(&bytes) {
                Some(Message::FetchManifest(_)) if to == bad => {
                    Message::Manifest(Snapshot::of(&forged).manifest())
                }
                Some(Message::FetchVersion(revision)) if to != bad => {
                    contradicted += 1;
                    Message::Version(revision, Some(committed.digest()))
                }
                Some(Message::FetchChunk(wanted)) => {
                    let bytes = Snapshot::of(&forged).chunk(wanted.number).expect("a chunk of the manifest");
                    Message::Chunk { number: wanted.number, bytes }
                }
                _ => continue,
            };
            server.receive(now, &to, &response.encode());
        }
        now = time_after(now, Span(10_000_000));
        assert!(now < Time(60_000_000_000), "no peer was asked for the digest of the revision");
        assert_ne!(server.state().digest(), forged.digest());
    }
    assert!(server.is_quarantined(now, "b"));
    assert_eq!(server.state().revision(), Revision(0));
}
