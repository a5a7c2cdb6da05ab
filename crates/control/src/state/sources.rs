//! Reads and watches of the platform: configuration, manifests, grants, leases
//! of other nodes and the VM list.

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
    calls::{CallPurpose, WriteOutcome},
};
use crate::{
    assignment::top_nodes,
    documents::{ConfigEntry, DocumentError},
    event::ControlEffect,
    record::{LeaseRecord, LeaseRecordState, StatusRecord},
};

/// Kinds of objects that the watcher nodes of a zone watch.
const WATCHED_KINDS: [ObjectKind; 3] =
    [ObjectKind::Config, ObjectKind::Manifest, ObjectKind::Grant];

/// Maximum rate at which the VM list, and likewise the configuration, is reread,
/// in bytes per second.
const REREAD_BYTES_PER_SECOND: usize = 4096;

/// Estimated size of one entry of the VM list, in bytes.
const VM_RECORD_BYTES: usize = 100;

/// Interval between lookups of holders whose address is unknown.
const LOOKUP_INTERVAL: Duration = Duration::from_secs(2);

/// State of the reads and watches of the platform.
#[derive(Debug)]
pub(super) struct PlatformSources {
    kinds: [WatchedKind; WATCHED_KINDS.len()],
    leases: LeaseListRead,
    status: StatusWrite,
    vms: VmListRead,
    lookup_at: BootTime,
}

/// State of the list and the watch of one object kind.
#[derive(Debug)]
struct WatchedKind {
    kind: ObjectKind,
    listed: bool,
    watching: bool,
    in_flight: bool,
    next_at: BootTime,
    polled_at: BootTime,
}

#[derive(Debug)]
struct LeaseListRead {
    in_flight: bool,
    next_at: BootTime,
}

#[derive(Debug)]
struct StatusWrite {
    done: bool,
    in_flight: bool,
    next_at: BootTime,
}

#[derive(Debug)]
struct VmListRead {
    in_flight: bool,
    /// Whether a further read is requested, by a takeover or because no list has shown
    /// this node.
    requested: bool,
    next_at: BootTime,
    /// Whether the list has been read at least once.
    read: bool,
    /// Addresses of backend servers that any list has shown as live.
    seen_servers: IndexSet<SocketAddr>,
    /// Addresses of entry VMs that any list has shown.
    seen_nodes: IndexSet<SocketAddr>,
}

impl PlatformSources {
    pub(super) fn new(now: BootTime) -> Self {
        let kinds = WATCHED_KINDS.map(|kind| WatchedKind {
            kind,
            listed: false,
            watching: false,
            in_flight: false,
            next_at: now,
            polled_at: now,
        });
        Self {
            kinds,
            leases: LeaseListRead { in_flight: false, next_at: now },
            status: StatusWrite { done: false, in_flight: false, next_at: now },
            vms: VmListRead {
                in_flight: false,
                requested: true,
                next_at: now,
                read: false,
                seen_servers: IndexSet::new(),
                seen_nodes: IndexSet::new(),
            },
            lookup_at: now + LOOKUP_INTERVAL,
        }
    }

    fn kind_mut(&mut self, kind: ObjectKind) -> Option<&mut WatchedKind> {
        self.kinds.iter_mut().find(|watched| watched.kind == kind)
    }

    /// Whether the grants have been listed at least once.
    pub(super) fn has_grant_list(&self) -> bool {
        self.kinds.iter().any(|watched| watched.kind == ObjectKind::Grant && watched.listed)
    }

    /// Whether the VM list has been read at least once.
    pub(super) fn has_vm_list(&self) -> bool {
        self.vms.read
    }

    /// Whether any VM list has shown a node at this address.
    pub(super) fn has_listed_node(&self, address: SocketAddr) -> bool {
        self.vms.seen_nodes.contains(&address)
    }

    /// Requests a read of the VM list as soon as its poll interval allows.
    pub(super) fn request_vm_list(&mut self) {
        self.vms.requested = true;
    }
}

impl ControlState {
    pub(super) fn advance_sources(&mut self) {
        let watcher = self.is_watcher();
        for idx in 0..WATCHED_KINDS.len() {
            self.advance_kind(idx, watcher);
        }
        self.advance_lease_list();
        self.advance_status();
        self.advance_vms(watcher);
        self.advance_lookup();
    }

    /// Whether this node is one of the watchers of its zone.
    ///
    /// All nodes that see the same live nodes select the same watchers.
    fn is_watcher(&self) -> bool {
        let nodes = self.live_zone_nodes();
        let watchers = top_nodes("watch", &nodes, self.options.gossip.watchers);
        watchers.contains(&self.options.node)
    }

    /// Returns the interval between a watcher's reads of the configuration.
    ///
    /// Watches report changes immediately. The reads only find changes that a
    /// watch missed, and the watchers of all zones read at different times, so
    /// the interval can be long.
    fn config_poll_interval(&self) -> Duration {
        let bytes = self.documents.config().map_or(0, |entry| entry.document.len());
        reread_interval(bytes, self.options.grant.config_poll_interval)
    }

    fn advance_kind(&mut self, idx: usize, watcher: bool) {
        let poll = self.config_poll_interval();
        let watched = &mut self.sources.kinds[idx];
        if watched.watching && !watcher {
            watched.watching = false;
            let kind = watched.kind;
            self.outbox.push(ControlEffect::Unwatch { kind });
            return;
        }
        let poll_due = watched.kind == ObjectKind::Config && self.now >= watched.polled_at + poll;
        let wanted = !watched.listed || watcher && (!watched.watching || poll_due);
        if watched.in_flight || self.now < watched.next_at || !wanted {
            return;
        }
        watched.in_flight = true;
        watched.polled_at = self.now;
        let kind = watched.kind;
        self.call(CallPurpose::KindList(kind), carobstep_store::ObjectCall::List { kind });
    }

    pub(super) fn on_kind_list(&mut self, kind: ObjectKind, reply: Option<ObjectReply>) {
        let watcher = self.is_watcher();
        let retry_at = self.now + self.options.grant.retry_interval;
        let Some(watched) = self.sources.kind_mut(kind) else { return };
        watched.in_flight = false;
        let Some(ObjectReply::Listed { version, items }) = reply else {
            watched.next_at = retry_at;
            return;
        };
        watched.listed = true;
        if watcher && !watched.watching {
            watched.watching = true;
            self.outbox.push(ControlEffect::Watch { kind, after: version });
        }
        for item in items {
            self.merge_watched_object(kind, item);
        }
    }

    pub(super) fn handle_watch_lost(&mut self, kind: ObjectKind) {
        let retry_at = self.now + self.options.grant.retry_interval;
        if let Some(watched) = self.sources.kind_mut(kind) {
            watched.watching = false;
            watched.next_at = retry_at;
        }
    }

    pub(super) fn handle_change(
        &mut self,
        kind: ObjectKind,
        name: String,
        version: ObjectVersion,
        value: Option<serde_json::Value>,
    ) {
        if let Some(value) = value {
            self.merge_watched_object(kind, StoredObject { name, version, value });
        }
    }

    fn merge_watched_object(&mut self, kind: ObjectKind, object: StoredObject) {
        match kind {
            ObjectKind::Config => self.merge_config(&object.value),
            ObjectKind::Manifest => self.merge_manifest(object.value),
            ObjectKind::Grant => self.merge_grant_object(&object),
            _ => {}
        }
    }

    fn merge_config(&mut self, value: &serde_json::Value) {
        let before = self.documents.config().cloned();
        match self.documents.merge_record(value) {
            Ok(Some(_)) => self.on_new_config(before.as_ref()),
            Ok(None) => {}
            Err(error) => self.reject_document(&error),
        }
    }

    pub(super) fn merge_copy(&mut self, copy: ConfigCopy) {
        let before = self.documents.config().cloned();
        match self.documents.merge_copy(copy) {
            Ok(Some(_)) => self.on_new_config(before.as_ref()),
            Ok(None) => {}
            Err(error) => self.reject_document(&error),
        }
    }

    pub(super) fn merge_manifest(&mut self, value: serde_json::Value) {
        match self.documents.merge_manifest(value) {
            Ok(Some(manifest)) => {
                self.outbox.push(ControlEffect::ManifestChanged { manifest });
                self.push_digest();
            }
            Ok(None) => {}
            Err(error) => self.reject_document(&error),
        }
    }

    fn on_new_config(&mut self, before: Option<&ConfigEntry>) {
        let Some(entry) = self.documents.config().cloned() else { return };
        if let Some(before) = before {
            self.clear_leaving_reports(&before.topology, &entry.topology);
        }
        self.outbox.push(ControlEffect::ConfigChanged {
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

    /// Clears the leaving reports of servers whose configured state changed from
    /// draining to active.
    fn clear_leaving_reports(&mut self, before: &ConfigTopology, after: &ConfigTopology) {
        for (_, server) in after.servers() {
            let Some(key) = before.find_server(server.name.as_str()) else { continue };
            let drained = before.server(key).state == ServerState::Draining;
            if drained && server.state == ServerState::Active {
                self.leaving_reports.clear(self.now, &server.name);
            }
        }
    }

    /// Lists the leases until one list is at least as new as this node's last
    /// confirmed lease write.
    ///
    /// An older list may not show that a lease was closed before this process
    /// started.
    fn advance_lease_list(&mut self) {
        let due = !self.sources.leases.in_flight && self.now >= self.sources.leases.next_at;
        if self.witness.has_read_leases() || self.lease.opened_at.is_none() || !due {
            return;
        }
        self.sources.leases.in_flight = true;
        let call = carobstep_store::ObjectCall::List { kind: ObjectKind::Lease };
        self.call(CallPurpose::LeaseList, call);
    }

    pub(super) fn on_lease_list(&mut self, reply: Option<ObjectReply>) {
        self.sources.leases.in_flight = false;
        self.sources.leases.next_at = self.now + self.options.grant.retry_interval;
        let Some(ObjectReply::Listed { version, items }) = reply else { return };
        for item in &items {
            self.merge_lease_object(item);
        }
        if version >= self.lease.version && self.lease.opened_at.is_some() {
            self.witness.mark_leases_read();
        }
    }

    fn merge_lease_object(&mut self, object: &StoredObject) {
        let record = match serde_json::from_value::<LeaseRecord>(object.value.clone()) {
            Ok(record) => record,
            Err(error) => {
                self.reject(format!("lease/{}", object.name), &error);
                return;
            }
        };
        if record.state != LeaseRecordState::Open {
            self.witness.record_closed(record.node, record.incarnation);
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

    /// Reads the lease of one holder whose address is unknown.
    fn advance_lookup(&mut self) {
        if self.now < self.sources.lookup_at {
            return;
        }
        self.sources.lookup_at = self.now + LOOKUP_INTERVAL;
        let own = &self.options.node;
        let holders = self.grants.iter().filter_map(|notice| notice.holder.as_ref());
        let unknown = holders.filter(|holder| *holder != own && self.peers.get(holder).is_none());
        if let Some(holder) = unknown.min().cloned() {
            self.get(CallPurpose::LeaseLookup, ObjectKind::Lease, holder.as_str());
        }
    }

    pub(super) fn on_lease_lookup(&mut self, reply: Option<ObjectReply>) {
        if let Some(ObjectReply::Found(object)) = reply {
            self.merge_lease_object(&object);
        }
    }

    /// Writes the status object once, after the node has its first configuration.
    fn advance_status(&mut self) {
        let status = &mut self.sources.status;
        let due = !status.done && !status.in_flight && self.now >= status.next_at;
        if !due || self.phase != NodePhase::Serving {
            return;
        }
        status.in_flight = true;
        let node = self.options.node.clone();
        self.get(CallPurpose::StatusRead, ObjectKind::Status, node.as_str());
    }

    pub(super) fn on_status_read(&mut self, reply: Option<ObjectReply>) {
        let condition = match reply {
            Some(ObjectReply::Found(object)) => WriteCondition::At(object.version),
            Some(ObjectReply::Missing) => WriteCondition::Absent,
            _ => {
                self.on_status_write(WriteOutcome::Failed);
                return;
            }
        };
        let record = StatusRecord {
            node: self.options.node.clone(),
            zone: self.options.zone.clone(),
            region: self.options.region.clone(),
            operators: self.options.operators_address,
            peers: self.options.peer_address,
            config_version: self.documents.version(),
        };
        let name = self.options.node.clone();
        let kind = ObjectKind::Status;
        self.put(CallPurpose::StatusWrite, kind, name.as_str(), condition, &record);
    }

    pub(super) fn on_status_write(&mut self, outcome: WriteOutcome) {
        let status = &mut self.sources.status;
        status.in_flight = false;
        status.done = matches!(outcome, WriteOutcome::Written(_));
        status.next_at = self.now + self.options.lease.renew;
    }

    fn advance_vms(&mut self, watcher: bool) {
        let vms = &self.sources.vms;
        let wanted = watcher || vms.requested;
        if vms.in_flight || !wanted || self.now < vms.next_at {
            return;
        }
        self.sources.vms.in_flight = true;
        self.call(CallPurpose::VmList, carobstep_store::ObjectCall::ListVms);
    }

    pub(super) fn on_vm_list(&mut self, reply: Option<ObjectReply>) {
        self.sources.vms.in_flight = false;
        self.sources.vms.next_at = self.now + self.options.grant.vm_poll_interval;
        let Some(ObjectReply::Vms(vms)) = reply else { return };
        let interval =
            reread_interval(vms.len() * VM_RECORD_BYTES, self.options.grant.vm_poll_interval);
        self.sources.vms.next_at = self.now + interval;
        self.sources.vms.requested = false;
        self.on_listed_servers(&vms);
        let entries = vms.iter().filter(|vm| vm.role == VmRole::Entry);
        let addresses: Vec<SocketAddr> = entries.filter_map(|vm| vm.address.parse().ok()).collect();
        if addresses.contains(&self.options.peer_address) {
            self.lease.listed = true;
        }
        self.sources.vms.requested = !self.lease.listed;
        self.sources.vms.read = true;
        self.sources.vms.seen_nodes.extend(addresses.iter().copied());
        self.on_listed_nodes(&addresses);
    }

    /// Records which backend servers the VM list shows as live or leaving.
    ///
    /// A server that an earlier list has shown as live and this one has not
    /// counts as leaving.
    fn on_listed_servers(&mut self, vms: &[VmRecord]) {
        let Some(config) = self.documents.config().cloned() else { return };
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
            let removed =
                self.sources.vms.seen_servers.contains(&address) && !live.contains(&address);
            if removed || leaving.contains(&address) {
                self.observe_server(&server.name, true);
            } else if live.contains(&address) {
                self.observe_server(&server.name, false);
            }
        }
        self.sources.vms.seen_servers.extend(live);
    }

    /// Records an observation of whether a server is leaving, and sends a change
    /// to peers.
    pub(super) fn observe_server(&mut self, server: &ServerName, leaving: bool) {
        let hold_time = self.options.grant.leaving_hold_time;
        if self.leaving_reports.observe(self.now, server, leaving, hold_time) {
            self.routes_changed = true;
            self.push_leaving_report(server);
        }
    }

    pub(super) fn reject(&mut self, object: String, error: &serde_json::Error) {
        let message = error.to_string();
        self.outbox.push(ControlEffect::Rejected { object, message });
    }

    fn reject_document(&mut self, error: &DocumentError) {
        let object = error.object().to_owned();
        let message = error.message().to_owned();
        self.outbox.push(ControlEffect::Rejected { object, message });
    }
}

/// Returns the interval between reads of an object of `bytes` bytes, at least
/// `min_interval`.
fn reread_interval(bytes: usize, min_interval: Duration) -> Duration {
    min_interval.max(Duration::from_secs((bytes / REREAD_BYTES_PER_SECOND) as u64))
}
