//! Takeover of another node's lease: when its grants may be moved.

use std::sync::LazyLock;

use carobstep_chart::StateChart;
use carobstep_clock::BootTime;
use carobstep_store::ObjectVersion;
use strum::{Display, EnumString};

use crate::{options::LeaseTiming, record::LeaseRecordState};

/// Progress of a takeover.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Display, EnumString)]
#[strum(serialize_all = "snake_case")]
pub enum TakeoverState {
    /// The lease may still be renewed.
    Watching,
    /// The lease has expired, or the holder's VM was removed, and the lease is being
    /// closed.
    Closing,
    /// The lease is closed and its witnesses are being notified.
    Telling,
    /// More than half of the witnesses are notified. Vouches that they sent before
    /// are about to expire.
    Fencing,
    /// The incarnation is proven to dispatch no more requests.
    Proven,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, EnumString)]
#[strum(serialize_all = "snake_case")]
enum TakeoverInput {
    /// The lease has expired, or the holder's VM was removed.
    Lapsed,
    /// A newer version of the lease was read.
    Renewed,
    /// The lease is closed.
    Closed,
    /// More than half of the witnesses acknowledged the close.
    Told,
    /// The fence time plus the drift has passed.
    Waited,
    /// A later incarnation, a released lease or the removed VM proves that the
    /// incarnation has ended.
    Ended,
}

static CHART: LazyLock<StateChart<TakeoverState, TakeoverInput>> = LazyLock::new(|| {
    StateChart::parse(include_str!("../charts/takeover.jsonc"))
        .expect("the takeover chart is valid")
});

/// Contents of another node's lease object, as read from the platform.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct LeaseView<N> {
    /// Version of the lease object.
    pub version: ObjectVersion,
    /// Incarnation of the holder.
    pub incarnation: u64,
    /// Recorded state of the lease.
    pub state: LeaseRecordState,
    /// Recorded witnesses of the lease.
    pub witnesses: Vec<N>,
}

/// Next action of the node that takes over.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum TakeoverStep<N> {
    /// Do nothing before the given time.
    Wait(BootTime),
    /// Close the lease, on condition that its object still has this version.
    CloseLease(ObjectVersion),
    /// Notify these witnesses that the lease is closed, and report each one that
    /// acknowledges with [`LeaseTakeover::on_witness_notified`].
    NotifyWitnesses(Vec<N>),
    /// Move the grants of the incarnation to other nodes.
    MoveGrants,
}

/// Protocol that proves that one incarnation of a node no longer dispatches.
///
/// Its steps, in order, with all times on this node's clock:
///
/// 1. The lease object does not change for the term plus the drift.
/// 2. A conditional write closes the lease.
/// 3. More than half of the recorded witnesses are notified of the close.
/// 4. The fence time plus the drift passes.
///
/// If the platform's VM list shows that the holder's VM was removed, step 1 is
/// skipped, and the proof is complete in step 3 once the lists have shown this for
/// the fence time plus the drift.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct LeaseTakeover<N> {
    incarnation: u64,
    state: TakeoverState,
    /// Newest version of the lease that was observed.
    version: ObjectVersion,
    /// Time from which the wait for the end of the term counts: when that version was
    /// first read, or earlier if a message of the holder shows that it was older.
    seen_at: BootTime,
    witnesses: Vec<N>,
    notified: Vec<N>,
    notified_at: BootTime,
    vm_removed_since: Option<BootTime>,
}

impl<N: Clone + Ord> LeaseTakeover<N> {
    /// Creates a takeover that watches one incarnation of a lease.
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
            vm_removed_since: None,
        }
    }

    /// Returns the incarnation that is being taken over.
    #[must_use]
    pub const fn incarnation(&self) -> u64 {
        self.incarnation
    }

    /// Returns the progress of the takeover.
    #[must_use]
    pub const fn state(&self) -> TakeoverState {
        self.state
    }

    /// Records the contents of the lease object, read at `now`.
    ///
    /// Ignores versions older than the newest one observed. A later incarnation in
    /// any version proves that this one has ended.
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
        match lease.state {
            LeaseRecordState::Open => {}
            LeaseRecordState::Closed => self.apply(TakeoverInput::Closed),
            LeaseRecordState::Released => self.apply(TakeoverInput::Ended),
        }
    }

    /// Moves the time at which `version` was first seen back to `seen_at`, if that
    /// is earlier.
    ///
    /// At `seen_at`, this node must have received a message that the holder sent
    /// after the renewal with this version took effect.
    pub fn backdate(&mut self, version: ObjectVersion, seen_at: BootTime) {
        if version == self.version {
            self.seen_at = self.seen_at.min(seen_at);
        }
    }

    /// Records that the conditional close took effect and gave the object the new
    /// `version`.
    pub fn on_closed(&mut self, version: ObjectVersion) {
        self.version = version;
        self.apply(TakeoverInput::Closed);
    }

    /// Records whether the VM list read at `now` shows that the holder's VM was
    /// removed.
    pub fn set_vm_removed(&mut self, now: BootTime, removed: bool) {
        if !removed {
            self.vm_removed_since = None;
            return;
        }
        self.vm_removed_since.get_or_insert(now);
    }

    /// Records that a witness acknowledged the close of the lease.
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

    /// Returns the next action at `now`.
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
        let expires_at = self.seen_at + timing.term + timing.drift;
        // Close the lease immediately if the VM was removed. If the list is wrong, a
        // holder that reaches the platform then finds its lease closed and stops.
        if now < expires_at && self.vm_removed_since.is_none() {
            return TakeoverStep::Wait(expires_at);
        }
        if self.seen_at == BootTime::MAX {
            return TakeoverStep::Wait(BootTime::MAX);
        }
        self.apply(TakeoverInput::Lapsed);
        TakeoverStep::CloseLease(self.version)
    }

    fn step_notifying(&mut self, now: BootTime, timing: &LeaseTiming) -> TakeoverStep<N> {
        if let Some(since) = self.vm_removed_since {
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

    /// Applies `map` to all stored times, so that a model checker can compare
    /// takeovers that differ only in the origin of the clock.
    pub fn map_times(&mut self, map: impl Fn(BootTime) -> BootTime) {
        self.seen_at = map(self.seen_at);
        self.notified_at = map(self.notified_at);
        self.vm_removed_since = self.vm_removed_since.map(map);
    }
}
