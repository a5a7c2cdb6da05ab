//! Admission control for searches, on a simulated clock.

use std::time::Duration;

use carobstep_clock::BootTime;
use carobstep_dispatch::{AdmissionGate, GateDecision, SearchLoad};

/// Time from the start of a search to its end.
const LATENCY_MS: u64 = 100;

const SHARDS: usize = 50;

const DEADLINE: Duration = Duration::from_millis(500);

/// Time over which the servers' queues smooth bursts of arrivals: half of the deadline.
const QUEUE_MS: u64 = 250;

/// One run with evenly spaced arrivals.
///
/// The servers complete `capacity` searches per second and refuse a part of the
/// shards of each search beyond that.
struct GateRun {
    name: &'static str,
    offered: u64,
    capacity: u64,
    callers_return: bool,
    /// Minimum complete searches per second in the second half of the run.
    min_complete: f64,
    /// Maximum incomplete searches per second in the second half of the run.
    max_incomplete: f64,
}

const RUNS: &[GateRun] = &[
    GateRun {
        name: "below capacity, nothing is refused",
        offered: 80,
        capacity: 100,
        callers_return: false,
        min_complete: 79.0,
        max_incomplete: 0.0,
    },
    GateRun {
        name: "at 1.5 times capacity",
        offered: 150,
        capacity: 100,
        callers_return: false,
        min_complete: 90.0,
        max_incomplete: 10.0,
    },
    GateRun {
        name: "at 3 times capacity",
        offered: 300,
        capacity: 100,
        callers_return: false,
        min_complete: 90.0,
        max_incomplete: 10.0,
    },
    GateRun {
        name: "at 1.5 times capacity, with callers that return",
        offered: 150,
        capacity: 100,
        callers_return: true,
        min_complete: 90.0,
        max_incomplete: 10.0,
    },
];

#[derive(Default)]
struct GateFigures {
    complete: u32,
    incomplete: u32,
    refused: u32,
    returned: u32,
    returned_admitted: u32,
}

const SECONDS: u64 = 40;

fn run(case: &GateRun) -> GateFigures {
    let mut gate = AdmissionGate::new(BootTime::ZERO, DEADLINE);
    let mut figures = GateFigures::default();
    let mut running: Vec<(u64, SearchLoad)> = Vec::new();
    let mut pending_returns: Vec<(u64, u64)> = Vec::new();
    let mut recent_admissions: Vec<u64> = Vec::new();
    for millis in 0..SECONDS * 1_000 {
        let now = BootTime::from_millis(millis);
        let counted = millis >= SECONDS * 500;
        running.retain(|(started, load)| {
            if millis < started + LATENCY_MS {
                return true;
            }
            gate.finish(now, BootTime::from_millis(*started), *load);
            false
        });
        let mut arrivals: Vec<(u64, bool)> = Vec::new();
        if (millis * case.offered) / 1_000 != ((millis + 1) * case.offered) / 1_000 {
            arrivals.push((millis, false));
        }
        pending_returns.retain(|(due, caller)| {
            if *due > millis {
                return true;
            }
            arrivals.push((*caller, true));
            false
        });
        for (caller, returned) in arrivals {
            figures.returned += u32::from(returned && counted);
            match gate.offer(now, caller) {
                GateDecision::Refuse { retry_after } => {
                    figures.refused += u32::from(counted);
                    if case.callers_return && !returned {
                        let delay = retry_after.as_millis() as u64 + 1;
                        pending_returns.push((millis + delay, caller));
                    }
                }
                GateDecision::Admit => {
                    figures.returned_admitted += u32::from(returned && counted);
                    recent_admissions.retain(|at| at + QUEUE_MS > millis);
                    recent_admissions.push(millis);
                    let window_capacity = case.capacity * QUEUE_MS / 1_000;
                    let is_overloaded = recent_admissions.len() as u64 > window_capacity;
                    // The admitted searches share the capacity of the servers.
                    let refused_share =
                        (1.0 - window_capacity as f64 / recent_admissions.len() as f64).max(0.0);
                    let refused = ((refused_share * SHARDS as f64) as usize).min(SHARDS);
                    let refused = if is_overloaded { refused.max(1) } else { 0 };
                    figures.incomplete += u32::from(counted && is_overloaded);
                    figures.complete += u32::from(counted && !is_overloaded);
                    running.push((millis, SearchLoad { shards: SHARDS, refused }));
                }
            }
        }
    }
    figures
}

#[test]
fn searches_stay_complete_under_overload() {
    for case in RUNS {
        let figures = run(case);
        let seconds = SECONDS as f64 / 2.0;
        let complete = f64::from(figures.complete) / seconds;
        let incomplete = f64::from(figures.incomplete) / seconds;
        println!(
            "{}: {complete:.1} complete/s, {incomplete:.1} incomplete/s, {} refused, {} of {} returned callers admitted",
            case.name, figures.refused, figures.returned_admitted, figures.returned
        );
        assert!(complete >= case.min_complete, "{}: {complete}", case.name);
        assert!(incomplete <= case.max_incomplete, "{}: {incomplete}", case.name);
        if case.callers_return {
            assert!(figures.returned_admitted * 10 >= figures.returned * 9, "{}", case.name);
        }
    }
}

#[test]
fn callers_that_do_not_return_do_not_block_others() {
    let mut gate = AdmissionGate::new(BootTime::ZERO, DEADLINE);
    let mut now = BootTime::ZERO;
    for caller in 0..200 {
        now += Duration::from_millis(10);
        if gate.offer(now, caller) == GateDecision::Admit {
            gate.finish(now, now, SearchLoad { shards: SHARDS, refused: SHARDS });
        }
    }
    assert!(gate.rate().is_some());
    for caller in 1_000..3_000 {
        gate.offer(now, caller);
    }
    now += Duration::from_millis(250);
    assert_eq!(gate.offer(now, 9_000), GateDecision::Admit);
}

#[test]
fn limit_is_removed_when_the_overload_ends() {
    let mut gate = AdmissionGate::new(BootTime::ZERO, DEADLINE);
    let mut now = BootTime::ZERO;
    let mut search = |gate: &mut AdmissionGate, refused: usize| {
        now += Duration::from_millis(10);
        if gate.offer(now, 1) == GateDecision::Admit {
            gate.finish(now, now, SearchLoad { shards: SHARDS, refused });
        }
    };
    for _ in 0..100 {
        search(&mut gate, SHARDS / 2);
    }
    assert!(gate.rate().is_some());
    for _ in 0..3_000 {
        search(&mut gate, 0);
    }
    assert_eq!(gate.rate(), None);
}
