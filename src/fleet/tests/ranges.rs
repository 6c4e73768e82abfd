use arbtest::arbitrary::Unstructured;
use arbtest::arbtest;

use super::incarnation;
use crate::fleet::Key;
use crate::fleet::model::Incarnation;
use crate::fleet::ranges::{AssignedRange, Move, RangeMap};

/// Cases per property, each with its own seed.
const CASE_COUNT: u64 = 200;

fn bounds(u: &mut Unstructured<'_>) -> arbtest::arbitrary::Result<(Key, Key)> {
    let (a, b): (Key, Key) = (u.arbitrary()?, u.arbitrary()?);
    Ok((a.min(b), a.max(b)))
}

fn to_move(from: Key, to: Key, next: &Incarnation) -> Move {
    let next = next.clone();
    Move { from, to, next }
}

#[test]
fn ranges_contain_every_key_once_and_fences_only_rise() {
    for seed in 0..CASE_COUNT {
        arbtest(|u| {
            let mut ranges = RangeMap::default();
            let mut fences = vec![0_u64; 1 << 16];
            for index in 1..12 {
                let (from, to) = bounds(u)?;
                let name = ["a", "b", "c"][usize::from(u.arbitrary::<u8>()? % 3)];
                let incarnation = incarnation(name, 1);
                match u.arbitrary::<u8>()? % 3 {
                    0 => ranges.reassign(index, &[to_move(from, to, &incarnation)]),
                    1 => ranges.release(index, &incarnation, &[(from, to)]),
                    _ => {
                        let token = None;
                        ranges.assign(index, &incarnation, &[AssignedRange { from, to, token }]);
                    }
                }
                let mut next = 0_u32;
                for range in ranges.iter() {
                    assert_eq!(u32::from(range.from), next, "gap or overlap");
                    next = u32::from(range.to) + 1;
                    for key in range.from..=range.to {
                        let fence = &mut fences[usize::from(key)];
                        assert!(range.fence >= *fence, "a fence decreased");
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
fn keys_are_assigned_to_their_next_owner_only() {
    let mut ranges = RangeMap::default();
    let (a, b) = (incarnation("a", 1), incarnation("b", 1));
    let all_keys = |token: Option<&str>| AssignedRange {
        from: 0,
        to: Key::MAX,
        token: token.map(Into::into),
    };
    ranges.reassign(1, &[to_move(0, 99, &a)]);
    ranges.assign(2, &b, &[all_keys(None)]);
    assert!(ranges.iter().all(|r| r.owner.is_none()));
    ranges.assign(3, &a, &[all_keys(Some("t"))]);
    let owned: Vec<_> = ranges.iter().filter(|r| r.owner.is_some()).collect();
    assert_eq!(owned.len(), 1);
    assert_eq!((owned[0].from, owned[0].to, owned[0].fence), (0, 99, 3));
    assert_eq!(owned[0].token.as_deref(), Some("t"));
}

#[test]
fn another_next_owner_keeps_the_index_of_the_first() {
    let mut ranges = RangeMap::default();
    ranges.reassign(4, &[to_move(0, 9, &incarnation("a", 1))]);
    ranges.reassign(7, &[to_move(0, 9, &incarnation("b", 1))]);
    let next = ranges.iter().find_map(|r| r.next.clone()).unwrap();
    assert_eq!((next.since, &*next.incarnation.server), (4, "b"));
}

#[test]
fn moves_of_one_change_apply_like_separate_changes() {
    for seed in 0..CASE_COUNT {
        arbtest(|u| {
            let mut ends = u.arbitrary::<[Key; 8]>()?;
            ends.sort_unstable();
            let moves = ends.chunks(2).zip(["a", "b", "c", "d"]);
            let moves: Vec<_> = moves
                .map(|(s, name)| {
                    to_move(
                        s[0],
                        s[1].saturating_sub(1).max(s[0]),
                        &incarnation(name, 1),
                    )
                })
                .collect();
            let (mut together, mut apart) = (RangeMap::default(), RangeMap::default());
            together.reassign(1, &moves);
            for one in &moves {
                apart.reassign(1, std::slice::from_ref(one));
            }
            let disjoint = ends.windows(2).all(|w| w[0] < w[1]);
            assert!(together == apart || !disjoint);
            Ok(())
        })
        .seed(seed);
    }
}
