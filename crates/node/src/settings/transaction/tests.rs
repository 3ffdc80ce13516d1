//! Valid and invalid documents in KDL and JSON.

use super::*;
use gradepin_config::{Change, Rule};

const KDL: &str = r#"
class "label-save" {
    promise "1600ms"; deadline 4000000000; effect "by_key"
    worth 4; late_value 0.2; window "12s"; calls #false
}
class "sheet-view" { promise "1s"; deadline "2s"; effect "repeatable"; worth 1.0; skip_worth 0.5; }
remove-class "deep-zoom"
tenant "acme" { quota_rps 66.0; portion 0.42; }
tenant "other"
remove-tenant "gone"
rules { cold_share 0.5; drain_grace "1100ms"; over_share_worth 0.05; }
"#;

const JSON: &str = r#"{
    "classes": [
        {"name": "label-save", "promise": 1600000000, "deadline": 4000000000, "effect": "by_key",
         "worth": 4.0, "late_value": 0.2, "window": 12000000000, "calls": false},
        {"name": "sheet-view", "promise": 1000000000, "deadline": 2000000000, "effect": "repeatable",
         "worth": 1.0, "skip_worth": 0.5}
    ],
    "remove_classes": ["deep-zoom"],
    "tenants": [{"name": "acme", "quota_rps": 66.0, "portion": 0.42}, {"name": "other"}],
    "remove_tenants": ["gone"],
    "rules": {"cold_share": 0.5, "drain_grace": 1100000000, "over_share_worth": 0.05}
}"#;

fn problems(text: &str, form: Form) -> Vec<String> {
    parse(text, form).map_or_else(|all| all.iter().map(ToString::to_string).collect(), |_| Vec::new())
}

#[test]
fn reads_the_same_transaction_from_both_forms() {
    let transaction = parse(KDL, Form::Kdl).expect("a document");
    assert_eq!(parse(JSON, Form::Json), Ok(transaction.clone()));
    assert_eq!(transaction.changes.len(), 9);
    assert_eq!(transaction.changes[0], Change::PutRule(Rule::ColdShare(0.5)));
    let Change::PutClass(class) = &transaction.changes[3] else { panic!("{transaction:?}") };
    assert_eq!((class.profile.window, class.profile.effect), (Span(12_000_000_000), Idempotency::Keyed));
    assert!(!class.calls && class.skip_weight == 0.0);
    let written = serde_json::to_string(&Document::from(&transaction)).expect("a document");
    assert_eq!(parse(&written, Form::Json), Ok(transaction));
}

#[test]
fn reports_problems_with_their_position() {
    let text = "class \"a\" {\n    promise \"1 s\"\n    deadline \"2s\"\n    effect \"twice\"\n    worht 1\n}\n\
                tenant \"b\" { portion \"half\"; }\nremove-tenant \"c\" { x 1; }\nclas \"d\"\ntenant\n";
    let expected = [
        "line 1, column 1: expected worth in the class",
        "line 2, column 5: expected promise to be nanoseconds, or a time as in \"250ms\" or \"4s\", got \"1 s\"",
        "line 4, column 5: expected effect \"repeatable\" or \"by_key\" or \"once\", got \"twice\"",
        "line 5, column 5: an unknown node 'worht'",
        "line 7, column 14: expected portion to be a number, got \"half\"",
        "line 8, column 1: expected no children",
        "line 9, column 1: an unknown node 'clas'",
        "line 10, column 1: expected tenant to have one text",
    ];
    assert_eq!(problems(text, Form::Kdl), expected);
    let text = "{\"tenants\": [\n  {\"name\": \"a\", \"portoin\": 1.0}]}";
    let found = problems(text, Form::Json);
    assert!(found.len() == 1 && found[0].starts_with("line 2, column "), "{found:?}");
    assert!(found[0].contains("unknown field `portoin`"), "{found:?}");
    assert_eq!(problems(&" ".repeat(MAX_DOCUMENT_BYTES + 1), Form::Json).len(), 1, "too long");
}
