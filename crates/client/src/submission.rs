//! The submission of one patch, as a state machine that performs no I/O.
//!
//! Concurrent submissions are serialized by the platform's conditional update.
//! A write whose response was lost may have taken effect or may still do so. It
//! is retried only under the same condition, so at most one of the attempts can
//! succeed; the patch id that is read back shows whether one did.

use std::{cmp::Ordering, time::Duration};

use carobstep_chart::{ChartError, StateChart};
use carobstep_config::{ConfigPatch, ConfigRecord, ConfigVersion, PatchError, apply_patch};
use carobstep_store::{
    ObjectCall, ObjectKind, ObjectReply, ObjectVersion, StoreError, StoreErrorKind, StoredObject,
    WriteCondition,
};
use strum::EnumString;

use crate::platform::{CURRENT_NAME, parse_record, record_value};

/// Maximum number of failed calls and inconclusive replies that one submission
/// retries.
const MAX_FAILURES: u32 = 8;

/// Delay after the first failure; it doubles with each further one.
const INITIAL_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Maximum delay between two calls.
const MAX_RETRY_DELAY: Duration = Duration::from_millis(1_600);

const CHART: &str = include_str!("../charts/submit.jsonc");

/// Phase of a submission, named after its state in `charts/submit.jsonc`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, EnumString)]
#[strum(serialize_all = "snake_case")]
enum SubmitPhase {
    /// Reads the configuration in force.
    Reading,
    /// Checks whether the history contains the base version.
    Checking,
    /// Adds the base version to the history.
    Archiving,
    /// Replaces the configuration in force by the new version.
    Writing,
    /// Reads the version after the base from the history, to find out which patch
    /// created it.
    Settling,
    /// Reads the base version from the history, to compare the result of the patch
    /// with the version found under its id.
    Comparing,
    /// Adds the new version to the history.
    Recording,
    /// Checks whether the history contains the new version after a failed attempt
    /// to add it.
    Confirming,
    /// The outcome is determined; no further call is made.
    Finished,
}

/// Event of a submission, as used in `charts/submit.jsonc`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, EnumString)]
#[strum(serialize_all = "snake_case")]
enum SubmitEvent {
    /// The base version is in force.
    BaseInForce,
    /// A version later than the one after the base is in force.
    LaterInForce,
    /// The version after the base has this patch's id, but may stem from another
    /// change with the same id.
    OwnFound,
    /// The version after the base was created by this patch.
    OwnConfirmed,
    /// The history contains the version that was checked or added.
    Archived,
    /// The history does not contain the version that was checked.
    Unarchived,
    /// The platform confirmed the write.
    Written,
    /// The call failed or its reply was inconclusive; the submission goes on.
    Failed,
    /// The outcome is determined.
    Ended,
}

/// The next step that the caller has to perform.
#[derive(Clone, Debug, PartialEq)]
pub enum SubmitStep {
    /// Wait, make the call and pass its result to [`PatchSubmission::advance`].
    Call {
        /// The call to make.
        call: ObjectCall,
        /// Time to wait before the call.
        delay: Duration,
    },
    /// The submission has ended.
    Finish(Box<SubmitOutcome>),
}

/// Outcome of a submission.
#[derive(Clone, Debug, PartialEq)]
pub enum SubmitOutcome {
    /// The patch was accepted.
    Accepted {
        /// The configuration that the patch created.
        record: ConfigRecord,
        /// Version in force when it was last read. It is later than that of
        /// `record` if further patches were accepted meanwhile.
        in_force: ConfigVersion,
        /// How the acceptance was determined.
        proof: AcceptanceProof,
        /// Whether the record is known to be in the history.
        archived: bool,
    },
    /// The patch was not built on the version in force; nothing changed.
    Conflict {
        /// Version that the patch was built on.
        base: ConfigVersion,
        /// Version in force.
        in_force: ConfigVersion,
    },
    /// The patch is invalid for the configuration; nothing changed.
    Refused(PatchError),
    /// The patch id was already used for another change; nothing changed.
    IdReused {
        /// Version that the other change created.
        version: ConfigVersion,
    },
    /// The platform holds no configuration; nothing changed.
    NoConfiguration,
    /// The platform is unavailable or replied unexpectedly; nothing changed.
    Unavailable(String),
    /// Whether the patch was accepted could not be determined.
    Unknown(String),
}

/// How the acceptance of a patch was determined.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "snake_case")]
pub enum AcceptanceProof {
    /// The platform confirmed the write.
    Reply,
    /// The response to the write was lost, but the patch id was read back.
    ReadBack,
    /// The patch was already accepted before this run wrote anything.
    EarlierRun,
}

/// The write that a submission makes, computed from the base version.
#[derive(Clone, Debug)]
struct WritePlan {
    /// Object version that the configuration in force must still have.
    object_version: ObjectVersion,
    /// The base version.
    before: ConfigRecord,
    /// The version that the patch creates.
    after: ConfigRecord,
}

/// State machine that submits one patch.
#[derive(Debug)]
pub struct PatchSubmission {
    chart: StateChart<SubmitPhase, SubmitEvent>,
    phase: SubmitPhase,
    patch: ConfigPatch,
    plan: Option<WritePlan>,
    accepted: Option<ConfigRecord>,
    proof: AcceptanceProof,
    in_force: ConfigVersion,
    failures: u32,
    /// Whether a write was sent whose outcome is unknown.
    outcome_unknown: bool,
    /// Whether the patch id is certain not to have been used by an earlier run.
    is_new_id: bool,
}

impl TryFrom<ConfigPatch> for PatchSubmission {
    type Error = ChartError;

    fn try_from(patch: ConfigPatch) -> Result<Self, ChartError> {
        let chart = StateChart::parse(CHART)?;
        let phase = chart.initial();
        Ok(Self {
            chart,
            phase,
            in_force: patch.base,
            patch,
            plan: None,
            accepted: None,
            proof: AcceptanceProof::EarlierRun,
            failures: 0,
            outcome_unknown: false,
            is_new_id: false,
        })
    }
}

impl PatchSubmission {
    /// Declares that the patch id has not been used by an earlier run.
    #[must_use]
    pub fn with_new_id(mut self) -> Self {
        self.is_new_id = true;
        self
    }

    /// Returns the first step.
    #[must_use]
    pub fn start(&self) -> SubmitStep {
        self.call(Duration::ZERO)
    }

    /// Handles the result of the last call and returns the next step.
    pub fn advance(&mut self, result: Result<ObjectReply, StoreError>) -> SubmitStep {
        let reply = match result {
            Ok(reply) => reply,
            Err(error) => return self.on_error(&error),
        };
        match (self.phase, reply) {
            (SubmitPhase::Reading, ObjectReply::Found(object)) => self.on_current(&object),
            (SubmitPhase::Reading, ObjectReply::Missing) => {
                self.finish(SubmitOutcome::NoConfiguration)
            }
            (SubmitPhase::Checking, ObjectReply::Found(_))
            | (SubmitPhase::Archiving, ObjectReply::Written(_) | ObjectReply::ConditionFailed) => {
                self.proceed(SubmitEvent::Archived)
            }
            (SubmitPhase::Checking | SubmitPhase::Confirming, ObjectReply::Missing) => {
                self.proceed(SubmitEvent::Unarchived)
            }
            (SubmitPhase::Writing, ObjectReply::Written(_)) => self.on_written(),
            (SubmitPhase::Writing, ObjectReply::ConditionFailed) => {
                self.retry("the platform rejected the conditional write but shows no newer version")
            }
            (SubmitPhase::Settling, ObjectReply::Found(object)) => self.on_successor(&object),
            (SubmitPhase::Settling, ObjectReply::Missing) => self.on_missing_successor(),
            (SubmitPhase::Comparing, ObjectReply::Found(object)) => self.on_base(&object),
            // The base was pruned from the history, so only the patch id can be compared.
            (SubmitPhase::Comparing, ObjectReply::Missing) => {
                self.proceed(SubmitEvent::OwnConfirmed)
            }
            (SubmitPhase::Confirming, ObjectReply::Found(_))
            | (SubmitPhase::Recording, ObjectReply::Written(_) | ObjectReply::ConditionFailed) => {
                self.finish_accepted(true)
            }
            (phase, reply) => {
                let message = format!("unexpected reply in phase {phase:?}: {reply:?}");
                self.abandon(message)
            }
        }
    }

    fn on_error(&mut self, error: &StoreError) -> SubmitStep {
        match error.kind() {
            StoreErrorKind::Rejected => self.abandon(error.to_string()),
            StoreErrorKind::AnswerLost => {
                self.outcome_unknown |= self.phase == SubmitPhase::Writing;
                self.retry(&error.to_string())
            }
            StoreErrorKind::NotSent | StoreErrorKind::VersionGone => self.retry(&error.to_string()),
        }
    }

    fn on_current(&mut self, object: &StoredObject) -> SubmitStep {
        let record = match parse_record(ObjectKind::Config, object) {
            Ok(record) => record,
            Err(error) => return self.abandon(error.to_string()),
        };
        self.in_force = record.version;
        match record.version.cmp(&self.patch.base) {
            Ordering::Less if self.failures < MAX_FAILURES => {
                self.retry("the platform shows a version older than the base")
            }
            // Still older after all retries, so the base version is taken not to exist.
            Ordering::Less => self.finish_conflict(),
            Ordering::Equal => self.on_base_in_force(object.version, record),
            Ordering::Greater if record.version == self.patch.base.next() => {
                self.on_successor_record(record)
            }
            Ordering::Greater => self.proceed(SubmitEvent::LaterInForce),
        }
    }

    fn on_base_in_force(
        &mut self,
        object_version: ObjectVersion,
        before: ConfigRecord,
    ) -> SubmitStep {
        if self.plan.is_some() {
            return self.proceed(SubmitEvent::BaseInForce);
        }
        if before.patch_id == self.patch.id.as_str() {
            return self.finish(SubmitOutcome::IdReused { version: before.version });
        }
        match apply_patch(&before, &self.patch) {
            Ok(after) => {
                self.plan = Some(WritePlan { object_version, before, after });
                self.proceed(SubmitEvent::BaseInForce)
            }
            Err(error) => self.finish(SubmitOutcome::Refused(error)),
        }
    }

    fn on_written(&mut self) -> SubmitStep {
        let Some(plan) = &self.plan else { return self.abandon("no write planned".to_owned()) };
        self.in_force = plan.after.version;
        self.accepted = Some(plan.after.clone());
        self.proof = AcceptanceProof::Reply;
        self.proceed(SubmitEvent::Written)
    }

    fn on_successor(&mut self, object: &StoredObject) -> SubmitStep {
        match parse_record(ObjectKind::History, object) {
            Ok(record) => self.on_successor_record(record),
            Err(error) => self.abandon(error.to_string()),
        }
    }

    /// Handles the case that the version after the base was pruned from the history.
    fn on_missing_successor(&mut self) -> SubmitStep {
        if self.is_new_id && !self.outcome_unknown {
            return self.finish_conflict();
        }
        let version = self.patch.base.next();
        let message = format!("history/{version} is missing, so its patch id is not known");
        self.finish(SubmitOutcome::Unknown(message))
    }

    /// Checks whether the version after the base was created by this patch.
    fn on_successor_record(&mut self, record: ConfigRecord) -> SubmitStep {
        if record.patch_id != self.patch.id.as_str() {
            return self.finish_conflict();
        }
        self.accepted = Some(record);
        if self.plan.is_none() {
            return self.proceed(SubmitEvent::OwnFound);
        }
        self.proof = AcceptanceProof::ReadBack;
        self.proceed(SubmitEvent::OwnConfirmed)
    }

    /// Compares the record found under this patch id with the result of applying the
    /// patch to the base, to distinguish an earlier run from a reused id.
    fn on_base(&mut self, object: &StoredObject) -> SubmitStep {
        let before = match parse_record(ObjectKind::History, object) {
            Ok(record) => record,
            Err(error) => return self.abandon(error.to_string()),
        };
        let expected = apply_patch(&before, &self.patch).map(|after| after.document);
        let found = self.accepted.as_ref().map(|record| &record.document);
        if expected.as_ref().ok() == found {
            return self.proceed(SubmitEvent::OwnConfirmed);
        }
        let version = self.patch.base.next();
        self.finish(SubmitOutcome::IdReused { version })
    }

    /// Retries after a growing delay, or abandons the submission after
    /// `MAX_FAILURES`.
    fn retry(&mut self, reason: &str) -> SubmitStep {
        if self.failures >= MAX_FAILURES {
            return self.abandon(reason.to_owned());
        }
        let delay = MAX_RETRY_DELAY.min(INITIAL_RETRY_DELAY * 2u32.pow(self.failures));
        self.failures += 1;
        self.transition(SubmitEvent::Failed);
        self.call(delay)
    }

    /// Changes the phase and makes its call without delay.
    fn proceed(&mut self, event: SubmitEvent) -> SubmitStep {
        self.transition(event);
        self.call(Duration::ZERO)
    }

    /// Ends the submission after an error, with the outcome known so far.
    fn abandon(&mut self, reason: String) -> SubmitStep {
        match self.phase {
            SubmitPhase::Recording | SubmitPhase::Confirming => self.finish_accepted(false),
            _ if self.outcome_unknown => self.finish(SubmitOutcome::Unknown(reason)),
            _ => self.finish(SubmitOutcome::Unavailable(reason)),
        }
    }

    fn finish_conflict(&mut self) -> SubmitStep {
        let (base, in_force) = (self.patch.base, self.in_force);
        self.finish(SubmitOutcome::Conflict { base, in_force })
    }

    fn finish_accepted(&mut self, archived: bool) -> SubmitStep {
        let (in_force, proof) = (self.in_force, self.proof);
        match self.accepted.take() {
            Some(record) => {
                self.finish(SubmitOutcome::Accepted { record, in_force, proof, archived })
            }
            None => self.finish(SubmitOutcome::Unavailable("no record to archive".to_owned())),
        }
    }

    fn finish(&mut self, outcome: SubmitOutcome) -> SubmitStep {
        self.transition(SubmitEvent::Ended);
        SubmitStep::Finish(Box::new(outcome))
    }

    /// Changes the phase according to the state chart.
    fn transition(&mut self, event: SubmitEvent) {
        self.phase = self.chart.next(self.phase, event).unwrap_or(SubmitPhase::Finished);
    }

    /// Returns the call that belongs to the current phase.
    fn call(&self, delay: Duration) -> SubmitStep {
        let base = self.patch.base;
        let call = match (self.phase, &self.plan, &self.accepted) {
            (SubmitPhase::Settling | SubmitPhase::Confirming, ..) => {
                get_call(ObjectKind::History, &base.next().to_string())
            }
            (SubmitPhase::Checking | SubmitPhase::Comparing, ..) => {
                get_call(ObjectKind::History, &base.to_string())
            }
            (SubmitPhase::Archiving, Some(plan), _) => archive_call(&plan.before),
            (SubmitPhase::Writing, Some(plan), _) => ObjectCall::Put {
                kind: ObjectKind::Config,
                name: CURRENT_NAME.to_owned(),
                condition: WriteCondition::At(plan.object_version),
                value: record_value(&plan.after),
            },
            (SubmitPhase::Recording, _, Some(record)) => archive_call(record),
            _ => get_call(ObjectKind::Config, CURRENT_NAME),
        };
        SubmitStep::Call { call, delay }
    }
}

/// Returns the call that reads one object.
fn get_call(kind: ObjectKind, name: &str) -> ObjectCall {
    ObjectCall::Get { kind, name: name.to_owned() }
}

/// Returns the call that adds a record to the history unless it exists.
pub(crate) fn archive_call(record: &ConfigRecord) -> ObjectCall {
    ObjectCall::Put {
        kind: ObjectKind::History,
        name: record.version.to_string(),
        condition: WriteCondition::Absent,
        value: record_value(record),
    }
}
