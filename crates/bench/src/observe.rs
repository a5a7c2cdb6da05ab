//! Reads usage and counters of a deployment before and after a load, and computes
//! the difference.

use std::time::Duration;

use indexmap::IndexMap;
use serde::Serialize;
use serde_json::Value;

use crate::{
    deployment::Deployment, error::BenchError, http::HttpCall, server::ServerReport,
    usage::ProcessUsage,
};

/// Usage, reports and counters of a deployment's processes at one time.
#[derive(Clone, Debug, Default)]
pub struct DeploymentReading {
    usage: IndexMap<String, ProcessUsage>,
    reports: IndexMap<String, ServerReport>,
    services: IndexMap<String, String>,
    counters: IndexMap<String, u64>,
    calls: IndexMap<String, u64>,
}

/// Difference between two readings.
#[derive(Clone, Debug, Default, Serialize)]
pub struct DeploymentCost {
    /// CPU and memory usage of each node.
    pub nodes: IndexMap<String, NodeCost>,
    /// Number of executions by service.
    pub executed: IndexMap<String, u64>,
    /// Limit violations that the backend servers recorded since their start.
    pub violations: u64,
    /// Requests that the backend servers shed.
    pub shed: u64,
    /// Connections opened to the backend servers.
    pub connections_opened: u64,
    /// Largest number of concurrent connections at one backend server since its
    /// start.
    pub peak_connections: u64,
    /// Increases of the counters, summed over the nodes; those that are zero are
    /// omitted.
    pub counters: IndexMap<String, u64>,
    /// Number of calls to the platform, by kind.
    pub platform_calls: IndexMap<String, u64>,
}

/// Resource usage of one node between two readings.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct NodeCost {
    /// Mean CPU usage in cores.
    pub cores: f64,
    /// Resident memory at the second reading, in bytes.
    pub resident_bytes: u64,
}

impl DeploymentReading {
    /// Reads usage, reports and counters of every process.
    ///
    /// # Errors
    ///
    /// Fails when a backend server or the platform does not respond.
    pub async fn read(deployment: &mut Deployment) -> Result<Self, BenchError> {
        let mut reading = Self { counters: deployment.counters().await, ..Self::default() };
        for node in &deployment.nodes {
            let Some(process) = node.process else { continue };
            let usage = ProcessUsage::read(deployment.group.pid(process));
            reading.usage.insert(node.name.clone(), usage.unwrap_or_default());
        }
        for server in &deployment.servers {
            let report = server.summary(&deployment.client).await?;
            reading.reports.insert(server.name.clone(), report);
            reading.services.insert(server.name.clone(), server.service.clone());
        }
        let calls = HttpCall::get("/standin/calls");
        let calls = deployment.client.call_json(deployment.platform, &calls).await?;
        flatten("", &calls, &mut reading.calls);
        Ok(reading)
    }

    /// Returns the difference from an earlier reading that was made `interval` before
    /// this one.
    #[must_use]
    pub fn since(&self, earlier: &Self, interval: Duration) -> DeploymentCost {
        let mut cost = DeploymentCost {
            counters: increases(&self.counters, &earlier.counters),
            platform_calls: increases(&self.calls, &earlier.calls),
            ..DeploymentCost::default()
        };
        for (node, usage) in &self.usage {
            let before = earlier.usage.get(node).copied().unwrap_or_default();
            let cores = usage.cpu.saturating_sub(before.cpu).as_secs_f64() / interval.as_secs_f64();
            let resident_bytes = usage.resident_bytes;
            cost.nodes.insert(node.clone(), NodeCost { cores, resident_bytes });
        }
        for (server, report) in &self.reports {
            let before = earlier.reports.get(server).cloned().unwrap_or_default();
            let service = self.services[server].clone();
            *cost.executed.entry(service).or_default() +=
                report.executed.saturating_sub(before.executed);
            cost.violations += report.violations;
            cost.shed += report.shed.saturating_sub(before.shed);
            cost.connections_opened +=
                report.connections_opened.saturating_sub(before.connections_opened);
            cost.peak_connections = cost.peak_connections.max(report.peak_connections);
        }
        cost
    }
}

/// Returns the counters that have increased, with their increases.
fn increases(
    after: &IndexMap<String, u64>,
    before: &IndexMap<String, u64>,
) -> IndexMap<String, u64> {
    let mut changes = IndexMap::new();
    for (name, value) in after {
        let change = value.saturating_sub(before.get(name).copied().unwrap_or(0));
        if change > 0 {
            changes.insert(name.clone(), change);
        }
    }
    changes
}

/// Collects the numbers of a JSON tree under their slash-separated paths.
fn flatten(path: &str, value: &Value, numbers: &mut IndexMap<String, u64>) {
    if let Some(number) = value.as_u64() {
        numbers.insert(path.to_owned(), number);
        return;
    }
    for (name, value) in value.as_object().into_iter().flatten() {
        let path = if path.is_empty() { name.clone() } else { format!("{path}/{name}") };
        flatten(&path, value, numbers);
    }
}
