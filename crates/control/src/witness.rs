//! The witness's side of a lease: for whom a node vouches.

use std::collections::BTreeMap;

/// What a node remembers of the leases that were closed.
///
/// A node that was told that a lease is closed never vouches for it again. A
/// node that just started has forgotten what it was told, so it vouches for
/// nobody until it has read the leases from the platform once.
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
    /// Records that the incarnation of `node`, and all before it, are closed.
    pub fn record_closed(&mut self, node: N, incarnation: u64) {
        let last = self.closed.entry(node).or_insert(incarnation);
        *last = (*last).max(incarnation);
    }

    /// Records that every lease was read since the start.
    pub fn mark_leases_read(&mut self) {
        self.leases_read = true;
    }

    /// Whether every lease was read since the start.
    #[must_use]
    pub const fn has_read_leases(&self) -> bool {
        self.leases_read
    }

    /// Whether the node vouches for the incarnation of `node`.
    #[must_use]
    pub fn vouches(&self, node: &N, incarnation: u64) -> bool {
        let closed = self.closed.get(node).is_some_and(|last| *last >= incarnation);
        self.leases_read && !closed
    }
}
