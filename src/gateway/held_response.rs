//! Long responses that are held back while the caller waits for others behind them.
//!
//! A long response is sent while it arrives. If it breaks off, its connection has to end, and the
//! requests behind it that were passed on get no response. So while there are such requests, the
//! response is read to its end first, and one that breaks off is replaced by an error. The memory for
//! this is limited; beyond the limit, a response is sent while it arrives after all.

use std::cell::Cell;
use std::rc::Rc;

use bytes::{Bytes, BytesMut};
use http::StatusCode;
use monoio::time;

use super::response::{LocalResponse, Response, ResponseBody, StreamingBody};
use crate::clock;
use crate::web::connection::{BodyEvent, BodyReader};

/// Longest part of a response that is held back.
pub(super) const MAX_HELD_BYTES: usize = 1 << 20;

/// Limit of all parts that a VM holds back at a time.
const MAX_TOTAL_BYTES: usize = 16 << 20;

/// Memory for responses that are held back.
#[derive(Clone, Debug, Default)]
pub struct HeldBytes(Rc<Cell<usize>>);

/// Memory for one response; returned when dropped.
#[derive(Debug)]
pub(super) struct Reservation(HeldBytes);

impl HeldBytes {
    fn reserve(&self) -> Option<Reservation> {
        let reserved = self.0.get() + MAX_HELD_BYTES;
        (reserved <= MAX_TOTAL_BYTES).then(|| {
            self.0.set(reserved);
            Reservation(self.clone())
        })
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        let HeldBytes(reserved) = &self.0;
        reserved.set(reserved.get().saturating_sub(MAX_HELD_BYTES));
    }
}

/// What was read of a body.
enum Body {
    Complete(Bytes),
    /// The limit was reached before the end; what was read is buffered.
    Partial,
    BrokenOff,
}

/// Reads a response that is sent while it arrives to its end, as far as the memory allows.
///
/// The reservation is for the time until the response is written.
pub(super) async fn hold_back(
    memory: &HeldBytes,
    response: Response,
) -> (Response, Option<Reservation>) {
    let reservation = match &response {
        Response::Backend(backend) if backend.is_streamed() => memory.reserve(),
        Response::Backend(_) | Response::Local(_) => None,
    };
    let mut backend = match response {
        Response::Backend(backend) if reservation.is_some() => backend,
        other => return (other, None),
    };
    match complete(&mut backend.body).await {
        Ok(()) => (Response::Backend(backend), reservation),
        Err(failure) => {
            log::info!(
                "event=gateway.held_failed status={} reason={:?}",
                failure.status.as_u16(),
                failure.reason,
            );
            (Response::Local(failure), None)
        }
    }
}

/// Completes a body; `Err` is the response in place of one that breaks off or takes too long.
async fn complete(body: &mut ResponseBody) -> Result<(), LocalResponse> {
    let ResponseBody::Streaming(streaming) = body else {
        return Ok(());
    };
    let left = streaming.deadline.saturating_duration_since(clock::now());
    match time::timeout(left, read_body(streaming)).await {
        Ok(Body::Complete(bytes)) => *body = ResponseBody::Complete(bytes),
        Ok(Body::Partial) => {}
        Ok(Body::BrokenOff) => {
            return Err(LocalResponse::new(
                StatusCode::BAD_GATEWAY,
                "no whole answer",
            ));
        }
        Err(_) => {
            return Err(LocalResponse::new(
                StatusCode::GATEWAY_TIMEOUT,
                "no answer in time",
            ));
        }
    }
    Ok(())
}

async fn read_body(streaming: &mut StreamingBody) -> Body {
    let mut buffered = BytesMut::from(&streaming.buffered[..]);
    loop {
        match streaming.connection.next_body_event(&mut streaming.reader) {
            Ok(BodyEvent::Data(data)) => buffered.extend_from_slice(&data),
            Ok(BodyEvent::End) => return Body::Complete(buffered.freeze()),
            Ok(BodyEvent::NeedMore) if buffered.len() >= MAX_HELD_BYTES => {
                streaming.buffered = buffered.freeze();
                return Body::Partial;
            }
            Ok(BodyEvent::NeedMore) => {
                let ends_with_connection = streaming.reader == BodyReader::UntilEnd;
                match streaming.connection.fill().await {
                    Ok(0) if ends_with_connection => streaming.reader = BodyReader::Done,
                    Ok(length) if length > 0 => {}
                    Ok(_) | Err(_) => return Body::BrokenOff,
                }
            }
            Err(_) => return Body::BrokenOff,
        }
    }
}
