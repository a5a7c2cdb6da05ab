//! One request to one backend server of a service.

use std::{sync::Arc, time::Duration};

use bytes::Bytes;
use carobstep_clock::BootTime;
use carobstep_config::{ConfigTopology, ServiceKey};
use carobstep_wire::{
    RefusalReason, RequestId, RequestOutcome, RetryReason, ShardReply, ShardResult,
};

use super::{
    attempt::{AttemptKey, AttemptTable, RequestAction},
    report::RequestCounts,
    target::{Failure, NextStep, Target, bare_observation, observe, rebase, reply_observation},
};
use crate::router::{AttemptObservation, ObservedEnd, ServerRouter};

/// Time to come back when nothing better is known.
const DEFAULT_RETRY_AFTER: Duration = Duration::from_millis(250);

/// What a service request asks for.
#[derive(Clone, Debug)]
pub struct SinglePlan {
    /// Id of the request: the upper half is the caller's, the lower half is new per run.
    pub id: RequestId,
    /// When the answer must be out.
    pub deadline: BootTime,
    /// The service, a key of `topology`.
    pub service: ServiceKey,
    /// The topology that the plan was made with.
    pub topology: Arc<ConfigTopology>,
}

/// How a service request ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SingleReport {
    /// Whether it was executed.
    pub outcome: RequestOutcome,
    /// Why it has no body.
    pub reason: Option<RefusalReason>,
    /// When a caller that was refused finds capacity.
    pub retry_after: Duration,
    /// The body of the reply.
    pub body: Option<Bytes>,
    /// Attempts by what they were for.
    pub counts: RequestCounts,
}

/// Progress of one service request.
///
/// A request of a service that runs requests at most once is never hedged,
/// and it is sent again only after an attempt that certainly did not run.
#[derive(Clone, Debug)]
pub struct SingleState {
    plan: SinglePlan,
    target: Target,
    table: AttemptTable,
    counts: RequestCounts,
    any_unknown: bool,
    retry_after: Option<Duration>,
    report: Option<SingleReport>,
}

impl SingleState {
    /// Builds the state of a request that has sent nothing.
    #[must_use]
    pub fn new(plan: SinglePlan) -> Self {
        Self {
            target: Target::new(0, plan.service, None),
            table: AttemptTable::new(plan.id, plan.deadline, 1),
            plan,
            counts: RequestCounts::default(),
            any_unknown: false,
            retry_after: None,
            report: None,
        }
    }

    /// Sends the first attempt.
    pub fn start(
        &mut self,
        now: BootTime,
        router: &mut ServerRouter,
        actions: &mut Vec<RequestAction>,
    ) {
        self.rebase(router);
        match self.target.first(now, router, &mut self.table) {
            Ok(send) => {
                self.counts.dispatches += 1;
                actions.push(RequestAction::Send(send));
            }
            Err(reason) => self.give_up(reason, actions),
        }
    }

    /// Takes in the reply to an attempt; see [`super::QueryState::on_reply`].
    pub fn on_reply(
        &mut self,
        now: BootTime,
        key: AttemptKey,
        reply: ShardReply,
        router: &mut ServerRouter,
        actions: &mut Vec<RequestAction>,
    ) {
        self.rebase(router);
        if reply.id != self.table.id(key) {
            self.counts.mismatches += 1;
            let reason = RefusalReason::ReplyMismatch;
            return self.on_failure(now, key, RequestOutcome::Unknown, reason, router, actions);
        }
        let Some(attempt) = self.table.end(key) else { return };
        let observed = reply_observation(&reply, None);
        match reply.result {
            ShardResult::Body(body) => {
                observe(now, router, &attempt, observed);
                self.target.answered();
                self.cancel_rest(now, router, actions);
                self.finish(RequestOutcome::Ran, None, Some(body), actions);
            }
            ShardResult::Refused { outcome, reason, retry_after_ms } => {
                let retry_after = Duration::from_millis(retry_after_ms);
                self.retry_after =
                    Some(self.retry_after.map_or(retry_after, |known| known.max(retry_after)));
                let observed = AttemptObservation { end: reason.into(), retry_after, ..observed };
                observe(now, router, &attempt, observed);
                self.fail(now, Failure { attempt, outcome, reason }, router, actions);
            }
        }
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
        observe(now, router, &attempt, bare_observation(reason.into(), None));
        self.fail(now, Failure { attempt, outcome, reason }, router, actions);
    }

    /// Sends a due hedge; at the deadline, finishes with what is known.
    pub fn on_timer(
        &mut self,
        now: BootTime,
        router: &mut ServerRouter,
        actions: &mut Vec<RequestAction>,
    ) {
        if self.report.is_some() {
            return;
        }
        self.rebase(router);
        if now >= self.plan.deadline {
            // An attempt that is still under way may have reached the server.
            self.any_unknown |= self.target.live() > 0;
            self.cancel_rest(now, router, actions);
            return self.give_up(RefusalReason::DeadlinePassed, actions);
        }
        let deadline = self.plan.deadline;
        if let Some(send) = self.target.hedge(now, deadline, router, &mut self.table) {
            self.counts.dispatches += 1;
            self.counts.hedges += 1;
            actions.push(RequestAction::CountRetry(RetryReason::Hedge));
            actions.push(RequestAction::Send(send));
        }
    }

    /// When [`Self::on_timer`] must be called next.
    #[must_use]
    pub fn next_wakeup(&self) -> BootTime {
        self.target.hedge_due().min(self.plan.deadline)
    }

    /// The topology that the servers of the latest actions belong to.
    #[must_use]
    pub const fn topology(&self) -> &Arc<ConfigTopology> {
        &self.plan.topology
    }

    /// Whether the report is complete.
    #[must_use]
    pub const fn is_finished(&self) -> bool {
        self.report.is_some()
    }

    /// The report; an unfinished request is reported as unknown.
    #[must_use]
    pub fn into_report(self) -> SingleReport {
        let counts = self.counts;
        self.report.unwrap_or(SingleReport {
            outcome: RequestOutcome::Unknown,
            reason: Some(RefusalReason::DeadlinePassed),
            retry_after: DEFAULT_RETRY_AFTER,
            body: None,
            counts,
        })
    }
}

impl SingleState {
    fn fail(
        &mut self,
        now: BootTime,
        failure: Failure,
        router: &mut ServerRouter,
        actions: &mut Vec<RequestAction>,
    ) {
        self.any_unknown |= failure.outcome != RequestOutcome::NotRun;
        actions.push(RequestAction::CountRefusal(failure.reason));
        let deadline = self.plan.deadline;
        match self.target.fail(now, deadline, &failure, router, &mut self.table) {
            NextStep::Wait => {}
            NextStep::Retry(send, why) => {
                self.counts.dispatches += 1;
                self.counts.retries += 1;
                actions.push(RequestAction::CountRetry(why));
                actions.push(RequestAction::Send(send));
            }
            NextStep::GiveUp(reason) => self.give_up(reason, actions),
        }
    }

    fn give_up(&mut self, reason: RefusalReason, actions: &mut Vec<RequestAction>) {
        let outcome =
            if self.any_unknown { RequestOutcome::Unknown } else { RequestOutcome::NotRun };
        self.finish(outcome, Some(reason), None, actions);
    }

    fn finish(
        &mut self,
        outcome: RequestOutcome,
        reason: Option<RefusalReason>,
        body: Option<Bytes>,
        actions: &mut Vec<RequestAction>,
    ) {
        let retry_after = self.retry_after.unwrap_or(DEFAULT_RETRY_AFTER);
        let counts = self.counts;
        self.report = Some(SingleReport { outcome, reason, retry_after, body, counts });
        actions.push(RequestAction::Finish);
    }

    fn cancel_rest(
        &mut self,
        now: BootTime,
        router: &mut ServerRouter,
        actions: &mut Vec<RequestAction>,
    ) {
        let first = actions.len();
        for (attempt, _) in self.table.live() {
            actions.push(RequestAction::Cancel { attempt });
        }
        for action in &actions[first..] {
            let RequestAction::Cancel { attempt } = action else { continue };
            let Some(ended) = self.table.end(*attempt) else { continue };
            observe(now, router, &ended, bare_observation(ObservedEnd::Cancelled, None));
        }
    }

    fn rebase(&mut self, router: &ServerRouter) {
        let targets = std::slice::from_mut(&mut self.target);
        rebase(&mut self.plan.topology, router, targets, &mut self.table);
    }
}
