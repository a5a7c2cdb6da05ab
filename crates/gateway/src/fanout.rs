//! Carries out what a fan-out decides: exchanges, timers, and their end.

use std::{rc::Rc, time::Duration};

use carobstep_clock::BootTime;
use carobstep_tier::{
    AttemptEnd, ClassKey, DelegationNews, FanoutAction, FanoutEnd, FanoutPlan, FanoutState,
    GroupIndex, LackingShards, SentTicket, ShardIndex,
};
use carobstep_wire::{WireError, WireErrorKind};
use log::debug;
use tokio::{
    sync::mpsc::{UnboundedReceiver, UnboundedSender, unbounded_channel},
    task::{AbortHandle, spawn_local},
    time::{Instant, sleep, sleep_until},
};

use crate::{
    backend::{BackendAnswer, BackendRequest, ExchangeEnd},
    gateway::Gateway,
    peer_messages::{DelegatedParts, PeerAnswer, PeerCall},
    peers::{DelegatedScope, search_call},
    report::{AttemptNote, AttemptTrail, DelegationEnd},
};

/// Time for which an exchange that is no longer needed may go on, so that its
/// connection can be kept; work for a client that left must end within 500 ms.
const LINGER: Duration = Duration::from_millis(250);

/// What a fan-out came to.
#[derive(Debug)]
pub(crate) struct FanoutOutcome {
    pub(crate) end: FanoutEnd,
    /// One answer per shard that answered.
    pub(crate) answers: Vec<Option<BackendAnswer>>,
    /// Parts that peers merged.
    pub(crate) merged: Vec<DelegatedParts>,
    /// The last answer that was a failure.
    pub(crate) failure: Option<BackendAnswer>,
    /// Attempts that did not succeed.
    pub(crate) trail: AttemptTrail,
    pub(crate) answered: usize,
    /// Shards that nobody was asked for.
    pub(crate) unasked: Vec<ShardIndex>,
    /// What the other shards waited for at the end.
    pub(crate) lacking: LackingShards,
    /// Peers that were asked.
    pub(crate) delegations: usize,
    pub(crate) extra_attempts: u32,
}

/// An end on its way to the fan-out.
enum FanoutReport {
    /// An attempt at a server ended.
    Attempt { shard: ShardIndex, ticket: SentTicket, exchange: ExchangeEnd },
    /// A peer that has shards was heard of.
    Delegation { group: GroupIndex, news: DelegationNews, parts: Option<DelegatedParts> },
}

/// Exchanges under way; they are ended a little after nobody needs them.
struct ExchangeTasks {
    handles: Vec<AbortHandle>,
    /// Calls to peers, which end at once.
    calls: Vec<AbortHandle>,
    linger: Duration,
}

impl Drop for ExchangeTasks {
    fn drop(&mut self) {
        for call in &self.calls {
            call.abort();
        }
        self.handles.retain(|handle| !handle.is_finished());
        if self.handles.is_empty() {
            return;
        }
        let handles = std::mem::take(&mut self.handles);
        if self.linger.is_zero() {
            for handle in handles {
                handle.abort();
            }
            return;
        }
        let linger = self.linger;
        spawn_local(async move {
            sleep(linger).await;
            for handle in handles {
                handle.abort();
            }
        });
    }
}

/// Reports an attempt as cancelled unless it has ended otherwise.
struct AttemptGuard {
    gateway: Rc<Gateway>,
    ticket: SentTicket,
    end: AttemptEnd,
}

impl Drop for AttemptGuard {
    fn drop(&mut self) {
        self.gateway.attempt_ended(self.ticket, self.end);
    }
}

/// Carries out one request, of which peers may take shards, until its end.
///
/// `report` gets the answers so far, and the shards that nobody was asked for,
/// whenever the node that delegated the shards should hear of them.
pub(crate) async fn run_fanout(
    gateway: &Rc<Gateway>,
    plan: FanoutPlan,
    request: Rc<BackendRequest>,
    scope: DelegatedScope,
    mut report: impl FnMut(&[Option<BackendAnswer>], &[ShardIndex]),
) -> FanoutOutcome {
    let shards = plan.services.len();
    let deadline = instant_of(plan.deadline);
    let linger = if shards > 1 { LINGER } else { Duration::ZERO };
    let (reports, mut ended) = unbounded_channel();
    let mut run = FanoutRun {
        gateway,
        request,
        deadline,
        started: BootTime::now(),
        scope,
        offered: vec![None; plan.delegations.len()],
        merged: Vec::new(),
        state: FanoutState::new(plan),
        reports,
        tasks: ExchangeTasks { handles: Vec::with_capacity(shards), calls: Vec::new(), linger },
        answers: vec![None; shards],
        failure: None,
        trail: AttemptTrail::default(),
    };
    let end = run.drive(&mut ended, &mut report).await;
    FanoutOutcome {
        end,
        answered: run.state.answered(),
        unasked: run.state.unasked(),
        lacking: run.state.lacking(),
        extra_attempts: run.state.extra_attempts(),
        answers: run.answers,
        merged: run.merged,
        failure: run.failure,
        trail: run.trail,
        delegations: run.offered.len(),
    }
}

struct FanoutRun<'gateway> {
    gateway: &'gateway Rc<Gateway>,
    request: Rc<BackendRequest>,
    deadline: Instant,
    started: BootTime,
    scope: DelegatedScope,
    /// Parts that peers sent and that are not taken yet.
    offered: Vec<Option<DelegatedParts>>,
    merged: Vec<DelegatedParts>,
    state: FanoutState,
    reports: UnboundedSender<FanoutReport>,
    tasks: ExchangeTasks,
    answers: Vec<Option<BackendAnswer>>,
    failure: Option<BackendAnswer>,
    trail: AttemptTrail,
}

impl FanoutRun<'_> {
    async fn drive(
        &mut self,
        ended: &mut UnboundedReceiver<FanoutReport>,
        report: &mut impl FnMut(&[Option<BackendAnswer>], &[ShardIndex]),
    ) -> FanoutEnd {
        let mut actions = {
            let gateway = &mut *self.gateway.state.borrow_mut();
            self.state.start(BootTime::now(), &mut gateway.fleet)
        };
        loop {
            for action in actions {
                match action {
                    FanoutAction::Send { shard, ticket } => self.send(shard, ticket),
                    FanoutAction::Delegate(group) => self.delegate(group),
                    FanoutAction::Take(group) => self.take(group),
                    FanoutAction::Report => report(&self.answers, &self.state.unasked()),
                    FanoutAction::Finish(end) => return end,
                }
            }
            let next = instant_of(self.state.next_timer(BootTime::now()));
            let report = tokio::select! {
                biased;
                report = ended.recv() => report,
                () = sleep_until(next) => None,
            };
            actions = self.step(report);
        }
    }

    fn step(&mut self, report: Option<FanoutReport>) -> Vec<FanoutAction> {
        let now = BootTime::now();
        let gateway = &mut *self.gateway.state.borrow_mut();
        let (shard, ticket, exchange) = match report {
            None => return self.state.timer(now, &mut gateway.fleet),
            Some(FanoutReport::Attempt { shard, ticket, exchange }) => (shard, ticket, exchange),
            Some(FanoutReport::Delegation { group, news, parts }) => {
                self.note_delegation(now, group, &news);
                if let Some(offered) = self.offered.get_mut(usize::from(group.0)) {
                    *offered = parts;
                }
                return self.state.delegation_heard(now, group, &news);
            }
        };
        let ExchangeEnd { end, answer, reason } = exchange;
        let before = self.state.answered();
        let actions = self.state.attempt_ended(now, &mut gateway.fleet, shard, ticket.server, end);
        if end != AttemptEnd::Answered {
            self.failure = answer.or(self.failure.take());
            let server = gateway.fleet.sight(ticket.server).map(|sight| sight.entry.id);
            self.trail.push(AttemptNote {
                shard: shard.0,
                target: server.unwrap_or_else(|| "a server that is gone".into()),
                end: end.into(),
                after: now.since(ticket.sent),
                reason,
            });
        } else if self.state.answered() > before
            && let Some(slot) = self.answers.get_mut(usize::from(shard.0))
        {
            // A part that the shard's other attempt or a peer brought first is not counted twice.
            *slot = answer;
        }
        actions
    }

    /// Uses the parts that a peer sent. Direct answers to the same shards are
    /// dropped: no part may be in an answer twice.
    fn take(&mut self, group: GroupIndex) {
        let position = usize::from(group.0);
        let Some(parts) = self.offered.get_mut(position).and_then(Option::take) else { return };
        let shards = &self.state.plan().delegations[position].shards;
        for part in &parts.shards {
            if let Some(shard) = shards.get(usize::from(*part)) {
                self.answers[usize::from(shard.0)] = None;
            }
        }
        self.merged.push(parts);
    }

    fn note_delegation(&mut self, now: BootTime, group: GroupIndex, news: &DelegationNews) {
        let end = match news {
            DelegationNews::Parts(_) | DelegationNews::Unasked(_) | DelegationNews::Ended => return,
            DelegationNews::NotSent => DelegationEnd::NotSent,
            DelegationNews::Lost => DelegationEnd::Lost,
        };
        self.gateway.reporter.count_delegation(end);
        let plan = self.state.plan();
        let Some(delegation) = plan.delegations.get(usize::from(group.0)) else { return };
        self.trail.push(AttemptNote {
            shard: delegation.shards.first().map_or(0, |shard| shard.0),
            target: delegation.peer.clone(),
            end: end.into(),
            after: now.since(self.started),
            reason: format!("{} shards delegated", delegation.shards.len()),
        });
    }

    fn delegate(&mut self, group: GroupIndex) {
        let plan = self.state.plan();
        let position = usize::from(group.0);
        let Some(delegation) = plan.delegations.get(position) else { return };
        let call = {
            let state = self.gateway.state.borrow();
            search_call(&state.fleet, &self.request, plan, position, &self.scope)
        };
        let (shards, class) = (delegation.shards.clone(), plan.class);
        let peer = delegation.peer.clone();
        let gateway = self.gateway.clone();
        let reports = self.reports.clone();
        let task = spawn_local(async move {
            let hear = |news, parts| {
                // Nobody listens once the client has its answer.
                let _ = reports.send(FanoutReport::Delegation { group, news, parts });
            };
            let news = call_peer(&gateway, &peer, &call, &shards, class, hear).await;
            if matches!(news, DelegationNews::NotSent | DelegationNews::Lost) {
                gateway.state.borrow_mut().peers.failed(BootTime::now(), &peer);
            }
            hear(news, None);
        });
        self.tasks.calls.push(task.abort_handle());
    }

    fn send(&mut self, shard: ShardIndex, ticket: SentTicket) {
        let gateway = self.gateway.clone();
        let request = self.request.clone();
        let reports = self.reports.clone();
        let deadline = self.deadline;
        let task = spawn_local(async move {
            let mut guard =
                AttemptGuard { gateway: gateway.clone(), ticket, end: AttemptEnd::Cancelled };
            let exchange = match gateway.pool(ticket.server) {
                Some(pool) => pool.exchange(&request, deadline).await,
                None => ExchangeEnd::without_answer(AttemptEnd::Unsent, "the server is gone"),
            };
            guard.end = exchange.end;
            drop(guard);
            // Nobody listens once the client has its answer.
            let _ = reports.send(FanoutReport::Attempt { shard, ticket, exchange });
        });
        self.tasks.handles.push(task.abort_handle());
    }
}

/// Asks a peer for some shards, passes on the parts that fit them, and returns
/// how the delegation ended.
async fn call_peer(
    gateway: &Gateway,
    peer: &str,
    call: &PeerCall,
    shards: &[ShardIndex],
    class: ClassKey,
    hear: impl Fn(DelegationNews, Option<DelegatedParts>),
) -> DelegationNews {
    let address = gateway.state.borrow().peers.address(peer);
    let Some(address) = address else { return DelegationNews::NotSent };
    let sent = BootTime::now();
    let lost = |error: &WireError| {
        debug!(peer = peer, error:% = error; "a delegation failed");
        match error.kind() {
            WireErrorKind::NotSent => DelegationNews::NotSent,
            _ => DelegationNews::Lost,
        }
    };
    let mut replies = match gateway.peer_pool.call_streaming(address, call).await {
        Ok(replies) => replies,
        Err(error) => return lost(&error),
    };
    let mut heard = false;
    loop {
        let parts = match replies.next().await {
            Ok(Some(PeerAnswer::Parts(parts))) => parts,
            Ok(Some(PeerAnswer::Refused | PeerAnswer::News(_) | PeerAnswer::NoNews(_))) => {
                return DelegationNews::NotSent;
            }
            Ok(None) => return DelegationNews::Ended,
            Err(error) => return lost(&error),
        };
        if !heard {
            heard = true;
            gateway.reporter.count_delegation(DelegationEnd::Answered);
            let state = &mut *gateway.state.borrow_mut();
            state.fleet.classes.record_delegation(class, BootTime::now().since(sent));
            state.peers.answered(peer);
        }
        let answered = shards_at(&parts.shards, shards);
        let unasked = shards_at(&parts.unasked, shards);
        let (Some(answered), Some(unasked)) = (answered, unasked) else {
            debug!(peer = peer; "a peer's parts don't fit the call");
            return DelegationNews::Lost;
        };
        if parts.stamps.len() != answered.len() {
            debug!(peer = peer; "a peer's signatures don't fit its parts");
            return DelegationNews::Lost;
        }
        if !answered.is_empty() || unasked.is_empty() {
            hear(DelegationNews::Parts(answered), Some(parts));
        }
        if !unasked.is_empty() {
            hear(DelegationNews::Unasked(unasked), None);
        }
    }
}

/// The shards at some positions of a call; `None` if one is not there or comes twice.
fn shards_at(positions: &[u16], shards: &[ShardIndex]) -> Option<Vec<ShardIndex>> {
    let mut found = Vec::with_capacity(positions.len());
    for position in positions {
        let shard = *shards.get(usize::from(*position))?;
        if found.contains(&shard) {
            return None;
        }
        found.push(shard);
    }
    Some(found)
}

/// The timer's reading for a reading of the boot clock.
fn instant_of(time: BootTime) -> Instant {
    Instant::now() + time.since(BootTime::now())
}
