//! State machine of one search over all shards of a snapshot.

use std::{sync::Arc, time::Duration};

use bytes::Bytes;
use carobstep_clock::BootTime;
use carobstep_config::{ConfigTopology, SnapshotMap};
use carobstep_wire::{
    RefusalReason, RequestId, RequestOutcome, RetryReason, ShardReply, ShardResult,
};

use super::{
    attempt::{Attempt, AttemptKey, AttemptTable, RequestAction},
    report::{RequestCounts, SearchReport},
    target::{
        AttemptFailure, NextStep, RequestTarget, observation_without_reply, observe,
        reply_observation, sync_topology,
    },
};
use crate::router::{AttemptObservation, AttemptStatus, ServerRouter};

/// Maximum time before the deadline that is reserved to assemble the answer.
const MAX_FINISH_MARGIN: Duration = Duration::from_millis(2);

/// Divisor of a search's time that gives the time reserved to assemble the answer.
const FINISH_MARGIN_DIVISOR: u32 = 20;

/// Divisor of the shard count that gives how many shards may be missing the
/// snapshot before the search restarts on another one.
const MISSING_SNAPSHOT_DIVISOR: usize = 20;

/// Maximum number of restarts on another snapshot.
const MAX_RESTARTS: u32 = 2;

/// Parameters of a search.
#[derive(Clone, Debug)]
pub struct SearchPlan {
    /// Request id: the upper half identifies the caller, the lower half is new per run.
    pub id: RequestId,
    /// Time by which the answer must be sent to the caller.
    pub deadline: BootTime,
    /// The snapshot and its shards; keys belong to `topology`.
    pub map: Arc<SnapshotMap>,
    /// The topology that the plan's keys belong to.
    pub topology: Arc<ConfigTopology>,
}

/// State of one search.
///
/// Every event appends the resulting actions to a list that the owner empties.
/// After [`RequestAction::Finish`] the report is complete.
#[derive(Clone, Debug)]
pub struct SearchState {
    plan: SearchPlan,
    started: BootTime,
    finish_at: BootTime,
    targets: Vec<RequestTarget>,
    results: Vec<Option<Result<Bytes, RefusalReason>>>,
    unresolved_shards: usize,
    table: AttemptTable,
    counts: RequestCounts,
    retry_after: Option<Duration>,
    shards_missing_snapshot: usize,
    replan_requested: bool,
    replan_pending: bool,
    finished: bool,
    next_hedge_due: BootTime,
}

impl SearchState {
    /// Creates the state of a search without attempts.
    #[must_use]
    pub fn new(plan: SearchPlan, now: BootTime) -> Self {
        let finish_at = finish_time(now, plan.deadline);
        let shards = plan.map.shards.len();
        Self {
            targets: shard_targets(&plan.map),
            results: vec![None; shards],
            unresolved_shards: shards,
            table: AttemptTable::new(plan.id, finish_at, shards),
            plan,
            started: now,
            finish_at,
            counts: RequestCounts::default(),
            retry_after: None,
            shards_missing_snapshot: 0,
            replan_requested: false,
            replan_pending: false,
            finished: false,
            next_hedge_due: BootTime::MAX,
        }
    }

    /// Sends the first attempt for every shard.
    pub fn start(
        &mut self,
        now: BootTime,
        router: &mut ServerRouter,
        actions: &mut Vec<RequestAction>,
    ) {
        self.sync_topology(router);
        for shard in 0..self.targets.len() {
            match self.targets[shard].send_first(now, router, &mut self.table) {
                Ok(send) => {
                    self.counts.dispatches += 1;
                    self.next_hedge_due = self.next_hedge_due.min(self.targets[shard].hedge_due());
                    actions.push(RequestAction::Send(send));
                }
                Err(reason) => self.resolve_shard(shard, Err(reason)),
            }
        }
        self.finish_if_done(actions);
    }

    /// Handles the reply to an attempt.
    ///
    /// A reply for another request, shard or snapshot is dropped and counted,
    /// and the attempt fails with an unknown outcome.
    pub fn on_reply(
        &mut self,
        now: BootTime,
        key: AttemptKey,
        reply: ShardReply,
        router: &mut ServerRouter,
        actions: &mut Vec<RequestAction>,
    ) {
        self.sync_topology(router);
        let Some(attempt) = self.table.end(key) else { return };
        let shard = attempt.shard as usize;
        let observed = reply_observation(&reply, Some(self.plan.map.number));
        if reply.id != self.table.attempt_id(key) {
            return self.on_mismatch(now, attempt, router, actions);
        }
        match reply.result {
            ShardResult::Body(body) => {
                let entry = &self.plan.map.shards[shard];
                let echoed = reply.shard.as_ref() == Some(&entry.name)
                    && reply.snapshot == Some(self.plan.map.number);
                if !echoed {
                    return self.on_mismatch(now, attempt, router, actions);
                }
                observe(now, router, &attempt, observed);
                self.targets[shard].on_answered_or_cancelled();
                self.cancel_shard(now, shard, router, actions);
                self.resolve_shard(shard, Ok(body));
            }
            ShardResult::Refused { outcome, reason, retry_after_ms } => {
                let retry_after = Duration::from_millis(retry_after_ms);
                self.retry_after = self.retry_after.max(Some(retry_after));
                let observed =
                    AttemptObservation { status: reason.into(), retry_after, ..observed };
                observe(now, router, &attempt, observed);
                self.retry_or_fail(
                    now,
                    AttemptFailure { attempt, outcome, reason },
                    router,
                    actions,
                );
            }
        }
        self.finish_if_done(actions);
    }

    /// Handles an attempt that failed without a reply.
    pub fn on_failure(
        &mut self,
        now: BootTime,
        key: AttemptKey,
        outcome: RequestOutcome,
        reason: RefusalReason,
        router: &mut ServerRouter,
        actions: &mut Vec<RequestAction>,
    ) {
        self.sync_topology(router);
        let Some(attempt) = self.table.end(key) else { return };
        let observed = observation_without_reply(reason.into(), Some(self.plan.map.number));
        observe(now, router, &attempt, observed);
        self.retry_or_fail(now, AttemptFailure { attempt, outcome, reason }, router, actions);
        self.finish_if_done(actions);
    }

    /// Sends due hedges; shortly before the deadline, finishes with the results so far.
    pub fn on_timer(
        &mut self,
        now: BootTime,
        router: &mut ServerRouter,
        actions: &mut Vec<RequestAction>,
    ) {
        if self.finished {
            return;
        }
        self.sync_topology(router);
        if now >= self.finish_at {
            self.on_deadline(now, router, actions);
            return;
        }
        if now < self.next_hedge_due {
            return;
        }
        self.next_hedge_due = BootTime::MAX;
        for target in &mut self.targets {
            if let Some(send) = target.try_hedge(now, self.finish_at, router, &mut self.table) {
                self.counts.dispatches += 1;
                self.counts.hedges += 1;
                actions.push(RequestAction::CountRetry(RetryReason::Hedge));
                actions.push(RequestAction::Send(send));
            }
            self.next_hedge_due = self.next_hedge_due.min(target.hedge_due());
        }
    }

    /// Returns the time at which [`Self::on_timer`] must be called next.
    #[must_use]
    pub fn next_wakeup(&self) -> BootTime {
        self.next_hedge_due.min(self.finish_at)
    }

    /// Restarts the search on another snapshot and drops all earlier results.
    pub fn restart(
        &mut self,
        now: BootTime,
        map: Arc<SnapshotMap>,
        topology: Arc<ConfigTopology>,
        router: &mut ServerRouter,
        actions: &mut Vec<RequestAction>,
    ) {
        if self.finished {
            return;
        }
        self.sync_topology(router);
        self.cancel_all(now, router, actions);
        self.counts.restarts += 1;
        actions.push(RequestAction::CountRetry(RetryReason::SnapshotMoved));
        let shards = map.shards.len();
        self.plan.map = map;
        self.plan.topology = topology;
        self.targets = shard_targets(&self.plan.map);
        self.results.clear();
        self.results.resize(shards, None);
        self.unresolved_shards = shards;
        self.shards_missing_snapshot = 0;
        self.replan_requested = false;
        self.replan_pending = false;
        self.next_hedge_due = BootTime::MAX;
        self.start(now, router, actions);
    }

    /// Continues with the current snapshot after [`RequestAction::Replan`].
    pub fn decline_replan(&mut self, actions: &mut Vec<RequestAction>) {
        self.replan_pending = false;
        self.finish_if_done(actions);
    }

    /// Ends the search before its deadline and cancels its attempts in flight.
    pub fn abort(
        &mut self,
        now: BootTime,
        reason: RefusalReason,
        router: &mut ServerRouter,
        actions: &mut Vec<RequestAction>,
    ) {
        self.sync_topology(router);
        self.cancel_all(now, router, actions);
        for shard in 0..self.results.len() {
            if self.results[shard].is_none() {
                self.resolve_shard(shard, Err(reason));
            }
        }
        self.replan_pending = false;
        self.finish_if_done(actions);
    }

    /// Returns whether the report is complete.
    #[must_use]
    pub const fn is_finished(&self) -> bool {
        self.finished
    }

    /// Returns the topology that the server keys of the latest actions belong to.
    #[must_use]
    pub const fn topology(&self) -> &Arc<ConfigTopology> {
        &self.plan.topology
    }

    /// Returns the number of the current plan's snapshot.
    #[must_use]
    pub fn snapshot(&self) -> u64 {
        self.plan.map.number
    }

    /// Returns the report; shards without a result are missing.
    #[must_use]
    pub fn into_report(self) -> SearchReport {
        let unanswered = RefusalReason::DeadlinePassed;
        let results = self.results.into_iter();
        let shards = results.map(|result| result.unwrap_or(Err(unanswered))).collect();
        let retry_after = self.retry_after;
        SearchReport { map: self.plan.map, shards, retry_after, counts: self.counts }
    }
}

impl SearchState {
    fn on_mismatch(
        &mut self,
        now: BootTime,
        attempt: Attempt,
        router: &mut ServerRouter,
        actions: &mut Vec<RequestAction>,
    ) {
        self.counts.mismatches += 1;
        let reason = RefusalReason::ReplyMismatch;
        let observed = observation_without_reply(reason.into(), Some(self.plan.map.number));
        observe(now, router, &attempt, observed);
        self.retry_or_fail(
            now,
            AttemptFailure { attempt, outcome: RequestOutcome::Unknown, reason },
            router,
            actions,
        );
        self.finish_if_done(actions);
    }

    fn retry_or_fail(
        &mut self,
        now: BootTime,
        failure: AttemptFailure,
        router: &mut ServerRouter,
        actions: &mut Vec<RequestAction>,
    ) {
        actions.push(RequestAction::CountRefusal(failure.reason));
        let shard = failure.attempt.shard as usize;
        let step =
            self.targets[shard].on_failure(now, self.finish_at, &failure, router, &mut self.table);
        match step {
            NextStep::Wait => {}
            NextStep::Retry(send, retry_reason) => {
                self.counts.dispatches += 1;
                self.counts.retries += 1;
                self.next_hedge_due = self.next_hedge_due.min(self.targets[shard].hedge_due());
                actions.push(RequestAction::CountRetry(retry_reason));
                actions.push(RequestAction::Send(send));
            }
            NextStep::Fail(reason) => {
                self.resolve_shard(shard, Err(reason));
                self.maybe_request_replan(now, reason, actions);
            }
        }
    }

    /// Requests a restart on another snapshot when too many shards are missing this one.
    fn maybe_request_replan(
        &mut self,
        now: BootTime,
        reason: RefusalReason,
        actions: &mut Vec<RequestAction>,
    ) {
        if AttemptStatus::from(reason) != AttemptStatus::SnapshotMissing {
            return;
        }
        self.shards_missing_snapshot += 1;
        let too_many = self.shards_missing_snapshot > self.targets.len() / MISSING_SNAPSHOT_DIVISOR;
        let half_left = self.finish_at.since(now) * 2 >= self.finish_at.since(self.started);
        if !too_many || !half_left || self.replan_requested || self.counts.restarts >= MAX_RESTARTS
        {
            return;
        }
        self.replan_requested = true;
        self.replan_pending = true;
        actions.push(RequestAction::Replan { avoid: self.plan.map.number });
    }

    fn resolve_shard(&mut self, shard: usize, result: Result<Bytes, RefusalReason>) {
        if self.results[shard].is_none() {
            self.unresolved_shards -= 1;
        }
        self.results[shard] = Some(result);
    }

    fn finish_if_done(&mut self, actions: &mut Vec<RequestAction>) {
        if self.unresolved_shards > 0 || self.finished || self.replan_pending {
            return;
        }
        self.finished = true;
        actions.push(RequestAction::Finish);
    }

    fn on_deadline(
        &mut self,
        now: BootTime,
        router: &mut ServerRouter,
        actions: &mut Vec<RequestAction>,
    ) {
        self.cancel_all(now, router, actions);
        for shard in 0..self.results.len() {
            if self.results[shard].is_none() {
                let reason = self.targets[shard].last_reason();
                self.resolve_shard(shard, Err(reason));
            }
        }
        self.finished = true;
        actions.push(RequestAction::Finish);
    }

    /// Cancels the attempts in flight of a shard that another attempt has answered.
    fn cancel_shard(
        &mut self,
        now: BootTime,
        shard: usize,
        router: &mut ServerRouter,
        actions: &mut Vec<RequestAction>,
    ) {
        if self.targets[shard].in_flight() == 0 {
            return;
        }
        self.cancel_where(now, Some(shard), router, actions);
    }

    fn cancel_all(
        &mut self,
        now: BootTime,
        router: &mut ServerRouter,
        actions: &mut Vec<RequestAction>,
    ) {
        self.cancel_where(now, None, router, actions);
    }

    fn cancel_where(
        &mut self,
        now: BootTime,
        shard: Option<usize>,
        router: &mut ServerRouter,
        actions: &mut Vec<RequestAction>,
    ) {
        let snapshot = Some(self.plan.map.number);
        let first_cancel = actions.len();
        for (attempt, entry) in self.table.in_flight() {
            if shard.is_none_or(|shard| entry.shard as usize == shard) {
                actions.push(RequestAction::Cancel { attempt });
            }
        }
        for action in &actions[first_cancel..] {
            let RequestAction::Cancel { attempt } = action else { continue };
            let Some(ended) = self.table.end(*attempt) else { continue };
            self.targets[ended.shard as usize].on_answered_or_cancelled();
            let observed = observation_without_reply(AttemptStatus::Cancelled, snapshot);
            observe(now, router, &ended, observed);
        }
    }

    /// Translates all keys to the router's topology if it has changed.
    fn sync_topology(&mut self, router: &ServerRouter) {
        let targets = &mut self.targets;
        sync_topology(&mut self.plan.topology, router, targets, &mut self.table);
    }
}

fn shard_targets(map: &SnapshotMap) -> Vec<RequestTarget> {
    let snapshot = Some(map.number);
    let shards = map.shards.iter().enumerate();
    shards.map(|(shard, entry)| RequestTarget::new(shard, entry.service, snapshot)).collect()
}

fn finish_time(now: BootTime, deadline: BootTime) -> BootTime {
    let margin = (deadline.since(now) / FINISH_MARGIN_DIVISOR).min(MAX_FINISH_MARGIN);
    deadline - margin
}
