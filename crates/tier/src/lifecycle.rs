//! Readiness and graceful shutdown of a node.

use std::time::Duration;

use carobstep_clock::BootTime;
use strum::Display;

use crate::stopping::StopHorizon;

/// Time that the load balancer needs to take a node out of rotation: two
/// failed readiness checks at an interval of one second, and one check that was in
/// progress when the node stopped being ready.
const BALANCER_REMOVAL_DELAY: Duration = Duration::from_millis(2_800);

/// Time for which the node still reads requests after its listener has closed, even
/// if none is in flight, because some may have been on their way.
const IN_TRANSIT_TIME: Duration = Duration::from_millis(100);

/// Time for which a node that was cut off must be able to serve its callers by way of peers
/// before it counts as ready again.
const RETURN_DELAY: Duration = Duration::from_millis(300);

/// Part of the grace period that is reserved for exiting the process.
const EXIT_RESERVE: Duration = Duration::from_millis(300);

/// Time before the exit at which the requests in flight get their last responses.
const LAST_RESPONSE_RESERVE: Duration = Duration::from_millis(100);

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

/// Who can call the servers that a node's callers need.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ServingReach {
    /// The node itself, as far as any node can.
    Own,
    /// The node or its peers.
    Peers,
    /// Other nodes, none of which responds to this one.
    CutOff,
}

/// Times at which the steps of a shutdown are due, relative to the signal.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StopTiming {
    /// When the listener closes.
    pub close_listener: Duration,
    /// When the requests that are still in flight are answered without a result.
    pub last_response: Duration,
    /// When the process exits even if responses have not been sent completely.
    pub exit: Duration,
}

impl StopTiming {
    /// Returns the timing of a shutdown that must end within `grace`.
    #[must_use]
    pub fn within(grace: Duration) -> Self {
        let exit = grace.saturating_sub(EXIT_RESERVE);
        let last_response = exit.saturating_sub(LAST_RESPONSE_RESERVE);
        Self { close_listener: BALANCER_REMOVAL_DELAY.min(exit / 2), last_response, exit }
    }
}

/// Tracks whether a node is ready, and which step of its shutdown is due.
#[derive(Clone, Copy, Debug)]
pub struct NodeLifecycle {
    knows_configuration: bool,
    knows_servers: bool,
    /// Since when some requests can't be served, if that is so.
    cut_off_since: Option<BootTime>,
    /// Since when they can be served again by way of peers.
    returning_since: Option<BootTime>,
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
            returning_since: None,
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

    /// Records which requests can be served; returns whether readiness has changed.
    pub fn set_reach(&mut self, now: BootTime, reach: ServingReach) -> bool {
        let was_cut_off = self.is_cut_off();
        let is_cut_off = match reach {
            ServingReach::Own => false,
            ServingReach::CutOff => true,
            ServingReach::Peers => {
                let since = *self.returning_since.get_or_insert(now);
                was_cut_off && now.since(since) < RETURN_DELAY
            }
        };
        if reach != ServingReach::Peers {
            self.returning_since = None;
        }
        if was_cut_off != is_cut_off {
            self.cut_off_since = is_cut_off.then_some(now);
        }
        was_cut_off != is_cut_off
    }

    /// Returns whether some requests can't be served here while other nodes may serve them.
    #[must_use]
    pub const fn is_cut_off(&self) -> bool {
        self.cut_off_since.is_some()
    }

    /// Returns the time after which the load balancer sends a refused caller to another
    /// node; zero if this node is neither cut off nor stopping, or has been for long enough.
    #[must_use]
    pub fn balancer_delay(&self, now: BootTime) -> Duration {
        let since = [self.cut_off_since, self.stopping_since].into_iter().flatten().min();
        match since {
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

    /// Returns when the node sends its last responses, if it is stopping.
    #[must_use]
    pub fn horizon(&self) -> StopHorizon {
        let since = self.stopping_since;
        since.map_or_else(StopHorizon::default, |since| {
            StopHorizon::at(since + self.timing.last_response)
        })
    }

    /// Returns the phase at `now`, with `in_flight` requests whose responses have not been
    /// sent completely.
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
