//! Compares encodings with those of an earlier version, which stand in the files beside this one: a line a case, its label and its
//! bytes in hex. Other servers and later processes read these bytes, so a rename or a move changes none of them.
#![allow(dead_code)]

pub mod values;

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

/// The cases of a file: labels and bytes.
pub fn cases(file: GoldenFile) -> Vec<(String, Vec<u8>)> {
    let split = |line: &str| {
        let (label, bytes) = line.split_once(" = ").expect("a label and bytes");
        (label.to_string(), unhex(bytes))
    };
    file.1.lines().map(split).collect()
}

/// The file has these lines and no others.
pub fn assert_golden_text(file: GoldenFile, text: &str) {
    let GoldenFile(name, expected) = file;
    let (ours, theirs): (Vec<&str>, Vec<&str>) = (text.lines().collect(), expected.lines().collect());
    for at in 0..ours.len().max(theirs.len()) {
        let (got, expected) = (ours.get(at), theirs.get(at));
        assert!(
            got == expected,
            "{name}, line {}\n expected {}\n      got {}",
            at + 1,
            expected.unwrap_or(&"nothing"),
            got.unwrap_or(&"nothing")
        );
    }
    assert_eq!(text, expected, "{name}: the ends of lines");
}

/// The file has these cases, in this order, and no others.
pub fn assert_golden(file: GoldenFile, cases: &[(&str, Vec<u8>)]) {
    let lines = cases.iter().map(|(label, bytes)| format!("{label} = {}\n", hex(bytes)));
    assert_golden_text(file, &lines.collect::<String>());
}

/// Each value is encoded as the file says, and what the file says is read and encoded again as it was.
pub fn assert_golden_values<T: Serialize + DeserializeOwned>(file: GoldenFile, values: &[(&str, T)]) {
    let encode = |value: &T| postcard::to_stdvec(value).expect("it is encoded");
    let cases: Vec<_> = values.iter().map(|(label, value)| (*label, encode(value))).collect();
    assert_golden(file, &cases);
    let name = file.0;
    for (label, bytes) in self::cases(file) {
        let value: T = postcard::from_bytes(&bytes).unwrap_or_else(|why| panic!("{name}, {label}: {why}"));
        assert_eq!(hex(&encode(&value)), hex(&bytes), "{name}, {label}: read and encoded again");
    }
}
