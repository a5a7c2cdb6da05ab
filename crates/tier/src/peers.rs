//! The other nodes, and which of them calls the servers of which shard.
//!
//! Load that this answers: searches over many shards on machines with a small
//! part of a core, and zones without servers of their own. A node of the
//! servers' zone calls them for the others and merges their parts, so that
//! only one request and one answer cross zones, and the work of one search
//! runs on several machines. A helper is a preference, not a permission: every
//! node may call every server.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use carobstep_clock::BootTime;
use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

/// Time for which a peer that was silent or unreachable gets no shards.
const AVOID_TIME: Duration = Duration::from_millis(500);

/// Longest time for which a peer that stays unreachable gets no shards.
const MAX_AVOID_TIME: Duration = Duration::from_secs(8);

/// Time for which a peer whose news of the store are stale, or come from the
/// asking node, is not asked for them.
const NO_NEWS_TIME: Duration = Duration::from_secs(2);

/// Processor time that the calls for one shard take, in seconds of a whole core.
const SHARD_CALL_SECONDS: f64 = 55e-6;

/// Bits that the calls for one shard move over the node's link: headers and a
/// part of some hundred bytes.
const SHARD_CALL_BITS: f64 = 700.0 * 8.0;

/// Processor time that one call to a peer takes, in seconds of a whole core.
const PEER_CALL_SECONDS: f64 = 110e-6;

/// Part of the latency objective that the calls of one search may take on the
/// node's own processor before others help.
const OWN_CALLS_PART: f64 = 0.15;

/// Key by which the nodes of a zone agree on the one that follows the store.
const FOLLOWER_KEY: &str = "store";

/// Least share of a core that is reckoned with; keeps a wrong entry from a
/// division by zero.
const MIN_CPU_SHARE: f64 = 0.01;

/// Least bandwidth that is reckoned with, in Mbit/s; for the same reason.
const MIN_LINK_MBPS: f64 = 0.1;

/// What a node says of itself.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct PeerEntry {
    /// Its name.
    pub name: Arc<str>,
    /// Its availability zone.
    pub zone: Arc<str>,
    /// Where it listens for peers.
    pub address: SocketAddr,
    /// Share of a core that it has.
    pub cpu_share: f64,
    /// Bandwidth of its link, in Mbit/s.
    pub link_mbps: f64,
}

impl PeerEntry {
    /// Seconds that the calls for one shard take on its processor and its link.
    fn shard_seconds(&self) -> f64 {
        let processor = SHARD_CALL_SECONDS / self.cpu_share.max(MIN_CPU_SHARE);
        processor + SHARD_CALL_BITS / (self.link_mbps.max(MIN_LINK_MBPS) * 1e6)
    }
}

/// Every known node, this one included.
#[derive(Clone, Debug)]
pub struct PeerTable {
    own: PeerEntry,
    peers: IndexMap<Arc<str>, PeerState>,
}

#[derive(Clone, Debug)]
struct PeerState {
    entry: PeerEntry,
    avoid_until: BootTime,
    failures: u32,
    /// Until when it is not asked for news of the store.
    no_news_until: BootTime,
}

/// Who follows the platform's store for the nodes of a zone.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StoreFollower {
    /// This node itself.
    Own,
    /// The peer with this name.
    Peer(Arc<str>),
}

impl PeerTable {
    /// Builds a table that knows only the node itself.
    #[must_use]
    pub fn new(own: PeerEntry) -> Self {
        Self { own, peers: IndexMap::new() }
    }

    /// This node.
    #[must_use]
    pub const fn own(&self) -> &PeerEntry {
        &self.own
    }

    /// Takes in a node that is new or has changed.
    pub fn insert(&mut self, entry: PeerEntry) {
        if entry.name == self.own.name {
            return;
        }
        let known = self.peers.get(&entry.name).is_some_and(|state| state.entry == entry);
        if !known {
            let state = PeerState {
                entry,
                avoid_until: BootTime::ZERO,
                failures: 0,
                no_news_until: BootTime::ZERO,
            };
            self.peers.insert(state.entry.name.clone(), state);
        }
    }

    /// Takes in that a node is gone.
    pub fn remove(&mut self, name: &str) {
        self.peers.swap_remove(name);
    }

    /// Takes in a whole list of nodes.
    pub fn replace(&mut self, listed: Vec<PeerEntry>) {
        self.peers.retain(|name, _| listed.iter().any(|entry| entry.name == *name));
        for entry in listed {
            self.insert(entry);
        }
    }

    /// Number of nodes that share the limits: those that were reached lately.
    #[must_use]
    pub fn live_nodes(&self) -> u32 {
        let live = self.peers.values().filter(|state| state.failures < 6).count();
        u32::try_from(live + 1).unwrap_or(u32::MAX)
    }

    /// Address of a peer.
    #[must_use]
    pub fn address(&self, name: &str) -> Option<SocketAddr> {
        self.peers.get(name).map(|state| state.entry.address)
    }

    /// Notes that a peer answered.
    pub fn answered(&mut self, name: &str) {
        if let Some(state) = self.peers.get_mut(name) {
            state.failures = 0;
            state.avoid_until = BootTime::ZERO;
        }
    }

    /// Notes that a peer was silent, refused or could not be reached.
    pub fn failed(&mut self, now: BootTime, name: &str) {
        if let Some(state) = self.peers.get_mut(name) {
            if now < state.avoid_until {
                return;
            }
            let avoid = AVOID_TIME * 2u32.pow(state.failures.min(4));
            state.failures += 1;
            state.avoid_until = now + avoid.min(MAX_AVOID_TIME);
        }
    }

    /// Whether the calls for `shards` shards take too much of the objective on
    /// this node alone.
    #[must_use]
    pub fn should_delegate(&self, shards: usize, objective: Duration) -> bool {
        let seconds = shards as f64 * self.own.shard_seconds();
        seconds > objective.as_secs_f64() * OWN_CALLS_PART
    }

    /// The peers of a zone that help this node with the calls for `shards`
    /// shards: as many of the fastest as bring the search to its end soonest.
    ///
    /// Each helper costs this node one call, so that few fast ones do better
    /// than many slow ones. Equally fast ones are in another order for each node.
    #[must_use]
    pub fn delegates_in_zone(&self, now: BootTime, zone: &str, shards: usize) -> Vec<&PeerEntry> {
        let mut candidates: Vec<_> = self
            .usable(now, zone)
            .map(|state| (state.entry.shard_seconds(), &state.entry))
            .collect();
        candidates.sort_by(|one, other| {
            let score = |peer: &PeerEntry| rendezvous_score(peer, &self.own.name);
            one.0.total_cmp(&other.0).then_with(|| score(other.1).total_cmp(&score(one.1)))
        });
        let call_seconds = PEER_CALL_SECONDS / self.own.cpu_share.max(MIN_CPU_SHARE);
        let takes_part = *zone == *self.own.zone;
        let mut speed = if takes_part { 1.0 / self.own.shard_seconds() } else { 0.0 };
        let mut best = (shards as f64 / speed, 0);
        for (position, (shard_seconds, _)) in candidates.iter().enumerate() {
            let count = position + 1;
            speed += 1.0 / shard_seconds;
            let seconds = count as f64 * call_seconds + shards as f64 / speed;
            if seconds < best.0 {
                best = (seconds, count);
            }
        }
        candidates.into_iter().take(best.1).map(|(_, entry)| entry).collect()
    }

    /// Chooses which of some nodes calls the servers of a shard.
    #[must_use]
    pub fn choose_delegate<'peer>(
        helpers: &[&'peer PeerEntry],
        shard: &str,
    ) -> Option<&'peer PeerEntry> {
        let mut best: Option<(f64, &PeerEntry)> = None;
        for helper in helpers {
            let score = rendezvous_score(helper, shard);
            if best.is_none_or(|(greatest, _)| score > greatest) {
                best = Some((score, helper));
            }
        }
        best.map(|(_, helper)| helper)
    }

    /// Notes that a peer has no fresh news of the store of its own.
    pub fn has_no_news(&mut self, now: BootTime, name: &str) {
        if let Some(state) = self.peers.get_mut(name) {
            state.no_news_until = now + NO_NEWS_TIME;
        }
    }

    /// The node of this node's zone that follows the store for the others; all
    /// nodes of the zone that reach the same ones agree on it.
    #[must_use]
    pub fn follower(&self, now: BootTime) -> StoreFollower {
        let own = rendezvous_score(&self.own, FOLLOWER_KEY);
        match self.best_source(now, &self.own.zone) {
            Some((score, peer)) if score > own => StoreFollower::Peer(peer.clone()),
            _ => StoreFollower::Own,
        }
    }

    /// The peer to ask for news of the store by a node that the store turns away:
    /// one of its zone, else one of another.
    #[must_use]
    pub fn substitute(&self, now: BootTime) -> Option<Arc<str>> {
        let in_zone = self.best_source(now, &self.own.zone);
        let mut zones: Vec<&Arc<str>> =
            self.entries().map(|entry| &entry.zone).filter(|it| **it != self.own.zone).collect();
        zones.sort();
        zones.dedup();
        let elsewhere = || zones.iter().find_map(|zone| self.best_source(now, zone));
        in_zone.or_else(elsewhere).map(|(_, peer)| peer.clone())
    }

    fn best_source(&self, now: BootTime, zone: &str) -> Option<(f64, &Arc<str>)> {
        let sources = self.usable(now, zone).filter(|state| now >= state.no_news_until);
        let mut best: Option<(f64, &Arc<str>)> = None;
        for state in sources {
            let score = rendezvous_score(&state.entry, FOLLOWER_KEY);
            if best.is_none_or(|(greatest, _)| score > greatest) {
                best = Some((score, &state.entry.name));
            }
        }
        best
    }

    /// Every known node, without this one.
    pub fn entries(&self) -> impl Iterator<Item = &PeerEntry> {
        self.peers.values().map(|state| &state.entry)
    }

    fn usable(&self, now: BootTime, zone: &str) -> impl Iterator<Item = &PeerState> {
        self.peers
            .values()
            .filter(move |state| state.entry.zone.as_ref() == zone && now >= state.avoid_until)
    }
}

/// Weighted rendezvous hashing: each node gets keys in proportion to its speed.
fn rendezvous_score(peer: &PeerEntry, key: &str) -> f64 {
    let mut bytes = Vec::with_capacity(peer.name.len() + key.len() + 1);
    bytes.extend_from_slice(peer.name.as_bytes());
    bytes.push(0);
    bytes.extend_from_slice(key.as_bytes());
    let hash = xxhash_rust::xxh3::xxh3_64(&bytes);
    // A number between 0 and 1, neither of them included.
    let unit = ((hash >> 11) as f64 + 0.5) / (1u64 << 53) as f64;
    1.0 / (peer.shard_seconds() * -unit.ln())
}
