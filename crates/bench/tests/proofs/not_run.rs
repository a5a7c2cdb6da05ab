//! A request that is refused as not run has not been executed.

use std::time::Duration;

use carobstep_bench::{ProcessSignal, RequestOutcome, SampleKind};

use crate::support::{ProofRun, options, pause};

const ORDER_RATE: f64 = 30.0;

struct FailureCase {
    name: &'static str,
    faults: &'static str,
    /// Whether orders are executed under the fault.
    executes: bool,
    /// Whether an order may be reported as run under the fault.
    may_run: bool,
}

macro_rules! failure_case {
    ($name:literal, $faults:literal, executes: $executes:literal, may_run: $may_run:literal) => {
        FailureCase { name: $name, faults: $faults, executes: $executes, may_run: $may_run }
    };
}

/// Failures at each step of the exchange between the holder and the backend server.
/// Draining comes last, since a server that was draining stays unused for a while.
const CASES: [FailureCase; 7] = [
    failure_case!("shed", r#"{"shed": true}"#, executes: false, may_run: false),
    failure_case!("truncated", r#"{"truncate": true}"#, executes: true, may_run: false),
    failure_case!("failed", r#"{"error500": true}"#, executes: true, may_run: false),
    failure_case!("other reply", r#"{"swap_echo": true}"#, executes: true, may_run: true),
    failure_case!("silent", r#"{"silent": true}"#, executes: true, may_run: true),
    failure_case!("silent new", r#"{"silent_new": true}"#, executes: false, may_run: true),
    failure_case!("draining", r#"{"state": "draining"}"#, executes: false, may_run: false),
];

const HEALED: &str = r#"{"shed": false, "state": "healthy", "silent": false, "silent_new": false,
    "truncate": false, "error500": false, "swap_echo": false}"#;

/// Maximum number of orders sent to find out whether the servers work again.
const MAX_RECOVERY_ORDERS: usize = 100;

async fn set_order_faults(run: &ProofRun, faults: &str) {
    let faults = serde_json::from_str(faults).unwrap();
    for server in &run.deployment.servers {
        if server.service != run.deployment.plan.order_service {
            continue;
        }
        server.set_faults(&run.deployment.client, &faults).await.unwrap();
    }
}

/// Returns the number of orders that the backend servers executed.
async fn executed_orders(run: &ProofRun) -> u64 {
    let mut executed = 0;
    for server in &run.deployment.servers {
        if server.service != run.deployment.plan.order_service {
            continue;
        }
        executed += server.summary(&run.deployment.client).await.unwrap().executed;
    }
    executed
}

/// Waits until an order runs again after a fault.
async fn require_healed(run: &ProofRun, case: &str) {
    for number in 0..MAX_RECOVERY_ORDERS {
        let key = format!("healed-{}-{number}", case.replace(' ', "-"));
        if run.callers.order(&key).await == (RequestOutcome::Ran { replayed: false }) {
            return;
        }
        pause(100).await;
    }
    panic!("{case}: no order runs after the fault");
}

#[tokio::test(flavor = "multi_thread")]
async fn is_true_when_backend_servers_fail_at_each_step() {
    let run = ProofRun::start("not-run-steps").await;
    for (position, case) in CASES.into_iter().enumerate() {
        println!("case {}", case.name);
        require_healed(&run, case.name).await;
        let before = executed_orders(&run).await;
        set_order_faults(&run, case.faults).await;
        let samples = run.start_load_with_seed(0.0, ORDER_RATE, 3, position as u64).await.unwrap();
        run.require_valid(&samples).await;
        assert_eq!(executed_orders(&run).await > before, case.executes, "{}", case.name);
        let ran = samples.iter().any(|sample| matches!(sample.outcome, RequestOutcome::Ran { .. }));
        assert!(case.may_run || !ran, "{}", case.name);
        set_order_faults(&run, HEALED).await;
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn is_true_when_nodes_and_servers_are_killed_under_load() {
    let mut options = options("not-run-killed");
    options.servers_per_process = 1;
    let mut run = ProofRun::start_with(options, 2).await;
    let load = run.start_load(0.0, ORDER_RATE, 10);
    pause(1_000).await;
    run.kill_node(2).await;
    pause(1_500).await;
    run.deployment.signal_node(5, ProcessSignal::Freeze).unwrap();
    pause(1_500).await;
    run.deployment.signal_node(5, ProcessSignal::Resume).unwrap();
    run.restart_node(2).await;
    let samples = load.await.unwrap();
    let (_, orders) = run.require_valid(&samples).await;
    assert!(orders.answered > 0);
}

#[tokio::test(flavor = "multi_thread")]
async fn is_told_with_a_time_to_come_back_that_is_true() {
    let run = ProofRun::start("not-run-retry").await;
    set_order_faults(&run, r#"{"shed": true, "shed_retry_after_ms": 400}"#).await;
    let samples = run.start_load(0.0, ORDER_RATE, 2).await.unwrap();
    set_order_faults(&run, HEALED).await;
    let mut all_samples = samples.clone();
    for sample in samples.iter().filter(|sample| sample.kind == SampleKind::Order) {
        let RequestOutcome::NotRun { retry_after: Some(span), .. } = &sample.outcome else {
            panic!("{:?}", sample.outcome);
        };
        assert!(*span > Duration::ZERO && *span <= Duration::from_secs(10), "{span:?}");
    }
    pause(1_000).await;
    // The key of a request that was refused as not run may be reused.
    let mut retries = samples;
    for sample in &mut retries {
        sample.outcome = run.callers.order(sample.key.as_deref().unwrap()).await;
        assert_eq!(sample.outcome, RequestOutcome::Ran { replayed: false });
    }
    all_samples.extend(retries);
    run.require_valid(&all_samples).await;
}
