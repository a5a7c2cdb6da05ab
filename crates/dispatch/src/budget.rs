//! Token buckets that limit hedges and retries to a share of the first requests.

use std::time::Duration;

use carobstep_clock::BootTime;

/// Default for the maximum number of tokens in a bucket.
const MAX_TOKENS: f64 = 20.0;

/// Time in which a bucket refills one token of its reserve.
const RESERVE_REFILL: Duration = Duration::from_secs(5);

/// Tolerated rounding error of the token count.
const ROUNDING: f64 = 1e-6;

/// Token bucket that limits extra requests to a ratio of the first requests.
///
/// Each first request earns a fraction of a token, and each extra request takes
/// one token. The reserve is the only other source of tokens; it lets a service
/// with few requests retry at all. Without a reserve, the extra requests never
/// exceed the ratio.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct TokenBucket {
    ratio: f64,
    reserve: f64,
    tokens: f64,
    max_tokens: f64,
    refilled_at: BootTime,
}

impl TokenBucket {
    /// Creates a bucket that earns `ratio` tokens per first request.
    ///
    /// It starts with `reserve` tokens, which refill slowly.
    #[must_use]
    pub fn new(ratio: f64, reserve: f64, now: BootTime) -> Self {
        let tokens = if ratio > 0.0 { reserve } else { 0.0 };
        Self { ratio, reserve, tokens, max_tokens: MAX_TOKENS, refilled_at: now }
    }

    /// Sets the initial number of tokens.
    #[must_use]
    pub const fn with_tokens(mut self, tokens: f64) -> Self {
        self.tokens = tokens;
        self
    }

    /// Changes the maximum number of tokens and drops any excess.
    pub fn set_max_tokens(&mut self, max_tokens: f64) {
        self.max_tokens = max_tokens;
        self.tokens = self.tokens.min(max_tokens);
    }

    /// Changes the ratio and keeps the tokens; a ratio of zero drops them.
    pub fn set_ratio(&mut self, ratio: f64) {
        self.ratio = ratio;
        if ratio <= 0.0 {
            self.tokens = 0.0;
        }
    }

    /// Returns the number of tokens earned per first request.
    #[must_use]
    pub const fn ratio(&self) -> f64 {
        self.ratio
    }

    /// Returns the number of tokens.
    #[must_use]
    pub const fn tokens(&self) -> f64 {
        self.tokens
    }

    /// Adds the tokens earned by one first request.
    pub fn earn(&mut self) {
        self.earn_fraction(1.0);
    }

    /// Adds the tokens earned by `fraction` of a first request; another bucket earns the rest.
    pub fn earn_fraction(&mut self, fraction: f64) {
        self.tokens = (self.tokens + self.ratio * fraction).min(self.max_tokens);
    }

    /// Takes one token for an extra request; returns whether there was one.
    pub fn try_take(&mut self, now: BootTime) -> bool {
        self.refill(now);
        if self.tokens < 1.0 - ROUNDING {
            return false;
        }
        self.tokens = (self.tokens - 1.0).max(0.0);
        true
    }

    /// Takes one token, or a fraction of one with that probability; returns whether the
    /// extra request may be sent. `chance` is a random number from 0 to 1.
    ///
    /// For a budget that is shared by so many nodes that the share of each is below one
    /// token: on average, all nodes together send as many requests as there are tokens.
    pub fn try_take_fraction(&mut self, now: BootTime, chance: f64) -> bool {
        self.refill(now);
        if self.tokens >= 1.0 - ROUNDING {
            return self.try_take(now);
        }
        // Consumed in either case; otherwise repeated tries would succeed in the end.
        let fraction = std::mem::take(&mut self.tokens);
        chance < fraction
    }

    /// Puts back the token of an extra request that caused no load on a backend server.
    pub fn refund(&mut self) {
        if self.ratio > 0.0 {
            self.tokens = (self.tokens + 1.0).min(self.max_tokens);
        }
    }

    fn refill(&mut self, now: BootTime) {
        if self.ratio <= 0.0 || self.tokens >= self.reserve {
            self.refilled_at = now;
            return;
        }
        let earned = now.since(self.refilled_at).as_secs_f64() / RESERVE_REFILL.as_secs_f64();
        self.tokens = (self.tokens + earned).min(self.reserve);
        self.refilled_at = now;
    }
}
