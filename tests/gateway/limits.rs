//! Limits on the requests that a server takes from all nodes together.
//!
//! Guards against nodes that exceed such a limit together, that leave a part of it unused
//! while callers are refused, and against refusals that come late.

use std::time::{Duration, Instant};

use carobstep_bench::HttpCall;
use tokio::{
    task::JoinSet,
    time::{interval, sleep},
};

use crate::{
    Fixture,
    backend::{ServerFault, StandinServer},
    fixture, get,
    node::{GatewayNode, eventually},
    server_entry,
    store::StoreFault,
};

/// Time after which the limit holds.
const SETTLING_TIME: Duration = Duration::from_secs(2);

/// Time within which all nodes must know what a server said, as in their settings.
const SPREAD_TIME: Duration = Duration::from_secs(3);

/// Number of nodes in a zone of which only some follow the same node.
const FLEET_NODES: usize = 12;

/// Span of time in which requests are counted.
const WINDOW: Duration = Duration::from_secs(4);

/// Duration of the load.
pub(crate) const LOAD_TIME: Duration = Duration::from_secs(8);

/// Most requests that a server with a limit may get in [`WINDOW`].
fn allowed(per_second: f64) -> usize {
    (per_second * 1.5 * WINDOW.as_secs_f64()) as usize + 5
}

/// Returns the most requests that a server got in any [`WINDOW`] after `from`.
fn busiest_window(server: &StandinServer, from: Instant) -> usize {
    let times: Vec<_> =
        server.arrivals().iter().map(|arrival| arrival.at).filter(|at| *at > from).collect();
    let count =
        |start: Instant| times.iter().filter(|at| (start..start + WINDOW).contains(at)).count();
    times.iter().map(|start| count(*start)).max().unwrap_or(0)
}

/// A response that a caller got.
pub(crate) struct CallerOutcome {
    pub(crate) sent: Instant,
    pub(crate) status: u16,
    pub(crate) took: Duration,
    pub(crate) has_retry_after: bool,
}

async fn run_load(nodes: &[&GatewayNode], rates: &[u32]) -> Vec<CallerOutcome> {
    run_calls(nodes, rates, |id| get("/fetch/", id)).await
}

/// Sends requests to the nodes at `rates` requests per second for [`LOAD_TIME`].
pub(crate) async fn run_calls(
    nodes: &[&GatewayNode],
    rates: &[u32],
    call_of: fn(&str) -> HttpCall,
) -> Vec<CallerOutcome> {
    let mut callers = JoinSet::new();
    for (number, (node, rate)) in nodes.iter().zip(rates).enumerate() {
        let (address, rate) = (node.callers, *rate);
        callers.spawn(async move {
            let mut requests = JoinSet::new();
            let mut ticks = interval(Duration::from_secs(1) / rate);
            for request in 0..LOAD_TIME.as_secs() as u32 * rate {
                ticks.tick().await;
                let call = call_of(&format!("id-{number}-{request}"));
                requests.spawn(async move {
                    let sent = Instant::now();
                    let client = carobstep_bench::HttpClient::default();
                    let response = client.send(address, &call).await.expect("a response");
                    CallerOutcome {
                        sent,
                        status: response.status.into(),
                        took: sent.elapsed(),
                        has_retry_after: response.headers.contains_key("retry-after"),
                    }
                });
            }
            requests.join_all().await
        });
    }
    callers.join_all().await.into_iter().flatten().collect()
}

/// Starts two further nodes in other zones, and waits until all know each other.
async fn further_nodes(fixture: &Fixture) -> [GatewayNode; 2] {
    let further = [("front-a-2", "a"), ("front-b-1", "b")]
        .map(|(name, zone)| GatewayNode::start(name, zone, fixture.store.address));
    for node in [&fixture.node].into_iter().chain(&further) {
        node.wait_ready().await;
        eventually("the nodes know each other", async || {
            node.metric("carobstep_nodes").await == 3.0
        })
        .await;
    }
    further
}

#[tokio::test]
async fn nodes_together_keep_the_limit_that_a_server_names() {
    let fixture = fixture().await;
    let further = further_nodes(&fixture).await;
    let [limited, other] = &fixture.single[..] else { panic!("two servers") };
    limited.set_fault(ServerFault::Limited("12.5"));
    // Most nodes prefer the limited server, which is in their zone.
    fixture.store.put("servers", &other.id, server_entry(other, "single", "b", "ready"));
    let started = Instant::now();
    let nodes = [&fixture.node, &further[0], &further[1]];
    let outcomes = run_load(&nodes, &[80, 20, 4]).await;
    let most = busiest_window(limited, started + SETTLING_TIME);
    assert!(most <= allowed(12.5), "{most} requests in 4 s");
    // The other server has capacity for what the limited one does not take.
    let served = outcomes.iter().filter(|outcome| outcome.status == 200).count();
    assert_eq!(served, outcomes.len());
    assert!(most >= 35, "only {most} of 50 requests in 4 s");
}

#[tokio::test]
async fn callers_beyond_the_limits_of_all_servers_are_refused_at_once() {
    let fixture = fixture().await;
    let further = further_nodes(&fixture).await;
    for server in &fixture.single {
        server.set_fault(ServerFault::Limited("10"));
    }
    let started = Instant::now();
    let nodes = [&fixture.node, &further[0], &further[1]];
    let outcomes = run_load(&nodes, &[50, 20, 10]).await;
    for server in &fixture.single {
        let most = busiest_window(server, started + SETTLING_TIME);
        assert!(most <= allowed(10.0), "{most} requests in 4 s");
    }
    let settled: Vec<_> =
        outcomes.iter().filter(|outcome| outcome.sent > started + SETTLING_TIME).collect();
    let served = settled.iter().filter(|outcome| outcome.status == 200).count();
    assert!(served >= 84, "{served} of 120 requests that the servers take");
    for outcome in settled.iter().filter(|outcome| outcome.status != 200) {
        assert_eq!(outcome.status, 503);
        assert!(outcome.has_retry_after);
    }
    let mut waits: Vec<_> =
        settled.iter().filter(|it| it.status == 503).map(|outcome| outcome.took).collect();
    waits.sort();
    let refused_late = waits.iter().filter(|took| **took > Duration::from_millis(100)).count();
    assert!(refused_late * 20 <= waits.len(), "{refused_late} of {} refusals", waits.len());
}

#[tokio::test]
async fn a_limit_is_forgotten_once_the_server_no_longer_names_it() {
    let fixture = fixture().await;
    let further = further_nodes(&fixture).await;
    for server in &fixture.single {
        server.set_fault(ServerFault::Limited("4"));
    }
    let nodes = [&fixture.node, &further[0], &further[1]];
    run_load(&nodes, &[10, 10, 10]).await;
    for server in &fixture.single {
        server.set_fault(ServerFault::None);
    }
    sleep(Duration::from_secs(1)).await;
    run_load(&nodes, &[2, 2, 2]).await;
    let outcomes = run_load(&nodes, &[40, 40, 40]).await;
    let refused = outcomes.iter().filter(|outcome| outcome.status != 200).count();
    assert_eq!(refused, 0);
}

/// Returns how often a node logged that it learned of a limit from a peer.
fn learned_from_peers(node: &GatewayNode) -> usize {
    let is_learned = |line: &serde_json::Value| {
        line["message"] == "server names a request limit" && line["source"] == "peer"
    };
    node.log().iter().filter(|line| is_learned(line)).count()
}

#[tokio::test]
async fn nodes_learn_of_a_limit_and_its_end_from_each_other() {
    let fixture = fixture().await;
    let mut further = further_nodes(&fixture).await;
    let limited = &fixture.shards[0];
    limited.set_fault(ServerFault::Limited("100"));
    fixture.node.request(&get("/search/", "id-1")).await;
    for node in &further {
        eventually("the node learns of the limit", async || learned_from_peers(node) == 1).await;
    }
    // A process that starts knows nothing from before.
    let [restarted, other] = &mut further;
    restarted.kill();
    restarted.restart();
    eventually("the node learns of it again", async || learned_from_peers(restarted) == 2).await;
    limited.set_fault(ServerFault::None);
    eventually("the limit is known to have ended", async || {
        fixture.node.request(&get("/search/", "id-2")).await;
        let ended = "server names no request limit any more";
        [&*restarted, &*other].iter().all(|node| node.log().iter().any(|it| it["message"] == ended))
    })
    .await;
    assert_eq!(learned_from_peers(other), 1);
}

/// Returns the name of the node that a node follows.
fn followed_by(node: &GatewayNode) -> Option<String> {
    let log = node.log();
    let is_change =
        |line: &&serde_json::Value| line["message"] == "learning of the store from a peer";
    log.iter().rfind(is_change).and_then(|line| line["peer"].as_str()).map(str::to_owned)
}

#[tokio::test]
async fn many_nodes_learn_of_a_limit_while_the_store_is_away_and_a_node_is_lost() {
    let fixture = fixture().await;
    let mut nodes = Vec::new();
    for number in 1..=FLEET_NODES {
        nodes.push(GatewayNode::start(&format!("front-b-{number}"), "b", fixture.store.address));
    }
    for node in &nodes {
        node.wait_ready().await;
        eventually("the node knows all others", async || {
            node.metric("carobstep_nodes").await == 1.0 + FLEET_NODES as f64
        })
        .await;
    }
    fixture.store.set_fault(StoreFault::Unavailable);
    for node in &nodes {
        eventually("the data is too old to start from", async || {
            node.metric("carobstep_store_age_milliseconds").await > 4_000.0
        })
        .await;
    }
    // Those that follow the lost node have to follow another one than before.
    let followed: Vec<_> = nodes.iter().filter_map(followed_by).collect();
    let followers =
        |name: &str| followed.iter().filter(|followed| followed.as_str() == name).count();
    let lost = (1..=FLEET_NODES).max_by_key(|number| followers(&format!("front-b-{number}")));
    nodes.remove(lost.expect("a node") - 1).kill();
    fixture.shards[0].set_fault(ServerFault::Limited("100"));
    fixture.node.request(&get("/search/", "id-1")).await;
    fixture.shards[0].set_fault(ServerFault::None);
    let named = Instant::now();
    for node in &nodes {
        eventually("the node learns of the limit", async || {
            node.metric("carobstep_limited_servers").await == 1.0
        })
        .await;
    }
    assert!(named.elapsed() < SPREAD_TIME, "{:?}", named.elapsed());
}

#[tokio::test]
async fn a_limit_is_kept_and_used_while_nodes_are_frozen_in_turn() {
    let fixture = fixture().await;
    let further = further_nodes(&fixture).await;
    for server in &fixture.single {
        server.set_fault(ServerFault::Limited("10"));
    }
    let started = Instant::now();
    let nodes = [&further[1]];
    // One of the two shares out the limits of the servers' zone.
    let freezing = async {
        for node in [&fixture.node, &further[0]] {
            sleep(Duration::from_secs(2)).await;
            node.signal("STOP");
            sleep(Duration::from_millis(1_500)).await;
            node.signal("CONT");
        }
    };
    let (outcomes, ()) = tokio::join!(run_load(&nodes, &[60]), freezing);
    for server in &fixture.single {
        let most = busiest_window(server, started + SETTLING_TIME);
        assert!(most <= allowed(10.0), "{most} requests in 4 s");
    }
    let settled = outcomes.iter().filter(|outcome| outcome.sent > started + SETTLING_TIME);
    let served = settled.filter(|outcome| outcome.status == 200).count();
    assert!(served >= 60, "{served} of 120 requests that the servers take");
}
