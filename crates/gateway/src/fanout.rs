//! Carries out what a fan-out decides: exchanges, timers, and their end.

use std::{rc::Rc, time::Duration};

use carobstep_clock::BootTime;
use carobstep_tier::{
    AttemptEnd, FanoutAction, FanoutEnd, FanoutPlan, FanoutState, SentTicket, ShardIndex,
};
use log::debug;
use tokio::{
    sync::mpsc::{UnboundedReceiver, UnboundedSender, unbounded_channel},
    task::{AbortHandle, spawn_local},
    time::{Instant, sleep, sleep_until},
};

use crate::{
    backend::{BackendAnswer, BackendRequest, ExchangeEnd},
    gateway::Gateway,
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
    /// The last answer that was a failure.
    pub(crate) failure: Option<BackendAnswer>,
    /// Why the last failed attempt failed.
    pub(crate) reason: String,
    pub(crate) answered: usize,
    pub(crate) extra_attempts: u32,
}

/// The end of one attempt on its way to the fan-out.
struct AttemptReport {
    shard: ShardIndex,
    exchange: ExchangeEnd,
}

/// Exchanges under way; they are ended a little after nobody needs them.
struct ExchangeTasks {
    handles: Vec<AbortHandle>,
    linger: Duration,
}

impl Drop for ExchangeTasks {
    fn drop(&mut self) {
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

/// Carries out one request until its end.
pub(crate) async fn run_fanout(
    gateway: &Rc<Gateway>,
    plan: FanoutPlan,
    request: Rc<BackendRequest>,
) -> FanoutOutcome {
    let shards = plan.services.len();
    let deadline = instant_of(plan.deadline);
    let linger = if shards > 1 { LINGER } else { Duration::ZERO };
    let (reports, mut ended) = unbounded_channel();
    let mut run = FanoutRun {
        gateway,
        request,
        deadline,
        state: FanoutState::new(plan),
        reports,
        tasks: ExchangeTasks { handles: Vec::with_capacity(shards), linger },
        answers: vec![None; shards],
        failure: None,
        reason: String::new(),
    };
    let end = run.drive(&mut ended).await;
    FanoutOutcome {
        end,
        answered: run.state.answered(),
        extra_attempts: run.state.extra_attempts(),
        answers: run.answers,
        failure: run.failure,
        reason: run.reason,
    }
}

struct FanoutRun<'gateway> {
    gateway: &'gateway Rc<Gateway>,
    request: Rc<BackendRequest>,
    deadline: Instant,
    state: FanoutState,
    reports: UnboundedSender<AttemptReport>,
    tasks: ExchangeTasks,
    answers: Vec<Option<BackendAnswer>>,
    failure: Option<BackendAnswer>,
    reason: String,
}

impl FanoutRun<'_> {
    async fn drive(&mut self, ended: &mut UnboundedReceiver<AttemptReport>) -> FanoutEnd {
        let mut actions = {
            let gateway = &mut *self.gateway.state.borrow_mut();
            self.state.start(BootTime::now(), &mut gateway.fleet)
        };
        loop {
            for action in actions {
                match action {
                    FanoutAction::Send { shard, ticket } => self.send(shard, ticket),
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

    fn step(&mut self, report: Option<AttemptReport>) -> Vec<FanoutAction> {
        let now = BootTime::now();
        let gateway = &mut *self.gateway.state.borrow_mut();
        let Some(AttemptReport { shard, exchange }) = report else {
            return self.state.timer(now, &mut gateway.fleet);
        };
        if exchange.end == AttemptEnd::Answered {
            if let Some(slot) = self.answers.get_mut(usize::from(shard.0)) {
                slot.get_or_insert_with(|| exchange.answer.unwrap_or_else(BackendAnswer::empty));
            }
        } else {
            self.failure = exchange.answer.or(self.failure.take());
            self.reason = exchange.reason;
        }
        self.state.attempt_ended(now, &mut gateway.fleet, shard, exchange.end)
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
            if exchange.end != AttemptEnd::Answered {
                debug!(end:% = exchange.end, reason = exchange.reason.as_str(); "attempt failed");
            }
            // Nobody listens once the client has its answer.
            let _ = reports.send(AttemptReport { shard, exchange });
        });
        self.tasks.handles.push(task.abort_handle());
    }
}

impl BackendAnswer {
    fn empty() -> Self {
        Self {
            status: http::StatusCode::OK,
            headers: http::HeaderMap::new(),
            body: bytes::Bytes::new(),
        }
    }
}

/// The timer's reading for a reading of the boot clock.
fn instant_of(time: BootTime) -> Instant {
    Instant::now() + time.since(BootTime::now())
}
