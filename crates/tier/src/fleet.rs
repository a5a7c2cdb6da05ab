//! What this node has seen of the backend servers, and which one it chooses.
//!
//! Load that this answers: servers with 2 to 4 slots that are shared by nodes
//! which don't see each other's requests, that pause, slow down, shed, fail a
//! part of their requests or go silent. Own observations decide; health
//! checks are not made.

use std::{sync::Arc, time::Duration};

use carobstep_clock::BootTime;
use carobstep_dispatch::TokenBucket;
use indexmap::IndexMap;
use slotmap::{SlotMap, new_key_type};
use xxhash_rust::xxh3::xxh3_64;

use crate::{
    directory::DirectoryChange,
    model::{Configuration, RouteConfig, RouteTarget, ServerEntry},
    reach::ZoneReach,
    server_state::ServerState,
    stats::{AttemptEnd, ClassKey, ClassTable},
};

new_key_type! {
    /// Key of one life of a backend server.
    pub struct ServerKey;

    /// Key of a service.
    pub struct ServiceKey;
}

/// Factor on the score of a server that has not answered for too long.
const STALLED_FACTOR: f64 = 8.0;

/// Multiple of the hedge delay without any answer after which a busy server is stalled.
const STALL_DELAYS: f64 = 1.0;

/// Factor on the score of a server that was not reached or is full.
const BACKOFF_FACTOR: f64 = 60.0;

/// Cost of leaving the own availability zone, in parts of the latency objective:
/// bytes between zones are paid for, and a request may wait this long to save them.
const CROSSING_COST: f64 = 0.4;

/// Factor on the score of a server that started a moment ago.
const COLD_FACTOR: f64 = 1.6;

/// Part of the shared retry budget that this node allows itself; the rest
/// covers nodes that started or stopped in the window.
const BUDGET_SAFETY: f64 = 0.8;

/// Divides the requests that may be under way at a server for searches which
/// have missed their objective: those that can still meet it go first.
const LATE_DIVISOR: u32 = 2;

/// Time for which a search that found no room counts as waiting; longer than the
/// pause between two of its tries.
const WAITING_TIME: Duration = Duration::from_millis(8);

/// Part of its share of the slack that a node has at its start; a node that was
/// restarted may have used its share already.
const START_PART: f64 = 0.5;

/// Connections that a node may always open to a server.
const MIN_CONNECTIONS: u32 = 4;

/// Limits that all nodes share.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct FleetLimits {
    /// Extra requests to a service per request to it.
    pub retry_ratio: f64,
    /// Extra requests beside the ratio, in a window, of all nodes together.
    pub retry_slack: f64,
    /// Nodes that are believed to share the limits.
    pub nodes: u32,
}

impl FleetLimits {
    fn extra_tokens(&self) -> f64 {
        self.retry_slack * BUDGET_SAFETY / f64::from(self.nodes.max(1))
    }
}

/// What a caller of the fleet needs in order to reach a server.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServerSight {
    /// What the server says of itself.
    pub entry: ServerEntry,
    /// Connections that this node may have open to it.
    pub connections: u32,
}

/// Which servers a request may go to.
#[derive(Clone, Copy, Debug, Default)]
pub struct PickScope<'search> {
    /// Servers that must not be asked again.
    pub tried: &'search [ServerKey],
    /// The only servers that may be asked.
    pub only: Option<&'search [ServerKey]>,
    /// Which searches it goes before where room is short.
    pub rank: SearchRank,
}

/// Order in which searches get room at servers that have too little.
///
/// Beyond what the servers carry, taking turns would make every search late:
/// each one needs nearly all shards. So the newest goes first, which has the most
/// time left. Those that have missed their objective stand back; among them the
/// ones that need little more go first.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct SearchRank {
    /// Whether it can still meet its objective.
    pub in_time: bool,
    /// Whether it is late and needs little more.
    pub is_well_on: bool,
    /// When it arrived.
    pub arrived: BootTime,
}

/// An attempt that was sent; it is handed back when the attempt has ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SentTicket {
    /// The server that it was sent to.
    pub server: ServerKey,
    /// Class of the request.
    pub class: ClassKey,
    /// When it was sent.
    pub sent: BootTime,
}

/// Every known service and backend server.
#[derive(Debug)]
pub struct ServerFleet {
    zone: Arc<str>,
    limits: FleetLimits,
    services: SlotMap<ServiceKey, ServiceState>,
    service_names: IndexMap<Arc<str>, ServiceKey>,
    servers: SlotMap<ServerKey, ServerState>,
    server_ids: IndexMap<Arc<str>, ServerKey>,
    /// Servers by the short names that nodes use among themselves.
    short_names: IndexMap<u32, ServerKey>,
    /// Latencies of the classes of requests.
    pub classes: ClassTable,
    /// Availability zones that are reached.
    pub reach: ZoneReach,
}

#[derive(Debug)]
struct ServiceState {
    servers: Vec<ServerKey>,
    budget: TokenBucket,
    max_connections: u32,
    /// The search of the highest rank that found no room lately, and when.
    waiting: (SearchRank, BootTime),
    /// Where the next choice among equals starts.
    rotation: usize,
}

impl ServerFleet {
    /// Builds an empty fleet as seen from a node in `zone`.
    #[must_use]
    pub fn new(zone: Arc<str>, limits: FleetLimits) -> Self {
        Self {
            zone,
            limits,
            services: SlotMap::with_key(),
            service_names: IndexMap::new(),
            servers: SlotMap::with_key(),
            server_ids: IndexMap::new(),
            short_names: IndexMap::new(),
            classes: ClassTable::default(),
            reach: ZoneReach::default(),
        }
    }

    /// Changes the limits that all nodes share.
    pub fn set_limits(&mut self, limits: FleetLimits) {
        self.limits = limits;
        for service in self.services.values_mut() {
            service.budget.set_max_tokens(limits.extra_tokens());
        }
    }

    /// Takes in a configuration: limits of services, and which ones are still named.
    pub fn configure(&mut self, now: BootTime, configuration: &Configuration) {
        for (name, config) in &configuration.services {
            let key = self.service(now, name);
            if let Some(service) = self.services.get_mut(key) {
                service.max_connections = config.max_connections;
            }
        }
        let services = &mut self.services;
        self.service_names.retain(|name, key| {
            let unused = services.get(*key).is_none_or(|service| service.servers.is_empty());
            let keep = configuration.services.contains_key(name) || !unused;
            if !keep {
                services.remove(*key);
            }
            keep
        });
    }

    /// Key of a service; a name that was not known yet gets one.
    pub fn service(&mut self, now: BootTime, name: &Arc<str>) -> ServiceKey {
        if let Some(key) = self.service_names.get(name) {
            return *key;
        }
        let max_tokens = self.limits.extra_tokens();
        let ratio = self.limits.retry_ratio * BUDGET_SAFETY;
        let mut budget = TokenBucket::new(ratio, 0.0, now).with_tokens(max_tokens * START_PART);
        budget.set_max_tokens(max_tokens);
        let key = self.services.insert(ServiceState {
            servers: Vec::new(),
            budget,
            max_connections: u32::MAX,
            waiting: (SearchRank::default(), BootTime::ZERO),
            rotation: 0,
        });
        self.service_names.insert(name.clone(), key);
        key
    }

    /// Takes in a change of the directory; returns the key of a life that ended.
    pub fn apply(&mut self, now: BootTime, change: &DirectoryChange) -> Option<ServerKey> {
        match change {
            DirectoryChange::Gone(id) => {
                let key = self.server_ids.swap_remove(id)?;
                self.drop_server(key);
                Some(key)
            }
            DirectoryChange::Changed(entry) => self.change_server(now, entry),
        }
    }

    fn change_server(&mut self, now: BootTime, entry: &ServerEntry) -> Option<ServerKey> {
        let known = self.server_ids.get(&entry.id).copied();
        if let Some(server) = known.and_then(|key| self.servers.get_mut(key)) {
            let same_life = server.entry.address == entry.address
                && server.entry.service == entry.service
                && server.entry.born_ms == entry.born_ms;
            if same_life {
                server.report(entry.clone());
                return None;
            }
        }
        let ended = self.server_ids.swap_remove(&entry.id);
        if let Some(key) = ended {
            self.drop_server(key);
        }
        let service = self.service(now, &entry.service);
        let state = ServerState::new(now, entry.clone(), service);
        let key = self.servers.insert(state);
        self.server_ids.insert(entry.id.clone(), key);
        self.short_names.insert(short_name(&entry.id), key);
        if let Some(service) = self.services.get_mut(service) {
            service.servers.push(key);
        }
        ended
    }

    fn drop_server(&mut self, key: ServerKey) {
        let Some(server) = self.servers.remove(key) else { return };
        self.short_names.swap_remove(&short_name(&server.entry.id));
        if let Some(service) = self.services.get_mut(server.service) {
            service.servers.retain(|other| *other != key);
        }
    }

    /// What is needed to reach a server, `None` once it is gone.
    #[must_use]
    pub fn sight(&self, key: ServerKey) -> Option<ServerSight> {
        let server = self.servers.get(key)?;
        let connections = self.connection_share(server.service);
        Some(ServerSight { entry: server.entry.clone(), connections })
    }

    /// Connections that this node may have open to each server of a service.
    fn connection_share(&self, service: ServiceKey) -> u32 {
        let all = self.services.get(service).map_or(u32::MAX, |state| state.max_connections);
        (all / self.limits.nodes.max(1)).max(MIN_CONNECTIONS)
    }

    /// Whether any server of the service takes new requests.
    #[must_use]
    pub fn is_served(&self, service: ServiceKey) -> bool {
        let Some(state) = self.services.get(service) else { return false };
        state.servers.iter().any(|key| self.servers.get(*key).is_some_and(|it| self.is_open(it)))
    }

    /// Whether only unreachable availability zones keep a service from being served.
    #[must_use]
    pub fn is_cut_off(&self, name: &str) -> bool {
        let service = self.service_names.get(name).and_then(|key| self.services.get(*key));
        let Some(service) = service else { return false };
        let mut any = false;
        for server in service.servers.iter().filter_map(|key| self.servers.get(*key)) {
            if !self.reach.is_down(&server.entry.zone) {
                return false;
            }
            any = true;
        }
        any
    }

    /// Whether unreachable availability zones keep a route from being served.
    #[must_use]
    pub fn is_route_cut_off(&self, route: &RouteConfig) -> bool {
        match &route.target {
            RouteTarget::Service(service) => self.is_cut_off(service),
            RouteTarget::Split(parts) => parts.iter().any(|part| self.is_cut_off(&part.service)),
            RouteTarget::Gather(gather) => {
                let cut_off = gather.shards.iter().filter(|shard| self.is_cut_off(shard)).count();
                gather.shards.len() - cut_off < gather.least_shards()
            }
        }
    }

    /// Addresses of servers in a zone that can be probed, starting at a moving position.
    #[must_use]
    pub fn probe_targets(&self, zone: &str, start: usize) -> Vec<std::net::SocketAddr> {
        let in_zone: Vec<_> =
            self.servers.values().filter(|server| server.entry.zone.as_ref() == zone).collect();
        let count = in_zone.len();
        let wanted = ZoneReach::probes_per_zone().min(count);
        (0..wanted).map(|step| in_zone[(start + step) % count].entry.address).collect()
    }

    fn is_open(&self, server: &ServerState) -> bool {
        server.is_open() && !self.reach.is_down(&server.entry.zone)
    }

    /// Whether any server may be asked, now or once it has room.
    #[must_use]
    pub fn has_candidate(&self, service: ServiceKey, scope: PickScope<'_>) -> bool {
        let Some(state) = self.services.get(service) else { return false };
        state.servers.iter().any(|key| {
            scope.admits(*key) && self.servers.get(*key).is_some_and(|it| self.is_open(it))
        })
    }

    /// Number of known servers.
    #[must_use]
    pub fn server_count(&self) -> usize {
        self.servers.len()
    }

    /// Notes the first request to a service, which earns a part of an extra one;
    /// `part` is this node's part of it.
    pub fn earn_part(&mut self, service: ServiceKey, part: f64) {
        if let Some(state) = self.services.get_mut(service) {
            state.budget.earn_part(part);
        }
    }

    /// The zone whose servers a shard should be asked from: the node's own if
    /// one of its servers seems well, else the one with the best server.
    #[must_use]
    pub fn best_zone(
        &self,
        now: BootTime,
        service: ServiceKey,
        class: ClassKey,
        preference: &[Arc<str>],
    ) -> Option<Arc<str>> {
        let state = self.services.get(service)?;
        let mut best: Option<(usize, &Arc<str>)> = None;
        for server in state.servers.iter().filter_map(|key| self.servers.get(*key)) {
            if !self.is_open(server) {
                continue;
            }
            let zone = &server.entry.zone;
            let rank = preference.iter().position(|other| other == zone);
            let mut rank = rank.unwrap_or(preference.len());
            if now < server.backoff_until || self.is_stalled(now, server, class) {
                rank += preference.len() + 1;
            }
            if best.is_none_or(|(least, _)| rank < least) {
                best = Some((rank, zone));
            }
        }
        best.map(|(_, zone)| zone.clone())
    }

    /// Share of a shard's slots that are in use, if all nodes have as much
    /// demand as this one.
    #[must_use]
    pub fn slots_in_use(&self, service: ServiceKey) -> f64 {
        let Some(state) = self.services.get(service) else { return 0.0 };
        let servers = state.servers.iter().filter_map(|key| self.servers.get(*key));
        let slots: u32 = servers.filter(|it| self.is_open(it)).map(|it| it.entry.slots).sum();
        let demand = self.classes.search_concurrency() * f64::from(self.limits.nodes);
        demand / f64::from(slots.max(1))
    }

    /// Zones that have servers.
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

    /// Takes an extra request out of the service's retry budget.
    pub fn take_extra(&mut self, now: BootTime, service: ServiceKey) -> bool {
        self.services.get_mut(service).is_some_and(|state| state.budget.take(now))
    }

    /// Gives back an extra request that did not reach a server.
    pub fn give_back_extra(&mut self, service: ServiceKey) {
        if let Some(state) = self.services.get_mut(service) {
            state.budget.give_back();
        }
    }

    /// The server that a request of `class` should go to, if no search of a higher
    /// rank waits for room at the service.
    pub fn pick_in_turn(
        &mut self,
        now: BootTime,
        service: ServiceKey,
        class: ClassKey,
        scope: PickScope<'_>,
    ) -> Option<ServerKey> {
        let (waiting, seen) = self.services.get(service)?.waiting;
        if now.since(seen) < WAITING_TIME && waiting > scope.rank {
            return None;
        }
        let picked = self.pick(now, service, class, scope);
        let state = self.services.get_mut(service)?;
        match picked {
            None => state.waiting = (scope.rank, now),
            Some(_) if waiting == scope.rank => state.waiting.1 = BootTime::ZERO,
            Some(_) => {}
        }
        picked
    }

    /// The server that a request of `class` should go to.
    pub fn pick(
        &mut self,
        now: BootTime,
        service: ServiceKey,
        class: ClassKey,
        scope: PickScope<'_>,
    ) -> Option<ServerKey> {
        let share = self.connection_share(service);
        let state = self.services.get_mut(service)?;
        let count = state.servers.len();
        state.rotation = state.rotation.wrapping_add(1);
        let start = state.rotation;
        let state = self.services.get(service)?;
        let mut best: Option<(f64, ServerKey)> = None;
        for step in 0..count {
            let key = state.servers[(start + step) % count];
            let Some(server) = self.servers.get(key) else { continue };
            let mut room = share.min(server.window());
            if !scope.rank.in_time {
                room = (room / LATE_DIVISOR).max(1);
            }
            if !self.is_open(server) || server.in_flight >= room {
                continue;
            }
            if !scope.admits(key) {
                continue;
            }
            let score = self.score(now, server, class);
            if best.is_none_or(|(least, _)| score < least) {
                best = Some((score, key));
            }
        }
        best.map(|(_, key)| key)
    }

    /// The servers of a service that a node and its helper in `zone` may ask for
    /// one search: those that seem well first, then those of the zone.
    pub fn choose_allowed(
        &mut self,
        now: BootTime,
        service: ServiceKey,
        class: ClassKey,
        zone: &str,
        limit: usize,
    ) -> Vec<ServerKey> {
        let Some(state) = self.services.get_mut(service) else { return Vec::new() };
        state.rotation = state.rotation.wrapping_add(1);
        let mut keys = state.servers.clone();
        if keys.len() <= limit {
            return keys;
        }
        let start = state.rotation % keys.len();
        keys.rotate_left(start);
        // The sort is stable, so that equals take turns.
        keys.sort_by_key(|key| {
            let server = self.servers.get(*key);
            let is_open = server.is_some_and(|server| self.is_open(server));
            let in_zone = server.is_some_and(|server| server.entry.zone.as_ref() == zone);
            (!is_open, self.is_suspect(now, *key, class), !in_zone)
        });
        keys.truncate(limit);
        keys
    }

    /// Short names of servers, by which a peer finds them again.
    #[must_use]
    pub fn short_names(&self, keys: &[ServerKey]) -> Vec<u32> {
        let servers = keys.iter().filter_map(|key| self.servers.get(*key));
        servers.map(|server| short_name(&server.entry.id)).collect()
    }

    /// The servers with some short names, and the service that they belong to;
    /// `None` if this node knows none of them.
    #[must_use]
    pub fn find_servers(&self, short_names: &[u32]) -> Option<(ServiceKey, Vec<ServerKey>)> {
        let known = short_names.iter().filter_map(|name| self.short_names.get(name).copied());
        let keys: Vec<_> = known.collect();
        let service = self.servers.get(*keys.first()?)?.service;
        let in_service =
            |key: &ServerKey| self.servers.get(*key).is_some_and(|it| it.service == service);
        Some((service, keys.into_iter().filter(in_service).collect()))
    }

    /// Whether a server has kept every request waiting for too long, or was not
    /// reached a moment ago; extra requests to it would be lost.
    #[must_use]
    pub fn is_suspect(&self, now: BootTime, key: ServerKey, class: ClassKey) -> bool {
        let Some(server) = self.servers.get(key) else { return true };
        now < server.backoff_until || self.is_stalled(now, server, class)
    }

    fn is_stalled(&self, now: BootTime, server: &ServerState, class: ClassKey) -> bool {
        let patience = self.classes.hedge_delay(class).mul_f64(STALL_DELAYS);
        server.in_flight > 0 && now.since(server.waiting_since) > patience
    }

    fn score(&self, now: BootTime, server: &ServerState, class: ClassKey) -> f64 {
        let mut score = server.expected_load();
        if now < server.cold_until {
            score *= COLD_FACTOR;
        }
        if self.is_stalled(now, server, class) {
            score *= STALLED_FACTOR;
        }
        if now < server.backoff_until {
            score *= BACKOFF_FACTOR;
        }
        if server.entry.zone != self.zone {
            score += CROSSING_COST * self.classes.objective_in_medians(class);
        }
        score
    }

    /// Notes that a request goes to a server.
    pub fn sent(&mut self, now: BootTime, server: ServerKey, class: ClassKey) -> SentTicket {
        if let Some(state) = self.servers.get_mut(server) {
            if state.in_flight == 0 {
                state.waiting_since = now;
            }
            state.in_flight += 1;
            self.reach.sent(now, &state.entry.zone);
        }
        SentTicket { server, class, sent: now }
    }

    /// Takes in the end of an attempt.
    pub fn ended(&mut self, now: BootTime, ticket: SentTicket, end: AttemptEnd) {
        let latency = now.since(ticket.sent);
        let relative = self.classes.relative(ticket.class, latency);
        if end == AttemptEnd::Answered {
            self.classes.record(ticket.class, latency);
        }
        let Some(server) = self.servers.get_mut(ticket.server) else { return };
        server.in_flight = server.in_flight.saturating_sub(1);
        if matches!(end, AttemptEnd::Answered | AttemptEnd::NotRun | AttemptEnd::WrongServer) {
            self.reach.answered(&server.entry.zone);
        }
        server.observe(now, end, relative);
    }
}

impl PickScope<'_> {
    fn admits(&self, key: ServerKey) -> bool {
        !self.tried.contains(&key) && self.only.is_none_or(|only| only.contains(&key))
    }
}

/// Short name of a server; a deployment has too few servers for two to share one.
fn short_name(id: &str) -> u32 {
    xxh3_64(id.as_bytes()) as u32
}
