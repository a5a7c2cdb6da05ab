//! Service times follow their mean, their seed and the faults.

use std::time::Duration;

use carobstep_standin::{ServerFaults, ServiceTimeSampler};

const MEAN: Duration = Duration::from_millis(5);
const DRAWS: u32 = 20_000;

struct Case {
    name: &'static str,
    change: fn(&mut ServerFaults),
    warmth: f64,
    /// Mean of the draws over [`MEAN`].
    expected: f64,
}

const CASES: &[Case] = &[
    Case { name: "none", change: |_| {}, warmth: 1.0, expected: 1.0 },
    Case { name: "slow", change: |faults| faults.slow_factor = 3.0, warmth: 1.0, expected: 3.0 },
    Case {
        name: "stragglers",
        change: |faults| {
            faults.straggle_percent = 5.0;
            faults.straggle_factor = 21.0;
        },
        warmth: 1.0,
        expected: 2.0,
    },
    Case { name: "cold", change: |faults| faults.cold_factor = 8.0, warmth: 0.0, expected: 8.0 },
    Case { name: "warming", change: |faults| faults.cold_factor = 8.0, warmth: 0.5, expected: 4.5 },
];

fn draw(faults: &ServerFaults, warmth: f64, seed: u64) -> Vec<Duration> {
    let mut times = ServiceTimeSampler::new(MEAN, seed);
    (0..DRAWS).map(|_| times.draw(faults, warmth)).collect()
}

#[test]
fn draws_have_their_mean() {
    for case in CASES {
        let mut faults = ServerFaults::none(Vec::new());
        (case.change)(&mut faults);
        let draws = draw(&faults, case.warmth, 1);
        let mean = draws.iter().sum::<Duration>() / DRAWS;
        let ratio = mean.as_secs_f64() / MEAN.as_secs_f64();
        let error = (ratio / case.expected - 1.0).abs();
        assert!(error < 0.05, "{}: {ratio}", case.name);
    }
}

#[test]
fn draws_depend_on_the_seed_alone() {
    let faults = ServerFaults::none(Vec::new());
    assert_eq!(draw(&faults, 1.0, 7), draw(&faults, 1.0, 7));
    assert_ne!(draw(&faults, 1.0, 7), draw(&faults, 1.0, 8));
}
