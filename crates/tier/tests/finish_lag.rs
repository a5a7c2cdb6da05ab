//! Time that is reserved for merging the results of a search.
//!
//! Guards against answers that small machines start too late to be in time.

use std::time::Duration;

use carobstep_tier::FinishLag;

const OBJECTIVE: Duration = Duration::from_millis(200);

const fn millis(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// A node, its searches and what they leave for the caller.
struct LagCase {
    label: &'static str,
    cpu_share: f64,
    shards: usize,
    /// Actual time that finishing takes, in milliseconds.
    lag: u64,
    /// Most searches that may be late before the estimate suffices.
    max_late: usize,
    /// Most time that may be reserved in vain at the end, in milliseconds.
    max_spare: u64,
}

#[test]
fn the_reserve_follows_the_time_that_finishing_takes() {
    let cases = [
        LagCase {
            label: "an eighth of a core, 180 shards",
            cpu_share: 0.12,
            shards: 180,
            lag: 14,
            max_late: 12,
            max_spare: 2,
        },
        LagCase {
            label: "a quarter of a core, 20 shards",
            cpu_share: 0.25,
            shards: 20,
            lag: 1,
            max_late: 12,
            max_spare: 2,
        },
        LagCase {
            label: "half a core that is not loaded",
            cpu_share: 0.5,
            shards: 180,
            lag: 0,
            max_late: 0,
            max_spare: 2,
        },
        LagCase {
            label: "a machine that is slow for another reason",
            cpu_share: 1.0,
            shards: 50,
            lag: 30,
            max_late: 12,
            max_spare: 2,
        },
    ];
    for case in cases {
        let label = case.label;
        let mut lag = FinishLag::new(case.cpu_share);
        let actual = millis(case.lag);
        let mut late = 0;
        for _ in 0..40 {
            // Half a millisecond is within the margin that the caller's side has.
            if lag.reserve(case.shards, OBJECTIVE) + Duration::from_micros(500) < actual {
                late += 1;
            }
            lag.record(case.shards, actual);
        }
        assert!(late <= case.max_late, "{label}: {late} late");
        let spare = lag.reserve(case.shards, OBJECTIVE).saturating_sub(actual);
        assert!(spare <= millis(case.max_spare), "{label}: {spare:?} spare");
    }
}

#[test]
fn one_very_late_search_takes_no_more_than_a_quarter_of_the_objective() {
    let mut lag = FinishLag::new(0.12);
    lag.record(180, Duration::from_secs(9));
    assert_eq!(lag.reserve(180, OBJECTIVE), millis(50));
    for _ in 0..100 {
        lag.record(180, Duration::ZERO);
    }
    assert!(lag.reserve(180, OBJECTIVE) < millis(5));
}
