//! Calls to the platform and to peers that are in flight, and the handlers of
//! their replies.

use std::net::SocketAddr;

use carobstep_clock::BootTime;
use carobstep_config::{NodeName, ServerName};
use carobstep_store::{
    ObjectCall, ObjectKind, ObjectReply, StoreError, StoreErrorKind, WriteCondition,
};
use carobstep_wire::{ControlMessage, ControlReply};
use indexmap::IndexMap;
use serde::Serialize;

use super::{ControlState, takeover_tasks::TakeoverKey};
use crate::{
    event::{CallKey, ControlEffect, PeerFailure},
    record::{GrantRecord, LeaseRecord, LeaseRecordState},
};

/// Calls in flight, with the purpose of each.
#[derive(Debug, Default)]
pub(super) struct CallTable {
    last_key: u64,
    purposes: IndexMap<CallKey, CallPurpose>,
}

/// Purpose of a call, which selects the handler of its reply.
#[derive(Clone, Debug)]
pub(super) enum CallPurpose {
    LeaseRead,
    LeaseWrite { incarnation: u64, state: LeaseRecordState },
    LeaseList,
    LeaseLookup,
    KindList(ObjectKind),
    StatusRead,
    StatusWrite,
    VmList,
    GrantWrite(Box<GrantRecord>),
    GrantRead(ServerName),
    GrantRelease(Box<GrantRecord>),
    ReleaseRead(ServerName),
    TakeoverRead(TakeoverKey),
    TakeoverClose(TakeoverKey, Box<LeaseRecord>),
    TakeoverNotify(TakeoverKey, NodeName),
    Vouch { witness: NodeName, incarnation: u64, sent_at: BootTime },
    Gossip,
    Fetch,
    PushChanges,
}

/// Outcome of a conditional write.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum WriteOutcome {
    /// The write took effect and the object has this version.
    Written(carobstep_store::ObjectVersion),
    /// The write had no effect and never will.
    Failed,
    /// The condition failed, so the object must be read.
    Conflict,
    /// The effect is unknown, so the object must be read.
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
    fn register_call(&mut self, purpose: CallPurpose) -> CallKey {
        self.calls.last_key += 1;
        let call = CallKey(self.calls.last_key);
        self.calls.purposes.insert(call, purpose);
        call
    }

    pub(super) fn call(&mut self, purpose: CallPurpose, object: ObjectCall) {
        let call = self.register_call(purpose);
        self.outbox.push(ControlEffect::Object { call, object });
    }

    pub(super) fn get(&mut self, purpose: CallPurpose, kind: ObjectKind, name: &str) {
        self.call(purpose, ObjectCall::Get { kind, name: name.to_owned() });
    }

    pub(super) fn put(
        &mut self,
        purpose: CallPurpose,
        kind: ObjectKind,
        name: &str,
        condition: WriteCondition,
        record: &impl Serialize,
    ) {
        let value = serde_json::to_value(record).unwrap_or_default();
        self.call(purpose, ObjectCall::Put { kind, name: name.to_owned(), condition, value });
    }

    pub(super) fn send(&mut self, purpose: CallPurpose, to: SocketAddr, message: ControlMessage) {
        let call = self.register_call(purpose);
        self.outbox.push(ControlEffect::Send { call, to, message });
    }

    /// Handles the reply of a peer to a message.
    pub(super) fn handle_reply(
        &mut self,
        call: CallKey,
        result: Result<ControlReply, PeerFailure>,
    ) {
        let Some(purpose) = self.calls.purposes.swap_remove(&call) else { return };
        match purpose {
            CallPurpose::TakeoverNotify(key, witness) if result == Ok(ControlReply::Done) => {
                self.on_witness_notified(&key, witness);
            }
            CallPurpose::Vouch { witness, incarnation, sent_at } => {
                if let Ok(ControlReply::Vouch(reply)) = result
                    && reply.vouched
                {
                    self.on_vouch(witness, incarnation, sent_at);
                }
            }
            CallPurpose::Gossip => {
                if let Ok(ControlReply::Gossip(digest)) = result {
                    self.merge_digest(digest);
                }
            }
            CallPurpose::Fetch => self.on_fetched(result.ok()),
            _ => {}
        }
    }

    /// Handles the reply of the platform to a call.
    pub(super) fn handle_object_reply(
        &mut self,
        call: CallKey,
        result: Result<ObjectReply, StoreError>,
    ) {
        let Some(purpose) = self.calls.purposes.swap_remove(&call) else { return };
        match purpose {
            CallPurpose::LeaseRead => self.on_lease_read(result.ok()),
            CallPurpose::LeaseWrite { incarnation, state } => {
                self.on_lease_write(incarnation, state, WriteOutcome::of(&result));
            }
            CallPurpose::LeaseList => self.on_lease_list(result.ok()),
            CallPurpose::LeaseLookup => self.on_lease_lookup(result.ok()),
            CallPurpose::KindList(kind) => self.on_kind_list(kind, result.ok()),
            CallPurpose::StatusRead => self.on_status_read(result.ok()),
            CallPurpose::StatusWrite => self.on_status_write(WriteOutcome::of(&result)),
            CallPurpose::VmList => self.on_vm_list(result.ok()),
            CallPurpose::GrantWrite(record) => {
                self.on_grant_write(&record, WriteOutcome::of(&result));
            }
            CallPurpose::GrantRead(server) => self.on_grant_read(&server, result.ok()),
            CallPurpose::GrantRelease(record) => {
                self.on_grant_release(&record, WriteOutcome::of(&result));
            }
            CallPurpose::ReleaseRead(server) => self.on_release_read(&server, result.ok()),
            CallPurpose::TakeoverRead(key) => self.on_takeover_read(&key, result.ok()),
            CallPurpose::TakeoverClose(key, record) => {
                self.on_takeover_close(&key, *record, WriteOutcome::of(&result));
            }
            _ => {}
        }
    }
}
