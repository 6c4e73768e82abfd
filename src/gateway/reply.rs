//! Answers on their way back to a caller.

use std::pin::{Pin, pin};
use std::time::Duration;

use http::HeaderValue;
use monoio::time;

use super::Gate;
use super::answer::{Answer, Held, Rest};
use crate::web::race::{self, Either};
use crate::web::wire::{BodyReader, Piece, Wire};

/// Bytes that are read ahead while requests are under way.
pub(super) const AHEAD_BYTES: usize = 64 << 10;

/// Longest time to write an answer to a caller that takes nothing.
const WRITE_TIMEOUT: Duration = Duration::from_secs(10);

/// Longest time to read on after the last answer, so that it is not lost to a reset.
const LINGER: Duration = Duration::from_millis(500);

/// An answer under way, and what the caller needs to know it by.
pub(super) struct Reply {
    pub(super) answer: Answer,
    pub(super) id: Option<HeaderValue>,
    pub(super) close: bool,
}

/// What to do with the connection.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(super) enum Then {
    GoOn,
    End,
}

/// Waits for work on behalf of a caller; `None` once the caller has left.
pub(super) async fn until_left<F>(wire: &mut Wire, mut work: Pin<&mut F>) -> Option<F::Output>
where
    F: Future,
{
    loop {
        if wire.waiting() >= AHEAD_BYTES {
            return Some(work.await);
        }
        match race::race(work.as_mut(), pin!(wire.fill())).await {
            Either::First(output) => return Some(output),
            Either::Second(Ok(length)) if length > 0 => {}
            Either::Second(_) => return None,
        }
    }
}

/// Writes an answer; the last one of a connection whose VM stops closes it.
pub(super) async fn write(gate: &Gate, wire: &mut Wire, reply: Reply, last: bool) -> Then {
    let close = reply.close || (last && gate.stop.is_stopping());
    let (bytes, rest) = match reply.answer {
        Answer::Own(own) => {
            let id = reply.id.as_ref().map(|id| (&gate.names.request_id, id));
            (own.encode(id, close), None)
        }
        Answer::Theirs(response) => {
            let bytes = response.encode(close);
            let rest = match response.body {
                Held::Rest(rest) => Some(rest),
                Held::None(_) | Held::Whole(_) => None,
            };
            (bytes, rest)
        }
    };
    if !put(wire, bytes).await {
        return Then::End;
    }
    if let Some(rest) = rest
        && !Box::pin(pass(wire, *rest)).await
    {
        return Then::End;
    }
    if close {
        end(wire).await;
        return Then::End;
    }
    Then::GoOn
}

/// Passes the rest of a body on; false if it did not come to its end.
async fn pass(wire: &mut Wire, mut rest: Rest) -> bool {
    loop {
        let mut bytes = Vec::new();
        match rest.wire.piece(&mut rest.reader) {
            Ok(Piece::Data(data)) => {
                rest.put(&mut bytes, &data);
                if !put(wire, bytes).await {
                    return false;
                }
            }
            Ok(Piece::End) => {
                rest.put_end(&mut bytes);
                return put(wire, bytes).await;
            }
            Ok(Piece::More) => {
                let ends = rest.reader == BodyReader::UntilEnd;
                let filled = {
                    let mut fill = pin!(rest.wire.fill());
                    until_left(wire, fill.as_mut()).await
                };
                match filled {
                    Some(Ok(0)) if ends => rest.reader = BodyReader::Done,
                    Some(Ok(length)) if length > 0 => {}
                    Some(_) | None => return false,
                }
            }
            Err(_) => return false,
        }
    }
}

async fn put(wire: &mut Wire, bytes: Vec<u8>) -> bool {
    matches!(
        time::timeout(WRITE_TIMEOUT, wire.write(bytes)).await,
        Ok(Ok(()))
    )
}

/// Ends a connection so that the last answer arrives.
pub(super) async fn end(wire: &mut Wire) {
    if wire.shutdown().await.is_ok() {
        wire.linger(LINGER).await;
    }
}
