//! One exchange with a backend server.

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

/// How an exchange with the server ended.
#[derive(Debug)]
pub struct EndedExchange {
    pub(super) ticket: TicketKey,
    pub(super) key: ConnectionKey,
    pub(super) connection: Option<BackendConnection>,
    pub(super) result: BackendResult,
    pub(super) took: Duration,
    /// Whether any part of the request may have reached the server.
    pub(super) sent: bool,
}

/// One exchange with the server, from connecting to the whole reply.
pub(super) struct ServerExchange {
    pub(super) context: Arc<NodeContext>,
    pub(super) server: ServerName,
    pub(super) address: SocketAddr,
    pub(super) deadline: BootTime,
    pub(super) request: BackendRequest,
}

impl ServerExchange {
    /// Runs the exchange; nothing is sent once `cancelled` is closed.
    pub(super) async fn run(
        mut self,
        ticket: TicketKey,
        key: ConnectionKey,
        connection: Option<BackendConnection>,
        cancelled: oneshot::Receiver<()>,
    ) -> EndedExchange {
        let mut connection = match connection {
            Some(connection) => Some(connection),
            None => self.open().await,
        };
        let started = BootTime::now();
        let (result, sent) = match connection.as_mut() {
            Some(connection) => self.exchange(connection, cancelled).await,
            None => (not_run(RefusalReason::ConnectFailed), false),
        };
        let took = BootTime::now().since(started);
        EndedExchange { ticket, key, connection, result, took, sent }
    }

    async fn open(&self) -> Option<BackendConnection> {
        let connection =
            BackendConnection::open(self.address, self.context.write_fence(&self.server))
                .await
                .ok()?;
        self.context.counters.event(NodeEvent::ConnectionsOpened);
        Some(connection)
    }

    async fn exchange(
        &mut self,
        connection: &mut BackendConnection,
        mut cancelled: oneshot::Receiver<()>,
    ) -> (BackendResult, bool) {
        // The lease may have lapsed while the connection was opened.
        if let Err(reason) = self.context.may_dispatch(&self.server) {
            return (not_run(reason), false);
        }
        self.request.budget = self.deadline.since(BootTime::now());
        if self.request.budget.is_zero() {
            return (not_run(RefusalReason::DeadlinePassed), false);
        }
        if !matches!(cancelled.try_recv(), Err(oneshot::error::TryRecvError::Empty)) {
            return (not_run(RefusalReason::Cancelled), false);
        }
        self.context.counters.event(NodeEvent::ServerDispatches);
        tokio::select! {
            result = connection.exchange(&self.request) => (result, true),
            _ = cancelled => (unknown(RefusalReason::Cancelled), true),
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

const fn unknown(reason: RefusalReason) -> BackendResult {
    BackendResult::Failed {
        outcome: RequestOutcome::Unknown,
        reason,
        retry_after: None,
        reusable: false,
    }
}
