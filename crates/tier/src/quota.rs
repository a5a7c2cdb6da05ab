//! Division of a request limit among the nodes.
//!
//! One node of each availability zone, the owner, shares out the limits of the zone's
//! servers as tokens, one for each request. A node asks for as many tokens as it had
//! requests lately, so that the limit can be used up by a few nodes, and the sum stays
//! within it however many nodes there are. Unused tokens expire. A node without tokens
//! sends nothing to the server.

use std::{collections::VecDeque, sync::Arc, time::Duration};

use carobstep_clock::BootTime;
use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

use crate::{limits::LimitRecord, model::RequestRate, shares::ShareTerms};

/// Time over whose income the owner's tokens for a server add up.
const BURST_TIME: Duration = Duration::from_millis(250);

/// Time after which an unused token expires.
const TOKEN_LIFETIME: Duration = Duration::from_millis(1_000);

/// Lower bound on the rate in requests per second at which tokens are issued; without
/// any request, the end of a limit would not be noticed.
const MIN_RATE: f64 = 0.5;

/// Tokens that a node asks for, relative to its requests since it last asked.
const DEMAND_FACTOR: f64 = 1.25;

/// Maximum number of tokens that a node asks for, as a time in which all tokens of the
/// limit are issued.
const MAX_ASKED_TIME: Duration = Duration::from_millis(500);

/// Time over which the rate at which a node gets tokens is averaged, and for which the
/// average is meaningful after the last reply.
const INCOME_LIFETIME: Duration = Duration::from_secs(1);

/// Share of the limit that a node can expect while it gets all tokens that it asks for.
const UNCONTENDED_SHARE: f64 = 0.5;

/// Interval between two requests for tokens, per live node: the owner answers as many
/// of them as there are nodes in this time.
const ASK_INTERVAL_PER_NODE: Duration = Duration::from_micros(2_500);

/// Shortest interval between two requests for tokens.
const MIN_ASK_INTERVAL: Duration = Duration::from_millis(25);

/// Longest interval between two requests for tokens; shorter than a token's lifetime.
const MAX_ASK_INTERVAL: Duration = Duration::from_millis(500);

/// Interval between two calls by which a node without demand tells an owner that it takes
/// it for the owner, per node of the fleet.
const SUPPORT_INTERVAL_PER_NODE: Duration = Duration::from_micros(5_000);

/// Shortest interval between two such calls.
const MIN_SUPPORT_INTERVAL: Duration = Duration::from_millis(250);

/// Longest interval between two such calls.
const MAX_SUPPORT_INTERVAL: Duration = Duration::from_secs(2);

/// Number of intervals after which a supporter that was not heard of is not counted.
const SUPPORT_INTERVALS: u32 = 3;

/// Share of the nodes whose support makes an owner share out the whole limit. A node
/// supports one owner at a time, so the others have less than the rest.
const FULL_SUPPORT: f64 = 0.66;

/// Returns the interval at which a node without demand supports an owner.
#[must_use]
pub fn support_interval(nodes: u32) -> Duration {
    (SUPPORT_INTERVAL_PER_NODE * nodes).clamp(MIN_SUPPORT_INTERVAL, MAX_SUPPORT_INTERVAL)
}

/// The nodes that take this node for the owner, by zone.
///
/// Nodes may disagree on the owner: they may be cut off from each other in one direction
/// or both, stopped, or frozen. As each one asks a single owner, all owners together share
/// out hardly more than the limit if each does so in proportion to its supporters.
#[derive(Clone, Debug, Default)]
pub struct OwnerSupport {
    /// For each zone, when each supporter was last heard of.
    seen: IndexMap<Arc<str>, IndexMap<Arc<str>, BootTime>>,
}

impl OwnerSupport {
    /// Records that a node, which may be this one, takes this node for the owner in `zone`.
    pub fn record(&mut self, now: BootTime, zone: &Arc<str>, node: &Arc<str>) {
        self.seen.entry(zone.clone()).or_default().insert(node.clone(), now);
    }

    /// Returns the share of the zone's limits that this node hands out. `nodes` is the
    /// number of registered nodes, whether this one can reach them or not.
    pub fn share(&mut self, now: BootTime, zone: &str, nodes: u32) -> f64 {
        let lifetime = support_lifetime(nodes);
        let Some(seen) = self.seen.get_mut(zone) else { return 0.0 };
        seen.retain(|_, seen_at| now.since(*seen_at) < lifetime);
        let share = seen.len() as f64 / f64::from(nodes.max(1));
        if share >= FULL_SUPPORT { 1.0 } else { share }
    }

    /// Forgets all supporters; for a time without any limit.
    pub fn clear(&mut self) {
        self.seen.clear();
    }

    /// Returns the number of supporters over all zones.
    #[must_use]
    pub fn len(&self) -> usize {
        self.seen.values().map(IndexMap::len).sum()
    }

    /// Returns whether there is no supporter.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }
}

/// Returns the time for which a supporter counts that was not heard of.
#[must_use]
pub fn support_lifetime(nodes: u32) -> Duration {
    support_interval(nodes) * SUPPORT_INTERVALS
}

/// Returns the interval between two requests for tokens to the same owner.
#[must_use]
pub fn ask_interval(nodes: u32) -> Duration {
    (ASK_INTERVAL_PER_NODE * nodes).clamp(MIN_ASK_INTERVAL, MAX_ASK_INTERVAL)
}

/// Returns the terms on which the owner shares out the limit of a server.
#[must_use]
pub fn server_terms(rate: RequestRate) -> ShareTerms {
    let per_second = rate.per_second().max(MIN_RATE);
    let depth = per_second * BURST_TIME.as_secs_f64();
    ShareTerms { per_second, depth, saved: Duration::ZERO }
}

/// Request for tokens for one server.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct QuotaAsk {
    /// The limit, as the requesting node knows it.
    pub record: LimitRecord,
    /// Availability zone of the server.
    pub zone: Arc<str>,
    /// Number of tokens.
    pub tokens: u32,
}

/// This node's part of a limit that all nodes share.
#[derive(Clone, Debug)]
pub(crate) struct NodeShare {
    pub(crate) rate: RequestRate,
    /// Requests of this node since it knows of the limit.
    pub(crate) attempts: u64,
    /// Unused tokens and when they expire, the oldest first.
    batches: VecDeque<(BootTime, u32)>,
    /// Requests since the last request for tokens that used a token or lacked one.
    demand: u32,
    /// When this node last got fewer tokens than it asked for.
    short_at: BootTime,
    income: Option<TokenIncome>,
    /// Maximum number of tokens that this node asks for at once.
    max_asked: f64,
    /// Time after which an unused token expires.
    lifetime: Duration,
}

/// Average rate at which a node gets tokens.
#[derive(Clone, Copy, Debug)]
struct TokenIncome {
    measured_at: BootTime,
    per_second: f64,
}

impl NodeShare {
    pub(crate) fn new(rate: RequestRate) -> Self {
        Self {
            rate,
            attempts: 0,
            batches: VecDeque::new(),
            demand: 0,
            short_at: BootTime::ZERO,
            income: None,
            max_asked: rate.per_second().max(MIN_RATE) * MAX_ASKED_TIME.as_secs_f64(),
            lifetime: TOKEN_LIFETIME,
        }
    }

    /// Sets the time after which an unused token expires.
    pub(crate) const fn with_lifetime(mut self, lifetime: Duration) -> Self {
        self.lifetime = lifetime;
        self
    }

    /// Lets this node ask for more tokens at once than come in during [`MAX_ASKED_TIME`].
    pub(crate) const fn with_max_asked(mut self, tokens: f64) -> Self {
        self.max_asked = self.max_asked.max(tokens);
        self
    }

    /// Replaces the rate of the limit.
    pub(crate) fn set_rate(&mut self, rate: RequestRate) {
        self.rate = rate;
        self.max_asked = rate.per_second().max(MIN_RATE) * MAX_ASKED_TIME.as_secs_f64();
    }

    pub(crate) fn tokens(&self, now: BootTime) -> u32 {
        let valid = self.batches.iter().filter(|(expires_at, _)| *expires_at > now);
        valid.map(|(_, tokens)| tokens).sum()
    }

    /// Takes a token for a request.
    pub(crate) fn take(&mut self, now: BootTime) {
        self.attempts += 1;
        self.demand = self.demand.saturating_add(1);
        self.batches.retain(|(expires_at, tokens)| *expires_at > now && *tokens > 0);
        if let Some((_, tokens)) = self.batches.front_mut() {
            *tokens -= 1;
        }
    }

    /// Returns the token of a request that was not sent.
    pub(crate) fn refund(&mut self) {
        if let Some((_, tokens)) = self.batches.back_mut() {
            *tokens += 1;
        }
    }

    /// Records that a request lacked a token.
    pub(crate) const fn miss(&mut self) {
        self.demand = self.demand.saturating_add(1);
    }

    /// Returns how many tokens to ask for now, and starts to count the demand anew.
    pub(crate) fn ask(&mut self, now: BootTime) -> u32 {
        let demand = std::mem::take(&mut self.demand);
        let most = self.max_asked.max(1.0);
        let target = (f64::from(demand) * DEMAND_FACTOR).min(most).ceil() as u32;
        target.saturating_sub(self.tokens(now))
    }

    /// Adds the tokens that the owner granted when `asked` were asked for at `asked_at`.
    pub(crate) fn add(&mut self, now: BootTime, asked_at: BootTime, asked: u32, granted: u32) {
        let previous = self.income.filter(|income| now.since(income.measured_at) < INCOME_LIFETIME);
        let span = previous.map_or(MAX_ASK_INTERVAL, |income| now.since(income.measured_at));
        let sample = f64::from(granted) / span.as_secs_f64().max(1e-3);
        let average = previous.map_or(sample, |income| {
            let weight = span.as_secs_f64() / INCOME_LIFETIME.as_secs_f64();
            income.per_second + weight.min(1.0) * (sample - income.per_second)
        });
        self.income = Some(TokenIncome { measured_at: now, per_second: average });
        if granted < asked {
            self.short_at = now;
        }
        // A reply that was delayed, or a pause of this process, does not extend the lifetime.
        self.batches.retain(|(expires_at, tokens)| *expires_at > now && *tokens > 0);
        if granted > 0 {
            self.batches.push_back((asked_at + self.lifetime, granted));
        }
    }

    /// Returns whether this node recently got fewer tokens than it asked for.
    pub(crate) fn is_contended(&self, now: BootTime) -> bool {
        self.was_short_within(now, INCOME_LIFETIME)
    }

    /// Returns whether this node got fewer tokens than it asked for within a time.
    pub(crate) fn was_short_within(&self, now: BootTime, time: Duration) -> bool {
        now.since(self.short_at) < time
    }

    /// Returns the rate in tokens per second that this node can expect.
    pub(crate) fn expected_rate(&self, now: BootTime) -> f64 {
        let income = self.income.filter(|income| now.since(income.measured_at) < INCOME_LIFETIME);
        let rate = self.rate.per_second().max(MIN_RATE);
        income.map_or(rate, |income| {
            let least = if self.is_contended(now) { 0.0 } else { rate * UNCONTENDED_SHARE };
            income.per_second.max(least)
        })
    }
}
