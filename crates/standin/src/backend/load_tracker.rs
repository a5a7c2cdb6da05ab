//! Tracks the running requests, connections and executions of a backend server.

use std::time::{SystemTime, UNIX_EPOCH};

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};
use tokio::time::Instant;

/// Maximum number of ids and keys in [`ServerReport::executions`].
///
/// Further ones are only counted, in [`ServerReport::unrecorded`].
const MAX_RECORDED_EXECUTIONS: usize = 200_000;

/// Requests and connections that a backend server counted since it started.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServerReport {
    /// Requests whose execution started.
    pub executed: u64,
    /// Requests whose execution completed.
    pub completed: u64,
    /// Requests whose execution was stopped because the connection closed or the deadline passed.
    pub cancelled: u64,
    /// Number of executions started, by request id and by idempotency key.
    pub executions: IndexMap<String, u32>,
    /// Request ids and idempotency keys of started executions that are missing from `executions`
    /// because it is full.
    pub unrecorded: u64,
    /// Requests that are running now.
    pub running: u32,
    /// Highest number of requests that ran at the same time.
    pub peak_running: u32,
    /// Connections that are open now.
    pub connections: u32,
    /// Highest number of connections that were open at the same time.
    pub peak_connections: u32,
    /// Connections opened since the start.
    pub connections_opened: u64,
    /// Number of requests started and connections opened above the slot or connection limit.
    pub violations: u64,
    /// Requests rejected as overload.
    pub shed: u64,
    /// Requests rejected because the server is draining.
    pub draining: u64,
    /// Requests rejected because the server does not hold their snapshot.
    pub wrong_snapshot: u64,
    /// Requests or responses that were withheld because their connection was silent.
    pub silenced: u64,
}

/// Maintains the [`ServerReport`] and counts violations of the limits.
#[derive(Debug)]
pub(crate) struct LoadTracker {
    /// Counts since the server started.
    pub(crate) report: ServerReport,
    /// Running requests by the number of their execution.
    running: IndexMap<u64, ExecutionStart>,
    slot_limit: u32,
    connection_limit: u32,
}

/// A request whose execution starts.
#[derive(Clone, Debug)]
pub(crate) struct ExecutionStart {
    /// Id of the request.
    pub(crate) request_id: String,
    /// Id of the connection that the request arrived on.
    pub(crate) connection_id: u64,
    /// Start of the execution.
    pub(crate) started: Instant,
    /// When the execution is stopped, if it has a deadline.
    pub(crate) deadline: Option<Instant>,
}

impl LoadTracker {
    pub(crate) fn new(slot_limit: u32, connection_limit: u32) -> Self {
        Self {
            report: ServerReport::default(),
            running: IndexMap::new(),
            slot_limit,
            connection_limit,
        }
    }

    /// Records a new connection and returns its id, numbered from zero.
    pub(crate) fn open_connection(&mut self) -> u64 {
        let report = &mut self.report;
        let id = report.connections_opened;
        report.connections_opened += 1;
        report.connections += 1;
        report.peak_connections = report.peak_connections.max(report.connections);
        if report.connections > self.connection_limit {
            report.violations += 1;
        }
        id
    }

    /// Records that a connection closed.
    pub(crate) fn close_connection(&mut self) {
        self.report.connections -= 1;
    }

    /// Records that the execution of a request starts; returns its number.
    pub(crate) fn start_execution(
        &mut self,
        start: ExecutionStart,
        idempotency_key: Option<&str>,
    ) -> u64 {
        let report = &mut self.report;
        report.executed += 1;
        report.running += 1;
        report.peak_running = report.peak_running.max(report.running);
        let number = report.executed;
        let is_violation = report.running > self.slot_limit;
        if is_violation {
            report.violations += 1;
        }
        for key in [Some(start.request_id.as_str()), idempotency_key].into_iter().flatten() {
            self.record_execution(key);
        }
        self.running.insert(number, start);
        if is_violation {
            self.print_violation();
        }
        number
    }

    /// Prints the running requests, from which the cause of a violation can be told.
    fn print_violation(&self) {
        let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        eprintln!(
            "violation at {} ms: {} requests run on {} slots",
            since_epoch.as_millis(),
            self.running.len(),
            self.slot_limit
        );
        for start in self.running.values() {
            let left = start.deadline.map(|deadline| deadline.duration_since(Instant::now()));
            eprintln!(
                "  request {} on connection {}: runs for {:?}, deadline in {left:?}",
                start.request_id,
                start.connection_id,
                start.started.elapsed(),
            );
        }
    }

    fn record_execution(&mut self, key: &str) {
        let report = &mut self.report;
        if let Some(count) = report.executions.get_mut(key) {
            *count += 1;
        } else if report.executions.len() < MAX_RECORDED_EXECUTIONS {
            report.executions.insert(key.to_owned(), 1);
        } else {
            report.unrecorded += 1;
        }
    }

    /// Records that the execution of a request completed or was stopped.
    pub(crate) fn finish_execution(&mut self, number: u64, completed: bool) {
        self.running.swap_remove(&number);
        self.report.running -= 1;
        if completed {
            self.report.completed += 1;
        } else {
            self.report.cancelled += 1;
        }
    }
}
