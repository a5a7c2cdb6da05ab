//! The entries of nodes in the store, under late and unanswered writes.

use std::time::Duration;

use http::Method;
use serde_json::json;
use tokio::time::sleep;

use super::{
    configuration,
    node::{GatewayNode, eventually},
    store::{LateWrites, StandinStore},
};

const NODE_KIND: &str = "carobstep-nodes";
const NAME: &str = "front-a-1";

/// Number of writes that are late, more than a node makes in its shutdown.
const MANY: usize = 100;

fn late(method: Method, count: usize, delay_ms: u64) -> LateWrites {
    LateWrites { kind: NODE_KIND, method, count, delay: Duration::from_millis(delay_ms) }
}

async fn start() -> (StandinStore, GatewayNode) {
    let store = StandinStore::start().await;
    store.put("config", "main", configuration(1));
    let node = GatewayNode::start(NAME, "a", store.address);
    node.wait_ready().await;
    (store, node)
}

fn is_registered(store: &StandinStore) -> bool {
    store.object_names(NODE_KIND).iter().any(|name| name == NAME)
}

async fn wait_registered(store: &StandinStore) {
    eventually("the node is registered", async || is_registered(store)).await;
}

async fn stop(node: &mut GatewayNode) {
    node.signal("TERM");
    assert!(node.wait_exit().await.success());
}

/// Guards against the late removal of a node's entry by its former process, which takes the
/// entry that the next process has taken over.
#[tokio::test]
async fn a_late_removal_by_a_former_process_leaves_the_entry_of_the_next_one() {
    let (store, mut node) = start().await;
    wait_registered(&store).await;
    // The process is stopped twice; its removals are executed after the next one has started.
    for _ in 0..2 {
        store.delay_writes(late(Method::DELETE, MANY, 4_500));
        stop(&mut node).await;
        store.end_delays();
        node.restart();
        node.wait_ready().await;
        sleep(Duration::from_millis(500)).await;
    }
    sleep(Duration::from_millis(4_500)).await;
    assert_eq!(store.removals(NODE_KIND), 0, "an entry in use was removed");
    assert!(is_registered(&store));
}

/// Guards against a removal without a condition by a node whose registration was not answered.
#[tokio::test]
async fn a_node_whose_registration_was_not_answered_removes_only_its_own_entry() {
    let store = StandinStore::start().await;
    store.put("config", "main", configuration(1));
    store.delay_writes(late(Method::POST, MANY, 10));
    let mut node = GatewayNode::start(NAME, "a", store.address);
    node.wait_ready().await;
    wait_registered(&store).await;
    store.end_delays();
    stop(&mut node).await;
    assert!(!is_registered(&store));
    let calls = store.removal_calls();
    assert!(!calls.is_empty() && calls.iter().all(|call| call.contains("rev=")), "{calls:?}");
}

/// Guards against a removal that the store doesn't answer and that is not called for again, so
/// that the entry of a node that has ended stays.
#[tokio::test]
async fn a_removal_without_an_answer_is_repeated() {
    let (store, mut node) = start().await;
    wait_registered(&store).await;
    // The first removal is lost.
    store.delay_writes(late(Method::DELETE, 1, 600_000));
    stop(&mut node).await;
    assert!(!is_registered(&store));
}

/// Guards against the late write of a former process that replaces the entry of the next one.
#[tokio::test]
async fn a_late_write_of_a_former_process_replaces_no_later_entry() {
    let store = StandinStore::start().await;
    store.put("config", "main", configuration(1));
    // A process with other settings has left an entry.
    let earlier = json!({ "zone": "z", "address": "127.0.0.1:9", "cpu_share": 1.0,
        "link_mbps": 1.0 });
    store.put(NODE_KIND, NAME, earlier);
    let mut node = GatewayNode::start(NAME, "a", store.address);
    store.delay_writes(late(Method::PUT, MANY, 2_500));
    sleep(Duration::from_millis(1_500)).await;
    node.kill();
    store.end_delays();
    node.change_settings("limits.cpu_share=0.25\n", "limits.cpu_share=0.5\n");
    node.restart();
    node.wait_ready().await;
    let share = |store: &StandinStore| {
        let content = store.content(NODE_KIND, NAME).unwrap_or_default();
        content["cpu_share"].as_f64()
    };
    eventually("the new entry", async || share(&store) == Some(0.5)).await;
    sleep(Duration::from_millis(3_000)).await;
    assert_eq!(share(&store), Some(0.5), "{:?}", store.content(NODE_KIND, NAME));
}
