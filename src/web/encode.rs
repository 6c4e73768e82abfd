//! What the encoder of `monoio-http` reads from and writes to.

use std::cell::RefCell;
use std::convert::Infallible;
use std::io;
use std::rc::Rc;

use bytes::Bytes;
use monoio::BufResult;
use monoio::buf::{IoBuf, IoVecBuf};
use monoio::io::AsyncWriteRent;
use monoio_http::common::body::{Body, StreamHint};

/// Capacity that a restored buffer keeps, in bytes.
const RESTORED_BYTES: usize = 64 << 10;

/// A body of known length.
#[derive(Debug)]
pub struct Whole(Option<Bytes>);

impl Whole {
    /// A body; empty bytes are none.
    pub fn new(bytes: Bytes) -> Self {
        Self(Some(bytes).filter(|b| !b.is_empty()))
    }
}

impl Body for Whole {
    type Data = Bytes;
    type Error = Infallible;

    async fn next_data(&mut self) -> Option<Result<Self::Data, Self::Error>> {
        self.0.take().map(Ok)
    }

    fn stream_hint(&self) -> StreamHint {
        match self.0 {
            Some(_) => StreamHint::Fixed,
            None => StreamHint::None,
        }
    }
}

/// Collects what an encoder writes, so that one look can come between encoding
/// and the first byte on the wire; clones share the bytes.
#[derive(Clone, Debug, Default)]
pub(super) struct Memory(Rc<RefCell<Vec<u8>>>);

impl Memory {
    /// Takes the bytes out.
    pub(super) fn take(&self) -> Vec<u8> {
        self.0.take()
    }

    /// Gives a buffer back, to be used again.
    pub(super) fn restore(&self, mut buffer: Vec<u8>) {
        buffer.clear();
        buffer.shrink_to(RESTORED_BYTES);
        self.0.replace(buffer);
    }
}

impl AsyncWriteRent for Memory {
    async fn write<T: IoBuf>(&mut self, buf: T) -> BufResult<usize, T> {
        // SAFETY: an `IoBuf` has `bytes_init` readable bytes at its pointer.
        let bytes = unsafe { std::slice::from_raw_parts(buf.read_ptr(), buf.bytes_init()) };
        let length = bytes.len();
        self.0.borrow_mut().extend_from_slice(bytes);
        (Ok(length), buf)
    }

    async fn writev<T: IoVecBuf>(&mut self, buf_vec: T) -> BufResult<usize, T> {
        (Err(io::ErrorKind::Unsupported.into()), buf_vec)
    }

    async fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }

    async fn shutdown(&mut self) -> io::Result<()> {
        Ok(())
    }
}
