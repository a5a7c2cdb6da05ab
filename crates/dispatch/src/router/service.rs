//! Latencies and budgets of one service.

use std::time::Duration;

use carobstep_clock::BootTime;
use carobstep_config::ServiceEntry;

use super::stats::{AttemptObservation, AttemptStatus};
use crate::{
    budget::TokenBucket,
    estimate::{LatencyHistogram, MeanEstimate},
};

/// Samples before a hedge delay is known.
const HEDGE_SAMPLES: u32 = 50;

/// Samples between two computations of the hedge delay.
const HEDGE_REFRESH: u32 = 64;

/// Part of the hedge budget that the delay aims at.
const HEDGE_AIM: f64 = 0.9;

/// Quantile of the latencies that is free of stragglers.
const COMMON_QUANTILE: f64 = 0.9;

/// A request is a straggler after this many times the common latency.
const STRAGGLER_FACTOR: u32 = 2;

/// Shortest hedge delay.
const MIN_HEDGE_DELAY: Duration = Duration::from_millis(1);

/// Time for which a service counts as overloaded after a refusal.
const OVERLOAD_MEMORY: Duration = Duration::from_millis(500);

/// Retries that a service may send before it earned any.
const RETRY_RESERVE: f64 = 3.0;

/// What one entry node knows of one service.
#[derive(Clone, Debug)]
pub(super) struct ServiceStats {
    pub(super) hedges: TokenBucket,
    pub(super) retries: TokenBucket,
    latencies: LatencyHistogram,
    mean: MeanEstimate,
    hedge_delay: Duration,
    since_refresh: u32,
    overloaded_until: BootTime,
}

impl ServiceStats {
    pub(super) fn new(entry: &ServiceEntry, now: BootTime) -> Self {
        Self {
            hedges: TokenBucket::new(entry.hedge_ratio, 0.0, now),
            retries: TokenBucket::new(entry.retry_ratio, RETRY_RESERVE, now),
            latencies: LatencyHistogram::default(),
            mean: MeanEstimate::default(),
            hedge_delay: Duration::MAX,
            since_refresh: 0,
            overloaded_until: BootTime::ZERO,
        }
    }

    pub(super) fn set_entry(&mut self, entry: &ServiceEntry) {
        self.hedges.set_ratio(entry.hedge_ratio);
        self.retries.set_ratio(entry.retry_ratio);
        self.refresh();
    }

    pub(super) fn earn(&mut self) {
        self.hedges.earn();
        self.retries.earn();
    }

    pub(super) const fn hedge_delay(&self) -> Duration {
        self.hedge_delay
    }

    pub(super) const fn mean_us(&self) -> f64 {
        self.mean.mean_us()
    }

    /// Whether a queue of the service refused a request a short while ago.
    pub(super) fn is_overloaded(&self, now: BootTime) -> bool {
        now < self.overloaded_until
    }

    /// Takes in one attempt; a cancelled one took at least that long.
    pub(super) fn record(&mut self, now: BootTime, observation: &AttemptObservation) {
        if observation.status == AttemptStatus::Overloaded {
            self.overloaded_until = now + OVERLOAD_MEMORY;
        }
        let counts = match observation.status {
            AttemptStatus::Answered => true,
            AttemptStatus::Cancelled => observation.latency >= self.hedge_delay,
            _ => false,
        };
        if !counts {
            return;
        }
        if observation.status == AttemptStatus::Answered {
            self.mean.record(observation.latency);
        }
        self.latencies.record(observation.latency);
        self.since_refresh += 1;
        if self.since_refresh >= HEDGE_REFRESH || self.hedge_delay == Duration::MAX {
            self.refresh();
        }
    }

    /// Chooses the delay so that about the budgeted part of the requests is hedged.
    ///
    /// Where stragglers are more than the budget, that delay would lie among
    /// them; it is then cut to a multiple of the common latency, and the budget
    /// decides which stragglers are hedged.
    fn refresh(&mut self) {
        self.since_refresh = 0;
        if self.latencies.weight() < HEDGE_SAMPLES {
            return;
        }
        let fraction = (1.0 - self.hedges.ratio() * HEDGE_AIM).max(COMMON_QUANTILE);
        let budgeted = self.latencies.quantile(fraction).unwrap_or(Duration::MAX);
        let common = self.latencies.quantile(COMMON_QUANTILE).unwrap_or(Duration::MAX);
        let straggling = common.saturating_mul(STRAGGLER_FACTOR);
        self.hedge_delay = budgeted.min(straggling).max(MIN_HEDGE_DELAY);
    }
}
