//! The taker's side of a lease: when the grants of another node may be moved.

use std::sync::LazyLock;

use carobstep_chart::StateChart;
use carobstep_clock::BootTime;
use carobstep_store::ObjectVersion;
use strum::{Display, EnumString};

use crate::{options::LeaseTiming, record::LeaseMark};

/// How far a takeover is.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Display, EnumString)]
#[strum(serialize_all = "snake_case")]
pub enum TakeoverState {
    /// The lease may still be renewed.
    Watching,
    /// The lease lapsed and is being closed.
    Closing,
    /// The lease is closed and its witnesses are being told.
    Telling,
    /// More than half of the witnesses know; earlier answers run out.
    Fencing,
    /// The incarnation dispatches no more.
    Proven,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, EnumString)]
#[strum(serialize_all = "snake_case")]
enum TakeoverInput {
    Lapsed,
    Renewed,
    Closed,
    Told,
    Waited,
    Ended,
}

static CHART: LazyLock<StateChart<TakeoverState, TakeoverInput>> = LazyLock::new(|| {
    StateChart::parse(include_str!("../charts/takeover.jsonc"))
        .expect("the takeover chart is valid")
});

/// A reading of another node's lease.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct LeaseView<N> {
    /// Version of the object.
    pub version: ObjectVersion,
    /// Incarnation that the object shows.
    pub incarnation: u64,
    /// State that the object shows.
    pub mark: LeaseMark,
    /// Witnesses that the object records.
    pub witnesses: Vec<N>,
}

/// What a taker has to do next.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum TakeoverStep<N> {
    /// Nothing before the given time.
    Wait(BootTime),
    /// Close the lease on condition that its object is at this version.
    CloseLease(ObjectVersion),
    /// Tell these witnesses, and report those that answer.
    NotifyWitnesses(Vec<N>),
    /// Move the grants of the incarnation.
    MoveGrants,
}

/// Proof in progress that one incarnation of a lease dispatches no more.
///
/// The order is fixed: the object has not changed for the term and the drift
/// on this node's own clock; it is closed by conditional update; more than
/// half of its recorded witnesses are told; the fence and the drift pass.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct LeaseTakeover<N> {
    incarnation: u64,
    state: TakeoverState,
    version: ObjectVersion,
    seen_at: BootTime,
    witnesses: Vec<N>,
    notified: Vec<N>,
    notified_at: BootTime,
    vm_gone_since: Option<BootTime>,
}

impl<N: Clone + Ord> LeaseTakeover<N> {
    /// Starts to watch one incarnation of a lease.
    #[must_use]
    pub fn new(incarnation: u64) -> Self {
        Self {
            incarnation,
            state: CHART.initial(),
            version: ObjectVersion(0),
            seen_at: BootTime::MAX,
            witnesses: Vec::new(),
            notified: Vec::new(),
            notified_at: BootTime::MAX,
            vm_gone_since: None,
        }
    }

    /// Incarnation that is being taken over.
    #[must_use]
    pub const fn incarnation(&self) -> u64 {
        self.incarnation
    }

    /// How far the takeover is.
    #[must_use]
    pub const fn state(&self) -> TakeoverState {
        self.state
    }

    /// Takes in a reading of the lease made at `now`.
    ///
    /// Older readings than the newest one are ignored, except that an ended
    /// incarnation stays ended in every later version.
    pub fn observe(&mut self, now: BootTime, lease: &LeaseView<N>) {
        if lease.incarnation > self.incarnation {
            self.apply(TakeoverInput::Ended);
            return;
        }
        if lease.incarnation < self.incarnation || lease.version < self.version {
            return;
        }
        if lease.version > self.version {
            self.version = lease.version;
            self.seen_at = now;
            self.witnesses.clone_from(&lease.witnesses);
            self.apply(TakeoverInput::Renewed);
        }
        match lease.mark {
            LeaseMark::Open => {}
            LeaseMark::Closed => self.apply(TakeoverInput::Closed),
            LeaseMark::Released => self.apply(TakeoverInput::Ended),
        }
    }

    /// The version was first seen elsewhere at an earlier time.
    ///
    /// `version` was reported at `seen_at` by a message that the holder sent
    /// after the renewal took effect.
    pub fn backdate(&mut self, version: ObjectVersion, seen_at: BootTime) {
        if version == self.version {
            self.seen_at = self.seen_at.min(seen_at);
        }
    }

    /// The conditional close took effect and gave the object a new version.
    pub fn on_closed(&mut self, version: ObjectVersion) {
        self.version = version;
        self.apply(TakeoverInput::Closed);
    }

    /// Whether the VM list shows that the holder's VM is gone.
    pub fn set_vm_gone(&mut self, now: BootTime, gone: bool) {
        if !gone {
            self.vm_gone_since = None;
            return;
        }
        self.vm_gone_since.get_or_insert(now);
    }

    /// A witness answered that it knows that the lease is closed.
    pub fn on_witness_notified(&mut self, now: BootTime, witness: N) {
        if self.state != TakeoverState::Telling || self.notified.contains(&witness) {
            return;
        }
        self.notified.push(witness);
        self.notified.sort();
        if self.is_majority_notified() {
            self.notified_at = now;
            self.apply(TakeoverInput::Told);
        }
    }

    fn is_majority_notified(&self) -> bool {
        let notified =
            self.witnesses.iter().filter(|witness| self.notified.contains(witness)).count();
        2 * notified > self.witnesses.len()
    }

    /// What to do at `now`.
    pub fn step(&mut self, now: BootTime, timing: &LeaseTiming) -> TakeoverStep<N> {
        match self.state {
            TakeoverState::Watching => self.step_watching(now, timing),
            TakeoverState::Closing => TakeoverStep::CloseLease(self.version),
            TakeoverState::Telling => self.step_notifying(now, timing),
            TakeoverState::Fencing => self.wait_for(
                now,
                self.notified_at + timing.fence + timing.drift,
                TakeoverInput::Waited,
            ),
            TakeoverState::Proven => TakeoverStep::MoveGrants,
        }
    }

    fn step_watching(&mut self, now: BootTime, timing: &LeaseTiming) -> TakeoverStep<N> {
        let lapse = self.seen_at + timing.term + timing.drift;
        // A lease whose VM is gone is closed at once, so that a wrong list
        // still stops a holder that reaches the platform.
        if now < lapse && self.vm_gone_since.is_none() {
            return TakeoverStep::Wait(lapse);
        }
        if self.seen_at == BootTime::MAX {
            return TakeoverStep::Wait(BootTime::MAX);
        }
        self.apply(TakeoverInput::Lapsed);
        TakeoverStep::CloseLease(self.version)
    }

    fn step_notifying(&mut self, now: BootTime, timing: &LeaseTiming) -> TakeoverStep<N> {
        if let Some(since) = self.vm_gone_since {
            let end = since + timing.fence + timing.drift;
            if now >= end {
                return self.wait_for(now, end, TakeoverInput::Ended);
            }
        }
        let unnotified = self.witnesses.iter().filter(|witness| !self.notified.contains(witness));
        TakeoverStep::NotifyWitnesses(unnotified.cloned().collect())
    }

    fn wait_for(&mut self, now: BootTime, end: BootTime, input: TakeoverInput) -> TakeoverStep<N> {
        if now < end {
            return TakeoverStep::Wait(end);
        }
        self.apply(input);
        TakeoverStep::MoveGrants
    }

    fn apply(&mut self, input: TakeoverInput) {
        if let Some(next) = CHART.next(self.state, input) {
            self.state = next;
        }
    }

    /// Replaces every stored clock reading, to compare takeovers whose
    /// readings only differ in the origin of the clock.
    pub fn map_times(&mut self, map: impl Fn(BootTime) -> BootTime) {
        self.seen_at = map(self.seen_at);
        self.notified_at = map(self.notified_at);
        self.vm_gone_since = self.vm_gone_since.map(map);
    }
}
