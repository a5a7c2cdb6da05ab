//! Grants that the node holds, acquires and releases.

use std::time::Duration;

use carobstep_clock::BootTime;
use carobstep_config::{NodeName, ServerName};
use carobstep_store::{ObjectKind, ObjectReply, ObjectVersion, WriteCondition};
use carobstep_wire::{GrantNotice, RefusalReason};
use indexmap::IndexMap;

use super::{
    ControlState, NodePhase,
    calls::{Purpose, WriteOutcome},
    pursuit::PursuitKey,
};
use crate::{
    assignment::assign_servers,
    event::ControlEffect,
    record::{GrantMark, GrantRecord},
    routes::{notice_of, read_grant},
};

/// Grant writes under way at the same time.
const MAX_ACQUISITIONS: usize = 8;

/// Grants that a stopping node releases at the same time.
const STOP_RELEASES: usize = 8;

/// One held grant.
#[derive(Clone, Debug)]
pub(super) struct Hold {
    epoch: u64,
    version: ObjectVersion,
    not_before: BootTime,
    step: HoldStep,
    idle: bool,
    /// Whether a release may still take effect late.
    release_lost: bool,
    retry_at: BootTime,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum HoldStep {
    /// Requests may start.
    Held,
    /// Nothing new starts; what runs is finished.
    Draining,
    /// The release is written or read back.
    Releasing,
}

impl Hold {
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

    pub(super) fn is_leaving(&self) -> bool {
        self.step != HoldStep::Held
    }

    pub(super) fn may_dispatch(&self, now: BootTime) -> Result<u64, RefusalReason> {
        if self.step != HoldStep::Held {
            return Err(RefusalReason::NotHolder);
        }
        if now < self.not_before {
            return Err(RefusalReason::GrantFenced);
        }
        Ok(self.epoch)
    }
}

/// One grant that is being acquired.
#[derive(Clone, Debug)]
pub(super) struct Acquisition {
    /// The write whose effect is unknown.
    record: Option<GrantRecord>,
    /// Whether nothing of the previous holder can still run.
    clean: bool,
    busy: bool,
    retry_at: BootTime,
}

/// The node that should hold each server of the zone.
#[derive(Debug, Default)]
pub(super) struct AssignmentView {
    targets: IndexMap<ServerName, Target>,
    nodes: Vec<NodeName>,
    stale: bool,
}

#[derive(Clone, Debug)]
struct Target {
    node: NodeName,
    since: BootTime,
}

impl AssignmentView {
    pub(super) fn invalidate(&mut self) {
        self.stale = true;
    }

    /// Whether a server is assigned to `node` that it does not hold.
    pub(super) fn has_free(&self, node: &NodeName, holds: &IndexMap<ServerName, Hold>) -> bool {
        let mut targets = self.targets.iter();
        targets.any(|(server, target)| target.node == *node && !holds.contains_key(server))
    }

    /// Servers that are assigned to `node`.
    pub(super) fn servers_of(&self, node: &NodeName) -> Vec<ServerName> {
        let own = self.targets.iter().filter(|(_, target)| target.node == *node);
        own.map(|(server, _)| server.clone()).collect()
    }

    /// Whether a server has been assigned to another node since `before`.
    fn has_left(&self, server: &ServerName, node: &NodeName, before: BootTime) -> bool {
        self.targets.get(server).is_none_or(|target| target.node != *node && target.since <= before)
    }
}

impl ControlState {
    /// Live nodes of the zone that take work, the node itself among them.
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
        let Some(config) = self.spread.config() else { return };
        let assigned = assign_servers(&config.topology, &self.options.zone, &nodes);
        let mut targets = IndexMap::with_capacity(assigned.len());
        for (server, node) in assigned {
            let old = self.assignment.targets.get(&server).filter(|old| old.node == node);
            let since = old.map_or(self.now, |old| old.since);
            targets.insert(server, Target { node, since });
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
            if self.holds.contains_key(&server) || self.acquisitions.contains_key(&server) {
                continue;
            }
            self.begin_acquisition(&server);
        }
    }

    fn may_acquire(&mut self) -> bool {
        let now = self.now;
        let retry = self.options.grant.retry;
        let due: Vec<ServerName> = self
            .acquisitions
            .iter()
            .filter(|(_, acquisition)| !acquisition.busy && now >= acquisition.retry_at)
            .map(|(server, _)| server.clone())
            .collect();
        for server in due {
            let Some(acquisition) = self.acquisitions.get_mut(&server) else { continue };
            acquisition.busy = true;
            acquisition.retry_at = now + retry;
            self.get(Purpose::GrantRead(server.clone()), ObjectKind::Grant, server.as_str());
        }
        let since = self.lease.opened_at.unwrap_or(BootTime::MAX);
        let joined = now >= since + self.options.grant.join;
        // A list that is never answered must not keep a zone without holders.
        let listed = self.sources.has_vms() || now >= since + self.options.lease.term;
        let ready = self.phase == NodePhase::Serving
            && joined
            && self.is_lease_renewed(now)
            && self.sources.has_grants()
            && listed;
        ready && (!self.holds.is_empty() || self.records_membership())
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
            self.adopt_hold(&notice);
            return;
        }
        let key = PursuitKey { node: holder.clone(), incarnation: notice.incarnation };
        let superseded = own && notice.incarnation < self.lease.incarnation;
        if superseded || self.pursuits.get(&key).is_some_and(super::Pursuit::is_proven) {
            self.write_acquisition(server, condition, notice.epoch + 1, false);
        }
    }

    /// Holds a grant whose write took effect after it had been given up.
    fn adopt_hold(&mut self, notice: &GrantNotice) {
        let not_before = self.now + self.drain_time(&notice.server);
        self.insert_hold(notice, not_before);
    }

    fn write_acquisition(
        &mut self,
        server: &ServerName,
        condition: WriteCondition,
        epoch: u64,
        clean: bool,
    ) {
        let Some(config) = self.spread.config() else { return };
        let Some(key) = config.topology.find_server(server.as_str()) else { return };
        let entry = config.topology.server(key);
        let record = GrantRecord {
            server: server.clone(),
            holder: self.options.node.clone(),
            incarnation: self.lease.incarnation,
            epoch,
            slots: entry.slots,
            connections: entry.connections,
            state: GrantMark::Held,
        };
        let purpose = Purpose::GrantWrite(Box::new(record.clone()));
        self.put(purpose, ObjectKind::Grant, server.as_str(), condition, &record);
        let retry_at = self.now + self.options.grant.retry;
        let acquisition = Acquisition { record: Some(record), clean, busy: true, retry_at };
        self.acquisitions.insert(server.clone(), acquisition);
    }

    pub(super) fn take_grant_write(&mut self, record: &GrantRecord, outcome: WriteOutcome) {
        let server = &record.server;
        let Some(acquisition) = self.acquisitions.get_mut(server) else { return };
        acquisition.busy = false;
        match outcome {
            WriteOutcome::Written(version) => {
                let clean = acquisition.clean;
                self.acquisitions.swap_remove(server);
                self.finish_acquisition(record, version, clean);
            }
            WriteOutcome::Failed | WriteOutcome::Conflict => {
                acquisition.record = None;
                acquisition.retry_at = self.now + self.options.grant.retry;
            }
            WriteOutcome::Unknown => acquisition.retry_at = self.now,
        }
    }

    /// Takes in the reading that settles an acquisition.
    pub(super) fn take_grant_read(&mut self, server: &ServerName, reply: Option<ObjectReply>) {
        let Some(acquisition) = self.acquisitions.get_mut(server) else { return };
        acquisition.busy = false;
        let object = match reply {
            Some(ObjectReply::Found(object)) => object,
            Some(ObjectReply::Missing) => {
                self.acquisitions.swap_remove(server);
                return;
            }
            _ => return,
        };
        let record = acquisition.record.take();
        let clean = acquisition.clean;
        self.acquisitions.swap_remove(server);
        let written = serde_json::from_value::<GrantRecord>(object.value.clone()).ok();
        match record {
            Some(record) if written.as_ref() == Some(&record) => {
                self.finish_acquisition(&record, object.version, clean);
            }
            _ => self.merge_grant_object(&object),
        }
    }

    fn finish_acquisition(&mut self, record: &GrantRecord, version: ObjectVersion, clean: bool) {
        let notice = notice_of(record, version);
        self.merge_grant(notice.clone());
        self.push_grant(notice.clone());
        // A write of an incarnation that ended meanwhile is taken over later.
        if record.incarnation != self.lease.incarnation {
            return;
        }
        let wait = if clean { Duration::ZERO } else { self.drain_time(&record.server) };
        self.insert_hold(&notice, self.now + wait);
    }

    /// How long requests of a previous holder may still run on a server.
    fn drain_time(&self, server: &ServerName) -> Duration {
        let Some(config) = self.spread.config() else { return Duration::ZERO };
        let topology = &config.topology;
        let service = topology.find_server(server.as_str()).map(|key| topology.server(key).service);
        let deadline = service.map_or(Duration::ZERO, |key| topology.service(key).deadline);
        deadline + self.options.lease.drift
    }

    fn insert_hold(&mut self, notice: &GrantNotice, not_before: BootTime) {
        let hold = Hold {
            epoch: notice.epoch,
            version: ObjectVersion(notice.version),
            not_before,
            step: HoldStep::Held,
            idle: true,
            release_lost: false,
            retry_at: self.now,
        };
        self.holds.insert(notice.server.clone(), hold);
        self.routes_changed = true;
        let (server, epoch) = (notice.server.clone(), notice.epoch);
        self.outbox.push(ControlEffect::GrantTaken { server, epoch });
    }

    pub(super) fn advance_holds(&mut self) {
        self.begin_releases();
        let ready: Vec<ServerName> = self
            .holds
            .iter()
            .filter(|(_, hold)| hold.step == HoldStep::Draining)
            .filter(|(_, hold)| hold.idle && self.now >= hold.retry_at)
            .map(|(server, _)| server.clone())
            .collect();
        for server in ready {
            self.write_release(&server);
        }
    }

    fn begin_releases(&mut self) {
        let stopping = self.phase == NodePhase::Stopping;
        // A grant that cannot be given to another node is better kept.
        if !stopping && !self.reaches_platform() {
            return;
        }
        let limit = if stopping { STOP_RELEASES } else { self.options.grant.releases };
        let mut leaving = self.holds.values().filter(|hold| hold.is_leaving()).count();
        let before = self.now - self.options.grant.settle;
        for (server, hold) in &mut self.holds {
            if leaving >= limit {
                return;
            }
            let wanted = stopping || self.assignment.has_left(server, &self.options.node, before);
            if hold.is_leaving() || !wanted || self.now < hold.retry_at {
                continue;
            }
            hold.step = HoldStep::Draining;
            hold.idle = false;
            leaving += 1;
            self.outbox.push(ControlEffect::GrantReleasing { server: server.clone() });
        }
    }

    fn write_release(&mut self, server: &ServerName) {
        let Some(hold) = self.holds.get_mut(server) else { return };
        hold.step = HoldStep::Releasing;
        let condition = WriteCondition::At(hold.version);
        let record = self.release_record(server);
        let purpose = Purpose::GrantRelease(Box::new(record.clone()));
        self.put(purpose, ObjectKind::Grant, server.as_str(), condition, &record);
    }

    fn release_record(&self, server: &ServerName) -> GrantRecord {
        let config = self.spread.config();
        let entry = config.and_then(|config| {
            let key = config.topology.find_server(server.as_str())?;
            Some(config.topology.server(key))
        });
        GrantRecord {
            server: server.clone(),
            holder: self.options.node.clone(),
            incarnation: self.lease.incarnation,
            epoch: self.holds.get(server).map_or(0, Hold::epoch),
            slots: entry.map_or(0, |entry| entry.slots),
            connections: entry.map_or(0, |entry| entry.connections),
            state: GrantMark::Released,
        }
    }

    pub(super) fn take_grant_release(&mut self, record: &GrantRecord, outcome: WriteOutcome) {
        let server = &record.server;
        let Some(hold) = self.holds.get_mut(server) else { return };
        if hold.epoch != record.epoch || hold.step != HoldStep::Releasing {
            return;
        }
        match outcome {
            WriteOutcome::Written(version) => {
                let notice = notice_of(record, version);
                self.drop_hold(server);
                self.merge_grant(notice.clone());
                self.push_grant(notice);
            }
            WriteOutcome::Failed => self.retry_release(server),
            WriteOutcome::Conflict | WriteOutcome::Unknown => {
                hold.release_lost = true;
                self.get(Purpose::HoldRead(server.clone()), ObjectKind::Grant, server.as_str());
            }
        }
    }

    /// Keeps a grant whose release was never sent, unless the node is stopping.
    ///
    /// The grant is reported as dropped and taken anew, because what used the
    /// server has shut down for the release.
    fn retry_release(&mut self, server: &ServerName) {
        let stopping = self.phase == NodePhase::Stopping;
        let Some(hold) = self.holds.get_mut(server) else { return };
        hold.retry_at = self.now + self.options.grant.retry;
        if stopping || hold.release_lost {
            hold.step = HoldStep::Draining;
            return;
        }
        hold.step = HoldStep::Held;
        let epoch = hold.epoch;
        self.outbox.push(ControlEffect::GrantDropped { server: server.clone() });
        self.outbox.push(ControlEffect::GrantTaken { server: server.clone(), epoch });
    }

    /// Takes in the reading that settles a release.
    pub(super) fn take_hold_read(&mut self, server: &ServerName, reply: Option<ObjectReply>) {
        let Some(hold) = self.holds.get_mut(server) else { return };
        hold.step = HoldStep::Draining;
        hold.retry_at = self.now + self.options.grant.retry;
        let Some(ObjectReply::Found(object)) = reply else { return };
        let moved = object.version > hold.version;
        if moved {
            self.drop_hold(server);
            self.merge_grant_object(&object);
        }
    }

    fn drop_hold(&mut self, server: &ServerName) {
        if self.holds.shift_remove(server).is_some() {
            self.routes_changed = true;
            self.outbox.push(ControlEffect::GrantDropped { server: server.clone() });
        }
    }

    pub(super) fn drop_all_holds(&mut self) {
        let servers: Vec<ServerName> = self.holds.keys().cloned().collect();
        for server in servers {
            self.drop_hold(&server);
        }
    }

    /// Takes in a notice about a grant of any zone.
    pub(super) fn merge_grant(&mut self, notice: GrantNotice) {
        let server = notice.server.clone();
        let version = ObjectVersion(notice.version);
        if !self.grants.merge(self.now, notice) {
            return;
        }
        self.routes_changed = true;
        // Somebody proved that this node's incarnation had ended.
        let lost = self
            .holds
            .get(&server)
            .is_some_and(|hold| version > hold.version && hold.step != HoldStep::Releasing);
        if lost {
            self.drop_hold(&server);
        }
    }

    pub(super) fn merge_grant_object(&mut self, object: &carobstep_store::StoredObject) {
        match read_grant(object) {
            Ok(notice) => self.merge_grant(notice),
            Err(error) => self.reject(format!("grant/{}", object.name), &error),
        }
    }
}
