//! State machine of one service request, which one backend server answers.

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
    target::{
        AttemptFailure, NextStep, RequestTarget, observation_without_reply, observe,
        reply_observation, sync_topology,
    },
};
use crate::router::{AttemptObservation, AttemptStatus, ServerRouter};

/// Retry-after delay of a failed request when no backend server returned one.
const DEFAULT_RETRY_AFTER: Duration = Duration::from_millis(250);

/// Parameters of a service request.
#[derive(Clone, Debug)]
pub struct ServiceRequestPlan {
    /// Request id: the upper half identifies the caller, the lower half is new per run.
    pub id: RequestId,
    /// Time by which the answer must be sent to the caller.
    pub deadline: BootTime,
    /// The service, a key of `topology`.
    pub service: ServiceKey,
    /// The topology that the plan's keys belong to.
    pub topology: Arc<ConfigTopology>,
}

/// Outcome, reply body and attempt counts of a finished service request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServiceRequestReport {
    /// Whether the request was executed.
    pub outcome: RequestOutcome,
    /// Why the request failed, if it did.
    pub reason: Option<RefusalReason>,
    /// Delay after which a retry of a refused caller finds capacity.
    pub retry_after: Duration,
    /// The body of the reply, if there is one.
    pub body: Option<Bytes>,
    /// Attempt counts of the request.
    pub counts: RequestCounts,
}

/// State of one service request.
///
/// A request of an at-most-once service is never hedged, and it is retried
/// only after an attempt that is known not to have run.
#[derive(Clone, Debug)]
pub struct ServiceRequestState {
    plan: ServiceRequestPlan,
    target: RequestTarget,
    table: AttemptTable,
    counts: RequestCounts,
    may_have_run: bool,
    retry_after: Option<Duration>,
    report: Option<ServiceRequestReport>,
}

impl ServiceRequestState {
    /// Creates the state of a request without attempts.
    #[must_use]
    pub fn new(plan: ServiceRequestPlan) -> Self {
        Self {
            target: RequestTarget::new(0, plan.service, None),
            table: AttemptTable::new(plan.id, plan.deadline, 1),
            plan,
            counts: RequestCounts::default(),
            may_have_run: false,
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
        self.sync_topology(router);
        match self.target.send_first(now, router, &mut self.table) {
            Ok(send) => {
                self.counts.dispatches += 1;
                actions.push(RequestAction::Send(send));
            }
            Err(reason) => self.finish_failed(reason, actions),
        }
    }

    /// Handles the reply to an attempt; see [`super::SearchState::on_reply`].
    pub fn on_reply(
        &mut self,
        now: BootTime,
        key: AttemptKey,
        reply: ShardReply,
        router: &mut ServerRouter,
        actions: &mut Vec<RequestAction>,
    ) {
        self.sync_topology(router);
        if reply.id != self.table.attempt_id(key) {
            self.counts.mismatches += 1;
            let reason = RefusalReason::ReplyMismatch;
            return self.on_failure(now, key, RequestOutcome::Unknown, reason, router, actions);
        }
        let Some(attempt) = self.table.end(key) else { return };
        let observed = reply_observation(&reply, None);
        match reply.result {
            ShardResult::Body(body) => {
                observe(now, router, &attempt, observed);
                self.target.on_answered_or_cancelled();
                self.cancel_all(now, router, actions);
                self.finish(RequestOutcome::Ran, None, Some(body), actions);
            }
            ShardResult::Refused { outcome, reason, retry_after_ms } => {
                let retry_after = Duration::from_millis(retry_after_ms);
                self.retry_after =
                    Some(self.retry_after.map_or(retry_after, |known| known.max(retry_after)));
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
        observe(now, router, &attempt, observation_without_reply(reason.into(), None));
        self.retry_or_fail(now, AttemptFailure { attempt, outcome, reason }, router, actions);
    }

    /// Sends a hedge if one is due; at the deadline, finishes without an answer.
    pub fn on_timer(
        &mut self,
        now: BootTime,
        router: &mut ServerRouter,
        actions: &mut Vec<RequestAction>,
    ) {
        if self.report.is_some() {
            return;
        }
        self.sync_topology(router);
        if now >= self.plan.deadline {
            // An attempt in flight may have reached the backend server.
            self.may_have_run |= self.target.in_flight() > 0;
            self.cancel_all(now, router, actions);
            return self.finish_failed(RefusalReason::DeadlinePassed, actions);
        }
        let deadline = self.plan.deadline;
        if let Some(send) = self.target.try_hedge(now, deadline, router, &mut self.table) {
            self.counts.dispatches += 1;
            self.counts.hedges += 1;
            actions.push(RequestAction::CountRetry(RetryReason::Hedge));
            actions.push(RequestAction::Send(send));
        }
    }

    /// Returns the time at which [`Self::on_timer`] must be called next.
    #[must_use]
    pub fn next_wakeup(&self) -> BootTime {
        self.target.hedge_due().min(self.plan.deadline)
    }

    /// Returns the topology that the server keys of the latest actions belong to.
    #[must_use]
    pub const fn topology(&self) -> &Arc<ConfigTopology> {
        &self.plan.topology
    }

    /// Returns whether the report is complete.
    #[must_use]
    pub const fn is_finished(&self) -> bool {
        self.report.is_some()
    }

    /// Returns the report; an unfinished request has an unknown outcome.
    #[must_use]
    pub fn into_report(self) -> ServiceRequestReport {
        let counts = self.counts;
        self.report.unwrap_or(ServiceRequestReport {
            outcome: RequestOutcome::Unknown,
            reason: Some(RefusalReason::DeadlinePassed),
            retry_after: DEFAULT_RETRY_AFTER,
            body: None,
            counts,
        })
    }
}

impl ServiceRequestState {
    fn retry_or_fail(
        &mut self,
        now: BootTime,
        failure: AttemptFailure,
        router: &mut ServerRouter,
        actions: &mut Vec<RequestAction>,
    ) {
        self.may_have_run |= failure.outcome != RequestOutcome::NotRun;
        actions.push(RequestAction::CountRefusal(failure.reason));
        let deadline = self.plan.deadline;
        match self.target.on_failure(now, deadline, &failure, router, &mut self.table) {
            NextStep::Wait => {}
            NextStep::Retry(send, retry_reason) => {
                self.counts.dispatches += 1;
                self.counts.retries += 1;
                actions.push(RequestAction::CountRetry(retry_reason));
                actions.push(RequestAction::Send(send));
            }
            NextStep::Fail(reason) => self.finish_failed(reason, actions),
        }
    }

    fn finish_failed(&mut self, reason: RefusalReason, actions: &mut Vec<RequestAction>) {
        let outcome =
            if self.may_have_run { RequestOutcome::Unknown } else { RequestOutcome::NotRun };
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
        self.report = Some(ServiceRequestReport { outcome, reason, retry_after, body, counts });
        actions.push(RequestAction::Finish);
    }

    fn cancel_all(
        &mut self,
        now: BootTime,
        router: &mut ServerRouter,
        actions: &mut Vec<RequestAction>,
    ) {
        let first = actions.len();
        for (attempt, _) in self.table.in_flight() {
            actions.push(RequestAction::Cancel { attempt });
        }
        for action in &actions[first..] {
            let RequestAction::Cancel { attempt } = action else { continue };
            let Some(ended) = self.table.end(*attempt) else { continue };
            observe(now, router, &ended, observation_without_reply(AttemptStatus::Cancelled, None));
        }
    }

    fn sync_topology(&mut self, router: &ServerRouter) {
        let targets = std::slice::from_mut(&mut self.target);
        sync_topology(&mut self.plan.topology, router, targets, &mut self.table);
    }
}
