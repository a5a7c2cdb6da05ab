//! What this node has seen of one backend server.

use std::time::Duration;

use carobstep_clock::BootTime;

use crate::{
    fleet::ServiceKey,
    model::{ServerEntry, ServerPhase},
    stats::AttemptEnd,
};

/// Weight of one attempt in a server's failure rate and slowness.
const SAMPLE_WEIGHT: f64 = 1.0 / 8.0;

/// Factor on the score of a server that fails every request; grows with the rate.
const FAILURE_FACTOR: f64 = 6.0;

/// Time for which a server that shed a request is passed over.
const SHED_BACKOFF: Duration = Duration::from_millis(20);

/// Time for which a server is passed over after it could not be reached once.
const UNREACHED_BACKOFF: Duration = Duration::from_millis(100);

/// Longest time for which a server that can't be reached is passed over.
const MAX_BACKOFF: Duration = Duration::from_secs(2);

/// Smallest slowness that counts; below it the figure is noise.
const MIN_SLOWNESS: f64 = 0.5;

/// Largest latency of one attempt in multiples of the median that counts.
const MAX_SLOWNESS: f64 = 20.0;

/// Most requests of one node that a server is taken to have room for.
const MAX_WINDOW: f64 = 8.0;

/// Growth of the window with each window of answers, as in congestion control.
const WINDOW_GROWTH: f64 = 0.5;

/// Part of its objective that an attempt may take; beyond it the server has a
/// queue, and requests do better to wait at the node, which knows their order.
const MAX_OBJECTIVE_PART: f64 = 0.3;

/// What is left of the window after such an answer.
const QUEUED_CUT: f64 = 0.8;

/// What is left of the window after a server refused for lack of room.
const WINDOW_CUT: f64 = 0.6;

/// How long an attempt took, in multiples of what its class knows.
#[derive(Clone, Copy, Debug)]
pub(crate) struct AttemptLatency {
    pub(crate) in_medians: f64,
    pub(crate) in_objectives: f64,
}

#[derive(Debug)]
pub(crate) struct ServerState {
    pub(crate) entry: ServerEntry,
    pub(crate) service: ServiceKey,
    pub(crate) in_flight: u32,
    /// Requests of this node that the server seems to have room for.
    window: f64,
    /// Start of the wait for the next answer, while requests are in flight.
    pub(crate) waiting_since: BootTime,
    /// Latency in multiples of the class's median.
    slowness: f64,
    failure_rate: f64,
    pub(crate) backoff_until: BootTime,
    unreached: u32,
    pub(crate) cold_until: BootTime,
    misdirected: bool,
}

impl ServerState {
    /// State of a server of which nothing was seen yet.
    pub(crate) fn new(now: BootTime, entry: ServerEntry, service: ServiceKey) -> Self {
        Self {
            cold_until: now + entry.cold_left,
            entry,
            service,
            in_flight: 0,
            window: MAX_WINDOW,
            waiting_since: now,
            slowness: 1.0,
            failure_rate: 0.0,
            backoff_until: BootTime::ZERO,
            unreached: 0,
            misdirected: false,
        }
    }

    /// Takes in a new report of the same life.
    pub(crate) fn report(&mut self, entry: ServerEntry) {
        self.entry = entry;
        self.misdirected = false;
    }

    /// Requests of this node that the server seems to have room for.
    pub(crate) fn window(&self) -> u32 {
        (self.window as u32).max(1)
    }

    /// Expected time of one more request, in medians, with its failures.
    pub(crate) fn expected_load(&self) -> f64 {
        let load = f64::from(self.in_flight + 1) * self.slowness.max(MIN_SLOWNESS);
        load * (1.0 + FAILURE_FACTOR * self.failure_rate)
    }

    /// Whether it takes new requests by what it says and has answered.
    pub(crate) const fn is_available(&self) -> bool {
        matches!(self.entry.phase, ServerPhase::Ready) && !self.misdirected
    }

    /// Takes in the end of an attempt.
    pub(crate) fn observe(&mut self, now: BootTime, end: AttemptEnd, latency: AttemptLatency) {
        let slowness = latency.in_medians;
        match end {
            AttemptEnd::Answered => {
                self.waiting_since = now;
                self.unreached = 0;
                self.window = if latency.in_objectives > MAX_OBJECTIVE_PART {
                    (self.window * QUEUED_CUT).max(1.0)
                } else {
                    (self.window + WINDOW_GROWTH / self.window).min(MAX_WINDOW)
                };
                self.failure_rate -= SAMPLE_WEIGHT * self.failure_rate;
                self.slow_by(slowness);
            }
            AttemptEnd::NotRun => {
                self.waiting_since = now;
                self.failure_rate += SAMPLE_WEIGHT * (1.0 - self.failure_rate);
                self.backoff_until = now + SHED_BACKOFF;
                let held = f64::from(self.in_flight + 1).min(self.window);
                self.window = (held * WINDOW_CUT).max(1.0);
            }
            AttemptEnd::WrongServer => self.misdirected = true,
            AttemptEnd::Unsent => {
                let backoff = UNREACHED_BACKOFF * 2u32.pow(self.unreached.min(5));
                self.unreached += 1;
                self.backoff_until = now + backoff.min(MAX_BACKOFF);
            }
            AttemptEnd::Failed => {
                self.waiting_since = now;
                self.failure_rate += SAMPLE_WEIGHT * (1.0 - self.failure_rate);
            }
            AttemptEnd::TimedOut => {
                self.failure_rate += SAMPLE_WEIGHT * (1.0 - self.failure_rate);
                self.slow_by(slowness);
            }
            // It lasted at least this long.
            AttemptEnd::Cancelled if slowness > self.slowness => self.slow_by(slowness),
            AttemptEnd::Cancelled => {}
        }
    }

    fn slow_by(&mut self, slowness: f64) {
        self.slowness += SAMPLE_WEIGHT * (slowness.min(MAX_SLOWNESS) - self.slowness);
    }
}
