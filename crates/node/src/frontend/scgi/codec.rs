//! SCGI 1 as bytes: a netstring of headers, then a body. No I/O: bytes go in as they come, in any pieces, and a request or
//! what is wrong with it comes out. Only the headers that somebody asks for are kept, so a connection holds little
//! however long its header block is.

use std::collections::BTreeSet;

/// The header block, as the specification's netstring holds it.
pub const MOST_HEAD: usize = 16 * 1024;
/// The body.
pub const MOST_BODY: usize = 2048;
/// Bytes of headers that are kept of one request.
pub const MOST_KEPT: usize = 4096;
/// A header's name that is longer than this is none that anybody asks for.
const MOST_NAME: usize = 128;

/// What is wrong with the bytes of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum Bad {
    /// The netstring's length is no number, negative, or has leading zeros.
    #[error("expected a length of digits before the headers")]
    Length,
    /// The header block or the part of it that is kept is over its limit.
    #[error("expected no more than {MOST_HEAD} bytes of headers")]
    HeadTooLong,
    /// The header block doesn't end where its length says, or not with a comma.
    #[error("expected headers of names and values that end with NUL, and a comma")]
    Head,
    /// `CONTENT_LENGTH` is not the first header.
    #[error("expected CONTENT_LENGTH as the first header")]
    NoContentLength,
    /// It is no number.
    #[error("expected digits as CONTENT_LENGTH")]
    ContentLength,
    /// A header stands twice.
    #[error("expected each header once")]
    Twice,
    /// `SCGI` is not `1`.
    #[error("expected the header SCGI to be 1")]
    Version,
    /// The body is over its limit.
    #[error("expected no more than {MOST_BODY} bytes of body")]
    BodyTooLong,
}

/// A request: the headers that were asked for, and the body.
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
        self.headers.iter().find(|(known, _)| known == name).map(|(_, value)| &value[..])
    }
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum State {
    /// Digits of the netstring's length so far, and what they say.
    Length(usize, usize),
    /// Bytes of the header block still to come.
    Name(usize),
    Value(usize),
    Comma,
    Body,
    Done,
}

/// Takes one request in, piece by piece.
#[derive(Debug)]
pub struct Decoder {
    state: State,
    wanted: BTreeSet<String>,
    name: Vec<u8>,
    value: Vec<u8>,
    /// Whether the header that comes is kept.
    keeps: bool,
    kept: usize,
    first: bool,
    version: bool,
    length: usize,
    seen: BTreeSet<String>,
    request: Request,
}

impl Decoder {
    /// For a request of which these headers are kept.
    pub fn new(wanted: impl IntoIterator<Item = String>) -> Self {
        Self {
            state: State::Length(0, 0),
            wanted: wanted.into_iter().collect(),
            name: Vec::new(),
            value: Vec::new(),
            keeps: false,
            kept: 0,
            first: true,
            version: false,
            length: 0,
            seen: BTreeSet::new(),
            request: Request::default(),
        }
    }

    /// Whether a request has begun and is not whole.
    pub fn begun(&self) -> bool {
        !matches!(self.state, State::Length(0, _) | State::Done)
    }

    /// Takes bytes in; the request once it is whole, and how many bytes were used. Bytes behind a request are not.
    pub fn feed(&mut self, bytes: &[u8]) -> Result<(usize, Option<Request>), Bad> {
        for (n, &byte) in bytes.iter().enumerate() {
            match self.state {
                State::Length(digits, value) => self.state = self.length_byte(digits, value, byte)?,
                State::Name(left) => self.name_byte(left, byte)?,
                State::Value(left) => self.value_byte(left, byte)?,
                State::Comma if byte != b',' => return Err(Bad::Head),
                State::Comma => self.state = State::Body,
                State::Body => self.request.body.push(byte),
                State::Done => return Ok((n, None)),
            }
            if self.state == State::Body && self.request.body.len() == self.length {
                self.state = State::Done;
                return Ok((n + 1, Some(std::mem::take(&mut self.request))));
            }
        }
        Ok((bytes.len(), None))
    }

    fn length_byte(&self, digits: usize, value: usize, byte: u8) -> Result<State, Bad> {
        match byte {
            b'0'..=b'9' => {
                let value = value * 10 + usize::from(byte - b'0');
                if digits > 0 && value < 10 {
                    return Err(Bad::Length);
                }
                if value > MOST_HEAD { Err(Bad::HeadTooLong) } else { Ok(State::Length(digits + 1, value)) }
            }
            b':' if digits > 0 && value > 0 => Ok(State::Name(value)),
            _ => Err(Bad::Length),
        }
    }

    fn name_byte(&mut self, left: usize, byte: u8) -> Result<(), Bad> {
        self.state = State::Name(left - 1);
        if byte != 0 {
            if left == 1 {
                return Err(Bad::Head);
            }
            // Longer ones are nobody's; they are skipped in bounded memory.
            if self.name.len() <= MOST_NAME {
                self.name.push(byte);
            }
            return Ok(());
        }
        if self.name.is_empty() || left == 1 {
            return Err(Bad::Head);
        }
        if self.first && self.name != b"CONTENT_LENGTH" {
            return Err(Bad::NoContentLength);
        }
        let name = std::str::from_utf8(&self.name).unwrap_or_default();
        let own = matches!(name, "CONTENT_LENGTH" | "SCGI");
        self.keeps = own || self.wanted.contains(name);
        if self.keeps && !self.seen.insert(name.to_string()) {
            return Err(Bad::Twice);
        }
        self.first = false;
        self.state = State::Value(left - 1);
        Ok(())
    }

    fn value_byte(&mut self, left: usize, byte: u8) -> Result<(), Bad> {
        self.state = State::Value(left - 1);
        if byte != 0 {
            if left == 1 {
                return Err(Bad::Head);
            }
            if self.keeps {
                self.kept += 1;
                if self.kept > MOST_KEPT {
                    return Err(Bad::HeadTooLong);
                }
                self.value.push(byte);
            }
            return Ok(());
        }
        let (name, value) = (std::mem::take(&mut self.name), std::mem::take(&mut self.value));
        if self.keeps {
            match &name[..] {
                b"CONTENT_LENGTH" => self.length = content_length(&value)?,
                b"SCGI" if value == b"1" => self.version = true,
                b"SCGI" => return Err(Bad::Version),
                _ => {
                    let name = String::from_utf8_lossy(&name).into_owned();
                    self.request.headers.push((name, value));
                }
            }
        }
        if left > 1 {
            self.state = State::Name(left - 1);
            return Ok(());
        }
        if !self.version {
            return Err(Bad::Version);
        }
        self.state = State::Comma;
        Ok(())
    }
}

fn content_length(value: &[u8]) -> Result<usize, Bad> {
    let digits = !value.is_empty() && value.iter().all(u8::is_ascii_digit);
    if !digits {
        return Err(Bad::ContentLength);
    }
    let length = std::str::from_utf8(value).ok().and_then(|text| text.parse::<usize>().ok());
    length.filter(|&length| length <= MOST_BODY).ok_or(Bad::BodyTooLong)
}

/// A request as a client sends it: `CONTENT_LENGTH` and `SCGI` first, then these headers.
pub fn encode(headers: &[(&str, &str)], body: &[u8]) -> Vec<u8> {
    let length = body.len().to_string();
    let own = [("CONTENT_LENGTH", length.as_str()), ("SCGI", "1")];
    let head: Vec<u8> = own
        .iter()
        .chain(headers)
        .flat_map(|(name, value)| [name.as_bytes(), &[0], value.as_bytes(), &[0]].concat())
        .collect();
    [format!("{}:", head.len()).as_bytes(), &head, b",", body].concat()
}

/// What a server answered, as a client reads it: the status, the headers in lower case and the body.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ScgiResponse {
    /// The status.
    pub status: u16,
    /// Names in lower case, and values.
    pub headers: Vec<(String, String)>,
    /// The body.
    pub body: Vec<u8>,
}

impl ScgiResponse {
    /// Reads a whole answer: everything up to the end of the connection. None if it is cut short or no answer.
    pub fn read(bytes: &[u8]) -> Option<Self> {
        let end = bytes.windows(4).position(|four| four == b"\r\n\r\n")?;
        let head = std::str::from_utf8(&bytes[..end]).ok()?;
        let headers: Vec<(String, String)> = head
            .split("\r\n")
            .map(|line| line.split_once(": ").map(|(name, value)| (name.to_lowercase(), value.to_string())))
            .collect::<Option<_>>()?;
        let of =
            |name: &str| headers.iter().find(|(known, _)| known == name).map(|(_, value)| value.as_str());
        let status = of("status")?.split(' ').next()?.parse().ok()?;
        let length: usize = of("content-length")?.parse().ok()?;
        let body = bytes[end + 4..].to_vec();
        (body.len() == length).then_some(Self { status, headers, body })
    }

    /// The value of a header, its name in lower case.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(known, _)| known == name).map(|(_, value)| value.as_str())
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;

    fn whole(bytes: &[u8]) -> Result<Option<Request>, Bad> {
        Decoder::new(["A".to_string(), "B".to_string()]).feed(bytes).map(|(_, request)| request)
    }

    /// Netstring of a header block that is given with `|` for NUL.
    fn block(text: &str) -> Vec<u8> {
        [format!("{}:", text.len()).as_bytes(), text.replace('|', "\0").as_bytes(), b","].concat()
    }

    #[test]
    fn a_request_is_read_and_what_nobody_asks_for_is_skipped() {
        let bytes = encode(&[("A", "one"), ("OTHER", "x"), ("B", "")], b"body");
        let request = whole(&bytes).unwrap().unwrap();
        assert_eq!((request.header("A"), request.header("B")), (Some(&b"one"[..]), Some(&b""[..])));
        assert_eq!((request.header("OTHER"), &request.body[..]), (None, &b"body"[..]));
        // The example of the specification.
        let example = b"70:CONTENT_LENGTH\x0027\0SCGI\x001\0REQUEST_METHOD\0POST\0REQUEST_URI\0/deepthought\0,What is the answer to life?";
        assert_eq!(whole(example).unwrap().unwrap().body, b"What is the answer to life?");
    }

    #[test]
    fn each_way_to_be_wrong_is_told_apart() {
        let cases: [(&[u8], Bad); 14] = [
            (b"-5:", Bad::Length),
            (b":", Bad::Length),
            (b"007:", Bad::Length),
            (b"0:,", Bad::Length),
            (b"99999999999999999999", Bad::HeadTooLong),
            (b"16385:", Bad::HeadTooLong),
            (b"12x", Bad::Length),
            (&block("SCGI|1|CONTENT_LENGTH|0|"), Bad::NoContentLength),
            (&block("CONTENT_LENGTH|-1|SCGI|1|"), Bad::ContentLength),
            (&block("CONTENT_LENGTH||SCGI|1|"), Bad::ContentLength),
            (&block("CONTENT_LENGTH|0|CONTENT_LENGTH|0|"), Bad::Twice),
            (&block("CONTENT_LENGTH|2049|SCGI|1|"), Bad::BodyTooLong),
            (&block("CONTENT_LENGTH|0|SCGI|2|"), Bad::Version),
            (&block("CONTENT_LENGTH|0|A|1|"), Bad::Version),
        ];
        for (bytes, bad) in cases {
            assert_eq!(whole(bytes), Err(bad), "{}", String::from_utf8_lossy(bytes));
        }
        for text in [
            "CONTENT_LENGTH|0|SCGI|1",
            "CONTENT_LENGTH|0|SCGI|1|A",
            "CONTENT_LENGTH|0||1|",
            "CONTENT_LENGTH|0|A|",
        ] {
            assert_eq!(whole(&block(text)), Err(Bad::Head), "{text}");
        }
        let mut no_comma = block("CONTENT_LENGTH|0|SCGI|1|");
        *no_comma.last_mut().unwrap() = b';';
        assert_eq!(whole(&no_comma), Err(Bad::Head));
        let long = format!("CONTENT_LENGTH|0|SCGI|1|A|{}|", "x".repeat(MOST_KEPT));
        assert_eq!(whole(&block(&long)), Err(Bad::HeadTooLong));
        let skipped = format!("CONTENT_LENGTH|0|SCGI|1|OTHER|{}|", "x".repeat(MOST_KEPT));
        assert!(whole(&block(&skipped)).unwrap().is_some(), "what is not kept may be long");
    }

    fn fed(bytes: &[u8], cuts: &[usize]) -> (Result<Option<Request>, Bad>, usize) {
        let mut decoder = Decoder::new(["A".to_string(), "B".to_string()]);
        let (mut from, mut held) = (0, 0);
        for to in cuts.iter().map(|cut| cut % (bytes.len() + 1)).chain([bytes.len()]) {
            let to = to.max(from);
            match decoder.feed(&bytes[from..to]) {
                Ok((_, Some(request))) => return (Ok(Some(request)), held),
                Ok((_, None)) => {}
                Err(bad) => return (Err(bad), held),
            }
            let headers: usize = decoder.request.headers.iter().map(|(n, v)| n.len() + v.len()).sum();
            held = held.max(decoder.name.len() + decoder.value.len() + decoder.request.body.len() + headers);
            from = to;
        }
        (Ok(None), held)
    }

    proptest! {
        /// Any cut of the stream gives the same.
        #[test]
        fn pieces_change_nothing(
            a in "[ -~]{0,40}", other in "[ -~]{0,200}", body in prop::collection::vec(any::<u8>(), 0..300),
            noise in prop::option::of((0_usize..400, any::<u8>())), mut cuts in prop::collection::vec(0_usize..800, 0..12),
        ) {
            let mut bytes = encode(&[("A", &a), ("OTHER", &other)], &body);
            if let Some((place, byte)) = noise {
                let place = place % bytes.len();
                bytes[place] = byte;
            }
            cuts.sort_unstable();
            prop_assert_eq!(fed(&bytes, &cuts).0, fed(&bytes, &[]).0);
        }

        /// Arbitrary bytes never panic, and no more than the limits is held.
        #[test]
        fn nothing_panics_or_holds_more_than_its_limits(
            bytes in prop::collection::vec(any::<u8>(), 0..600), start in prop::sample::select(vec!["", "500:", "500:CONTENT_LENGTH\0"]),
        ) {
            let bytes = [start.as_bytes(), &bytes].concat();
            let cuts: Vec<usize> = (0..bytes.len()).step_by(7).collect();
            let (_, held) = fed(&bytes, &cuts);
            prop_assert!(held <= MOST_KEPT + MOST_BODY + 2 * MOST_NAME + 64, "{held}");
        }
    }
}
