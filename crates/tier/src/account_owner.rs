//! Owners of the limits on client accounts, who hand out their tokens.
//!
//! An owner counts what the nodes report, and hands its counts over when another node becomes
//! the owner. A node that becomes the owner without them takes all tokens for used, and hands
//! out what comes in from then on.

use std::{collections::VecDeque, sync::Arc, time::Duration};

use carobstep_clock::BootTime;
use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

use crate::{
    account_quota::{GIVEN_TOLERANCE, OWNER_REPLY_TIMEOUT, QuotaTerms},
    shares::{ShareAsk, ShareGrant, ShareLedger, SharedSubject},
};

/// Part of the tolerance that the owner hands out while the requests of the last window are
/// not beyond it, since it learns of requests late.
const WITHIN_TOLERANCE: f64 = 0.25;

/// Part of the tolerance that earlier owners may have handed out before a node counts as a
/// new owner; reports may also overtake each other.
const EARLIER_TOLERANCE: f64 = 0.1;

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
    /// When the process started.
    started: BootTime,
}

#[derive(Clone, Debug)]
struct OwnedAccount {
    reporters: IndexMap<Arc<str>, AccountReporter>,
    is_short: bool,
    /// When all nodes were first and last told that tokens are short.
    noticed: Option<(BootTime, BootTime)>,
    /// When each node last said that it takes this one for the owner.
    supporters: IndexMap<Arc<str>, BootTime>,
    /// Whether an earlier owner may still hand out tokens to other nodes.
    is_disputed: bool,
    /// When all nodes last took this one for the owner after a takeover.
    confirmed_at: Option<BootTime>,
    /// When it is forgotten unless a node reports.
    kept_until: BootTime,
    /// Since when the nodes have reported all requests to this one.
    counted_since: BootTime,
    /// Since when this node knows of all requests.
    known_since: BootTime,
    /// The same without what other nodes have handed over.
    owned_since: BootTime,
    /// Requests that an earlier owner knew of.
    handed_over: RecentRequests,
    /// Node that shares out the limit now, and has what this one knew.
    successor: Option<Arc<str>>,
}

/// What an owner knows of an account, for the node that owns it from then on.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AccountHandover {
    /// Name of the account.
    pub account: Arc<str>,
    /// Tokens that are left, in thousandths; negative if more were used.
    pub millitokens: i64,
    /// Requests of the last window: how long ago, and how many.
    pub recent: Vec<(Duration, u32)>,
    /// Time for which the sender has known of all requests.
    pub known_for: Duration,
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

    /// Returns the requests of the window that ends now, by their ages.
    fn ages(&mut self, now: BootTime, window: Duration) -> Vec<(Duration, u32)> {
        self.count(now, window);
        self.counts.iter().map(|(at, requests)| (now.since(*at), *requests)).collect()
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

impl OwnedAccounts {
    /// Creates the accounts of a process that has just started.
    #[must_use]
    pub fn new(started: BootTime) -> Self {
        Self { accounts: IndexMap::new(), started }
    }

    /// Answers a node, which may be this one. `nodes` is the number of registered nodes, and
    /// `known_since` the time since which this one knows of all requests.
    pub fn answer(
        &mut self,
        now: BootTime,
        ledger: &mut ShareLedger,
        terms: &QuotaTerms,
        (name, node, nodes): (&Arc<str>, &Arc<str>, u32),
        (ask, known_since): (&ShareAsk, BootTime),
    ) -> ShareGrant {
        let started = self.started;
        let account = self.get_or_insert(now, name, known_since);
        account.check_takeover(now, known_since);
        account.kept_until = now + terms.window + SUPPORT_TIME;
        account.reporters.retain(|_, it| now.since(it.seen_at) < terms.window + SUPPORT_TIME);
        account.record(now, node, terms, ask);
        if account.is_taken_over(now, terms) {
            account.is_disputed = true;
            account.supporters.clear();
            account.counted_since = now;
            account.known_since = now;
        }
        let shared = terms.terms_since(now, account.known_since, started);
        let share = account.share(now, nodes, terms);
        let earlier = account.count_earlier(now, nodes, terms);
        if share >= 1.0 && account.is_disputed {
            account.is_disputed = false;
            account.confirmed_at = Some(now);
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

    /// Returns what this node knows of an account that another node owns now; from then on,
    /// its answers are up to that node. `None` if it knows nothing.
    pub fn hand_over(
        &mut self,
        now: BootTime,
        ledger: &mut ShareLedger,
        terms: &QuotaTerms,
        (name, successor): (&Arc<str>, &Arc<str>),
    ) -> Option<AccountHandover> {
        let started = self.started;
        let account = self.accounts.get_mut(name).filter(|it| it.successor.is_none())?;
        account.successor = Some(successor.clone());
        let shared = terms.terms_since(now, account.known_since, started);
        let subject = SharedSubject::Account(name.clone());
        let tokens = ledger.tokens(now, &subject, shared, 1.0);
        ledger.forget(&subject);
        let mut recent = account.handed_over.ages(now, terms.window);
        for reporter in account.reporters.values_mut() {
            recent.extend(reporter.known.ages(now, terms.window));
        }
        Some(AccountHandover {
            account: name.clone(),
            millitokens: (tokens * 1000.0) as i64,
            recent,
            known_for: now.since(account.known_since),
        })
    }

    /// Returns the node that an account was handed over to.
    #[must_use]
    pub fn successor(&self, name: &str) -> Option<&Arc<str>> {
        self.accounts.get(name)?.successor.as_ref()
    }

    /// Forgets an account that could not be handed over: its owner is to find out anew.
    pub fn forget(&mut self, name: &str) {
        self.accounts.swap_remove(name);
    }

    /// Applies what an earlier owner knew of an account that this node owns now.
    pub fn take_over(
        &mut self,
        now: BootTime,
        ledger: &mut ShareLedger,
        terms: &QuotaTerms,
        (handover, known_since): (&AccountHandover, BootTime),
    ) {
        let (name, started) = (&handover.account, self.started);
        let account = self.get_or_insert(now, name, known_since);
        account.kept_until = now + terms.window + SUPPORT_TIME;
        account.check_takeover(now, known_since);
        account.is_disputed = false;
        account.confirmed_at = Some(now);
        account.successor = None;
        // The sender takes all tokens for used that were there before it knew of the requests.
        let mut used_here = 0.0;
        for reporter in account.reporters.values_mut() {
            let recent = reporter.known.ages(now, terms.window);
            let since = recent.iter().filter(|(age, _)| *age < handover.known_for);
            used_here += since.map(|(_, requests)| f64::from(*requests)).sum::<f64>();
        }
        account.handed_over = RecentRequests::default();
        let mut recent = handover.recent.clone();
        recent.sort_unstable_by_key(|(age, _)| std::cmp::Reverse(*age));
        for (age, requests) in recent {
            account.handed_over.add(now - age, requests);
        }
        account.known_since = now - handover.known_for;
        let shared = terms.terms_since(now, account.known_since, started);
        let tokens = handover.millitokens as f64 / 1000.0 - used_here;
        ledger.set_tokens(now, &SharedSubject::Account(name.clone()), shared, tokens);
    }

    /// Returns whether no node has reported requests lately.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.accounts.is_empty()
    }

    /// Returns whether nodes have reported requests of an account lately.
    #[must_use]
    pub fn knows(&self, name: &str) -> bool {
        self.accounts.contains_key(name)
    }

    /// Returns the accounts of which nodes have reported requests lately.
    pub fn names(&self) -> impl Iterator<Item = &Arc<str>> {
        self.accounts.keys()
    }

    fn get_or_insert(
        &mut self,
        now: BootTime,
        name: &Arc<str>,
        known_since: BootTime,
    ) -> &mut OwnedAccount {
        self.accounts.entry(name.clone()).or_insert_with(|| OwnedAccount {
            reporters: IndexMap::new(),
            is_short: false,
            noticed: None,
            supporters: IndexMap::new(),
            is_disputed: false,
            confirmed_at: None,
            kept_until: now,
            counted_since: now,
            known_since,
            owned_since: known_since,
            handed_over: RecentRequests::default(),
            successor: None,
        })
    }

    /// Returns the accounts of which all nodes have to be told now that tokens are short.
    /// Forgets those of which no node has reported requests for a window.
    pub fn due_notices(&mut self, now: BootTime) -> Vec<Arc<str>> {
        self.accounts.retain(|_, account| now < account.kept_until);
        let mut due = Vec::new();
        for (name, account) in &mut self.accounts {
            let is_due = account.noticed.is_none_or(|(_, last)| now.since(last) >= NOTICE_INTERVAL);
            if !account.is_short || !is_due || account.successor.is_some() {
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
    /// Takes all tokens for used if another owner was lost since the last call.
    fn check_takeover(&mut self, now: BootTime, owned_since: BootTime) {
        if owned_since > self.owned_since {
            self.owned_since = owned_since;
            self.known_since = owned_since;
            self.counted_since = now;
        }
    }

    /// Returns whether reports show that another node has owned the account lately: nodes
    /// have sent requests of which this one does not know.
    fn is_taken_over(&self, now: BootTime, terms: &QuotaTerms) -> bool {
        let is_confirmed = self.confirmed_at.is_some_and(|at| now.since(at) < terms.window);
        let is_pending = self.is_disputed || is_confirmed;
        !is_pending && self.earlier_requests(now) > terms.tolerance * EARLIER_TOLERANCE
    }

    /// Returns the share of the limit that this node hands out. The shares of all owners add
    /// up to the whole, or to what is tolerated beyond it.
    fn share(&mut self, now: BootTime, nodes: u32, terms: &QuotaTerms) -> f64 {
        if !self.is_disputed {
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
    fn count_earlier(&mut self, now: BootTime, nodes: u32, terms: &QuotaTerms) -> f64 {
        let handed_over = f64::from(self.handed_over.count(now, terms.window));
        let earlier = self.earlier_requests(now);
        if handed_over > 0.0 {
            // The earlier owner knew of those that the nodes have reported to it.
            return handed_over.max(earlier);
        }
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
        let is_counted = !self.is_disputed && now.since(self.counted_since) >= terms.window;
        let within = terms.within() + terms.tolerance * WITHIN_TOLERANCE;
        let most = terms.within() + terms.tolerance * GIVEN_TOLERANCE;
        let within = if is_counted { within * share - count } else { 0.0 };
        WindowRoom { within, most: most * share - count }
    }
}
