//! Searches every order of events of the claim protocol for a broken promise.
//!
//! Three attempts under one key on two nodes share one claim. The platform
//! loses answers, lets writes land late and reads lag; a node crashes at any
//! step; owners are taken for gone without reason. The steps of an attempt are
//! those of the product's [`ClaimMachine`].

use std::{fmt, rc::Rc};

use carobstep_config::{NodeName, ServiceName};
use carobstep_store::{
    AttemptId, ClaimEnd, ClaimMachine, ClaimOutcome, ClaimRead, ClaimRecord, ClaimRequest,
    ClaimState, ClaimStep, ClaimWrite, ObjectVersion, OwnerSight, PutEnd, StoredObject,
    WriteCondition,
};
use pathfinding::directed::bfs::{bfs, bfs_reach};
use yare::parameterized;

/// Node of each attempt.
const NODES: [usize; 3] = [0, 1, 0];
const ATTEMPTS: usize = NODES.len();

/// A rule that is left out.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Mutant {
    None,
    /// Dispatches although the claim may not be its own.
    DispatchUncertain,
    /// Takes over an open claim of another node.
    TakeOpen,
    /// Dispatches again after a dispatch without an answer.
    RetryUnknown,
    /// Attempts under one key share the identifier that the caller sent.
    CallerIdentifier,
    /// Records a dispatch without an answer as not run.
    UnknownAsNotRun,
    /// Records on whatever claim it finds.
    RecordOnAny,
    /// Writes to the present version instead of the one decided on.
    IgnoreVersion,
    /// Dispatches again after it recorded that the request did not run.
    DispatchAfterNotRun,
    /// Tells the caller of an open claim that the request did not run, after
    /// it had been dispatched without an answer.
    TellNotRun,
}

#[derive(Clone, PartialEq, Eq, Hash)]
enum Phase {
    Waiting,
    Claiming(ClaimMachine),
    Owner(ObjectVersion),
    Recording(ClaimMachine),
    /// Ended; `abandoned` when it never dispatched but may hold the claim.
    Ended {
        abandoned: bool,
    },
    Crashed,
}

#[derive(Clone, PartialEq, Eq, Hash)]
struct Attempt {
    phase: Phase,
    /// A dispatch whose work the server may yet start.
    in_flight: bool,
    executions: u8,
    told: Option<ClaimOutcome>,
}

/// The claim object with its version.
type Claim = Option<(u64, Rc<ClaimRecord>)>;

#[derive(Clone, PartialEq, Eq, Hash)]
struct World {
    claim: Claim,
    /// What lagging reads may show.
    past: Vec<Claim>,
    latest: u64,
    late_writes: Vec<ClaimWrite>,
    attempts: Vec<Attempt>,
    platform_faults: u8,
    crashes: u8,
    refusals: u8,
}

struct Model {
    mutant: Mutant,
    requests: Vec<ClaimRequest>,
}

type Successors = Vec<(String, World)>;

impl Model {
    fn new(mutant: Mutant) -> Self {
        let mut requests = Vec::new();
        for (number, node) in NODES.into_iter().enumerate() {
            let shared = mutant == Mutant::CallerIdentifier;
            requests.push(ClaimRequest {
                service: ServiceName::try_from("s").unwrap(),
                key: "k".to_owned(),
                body_digest: "b".to_owned(),
                node: NodeName::try_from(format!("n{node}")).unwrap(),
                incarnation: 1,
                attempt: AttemptId(if shared { 0 } else { number as u128 }),
                time_ms: 0,
            });
        }
        Self { mutant, requests }
    }

    fn start() -> World {
        let attempt =
            Attempt { phase: Phase::Waiting, in_flight: false, executions: 0, told: None };
        World {
            claim: None,
            past: Vec::new(),
            latest: 0,
            late_writes: Vec::new(),
            attempts: vec![attempt; ATTEMPTS],
            platform_faults: 2,
            crashes: 1,
            refusals: 2,
        }
    }

    fn successors(&self, world: &World) -> Successors {
        let mut next = Vec::new();
        for number in 0..ATTEMPTS {
            self.step_attempt(world, number, &mut next);
        }
        for index in 0..world.late_writes.len() {
            let mut after = world.clone();
            let write = after.late_writes.remove(index);
            after.apply(&write);
            next.push(("a late write lands".to_owned(), after));
        }
        for node in 0..2 {
            if world.crashes > 0 {
                next.push((format!("node {node} crashes"), world.crash(node)));
            }
        }
        for (_, after) in &mut next {
            after.forget();
        }
        next
    }

    fn step_attempt(&self, world: &World, number: usize, next: &mut Successors) {
        let attempt = &world.attempts[number];
        let name = |event: &str| format!("attempt {number}: {event}");
        if attempt.in_flight {
            let mut after = world.clone();
            after.attempts[number].in_flight = false;
            after.attempts[number].executions += 1;
            next.push((name("the server runs it late"), after));
        }
        match &attempt.phase {
            Phase::Waiting => {
                let machine = ClaimMachine::acquire(&self.requests[number]);
                next.push((name("arrives"), world.with(number, Phase::Claiming(machine))));
            }
            Phase::Claiming(machine) | Phase::Recording(machine) => {
                let gone = self.after_give_up(world, number, machine);
                next.push((name("gives up"), gone));
                self.step_machine(world, number, machine, next);
            }
            Phase::Owner(version) => self.dispatch(world, number, *version, next),
            Phase::Ended { abandoned: true } => {
                let machine = ClaimMachine::abandon();
                next.push((name("abandons"), world.with(number, Phase::Recording(machine))));
            }
            Phase::Ended { abandoned: false } | Phase::Crashed => {}
        }
    }

    fn step_machine(
        &self,
        world: &World,
        number: usize,
        machine: &ClaimMachine,
        next: &mut Successors,
    ) {
        match machine.step() {
            ClaimStep::Done(_) => {}
            ClaimStep::Write(write) => self.write(world, number, machine, write, next),
            ClaimStep::Read => {
                self.read(world, number, machine, &world.claim, next);
                let Some(faults) = world.platform_faults.checked_sub(1) else { return };
                let mut lagging = world.clone();
                lagging.platform_faults = faults;
                for seen in &world.past {
                    self.read(&lagging, number, machine, seen, next);
                }
            }
        }
    }

    fn write(
        &self,
        world: &World,
        number: usize,
        machine: &ClaimMachine,
        write: &ClaimWrite,
        next: &mut Successors,
    ) {
        let mut write = write.clone();
        if let (Mutant::IgnoreVersion, Some((version, _))) = (self.mutant, &world.claim) {
            write.condition = WriteCondition::At(ObjectVersion(*version));
        }
        let mut written = world.clone();
        let end = written.apply(&write);
        let mut answered = machine.clone();
        answered.on_write(end);
        let event = format!("attempt {number}: writes {:?}, {end:?}", write.record.state);
        next.push((event, self.after(&written, number, answered)));
        let Some(faults) = world.platform_faults.checked_sub(1) else { return };
        let mut unanswered = machine.clone();
        unanswered.on_write(PutEnd::AnswerLost);
        written.platform_faults = faults;
        let event = format!("attempt {number}: writes {:?}, answer lost", write.record.state);
        next.push((event, self.after(&written, number, unanswered.clone())));
        let mut late = world.clone();
        late.platform_faults = faults;
        let event = format!("attempt {number}: writes {:?}, to land late", write.record.state);
        late.late_writes.push(write);
        next.push((event, self.after(&late, number, unanswered)));
    }

    fn read(
        &self,
        world: &World,
        number: usize,
        machine: &ClaimMachine,
        seen: &Claim,
        next: &mut Successors,
    ) {
        let object = seen.as_ref().map(|(version, record)| StoredObject {
            name: "c".to_owned(),
            version: ObjectVersion(*version),
            value: serde_json::json!(**record),
        });
        let mut request = self.requests[number].clone();
        let recording = matches!(world.attempts[number].phase, Phase::Recording(_));
        if let (Mutant::RecordOnAny, true, Some((_, record))) = (self.mutant, recording, seen) {
            request.attempt = record.attempt;
        }
        for sight in self.sights(world, number, seen) {
            let mut after = machine.clone();
            after.on_read(ClaimRead::Seen(object.as_ref()), &request, |_| sight);
            let state = seen.as_ref().map(|(version, record)| (version, record.state));
            let event = format!("attempt {number}: reads {state:?}, owner {sight:?}");
            next.push((event, self.after(world, number, after)));
        }
    }

    /// What the reader may believe of the claim's owner.
    fn sights(&self, world: &World, number: usize, seen: &Claim) -> Vec<OwnerSight> {
        let Some((_, record)) = seen else { return vec![OwnerSight::Present] };
        if record.state != ClaimState::Open {
            return vec![OwnerSight::Present];
        }
        let owner = usize::try_from(record.attempt.0).unwrap();
        let abandoned = world.attempts[owner].is_abandoned() && NODES[owner] == NODES[number];
        if abandoned || self.mutant == Mutant::TakeOpen {
            return vec![OwnerSight::Abandoned];
        }
        vec![OwnerSight::Present, OwnerSight::Gone]
    }

    fn dispatch(
        &self,
        world: &World,
        number: usize,
        version: ObjectVersion,
        next: &mut Successors,
    ) {
        let name = |event: &str| format!("attempt {number}: {event}");
        let mut ran = world.clone();
        ran.attempts[number].executions += 1;
        let answered = self.record(&ran, number, version, ClaimOutcome::Ran);
        next.push((name("dispatches and runs"), answered));
        next.push((name("runs, answer lost"), self.after_lost(&ran, number, version)));
        let mut in_flight = world.clone();
        in_flight.attempts[number].in_flight = true;
        let event = name("dispatches, answer lost");
        next.push((event, self.after_lost(&in_flight, number, version)));
        let Some(refusals) = world.refusals.checked_sub(1) else { return };
        let mut refused = world.clone();
        refused.refusals = refusals;
        next.push((name("refused, dispatches again"), refused.clone()));
        let refused = self.record(&refused, number, version, ClaimOutcome::NotRun);
        next.push((name("refused as not run"), refused));
    }

    fn after_lost(&self, world: &World, number: usize, version: ObjectVersion) -> World {
        match self.mutant {
            Mutant::RetryUnknown => world.clone(),
            Mutant::UnknownAsNotRun => {
                let mut after = self.record(world, number, version, ClaimOutcome::NotRun);
                // The caller is told the truth, so that only the record is wrong.
                after.attempts[number].told = Some(ClaimOutcome::Unknown);
                after
            }
            Mutant::TellNotRun => {
                let mut after = self.record(world, number, version, ClaimOutcome::Unknown);
                after.attempts[number].told = Some(ClaimOutcome::NotRun);
                after
            }
            _ => self.record(world, number, version, ClaimOutcome::Unknown),
        }
    }

    fn record(
        &self,
        world: &World,
        number: usize,
        version: ObjectVersion,
        outcome: ClaimOutcome,
    ) -> World {
        let machine = ClaimMachine::record(&self.requests[number], version, outcome, None);
        let mut after = world.with(number, Phase::Recording(machine));
        after.attempts[number].told = Some(outcome);
        after
    }

    /// Moves an attempt on when its machine has ended.
    fn after(&self, world: &World, number: usize, machine: ClaimMachine) -> World {
        let recording = matches!(world.attempts[number].phase, Phase::Recording(_));
        let ClaimStep::Done(end) = machine.step() else {
            let phase =
                if recording { Phase::Recording(machine) } else { Phase::Claiming(machine) };
            return world.with(number, phase);
        };
        self.after_end(world, number, &end.clone())
    }

    fn after_give_up(&self, world: &World, number: usize, machine: &ClaimMachine) -> World {
        self.after_end(world, number, &machine.give_up())
    }

    fn after_end(&self, world: &World, number: usize, end: &ClaimEnd) -> World {
        let told = match end {
            ClaimEnd::Acquired(version) => return world.with(number, Phase::Owner(*version)),
            ClaimEnd::Uncertain if self.mutant == Mutant::DispatchUncertain => {
                return world.with(number, Phase::Owner(ObjectVersion(0)));
            }
            ClaimEnd::Recorded
                if self.mutant == Mutant::DispatchAfterNotRun
                    && world.attempts[number].told == Some(ClaimOutcome::NotRun) =>
            {
                return world.with(number, Phase::Owner(ObjectVersion(world.latest)));
            }
            ClaimEnd::Replay(recorded) => Some(recorded.outcome),
            ClaimEnd::InProgress => Some(ClaimOutcome::Unknown),
            ClaimEnd::Mismatch
            | ClaimEnd::NotClaimed
            | ClaimEnd::Uncertain
            | ClaimEnd::Unreadable => Some(ClaimOutcome::NotRun),
            ClaimEnd::Recorded | ClaimEnd::NotOwner | ClaimEnd::NotRecorded => None,
        };
        let abandoned = *end == ClaimEnd::Uncertain;
        let mut after = world.with(number, Phase::Ended { abandoned });
        let attempt = &mut after.attempts[number];
        attempt.told = attempt.told.or(told);
        after
    }
}

impl Attempt {
    fn is_abandoned(&self) -> bool {
        self.phase == Phase::Ended { abandoned: true }
    }
}

impl World {
    fn with(&self, number: usize, phase: Phase) -> Self {
        let mut after = self.clone();
        after.attempts[number].phase = phase;
        after
    }

    fn crash(&self, node: usize) -> Self {
        let mut after = self.clone();
        after.crashes -= 1;
        for (number, attempt) in after.attempts.iter_mut().enumerate() {
            if NODES[number] == node && attempt.phase != Phase::Waiting {
                attempt.phase = Phase::Crashed;
            }
        }
        after
    }

    /// Drops what can no longer make a difference, so that fewer states differ.
    fn forget(&mut self) {
        if self.platform_faults == 0 {
            self.past.clear();
        }
        let claim = &self.claim;
        self.late_writes.retain(|write| match (write.condition, claim) {
            (WriteCondition::Absent, claim) => claim.is_none(),
            (WriteCondition::At(wanted), Some((version, _))) => wanted.0 >= *version,
            (WriteCondition::At(_), None) => true,
        });
    }

    fn apply(&mut self, write: &ClaimWrite) -> PutEnd {
        let current = self.claim.as_ref().map(|(version, _)| ObjectVersion(*version));
        let holds = match write.condition {
            WriteCondition::Absent => current.is_none(),
            WriteCondition::At(version) => current == Some(version),
        };
        if !holds {
            return PutEnd::ConditionFailed;
        }
        self.latest += 1;
        let before = self.claim.replace((self.latest, Rc::new(write.record.clone())));
        self.past.push(before);
        PutEnd::Written(ObjectVersion(self.latest))
    }

    /// The first promise that does not hold.
    fn broken_promise(&self) -> Option<&'static str> {
        let executions: u8 = self.attempts.iter().map(|attempt| attempt.executions).sum();
        if executions > 1 {
            return Some("the request ran twice");
        }
        for attempt in &self.attempts {
            if attempt.told == Some(ClaimOutcome::NotRun) && attempt.executions > 0 {
                return Some("a caller was told that its request did not run, and it ran");
            }
            if attempt.told == Some(ClaimOutcome::Ran) && executions == 0 {
                return Some("a caller was told that its request ran, and it did not");
            }
        }
        let (_, record) = self.claim.as_ref()?;
        let owner = &self.attempts[usize::try_from(record.attempt.0).unwrap()];
        match record.state {
            ClaimState::Done(ClaimOutcome::Ran) if executions == 0 => {
                Some("the claim says that the request ran, and it did not")
            }
            ClaimState::Done(ClaimOutcome::NotRun) if owner.executions > 0 => {
                Some("the claim says that the request did not run, and it ran")
            }
            _ => None,
        }
    }
}

/// The events that lead from the start to the end of a path.
struct Trace<'a> {
    model: &'a Model,
    path: &'a [World],
}

impl fmt::Display for Trace<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for pair in self.path.windows(2) {
            let successors = self.model.successors(&pair[0]);
            let taken = successors.iter().find(|(_, world)| *world == pair[1]);
            writeln!(f, "  {}", taken.map_or("?", |(event, _)| event))?;
        }
        let broken = self.path.last().and_then(World::broken_promise);
        writeln!(f, "  => {}", broken.unwrap_or("nothing is broken"))
    }
}

fn next_worlds(model: &Model, world: &World) -> Vec<World> {
    model.successors(world).into_iter().map(|(_, after)| after).collect()
}

#[test]
fn every_promise_holds_in_every_order_of_events() {
    let model = Model::new(Mutant::None);
    let mut states = 0_u64;
    let mut ran = 0_u64;
    for world in bfs_reach(Model::start(), |world| next_worlds(&model, world)) {
        states += 1;
        ran += u64::from(world.attempts.iter().any(|attempt| attempt.executions > 0));
        if let Some(broken) = world.broken_promise() {
            panic!("{broken}");
        }
    }
    println!("claim protocol: {states} states, the request ran in {ran} of them");
    assert!(ran > 0);
}

#[parameterized(
    dispatch_uncertain = { Mutant::DispatchUncertain },
    take_open = { Mutant::TakeOpen },
    retry_unknown = { Mutant::RetryUnknown },
    caller_identifier = { Mutant::CallerIdentifier },
    unknown_as_not_run = { Mutant::UnknownAsNotRun },
    record_on_any = { Mutant::RecordOnAny },
    ignore_version = { Mutant::IgnoreVersion },
    dispatch_after_not_run = { Mutant::DispatchAfterNotRun },
    tell_not_run = { Mutant::TellNotRun },
)]
fn a_rule_left_out_breaks_a_promise(mutant: Mutant) {
    let model = Model::new(mutant);
    let path = bfs(
        &Model::start(),
        |world| next_worlds(&model, world),
        |world| world.broken_promise().is_some(),
    );
    let path = path.unwrap_or_else(|| panic!("{mutant:?} breaks nothing"));
    println!("{mutant:?}:\n{}", Trace { model: &model, path: &path });
}
