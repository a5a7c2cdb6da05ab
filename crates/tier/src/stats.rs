//! Latency statistics per class of requests, and outcomes of attempts.

use std::time::Duration;

use carobstep_clock::BootTime;
use carobstep_dispatch::LatencyHistogram;
use indexmap::IndexMap;
use strum::{Display, IntoStaticStr};

use crate::{
    model::{RouteConfig, RouteTarget},
    server_state::AttemptLatency,
    stopping::WorkEstimate,
};

/// Latency quantile of the attempts after which a hedge is sent.
const HEDGE_QUANTILE: f64 = 0.92;

/// Number of samples that a class needs before its quantiles are used.
const MIN_SAMPLES: u32 = 40;

/// Number of new samples after which the quantiles are recomputed.
const REFRESH_SAMPLES: u32 = 16;

/// Time over which the demand is averaged.
const DEMAND_SPAN: Duration = Duration::from_secs(1);

/// Minimum hedge delay; shorter delays would only double the load.
const MIN_HEDGE_DELAY: Duration = Duration::from_millis(2);

/// Hedge delay before enough samples exist, as a fraction of the objective.
const INITIAL_HEDGE_SHARE: f64 = 0.3;

/// Delegation delay before enough samples exist, as a fraction of the objective.
const INITIAL_DELEGATION_SHARE: f64 = 0.6;

/// Latency quantile of the delegations after which the shards of a silent peer are
/// called directly.
const FALLBACK_QUANTILE: f64 = 0.99;

/// Time added to that quantile, for a busy peer that waits for its turn on the CPU.
const FALLBACK_MARGIN: Duration = Duration::from_millis(5);

/// Latency quantile of the attempts within which a request usually ends.
const USUAL_QUANTILE: f64 = 0.9;

/// Latency quantile of the attempts within which all requests are taken to end.
const LONGEST_QUANTILE: f64 = 0.999;

/// Median latency before enough samples exist, as a fraction of the objective.
const INITIAL_MEDIAN_SHARE: f64 = 0.12;

/// Outcome of one attempt at a backend server.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum AttemptOutcome {
    /// A complete successful response was received.
    Answered,
    /// The server reported that it did not run the request.
    NotRun,
    /// A different server answered at the address.
    WrongServer,
    /// No byte of the request was sent.
    Unsent,
    /// The request may have run, but no usable response was received.
    Failed,
    /// The response exceeded a limit on its size and was not read to its end.
    Oversized,
    /// No response was received in time.
    TimedOut,
    /// The request ended while the attempt was in flight.
    Cancelled,
}

impl AttemptOutcome {
    /// Returns whether the server may have run the request.
    #[must_use]
    pub const fn may_have_run(self) -> bool {
        !matches!(self, Self::NotRun | Self::WrongServer | Self::Unsent)
    }

    /// Returns whether the attempt reached the server, or may have, without success.
    #[must_use]
    pub const fn is_failure(self) -> bool {
        matches!(self, Self::NotRun | Self::Failed | Self::Oversized | Self::TimedOut)
    }

    /// Returns whether the server has certainly sent a response.
    #[must_use]
    pub const fn is_response(self) -> bool {
        matches!(self, Self::Answered | Self::NotRun | Self::WrongServer | Self::Oversized)
    }

    /// Returns whether the request may have reached the server.
    #[must_use]
    pub const fn may_have_arrived(self) -> bool {
        !matches!(self, Self::Unsent)
    }
}

/// Key of a class of requests with similar work: those of routes with the same
/// objective, timeout and kind of target.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct ClassKey(u16);

/// Latency statistics of all classes of requests, and the demand of searches.
#[derive(Clone, Debug, Default)]
pub struct ClassTable {
    classes: IndexMap<(Duration, Duration, bool), ClassStats>,
    demand: DemandEstimate,
}

/// Estimated demand of this node's clients for each shard.
#[derive(Clone, Copy, Debug, Default)]
struct DemandEstimate {
    since: BootTime,
    /// Requested work since then, in seconds.
    work: f64,
    /// Average number of concurrent requests over the last complete span.
    concurrency: f64,
}

#[derive(Clone, Debug)]
struct ClassStats {
    latencies: LatencyHistogram,
    objective: Duration,
    new_samples: u32,
    median: Duration,
    hedge_delay: Duration,
    delegations: LatencyHistogram,
    delegation_delay: Duration,
}

impl ClassTable {
    /// Returns the class of a route's requests.
    pub fn class_of(&mut self, route: &RouteConfig) -> ClassKey {
        let is_gather = matches!(route.target, RouteTarget::Gather(_));
        self.class_for(route.objective, route.timeout, is_gather)
    }

    /// Returns the class of requests with the given objective, timeout and kind of target,
    /// and adds it if it is new.
    pub fn class_for(
        &mut self,
        objective: Duration,
        timeout: Duration,
        is_gather: bool,
    ) -> ClassKey {
        let entry = self.classes.entry((objective, timeout, is_gather));
        let position = entry.index();
        entry.or_insert_with(|| ClassStats::new(objective));
        ClassKey(u16::try_from(position).unwrap_or(u16::MAX))
    }

    /// Adds a search to the demand; it calls each shard once.
    pub(crate) fn record_search(&mut self, now: BootTime, class: ClassKey) {
        let span = now.since(self.demand.since);
        if span >= DEMAND_SPAN {
            self.demand.concurrency = self.demand.work / span.as_secs_f64();
            self.demand.work = 0.0;
            self.demand.since = now;
        }
        self.demand.work += self.median(class).as_secs_f64();
    }

    /// Returns the average number of concurrent requests for one shard that this node's
    /// clients cause.
    pub(crate) const fn search_concurrency(&self) -> f64 {
        self.demand.concurrency
    }

    /// Records the latency of an answered delegation.
    pub fn record_delegation(&mut self, class: ClassKey, latency: Duration) {
        if let Some((_, stats)) = self.classes.get_index_mut(usize::from(class.0)) {
            stats.record_delegation(latency);
        }
    }

    /// Returns the time after which the shards of a silent peer are called directly.
    #[must_use]
    pub fn delegation_delay(&self, class: ClassKey) -> Duration {
        self.get(class).map_or(MIN_HEDGE_DELAY, |stats| stats.delegation_delay)
    }

    /// Records the latency of an answered attempt.
    pub(crate) fn record(&mut self, class: ClassKey, latency: Duration) {
        if let Some((_, stats)) = self.classes.get_index_mut(usize::from(class.0)) {
            stats.record(latency);
        }
    }

    /// Returns the time after which an attempt is late enough for a hedge.
    #[must_use]
    pub fn hedge_delay(&self, class: ClassKey) -> Duration {
        self.get(class).map_or(MIN_HEDGE_DELAY, |stats| stats.hedge_delay)
    }

    /// Returns the median latency of an answered attempt.
    #[must_use]
    pub fn median(&self, class: ClassKey) -> Duration {
        self.get(class).map_or(MIN_HEDGE_DELAY, |stats| stats.median)
    }

    /// Returns what is known of the time that servers take for requests of a class.
    pub(crate) fn work(&self, class: ClassKey) -> WorkEstimate {
        self.get(class)
            .map_or(WorkEstimate { usual: MIN_HEDGE_DELAY, longest: None }, ClassStats::work)
    }

    /// Returns a latency in multiples of the class's median and of its objective.
    pub(crate) fn relative(&self, class: ClassKey, latency: Duration) -> AttemptLatency {
        let seconds = latency.as_secs_f64();
        let objective = self.get(class).map_or(MIN_HEDGE_DELAY, |stats| stats.objective);
        AttemptLatency {
            in_medians: seconds / self.median(class).as_secs_f64().max(1e-6),
            in_objectives: seconds / objective.as_secs_f64().max(1e-6),
        }
    }

    /// Returns the latency objective in multiples of the median.
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
            new_samples: 0,
            median: objective.mul_f64(INITIAL_MEDIAN_SHARE),
            hedge_delay: objective.mul_f64(INITIAL_HEDGE_SHARE),
            delegations: LatencyHistogram::default(),
            delegation_delay: objective.mul_f64(INITIAL_DELEGATION_SHARE),
        }
    }

    fn work(&self) -> WorkEstimate {
        let is_known = self.latencies.weight() >= MIN_SAMPLES;
        let quantile = |fraction| self.latencies.quantile(fraction).filter(|_| is_known);
        WorkEstimate {
            usual: quantile(USUAL_QUANTILE).unwrap_or(self.objective),
            longest: quantile(LONGEST_QUANTILE),
        }
    }

    fn record_delegation(&mut self, latency: Duration) {
        self.delegations.record(latency);
        if self.delegations.weight() < MIN_SAMPLES {
            return;
        }
        let quantile = self.delegations.quantile(FALLBACK_QUANTILE).unwrap_or(self.objective);
        self.delegation_delay = quantile + FALLBACK_MARGIN;
    }

    fn record(&mut self, latency: Duration) {
        self.latencies.record(latency);
        self.new_samples += 1;
        if self.new_samples < REFRESH_SAMPLES || self.latencies.weight() < MIN_SAMPLES {
            return;
        }
        self.new_samples = 0;
        let quantile = |fraction| self.latencies.quantile(fraction).unwrap_or(self.objective);
        self.median = quantile(0.5);
        self.hedge_delay = quantile(HEDGE_QUANTILE).max(MIN_HEDGE_DELAY);
    }
}
