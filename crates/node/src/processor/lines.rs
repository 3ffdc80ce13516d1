//! Lines of the processor, cut out of the bytes that a link brings. Owns what came and was not taken yet: one buffer,
//! whatever comes. No line with a meaning is longer than that; a remark may be, and is passed over as it comes.

use gradepin_admission::{RequestId, Span, span_from_seconds};
use gradepin_core::buffer_pool::{Buffer, BufferPool};
use gradepin_core::messages::RunEnd;
use std::io;
use std::sync::Arc;

/// The longest result that the protocol allows, in bytes.
const MOST_RESULT: usize = 4096;
const REMARK: &[u8] = b"remark ";

/// What came on a link and was not taken yet.
pub struct Lines {
    pool: Arc<BufferPool>,
    buffer: Buffer,
    /// Bytes at the front of the buffer that were taken.
    taken: usize,
    /// The number of a remark longer than the buffer, whose end is still to come.
    remark: Option<u64>,
}

impl Lines {
    /// Those of a new link.
    pub fn new(pool: &Arc<BufferPool>) -> Self {
        Self { pool: Arc::clone(pool), buffer: pool.take(), taken: 0, remark: None }
    }

    /// Takes the next line, with the bytes that follow it; none while it isn't whole.
    pub fn next(&mut self) -> io::Result<Option<Line>> {
        let bytes = &self.buffer[self.taken..];
        let Some(notice) = self.remark else {
            let Some((len, line)) = parse(bytes, &self.pool)? else { return Ok(None) };
            self.taken += len;
            return Ok(Some(line));
        };
        let Some(end) = line_end(bytes) else { return Ok(None) };
        self.taken += end + 2;
        self.remark = None;
        Ok(Some(Line::Remark(notice)))
    }

    /// Room for more, at least a byte; [`Lines::filled`] then says how much of it was used. An error where what came is
    /// longer than any line.
    pub fn space(&mut self) -> io::Result<&mut [u8]> {
        self.buffer.consume(std::mem::take(&mut self.taken));
        if self.buffer.space().is_empty() {
            // Guards against a link that falls over a long remark, and over the same one again after each hello.
            self.remark =
                Some(self.remark.or_else(|| remark(&self.buffer)).ok_or_else(|| bad(&self.buffer))?);
            // The first half of its line end may have come.
            self.buffer.consume(self.buffer.len() - 1);
        }
        Ok(self.buffer.space())
    }

    /// Counts bytes that were put into [`Lines::space`].
    pub fn filled(&mut self, bytes: usize) {
        self.buffer.filled(bytes);
    }
}

/// A line from the processor.
#[derive(Debug)]
pub enum Line {
    /// A greeting: whether it began cold, and how long ago.
    Hi(bool, Span),
    /// A run is over: number of the notice, request, end, time taken and result.
    Complete(u64, RequestId, RunEnd, Span, Buffer),
    /// A run waits for a call: number of the notice, request and body.
    Ask(u64, RequestId, Buffer),
    /// The gauges, NaN where one is not told, and the question they answer.
    Used(u64, Vec<f64>),
    /// A run was not begun.
    Reject(RequestId),
    /// A notice with no meaning.
    Remark(u64),
    /// Nothing follows from it.
    Nothing,
}

fn bad(line: &[u8]) -> io::Error {
    let text = String::from_utf8_lossy(&line[..line.len().min(80)]).into_owned();
    io::Error::new(io::ErrorKind::InvalidData, format!("expected a line of the processor, got '{text}'"))
}

/// Where the first line ends.
fn line_end(bytes: &[u8]) -> Option<usize> {
    bytes.windows(2).position(|two| two == b"\r\n")
}

/// The number of a remark, of which the first word behind that need not be whole.
fn remark(line: &[u8]) -> Option<u64> {
    let digits = line.strip_prefix(REMARK)?.split(|&b| b == b' ').next()?;
    std::str::from_utf8(digits).ok()?.parse().ok()
}

/// The first line with the bytes that follow it, and the length of it all; none while it isn't whole.
fn parse(bytes: &[u8], pool: &Arc<BufferPool>) -> io::Result<Option<(usize, Line)>> {
    let Some(end) = line_end(bytes) else { return Ok(None) };
    let line = &bytes[..end];
    if line.starts_with(REMARK) {
        // Its text may be anything. Guards against a link that falls again and again over the same remark.
        return Ok(Some((end + 2, Line::Remark(remark(line).ok_or_else(|| bad(line))?))));
    }
    let text = std::str::from_utf8(line).map_err(|_| bad(line))?;
    let words: Vec<&str> = text.split(' ').collect();
    let number = |text: &str| text.parse::<u64>().map_err(|_| bad(line));
    // Times come with a decimal point as well as without: a reader of whole numbers lost every notice.
    let millis = |text: &str| match text.parse::<f64>() {
        Ok(ms) if ms >= 0.0 && ms.is_finite() => Ok(span_from_seconds(ms / 1e3)),
        _ => Err(bad(line)),
    };
    let mut whole = end + 2;
    // What follows a line that ends in a length, and the length of the whole.
    let mut body = |len: &str| -> io::Result<Option<Buffer>> {
        let len = usize::try_from(number(len)?).unwrap_or(usize::MAX);
        if len > MOST_RESULT {
            return Err(bad(line));
        }
        let Some(rest) = bytes.get(whole..whole + len + 2) else { return Ok(None) };
        let (body, tail) = rest.split_at(len);
        if tail != b"\r\n" {
            return Err(bad(line));
        }
        whole += len + 2;
        pool.copy(body).map(Some).ok_or_else(|| bad(line))
    };
    let line = match words[..] {
        ["hi", state @ ("COLD" | "WARM"), ms] => Line::Hi(state == "COLD", millis(ms)?),
        ["complete", n, id, ended, ms, len] => {
            let ended = match ended {
                "OK" => RunEnd::Ok,
                "ERROR" => RunEnd::Failed,
                "STOPPED" => RunEnd::Stopped,
                "MOOT" => RunEnd::NotStarted,
                _ => return Err(bad(line)),
            };
            let (n, took) = (number(n)?, millis(ms)?);
            let Some(result) = body(len)? else { return Ok(None) };
            Line::Complete(n, RequestId::new(id), ended, took, result)
        }
        ["ask", n, id, len] => {
            let n = number(n)?;
            let Some(call) = body(len)? else { return Ok(None) };
            Line::Ask(n, RequestId::new(id), call)
        }
        ["used", tag, ref values @ ..] => {
            // One that is no number is not told; the module goes by its own books for it. Guards against a link that falls
            // over each answer, where the settings name gauges that this processor doesn't have, or none at all.
            let values = values.iter().map(|value| value.parse().unwrap_or(f64::NAN));
            Line::Used(number(tag)?, values.collect())
        }
        ["reject", "begin", id] => Line::Reject(RequestId::new(id)),
        ["reject", ..] => Line::Nothing,
        _ => return Err(bad(line)),
    };
    Ok(Some((whole, line)))
}

#[cfg(test)]
mod tests;
