//! Decides at its arrival whether a search can still be served.
//!
//! Answers troubles in which so many servers fail that the retry budget of the shards can
//! carry only some of the searches to their end. A search needs nearly all shards, so that
//! equal shares leave nearly all searches incomplete; searches without a fair chance are
//! refused before they use any of the budget. Urgent ones may use all of it, less urgent
//! ones leave a part. A kind of searches that hardly gets through is let through in turn.

use std::time::Duration;

use carobstep_clock::BootTime;
use indexmap::IndexMap;

use crate::{
    fleet::{ServerFleet, ServiceKey},
    observations::FailureOdds,
};

/// Least chance to be served with which a search is admitted. A search below it is more
/// likely to take retries from others than to be served, or to be served where it returns.
const MIN_CHANCE: f64 = 0.3;

/// Share of the retry budget that searches leave to those of each more urgent priority.
const RESERVED_SHARE: f64 = 0.4;

/// Maximum number of more urgent priorities to which searches leave such a share; more of them
/// would leave nothing to the least urgent one.
const MAX_RESERVING: usize = 2;

/// Share of the admitted ones among the searches of a priority, relative to that of all,
/// below which they are admitted in any case.
const MIN_RELATIVE_SHARE: f64 = 0.25;

/// Faded number of searches from which a priority counts as in use.
const MIN_ARRIVED: f64 = 0.05;

/// Time in which the counts of searches fade to 1/e.
const COUNT_FADING: Duration = Duration::from_secs(5);

/// Time that a repeated attempt takes at a server that turns it away, with its delay.
const REPEAT_TIME: Duration = Duration::from_millis(20);

/// Part of the time left to a caller after which it returns at the latest.
const LATEST_RETURN: f64 = 1.0 / 3.0;

/// Earliest return, as a part of the latest one.
const EARLIEST_RETURN: f64 = 0.3;

/// What is known of a search before its first attempt.
#[derive(Clone, Copy, Debug)]
pub struct SearchDemand<'plan> {
    /// Service of each shard.
    pub services: &'plan [ServiceKey],
    /// Number of shards that must answer.
    pub min_shards: usize,
    /// Maximum number of servers to call for each shard.
    pub attempts: u32,
    /// Priority of its kind; 0 is the highest.
    pub priority: u32,
    /// Whether servers may have crashed under it. Such searches are few, and the attempts to
    /// find out about one are counted: a refusal here would use them up.
    pub is_cautious: bool,
    /// Time by which it must be answered.
    pub deadline: BootTime,
}

/// Why a search is refused, and when its caller should return.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SearchRefusal {
    /// Estimated probability that it would have been served.
    pub chance: f64,
    /// Number of shards of which every server fails some of its requests.
    pub failing_shards: usize,
    /// Extra requests that the retry budget of the scarcest of these shards would have paid
    /// for.
    pub extra: f64,
    /// Time after which the caller should return.
    pub retry_in: Duration,
}

/// Searches that arrived and were admitted of late, by priority.
#[derive(Clone, Debug, Default)]
pub struct SearchAdmission {
    kinds: IndexMap<u32, KindCounts>,
}

#[derive(Clone, Copy, Debug, Default)]
struct KindCounts {
    arrived: f64,
    admitted: f64,
    counted_at: BootTime,
}

impl KindCounts {
    fn at(self, now: BootTime) -> Self {
        let age = now.since(self.counted_at).as_secs_f64() / COUNT_FADING.as_secs_f64();
        let factor = (-age).exp();
        Self { arrived: self.arrived * factor, admitted: self.admitted * factor, counted_at: now }
    }
}

impl SearchAdmission {
    /// Decides about a search; admits all where the nodes don't share retry budgets by demand,
    /// since a refused search then leaves nothing to those of other nodes. `draw` is a random
    /// number from 0 to 1 that spreads the return of refused callers.
    ///
    /// # Errors
    ///
    /// Returns the reason if the search is refused.
    pub fn admit(
        &mut self,
        now: BootTime,
        fleet: &ServerFleet,
        demand: SearchDemand<'_>,
        draw: f64,
    ) -> Result<(), SearchRefusal> {
        if demand.is_cautious || fleet.extra_pool().is_none() {
            return Ok(());
        }
        let outlook = SearchOutlook::of(now, fleet, demand, self.more_urgent(now, demand.priority));
        let is_starved = self.is_starved(now, demand.priority);
        let counts = self.kinds.entry(demand.priority).or_default();
        *counts = counts.at(now);
        counts.arrived += 1.0;
        if outlook.chance >= MIN_CHANCE || is_starved {
            counts.admitted += 1.0;
            return Ok(());
        }
        let latest = demand.deadline.since(now).mul_f64(LATEST_RETURN);
        let part = (1.0 - EARLIEST_RETURN).mul_add(draw, EARLIEST_RETURN);
        let SearchOutlook { chance, failing_shards, extra } = outlook;
        Err(SearchRefusal { chance, failing_shards, extra, retry_in: latest.mul_f64(part) })
    }

    /// Returns the number of more urgent priorities of which searches arrived of late.
    fn more_urgent(&self, now: BootTime, priority: u32) -> i32 {
        let urgent = self.kinds.iter().filter(|(other, _)| **other < priority);
        let urgent = urgent.filter(|(_, counts)| counts.at(now).arrived >= MIN_ARRIVED);
        urgent.take(MAX_RESERVING).count() as i32
    }

    /// Returns whether too few searches of a priority were admitted compared to all.
    fn is_starved(&self, now: BootTime, priority: u32) -> bool {
        let counts: Vec<_> = self.kinds.values().map(|counts| counts.at(now)).collect();
        let arrived: f64 = counts.iter().map(|it| it.arrived).sum();
        let admitted: f64 = counts.iter().map(|it| it.admitted).sum();
        let Some(own) = self.kinds.get(&priority).map(|counts| counts.at(now)) else {
            return false;
        };
        let expected = (own.arrived + 1.0) * admitted / arrived.max(1.0);
        own.admitted + 1.0 <= expected * MIN_RELATIVE_SHARE
    }
}

/// Estimate of what becomes of a search.
#[derive(Clone, Copy, Debug)]
struct SearchOutlook {
    chance: f64,
    failing_shards: usize,
    extra: f64,
}

impl SearchOutlook {
    /// `more_urgent` is the number of more urgent priorities that need the retry budget too.
    fn of(now: BootTime, fleet: &ServerFleet, demand: SearchDemand<'_>, more_urgent: i32) -> Self {
        let mut failing_shards = 0;
        let mut least_extra = f64::INFINITY;
        // Probability of each number of shards without an answer, up to the tolerated one.
        let tolerated = demand.services.len().saturating_sub(demand.min_shards);
        let mut missing = vec![0.0; tolerated + 1];
        missing[0] = 1.0;
        let kept = (1.0 - RESERVED_SHARE).powi(more_urgent);
        for service in demand.services {
            let odds = fleet.service_failure_odds(now, *service);
            if odds == FailureOdds::default() {
                continue;
            }
            let extra = fleet.expected_extra(now, *service, demand.deadline) * kept;
            failing_shards += 1;
            least_extra = least_extra.min(extra);
            let lost = shard_failure(now, odds, extra, demand);
            for position in (0..missing.len()).rev() {
                let previous = if position > 0 { missing[position - 1] } else { 0.0 };
                missing[position] = missing[position] * (1.0 - lost) + previous * lost;
            }
        }
        Self { chance: missing.iter().sum(), failing_shards, extra: least_extra }
    }
}

/// Returns the probability that a shard gets no answer with `extra` extra requests.
fn shard_failure(now: BootTime, odds: FailureOdds, extra: f64, demand: SearchDemand<'_>) -> f64 {
    let remaining = demand.deadline.since(now).as_secs_f64();
    let repeats = extra.min(remaining / REPEAT_TIME.as_secs_f64());
    // A refusal may be repeated for as long as the budget and time last, the others only
    // with the attempts of the route.
    let attempts = f64::from(demand.attempts.saturating_sub(1)).min(repeats);
    let is_refusal = odds.turned_away / odds.total();
    let tries = 1.0 + repeats.mul_add(is_refusal, attempts * (1.0 - is_refusal));
    odds.total().min(1.0).powf(tries)
}
