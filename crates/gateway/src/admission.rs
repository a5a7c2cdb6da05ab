//! Decides at its arrival whether work can be done: searches of callers, and requests of
//! nodes that have lost their links.

use std::time::Duration;

use carobstep_clock::BootTime;
use carobstep_tier::{FanoutPlan, SearchDemand, SearchRefusal};
use rand::RngExt;

use crate::{gateway::Gateway, report::RelayAdmission};

impl Gateway {
    /// Decides at its arrival whether a search can still be served.
    pub(crate) fn admit_search(
        &self,
        plan: &FanoutPlan,
        priority: u32,
    ) -> Result<(), SearchRefusal> {
        let state = &mut *self.state.borrow_mut();
        let demand = SearchDemand {
            services: &plan.services,
            min_shards: plan.min_shards,
            attempts: plan.attempts,
            priority,
            is_cautious: plan.is_cautious,
            deadline: plan.deadline,
        };
        let draw = rand::rng().random_range(0.0..1.0);
        state.admission.admit(BootTime::now(), &state.fleet, demand, draw)
    }

    /// Takes on a request of a node that has lost its links to the servers of `shards`
    /// shards, if there is room for it; fails with the time until there is.
    pub(crate) fn take_relayed(&self, shards: usize, priority: u32) -> Result<(), Duration> {
        let state = &mut *self.state.borrow_mut();
        let seconds = state.peers.own().shard_seconds() * shards as f64;
        let admission = state.room.try_take(BootTime::now(), seconds, priority);
        let outcome = if admission.is_ok() { RelayAdmission::Taken } else { RelayAdmission::Full };
        self.reporter.count_relayed(outcome);
        admission
    }
}
