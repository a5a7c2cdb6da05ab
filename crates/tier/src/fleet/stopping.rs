//! What a stopping node knows of the time that requests still take at servers.

use carobstep_clock::BootTime;

use super::{ServerFleet, ServerKey, ServiceKey};
use crate::{
    server_state::ServerState,
    stopping::{RequestTerms, StopHorizon, WorkDemand},
};

impl ServerFleet {
    /// Records when the node sends its last responses.
    pub const fn set_horizon(&mut self, horizon: StopHorizon) {
        self.horizon = horizon;
    }

    /// Returns when the node sends its last responses, if it is stopping.
    #[must_use]
    pub const fn horizon(&self) -> StopHorizon {
        self.horizon
    }

    /// Returns whether a request that is passed on to a server now can end before the node
    /// exits.
    #[must_use]
    pub fn can_end_at(&self, now: BootTime, terms: RequestTerms, server: ServerKey) -> bool {
        let servers = self.servers.get(server).into_iter();
        !self.horizon.is_stopping() || self.horizon.admits(now, self.demand_of(terms, servers))
    }

    /// Returns whether a request that finds all servers of a service busy can end before the
    /// node exits, if it gets the first slot that is free once each request in flight has
    /// ended.
    pub(crate) fn can_end_after_wait(
        &self,
        now: BootTime,
        terms: RequestTerms,
        service: ServiceKey,
    ) -> bool {
        if !self.horizon.is_stopping() {
            return true;
        }
        let servers = self.servers_of(service).iter().filter_map(|key| self.servers.get(*key));
        let available = servers.filter(|server| self.is_available(now, server));
        self.horizon.admits(now, self.demand_of(terms, available))
    }

    /// Returns whether a request that is passed on to another node now can end before this
    /// one exits.
    pub(crate) fn can_end_at_peer(&self, now: BootTime, terms: RequestTerms) -> bool {
        !self.horizon.is_stopping()
            || self.horizon.admits_at_peer(now, self.demand_of(terms, std::iter::empty()))
    }

    /// Returns what a request needs that is executed by one of `servers`, after the requests
    /// of this node that are in flight there.
    fn demand_of<'fleet>(
        &self,
        terms: RequestTerms,
        servers: impl Iterator<Item = &'fleet ServerState>,
    ) -> WorkDemand {
        let (mut in_flight, mut slots) = (0, 0);
        for server in servers {
            in_flight += server.in_flight;
            slots += server.entry.slots;
        }
        WorkDemand {
            retry: terms.retry,
            deadline: terms.deadline,
            work: self.classes.work(terms.class),
            rounds: 1 + in_flight / slots.max(1),
        }
    }
}
