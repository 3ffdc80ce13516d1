//! Buffers of one size that are used again: for reading, for bodies, for results and for frames to be written. A buffer goes
//! back to its pool when it is dropped.

use std::ops::Deref;
use std::sync::{Arc, Mutex, PoisonError};

/// Size of a buffer: the largest result (4 KiB) with the message around it.
pub const BUFFER_BYTES: usize = 4608;

/// The free buffers.
#[derive(Debug)]
pub struct BufferPool {
    free: Mutex<Vec<Box<[u8]>>>,
    max_free: usize,
}

impl BufferPool {
    /// A pool that keeps at most so many free buffers.
    pub fn new(max_free: usize) -> Arc<Self> {
        Arc::new(Self { free: Mutex::default(), max_free })
    }

    /// An empty buffer.
    pub fn take(self: &Arc<Self>) -> Buffer {
        let free = self.free.lock().unwrap_or_else(PoisonError::into_inner).pop();
        let bytes = free.unwrap_or_else(|| vec![0; BUFFER_BYTES].into_boxed_slice());
        Buffer { bytes, len: 0, pool: Arc::clone(self) }
    }

    /// A buffer of just these bytes, for what is retained for long; it never enters the pool. None if they are more than
    /// [`BUFFER_BYTES`]. Guards against large buffers that hold small contents until the memory limit is reached.
    pub fn exact(self: &Arc<Self>, bytes: &[u8]) -> Option<Buffer> {
        let copy = (bytes.len() <= BUFFER_BYTES).then(|| bytes.to_vec().into_boxed_slice())?;
        Some(Buffer { len: copy.len(), bytes: copy, pool: Arc::clone(self) })
    }

    /// A buffer with a copy of the bytes; none if they are more than [`BUFFER_BYTES`].
    pub fn copy(self: &Arc<Self>, bytes: &[u8]) -> Option<Buffer> {
        let mut buffer = self.take();
        buffer.extend(bytes).then_some(buffer)
    }
}

/// A buffer of a pool, to which it goes back when it is dropped.
#[derive(Debug)]
pub struct Buffer {
    bytes: Box<[u8]>,
    len: usize,
    pool: Arc<BufferPool>,
}

impl Buffer {
    /// A copy of just its bytes, for what is retained for long.
    pub fn exact(&self) -> Buffer {
        let bytes: Box<[u8]> = Box::from(&**self);
        Buffer { len: bytes.len(), bytes, pool: Arc::clone(&self.pool) }
    }

    /// Appends the bytes; if they don't fit, appends nothing and returns false.
    pub fn extend(&mut self, bytes: &[u8]) -> bool {
        let end = self.len + bytes.len();
        let fits = end <= self.bytes.len();
        if fits {
            self.bytes[self.len..end].copy_from_slice(bytes);
            self.len = end;
        }
        fits
    }

    /// The unused part, to read into; [`Buffer::filled`] then says how much of it was used.
    pub fn space(&mut self) -> &mut [u8] {
        &mut self.bytes[self.len..]
    }

    /// Counts bytes that were put into [`Buffer::space`].
    pub fn filled(&mut self, bytes: usize) {
        self.len = (self.len + bytes).min(self.bytes.len());
    }

    /// Takes bytes off the front.
    pub fn consume(&mut self, bytes: usize) {
        let bytes = bytes.min(self.len);
        self.bytes.copy_within(bytes..self.len, 0);
        self.len -= bytes;
    }

    /// Overwrites bytes from `at` on. Panics if they don't lie within those that are in use.
    pub fn patch(&mut self, at: usize, bytes: &[u8]) {
        self.bytes[..self.len][at..at + bytes.len()].copy_from_slice(bytes);
    }
}

impl Deref for Buffer {
    type Target = [u8];
    fn deref(&self) -> &[u8] {
        &self.bytes[..self.len]
    }
}

impl Drop for Buffer {
    fn drop(&mut self) {
        if self.bytes.len() != BUFFER_BYTES {
            return;
        }
        let mut free = self.pool.free.lock().unwrap_or_else(PoisonError::into_inner);
        if free.len() < self.pool.max_free {
            free.push(std::mem::take(&mut self.bytes));
        }
    }
}
