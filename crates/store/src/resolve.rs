//! Resolves whether a conditional write took effect when its reply is lost.
//!
//! A write whose reply is lost may have taken effect, may take effect later, or
//! may never do so. A read of the object distinguishes some of these cases:
//!
//! - The object has the markers of the write, the fields that identify its
//!   writer: the write took effect.
//! - The object has a later version than the condition requires: the write can
//!   no longer take effect, because versions are never reused. If the markers
//!   differ, the write either failed its condition or was overwritten.
//! - The object still meets the condition: the outcome stays unknown, because
//!   the write may be delayed and be applied after the read. Sending the same
//!   write again resolves it, as at most one copy can meet the condition.
//!
//! For a write that requires the object to be absent, the second point holds
//! only while nobody deletes the object before all copies have arrived.
//!
//! [`WriteResolver`] is the state machine; [`resolve_write`] makes the calls.

use serde_json::Value;
use tokio::time::{Instant, timeout_at};

use crate::{
    backoff::CallBackoff,
    call::{
        ObjectCall, ObjectKind, ObjectReply, ObjectVersion, StoreError, StoreErrorKind,
        StoredObject, WriteCondition,
    },
    store::ObjectStore,
};

/// Outcome of sending the write once, as its sender sees it.
///
/// Each time that the write is sent, a copy of it is in transit.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum PutOutcome {
    /// The write took effect and created this version.
    Written(ObjectVersion),
    /// The condition did not hold; this copy changed nothing.
    ConditionFailed,
    /// The copy was not sent.
    NotSent,
    /// The copy was sent and no reply arrived.
    ReplyLost,
    /// The platform rejected the write, and a retry would be rejected as well.
    Rejected,
}

/// Result of reading the object back.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum ReadOutcome {
    /// The object does not exist.
    Missing,
    /// The object exists.
    Present {
        /// Its version.
        version: ObjectVersion,
        /// Whether it has the markers of the write.
        is_own_write: bool,
    },
    /// The read failed.
    Failed,
}

/// Next call to make.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum ResolveStep {
    /// Send the write, with its condition.
    Put,
    /// Read the object.
    Read,
    /// No further call: the outcome is final.
    Done(ResolvedOutcome),
}

/// Final knowledge about the effect of a write.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum ResolvedOutcome {
    /// It took effect; the version is that of the write's reply or of the read that
    /// showed its markers.
    Written(ObjectVersion),
    /// It did not take effect and never will: the first copy failed its condition.
    LostRace,
    /// It can no longer take effect, but may have taken effect and been overwritten.
    Superseded,
    /// It did not take effect and never will: no copy was sent, or the platform
    /// rejected the first one.
    NotWritten,
    /// It may have taken effect, or may still take effect later.
    StillUnknown,
}

/// State machine that resolves one conditional write; it does no I/O and reads no
/// clock.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct WriteResolver {
    condition: WriteCondition,
    /// Whether the reply to at least one copy was lost.
    outcome_unknown: bool,
    /// Whether the condition can never hold again.
    condition_obsolete: bool,
    step: ResolveStep,
}

impl WriteResolver {
    /// Creates the state before the first copy is sent.
    #[must_use]
    pub const fn new(condition: WriteCondition) -> Self {
        Self {
            condition,
            outcome_unknown: false,
            condition_obsolete: false,
            step: ResolveStep::Put,
        }
    }

    /// Returns the condition of the write.
    #[must_use]
    pub const fn condition(&self) -> WriteCondition {
        self.condition
    }

    /// Returns the next call to make.
    #[must_use]
    pub const fn step(&self) -> ResolveStep {
        self.step
    }

    /// Handles the outcome of sending one copy.
    pub fn on_put(&mut self, outcome: PutOutcome) {
        self.step = match outcome {
            PutOutcome::Written(version) => ResolveStep::Done(ResolvedOutcome::Written(version)),
            PutOutcome::ConditionFailed if self.outcome_unknown => {
                self.condition_obsolete |= matches!(self.condition, WriteCondition::At(_));
                ResolveStep::Read
            }
            PutOutcome::ConditionFailed => ResolveStep::Done(ResolvedOutcome::LostRace),
            PutOutcome::NotSent => ResolveStep::Put,
            PutOutcome::ReplyLost => {
                self.outcome_unknown = true;
                ResolveStep::Read
            }
            PutOutcome::Rejected if self.outcome_unknown => ResolveStep::Read,
            PutOutcome::Rejected => ResolveStep::Done(ResolvedOutcome::NotWritten),
        };
    }

    /// Handles the result of a read.
    pub fn on_read(&mut self, outcome: ReadOutcome) {
        self.step = match outcome {
            ReadOutcome::Failed => ResolveStep::Read,
            ReadOutcome::Present { version, is_own_write: true } => {
                ResolveStep::Done(ResolvedOutcome::Written(version))
            }
            ReadOutcome::Present { version, is_own_write: false } => match self.condition {
                WriteCondition::At(required) if version > required => {
                    ResolveStep::Done(ResolvedOutcome::Superseded)
                }
                WriteCondition::Absent => ResolveStep::Done(ResolvedOutcome::Superseded),
                // The read is stale: a copy has already failed its condition.
                WriteCondition::At(_) if self.condition_obsolete => ResolveStep::Read,
                WriteCondition::At(_) => ResolveStep::Put,
            },
            ReadOutcome::Missing if self.condition_obsolete => {
                ResolveStep::Done(ResolvedOutcome::Superseded)
            }
            // If the condition requires a version, the object was deleted: the next
            // copy fails the condition, which is then known never to hold again.
            ReadOutcome::Missing => ResolveStep::Put,
        };
    }

    /// Returns the outcome to report if the deadline allows no further call.
    #[must_use]
    pub const fn outcome_at_deadline(&self) -> ResolvedOutcome {
        match self.step {
            ResolveStep::Done(outcome) => outcome,
            _ if self.outcome_unknown => ResolvedOutcome::StillUnknown,
            _ => ResolvedOutcome::NotWritten,
        }
    }
}

/// A conditional write with the fields that identify its writer.
#[derive(Clone, Debug, PartialEq)]
pub struct MarkedWrite {
    /// Kind of the object.
    pub kind: ObjectKind,
    /// Name of the object.
    pub name: String,
    /// Condition of the write.
    pub condition: WriteCondition,
    /// The new value.
    pub value: Value,
    /// JSON pointers to the identifying fields. A stored value with equal fields comes
    /// from this write, or from a later one that preserves them.
    pub markers: &'static [&'static str],
}

impl MarkedWrite {
    fn is_own_write(&self, stored: &Value) -> bool {
        self.markers.iter().all(|marker| {
            let own = self.value.pointer(marker);
            own.is_some() && own == stored.pointer(marker)
        })
    }

    fn put_call(&self) -> ObjectCall {
        ObjectCall::Put {
            kind: self.kind,
            name: self.name.clone(),
            condition: self.condition,
            value: self.value.clone(),
        }
    }

    fn get_call(&self) -> ObjectCall {
        ObjectCall::Get { kind: self.kind, name: self.name.clone() }
    }
}

/// Outcome of a resolved write, with the results of its calls.
#[derive(Clone, Debug, PartialEq)]
pub struct ResolvedWrite {
    /// The final outcome.
    pub outcome: ResolvedOutcome,
    /// The object as last read, if it was read and exists.
    pub last_read: Option<StoredObject>,
    /// The last error, if a call failed.
    pub error: Option<StoreError>,
}

/// Makes a conditional write and resolves whether it took effect.
///
/// Calls are repeated with exponential backoff until the outcome is final or the
/// deadline passes.
pub async fn resolve_write<S: ObjectStore>(
    store: &S,
    write: &MarkedWrite,
    deadline: Instant,
) -> ResolvedWrite {
    let mut resolver = WriteResolver::new(write.condition);
    let mut calls = ResolverCalls { last_read: None, error: None };
    let mut backoff = CallBackoff::new(deadline);
    loop {
        let step = resolver.step();
        if let ResolveStep::Done(outcome) = step {
            return calls.into_resolved(outcome);
        }
        if !backoff.wait().await {
            return calls.into_resolved(resolver.outcome_at_deadline());
        }
        match step {
            ResolveStep::Put => resolver.on_put(calls.put(store, write, deadline).await),
            _ => resolver.on_read(calls.read(store, write, deadline).await),
        }
    }
}

/// Latest results of the calls that resolve one write.
struct ResolverCalls {
    last_read: Option<StoredObject>,
    error: Option<StoreError>,
}

impl ResolverCalls {
    fn into_resolved(self, outcome: ResolvedOutcome) -> ResolvedWrite {
        ResolvedWrite { outcome, last_read: self.last_read, error: self.error }
    }

    async fn put<S: ObjectStore>(
        &mut self,
        store: &S,
        write: &MarkedWrite,
        deadline: Instant,
    ) -> PutOutcome {
        let result = timeout_at(deadline, store.call(write.put_call())).await;
        // A write that is cancelled at the deadline may have been sent.
        let Ok(result) = result else { return PutOutcome::ReplyLost };
        let outcome = PutOutcome::from(&result);
        self.error = result.err().or(self.error.take());
        outcome
    }

    async fn read<S: ObjectStore>(
        &mut self,
        store: &S,
        write: &MarkedWrite,
        deadline: Instant,
    ) -> ReadOutcome {
        let result = timeout_at(deadline, store.call(write.get_call())).await;
        let Ok(result) = result else { return ReadOutcome::Failed };
        match result {
            Ok(ObjectReply::Found(object)) => {
                let is_own_write = write.is_own_write(&object.value);
                let version = object.version;
                self.last_read = Some(object);
                ReadOutcome::Present { version, is_own_write }
            }
            Ok(ObjectReply::Missing) => {
                self.last_read = None;
                ReadOutcome::Missing
            }
            Ok(_) => ReadOutcome::Failed,
            Err(error) => {
                self.error = Some(error);
                ReadOutcome::Failed
            }
        }
    }
}

impl From<&Result<ObjectReply, StoreError>> for PutOutcome {
    fn from(result: &Result<ObjectReply, StoreError>) -> Self {
        match result {
            Ok(ObjectReply::Written(version)) => Self::Written(*version),
            Ok(ObjectReply::ConditionFailed) => Self::ConditionFailed,
            // A reply to another call says nothing about the write.
            Ok(_) => Self::ReplyLost,
            Err(error) => match error.kind() {
                StoreErrorKind::NotSent => Self::NotSent,
                StoreErrorKind::AnswerLost => Self::ReplyLost,
                StoreErrorKind::Rejected | StoreErrorKind::VersionGone => Self::Rejected,
            },
        }
    }
}
