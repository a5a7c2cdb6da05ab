//! Simulated clock, seeded samples, and simulations of backend servers behind their queues.

#![allow(dead_code, reason = "each test program uses a part of this module")]

pub mod design;
pub mod fleet;
pub mod queue_run;

use std::{cmp::Reverse, collections::BinaryHeap, time::Duration};

use carobstep_clock::BootTime;
use rand::{RngExt, SeedableRng, rngs::SmallRng};

/// Queue of events in time order, in which events at the same time keep their order.
pub struct Timeline<E> {
    heap: BinaryHeap<Reverse<(BootTime, u64, usize)>>,
    events: Vec<Option<E>>,
    count: u64,
    pub now: BootTime,
}

impl<E> Timeline<E> {
    pub fn new() -> Self {
        let now = BootTime::from_millis(1_000);
        Self { heap: BinaryHeap::new(), events: Vec::new(), count: 0, now }
    }

    pub fn at(&mut self, time: BootTime, event: E) {
        self.events.push(Some(event));
        self.heap.push(Reverse((time.max(self.now), self.count, self.events.len() - 1)));
        self.count += 1;
    }

    pub fn after(&mut self, span: Duration, event: E) {
        self.at(self.now + span, event);
    }

    pub fn next(&mut self) -> Option<E> {
        let Reverse((time, _, position)) = self.heap.pop()?;
        self.now = time;
        self.events[position].take()
    }
}

/// Seeded samples of durations.
pub struct Samples(pub SmallRng);

impl Samples {
    pub fn new(seed: u64) -> Self {
        Self(SmallRng::seed_from_u64(seed))
    }

    pub fn unit(&mut self) -> f64 {
        self.0.random::<f64>()
    }

    pub fn chance(&mut self, share: f64) -> bool {
        self.unit() < share
    }

    /// Samples an exponential distribution with the given mean.
    pub fn exponential(&mut self, mean: Duration) -> Duration {
        mean.mul_f64(-(1.0 - self.unit()).ln())
    }

    /// Samples an Erlang distribution of four stages with the given mean.
    ///
    /// Its standard deviation is half that of an exponential distribution.
    pub fn erlang(&mut self, mean: Duration) -> Duration {
        (0..4).map(|_| self.exponential(mean / 4)).sum()
    }
}

/// Returns the sample at a quantile, zero without samples.
pub fn quantile(samples: &mut [Duration], fraction: f64) -> Duration {
    if samples.is_empty() {
        return Duration::ZERO;
    }
    samples.sort_unstable();
    let rank = (samples.len() as f64 * fraction).ceil() as usize;
    samples[rank.clamp(1, samples.len()) - 1]
}

pub fn millis(span: Duration) -> f64 {
    span.as_secs_f64() * 1e3
}
