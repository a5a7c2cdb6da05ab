//! Table of the other nodes and their heartbeats.

use carobstep_clock::BootTime;
use carobstep_config::{NodeName, ZoneName};
use carobstep_store::ObjectVersion;
use carobstep_wire::{PeerHeartbeat, PeerRecord};
use indexmap::IndexMap;
use std::time::Duration;
use xxhash_rust::xxh3::xxh3_64;

/// A known node.
#[derive(Clone, Debug)]
pub(crate) struct PeerEntry {
    pub(crate) record: PeerRecord,
    /// When the heartbeat last grew, `None` before the first heartbeat.
    pub(crate) heartbeat_at: Option<BootTime>,
    /// When the record itself last changed.
    pub(crate) changed_at: BootTime,
    /// Newest lease version that the node reported, and when the report arrived.
    pub(crate) lease: (ObjectVersion, BootTime),
    /// Whether the last connection to the node worked.
    pub(crate) reachable: bool,
    id: u32,
}

/// Known nodes by name, without this node.
#[derive(Clone, Debug, Default)]
pub(crate) struct PeerTable {
    entries: IndexMap<NodeName, PeerEntry>,
    names_by_id: IndexMap<u32, NodeName>,
    changed_at: BootTime,
}

/// Returns a 32-bit hash of a node's name and incarnation, which identifies the
/// node in heartbeats.
pub(crate) fn heartbeat_id(record: &PeerRecord) -> u32 {
    let text = format!("{}\0{}", record.node, record.incarnation);
    (xxh3_64(text.as_bytes()) & u64::from(u32::MAX)) as u32
}

/// Whether `new` replaces `old`.
///
/// The higher incarnation wins. Within one incarnation, a node that is stopping
/// never returns to service.
fn replaces(new: &PeerRecord, old: &PeerRecord) -> bool {
    (new.incarnation, new.stopping) > (old.incarnation, old.stopping)
}

impl PeerTable {
    pub(crate) fn get(&self, node: &NodeName) -> Option<&PeerEntry> {
        self.entries.get(node)
    }

    /// Returns the time at which a record last changed.
    pub(crate) const fn changed_at(&self) -> BootTime {
        self.changed_at
    }

    pub(crate) fn iter(&self) -> impl Iterator<Item = &PeerEntry> {
        self.entries.values()
    }

    /// Merges a record and returns whether it was new or replaced an older one.
    pub(crate) fn merge(&mut self, now: BootTime, record: PeerRecord) -> bool {
        let Some(entry) = self.entries.get_mut(&record.node) else {
            self.insert(now, record);
            return true;
        };
        if replaces(&record, &entry.record) {
            let restarted = record.incarnation > entry.record.incarnation;
            self.names_by_id.swap_remove(&entry.id);
            let heartbeat_at = if restarted { None } else { entry.heartbeat_at };
            let lease = entry.lease;
            self.insert(now, record.clone());
            let entry = &mut self.entries[&record.node];
            entry.heartbeat_at = if record.heartbeat > 0 { Some(now) } else { heartbeat_at };
            entry.lease = if restarted { entry.lease } else { lease };
            return true;
        }
        if record.incarnation == entry.record.incarnation {
            entry.record_heartbeat(now, record.heartbeat);
        }
        false
    }

    fn insert(&mut self, now: BootTime, record: PeerRecord) {
        self.changed_at = now;
        let id = heartbeat_id(&record);
        let heartbeat_at = (record.heartbeat > 0).then_some(now);
        self.names_by_id.insert(id, record.node.clone());
        let lease = (ObjectVersion(0), now);
        let node = record.node.clone();
        let entry = PeerEntry { record, heartbeat_at, changed_at: now, lease, reachable: true, id };
        self.entries.insert(node, entry);
    }

    /// Merges a heartbeat and returns `false` if its node is unknown.
    pub(crate) fn merge_heartbeat(&mut self, now: BootTime, heartbeat: PeerHeartbeat) -> bool {
        let Some(node) = self.names_by_id.get(&heartbeat.id) else { return false };
        let Some(entry) = self.entries.get_mut(node) else { return false };
        entry.record_heartbeat(now, heartbeat.heartbeat);
        if ObjectVersion(heartbeat.lease) > entry.lease.0 {
            entry.lease = (ObjectVersion(heartbeat.lease), now);
        }
        true
    }

    /// Records whether the last connection to the node worked.
    pub(crate) fn set_reachable(&mut self, node: &NodeName, reachable: bool) {
        if let Some(entry) = self.entries.get_mut(node) {
            entry.reachable = reachable;
        }
    }

    /// Removes nodes whose heartbeat has not grown for `age`.
    pub(crate) fn prune(&mut self, now: BootTime, age: Duration) {
        let names_by_id = &mut self.names_by_id;
        self.entries.retain(|_, entry| {
            let last = entry.heartbeat_at.unwrap_or(entry.changed_at);
            let keep = now < last + age;
            if !keep {
                names_by_id.swap_remove(&entry.id);
            }
            keep
        });
    }
}

impl PeerEntry {
    fn record_heartbeat(&mut self, now: BootTime, heartbeat: u64) {
        if heartbeat > self.record.heartbeat {
            self.record.heartbeat = heartbeat;
            self.heartbeat_at = Some(now);
        }
    }

    /// Whether the heartbeat grew within `timeout` and the node is not stopping.
    pub(crate) fn is_live(&self, now: BootTime, timeout: Duration) -> bool {
        !self.record.stopping && self.is_fresh(now, timeout)
    }

    /// Whether the heartbeat grew within `timeout`.
    pub(crate) fn is_fresh(&self, now: BootTime, timeout: Duration) -> bool {
        self.heartbeat_at.is_some_and(|heartbeat_at| now < heartbeat_at + timeout)
    }

    pub(crate) fn is_in(&self, zone: &ZoneName) -> bool {
        self.record.zone == *zone
    }

    /// Returns the heartbeat as it is sent in digests.
    pub(crate) fn as_heartbeat(&self) -> PeerHeartbeat {
        let PeerRecord { heartbeat, .. } = self.record;
        PeerHeartbeat { id: self.id, heartbeat, lease: self.lease.0.0 }
    }

    /// Returns this entry's contribution to the hash of the peer table.
    pub(crate) fn hash(&self) -> u64 {
        record_hash(&self.record)
    }
}

/// Returns a hash of a record without its heartbeat.
pub(crate) fn record_hash(record: &PeerRecord) -> u64 {
    let text =
        format!("{}\0{}\0{}\0{}", record.node, record.incarnation, record.stopping, record.address);
    xxh3_64(text.as_bytes())
}
