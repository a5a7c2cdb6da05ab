//! Pauses between the calls that settle one matter.

use std::time::Duration;

use tokio::time::{Instant, sleep_until};

/// Calls that follow one another without a pause: a write and its read.
const UNPACED_CALLS: u32 = 2;

/// First pause; it doubles with each further one.
const FIRST_PAUSE: Duration = Duration::from_millis(20);

/// Longest pause between two calls.
const MAX_PAUSE: Duration = Duration::from_millis(500);

/// Paces calls until a deadline.
#[derive(Debug)]
pub(crate) struct CallPacing {
    deadline: Instant,
    calls: u32,
    pause: Duration,
}

impl CallPacing {
    /// Starts with no call made.
    pub(crate) const fn new(deadline: Instant) -> Self {
        Self { deadline, calls: 0, pause: FIRST_PAUSE }
    }

    /// Waits for the time of the next call; false when the deadline has passed.
    pub(crate) async fn wait(&mut self) -> bool {
        if self.calls >= UNPACED_CALLS {
            sleep_until(self.deadline.min(Instant::now() + self.pause)).await;
            self.pause = (self.pause * 2).min(MAX_PAUSE);
        }
        self.calls += 1;
        Instant::now() < self.deadline
    }
}
