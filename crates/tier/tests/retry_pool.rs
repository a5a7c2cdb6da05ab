//! Retry budgets that the nodes of an availability zone share by demand.
//!
//! The load: many nodes with small searches hand their shards to a few fast nodes, whose
//! servers turn away most of what they get. An equal share of the budget for each node leaves
//! those few without retries while nearly all of it stays unused.

use std::{sync::Arc, time::Duration};

use carobstep_clock::BootTime;
use carobstep_tier::{ExtraPool, FleetLimits, ServerFleet, ServiceKey, ShareLedger, SharedSubject};

const WINDOW: Duration = Duration::from_secs(10);

const fn at(millis: u64) -> BootTime {
    BootTime::from_millis(100_000 + millis)
}

/// Nodes of one fleet, and the retries that the servers of one shard cause.
struct PoolCase {
    label: &'static str,
    zones: usize,
    /// Nodes in each zone, of which `callers` call the servers.
    nodes: u32,
    callers: u32,
    slack: f64,
    /// First requests per second of the whole fleet.
    requests: u64,
    /// When the owner of each zone is replaced by a node that knows nothing of the tokens
    /// before, in milliseconds.
    owner_lost_at: Option<u64>,
    /// Least share of the allowed retries that is sent in the first window.
    min_used: f64,
}

/// Plays 30 s in which every first request would need two retries; each waits up to 300 ms
/// for the budget, while it can be expected to pay. Returns the times of the retries that
/// were sent.
fn play(case: &PoolCase) -> Vec<u64> {
    let nodes = case.nodes * case.zones as u32;
    let limits = FleetLimits { retry_ratio: 0.2, retry_slack: case.slack, nodes };
    let pool = limits.extra_pool(Some(WINDOW), case.zones);
    let service_name: Arc<str> = Arc::from("shard-0");
    let subject = SharedSubject::ExtraRequests(service_name.clone());
    let mut sent = Vec::new();
    for zone in 0..case.zones as u64 {
        let mut callers: Vec<(ServerFleet, ServiceKey)> = Vec::new();
        // Caller and deadline of the retries that wait for the budget.
        let mut waiting: Vec<(usize, BootTime)> = Vec::new();
        for number in 0..case.callers {
            let seed = zone * 1_000 + u64::from(number);
            let mut fleet = ServerFleet::new(Arc::from("a"), limits).with_seed(seed);
            fleet.set_extra_pool(pool);
            let service = fleet.get_or_insert_service(at(0), &service_name);
            callers.push((fleet, service));
        }
        let mut ledger = ShareLedger::default();
        let interval = 1_000 * case.zones as u64 / case.requests;
        for millis in 0..30_000u64 {
            if case.owner_lost_at == Some(millis) {
                ledger = ShareLedger::default();
            }
            if millis.is_multiple_of(interval) {
                let position = (millis / interval) as usize % callers.len();
                let (fleet, service) = &mut callers[position];
                fleet.earn_extra(at(millis), *service, 1.0);
                waiting.extend([(position, at(millis + 300)); 2]);
            }
            if millis.is_multiple_of(3) {
                waiting.retain(|(position, deadline)| {
                    let (fleet, service) = &mut callers[*position];
                    if fleet.try_take_extra(at(millis), *service) {
                        sent.push(millis);
                        return false;
                    }
                    fleet.expects_extra(at(millis), *service, *deadline)
                });
            }
            let Some(terms) =
                pool.as_ref().map(|pool: &ExtraPool| pool.terms(at(millis), at(millis) - WINDOW))
            else {
                continue;
            };
            // A call to the owner takes a few milliseconds.
            if !millis.is_multiple_of(5) {
                continue;
            }
            for (fleet, _) in &mut callers {
                for (name, tokens) in fleet.extra_asks(at(millis)) {
                    let granted = ledger.grant(at(millis), &subject, terms, 1.0, tokens);
                    fleet.add_extra_tokens(at(millis + 3), at(millis), &name, (tokens, granted));
                }
            }
        }
    }
    sent.sort_unstable();
    sent
}

#[test]
fn a_few_nodes_that_call_the_servers_use_the_budget_of_all() {
    let cases = [
        PoolCase {
            label: "two of 21 nodes of each zone call the servers",
            zones: 3,
            nodes: 21,
            callers: 2,
            slack: 168.0,
            requests: 40,
            owner_lost_at: None,
            min_used: 0.5,
        },
        PoolCase {
            label: "all nodes call them, and the owners are lost",
            zones: 3,
            nodes: 29,
            callers: 29,
            slack: 216.0,
            requests: 42,
            owner_lost_at: Some(4_000),
            min_used: 0.5,
        },
        PoolCase {
            label: "two of 59 nodes in five zones, and the owners are lost",
            zones: 5,
            nodes: 59,
            callers: 2,
            slack: 630.0,
            requests: 50,
            owner_lost_at: Some(9_000),
            min_used: 0.4,
        },
    ];
    for case in cases {
        let label = case.label;
        let window = WINDOW.as_millis() as u64;
        let allowed = case.slack + 0.2 * (case.requests * 10) as f64;
        let sent = play(&case);
        for (position, start) in sent.iter().enumerate() {
            let in_window = sent[position..].iter().take_while(|it| **it < start + window).count();
            assert!(in_window as f64 <= allowed, "{label}: {in_window} of {allowed}");
        }
        let used = sent.iter().take_while(|millis| **millis < window).count() as f64;
        let wanted = (case.requests * 20) as f64;
        let least = case.min_used * allowed.min(wanted);
        assert!(used >= least, "{label}: {used} of {allowed}");
    }
}

#[test]
fn a_budget_that_gives_each_node_several_retries_is_divided_equally() {
    let limits = FleetLimits { retry_ratio: 0.2, retry_slack: 52.0, nodes: 6 };
    assert_eq!(limits.extra_pool(Some(WINDOW), 3), None);
    let limits = FleetLimits { nodes: 60, ..limits };
    assert_eq!(limits.extra_pool(None, 3), None, "the window is not stated");
    assert!(limits.extra_pool(Some(WINDOW), 3).is_some());
}
