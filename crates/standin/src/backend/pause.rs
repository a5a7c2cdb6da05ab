//! Pauses that are right on average although the timer is coarse.

use std::{
    sync::{Mutex, PoisonError},
    time::Duration,
};

use tokio::time::{Instant, sleep};

/// Largest excess that later pauses make up for; more is load, not the timer.
const MAX_EXCESS: Duration = Duration::from_millis(2);

/// Sleeps for spans shorter than the timer's tick of one millisecond.
///
/// A sleep ends up to a tick late. The excess is kept and taken off the pauses
/// that follow, so that many pauses together take the time they should.
#[derive(Debug, Default)]
pub(crate) struct PauseTimer {
    excess: Mutex<Duration>,
}

impl PauseTimer {
    /// Sleeps for `span`, less the excess of earlier pauses.
    pub(crate) async fn pause(&self, span: Duration) {
        if span.is_zero() {
            return;
        }
        let shortened = self.take_excess(span);
        if shortened.is_zero() {
            return;
        }
        let started = Instant::now();
        sleep(shortened).await;
        let late = started.elapsed().saturating_sub(shortened);
        let mut excess = self.excess.lock().unwrap_or_else(PoisonError::into_inner);
        *excess = (*excess + late).min(MAX_EXCESS);
    }

    /// Takes as much of the excess off `span` as there is, and returns the rest of it.
    fn take_excess(&self, span: Duration) -> Duration {
        let mut excess = self.excess.lock().unwrap_or_else(PoisonError::into_inner);
        let taken = span.min(*excess);
        *excess -= taken;
        span - taken
    }
}
