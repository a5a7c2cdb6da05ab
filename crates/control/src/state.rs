//! The control state of one node.

use carobstep_clock::BootTime;
use carobstep_config::{NodeName, ServerName};
use carobstep_wire::{PeerRecord, RefusalReason};

use crate::{
    event::{ControlEffect, ControlEvent, Route},
    lease::{LeaseGuard, LeaseState},
    options::ControlOptions,
};

/// The control side of one node: membership, lease, grants and configuration.
#[derive(Debug)]
pub struct ControlState {
    options: ControlOptions,
    guard: LeaseGuard<NodeName>,
    wakeup: BootTime,
}

impl ControlState {
    /// A node that starts at `now`; its first wakeup is at once.
    #[must_use]
    pub fn new(options: ControlOptions, now: BootTime) -> Self {
        let guard = LeaseGuard::new(options.node.clone());
        Self { options, guard, wakeup: now }
    }

    /// Takes in an event and appends what has to be done.
    pub fn handle(
        &mut self,
        now: BootTime,
        event: ControlEvent,
        _effects: &mut Vec<ControlEffect>,
    ) {
        match event {
            ControlEvent::Stop => drop(event),
            _ => self.wakeup = now + self.options.gossip.interval,
        }
    }

    /// When the next [`ControlEvent::Tick`] is due.
    #[must_use]
    pub const fn next_wakeup(&self) -> BootTime {
        self.wakeup
    }

    /// Whether a request to a held server may start at `now`.
    ///
    /// Returns the epoch of the grant.
    ///
    /// # Errors
    ///
    /// Names the reason for which the request must not start.
    pub fn may_dispatch(&self, now: BootTime, _server: &ServerName) -> Result<u64, RefusalReason> {
        if !self.guard.may_dispatch(now, &self.options.lease) {
            return Err(RefusalReason::LeaseLapsed);
        }
        Err(RefusalReason::NotHolder)
    }

    /// Where requests to a backend server go.
    #[must_use]
    pub fn holder_of(&self, _server: &ServerName) -> Option<Route> {
        None
    }

    /// Live nodes, the node itself left out.
    pub fn live_peers(&self, _now: BootTime) -> impl Iterator<Item = &PeerRecord> {
        [].into_iter()
    }

    /// Backend servers that take no new requests.
    pub fn leaving_servers(&self) -> impl Iterator<Item = &ServerName> {
        [].into_iter()
    }

    /// Grants that the node holds, with their epochs.
    pub fn held_grants(&self) -> impl Iterator<Item = (&ServerName, u64)> {
        [].into_iter()
    }

    /// State of the own lease.
    #[must_use]
    pub const fn lease_state(&self) -> LeaseState {
        self.guard.state()
    }

    /// Incarnation of the node.
    #[must_use]
    pub const fn incarnation(&self) -> u64 {
        self.options.incarnation
    }
}
