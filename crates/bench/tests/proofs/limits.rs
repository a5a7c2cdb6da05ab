//! The limits of a backend server are never exceeded, whatever happens to the
//! holder of its grant.

use std::time::Duration;

use carobstep_bench::{LoadOptions, NodeProcess, ProcessSignal, run_load};
use serde_json::json;

use crate::support::{LEASE_TERM, LoadTask, ProofRun, options, pause};

const SEARCH_RATE: f64 = 60.0;
const ORDER_RATE: f64 = 10.0;

#[tokio::test(flavor = "multi_thread")]
async fn hold_when_holders_are_killed_and_restarted() {
    let mut run = ProofRun::start("limits-killed").await;
    let load = run.start_load(SEARCH_RATE, ORDER_RATE, 14);
    for killed in [0, 4] {
        pause(1_000).await;
        run.kill_node(killed).await;
        pause(3_000).await;
        run.restart_node(killed).await;
        pause(1_500).await;
    }
    run.require_recovery().await;
    let samples = load.await.unwrap();
    let (searches, orders) = run.require_valid(&samples).await;
    assert!(searches.answered > 0 && orders.answered > 0);
}

struct FreezeCase {
    name: &'static str,
    nodes_per_zone: usize,
    deregistered: bool,
}

const FREEZE_CASES: [FreezeCase; 3] = [
    FreezeCase { name: "pair-listed", nodes_per_zone: 2, deregistered: false },
    FreezeCase { name: "pair-unlisted", nodes_per_zone: 2, deregistered: true },
    FreezeCase { name: "three-listed", nodes_per_zone: 3, deregistered: false },
];

#[tokio::test(flavor = "multi_thread")]
async fn hold_when_a_frozen_holder_wakes_after_its_lease() {
    for case in FREEZE_CASES {
        println!("case {}", case.name);
        let name = format!("limits-frozen-{}", case.name);
        let mut run = ProofRun::start_with(options(&name), case.nodes_per_zone).await;
        // Slow servers keep every slot busy, so that any excess request is a
        // violation.
        for server in &run.deployment.servers {
            let faults = json!({"slow_factor": 20.0});
            server.set_faults(&run.deployment.client, &faults).await.unwrap();
        }
        let load = run.start_load(SEARCH_RATE, ORDER_RATE, 12);
        pause(1_500).await;
        run.deployment.signal_node(0, ProcessSignal::Freeze).unwrap();
        let node = run.deployment.nodes[0].clone();
        if case.deregistered {
            run.deployment.deregister_vm(&node.name).await.unwrap();
        }
        tokio::time::sleep(LEASE_TERM * 3).await;
        let burst = stale_burst(&run, &node);
        pause(500).await;
        run.deployment.signal_node(0, ProcessSignal::Resume).unwrap();
        run.deployment.register_node(&node, "live").await.unwrap();
        run.require_recovery().await;
        let mut samples = load.await.unwrap();
        samples.extend(burst.await.unwrap());
        run.require_valid(&samples).await;
    }
}

/// Sends searches to a frozen node, which receives them when it resumes with an
/// expired lease.
fn stale_burst(run: &ProofRun, node: &NodeProcess) -> LoadTask {
    let callers = run.callers.pinned(node);
    let options = LoadOptions {
        search_rate: 200.0,
        order_rate: 0.0,
        length: Duration::from_millis(400),
        warmup: Duration::ZERO,
        seed: 2,
        retry_refused: false,
    };
    tokio::spawn(async move { run_load(&callers, options).await })
}

struct DoubleFailureCase {
    name: &'static str,
    platform: &'static str,
    kill: bool,
}

const DOUBLE_FAILURE_CASES: [DoubleFailureCase; 3] = [
    DoubleFailureCase { name: "down-frozen", platform: r#"{"down": true}"#, kill: false },
    DoubleFailureCase { name: "down-killed", platform: r#"{"down": true}"#, kill: true },
    DoubleFailureCase { name: "cut-killed", platform: r#"{"cut_zones": ["perth-a"]}"#, kill: true },
];

#[tokio::test(flavor = "multi_thread")]
async fn hold_when_the_platform_and_a_node_fail_together() {
    for case in DOUBLE_FAILURE_CASES {
        println!("case {}", case.name);
        let mut run = ProofRun::start(&format!("limits-double-{}", case.name)).await;
        let load = run.start_load(SEARCH_RATE, ORDER_RATE, 11);
        pause(1_000).await;
        let faults = serde_json::from_str(case.platform).unwrap();
        run.deployment.set_platform_faults(&faults).await.unwrap();
        pause(1_000).await;
        if case.kill {
            run.kill_node(0).await;
        } else {
            run.deployment.signal_node(0, ProcessSignal::Freeze).unwrap();
        }
        tokio::time::sleep(LEASE_TERM * 2).await;
        if case.kill {
            run.restart_node(0).await;
        } else {
            run.deployment.signal_node(0, ProcessSignal::Resume).unwrap();
        }
        pause(1_500).await;
        let healed = json!({"down": false, "cut_zones": []});
        run.deployment.set_platform_faults(&healed).await.unwrap();
        run.require_recovery().await;
        let samples = load.await.unwrap();
        run.require_valid(&samples).await;
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn hold_when_connections_go_silent_and_are_replaced() {
    let run = ProofRun::start("limits-silent").await;
    let load = run.start_load(SEARCH_RATE, ORDER_RATE, 10);
    pause(1_500).await;
    for server in &run.deployment.servers {
        let faults = json!({"silent": true, "silent_hold_ms": 1_000});
        server.set_faults(&run.deployment.client, &faults).await.unwrap();
    }
    pause(5_000).await;
    for server in &run.deployment.servers {
        let faults = json!({"silent": false});
        server.set_faults(&run.deployment.client, &faults).await.unwrap();
    }
    let samples = load.await.unwrap();
    run.require_valid(&samples).await;
}
