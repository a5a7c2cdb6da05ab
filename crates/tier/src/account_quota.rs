//! Limits on the requests of client accounts, over all nodes together.
//!
//! Answers the load of many small accounts, and of one that sends many times its usual on
//! all nodes at once. A node admits requests at once and reports them to the account's
//! owner. When the owner runs short of tokens it tells all nodes, which from then on ask
//! for a token before they admit a request. What is admitted until they know comes out of
//! the tolerance of the limit, and is paid back.

use std::{collections::VecDeque, sync::Arc, time::Duration};

use carobstep_clock::BootTime;
use indexmap::IndexMap;
use slotmap::SecondaryMap;

use crate::{
    accounts::AccountKey,
    model::{AccountQuota, QuotaBounds},
    shares::{ShareAsk, ShareGrant, ShareLedger, ShareTerms},
};

/// Part of the tolerance that the owner hands out beyond the burst.
const GIVEN_TOLERANCE: f64 = 0.5;

/// Part of the tolerance that the owner hands out while the requests of the last window are
/// not beyond it, since it learns of requests late.
const WITHIN_TOLERANCE: f64 = 0.25;

/// Part of the tolerance that earlier owners may have handed out before a node counts as a
/// new owner; reports may also overtake each other.
const EARLIER_TOLERANCE: f64 = 0.1;

/// Part of what comes in during a window up to which an account's requests are usual.
const MAX_USUAL_USE: f64 = 0.75;

/// Time after which most nodes with requests have reported to a new owner.
const FIRST_REPORTS_TIME: Duration = Duration::from_millis(1_000);

/// Part of the tolerance below which an owner's tokens are short.
const SHORT_TOLERANCE: f64 = 0.25;

/// Part of the tolerance that the owner must have left for requests to be admitted ahead of
/// its reply.
const AHEAD_TOLERANCE: f64 = 0.3;

/// Time for which a node asks before it admits, after the last word that tokens are short.
const SHORT_TIME: Duration = Duration::from_millis(1_000);

/// Interval at which an owner tells all nodes that an account's tokens are short.
const NOTICE_INTERVAL: Duration = Duration::from_millis(400);

/// Time after which a node that answered such a word no longer counts as a supporter.
const SUPPORT_TIME: Duration = Duration::from_millis(1_300);

/// Time for which an owner hands out everything before the first answers are due.
const FIRST_ANSWERS_TIME: Duration = Duration::from_millis(400);

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
    tolerance: f64,
    window: Duration,
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

    /// Returns how the tokens of the limit come in at its owner.
    #[must_use]
    pub fn share_terms(&self) -> ShareTerms {
        let depth = (self.burst + self.tolerance * GIVEN_TOLERANCE).max(1.0);
        let saved = Duration::try_from_secs_f64(depth / self.per_second.max(1e-6));
        let saved = saved.unwrap_or(Duration::MAX);
        ShareTerms { per_second: self.per_second, depth, saved }
    }

    fn is_short(&self, tokens: f64) -> bool {
        tokens < self.tolerance * SHORT_TOLERANCE
    }

    fn per_window(&self) -> f64 {
        self.per_second * self.window.as_secs_f64()
    }

    /// Returns the requests of any window that are within the limit.
    fn within(&self) -> f64 {
        self.per_window() + self.burst
    }

    /// Returns the time after which a token has come in.
    fn token_time(&self) -> Duration {
        Duration::try_from_secs_f64(1.0 / self.per_second.max(1e-3)).unwrap_or(self.window)
    }
}

/// What to do with a request of an account.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AccountDecision {
    /// It is admitted, and counted.
    Admit,
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

    /// Takes a token from this node's equal share of the limit.
    fn take_equal_share(&mut self, now: BootTime, terms: &QuotaTerms, nodes: u32) -> bool {
        let (part, terms) = (1.0 / f64::from(nodes.max(1)), terms.share_terms());
        let full = TokenBucket { tokens: terms.depth * part, refilled_at: now };
        let share = self.equal_share.get_or_insert(EqualShare { bucket: full, begun_at: now });
        let bucket = &mut share.bucket;
        bucket.refill(now, terms, part);
        let is_admitted = bucket.tokens >= 1.0;
        if is_admitted {
            bucket.tokens -= 1.0;
        }
        is_admitted
    }
}

impl AccountUses {
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
            return AccountDecision::Admit;
        }
        if let Some(until) = account.refused_until.filter(|until| now < *until) {
            return AccountDecision::Refuse(until.since(now).max(terms.token_time()));
        }
        let is_short = account.short_until.is_some_and(|until| now < until);
        let is_lost = account.lost_since.is_some_and(|since| now.since(since) >= DOUBT_TIME);
        // What a node must not pass on if it were alone.
        let most = terms.per_window() + terms.share_terms().depth;
        if is_short || is_lost || account.admitted.len() as f64 >= most {
            return AccountDecision::Ask;
        }
        account.admitted.push_back(now);
        account.unreported = account.unreported.saturating_add(1);
        AccountDecision::Admit
    }

    /// Decides about a request for which the owner was asked for a token.
    pub fn decide_asked(
        &mut self,
        now: BootTime,
        account: AccountKey,
        terms: &QuotaTerms,
        reply: OwnerReply,
    ) -> AccountDecision {
        let Some(account) = self.uses.get_mut(account) else {
            return AccountDecision::Refuse(terms.token_time());
        };
        let is_admitted = match reply {
            OwnerReply::Granted(grant) => grant.tokens > 0,
            OwnerReply::Late { nodes } => account.owe(terms, nodes),
            OwnerReply::Lost { nodes } => account.take_equal_share(now, terms, nodes),
        };
        if is_admitted {
            account.admitted.push_back(now);
            return AccountDecision::Admit;
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

/// Accounts whose limits this node shares out.
#[derive(Clone, Debug, Default)]
pub struct OwnedAccounts {
    accounts: IndexMap<Arc<str>, OwnedAccount>,
}

#[derive(Clone, Debug)]
struct OwnedAccount {
    reporters: IndexMap<Arc<str>, AccountReporter>,
    is_short: bool,
    /// When all nodes were first and last told that tokens are short.
    noticed: Option<(BootTime, BootTime)>,
    /// When each node last said that it takes this one for the owner.
    supporters: IndexMap<Arc<str>, BootTime>,
    takeover: Option<Takeover>,
    /// When all nodes last took this one for the owner after a takeover.
    confirmed_at: Option<BootTime>,
    /// When it is forgotten unless a node reports.
    kept_until: BootTime,
    /// Since when this node knows of all requests.
    counted_since: BootTime,
}

/// Room for requests in the last window of a limit.
#[derive(Clone, Copy, Debug)]
struct WindowRoom {
    /// Requests that are within the limit, as far as this node knows of all.
    within: f64,
    /// Requests that the owner hands out at most.
    most: f64,
}

/// A node that has reported requests to the owner of an account.
#[derive(Clone, Debug)]
struct AccountReporter {
    seen_at: BootTime,
    known: RecentRequests,
    /// The same with those of the time before that replies may take.
    settled: RecentRequests,
    /// Requests that the node has reported to an earlier owner, and until when they count.
    earlier: u32,
    earlier_until: BootTime,
}

/// Requests of the last window.
#[derive(Clone, Debug, Default)]
struct RecentRequests {
    counts: VecDeque<(BootTime, u32)>,
    sum: u32,
}

impl RecentRequests {
    fn add(&mut self, now: BootTime, requests: u32) {
        if requests > 0 {
            self.counts.push_back((now, requests));
            self.sum = self.sum.saturating_add(requests);
        }
    }

    /// Returns the number of requests in the window that ends now.
    fn count(&mut self, now: BootTime, window: Duration) -> u32 {
        while let Some((_, requests)) = self.counts.pop_front_if(|(at, _)| now.since(*at) >= window)
        {
            self.sum = self.sum.saturating_sub(requests);
        }
        self.sum
    }
}

/// State of an account whose earlier owner may still hand out tokens to other nodes.
#[derive(Clone, Copy, Debug)]
struct Takeover {
    /// Tokens that are handed out only if all nodes take this one for the owner.
    withheld: u32,
}

impl OwnedAccounts {
    /// Answers a node, which may be this one. `nodes` is the number of registered nodes.
    pub fn answer(
        &mut self,
        now: BootTime,
        ledger: &mut ShareLedger,
        terms: &QuotaTerms,
        (name, node, nodes): (&Arc<str>, &Arc<str>, u32),
        ask: &ShareAsk,
    ) -> ShareGrant {
        let new = OwnedAccount {
            reporters: IndexMap::new(),
            is_short: false,
            noticed: None,
            supporters: IndexMap::new(),
            takeover: None,
            confirmed_at: None,
            kept_until: now,
            counted_since: now,
        };
        let account = self.accounts.entry(name.clone()).or_insert(new);
        account.kept_until = now + terms.window + SUPPORT_TIME;
        let shared = terms.share_terms();
        account.reporters.retain(|_, it| now.since(it.seen_at) < terms.window + SUPPORT_TIME);
        account.record(now, node, terms, ask);
        if account.is_taken_over(now, terms) {
            let withheld = (shared.depth * (1.0 - 1.0 / f64::from(nodes.max(1)))) as u32;
            account.takeover = Some(Takeover { withheld });
            account.supporters.clear();
            account.counted_since = now;
            ledger.charge(now, &ask.subject, shared, 1.0, withheld);
        }
        let share = account.share(now, nodes, terms);
        let earlier = account.count_earlier(now, nodes);
        let is_clear = earlier <= terms.per_window() * MAX_USUAL_USE
            || now.since(account.counted_since) >= FIRST_REPORTS_TIME;
        if share >= 1.0
            && is_clear
            && let Some(takeover) = account.takeover.take()
        {
            account.confirmed_at = Some(now);
            ledger.credit(now, &ask.subject, shared, takeover.withheld);
        }
        ledger.charge(now, &ask.subject, shared, share, ask.used);
        let room = account.room(now, earlier, terms, share);
        let capped = room.most.floor().clamp(0.0, f64::from(ask.tokens)) as u32;
        let saved = ledger.grant(now, &ask.subject, shared, share, capped);
        let tokens = room.within.floor().clamp(f64::from(saved), f64::from(capped)) as u32;
        ledger.charge(now, &ask.subject, shared, share, tokens - saved);
        if let Some(reporter) = account.reporters.get_mut(node) {
            reporter.known.add(now, tokens);
            reporter.settled.add(now, tokens);
        }
        let saved = ledger.tokens(now, &ask.subject, shared, share);
        let left = saved.min(room.most - f64::from(tokens)).max(room.within - f64::from(tokens));
        account.is_short = terms.is_short(left) || share < 1.0;
        let level = (left / shared.depth * 1000.0).clamp(0.0, 1000.0) as u16;
        ShareGrant { tokens, level, is_known: true }
    }

    /// Returns the accounts of which all nodes have to be told now that tokens are short.
    /// Forgets those of which no node has reported requests for a window.
    pub fn due_notices(&mut self, now: BootTime) -> Vec<Arc<str>> {
        self.accounts.retain(|_, account| now < account.kept_until);
        let mut due = Vec::new();
        for (name, account) in &mut self.accounts {
            let is_due = account.noticed.is_none_or(|(_, last)| now.since(last) >= NOTICE_INTERVAL);
            if !account.is_short || !is_due {
                continue;
            }
            let recent = account.noticed.filter(|(_, last)| now.since(*last) < SUPPORT_TIME);
            account.noticed = Some((recent.map_or(now, |(first, _)| first), now));
            due.push(name.clone());
        }
        due
    }

    /// Records that a node takes this one for the owner of an account.
    pub fn on_support(&mut self, now: BootTime, name: &str, node: &Arc<str>) {
        if let Some(account) = self.accounts.get_mut(name) {
            account.supporters.insert(node.clone(), now);
        }
    }
}

impl OwnedAccount {
    /// Returns whether reports show that another node has owned the account lately: nodes
    /// have sent requests of which this one does not know.
    fn is_taken_over(&self, now: BootTime, terms: &QuotaTerms) -> bool {
        let is_confirmed = self.confirmed_at.is_some_and(|at| now.since(at) < terms.window);
        let is_pending = self.takeover.is_some() || is_confirmed;
        !is_pending && self.earlier_requests(now) > terms.tolerance * EARLIER_TOLERANCE
    }

    /// Returns the share of the limit that this node hands out. The shares of all owners add
    /// up to the whole, or to what is tolerated beyond it.
    fn share(&mut self, now: BootTime, nodes: u32, terms: &QuotaTerms) -> f64 {
        if self.takeover.is_none() {
            let Some((first, last)) = self.noticed else { return 1.0 };
            if now.since(last) >= SUPPORT_TIME || now.since(first) < FIRST_ANSWERS_TIME {
                return 1.0;
            }
        }
        self.supporters.retain(|_, at| now.since(*at) < SUPPORT_TIME);
        let share = (self.supporters.len() + 1) as f64 / f64::from(nodes.max(1));
        let tolerated = terms.tolerance / terms.within().max(1.0);
        if share >= 1.0 - tolerated * GIVEN_TOLERANCE { 1.0 } else { share }
    }

    /// Counts the requests that a node reports.
    fn record(&mut self, now: BootTime, node: &Arc<str>, terms: &QuotaTerms, ask: &ShareAsk) {
        let new = AccountReporter {
            seen_at: now,
            known: RecentRequests::default(),
            settled: RecentRequests::default(),
            earlier: 0,
            earlier_until: now,
        };
        let reporter = self.reporters.entry(node.clone()).or_insert(new);
        reporter.seen_at = now;
        reporter.known.add(now, ask.used);
        reporter.settled.add(now, ask.used);
        let known = reporter.settled.count(now, terms.window + OWNER_REPLY_TIMEOUT);
        reporter.earlier = ask.recent.saturating_sub(known);
        reporter.earlier_until = now + terms.window;
    }

    /// Returns how many requests of the last window are known to have been reported to earlier
    /// owners.
    fn earlier_requests(&self, now: BootTime) -> f64 {
        let valid = self.reporters.values().filter(|reporter| now < reporter.earlier_until);
        valid.map(|reporter| f64::from(reporter.earlier)).sum()
    }

    /// Returns how many requests of the last window were reported to earlier owners.
    fn count_earlier(&self, now: BootTime, nodes: u32) -> f64 {
        let earlier = self.earlier_requests(now);
        if now.since(self.counted_since) >= FIRST_REPORTS_TIME {
            return earlier;
        }
        // The nodes that have not reported yet may have sent as many.
        earlier * f64::from(nodes) / (self.reporters.len() as f64).max(1.0)
    }

    /// Returns how many more requests the last window has room for.
    fn room(&mut self, now: BootTime, earlier: f64, terms: &QuotaTerms, share: f64) -> WindowRoom {
        let mut count = earlier;
        for reporter in self.reporters.values_mut() {
            count += f64::from(reporter.known.count(now, terms.window));
        }
        let is_counted = self.takeover.is_none() && now.since(self.counted_since) >= terms.window;
        let within = terms.within() + terms.tolerance * WITHIN_TOLERANCE;
        let most = terms.within() + terms.tolerance * GIVEN_TOLERANCE;
        let within = if is_counted { within * share - count } else { 0.0 };
        WindowRoom { within, most: most * share - count }
    }
}
