//! Even load at the cost of few moves.

use super::model::{self, Assignment, Plan, Server, Shard, Split, Weights};

/// Looks in a row that must find the load uneven before anything moves.
const UNEVEN_LOOKS: u32 = 3;

/// Moves that one look can lead to.
const MOVES_PER_LOOK: usize = 8;

/// Hashes that one look can split out.
const SPLITS_PER_LOOK: usize = 4;

/// Share of a server's fair load from which a hash is worth a span of its own.
const HOT_SHARE: f64 = 0.1;

/// Load of the fullest server over the fair share, as a share of it; 0 is even.
pub fn imbalance(pieces: &[Shard], servers: &[Server]) -> f64 {
    let scale = Scale::new(pieces, servers);
    let levels = (0..servers.len()).filter_map(|s| scale.level(s));
    let most = levels.fold(0.0, f64::max);
    (most / scale.fair - 1.0).max(0.0)
}

/// Decides what to move; `uneven` counts the looks in a row that found uneven load.
///
/// The server that is loaded most, for its capacity, gives to the one that is
/// loaded least, the spans with the most load for their width first, until all
/// are within the tolerance. No move may make its target the fuller of the two
/// and take it out of the tolerance, so that nothing moves back.
pub fn rebalance(pieces: &[Shard], servers: &[Server], weights: Weights, uneven: &mut u32) -> Plan {
    let mut scale = Scale::new(pieces, servers);
    let tolerance = weights.tolerance();
    if !scale.uneven(tolerance) {
        *uneven = 0;
        return Plan::default();
    }
    *uneven = uneven.saturating_add(1);
    if *uneven < UNEVEN_LOOKS {
        return Plan::default();
    }
    let mut plan = Plan::default();
    while plan.moves.len() < MOVES_PER_LOOK && scale.uneven(tolerance / 2.0) {
        let Some((from, to)) = scale.extremes() else {
            break;
        };
        let Some(choice) = scale.choose(pieces, &plan, from, to, tolerance) else {
            plan.splits = scale.splits(pieces, from);
            break;
        };
        scale.apply(choice, from);
        plan.moves.push(choice);
    }
    plan
}

/// Loads of servers for their capacities.
struct Scale<'a> {
    servers: &'a [Server],
    weights: Vec<f64>,
    loads: Vec<f64>,
    /// Load for each unit of capacity if all were even.
    fair: f64,
}

impl<'a> Scale<'a> {
    fn new(pieces: &[Shard], servers: &'a [Server]) -> Self {
        let weights = model::shard_weights(pieces);
        let loads = model::server_loads(pieces, &weights, servers.len());
        let open = servers.iter().filter(|s| s.assignable);
        let capacity: f64 = open.map(|s| s.capacity).sum();
        let total: f64 = weights.iter().sum();
        Self {
            servers,
            weights,
            loads,
            fair: total / capacity.max(f64::MIN_POSITIVE),
        }
    }

    /// Load of an open server for its capacity.
    fn level(&self, server: usize) -> Option<f64> {
        self.level_with(server, 0.0)
    }

    fn level_with(&self, server: usize, more: f64) -> Option<f64> {
        let open = self.servers.get(server)?;
        let usable = open.assignable && open.capacity > 0.0;
        usable.then_some((self.loads.get(server)? + more) / open.capacity)
    }

    /// Whether a server is above the tolerance, or below twice the tolerance.
    fn uneven(&self, tolerance: f64) -> bool {
        let high = self.fair * (1.0 + tolerance);
        let low = self.fair * (1.0 - 2.0 * tolerance);
        let levels = (0..self.servers.len()).filter_map(|s| self.level(s));
        levels.into_iter().any(|l| l > high || l < low)
    }

    /// The servers loaded most and least.
    fn extremes(&self) -> Option<(usize, usize)> {
        let levels = || (0..self.servers.len()).filter_map(|s| Some((self.level(s)?, s)));
        let (_, most) = levels().max_by(|(a, _), (b, _)| a.total_cmp(b))?;
        let (_, least) = levels().min_by(|(a, _), (b, _)| a.total_cmp(b))?;
        (most != least).then_some((most, least))
    }

    fn choose(
        &self,
        pieces: &[Shard],
        plan: &Plan,
        from: usize,
        to: usize,
        tolerance: f64,
    ) -> Option<Assignment> {
        let high = self.fair * (1.0 + tolerance / 2.0);
        let fits = |weight: f64| {
            let giver = self.level_with(from, -weight)?;
            let taker = self.level_with(to, weight)?;
            Some(taker <= giver || taker <= high)
        };
        let left = |i: usize| !plan.moves.iter().any(|m| m.shard == i);
        let own = |p: &Shard| p.movable && p.owner == Some(from);
        let weighed = pieces.iter().zip(&self.weights).enumerate();
        let candidates = weighed
            .filter(|(i, (p, w))| left(*i) && own(p) && fits(**w) == Some(true))
            .map(|(i, (p, w))| (*w / model::width(p.span), *w, i));
        let best = candidates.max_by(|(a, v, _), (b, w, _)| a.total_cmp(b).then(v.total_cmp(w)));
        best.map(|(_, _, piece)| Assignment {
            shard: piece,
            server: to,
        })
    }

    fn apply(&mut self, choice: Assignment, from: usize) {
        let weight = self.weights.get(choice.shard).copied().unwrap_or_default();
        if let Some(load) = self.loads.get_mut(from) {
            *load -= weight;
        }
        if let Some(load) = self.loads.get_mut(choice.server) {
            *load += weight;
        }
    }

    /// Hot hashes worth a span of their own, of a server that nothing can be taken from.
    fn splits(&self, pieces: &[Shard], from: usize) -> Vec<Split> {
        let total: f64 = pieces.iter().map(|p| p.request_rate).sum();
        let capacity = self.servers.get(from).map_or(0.0, |s| s.capacity);
        let worth = HOT_SHARE * total * self.fair * capacity;
        let wide = |p: &Shard| p.movable && p.owner == Some(from) && p.span.width() > 1;
        let hottest = |p: &Shard| {
            p.hot_hashes
                .iter()
                .copied()
                .max_by(|a, b| a.1.total_cmp(&b.1))
        };
        let own = pieces.iter().enumerate().filter(|(_, p)| wide(p));
        let hot = own.filter_map(|(piece, p)| Some((piece, hottest(p)?)));
        let mut hot: Vec<_> = hot.filter(|(_, (_, rate))| *rate > worth).collect();
        hot.sort_by(|(_, (_, a)), (_, (_, b))| b.total_cmp(a));
        hot.truncate(SPLITS_PER_LOOK);
        hot.iter()
            .map(|(piece, (hash, _))| Split {
                shard: *piece,
                hash: *hash,
            })
            .collect()
    }
}
