//! Compares encodings with the golden files in this directory, which an earlier version wrote. Each line is one case: a label and
//! the encoded bytes in hexadecimal, or a text. Other servers and later processes read these encodings, so renaming or reordering
//! code must not change them.

use serde::Serialize;
use serde::de::DeserializeOwned;

/// The name and the content of a golden file.
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

fn encode_hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

fn decode_hex(text: &str) -> Vec<u8> {
    let digit = |index: usize| u8::from_str_radix(&text[index..index + 2], 16).expect("hex digits");
    (0..text.len()).step_by(2).map(digit).collect()
}

/// Asserts that the file has exactly these cases in this order. Returns the labels and values of the file.
fn assert_golden(file: GoldenFile, cases: &[(&str, String)]) -> Vec<(String, String)> {
    let GoldenFile(name, text) = file;
    let actual_lines: Vec<String> = cases.iter().map(|(label, value)| format!("{label} = {value}")).collect();
    let expected_lines: Vec<&str> = text.lines().collect();
    for index in 0..actual_lines.len().max(expected_lines.len()) {
        let (actual, expected) =
            (actual_lines.get(index).map(String::as_str), expected_lines.get(index).copied());
        assert!(
            actual == expected,
            "{name}, line {}\n expected {}\n      got {}",
            index + 1,
            expected.unwrap_or("nothing"),
            actual.unwrap_or("nothing")
        );
    }
    let split = |line: &str| line.split_once(" = ").map(|(label, value)| (label.into(), value.into()));
    expected_lines.into_iter().map(|line| split(line).expect("a label and a value")).collect()
}

/// Asserts that each value has the postcard encoding in the file, and that the encodings in the file are unchanged when decoded and
/// encoded again.
pub fn assert_golden_values<T: Serialize + DeserializeOwned>(file: GoldenFile, values: &[(&str, T)]) {
    let encode = |value: &T| encode_hex(&postcard::to_stdvec(value).expect("an encodable value"));
    let cases: Vec<_> = values.iter().map(|(label, value)| (*label, encode(value))).collect();
    for (label, bytes) in assert_golden(file, &cases) {
        let name = file.0;
        let value: T = postcard::from_bytes(&decode_hex(&bytes))
            .unwrap_or_else(|error| panic!("{name}, {label}: {error}"));
        assert_eq!(encode(&value), bytes, "{name}, {label}: read and encoded again");
    }
}

/// Asserts the same as [`assert_golden_values`] for encodings as JSON.
pub fn assert_golden_json<T: Serialize + DeserializeOwned>(file: GoldenFile, values: &[(&str, T)]) {
    let encode = |value: &T| serde_json::to_string(value).expect("an encodable value");
    let cases: Vec<_> = values.iter().map(|(label, value)| (*label, encode(value))).collect();
    for (label, text) in assert_golden(file, &cases) {
        let name = file.0;
        let value: T = serde_json::from_str(&text).unwrap_or_else(|error| panic!("{name}, {label}: {error}"));
        assert_eq!(encode(&value), text, "{name}, {label}: read and encoded again");
    }
}

/// Asserts that the file has exactly these labels and texts.
pub fn assert_golden_lines(file: GoldenFile, lines: &[(&str, String)]) {
    assert_golden(file, lines);
}
