//! The holder's side of a lease: when a node may dispatch.

use std::{sync::LazyLock, time::Duration};

use carobstep_chart::StateChart;
use carobstep_clock::BootTime;
use strum::{Display, EnumString};

use crate::options::LeaseTiming;

/// State of the own lease.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Display, EnumString)]
#[strum(serialize_all = "snake_case")]
pub enum LeaseState {
    /// No write of this incarnation is known to have taken effect.
    Opening,
    /// The lease is held.
    Open,
    /// Another node closed the lease.
    Closed,
    /// The node gave the lease up.
    Released,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, EnumString)]
#[strum(serialize_all = "snake_case")]
enum LeaseInput {
    Confirmed,
    Closed,
    Released,
}

static CHART: LazyLock<StateChart<LeaseState, LeaseInput>> = LazyLock::new(|| {
    StateChart::parse(include_str!("../charts/lease.jsonc")).expect("the lease chart is valid")
});

/// A renewal that was sent and whose effect is not known.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
struct PendingRenewal<N> {
    first_sent: BootTime,
    last_sent: BootTime,
    witnesses: Vec<N>,
}

/// What one incarnation of a node knows of its own lease.
///
/// A node may dispatch while its last confirmed renewal is younger than the
/// term, counted from the moment at which the renewal was sent. Past the term
/// it may go on only while at least half of the recorded witnesses, itself
/// counted, answered a vouch request that was sent within the fence time. While
/// the effect of a renewal is unknown, both the old and the new witnesses may
/// be the recorded ones, so half of each set is needed.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct LeaseGuard<N> {
    node: N,
    state: LeaseState,
    renewed_at: BootTime,
    witnesses: Vec<N>,
    pending: Option<PendingRenewal<N>>,
    vouches: Vec<(N, BootTime)>,
}

impl<N: Clone + Ord> LeaseGuard<N> {
    /// A lease of `node` that has not been written yet.
    #[must_use]
    pub fn new(node: N) -> Self {
        Self {
            node,
            state: CHART.initial(),
            renewed_at: BootTime::ZERO,
            witnesses: Vec::new(),
            pending: None,
            vouches: Vec::new(),
        }
    }

    /// State of the lease.
    #[must_use]
    pub const fn state(&self) -> LeaseState {
        self.state
    }

    /// Whether the effect of the last renewal is unknown.
    #[must_use]
    pub const fn has_pending_renewal(&self) -> bool {
        self.pending.is_some()
    }

    /// Records that a renewal is sent now and returns the witnesses to write.
    ///
    /// While an earlier renewal is unsettled its witnesses are written again,
    /// so that never more than two sets may be the recorded one.
    pub fn begin_renewal(&mut self, now: BootTime, live: &[N]) -> Vec<N> {
        if let Some(pending) = &mut self.pending {
            pending.last_sent = now;
            return pending.witnesses.clone();
        }
        let mut witnesses = live.to_vec();
        witnesses.push(self.node.clone());
        witnesses.sort();
        witnesses.dedup();
        let pending =
            PendingRenewal { first_sent: now, last_sent: now, witnesses: witnesses.clone() };
        self.pending = Some(pending);
        witnesses
    }

    /// The last renewal was answered: it took effect.
    pub fn confirm(&mut self) {
        let Some(pending) = self.pending.take() else { return };
        self.install_renewal(pending.last_sent, pending.witnesses);
    }

    /// A reading of the lease showed the unsettled renewal.
    ///
    /// Which of several attempts took effect is unknown, so the term counts
    /// from the first one.
    pub fn confirm_read_back(&mut self) {
        let Some(pending) = self.pending.take() else { return };
        self.install_renewal(pending.first_sent, pending.witnesses);
    }

    fn install_renewal(&mut self, sent_at: BootTime, witnesses: Vec<N>) {
        self.apply(LeaseInput::Confirmed);
        self.renewed_at = self.renewed_at.max(sent_at);
        self.witnesses = witnesses;
    }

    /// The renewal sent last certainly had no effect and never will.
    ///
    /// Earlier ones that are unsettled still may have one.
    pub fn fail_renewal(&mut self) {
        if self.pending.as_ref().is_some_and(|pending| pending.first_sent == pending.last_sent) {
            self.pending = None;
        }
    }

    /// Another node closed the lease.
    pub fn close(&mut self) {
        self.apply(LeaseInput::Closed);
    }

    /// The node gives the lease up.
    pub fn release(&mut self) {
        self.apply(LeaseInput::Released);
    }

    /// `witness` answered a vouch request that was sent at `sent_at`.
    pub fn record_vouch(&mut self, witness: N, sent_at: BootTime) {
        if let Some((_, last)) = self.vouches.iter_mut().find(|(node, _)| *node == witness) {
            *last = (*last).max(sent_at);
            return;
        }
        self.vouches.push((witness, sent_at));
        self.vouches.sort();
    }

    /// Witnesses that may have to vouch, the node itself left out.
    pub fn witnesses(&self) -> impl Iterator<Item = &N> {
        let pending_witnesses = self.pending.iter().flat_map(|pending| &pending.witnesses);
        let fresh = pending_witnesses.filter(|witness| !self.witnesses.contains(witness));
        self.witnesses.iter().chain(fresh).filter(|witness| **witness != self.node)
    }

    /// When the term of the last confirmed renewal ends.
    #[must_use]
    pub fn term_end(&self, timing: &LeaseTiming) -> BootTime {
        self.renewed_at + timing.term
    }

    /// Whether the node may start a request at `now`.
    #[must_use]
    pub fn may_dispatch(&self, now: BootTime, timing: &LeaseTiming) -> bool {
        if self.state != LeaseState::Open {
            return false;
        }
        now < self.term_end(timing) || self.is_vouched(now, timing.fence)
    }

    fn is_vouched(&self, now: BootTime, fence: Duration) -> bool {
        let pending_witnesses = self.pending.as_ref().map(|pending| &pending.witnesses);
        let mut sets = [Some(&self.witnesses), pending_witnesses].into_iter().flatten();
        sets.all(|set| self.has_half(set, now, fence))
    }

    fn has_half(&self, set: &[N], now: BootTime, fence: Duration) -> bool {
        let vouched = set.iter().filter(|witness| self.has_vouch(witness, now, fence)).count();
        2 * vouched >= set.len()
    }

    fn has_vouch(&self, witness: &N, now: BootTime, fence: Duration) -> bool {
        if *witness == self.node {
            return true;
        }
        self.vouches.iter().any(|(node, sent_at)| node == witness && now < *sent_at + fence)
    }

    fn apply(&mut self, input: LeaseInput) {
        if let Some(next) = CHART.next(self.state, input) {
            self.state = next;
        }
    }

    /// Replaces every stored clock reading, to compare guards whose readings
    /// only differ in the origin of the clock.
    pub fn map_times(&mut self, map: impl Fn(BootTime) -> BootTime) {
        self.renewed_at = map(self.renewed_at);
        for (_, sent_at) in &mut self.vouches {
            *sent_at = map(*sent_at);
        }
        if let Some(pending) = &mut self.pending {
            pending.first_sent = map(pending.first_sent);
            pending.last_sent = map(pending.last_sent);
        }
    }
}
