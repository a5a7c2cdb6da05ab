//! Retry budget of a service: a part of this node, and a part that nodes share by demand.
//!
//! With many nodes, an equal share of the budget is a request or two for each, and most of
//! it stays unused: the servers are called by a few fast nodes, and while servers fail, some
//! nodes have many more retries than others. So most of the budget forms a pool, the tokens
//! of which go to the nodes that ask for them. The rest, and what a node's own first
//! requests earn, needs no owner.

use std::time::Duration;

use carobstep_clock::BootTime;
use carobstep_dispatch::TokenBucket;

use crate::{
    credit::CreditIncome,
    fleet::FleetLimits,
    quota::NodeShare,
    shares::{ExtraPool, MIN_SAVED, ShareTerms},
};

/// Fraction of the shared retry budget that the nodes use; the rest covers nodes
/// that started or stopped within the window.
const USABLE_BUDGET_SHARE: f64 = 0.8;

/// Fraction that is divided equally among the nodes while there is a pool.
const OWN_SHARE_BESIDE_POOL: f64 = 0.47;

/// Fraction that the pools of all availability zones have together. A zone that has two
/// owners for a moment uses its part twice.
const POOL_SHARE: f64 = 0.4;

/// Equal share of a node, in requests, below which a pool is worth its messages.
const MIN_EQUAL_SHARE: f64 = 3.0;

/// Fraction of its maximum extra-request tokens that a node starts with; before a
/// restart it may have used its share of the window already.
const INITIAL_BUDGET_SHARE: f64 = 0.5;

/// Part of the pool's depth that one node may ask for at once.
const MAX_ASKED_SHARE: f64 = 0.25;

/// Time for which a pool that is used up is not asked again, since few tokens come in
/// meanwhile and hedges would ask many times.
const SHORT_INTERVAL: Duration = Duration::from_millis(50);

/// Least time before its deadline at which a request may count on the pool: that of a call
/// to the owner.
const POOL_REPLY_TIME: Duration = Duration::from_millis(15);

/// Tokens that a pool which has not been short of them lately grants a request.
const UNCONTENDED_TOKENS: f64 = 1.0;

/// Least time in which first requests earn an extra one, in seconds.
const MIN_INCOME_TIME: f64 = 1e-3;

impl FleetLimits {
    /// Returns the pool of each service in each of `zones` availability zones, if the budget
    /// is too small to be divided equally. `window` is the time in which the budget may be
    /// used once.
    #[must_use]
    pub fn extra_pool(&self, window: Option<Duration>, zones: usize) -> Option<ExtraPool> {
        let equal_share = self.retry_slack * USABLE_BUDGET_SHARE / f64::from(self.nodes.max(1));
        let window = window.filter(|_| equal_share < MIN_EQUAL_SHARE)?;
        // Half of it may add up, and the other half comes in during the window after.
        let depth = self.retry_slack * POOL_SHARE / zones.max(1) as f64 / 2.0;
        let per_second = depth / window.as_secs_f64();
        Some(ExtraPool { rate: per_second.try_into().ok()?, depth })
    }

    fn max_own_tokens(&self, has_pool: bool) -> f64 {
        let share = if has_pool { OWN_SHARE_BESIDE_POOL } else { USABLE_BUDGET_SHARE };
        self.retry_slack * share / f64::from(self.nodes.max(1))
    }
}

impl ExtraPool {
    /// Returns the terms on which an owner that has known of all requests since `known_since`
    /// hands out the pool of a service.
    #[must_use]
    pub fn terms(&self, now: BootTime, known_since: BootTime) -> ShareTerms {
        let saved = now.since(known_since).max(MIN_SAVED);
        ShareTerms { per_second: self.rate.per_second(), depth: self.depth, saved }
    }
}

/// Retry budget of one service at this node.
#[derive(Clone, Debug)]
pub(crate) struct RetryBudget {
    own: TokenBucket,
    /// What the first requests of late have earned for the budget.
    income: CreditIncome,
    /// This node's part of the pool.
    pool: Option<NodeShare>,
}

impl RetryBudget {
    pub(crate) fn new(now: BootTime, limits: FleetLimits, pool: Option<ExtraPool>) -> Self {
        let max_tokens = limits.max_own_tokens(pool.is_some());
        let ratio = limits.retry_ratio * USABLE_BUDGET_SHARE;
        let mut own =
            TokenBucket::new(ratio, 0.0, now).with_tokens(max_tokens * INITIAL_BUDGET_SHARE);
        own.set_max_tokens(max_tokens);
        Self { own, income: CreditIncome::new(now), pool: pool.map(node_share) }
    }

    /// Replaces the limits.
    pub(crate) fn set_limits(&mut self, limits: FleetLimits, pool: Option<ExtraPool>) {
        self.own.set_max_tokens(limits.max_own_tokens(pool.is_some()));
        match (&mut self.pool, pool) {
            (Some(share), Some(pool)) if share.rate == pool.rate => {}
            (share, pool) => *share = pool.map(node_share),
        }
    }

    /// Adds the credit that a first request earns. `fraction` is the part of the credit that
    /// this node gets.
    pub(crate) fn earn(&mut self, now: BootTime, fraction: f64) {
        self.own.earn_fraction(fraction);
        self.income.record(now, self.own.ratio() * fraction);
    }

    /// Takes one extra request; returns `false` if there is none. With less than one
    /// request left, the result is random: `chance` is a random number from 0 to 1.
    pub(crate) fn try_take(&mut self, now: BootTime, chance: f64) -> bool {
        let Some(pool) = &mut self.pool else { return self.own.try_take_fraction(now, chance) };
        if pool.tokens(now) > 0 {
            pool.take(now);
            return true;
        }
        if self.own.try_take_fraction(now, chance) {
            return true;
        }
        pool.miss();
        false
    }

    /// Returns whether the budget is likely to pay for an extra request by `deadline`.
    pub(crate) fn expects(&self, now: BootTime, deadline: BootTime) -> bool {
        let missing = (1.0 - self.own.tokens()).max(0.0);
        if missing <= 0.0 {
            return true;
        }
        let remaining = deadline.since(now);
        if let Some(pool) = &self.pool {
            let is_likely = !pool.is_contended(now) && remaining > POOL_REPLY_TIME;
            let expected = pool.expected_rate(now) * remaining.as_secs_f64();
            if pool.tokens(now) > 0 || is_likely || expected >= 1.0 {
                return true;
            }
        }
        self.income.seconds_for(now, missing) <= remaining.as_secs_f64()
    }

    /// Returns the number of extra requests that the budget is likely to pay for by
    /// `deadline`.
    pub(crate) fn expected_tokens(&self, now: BootTime, deadline: BootTime) -> f64 {
        let remaining = deadline.since(now);
        let mut tokens = self.own.tokens().max(0.0);
        tokens += remaining.as_secs_f64() / self.income.seconds_for(now, 1.0).max(MIN_INCOME_TIME);
        if let Some(pool) = &self.pool {
            tokens += f64::from(pool.tokens(now));
            if !pool.is_contended(now) && remaining > POOL_REPLY_TIME {
                tokens += UNCONTENDED_TOKENS;
            } else {
                tokens += pool.expected_rate(now) * remaining.as_secs_f64();
            }
        }
        tokens
    }

    /// Returns the number of tokens of the pool to ask for now, and starts to count the
    /// demand anew.
    pub(crate) fn ask(&mut self, now: BootTime) -> u32 {
        let asking = self.pool.as_mut().filter(|it| !it.was_short_within(now, SHORT_INTERVAL));
        asking.map_or(0, |pool| pool.ask(now))
    }

    /// Adds the tokens that were granted when `asked` were asked for at `asked_at`.
    pub(crate) fn add(&mut self, now: BootTime, asked_at: BootTime, asked: u32, granted: u32) {
        if let Some(pool) = &mut self.pool {
            pool.add(now, asked_at, asked, granted);
        }
    }
}

fn node_share(pool: ExtraPool) -> NodeShare {
    NodeShare::new(pool.rate).with_max_asked(pool.depth * MAX_ASKED_SHARE)
}
