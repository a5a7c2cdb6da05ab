//! Sleeps whose average duration is accurate despite the coarse timer resolution.

use std::{
    sync::{Mutex, PoisonError},
    time::Duration,
};

use tokio::time::{Instant, sleep};

/// Maximum overshoot that later sleeps compensate for.
///
/// A larger one is caused by machine load rather than by the timer.
const MAX_OVERSHOOT: Duration = Duration::from_millis(2);

/// Sleeps for durations that may be shorter than the timer's tick of one millisecond.
///
/// A sleep ends up to a tick late. This overshoot is deducted from the sleeps
/// that follow, so that the total duration of many sleeps is accurate.
#[derive(Debug, Default)]
pub(crate) struct CompensatedTimer {
    overshoot: Mutex<Duration>,
}

impl CompensatedTimer {
    /// Sleeps for `span`, less the overshoot of earlier sleeps.
    pub(crate) async fn pause(&self, span: Duration) {
        if span.is_zero() {
            return;
        }
        let shortened = self.deduct_overshoot(span);
        if shortened.is_zero() {
            return;
        }
        let started = Instant::now();
        sleep(shortened).await;
        let lateness = started.elapsed().saturating_sub(shortened);
        let mut overshoot = self.overshoot.lock().unwrap_or_else(PoisonError::into_inner);
        *overshoot = (*overshoot + lateness).min(MAX_OVERSHOOT);
    }

    /// Deducts the accumulated overshoot from `span` and returns the remaining time to sleep.
    fn deduct_overshoot(&self, span: Duration) -> Duration {
        let mut overshoot = self.overshoot.lock().unwrap_or_else(PoisonError::into_inner);
        let deducted = span.min(*overshoot);
        *overshoot -= deducted;
        span - deducted
    }
}
