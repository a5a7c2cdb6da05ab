//! Takeovers: proving that other nodes dispatch no more.

use std::net::SocketAddr;

use carobstep_clock::BootTime;
use carobstep_config::NodeName;
use carobstep_store::{ObjectKind, ObjectReply, ObjectVersion, WriteCondition};
use carobstep_wire::{CloseNotice, ControlMessage};

use super::{
    ControlState, NodePhase,
    calls::{Purpose, WriteOutcome},
};
use crate::{
    record::{LeaseMark, LeaseRecord},
    takeover::{LeaseTakeover, LeaseView, TakeoverState, TakeoverStep},
};

/// One incarnation of another node.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) struct PursuitKey {
    pub(super) node: NodeName,
    pub(super) incarnation: u64,
}

/// A takeover and the calls about it.
#[derive(Debug)]
pub(super) struct Pursuit {
    takeover: LeaseTakeover<NodeName>,
    lease: Option<LeaseRecord>,
    /// Whether the lease was read again in the step before.
    reread: bool,
    busy: bool,
    next_at: BootTime,
}

impl Pursuit {
    pub(super) fn is_proven(&self) -> bool {
        self.takeover.state() == TakeoverState::Proven
    }

    pub(super) const fn state(&self) -> TakeoverState {
        self.takeover.state()
    }

    /// Takes in a reading of the lease.
    fn observe(&mut self, now: BootTime, version: ObjectVersion, record: LeaseRecord) {
        let view = LeaseView {
            version,
            incarnation: record.incarnation,
            mark: record.state,
            witnesses: record.witnesses.clone(),
        };
        self.takeover.observe(now, &view);
        self.lease = Some(record);
        self.next_at = now;
    }
}

impl ControlState {
    pub(super) fn advance_pursuits(&mut self) {
        if matches!(self.phase, NodePhase::Starting | NodePhase::Serving) {
            self.start_pursuits();
        }
        self.drop_pursuits();
        let due = self.pursuits.iter().filter(|(_, pursuit)| {
            !pursuit.busy && !pursuit.is_proven() && self.now >= pursuit.next_at
        });
        let due: Vec<PursuitKey> = due.map(|(key, _)| key.clone()).collect();
        for key in due {
            self.step_pursuit(&key);
        }
    }

    /// Starts a takeover of each dead holder of a server assigned to this node.
    fn start_pursuits(&mut self) {
        for server in self.assignment.servers_of(&self.options.node) {
            let Some(notice) = self.grants.get(&server) else { continue };
            let Some(holder) = &notice.holder else { continue };
            let key = PursuitKey { node: holder.clone(), incarnation: notice.incarnation };
            if *holder != self.options.node && self.is_suspect(&key) {
                self.start_pursuit(key);
            }
        }
    }

    pub(super) fn start_pursuit(&mut self, key: PursuitKey) {
        if self.pursuits.contains_key(&key) {
            return;
        }
        let takeover = LeaseTakeover::new(key.incarnation);
        let next_at = self.now;
        let pursuit = Pursuit { takeover, lease: None, reread: false, busy: false, next_at };
        self.pursuits.insert(key, pursuit);
    }

    /// Whether an incarnation seems to have ended.
    fn is_suspect(&self, key: &PursuitKey) -> bool {
        let timeout = self.options.gossip.peer_timeout;
        let Some(peer) = self.peers.get(&key.node) else {
            return self.now >= self.started_at + timeout;
        };
        if peer.record.incarnation > key.incarnation {
            return true;
        }
        let heard = peer.fresh_at.unwrap_or(self.started_at);
        self.now >= heard + timeout
    }

    /// Forgets takeovers that are needed no more.
    fn drop_pursuits(&mut self) {
        let mut stale = Vec::new();
        for (key, pursuit) in &self.pursuits {
            if key.node == self.options.node {
                continue;
            }
            let recovered = pursuit.state() == TakeoverState::Watching && !self.is_suspect(key);
            let needed = self.grants.iter().any(|notice| {
                notice.holder.as_ref() == Some(&key.node) && notice.incarnation == key.incarnation
            });
            if recovered || !needed {
                stale.push(key.clone());
            }
        }
        for key in stale {
            self.pursuits.swap_remove(&key);
        }
    }

    fn step_pursuit(&mut self, key: &PursuitKey) {
        let retry_at = self.now + self.options.grant.retry;
        let peer = self.peers.get(&key.node);
        let restarted = peer.is_some_and(|peer| peer.record.incarnation > key.incarnation);
        let heard = peer.filter(|peer| peer.record.incarnation == key.incarnation);
        let reported = heard.map(|peer| peer.lease);
        let Some(pursuit) = self.pursuits.get_mut(key) else { return };
        pursuit.next_at = retry_at;
        // The lease of a node that started again is about to show it.
        let reread = restarted && !pursuit.reread;
        pursuit.reread = reread;
        if pursuit.lease.is_none() || reread {
            self.read_pursued(key);
            return;
        }
        if let Some((version, heard_at)) = reported {
            pursuit.takeover.seen_earlier(version, heard_at);
        }
        match pursuit.takeover.step(self.now, &self.options.lease) {
            TakeoverStep::Wait(until) => {
                pursuit.next_at = until.min(retry_at);
                self.sources.want_vms();
            }
            TakeoverStep::Close(version) => self.close_lease(key, version),
            TakeoverStep::Tell(witnesses) => self.tell_witnesses(key, witnesses),
            TakeoverStep::Move => {}
        }
    }

    fn read_pursued(&mut self, key: &PursuitKey) {
        let Some(pursuit) = self.pursuits.get_mut(key) else { return };
        pursuit.busy = true;
        let purpose = Purpose::PursuitRead(key.clone());
        self.get(purpose, ObjectKind::Lease, key.node.as_str());
    }

    /// Takes in a reading of a pursued lease.
    ///
    /// A missing lease proves nothing: its last witnesses are unknown.
    pub(super) fn take_pursuit_read(&mut self, key: &PursuitKey, reply: Option<ObjectReply>) {
        let Some(pursuit) = self.pursuits.get_mut(key) else { return };
        pursuit.busy = false;
        let Some(ObjectReply::Found(object)) = reply else { return };
        match serde_json::from_value::<LeaseRecord>(object.value) {
            Ok(record) => pursuit.observe(self.now, object.version, record),
            Err(error) => self.reject(format!("lease/{}", key.node), &error),
        }
    }

    fn close_lease(&mut self, key: &PursuitKey, version: ObjectVersion) {
        let Some(pursuit) = self.pursuits.get_mut(key) else { return };
        let Some(lease) = &pursuit.lease else { return };
        let record = LeaseRecord { state: LeaseMark::Closed, ..lease.clone() };
        pursuit.busy = true;
        let purpose = Purpose::PursuitClose(key.clone(), Box::new(record.clone()));
        let condition = WriteCondition::At(version);
        self.put(purpose, ObjectKind::Lease, key.node.as_str(), condition, &record);
    }

    pub(super) fn take_pursuit_close(
        &mut self,
        key: &PursuitKey,
        record: LeaseRecord,
        outcome: WriteOutcome,
    ) {
        let Some(pursuit) = self.pursuits.get_mut(key) else { return };
        pursuit.busy = false;
        match outcome {
            WriteOutcome::Written(version) => {
                pursuit.takeover.closed(version);
                pursuit.lease = Some(record);
                pursuit.next_at = self.now;
            }
            WriteOutcome::Failed => {}
            WriteOutcome::Conflict | WriteOutcome::Unknown => self.read_pursued(key),
        }
    }

    fn tell_witnesses(&mut self, key: &PursuitKey, witnesses: Vec<NodeName>) {
        self.sources.want_vms();
        let notice = CloseNotice { node: key.node.clone(), incarnation: key.incarnation };
        for witness in witnesses {
            if witness == self.options.node && key.node != self.options.node {
                self.witness.close(key.node.clone(), key.incarnation);
                self.take_told(key, witness);
                continue;
            }
            let Some(to) = self.witness_address(key, &witness) else { continue };
            let purpose = Purpose::PursuitTell(key.clone(), witness);
            self.send(purpose, to, ControlMessage::Close(notice.clone()));
        }
    }

    /// The pursued holder is told at the address in its lease.
    fn witness_address(&self, key: &PursuitKey, witness: &NodeName) -> Option<SocketAddr> {
        if *witness == key.node {
            return self.pursuits.get(key)?.lease.as_ref().map(|lease| lease.peers);
        }
        self.peers.get(witness).map(|peer| peer.record.address)
    }

    pub(super) fn take_told(&mut self, key: &PursuitKey, witness: NodeName) {
        if let Some(pursuit) = self.pursuits.get_mut(key) {
            pursuit.takeover.told(self.now, witness);
            if pursuit.state() == TakeoverState::Fencing {
                pursuit.next_at = self.now;
            }
        }
    }

    /// Takes in the addresses of the entry VMs that the platform lists.
    ///
    /// Only a holder that the list has shown before, to itself or to this node,
    /// can be gone from it, and one whose heartbeat was heard lately is not.
    pub(super) fn take_listed_nodes(&mut self, addresses: &[SocketAddr]) {
        let timeout = self.options.gossip.peer_timeout;
        for (key, pursuit) in &mut self.pursuits {
            let Some(lease) = &pursuit.lease else { continue };
            let listed = addresses.contains(&lease.peers);
            let peer = self.peers.get(&key.node);
            let heard = peer.is_some_and(|peer| {
                peer.record.incarnation == key.incarnation && peer.is_fresh(self.now, timeout)
            });
            let shown = lease.listed || self.sources.has_shown(lease.peers);
            let gone = shown && !listed && !heard && !addresses.is_empty();
            pursuit.takeover.listed(self.now, gone);
            if gone {
                pursuit.next_at = self.now;
            }
        }
    }
}
