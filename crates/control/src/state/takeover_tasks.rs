//! Takeovers of other nodes' grants.
//!
//! A takeover proves that one incarnation of a node no longer dispatches, by
//! the protocol of [`LeaseTakeover`]. This module makes the calls and sends the
//! messages that the protocol requires.

use std::net::SocketAddr;

use carobstep_clock::BootTime;
use carobstep_config::NodeName;
use carobstep_store::{ObjectKind, ObjectReply, ObjectVersion, WriteCondition};
use carobstep_wire::{ControlMessage, LeaseClosedNotice};

use super::{
    ControlState, NodePhase,
    calls::{CallPurpose, WriteOutcome},
};
use crate::{
    record::{LeaseRecord, LeaseRecordState},
    takeover::{LeaseTakeover, LeaseView, TakeoverState, TakeoverStep},
};

/// A node and the incarnation that is being taken over.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) struct TakeoverKey {
    pub(super) node: NodeName,
    pub(super) incarnation: u64,
}

/// A takeover and the state of its calls.
#[derive(Debug)]
pub(super) struct TakeoverTask {
    takeover: LeaseTakeover<NodeName>,
    lease: Option<LeaseRecord>,
    /// Whether the previous step read the lease again.
    reread: bool,
    in_flight: bool,
    next_at: BootTime,
}

impl TakeoverTask {
    pub(super) fn is_proven(&self) -> bool {
        self.takeover.state() == TakeoverState::Proven
    }

    pub(super) const fn state(&self) -> TakeoverState {
        self.takeover.state()
    }

    /// Records a version of the lease that was read at `now`.
    fn observe(&mut self, now: BootTime, version: ObjectVersion, record: LeaseRecord) {
        let view = LeaseView {
            version,
            incarnation: record.incarnation,
            state: record.state,
            witnesses: record.witnesses.clone(),
        };
        self.takeover.observe(now, &view);
        self.lease = Some(record);
        self.next_at = now;
    }
}

impl ControlState {
    pub(super) fn advance_takeovers(&mut self) {
        if matches!(self.phase, NodePhase::Starting | NodePhase::Serving) {
            self.start_takeovers();
        }
        self.remove_stale_takeovers();
        let due = self
            .takeover_tasks
            .iter()
            .filter(|(_, task)| !task.in_flight && !task.is_proven() && self.now >= task.next_at);
        let due: Vec<TakeoverKey> = due.map(|(key, _)| key.clone()).collect();
        for key in due {
            self.step_takeover(&key);
        }
    }

    /// Starts a takeover of each suspect holder of a server that is assigned to
    /// this node.
    fn start_takeovers(&mut self) {
        for server in self.assignment.servers_of(&self.options.node) {
            let Some(notice) = self.grants.get(&server) else { continue };
            let Some(holder) = &notice.holder else { continue };
            let key = TakeoverKey { node: holder.clone(), incarnation: notice.incarnation };
            if *holder != self.options.node && self.is_suspect(&key) {
                self.start_takeover(key);
            }
        }
    }

    pub(super) fn start_takeover(&mut self, key: TakeoverKey) {
        if self.takeover_tasks.contains_key(&key) {
            return;
        }
        let takeover = LeaseTakeover::new(key.incarnation);
        let next_at = self.now;
        let task = TakeoverTask { takeover, lease: None, reread: false, in_flight: false, next_at };
        self.takeover_tasks.insert(key, task);
    }

    /// Whether an incarnation is suspected to have ended.
    ///
    /// This holds if the node has restarted, or if its heartbeat has not grown
    /// for the peer timeout.
    fn is_suspect(&self, key: &TakeoverKey) -> bool {
        let timeout = self.options.gossip.peer_timeout;
        let Some(peer) = self.peers.get(&key.node) else {
            return self.now >= self.started_at + timeout;
        };
        if peer.record.incarnation > key.incarnation {
            return true;
        }
        let last_heartbeat = peer.heartbeat_at.unwrap_or(self.started_at);
        self.now >= last_heartbeat + timeout
    }

    /// Removes takeovers whose node has recovered or holds no grant any more.
    fn remove_stale_takeovers(&mut self) {
        let mut stale = Vec::new();
        for (key, task) in &self.takeover_tasks {
            if key.node == self.options.node {
                continue;
            }
            let recovered = task.state() == TakeoverState::Watching && !self.is_suspect(key);
            let needed = self.grants.iter().any(|notice| {
                notice.holder.as_ref() == Some(&key.node) && notice.incarnation == key.incarnation
            });
            if recovered || !needed {
                stale.push(key.clone());
            }
        }
        for key in stale {
            self.takeover_tasks.swap_remove(&key);
        }
    }

    fn step_takeover(&mut self, key: &TakeoverKey) {
        let retry_at = self.now + self.options.grant.retry_interval;
        let peer = self.peers.get(&key.node);
        let restarted = peer.is_some_and(|peer| peer.record.incarnation > key.incarnation);
        let same_incarnation = peer.filter(|peer| peer.record.incarnation == key.incarnation);
        let reported = same_incarnation.map(|peer| peer.lease);
        let Some(task) = self.takeover_tasks.get_mut(key) else { return };
        task.next_at = retry_at;
        // The lease of a restarted node soon shows the new incarnation, which
        // proves that the previous one has ended.
        let reread = restarted && !task.reread;
        task.reread = reread;
        if task.lease.is_none() || reread {
            self.read_holder_lease(key);
            return;
        }
        if let Some((version, reported_at)) = reported {
            task.takeover.backdate(version, reported_at);
        }
        match task.takeover.step(self.now, &self.options.lease) {
            TakeoverStep::Wait(until) => {
                task.next_at = until.min(retry_at);
                self.sources.request_vm_list();
            }
            TakeoverStep::CloseLease(version) => self.close_lease(key, version),
            TakeoverStep::NotifyWitnesses(witnesses) => self.notify_witnesses(key, witnesses),
            TakeoverStep::MoveGrants => {}
        }
    }

    fn read_holder_lease(&mut self, key: &TakeoverKey) {
        let Some(task) = self.takeover_tasks.get_mut(key) else { return };
        task.in_flight = true;
        let purpose = CallPurpose::TakeoverRead(key.clone());
        self.get(purpose, ObjectKind::Lease, key.node.as_str());
    }

    /// Handles the read of a lease that is being taken over.
    ///
    /// A missing lease is no proof that the incarnation has ended, because its
    /// last witnesses are unknown.
    pub(super) fn on_takeover_read(&mut self, key: &TakeoverKey, reply: Option<ObjectReply>) {
        let Some(task) = self.takeover_tasks.get_mut(key) else { return };
        task.in_flight = false;
        let Some(ObjectReply::Found(object)) = reply else { return };
        match serde_json::from_value::<LeaseRecord>(object.value) {
            Ok(record) => task.observe(self.now, object.version, record),
            Err(error) => self.reject(format!("lease/{}", key.node), &error),
        }
    }

    fn close_lease(&mut self, key: &TakeoverKey, version: ObjectVersion) {
        let Some(task) = self.takeover_tasks.get_mut(key) else { return };
        let Some(lease) = &task.lease else { return };
        let record = LeaseRecord { state: LeaseRecordState::Closed, ..lease.clone() };
        task.in_flight = true;
        let purpose = CallPurpose::TakeoverClose(key.clone(), Box::new(record.clone()));
        let condition = WriteCondition::At(version);
        self.put(purpose, ObjectKind::Lease, key.node.as_str(), condition, &record);
    }

    pub(super) fn on_takeover_close(
        &mut self,
        key: &TakeoverKey,
        record: LeaseRecord,
        outcome: WriteOutcome,
    ) {
        let Some(task) = self.takeover_tasks.get_mut(key) else { return };
        task.in_flight = false;
        match outcome {
            WriteOutcome::Written(version) => {
                task.takeover.on_closed(version);
                task.lease = Some(record);
                task.next_at = self.now;
            }
            WriteOutcome::Failed => {}
            WriteOutcome::Conflict | WriteOutcome::Unknown => self.read_holder_lease(key),
        }
    }

    fn notify_witnesses(&mut self, key: &TakeoverKey, witnesses: Vec<NodeName>) {
        self.sources.request_vm_list();
        let notice = LeaseClosedNotice { node: key.node.clone(), incarnation: key.incarnation };
        for witness in witnesses {
            if witness == self.options.node && key.node != self.options.node {
                self.witness.record_closed(key.node.clone(), key.incarnation);
                self.on_witness_notified(key, witness);
                continue;
            }
            let Some(to) = self.witness_address(key, &witness) else { continue };
            let purpose = CallPurpose::TakeoverNotify(key.clone(), witness);
            self.send(purpose, to, ControlMessage::Close(notice.clone()));
        }
    }

    /// Returns the peer address of a witness.
    ///
    /// The holder itself is notified at the address recorded in its lease.
    fn witness_address(&self, key: &TakeoverKey, witness: &NodeName) -> Option<SocketAddr> {
        if *witness == key.node {
            return self.takeover_tasks.get(key)?.lease.as_ref().map(|lease| lease.peers);
        }
        self.peers.get(witness).map(|peer| peer.record.address)
    }

    pub(super) fn on_witness_notified(&mut self, key: &TakeoverKey, witness: NodeName) {
        if let Some(task) = self.takeover_tasks.get_mut(key) {
            task.takeover.on_witness_notified(self.now, witness);
            if task.state() == TakeoverState::Fencing {
                task.next_at = self.now;
            }
        }
    }

    /// Handles the addresses of the entry VMs in the platform's VM list.
    ///
    /// The VM of a holder counts as removed only if an earlier list has shown it, to
    /// the holder or to this node, and if its heartbeat has not grown for the
    /// peer timeout. An empty list is ignored.
    pub(super) fn on_listed_nodes(&mut self, addresses: &[SocketAddr]) {
        let timeout = self.options.gossip.peer_timeout;
        for (key, task) in &mut self.takeover_tasks {
            let Some(lease) = &task.lease else { continue };
            let listed = addresses.contains(&lease.peers);
            let peer = self.peers.get(&key.node);
            let alive = peer.is_some_and(|peer| {
                peer.record.incarnation == key.incarnation && peer.is_fresh(self.now, timeout)
            });
            let was_listed = lease.listed || self.sources.has_listed_node(lease.peers);
            let removed = was_listed && !listed && !alive && !addresses.is_empty();
            task.takeover.set_vm_removed(self.now, removed);
            if removed {
                task.next_at = self.now;
            }
        }
    }
}
