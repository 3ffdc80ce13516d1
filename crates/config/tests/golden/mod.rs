//! Compares encodings with those of an earlier version, which stand in the files beside this one: a line a case, its label and its
//! bytes in hex or its text. Other servers and later processes read these, so a rename or a move changes none of them.

use serde::Serialize;
use serde::de::DeserializeOwned;

/// A golden file: its name and its text.
#[derive(Clone, Copy)]
pub struct GoldenFile(pub &'static str, pub &'static str);

macro_rules! golden_file {
    ($name:literal) => {
        $crate::golden::GoldenFile(
            $name,
            include_str!(concat!(env!("CARGO_MANIFEST_DIR"), "/tests/golden/", $name)),
        )
    };
}
pub(crate) use golden_file;

fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

fn unhex(text: &str) -> Vec<u8> {
    let digit = |at: usize| u8::from_str_radix(&text[at..at + 2], 16).expect("hex digits");
    (0..text.len()).step_by(2).map(digit).collect()
}

/// The file has these cases, in this order, and no others. Gives what it has of each.
fn assert_golden(file: GoldenFile, cases: &[(&str, String)]) -> Vec<(String, String)> {
    let GoldenFile(name, text) = file;
    let ours: Vec<String> = cases.iter().map(|(label, value)| format!("{label} = {value}")).collect();
    let theirs: Vec<&str> = text.lines().collect();
    for at in 0..ours.len().max(theirs.len()) {
        let (got, expected) = (ours.get(at).map(String::as_str), theirs.get(at).copied());
        assert!(
            got == expected,
            "{name}, line {}\n expected {}\n      got {}",
            at + 1,
            expected.unwrap_or("nothing"),
            got.unwrap_or("nothing")
        );
    }
    let split = |line: &str| line.split_once(" = ").map(|(label, value)| (label.into(), value.into()));
    theirs.into_iter().map(|line| split(line).expect("a label and a value")).collect()
}

/// Each value is encoded as the file says, and what the file says is read and encoded again as it was.
pub fn assert_golden_values<T: Serialize + DeserializeOwned>(file: GoldenFile, values: &[(&str, T)]) {
    let encode = |value: &T| hex(&postcard::to_stdvec(value).expect("it is encoded"));
    let cases: Vec<_> = values.iter().map(|(label, value)| (*label, encode(value))).collect();
    for (label, bytes) in assert_golden(file, &cases) {
        let name = file.0;
        let value: T =
            postcard::from_bytes(&unhex(&bytes)).unwrap_or_else(|why| panic!("{name}, {label}: {why}"));
        assert_eq!(encode(&value), bytes, "{name}, {label}: read and encoded again");
    }
}

/// The same as JSON.
pub fn assert_golden_json<T: Serialize + DeserializeOwned>(file: GoldenFile, values: &[(&str, T)]) {
    let encode = |value: &T| serde_json::to_string(value).expect("it is encoded");
    let cases: Vec<_> = values.iter().map(|(label, value)| (*label, encode(value))).collect();
    for (label, text) in assert_golden(file, &cases) {
        let name = file.0;
        let value: T = serde_json::from_str(&text).unwrap_or_else(|why| panic!("{name}, {label}: {why}"));
        assert_eq!(encode(&value), text, "{name}, {label}: read and encoded again");
    }
}

/// Texts, one a line.
pub fn assert_golden_lines(file: GoldenFile, lines: &[(&str, String)]) {
    assert_golden(file, lines);
}
