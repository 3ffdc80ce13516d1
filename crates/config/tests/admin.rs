//! JSON of the admin endpoints, in the form that the design page documents, and query strings.

use gradepin_admission::Span;
use gradepin_config::admin::query::{self, Diff, History, Page, Show};
use gradepin_config::admin::{AdminError, ApplyReply, ApplyRequest, RollbackRequest, StatusReply};
use gradepin_config::change::{Change, Revision, Rule};
use std::sync::Arc;

/// Uses the examples of `docs/design/configuration-admin.md`.
#[test]
fn parses_the_examples_of_the_design_page() {
    let text = r#"{"proposal": {"request_id": "r-1", "author": "kaisa", "reason": "more for osm", "expected": 41,
        "transaction": {"changes": [{"PutTenant": {"name": "osm", "quota_rps": 0.0, "portion": 0.2}},
            {"RemoveClass": "old-tiles"}, {"PutRule": {"cold": 30000000000}}]}}, "dry_run": false}"#;
    let request: ApplyRequest = serde_json::from_str(text).unwrap();
    assert_eq!((request.proposal.expected, request.dry_run), (Some(Revision(41)), false));
    let changes = &request.proposal.transaction.changes;
    assert_eq!(changes[1], Change::RemoveClass(Arc::from("old-tiles")));
    assert_eq!(changes[2], Change::PutRule(Rule::Cold(Span(30_000_000_000))));
    let reparsed: ApplyRequest = serde_json::from_str(&serde_json::to_string(&request).unwrap()).unwrap();
    assert_eq!(reparsed, request);

    let text =
        r#"{"to": 38, "request_id": "r-2", "author": "kaisa", "reason": "tiles late", "expected": null}"#;
    assert_eq!(serde_json::from_str::<RollbackRequest>(text).unwrap().to, Revision(38));
    assert!(serde_json::from_str::<RollbackRequest>(&text.replace("\"to\"", "\"too\"")).is_err());

    let text = r#"{"server": "n1", "revision": 42, "digest": "9f", "newest": 42, "leader": "n2", "age_s": 0.8, "stale": false,
        "source": "fleet", "cannot_apply": null,
        "revisions": [{"revision": 42, "proposed_at_ms": 1, "servers": 1098, "of_servers": 1100, "zones": 14, "of_zones": 15,
            "p50_ms": 900, "p99_ms": null}],
        "lagging": [{"server": "n7", "zone": "lahti-1", "revision": 40, "since_s": 61.0, "reachable": false, "cannot_apply": null}],
        "lagging_servers": 1}"#;
    let status: StatusReply = serde_json::from_str(text).unwrap();
    assert_eq!((status.revisions[0].p99_ms, status.lagging[0].revision), (None, Some(Revision(40))));
}

#[test]
fn writes_replies_and_errors_in_documented_form_and_status() {
    let cases = [
        (ApplyReply::Pending { request_id: Arc::from("r") }, r#"{"state":"pending","request_id":"r"}"#),
        (
            ApplyReply::Committed { revision: Revision(42), repeated: false },
            r#"{"state":"committed","revision":42,"repeated":false}"#,
        ),
        (
            ApplyReply::Valid { against: Revision(4), changes: 3 },
            r#"{"state":"valid","against":4,"changes":3}"#,
        ),
    ];
    for (reply, text) in cases {
        assert_eq!(serde_json::to_string(&reply).unwrap(), text);
        assert_eq!(serde_json::from_str::<ApplyReply>(text).unwrap(), reply);
    }
    let stale = AdminError::Stale { expected: Revision(41), in_force: Revision(43) };
    let text = r#"{"refused":"stale","expected":41,"in_force":43}"#;
    assert_eq!(serde_json::to_string(&stale).unwrap(), text);
    assert_eq!(serde_json::from_str::<AdminError>(text).unwrap(), stale);
    assert_eq!((stale.status(), stale.is_transient()), (409, false));
    let busy: AdminError = serde_json::from_str(r#"{"refused":"too_busy","retry_ms":500}"#).unwrap();
    assert_eq!((busy.status(), busy.is_transient()), (429, true));
    assert_eq!(serde_json::from_str::<AdminError>(r#"{"refused":"off"}"#).unwrap().status(), 404);
}

#[test]
fn parses_queries_as_they_were_written() {
    let name: Arc<str> = Arc::from("Järvi & co=1/2 %");
    let page = |after: Option<Arc<str>>| Page { after, limit: 50 };
    let shows = [
        Show::Summary,
        Show::Class(name.clone()),
        Show::Tenant(name.clone()),
        Show::Classes(page(None)),
        Show::Tenants(page(Some(name.clone()))),
    ];
    for show in shows {
        let query = show.to_query();
        assert!(query.bytes().all(|byte| byte.is_ascii_graphic()), "{query}");
        assert_eq!(Show::from_query(&query), Ok(show));
    }
    let history = History { before: Some(Revision(9)), limit: 200 };
    assert_eq!(History::from_query(&history.to_query()), Ok(history));
    assert_eq!(History::from_query(""), Ok(History { before: None, limit: 20 }));
    let diff = Diff { from: Revision(3), to: None };
    assert_eq!(Diff::from_query(&diff.to_query()), Ok(diff));
    assert_eq!(query::request_id(&query::request_query(&name)), Ok(name));
}

#[test]
fn rejects_malformed_query_with_what_was_expected() {
    let error_text = |query| Show::from_query(query).unwrap_err().to_string();
    assert_eq!(error_text("kind=classes&limit=501"), "expected limit to be from 1 to 500, got '501'");
    assert_eq!(error_text("kind=classes&limit=0"), "expected limit to be from 1 to 500, got '0'");
    assert_eq!(error_text("kind=rule"), "expected kind to be class, tenant, classes or tenants, got 'rule'");
    assert_eq!(error_text("kind=class"), "expected name=NAME");
    assert_eq!(
        error_text("name=%4"),
        "expected each of kind, name, after, limit once at the most, came 'name=%4'"
    );
    assert!(Diff::from_query("to=4").is_err() && Diff::from_query("from=1&from=2").is_err());
    assert!(Diff::from_query("from=-1").is_err() && query::request_id("id=1").is_err());
}
