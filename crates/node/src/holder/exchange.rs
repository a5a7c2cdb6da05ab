//! Sends one request to a backend server and reads the reply.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use carobstep_clock::BootTime;
use carobstep_config::ServerName;
use carobstep_dispatch::{ConnectionKey, TicketKey};
use carobstep_wire::{RefusalReason, RequestOutcome};
use tokio::sync::oneshot;

use crate::{
    backend::{BackendConnection, BackendRequest, BackendResult},
    context::NodeContext,
    counters::NodeEvent,
};

/// A finished exchange: its result, and the connection that it used.
#[derive(Debug)]
pub struct FinishedExchange {
    pub(super) ticket: TicketKey,
    pub(super) key: ConnectionKey,
    pub(super) connection: Option<BackendConnection>,
    pub(super) result: BackendResult,
    /// Time from sending the request to the end of the exchange.
    pub(super) duration: Duration,
    /// Whether any part of the request may have reached the server.
    pub(super) sent: bool,
}

/// One request to the server, from opening a connection if needed to the
/// complete reply.
pub(super) struct ServerExchange {
    pub(super) context: Arc<NodeContext>,
    pub(super) server: ServerName,
    pub(super) address: SocketAddr,
    pub(super) deadline: BootTime,
    pub(super) request: BackendRequest,
}

impl ServerExchange {
    /// Runs the exchange until it ends or the sender of `cancelled` is dropped.
    /// Nothing is sent if the sender was dropped before the request starts.
    pub(super) async fn run(
        mut self,
        ticket: TicketKey,
        key: ConnectionKey,
        connection: Option<BackendConnection>,
        cancelled: oneshot::Receiver<()>,
    ) -> FinishedExchange {
        let mut connection = match connection {
            Some(connection) => Some(connection),
            None => self.open().await,
        };
        let started = BootTime::now();
        let (result, sent) = match connection.as_mut() {
            Some(connection) => self.exchange(connection, cancelled).await,
            None => (not_run(RefusalReason::ConnectFailed), false),
        };
        let duration = BootTime::now().since(started);
        FinishedExchange { ticket, key, connection, result, duration, sent }
    }

    async fn open(&self) -> Option<BackendConnection> {
        let connection =
            BackendConnection::open(self.address, self.context.write_fence(&self.server))
                .await
                .ok()?;
        self.context.counters.count_event(NodeEvent::ConnectionsOpened);
        Some(connection)
    }

    async fn exchange(
        &mut self,
        connection: &mut BackendConnection,
        mut cancelled: oneshot::Receiver<()>,
    ) -> (BackendResult, bool) {
        // The lease may have expired while the connection was being opened.
        if let Err(reason) = self.context.check_dispatch(&self.server) {
            return (not_run(reason), false);
        }
        self.request.budget = self.deadline.since(BootTime::now());
        if self.request.budget.is_zero() {
            return (not_run(RefusalReason::DeadlinePassed), false);
        }
        if !matches!(cancelled.try_recv(), Err(oneshot::error::TryRecvError::Empty)) {
            return (not_run(RefusalReason::Cancelled), false);
        }
        self.context.counters.count_event(NodeEvent::ServerDispatches);
        tokio::select! {
            result = connection.exchange(&self.request) => (result, true),
            _ = cancelled => (unknown_outcome(RefusalReason::Cancelled), true),
        }
    }
}

const fn not_run(reason: RefusalReason) -> BackendResult {
    BackendResult::Failed {
        outcome: RequestOutcome::NotRun,
        reason,
        retry_after: None,
        reusable: true,
    }
}

const fn unknown_outcome(reason: RefusalReason) -> BackendResult {
    BackendResult::Failed {
        outcome: RequestOutcome::Unknown,
        reason,
        retry_after: None,
        reusable: false,
    }
}
