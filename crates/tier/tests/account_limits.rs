//! Limits of client accounts: how much their requests may be over all nodes together.

use std::{collections::BTreeMap, ops::Range, sync::Arc, time::Duration};

use carobstep_clock::BootTime;
use carobstep_tier::{
    AccountConfig, AccountDecision, AccountKey, AccountQuota, AccountTable, AccountUses,
    AdmissionSource, OWNER_REPLY_TIMEOUT, OwnedAccounts, OwnerReply, QuotaBounds, QuotaTerms,
    RequestRate, ShareAsk, ShareGrant, ShareLedger, SharedSubject, TOKEN_WAIT,
};
use rand::{RngExt, SeedableRng, rngs::StdRng};

/// Length of the window in which requests are counted.
const WINDOW: Duration = Duration::from_secs(5);

const BOUNDS: QuotaBounds = QuotaBounds { window: WINDOW, over: 0.1, slack: 20.0 };

/// Time in milliseconds that a message between nodes takes.
const HOP: u64 = 4;

fn ms(millis: u64) -> BootTime {
    BootTime::ZERO + Duration::from_secs(10) + Duration::from_millis(millis)
}

/// Time for which a node does not take another one for the owner after a call has failed.
const OWNER_PAUSE: u64 = 1_000;

/// Nodes with the account `one`, and a network that takes [`HOP`] for each message unless
/// a node is slower.
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
    /// Nodes whose messages get lost, and those that get none.
    mute: Vec<bool>,
    deaf: Vec<bool>,
    /// Times that messages from and to each node take.
    hops: Vec<Range<u64>>,
    /// Owners that did not answer each node, and until when it passes over them.
    failed: Vec<BTreeMap<usize, u64>>,
    /// Calls that were not answered and have not timed out yet, and whether a request waits.
    open: BTreeMap<usize, bool>,
    /// Times of admissions.
    admitted: Vec<u64>,
    refused: Vec<u64>,
    /// Since when the owner knows of all requests.
    known_since: BootTime,
}

#[derive(Default)]
struct Member {
    uses: AccountUses,
    owned: OwnedAccounts,
    ledger: ShareLedger,
}

#[derive(Clone, Copy)]
enum Message {
    Ask {
        call: usize,
        from: usize,
        to: usize,
        tokens: u32,
        used: u32,
        recent: u32,
    },
    Reply {
        call: usize,
        to: usize,
        tokens: u32,
        used: u32,
        grant: Option<ShareGrant>,
    },
    /// The request that asked for a token waits no longer.
    AskWait {
        call: usize,
        from: usize,
    },
    /// The call has timed out.
    Timeout {
        call: usize,
        from: usize,
        owner: usize,
        used: u32,
        is_asked: bool,
    },
    Short {
        from: usize,
        to: usize,
    },
    Support {
        from: usize,
        to: usize,
    },
}

impl Fleet {
    fn new(nodes: usize, rate: f64, burst: u32, seed: u64) -> Self {
        let mut table = AccountTable::default();
        let config =
            AccountConfig { name: "one".into(), keys: Vec::new(), priority: None, quota: None };
        table.configure(Some(&[config]));
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
            mute: vec![false; nodes],
            deaf: vec![false; nodes],
            hops: vec![HOP..HOP + 1; nodes],
            failed: vec![BTreeMap::new(); nodes],
            open: BTreeMap::new(),
            admitted: Vec::new(),
            refused: Vec::new(),
            known_since: BootTime::ZERO,
        }
    }

    fn reaches(&self, from: usize, to: usize) -> bool {
        !self.dead[to] && self.groups[from] == self.groups[to]
    }

    /// The first node that a node reaches, and that has not failed, owns the account.
    fn owner_of(&self, at: u64, node: usize) -> usize {
        let is_failed = |to: &usize| self.failed[node].get(to).is_some_and(|until| at < *until);
        let mut nodes = 0..self.nodes.len();
        nodes.find(|to| self.reaches(node, *to) && !is_failed(to)).unwrap_or(node)
    }

    /// Sends a message between two nodes; the slower one decides how long it takes.
    fn send(&mut self, at: u64, (from, to): (usize, usize), message: Message) {
        self.sent += 1;
        if from != to && (self.mute[from] || self.deaf[to]) {
            return;
        }
        let mut hop = || {
            let hops = [self.hops[from].clone(), self.hops[to].clone()];
            hops.into_iter().map(|it| self.random.random_range(it)).max().unwrap_or_default()
        };
        let hop = if from == to { 0 } else { hop() };
        self.messages.push((at + hop, message));
    }

    fn ask(&mut self, at: u64, node: usize, tokens: u32) {
        let (used, recent) =
            self.nodes[node].uses.report(ms(at), self.account, &self.terms).unwrap_or_default();
        let to = self.owner_of(at, node);
        let call = self.sent;
        self.open.insert(call, tokens > 0);
        self.send(at, (node, to), Message::Ask { call, from: node, to, tokens, used, recent });
        let after = |wait: Duration| at + wait.as_millis() as u64;
        let timeout = Message::Timeout { call, from: node, owner: to, used, is_asked: tokens > 0 };
        self.messages.push((after(OWNER_REPLY_TIMEOUT), timeout));
        if tokens > 0 {
            self.messages.push((after(TOKEN_WAIT), Message::AskWait { call, from: node }));
        }
    }

    /// Decides about a request that asked for a token.
    fn decide_asked(&mut self, at: u64, node: usize, reply: OwnerReply) {
        let uses = &mut self.nodes[node].uses;
        match uses.decide_asked(ms(at), self.account, &self.terms, reply) {
            AccountDecision::Admit(_) => self.admitted.push(at),
            AccountDecision::Refuse(_) => self.refused.push(at),
            AccountDecision::Ask => panic!("asked twice"),
        }
    }

    fn request(&mut self, at: u64, node: usize) {
        assert!(self.table.get(self.account).is_some());
        match self.nodes[node].uses.decide(ms(at), self.account, &self.terms) {
            AccountDecision::Admit(_) => {
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
            Message::Ask { call, from, to, tokens, used, recent } => {
                if !self.reaches(from, to) {
                    self.send(
                        at,
                        (to, from),
                        Message::Reply { call, to: from, tokens, used, grant: None },
                    );
                    return;
                }
                let subject = SharedSubject::Account(name.clone());
                let ask = ShareAsk { subject, tokens, used, recent };
                let count = self.nodes.len() as u32;
                let Member { owned, ledger, .. } = &mut self.nodes[to];
                let sender = (&name, &node_name(from), count);
                let grant =
                    Some(owned.answer(now, ledger, &self.terms, sender, (&ask, self.known_since)));
                if !owned.due_notices(now).is_empty() {
                    for node in (0..self.nodes.len()).filter(|node| *node != to) {
                        self.send(at, (to, node), Message::Short { from: to, to: node });
                    }
                }
                self.send(at, (to, from), Message::Reply { call, to: from, tokens, used, grant });
            }
            Message::Reply { call, to, tokens, used, grant } => {
                let Some(is_waiting) = self.open.remove(&call) else { return };
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
                if is_waiting {
                    self.decide_asked(at, to, reply);
                } else if tokens > 0 {
                    uses.keep_late(now, self.account, grant.map_or(0, |grant| grant.tokens));
                }
            }
            Message::AskWait { call, from } => {
                let Some(is_waiting) = self.open.get_mut(&call).filter(|it| **it) else { return };
                *is_waiting = false;
                let nodes = self.nodes.len() as u32;
                self.decide_asked(at, from, OwnerReply::Late { nodes });
            }
            Message::Timeout { call, from, owner, used, is_asked } => {
                if self.open.remove(&call).is_some() {
                    let uses = &mut self.nodes[from].uses;
                    uses.on_lost(now, self.account, used);
                    if is_asked {
                        uses.keep_late(now, self.account, 0);
                    }
                    self.failed[from].insert(owner, at + OWNER_PAUSE);
                }
            }
            Message::Short { from, to } => {
                if self.reaches(from, to) {
                    self.failed[to].remove(&from);
                    self.nodes[to].uses.on_short(now, self.account);
                    if self.owner_of(at, to) == from {
                        self.send(at, (to, from), Message::Support { from: to, to: from });
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

    /// Returns how many requests were refused although they were within the limit.
    fn refused_within(&self, rate: f64, burst: u32) -> usize {
        let (window, within) = (WINDOW.as_millis() as u64, rate * 5.0 + f64::from(burst));
        let is_within = |at: &&u64| {
            let start = (**at + 1).saturating_sub(window);
            (self.admitted_in(start..**at + 1) as f64) < within.floor()
        };
        self.refused.iter().filter(is_within).count()
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

struct SlowCase {
    rate: f64,
    burst: u32,
    /// Requests per second while nodes are slow, relative to the usual ones.
    flood: f64,
    /// Nodes that are slow; the first one owns the account.
    slow: Range<usize>,
}

const SLOW_CASES: [SlowCase; 6] = [
    SlowCase { rate: 14.0, burst: 14, flood: 7.0, slow: 55..64 },
    SlowCase { rate: 1.5, burst: 2, flood: 7.0, slow: 55..64 },
    SlowCase { rate: 1.5, burst: 2, flood: 7.0, slow: 0..9 },
    SlowCase { rate: 14.0, burst: 14, flood: 1.0, slow: 55..64 },
    SlowCase { rate: 5.0, burst: 5, flood: 1.0, slow: 0..9 },
    SlowCase { rate: 0.5, burst: 1, flood: 1.0, slow: 0..9 },
];

/// A flooding account whose owner is one of the slow nodes.
const SLOW_OWNER_CASE: SlowCase = SlowCase { rate: 14.0, burst: 14, flood: 7.0, slow: 0..9 };

/// Part of the requests within the limit that may be refused to an account that sends more
/// than its limit.
const REFUSED_WITHIN: f64 = 0.05;

/// Plays calls that take 5 to 80 ms, and 40 to 200 ms at nine of the nodes while the account
/// floods. Returns the requests within the limit, and how many of them were refused.
fn play_slow(case: &SlowCase, seed: u64) -> (usize, usize) {
    let SlowCase { rate, burst, flood, ref slow } = *case;
    let (mut fleet, usual) = (Fleet::new(64, rate, burst, seed), rate / 1.6);
    fleet.hops = vec![2..41; 64];
    fleet.run(0..8_000, usual, 0..64);
    for node in slow.clone() {
        fleet.hops[node] = 20..101;
    }
    fleet.run(8_000..14_000, usual * flood, 0..64);
    fleet.hops = vec![2..41; 64];
    fleet.run(14_000..24_000, usual, 0..64);
    let (most, allowed) = (fleet.busiest(), allowed(rate, burst));
    assert!(most <= allowed, "{rate} {flood} {seed}: {most} of {allowed}");
    let refused = fleet.refused_within(rate, burst);
    if flood <= 1.0 {
        assert_eq!(fleet.refused.len(), 0, "{rate} {seed}");
    }
    (fleet.admitted.len() + refused, refused)
}

#[test]
fn slow_nodes_refuse_hardly_anything_within_the_limit() {
    for (number, case) in SLOW_CASES.iter().enumerate() {
        for seed in 0..8 {
            let (all, refused) = play_slow(case, seed);
            let tolerated = all as f64 * REFUSED_WITHIN;
            assert!(refused as f64 <= tolerated, "{number} {seed}: {refused} of {all}");
        }
    }
}

#[test]
fn a_slow_owner_keeps_the_limit() {
    for seed in 0..8 {
        play_slow(&SLOW_OWNER_CASE, seed);
    }
}

#[test]
fn a_slow_owner_refuses_hardly_anything_within_the_limit() {
    for seed in 0..8 {
        let (all, refused) = play_slow(&SLOW_OWNER_CASE, seed);
        let tolerated = all as f64 * REFUSED_WITHIN;
        assert!(refused as f64 <= tolerated, "{seed}: {refused} of {all}");
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

struct SilentCase {
    /// The owner's messages get lost.
    is_mute: bool,
    /// Messages to the owner get lost.
    is_deaf: bool,
}

/// A frozen owner, and owners whose links work one way.
const SILENT_CASES: [SilentCase; 3] = [
    SilentCase { is_mute: true, is_deaf: true },
    SilentCase { is_mute: true, is_deaf: false },
    SilentCase { is_mute: false, is_deaf: true },
];

#[test]
fn a_silent_owner_neither_frees_nor_stops_a_flood() {
    for (number, SilentCase { is_mute, is_deaf }) in SILENT_CASES.into_iter().enumerate() {
        for seed in 0..6 {
            let mut fleet = Fleet::new(64, 14.0, 14, seed);
            fleet.run(0..6_000, 61.0, 1..64);
            (fleet.mute[0], fleet.deaf[0]) = (is_mute, is_deaf);
            fleet.run(6_000..16_000, 61.0, 1..64);
            (fleet.mute[0], fleet.deaf[0]) = (false, false);
            fleet.run(16_000..24_000, 61.0, 1..64);
            let (most, allowed) = (fleet.busiest(), allowed(14.0, 14));
            assert!(most <= allowed, "{number} {seed}: {most} of {allowed}");
            let got = fleet.admitted_in(8_000..16_000);
            // At least half of the limit, though nodes try the silent owner each second.
            assert!(got >= 56, "{number} {seed}: {got} of 112");
        }
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
        let decision = fleet.nodes[0].uses.decide(ms(at), fleet.account, &fleet.terms);
        if matches!(decision, AccountDecision::Admit(_)) {
            fleet.nodes[0].uses.refund(ms(at), fleet.account);
            continue;
        }
        panic!("refused at {at} although nothing ran");
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
    let kept = AccountDecision::Admit(AdmissionSource::KeptToken);
    assert_eq!(uses.decide(ms(41), account, &terms), kept);
    assert!(!matches!(uses.decide(ms(42), account, &terms), AccountDecision::Admit(_)));
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
        admitted += usize::from(matches!(decision, AccountDecision::Admit(_)));
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
    owned.answer(ms(0), ledger, &fleet.terms, (&name, &node, 1), (&ask, fleet.known_since));
    assert_eq!(owned.due_notices(ms(1)), std::slice::from_ref(&name));
    assert_eq!(owned.due_notices(ms(900)), [name]);
    assert_eq!(owned.due_notices(ms(60_000)), [] as [Arc<str>; 0]);
}

#[test]
fn a_grant_has_at_most_the_tokens_that_were_asked_for() {
    let subject = SharedSubject::Account("atelier".into());
    let ask = ShareAsk { subject, tokens: 1, used: 0, recent: 0 };
    for (granted, expected) in [(0, 0), (1, 1), (u32::MAX, 1)] {
        let grant = ShareGrant { tokens: granted, level: 7, is_known: true };
        assert_eq!(grant.within(&ask), ShareGrant { tokens: expected, ..grant });
    }
}
