//! Compares written files with the golden files in this folder, which an earlier version wrote. Each line of a golden file is the
//! name of a file and its bytes in hex. Later processes read these bytes, so refactoring must not change them.

use gradepin_store::disk::{Disk, Segment};
use std::collections::BTreeMap;
use std::io;
use std::path::Path;
use std::sync::{Arc, Mutex};

fn read(name: &str) -> String {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/golden").join(name);
    std::fs::read_to_string(&path).unwrap_or_else(|why| panic!("{}: {why}", path.display()))
}

fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

fn parse_hex(text: &str) -> Vec<u8> {
    let digit = |at: usize| u8::from_str_radix(&text[at..at + 2], 16).expect("hex digits");
    (0..text.len()).step_by(2).map(digit).collect()
}

/// A folder in memory, whose writes are complete and durable at once. Clones share the files.
#[derive(Clone, Default)]
pub struct MemoryFolder(Arc<Mutex<BTreeMap<String, Vec<u8>>>>);

impl MemoryFolder {
    /// A folder with the files in a golden file.
    pub fn golden(name: &str) -> Self {
        let split = |line: &str| {
            let (label, bytes) = line.split_once(" = ").expect("a name and bytes");
            (label.to_string(), parse_hex(bytes))
        };
        Self(Arc::new(Mutex::new(read(name).lines().map(split).collect())))
    }

    /// Asserts that the folder has exactly the files in a golden file, byte for byte.
    pub fn assert_golden(&self, name: &str) {
        let files = self.0.lock().expect("no thread panicked");
        let got_lines: Vec<String> =
            files.iter().map(|(name, bytes)| format!("{name} = {}", hex(bytes))).collect();
        let expected = read(name);
        let expected_lines: Vec<&str> = expected.lines().collect();
        for line in 0..got_lines.len().max(expected_lines.len()) {
            let (got, expected) =
                (got_lines.get(line).map(String::as_str), expected_lines.get(line).copied());
            assert!(
                got == expected,
                "{name}, line {}\n expected {}\n      got {}",
                line + 1,
                expected.unwrap_or("nothing"),
                got.unwrap_or("nothing")
            );
        }
    }
}

impl Disk for MemoryFolder {
    fn list(&mut self) -> io::Result<Vec<String>> {
        Ok(self.0.lock().expect("no thread panicked").keys().cloned().collect())
    }

    fn read(&mut self, name: &str) -> io::Result<Vec<u8>> {
        let files = self.0.lock().expect("no thread panicked");
        files.get(name).cloned().ok_or_else(|| io::ErrorKind::NotFound.into())
    }

    fn create(&mut self, name: &str) -> io::Result<Box<dyn Segment>> {
        self.0.lock().expect("no thread panicked").insert(name.into(), Vec::new());
        Ok(Box::new(MemoryFile { folder: self.clone(), name: name.into() }))
    }

    fn remove(&mut self, name: &str) -> io::Result<()> {
        let removed = self.0.lock().expect("no thread panicked").remove(name);
        removed.map(drop).ok_or_else(|| io::ErrorKind::NotFound.into())
    }
}

struct MemoryFile {
    folder: MemoryFolder,
    name: String,
}

impl Segment for MemoryFile {
    fn append(&mut self, bytes: &[u8]) -> io::Result<()> {
        let mut files = self.folder.0.lock().expect("no thread panicked");
        files.get_mut(&self.name).ok_or(io::ErrorKind::NotFound)?.extend(bytes);
        Ok(())
    }

    fn sync(&mut self) -> io::Result<()> {
        Ok(())
    }
}
