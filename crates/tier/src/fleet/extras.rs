//! Extra requests: what first requests earn, and what the nodes of an availability zone share
//! by demand.

use std::sync::Arc;

use carobstep_clock::BootTime;

use super::{ServerFleet, ServiceKey, hash_fraction};
use crate::shares::ExtraPool;

/// Extra requests since the start of the process.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ExtraUse {
    /// Extra requests that the retry budget paid for.
    pub paid: u64,
    /// Times that it could not pay for one.
    pub refused: u64,
    /// Tokens that this node got from pools.
    pub pooled: u64,
}

impl ServerFleet {
    /// Sets the part of the retry budget of each service that the nodes of a zone share by
    /// demand; `None` divides it equally among all nodes.
    pub fn set_extra_pool(&mut self, pool: Option<ExtraPool>) {
        if self.extra_pool == pool {
            return;
        }
        self.extra_pool = pool;
        self.set_limits(self.limits);
    }

    /// Returns the part of the retry budgets that nodes share by demand, if there is one.
    #[must_use]
    pub const fn extra_pool(&self) -> Option<ExtraPool> {
        self.extra_pool
    }

    /// Returns how extra requests were paid for so far.
    #[must_use]
    pub const fn extra_use(&self) -> ExtraUse {
        self.extra_use
    }

    /// Returns whether requests lack tokens of a pool.
    #[must_use]
    pub const fn lacks_extra_tokens(&self) -> bool {
        self.lacks_extra
    }

    /// Returns the services for which tokens are to be asked for, with their number, and
    /// counts the demand anew.
    pub fn extra_asks(&mut self, now: BootTime) -> Vec<(Arc<str>, u32)> {
        self.lacks_extra = false;
        let mut asks = Vec::new();
        for (name, key) in &self.service_names {
            let Some(service) = self.services.get_mut(*key) else { continue };
            let tokens = service.budget.ask(now);
            if tokens > 0 {
                asks.push((name.clone(), tokens));
            }
        }
        asks
    }

    /// Adds tokens for a service that were granted when `asked` were asked for at `asked_at`.
    pub fn add_extra_tokens(
        &mut self,
        now: BootTime,
        asked_at: BootTime,
        service: &str,
        (asked, granted): (u32, u32),
    ) {
        let Some(key) = self.service_names.get(service) else { return };
        let Some(state) = self.services.get_mut(*key) else { return };
        state.budget.add(now, asked_at, asked, granted);
        self.extra_use.pooled += u64::from(granted);
    }

    /// Credits the service's retry budget for a first request. `fraction` is the part
    /// of the credit that this node gets; for delegated shards two nodes share it.
    pub fn earn_extra(&mut self, now: BootTime, service: ServiceKey, fraction: f64) {
        if let Some(state) = self.services.get_mut(service) {
            state.budget.earn(now, fraction);
        }
    }

    /// Returns whether the service's retry budget is likely to pay for an extra request
    /// by `deadline`.
    #[must_use]
    pub fn expects_extra(&self, now: BootTime, service: ServiceKey, deadline: BootTime) -> bool {
        self.services.get(service).is_some_and(|state| state.budget.expects(now, deadline))
    }

    /// Takes one extra request from the service's retry budget; returns `false` if the
    /// budget is exhausted. With less than one request left, the result is random.
    pub fn try_take_extra(&mut self, now: BootTime, service: ServiceKey) -> bool {
        let Some(state) = self.services.get_mut(service) else { return false };
        self.draws = self.draws.wrapping_add(1);
        let chance = hash_fraction(self.seed, self.draws);
        let is_taken = state.budget.try_take(now, chance);
        if is_taken {
            self.extra_use.paid += 1;
        } else {
            self.extra_use.refused += 1;
            self.lacks_extra = self.extra_pool.is_some();
        }
        is_taken
    }
}
