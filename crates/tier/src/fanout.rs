//! One client request on its way to a service, or to every shard of an index.
//!
//! The state machine decides when a shard is asked again, when the answer goes
//! out although shards are lacking, and when the request can't be served any
//! more. Load that this answers: stragglers, pauses of single servers, and
//! servers that shed or fail while others have room.

mod delegated;

use std::time::Duration;

use carobstep_clock::BootTime;

use crate::{
    fanout_plan::{FanoutAction, FanoutEnd, FanoutPlan, GroupIndex, LackingShards, ShardIndex},
    fleet::{PickScope, SearchRank, ServerFleet, ServerKey},
    model::RetryPolicy,
    stats::AttemptEnd,
};

/// Wait before a hedge that found no budget or no server is tried again.
const HEDGE_RETRY: Duration = Duration::from_millis(5);

/// Wait before a server that refused for lack of room is asked again: about the
/// work of one request.
const REFUSED_RETRY: Duration = Duration::from_millis(20);

/// Share of a shard's slots in use above which no hedges are sent: they would
/// only lengthen the queues that make answers late.
const MAX_HEDGED_USE: f64 = 0.75;

/// Wait before a shard whose servers are all busy with this node's requests is
/// tried again.
const BUSY_RETRY: Duration = Duration::from_millis(3);

/// Part of a shard's income for the retry budget that goes to a node which
/// delegates it, for the direct call that replaces a silent peer.
const DELEGATOR_PART: f64 = 0.3;

/// Part of that income which goes to the node that calls the servers.
const DELEGATE_PART: f64 = 1.0 - DELEGATOR_PART;

/// An answered part of the shards that an answer needs from which a late search
/// needs little more: one divided by this.
const WELL_ON_DIVISOR: usize = 2;

/// Attempts of one shard that never left, after which it is given up.
const MAX_UNSENT: u32 = 4;

/// Progress of one request.
#[derive(Clone, Debug)]
pub struct FanoutState {
    plan: FanoutPlan,
    shards: Vec<ShardProgress>,
    answered: usize,
    given_up: usize,
    in_flight: u32,
    groups: Vec<GroupState>,
    /// Whether the node that delegated these shards has got a report.
    has_reported: bool,
    /// Numbers of answered and given-up shards in its last report.
    reported: (usize, usize),
    may_have_run: bool,
    finished: bool,
}

#[derive(Clone, Debug, Default)]
struct ShardProgress {
    /// Servers that must not be asked again.
    tried: Vec<ServerKey>,
    /// Servers among them that refused for lack of room, and may have some later.
    refused: Vec<ServerKey>,
    /// Servers that were asked, also those that may be asked again.
    asked: Vec<ServerKey>,
    in_flight: u32,
    unsent: u32,
    /// Whether a peer may have asked a server before: every direct attempt is
    /// an extra one.
    replaced: bool,
    /// Whether a peer has the shard and it is not asked directly yet.
    delegated: bool,
    state: ShardState,
    hedge_at: BootTime,
    /// When a shard that waits for a free server is tried again.
    retry_at: Option<BootTime>,
    extra: u32,
}

/// Where a delegation stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum GroupState {
    /// Nothing was heard of the peer.
    Silent,
    /// The peer is at work; its end or that of its connection will be heard.
    Heard,
    Ended,
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum ShardState {
    #[default]
    Open,
    Answered,
    GivenUp,
}

impl FanoutState {
    /// Builds the state of a request that was just taken.
    #[must_use]
    pub fn new(plan: FanoutPlan) -> Self {
        let mut shards = vec![ShardProgress::default(); plan.services.len()];
        for delegation in &plan.delegations {
            for shard in &delegation.shards {
                if let Some(progress) = shards.get_mut(usize::from(shard.0)) {
                    progress.delegated = true;
                }
            }
        }
        let groups = vec![GroupState::Silent; plan.delegations.len()];
        Self {
            plan,
            shards,
            groups,
            has_reported: false,
            reported: (0, 0),
            answered: 0,
            given_up: 0,
            in_flight: 0,
            may_have_run: false,
            finished: false,
        }
    }

    /// Sends the first attempt of each shard.
    pub fn start(&mut self, now: BootTime, fleet: &mut ServerFleet) -> Vec<FanoutAction> {
        let mut actions = Vec::with_capacity(self.shards.len());
        for position in 0..self.shards.len() {
            if !fleet.is_served(self.plan.services[position]) {
                self.give_up(position);
            }
        }
        self.check_end(now, &mut actions);
        if self.finished {
            return actions;
        }
        for group in 0..self.plan.delegations.len() {
            actions.push(FanoutAction::Delegate(GroupIndex(u16::try_from(group).unwrap_or(0))));
            self.in_flight += 1;
        }
        for position in 0..self.shards.len() {
            let service = self.plan.services[position];
            if self.shards[position].delegated {
                fleet.earn_part(service, DELEGATOR_PART);
                continue;
            }
            if self.shards[position].state == ShardState::GivenUp {
                continue;
            }
            fleet.earn_part(service, if self.plan.is_delegated { DELEGATE_PART } else { 1.0 });
            if !self.send(now, fleet, position, &mut actions) {
                self.shards[position].retry_at = Some(now + BUSY_RETRY);
            }
        }
        actions
    }

    /// Takes in the end of one attempt.
    pub fn attempt_ended(
        &mut self,
        now: BootTime,
        fleet: &mut ServerFleet,
        shard: ShardIndex,
        server: ServerKey,
        end: AttemptEnd,
    ) -> Vec<FanoutAction> {
        let mut actions = Vec::new();
        let position = usize::from(shard.0);
        if self.finished || position >= self.shards.len() {
            return actions;
        }
        self.in_flight = self.in_flight.saturating_sub(1);
        self.may_have_run |= end.may_have_run();
        let progress = &mut self.shards[position];
        progress.in_flight = progress.in_flight.saturating_sub(1);
        if progress.state != ShardState::Open {
            return actions;
        }
        if end == AttemptEnd::Answered {
            progress.state = ShardState::Answered;
            self.answered += 1;
        } else {
            self.attempt_failed(now, fleet, position, server, end, &mut actions);
        }
        self.check_end(now, &mut actions);
        actions
    }

    /// Sends what is due and answers when the time is up.
    pub fn timer(&mut self, now: BootTime, fleet: &mut ServerFleet) -> Vec<FanoutAction> {
        let mut actions = Vec::new();
        if self.finished {
            return actions;
        }
        for group in 0..self.plan.delegations.len() {
            let is_silent = self.groups[group] == GroupState::Silent;
            if is_silent && now >= self.plan.delegations[group].replace_at {
                // Its answer still counts if it comes first.
                self.replace_delegation(now, group, true);
            }
        }
        for position in 0..self.shards.len() {
            let progress = &self.shards[position];
            if progress.state != ShardState::Open || progress.retry_at.is_none_or(|due| now < due) {
                continue;
            }
            self.retry(now, fleet, position, &mut actions);
        }
        if self.plan.retry == RetryPolicy::Idempotent {
            for position in 0..self.shards.len() {
                let progress = &self.shards[position];
                let waiting = progress.retry_at.is_some() || progress.delegated;
                if progress.state != ShardState::Open || waiting || now < progress.hedge_at {
                    continue;
                }
                if !self.hedge(now, fleet, position, &mut actions) {
                    self.shards[position].hedge_at = now + HEDGE_RETRY;
                }
            }
        }
        self.check_end(now, &mut actions);
        actions
    }

    /// When [`FanoutState::timer`] is due next.
    #[must_use]
    pub fn next_timer(&self, now: BootTime) -> BootTime {
        let mut next = self.plan.deadline;
        if now < self.plan.answer_by {
            next = next.min(self.plan.answer_by);
        }
        for (group, delegation) in self.plan.delegations.iter().enumerate() {
            if self.groups[group] == GroupState::Silent && now < delegation.replace_at {
                next = next.min(delegation.replace_at);
            }
        }
        let hedges = self.plan.retry == RetryPolicy::Idempotent;
        for progress in &self.shards {
            if progress.state != ShardState::Open || progress.delegated {
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

    /// What has to be done.
    #[must_use]
    pub const fn plan(&self) -> &FanoutPlan {
        &self.plan
    }

    /// What the shards that have not answered wait for.
    #[must_use]
    pub fn lacking(&self) -> LackingShards {
        let mut lacking = LackingShards::default();
        for progress in &self.shards {
            match progress.state {
                ShardState::Answered => {}
                ShardState::GivenUp => lacking.given_up += 1,
                ShardState::Open if progress.delegated => lacking.at_peer += 1,
                ShardState::Open if progress.in_flight > 0 => lacking.at_server += 1,
                ShardState::Open if progress.replaced => lacking.after_peer += 1,
                ShardState::Open => lacking.unsent += 1,
            }
        }
        lacking
    }

    /// Number of extra attempts that were sent.
    #[must_use]
    pub fn extra_attempts(&self) -> u32 {
        self.shards.iter().map(|shard| shard.extra).sum()
    }

    /// Whether a server may have run the request.
    #[must_use]
    pub const fn may_have_run(&self) -> bool {
        self.may_have_run || self.in_flight > 0
    }

    /// Which other searches this one goes before.
    fn rank(&self, now: BootTime) -> SearchRank {
        let in_time = now < self.plan.answer_by;
        let is_well_on = !in_time && self.answered * WELL_ON_DIVISOR >= self.plan.least;
        SearchRank { in_time, is_well_on, arrived: self.plan.arrived }
    }

    fn send(
        &mut self,
        now: BootTime,
        fleet: &mut ServerFleet,
        position: usize,
        actions: &mut Vec<FanoutAction>,
    ) -> bool {
        let rank = self.rank(now);
        let progress = &mut self.shards[position];
        let service = self.plan.services[position];
        let class = self.plan.class;
        let scope = progress.scope(&self.plan, position, rank);
        let Some(server) = fleet.pick_in_turn(now, service, class, scope) else {
            return false;
        };
        if !progress.asked.contains(&server) {
            progress.asked.push(server);
        }
        progress.tried.push(server);
        progress.in_flight += 1;
        self.in_flight += 1;
        progress.hedge_at = now + fleet.classes.hedge_delay(class);
        let ticket = fleet.sent(now, server, class);
        let shard = shard_at(position);
        actions.push(FanoutAction::Send { shard, ticket });
        true
    }

    /// Asks one more server while another attempt is under way.
    fn hedge(
        &mut self,
        now: BootTime,
        fleet: &mut ServerFleet,
        position: usize,
        actions: &mut Vec<FanoutAction>,
    ) -> bool {
        let rank = self.rank(now);
        let progress = &self.shards[position];
        if !progress.may_hedge(&self.plan) {
            return false;
        }
        let service = self.plan.services[position];
        let scope = progress.scope(&self.plan, position, rank);
        let target = fleet.pick(now, service, self.plan.class, scope);
        if target.is_none_or(|server| fleet.is_suspect(now, server, self.plan.class)) {
            return false;
        }
        if fleet.slots_in_use(service) > MAX_HEDGED_USE {
            return false;
        }
        self.send_extra(now, fleet, position, actions)
    }

    /// Sends one more attempt if the retry budget allows it.
    fn send_extra(
        &mut self,
        now: BootTime,
        fleet: &mut ServerFleet,
        position: usize,
        actions: &mut Vec<FanoutAction>,
    ) -> bool {
        let service = self.plan.services[position];
        if !fleet.take_extra(now, service) {
            return false;
        }
        if !self.send(now, fleet, position, actions) {
            fleet.give_back_extra(service);
            return false;
        }
        self.shards[position].extra += 1;
        true
    }

    fn attempt_failed(
        &mut self,
        now: BootTime,
        fleet: &mut ServerFleet,
        position: usize,
        server: ServerKey,
        end: AttemptEnd,
        actions: &mut Vec<FanoutAction>,
    ) {
        let waits = self.shards.len() > 1 && now < self.plan.answer_by;
        let progress = &mut self.shards[position];
        if !end.may_have_arrived() {
            progress.unsent += 1;
        }
        // The other shards go on meanwhile: a full server may have room in time.
        if end == AttemptEnd::NotRun && waits {
            progress.refused.push(server);
        }
        if progress.in_flight > 0 {
            return;
        }
        let final_end = end.may_have_run() && self.plan.retry == RetryPolicy::AtMostOnce;
        if final_end || progress.unsent >= MAX_UNSENT {
            self.give_up(position);
            return;
        }
        self.retry(now, fleet, position, actions);
    }

    /// Asks a server for a shard that no attempt is under way for, or lets it
    /// wait until one is free.
    fn retry(
        &mut self,
        now: BootTime,
        fleet: &mut ServerFleet,
        position: usize,
        actions: &mut Vec<FanoutAction>,
    ) {
        let rank = self.rank(now);
        let progress = &mut self.shards[position];
        progress.retry_at = None;
        let service = self.plan.services[position];
        let scope = progress.scope(&self.plan, position, rank);
        if !fleet.has_candidate(service, scope) {
            let refused = std::mem::take(&mut progress.refused);
            if refused.is_empty() {
                self.give_up(position);
                return;
            }
            progress.tried.retain(|server| !refused.contains(server));
            progress.retry_at = Some(now + REFUSED_RETRY);
            return;
        }
        // The first arrival is not an extra one.
        let unsent_only = progress.unsent as usize == progress.asked.len() && !progress.replaced;
        let sent = if unsent_only {
            self.send(now, fleet, position, actions)
        } else {
            self.send_extra(now, fleet, position, actions)
        };
        if !sent {
            self.shards[position].retry_at = Some(now + BUSY_RETRY);
        }
    }

    fn give_up(&mut self, position: usize) {
        self.shards[position].state = ShardState::GivenUp;
        self.given_up += 1;
    }

    fn check_end(&mut self, now: BootTime, actions: &mut Vec<FanoutAction>) {
        let total = self.shards.len();
        let enough = self.answered >= self.plan.least;
        let settled = self.answered + self.given_up == total;
        let hopeless = total - self.given_up < self.plan.least;
        if self.plan.is_delegated && !settled && now < self.plan.deadline {
            self.report(now, actions);
            return;
        }
        let end = if enough && (settled || now >= self.plan.answer_by) {
            FanoutEnd::Answered
        } else if now >= self.plan.deadline {
            FanoutEnd::TimedOut
        } else if hopeless || settled {
            if self.may_have_run() { FanoutEnd::Failed } else { FanoutEnd::NotRun }
        } else {
            return;
        };
        self.finished = true;
        actions.push(FanoutAction::Finish(end));
    }
}

impl ShardProgress {
    /// Servers that may have been asked by this node.
    fn arrived(&self) -> u32 {
        (self.asked.len() as u32).saturating_sub(self.unsent)
    }

    /// Servers that may be asked now for the shard at a position.
    fn scope<'plan>(
        &'plan self,
        plan: &'plan FanoutPlan,
        position: usize,
        rank: SearchRank,
    ) -> PickScope<'plan> {
        let allowed = plan.allowed.get(&shard_at(position)).map(Vec::as_slice);
        let all_used = self.arrived() >= plan.attempts;
        PickScope {
            tried: &self.tried,
            only: if all_used { Some(&self.asked) } else { allowed },
            rank,
        }
    }

    fn may_hedge(&self, plan: &FanoutPlan) -> bool {
        self.in_flight > 0 && self.arrived() < plan.attempts
    }
}

fn shard_at(position: usize) -> ShardIndex {
    ShardIndex(u16::try_from(position).unwrap_or(u16::MAX))
}
