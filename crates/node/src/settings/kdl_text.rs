//! Parses KDL text, whatever it holds, in a bounded stack.
//!
//! The parser of the `kdl` crate calls itself for each level of nesting, for each `*`, `/` and run of other characters of a
//! block comment, and behind each error that it recovers from. A banner of stars or a file of another format is so enough
//! to overflow the stack of a thread, which ends the process. So block comments are blanked, nesting is bounded, and what
//! is left is parsed on a thread of its own whose stack grows with the length of the text, which is bounded too.

use super::Problem;
use kdl::{KdlDocument, KdlError};
use std::borrow::Cow;
use std::panic::resume_unwind;
use std::thread;

/// Bytes of a text at the most; the settings of all blocks together take a tenth of it. The parser takes time by the square of
/// the errors: some seconds for so many.
const MAX_BYTES: usize = 64 * 1024;
/// Blocks within blocks at the most; settings nest no deeper than four.
const MAX_NESTING: usize = 16;
/// Stack of the parser at [`MAX_NESTING`]: a level takes 7 KB in a release build and several times that in a debug build.
const BASE_STACK: usize = 2 << 20;
/// Stack for each byte of the text: as much as an error takes that the parser recovers from. Only touched where there are so
/// many.
const STACK_PER_BYTE: usize = 4 << 10;

/// What is wrong with a text, at a place in bytes.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Fault {
    /// From the start of the text, in bytes.
    pub offset: usize,
    /// What was expected.
    pub what: String,
}

impl Fault {
    fn new(offset: usize, what: impl Into<String>) -> Self {
        Self { offset, what: what.into() }
    }
}

/// Parses a text; all that the parser finds wrong is told.
pub fn parse(text: &str) -> Result<KdlDocument, Vec<Fault>> {
    if text.len() > MAX_BYTES {
        return Err(vec![Fault::new(0, format!("expected at most {MAX_BYTES} bytes, got {}", text.len()))]);
    }
    let blanked = Scanner::new(text).blanked().map_err(|fault| vec![fault])?;
    let stack = BASE_STACK + blanked.len() * STACK_PER_BYTE;
    thread::scope(|scope| {
        let parses = || KdlDocument::parse(&blanked).map_err(|error| faults(&error));
        let parser = thread::Builder::new().name("kdl".into()).stack_size(stack).spawn_scoped(scope, parses);
        match parser {
            Ok(parser) => parser.join().unwrap_or_else(|panic| resume_unwind(panic)),
            Err(why) => Err(vec![Fault::new(0, format!("expected a thread to parse KDL on, got: {why}"))]),
        }
    })
}

/// The same, with faults told by line and column.
pub fn document(text: &str) -> Result<KdlDocument, Vec<Problem>> {
    parse(text).map_err(|faults| {
        let told = faults.into_iter().map(|Fault { offset, what }| {
            let (line, column) = place(text, offset);
            Problem { line, column, what }
        });
        told.collect()
    })
}

/// Line and column of a place in a text, from 1.
pub fn place(text: &str, offset: usize) -> (usize, usize) {
    let before = text.get(..offset.min(text.len())).unwrap_or(text);
    let line = before.matches('\n').count() + 1;
    let column = before.rsplit('\n').next().unwrap_or("").chars().count() + 1;
    (line, column)
}

fn faults(error: &KdlError) -> Vec<Fault> {
    if error.diagnostics.is_empty() {
        return vec![Fault::new(0, "expected KDL")];
    }
    let of = |one: &kdl::KdlDiagnostic| {
        let what = one.message.clone().or(one.label.clone()).unwrap_or("expected KDL".into());
        Fault::new(one.span.offset(), what)
    };
    error.diagnostics.iter().map(of).collect()
}

/// Goes through a text once, past strings and comments, and keeps count of the blocks that are open.
struct Scanner<'t> {
    text: &'t str,
    at: usize,
    /// Where the blocks that are open at this place begin.
    open: Vec<usize>,
    /// Block comments, by their bytes.
    comments: Vec<(usize, usize)>,
}

impl<'t> Scanner<'t> {
    fn new(text: &'t str) -> Self {
        Self { text, at: 0, open: Vec::new(), comments: Vec::new() }
    }

    /// The text with spaces in the place of block comments, which are space in KDL even where they hold new lines; each
    /// byte keeps its place.
    fn blanked(mut self) -> Result<Cow<'t, str>, Fault> {
        while let Some(first) = self.rest().chars().next() {
            match first {
                '/' if self.rest().starts_with("//") => self.line_comment(),
                '/' if self.rest().starts_with("/*") => self.block_comment()?,
                '"' => self.string(0),
                '#' => self.raw_string(),
                '{' => self.opens()?,
                '}' => self.closes()?,
                _ => self.at += first.len_utf8(),
            }
        }
        if self.comments.is_empty() {
            return Ok(Cow::Borrowed(self.text));
        }
        let mut blanked = String::with_capacity(self.text.len());
        let mut copied = 0;
        for (from, to) in self.comments {
            blanked.push_str(&self.text[copied..from]);
            blanked.extend(std::iter::repeat_n(' ', to - from));
            copied = to;
        }
        blanked.push_str(&self.text[copied..]);
        Ok(Cow::Owned(blanked))
    }

    fn rest(&self) -> &'t str {
        &self.text[self.at..]
    }

    fn opens(&mut self) -> Result<(), Fault> {
        if self.open.len() >= MAX_NESTING {
            return Err(Fault::new(
                self.at,
                format!("expected blocks within {MAX_NESTING} others at the most"),
            ));
        }
        self.open.push(self.at);
        self.at += 1;
        Ok(())
    }

    fn closes(&mut self) -> Result<(), Fault> {
        if self.open.pop().is_none() {
            return Err(Fault::new(self.at, "expected no '}' where no block is open"));
        }
        self.at += 1;
        Ok(())
    }

    fn line_comment(&mut self) {
        self.at += self.rest().find(is_newline).unwrap_or(self.rest().len());
    }

    /// Comments stand in comments.
    fn block_comment(&mut self) -> Result<(), Fault> {
        let (from, mut depth) = (self.at, 0_usize);
        loop {
            let rest = self.rest();
            match rest.chars().next() {
                None => return Err(Fault::new(from, "expected the end of this comment, '*/'")),
                Some('/') if rest.starts_with("/*") => (depth, self.at) = (depth + 1, self.at + 2),
                Some('*') if rest.starts_with("*/") => (depth, self.at) = (depth - 1, self.at + 2),
                Some(other) => self.at += other.len_utf8(),
            }
            if depth == 0 {
                self.comments.push((from, self.at));
                return Ok(());
            }
        }
    }

    /// A raw string, with as many `#` on either side; else a `#` of a word such as `#true`.
    fn raw_string(&mut self) {
        let marks = self.rest().len() - self.rest().trim_start_matches('#').len();
        self.at += marks;
        if self.rest().starts_with('"') {
            self.string(marks);
        }
    }

    /// A string from its first quote, raw where it has marks. One that doesn't end is no string: the parser says so, and
    /// what looks like blocks in it counts.
    fn string(&mut self, marks: usize) {
        let rest = self.rest();
        let quotes = if rest.starts_with("\"\"\"") { 3 } else { 1 };
        let end = format!("{}{}", &rest[..quotes], "#".repeat(marks));
        let mut at = quotes;
        while let Some(next) = rest[at..].chars().next() {
            if rest[at..].starts_with(&end) {
                self.at += at + end.len();
                return;
            }
            // A new line may stand in the short form only behind a backslash.
            if quotes == 1 && is_newline(next) {
                break;
            }
            at += next.len_utf8();
            if marks == 0 && next == '\\' {
                at += rest[at..].chars().next().map_or(0, char::len_utf8);
            }
        }
        self.at += quotes;
    }
}

/// What ends a line in KDL.
fn is_newline(c: char) -> bool {
    matches!(c, '\n' | '\r' | '\u{85}' | '\u{b}' | '\u{c}' | '\u{2028}' | '\u{2029}')
}

#[cfg(test)]
mod tests;
