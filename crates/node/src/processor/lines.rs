//! Parses the lines of the processor from the bytes received on a link.
//!
//! Received bytes that are not parsed yet occupy at most one buffer. Remarks may be longer than that and are skipped
//! piece by piece; no other line may be longer.

use gradepin_admission::{RequestId, Span, span_from_seconds};
use gradepin_core::buffer_pool::{Buffer, BufferPool};
use gradepin_core::messages::RunEnd;
use std::io;
use std::sync::Arc;

/// The longest result that the protocol allows.
const MAX_RESULT_BYTES: usize = 4096;
/// An error quotes at most this part of an invalid line.
const MAX_QUOTED_BYTES: usize = 80;
const LINE_END: &[u8] = b"\r\n";
const REMARK: &[u8] = b"remark ";

/// The received bytes of a link that are not parsed yet.
pub(super) struct Lines {
    pool: Arc<BufferPool>,
    buffer: Buffer,
    /// Bytes at the start of the buffer that are already parsed.
    parsed_bytes: usize,
    /// Notice number of a remark longer than the buffer, while its end has not arrived.
    long_remark: Option<u64>,
}

impl Lines {
    /// Creates the parser of a new link.
    pub(super) fn new(pool: &Arc<BufferPool>) -> Self {
        Self { pool: Arc::clone(pool), buffer: pool.take(), parsed_bytes: 0, long_remark: None }
    }

    /// Parses the next line with the body that follows it; `None` while it is incomplete, an error if it is invalid.
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

    /// Space for at least one more byte; the caller reports with [`Lines::filled`] how many it received. Fails if the
    /// buffer is full of an incomplete line that is no remark.
    pub(super) fn space(&mut self) -> io::Result<&mut [u8]> {
        self.buffer.consume(std::mem::take(&mut self.parsed_bytes));
        if self.buffer.space().is_empty() {
            // An error here would end the link, and the processor would send the same remark again on each new one.
            let notice = self.long_remark.or_else(|| remark_notice(&self.buffer));
            self.long_remark = Some(notice.ok_or_else(|| invalid(&self.buffer))?);
            // The last byte may be the first half of the line end.
            self.buffer.consume(self.buffer.len() - 1);
        }
        Ok(self.buffer.space())
    }

    /// Records the number of bytes received into [`Lines::space`].
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
        /// Time since the processor started.
        age: Span,
    },
    /// A run has ended.
    Completed {
        /// Number of the notice.
        notice: u64,
        /// Id of the run's request.
        id: RequestId,
        /// How the run ended.
        end: RunEnd,
        /// Duration of the run.
        took: Span,
        /// Result of the run; empty unless it succeeded.
        result: Buffer,
    },
    /// A run waits for an upstream call.
    UpstreamCall {
        /// Number of the notice.
        notice: u64,
        /// Id of the run's request.
        id: RequestId,
        /// The body of the call.
        body: Buffer,
    },
    /// A response to a request for the gauges.
    Gauges {
        /// Number of the request for the gauges.
        number: u64,
        /// In the order of the settings; NaN if the processor has no number for a gauge.
        values: Vec<f64>,
    },
    /// The processor didn't start a run.
    RunRejected {
        /// Id of the run's request.
        id: RequestId,
    },
    /// A notice that is only counted; its text is ignored.
    Remark {
        /// Number of the notice.
        notice: u64,
    },
    /// A line that has no effect on the server.
    Ignored,
}

/// A parsed line, and its length in bytes including the body and the line ends.
#[derive(Debug)]
struct ParsedLine {
    bytes: usize,
    line: Line,
}

fn invalid(line: &[u8]) -> io::Error {
    let text = String::from_utf8_lossy(&line[..line.len().min(MAX_QUOTED_BYTES)]).into_owned();
    io::Error::new(io::ErrorKind::InvalidData, format!("expected a line of the processor, got '{text}'"))
}

/// Offset of the first line end.
fn line_end(bytes: &[u8]) -> Option<usize> {
    bytes.windows(LINE_END.len()).position(|window| window == LINE_END)
}

/// Notice number of a remark whose text may be incomplete.
fn remark_notice(line: &[u8]) -> Option<u64> {
    let digits = line.strip_prefix(REMARK)?.split(|&b| b == b' ').next()?;
    std::str::from_utf8(digits).ok()?.parse().ok()
}

/// Parses the first line with the body that follows it; `None` while it is incomplete.
fn parse(bytes: &[u8], pool: &Arc<BufferPool>) -> io::Result<Option<ParsedLine>> {
    let Some(end) = line_end(bytes) else { return Ok(None) };
    let (line, after_line) = (&bytes[..end], end + LINE_END.len());
    if line.starts_with(REMARK) {
        // The text need not be UTF-8. An error here would end the link, and the processor would send the same remark
        // again on each new one.
        let notice = remark_notice(line).ok_or_else(|| invalid(line))?;
        return Ok(Some(ParsedLine { bytes: after_line, line: Line::Remark { notice } }));
    }
    LineParser { bytes, line, parsed_bytes: after_line, pool }.parse()
}

/// Parses one complete line other than a remark.
struct LineParser<'b> {
    /// The line and all bytes received after it.
    bytes: &'b [u8],
    /// The line without its line end.
    line: &'b [u8],
    /// Length of the line, and of its body once that is parsed.
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
                // The admission controller has its own estimate for a gauge that is no number. An error here would end
                // the link at each response if the settings name gauges that this processor doesn't have, or none.
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

    /// Parses milliseconds, with or without a decimal point.
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

    /// Parses the body of this length that follows the line; `None` while it is incomplete.
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
