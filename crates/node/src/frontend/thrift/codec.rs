//! Decodes Thrift frames of clients to messages and encodes responses to frames. No I/O.

use super::call_fields::{CallFields, unknown_method};
use super::wire::{
    BOOL, CALL, EXCEPTION, I32, MAP, ONEWAY, REPLY, STRING, STRUCT, VERSION, WireReader, WireWriter,
};
use crate::frontend::protocol::{DecodedMessage, MalformedFrame};
use crate::settings::ActiveSettings;
use gradepin_core::buffer_pool::{BUFFER_BYTES, Buffer, BufferPool};
use gradepin_core::messages::{RequestError, Response, SequenceId, UNKNOWN_OUTCOME_TEXT};
use std::sync::Arc;

/// Size of the length prefix of a frame.
pub const LENGTH_PREFIX_BYTES: usize = 4;

/// Types of an application exception in the Thrift specification.
const UNKNOWN_METHOD: i32 = 1;
const PROTOCOL_ERROR: i32 = 7;

/// Length of the first frame in bytes, including its length prefix; `None` while the prefix is incomplete.
///
/// # Errors
/// If the frame exceeds the size of a buffer.
pub fn frame(bytes: &[u8]) -> Result<Option<usize>, MalformedFrame> {
    let Some(prefix) = bytes.first_chunk::<LENGTH_PREFIX_BYTES>() else { return Ok(None) };
    let length = usize::try_from(u32::from_be_bytes(*prefix)).unwrap_or(usize::MAX);
    if length > BUFFER_BYTES - LENGTH_PREFIX_BYTES {
        return Err(MalformedFrame("a frame over the size limit"));
    }
    Ok(Some(length + LENGTH_PREFIX_BYTES))
}

/// Decodes the message in a frame, given without its length prefix.
///
/// # Errors
/// If the frame is no valid message, or bytes follow the message.
pub fn decode(
    frame: &[u8],
    active: &ActiveSettings,
    pool: &Arc<BufferPool>,
) -> Result<DecodedMessage, MalformedFrame> {
    let mut reader = WireReader(frame);
    let version_and_kind = reader.u32()?;
    if version_and_kind & 0xffff_0000 != VERSION {
        return Err(MalformedFrame("a message of another version"));
    }
    let kind = (version_and_kind & 0xff) as u8;
    let name = reader.string()?;
    let sequence = reader.i32()?;
    let message = match (name, kind) {
        (b"call", CALL) => decode_call(&mut reader, sequence, active, pool)?,
        (b"cancel", CALL | ONEWAY) => decode_cancel(&mut reader)?,
        (b"health", CALL) => {
            skip_arguments(&mut reader)?;
            DecodedMessage::HealthCheck { sequence }
        }
        (name, CALL) => {
            skip_arguments(&mut reader)?;
            let invalid = unknown_method(&String::from_utf8_lossy(name));
            DecodedMessage::Invalid { sequence, invalid }
        }
        (_, ONEWAY) => {
            skip_arguments(&mut reader)?;
            DecodedMessage::Unsupported
        }
        _ => return Err(MalformedFrame("a message that is no call")),
    };
    if reader.0.is_empty() { Ok(message) } else { Err(MalformedFrame("bytes behind a message")) }
}

/// Decodes the arguments of `call(1: map<string, string> fields, 2: binary body)`.
fn decode_call(
    reader: &mut WireReader<'_>,
    sequence: SequenceId,
    active: &ActiveSettings,
    pool: &Arc<BufferPool>,
) -> Result<DecodedMessage, MalformedFrame> {
    let (mut fields, mut body) = (CallFields::default(), &b""[..]);
    reader.each_field(|reader, id, field_type| match (id, field_type) {
        (1, MAP) => {
            fields.read(reader)?;
            Ok(true)
        }
        (2, STRING) => {
            body = reader.string()?;
            Ok(true)
        }
        _ => Ok(false),
    })?;
    Ok(match fields.request(body, active, pool) {
        Ok(request) => DecodedMessage::Request { sequence, request: Box::new(request) },
        Err(invalid) => DecodedMessage::Invalid { sequence, invalid },
    })
}

/// Decodes the arguments of `cancel(1: i32 sequence)`.
fn decode_cancel(reader: &mut WireReader<'_>) -> Result<DecodedMessage, MalformedFrame> {
    let mut canceled = None;
    reader.each_field(|reader, id, field_type| match (id, field_type) {
        (1, I32) => {
            canceled = Some(reader.i32()?);
            Ok(true)
        }
        _ => Ok(false),
    })?;
    Ok(match canceled {
        Some(sequence) => DecodedMessage::Cancel { sequence },
        None => DecodedMessage::Unsupported,
    })
}

fn skip_arguments(reader: &mut WireReader<'_>) -> Result<(), MalformedFrame> {
    reader.each_field(|_, _, _| Ok(false))
}

/// Encodes a response as a frame, with the capacity hint if there is one; `None` if it doesn't fit into a buffer.
pub fn encode(
    sequence: SequenceId,
    response: &Response,
    capacity_hint: Option<f64>,
    pool: &Arc<BufferPool>,
) -> Option<Buffer> {
    let mut fields: Vec<(&str, String)> =
        capacity_hint.map(|hint| ("hint", hint.to_string())).into_iter().collect();
    let reply = |name| WireWriter::message(pool, REPLY, name, sequence);
    match response {
        Response::Served(result) => encode_result(reply("call"), result, &fields, true),
        Response::Health { healthy, store } => {
            fields.extend(store.map(|state| ("store", state.to_string())));
            encode_result(reply("health"), b"", &fields, *healthy)
        }
        Response::Rejected { retry_after, no_failover } => {
            if retry_after.0 > 0 {
                fields.push(("backoff", retry_after.0.div_ceil(1_000_000).to_string()));
            }
            if *no_failover {
                fields.push(("final", "1".to_string()));
            }
            encode_exception(reply("call"), 1, &fields)
        }
        Response::Failed { .. } => encode_exception(reply("call"), 2, &fields),
        Response::OutcomeUnknown => {
            fields.push(("why", UNKNOWN_OUTCOME_TEXT.to_string()));
            encode_exception(reply("call"), 2, &fields)
        }
        Response::Invalid { error, text } => encode_application_exception(sequence, *error, text, pool),
    }
}

/// Encodes a result: `0: struct { 1: binary body, 2: map<string, string> fields, 3: bool good }`.
fn encode_result(
    mut writer: WireWriter,
    body: &[u8],
    fields: &[(&str, String)],
    good: bool,
) -> Option<Buffer> {
    writer.field(STRUCT, 0);
    writer.field(STRING, 1);
    writer.string(body);
    writer.map(2, fields);
    writer.field(BOOL, 3);
    writer.put(&[u8::from(good)]);
    writer.stop();
    writer.finish()
}

/// Encodes a declared exception: a struct whose only field is a map.
fn encode_exception(mut writer: WireWriter, id: i16, fields: &[(&str, String)]) -> Option<Buffer> {
    writer.field(STRUCT, id);
    writer.map(1, fields);
    writer.stop();
    writer.finish()
}

/// Encodes Thrift's application exception, for a message that is no valid request.
fn encode_application_exception(
    sequence: SequenceId,
    error: RequestError,
    text: &str,
    pool: &Arc<BufferPool>,
) -> Option<Buffer> {
    let mut writer = WireWriter::message(pool, EXCEPTION, "call", sequence);
    writer.field(STRING, 1);
    writer.string(text.as_bytes());
    writer.field(I32, 2);
    let exception_type = if error == RequestError::NotFound { UNKNOWN_METHOD } else { PROTOCOL_ERROR };
    writer.put(&exception_type.to_be_bytes());
    writer.finish()
}

/// Encodes the one-way message that asks a peer to send no more requests on its connection.
pub fn drain_request(pool: &Arc<BufferPool>) -> Option<Buffer> {
    WireWriter::message(pool, ONEWAY, "draining", 0).finish()
}

#[cfg(test)]
mod tests;
