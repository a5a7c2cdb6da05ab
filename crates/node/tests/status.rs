//! Checks that the status of a node has exactly the members that docs/API.md
//! documents.

use std::time::Duration;

use carobstep_config::Settings;
use carobstep_node::RunningNode;
use serde_json::{Value, json};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
    time::timeout,
};

const PAGE: &str = include_str!("../../../docs/API.md");

/// Longest wait for a response.
const TIMEOUT: Duration = Duration::from_secs(60);

/// First member of the status that the brief form omits.
const FIRST_DETAIL: &str = "held";

/// Returns the members in the page's status table, in order.
fn documented_members() -> Vec<&'static str> {
    let table = PAGE.split("| status member | meaning |\n").nth(1).expect("the table");
    let rows = table.lines().skip(1).take_while(|line| line.starts_with('|'));
    let mut members = Vec::new();
    for row in rows {
        let cell = row.split('|').nth(1).expect("the first cell");
        members.extend(cell.split(", ").map(|member| member.trim().trim_matches('`')));
    }
    members
}

async fn status(node: &RunningNode, path: &str) -> Value {
    let address = node.addresses().operators;
    let mut socket = TcpStream::connect(address).await.expect("a connection");
    let request = format!("GET {path} HTTP/1.1\r\nhost: n1\r\nconnection: close\r\n\r\n");
    socket.write_all(request.as_bytes()).await.expect("a request");
    let mut response = String::new();
    let reading = timeout(TIMEOUT, socket.read_to_string(&mut response)).await;
    reading.expect("a response in time").expect("a response");
    let (_, body) = response.split_once("\r\n\r\n").expect("a body");
    serde_json::from_str(body).expect("a JSON body")
}

fn members(status: &Value) -> Vec<&str> {
    status.as_object().expect("an object").keys().map(String::as_str).collect()
}

#[tokio::test]
async fn members_are_those_of_the_page() {
    let settings = json!({
        "node": "n1", "region": "perth", "zone": "perth-a",
        "callers": "127.0.0.1:0", "operators": "127.0.0.1:0", "peers": "127.0.0.1:0",
        "platform": "127.0.0.1:9",
        "stop": { "notice_ms": 0, "drain_timeout_ms": 1 },
    });
    let settings = Settings::parse("test", &settings.to_string()).expect("settings");
    let node = RunningNode::start(settings).await.expect("a node");
    let documented = documented_members();
    let full = status(&node, "/v1/status").await;
    assert_eq!(members(&full), documented);
    assert_eq!(full["phase"], "starting");
    assert_eq!(full["lease"], json!({ "state": "opening", "renewed": false }));
    let brief = status(&node, "/v1/status?brief=true").await;
    let kept = documented.iter().position(|member| *member == FIRST_DETAIL).expect("a detail");
    assert_eq!(members(&brief), documented[..kept]);
    node.stop().await;
}
