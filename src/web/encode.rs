//! Body source and output buffer for the encoder of `monoio-http`.

use std::cell::RefCell;
use std::convert::Infallible;
use std::io;
use std::rc::Rc;

use bytes::Bytes;
use monoio::BufResult;
use monoio::buf::{IoBuf, IoVecBuf};
use monoio::io::AsyncWriteRent;
use monoio_http::common::body::{Body, StreamHint};

/// A reused buffer is shrunk to this capacity.
const REUSED_CAPACITY_BYTES: usize = 64 << 10;

/// A body that is in memory as a whole.
#[derive(Debug)]
pub struct FullBody(Option<Bytes>);

impl FullBody {
    /// Creates a body; no body if `bytes` is empty.
    pub fn new(bytes: Bytes) -> Self {
        Self(Some(bytes).filter(|b| !b.is_empty()))
    }
}

impl Body for FullBody {
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

/// Collects what an encoder writes, so that a request can still be cancelled
/// between encoding and its first byte on the network; clones share the bytes.
#[derive(Clone, Debug, Default)]
pub(super) struct EncodeBuffer(Rc<RefCell<Vec<u8>>>);

impl EncodeBuffer {
    /// Removes and returns the bytes.
    pub(super) fn take(&self) -> Vec<u8> {
        self.0.take()
    }

    /// Returns a buffer for reuse.
    pub(super) fn recycle(&self, mut buffer: Vec<u8>) {
        buffer.clear();
        buffer.shrink_to(REUSED_CAPACITY_BYTES);
        self.0.replace(buffer);
    }
}

impl AsyncWriteRent for EncodeBuffer {
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
