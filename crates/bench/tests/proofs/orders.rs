//! A request that must not repeat runs at most once, and its recorded outcome
//! is returned to every resend.

use std::time::Duration;

use carobstep_bench::{CallerSide, CallerView, ExecutionLedger, LoadSample, SampleKind};
use serde_json::json;
use tokio::task::JoinSet;

use crate::support::{ProofRun, pause};

/// Resends of one order after an answer that settles nothing.
const MAX_RESENDS: usize = 12;

/// Sends orders at a steady pace; each is resent, through whichever node
/// comes next, until an answer says that it ran.
async fn send_with_resends(side: CallerSide, prefix: String, count: usize) -> Vec<LoadSample> {
    let mut orders = JoinSet::new();
    for number in 0..count {
        orders.spawn(send_until_run(side.clone(), format!("{prefix}-{number}")));
        pause(50).await;
    }
    orders.join_all().await.into_iter().flatten().collect()
}

async fn send_until_run(side: CallerSide, key: String) -> Vec<LoadSample> {
    let mut samples = Vec::new();
    for _ in 0..MAX_RESENDS {
        let view = side.order(&key).await;
        let settled = matches!(view, CallerView::Ran { .. });
        samples.push(order_sample(&key, view));
        if settled {
            break;
        }
        pause(300).await;
    }
    samples
}

fn order_sample(key: &str, view: CallerView) -> LoadSample {
    LoadSample {
        kind: SampleKind::Order,
        at: Duration::ZERO,
        latency: Duration::ZERO,
        view,
        key: Some(key.to_owned()),
        later: None,
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn run_at_most_once_when_nodes_are_killed_and_callers_resend() {
    let mut run = ProofRun::start("orders-killed").await;
    let orders = tokio::spawn(send_with_resends(run.side.clone(), "killed".into(), 160));
    for victim in [1, 3] {
        pause(1_000).await;
        run.kill_node(victim).await;
        pause(2_000).await;
        run.restart_node(victim).await;
    }
    let samples = orders.await.unwrap();
    let (_, orders) = run.require_sound(&samples).await;
    assert!(orders.answered >= 100, "{orders:?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn run_at_most_once_when_the_platform_loses_answers() {
    let run = ProofRun::start("orders-lost").await;
    let mut samples = Vec::new();
    for round in 0..5 {
        run.deployment.platform_faults(&json!({"lose_answers": 8})).await.unwrap();
        samples.extend(send_with_resends(run.side.clone(), format!("lost-{round}"), 10).await);
    }
    run.deployment.platform_faults(&json!({"lose_answers": 0})).await.unwrap();
    let (_, orders) = run.require_sound(&samples).await;
    assert!(orders.answered >= 40, "{orders:?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn run_at_most_once_when_platform_writes_land_late() {
    let run = ProofRun::start("orders-late").await;
    run.deployment.platform_faults(&json!({"delay_writes_ms": 700})).await.unwrap();
    let mut samples = send_with_resends(run.side.clone(), "late".into(), 20).await;
    run.deployment.platform_faults(&json!({"delay_writes_ms": 0})).await.unwrap();
    pause(1_000).await;
    samples.extend(send_with_resends(run.side.clone(), "late".into(), 20).await);
    run.require_sound(&samples).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn of_one_key_sent_through_every_node_at_once_run_once() {
    let run = ProofRun::start("orders-raced").await;
    let mut samples = Vec::new();
    for number in 0..30 {
        let key = format!("raced-{number}");
        let mut racers = JoinSet::new();
        for _ in 0..run.deployment.nodes.len() {
            let (side, key) = (run.side.clone(), key.clone());
            racers.spawn(async move { side.order(&key).await });
        }
        let views = racers.join_all().await;
        let first = views.iter().filter(|view| **view == CallerView::Ran { replayed: false });
        assert!(first.count() <= 1, "{views:?}");
        samples.extend(views.into_iter().map(|view| order_sample(&key, view)));
        // A later resend returns the recorded outcome.
        let view = run.side.order(&key).await;
        assert_eq!(view, CallerView::Ran { replayed: true });
        samples.push(order_sample(&key, view));
    }
    run.require_sound(&samples).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn are_refused_as_not_run_while_the_platform_is_down_and_searches_go_on() {
    let run = ProofRun::start("orders-platform-down").await;
    run.deployment.platform_faults(&json!({"down": true})).await.unwrap();
    // Longer than a lease: the holders go on with their witnesses' vouching.
    let samples = run.load(40.0, 10.0, 10).await.unwrap();
    let (searches, _) = run.require_sound(&samples).await;
    assert_eq!(searches.full, searches.sent, "{searches:?}");
    for sample in samples.iter().filter(|sample| sample.kind == SampleKind::Order) {
        let CallerView::NotRun { retry_after, .. } = &sample.view else {
            panic!("{:?}", sample.view);
        };
        assert!(retry_after.is_some_and(|span| !span.is_zero()), "{:?}", sample.view);
    }
    let service = run.deployment.plan.order_service;
    let ledger = ExecutionLedger::read(&run.deployment, service).await.unwrap();
    for sample in samples.iter().filter_map(|sample| sample.key.as_deref()) {
        assert_eq!(ledger.executions(sample), 0);
    }
    run.deployment.platform_faults(&json!({"down": false})).await.unwrap();
    let samples = send_with_resends(run.side.clone(), "back".into(), 10).await;
    let (_, orders) = run.require_sound(&samples).await;
    assert_eq!(orders.answered, 10, "{orders:?}");
}
