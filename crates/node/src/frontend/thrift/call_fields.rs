//! Converts the string fields of a Thrift `call` to a request. The protocol's field names are mapped here.

use super::wire::{STRING, WireReader};
use crate::frontend::protocol::{InvalidRequest, MalformedFrame};
use crate::settings::ActiveSettings;
use gradepin_admission::{ClassDefinition, Idempotency, RequestId};
use gradepin_core::buffer_pool::BufferPool;
use gradepin_core::messages::{ClientRequest, Receipt, RequestError};
use gradepin_core::slots::Handle;
use std::str::FromStr;
use std::sync::Arc;

/// Maximum size of a request body.
pub(super) const MAX_BODY_BYTES: usize = 2048;
/// Maximum size of an idempotency key.
const MAX_KEY_BYTES: usize = 64;
/// Exclusive upper bound of the memory of a request, which must also be more than 0.
const MAX_SIZE_KB: f64 = 2000.0;
/// An error quotes at most this part of a client's text.
const MAX_QUOTED_CHARS: usize = 40;
const NANOSECONDS_PER_MS: u64 = 1_000_000;

/// The known fields of a call, under their names in the protocol.
#[derive(Default)]
pub(super) struct CallFields<'a> {
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

impl<'a> CallFields<'a> {
    /// Reads a map of strings; unknown names are skipped, and the last value of a repeated name is used.
    pub(super) fn read(&mut self, reader: &mut WireReader<'a>) -> Result<(), MalformedFrame> {
        let (key_type, value_type, count) = (reader.u8()?, reader.u8()?, reader.count()?);
        if count > 0 && (key_type, value_type) != (STRING, STRING) {
            return Err(MalformedFrame("fields that are no map of strings"));
        }
        for _ in 0..count {
            let (name, value) = (reader.string()?, reader.string()?);
            let text = std::str::from_utf8(value).map_err(|_| MalformedFrame("a field that is no text"))?;
            let field = match name {
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
            *field = Some(text);
        }
        Ok(())
    }

    /// Builds the request from the fields and a body.
    pub(super) fn request(
        &self,
        body: &[u8],
        active: &ActiveSettings,
        pool: &Arc<BufferPool>,
    ) -> Result<ClientRequest, InvalidRequest> {
        let (class, definition) = self.class(active)?;
        let tenant = self.tenant(active)?;
        let size_kb: f64 = parse("mem", self.mem)?;
        let precedence: f64 = parse_or("prio", self.prio, 0.0)?;
        if !(size_kb > 0.0 && size_kb < MAX_SIZE_KB) {
            return Err(InvalidRequest::malformed("mem out of range"));
        }
        if !(0.0..1.0).contains(&precedence) {
            return Err(InvalidRequest::malformed("prio out of range"));
        }
        let idempotency_key = self.idempotency_key(&definition)?;
        if body.len() > MAX_BODY_BYTES {
            return Err(InvalidRequest::new(RequestError::BodyTooLarge, "a body over 2 KiB"));
        }
        let default_budget_ms = definition.profile.deadline.0 / NANOSECONDS_PER_MS;
        Ok(ClientRequest {
            id: self.id()?,
            class,
            tenant,
            client_proxy: parse_or("peer", self.peer, 0)?,
            arrived_unix_ms: parse("t0", self.t0)?,
            // Clients that don't propagate their remaining time omit it; the deadline of the class applies then.
            budget_ms: parse_or("budget", self.budget, default_budget_ms)?,
            retry: self.again == Some("1"),
            size_kb,
            precedence,
            idempotency_key,
            has_subject: self.obj.is_some(),
            receipt: Receipt::default(),
            body: pool.exact(body).ok_or_else(|| InvalidRequest::malformed("a body over the size limit"))?,
        })
    }

    fn class(&self, active: &ActiveSettings) -> Result<(Handle, Arc<ClassDefinition>), InvalidRequest> {
        let method = self.method.ok_or_else(|| InvalidRequest::malformed("no method"))?;
        active.class(method).ok_or_else(|| unknown_method(method))
    }

    fn tenant(&self, active: &ActiveSettings) -> Result<Option<Handle>, InvalidRequest> {
        let Some(name) = self.acct else { return Ok(None) };
        match active.tenant(name) {
            Some(tenant) => Ok(Some(tenant)),
            None => Err(InvalidRequest::malformed(format!("unknown tenant {}", quoted(name)))),
        }
    }

    /// The id of the request. Only hex digits are accepted because the id is written into lines to the processor, which
    /// other characters could forge.
    fn id(&self) -> Result<RequestId, InvalidRequest> {
        let is_hex = |id: &&str| id.len() == 16 && id.bytes().all(|byte| byte.is_ascii_hexdigit());
        match self.rid.filter(is_hex) {
            Some(id) => Ok(RequestId::new(id)),
            None => Err(InvalidRequest::malformed("no rid of 16 hex digits")),
        }
    }

    fn idempotency_key(&self, class: &ClassDefinition) -> Result<Option<Arc<str>>, InvalidRequest> {
        let key = self.token.filter(|key| !key.is_empty() && key.len() <= MAX_KEY_BYTES);
        if class.profile.effect == Idempotency::Keyed && key.is_none() {
            return Err(InvalidRequest::malformed("no token of 1 to 64 bytes in a keyed class"));
        }
        Ok(key.map(Arc::from))
    }
}

/// The error for an unknown method or message.
pub(super) fn unknown_method(name: &str) -> InvalidRequest {
    InvalidRequest::new(RequestError::NotFound, format!("unknown method {}", quoted(name)))
}

/// Quotes a client's text for an error. The result is short and on one line, because errors are logged too.
fn quoted(text: &str) -> String {
    format!("{:?}", text.chars().take(MAX_QUOTED_CHARS).collect::<String>())
}

fn parse<T: FromStr>(name: &str, text: Option<&str>) -> Result<T, InvalidRequest> {
    let number = text.and_then(|text| text.parse().ok());
    number.ok_or_else(|| InvalidRequest::malformed(format!("no number as {name}")))
}

fn parse_or<T: FromStr>(name: &str, text: Option<&str>, default: T) -> Result<T, InvalidRequest> {
    if text.is_none() { Ok(default) } else { parse(name, text) }
}
