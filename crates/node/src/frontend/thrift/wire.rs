//! Thrift's strict binary protocol in framed transport: a reader and a writer of values.

use crate::frontend::protocol::MalformedFrame;
use gradepin_core::buffer_pool::{Buffer, BufferPool};
use gradepin_core::messages::SequenceId;
use std::sync::Arc;

/// Version word of the strict binary protocol; its low byte is the message kind.
pub(super) const VERSION: u32 = 0x8001_0000;
/// Maximum nesting of values; deeper nesting could overflow the stack of the reading thread.
pub(super) const MAX_NESTING: usize = 16;

/// Message kind: a call that gets a reply.
pub(super) const CALL: u8 = 1;
/// Message kind: the reply to a call, with a result or a declared exception.
pub(super) const REPLY: u8 = 2;
/// Message kind: an application exception in place of a reply.
pub(super) const EXCEPTION: u8 = 3;
/// Message kind: a call that gets no reply.
pub(super) const ONEWAY: u8 = 4;

/// Marks the end of the fields of a struct.
const STOP: u8 = 0;
/// Value type: one byte, 0 or 1.
pub(super) const BOOL: u8 = 2;
const BYTE: u8 = 3;
const DOUBLE: u8 = 4;
const I16: u8 = 6;
/// Value type: four bytes, big-endian.
pub(super) const I32: u8 = 8;
const I64: u8 = 10;
/// Value type: a length and that number of bytes, text or binary.
pub(super) const STRING: u8 = 11;
/// Value type: fields with type and id, terminated by a stop byte.
pub(super) const STRUCT: u8 = 12;
/// Value type: types of key and value, a count, and the entries.
pub(super) const MAP: u8 = 13;
const SET: u8 = 14;
const LIST: u8 = 15;

const TRUNCATED: MalformedFrame = MalformedFrame("a message cut short");

/// Reads values from the start of a frame. Each read fails if the frame is too short for its value.
pub(super) struct WireReader<'a>(pub(super) &'a [u8]);

impl<'a> WireReader<'a> {
    fn bytes(&mut self, count: usize) -> Result<&'a [u8], MalformedFrame> {
        let (taken, rest) = self.0.split_at_checked(count).ok_or(TRUNCATED)?;
        self.0 = rest;
        Ok(taken)
    }

    fn array<const N: usize>(&mut self) -> Result<[u8; N], MalformedFrame> {
        self.bytes(N)?.try_into().map_err(|_| TRUNCATED)
    }

    /// Reads one byte.
    pub(super) fn u8(&mut self) -> Result<u8, MalformedFrame> {
        self.array::<1>().map(|[byte]| byte)
    }

    /// Reads four bytes, big-endian.
    pub(super) fn u32(&mut self) -> Result<u32, MalformedFrame> {
        self.array().map(u32::from_be_bytes)
    }

    /// Reads four bytes, big-endian, signed.
    pub(super) fn i32(&mut self) -> Result<i32, MalformedFrame> {
        self.array().map(i32::from_be_bytes)
    }

    /// Reads the number of elements of a container or bytes of a string. Fails if it exceeds the remaining bytes, since
    /// each element has at least one byte.
    pub(super) fn count(&mut self) -> Result<usize, MalformedFrame> {
        let count = usize::try_from(self.i32()?).map_err(|_| MalformedFrame("a negative length"))?;
        if count > self.0.len() { Err(TRUNCATED) } else { Ok(count) }
    }

    /// Reads a length and that number of bytes.
    pub(super) fn string(&mut self) -> Result<&'a [u8], MalformedFrame> {
        let length = self.count()?;
        self.bytes(length)
    }

    /// Calls `visit` with the id and type of each field of a struct. It returns whether it read the value, which is
    /// skipped otherwise.
    pub(super) fn each_field<F>(&mut self, mut visit: F) -> Result<(), MalformedFrame>
    where
        F: FnMut(&mut Self, i16, u8) -> Result<bool, MalformedFrame>,
    {
        loop {
            let field_type = self.u8()?;
            if field_type == STOP {
                return Ok(());
            }
            let id = self.array().map(i16::from_be_bytes)?;
            if !visit(self, id, field_type)? {
                self.skip(field_type, MAX_NESTING)?;
            }
        }
    }

    /// Skips a value with at most `max_nesting` levels of nesting.
    fn skip(&mut self, value_type: u8, max_nesting: usize) -> Result<(), MalformedFrame> {
        let max_nesting = max_nesting.checked_sub(1).ok_or(MalformedFrame("a message nested too deeply"))?;
        match value_type {
            BOOL | BYTE => self.bytes(1).map(drop),
            I16 => self.bytes(2).map(drop),
            I32 => self.bytes(4).map(drop),
            DOUBLE | I64 => self.bytes(8).map(drop),
            STRING => self.string().map(drop),
            STRUCT => loop {
                let field_type = self.u8()?;
                if field_type == STOP {
                    return Ok(());
                }
                self.bytes(2)?;
                self.skip(field_type, max_nesting)?;
            },
            MAP => {
                let (key_type, value_type, count) = (self.u8()?, self.u8()?, self.count()?);
                for _ in 0..count {
                    self.skip(key_type, max_nesting)?;
                    self.skip(value_type, max_nesting)?;
                }
                Ok(())
            }
            SET | LIST => {
                let (element_type, count) = (self.u8()?, self.count()?);
                (0..count).try_for_each(|_| self.skip(element_type, max_nesting))
            }
            _ => Err(MalformedFrame("a value of an unknown type")),
        }
    }
}

/// Writes one message as a frame into a pooled buffer. [`Self::finish`] reports whether it fitted.
pub(super) struct WireWriter {
    buffer: Buffer,
    fits: bool,
}

impl WireWriter {
    /// Starts a message.
    pub(super) fn message(pool: &Arc<BufferPool>, kind: u8, name: &str, sequence: SequenceId) -> Self {
        let mut writer = Self { buffer: pool.take(), fits: true };
        // Reserves space for the length of the frame.
        writer.put(&[0; 4]);
        writer.put(&(VERSION | u32::from(kind)).to_be_bytes());
        writer.string(name.as_bytes());
        writer.put(&sequence.to_be_bytes());
        writer
    }

    /// Writes bytes as they are.
    pub(super) fn put(&mut self, bytes: &[u8]) {
        self.fits &= self.buffer.extend(bytes);
    }

    /// Writes a length and the bytes.
    pub(super) fn string(&mut self, bytes: &[u8]) {
        self.put(&i32::try_from(bytes.len()).unwrap_or(i32::MAX).to_be_bytes());
        self.put(bytes);
    }

    /// Starts a field of a struct; the caller writes its value next.
    pub(super) fn field(&mut self, field_type: u8, id: i16) {
        self.put(&[field_type]);
        self.put(&id.to_be_bytes());
    }

    /// Writes a field that is a map from strings to strings.
    pub(super) fn map(&mut self, id: i16, entries: &[(&str, String)]) {
        self.field(MAP, id);
        self.put(&[STRING, STRING]);
        self.put(&i32::try_from(entries.len()).unwrap_or(0).to_be_bytes());
        for (name, value) in entries {
            self.string(name.as_bytes());
            self.string(value.as_bytes());
        }
    }

    /// Ends a struct within the message.
    pub(super) fn stop(&mut self) {
        self.put(&[STOP]);
    }

    /// Ends the message; `None` if it didn't fit into the buffer.
    pub(super) fn finish(mut self) -> Option<Buffer> {
        self.stop();
        let length = u32::try_from(self.buffer.len().saturating_sub(4)).ok()?;
        self.buffer.patch(0, &length.to_be_bytes());
        self.fits.then_some(self.buffer)
    }
}
