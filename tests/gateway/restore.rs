//! Restores of the platform's store from a copy some seconds old.
//!
//! Guards against an older configuration in force again, a server that left in use again,
//! and nodes that stay unregistered.

use serde_json::json;

use crate::{
    configuration, fixture, get,
    node::{GatewayNode, eventually},
    server_entry,
};

#[tokio::test]
async fn what_was_in_force_before_a_restore_stays_in_force() {
    let fixture = fixture().await;
    let copy = fixture.store.copy();
    let status = async |path| fixture.node.request(&get(path, "id")).await.status.as_u16();
    let mut later = configuration(5);
    later["routes"][1]["path_prefix"] = json!("/new/");
    fixture.store.put("config", "main", later.clone());
    let [gone, _] = &fixture.single[..] else { panic!("two servers") };
    fixture.store.put("servers", &gone.id, server_entry(gone, "single", "a", "draining"));
    fixture.store.remove("servers", &gone.id);
    eventually("the new route", async || status("/new/").await == 200).await;
    eventually("the removal", async || fixture.node.metric("carobstep_servers").await == 4.0).await;
    let before = gone.arrivals().len();
    fixture.store.restore(&copy);
    eventually("the restore is noticed", async || {
        fixture.node.metric("carobstep_store_era").await == 1.0
    })
    .await;
    for _ in 0..10 {
        assert_eq!((status("/new/").await, status("/fetch/").await), (200, 404));
    }
    assert_eq!(gone.arrivals().len(), before, "a server that left is in use again");
    // Revisions that were given out before the restore are given out again; the changes
    // at them must not be missed.
    let mut next = later;
    next["version"] = json!(6);
    next["routes"][1]["path_prefix"] = json!("/newer/");
    fixture.store.put("config", "main", next);
    eventually("the change after the restore", async || status("/newer/").await == 200).await;
}

#[tokio::test]
async fn a_registration_that_a_restore_lost_is_written_again() {
    let fixture = fixture().await;
    let copy = fixture.store.copy();
    let follower = GatewayNode::start("front-a-2", "a", fixture.store.address);
    follower.wait_ready().await;
    let names = || fixture.store.object_names("carobstep-nodes");
    eventually("both nodes are registered", async || names().len() == 2).await;
    let second_copy = fixture.store.copy();
    for (round, copy) in [&copy, &second_copy, &copy].into_iter().enumerate() {
        fixture.store.restore(copy);
        eventually(&format!("both nodes are registered, round {round}"), async || {
            names().len() == 2
        })
        .await;
    }
}

/// A node that starts right after a restore must not apply the store's older
/// configuration when another node has a newer one.
#[tokio::test]
async fn a_node_whose_entry_was_removed_late_registers_again() {
    let fixture = fixture().await;
    let mut follower = GatewayNode::start("front-a-2", "a", fixture.store.address);
    follower.wait_ready().await;
    let names = || fixture.store.object_names("carobstep-nodes");
    eventually("both nodes are registered", async || names().len() == 2).await;
    for _ in 0..2 {
        for name in ["front-a-1", "front-a-2"] {
            assert!(fixture.store.remove("carobstep-nodes", name));
            eventually(&format!("{name} is registered again"), async || names().len() == 2).await;
        }
    }
    follower.signal("TERM");
    follower.wait_exit().await;
    assert_eq!(names(), ["front-a-1"], "a stopping node removes the entry that it wrote");
}

#[tokio::test]
async fn a_starting_node_takes_the_newest_configuration_from_a_peer() {
    let fixture = fixture().await;
    eventually("the node is registered", async || {
        fixture.store.object_names("carobstep-nodes").len() == 1
    })
    .await;
    let copy = fixture.store.copy();
    fixture.store.put("config", "main", configuration(7));
    let version = async |node: &GatewayNode| node.metric("carobstep_configuration_version").await;
    eventually("version 7", async || version(&fixture.node).await == 7.0).await;
    fixture.store.restore(&copy);
    // In its zone, one node watches the store itself; in another zone, the node does too.
    for (name, zone) in [("front-a-2", "a"), ("front-a-3", "a"), ("front-b-1", "b")] {
        let node = GatewayNode::start(name, zone, fixture.store.address);
        node.wait_ready().await;
        let applied = || -> Vec<_> {
            let lines = node.log().into_iter();
            let applied = lines.filter(|line| line["message"] == "configuration in force");
            applied.map(|line| line["version"].clone()).collect()
        };
        // Log lines are written by a thread of their own.
        eventually("the log line is written", async || !applied().is_empty()).await;
        assert_eq!(applied(), [json!(7)], "{name}");
    }
}
