//! Thrift's framed transport and strict binary protocol: bytes to messages and answers to bytes.

use crate::settings::ActiveSettings;
use gradepin_admission::{Idempotency, RequestId};
use gradepin_core::buffer_pool::{BUFFER_BYTES, Buffer, BufferPool};
use gradepin_core::messages::{ClientRequest, RequestError, Response, SequenceId, UNKNOWN_OUTCOME_TEXT};
use std::sync::Arc;

const VERSION: u32 = 0x8001_0000;
const MOST_BODY: usize = 2048;
const MOST_TOKEN: usize = 64;
const MOST_DEPTH: usize = 16;
/// Nanoseconds in a millisecond.
const MS: u64 = 1_000_000;

const CALL: u8 = 1;
const REPLY: u8 = 2;
const EXCEPTION: u8 = 3;
const ONEWAY: u8 = 4;

const BOOL: u8 = 2;
const I32: u8 = 8;
const STRING: u8 = 11;
const STRUCT: u8 = 12;
const MAP: u8 = 13;

/// Types of an application exception.
const UNKNOWN_METHOD: i32 = 1;
const PROTOCOL_ERROR: i32 = 7;

/// What a client proxy sent.
#[derive(Debug)]
pub enum Message {
    /// A request.
    Call(SequenceId, Box<ClientRequest>),
    /// A health check.
    Health(SequenceId),
    /// Nobody waits for the answer to this one any more.
    Cancel(SequenceId),
    /// A well-formed message that makes no sense here, and why; it is owed an exception.
    Invalid(SequenceId, RequestError, String),
    /// A oneway message of no meaning here.
    Unknown,
}

pub use crate::frontend::Malformed;

/// The length of the first frame with its prefix, or none while the prefix isn't whole.
pub fn frame(bytes: &[u8]) -> Result<Option<usize>, Malformed> {
    let Some(prefix) = bytes.first_chunk::<4>() else { return Ok(None) };
    let len = usize::try_from(u32::from_be_bytes(*prefix)).unwrap_or(usize::MAX);
    if len > BUFFER_BYTES - 4 { Err(Malformed("a frame over the size limit")) } else { Ok(Some(len + 4)) }
}

/// Reads the message in a frame, its length prefix taken off.
pub fn decode(frame: &[u8], names: &ActiveSettings, pool: &Arc<BufferPool>) -> Result<Message, Malformed> {
    let mut r = Reader(frame);
    let head = r.u32()?;
    if head & 0xffff_0000 != VERSION {
        return Err(Malformed("a message of another version"));
    }
    let kind = (head & 0xff) as u8;
    let name = r.string()?;
    let seq = r.i32()?;
    let message = match (name, kind) {
        (b"call", CALL) => {
            let (mut fields, mut body) = (Fields::default(), &b""[..]);
            r.each_field(|r, id, kind| match (id, kind) {
                (1, MAP) => fields.read(r).map(|()| true),
                (2, STRING) => r.string().map(|bytes| body = bytes).map(|()| true),
                _ => Ok(false),
            })?;
            match fields.call(body, names, pool) {
                Ok(call) => Message::Call(seq, Box::new(call)),
                Err((misuse, why)) => Message::Invalid(seq, misuse, why),
            }
        }
        (b"cancel", CALL | ONEWAY) => {
            let mut of = None;
            r.each_field(|r, id, kind| match (id, kind) {
                (1, I32) => r.i32().map(|seq| of = Some(seq)).map(|()| true),
                _ => Ok(false),
            })?;
            of.map_or(Message::Unknown, Message::Cancel)
        }
        (b"health", CALL) => {
            r.each_field(|_, _, _| Ok(false))?;
            Message::Health(seq)
        }
        (name, CALL) => {
            r.each_field(|_, _, _| Ok(false))?;
            Message::Invalid(seq, RequestError::NotFound, unknown(&String::from_utf8_lossy(name)))
        }
        (_, ONEWAY) => {
            r.each_field(|_, _, _| Ok(false))?;
            Message::Unknown
        }
        _ => return Err(Malformed("a message that is no call")),
    };
    if r.0.is_empty() { Ok(message) } else { Err(Malformed("bytes behind a message")) }
}

fn unknown(method: &str) -> String {
    format!("unknown method {}", quoted(method))
}

/// A peer's word in a message: short, and on one line whatever it holds, since it goes into the log too.
fn quoted(word: &str) -> String {
    format!("{:?}", word.chars().take(40).collect::<String>())
}

/// The fields of a call that mean something here.
#[derive(Default)]
struct Fields<'a> {
    method: Option<&'a str>,
    rid: Option<&'a str>,
    t0: Option<&'a str>,
    peer: Option<&'a str>,
    acct: Option<&'a str>,
    budget: Option<&'a str>,
    again: Option<&'a str>,
    mem: Option<&'a str>,
    prio: Option<&'a str>,
    token: Option<&'a str>,
    obj: Option<&'a str>,
}

impl<'a> Fields<'a> {
    fn read(&mut self, r: &mut Reader<'a>) -> Result<(), Malformed> {
        let (key, value, count) = (r.u8()?, r.u8()?, r.count()?);
        if count > 0 && (key, value) != (STRING, STRING) {
            return Err(Malformed("fields that are no map of strings"));
        }
        for _ in 0..count {
            let (key, value) = (r.string()?, r.string()?);
            let text = std::str::from_utf8(value).map_err(|_| Malformed("a field that is no text"))?;
            let slot = match key {
                b"method" => &mut self.method,
                b"rid" => &mut self.rid,
                b"t0" => &mut self.t0,
                b"peer" => &mut self.peer,
                b"acct" => &mut self.acct,
                b"budget" => &mut self.budget,
                b"again" => &mut self.again,
                b"mem" => &mut self.mem,
                b"prio" => &mut self.prio,
                b"token" => &mut self.token,
                b"obj" => &mut self.obj,
                _ => continue,
            };
            *slot = Some(text);
        }
        Ok(())
    }

    fn call(
        &self,
        body: &[u8],
        names: &ActiveSettings,
        pool: &Arc<BufferPool>,
    ) -> Result<ClientRequest, (RequestError, String)> {
        let bad = |why: &str| (RequestError::Malformed, why.to_string());
        let method = self.method.ok_or(bad("no method"))?;
        let (class, definition) =
            names.class(method).ok_or_else(|| (RequestError::NotFound, unknown(method)))?;
        let tenant = match self.acct {
            Some(name) => {
                let tenant = names.tenant(name);
                Some(tenant.ok_or_else(|| bad(&format!("unknown tenant {}", quoted(name))))?)
            }
            None => None,
        };
        // The id goes into the processor's lines: anything but hex digits could forge one.
        let id = self.rid.filter(|id| id.len() == 16 && id.bytes().all(|b| b.is_ascii_hexdigit()));
        let size_kb = number::<f64>("mem", self.mem)?;
        let precedence = self.prio.map_or(Ok(0.0), |text| number::<f64>("prio", Some(text)))?;
        let token = self.token.filter(|token| !token.is_empty() && token.len() <= MOST_TOKEN);
        if !(size_kb > 0.0 && size_kb < 2000.0) {
            return Err(bad("mem out of range"));
        }
        if !(0.0..1.0).contains(&precedence) {
            return Err(bad("prio out of range"));
        }
        let keyed = definition.profile.effect == Idempotency::Keyed;
        let deadline_ms = definition.profile.deadline.0 / MS;
        if keyed && token.is_none() {
            return Err(bad("no token of 1 to 64 bytes in a keyed class"));
        }
        if body.len() > MOST_BODY {
            return Err((RequestError::BodyTooLarge, "a body over 2 KiB".into()));
        }
        Ok(ClientRequest {
            id: RequestId::new(id.ok_or(bad("no rid of 16 hex digits"))?),
            class,
            tenant,
            client_proxy: self.peer.map_or(Ok(0), |text| number("peer", Some(text)))?,
            arrived_unix_ms: number("t0", self.t0)?,
            // Where the settings say that callers don't pass it on, the field is absent: its class's deadline counts then.
            budget_ms: self.budget.map_or(Ok(deadline_ms), |text| number("budget", Some(text)))?,
            retry: self.again == Some("1"),
            size_kb,
            precedence,
            idempotency_key: token.map(Arc::from),
            has_subject: self.obj.is_some(),
            body: pool.exact(body).ok_or(bad("a body over the size limit"))?,
        })
    }
}

fn number<T: std::str::FromStr>(name: &str, text: Option<&str>) -> Result<T, (RequestError, String)> {
    let number = text.and_then(|text| text.parse().ok());
    number.ok_or_else(|| (RequestError::Malformed, format!("no number as {name}")))
}

/// Takes values off the front of a frame.
struct Reader<'a>(&'a [u8]);

impl<'a> Reader<'a> {
    fn take(&mut self, len: usize) -> Result<&'a [u8], Malformed> {
        let (taken, rest) = self.0.split_at_checked(len).ok_or(Malformed("a message cut short"))?;
        self.0 = rest;
        Ok(taken)
    }
    fn array<const N: usize>(&mut self) -> Result<[u8; N], Malformed> {
        self.take(N)?.try_into().map_err(|_| Malformed("a message cut short"))
    }
    fn u8(&mut self) -> Result<u8, Malformed> {
        self.array::<1>().map(|[byte]| byte)
    }
    fn u32(&mut self) -> Result<u32, Malformed> {
        self.array().map(u32::from_be_bytes)
    }
    fn i32(&mut self) -> Result<i32, Malformed> {
        self.array().map(i32::from_be_bytes)
    }
    /// A number of things of at least one byte each.
    fn count(&mut self) -> Result<usize, Malformed> {
        let count = usize::try_from(self.i32()?).map_err(|_| Malformed("a negative length"))?;
        if count > self.0.len() { Err(Malformed("a message cut short")) } else { Ok(count) }
    }
    fn string(&mut self) -> Result<&'a [u8], Malformed> {
        let len = self.count()?;
        self.take(len)
    }

    /// Walks through a struct; the visitor says whether it took the field, else it is skipped.
    fn each_field<F>(&mut self, mut visit: F) -> Result<(), Malformed>
    where
        F: FnMut(&mut Self, i16, u8) -> Result<bool, Malformed>,
    {
        loop {
            let kind = self.u8()?;
            if kind == 0 {
                return Ok(());
            }
            let id = self.array().map(i16::from_be_bytes)?;
            if !visit(self, id, kind)? {
                self.skip(kind, MOST_DEPTH)?;
            }
        }
    }

    fn skip(&mut self, kind: u8, depth: usize) -> Result<(), Malformed> {
        let depth = depth.checked_sub(1).ok_or(Malformed("a message nested too deeply"))?;
        match kind {
            2 | 3 => self.take(1).map(drop),
            6 => self.take(2).map(drop),
            8 => self.take(4).map(drop),
            4 | 10 => self.take(8).map(drop),
            STRING => self.string().map(drop),
            STRUCT => loop {
                let kind = self.u8()?;
                if kind == 0 {
                    return Ok(());
                }
                self.take(2)?;
                self.skip(kind, depth)?;
            },
            MAP => {
                let (key, value, count) = (self.u8()?, self.u8()?, self.count()?);
                (0..count).try_for_each(|_| self.skip(key, depth).and_then(|()| self.skip(value, depth)))
            }
            14 | 15 => {
                let (kind, count) = (self.u8()?, self.count()?);
                (0..count).try_for_each(|_| self.skip(kind, depth))
            }
            _ => Err(Malformed("a value of an unknown type")),
        }
    }
}

/// A frame being written. What doesn't fit is noticed at the end.
struct Writer {
    buffer: Buffer,
    whole: bool,
}

impl Writer {
    fn message(pool: &Arc<BufferPool>, kind: u8, name: &str, seq: SequenceId) -> Self {
        let mut w = Self { buffer: pool.take(), whole: true };
        w.put(&[0; 4]);
        w.put(&(VERSION | u32::from(kind)).to_be_bytes());
        w.string(name.as_bytes());
        w.put(&seq.to_be_bytes());
        w
    }
    fn put(&mut self, bytes: &[u8]) {
        self.whole &= self.buffer.extend(bytes);
    }
    fn string(&mut self, bytes: &[u8]) {
        self.put(&i32::try_from(bytes.len()).unwrap_or(i32::MAX).to_be_bytes());
        self.put(bytes);
    }
    fn field(&mut self, kind: u8, id: i16) {
        self.put(&[kind]);
        self.put(&id.to_be_bytes());
    }
    fn map(&mut self, id: i16, fields: &[(&str, String)]) {
        self.field(MAP, id);
        self.put(&[STRING, STRING]);
        self.put(&i32::try_from(fields.len()).unwrap_or(0).to_be_bytes());
        for (name, value) in fields {
            self.string(name.as_bytes());
            self.string(value.as_bytes());
        }
    }
    fn answer(&mut self, body: &[u8], fields: &[(&str, String)], good: bool) {
        self.field(STRUCT, 0);
        self.field(STRING, 1);
        self.string(body);
        self.map(2, fields);
        self.field(BOOL, 3);
        self.put(&[u8::from(good), 0]);
    }
    fn end(mut self) -> Option<Buffer> {
        self.put(&[0]);
        let len = u32::try_from(self.buffer.len().saturating_sub(4)).ok()?;
        self.buffer.patch(0, &len.to_be_bytes());
        self.whole.then_some(self.buffer)
    }
}

/// The frame of an answer; none if it doesn't fit into a buffer.
pub fn encode(
    seq: SequenceId,
    answer: &Response,
    hint: Option<f64>,
    pool: &Arc<BufferPool>,
) -> Option<Buffer> {
    let mut fields: Vec<(&str, String)> = hint.map(|value| ("hint", value.to_string())).into_iter().collect();
    let reply = |name| Writer::message(pool, REPLY, name, seq);
    match answer {
        Response::Served(result) => {
            let mut w = reply("call");
            w.answer(result, &fields, true);
            w.end()
        }
        Response::Health { healthy: good, store } => {
            fields.extend(store.map(|word| ("store", word.to_string())));
            let mut w = reply("health");
            w.answer(b"", &fields, *good);
            w.end()
        }
        Response::Rejected { retry_after: backoff, no_failover: last } => {
            if backoff.0 > 0 {
                fields.push(("backoff", backoff.0.div_ceil(1_000_000).to_string()));
            }
            if *last {
                fields.push(("final", "1".to_string()));
            }
            thrown(reply("call"), 1, &fields)
        }
        Response::Failed { .. } => thrown(reply("call"), 2, &fields),
        Response::OutcomeUnknown => {
            fields.push(("why", UNKNOWN_OUTCOME_TEXT.to_string()));
            thrown(reply("call"), 2, &fields)
        }
        Response::Invalid { error: misuse, text: why } => {
            let mut w = Writer::message(pool, EXCEPTION, "call", seq);
            w.field(STRING, 1);
            w.string(why.as_bytes());
            w.field(I32, 2);
            let kind = if *misuse == RequestError::NotFound { UNKNOWN_METHOD } else { PROTOCOL_ERROR };
            w.put(&kind.to_be_bytes());
            w.end()
        }
    }
}

/// A declared exception, which holds nothing but fields.
fn thrown(mut w: Writer, id: i16, fields: &[(&str, String)]) -> Option<Buffer> {
    w.field(STRUCT, id);
    w.map(1, fields);
    w.put(&[0]);
    w.end()
}

/// The oneway message that asks for no more requests on a connection.
pub fn draining(pool: &Arc<BufferPool>) -> Option<Buffer> {
    Writer::message(pool, ONEWAY, "draining", 0).end()
}

#[cfg(test)]
mod tests;
