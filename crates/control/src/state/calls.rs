//! Calls under way and what their answers are for.

use std::net::SocketAddr;

use carobstep_clock::BootTime;
use carobstep_config::{NodeName, ServerName};
use carobstep_store::{
    ObjectCall, ObjectKind, ObjectReply, StoreError, StoreErrorKind, WriteCondition,
};
use carobstep_wire::{ControlMessage, ControlReply};
use indexmap::IndexMap;
use serde::Serialize;

use super::{ControlState, pursuit::PursuitKey};
use crate::{
    event::{CallKey, ControlEffect, PeerFailure},
    record::{GrantRecord, LeaseMark, LeaseRecord},
};

/// Calls under way.
#[derive(Debug, Default)]
pub(super) struct CallTable {
    next: u64,
    purposes: IndexMap<CallKey, Purpose>,
}

/// What the answer of a call is for.
#[derive(Clone, Debug)]
pub(super) enum Purpose {
    LeaseRead,
    LeaseWrite { incarnation: u64, mark: LeaseMark },
    LeaseList,
    LeaseLookup,
    KindList(ObjectKind),
    StatusRead,
    StatusWrite,
    VmList,
    GrantWrite(Box<GrantRecord>),
    GrantRead(ServerName),
    GrantRelease(Box<GrantRecord>),
    HoldRead(ServerName),
    PursuitRead(PursuitKey),
    PursuitClose(PursuitKey, Box<LeaseRecord>),
    PursuitTell(PursuitKey, NodeName),
    Vouch { witness: NodeName, incarnation: u64, sent_at: BootTime },
    Gossip,
    Fetch,
    News,
}

/// What became of a conditional write.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum WriteOutcome {
    /// It took effect and gave the object this version.
    Written(carobstep_store::ObjectVersion),
    /// It had no effect and never will.
    Failed,
    /// The condition failed: the object must be read.
    Conflict,
    /// The effect is unknown: the object must be read.
    Unknown,
}

impl WriteOutcome {
    pub(super) fn of(result: &Result<ObjectReply, StoreError>) -> Self {
        match result {
            Ok(ObjectReply::Written(version)) => Self::Written(*version),
            Ok(ObjectReply::ConditionFailed) => Self::Conflict,
            Ok(_) => Self::Unknown,
            Err(error) => match error.kind() {
                StoreErrorKind::NotSent
                | StoreErrorKind::Rejected
                | StoreErrorKind::VersionGone => Self::Failed,
                StoreErrorKind::AnswerLost => Self::Unknown,
            },
        }
    }
}

impl ControlState {
    fn open_call(&mut self, purpose: Purpose) -> CallKey {
        self.calls.next += 1;
        let call = CallKey(self.calls.next);
        self.calls.purposes.insert(call, purpose);
        call
    }

    pub(super) fn call(&mut self, purpose: Purpose, object: ObjectCall) {
        let call = self.open_call(purpose);
        self.outbox.push(ControlEffect::Object { call, object });
    }

    pub(super) fn get(&mut self, purpose: Purpose, kind: ObjectKind, name: &str) {
        self.call(purpose, ObjectCall::Get { kind, name: name.to_owned() });
    }

    pub(super) fn put(
        &mut self,
        purpose: Purpose,
        kind: ObjectKind,
        name: &str,
        condition: WriteCondition,
        record: &impl Serialize,
    ) {
        let value = serde_json::to_value(record).unwrap_or_default();
        self.call(purpose, ObjectCall::Put { kind, name: name.to_owned(), condition, value });
    }

    pub(super) fn send(&mut self, purpose: Purpose, to: SocketAddr, message: ControlMessage) {
        let call = self.open_call(purpose);
        self.outbox.push(ControlEffect::Send { call, to, message });
    }

    /// Takes in the answer of a peer.
    pub(super) fn take_reply(&mut self, call: CallKey, result: Result<ControlReply, PeerFailure>) {
        let Some(purpose) = self.calls.purposes.swap_remove(&call) else { return };
        match purpose {
            Purpose::PursuitTell(key, witness) if result == Ok(ControlReply::Done) => {
                self.take_told(&key, witness);
            }
            Purpose::Vouch { witness, incarnation, sent_at } => {
                if let Ok(ControlReply::Vouch(reply)) = result
                    && reply.vouched
                {
                    self.take_vouch(witness, incarnation, sent_at);
                }
            }
            Purpose::Gossip => {
                if let Ok(ControlReply::Gossip(digest)) = result {
                    self.take_digest(digest);
                }
            }
            Purpose::Fetch => self.take_fetched(result.ok()),
            _ => {}
        }
    }

    /// Takes in the answer of the platform.
    pub(super) fn take_object(&mut self, call: CallKey, result: Result<ObjectReply, StoreError>) {
        let Some(purpose) = self.calls.purposes.swap_remove(&call) else { return };
        match purpose {
            Purpose::LeaseRead => self.take_lease_read(result.ok()),
            Purpose::LeaseWrite { incarnation, mark } => {
                self.take_lease_write(incarnation, mark, WriteOutcome::of(&result));
            }
            Purpose::LeaseList => self.take_lease_list(result.ok()),
            Purpose::LeaseLookup => self.take_lease_lookup(result.ok()),
            Purpose::KindList(kind) => self.take_kind_list(kind, result.ok()),
            Purpose::StatusRead => self.take_status_read(result.ok()),
            Purpose::StatusWrite => self.take_status_write(WriteOutcome::of(&result)),
            Purpose::VmList => self.take_vm_list(result.ok()),
            Purpose::GrantWrite(record) => {
                self.take_grant_write(&record, WriteOutcome::of(&result));
            }
            Purpose::GrantRead(server) => self.take_grant_read(&server, result.ok()),
            Purpose::GrantRelease(record) => {
                self.take_grant_release(&record, WriteOutcome::of(&result));
            }
            Purpose::HoldRead(server) => self.take_hold_read(&server, result.ok()),
            Purpose::PursuitRead(key) => self.take_pursuit_read(&key, result.ok()),
            Purpose::PursuitClose(key, record) => {
                self.take_pursuit_close(&key, *record, WriteOutcome::of(&result));
            }
            _ => {}
        }
    }
}
