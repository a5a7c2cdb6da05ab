//! Simulates the execution of one request, and cancels it when its client disconnects.

use std::{sync::Arc, time::Duration};

use tokio::{
    sync::oneshot,
    time::{Instant, sleep, sleep_until},
};

use super::{load_tracker::ExecutionStart, state::ServerState};

/// How the execution of a request ended, unless it was cancelled.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ExecutionOutcome {
    /// The execution completed.
    Completed,
    /// The deadline passed before the execution completed.
    DeadlinePassed,
}

/// A running request; counted as running until it is dropped.
struct RunningRequest {
    state: Arc<ServerState>,
    /// Number of the execution.
    number: u64,
    completed: bool,
}

impl Drop for RunningRequest {
    fn drop(&mut self) {
        self.state.tracker().finish_execution(self.number, self.completed);
    }
}

/// Executes a request in a separate task and waits for its outcome.
///
/// When this future is dropped because the connection closed, the execution
/// stops after the server's cancellation delay. On a silent connection the
/// server does not detect the close, and the execution continues.
pub(crate) async fn run(
    state: &Arc<ServerState>,
    connection_id: u64,
    request_id: &str,
    idempotency_key: Option<&str>,
    deadline: Option<Instant>,
) -> ExecutionOutcome {
    let service_time = state.draw_service_time();
    let start = ExecutionStart {
        request_id: request_id.to_owned(),
        connection_id,
        started: Instant::now(),
        deadline,
    };
    let number = state.tracker().start_execution(start, idempotency_key);
    let running = RunningRequest { state: Arc::clone(state), number, completed: false };
    let (outcome_tx, outcome_rx) = oneshot::channel();
    tokio::spawn(execute(running, connection_id, service_time, deadline, outcome_tx));
    // `execute` sends no outcome only after a cancellation, when nobody waits for it.
    outcome_rx.await.unwrap_or(ExecutionOutcome::DeadlinePassed)
}

async fn execute(
    mut running: RunningRequest,
    connection_id: u64,
    service_time: Duration,
    deadline: Option<Instant>,
    mut outcome_tx: oneshot::Sender<ExecutionOutcome>,
) {
    let state = Arc::clone(&running.state);
    let cancelled = async {
        outcome_tx.closed().await;
        if state.is_silent(connection_id) {
            std::future::pending::<()>().await;
        }
        sleep(state.settings().cancel_delay()).await;
    };
    let deadline_passed = async {
        match deadline {
            Some(deadline) => sleep_until(deadline).await,
            None => std::future::pending().await,
        }
    };
    let outcome = tokio::select! {
        biased;
        () = state.pause(service_time) => ExecutionOutcome::Completed,
        () = deadline_passed => ExecutionOutcome::DeadlinePassed,
        () = cancelled => return,
    };
    running.completed = outcome == ExecutionOutcome::Completed;
    // Free the slot before the response is sent, as a real server does.
    drop(running);
    let _ = outcome_tx.send(outcome);
}
