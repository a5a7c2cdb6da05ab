//! Bytes that no well-behaved caller, peer or server sends.
//!
//! Guards against a malformed message that ends the process, and against a response that
//! reaches another request than its own.

use std::time::Duration;

use rand::{Rng, RngExt, SeedableRng, rngs::StdRng};
use serde_json::json;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
    time::timeout,
};

use crate::{
    Fixture,
    backend::{ServerFault, StandinServer, header_value},
    fixture, get,
    node::{GatewayNode, eventually},
    post,
};

/// Number of malformed messages for each receiver.
const MESSAGES: u64 = 120;

#[tokio::test]
async fn a_late_copy_of_a_response_reaches_nobody() {
    let fixture = fixture().await;
    for server in &fixture.single {
        server.set_fault(ServerFault::LateCopy);
    }
    let mut served = 0;
    for number in 0..30 {
        let id = format!("id-{number}");
        let response = fixture.node.request(&get("/fetch/", &id)).await;
        if response.status == 200 {
            served += 1;
            assert_eq!(response.headers["x-carobstep-request-id"], id.as_str());
        }
    }
    // A server is noticed with its first late copy; a request that gets one from both
    // servers fails.
    assert!(served >= 29, "{served} of 30 served");
}

#[tokio::test]
async fn an_order_does_not_run_twice_after_a_late_refusal_that_names_no_request() {
    let fixture = fixture().await;
    for number in 0..6 {
        let response = fixture.node.request(&get("/fetch/", &format!("warm-{number}"))).await;
        assert_eq!(response.status, 200);
    }
    for server in &fixture.single {
        server.set_fault(ServerFault::LateRefusal);
    }
    let mut served = 0;
    for number in 0..12 {
        let id = format!("order-{number}");
        let response = fixture.node.request(&post("/order/", &id)).await;
        served += usize::from(response.status == 200);
        let heads = fixture.single.iter().flat_map(StandinServer::executed);
        let runs =
            heads.filter(|head| header_value(head, "x-carobstep-request-id").as_ref() == Some(&id));
        assert!(runs.count() <= 1, "{id} ran twice");
    }
    // Each server is noticed with its first late refusal.
    assert!(served >= 10, "{served} of 12 served");
}

/// Start of a message that a random rest is appended to.
fn message(rng: &mut StdRng, starts: &[&[u8]]) -> Vec<u8> {
    let start = starts[rng.random_range(0..starts.len())];
    let mut bytes = start.to_vec();
    let mut rest = vec![0; rng.random_range(0..400)];
    rng.fill_bytes(&mut rest);
    if rng.random_bool(0.5) {
        // Mostly text, so that it gets further into a parser.
        for byte in &mut rest {
            *byte = b"\r\n :;=,0123456789abcGET/{}[]\""[usize::from(*byte) % 29];
        }
    }
    bytes.extend(rest);
    bytes
}

/// Sends malformed messages to one of a node's ports.
async fn send_messages(address: std::net::SocketAddr, seed: u64, starts: &[&[u8]]) {
    let mut rng = StdRng::seed_from_u64(seed);
    for _ in 0..MESSAGES {
        let Ok(mut socket) = TcpStream::connect(address).await else { continue };
        // The node may close the connection before it has read everything.
        let _ = socket.write_all(&message(&mut rng, starts)).await;
        let _ = socket.shutdown().await;
        let mut reply = Vec::new();
        let _ = timeout(Duration::from_millis(100), socket.read_to_end(&mut reply)).await;
    }
}

async fn require_alive(fixture: &mut Fixture, what: &str) {
    assert!(fixture.node.exit_status().is_none(), "the process ended after {what}");
    let response = fixture.node.request(&get("/search/", "id-alive")).await;
    assert_eq!(response.status, 200, "after {what}");
}

#[tokio::test]
async fn malformed_messages_end_no_process() {
    let mut fixture = fixture().await;
    let http: [&[u8]; 5] = [
        b"",
        b"GET /search/ HTTP/1.1\r\nhost: 127.0.0.1\r\n",
        b"POST /fetch/ HTTP/1.1\r\nhost: 127.0.0.1\r\nx-carobstep-request-id: i\r\n\
          transfer-encoding: chunked\r\n\r\n",
        b"GET /fetch/ HTTP/1.1\r\nhost: 127.0.0.1\r\nx-carobstep-request-id: i\r\n\
          x-carobstep-deadline-ms: ",
        b"GET http://[::1:/ HTTP/1.1\r\n",
    ];
    let peer: [&[u8]; 3] = [
        b"",
        b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n",
        b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n\0\0\0\x04\0\0\0\0\0",
    ];
    let node = &fixture.node;
    let receivers: [(_, _, &[&[u8]]); 4] = [
        ("callers", node.callers, &http),
        ("readiness", node.readiness, &http),
        ("metrics", node.metrics, &http),
        ("peers", node.peers, &peer),
    ];
    for (seed, (what, address, starts)) in (1..).zip(receivers) {
        send_messages(address, seed, starts).await;
        require_alive(&mut fixture, what).await;
    }
    for seed in 0..MESSAGES {
        fixture.shards[0].set_fault(ServerFault::Noise(seed));
        let response = fixture.node.request(&get("/search/", &format!("id-n{seed}"))).await;
        assert_eq!(response.status, 200, "seed {seed}");
        assert_eq!(response.headers["x-carobstep-missing-parts"], "1", "seed {seed}");
    }
    fixture.shards[0].set_fault(ServerFault::None);
    require_alive(&mut fixture, "responses of a server").await;
}

#[tokio::test]
async fn malformed_objects_in_the_store_end_no_process() {
    let mut fixture = fixture().await;
    let contents = [
        json!(null),
        json!([]),
        json!({ "service": "single", "addr": "0.0.0.0:0", "zone": "", "version": 1 }),
        json!({ "service": "single", "addr": "127.0.0.1:99999", "zone": "a", "version": "v",
            "slots": -1, "state": "ready", "cold_left_ms": 0, "seq": 1, "born": 1 }),
        json!({ "service": "single", "addr": "127.0.0.1:9", "zone": "a", "version": "v",
            "slots": 4294967295u32, "state": "ready", "cold_left_ms": u64::MAX, "seq": u64::MAX,
            "born": u64::MAX }),
        json!({ "zone": "a", "address": "127.0.0.1:1", "cpu_share": -1.0, "link_mbps": 0.0 }),
        json!({ "zone": "a", "address": "x", "cpu_share": 1e308, "link_mbps": 1e308 }),
        json!({ "version": u64::MAX, "routes": [{ "timeout_ms": -1 }] }),
    ];
    for (number, content) in contents.iter().enumerate() {
        for kind in ["servers", "carobstep-nodes"] {
            fixture.store.put(kind, &format!("odd-{number}"), content.clone());
        }
        if number != 4 {
            fixture.store.put("config", "main", content.clone());
        }
    }
    let unreadable = |node: &GatewayNode| {
        node.log().iter().filter(|line| line["message"] == "unreadable object ignored").count()
    };
    eventually("every object of the two kinds is read", async || unreadable(&fixture.node) >= 13)
        .await;
    require_alive(&mut fixture, "odd objects").await;
}

/// A node that starts again gets the servers from its peer, which knows that one of them
/// is leaving; the store's list says that it is ready.
#[tokio::test]
async fn a_restarted_node_does_not_use_a_server_that_has_left() {
    let fixture = fixture().await;
    let mut other = GatewayNode::start("front-a-2", "a", fixture.store.address);
    other.wait_ready().await;
    let [leaving, staying] = &fixture.single[..] else { panic!("two servers") };
    leaving.set_fault(ServerFault::Leaving);
    staying.set_fault(ServerFault::Shed);
    let arrivals = |server: &StandinServer| server.arrivals().len();
    fixture.node.request(&get("/fetch/", "id-1")).await;
    assert_eq!(arrivals(leaving), 1);
    staying.set_fault(ServerFault::None);
    other.kill();
    other.restart();
    eventually("the node is ready", async || other.is_ready().await).await;
    for number in 0..10 {
        let response = other.request(&get("/fetch/", &format!("id-r{number}"))).await;
        assert_eq!(response.status, 200);
    }
    assert_eq!(arrivals(leaving), 1);
}
