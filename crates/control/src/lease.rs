//! Lease of a node as the node itself knows it, which decides when it may dispatch.

use std::{sync::LazyLock, time::Duration};

use carobstep_chart::StateChart;
use carobstep_clock::BootTime;
use strum::{Display, EnumString};

use crate::options::LeaseTiming;

/// State of a node's own lease.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Display, EnumString)]
#[strum(serialize_all = "snake_case")]
pub enum LeaseState {
    /// No write of this incarnation is known to have taken effect.
    Opening,
    /// A write of this incarnation took effect. The lease stays in this state when its
    /// term ends; [`LeaseGuard::may_dispatch`] checks the term and the vouches.
    Open,
    /// Another node closed the lease.
    Closed,
    /// The node released the lease.
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

/// A renewal that was sent and whose outcome is unknown.
///
/// It may have been sent several times with the same witnesses.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
struct PendingRenewal<N> {
    first_sent: BootTime,
    last_sent: BootTime,
    witnesses: Vec<N>,
}

/// Lease of one incarnation of a node, as the node itself knows it.
///
/// A node may dispatch while its last confirmed renewal is younger than the
/// term, counted from the time at which the renewal was sent. Past the term it
/// may dispatch only while at least half of the recorded witnesses vouch for
/// it. The node counts as one of them, and a vouch lasts for the fence time,
/// counted from the time at which it was requested.
///
/// While the outcome of a renewal is unknown, the platform may have recorded
/// either the old or the new witnesses, so half of each set is needed.
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
    /// Creates the guard of a lease of `node` that has not been written yet.
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

    /// Returns the state of the lease.
    #[must_use]
    pub const fn state(&self) -> LeaseState {
        self.state
    }

    /// Whether the outcome of the last renewal is unknown.
    #[must_use]
    pub const fn has_pending_renewal(&self) -> bool {
        self.pending.is_some()
    }

    /// Records that a renewal is sent at `now` and returns the witnesses to write.
    ///
    /// These are the `live` nodes and the node itself. While the outcome of an
    /// earlier renewal is unknown, its witnesses are written again, so that the
    /// platform can have recorded one of at most two sets.
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

    /// Records that the last renewal took effect, according to its reply.
    pub fn confirm(&mut self) {
        let Some(pending) = self.pending.take() else { return };
        self.install_renewal(pending.last_sent, pending.witnesses);
    }

    /// Records that a read of the lease showed the pending renewal.
    ///
    /// It is unknown which of several attempts took effect, so the term counts
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

    /// Records that the last attempt had no effect and never will.
    ///
    /// The renewal stays pending if it was sent before, because an earlier attempt
    /// may still take effect.
    pub fn fail_renewal(&mut self) {
        if self.pending.as_ref().is_some_and(|pending| pending.first_sent == pending.last_sent) {
            self.pending = None;
        }
    }

    /// Records that another node closed the lease.
    pub fn close(&mut self) {
        self.apply(LeaseInput::Closed);
    }

    /// Records that the node released the lease.
    pub fn release(&mut self) {
        self.apply(LeaseInput::Released);
    }

    /// Records that `witness` vouched in reply to a request sent at `sent_at`.
    pub fn record_vouch(&mut self, witness: N, sent_at: BootTime) {
        if let Some((_, last)) = self.vouches.iter_mut().find(|(node, _)| *node == witness) {
            *last = (*last).max(sent_at);
            return;
        }
        self.vouches.push((witness, sent_at));
        self.vouches.sort();
    }

    /// Returns the witnesses of the confirmed and of the pending renewal, without
    /// the node itself.
    pub fn witnesses(&self) -> impl Iterator<Item = &N> {
        let pending_witnesses = self.pending.iter().flat_map(|pending| &pending.witnesses);
        let added = pending_witnesses.filter(|witness| !self.witnesses.contains(witness));
        self.witnesses.iter().chain(added).filter(|witness| **witness != self.node)
    }

    /// Returns the time at which the term of the last confirmed renewal ends.
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
        sets.all(|set| self.is_vouched_by_half(set, now, fence))
    }

    fn is_vouched_by_half(&self, set: &[N], now: BootTime, fence: Duration) -> bool {
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

    /// Applies `map` to all stored times, so that a model checker can compare
    /// guards that differ only in the origin of the clock.
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
