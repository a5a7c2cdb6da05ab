//! What a backend server has seen: running requests, connections, executions.

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

/// Executions that are recorded one by one; later ones are only counted.
const MAX_RECORDED_EXECUTIONS: usize = 200_000;

/// What a backend server has seen.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServerReport {
    /// Requests whose work was started.
    pub executed: u64,
    /// Requests whose work came to its end.
    pub completed: u64,
    /// Requests whose work was stopped, because the connection closed or the deadline passed.
    pub cancelled: u64,
    /// Started work by request id and by idempotency key.
    pub executions: IndexMap<String, u32>,
    /// Started work that is counted in `executed` but not listed in `executions`.
    pub unrecorded: u64,
    /// Requests that run now.
    pub running: u32,
    /// Most requests that ran at a time.
    pub peak_running: u32,
    /// Connections that are open now.
    pub connections: u32,
    /// Most connections that were open at a time.
    pub peak_connections: u32,
    /// Connections opened since the start.
    pub connections_opened: u64,
    /// Times that running requests or open connections went past what was lent.
    pub violations: u64,
    /// Requests refused as overload.
    pub shed: u64,
    /// Requests refused because the server leaves.
    pub draining: u64,
    /// Requests refused because of their snapshot.
    pub wrong_snapshot: u64,
    /// Requests that reached a silent connection.
    pub silenced: u64,
}

/// The report under construction, with the lent limits.
#[derive(Debug)]
pub(crate) struct LoadLedger {
    /// What was seen so far.
    pub(crate) report: ServerReport,
    slots: u32,
    connections: u32,
}

impl LoadLedger {
    /// Starts with nothing seen.
    pub(crate) fn new(slots: u32, connections: u32) -> Self {
        Self { report: ServerReport::default(), slots, connections }
    }

    /// Notes a new connection and returns its number, counted from zero.
    pub(crate) fn open_connection(&mut self) -> u64 {
        let report = &mut self.report;
        let id = report.connections_opened;
        report.connections_opened += 1;
        report.connections += 1;
        report.peak_connections = report.peak_connections.max(report.connections);
        if report.connections > self.connections {
            report.violations += 1;
        }
        id
    }

    /// Notes the end of a connection.
    pub(crate) fn close_connection(&mut self) {
        self.report.connections -= 1;
    }

    /// Notes that the work of a request starts.
    pub(crate) fn start(&mut self, request_id: &str, idempotency_key: Option<&str>) {
        let report = &mut self.report;
        report.executed += 1;
        report.running += 1;
        report.peak_running = report.peak_running.max(report.running);
        if report.running > self.slots {
            report.violations += 1;
        }
        for key in [Some(request_id), idempotency_key].into_iter().flatten() {
            self.record(key);
        }
    }

    fn record(&mut self, key: &str) {
        let report = &mut self.report;
        if let Some(count) = report.executions.get_mut(key) {
            *count += 1;
        } else if report.executions.len() < MAX_RECORDED_EXECUTIONS {
            report.executions.insert(key.to_owned(), 1);
        } else {
            report.unrecorded += 1;
        }
    }

    /// Notes that the work of a request came to its end or was stopped.
    pub(crate) fn finish(&mut self, completed: bool) {
        self.report.running -= 1;
        if completed {
            self.report.completed += 1;
        } else {
            self.report.cancelled += 1;
        }
    }
}
