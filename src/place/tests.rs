//! Tests of the placement policy.

use arbtest::arbitrary::{Result, Unstructured};

use super::{Plan, Server, Shard, Split, Weights, assign, imbalance, rebalance};
use crate::keys::Span;

fn free_shards(count: u64) -> Vec<Shard> {
    let shard = |span| Shard {
        span,
        owner: None,
        last_owner: None,
        free: true,
        movable: true,
        request_rate: 0.0,
        hot_hashes: Vec::new(),
    };
    Span::split_evenly(count).into_iter().map(shard).collect()
}

fn servers(capacities: &[f64]) -> Vec<Server> {
    let server = |c: &f64| Server {
        capacity: *c,
        assignable: true,
    };
    capacities.iter().map(server).collect()
}

#[test]
fn first_assignment_is_proportional_to_capacity() {
    let assignments = assign(&free_shards(256), &servers(&[6.0, 6.0, 12.0, 0.0]));
    let count = |server| assignments.iter().filter(|a| a.server == server).count();
    assert_eq!([count(0), count(1), count(2), count(3)], [64, 64, 128, 0]);
}

#[test]
fn free_span_returns_to_its_last_owner() {
    let mut shards = free_shards(16);
    for (i, shard) in shards.iter_mut().enumerate() {
        shard.last_owner = Some(i % 2);
    }
    let assignments = assign(&shards, &servers(&[1.0, 1.0]));
    assert!(assignments.iter().all(|a| a.server == a.shard % 2));
}

/// Shards with random load and owners, and servers.
fn random_placement(u: &mut Unstructured<'_>) -> Result<(Vec<Shard>, Vec<Server>)> {
    let count = u.int_in_range(2..=20)?;
    let mut shards = free_shards(64);
    for shard in &mut shards {
        shard.request_rate = f64::from(u.int_in_range(0..=200_u32)?);
        shard.owner = Some(u.choose_index(count)?);
        shard.free = false;
    }
    let capacities: Vec<f64> = (0..count)
        .map(|i| if i % 3 == 0 { 3.0 } else { 6.0 })
        .collect();
    Ok((shards, servers(&capacities)))
}

const EQUAL_WEIGHTS: Weights = Weights {
    imbalance: 1,
    churn: 1,
    unavailable: 1,
};

fn apply_moves(shards: &mut [Shard], plan: &Plan) {
    for assignment in &plan.moves {
        shards[assignment.shard].owner = Some(assignment.server);
    }
}

#[test]
fn rebalancing_lowers_the_peak_and_converges() {
    for seed in 1..=200_u64 {
        arbtest::arbtest(|u| {
            let (mut shards, servers) = random_placement(u)?;
            let (mut imbalanced_passes, mut moves) = (0, 0);
            for pass in 0..100 {
                let before = imbalance(&shards, &servers);
                let plan = rebalance(&shards, &servers, EQUAL_WEIGHTS, &mut imbalanced_passes);
                apply_moves(&mut shards, &plan);
                let after = imbalance(&shards, &servers);
                let bound = before.max(EQUAL_WEIGHTS.tolerance());
                assert!(after <= bound + 1e-9, "from {before} to {after}");
                moves += plan.moves.len();
                assert!(
                    pass < 60 || plan.moves.is_empty(),
                    "still moving spans in pass {pass}"
                );
            }
            assert!(moves <= 2 * shards.len(), "{moves} moves");
            Ok(())
        })
        .seed(seed << 32 | 1024)
        .run();
    }
}

#[test]
fn short_peak_moves_no_spans() {
    let mut shards = free_shards(16);
    for (i, shard) in shards.iter_mut().enumerate() {
        shard.owner = Some(i % 4);
        shard.request_rate = 10.0;
    }
    let servers = servers(&[6.0; 4]);
    let mut imbalanced_passes = 0;
    for pass in 0..30 {
        shards[0].request_rate = if pass % 3 == 0 { 10.0 } else { 200.0 };
        let plan = rebalance(&shards, &servers, EQUAL_WEIGHTS, &mut imbalanced_passes);
        assert_eq!(plan, Plan::default());
    }
}

#[test]
fn failed_server_moves_only_its_own_spans() {
    for seed in 1..=200_u64 {
        arbtest::arbtest(|u| {
            let (mut shards, mut servers) = random_placement(u)?;
            servers[0].assignable = false;
            let orphans: Vec<usize> = (0..64).filter(|i| shards[*i].owner == Some(0)).collect();
            for i in &orphans {
                (shards[*i].owner, shards[*i].free) = (None, true);
            }
            let mut chosen: Vec<_> = assign(&shards, &servers).iter().map(|a| a.shard).collect();
            chosen.sort_unstable();
            assert_eq!(chosen, orphans);
            Ok(())
        })
        .seed(seed << 32 | 1024)
        .run();
    }
}

#[test]
fn hot_hash_is_split_out_when_no_move_helps() {
    let mut shards = free_shards(4);
    for (i, shard) in shards.iter_mut().enumerate() {
        (shard.owner, shard.free) = (Some(i), false);
        shard.request_rate = 10.0;
    }
    shards[2].request_rate = 200.0;
    shards[2].hot_hashes = vec![(shards[2].span.start + 7, 150.0)];
    let servers = servers(&[6.0; 4]);
    let mut imbalanced_passes = 10;
    let plan = rebalance(&shards, &servers, EQUAL_WEIGHTS, &mut imbalanced_passes);
    let hash = shards[2].span.start + 7;
    assert_eq!(plan.splits, [Split { shard: 2, hash }]);
}

#[test]
fn tolerance_follows_the_weights() {
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
