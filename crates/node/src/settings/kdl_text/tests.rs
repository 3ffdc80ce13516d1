use super::*;
use proptest::prelude::*;

/// More of one error, or of one comment, than 256 KiB of stack took.
const ERRORS: usize = 4_000;

fn first(text: &str) -> Fault {
    parse(text).expect_err("it is not whole").swap_remove(0)
}

/// Guards against comments, blocks and strings taken for one another, and against a text changed beside its comments.
#[test]
fn comments_are_blanked_and_all_else_is_as_it_was() {
    let blanked = |text: &str| Scanner::new(text).blanked().expect("whole").into_owned();
    assert_eq!(blanked("a /* b /* c\n */ } */ 1"), format!("a{}1", " ".repeat(20)));
    for text in [
        "a \"/* } {\" // /* {\nb",
        "a #\"\"/* } { \"\"#",
        "a \"\"\"\n/* \" } {\n\"\"\"",
        "a \"\\\"/*\" #true",
        "a ##\"\"#/*\"## {\n}",
    ] {
        assert_eq!(blanked(text), text);
    }
    let document = parse("a 1 /* x\n */ 2 { b \"/*\"; /**/ }").expect("KDL");
    assert_eq!(document.nodes()[0].entries().len(), 2, "a comment ends no line");
    assert_eq!(
        document.nodes()[0].children().expect("a block").nodes()[0].entries()[0].to_string(),
        " \"/*\""
    );
}

/// Guards against a file that takes the stack: what nests or is wrong too often is told with its place.
#[test]
fn what_would_take_the_stack_is_told() {
    assert!(parse(&format!("{}{}", "a {".repeat(MAX_NESTING), "}".repeat(MAX_NESTING))).is_ok());
    let deep = first(&"a {".repeat(20_000));
    assert_eq!((deep.offset, deep.what.contains("16")), (3 * MAX_NESTING + 2, true), "{deep:?}");
    assert_eq!(first("a {}}").offset, 4);
    assert_eq!(first("a\n /* b").offset, 3);
    assert!(first(&"a\n".repeat(MAX_BYTES)).what.contains("bytes"));
    let banner = format!("/*{}*/ a", "*/ /*".repeat(ERRORS));
    assert_eq!(parse(&banner).expect("KDL").nodes().len(), 1);
    for wrong in [")", "=", "a=", "{}", "a {}", "*/", "a (", "a }", "{\"a\":["] {
        assert!(parse(&wrong.repeat(ERRORS)).is_err(), "{wrong}");
    }
}

proptest! {
    /// Guards against a text for which the parser ends its thread, and against one that reads otherwise blanked.
    #[test]
    fn any_text_parses_or_is_told(words in prop::collection::vec(prop::sample::select(vec![
        "a", "b ", "\n", "{", "}", "\"", "\"\"\"", "#", "/*", "*/", "//", "/-", "\\", ";", "=", "(", ")", "[", "1", "é",
        "#true", " ", "\u{2028}", "-", ".", "0x",
    ]), 0..60)) {
        let text = words.concat();
        if let (Ok(plain), Ok(ours)) = (KdlDocument::parse(&text), parse(&text)) {
            let names = |document: &KdlDocument| {
                document.nodes().iter().map(|node| (node.name().value().to_string(), node.entries().len())).collect::<Vec<_>>()
            };
            prop_assert_eq!(names(&plain), names(&ours));
        }
    }
}
