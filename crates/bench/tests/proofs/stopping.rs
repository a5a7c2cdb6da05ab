//! A graceful shutdown of nodes aborts no request that is in flight.

use carobstep_bench::ProcessSignal;

use crate::support::{ProofRun, READY_TIMEOUT, pause};

/// Stops nodes gracefully, asserts that they exit with success, and removes their
/// VMs from the platform's VM list.
async fn stop_nodes(run: &mut ProofRun, positions: &[usize]) {
    for position in positions {
        run.deployment.signal_node(*position, ProcessSignal::Terminate).unwrap();
    }
    for position in positions {
        assert!(run.deployment.wait_node(*position, READY_TIMEOUT).await.unwrap());
        let name = run.deployment.nodes[*position].name.clone();
        run.deployment.deregister_vm(&name).await.unwrap();
    }
}

async fn require_all_answered(run: &ProofRun, load: crate::support::LoadTask) {
    let samples = load.await.unwrap();
    let (searches, orders) = run.require_valid(&samples).await;
    assert_eq!(searches.no_response, 0, "{:?}", searches.first_failure);
    assert_eq!(orders.no_response, 0, "{:?}", orders.first_failure);
    assert_eq!(searches.answered, searches.sent, "{searches:?}");
    assert_eq!(orders.answered, orders.sent, "{orders:?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn cuts_nothing_when_all_nodes_are_replaced_one_after_another() {
    let mut run = ProofRun::start("stopping-each").await;
    let load = run.start_load(40.0, 10.0, 30);
    pause(1_000).await;
    for position in 0..run.deployment.nodes.len() {
        stop_nodes(&mut run, &[position]).await;
        run.restart_node(position).await;
        run.require_recovery().await;
    }
    require_all_answered(&run, load).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn cuts_nothing_when_half_of_the_nodes_stop_at_once() {
    let mut run = ProofRun::start("stopping-half").await;
    let load = run.start_load(40.0, 10.0, 10);
    pause(1_500).await;
    // The first three nodes are in different zones.
    stop_nodes(&mut run, &[0, 1, 2]).await;
    run.require_recovery().await;
    require_all_answered(&run, load).await;
}
