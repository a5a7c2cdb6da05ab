//! What the node reads from the platform: configuration, manifests, grants,
//! leases of other nodes and the VM list.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use carobstep_clock::BootTime;
use carobstep_config::{ConfigTopology, ServerName, ServerState};
use carobstep_store::{
    ObjectKind, ObjectReply, ObjectVersion, StoredObject, VmRecord, VmRole, VmState, WriteCondition,
};
use carobstep_wire::{ConfigCopy, PeerRecord};
use indexmap::IndexSet;

use super::{
    ControlState, NodeInput, NodePhase,
    calls::{Purpose, WriteOutcome},
};
use crate::{
    assignment::top_nodes,
    event::ControlEffect,
    record::{LeaseMark, LeaseRecord, StatusRecord},
    spread::{ConfigEntry, SpreadError},
};

/// Kinds that watchers watch.
const WATCHED_KINDS: [ObjectKind; 3] =
    [ObjectKind::Config, ObjectKind::Manifest, ObjectKind::Grant];

/// Rate at which the VM list or the configuration is read again, in bytes per
/// second.
const READ_RATE: usize = 4096;

/// Size of one VM of the list.
const VM_RECORD_BYTES: usize = 100;

/// Readings of the VM list that a node skips while it waits to be listed.
const UNLISTED_PAUSE: u32 = 5;

/// Time between two look-ups of holders whose address is not known.
const LOOKUP_INTERVAL: Duration = Duration::from_secs(2);

/// Readings and watches of the platform.
#[derive(Debug)]
pub(super) struct SourceDesk {
    kinds: [KindSource; WATCHED_KINDS.len()],
    leases: OnceRead,
    status: StatusWrite,
    vms: VmSource,
    lookup_at: BootTime,
}

/// One watched kind.
#[derive(Debug)]
struct KindSource {
    kind: ObjectKind,
    listed: bool,
    watching: bool,
    busy: bool,
    next_at: BootTime,
    polled_at: BootTime,
}

#[derive(Debug)]
struct OnceRead {
    busy: bool,
    next_at: BootTime,
}

#[derive(Debug)]
struct StatusWrite {
    done: bool,
    busy: bool,
    next_at: BootTime,
}

#[derive(Debug)]
struct VmSource {
    busy: bool,
    wanted: bool,
    next_at: BootTime,
    /// Whether the list was read once.
    read: bool,
    /// Addresses of backend servers that the list has shown.
    shown: IndexSet<SocketAddr>,
    /// Addresses of entry VMs that the list has shown.
    shown_nodes: IndexSet<SocketAddr>,
}

impl SourceDesk {
    pub(super) fn new(now: BootTime) -> Self {
        let kinds = WATCHED_KINDS.map(|kind| KindSource {
            kind,
            listed: false,
            watching: false,
            busy: false,
            next_at: now,
            polled_at: now,
        });
        Self {
            kinds,
            leases: OnceRead { busy: false, next_at: now },
            status: StatusWrite { done: false, busy: false, next_at: now },
            vms: VmSource {
                busy: false,
                wanted: true,
                next_at: now,
                read: false,
                shown: IndexSet::new(),
                shown_nodes: IndexSet::new(),
            },
            lookup_at: now + LOOKUP_INTERVAL,
        }
    }

    fn kind_mut(&mut self, kind: ObjectKind) -> Option<&mut KindSource> {
        self.kinds.iter_mut().find(|source| source.kind == kind)
    }

    /// Whether every grant was read once.
    pub(super) fn has_grants(&self) -> bool {
        self.kinds.iter().any(|source| source.kind == ObjectKind::Grant && source.listed)
    }

    /// Whether the VM list was read once.
    pub(super) fn has_vms(&self) -> bool {
        self.vms.read
    }

    /// Whether the VM list has shown a node at this address.
    pub(super) fn has_shown(&self, address: SocketAddr) -> bool {
        self.vms.shown_nodes.contains(&address)
    }

    /// Asks for a reading of the VM list as soon as its rate allows.
    pub(super) fn want_vms(&mut self) {
        self.vms.wanted = true;
    }
}

impl ControlState {
    pub(super) fn advance_sources(&mut self) {
        let watcher = self.is_watcher();
        for at in 0..WATCHED_KINDS.len() {
            self.advance_kind(at, watcher);
        }
        self.advance_lease_list();
        self.advance_status();
        self.advance_vms(watcher);
        self.advance_lookup();
    }

    /// Whether this node is one of those of its zone that watch the platform.
    fn is_watcher(&self) -> bool {
        let nodes = self.live_zone_nodes();
        let watchers = top_nodes("watch", &nodes, self.options.gossip.watchers);
        watchers.contains(&self.options.node)
    }

    /// Time between two readings of the configuration by a watcher.
    ///
    /// The watches report changes at once; the readings only find what a watch
    /// left out, and every zone has watchers that read at other times.
    fn config_poll(&self) -> Duration {
        let bytes = self.spread.config().map_or(0, |entry| entry.document.len());
        reading_pause(bytes, self.options.grant.config_poll)
    }

    fn advance_kind(&mut self, at: usize, watcher: bool) {
        let poll = self.config_poll();
        let source = &mut self.sources.kinds[at];
        if source.watching && !watcher {
            source.watching = false;
            let kind = source.kind;
            self.outbox.push(ControlEffect::Unwatch { kind });
            return;
        }
        let poll_due = source.kind == ObjectKind::Config && self.now >= source.polled_at + poll;
        let wanted = !source.listed || watcher && (!source.watching || poll_due);
        if source.busy || self.now < source.next_at || !wanted {
            return;
        }
        source.busy = true;
        source.polled_at = self.now;
        let kind = source.kind;
        self.call(Purpose::KindList(kind), carobstep_store::ObjectCall::List { kind });
    }

    pub(super) fn take_kind_list(&mut self, kind: ObjectKind, reply: Option<ObjectReply>) {
        let watcher = self.is_watcher();
        let retry_at = self.now + self.options.grant.retry;
        let Some(source) = self.sources.kind_mut(kind) else { return };
        source.busy = false;
        let Some(ObjectReply::Listed { version, items }) = reply else {
            source.next_at = retry_at;
            return;
        };
        source.listed = true;
        if watcher && !source.watching {
            source.watching = true;
            self.outbox.push(ControlEffect::Watch { kind, after: version });
        }
        for item in items {
            self.take_watched_object(kind, item);
        }
    }

    pub(super) fn lose_watch(&mut self, kind: ObjectKind) {
        let retry_at = self.now + self.options.grant.retry;
        if let Some(source) = self.sources.kind_mut(kind) {
            source.watching = false;
            source.next_at = retry_at;
        }
    }

    pub(super) fn take_change(
        &mut self,
        kind: ObjectKind,
        name: String,
        version: ObjectVersion,
        value: Option<serde_json::Value>,
    ) {
        if let Some(value) = value {
            self.take_watched_object(kind, StoredObject { name, version, value });
        }
    }

    fn take_watched_object(&mut self, kind: ObjectKind, object: StoredObject) {
        match kind {
            ObjectKind::Config => self.offer_config(&object.value),
            ObjectKind::Manifest => self.offer_manifest(object.value),
            ObjectKind::Grant => self.merge_grant_object(&object),
            _ => {}
        }
    }

    fn offer_config(&mut self, value: &serde_json::Value) {
        let before = self.spread.config().cloned();
        match self.spread.offer_record(value) {
            Ok(Some(_)) => self.take_config(before.as_ref()),
            Ok(None) => {}
            Err(error) => self.reject_spread(&error),
        }
    }

    pub(super) fn offer_copy(&mut self, copy: ConfigCopy) {
        let before = self.spread.config().cloned();
        match self.spread.offer_copy(copy) {
            Ok(Some(_)) => self.take_config(before.as_ref()),
            Ok(None) => {}
            Err(error) => self.reject_spread(&error),
        }
    }

    pub(super) fn offer_manifest(&mut self, value: serde_json::Value) {
        match self.spread.offer_manifest(value) {
            Ok(Some(manifest)) => {
                self.outbox.push(ControlEffect::ManifestInForce { manifest });
                self.push_digest();
            }
            Ok(None) => {}
            Err(error) => self.reject_spread(&error),
        }
    }

    fn take_config(&mut self, before: Option<&ConfigEntry>) {
        let Some(entry) = self.spread.config().cloned() else { return };
        if let Some(before) = before {
            self.clear_signs(&before.topology, &entry.topology);
        }
        self.outbox.push(ControlEffect::ConfigInForce {
            topology: Arc::clone(&entry.topology),
            document: Arc::clone(&entry.document),
        });
        self.routes_changed = true;
        self.assignment.invalidate();
        if self.phase == NodePhase::Starting {
            self.apply(NodeInput::Configured);
            self.outbox.push(ControlEffect::Ready(true));
        }
        self.push_digest();
    }

    /// A server that drained before and is active now takes requests again.
    fn clear_signs(&mut self, before: &ConfigTopology, after: &ConfigTopology) {
        for (_, server) in after.servers() {
            let Some(key) = before.find_server(server.name.as_str()) else { continue };
            let drained = before.server(key).state == ServerState::Draining;
            if drained && server.state == ServerState::Active {
                self.signs.clear(self.now, &server.name);
            }
        }
    }

    /// Reads every lease once, after the own one was written.
    ///
    /// A listing that is older than the own write may lack a lease that was
    /// closed before this process started, so it does not count.
    fn advance_lease_list(&mut self) {
        let due = !self.sources.leases.busy && self.now >= self.sources.leases.next_at;
        if self.witness.is_settled() || self.lease.opened_at.is_none() || !due {
            return;
        }
        self.sources.leases.busy = true;
        let call = carobstep_store::ObjectCall::List { kind: ObjectKind::Lease };
        self.call(Purpose::LeaseList, call);
    }

    pub(super) fn take_lease_list(&mut self, reply: Option<ObjectReply>) {
        self.sources.leases.busy = false;
        self.sources.leases.next_at = self.now + self.options.grant.retry;
        let Some(ObjectReply::Listed { version, items }) = reply else { return };
        for item in &items {
            self.take_lease_object(item);
        }
        if version >= self.lease.version && self.lease.opened_at.is_some() {
            self.witness.settle();
        }
    }

    fn take_lease_object(&mut self, object: &StoredObject) {
        let record = match serde_json::from_value::<LeaseRecord>(object.value.clone()) {
            Ok(record) => record,
            Err(error) => {
                self.reject(format!("lease/{}", object.name), &error);
                return;
            }
        };
        if record.state != LeaseMark::Open {
            self.witness.close(record.node, record.incarnation);
            return;
        }
        if record.node == self.options.node {
            return;
        }
        let peer = PeerRecord {
            node: record.node,
            zone: record.zone,
            address: record.peers,
            incarnation: record.incarnation,
            heartbeat: 0,
            stopping: false,
        };
        self.merge_peer(peer);
    }

    /// Reads the lease of a holder whose address is not known.
    fn advance_lookup(&mut self) {
        if self.now < self.sources.lookup_at {
            return;
        }
        self.sources.lookup_at = self.now + LOOKUP_INTERVAL;
        let own = &self.options.node;
        let holders = self.grants.iter().filter_map(|notice| notice.holder.as_ref());
        let unknown = holders.filter(|holder| *holder != own && self.peers.get(holder).is_none());
        if let Some(holder) = unknown.min().cloned() {
            self.get(Purpose::LeaseLookup, ObjectKind::Lease, holder.as_str());
        }
    }

    pub(super) fn take_lease_lookup(&mut self, reply: Option<ObjectReply>) {
        if let Some(ObjectReply::Found(object)) = reply {
            self.take_lease_object(&object);
        }
    }

    /// Writes the status object once, after the first configuration.
    fn advance_status(&mut self) {
        let status = &mut self.sources.status;
        let due = !status.done && !status.busy && self.now >= status.next_at;
        if !due || self.phase != NodePhase::Serving {
            return;
        }
        status.busy = true;
        let node = self.options.node.clone();
        self.get(Purpose::StatusRead, ObjectKind::Status, node.as_str());
    }

    pub(super) fn take_status_read(&mut self, reply: Option<ObjectReply>) {
        let condition = match reply {
            Some(ObjectReply::Found(object)) => WriteCondition::At(object.version),
            Some(ObjectReply::Missing) => WriteCondition::Absent,
            _ => {
                self.take_status_write(WriteOutcome::Failed);
                return;
            }
        };
        let record = StatusRecord {
            node: self.options.node.clone(),
            zone: self.options.zone.clone(),
            region: self.options.region.clone(),
            operators: self.options.operators_address,
            peers: self.options.peer_address,
            config_version: self.spread.version(),
        };
        let name = self.options.node.clone();
        let kind = ObjectKind::Status;
        self.put(Purpose::StatusWrite, kind, name.as_str(), condition, &record);
    }

    pub(super) fn take_status_write(&mut self, outcome: WriteOutcome) {
        let status = &mut self.sources.status;
        status.busy = false;
        status.done = matches!(outcome, WriteOutcome::Written(_));
        status.next_at = self.now + self.options.lease.renew;
    }

    fn advance_vms(&mut self, watcher: bool) {
        let vms = &self.sources.vms;
        let pause = self.options.grant.vm_poll * UNLISTED_PAUSE;
        let unlisted = !self.lease.listed && self.now >= vms.next_at + pause;
        let wanted = watcher || vms.wanted || unlisted;
        if vms.busy || !wanted || self.now < vms.next_at {
            return;
        }
        self.sources.vms.busy = true;
        self.call(Purpose::VmList, carobstep_store::ObjectCall::ListVms);
    }

    pub(super) fn take_vm_list(&mut self, reply: Option<ObjectReply>) {
        self.sources.vms.busy = false;
        self.sources.vms.next_at = self.now + self.options.grant.vm_poll;
        let Some(ObjectReply::Vms(vms)) = reply else { return };
        let pause = reading_pause(vms.len() * VM_RECORD_BYTES, self.options.grant.vm_poll);
        self.sources.vms.next_at = self.now + pause;
        self.sources.vms.wanted = false;
        self.take_listed_servers(&vms);
        let entries = vms.iter().filter(|vm| vm.role == VmRole::Entry);
        let addresses: Vec<SocketAddr> = entries.filter_map(|vm| vm.address.parse().ok()).collect();
        if addresses.contains(&self.options.peer_address) {
            self.lease.listed = true;
        }
        self.sources.vms.wanted = !self.lease.listed;
        self.sources.vms.read = true;
        self.sources.vms.shown_nodes.extend(addresses.iter().copied());
        self.take_listed_nodes(&addresses);
    }

    /// Takes in what the list shows of backend servers.
    fn take_listed_servers(&mut self, vms: &[VmRecord]) {
        let Some(config) = self.spread.config().cloned() else { return };
        let mut live: IndexSet<SocketAddr> = IndexSet::new();
        let mut leaving: IndexSet<SocketAddr> = IndexSet::new();
        for vm in vms.iter().filter(|vm| vm.role == VmRole::Backend) {
            let Ok(address) = vm.address.parse() else { continue };
            match vm.state {
                VmState::Live => live.insert(address),
                VmState::Leaving => leaving.insert(address),
            };
        }
        for (_, server) in config.topology.servers() {
            let address = server.address;
            let gone = self.sources.vms.shown.contains(&address) && !live.contains(&address);
            if gone || leaving.contains(&address) {
                self.observe_server(&server.name, true);
            } else if live.contains(&address) {
                self.observe_server(&server.name, false);
            }
        }
        self.sources.vms.shown.extend(live);
    }

    /// Takes in a sign that a server leaves, or that it does not.
    pub(super) fn observe_server(&mut self, server: &ServerName, leaving: bool) {
        let hold = self.options.grant.sign_hold;
        if self.signs.observe(self.now, server, leaving, hold) {
            self.routes_changed = true;
            self.push_signs(server);
        }
    }

    pub(super) fn reject(&mut self, object: String, error: &serde_json::Error) {
        let message = error.to_string();
        self.outbox.push(ControlEffect::Rejected { object, message });
    }

    fn reject_spread(&mut self, error: &SpreadError) {
        let object = error.object().to_owned();
        let message = error.message().to_owned();
        self.outbox.push(ControlEffect::Rejected { object, message });
    }
}

/// Time between two readings of something of this size.
fn reading_pause(bytes: usize, least: Duration) -> Duration {
    least.max(Duration::from_secs((bytes / READ_RATE) as u64))
}
