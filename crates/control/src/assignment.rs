//! Which node of a zone should hold which backend server.

use carobstep_config::{NodeName, ServerName, ServiceKey, Topology, ZoneName};
use indexmap::{IndexMap, IndexSet};
use xxhash_rust::xxh3::xxh3_64;

/// Score of a node for a key in rendezvous hashing (Thaler and Ravishankar
/// 1998); the highest score wins.
pub(crate) fn score(key: &str, node: &NodeName) -> u64 {
    let mut bytes = Vec::with_capacity(key.len() + 1 + node.as_str().len());
    bytes.extend_from_slice(key.as_bytes());
    bytes.push(0);
    bytes.extend_from_slice(node.as_str().as_bytes());
    xxh3_64(&bytes)
}

/// The `count` nodes with the highest scores for `key`.
pub(crate) fn top_nodes(key: &str, nodes: &[NodeName], count: usize) -> Vec<NodeName> {
    let mut ranked: Vec<&NodeName> = nodes.iter().collect();
    ranked.sort_by_key(|node| std::cmp::Reverse(score(key, node)));
    ranked.into_iter().take(count).cloned().collect()
}

/// Assigns every backend server of `zone` to one of `nodes`.
///
/// Each server goes to the node with the highest rendezvous score among those
/// that have room: no node gets more than its even share, rounded up, and the
/// replicas of a service go to different nodes while there are enough. All
/// nodes that see the same topology and the same nodes compute the same.
#[must_use]
pub fn assign_servers(
    topology: &Topology,
    zone: &ZoneName,
    nodes: &[NodeName],
) -> IndexMap<ServerName, NodeName> {
    let mut assignment = IndexMap::new();
    let Some(zone_key) = topology.find_zone(zone.as_str()) else { return assignment };
    if nodes.is_empty() {
        return assignment;
    }
    let local: Vec<_> =
        topology.servers().map(|(_, entry)| entry).filter(|entry| entry.zone == zone_key).collect();
    let mut desk = AssignmentDesk::new(nodes, local.len());
    for entry in local {
        let node = desk.place(&entry.name, entry.service);
        assignment.insert(entry.name.clone(), node);
    }
    assignment
}

/// Work in progress of one assignment.
struct AssignmentDesk<'a> {
    nodes: &'a [NodeName],
    share: usize,
    loads: Vec<usize>,
    replicas: IndexSet<(ServiceKey, usize)>,
}

impl<'a> AssignmentDesk<'a> {
    fn new(nodes: &'a [NodeName], servers: usize) -> Self {
        let share = servers.div_ceil(nodes.len());
        Self { nodes, share, loads: vec![0; nodes.len()], replicas: IndexSet::new() }
    }

    fn place(&mut self, server: &ServerName, service: ServiceKey) -> NodeName {
        let mut best = (false, false, 0, 0);
        for (at, node) in self.nodes.iter().enumerate() {
            let has_room = self.loads[at] < self.share;
            let is_apart = !self.replicas.contains(&(service, at));
            best = best.max((has_room, is_apart, score(server.as_str(), node), at));
        }
        let (_, _, _, at) = best;
        self.loads[at] += 1;
        self.replicas.insert((service, at));
        self.nodes[at].clone()
    }
}
