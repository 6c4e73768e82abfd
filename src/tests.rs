//! Tests of the single-file modules at the root of the library.

use std::time::Duration;

use crate::clock;
use crate::keys::{self, Span};
use crate::notify::Notify;
use crate::runtime;

#[test]
fn even_split_covers_all_hashes_without_gaps() {
    for count in [1, 3, 16, 256, 1000, 4096] {
        let spans = Span::split_evenly(count);
        assert_eq!(spans.len() as u64, count);
        assert_eq!(spans[0].start, 0);
        assert_eq!(spans[spans.len() - 1].end, keys::HASH_SPACE - 1);
        assert!(spans.windows(2).all(|w| w[0].end + 1 == w[1].start));
    }
}

#[test]
fn span_without_a_hash_keeps_the_rest() {
    let span = Span { start: 10, end: 20 };
    let parts = |hash| span.without(hash);
    assert_eq!(parts(10), vec![Span { start: 11, end: 20 }]);
    assert_eq!(parts(20), vec![Span { start: 10, end: 19 }]);
    assert_eq!(
        parts(15),
        vec![Span { start: 10, end: 14 }, Span { start: 16, end: 20 }]
    );
    assert_eq!(parts(21), vec![span]);
    assert_eq!(Span::single(7).without(7), vec![]);
}

#[test]
fn clock_advances_by_the_given_duration() {
    let before = clock::now();
    clock::advance(Duration::from_mins(1));
    assert!(clock::now() >= before + Duration::from_mins(1));
}

#[test]
fn waiters_that_time_out_are_removed() {
    runtime::run(async {
        let notify = Notify::default();
        for _ in 0..3 {
            assert!(!notify.wait(Duration::from_millis(1)).await);
        }
        assert_eq!(notify.waiter_count(), 0);
    });
}
