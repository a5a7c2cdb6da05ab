//! One client request on its way to a service, or to every shard of an index.
//!
//! The state machine decides when a shard is asked again, when the answer goes
//! out although shards are lacking, and when the request can't be served any
//! more. Load that this answers: stragglers, pauses of single servers, and
//! servers that shed or fail while others have room.

use std::time::Duration;

use carobstep_clock::BootTime;

use crate::{
    fleet::{SentTicket, ServerFleet, ServerKey, ServiceKey},
    model::RetryPolicy,
    stats::{AttemptEnd, ClassKey},
};

/// Wait before a hedge that found no budget or no server is tried again.
const HEDGE_RETRY: Duration = Duration::from_millis(5);

/// Wait before a shard whose servers are all busy with this node's requests is
/// tried again.
const BUSY_RETRY: Duration = Duration::from_millis(3);

/// Attempts of one shard that never left, after which it is given up.
const MAX_UNSENT: u32 = 4;

/// Position of a shard in the plan.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct ShardIndex(pub u16);

/// What has to be done for one request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FanoutPlan {
    /// The service, or one service per shard.
    pub services: Vec<ServiceKey>,
    /// Least number of shards that an answer must include.
    pub least: usize,
    /// Whether a shard may be asked again after it may have run the request.
    pub retry: RetryPolicy,
    /// Servers that may be asked for each shard.
    pub attempts: u32,
    /// Class of the request.
    pub class: ClassKey,
    /// When the answer goes out with the shards that are there.
    pub answer_by: BootTime,
    /// When nobody waits for the answer any more.
    pub deadline: BootTime,
}

/// What the caller has to do.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FanoutAction {
    /// Send the request to a server.
    Send {
        /// Shard that is asked.
        shard: ShardIndex,
        /// Ticket of the attempt, to be handed back when it has ended.
        ticket: SentTicket,
    },
    /// Answer the client; nothing follows.
    Finish(FanoutEnd),
}

/// How a request ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FanoutEnd {
    /// Enough shards answered.
    Answered,
    /// Too few shards answered, and no server has run or will run the request.
    NotRun,
    /// Too few shards answered.
    Failed,
    /// Too few shards answered before the deadline.
    TimedOut,
}

/// Progress of one request.
#[derive(Clone, Debug)]
pub struct FanoutState {
    plan: FanoutPlan,
    shards: Vec<ShardProgress>,
    answered: usize,
    given_up: usize,
    in_flight: u32,
    may_have_run: bool,
    finished: bool,
}

#[derive(Clone, Debug, Default)]
struct ShardProgress {
    tried: Vec<ServerKey>,
    in_flight: u32,
    unsent: u32,
    state: ShardState,
    hedge_at: BootTime,
    /// When a shard that waits for a free server is tried again.
    retry_at: Option<BootTime>,
    extra: u32,
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
        let shards = vec![ShardProgress::default(); plan.services.len()];
        Self {
            plan,
            shards,
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
        for position in 0..self.shards.len() {
            if self.shards[position].state == ShardState::GivenUp {
                continue;
            }
            fleet.earn(self.plan.services[position]);
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
            self.attempt_failed(now, fleet, position, end, &mut actions);
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
                let waiting = progress.retry_at.is_some();
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
        let hedges = self.plan.retry == RetryPolicy::Idempotent;
        for progress in &self.shards {
            if progress.state != ShardState::Open {
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

    /// Number of shards that have answered.
    #[must_use]
    pub const fn answered(&self) -> usize {
        self.answered
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

    fn send(
        &mut self,
        now: BootTime,
        fleet: &mut ServerFleet,
        position: usize,
        actions: &mut Vec<FanoutAction>,
    ) -> bool {
        let progress = &mut self.shards[position];
        let service = self.plan.services[position];
        let class = self.plan.class;
        let Some(server) = fleet.pick(now, service, class, &progress.tried) else { return false };
        progress.tried.push(server);
        progress.in_flight += 1;
        self.in_flight += 1;
        progress.hedge_at = now + fleet.classes.hedge_delay(class);
        let ticket = fleet.sent(now, server, class);
        let shard = ShardIndex(u16::try_from(position).unwrap_or(u16::MAX));
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
        let progress = &self.shards[position];
        if !progress.may_hedge(&self.plan) {
            return false;
        }
        let service = self.plan.services[position];
        let target = fleet.pick(now, service, self.plan.class, &progress.tried);
        if target.is_none_or(|server| fleet.is_suspect(now, server, self.plan.class)) {
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
        end: AttemptEnd,
        actions: &mut Vec<FanoutAction>,
    ) {
        let progress = &mut self.shards[position];
        if !end.may_have_arrived() {
            progress.unsent += 1;
        }
        if progress.in_flight > 0 {
            return;
        }
        let final_end = end.may_have_run() && self.plan.retry == RetryPolicy::AtMostOnce;
        let arrived = progress.tried.len() as u32 - progress.unsent;
        let exhausted = arrived >= self.plan.attempts || progress.unsent >= MAX_UNSENT;
        if final_end || exhausted {
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
        let progress = &mut self.shards[position];
        progress.retry_at = None;
        let service = self.plan.services[position];
        if !fleet.has_untried(service, &progress.tried) {
            self.give_up(position);
            return;
        }
        // The first arrival is not an extra one.
        let unsent_only = progress.unsent as usize == progress.tried.len();
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
    fn may_hedge(&self, plan: &FanoutPlan) -> bool {
        self.in_flight > 0 && (self.tried.len() as u32 - self.unsent) < plan.attempts
    }
}
