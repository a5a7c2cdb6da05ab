//! Choice among servers that state their load, on the nodes of three zones.
//!
//! Plays servers that pause and that are slow for a while, and checks how many parts of
//! searches are late with the stated load and without it.

mod support;

use std::{cmp::Reverse, collections::BinaryHeap, time::Duration};

use carobstep_clock::BootTime;
use carobstep_tier::{
    AttemptKind, AttemptOutcome, AttemptTicket, ClassKey, FleetLimits, PickScope, ServerFleet,
    ServerLoad, ServiceKey,
};
use rand::{RngExt, SeedableRng, rngs::StdRng};
use support::{LIMITS, at, name};

const ZONES: [&str; 3] = ["a", "b", "c"];
const SLOTS: usize = 2;

/// One-way delay to a server of the own zone and of another one, in microseconds.
const DELAYS: [u64; 2] = [300, 1_400];

const PAUSE_US: u64 = 100_000;
const PAUSE_EVERY_US: u64 = 2_400_000;
const NOISE_US: u64 = 500_000;
const NOISE_SHARE: f64 = 0.03;
const NOISE_FACTOR: f64 = 4.0;

/// Greatest share of parts by which more may be late, or be sent again, by chance.
const MAX_HARM: f64 = 0.002;

/// The two kinds of requests: work, objective and deadline in milliseconds.
const KINDS: [(f64, u64, u64); 2] = [(7.5, 80, 800), (2.5, 40, 400)];

struct LoadCase {
    nodes_per_zone: usize,
    /// Requests per second of each kind at all nodes together.
    rates: [f64; 2],
    seconds: u64,
    shards: usize,
    /// Least part by which the slowest twentieth of the parts gets faster.
    gain: f64,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Arrival(usize),
    Hedge(usize),
    AtServer(usize),
    Ended(usize),
    Response(usize),
}

struct Part {
    node: usize,
    shard: usize,
    kind: usize,
    arrived: u64,
    attempts: Vec<usize>,
    answered: Option<u64>,
}

struct Attempt {
    part: usize,
    server: usize,
    ticket: AttemptTicket,
    load: Option<ServerLoad>,
    is_over: bool,
}

#[derive(Default)]
struct PlayedServer {
    phase: u64,
    speed: f64,
    running: usize,
    waiting: Vec<usize>,
    noisy: Vec<bool>,
}

struct Node {
    fleet: ServerFleet,
    services: Vec<ServiceKey>,
    classes: [ClassKey; 2],
    zone: usize,
}

struct Play {
    nodes: Vec<Node>,
    servers: Vec<PlayedServer>,
    parts: Vec<Part>,
    attempts: Vec<Attempt>,
    events: BinaryHeap<Reverse<(u64, usize, Event)>>,
    count: usize,
    rng: StdRng,
    uses_load: bool,
}

fn moment(micros: u64) -> BootTime {
    at(0) + Duration::from_micros(micros)
}

impl PlayedServer {
    fn factor(&self, time: u64) -> f64 {
        let is_noisy = self.noisy[((time + self.phase) / NOISE_US) as usize];
        if is_noisy { NOISE_FACTOR } else { 1.0 }
    }

    /// Returns when work of this length that starts now ends, with the pauses in it.
    fn end_of(&self, time: u64, work: u64) -> u64 {
        let (mut now, mut left) = (time, work);
        loop {
            let position = (now + self.phase) % PAUSE_EVERY_US;
            if position < PAUSE_US {
                now += PAUSE_US - position;
                continue;
            }
            let until_pause = PAUSE_EVERY_US - position;
            if left <= until_pause {
                return now + left;
            }
            now += until_pause;
            left -= until_pause;
        }
    }
}

impl Play {
    fn new(case: &LoadCase, uses_load: bool, seed: u64) -> Self {
        let mut rng = StdRng::seed_from_u64(seed);
        let count = case.nodes_per_zone * ZONES.len();
        let limits = FleetLimits { nodes: count as u32, ..LIMITS };
        let mut nodes = Vec::new();
        for number in 0..count {
            let zone = number % ZONES.len();
            let mut fleet =
                ServerFleet::new(name(ZONES[zone]), limits).with_seed(number as u64 + 1);
            let services = support::add_servers(&mut fleet, case.shards, &ZONES);
            let classes = KINDS.map(|(_, objective, deadline)| {
                let times = [objective, deadline].map(Duration::from_millis);
                fleet.classes.class_for(times[0], times[1], true)
            });
            nodes.push(Node { fleet, services, classes, zone });
        }
        let slices = (case.seconds * 1_000_000 / NOISE_US + 20) as usize;
        let servers = (0..case.shards * ZONES.len())
            .map(|_| PlayedServer {
                phase: rng.random_range(0..PAUSE_EVERY_US),
                speed: [0.8, 1.0, 1.3][rng.random_range(0..3)],
                noisy: (0..slices).map(|_| rng.random_bool(NOISE_SHARE)).collect(),
                ..PlayedServer::default()
            })
            .collect();
        let events = BinaryHeap::new();
        let (parts, attempts) = (Vec::new(), Vec::new());
        Self { nodes, servers, parts, attempts, events, count: 0, rng, uses_load }
    }

    fn push(&mut self, time: u64, event: Event) {
        self.count += 1;
        self.events.push(Reverse((time, self.count, event)));
    }

    fn run(&mut self, case: &LoadCase) {
        for (kind, rate) in case.rates.into_iter().enumerate() {
            let mut time = 0;
            while time < case.seconds * 1_000_000 {
                let draw: f64 = self.rng.random_range(1e-9..1.0);
                time += (-draw.ln() * 1e6 / rate) as u64;
                let node = self.rng.random_range(0..self.nodes.len());
                for shard in 0..case.shards {
                    let part = Part {
                        node,
                        shard,
                        kind,
                        arrived: time,
                        attempts: Vec::new(),
                        answered: None,
                    };
                    self.parts.push(part);
                    self.push(time, Event::Arrival(self.parts.len() - 1));
                }
            }
        }
        while let Some(Reverse((time, _, event))) = self.events.pop() {
            match event {
                Event::Arrival(part) => self.send(time, part, AttemptKind::First),
                Event::Hedge(part) => self.send(time, part, AttemptKind::Extra),
                Event::AtServer(attempt) => {
                    let server = self.attempts[attempt].server;
                    self.servers[server].waiting.push(attempt);
                    self.start_next(time, server);
                }
                Event::Ended(attempt) => self.end(time, attempt),
                Event::Response(attempt) => self.respond(time, attempt),
            }
        }
    }

    fn send(&mut self, time: u64, position: usize, kind: AttemptKind) {
        let Self { parts, nodes, attempts, .. } = self;
        let part = &mut parts[position];
        let node = &mut nodes[part.node];
        let (service, class) = (node.services[part.shard], node.classes[part.kind]);
        if part.answered.is_some() || time > part.arrived + KINDS[part.kind].2 * 1_000 {
            return;
        }
        if kind == AttemptKind::First {
            node.fleet.earn_extra(moment(time), service, 1.0);
        } else if !node.fleet.try_take_extra(moment(time), service) {
            return;
        }
        let excluded: Vec<_> =
            part.attempts.iter().map(|attempt| attempts[*attempt].ticket.server).collect();
        let scope = PickScope { excluded: &excluded, ..PickScope::default() };
        let Some(key) = node.fleet.pick(moment(time), service, class, scope) else {
            self.push(
                time + 2_000,
                if kind == AttemptKind::First {
                    Event::Arrival(position)
                } else {
                    Event::Hedge(position)
                },
            );
            return;
        };
        let zone = node.fleet.endpoint(key).expect("a server").entry.zone;
        let zone = ZONES.iter().position(|other| *other == &*zone).expect("a zone");
        let server = part.shard * ZONES.len() + zone;
        let ticket = node.fleet.on_attempt_sent(moment(time), key, class, kind);
        attempts.push(Attempt { part: position, server, ticket, load: None, is_over: false });
        part.attempts.push(attempts.len() - 1);
        let hedge_at = time + node.fleet.classes.hedge_delay(class).as_micros() as u64;
        let delay = DELAYS[usize::from(zone != node.zone)];
        let attempt = self.attempts.len() - 1;
        self.push(time + delay, Event::AtServer(attempt));
        if kind == AttemptKind::First {
            self.push(hedge_at, Event::Hedge(position));
        }
    }

    fn start_next(&mut self, time: u64, server: usize) {
        while self.servers[server].running < SLOTS && !self.servers[server].waiting.is_empty() {
            let attempt = self.servers[server].waiting.remove(0);
            let (work, ..) = KINDS[self.parts[self.attempts[attempt].part].kind];
            let state = &mut self.servers[server];
            state.running += 1;
            let work = work * state.speed * state.factor(time) * 1_000.0;
            let end = state.end_of(time, work as u64);
            self.push(end, Event::Ended(attempt));
        }
    }

    fn end(&mut self, time: u64, attempt: usize) {
        let server = self.attempts[attempt].server;
        let state = &mut self.servers[server];
        self.attempts[attempt].load = Some(ServerLoad {
            running: state.running as u32,
            waiting: state.waiting.len() as u32,
            slots: SLOTS as u32,
            work_percent: (state.factor(time) * 100.0) as u32,
        });
        state.running -= 1;
        self.start_next(time, server);
        let zone = self.nodes[self.parts[self.attempts[attempt].part].node].zone;
        let delay = DELAYS[usize::from(server % ZONES.len() != zone)];
        self.push(time + delay, Event::Response(attempt));
    }

    fn respond(&mut self, time: u64, position: usize) {
        let Self { parts, nodes, attempts, uses_load, .. } = self;
        let attempt = &mut attempts[position];
        if attempt.is_over {
            return;
        }
        attempt.is_over = true;
        let (ticket, load) = (attempt.ticket, attempt.load);
        let part = &mut parts[attempt.part];
        let fleet = &mut nodes[part.node].fleet;
        if let Some(load) = load.filter(|_| *uses_load) {
            assert!(fleet.record_load(moment(time), ticket.server, load));
        }
        fleet.on_attempt_ended(moment(time), ticket, AttemptOutcome::Answered);
        part.answered = Some(time);
        for other in &part.attempts {
            let other = &mut attempts[*other];
            if !other.is_over {
                other.is_over = true;
                fleet.on_attempt_ended(moment(time), other.ticket, AttemptOutcome::Cancelled);
            }
        }
    }
}

/// What callers get: shares of late parts by kind, the latency of the slowest twentieth of
/// parts in milliseconds by kind, and the attempts per part in other zones.
#[derive(Clone, Copy, Debug, Default)]
struct Outcome {
    late: [f64; 2],
    slow_ms: [f64; 2],
    abroad: f64,
    extra: f64,
}

fn outcome(case: &LoadCase, uses_load: bool) -> Outcome {
    const SEEDS: [u64; 9] = [7, 11, 13, 17, 19, 23, 29, 31, 37];
    let mut mean = Outcome::default();
    for seed in SEEDS {
        let mut play = Play::new(case, uses_load, seed);
        play.run(case);
        let weight = 1.0 / SEEDS.len() as f64;
        for (kind, (_, objective, deadline)) in KINDS.into_iter().enumerate() {
            let parts =
                play.parts.iter().filter(|part| part.kind == kind && part.arrived > 2_000_000);
            let mut latencies: Vec<_> = parts
                .map(|part| part.answered.map_or(deadline * 1_000, |at| at - part.arrived))
                .collect();
            latencies.sort_unstable();
            let late = latencies.iter().filter(|time| **time > objective * 1_000).count();
            mean.late[kind] += weight * late as f64 / latencies.len() as f64;
            mean.slow_ms[kind] += weight * latencies[latencies.len() * 95 / 100] as f64 / 1e3;
        }
        let is_abroad = |attempt: &&Attempt| {
            attempt.server % ZONES.len() != play.nodes[play.parts[attempt.part].node].zone
        };
        let abroad = play.attempts.iter().filter(is_abroad).count();
        mean.abroad += weight * abroad as f64 / play.parts.len() as f64;
        mean.extra += weight * (play.attempts.len() as f64 / play.parts.len() as f64 - 1.0);
    }
    mean
}

#[test]
fn stated_load_helps_loaded_servers_and_harms_no_others() {
    let cases = [
        LoadCase { nodes_per_zone: 28, rates: [28.9, 16.7], seconds: 30, shards: 4, gain: 0.0 },
        LoadCase { nodes_per_zone: 28, rates: [144.0, 83.0], seconds: 30, shards: 4, gain: 0.05 },
        LoadCase { nodes_per_zone: 28, rates: [230.0, 133.0], seconds: 20, shards: 4, gain: 0.05 },
        LoadCase { nodes_per_zone: 3, rates: [144.0, 83.0], seconds: 30, shards: 4, gain: 0.0 },
        LoadCase { nodes_per_zone: 1, rates: [230.0, 133.0], seconds: 20, shards: 4, gain: 0.0 },
    ];
    for case in cases {
        let (without, with) = (outcome(&case, false), outcome(&case, true));
        let what = format!("{} nodes a zone, {:?} a second", case.nodes_per_zone, case.rates);
        println!("{what}\n  without {without:.4?}\n  with    {with:.4?}");
        for kind in 0..KINDS.len() {
            assert!(with.late[kind] <= without.late[kind] + MAX_HARM, "{what}");
            let most = without.slow_ms[kind] * (1.0 - case.gain) + 0.2;
            assert!(with.slow_ms[kind] <= most, "{what}");
        }
        assert!(with.extra <= without.extra + MAX_HARM, "{what}");
    }
}

/// A statement that contradicts itself, or that no server makes.
#[test]
fn absurd_statements_are_ignored() {
    let cases = [
        ServerLoad { running: 3, waiting: 0, slots: 2, work_percent: 100 },
        ServerLoad { running: 0, waiting: 0, slots: 0, work_percent: 100 },
        ServerLoad { running: 2, waiting: 99_999, slots: 2, work_percent: 100 },
        ServerLoad { running: 2, waiting: 0, slots: 2, work_percent: 0 },
        ServerLoad { running: 2, waiting: 0, slots: 2, work_percent: 99_999 },
    ];
    let (mut node, services) = support::fleet(1, &["a", "b"], LIMITS);
    let service = services[0];
    let class = support::class(&mut node);
    let key = node.pick(at(0), service, class, PickScope::default()).expect("a server");
    assert_eq!(&*node.endpoint(key).expect("a server").entry.zone, "a");
    for load in cases {
        assert!(!node.record_load(at(0), key, load), "{load:?}");
    }
    // They have no effect: the nearest server is still chosen.
    assert_eq!(node.pick(at(1), service, class, PickScope::default()), Some(key));
    let busy = ServerLoad { running: 2, waiting: 30, slots: 2, work_percent: 400 };
    assert!(node.record_load(at(1), key, busy));
    assert_ne!(node.pick(at(2), service, class, PickScope::default()), Some(key));
    // An old statement no longer counts.
    assert_eq!(node.pick(at(2_000), service, class, PickScope::default()), Some(key));
}
