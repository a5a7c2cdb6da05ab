//! A watch yields the events that it receives and detects every kind of broken
//! stream.

use std::{net::SocketAddr, time::Duration};

use carobstep_store::{
    HttpStore, ObjectKind, ObjectStore, ObjectVersion, StoreErrorKind, WatchEvent,
};
use serde_json::json;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpListener,
    task::JoinSet,
};

const IDLE_TIMEOUT: Duration = Duration::from_secs(2);
const HEAD: &str = "HTTP/1.1 200 OK\r\n\r\n";
const EVENT: &str = "{\"name\":\"current\",\"version\":6,\"value\":{\"a\":1}}\n";

struct Case {
    name: &'static str,
    /// Parts of the body, sent with a pause after each.
    parts: &'static [&'static str],
    /// Whether the platform closes the connection after the last part.
    closes: bool,
    /// Number of events before the error.
    events: usize,
}

const CASES: &[Case] = &[
    Case { name: "no data at all", parts: &[], closes: false, events: 0 },
    Case { name: "no data after an event", parts: &[EVENT], closes: false, events: 1 },
    Case {
        name: "no data after empty lines and an event",
        parts: &["\n", EVENT, "\n"],
        closes: false,
        events: 1,
    },
    Case { name: "closed after an event", parts: &[EVENT], closes: true, events: 1 },
    Case {
        name: "event split over several chunks",
        parts: &["{\"name\":\"current\",\"ver", "sion\":6,\"value\":{\"a\"", ":1}}\n"],
        closes: true,
        events: 1,
    },
    Case { name: "truncated event", parts: &["{\"name\":\"current\""], closes: true, events: 0 },
    Case { name: "line that is not JSON", parts: &["hello\n", EVENT], closes: false, events: 0 },
    Case { name: "repeated version", parts: &[EVENT, EVENT], closes: false, events: 1 },
    Case {
        name: "version that the watch started after",
        parts: &["{\"name\":\"current\",\"version\":5,\"value\":1}\n"],
        closes: false,
        events: 0,
    },
];

async fn start_fake_platform(
    head: &'static str,
    parts: &'static [&'static str],
    closes: bool,
) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        let (mut stream, _) = listener.accept().await.unwrap();
        let _ = stream.read(&mut [0; 4096]).await;
        stream.write_all(head.as_bytes()).await.unwrap();
        for part in parts {
            stream.write_all(part.as_bytes()).await.unwrap();
            tokio::time::sleep(IDLE_TIMEOUT / 20).await;
        }
        if !closes {
            let _ = stream.read(&mut [0; 1]).await;
        }
    });
    address
}

async fn check(case: &'static Case) {
    let address = start_fake_platform(HEAD, case.parts, case.closes).await;
    let store = HttpStore::builder(address).watch_idle_timeout(IDLE_TIMEOUT).build();
    let mut watch = store.watch(ObjectKind::Config, ObjectVersion(5)).await.unwrap();
    for _ in 0..case.events {
        let event = watch.next().await.unwrap().unwrap();
        let expected = WatchEvent {
            name: "current".to_owned(),
            version: ObjectVersion(6),
            value: Some(json!({"a": 1})),
        };
        assert_eq!(event, expected, "{}", case.name);
    }
    let error = watch.next().await.unwrap().unwrap_err();
    assert_eq!(error.kind(), StoreErrorKind::AnswerLost, "{}: {error}", case.name);
    assert_eq!(watch.next().await, None, "{}", case.name);
}

#[tokio::test]
async fn a_broken_watch_yields_its_events_and_one_error() {
    let mut running = JoinSet::new();
    for case in CASES {
        running.spawn(check(case));
    }
    running.join_all().await;
}

#[tokio::test]
async fn a_failed_watch_request_maps_to_its_error_kind() {
    let cases = [
        ("HTTP/1.1 410 X\r\ncontent-length: 0\r\n\r\n", StoreErrorKind::VersionGone),
        ("HTTP/1.1 404 X\r\ncontent-length: 0\r\n\r\n", StoreErrorKind::Rejected),
        ("HTTP/1.1 503 X\r\ncontent-length: 0\r\n\r\n", StoreErrorKind::AnswerLost),
        ("", StoreErrorKind::AnswerLost),
    ];
    for (head, expected) in cases {
        let address = start_fake_platform(head, &[], true).await;
        let store = HttpStore::builder(address).build();
        let error = store.watch(ObjectKind::Config, ObjectVersion(5)).await.unwrap_err();
        assert_eq!(error.kind(), expected, "{head:?}: {error}");
    }
}

#[tokio::test]
async fn an_endless_line_fails_the_watch() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        let (mut stream, _) = listener.accept().await.unwrap();
        let mut sent = stream.write_all(HEAD.as_bytes()).await;
        while sent.is_ok() {
            sent = stream.write_all(&[b'x'; 65_536]).await;
        }
    });
    let store = HttpStore::builder(address).build();
    let mut watch = store.watch(ObjectKind::Config, ObjectVersion(5)).await.unwrap();
    let error = watch.next().await.unwrap().unwrap_err();
    assert_eq!(error.kind(), StoreErrorKind::AnswerLost, "{error}");
}
