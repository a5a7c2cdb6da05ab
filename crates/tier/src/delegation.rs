//! Decides which shards of a search are delegated, and to which peers.

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

/// Properties of a search that decide how its shards are delegated.
#[derive(Clone, Copy, Debug)]
pub struct DelegationRequest<'plan> {
    /// Service names of the shards.
    pub names: &'plan [Arc<str>],
    /// Service keys of the shards, in the order of `names`.
    pub services: &'plan [ServiceKey],
    /// Latency class of the search.
    pub class: ClassKey,
    /// Latency objective of the search.
    pub objective: Duration,
    /// Maximum number of servers that may be called for each shard.
    pub attempts: u32,
    /// When the answer is due.
    pub answer_by: BootTime,
    /// Sequence number of the search; rotates searches over equally good zones.
    pub number: usize,
}

/// Assignment of the shards of a search to peers.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct DelegationPlan {
    /// One delegation for each peer.
    pub delegations: Vec<Delegation>,
    /// Servers that both nodes may call, for each delegated shard.
    pub allowed: IndexMap<ShardIndex, Vec<ServerKey>>,
}

/// Assigns the shards of a search to peers; this node calls the servers of all
/// shards that are in no delegation.
///
/// A shard is handled in the local zone if a server there is available and not
/// suspect (see [`ServerFleet::is_suspect`]).
/// Otherwise another zone handles it; all shards of a search prefer the other zones
/// in the same order.
#[must_use]
pub fn plan_delegations(
    now: BootTime,
    request: DelegationRequest<'_>,
    fleet: &mut ServerFleet,
    peers: &PeerTable,
) -> DelegationPlan {
    fleet.classes.record_search(now, request.class);
    if request.answer_by.since(now) < MIN_REMAINING_TIME {
        return DelegationPlan::default();
    }
    let local_zone = &peers.own().zone;
    let mut preference = vec![local_zone.clone()];
    let mut other_zones = fleet.zones();
    other_zones.retain(|zone| zone != local_zone);
    if !other_zones.is_empty() {
        let offset = request.number % other_zones.len();
        other_zones.rotate_left(offset);
    }
    preference.extend(other_zones);
    let is_busy = request
        .services
        .first()
        .is_some_and(|service| fleet.slot_utilization(now, *service) > MAX_REMOTE_UTILIZATION);
    let should_delegate = peers.should_delegate(request.names.len(), request.objective);
    let mut delegates_by_zone: IndexMap<Arc<str>, Vec<&PeerEntry>> = IndexMap::new();
    let mut shards_by_peer: IndexMap<Arc<str>, Vec<ShardIndex>> = IndexMap::new();
    let mut allowed = IndexMap::new();
    for (position, name) in request.names.iter().enumerate() {
        let service = request.services[position];
        let Some(zone) = fleet.best_zone(now, service, request.class, &preference) else {
            continue;
        };
        let is_direct =
            if zone == *local_zone { !should_delegate } else { is_busy && !should_delegate };
        if is_direct {
            continue;
        }
        let delegates = delegates_by_zone.entry(zone.clone()).or_insert_with(|| {
            let mut delegates = peers.delegates_in_zone(now, &zone, request.names.len());
            if zone == *local_zone {
                delegates.push(peers.own());
            }
            delegates
        });
        let Some(delegate) = PeerTable::choose_delegate(delegates, name) else { continue };
        if delegate.name == peers.own().name {
            continue;
        }
        let peer = delegate.name.clone();
        let shard = ShardIndex(u16::try_from(position).unwrap_or(u16::MAX));
        shards_by_peer.entry(peer).or_default().push(shard);
        let attempts = request.attempts as usize;
        let servers = fleet.choose_allowed(now, service, request.class, &zone, attempts);
        allowed.insert(shard, servers);
    }
    let fallback_at = (now + fleet.classes.delegation_delay(request.class)).min(request.answer_by);
    let delegation = |(peer, shards)| Delegation { peer, shards, fallback_at };
    DelegationPlan { delegations: shards_by_peer.into_iter().map(delegation).collect(), allowed }
}
