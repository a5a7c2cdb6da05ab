//! What is known of a write whose answer was lost, case by case and by search.

use carobstep_store::{
    ObjectVersion, PutEnd, ReadEnd, SettleEnd, SettleStep, WriteCondition, WriteSettlement,
};
use pathfinding::directed::bfs::{bfs, bfs_reach};
use yare::parameterized;

#[derive(Clone, Copy, Debug)]
enum Event {
    Put(PutEnd),
    Read(ReadEnd),
}

use Event::{Put, Read};

const V4: ObjectVersion = ObjectVersion(4);
const V5: ObjectVersion = ObjectVersion(5);
const AT_4: WriteCondition = WriteCondition::At(V4);
const LOST: Event = Put(PutEnd::AnswerLost);
const FAILED: Event = Put(PutEnd::ConditionFailed);
const MISSING: Event = Read(ReadEnd::Missing);

const fn ours(version: ObjectVersion) -> Event {
    Read(ReadEnd::Present { version, ours: true })
}

const fn theirs(version: ObjectVersion) -> Event {
    Read(ReadEnd::Present { version, ours: false })
}

struct Case {
    name: &'static str,
    condition: WriteCondition,
    events: &'static [Event],
    step: SettleStep,
    /// What is known if the deadline passes now.
    known: SettleEnd,
}

const fn case(
    name: &'static str,
    condition: WriteCondition,
    events: &'static [Event],
    step: SettleStep,
    known: SettleEnd,
) -> Case {
    Case { name, condition, events, step, known }
}

const fn done(
    name: &'static str,
    condition: WriteCondition,
    events: &'static [Event],
    end: SettleEnd,
) -> Case {
    Case { name, condition, events, step: SettleStep::Done(end), known: end }
}

const CASES: &[Case] = &[
    case("nothing sent", AT_4, &[], SettleStep::Put, SettleEnd::NotWritten),
    done("answered", AT_4, &[Put(PutEnd::Written(V5))], SettleEnd::Written(V5)),
    done("condition failed", AT_4, &[FAILED], SettleEnd::LostRace),
    done("exists", WriteCondition::Absent, &[FAILED], SettleEnd::LostRace),
    done("rejected", AT_4, &[Put(PutEnd::Rejected)], SettleEnd::NotWritten),
    case("not sent", AT_4, &[Put(PutEnd::NotSent)], SettleStep::Put, SettleEnd::NotWritten),
    case("answer lost", AT_4, &[LOST], SettleStep::Read, SettleEnd::StillUnknown),
    case(
        "rejected after a lost answer",
        AT_4,
        &[LOST, Put(PutEnd::Rejected)],
        SettleStep::Read,
        SettleEnd::StillUnknown,
    ),
    done("own marker", AT_4, &[LOST, ours(V5)], SettleEnd::Written(V5)),
    done(
        "own marker of a creation",
        WriteCondition::Absent,
        &[LOST, ours(V4)],
        SettleEnd::Written(V4),
    ),
    done("past the condition", AT_4, &[LOST, theirs(V5)], SettleEnd::Superseded),
    done("other creation", WriteCondition::Absent, &[LOST, theirs(V4)], SettleEnd::Superseded),
    case(
        "unchanged object proves nothing",
        AT_4,
        &[LOST, theirs(V4)],
        SettleStep::Put,
        SettleEnd::StillUnknown,
    ),
    case(
        "absence proves nothing",
        WriteCondition::Absent,
        &[LOST, MISSING],
        SettleStep::Put,
        SettleEnd::StillUnknown,
    ),
    done(
        "the second copy settles it",
        AT_4,
        &[LOST, theirs(V4), Put(PutEnd::Written(V5))],
        SettleEnd::Written(V5),
    ),
    case(
        "the second copy failed because of the first, or of another",
        AT_4,
        &[LOST, theirs(V4), FAILED],
        SettleStep::Read,
        SettleEnd::StillUnknown,
    ),
    case(
        "a lagging read after the failed condition",
        AT_4,
        &[LOST, theirs(V4), FAILED, theirs(V4)],
        SettleStep::Read,
        SettleEnd::StillUnknown,
    ),
    done(
        "the first copy had landed",
        AT_4,
        &[LOST, theirs(V4), FAILED, ours(V5)],
        SettleEnd::Written(V5),
    ),
    done(
        "deleted after the failed condition",
        AT_4,
        &[LOST, theirs(V4), FAILED, MISSING],
        SettleEnd::Superseded,
    ),
    case(
        "failed read",
        AT_4,
        &[LOST, Read(ReadEnd::Failed)],
        SettleStep::Read,
        SettleEnd::StillUnknown,
    ),
];

#[test]
fn each_event_leads_to_its_step() {
    for case in CASES {
        let mut settlement = WriteSettlement::new(case.condition);
        for event in case.events {
            match event {
                Put(end) => settlement.on_put(*end),
                Read(end) => settlement.on_read(*end),
            }
        }
        assert_eq!(settlement.step(), case.step, "{}", case.name);
        assert_eq!(settlement.give_up(), case.known, "{}", case.name);
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Mutant {
    None,
    /// Takes an unchanged object for a proof that the write did not happen.
    UnchangedIsProof,
    /// Takes a failed condition for a lost race although a copy had left before.
    FailedIsLost,
    /// Takes a lost answer for a write that did not happen.
    LostIsNotWritten,
    /// Takes any object that changed for its own write.
    ChangedIsOurs,
}

/// An object at version 1 or absent, one settled write, and another writer.
#[derive(Clone, PartialEq, Eq, Hash)]
struct World {
    condition: WriteCondition,
    /// Version of the object and whether the settled write is its last one.
    object: Option<(u64, bool)>,
    /// Earlier states that a lagging read may show.
    past: Vec<Option<(u64, bool)>>,
    latest: u64,
    settlement: WriteSettlement,
    end: Option<SettleEnd>,
    /// Copies that may yet land.
    late_copies: u8,
    landed: u8,
    /// Copies that landed after the end was told.
    landed_after_end: u8,
    faults: u8,
    other_writes: u8,
}

impl World {
    fn start(condition: WriteCondition) -> Self {
        let object = matches!(condition, WriteCondition::At(_)).then_some((1, false));
        Self {
            condition,
            object,
            past: Vec::new(),
            latest: 1,
            settlement: WriteSettlement::new(condition),
            end: None,
            late_copies: 0,
            landed: 0,
            landed_after_end: 0,
            faults: 4,
            other_writes: 2,
        }
    }

    fn change(&mut self, ours: bool) -> ObjectVersion {
        self.latest += 1;
        let before = self.object.replace((self.latest, ours));
        self.past.push(before);
        ObjectVersion(self.latest)
    }

    fn land(&mut self) -> PutEnd {
        let current = self.object.map(|(version, _)| ObjectVersion(version));
        let holds = match self.condition {
            WriteCondition::Absent => current.is_none(),
            WriteCondition::At(version) => current == Some(version),
        };
        if !holds {
            return PutEnd::ConditionFailed;
        }
        self.landed += 1;
        self.landed_after_end += u8::from(self.end.is_some());
        PutEnd::Written(self.change(true))
    }

    fn put(&self, mutant: Mutant, next: &mut Vec<Self>) {
        let mut answered = self.clone();
        let end = answered.land();
        let uncertain = self.settlement.give_up() == SettleEnd::StillUnknown;
        if mutant == Mutant::FailedIsLost && uncertain && end == PutEnd::ConditionFailed {
            answered.end = Some(SettleEnd::LostRace);
        } else {
            answered.settlement.on_put(end);
        }
        next.push(answered);
        let Some(faults) = self.faults.checked_sub(1) else { return };
        let mut unanswered = self.clone();
        unanswered.faults = faults;
        unanswered.settlement.on_put(PutEnd::NotSent);
        next.push(unanswered.clone());
        unanswered.settlement.on_put(PutEnd::AnswerLost);
        if mutant == Mutant::LostIsNotWritten {
            unanswered.end = Some(SettleEnd::NotWritten);
        }
        let mut late = unanswered.clone();
        late.late_copies += 1;
        next.push(late);
        unanswered.land();
        next.push(unanswered);
    }

    fn read(&self, mutant: Mutant, seen: Option<(u64, bool)>) -> Self {
        let mut after = self.clone();
        let end = match seen {
            None => ReadEnd::Missing,
            Some((version, ours)) => {
                let ours = ours || mutant == Mutant::ChangedIsOurs && version > 1;
                ReadEnd::Present { version: ObjectVersion(version), ours }
            }
        };
        after.settlement.on_read(end);
        if mutant == Mutant::UnchangedIsProof && after.settlement.step() == SettleStep::Put {
            after.end = Some(SettleEnd::NotWritten);
        }
        after
    }

    fn successors(&self, mutant: Mutant) -> Vec<Self> {
        let mut next = Vec::new();
        if let Some(left) = self.late_copies.checked_sub(1) {
            let mut after = self.clone();
            after.late_copies = left;
            after.land();
            next.push(after);
        }
        if let Some(left) = self.other_writes.checked_sub(1) {
            let mut after = self.clone();
            after.other_writes = left;
            after.change(false);
            next.push(after);
        }
        if self.end.is_some() {
            return next;
        }
        let mut ended = self.clone();
        ended.end = Some(self.settlement.give_up());
        next.push(ended);
        match self.settlement.step() {
            SettleStep::Done(_) => {}
            SettleStep::Put => self.put(mutant, &mut next),
            SettleStep::Read => {
                next.push(self.read(mutant, self.object));
                let Some(faults) = self.faults.checked_sub(1) else { return next };
                for seen in &self.past {
                    let mut lagging = self.read(mutant, *seen);
                    lagging.faults = faults;
                    next.push(lagging);
                }
            }
        }
        next
    }

    fn is_broken(&self) -> bool {
        let false_end = match self.end {
            Some(SettleEnd::Written(_)) => self.landed == 0,
            Some(SettleEnd::LostRace | SettleEnd::NotWritten) => self.landed > 0,
            Some(SettleEnd::Superseded) => self.landed_after_end > 0,
            Some(SettleEnd::StillUnknown) | None => false,
        };
        false_end || self.landed > 1
    }
}

#[parameterized(
    replaced = { WriteCondition::At(ObjectVersion(1)) },
    created = { WriteCondition::Absent },
)]
fn every_end_is_true_in_every_order_of_events(condition: WriteCondition) {
    let mut states = 0_u64;
    let mut superseded = 0_u64;
    for world in bfs_reach(World::start(condition), |world| world.successors(Mutant::None)) {
        states += 1;
        superseded += u64::from(world.end == Some(SettleEnd::Superseded));
        assert!(!world.is_broken(), "{:?} with {} landed", world.end, world.landed);
    }
    println!("settlement under {condition:?}: {states} states");
    assert!(superseded > 0);
}

#[parameterized(
    unchanged_is_proof = { Mutant::UnchangedIsProof },
    failed_is_lost = { Mutant::FailedIsLost },
    lost_is_not_written = { Mutant::LostIsNotWritten },
    changed_is_ours = { Mutant::ChangedIsOurs },
)]
fn a_wrong_conclusion_is_found(mutant: Mutant) {
    for condition in [WriteCondition::At(ObjectVersion(1)), WriteCondition::Absent] {
        let start = World::start(condition);
        let path = bfs(&start, |world| world.successors(mutant), World::is_broken);
        let steps = path.map(|path| path.len() - 1);
        println!("{mutant:?} under {condition:?}: broken after {steps:?} steps");
        assert!(steps.is_some(), "{mutant:?} breaks nothing under {condition:?}");
    }
}
