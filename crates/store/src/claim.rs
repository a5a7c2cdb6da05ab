//! Claims, which make a request with an idempotency key run at most once.
//!
//! A claim is one object per service and key. The attempt that creates it, or
//! that acquires it after a recorded `not_run`, is its owner. Only the owner may
//! dispatch the request, and it records the outcome afterwards. The rules:
//!
//! - An attempt dispatches only once it knows that it owns the claim.
//! - The node generates the identifier of an attempt and never accepts one from
//!   the caller, so that two attempts can't both believe they own a claim.
//! - A claim that is open, or whose outcome is `ran` or `unknown`, is never
//!   acquired by another attempt. The only exception is the owning node, when
//!   it knows that the earlier attempt ended without a dispatch.
//! - Only the owner records `ran` or `not_run`. Another node may record
//!   `unknown` when the owner seems to be unavailable. That record is correct
//!   whatever the owner did, and the owner may still overwrite it with the
//!   outcome that it knows.
//! - Each write is conditional on the version that the decision was based on.
//!
//! The functions here decide on the result of one read;
//! [`ClaimMachine`](crate::ClaimMachine) makes the sequence of calls, and
//! `tests/claim_model.rs` checks it in all orders of events.

use std::fmt;

use carobstep_config::{NodeName, ServiceName};
use serde::{Deserialize, Serialize};
use strum::{Display, EnumString, IntoStaticStr};
use xxhash_rust::xxh3::xxh3_128;

use crate::call::{ObjectVersion, StoredObject, WriteCondition};

/// Longest response body that a claim stores for later attempts, in bytes.
pub const MAX_STORED_RESPONSE_BYTES: usize = 512 * 1024;

/// Identifier of one attempt to run a request, unique across nodes and restarts.
///
/// The node that makes the attempt generates it at random; it must not come from
/// the caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct AttemptId(pub u128);

impl From<AttemptId> for String {
    fn from(id: AttemptId) -> Self {
        format!("{:032x}", id.0)
    }
}

impl TryFrom<String> for AttemptId {
    type Error = ClaimError;

    fn try_from(text: String) -> Result<Self, ClaimError> {
        let parsed = u128::from_str_radix(&text, 16).map(Self);
        parsed.map_err(|error| ClaimError { message: format!("attempt {text:?}: {error}") })
    }
}

/// Outcome of a claimed request.
#[derive(
    Clone,
    Copy,
    Debug,
    PartialEq,
    Eq,
    Hash,
    Serialize,
    Deserialize,
    Display,
    EnumString,
    IntoStaticStr,
)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum ClaimOutcome {
    /// The request ran.
    Ran,
    /// The request did not run, and the attempt that owns the claim will never
    /// dispatch it.
    NotRun,
    /// The request may have run.
    Unknown,
}

/// State of a claim.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ClaimState {
    /// No outcome is recorded: the owner may have dispatched the request or may still
    /// do so.
    Open,
    /// The outcome is recorded.
    Done(ClaimOutcome),
}

/// The value of a claim object.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct ClaimRecord {
    /// The caller's idempotency key.
    pub key: String,
    /// Digest of the request's body.
    pub body_digest: String,
    /// Node that owns the claim.
    pub node: NodeName,
    /// Incarnation of that node.
    pub incarnation: u64,
    /// Attempt that owns the claim.
    pub attempt: AttemptId,
    /// State of the claim.
    pub state: ClaimState,
    /// Body of the response, unless it is longer than [`MAX_STORED_RESPONSE_BYTES`].
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub answer: Option<String>,
    /// Time at which the claim was acquired, in milliseconds since the Unix epoch. It
    /// is used only by operators and to remove old claims.
    pub time_ms: u64,
}

/// An attempt to run a request with an idempotency key.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct ClaimRequest {
    /// Service that runs the request.
    pub service: ServiceName,
    /// The caller's idempotency key.
    pub key: String,
    /// Digest of the request's body, from [`hex_digest`].
    pub body_digest: String,
    /// The node that makes the attempt.
    pub node: NodeName,
    /// Incarnation of that node.
    pub incarnation: u64,
    /// Identifier of the attempt.
    pub attempt: AttemptId,
    /// Wall-clock time of the node, in milliseconds since the Unix epoch.
    pub time_ms: u64,
}

/// What a node knows of the owner of an open claim.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum OwnerStatus {
    /// The owner may still be running the request; there is no sign of a failure.
    Present,
    /// The owner seems to be unavailable, but may still be running the request.
    Unavailable,
    /// The owner is this process, and its attempt ended without a dispatch.
    Abandoned,
}

/// Action of an attempt on the claim that it read.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ClaimDecision {
    /// Write this record; the attempt owns the claim once the write takes effect.
    Acquire(ClaimWrite),
    /// The attempt already owns the claim, at this version.
    AlreadyOwned(ObjectVersion),
    /// Record that the outcome is unknown, then report it as such.
    RecordUnknown(ClaimWrite),
    /// Report the recorded outcome.
    Replay(RecordedOutcome),
    /// Another attempt is running; the outcome is not known yet.
    InProgress,
    /// The key was used with another body.
    Mismatch,
}

/// Outcome that an earlier attempt has recorded.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct RecordedOutcome {
    /// The outcome, never [`ClaimOutcome::NotRun`].
    pub outcome: ClaimOutcome,
    /// Body of the response, if it was stored.
    pub answer: Option<String>,
}

/// Action of an attempt that records its outcome.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RecordDecision {
    /// Write this record.
    Write(ClaimWrite),
    /// The outcome is already recorded.
    Recorded,
    /// The claim belongs to another attempt or was deleted: write nothing.
    NotOwner,
}

/// Conditional write of a claim.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct ClaimWrite {
    /// Condition of the write: the claim is unchanged since the decision.
    pub condition: WriteCondition,
    /// The new record.
    pub record: ClaimRecord,
}

/// Error of a malformed claim object or attempt identifier.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct ClaimError {
    message: String,
}

impl fmt::Display for ClaimError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.message)
    }
}

impl std::error::Error for ClaimError {}

/// Returns the digest of a key or a body: 128 bits of XXH3 in hexadecimal.
///
/// The digest is not cryptographic. A claim therefore stores the whole key, and a
/// caller that forges a collision of bodies affects only its own request.
#[must_use]
pub fn hex_digest(bytes: &[u8]) -> String {
    format!("{:032x}", xxh3_128(bytes))
}

impl ClaimRequest {
    /// Returns the name of the claim object.
    #[must_use]
    pub fn object_name(&self) -> String {
        format!("{}.{}", self.service, hex_digest(self.key.as_bytes()))
    }

    /// Returns the write that creates the claim.
    #[must_use]
    pub fn create_write(&self) -> ClaimWrite {
        ClaimWrite { condition: WriteCondition::Absent, record: self.open_record() }
    }

    /// Returns the write that records an outcome on the attempt's own claim.
    #[must_use]
    pub fn outcome_write(
        &self,
        version: ObjectVersion,
        outcome: ClaimOutcome,
        answer: Option<&str>,
    ) -> ClaimWrite {
        let answer =
            answer.filter(|answer| answer.len() <= MAX_STORED_RESPONSE_BYTES).map(str::to_owned);
        let record = ClaimRecord { state: ClaimState::Done(outcome), answer, ..self.open_record() };
        ClaimWrite { condition: WriteCondition::At(version), record }
    }

    fn open_record(&self) -> ClaimRecord {
        ClaimRecord {
            key: self.key.clone(),
            body_digest: self.body_digest.clone(),
            node: self.node.clone(),
            incarnation: self.incarnation,
            attempt: self.attempt,
            state: ClaimState::Open,
            answer: None,
            time_ms: self.time_ms,
        }
    }
}

impl TryFrom<&StoredObject> for ClaimRecord {
    type Error = ClaimError;

    fn try_from(object: &StoredObject) -> Result<Self, ClaimError> {
        Self::deserialize(&object.value)
            .map_err(|error| ClaimError { message: format!("claim {}: {error}", object.name) })
    }
}

/// Decides how an attempt to acquire a claim proceeds after reading it.
///
/// `owner_status` returns what is known of the owner of an open claim.
///
/// # Errors
///
/// Fails when the object is not a valid claim; the request must not run then.
pub fn decide_claim(
    existing: Option<&StoredObject>,
    request: &ClaimRequest,
    owner_status: impl FnOnce(&ClaimRecord) -> OwnerStatus,
) -> Result<ClaimDecision, ClaimError> {
    let Some(object) = existing else { return Ok(ClaimDecision::Acquire(request.create_write())) };
    let record = ClaimRecord::try_from(object)?;
    if record.attempt == request.attempt {
        return Ok(ClaimDecision::AlreadyOwned(object.version));
    }
    if record.key != request.key || record.body_digest != request.body_digest {
        return Ok(ClaimDecision::Mismatch);
    }
    let condition = WriteCondition::At(object.version);
    let acquire = || ClaimDecision::Acquire(ClaimWrite { condition, ..request.create_write() });
    Ok(match record.state {
        ClaimState::Done(ClaimOutcome::NotRun) => acquire(),
        ClaimState::Done(outcome) => {
            ClaimDecision::Replay(RecordedOutcome { outcome, answer: record.answer })
        }
        ClaimState::Open => match owner_status(&record) {
            OwnerStatus::Present => ClaimDecision::InProgress,
            OwnerStatus::Abandoned => acquire(),
            OwnerStatus::Unavailable => {
                let state = ClaimState::Done(ClaimOutcome::Unknown);
                let record = ClaimRecord { state, ..record };
                ClaimDecision::RecordUnknown(ClaimWrite { condition, record })
            }
        },
    })
}

/// Decides how an attempt records its outcome on the claim that it read.
///
/// # Errors
///
/// Fails when the object is not a valid claim.
pub fn decide_record(
    existing: Option<&StoredObject>,
    request: &ClaimRequest,
    outcome: ClaimOutcome,
    answer: Option<&str>,
) -> Result<RecordDecision, ClaimError> {
    let Some(object) = existing else { return Ok(RecordDecision::NotOwner) };
    let record = ClaimRecord::try_from(object)?;
    if record.attempt != request.attempt {
        return Ok(RecordDecision::NotOwner);
    }
    if record.state == ClaimState::Done(outcome) {
        return Ok(RecordDecision::Recorded);
    }
    Ok(RecordDecision::Write(request.outcome_write(object.version, outcome, answer)))
}
