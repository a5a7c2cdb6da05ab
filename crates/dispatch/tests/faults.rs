//! Retries and routing while backend servers fail, on a simulated clock with fixed seeds.
//!
//! `cargo test -p carobstep-dispatch --test faults -- --nocapture` prints the figures.

mod support;

use std::time::Duration;

use support::{
    fleet::{Fault, FaultKind, FleetFigures, FleetRun, SearchResult, run},
    millis, quantile,
};

/// Maximum time from the end of a fault to the full recovery.
const MAX_RECOVERY: Duration = Duration::from_secs(2);

/// Maximum p99 that counts as recovered, as a multiple of the p99 before the fault.
const RECOVERED_FACTOR: f64 = 1.2;

/// Share of a service's load that one of three equal servers takes.
const FAIR_SHARE: f64 = 1.0 / 3.0;

/// Number of retries that each service may send without having earned them.
const RETRY_RESERVE: f64 = 3.0;

/// Seconds in which one retry of a service's reserve is refilled.
const RESERVE_REFILL_SECS: f64 = 5.0;

const BASE: FleetRun = FleetRun {
    shards: 3,
    replicas: 3,
    slots: 2,
    service_time: Duration::from_millis(5),
    load: 0.4,
    straggle: 0.0,
    straggle_factor: 1.0,
    hedge_percent: 2.0,
    retry_percent: 10.0,
    at_most_once: false,
    deadline_ms: 170,
    callers_return: false,
    faults: &[],
    seconds: 30,
    seed: 1,
};

const fn fault(server: usize, from_ms: u64, until_ms: u64, kind: FaultKind) -> Fault {
    Fault { server, from_ms, until_ms, kind }
}

/// One replica of each service sheds its load, then all replicas do, then none.
const SHEDDING: &[Fault] = &[
    fault(0, 10_000, 20_000, FaultKind::Shed),
    fault(3, 10_000, 20_000, FaultKind::Shed),
    fault(6, 10_000, 20_000, FaultKind::Shed),
    fault(1, 15_000, 20_000, FaultKind::Shed),
    fault(2, 15_000, 20_000, FaultKind::Shed),
    fault(4, 15_000, 20_000, FaultKind::Shed),
    fault(5, 15_000, 20_000, FaultKind::Shed),
    fault(7, 15_000, 20_000, FaultKind::Shed),
    fault(8, 15_000, 20_000, FaultKind::Shed),
];

fn between(figures: &FleetFigures, from: Duration, until: Duration) -> Vec<SearchResult> {
    let results = figures.results.iter().copied();
    results.filter(|result| (from..until).contains(&result.at)).collect()
}

fn p99(results: &[SearchResult]) -> Duration {
    let mut latencies: Vec<_> = results.iter().map(|result| result.latency).collect();
    quantile(&mut latencies, 0.99)
}

fn coverage(results: &[SearchResult]) -> f64 {
    let covered: usize = results.iter().map(|result| result.covered).sum();
    let all: usize = results.iter().map(|result| result.covered + result.missing).sum();
    covered as f64 / all.max(1) as f64
}

fn secs(count: u64) -> Duration {
    Duration::from_secs(count)
}

#[test]
fn retries_stay_within_the_budget_while_servers_shed() {
    let figures = run(FleetRun { faults: SHEDDING, ..BASE });
    let phases = [
        ("before", secs(5), secs(10)),
        ("a third sheds", secs(10), secs(15)),
        ("all shed", secs(15), secs(20)),
        ("just after", secs(20), secs(20) + MAX_RECOVERY),
        ("recovered", secs(20) + MAX_RECOVERY, secs(30)),
    ];
    let before = between(&figures, phases[0].1, phases[0].2);
    for (name, from, until) in phases {
        let results = between(&figures, from, until);
        let span = from..until;
        let retries = figures.retry_times.iter().filter(|at| span.contains(*at)).count();
        println!(
            "{name}: {} searches, coverage {:.4}, p99 {:.1} ms, retries {retries}",
            results.len(),
            coverage(&results),
            millis(p99(&results)),
        );
    }
    let services = BASE.shards as f64;
    let first = figures.needed_shards as f64;
    let reserve = RETRY_RESERVE + BASE.seconds as f64 / RESERVE_REFILL_SECS;
    let budget = first * BASE.retry_percent / 100.0 + reserve * services;
    println!("retries {} of at most {budget:.0}", figures.retries);
    assert!(figures.retries as f64 <= budget);
    let shedding = between(&figures, secs(15), secs(20));
    let during = secs(15)..secs(20);
    let retries = figures.retry_times.iter().filter(|at| during.contains(*at)).count();
    let earned = shedding.len() as f64 * services * BASE.retry_percent / 100.0;
    // Each service may have accumulated up to 20 retries.
    assert!(retries as f64 <= earned + 20.0 * services, "{retries} retries of {earned}");
    let recovered = between(&figures, secs(20) + MAX_RECOVERY, secs(30));
    assert_eq!(coverage(&recovered), 1.0);
    let factor = p99(&recovered).div_duration_f64(p99(&before));
    assert!(factor <= RECOVERED_FACTOR, "p99 {factor} of that before");
}

struct FaultCase {
    name: &'static str,
    faults: &'static [Fault],
}

/// Cases in which server 0 is faulty from second 10 to second 20.
const FAULT_CASES: &[FaultCase] = &[
    FaultCase {
        name: "ten times slower",
        faults: &[fault(0, 10_000, 20_000, FaultKind::Slow(10.0))],
    },
    FaultCase {
        name: "ten times slower while the other replicas report a high load",
        faults: &[
            fault(0, 10_000, 20_000, FaultKind::Slow(10.0)),
            fault(1, 0, 30_000, FaultKind::ReportsLoad(10.0)),
            fault(2, 0, 30_000, FaultKind::ReportsLoad(10.0)),
        ],
    },
    FaultCase { name: "silent", faults: &[fault(0, 10_000, 20_000, FaultKind::Silent)] },
    FaultCase { name: "sheds", faults: &[fault(0, 10_000, 20_000, FaultKind::Shed)] },
    FaultCase {
        name: "cold: five times slower for 2 s",
        faults: &[
            fault(0, 10_000, 15_000, FaultKind::Shed),
            fault(0, 15_000, 17_000, FaultKind::Slow(5.0)),
        ],
    },
];

#[test]
fn faulty_server_gets_less_load() {
    for case in FAULT_CASES {
        let figures = run(FleetRun { faults: case.faults, load: 0.3, ..BASE });
        let before = between(&figures, secs(5), secs(10));
        let during = between(&figures, secs(12), secs(20));
        let after = between(&figures, secs(22), secs(30));
        let span = secs(12)..secs(20);
        let arrivals = |server: usize| {
            figures.arrivals[server].iter().filter(|at| span.contains(*at)).count() as f64
        };
        let share = arrivals(0) / (arrivals(0) + arrivals(1) + arrivals(2));
        println!(
            "{}: p99 before {:.1} ms, first second {:.1} ms, next {:.1} ms, then {:.1} ms, after {:.1} ms; coverage {:.4}; share of load on it {share:.4}",
            case.name,
            millis(p99(&before)),
            millis(p99(&between(&figures, secs(10), secs(11)))),
            millis(p99(&between(&figures, secs(11), secs(12)))),
            millis(p99(&during)),
            millis(p99(&after)),
            coverage(&during),
        );
        assert!(share < FAIR_SHARE / 2.0, "{}: share {share}", case.name);
        let factor = p99(&during).div_duration_f64(p99(&before));
        assert!(factor <= RECOVERED_FACTOR, "{}: p99 {factor} of that before", case.name);
        let factor = p99(&after).div_duration_f64(p99(&before));
        assert!(factor <= RECOVERED_FACTOR, "{}: p99 {factor} of that before", case.name);
    }
}

/// Minimum share of the returning callers that are served.
const MIN_SERVED_SHARE: f64 = 0.9;

struct OverloadCase {
    shards: usize,
    load: f64,
    retry_percent: f64,
}

const OVERLOAD_CASES: &[OverloadCase] = &[
    OverloadCase { shards: 1, load: 1.5, retry_percent: 10.0 },
    OverloadCase { shards: 1, load: 3.0, retry_percent: 10.0 },
    OverloadCase { shards: 1, load: 3.0, retry_percent: 0.0 },
    OverloadCase { shards: 3, load: 1.5, retry_percent: 10.0 },
];

#[test]
fn refused_callers_reach_the_server_that_booked_their_retry_time() {
    for case in OVERLOAD_CASES {
        let figures = run(FleetRun {
            shards: case.shards,
            load: case.load,
            retry_percent: case.retry_percent,
            callers_return: true,
            seconds: 20,
            ..BASE
        });
        let served_share = figures.returned_served as f64 / figures.returned as f64;
        println!(
            "{} shards, load {}, retries {}%: {} callers returned, {served_share:.3} served; retries {}",
            case.shards, case.load, case.retry_percent, figures.returned, figures.retries,
        );
        assert!(figures.returned > 500);
        assert!(case.shards > 1 || served_share >= MIN_SERVED_SHARE, "{served_share}");
    }
}
