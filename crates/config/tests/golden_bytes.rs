//! Messages between servers and the JSON of the admin endpoint must be encoded as in the golden files of an earlier version.

mod golden;

use golden::{assert_golden_json, assert_golden_lines, assert_golden_values, golden_file};
use gradepin_admission::{ClassProfile, Idempotency, Span, Tenant};
use gradepin_config::admin::query::{Diff, History, Page, Show, request_query};
use gradepin_config::admin::{
    AdminError, ApplyReply, ApplyRequest, CommitSummary, DiffReply, HistoryReply, LaggingServer,
    RevisionSpread, RollbackRequest, ShowReply, ShownEntry, Source, StatusReply,
};
use gradepin_config::change::{Change, ClassDefinition, Commit, Name, Proposal, Revision, Rule, Transaction};
use gradepin_config::chunk::ChunkNumber;
use gradepin_config::digest::{self, Digest, Version};
use gradepin_config::dissemination::{CommitRecord, Message};
use gradepin_config::snapshot::{ChunkDigest, Manifest};
use gradepin_config::{Document, Invalid};
use std::sync::Arc;

fn name(text: &str) -> Name {
    Arc::from(text)
}

fn class(name: &str, effect: Idempotency) -> Arc<ClassDefinition> {
    let profile = ClassProfile {
        name: name.into(),
        latency_objective: Span(100),
        deadline: Span(200),
        effect,
        late_value: 0.25,
        window: Span(300),
        priority_weight: 1.5,
        objective_stretch: 0.75,
    };
    Arc::new(ClassDefinition { profile, calls: true, skip_weight: 0.125 })
}

fn tenant() -> Arc<Tenant> {
    Arc::new(Tenant { name: "osm".into(), quota_rps: 10.5, portion: 0.2 })
}

fn rules() -> Vec<Rule> {
    vec![
        Rule::AnswerSlack(Span(1)),
        Rule::Cold(Span(2)),
        Rule::ColdShare(0.5),
        Rule::DrainGrace(Span(3)),
        Rule::Fall(Span(4)),
        Rule::TipMultiple(4.5),
        Rule::OverShareWorth(0.0625),
    ]
}

/// Every kind of change, every rule, and a class of every idempotency.
fn changes() -> Vec<Change> {
    let mut changes = vec![
        Change::PutClass(class("c1", Idempotency::Idempotent)),
        Change::PutClass(class("c2", Idempotency::Keyed)),
        Change::PutClass(class("c3", Idempotency::NonIdempotent)),
        Change::RemoveClass(name("old")),
        Change::PutTenant(tenant()),
        Change::RemoveTenant(name("gone")),
    ];
    changes.extend(rules().into_iter().map(Change::PutRule));
    changes
}

fn commit() -> Commit {
    Commit {
        revision: Revision(300),
        author: name("ada"),
        reason: name("more"),
        request_id: name("r1"),
        proposed_at_ms: 1_700_000_000_000,
        transaction: Transaction { changes: changes() },
    }
}

fn proposal(expected: Option<Revision>) -> Proposal {
    let transaction = Transaction { changes: changes() };
    Proposal { request_id: name("r1"), author: name("ada"), reason: name("more"), expected, transaction }
}

const DIGEST: Digest = Digest(0x0102_0304_0506_0708_090a_0b0c_0d0e_0f10);

fn version() -> Version {
    Version { revision: Revision(300), digest: DIGEST }
}

fn messages() -> Vec<(&'static str, Message)> {
    let record = || CommitRecord::new(Arc::new(commit()), DIGEST);
    let chunk = ChunkDigest { number: ChunkNumber(299), digest: DIGEST };
    let manifest = Manifest { version: version(), rules: rules(), chunks: vec![chunk] };
    vec![
        ("advert", Message::Advert(version())),
        ("push", Message::Push(vec![record()])),
        ("fetch", Message::Fetch(version())),
        ("commits", Message::Commits { records: vec![record()], last: true }),
        ("compacted", Message::Compacted),
        ("busy", Message::Busy),
        ("fetch manifest", Message::FetchManifest(Revision(300))),
        ("manifest", Message::Manifest(manifest)),
        ("fetch version", Message::FetchVersion(Revision(300))),
        ("version", Message::Version(Revision(300), Some(DIGEST))),
        ("version unknown", Message::Version(Revision(300), None)),
        ("fetch chunk", Message::FetchChunk(chunk)),
        ("chunk", Message::Chunk { number: ChunkNumber(299), bytes: vec![1, 2, 3] }),
        ("no chunk", Message::NoChunk(ChunkNumber(299))),
    ]
}

#[test]
fn encodes_every_message_between_servers_as_golden_bytes() {
    assert_golden_values(golden_file!("messages.txt"), &messages());
    for (label, message) in messages() {
        assert_eq!(Message::decode(&message.encode()), Some(message), "{label}");
    }
    let Some(Message::Push(records)) = Message::decode(&messages()[1].1.encode()) else { panic!("a push") };
    assert!(records.iter().all(CommitRecord::is_intact));
}

#[test]
fn encodes_every_change_as_golden_bytes() {
    assert_golden_values(
        golden_file!("changes.txt"),
        &changes().into_iter().map(|change| ("change", change)).collect::<Vec<_>>(),
    );
    assert_golden_values(golden_file!("commit.txt"), &[("commit", commit())]);
}

/// Servers whose versions hash an entry differently would never agree on the digest of a state.
#[test]
fn hashes_entries_and_assigns_chunks_as_golden_digests() {
    let mut entries = vec![
        ("repeatable", digest::StateEntry::Class(class("c1", Idempotency::Idempotent))),
        ("by key", digest::StateEntry::Class(class("c2", Idempotency::Keyed))),
        ("once", digest::StateEntry::Class(class("c3", Idempotency::NonIdempotent))),
        ("tenant", digest::StateEntry::Tenant(tenant())),
    ];
    entries.extend(rules().into_iter().map(|rule| (rule.name(), digest::StateEntry::Rule(rule))));
    assert_golden_values(golden_file!("entries.txt"), &entries);
    let digests: Vec<_> = entries.iter().map(|(label, entry)| (*label, entry.digest().to_string())).collect();
    assert_golden_lines(golden_file!("digests.txt"), &digests);
    let chunks = ["label-save", "osm", "Järvi & co", ""];
    let chunks = chunks.map(|name| ("chunk", format!("{name} {}", ChunkNumber::of(name).0)));
    assert_golden_lines(golden_file!("chunks.txt"), &chunks);
}

#[test]
fn writes_apply_and_rollback_requests_as_golden_json_and_reads_them() {
    let apply = |expected, dry_run| ApplyRequest { proposal: proposal(expected), dry_run };
    let applies = [("apply", apply(Some(Revision(300)), false)), ("dry run", apply(None, true))];
    assert_golden_json(golden_file!("apply-requests.txt"), &applies);
    let rollback = RollbackRequest {
        to: Revision(38),
        request_id: name("r2"),
        author: name("ada"),
        reason: name("late"),
        expected: Some(Revision(41)),
        dry_run: true,
    };
    assert_golden_json(golden_file!("rollback-request.txt"), &[("rollback", rollback)]);
}

fn admin_errors() -> Vec<(&'static str, AdminError)> {
    let (expected, in_force, request_id) = (Revision(41), Revision(43), name("r1"));
    vec![
        ("stale", AdminError::Stale { expected, in_force }),
        ("invalid", AdminError::Invalid(Invalid::new("changes[0]", "a name", "none"))),
        ("id reused", AdminError::RequestIdReused { request_id: request_id.clone(), revision: expected }),
        ("no leader", AdminError::NoLeader { reason: "n".into() }),
        ("too busy", AdminError::TooBusy { retry_ms: 500 }),
        (
            "unknown revision",
            AdminError::UnknownRevision { revision: Revision(1), oldest: expected, newest: in_force },
        ),
        ("servers fail", AdminError::TooManyFailedServers { servers: 3, max_servers: 2, revision: expected }),
        (
            "unknown entry",
            AdminError::UnknownEntry { kind: "class".into(), name: name("c1"), revision: expected },
        ),
        ("unknown request", AdminError::UnknownRequest { request_id }),
        ("bad call", AdminError::BadCall { reason: "b".into() }),
        ("off", AdminError::Off),
    ]
}

#[test]
fn writes_apply_replies_and_errors_as_golden_json_and_reads_them() {
    let replies = [
        ("pending", ApplyReply::Pending { request_id: name("r1") }),
        ("committed", ApplyReply::Committed { revision: Revision(42), repeated: true }),
        ("valid", ApplyReply::Valid { against: Revision(42), changes: 3 }),
    ];
    assert_golden_json(golden_file!("apply-replies.txt"), &replies);
    assert_golden_json(golden_file!("refusals.txt"), &admin_errors());
    let statuses = admin_errors();
    let statuses: Vec<_> = statuses
        .iter()
        .map(|(label, error)| (*label, format!("{} {}", error.status(), error.is_transient())))
        .collect();
    assert_golden_lines(golden_file!("refusal-statuses.txt"), &statuses);
}

fn status(source: Source) -> StatusReply {
    let spread = RevisionSpread {
        revision: Revision(42),
        proposed_at_ms: 1,
        servers: 1_098,
        total_servers: 1_100,
        zones: 14,
        total_zones: 15,
        p50_ms: Some(900),
        p99_ms: None,
    };
    let lagging = LaggingServer {
        server: name("n7"),
        zone: name("z1"),
        revision: Some(Revision(40)),
        since_s: 61.5,
        reachable: true,
        cannot_apply: Some("no".into()),
    };
    StatusReply {
        server: Some(name("n1")),
        revision: Revision(41),
        digest: DIGEST.to_string(),
        newest: Revision(42),
        leader: Some(name("n2")),
        age_s: Some(0.75),
        stale: true,
        source,
        cannot_apply: Some("why".into()),
        revisions: vec![spread],
        lagging: vec![lagging],
        lagging_servers: 7,
    }
}

#[test]
fn writes_status_history_diff_and_show_replies_as_golden_json_and_reads_them() {
    let statuses = [
        ("of the start file", status(Source::StartFile)),
        ("of a snapshot", status(Source::Snapshot)),
        ("of the fleet", status(Source::Fleet)),
        ("of nothing", StatusReply::default()),
    ];
    assert_golden_json(golden_file!("statuses.txt"), &statuses);
    let line = CommitSummary {
        revision: Revision(42),
        author: name("ada"),
        reason: name("more"),
        request_id: name("r1"),
        proposed_at_ms: 17,
        changes: 3,
    };
    let history = HistoryReply { newest: Revision(42), oldest: Revision(2), commits: vec![line] };
    assert_golden_json(golden_file!("history.txt"), &[("history", history)]);
    let diff = DiffReply { from: Revision(2), to: Revision(3), changes: changes(), omitted_changes: 9 };
    assert_golden_json(golden_file!("diff.txt"), &[("diff", diff)]);
    let show = ShowReply {
        revision: Revision(42),
        digest: DIGEST.to_string(),
        classes: 5,
        tenants: 6,
        rules: rules(),
        entries: vec![ShownEntry::Class(class("c1", Idempotency::Keyed)), ShownEntry::Tenant(tenant())],
        next: Some(name("osm")),
    };
    assert_golden_json(golden_file!("show.txt"), &[("show", show)]);
}

#[test]
fn writes_a_document_of_all_changes_as_golden_json_and_reads_it() {
    let document = Document::from(&Transaction { changes: changes() });
    assert_golden_json(
        golden_file!("document.txt"),
        &[("all", document.clone()), ("none", Document::default())],
    );
    let sparse = r#"{"classes":[{"name":"c1","promise":1,"deadline":2,"effect":"once","worth":1.0}],"tenants":[{"name":"osm"}]}"#;
    let sparse: Document = serde_json::from_str(sparse).expect("a document");
    assert_golden_json(golden_file!("document-defaults.txt"), &[("defaults", sparse)]);
    let order = Transaction::from(document);
    assert_golden_values(golden_file!("document-transaction.txt"), &[("transaction", order)]);
}

#[test]
fn writes_queries_as_golden_text() {
    let reserved_name = || name("Järvi & co=1/2 %");
    let page = |after| Page { after, limit: 50 };
    let lines = [
        ("summary", Show::Summary.to_query()),
        ("class", Show::Class(reserved_name()).to_query()),
        ("tenant", Show::Tenant(reserved_name()).to_query()),
        ("classes", Show::Classes(page(None)).to_query()),
        ("tenants", Show::Tenants(page(Some(reserved_name()))).to_query()),
        ("history", History { before: None, limit: 20 }.to_query()),
        ("history before", History { before: Some(Revision(7)), limit: 20 }.to_query()),
        ("diff", Diff { from: Revision(1), to: None }.to_query()),
        ("diff to", Diff { from: Revision(1), to: Some(Revision(2)) }.to_query()),
        ("request", request_query("r 1")),
    ];
    assert_golden_lines(golden_file!("queries.txt"), &lines);
}
