//! Limits on the requests that all nodes together send to a cold server.
//!
//! Guards against nodes that exceed such a limit together, and against a cold server that
//! gets nothing although it takes some.

use std::time::{Duration, Instant};

use serde_json::json;

use crate::{
    backend::StandinServer,
    configuration,
    limits::run_calls,
    node::{GatewayNode, eventually},
    server_entry,
    store::StandinStore,
};

const BOUNDS: &str = "bounds.cold_over=1.5\nbounds.cold_slack=5\n";

/// Requests that a cold server may get in one second, at 4 a second.
const ALLOWED: usize = 11;

#[tokio::test]
async fn nodes_together_spare_a_cold_server_and_use_it() {
    let store = StandinStore::start().await;
    let mut config = configuration(1);
    config["services"][0]["cold_per_s"] = json!(4.0);
    store.put("config", "main", config);
    let mut servers = Vec::new();
    for number in 0..2u8 {
        let server = StandinServer::start(&format!("i-single-{number}"), b'x' + number).await;
        store.put("servers", &server.id, server_entry(&server, "single", "a", "ready"));
        servers.push(server);
    }
    let nodes = [("front-a-1", "a"), ("front-a-2", "a"), ("front-b-1", "b")]
        .map(|(name, zone)| GatewayNode::start_with(name, zone, store.address, BOUNDS));
    for node in &nodes {
        node.wait_ready().await;
        eventually("the nodes know each other", async || {
            node.metric("carobstep_nodes").await == 3.0
        })
        .await;
    }
    let mut cold = server_entry(&servers[0], "single", "a", "ready");
    cold["cold_left_ms"] = json!(60_000);
    cold["seq"] = json!(2);
    store.put("servers", &servers[0].id, cold);
    for node in &nodes {
        eventually("the node knows that the server is cold", async || {
            node.metric("carobstep_limited_servers").await == 1.0
        })
        .await;
    }
    let started = Instant::now();
    let outcomes =
        run_calls(&[&nodes[0], &nodes[1], &nodes[2]], &[60, 20, 4], |id| crate::get("/fetch/", id))
            .await;
    assert!(outcomes.iter().all(|outcome| outcome.status == 200));
    let times: Vec<_> = servers[0]
        .arrivals()
        .iter()
        .map(|arrival| arrival.at)
        .filter(|arrived| *arrived > started)
        .collect();
    let second = Duration::from_secs(1);
    let in_second =
        |start: &Instant| times.iter().filter(|at| (*start..*start + second).contains(at)).count();
    let most = times.iter().map(in_second).max().unwrap_or_default();
    assert!(most <= ALLOWED, "{most} requests in a second");
    assert!(times.len() >= 16, "only {} of 32 requests in 8 s", times.len());
}
