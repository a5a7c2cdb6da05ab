//! Malformed, oversized and slow input on every listener: each gets an error
//! or a closed connection, is counted, and harms no other request.

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

/// Longest wait for anything that must happen.
const TIMEOUT: Duration = Duration::from_secs(60);

/// Pause between two looks at a condition.
const POLL: Duration = Duration::from_millis(20);

/// Largest request body of the node under test, in bytes.
const BODY_BYTES: usize = 1024;

/// Start of an HTTP/2 connection.
const PREFACE: &[u8] = b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n";

/// A client's empty SETTINGS frame.
const SETTINGS: &[u8] = &[0, 0, 0, 4, 0, 0, 0, 0, 0];

/// A node with one backend server and a platform.
struct Fixture {
    node: RunningNode,
    _platform: PlatformStandin,
    _server: BackendStandin,
}

/// One bad input and what must come back.
struct BadInput {
    name: &'static str,
    sent: Vec<u8>,
    /// Whether the client closes its sending side after the input.
    ends: bool,
    answer: Answer,
    /// Counter that must grow by one.
    counter: &'static str,
}

/// What a bad input gets.
enum Answer {
    /// An answer with this status and a body that contains the text.
    Status(u16, &'static str),
    /// An answer with this status or a connection that is closed without one.
    StatusOrClosed(u16),
    /// A connection that is closed without an HTTP/1.1 answer.
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
        while !fixture.answers().await {
            assert!(Instant::now() < deadline, "the node does not become ready");
            sleep(POLL).await;
        }
        fixture
    }

    /// Whether a valid search on a new connection is answered in full.
    async fn answers(&self) -> bool {
        let request = post("/v1/search/garments", "", br#"{"chest":102}"#);
        let answer = exchange(self.node.addresses().callers, &request, false).await;
        answer.starts_with("HTTP/1.1 200") && answer.contains(r#""covered":["s00"]"#)
    }

    fn count(&self, counter: &str) -> u64 {
        *self.node.counters().read().get(counter).unwrap_or_else(|| panic!("{counter:?}"))
    }

    /// Waits until a counter has grown by one over `before`.
    async fn wait_counted(&self, counter: &str, before: u64, name: &str) {
        let deadline = Instant::now() + TIMEOUT;
        while self.count(counter) == before {
            assert!(Instant::now() < deadline, "{name}: {counter} did not grow");
            sleep(POLL).await;
        }
        assert_eq!(self.count(counter), before + 1, "{name}: {counter}");
    }

    async fn judge(&self, address: SocketAddr, input: BadInput) {
        let BadInput { name, sent, ends, answer, counter } = input;
        let before = self.count(counter);
        let text = exchange(address, &sent, ends).await;
        let has_status = |status: u16| text.starts_with(&format!("HTTP/1.1 {status} "));
        match answer {
            Answer::Status(status, part) => {
                assert!(has_status(status) && text.contains(part), "{name}: {text:?}");
            }
            Answer::StatusOrClosed(status) => {
                assert!(has_status(status) || text.is_empty(), "{name}: {text:?}");
            }
            Answer::Closed => assert!(!text.contains("HTTP/1.1"), "{name}: {text:?}"),
        }
        self.wait_counted(counter, before, name).await;
        assert!(self.answers().await, "{name}: a valid request is not answered");
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

/// A POST that asks for its connection to be closed.
fn post(path: &str, headers: &str, body: &[u8]) -> Vec<u8> {
    let length = body.len();
    let head = format!(
        "POST {path} HTTP/1.1\r\nhost: n1\r\nconnection: close\r\ncontent-length: {length}\r\n\
         {headers}\r\n"
    );
    [head.as_bytes(), body].concat()
}

/// Sends bytes on a new connection and reads until the other end closes it.
async fn exchange(address: SocketAddr, sent: &[u8], ends: bool) -> String {
    let mut socket = TcpStream::connect(address).await.expect("a connection");
    // The listener may close the connection before it has read everything.
    let _ = socket.write_all(sent).await;
    if ends {
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

fn refused(name: &'static str, sent: Vec<u8>, detail: &'static str) -> BadInput {
    let answer = Answer::Status(400, detail);
    BadInput { name, sent, ends: false, answer, counter: "bad_caller_input" }
}

fn broken(name: &'static str, sent: &[u8], ends: bool, answer: Answer) -> BadInput {
    BadInput { name, sent: sent.to_vec(), ends, answer, counter: "bad_caller_input" }
}

/// An HTTP/2 connection that goes on with something else than frames.
fn bad_frame() -> Vec<u8> {
    [PREFACE, SETTINGS, b"no frame at all, but long enough to be read as one"].concat()
}

/// Inputs that are wrong on any HTTP listener.
fn broken_http() -> Vec<BadInput> {
    let long_header = format!("GET /livez HTTP/1.1\r\nhost: n1\r\nx-long: {}", "x".repeat(65536));
    let many_headers = "x: y\r\n".repeat(1000);
    let many_headers = format!("GET /livez HTTP/1.1\r\nhost: n1\r\n{many_headers}\r\n");
    vec![
        broken("garbage", b"\0\x01\x02garbage\r\n\r\n", false, Answer::StatusOrClosed(400)),
        broken("truncated", b"POST /v1/sea", true, Answer::StatusOrClosed(400)),
        broken("silent", b"", false, Answer::Closed),
        broken("slow line", b"POST /v1/sea", false, Answer::StatusOrClosed(408)),
        broken("slow header", b"GET / HTTP/1.1\r\nhost", false, Answer::StatusOrClosed(408)),
        broken("long header", long_header.as_bytes(), false, Answer::StatusOrClosed(431)),
        broken("many headers", many_headers.as_bytes(), false, Answer::StatusOrClosed(431)),
        broken("half a preface", &PREFACE[..10], false, Answer::Closed),
        broken("preface only", PREFACE, false, Answer::Closed),
        broken("bad frame", &bad_frame(), false, Answer::Closed),
    ]
}

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
        broken("huge body", &huge_body, false, Answer::StatusOrClosed(400)),
        refused("not JSON", post(search, "", b"{\"chest\":"), "request body is not JSON"),
        refused("empty body", post(search, "", b""), "request body is not JSON"),
        refused("deadline text", post(search, "x-deadline-ms: soon\r\n", b"{}"), "x-deadline-ms"),
        refused("deadline zero", post(search, "x-deadline-ms: 0\r\n", b"{}"), "x-deadline-ms"),
        refused("deadline sign", post(search, "x-deadline-ms: -5\r\n", b"{}"), "x-deadline-ms"),
        refused("long key", post(search, &long_key, b"{}"), "idempotency-key"),
        refused("key space", post(search, "idempotency-key: a b\r\n", b"{}"), "idempotency-key"),
        refused("empty key", post(search, "idempotency-key:\r\n", b"{}"), "idempotency-key"),
        refused("slow body", short_body.to_vec(), "did not arrive in time"),
        broken("cut body", short_body, true, Answer::StatusOrClosed(400)),
        broken("bad chunk", bad_chunk, false, Answer::StatusOrClosed(400)),
        BadInput {
            name: "wrong path",
            sent: post("/v1/trousers", "", b"{}"),
            ends: false,
            answer: Answer::Status(404, "no such path"),
            counter: "refused.unknown_target",
        },
    ]
}

#[tokio::test(flavor = "multi_thread")]
async fn callers() {
    let fixture = Fixture::start().await;
    let address = fixture.node.addresses().callers;
    for input in broken_http().into_iter().chain(bad_requests()) {
        fixture.judge(address, input).await;
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
    let wrong_method = Answer::Status(405, "method POST is not GET");
    let wrong_path = Answer::Status(404, "no such path");
    let mut inputs = broken_http();
    inputs.push(broken("wrong method", &post("/livez", "", b"{}"), false, wrong_method));
    inputs.push(broken("wrong path", &get("/v2/status"), false, wrong_path));
    for input in inputs {
        fixture.judge(address, BadInput { counter: "bad_operator_input", ..input }).await;
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
        broken("garbage", garbage, false, Answer::Closed),
        broken("HTTP/1.1", b"GET /livez HTTP/1.1\r\nhost: n1\r\n\r\n", false, Answer::Closed),
        broken("half a preface", &PREFACE[..10], true, Answer::Closed),
        broken("silent", b"", false, Answer::Closed),
        broken("bad frame", &bad_frame(), false, Answer::Closed),
    ];
    for input in inputs {
        fixture.judge(address, BadInput { counter: "bad_peer_input", ..input }).await;
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
    for (name, body, ends) in bodies {
        let before = fixture.count("bad_peer_input");
        let status = peer_stream(address, body, ends).await;
        assert_eq!(status, Some(400), "{name}");
        fixture.wait_counted("bad_peer_input", before, name).await;
        assert!(fixture.answers().await, "{name}: a valid request is not answered");
    }
    fixture.node.stop().await;
}

/// Sends a body on a peer stream; returns the status of the answer.
async fn peer_stream(address: SocketAddr, body: &[u8], ends: bool) -> Option<u16> {
    let socket = TcpStream::connect(address).await.expect("a connection");
    let (client, connection) = h2::client::handshake(socket).await.expect("a handshake");
    let driver = tokio::spawn(connection);
    let mut client = client.ready().await.expect("a ready connection");
    let request = http::Request::post("http://n1/").body(()).expect("a request");
    let (answer, mut stream) = client.send_request(request, false).expect("a stream");
    // The listener may reset the stream before it has read everything.
    let _ = stream.send_data(Bytes::copy_from_slice(body), ends);
    let answer = timeout(TIMEOUT, answer).await.expect("an answer in time");
    driver.abort();
    answer.ok().map(|answer| answer.status().as_u16())
}

/// An HTTP/2 frame of a type on a stream.
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
    // POST, scheme http, and a literal path by its name's index.
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
    assert!(fixture.answers().await, "a valid request is not answered");
    fixture.node.stop().await;
}
