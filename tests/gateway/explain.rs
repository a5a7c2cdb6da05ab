//! From the id of a failed request to its cause, by log and metrics only.

use serde_json::Value;

use crate::{
    backend::ServerFault,
    fixture, get,
    node::GatewayNode,
    node::eventually,
    post,
    store::{StandinStore, StoreFault},
};

async fn attempts(node: &GatewayNode, id: &str) -> (Value, String) {
    let line = node.line_about(id).await;
    let attempts = line["attempts"].as_str().expect("text").to_owned();
    (line, attempts)
}

#[tokio::test]
async fn a_search_that_lacked_shards_leads_to_the_servers_that_failed() {
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
async fn an_order_whose_outcome_is_unknown_leads_to_the_lost_answer() {
    let fixture = fixture().await;
    for server in &fixture.single {
        server.set_fault(ServerFault::Lose);
    }
    assert_eq!(fixture.node.request(&post("/order/", "order-1")).await.status, 502);
    let (line, attempts) = attempts(&fixture.node, "order-1").await;
    assert_eq!((&line["verdict"], &line["status"]), (&"failed".into(), &502.into()));
    assert!(attempts.contains("at i-single-"), "{attempts}");
    assert!(attempts.contains(": failed after"), "{attempts}");
    // The server that the line names is the one that ran it.
    let ran = fixture.single.iter().find(|server| !server.ran().is_empty()).expect("one");
    assert!(attempts.contains(&ran.id), "{attempts}");
}

#[tokio::test]
async fn a_refusal_at_the_start_leads_to_the_store_that_was_away() {
    let store = StandinStore::start().await;
    store.set_fault(StoreFault::Busy);
    let node = GatewayNode::start("front-a-1", "a", store.address);
    eventually("the store is missed", async || {
        node.log().iter().any(|line| line["message"] == "store lost")
    })
    .await;
    assert_eq!(node.request(&get("/search/", "early-1")).await.status, 503);
    let line = node.line_about("early-1").await;
    assert_eq!((&line["verdict"], &line["version"]), (&"starting".into(), &0.into()));
    let lost = node.log().into_iter().find(|line| line["message"] == "store lost").expect("it");
    assert_eq!(lost["reason"], "status 503 Service Unavailable");
    assert!(node.metric("carobstep_store_calls_total{end=\"answered\"}").await >= 1.0);
    assert!(node.metric("carobstep_ready").await == 0.0);
}
