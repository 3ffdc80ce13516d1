//! Golden tests of the external interfaces of a server: each compares bytes with a file in `tests/golden`. Such a file
//! changes only with an intended change of a protocol or of a text in it.

mod admin;
mod answers;
mod outgoing_calls;
mod processor;
mod settings;
mod shared_folder;

use std::path::Path;

/// Compares bytes with a file of `tests/golden`; if they differ, prints both, with bytes other than printable ASCII
/// escaped.
fn assert_golden(name: &str, bytes: &[u8]) {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/golden").join(name);
    let golden = std::fs::read(&path).unwrap_or_else(|e| panic!("{name}: {e}"));
    let lines = |bytes: &[u8]| {
        let escaped = bytes.split_inclusive(|&b| b == b'\n').map(|line| line.escape_ascii().to_string());
        escaped.collect::<Vec<_>>().join("\n")
    };
    assert!(golden == bytes, "{name}\n--- expected\n{}\n--- found\n{}", lines(&golden), lines(bytes));
}

/// A line of a golden file: a label and the escaped bytes. Different bytes give different lines.
fn line(label: &str, bytes: &[u8]) -> String {
    format!("{label}: {}\n", bytes.escape_ascii())
}
