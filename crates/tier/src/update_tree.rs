//! Spreading of the store's data over the nodes: which node calls the store, and which
//! node each of the others follows.
//!
//! Designed for hundreds of small machines, of which a few are faster. One node of the
//! fleet calls the store, the first node of each zone follows it, a few relays of the
//! zone follow that one, and the rest follow a relay. The faster nodes are nearer to the
//! root, and the number of followers of a node grows with the square root of the zone.
//! Every node computes the tree from its own table of nodes. A node whose data grows
//! stale calls the store itself: the first nodes of a zone first, so that an outage of
//! the store is not met by calls of all nodes.

use std::{cmp::Ordering, sync::Arc, time::Duration};

use carobstep_clock::BootTime;

use crate::peers::{PeerEntry, PeerState, PeerTable, rendezvous_score};

/// Number of nodes of the fleet, the first ones, of which one calls the store.
const ROOT_CANDIDATES: usize = 2;

/// Zone size up to which all nodes follow the first one directly.
const MAX_FLAT_ZONE: usize = 9;

/// Key by which nodes of the same speed are ordered.
const TREE_KEY: &str = "store";

/// Delay between the calls to the store of one node of a zone with stale data and those
/// of the next one.
const STALE_STAGGER: Duration = Duration::from_millis(250);

/// Position of a node in the order that the tree is built from; the least is nearest to
/// the root.
#[derive(Clone, Copy, Debug)]
pub(crate) struct TreeRank {
    shard_seconds: f64,
    score: f64,
}

impl From<&PeerEntry> for TreeRank {
    fn from(peer: &PeerEntry) -> Self {
        Self { shard_seconds: peer.shard_seconds(), score: rendezvous_score(peer, TREE_KEY) }
    }
}

impl TreeRank {
    pub(crate) fn order(&self, other: &Self) -> Ordering {
        let speed = self.shard_seconds.total_cmp(&other.shard_seconds);
        speed.then_with(|| other.score.total_cmp(&self.score))
    }

    fn is_before(&self, other: &Self) -> bool {
        self.order(other) == Ordering::Less
    }
}

/// Where a node gets the store's data from.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum UpdateSource {
    /// The store itself.
    Store,
    /// The peer with this name.
    Peer(Arc<str>),
}

/// Times of the calls that spread the store's data, derived from the time within which
/// a change must take effect on every node.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SpreadTiming {
    bound: Duration,
}

impl SpreadTiming {
    /// Returns the timing for changes that must take effect within `bound`.
    #[must_use]
    pub const fn within(bound: Duration) -> Self {
        Self { bound }
    }

    /// Returns the longest wait of one watch call at the store. Peers learn at this
    /// interval that nothing has changed.
    #[must_use]
    pub fn watch_wait(self) -> Duration {
        self.bound.mul_f64(0.25)
    }

    /// Returns the longest time that a peer waits for news before it replies without any.
    #[must_use]
    pub fn update_wait(self) -> Duration {
        self.bound.mul_f64(1.0 / 6.0)
    }

    /// Returns the age above which data is of no use to a peer.
    #[must_use]
    pub fn max_age(self) -> Duration {
        self.bound.mul_f64(0.63)
    }

    /// Returns the age of its data from which a node calls the store itself.
    #[must_use]
    pub fn call_age(self, place: TreePlace) -> Duration {
        match place {
            TreePlace::RootCandidate => self.bound.mul_f64(0.45),
            TreePlace::ZoneHead => self.bound.mul_f64(0.55),
            TreePlace::Member { rank } => {
                self.max_age() + STALE_STAGGER * u32::from(rank.saturating_sub(1))
            }
        }
    }

    /// Returns the longest pause between two failed calls to the store.
    #[must_use]
    pub fn max_backoff(self, place: TreePlace) -> Duration {
        match place {
            TreePlace::RootCandidate | TreePlace::ZoneHead => Duration::from_millis(500),
            TreePlace::Member { rank } => Duration::from_secs(2) + STALE_STAGGER * u32::from(rank),
        }
    }
}

/// Place of a node in the tree.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TreePlace {
    /// One of the first nodes of the fleet.
    RootCandidate,
    /// The first node of its zone.
    ZoneHead,
    /// A further node of its zone.
    Member {
        /// Number of live nodes of the zone that come first.
        rank: u16,
    },
}

impl PeerTable {
    /// Returns the place of this node in the tree.
    #[must_use]
    pub fn tree_place(&self, now: BootTime) -> TreePlace {
        if self.root_candidates().iter().any(|candidate| candidate.is_none()) {
            return TreePlace::RootCandidate;
        }
        let own = self.own_rank();
        let zone = &self.own().zone;
        let first = self.usable(now, zone).filter(|peer| peer.rank.is_before(&own)).count();
        match u16::try_from(first) {
            Ok(0) => TreePlace::ZoneHead,
            Ok(rank) => TreePlace::Member { rank },
            Err(_) => TreePlace::Member { rank: u16::MAX },
        }
    }

    /// Returns where this node gets the store's data from.
    #[must_use]
    pub fn update_source(&self, now: BootTime) -> UpdateSource {
        let own = self.own_rank();
        let mut first: Vec<&PeerState> = self.usable(now, &self.own().zone).collect();
        let zone_size = first.len() + 1;
        first.sort_by(|one, other| one.rank.order(&other.rank));
        let own_position = first.partition_point(|peer| peer.rank.is_before(&own));
        if own_position == 0 {
            return self.root_source(now);
        }
        let relays = relay_count(zone_size);
        // The first node is the zone's head, the next ones are the relays.
        let is_upper = relays == 0 || own_position <= relays;
        let parent = if is_upper {
            first[0]
        } else {
            let score = |peer: &PeerState| rendezvous_score(&peer.entry, &self.own().name);
            let by_score =
                |one: &&&PeerState, other: &&&PeerState| score(one).total_cmp(&score(other));
            first[1..=relays].iter().max_by(by_score).copied().unwrap_or(first[0])
        };
        if parent.is_fresh(now) {
            return UpdateSource::Peer(parent.entry.name.clone());
        }
        let fresh = first.iter().find(|peer| peer.is_fresh(now)).unwrap_or(&parent);
        UpdateSource::Peer(fresh.entry.name.clone())
    }

    /// Returns the node that shares out the request limits of the servers in `zone`: the
    /// first node of the zone or, if it has none, of the fleet. `None` is this node.
    #[must_use]
    pub fn quota_owner(&self, now: BootTime, zone: &str) -> Option<Arc<str>> {
        let by_rank = |one: &&PeerState, other: &&PeerState| one.rank.order(&other.rank);
        let mut is_candidate = *zone == *self.own().zone;
        let mut first = self.usable(now, zone).min_by(by_rank);
        if first.is_none() && !is_candidate {
            is_candidate = true;
            first = self.live_peers().filter(|peer| peer.is_usable(now)).min_by(by_rank);
        }
        let first = first.filter(|peer| !is_candidate || peer.rank.is_before(&self.own_rank()));
        first.map(|peer| peer.entry.name.clone())
    }

    /// Returns whether this node is the one of the fleet that decides about `key`, by
    /// rendezvous hashing.
    #[must_use]
    pub fn is_first_for(&self, now: BootTime, key: &str) -> bool {
        let own = rendezvous_score(self.own(), key);
        let usable = self.live_peers().filter(|peer| peer.is_usable(now));
        usable.map(|peer| rendezvous_score(&peer.entry, key)).all(|score| score < own)
    }

    /// Returns the node that shares out the limit of a client account, by rendezvous hashing
    /// over the nodes that may own limits. `None` is this node.
    #[must_use]
    pub fn account_owner(&self, now: BootTime, account: &str) -> Option<Arc<str>> {
        let usable = self.live_peers().filter(|peer| peer.may_own(now));
        let scored = usable.map(|peer| (rendezvous_score(&peer.entry, account), &peer.entry.name));
        let best = scored.max_by(|one, other| one.0.total_cmp(&other.0));
        let own = rendezvous_score(self.own(), account);
        best.filter(|(score, _)| self.is_leaving || *score > own).map(|(_, name)| name.clone())
    }

    /// Returns since when this node, which runs since `started`, has known of all requests of
    /// a client account if it owns its limit: since the last node was lost that came before it.
    #[must_use]
    pub fn account_known_since(&self, account: &str, started: BootTime) -> BootTime {
        let own = rendezvous_score(self.own(), account);
        let lost = self
            .lost
            .values()
            .filter(|(entry, at)| *at > started && rendezvous_score(entry, account) > own);
        lost.map(|(_, at)| *at).max().unwrap_or(started)
    }

    /// Returns the source of the first node of a zone: the first node of the fleet that
    /// can be followed, or the store.
    fn root_source(&self, now: BootTime) -> UpdateSource {
        for candidate in self.root_candidates() {
            match candidate {
                None => return UpdateSource::Store,
                Some(peer) if peer.is_usable(now) && peer.is_fresh(now) => {
                    return UpdateSource::Peer(peer.entry.name.clone());
                }
                Some(_) => {}
            }
        }
        UpdateSource::Store
    }

    /// Returns the first live nodes of the fleet in order; `None` stands for this node.
    fn root_candidates(&self) -> Vec<Option<&PeerState>> {
        let mut live: Vec<&PeerState> = self.live_peers().collect();
        let own = self.own_rank();
        let count = ROOT_CANDIDATES.min(live.len());
        if count < live.len() {
            live.select_nth_unstable_by(count, |one, other| one.rank.order(&other.rank));
        }
        live.truncate(count);
        live.sort_by(|one, other| one.rank.order(&other.rank));
        let own_position = live.partition_point(|peer| peer.rank.is_before(&own));
        let mut candidates: Vec<_> = live.into_iter().map(Some).collect();
        candidates.insert(own_position, None);
        candidates.truncate(ROOT_CANDIDATES);
        candidates
    }
}

/// Returns the number of relays in a zone.
fn relay_count(zone_size: usize) -> usize {
    if zone_size <= MAX_FLAT_ZONE {
        return 0;
    }
    ((zone_size as f64).sqrt().ceil() as usize).min(zone_size - 2)
}
