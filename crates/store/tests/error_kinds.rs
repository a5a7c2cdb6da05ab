//! Each way in which a call can fail maps to exactly one kind of error.

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

/// Long enough that only a fake that stays silent runs into it.
const CALL_TIMEOUT: Duration = Duration::from_secs(3);

/// What a fake platform does with a request.
#[derive(Clone, Copy, Debug)]
enum Script {
    /// Nothing listens.
    Refuse,
    /// Reads the request, sends these bytes and closes.
    SendAndClose(&'static str),
    /// Reads the request, sends these bytes and then nothing.
    SendAndHang(&'static str),
    /// Reads the request, sends this status and closes.
    Status(u16),
    /// Reads the request and sends a list that does not end.
    EndlessList,
}

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
    case("no answer", Script::SendAndHang(""), Subject::Put, Err(StoreErrorKind::AnswerLost)),
    case(
        "half a head",
        Script::SendAndClose("HTTP/1.1 200 OK\r\netag: \"4"),
        Subject::Put,
        Err(StoreErrorKind::AnswerLost),
    ),
    case(
        "half a body",
        Script::SendAndClose("HTTP/1.1 200 OK\r\netag: \"4\"\r\ncontent-length: 9\r\n\r\n{}"),
        Subject::Get,
        Err(StoreErrorKind::AnswerLost),
    ),
    case(
        "body that stops",
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
        "write without a tag",
        Script::SendAndClose("HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n"),
        Subject::Put,
        Err(StoreErrorKind::AnswerLost),
    ),
    case(
        "weak tag",
        Script::SendAndClose("HTTP/1.1 200 OK\r\netag: W/\"4\"\r\ncontent-length: 0\r\n\r\n"),
        Subject::Put,
        Err(StoreErrorKind::AnswerLost),
    ),
    case("list without end", Script::EndlessList, Subject::List, Err(StoreErrorKind::AnswerLost)),
    case("status 500", Script::Status(500), Subject::Put, Err(StoreErrorKind::AnswerLost)),
    case("status 503", Script::Status(503), Subject::Delete, Err(StoreErrorKind::AnswerLost)),
    case("status 302", Script::Status(302), Subject::Put, Err(StoreErrorKind::AnswerLost)),
    case("status 400", Script::Status(400), Subject::Put, Err(StoreErrorKind::Rejected)),
    case("status 413", Script::Status(413), Subject::Put, Err(StoreErrorKind::Rejected)),
    case("status 428", Script::Status(428), Subject::Delete, Err(StoreErrorKind::Rejected)),
    case("put of no such path", Script::Status(404), Subject::Put, Err(StoreErrorKind::Rejected)),
    case("VMs of no such path", Script::Status(404), Subject::Vms, Err(StoreErrorKind::Rejected)),
    case("missing", Script::Status(404), Subject::Get, Ok(())),
    case("condition of a put", Script::Status(412), Subject::Put, Ok(())),
    case("condition of a deletion", Script::Status(412), Subject::Delete, Ok(())),
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

/// Reads one request, head and body, and tells whether there was one.
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

async fn start_fake(script: Script) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    if matches!(script, Script::Refuse) {
        return address;
    }
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            tokio::spawn(async move {
                if read_request(&mut stream).await {
                    play(&mut stream, script).await;
                }
            });
        }
    });
    address
}

async fn play(stream: &mut TcpStream, script: Script) {
    match script {
        Script::Refuse => {}
        Script::SendAndClose(bytes) => stream.write_all(bytes.as_bytes()).await.unwrap(),
        Script::Status(code) => {
            let reply = format!("HTTP/1.1 {code} X\r\ncontent-length: 0\r\n\r\n");
            stream.write_all(reply.as_bytes()).await.unwrap();
        }
        Script::SendAndHang(bytes) => {
            stream.write_all(bytes.as_bytes()).await.unwrap();
            // Ends when the client gives up on the connection.
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
async fn each_failure_has_its_kind() {
    let mut running = JoinSet::new();
    for case in CASES {
        running.spawn(async move {
            let address = start_fake(case.script).await;
            let store = HttpStore::builder(address).timeout(CALL_TIMEOUT).build();
            let reply = store.call(call_of(case.subject)).await;
            let seen = reply.map(|_| ()).map_err(|error| error.kind());
            assert_eq!(seen, case.expected, "{}", case.name);
        });
    }
    running.join_all().await;
}

#[tokio::test]
async fn calls_that_make_no_sense_are_rejected_before_they_leave() {
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
    // Nothing listens here, so a call that left would be `NotSent`.
    let address = start_fake(Script::Refuse).await;
    let store = HttpStore::builder(address).build();
    for call in calls {
        let error = store.call(call).await.unwrap_err();
        assert_eq!(error.kind(), StoreErrorKind::Rejected, "{error}");
    }
}

/// Answers each request on a connection, and closes it in place of `answers + 1`.
async fn start_closing_fake(answers: usize, close_at_once: bool) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        let mut left = answers;
        while let Ok((mut stream, _)) = listener.accept().await {
            while left > 0 && read_request(&mut stream).await {
                left -= 1;
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
async fn an_idle_connection_that_closed_is_replaced() {
    let address = start_closing_fake(5, true).await;
    let store = HttpStore::builder(address).build();
    for _ in 0..5 {
        let reply = store.call(call_of(Subject::Put)).await;
        assert_eq!(reply, Ok(ObjectReply::Written(ObjectVersion(4))));
        // The end of the connection reaches the client before the next call.
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
}

#[tokio::test]
async fn a_write_that_left_on_a_reused_connection_is_not_sent_again() {
    let address = start_closing_fake(1, false).await;
    let store = HttpStore::builder(address).build();
    assert_eq!(store.call(call_of(Subject::Put)).await, Ok(ObjectReply::Written(ObjectVersion(4))));
    let error = store.call(call_of(Subject::Put)).await.unwrap_err();
    assert_eq!(error.kind(), StoreErrorKind::AnswerLost, "{error}");
}

/// Answers the first `answers` requests and is silent on their connections
/// afterwards, while connections that come later work.
async fn start_forgetting_fake(answers: usize) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let first_answers = Arc::new(Barrier::new(answers));
    tokio::spawn(async move {
        let mut accepted = 0;
        while let Ok((mut stream, _)) = listener.accept().await {
            let is_first = accepted < answers;
            accepted += 1;
            let first_answers = first_answers.clone();
            tokio::spawn(async move {
                while read_request(&mut stream).await {
                    if is_first {
                        first_answers.wait().await;
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
async fn one_silent_connection_costs_the_idle_ones_their_trust() {
    let address = start_forgetting_fake(3).await;
    let store = Arc::new(HttpStore::builder(address).timeout(CALL_TIMEOUT).build());
    let mut first_calls = JoinSet::new();
    for _ in 0..3 {
        let store = store.clone();
        first_calls.spawn(async move { store.call(call_of(Subject::Get)).await.unwrap() });
    }
    first_calls.join_all().await;
    // The barrier of the fake waits for a second request on all three connections.
    let error = store.call(call_of(Subject::Get)).await.unwrap_err();
    assert_eq!(error.kind(), StoreErrorKind::AnswerLost, "{error}");
    store.call(call_of(Subject::Get)).await.unwrap();
}

#[tokio::test]
async fn a_call_that_does_not_get_its_turn_is_not_sent() {
    let address = start_fake(Script::SendAndHang("")).await;
    for (max_calls, expected) in [(0, StoreErrorKind::NotSent), (1, StoreErrorKind::AnswerLost)] {
        let builder = HttpStore::builder(address).timeout(CALL_TIMEOUT);
        let store = builder.max_calls(max_calls).build();
        let error = store.call(call_of(Subject::Put)).await.unwrap_err();
        assert_eq!(error.kind(), expected, "{error}");
    }
}
