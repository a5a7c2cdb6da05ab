//! State machine of one client request to a service or to every shard of an index.
//!
//! Decides when a shard's request is retried or hedged, when the answer is sent
//! although some shards are missing, and when the request has failed. Designed for
//! stragglers, pauses of single servers, and servers that shed load or fail while
//! others have capacity.

mod attempts;
mod caution;
mod delegated;
mod relayed;
mod stopping;
mod tokens;

use std::time::Duration;

use carobstep_clock::BootTime;

use crate::{
    fanout_plan::{
        DelegationIndex, FanoutAction, FanoutOutcome, FanoutPlan, FanoutRole, MissingShards,
        ShardIndex,
    },
    fleet::{AttemptKind, LimitedUse, PickScope, SearchRank, ServerFleet, ServerKey},
    model::RetryPolicy,
    observations::AttemptStake,
    stats::AttemptOutcome,
};

/// Delay until a hedge that could not be sent is considered again: the retry budget was
/// exhausted, no server had capacity, the picked server was suspect, or the slots were
/// too busy.
const HEDGE_RECHECK_DELAY: Duration = Duration::from_millis(5);

/// Delay before a server that refused a request because it was full is called
/// again: about the service time of one request.
const REFUSED_RETRY_DELAY: Duration = Duration::from_millis(20);

/// Delay before a shard is retried whose servers are all at this node's limit of
/// requests in flight, or whose retry budget is exhausted.
const BUSY_RETRY_DELAY: Duration = Duration::from_millis(3);

/// Share of the retry-budget credit for a delegated shard that the delegating node
/// keeps; it pays for direct calls when the peer does not respond.
const DELEGATOR_SHARE: f64 = 0.3;

/// Share of that credit for the node that calls the servers.
const DELEGATE_SHARE: f64 = 1.0 - DELEGATOR_SHARE;

/// Divisor of the required number of shards that gives how many must have answered
/// for a late search to count as half complete.
const HALF_COMPLETE_DIVISOR: usize = 2;

/// Number of attempts for one shard that could not be sent, after which the shard is
/// abandoned.
const MAX_UNSENT_ATTEMPTS: u32 = 4;

/// State of one request and of its attempts for each shard.
#[derive(Clone, Debug)]
pub struct FanoutState {
    plan: FanoutPlan,
    shards: Vec<ShardProgress>,
    answered: usize,
    abandoned: usize,
    /// Attempts and delegations in flight.
    in_flight: u32,
    delegation_states: Vec<DelegationState>,
    /// Whether a report was sent to the node that delegated these shards.
    has_reported: bool,
    /// Numbers of answered and abandoned shards in the last report.
    reported_counts: (usize, usize),
    may_have_run: bool,
    /// Number of attempts whose server closed the connection before it responded.
    broken_attempts: u32,
    /// Whether the request is sent to no further server.
    is_stopped: bool,
    /// The only attempt in flight while the request is sent with caution.
    canary: Option<(usize, ServerKey)>,
    finished: bool,
    /// When the request is answered at the latest: at its deadline, or before this node exits.
    respond_by: BootTime,
}

#[derive(Clone, Debug, Default)]
struct ShardProgress {
    /// Servers that must not be called again.
    excluded: Vec<ServerKey>,
    /// Servers in `excluded` that refused because they were full; they may be called again later.
    refused: Vec<ServerKey>,
    /// Servers that an attempt in flight may reach or an earlier one may have reached,
    /// including those that may be called again.
    called: Vec<ServerKey>,
    /// Servers that an attempt which has ended may have reached.
    reached: Vec<ServerKey>,
    in_flight: u32,
    /// Attempts that no server received.
    unsent_attempts: u32,
    /// Whether a peer may already have called a server for this shard, so that every
    /// direct attempt counts as an extra request.
    peer_may_have_called: bool,
    /// Whether the shard is delegated to a peer and not called directly yet.
    delegated: bool,
    /// Whether this node can't call servers for the shard, so that a peer has to.
    needs_peer: bool,
    /// Number of times that it was delegated for that reason.
    relays: u32,
    /// Whether no further peer can call servers for the shard.
    has_no_peer: bool,
    /// Whether the connection of an attempt broke before the server responded.
    is_broken: bool,
    /// Whether a peer could not call servers for the shard either.
    is_refused_by_peer: bool,
    /// Delegation that may still return a result of the shard.
    awaited: Option<DelegationIndex>,
    /// Servers to which an attempt could not be sent.
    unsent_to: Vec<ServerKey>,
    state: ShardState,
    hedge_at: BootTime,
    /// When the shard is retried, if it waits for a server, the budget or a delay.
    retry_at: Option<BootTime>,
    /// Retries and hedges that were sent.
    extra_attempts: u32,
    /// Until when the shard waits for a token of a server that limits its requests.
    token_wait: Option<BootTime>,
    /// Whether the shard was abandoned because this node reaches none of its servers.
    is_out_of_reach: bool,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum DelegationState {
    /// The peer has not responded yet.
    Silent,
    /// The peer has responded; the end of its work or the loss of its connection will
    /// be reported, so no timeout is needed.
    Responding,
    Ended,
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum ShardState {
    #[default]
    Pending,
    Answered,
    Abandoned,
}

impl FanoutState {
    /// Creates the state of a request before its first attempt.
    #[must_use]
    pub fn new(plan: FanoutPlan) -> Self {
        let mut shards = vec![ShardProgress::default(); plan.services.len()];
        for (position, delegation) in plan.delegations.iter().enumerate() {
            for shard in &delegation.shards {
                if let Some(progress) = shards.get_mut(usize::from(shard.0)) {
                    progress.delegated = true;
                    progress.awaited = Some(delegation_at(position));
                }
            }
        }
        let delegation_states = vec![DelegationState::Silent; plan.delegations.len()];
        Self {
            respond_by: plan.deadline,
            plan,
            shards,
            delegation_states,
            has_reported: false,
            reported_counts: (0, 0),
            answered: 0,
            abandoned: 0,
            in_flight: 0,
            may_have_run: false,
            broken_attempts: 0,
            is_stopped: false,
            canary: None,
            finished: false,
        }
    }

    /// Returns the actions that start the request: its delegations and the first attempt
    /// for each other shard.
    pub fn start(&mut self, now: BootTime, fleet: &mut ServerFleet) -> Vec<FanoutAction> {
        let mut actions = Vec::with_capacity(self.shards.len());
        self.apply_horizon(fleet);
        for position in 0..self.shards.len() {
            let service = self.plan.services[position];
            let is_delegated = self.shards[position].delegated;
            let is_placed = is_delegated && fleet.can_end_at_peer(now, self.plan.terms())
                || !is_delegated
                    && fleet.has_available_server(now, service)
                    && self.can_get_token(now, fleet, position);
            if !is_placed {
                self.shards[position].is_out_of_reach = fleet.is_out_of_reach(now, service);
                self.abandon_shard(position);
            }
        }
        self.finish_if_done(now, &mut actions);
        if self.finished {
            return actions;
        }
        for position in 0..self.plan.delegations.len() {
            if !fleet.can_end_at_peer(now, self.plan.terms()) {
                self.delegation_states[position] = DelegationState::Ended;
                continue;
            }
            actions.push(FanoutAction::Delegate(delegation_at(position)));
            self.in_flight += 1;
        }
        for position in 0..self.shards.len() {
            let service = self.plan.services[position];
            if self.shards[position].state == ShardState::Abandoned {
                continue;
            }
            if self.shards[position].delegated {
                let is_relayed = !fleet.has_responding_server(now, service);
                self.shards[position].relays = u32::from(is_relayed);
                fleet.earn_extra(now, service, DELEGATOR_SHARE);
                continue;
            }
            let fraction = match self.plan.role {
                FanoutRole::Entry { .. } => 1.0,
                FanoutRole::Delegate { is_first: true } => DELEGATE_SHARE,
                FanoutRole::Delegate { is_first: false } => 0.0,
            };
            fleet.earn_extra(now, service, fraction);
            if self.waits_for_token(now, fleet, position) {
                continue;
            }
            if self.must_wait_for_canary() {
                self.shards[position].retry_at = Some(now + BUSY_RETRY_DELAY);
                continue;
            }
            if !self.send(now, fleet, position, AttemptKind::First, &mut actions) {
                self.wait_or_abandon(now, fleet, position);
            }
        }
        self.finish_if_done(now, &mut actions);
        actions
    }

    /// Handles the outcome of one attempt.
    pub fn on_attempt_ended(
        &mut self,
        now: BootTime,
        fleet: &mut ServerFleet,
        shard: ShardIndex,
        server: ServerKey,
        outcome: AttemptOutcome,
    ) -> Vec<FanoutAction> {
        let mut actions = Vec::new();
        let position = usize::from(shard.0);
        if self.finished || position >= self.shards.len() {
            return actions;
        }
        self.in_flight = self.in_flight.saturating_sub(1);
        self.may_have_run |= outcome.may_have_run();
        let progress = &mut self.shards[position];
        progress.in_flight = progress.in_flight.saturating_sub(1);
        if progress.state != ShardState::Pending {
            self.finish_if_done(now, &mut actions);
            return actions;
        }
        if outcome == AttemptOutcome::Answered {
            progress.state = ShardState::Answered;
            self.answered += 1;
        } else {
            self.on_attempt_failed(now, fleet, position, server, outcome, &mut actions);
        }
        self.finish_if_done(now, &mut actions);
        actions
    }

    /// Starts retries and hedges that are due, and finishes the request at its deadline
    /// or at the answer time.
    pub fn on_timer(&mut self, now: BootTime, fleet: &mut ServerFleet) -> Vec<FanoutAction> {
        let mut actions = Vec::new();
        if self.finished {
            return actions;
        }
        self.apply_horizon(fleet);
        for position in 0..self.plan.delegations.len() {
            let is_silent = self.delegation_states[position] == DelegationState::Silent;
            if is_silent && now >= self.plan.delegations[position].fallback_at {
                // The peer's answer still counts if it comes before the direct ones.
                self.fall_back(now, position, true);
            }
        }
        for position in 0..self.shards.len() {
            let progress = &self.shards[position];
            if progress.state != ShardState::Pending
                || progress.retry_at.is_none_or(|due| now < due)
            {
                continue;
            }
            self.retry(now, fleet, position, &mut actions);
        }
        if self.plan.retry == RetryPolicy::Idempotent {
            for position in 0..self.shards.len() {
                let progress = &self.shards[position];
                let waiting =
                    progress.retry_at.is_some() || progress.delegated || progress.needs_peer;
                if progress.state != ShardState::Pending || waiting || now < progress.hedge_at {
                    continue;
                }
                if !self.hedge(now, fleet, position, &mut actions) {
                    self.shards[position].hedge_at = now + HEDGE_RECHECK_DELAY;
                }
            }
        }
        self.finish_if_done(now, &mut actions);
        actions
    }

    /// Returns when [`FanoutState::on_timer`] is due next.
    #[must_use]
    pub fn next_timer(&self, now: BootTime) -> BootTime {
        let mut next = self.respond_by;
        if now < self.plan.answer_by {
            next = next.min(self.plan.answer_by);
        }
        for (position, delegation) in self.plan.delegations.iter().enumerate() {
            if self.delegation_states[position] == DelegationState::Silent
                && now < delegation.fallback_at
            {
                next = next.min(delegation.fallback_at);
            }
        }
        let hedges = self.plan.retry == RetryPolicy::Idempotent;
        for progress in &self.shards {
            let is_placed = progress.delegated || progress.needs_peer;
            if progress.state != ShardState::Pending || is_placed {
                continue;
            }
            match progress.retry_at {
                Some(due) => next = next.min(due),
                None if hedges && progress.may_hedge(&self.plan) => {
                    next = next.min(progress.hedge_at);
                }
                None => {}
            }
        }
        next
    }

    /// Returns the plan that the request was created with.
    #[must_use]
    pub const fn plan(&self) -> &FanoutPlan {
        &self.plan
    }

    /// Returns whether enough shards have answered for a response.
    #[must_use]
    pub const fn has_enough(&self) -> bool {
        self.answered >= self.plan.min_shards
    }

    /// Counts the shards that have not answered, by what they wait for.
    #[must_use]
    pub fn missing_shards(&self) -> MissingShards {
        let mut missing = MissingShards::default();
        for progress in &self.shards {
            match progress.state {
                ShardState::Answered => {}
                ShardState::Abandoned if progress.is_out_of_reach => missing.out_of_reach += 1,
                ShardState::Abandoned => missing.abandoned += 1,
                ShardState::Pending if progress.delegated => missing.at_peer += 1,
                ShardState::Pending if progress.in_flight > 0 => missing.at_server += 1,
                ShardState::Pending if progress.peer_may_have_called => missing.after_peer += 1,
                ShardState::Pending => missing.unsent += 1,
            }
        }
        missing
    }

    /// Returns the number of extra attempts (retries and hedges) that were sent.
    #[must_use]
    pub fn extra_attempts(&self) -> u32 {
        self.shards.iter().map(|shard| shard.extra_attempts).sum()
    }

    /// Returns whether any server may have run the request.
    #[must_use]
    pub const fn may_have_run(&self) -> bool {
        self.may_have_run || self.in_flight > 0
    }

    /// Returns the rank of this search among those that compete for servers.
    fn rank(&self, now: BootTime) -> SearchRank {
        let is_on_time = now < self.plan.answer_by;
        let is_half_complete =
            !is_on_time && self.answered * HALF_COMPLETE_DIVISOR >= self.plan.min_shards;
        SearchRank { is_on_time, is_half_complete, arrived: self.plan.arrived }
    }

    fn on_attempt_failed(
        &mut self,
        now: BootTime,
        fleet: &mut ServerFleet,
        position: usize,
        server: ServerKey,
        outcome: AttemptOutcome,
        actions: &mut Vec<FanoutAction>,
    ) {
        let may_wait = self.shards.len() > 1 && now < self.plan.answer_by;
        let progress = &mut self.shards[position];
        if outcome.may_have_arrived() {
            if !progress.reached.contains(&server) {
                progress.reached.push(server);
            }
        } else {
            progress.unsent_attempts += 1;
            progress.unsent_to.push(server);
            if !progress.reached.contains(&server) {
                progress.called.retain(|called| *called != server);
            }
        }
        // While other shards are still pending, a full server may get free capacity in time.
        if outcome == AttemptOutcome::NotRun && may_wait {
            progress.refused.push(server);
        }
        if progress.in_flight > 0 || progress.delegated || progress.needs_peer {
            return;
        }
        let is_final = outcome.may_have_run() && self.plan.retry == RetryPolicy::AtMostOnce;
        if is_final {
            self.abandon_shard(position);
            return;
        }
        if progress.unsent_attempts >= MAX_UNSENT_ATTEMPTS {
            self.leave_to_peer(now, fleet, position);
            return;
        }
        self.retry(now, fleet, position, actions);
    }

    /// Calls a server for a shard that has no attempt in flight. Schedules a later retry
    /// if none can be called now, and abandons the shard if none may be called any more.
    fn retry(
        &mut self,
        now: BootTime,
        fleet: &mut ServerFleet,
        position: usize,
        actions: &mut Vec<FanoutAction>,
    ) {
        let rank = self.rank(now);
        if self.must_wait_for_canary() {
            self.shards[position].retry_at = Some(now + BUSY_RETRY_DELAY);
            return;
        }
        if self.is_hopeless() {
            self.abandon_shard(position);
            return;
        }
        let progress = &mut self.shards[position];
        progress.retry_at = None;
        let service = self.plan.services[position];
        let scope = progress.scope(&self.plan, position, rank);
        if !fleet.has_candidate(now, service, scope) {
            let refused = std::mem::take(&mut progress.refused);
            if refused.is_empty() {
                self.leave_to_peer(now, fleet, position);
                return;
            }
            progress.excluded.retain(|server| !refused.contains(server));
            progress.retry_at = Some(now + REFUSED_RETRY_DELAY);
            return;
        }
        if !fleet.has_responding_candidate(now, service, scope)
            && self.can_use_peer(now, fleet, position)
        {
            self.shards[position].needs_peer = true;
            return;
        }
        let can_be_placed = match self.shards[position].token_wait {
            Some(until) => now < until,
            None => self.can_get_token(now, fleet, position),
        };
        if !can_be_placed {
            self.stop_waiting(fleet, position);
            self.abandon_shard(position);
            return;
        }
        if self.shards[position].token_wait.is_none() && self.waits_for_token(now, fleet, position)
        {
            return;
        }
        let progress = &self.shards[position];
        // An attempt is an extra one only if an earlier one may have reached a server, or
        // if a peer may have called one.
        let no_server_reached = progress.called.is_empty() && !progress.peer_may_have_called;
        let kind = if no_server_reached { AttemptKind::First } else { AttemptKind::Extra };
        if self.send(now, fleet, position, kind, actions) {
            return;
        }
        // A peer that has called a server may still send its response.
        let needs_credit = !no_server_reached && !self.shards[position].peer_may_have_called;
        if needs_credit && !fleet.expects_extra(now, service, self.respond_by) {
            self.abandon_shard(position);
            return;
        }
        self.wait_or_abandon(now, fleet, position);
    }

    fn abandon_shard(&mut self, position: usize) {
        self.shards[position].state = ShardState::Abandoned;
        self.abandoned += 1;
    }

    /// Finishes the request once its outcome is certain. Before its deadline, a delegate
    /// finishes only when every shard has answered or is abandoned, and reports until then.
    fn finish_if_done(&mut self, now: BootTime, actions: &mut Vec<FanoutAction>) {
        let total = self.shards.len();
        let has_enough = self.has_enough();
        let all_resolved = self.answered + self.abandoned == total;
        let is_unattainable = total - self.abandoned < self.plan.min_shards;
        let is_delegate = matches!(self.plan.role, FanoutRole::Delegate { .. });
        if is_delegate && !all_resolved && now < self.respond_by {
            self.report_if_due(now, actions);
            return;
        }
        let outcome = if has_enough && (all_resolved || now >= self.plan.answer_by) {
            FanoutOutcome::Answered
        } else if now >= self.respond_by {
            let is_refused = self.is_cut_short() && !self.may_have_run();
            if is_refused { FanoutOutcome::NotRun } else { FanoutOutcome::TimedOut }
        } else if is_unattainable || all_resolved {
            if self.may_have_run() { FanoutOutcome::Failed } else { FanoutOutcome::NotRun }
        } else {
            return;
        };
        self.finished = true;
        actions.push(FanoutAction::Finish(outcome));
    }
}

impl ShardProgress {
    /// Returns the number of servers that this node's attempts may have reached or may
    /// still reach.
    fn servers_reached(&self) -> u32 {
        self.called.len() as u32
    }

    /// Returns which servers may be called next for the shard at `position`.
    fn scope<'plan>(
        &'plan self,
        plan: &'plan FanoutPlan,
        position: usize,
        rank: SearchRank,
    ) -> PickScope<'plan> {
        let allowed = plan.allowed.get(&shard_at(position)).map(Vec::as_slice);
        let attempts_exhausted = self.servers_reached() >= plan.attempts;
        PickScope {
            excluded: &self.excluded,
            allowed: if attempts_exhausted { Some(&self.called) } else { allowed },
            rank,
            stake: if self.servers_reached() + 1 >= plan.attempts {
                AttemptStake::Last
            } else {
                AttemptStake::Repeatable
            },
            limited: if self.token_wait.is_some() { LimitedUse::Awaited } else { LimitedUse::Free },
        }
    }

    fn may_hedge(&self, plan: &FanoutPlan) -> bool {
        self.in_flight > 0 && self.servers_reached() < plan.attempts
    }
}

fn delegation_at(position: usize) -> DelegationIndex {
    DelegationIndex(u16::try_from(position).unwrap_or(u16::MAX))
}

fn shard_at(position: usize) -> ShardIndex {
    ShardIndex(u16::try_from(position).unwrap_or(u16::MAX))
}
