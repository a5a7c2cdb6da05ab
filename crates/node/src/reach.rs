//! Which backend servers can be reached through the nodes that hold their grants.

use carobstep_config::ServiceKey;
use carobstep_wire::PeerHealth;
use indexmap::IndexSet;

/// Service of a backend server, and the health of the node that holds its grant.
#[derive(Clone, Copy, Debug)]
pub struct HeldServer {
    /// Service that the server belongs to.
    pub service: ServiceKey,
    /// Health of the holder; `None` if no node holds the grant.
    pub holder: Option<PeerHealth>,
}

/// Returns for each server whether requests may be sent to its holder.
///
/// A holder with an overdue probe may only be busy. It is avoided if another server of
/// the service has a holder that answers, but its servers do not count as missing if
/// they are the only ones.
#[must_use]
pub fn usable_servers(servers: &[HeldServer]) -> Vec<bool> {
    let mut reached = IndexSet::new();
    for server in servers {
        if server.holder == Some(PeerHealth::Reachable) {
            reached.insert(server.service);
        }
    }
    let mut usable = Vec::with_capacity(servers.len());
    for server in servers {
        usable.push(match server.holder {
            Some(PeerHealth::Reachable) => true,
            Some(PeerHealth::Suspect) => !reached.contains(&server.service),
            Some(PeerHealth::Unreachable) | None => false,
        });
    }
    usable
}
