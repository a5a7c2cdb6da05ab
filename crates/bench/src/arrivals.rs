//! Seeded Poisson arrivals for open-loop load.

use std::time::Duration;

use rand::{RngExt, SeedableRng, rngs::StdRng};

/// Arrival times of a Poisson process, as offsets from its start.
#[derive(Debug)]
pub struct ArrivalProcess {
    rng: StdRng,
    rate_per_second: f64,
    elapsed_seconds: f64,
}

impl ArrivalProcess {
    /// Creates a process with the given mean rate; with a rate of zero it yields
    /// no arrivals.
    #[must_use]
    pub fn new(rate_per_second: f64, seed: u64) -> Self {
        Self { rng: StdRng::seed_from_u64(seed), rate_per_second, elapsed_seconds: 0.0 }
    }
}

impl Iterator for ArrivalProcess {
    type Item = Duration;

    /// Draws the next interarrival time from the exponential distribution by inversion.
    fn next(&mut self) -> Option<Duration> {
        if self.rate_per_second <= 0.0 {
            return None;
        }
        let uniform: f64 = self.rng.random();
        self.elapsed_seconds -= (1.0 - uniform).ln() / self.rate_per_second;
        Some(Duration::from_secs_f64(self.elapsed_seconds))
    }
}
