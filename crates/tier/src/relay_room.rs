//! Room for requests of nodes that have lost their links to servers.
//!
//! Answers the load of many such nodes on the few that still have links. A node estimates
//! the work that it has taken on, and takes a request of another node if its own callers
//! would not have to wait for it for long. Requests of a lower priority leave part of the
//! room to those of a higher one. What has no room is refused at once, so that the other
//! node can ask elsewhere or refuse its caller.

use std::time::Duration;

use carobstep_clock::BootTime;

/// Work ahead of a request of the highest priority up to which it is taken.
const MAX_BACKLOG: Duration = Duration::from_millis(100);

/// Factor on that for each lower priority.
const PRIORITY_FACTOR: f64 = 0.6;

/// Least work ahead of a request up to which it is taken, whatever its priority.
const MIN_BACKLOG: Duration = Duration::from_millis(5);

/// Work that a node has taken on, in time of its processor and link.
#[derive(Clone, Copy, Debug)]
pub struct RelayRoom {
    backlog: f64,
    updated_at: BootTime,
}

impl RelayRoom {
    /// Creates the state of a node without any work.
    #[must_use]
    pub const fn new(now: BootTime) -> Self {
        Self { backlog: 0.0, updated_at: now }
    }

    fn update(&mut self, now: BootTime) {
        self.backlog = (self.backlog - now.since(self.updated_at).as_secs_f64()).max(0.0);
        self.updated_at = now;
    }

    /// Records work for a caller of this node, which is always done.
    pub fn record_own(&mut self, now: BootTime, seconds: f64) {
        self.update(now);
        // Own work beyond this is not done in time anyway.
        self.backlog = (self.backlog + seconds).min(2.0 * MAX_BACKLOG.as_secs_f64());
    }

    /// Takes on work for another node.
    ///
    /// # Errors
    ///
    /// Returns the time until there is room, if there is none.
    pub fn try_take(&mut self, now: BootTime, seconds: f64, priority: u32) -> Result<(), Duration> {
        self.update(now);
        let factor = PRIORITY_FACTOR.powi(priority.min(64) as i32);
        let most = MAX_BACKLOG.mul_f64(factor).max(MIN_BACKLOG).as_secs_f64();
        if self.backlog >= most {
            return Err(Duration::from_secs_f64(self.backlog - most + MIN_BACKLOG.as_secs_f64()));
        }
        self.backlog += seconds;
        Ok(())
    }
}
