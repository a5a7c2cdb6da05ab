//! Requests to servers that limit them: tokens, and when one can be expected.
//!
//! Answers loads that exceed the limits of all servers of a service: as many requests
//! wait as will get a token in time, in the order of their arrival, and the others are
//! refused at once.

use std::{sync::Arc, time::Duration};

use carobstep_clock::BootTime;
use indexmap::IndexSet;

use super::{PickScope, ServerFleet, ServerKey, ServiceKey};
use crate::{
    limits::{LimitRecord, LimitUpdate},
    model::{LimitNotice, RequestRate, ServerIncarnation},
    quota::{NodeShare, QuotaAsk},
    server_state::ServerState,
};

/// Longest time after which refused callers are asked to return one after the other.
const MAX_RETURN_SPAN: Duration = Duration::from_secs(2);

/// Change of the limit that a server names.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LimitChange {
    /// The server names another limit than before, or a limit for the first time.
    Named(RequestRate),
    /// The server no longer names a limit.
    Ended {
        /// Attempts of this node while it knew of the limit.
        attempts: u64,
    },
}

/// Which requests may use servers that limit them.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum LimitedUse {
    /// A request for which a token is free that no other request waits for.
    #[default]
    Free,
    /// A request that has waited for a token.
    Awaited,
    /// No request: it is an extra one.
    Avoided,
}

impl ServerFleet {
    /// Records what the response to a request that was sent at `sent` says about a limit;
    /// returns the change, if it is one.
    pub fn observe_limit(
        &mut self,
        now: BootTime,
        sent: BootTime,
        server: &ServerIncarnation,
        notice: LimitNotice,
    ) -> Option<LimitChange> {
        let record = self.limit_table.observe(now, sent, server, notice)?;
        self.apply_limit(&record)
    }

    /// Applies limits that a peer knows of; returns those that are news.
    pub fn merge_limits(
        &mut self,
        now: BootTime,
        records: &[LimitRecord],
    ) -> Vec<(ServerIncarnation, LimitChange)> {
        let mut changes = Vec::new();
        for record in records {
            if !self.limit_table.merge(now, record) {
                continue;
            }
            if let Some(change) = self.apply_limit(record) {
                changes.push((record.server.clone(), change));
            }
        }
        changes
    }

    fn apply_limit(&mut self, record: &LimitRecord) -> Option<LimitChange> {
        let key = self.server_ids.get(&record.server.id)?;
        let server = self.servers.get_mut(*key)?;
        if server.entry.born_ms != record.server.born_ms {
            return None;
        }
        match (record.rate, &mut server.quota) {
            (Some(rate), Some(quota)) => {
                quota.set_rate(rate);
                Some(LimitChange::Named(rate))
            }
            (Some(rate), quota) => {
                *quota = Some(NodeShare::new(rate));
                Some(LimitChange::Named(rate))
            }
            (None, quota) => {
                let NodeShare { attempts, .. } = quota.take()?;
                Some(LimitChange::Ended { attempts })
            }
        }
    }

    /// Returns the number of the last change of a limit.
    #[must_use]
    pub const fn last_limit_change(&self) -> u64 {
        self.limit_table.last_change()
    }

    /// Returns the records of limits that have changed after change `number`.
    #[must_use]
    pub fn limits_after(&self, number: u64) -> LimitUpdate {
        self.limit_table.updates_after(number)
    }

    /// Returns the record of a server's limit, if it is known to have named one.
    #[must_use]
    pub fn limit_record(&self, server: &ServerIncarnation) -> Option<&LimitRecord> {
        self.limit_table.record_of(server)
    }

    /// Returns whether a server limits its requests.
    #[must_use]
    pub fn is_limited(&self, now: BootTime, key: ServerKey) -> bool {
        self.servers.get(key).is_some_and(|server| server.is_limited(now))
    }

    /// Returns whether any server names a limit on its requests.
    #[must_use]
    pub fn has_limits(&self) -> bool {
        self.limit_table.has_limits()
    }

    /// Returns the number of servers that limit their requests.
    #[must_use]
    pub fn limited_servers(&self, now: BootTime) -> usize {
        self.servers.values().filter(|server| server.is_limited(now)).count()
    }

    /// Returns the zones that have servers which limit their requests.
    #[must_use]
    pub fn limited_zones(&self) -> IndexSet<Arc<str>> {
        let limited = self.servers.values().filter(|server| server.quota.is_some());
        limited.map(|server| server.entry.zone.clone()).collect()
    }

    /// Returns the requests for tokens that are due, and counts the demand anew.
    pub fn token_asks(&mut self, now: BootTime) -> Vec<QuotaAsk> {
        let mut asks = Vec::new();
        for server in self.servers.values_mut() {
            let Some(quota) = &mut server.quota else { continue };
            let ServerState { entry, .. } = server;
            let incarnation = ServerIncarnation { id: entry.id.clone(), born_ms: entry.born_ms };
            let Some(record) = self.limit_table.record_of(&incarnation) else { continue };
            let tokens = quota.ask(now);
            if tokens > 0 {
                asks.push(QuotaAsk { record: record.clone(), zone: entry.zone.clone(), tokens });
            }
        }
        asks
    }

    /// Adds the tokens that were granted for a request of `asked_at`.
    pub fn add_tokens(&mut self, now: BootTime, asked_at: BootTime, ask: &QuotaAsk, granted: u32) {
        let Some(key) = self.server_ids.get(&ask.record.server.id) else { return };
        let Some(server) = self.servers.get_mut(*key) else { return };
        if server.entry.born_ms != ask.record.server.born_ms {
            return;
        }
        if let Some(quota) = &mut server.quota {
            quota.add(now, asked_at, ask.tokens, granted);
        }
    }

    /// Returns when one more request to a service can expect a token, after those that wait
    /// already; `None` if there is one for it, or if a server of the service needs none.
    #[must_use]
    pub fn token_due(
        &self,
        now: BootTime,
        service: ServiceKey,
        scope: PickScope<'_>,
    ) -> Option<BootTime> {
        let state = self.services.get(service)?;
        let mut tokens = 0;
        let mut rate = None;
        for key in &state.servers {
            let Some(server) = self.servers.get(*key) else { continue };
            if !self.is_available(now, server) || !scope.is_allowed(*key) {
                continue;
            }
            // The strictest limit decides.
            tokens += server.limits(now).map(|it| it.tokens(now)).min()?;
            let least = server.limits(now).map(|it| it.expected_rate(now)).reduce(f64::min)?;
            rate = Some(rate.unwrap_or(0.0) + least);
        }
        if tokens > state.waiting {
            return None;
        }
        let seconds = f64::from(state.waiting + 1) / rate?;
        Some(now + Duration::try_from_secs_f64(seconds).unwrap_or(Duration::MAX))
    }

    /// Counts a request that waits for a token.
    pub fn start_waiting(&mut self, service: ServiceKey) {
        if let Some(state) = self.services.get_mut(service) {
            state.waiting += 1;
        }
    }

    /// Counts a request that no longer waits for a token.
    pub fn stop_waiting(&mut self, service: ServiceKey) {
        if let Some(state) = self.services.get_mut(service) {
            state.waiting = state.waiting.saturating_sub(1);
        }
    }

    /// Counts a request that is refused because no server of a service has a token for it.
    pub fn count_refused(&mut self, now: BootTime, service: ServiceKey, scope: PickScope<'_>) {
        let Some(state) = self.services.get(service) else { return };
        for key in &state.servers {
            let server = self.servers.get_mut(*key).filter(|_| scope.is_allowed(*key));
            for quota in server.into_iter().flat_map(|server| server.limits_mut(now)) {
                quota.miss();
            }
        }
    }

    /// Returns when a caller that is refused now should return to find a token of one of
    /// the services. Callers that are refused at the same time return one after the other.
    pub fn book_return(&mut self, now: BootTime, services: &[ServiceKey]) -> Option<BootTime> {
        let mut latest = None;
        for service in services {
            let Some(due) = self.token_due(now, *service, PickScope::default()) else { continue };
            let Some(state) = self.services.get_mut(*service) else { continue };
            let interval = due.since(now) / (state.waiting + 1);
            let return_at = state.returns_until.max(due) + interval;
            state.returns_until = return_at.min(now + MAX_RETURN_SPAN);
            latest = latest.max(Some(state.returns_until));
        }
        latest
    }

    /// Returns whether a limit keeps a request from a server that `pick` considers.
    pub(super) fn lacks_token(
        &self,
        now: BootTime,
        server: &ServerState,
        limited: LimitedUse,
    ) -> bool {
        let Some(tokens) = server.limits(now).map(|it| it.tokens(now)).min() else { return false };
        let reserved = match limited {
            LimitedUse::Avoided => return true,
            LimitedUse::Awaited => 0,
            LimitedUse::Free => self.services.get(server.service).map_or(0, |it| it.waiting),
        };
        tokens <= reserved
    }
}
