//! Parses untrusted KDL text with a bounded stack.
//!
//! The parser of the `kdl` crate recurses for each level of nesting, for each `*`, `/` and run of other characters in a
//! block comment, and after each error from which it recovers. A banner of stars or a file of another format is enough
//! to overflow the stack of a thread, which would abort the process. Therefore block comments are replaced by spaces,
//! nesting is bounded, and the text is parsed on a separate thread whose stack is proportional to the length of the
//! text, which is bounded too.

use super::problem::{Problem, ProblemKind, problem};
use kdl::{KdlDocument, KdlError};
use std::borrow::Cow;
use std::ops::Range;
use std::panic::resume_unwind;
use std::thread;

/// Maximum size of a text; settings with all blocks have a tenth of it. The parser's time is quadratic in the number of
/// errors and takes a few seconds at this size.
const MAX_BYTES: usize = 64 * 1024;
/// Maximum number of nested blocks; settings have four levels.
const MAX_NESTING: usize = 16;
/// Stack that the parser needs for [`MAX_NESTING`] levels, even in a debug build.
const BASE_STACK_BYTES: usize = 2 << 20;
/// Additional stack for each byte of the text, since each could be an error from which the parser recovers. The memory
/// is used only if there are that many errors.
const STACK_BYTES_PER_BYTE: usize = 4 << 10;

/// A syntax error at an offset of a text.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SyntaxError {
    /// Offset from the start of the text, in bytes.
    pub offset: usize,
    /// Description of what was expected.
    pub message: String,
}

impl SyntaxError {
    fn new(offset: usize, message: impl Into<String>) -> Self {
        Self { offset, message: message.into() }
    }
}

/// Parses a text.
///
/// # Errors
/// All syntax errors that the parser finds.
pub fn parse(text: &str) -> Result<KdlDocument, Vec<SyntaxError>> {
    if text.len() > MAX_BYTES {
        return Err(vec![SyntaxError::new(
            0,
            format!("expected at most {MAX_BYTES} bytes, got {}", text.len()),
        )]);
    }
    let blanked = Scanner::new(text).blanked().map_err(|error| vec![error])?;
    let stack = BASE_STACK_BYTES + blanked.len() * STACK_BYTES_PER_BYTE;
    thread::scope(|scope| {
        let parses = || KdlDocument::parse(&blanked).map_err(|error| syntax_errors(&error));
        let parser = thread::Builder::new().name("kdl".into()).stack_size(stack).spawn_scoped(scope, parses);
        match parser {
            Ok(parser) => parser.join().unwrap_or_else(|panic| resume_unwind(panic)),
            Err(e) => Err(vec![SyntaxError::new(0, format!("expected a thread to parse KDL on, got: {e}"))]),
        }
    })
}

/// Parses a text and returns errors with line and column.
///
/// # Errors
/// All syntax errors that the parser finds.
pub fn document(text: &str) -> Result<KdlDocument, Vec<Problem>> {
    parse(text).map_err(|errors| {
        let problems =
            errors.into_iter().map(|error| problem(text, error.offset, ProblemKind::Syntax(error.message)));
        problems.collect()
    })
}

fn syntax_errors(error: &KdlError) -> Vec<SyntaxError> {
    if error.diagnostics.is_empty() {
        return vec![SyntaxError::new(0, "expected KDL")];
    }
    let syntax_error = |diagnostic: &kdl::KdlDiagnostic| {
        let message = diagnostic.message.clone().or(diagnostic.label.clone());
        SyntaxError::new(diagnostic.span.offset(), message.unwrap_or("expected KDL".into()))
    };
    error.diagnostics.iter().map(syntax_error).collect()
}

/// Scans a text once, skipping strings and comments, and tracks the open blocks.
struct Scanner<'t> {
    text: &'t str,
    /// Offset of the scanner, in bytes.
    offset: usize,
    /// Offsets of the open blocks.
    open_blocks: Vec<usize>,
    /// Block comments, as ranges of bytes.
    comments: Vec<Range<usize>>,
}

impl<'t> Scanner<'t> {
    fn new(text: &'t str) -> Self {
        Self { text, offset: 0, open_blocks: Vec::new(), comments: Vec::new() }
    }

    /// Replaces block comments by spaces, to which they are equivalent in KDL even if they include new lines. All other
    /// bytes keep their offsets.
    fn blanked(mut self) -> Result<Cow<'t, str>, SyntaxError> {
        while let Some(first) = self.rest().chars().next() {
            match first {
                '/' if self.rest().starts_with("//") => self.line_comment(),
                '/' if self.rest().starts_with("/*") => self.block_comment()?,
                '"' => self.string(0),
                '#' => self.raw_string(),
                '{' => self.open_block()?,
                '}' => self.close_block()?,
                _ => self.offset += first.len_utf8(),
            }
        }
        if self.comments.is_empty() {
            return Ok(Cow::Borrowed(self.text));
        }
        let mut blanked = String::with_capacity(self.text.len());
        let mut copied = 0;
        for comment in self.comments {
            blanked.push_str(&self.text[copied..comment.start]);
            blanked.extend(std::iter::repeat_n(' ', comment.len()));
            copied = comment.end;
        }
        blanked.push_str(&self.text[copied..]);
        Ok(Cow::Owned(blanked))
    }

    fn rest(&self) -> &'t str {
        &self.text[self.offset..]
    }

    fn open_block(&mut self) -> Result<(), SyntaxError> {
        if self.open_blocks.len() >= MAX_NESTING {
            return Err(SyntaxError::new(
                self.offset,
                format!("expected blocks within {MAX_NESTING} others at most"),
            ));
        }
        self.open_blocks.push(self.offset);
        self.offset += 1;
        Ok(())
    }

    fn close_block(&mut self) -> Result<(), SyntaxError> {
        if self.open_blocks.pop().is_none() {
            return Err(SyntaxError::new(self.offset, "expected no '}' where no block is open"));
        }
        self.offset += 1;
        Ok(())
    }

    fn line_comment(&mut self) {
        self.offset += self.rest().find(is_newline).unwrap_or(self.rest().len());
    }

    /// Skips a block comment, which may include others.
    fn block_comment(&mut self) -> Result<(), SyntaxError> {
        let (start, mut depth) = (self.offset, 0_usize);
        loop {
            let rest = self.rest();
            match rest.chars().next() {
                None => return Err(SyntaxError::new(start, "expected the end of this comment, '*/'")),
                Some('/') if rest.starts_with("/*") => (depth, self.offset) = (depth + 1, self.offset + 2),
                Some('*') if rest.starts_with("*/") => (depth, self.offset) = (depth - 1, self.offset + 2),
                Some(other) => self.offset += other.len_utf8(),
            }
            if depth == 0 {
                self.comments.push(start..self.offset);
                return Ok(());
            }
        }
    }

    /// Skips a raw string, which has the same number of `#` on both sides, or the `#` of a keyword such as `#true`.
    fn raw_string(&mut self) {
        let marks = self.rest().len() - self.rest().trim_start_matches('#').len();
        self.offset += marks;
        if self.rest().starts_with('"') {
            self.string(marks);
        }
    }

    /// Skips a string from its first quote; it is raw if `marks` is not 0. If the string has no end, only its opening
    /// quote is skipped: braces in it count as blocks, and the parser reports the error.
    fn string(&mut self, marks: usize) {
        let rest = self.rest();
        let quotes = if rest.starts_with("\"\"\"") { 3 } else { 1 };
        let end = format!("{}{}", &rest[..quotes], "#".repeat(marks));
        let mut at = quotes;
        while let Some(next) = rest[at..].chars().next() {
            if rest[at..].starts_with(&end) {
                self.offset += at + end.len();
                return;
            }
            // A string with one quote mark on each side may include a new line only after a backslash.
            if quotes == 1 && is_newline(next) {
                break;
            }
            at += next.len_utf8();
            if marks == 0 && next == '\\' {
                at += rest[at..].chars().next().map_or(0, char::len_utf8);
            }
        }
        self.offset += quotes;
    }
}

/// Whether a character ends a line in KDL.
fn is_newline(c: char) -> bool {
    matches!(c, '\n' | '\r' | '\u{85}' | '\u{b}' | '\u{c}' | '\u{2028}' | '\u{2029}')
}

#[cfg(test)]
mod tests;
