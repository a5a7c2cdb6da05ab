//! Failures of servers that the nodes of a zone tell each other.

use std::sync::Arc;

use carobstep_clock::BootTime;
use indexmap::IndexMap;

use super::{ServerFleet, ServerKey, ServiceKey};
use crate::observations::{FailureOdds, ServerObservation, ServerTrouble};

impl ServerFleet {
    /// Returns the attempts since the last call at the servers that have failed lately.
    pub fn take_observations(&mut self, now: BootTime) -> Vec<ServerObservation<Arc<str>>> {
        let mut reports = Vec::new();
        for server in self.servers.values_mut() {
            if server.trouble.has_failed(now) {
                reports.extend(server.trouble.take_report(now, &server.entry.id));
            }
        }
        reports
    }

    /// Returns the number of servers that have failed lately, here or at other nodes of the
    /// zone.
    #[must_use]
    pub fn failing_servers(&self, now: BootTime) -> usize {
        self.servers.values().filter(|server| server.trouble.has_failed(now)).count()
    }

    /// Applies the attempts of all nodes of the zone at the servers that fail; those
    /// that failed before count as sound.
    pub fn apply_observations(&mut self, now: BootTime, failing: &[ServerObservation<Arc<str>>]) {
        let failing: IndexMap<_, _> = failing.iter().map(|it| (&it.server, it)).collect();
        for server in self.servers.values_mut() {
            let observation = failing.get(&server.entry.id).copied();
            if observation.is_some() || server.trouble.is_told(now) {
                server.trouble.set_zone(now, observation);
            }
        }
    }

    /// Returns the probabilities that an attempt at a server fails.
    #[must_use]
    pub fn failure_odds(&self, now: BootTime, key: ServerKey) -> FailureOdds {
        self.servers.get(key).map(|server| server.trouble.odds(now)).unwrap_or_default()
    }

    /// Returns the probabilities that an attempt fails at the servers of a service that accept
    /// requests: none while one of them is sound.
    #[must_use]
    pub fn service_failure_odds(&self, now: BootTime, service: ServiceKey) -> FailureOdds {
        let keys = self.servers_of(service).iter();
        let available = keys.filter(|key| self.accepts_requests(now, **key));
        let servers = available.filter_map(|key| self.servers.get(*key));
        ServerTrouble::joint_odds(now, servers.map(|server| &server.trouble))
    }

    /// Returns the number of extra requests that the retry budget of a service is likely to
    /// pay for by `deadline`.
    #[must_use]
    pub fn expected_extra(&self, now: BootTime, service: ServiceKey, deadline: BootTime) -> f64 {
        let state = self.services.get(service);
        state.map_or(0.0, |state| state.budget.expected_tokens(now, deadline))
    }
}
