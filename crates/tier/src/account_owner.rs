//! Owners of the limits on client accounts, who hand out their tokens.
//!
//! An owner counts what the nodes report. A node that becomes the owner after another one
//! hands out only what that one can't have handed out, until all nodes take it for the owner.

use std::{collections::VecDeque, sync::Arc, time::Duration};

use carobstep_clock::BootTime;
use indexmap::IndexMap;

use crate::{
    account_quota::{GIVEN_TOLERANCE, OWNER_REPLY_TIMEOUT, QuotaTerms},
    shares::{ShareAsk, ShareGrant, ShareLedger},
};

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

/// Interval at which an owner tells all nodes that an account's tokens are short.
const NOTICE_INTERVAL: Duration = Duration::from_millis(400);

/// Time after which a node that answered such a word no longer counts as a supporter.
const SUPPORT_TIME: Duration = Duration::from_millis(1_300);

/// Time for which an owner hands out everything before the first answers are due.
const FIRST_ANSWERS_TIME: Duration = Duration::from_millis(400);

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
