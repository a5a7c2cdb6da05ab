//! Selection of a backend server for each attempt, based on the entry node's own observations.

mod condition;
mod service;
mod stats;

use std::{sync::Arc, time::Duration};

use carobstep_clock::BootTime;
use carobstep_config::{ConfigTopology, RepeatPolicy, ServerKey, ServerState, ServiceKey, ZoneKey};
use rand::{RngExt, SeedableRng, rngs::SmallRng};
use xxhash_rust::xxh3::xxh3_64_with_seed;

use service::ServiceStats;
use stats::ServerStats;

pub use condition::{ConditionEvent, ServerCondition};
pub use stats::{AttemptObservation, AttemptStatus};

/// Number of servers above which two of a service are sampled instead of comparing all.
const MAX_COMPARED_SERVERS: usize = 3;

/// Maximum random increase of a score, which breaks ties.
const TIE_JITTER: f64 = 0.02;

/// Kind of attempt that a server is selected for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptKind {
    /// The first attempt.
    First,
    /// An additional attempt while an earlier one is slow to answer.
    Hedge,
    /// Another attempt after a failed one.
    Retry,
}

/// Parameters of the selection of a server.
#[derive(Clone, Copy, Debug)]
pub struct PickRequest<'a> {
    /// The service whose servers are candidates.
    pub service: ServiceKey,
    /// Servers that the request has already tried.
    pub exclude: &'a [Option<ServerKey>],
    /// Kind of the attempt.
    pub kind: AttemptKind,
    /// The snapshot that the server must have, `None` if any.
    pub snapshot: Option<u64>,
    /// Identifier of the caller, which stays the same when the caller retries.
    pub caller_id: u64,
}

/// One entry node's view of all backend servers, with the budgets for hedges and retries.
#[derive(Clone, Debug)]
pub struct ServerRouter {
    topology: Arc<ConfigTopology>,
    local_zone_name: String,
    local_zone: Option<ZoneKey>,
    servers: Vec<ServerStats>,
    services: Vec<ServiceStats>,
    rng: SmallRng,
}

impl ServerRouter {
    /// Creates a router without observations; `seed` drives its sampling.
    #[must_use]
    pub fn new(topology: Arc<ConfigTopology>, local_zone: &str, seed: u64, now: BootTime) -> Self {
        let local_zone_name = local_zone.to_owned();
        let local_zone = topology.find_zone(local_zone);
        let servers =
            topology.servers().map(|(_, entry)| initial_stats(entry.state, now)).collect();
        let services =
            topology.services().map(|(_, entry)| ServiceStats::new(entry, now)).collect();
        Self {
            topology,
            local_zone_name,
            local_zone,
            servers,
            services,
            rng: SmallRng::seed_from_u64(seed),
        }
    }

    /// Returns the topology that the keys of this router belong to.
    #[must_use]
    pub const fn topology(&self) -> &Arc<ConfigTopology> {
        &self.topology
    }

    /// Changes the topology and keeps the observations of servers and services by name.
    pub fn set_topology(&mut self, now: BootTime, topology: Arc<ConfigTopology>) {
        let old = std::mem::replace(&mut self.topology, topology);
        self.local_zone = self.topology.find_zone(&self.local_zone_name);
        let mut servers = Vec::with_capacity(self.servers.len());
        for (_, entry) in self.topology.servers() {
            let old_key = old.find_server(entry.name.as_str());
            let Some(old_key) = old_key else {
                servers.push(initial_stats(entry.state, now));
                continue;
            };
            let mut stats = self.servers[old_key.index()].clone();
            apply_config_state(&mut stats, old.server(old_key).state, entry.state, now);
            servers.push(stats);
        }
        let mut services = Vec::with_capacity(self.services.len());
        for (_, entry) in self.topology.services() {
            let Some(old_key) = old.find_service(entry.name.as_str()) else {
                services.push(ServiceStats::new(entry, now));
                continue;
            };
            let mut stats = self.services[old_key.index()].clone();
            stats.set_entry(entry);
            services.push(stats);
        }
        self.servers = servers;
        self.services = services;
    }

    /// Changes the availability zone that this entry node is in.
    pub fn set_local_zone(&mut self, zone: &str) {
        self.local_zone_name = zone.to_owned();
        self.local_zone = self.topology.find_zone(zone);
    }

    /// Sets whether the server is usable, that is, a reachable node holds its grant.
    pub fn set_usable(&mut self, server: ServerKey, usable: bool) {
        self.servers[server.index()].usable = usable;
    }

    /// Sets whether the server is draining, according to any of the drain signals.
    pub fn set_leaving(&mut self, now: BootTime, server: ServerKey, leaving: bool) {
        let stats = &mut self.servers[server.index()];
        if leaving {
            stats.condition = stats.condition.after(ConditionEvent::Drained);
            return;
        }
        if stats.condition == ServerCondition::Leaving {
            stats.restart_ramp(now);
        }
        stats.condition = stats.condition.after(ConditionEvent::Restored);
    }

    /// Stores the load that the server's health endpoint reported.
    ///
    /// It counts only while the entry node has no recent observation of its own.
    pub fn set_load_hint(&mut self, server: ServerKey, load: f64) {
        self.servers[server.index()].set_load_hint(load);
    }

    /// Returns the condition of a server.
    #[must_use]
    pub fn condition(&self, server: ServerKey) -> ServerCondition {
        self.servers[server.index()].condition
    }

    /// Returns the number of this node's attempts in flight to the server.
    #[must_use]
    pub fn in_flight(&self, server: ServerKey) -> u32 {
        self.servers[server.index()].in_flight
    }

    /// Returns whether the service has servers and all of them are draining.
    #[must_use]
    pub fn all_leaving(&self, service: ServiceKey) -> bool {
        let servers = &self.topology.service(service).servers;
        !servers.is_empty()
            && servers.iter().all(|key| self.condition(*key) == ServerCondition::Leaving)
    }

    /// Selects a server and counts an attempt in flight to it until [`Self::observe`].
    pub fn pick(&mut self, now: BootTime, request: &PickRequest<'_>) -> Option<ServerKey> {
        let topology = Arc::clone(&self.topology);
        let servers = &topology.service(request.service).servers;
        let chosen = self
            .pick_probe(now, request, servers)
            .or_else(|| self.pick_by_caller(now, request, servers))
            .or_else(|| self.pick_best(now, request, servers))
            .or_else(|| self.pick_fallback(now, request, servers))?;
        let stats = &mut self.servers[chosen.index()];
        stats.in_flight += 1;
        Some(chosen)
    }

    /// Records the observation of a finished attempt that [`Self::pick`] counted.
    pub fn observe(&mut self, now: BootTime, server: ServerKey, observation: &AttemptObservation) {
        let service = self.topology.server(server).service;
        let best_replica_us = self.best_replica_us(service, server);
        let stats = &mut self.servers[server.index()];
        stats.in_flight = stats.in_flight.saturating_sub(1);
        if let Some(event) = stats.observe(now, observation, best_replica_us) {
            stats.condition = stats.condition.after(event);
        }
        self.services[service.index()].record(now, observation);
    }

    /// Returns the delay after which an attempt of the service is hedged.
    ///
    /// Returns [`Duration::MAX`] until there are enough observations.
    #[must_use]
    pub fn hedge_delay(&self, service: ServiceKey) -> Duration {
        self.services[service.index()].hedge_delay()
    }

    /// Counts a first attempt, which earns hedge and retry budget for the service.
    pub fn earn_budget(&mut self, service: ServiceKey) {
        self.services[service.index()].earn_budget();
    }

    /// Takes one hedge from the service's budget; returns whether it is allowed.
    pub fn try_take_hedge(&mut self, now: BootTime, service: ServiceKey) -> bool {
        let at_most_once = self.topology.service(service).repeat == RepeatPolicy::AtMostOnce;
        !at_most_once && self.services[service.index()].hedges.try_take(now)
    }

    /// Refunds the service's hedge budget for a hedge that caused no work on a server.
    pub fn refund_hedge(&mut self, service: ServiceKey) {
        self.services[service.index()].hedges.refund();
    }

    /// Takes one retry from the service's budget; returns whether it is allowed.
    pub fn try_take_retry(&mut self, now: BootTime, service: ServiceKey) -> bool {
        self.services[service.index()].retries.try_take(now)
    }
}

impl ServerRouter {
    /// Selects an ejected server whose probe is due.
    ///
    /// Only first attempts of services that allow repeated requests serve as probes.
    fn pick_probe(
        &mut self,
        now: BootTime,
        request: &PickRequest<'_>,
        servers: &[ServerKey],
    ) -> Option<ServerKey> {
        let at_most_once =
            self.topology.service(request.service).repeat == RepeatPolicy::AtMostOnce;
        if at_most_once || request.kind != AttemptKind::First {
            return None;
        }
        for server in servers {
            let stats = &mut self.servers[server.index()];
            if !stats.accepts_requests() || !stats.probe_due(now) {
                continue;
            }
            stats.on_probe_sent(now);
            return Some(*server);
        }
        None
    }

    /// Selects a fixed server for the caller while the service is overloaded.
    ///
    /// Uses rendezvous hashing of the caller with the slots as weights, so that a
    /// refused caller that retries through any entry node reaches the server that
    /// booked a retry time for it.
    fn pick_by_caller(
        &self,
        now: BootTime,
        request: &PickRequest<'_>,
        servers: &[ServerKey],
    ) -> Option<ServerKey> {
        let overloaded = self.services[request.service.index()].is_overloaded(now);
        if !overloaded || request.kind != AttemptKind::First {
            return None;
        }
        let mut best = None;
        let mut best_rank = f64::INFINITY;
        for server in servers {
            let stats = &self.servers[server.index()];
            let is_eligible =
                stats.accepts_requests() && stats.condition != ServerCondition::Ejected;
            if !is_eligible || stats.is_missing_snapshot(request.snapshot, now) {
                continue;
            }
            let entry = self.topology.server(*server);
            let hash = xxh3_64_with_seed(entry.name.as_str().as_bytes(), request.caller_id);
            let unit = (hash as f64 + 1.0) / (u64::MAX as f64 + 2.0);
            let rank = -unit.ln() / f64::from(entry.slots);
            if rank < best_rank {
                best_rank = rank;
                best = Some(*server);
            }
        }
        best
    }

    /// Selects the better of two sampled servers, or the best of all if there are few.
    fn pick_best(
        &mut self,
        now: BootTime,
        request: &PickRequest<'_>,
        servers: &[ServerKey],
    ) -> Option<ServerKey> {
        if servers.len() > MAX_COMPARED_SERVERS
            && let Some(server) = self.pick_sampled(now, request, servers)
        {
            return Some(server);
        }
        self.pick_lowest_score(now, request, servers, |stats| {
            stats.condition != ServerCondition::Ejected
        })
    }

    fn pick_sampled(
        &mut self,
        now: BootTime,
        request: &PickRequest<'_>,
        servers: &[ServerKey],
    ) -> Option<ServerKey> {
        let first = servers[self.rng.random_range(0..servers.len())];
        let second = servers[self.rng.random_range(0..servers.len())];
        if first == second {
            return None;
        }
        let pair = [first, second];
        self.pick_lowest_score(now, request, &pair, |stats| {
            stats.condition != ServerCondition::Ejected
        })
    }

    /// Selects the best server even among ejected ones and those missing the snapshot.
    fn pick_fallback(
        &mut self,
        now: BootTime,
        request: &PickRequest<'_>,
        servers: &[ServerKey],
    ) -> Option<ServerKey> {
        if request.kind == AttemptKind::Hedge {
            return None;
        }
        let any_snapshot = PickRequest { snapshot: None, ..*request };
        self.pick_lowest_score(now, &any_snapshot, servers, |_| true)
    }

    fn pick_lowest_score(
        &mut self,
        now: BootTime,
        request: &PickRequest<'_>,
        servers: &[ServerKey],
        is_candidate: impl Fn(&ServerStats) -> bool,
    ) -> Option<ServerKey> {
        let mean_latency_us = self.services[request.service.index()].mean_latency_us();
        let mut best = None;
        let mut best_score = f64::INFINITY;
        for server in servers {
            let stats = &self.servers[server.index()];
            if !stats.accepts_requests()
                || !is_candidate(stats)
                || stats.is_missing_snapshot(request.snapshot, now)
            {
                continue;
            }
            if request.exclude.contains(&Some(*server)) {
                continue;
            }
            if request.kind == AttemptKind::Hedge && !stats.accepts_hedge(now) {
                continue;
            }
            let entry = self.topology.server(*server);
            let is_local_zone = self.local_zone == Some(entry.zone);
            let jitter = 1.0 + TIE_JITTER * self.rng.random::<f64>();
            let score = stats.score(now, mean_latency_us, entry.slots, is_local_zone) * jitter;
            if score < best_score {
                best_score = score;
                best = Some(*server);
            }
        }
        best
    }

    /// Returns the smallest mean service time, in microseconds, among the service's other
    /// servers; zero if unknown.
    fn best_replica_us(&self, service: ServiceKey, server: ServerKey) -> f64 {
        let mut best_us = f64::INFINITY;
        for replica in &self.topology.service(service).servers {
            let stats = &self.servers[replica.index()];
            let known = stats.service_time.samples() >= stats::MIN_EJECT_SAMPLES;
            if *replica == server || !known || !stats.accepts_requests() {
                continue;
            }
            if stats.condition == ServerCondition::Ejected {
                continue;
            }
            best_us = best_us.min(stats.service_time.mean_us());
        }
        if best_us.is_finite() { best_us } else { 0.0 }
    }
}

fn initial_stats(state: ServerState, now: BootTime) -> ServerStats {
    let mut stats = ServerStats::new(now);
    if state == ServerState::Draining {
        stats.condition = ServerCondition::Leaving;
    }
    stats
}

/// Applies a change of the configured state; an unchanged state overrides no other drain signal.
fn apply_config_state(stats: &mut ServerStats, old: ServerState, new: ServerState, now: BootTime) {
    if old == new {
        return;
    }
    match new {
        ServerState::Draining => stats.condition = stats.condition.after(ConditionEvent::Drained),
        ServerState::Active => {
            stats.restart_ramp(now);
            stats.condition = stats.condition.after(ConditionEvent::Restored);
        }
    }
}
