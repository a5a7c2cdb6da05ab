//! Entries of another writer among those of the servers and nodes.

use std::time::{Duration, Instant};

use serde_json::{Value, json};
use tokio::time::sleep;

use super::{
    Fixture,
    backend::StandinServer,
    fixture, get,
    node::{GatewayNode, eventually},
    server_entry,
};

/// Time within which a change of the servers is in force.
const DRAIN_TIME: Duration = Duration::from_secs(3);

/// Number of odd entries that are written at once.
const MANY: usize = 300;

/// Returns odd forms of the entry of a server.
fn odd_forms(entry: &Value) -> Vec<Value> {
    let with = |field: &str, value: Value| {
        let mut odd = entry.clone();
        odd[field] = value;
        odd
    };
    let nested = (0..200).fold(json!(1), |inner, _| json!([inner]));
    vec![
        with("addr", json!("127.0.0.1:70000")),
        with("addr", nested.clone()),
        with("addr", json!(7)),
        with("slots", json!(1e30)),
        with("slots", json!(-1)),
        with("seq", json!(u64::MAX)),
        with("born", json!(u64::MAX)),
        with("cold_left_ms", json!("soon")),
        with("state", json!("asleep")),
        with("service", json!(null)),
        with("zone", nested.clone()),
        json!([]),
        json!(null),
        nested,
    ]
}

async fn drain(fixture: &Fixture, server: &StandinServer, nodes: &[&GatewayNode]) {
    fixture.store.put("servers", &server.id, server_entry(server, "single", "a", "draining"));
    sleep(DRAIN_TIME).await;
    let before = server.executed().len();
    for node in nodes {
        for number in 0..6 {
            let response = node.request(&get("/fetch/", &format!("late-{number}"))).await;
            assert_eq!(response.status, 200);
        }
    }
    assert_eq!(server.executed().len(), before, "{} is used after it drained", server.id);
}

/// Guards against a server in use whose entry another writer spoils for a while: the report
/// that it is leaving must count afterwards, at nodes that saw the odd entry in a watch, in a
/// list or from a peer.
#[tokio::test]
async fn a_server_whose_entry_turned_odd_and_back_can_leave() {
    let fixture = fixture().await;
    let [odd, staying] = &fixture.single[..] else { panic!("two servers") };
    let sound = server_entry(odd, "single", "a", "ready");
    for form in odd_forms(&sound) {
        fixture.store.put("servers", &odd.id, form);
    }
    // A node that starts lists the odd entry.
    let second = GatewayNode::start("front-a-2", "a", fixture.store.address);
    second.wait_ready().await;
    fixture.store.compact();
    for node in [&fixture.node, &second] {
        let response = node.request(&get("/fetch/", "during")).await;
        assert_eq!(response.status, 200);
    }
    let mut back = sound;
    back["seq"] = json!(2);
    fixture.store.put("servers", &odd.id, back);
    for node in [&fixture.node, &second] {
        let before = odd.executed().len();
        eventually("the server is used again", async || {
            node.request(&get("/fetch/", "back")).await;
            odd.executed().len() > before
        })
        .await;
    }
    let mut leaving = server_entry(odd, "single", "a", "draining");
    leaving["seq"] = json!(3);
    fixture.store.put("servers", &odd.id, leaving);
    sleep(DRAIN_TIME).await;
    let before = odd.executed().len();
    for node in [&fixture.node, &second] {
        for number in 0..6 {
            let response = node.request(&get("/fetch/", &format!("late-{number}"))).await;
            assert_eq!(response.status, 200);
        }
    }
    assert_eq!(odd.executed().len(), before, "used after it drained");
    assert!(!staying.executed().is_empty());
}

/// Guards against nodes that stop following the list of servers, or end, because one answer
/// to a watch or a list holds many odd entries.
#[tokio::test]
async fn many_odd_entries_in_one_answer_hide_no_change() {
    let fixture = fixture().await;
    let sound = server_entry(&fixture.single[0], "single", "a", "ready");
    let forms = odd_forms(&sound);
    for kind in ["servers", "carobstep-nodes"] {
        for number in 0..MANY {
            let form = forms[number % forms.len()].clone();
            fixture.store.put(kind, &format!("odd-{number}"), form);
        }
    }
    let start = Instant::now();
    let mut second = GatewayNode::start("front-a-2", "a", fixture.store.address);
    second.wait_ready().await;
    assert!(start.elapsed() < Duration::from_secs(3), "{:?}", start.elapsed());
    drain(&fixture, &fixture.single[0], &[&fixture.node, &second]).await;
    let count = second.metric("carobstep_servers").await;
    assert!(count < 10.0, "{count} servers are known");
    assert!(second.exit_status().is_none());
}
