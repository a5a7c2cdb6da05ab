//! Claims: what makes a request with an idempotency key run at most once.
//!
//! A claim is one object per service and key. Whoever creates it, or takes it
//! over after a recorded `not_run`, is its owner and alone may dispatch the
//! request; in the end the owner records the outcome. The rules:
//!
//! - An attempt dispatches only once it knows that the claim is its own.
//! - The attempt's identifier is the node's own and never the caller's, so that
//!   two attempts can't both take one claim for theirs.
//! - A claim that is open, ran or is unknown is never taken over. The one
//!   exception is the owning node itself, when it knows that the attempt ended
//!   without a dispatch.
//! - Only the owner records `ran` or `not_run`. Another node may record
//!   `unknown` when the owner seems to be gone; that is true whatever the owner
//!   did, and the owner may still replace it by what it knows.
//! - Each write names the version that it was decided on.
//!
//! The functions here decide on what was read; [`ClaimMachine`](crate::ClaimMachine)
//! puts them in order and `tests/claim_model.rs` searches all orders of events.

use std::fmt;

use carobstep_config::{NodeName, ServiceName};
use serde::{Deserialize, Serialize};
use strum::{Display, EnumString, IntoStaticStr};
use xxhash_rust::xxh3::xxh3_128;

use crate::call::{ObjectVersion, StoredObject, WriteCondition};

/// Longest answer that a claim keeps for later attempts.
pub const MAX_ANSWER_BYTES: usize = 512 * 1024;

/// Identifies one attempt to run a request, across all nodes and restarts.
///
/// The node that takes the attempt draws it at random; it must not come from
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

/// What became of a claimed request.
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
    /// It ran.
    Ran,
    /// It certainly did not run, and the attempt won't run it any more.
    NotRun,
    /// It may have run.
    Unknown,
}

/// State of a claim: open until an outcome is recorded.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ClaimState {
    /// The owner may be about to dispatch, or may have dispatched.
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
    /// Body of the recorded answer, unless it is longer than [`MAX_ANSWER_BYTES`].
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub answer: Option<String>,
    /// When the claim was taken, in milliseconds since the Unix epoch; for
    /// operators and for removing old claims only.
    pub time_ms: u64,
}

/// An attempt to run a request with an idempotency key.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct ClaimRequest {
    /// Service that runs the request.
    pub service: ServiceName,
    /// The caller's idempotency key.
    pub key: String,
    /// Digest of the request's body, from [`digest_of`].
    pub body_digest: String,
    /// The node that takes the attempt.
    pub node: NodeName,
    /// Its incarnation.
    pub incarnation: u64,
    /// The attempt.
    pub attempt: AttemptId,
    /// The time by the node's calendar clock, in milliseconds since the Unix epoch.
    pub time_ms: u64,
}

/// What is known of the owner of a claim.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum OwnerSight {
    /// Nothing speaks against it that the owner is at work.
    Present,
    /// The owner seems to be gone; this may be wrong.
    Gone,
    /// The owner is this very process, and the attempt ended without a dispatch.
    Abandoned,
}

/// What an attempt does about the claim that it found.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ClaimDecision {
    /// Write this record; the claim is the attempt's own when the write takes effect.
    Take(ClaimWrite),
    /// The claim is the attempt's own already, at this version.
    Own(ObjectVersion),
    /// Record that the outcome is unknown, then report it as such.
    RecordUnknown(ClaimWrite),
    /// Report the recorded outcome.
    Replay(RecordedOutcome),
    /// Another attempt is at work: the outcome is not known yet.
    InProgress,
    /// The key was used with another body.
    Mismatch,
}

/// An outcome that is recorded.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct RecordedOutcome {
    /// The outcome, never [`ClaimOutcome::NotRun`].
    pub outcome: ClaimOutcome,
    /// Body of the answer, if it was kept.
    pub answer: Option<String>,
}

/// What the owner does to record its outcome.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RecordDecision {
    /// Write this record.
    Write(ClaimWrite),
    /// The outcome is recorded already.
    Recorded,
    /// The claim belongs to another attempt, or is gone: leave it alone.
    NotOwner,
}

/// A write of a claim with the version that it was decided on.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct ClaimWrite {
    /// Condition of the write.
    pub condition: WriteCondition,
    /// The new record.
    pub record: ClaimRecord,
}

/// A claim object that can't be read.
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

/// Digest of a key or a body: 128 bits of XXH3 in hexadecimal digits.
///
/// It is no cryptographic digest: a claim therefore holds the whole key, and a
/// caller that forges a body's digest only harms its own request.
#[must_use]
pub fn digest_of(bytes: &[u8]) -> String {
    format!("{:032x}", xxh3_128(bytes))
}

impl ClaimRequest {
    /// Name of the claim's object.
    #[must_use]
    pub fn object_name(&self) -> String {
        format!("{}.{}", self.service, digest_of(self.key.as_bytes()))
    }

    /// The write that creates the claim.
    #[must_use]
    pub fn create(&self) -> ClaimWrite {
        ClaimWrite { condition: WriteCondition::Absent, record: self.open_record() }
    }

    /// The write that records an outcome on the attempt's own claim.
    #[must_use]
    pub fn close(
        &self,
        version: ObjectVersion,
        outcome: ClaimOutcome,
        answer: Option<&str>,
    ) -> ClaimWrite {
        let answer = answer.filter(|answer| answer.len() <= MAX_ANSWER_BYTES).map(str::to_owned);
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

/// Decides what an attempt does about the claim that it read.
///
/// `sight` tells what is known of the owner of an open claim.
///
/// # Errors
///
/// When the object is no claim; the request must not run then.
pub fn decide_claim(
    existing: Option<&StoredObject>,
    request: &ClaimRequest,
    sight: impl FnOnce(&ClaimRecord) -> OwnerSight,
) -> Result<ClaimDecision, ClaimError> {
    let Some(object) = existing else { return Ok(ClaimDecision::Take(request.create())) };
    let record = ClaimRecord::try_from(object)?;
    if record.attempt == request.attempt {
        return Ok(ClaimDecision::Own(object.version));
    }
    if record.key != request.key || record.body_digest != request.body_digest {
        return Ok(ClaimDecision::Mismatch);
    }
    let condition = WriteCondition::At(object.version);
    let take = || ClaimDecision::Take(ClaimWrite { condition, ..request.create() });
    Ok(match record.state {
        ClaimState::Done(ClaimOutcome::NotRun) => take(),
        ClaimState::Done(outcome) => {
            ClaimDecision::Replay(RecordedOutcome { outcome, answer: record.answer })
        }
        ClaimState::Open => match sight(&record) {
            OwnerSight::Present => ClaimDecision::InProgress,
            OwnerSight::Abandoned => take(),
            OwnerSight::Gone => {
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
/// When the object is no claim.
pub fn record_outcome(
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
    Ok(RecordDecision::Write(request.close(object.version, outcome, answer)))
}
