//! This node's own lease: opening, renewal, vouch requests and release.

use carobstep_clock::BootTime;
use carobstep_config::NodeName;
use carobstep_store::{ObjectKind, ObjectReply, ObjectVersion, StoredObject, WriteCondition};
use carobstep_wire::{ControlMessage, VouchRequest};

use super::{
    ControlState, NodePhase,
    calls::{CallPurpose, WriteOutcome},
    takeover_tasks::TakeoverKey,
};
use crate::{
    event::ControlEffect,
    lease::{LeaseGuard, LeaseState},
    options::LeaseTiming,
    record::{LeaseRecord, LeaseRecordState},
};

/// Number of vouch requests that each witness receives within one fence time.
const VOUCH_ROUNDS: u32 = 2;

/// This node's lease and the state of its calls.
#[derive(Debug)]
pub(super) struct OwnLease {
    pub(super) guard: LeaseGuard<NodeName>,
    pub(super) incarnation: u64,
    /// When the lease is next read or written.
    pub(super) next_at: BootTime,
    /// When the first write of this incarnation was confirmed, `None` before.
    pub(super) opened_at: Option<BootTime>,
    /// Whether the VM list has shown this node.
    pub(super) listed: bool,
    /// Version of the lease object after the last confirmed write.
    pub(super) version: ObjectVersion,
    /// The record of the last write, until the write is confirmed.
    last_written: Option<LeaseRecord>,
    /// The last record that the platform is known to have stored.
    last_confirmed: Option<LeaseRecord>,
    /// When the last write was sent.
    sent_at: BootTime,
    /// The incarnation of an earlier process with this name at another address,
    /// which must be proven to have ended before this lease is opened.
    predecessor: Option<TakeoverKey>,
    /// Number of the last confirmed renewal of this incarnation.
    renewal: u64,
    /// Condition of the next write, `None` if the lease must be read first.
    condition: Option<WriteCondition>,
    in_flight: bool,
    next_vouch_at: BootTime,
    vouch_round: u64,
    /// When the control state last handled an event.
    pub(super) ran_at: BootTime,
    /// When the process ran again after a pause, until a renewal or another witness
    /// confirms the lease.
    pub(super) resumed_at: Option<BootTime>,
}

impl OwnLease {
    pub(super) fn new(node: NodeName, incarnation: u64, now: BootTime) -> Self {
        Self {
            guard: LeaseGuard::new(node),
            incarnation: incarnation.max(1),
            next_at: now,
            opened_at: None,
            listed: false,
            version: ObjectVersion(0),
            last_written: None,
            last_confirmed: None,
            sent_at: BootTime::ZERO,
            predecessor: None,
            renewal: 0,
            condition: None,
            in_flight: false,
            next_vouch_at: now,
            vouch_round: 0,
            ran_at: now,
            resumed_at: None,
        }
    }

    /// Whether the process was paused, or held up for as long, until `now`.
    pub(super) fn was_paused(&self, now: BootTime, timing: &LeaseTiming) -> bool {
        now >= self.ran_at + timing.fence
    }

    /// Records that the lease was confirmed by a call that was sent at `sent_at`.
    fn end_doubt(&mut self, sent_at: BootTime) {
        if self.resumed_at.is_some_and(|resumed_at| sent_at >= resumed_at) {
            self.resumed_at = None;
        }
    }

    fn record_renewal(&mut self, now: BootTime, version: ObjectVersion) {
        self.renewal += 1;
        self.version = version;
        self.condition = Some(WriteCondition::At(version));
        self.opened_at.get_or_insert(now);
    }
}

impl ControlState {
    /// Whether another node may have taken over this node's grants while the process was
    /// paused. In a zone of two the node itself is half of its witnesses, so that its
    /// own word does not suffice then.
    pub(super) fn is_lease_doubtful(&self, now: BootTime) -> bool {
        let timing = &self.options.lease;
        let is_past_term = now >= self.lease.guard.term_end(timing);
        is_past_term && (self.lease.resumed_at.is_some() || self.lease.was_paused(now, timing))
    }

    pub(super) fn advance_lease(&mut self) {
        self.request_vouches();
        if self.lease.in_flight || self.now < self.lease.next_at {
            return;
        }
        if self.lease.guard.state() == LeaseState::Released || !self.may_open() {
            return;
        }
        self.lease.in_flight = true;
        match self.lease.condition {
            Some(condition) => self.write_lease(condition),
            None => {
                let node = self.options.node.clone();
                self.get(CallPurpose::LeaseRead, ObjectKind::Lease, node.as_str());
            }
        }
    }

    /// Whether no earlier process with the same name can still dispatch.
    fn may_open(&mut self) -> bool {
        let Some(key) = &self.lease.predecessor else { return true };
        let ended = self.takeover_tasks.get(key).is_some_and(super::TakeoverTask::is_proven);
        if ended {
            self.lease.predecessor = None;
            self.lease.condition = None;
        }
        ended
    }

    fn write_lease(&mut self, condition: WriteCondition) {
        let leaving = self.phase == NodePhase::Leaving;
        let live: Vec<NodeName> = self.live_zone_nodes();
        let witnesses = self.lease.guard.begin_renewal(self.now, &live);
        let record = LeaseRecord {
            node: self.options.node.clone(),
            zone: self.options.zone.clone(),
            region: self.options.region.clone(),
            incarnation: self.lease.incarnation,
            term_ms: u64::try_from(self.options.lease.term.as_millis()).unwrap_or(u64::MAX),
            renewal: self.lease.renewal + 1,
            witnesses,
            peers: self.options.peer_address,
            operators: self.options.operators_address,
            listed: self.lease.listed,
            state: if leaving { LeaseRecordState::Released } else { LeaseRecordState::Open },
        };
        self.lease.last_written = Some(record.clone());
        self.lease.sent_at = self.now;
        let name = self.options.node.clone();
        let purpose =
            CallPurpose::LeaseWrite { incarnation: self.lease.incarnation, state: record.state };
        self.put(purpose, ObjectKind::Lease, name.as_str(), condition, &record);
        self.lease.next_at = self.now + self.options.lease.renew;
    }

    pub(super) fn on_lease_write(
        &mut self,
        incarnation: u64,
        state: LeaseRecordState,
        outcome: WriteOutcome,
    ) {
        self.lease.in_flight = false;
        if incarnation != self.lease.incarnation {
            self.lease.condition = None;
            return;
        }
        match outcome {
            WriteOutcome::Written(version) if state == LeaseRecordState::Released => {
                self.lease.version = version;
                self.lease.guard.release();
            }
            WriteOutcome::Written(version) => {
                self.lease.guard.confirm();
                self.lease.end_doubt(self.lease.sent_at);
                self.lease.last_confirmed = self.lease.last_written.take();
                self.lease.record_renewal(self.now, version);
                if self.phase == NodePhase::Leaving {
                    self.lease.next_at = self.now;
                }
            }
            WriteOutcome::Failed => {
                self.lease.guard.fail_renewal();
                self.lease.next_at = self.renewal_retry_at();
            }
            WriteOutcome::Conflict => {
                self.lease.condition = None;
                self.lease.next_at = self.now;
            }
            WriteOutcome::Unknown => {
                self.lease.condition = None;
                self.lease.next_at = self.renewal_retry_at();
            }
        }
    }

    pub(super) fn on_lease_read(&mut self, reply: Option<ObjectReply>) {
        self.lease.in_flight = false;
        match reply {
            Some(ObjectReply::Found(object)) => self.on_own_record(&object),
            Some(ObjectReply::Missing) => self.on_lease_missing(),
            _ => self.lease.next_at = self.renewal_retry_at(),
        }
    }

    fn on_own_record(&mut self, object: &StoredObject) {
        self.lease.next_at = self.renewal_retry_at();
        let record = match serde_json::from_value::<LeaseRecord>(object.value.clone()) {
            Ok(record) => record,
            Err(error) => {
                self.reject(format!("lease/{}", object.name), &error);
                return;
            }
        };
        // Ignore a stale read, older than the last confirmed write.
        if object.version < self.lease.version {
            return;
        }
        self.lease.next_at = self.now;
        if record.incarnation == self.lease.incarnation && self.lease.is_own(&record) {
            self.resolve_own_record(&record, object.version);
        } else if self.lease.opened_at.is_none() {
            self.replace_predecessor(&record, object.version);
        } else if record.incarnation > self.lease.incarnation {
            self.stop_as_superseded();
        } else {
            self.lease.next_at = self.renewal_retry_at();
        }
    }

    fn resolve_own_record(&mut self, record: &LeaseRecord, version: ObjectVersion) {
        match record.state {
            LeaseRecordState::Open => {
                if record.renewal == self.lease.renewal + 1
                    && self.lease.guard.has_pending_renewal()
                {
                    self.lease.guard.confirm_read_back();
                    self.lease.last_confirmed = Some(record.clone());
                    self.lease.record_renewal(self.now, version);
                }
                self.lease.version = version;
                self.lease.condition = Some(WriteCondition::At(version));
            }
            LeaseRecordState::Closed => self.reopen_lease(Some(version)),
            LeaseRecordState::Released => self.lease.guard.release(),
        }
    }

    /// Prepares to replace an earlier process that used the name of this node, with
    /// a higher incarnation.
    ///
    /// An earlier process at the same address has exited, because this process
    /// has bound the address. For one at another address, a takeover first has to
    /// prove that its incarnation has ended.
    fn replace_predecessor(&mut self, record: &LeaseRecord, version: ObjectVersion) {
        self.lease.incarnation = self.lease.incarnation.max(record.incarnation + 1);
        self.lease.condition = Some(WriteCondition::At(version));
        if record.peers == self.options.peer_address || record.state == LeaseRecordState::Released {
            return;
        }
        let key = TakeoverKey { node: self.options.node.clone(), incarnation: record.incarnation };
        if self.takeover_tasks.get(&key).is_some_and(super::TakeoverTask::is_proven) {
            return;
        }
        self.start_takeover(key.clone());
        self.lease.predecessor = Some(key);
    }

    fn on_lease_missing(&mut self) {
        self.lease.next_at = self.now;
        if self.lease.opened_at.is_some() {
            self.reopen_lease(None);
        }
        self.lease.condition = Some(WriteCondition::Absent);
    }

    /// Drops all grants of the closed incarnation and starts the next one.
    ///
    /// `version` is the version of the closed lease object, if known.
    pub(super) fn reopen_lease(&mut self, version: Option<ObjectVersion>) {
        self.lease.guard.close();
        self.drop_all_grants();
        self.witness.record_closed(self.options.node.clone(), self.lease.incarnation);
        let node = self.options.node.clone();
        let mut next = OwnLease::new(node, self.lease.incarnation + 1, self.now);
        next.listed = self.lease.listed;
        next.version = version.unwrap_or_default();
        next.condition = version.map(WriteCondition::At);
        next.in_flight = self.lease.in_flight;
        self.lease = next;
        self.routes_changed = true;
    }

    /// Stops this node because a newer process uses its name.
    fn stop_as_superseded(&mut self) {
        self.lease.guard.close();
        self.drop_all_grants();
        let name = format!("lease/{}", self.options.node);
        let message = "a newer process uses the name of this node".to_owned();
        self.outbox.push(ControlEffect::Rejected { object: name, message });
        self.begin_stop();
        self.stop_deadline = self.now;
    }

    /// Returns the time at which a failed renewal is retried.
    ///
    /// Past the term the lease depends on its witnesses rather than on a quick
    /// renewal, and retries keep the regular renewal interval. With the shorter
    /// retry interval, the whole fleet would write at a multiple of the regular
    /// rate when the platform becomes available again.
    fn renewal_retry_at(&self) -> BootTime {
        let timing = &self.options.lease;
        let expired =
            self.lease.opened_at.is_some() && self.now >= self.lease.guard.term_end(timing);
        let delay = if expired { timing.renew } else { self.options.grant.retry_interval };
        self.now + delay
    }

    /// Whether the last confirmed renewal was sent within two renewal intervals.
    pub(super) fn has_recent_renewal(&self) -> bool {
        let timing = &self.options.lease;
        let renewed_at = self.lease.guard.term_end(timing) - timing.term;
        self.lease.guard.state() == LeaseState::Open && self.now < renewed_at + 2 * timing.renew
    }

    /// Returns whether the stored lease records what a takeover of this node would
    /// need: all live nodes of the zone as witnesses, and whether the VM list has
    /// shown this node.
    ///
    /// If it does not, brings the next renewal forward. No other node could
    /// take over from a node that dies with a lease whose only witness is the
    /// node itself.
    pub(super) fn ensure_membership_recorded(&mut self) -> bool {
        let live = self.live_zone_nodes();
        let current = self.lease.last_confirmed.as_ref().is_some_and(|record| {
            record.listed == self.lease.listed
                && live.iter().all(|node| record.witnesses.contains(node))
        });
        if !current {
            let earliest = self.lease.sent_at + self.options.grant.retry_interval;
            self.lease.next_at = self.lease.next_at.min(earliest.max(self.now));
        }
        current
    }

    /// Asks the witnesses to vouch for the lease when renewals fail.
    ///
    /// Starts one fence time before the term ends.
    fn request_vouches(&mut self) {
        let timing = self.options.lease;
        let due = self.lease.guard.term_end(&timing) - timing.fence;
        let open = self.lease.guard.state() == LeaseState::Open;
        if !open || self.now < due || self.now < self.lease.next_vouch_at {
            return;
        }
        self.lease.next_vouch_at = self.now + timing.fence / VOUCH_ROUNDS;
        self.lease.vouch_round += 1;
        let request = VouchRequest {
            node: self.options.node.clone(),
            incarnation: self.lease.incarnation,
            round: self.lease.vouch_round,
        };
        let witnesses: Vec<NodeName> = self.lease.guard.witnesses().cloned().collect();
        for witness in witnesses {
            let Some(peer) = self.peers.get(&witness) else { continue };
            let to = peer.record.address;
            let incarnation = self.lease.incarnation;
            let purpose = CallPurpose::Vouch { witness, incarnation, sent_at: self.now };
            self.send(purpose, to, ControlMessage::Vouch(request.clone()));
        }
    }

    pub(super) fn on_vouch(&mut self, witness: NodeName, incarnation: u64, sent_at: BootTime) {
        if incarnation == self.lease.incarnation {
            self.lease.guard.record_vouch(witness, sent_at);
            self.lease.end_doubt(sent_at);
        }
    }

    /// Handles the notice that a lease was closed.
    ///
    /// If it is this node's own lease, the next incarnation starts.
    pub(super) fn on_close_notice(&mut self, node: NodeName, incarnation: u64) {
        let own = node == self.options.node && incarnation == self.lease.incarnation;
        self.witness.record_closed(node, incarnation);
        if own && self.lease.guard.state() == LeaseState::Open {
            self.reopen_lease(None);
        }
    }
}

impl OwnLease {
    /// Whether a record with the current incarnation was written by this process.
    ///
    /// Before the first write of this process, such a record was written by an
    /// earlier process.
    fn is_own(&self, record: &LeaseRecord) -> bool {
        self.opened_at.is_some() || (self.guard.has_pending_renewal() && record.renewal == 1)
    }
}
