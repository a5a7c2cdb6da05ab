//! Token buckets that bound extra load in percent of the first requests.

use std::time::Duration;

use carobstep_clock::BootTime;

/// Largest number of tokens that a bucket keeps, unless it is told otherwise.
const MAX_TOKENS: f64 = 20.0;

/// Time in which an idle bucket regains one token of its reserve.
const RESERVE_REFILL: Duration = Duration::from_secs(5);

/// Rounding error allowed when tokens are compared.
const ROUNDING: f64 = 1e-6;

/// Earns a fraction of a token for each first request; extra requests take one.
///
/// The bucket has no other income, except for a reserve that lets a service
/// with few requests retry at all. A bucket without a reserve never lets more
/// extra requests pass than its ratio of the first ones.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct TokenBucket {
    ratio: f64,
    reserve: f64,
    tokens: f64,
    max_tokens: f64,
    refilled: BootTime,
}

impl TokenBucket {
    /// Builds a bucket that earns `ratio` of a token per first request.
    ///
    /// `reserve` tokens are there from the start and refill slowly.
    #[must_use]
    pub fn new(ratio: f64, reserve: f64, now: BootTime) -> Self {
        let tokens = if ratio > 0.0 { reserve } else { 0.0 };
        Self { ratio, reserve, tokens, max_tokens: MAX_TOKENS, refilled: now }
    }

    /// Gives the bucket tokens to start with.
    #[must_use]
    pub const fn with_tokens(mut self, tokens: f64) -> Self {
        self.tokens = tokens;
        self
    }

    /// Changes how many tokens the bucket keeps; those beyond are lost.
    pub fn set_max_tokens(&mut self, max_tokens: f64) {
        self.max_tokens = max_tokens;
        self.tokens = self.tokens.min(max_tokens);
    }

    /// Changes the ratio and keeps the tokens, none for a ratio of zero.
    pub fn set_ratio(&mut self, ratio: f64) {
        self.ratio = ratio;
        if ratio <= 0.0 {
            self.tokens = 0.0;
        }
    }

    /// Tokens earned per first request.
    #[must_use]
    pub const fn ratio(&self) -> f64 {
        self.ratio
    }

    /// Earns for one first request.
    pub fn earn(&mut self) {
        self.earn_part(1.0);
    }

    /// Earns for a first request of which another bucket earns the rest.
    pub fn earn_part(&mut self, part: f64) {
        self.tokens = (self.tokens + self.ratio * part).min(self.max_tokens);
    }

    /// Takes one token for an extra request, or refuses it.
    pub fn take(&mut self, now: BootTime) -> bool {
        self.refill(now);
        if self.tokens < 1.0 - ROUNDING {
            return false;
        }
        self.tokens = (self.tokens - 1.0).max(0.0);
        true
    }

    /// Gives back the token of an extra request that put no load on a server.
    pub fn give_back(&mut self) {
        if self.ratio > 0.0 {
            self.tokens = (self.tokens + 1.0).min(self.max_tokens);
        }
    }

    fn refill(&mut self, now: BootTime) {
        if self.ratio <= 0.0 || self.tokens >= self.reserve {
            self.refilled = now;
            return;
        }
        let earned = now.since(self.refilled).as_secs_f64() / RESERVE_REFILL.as_secs_f64();
        self.tokens = (self.tokens + earned).min(self.reserve);
        self.refilled = now;
    }
}
