//! Resolution of writes whose reply was lost: single cases, and a search of all
//! orders of events.

use carobstep_store::{
    ObjectVersion, PutOutcome, ReadOutcome, ResolveStep, ResolvedOutcome, WriteCondition,
    WriteResolver,
};
use pathfinding::directed::bfs::{bfs, bfs_reach};
use yare::parameterized;

#[derive(Clone, Copy, Debug)]
enum Event {
    Put(PutOutcome),
    Read(ReadOutcome),
}

use Event::{Put, Read};

const V4: ObjectVersion = ObjectVersion(4);
const V5: ObjectVersion = ObjectVersion(5);
const AT_4: WriteCondition = WriteCondition::At(V4);
const REPLY_LOST: Event = Put(PutOutcome::ReplyLost);
const CONDITION_FAILED: Event = Put(PutOutcome::ConditionFailed);
const MISSING: Event = Read(ReadOutcome::Missing);

const fn own_write(version: ObjectVersion) -> Event {
    Read(ReadOutcome::Present { version, is_own_write: true })
}

const fn other_write(version: ObjectVersion) -> Event {
    Read(ReadOutcome::Present { version, is_own_write: false })
}

struct Case {
    name: &'static str,
    condition: WriteCondition,
    events: &'static [Event],
    step: ResolveStep,
    /// Outcome that is reported if the deadline passes now.
    known: ResolvedOutcome,
}

const fn case(
    name: &'static str,
    condition: WriteCondition,
    events: &'static [Event],
    step: ResolveStep,
    known: ResolvedOutcome,
) -> Case {
    Case { name, condition, events, step, known }
}

const fn done(
    name: &'static str,
    condition: WriteCondition,
    events: &'static [Event],
    outcome: ResolvedOutcome,
) -> Case {
    Case { name, condition, events, step: ResolveStep::Done(outcome), known: outcome }
}

const CASES: &[Case] = &[
    case("nothing sent", AT_4, &[], ResolveStep::Put, ResolvedOutcome::NotWritten),
    done("reply received", AT_4, &[Put(PutOutcome::Written(V5))], ResolvedOutcome::Written(V5)),
    done("condition failed", AT_4, &[CONDITION_FAILED], ResolvedOutcome::LostRace),
    done("exists", WriteCondition::Absent, &[CONDITION_FAILED], ResolvedOutcome::LostRace),
    done("rejected", AT_4, &[Put(PutOutcome::Rejected)], ResolvedOutcome::NotWritten),
    case(
        "not sent",
        AT_4,
        &[Put(PutOutcome::NotSent)],
        ResolveStep::Put,
        ResolvedOutcome::NotWritten,
    ),
    case("reply lost", AT_4, &[REPLY_LOST], ResolveStep::Read, ResolvedOutcome::StillUnknown),
    case(
        "rejected after a lost reply",
        AT_4,
        &[REPLY_LOST, Put(PutOutcome::Rejected)],
        ResolveStep::Read,
        ResolvedOutcome::StillUnknown,
    ),
    done("own marker", AT_4, &[REPLY_LOST, own_write(V5)], ResolvedOutcome::Written(V5)),
    done(
        "own marker of a creation",
        WriteCondition::Absent,
        &[REPLY_LOST, own_write(V4)],
        ResolvedOutcome::Written(V4),
    ),
    done(
        "later version without the marker of the write",
        AT_4,
        &[REPLY_LOST, other_write(V5)],
        ResolvedOutcome::Superseded,
    ),
    done(
        "created by another writer",
        WriteCondition::Absent,
        &[REPLY_LOST, other_write(V4)],
        ResolvedOutcome::Superseded,
    ),
    case(
        "unchanged object proves nothing",
        AT_4,
        &[REPLY_LOST, other_write(V4)],
        ResolveStep::Put,
        ResolvedOutcome::StillUnknown,
    ),
    case(
        "absence proves nothing",
        WriteCondition::Absent,
        &[REPLY_LOST, MISSING],
        ResolveStep::Put,
        ResolvedOutcome::StillUnknown,
    ),
    done(
        "the second copy resolves it",
        AT_4,
        &[REPLY_LOST, other_write(V4), Put(PutOutcome::Written(V5))],
        ResolvedOutcome::Written(V5),
    ),
    case(
        "the second copy failed its condition because of the first copy or another writer",
        AT_4,
        &[REPLY_LOST, other_write(V4), CONDITION_FAILED],
        ResolveStep::Read,
        ResolvedOutcome::StillUnknown,
    ),
    case(
        "a stale read after the failed condition",
        AT_4,
        &[REPLY_LOST, other_write(V4), CONDITION_FAILED, other_write(V4)],
        ResolveStep::Read,
        ResolvedOutcome::StillUnknown,
    ),
    done(
        "the first copy had taken effect",
        AT_4,
        &[REPLY_LOST, other_write(V4), CONDITION_FAILED, own_write(V5)],
        ResolvedOutcome::Written(V5),
    ),
    done(
        "deleted after the failed condition",
        AT_4,
        &[REPLY_LOST, other_write(V4), CONDITION_FAILED, MISSING],
        ResolvedOutcome::Superseded,
    ),
    case(
        "failed read",
        AT_4,
        &[REPLY_LOST, Read(ReadOutcome::Failed)],
        ResolveStep::Read,
        ResolvedOutcome::StillUnknown,
    ),
];

#[test]
fn each_sequence_of_events_leads_to_the_expected_step() {
    for case in CASES {
        let mut resolver = WriteResolver::new(case.condition);
        for event in case.events {
            match event {
                Put(outcome) => resolver.on_put(*outcome),
                Read(outcome) => resolver.on_read(*outcome),
            }
        }
        assert_eq!(resolver.step(), case.step, "{}", case.name);
        assert_eq!(resolver.outcome_at_deadline(), case.known, "{}", case.name);
    }
}

/// Faulty variant of the resolver, which the search must detect.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Mutant {
    None,
    /// Concludes from an unchanged object that the write did not take effect.
    UnchangedMeansNotWritten,
    /// Concludes from a failed condition that the race is lost, although an earlier
    /// copy was sent.
    FailedConditionMeansLostRace,
    /// Concludes from a lost reply that the write did not take effect.
    LostReplyMeansNotWritten,
    /// Concludes from any changed object that its own write took effect.
    ChangedMeansOwnWrite,
}

/// State of the model: an object that starts at version 1 or absent, the write to
/// resolve, and a competing writer.
#[derive(Clone, PartialEq, Eq, Hash)]
struct ModelState {
    condition: WriteCondition,
    /// Version of the object, and whether the write to resolve was the last to change it.
    object: Option<(u64, bool)>,
    /// Earlier states, which a stale read may return.
    earlier: Vec<Option<(u64, bool)>>,
    latest: u64,
    resolver: WriteResolver,
    outcome: Option<ResolvedOutcome>,
    /// Copies that were sent and may still be applied.
    delayed_copies: u8,
    /// Copies that were applied.
    applied: u8,
    /// Copies that were applied after the outcome was reported.
    applied_after_outcome: u8,
    faults: u8,
    other_writes: u8,
}

impl ModelState {
    fn start(condition: WriteCondition) -> Self {
        let object = matches!(condition, WriteCondition::At(_)).then_some((1, false));
        Self {
            condition,
            object,
            earlier: Vec::new(),
            latest: 1,
            resolver: WriteResolver::new(condition),
            outcome: None,
            delayed_copies: 0,
            applied: 0,
            applied_after_outcome: 0,
            faults: 4,
            other_writes: 2,
        }
    }

    fn change(&mut self, own_write: bool) -> ObjectVersion {
        self.latest += 1;
        let before = self.object.replace((self.latest, own_write));
        self.earlier.push(before);
        ObjectVersion(self.latest)
    }

    fn apply_copy(&mut self) -> PutOutcome {
        let current = self.object.map(|(version, _)| ObjectVersion(version));
        let holds = match self.condition {
            WriteCondition::Absent => current.is_none(),
            WriteCondition::At(version) => current == Some(version),
        };
        if !holds {
            return PutOutcome::ConditionFailed;
        }
        self.applied += 1;
        self.applied_after_outcome += u8::from(self.outcome.is_some());
        PutOutcome::Written(self.change(true))
    }

    fn put(&self, mutant: Mutant, next: &mut Vec<Self>) {
        let mut replied = self.clone();
        let outcome = replied.apply_copy();
        let has_unknown_copy = self.resolver.outcome_at_deadline() == ResolvedOutcome::StillUnknown;
        if mutant == Mutant::FailedConditionMeansLostRace
            && has_unknown_copy
            && outcome == PutOutcome::ConditionFailed
        {
            replied.outcome = Some(ResolvedOutcome::LostRace);
        } else {
            replied.resolver.on_put(outcome);
        }
        next.push(replied);
        let Some(faults) = self.faults.checked_sub(1) else { return };
        let mut failed = self.clone();
        failed.faults = faults;
        failed.resolver.on_put(PutOutcome::NotSent);
        next.push(failed.clone());
        failed.resolver.on_put(PutOutcome::ReplyLost);
        if mutant == Mutant::LostReplyMeansNotWritten {
            failed.outcome = Some(ResolvedOutcome::NotWritten);
        }
        let mut delayed = failed.clone();
        delayed.delayed_copies += 1;
        next.push(delayed);
        failed.apply_copy();
        next.push(failed);
    }

    fn read(&self, mutant: Mutant, seen: Option<(u64, bool)>) -> Self {
        let mut after = self.clone();
        let outcome = match seen {
            None => ReadOutcome::Missing,
            Some((version, own_write)) => {
                let is_own_write =
                    own_write || mutant == Mutant::ChangedMeansOwnWrite && version > 1;
                ReadOutcome::Present { version: ObjectVersion(version), is_own_write }
            }
        };
        after.resolver.on_read(outcome);
        if mutant == Mutant::UnchangedMeansNotWritten && after.resolver.step() == ResolveStep::Put {
            after.outcome = Some(ResolvedOutcome::NotWritten);
        }
        after
    }

    fn successors(&self, mutant: Mutant) -> Vec<Self> {
        let mut next = Vec::new();
        if let Some(remaining) = self.delayed_copies.checked_sub(1) {
            let mut after = self.clone();
            after.delayed_copies = remaining;
            after.apply_copy();
            next.push(after);
        }
        if let Some(remaining) = self.other_writes.checked_sub(1) {
            let mut after = self.clone();
            after.other_writes = remaining;
            after.change(false);
            next.push(after);
        }
        if self.outcome.is_some() {
            return next;
        }
        let mut ended = self.clone();
        ended.outcome = Some(self.resolver.outcome_at_deadline());
        next.push(ended);
        match self.resolver.step() {
            ResolveStep::Done(_) => {}
            ResolveStep::Put => self.put(mutant, &mut next),
            ResolveStep::Read => {
                next.push(self.read(mutant, self.object));
                let Some(faults) = self.faults.checked_sub(1) else { return next };
                for seen in &self.earlier {
                    let mut stale = self.read(mutant, *seen);
                    stale.faults = faults;
                    next.push(stale);
                }
            }
        }
        next
    }

    fn is_violated(&self) -> bool {
        let wrong_outcome = match self.outcome {
            Some(ResolvedOutcome::Written(_)) => self.applied == 0,
            Some(ResolvedOutcome::LostRace | ResolvedOutcome::NotWritten) => self.applied > 0,
            Some(ResolvedOutcome::Superseded) => self.applied_after_outcome > 0,
            Some(ResolvedOutcome::StillUnknown) | None => false,
        };
        wrong_outcome || self.applied > 1
    }
}

#[parameterized(
    replaced = { WriteCondition::At(ObjectVersion(1)) },
    created = { WriteCondition::Absent },
)]
fn every_outcome_is_correct_in_every_order_of_events(condition: WriteCondition) {
    let mut state_count = 0_u64;
    let mut superseded = 0_u64;
    for state in bfs_reach(ModelState::start(condition), |state| state.successors(Mutant::None)) {
        state_count += 1;
        superseded += u64::from(state.outcome == Some(ResolvedOutcome::Superseded));
        assert!(!state.is_violated(), "{:?} with {} copies applied", state.outcome, state.applied);
    }
    println!("write resolution under {condition:?}: {state_count} states");
    assert!(superseded > 0);
}

#[parameterized(
    unchanged_means_not_written = { Mutant::UnchangedMeansNotWritten },
    failed_condition_means_lost_race = { Mutant::FailedConditionMeansLostRace },
    lost_reply_means_not_written = { Mutant::LostReplyMeansNotWritten },
    changed_means_own_write = { Mutant::ChangedMeansOwnWrite },
)]
fn a_wrong_conclusion_is_detected(mutant: Mutant) {
    for condition in [WriteCondition::At(ObjectVersion(1)), WriteCondition::Absent] {
        let start = ModelState::start(condition);
        let path = bfs(&start, |state| state.successors(mutant), ModelState::is_violated);
        let steps = path.map(|path| path.len() - 1);
        println!("{mutant:?} under {condition:?}: detected after {steps:?} steps");
        assert!(steps.is_some(), "{mutant:?} was not detected under {condition:?}");
    }
}
