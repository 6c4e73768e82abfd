//! Writing of responses to caller connections.

use std::pin::{Pin, pin};
use std::time::Duration;

use http::HeaderValue;
use monoio::time;

use super::Gateway;
use super::response::{Response, ResponseBody, StreamingBody};
use crate::clock;
use crate::web::connection::{BodyEvent, BodyReader, HttpConnection};
use crate::web::race::{self, Either};

/// Limit of bytes read ahead while requests are in flight.
pub(super) const READ_AHEAD_BYTES: usize = 64 << 10;

/// Timeout of one write to a caller that reads nothing.
const WRITE_TIMEOUT: Duration = Duration::from_secs(10);

/// Time to read on after the last response, so that a connection reset doesn't discard it.
const LINGER_TIMEOUT: Duration = Duration::from_millis(500);

/// Response to one request of a connection.
pub(super) struct CallerResponse {
    pub(super) response: Response,
    pub(super) request_id: Option<HeaderValue>,
    /// Whether the method of the request is `HEAD`.
    pub(super) is_head: bool,
    pub(super) close: bool,
}

/// What happens to the connection after a response.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(super) enum ConnectionAction {
    KeepOpen,
    Close,
}

/// Runs work for a caller; `None` if the caller disconnects first.
pub(super) async fn until_disconnected<F>(
    connection: &mut HttpConnection,
    mut work: Pin<&mut F>,
) -> Option<F::Output>
where
    F: Future,
{
    loop {
        if connection.buffered_bytes() >= READ_AHEAD_BYTES {
            return Some(work.await);
        }
        match race::race(work.as_mut(), pin!(connection.fill())).await {
            Either::First(output) => return Some(output),
            Either::Second(Ok(length)) if length > 0 => {}
            Either::Second(_) => return None,
        }
    }
}

/// Writes a response; on shutdown, the last one of a connection closes it.
pub(super) async fn write(
    gateway: &Gateway,
    connection: &mut HttpConnection,
    caller_response: CallerResponse,
    is_last: bool,
) -> ConnectionAction {
    let close = caller_response.close || (is_last && gateway.stop.is_stopping());
    let (bytes, streaming) = match caller_response.response {
        Response::Local(local) => {
            let id = caller_response
                .request_id
                .as_ref()
                .map(|id| (&gateway.header_names.request_id, id));
            (local.encode(id, caller_response.is_head, close), None)
        }
        Response::Backend(backend) => {
            let bytes = backend.encode(close);
            let streaming = match backend.body {
                ResponseBody::Streaming(streaming) => Some(streaming),
                ResponseBody::Empty(_) | ResponseBody::Complete(_) => None,
            };
            (bytes, streaming)
        }
    };
    if !write_with_timeout(connection, bytes).await {
        return ConnectionAction::Close;
    }
    if let Some(streaming) = streaming {
        let left = streaming.deadline.saturating_duration_since(clock::now());
        let body = Box::pin(stream_body(connection, *streaming));
        if !matches!(time::timeout(left, body).await, Ok(true)) {
            return ConnectionAction::Close;
        }
    }
    if close {
        close_gracefully(connection).await;
        return ConnectionAction::Close;
    }
    ConnectionAction::KeepOpen
}

/// Forwards the rest of a body; false if its end was not reached.
async fn stream_body(connection: &mut HttpConnection, mut streaming: StreamingBody) -> bool {
    // Small chunks are written together.
    let mut bytes = Vec::new();
    loop {
        match streaming.connection.next_body_event(&mut streaming.reader) {
            Ok(BodyEvent::Data(data)) => streaming.write_data(&mut bytes, &data),
            Ok(BodyEvent::End) => {
                streaming.write_end(&mut bytes);
                return write_with_timeout(connection, bytes).await;
            }
            Ok(BodyEvent::NeedMore) if !bytes.is_empty() => {
                if !write_with_timeout(connection, std::mem::take(&mut bytes)).await {
                    return false;
                }
            }
            Ok(BodyEvent::NeedMore) => {
                let ends_with_connection = streaming.reader == BodyReader::UntilEnd;
                let filled = {
                    let mut fill = pin!(streaming.connection.fill());
                    until_disconnected(connection, fill.as_mut()).await
                };
                match filled {
                    Some(Ok(0)) if ends_with_connection => streaming.reader = BodyReader::Done,
                    Some(Ok(length)) if length > 0 => {}
                    Some(_) | None => return false,
                }
            }
            Err(_) => {
                // What came before the error is part of the response.
                write_with_timeout(connection, bytes).await;
                return false;
            }
        }
    }
}

async fn write_with_timeout(connection: &mut HttpConnection, bytes: Vec<u8>) -> bool {
    matches!(
        time::timeout(WRITE_TIMEOUT, connection.write(bytes)).await,
        Ok(Ok(()))
    )
}

/// Closes a connection so that the last response still arrives.
pub(super) async fn close_gracefully(connection: &mut HttpConnection) {
    if connection.shutdown().await.is_ok() {
        connection.linger(LINGER_TIMEOUT).await;
    }
}
