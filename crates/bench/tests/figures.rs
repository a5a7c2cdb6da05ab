//! Arrival times, latency and outcome summaries, plots and process usage.

use std::{process, time::Duration};

use carobstep_bench::{
    ArrivalProcess, LatencySummary, LoadSample, OutcomeSummary, ProcessUsage, RequestOutcome,
    SampleKind, SearchOutcome, plot_latencies,
};

#[test]
fn arrivals_are_deterministic_and_have_the_mean_rate() {
    let arrivals = |seed| ArrivalProcess::new(100.0, seed).take(10_000).collect::<Vec<_>>();
    assert_eq!(arrivals(1), arrivals(1));
    assert_ne!(arrivals(1), arrivals(2));
    let last = arrivals(1)[9_999].as_secs_f64();
    assert!((95.0..105.0).contains(&last), "10,000 arrivals at 100/s took {last} s");
    assert_eq!(ArrivalProcess::new(0.0, 1).next(), None);
}

#[test]
fn latencies_are_summarised() {
    let summary = LatencySummary::from_latencies((1..=1000).map(Duration::from_millis));
    assert_eq!(summary.count, 1000);
    assert!(summary.p50_us.abs_diff(500_000) < 1_000);
    assert!(summary.p99_us.abs_diff(990_000) < 1_000);
}

fn search(millis: u64, missing: usize) -> LoadSample {
    let missing = vec!["deadline_passed".to_owned(); missing];
    let outcome = SearchOutcome { snapshot: 1, covered: 4 - missing.len(), missing };
    LoadSample {
        kind: SampleKind::Search,
        scheduled_at: Duration::ZERO,
        latency: Duration::from_millis(millis),
        outcome: RequestOutcome::Searched(outcome),
        key: None,
        retry_outcome: None,
    }
}

#[test]
fn coverage_is_averaged_over_searches() {
    let summary = OutcomeSummary::from_samples(&[search(5, 0), search(9, 2)], SampleKind::Search);
    assert_eq!((summary.answered, summary.full), (2, 1));
    assert!((summary.mean_coverage - 0.75).abs() < 1e-9);
    assert_eq!(summary.missing["deadline_passed"], 2);
}

#[test]
fn plots_are_svg() {
    let samples: Vec<LoadSample> = (1..500).map(|millis| search(millis, 0)).collect();
    assert!(plot_latencies(&samples).unwrap().contains("polyline"));
    assert!(plot_latencies(&[]).unwrap().contains("</svg>"));
}

#[test]
fn usage_of_this_process_is_read() {
    let usage = ProcessUsage::read(process::id()).unwrap();
    assert!(usage.resident_bytes > 0);
    assert_eq!(ProcessUsage::read(0), None);
}
