//! Runs the work of one request, and stops it when nobody waits for it.

use std::{sync::Arc, time::Duration};

use tokio::{
    sync::oneshot,
    time::{Instant, sleep, sleep_until},
};

use super::state::ServerState;

/// How the work of a request ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum WorkEnd {
    /// The work is done.
    Completed,
    /// The deadline passed first.
    DeadlinePassed,
}

/// Counts a request as running while it lives.
struct RunningRequest {
    state: Arc<ServerState>,
    completed: bool,
}

impl Drop for RunningRequest {
    fn drop(&mut self) {
        self.state.ledger().finish(self.completed);
    }
}

/// Does the work of a request in a task of its own.
///
/// When the caller stops waiting, the connection closed: the work stops after
/// the server's cancellation delay. On a silent connection the server never
/// learns of it and the work goes on.
pub(crate) async fn run(
    state: &Arc<ServerState>,
    connection_id: u64,
    request_id: &str,
    idempotency_key: Option<&str>,
    deadline: Option<Instant>,
) -> WorkEnd {
    let work = state.draw_service_time();
    state.ledger().start(request_id, idempotency_key);
    let running = RunningRequest { state: Arc::clone(state), completed: false };
    let (ended, end) = oneshot::channel();
    tokio::spawn(do_work(running, connection_id, work, deadline, ended));
    end.await.unwrap_or(WorkEnd::DeadlinePassed)
}

async fn do_work(
    mut running: RunningRequest,
    connection_id: u64,
    work: Duration,
    deadline: Option<Instant>,
    mut ended: oneshot::Sender<WorkEnd>,
) {
    let state = Arc::clone(&running.state);
    let cancelled = async {
        ended.closed().await;
        if state.is_silent(connection_id) {
            std::future::pending::<()>().await;
        }
        sleep(state.settings().cancel_delay()).await;
    };
    let passed = async {
        match deadline {
            Some(deadline) => sleep_until(deadline).await,
            None => std::future::pending().await,
        }
    };
    let end = tokio::select! {
        biased;
        () = state.pause(work) => WorkEnd::Completed,
        () = passed => WorkEnd::DeadlinePassed,
        () = cancelled => return,
    };
    running.completed = end == WorkEnd::Completed;
    // The slot is free before the reply leaves, as on a real server.
    drop(running);
    let _ = ended.send(end);
}
