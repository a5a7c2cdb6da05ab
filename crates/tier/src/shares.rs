//! Limits that hold for the requests of all nodes together, shared out as tokens.
//!
//! Some node owns each limit and hands out its tokens, one for each request, to the nodes
//! that ask for them. The sum of the tokens stays within the limit however many nodes there
//! are and however uneven their load is. The same ledger serves all kinds of limits: those
//! that servers name, those of servers that are cold, those of client accounts, and the
//! retry budgets of services.

use std::{sync::Arc, time::Duration};

use carobstep_clock::BootTime;
use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

use crate::model::{RequestRate, ServerIncarnation};

/// Share of the available tokens that one request for tokens may get, so that the other
/// nodes get some as well.
const GRANT_SHARE: f64 = 0.5;

/// Time after which the owner forgets a limit for which no tokens are asked for, if it would
/// not start with more tokens than it has.
const BUCKET_LIFETIME: Duration = Duration::from_secs(10);

/// Least time of [`ShareTerms::saved`], for which zero has another meaning.
pub(crate) const MIN_SAVED: Duration = Duration::from_nanos(1);

/// What a limit that all nodes share is a limit on. Nodes exchange it: variants are only
/// appended.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum SharedSubject {
    /// Requests to a server that names a limit in its responses.
    Server(ServerIncarnation),
    /// Requests to a server that is cold.
    ColdServer(ServerIncarnation),
    /// Requests of the client account with this name.
    Account(Arc<str>),
    /// Extra requests (retries and hedges) to the service with this name.
    ExtraRequests(Arc<str>),
}

/// How the tokens of a limit come in at their owner.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ShareTerms {
    /// Tokens per second.
    pub per_second: f64,
    /// Maximum number of tokens that add up while none are asked for; at least one.
    pub depth: f64,
    /// Time for which tokens may have added up: that for which the owner has known of all
    /// requests. Zero if tokens add up from the first request for them on.
    pub saved: Duration,
}

impl ShareTerms {
    /// Returns the tokens that an owner of a share of the limit may have at hand at most.
    pub(crate) fn most(&self, share: f64) -> f64 {
        let depth = (self.depth * share).max(1.0);
        if self.saved.is_zero() {
            return depth;
        }
        (self.per_second * share * self.saved.as_secs_f64()).min(depth)
    }
}

/// Tokens that this node hands out as the owner of limits.
#[derive(Clone, Debug, Default)]
pub struct ShareLedger {
    buckets: IndexMap<SharedSubject, ShareBucket>,
}

#[derive(Clone, Copy, Debug)]
struct ShareBucket {
    tokens: f64,
    refilled_at: BootTime,
    per_second: f64,
    /// Most tokens that a new bucket has.
    initial: f64,
}

impl ShareBucket {
    fn is_forgettable(&self, now: BootTime) -> bool {
        let age = now.since(self.refilled_at);
        let tokens = self.tokens + self.per_second * age.as_secs_f64();
        age >= BUCKET_LIFETIME && tokens >= self.initial
    }
}

impl ShareLedger {
    /// Returns how many of the tokens that a node asks for it gets. `share` is the share of
    /// the limit that this node hands out.
    pub fn grant(
        &mut self,
        now: BootTime,
        subject: &SharedSubject,
        terms: ShareTerms,
        share: f64,
        asked: u32,
    ) -> u32 {
        let bucket = self.refill(now, subject, terms, share);
        let available = (bucket.tokens * GRANT_SHARE).ceil().min(bucket.tokens.floor());
        let granted = available.clamp(0.0, f64::from(asked));
        bucket.tokens -= granted;
        granted as u32
    }

    /// Records requests that were sent without tokens; the tokens may become negative.
    pub fn charge(
        &mut self,
        now: BootTime,
        subject: &SharedSubject,
        terms: ShareTerms,
        share: f64,
        used: u32,
    ) {
        self.refill(now, subject, terms, share).tokens -= f64::from(used);
    }

    /// Replaces the tokens at hand by those that an earlier owner had left.
    pub fn set_tokens(
        &mut self,
        now: BootTime,
        subject: &SharedSubject,
        terms: ShareTerms,
        tokens: f64,
    ) {
        let most = terms.most(1.0);
        self.refill(now, subject, terms, 1.0).tokens = tokens.min(most);
    }

    /// Forgets a limit that another node shares out from now on.
    pub fn forget(&mut self, subject: &SharedSubject) {
        self.buckets.swap_remove(subject);
    }

    /// Returns the number of tokens at hand; negative if more were used.
    pub fn tokens(
        &mut self,
        now: BootTime,
        subject: &SharedSubject,
        terms: ShareTerms,
        share: f64,
    ) -> f64 {
        self.refill(now, subject, terms, share).tokens
    }

    fn refill(
        &mut self,
        now: BootTime,
        subject: &SharedSubject,
        terms: ShareTerms,
        share: f64,
    ) -> &mut ShareBucket {
        if !self.buckets.contains_key(subject) {
            self.buckets.retain(|_, bucket| !bucket.is_forgettable(now));
        }
        let per_second = terms.per_second * share;
        let most = terms.most(share);
        let initial = if terms.saved.is_zero() { 0.0 } else { most };
        let new = ShareBucket { tokens: initial, refilled_at: now, per_second, initial };
        let bucket = self.buckets.entry(subject.clone()).or_insert(new);
        let income = per_second * now.since(bucket.refilled_at).as_secs_f64();
        bucket.tokens = (bucket.tokens + income).min(most);
        *bucket = ShareBucket { tokens: bucket.tokens, ..new };
        bucket
    }

    /// Returns the number of limits for which tokens were asked for recently.
    #[must_use]
    pub fn len(&self) -> usize {
        self.buckets.len()
    }

    /// Returns whether no tokens were asked for recently.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.buckets.is_empty()
    }
}

/// Request for tokens, and report of requests that were sent without any.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ShareAsk {
    /// The limit.
    pub subject: SharedSubject,
    /// Number of tokens that are asked for.
    pub tokens: u32,
    /// Requests that the node has sent without tokens since its last report.
    pub used: u32,
    /// Requests that the node has sent in the last window of the limit, with and without
    /// tokens; a new owner starts from their sum.
    pub recent: u32,
}

/// Reply to a [`ShareAsk`].
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ShareGrant {
    /// Tokens that the node may use.
    pub tokens: u32,
    /// Tokens that are left at the owner, in thousandths of the most that add up.
    pub level: u16,
    /// Whether the owner knows the limit.
    pub is_known: bool,
}

impl ShareGrant {
    /// Returns the grant with at most the tokens that were asked for: another node sent it.
    #[must_use]
    pub fn within(self, ask: &ShareAsk) -> Self {
        Self { tokens: self.tokens.min(ask.tokens), ..self }
    }
}

/// Retry budget of the services that nodes of one availability zone share by demand.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ExtraPool {
    /// Extra requests per second.
    pub rate: RequestRate,
    /// Maximum number of extra requests that add up.
    pub depth: f64,
}
