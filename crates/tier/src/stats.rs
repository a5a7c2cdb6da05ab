//! Latencies of classes of requests and the ends of attempts.

use std::time::Duration;

use carobstep_clock::BootTime;
use carobstep_dispatch::LatencyHistogram;
use indexmap::IndexMap;
use strum::{Display, IntoStaticStr};

use crate::{
    model::{RouteConfig, RouteTarget},
    server_state::AttemptLatency,
};

/// Share of the attempts after whose latency a second one is sent.
const HEDGE_QUANTILE: f64 = 0.92;

/// Samples before the quantiles of a class are used.
const KNOWN_SAMPLES: u32 = 40;

/// Samples after which the quantiles are worked out again.
const REFRESH_SAMPLES: u32 = 16;

/// Span over which the demand is averaged.
const DEMAND_SPAN: Duration = Duration::from_secs(1);

/// Least time before a second attempt; shorter waits would only double the load.
const MIN_HEDGE_DELAY: Duration = Duration::from_millis(2);

/// Part of the objective assumed as the hedge delay before enough samples are there.
const ASSUMED_HEDGE_PART: f64 = 0.3;

/// Part of the objective assumed as the time of a delegation before enough samples are there.
const ASSUMED_DELEGATION_PART: f64 = 0.6;

/// Share of the delegations after whose latency a silent peer is replaced.
const REPLACE_QUANTILE: f64 = 0.99;

/// Silence beyond that which is borne: a busy peer's turn on its processor.
const REPLACE_MARGIN: Duration = Duration::from_millis(5);

/// Part of the objective assumed as the median before enough samples are there.
const ASSUMED_MEDIAN_PART: f64 = 0.12;

/// How one attempt at a backend server ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum AttemptEnd {
    /// The whole success came.
    Answered,
    /// The server said that it did not run the request.
    NotRun,
    /// Another server answers at the address.
    WrongServer,
    /// No byte of the request left.
    Unsent,
    /// The request may have run, and no usable answer came.
    Failed,
    /// No answer came in time.
    TimedOut,
    /// The request was given up while the attempt was under way.
    Cancelled,
}

impl AttemptEnd {
    /// Whether the server may have run the request.
    #[must_use]
    pub const fn may_have_run(self) -> bool {
        !matches!(self, Self::NotRun | Self::WrongServer | Self::Unsent)
    }

    /// Whether the request may have reached the server.
    #[must_use]
    pub const fn may_have_arrived(self) -> bool {
        !matches!(self, Self::Unsent)
    }
}

/// A class of requests that need like work: those of routes with the same
/// objective, timeout and kind of target.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct ClassKey(u16);

/// Latencies of every class of requests.
#[derive(Clone, Debug, Default)]
pub struct ClassTable {
    classes: IndexMap<(Duration, Duration, bool), ClassStats>,
    demand: DemandEstimate,
}

/// How much work for a shard this node's clients ask for.
#[derive(Clone, Copy, Debug, Default)]
struct DemandEstimate {
    since: BootTime,
    /// Work asked for since then, in seconds.
    work: f64,
    /// Requests at work at the same time, over the last whole span.
    concurrency: f64,
}

#[derive(Clone, Debug)]
struct ClassStats {
    latencies: LatencyHistogram,
    objective: Duration,
    unread: u32,
    median: Duration,
    hedge_delay: Duration,
    delegations: LatencyHistogram,
    delegation_delay: Duration,
}

impl ClassTable {
    /// Class of a route's requests.
    pub fn class_of(&mut self, route: &RouteConfig) -> ClassKey {
        let gathers = matches!(route.target, RouteTarget::Gather(_));
        self.class_for(route.objective, route.timeout, gathers)
    }

    /// Class of the requests with an objective, a timeout and a kind of target.
    pub fn class_for(&mut self, objective: Duration, timeout: Duration, gathers: bool) -> ClassKey {
        let entry = self.classes.entry((objective, timeout, gathers));
        let position = entry.index();
        entry.or_insert_with(|| ClassStats::new(objective));
        ClassKey(u16::try_from(position).unwrap_or(u16::MAX))
    }

    /// Notes a search, which asks each shard once.
    pub(crate) fn record_search(&mut self, now: BootTime, class: ClassKey) {
        let span = now.since(self.demand.since);
        if span >= DEMAND_SPAN {
            self.demand.concurrency = self.demand.work / span.as_secs_f64();
            self.demand.work = 0.0;
            self.demand.since = now;
        }
        self.demand.work += self.median(class).as_secs_f64();
    }

    /// Requests for one shard that this node's clients keep at work on average.
    pub(crate) const fn search_concurrency(&self) -> f64 {
        self.demand.concurrency
    }

    /// Adds the latency of an answered delegation.
    pub fn record_delegation(&mut self, class: ClassKey, latency: Duration) {
        if let Some((_, stats)) = self.classes.get_index_mut(usize::from(class.0)) {
            stats.record_delegation(latency);
        }
    }

    /// Time after which the shards of a silent peer are asked directly.
    #[must_use]
    pub fn delegation_delay(&self, class: ClassKey) -> Duration {
        self.get(class).map_or(MIN_HEDGE_DELAY, |stats| stats.delegation_delay)
    }

    /// Adds the latency of an answered attempt.
    pub(crate) fn record(&mut self, class: ClassKey, latency: Duration) {
        if let Some((_, stats)) = self.classes.get_index_mut(usize::from(class.0)) {
            stats.record(latency);
        }
    }

    /// Time after which an attempt is late enough for a second one.
    #[must_use]
    pub fn hedge_delay(&self, class: ClassKey) -> Duration {
        self.get(class).map_or(MIN_HEDGE_DELAY, |stats| stats.hedge_delay)
    }

    /// Median latency of an answered attempt.
    #[must_use]
    pub fn median(&self, class: ClassKey) -> Duration {
        self.get(class).map_or(MIN_HEDGE_DELAY, |stats| stats.median)
    }

    /// A latency in multiples of the class's median and of its objective.
    pub(crate) fn relative(&self, class: ClassKey, latency: Duration) -> AttemptLatency {
        let seconds = latency.as_secs_f64();
        let objective = self.get(class).map_or(MIN_HEDGE_DELAY, |stats| stats.objective);
        AttemptLatency {
            in_medians: seconds / self.median(class).as_secs_f64().max(1e-6),
            in_objectives: seconds / objective.as_secs_f64().max(1e-6),
        }
    }

    /// The latency objective in multiples of the median.
    pub(crate) fn objective_in_medians(&self, class: ClassKey) -> f64 {
        self.get(class).map_or(1.0, |stats| {
            stats.objective.as_secs_f64() / stats.median.as_secs_f64().max(1e-6)
        })
    }

    fn get(&self, class: ClassKey) -> Option<&ClassStats> {
        self.classes.get_index(usize::from(class.0)).map(|(_, stats)| stats)
    }
}

impl ClassStats {
    fn new(objective: Duration) -> Self {
        Self {
            latencies: LatencyHistogram::default(),
            objective,
            unread: 0,
            median: objective.mul_f64(ASSUMED_MEDIAN_PART),
            hedge_delay: objective.mul_f64(ASSUMED_HEDGE_PART),
            delegations: LatencyHistogram::default(),
            delegation_delay: objective.mul_f64(ASSUMED_DELEGATION_PART),
        }
    }

    fn record_delegation(&mut self, latency: Duration) {
        self.delegations.record(latency);
        if self.delegations.weight() < KNOWN_SAMPLES {
            return;
        }
        let usual = self.delegations.quantile(REPLACE_QUANTILE).unwrap_or(self.objective);
        self.delegation_delay = usual + REPLACE_MARGIN;
    }

    fn record(&mut self, latency: Duration) {
        self.latencies.record(latency);
        self.unread += 1;
        if self.unread < REFRESH_SAMPLES || self.latencies.weight() < KNOWN_SAMPLES {
            return;
        }
        self.unread = 0;
        let quantile = |fraction| self.latencies.quantile(fraction).unwrap_or(self.objective);
        self.median = quantile(0.5);
        self.hedge_delay = quantile(HEDGE_QUANTILE).max(MIN_HEDGE_DELAY);
    }
}
