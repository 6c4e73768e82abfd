//! Homes for spans that nobody owns.

use super::model::{self, Assignment, Server, Shard};

/// Load over the fair share up to which a span goes back to its last owner.
const RETURN_BOUND: f64 = 1.25;

/// Chooses a server for each free span, the heaviest first.
///
/// A span goes to its last owner if that is open and not overloaded, else to
/// the server that would be loaded least.
pub fn assign(pieces: &[Shard], servers: &[Server]) -> Vec<Assignment> {
    let weights = model::shard_weights(pieces);
    let mut loads = model::server_loads(pieces, &weights, servers.len());
    let open = servers.iter().filter(|s| s.assignable);
    let capacity: f64 = open.map(|s| s.capacity).sum();
    let mut free: Vec<_> = pieces.iter().zip(&weights).enumerate().collect();
    free.retain(|(_, (p, _))| p.free && p.owner.is_none());
    free.sort_by(|(_, (_, a)), (_, (_, b))| b.total_cmp(a));
    let mut choices = Vec::new();
    for (index, (piece, weight)) in free {
        let level = |server: usize| {
            let open = servers
                .get(server)
                .filter(|s| s.assignable && s.capacity > 0.0)?;
            Some((loads.get(server)? + weight) / open.capacity)
        };
        let bound = RETURN_BOUND / capacity;
        let last = piece
            .last_owner
            .filter(|l| level(*l).is_some_and(|v| v <= bound));
        let levels = (0..servers.len()).filter_map(|s| Some((level(s)?, s)));
        let lowest = levels.min_by(|(a, _), (b, _)| a.total_cmp(b));
        let Some(server) = last.or(lowest.map(|(_, s)| s)) else {
            return choices;
        };
        if let Some(load) = loads.get_mut(server) {
            *load += weight;
        }
        choices.push(Assignment {
            shard: index,
            server,
        });
    }
    choices
}
