//! Limits on servers that are cold, on nodes that share them out.
//!
//! Guards against nodes that together send a cold server more than it tolerates in any
//! second, whichever of them are killed, cut off or restarted, and against nodes that leave
//! most of what it tolerates unused.

mod support;

use std::{sync::Arc, time::Duration};

use carobstep_clock::BootTime;
use carobstep_tier::{
    AttemptKind, AttemptOutcome, ClassKey, ColdAsk, ColdBounds, ColdTerms, Configuration,
    DirectoryChange, OwnerSupport, RequestRate, ServerFleet, ServerIncarnation, ServerKey,
    ServiceConfig, ServiceKey, ShareLedger, SharedSubject, SupportedOwners, ask_interval,
    support_interval,
};
use rand::{RngExt, SeedableRng, rngs::StdRng};
use support::{LIMITS, at, class, entry, fleet, name};

const BOUNDS: ColdBounds = ColdBounds { over: 1.5, slack: 5.0 };

const NODES: usize = 60;

/// Milliseconds after which a call to a node that does not respond fails.
const CALL_TIMEOUT_MS: u64 = 250;

/// One-way delay of a message in milliseconds.
const DELAY_MS: u64 = 2;

/// What happens while the server of zone `a` is cold.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
enum Fault {
    None,
    /// The owner ends at 3 s, the next one at 6 s.
    OwnerKilled,
    /// From 3 s on, the first 20 nodes don't reach the others.
    Cut,
    /// Like [`Fault::Cut`], for 2 s, and again every 4 s.
    CutsThatHeal,
    /// Each 100 ms, a node starts anew and knows nothing.
    Restarts,
    /// The server is warm from 4 to 6 s, and the nodes learn that it is cold again one by one.
    ColdAgain,
    /// Half of the nodes are of the version before: they support no owner and send nothing.
    OldNodes,
}

struct ColdCase {
    fault: Fault,
    rate: f64,
    /// Requests per second of each node.
    demand: f64,
    /// Least part of the rate that is used.
    least_use: f64,
}

struct Node {
    fleet: ServerFleet,
    service: ServiceKey,
    class: ClassKey,
    owners: SupportedOwners,
    /// State as an owner.
    ledger: ShareLedger,
    support: OwnerSupport,
    /// Nodes that did not respond, and until when they count as failed.
    failed: Vec<(usize, u64)>,
}

/// A grant on its way back.
struct Reply {
    arrives: u64,
    node: usize,
    asked: u64,
    ask: ColdAsk,
    /// Tokens, or the owner that did not respond.
    granted: Result<u32, usize>,
}

fn rate_of(per_second: f64) -> RequestRate {
    RequestRate::try_from(per_second).expect("a rate")
}

fn new_node(number: usize, millis: u64, rate: f64, cold_ms: u64) -> Node {
    let (fleet, services) = fleet(1, &["a", "b", "c"], LIMITS);
    let mut fleet = fleet.with_seed(number as u64 + 1).with_cold_bounds(Some(BOUNDS));
    let class = class(&mut fleet);
    let mut configuration = Configuration::default();
    let service = ServiceConfig {
        max_connections: 1000,
        cold_rate: Some(rate_of(rate)),
        ..ServiceConfig::default()
    };
    configuration.services.insert(name("shard-0"), service);
    fleet.configure(at(millis), &configuration);
    let mut server = entry("shard-0-a", "shard-0", "a");
    server.cold_left = Duration::from_millis(cold_ms);
    server.born_ms = Some(2);
    fleet.apply(at(millis), &DirectoryChange::Changed(server));
    Node {
        fleet,
        service: services[0],
        class,
        owners: SupportedOwners::default(),
        ledger: ShareLedger::default(),
        support: OwnerSupport::default(),
        failed: Vec::new(),
    }
}

impl Fault {
    fn is_dead(self, node: usize, millis: u64) -> bool {
        self == Self::OwnerKilled && (node == 0 && millis >= 3_000 || node == 1 && millis >= 6_000)
    }

    fn reaches(self, one: usize, other: usize, millis: u64) -> bool {
        let is_cut = match self {
            Self::Cut => millis >= 3_000,
            Self::CutsThatHeal => millis % 4_000 >= 2_000,
            _ => false,
        };
        !is_cut || (one < 20) == (other < 20)
    }
}

fn owner_of(node: &Node, millis: u64) -> usize {
    let is_failed = |other: &usize| {
        node.failed.iter().any(|(failed, until)| failed == other && millis < *until)
    };
    (0..NODES).find(|other| !is_failed(other)).unwrap_or_default()
}

/// Lets the nodes send requests for ten seconds while the server of zone `a` is cold; returns
/// when it got one, in milliseconds.
fn run(case: &ColdCase) -> Vec<u64> {
    let fault = case.fault;
    let cold_ms = if fault == Fault::ColdAgain { 4_000 } else { 60_000 };
    let mut nodes: Vec<Node> =
        (0..NODES).map(|number| new_node(number, 0, case.rate, cold_ms)).collect();
    let names: Vec<Arc<str>> = (0..NODES).map(|number| name(&format!("node-{number}"))).collect();
    let terms = ColdTerms::new(rate_of(case.rate), BOUNDS);
    let registered = NODES as u32;
    let interval = ask_interval(registered).as_millis() as u64;
    let is_old = |number: usize| fault == Fault::OldNodes && number % 2 == 1;
    let mut rng = StdRng::seed_from_u64(7);
    let mut replies: Vec<Reply> = Vec::new();
    let mut arrivals = Vec::new();
    let mut busy: Vec<(u64, usize, carobstep_tier::AttemptTicket)> = Vec::new();
    for millis in 0..10_000u64 {
        for (_, number, ticket) in busy.extract_if(.., |(ends, ..)| *ends <= millis) {
            nodes[number].fleet.on_attempt_ended(at(millis), ticket, AttemptOutcome::Answered);
        }
        for reply in replies.extract_if(.., |reply| reply.arrives <= millis) {
            let node = &mut nodes[reply.node];
            match reply.granted {
                Ok(tokens) => {
                    node.fleet.add_cold_tokens(at(millis), at(reply.asked), &reply.ask, tokens);
                }
                Err(owner) => node.failed.push((owner, millis + 60_000)),
            }
        }
        if fault == Fault::Restarts && millis % 100 == 50 {
            let number = (millis / 100) as usize % NODES;
            busy.retain(|(_, node, _)| *node != number);
            nodes[number] = new_node(number, millis, case.rate, cold_ms);
        }
        if fault == Fault::CutsThatHeal && millis % 4_000 == 0 {
            nodes.iter_mut().for_each(|node| node.failed.clear());
        }
        for number in 0..NODES {
            if fault.is_dead(number, millis) || is_old(number) {
                continue;
            }
            if fault == Fault::ColdAgain && millis == 6_000 + number as u64 {
                let mut server = entry("shard-0-a", "shard-0", "a");
                server.cold_left = Duration::from_secs(4);
                server.born_ms = Some(2);
                server.report_number = 2;
                nodes[number].fleet.apply(at(millis), &DirectoryChange::Changed(server));
            }
            let node = &mut nodes[number];
            if rng.random_range(0.0..1_000.0) < case.demand {
                let picked = node.fleet.pick(at(millis), node.service, node.class, <_>::default());
                if let Some(server) = picked {
                    let ticket = node.fleet.on_attempt_sent(
                        at(millis),
                        server,
                        node.class,
                        AttemptKind::First,
                    );
                    busy.push((millis + 10, number, ticket));
                    let id = node.fleet.endpoint(server).expect("a server").entry.id;
                    if &*id == "shard-0-a" {
                        arrivals.push(millis);
                    }
                }
            }
            if !(millis + 7 * number as u64).is_multiple_of(interval) {
                continue;
            }
            for ask in node.fleet.cold_asks(at(millis)) {
                let node = &mut nodes[number];
                let owner = owner_of(node, millis);
                let called = node.owners.called_at(&ask.zone);
                let is_due = called
                    .is_none_or(|called| at(millis).since(called) >= support_interval(registered));
                if !(is_due || ask.tokens > 0)
                    || !node.owners.may_call(at(millis), &ask.zone, &names[owner], registered)
                {
                    continue;
                }
                let is_lost = fault.is_dead(owner, millis) || !fault.reaches(number, owner, millis);
                if is_lost {
                    let arrives = millis + CALL_TIMEOUT_MS;
                    replies.push(Reply {
                        arrives,
                        node: number,
                        asked: millis,
                        ask,
                        granted: Err(owner),
                    });
                    continue;
                }
                let now: BootTime = at(millis + DELAY_MS);
                let subject = SharedSubject::ColdServer(ask.server.clone());
                let Node { ledger, support, .. } = &mut nodes[owner];
                support.record(now, &ask.zone, &names[number]);
                let share = support.share(now, &ask.zone, registered);
                let granted = ledger.grant(now, &subject, terms.share, share, ask.tokens);
                let arrives = millis + 2 * DELAY_MS;
                replies.push(Reply {
                    arrives,
                    node: number,
                    asked: millis,
                    ask,
                    granted: Ok(granted),
                });
            }
        }
    }
    // Nodes that don't know yet that the server is cold again count on its old state.
    let is_cold = |at: &u64| fault != Fault::ColdAgain || !(4_000..6_060).contains(at);
    arrivals.into_iter().filter(is_cold).collect()
}

#[test]
fn a_cold_server_gets_no_more_than_it_tolerates_and_uses_its_rate() {
    let cases = [
        ColdCase { fault: Fault::None, rate: 3.0, demand: 10.0, least_use: 0.7 },
        ColdCase { fault: Fault::None, rate: 3.0, demand: 60.0, least_use: 0.7 },
        // Few requests a node: most tokens expire.
        ColdCase { fault: Fault::None, rate: 3.0, demand: 1.5, least_use: 0.5 },
        ColdCase { fault: Fault::None, rate: 30.0, demand: 20.0, least_use: 0.5 },
        ColdCase { fault: Fault::OwnerKilled, rate: 3.0, demand: 20.0, least_use: 0.5 },
        ColdCase { fault: Fault::Cut, rate: 3.0, demand: 20.0, least_use: 0.5 },
        ColdCase { fault: Fault::CutsThatHeal, rate: 3.0, demand: 20.0, least_use: 0.5 },
        ColdCase { fault: Fault::Restarts, rate: 3.0, demand: 20.0, least_use: 0.6 },
        ColdCase { fault: Fault::ColdAgain, rate: 3.0, demand: 20.0, least_use: 0.5 },
        ColdCase { fault: Fault::OldNodes, rate: 3.0, demand: 20.0, least_use: 0.3 },
    ];
    for case in cases {
        let arrivals = run(&case);
        let allowed = case.rate * BOUNDS.over + BOUNDS.slack;
        let in_window = |start: &u64| {
            arrivals.iter().filter(|at| (*start..*start + 1_000).contains(*at)).count()
        };
        let most = arrivals.iter().map(in_window).max().unwrap_or_default();
        let used = arrivals.len() as f64 / (case.rate * 10.0);
        println!("{:?} {}/s: at most {most} of {allowed}, {used:.2}", case.fault, case.rate);
        assert!(most as f64 <= allowed, "{:?}: {most} of {allowed}", case.fault);
        assert!(used >= case.least_use, "{:?}: {used}", case.fault);
    }
}

/// The rate of a cold limit, with the tolerance, and the requests of a second it allows.
struct TermsCase {
    rate: f64,
    bounds: ColdBounds,
}

#[test]
fn tokens_of_two_owners_stay_within_the_tolerance() {
    let cases = [
        TermsCase { rate: 0.5, bounds: BOUNDS },
        TermsCase { rate: 3.0, bounds: BOUNDS },
        TermsCase { rate: 400.0, bounds: BOUNDS },
        TermsCase { rate: 3.0, bounds: ColdBounds { over: 1.0, slack: 0.0 } },
        TermsCase { rate: 1.0, bounds: ColdBounds { over: 1.0, slack: 0.0 } },
        TermsCase { rate: 50.0, bounds: ColdBounds { over: 1.0, slack: 1.0 } },
    ];
    for TermsCase { rate, bounds } in cases {
        let ColdTerms { share, lifetime } = ColdTerms::new(rate_of(rate), bounds);
        let allowed = rate * bounds.over + bounds.slack;
        // Without any income, no token comes in.
        let saved = if share.per_second > 0.0 { 2.0 * share.depth } else { 0.0 };
        let most = 1.34 * share.per_second * (1.0 + lifetime.as_secs_f64()) + saved;
        assert!(most <= allowed + 1e-9, "{most} of {allowed} at {rate} a second");
        assert!(share.per_second <= rate);
    }
}

/// Returns the server of zone `a` if one of some requests is sent to it.
fn picked(node: &mut Node, millis: u64) -> Option<ServerKey> {
    (0..20).find_map(|_| {
        let key = node.fleet.pick(at(millis), node.service, node.class, <_>::default())?;
        let endpoint = node.fleet.endpoint(key).expect("a server");
        (&*endpoint.entry.id == "shard-0-a").then_some(key)
    })
}

#[test]
fn a_server_that_is_cold_again_gets_requests_with_tokens_only() {
    let mut node = new_node(0, 0, 3.0, 1_000);
    assert_eq!(picked(&mut node, 500), None, "cold, and no token is there");
    let key = picked(&mut node, 8_000).expect("a server that is warm");
    node.fleet.record_cold(at(8_000), key, Duration::from_secs(3));
    assert_eq!(picked(&mut node, 8_001), None, "cold again");
    let server = ServerIncarnation { id: name("shard-0-a"), born_ms: Some(2) };
    let ask = ColdAsk { server, zone: name("a"), tokens: 1 };
    node.fleet.add_cold_tokens(at(8_004), at(8_002), &ask, 1);
    assert_eq!(picked(&mut node, 8_005), Some(key), "a token has come");
    assert_eq!(picked(&mut node, 9_500), None, "it has expired");
    assert_eq!(picked(&mut node, 16_000), Some(key), "warm");
}
