//! Admission control for searches at an entry node.
//!
//! A search needs all of its shards. Under overload the servers' queues refuse
//! some shards of every search, so that all searches are incomplete although
//! the servers are busy. The gate estimates how many searches per second the
//! servers complete, admits that many and refuses the others at once, each with
//! a booked retry time.
//!
//! The rate follows the additive-increase, multiplicative-decrease rule of
//! congestion control (Chiu and Jain, 1989), per observation period. Only
//! searches that started within a period count for it, since earlier ones were
//! admitted at another rate; after a decrease the period starts once the queues
//! have had time to drain.

use std::time::Duration;

use carobstep_clock::BootTime;

use crate::queue::BookingSchedule;

/// Minimum length of an observation period.
const MIN_PERIOD: Duration = Duration::from_millis(250);

/// Minimum number of finished searches in an observation period.
const MIN_PERIOD_SEARCHES: u32 = 8;

/// Share of incomplete searches above which the rate is decreased.
const MAX_INCOMPLETE_SHARE: f64 = 0.05;

/// Rate after a decrease, as a share of the estimated capacity; below 1 so that
/// the queues drain.
const DRAIN_SHARE: f64 = 0.8;

/// Range of the rate in which it grows slowly, as shares of the estimated
/// capacity. Above this range the estimate was too low.
const SLOW_GROWTH_SHARES: std::ops::Range<f64> = 0.92..1.1;

/// Increase per second outside of [`SLOW_GROWTH_SHARES`], as a share of the rate.
const FAST_INCREASE: f64 = 0.25;

/// Increase per second within [`SLOW_GROWTH_SHARES`], as a share of the rate.
const SLOW_INCREASE: f64 = 0.01;

/// Number of successive periods without a refusal after which the limit is removed.
const REFUSAL_FREE_PERIODS: u32 = 8;

/// Minimum rate, in searches per second.
const MIN_RATE: f64 = 10.0;

/// Minimum estimated share of the admitted load that the servers handled.
///
/// A single burst says little about the rate that the servers can sustain.
const MIN_HANDLED_SHARE: f64 = 0.25;

/// Maximum of accumulated unused admissions, as time at the current rate.
const BURST_TIME: Duration = Duration::from_millis(50);

/// Time ahead for which capacity is reserved for booked callers.
const BOOKING_LOOKAHEAD: Duration = Duration::from_millis(50);

/// Share of the rate that may be booked by refused callers.
const BOOKED_SHARE: f64 = 0.9;

/// Decision on the admission of one search.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum GateDecision {
    /// The search may run.
    Admit,
    /// The search is refused and was not run.
    Refuse {
        /// Delay until the retry time booked for the caller.
        retry_after: Duration,
    },
}

/// Shard counts of one finished search.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SearchLoad {
    /// Number of shards in the snapshot.
    pub shards: usize,
    /// Shards refused because a queue or a server was full, or the deadline could not be met.
    pub refused: usize,
}

/// Rate limit on the searches of one index at one entry node.
#[derive(Clone, Debug)]
pub struct AdmissionGate {
    /// Searches per second; `None` while there is no limit.
    rate: Option<f64>,
    tokens: f64,
    refilled_at: BootTime,
    period: GatePeriod,
    /// Time after a decrease in which queued requests may still delay searches.
    drain_time: Duration,
    /// Searches per second that the servers handled when they were last overloaded.
    capacity: f64,
    /// Number of successive periods without a refusal.
    refusal_free_periods: u32,
    bookings: BookingSchedule,
}

/// Counters of one observation period.
#[derive(Clone, Copy, Debug)]
struct GatePeriod {
    since: BootTime,
    admitted: u32,
    refused: u32,
    finished: u32,
    incomplete: u32,
    shards: usize,
    shards_refused: usize,
}

impl AdmissionGate {
    /// Creates a gate without a limit.
    ///
    /// `drain_time` is the time in which the queues drain: the searches' deadline.
    #[must_use]
    pub const fn new(now: BootTime, drain_time: Duration) -> Self {
        Self {
            rate: None,
            tokens: 0.0,
            refilled_at: now,
            period: GatePeriod::new(now),
            drain_time,
            capacity: 0.0,
            refusal_free_periods: 0,
            bookings: BookingSchedule::new(),
        }
    }

    /// Returns the admitted searches per second, `None` while there is no limit.
    #[must_use]
    pub const fn rate(&self) -> Option<f64> {
        self.rate
    }

    /// Admits or refuses a search; `caller_id` identifies the caller, also when it retries.
    pub fn offer(&mut self, now: BootTime, caller_id: u64) -> GateDecision {
        self.bookings.expire(now);
        let Some(rate) = self.rate else {
            self.period.admit(now);
            return GateDecision::Admit;
        };
        self.refill(now, rate);
        let booked = self.bookings.redeem(caller_id, now);
        if booked || self.has_capacity(now, rate) {
            self.tokens = (self.tokens - 1.0).max(-max_tokens(rate));
            self.period.admit(now);
            return GateDecision::Admit;
        }
        self.period.refused += 1;
        let spacing = Duration::from_secs_f64(1.0 / (rate * BOOKED_SHARE));
        let due = self.bookings.book(caller_id, false, now + spacing, spacing);
        GateDecision::Refuse { retry_after: due.since(now) }
    }

    /// Records the end of a search that was admitted at `started`.
    pub fn finish(&mut self, now: BootTime, started: BootTime, load: SearchLoad) {
        if started < self.period.since {
            return;
        }
        self.period.finished += 1;
        self.period.incomplete += u32::from(load.refused > 0);
        self.period.shards += load.shards;
        self.period.shards_refused += load.refused;
        let long_enough = now.since(self.period.since) >= MIN_PERIOD;
        if long_enough && self.period.finished >= MIN_PERIOD_SEARCHES {
            self.end_period(now);
        }
    }

    fn end_period(&mut self, now: BootTime) {
        let period = std::mem::replace(&mut self.period, GatePeriod::new(now));
        if period.incomplete_share() > MAX_INCOMPLETE_SHARE {
            let admitted_rate = f64::from(period.admitted) / now.since(period.since).as_secs_f64();
            self.capacity = (admitted_rate * period.handled_share()).max(MIN_RATE);
            self.rate = Some((self.capacity * DRAIN_SHARE).max(MIN_RATE));
            self.period = GatePeriod::new(now + self.drain_time);
            self.refusal_free_periods = 0;
            return;
        }
        let Some(rate) = self.rate else { return };
        self.refusal_free_periods =
            if period.refused > 0 { 0 } else { self.refusal_free_periods + 1 };
        let is_limit_removed = self.refusal_free_periods >= REFUSAL_FREE_PERIODS;
        let is_slow_growth = SLOW_GROWTH_SHARES.contains(&(rate / self.capacity));
        let per_second = if is_slow_growth { SLOW_INCREASE } else { FAST_INCREASE };
        let increase = per_second * now.since(period.since).as_secs_f64();
        self.rate = (!is_limit_removed).then_some(rate * (1.0 + increase));
    }

    fn refill(&mut self, now: BootTime, rate: f64) {
        let earned = rate * now.since(self.refilled_at).as_secs_f64();
        self.tokens = (self.tokens + earned).min(max_tokens(rate));
        self.refilled_at = now;
    }

    /// Returns whether a caller without a booking can be admitted in addition to the booked ones.
    fn has_capacity(&self, now: BootTime, rate: f64) -> bool {
        // Unused admissions show that the booked callers do not retry.
        if self.tokens >= max_tokens(rate) {
            return true;
        }
        let booked = self.bookings.expected_by(now, now + BOOKING_LOOKAHEAD, false);
        let earned = rate * BOOKING_LOOKAHEAD.as_secs_f64();
        self.tokens >= 1.0 && self.tokens + earned - booked >= 1.0
    }
}

impl GatePeriod {
    const fn new(since: BootTime) -> Self {
        Self {
            since,
            admitted: 0,
            refused: 0,
            finished: 0,
            incomplete: 0,
            shards: 0,
            shards_refused: 0,
        }
    }

    fn admit(&mut self, now: BootTime) {
        self.admitted += u32::from(now >= self.since);
    }

    fn incomplete_share(&self) -> f64 {
        f64::from(self.incomplete) / f64::from(self.finished.max(1))
    }

    /// Returns the share of the shards that the servers did not refuse.
    fn handled_share(&self) -> f64 {
        let refused = self.shards_refused as f64 / self.shards.max(1) as f64;
        (1.0 - refused).max(MIN_HANDLED_SHARE)
    }
}

/// Returns the maximum number of accumulated admissions.
fn max_tokens(rate: f64) -> f64 {
    (rate * BURST_TIME.as_secs_f64()).max(2.0)
}
