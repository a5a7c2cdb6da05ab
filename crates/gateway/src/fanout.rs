//! Executes the actions of a fan-out: exchanges with servers, calls to peers, timers.

mod peer_calls;

use std::{
    ops::{Deref, DerefMut},
    rc::Rc,
    time::Duration,
};

use carobstep_clock::BootTime;
use carobstep_tier::{
    AttemptOutcome, AttemptTicket, DelegationIndex, DelegationUpdate, FanoutAction, FanoutOutcome,
    FanoutPlan, FanoutState, MissingShards, PlacementRequest, RequestFingerprint, ServerKey,
    ShardIndex, place_with_peers, return_delay,
};
use tokio::{
    sync::mpsc::{UnboundedReceiver, UnboundedSender, unbounded_channel},
    task::{AbortHandle, spawn_local},
    time::{Instant, sleep, sleep_until},
};

use self::peer_calls::{PeerResult, call_peer};
use crate::{
    backend::{BackendRequest, BackendResponse, ExchangeLimits, ExchangeOutcome},
    gateway::{Gateway, GatewayState},
    peer_messages::DelegatedParts,
    peers::{DelegatedScope, build_delegated_request},
    report::{DelegationOutcome, FailedAttempt, FailedAttempts},
};

/// Time for which an exchange that is no longer needed may continue, so that its
/// connection can be reused. Work for a caller that disconnected must end within
/// 500 ms.
const CANCEL_DELAY: Duration = Duration::from_millis(250);

/// Interval at which a request in flight checks whether the node is stopping.
const HORIZON_CHECK_INTERVAL: Duration = Duration::from_millis(250);

/// Maximum size of the response to a request to one service, in bytes.
const MAX_RESPONSE_BYTES: usize = 4 * 1024 * 1024;

/// Maximum size of the response of one shard of a search, in bytes: over 16,000
/// records.
const MAX_PART_BYTES: usize = 256 * 1024;

/// Result of a fan-out.
#[derive(Debug)]
pub(crate) struct FanoutResult {
    pub(crate) outcome: FanoutOutcome,
    /// Response of each shard that this node called successfully.
    pub(crate) responses: Vec<Option<BackendResponse>>,
    /// Results of peers that are part of the response.
    pub(crate) accepted_parts: Vec<DelegatedParts>,
    /// The last response that reported a failure.
    pub(crate) failure: Option<BackendResponse>,
    pub(crate) failed_attempts: FailedAttempts,
    /// Number of shards that responded, to this node or to a peer.
    pub(crate) answered: usize,
    /// Shards for which no server was called.
    pub(crate) not_called: Vec<ShardIndex>,
    /// Shards that were given up because servers may have crashed.
    pub(crate) broken: Vec<ShardIndex>,
    /// Shards without a response, counted by what they were waiting for.
    pub(crate) missing: MissingShards,
    /// Number of peers in the plan.
    pub(crate) delegations: usize,
    pub(crate) extra_attempts: u32,
    /// Whether the request had enough results before the answer time and was waiting for
    /// further ones.
    pub(crate) is_finished_by_timer: bool,
    /// Time after which a refused caller finds servers that accept requests, here or by
    /// way of another node, as far as it is known.
    pub(crate) retry_delay: Duration,
}

/// Results of a delegated search so far.
#[derive(Clone, Copy, Debug)]
pub(crate) struct FanoutProgress<'fanout> {
    pub(crate) responses: &'fanout [Option<BackendResponse>],
    /// Shards for which no server was called.
    pub(crate) not_called: &'fanout [ShardIndex],
    /// Shards that were given up because servers may have crashed.
    pub(crate) broken: &'fanout [ShardIndex],
}

impl FanoutResult {
    /// Returns the results of a delegated search.
    pub(crate) fn progress(&self) -> FanoutProgress<'_> {
        let Self { responses, not_called, broken, .. } = self;
        FanoutProgress { responses, not_called, broken }
    }
}

/// Event that a task sends to its fan-out.
enum FanoutEvent {
    /// An attempt at a server ended.
    Attempt { shard: ShardIndex, ticket: AttemptTicket, exchange: ExchangeOutcome },
    /// A delegation made progress or ended.
    Delegation { index: DelegationIndex, update: DelegationUpdate, result: Option<PeerResult> },
}

/// Running tasks of a fan-out. On drop, calls to peers are aborted at once, and
/// exchanges after a delay.
struct ExchangeTasks {
    /// Exchanges with servers.
    exchanges: Vec<AbortHandle>,
    /// Calls to peers.
    calls: Vec<AbortHandle>,
    /// Delay between the drop and the abort of the exchanges.
    cancel_delay: Duration,
}

impl Drop for ExchangeTasks {
    fn drop(&mut self) {
        for call in &self.calls {
            call.abort();
        }
        self.exchanges.retain(|handle| !handle.is_finished());
        if self.exchanges.is_empty() {
            return;
        }
        let exchanges = std::mem::take(&mut self.exchanges);
        if self.cancel_delay.is_zero() {
            for handle in exchanges {
                handle.abort();
            }
            return;
        }
        let cancel_delay = self.cancel_delay;
        spawn_local(async move {
            sleep(cancel_delay).await;
            for handle in exchanges {
                handle.abort();
            }
        });
    }
}

/// State of a fan-out, which is released on drop.
struct TrackedState<'gateway> {
    gateway: &'gateway Gateway,
    state: FanoutState,
}

impl Drop for TrackedState<'_> {
    fn drop(&mut self) {
        self.state.release(&mut self.gateway.state.borrow_mut().fleet);
    }
}

impl Deref for TrackedState<'_> {
    type Target = FanoutState;

    fn deref(&self) -> &FanoutState {
        &self.state
    }
}

impl DerefMut for TrackedState<'_> {
    fn deref_mut(&mut self) -> &mut FanoutState {
        &mut self.state
    }
}

/// Records the outcome of an attempt on drop; the attempt counts as cancelled until
/// `outcome` is set.
struct AttemptGuard {
    gateway: Rc<Gateway>,
    ticket: AttemptTicket,
    outcome: AttemptOutcome,
}

impl Drop for AttemptGuard {
    fn drop(&mut self) {
        self.gateway.record_attempt(self.ticket, self.outcome);
    }
}

/// Executes one request, some shards of which may be delegated to peers.
///
/// Calls `on_progress` whenever the node that delegated the shards should be informed.
pub(crate) async fn run_fanout(
    gateway: &Rc<Gateway>,
    plan: FanoutPlan,
    request: Rc<BackendRequest>,
    scope: DelegatedScope,
    mut on_progress: impl FnMut(&FanoutProgress<'_>),
) -> FanoutResult {
    let shards = plan.services.len();
    let cancel_delay = if shards > 1 { CANCEL_DELAY } else { Duration::ZERO };
    let (events_tx, mut events_rx) = unbounded_channel();
    let fingerprint = request.fingerprint();
    let mut run = FanoutRun {
        gateway,
        request,
        started: BootTime::now(),
        scope,
        pending_results: vec![None; plan.delegations.len()],
        accepted_parts: Vec::new(),
        peer_retry_at: None,
        state: TrackedState { gateway, state: FanoutState::new(plan) },
        events_tx,
        tasks: ExchangeTasks {
            exchanges: Vec::with_capacity(shards),
            calls: Vec::new(),
            cancel_delay,
        },
        responses: vec![None; shards],
        failure: None,
        failed_attempts: FailedAttempts::default(),
        is_finished_by_timer: false,
        fingerprint,
        has_response: false,
    };
    let outcome = run.drive(&mut events_rx, &mut on_progress).await;
    let retry_delay = run.retry_delay(outcome);
    FanoutResult {
        outcome,
        retry_delay,
        answered: run.state.answered(),
        not_called: run.state.shards_not_called(),
        broken: run.state.broken_shards(),
        missing: run.state.missing_shards(),
        extra_attempts: run.state.extra_attempts(),
        is_finished_by_timer: run.is_finished_by_timer,
        responses: run.responses,
        accepted_parts: run.accepted_parts,
        failure: run.failure,
        failed_attempts: run.failed_attempts,
        delegations: run.pending_results.len(),
    }
}

/// A fan-out in progress.
struct FanoutRun<'gateway> {
    gateway: &'gateway Rc<Gateway>,
    request: Rc<BackendRequest>,
    started: BootTime,
    scope: DelegatedScope,
    /// Results received from each peer and not accepted yet.
    pending_results: Vec<Option<PeerResult>>,
    /// Results of peers that are part of the response.
    accepted_parts: Vec<DelegatedParts>,
    /// When a peer expects servers to accept requests that refused this one.
    peer_retry_at: Option<BootTime>,
    state: TrackedState<'gateway>,
    events_tx: UnboundedSender<FanoutEvent>,
    tasks: ExchangeTasks,
    responses: Vec<Option<BackendResponse>>,
    /// The last response that reported a failure.
    failure: Option<BackendResponse>,
    failed_attempts: FailedAttempts,
    is_finished_by_timer: bool,
    fingerprint: RequestFingerprint,
    /// Whether a server has responded to the request.
    has_response: bool,
}

impl FanoutRun<'_> {
    /// Executes actions and handles events until the fan-out finishes.
    async fn drive(
        &mut self,
        events_rx: &mut UnboundedReceiver<FanoutEvent>,
        on_progress: &mut impl FnMut(&FanoutProgress<'_>),
    ) -> FanoutOutcome {
        let mut actions = {
            let gateway = &mut *self.gateway.state.borrow_mut();
            self.state.start(BootTime::now(), &mut gateway.fleet)
        };
        let mut had_enough = false;
        loop {
            actions.extend(self.place_with_peers());
            if self.gateway.state.borrow().fleet.lacks_extra_tokens() {
                self.gateway.extra_notify.notify_one();
            }
            for action in actions {
                match action {
                    FanoutAction::Send { shard, ticket } => self.send(shard, ticket),
                    FanoutAction::Delegate(index) => self.delegate(index),
                    FanoutAction::UsePartialResults(index) => self.accept_results(index),
                    FanoutAction::Report => on_progress(&FanoutProgress {
                        responses: &self.responses,
                        not_called: &self.state.shards_not_called(),
                        broken: &self.state.broken_shards(),
                    }),
                    FanoutAction::Finish(outcome) => {
                        self.is_finished_by_timer =
                            had_enough && outcome == FanoutOutcome::Answered;
                        return outcome;
                    }
                }
            }
            let now = BootTime::now();
            let next_timer = self.state.next_timer(now).min(now + HORIZON_CHECK_INTERVAL);
            let next_timer = to_instant(next_timer);
            let event = tokio::select! {
                biased;
                event = events_rx.recv() => event,
                () = sleep_until(next_timer) => None,
            };
            had_enough = self.state.has_enough();
            actions = self.step(event);
        }
    }

    /// Handles an event, or the expiry of the timer if `event` is `None`.
    fn step(&mut self, event: Option<FanoutEvent>) -> Vec<FanoutAction> {
        let now = BootTime::now();
        let gateway = &mut *self.gateway.state.borrow_mut();
        // Servers that a peer has called for this request may have crashed under it.
        if gateway.is_suspected(self.fingerprint) {
            self.state.suspect();
        }
        if gateway.crashes.is_quarantined(self.fingerprint) {
            self.state.stop_sending();
        }
        let (shard, ticket, exchange) = match event {
            None => return self.state.on_timer(now, &mut gateway.fleet),
            Some(FanoutEvent::Attempt { shard, ticket, exchange }) => (shard, ticket, exchange),
            Some(FanoutEvent::Delegation { index, update, result }) => {
                self.record_delegation_failure(now, index, &update);
                match result {
                    Some(PeerResult::RetryIn(retry_in)) => {
                        self.peer_retry_at = self.peer_retry_at.max(Some(now + retry_in));
                    }
                    Some(PeerResult::Response(response)) if update == DelegationUpdate::Failed => {
                        self.failure = Some(response);
                    }
                    result => {
                        if let Some(pending) = self.pending_results.get_mut(usize::from(index.0)) {
                            *pending = result;
                        }
                    }
                }
                return self.state.on_delegation_update(now, index, &update);
            }
        };
        let ExchangeOutcome { outcome, response, reason, is_broken } = exchange;
        let answered_before = self.state.answered();
        if is_broken {
            self.gateway.reporter.count_broken_attempt();
            gateway.fleet.on_connection_broken(ticket.server);
            if answered_before == 0 {
                self.record_crash(gateway, ticket.server);
            }
            self.state.on_connection_broken(shard, ticket.server);
        } else if response.is_some() && outcome.may_have_run() && !self.has_response {
            self.has_response = true;
            gateway.record_response(self.fingerprint);
        }
        if !gateway.unannounced.is_empty() {
            self.gateway.quarantine_notify.notify_one();
        }
        let actions =
            self.state.on_attempt_ended(now, &mut gateway.fleet, shard, ticket.server, outcome);
        if outcome != AttemptOutcome::Answered {
            self.failure = response.or(self.failure.take());
            let server = gateway.fleet.endpoint(ticket.server).map(|endpoint| endpoint.entry.id);
            self.failed_attempts.push(FailedAttempt {
                shard: shard.0,
                target: server.unwrap_or_else(|| "a removed server".into()),
                outcome: outcome.into(),
                after: now.since(ticket.sent),
                reason,
            });
        } else if self.state.answered() > answered_before
            && let Some(slot) = self.responses.get_mut(usize::from(shard.0))
        {
            // Only the first result of a shard is used, whether a server or a peer sent
            // it. A later one must not be included as well.
            *slot = response;
        }
        actions
    }

    /// Records that a server may have crashed under the request.
    fn record_crash(&self, state: &mut GatewayState, server: ServerKey) {
        let (now, request) = (BootTime::now(), self.fingerprint);
        let evidence = state.crash_doubts.record(now, request, server, &mut state.fleet);
        if let Some(evidence) = evidence {
            state.record_crash(request, evidence);
            self.gateway.notify_peers();
        }
        self.gateway.links_notify.notify_one();
    }

    /// Accepts the results that a peer sent. Drops this node's own responses of the
    /// same shards, because a shard must not be included twice.
    fn accept_results(&mut self, index: DelegationIndex) {
        let position = usize::from(index.0);
        let result = self.pending_results.get_mut(position).and_then(Option::take);
        let shards = &self.state.plan().delegations[position].shards;
        match result {
            Some(PeerResult::Parts(parts)) => {
                for shard_position in &parts.shards {
                    if let Some(shard) = shards.get(usize::from(*shard_position)) {
                        self.responses[usize::from(shard.0)] = None;
                    }
                }
                self.accepted_parts.push(parts);
            }
            Some(PeerResult::Response(response)) => {
                if let Some(shard) = shards.first() {
                    self.responses[usize::from(shard.0)] = Some(response);
                }
            }
            Some(PeerResult::RetryIn(_)) | None => {}
        }
    }

    /// Lets peers call servers for the shards that this node can't call any for.
    fn place_with_peers(&mut self) -> Vec<FanoutAction> {
        let unplaced = self.state.unplaced_shards();
        if unplaced.is_empty() {
            return Vec::new();
        }
        let now = BootTime::now();
        let state = &mut *self.gateway.state.borrow_mut();
        state.requests += 1;
        let plan = self.state.plan();
        let request = PlacementRequest {
            is_search: self.scope.is_search,
            is_cautious: plan.is_cautious,
            class: plan.class,
            objective: self.scope.objective,
            attempts: plan.attempts,
            answer_by: plan.answer_by,
            deadline: self.state.respond_by(),
            number: state.requests,
        };
        let placement = place_with_peers(now, request, &unplaced, &mut state.fleet, &state.peers);
        let actions = self.state.place(now, &mut state.fleet, placement);
        self.pending_results.resize(self.state.plan().delegations.len(), None);
        actions
    }

    /// Returns the time after which a caller that is refused now may be served.
    fn retry_delay(&self, outcome: FanoutOutcome) -> Duration {
        let plan = self.state.plan();
        let state = &mut *self.gateway.state.borrow_mut();
        let now = BootTime::now();
        let is_refused = outcome == FanoutOutcome::NotRun;
        let token_at = if is_refused { state.fleet.book_return(now, &plan.services) } else { None };
        if is_refused && state.lifecycle.is_stopping() {
            let other_nodes = state.peers.other_nodes_in_zone();
            let balancer_delay = state.lifecycle.balancer_delay(now);
            return return_delay(balancer_delay, plan.deadline.since(now), other_nodes);
        }
        let from = state.fleet.available_from(now, &plan.services, plan.min_shards);
        let own_delay = match from {
            Some(from) => from.max(token_at.unwrap_or(from)).since(now),
            None => state.retry_delay_without_links(now, plan),
        };
        own_delay.max(self.peer_retry_at.map_or(Duration::ZERO, |at| at.since(now)))
    }

    /// Records the failure of a delegation, if `update` is one.
    fn record_delegation_failure(
        &mut self,
        now: BootTime,
        index: DelegationIndex,
        update: &DelegationUpdate,
    ) {
        let outcome = match update {
            DelegationUpdate::PartialResults(_)
            | DelegationUpdate::Broken(_)
            | DelegationUpdate::Ended => return,
            DelegationUpdate::Failed => DelegationOutcome::Failed,
            DelegationUpdate::NotRun => DelegationOutcome::NotRun,
            DelegationUpdate::NotCalled(_) => DelegationOutcome::NotCalled,
            DelegationUpdate::NotSent => DelegationOutcome::NotSent,
            DelegationUpdate::Lost => DelegationOutcome::Lost,
        };
        self.gateway.reporter.count_delegation(outcome);
        let plan = self.state.plan();
        let Some(delegation) = plan.delegations.get(usize::from(index.0)) else { return };
        self.failed_attempts.push(FailedAttempt {
            shard: delegation.shards.first().map_or(0, |shard| shard.0),
            target: delegation.peer.clone(),
            outcome: outcome.into(),
            after: now.since(self.started),
            reason: match update {
                DelegationUpdate::NotCalled(shards) => format!("{} shards", shards.len()),
                _ => format!("{} shards delegated", delegation.shards.len()),
            },
        });
    }

    /// Sends the shards of a delegation to its peer.
    fn delegate(&mut self, index: DelegationIndex) {
        let plan = self.state.plan();
        let position = usize::from(index.0);
        let Some(delegation) = plan.delegations.get(position) else { return };
        let request = build_delegated_request(
            &self.gateway.state.borrow(),
            &self.request,
            plan,
            delegation,
            &self.scope,
        );
        let (shards, class) = (delegation.shards.clone(), plan.class);
        let peer = delegation.peer.clone();
        let gateway = self.gateway.clone();
        let events_tx = self.events_tx.clone();
        let task = spawn_local(async move {
            let notify = |update, result| {
                // The receiver is gone once the fan-out has finished.
                let _ = events_tx.send(FanoutEvent::Delegation { index, update, result });
            };
            let update = call_peer(&gateway, &peer, &request, &shards, class, notify).await;
            if let Some(update) = update {
                notify(update, None);
            }
        });
        self.tasks.calls.push(task.abort_handle());
    }

    /// Starts an exchange with a server.
    fn send(&mut self, shard: ShardIndex, ticket: AttemptTicket) {
        let gateway = self.gateway.clone();
        if gateway.state.borrow().fleet.is_limited(BootTime::now(), ticket.server) {
            gateway.reporter.count_limited_attempt(ticket.kind);
        }
        let request = self.request.clone();
        let events_tx = self.events_tx.clone();
        let is_search = self.state.plan().services.len() > 1;
        let response_bytes = if is_search { MAX_PART_BYTES } else { MAX_RESPONSE_BYTES };
        let deadline = to_instant(self.state.respond_by());
        let limits = ExchangeLimits { deadline, response_bytes };
        let terms = self.state.plan().terms();
        let task = spawn_local(async move {
            let mut guard = AttemptGuard {
                gateway: gateway.clone(),
                ticket,
                outcome: AttemptOutcome::Cancelled,
            };
            let exchange = match gateway.pool(ticket.server) {
                Some(pool) => {
                    let on_notice = |opened, notice| {
                        let times = (opened, ticket.sent);
                        gateway.apply_notice(ticket.server, times, pool.incarnation(), notice);
                    };
                    let may_send = || {
                        let fleet = &gateway.state.borrow().fleet;
                        fleet.can_end_at(BootTime::now(), terms, ticket.server)
                    };
                    pool.exchange(&request, limits, may_send, on_notice).await
                }
                None => ExchangeOutcome::without_response(
                    AttemptOutcome::Unsent,
                    "the server was removed",
                ),
            };
            guard.outcome = exchange.outcome;
            drop(guard);
            // The receiver is gone once the fan-out has finished.
            let _ = events_tx.send(FanoutEvent::Attempt { shard, ticket, exchange });
        });
        self.tasks.exchanges.push(task.abort_handle());
    }
}

/// Converts a time of the boot clock to one of the runtime's timer.
fn to_instant(time: BootTime) -> Instant {
    Instant::now() + time.since(BootTime::now())
}
