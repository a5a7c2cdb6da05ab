//! Transitions of the model: what any node, message or write may do next.
//!
//! Every transition is optional, so the search also covers paused nodes, lost
//! messages and network partitions.

use std::time::Duration;

use carobstep_control::{LeaseState, LeaseTakeover, LeaseWitness, TakeoverState, TakeoverStep};
use carobstep_store::ObjectVersion;

use crate::{
    rules::{DRIFT, ModelConfig, Mutant},
    spec::{
        CloseCall, GrantObject, GrantState, GrantStep, HolderCall, INCARNATION, NOW, RenewalWrite,
    },
};

/// Name of a step and the state after it.
pub type Successor = (String, GrantState);

/// Collects the successors of one state.
pub struct StepList<'a> {
    config: &'a ModelConfig,
    from: &'a GrantState,
    steps: Vec<Successor>,
}

/// Returns every step that is possible in `state`.
pub fn successors(config: &ModelConfig, state: &GrantState) -> Vec<Successor> {
    let mut list = StepList { config, from: state, steps: Vec::new() };
    if state.is_final(config) {
        return list.steps;
    }
    list.add_ticks();
    list.add_renewals();
    list.add_renewal_replies();
    if config.releases {
        list.add_releases();
    }
    list.add_holder_ends();
    for node in 1..config.nodes {
        list.add_witness(node);
    }
    for node in 1..=config.claimants {
        list.add_reads(node);
        list.add_close(node);
        list.add_notices(node);
        list.add_grant_moves(node);
    }
    list.steps
}

impl StepList<'_> {
    fn add(&mut self, name: impl Into<String>, change: impl FnOnce(&mut GrantState)) {
        let mut state = self.from.clone();
        change(&mut state);
        if state.holder_dispatches(self.config) {
            state.idle_ticks = 0;
        }
        state.normalise();
        self.steps.push((name.into(), state));
    }

    /// Adds a step of the holder, after which it checks its lease.
    fn add_holder_step(&mut self, name: impl Into<String>, change: impl FnOnce(&mut GrantState)) {
        let config = *self.config;
        self.add(name, |state| {
            change(state);
            state.holder.checked =
                config.omits(Mutant::DispatchCheckLeftOut) && state.lease_valid(&config);
        });
    }

    fn add_ticks(&mut self) {
        let config = *self.config;
        self.add("one tick passes", |state| tick(state, &config, false));
        if self.from.missed_ticks_left > 0 {
            self.add("one tick passes that the holder's clock misses", |state| {
                state.missed_ticks_left -= 1;
                tick(state, &config, true);
            });
        }
    }

    fn add_renewals(&mut self) {
        let holder = &self.from.holder;
        let open = holder.guard.state() == LeaseState::Open;
        if !holder.up || !open || holder.call != HolderCall::Idle || self.from.renewals_left == 0 {
            return;
        }
        let others: Vec<u8> = (1..self.config.nodes).collect();
        let sets = if holder.guard.has_pending_renewal() { 1 } else { 1 << others.len() };
        for set in 0..sets {
            let live: Vec<u8> =
                others.iter().copied().filter(|node| set & (1 << (node - 1)) != 0).collect();
            self.add_holder_step(
                format!("the holder sends a renewal, live are {live:?}"),
                |state| {
                    send_renewal(state, &live);
                },
            );
        }
    }

    fn add_renewal_replies(&mut self) {
        for number in 0..self.from.renewals.len() {
            self.add("a renewal reaches the platform", |state| apply_renewal(state, number));
        }
        let config = *self.config;
        match self.from.holder.call {
            HolderCall::Idle => {}
            HolderCall::Sent => {
                self.add_holder_step("the holder's call times out", |state| {
                    lose_reply(state, &config)
                });
            }
            HolderCall::Replied(reply) => {
                self.add_holder_step("the holder gets its reply", |state| {
                    handle_reply(state, reply, &config);
                });
                self.add_holder_step("the holder's reply is lost", |state| {
                    lose_reply(state, &config)
                });
            }
            HolderCall::MustRead => {
                self.add_holder_step("the holder reads its lease", read_own_lease)
            }
        }
    }

    fn add_releases(&mut self) {
        let holder = &self.from.holder;
        let early = self.config.omits(Mutant::ReleasedBeforeIdle);
        if holder.up && holder.grant_step == GrantStep::Held {
            self.add_holder_step("the holder starts to drain", |state| {
                state.holder.grant_step = GrantStep::Draining;
            });
        }
        let idle = self.from.idle_ticks >= self.config.deadline || early;
        if holder.up && holder.grant_step == GrantStep::Draining && idle {
            self.add_holder_step("the holder sends the release", |state| {
                state.holder.grant_step = GrantStep::Releasing;
                state.holder.release_sent = true;
            });
        }
        if holder.up
            && holder.grant_step == GrantStep::Releasing
            && self.config.omits(Mutant::ResumedAfterRelease)
        {
            self.add_holder_step("the holder resumes after a lost reply", |state| {
                state.holder.grant_step = GrantStep::Held;
            });
        }
        if holder.release_sent && self.from.grant == GrantObject::Original {
            self.add("the release reaches the platform", |state| {
                state.grant = GrantObject::Released;
                state.holder.release_sent = false;
            });
        }
    }

    /// Adds the crash of the holder and the opening of its next incarnation.
    fn add_holder_ends(&mut self) {
        let holder = &self.from.holder;
        if holder.up && self.config.holder_ends {
            self.add("the holder crashes", |state| state.holder.up = false);
        }
        let closed = holder.guard.state() == LeaseState::Closed;
        let early = self.config.omits(Mutant::ReopenedBeforeDrop);
        let holder_ends = self.config.holder_ends && self.from.lease.incarnation == INCARNATION;
        if holder_ends && (!holder.up || closed || early) {
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
            let skips_lease_read = self.config.omits(Mutant::LeaseReadLeftOut);
            self.add(format!("node {node} restarts"), |state| {
                restart(state, node, skips_lease_read)
            });
        }
        if !member.witness.has_read_leases() {
            self.add(format!("node {node} reads the leases"), |state| read_leases(state, node));
        }
        let holder = &self.from.holder;
        let awaits_vouch = holder.up && holder.guard.witnesses().any(|witness| *witness == node);
        let vouches = member.witness.vouches(&0, INCARNATION);
        if awaits_vouch && vouches && !self.config.slow_replies {
            self.add_holder_step(format!("node {node} vouches"), |state| {
                state.holder.guard.record_vouch(node, NOW);
            });
        }
        if awaits_vouch && vouches && self.config.slow_replies && member.vouch_reply.is_none() {
            self.add(format!("node {node} sends that it vouches"), |state| {
                state.member_mut(node).vouch_reply = Some(NOW);
            });
        }
        let Some(sent_at) = member.vouch_reply else { return };
        let late = self.config.omits(Mutant::VouchFromReply);
        self.add_holder_step(format!("the reply of node {node} arrives"), |state| {
            state.member_mut(node).vouch_reply = None;
            state.holder.guard.record_vouch(node, if late { NOW } else { sent_at });
        });
    }

    fn add_reads(&mut self, node: u8) {
        let restarts = !self.config.omits(Mutant::ExpiryNotRestarted);
        let expiry = Duration::from_millis(self.config.term + DRIFT);
        let member = self.from.member(node);
        if member.close != CloseCall::Idle || self.from.grant != GrantObject::Original {
            return;
        }
        let reported = member.reported;
        let newest = self.from.holder.version;
        let known = reported.map_or(0, |(version, _)| version);
        if self.config.gossip_reports && self.from.holder.up {
            for version in known + 1..=newest {
                self.add(format!("gossip reports version {version} to node {node}"), |state| {
                    state.member_mut(node).reported = Some((version, NOW));
                });
            }
        }
        self.add(format!("node {node} reads the holder's lease"), |state| {
            let view = state.view();
            let takeover = &mut state.member_mut(node).takeover;
            let known = takeover.is_some();
            let takeover = takeover.get_or_insert_with(|| LeaseTakeover::new(INCARNATION));
            takeover.observe(NOW, &view);
            if let Some((version, reported_at)) = reported {
                takeover.backdate(ObjectVersion(version), reported_at);
            }
            if known && !restarts {
                takeover.backdate(view.version, NOW - expiry);
            }
        });
        let unlisted = self.config.holder_ends && !self.from.holder.up
            || self.config.omits(Mutant::UnseenListTrusted);
        if unlisted && member.takeover.is_some() {
            self.add(format!("node {node} reads a VM list without the holder"), |state| {
                if let Some(takeover) = &mut state.member_mut(node).takeover {
                    takeover.set_vm_removed(NOW, true);
                }
            });
        }
    }

    fn add_close(&mut self, node: u8) {
        let timing = self.config.claimant_timing();
        match self.from.member(node).close {
            CloseCall::Idle => {
                let Some(mut takeover) = self.from.member(node).takeover.clone() else { return };
                let TakeoverStep::CloseLease(version) = takeover.step(NOW, &timing) else { return };
                self.add(format!("node {node} sends the close"), |state| {
                    let member = state.member_mut(node);
                    member.takeover = Some(takeover);
                    member.close = CloseCall::Sent(version.0);
                });
            }
            CloseCall::Sent(version) => {
                let unconditional = self.config.omits(Mutant::CloseUnconditional);
                self.add(format!("the close of node {node} reaches the platform"), |state| {
                    let applied = apply_close(state, version, unconditional);
                    state.member_mut(node).close = CloseCall::Replied(applied);
                });
                self.add(format!("the call of node {node} times out"), |state| {
                    state.delayed_closes.insert(version);
                    state.member_mut(node).close = CloseCall::Idle;
                });
            }
            CloseCall::Replied(reply) => {
                self.add(format!("node {node} gets its reply"), |state| {
                    let member = state.member_mut(node);
                    member.close = CloseCall::Idle;
                    if let (Some(version), Some(takeover)) = (reply, &mut member.takeover) {
                        takeover.on_closed(ObjectVersion(version));
                    }
                });
                self.add(format!("the reply to node {node} is lost"), |state| {
                    state.member_mut(node).close = CloseCall::Idle;
                });
            }
        }
        if node == 1 {
            for version in self.from.delayed_closes.clone() {
                self.add("a delayed close reaches the platform", |state| {
                    state.delayed_closes.remove(&version);
                    apply_close(state, version, false);
                });
            }
        }
    }

    fn add_notices(&mut self, node: u8) {
        let Some(takeover) = self.from.member(node).takeover.clone() else { return };
        if self.config.omits(Mutant::NotifiedBeforeClose) {
            self.add_early_notices(node);
        }
        let TakeoverStep::NotifyWitnesses(unnotified) =
            takeover.clone().step(NOW, &self.config.claimant_timing())
        else {
            return;
        };
        let notified = self.from.lease.witnesses.len().saturating_sub(unnotified.len());
        let half = 2 * notified >= self.from.lease.witnesses.len();
        let early = self.from.member(node).notified_early.clone();
        for witness in unnotified {
            let silent = self.config.omits(Mutant::CloseNoticeLeftOut)
                || self.config.omits(Mutant::HalfNotified) && half
                || early.contains(&witness);
            self.add(format!("node {node} notifies node {witness} of the close"), |state| {
                if !silent {
                    receive_close_notice(state, witness);
                }
                if let Some(takeover) = &mut state.member_mut(node).takeover {
                    takeover.on_witness_notified(NOW, witness);
                }
            });
        }
    }

    fn add_early_notices(&mut self, node: u8) {
        for witness in self.from.lease.witnesses.clone() {
            if self.from.member(node).notified_early.contains(&witness) {
                continue;
            }
            self.add(format!("node {node} notifies node {witness} before the close"), |state| {
                receive_close_notice(state, witness);
                state.member_mut(node).notified_early.insert(witness);
            });
        }
    }

    fn add_grant_moves(&mut self, node: u8) {
        if self.from.grant == GrantObject::Released {
            self.add(format!("node {node} acquires the released grant"), |state| {
                state.grant = GrantObject::Moved(node);
                state.member_mut(node).not_before = Some(NOW);
            });
        }
        let Some(mut takeover) = self.from.member(node).takeover.clone() else { return };
        let step = takeover.step(NOW, &self.config.claimant_timing());
        if step != TakeoverStep::MoveGrants || self.from.grant != GrantObject::Original {
            return;
        }
        debug_assert_eq!(takeover.state(), TakeoverState::Proven);
        let wait = Duration::from_millis(self.config.drain());
        self.add(format!("node {node} moves the grant"), |state| {
            state.grant = GrantObject::Moved(node);
            let member = state.member_mut(node);
            member.takeover = Some(takeover);
            member.not_before = Some(NOW + wait);
        });
    }
}

fn tick(state: &mut GrantState, config: &ModelConfig, holder_misses_tick: bool) {
    state.age(config, holder_misses_tick);
    state.idle_ticks = (state.idle_ticks + 1).min(config.deadline);
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

fn apply_renewal(state: &mut GrantState, number: usize) {
    let write = state.renewals.remove(number);
    let applied = !state.lease.closed && state.lease.version == write.version;
    if applied {
        state.lease.version += 1;
        state.lease.renewal = write.renewal;
        state.lease.witnesses = write.witnesses;
    }
    if write.awaited {
        state.holder.call = HolderCall::Replied(applied.then_some(state.lease.version));
    }
}

fn handle_reply(state: &mut GrantState, reply: Option<u64>, config: &ModelConfig) {
    let Some(version) = reply else {
        state.holder.call = HolderCall::MustRead;
        return;
    };
    if config.omits(Mutant::TermFromReply) {
        state.holder.guard.begin_renewal(NOW, &[]);
    }
    state.holder.guard.confirm();
    state.holder.version = version;
    state.holder.renewal += 1;
    state.holder.call = HolderCall::Idle;
}

fn lose_reply(state: &mut GrantState, config: &ModelConfig) {
    for write in &mut state.renewals {
        write.awaited = false;
    }
    state.holder.call = HolderCall::MustRead;
    if config.omits(Mutant::LostReplyTrusted) {
        state.holder.guard.confirm();
    }
}

fn read_own_lease(state: &mut GrantState) {
    let holder = &mut state.holder;
    holder.call = HolderCall::Idle;
    if state.lease.closed || state.lease.incarnation != INCARNATION {
        holder.guard.close();
        holder.grant_step = GrantStep::Dropped;
        return;
    }
    if state.lease.renewal == holder.renewal + 1 && holder.guard.has_pending_renewal() {
        holder.guard.confirm_read_back();
        holder.renewal += 1;
    }
    holder.version = state.lease.version;
}

fn restart(state: &mut GrantState, node: u8, skips_lease_read: bool) {
    state.restarts_left -= 1;
    let member = state.member_mut(node);
    member.witness = LeaseWitness::default();
    if skips_lease_read {
        member.witness.mark_leases_read();
    }
    member.takeover = None;
    member.reported = None;
    member.notified_early.clear();
    member.vouch_reply = None;
    member.not_before = None;
    if let CloseCall::Sent(version) = member.close {
        state.delayed_closes.insert(version);
    }
    state.member_mut(node).close = CloseCall::Idle;
}

fn read_leases(state: &mut GrantState, node: u8) {
    let closed = state.lease.closed || state.lease.incarnation > INCARNATION;
    let witness = &mut state.member_mut(node).witness;
    if closed {
        witness.record_closed(0, INCARNATION);
    }
    witness.mark_leases_read();
}

fn apply_close(state: &mut GrantState, version: u64, unconditional: bool) -> Option<u64> {
    let current = state.lease.version == version || unconditional;
    if state.lease.closed || state.lease.incarnation != INCARNATION || !current {
        return None;
    }
    state.lease.closed = true;
    state.lease.version += 1;
    Some(state.lease.version)
}

/// Notifies a witness, or the holder itself, that the lease is closed.
fn receive_close_notice(state: &mut GrantState, node: u8) {
    if node == 0 {
        state.holder.guard.close();
        state.holder.grant_step = GrantStep::Dropped;
        return;
    }
    state.member_mut(node).witness.record_closed(0, INCARNATION);
}
