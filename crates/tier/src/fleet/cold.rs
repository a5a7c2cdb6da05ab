//! Requests to servers that are cold and whose service limits them meanwhile.

use std::sync::Arc;

use carobstep_clock::BootTime;
use indexmap::IndexSet;

use super::{ServerFleet, ServerKey, ServiceKey};
use crate::{
    cold::{ColdAsk, ColdTerms},
    model::{ColdBounds, ServerIncarnation},
    quota::NodeShare,
    server_state::ServerState,
};

impl ServerFleet {
    /// Sets the tolerance of the limits on cold servers; `None` turns them off.
    #[must_use]
    pub const fn with_cold_bounds(mut self, bounds: Option<ColdBounds>) -> Self {
        self.cold_bounds = bounds;
        self
    }

    /// Returns how the tokens of a service's cold servers are handed out, if they are limited.
    fn cold_terms_of(&self, service: ServiceKey) -> Option<ColdTerms> {
        let rate = self.services.get(service)?.cold_rate?;
        Some(ColdTerms::new(rate, self.cold_bounds?))
    }

    /// Returns the zone of a server and how its tokens are handed out while it is cold, if its
    /// requests are limited then. Whether it is cold now is not asked: the sender may know
    /// better.
    #[must_use]
    pub fn cold_terms(&self, server: &ServerIncarnation) -> Option<(Arc<str>, ColdTerms)> {
        let state = self.servers.get(*self.server_ids.get(&server.id)?)?;
        if state.entry.born_ms != server.born_ms {
            return None;
        }
        Some((state.entry.zone.clone(), self.cold_terms_of(state.service)?))
    }

    /// Applies the limit on cold servers to a server whose service or state has changed.
    pub(super) fn limit_cold(&mut self, now: BootTime, key: ServerKey) {
        let service = self.servers.get(key).map(|server| server.service);
        let terms = service.and_then(|service| self.cold_terms_of(service));
        let Some(server) = self.servers.get_mut(key) else { return };
        if now >= server.cold_until {
            server.cold_quota = None;
            return;
        }
        let Some(terms) = terms else {
            server.cold_quota = None;
            return;
        };
        let is_same = server.cold_quota.as_ref().is_some_and(|it| it.rate == terms.rate());
        if !is_same {
            let quota = NodeShare::new(terms.rate()).with_lifetime(terms.lifetime);
            server.cold_quota = Some(quota);
        }
    }

    /// Applies the limit on cold servers to all servers.
    pub(super) fn limit_all_cold(&mut self, now: BootTime) {
        let keys: Vec<_> = self.servers.keys().collect();
        for key in keys {
            self.limit_cold(now, key);
        }
    }

    /// Returns whether a server is cold and its requests are limited for this reason.
    #[must_use]
    pub fn has_limited_cold(&self, now: BootTime) -> bool {
        self.servers.values().any(|server| server.cold_share(now).is_some())
    }

    /// Returns the requests for tokens for cold servers that are due, at least one for each
    /// zone with such servers, and counts the demand anew.
    pub fn cold_asks(&mut self, now: BootTime) -> Vec<ColdAsk> {
        let mut asks = Vec::new();
        let mut zones: IndexSet<Arc<str>> = IndexSet::new();
        for server in self.servers.values_mut() {
            let ServerState { entry, cold_quota, cold_until, .. } = server;
            let Some(quota) = cold_quota.as_mut().filter(|_| now < *cold_until) else { continue };
            let tokens = quota.ask(now);
            if zones.insert(entry.zone.clone()) || tokens > 0 {
                asks.push(ColdAsk { server: (&*entry).into(), zone: entry.zone.clone(), tokens });
            }
        }
        asks
    }

    /// Adds the tokens that were granted for a request of `asked_at`.
    pub fn add_cold_tokens(
        &mut self,
        now: BootTime,
        asked_at: BootTime,
        ask: &ColdAsk,
        granted: u32,
    ) {
        let Some(key) = self.server_ids.get(&ask.server.id) else { return };
        let Some(server) = self.servers.get_mut(*key) else { return };
        if server.entry.born_ms != ask.server.born_ms || ask.tokens == 0 {
            return;
        }
        if let Some(quota) = &mut server.cold_quota {
            quota.add(now, asked_at, ask.tokens, granted);
        }
    }
}
