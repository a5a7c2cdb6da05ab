//! Model checker for the claim protocol: searches all orders of events for a
//! violated invariant.
//!
//! Three attempts with the same key on two nodes compete for one claim. The
//! platform loses replies, delays writes and returns stale reads; a node crashes
//! at any step; a node may wrongly consider an owner unavailable. The attempts run
//! the [`ClaimMachine`] of the crate itself.

use std::{fmt, rc::Rc};

use carobstep_config::{NodeName, ServiceName};
use carobstep_store::{
    AttemptId, ClaimMachine, ClaimOutcome, ClaimRead, ClaimRecord, ClaimRequest, ClaimResult,
    ClaimState, ClaimStep, ClaimWrite, ObjectVersion, OwnerStatus, PutOutcome, StoredObject,
    WriteCondition,
};
use pathfinding::directed::bfs::{bfs, bfs_reach};
use yare::parameterized;

/// Node of each attempt.
const NODES: [usize; 3] = [0, 1, 0];
const ATTEMPTS: usize = NODES.len();

/// Rule of the protocol that the model omits, which the search must detect.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Mutant {
    None,
    /// Dispatches although the attempt may not own the claim.
    DispatchUncertain,
    /// Acquires an open claim of another node.
    AcquireOpen,
    /// Dispatches again after a dispatch without a response.
    RetryUnknown,
    /// Attempts with the same key share one attempt identifier, set by the caller.
    CallerAttemptId,
    /// Records a dispatch without a response as not run.
    UnknownAsNotRun,
    /// Records the outcome on a claim that another attempt owns.
    RecordOnAnyClaim,
    /// Makes writes conditional on the current version instead of the version that
    /// was read.
    WriteAtCurrentVersion,
    /// Dispatches again after recording that the request did not run.
    DispatchAfterNotRun,
    /// Reports to the caller that the request did not run, after a dispatch without
    /// a response.
    ReportNotRun,
}

#[derive(Clone, PartialEq, Eq, Hash)]
enum Phase {
    Waiting,
    Claiming(ClaimMachine),
    Owner(ObjectVersion),
    Recording(ClaimMachine),
    /// Ended; `abandoned` when the attempt never dispatched but may own the claim.
    Ended {
        abandoned: bool,
    },
    Crashed,
}

#[derive(Clone, PartialEq, Eq, Hash)]
struct Attempt {
    phase: Phase,
    /// Whether a dispatch is delayed and the server may still run it.
    in_flight: bool,
    executions: u8,
    /// Outcome that was reported to the caller.
    reported: Option<ClaimOutcome>,
}

/// The claim object with its version.
type Claim = Option<(u64, Rc<ClaimRecord>)>;

#[derive(Clone, PartialEq, Eq, Hash)]
struct ModelState {
    claim: Claim,
    /// Earlier states of the claim, which a stale read may return.
    earlier_claims: Vec<Claim>,
    latest: u64,
    delayed_writes: Vec<ClaimWrite>,
    attempts: Vec<Attempt>,
    platform_faults: u8,
    crashes: u8,
    refusals: u8,
}

struct Model {
    mutant: Mutant,
    requests: Vec<ClaimRequest>,
}

type Successors = Vec<(String, ModelState)>;

impl Model {
    fn new(mutant: Mutant) -> Self {
        let mut requests = Vec::new();
        for (number, node) in NODES.into_iter().enumerate() {
            let shared = mutant == Mutant::CallerAttemptId;
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

    fn start() -> ModelState {
        let attempt =
            Attempt { phase: Phase::Waiting, in_flight: false, executions: 0, reported: None };
        ModelState {
            claim: None,
            earlier_claims: Vec::new(),
            latest: 0,
            delayed_writes: Vec::new(),
            attempts: vec![attempt; ATTEMPTS],
            platform_faults: 2,
            crashes: 1,
            refusals: 2,
        }
    }

    fn successors(&self, state: &ModelState) -> Successors {
        let mut next = Vec::new();
        for number in 0..ATTEMPTS {
            self.step_attempt(state, number, &mut next);
        }
        for index in 0..state.delayed_writes.len() {
            let mut after = state.clone();
            let write = after.delayed_writes.remove(index);
            after.apply(&write);
            next.push(("a delayed write is applied".to_owned(), after));
        }
        for node in 0..2 {
            if state.crashes > 0 {
                next.push((format!("node {node} crashes"), state.crash(node)));
            }
        }
        for (_, after) in &mut next {
            after.prune();
        }
        next
    }

    fn step_attempt(&self, state: &ModelState, number: usize, next: &mut Successors) {
        let attempt = &state.attempts[number];
        let name = |event: &str| format!("attempt {number}: {event}");
        if attempt.in_flight {
            let mut after = state.clone();
            after.attempts[number].in_flight = false;
            after.attempts[number].executions += 1;
            next.push((name("the server runs the delayed dispatch"), after));
        }
        match &attempt.phase {
            Phase::Waiting => {
                let machine = ClaimMachine::acquire(&self.requests[number]);
                next.push((name("arrives"), state.with(number, Phase::Claiming(machine))));
            }
            Phase::Claiming(machine) | Phase::Recording(machine) => {
                let timed_out = self.after_deadline(state, number, machine);
                next.push((name("reaches its deadline"), timed_out));
                self.step_machine(state, number, machine, next);
            }
            Phase::Owner(version) => self.dispatch(state, number, *version, next),
            Phase::Ended { abandoned: true } => {
                let machine = ClaimMachine::abandon();
                next.push((name("abandons"), state.with(number, Phase::Recording(machine))));
            }
            Phase::Ended { abandoned: false } | Phase::Crashed => {}
        }
    }

    fn step_machine(
        &self,
        state: &ModelState,
        number: usize,
        machine: &ClaimMachine,
        next: &mut Successors,
    ) {
        match machine.step() {
            ClaimStep::Done(_) => {}
            ClaimStep::Write(write) => self.write(state, number, machine, write, next),
            ClaimStep::Read => {
                self.read(state, number, machine, &state.claim, next);
                let Some(faults) = state.platform_faults.checked_sub(1) else { return };
                let mut stale = state.clone();
                stale.platform_faults = faults;
                for seen in &state.earlier_claims {
                    self.read(&stale, number, machine, seen, next);
                }
            }
        }
    }

    fn write(
        &self,
        state: &ModelState,
        number: usize,
        machine: &ClaimMachine,
        write: &ClaimWrite,
        next: &mut Successors,
    ) {
        let mut write = write.clone();
        if let (Mutant::WriteAtCurrentVersion, Some((version, _))) = (self.mutant, &state.claim) {
            write.condition = WriteCondition::At(ObjectVersion(*version));
        }
        let mut written = state.clone();
        let outcome = written.apply(&write);
        let mut replied = machine.clone();
        replied.on_write(outcome);
        let event = format!("attempt {number}: writes {:?}, {outcome:?}", write.record.state);
        next.push((event, self.after_step(&written, number, replied)));
        let Some(faults) = state.platform_faults.checked_sub(1) else { return };
        let mut reply_lost = machine.clone();
        reply_lost.on_write(PutOutcome::ReplyLost);
        written.platform_faults = faults;
        let event = format!("attempt {number}: writes {:?}, reply lost", write.record.state);
        next.push((event, self.after_step(&written, number, reply_lost.clone())));
        let mut delayed = state.clone();
        delayed.platform_faults = faults;
        let event = format!("attempt {number}: writes {:?}, delayed", write.record.state);
        delayed.delayed_writes.push(write);
        next.push((event, self.after_step(&delayed, number, reply_lost)));
    }

    fn read(
        &self,
        state: &ModelState,
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
        let recording = matches!(state.attempts[number].phase, Phase::Recording(_));
        if let (Mutant::RecordOnAnyClaim, true, Some((_, record))) = (self.mutant, recording, seen)
        {
            request.attempt = record.attempt;
        }
        for owner_status in self.owner_statuses(state, number, seen) {
            let mut after = machine.clone();
            after.on_read(ClaimRead::Seen(object.as_ref()), &request, |_| owner_status);
            let claim_seen = seen.as_ref().map(|(version, record)| (version, record.state));
            let event = format!("attempt {number}: reads {claim_seen:?}, owner {owner_status:?}");
            next.push((event, self.after_step(state, number, after)));
        }
    }

    /// Returns what the reader may believe about the claim's owner.
    fn owner_statuses(&self, state: &ModelState, number: usize, seen: &Claim) -> Vec<OwnerStatus> {
        let Some((_, record)) = seen else { return vec![OwnerStatus::Present] };
        if record.state != ClaimState::Open {
            return vec![OwnerStatus::Present];
        }
        let owner = usize::try_from(record.attempt.0).unwrap();
        let abandoned = state.attempts[owner].is_abandoned() && NODES[owner] == NODES[number];
        if abandoned || self.mutant == Mutant::AcquireOpen {
            return vec![OwnerStatus::Abandoned];
        }
        vec![OwnerStatus::Present, OwnerStatus::Unavailable]
    }

    fn dispatch(
        &self,
        state: &ModelState,
        number: usize,
        version: ObjectVersion,
        next: &mut Successors,
    ) {
        let name = |event: &str| format!("attempt {number}: {event}");
        let mut ran = state.clone();
        ran.attempts[number].executions += 1;
        let responded = self.record(&ran, number, version, ClaimOutcome::Ran);
        next.push((name("dispatches and runs"), responded));
        next.push((name("runs, response lost"), self.after_lost_response(&ran, number, version)));
        let mut in_flight = state.clone();
        in_flight.attempts[number].in_flight = true;
        let event = name("dispatches, response lost");
        next.push((event, self.after_lost_response(&in_flight, number, version)));
        let Some(refusals) = state.refusals.checked_sub(1) else { return };
        let mut refused = state.clone();
        refused.refusals = refusals;
        next.push((name("refused, dispatches again"), refused.clone()));
        let refused = self.record(&refused, number, version, ClaimOutcome::NotRun);
        next.push((name("refused as not run"), refused));
    }

    fn after_lost_response(
        &self,
        state: &ModelState,
        number: usize,
        version: ObjectVersion,
    ) -> ModelState {
        match self.mutant {
            Mutant::RetryUnknown => state.clone(),
            Mutant::UnknownAsNotRun => {
                let mut after = self.record(state, number, version, ClaimOutcome::NotRun);
                // The caller gets the correct outcome, so that only the record is wrong.
                after.attempts[number].reported = Some(ClaimOutcome::Unknown);
                after
            }
            Mutant::ReportNotRun => {
                let mut after = self.record(state, number, version, ClaimOutcome::Unknown);
                after.attempts[number].reported = Some(ClaimOutcome::NotRun);
                after
            }
            _ => self.record(state, number, version, ClaimOutcome::Unknown),
        }
    }

    fn record(
        &self,
        state: &ModelState,
        number: usize,
        version: ObjectVersion,
        outcome: ClaimOutcome,
    ) -> ModelState {
        let machine = ClaimMachine::record(&self.requests[number], version, outcome, None);
        let mut after = state.with(number, Phase::Recording(machine));
        after.attempts[number].reported = Some(outcome);
        after
    }

    /// Returns the next state after a step of an attempt's machine.
    fn after_step(&self, state: &ModelState, number: usize, machine: ClaimMachine) -> ModelState {
        let recording = matches!(state.attempts[number].phase, Phase::Recording(_));
        let ClaimStep::Done(result) = machine.step() else {
            let phase =
                if recording { Phase::Recording(machine) } else { Phase::Claiming(machine) };
            return state.with(number, phase);
        };
        self.after_result(state, number, &result.clone())
    }

    fn after_deadline(
        &self,
        state: &ModelState,
        number: usize,
        machine: &ClaimMachine,
    ) -> ModelState {
        self.after_result(state, number, &machine.result_at_deadline())
    }

    fn after_result(&self, state: &ModelState, number: usize, result: &ClaimResult) -> ModelState {
        let reported = match result {
            ClaimResult::Acquired(version) => return state.with(number, Phase::Owner(*version)),
            ClaimResult::Uncertain if self.mutant == Mutant::DispatchUncertain => {
                return state.with(number, Phase::Owner(ObjectVersion(0)));
            }
            ClaimResult::Recorded
                if self.mutant == Mutant::DispatchAfterNotRun
                    && state.attempts[number].reported == Some(ClaimOutcome::NotRun) =>
            {
                return state.with(number, Phase::Owner(ObjectVersion(state.latest)));
            }
            ClaimResult::Replay(recorded) => Some(recorded.outcome),
            ClaimResult::InProgress => Some(ClaimOutcome::Unknown),
            ClaimResult::Mismatch
            | ClaimResult::NotClaimed
            | ClaimResult::Uncertain
            | ClaimResult::Malformed => Some(ClaimOutcome::NotRun),
            ClaimResult::Recorded | ClaimResult::NotOwner | ClaimResult::NotRecorded => None,
        };
        let abandoned = *result == ClaimResult::Uncertain;
        let mut after = state.with(number, Phase::Ended { abandoned });
        let attempt = &mut after.attempts[number];
        attempt.reported = attempt.reported.or(reported);
        after
    }
}

impl Attempt {
    fn is_abandoned(&self) -> bool {
        self.phase == Phase::Ended { abandoned: true }
    }
}

impl ModelState {
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

    /// Drops stale reads and delayed writes that can no longer have an effect, to
    /// reduce the number of distinct states.
    fn prune(&mut self) {
        if self.platform_faults == 0 {
            self.earlier_claims.clear();
        }
        let claim = &self.claim;
        self.delayed_writes.retain(|write| match (write.condition, claim) {
            (WriteCondition::Absent, claim) => claim.is_none(),
            (WriteCondition::At(required), Some((version, _))) => required.0 >= *version,
            (WriteCondition::At(_), None) => true,
        });
    }

    fn apply(&mut self, write: &ClaimWrite) -> PutOutcome {
        let current = self.claim.as_ref().map(|(version, _)| ObjectVersion(*version));
        let holds = match write.condition {
            WriteCondition::Absent => current.is_none(),
            WriteCondition::At(version) => current == Some(version),
        };
        if !holds {
            return PutOutcome::ConditionFailed;
        }
        self.latest += 1;
        let before = self.claim.replace((self.latest, Rc::new(write.record.clone())));
        self.earlier_claims.push(before);
        PutOutcome::Written(ObjectVersion(self.latest))
    }

    /// Returns the first invariant that is violated.
    fn violated_invariant(&self) -> Option<&'static str> {
        let executions: u8 = self.attempts.iter().map(|attempt| attempt.executions).sum();
        if executions > 1 {
            return Some("the request ran twice");
        }
        for attempt in &self.attempts {
            if attempt.reported == Some(ClaimOutcome::NotRun) && attempt.executions > 0 {
                return Some("the request was reported as not run, but it ran");
            }
            if attempt.reported == Some(ClaimOutcome::Ran) && executions == 0 {
                return Some("the request was reported as run, but it did not run");
            }
        }
        let (_, record) = self.claim.as_ref()?;
        let owner = &self.attempts[usize::try_from(record.attempt.0).unwrap()];
        match record.state {
            ClaimState::Done(ClaimOutcome::Ran) if executions == 0 => {
                Some("the claim records that the request ran, but it did not run")
            }
            ClaimState::Done(ClaimOutcome::NotRun) if owner.executions > 0 => {
                Some("the claim records that the request did not run, but it ran")
            }
            _ => None,
        }
    }
}

/// Formats the events along a path of states.
struct Trace<'a> {
    model: &'a Model,
    path: &'a [ModelState],
}

impl fmt::Display for Trace<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for pair in self.path.windows(2) {
            let successors = self.model.successors(&pair[0]);
            let step = successors.iter().find(|(_, state)| *state == pair[1]);
            writeln!(f, "  {}", step.map_or("?", |(event, _)| event))?;
        }
        let violated = self.path.last().and_then(ModelState::violated_invariant);
        writeln!(f, "  => {}", violated.unwrap_or("no invariant is violated"))
    }
}

fn next_states(model: &Model, state: &ModelState) -> Vec<ModelState> {
    model.successors(state).into_iter().map(|(_, after)| after).collect()
}

#[test]
fn every_invariant_holds_in_every_order_of_events() {
    let model = Model::new(Mutant::None);
    let mut state_count = 0_u64;
    let mut ran = 0_u64;
    for state in bfs_reach(Model::start(), |state| next_states(&model, state)) {
        state_count += 1;
        ran += u64::from(state.attempts.iter().any(|attempt| attempt.executions > 0));
        if let Some(violated) = state.violated_invariant() {
            panic!("{violated}");
        }
    }
    println!("claim protocol: {state_count} states, the request ran in {ran} of them");
    assert!(ran > 0);
}

#[parameterized(
    dispatch_uncertain = { Mutant::DispatchUncertain },
    acquire_open = { Mutant::AcquireOpen },
    retry_unknown = { Mutant::RetryUnknown },
    caller_attempt_id = { Mutant::CallerAttemptId },
    unknown_as_not_run = { Mutant::UnknownAsNotRun },
    record_on_any_claim = { Mutant::RecordOnAnyClaim },
    write_at_current_version = { Mutant::WriteAtCurrentVersion },
    dispatch_after_not_run = { Mutant::DispatchAfterNotRun },
    report_not_run = { Mutant::ReportNotRun },
)]
fn omitting_a_rule_violates_an_invariant(mutant: Mutant) {
    let model = Model::new(mutant);
    let path = bfs(
        &Model::start(),
        |state| next_states(&model, state),
        |state| state.violated_invariant().is_some(),
    );
    let path = path.unwrap_or_else(|| panic!("{mutant:?} was not detected"));
    println!("{mutant:?}:\n{}", Trace { model: &model, path: &path });
}
