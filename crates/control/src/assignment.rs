//! Assignment of the backend servers of a zone to its nodes.

use std::cmp::Reverse;

use carobstep_config::{ConfigTopology, NodeName, ServerName, ServiceKey, ZoneName};
use indexmap::{IndexMap, IndexSet};
use xxhash_rust::xxh3::xxh3_64;

/// Returns the score of a node for a key in rendezvous hashing (Thaler and
/// Ravishankar 1998), in which the highest score wins.
pub(crate) fn score(key: &str, node: &NodeName) -> u64 {
    let mut bytes = Vec::with_capacity(key.len() + 1 + node.as_str().len());
    bytes.extend_from_slice(key.as_bytes());
    bytes.push(0);
    bytes.extend_from_slice(node.as_str().as_bytes());
    xxh3_64(&bytes)
}

/// Returns the `count` nodes with the highest scores for `key`.
pub(crate) fn top_nodes(key: &str, nodes: &[NodeName], count: usize) -> Vec<NodeName> {
    let mut ranked: Vec<&NodeName> = nodes.iter().collect();
    ranked.sort_by_key(|node| Reverse(score(key, node)));
    ranked.into_iter().take(count).cloned().collect()
}

/// Assigns every backend server of `zone` to one of `nodes`.
///
/// The replicas of a service go to different nodes if there are enough nodes.
/// Among the nodes without a replica of the service, each server goes to the one
/// with the highest rendezvous score that has fewer servers than the even share,
/// rounded up. If all of them have their share, the server goes to the least
/// loaded of them, and that node passes one of its other servers to a node below
/// its share, if that keeps replicas apart.
///
/// The result depends only on the arguments, so all nodes that see the same
/// topology and the same nodes compute the same assignment.
#[must_use]
pub fn assign_servers(
    topology: &ConfigTopology,
    zone: &ZoneName,
    nodes: &[NodeName],
) -> IndexMap<ServerName, NodeName> {
    let Some(zone_key) = topology.find_zone(zone.as_str()) else { return IndexMap::new() };
    if nodes.is_empty() {
        return IndexMap::new();
    }
    let local: Vec<_> =
        topology.servers().map(|(_, entry)| entry).filter(|entry| entry.zone == zone_key).collect();
    let mut builder = AssignmentBuilder::new(nodes, local.len());
    for entry in local {
        builder.place(&entry.name, entry.service);
    }
    builder
        .placements
        .into_iter()
        .map(|placement| (placement.server.clone(), nodes[placement.node_idx].clone()))
        .collect()
}

/// Intermediate state of one assignment.
struct AssignmentBuilder<'a> {
    nodes: &'a [NodeName],
    share: usize,
    loads: Vec<usize>,
    replicas: IndexSet<(ServiceKey, usize)>,
    placements: Vec<Placement<'a>>,
}

struct Placement<'a> {
    server: &'a ServerName,
    service: ServiceKey,
    node_idx: usize,
}

impl<'a> AssignmentBuilder<'a> {
    fn new(nodes: &'a [NodeName], servers: usize) -> Self {
        let share = servers.div_ceil(nodes.len());
        let loads = vec![0; nodes.len()];
        Self { nodes, share, loads, replicas: IndexSet::new(), placements: Vec::new() }
    }

    fn place(&mut self, server: &'a ServerName, service: ServiceKey) {
        let mut best = (false, Reverse(usize::MAX), 0, 0);
        for (node_idx, node) in self.nodes.iter().enumerate() {
            let excess = (self.loads[node_idx] + 1).saturating_sub(self.share);
            let apart = self.is_apart(service, node_idx);
            best = best.max((apart, Reverse(excess), score(server.as_str(), node), node_idx));
        }
        let (_, Reverse(excess), _, node_idx) = best;
        if excess > 0 {
            self.offload_server(node_idx);
        }
        self.loads[node_idx] += 1;
        self.replicas.insert((service, node_idx));
        self.placements.push(Placement { server, service, node_idx });
    }

    fn is_apart(&self, service: ServiceKey, node_idx: usize) -> bool {
        !self.replicas.contains(&(service, node_idx))
    }

    /// Moves one server of the node `from` to a node below its share, if there is
    /// one that has no replica of the same service.
    fn offload_server(&mut self, from: usize) {
        for idx in 0..self.placements.len() {
            let Placement { service, node_idx, .. } = self.placements[idx];
            if node_idx != from {
                continue;
            }
            let has_capacity = |to: &usize| self.loads[*to] < self.share;
            let mut candidates = (0..self.nodes.len()).filter(has_capacity);
            let Some(to) = candidates.find(|to| self.is_apart(service, *to)) else { continue };
            self.placements[idx].node_idx = to;
            self.replicas.swap_remove(&(service, from));
            self.replicas.insert((service, to));
            self.loads[from] -= 1;
            self.loads[to] += 1;
            return;
        }
    }
}
