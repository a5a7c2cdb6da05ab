//! The actor of one held backend server.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use carobstep_clock::BootTime;
use carobstep_config::ServerName;
use carobstep_control::ControlEvent;
use carobstep_dispatch::{
    ConnectionKey, ConnectionPool, ConnectionStep, PoolEvent, PoolLimits, QueueAdmission,
    QueueEvent, QueueLimits, ServerQueue, TicketKey,
};
use carobstep_wire::{RefusalReason, RequestOutcome, ShardResult};
use indexmap::IndexMap;
use ractor::{Actor, ActorProcessingErr, ActorRef};
use tokio::time::sleep;

use super::{
    exchange::{EndedExchange, ServerExchange},
    job::{RunJob, RunKey},
};
use crate::{
    backend::{BackendConnection, BackendRequest, BackendResult, HealthReport},
    context::{DEFAULT_RETRY_AFTER, NodeContext},
    counters::NodeEvent,
};

/// Idle time after which a connection is probed.
const PROBE_INTERVAL: Duration = Duration::from_secs(1);

/// Time for a probe to be answered.
const PROBE_TIMEOUT: Duration = Duration::from_millis(500);

/// Idle time after which a connection beyond the warm ones is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(30);

/// Time without progress after which the pool gives up a busy connection.
const PROGRESS_TIMEOUT: Duration = Duration::from_secs(120);

/// How long a server may go on after the deadline of a request whose
/// connection was given up.
const OVERRUN_MARGIN: Duration = Duration::from_millis(50);

/// How long a server may go on with a cancelled request after it closed its
/// end of the connection.
const CANCEL_MARGIN: Duration = Duration::from_millis(20);

/// Idle connections kept beyond one per slot.
const SPARE_CONNECTIONS: u16 = 1;

/// Where a server is and what its owner lends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ServerLimits {
    /// Address of the server.
    pub address: SocketAddr,
    /// Lent slots.
    pub slots: u16,
    /// Lent connections.
    pub connections: u16,
    /// Requests that may wait.
    pub waiting: u16,
    /// Whether the server leaves.
    pub leaving: bool,
}

/// Messages to the actor of a held server.
#[derive(Debug)]
pub enum HolderMessage {
    /// Run a shard request.
    Run(RunJob),
    /// Nobody waits for a run any more.
    Cancel(RunKey),
    /// A connection was opened, or not.
    Opened(ConnectionKey, Option<BackendConnection>),
    /// An exchange with the server ended.
    Ended(Box<EndedExchange>),
    /// A probe of an idle connection ended.
    Probed(ConnectionKey, BackendConnection, Option<HealthReport>),
    /// A connection is closed for certain.
    Gone(ConnectionKey, Option<TicketKey>),
    /// The deadline of a request on a given-up connection has passed.
    Overdue(TicketKey),
    /// What the owner lends has changed.
    Limits(ServerLimits),
    /// Finish what runs, close the connections, then report idle.
    Release,
    /// A time given by the queue or the pool has come.
    Wake,
}

/// The actor type; its state is [`HolderState`].
pub(super) struct HolderActor;

/// What an actor is started with.
pub(super) struct HolderArguments {
    pub(super) context: Arc<NodeContext>,
    pub(super) server: ServerName,
    pub(super) limits: ServerLimits,
}

/// Queue, connections and jobs of one held server.
pub(super) struct HolderState {
    context: Arc<NodeContext>,
    server: ServerName,
    limits: ServerLimits,
    queue: ServerQueue,
    pool: ConnectionPool,
    idle: IndexMap<ConnectionKey, BackendConnection>,
    jobs: IndexMap<TicketKey, RunJob>,
    releasing: bool,
    wake_at: BootTime,
    myself: ActorRef<HolderMessage>,
}

impl Actor for HolderActor {
    type Msg = HolderMessage;
    type State = HolderState;
    type Arguments = HolderArguments;

    async fn pre_start(
        &self,
        myself: ActorRef<Self::Msg>,
        arguments: HolderArguments,
    ) -> Result<HolderState, ActorProcessingErr> {
        let mut state = HolderState::new(arguments, myself);
        state.settle(BootTime::now());
        Ok(state)
    }

    async fn handle(
        &self,
        _myself: ActorRef<Self::Msg>,
        message: HolderMessage,
        state: &mut HolderState,
    ) -> Result<(), ActorProcessingErr> {
        let now = BootTime::now();
        state.step(now, message);
        state.settle(now);
        Ok(())
    }
}

impl HolderState {
    fn new(arguments: HolderArguments, myself: ActorRef<HolderMessage>) -> Self {
        let HolderArguments { context, server, limits } = arguments;
        let now = BootTime::now();
        let queue =
            ServerQueue::new(QueueLimits { slots: limits.slots, waiting: limits.waiting }, now);
        let pool = ConnectionPool::new(pool_limits(limits));
        Self {
            context,
            server,
            limits,
            queue,
            pool,
            idle: IndexMap::new(),
            jobs: IndexMap::new(),
            releasing: false,
            wake_at: BootTime::MAX,
            myself,
        }
    }

    fn step(&mut self, now: BootTime, message: HolderMessage) {
        match message {
            HolderMessage::Run(job) => self.offer(now, job),
            HolderMessage::Cancel(run) => self.cancel(now, run),
            HolderMessage::Opened(key, connection) => self.opened(now, key, connection),
            HolderMessage::Ended(ended) => self.ended(now, *ended),
            HolderMessage::Probed(key, connection, report) => {
                self.probed(now, key, connection, report);
            }
            HolderMessage::Gone(key, ticket) => {
                self.pool.closed(key);
                if let Some(ticket) = ticket {
                    self.queue.finish(now, ticket, None);
                }
            }
            HolderMessage::Overdue(ticket) => self.queue.finish(now, ticket, None),
            HolderMessage::Limits(limits) => self.set_limits(now, limits),
            HolderMessage::Release => {
                self.releasing = true;
                self.queue.close(RefusalReason::NotHolder);
            }
            HolderMessage::Wake => self.wake_at = BootTime::MAX,
        }
    }

    /// Carries out everything that a step made due.
    fn settle(&mut self, now: BootTime) {
        while let Some(event) = self.queue.poll(now) {
            match event {
                QueueEvent::Dispatch(ticket) => self.dispatch(now, ticket),
                QueueEvent::Refused { key, reason, retry_after } => {
                    self.refuse(key, RequestOutcome::NotRun, reason, retry_after);
                }
            }
        }
        if self.releasing {
            self.close_when_idle(now);
        } else {
            self.keep_connections(now);
        }
        self.schedule(now);
    }

    fn offer(&mut self, now: BootTime, mut job: RunJob) {
        if let Err(reason) = self.check() {
            let waiting = self.queue.waiting();
            job.refuse(RequestOutcome::NotRun, reason, DEFAULT_RETRY_AFTER, waiting);
            return;
        }
        match self.queue.offer(now, job.ticket()) {
            QueueAdmission::Dispatch(ticket) => {
                self.jobs.insert(ticket, job);
                self.dispatch(now, ticket);
            }
            QueueAdmission::Queued(ticket) => {
                self.jobs.insert(ticket, job);
            }
            QueueAdmission::Refused { reason, retry_after } => {
                job.refuse(RequestOutcome::NotRun, reason, retry_after, self.queue.waiting());
            }
        }
    }

    /// Whether a request may go to the server now.
    fn check(&self) -> Result<(), RefusalReason> {
        if self.limits.leaving {
            return Err(RefusalReason::ServerLeaving);
        }
        self.context.may_dispatch(&self.server)
    }

    /// Sends an admitted request, whose slot is already counted.
    fn dispatch(&mut self, now: BootTime, ticket: TicketKey) {
        if let Err(reason) = self.check() {
            return self.give_back(now, ticket, reason);
        }
        let (key, connection) = match self.pool.acquire(now) {
            ConnectionStep::Reuse(key) => (key, self.idle.swap_remove(&key)),
            ConnectionStep::Open(key) => (key, None),
            ConnectionStep::Wait => {
                return self.give_back(now, ticket, RefusalReason::ConnectFailed);
            }
        };
        let Some(job) = self.jobs.get_mut(&ticket) else {
            // Only a job that was cancelled in this step has no entry.
            self.queue.finish(now, ticket, None);
            return self.put_back(now, key, connection);
        };
        let cancelled = job.arm();
        let exchange = ServerExchange {
            context: self.context.clone(),
            server: self.server.clone(),
            address: self.limits.address,
            deadline: job.deadline,
            request: BackendRequest {
                id: job.request.id,
                shard: job.request.shard.clone(),
                snapshot: job.request.snapshot,
                idempotency_key: job.request.idempotency_key.clone(),
                budget: Duration::ZERO,
                body: job.request.body.clone(),
            },
        };
        let myself = self.myself.clone();
        tokio::spawn(async move {
            let ended = exchange.run(ticket, key, connection, cancelled).await;
            // A failed send means that the actor has stopped with the process.
            let _ = myself.cast(HolderMessage::Ended(Box::new(ended)));
        });
    }

    /// Refuses an admitted request before anything of it was sent.
    fn give_back(&mut self, now: BootTime, ticket: TicketKey, reason: RefusalReason) {
        self.queue.finish(now, ticket, None);
        self.refuse(ticket, RequestOutcome::NotRun, reason, DEFAULT_RETRY_AFTER);
    }

    fn put_back(
        &mut self,
        now: BootTime,
        key: ConnectionKey,
        connection: Option<BackendConnection>,
    ) {
        match connection {
            Some(connection) if connection.is_ready() => {
                self.idle.insert(key, connection);
                self.pool.release(now, key);
            }
            Some(connection) => self.abandon(now, key, connection, None),
            None => self.pool.closed(key),
        }
    }

    fn refuse(
        &mut self,
        ticket: TicketKey,
        outcome: RequestOutcome,
        reason: RefusalReason,
        retry_after: Duration,
    ) {
        let waiting = self.queue.waiting();
        if let Some(mut job) = self.jobs.swap_remove(&ticket) {
            job.refuse(outcome, reason, retry_after, waiting);
        }
    }

    fn cancel(&mut self, now: BootTime, run: RunKey) {
        let found = self.jobs.iter().find(|(_, job)| job.run == run).map(|(ticket, _)| *ticket);
        let Some(ticket) = found else { return };
        if self.queue.cancel(now, ticket) {
            self.jobs.swap_remove(&ticket);
        } else if let Some(job) = self.jobs.get_mut(&ticket) {
            job.cancel();
        }
    }

    fn ended(&mut self, now: BootTime, ended: EndedExchange) {
        let EndedExchange { ticket, key, connection, result, took, sent } = ended;
        self.pool.opened(now, key);
        let waiting = self.queue.waiting();
        let reusable = result.reusable();
        let ran = matches!(result, BackendResult::Ran { .. });
        let deadline = self.jobs.get(&ticket).map_or(now, |job| job.deadline);
        if let Some(mut job) = self.jobs.swap_remove(&ticket) {
            self.answer(&mut job, result, took, waiting);
        }
        let may_run = sent && !reusable;
        match connection {
            Some(connection) if may_run => {
                self.abandon(now, key, connection, Some(ticket));
                self.free_later(now, deadline, ticket);
            }
            Some(connection) => {
                self.queue.finish(now, ticket, ran.then_some(took));
                self.put_back(now, key, reusable.then_some(connection));
            }
            None => {
                self.queue.finish(now, ticket, None);
                self.pool.closed(key);
            }
        }
    }

    fn answer(&self, job: &mut RunJob, result: BackendResult, took: Duration, waiting: usize) {
        match result {
            BackendResult::Ran { body, .. } => {
                job.reply(ShardResult::Body(body), waiting, took);
            }
            BackendResult::Failed { outcome, reason, retry_after, .. } => {
                if reason == RefusalReason::ServerLeaving {
                    self.context.tell_control(ControlEvent::ServerSeen {
                        server: self.server.clone(),
                        leaving: true,
                    });
                }
                let retry_after = retry_after.unwrap_or(DEFAULT_RETRY_AFTER);
                job.refuse(outcome, reason, retry_after, waiting);
            }
        }
    }

    /// Gives up a connection; it counts until the server's end is closed.
    fn abandon(
        &mut self,
        now: BootTime,
        key: ConnectionKey,
        connection: BackendConnection,
        ticket: Option<TicketKey>,
    ) {
        self.pool.abandon(now, key, BootTime::MAX);
        if ticket.is_some() {
            self.context.counters.event(NodeEvent::ConnectionsAbandoned);
        }
        let myself = self.myself.clone();
        tokio::spawn(async move {
            connection.abandon().await;
            if ticket.is_some() {
                sleep(CANCEL_MARGIN).await;
            }
            // A failed send means that the actor has stopped with the process.
            let _ = myself.cast(HolderMessage::Gone(key, ticket));
        });
    }

    /// Frees a slot once the server must have stopped at the deadline.
    fn free_later(&self, now: BootTime, deadline: BootTime, ticket: TicketKey) {
        let delay = deadline.since(now) + OVERRUN_MARGIN;
        let myself = self.myself.clone();
        tokio::spawn(async move {
            sleep(delay).await;
            // A failed send means that the actor has stopped with the process.
            let _ = myself.cast(HolderMessage::Overdue(ticket));
        });
    }

    fn opened(&mut self, now: BootTime, key: ConnectionKey, connection: Option<BackendConnection>) {
        match connection {
            Some(connection) => {
                self.pool.opened(now, key);
                self.idle.insert(key, connection);
            }
            None => self.pool.closed(key),
        }
    }

    fn probed(
        &mut self,
        now: BootTime,
        key: ConnectionKey,
        connection: BackendConnection,
        report: Option<HealthReport>,
    ) {
        let Some(report) = report else {
            return self.abandon(now, key, connection, None);
        };
        if report.is_draining() {
            let server = self.server.clone();
            self.context.tell_control(ControlEvent::ServerSeen { server, leaving: true });
        }
        self.put_back(now, key, Some(connection));
    }

    fn set_limits(&mut self, now: BootTime, limits: ServerLimits) {
        self.limits = limits;
        self.queue.set_slots(now, limits.slots);
        self.pool.set_limits(pool_limits(limits));
    }

    /// Opens, probes and closes connections as the pool asks.
    fn keep_connections(&mut self, now: BootTime) {
        while let Some(event) = self.pool.poll(now) {
            match event {
                PoolEvent::Open(key) => self.open_later(key),
                PoolEvent::Probe(key) => self.probe(now, key),
                PoolEvent::Close(key) | PoolEvent::Abandon(key) => {
                    if let Some(connection) = self.idle.swap_remove(&key) {
                        self.abandon(now, key, connection, None);
                    }
                }
            }
        }
    }

    fn open_later(&self, key: ConnectionKey) {
        let myself = self.myself.clone();
        let address = self.limits.address;
        let context = self.context.clone();
        let fence = context.write_fence(&self.server);
        tokio::spawn(async move {
            let connection = BackendConnection::open(address, fence).await.ok();
            if connection.is_some() {
                context.counters.event(NodeEvent::ConnectionsOpened);
            } else {
                // Without the pause a server that is down would be asked in a loop.
                sleep(DEFAULT_RETRY_AFTER).await;
            }
            // A failed send means that the actor has stopped with the process.
            let _ = myself.cast(HolderMessage::Opened(key, connection));
        });
    }

    fn probe(&mut self, now: BootTime, key: ConnectionKey) {
        let Some(mut connection) = self.idle.swap_remove(&key) else {
            return self.pool.closed(key);
        };
        if !connection.is_ready() {
            return self.abandon(now, key, connection, None);
        }
        let myself = self.myself.clone();
        tokio::spawn(async move {
            let report = connection.probe(PROBE_TIMEOUT).await;
            // A failed send means that the actor has stopped with the process.
            let _ = myself.cast(HolderMessage::Probed(key, connection, report));
        });
    }

    /// Closes every idle connection and reports when none is left.
    fn close_when_idle(&mut self, now: BootTime) {
        let keys: Vec<ConnectionKey> = self.idle.keys().copied().collect();
        for key in keys {
            if let Some(connection) = self.idle.swap_remove(&key) {
                self.abandon(now, key, connection, None);
            }
        }
        if self.queue.running() == 0 && self.pool.counted() == 0 {
            let server = self.server.clone();
            self.context.tell_control(ControlEvent::ServerIdle { server, idle: true });
        }
    }

    /// Makes sure that a wakeup comes when the queue or the pool needs one.
    fn schedule(&mut self, now: BootTime) {
        let queue = self.queue.next_wakeup().unwrap_or(BootTime::MAX);
        let pool = self.pool.next_wakeup().unwrap_or(BootTime::MAX);
        let due = queue.min(pool);
        if due >= self.wake_at || due == BootTime::MAX {
            return;
        }
        self.wake_at = due;
        let delay = due.since(now) + Duration::from_micros(100);
        self.myself.send_after(delay, || HolderMessage::Wake);
    }
}

/// A holder uses half of the lent connections: one that is frozen or cut off
/// keeps its connections open while its successor opens its own.
fn pool_limits(limits: ServerLimits) -> PoolLimits {
    let connections = (limits.connections / 2).max(limits.slots);
    PoolLimits {
        connections,
        warm: (limits.slots + SPARE_CONNECTIONS).min(connections),
        progress_timeout: PROGRESS_TIMEOUT,
        probe_interval: PROBE_INTERVAL,
        idle_timeout: IDLE_TIMEOUT,
    }
}
