//! Latency statistics and budgets of one service.

use std::time::Duration;

use carobstep_clock::BootTime;
use carobstep_config::ServiceEntry;

use super::stats::{AttemptObservation, AttemptStatus};
use crate::{
    budget::TokenBucket,
    estimate::{LatencyHistogram, MeanEstimate},
};

/// Minimum weight of the latency samples to compute a hedge delay.
const MIN_HEDGE_SAMPLES: u32 = 50;

/// Number of samples between two computations of the hedge delay.
const HEDGE_REFRESH_SAMPLES: u32 = 64;

/// Share of the hedge budget that the hedge delay aims to use.
const HEDGE_BUDGET_SHARE: f64 = 0.9;

/// Latency quantile that stragglers do not affect.
const COMMON_QUANTILE: f64 = 0.9;

/// Multiple of the [`COMMON_QUANTILE`] latency after which a request is a straggler.
const STRAGGLER_FACTOR: u32 = 2;

/// Minimum hedge delay.
const MIN_HEDGE_DELAY: Duration = Duration::from_millis(1);

/// Time for which a service counts as overloaded after a queue refused a request.
const OVERLOAD_TIME: Duration = Duration::from_millis(500);

/// Number of retries that a service may send before it has earned any.
const RETRY_RESERVE: f64 = 3.0;

/// Latency statistics and budgets of one service at one entry node.
#[derive(Clone, Debug)]
pub(super) struct ServiceStats {
    pub(super) hedges: TokenBucket,
    pub(super) retries: TokenBucket,
    latencies: LatencyHistogram,
    mean_latency: MeanEstimate,
    hedge_delay: Duration,
    samples_since_refresh: u32,
    overloaded_until: BootTime,
}

impl ServiceStats {
    pub(super) fn new(entry: &ServiceEntry, now: BootTime) -> Self {
        Self {
            hedges: TokenBucket::new(entry.hedge_ratio, 0.0, now),
            retries: TokenBucket::new(entry.retry_ratio, RETRY_RESERVE, now),
            latencies: LatencyHistogram::default(),
            mean_latency: MeanEstimate::default(),
            hedge_delay: Duration::MAX,
            samples_since_refresh: 0,
            overloaded_until: BootTime::ZERO,
        }
    }

    pub(super) fn set_entry(&mut self, entry: &ServiceEntry) {
        self.hedges.set_ratio(entry.hedge_ratio);
        self.retries.set_ratio(entry.retry_ratio);
        self.refresh_hedge_delay();
    }

    pub(super) fn earn_budget(&mut self) {
        self.hedges.earn();
        self.retries.earn();
    }

    pub(super) const fn hedge_delay(&self) -> Duration {
        self.hedge_delay
    }

    pub(super) const fn mean_latency_us(&self) -> f64 {
        self.mean_latency.mean_us()
    }

    /// Returns whether a queue of the service refused a request within [`OVERLOAD_TIME`].
    pub(super) fn is_overloaded(&self, now: BootTime) -> bool {
        now < self.overloaded_until
    }

    /// Records a finished attempt; the latency of a cancelled one is a lower bound.
    pub(super) fn record(&mut self, now: BootTime, observation: &AttemptObservation) {
        if observation.status == AttemptStatus::Overloaded {
            self.overloaded_until = now + OVERLOAD_TIME;
        }
        let is_counted = match observation.status {
            AttemptStatus::Answered => true,
            AttemptStatus::Cancelled => observation.latency >= self.hedge_delay,
            _ => false,
        };
        if !is_counted {
            return;
        }
        if observation.status == AttemptStatus::Answered {
            self.mean_latency.record(observation.latency);
        }
        self.latencies.record(observation.latency);
        self.samples_since_refresh += 1;
        if self.samples_since_refresh >= HEDGE_REFRESH_SAMPLES || self.hedge_delay == Duration::MAX
        {
            self.refresh_hedge_delay();
        }
    }

    /// Sets the hedge delay so that about the budgeted share of the requests is hedged.
    ///
    /// If there are more stragglers than the budget covers, that delay would be
    /// a straggler's latency. It is therefore limited to a multiple of the common
    /// latency, and the budget decides which stragglers are hedged.
    fn refresh_hedge_delay(&mut self) {
        self.samples_since_refresh = 0;
        if self.latencies.weight() < MIN_HEDGE_SAMPLES {
            return;
        }
        let fraction = (1.0 - self.hedges.ratio() * HEDGE_BUDGET_SHARE).max(COMMON_QUANTILE);
        let budgeted_delay = self.latencies.quantile(fraction).unwrap_or(Duration::MAX);
        let common_latency = self.latencies.quantile(COMMON_QUANTILE).unwrap_or(Duration::MAX);
        let straggler_latency = common_latency.saturating_mul(STRAGGLER_FACTOR);
        self.hedge_delay = budgeted_delay.min(straggler_latency).max(MIN_HEDGE_DELAY);
    }
}
