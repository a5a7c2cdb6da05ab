//! A non-repeatable request runs at most once, and each retry of it receives the
//! recorded outcome.

use std::time::Duration;

use carobstep_bench::{CallerGroup, ExecutionLedger, LoadSample, RequestOutcome, SampleKind};
use serde_json::json;
use tokio::task::JoinSet;

use crate::support::{ProofRun, pause};

/// Maximum number of times that one order is sent.
const MAX_ATTEMPTS: usize = 12;

/// Sends orders at a constant rate. Each order is retried, through the next node of
/// the balancer, until its response says that it ran.
async fn send_with_retries(callers: CallerGroup, prefix: String, count: usize) -> Vec<LoadSample> {
    let mut orders = JoinSet::new();
    for number in 0..count {
        orders.spawn(send_until_run(callers.clone(), format!("{prefix}-{number}")));
        pause(50).await;
    }
    orders.join_all().await.into_iter().flatten().collect()
}

async fn send_until_run(callers: CallerGroup, key: String) -> Vec<LoadSample> {
    let mut samples = Vec::new();
    for _ in 0..MAX_ATTEMPTS {
        let outcome = callers.order(&key).await;
        let resolved = matches!(outcome, RequestOutcome::Ran { .. });
        samples.push(order_sample(&key, outcome));
        if resolved {
            break;
        }
        pause(300).await;
    }
    samples
}

fn order_sample(key: &str, outcome: RequestOutcome) -> LoadSample {
    LoadSample {
        kind: SampleKind::Order,
        scheduled_at: Duration::ZERO,
        latency: Duration::ZERO,
        outcome,
        key: Some(key.to_owned()),
        retry_outcome: None,
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn run_at_most_once_when_nodes_are_killed_and_callers_resend() {
    let mut run = ProofRun::start("orders-killed").await;
    let orders = tokio::spawn(send_with_retries(run.callers.clone(), "killed".into(), 160));
    for killed in [1, 3] {
        pause(1_000).await;
        run.kill_node(killed).await;
        pause(2_000).await;
        run.restart_node(killed).await;
    }
    let samples = orders.await.unwrap();
    let (_, orders) = run.require_valid(&samples).await;
    assert!(orders.answered >= 100, "{orders:?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn run_at_most_once_when_the_platform_loses_answers() {
    let run = ProofRun::start("orders-lost").await;
    let mut samples = Vec::new();
    for round in 0..5 {
        run.deployment.set_platform_faults(&json!({"lose_answers": 8})).await.unwrap();
        samples.extend(send_with_retries(run.callers.clone(), format!("lost-{round}"), 10).await);
    }
    run.deployment.set_platform_faults(&json!({"lose_answers": 0})).await.unwrap();
    let (_, orders) = run.require_valid(&samples).await;
    assert!(orders.answered >= 40, "{orders:?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn run_at_most_once_when_platform_writes_land_late() {
    let run = ProofRun::start("orders-late").await;
    run.deployment.set_platform_faults(&json!({"delay_writes_ms": 700})).await.unwrap();
    let mut samples = send_with_retries(run.callers.clone(), "late".into(), 20).await;
    run.deployment.set_platform_faults(&json!({"delay_writes_ms": 0})).await.unwrap();
    pause(1_000).await;
    samples.extend(send_with_retries(run.callers.clone(), "late".into(), 20).await);
    run.require_valid(&samples).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn of_one_key_sent_through_every_node_at_once_run_once() {
    let run = ProofRun::start("orders-raced").await;
    let mut samples = Vec::new();
    for number in 0..30 {
        let key = format!("raced-{number}");
        let mut requests = JoinSet::new();
        for _ in 0..run.deployment.nodes.len() {
            let (callers, key) = (run.callers.clone(), key.clone());
            requests.spawn(async move { callers.order(&key).await });
        }
        let outcomes = requests.join_all().await;
        let first =
            outcomes.iter().filter(|outcome| **outcome == RequestOutcome::Ran { replayed: false });
        assert!(first.count() <= 1, "{outcomes:?}");
        samples.extend(outcomes.into_iter().map(|outcome| order_sample(&key, outcome)));
        // A later retry receives the recorded outcome.
        let outcome = run.callers.order(&key).await;
        assert_eq!(outcome, RequestOutcome::Ran { replayed: true });
        samples.push(order_sample(&key, outcome));
    }
    run.require_valid(&samples).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn are_refused_as_not_run_while_the_platform_is_down_and_searches_go_on() {
    let run = ProofRun::start("orders-platform-down").await;
    run.deployment.set_platform_faults(&json!({"down": true})).await.unwrap();
    // Longer than a lease term: the holders continue on the confirmations of their
    // witnesses.
    let samples = run.start_load(40.0, 10.0, 10).await.unwrap();
    let (searches, _) = run.require_valid(&samples).await;
    assert_eq!(searches.full, searches.sent, "{searches:?}");
    for sample in samples.iter().filter(|sample| sample.kind == SampleKind::Order) {
        let RequestOutcome::NotRun { retry_after, .. } = &sample.outcome else {
            panic!("{:?}", sample.outcome);
        };
        assert!(retry_after.is_some_and(|span| !span.is_zero()), "{:?}", sample.outcome);
    }
    let service = run.deployment.plan.order_service;
    let ledger = ExecutionLedger::read(&run.deployment, service).await.unwrap();
    for sample in samples.iter().filter_map(|sample| sample.key.as_deref()) {
        assert_eq!(ledger.executions(sample), 0);
    }
    run.deployment.set_platform_faults(&json!({"down": false})).await.unwrap();
    let samples = send_with_retries(run.callers.clone(), "back".into(), 10).await;
    let (_, orders) = run.require_valid(&samples).await;
    assert_eq!(orders.answered, 10, "{orders:?}");
}
