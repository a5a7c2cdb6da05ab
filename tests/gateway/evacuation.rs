//! Evacuated availability zones, on a node that watches the store and on one that follows it.

use std::time::Duration;

use serde_json::json;
use tokio::time::sleep;

use crate::{
    fixture, get,
    node::{GatewayNode, eventually},
    server_entry,
};

const EVACUATION: &str = "bounds.evac_ms=3000\n";

#[tokio::test]
async fn servers_of_an_evacuated_zone_get_nothing_until_it_is_removed() {
    let fixture = fixture().await;
    let [kept, evacuated] = &fixture.single[..] else { panic!("two servers") };
    fixture.store.put("servers", &kept.id, server_entry(kept, "single", "b", "ready"));
    let first = GatewayNode::start_with("front-a-2", "a", fixture.store.address, EVACUATION);
    let second = GatewayNode::start_with("front-a-3", "a", fixture.store.address, EVACUATION);
    for node in [&first, &second] {
        node.wait_ready().await;
    }
    let is_known = async |count: f64| {
        for node in [&first, &second] {
            eventually("the evacuation is known", async || {
                node.metric("carobstep_evacuated_zones").await == count
            })
            .await;
        }
    };
    fixture.store.put("evacuations", "a", json!({}));
    is_known(1.0).await;
    let before = evacuated.arrivals().len();
    for number in 0..10 {
        for node in [&first, &second] {
            let response = node.request(&get("/fetch/", &format!("id-{number}"))).await;
            assert_eq!(response.status, 200);
        }
    }
    assert_eq!(evacuated.arrivals().len(), before, "requests to an evacuated zone");
    // The word of the store is old by now, and still holds.
    fixture.store.remove("evacuations", "a");
    is_known(0.0).await;
    eventually("requests to the zone", async || {
        first.request(&get("/fetch/", "id-again")).await;
        evacuated.arrivals().len() > before
    })
    .await;
}

#[tokio::test]
async fn a_server_that_leaves_an_evacuated_zone_gets_requests() {
    let fixture = fixture().await;
    let [server, other] = &fixture.single[..] else { panic!("two servers") };
    let node = GatewayNode::start_with("front-a-2", "a", fixture.store.address, EVACUATION);
    node.wait_ready().await;
    fixture.store.put("servers", &other.id, server_entry(other, "single", "b", "ready"));
    eventually("a request to the server", async || {
        node.request(&get("/fetch/", "id-before")).await;
        !server.arrivals().is_empty()
    })
    .await;
    fixture.store.put("evacuations", "a", json!({}));
    eventually("the evacuation is known", async || {
        node.metric("carobstep_evacuated_zones").await == 1.0
    })
    .await;
    let before = server.arrivals().len();
    fixture.store.put("servers", &server.id, server_entry(server, "single", "b", "ready"));
    fixture.store.put("servers", &other.id, server_entry(other, "single", "a", "ready"));
    eventually("requests to its new zone", async || {
        node.request(&get("/fetch/", "id-after")).await;
        server.arrivals().len() > before
    })
    .await;
    // More than there are idle connections.
    let calls = ["id-1", "id-2", "id-3", "id-4"].map(|id| get("/fetch/", id));
    let responses = tokio::join!(
        node.request(&calls[0]),
        node.request(&calls[1]),
        node.request(&calls[2]),
        node.request(&calls[3]),
    );
    for response in [responses.0, responses.1, responses.2, responses.3] {
        assert_eq!(response.status, 200);
    }
}

#[tokio::test]
async fn without_a_bound_in_the_settings_evacuations_cost_no_call() {
    let fixture = fixture().await;
    fixture.store.put("evacuations", "a", json!({}));
    sleep(Duration::from_millis(500)).await;
    let response = fixture.node.request(&get("/fetch/", "id-1")).await;
    assert_eq!(response.status, 200);
    assert_eq!(fixture.node.metric("carobstep_evacuated_zones").await, 0.0);
}
