//! Static split of slots and connections, which is measured against holders.

use std::cmp::Reverse;

use carobstep_config::{NodeName, ServerName, Settings};
use carobstep_control::ServerRoute;
use xxhash_rust::xxh3::xxh3_64;

use crate::holder::ServerLimits;

/// A node's share of every backend server in a static split.
///
/// Slot k of a server belongs to the node with rank k in rendezvous order
/// (Thaler and Ravishankar 1998) over all nodes; with more slots than nodes the
/// ranks begin again.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StaticSplit {
    node: NodeName,
    nodes: Vec<NodeName>,
}

impl StaticSplit {
    /// A split over `nodes`, seen by `node`.
    #[must_use]
    pub const fn new(node: NodeName, nodes: Vec<NodeName>) -> Self {
        Self { node, nodes }
    }

    /// The split that a daemon's settings ask for.
    pub(crate) fn of(settings: &Settings) -> Option<Self> {
        let split = settings.split.as_ref()?;
        Some(Self::new(settings.node.clone(), split.nodes.clone()))
    }

    /// Slots of a server that belong to this node, out of `slots`.
    #[must_use]
    pub fn share(&self, server: &ServerName, slots: u16) -> u16 {
        let mut ranked: Vec<&NodeName> = self.nodes.iter().collect();
        ranked.sort_by_key(|node| Reverse(score(server, node)));
        let owners = ranked.into_iter().cycle().take(usize::from(slots));
        let own = owners.filter(|owner| **owner == self.node).count();
        u16::try_from(own).unwrap_or(slots)
    }

    /// This node's part of a server's limits, if it has any.
    pub(crate) fn limits(&self, server: &ServerName, whole: ServerLimits) -> Option<ServerLimits> {
        let slots = self.share(server, whole.slots);
        if slots == 0 {
            return None;
        }
        let part = u32::from(whole.connections) * u32::from(slots) / u32::from(whole.slots);
        let connections = u16::try_from(part).unwrap_or(whole.connections).max(slots);
        Some(ServerLimits { slots, connections, ..whole })
    }
}

/// The route of a server that this node has a share of.
pub(crate) fn own_route(settings: &Settings) -> ServerRoute {
    ServerRoute { node: settings.node.clone(), address: settings.peers, epoch: 0, incarnation: 0 }
}

fn score(server: &ServerName, node: &NodeName) -> u64 {
    // A zero byte stands in no name, so that no two pairs have the same text.
    xxh3_64(format!("{server}\0{node}").as_bytes())
}
