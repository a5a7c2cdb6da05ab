//! A randomized soak: real gateways as processes, faults from outside, and a
//! judge that sees only what callers and backend servers see.
//!
//! Every run is drawn from one seed. `CAROBSTEP_SOAK_SEEDS=100..150` plays a
//! range by hand, several at a time:
//!
//!     CAROBSTEP_SOAK_SEEDS=100..150 cargo test --test gateway soak::seeds_by_hand -- --nocapture

mod caller;
mod faults;
mod judge;
mod world;

use std::{sync::Arc, time::Instant};

use tokio::{sync::Semaphore, task::JoinSet};
use yare::parameterized;

use faults::FaultPlan;
use world::SoakWorld;

/// Runs that go on at the same time by hand.
const PARALLEL_RUNS: usize = 5;

/// Plays one seed and returns the broken promises.
async fn play(seed: u64) -> Vec<String> {
    let plan = FaultPlan::draw(seed);
    let mut world = SoakWorld::start().await;
    let calls = world.run(&plan).await;
    let mut broken = judge::judge(&world, &calls);
    broken.extend(world.broken.iter().cloned());
    if !broken.is_empty() {
        eprintln!("seed {seed}, faults: {plan:#?}");
        world.keep_logs(seed);
    }
    broken
}

// Both seeds see an order that is sent twice when the gateway is made to repeat
// whatever failed.
#[parameterized(
    faults_of_all_kinds = { 4 },
    servers_that_lose_answers = { 6 },
)]
#[test_macro(tokio::test(flavor = "multi_thread", worker_threads = 2))]
async fn promises_hold_under_faults(seed: u64) {
    let broken = play(seed).await;
    assert!(broken.is_empty(), "seed {seed}:\n{}", broken.join("\n"));
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn seeds_by_hand() {
    let Ok(range) = std::env::var("CAROBSTEP_SOAK_SEEDS") else { return };
    let bounds = range
        .split_once("..")
        .and_then(|(from, to)| Some((from.parse::<u64>().ok()?, to.parse::<u64>().ok()?)));
    let (from, to) = bounds.expect("CAROBSTEP_SOAK_SEEDS is a range such as 1..50");
    let places = Arc::new(Semaphore::new(PARALLEL_RUNS));
    let mut runs = JoinSet::new();
    for seed in from..to {
        let places = places.clone();
        runs.spawn(async move {
            let _place = places.acquire().await.expect("the semaphore stays open");
            let start = Instant::now();
            let broken = play(seed).await;
            println!("seed {seed}: {} broken, {:?}", broken.len(), start.elapsed());
            (seed, broken)
        });
    }
    let mut failed = Vec::new();
    while let Some(run) = runs.join_next().await {
        let (seed, broken) = run.expect("a run");
        if !broken.is_empty() {
            failed.push(format!("seed {seed}:\n{}", broken.join("\n")));
        }
    }
    assert!(failed.is_empty(), "{}", failed.join("\n"));
}
