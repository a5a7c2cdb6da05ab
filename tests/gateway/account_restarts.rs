//! Limits of client accounts across restarts of nodes.
//!
//! Guards against processes that share out the limit of an account as if nothing had been used
//! before their start, and against accounts that pay for the restarts although they stay within
//! their limits.

use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

use carobstep_bench::{HttpCall, HttpClient};
use serde_json::{Value, json};
use tokio::{
    task::JoinSet,
    time::{interval, sleep},
};
use yare::parameterized;

use crate::{
    backend::{StandinServer, header_value},
    configuration, get,
    node::{GatewayNode, eventually},
    server_entry,
    store::StandinStore,
};

const BOUNDS: &str = "bounds.quota_window_s=5\nbounds.quota_over=0.1\nbounds.quota_slack=20\n";

const WINDOW: Duration = Duration::from_secs(5);

/// Requests of the flooding account in a window: (20 * 5 + 60) * 1.1 + 20.
const ALLOWED: usize = 196;

/// Requests per second of the flooding account, of 20 that it may send.
const FLOOD: u32 = 150;

/// Requests per second of the other account, of 10 that it may send.
const USUAL: u32 = 6;

/// Time from the start of the load to the first fault.
const CALM_TIME: Duration = Duration::from_millis(1_500);

/// Time from a stop to the next one.
const STOP_INTERVAL: Duration = Duration::from_millis(2_500);

const START_DELAY: Duration = Duration::from_secs(1);

const LOAD_TIME: Duration = Duration::from_secs(22);

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum RestartCase {
    None,
    AllKilled,
    KilledInTurn,
    StoppedInTurn,
}

fn with_accounts() -> Value {
    let mut config = configuration(2);
    config["tenants"] = json!([
        { "name": "one", "api_keys": ["secret-1"], "rate_per_s": 20, "burst": 60 },
        { "name": "two", "api_keys": ["secret-2"], "rate_per_s": 10, "burst": 10 },
    ]);
    config
}

fn call(id: &str, key: &str) -> HttpCall {
    get("/fetch/", id).header("authorization", format!("Token {key}"))
}

/// Sends requests to the nodes in turn; one that can't be reached is passed over. Returns when
/// each was sent and its status.
async fn send_load(nodes: Vec<SocketAddr>, rate: u32, key: &'static str) -> Vec<(Instant, u16)> {
    let mut requests = JoinSet::new();
    let mut ticks = interval(Duration::from_secs(1) / rate);
    for number in 0..LOAD_TIME.as_secs() as usize * rate as usize {
        ticks.tick().await;
        let nodes = nodes.clone();
        requests.spawn(async move {
            let (sent, client) = (Instant::now(), HttpClient::default());
            for attempt in 0..nodes.len() {
                let address = nodes[(number + attempt) % nodes.len()];
                let call = call(&format!("{key}-{number}-{attempt}"), key);
                if let Ok(response) = client.send(address, &call).await {
                    return (sent, response.status.into());
                }
            }
            (sent, 0)
        });
    }
    requests.join_all().await
}

async fn restart_nodes(nodes: &mut [GatewayNode; 2], case: RestartCase) {
    sleep(CALM_TIME).await;
    let turns: &[usize] = match case {
        RestartCase::None => return,
        RestartCase::AllKilled => {
            nodes.iter_mut().for_each(GatewayNode::kill);
            sleep(START_DELAY).await;
            nodes.iter_mut().for_each(GatewayNode::restart);
            return;
        }
        RestartCase::KilledInTurn | RestartCase::StoppedInTurn => &[0, 1, 0],
    };
    for turn in turns {
        let node = &mut nodes[*turn];
        let stopped_at = Instant::now();
        if case == RestartCase::KilledInTurn {
            node.kill();
        } else {
            node.signal("TERM");
            node.wait_exit().await;
        }
        sleep(START_DELAY).await;
        node.restart();
        sleep(STOP_INTERVAL.saturating_sub(stopped_at.elapsed())).await;
    }
}

#[parameterized(
    none_are_restarted = { RestartCase::None },
    all_are_killed = { RestartCase::AllKilled },
    they_are_killed_in_turn = { RestartCase::KilledInTurn },
    they_are_stopped_in_turn = { RestartCase::StoppedInTurn },
)]
#[test_macro(tokio::test)]
async fn an_account_does_not_get_its_burst_again_when_nodes_are_restarted(case: RestartCase) {
    let store = StandinStore::start().await;
    let mut servers = Vec::new();
    for number in 0..2u8 {
        let server = StandinServer::start(&format!("i-single-{number}"), b'x' + number).await;
        store.put("servers", &server.id, server_entry(&server, "single", "a", "ready"));
        servers.push(server);
    }
    store.put("config", "main", with_accounts());
    let mut nodes = [("front-a-1", "a"), ("front-b-1", "b")]
        .map(|(name, zone)| GatewayNode::start_with(name, zone, store.address, BOUNDS));
    for node in &nodes {
        node.wait_ready().await;
        eventually("the nodes know each other", async || {
            node.metric("carobstep_nodes").await == 2.0
        })
        .await;
    }
    // The nodes know of a whole window.
    sleep(WINDOW).await;
    let callers: Vec<_> = nodes.iter().map(|node| node.callers).collect();
    let (flood, usual, ()) = tokio::join!(
        send_load(callers.clone(), FLOOD, "secret-1"),
        send_load(callers, USUAL, "secret-2"),
        restart_nodes(&mut nodes, case),
    );
    let mut times: Vec<Instant> = Vec::new();
    for server in &servers {
        for arrival in server.arrivals() {
            let account = header_value(&arrival.head, "x-carobstep-tenant");
            if arrival.executed && account.as_deref() == Some("one") {
                times.push(arrival.at);
            }
        }
    }
    let in_window =
        |start: &Instant| times.iter().filter(|at| (*start..*start + WINDOW).contains(at)).count();
    let most = times.iter().map(in_window).max().unwrap_or_default();
    assert!(most <= ALLOWED, "{most} requests in {WINDOW:?}, {ALLOWED} are allowed");
    // Of what comes in during the load, the flooding account gets most, whatever happens.
    let least = 20 * LOAD_TIME.as_secs() as usize / 2;
    assert!(times.len() >= least, "only {} requests in {LOAD_TIME:?}", times.len());
    let refused = usual.iter().filter(|(_, status)| *status == 429).count();
    println!(
        "{case:?}: {most} at most, {} in all, {refused} of {} refused within the limit",
        times.len(),
        usual.len()
    );
    assert!(refused * 50 <= usual.len(), "{refused} of {} refused within the limit", usual.len());
    assert!(flood.iter().any(|(_, status)| *status == 429));
}
