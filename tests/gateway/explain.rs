//! Tests that the log and the metrics lead from a request id to the cause of its failure.

use serde_json::Value;

use crate::{
    backend::ServerFault,
    fixture, get,
    node::GatewayNode,
    node::eventually,
    post, server_entry,
    store::{StandinStore, StoreFault},
};

/// Returns the log line of a request and its list of failed attempts.
async fn attempts(node: &GatewayNode, id: &str) -> (Value, String) {
    let line = node.wait_for_log_line(id).await;
    let attempts = line["attempts"].as_str().expect("text").to_owned();
    (line, attempts)
}

#[tokio::test]
async fn log_names_the_servers_behind_a_failed_search() {
    let fixture = fixture().await;
    for shard in &fixture.shards[1..] {
        shard.set_fault(ServerFault::Error);
    }
    assert_eq!(fixture.node.request(&get("/search/", "lost-1")).await.status, 502);
    let (line, attempts) = attempts(&fixture.node, "lost-1").await;
    assert_eq!((&line["verdict"], &line["route"]), (&"failed".into(), &"search".into()));
    assert_eq!((&line["shards"], &line["answered"]), (&3.into(), &1.into()));
    assert!(attempts.contains("shard 1 at i-shard-1: failed"), "{attempts}");
    assert!(attempts.contains("status 500"), "{attempts}");
    let failed = fixture.node.metric("carobstep_attempts_total{end=\"failed\"}").await;
    assert!(failed >= 2.0, "{failed}");
}

#[tokio::test]
async fn log_names_the_server_that_lost_the_response_to_an_order() {
    let fixture = fixture().await;
    for server in &fixture.single {
        server.set_fault(ServerFault::CloseWithoutResponse);
    }
    assert_eq!(fixture.node.request(&post("/order/", "order-1")).await.status, 502);
    let (line, attempts) = attempts(&fixture.node, "order-1").await;
    assert_eq!((&line["verdict"], &line["status"]), (&"failed".into(), &502.into()));
    assert!(attempts.contains("at i-single-"), "{attempts}");
    assert!(attempts.contains(": failed after"), "{attempts}");
    // The log line names the server that executed the order.
    let executed_by = fixture
        .single
        .iter()
        .find(|server| !server.executed().is_empty())
        .expect("a server that executed the order");
    assert!(attempts.contains(&executed_by.id), "{attempts}");
}

#[tokio::test]
async fn log_names_the_store_failure_behind_a_refusal_at_startup() {
    let store = StandinStore::start().await;
    store.set_fault(StoreFault::Unavailable);
    let node = GatewayNode::start("front-a-1", "a", store.address);
    eventually("the store failure is logged", async || {
        node.log().iter().any(|line| line["message"] == "store lost")
    })
    .await;
    assert_eq!(node.request(&get("/search/", "early-1")).await.status, 503);
    let line = node.wait_for_log_line("early-1").await;
    assert_eq!((&line["verdict"], &line["version"]), (&"starting".into(), &0.into()));
    let lost =
        node.log().into_iter().find(|line| line["message"] == "store lost").expect("a log line");
    assert_eq!(lost["reason"], "status 503 Service Unavailable");
    assert!(node.metric("carobstep_store_calls_total{end=\"answered\"}").await >= 1.0);
    assert!(node.metric("carobstep_ready").await == 0.0);
}

#[tokio::test]
async fn log_and_metrics_tell_servers_out_of_reach_from_servers_that_fail() {
    let fixture = fixture().await;
    for server in fixture.shards.iter().chain(&fixture.single) {
        let service = if server.id.starts_with("i-single") { "single" } else { &server.id[2..] };
        let mut entry = server_entry(server, service, "a", "ready");
        // Nothing listens there.
        entry["addr"] = Value::from("127.0.0.1:1");
        fixture.store.put("servers", &server.id, entry);
    }
    let unreachable = "carobstep_unreachable_zones";
    eventually("the zone is out of reach", async || {
        fixture.node.request(&get("/search/", "id")).await;
        fixture.node.metric(unreachable).await == 1.0
    })
    .await;
    assert_eq!(fixture.node.request(&get("/search/", "unreached-1")).await.status, 503);
    let (line, _) = attempts(&fixture.node, "unreached-1").await;
    assert_eq!(line["lacking"], "3 out of reach");
    let lost =
        fixture.node.log().into_iter().find(|line| {
            line["message"] == "no server of an availability zone responds to this node"
        });
    let lost = lost.expect("a log line");
    assert!(lost["reason"].as_str().expect("text").contains("refused"), "{lost}");
}
