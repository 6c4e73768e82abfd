//! Tests of the placement policy.

use arbtest::arbitrary::{Result, Unstructured};

use super::{Plan, Server, Shard, Split, Weights, assign, imbalance, rebalance};
use crate::keys::Span;

fn free(count: u64) -> Vec<Shard> {
    let piece = |span| Shard {
        span,
        owner: None,
        last_owner: None,
        free: true,
        movable: true,
        request_rate: 0.0,
        hot_hashes: Vec::new(),
    };
    Span::cut(count).into_iter().map(piece).collect()
}

fn servers(capacities: &[f64]) -> Vec<Server> {
    let server = |c: &f64| Server {
        capacity: *c,
        assignable: true,
    };
    capacities.iter().map(server).collect()
}

#[test]
fn the_first_assignment_follows_capacity() {
    let choices = assign(&free(256), &servers(&[6.0, 6.0, 12.0, 0.0]));
    let count = |server| choices.iter().filter(|c| c.server == server).count();
    assert_eq!([count(0), count(1), count(2), count(3)], [64, 64, 128, 0]);
}

#[test]
fn a_span_goes_back_to_its_last_owner() {
    let mut pieces = free(16);
    for (i, piece) in pieces.iter_mut().enumerate() {
        piece.last_owner = Some(i % 2);
    }
    let choices = assign(&pieces, &servers(&[1.0, 1.0]));
    assert!(choices.iter().all(|c| c.server == c.shard % 2));
}

/// Random load and owners.
fn scene(u: &mut Unstructured<'_>) -> Result<(Vec<Shard>, Vec<Server>)> {
    let count = u.int_in_range(2..=20)?;
    let mut pieces = free(64);
    for piece in &mut pieces {
        piece.request_rate = f64::from(u.int_in_range(0..=200_u32)?);
        piece.owner = Some(u.choose_index(count)?);
        piece.free = false;
    }
    let capacities: Vec<f64> = (0..count)
        .map(|i| if i % 3 == 0 { 3.0 } else { 6.0 })
        .collect();
    Ok((pieces, servers(&capacities)))
}

const EVEN: Weights = Weights {
    imbalance: 1,
    churn: 1,
    unavailable: 1,
};

fn carry_out(pieces: &mut [Shard], plan: &Plan) {
    for choice in &plan.moves {
        pieces[choice.shard].owner = Some(choice.server);
    }
}

#[test]
fn balancing_lowers_the_peak_and_comes_to_rest() {
    for seed in 1..=200_u64 {
        arbtest::arbtest(|u| {
            let (mut pieces, servers) = scene(u)?;
            let (mut uneven, mut moves) = (0, 0);
            for look in 0..100 {
                let before = imbalance(&pieces, &servers);
                let plan = rebalance(&pieces, &servers, EVEN, &mut uneven);
                carry_out(&mut pieces, &plan);
                let after = imbalance(&pieces, &servers);
                let bound = before.max(EVEN.tolerance());
                assert!(after <= bound + 1e-9, "from {before} to {after}");
                moves += plan.moves.len();
                assert!(
                    look < 60 || plan.moves.is_empty(),
                    "still moves at look {look}"
                );
            }
            assert!(moves <= 2 * pieces.len(), "{moves} moves");
            Ok(())
        })
        .seed(seed << 32 | 1024)
        .run();
    }
}

#[test]
fn a_short_peak_moves_nothing() {
    let mut pieces = free(16);
    for (i, piece) in pieces.iter_mut().enumerate() {
        piece.owner = Some(i % 4);
        piece.request_rate = 10.0;
    }
    let servers = servers(&[6.0; 4]);
    let mut uneven = 0;
    for look in 0..30 {
        pieces[0].request_rate = if look % 3 == 0 { 10.0 } else { 200.0 };
        let plan = rebalance(&pieces, &servers, EVEN, &mut uneven);
        assert_eq!(plan, Plan::default());
    }
}

#[test]
fn a_death_moves_only_what_was_orphaned() {
    for seed in 1..=200_u64 {
        arbtest::arbtest(|u| {
            let (mut pieces, mut servers) = scene(u)?;
            servers[0].assignable = false;
            let orphans: Vec<usize> = (0..64).filter(|i| pieces[*i].owner == Some(0)).collect();
            for i in &orphans {
                (pieces[*i].owner, pieces[*i].free) = (None, true);
            }
            let mut chosen: Vec<_> = assign(&pieces, &servers).iter().map(|c| c.shard).collect();
            chosen.sort_unstable();
            assert_eq!(chosen, orphans);
            Ok(())
        })
        .seed(seed << 32 | 1024)
        .run();
    }
}

#[test]
fn a_hot_hash_that_nothing_can_relieve_is_split_out() {
    let mut pieces = free(4);
    for (i, piece) in pieces.iter_mut().enumerate() {
        (piece.owner, piece.free) = (Some(i), false);
        piece.request_rate = 10.0;
    }
    pieces[2].request_rate = 200.0;
    pieces[2].hot_hashes = vec![(pieces[2].span.start + 7, 150.0)];
    let servers = servers(&[6.0; 4]);
    let mut uneven = 10;
    let plan = rebalance(&pieces, &servers, EVEN, &mut uneven);
    let hash = pieces[2].span.start + 7;
    assert_eq!(plan.splits, [Split { shard: 2, hash }]);
}

#[test]
fn the_tolerance_follows_the_weights() {
    let tolerance = |imbalance, churn, unavailable| {
        let weights = Weights {
            imbalance,
            churn,
            unavailable,
        };
        weights.tolerance()
    };
    assert!(tolerance(1, 4, 1) > tolerance(1, 1, 1));
    assert!(tolerance(4, 1, 1) < tolerance(1, 1, 1));
    assert!(tolerance(0, 100, 100) < 0.5 && tolerance(100, 0, 0) > 0.0);
}
