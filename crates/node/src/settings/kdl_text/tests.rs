use super::*;
use proptest::prelude::*;

/// More errors, or more runs of characters in a comment, than fit on a stack of 256 KiB.
const ERRORS: usize = 4_000;

fn first(text: &str) -> SyntaxError {
    parse(text).expect_err("invalid text").swap_remove(0)
}

/// Guards against confusing comments, blocks and strings, and against changing text outside of comments.
#[test]
fn blanks_comments_and_nothing_else() {
    let blanked = |text: &str| Scanner::new(text).blanked().expect("valid text").into_owned();
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

/// Guards against a stack overflow: text with too deep nesting or too many errors is rejected with a position.
#[test]
fn reports_text_that_would_overflow_the_stack() {
    assert!(parse(&format!("{}{}", "a {".repeat(MAX_NESTING), "}".repeat(MAX_NESTING))).is_ok());
    let deep = first(&"a {".repeat(20_000));
    assert_eq!((deep.offset, deep.message.contains("16")), (3 * MAX_NESTING + 2, true), "{deep:?}");
    assert_eq!(first("a {}}").offset, 4);
    assert_eq!(first("a\n /* b").offset, 3);
    assert!(first(&"a\n".repeat(MAX_BYTES)).message.contains("bytes"));
    let banner = format!("/*{}*/ a", "*/ /*".repeat(ERRORS));
    assert_eq!(parse(&banner).expect("KDL").nodes().len(), 1);
    for wrong in [")", "=", "a=", "{}", "a {}", "*/", "a (", "a }", "{\"a\":["] {
        assert!(parse(&wrong.repeat(ERRORS)).is_err(), "{wrong}");
    }
}

proptest! {
    /// Guards against text that panics the parser's thread, and against text that parses differently without its
    /// comments.
    #[test]
    fn parses_or_rejects_any_text(words in prop::collection::vec(prop::sample::select(vec![
        "a", "b ", "\n", "{", "}", "\"", "\"\"\"", "#", "/*", "*/", "//", "/-", "\\", ";", "=", "(", ")", "[", "1", "é",
        "#true", " ", "\u{2028}", "-", ".", "0x",
    ]), 0..60)) {
        let text = words.concat();
        if let (Ok(original), Ok(blanked)) = (KdlDocument::parse(&text), parse(&text)) {
            let names = |document: &KdlDocument| {
                document.nodes().iter().map(|node| (node.name().value().to_string(), node.entries().len())).collect::<Vec<_>>()
            };
            prop_assert_eq!(names(&original), names(&blanked));
        }
    }
}
