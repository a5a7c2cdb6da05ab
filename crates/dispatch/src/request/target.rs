//! Attempts, hedges and retries for one shard of a search or one service request.

use std::{sync::Arc, time::Duration};

use carobstep_clock::BootTime;
use carobstep_config::{ConfigTopology, RepeatPolicy, ServerKey, ServiceKey};
use carobstep_wire::{RefusalReason, RequestOutcome, RetryReason, ShardReply};

use super::attempt::{Attempt, AttemptSend, AttemptTable};
use crate::router::{AttemptKind, AttemptObservation, AttemptStatus, PickRequest, ServerRouter};

/// Maximum number of attempts for one target, including hedges.
const MAX_ATTEMPTS: u8 = 4;

/// Maximum number of hedges for one target.
const MAX_HEDGES: u8 = 2;

/// Divisor of the hedge delay that gives the delay until a hedge that could not be sent,
/// or was refused, is considered again.
const HEDGE_RECHECK_DIVISOR: u32 = 8;

/// Minimum time that must be left before the deadline to send another attempt.
const MIN_ATTEMPT_TIME: Duration = Duration::from_millis(1);

/// Number of tried servers that a target remembers.
const TRIED_SERVERS: usize = MAX_ATTEMPTS as usize;

/// State of one shard of a search, or of one service request.
#[derive(Clone, Copy, Debug)]
pub(super) struct RequestTarget {
    shard: usize,
    service: Option<ServiceKey>,
    snapshot: Option<u64>,
    tried: [Option<ServerKey>; TRIED_SERVERS],
    attempts: u8,
    hedges: u8,
    in_flight: u8,
    last_reason: RefusalReason,
    hedge_due: BootTime,
}

/// Next step after a failed attempt.
#[derive(Clone, Copy, Debug)]
pub(super) enum NextStep {
    /// Another attempt is still in flight.
    Wait,
    /// Send a retry.
    Retry(AttemptSend, RetryReason),
    /// No retry is possible; the target fails.
    Fail(RefusalReason),
}

#[derive(Clone, Copy, Debug)]
pub(super) struct AttemptFailure {
    pub(super) attempt: Attempt,
    pub(super) outcome: RequestOutcome,
    pub(super) reason: RefusalReason,
}

impl RequestTarget {
    pub(super) const fn new(shard: usize, service: ServiceKey, snapshot: Option<u64>) -> Self {
        Self {
            shard,
            service: Some(service),
            snapshot,
            tried: [None; TRIED_SERVERS],
            attempts: 0,
            hedges: 0,
            in_flight: 0,
            last_reason: RefusalReason::DeadlinePassed,
            hedge_due: BootTime::MAX,
        }
    }

    /// Returns the time at which the next hedge is due.
    pub(super) const fn hedge_due(&self) -> BootTime {
        self.hedge_due
    }

    /// Returns the reason to report if the target has no answer at the deadline.
    pub(super) const fn last_reason(&self) -> RefusalReason {
        self.last_reason
    }

    /// Sends the first attempt, or returns why no server can take it.
    pub(super) fn send_first(
        &mut self,
        now: BootTime,
        router: &mut ServerRouter,
        table: &mut AttemptTable,
    ) -> Result<AttemptSend, RefusalReason> {
        let service = self.service.ok_or(RefusalReason::UnknownTarget)?;
        router.earn_budget(service);
        self.send_attempt(now, AttemptKind::First, router, table)
            .ok_or_else(|| no_server_reason(router, service))
    }

    /// Sends a hedge if one is due and the limits, the budget and the servers allow it.
    pub(super) fn try_hedge(
        &mut self,
        now: BootTime,
        deadline: BootTime,
        router: &mut ServerRouter,
        table: &mut AttemptTable,
    ) -> Option<AttemptSend> {
        if now < self.hedge_due || self.in_flight == 0 {
            return None;
        }
        self.hedge_due = BootTime::MAX;
        let service = self.service?;
        if self.hedges >= MAX_HEDGES || self.attempts >= MAX_ATTEMPTS {
            return None;
        }
        // If no hedge is possible now, one may be possible later.
        self.schedule_hedge_recheck(now, router.hedge_delay(service));
        if deadline.since(now) < MIN_ATTEMPT_TIME || !router.try_take_hedge(now, service) {
            return None;
        }
        let send = self.send_attempt(now, AttemptKind::Hedge, router, table);
        if send.is_none() {
            router.refund_hedge(service);
        }
        self.hedges += u8::from(send.is_some());
        send
    }

    /// Handles a failed attempt and returns the next step.
    pub(super) fn on_failure(
        &mut self,
        now: BootTime,
        deadline: BootTime,
        failure: &AttemptFailure,
        router: &mut ServerRouter,
        table: &mut AttemptTable,
    ) -> NextStep {
        self.in_flight = self.in_flight.saturating_sub(1);
        let Some(service) = self.service else { return NextStep::Fail(failure.reason) };
        if failure.attempt.hedge && caused_no_work(failure) {
            router.refund_hedge(service);
            self.undo_hedge(now, failure.attempt.server, router.hedge_delay(service));
        } else {
            self.last_reason = failure.reason;
        }
        if self.in_flight > 0 {
            return NextStep::Wait;
        }
        let Some(retry_reason) = self.retry_reason(failure, router, service) else {
            return NextStep::Fail(self.last_reason);
        };
        if self.attempts >= MAX_ATTEMPTS || deadline.since(now) < MIN_ATTEMPT_TIME {
            return NextStep::Fail(self.last_reason);
        }
        if retry_reason == RetryReason::HolderMoved {
            self.unmark_tried(failure.attempt.server);
        }
        if !is_budget_exempt(failure.reason) && !router.try_take_retry(now, service) {
            return NextStep::Fail(self.last_reason);
        }
        match self.send_attempt(now, AttemptKind::Retry, router, table) {
            Some(send) => NextStep::Retry(send, retry_reason),
            None => NextStep::Fail(self.last_reason),
        }
    }

    /// Handles the end of an attempt that was answered or cancelled, and stops hedging.
    pub(super) const fn on_answered_or_cancelled(&mut self) {
        self.in_flight = self.in_flight.saturating_sub(1);
        self.hedge_due = BootTime::MAX;
    }

    pub(super) const fn in_flight(&self) -> u8 {
        self.in_flight
    }

    fn send_attempt(
        &mut self,
        now: BootTime,
        kind: AttemptKind,
        router: &mut ServerRouter,
        table: &mut AttemptTable,
    ) -> Option<AttemptSend> {
        let service = self.service?;
        // A second hedge may go to a server that an earlier attempt still waits
        // for: unless that server is warm and has a free slot, it refuses the hedge.
        let any_server = kind == AttemptKind::Hedge && self.hedges > 0;
        let exclude: &[_] = if any_server { &[] } else { &self.tried };
        let (snapshot, caller_id) = (self.snapshot, table.caller_id());
        let request = PickRequest { service, exclude, kind, snapshot, caller_id };
        let server = router.pick(now, &request)?;
        self.mark_tried(server);
        self.attempts += 1;
        self.in_flight += 1;
        self.hedge_due = now + router.hedge_delay(service);
        Some(table.add(now, self.shard, server, kind == AttemptKind::Hedge))
    }

    fn mark_tried(&mut self, server: ServerKey) {
        let free_entry = self.tried.iter().position(Option::is_none);
        self.tried[free_entry.unwrap_or(TRIED_SERVERS - 1)] = Some(server);
    }

    /// Removes a refused hedge from the counts, so that the same server can be hedged again.
    fn undo_hedge(&mut self, now: BootTime, server: Option<ServerKey>, delay: Duration) {
        self.hedges = self.hedges.saturating_sub(1);
        self.attempts = self.attempts.saturating_sub(1);
        self.schedule_hedge_recheck(now, delay);
        self.unmark_tried(server);
    }

    /// Schedules the next check for a hedge, after a fraction of the hedge delay.
    fn schedule_hedge_recheck(&mut self, now: BootTime, delay: Duration) {
        self.hedge_due = now + delay / HEDGE_RECHECK_DIVISOR;
    }

    fn unmark_tried(&mut self, server: Option<ServerKey>) {
        for tried in &mut self.tried {
            if *tried == server {
                *tried = None;
            }
        }
    }

    /// Returns why a retry is allowed, or `None` if it is not.
    fn retry_reason(
        &self,
        failure: &AttemptFailure,
        router: &ServerRouter,
        service: ServiceKey,
    ) -> Option<RetryReason> {
        let at_most_once = router.topology().service(service).repeat == RepeatPolicy::AtMostOnce;
        match (failure.outcome, failure.reason) {
            (RequestOutcome::NotRun, RefusalReason::NotHolder) => Some(RetryReason::HolderMoved),
            (RequestOutcome::NotRun, _) => Some(RetryReason::NotRun),
            (RequestOutcome::Unknown, _) if !at_most_once => Some(RetryReason::UnknownRead),
            (RequestOutcome::Unknown | RequestOutcome::Ran, _) => None,
        }
    }
}

/// Reports a finished attempt to the router.
pub(super) fn observe(
    now: BootTime,
    router: &mut ServerRouter,
    attempt: &Attempt,
    observation: AttemptObservation,
) {
    let Some(server) = attempt.server else { return };
    let latency = now.since(attempt.sent);
    // A hedge is refused whenever no slot is free, so its refusal does not indicate overload.
    let hedge_refused = attempt.hedge && observation.status == AttemptStatus::Overloaded;
    let status = if hedge_refused { AttemptStatus::Refused } else { observation.status };
    router.observe(now, server, &AttemptObservation { status, latency, ..observation });
}

/// Translates all keys to the router's topology if it has changed.
pub(super) fn sync_topology(
    topology: &mut Arc<ConfigTopology>,
    router: &ServerRouter,
    targets: &mut [RequestTarget],
    table: &mut AttemptTable,
) {
    let new = router.topology();
    if Arc::ptr_eq(new, topology) {
        return;
    }
    let old = std::mem::replace(topology, Arc::clone(new));
    let translate = |key| new.find_server(old.server(key).name.as_str());
    for target in targets {
        let service = target.service;
        target.service = service.and_then(|key| new.find_service(old.service(key).name.as_str()));
        for tried in &mut target.tried {
            *tried = tried.and_then(translate);
        }
    }
    table.map_servers(translate);
}

/// Returns the observation of an answered attempt; `latency` is filled in by [`observe`].
pub(super) const fn reply_observation(
    reply: &ShardReply,
    snapshot: Option<u64>,
) -> AttemptObservation {
    AttemptObservation {
        status: AttemptStatus::Answered,
        latency: Duration::ZERO,
        queue_length: reply.queue_length,
        service_time: Duration::from_micros(reply.service_us),
        retry_after: Duration::ZERO,
        snapshot,
    }
}

/// Returns the observation of an attempt without a reply; `latency` is filled in by [`observe`].
pub(super) const fn observation_without_reply(
    status: AttemptStatus,
    snapshot: Option<u64>,
) -> AttemptObservation {
    AttemptObservation {
        status,
        latency: Duration::ZERO,
        queue_length: 0,
        service_time: Duration::ZERO,
        retry_after: Duration::from_millis(50),
        snapshot,
    }
}

/// Returns whether the attempt caused no work on a backend server.
fn caused_no_work(failure: &AttemptFailure) -> bool {
    let status = AttemptStatus::from(failure.reason);
    let refused = matches!(status, AttemptStatus::Refused | AttemptStatus::Overloaded);
    failure.outcome == RequestOutcome::NotRun && refused
}

/// Returns whether a retry is free of the retry budget, since the backend server did no work.
const fn is_budget_exempt(reason: RefusalReason) -> bool {
    matches!(
        reason,
        RefusalReason::NotHolder
            | RefusalReason::LeaseLapsed
            | RefusalReason::GrantFenced
            | RefusalReason::SnapshotGone
            | RefusalReason::SnapshotAhead
    )
}

fn no_server_reason(router: &ServerRouter, service: ServiceKey) -> RefusalReason {
    if router.all_leaving(service) { RefusalReason::ServerLeaving } else { RefusalReason::NoHolder }
}
