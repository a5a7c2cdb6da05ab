//! Expected income of a retry budget.
//!
//! Credit for retries is earned by first requests only. A request that lacks credit can
//! wait for it under load, but with few requests beside it none comes before its deadline.

use std::time::Duration;

use carobstep_clock::BootTime;

/// Time over which the income is averaged.
const AVERAGING_TIME: Duration = Duration::from_secs(1);

/// Moving average of the credit that a service's first requests earn.
#[derive(Clone, Copy, Debug)]
pub(crate) struct CreditIncome {
    per_second: f64,
    updated_at: BootTime,
}

impl CreditIncome {
    pub(crate) const fn new(now: BootTime) -> Self {
        Self { per_second: 0.0, updated_at: now }
    }

    /// Records credit in requests.
    pub(crate) fn record(&mut self, now: BootTime, credit: f64) {
        self.per_second = self.rate(now) + credit / AVERAGING_TIME.as_secs_f64();
        self.updated_at = now;
    }

    /// Returns the time in which `credit` is likely to be earned, in seconds.
    pub(crate) fn seconds_for(&self, now: BootTime, credit: f64) -> f64 {
        credit / self.rate(now)
    }

    fn rate(&self, now: BootTime) -> f64 {
        let averages = now.since(self.updated_at).div_duration_f64(AVERAGING_TIME);
        self.per_second * (-averages).exp()
    }
}
