//! Assignment, acquisition and release of grants.

use std::time::Duration;

use carobstep_clock::BootTime;
use carobstep_config::{NodeName, ServerName};
use carobstep_store::{ObjectKind, ObjectReply, ObjectVersion, WriteCondition};
use carobstep_wire::{GrantNotice, RefusalReason};
use indexmap::IndexMap;

use super::{
    ControlState, NodePhase,
    calls::{CallPurpose, WriteOutcome},
    takeover_tasks::TakeoverKey,
};
use crate::{
    assignment::assign_servers,
    event::ControlEffect,
    grants::{notice_of, parse_grant},
    record::{GrantRecord, GrantRecordState},
};

/// Maximum number of concurrent acquisitions.
const MAX_ACQUISITIONS: usize = 8;

/// Maximum number of concurrent releases of a stopping node.
const MAX_STOP_RELEASES: usize = 8;

/// A grant that this node holds or is releasing.
#[derive(Clone, Debug)]
pub(super) struct HeldGrant {
    epoch: u64,
    version: ObjectVersion,
    not_before: BootTime,
    step: GrantStep,
    idle: bool,
    /// Whether an earlier release with an unknown outcome may still take effect.
    release_in_doubt: bool,
    retry_at: BootTime,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum GrantStep {
    /// New requests may start.
    Held,
    /// No new requests start and running ones complete.
    Draining,
    /// The release is being written, or read back after an unknown outcome.
    Releasing,
}

impl HeldGrant {
    pub(super) const fn epoch(&self) -> u64 {
        self.epoch
    }

    pub(super) const fn not_before(&self) -> BootTime {
        self.not_before
    }

    pub(super) fn set_idle(&mut self, idle: bool) {
        self.idle = idle;
    }

    pub(super) const fn is_idle(&self) -> bool {
        self.idle
    }

    pub(super) fn is_being_released(&self) -> bool {
        self.step != GrantStep::Held
    }

    pub(super) fn may_dispatch(&self, now: BootTime) -> Result<u64, RefusalReason> {
        if self.step != GrantStep::Held {
            return Err(RefusalReason::NotHolder);
        }
        if now < self.not_before {
            return Err(RefusalReason::GrantFenced);
        }
        Ok(self.epoch)
    }
}

/// A grant acquisition in progress.
#[derive(Clone, Debug)]
pub(super) struct Acquisition {
    /// The record of a write that is in flight or has an unknown outcome.
    record: Option<GrantRecord>,
    /// Whether no request of a previous holder can still run.
    drained: bool,
    in_flight: bool,
    retry_at: BootTime,
}

/// Assigned holder of each server of the zone.
#[derive(Debug, Default)]
pub(super) struct AssignmentView {
    targets: IndexMap<ServerName, AssignmentTarget>,
    nodes: Vec<NodeName>,
    stale: bool,
}

#[derive(Clone, Debug)]
struct AssignmentTarget {
    node: NodeName,
    since: BootTime,
}

impl AssignmentView {
    pub(super) fn invalidate(&mut self) {
        self.stale = true;
    }

    /// Whether any server assigned to `node` is not in `held_grants`.
    pub(super) fn has_unheld(
        &self,
        node: &NodeName,
        held_grants: &IndexMap<ServerName, HeldGrant>,
    ) -> bool {
        let mut targets = self.targets.iter();
        targets.any(|(server, target)| target.node == *node && !held_grants.contains_key(server))
    }

    /// Returns the servers assigned to `node`.
    pub(super) fn servers_of(&self, node: &NodeName) -> Vec<ServerName> {
        let own = self.targets.iter().filter(|(_, target)| target.node == *node);
        own.map(|(server, _)| server.clone()).collect()
    }

    /// Whether a server has been assigned to another node since `before` or
    /// earlier, or to no node at all.
    fn is_reassigned(&self, server: &ServerName, node: &NodeName, before: BootTime) -> bool {
        self.targets.get(server).is_none_or(|target| target.node != *node && target.since <= before)
    }
}

impl ControlState {
    /// Returns the sorted names of the live nodes of the zone, including this
    /// node unless it is stopping.
    pub(super) fn live_zone_nodes(&self) -> Vec<NodeName> {
        let timeout = self.options.gossip.peer_timeout;
        let zone = &self.options.zone;
        let peers = self.peers.iter().filter(|peer| peer.is_in(zone));
        let live = peers.filter(|peer| peer.is_live(self.now, timeout));
        let mut nodes: Vec<NodeName> = live.map(|peer| peer.record.node.clone()).collect();
        if matches!(self.phase, NodePhase::Starting | NodePhase::Serving) {
            nodes.push(self.options.node.clone());
        }
        nodes.sort();
        nodes
    }

    pub(super) fn advance_assignment(&mut self) {
        let nodes = self.live_zone_nodes();
        if nodes == self.assignment.nodes && !self.assignment.stale {
            return;
        }
        let Some(config) = self.documents.config() else { return };
        let assigned = assign_servers(&config.topology, &self.options.zone, &nodes);
        let mut targets = IndexMap::with_capacity(assigned.len());
        for (server, node) in assigned {
            let old = self.assignment.targets.get(&server).filter(|old| old.node == node);
            let since = old.map_or(self.now, |old| old.since);
            targets.insert(server, AssignmentTarget { node, since });
        }
        self.assignment = AssignmentView { targets, nodes, stale: false };
    }

    pub(super) fn advance_acquisitions(&mut self) {
        if !self.may_acquire() {
            return;
        }
        for server in self.assignment.servers_of(&self.options.node) {
            if self.acquisitions.len() >= MAX_ACQUISITIONS {
                return;
            }
            if self.held_grants.contains_key(&server) || self.acquisitions.contains_key(&server) {
                continue;
            }
            self.begin_acquisition(&server);
        }
    }

    /// Rereads the grants whose acquisition is due for a retry, and returns whether
    /// this node may start new acquisitions.
    fn may_acquire(&mut self) -> bool {
        let now = self.now;
        let retry = self.options.grant.retry_interval;
        let due: Vec<ServerName> = self
            .acquisitions
            .iter()
            .filter(|(_, acquisition)| !acquisition.in_flight && now >= acquisition.retry_at)
            .map(|(server, _)| server.clone())
            .collect();
        for server in due {
            let Some(acquisition) = self.acquisitions.get_mut(&server) else { continue };
            acquisition.in_flight = true;
            acquisition.retry_at = now + retry;
            self.get(CallPurpose::GrantRead(server.clone()), ObjectKind::Grant, server.as_str());
        }
        let since = self.lease.opened_at.unwrap_or(BootTime::MAX);
        let joined = now >= since + self.options.grant.join_delay;
        // Go on without the VM list after one lease term, so that a platform that
        // never answers the list call cannot leave the zone without holders.
        let listed = self.sources.has_vm_list() || now >= since + self.options.lease.term;
        let ready = self.phase == NodePhase::Serving
            && joined
            && self.is_lease_renewed(now)
            && self.sources.has_grant_list()
            && listed;
        ready && (!self.held_grants.is_empty() || self.ensure_membership_recorded())
    }

    fn begin_acquisition(&mut self, server: &ServerName) {
        let Some(notice) = self.grants.get(server).cloned() else {
            self.write_acquisition(server, WriteCondition::Absent, 1, true);
            return;
        };
        let condition = WriteCondition::At(ObjectVersion(notice.version));
        let Some(holder) = &notice.holder else {
            self.write_acquisition(server, condition, notice.epoch + 1, true);
            return;
        };
        let own = *holder == self.options.node;
        if own && notice.incarnation == self.lease.incarnation {
            self.reclaim_grant(&notice);
            return;
        }
        let key = TakeoverKey { node: holder.clone(), incarnation: notice.incarnation };
        let superseded = own && notice.incarnation < self.lease.incarnation;
        if superseded || self.takeover_tasks.get(&key).is_some_and(super::TakeoverTask::is_proven) {
            self.write_acquisition(server, condition, notice.epoch + 1, false);
        }
    }

    /// Holds a grant whose acquisition took effect after this node had abandoned the
    /// write as failed.
    fn reclaim_grant(&mut self, notice: &GrantNotice) {
        let not_before = self.now + self.drain_time(&notice.server);
        self.insert_held_grant(notice, not_before);
    }

    fn write_acquisition(
        &mut self,
        server: &ServerName,
        condition: WriteCondition,
        epoch: u64,
        drained: bool,
    ) {
        let Some(config) = self.documents.config() else { return };
        let Some(key) = config.topology.find_server(server.as_str()) else { return };
        let entry = config.topology.server(key);
        let record = GrantRecord {
            server: server.clone(),
            holder: self.options.node.clone(),
            incarnation: self.lease.incarnation,
            epoch,
            slots: entry.slots,
            connections: entry.connections,
            state: GrantRecordState::Held,
        };
        let purpose = CallPurpose::GrantWrite(Box::new(record.clone()));
        self.put(purpose, ObjectKind::Grant, server.as_str(), condition, &record);
        let retry_at = self.now + self.options.grant.retry_interval;
        let acquisition = Acquisition { record: Some(record), drained, in_flight: true, retry_at };
        self.acquisitions.insert(server.clone(), acquisition);
    }

    pub(super) fn on_grant_write(&mut self, record: &GrantRecord, outcome: WriteOutcome) {
        let server = &record.server;
        let Some(acquisition) = self.acquisitions.get_mut(server) else { return };
        acquisition.in_flight = false;
        match outcome {
            WriteOutcome::Written(version) => {
                let drained = acquisition.drained;
                self.acquisitions.swap_remove(server);
                self.finish_acquisition(record, version, drained);
            }
            WriteOutcome::Failed | WriteOutcome::Conflict => {
                acquisition.record = None;
                acquisition.retry_at = self.now + self.options.grant.retry_interval;
            }
            WriteOutcome::Unknown => acquisition.retry_at = self.now,
        }
    }

    /// Handles the read that resolves an acquisition with an unknown outcome.
    pub(super) fn on_grant_read(&mut self, server: &ServerName, reply: Option<ObjectReply>) {
        let Some(acquisition) = self.acquisitions.get_mut(server) else { return };
        acquisition.in_flight = false;
        let object = match reply {
            Some(ObjectReply::Found(object)) => object,
            Some(ObjectReply::Missing) => {
                self.acquisitions.swap_remove(server);
                return;
            }
            _ => return,
        };
        let record = acquisition.record.take();
        let drained = acquisition.drained;
        self.acquisitions.swap_remove(server);
        let written = serde_json::from_value::<GrantRecord>(object.value.clone()).ok();
        match record {
            Some(record) if written.as_ref() == Some(&record) => {
                self.finish_acquisition(&record, object.version, drained);
            }
            _ => self.merge_grant_object(&object),
        }
    }

    fn finish_acquisition(&mut self, record: &GrantRecord, version: ObjectVersion, drained: bool) {
        let notice = notice_of(record, version);
        self.merge_grant(notice.clone());
        self.push_grant(notice.clone());
        // If the incarnation that wrote the grant has ended meanwhile, the current
        // one acquires the grant later.
        if record.incarnation != self.lease.incarnation {
            return;
        }
        let wait = if drained { Duration::ZERO } else { self.drain_time(&record.server) };
        self.insert_held_grant(&notice, self.now + wait);
    }

    /// Returns how long requests of a previous holder may still run on a server.
    fn drain_time(&self, server: &ServerName) -> Duration {
        let Some(config) = self.documents.config() else { return Duration::ZERO };
        let topology = &config.topology;
        let service = topology.find_server(server.as_str()).map(|key| topology.server(key).service);
        let deadline = service.map_or(Duration::ZERO, |key| topology.service(key).deadline);
        deadline + self.options.lease.drift
    }

    fn insert_held_grant(&mut self, notice: &GrantNotice, not_before: BootTime) {
        let held = HeldGrant {
            epoch: notice.epoch,
            version: ObjectVersion(notice.version),
            not_before,
            step: GrantStep::Held,
            idle: true,
            release_in_doubt: false,
            retry_at: self.now,
        };
        self.held_grants.insert(notice.server.clone(), held);
        self.routes_changed = true;
        let (server, epoch) = (notice.server.clone(), notice.epoch);
        self.outbox.push(ControlEffect::GrantTaken { server, epoch });
    }

    pub(super) fn advance_held_grants(&mut self) {
        self.begin_releases();
        let ready: Vec<ServerName> = self
            .held_grants
            .iter()
            .filter(|(_, held)| held.step == GrantStep::Draining)
            .filter(|(_, held)| held.idle && self.now >= held.retry_at)
            .map(|(server, _)| server.clone())
            .collect();
        for server in ready {
            self.write_release(&server);
        }
    }

    fn begin_releases(&mut self) {
        let stopping = self.phase == NodePhase::Stopping;
        // Without the platform no other node could acquire the grant, so releasing
        // it would only leave the server unused.
        if !stopping && !self.has_recent_renewal() {
            return;
        }
        let limit = if stopping { MAX_STOP_RELEASES } else { self.options.grant.max_releases };
        let mut releasing =
            self.held_grants.values().filter(|held| held.is_being_released()).count();
        let before = self.now - self.options.grant.release_delay;
        for (server, held) in &mut self.held_grants {
            if releasing >= limit {
                return;
            }
            let wanted =
                stopping || self.assignment.is_reassigned(server, &self.options.node, before);
            if held.is_being_released() || !wanted || self.now < held.retry_at {
                continue;
            }
            held.step = GrantStep::Draining;
            held.idle = false;
            releasing += 1;
            self.outbox.push(ControlEffect::GrantReleasing { server: server.clone() });
        }
    }

    fn write_release(&mut self, server: &ServerName) {
        let Some(held) = self.held_grants.get_mut(server) else { return };
        held.step = GrantStep::Releasing;
        let condition = WriteCondition::At(held.version);
        let record = self.release_record(server);
        let purpose = CallPurpose::GrantRelease(Box::new(record.clone()));
        self.put(purpose, ObjectKind::Grant, server.as_str(), condition, &record);
    }

    fn release_record(&self, server: &ServerName) -> GrantRecord {
        let config = self.documents.config();
        let entry = config.and_then(|config| {
            let key = config.topology.find_server(server.as_str())?;
            Some(config.topology.server(key))
        });
        GrantRecord {
            server: server.clone(),
            holder: self.options.node.clone(),
            incarnation: self.lease.incarnation,
            epoch: self.held_grants.get(server).map_or(0, HeldGrant::epoch),
            slots: entry.map_or(0, |entry| entry.slots),
            connections: entry.map_or(0, |entry| entry.connections),
            state: GrantRecordState::Released,
        }
    }

    pub(super) fn on_grant_release(&mut self, record: &GrantRecord, outcome: WriteOutcome) {
        let server = &record.server;
        let Some(held) = self.held_grants.get_mut(server) else { return };
        if held.epoch != record.epoch || held.step != GrantStep::Releasing {
            return;
        }
        match outcome {
            WriteOutcome::Written(version) => {
                let notice = notice_of(record, version);
                self.drop_grant(server);
                self.merge_grant(notice.clone());
                self.push_grant(notice);
            }
            WriteOutcome::Failed => self.retry_release(server),
            WriteOutcome::Conflict | WriteOutcome::Unknown => {
                held.release_in_doubt = true;
                self.get(
                    CallPurpose::ReleaseRead(server.clone()),
                    ObjectKind::Grant,
                    server.as_str(),
                );
            }
        }
    }

    /// Resumes a grant whose release had no effect, unless the node is stopping
    /// or an earlier release may still take effect.
    ///
    /// Emits `GrantDropped` and `GrantTaken`, because the component that used the
    /// server has closed its connections for the release.
    fn retry_release(&mut self, server: &ServerName) {
        let stopping = self.phase == NodePhase::Stopping;
        let Some(held) = self.held_grants.get_mut(server) else { return };
        held.retry_at = self.now + self.options.grant.retry_interval;
        if stopping || held.release_in_doubt {
            held.step = GrantStep::Draining;
            return;
        }
        held.step = GrantStep::Held;
        let epoch = held.epoch;
        self.outbox.push(ControlEffect::GrantDropped { server: server.clone() });
        self.outbox.push(ControlEffect::GrantTaken { server: server.clone(), epoch });
    }

    /// Handles the read that resolves a release with an unknown outcome.
    pub(super) fn on_release_read(&mut self, server: &ServerName, reply: Option<ObjectReply>) {
        let Some(held) = self.held_grants.get_mut(server) else { return };
        held.step = GrantStep::Draining;
        held.retry_at = self.now + self.options.grant.retry_interval;
        let Some(ObjectReply::Found(object)) = reply else { return };
        let changed = object.version > held.version;
        if changed {
            self.drop_grant(server);
            self.merge_grant_object(&object);
        }
    }

    /// Removes a grant that this node no longer holds, without a call to the platform.
    fn drop_grant(&mut self, server: &ServerName) {
        if self.held_grants.shift_remove(server).is_some() {
            self.routes_changed = true;
            self.outbox.push(ControlEffect::GrantDropped { server: server.clone() });
        }
    }

    pub(super) fn drop_all_grants(&mut self) {
        let servers: Vec<ServerName> = self.held_grants.keys().cloned().collect();
        for server in servers {
            self.drop_grant(&server);
        }
    }

    /// Merges a notice about a grant of any zone.
    pub(super) fn merge_grant(&mut self, notice: GrantNotice) {
        let server = notice.server.clone();
        let version = ObjectVersion(notice.version);
        if !self.grants.merge(self.now, notice) {
            return;
        }
        self.routes_changed = true;
        // A newer version that this node did not write means that another node has
        // taken the grant over, after proving that this incarnation had ended.
        let lost = self
            .held_grants
            .get(&server)
            .is_some_and(|held| version > held.version && held.step != GrantStep::Releasing);
        if lost {
            self.drop_grant(&server);
        }
    }

    pub(super) fn merge_grant_object(&mut self, object: &carobstep_store::StoredObject) {
        match parse_grant(object) {
            Ok(notice) => self.merge_grant(notice),
            Err(error) => self.reject(format!("grant/{}", object.name), &error),
        }
    }
}
