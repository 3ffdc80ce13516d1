//! Parses the lines of the processor out of the bytes that a link brings. Owns the bytes that were received and not parsed
//! yet: at most one buffer. No line with a meaning is longer than that; a remark may be, and is skipped as it comes.

use gradepin_admission::{RequestId, Span, span_from_seconds};
use gradepin_core::buffer_pool::{Buffer, BufferPool};
use gradepin_core::messages::RunEnd;
use std::io;
use std::sync::Arc;

/// The longest result that the protocol allows.
const MAX_RESULT_BYTES: usize = 4096;
/// The part of an invalid line that its error quotes.
const MAX_QUOTED_BYTES: usize = 80;
const LINE_END: &[u8] = b"\r\n";
const REMARK: &[u8] = b"remark ";

/// The bytes of a link that were not parsed yet.
pub(super) struct Lines {
    pool: Arc<BufferPool>,
    buffer: Buffer,
    /// Bytes at the front of the buffer that were parsed.
    parsed_bytes: usize,
    /// The notice of a remark longer than the buffer, whose end is still to come.
    long_remark: Option<u64>,
}

impl Lines {
    /// For a new link.
    pub(super) fn new(pool: &Arc<BufferPool>) -> Self {
        Self { pool: Arc::clone(pool), buffer: pool.take(), parsed_bytes: 0, long_remark: None }
    }

    /// Parses the next line, with the body that follows it; None while it is incomplete. An error where it is invalid.
    pub(super) fn next(&mut self) -> io::Result<Option<Line>> {
        let bytes = &self.buffer[self.parsed_bytes..];
        let Some(notice) = self.long_remark else {
            let Some(parsed) = parse(bytes, &self.pool)? else { return Ok(None) };
            self.parsed_bytes += parsed.bytes;
            return Ok(Some(parsed.line));
        };
        let Some(end) = line_end(bytes) else { return Ok(None) };
        self.parsed_bytes += end + LINE_END.len();
        self.long_remark = None;
        Ok(Some(Line::Remark { notice }))
    }

    /// Space for more bytes, at least one; [`Lines::filled`] then says how many were received. An error where a line is
    /// longer than any line may be.
    pub(super) fn space(&mut self) -> io::Result<&mut [u8]> {
        self.buffer.consume(std::mem::take(&mut self.parsed_bytes));
        if self.buffer.space().is_empty() {
            // Guards against a link that is lost over a long remark, and over the same one again after each hello.
            let notice = self.long_remark.or_else(|| remark_notice(&self.buffer));
            self.long_remark = Some(notice.ok_or_else(|| invalid(&self.buffer))?);
            // The last byte may be the first half of the line end.
            self.buffer.consume(self.buffer.len() - 1);
        }
        Ok(self.buffer.space())
    }

    /// Counts bytes that were received into [`Lines::space`].
    pub(super) fn filled(&mut self, bytes: usize) {
        self.buffer.filled(bytes);
    }
}

/// A line of the processor.
#[derive(Debug)]
pub(super) enum Line {
    /// The greeting of a link.
    Hello {
        /// Whether the processor started with cold caches.
        cold: bool,
        /// How long ago it started.
        age: Span,
    },
    /// A run has ended.
    Completed {
        /// Number of the notice.
        notice: u64,
        /// The request.
        id: RequestId,
        /// How the run ended.
        end: RunEnd,
        /// How long it took.
        took: Span,
        /// Its result; empty unless it ended well.
        result: Buffer,
    },
    /// A run waits for an upstream call.
    UpstreamCall {
        /// Number of the notice.
        notice: u64,
        /// The request.
        id: RequestId,
        /// The body of the call.
        body: Buffer,
    },
    /// The gauges.
    Gauges {
        /// The number of the request that they answer.
        number: u64,
        /// In the order of the settings; NaN where the processor has no number for one.
        values: Vec<f64>,
    },
    /// A run was not started.
    RunRejected {
        /// The request.
        id: RequestId,
    },
    /// A notice without a meaning.
    Remark {
        /// Number of the notice.
        notice: u64,
    },
    /// A line from which nothing follows.
    Ignored,
}

/// A line, and the bytes that it takes with its body and line ends.
#[derive(Debug)]
struct ParsedLine {
    bytes: usize,
    line: Line,
}

fn invalid(line: &[u8]) -> io::Error {
    let text = String::from_utf8_lossy(&line[..line.len().min(MAX_QUOTED_BYTES)]).into_owned();
    io::Error::new(io::ErrorKind::InvalidData, format!("expected a line of the processor, got '{text}'"))
}

/// Where the first line ends.
fn line_end(bytes: &[u8]) -> Option<usize> {
    bytes.windows(LINE_END.len()).position(|window| window == LINE_END)
}

/// The notice of a remark, whose text may be incomplete.
fn remark_notice(line: &[u8]) -> Option<u64> {
    let digits = line.strip_prefix(REMARK)?.split(|&b| b == b' ').next()?;
    std::str::from_utf8(digits).ok()?.parse().ok()
}

/// Parses the first line with the body that follows it; None while it is incomplete.
fn parse(bytes: &[u8], pool: &Arc<BufferPool>) -> io::Result<Option<ParsedLine>> {
    let Some(end) = line_end(bytes) else { return Ok(None) };
    let (line, after_line) = (&bytes[..end], end + LINE_END.len());
    if line.starts_with(REMARK) {
        // Its text need not be UTF-8. Guards against a link that is lost again and again over the same remark.
        let notice = remark_notice(line).ok_or_else(|| invalid(line))?;
        return Ok(Some(ParsedLine { bytes: after_line, line: Line::Remark { notice } }));
    }
    LineParser { bytes, line, parsed_bytes: after_line, pool }.parse()
}

/// Parses one complete line that is no remark.
struct LineParser<'b> {
    /// The line and all that was received after it.
    bytes: &'b [u8],
    /// Without its line end.
    line: &'b [u8],
    /// Bytes of the line, and of the body once that was parsed.
    parsed_bytes: usize,
    pool: &'b Arc<BufferPool>,
}

impl LineParser<'_> {
    fn parse(mut self) -> io::Result<Option<ParsedLine>> {
        let text = std::str::from_utf8(self.line).map_err(|_| invalid(self.line))?;
        let words: Vec<&str> = text.split(' ').collect();
        let line = match words[..] {
            ["hi", state @ ("COLD" | "WARM"), ms] => {
                Line::Hello { cold: state == "COLD", age: self.milliseconds(ms)? }
            }
            ["complete", notice, id, end, ms, length] => {
                let end = self.run_end(end)?;
                let (notice, took) = (self.number(notice)?, self.milliseconds(ms)?);
                let Some(result) = self.body(length)? else { return Ok(None) };
                Line::Completed { notice, id: RequestId::new(id), end, took, result }
            }
            ["ask", notice, id, length] => {
                let notice = self.number(notice)?;
                let Some(body) = self.body(length)? else { return Ok(None) };
                Line::UpstreamCall { notice, id: RequestId::new(id), body }
            }
            ["used", number, ref values @ ..] => {
                // The module has its own estimate for a gauge that is no number. Guards against a link that is lost over
                // each answer where the settings name gauges that this processor doesn't have, or none at all.
                let values = values.iter().map(|value| value.parse().unwrap_or(f64::NAN));
                Line::Gauges { number: self.number(number)?, values: values.collect() }
            }
            ["reject", "begin", id] => Line::RunRejected { id: RequestId::new(id) },
            ["reject", ..] => Line::Ignored,
            _ => return Err(invalid(self.line)),
        };
        Ok(Some(ParsedLine { bytes: self.parsed_bytes, line }))
    }

    fn number(&self, text: &str) -> io::Result<u64> {
        text.parse().map_err(|_| invalid(self.line))
    }

    /// Milliseconds come with a decimal point as well as without one.
    fn milliseconds(&self, text: &str) -> io::Result<Span> {
        match text.parse::<f64>() {
            Ok(ms) if ms >= 0.0 && ms.is_finite() => Ok(span_from_seconds(ms / 1e3)),
            _ => Err(invalid(self.line)),
        }
    }

    fn run_end(&self, text: &str) -> io::Result<RunEnd> {
        match text {
            "OK" => Ok(RunEnd::Ok),
            "ERROR" => Ok(RunEnd::Failed),
            "STOPPED" => Ok(RunEnd::Stopped),
            "MOOT" => Ok(RunEnd::NotStarted),
            _ => Err(invalid(self.line)),
        }
    }

    /// The body of this length after the line; None while it is incomplete.
    fn body(&mut self, length: &str) -> io::Result<Option<Buffer>> {
        let length = usize::try_from(self.number(length)?).unwrap_or(usize::MAX);
        if length > MAX_RESULT_BYTES {
            return Err(invalid(self.line));
        }
        let body_end = self.parsed_bytes + length;
        let Some(rest) = self.bytes.get(self.parsed_bytes..body_end + LINE_END.len()) else {
            return Ok(None);
        };
        let (body, tail) = rest.split_at(length);
        if tail != LINE_END {
            return Err(invalid(self.line));
        }
        self.parsed_bytes += rest.len();
        self.pool.copy(body).map(Some).ok_or_else(|| invalid(self.line))
    }
}

#[cfg(test)]
mod tests;
