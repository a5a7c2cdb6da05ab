//! Client accounts: whose key a request carries, and how much their requests may be.

use std::{ops::Range, sync::Arc, time::Duration};

use carobstep_clock::BootTime;
use carobstep_tier::{
    AccountAccess, AccountConfig, AccountDecision, AccountKey, AccountQuota, AccountTable,
    AccountUses, KeyConflict, OwnedAccounts, OwnerReply, QuotaBounds, QuotaTerms, RequestPriority,
    RequestRate, SecretKey, ShareAsk, ShareGrant, ShareLedger, SharedSubject,
};
use rand::{RngExt, SeedableRng, rngs::StdRng};

fn account(name: &str, keys: &[&str]) -> AccountConfig {
    let keys = keys.iter().map(|key| SecretKey::from((*key).to_owned())).collect();
    AccountConfig { name: name.into(), keys, priority: None, quota: None }
}

/// Returns the name of the account that gets a request, and what else was decided.
fn decided(table: &AccountTable, is_public: bool, key: Option<&str>) -> String {
    match table.identify(is_public, key) {
        AccountAccess::Known(account) => table.get(account).expect("an account").name.to_string(),
        other => format!("{other:?}"),
    }
}

struct KeyCase {
    key: Option<&'static str>,
    /// Decision for a route that needs a key.
    closed: &'static str,
    /// Decision for a public route.
    public: &'static str,
}

const KEY_CASES: [KeyCase; 8] = [
    KeyCase { key: Some("k-one"), closed: "one", public: "one" },
    KeyCase { key: Some("k-two"), closed: "two", public: "two" },
    KeyCase { key: Some("k-second"), closed: "one", public: "one" },
    KeyCase { key: Some("K-one"), closed: "Denied", public: "Anonymous" },
    KeyCase { key: Some("k-on"), closed: "Denied", public: "Anonymous" },
    KeyCase { key: Some("k-one0"), closed: "Denied", public: "Anonymous" },
    KeyCase { key: Some(""), closed: "Denied", public: "Anonymous" },
    KeyCase { key: None, closed: "Denied", public: "Anonymous" },
];

#[test]
fn keys_decide_on_the_account() {
    let mut table = AccountTable::default();
    assert_eq!(decided(&table, false, Some("k-one")), "Open");
    let accounts = [account("one", &["k-one", "k-second"]), account("two", &["k-two"])];
    assert_eq!(table.configure(Some(&accounts)), []);
    for case in KEY_CASES {
        assert_eq!(decided(&table, false, case.key), case.closed, "{:?}", case.key);
        assert_eq!(decided(&table, true, case.key), case.public, "{:?}", case.key);
    }
    // Accounts without any keys let nobody in; no accounts let everybody in.
    table.configure(Some(&[]));
    assert_eq!(decided(&table, false, Some("k-one")), "Denied");
    table.configure(None);
    assert_eq!(decided(&table, false, None), "Open");
}

#[test]
fn a_key_of_two_accounts_counts_for_the_first() {
    let mut table = AccountTable::default();
    let accounts = [account("one", &["k", "k"]), account("two", &["k", "own"])];
    let conflict = KeyConflict { holder: "one".into(), other: "two".into() };
    assert_eq!(table.configure(Some(&accounts)), [conflict]);
    assert_eq!(decided(&table, false, Some("k")), "one");
    assert_eq!(decided(&table, false, Some("own")), "two");
}

/// Random sequences of configurations: only keys of the last one count, and an account that
/// stays keeps its place.
#[test]
fn only_keys_of_the_last_configuration_count() {
    for seed in 0..40 {
        let mut random = StdRng::seed_from_u64(seed);
        let mut table = AccountTable::default();
        let mut places: Vec<Option<AccountKey>> = Vec::new();
        for _ in 0..30 {
            let mut accounts = Vec::new();
            for number in 0..20 {
                if random.random_bool(0.5) {
                    let key = format!("k{number}-{}", random.random_range(0..3));
                    accounts.push(account(&format!("a{number}"), &[&key]));
                }
            }
            table.configure(Some(&accounts));
            assert_eq!(table.len(), accounts.len());
            for number in 0..20 {
                let name = format!("a{number}");
                let config = accounts.iter().find(|config| *config.name == *name);
                for version in 0..3 {
                    let text = format!("k{number}-{version}");
                    let is_listed = config
                        .is_some_and(|config| config.keys.contains(&SecretKey::from(text.clone())));
                    let expected = if is_listed { &name } else { "Denied" };
                    assert_eq!(decided(&table, false, Some(&text)), expected, "seed {seed}");
                }
            }
            let now: Vec<_> = (0..20).map(|number| table.named(&format!("a{number}"))).collect();
            for (before, after) in places.iter().zip(&now) {
                assert!(before == after || before.is_none() || after.is_none());
            }
            places = now;
        }
    }
}

#[test]
fn keys_do_not_print_themselves() {
    let text = format!("{:?}", account("one", &["k-one"]));
    assert!(text.contains("one") && !text.contains("k-one"), "{text}");
}

#[test]
fn the_priority_of_the_account_decides_before_that_of_the_route() {
    let mut priorities = [(Some(1), 0), (None, 2), (Some(0), 2), (Some(1), 1), (None, 0)]
        .map(|(account, route)| RequestPriority::new(account, route));
    priorities.sort();
    assert_eq!(priorities.map(RequestPriority::level), [0, 0, 1, 1, 2]);
    assert_eq!(priorities[0], RequestPriority::new(None, 0));
    assert_eq!(RequestPriority::new(None, 7).level(), 7, "as without accounts");
}

/// Length of the window in which requests are counted.
const WINDOW: Duration = Duration::from_secs(5);

const BOUNDS: QuotaBounds = QuotaBounds { window: WINDOW, over: 0.1, slack: 20.0 };

/// Time that a message between nodes takes.
const HOP: Duration = Duration::from_millis(4);

fn ms(millis: u64) -> BootTime {
    BootTime::ZERO + Duration::from_secs(10) + Duration::from_millis(millis)
}

/// Nodes with the account `one`, and a network that takes [`HOP`] for each message.
struct Fleet {
    table: AccountTable,
    account: AccountKey,
    nodes: Vec<Member>,
    terms: QuotaTerms,
    messages: Vec<(u64, Message)>,
    sent: usize,
    random: StdRng,
    /// Group of the nodes that each node reaches.
    groups: Vec<usize>,
    dead: Vec<bool>,
    /// Times of admissions.
    admitted: Vec<u64>,
    refused: Vec<u64>,
}

#[derive(Default)]
struct Member {
    uses: AccountUses,
    owned: OwnedAccounts,
    ledger: ShareLedger,
}

#[derive(Clone, Copy)]
enum Message {
    Ask { from: usize, to: usize, tokens: u32, used: u32, recent: u32 },
    Reply { to: usize, tokens: u32, used: u32, grant: Option<ShareGrant> },
    Short { from: usize, to: usize },
    Support { from: usize, to: usize },
}

impl Fleet {
    fn new(nodes: usize, rate: f64, burst: u32, seed: u64) -> Self {
        let mut table = AccountTable::default();
        table.configure(Some(&[account("one", &["k"])]));
        let account = table.named("one").expect("an account");
        Self {
            table,
            account,
            nodes: (0..nodes).map(|_| Member::default()).collect(),
            terms: terms(rate, burst),
            messages: Vec::new(),
            sent: 0,
            random: StdRng::seed_from_u64(seed),
            groups: vec![0; nodes],
            dead: vec![false; nodes],
            admitted: Vec::new(),
            refused: Vec::new(),
        }
    }

    fn reaches(&self, from: usize, to: usize) -> bool {
        !self.dead[to] && self.groups[from] == self.groups[to]
    }

    /// The first node that a node reaches owns the account.
    fn owner_of(&self, node: usize) -> usize {
        (0..self.nodes.len()).find(|to| self.reaches(node, *to)).expect("itself")
    }

    fn send(&mut self, at: u64, message: Message) {
        self.sent += 1;
        self.messages.push((at + HOP.as_millis() as u64, message));
    }

    fn ask(&mut self, at: u64, node: usize, tokens: u32) {
        let (used, recent) =
            self.nodes[node].uses.report(ms(at), self.account, &self.terms).unwrap_or_default();
        let to = self.owner_of(node);
        self.send(at, Message::Ask { from: node, to, tokens, used, recent });
    }

    fn request(&mut self, at: u64, node: usize) {
        assert!(self.table.get(self.account).is_some());
        match self.nodes[node].uses.decide(ms(at), self.account, &self.terms) {
            AccountDecision::Admit => {
                self.admitted.push(at);
                self.ask(at, node, 0);
            }
            AccountDecision::Ask => self.ask(at, node, 1),
            AccountDecision::Refuse(wait) => {
                assert!(wait > Duration::ZERO);
                self.refused.push(at);
            }
        }
    }

    fn deliver(&mut self, at: u64, message: Message) {
        let (now, name) = (ms(at), Arc::<str>::from("one"));
        let node_name = |node: usize| Arc::<str>::from(format!("node-{node}"));
        match message {
            Message::Ask { from, to, tokens, used, recent } => {
                if !self.reaches(from, to) {
                    self.send(at, Message::Reply { to: from, tokens, used, grant: None });
                    return;
                }
                let subject = SharedSubject::Account(name.clone());
                let ask = ShareAsk { subject, tokens, used, recent };
                let count = self.nodes.len() as u32;
                let Member { owned, ledger, .. } = &mut self.nodes[to];
                let sender = (&name, &node_name(from), count);
                let grant = owned.answer(now, ledger, &self.terms, sender, &ask);
                if !owned.due_notices(now).is_empty() {
                    for node in (0..self.nodes.len()).filter(|node| *node != to) {
                        self.send(at, Message::Short { from: to, to: node });
                    }
                }
                self.send(at, Message::Reply { to: from, tokens, used, grant: Some(grant) });
            }
            Message::Reply { to, tokens, used, grant } => {
                let count = self.nodes.len() as u32;
                let uses = &mut self.nodes[to].uses;
                let reply = match grant {
                    Some(grant) => {
                        uses.on_answered(now, self.account, &self.terms, grant);
                        OwnerReply::Granted(grant)
                    }
                    None => {
                        uses.on_lost(now, self.account, used);
                        OwnerReply::Lost { nodes: count }
                    }
                };
                if tokens == 0 {
                    return;
                }
                match uses.decide_asked(now, self.account, &self.terms, reply) {
                    AccountDecision::Admit => self.admitted.push(at),
                    AccountDecision::Refuse(_) => self.refused.push(at),
                    AccountDecision::Ask => panic!("asked twice"),
                }
            }
            Message::Short { from, to } => {
                if self.reaches(from, to) {
                    self.nodes[to].uses.on_short(now, self.account);
                    if self.owner_of(to) == from {
                        self.send(at, Message::Support { from: to, to: from });
                    }
                }
            }
            Message::Support { from, to } => {
                if self.reaches(from, to) {
                    self.nodes[to].owned.on_support(now, "one", &node_name(from));
                }
            }
        }
    }

    /// Plays requests at a rate, each at a random node of `nodes` that is alive.
    fn run(&mut self, span: Range<u64>, per_second: f64, nodes: Range<usize>) {
        for at in span {
            let mut due = Vec::new();
            for entry in std::mem::take(&mut self.messages) {
                if entry.0 <= at { due.push(entry.1) } else { self.messages.push(entry) }
            }
            for message in due {
                self.deliver(at, message);
            }
            if self.random.random_bool((per_second / 1000.0).min(1.0)) {
                let node = self.random.random_range(nodes.clone());
                if !self.dead[node] {
                    self.request(at, node);
                }
            }
        }
    }

    /// Returns the most admissions in any window.
    fn busiest(&self) -> usize {
        let mut times = self.admitted.clone();
        times.sort_unstable();
        let window = WINDOW.as_millis() as u64;
        let count =
            |start: u64| times.iter().filter(move |at| (start..start + window).contains(at));
        times.iter().map(|start| count(*start).count()).max().unwrap_or(0)
    }

    fn admitted_in(&self, span: Range<u64>) -> usize {
        self.admitted.iter().filter(|at| span.contains(at)).count()
    }
}

fn terms(rate: f64, burst: u32) -> QuotaTerms {
    let rate = RequestRate::try_from(rate).expect("a rate");
    QuotaTerms::new(AccountQuota { rate, burst }, BOUNDS)
}

fn allowed(rate: f64, burst: u32) -> usize {
    ((rate * WINDOW.as_secs_f64() + f64::from(burst)) * 1.1 + 20.0) as usize
}

struct FloodCase {
    rate: f64,
    burst: u32,
    flood: f64,
    /// Nodes that get the requests.
    nodes: usize,
}

const FLOOD_CASES: [FloodCase; 5] = [
    FloodCase { rate: 25.0, burst: 50, flood: 130.0, nodes: 64 },
    FloodCase { rate: 25.0, burst: 50, flood: 130.0, nodes: 3 },
    FloodCase { rate: 5.0, burst: 10, flood: 30.0, nodes: 64 },
    FloodCase { rate: 1.0, burst: 1, flood: 20.0, nodes: 64 },
    FloodCase { rate: 0.3, burst: 0, flood: 100.0, nodes: 64 },
];

#[test]
fn a_flooding_account_gets_its_limit_and_not_more() {
    for FloodCase { rate, burst, flood, nodes } in FLOOD_CASES {
        for seed in 0..4 {
            let mut fleet = Fleet::new(64, rate, burst, seed);
            fleet.run(0..20_000, flood, 0..nodes);
            let (most, allowed) = (fleet.busiest(), allowed(rate, burst));
            assert!(most <= allowed, "{rate} {flood} {seed}: {most} of {allowed}");
            let least = (rate * 20.0 + f64::from(burst)).floor() as usize;
            let got = fleet.admitted.len();
            assert!(got >= least * 9 / 10, "{rate} {flood} {seed}: {got} of {least}");
        }
    }
}

#[test]
fn an_account_within_its_limit_is_never_refused_and_costs_one_call_each() {
    for (rate, burst) in [(25.0, 50), (5.0, 10), (1.0, 1), (0.3, 1)] {
        for seed in 0..4 {
            let mut fleet = Fleet::new(64, rate, burst, seed);
            fleet.run(0..60_000, rate / 1.6, 0..64);
            fleet.run(60_000..60_050, 0.0, 0..64);
            assert_eq!(fleet.refused.len(), 0, "{rate} {seed}");
            let calls = fleet.admitted.len() * 2;
            assert!(fleet.sent <= calls + 126, "{rate} {seed}: {} of {calls}", fleet.sent);
        }
    }
}

#[test]
fn a_killed_owner_neither_frees_nor_stops_a_flood() {
    for seed in 0..6 {
        let mut fleet = Fleet::new(64, 25.0, 50, seed);
        fleet.run(0..6_000, 130.0, 0..64);
        fleet.dead[0] = true;
        fleet.run(6_000..16_000, 130.0, 0..64);
        let (most, allowed) = (fleet.busiest(), allowed(25.0, 50));
        assert!(most <= allowed, "{seed}: {most} of {allowed}");
        let got = fleet.admitted_in(6_500..16_000);
        assert!(got >= 200, "{seed}: {got} of 237");
    }
}

#[test]
fn a_cut_zone_and_the_others_keep_the_limit_together() {
    for seed in 0..6 {
        let mut fleet = Fleet::new(63, 25.0, 50, seed);
        fleet.run(0..6_000, 130.0, 0..63);
        for node in 42..63 {
            fleet.groups[node] = 1;
        }
        fleet.run(6_000..16_000, 130.0, 0..63);
        let (most, allowed) = (fleet.busiest(), allowed(25.0, 50));
        assert!(most <= allowed, "{seed}: {most} of {allowed}");
        let got = fleet.admitted_in(8_000..16_000);
        assert!(got >= 150, "{seed}: {got} of 200");
    }
}

#[test]
fn a_lower_limit_holds_at_once() {
    for seed in 0..4 {
        let mut fleet = Fleet::new(64, 25.0, 50, seed);
        fleet.run(0..6_000, 60.0, 0..64);
        fleet.terms = terms(5.0, 5);
        fleet.admitted.retain(|at| *at >= 6_000);
        fleet.run(6_000..16_000, 60.0, 0..64);
        let (most, allowed) = (fleet.busiest(), allowed(5.0, 5));
        assert!(most <= allowed, "{seed}: {most} of {allowed}");
    }
}

#[test]
fn the_token_of_a_request_that_did_not_run_is_used_again() {
    let mut fleet = Fleet::new(1, 0.001, 1, 1);
    for at in 0..200 {
        if fleet.nodes[0].uses.decide(ms(at), fleet.account, &fleet.terms) == AccountDecision::Admit
        {
            fleet.nodes[0].uses.refund(ms(at), fleet.account);
            continue;
        }
        panic!("refused at {at} although nothing ran");
    }
}

#[test]
fn the_accounts_with_the_highest_rates_are_large() {
    let mut accounts: Vec<_> = (0..30).map(|it| account(&format!("a{it}"), &[])).collect();
    for (number, account) in accounts.iter_mut().enumerate().skip(1) {
        let rate = RequestRate::try_from(number as f64).expect("a rate");
        account.quota = Some(AccountQuota { rate, burst: 0 });
    }
    let mut table = AccountTable::default();
    table.configure(Some(&accounts));
    for number in 0..30 {
        let account = table.named(&format!("a{number}")).expect("an account");
        assert_eq!(table.get(account).map(|it| it.is_large), Some(number >= 14), "{number}");
    }
}

#[test]
fn a_token_that_comes_late_is_used_by_the_next_request() {
    let fleet = Fleet::new(1, 0.001, 0, 1);
    let (mut uses, account, terms) = (AccountUses::default(), fleet.account, fleet.terms);
    uses.on_short(ms(0), account);
    assert_eq!(uses.decide(ms(1), account, &terms), AccountDecision::Ask);
    let lost = OwnerReply::Lost { nodes: 64 };
    let refused = uses.decide_asked(ms(30), account, &terms, lost);
    assert!(matches!(refused, AccountDecision::Refuse(_)), "{refused:?}");
    uses.keep_late(ms(40), account, 1);
    assert_eq!(uses.decide(ms(41), account, &terms), AccountDecision::Admit);
    assert_ne!(uses.decide(ms(42), account, &terms), AccountDecision::Admit);
}

#[test]
fn replies_that_come_too_late_do_not_renew_the_equal_share() {
    const NODES: u32 = 4;
    let (rate, burst) = (2.0, 20);
    let fleet = Fleet::new(1, rate, burst, 1);
    let (mut uses, account, terms) = (AccountUses::default(), fleet.account, fleet.terms);
    let nothing = ShareGrant { tokens: 0, level: 0, is_known: true };
    let mut admitted = 0;
    // Each reply comes after its request was decided.
    for at in (0..5_000).step_by(30) {
        uses.on_short(ms(at), account);
        if uses.decide(ms(at), account, &terms) != AccountDecision::Ask {
            continue;
        }
        let lost = OwnerReply::Lost { nodes: NODES };
        let decision = uses.decide_asked(ms(at + 25), account, &terms, lost);
        admitted += usize::from(decision == AccountDecision::Admit);
        uses.on_answered(ms(at + 29), account, &terms, nothing);
    }
    let most = allowed(rate, burst) / NODES as usize;
    assert!(admitted <= most, "{admitted} of {most}");
}

#[test]
fn an_account_that_pauses_does_not_get_its_burst_again_too_early() {
    let (rate, burst) = (0.1, 20);
    let bounds = QuotaBounds { window: Duration::from_secs(60), over: 0.0, slack: 0.0 };
    let quota = AccountQuota { rate: RequestRate::try_from(rate).expect("a rate"), burst };
    let terms = QuotaTerms::new(quota, bounds).share_terms();
    let subject = |name: &str| SharedSubject::Account(name.into());
    let mut ledger = ShareLedger::default();
    ledger.charge(ms(0), &subject("one"), terms, 1.0, burst);
    // The ledger forgets limits that are not in use when it gets another one.
    ledger.grant(ms(11_000), &subject("other"), terms, 1.0, 1);
    let left = ledger.tokens(ms(11_000), &subject("one"), terms, 1.0);
    assert!(left <= 1.2, "{left}");
    // Those that are full again are forgotten.
    ledger.grant(ms(400_000), &subject("third"), terms, 1.0, 1);
    assert_eq!(ledger.len(), 1);
}

#[test]
fn nodes_hear_of_short_tokens_only_while_the_account_is_in_use() {
    let mut fleet = Fleet::new(1, 5.0, 10, 1);
    let Member { owned, ledger, .. } = &mut fleet.nodes[0];
    let (name, node): (Arc<str>, Arc<str>) = ("one".into(), "n0".into());
    let subject = SharedSubject::Account(name.clone());
    let ask = ShareAsk { subject, tokens: 0, used: 200, recent: 200 };
    owned.answer(ms(0), ledger, &fleet.terms, (&name, &node, 1), &ask);
    assert_eq!(owned.due_notices(ms(1)), std::slice::from_ref(&name));
    assert_eq!(owned.due_notices(ms(900)), [name]);
    assert_eq!(owned.due_notices(ms(60_000)), [] as [Arc<str>; 0]);
}
