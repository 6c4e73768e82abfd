//! Waits for the first of two futures.

use std::future;
use std::pin::Pin;
use std::task::Poll;

/// Which of two futures ended first.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Either<A, B> {
    /// The first one; also if both had ended.
    First(A),
    /// The second one.
    Second(B),
}

/// Waits for the first of two futures; the other can be polled on.
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
