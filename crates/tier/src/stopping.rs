//! Decides which requests a stopping node still passes on, and when refused callers return.
//!
//! Answers planned stops under load: a process that exits cuts the requests that its servers
//! still work on, and a caller whose request was cut doesn't know whether it was executed.
//! A request that can't end before the exit is refused when it would be passed on, whether
//! to a server or to another node, since a request that waits for a server may have been
//! read long before.

use std::time::Duration;

use carobstep_clock::BootTime;

use crate::{model::RetryPolicy, stats::ClassKey};

/// Time that a call by way of another node takes in addition, there and back.
const PEER_DETOUR: Duration = Duration::from_millis(20);

/// Number of other nodes in the zone from which on a refused caller returns at once: the
/// load balancer probably sends it to one of them.
const MIN_OTHER_NODES: usize = 3;

/// Part of the time left to a caller after which it returns at the latest.
const LATEST_RETURN: f64 = 1.0 / 3.0;

/// What is known of the time that a server takes for requests of a class.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct WorkEstimate {
    /// Time within which nearly all requests end, or the latency objective if too few
    /// have been observed.
    pub usual: Duration,
    /// Time within which all observed requests have ended; `None` if too few have been
    /// observed.
    pub longest: Option<Duration>,
}

/// Terms of a request that decide whether a stopping node passes it on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RequestTerms {
    /// Whether the request may be repeated if it is cut.
    pub retry: RetryPolicy,
    /// Latency class of the request.
    pub class: ClassKey,
    /// When the request times out.
    pub deadline: BootTime,
}

/// What a request needs from the time that a stopping node has left.
#[derive(Clone, Copy, Debug)]
pub struct WorkDemand {
    /// Whether the request may be repeated if it is cut.
    pub retry: RetryPolicy,
    /// When the request times out.
    pub deadline: BootTime,
    /// Time that a server takes for it.
    pub work: WorkEstimate,
    /// How many times as long it takes at a server that has other requests to execute first.
    pub rounds: u32,
}

impl WorkDemand {
    /// Returns when the request ends at the latest if it is passed on at `now`, as far as
    /// it is known.
    fn ends_by(&self, now: BootTime) -> BootTime {
        let work = match self.retry {
            RetryPolicy::Idempotent => Some(self.work.usual),
            RetryPolicy::AtMostOnce => self.work.longest,
        };
        let end = work.map(|work| now + work.saturating_mul(self.rounds));
        end.map_or(self.deadline, |end| end.min(self.deadline))
    }
}

/// When a node sends its last responses, if it is stopping.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct StopHorizon {
    last_response: Option<BootTime>,
}

impl StopHorizon {
    /// Creates the horizon of a node that sends its last responses at `last_response`.
    #[must_use]
    pub const fn at(last_response: BootTime) -> Self {
        Self { last_response: Some(last_response) }
    }

    /// Returns whether the node is stopping.
    #[must_use]
    pub const fn is_stopping(self) -> bool {
        self.last_response.is_some()
    }

    /// Returns the deadline of a request at this node.
    #[must_use]
    pub fn limit(self, deadline: BootTime) -> BootTime {
        self.last_response.map_or(deadline, |last| last.min(deadline))
    }

    /// Returns whether a request can end in time if it is passed on to a server at `now`.
    #[must_use]
    pub fn admits(self, now: BootTime, demand: WorkDemand) -> bool {
        self.last_response.is_none_or(|last| demand.ends_by(now) <= last)
    }

    /// Like [`Self::admits`], for a request that another node passes on.
    #[must_use]
    pub fn admits_at_peer(self, now: BootTime, demand: WorkDemand) -> bool {
        self.last_response.is_none_or(|last| demand.ends_by(now) + PEER_DETOUR <= last)
    }
}

/// Returns the time after which a caller that a stopping node refuses should return, if it
/// has `remaining` time left and the load balancer sends callers to this node for another
/// `balancer_delay`.
#[must_use]
pub fn return_delay(balancer_delay: Duration, remaining: Duration, other_nodes: usize) -> Duration {
    if other_nodes >= MIN_OTHER_NODES {
        return Duration::ZERO;
    }
    balancer_delay.min(remaining.mul_f64(LATEST_RETURN))
}
