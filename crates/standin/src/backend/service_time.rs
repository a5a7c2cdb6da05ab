//! Random service times from a seeded generator.

use std::{f64::consts::TAU, time::Duration};

use rand::{RngExt, SeedableRng, rngs::StdRng};

use super::faults::ServerFaults;

/// Standard deviation of the logarithm of a service time.
const LOG_STD_DEV: f64 = 0.5;

/// Draws random service times around a mean.
///
/// The times follow a log-normal distribution, whose mean is
/// exp(mu + sigma^2 / 2) with sigma = `LOG_STD_DEV`.
#[derive(Debug)]
pub struct ServiceTimeSampler {
    mean: Duration,
    rng: StdRng,
}

impl ServiceTimeSampler {
    /// Creates a sampler whose draws are determined by `mean` and `seed`.
    #[must_use]
    pub fn new(mean: Duration, seed: u64) -> Self {
        Self { mean, rng: StdRng::seed_from_u64(seed) }
    }

    /// Draws the next service time, subject to the active faults.
    ///
    /// `warmth` is 0 for a server that has just started and 1 for a warm one.
    pub fn draw(&mut self, faults: &ServerFaults, warmth: f64) -> Duration {
        let base = self.log_normal();
        let is_straggler = self.rng.random::<f64>() * 100.0 < faults.straggle_percent;
        let straggle_factor = if is_straggler { faults.straggle_factor } else { 1.0 };
        let cold_factor = warmth + (1.0 - warmth) * faults.cold_factor;
        let factor = base * straggle_factor * cold_factor * faults.slow_factor;
        Duration::try_from_secs_f64(self.mean.as_secs_f64() * factor).unwrap_or(Duration::MAX)
    }

    /// Draws from a log-normal distribution with mean 1, by the Box-Muller transform.
    fn log_normal(&mut self) -> f64 {
        let radius = (-2.0 * (1.0 - self.rng.random::<f64>()).ln()).sqrt();
        let normal = radius * (TAU * self.rng.random::<f64>()).cos();
        (LOG_STD_DEV * normal - LOG_STD_DEV * LOG_STD_DEV / 2.0).exp()
    }
}
