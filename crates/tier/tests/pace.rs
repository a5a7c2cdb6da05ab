//! Servers that have just started or recovered, beside others, with many nodes.
//!
//! Plays the requests of all nodes against servers with slots and a queue, and checks what
//! callers get: against a full share at once, and against none until the server is warm.

mod support;

use std::{cmp::Reverse, collections::BinaryHeap, time::Duration};

use carobstep_tier::{
    AttemptKind, AttemptOutcome, AttemptTicket, ClassKey, DirectoryChange, FleetLimits, PaceRule,
    PickScope, ServerEntry, ServerFleet, ServerKey, ServiceKey,
};
use support::{LIMITS, at, class, entry, fleet, name};

const NODES: usize = 60;
const OBJECTIVE_MS: f64 = 100.0;
const LATE_WORTH: f64 = 0.1;
const DEADLINE: u64 = 500_000;
const SLOTS: usize = 2;
const MAX_WAITING: usize = 6;

/// Time after which a request that found no server tries again, in microseconds.
const POLL: u64 = 2_000;

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    /// A request that arrived at this time looks for a server; the flag is set after a
    /// refusal.
    Request { arrived: u64, node: usize, is_retry: bool },
    /// A server ends a request that arrived at this time; with the position of its ticket.
    End { server: usize, ticket: usize, arrived: u64, node: usize },
}

/// A server with slots and a queue, which may be slow for a time.
struct PlayedServer {
    slow: (u64, u64, u64),
    running: usize,
    waiting: Vec<(usize, u64, usize)>,
    ran: Vec<u64>,
}

struct Play {
    fleets: Vec<(ServerFleet, ServiceKey, ClassKey)>,
    servers: Vec<PlayedServer>,
    /// Servers that get no requests, from when and until when.
    spared: Vec<(usize, u64, u64)>,
    tickets: Vec<AttemptTicket>,
    events: BinaryHeap<Reverse<(u64, u64, Event)>>,
    count: u64,
    random: u64,
    /// Arrival and latency of each answered request, in microseconds.
    latencies: Vec<(u64, u64)>,
    lost: Vec<u64>,
    work: u64,
}

/// What callers got of requests that arrived within a time.
#[derive(Clone, Copy, Debug)]
struct Outcome {
    /// Mean worth of a request: 1 within the objective, a tenth when late, 0 when lost.
    worth: f64,
    lost: f64,
    /// Requests that ran on the first server within the time, and within a later one.
    ran: f64,
    ran_later: f64,
}

fn moment(micros: u64) -> carobstep_clock::BootTime {
    at(0) + std::time::Duration::from_micros(micros)
}

impl Play {
    fn new(count: usize, work_ms: u64, rule: PaceRule, seed: u64) -> Self {
        let limits = FleetLimits { nodes: NODES as u32, ..LIMITS };
        let mut fleets = Vec::new();
        for node in 0..NODES {
            let (fleet, _) = fleet(0, &[], limits);
            let mut fleet = fleet.with_seed(node as u64 + 1).with_pace(rule);
            let service = fleet.get_or_insert_service(at(0), &name("s"));
            for server in 0..count {
                fleet.apply(at(0), &DirectoryChange::Changed(server_entry(server, 0, 1)));
            }
            let class = class(&mut fleet);
            fleets.push((fleet, service, class));
        }
        let played =
            || PlayedServer { slow: (0, 0, 1), running: 0, waiting: Vec::new(), ran: Vec::new() };
        Self {
            fleets,
            servers: (0..count).map(|_| played()).collect(),
            spared: Vec::new(),
            tickets: Vec::new(),
            events: BinaryHeap::new(),
            count: 0,
            random: seed,
            latencies: Vec::new(),
            lost: Vec::new(),
            work: work_ms * 1_000,
        }
    }

    fn random(&mut self) -> u64 {
        self.random ^= self.random << 13;
        self.random ^= self.random >> 7;
        self.random ^= self.random << 17;
        self.random >> 11
    }

    fn push(&mut self, time: u64, event: Event) {
        self.count += 1;
        self.events.push(Reverse((time, self.count, event)));
    }

    /// Starts a server again; it is slow for a time, which it states or not.
    fn restart(&mut self, time: u64, server: usize, slow_ms: u64, factor: u64, is_stated: bool) {
        self.servers[server].slow = (time, time + slow_ms * 1_000, factor);
        let cold_ms = if is_stated { slow_ms } else { 0 };
        for (fleet, ..) in &mut self.fleets {
            let change = DirectoryChange::Changed(server_entry(server, cold_ms, 2 + time));
            fleet.apply(moment(time), &change);
        }
    }

    /// Adds arrivals at a rate from one time to another, in milliseconds, and plays them.
    fn run(&mut self, from_ms: u64, until_ms: u64, per_second: u64) {
        let mut time = from_ms * 1_000;
        while time < until_ms * 1_000 {
            let draw = (self.random() % 1_000_000 + 1) as f64 / 1e6;
            time += (-draw.ln() * 1e6 / per_second as f64) as u64 + 1;
            let node = (self.random() % NODES as u64) as usize;
            self.push(time, Event::Request { arrived: time, node, is_retry: false });
        }
        while let Some(Reverse((time, _, event))) = self.events.pop() {
            if time > until_ms * 1_000 {
                self.push(time, event);
                break;
            }
            match event {
                Event::Request { arrived, node, is_retry } => {
                    self.request(time, arrived, node, is_retry);
                }
                Event::End { server, ticket, arrived, node } => {
                    self.end(time, server, ticket);
                    self.latencies.push((arrived, time - arrived));
                    let ticket = self.tickets[ticket];
                    let (fleet, ..) = &mut self.fleets[node];
                    fleet.on_attempt_ended(moment(time), ticket, AttemptOutcome::Answered);
                }
            }
        }
    }

    fn request(&mut self, time: u64, arrived: u64, node: usize, is_retry: bool) {
        if time > arrived + DEADLINE {
            self.lost.push(arrived);
            return;
        }
        let is_spared = |(_, from, until): &&(usize, u64, u64)| (*from..*until).contains(&time);
        let (fleet, service, class) = &mut self.fleets[node];
        let key_of = |fleet: &ServerFleet, server: usize| -> Option<ServerKey> {
            let hash = xxhash_rust::xxh3::xxh3_64(format!("s-{server}").as_bytes()) as u32;
            fleet.find_servers_by_hash(&[hash])?.1.first().copied()
        };
        let spared = self.spared.iter().filter(is_spared);
        let excluded: Vec<_> = spared.filter_map(|(server, ..)| key_of(fleet, *server)).collect();
        let scope = PickScope { excluded: &excluded, ..Default::default() };
        let Some(key) = fleet.pick(moment(time), *service, *class, scope) else {
            self.push(time + POLL, Event::Request { arrived, node, is_retry });
            return;
        };
        let id = fleet.endpoint(key).expect("a server").entry.id;
        let server: usize = id[2..].parse().expect("a number");
        let kind = if is_retry { AttemptKind::Extra } else { AttemptKind::First };
        let ticket = fleet.on_attempt_sent(moment(time), key, *class, kind);
        let state = &mut self.servers[server];
        if state.running >= SLOTS && state.waiting.len() >= MAX_WAITING {
            fleet.on_attempt_ended(moment(time + 1), ticket, AttemptOutcome::NotRun);
            if is_retry {
                self.lost.push(arrived);
            } else {
                self.push(time + POLL, Event::Request { arrived, node, is_retry: true });
            }
            return;
        }
        self.tickets.push(ticket);
        state.waiting.push((self.tickets.len() - 1, arrived, node));
        self.start_next(time, server);
    }

    fn end(&mut self, time: u64, server: usize, _ticket: usize) {
        self.servers[server].running -= 1;
        self.start_next(time, server);
    }

    fn start_next(&mut self, time: u64, server: usize) {
        let jitter = self.random() % 100;
        let state = &mut self.servers[server];
        if state.running >= SLOTS || state.waiting.is_empty() {
            return;
        }
        let (ticket, arrived, node) = state.waiting.remove(0);
        state.running += 1;
        state.ran.push(time);
        let (from, until, factor) = state.slow;
        let factor = if (from..until).contains(&time) { factor } else { 1 };
        let work = self.work * factor * (60 + jitter) / 110;
        self.push(time + work, Event::End { server, ticket, arrived, node });
    }

    fn outcome(&self, from_ms: u64, until_ms: u64, later_ms: u64) -> Outcome {
        let is_inside = |arrived: u64| (from_ms * 1_000..until_ms * 1_000).contains(&arrived);
        let inside = self.latencies.iter().filter(|(arrived, _)| is_inside(*arrived));
        let latencies: Vec<_> = inside.map(|(_, latency)| *latency as f64 / 1e3).collect();
        let lost = self.lost.iter().filter(|arrived| is_inside(**arrived)).count();
        let on_time = latencies.iter().filter(|latency| **latency <= OBJECTIVE_MS).count() as f64;
        let late = latencies.len() as f64 - on_time;
        let worth = (on_time + LATE_WORTH * late) / (latencies.len() + lost) as f64;
        let ran = self.ran(0, from_ms, until_ms) as f64;
        let ran_later = self.ran(0, later_ms, later_ms + 4_000) as f64;
        Outcome { worth, lost: lost as f64, ran, ran_later }
    }

    fn ran(&self, server: usize, from_ms: u64, until_ms: u64) -> usize {
        let inside = |time: &&u64| (from_ms * 1_000..until_ms * 1_000).contains(*time);
        self.servers[server].ran.iter().filter(inside).count()
    }
}

fn server_entry(server: usize, cold_ms: u64, born: u64) -> ServerEntry {
    let mut entry = entry(&format!("s-{server}"), "s", "a");
    entry.cold_left = std::time::Duration::from_millis(cold_ms);
    entry.born_ms = Some(born);
    entry
}

const AT_ONCE: PaceRule = PaceRule { initial_share: 1.0 };

/// How servers that have just started are treated.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Treatment {
    Paced,
    AtOnce,
    Idle,
}

impl Treatment {
    fn rule(self) -> PaceRule {
        if self == Self::AtOnce { AT_ONCE } else { PaceRule::default() }
    }
}

/// Plays servers of which some start again, one after another, and are slow for 3 s.
fn play_restarts(
    servers: usize,
    restarts_ms: &[u64],
    rate: u64,
    is_stated: bool,
    treatment: Treatment,
    seed: u64,
) -> Play {
    const COLD_MS: u64 = 3_000;
    let mut play = Play::new(servers, 20, treatment.rule(), seed);
    let mut from = 0;
    for (server, start_ms) in restarts_ms.iter().enumerate() {
        play.run(from, *start_ms, rate);
        from = *start_ms;
        play.restart(start_ms * 1_000, server, COLD_MS, 4, is_stated);
        if treatment == Treatment::Idle {
            play.spared.push((server, start_ms * 1_000, (start_ms + COLD_MS) * 1_000));
        }
    }
    play.run(from, from + 10_000, rate);
    play
}

const SEEDS: [u64; 6] = [7, 11, 13, 17, 19, 23];

/// Plays restarts with each treatment and several seeds; returns the mean outcome of
/// requests that arrived within a time.
fn mean_outcomes(
    (servers, restarts_ms, rate, is_stated): (usize, &[u64], u64, bool),
    (from_ms, until_ms, later_ms): (u64, u64, u64),
) -> [Outcome; 3] {
    [Treatment::Paced, Treatment::AtOnce, Treatment::Idle].map(|treatment| {
        let mut mean = Outcome { worth: 0.0, lost: 0.0, ran: 0.0, ran_later: 0.0 };
        for seed in SEEDS {
            let play = play_restarts(servers, restarts_ms, rate, is_stated, treatment, seed);
            let outcome = play.outcome(from_ms, until_ms, later_ms);
            mean.worth += outcome.worth / SEEDS.len() as f64;
            mean.lost += outcome.lost / SEEDS.len() as f64;
            mean.ran += outcome.ran / SEEDS.len() as f64;
            mean.ran_later += outcome.ran_later / SEEDS.len() as f64;
        }
        mean
    })
}

/// Greatest loss of worth against the better of the two extremes, which no node can know
/// beforehand.
const MAX_REGRET: f64 = 0.03;

#[test]
fn a_cold_server_is_neither_flooded_nor_idle() {
    // The others have room for all requests, are nearly full, or have too little room.
    for (rate, is_stated) in
        [(150, true), (150, false), (190, true), (190, false), (220, true), (220, false)]
    {
        let play = (3, &[8_000][..], rate, is_stated);
        let outcomes = mean_outcomes(play, (8_000, 11_000, 14_000));
        let [paced, at_once, idle] = outcomes;
        let what = format!("rate {rate}, stated {is_stated}: {outcomes:?}");
        assert!(paced.worth >= at_once.worth + 0.04, "{what}");
        assert!(paced.worth >= idle.worth - MAX_REGRET, "{what}");
        assert!(paced.lost <= idle.lost, "{what}");
        assert!(paced.ran >= 15.0 && paced.ran <= 0.8 * at_once.ran, "{what}");
        // Once it is warm, it gets as much as if it had never been spared.
        assert!(paced.ran_later >= 0.8 * at_once.ran_later, "{what}");
        assert!(paced.ran_later <= 1.3 * at_once.ran_later, "{what}");
    }
}

#[test]
fn a_quarter_of_a_zone_restarts_one_server_after_another() {
    let play = (12, &[6_000, 8_000, 10_000][..], 900, true);
    let outcomes = mean_outcomes(play, (6_000, 13_000, 16_000));
    let [paced, at_once, idle] = outcomes;
    // Of what a full share at once costs callers, at least half is saved.
    assert!(1.0 - paced.worth <= (1.0 - at_once.worth) / 2.0, "{outcomes:?}");
    assert!(paced.worth >= idle.worth - 0.01, "{outcomes:?}");
    // One in 500 of all requests.
    assert!(paced.lost <= 12.6, "{outcomes:?}");
    assert!(paced.ran_later >= 0.7 * at_once.ran_later, "{outcomes:?}");
}

#[test]
fn a_server_that_was_slow_gets_its_share_again_and_one_that_stays_slow_does_not() {
    for (slow_ms, expected) in [(4_000, 0.2..0.5), (60_000, 0.0..0.12)] {
        let mut play = Play::new(3, 20, PaceRule::default(), 7);
        play.run(0, 6_000, 150);
        play.servers[0].slow = (6_000_000, (6_000 + slow_ms) * 1_000, 6);
        play.run(6_000, 32_000, 150);
        let share = play.ran(0, 24_000, 32_000) as f64 / 1_200.0;
        assert!(expected.contains(&share), "slow for {slow_ms} ms: {share}");
    }
}

#[test]
fn servers_of_a_shard_that_start_together_have_no_ramp() {
    let (mut fleet, _) = fleet(1, &["a", "b"], LIMITS);
    for zone in ["a", "b", "c"] {
        let new = ServerEntry {
            cold_left: Duration::from_millis(3_000),
            ..entry(&format!("new-{zone}"), "new-shard", zone)
        };
        fleet.apply(at(20_000), &DirectoryChange::Changed(new));
    }
    assert_eq!(fleet.paced_servers(at(20_001)), 0, "none of them can spare another");
    let late =
        ServerEntry { cold_left: Duration::from_millis(3_000), ..entry("late", "new-shard", "c") };
    fleet.apply(at(30_000), &DirectoryChange::Changed(late));
    assert_eq!(fleet.paced_servers(at(30_001)), 1);
}

#[test]
fn connections_that_fail_say_nothing_of_the_pace() {
    let (mut fleet, services) = fleet(1, &["b"], LIMITS);
    let class = class(&mut fleet);
    let known = fleet.pick(at(19_000), services[0], class, PickScope::default());
    let known = [known.expect("a server")];
    fleet.apply(at(20_000), &DirectoryChange::Changed(entry("new", "shard-0", "a")));
    let scope = PickScope { excluded: &known, ..PickScope::default() };
    let new = fleet.pick(at(20_000), services[0], class, scope).expect("another server");
    for millis in 20_001..20_006 {
        let ticket = fleet.on_attempt_sent(at(millis), new, class, AttemptKind::First);
        fleet.on_attempt_ended(at(millis), ticket, AttemptOutcome::Unsent);
    }
    assert_eq!(fleet.take_pace_events(), [], "the links of this node may be lost");
    assert_eq!(fleet.paced_servers(at(20_006)), 1);
}
