//! Which shards of a search are delegated, and to whom.

use std::{sync::Arc, time::Duration};

use carobstep_clock::BootTime;
use indexmap::IndexMap;

use crate::{
    fanout_plan::{Delegation, ShardIndex},
    fleet::{ServerFleet, ServerKey, ServiceKey},
    peers::{PeerEntry, PeerTable},
    stats::ClassKey,
};

/// Time that must be left for a delegation to be worth its hop.
const MIN_TIME: Duration = Duration::from_millis(8);

/// Share of the servers' slots in use above which searches don't leave the
/// choice of servers to a node of another zone: which server is free then
/// matters more than bytes between zones.
const MAX_SLOTS_IN_USE: f64 = 0.5;

/// One search whose shards are to be dealt out.
#[derive(Clone, Copy, Debug)]
pub struct DelegationRequest<'plan> {
    /// Names of the shards' services.
    pub names: &'plan [Arc<str>],
    /// Their keys, in the same order.
    pub services: &'plan [ServiceKey],
    /// Class of the search.
    pub class: ClassKey,
    /// Its latency objective.
    pub objective: Duration,
    /// Servers that may be asked for each shard.
    pub attempts: u32,
    /// When its answer goes out.
    pub answer_by: BootTime,
    /// Number of the search; deals searches out to equally good zones in turn.
    pub number: usize,
}

/// The shards of a search that peers take.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct DealtShards {
    /// One for each peer.
    pub delegations: Vec<Delegation>,
    /// Servers that both nodes choose among, for each of these shards.
    pub allowed: IndexMap<ShardIndex, Vec<ServerKey>>,
}

/// Deals the shards of a search out to peers; those that are in no delegation
/// are asked by this node.
///
/// A shard is asked from the own zone if a server there seems well. Otherwise
/// one other zone takes it, the same one for all shards of this search.
#[must_use]
pub fn plan_delegations(
    now: BootTime,
    request: DelegationRequest<'_>,
    fleet: &mut ServerFleet,
    peers: &PeerTable,
) -> DealtShards {
    fleet.classes.record_search(now, request.class);
    if request.answer_by.since(now) < MIN_TIME {
        return DealtShards::default();
    }
    let own_zone = &peers.own().zone;
    let mut preference = vec![own_zone.clone()];
    let mut others = fleet.zones();
    others.retain(|zone| zone != own_zone);
    if !others.is_empty() {
        let turn = request.number % others.len();
        others.rotate_left(turn);
    }
    preference.extend(others);
    let crowded = request
        .services
        .first()
        .is_some_and(|service| fleet.slot_utilization(*service) > MAX_SLOTS_IN_USE);
    let should_delegate = peers.should_delegate(request.names.len(), request.objective);
    let mut helpers: IndexMap<Arc<str>, Vec<&PeerEntry>> = IndexMap::new();
    let mut groups: IndexMap<Arc<str>, Vec<ShardIndex>> = IndexMap::new();
    let mut allowed = IndexMap::new();
    for (position, name) in request.names.iter().enumerate() {
        let service = request.services[position];
        let Some(zone) = fleet.best_zone(now, service, request.class, &preference) else {
            continue;
        };
        let alone = if zone == *own_zone { !should_delegate } else { crowded && !should_delegate };
        if alone {
            continue;
        }
        let helpers = helpers.entry(zone.clone()).or_insert_with(|| {
            let mut helpers = peers.delegates_in_zone(now, &zone, request.names.len());
            if zone == *own_zone {
                helpers.push(peers.own());
            }
            helpers
        });
        let Some(helper) = PeerTable::choose_delegate(helpers, name) else { continue };
        if helper.name == peers.own().name {
            continue;
        }
        let peer = helper.name.clone();
        let shard = ShardIndex(u16::try_from(position).unwrap_or(u16::MAX));
        groups.entry(peer).or_default().push(shard);
        let attempts = request.attempts as usize;
        let servers = fleet.choose_allowed(now, service, request.class, &zone, attempts);
        allowed.insert(shard, servers);
    }
    let fallback_at = (now + fleet.classes.delegation_delay(request.class)).min(request.answer_by);
    let delegation = |(peer, shards)| Delegation { peer, shards, fallback_at };
    DealtShards { delegations: groups.into_iter().map(delegation).collect(), allowed }
}
