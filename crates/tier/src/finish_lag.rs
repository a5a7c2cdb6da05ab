//! Time between the answer time of a search and the moment at which its answer is ready.
//!
//! Designed for machines with a fraction of a core, on which merging the results of
//! hundreds of shards takes a noticeable part of the latency objective. An answer that
//! is started at the last moment is late there.

use std::time::Duration;

/// CPU time that finishing takes for each shard, in seconds of a full core, until it has
/// been measured.
const INITIAL_CPU_SECONDS: f64 = 8e-6;

/// Weight of a search that took longer to finish than estimated.
const RISE_WEIGHT: f64 = 0.4;

/// Weight of a search that took less time.
const FALL_WEIGHT: f64 = 0.1;

/// Lower bound on a node's share of a core; prevents a division by zero.
const MIN_CPU_SHARE: f64 = 0.01;

/// Largest part of the latency objective that is reserved for finishing.
const MAX_OBJECTIVE_SHARE: f64 = 0.25;

/// Estimate of the time that finishing a search takes on this node.
#[derive(Clone, Copy, Debug)]
pub struct FinishLag {
    seconds_per_shard: f64,
}

impl FinishLag {
    /// Creates the estimate of a node with a share of a core.
    #[must_use]
    pub fn new(cpu_share: f64) -> Self {
        Self { seconds_per_shard: INITIAL_CPU_SECONDS / cpu_share.max(MIN_CPU_SHARE) }
    }

    /// Returns the time to reserve for finishing a search of `shards` shards.
    #[must_use]
    pub fn reserve(&self, shards: usize, objective: Duration) -> Duration {
        let reserve = Duration::from_secs_f64(self.seconds_per_shard * shards as f64);
        reserve.min(objective.mul_f64(MAX_OBJECTIVE_SHARE))
    }

    /// Records that the answer to a search was ready `lag` after its answer time.
    pub fn record(&mut self, shards: usize, lag: Duration) {
        if shards == 0 {
            return;
        }
        let sample = lag.as_secs_f64() / shards as f64;
        let is_rise = sample > self.seconds_per_shard;
        let weight = if is_rise { RISE_WEIGHT } else { FALL_WEIGHT };
        self.seconds_per_shard += weight * (sample - self.seconds_per_shard);
    }
}
