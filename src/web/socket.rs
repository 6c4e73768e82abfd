//! What the codecs give no way to do with a connection.

use std::io;
use std::net::SocketAddr;
use std::os::fd::RawFd;
use std::time::Duration;

/// What the other end has done so far.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SocketState {
    /// Open, and nothing is waiting to be read.
    Idle,
    /// Bytes are waiting.
    Readable,
    /// Closed or broken.
    Closed,
}

/// Looks at the connection of `fd`.
pub fn state(fd: RawFd) -> SocketState {
    let mut byte = 0u8;
    // SAFETY: the pointer is to one writable byte, and the length is one.
    let read = unsafe {
        libc::recv(
            fd,
            (&raw mut byte).cast(),
            1,
            libc::MSG_PEEK | libc::MSG_DONTWAIT,
        )
    };
    match read {
        0 => SocketState::Closed,
        1.. => SocketState::Readable,
        _ if would_block() => SocketState::Idle,
        _ => SocketState::Closed,
    }
}

/// Has the connection of `fd` broken once sent bytes stay unacknowledged for `silent`.
///
/// # Errors
///
/// The system's error.
pub fn set_ack_timeout(fd: RawFd, silent: Duration) -> io::Result<()> {
    let millis = libc::c_uint::try_from(silent.as_millis()).unwrap_or(libc::c_uint::MAX);
    let length = libc::socklen_t::try_from(size_of_val(&millis)).map_err(io::Error::other)?;
    // SAFETY: the pointer and the length are those of a live integer.
    let set = unsafe {
        libc::setsockopt(
            fd,
            libc::IPPROTO_TCP,
            libc::TCP_USER_TIMEOUT,
            (&raw const millis).cast(),
            length,
        )
    };
    match set {
        0 => Ok(()),
        _ => Err(io::Error::last_os_error()),
    }
}

/// Tells a caller that waits for it to go on and send the body.
///
/// The socket's buffer is empty at this point; should the few bytes not fit,
/// the caller goes on by itself after a while.
pub(super) fn send_continue(fd: RawFd) {
    const CONTINUE: &[u8] = b"HTTP/1.1 100 Continue\r\n\r\n";
    // SAFETY: pointer and length are those of a constant slice.
    unsafe {
        libc::send(
            fd,
            CONTINUE.as_ptr().cast(),
            CONTINUE.len(),
            libc::MSG_DONTWAIT | libc::MSG_NOSIGNAL,
        );
    }
}

fn would_block() -> bool {
    io::Error::last_os_error().kind() == io::ErrorKind::WouldBlock
}

/// The other end of a request's connection, among the request's extensions.
///
/// Means something only while the request is being answered.
#[derive(Clone, Copy, Debug)]
pub struct Caller {
    /// Address of the other end.
    pub address: Option<SocketAddr>,
    pub(super) fd: RawFd,
}

impl Caller {
    /// Whether the other end has closed the connection.
    pub fn is_disconnected(&self) -> bool {
        state(self.fd) == SocketState::Closed
    }
}
