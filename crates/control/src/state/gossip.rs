//! Gossip: heartbeats, digests, recent changes and repair of differing tables.
//!
//! Here, local means of this node's zone, and remote means of another zone.

use std::{net::SocketAddr, time::Duration};

use carobstep_clock::BootTime;
use carobstep_config::{NodeName, ServerName};
use carobstep_wire::{
    ControlMessage, ControlReply, FetchReply, FetchRequest, GossipDigest, GrantNotice,
    PeerHeartbeat, PeerRecord, UpdateNotice, VouchReply,
};

use indexmap::IndexMap;

use super::{ControlState, NodePhase, calls::CallPurpose};
use crate::{
    grants::GRANT_BUCKETS,
    peers::{PeerEntry, heartbeat_id, record_hash},
};

/// Number of peers that a new configuration is pushed to immediately.
const PUSH_FANOUT: usize = 3;

/// Number of nodes of other zones that a change is pushed to immediately.
const REMOTE_PUSH_FANOUT: usize = 2;

/// Maximum number of changes of one kind in a digest.
const MAX_DIGEST_CHANGES: usize = 24;

/// Minimum interval between fetches that only repair differing tables.
const REPAIR_INTERVAL: Duration = Duration::from_secs(10);

/// Time for which a table must be unchanged before it is repaired.
///
/// Until then, the changes in digests are expected to remove the difference.
const REPAIR_STABLE_TIME: Duration = Duration::from_secs(5);

/// Maximum number of grant buckets that one repair fetches.
const REPAIR_BUCKETS: usize = 4;

/// Interval, in rounds, at which a seed may be addressed although peers are
/// known.
const SEED_ROUNDS: u64 = 8;

/// Time without a heartbeat after which a node is removed from the peer table.
const PEER_RETENTION: Duration = Duration::from_secs(600);

/// Time without a heartbeat after which a node of another zone is not used.
const REMOTE_TIMEOUT: Duration = Duration::from_secs(300);

/// State of the gossip rounds.
#[derive(Debug)]
pub(super) struct GossipState {
    pub(super) next_at: BootTime,
    round: u64,
    heartbeat: u64,
    fetching: bool,
    repair_at: BootTime,
}

impl GossipState {
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
        let local = self.digest(false);
        for to in self.zone_targets() {
            self.send(CallPurpose::Gossip, to, ControlMessage::Gossip(local.clone()));
        }
        if self.gossip.round.is_multiple_of(self.options.gossip.remote_round_interval) {
            let remote = self.digest(true);
            for to in self.remote_targets(1) {
                self.send(CallPurpose::Gossip, to, ControlMessage::Gossip(remote.clone()));
            }
        }
    }

    /// Returns the receivers of a round: random fresh nodes of the zone, in some
    /// rounds also a stale node or a seed.
    ///
    /// Addresses all seeds if no other node of the zone is known.
    fn zone_targets(&mut self) -> Vec<SocketAddr> {
        let mut targets = self.fresh_targets(self.options.gossip.fanout);
        if targets.is_empty()
            || self.gossip.round.is_multiple_of(self.options.gossip.remote_round_interval)
        {
            let stale = self.zone_addresses(false);
            targets.extend(self.rng.sample(stale, 1));
        }
        let own = self.options.peer_address;
        let seeds: Vec<SocketAddr> =
            self.options.seeds.iter().copied().filter(|seed| *seed != own).collect();
        if targets.is_empty() {
            return seeds;
        }
        if self.is_seed_round(seeds.len()) {
            targets.extend(self.rng.sample(seeds, 1));
        }
        targets
    }

    /// Whether this round also addresses a seed.
    ///
    /// The probability is inversely proportional to the number of known nodes, so
    /// that the seeds of a large fleet receive no more messages than other nodes.
    fn is_seed_round(&mut self, seeds: usize) -> bool {
        let known = self.peers.iter().count() + 1;
        self.gossip.round.is_multiple_of(SEED_ROUNDS) && self.rng.below(known) < seeds
    }

    fn fresh_targets(&mut self, count: usize) -> Vec<SocketAddr> {
        let fresh = self.zone_addresses(true);
        self.rng.sample(fresh, count)
    }

    fn zone_addresses(&self, fresh: bool) -> Vec<SocketAddr> {
        let timeout = self.options.gossip.peer_timeout;
        let peers = self.peers.iter().filter(|peer| peer.is_in(&self.options.zone));
        let wanted =
            peers.filter(|peer| (peer.is_fresh(self.now, timeout) && peer.reachable) == fresh);
        wanted.map(|peer| peer.record.address).collect()
    }

    fn remote_targets(&mut self, count: usize) -> Vec<SocketAddr> {
        let peers = self.peers.iter().filter(|peer| !peer.is_in(&self.options.zone));
        let usable = peers.filter(|peer| !peer.record.stopping);
        let addresses = usable.map(|peer| peer.record.address).collect();
        self.rng.sample(addresses, count)
    }

    /// Whether requests may be sent to a node: it is not stopping and its
    /// heartbeat grew within the timeout of its zone.
    pub(super) fn is_usable(&self, now: BootTime, peer: &PeerEntry) -> bool {
        let local = peer.is_in(&self.options.zone);
        let timeout = if local { self.options.gossip.peer_timeout } else { REMOTE_TIMEOUT };
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

    /// Builds a summary of this node's tables: versions, hashes, heartbeats and
    /// recent changes.
    ///
    /// A digest for another zone lists full records of the fresh nodes of this
    /// zone instead of their heartbeats.
    fn digest(&self, remote: bool) -> GossipDigest {
        let node = self.own_record();
        let (lease, heartbeat) = (self.lease.version.0, node.heartbeat);
        let own = PeerHeartbeat { id: heartbeat_id(&node), heartbeat, lease };
        let zone = self.fresh_zone_peers().map(PeerEntry::as_heartbeat);
        GossipDigest {
            config: self.documents.version(),
            manifests: self.documents.snapshots(),
            beats: if remote { Vec::new() } else { zone.chain([own]).collect() },
            peers_hash: self.zone_hash(),
            grant_hashes: self.grants.hashes(),
            news: self.recent_changes(remote),
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

    fn recent_changes(&self, remote: bool) -> UpdateNotice {
        let age = self.options.gossip.change_retention;
        let changed = self.peers.iter().filter(|peer| self.now < peer.changed_at + age);
        let peers: Vec<PeerRecord> = changed.map(|peer| peer.record.clone()).collect();
        let mut peers = self.batch_for_round(peers);
        if remote {
            let known: Vec<NodeName> = peers.iter().map(|peer| peer.node.clone()).collect();
            let rest = self.fresh_zone_peers().filter(|peer| !known.contains(&peer.record.node));
            peers.extend(rest.map(|peer| peer.record.clone()));
        }
        let grants = self.batch_for_round(self.grants.changed_within(self.now, age));
        let reports = self.batch_for_round(self.leaving_reports.changed_within(self.now, age));
        UpdateNotice { peers, grants, signs: reports }
    }

    /// Returns the changes to send in this round.
    ///
    /// Changes that do not fit one digest are sent in batches, one per round in
    /// rotation.
    fn batch_for_round<T>(&self, changes: Vec<T>) -> Vec<T> {
        if changes.len() <= MAX_DIGEST_CHANGES {
            return changes;
        }
        let batches = changes.len().div_ceil(MAX_DIGEST_CHANGES) as u64;
        let batch = usize::try_from(self.gossip.round % batches).unwrap_or(0);
        changes.into_iter().skip(batch * MAX_DIGEST_CHANGES).take(MAX_DIGEST_CHANGES).collect()
    }

    /// Handles a message of a peer and returns the reply.
    pub(super) fn handle_message(&mut self, message: ControlMessage) -> ControlReply {
        match message {
            ControlMessage::Gossip(digest) => ControlReply::Gossip(self.reply_to_digest(digest)),
            ControlMessage::Vouch(request) => {
                let vouched = self.witness.vouches(&request.node, request.incarnation);
                ControlReply::Vouch(VouchReply { round: request.round, vouched })
            }
            ControlMessage::Close(notice) => {
                self.on_close_notice(notice.node, notice.incarnation);
                ControlReply::Done
            }
            ControlMessage::News(changes) => {
                self.merge_changes(changes);
                ControlReply::Done
            }
            ControlMessage::Fetch(request) => ControlReply::Fetched(self.reply_to_fetch(&request)),
        }
    }

    /// Merges a digest and returns this node's digest without the heartbeats that
    /// the sender already has.
    fn reply_to_digest(&mut self, digest: GossipDigest) -> GossipDigest {
        let remote = digest.node.zone != self.options.zone;
        let known: IndexMap<u32, u64> =
            digest.beats.iter().map(|heartbeat| (heartbeat.id, heartbeat.heartbeat)).collect();
        self.merge_digest(digest);
        let mut reply = self.digest(remote);
        reply.beats.retain(|heartbeat| {
            known.get(&heartbeat.id).is_none_or(|last| heartbeat.heartbeat > *last)
        });
        reply
    }

    pub(super) fn merge_digest(&mut self, digest: GossipDigest) {
        let from = digest.node.address;
        let local = digest.node.zone == self.options.zone;
        let node = digest.node.node.clone();
        self.merge_peer(digest.node);
        self.peers.set_reachable(&node, true);
        self.merge_changes(digest.news);
        let mut unknown = false;
        for heartbeat in digest.beats {
            unknown |= !self.merge_heartbeat(heartbeat);
        }
        let behind = self.documents.is_behind(digest.config, &digest.manifests);
        let peers = local && (unknown || digest.peers_hash != self.zone_hash());
        let stable = self.now >= self.peers.changed_at() + REPAIR_STABLE_TIME;
        let peers = peers && (stable || self.grants.is_empty());
        let grant_buckets = self.grants_to_repair(&digest.grant_hashes);
        let repair = (peers || !grant_buckets.is_empty()) && self.now >= self.gossip.repair_at;
        if self.gossip.fetching || !(behind || repair) {
            return;
        }
        if repair {
            self.gossip.repair_at = self.now + REPAIR_INTERVAL;
        }
        self.gossip.fetching = true;
        let request = FetchRequest {
            config: self.documents.version(),
            manifests: self.documents.snapshots(),
            peers: repair && peers,
            grant_buckets: if repair { grant_buckets } else { Vec::new() },
        };
        self.send(CallPurpose::Fetch, from, ControlMessage::Fetch(request));
    }

    /// Returns the grant buckets to fetch from a peer with these bucket hashes.
    ///
    /// A node that knows no grant fetches all differing buckets at once.
    fn grants_to_repair(&self, hashes: &[u32]) -> Vec<u8> {
        let mut buckets = self.grants.differing_buckets(hashes);
        if self.grants.is_empty() {
            return buckets;
        }
        if self.now < self.grants.changed_at() + REPAIR_STABLE_TIME {
            return Vec::new();
        }
        buckets.truncate(REPAIR_BUCKETS);
        buckets
    }

    fn merge_heartbeat(&mut self, heartbeat: PeerHeartbeat) -> bool {
        heartbeat.id == heartbeat_id(&self.own_record())
            || self.peers.merge_heartbeat(self.now, heartbeat)
    }

    pub(super) fn merge_peer(&mut self, record: PeerRecord) {
        if record.node != self.options.node && self.peers.merge(self.now, record) {
            self.routes_changed = true;
        }
    }

    fn merge_changes(&mut self, changes: UpdateNotice) {
        for peer in changes.peers {
            self.merge_peer(peer);
        }
        for grant in changes.grants {
            self.merge_grant(grant);
        }
        for report in changes.signs {
            self.routes_changed |= self.leaving_reports.merge(self.now, report);
        }
    }

    fn reply_to_fetch(&self, request: &FetchRequest) -> FetchReply {
        let all_buckets = request.grant_buckets.len() == GRANT_BUCKETS;
        // Only a node that starts without any grants fetches all buckets. Any other
        // node repairs just the records of its own zone.
        let wanted = self.peers.iter().filter(|peer| all_buckets || peer.is_in(&self.options.zone));
        let peers = wanted.map(|peer| peer.record.clone());
        let tables = UpdateNotice {
            peers: if request.peers { peers.collect() } else { Vec::new() },
            grants: self.grants.in_buckets(&request.grant_buckets),
            signs: if request.peers || all_buckets {
                self.leaving_reports.all()
            } else {
                Vec::new()
            },
        };
        FetchReply {
            config: self.documents.config_after(request.config),
            manifests: self.documents.manifests_after(&request.manifests),
            tables,
        }
    }

    pub(super) fn on_fetched(&mut self, reply: Option<ControlReply>) {
        self.gossip.fetching = false;
        let Some(ControlReply::Fetched(reply)) = reply else { return };
        if let Some(copy) = reply.config {
            self.merge_copy(copy);
        }
        for copy in reply.manifests {
            match serde_json::from_str(&copy.document) {
                Ok(value) => self.merge_manifest(value),
                Err(error) => self.reject(format!("manifest/{}", copy.index), &error),
            }
        }
        self.merge_changes(reply.tables);
    }

    /// Sends a digest to some peers immediately, after a new configuration or
    /// manifest.
    pub(super) fn push_digest(&mut self) {
        let digest = self.digest(false);
        for to in self.fresh_targets(PUSH_FANOUT) {
            self.send(CallPurpose::Gossip, to, ControlMessage::Gossip(digest.clone()));
        }
    }

    /// Pushes a changed grant to the zone and to some nodes of other zones.
    pub(super) fn push_grant(&mut self, notice: GrantNotice) {
        self.push_changes(&UpdateNotice { grants: vec![notice], ..UpdateNotice::default() });
    }

    /// Pushes the leaving report of a server to the zone and to some nodes of
    /// other zones.
    pub(super) fn push_leaving_report(&mut self, server: &ServerName) {
        let mut reports = self.leaving_reports.all();
        reports.retain(|report| report.server == *server);
        self.push_changes(&UpdateNotice { signs: reports, ..UpdateNotice::default() });
    }

    /// Pushes this node's record to the zone and to some nodes of other zones,
    /// when it begins to stop.
    pub(super) fn push_own_record(&mut self) {
        let peers = vec![self.own_record()];
        self.push_changes(&UpdateNotice { peers, ..UpdateNotice::default() });
    }

    fn push_changes(&mut self, changes: &UpdateNotice) {
        let mut targets = self.zone_addresses(true);
        targets.extend(self.remote_targets(REMOTE_PUSH_FANOUT));
        for to in targets {
            self.send(CallPurpose::PushChanges, to, ControlMessage::News(changes.clone()));
        }
    }
}
