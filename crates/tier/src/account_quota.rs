//! Limits on the requests of client accounts, over all nodes together.
//!
//! Answers the load of many small accounts, and of one that sends many times its usual on
//! all nodes at once. A node admits requests at once and reports them to the account's
//! owner. When the owner runs short of tokens it tells all nodes, which from then on ask
//! for a token before they admit a request. What is admitted until they know comes out of
//! the tolerance of the limit, and is paid back.

use std::{collections::VecDeque, time::Duration};

use carobstep_clock::BootTime;
use slotmap::SecondaryMap;

use crate::{
    accounts::AccountKey,
    model::{AccountQuota, QuotaBounds},
    shares::{MIN_SAVED, ShareGrant, ShareTerms},
};

/// Part of the tolerance that the owner hands out beyond the burst.
pub(crate) const GIVEN_TOLERANCE: f64 = 0.5;

/// Part of the tolerance below which an owner's tokens are short.
const SHORT_TOLERANCE: f64 = 0.25;

/// Part of the tolerance that the owner must have left for requests to be admitted ahead of
/// its reply.
const AHEAD_TOLERANCE: f64 = 0.3;

/// Part of the tolerance that a node may hand out at once when it takes over from an owner of
/// which it knows nothing.
const TAKEOVER_TOLERANCE: f64 = 0.1;

/// Time for which a node asks before it admits, after the last word that tokens are short.
const SHORT_TIME: Duration = Duration::from_millis(1_000);

/// Time without an answer of any owner after which a node no longer admits at once.
const DOUBT_TIME: Duration = Duration::from_millis(200);

/// Longest time for which a refusal holds for the account's next requests to the node.
const MAX_REFUSAL_HOLD: Duration = Duration::from_millis(20);

/// Time for which the token of a request that no server ran may be used by another one.
const CREDIT_TIME: Duration = Duration::from_millis(1_000);

/// Longest wait of a request for a token.
pub const TOKEN_WAIT: Duration = Duration::from_millis(100);

/// Timeout of a call to the owner of an account.
pub const OWNER_REPLY_TIMEOUT: Duration = Duration::from_millis(600);

/// Limit of an account, and what is tolerated beyond it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct QuotaTerms {
    per_second: f64,
    burst: f64,
    pub(crate) tolerance: f64,
    pub(crate) window: Duration,
}

impl QuotaTerms {
    /// Combines the limit of an account with the tolerance of all limits.
    #[must_use]
    pub fn new(quota: AccountQuota, bounds: QuotaBounds) -> Self {
        let (per_second, burst) = (quota.rate.per_second(), f64::from(quota.burst));
        let within = per_second * bounds.window.as_secs_f64() + burst;
        let tolerance = within * bounds.over + bounds.slack;
        Self { per_second, burst, tolerance, window: bounds.window }
    }

    /// Returns how the tokens of the limit come in at an owner that has known of all requests
    /// for a long time.
    #[must_use]
    pub fn share_terms(&self) -> ShareTerms {
        let depth = (self.burst + self.tolerance * GIVEN_TOLERANCE).max(1.0);
        ShareTerms { per_second: self.per_second, depth, saved: self.income_time(depth) }
    }

    /// Returns how they come in at an owner that has known of all requests since `known_since`:
    /// before, all tokens may have been used. Requests before a window no longer count.
    /// A process that has been running before it became the owner hands out some at once.
    pub(crate) fn terms_since(
        &self,
        now: BootTime,
        known_since: BootTime,
        started: BootTime,
    ) -> ShareTerms {
        let known_for = now.since(known_since);
        if known_for >= self.window {
            return self.share_terms();
        }
        let ahead = if known_since > started { self.tolerance * TAKEOVER_TOLERANCE } else { 0.0 };
        let saved = known_for.saturating_add(self.income_time(ahead));
        ShareTerms { saved: saved.max(MIN_SAVED), ..self.share_terms() }
    }

    /// Returns the tokens that have come in since the start of a process.
    fn tokens_since(&self, now: BootTime, started: BootTime) -> f64 {
        self.terms_since(now, started, started).most(1.0)
    }

    fn income_time(&self, tokens: f64) -> Duration {
        let time = Duration::try_from_secs_f64(tokens / self.per_second.max(1e-6));
        time.unwrap_or(Duration::MAX)
    }

    pub(crate) fn is_short(&self, tokens: f64) -> bool {
        tokens < self.tolerance * SHORT_TOLERANCE
    }

    pub(crate) fn per_window(&self) -> f64 {
        self.per_second * self.window.as_secs_f64()
    }

    /// Returns the requests of any window that are within the limit.
    pub(crate) fn within(&self) -> f64 {
        self.per_window() + self.burst
    }

    /// Returns the time after which a token has come in.
    fn token_time(&self) -> Duration {
        Duration::try_from_secs_f64(1.0 / self.per_second.max(1e-3)).unwrap_or(self.window)
    }
}

/// On whose word a request of an account is admitted.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display, strum::IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum AdmissionSource {
    /// Nobody's: the owner is told afterwards.
    AtOnce,
    /// The owner's.
    Token,
    /// The owner's for an earlier request that did not use it.
    KeptToken,
    /// Nobody's: the owner has not replied in time.
    AheadOfReply,
    /// Nobody's: no owner replies.
    EqualShare,
}

/// What to do with a request of an account.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AccountDecision {
    /// It is admitted, and counted.
    Admit(AdmissionSource),
    /// The owner has to be asked for a token first.
    Ask,
    /// It is refused; a token is expected after this time.
    Refuse(Duration),
}

/// Reply of an owner to a request for a token.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum OwnerReply {
    /// The owner replied.
    Granted(ShareGrant),
    /// It has not replied in time, and may do so later.
    Late {
        /// Number of registered nodes, whether this one can reach them or not.
        nodes: u32,
    },
    /// It did not, or does not know the limit; `nodes` is the number of registered nodes.
    Lost {
        /// Number of registered nodes, whether this one can reach them or not.
        nodes: u32,
    },
}

/// Requests of the accounts that this node has admitted.
#[derive(Clone, Debug, Default)]
pub struct AccountUses {
    uses: SecondaryMap<AccountKey, AccountUse>,
    /// When the process started, which knows of no requests before.
    started: BootTime,
}

#[derive(Clone, Debug, Default)]
struct AccountUse {
    /// When the requests of the last window were admitted, the oldest first.
    admitted: VecDeque<BootTime>,
    /// Requests admitted without a token that no owner knows of.
    unreported: u32,
    short_until: Option<BootTime>,
    refused_until: Option<BootTime>,
    /// Whether a request was admitted for which the owner's reply is still to come.
    is_indebted: bool,
    /// Whether the owner had hardly any tokens left at its last reply, or there was none.
    is_denied: bool,
    /// Tokens of requests that no server ran, and when they expire.
    credits: VecDeque<BootTime>,
    /// Since when no owner has answered.
    lost_since: Option<BootTime>,
    /// This node's equal share of the limit while no owner answers.
    equal_share: Option<EqualShare>,
    /// Tokens that the owner had left at its last reply.
    last_level: Option<(BootTime, f64)>,
}

#[derive(Clone, Copy, Debug)]
struct TokenBucket {
    tokens: f64,
    refilled_at: BootTime,
}

/// This node's equal share of a limit, and since when it is used.
#[derive(Clone, Copy, Debug)]
struct EqualShare {
    bucket: TokenBucket,
    begun_at: BootTime,
}

impl TokenBucket {
    /// Adds the tokens of a share of the limit that have come in.
    fn refill(&mut self, now: BootTime, terms: ShareTerms, share: f64) {
        let income = now.since(self.refilled_at).as_secs_f64() * terms.per_second * share;
        self.tokens = (self.tokens + income).min((terms.depth * share).max(1.0));
        self.refilled_at = now;
    }
}

impl AccountUse {
    fn trim(&mut self, now: BootTime, window: Duration) {
        while self.admitted.front().is_some_and(|at| now.since(*at) >= window) {
            self.admitted.pop_front();
        }
        while self.credits.front().is_some_and(|until| now >= *until) {
            self.credits.pop_front();
        }
    }

    /// Admits a request ahead of the owner's reply, out of the tolerance: one at a time,
    /// within an equal share, and none if hardly any tokens are left.
    fn owe(&mut self, terms: &QuotaTerms, nodes: u32) -> bool {
        let share = (terms.within() + terms.tolerance) / f64::from(nodes.max(1));
        let is_within = (self.admitted.len() as f64) < share.max(1.0);
        let is_admitted = is_within && !self.is_indebted && !self.is_denied;
        self.is_indebted |= is_admitted;
        is_admitted
    }

    /// Takes a token from this node's equal share of the limit, which begins with its share of
    /// the tokens that the owner had left.
    fn take_equal_share(
        &mut self,
        now: BootTime,
        terms: &QuotaTerms,
        nodes: u32,
        started: BootTime,
    ) -> bool {
        let part = 1.0 / f64::from(nodes.max(1));
        let recent = self.last_level.filter(|(at, _)| now.since(*at) < terms.window);
        // Without a word of the owner, tokens were not short, unless it was told to an earlier
        // process.
        let left = recent.map_or_else(|| terms.tokens_since(now, started), |(_, level)| level);
        let bucket = TokenBucket { tokens: left * part, refilled_at: now };
        let share = self.equal_share.get_or_insert(EqualShare { bucket, begun_at: now });
        let bucket = &mut share.bucket;
        bucket.refill(now, terms.share_terms(), part);
        let is_admitted = bucket.tokens >= 1.0;
        if is_admitted {
            bucket.tokens -= 1.0;
        }
        is_admitted
    }
}

impl AccountUses {
    /// Creates the uses of a process that has just started.
    #[must_use]
    pub fn new(started: BootTime) -> Self {
        Self { uses: SecondaryMap::new(), started }
    }

    /// Decides about a request, before anything is known of its body.
    pub fn decide(
        &mut self,
        now: BootTime,
        account: AccountKey,
        terms: &QuotaTerms,
    ) -> AccountDecision {
        let Some(entry) = self.uses.entry(account) else {
            // The account is gone; its requests are refused by their key.
            return AccountDecision::Refuse(terms.token_time());
        };
        let account = entry.or_default();
        account.trim(now, terms.window);
        if account.credits.pop_front().is_some() {
            account.admitted.push_back(now);
            return AccountDecision::Admit(AdmissionSource::KeptToken);
        }
        if let Some(until) = account.refused_until.filter(|until| now < *until) {
            return AccountDecision::Refuse(until.since(now).max(terms.token_time()));
        }
        let is_short = account.short_until.is_some_and(|until| now < until);
        let is_lost = account.lost_since.is_some_and(|since| now.since(since) >= DOUBT_TIME);
        // What a node must not pass on if it were alone.
        let most = terms.per_window() + terms.share_terms().depth;
        // A new process has not heard which accounts are short.
        let is_new = now.since(self.started) < terms.window;
        if is_short || is_lost || is_new || account.admitted.len() as f64 >= most {
            return AccountDecision::Ask;
        }
        account.admitted.push_back(now);
        account.unreported = account.unreported.saturating_add(1);
        AccountDecision::Admit(AdmissionSource::AtOnce)
    }

    /// Decides about a request for which the owner was asked for a token.
    pub fn decide_asked(
        &mut self,
        now: BootTime,
        account: AccountKey,
        terms: &QuotaTerms,
        reply: OwnerReply,
    ) -> AccountDecision {
        let started = self.started;
        let Some(account) = self.uses.get_mut(account) else {
            return AccountDecision::Refuse(terms.token_time());
        };
        let (is_admitted, source) = match reply {
            OwnerReply::Granted(grant) => (grant.tokens > 0, AdmissionSource::Token),
            OwnerReply::Late { nodes } => {
                (account.owe(terms, nodes), AdmissionSource::AheadOfReply)
            }
            OwnerReply::Lost { nodes } => {
                let is_admitted = account.take_equal_share(now, terms, nodes, started);
                (is_admitted, AdmissionSource::EqualShare)
            }
        };
        if is_admitted {
            account.admitted.push_back(now);
            return AccountDecision::Admit(source);
        }
        let wait = terms.token_time();
        account.refused_until = Some(now + wait.min(MAX_REFUSAL_HOLD));
        AccountDecision::Refuse(wait)
    }

    /// Returns the token of a request that no server has run.
    pub fn refund(&mut self, now: BootTime, account: AccountKey) {
        let Some(account) = self.uses.get_mut(account) else { return };
        account.admitted.pop_back();
        match account.unreported.checked_sub(1) {
            Some(rest) => account.unreported = rest,
            None => account.credits.push_back(now + CREDIT_TIME),
        }
    }

    /// Applies a reply that came after its request was decided. Its tokens cover a request
    /// that was admitted ahead of it, and the next ones; such a request is reported to the
    /// owner if there are none.
    pub fn keep_late(&mut self, now: BootTime, account: AccountKey, tokens: u32) {
        let Some(account) = self.uses.get_mut(account) else { return };
        let mut tokens = tokens;
        if std::mem::take(&mut account.is_indebted) {
            match tokens.checked_sub(1) {
                Some(rest) => tokens = rest,
                None => account.unreported = account.unreported.saturating_add(1),
            }
        }
        for _ in 0..tokens {
            account.credits.push_back(now + CREDIT_TIME);
        }
    }

    /// Returns the requests that no owner knows of, which count as reported from now on, and
    /// all those of the last window.
    pub fn report(
        &mut self,
        now: BootTime,
        account: AccountKey,
        terms: &QuotaTerms,
    ) -> Option<(u32, u32)> {
        let account = self.uses.get_mut(account)?;
        account.trim(now, terms.window);
        let used = std::mem::take(&mut account.unreported);
        Some((used, u32::try_from(account.admitted.len()).unwrap_or(u32::MAX)))
    }

    /// Returns whether there are requests that no owner knows of.
    #[must_use]
    pub fn has_unreported(&self, account: AccountKey) -> bool {
        self.uses.get(account).is_some_and(|account| account.unreported > 0)
    }

    /// Records that an owner has answered a report.
    pub fn on_answered(
        &mut self,
        now: BootTime,
        account: AccountKey,
        terms: &QuotaTerms,
        grant: ShareGrant,
    ) {
        let Some(account) = self.uses.get_mut(account) else { return };
        account.lost_since = None;
        // Answers between lost ones must not renew the share.
        let is_recent = |share: &EqualShare| now.since(share.begun_at) < terms.window;
        account.equal_share = account.equal_share.filter(is_recent);
        let tokens = f64::from(grant.level) / 1000.0 * terms.share_terms().depth;
        if grant.is_known {
            account.last_level = Some((now, tokens));
        }
        account.is_denied = grant.is_known && tokens < terms.tolerance * AHEAD_TOLERANCE;
        if grant.is_known && terms.is_short(tokens) {
            account.short_until = Some(now + SHORT_TIME);
        }
    }

    /// Records that a report of `used` requests got no answer.
    pub fn on_lost(&mut self, now: BootTime, account: AccountKey, used: u32) {
        let Some(account) = self.uses.get_mut(account) else { return };
        account.unreported = account.unreported.saturating_add(used);
        account.lost_since = account.lost_since.or(Some(now));
        account.is_denied = true;
    }

    /// Records the word of an owner that an account's tokens are short.
    pub fn on_short(&mut self, now: BootTime, account: AccountKey) {
        if let Some(entry) = self.uses.entry(account) {
            entry.or_default().short_until = Some(now + SHORT_TIME);
        }
    }

    /// Returns the number of accounts whose requests need a token.
    #[must_use]
    pub fn short_accounts(&self, now: BootTime) -> usize {
        let is_short = |account: &&AccountUse| account.short_until.is_some_and(|it| now < it);
        self.uses.values().filter(is_short).count()
    }
}
