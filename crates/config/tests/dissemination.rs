//! Sources that serve bad data, message by message: what they say is not taken, and they are left out for a time.

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

/// A server that knows three peers.
fn server(state: Configuration) -> Dissemination {
    println!("SEED={SEED}");
    let mut server =
        Dissemination::new(DisseminationSettings::default(), member("own"), state, SEED, Time(0));
    ["b", "c", "d"].into_iter().for_each(|name| server.member_up(Arc::new(member(name))));
    server
}

/// The state after the first commit, which sets this portion, and the record of it.
fn first(portion: f64) -> (Configuration, CommitRecord) {
    let commit = commit(1, vec![put_tenant(tenant("acme", portion))]);
    let mut state = base();
    state.apply(&commit).expect("the next commit");
    let digest = state.digest();
    (state, CommitRecord::new(Arc::new(commit), digest))
}

#[test]
fn a_source_that_is_left_out_is_not_believed_until_its_time_is_over() {
    let bad: Name = "b".into();
    let (_, record) = first(0.25);
    let mut changed = record.clone();
    Arc::make_mut(&mut changed.commit).author = "somebody else".into();
    let mut server = server(base());
    server.receive(Time(0), &bad, &Message::Push(vec![changed]).encode());
    assert!(server.is_quarantined(Time(0), "b"));
    let whole = Message::Push(vec![record]).encode();
    server.receive(Time(1), &bad, &whole);
    assert_eq!(server.state().revision(), Revision(0));
    let later = time_after(Time(0), DisseminationSettings::default().quarantine);
    server.receive(later, &bad, &whole);
    assert_eq!(server.state().revision(), Revision(1));
}

/// Guards the model, which counts quarantined sources by this text.
#[test]
fn notes_a_quarantine_with_the_name_of_the_source() {
    let bad: Name = "b".into();
    let (_, mut record) = first(0.25);
    Arc::make_mut(&mut record.commit).author = "somebody else".into();
    let mut server = server(base());
    server.receive(Time(0), &bad, &Message::Push(vec![record]).encode());
    let mut effects = Vec::new();
    server.step(Time(0), &mut effects);
    let noted = effects.iter().any(|effect| {
        matches!(effect, DisseminationEffect::Note { bad: true, text }
            if text == "b quarantined: the checksum of a commit does not match")
    });
    assert!(noted, "{effects:?}");
}

/// Two peers name another digest for the revision of a snapshot that is consistent in itself.
#[test]
fn a_snapshot_that_others_contradict_is_not_taken() {
    let (bad, peers): (Name, [Name; 2]) = ("b".into(), ["c".into(), "d".into()]);
    let (forged, _) = first(0.75);
    let (committed, _) = first(0.25);
    let mut server = server(base());
    server.receive(Time(0), &bad, &Message::Advert(forged.version()).encode());
    server.receive(Time(0), &bad, &Message::Compacted.encode());
    let (mut now, mut contradicted) = (Time(0), 0);
    while contradicted < peers.len() {
        let mut effects = Vec::new();
        server.step(now, &mut effects);
        for effect in effects {
            let DisseminationEffect::Send { to, bytes } = effect else { continue };
            let answer = match Message::decode(&bytes) {
                Some(Message::FetchManifest(_)) if to == bad => {
                    Message::Manifest(Snapshot::of(&forged).manifest())
                }
                Some(Message::FetchVersion(revision)) if to != bad => {
                    contradicted += 1;
                    Message::Version(revision, Some(committed.digest()))
                }
                Some(Message::FetchChunk(wanted)) => {
                    let bytes = Snapshot::of(&forged).chunk(wanted.number).expect("a chunk of it");
                    Message::Chunk { number: wanted.number, bytes }
                }
                _ => continue,
            };
            server.receive(now, &to, &answer.encode());
        }
        now = time_after(now, Span(10_000_000));
        assert!(now < Time(60_000_000_000), "nobody was asked for the digest of the revision");
        assert_ne!(server.state().digest(), forged.digest());
    }
    assert!(server.is_quarantined(now, "b"));
    assert_eq!(server.state().revision(), Revision(0));
}
