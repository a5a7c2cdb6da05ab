//! When a node is ready and how it stops.

use std::time::Duration;

use carobstep_clock::BootTime;
use strum::Display;

/// Time after the stop signal in which the balancer takes a node out of rotation:
/// two missed checks, one a second, and one check that was under way.
const ROTATION_DELAY: Duration = Duration::from_millis(2_800);

/// Time after the listener has closed in which requests that were on their way
/// are still read, although none is in flight.
const CROSSING_TIME: Duration = Duration::from_millis(100);

/// Part of the grace time that is kept for ending the process.
const EXIT_RESERVE: Duration = Duration::from_millis(300);

/// Phases of a node's life.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display)]
#[strum(serialize_all = "snake_case")]
pub enum LifecyclePhase {
    /// It lacks a configuration or the list of servers.
    Starting,
    /// It takes requests.
    Ready,
    /// It does not reach the servers that some requests need.
    CutOff,
    /// It was told to stop and still takes what the balancer sends.
    Leaving,
    /// It takes no new requests and finishes those in flight.
    Finishing,
    /// Its time is up, or nothing is in flight.
    Ended,
}

/// When the steps of a stop are due, counted from the signal.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StopTiming {
    /// When the listener closes.
    pub close_listener: Duration,
    /// When the process ends even if requests are in flight.
    pub exit: Duration,
}

impl StopTiming {
    /// Timing of a stop that must end within `grace`.
    #[must_use]
    pub fn within(grace: Duration) -> Self {
        let exit = grace.saturating_sub(EXIT_RESERVE);
        Self { close_listener: ROTATION_DELAY.min(exit / 2), exit }
    }
}

/// Tells whether a node is ready, and which step of its stop is due.
#[derive(Clone, Copy, Debug)]
pub struct NodeLifecycle {
    knows_configuration: bool,
    knows_servers: bool,
    cut_off: bool,
    stopping_since: Option<BootTime>,
    timing: StopTiming,
}

impl NodeLifecycle {
    /// Builds the state of a node that has just started.
    #[must_use]
    pub const fn new(timing: StopTiming) -> Self {
        Self {
            knows_configuration: false,
            knows_servers: false,
            cut_off: false,
            stopping_since: None,
            timing,
        }
    }

    /// Notes that a configuration is in force.
    pub const fn configuration_known(&mut self) {
        self.knows_configuration = true;
    }

    /// Notes that the servers were listed.
    pub const fn servers_known(&mut self) {
        self.knows_servers = true;
    }

    /// Notes whether some requests can't be served from here; returns whether
    /// that is new.
    pub const fn set_cut_off(&mut self, cut_off: bool) -> bool {
        let changed = self.cut_off != cut_off;
        self.cut_off = cut_off;
        changed
    }

    /// Notes the signal to stop; a second one changes nothing.
    pub const fn stop(&mut self, now: BootTime) {
        if self.stopping_since.is_none() {
            self.stopping_since = Some(now);
        }
    }

    /// Whether the stop signal has come.
    #[must_use]
    pub const fn is_stopping(&self) -> bool {
        self.stopping_since.is_some()
    }

    /// The phase at `now`, with `in_flight` requests not answered yet.
    #[must_use]
    pub fn phase(&self, now: BootTime, in_flight: usize) -> LifecyclePhase {
        let Some(since) = self.stopping_since else {
            let known = self.knows_configuration && self.knows_servers;
            return match (known, self.cut_off) {
                (false, _) => LifecyclePhase::Starting,
                (true, true) => LifecyclePhase::CutOff,
                (true, false) => LifecyclePhase::Ready,
            };
        };
        let elapsed = now.since(since);
        if elapsed < self.timing.close_listener {
            return LifecyclePhase::Leaving;
        }
        let has_settled = elapsed >= self.timing.close_listener + CROSSING_TIME;
        if in_flight == 0 && has_settled || elapsed >= self.timing.exit {
            return LifecyclePhase::Ended;
        }
        LifecyclePhase::Finishing
    }
}
