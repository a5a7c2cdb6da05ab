//! One search over all shards of one snapshot.

use std::{sync::Arc, time::Duration};

use bytes::Bytes;
use carobstep_clock::BootTime;
use carobstep_config::{ConfigTopology, SnapshotMap};
use carobstep_wire::{
    RefusalReason, RequestId, RequestOutcome, RetryReason, ShardReply, ShardResult,
};

use super::{
    attempt::{Attempt, AttemptKey, AttemptTable, RequestAction},
    report::{AnswerReport, RequestCounts},
    target::{Failure, NextStep, Target, bare_observation, observe, rebase, reply_observation},
};
use crate::router::{AttemptObservation, ObservedEnd, ServerRouter};

/// Longest time kept back from the deadline to assemble the answer.
const MAX_FINISH_MARGIN: Duration = Duration::from_millis(2);

/// Part of a query's time kept back to assemble the answer.
const FINISH_MARGIN_SHARE: u32 = 20;

/// One in this many shards may lack the snapshot before the query moves.
const LACKING_SHARE: usize = 20;

/// Most moves to another snapshot.
const MAX_MOVES: u32 = 2;

/// What a search has to fetch.
#[derive(Clone, Debug)]
pub struct QueryPlan {
    /// Id of the query: the upper half is the caller's, the lower half is new per run.
    pub id: RequestId,
    /// When the answer must be out.
    pub deadline: BootTime,
    /// The snapshot and its shards; keys belong to `topology`.
    pub map: Arc<SnapshotMap>,
    /// The topology that the plan was made with.
    pub topology: Arc<ConfigTopology>,
}

/// Progress of one search.
///
/// Every event writes the actions that follow from it into a list that the
/// owner empties. After [`RequestAction::Finish`] the report is complete.
#[derive(Clone, Debug)]
pub struct QueryState {
    plan: QueryPlan,
    started: BootTime,
    finish_at: BootTime,
    targets: Vec<Target>,
    results: Vec<Option<Result<Bytes, RefusalReason>>>,
    open: usize,
    table: AttemptTable,
    counts: RequestCounts,
    retry_after: Option<Duration>,
    snapshot_lacking: usize,
    move_asked: bool,
    move_pending: bool,
    finished: bool,
    next_hedge: BootTime,
}

impl QueryState {
    /// Builds the state of a search that has sent nothing.
    #[must_use]
    pub fn new(plan: QueryPlan, now: BootTime) -> Self {
        let finish_at = finish_time(now, plan.deadline);
        let shards = plan.map.shards.len();
        Self {
            targets: targets_of(&plan.map),
            results: vec![None; shards],
            open: shards,
            table: AttemptTable::new(plan.id, finish_at, shards),
            plan,
            started: now,
            finish_at,
            counts: RequestCounts::default(),
            retry_after: None,
            snapshot_lacking: 0,
            move_asked: false,
            move_pending: false,
            finished: false,
            next_hedge: BootTime::MAX,
        }
    }

    /// Sends the first attempt for every shard.
    pub fn start(
        &mut self,
        now: BootTime,
        router: &mut ServerRouter,
        actions: &mut Vec<RequestAction>,
    ) {
        self.rebase(router);
        for shard in 0..self.targets.len() {
            match self.targets[shard].first(now, router, &mut self.table) {
                Ok(send) => {
                    self.counts.dispatches += 1;
                    self.next_hedge = self.next_hedge.min(self.targets[shard].hedge_due());
                    actions.push(RequestAction::Send(send));
                }
                Err(reason) => self.settle(shard, Err(reason)),
            }
        }
        self.finish_if_done(actions);
    }

    /// Takes in the reply to an attempt.
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
        self.rebase(router);
        let Some(attempt) = self.table.end(key) else { return };
        let shard = attempt.shard as usize;
        let observed = reply_observation(&reply, Some(self.plan.map.number));
        if reply.id != self.table.id(key) {
            return self.mismatch(now, attempt, router, actions);
        }
        match reply.result {
            ShardResult::Body(body) => {
                let entry = &self.plan.map.shards[shard];
                let echoed = reply.shard.as_ref() == Some(&entry.name)
                    && reply.snapshot == Some(self.plan.map.number);
                if !echoed {
                    return self.mismatch(now, attempt, router, actions);
                }
                observe(now, router, &attempt, observed);
                self.targets[shard].answered();
                self.cancel_rest(now, shard, router, actions);
                self.settle(shard, Ok(body));
            }
            ShardResult::Refused { outcome, reason, retry_after_ms } => {
                let retry_after = Duration::from_millis(retry_after_ms);
                self.retry_after = self.retry_after.max(Some(retry_after));
                let observed = AttemptObservation { end: reason.into(), retry_after, ..observed };
                observe(now, router, &attempt, observed);
                self.fail(now, Failure { attempt, outcome, reason }, router, actions);
            }
        }
        self.finish_if_done(actions);
    }

    /// Takes in an attempt that failed without a reply.
    pub fn on_failure(
        &mut self,
        now: BootTime,
        key: AttemptKey,
        outcome: RequestOutcome,
        reason: RefusalReason,
        router: &mut ServerRouter,
        actions: &mut Vec<RequestAction>,
    ) {
        self.rebase(router);
        let Some(attempt) = self.table.end(key) else { return };
        let observed = bare_observation(reason.into(), Some(self.plan.map.number));
        observe(now, router, &attempt, observed);
        self.fail(now, Failure { attempt, outcome, reason }, router, actions);
        self.finish_if_done(actions);
    }

    /// Sends due hedges; at the deadline, finishes with what there is.
    pub fn on_timer(
        &mut self,
        now: BootTime,
        router: &mut ServerRouter,
        actions: &mut Vec<RequestAction>,
    ) {
        if self.finished {
            return;
        }
        self.rebase(router);
        if now >= self.finish_at {
            self.expire(now, router, actions);
            return;
        }
        if now < self.next_hedge {
            return;
        }
        self.next_hedge = BootTime::MAX;
        for target in &mut self.targets {
            if let Some(send) = target.hedge(now, self.finish_at, router, &mut self.table) {
                self.counts.dispatches += 1;
                self.counts.hedges += 1;
                actions.push(RequestAction::CountRetry(RetryReason::Hedge));
                actions.push(RequestAction::Send(send));
            }
            self.next_hedge = self.next_hedge.min(target.hedge_due());
        }
    }

    /// When [`Self::on_timer`] must be called next.
    #[must_use]
    pub fn next_wakeup(&self) -> BootTime {
        self.next_hedge.min(self.finish_at)
    }

    /// Moves the whole query to another snapshot; all earlier results are dropped.
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
        self.rebase(router);
        self.cancel_all(now, router, actions);
        self.counts.moves += 1;
        actions.push(RequestAction::CountRetry(RetryReason::SnapshotMoved));
        let shards = map.shards.len();
        self.plan.map = map;
        self.plan.topology = topology;
        self.targets = targets_of(&self.plan.map);
        self.results.clear();
        self.results.resize(shards, None);
        self.open = shards;
        self.snapshot_lacking = 0;
        self.move_asked = false;
        self.move_pending = false;
        self.next_hedge = BootTime::MAX;
        self.start(now, router, actions);
    }

    /// Goes on with the current snapshot after [`RequestAction::Replan`].
    pub fn decline_move(&mut self, actions: &mut Vec<RequestAction>) {
        self.move_pending = false;
        self.finish_if_done(actions);
    }

    /// Ends the query before its time and cancels what runs.
    pub fn abort(
        &mut self,
        now: BootTime,
        reason: RefusalReason,
        router: &mut ServerRouter,
        actions: &mut Vec<RequestAction>,
    ) {
        self.rebase(router);
        self.cancel_all(now, router, actions);
        for shard in 0..self.results.len() {
            if self.results[shard].is_none() {
                self.settle(shard, Err(reason));
            }
        }
        self.move_pending = false;
        self.finish_if_done(actions);
    }

    /// Whether the report is complete.
    #[must_use]
    pub const fn is_finished(&self) -> bool {
        self.finished
    }

    /// The topology that the servers of the latest actions belong to.
    #[must_use]
    pub const fn topology(&self) -> &Arc<ConfigTopology> {
        &self.plan.topology
    }

    /// The snapshot of the current plan.
    #[must_use]
    pub fn snapshot(&self) -> u64 {
        self.plan.map.number
    }

    /// The report; shards without a result are lacking.
    #[must_use]
    pub fn into_report(self) -> AnswerReport {
        let unanswered = RefusalReason::DeadlinePassed;
        let results = self.results.into_iter();
        let shards = results.map(|result| result.unwrap_or(Err(unanswered))).collect();
        let retry_after = self.retry_after;
        AnswerReport { map: self.plan.map, shards, retry_after, counts: self.counts }
    }
}

impl QueryState {
    fn mismatch(
        &mut self,
        now: BootTime,
        attempt: Attempt,
        router: &mut ServerRouter,
        actions: &mut Vec<RequestAction>,
    ) {
        self.counts.mismatches += 1;
        let reason = RefusalReason::ReplyMismatch;
        let observed = bare_observation(reason.into(), Some(self.plan.map.number));
        observe(now, router, &attempt, observed);
        self.fail(
            now,
            Failure { attempt, outcome: RequestOutcome::Unknown, reason },
            router,
            actions,
        );
        self.finish_if_done(actions);
    }

    fn fail(
        &mut self,
        now: BootTime,
        failure: Failure,
        router: &mut ServerRouter,
        actions: &mut Vec<RequestAction>,
    ) {
        actions.push(RequestAction::CountRefusal(failure.reason));
        let shard = failure.attempt.shard as usize;
        let step = self.targets[shard].fail(now, self.finish_at, &failure, router, &mut self.table);
        match step {
            NextStep::Wait => {}
            NextStep::Retry(send, why) => {
                self.counts.dispatches += 1;
                self.counts.retries += 1;
                self.next_hedge = self.next_hedge.min(self.targets[shard].hedge_due());
                actions.push(RequestAction::CountRetry(why));
                actions.push(RequestAction::Send(send));
            }
            NextStep::GiveUp(reason) => {
                self.settle(shard, Err(reason));
                self.note_lacking(now, reason, actions);
            }
        }
    }

    /// Asks for another snapshot when too many shards lack this one.
    fn note_lacking(
        &mut self,
        now: BootTime,
        reason: RefusalReason,
        actions: &mut Vec<RequestAction>,
    ) {
        if ObservedEnd::from(reason) != ObservedEnd::SnapshotLacking {
            return;
        }
        self.snapshot_lacking += 1;
        let too_many = self.snapshot_lacking > self.targets.len() / LACKING_SHARE;
        let half_left = self.finish_at.since(now) * 2 >= self.finish_at.since(self.started);
        if !too_many || !half_left || self.move_asked || self.counts.moves >= MAX_MOVES {
            return;
        }
        self.move_asked = true;
        self.move_pending = true;
        actions.push(RequestAction::Replan { avoid: self.plan.map.number });
    }

    fn settle(&mut self, shard: usize, result: Result<Bytes, RefusalReason>) {
        if self.results[shard].is_none() {
            self.open -= 1;
        }
        self.results[shard] = Some(result);
    }

    fn finish_if_done(&mut self, actions: &mut Vec<RequestAction>) {
        if self.open > 0 || self.finished || self.move_pending {
            return;
        }
        self.finished = true;
        actions.push(RequestAction::Finish);
    }

    fn expire(
        &mut self,
        now: BootTime,
        router: &mut ServerRouter,
        actions: &mut Vec<RequestAction>,
    ) {
        self.cancel_all(now, router, actions);
        for shard in 0..self.results.len() {
            if self.results[shard].is_none() {
                let reason = self.targets[shard].last_reason();
                self.settle(shard, Err(reason));
            }
        }
        self.finished = true;
        actions.push(RequestAction::Finish);
    }

    /// Cancels the attempts of a shard that another attempt has answered.
    fn cancel_rest(
        &mut self,
        now: BootTime,
        shard: usize,
        router: &mut ServerRouter,
        actions: &mut Vec<RequestAction>,
    ) {
        if self.targets[shard].live() == 0 {
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
        let first = actions.len();
        for (attempt, entry) in self.table.live() {
            if shard.is_none_or(|shard| entry.shard as usize == shard) {
                actions.push(RequestAction::Cancel { attempt });
            }
        }
        for action in &actions[first..] {
            let RequestAction::Cancel { attempt } = action else { continue };
            let Some(ended) = self.table.end(*attempt) else { continue };
            self.targets[ended.shard as usize].answered();
            let observed = bare_observation(ObservedEnd::Cancelled, snapshot);
            observe(now, router, &ended, observed);
        }
    }

    /// Translates all keys after the router moved to another topology.
    fn rebase(&mut self, router: &ServerRouter) {
        let targets = &mut self.targets;
        rebase(&mut self.plan.topology, router, targets, &mut self.table);
    }
}

fn targets_of(map: &SnapshotMap) -> Vec<Target> {
    let snapshot = Some(map.number);
    let shards = map.shards.iter().enumerate();
    shards.map(|(shard, entry)| Target::new(shard, entry.service, snapshot)).collect()
}

fn finish_time(now: BootTime, deadline: BootTime) -> BootTime {
    let margin = (deadline.since(now) / FINISH_MARGIN_SHARE).min(MAX_FINISH_MARGIN);
    deadline - margin
}
