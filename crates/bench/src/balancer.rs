//! Load balancer of the callers: distributes requests over the ready nodes.

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicUsize, Ordering},
    },
    time::Duration,
};

use tokio::{task::JoinHandle, time};

use crate::{
    deployment::NodeProcess,
    http::{HttpCall, HttpClient},
};

/// Delay between two readiness probes of a node.
const PROBE_INTERVAL: Duration = Duration::from_millis(100);

/// Timeout of a readiness probe.
const PROBE_TIMEOUT: Duration = Duration::from_millis(500);

/// Selects nodes round-robin and skips those whose last readiness probe failed.
/// Dropping it stops the probes.
#[derive(Debug)]
pub struct NodeBalancer {
    targets: Arc<Vec<BalancerTarget>>,
    next: AtomicUsize,
    probes: Vec<JoinHandle<()>>,
}

#[derive(Debug)]
struct BalancerTarget {
    caller_address: SocketAddr,
    operator_address: SocketAddr,
    ready: AtomicBool,
}

impl NodeBalancer {
    /// Starts probing the nodes; each counts as ready until a probe fails.
    #[must_use]
    pub fn start(nodes: &[NodeProcess]) -> Self {
        let targets = nodes.iter().map(|node| BalancerTarget {
            caller_address: node.callers,
            operator_address: node.operators,
            ready: AtomicBool::new(true),
        });
        let targets: Arc<Vec<BalancerTarget>> = Arc::new(targets.collect());
        let probes = (0..targets.len()).map(|position| {
            let targets = Arc::clone(&targets);
            tokio::spawn(async move { probe(&targets[position]).await })
        });
        let probes = probes.collect();
        Self { targets, next: AtomicUsize::new(0), probes }
    }

    /// Returns the caller address of the next ready node, or of the next node when
    /// none is ready.
    #[must_use]
    pub fn pick(&self) -> SocketAddr {
        let first = self.next.fetch_add(1, Ordering::Relaxed);
        for step in 0..self.targets.len() {
            let target = &self.targets[(first + step) % self.targets.len()];
            if target.ready.load(Ordering::Relaxed) {
                return target.caller_address;
            }
        }
        self.targets[first % self.targets.len()].caller_address
    }
}

impl Drop for NodeBalancer {
    fn drop(&mut self) {
        for probe in &self.probes {
            probe.abort();
        }
    }
}

/// Probes the readiness of a node until the task is aborted.
async fn probe(target: &BalancerTarget) {
    let client = HttpClient::default();
    let call = HttpCall::get("/readyz");
    loop {
        let response =
            time::timeout(PROBE_TIMEOUT, client.send(target.operator_address, &call)).await;
        let ready = matches!(response, Ok(Ok(response)) if response.status.is_success());
        target.ready.store(ready, Ordering::Relaxed);
        time::sleep(PROBE_INTERVAL).await;
    }
}
