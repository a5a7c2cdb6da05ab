//! How likely a request to a server fails, from what the nodes of a zone see of it.
//!
//! Answers troubles of a few seconds in which many servers turn requests away or lose
//! answers, in fleets whose nodes each send too few requests to notice. The nodes of an
//! availability zone report their counts to one of them, which adds them up. All counts
//! fade within a second or two, and a few requests go on trying a server that fails.

use std::{sync::Arc, time::Duration};

use carobstep_clock::BootTime;
use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

use crate::stats::AttemptOutcome;

/// Time in which counts of a whole zone fade to 1/e.
const ZONE_FADING: Duration = Duration::from_millis(1_200);

/// Time in which the counts of one node fade to 1/e: longer, because they are fewer.
const OWN_FADING: Duration = Duration::from_secs(2);

/// Age from which the counts of a zone are not used any more, since the node that adds them
/// up is gone.
const ZONE_LIFETIME: Duration = Duration::from_secs(1);

/// Successful attempts that are assumed in addition to those that one node has observed.
const PRIOR_OWN_ATTEMPTS: f64 = 2.0;

/// Successful attempts that are assumed in addition to those of a zone or a service.
const PRIOR_JOINT_ATTEMPTS: f64 = 0.5;

/// Faded number of failures below which a server counts as sound and is not reported.
const MIN_FAILURES: f64 = 0.15;

/// Faded number of failures in a zone, and their share of the attempts, from which its nodes
/// are told of them: single failures would keep all of them calling.
const MIN_TOLD_FAILURES: f64 = 0.8;
const MIN_TOLD_SHARE: f64 = 0.08;

/// Costs of the failures of an attempt, in latency objectives: a refusal costs a round trip
/// and some of the retry budget, the others cost one of the few attempts of the route.
const TURNED_AWAY_COST: f64 = 1.5;
const LOST_COST: f64 = 3.0;
const SILENT_COST: f64 = 3.0;

/// Factor on these costs for the last attempt of a request.
const LAST_ATTEMPT_FACTOR: f64 = 3.0;

/// Exponential decrease of the share of requests that try a failing server, for each of its
/// failures.
const TRIAL_DECREASE: f64 = 4.0;

/// Least share of requests that try a failing server.
const MIN_TRIAL_SHARE: f64 = 0.03;

/// Number of attempts beyond which older ones count less, so that a server with many
/// requests is forgiven as fast as one with few.
const MAX_ATTEMPTS: f64 = 12.0;

/// Least time between two reports of a node.
const MIN_REPORT_INTERVAL: Duration = Duration::from_millis(200);

/// Time between two reports of a node for each node of its zone, so that the node that
/// receives them is not busy with them.
const REPORT_INTERVAL_PER_NODE: Duration = Duration::from_millis(8);

/// Parts of an attempt in which reports count.
const REPORTED_PARTS: f64 = 10.0;

/// Returns the time between two reports of a node in a zone of `nodes` nodes.
#[must_use]
pub fn report_interval(nodes: u32) -> Duration {
    (REPORT_INTERVAL_PER_NODE * nodes).max(MIN_REPORT_INTERVAL)
}

/// What is at stake with an attempt.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum AttemptStake {
    /// Another server may be called if it fails.
    #[default]
    Repeatable,
    /// No other server may be called.
    Last,
}

/// Attempts at a server in tenths, as nodes report them to each other.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServerObservation<Name> {
    /// The server's identifier; its hash in messages of the version before.
    pub server: Name,
    /// Attempts that have ended.
    pub attempts: u16,
    /// Attempts that the server has not run.
    pub turned_away: u16,
    /// Attempts that may have run, without a usable response.
    pub lost: u16,
    /// Attempts without a response in time.
    pub silent: u16,
}

impl<Name> ServerObservation<Name> {
    /// Returns the same attempts under another name of the server.
    pub fn with_name<Other>(&self, server: Other) -> ServerObservation<Other> {
        let Self { attempts, turned_away, lost, silent, .. } = *self;
        ServerObservation { server, attempts, turned_away, lost, silent }
    }
}

/// Numbers of attempts at a server by their outcomes.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
struct AttemptCounts {
    attempts: f64,
    turned_away: f64,
    lost: f64,
    silent: f64,
}

/// Counts as of a time.
#[derive(Clone, Copy, Debug, Default)]
struct FadingCounts {
    counts: AttemptCounts,
    counted_at: BootTime,
}

/// Probabilities that an attempt at a server fails.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct FailureOdds {
    /// Probability that the server does not run it.
    pub turned_away: f64,
    /// Probability that its response is lost or not usable.
    pub lost: f64,
    /// Probability that it gets no response in time.
    pub silent: f64,
    /// Share of the requests that try the server nevertheless.
    pub trial_share: f64,
}

/// Recent attempts at a server: those of this node, and all of its zone.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct ServerTrouble {
    own: FadingCounts,
    /// Attempts that have not been reported yet.
    unreported: FadingCounts,
    /// Sum over the zone, if another node has sent it.
    zone: Option<FadingCounts>,
}

#[derive(Clone, Copy, Debug, Default)]
struct ReportedServer {
    counts: FadingCounts,
    /// Whether the nodes of the zone are told of its failures, until they have faded.
    is_told: bool,
}

/// Attempts at failing servers of all nodes of a zone.
#[derive(Clone, Debug, Default)]
pub struct ObservationLedger {
    servers: IndexMap<Arc<str>, ReportedServer>,
}

impl AttemptCounts {
    fn of(outcome: AttemptOutcome) -> Option<Self> {
        let one = Self { attempts: 1.0, ..Self::default() };
        match outcome {
            AttemptOutcome::Answered => Some(one),
            AttemptOutcome::NotRun => Some(Self { turned_away: 1.0, ..one }),
            AttemptOutcome::Failed | AttemptOutcome::Oversized => Some(Self { lost: 1.0, ..one }),
            AttemptOutcome::TimedOut => Some(Self { silent: 1.0, ..one }),
            AttemptOutcome::WrongServer | AttemptOutcome::Unsent | AttemptOutcome::Cancelled => {
                None
            }
        }
    }

    fn failures(self) -> f64 {
        self.turned_away + self.lost + self.silent
    }

    /// Returns the counts times `factor`, plus `other`.
    fn scaled_plus(self, factor: f64, other: Self) -> Self {
        Self {
            attempts: self.attempts.mul_add(factor, other.attempts),
            turned_away: self.turned_away.mul_add(factor, other.turned_away),
            lost: self.lost.mul_add(factor, other.lost),
            silent: self.silent.mul_add(factor, other.silent),
        }
    }

    fn odds(self, prior_attempts: f64) -> FailureOdds {
        if self.failures() < MIN_FAILURES {
            return FailureOdds::default();
        }
        let trials = self.attempts + prior_attempts;
        FailureOdds {
            turned_away: self.turned_away / trials,
            lost: self.lost / trials,
            silent: self.silent / trials,
            trial_share: (-TRIAL_DECREASE * self.failures()).exp().max(MIN_TRIAL_SHARE),
        }
    }

    fn to_observation(self, server: Arc<str>) -> ServerObservation<Arc<str>> {
        let parts = |count: f64| (count * REPORTED_PARTS).round() as u16;
        ServerObservation {
            server,
            attempts: parts(self.attempts),
            turned_away: parts(self.turned_away),
            lost: parts(self.lost),
            silent: parts(self.silent),
        }
    }
}

impl From<&ServerObservation<Arc<str>>> for AttemptCounts {
    fn from(observation: &ServerObservation<Arc<str>>) -> Self {
        let count = |parts: u16| f64::from(parts) / REPORTED_PARTS;
        Self {
            attempts: count(observation.attempts),
            turned_away: count(observation.turned_away),
            lost: count(observation.lost),
            silent: count(observation.silent),
        }
    }
}

impl FadingCounts {
    fn at(&self, now: BootTime, fading: Duration) -> AttemptCounts {
        let age = now.since(self.counted_at).as_secs_f64() / fading.as_secs_f64();
        self.counts.scaled_plus((-age).exp(), AttemptCounts::default())
    }

    fn add(&mut self, now: BootTime, fading: Duration, counts: AttemptCounts) {
        let sum = self.at(now, fading).scaled_plus(1.0, counts);
        let factor = MAX_ATTEMPTS / sum.attempts.max(MAX_ATTEMPTS);
        let counts = sum.scaled_plus(factor, AttemptCounts::default());
        *self = Self { counts, counted_at: now };
    }
}

impl FailureOdds {
    /// Returns the probability that an attempt fails in any way.
    #[must_use]
    pub fn total(self) -> f64 {
        self.turned_away + self.lost + self.silent
    }

    /// Returns the expected cost of an attempt's failure, in the unit of `objective`, the
    /// latency objective of the request. `draw` is a random number from 0 to 1 that lets some
    /// requests ignore the failures.
    #[must_use]
    pub fn cost(self, objective: f64, stake: AttemptStake, draw: f64) -> f64 {
        let lost_attempt = self.lost.mul_add(LOST_COST, self.silent * SILENT_COST);
        let cost = objective * self.turned_away.mul_add(TURNED_AWAY_COST, lost_attempt);
        match stake {
            AttemptStake::Repeatable if draw < self.trial_share => 0.0,
            AttemptStake::Repeatable => cost,
            AttemptStake::Last => cost * LAST_ATTEMPT_FACTOR,
        }
    }
}

impl ServerTrouble {
    /// Records the outcome of an attempt of this node.
    pub(crate) fn observe(&mut self, now: BootTime, outcome: AttemptOutcome) {
        let Some(counts) = AttemptCounts::of(outcome) else { return };
        self.own.add(now, OWN_FADING, counts);
        self.unreported.add(now, ZONE_FADING, counts);
    }

    /// Returns the probabilities that an attempt fails.
    pub(crate) fn odds(&self, now: BootTime) -> FailureOdds {
        if self.is_sound() {
            return FailureOdds::default();
        }
        let prior = if self.is_told(now) { PRIOR_JOINT_ATTEMPTS } else { PRIOR_OWN_ATTEMPTS };
        self.counts(now).odds(prior)
    }

    /// Returns the probabilities that an attempt at one of several servers fails; none if one
    /// of the servers has not failed.
    pub(crate) fn joint_odds<'fleet>(
        now: BootTime,
        servers: impl Iterator<Item = &'fleet Self>,
    ) -> FailureOdds {
        let mut sum = AttemptCounts::default();
        for server in servers {
            let counts = server.counts(now);
            if counts.failures() < MIN_FAILURES {
                return FailureOdds::default();
            }
            sum = sum.scaled_plus(1.0, counts);
        }
        sum.odds(PRIOR_JOINT_ATTEMPTS)
    }

    fn counts(&self, now: BootTime) -> AttemptCounts {
        let own = || self.own.at(now, OWN_FADING);
        self.fresh_zone(now)
            .map_or_else(own, |zone| zone.scaled_plus(1.0, self.unreported.at(now, ZONE_FADING)))
    }

    /// Returns whether no failure is known at all, which most servers are asked for.
    fn is_sound(&self) -> bool {
        self.zone.is_none() && self.own.counts.failures() <= 0.0
    }

    fn fresh_zone(&self, now: BootTime) -> Option<AttemptCounts> {
        let zone = self.zone.filter(|zone| now.since(zone.counted_at) < ZONE_LIFETIME)?;
        Some(zone.at(now, ZONE_FADING))
    }

    /// Returns whether another node has told of failures of the server lately.
    pub(crate) fn is_told(&self, now: BootTime) -> bool {
        self.fresh_zone(now).is_some()
    }

    /// Returns whether the server has failed lately, here or at other nodes of the zone.
    pub(crate) fn has_failed(&self, now: BootTime) -> bool {
        if self.is_sound() {
            return false;
        }
        let own = self.own.at(now, OWN_FADING).failures();
        let zone = self.fresh_zone(now).map_or(0.0, AttemptCounts::failures);
        own.max(zone) >= MIN_FAILURES
    }

    /// Returns the attempts since the last report if the server has failed lately.
    pub(crate) fn take_report(
        &mut self,
        now: BootTime,
        server: &Arc<str>,
    ) -> Option<ServerObservation<Arc<str>>> {
        if !self.has_failed(now) {
            return None;
        }
        let report = std::mem::take(&mut self.unreported).at(now, ZONE_FADING);
        Some(report.to_observation(server.clone())).filter(|report| report.attempts > 0)
    }

    /// Replaces what is known of the zone's attempts; `None` if there were none.
    pub(crate) fn set_zone(
        &mut self,
        now: BootTime,
        observation: Option<&ServerObservation<Arc<str>>>,
    ) {
        let counts = observation.map(AttemptCounts::from).unwrap_or_default();
        self.zone = Some(FadingCounts { counts, counted_at: now });
    }
}

impl ObservationLedger {
    /// Adds the attempts that a node reports.
    pub fn merge(&mut self, now: BootTime, reports: &[ServerObservation<Arc<str>>]) {
        for report in reports {
            let reported = self.servers.entry(report.server.clone()).or_default();
            reported.counts.add(now, ZONE_FADING, report.into());
        }
    }

    /// Returns the attempts at the servers that fail, and forgets those that don't any more.
    pub fn failing(&mut self, now: BootTime) -> Vec<ServerObservation<Arc<str>>> {
        self.servers.retain(|_, it| it.counts.at(now, ZONE_FADING).failures() >= MIN_FAILURES);
        let mut failing = Vec::new();
        for (server, reported) in &mut self.servers {
            let counts = reported.counts.at(now, ZONE_FADING);
            reported.is_told |= counts.failures() >= MIN_TOLD_FAILURES
                && counts.odds(PRIOR_JOINT_ATTEMPTS).total() >= MIN_TOLD_SHARE;
            if reported.is_told {
                failing.push(counts.to_observation(server.clone()));
            }
        }
        failing
    }
}
