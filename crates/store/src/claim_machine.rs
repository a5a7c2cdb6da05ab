//! State machine for the calls that acquire a claim or record its outcome.

use crate::{
    call::{ObjectVersion, StoredObject},
    claim::{
        ClaimDecision, ClaimOutcome, ClaimRecord, ClaimRequest, ClaimWrite, OwnerStatus,
        RecordDecision, RecordedOutcome, decide_claim, decide_record,
    },
    resolve::{PutOutcome, ReadOutcome, ResolveStep, ResolvedOutcome, WriteResolver},
};

/// Final result of a [`ClaimMachine`].
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum ClaimResult {
    /// The attempt owns the claim, at this version, and may dispatch the request.
    Acquired(ObjectVersion),
    /// An earlier attempt has recorded this outcome: report it to the caller.
    Replay(RecordedOutcome),
    /// Another attempt is running: report that the outcome is not known yet.
    InProgress,
    /// The key was used with another body: report the request as not run.
    Mismatch,
    /// The attempt does not own the claim and never will: report the request as not run.
    NotClaimed,
    /// The attempt may own the claim, or may still come to own it when a delayed
    /// write takes effect. It must not dispatch: report the request as not run, and
    /// record that later with [`ClaimMachine::abandon`].
    Uncertain,
    /// The claim object is malformed: report the request as not run.
    Malformed,
    /// The outcome is recorded.
    Recorded,
    /// The claim belongs to another attempt: nothing was recorded.
    NotOwner,
    /// The outcome may not be recorded.
    NotRecorded,
}

/// Next call to make.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ClaimStep<'a> {
    /// Read the claim.
    Read,
    /// Write the claim.
    Write(&'a ClaimWrite),
    /// No further call: the result is final.
    Done(&'a ClaimResult),
}

/// Result of reading the claim.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum ClaimRead<'a> {
    /// The claim object, or `None` when it does not exist.
    Seen(Option<&'a StoredObject>),
    /// The read failed.
    Failed,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum ClaimGoal {
    Acquire,
    Record { outcome: ClaimOutcome, answer: Option<String> },
}

/// Why a claim is written.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum WritePurpose {
    /// Acquires the claim for the attempt.
    Acquire,
    /// Records on the claim of another attempt that its outcome is unknown.
    RecordUnknown,
    /// Records the attempt's own outcome.
    RecordOutcome,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum ClaimPhase {
    Reading,
    Writing { resolver: WriteResolver, write: ClaimWrite, purpose: WritePurpose },
    Ended(ClaimResult),
}

/// State machine that acquires a claim or records its outcome; it does no I/O and
/// reads no clock.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct ClaimMachine {
    goal: ClaimGoal,
    phase: ClaimPhase,
}

impl ClaimMachine {
    /// Creates a machine that acquires the claim; its first call creates the object.
    #[must_use]
    pub fn acquire(request: &ClaimRequest) -> Self {
        let phase = ClaimPhase::write(request.create_write(), WritePurpose::Acquire);
        Self { goal: ClaimGoal::Acquire, phase }
    }

    /// Creates a machine that records the outcome on the claim that the attempt
    /// acquired at `version`.
    #[must_use]
    pub fn record(
        request: &ClaimRequest,
        version: ObjectVersion,
        outcome: ClaimOutcome,
        answer: Option<String>,
    ) -> Self {
        let write = request.outcome_write(version, outcome, answer.as_deref());
        let phase = ClaimPhase::write(write, WritePurpose::RecordOutcome);
        Self { goal: ClaimGoal::Record { outcome, answer }, phase }
    }

    /// Creates a machine that records that the attempt did not run, on a claim that
    /// it may own.
    #[must_use]
    pub const fn abandon() -> Self {
        let goal = ClaimGoal::Record { outcome: ClaimOutcome::NotRun, answer: None };
        Self { goal, phase: ClaimPhase::Reading }
    }

    /// Returns the next call to make.
    #[must_use]
    pub const fn step(&self) -> ClaimStep<'_> {
        match &self.phase {
            ClaimPhase::Reading => ClaimStep::Read,
            ClaimPhase::Writing { resolver, write, .. } => match resolver.step() {
                ResolveStep::Put => ClaimStep::Write(write),
                _ => ClaimStep::Read,
            },
            ClaimPhase::Ended(result) => ClaimStep::Done(result),
        }
    }

    /// Handles the outcome of a write.
    pub fn on_write(&mut self, outcome: PutOutcome) {
        let ClaimPhase::Writing { resolver, .. } = &mut self.phase else { return };
        resolver.on_put(outcome);
        if let ResolveStep::Done(outcome) = resolver.step() {
            self.phase = self.after_write(outcome);
        }
    }

    /// Handles the result of a read; `owner_status` returns what is known of the
    /// owner of an open claim.
    pub fn on_read(
        &mut self,
        read: ClaimRead<'_>,
        request: &ClaimRequest,
        owner_status: impl FnOnce(&ClaimRecord) -> OwnerStatus,
    ) {
        if let ClaimPhase::Writing { resolver, write, purpose } = &mut self.phase {
            resolver.on_read(read_outcome(read, write, *purpose));
            match resolver.step() {
                // The read shows a claim that this write can no longer change, so the
                // decision below is based on the same read.
                ResolveStep::Done(ResolvedOutcome::Superseded) => {}
                ResolveStep::Done(outcome) => {
                    self.phase = self.after_write(outcome);
                    return;
                }
                _ => return,
            }
        }
        if matches!(self.phase, ClaimPhase::Ended(_)) {
            return;
        }
        if let ClaimRead::Seen(existing) = read {
            self.phase = self.decide(existing, request, owner_status);
        }
    }

    /// Returns the result to report if the deadline allows no further call.
    #[must_use]
    pub fn result_at_deadline(&self) -> ClaimResult {
        match &self.phase {
            ClaimPhase::Ended(result) => result.clone(),
            ClaimPhase::Reading => self.result_without_decision(false),
            ClaimPhase::Writing { purpose: WritePurpose::RecordUnknown, .. } => {
                ClaimResult::InProgress
            }
            ClaimPhase::Writing { resolver, .. } => self.result_without_decision(
                resolver.outcome_at_deadline() == ResolvedOutcome::StillUnknown,
            ),
        }
    }

    /// Returns the result when no read has led to a decision.
    ///
    /// `may_take_effect` says whether a write of this attempt may have taken effect,
    /// or may still do so.
    fn result_without_decision(&self, may_take_effect: bool) -> ClaimResult {
        match (&self.goal, may_take_effect) {
            (ClaimGoal::Acquire, true) => ClaimResult::Uncertain,
            (ClaimGoal::Acquire, false) => ClaimResult::NotClaimed,
            (ClaimGoal::Record { .. }, _) => ClaimResult::NotRecorded,
        }
    }

    fn after_write(&self, outcome: ResolvedOutcome) -> ClaimPhase {
        let ClaimPhase::Writing { purpose, .. } = &self.phase else { return self.phase.clone() };
        match (outcome, purpose) {
            (ResolvedOutcome::Written(version), WritePurpose::Acquire) => {
                ClaimPhase::Ended(ClaimResult::Acquired(version))
            }
            (ResolvedOutcome::Written(_), WritePurpose::RecordUnknown) => {
                let outcome = ClaimOutcome::Unknown;
                ClaimPhase::Ended(ClaimResult::Replay(RecordedOutcome { outcome, answer: None }))
            }
            (ResolvedOutcome::Written(_), WritePurpose::RecordOutcome) => {
                ClaimPhase::Ended(ClaimResult::Recorded)
            }
            (ResolvedOutcome::LostRace | ResolvedOutcome::Superseded, _) => ClaimPhase::Reading,
            (ResolvedOutcome::NotWritten | ResolvedOutcome::StillUnknown, _) => {
                ClaimPhase::Ended(self.result_at_deadline())
            }
        }
    }

    fn decide(
        &self,
        existing: Option<&StoredObject>,
        request: &ClaimRequest,
        owner_status: impl FnOnce(&ClaimRecord) -> OwnerStatus,
    ) -> ClaimPhase {
        let phase = match &self.goal {
            ClaimGoal::Acquire => {
                decide_claim(existing, request, owner_status).map(ClaimPhase::after_claim)
            }
            ClaimGoal::Record { outcome, answer } => {
                decide_record(existing, request, *outcome, answer.as_deref())
                    .map(ClaimPhase::after_record)
            }
        };
        phase.unwrap_or(ClaimPhase::Ended(ClaimResult::Malformed))
    }
}

impl ClaimPhase {
    const fn write(write: ClaimWrite, purpose: WritePurpose) -> Self {
        Self::Writing { resolver: WriteResolver::new(write.condition), write, purpose }
    }

    fn after_claim(decision: ClaimDecision) -> Self {
        match decision {
            ClaimDecision::Acquire(write) => Self::write(write, WritePurpose::Acquire),
            ClaimDecision::AlreadyOwned(version) => Self::Ended(ClaimResult::Acquired(version)),
            ClaimDecision::RecordUnknown(write) => Self::write(write, WritePurpose::RecordUnknown),
            ClaimDecision::Replay(recorded) => Self::Ended(ClaimResult::Replay(recorded)),
            ClaimDecision::InProgress => Self::Ended(ClaimResult::InProgress),
            ClaimDecision::Mismatch => Self::Ended(ClaimResult::Mismatch),
        }
    }

    fn after_record(decision: RecordDecision) -> Self {
        match decision {
            RecordDecision::Write(write) => Self::write(write, WritePurpose::RecordOutcome),
            RecordDecision::Recorded => Self::Ended(ClaimResult::Recorded),
            RecordDecision::NotOwner => Self::Ended(ClaimResult::NotOwner),
        }
    }
}

/// Converts the result of reading the claim back after `write`.
///
/// The read shows the write when the stored attempt and state equal the written
/// ones. For an acquisition, an equal attempt is enough, as its outcome may have been
/// recorded since.
fn read_outcome(read: ClaimRead<'_>, write: &ClaimWrite, purpose: WritePurpose) -> ReadOutcome {
    let object = match read {
        ClaimRead::Failed => return ReadOutcome::Failed,
        ClaimRead::Seen(None) => return ReadOutcome::Missing,
        ClaimRead::Seen(Some(object)) => object,
    };
    let is_own_write = ClaimRecord::try_from(object).is_ok_and(|record| match purpose {
        WritePurpose::Acquire => record.attempt == write.record.attempt,
        WritePurpose::RecordUnknown | WritePurpose::RecordOutcome => {
            record.attempt == write.record.attempt && record.state == write.record.state
        }
    });
    ReadOutcome::Present { version: object.version, is_own_write }
}
