//! Compares encodings with the golden files of an earlier version in this directory. Each line of a file is a case: its label
//! and its bytes in hex. Other servers and later processes read these bytes, so no refactoring may change them.
#![allow(dead_code)]

pub mod values;

use serde::Serialize;
use serde::de::DeserializeOwned;

/// A golden file: name and content.
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
    let byte = |at: usize| u8::from_str_radix(&text[at..at + 2], 16).expect("hex digits");
    (0..text.len()).step_by(2).map(byte).collect()
}

/// Returns the cases of a file: label and bytes of each.
pub fn cases(file: GoldenFile) -> Vec<(String, Vec<u8>)> {
    let split = |line: &str| {
        let (label, bytes) = line.split_once(" = ").expect("a label and bytes");
        (label.to_string(), unhex(bytes))
    };
    file.1.lines().map(split).collect()
}

/// Asserts that the file has exactly this text; a failure names the first line that differs.
pub fn assert_golden_text(file: GoldenFile, text: &str) {
    let GoldenFile(name, expected) = file;
    let (got_lines, expected_lines): (Vec<&str>, Vec<&str>) =
        (text.lines().collect(), expected.lines().collect());
    for at in 0..got_lines.len().max(expected_lines.len()) {
        let (got, expected) = (got_lines.get(at), expected_lines.get(at));
        assert!(
            got == expected,
            "{name}, line {}\n expected {}\n      got {}",
            at + 1,
            expected.unwrap_or(&"nothing"),
            got.unwrap_or(&"nothing")
        );
    }
    assert_eq!(text, expected, "{name}: line ends differ");
}

/// Asserts that the file has exactly these cases, in this order.
pub fn assert_golden(file: GoldenFile, cases: &[(&str, Vec<u8>)]) {
    let lines = cases.iter().map(|(label, bytes)| format!("{label} = {}\n", hex(bytes)));
    assert_golden_text(file, &lines.collect::<String>());
}

/// Asserts that the values encode to the cases of the file, and that each case of the file decodes and encodes to the same
/// bytes.
pub fn assert_golden_values<T: Serialize + DeserializeOwned>(file: GoldenFile, values: &[(&str, T)]) {
    let encode = |value: &T| postcard::to_stdvec(value).expect("values can be encoded");
    let cases: Vec<_> = values.iter().map(|(label, value)| (*label, encode(value))).collect();
    assert_golden(file, &cases);
    let name = file.0;
    for (label, bytes) in self::cases(file) {
        let value: T =
            postcard::from_bytes(&bytes).unwrap_or_else(|error| panic!("{name}, {label}: {error}"));
        assert_eq!(hex(&encode(&value)), hex(&bytes), "{name}, {label}: decoded and encoded again");
    }
}
