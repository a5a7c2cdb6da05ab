//! The demo: a whole deployment, one search, one order and one replay.

use std::{io::Write, time::Duration};

use indexmap::IndexMap;
use serde::Serialize;
use serde_json::{Value, json};

use crate::{
    deployment::{Deployment, DeploymentOptions},
    error::{BenchError, BenchErrorKind},
    http::{HttpAnswer, HttpCall},
    process::ProcessSignal,
    scenario::{ScenarioName, ScenarioPlan},
};

/// Timeout until every node is ready and every grant is held.
const READY_TIMEOUT: Duration = Duration::from_secs(30);

/// Timeout for a node to exit.
const STOP_TIMEOUT: Duration = Duration::from_secs(40);

/// Idempotency key of the demo's order.
const ORDER_KEY: &str = "demo-order-1";

/// Results of the demo.
#[derive(Clone, Debug, Serialize)]
pub struct DemoOutcome {
    /// Response body of the search.
    pub search: Value,
    /// Number of covered shards, and number of shards in the manifest.
    pub covered: (usize, usize),
    /// Response body of the order.
    pub order: Value,
    /// Response body of the same order, sent again through another node.
    pub replay: Value,
    /// Number of executions of the order that the backend servers recorded.
    pub order_executions: u64,
    /// Number of limit violations that the backend servers recorded.
    pub violations: u64,
    /// Number of nodes that exited with a success status.
    pub stopped: usize,
    /// Counters summed over the nodes; those that are zero are omitted.
    pub counters: IndexMap<String, u64>,
}

impl DemoOutcome {
    /// Returns one message for each failed check.
    #[must_use]
    pub fn failed_checks(&self) -> Vec<String> {
        let (covered, total) = self.covered;
        let nodes = ScenarioPlan::from(ScenarioName::Demo);
        let nodes = nodes.zones.len() * nodes.nodes_per_zone;
        let checks = [
            (covered == total, format!("coverage is {covered} of {total} shards")),
            (
                self.order_executions == 1,
                format!("the order was executed {} times", self.order_executions),
            ),
            (
                self.order["outcome"] == "ran",
                format!("the response to the order is {}", self.order),
            ),
            (
                self.replay["replayed"] == true,
                format!("the response to the replay is {}", self.replay),
            ),
            (self.violations == 0, format!("{} limit violations", self.violations)),
            (
                self.stopped == nodes,
                format!("{} of {nodes} nodes exited with success", self.stopped),
            ),
        ];
        checks.into_iter().filter(|(passed, _)| !passed).map(|(_, message)| message).collect()
    }
}

/// Runs the demo and prints its steps to `output`.
///
/// # Errors
///
/// Fails when a process fails, or when a check of the results fails.
pub async fn run_demo(
    options: DeploymentOptions,
    output: &mut impl Write,
) -> Result<DemoOutcome, BenchError> {
    let mut deployment = Deployment::start(ScenarioPlan::from(ScenarioName::Demo), options).await?;
    print(output, "nodes", &deployment.nodes.len())?;
    print(output, "backend servers", &deployment.servers.len())?;
    deployment.wait_ready(READY_TIMEOUT).await?;

    let search = search(&deployment).await?.json();
    print(output, "answer", &search["results"])?;
    print(output, "coverage", &search["coverage"])?;
    let order = send_order(&deployment, 0).await?.json();
    print(output, "order", &order)?;
    let replay = send_order(&deployment, 1).await?.json();
    print(output, "replay", &replay)?;

    let mut counters = deployment.counters().await;
    counters.retain(|_, value| *value > 0);
    let stopped = stop_nodes(&mut deployment).await?;
    let outcome = DemoOutcome {
        covered: (
            count(&search["coverage"]["covered"]),
            deployment.plan.searched_services().count(),
        ),
        search,
        order,
        replay,
        order_executions: order_executions(&deployment).await?,
        violations: violations(&deployment).await?,
        stopped,
        counters,
    };
    for (name, value) in &outcome.counters {
        print(output, name, value)?;
    }
    print(output, "order executions", &outcome.order_executions)?;
    print(output, "limit violations", &outcome.violations)?;
    match outcome.failed_checks().as_slice() {
        [] => Ok(outcome),
        failed_checks => Err(BenchError::new(BenchErrorKind::Check, failed_checks.join("; "))),
    }
}

async fn search(deployment: &Deployment) -> Result<HttpAnswer, BenchError> {
    let path = format!("/v1/search/{}", deployment.plan.index);
    let call = HttpCall::post(&path, &json!({"chest": 102, "garment": "jacket"}));
    deployment.client.send(deployment.nodes[0].callers, &call).await
}

async fn send_order(deployment: &Deployment, node: usize) -> Result<HttpAnswer, BenchError> {
    let path = format!("/v1/services/{}", deployment.plan.order_service);
    let call = HttpCall::post(&path, &json!({"garment": "blazer", "size": "102R"}))
        .header("idempotency-key", ORDER_KEY);
    deployment.client.send(deployment.nodes[node].callers, &call).await
}

async fn order_executions(deployment: &Deployment) -> Result<u64, BenchError> {
    let mut executions = 0;
    for server in &deployment.servers {
        let report = server.report(&deployment.client).await?;
        executions += report.executions.get(ORDER_KEY).copied().unwrap_or(0);
    }
    Ok(executions)
}

async fn violations(deployment: &Deployment) -> Result<u64, BenchError> {
    let mut violations = 0;
    for server in &deployment.servers {
        violations += server.summary(&deployment.client).await?.violations;
    }
    Ok(violations)
}

async fn stop_nodes(deployment: &mut Deployment) -> Result<usize, BenchError> {
    for position in 0..deployment.nodes.len() {
        deployment.signal_node(position, ProcessSignal::Terminate)?;
    }
    let mut stopped = 0;
    for position in 0..deployment.nodes.len() {
        stopped += usize::from(deployment.wait_node(position, STOP_TIMEOUT).await?);
    }
    Ok(stopped)
}

fn count(list: &Value) -> usize {
    list.as_array().map_or(0, Vec::len)
}

fn print(output: &mut impl Write, name: &str, value: &impl Serialize) -> Result<(), BenchError> {
    let value = serde_json::to_string(value)
        .map_err(|error| BenchError::new(BenchErrorKind::Output, error.to_string()))?;
    writeln!(output, "{name}: {value}")
        .map_err(|error| BenchError::new(BenchErrorKind::Output, error.to_string()))
}
