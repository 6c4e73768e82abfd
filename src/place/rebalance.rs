//! Rebalancing of load with few moves.

use super::model::{self, Assignment, Plan, Server, Shard, Split, Weights};

/// Consecutive passes that must find an imbalance before spans are moved, so that a short peak
/// moves none.
const MIN_IMBALANCED_PASSES: u32 = 3;

/// Limit of moves in one pass.
const MAX_MOVES_PER_PASS: usize = 8;

/// Limit of hashes split out in one pass.
const MAX_SPLITS_PER_PASS: usize = 4;

/// Share of a server's fair load above which a hash gets a span of its own.
const SPLIT_LOAD_SHARE: f64 = 0.1;

/// Excess of the highest utilization over the fair one, as a fraction of the fair one; 0 is
/// balanced.
pub fn imbalance(shards: &[Shard], servers: &[Server]) -> f64 {
    let utilization = Utilization::new(shards, servers);
    let utilizations = (0..servers.len()).filter_map(|s| utilization.utilization(s));
    let highest = utilizations.fold(0.0, f64::max);
    (highest / utilization.fair_share - 1.0).max(0.0)
}

/// Plans moves; `imbalanced_passes` counts the consecutive passes that found an imbalance.
///
/// Moves spans from the server with the highest utilization to the one with the
/// lowest, those with the most load for their width first, until all servers are
/// within half the tolerance. A move must not make the target both the busier of
/// the two servers and busier than half the tolerance allows, so that no span
/// moves back.
pub fn rebalance(
    shards: &[Shard],
    servers: &[Server],
    weights: Weights,
    imbalanced_passes: &mut u32,
) -> Plan {
    let mut utilization = Utilization::new(shards, servers);
    let tolerance = weights.tolerance();
    if !utilization.is_imbalanced(tolerance) {
        *imbalanced_passes = 0;
        return Plan::default();
    }
    *imbalanced_passes = imbalanced_passes.saturating_add(1);
    if *imbalanced_passes < MIN_IMBALANCED_PASSES {
        return Plan::default();
    }
    let mut plan = Plan::default();
    while plan.moves.len() < MAX_MOVES_PER_PASS && utilization.is_imbalanced(tolerance / 2.0) {
        let Some((from, to)) = utilization.most_and_least_loaded() else {
            break;
        };
        let Some(assignment) = utilization.choose_move(shards, &plan, from, to, tolerance) else {
            plan.splits = utilization.choose_splits(shards, from);
            break;
        };
        utilization.apply(assignment, from);
        plan.moves.push(assignment);
    }
    plan
}

/// Loads of servers relative to their capacities.
struct Utilization<'a> {
    servers: &'a [Server],
    weights: Vec<f64>,
    loads: Vec<f64>,
    /// Load per unit of capacity if the load were balanced, the fair utilization.
    fair_share: f64,
}

impl<'a> Utilization<'a> {
    fn new(shards: &[Shard], servers: &'a [Server]) -> Self {
        let weights = model::shard_weights(shards);
        let loads = model::server_loads(shards, &weights, servers.len());
        let assignable = servers.iter().filter(|s| s.assignable);
        let capacity: f64 = assignable.map(|s| s.capacity).sum();
        let total: f64 = weights.iter().sum();
        Self {
            servers,
            weights,
            loads,
            fair_share: total / capacity.max(f64::MIN_POSITIVE),
        }
    }

    /// Load of an assignable server relative to its capacity.
    fn utilization(&self, server: usize) -> Option<f64> {
        self.utilization_with(server, 0.0)
    }

    fn utilization_with(&self, index: usize, added_load: f64) -> Option<f64> {
        let server = self.servers.get(index)?;
        let usable = server.assignable && server.capacity > 0.0;
        usable.then_some((self.loads.get(index)? + added_load) / server.capacity)
    }

    /// Whether a server's load is above its fair share by more than the tolerance, or below by more
    /// than twice the tolerance.
    fn is_imbalanced(&self, tolerance: f64) -> bool {
        let high = self.fair_share * (1.0 + tolerance);
        let low = self.fair_share * (1.0 - 2.0 * tolerance);
        let utilizations = (0..self.servers.len()).filter_map(|s| self.utilization(s));
        utilizations.into_iter().any(|u| u > high || u < low)
    }

    /// Indexes of the servers with the highest and the lowest utilization.
    fn most_and_least_loaded(&self) -> Option<(usize, usize)> {
        let utilizations =
            || (0..self.servers.len()).filter_map(|s| Some((self.utilization(s)?, s)));
        let (_, highest) = utilizations().max_by(|(a, _), (b, _)| a.total_cmp(b))?;
        let (_, lowest) = utilizations().min_by(|(a, _), (b, _)| a.total_cmp(b))?;
        (highest != lowest).then_some((highest, lowest))
    }

    fn choose_move(
        &self,
        shards: &[Shard],
        plan: &Plan,
        from: usize,
        to: usize,
        tolerance: f64,
    ) -> Option<Assignment> {
        let high = self.fair_share * (1.0 + tolerance / 2.0);
        let fits = |weight: f64| {
            let source = self.utilization_with(from, -weight)?;
            let target = self.utilization_with(to, weight)?;
            Some(target <= source || target <= high)
        };
        let not_planned = |i: usize| !plan.moves.iter().any(|m| m.shard == i);
        let may_move = |s: &Shard| s.movable && s.owner == Some(from);
        let weighted = shards.iter().zip(&self.weights).enumerate();
        let candidates = weighted
            .filter(|(i, (s, w))| not_planned(*i) && may_move(s) && fits(**w) == Some(true))
            .map(|(i, (s, w))| (*w / model::width(s.span), *w, i));
        let best = candidates.max_by(|(a, v, _), (b, w, _)| a.total_cmp(b).then(v.total_cmp(w)));
        best.map(|(_, _, shard)| Assignment { shard, server: to })
    }

    fn apply(&mut self, assignment: Assignment, from: usize) {
        // The index was taken from these weights, so the default is never used.
        let weight = self
            .weights
            .get(assignment.shard)
            .copied()
            .unwrap_or_default();
        if let Some(load) = self.loads.get_mut(from) {
            *load -= weight;
        }
        if let Some(load) = self.loads.get_mut(assignment.server) {
            *load += weight;
        }
    }

    /// Hot hashes to split out on a server of which no span can be moved.
    fn choose_splits(&self, shards: &[Shard], from: usize) -> Vec<Split> {
        let total_rate: f64 = shards.iter().map(|s| s.request_rate).sum();
        let capacity = self.servers.get(from).map_or(0.0, |s| s.capacity);
        let min_rate = SPLIT_LOAD_SHARE * total_rate * self.fair_share * capacity;
        let can_split = |s: &Shard| s.movable && s.owner == Some(from) && s.span.width() > 1;
        let hottest = |s: &Shard| {
            s.hot_hashes
                .iter()
                .copied()
                .max_by(|a, b| a.1.total_cmp(&b.1))
        };
        let splittable = shards.iter().enumerate().filter(|(_, s)| can_split(s));
        let hot = splittable.filter_map(|(shard, s)| Some((shard, hottest(s)?)));
        let mut hot: Vec<_> = hot.filter(|(_, (_, rate))| *rate > min_rate).collect();
        hot.sort_by(|(_, (_, a)), (_, (_, b))| b.total_cmp(a));
        hot.truncate(MAX_SPLITS_PER_PASS);
        hot.iter()
            .map(|(shard, (hash, _))| Split {
                shard: *shard,
                hash: *hash,
            })
            .collect()
    }
}
