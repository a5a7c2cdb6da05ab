//! What a new owner of an account's limit hands out, by what it knows of the time before it.
//!
//! The load: an account asks for far more than its limit, and its owner is replaced meanwhile:
//! by a process that has just started, by a node that learns nothing of the owner before, or by
//! one that the owner before told what it knew.

use std::{sync::Arc, time::Duration};

use carobstep_clock::BootTime;
use carobstep_tier::{
    AccountQuota, OwnedAccounts, PeerEntry, PeerTable, QuotaBounds, QuotaTerms, RequestRate,
    ShareAsk, ShareLedger, SharedSubject, StoreRevision,
};

const WINDOW: Duration = Duration::from_secs(5);
const RATE: f64 = 20.0;
const BURST: u32 = 60;

/// Requests that a window may hold at most: (20 * 5 + 60) * 1.1 + 20.
const ALLOWED: u32 = 196;

const fn at(millis: u64) -> BootTime {
    BootTime::from_millis(1_000_000 + millis)
}

fn terms() -> QuotaTerms {
    let bounds = QuotaBounds { window: WINDOW, over: 0.1, slack: 20.0 };
    let rate = RequestRate::try_from(RATE).expect("a rate");
    QuotaTerms::new(AccountQuota { rate, burst: BURST }, bounds)
}

fn account() -> Arc<str> {
    Arc::from("one")
}

/// A node that may own the account.
#[derive(Default)]
struct Owner {
    owned: OwnedAccounts,
    ledger: ShareLedger,
    known_since: BootTime,
    /// Requests of the only node that asks.
    granted: Vec<BootTime>,
}

impl Owner {
    fn new(known_since: BootTime) -> Self {
        Self { known_since, ..Self::default() }
    }

    /// Asks for a token each 5 ms.
    fn flood(&mut self, from: u64, until: u64) -> u32 {
        let before = self.granted.len();
        for millis in (from..until).step_by(5) {
            let now = at(millis);
            let recent = self.granted.iter().filter(|it| now.since(**it) < WINDOW).count();
            let subject = SharedSubject::Account(account());
            let ask = ShareAsk { subject, tokens: 1, used: 0, recent: recent as u32 };
            let sender = (&account(), &Arc::from("node"), 1);
            let asked = (&ask, self.known_since);
            let grant = self.owned.answer(now, &mut self.ledger, &terms(), sender, asked);
            self.granted.extend((0..grant.tokens).map(|_| now));
        }
        (self.granted.len() - before) as u32
    }
}

/// Guards against a process that hands out a full burst although the one before it did so.
#[test]
fn a_process_that_has_just_started_hands_out_what_comes_in() {
    let used = Owner::new(at(0) - WINDOW).flood(0, 1_500);
    assert!(used >= 90, "{used} before the restart");
    let again = Owner::new(at(2_000)).flood(2_500, 5_000);
    assert!(used + again <= ALLOWED, "{used} and {again}");
    // What comes in in 3 s, and hardly more.
    assert!((60..=70).contains(&again), "{again}");
}

/// Guards against a first start of the deployment that costs an idle account its burst.
#[test]
fn an_account_that_was_idle_for_a_window_has_its_whole_burst() {
    let first = Owner::new(at(0)).flood(5_000, 5_500);
    assert!(first >= BURST, "{first}");
}

/// Guards against an owner that takes over from a lost one as if nothing had been used, and
/// against one that does so each time it loses another.
#[test]
fn a_node_that_takes_over_from_a_lost_owner_hands_out_what_comes_in() {
    let mut owner = Owner::new(at(0) - WINDOW);
    let used = owner.flood(0, 1_500);
    owner.known_since = at(2_000);
    let again = owner.flood(2_000, 5_000);
    assert!(used + again <= ALLOWED, "{used} and {again}");
    let mut other = Owner::new(at(2_000));
    let again = other.flood(2_000, 5_000);
    assert!(used + again <= ALLOWED, "{used} and {again}");
}

/// Guards against a planned stop that costs an account its burst, or gives it another one.
#[test]
fn an_owner_goes_on_where_the_one_before_it_stopped() {
    struct HandoverCase {
        label: &'static str,
        /// Time in milliseconds for which the account floods before the handover.
        flood: u64,
        /// When the account floods again.
        again: u64,
        /// Requests that are granted then within 500 ms.
        expected: std::ops::RangeInclusive<u32>,
    }
    let cases = [
        HandoverCase { label: "used up", flood: 1_500, again: 2_000, expected: 10..=22 },
        HandoverCase { label: "idle", flood: 5, again: 2_000, expected: 70..=95 },
        HandoverCase { label: "idle again", flood: 1_500, again: 9_000, expected: 70..=100 },
    ];
    for case in cases {
        let mut first = Owner::new(at(0) - WINDOW);
        let used = first.flood(0, case.flood);
        let (name, successor) = (account(), Arc::from("next"));
        let Owner { owned, ledger, .. } = &mut first;
        let handover = owned.hand_over(at(1_900), ledger, &terms(), (&name, &successor));
        let handover = handover.expect("a known account");
        assert_eq!(owned.successor("one"), Some(&successor));
        assert_eq!(owned.hand_over(at(1_950), ledger, &terms(), (&name, &successor)), None);
        // The next owner has just started, or has been running for long.
        for started in [at(1_800), at(0) - WINDOW] {
            let mut next = Owner::new(started);
            let Owner { owned, ledger, .. } = &mut next;
            owned.take_over(at(1_910), ledger, &terms(), (&handover, started));
            let again = next.flood(case.again, case.again + 500);
            assert!(case.expected.contains(&again), "{}: {again}", case.label);
            let in_window = if case.again < 5_000 { used } else { 0 };
            assert!(in_window + again <= ALLOWED, "{}: {used} and {again}", case.label);
        }
    }
}

/// Guards against a node that takes itself for the owner all along, although another one came
/// before it until it was lost.
#[test]
fn a_node_knows_of_requests_since_the_last_owner_was_lost() {
    let entry = |name: &str| PeerEntry {
        name: Arc::from(name),
        zone: Arc::from("a"),
        address: "127.0.0.1:7000".parse().expect("an address"),
        cpu_share: 0.25,
        link_mbps: 100.0,
    };
    let revision = |number| StoreRevision { era: 0, number };
    let started = at(0);
    let mut seen = [false; 2];
    for number in 0..20 {
        let mut table = PeerTable::new(entry("own"));
        let peer = format!("peer-{number}");
        table.insert(revision(1), entry(&peer));
        let comes_before = table.account_owner(at(1), "one").is_some();
        seen[usize::from(comes_before)] = true;
        assert_eq!(table.account_known_since("one", started), started);
        // One that stops as planned hands over what it knows.
        let mut stopped = table.clone();
        stopped.on_handed_over(&peer);
        assert_eq!(stopped.account_owner(at(2), "one"), None);
        stopped.remove(at(5_000), revision(2), &peer);
        assert_eq!(stopped.account_known_since("one", started), started);
        table.remove(at(5_000), revision(2), &peer);
        let expected = if comes_before { at(5_000) } else { started };
        assert_eq!(table.account_known_since("one", started), expected);
    }
    assert_eq!(seen, [true, true]);
}
