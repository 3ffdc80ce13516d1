//! Decodes one SCGI 1 request: a netstring of headers, then a body (<https://python.ca/scgi/protocol.txt>).
//!
//! Bytes are fed in pieces of any size. Only headers that the server needs are retained, so a connection uses at most
//! [`MAX_RETAINED_BYTES`] for headers and [`MAX_BODY_BYTES`] for the body, however long its header block is.

use std::collections::BTreeSet;

/// Maximum length of the header block, as stated by its netstring.
pub const MAX_HEADERS_BYTES: usize = 16 * 1024;
/// Maximum length of the body.
pub const MAX_BODY_BYTES: usize = 2048;
/// Maximum total length of the retained header values of a request.
pub const MAX_RETAINED_BYTES: usize = 4096;
/// Longer header names are none of the required ones; their headers are skipped.
pub(super) const MAX_NAME_BYTES: usize = 128;

/// An error in the bytes of a request. The messages are sent to the client.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum ScgiError {
    /// The netstring's length is no number, negative, or has leading zeros.
    #[error("expected a length of digits before the headers")]
    NetstringLength,
    /// The header block, or its retained part, exceeds the limit.
    #[error("expected no more than {MAX_HEADERS_BYTES} bytes of headers")]
    HeadersTooLong,
    /// The header block doesn't end at its stated length, or not with a comma.
    #[error("expected headers of names and values that end with NUL, and a comma")]
    Headers,
    /// `CONTENT_LENGTH` is not the first header.
    #[error("expected CONTENT_LENGTH as the first header")]
    MissingContentLength,
    /// `CONTENT_LENGTH` is no number.
    #[error("expected digits as CONTENT_LENGTH")]
    ContentLength,
    /// A header occurs twice.
    #[error("expected each header once")]
    DuplicateHeader,
    /// The header `SCGI` is not `1`.
    #[error("expected the header SCGI to be 1")]
    Version,
    /// The body exceeds its limit.
    #[error("expected no more than {MAX_BODY_BYTES} bytes of body")]
    BodyTooLong,
}

/// A complete request with its retained headers.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Request {
    /// Names and values of the retained headers, in the order sent.
    pub headers: Vec<(String, Vec<u8>)>,
    /// The body, as long as `CONTENT_LENGTH` says.
    pub body: Vec<u8>,
}

impl Request {
    /// The value of a retained header.
    pub fn header(&self, name: &str) -> Option<&[u8]> {
        self.headers.iter().find(|(header, _)| header == name).map(|(_, value)| &value[..])
    }
}

/// Result of [`Decoder::feed`].
#[derive(Debug)]
pub struct FeedResult {
    /// Number of consumed bytes; bytes after a complete request are not consumed.
    pub consumed_bytes: usize,
    /// The request, if these bytes complete it.
    pub request: Option<Request>,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum State {
    /// Reads the length of the netstring; `digits` and `value` are those read so far.
    Length { digits: usize, value: usize },
    /// Reads the name of a header; `remaining_bytes` of the header block are left.
    Name { remaining_bytes: usize },
    /// Reads the value of a header; `remaining_bytes` of the header block are left.
    Value { remaining_bytes: usize },
    /// Expects the comma after the header block.
    Comma,
    /// Reads the body.
    Body,
    /// The request is complete.
    Done,
}

/// Decodes one request incrementally.
#[derive(Debug)]
pub struct Decoder {
    state: State,
    required_headers: BTreeSet<String>,
    /// Name and value of the current header, as far as read.
    name: Vec<u8>,
    value: Vec<u8>,
    keeps_current_header: bool,
    /// Total length of the retained values.
    retained_bytes: usize,
    is_first_header: bool,
    has_version: bool,
    content_length: usize,
    /// Names of retained headers, to detect duplicates.
    seen_headers: BTreeSet<String>,
    request: Request,
}

impl Decoder {
    /// Creates a decoder that retains these headers.
    pub fn new(required_headers: impl IntoIterator<Item = String>) -> Self {
        Self {
            state: State::Length { digits: 0, value: 0 },
            required_headers: required_headers.into_iter().collect(),
            name: Vec::new(),
            value: Vec::new(),
            keeps_current_header: false,
            retained_bytes: 0,
            is_first_header: true,
            has_version: false,
            content_length: 0,
            seen_headers: BTreeSet::new(),
            request: Request::default(),
        }
    }

    /// Whether a part of a request, but not all of it, was fed.
    pub fn is_mid_request(&self) -> bool {
        !matches!(self.state, State::Length { digits: 0, .. } | State::Done)
    }

    /// Consumes bytes, at most up to the end of the request.
    ///
    /// # Errors
    /// If the request is invalid. The decoder can't be used afterwards.
    pub fn feed(&mut self, bytes: &[u8]) -> Result<FeedResult, ScgiError> {
        for (index, &byte) in bytes.iter().enumerate() {
            match self.state {
                State::Length { digits, value } => self.state = length_byte(digits, value, byte)?,
                State::Name { remaining_bytes } => self.name_byte(remaining_bytes, byte)?,
                State::Value { remaining_bytes } => self.value_byte(remaining_bytes, byte)?,
                State::Comma if byte != b',' => return Err(ScgiError::Headers),
                State::Comma => self.state = State::Body,
                State::Body => self.request.body.push(byte),
                State::Done => return Ok(FeedResult { consumed_bytes: index, request: None }),
            }
            if self.state == State::Body && self.request.body.len() == self.content_length {
                self.state = State::Done;
                let request = Some(std::mem::take(&mut self.request));
                return Ok(FeedResult { consumed_bytes: index + 1, request });
            }
        }
        Ok(FeedResult { consumed_bytes: bytes.len(), request: None })
    }

    fn name_byte(&mut self, remaining_bytes: usize, byte: u8) -> Result<(), ScgiError> {
        let is_last = remaining_bytes == 1;
        self.state = State::Name { remaining_bytes: remaining_bytes - 1 };
        if byte != 0 {
            if is_last {
                return Err(ScgiError::Headers);
            }
            // A longer name is none of the required ones, so its further bytes are not needed.
            if self.name.len() <= MAX_NAME_BYTES {
                self.name.push(byte);
            }
            return Ok(());
        }
        if self.name.is_empty() || is_last {
            return Err(ScgiError::Headers);
        }
        if self.is_first_header && self.name != b"CONTENT_LENGTH" {
            return Err(ScgiError::MissingContentLength);
        }
        let name = std::str::from_utf8(&self.name).unwrap_or_default();
        let is_of_protocol = matches!(name, "CONTENT_LENGTH" | "SCGI");
        self.keeps_current_header = is_of_protocol || self.required_headers.contains(name);
        if self.keeps_current_header && !self.seen_headers.insert(name.to_string()) {
            return Err(ScgiError::DuplicateHeader);
        }
        self.is_first_header = false;
        self.state = State::Value { remaining_bytes: remaining_bytes - 1 };
        Ok(())
    }

    fn value_byte(&mut self, remaining_bytes: usize, byte: u8) -> Result<(), ScgiError> {
        let is_last = remaining_bytes == 1;
        self.state = State::Value { remaining_bytes: remaining_bytes - 1 };
        if byte != 0 {
            if is_last {
                return Err(ScgiError::Headers);
            }
            if self.keeps_current_header {
                self.retained_bytes += 1;
                if self.retained_bytes > MAX_RETAINED_BYTES {
                    return Err(ScgiError::HeadersTooLong);
                }
                self.value.push(byte);
            }
            return Ok(());
        }
        self.end_header()?;
        if !is_last {
            self.state = State::Name { remaining_bytes: remaining_bytes - 1 };
            return Ok(());
        }
        if !self.has_version {
            return Err(ScgiError::Version);
        }
        self.state = State::Comma;
        Ok(())
    }

    /// Processes the current header, which is complete.
    fn end_header(&mut self) -> Result<(), ScgiError> {
        let (name, value) = (std::mem::take(&mut self.name), std::mem::take(&mut self.value));
        if !self.keeps_current_header {
            return Ok(());
        }
        match &name[..] {
            b"CONTENT_LENGTH" => self.content_length = parse_content_length(&value)?,
            b"SCGI" if value == b"1" => self.has_version = true,
            b"SCGI" => return Err(ScgiError::Version),
            _ => {
                let name = String::from_utf8_lossy(&name).into_owned();
                self.request.headers.push((name, value));
            }
        }
        Ok(())
    }

    /// Number of bytes of the request in memory.
    #[cfg(test)]
    pub(super) fn held_bytes(&self) -> usize {
        let headers: usize = self.request.headers.iter().map(|(name, value)| name.len() + value.len()).sum();
        self.name.len() + self.value.len() + self.request.body.len() + headers
    }
}

/// The state after one byte of the netstring's length.
fn length_byte(digits: usize, value: usize, byte: u8) -> Result<State, ScgiError> {
    match byte {
        b'0'..=b'9' => {
            let value = value * 10 + usize::from(byte - b'0');
            let has_leading_zero = digits > 0 && value < 10;
            if has_leading_zero {
                return Err(ScgiError::NetstringLength);
            }
            if value > MAX_HEADERS_BYTES {
                return Err(ScgiError::HeadersTooLong);
            }
            Ok(State::Length { digits: digits + 1, value })
        }
        b':' if digits > 0 && value > 0 => Ok(State::Name { remaining_bytes: value }),
        _ => Err(ScgiError::NetstringLength),
    }
}

fn parse_content_length(value: &[u8]) -> Result<usize, ScgiError> {
    let digits = !value.is_empty() && value.iter().all(u8::is_ascii_digit);
    if !digits {
        return Err(ScgiError::ContentLength);
    }
    let length = std::str::from_utf8(value).ok().and_then(|text| text.parse::<usize>().ok());
    length.filter(|&length| length <= MAX_BODY_BYTES).ok_or(ScgiError::BodyTooLong)
}
