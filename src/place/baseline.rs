//! Simple placement policies for comparison.

use crate::keys;

/// Points of one server on the hash ring.
const VIRTUAL_NODES: u64 = 100;

/// Owner of a hash by its remainder; `servers` holds the ids of the live servers.
pub fn modulo_owner(hash: keys::KeyHash, servers: &[u64]) -> Option<u64> {
    let count = u64::try_from(servers.len()).ok()?;
    let index = hash.checked_rem(count)?;
    servers.get(usize::try_from(index).ok()?).copied()
}

/// The points of a hash ring, in order, each with its server's id.
pub fn hash_ring(servers: &[u64]) -> Vec<(keys::KeyHash, u64)> {
    let points = |server: &u64| {
        let server = *server;
        (0..VIRTUAL_NODES).map(move |i| (keys::hash(&format!("server-{server}/{i}")), server))
    };
    let mut ring: Vec<_> = servers.iter().flat_map(points).collect();
    ring.sort_unstable();
    ring
}

/// Owner of a hash by consistent hashing: the server of the next point on the ring.
pub fn ring_owner(hash: keys::KeyHash, ring: &[(keys::KeyHash, u64)]) -> Option<u64> {
    let next = ring.partition_point(|(p, _)| *p < hash);
    let point = ring.get(next).or_else(|| ring.first());
    point.map(|(_, server)| *server)
}
