use arbtest::arbitrary::Unstructured;
use arbtest::arbtest;

use super::incarnation;
use crate::fleet::model::Incarnation;
use crate::fleet::ranges::{AssignedRange, Move, RangeMap};
use crate::fleet::{Key, KeyRange};

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
                match u.arbitrary::<u8>()? % 4 {
                    3 => {
                        let owners = |r: &RangeMap| -> Vec<_> {
                            let keys = (0..=Key::MAX).step_by(64);
                            keys.map(|k| r.overlapping(k, k).next().unwrap().owner.clone())
                                .collect()
                        };
                        let before = owners(&ranges);
                        ranges.join(index, &incarnation);
                        assert_eq!(owners(&ranges), before);
                    }
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

/// Guards against keys that arrive with the token of other keys, and against moves that are forgotten.
#[test]
fn only_ranges_that_an_owner_keeps_are_joined() {
    let a = incarnation("a", 1);
    let mut ranges = RangeMap::default();
    let assign = |ranges: &mut RangeMap, index, (from, to), token: &str| {
        ranges.reassign(index, &[to_move(from, to, &a)]);
        let token = Some(token.into());
        ranges.assign(index, &a, &[AssignedRange { from, to, token }]);
    };
    assign(&mut ranges, 1, (0, 9), "t");
    assign(&mut ranges, 2, (10, 19), "u");
    ranges.reassign(3, &[to_move(20, 39, &a)]);
    let arriving = [(20, 29, "v"), (30, 39, "w")].map(|(from, to, token)| AssignedRange {
        from,
        to,
        token: Some(token.into()),
    });
    ranges.assign(3, &a, &arriving);
    let rows = |ranges: &RangeMap| -> Vec<_> {
        let owned = ranges.iter().filter(|r| r.owner.is_some());
        let row = |r: &KeyRange| (r.from, r.to, r.fence, r.token.clone().unwrap().to_string());
        owned.map(row).collect()
    };
    let row = |from, to, fence, token: &str| (from, to, fence, token.to_owned());
    ranges.join(3, &a);
    let arrived = [row(0, 29, 3, "v"), row(30, 39, 3, "w")];
    assert_eq!(rows(&ranges), arrived, "both tokens are needed");
    assign(&mut ranges, 4, (40, 49), "x");
    ranges.reassign(5, &[to_move(40, 49, &incarnation("b", 1))]);
    ranges.join(6, &a);
    let kept = [row(0, 39, 3, "v"), row(40, 49, 4, "x")];
    assert_eq!(rows(&ranges), kept, "the others move away");
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
