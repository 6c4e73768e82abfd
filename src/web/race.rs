//! Waits for the first of two futures.

use std::future;
use std::pin::Pin;
use std::task::Poll;

/// Output of the future that completed first.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Either<A, B> {
    /// Output of the first future; also if both are complete.
    First(A),
    /// Output of the second future.
    Second(B),
}

/// Waits for the first of two futures to complete; the other one can be polled further.
pub async fn race<A, B>(
    mut first: Pin<&mut A>,
    mut second: Pin<&mut B>,
) -> Either<A::Output, B::Output>
where
    A: Future,
    B: Future,
{
    future::poll_fn(|cx| match first.as_mut().poll(cx) {
        Poll::Ready(output) => Poll::Ready(Either::First(output)),
        Poll::Pending => second.as_mut().poll(cx).map(Either::Second),
    })
    .await
}
