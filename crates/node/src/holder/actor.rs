//! Actor that owns the queue and the connections of one backend server whose
//! grant this node holds.

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
    exchange::{FinishedExchange, ServerExchange},
    job::{RunJob, RunKey},
};
use crate::{
    backend::{BackendConnection, BackendRequest, BackendResult, HealthReport},
    context::{DEFAULT_RETRY_AFTER, NodeContext},
    counters::NodeEvent,
};

/// Idle time after which a connection is probed.
const PROBE_INTERVAL: Duration = Duration::from_secs(1);

/// Time within which a server must answer a probe.
const PROBE_TIMEOUT: Duration = Duration::from_millis(500);

/// Idle time after which a connection beyond [`PoolLimits::warm`] is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(30);

/// Time without progress after which the pool abandons a busy connection.
const PROGRESS_TIMEOUT: Duration = Duration::from_secs(120);

/// Time for which a server may still run a request after its deadline, if the
/// connection was abandoned.
const OVERRUN_MARGIN: Duration = Duration::from_millis(50);

/// Time for which a server may still run a cancelled request after it closed
/// its end of the connection.
const CANCEL_MARGIN: Duration = Duration::from_millis(20);

/// Connections kept warm in addition to one per slot.
const SPARE_CONNECTIONS: u16 = 1;

/// Address of a backend server and the limits under which this node uses it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ServerLimits {
    pub address: SocketAddr,
    /// Slots that the server's owner allows; each runs one request at a time.
    pub slots: u16,
    /// Connections that the server's owner allows.
    pub connections: u16,
    /// Largest number of requests that may wait in the queue.
    pub max_waiting: u16,
    /// Whether the server is leaving service and gets no new requests.
    pub leaving: bool,
}

/// Messages to [`HolderActor`].
#[derive(Debug)]
pub enum HolderMessage {
    /// Queue a shard request and run it.
    Run(RunJob),
    /// Cancel a run, since its requester no longer waits for the reply.
    Cancel(RunKey),
    /// An idle connection was opened, or `None` if that failed.
    Opened(ConnectionKey, Option<BackendConnection>),
    /// An exchange with the server ended.
    ExchangeEnded(Box<FinishedExchange>),
    /// A probe of an idle connection ended, with `None` if it failed.
    Probed(ConnectionKey, BackendConnection, Option<HealthReport>),
    /// An abandoned connection is closed; frees the slot of the request that was
    /// on it.
    Closed(ConnectionKey, Option<TicketKey>),
    /// The deadline of a request on an abandoned connection has passed; frees its
    /// slot.
    RequestExpired(TicketKey),
    /// Replace the server's address and limits.
    SetLimits(ServerLimits),
    /// Finish the running requests, close the connections, then report idle.
    Release,
    /// The next scheduled wakeup of the queue or the pool is due.
    Tick,
}

/// The actor type; its state is [`HolderState`].
pub(super) struct HolderActor;

/// Start arguments of [`HolderActor`].
pub(super) struct HolderArguments {
    pub(super) context: Arc<NodeContext>,
    pub(super) server: ServerName,
    pub(super) limits: ServerLimits,
}

/// State of [`HolderActor`]: queue, connections and jobs of one server.
pub(super) struct HolderState {
    context: Arc<NodeContext>,
    server: ServerName,
    limits: ServerLimits,
    queue: ServerQueue,
    pool: ConnectionPool,
    idle_connections: IndexMap<ConnectionKey, BackendConnection>,
    jobs: IndexMap<TicketKey, RunJob>,
    releasing: bool,
    /// Time of the earliest [`HolderMessage::Tick`] that is scheduled.
    next_tick: BootTime,
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
        state.process_due_events(BootTime::now());
        Ok(state)
    }

    async fn handle(
        &self,
        _myself: ActorRef<Self::Msg>,
        message: HolderMessage,
        state: &mut HolderState,
    ) -> Result<(), ActorProcessingErr> {
        let now = BootTime::now();
        state.handle_message(now, message);
        state.process_due_events(now);
        Ok(())
    }
}

impl HolderState {
    fn new(arguments: HolderArguments, myself: ActorRef<HolderMessage>) -> Self {
        let HolderArguments { context, server, limits } = arguments;
        let now = BootTime::now();
        let queue = ServerQueue::new(
            QueueLimits { slots: limits.slots, max_waiting: limits.max_waiting },
            now,
        );
        let pool = ConnectionPool::new(pool_limits(limits));
        Self {
            context,
            server,
            limits,
            queue,
            pool,
            idle_connections: IndexMap::new(),
            jobs: IndexMap::new(),
            releasing: false,
            next_tick: BootTime::MAX,
            myself,
        }
    }

    fn handle_message(&mut self, now: BootTime, message: HolderMessage) {
        match message {
            HolderMessage::Run(job) => self.enqueue(now, job),
            HolderMessage::Cancel(run) => self.cancel_run(now, run),
            HolderMessage::Opened(key, connection) => self.on_opened(now, key, connection),
            HolderMessage::ExchangeEnded(finished) => self.on_exchange_ended(now, *finished),
            HolderMessage::Probed(key, connection, report) => {
                self.on_probed(now, key, connection, report);
            }
            HolderMessage::Closed(key, ticket) => {
                self.pool.closed(key);
                if let Some(ticket) = ticket {
                    self.queue.finish(now, ticket, None);
                }
            }
            HolderMessage::RequestExpired(ticket) => self.queue.finish(now, ticket, None),
            HolderMessage::SetLimits(limits) => self.set_limits(now, limits),
            HolderMessage::Release => {
                self.releasing = true;
                self.queue.close(RefusalReason::NotHolder);
            }
            HolderMessage::Tick => self.next_tick = BootTime::MAX,
        }
    }

    /// Processes the queue and pool events that are due after a message.
    fn process_due_events(&mut self, now: BootTime) {
        while let Some(event) = self.queue.poll(now) {
            match event {
                QueueEvent::Dispatch(ticket) => self.dispatch(now, ticket),
                QueueEvent::Refused { key, reason, retry_after } => {
                    self.refuse_job(key, RequestOutcome::NotRun, reason, retry_after);
                }
            }
        }
        if self.releasing {
            self.drain_connections(now);
        } else {
            self.maintain_connections(now);
        }
        self.schedule_tick(now);
    }

    fn enqueue(&mut self, now: BootTime, mut job: RunJob) {
        if let Err(reason) = self.check_server() {
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

    /// Checks that a request may be sent to the server now.
    fn check_server(&self) -> Result<(), RefusalReason> {
        if self.limits.leaving {
            return Err(RefusalReason::ServerLeaving);
        }
        self.context.check_dispatch(&self.server)
    }

    /// Sends an admitted request, which already occupies a slot.
    fn dispatch(&mut self, now: BootTime, ticket: TicketKey) {
        if let Err(reason) = self.check_server() {
            return self.refuse_admitted(now, ticket, reason);
        }
        let (key, connection) = match self.pool.acquire(now) {
            ConnectionStep::Reuse(key) => (key, self.idle_connections.swap_remove(&key)),
            ConnectionStep::Open(key) => (key, None),
            ConnectionStep::Wait => {
                return self.refuse_admitted(now, ticket, RefusalReason::ConnectFailed);
            }
        };
        let Some(job) = self.jobs.get_mut(&ticket) else {
            // The job has no entry if it was cancelled while handling this message.
            self.queue.finish(now, ticket, None);
            return self.return_connection(now, key, connection);
        };
        let cancelled = job.create_cancel_signal();
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
            let finished = exchange.run(ticket, key, connection, cancelled).await;
            // A failed send means that the actor has stopped.
            let _ = myself.cast(HolderMessage::ExchangeEnded(Box::new(finished)));
        });
    }

    /// Refuses an admitted request of which nothing was sent, and frees its slot.
    fn refuse_admitted(&mut self, now: BootTime, ticket: TicketKey, reason: RefusalReason) {
        self.queue.finish(now, ticket, None);
        self.refuse_job(ticket, RequestOutcome::NotRun, reason, DEFAULT_RETRY_AFTER);
    }

    fn return_connection(
        &mut self,
        now: BootTime,
        key: ConnectionKey,
        connection: Option<BackendConnection>,
    ) {
        match connection {
            Some(connection) if connection.is_ready() => {
                self.idle_connections.insert(key, connection);
                self.pool.release(now, key);
            }
            Some(connection) => self.abandon_connection(now, key, connection, None),
            None => self.pool.closed(key),
        }
    }

    fn refuse_job(
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

    fn cancel_run(&mut self, now: BootTime, run: RunKey) {
        let found = self.jobs.iter().find(|(_, job)| job.run == run).map(|(ticket, _)| *ticket);
        let Some(ticket) = found else { return };
        if self.queue.cancel(now, ticket) {
            self.jobs.swap_remove(&ticket);
        } else if let Some(job) = self.jobs.get_mut(&ticket) {
            job.cancel();
        }
    }

    fn on_exchange_ended(&mut self, now: BootTime, finished: FinishedExchange) {
        let FinishedExchange { ticket, key, connection, result, duration, sent } = finished;
        // Does nothing if the exchange used a connection that was open already.
        self.pool.opened(now, key);
        let waiting = self.queue.waiting();
        let is_reusable = result.is_reusable();
        let has_run = matches!(result, BackendResult::Ran { .. });
        let deadline = self.jobs.get(&ticket).map_or(now, |job| job.deadline);
        if let Some(mut job) = self.jobs.swap_remove(&ticket) {
            self.reply_to(&mut job, result, duration, waiting);
        }
        let may_still_run = sent && !is_reusable;
        match connection {
            // The slot is freed by the earlier of two messages: `Closed`, when the
            // server's end is closed, and `RequestExpired`, after the deadline.
            Some(connection) if may_still_run => {
                self.abandon_connection(now, key, connection, Some(ticket));
                self.schedule_slot_release(now, deadline, ticket);
            }
            Some(connection) => {
                self.queue.finish(now, ticket, has_run.then_some(duration));
                self.return_connection(now, key, is_reusable.then_some(connection));
            }
            None => {
                self.queue.finish(now, ticket, None);
                self.pool.closed(key);
            }
        }
    }

    fn reply_to(
        &self,
        job: &mut RunJob,
        result: BackendResult,
        duration: Duration,
        waiting: usize,
    ) {
        match result {
            BackendResult::Ran { body, .. } => {
                job.reply(ShardResult::Body(body), waiting, duration);
            }
            BackendResult::Failed { outcome, reason, retry_after, .. } => {
                if reason == RefusalReason::ServerLeaving {
                    self.context.send_control_event(ControlEvent::ServerObserved {
                        server: self.server.clone(),
                        leaving: true,
                    });
                }
                let retry_after = retry_after.unwrap_or(DEFAULT_RETRY_AFTER);
                job.refuse(outcome, reason, retry_after, waiting);
            }
        }
    }

    /// Abandons a connection. It counts towards the pool's limit until the
    /// server's end is closed.
    fn abandon_connection(
        &mut self,
        now: BootTime,
        key: ConnectionKey,
        connection: BackendConnection,
        ticket: Option<TicketKey>,
    ) {
        self.pool.abandon(now, key, BootTime::MAX);
        if ticket.is_some() {
            self.context.counters.count_event(NodeEvent::ConnectionsAbandoned);
        }
        let myself = self.myself.clone();
        tokio::spawn(async move {
            if !connection.abandon().await {
                log::warn!("a server has not closed its end of an abandoned connection in time");
            }
            if ticket.is_some() {
                sleep(CANCEL_MARGIN).await;
            }
            // A failed send means that the actor has stopped.
            let _ = myself.cast(HolderMessage::Closed(key, ticket));
        });
    }

    /// Frees a request's slot [`OVERRUN_MARGIN`] after its deadline, when the
    /// server must have stopped running it.
    fn schedule_slot_release(&self, now: BootTime, deadline: BootTime, ticket: TicketKey) {
        let delay = deadline.since(now) + OVERRUN_MARGIN;
        let myself = self.myself.clone();
        tokio::spawn(async move {
            sleep(delay).await;
            // A failed send means that the actor has stopped.
            let _ = myself.cast(HolderMessage::RequestExpired(ticket));
        });
    }

    fn on_opened(
        &mut self,
        now: BootTime,
        key: ConnectionKey,
        connection: Option<BackendConnection>,
    ) {
        match connection {
            Some(connection) => {
                self.pool.opened(now, key);
                self.idle_connections.insert(key, connection);
            }
            None => self.pool.closed(key),
        }
    }

    fn on_probed(
        &mut self,
        now: BootTime,
        key: ConnectionKey,
        connection: BackendConnection,
        report: Option<HealthReport>,
    ) {
        let Some(report) = report else {
            return self.abandon_connection(now, key, connection, None);
        };
        if report.is_draining() {
            let server = self.server.clone();
            self.context.send_control_event(ControlEvent::ServerObserved { server, leaving: true });
        }
        self.return_connection(now, key, Some(connection));
    }

    fn set_limits(&mut self, now: BootTime, limits: ServerLimits) {
        self.limits = limits;
        self.queue.set_slots(now, limits.slots);
        self.pool.set_limits(pool_limits(limits));
    }

    /// Opens, probes and closes connections as the pool requires.
    fn maintain_connections(&mut self, now: BootTime) {
        while let Some(event) = self.pool.poll(now) {
            match event {
                PoolEvent::Open(key) => self.open_connection(key),
                PoolEvent::Probe(key) => self.probe_connection(now, key),
                PoolEvent::Close(key) | PoolEvent::Abandon(key) => {
                    if let Some(connection) = self.idle_connections.swap_remove(&key) {
                        self.abandon_connection(now, key, connection, None);
                    }
                }
            }
        }
    }

    fn open_connection(&self, key: ConnectionKey) {
        let myself = self.myself.clone();
        let address = self.limits.address;
        let context = self.context.clone();
        let fence = context.write_fence(&self.server);
        tokio::spawn(async move {
            let connection = BackendConnection::open(address, fence).await.ok();
            if connection.is_some() {
                context.counters.count_event(NodeEvent::ConnectionsOpened);
            } else {
                // Without the delay, connecting to a server that is down would be
                // retried in a tight loop.
                sleep(DEFAULT_RETRY_AFTER).await;
            }
            // A failed send means that the actor has stopped.
            let _ = myself.cast(HolderMessage::Opened(key, connection));
        });
    }

    fn probe_connection(&mut self, now: BootTime, key: ConnectionKey) {
        let Some(mut connection) = self.idle_connections.swap_remove(&key) else {
            return self.pool.closed(key);
        };
        if !connection.is_ready() {
            return self.abandon_connection(now, key, connection, None);
        }
        let myself = self.myself.clone();
        tokio::spawn(async move {
            let report = connection.probe(PROBE_TIMEOUT).await;
            // A failed send means that the actor has stopped.
            let _ = myself.cast(HolderMessage::Probed(key, connection, report));
        });
    }

    /// Closes every idle connection, and reports the server idle once no request
    /// runs and no connection is counted.
    fn drain_connections(&mut self, now: BootTime) {
        let keys: Vec<ConnectionKey> = self.idle_connections.keys().copied().collect();
        for key in keys {
            if let Some(connection) = self.idle_connections.swap_remove(&key) {
                self.abandon_connection(now, key, connection, None);
            }
        }
        if self.queue.running() == 0 && self.pool.counted_connections() == 0 {
            let server = self.server.clone();
            self.context.send_control_event(ControlEvent::ServerIdle { server, idle: true });
        }
    }

    /// Schedules a tick for the next wakeup of the queue or the pool.
    fn schedule_tick(&mut self, now: BootTime) {
        let queue = self.queue.next_wakeup().unwrap_or(BootTime::MAX);
        let pool = self.pool.next_wakeup().unwrap_or(BootTime::MAX);
        let due = queue.min(pool);
        if due >= self.next_tick || due == BootTime::MAX {
            return;
        }
        self.next_tick = due;
        let delay = due.since(now) + Duration::from_micros(100);
        self.myself.send_after(delay, || HolderMessage::Tick);
    }
}

/// Returns the pool's limits, with half of the server's connections.
///
/// The other half is left for a successor: a holder that is frozen or
/// partitioned keeps its connections open while the successor opens its own.
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
