//! Assignment of free spans.

use super::model::{self, Assignment, Server, Shard};

/// Highest utilization, relative to the fair one, at which a span returns to its last owner.
const MAX_RETURN_LOAD: f64 = 1.25;

/// Chooses a server for each free span, in order of falling weight.
///
/// A span goes to its last owner if that is assignable and not overloaded, else
/// to the server that would have the lowest utilization.
pub fn assign(shards: &[Shard], servers: &[Server]) -> Vec<Assignment> {
    let weights = model::shard_weights(shards);
    let mut loads = model::server_loads(shards, &weights, servers.len());
    let assignable = servers.iter().filter(|s| s.assignable);
    let capacity: f64 = assignable.map(|s| s.capacity).sum();
    let mut free: Vec<_> = shards.iter().zip(&weights).enumerate().collect();
    free.retain(|(_, (s, _))| s.free && s.owner.is_none());
    free.sort_by(|(_, (_, a)), (_, (_, b))| b.total_cmp(a));
    let mut assignments = Vec::new();
    for (index, (shard, weight)) in free {
        let utilization = |index: usize| {
            let server = servers
                .get(index)
                .filter(|s| s.assignable && s.capacity > 0.0)?;
            Some((loads.get(index)? + weight) / server.capacity)
        };
        let max_utilization = MAX_RETURN_LOAD / capacity;
        let last_owner = shard
            .last_owner
            .filter(|l| utilization(*l).is_some_and(|u| u <= max_utilization));
        let utilizations = (0..servers.len()).filter_map(|s| Some((utilization(s)?, s)));
        let lowest = utilizations.min_by(|(a, _), (b, _)| a.total_cmp(b));
        let Some(server) = last_owner.or(lowest.map(|(_, s)| s)) else {
            return assignments;
        };
        if let Some(load) = loads.get_mut(server) {
            *load += weight;
        }
        assignments.push(Assignment {
            shard: index,
            server,
        });
    }
    assignments
}
