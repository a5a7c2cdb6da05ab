//! Load balancing: tracks the state of each backend server and picks one per request.
//!
//! Designed for servers with 2 to 4 slots that are shared by nodes which cannot
//! see each other's requests, and that may pause, slow down, shed load, fail a
//! fraction of their requests or stop responding. A server is judged by the
//! outcomes of this node's own requests (passive health checking); no active
//! health checks are sent to single servers.

mod cold;
mod evacuated;
mod extras;
mod links;
mod names;
mod observations;
mod paced;
mod quotas;
mod selection;
mod stopping;

use std::{sync::Arc, time::Duration};

use carobstep_clock::BootTime;
use indexmap::IndexMap;
use slotmap::{SlotMap, new_key_type};
use strum::{Display, IntoStaticStr};
use xxhash_rust::xxh3::xxh3_64;

use crate::{
    directory::DirectoryChange,
    limits::LimitTable,
    links::ZoneLinks,
    model::{ColdBounds, Configuration, RequestRate, ServerEntry, ServerIncarnation},
    pace::PaceRule,
    quota::NodeShare,
    retry_budget::RetryBudget,
    server_state::ServerState,
    shares::ExtraPool,
    stats::{AttemptOutcome, ClassKey, ClassTable},
    stopping::StopHorizon,
};
pub use extras::ExtraUse;
use names::HashedNames;
pub use names::ServicesDigest;
pub use paced::PaceEvent;
pub use quotas::{LimitChange, LimitedUse};
pub use selection::{PickScope, SearchRank};

new_key_type! {
    /// Key of one incarnation of a backend server; a restarted server gets a new key.
    pub struct ServerKey;

    /// Key of a service in a [`ServerFleet`].
    pub struct ServiceKey;
}

/// Maximum number of pauses of removed servers that are remembered; the oldest is forgotten
/// first.
const MAX_REMOVED_PAUSES: usize = 256;

/// Time after the first server within which servers are those of the first list: they are new
/// to this node, but have not just started.
const FIRST_LIST_TIME: Duration = Duration::from_secs(2);

/// Number of connections that a node may always open to a server.
const MIN_CONNECTIONS: u32 = 4;

/// Limits on extra requests (retries and hedges) that all nodes share.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct FleetLimits {
    /// Extra requests that are allowed per first request to a service.
    pub retry_ratio: f64,
    /// Extra requests that all nodes together may send per window on top of the ratio.
    pub retry_slack: f64,
    /// Number of live nodes that share the limits.
    pub nodes: u32,
}

/// Information needed to connect to a server.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServerEndpoint {
    /// The server's latest registration.
    pub entry: ServerEntry,
    /// Maximum number of connections that this node may have open to it.
    pub connections: u32,
}

/// Whether a request is the first one for a shard or an extra one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum AttemptKind {
    /// The first attempt for a shard.
    First,
    /// A retry or a hedge.
    Extra,
}

/// Identifies an attempt in flight; passed to [`ServerFleet::on_attempt_ended`] when it ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AttemptTicket {
    /// Server that the attempt was sent to.
    pub server: ServerKey,
    /// Latency class of the request.
    pub class: ClassKey,
    /// When the attempt was sent.
    pub sent: BootTime,
    /// Whether the attempt is a retry or a hedge.
    pub kind: AttemptKind,
}

/// All known services and backend servers, with their load and health as seen by this node.
#[derive(Debug)]
pub struct ServerFleet {
    zone: Arc<str>,
    limits: FleetLimits,
    /// Differs between nodes, so that their random numbers do.
    seed: u64,
    /// Number of random numbers drawn.
    draws: u64,
    services: SlotMap<ServiceKey, ServiceState>,
    service_names: IndexMap<Arc<str>, ServiceKey>,
    servers: SlotMap<ServerKey, ServerState>,
    server_ids: IndexMap<Arc<str>, ServerKey>,
    /// Servers by the hashed identifiers that nodes exchange with each other.
    hashed_names: HashedNames,
    /// Part of the retry budget of each service that the nodes of a zone share by demand.
    extra_pool: Option<ExtraPool>,
    /// Tolerance of the limits on cold servers, if there are any.
    cold_bounds: Option<ColdBounds>,
    /// How extra requests were paid for.
    extra_use: ExtraUse,
    /// Whether an extra request lacked a token since tokens were last asked for.
    lacks_extra: bool,
    pace_rule: PaceRule,
    /// When the first server was added.
    listed_since: Option<BootTime>,
    /// Ends of ramps that were not reported yet.
    pace_events: Vec<PaceEvent>,
    /// Zones whose servers get no requests.
    evacuated_zones: Vec<Arc<str>>,
    /// Pauses of servers that were removed: their entries may lapse while they live on.
    removed_pauses: IndexMap<ServerIncarnation, BootTime>,
    /// Limits on requests that servers name.
    limit_table: LimitTable,
    /// Latency statistics per class of requests.
    pub classes: ClassTable,
    /// When the node sends its last responses, if it is stopping.
    horizon: StopHorizon,
    /// Links to the servers of each availability zone.
    zone_links: ZoneLinks,
    /// When the links to single servers are examined next.
    next_link_scan: BootTime,
}

#[derive(Debug)]
struct ServiceState {
    name: Arc<str>,
    servers: Vec<ServerKey>,
    budget: RetryBudget,
    max_connections: u32,
    health_path: Option<Arc<str>>,
    /// Requests per second that each of its servers takes while it is cold, if limited.
    cold_rate: Option<RequestRate>,
    /// Rank of the highest-ranked search that recently found no available server,
    /// and when that was.
    waiter: (SearchRank, BootTime),
    /// Offset at which the next choice among equal servers starts.
    rotation: usize,
    /// When the oldest request that waits for a token arrived, and when it last found none.
    oldest_waiter: (BootTime, BootTime),
    /// Number of requests that wait for a token.
    waiting: u32,
    /// When the last of the refused callers was asked to return.
    returns_until: BootTime,
    /// Until when other nodes are not asked to call its servers, since none could.
    relay_futile_until: BootTime,
}

impl ServerFleet {
    /// Creates an empty fleet for a node in `zone`.
    #[must_use]
    pub fn new(zone: Arc<str>, limits: FleetLimits) -> Self {
        Self {
            zone,
            limits,
            seed: 0,
            draws: 0,
            services: SlotMap::with_key(),
            service_names: IndexMap::new(),
            servers: SlotMap::with_key(),
            server_ids: IndexMap::new(),
            hashed_names: HashedNames::default(),
            extra_pool: None,
            cold_bounds: None,
            extra_use: ExtraUse::default(),
            lacks_extra: false,
            pace_rule: PaceRule::default(),
            listed_since: None,
            pace_events: Vec::new(),
            evacuated_zones: Vec::new(),
            removed_pauses: IndexMap::new(),
            limit_table: LimitTable::default(),
            classes: ClassTable::default(),
            horizon: StopHorizon::default(),
            zone_links: ZoneLinks::default(),
            next_link_scan: BootTime::ZERO,
        }
    }

    /// Sets the seed of the random numbers, which must differ between nodes.
    #[must_use]
    pub const fn with_seed(mut self, seed: u64) -> Self {
        self.seed = seed;
        self
    }

    /// Replaces the shared limits and adjusts the retry budgets of all services.
    pub fn set_limits(&mut self, limits: FleetLimits) {
        self.limits = limits;
        for service in self.services.values_mut() {
            service.budget.set_limits(limits, self.extra_pool);
        }
    }

    /// Applies a configuration: sets connection limits and drops services that it no
    /// longer names, unless they still have servers.
    pub fn configure(&mut self, now: BootTime, configuration: &Configuration) {
        for (name, config) in &configuration.services {
            let key = self.get_or_insert_service(now, name);
            if let Some(service) = self.services.get_mut(key) {
                service.max_connections = config.max_connections;
                service.health_path = config.health_path.clone();
                service.cold_rate = config.cold_rate;
            }
        }
        self.limit_all_cold(now);
        let services = &mut self.services;
        self.service_names.retain(|name, key| {
            let is_unused = services.get(*key).is_none_or(|service| service.servers.is_empty());
            let keep = configuration.services.contains_key(name) || !is_unused;
            if !keep {
                services.remove(*key);
            }
            keep
        });
    }

    /// Returns the key of a service, and adds the service if it is not known yet.
    pub fn get_or_insert_service(&mut self, now: BootTime, name: &Arc<str>) -> ServiceKey {
        if let Some(key) = self.service_names.get(name) {
            return *key;
        }
        let budget = RetryBudget::new(now, self.limits, self.extra_pool);
        let key = self.services.insert(ServiceState {
            name: name.clone(),
            servers: Vec::new(),
            budget,
            max_connections: u32::MAX,
            health_path: None,
            cold_rate: None,
            waiter: (SearchRank::default(), BootTime::ZERO),
            rotation: 0,
            oldest_waiter: (BootTime::ZERO, BootTime::ZERO),
            waiting: 0,
            returns_until: BootTime::ZERO,
            relay_futile_until: BootTime::ZERO,
        });
        self.service_names.insert(name.clone(), key);
        key
    }

    /// Applies a change of the server directory; returns the key of the server
    /// incarnation that it ended, if any.
    pub fn apply(&mut self, now: BootTime, change: &DirectoryChange) -> Option<ServerKey> {
        match change {
            DirectoryChange::Removed(id) => {
                self.limit_table.remove(id);
                let key = self.server_ids.swap_remove(id)?;
                self.remove_server(key);
                Some(key)
            }
            DirectoryChange::Changed(entry) => self.upsert_server(now, entry),
        }
    }

    fn upsert_server(&mut self, now: BootTime, entry: &ServerEntry) -> Option<ServerKey> {
        let known = self.server_ids.get(&entry.id).copied();
        if let Some(server) = known.and_then(|key| self.servers.get_mut(key)) {
            let same_incarnation = server.entry.address == entry.address
                && server.entry.service == entry.service
                && server.entry.born_ms == entry.born_ms;
            if same_incarnation {
                server.apply_report(now, entry.clone());
                server.is_evacuated = self.evacuated_zones.contains(&entry.zone);
                if let Some(key) = known {
                    self.limit_cold(now, key);
                }
                return None;
            }
        }
        let ended = self.server_ids.swap_remove(&entry.id);
        if let Some(key) = ended {
            self.remove_server(key);
        }
        let service = self.get_or_insert_service(now, &entry.service);
        let incarnation = ServerIncarnation { id: entry.id.clone(), born_ms: entry.born_ms };
        let mut state = ServerState::new(now, entry.clone(), service, self.pace_rule);
        let listed_since = *self.listed_since.get_or_insert(now);
        let is_first_list = entry.cold_left.is_zero() && now.since(listed_since) < FIRST_LIST_TIME;
        // A ramp spares a server what others can do.
        if is_first_list || !self.has_warm_server(now, service) {
            state.skip_pace();
        }
        state.quota = self.limit_table.rate_of(&incarnation).map(NodeShare::new);
        state.is_evacuated = self.evacuated_zones.contains(&entry.zone);
        let paused_until = self.removed_pauses.shift_remove(&incarnation);
        if let Some(paused_until) = paused_until.filter(|until| now < *until) {
            state.pause(now, paused_until.since(now));
        }
        let key = self.servers.insert(state);
        self.limit_cold(now, key);
        self.server_ids.insert(entry.id.clone(), key);
        self.hashed_names.insert(&entry.id, key);
        if let Some(service) = self.services.get_mut(service) {
            service.servers.push(key);
        }
        ended
    }

    fn remove_server(&mut self, key: ServerKey) {
        let Some(server) = self.servers.remove(key) else { return };
        self.hashed_names.remove(&server.entry.id, key);
        if server.paused_until > BootTime::ZERO {
            let ServerEntry { id, born_ms, .. } = &server.entry;
            let incarnation = ServerIncarnation { id: id.clone(), born_ms: *born_ms };
            self.removed_pauses.insert(incarnation, server.paused_until);
            if self.removed_pauses.len() > MAX_REMOVED_PAUSES {
                self.removed_pauses.shift_remove_index(0);
            }
        }
        if let Some(service) = self.services.get_mut(server.service) {
            service.servers.retain(|other| *other != key);
        }
    }

    /// Returns what is needed to connect to a server, or `None` if it has been removed.
    #[must_use]
    pub fn endpoint(&self, key: ServerKey) -> Option<ServerEndpoint> {
        let server = self.servers.get(key)?;
        let connections = self.connection_share(server.service);
        Some(ServerEndpoint { entry: server.entry.clone(), connections })
    }

    /// Returns the path of the health check of a server, if it has one.
    #[must_use]
    pub fn health_path(&self, key: ServerKey) -> Option<Arc<str>> {
        let server = self.servers.get(key)?;
        self.services.get(server.service)?.health_path.clone()
    }

    /// Returns the number of connections that this node may have open to each server
    /// of a service: its share of the limit for all nodes.
    fn connection_share(&self, service: ServiceKey) -> u32 {
        let total = self.services.get(service).map_or(u32::MAX, |state| state.max_connections);
        (total / self.limits.nodes.max(1)).max(MIN_CONNECTIONS)
    }

    /// Returns whether this node reaches any server of the service that accepts new requests.
    #[must_use]
    pub fn has_available_server(&self, now: BootTime, service: ServiceKey) -> bool {
        let Some(state) = self.services.get(service) else { return false };
        state
            .servers
            .iter()
            .any(|key| self.servers.get(*key).is_some_and(|server| self.is_available(now, server)))
    }

    /// Returns when enough of the services have a server that accepts requests, if servers
    /// that asked for a pause are the only obstacle; `None` if too few have any server in
    /// use.
    #[must_use]
    pub fn available_from(
        &self,
        now: BootTime,
        services: &[ServiceKey],
        needed: usize,
    ) -> Option<BootTime> {
        let mut times = Vec::with_capacity(services.len());
        for service in services {
            let Some(state) = self.services.get(*service) else { continue };
            let servers = state.servers.iter().filter_map(|key| self.servers.get(*key));
            let in_use = servers.filter(|server| server.is_in_use() && self.has_link(now, server));
            times.extend(in_use.map(|server| server.paused_until.max(now)).min());
        }
        times.sort_unstable();
        times.get(needed.checked_sub(1)?).copied()
    }

    /// Stops requests to a server for a time that it asked for.
    pub fn pause_server(&mut self, now: BootTime, key: ServerKey, pause: Duration) {
        if let Some(server) = self.servers.get_mut(key) {
            server.pause(now, pause);
        }
    }

    /// Returns whether servers of a service accept requests, none of which this node
    /// reaches.
    #[must_use]
    pub fn is_out_of_reach(&self, now: BootTime, service: ServiceKey) -> bool {
        let Some(state) = self.services.get(service) else { return false };
        let servers = state.servers.iter().filter_map(|key| self.servers.get(*key));
        let mut available = servers.filter(|server| server.is_available(now)).peekable();
        available.peek().is_some() && available.all(|server| !self.has_link(now, server))
    }

    /// Returns the key of a service by its name, if it is known.
    #[must_use]
    pub fn service_key(&self, name: &str) -> Option<ServiceKey> {
        self.service_names.get(name).copied()
    }

    fn is_available(&self, now: BootTime, server: &ServerState) -> bool {
        server.is_available(now) && self.has_link(now, server)
    }

    /// Returns whether `scope` allows any available server, even if it has no capacity
    /// at the moment.
    #[must_use]
    pub fn has_candidate(&self, now: BootTime, service: ServiceKey, scope: PickScope<'_>) -> bool {
        let Some(state) = self.services.get(service) else { return false };
        state.servers.iter().any(|key| {
            scope.is_allowed(*key)
                && self.servers.get(*key).is_some_and(|server| self.is_available(now, server))
        })
    }

    pub(crate) fn server(&self, key: ServerKey) -> Option<&ServerState> {
        self.servers.get(key)
    }

    pub(crate) fn server_mut(&mut self, key: ServerKey) -> Option<&mut ServerState> {
        self.servers.get_mut(key)
    }

    pub(crate) fn servers_mut(&mut self) -> impl Iterator<Item = &mut ServerState> {
        self.servers.values_mut()
    }

    /// Returns whether `scope` allows any available server that responds to this node.
    #[must_use]
    pub fn has_responding_candidate(
        &self,
        now: BootTime,
        service: ServiceKey,
        scope: PickScope<'_>,
    ) -> bool {
        self.servers_of(service).iter().any(|key| {
            scope.is_allowed(*key)
                && self.accepts_requests(now, *key)
                && self.is_responding(now, *key)
        })
    }

    /// Returns the number of known servers.
    #[must_use]
    pub fn server_count(&self) -> usize {
        self.servers.len()
    }

    /// Returns the estimated utilization of a shard's slots (1.0 is full), assuming that
    /// every node has as much demand as this one.
    #[must_use]
    pub fn slot_utilization(&self, now: BootTime, service: ServiceKey) -> f64 {
        let Some(state) = self.services.get(service) else { return 0.0 };
        let servers = state.servers.iter().filter_map(|key| self.servers.get(*key));
        let slots: u32 = servers
            .filter(|server| self.is_available(now, server))
            .map(|server| server.entry.slots)
            .sum();
        let demand = self.classes.search_concurrency() * f64::from(self.limits.nodes);
        demand / f64::from(slots.max(1))
    }

    /// Returns the zones that have servers, sorted by name.
    #[must_use]
    pub fn zones(&self) -> Vec<Arc<str>> {
        let mut zones: Vec<Arc<str>> = Vec::new();
        for server in self.servers.values() {
            if !zones.contains(&server.entry.zone) {
                zones.push(server.entry.zone.clone());
            }
        }
        zones.sort();
        zones
    }

    /// Records that a request is sent to a server.
    pub fn on_attempt_sent(
        &mut self,
        now: BootTime,
        server: ServerKey,
        class: ClassKey,
        kind: AttemptKind,
    ) -> AttemptTicket {
        let hedge_delay = self.classes.hedge_delay(class);
        if let Some(state) = self.servers.get_mut(server) {
            for quota in state.limits_mut(now) {
                quota.take(now);
            }
            if state.in_flight == 0 {
                state.waiting_since = now;
            }
            state.in_flight += 1;
            state.link.on_sent(hedge_delay);
            self.zone_links.on_sent(now, &state.entry.zone, hedge_delay);
        }
        AttemptTicket { server, class, sent: now, kind }
    }

    /// Records the outcome of an attempt.
    pub fn on_attempt_ended(
        &mut self,
        now: BootTime,
        ticket: AttemptTicket,
        outcome: AttemptOutcome,
    ) {
        let latency = now.since(ticket.sent);
        let relative = self.classes.relative(ticket.class, latency);
        if outcome == AttemptOutcome::Answered {
            self.classes.record(ticket.class, latency);
        }
        let Some(service) = self.servers.get(ticket.server).map(|server| server.service) else {
            return;
        };
        let Some(state) = self.services.get(service) else { return };
        let typical_slowness = self.typical_slowness(now, state);
        let Some(server) = self.servers.get_mut(ticket.server) else { return };
        server.in_flight = server.in_flight.saturating_sub(1);
        if outcome == AttemptOutcome::Unsent {
            for quota in server.limits_mut(ticket.sent) {
                quota.refund();
            }
            server.link.on_failure();
        }
        if server.in_flight == 0 && !outcome.is_response() {
            server.link.on_silence(now.since(server.waiting_since));
        }
        server.observe(now, outcome, relative, typical_slowness);
        let end = server.observe_pace(now, outcome, relative.in_medians, typical_slowness);
        let id = end.map(|_| server.entry.id.clone());
        if let (Some((end, good, bad)), Some(server)) = (end, id) {
            self.record_pace_event(PaceEvent { server, end, good, bad });
        }
        if outcome.is_response() {
            self.on_response(now, ticket.server);
        }
    }
}

/// Returns a number from 0 to 1 that looks random.
fn hash_fraction(seed: u64, number: u64) -> f64 {
    let mut bytes = [0; 16];
    bytes[..8].copy_from_slice(&seed.to_le_bytes());
    bytes[8..].copy_from_slice(&number.to_le_bytes());
    (xxh3_64(&bytes) >> 11) as f64 / (1u64 << 53) as f64
}
