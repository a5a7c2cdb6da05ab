//! A request that is refused as not run did not run.

use std::time::Duration;

use carobstep_bench::{CallerView, ProcessSignal, SampleKind};

use crate::support::{ProofRun, options, pause};

const ORDER_RATE: f64 = 30.0;

struct CutCase {
    name: &'static str,
    faults: &'static str,
    /// Whether an order that reaches a faulty server may be answered as run.
    may_run: bool,
}

/// Cuts at each step between the holder and the backend server.
const CASES: [CutCase; 7] = [
    CutCase { name: "shed", faults: r#"{"shed": true}"#, may_run: false },
    CutCase { name: "draining", faults: r#"{"state": "draining"}"#, may_run: false },
    CutCase { name: "silent", faults: r#"{"silent": true}"#, may_run: true },
    CutCase { name: "silent-new", faults: r#"{"silent_new": true}"#, may_run: true },
    CutCase { name: "truncated", faults: r#"{"truncate": true}"#, may_run: false },
    CutCase { name: "failed", faults: r#"{"error500": true}"#, may_run: false },
    CutCase { name: "other-reply", faults: r#"{"swap_echo": true}"#, may_run: true },
];

const HEALED: &str = r#"{"shed": false, "state": "healthy", "silent": false, "silent_new": false,
    "truncate": false, "error500": false, "swap_echo": false}"#;

async fn set_order_faults(run: &ProofRun, faults: &str) {
    let faults = serde_json::from_str(faults).unwrap();
    for server in &run.deployment.servers {
        if server.service != run.deployment.plan.order_service {
            continue;
        }
        server.faults(&run.deployment.client, &faults).await.unwrap();
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn is_true_when_backend_servers_fail_at_each_step() {
    let mut run = ProofRun::start("not-run-steps").await;
    for (position, case) in CASES.into_iter().enumerate() {
        println!("case {}", case.name);
        set_order_faults(&run, case.faults).await;
        let samples = run.load_seeded(0.0, ORDER_RATE, 3, position as u64).await.unwrap();
        run.require_sound(&samples).await;
        let ran = samples.iter().any(|sample| matches!(sample.view, CallerView::Ran { .. }));
        assert!(case.may_run || !ran, "{}", case.name);
        set_order_faults(&run, HEALED).await;
        run.require_recovery().await;
        pause(500).await;
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn is_true_when_nodes_and_servers_are_killed_under_load() {
    let mut options = options("not-run-killed");
    options.servers_per_process = 1;
    let mut run = ProofRun::start_with(options, 2).await;
    let load = run.load(0.0, ORDER_RATE, 10);
    pause(1_000).await;
    run.kill_node(2).await;
    pause(1_500).await;
    run.deployment.signal_node(5, ProcessSignal::Freeze).unwrap();
    pause(1_500).await;
    run.deployment.signal_node(5, ProcessSignal::Resume).unwrap();
    run.restart_node(2).await;
    let samples = load.await.unwrap();
    let (_, orders) = run.require_sound(&samples).await;
    assert!(orders.answered > 0);
}

#[tokio::test(flavor = "multi_thread")]
async fn is_told_with_a_time_to_come_back_that_is_true() {
    let run = ProofRun::start("not-run-retry").await;
    set_order_faults(&run, r#"{"shed": true, "shed_retry_after_ms": 400}"#).await;
    let samples = run.load(0.0, ORDER_RATE, 2).await.unwrap();
    set_order_faults(&run, HEALED).await;
    let mut resent = samples.clone();
    for sample in samples.iter().filter(|sample| sample.kind == SampleKind::Order) {
        let CallerView::NotRun { retry_after: Some(span), .. } = &sample.view else {
            panic!("{:?}", sample.view);
        };
        assert!(*span > Duration::ZERO && *span <= Duration::from_secs(10), "{span:?}");
    }
    pause(1_000).await;
    // A key whose request was refused as not run may be used again.
    let mut later = samples;
    for sample in &mut later {
        sample.view = run.side.order(sample.key.as_deref().unwrap()).await;
        assert_eq!(sample.view, CallerView::Ran { replayed: false });
    }
    resent.extend(later);
    run.require_sound(&resent).await;
}
