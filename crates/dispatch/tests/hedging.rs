//! Hedging with a budget against none, on a paused clock with fixed seeds.

mod support;

use std::time::Duration;

use support::{
    fleet::{FleetRun, run},
    millis, quantile,
};

const BASE: FleetRun = FleetRun {
    shards: 1,
    replicas: 2,
    slots: 2,
    service: Duration::from_millis(5),
    load: 0.3,
    straggle: 0.01,
    straggle_factor: 10.0,
    hedge_percent: 2.0,
    retry_percent: 10.0,
    at_most_once: false,
    deadline_ms: 1_000,
    faults: &[],
    seconds: 60,
    seed: 1,
};

#[test]
fn prints() {
    for shards in [1, 6, 50] {
        for straggle in [0.01, 0.05] {
            for load in [0.2, 0.4] {
                for hedge_percent in [0.0, 2.0, 5.0] {
                    let seconds = if shards == 1 { 60 } else { 20 };
                    let mut figures =
                        run(FleetRun { shards, straggle, load, hedge_percent, seconds, ..BASE });
                    let mut latencies: Vec<_> = figures
                        .answers
                        .iter()
                        .filter(|answer| answer.at > Duration::from_secs(5))
                        .map(|answer| answer.latency)
                        .collect();
                    let started: u64 = figures.started.iter().sum();
                    println!(
                        "{shards} shards, stragglers {straggle}, load {load}, hedge {hedge_percent}%: shard p50 {:.1} p99 {:.1} p99.9 {:.1}, query p50 {:.1} p99 {:.1} ms, extra {:.2}%, hedges {}, retries {}",
                        millis(quantile(&mut figures.shard_latencies, 0.5)),
                        millis(quantile(&mut figures.shard_latencies, 0.99)),
                        millis(quantile(&mut figures.shard_latencies, 0.999)),
                        millis(quantile(&mut latencies, 0.5)),
                        millis(quantile(&mut latencies, 0.99)),
                        100.0 * (started as f64 / figures.needed as f64 - 1.0),
                        figures.hedges,
                        figures.retries,
                    );
                }
            }
        }
    }
}
