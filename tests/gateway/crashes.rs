//! Requests that crash the servers that run them.
//!
//! Guards against such a request reaching server after server at all nodes, and against
//! turning away the requests that were only in flight beside it.

use std::time::{Duration, Instant};

use serde_json::Value;
use tokio::{
    task::JoinSet,
    time::{interval, sleep},
};

use crate::{
    Fixture,
    backend::{ServerFault, StandinServer, header_value},
    fixture, get,
    node::{GatewayNode, eventually},
    server_entry,
};

/// Time after the third crash within which all nodes must know of it.
const SPREAD_TIME: Duration = Duration::from_secs(2);

/// Requests that may reach a server after that.
const MAX_LATE_ARRIVALS: usize = 3;

/// Pause between two requests that crash servers.
const CRASH_INTERVAL: Duration = Duration::from_millis(250);

/// Number of requests that crash servers.
const CRASHING_REQUESTS: usize = 24;

/// A request that crashes servers, and callers beside it.
struct CrashCase {
    /// Path of the request that crashes servers.
    path: &'static str,
    /// Path of the callers beside it, or its prefix if each is to have its own.
    beside: &'static str,
    is_popular: bool,
}

/// Starts two further nodes, and a second server for each shard.
async fn cluster() -> (Fixture, [GatewayNode; 2], Vec<(StandinServer, String)>) {
    let fixture = fixture().await;
    let mut servers = Vec::new();
    for server in &fixture.single {
        servers.push((server.clone(), "single".to_owned()));
    }
    for shard in 0..3u8 {
        let service = format!("shard-{shard}");
        let second = StandinServer::start(&format!("i-second-{shard}"), b'a' + shard).await;
        servers.push((fixture.shards[usize::from(shard)].clone(), service.clone()));
        servers.push((second, service));
    }
    for (server, service) in &servers {
        server.set_fault(ServerFault::CrashOnRequest);
        fixture.store.put("servers", &server.id, server_entry(server, service, "a", "ready"));
    }
    let further = [("front-a-2", "a"), ("front-b-1", "b")]
        .map(|(name, zone)| GatewayNode::start(name, zone, fixture.store.address));
    for node in [&fixture.node].into_iter().chain(&further) {
        node.wait_ready().await;
        eventually("the node knows all nodes and servers", async || {
            node.metric("carobstep_nodes").await == 3.0
                && node.metric("carobstep_servers").await == 8.0
        })
        .await;
    }
    (fixture, further, servers)
}

/// Registers each server that has crashed as a new incarnation, for as long as it is polled.
async fn register_restarts(fixture: &Fixture, servers: &[(StandinServer, String)]) {
    let mut known = vec![0; servers.len()];
    loop {
        sleep(Duration::from_millis(20)).await;
        for (position, (server, service)) in servers.iter().enumerate() {
            if known[position] == server.crashes() {
                continue;
            }
            known[position] = server.crashes();
            let mut entry = server_entry(server, service, "a", "ready");
            entry["born"] = Value::from(1_700_000_000_000u64 + known[position] as u64);
            fixture.store.put("servers", &server.id, entry);
        }
    }
}

/// Sends requests to the nodes in turn; returns when each was sent and its status.
async fn run_callers(
    nodes: &[&GatewayNode],
    every: Duration,
    count: usize,
    path: impl Fn(usize) -> String,
) -> Vec<(Instant, u16)> {
    let mut calls = JoinSet::new();
    let mut ticks = interval(every);
    for number in 0..count {
        ticks.tick().await;
        let address = nodes[number % nodes.len()].callers;
        let path = path(number);
        calls.spawn(async move {
            let sent = Instant::now();
            let call = get(&path, &format!("id-{path}-{number}"));
            let response = carobstep_bench::HttpClient::default().send(address, &call).await;
            (sent, response.expect("a response").status.into())
        });
    }
    calls.join_all().await
}

#[tokio::test]
async fn a_request_that_crashed_three_servers_is_sent_no_further() {
    let cases = [
        CrashCase { path: "/fetch/crashing", beside: "/fetch/popular", is_popular: true },
        CrashCase { path: "/fetch/crashing", beside: "/fetch/item-", is_popular: false },
        CrashCase { path: "/search/crashing", beside: "/search/popular", is_popular: true },
        CrashCase { path: "/search/crashing", beside: "/search/item-", is_popular: false },
    ];
    for CrashCase { path, beside, is_popular } in cases {
        let (fixture, further, servers) = cluster().await;
        let nodes = [&fixture.node, &further[0], &further[1]];
        let crashing = run_callers(&nodes, CRASH_INTERVAL, CRASHING_REQUESTS, |_| path.to_owned());
        let beside_path = |number: usize| {
            if is_popular { beside.to_owned() } else { format!("{beside}{number}") }
        };
        let callers = run_callers(&nodes, Duration::from_millis(20), 300, beside_path);
        let (refused, outcomes) = tokio::select! {
            outcomes = async { tokio::join!(crashing, callers) } => outcomes,
            () = register_restarts(&fixture, &servers) => unreachable!("it does not end"),
        };
        let mut arrivals = Vec::new();
        for (server, _) in &servers {
            for arrival in server.arrivals() {
                if arrival.head.contains(path) {
                    arrivals
                        .push((arrival.at, header_value(&arrival.head, "x-carobstep-request-id")));
                }
            }
        }
        arrivals.sort();
        let mut attempts: Vec<_> = arrivals.iter().map(|(_, id)| id).collect();
        attempts.sort();
        attempts.dedup();
        assert!(attempts.len() <= 3 + MAX_LATE_ARRIVALS, "{path}: {} attempts", attempts.len());
        // One attempt of a search reaches several servers.
        let spread = arrivals[2].0 + SPREAD_TIME;
        let mut late: Vec<_> = arrivals.iter().filter(|(at, _)| *at > spread).collect();
        late.dedup_by_key(|(_, id)| id.clone());
        assert!(late.len() <= MAX_LATE_ARRIVALS, "{path}: {} of {}", late.len(), arrivals.len());
        let late_statuses = refused.iter().filter(|(sent, _)| *sent > spread);
        let not_refused = late_statuses.filter(|(_, status)| *status != 503).count();
        assert!(not_refused <= MAX_LATE_ARRIVALS, "{path}: {not_refused} not refused");
        let settled: Vec<_> = outcomes.iter().filter(|(sent, _)| *sent > spread).collect();
        let served = settled.iter().filter(|(_, status)| *status == 200).count();
        assert!(served * 20 >= settled.len() * 19, "{beside}: {served} of {}", settled.len());
    }
}

#[tokio::test]
async fn a_node_that_restarts_does_not_send_a_refused_request() {
    let (fixture, mut further, servers) = cluster().await;
    let crashing = || servers.iter().map(|(server, _)| server.crashes()).sum::<usize>();
    let refused = "carobstep_quarantined_requests";
    fixture.node.request(&get("/search/crashing", "id-first")).await;
    for node in [&fixture.node, &further[0], &further[1]] {
        eventually("the request is refused", async || node.metric(refused).await == 1.0).await;
    }
    let restarted = &mut further[0];
    restarted.kill();
    restarted.restart();
    eventually("the node knows of it again", async || {
        restarted.is_ready().await && restarted.metric(refused).await == 1.0
    })
    .await;
    let before = crashing();
    for number in 0..3 {
        let id = format!("id-{number}");
        let response = restarted.request(&get("/search/crashing", &id)).await;
        assert_eq!(response.status, 503);
        assert!(response.headers.contains_key("retry-after"));
    }
    assert_eq!(crashing(), before);
}

#[tokio::test]
async fn a_request_that_crashed_servers_is_not_forgotten_when_all_nodes_are_killed() {
    let (mut fixture, mut further, servers) = cluster().await;
    let crashing = || servers.iter().map(|(server, _)| server.crashes()).sum::<usize>();
    let refused = "carobstep_quarantined_requests";
    fixture.node.request(&get("/search/crashing", "id-first")).await;
    eventually("the request is stored", async || {
        fixture.store.object_names("carobstep-crashes").len() == 1
    })
    .await;
    fixture.store.put("carobstep-crashes", "0", Value::from("no record"));
    let mut nodes: Vec<_> = [&mut fixture.node].into_iter().chain(&mut further).collect();
    for node in &mut nodes {
        node.kill();
    }
    let before = crashing();
    for node in &mut nodes {
        node.restart();
    }
    for (number, node) in nodes.iter().enumerate() {
        eventually("the node knows of it again", async || {
            node.is_ready().await && node.metric(refused).await == 1.0
        })
        .await;
        let id = format!("id-{number}");
        assert_eq!(node.request(&get("/search/crashing", &id)).await.status, 503);
    }
    assert_eq!(crashing(), before);
}
