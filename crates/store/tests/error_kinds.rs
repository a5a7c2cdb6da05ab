//! Each way in which a call can fail maps to exactly one error kind.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use carobstep_store::{
    HttpStore, MAX_VALUE_BYTES, ObjectCall, ObjectKind, ObjectReply, ObjectStore, ObjectVersion,
    StoreErrorKind, WriteCondition,
};
use serde_json::json;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
    sync::Barrier,
    task::JoinSet,
};

/// Long enough that only a call to a fake platform that never replies times out.
const CALL_TIMEOUT: Duration = Duration::from_secs(3);

/// Behavior of a fake platform on a request.
#[derive(Clone, Copy, Debug)]
enum Script {
    /// Refuses the connection, as nothing listens on the port.
    Refuse,
    /// Reads the request, sends these bytes and closes.
    SendAndClose(&'static str),
    /// Reads the request, sends these bytes and keeps the connection open.
    SendAndHang(&'static str),
    /// Reads the request, sends this status and closes.
    Status(u16),
    /// Reads the request and sends a list body without end.
    EndlessList,
}

/// Call that the client makes.
#[derive(Clone, Copy, Debug)]
enum Subject {
    Get,
    List,
    Put,
    Delete,
    Vms,
}

struct Case {
    name: &'static str,
    script: Script,
    subject: Subject,
    expected: Result<(), StoreErrorKind>,
}

const CASES: &[Case] = &[
    case("refused", Script::Refuse, Subject::Put, Err(StoreErrorKind::NotSent)),
    case("closed", Script::SendAndClose(""), Subject::Put, Err(StoreErrorKind::AnswerLost)),
    case("no reply", Script::SendAndHang(""), Subject::Put, Err(StoreErrorKind::AnswerLost)),
    case(
        "truncated header section",
        Script::SendAndClose("HTTP/1.1 200 OK\r\netag: \"4"),
        Subject::Put,
        Err(StoreErrorKind::AnswerLost),
    ),
    case(
        "truncated body",
        Script::SendAndClose("HTTP/1.1 200 OK\r\netag: \"4\"\r\ncontent-length: 9\r\n\r\n{}"),
        Subject::Get,
        Err(StoreErrorKind::AnswerLost),
    ),
    case(
        "incomplete body on an open connection",
        Script::SendAndHang("HTTP/1.1 200 OK\r\netag: \"4\"\r\ncontent-length: 9\r\n\r\n{}"),
        Subject::Put,
        Err(StoreErrorKind::AnswerLost),
    ),
    case(
        "not HTTP",
        Script::SendAndClose("220 mail.example ESMTP\r\n"),
        Subject::Get,
        Err(StoreErrorKind::AnswerLost),
    ),
    case(
        "body that is not JSON",
        Script::SendAndClose("HTTP/1.1 200 OK\r\netag: \"4\"\r\ncontent-length: 2\r\n\r\n{{"),
        Subject::Get,
        Err(StoreErrorKind::AnswerLost),
    ),
    case(
        "write without an entity tag",
        Script::SendAndClose("HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n"),
        Subject::Put,
        Err(StoreErrorKind::AnswerLost),
    ),
    case(
        "weak entity tag",
        Script::SendAndClose("HTTP/1.1 200 OK\r\netag: W/\"4\"\r\ncontent-length: 0\r\n\r\n"),
        Subject::Put,
        Err(StoreErrorKind::AnswerLost),
    ),
    case("endless list", Script::EndlessList, Subject::List, Err(StoreErrorKind::AnswerLost)),
    case("status 500", Script::Status(500), Subject::Put, Err(StoreErrorKind::AnswerLost)),
    case("status 503", Script::Status(503), Subject::Delete, Err(StoreErrorKind::AnswerLost)),
    case("status 302", Script::Status(302), Subject::Put, Err(StoreErrorKind::AnswerLost)),
    case("status 400", Script::Status(400), Subject::Put, Err(StoreErrorKind::Rejected)),
    case("status 413", Script::Status(413), Subject::Put, Err(StoreErrorKind::Rejected)),
    case("status 428", Script::Status(428), Subject::Delete, Err(StoreErrorKind::Rejected)),
    case(
        "put to an unknown path",
        Script::Status(404),
        Subject::Put,
        Err(StoreErrorKind::Rejected),
    ),
    case(
        "VM list at an unknown path",
        Script::Status(404),
        Subject::Vms,
        Err(StoreErrorKind::Rejected),
    ),
    case("missing object", Script::Status(404), Subject::Get, Ok(())),
    case("failed condition of a put", Script::Status(412), Subject::Put, Ok(())),
    case("failed condition of a deletion", Script::Status(412), Subject::Delete, Ok(())),
    case("deletion of a missing object", Script::Status(404), Subject::Delete, Ok(())),
];

const fn case(
    name: &'static str,
    script: Script,
    subject: Subject,
    expected: Result<(), StoreErrorKind>,
) -> Case {
    Case { name, script, subject, expected }
}

fn call_of(subject: Subject) -> ObjectCall {
    let kind = ObjectKind::Claim;
    let name = "c1".to_owned();
    match subject {
        Subject::Get => ObjectCall::Get { kind, name },
        Subject::List => ObjectCall::List { kind },
        Subject::Put => ObjectCall::Put {
            kind,
            name,
            condition: WriteCondition::Absent,
            value: json!({"a": 1}),
        },
        Subject::Delete => ObjectCall::Delete { kind, name, at: ObjectVersion(3) },
        Subject::Vms => ObjectCall::ListVms,
    }
}

/// Reads one request with its body; returns `false` when the connection ends first.
async fn read_request(stream: &mut TcpStream) -> bool {
    let mut text = Vec::new();
    let mut buffer = [0; 4096];
    loop {
        let count = stream.read(&mut buffer).await.unwrap_or(0);
        if count == 0 {
            return false;
        }
        text.extend_from_slice(&buffer[..count]);
        let Some(end) = text.windows(4).position(|window| window == b"\r\n\r\n") else { continue };
        let head = String::from_utf8_lossy(&text[..end]).to_lowercase();
        let length = head.split("content-length: ").nth(1).and_then(|rest| rest.lines().next());
        let length: usize = length.map_or(0, |digits| digits.trim().parse().unwrap());
        if text.len() >= end + 4 + length {
            return true;
        }
    }
}

async fn start_fake_platform(script: Script) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    if matches!(script, Script::Refuse) {
        return address;
    }
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            tokio::spawn(async move {
                if read_request(&mut stream).await {
                    run_script(&mut stream, script).await;
                }
            });
        }
    });
    address
}

async fn run_script(stream: &mut TcpStream, script: Script) {
    match script {
        Script::Refuse => {}
        Script::SendAndClose(bytes) => stream.write_all(bytes.as_bytes()).await.unwrap(),
        Script::Status(code) => {
            let reply = format!("HTTP/1.1 {code} X\r\ncontent-length: 0\r\n\r\n");
            stream.write_all(reply.as_bytes()).await.unwrap();
        }
        Script::SendAndHang(bytes) => {
            stream.write_all(bytes.as_bytes()).await.unwrap();
            // Returns when the client closes the connection.
            let _ = stream.read(&mut [0; 1]).await;
        }
        Script::EndlessList => {
            let head = b"HTTP/1.1 200 OK\r\n\r\n{\"version\":1,\"items\":[";
            let mut sent = stream.write_all(head).await;
            while sent.is_ok() {
                sent = stream.write_all(&[b' '; 65_536]).await;
            }
        }
    }
}

#[tokio::test]
async fn each_failure_maps_to_its_error_kind() {
    let mut running = JoinSet::new();
    for case in CASES {
        running.spawn(async move {
            let address = start_fake_platform(case.script).await;
            let store = HttpStore::builder(address).timeout(CALL_TIMEOUT).build();
            let reply = store.call(call_of(case.subject)).await;
            let seen = reply.map(|_| ()).map_err(|error| error.kind());
            assert_eq!(seen, case.expected, "{}", case.name);
        });
    }
    running.join_all().await;
}

#[tokio::test]
async fn invalid_calls_are_rejected_before_they_are_sent() {
    let kind = ObjectKind::Claim;
    let put = |name: &str, value| ObjectCall::Put {
        kind,
        name: name.to_owned(),
        condition: WriteCondition::Absent,
        value,
    };
    let calls = [
        put("c1", json!("x".repeat(MAX_VALUE_BYTES))),
        put("", json!(1)),
        put("..", json!(1)),
        put("a/b", json!(1)),
        put("a?b", json!(1)),
        put("a b", json!(1)),
        put(&"n".repeat(257), json!(1)),
    ];
    // Nothing listens on this address: trying to send a call would give `NotSent`.
    let address = start_fake_platform(Script::Refuse).await;
    let store = HttpStore::builder(address).build();
    for call in calls {
        let error = store.call(call).await.unwrap_err();
        assert_eq!(error.kind(), StoreErrorKind::Rejected, "{error}");
    }
}

/// Starts a fake platform that replies to `reply_count` requests in all and closes
/// the connection on the next one, or after each reply when `close_at_once` is set.
async fn start_closing_platform(reply_count: usize, close_at_once: bool) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        let mut remaining = reply_count;
        while let Ok((mut stream, _)) = listener.accept().await {
            while remaining > 0 && read_request(&mut stream).await {
                remaining -= 1;
                let reply = b"HTTP/1.1 200 OK\r\netag: \"4\"\r\ncontent-length: 2\r\n\r\n{}";
                stream.write_all(reply).await.unwrap();
                if close_at_once {
                    break;
                }
            }
            if !close_at_once {
                read_request(&mut stream).await;
            }
        }
    });
    address
}

#[tokio::test]
async fn a_closed_idle_connection_is_replaced() {
    let address = start_closing_platform(5, true).await;
    let store = HttpStore::builder(address).build();
    for _ in 0..5 {
        let reply = store.call(call_of(Subject::Put)).await;
        assert_eq!(reply, Ok(ObjectReply::Written(ObjectVersion(4))));
        // Gives the client time to see that the connection is closed.
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
}

#[tokio::test]
async fn a_write_sent_on_a_reused_connection_is_not_retried() {
    let address = start_closing_platform(1, false).await;
    let store = HttpStore::builder(address).build();
    assert_eq!(store.call(call_of(Subject::Put)).await, Ok(ObjectReply::Written(ObjectVersion(4))));
    let error = store.call(call_of(Subject::Put)).await.unwrap_err();
    assert_eq!(error.kind(), StoreErrorKind::AnswerLost, "{error}");
}

/// Starts a fake platform whose first `count` connections get one reply each and
/// then stall, while later connections work.
async fn start_platform_with_stalled_connections(count: usize) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let barrier = Arc::new(Barrier::new(count));
    tokio::spawn(async move {
        let mut accepted = 0;
        while let Ok((mut stream, _)) = listener.accept().await {
            let is_stalling = accepted < count;
            accepted += 1;
            let barrier = barrier.clone();
            tokio::spawn(async move {
                while read_request(&mut stream).await {
                    if is_stalling {
                        barrier.wait().await;
                    }
                    let reply = b"HTTP/1.1 200 OK\r\netag: \"4\"\r\ncontent-length: 2\r\n\r\n{}";
                    stream.write_all(reply).await.unwrap();
                }
            });
        }
    });
    address
}

#[tokio::test]
async fn a_stalled_connection_closes_the_idle_connections() {
    let address = start_platform_with_stalled_connections(3).await;
    let store = Arc::new(HttpStore::builder(address).timeout(CALL_TIMEOUT).build());
    let mut first_calls = JoinSet::new();
    for _ in 0..3 {
        let store = store.clone();
        first_calls.spawn(async move { store.call(call_of(Subject::Get)).await.unwrap() });
    }
    first_calls.join_all().await;
    // The platform replies only once a second request has arrived on all three
    // connections, which does not happen.
    let error = store.call(call_of(Subject::Get)).await.unwrap_err();
    assert_eq!(error.kind(), StoreErrorKind::AnswerLost, "{error}");
    store.call(call_of(Subject::Get)).await.unwrap();
}

#[tokio::test]
async fn a_call_above_the_concurrency_limit_times_out_unsent() {
    let address = start_fake_platform(Script::SendAndHang("")).await;
    for (max_concurrent_calls, expected) in
        [(0, StoreErrorKind::NotSent), (1, StoreErrorKind::AnswerLost)]
    {
        let builder = HttpStore::builder(address).timeout(CALL_TIMEOUT);
        let store = builder.max_concurrent_calls(max_concurrent_calls).build();
        let error = store.call(call_of(Subject::Put)).await.unwrap_err();
        assert_eq!(error.kind(), expected, "{error}");
    }
}
