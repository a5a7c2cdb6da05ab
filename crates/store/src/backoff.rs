//! Exponential backoff between the calls that resolve one write or drive one claim.

use std::time::Duration;

use tokio::time::{Instant, sleep_until};

/// Number of calls that are made without a delay: a write and the read that checks it.
const IMMEDIATE_CALLS: u32 = 2;

/// Delay before the first call that is delayed; it doubles with each further call.
const INITIAL_BACKOFF: Duration = Duration::from_millis(20);

/// Longest delay between two calls.
const MAX_BACKOFF: Duration = Duration::from_millis(500);

/// Backoff between the calls of one operation, which ends at a deadline.
#[derive(Debug)]
pub(crate) struct CallBackoff {
    deadline: Instant,
    calls: u32,
    backoff: Duration,
}

impl CallBackoff {
    /// Creates a backoff for a sequence of calls that ends at `deadline`.
    pub(crate) const fn new(deadline: Instant) -> Self {
        Self { deadline, calls: 0, backoff: INITIAL_BACKOFF }
    }

    /// Waits until the next call may start; returns `false` when the deadline has passed.
    pub(crate) async fn wait(&mut self) -> bool {
        if self.calls >= IMMEDIATE_CALLS {
            sleep_until(self.deadline.min(Instant::now() + self.backoff)).await;
            self.backoff = (self.backoff * 2).min(MAX_BACKOFF);
        }
        self.calls += 1;
        Instant::now() < self.deadline
    }
}
