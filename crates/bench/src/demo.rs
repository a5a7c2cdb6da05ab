//! The demonstration: a whole deployment, one search, one order, one replay.

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

/// Longest time until every node is ready and every grant is held.
const READY_TIMEOUT: Duration = Duration::from_secs(30);

/// Longest time a node may take to stop.
const STOP_TIMEOUT: Duration = Duration::from_secs(40);

/// Idempotency key of the demonstration's order.
const ORDER_KEY: &str = "demo-order-1";

/// What the demonstration found.
#[derive(Clone, Debug, Serialize)]
pub struct DemoOutcome {
    /// The answer to the search.
    pub search: Value,
    /// Shards covered and shards of the manifest.
    pub covered: (usize, usize),
    /// The answer to the order.
    pub order: Value,
    /// The answer to the same order through another node.
    pub replay: Value,
    /// Executions of the order that the backend servers recorded.
    pub order_executions: u64,
    /// Limit violations that the backend servers recorded.
    pub violations: u64,
    /// Nodes that stopped with a success status.
    pub stopped: usize,
    /// Counters summed over the nodes, without zeros.
    pub counters: IndexMap<String, u64>,
}

impl DemoOutcome {
    /// The checks that failed, as sentences.
    #[must_use]
    pub fn faults(&self) -> Vec<String> {
        let (covered, wanted) = self.covered;
        let nodes = ScenarioPlan::from(ScenarioName::Demo);
        let nodes = nodes.zones.len() * nodes.nodes_per_zone;
        let checks = [
            (covered == wanted, format!("coverage is {covered} of {wanted} shards")),
            (
                self.order_executions == 1,
                format!("the order was executed {} times", self.order_executions),
            ),
            (self.order["outcome"] == "ran", format!("the order's answer is {}", self.order)),
            (self.replay["replayed"] == true, format!("the replay's answer is {}", self.replay)),
            (self.violations == 0, format!("{} limit violations", self.violations)),
            (self.stopped == nodes, format!("{} of {nodes} nodes stopped well", self.stopped)),
        ];
        checks.into_iter().filter(|(passed, _)| !passed).map(|(_, fault)| fault).collect()
    }
}

/// Runs the demonstration and prints what happens to `output`.
///
/// # Errors
///
/// Fails when a process fails or one of the outcome's checks does.
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
    match outcome.faults().as_slice() {
        [] => Ok(outcome),
        faults => Err(BenchError::new(BenchErrorKind::Check, faults.join("; "))),
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
