//! Proof that a process has ended: its machine refuses connections to its address.
//!
//! Silence proves nothing, since a cut looks the same. A refusal comes from a
//! machine that is up and reachable, and on which nobody listens any more.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use monoio::net::TcpStream;
use monoio::time;

/// Longest wait for a connection, several round trips.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);

/// Refusals in a row that prove an end.
const REFUSALS: u32 = 2;

/// Time between two probes.
const PAUSE: Duration = Duration::from_millis(200);

/// Whether the process at an address has ended; false also when that can't be told.
pub async fn has_ended(address: SocketAddr) -> bool {
    for _ in 0..REFUSALS {
        let refused = is_refused(address).await;
        time::sleep(PAUSE).await;
        if !refused {
            return false;
        }
    }
    true
}

async fn is_refused(address: SocketAddr) -> bool {
    let connect = TcpStream::connect_addr(address);
    match time::timeout(CONNECT_TIMEOUT, connect).await {
        Ok(Err(error)) => error.kind() == io::ErrorKind::ConnectionRefused,
        Ok(Ok(_)) | Err(_) => false,
    }
}
