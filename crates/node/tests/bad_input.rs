//! Sends malformed, oversized and slow input to every listener. Each input must
//! get an error response or a closed connection and be counted, and valid
//! requests must still be served.

use std::{net::SocketAddr, time::Duration};

use bytes::Bytes;
use carobstep_config::Settings;
use carobstep_node::RunningNode;
use carobstep_standin::{
    BackendStandin, PlatformSettings, PlatformStandin, SeedObject, ServerSettings,
};
use serde_json::{Value, json};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
    time::{Instant, sleep, timeout},
};

/// Longest wait for any expected event.
const TIMEOUT: Duration = Duration::from_secs(60);

/// Delay between two checks of a condition.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Largest request body of the node under test, in bytes.
const BODY_BYTES: usize = 1024;

/// Client connection preface of HTTP/2.
const PREFACE: &[u8] = b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n";

/// Empty HTTP/2 SETTINGS frame.
const SETTINGS: &[u8] = &[0, 0, 0, 4, 0, 0, 0, 0, 0];

/// Node under test, with a simulated platform and one simulated backend server.
struct Fixture {
    node: RunningNode,
    _platform: PlatformStandin,
    _server: BackendStandin,
}

/// Bad input and the expected reaction of the listener.
struct BadInput {
    name: &'static str,
    sent: Vec<u8>,
    /// Whether the client closes its sending side after the input.
    half_close: bool,
    expected: ExpectedReaction,
    /// Name of the counter that must increase by one.
    counter: &'static str,
}

/// Reaction to a bad input that the listener must show.
enum ExpectedReaction {
    /// A response with this status and a body that contains the text.
    Status(u16, &'static str),
    /// A response with this status, or a connection closed without a response.
    StatusOrClosed(u16),
    /// A connection closed without an HTTP/1.1 response.
    Closed,
}

impl Fixture {
    async fn start() -> Self {
        let server = ServerSettings::try_from("name=fitting-a,snapshots=1").expect("settings");
        let server = BackendStandin::start(server).await.expect("a backend server");
        let platform =
            PlatformSettings { objects: objects(server.address()), ..PlatformSettings::default() };
        let platform = PlatformStandin::start(platform).await.expect("a platform");
        let settings = json!({
            "node": "n1", "region": "perth", "zone": "perth-a",
            "callers": "127.0.0.1:0", "operators": "127.0.0.1:0", "peers": "127.0.0.1:0",
            "platform": platform.address(),
            "limits": {
                "body_bytes": BODY_BYTES, "header_bytes": 8192, "header_timeout_ms": 300,
            },
            "stop": { "notice_ms": 0 },
        });
        let settings = Settings::parse("test", &settings.to_string()).expect("settings");
        let node = RunningNode::start(settings).await.expect("a node");
        let fixture = Self { node, _platform: platform, _server: server };
        let deadline = Instant::now() + TIMEOUT;
        while !fixture.serves_valid_search().await {
            assert!(Instant::now() < deadline, "the node is not ready in time");
            sleep(POLL_INTERVAL).await;
        }
        fixture
    }

    /// Whether a valid search on a new connection gets a complete response.
    async fn serves_valid_search(&self) -> bool {
        let request = post("/v1/search/garments", "", br#"{"chest":102}"#);
        let response = exchange(self.node.addresses().callers, &request, false).await;
        response.starts_with("HTTP/1.1 200") && response.contains(r#""covered":["s00"]"#)
    }

    fn count(&self, counter: &str) -> u64 {
        *self.node.counters().read().get(counter).unwrap_or_else(|| panic!("{counter:?}"))
    }

    /// Waits until a counter has increased, and checks that it did so by one.
    async fn expect_counted(&self, counter: &str, before: u64, name: &str) {
        let deadline = Instant::now() + TIMEOUT;
        while self.count(counter) == before {
            assert!(Instant::now() < deadline, "{name}: {counter} did not increase");
            sleep(POLL_INTERVAL).await;
        }
        assert_eq!(self.count(counter), before + 1, "{name}: {counter}");
    }

    /// Sends an input and checks the reaction, the counter and a valid request.
    async fn check_input(&self, address: SocketAddr, input: BadInput) {
        let BadInput { name, sent, half_close, expected, counter } = input;
        let before = self.count(counter);
        let text = exchange(address, &sent, half_close).await;
        let has_status = |status: u16| text.starts_with(&format!("HTTP/1.1 {status} "));
        match expected {
            ExpectedReaction::Status(status, part) => {
                assert!(has_status(status) && text.contains(part), "{name}: {text:?}");
            }
            ExpectedReaction::StatusOrClosed(status) => {
                assert!(has_status(status) || text.is_empty(), "{name}: {text:?}");
            }
            ExpectedReaction::Closed => assert!(!text.contains("HTTP/1.1"), "{name}: {text:?}"),
        }
        self.expect_counted(counter, before, name).await;
        assert!(
            self.serves_valid_search().await,
            "{name}: a valid request gets no complete response"
        );
    }
}

fn objects(server: SocketAddr) -> Vec<SeedObject> {
    let object = |kind: &str, name: &str, value: Value| {
        let object = json!({ "kind": kind, "name": name, "value": value });
        serde_json::from_value(object).expect("an object")
    };
    let config = json!({
        "version": 1, "patch_id": "p1", "author": "ann", "time": "2026-01-01T00:00:00Z",
        "document": {
            "services": { "fitting": {
                "deadline_ms": 5000,
                "servers": { "fitting-a": {
                    "zone": "perth-a", "address": server, "slots": 2, "connections": 25,
                } },
            } },
            "indexes": { "garments": { "deadline_ms": 5000 } },
        },
    });
    let manifest = json!({
        "index": "garments", "snapshots": [{ "number": 1, "shards": { "s00": "fitting" } }],
    });
    vec![object("config", "current", config), object("manifest", "garments", manifest)]
}

/// Builds a POST request with `connection: close`.
fn post(path: &str, headers: &str, body: &[u8]) -> Vec<u8> {
    let length = body.len();
    let head = format!(
        "POST {path} HTTP/1.1\r\nhost: n1\r\nconnection: close\r\ncontent-length: {length}\r\n\
         {headers}\r\n"
    );
    [head.as_bytes(), body].concat()
}

/// Sends bytes on a new connection and returns all that is received until the
/// listener closes it.
async fn exchange(address: SocketAddr, sent: &[u8], half_close: bool) -> String {
    let mut socket = TcpStream::connect(address).await.expect("a connection");
    // A failed write is expected: the listener may close the connection before it
    // has read everything.
    let _ = socket.write_all(sent).await;
    if half_close {
        let _ = socket.shutdown().await;
    }
    let mut received = Vec::new();
    let mut chunk = [0; 4096];
    let reading = async {
        while let Ok(length @ 1..) = socket.read(&mut chunk).await {
            received.extend_from_slice(&chunk[..length]);
        }
    };
    timeout(TIMEOUT, reading).await.expect("the connection is closed");
    String::from_utf8_lossy(&received).into_owned()
}

/// Builds a caller's request that must be refused with status 400.
fn refused(name: &'static str, sent: Vec<u8>, detail: &'static str) -> BadInput {
    let expected = ExpectedReaction::Status(400, detail);
    BadInput { name, sent, half_close: false, expected, counter: "bad_caller_input" }
}

/// Builds an input that is truncated or is not valid HTTP.
fn broken(
    name: &'static str,
    sent: &[u8],
    half_close: bool,
    expected: ExpectedReaction,
) -> BadInput {
    BadInput { name, sent: sent.to_vec(), half_close, expected, counter: "bad_caller_input" }
}

/// Builds the start of an HTTP/2 connection, followed by bytes that are no frame.
fn bad_frame() -> Vec<u8> {
    [PREFACE, SETTINGS, b"no frame at all, but long enough to be read as one"].concat()
}

/// Returns inputs that are invalid on any HTTP listener.
fn broken_http() -> Vec<BadInput> {
    let long_header = format!("GET /livez HTTP/1.1\r\nhost: n1\r\nx-long: {}", "x".repeat(65536));
    let many_headers = "x: y\r\n".repeat(1000);
    let many_headers = format!("GET /livez HTTP/1.1\r\nhost: n1\r\n{many_headers}\r\n");
    vec![
        broken(
            "garbage",
            b"\0\x01\x02garbage\r\n\r\n",
            false,
            ExpectedReaction::StatusOrClosed(400),
        ),
        broken("truncated", b"POST /v1/sea", true, ExpectedReaction::StatusOrClosed(400)),
        broken("silent", b"", false, ExpectedReaction::Closed),
        broken("slow line", b"POST /v1/sea", false, ExpectedReaction::StatusOrClosed(408)),
        broken(
            "slow header",
            b"GET / HTTP/1.1\r\nhost",
            false,
            ExpectedReaction::StatusOrClosed(408),
        ),
        broken("long header", long_header.as_bytes(), false, ExpectedReaction::StatusOrClosed(431)),
        broken(
            "many headers",
            many_headers.as_bytes(),
            false,
            ExpectedReaction::StatusOrClosed(431),
        ),
        broken("half a preface", &PREFACE[..10], false, ExpectedReaction::Closed),
        broken("preface only", PREFACE, false, ExpectedReaction::Closed),
        broken("bad frame", &bad_frame(), false, ExpectedReaction::Closed),
    ]
}

/// Returns inputs that are invalid on the callers' listener.
fn bad_requests() -> Vec<BadInput> {
    let search = "/v1/search/garments";
    let long_key = format!("idempotency-key: {}\r\n", "k".repeat(129));
    let huge_body = post(search, "", &vec![b' '; 1024 * BODY_BYTES]);
    let short_body = b"POST /v1/search/garments HTTP/1.1\r\nhost: n1\r\nconnection: close\r\n\
        content-length: 10\r\n\r\n{}";
    let bad_chunk = b"POST /v1/search/garments HTTP/1.1\r\nhost: n1\r\nconnection: close\r\n\
        transfer-encoding: chunked\r\n\r\nzz\r\n";
    let get = b"GET /v1/search/garments HTTP/1.1\r\nhost: n1\r\nconnection: close\r\n\r\n";
    vec![
        refused("wrong method", get.to_vec(), "method GET is not POST"),
        refused("large body", post(search, "", &[b' '; BODY_BYTES + 1]), "over the limit"),
        broken("huge body", &huge_body, false, ExpectedReaction::StatusOrClosed(400)),
        refused("not JSON", post(search, "", b"{\"chest\":"), "request body is not JSON"),
        refused("empty body", post(search, "", b""), "request body is not JSON"),
        refused("deadline text", post(search, "x-deadline-ms: soon\r\n", b"{}"), "x-deadline-ms"),
        refused("deadline zero", post(search, "x-deadline-ms: 0\r\n", b"{}"), "x-deadline-ms"),
        refused("deadline sign", post(search, "x-deadline-ms: -5\r\n", b"{}"), "x-deadline-ms"),
        refused("long key", post(search, &long_key, b"{}"), "idempotency-key"),
        refused("key space", post(search, "idempotency-key: a b\r\n", b"{}"), "idempotency-key"),
        refused("empty key", post(search, "idempotency-key:\r\n", b"{}"), "idempotency-key"),
        refused("slow body", short_body.to_vec(), "did not arrive in time"),
        broken("cut body", short_body, true, ExpectedReaction::StatusOrClosed(400)),
        broken("bad chunk", bad_chunk, false, ExpectedReaction::StatusOrClosed(400)),
        BadInput {
            name: "wrong path",
            sent: post("/v1/trousers", "", b"{}"),
            half_close: false,
            expected: ExpectedReaction::Status(404, "no such path"),
            counter: "refused.unknown_target",
        },
    ]
}

#[tokio::test(flavor = "multi_thread")]
async fn callers() {
    let fixture = Fixture::start().await;
    let address = fixture.node.addresses().callers;
    for input in broken_http().into_iter().chain(bad_requests()) {
        fixture.check_input(address, input).await;
    }
    fixture.node.stop().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn operators() {
    let fixture = Fixture::start().await;
    let address = fixture.node.addresses().operators;
    let get = |path: &str| {
        format!("GET {path} HTTP/1.1\r\nhost: n1\r\nconnection: close\r\n\r\n").into_bytes()
    };
    let wrong_method = ExpectedReaction::Status(405, "method POST is not GET");
    let wrong_path = ExpectedReaction::Status(404, "no such path");
    let mut inputs = broken_http();
    inputs.push(broken("wrong method", &post("/livez", "", b"{}"), false, wrong_method));
    inputs.push(broken("wrong path", &get("/v2/status"), false, wrong_path));
    for input in inputs {
        fixture.check_input(address, BadInput { counter: "bad_operator_input", ..input }).await;
    }
    let live = exchange(address, &get("/livez"), false).await;
    assert!(live.starts_with("HTTP/1.1 200"), "{live:?}");
    fixture.node.stop().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn peers() {
    let fixture = Fixture::start().await;
    let address = fixture.node.addresses().peers;
    let garbage = b"\0\x01\x02garbage, as long as a preface\r\n\r\n";
    let inputs = [
        broken("garbage", garbage, false, ExpectedReaction::Closed),
        broken(
            "HTTP/1.1",
            b"GET /livez HTTP/1.1\r\nhost: n1\r\n\r\n",
            false,
            ExpectedReaction::Closed,
        ),
        broken("half a preface", &PREFACE[..10], true, ExpectedReaction::Closed),
        broken("silent", b"", false, ExpectedReaction::Closed),
        broken("bad frame", &bad_frame(), false, ExpectedReaction::Closed),
    ];
    for input in inputs {
        fixture.check_input(address, BadInput { counter: "bad_peer_input", ..input }).await;
    }
    fixture.node.stop().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn peer_streams() {
    let fixture = Fixture::start().await;
    let address = fixture.node.addresses().peers;
    let large = vec![0; 3 * 1024 * 1024];
    let bodies: [(&str, &[u8], bool); 4] = [
        ("empty", b"", true),
        ("not a frame", b"\xff\xff\xff\xff", true),
        ("too large", &large, true),
        ("slow", b"\0", false),
    ];
    for (name, body, end_stream) in bodies {
        let before = fixture.count("bad_peer_input");
        let status = send_peer_stream(address, body, end_stream).await;
        assert_eq!(status, Some(400), "{name}");
        fixture.expect_counted("bad_peer_input", before, name).await;
        assert!(
            fixture.serves_valid_search().await,
            "{name}: a valid request gets no complete response"
        );
    }
    fixture.node.stop().await;
}

/// Sends a body on a stream to the peers' listener. Returns the response's status.
async fn send_peer_stream(address: SocketAddr, body: &[u8], end_stream: bool) -> Option<u16> {
    let socket = TcpStream::connect(address).await.expect("a connection");
    let (client, connection) = h2::client::handshake(socket).await.expect("a handshake");
    let connection_task = tokio::spawn(connection);
    let mut client = client.ready().await.expect("a ready connection");
    let request = http::Request::post("http://n1/").body(()).expect("a request");
    let (response, mut stream) = client.send_request(request, false).expect("a stream");
    // A failed send is expected: the listener may reset the stream before it has
    // read everything.
    let _ = stream.send_data(Bytes::copy_from_slice(body), end_stream);
    let response = timeout(TIMEOUT, response).await.expect("a response in time");
    connection_task.abort();
    response.ok().map(|response| response.status().as_u16())
}

/// Builds an HTTP/2 frame.
fn frame(kind: u8, flags: u8, stream: u32, payload: &[u8]) -> Vec<u8> {
    let length = u32::try_from(payload.len()).expect("a short frame").to_be_bytes();
    let head = [length[1], length[2], length[3], kind, flags];
    [&head, &stream.to_be_bytes()[..], payload].concat()
}

#[tokio::test(flavor = "multi_thread")]
async fn too_many_streams() {
    const STREAMS: u32 = 1100;
    const RST_STREAM: u8 = 3;
    const REFUSED_STREAM: [u8; 4] = [0, 0, 0, 7];
    let fixture = Fixture::start().await;
    // HPACK: indexed `:method POST` and `:scheme http`, then `:path` as a literal
    // with an indexed name.
    let path = b"/v1/search/garments";
    let length = u8::try_from(path.len()).expect("a short path");
    let headers = [&[0x83, 0x86, 0x04, length], &path[..]].concat();
    let mut sent = [PREFACE, SETTINGS].concat();
    for number in 0..STREAMS {
        sent.extend(frame(1, 4, 2 * number + 1, &headers));
    }
    let address = fixture.node.addresses().callers;
    let mut socket = TcpStream::connect(address).await.expect("a connection");
    socket.write_all(&sent).await.expect("streams are sent");
    let refusal = async {
        loop {
            let mut head = [0; 9];
            socket.read_exact(&mut head).await.expect("a frame");
            let length = u32::from_be_bytes([0, head[0], head[1], head[2]]);
            let mut payload = vec![0; length as usize];
            socket.read_exact(&mut payload).await.expect("a payload");
            if head[3] == RST_STREAM && payload == REFUSED_STREAM {
                return;
            }
        }
    };
    timeout(TIMEOUT, refusal).await.expect("a stream is refused");
    assert!(fixture.serves_valid_search().await, "a valid request gets no complete response");
    fixture.node.stop().await;
}
