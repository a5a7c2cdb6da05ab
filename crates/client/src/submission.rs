//! The steps of submitting one patch, as a pure state machine.
//!
//! The platform's conditional update decides between racing operators. A write
//! whose answer was lost may have taken effect or may still do so; it is
//! repeated only under the same condition, so that at most one of the copies
//! can succeed, and the patch id read back tells whether one did.

use std::{cmp::Ordering, time::Duration};

use carobstep_chart::{ChartError, StateChart};
use carobstep_config::{ConfigPatch, ConfigRecord, ConfigVersion, PatchError, apply};
use carobstep_store::{
    ObjectCall, ObjectKind, ObjectReply, ObjectVersion, StoreError, StoreErrorKind, StoredObject,
    WriteCondition,
};
use strum::EnumString;

use crate::platform::{CURRENT_NAME, read_record, record_value};

/// Failed calls and unclear replies that one submission sits out.
const MAX_FAILURES: u32 = 8;

/// Pause after the first failure; it doubles with each further one.
const FIRST_PAUSE: Duration = Duration::from_millis(50);

/// Longest pause between two calls.
const MAX_PAUSE: Duration = Duration::from_millis(1_600);

const CHART: &str = include_str!("../charts/submit.jsonc");

#[derive(Clone, Copy, Debug, PartialEq, Eq, EnumString)]
#[strum(serialize_all = "snake_case")]
enum SubmitPhase {
    Reading,
    Checking,
    Archiving,
    Writing,
    Settling,
    Comparing,
    Recording,
    Confirming,
    Finished,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, EnumString)]
#[strum(serialize_all = "snake_case")]
enum SubmitEvent {
    BaseInForce,
    LaterInForce,
    OwnFound,
    OwnConfirmed,
    Archived,
    Unarchived,
    Written,
    Failed,
    Ended,
}

/// What to do next.
#[derive(Clone, Debug, PartialEq)]
pub enum SubmitStep {
    /// Wait, make the call and hand its result to [`PatchSubmission::advance`].
    Call {
        /// The call.
        call: ObjectCall,
        /// Time to wait before it.
        pause: Duration,
    },
    /// The submission is over.
    Finish(Box<SubmitOutcome>),
}

/// How a submission ended.
#[derive(Clone, Debug, PartialEq)]
pub enum SubmitOutcome {
    /// The patch was accepted.
    Accepted {
        /// The configuration that the patch made.
        record: ConfigRecord,
        /// Version in force when it was last read; later than the record's
        /// when another patch followed.
        in_force: ConfigVersion,
        /// How its acceptance was learnt.
        proof: AcceptanceProof,
        /// Whether the history is known to hold the record.
        archived: bool,
    },
    /// Another patch came first; nothing changed.
    Conflict {
        /// Version that the patch was built on.
        base: ConfigVersion,
        /// Version in force.
        in_force: ConfigVersion,
    },
    /// The patch does not fit the configuration; nothing changed.
    Refused(PatchError),
    /// The patch id belongs to another change; nothing changed.
    IdReused {
        /// Version that the other change made.
        version: ConfigVersion,
    },
    /// The platform holds no configuration; nothing changed.
    NoConfiguration,
    /// The platform could not be used; nothing changed.
    Unavailable(String),
    /// A write was sent and the platform could not be asked what became of it.
    Unknown(String),
}

/// How the acceptance of a patch was learnt.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "snake_case")]
pub enum AcceptanceProof {
    /// The platform answered the write.
    Reply,
    /// The answer was lost; the patch id was read back.
    ReadBack,
    /// The patch id was there before this run wrote anything.
    EarlierRun,
}

/// The write that a submission makes, computed from the base.
#[derive(Clone, Debug)]
struct WritePlan {
    at: ObjectVersion,
    before: ConfigRecord,
    after: ConfigRecord,
}

/// The submission of one patch.
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
    /// Whether a write was sent whose effect is not known.
    doubtful: bool,
    /// Whether no earlier run can have used the patch id.
    id_is_fresh: bool,
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
            doubtful: false,
            id_is_fresh: false,
        })
    }
}

impl PatchSubmission {
    /// Declares that no earlier run can have used the patch id.
    #[must_use]
    pub fn with_fresh_id(mut self) -> Self {
        self.id_is_fresh = true;
        self
    }

    /// The first step.
    #[must_use]
    pub fn start(&self) -> SubmitStep {
        self.call(Duration::ZERO)
    }

    /// Takes the result of the last call and decides the next step.
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
                self.retry("the platform refused the write but shows no newer version")
            }
            (SubmitPhase::Settling, ObjectReply::Found(object)) => self.on_successor(&object),
            (SubmitPhase::Settling, ObjectReply::Missing) => self.on_missing_successor(),
            (SubmitPhase::Comparing, ObjectReply::Found(object)) => self.on_base(&object),
            (SubmitPhase::Comparing, ObjectReply::Missing) => {
                self.proceed(SubmitEvent::OwnConfirmed)
            }
            (SubmitPhase::Confirming, ObjectReply::Found(_))
            | (SubmitPhase::Recording, ObjectReply::Written(_) | ObjectReply::ConditionFailed) => {
                self.finish_accepted(true)
            }
            (phase, reply) => {
                let message = format!("unexpected reply while {phase:?}: {reply:?}");
                self.give_up(message)
            }
        }
    }

    fn on_error(&mut self, error: &StoreError) -> SubmitStep {
        match error.kind() {
            StoreErrorKind::Rejected => self.give_up(error.to_string()),
            StoreErrorKind::AnswerLost => {
                self.doubtful |= self.phase == SubmitPhase::Writing;
                self.retry(&error.to_string())
            }
            StoreErrorKind::NotSent | StoreErrorKind::VersionGone => self.retry(&error.to_string()),
        }
    }

    fn on_current(&mut self, object: &StoredObject) -> SubmitStep {
        let record = match read_record(ObjectKind::Config, object) {
            Ok(record) => record,
            Err(error) => return self.give_up(error.to_string()),
        };
        self.in_force = record.version;
        match record.version.cmp(&self.patch.base) {
            Ordering::Less if self.failures < MAX_FAILURES => {
                self.retry("the platform shows a version older than the base")
            }
            Ordering::Less => self.finish_conflict(),
            Ordering::Equal => self.on_base_in_force(object.version, record),
            Ordering::Greater if record.version == self.patch.base.next() => {
                self.on_successor_record(record)
            }
            Ordering::Greater => self.proceed(SubmitEvent::LaterInForce),
        }
    }

    fn on_base_in_force(&mut self, at: ObjectVersion, before: ConfigRecord) -> SubmitStep {
        if self.plan.is_some() {
            return self.proceed(SubmitEvent::BaseInForce);
        }
        if before.patch_id == self.patch.id.as_str() {
            return self.finish(SubmitOutcome::IdReused { version: before.version });
        }
        match apply(&before, &self.patch) {
            Ok(after) => {
                self.plan = Some(WritePlan { at, before, after });
                self.proceed(SubmitEvent::BaseInForce)
            }
            Err(error) => self.finish(SubmitOutcome::Refused(error)),
        }
    }

    fn on_written(&mut self) -> SubmitStep {
        let Some(plan) = &self.plan else { return self.give_up("no write planned".to_owned()) };
        self.in_force = plan.after.version;
        self.accepted = Some(plan.after.clone());
        self.proof = AcceptanceProof::Reply;
        self.proceed(SubmitEvent::Written)
    }

    fn on_successor(&mut self, object: &StoredObject) -> SubmitStep {
        match read_record(ObjectKind::History, object) {
            Ok(record) => self.on_successor_record(record),
            Err(error) => self.give_up(error.to_string()),
        }
    }

    /// Decides when the version after the base was removed from the history.
    fn on_missing_successor(&mut self) -> SubmitStep {
        if self.id_is_fresh && !self.doubtful {
            return self.finish_conflict();
        }
        let version = self.patch.base.next();
        let message = format!("history/{version} is missing, so its patch id is not known");
        self.finish(SubmitOutcome::Unknown(message))
    }

    /// Decides by the record that followed the base: ours or another's.
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

    /// Compares the record that carries our id with what the patch makes.
    fn on_base(&mut self, object: &StoredObject) -> SubmitStep {
        let before = match read_record(ObjectKind::History, object) {
            Ok(record) => record,
            Err(error) => return self.give_up(error.to_string()),
        };
        let expected = apply(&before, &self.patch).map(|after| after.document);
        let found = self.accepted.as_ref().map(|record| &record.document);
        if expected.as_ref().ok() == found {
            return self.proceed(SubmitEvent::OwnConfirmed);
        }
        let version = self.patch.base.next();
        self.finish(SubmitOutcome::IdReused { version })
    }

    fn retry(&mut self, reason: &str) -> SubmitStep {
        if self.failures >= MAX_FAILURES {
            return self.give_up(reason.to_owned());
        }
        let pause = MAX_PAUSE.min(FIRST_PAUSE * 2u32.pow(self.failures));
        self.failures += 1;
        self.step(SubmitEvent::Failed);
        self.call(pause)
    }

    fn proceed(&mut self, event: SubmitEvent) -> SubmitStep {
        self.step(event);
        self.call(Duration::ZERO)
    }

    fn give_up(&mut self, reason: String) -> SubmitStep {
        match self.phase {
            SubmitPhase::Recording | SubmitPhase::Confirming => self.finish_accepted(false),
            _ if self.doubtful => self.finish(SubmitOutcome::Unknown(reason)),
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
        self.step(SubmitEvent::Ended);
        SubmitStep::Finish(Box::new(outcome))
    }

    fn step(&mut self, event: SubmitEvent) {
        self.phase = self.chart.next(self.phase, event).unwrap_or(SubmitPhase::Finished);
    }

    /// The call of the present phase.
    fn call(&self, pause: Duration) -> SubmitStep {
        let base = self.patch.base;
        let call = match (self.phase, &self.plan, &self.accepted) {
            (SubmitPhase::Settling | SubmitPhase::Confirming, ..) => {
                get(ObjectKind::History, &base.next().to_string())
            }
            (SubmitPhase::Checking | SubmitPhase::Comparing, ..) => {
                get(ObjectKind::History, &base.to_string())
            }
            (SubmitPhase::Archiving, Some(plan), _) => archive(&plan.before),
            (SubmitPhase::Writing, Some(plan), _) => ObjectCall::Put {
                kind: ObjectKind::Config,
                name: CURRENT_NAME.to_owned(),
                condition: WriteCondition::At(plan.at),
                value: record_value(&plan.after),
            },
            (SubmitPhase::Recording, _, Some(record)) => archive(record),
            _ => get(ObjectKind::Config, CURRENT_NAME),
        };
        SubmitStep::Call { call, pause }
    }
}

fn get(kind: ObjectKind, name: &str) -> ObjectCall {
    ObjectCall::Get { kind, name: name.to_owned() }
}

/// Adds a record to the history unless it is there.
pub(crate) fn archive(record: &ConfigRecord) -> ObjectCall {
    ObjectCall::Put {
        kind: ObjectKind::History,
        name: record.version.to_string(),
        condition: WriteCondition::Absent,
        value: record_value(record),
    }
}
