//! Admission of whole searches at an entry node.
//!
//! A search needs every one of its shards. Under overload the servers' queues
//! refuse some shards of every search, so that all searches come back
//! incomplete although the servers are busy. The gate learns how many searches
//! a second come back whole, lets that many in and refuses the others at once,
//! each with a booked time to come back.
//!
//! The rate follows the additive-increase, multiplicative-decrease rule of
//! congestion control (Chiu and Jain, 1989), per period of observation. Only
//! searches that started within a period count for it, since earlier ones were
//! let in at another rate; after a decrease the period starts once the queues
//! have had time to drain.

use std::time::Duration;

use carobstep_clock::BootTime;

use crate::queue::BookingSchedule;

/// Shortest period of observation.
const PERIOD: Duration = Duration::from_millis(250);

/// Searches that must have ended before a period can.
const PERIOD_SEARCHES: u32 = 8;

/// Share of incomplete searches above which the rate is lowered.
const INCOMPLETE_SHARE: f64 = 0.05;

/// Share of the estimated capacity that is let in after a decrease, so that
/// the queues drain.
const DRAIN_SHARE: f64 = 0.8;

/// Shares of the estimated capacity between which the rate grows slowly. Above
/// the second one the estimate was too low.
const SLOW_SHARES: std::ops::Range<f64> = 0.92..1.1;

/// Increase of the rate per second outside of [`SLOW_SHARES`], as a share of it.
const FAST_INCREASE: f64 = 0.25;

/// Increase of the rate per second within [`SLOW_SHARES`], as a share of it.
const SLOW_INCREASE: f64 = 0.01;

/// Periods without a refusal after which the limit is lifted.
const CALM_PERIODS: u32 = 8;

/// Lowest rate, in searches per second.
const MIN_RATE: f64 = 1.0;

/// Time for which unused admissions are kept.
const BURST: Duration = Duration::from_millis(50);

/// Time ahead for which booked callers are waited for.
const BOOKED_AHEAD: Duration = Duration::from_millis(50);

/// Share of the rate that is promised to refused callers.
const BOOKED_SHARE: f64 = 0.9;

/// Decision about one search.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum GateDecision {
    /// Run the search.
    Admit,
    /// Refuse the search as not run.
    Refuse {
        /// When the caller finds a place booked for it.
        retry_after: Duration,
    },
}

/// How many shards of one ended search were needed and refused for load.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SearchLoad {
    /// Shards needed.
    pub shards: usize,
    /// Shards lacking because a queue, a server or a deadline had no room.
    pub refused: usize,
}

/// Limit on the searches of one index at one entry node.
#[derive(Clone, Debug)]
pub struct AdmissionGate {
    /// Searches per second; `None` while there is no limit.
    rate: Option<f64>,
    tokens: f64,
    refilled: BootTime,
    period: GatePeriod,
    /// Time for which queued work may still hinder searches after a decrease.
    settle: Duration,
    /// Searches per second that the servers carried when they last refused.
    capacity: f64,
    /// Complete periods in a row without a refusal.
    calm_periods: u32,
    bookings: BookingSchedule,
}

/// What was seen since the rate last changed.
#[derive(Clone, Copy, Debug)]
struct GatePeriod {
    since: BootTime,
    admitted: u32,
    refused: u32,
    ended: u32,
    incomplete: u32,
    shards: usize,
    shards_refused: usize,
}

impl AdmissionGate {
    /// Builds a gate without a limit; `settle` is the deadline of the searches.
    #[must_use]
    pub const fn new(now: BootTime, settle: Duration) -> Self {
        Self {
            rate: None,
            tokens: 0.0,
            refilled: now,
            period: GatePeriod::new(now),
            settle,
            capacity: 0.0,
            calm_periods: 0,
            bookings: BookingSchedule::new(),
        }
    }

    /// Searches per second that are let in, `None` while there is no limit.
    #[must_use]
    pub const fn rate(&self) -> Option<f64> {
        self.rate
    }

    /// Decides about a search; `caller` is the identity that a refused caller
    /// presents again.
    pub fn offer(&mut self, now: BootTime, caller: u64) -> GateDecision {
        self.bookings.expire(now);
        let Some(rate) = self.rate else {
            self.period.admit(now);
            return GateDecision::Admit;
        };
        self.refill(now, rate);
        let booked = self.bookings.redeem(caller, now);
        if booked || self.has_room(now, rate) {
            self.tokens = (self.tokens - 1.0).max(-burst(rate));
            self.period.admit(now);
            return GateDecision::Admit;
        }
        self.period.refused += 1;
        let spacing = Duration::from_secs_f64(1.0 / (rate * BOOKED_SHARE));
        let due = self.bookings.book(caller, false, now + spacing, spacing);
        GateDecision::Refuse { retry_after: due.since(now) }
    }

    /// Takes in the end of a search that was let in at `started`.
    pub fn finish(&mut self, now: BootTime, started: BootTime, load: SearchLoad) {
        if started < self.period.since {
            return;
        }
        self.period.ended += 1;
        self.period.incomplete += u32::from(load.refused > 0);
        self.period.shards += load.shards;
        self.period.shards_refused += load.refused;
        let long_enough = now.since(self.period.since) >= PERIOD;
        if long_enough && self.period.ended >= PERIOD_SEARCHES {
            self.end_period(now);
        }
    }

    fn end_period(&mut self, now: BootTime) {
        let period = std::mem::replace(&mut self.period, GatePeriod::new(now));
        if period.incomplete_share() > INCOMPLETE_SHARE {
            let achieved = f64::from(period.admitted) / now.since(period.since).as_secs_f64();
            self.capacity = (achieved * period.carried_share()).max(MIN_RATE);
            self.rate = Some((self.capacity * DRAIN_SHARE).max(MIN_RATE));
            self.period = GatePeriod::new(now + self.settle);
            self.calm_periods = 0;
            return;
        }
        let Some(rate) = self.rate else { return };
        self.calm_periods = if period.refused > 0 { 0 } else { self.calm_periods + 1 };
        let lifted = self.calm_periods >= CALM_PERIODS;
        let slow = SLOW_SHARES.contains(&(rate / self.capacity));
        let per_second = if slow { SLOW_INCREASE } else { FAST_INCREASE };
        let increase = per_second * now.since(period.since).as_secs_f64();
        self.rate = (!lifted).then_some(rate * (1.0 + increase));
    }

    fn refill(&mut self, now: BootTime, rate: f64) {
        let earned = rate * now.since(self.refilled).as_secs_f64();
        self.tokens = (self.tokens + earned).min(burst(rate));
        self.refilled = now;
    }

    /// Whether a caller without a booking can be let in beside the booked ones.
    fn has_room(&self, now: BootTime, rate: f64) -> bool {
        let booked = self.bookings.expected_by(now, now + BOOKED_AHEAD, false);
        let earned = rate * BOOKED_AHEAD.as_secs_f64();
        self.tokens >= 1.0 && self.tokens + earned - booked >= 1.0
    }
}

impl GatePeriod {
    const fn new(since: BootTime) -> Self {
        Self {
            since,
            admitted: 0,
            refused: 0,
            ended: 0,
            incomplete: 0,
            shards: 0,
            shards_refused: 0,
        }
    }

    fn admit(&mut self, now: BootTime) {
        self.admitted += u32::from(now >= self.since);
    }

    fn incomplete_share(&self) -> f64 {
        f64::from(self.incomplete) / f64::from(self.ended.max(1))
    }

    /// Share of the needed shards that the servers did not refuse.
    fn carried_share(&self) -> f64 {
        1.0 - self.shards_refused as f64 / self.shards.max(1) as f64
    }
}

/// Most admissions that are kept.
fn burst(rate: f64) -> f64 {
    (rate * BURST.as_secs_f64()).max(2.0)
}
