//! Finds out whether a conditional write took effect when its answer is lost.
//!
//! A write whose answer is lost may have taken effect, may take effect later,
//! or may never do so. Reading the object back shows which, but only in part:
//!
//! - The object carries the write's own marker: it took effect.
//! - The object is at a version past the one that the condition names: the
//!   write can no longer take effect, because versions never come back. If it
//!   carries another marker, the write either lost the race or was replaced.
//! - The object is still as the condition wants it: this proves nothing. The
//!   write may still be on its way and land after the read. Sending the same
//!   write again settles it, as at most one copy can meet the condition.
//!
//! For a write that wants the object to be absent, the second point holds as
//! long as nobody deletes the object while a copy may still be on its way.
//!
//! [`WriteSettlement`] decides; [`settle_write`] makes the calls.

use serde_json::Value;
use tokio::time::{Instant, timeout_at};

use crate::{
    call::{
        ObjectCall, ObjectKind, ObjectReply, ObjectVersion, StoreError, StoreErrorKind,
        StoredObject, WriteCondition,
    },
    pacing::CallPacing,
    store::ObjectStore,
};

/// How one copy of the write ended for its sender.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum PutEnd {
    /// It took effect.
    Written(ObjectVersion),
    /// Its condition did not hold.
    ConditionFailed,
    /// It never left.
    NotSent,
    /// It left and no answer came.
    AnswerLost,
    /// The platform rejected it for good.
    Rejected,
}

/// What a read showed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum ReadEnd {
    /// No object.
    Missing,
    /// An object.
    Present {
        /// Its version.
        version: ObjectVersion,
        /// Whether it carries the marker of the write.
        ours: bool,
    },
    /// No answer.
    Failed,
}

/// What to do next.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum SettleStep {
    /// Send the write, with its condition.
    Put,
    /// Read the object.
    Read,
    /// Nothing: the end is known.
    Done(SettleEnd),
}

/// What is known of the write in the end.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum SettleEnd {
    /// It took effect; the version is that of the read or the write that showed it.
    Written(ObjectVersion),
    /// It did not take effect and never will: its condition had failed at the first copy.
    LostRace,
    /// It can no longer take effect, but may have done so and been replaced.
    Superseded,
    /// It did not take effect and never will: no copy reached the platform.
    NotWritten,
    /// It may have taken effect, or may still do so.
    StillUnknown,
}

/// Settles one conditional write; pure, without time and calls.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct WriteSettlement {
    condition: WriteCondition,
    /// Whether a copy has left whose end is unknown.
    uncertain: bool,
    /// Whether the condition can never hold again.
    closed: bool,
    step: SettleStep,
}

impl WriteSettlement {
    /// Starts with nothing sent.
    #[must_use]
    pub const fn new(condition: WriteCondition) -> Self {
        Self { condition, uncertain: false, closed: false, step: SettleStep::Put }
    }

    /// The condition of the write.
    #[must_use]
    pub const fn condition(&self) -> WriteCondition {
        self.condition
    }

    /// What to do next.
    #[must_use]
    pub const fn step(&self) -> SettleStep {
        self.step
    }

    /// Takes the end of one copy of the write.
    pub fn on_put(&mut self, end: PutEnd) {
        self.step = match end {
            PutEnd::Written(version) => SettleStep::Done(SettleEnd::Written(version)),
            PutEnd::ConditionFailed if self.uncertain => {
                self.closed |= matches!(self.condition, WriteCondition::At(_));
                SettleStep::Read
            }
            PutEnd::ConditionFailed => SettleStep::Done(SettleEnd::LostRace),
            PutEnd::NotSent => SettleStep::Put,
            PutEnd::AnswerLost => {
                self.uncertain = true;
                SettleStep::Read
            }
            PutEnd::Rejected if self.uncertain => SettleStep::Read,
            PutEnd::Rejected => SettleStep::Done(SettleEnd::NotWritten),
        };
    }

    /// Takes what a read showed.
    pub fn on_read(&mut self, end: ReadEnd) {
        self.step = match end {
            ReadEnd::Failed => SettleStep::Read,
            ReadEnd::Present { version, ours: true } => {
                SettleStep::Done(SettleEnd::Written(version))
            }
            ReadEnd::Present { version, ours: false } => match self.condition {
                WriteCondition::At(wanted) if version > wanted => {
                    SettleStep::Done(SettleEnd::Superseded)
                }
                WriteCondition::Absent => SettleStep::Done(SettleEnd::Superseded),
                // The read is older than the failed condition.
                WriteCondition::At(_) if self.closed => SettleStep::Read,
                WriteCondition::At(_) => SettleStep::Put,
            },
            ReadEnd::Missing if self.closed => SettleStep::Done(SettleEnd::Superseded),
            ReadEnd::Missing => SettleStep::Put,
        };
    }

    /// Ends the settlement at its deadline.
    #[must_use]
    pub const fn give_up(&self) -> SettleEnd {
        match self.step {
            SettleStep::Done(end) => end,
            _ if self.uncertain => SettleEnd::StillUnknown,
            _ => SettleEnd::NotWritten,
        }
    }
}

/// A conditional write with the fields that tell it from the writes of others.
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
    /// JSON pointers into the value; a stored value with the same fields there
    /// is this write, or a later one that builds on it.
    pub markers: &'static [&'static str],
}

impl MarkedWrite {
    fn is_ours(&self, stored: &Value) -> bool {
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

/// What is known of a write, with what the calls returned.
#[derive(Clone, Debug, PartialEq)]
pub struct WriteOutcome {
    /// What is known.
    pub end: SettleEnd,
    /// The object as last read, if it was read and exists.
    pub seen: Option<StoredObject>,
    /// The last error, if a call failed.
    pub error: Option<StoreError>,
}

/// Makes a conditional write and finds out whether it took effect.
///
/// Calls are repeated with growing pauses until the end is known or the
/// deadline passes.
pub async fn settle_write<S: ObjectStore>(
    store: &S,
    write: &MarkedWrite,
    deadline: Instant,
) -> WriteOutcome {
    let mut settlement = WriteSettlement::new(write.condition);
    let mut calls = SettlingCalls { seen: None, error: None };
    let mut pacing = CallPacing::new(deadline);
    loop {
        let step = settlement.step();
        if let SettleStep::Done(end) = step {
            return calls.outcome(end);
        }
        if !pacing.wait().await {
            return calls.outcome(settlement.give_up());
        }
        match step {
            SettleStep::Put => settlement.on_put(calls.put(store, write, deadline).await),
            _ => settlement.on_read(calls.read(store, write, deadline).await),
        }
    }
}

/// What the calls of one settlement have returned so far.
struct SettlingCalls {
    seen: Option<StoredObject>,
    error: Option<StoreError>,
}

impl SettlingCalls {
    fn outcome(self, end: SettleEnd) -> WriteOutcome {
        WriteOutcome { end, seen: self.seen, error: self.error }
    }

    async fn put<S: ObjectStore>(
        &mut self,
        store: &S,
        write: &MarkedWrite,
        deadline: Instant,
    ) -> PutEnd {
        let result = timeout_at(deadline, store.call(write.put_call())).await;
        // A write that is cut off by the deadline may have left.
        let Ok(result) = result else { return PutEnd::AnswerLost };
        let end = PutEnd::from(&result);
        self.error = result.err().or(self.error.take());
        end
    }

    async fn read<S: ObjectStore>(
        &mut self,
        store: &S,
        write: &MarkedWrite,
        deadline: Instant,
    ) -> ReadEnd {
        let result = timeout_at(deadline, store.call(write.get_call())).await;
        let Ok(result) = result else { return ReadEnd::Failed };
        match result {
            Ok(ObjectReply::Found(object)) => {
                let ours = write.is_ours(&object.value);
                let version = object.version;
                self.seen = Some(object);
                ReadEnd::Present { version, ours }
            }
            Ok(ObjectReply::Missing) => {
                self.seen = None;
                ReadEnd::Missing
            }
            Ok(_) => ReadEnd::Failed,
            Err(error) => {
                self.error = Some(error);
                ReadEnd::Failed
            }
        }
    }
}

impl From<&Result<ObjectReply, StoreError>> for PutEnd {
    fn from(result: &Result<ObjectReply, StoreError>) -> Self {
        match result {
            Ok(ObjectReply::Written(version)) => Self::Written(*version),
            Ok(ObjectReply::ConditionFailed) => Self::ConditionFailed,
            // A reply to another call says nothing about the write.
            Ok(_) => Self::AnswerLost,
            Err(error) => match error.kind() {
                StoreErrorKind::NotSent => Self::NotSent,
                StoreErrorKind::AnswerLost => Self::AnswerLost,
                StoreErrorKind::Rejected | StoreErrorKind::VersionGone => Self::Rejected,
            },
        }
    }
}
