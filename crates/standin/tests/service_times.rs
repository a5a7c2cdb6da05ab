//! Checks the mean of service times under each fault, and that they depend on the seed alone.

use std::time::Duration;

use carobstep_standin::{ServerFaults, ServiceTimeSampler};

const MEAN: Duration = Duration::from_millis(5);
const DRAWS: u32 = 20_000;

struct DrawCase {
    name: &'static str,
    change: fn(&mut ServerFaults),
    warmth: f64,
    /// Expected mean of the draws, as a multiple of [`MEAN`].
    expected_ratio: f64,
}

const CASES: &[DrawCase] = &[
    DrawCase { name: "none", change: |_| {}, warmth: 1.0, expected_ratio: 1.0 },
    DrawCase {
        name: "slow",
        change: |faults| faults.slow_factor = 3.0,
        warmth: 1.0,
        expected_ratio: 3.0,
    },
    DrawCase {
        name: "stragglers",
        change: |faults| {
            faults.straggle_percent = 5.0;
            faults.straggle_factor = 21.0;
        },
        warmth: 1.0,
        expected_ratio: 2.0,
    },
    DrawCase {
        name: "cold",
        change: |faults| faults.cold_factor = 8.0,
        warmth: 0.0,
        expected_ratio: 8.0,
    },
    DrawCase {
        name: "warming",
        change: |faults| faults.cold_factor = 8.0,
        warmth: 0.5,
        expected_ratio: 4.5,
    },
];

fn draw(faults: &ServerFaults, warmth: f64, seed: u64) -> Vec<Duration> {
    let mut sampler = ServiceTimeSampler::new(MEAN, seed);
    (0..DRAWS).map(|_| sampler.draw(faults, warmth)).collect()
}

#[test]
fn draws_have_the_expected_mean() {
    for case in CASES {
        let mut faults = ServerFaults::none(Vec::new());
        (case.change)(&mut faults);
        let draws = draw(&faults, case.warmth, 1);
        let mean = draws.iter().sum::<Duration>() / DRAWS;
        let ratio = mean.as_secs_f64() / MEAN.as_secs_f64();
        let error = (ratio / case.expected_ratio - 1.0).abs();
        assert!(error < 0.05, "{}: {ratio}", case.name);
    }
}

#[test]
fn draws_depend_on_the_seed_alone() {
    let faults = ServerFaults::none(Vec::new());
    assert_eq!(draw(&faults, 1.0, 7), draw(&faults, 1.0, 7));
    assert_ne!(draw(&faults, 1.0, 7), draw(&faults, 1.0, 8));
}
