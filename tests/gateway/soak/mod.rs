//! Randomized soak test: gateway processes under load, injected faults, and a checker
//! that uses only what callers and backend servers observe.
//!
//! Each run is generated from a seed. `CAROBSTEP_SOAK_SEEDS=100..150` runs a range of
//! seeds manually, several at a time:
//!
//!     CAROBSTEP_SOAK_SEEDS=100..150 cargo test --test gateway soak::seeds_by_hand -- --nocapture
//!
//! and `CAROBSTEP_STOP_SEEDS` with `soak::planned_seeds_by_hand` those of planned work.

mod caller;
mod checker;
mod cluster;
mod faults;

use std::{sync::Arc, time::Instant};

use tokio::{sync::Semaphore, task::JoinSet};
use yare::parameterized;

use cluster::TestCluster;
use faults::FaultPlan;

/// Number of concurrent runs of [`run_range`].
const PARALLEL_RUNS: usize = 5;

/// Runs one seed and returns the violations.
async fn run_seed(seed: u64) -> Vec<String> {
    run_plan(seed, FaultPlan::generate(seed)).await
}

/// Runs a plan and returns the violations.
async fn run_plan(seed: u64, plan: FaultPlan) -> Vec<String> {
    let mut cluster = TestCluster::start().await;
    let calls = cluster.run(&plan).await;
    let mut violations = checker::check_run(&cluster, &calls);
    if plan.is_planned_work {
        violations.extend(checker::check_planned_work(&cluster, &calls));
    }
    violations.extend(cluster.violations.iter().cloned());
    if !violations.is_empty() {
        eprintln!("seed {seed}, faults: {plan:#?}");
        cluster.keep_logs(seed);
    }
    violations
}

// The first two seeds detect a duplicate execution of an order if the gateway is changed
// to retry every failed request. In the third one, a stopping node and its successor each
// shared out all of a limit.
#[parameterized(
    faults_of_all_kinds = { 4 },
    servers_that_lose_answers = { 6 },
    nodes_that_disagree_on_who_shares_out_a_limit = { 203 },
)]
#[test_macro(tokio::test(flavor = "multi_thread", worker_threads = 2))]
async fn promises_hold_under_faults(seed: u64) {
    let violations = run_seed(seed).await;
    assert!(violations.is_empty(), "seed {seed}:\n{}", violations.join("\n"));
}

/// Guards against orders that are cut at the end of a planned stop, while stops, starts and
/// changes overlap.
#[parameterized(
    one_series = { 1 },
    series_that_overlap = { 2 },
)]
#[test_macro(tokio::test(flavor = "multi_thread", worker_threads = 2))]
async fn planned_work_cuts_no_request(seed: u64) {
    let violations = run_plan(seed, FaultPlan::generate_planned(seed)).await;
    assert!(violations.is_empty(), "seed {seed}:\n{}", violations.join("\n"));
}

/// Runs seeds of the plans that `generate` returns, if the environment names a range.
async fn run_range(variable: &str, generate: fn(u64) -> FaultPlan) {
    let Ok(range) = std::env::var(variable) else { return };
    let bounds = range
        .split_once("..")
        .and_then(|(from, to)| Some((from.parse::<u64>().ok()?, to.parse::<u64>().ok()?)));
    let (from, to) = bounds.expect("a range such as 1..50");
    let permits = Arc::new(Semaphore::new(PARALLEL_RUNS));
    let mut runs = JoinSet::new();
    for seed in from..to {
        let permits = permits.clone();
        runs.spawn(async move {
            let _permit = permits.acquire().await.expect("the semaphore stays open");
            let start = Instant::now();
            let violations = run_plan(seed, generate(seed)).await;
            println!("seed {seed}: {} violations, {:?}", violations.len(), start.elapsed());
            (seed, violations)
        });
    }
    let mut failed = Vec::new();
    while let Some(run) = runs.join_next().await {
        let (seed, violations) = run.expect("a run");
        if !violations.is_empty() {
            failed.push(format!("seed {seed}:\n{}", violations.join("\n")));
        }
    }
    assert!(failed.is_empty(), "{}", failed.join("\n"));
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn seeds_by_hand() {
    run_range("CAROBSTEP_SOAK_SEEDS", FaultPlan::generate).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn planned_seeds_by_hand() {
    run_range("CAROBSTEP_STOP_SEEDS", FaultPlan::generate_planned).await;
}
