//! Decides which node calls the servers of each shard of a request: this one or a peer.
//!
//! A peer calls them where that is faster or saves traffic between zones, and where this
//! node has lost its links to all servers of the shard. A request to one service is a
//! request with one shard.

use std::{sync::Arc, time::Duration};

use carobstep_clock::BootTime;
use indexmap::IndexMap;

use crate::{
    fanout_plan::{Delegation, ShardIndex},
    fleet::{ServerFleet, ServerKey, ServiceKey},
    peers::{PeerEntry, PeerTable},
    stats::ClassKey,
};

/// Minimum time before the answer time for a delegation to be worth its extra hop.
const MIN_REMAINING_TIME: Duration = Duration::from_millis(8);

/// Slot utilization above which shards are not delegated to another zone only to
/// save traffic between zones: choosing a free server among all zones then matters
/// more.
const MAX_REMOTE_UTILIZATION: f64 = 0.5;

/// Properties of a request that decide which nodes call servers for it.
#[derive(Clone, Copy, Debug)]
pub struct PlacementRequest {
    /// Whether it is a search, the shards of which may go to peers that only save time or
    /// traffic.
    pub is_search: bool,
    /// Whether servers may have crashed under the request, so that one node must call them
    /// all.
    pub is_cautious: bool,
    /// Latency class of the request.
    pub class: ClassKey,
    /// Latency objective of the request.
    pub objective: Duration,
    /// Maximum number of servers that may be called for each shard.
    pub attempts: u32,
    /// When the answer is due.
    pub answer_by: BootTime,
    /// When the request times out.
    pub deadline: BootTime,
    /// Sequence number of the request; rotates requests over equally good zones and peers.
    pub number: usize,
}

/// A shard for which no direct attempt has been sent or can be sent any more.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct UnplacedShard {
    /// Position of the shard.
    pub shard: ShardIndex,
    /// Service of the shard.
    pub service: ServiceKey,
    /// Servers that attempts for the shard may have reached.
    pub called: Vec<ServerKey>,
    /// Peers to which the shard was delegated without a result.
    pub tried: Vec<Arc<str>>,
}

impl UnplacedShard {
    fn new(position: usize, service: ServiceKey) -> Self {
        let shard = ShardIndex(u16::try_from(position).unwrap_or(u16::MAX));
        Self { shard, service, called: Vec::new(), tried: Vec::new() }
    }
}

/// Assignment of the shards of a request to peers.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Placement {
    /// One delegation for each peer.
    pub delegations: Vec<Delegation>,
    /// Servers that both nodes may call, for each delegated shard.
    pub allowed: IndexMap<ShardIndex, Vec<ServerKey>>,
}

/// Assigns the shards of a new request to peers; this node calls the servers of all shards
/// that are in no delegation and that it reaches. `names` are the services of the shards.
///
/// A shard is handled in the local zone if a server there is available and not
/// suspect (see [`ServerFleet::is_suspect`]).
/// Otherwise another zone handles it; all shards of a search prefer the other zones
/// in the same order.
#[must_use]
pub fn place_request(
    now: BootTime,
    request: PlacementRequest,
    names: &[Arc<str>],
    services: &[ServiceKey],
    fleet: &mut ServerFleet,
    peers: &PeerTable,
) -> Placement {
    let local_zone = &peers.own().zone;
    let preference = zone_preference(request, fleet, peers);
    if request.is_search {
        fleet.classes.record_search(now, request.class);
    }
    let is_early = request.answer_by.since(now) >= MIN_REMAINING_TIME;
    let may_delegate = request.is_search && is_early && !request.is_cautious;
    let is_busy = services
        .first()
        .is_some_and(|service| fleet.slot_utilization(now, *service) > MAX_REMOTE_UTILIZATION);
    let should_delegate = peers.should_delegate(names.len(), request.objective);
    let mut draft = PlacementDraft::new(now, request, names.len());
    let mut unreached = Vec::new();
    let mut shards_by_zone: IndexMap<Arc<str>, Vec<usize>> = IndexMap::new();
    for (position, service) in services.iter().enumerate() {
        if !fleet.has_responding_server(now, *service) {
            unreached.push(UnplacedShard::new(position, *service));
            continue;
        }
        let Some(zone) = fleet.best_zone(now, *service, request.class, &preference) else {
            continue;
        };
        let is_direct =
            if zone == *local_zone { !should_delegate } else { is_busy && !should_delegate };
        if !is_direct && may_delegate {
            shards_by_zone.entry(zone).or_default().push(position);
        }
    }
    for (zone, positions) in shards_by_zone {
        let mut delegates = peers.delegates_in_zone(now, &zone, positions.len());
        if zone == *local_zone {
            delegates.push(peers.own());
        }
        for position in positions {
            let delegate = PeerTable::choose_delegate(&delegates, &names[position]);
            let Some(delegate) = delegate.filter(|it| it.name != peers.own().name) else {
                continue;
            };
            let shard = ShardIndex(u16::try_from(position).unwrap_or(u16::MAX));
            let place = (&delegate.name, &*zone);
            draft.assign(fleet, (shard, services[position]), place, &[]);
        }
    }
    if request.is_cautious && !unreached.is_empty() {
        let numbered = services.iter().enumerate();
        unreached =
            numbered.map(|(position, service)| UnplacedShard::new(position, *service)).collect();
    }
    draft.assign_relays(fleet, peers, &preference, &unreached);
    draft.finish(fleet)
}

/// Assigns shards of a running request that this node can't call servers for to peers.
#[must_use]
pub fn place_with_peers(
    now: BootTime,
    request: PlacementRequest,
    shards: &[UnplacedShard],
    fleet: &mut ServerFleet,
    peers: &PeerTable,
) -> Placement {
    let preference = zone_preference(request, fleet, peers);
    let mut draft = PlacementDraft::new(now, request, shards.len());
    draft.assign_relays(fleet, peers, &preference, shards);
    draft.finish(fleet)
}

/// Returns the zones of servers in the order in which they are preferred.
fn zone_preference(
    request: PlacementRequest,
    fleet: &ServerFleet,
    peers: &PeerTable,
) -> Vec<Arc<str>> {
    let local_zone = &peers.own().zone;
    let mut preference = vec![local_zone.clone()];
    let mut other_zones = fleet.zones();
    other_zones.retain(|zone| zone != local_zone);
    if !other_zones.is_empty() {
        let offset = request.number % other_zones.len();
        other_zones.rotate_left(offset);
    }
    preference.extend(other_zones);
    preference
}

/// A placement while its shards are being assigned.
struct PlacementDraft {
    now: BootTime,
    request: PlacementRequest,
    /// Number of shards that have to be placed.
    shards: usize,
    shards_by_peer: IndexMap<Arc<str>, PeerShards>,
    allowed: IndexMap<ShardIndex, Vec<ServerKey>>,
}

/// Shards that are assigned to one peer.
#[derive(Default)]
struct PeerShards {
    shards: Vec<ShardIndex>,
    is_relay: bool,
}

impl PlacementDraft {
    fn new(now: BootTime, request: PlacementRequest, shards: usize) -> Self {
        let shards_by_peer = IndexMap::new();
        Self { now, request, shards, shards_by_peer, allowed: IndexMap::new() }
    }

    fn assign(
        &mut self,
        fleet: &mut ServerFleet,
        (shard, service): (ShardIndex, ServiceKey),
        (peer, zone): (&Arc<str>, &str),
        called: &[ServerKey],
    ) -> &mut PeerShards {
        let (class, limit) = (self.request.class, self.request.attempts as usize);
        let servers = fleet.choose_allowed(self.now, service, class, zone, limit, called);
        self.allowed.insert(shard, servers);
        let assigned = self.shards_by_peer.entry(peer.clone()).or_default();
        assigned.shards.push(shard);
        assigned
    }

    /// Assigns shards that this node can't call servers for to peers that can.
    fn assign_relays(
        &mut self,
        fleet: &mut ServerFleet,
        peers: &PeerTable,
        preference: &[Arc<str>],
        unplaced: &[UnplacedShard],
    ) {
        let (now, shards) = (self.now, self.shards);
        let relays_to = |zone: &str, tried: &[Arc<str>]| {
            let relays = peers.relays_to(now, zone, tried);
            if shards > 1 { peers.fastest(relays, shards, 0.0) } else { relays }
        };
        let mut untried_relays: IndexMap<&Arc<str>, Vec<&PeerEntry>> = IndexMap::new();
        let mut only_relay: Option<&PeerEntry> = None;
        for UnplacedShard { shard, service, called, tried } in unplaced {
            if fleet.is_relay_futile(now, *service) {
                continue;
            }
            let zones = fleet.zones_of(now, *service);
            // Differs between nodes, so that they choose different peers at the same time.
            let key = format!("{}/{}/{}", peers.own().name, self.request.number, shard.0);
            for zone in preference.iter().filter(|zone| zones.contains(zone)) {
                let relay = only_relay.or_else(|| {
                    if !tried.is_empty() {
                        return PeerTable::choose_delegate(&relays_to(zone, tried), &key);
                    }
                    let relays = untried_relays.entry(zone).or_insert_with(|| relays_to(zone, &[]));
                    PeerTable::choose_delegate(relays, &key)
                });
                let Some(relay) = relay else { continue };
                if self.request.is_cautious {
                    only_relay = Some(relay);
                }
                let place = (&relay.name, &**zone);
                self.assign(fleet, (*shard, *service), place, called).is_relay = true;
                break;
            }
        }
    }

    fn finish(self, fleet: &ServerFleet) -> Placement {
        let (now, PlacementRequest { class, answer_by, deadline, .. }) = (self.now, self.request);
        let silent_until = now + fleet.classes.delegation_delay(class);
        let delegation = |(peer, PeerShards { shards, is_relay })| {
            // There is nothing else to do while a peer with links works on the shards.
            let fallback_at = if is_relay { deadline } else { silent_until.min(answer_by) };
            Delegation { peer, shards, is_relay, fallback_at, is_first: true }
        };
        let delegations = self.shards_by_peer.into_iter().map(delegation).collect();
        Placement { delegations, allowed: self.allowed }
    }
}
