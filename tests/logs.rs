//! Checks that every line of a node's log is a JSON object with the node and the
//! zone, and that the line about a refused request has the request's identifier.

use std::{env, fs, path::Path, process, time::Duration};

use carobstep_bench::{
    Deployment, DeploymentOptions, HttpCall, ProcessSignal, ScenarioName, ScenarioPlan,
};
use serde_json::{Value, json};

/// Longest wait for the deployment to become ready, or for a node to stop.
const TIMEOUT: Duration = Duration::from_secs(60);

/// Identifier of the request that is refused.
const REQUEST_ID: &str = "00000000000000000000000000c0ffee";

/// Reads a log file and parses each line as JSON.
fn log_lines(path: &Path) -> Vec<Value> {
    let text = fs::read_to_string(path).expect("a log file");
    let mut lines = Vec::new();
    for line in text.lines() {
        let value = serde_json::from_str(line);
        lines.push(value.unwrap_or_else(|error| panic!("{line:?}: {error}")));
    }
    lines
}

#[tokio::test]
async fn every_line_names_its_node_and_refusals_their_request() {
    let bin_dir = Path::new(env!("CARGO_BIN_EXE_carobstepd")).parent().expect("a directory");
    let dir = env::temp_dir().join(format!("carobstep-logs-{}", process::id()));
    let mut options = DeploymentOptions::new(bin_dir, &dir);
    options.node_settings = json!({ "log_level": "debug" });
    let plan = ScenarioPlan::from(ScenarioName::Demo);
    let mut deployment = Deployment::start(plan, options).await.expect("a deployment");
    deployment.wait_ready(TIMEOUT).await.expect("ready nodes");
    let call = HttpCall::post("/v1/search/nowhere", &json!({})).header("x-request-id", REQUEST_ID);
    let response = deployment.client.send(deployment.nodes[0].callers, &call).await;
    assert_eq!(response.expect("a response").json()["request_id"], REQUEST_ID);
    for position in 0..deployment.nodes.len() {
        deployment.signal_node(position, ProcessSignal::Terminate).expect("a signal");
    }
    for position in 0..deployment.nodes.len() {
        assert!(deployment.wait_node(position, TIMEOUT).await.expect("an exit"));
    }
    for (position, node) in deployment.nodes.iter().enumerate() {
        let lines = log_lines(&dir.join(format!("{}.log", node.name)));
        assert!(lines.iter().any(|line| line["message"] == "stopped"), "{}", node.name);
        for line in &lines {
            assert_eq!(line["node"], *node.name, "{line}");
            assert_eq!(line["zone"], node.zone, "{line}");
            assert!(line["time_ms"].is_u64() && line["level"].is_string(), "{line}");
        }
        let mut refused = lines.iter().filter(|line| line["request_id"] == REQUEST_ID);
        let Some(line) = refused.next() else {
            assert_ne!(position, 0, "no log line with the refused request's identifier");
            continue;
        };
        assert_eq!(line["reason"], "unknown_target");
        assert_eq!(line["outcome"], "not_run");
        assert_eq!(line["level"], "debug");
    }
    fs::remove_dir_all(&dir).expect("the directory can be removed");
}
