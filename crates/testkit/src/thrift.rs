//! Client side of the Thrift protocol: encodes calls and decodes answers. Implemented separately from the server side, so
//! that the two can't share a mistake.

use std::collections::HashMap;

/// Field types and message kinds of the strict binary protocol.
const BOOL: u8 = 2;
const I32: u8 = 8;
const STRING: u8 = 11;
const STRUCT: u8 = 12;
const MAP: u8 = 13;
const CALL: u8 = 1;
const REPLY: u8 = 2;
const EXCEPTION: u8 = 3;
const ONEWAY: u8 = 4;
/// Largest accepted frame, in bytes.
const MAX_FRAME_BYTES: usize = 64 * 1024;

fn string(out: &mut Vec<u8>, bytes: &[u8]) {
    out.extend((bytes.len() as u32).to_be_bytes());
    out.extend(bytes);
}

fn message(kind: u8, name: &str, seq: i32, arguments: impl FnOnce(&mut Vec<u8>)) -> Vec<u8> {
    let mut out = vec![0, 0, 0, 0, 0x80, 1, 0, kind];
    string(&mut out, name.as_bytes());
    out.extend(seq.to_be_bytes());
    arguments(&mut out);
    out.push(0);
    let len = (out.len() - 4) as u32;
    out[..4].copy_from_slice(&len.to_be_bytes());
    out
}

/// Encodes a request.
pub fn call(seq: i32, fields: &[(&str, &str)], body: &[u8]) -> Vec<u8> {
    message(CALL, "call", seq, |out| {
        out.extend([MAP, 0, 1, STRING, STRING]);
        out.extend((fields.len() as u32).to_be_bytes());
        for (name, value) in fields {
            string(out, name.as_bytes());
            string(out, value.as_bytes());
        }
        out.extend([STRING, 0, 2]);
        string(out, body);
    })
}

/// Encodes the cancellation of request `of`, whose answer is no longer needed.
pub fn cancel(seq: i32, of: i32) -> Vec<u8> {
    message(ONEWAY, "cancel", seq, |out| {
        out.extend([I32, 0, 1]);
        out.extend(of.to_be_bytes());
    })
}

/// Encodes a one-way message without arguments.
pub fn oneway(seq: i32, name: &str) -> Vec<u8> {
    message(ONEWAY, name, seq, |_| ())
}

/// Encodes a health check.
pub fn health(seq: i32) -> Vec<u8> {
    message(CALL, "health", seq, |out| out.extend([BOOL, 0, 1, 0]))
}

/// Decoded request with the fields that a forwarder needs.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Called {
    /// Sequence number on the connection.
    pub seq: i32,
    /// Request ID.
    pub rid: String,
    /// Class name.
    pub method: String,
    /// Request body.
    pub body: Vec<u8>,
}

/// Decodes a request encoded by [`call`], without its length prefix.
pub fn read_call(frame: &[u8]) -> Result<Called, Malformed> {
    let mut r = Reader(frame);
    let kind = r.take(4)?[3];
    let name = r.text()?;
    if kind != CALL || name != "call" {
        return Err(Malformed("a request"));
    }
    let seq = r.i32()?;
    let (mut fields, mut body) = (HashMap::new(), Vec::new());
    loop {
        match r.u8()? {
            0 => break,
            MAP => {
                r.take(2)?;
                fields = r.map()?;
            }
            STRING => {
                r.take(2)?;
                body = r.string()?.to_vec();
            }
            _ => return Err(Malformed("fields of a request")),
        }
    }
    let mut field = |name: &'static str| fields.remove(name).ok_or(Malformed(name));
    Ok(Called { seq, rid: field("rid")?, method: field("method")?, body })
}

/// Encodes an answer with a result and no further fields.
pub fn served(seq: i32, body: &[u8]) -> Vec<u8> {
    message(REPLY, "call", seq, |out| {
        out.extend([STRUCT, 0, 0, STRING, 0, 1]);
        string(out, body);
        out.extend([BOOL, 0, 3, 1, 0]);
    })
}

/// Encodes a rejection with its Retry-After time.
pub fn refused(seq: i32, backoff_ms: u64) -> Vec<u8> {
    message(REPLY, "call", seq, |out| {
        out.extend([STRUCT, 0, 1, MAP, 0, 1, STRING, STRING, 0, 0, 0, 1]);
        string(out, b"backoff");
        string(out, backoff_ms.to_string().as_bytes());
        out.push(0);
    })
}

/// Answer of a server.
#[derive(Debug, Clone, PartialEq)]
pub enum Answer {
    /// Result of a run or of a passing health check, with its additional fields.
    Served(Vec<u8>, HashMap<String, String>),
    /// Failing health check.
    Bad,
    /// Rejected request.
    Refused {
        /// Retry-After time in milliseconds.
        backoff_ms: u64,
        /// Whether the request must not be retried at another server.
        last: bool,
        /// Value of the optional `hint` field.
        hint: Option<f64>,
    },
    /// Failure or protocol exception, with its reason if the server sent one.
    Failed(Option<String>),
}

/// Message of a server.
#[derive(Debug, Clone, PartialEq)]
pub enum Message {
    /// Answer to the request with this sequence number.
    Answer(i32, Answer),
    /// The server accepts no more requests on this connection.
    Draining,
}

/// Bytes that violate the protocol.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("expected {0}")]
pub struct Malformed(&'static str);

/// Length of the first complete frame including its prefix; `None` if it is incomplete.
pub fn frame(bytes: &[u8]) -> Result<Option<usize>, Malformed> {
    let Some(prefix) = bytes.first_chunk::<4>() else { return Ok(None) };
    let len = u32::from_be_bytes(*prefix) as usize;
    if len > MAX_FRAME_BYTES {
        return Err(Malformed("a frame within its limit"));
    }
    Ok((bytes.len() >= len + 4).then_some(len + 4))
}

struct Reader<'a>(&'a [u8]);

impl<'a> Reader<'a> {
    fn take(&mut self, len: usize) -> Result<&'a [u8], Malformed> {
        let (taken, rest) = self.0.split_at_checked(len).ok_or(Malformed("more bytes"))?;
        self.0 = rest;
        Ok(taken)
    }

    fn u8(&mut self) -> Result<u8, Malformed> {
        Ok(self.take(1)?[0])
    }

    fn i32(&mut self) -> Result<i32, Malformed> {
        Ok(i32::from_be_bytes(self.take(4)?.try_into().unwrap_or_default()))
    }

    fn string(&mut self) -> Result<&'a [u8], Malformed> {
        let len = usize::try_from(self.i32()?).map_err(|_| Malformed("a length"))?;
        self.take(len)
    }

    fn text(&mut self) -> Result<String, Malformed> {
        Ok(String::from_utf8_lossy(self.string()?).into_owned())
    }

    fn map(&mut self) -> Result<HashMap<String, String>, Malformed> {
        let (key, value, count) = (self.u8()?, self.u8()?, self.i32()?);
        if count > 0 && (key, value) != (STRING, STRING) {
            return Err(Malformed("a map of strings"));
        }
        (0..count).map(|_| Ok((self.text()?, self.text()?))).collect()
    }
}

/// Decodes the message of a frame, without its length prefix.
pub fn decode(frame: &[u8]) -> Result<Message, Malformed> {
    let mut r = Reader(frame);
    let head = r.take(4)?;
    let kind = head[3];
    let name = r.text()?;
    let seq = r.i32()?;
    match (kind, name.as_str()) {
        (ONEWAY, "draining") => Ok(Message::Draining),
        (EXCEPTION, _) => Ok(Message::Answer(seq, Answer::Failed(None))),
        (REPLY, _) => {
            let (kind, field) = (r.u8()?, r.take(2)?[1]);
            if kind != STRUCT {
                return Err(Malformed("a result that is a struct"));
            }
            let (mut body, mut fields, mut good) = (Vec::new(), HashMap::new(), false);
            loop {
                match r.u8()? {
                    0 => break,
                    STRING => {
                        r.take(2)?;
                        body = r.string()?.to_vec();
                    }
                    MAP => {
                        r.take(2)?;
                        fields = r.map()?;
                    }
                    BOOL => {
                        r.take(2)?;
                        good = r.u8()? == 1;
                    }
                    _ => return Err(Malformed("fields of an answer")),
                }
            }
            let number = |name: &str| fields.get(name).and_then(|text: &String| text.parse::<f64>().ok());
            let answer = match field {
                0 if good => Answer::Served(body, fields),
                0 => Answer::Bad,
                1 => Answer::Refused {
                    backoff_ms: number("backoff").unwrap_or(0.0) as u64,
                    last: fields.get("final").is_some_and(|text| text == "1"),
                    hint: number("hint"),
                },
                _ => Answer::Failed(fields.remove("why")),
            };
            Ok(Message::Answer(seq, answer))
        }
        _ => Err(Malformed("an answer")),
    }
}
