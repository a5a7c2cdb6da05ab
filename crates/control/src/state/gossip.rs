//! Gossip: heartbeats, digests, news and what peers lack.

use std::{net::SocketAddr, time::Duration};

use carobstep_clock::BootTime;
use carobstep_config::{NodeName, ServerName};
use carobstep_wire::{
    ControlMessage, ControlReply, FetchReply, FetchRequest, GossipDigest, GrantNotice, NewsNotice,
    PeerBeat, PeerRecord, VouchReply,
};

use indexmap::IndexMap;

use super::{ControlState, NodePhase, calls::Purpose};
use crate::{
    peers::{PeerEntry, beat_id, record_hash},
    routes::GRANT_BUCKETS,
};

/// Peers that a change of configuration is pushed to at once.
const PUSH_FANOUT: usize = 3;

/// Nodes of other zones that news are pushed to at once.
const PUSH_OUTSIDE: usize = 2;

/// Most changes of one sort in a digest.
const MAX_NEWS: usize = 24;

/// Time between two fetches that only repair a difference of tables.
const REPAIR_INTERVAL: Duration = Duration::from_secs(10);

/// A table that changed within this time is left to the news.
const REPAIR_QUIET: Duration = Duration::from_secs(5);

/// Most buckets of grants that one repair asks for.
const REPAIR_BUCKETS: usize = 4;

/// Rounds between two that address a seed although peers are known.
const SEED_ROUNDS: u64 = 8;

/// Nodes that were not heard of for this long are forgotten.
const PEER_RETENTION: Duration = Duration::from_secs(600);

/// Nodes of other zones that were not heard of for this long are not used.
const OUTSIDE_TIMEOUT: Duration = Duration::from_secs(300);

/// Timing of gossip.
#[derive(Debug)]
pub(super) struct GossipDesk {
    pub(super) next_at: BootTime,
    round: u64,
    heartbeat: u64,
    fetching: bool,
    repair_at: BootTime,
}

impl GossipDesk {
    pub(super) const fn new(now: BootTime) -> Self {
        Self { next_at: now, round: 0, heartbeat: 1, fetching: false, repair_at: now }
    }
}

impl ControlState {
    pub(super) fn advance_gossip(&mut self) {
        if self.now < self.gossip.next_at {
            return;
        }
        self.gossip.next_at = self.now + self.options.gossip.interval;
        self.gossip.round += 1;
        self.gossip.heartbeat += 1;
        self.peers.prune(self.now, PEER_RETENTION);
        let inside = self.digest(false);
        for to in self.zone_targets() {
            self.send(Purpose::Gossip, to, ControlMessage::Gossip(inside.clone()));
        }
        if self.gossip.round.is_multiple_of(self.options.gossip.zone_rounds) {
            let outside = self.digest(true);
            for to in self.outside_targets(1) {
                self.send(Purpose::Gossip, to, ControlMessage::Gossip(outside.clone()));
            }
        }
    }

    /// Receivers of a round: fresh nodes of the zone, now and then one that
    /// is not, and seeds.
    fn zone_targets(&mut self) -> Vec<SocketAddr> {
        let mut targets = self.fresh_targets(self.options.gossip.fanout);
        if targets.is_empty() || self.gossip.round.is_multiple_of(self.options.gossip.zone_rounds) {
            let stale = self.zone_addresses(false);
            targets.extend(self.choice.sample(stale, 1));
        }
        let own = self.options.peer_address;
        let seeds: Vec<SocketAddr> =
            self.options.seeds.iter().copied().filter(|seed| *seed != own).collect();
        if targets.is_empty() {
            return seeds;
        }
        if self.is_seed_round(seeds.len()) {
            targets.extend(self.choice.sample(seeds, 1));
        }
        targets
    }

    /// Whether this round also addresses a seed.
    ///
    /// The chance falls with the number of nodes, so that the seeds of a large
    /// fleet hear no more than other nodes.
    fn is_seed_round(&mut self, seeds: usize) -> bool {
        let known = self.peers.iter().count() + 1;
        self.gossip.round.is_multiple_of(SEED_ROUNDS) && self.choice.below(known) < seeds
    }

    fn fresh_targets(&mut self, count: usize) -> Vec<SocketAddr> {
        let fresh = self.zone_addresses(true);
        self.choice.sample(fresh, count)
    }

    fn zone_addresses(&self, fresh: bool) -> Vec<SocketAddr> {
        let timeout = self.options.gossip.peer_timeout;
        let peers = self.peers.iter().filter(|peer| peer.is_in(&self.options.zone));
        let wanted =
            peers.filter(|peer| (peer.is_fresh(self.now, timeout) && peer.reachable) == fresh);
        wanted.map(|peer| peer.record.address).collect()
    }

    fn outside_targets(&mut self, count: usize) -> Vec<SocketAddr> {
        let peers = self.peers.iter().filter(|peer| !peer.is_in(&self.options.zone));
        let usable = peers.filter(|peer| !peer.record.stopping);
        let addresses = usable.map(|peer| peer.record.address).collect();
        self.choice.sample(addresses, count)
    }

    /// Whether requests may be sent to a node.
    pub(super) fn is_usable(&self, now: BootTime, peer: &PeerEntry) -> bool {
        let inside = peer.is_in(&self.options.zone);
        let timeout = if inside { self.options.gossip.peer_timeout } else { OUTSIDE_TIMEOUT };
        peer.is_live(now, timeout)
    }

    fn own_record(&self) -> PeerRecord {
        PeerRecord {
            node: self.options.node.clone(),
            zone: self.options.zone.clone(),
            address: self.options.peer_address,
            incarnation: self.lease.incarnation,
            heartbeat: self.gossip.heartbeat,
            stopping: !matches!(self.phase, NodePhase::Starting | NodePhase::Serving),
        }
    }

    /// What this node knows, in short.
    ///
    /// A digest for another zone lists the live nodes of this zone in full.
    fn digest(&self, outside: bool) -> GossipDigest {
        let node = self.own_record();
        let (lease, heartbeat) = (self.lease.version.0, node.heartbeat);
        let own = PeerBeat { id: beat_id(&node), heartbeat, lease };
        let zone = self.fresh_zone_peers().map(PeerEntry::short);
        GossipDigest {
            config: self.spread.version(),
            manifests: self.spread.snapshots(),
            beats: if outside { Vec::new() } else { zone.chain([own]).collect() },
            peers_hash: self.zone_hash(),
            grant_hashes: self.grants.hashes(),
            news: self.recent_news(outside),
            node,
        }
    }

    fn fresh_zone_peers(&self) -> impl Iterator<Item = &PeerEntry> {
        let timeout = self.options.gossip.peer_timeout;
        let peers = self.peers.iter().filter(|peer| peer.is_in(&self.options.zone));
        peers.filter(move |peer| peer.is_fresh(self.now, timeout))
    }

    fn zone_hash(&self) -> u64 {
        let own = record_hash(&self.own_record());
        self.fresh_zone_peers().fold(own, |hash, peer| hash ^ peer.hash())
    }

    fn recent_news(&self, outside: bool) -> NewsNotice {
        let age = self.options.gossip.news;
        let changed = self.peers.iter().filter(|peer| self.now < peer.changed_at + age);
        let peers: Vec<PeerRecord> = changed.map(|peer| peer.record.clone()).collect();
        let mut peers = self.turn_of(peers);
        if outside {
            let known: Vec<NodeName> = peers.iter().map(|peer| peer.node.clone()).collect();
            let rest = self.fresh_zone_peers().filter(|peer| !known.contains(&peer.record.node));
            peers.extend(rest.map(|peer| peer.record.clone()));
        }
        let grants = self.turn_of(self.grants.changed_within(self.now, age));
        let signs = self.turn_of(self.signs.changed_within(self.now, age));
        NewsNotice { peers, grants, signs }
    }

    /// The changes whose turn it is, when there are more than fit a digest.
    fn turn_of<T>(&self, changes: Vec<T>) -> Vec<T> {
        if changes.len() <= MAX_NEWS {
            return changes;
        }
        let turns = changes.len().div_ceil(MAX_NEWS) as u64;
        let turn = usize::try_from(self.gossip.round % turns).unwrap_or(0);
        changes.into_iter().skip(turn * MAX_NEWS).take(MAX_NEWS).collect()
    }

    /// Takes in a peer's message and returns the answer.
    pub(super) fn take_message(&mut self, message: ControlMessage) -> ControlReply {
        match message {
            ControlMessage::Gossip(digest) => ControlReply::Gossip(self.answer_digest(digest)),
            ControlMessage::Vouch(request) => {
                let vouched = self.witness.vouches(&request.node, request.incarnation);
                ControlReply::Vouch(VouchReply { round: request.round, vouched })
            }
            ControlMessage::Close(notice) => {
                self.take_close(notice.node, notice.incarnation);
                ControlReply::Done
            }
            ControlMessage::News(news) => {
                self.take_news(news);
                ControlReply::Done
            }
            ControlMessage::Fetch(request) => ControlReply::Fetched(self.answer_fetch(&request)),
        }
    }

    /// Takes in a digest; the answer leaves out heartbeats that the sender has.
    fn answer_digest(&mut self, digest: GossipDigest) -> GossipDigest {
        let outside = digest.node.zone != self.options.zone;
        let known: IndexMap<u32, u64> =
            digest.beats.iter().map(|beat| (beat.id, beat.heartbeat)).collect();
        self.take_digest(digest);
        let mut answer = self.digest(outside);
        answer.beats.retain(|beat| known.get(&beat.id).is_none_or(|last| beat.heartbeat > *last));
        answer
    }

    pub(super) fn take_digest(&mut self, digest: GossipDigest) {
        let from = digest.node.address;
        let inside = digest.node.zone == self.options.zone;
        let node = digest.node.node.clone();
        self.merge_peer(digest.node);
        self.peers.seen(&node, true);
        self.take_news(digest.news);
        let mut unknown = false;
        for beat in digest.beats {
            unknown |= !self.merge_beat(beat);
        }
        let lacks = self.spread.lacks(digest.config, &digest.manifests);
        let peers = inside && (unknown || digest.peers_hash != self.zone_hash());
        let quiet = self.now >= self.peers.changed_at() + REPAIR_QUIET;
        let peers = peers && (quiet || self.grants.is_empty());
        let grant_buckets = self.grants_to_repair(&digest.grant_hashes);
        let repair = (peers || !grant_buckets.is_empty()) && self.now >= self.gossip.repair_at;
        if self.gossip.fetching || !(lacks || repair) {
            return;
        }
        if repair {
            self.gossip.repair_at = self.now + REPAIR_INTERVAL;
        }
        self.gossip.fetching = true;
        let request = FetchRequest {
            config: self.spread.version(),
            manifests: self.spread.snapshots(),
            peers: repair && peers,
            grant_buckets: if repair { grant_buckets } else { Vec::new() },
        };
        self.send(Purpose::Fetch, from, ControlMessage::Fetch(request));
    }

    /// Buckets of grants to ask a peer for.
    ///
    /// A node that knows no grant asks for all of them at once.
    fn grants_to_repair(&self, hashes: &[u32]) -> Vec<u8> {
        let mut buckets = self.grants.differing(hashes);
        if self.grants.is_empty() {
            return buckets;
        }
        if self.now < self.grants.changed_at() + REPAIR_QUIET {
            return Vec::new();
        }
        buckets.truncate(REPAIR_BUCKETS);
        buckets
    }

    fn merge_beat(&mut self, beat: PeerBeat) -> bool {
        beat.id == beat_id(&self.own_record()) || self.peers.merge_beat(self.now, beat)
    }

    pub(super) fn merge_peer(&mut self, record: PeerRecord) {
        if record.node != self.options.node && self.peers.merge(self.now, record) {
            self.routes_changed = true;
        }
    }

    fn take_news(&mut self, news: NewsNotice) {
        for peer in news.peers {
            self.merge_peer(peer);
        }
        for grant in news.grants {
            self.merge_grant(grant);
        }
        for sign in news.signs {
            self.routes_changed |= self.signs.merge(self.now, sign);
        }
    }

    fn answer_fetch(&self, request: &FetchRequest) -> FetchReply {
        let whole = request.grant_buckets.len() == GRANT_BUCKETS;
        // A node that knows everything else only lacks nodes of its zone.
        let wanted = self.peers.iter().filter(|peer| whole || peer.is_in(&self.options.zone));
        let peers = wanted.map(|peer| peer.record.clone());
        let tables = NewsNotice {
            peers: if request.peers { peers.collect() } else { Vec::new() },
            grants: self.grants.of_buckets(&request.grant_buckets),
            signs: if request.peers || whole { self.signs.all() } else { Vec::new() },
        };
        FetchReply {
            config: self.spread.config_after(request.config),
            manifests: self.spread.manifests_after(&request.manifests),
            tables,
        }
    }

    pub(super) fn take_fetched(&mut self, reply: Option<ControlReply>) {
        self.gossip.fetching = false;
        let Some(ControlReply::Fetched(reply)) = reply else { return };
        if let Some(copy) = reply.config {
            self.offer_copy(copy);
        }
        for copy in reply.manifests {
            match serde_json::from_str(&copy.document) {
                Ok(value) => self.offer_manifest(value),
                Err(error) => self.reject(format!("manifest/{}", copy.index), &error),
            }
        }
        self.take_news(reply.tables);
    }

    /// Tells some peers at once that there is a newer configuration or manifest.
    pub(super) fn push_digest(&mut self) {
        let digest = self.digest(false);
        for to in self.fresh_targets(PUSH_FANOUT) {
            self.send(Purpose::Gossip, to, ControlMessage::Gossip(digest.clone()));
        }
    }

    /// Tells the zone, and some nodes of others, that a grant moved.
    pub(super) fn push_grant(&mut self, notice: GrantNotice) {
        self.push_news(&NewsNotice { grants: vec![notice], ..NewsNotice::default() });
    }

    /// Tells the zone, and some nodes of others, that a server leaves.
    pub(super) fn push_signs(&mut self, server: &ServerName) {
        let mut signs = self.signs.all();
        signs.retain(|sign| sign.server == *server);
        self.push_news(&NewsNotice { signs, ..NewsNotice::default() });
    }

    /// Tells the zone, and some nodes of others, that this node stops.
    pub(super) fn push_news_of_self(&mut self) {
        let peers = vec![self.own_record()];
        self.push_news(&NewsNotice { peers, ..NewsNotice::default() });
    }

    fn push_news(&mut self, news: &NewsNotice) {
        let mut targets = self.zone_addresses(true);
        targets.extend(self.outside_targets(PUSH_OUTSIDE));
        for to in targets {
            self.send(Purpose::News, to, ControlMessage::News(news.clone()));
        }
    }
}
