//! Static split of slots and connections over all nodes: the baseline that
//! grants are compared with.

use std::cmp::Reverse;

use carobstep_config::{NodeName, ServerName, Settings};
use carobstep_control::ServerRoute;
use xxhash_rust::xxh3::xxh3_64;

use crate::holder::ServerLimits;

/// A node's share of every backend server in a static split.
///
/// Nodes are ranked for each server by rendezvous hashing (Thaler and
/// Ravishankar 1998). Slot k belongs to the node of rank k; with more slots than
/// nodes, the assignment starts again at the first rank.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StaticSplit {
    node: NodeName,
    nodes: Vec<NodeName>,
}

impl StaticSplit {
    /// Builds the share of `node` in a split over `nodes`.
    #[must_use]
    pub const fn new(node: NodeName, nodes: Vec<NodeName>) -> Self {
        Self { node, nodes }
    }

    /// Returns the split that the settings specify, if any.
    pub(crate) fn from_settings(settings: &Settings) -> Option<Self> {
        let split = settings.split.as_ref()?;
        Some(Self::new(settings.node.clone(), split.nodes.clone()))
    }

    /// Returns how many of a server's `slots` belong to this node.
    #[must_use]
    pub fn share(&self, server: &ServerName, slots: u16) -> u16 {
        let mut ranked: Vec<&NodeName> = self.nodes.iter().collect();
        ranked.sort_by_key(|node| Reverse(score(server, node)));
        let owners = ranked.into_iter().cycle().take(usize::from(slots));
        let own_slots = owners.filter(|owner| **owner == self.node).count();
        u16::try_from(own_slots).unwrap_or(slots)
    }

    /// Returns this node's share of a server's limits, or `None` without a slot.
    pub(crate) fn limits(&self, server: &ServerName, total: ServerLimits) -> Option<ServerLimits> {
        let slots = self.share(server, total.slots);
        if slots == 0 {
            return None;
        }
        let share = u32::from(total.connections) * u32::from(slots) / u32::from(total.slots);
        let connections = u16::try_from(share).unwrap_or(total.connections).max(slots);
        Some(ServerLimits { slots, connections, ..total })
    }
}

/// Returns the route to this node, for a server of which it has slots.
pub(crate) fn own_route(settings: &Settings) -> ServerRoute {
    ServerRoute { node: settings.node.clone(), address: settings.peers, epoch: 0, incarnation: 0 }
}

fn score(server: &ServerName, node: &NodeName) -> u64 {
    // Names contain no zero byte, so two different pairs never give the same text.
    xxh3_64(format!("{server}\0{node}").as_bytes())
}
