//! Witness of other nodes' leases: which incarnations a node vouches for.

use std::collections::BTreeMap;

/// Closed leases that a node knows of.
///
/// A node that was notified that a lease is closed never vouches for it again.
/// Notifications are not kept across a restart, so a node vouches for no lease
/// until it has read all leases from the platform.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct LeaseWitness<N> {
    leases_read: bool,
    closed: BTreeMap<N, u64>,
}

impl<N: Clone + Ord> Default for LeaseWitness<N> {
    fn default() -> Self {
        Self { leases_read: false, closed: BTreeMap::new() }
    }
}

impl<N: Clone + Ord> LeaseWitness<N> {
    /// Records that `incarnation` of `node` and all earlier ones are closed.
    pub fn record_closed(&mut self, node: N, incarnation: u64) {
        let last = self.closed.entry(node).or_insert(incarnation);
        *last = (*last).max(incarnation);
    }

    /// Records that all leases have been read since the start of the process.
    pub fn mark_leases_read(&mut self) {
        self.leases_read = true;
    }

    /// Whether all leases have been read since the start of the process.
    #[must_use]
    pub const fn has_read_leases(&self) -> bool {
        self.leases_read
    }

    /// Whether this node vouches for `incarnation` of `node`.
    #[must_use]
    pub fn vouches(&self, node: &N, incarnation: u64) -> bool {
        let closed = self.closed.get(node).is_some_and(|last| *last >= incarnation);
        self.leases_read && !closed
    }
}
