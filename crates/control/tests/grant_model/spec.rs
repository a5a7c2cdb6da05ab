//! State of one grant: the lease of its holder, the holder, its witnesses and
//! the nodes that want to take over.
//!
//! Time is relative: the clock of every node always reads [`NOW`], and a tick
//! makes every stored reading one tick older. Readings that are too old to
//! matter are all alike, so that the whole space is finite.

use std::{collections::BTreeSet, time::Duration};

use carobstep_clock::BootTime;
use carobstep_control::{LeaseGuard, LeaseMark, LeaseTakeover, LeaseView, LeaseWitness};
use carobstep_store::ObjectVersion;

use crate::rules::{DRIFT, FENCE, ModelConfig, Mutant};

/// What every clock reads.
pub const NOW: BootTime = BootTime::from_millis(1_000);

/// Incarnation of the holder that the search is about.
pub const INCARNATION: u64 = 1;

/// The platform's lease object of the holder.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct LeaseObject {
    pub version: u64,
    pub incarnation: u64,
    pub closed: bool,
    pub renewal: u8,
    pub witnesses: Vec<u8>,
}

/// The platform's grant object.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum GrantObject {
    /// Held by node 0 in its first incarnation.
    Original,
    /// Given up by node 0.
    Released,
    /// Moved to a taker.
    Moved(u8),
}

/// A renewal that has not taken effect yet.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct RenewalWrite {
    pub version: u64,
    pub renewal: u8,
    pub witnesses: Vec<u8>,
    /// Whether the holder still waits for the answer.
    pub awaited: bool,
}

/// The holder's call about its lease.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum HolderCall {
    /// None; the next renewal may be sent.
    Idle,
    /// A renewal is sent.
    Sent,
    /// The platform answered with the new version, or with a conflict.
    Answered(Option<u64>),
    /// The answer is lost: the lease must be read.
    MustRead,
}

/// What the holder does with its grant.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum GrantStep {
    Held,
    Draining,
    /// The release is sent and has not taken effect.
    Releasing,
    Dropped,
}

/// The holder.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Holder {
    pub up: bool,
    pub guard: LeaseGuard<u8>,
    pub grant_step: GrantStep,
    pub version: u64,
    pub renewal: u8,
    pub call: HolderCall,
    /// Whether a release may take effect late.
    pub release_sent: bool,
    /// Result of the last lease check, for a holder that checks too rarely.
    pub checked: bool,
}

/// A taker's call to close the lease.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum CloseCall {
    Idle,
    /// Sent on condition of this version.
    Sent(u64),
    /// Took effect and gave this version, or did not.
    Answered(Option<u64>),
}

/// A node other than the holder.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Member {
    pub witness: LeaseWitness<u8>,
    pub takeover: Option<LeaseTakeover<u8>>,
    pub close: CloseCall,
    /// When the request was sent that the node's answer under way belongs to.
    pub answer: Option<BootTime>,
    /// Version of the lease that the node heard of by gossip, and when.
    pub gossiped: Option<(u64, BootTime)>,
    /// Witnesses told before the close, for a taker that does so.
    pub notified_early: BTreeSet<u8>,
    /// From when the node may dispatch.
    pub not_before: Option<BootTime>,
}

/// The whole system.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct GrantState {
    pub lease: LeaseObject,
    pub grant: GrantObject,
    pub holder: Holder,
    pub members: Vec<Member>,
    pub renewals: Vec<RenewalWrite>,
    /// Versions on which closes that nobody waits for are conditional.
    pub delayed_closes: BTreeSet<u64>,
    /// Ticks since the holder could last start a request.
    pub idle_ticks: u64,
    pub renewals_left: u8,
    pub restarts_left: u8,
    pub missed_ticks_left: u8,
}

impl GrantState {
    /// Node 0 holds the grant, just renewed its lease, and every other node
    /// of the zone is its witness.
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
            answer: None,
            gossiped: None,
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

    /// A reading of the lease object.
    pub fn view(&self) -> LeaseView<u8> {
        LeaseView {
            version: ObjectVersion(self.lease.version),
            incarnation: self.lease.incarnation,
            mark: if self.lease.closed { LeaseMark::Closed } else { LeaseMark::Open },
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

    /// What the holder's guard says now.
    pub fn lease_valid(&self, config: &ModelConfig) -> bool {
        let mut guard = self.holder.guard.clone();
        if config.omits(Mutant::OldWitnessesOnly) {
            guard.fail_renewal();
        }
        guard.may_dispatch(NOW, &config.holder_timing())
    }

    /// The taker that may start a request now.
    pub fn dispatching_taker(&self) -> Option<u8> {
        let GrantObject::Moved(node) = self.grant else { return None };
        let ready = self.member(node).not_before.is_some_and(|from| NOW >= from);
        ready.then_some(node)
    }

    /// Whether two nodes use the server at the same time, counting requests of
    /// the holder that still run.
    pub fn is_violated(&self, config: &ModelConfig) -> bool {
        let running = self.holder_dispatches(config) || self.idle_ticks < config.deadline;
        running && self.dispatching_taker().is_some()
    }

    /// Makes every reading one tick older, except those of a holder whose
    /// clock misses the tick.
    pub fn age(&mut self, config: &ModelConfig, holder_misses_tick: bool) {
        if !holder_misses_tick {
            self.holder.guard.map_times(|time| older(time, config.term.max(FENCE)));
            for member in &mut self.members {
                member.answer = member.answer.map(|time| older(time, FENCE));
            }
        }
        for member in &mut self.members {
            if let Some((_, heard_at)) = &mut member.gossiped {
                *heard_at = older(*heard_at, config.term.max(FENCE) + DRIFT);
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
                member.gossiped = None;
                member.close = CloseCall::Idle;
                member.notified_early.clear();
            }
        }
    }

    /// Forgets what only a holder that may dispatch again would use.
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
            member.answer = None;
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
        let applied = match self.grant {
            GrantObject::Moved(node) => self.member(node).not_before.is_none(),
            GrantObject::Original | GrantObject::Released => false,
        };
        ended && self.idle_ticks >= config.deadline || applied
    }
}

/// One tick older, or as old as anything needs to be.
fn older(time: BootTime, limit: u64) -> BootTime {
    if time == BootTime::MAX {
        return time;
    }
    let tick = Duration::from_millis(1);
    (time - tick).max(NOW - Duration::from_millis(limit))
}
