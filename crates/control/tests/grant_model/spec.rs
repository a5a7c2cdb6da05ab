//! Model state of one grant: the holder, its lease, its witnesses and the
//! claimants, which are the nodes that try to take the grant over.
//!
//! Time is relative: the clock of every node always reads [`NOW`], and a tick
//! makes every stored time one tick older. All times that are too old to matter
//! are equal, so that the state space is finite.

use std::{collections::BTreeSet, time::Duration};

use carobstep_clock::BootTime;
use carobstep_control::{LeaseGuard, LeaseRecordState, LeaseTakeover, LeaseView, LeaseWitness};
use carobstep_store::ObjectVersion;

use crate::rules::{DRIFT, FENCE, ModelConfig, Mutant};

/// Current time of every clock.
pub const NOW: BootTime = BootTime::from_millis(1_000);

/// Incarnation of the holder that the model examines.
pub const INCARNATION: u64 = 1;

/// Lease object of the holder, as stored by the platform.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct LeaseObject {
    pub version: u64,
    pub incarnation: u64,
    pub closed: bool,
    pub renewal: u8,
    pub witnesses: Vec<u8>,
}

/// Grant object, as stored by the platform.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum GrantObject {
    /// Held by node 0 in its first incarnation.
    Original,
    /// Released by node 0.
    Released,
    /// Moved to a claimant.
    Moved(u8),
}

/// A renewal that has not taken effect yet.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct RenewalWrite {
    pub version: u64,
    pub renewal: u8,
    pub witnesses: Vec<u8>,
    /// Whether the holder still awaits the reply.
    pub awaited: bool,
}

/// State of the holder's call that renews its lease.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum HolderCall {
    /// No call is in flight and the next renewal may be sent.
    Idle,
    /// A renewal was sent.
    Sent,
    /// The platform replied with the new version, or with a conflict.
    Replied(Option<u64>),
    /// The reply was lost, so the lease must be read.
    MustRead,
}

/// State of the grant at the holder.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum GrantStep {
    Held,
    Draining,
    /// The release was sent and has not taken effect.
    Releasing,
    Dropped,
}

/// State of the holder.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Holder {
    pub up: bool,
    pub guard: LeaseGuard<u8>,
    pub grant_step: GrantStep,
    pub version: u64,
    pub renewal: u8,
    pub call: HolderCall,
    /// Whether a release was sent and may still take effect.
    pub release_sent: bool,
    /// Result of the last lease check, used by
    /// [`Mutant::DispatchCheckLeftOut`].
    pub checked: bool,
}

/// State of a claimant's call that closes the lease.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum CloseCall {
    Idle,
    /// The close was sent, on condition that the lease has this version.
    Sent(u64),
    /// The platform replied with the new version, or with a conflict.
    Replied(Option<u64>),
}

/// State of a node other than the holder.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Member {
    pub witness: LeaseWitness<u8>,
    pub takeover: Option<LeaseTakeover<u8>>,
    pub close: CloseCall,
    /// Time of the vouch request that the node's reply in flight belongs to.
    pub vouch_reply: Option<BootTime>,
    /// Lease version that gossip reported to the node, and when.
    pub reported: Option<(u64, BootTime)>,
    /// Witnesses notified before the close, used by
    /// [`Mutant::NotifiedBeforeClose`].
    pub notified_early: BTreeSet<u8>,
    /// Time from which the node may dispatch.
    pub not_before: Option<BootTime>,
}

/// State of the whole system.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct GrantState {
    pub lease: LeaseObject,
    pub grant: GrantObject,
    pub holder: Holder,
    pub members: Vec<Member>,
    pub renewals: Vec<RenewalWrite>,
    /// Conditional versions of closes in flight whose sender no longer awaits the
    /// reply.
    pub delayed_closes: BTreeSet<u64>,
    /// Ticks since the holder was last able to start a request.
    pub idle_ticks: u64,
    pub renewals_left: u8,
    pub restarts_left: u8,
    pub missed_ticks_left: u8,
}

impl GrantState {
    /// Creates the initial state: node 0 holds the grant and has just renewed its
    /// lease, and every other node of the zone is its witness.
    pub fn new(config: &ModelConfig) -> Self {
        let mut guard = LeaseGuard::new(0);
        let others: Vec<u8> = (1..config.nodes).collect();
        let witnesses = guard.begin_renewal(NOW, &others);
        guard.confirm();
        let mut witness = LeaseWitness::default();
        witness.mark_leases_read();
        let member = Member {
            witness,
            takeover: None,
            close: CloseCall::Idle,
            vouch_reply: None,
            reported: None,
            notified_early: BTreeSet::new(),
            not_before: None,
        };
        Self {
            lease: LeaseObject {
                version: 1,
                incarnation: INCARNATION,
                closed: false,
                renewal: 1,
                witnesses,
            },
            grant: GrantObject::Original,
            holder: Holder {
                up: true,
                guard,
                grant_step: GrantStep::Held,
                version: 1,
                renewal: 1,
                call: HolderCall::Idle,
                release_sent: false,
                checked: true,
            },
            members: vec![member; usize::from(config.nodes) - 1],
            renewals: Vec::new(),
            delayed_closes: BTreeSet::new(),
            idle_ticks: 0,
            renewals_left: config.renewals,
            restarts_left: config.restarts,
            missed_ticks_left: config.missed_ticks,
        }
    }

    pub fn member(&self, node: u8) -> &Member {
        &self.members[usize::from(node) - 1]
    }

    pub fn member_mut(&mut self, node: u8) -> &mut Member {
        &mut self.members[usize::from(node) - 1]
    }

    /// Returns the contents of the lease object.
    pub fn view(&self) -> LeaseView<u8> {
        LeaseView {
            version: ObjectVersion(self.lease.version),
            incarnation: self.lease.incarnation,
            state: if self.lease.closed {
                LeaseRecordState::Closed
            } else {
                LeaseRecordState::Open
            },
            witnesses: self.lease.witnesses.clone(),
        }
    }

    /// Whether the holder may start a request now.
    pub fn holder_dispatches(&self, config: &ModelConfig) -> bool {
        let holder = &self.holder;
        if !holder.up || holder.grant_step != GrantStep::Held {
            return false;
        }
        if config.omits(Mutant::DispatchCheckLeftOut) {
            return holder.checked;
        }
        self.lease_valid(config)
    }

    /// Whether the holder's guard allows a dispatch now.
    pub fn lease_valid(&self, config: &ModelConfig) -> bool {
        let mut guard = self.holder.guard.clone();
        if config.omits(Mutant::OldWitnessesOnly) {
            guard.fail_renewal();
        }
        guard.may_dispatch(NOW, &config.holder_timing())
    }

    /// Returns the claimant that may start a request now.
    pub fn dispatching_claimant(&self) -> Option<u8> {
        let GrantObject::Moved(node) = self.grant else { return None };
        let ready = self.member(node).not_before.is_some_and(|from| NOW >= from);
        ready.then_some(node)
    }

    /// Whether two nodes use the server at the same time, including requests of
    /// the holder that are still running.
    pub fn is_violated(&self, config: &ModelConfig) -> bool {
        let running = self.holder_dispatches(config) || self.idle_ticks < config.deadline;
        running && self.dispatching_claimant().is_some()
    }

    /// Makes every stored time one tick older, except those of the holder if its
    /// clock misses the tick.
    pub fn age(&mut self, config: &ModelConfig, holder_misses_tick: bool) {
        if !holder_misses_tick {
            self.holder.guard.map_times(|time| older(time, config.term.max(FENCE)));
            for member in &mut self.members {
                member.vouch_reply = member.vouch_reply.map(|time| older(time, FENCE));
            }
        }
        for member in &mut self.members {
            if let Some((_, reported_at)) = &mut member.reported {
                *reported_at = older(*reported_at, config.term.max(FENCE) + DRIFT);
            }
            if let Some(takeover) = &mut member.takeover {
                takeover.map_times(|time| older(time, config.term.max(FENCE) + DRIFT));
            }
            member.not_before = member.not_before.map(|time| older(time, 0));
        }
    }

    /// Drops details that no later step depends on.
    pub fn normalise(&mut self) {
        if !self.holder.up || self.holder.grant_step == GrantStep::Dropped {
            self.retire_holder();
        }
        let version = self.lease.version;
        let open = !self.lease.closed && self.lease.incarnation == INCARNATION;
        self.renewals.retain(|write| write.awaited || open && write.version == version);
        self.renewals.sort();
        self.delayed_closes.retain(|at| open && *at == version);
        if self.grant != GrantObject::Original {
            for member in &mut self.members {
                member.takeover = None;
                member.reported = None;
                member.close = CloseCall::Idle;
                member.notified_early.clear();
            }
        }
    }

    /// Clears state that matters only to a holder that may dispatch again.
    fn retire_holder(&mut self) {
        let mut guard = LeaseGuard::new(0);
        guard.close();
        self.holder.guard = guard;
        self.holder.grant_step = GrantStep::Dropped;
        self.holder.call = HolderCall::Idle;
        self.holder.checked = false;
        for write in &mut self.renewals {
            write.awaited = false;
        }
        for member in &mut self.members {
            member.vouch_reply = None;
        }
    }

    /// Whether no later state can be a violation.
    pub fn is_final(&self, config: &ModelConfig) -> bool {
        let resumes = config.omits(Mutant::ResumedAfterRelease);
        let ended = match self.holder.grant_step {
            GrantStep::Dropped => true,
            GrantStep::Releasing => !resumes,
            GrantStep::Draining | GrantStep::Held => false,
        };
        let claimant_restarted = match self.grant {
            GrantObject::Moved(node) => self.member(node).not_before.is_none(),
            GrantObject::Original | GrantObject::Released => false,
        };
        ended && self.idle_ticks >= config.deadline || claimant_restarted
    }
}

/// Returns a time one tick older, at most `limit` ticks before [`NOW`].
fn older(time: BootTime, limit: u64) -> BootTime {
    if time == BootTime::MAX {
        return time;
    }
    let tick = Duration::from_millis(1);
    (time - tick).max(NOW - Duration::from_millis(limit))
}
