//! Socket operations that the codecs do not offer.

use std::io;
use std::net::SocketAddr;
use std::os::fd::RawFd;
use std::time::Duration;

/// Receiving side of a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SocketState {
    /// Open, and there is nothing to read.
    Idle,
    /// There are bytes to read.
    Readable,
    /// Closed by the other end, or failed.
    Closed,
}

/// State of the connection of `fd`; reads no byte from it.
pub fn state(fd: RawFd) -> SocketState {
    let mut byte = 0u8;
    // SAFETY: the pointer is to one writable byte, and the length is one.
    let received = unsafe {
        libc::recv(
            fd,
            (&raw mut byte).cast(),
            1,
            libc::MSG_PEEK | libc::MSG_DONTWAIT,
        )
    };
    match received {
        0 => SocketState::Closed,
        1.. => SocketState::Readable,
        _ if last_error_is_would_block() => SocketState::Idle,
        _ => SocketState::Closed,
    }
}

/// Whether a connection of the listener `fd` waits to be accepted; true also if that is unknown.
pub(super) fn has_connection(fd: RawFd) -> bool {
    let mut listener = libc::pollfd {
        fd,
        events: libc::POLLIN,
        revents: 0,
    };
    // SAFETY: the pointer is to one live structure, and the length is one.
    unsafe { libc::poll(&raw mut listener, 1, 0) != 0 }
}

/// Makes the connection of `fd` fail once sent bytes have stayed unacknowledged for `timeout`.
///
/// # Errors
///
/// The error of the operating system.
pub fn set_ack_timeout(fd: RawFd, timeout: Duration) -> io::Result<()> {
    let millis = libc::c_uint::try_from(timeout.as_millis()).unwrap_or(libc::c_uint::MAX);
    let length = libc::socklen_t::try_from(size_of_val(&millis)).map_err(io::Error::other)?;
    // SAFETY: the pointer and the length are those of a live integer.
    let result = unsafe {
        libc::setsockopt(
            fd,
            libc::IPPROTO_TCP,
            libc::TCP_USER_TIMEOUT,
            (&raw const millis).cast(),
            length,
        )
    };
    match result {
        0 => Ok(()),
        _ => Err(io::Error::last_os_error()),
    }
}

/// Makes closing the connection of `fd` reset it.
///
/// # Errors
///
/// The error of the operating system.
pub fn set_reset_on_close(fd: RawFd) -> io::Result<()> {
    let linger = libc::linger {
        l_onoff: 1,
        l_linger: 0,
    };
    let length = libc::socklen_t::try_from(size_of_val(&linger)).map_err(io::Error::other)?;
    // SAFETY: the pointer and the length are those of a live structure.
    let result = unsafe {
        libc::setsockopt(
            fd,
            libc::SOL_SOCKET,
            libc::SO_LINGER,
            (&raw const linger).cast(),
            length,
        )
    };
    match result {
        0 => Ok(()),
        _ => Err(io::Error::last_os_error()),
    }
}

/// Sends the interim response for which the caller waits before it sends the body.
///
/// The send buffer is empty at this point. Should the few bytes not fit after
/// all, the caller sends the body anyway after a timeout of its own.
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

fn last_error_is_would_block() -> bool {
    io::Error::last_os_error().kind() == io::ErrorKind::WouldBlock
}

/// Caller at the other end of a connection, in the extensions of its request.
///
/// Valid only until the response to the request is written.
#[derive(Clone, Copy, Debug)]
pub struct Caller {
    /// Address of the caller.
    pub address: Option<SocketAddr>,
    pub(super) fd: RawFd,
}

impl Caller {
    /// Whether the caller has closed the connection.
    pub fn is_disconnected(&self) -> bool {
        state(self.fd) == SocketState::Closed
    }
}
