//! Readiness and graceful shutdown of a node.

use std::time::Duration;

use carobstep_clock::BootTime;
use strum::Display;

/// Time that the load balancer needs to take a node out of rotation: two
/// failed readiness checks at an interval of one second, and one check that was in
/// progress when the node stopped being ready.
const BALANCER_REMOVAL_DELAY: Duration = Duration::from_millis(2_800);

/// Time for which the node still reads requests after its listener has closed, even
/// if none is in flight, because some may have been on their way.
const IN_TRANSIT_TIME: Duration = Duration::from_millis(100);

/// Part of the grace period that is reserved for exiting the process.
const EXIT_RESERVE: Duration = Duration::from_millis(300);

/// Phase of a node's lifecycle.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display)]
#[strum(serialize_all = "snake_case")]
pub enum LifecyclePhase {
    /// The node has no configuration or no list of servers yet.
    Starting,
    /// The node accepts requests.
    Ready,
    /// The node cannot reach the servers that some requests need.
    CutOff,
    /// The node has received the stop signal, and still accepts requests from the load balancer.
    Leaving,
    /// The node accepts no new requests and finishes those in flight.
    Finishing,
    /// The grace period is over or no request is in flight, so the process may exit.
    Ended,
}

/// Times at which the steps of a shutdown are due, relative to the signal.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StopTiming {
    /// When the listener closes.
    pub close_listener: Duration,
    /// When the process exits even if requests are in flight.
    pub exit: Duration,
}

impl StopTiming {
    /// Returns the timing of a shutdown that must end within `grace`.
    #[must_use]
    pub fn within(grace: Duration) -> Self {
        let exit = grace.saturating_sub(EXIT_RESERVE);
        Self { close_listener: BALANCER_REMOVAL_DELAY.min(exit / 2), exit }
    }
}

/// Tracks whether a node is ready, and which step of its shutdown is due.
#[derive(Clone, Copy, Debug)]
pub struct NodeLifecycle {
    knows_configuration: bool,
    knows_servers: bool,
    /// Since when unreachable zones make a route unservable, if they do.
    cut_off_since: Option<BootTime>,
    stopping_since: Option<BootTime>,
    timing: StopTiming,
}

impl NodeLifecycle {
    /// Creates the state of a node that has just started.
    #[must_use]
    pub const fn new(timing: StopTiming) -> Self {
        Self {
            knows_configuration: false,
            knows_servers: false,
            cut_off_since: None,
            stopping_since: None,
            timing,
        }
    }

    /// Records that a configuration is in effect.
    pub const fn on_configuration(&mut self) {
        self.knows_configuration = true;
    }

    /// Records that the list of servers is known.
    pub const fn on_server_list(&mut self) {
        self.knows_servers = true;
    }

    /// Records whether some requests cannot be served because zones are unreachable;
    /// returns whether that has changed.
    pub const fn set_unreachable(&mut self, now: BootTime, has_unreachable_route: bool) -> bool {
        let changed = self.cut_off_since.is_some() != has_unreachable_route;
        if changed {
            self.cut_off_since = if has_unreachable_route { Some(now) } else { None };
        }
        changed
    }

    /// Returns whether some requests can't be served here while other nodes may serve them.
    #[must_use]
    pub const fn is_cut_off(&self) -> bool {
        self.cut_off_since.is_some()
    }

    /// Returns the time after which the load balancer sends a refused caller to another
    /// node; zero if this node is not cut off, or has been for long enough.
    #[must_use]
    pub fn balancer_delay(&self, now: BootTime) -> Duration {
        match self.cut_off_since {
            Some(since) => (since + BALANCER_REMOVAL_DELAY).since(now),
            None => Duration::ZERO,
        }
    }

    /// Records the stop signal; repeated signals are ignored.
    pub const fn stop(&mut self, now: BootTime) {
        if self.stopping_since.is_none() {
            self.stopping_since = Some(now);
        }
    }

    /// Returns whether the stop signal was received.
    #[must_use]
    pub const fn is_stopping(&self) -> bool {
        self.stopping_since.is_some()
    }

    /// Returns the phase at `now`, with `in_flight` requests not answered yet.
    #[must_use]
    pub fn phase(&self, now: BootTime, in_flight: usize) -> LifecyclePhase {
        let Some(since) = self.stopping_since else {
            let is_initialized = self.knows_configuration && self.knows_servers;
            return match (is_initialized, self.cut_off_since.is_some()) {
                (false, _) => LifecyclePhase::Starting,
                (true, true) => LifecyclePhase::CutOff,
                (true, false) => LifecyclePhase::Ready,
            };
        };
        let elapsed = now.since(since);
        if elapsed < self.timing.close_listener {
            return LifecyclePhase::Leaving;
        }
        let is_transit_over = elapsed >= self.timing.close_listener + IN_TRANSIT_TIME;
        if in_flight == 0 && is_transit_over || elapsed >= self.timing.exit {
            return LifecyclePhase::Ended;
        }
        LifecyclePhase::Finishing
    }
}
