//! One thing that must be answered: a shard of a search or a service request.

use std::{sync::Arc, time::Duration};

use carobstep_clock::BootTime;
use carobstep_config::{ConfigTopology, RepeatPolicy, ServerKey, ServiceKey};
use carobstep_wire::{RefusalReason, RequestOutcome, RetryReason, ShardReply};

use super::attempt::{Attempt, AttemptSend, AttemptTable};
use crate::router::{AttemptKind, AttemptObservation, ObservedEnd, PickRequest, ServerRouter};

/// Most attempts for one target, hedges included.
const MAX_ATTEMPTS: u8 = 4;

/// Most hedges for one target.
const MAX_HEDGES: u8 = 2;

/// Part of the hedge delay after which a hedge that was not possible is tried again.
const HEDGE_RETRY_PART: u32 = 8;

/// Time that must be left for another attempt.
const MIN_ATTEMPT_TIME: Duration = Duration::from_millis(1);

/// Servers remembered as tried.
const TRIED_SERVERS: usize = MAX_ATTEMPTS as usize;

/// State of one target.
#[derive(Clone, Copy, Debug)]
pub(super) struct Target {
    shard: usize,
    service: Option<ServiceKey>,
    snapshot: Option<u64>,
    tried: [Option<ServerKey>; TRIED_SERVERS],
    attempts: u8,
    hedges: u8,
    live: u8,
    last_reason: RefusalReason,
    hedge_due: BootTime,
}

/// What follows a failed attempt.
#[derive(Clone, Copy, Debug)]
pub(super) enum NextStep {
    /// Another attempt is under way.
    Wait,
    /// Send another attempt.
    Retry(AttemptSend, RetryReason),
    /// Nothing more can be tried.
    GiveUp(RefusalReason),
}

/// A failed attempt.
#[derive(Clone, Copy, Debug)]
pub(super) struct Failure {
    pub(super) attempt: Attempt,
    pub(super) outcome: RequestOutcome,
    pub(super) reason: RefusalReason,
}

impl Target {
    pub(super) const fn new(shard: usize, service: ServiceKey, snapshot: Option<u64>) -> Self {
        Self {
            shard,
            service: Some(service),
            snapshot,
            tried: [None; TRIED_SERVERS],
            attempts: 0,
            hedges: 0,
            live: 0,
            last_reason: RefusalReason::DeadlinePassed,
            hedge_due: BootTime::MAX,
        }
    }

    /// When the next hedge is due.
    pub(super) const fn hedge_due(&self) -> BootTime {
        self.hedge_due
    }

    /// Why the target has no answer at the deadline.
    pub(super) const fn last_reason(&self) -> RefusalReason {
        self.last_reason
    }

    /// Sends the first attempt.
    pub(super) fn first(
        &mut self,
        now: BootTime,
        router: &mut ServerRouter,
        table: &mut AttemptTable,
    ) -> Result<AttemptSend, RefusalReason> {
        let service = self.service.ok_or(RefusalReason::UnknownTarget)?;
        router.earn(service);
        self.attempt(now, AttemptKind::First, router, table)
            .ok_or_else(|| no_server_reason(router, service))
    }

    /// Sends a hedge if one is due, allowed and of use.
    pub(super) fn hedge(
        &mut self,
        now: BootTime,
        deadline: BootTime,
        router: &mut ServerRouter,
        table: &mut AttemptTable,
    ) -> Option<AttemptSend> {
        if now < self.hedge_due || self.live == 0 {
            return None;
        }
        self.hedge_due = BootTime::MAX;
        let service = self.service?;
        if self.hedges >= MAX_HEDGES || self.attempts >= MAX_ATTEMPTS {
            return None;
        }
        // A hedge that is not possible now may be later.
        self.retry_hedge(now, router.hedge_delay(service));
        if deadline.since(now) < MIN_ATTEMPT_TIME || !router.take_hedge(now, service) {
            return None;
        }
        let send = self.attempt(now, AttemptKind::Hedge, router, table);
        if send.is_none() {
            router.give_back_hedge(service);
        }
        self.hedges += u8::from(send.is_some());
        send
    }

    /// Decides what follows a failed attempt.
    pub(super) fn fail(
        &mut self,
        now: BootTime,
        deadline: BootTime,
        failure: &Failure,
        router: &mut ServerRouter,
        table: &mut AttemptTable,
    ) -> NextStep {
        self.live = self.live.saturating_sub(1);
        let Some(service) = self.service else { return NextStep::GiveUp(failure.reason) };
        if failure.attempt.hedge && is_untouched(failure) {
            router.give_back_hedge(service);
            self.take_back_hedge(now, failure.attempt.server, router.hedge_delay(service));
        } else {
            self.last_reason = failure.reason;
        }
        if self.live > 0 {
            return NextStep::Wait;
        }
        let Some(why) = self.retry_reason(failure, router, service) else {
            return NextStep::GiveUp(self.last_reason);
        };
        if self.attempts >= MAX_ATTEMPTS || deadline.since(now) < MIN_ATTEMPT_TIME {
            return NextStep::GiveUp(self.last_reason);
        }
        if why == RetryReason::HolderMoved {
            self.forget(failure.attempt.server);
        }
        if !is_free(failure.reason) && !router.take_retry(now, service) {
            return NextStep::GiveUp(self.last_reason);
        }
        match self.attempt(now, AttemptKind::Retry, router, table) {
            Some(send) => NextStep::Retry(send, why),
            None => NextStep::GiveUp(self.last_reason),
        }
    }

    /// Notes that one attempt was answered.
    pub(super) const fn answered(&mut self) {
        self.live = self.live.saturating_sub(1);
        self.hedge_due = BootTime::MAX;
    }

    /// Number of attempts under way.
    pub(super) const fn live(&self) -> u8 {
        self.live
    }

    fn attempt(
        &mut self,
        now: BootTime,
        kind: AttemptKind,
        router: &mut ServerRouter,
        table: &mut AttemptTable,
    ) -> Option<AttemptSend> {
        let service = self.service?;
        // A second hedge may go where an earlier attempt straggles: unless that
        // server is warm and has a free slot, the hedge is refused.
        let anywhere = kind == AttemptKind::Hedge && self.hedges > 0;
        let exclude: &[_] = if anywhere { &[] } else { &self.tried };
        let (snapshot, caller) = (self.snapshot, table.caller());
        let request = PickRequest { service, exclude, kind, snapshot, caller };
        let server = router.pick(now, &request)?;
        self.note_tried(server);
        self.attempts += 1;
        self.live += 1;
        self.hedge_due = now + router.hedge_delay(service);
        Some(table.send(now, self.shard, server, kind == AttemptKind::Hedge))
    }

    fn note_tried(&mut self, server: ServerKey) {
        let free = self.tried.iter().position(Option::is_none);
        self.tried[free.unwrap_or(TRIED_SERVERS - 1)] = Some(server);
    }

    /// Lets the same server be hedged again after its holder refused a hedge.
    fn take_back_hedge(&mut self, now: BootTime, server: Option<ServerKey>, delay: Duration) {
        self.hedges = self.hedges.saturating_sub(1);
        self.attempts = self.attempts.saturating_sub(1);
        self.retry_hedge(now, delay);
        self.forget(server);
    }

    /// Waits a part of the hedge delay.
    fn retry_hedge(&mut self, now: BootTime, delay: Duration) {
        self.hedge_due = now + delay / HEDGE_RETRY_PART;
    }

    fn forget(&mut self, server: Option<ServerKey>) {
        for tried in &mut self.tried {
            if *tried == server {
                *tried = None;
            }
        }
    }

    /// Why another attempt is allowed, `None` if it isn't.
    fn retry_reason(
        &self,
        failure: &Failure,
        router: &ServerRouter,
        service: ServiceKey,
    ) -> Option<RetryReason> {
        let once = router.topology().service(service).repeat == RepeatPolicy::AtMostOnce;
        match (failure.outcome, failure.reason) {
            (RequestOutcome::NotRun, RefusalReason::NotHolder) => Some(RetryReason::HolderMoved),
            (RequestOutcome::NotRun, _) => Some(RetryReason::NotRun),
            (RequestOutcome::Unknown, _) if !once => Some(RetryReason::UnknownRead),
            (RequestOutcome::Unknown | RequestOutcome::Ran, _) => None,
        }
    }
}

/// Reports the end of an attempt to the router.
pub(super) fn observe(
    now: BootTime,
    router: &mut ServerRouter,
    attempt: &Attempt,
    observation: AttemptObservation,
) {
    let Some(server) = attempt.server else { return };
    let latency = now.since(attempt.sent);
    // A hedge is refused by any queue, so its refusal is no sign of overload.
    let hedge_refused = attempt.hedge && observation.end == ObservedEnd::Overloaded;
    let end = if hedge_refused { ObservedEnd::Refused } else { observation.end };
    router.observe(now, server, &AttemptObservation { end, latency, ..observation });
}

/// Translates all keys after the router moved to another topology.
pub(super) fn rebase(
    topology: &mut Arc<ConfigTopology>,
    router: &ServerRouter,
    targets: &mut [Target],
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

/// An observation of an answered attempt.
pub(super) const fn reply_observation(
    reply: &ShardReply,
    snapshot: Option<u64>,
) -> AttemptObservation {
    AttemptObservation {
        end: ObservedEnd::Answered,
        latency: Duration::ZERO,
        queue_length: reply.queue_length,
        service: Duration::from_micros(reply.service_us),
        retry_after: Duration::ZERO,
        snapshot,
    }
}

/// An observation without a reply.
pub(super) const fn bare_observation(
    end: ObservedEnd,
    snapshot: Option<u64>,
) -> AttemptObservation {
    AttemptObservation {
        end,
        latency: Duration::ZERO,
        queue_length: 0,
        service: Duration::ZERO,
        retry_after: Duration::from_millis(50),
        snapshot,
    }
}

/// Whether the attempt put no work on a backend server.
fn is_untouched(failure: &Failure) -> bool {
    let end = ObservedEnd::from(failure.reason);
    let untouched = matches!(end, ObservedEnd::Refused | ObservedEnd::Overloaded);
    failure.outcome == RequestOutcome::NotRun && untouched
}

/// Whether a retry needs no budget, since the backend server did no work.
const fn is_free(reason: RefusalReason) -> bool {
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
