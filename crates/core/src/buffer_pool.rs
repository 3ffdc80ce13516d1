//! A pool of buffers of one size, used for reading, request bodies, results and outgoing frames. A buffer returns to
//! its pool when it is dropped.

use std::ops::Deref;
use std::sync::{Arc, Mutex, PoisonError};

/// Size of a buffer in bytes: the largest result (4 KiB) with the message around it.
pub const BUFFER_BYTES: usize = 4608;

/// A pool of free buffers.
#[derive(Debug)]
pub struct BufferPool {
    free: Mutex<Vec<Box<[u8]>>>,
    max_free: usize,
}

impl BufferPool {
    /// Creates a pool that retains at most `max_free` free buffers.
    pub fn new(max_free: usize) -> Arc<Self> {
        Arc::new(Self { free: Mutex::default(), max_free })
    }

    /// Returns an empty buffer, from the pool if it has a free one.
    pub fn take(self: &Arc<Self>) -> Buffer {
        let free = self.free.lock().unwrap_or_else(PoisonError::into_inner).pop();
        let bytes = free.unwrap_or_else(|| vec![0; BUFFER_BYTES].into_boxed_slice());
        Buffer { bytes, len: 0, pool: Arc::clone(self) }
    }

    /// Copies the bytes into a buffer of exactly their size, for long retention; this buffer never enters the pool.
    /// Returns `None` for more than [`BUFFER_BYTES`]. Guards against large buffers that retain small contents until the
    /// memory limit is reached.
    pub fn exact(self: &Arc<Self>, bytes: &[u8]) -> Option<Buffer> {
        let copy = (bytes.len() <= BUFFER_BYTES).then(|| bytes.to_vec().into_boxed_slice())?;
        Some(Buffer { len: copy.len(), bytes: copy, pool: Arc::clone(self) })
    }

    /// Copies the bytes into a buffer of the pool. Returns `None` for more than [`BUFFER_BYTES`].
    pub fn copy(self: &Arc<Self>, bytes: &[u8]) -> Option<Buffer> {
        let mut buffer = self.take();
        buffer.extend(bytes).then_some(buffer)
    }
}

/// A buffer that returns to its pool when it is dropped.
#[derive(Debug)]
pub struct Buffer {
    bytes: Box<[u8]>,
    len: usize,
    pool: Arc<BufferPool>,
}

impl Buffer {
    /// Copies the content into a buffer of exactly its size, for long retention.
    pub fn exact(&self) -> Buffer {
        let bytes: Box<[u8]> = Box::from(&**self);
        Buffer { len: bytes.len(), bytes, pool: Arc::clone(&self.pool) }
    }

    /// Appends the bytes, or returns false and appends nothing if they don't fit.
    pub fn extend(&mut self, bytes: &[u8]) -> bool {
        let end = self.len + bytes.len();
        let fits = end <= self.bytes.len();
        if fits {
            self.bytes[self.len..end].copy_from_slice(bytes);
            self.len = end;
        }
        fits
    }

    /// Returns the unused part of the buffer, to read into. [`Buffer::filled`] must then be called with the number of
    /// bytes read.
    pub fn space(&mut self) -> &mut [u8] {
        &mut self.bytes[self.len..]
    }

    /// Extends the content by bytes that were written to [`Buffer::space`].
    pub fn filled(&mut self, bytes: usize) {
        self.len = (self.len + bytes).min(self.bytes.len());
    }

    /// Removes bytes from the front.
    pub fn consume(&mut self, bytes: usize) {
        let bytes = bytes.min(self.len);
        self.bytes.copy_within(bytes..self.len, 0);
        self.len -= bytes;
    }

    /// Overwrites bytes from offset `at` on. Panics if the range exceeds the content.
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
