//! Choice of a backend server for each attempt, from the node's own observations.

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

/// Services with more candidates than this are sampled.
const MAX_SCANNED: usize = 3;

/// Largest random part of a score, which breaks ties.
const TIE_JITTER: f64 = 0.02;

/// Which attempt of a request a server is wanted for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptKind {
    /// The first attempt.
    First,
    /// A second one beside a slow first one.
    Hedge,
    /// Another one after a failed one.
    Retry,
}

/// One wish for a server.
#[derive(Clone, Copy, Debug)]
pub struct PickRequest<'a> {
    /// The service to choose from.
    pub service: ServiceKey,
    /// Servers that were tried before.
    pub exclude: &'a [Option<ServerKey>],
    /// Which attempt it is for.
    pub kind: AttemptKind,
    /// The snapshot that the server must hold.
    pub snapshot: Option<u64>,
    /// Identity that the caller presents again when it was refused.
    pub caller: u64,
}

/// Per-node view of all backend servers, with the budgets for extra load.
#[derive(Clone, Debug)]
pub struct ServerRouter {
    topology: Arc<ConfigTopology>,
    zone_name: String,
    own_zone: Option<ZoneKey>,
    servers: Vec<ServerStats>,
    services: Vec<ServiceStats>,
    rng: SmallRng,
}

impl ServerRouter {
    /// Builds a router that has observed nothing; `seed` drives its sampling.
    #[must_use]
    pub fn new(topology: Arc<ConfigTopology>, own_zone: &str, seed: u64, now: BootTime) -> Self {
        let zone_name = own_zone.to_owned();
        let own_zone = topology.find_zone(own_zone);
        let servers = topology.servers().map(|(_, entry)| fresh_server(entry.state, now)).collect();
        let services =
            topology.services().map(|(_, entry)| ServiceStats::new(entry, now)).collect();
        Self {
            topology,
            zone_name,
            own_zone,
            servers,
            services,
            rng: SmallRng::seed_from_u64(seed),
        }
    }

    /// The topology that the keys of this router belong to.
    #[must_use]
    pub const fn topology(&self) -> &Arc<ConfigTopology> {
        &self.topology
    }

    /// Moves to another topology and keeps what was learnt, by name.
    pub fn set_topology(&mut self, now: BootTime, topology: Arc<ConfigTopology>) {
        let old = std::mem::replace(&mut self.topology, topology);
        self.own_zone = self.topology.find_zone(&self.zone_name);
        let mut servers = Vec::with_capacity(self.servers.len());
        for (_, entry) in self.topology.servers() {
            let known = old.find_server(entry.name.as_str());
            let Some(known) = known else {
                servers.push(fresh_server(entry.state, now));
                continue;
            };
            let mut stats = self.servers[known.index()].clone();
            apply_state(&mut stats, old.server(known).state, entry.state, now);
            servers.push(stats);
        }
        let mut services = Vec::with_capacity(self.services.len());
        for (_, entry) in self.topology.services() {
            let Some(known) = old.find_service(entry.name.as_str()) else {
                services.push(ServiceStats::new(entry, now));
                continue;
            };
            let mut stats = self.services[known.index()].clone();
            stats.set_entry(entry);
            services.push(stats);
        }
        self.servers = servers;
        self.services = services;
    }

    /// Changes the node's own zone.
    pub fn set_own_zone(&mut self, zone: &str) {
        self.zone_name = zone.to_owned();
        self.own_zone = self.topology.find_zone(zone);
    }

    /// Sets whether a reachable node holds the server's grant.
    pub fn set_usable(&mut self, server: ServerKey, usable: bool) {
        self.servers[server.index()].usable = usable;
    }

    /// Sets whether the server drains, from whichever sign came first.
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

    /// Keeps a load that the server's health endpoint reported.
    ///
    /// It counts only where the node has no fresh observation of its own.
    pub fn hint_load(&mut self, server: ServerKey, load: f64) {
        self.servers[server.index()].set_load_hint(load);
    }

    /// Condition of a server.
    #[must_use]
    pub fn condition(&self, server: ServerKey) -> ServerCondition {
        self.servers[server.index()].condition
    }

    /// Attempts of this node that are on the server or on the way to it.
    #[must_use]
    pub fn in_flight(&self, server: ServerKey) -> u32 {
        self.servers[server.index()].in_flight
    }

    /// Whether any server of the service takes requests, else why none does.
    #[must_use]
    pub fn all_leaving(&self, service: ServiceKey) -> bool {
        let servers = &self.topology.service(service).servers;
        !servers.is_empty()
            && servers.iter().all(|key| self.condition(*key) == ServerCondition::Leaving)
    }

    /// Chooses a server and counts an attempt on it until [`Self::observe`].
    pub fn pick(&mut self, now: BootTime, request: &PickRequest<'_>) -> Option<ServerKey> {
        let topology = Arc::clone(&self.topology);
        let servers = &topology.service(request.service).servers;
        let chosen = self
            .pick_probe(now, request, servers)
            .or_else(|| self.pick_booked(now, request, servers))
            .or_else(|| self.pick_best(now, request, servers))
            .or_else(|| self.pick_any(now, request, servers))?;
        let stats = &mut self.servers[chosen.index()];
        stats.in_flight += 1;
        Some(chosen)
    }

    /// Takes in the end of an attempt that [`Self::pick`] counted.
    pub fn observe(&mut self, now: BootTime, server: ServerKey, observation: &AttemptObservation) {
        let service = self.topology.server(server).service;
        let peer_us = self.best_peer_us(service, server);
        let stats = &mut self.servers[server.index()];
        stats.in_flight = stats.in_flight.saturating_sub(1);
        if let Some(event) = stats.observe(now, observation, peer_us) {
            stats.condition = stats.condition.after(event);
        }
        self.services[service.index()].record(now, observation);
    }

    /// Time after which a second attempt of the service's requests is worth it.
    ///
    /// [`Duration::MAX`] until enough was observed.
    #[must_use]
    pub fn hedge_delay(&self, service: ServiceKey) -> Duration {
        self.services[service.index()].hedge_delay()
    }

    /// Counts a first request, which earns for the budgets of the service.
    pub fn earn(&mut self, service: ServiceKey) {
        self.services[service.index()].earn();
    }

    /// Takes one hedge from the service's budget, or refuses it.
    pub fn try_take_hedge(&mut self, now: BootTime, service: ServiceKey) -> bool {
        let once = self.topology.service(service).repeat == RepeatPolicy::AtMostOnce;
        !once && self.services[service.index()].hedges.take(now)
    }

    /// Gives back a hedge that did not reach the server.
    pub fn refund_hedge(&mut self, service: ServiceKey) {
        self.services[service.index()].hedges.give_back();
    }

    /// Takes one retry from the service's budget, or refuses it.
    pub fn try_take_retry(&mut self, now: BootTime, service: ServiceKey) -> bool {
        self.services[service.index()].retries.take(now)
    }
}

impl ServerRouter {
    /// An ejected server whose probe is due.
    ///
    /// Only first attempts that may be repeated serve as probes.
    fn pick_probe(
        &mut self,
        now: BootTime,
        request: &PickRequest<'_>,
        servers: &[ServerKey],
    ) -> Option<ServerKey> {
        let once = self.topology.service(request.service).repeat == RepeatPolicy::AtMostOnce;
        if once || request.kind != AttemptKind::First {
            return None;
        }
        for server in servers {
            let stats = &mut self.servers[server.index()];
            if !stats.is_open() || !stats.probe_due(now) {
                continue;
            }
            stats.note_probe(now);
            return Some(*server);
        }
        None
    }

    /// The caller's own server while the service is overloaded.
    ///
    /// Rendezvous hashing with the slots as weights, so that a refused caller
    /// that comes back through any node reaches the server that booked a time
    /// for it.
    fn pick_booked(
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
            let fit = stats.is_open() && stats.condition != ServerCondition::Ejected;
            if !fit || stats.lacks(request.snapshot, now) {
                continue;
            }
            let entry = self.topology.server(*server);
            let hash = xxh3_64_with_seed(entry.name.as_str().as_bytes(), request.caller);
            let unit = (hash as f64 + 1.0) / (u64::MAX as f64 + 2.0);
            let rank = -unit.ln() / f64::from(entry.slots);
            if rank < best_rank {
                best_rank = rank;
                best = Some(*server);
            }
        }
        best
    }

    /// The better of two sampled servers, or the best of a few.
    fn pick_best(
        &mut self,
        now: BootTime,
        request: &PickRequest<'_>,
        servers: &[ServerKey],
    ) -> Option<ServerKey> {
        if servers.len() > MAX_SCANNED
            && let Some(server) = self.pick_sampled(now, request, servers)
        {
            return Some(server);
        }
        self.scan(now, request, servers, |stats| stats.condition != ServerCondition::Ejected)
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
        self.scan(now, request, &pair, |stats| stats.condition != ServerCondition::Ejected)
    }

    /// The least bad of the ejected servers, or of those that lack the snapshot.
    fn pick_any(
        &mut self,
        now: BootTime,
        request: &PickRequest<'_>,
        servers: &[ServerKey],
    ) -> Option<ServerKey> {
        if request.kind == AttemptKind::Hedge {
            return None;
        }
        let anywhere = PickRequest { snapshot: None, ..*request };
        self.scan(now, &anywhere, servers, |_| true)
    }

    fn scan(
        &mut self,
        now: BootTime,
        request: &PickRequest<'_>,
        servers: &[ServerKey],
        accepts: impl Fn(&ServerStats) -> bool,
    ) -> Option<ServerKey> {
        let peer_us = self.services[request.service.index()].mean_us();
        let mut best = None;
        let mut best_score = f64::INFINITY;
        for server in servers {
            let stats = &self.servers[server.index()];
            if !stats.is_open() || !accepts(stats) || stats.lacks(request.snapshot, now) {
                continue;
            }
            if request.exclude.contains(&Some(*server)) {
                continue;
            }
            if request.kind == AttemptKind::Hedge && !stats.takes_hedge(now) {
                continue;
            }
            let entry = self.topology.server(*server);
            let own_zone = self.own_zone == Some(entry.zone);
            let jitter = 1.0 + TIE_JITTER * self.rng.random::<f64>();
            let score = stats.score(now, peer_us, entry.slots, own_zone) * jitter;
            if score < best_score {
                best_score = score;
                best = Some(*server);
            }
        }
        best
    }

    /// Smallest mean time on the server's peers, zero if none is known.
    fn best_peer_us(&self, service: ServiceKey, server: ServerKey) -> f64 {
        let mut best_us = f64::INFINITY;
        for peer in &self.topology.service(service).servers {
            let stats = &self.servers[peer.index()];
            let known = stats.service.samples() >= stats::EJECT_SAMPLES;
            if *peer == server || !known || !stats.is_open() {
                continue;
            }
            if stats.condition == ServerCondition::Ejected {
                continue;
            }
            best_us = best_us.min(stats.service.mean_us());
        }
        if best_us.is_finite() { best_us } else { 0.0 }
    }
}

fn fresh_server(state: ServerState, now: BootTime) -> ServerStats {
    let mut stats = ServerStats::new(now);
    if state == ServerState::Draining {
        stats.condition = ServerCondition::Leaving;
    }
    stats
}

/// Applies a change of the declared state; an unchanged one undoes no other sign.
fn apply_state(stats: &mut ServerStats, old: ServerState, new: ServerState, now: BootTime) {
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
