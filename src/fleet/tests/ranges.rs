use arbtest::arbitrary::Unstructured;
use arbtest::arbtest;

use super::incarnation;
use crate::fleet::Key;
use crate::fleet::model::Incarnation;
use crate::fleet::ranges::{AssignedRange, Move, RangeMap};

/// Cases of each property, each with its own seed.
const CASES: u64 = 200;

fn span(u: &mut Unstructured<'_>) -> arbtest::arbitrary::Result<(Key, Key)> {
    let (a, b): (Key, Key) = (u.arbitrary()?, u.arbitrary()?);
    Ok((a.min(b), a.max(b)))
}

fn release(from: Key, to: Key, next: &Incarnation) -> Move {
    let next = next.clone();
    Move { from, to, next }
}

#[test]
fn rows_hold_every_key_once_and_fences_only_rise() {
    for seed in 0..CASES {
        arbtest(|u| {
            let mut ranges = RangeMap::default();
            let mut fences = vec![0_u64; 1 << 16];
            for index in 1..12 {
                let (from, to) = span(u)?;
                let name = ["a", "b", "c"][usize::from(u.arbitrary::<u8>()? % 3)];
                let incarnation = incarnation(name, 1);
                match u.arbitrary::<u8>()? % 3 {
                    0 => ranges.reassign(index, &[release(from, to, &incarnation)]),
                    1 => ranges.release(index, &incarnation, &[(from, to)]),
                    _ => {
                        let token = None;
                        ranges.assign(index, &incarnation, &[AssignedRange { from, to, token }]);
                    }
                }
                let mut next = 0_u32;
                for range in ranges.iter() {
                    assert_eq!(u32::from(range.from), next, "a gap or an overlap");
                    next = u32::from(range.to) + 1;
                    for key in range.from..=range.to {
                        let fence = &mut fences[usize::from(key)];
                        assert!(range.fence >= *fence, "a fence fell");
                        *fence = range.fence;
                    }
                }
                assert_eq!(next, 1 << 16);
            }
            Ok(())
        })
        .seed(seed);
    }
}

#[test]
fn keys_go_only_to_the_server_that_was_named_for_them() {
    let mut ranges = RangeMap::default();
    let (a, b) = (incarnation("a", 1), incarnation("b", 1));
    let whole = |token: Option<&str>| AssignedRange {
        from: 0,
        to: Key::MAX,
        token: token.map(Into::into),
    };
    ranges.reassign(1, &[release(0, 99, &a)]);
    ranges.assign(2, &b, &[whole(None)]);
    assert!(ranges.iter().all(|r| r.owner.is_none()));
    ranges.assign(3, &a, &[whole(Some("t"))]);
    let held: Vec<_> = ranges.iter().filter(|r| r.owner.is_some()).collect();
    assert_eq!(held.len(), 1);
    assert_eq!((held[0].from, held[0].to, held[0].fence), (0, 99, 3));
    assert_eq!(held[0].token.as_deref(), Some("t"));
}

#[test]
fn a_second_name_for_a_row_keeps_when_its_holder_was_last_given_it() {
    let mut ranges = RangeMap::default();
    ranges.reassign(4, &[release(0, 9, &incarnation("a", 1))]);
    ranges.reassign(7, &[release(0, 9, &incarnation("b", 1))]);
    let next = ranges.iter().find_map(|r| r.next.clone()).unwrap();
    assert_eq!((next.since, &*next.incarnation.server), (4, "b"));
}

#[test]
fn spans_of_one_change_come_out_as_if_each_had_its_own() {
    for seed in 0..CASES {
        arbtest(|u| {
            let mut ends = u.arbitrary::<[Key; 8]>()?;
            ends.sort_unstable();
            let spans = ends.chunks(2).zip(["a", "b", "c", "d"]);
            let spans: Vec<_> = spans
                .map(|(s, name)| {
                    release(
                        s[0],
                        s[1].saturating_sub(1).max(s[0]),
                        &incarnation(name, 1),
                    )
                })
                .collect();
            let (mut together, mut apart) = (RangeMap::default(), RangeMap::default());
            together.reassign(1, &spans);
            for span in &spans {
                apart.reassign(1, std::slice::from_ref(span));
            }
            let all_apart = ends.windows(2).all(|w| w[0] < w[1]);
            assert!(together == apart || !all_apart);
            Ok(())
        })
        .seed(seed);
    }
}
