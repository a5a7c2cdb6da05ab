//! Table of the other nodes, and the choice of the peers that shards are delegated to.
//!
//! Designed for searches over many shards on machines with a fraction of a core,
//! and for zones without servers of their own. A delegate is a node in the servers'
//! zone that calls them for another node and merges their partial results, so that
//! only one request and one answer cross zones and the work of one search is spread
//! over several machines. Delegation is only an optimization: every node may call
//! every server.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use carobstep_clock::BootTime;
use indexmap::{IndexMap, IndexSet};
use serde::{Deserialize, Serialize};

use crate::{directory::StoreRevision, link_reports::LinkReports, update_tree::TreeRank};

/// Initial time for which a peer gets no delegations after it was silent or
/// unreachable; doubles with each further failure.
const BACKOFF: Duration = Duration::from_millis(500);

/// Maximum time for which an unreachable peer gets no delegations.
const MAX_BACKOFF: Duration = Duration::from_secs(8);

/// Time for which a peer is not asked for store updates after its updates were stale
/// or came from this node.
const STALE_SOURCE_BACKOFF: Duration = Duration::from_secs(2);

/// CPU time that the calls for one shard take, in seconds of a full core.
const SHARD_CALL_CPU_SECONDS: f64 = 55e-6;

/// Bits that the calls for one shard transfer over the node's link: headers and a
/// partial result of a few hundred bytes.
const SHARD_CALL_BITS: f64 = 700.0 * 8.0;

/// CPU time that one call to a peer takes, in seconds of a full core.
const PEER_CALL_CPU_SECONDS: f64 = 110e-6;

/// Share of the latency objective that the direct calls of one search may take on
/// this node before shards are delegated within the zone.
const MAX_DIRECT_CALLS_SHARE: f64 = 0.15;

/// Number of consecutive failures after which a peer no longer counts as live.
const MAX_LIVE_FAILURES: u32 = 6;

/// Failures in a row after which a peer in its backoff owns no limits of client accounts.
const MIN_OWNER_FAILURES: u32 = 3;

/// Time for which a peer that did not reply as the owner of a limit is passed over.
const OWNER_PAUSE: Duration = Duration::from_millis(1_000);

/// Time for which a peer that rejected a message with names of servers gets none.
const NAMES_REJECTED_TIME: Duration = Duration::from_secs(60);

/// Maximum number of removals that are remembered for incremental updates; the oldest is
/// forgotten first.
const MAX_REMOVED: usize = 1024;

/// Lower bound on a node's share of a core; prevents a division by zero for an
/// invalid entry.
const MIN_CPU_SHARE: f64 = 0.01;

/// Lower bound on the bandwidth of a node's link, in Mbit/s; prevents a division by
/// zero for an invalid entry.
const MIN_LINK_MBPS: f64 = 0.1;

/// Registration of a node.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct PeerEntry {
    /// Name of the node.
    pub name: Arc<str>,
    /// Availability zone of the node.
    pub zone: Arc<str>,
    /// Address on which the node listens for peers.
    pub address: SocketAddr,
    /// Share of a core that the node may use.
    pub cpu_share: f64,
    /// Bandwidth of the node's link, in Mbit/s.
    pub link_mbps: f64,
}

impl PeerEntry {
    /// Returns the seconds that the calls for one shard take on the node's CPU and link.
    #[must_use]
    pub fn shard_seconds(&self) -> f64 {
        let processor = SHARD_CALL_CPU_SECONDS / self.cpu_share.max(MIN_CPU_SHARE);
        processor + SHARD_CALL_BITS / (self.link_mbps.max(MIN_LINK_MBPS) * 1e6)
    }
}

/// All known nodes, including this one.
#[derive(Clone, Debug)]
pub struct PeerTable {
    own: PeerEntry,
    own_rank: TreeRank,
    pub(crate) peers: IndexMap<Arc<str>, PeerState>,
    /// Zones whose servers this node and its peers don't reach.
    pub(crate) link_reports: LinkReports,
    /// Store revision that the table reflects.
    revision: StoreRevision,
    /// Revision since which every removal is in `removed`.
    history_since: StoreRevision,
    removed: IndexMap<Arc<str>, StoreRevision>,
    /// Nodes that were lost without handing over what they knew, and when that was noticed.
    pub(crate) lost: IndexMap<Arc<str>, (PeerEntry, BootTime)>,
    /// Whether this node is stopping, so that others own its limits.
    pub(crate) is_leaving: bool,
}

#[derive(Clone, Debug)]
pub(crate) struct PeerState {
    pub(crate) entry: PeerEntry,
    pub(crate) rank: TreeRank,
    /// Store revision of the last change of the entry.
    revision: StoreRevision,
    backoff_until: BootTime,
    pub(crate) failures: u32,
    /// When the peer last responded to this node.
    pub(crate) contact_at: BootTime,
    /// Until when the peer has no room for requests of nodes without links.
    pub(crate) full_until: BootTime,
    /// Until when the peer is not asked for store updates.
    stale_until: BootTime,
    /// Until when the peer is not taken for the owner of the limit of a client account.
    owner_pause_until: BootTime,
    /// Whether the peer is stopping and has handed over the limits that it owned.
    has_handed_over: bool,
    /// Until when the peer counts as one of the version before, to which servers are named by
    /// hashes.
    names_rejected_until: BootTime,
}

impl PeerState {
    pub(crate) fn is_usable(&self, now: BootTime) -> bool {
        now >= self.backoff_until
    }

    /// Returns whether the peer may own limits of client accounts. Nodes should agree on that,
    /// so that a single failure of another kind of call does not count.
    pub(crate) fn may_own(&self, now: BootTime) -> bool {
        let is_failing = self.failures >= MIN_OWNER_FAILURES && !self.is_usable(now);
        !is_failing && !self.has_handed_over && now >= self.owner_pause_until
    }

    /// Returns whether the peer's store updates were not found to be stale recently.
    pub(crate) fn is_fresh(&self, now: BootTime) -> bool {
        now >= self.stale_until
    }
}

/// Update of the list of nodes that a node sends to a peer.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct PeerUpdate {
    /// Store revision that the update reflects.
    pub revision: StoreRevision,
    /// Whether this is the full list, so that nodes missing from it are removed.
    pub whole: bool,
    /// Changed nodes, or all nodes in a full list, with the revision of the change.
    pub changed: Vec<(StoreRevision, PeerEntry)>,
    /// Removed nodes, with the revision of the removal.
    pub removed: Vec<(StoreRevision, Arc<str>)>,
}

impl PeerTable {
    /// Creates a table that contains only this node.
    #[must_use]
    pub fn new(own: PeerEntry) -> Self {
        Self {
            own_rank: TreeRank::from(&own),
            link_reports: LinkReports::new(own.name.clone()),
            own,
            peers: IndexMap::new(),
            revision: StoreRevision::default(),
            history_since: StoreRevision::default(),
            removed: IndexMap::new(),
            lost: IndexMap::new(),
            is_leaving: false,
        }
    }

    pub(crate) const fn own_rank(&self) -> TreeRank {
        self.own_rank
    }

    /// Returns the store revision that the table reflects.
    #[must_use]
    pub const fn revision(&self) -> StoreRevision {
        self.revision
    }

    /// Returns the entry of this node.
    #[must_use]
    pub const fn own(&self) -> &PeerEntry {
        &self.own
    }

    /// Adds or updates a peer. A changed entry resets the peer's failures; an entry for
    /// this node is ignored.
    pub fn insert(&mut self, revision: StoreRevision, entry: PeerEntry) {
        self.revision = self.revision.max(revision);
        if entry.name == self.own.name {
            return;
        }
        self.removed.shift_remove(&entry.name);
        if let Some(known) = self.peers.get_mut(&entry.name).filter(|known| known.entry == entry) {
            if known.revision < revision {
                // Another process on the same machine, maybe of another version.
                known.revision = revision;
                known.has_handed_over = false;
                known.names_rejected_until = BootTime::ZERO;
            }
            return;
        }
        let state = PeerState {
            rank: TreeRank::from(&entry),
            entry,
            revision,
            backoff_until: BootTime::ZERO,
            owner_pause_until: BootTime::ZERO,
            has_handed_over: false,
            names_rejected_until: BootTime::ZERO,
            failures: 0,
            contact_at: BootTime::ZERO,
            full_until: BootTime::ZERO,
            stale_until: BootTime::ZERO,
        };
        self.peers.insert(state.entry.name.clone(), state);
    }

    /// Adds peers from an incomplete list, which says nothing about other nodes.
    pub fn seed(&mut self, listed: Vec<(StoreRevision, PeerEntry)>) {
        let revision = self.revision;
        for (listed_revision, entry) in listed {
            self.insert(listed_revision, entry);
        }
        // The changes up to the entries' revisions are still to be learned.
        self.revision = revision;
    }

    /// Removes a peer; ignores names that are not known.
    pub fn remove(&mut self, now: BootTime, revision: StoreRevision, name: &str) {
        self.revision = self.revision.max(revision);
        self.record_lost(now, name);
        let Some((name, _)) = self.peers.swap_remove_entry(name) else { return };
        self.link_reports.remove(&name);
        self.removed.shift_remove(&name);
        self.removed.insert(name, revision);
        if self.removed.len() > MAX_REMOVED
            && let Some((_, forgotten)) = self.removed.shift_remove_index(0)
        {
            self.history_since = self.history_since.max(forgotten);
        }
    }

    /// Replaces all peers with a complete list; unchanged entries keep their state.
    pub fn replace(
        &mut self,
        now: BootTime,
        revision: StoreRevision,
        listed: Vec<(StoreRevision, PeerEntry)>,
    ) {
        let known = self.revision;
        if known == StoreRevision::default() {
            self.history_since = revision;
        }
        let names: IndexSet<Arc<str>> =
            listed.iter().map(|(_, entry)| entry.name.clone()).collect();
        let missing: Vec<Arc<str>> =
            self.peers.keys().filter(|name| !names.contains(*name)).cloned().collect();
        for name in missing {
            self.remove(now, revision, &name);
        }
        for (revision, entry) in listed {
            self.insert(revision, entry);
        }
        // An entry may be newer than the list: it doesn't tell what was removed before it.
        self.revision = known.max(revision);
    }

    /// Returns the changes since a revision, and this node's own entry; the full list if
    /// the changes are not known any more.
    #[must_use]
    pub fn updates_since(&self, since: StoreRevision) -> PeerUpdate {
        let whole = since.number == 0
            || since.era != self.revision.era
            || since < self.history_since
            || since > self.revision;
        let mut update = PeerUpdate { revision: self.revision, whole, ..PeerUpdate::default() };
        update.changed.push((self.revision, self.own.clone()));
        for peer in self.peers.values() {
            if whole || peer.revision >= since {
                update.changed.push((peer.revision, peer.entry.clone()));
            }
        }
        for (name, revision) in &self.removed {
            if !whole && *revision >= since {
                update.removed.push((*revision, name.clone()));
            }
        }
        update
    }

    /// Applies an update from a peer. Ignores one that is older than this table.
    pub fn apply_update(&mut self, now: BootTime, update: PeerUpdate) {
        if update.revision < self.revision {
            return;
        }
        if update.whole {
            self.replace(now, update.revision, update.changed);
            return;
        }
        for (revision, name) in update.removed {
            let known = self.peers.get(&name);
            if known.is_some_and(|known| known.revision <= revision) {
                self.remove(now, revision, &name);
            }
        }
        for (revision, entry) in update.changed {
            self.insert(revision, entry);
        }
        self.revision = self.revision.max(update.revision);
    }

    /// Returns the number of registered nodes, including this one and those that don't
    /// reply to this one.
    #[must_use]
    pub fn registered_nodes(&self) -> u32 {
        u32::try_from(self.peers.len() + 1).unwrap_or(u32::MAX)
    }

    /// Returns the number of availability zones that have nodes, including this one.
    #[must_use]
    pub fn zones(&self) -> usize {
        let own = std::iter::once(&self.own);
        own.chain(self.entries()).map(|entry| &entry.zone).collect::<IndexSet<_>>().len()
    }

    /// Returns the number of live nodes, including this one. They share the limits.
    #[must_use]
    pub fn live_nodes(&self) -> u32 {
        u32::try_from(self.live_peers().count() + 1).unwrap_or(u32::MAX)
    }

    /// Iterates over the live peers, excluding this node.
    pub fn live_entries(&self) -> impl Iterator<Item = &PeerEntry> {
        self.live_peers().map(|state| &state.entry)
    }

    /// Returns the number of other live nodes in this node's zone.
    #[must_use]
    pub fn other_nodes_in_zone(&self) -> usize {
        self.live_entries().filter(|entry| entry.zone == self.own.zone).count()
    }

    pub(crate) fn live_peers(&self) -> impl Iterator<Item = &PeerState> {
        self.peers.values().filter(|state| state.failures < MAX_LIVE_FAILURES)
    }

    /// Returns the address on which a peer listens for other nodes, if the peer is known.
    #[must_use]
    pub fn address(&self, name: &str) -> Option<SocketAddr> {
        self.peers.get(name).map(|state| state.entry.address)
    }

    /// Records that a peer answered.
    pub fn on_answered(&mut self, now: BootTime, name: &str) {
        if let Some(state) = self.peers.get_mut(name) {
            state.failures = 0;
            state.contact_at = now;
            state.backoff_until = BootTime::ZERO;
        }
    }

    /// Records that a peer was silent, refused a delegation or could not be reached.
    pub fn on_failed(&mut self, now: BootTime, name: &str) {
        if let Some(state) = self.peers.get_mut(name) {
            if now < state.backoff_until {
                return;
            }
            let backoff = BACKOFF * 2u32.pow(state.failures.min(4));
            state.failures += 1;
            state.backoff_until = now + backoff.min(MAX_BACKOFF);
            if !state.may_own(now) {
                self.record_lost(now, name);
            }
        }
    }

    /// Records that a peer is stopping and has handed over the limits that it owned.
    pub fn on_handed_over(&mut self, name: &str) {
        if let Some(state) = self.peers.get_mut(name) {
            state.has_handed_over = true;
        }
    }

    /// Records that this node is stopping: from now on, others own its limits.
    pub const fn leave(&mut self) {
        self.is_leaving = true;
    }

    /// Records that what a peer knew as the owner of limits is lost.
    fn record_lost(&mut self, now: BootTime, name: &str) {
        let Some(state) = self.peers.get(name).filter(|state| !state.has_handed_over) else {
            return;
        };
        self.lost.shift_remove(name);
        self.lost.insert(state.entry.name.clone(), (state.entry.clone(), now));
        if self.lost.len() > MAX_REMOVED {
            self.lost.shift_remove_index(0);
        }
    }

    /// Records that a peer does not know messages that name servers by their incarnations.
    pub fn on_names_rejected(&mut self, now: BootTime, name: &str) {
        if let Some(state) = self.peers.get_mut(name) {
            state.names_rejected_until = now + NAMES_REJECTED_TIME;
        }
    }

    /// Returns whether messages to a peer may name servers by their incarnations.
    #[must_use]
    pub fn accepts_names(&self, now: BootTime, name: &str) -> bool {
        self.peers.get(name).is_none_or(|state| now >= state.names_rejected_until)
    }

    /// Records that a peer did not reply as the owner of the limit of a client account.
    pub fn on_owner_failed(&mut self, now: BootTime, name: &str) {
        if let Some(state) = self.peers.get_mut(name) {
            state.owner_pause_until = now + OWNER_PAUSE;
            self.record_lost(now, name);
        }
    }

    /// Records that a peer has acted as the owner of the limit of a client account.
    pub fn on_owner_heard(&mut self, name: &str) {
        if let Some(state) = self.peers.get_mut(name) {
            state.owner_pause_until = BootTime::ZERO;
        }
    }

    /// Returns whether direct calls for `shards` shards would take too much of the
    /// latency objective on this node.
    #[must_use]
    pub fn should_delegate(&self, shards: usize, objective: Duration) -> bool {
        let seconds = shards as f64 * self.own.shard_seconds();
        seconds > objective.as_secs_f64() * MAX_DIRECT_CALLS_SHARE
    }

    /// Returns the peers in `zone` that should call the servers of `shards` shards for
    /// this node: as many of the fastest as minimize the estimated time of the search.
    ///
    /// Each delegate costs this node one call, so a few fast delegates can be better
    /// than many slow ones. Equally fast peers are ordered differently for each node,
    /// to spread the load.
    #[must_use]
    pub fn delegates_in_zone(&self, now: BootTime, zone: &str, shards: usize) -> Vec<&PeerEntry> {
        let reaching = self.usable(now, zone).filter(|it| self.reaches(&it.entry.name, zone));
        let candidates = reaching.map(|state| &state.entry).collect();
        let is_local = *zone == *self.own.zone;
        let own_speed = if is_local { 1.0 / self.own.shard_seconds() } else { 0.0 };
        self.fastest(candidates, shards, own_speed)
    }

    /// Returns as many of the fastest candidates as minimize the estimated time of `shards`
    /// shards. This node calls some of them itself at `own_speed`, in shards per second.
    pub(crate) fn fastest<'peer>(
        &self,
        candidates: Vec<&'peer PeerEntry>,
        shards: usize,
        own_speed: f64,
    ) -> Vec<&'peer PeerEntry> {
        let with_seconds = candidates.into_iter().map(|peer| (peer.shard_seconds(), peer));
        let mut candidates: Vec<_> = with_seconds.collect();
        candidates.sort_by(|one, other| {
            let score = |peer: &PeerEntry| rendezvous_score(peer, &self.own.name);
            one.0.total_cmp(&other.0).then_with(|| score(other.1).total_cmp(&score(one.1)))
        });
        let call_seconds = PEER_CALL_CPU_SECONDS / self.own.cpu_share.max(MIN_CPU_SHARE);
        let mut speed = own_speed;
        let mut best = (shards as f64 / speed, 0);
        for (position, (shard_seconds, _)) in candidates.iter().enumerate() {
            let count = position + 1;
            speed += 1.0 / shard_seconds;
            let seconds = count as f64 * call_seconds + shards as f64 / speed;
            if seconds < best.0 {
                best = (seconds, count);
            }
        }
        candidates.into_iter().take(best.1).map(|(_, peer)| peer).collect()
    }

    /// Chooses the node that calls the servers of a shard, by weighted rendezvous hashing.
    #[must_use]
    pub fn choose_delegate<'peer>(
        delegates: &[&'peer PeerEntry],
        shard: &str,
    ) -> Option<&'peer PeerEntry> {
        let mut best: Option<(f64, &PeerEntry)> = None;
        for delegate in delegates {
            let score = rendezvous_score(delegate, shard);
            if best.is_none_or(|(greatest, _)| score > greatest) {
                best = Some((score, delegate));
            }
        }
        best.map(|(_, delegate)| delegate)
    }

    /// Records that the store updates of a peer are stale or come from this node.
    pub fn mark_stale(&mut self, now: BootTime, name: &str) {
        if let Some(state) = self.peers.get_mut(name) {
            state.stale_until = now + STALE_SOURCE_BACKOFF;
        }
    }

    /// Returns the peer to ask for store updates while the store does not serve this
    /// node: one in the local zone if possible, else one in another zone.
    #[must_use]
    pub fn fallback_peer(&self, now: BootTime) -> Option<Arc<str>> {
        let in_zone = self.best_update_source(now, &self.own.zone);
        let mut zones: Vec<&Arc<str>> =
            self.entries().map(|entry| &entry.zone).filter(|it| **it != self.own.zone).collect();
        zones.sort();
        zones.dedup();
        let in_other_zones = || zones.iter().find_map(|zone| self.best_update_source(now, zone));
        in_zone.or_else(in_other_zones).map(|peer| peer.entry.name.clone())
    }

    fn best_update_source(&self, now: BootTime, zone: &str) -> Option<&PeerState> {
        let sources = self.usable(now, zone).filter(|state| state.is_fresh(now));
        sources.min_by(|one, other| one.rank.order(&other.rank))
    }

    /// Iterates over all known peers, excluding this node.
    pub fn entries(&self) -> impl Iterator<Item = &PeerEntry> {
        self.peers.values().map(|state| &state.entry)
    }

    pub(crate) fn usable(&self, now: BootTime, zone: &str) -> impl Iterator<Item = &PeerState> {
        self.peers
            .values()
            .filter(move |state| state.entry.zone.as_ref() == zone && state.is_usable(now))
    }
}

/// Computes the score of a node for a key in weighted rendezvous hashing: the node with
/// the highest score gets the key, so each gets keys in proportion to its speed.
pub(crate) fn rendezvous_score(peer: &PeerEntry, key: &str) -> f64 {
    let mut bytes = Vec::with_capacity(peer.name.len() + key.len() + 1);
    bytes.extend_from_slice(peer.name.as_bytes());
    bytes.push(0);
    bytes.extend_from_slice(key.as_bytes());
    let hash = xxhash_rust::xxh3::xxh3_64(&bytes);
    // Maps the hash to the open interval (0, 1).
    let unit = ((hash >> 11) as f64 + 0.5) / (1u64 << 53) as f64;
    1.0 / (peer.shard_seconds() * -unit.ln())
}
