//! Client accounts: keys, what servers learn of them, and quotas over several nodes.

use std::time::Duration;

use carobstep_bench::HttpCall;
use serde_json::{Value, json};

use crate::{
    Fixture,
    backend::{StandinServer, header_value},
    configuration, fixture, get,
    limits::{LOAD_TIME, run_calls},
    node::{GatewayNode, eventually},
};

/// Limits of accounts in the settings: at most `(rate * 4 + burst) * 1.1 + 5` requests in 4 s.
const BOUNDS: &str = "bounds.quota_window_s=4\nbounds.quota_over=0.1\nbounds.quota_slack=5\n";

pub const ACCOUNT: &str = "x-carobstep-tenant";

/// A configuration with client accounts and a public route.
pub fn with_accounts(version: u64, accounts: Value) -> Value {
    let mut configuration = configuration(version);
    let mut public = configuration["routes"][1].clone();
    public["name"] = json!("public");
    public["path_prefix"] = json!("/public/");
    public["public"] = json!(true);
    configuration["routes"].as_array_mut().expect("routes").push(public);
    configuration["tenants"] = accounts;
    configuration
}

fn call(path: &str, id: &str, key: Option<&str>) -> HttpCall {
    // What a client sends as the account's name does not count.
    let call = get(path, id).header(ACCOUNT, "forged");
    match key {
        Some(key) => call.header("authorization", format!("Token {key}")),
        None => call,
    }
}

pub fn executed(fixture: &Fixture) -> Vec<String> {
    fixture.shards.iter().chain(&fixture.single).flat_map(StandinServer::executed).collect()
}

/// Puts a configuration into force on the fixture's node.
pub async fn configure(fixture: &Fixture, configuration: Value) {
    let version = configuration["version"].as_f64().expect("a number");
    fixture.store.put("config", "main", configuration);
    eventually("the configuration is in force", async || {
        fixture.node.metric("carobstep_configuration_version").await == version
    })
    .await;
}

struct AccessCase {
    path: &'static str,
    key: Option<&'static str>,
    status: u16,
    /// Account that servers are told.
    account: Option<&'static str>,
}

const ACCESS_CASES: [AccessCase; 8] = [
    AccessCase { path: "/fetch/", key: Some("secret-1"), status: 200, account: Some("one") },
    AccessCase { path: "/fetch/", key: Some("secret-3"), status: 200, account: Some("two") },
    AccessCase { path: "/search/", key: Some("secret-2"), status: 200, account: Some("one") },
    AccessCase { path: "/fetch/", key: Some("secret-9"), status: 401, account: None },
    AccessCase { path: "/search/", key: None, status: 401, account: None },
    AccessCase { path: "/public/", key: None, status: 200, account: None },
    AccessCase { path: "/public/", key: Some("secret-9"), status: 200, account: None },
    AccessCase { path: "/public/", key: Some("secret-1"), status: 200, account: Some("one") },
];

#[tokio::test]
async fn servers_get_the_account_and_never_the_key() {
    let fixture = fixture().await;
    let accounts = json!([
        { "name": "one", "api_keys": ["secret-1", "secret-2"] },
        { "name": "two", "api_keys": ["secret-3", "secret-1"], "priority": 0 },
    ]);
    configure(&fixture, with_accounts(2, accounts)).await;
    for (number, case) in ACCESS_CASES.iter().enumerate() {
        let before = executed(&fixture).len();
        let AccessCase { path, key, .. } = *case;
        let response = fixture.node.request(&call(path, &format!("id-{number}"), key)).await;
        assert_eq!(response.status, case.status, "{path} {key:?}");
        let heads = executed(&fixture);
        assert_eq!(heads.len() > before, case.status == 200, "{path} {key:?}");
        let id = format!("id-{number}");
        let own = heads
            .iter()
            .filter(|head| header_value(head, "x-carobstep-request-id").as_ref() == Some(&id));
        for head in own {
            assert_eq!(header_value(head, ACCOUNT).as_deref(), case.account, "{path} {key:?}");
        }
    }
    for head in executed(&fixture) {
        assert!(!head.contains("secret") && !head.contains("forged"), "{head}");
    }
    let line = fixture.node.wait_for_log_line("id-3").await;
    assert_eq!(line["verdict"], "unknown_key");
    let log = std::fs::read_to_string(fixture.node.log_path()).expect("a log");
    assert!(!log.contains("secret"), "a key is in the log");
    assert_eq!(log.matches("two client accounts list the same key").count(), 1);
}

#[tokio::test]
async fn a_dropped_key_is_refused_and_does_not_come_back() {
    let mut fixture = fixture().await;
    let listing = |keys: &[&str]| json!([{ "name": "one", "api_keys": keys }]);
    configure(&fixture, with_accounts(2, listing(&["secret-1", "secret-2"]))).await;
    let status = async |fixture: &Fixture, key| {
        fixture.node.request(&call("/fetch/", "id", Some(key))).await.status.as_u16()
    };
    assert_eq!(
        (status(&fixture, "secret-1").await, status(&fixture, "secret-2").await),
        (200, 200)
    );
    configure(&fixture, with_accounts(3, listing(&["secret-2"]))).await;
    assert_eq!(
        (status(&fixture, "secret-1").await, status(&fixture, "secret-2").await),
        (401, 200)
    );
    // An older version does not bring it back, and a new process reads the newest.
    fixture.store.put("config", "main", with_accounts(2, listing(&["secret-1", "secret-2"])));
    eventually("the older version is seen", async || {
        status(&fixture, "secret-1").await == 401 && status(&fixture, "secret-2").await == 200
    })
    .await;
    fixture.store.put("config", "main", with_accounts(3, listing(&["secret-2"])));
    fixture.node.kill();
    fixture.node.restart();
    fixture.node.wait_ready().await;
    assert_eq!(
        (status(&fixture, "secret-1").await, status(&fixture, "secret-2").await),
        (401, 200)
    );
}

/// Three nodes with unequal load: one account floods, another one sends little.
#[tokio::test]
async fn nodes_together_keep_the_limit_of_an_account() {
    let mut fixture = fixture().await;
    fixture.node.kill();
    let started = [("front-a-1", "a"), ("front-a-2", "a"), ("front-b-1", "b")];
    let nodes = started
        .map(|(name, zone)| GatewayNode::start_with(name, zone, fixture.store.address, BOUNDS));
    let accounts = json!([
        { "name": "one", "api_keys": ["secret-1"], "rate_per_s": 8, "burst": 4 },
        { "name": "two", "api_keys": ["secret-2"], "rate_per_s": 3, "burst": 2 },
    ]);
    fixture.store.put("config", "main", with_accounts(2, accounts));
    for node in &nodes {
        node.wait_ready().await;
        eventually("the nodes know each other and the accounts", async || {
            node.metric("carobstep_nodes").await == 3.0
                && node.metric("carobstep_configuration_version").await == 2.0
        })
        .await;
    }
    let nodes = nodes.each_ref();
    let last = [nodes[2]];
    let (flood, small) = tokio::join!(
        run_calls(&nodes, &[30, 12, 4], |id| call("/fetch/", id, Some("secret-1"))),
        run_calls(&last, &[2], |id| call("/fetch/", id, Some("secret-2"))),
    );
    assert!(small.iter().all(|outcome| outcome.status == 200), "within its limit");
    let (served, refused): (Vec<_>, Vec<_>) =
        flood.iter().partition(|outcome| outcome.status == 200);
    let window = Duration::from_secs(4);
    let in_window =
        |start| served.iter().filter(|it| (start..start + window).contains(&it.sent)).count();
    let most = served.iter().map(|outcome| in_window(outcome.sent)).max().unwrap_or(0);
    assert!(most <= 44, "{most} requests in 4 s");
    let least = 8 * LOAD_TIME.as_secs() as usize * 9 / 10;
    assert!(served.len() >= least, "{} requests in {LOAD_TIME:?}", served.len());
    assert!(refused.iter().all(|outcome| outcome.status == 429 && outcome.has_retry_after));
    let mut times: Vec<_> = refused.iter().map(|outcome| outcome.took).collect();
    times.sort();
    let median = times[times.len() / 2];
    assert!(median < Duration::from_millis(50), "{median:?}");
    let counted = "carobstep_account_requests_total{account=\"one\",verdict=\"over_limit\"}";
    let mut sum = 0.0;
    for node in nodes {
        sum += node.metric(counted).await;
        assert_eq!(node.metric("carobstep_client_accounts").await, 2.0);
    }
    assert_eq!(sum, refused.len() as f64);
    let line = nodes[0].log().into_iter().find(|line| line["verdict"] == "over_limit");
    assert_eq!(line.expect("a line")["account"], "one");
}
