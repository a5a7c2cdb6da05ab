//! Names by which nodes tell each other of servers.
//!
//! Guards against requests that are run by a server of another service because its identifier
//! has the same hash.

use std::time::Duration;

use tokio::time::sleep;

use crate::{
    backend::StandinServer,
    configuration, get,
    node::{GatewayNode, eventually},
    server_entry,
    store::StandinStore,
};

/// Two identifiers whose hashes have the same lower 32 bits.
const SHARD_ID: &str = "i-ddefe50c";
const OTHER_ID: &str = "i-bebf4198";

#[tokio::test]
async fn a_delegated_search_is_not_run_by_a_server_with_the_same_hash() {
    let store = StandinStore::start().await;
    let mut shards = Vec::new();
    for (shard, id) in [SHARD_ID, "i-shard-1", "i-shard-2"].into_iter().enumerate() {
        let server = StandinServer::start(id, b'a' + shard as u8).await;
        let entry = server_entry(&server, &format!("shard-{shard}"), "b", "ready");
        store.put("servers", &server.id, entry);
        shards.push(server);
    }
    store.put("config", "main", configuration(1));
    let nodes = [("front-a-1", "a"), ("front-b-1", "b")]
        .map(|(name, zone)| GatewayNode::start(name, zone, store.address));
    for node in &nodes {
        node.wait_ready().await;
        eventually("the nodes know each other", async || {
            node.metric("carobstep_nodes").await == 2.0
        })
        .await;
    }
    let other = StandinServer::start(OTHER_ID, b'x').await;
    store.put("servers", OTHER_ID, server_entry(&other, "single", "b", "ready"));
    for node in &nodes {
        eventually("the node knows the other server", async || {
            node.metric("carobstep_servers").await == 4.0
        })
        .await;
    }
    for number in 0..20 {
        let response = nodes[0].request(&get("/search/", &format!("id-{number}"))).await;
        assert_eq!(response.status, 200);
        assert_eq!(response.headers["x-carobstep-missing-parts"], "0");
        sleep(Duration::from_millis(10)).await;
    }
    assert!(nodes[0].metric("carobstep_delegations_total{end=\"answered\"}").await > 0.0);
    assert_eq!(other.executed(), Vec::<String>::new());
    assert_eq!(shards[0].executed().len(), 20);
}
