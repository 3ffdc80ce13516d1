//! Decodes one SCGI 1 request: a netstring of headers, then a body (<https://python.ca/scgi/protocol.txt>).
//!
//! Bytes are fed in pieces of any size. Only the headers that the server requires are kept, so a connection holds at
//! most [`MAX_RETAINED_BYTES`] of headers and [`MAX_BODY_BYTES`] of body, however long its header block is.

use std::collections::BTreeSet;

/// Bytes of the header block, as its netstring states them, at most.
pub const MAX_HEADERS_BYTES: usize = 16 * 1024;
/// Bytes of the body at most.
pub const MAX_BODY_BYTES: usize = 2048;
/// Bytes of header values kept of one request at most.
pub const MAX_RETAINED_BYTES: usize = 4096;
/// A header with a longer name is none that is required, and is skipped.
pub(super) const MAX_NAME_BYTES: usize = 128;

/// What is wrong with the bytes of a request. The texts are sent to the client.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum ScgiError {
    /// The netstring's length is no number, negative, or has leading zeros.
    #[error("expected a length of digits before the headers")]
    NetstringLength,
    /// The header block, or the part of it that is kept, exceeds its limit.
    #[error("expected no more than {MAX_HEADERS_BYTES} bytes of headers")]
    HeadersTooLong,
    /// The header block doesn't end where its length says, or not with a comma.
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

/// A request with the headers that were required.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Request {
    /// Names and values, in the order sent.
    pub headers: Vec<(String, Vec<u8>)>,
    /// The body.
    pub body: Vec<u8>,
}

impl Request {
    /// The value of a header that was kept.
    pub fn header(&self, name: &str) -> Option<&[u8]> {
        self.headers.iter().find(|(header, _)| header == name).map(|(_, value)| &value[..])
    }
}

/// Result of feeding bytes.
#[derive(Debug)]
pub struct Fed {
    /// Bytes that were consumed; those after a request are not.
    pub consumed_bytes: usize,
    /// The request, once it is complete.
    pub request: Option<Request>,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum State {
    /// Reads the length of the netstring: digits so far, and their value.
    Length { digits: usize, value: usize },
    /// Reads the name of a header; bytes of the header block that are left.
    Name { remaining_bytes: usize },
    /// Reads the value of a header; bytes of the header block that are left.
    Value { remaining_bytes: usize },
    /// Expects the comma after the header block.
    Comma,
    /// Reads the body.
    Body,
    /// The request is complete.
    Done,
}

/// Decodes one request, piece by piece.
#[derive(Debug)]
pub struct Decoder {
    state: State,
    required_headers: BTreeSet<String>,
    /// Name and value of the current header so far.
    name: Vec<u8>,
    value: Vec<u8>,
    keeps_current_header: bool,
    /// Bytes of all kept values.
    retained_bytes: usize,
    is_first_header: bool,
    has_version: bool,
    content_length: usize,
    /// Names of kept headers, to find duplicates.
    seen_headers: BTreeSet<String>,
    request: Request,
}

impl Decoder {
    /// For a request of which these headers are kept.
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

    /// Whether a part of a request was fed.
    pub fn is_mid_request(&self) -> bool {
        !matches!(self.state, State::Length { digits: 0, .. } | State::Done)
    }

    /// Takes bytes, up to the end of the request.
    ///
    /// # Errors
    /// What is wrong with the request; the decoder must not be fed any more.
    pub fn feed(&mut self, bytes: &[u8]) -> Result<Fed, ScgiError> {
        for (index, &byte) in bytes.iter().enumerate() {
            match self.state {
                State::Length { digits, value } => self.state = length_byte(digits, value, byte)?,
                State::Name { remaining_bytes } => self.name_byte(remaining_bytes, byte)?,
                State::Value { remaining_bytes } => self.value_byte(remaining_bytes, byte)?,
                State::Comma if byte != b',' => return Err(ScgiError::Headers),
                State::Comma => self.state = State::Body,
                State::Body => self.request.body.push(byte),
                State::Done => return Ok(Fed { consumed_bytes: index, request: None }),
            }
            if self.state == State::Body && self.request.body.len() == self.content_length {
                self.state = State::Done;
                let request = Some(std::mem::take(&mut self.request));
                return Ok(Fed { consumed_bytes: index + 1, request });
            }
        }
        Ok(Fed { consumed_bytes: bytes.len(), request: None })
    }

    fn name_byte(&mut self, remaining_bytes: usize, byte: u8) -> Result<(), ScgiError> {
        let is_last = remaining_bytes == 1;
        self.state = State::Name { remaining_bytes: remaining_bytes - 1 };
        if byte != 0 {
            if is_last {
                return Err(ScgiError::Headers);
            }
            // A longer name can't be that of a required header.
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

    /// The current header is complete.
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

    /// Bytes of the request that it holds.
    #[cfg(test)]
    pub(super) fn held_bytes(&self) -> usize {
        let headers: usize = self.request.headers.iter().map(|(name, value)| name.len() + value.len()).sum();
        self.name.len() + self.value.len() + self.request.body.len() + headers
    }
}

/// The state after a byte of the netstring's length.
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
