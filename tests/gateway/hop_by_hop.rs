//! Messages whose `Connection` lists fields that are meant for the final receiver.
//!
//! Guards against a client that takes away what servers are told of its requests, and against a
//! server that takes away what the client needs, by naming a field as a hop-by-hop one.

use carobstep_bench::HttpCall;
use serde_json::json;

use crate::{
    Fixture,
    accounts::{ACCOUNT, configure, executed, with_accounts},
    backend::{ServerFault, header_value},
    fixture, get,
    node::{GatewayNode, eventually},
    post,
    relay::{LinkFault, LinkRelay},
    server_entry,
};

/// Values of `Connection`, together with the names that a client must not take away.
const LISTS: [&str; 4] = [
    "keep-alive, X-Carobstep-Tenant",
    "X-Carobstep-Request-Id, x-carobstep-tenant, Host, X-Carobstep-Deadline-Ms",
    "close, X-CAROBSTEP-TENANT , X-Carobstep-Expect-Instance,, Authorization",
    "Content-Length, Host, X-Carobstep-Request-Id",
];

/// Way of a request to its servers.
#[derive(Clone, Copy, Debug, strum::EnumIter)]
enum RequestWay {
    /// The node calls a server.
    Direct,
    /// The same for a request that may run once only.
    AtMostOnce,
    /// The route needs no key.
    Public,
    /// The first server refuses.
    TriedAgain,
    /// The node calls the servers of all shards.
    Search,
    /// Another node does.
    DelegatedSearch,
    /// The node has lost its links to the servers, and another one calls them.
    Relayed,
}

/// Checks that the servers that ran a request were told what they need to know of it.
fn assert_told(fixture: &Fixture, host: &str, id: &str, what: &str) {
    let is_own = |head: &&String| head.contains(&format!("{id}\r\n"));
    let heads = executed(fixture);
    let own: Vec<_> = heads.iter().filter(is_own).collect();
    assert!(!own.is_empty(), "{what}: no server was told the id");
    for head in own {
        let value = |name: &str| header_value(head, name);
        assert_eq!(value(ACCOUNT).as_deref(), Some("one"), "{what}: {head}");
        assert_eq!(head.to_ascii_lowercase().matches(ACCOUNT).count(), 1, "{what}: {head}");
        assert_eq!(value("x-carobstep-request-id").as_deref(), Some(id), "{what}: {head}");
        assert_eq!(value("host").as_deref(), Some(host), "{what}: {head}");
        assert!(value("x-carobstep-deadline-ms").is_some(), "{what}: {head}");
        assert!(value("x-carobstep-expect-instance").is_some(), "{what}: {head}");
        assert!(!head.contains("secret") && !head.contains("forged"), "{what}: {head}");
        let body_bytes = if head.starts_with("POST") { Some("11".to_owned()) } else { None };
        assert_eq!(value("content-length"), body_bytes, "{what}: {head}");
    }
}

#[tokio::test]
async fn a_client_that_lists_fields_in_connection_takes_nothing_from_servers() {
    use strum::IntoEnumIterator;

    let fixture = fixture().await;
    let accounts = json!([{ "name": "one", "api_keys": ["secret-1"] }]);
    configure(&fixture, with_accounts(2, accounts)).await;
    let delegator = GatewayNode::start("front-b-1", "b", fixture.store.address);
    delegator.wait_ready().await;
    // The links of one node to the servers of a service lead through relays.
    let mut links = Vec::new();
    for server in &fixture.single {
        let link = LinkRelay::start(server.address).await;
        let mut entry = server_entry(server, "single", "a", "ready");
        entry["addr"] = link.address.to_string().into();
        fixture.store.put("servers", &server.id, entry);
        links.push(link);
    }
    for node in [&fixture.node, &delegator] {
        eventually("the nodes know each other", async || {
            node.metric("carobstep_nodes").await == 2.0
        })
        .await;
    }
    for way in RequestWay::iter() {
        fixture.single[0].set_fault(match way {
            RequestWay::TriedAgain => ServerFault::Shed,
            _ => ServerFault::None,
        });
        let is_relayed = matches!(way, RequestWay::Relayed);
        let fault = if is_relayed { LinkFault::Reset } else { LinkFault::None };
        links.iter().for_each(|link| link.set_fault_of(fixture.node.process(), fault));
        eventually("the node finds a way to the servers", async || {
            let call = get("/fetch/", "warm").header("authorization", "Token secret-1");
            fixture.node.request(&call).await.status == 200
        })
        .await;
        for (number, list) in LISTS.into_iter().enumerate() {
            let what = format!("{way:?}, {list:?}");
            for attempt in 0..3 {
                let id = format!("id-{way:?}-{number}-{attempt}");
                let (node, call): (_, HttpCall) = match way {
                    RequestWay::Direct | RequestWay::TriedAgain | RequestWay::Relayed => {
                        (&fixture.node, get("/fetch/", &id))
                    }
                    RequestWay::AtMostOnce => (&fixture.node, post("/order/", &id)),
                    RequestWay::Public => (&fixture.node, get("/public/", &id)),
                    RequestWay::Search => (&fixture.node, get("/search/", &id)),
                    RequestWay::DelegatedSearch => (&delegator, get("/search/", &id)),
                };
                let call = call.header("authorization", "Token secret-1");
                let call = call.header(ACCOUNT, "forged").header("connection", list);
                let mut status = node.request(&call).await.status;
                // A node that tries its links again may fail once more.
                for _ in 0..10 {
                    if is_relayed && status != 200 {
                        status = node.request(&call).await.status;
                    }
                }
                assert_eq!(status, 200, "{what}");
                assert_told(&fixture, &node.callers.to_string(), &id, &what);
            }
        }
    }
    let delegated = "carobstep_delegations_total{end=\"answered\"}";
    for node in [&fixture.node, &delegator] {
        assert!(node.metric(delegated).await > 0.0, "nothing was delegated");
    }
}

#[tokio::test]
async fn a_server_that_lists_fields_in_connection_takes_nothing_from_clients() {
    let fixture = fixture().await;
    for list in ["X-Carobstep-Server-Stamp", "x-carobstep-request-id, X-CAROBSTEP-SERVER-STAMP"] {
        for server in fixture.single.iter().chain(&fixture.shards) {
            server.set_fault(ServerFault::Connection(list));
        }
        for number in 0..4 {
            let id = format!("id-{number}-{}", list.len());
            for call in [get("/fetch/", &id), post("/order/", &id)] {
                let response = fixture.node.request(&call).await;
                assert_eq!(response.status, 200, "{list}");
                let stamp = &response.headers["x-carobstep-server-stamp"];
                assert!(stamp.to_str().expect("text").starts_with("stamp-i-single"), "{list}");
                assert_eq!(response.headers["x-carobstep-request-id"], id.as_str(), "{list}");
                assert!(!response.headers.contains_key("connection"), "{list}");
            }
            let response = fixture.node.request(&get("/search/", &id)).await;
            assert_eq!(response.headers["x-carobstep-missing-parts"], "0", "{list}");
        }
    }
}
