//! The order of calls that takes a claim or records its outcome.

use crate::{
    call::{ObjectVersion, StoredObject},
    claim::{
        ClaimDecision, ClaimOutcome, ClaimRecord, ClaimRequest, ClaimWrite, OwnerSight,
        RecordDecision, RecordedOutcome, decide_claim, record_outcome,
    },
    settle::{PutEnd, ReadEnd, SettleEnd, SettleStep, WriteSettlement},
};

/// How a [`ClaimMachine`] ends.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum ClaimEnd {
    /// The claim is the attempt's own, at this version: it may dispatch.
    Acquired(ObjectVersion),
    /// The outcome of an earlier attempt is recorded: report it.
    Replay(RecordedOutcome),
    /// Another attempt is at work: report the outcome as unknown yet.
    InProgress,
    /// The key was used with another body: refuse as not run.
    Mismatch,
    /// The claim is not the attempt's own and won't be: refuse as not run.
    NotClaimed,
    /// The claim may become the attempt's own, which must not dispatch any
    /// more: refuse as not run, and record that later with
    /// [`ClaimMachine::abandon`].
    Uncertain,
    /// The claim's object makes no sense: refuse as not run.
    Unreadable,
    /// The outcome is recorded.
    Recorded,
    /// The claim belongs to another attempt: nothing was recorded.
    NotOwner,
    /// The outcome is perhaps not recorded.
    NotRecorded,
}

/// What to do next.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ClaimStep<'a> {
    /// Read the claim.
    Read,
    /// Write the claim.
    Write(&'a ClaimWrite),
    /// Nothing: this is the end.
    Done(&'a ClaimEnd),
}

/// What a read of the claim returned.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum ClaimRead<'a> {
    /// The object, or its absence.
    Seen(Option<&'a StoredObject>),
    /// No answer.
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
    /// Makes the claim the attempt's own.
    Take,
    /// Records on the claim of another that its outcome is unknown.
    MarkUnknown,
    /// Records the attempt's own outcome.
    Close,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum ClaimPhase {
    Reading,
    Writing { settlement: WriteSettlement, write: ClaimWrite, purpose: WritePurpose },
    Ended(ClaimEnd),
}

/// Takes a claim or records its outcome; pure, without time and calls.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct ClaimMachine {
    goal: ClaimGoal,
    phase: ClaimPhase,
}

impl ClaimMachine {
    /// Starts to take the claim, by creating it.
    #[must_use]
    pub fn acquire(request: &ClaimRequest) -> Self {
        let phase = ClaimPhase::write(request.create(), WritePurpose::Take);
        Self { goal: ClaimGoal::Acquire, phase }
    }

    /// Starts to record the outcome on the claim that the attempt acquired at `version`.
    #[must_use]
    pub fn record(
        request: &ClaimRequest,
        version: ObjectVersion,
        outcome: ClaimOutcome,
        answer: Option<String>,
    ) -> Self {
        let write = request.close(version, outcome, answer.as_deref());
        let phase = ClaimPhase::write(write, WritePurpose::Close);
        Self { goal: ClaimGoal::Record { outcome, answer }, phase }
    }

    /// Starts to record that the attempt did not run, on a claim that it took
    /// without knowing.
    #[must_use]
    pub const fn abandon() -> Self {
        let goal = ClaimGoal::Record { outcome: ClaimOutcome::NotRun, answer: None };
        Self { goal, phase: ClaimPhase::Reading }
    }

    /// What to do next.
    #[must_use]
    pub const fn step(&self) -> ClaimStep<'_> {
        match &self.phase {
            ClaimPhase::Reading => ClaimStep::Read,
            ClaimPhase::Writing { settlement, write, .. } => match settlement.step() {
                SettleStep::Put => ClaimStep::Write(write),
                _ => ClaimStep::Read,
            },
            ClaimPhase::Ended(end) => ClaimStep::Done(end),
        }
    }

    /// Takes the end of a write.
    pub fn on_write(&mut self, end: PutEnd) {
        let ClaimPhase::Writing { settlement, .. } = &mut self.phase else { return };
        settlement.on_put(end);
        if let SettleStep::Done(end) = settlement.step() {
            self.phase = self.after_write(end);
        }
    }

    /// Takes what a read returned; `sight` tells what is known of the owner of
    /// an open claim.
    pub fn on_read(
        &mut self,
        read: ClaimRead<'_>,
        request: &ClaimRequest,
        sight: impl FnOnce(&ClaimRecord) -> OwnerSight,
    ) {
        if let ClaimPhase::Writing { settlement, write, purpose } = &mut self.phase {
            settlement.on_read(read_end(read, write, *purpose));
            match settlement.step() {
                SettleStep::Done(SettleEnd::Superseded) => {}
                SettleStep::Done(end) => {
                    self.phase = self.after_write(end);
                    return;
                }
                _ => return,
            }
        }
        if matches!(self.phase, ClaimPhase::Ended(_)) {
            return;
        }
        if let ClaimRead::Seen(existing) = read {
            self.phase = self.decide(existing, request, sight);
        }
    }

    /// Ends the machine at its deadline.
    #[must_use]
    pub fn give_up(&self) -> ClaimEnd {
        match &self.phase {
            ClaimPhase::Ended(end) => end.clone(),
            ClaimPhase::Reading => self.undecided(false),
            ClaimPhase::Writing { purpose: WritePurpose::MarkUnknown, .. } => ClaimEnd::InProgress,
            ClaimPhase::Writing { settlement, .. } => {
                self.undecided(settlement.give_up() == SettleEnd::StillUnknown)
            }
        }
    }

    fn undecided(&self, may_land: bool) -> ClaimEnd {
        match (&self.goal, may_land) {
            (ClaimGoal::Acquire, true) => ClaimEnd::Uncertain,
            (ClaimGoal::Acquire, false) => ClaimEnd::NotClaimed,
            (ClaimGoal::Record { .. }, _) => ClaimEnd::NotRecorded,
        }
    }

    fn after_write(&self, end: SettleEnd) -> ClaimPhase {
        let ClaimPhase::Writing { purpose, .. } = &self.phase else { return self.phase.clone() };
        match (end, purpose) {
            (SettleEnd::Written(version), WritePurpose::Take) => {
                ClaimPhase::Ended(ClaimEnd::Acquired(version))
            }
            (SettleEnd::Written(_), WritePurpose::MarkUnknown) => {
                let outcome = ClaimOutcome::Unknown;
                ClaimPhase::Ended(ClaimEnd::Replay(RecordedOutcome { outcome, answer: None }))
            }
            (SettleEnd::Written(_), WritePurpose::Close) => ClaimPhase::Ended(ClaimEnd::Recorded),
            (SettleEnd::LostRace | SettleEnd::Superseded, _) => ClaimPhase::Reading,
            (SettleEnd::NotWritten | SettleEnd::StillUnknown, _) => {
                ClaimPhase::Ended(self.give_up())
            }
        }
    }

    fn decide(
        &self,
        existing: Option<&StoredObject>,
        request: &ClaimRequest,
        sight: impl FnOnce(&ClaimRecord) -> OwnerSight,
    ) -> ClaimPhase {
        let phase = match &self.goal {
            ClaimGoal::Acquire => {
                decide_claim(existing, request, sight).map(ClaimPhase::after_claim)
            }
            ClaimGoal::Record { outcome, answer } => {
                record_outcome(existing, request, *outcome, answer.as_deref())
                    .map(ClaimPhase::after_record)
            }
        };
        phase.unwrap_or(ClaimPhase::Ended(ClaimEnd::Unreadable))
    }
}

impl ClaimPhase {
    const fn write(write: ClaimWrite, purpose: WritePurpose) -> Self {
        Self::Writing { settlement: WriteSettlement::new(write.condition), write, purpose }
    }

    fn after_claim(decision: ClaimDecision) -> Self {
        match decision {
            ClaimDecision::Take(write) => Self::write(write, WritePurpose::Take),
            ClaimDecision::Own(version) => Self::Ended(ClaimEnd::Acquired(version)),
            ClaimDecision::RecordUnknown(write) => Self::write(write, WritePurpose::MarkUnknown),
            ClaimDecision::Replay(recorded) => Self::Ended(ClaimEnd::Replay(recorded)),
            ClaimDecision::InProgress => Self::Ended(ClaimEnd::InProgress),
            ClaimDecision::Mismatch => Self::Ended(ClaimEnd::Mismatch),
        }
    }

    fn after_record(decision: RecordDecision) -> Self {
        match decision {
            RecordDecision::Write(write) => Self::write(write, WritePurpose::Close),
            RecordDecision::Recorded => Self::Ended(ClaimEnd::Recorded),
            RecordDecision::NotOwner => Self::Ended(ClaimEnd::NotOwner),
        }
    }
}

/// Tells whether a read shows the write, or a later state of the claim that it took.
fn read_end(read: ClaimRead<'_>, write: &ClaimWrite, purpose: WritePurpose) -> ReadEnd {
    let object = match read {
        ClaimRead::Failed => return ReadEnd::Failed,
        ClaimRead::Seen(None) => return ReadEnd::Missing,
        ClaimRead::Seen(Some(object)) => object,
    };
    let ours = ClaimRecord::try_from(object).is_ok_and(|record| match purpose {
        WritePurpose::Take => record.attempt == write.record.attempt,
        WritePurpose::MarkUnknown | WritePurpose::Close => {
            record.attempt == write.record.attempt && record.state == write.record.state
        }
    });
    ReadEnd::Present { version: object.version, ours }
}
