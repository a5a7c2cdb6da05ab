//! Runs a deployment under load, and checks the invariants of every proof.

use std::{
    path::{Path, PathBuf},
    time::Duration,
};

use carobstep_bench::{
    CallerGroup, Deployment, DeploymentOptions, ExecutionLedger, LedgerMismatches, LoadOptions,
    LoadSample, OutcomeSummary, ProcessSignal, SampleKind, ScenarioName, ScenarioPlan, run_load,
};
use serde_json::json;
use tokio::{
    sync::{Semaphore, SemaphorePermit},
    task::JoinHandle,
};

use crate::relay::PeerRelays;

pub const READY_TIMEOUT: Duration = Duration::from_secs(60);

/// Lease term of the nodes in the proofs; with it a takeover takes a few seconds.
pub const LEASE_TERM: Duration = Duration::from_millis(2_000);

/// Number of proofs that run concurrently; each has about ten processes on its own
/// ports.
const CONCURRENT_PROOFS: usize = 3;

static PROOF_PERMITS: Semaphore = Semaphore::const_new(CONCURRENT_PROOFS);

/// Deployment and callers of one proof. At most [`CONCURRENT_PROOFS`] exist at the
/// same time.
pub struct ProofRun {
    pub deployment: Deployment,
    pub callers: CallerGroup,
    _permit: SemaphorePermit<'static>,
}

pub fn options(name: &str) -> DeploymentOptions {
    let bin_dir = Path::new(env!("CARGO_BIN_EXE_carobstep-bench")).parent().unwrap();
    let run_dir = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(name);
    let mut options = DeploymentOptions::new(bin_dir, &run_dir);
    options.node_settings = json!({
        "lease": {"term_ms": 2_000, "renew_ms": 500, "drift_ms": 200, "fence_ms": 800},
        "gossip": {"interval_ms": 200, "fanout": 3, "peer_timeout_ms": 1_500},
    });
    options
}

impl ProofRun {
    pub async fn start(name: &str) -> Self {
        Self::start_with(options(name), 2).await
    }

    pub async fn start_with(options: DeploymentOptions, nodes_per_zone: usize) -> Self {
        let permit = PROOF_PERMITS.acquire().await.unwrap();
        let mut plan = ScenarioPlan::from(ScenarioName::Demo);
        plan.nodes_per_zone = nodes_per_zone;
        let snapshots = options.snapshots.clone();
        let mut deployment = Deployment::start(plan, options).await.unwrap();
        deployment.wait_ready(READY_TIMEOUT).await.unwrap();
        let callers = CallerGroup::new(&deployment, &snapshots);
        Self { deployment, callers, _permit: permit }
    }

    /// Starts a deployment whose nodes connect to each other through relays.
    pub async fn start_relayed(name: &str) -> (Self, PeerRelays) {
        let permit = PROOF_PERMITS.acquire().await.unwrap();
        let mut options = options(name);
        options.peer_relays = true;
        let snapshots = options.snapshots.clone();
        let plan = ScenarioPlan::from(ScenarioName::Demo);
        let mut deployment = Deployment::start_without_nodes(plan, options).await.unwrap();
        let relays = PeerRelays::start(&deployment.nodes).await;
        for position in 0..deployment.nodes.len() {
            deployment.start_node(position).await.unwrap();
        }
        deployment.wait_ready(READY_TIMEOUT).await.unwrap();
        let callers = CallerGroup::new(&deployment, &snapshots);
        (Self { deployment, callers, _permit: permit }, relays)
    }

    /// Starts searches and orders in the background.
    pub fn start_load(&self, search_rate: f64, order_rate: f64, seconds: u64) -> LoadTask {
        self.start_load_with_seed(search_rate, order_rate, seconds, 1)
    }

    /// Like [`ProofRun::start_load`], with a seed. Loads on one deployment need different
    /// seeds, or their orders share idempotency keys.
    pub fn start_load_with_seed(
        &self,
        search_rate: f64,
        order_rate: f64,
        seconds: u64,
        seed: u64,
    ) -> LoadTask {
        let callers = self.callers.clone();
        let options = LoadOptions {
            search_rate,
            order_rate,
            length: Duration::from_secs(seconds),
            warmup: Duration::ZERO,
            seed,
            retry_refused: false,
        };
        tokio::spawn(async move { run_load(&callers, options).await })
    }

    /// Kills a node and removes its VM from the platform's VM list.
    pub async fn kill_node(&mut self, position: usize) {
        self.deployment.signal_node(position, ProcessSignal::Kill).unwrap();
        self.deployment.wait_node(position, READY_TIMEOUT).await.unwrap();
        let name = self.deployment.nodes[position].name.clone();
        self.deployment.deregister_vm(&name).await.unwrap();
    }

    /// Restarts a node and adds its VM to the platform's VM list again.
    pub async fn restart_node(&mut self, position: usize) {
        let node = self.deployment.nodes[position].clone();
        self.deployment.register_node(&node, "live").await.unwrap();
        self.deployment.start_node(position).await.unwrap();
    }

    /// Waits until every node is ready and every grant is held; panics after
    /// [`READY_TIMEOUT`].
    pub async fn require_recovery(&mut self) {
        self.deployment.wait_ready(READY_TIMEOUT).await.unwrap();
    }

    /// Asserts the invariants of every run: no limit violation, no contradiction
    /// between executions and outcomes, and no invalid response. Returns the
    /// summaries of the searches and of the orders.
    pub async fn require_valid(&self, samples: &[LoadSample]) -> (OutcomeSummary, OutcomeSummary) {
        let searches = OutcomeSummary::from_samples(samples, SampleKind::Search);
        let orders = OutcomeSummary::from_samples(samples, SampleKind::Order);
        println!("searches: {}", summary_line(&searches));
        println!("orders: {}", summary_line(&orders));
        for server in &self.deployment.servers {
            let report = server.summary(&self.deployment.client).await.unwrap();
            assert_eq!(report.violations, 0, "{}: {report:?}", server.name);
        }
        let service = self.deployment.plan.order_service;
        let ledger = ExecutionLedger::read(&self.deployment, service).await.unwrap();
        assert_eq!(ledger.compare(samples), LedgerMismatches::default());
        assert_eq!(searches.invalid_responses, 0, "{:?}", searches.first_failure);
        assert_eq!(orders.invalid_responses, 0, "{:?}", orders.first_failure);
        (searches, orders)
    }
}

fn summary_line(summary: &OutcomeSummary) -> String {
    format!(
        "{} sent, {} answered, {} full, {} without response, missing {:?}, not run {:?}, unknown {:?}",
        summary.sent,
        summary.answered,
        summary.full,
        summary.no_response,
        summary.missing,
        summary.not_run,
        summary.unknown
    )
}

pub type LoadTask = JoinHandle<Vec<LoadSample>>;

pub async fn pause(millis: u64) {
    tokio::time::sleep(Duration::from_millis(millis)).await;
}
