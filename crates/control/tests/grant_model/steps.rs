//! Steps of the grant specification: what any node, message or write may do
//! next. Every step is optional, so that pauses, lost messages and cut links
//! are part of every path.

use std::time::Duration;

use carobstep_control::{LeaseState, LeaseTakeover, LeaseWitness, TakeoverState, TakeoverStep};
use carobstep_store::ObjectVersion;

use crate::{
    rules::{DRIFT, Mutant, ZoneSize},
    spec::{
        CloseCall, GrantObject, GrantState, HoldStep, HolderCall, INCARNATION, NOW, RenewalWrite,
    },
};

/// A step and the state after it.
pub type Successor = (String, GrantState);

/// Collects the successors of one state.
pub struct StepList<'a> {
    size: &'a ZoneSize,
    from: &'a GrantState,
    steps: Vec<Successor>,
}

/// Every step that is possible in `state`.
pub fn successors(size: &ZoneSize, state: &GrantState) -> Vec<Successor> {
    let mut list = StepList { size, from: state, steps: Vec::new() };
    if state.is_over(size) {
        return list.steps;
    }
    list.add_ticks();
    list.add_renewals();
    list.add_renewal_answers();
    if size.releases {
        list.add_releases();
    }
    list.add_holder_ends();
    for node in 1..size.nodes {
        list.add_witness(node);
    }
    for node in 1..=size.takers {
        list.add_reads(node);
        list.add_close(node);
        list.add_tells(node);
        list.add_moves(node);
    }
    list.steps
}

impl StepList<'_> {
    fn add(&mut self, name: impl Into<String>, change: impl FnOnce(&mut GrantState)) {
        let mut state = self.from.clone();
        change(&mut state);
        if state.holder_dispatches(self.size) {
            state.quiet = 0;
        }
        state.normalise();
        self.steps.push((name.into(), state));
    }

    /// A step of the holder, which also checks its lease.
    fn add_held(&mut self, name: impl Into<String>, change: impl FnOnce(&mut GrantState)) {
        let size = *self.size;
        self.add(name, |state| {
            change(state);
            state.holder.checked =
                size.lacks(Mutant::DispatchCheckLeftOut) && state.lease_valid(&size);
        });
    }

    fn add_ticks(&mut self) {
        let size = *self.size;
        self.add("one tick passes", |state| tick(state, &size, false));
        if self.from.skips_left > 0 {
            self.add("one tick passes that the holder's clock misses", |state| {
                state.skips_left -= 1;
                tick(state, &size, true);
            });
        }
    }

    fn add_renewals(&mut self) {
        let holder = &self.from.holder;
        let open = holder.guard.state() == LeaseState::Open;
        if !holder.up || !open || holder.call != HolderCall::Idle || self.from.renewals_left == 0 {
            return;
        }
        let others: Vec<u8> = (1..self.size.nodes).collect();
        let sets = if holder.guard.is_unsettled() { 1 } else { 1 << others.len() };
        for set in 0..sets {
            let live: Vec<u8> =
                others.iter().copied().filter(|node| set & (1 << (node - 1)) != 0).collect();
            self.add_held(format!("the holder sends a renewal, live are {live:?}"), |state| {
                send_renewal(state, &live);
            });
        }
    }

    fn add_renewal_answers(&mut self) {
        for number in 0..self.from.renewals.len() {
            self.add("a renewal reaches the platform", |state| land_renewal(state, number));
        }
        let size = *self.size;
        match self.from.holder.call {
            HolderCall::Idle => {}
            HolderCall::Sent => {
                self.add_held("the holder gives up waiting", |state| lose_answer(state, &size));
            }
            HolderCall::Answered(answer) => {
                self.add_held("the holder gets its answer", |state| {
                    take_answer(state, answer, &size);
                });
                self.add_held("the holder's answer is lost", |state| lose_answer(state, &size));
            }
            HolderCall::MustRead => self.add_held("the holder reads its lease", read_own),
        }
    }

    fn add_releases(&mut self) {
        let holder = &self.from.holder;
        let early = self.size.lacks(Mutant::ReleasedBeforeIdle);
        if holder.up && holder.hold == HoldStep::Held {
            self.add_held("the holder starts to drain", |state| {
                state.holder.hold = HoldStep::Draining;
            });
        }
        let idle = self.from.quiet >= self.size.deadline || early;
        if holder.up && holder.hold == HoldStep::Draining && idle {
            self.add_held("the holder sends the release", |state| {
                state.holder.hold = HoldStep::Releasing;
                state.holder.release_sent = true;
            });
        }
        if holder.up
            && holder.hold == HoldStep::Releasing
            && self.size.lacks(Mutant::ResumedAfterRelease)
        {
            self.add_held("the holder resumes after a lost answer", |state| {
                state.holder.hold = HoldStep::Held;
            });
        }
        if holder.release_sent && self.from.grant == GrantObject::Original {
            self.add("the release reaches the platform", |state| {
                state.grant = GrantObject::Released;
                state.holder.release_sent = false;
            });
        }
    }

    /// The holder's process ends, and a new incarnation opens its lease.
    fn add_holder_ends(&mut self) {
        let holder = &self.from.holder;
        if holder.up && self.size.ends {
            self.add("the holder crashes", |state| state.holder.up = false);
        }
        let closed = holder.guard.state() == LeaseState::Closed;
        let early = self.size.lacks(Mutant::ReopenedBeforeDrop);
        let ends = self.size.ends && self.from.lease.incarnation == INCARNATION;
        if ends && (!holder.up || closed || early) {
            self.add("the holder opens its next incarnation", |state| {
                state.lease.incarnation += 1;
                state.lease.version += 1;
                state.lease.closed = false;
            });
        }
    }

    fn add_witness(&mut self, node: u8) {
        let member = self.from.member(node);
        if self.from.restarts_left > 0 {
            let trusting = self.size.lacks(Mutant::RestartRuleLeftOut);
            self.add(format!("node {node} restarts"), |state| restart(state, node, trusting));
        }
        if !member.witness.is_settled() {
            self.add(format!("node {node} reads the leases"), |state| settle(state, node));
        }
        let holder = &self.from.holder;
        let asks = holder.up && holder.guard.witnesses().any(|witness| *witness == node);
        let vouches = member.witness.vouches(&0, INCARNATION);
        if asks && vouches && !self.size.slow_answers {
            self.add_held(format!("node {node} vouches"), |state| {
                state.holder.guard.vouched(node, NOW);
            });
        }
        if asks && vouches && self.size.slow_answers && member.answer.is_none() {
            self.add(format!("node {node} sends that it vouches"), |state| {
                state.member_mut(node).answer = Some(NOW);
            });
        }
        let Some(sent_at) = member.answer else { return };
        let late = self.size.lacks(Mutant::VouchFromAnswer);
        self.add_held(format!("the answer of node {node} arrives"), |state| {
            state.member_mut(node).answer = None;
            state.holder.guard.vouched(node, if late { NOW } else { sent_at });
        });
    }

    fn add_reads(&mut self, node: u8) {
        let restarts = !self.size.lacks(Mutant::LapseNotRestarted);
        let lapse = Duration::from_millis(self.size.term + DRIFT);
        let member = self.from.member(node);
        if member.close != CloseCall::Idle || self.from.grant != GrantObject::Original {
            return;
        }
        let heard = member.heard;
        let newest = self.from.holder.version;
        let known = heard.map_or(0, |(version, _)| version);
        if self.size.hearsay && self.from.holder.up {
            for version in known + 1..=newest {
                self.add(format!("node {node} hears of version {version}"), |state| {
                    state.member_mut(node).heard = Some((version, NOW));
                });
            }
        }
        self.add(format!("node {node} reads the holder's lease"), |state| {
            let view = state.view();
            let takeover = &mut state.member_mut(node).takeover;
            let known = takeover.is_some();
            let takeover = takeover.get_or_insert_with(|| LeaseTakeover::new(INCARNATION));
            takeover.observe(NOW, &view);
            if let Some((version, heard_at)) = heard {
                takeover.seen_earlier(ObjectVersion(version), heard_at);
            }
            if known && !restarts {
                takeover.seen_earlier(view.version, NOW - lapse);
            }
        });
        let gone = self.size.ends && !self.from.holder.up || self.size.lacks(Mutant::ListBelieved);
        if gone && member.takeover.is_some() {
            self.add(format!("node {node} sees a list without the holder"), |state| {
                if let Some(takeover) = &mut state.member_mut(node).takeover {
                    takeover.listed(NOW, true);
                }
            });
        }
    }

    fn add_close(&mut self, node: u8) {
        let timing = self.size.taker_timing();
        match self.from.member(node).close {
            CloseCall::Idle => {
                let Some(mut takeover) = self.from.member(node).takeover.clone() else { return };
                let TakeoverStep::Close(version) = takeover.step(NOW, &timing) else { return };
                self.add(format!("node {node} sends the close"), |state| {
                    let member = state.member_mut(node);
                    member.takeover = Some(takeover);
                    member.close = CloseCall::Sent(version.0);
                });
            }
            CloseCall::Sent(version) => {
                let forced = self.size.lacks(Mutant::CloseUnconditional);
                self.add(format!("the close of node {node} reaches the platform"), |state| {
                    let landed = land_close(state, version, forced);
                    state.member_mut(node).close = CloseCall::Answered(landed);
                });
                self.add(format!("node {node} gives up waiting"), |state| {
                    state.late_closes.insert(version);
                    state.member_mut(node).close = CloseCall::Idle;
                });
            }
            CloseCall::Answered(answer) => {
                self.add(format!("node {node} gets its answer"), |state| {
                    let member = state.member_mut(node);
                    member.close = CloseCall::Idle;
                    if let (Some(version), Some(takeover)) = (answer, &mut member.takeover) {
                        takeover.closed(ObjectVersion(version));
                    }
                });
                self.add(format!("the answer to node {node} is lost"), |state| {
                    state.member_mut(node).close = CloseCall::Idle;
                });
            }
        }
        if node == 1 {
            for version in self.from.late_closes.clone() {
                self.add("a late close reaches the platform", |state| {
                    state.late_closes.remove(&version);
                    land_close(state, version, false);
                });
            }
        }
    }

    fn add_tells(&mut self, node: u8) {
        let Some(takeover) = self.from.member(node).takeover.clone() else { return };
        if self.size.lacks(Mutant::ToldBeforeClose) {
            self.add_early_tells(node);
        }
        let TakeoverStep::Tell(rest) = takeover.clone().step(NOW, &self.size.taker_timing()) else {
            return;
        };
        let told = self.from.lease.witnesses.len().saturating_sub(rest.len());
        let half = 2 * told >= self.from.lease.witnesses.len();
        let early = self.from.member(node).told_early.clone();
        for witness in rest {
            let silent = self.size.lacks(Mutant::NewsLeftOut)
                || self.size.lacks(Mutant::HalfTold) && half
                || early.contains(&witness);
            self.add(format!("node {node} tells node {witness}"), |state| {
                if !silent {
                    hear_close(state, witness);
                }
                if let Some(takeover) = &mut state.member_mut(node).takeover {
                    takeover.told(NOW, witness);
                }
            });
        }
    }

    fn add_early_tells(&mut self, node: u8) {
        for witness in self.from.lease.witnesses.clone() {
            if self.from.member(node).told_early.contains(&witness) {
                continue;
            }
            self.add(format!("node {node} tells node {witness} early"), |state| {
                hear_close(state, witness);
                state.member_mut(node).told_early.insert(witness);
            });
        }
    }

    fn add_moves(&mut self, node: u8) {
        if self.from.grant == GrantObject::Released {
            self.add(format!("node {node} takes the released grant"), |state| {
                state.grant = GrantObject::Moved(node);
                state.member_mut(node).not_before = Some(NOW);
            });
        }
        let Some(mut takeover) = self.from.member(node).takeover.clone() else { return };
        let step = takeover.step(NOW, &self.size.taker_timing());
        if step != TakeoverStep::Move || self.from.grant != GrantObject::Original {
            return;
        }
        debug_assert_eq!(takeover.state(), TakeoverState::Proven);
        let wait = Duration::from_millis(self.size.drain());
        self.add(format!("node {node} moves the grant"), |state| {
            state.grant = GrantObject::Moved(node);
            let member = state.member_mut(node);
            member.takeover = Some(takeover);
            member.not_before = Some(NOW + wait);
        });
    }
}

fn tick(state: &mut GrantState, size: &ZoneSize, skip_holder: bool) {
    state.age(size, skip_holder);
    state.quiet = (state.quiet + 1).min(size.deadline);
}

fn send_renewal(state: &mut GrantState, live: &[u8]) {
    state.renewals_left -= 1;
    let witnesses = state.holder.guard.begin_renewal(NOW, live);
    state.holder.call = HolderCall::Sent;
    state.renewals.push(RenewalWrite {
        version: state.holder.version,
        renewal: state.holder.renewal + 1,
        witnesses,
        awaited: true,
    });
}

fn land_renewal(state: &mut GrantState, number: usize) {
    let write = state.renewals.remove(number);
    let taken = !state.lease.closed && state.lease.version == write.version;
    if taken {
        state.lease.version += 1;
        state.lease.renewal = write.renewal;
        state.lease.witnesses = write.witnesses;
    }
    if write.awaited {
        state.holder.call = HolderCall::Answered(taken.then_some(state.lease.version));
    }
}

fn take_answer(state: &mut GrantState, answer: Option<u64>, size: &ZoneSize) {
    let Some(version) = answer else {
        state.holder.call = HolderCall::MustRead;
        return;
    };
    if size.lacks(Mutant::TermFromAnswer) {
        state.holder.guard.begin_renewal(NOW, &[]);
    }
    state.holder.guard.confirm();
    state.holder.version = version;
    state.holder.renewal += 1;
    state.holder.call = HolderCall::Idle;
}

fn lose_answer(state: &mut GrantState, size: &ZoneSize) {
    for write in &mut state.renewals {
        write.awaited = false;
    }
    state.holder.call = HolderCall::MustRead;
    if size.lacks(Mutant::LostAnswerTrusted) {
        state.holder.guard.confirm();
    }
}

fn read_own(state: &mut GrantState) {
    let holder = &mut state.holder;
    holder.call = HolderCall::Idle;
    if state.lease.closed || state.lease.incarnation != INCARNATION {
        holder.guard.close();
        holder.hold = HoldStep::Dropped;
        return;
    }
    if state.lease.renewal == holder.renewal + 1 && holder.guard.is_unsettled() {
        holder.guard.read_back();
        holder.renewal += 1;
    }
    holder.version = state.lease.version;
}

fn restart(state: &mut GrantState, node: u8, trusting: bool) {
    state.restarts_left -= 1;
    let member = state.member_mut(node);
    member.witness = LeaseWitness::default();
    if trusting {
        member.witness.settle();
    }
    member.takeover = None;
    member.heard = None;
    member.told_early.clear();
    member.answer = None;
    member.not_before = None;
    if let CloseCall::Sent(version) = member.close {
        state.late_closes.insert(version);
    }
    state.member_mut(node).close = CloseCall::Idle;
}

fn settle(state: &mut GrantState, node: u8) {
    let closed = state.lease.closed || state.lease.incarnation > INCARNATION;
    let witness = &mut state.member_mut(node).witness;
    if closed {
        witness.close(0, INCARNATION);
    }
    witness.settle();
}

fn land_close(state: &mut GrantState, version: u64, forced: bool) -> Option<u64> {
    let current = state.lease.version == version || forced;
    if state.lease.closed || state.lease.incarnation != INCARNATION || !current {
        return None;
    }
    state.lease.closed = true;
    state.lease.version += 1;
    Some(state.lease.version)
}

/// A recorded witness, or the holder itself, hears that the lease is closed.
fn hear_close(state: &mut GrantState, node: u8) {
    if node == 0 {
        state.holder.guard.close();
        state.holder.hold = HoldStep::Dropped;
        return;
    }
    state.member_mut(node).witness.close(0, INCARNATION);
}
