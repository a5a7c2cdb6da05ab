//! Checks the effect of each backend server fault on responses and connections.

mod common;

use std::time::Duration;

use carobstep_standin::{BackendStandin, HealthState, ServerFaultsPatch, ServerSettings};
use common::{QueryClient, QueryOutcome, wait_until};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
    time::timeout,
};

async fn start() -> BackendStandin {
    let settings = ServerSettings { snapshots: vec![6, 7], ..ServerSettings::default() };
    BackendStandin::start(settings).await.unwrap()
}

fn faults(change: impl FnOnce(&mut ServerFaultsPatch)) -> ServerFaultsPatch {
    let mut patch = ServerFaultsPatch::default();
    change(&mut patch);
    patch
}

struct RejectionCase {
    name: &'static str,
    change: fn(&mut ServerFaultsPatch),
    snapshot: &'static str,
    status: u16,
    not_run: &'static str,
    executed: u64,
}

const REJECTION_CASES: &[RejectionCase] = &[
    rejection_case("none", |_| {}, "7", 200, "", 1),
    rejection_case("shed", |patch| patch.shed = Some(true), "7", 503, "shed", 0),
    rejection_case("draining", |patch| patch.state = Some(DRAINING), "7", 503, "draining", 0),
    rejection_case("snapshot gone", |_| {}, "5", 409, "snapshot-gone", 0),
    rejection_case("snapshot ahead", |_| {}, "8", 409, "snapshot-ahead", 0),
    rejection_case(
        "snapshot replaced",
        |patch| patch.snapshots = Some(vec![8]),
        "7",
        409,
        "snapshot-gone",
        0,
    ),
    rejection_case("every snapshot", |patch| patch.snapshots = Some(Vec::new()), "99", 200, "", 1),
    rejection_case("error after execution", |patch| patch.error500 = Some(true), "7", 500, "", 1),
];

const DRAINING: HealthState = HealthState::Draining;

const fn rejection_case(
    name: &'static str,
    change: fn(&mut ServerFaultsPatch),
    snapshot: &'static str,
    status: u16,
    not_run: &'static str,
    executed: u64,
) -> RejectionCase {
    RejectionCase { name, change, snapshot, status, not_run, executed }
}

#[tokio::test]
async fn rejections_report_whether_the_request_was_executed() {
    for case in REJECTION_CASES {
        let server = start().await;
        server.apply_faults(faults(case.change));
        let mut client = QueryClient::connect(server.address()).await;
        let headers = [("x-request-id", "r1"), ("x-snapshot", case.snapshot)];
        let response = client.query(&headers, "{}").await.expect_response();
        assert_eq!(response.status.as_u16(), case.status, "{}", case.name);
        assert_eq!(response.header("x-not-run"), case.not_run, "{}", case.name);
        assert_eq!(server.report().executed, case.executed, "{}", case.name);
    }
}

#[tokio::test]
async fn a_shed_request_gets_a_retry_after_delay() {
    let server = start().await;
    server.apply_faults(faults(|patch| {
        patch.shed = Some(true);
        patch.shed_retry_after_ms = Some(125);
    }));
    let mut client = QueryClient::connect(server.address()).await;
    let response = client.query(&[("x-request-id", "r1")], "{}").await.expect_response();
    assert_eq!(response.header("retry-after-ms"), "125");
}

#[tokio::test]
async fn a_truncated_response_fails_the_query() {
    let server = start().await;
    server.apply_faults(faults(|patch| patch.truncate = Some(true)));
    let mut client = QueryClient::connect(server.address()).await;
    let outcome = client.query_with_timeout("r1").await;
    assert!(matches!(outcome, QueryOutcome::ConnectionClosed), "{outcome:?}");
    assert_eq!(server.report().completed, 1);
}

#[tokio::test]
async fn swap_echo_corrupts_one_field_of_each_response_in_rotation() {
    let server = start().await;
    server.apply_faults(faults(|patch| patch.swap_echo = Some(true)));
    let mut client = QueryClient::connect(server.address()).await;
    let mut wrong = Vec::new();
    for _ in 0..3 {
        let headers = [("x-request-id", "r1"), ("x-shard", "s00"), ("x-snapshot", "7")];
        let response = client.query(&headers, "{}").await.expect_response();
        for (name, sent) in headers {
            if response.header(name) != sent {
                wrong.push(name);
            }
        }
    }
    assert_eq!(wrong, ["x-shard", "x-snapshot", "x-request-id"]);
}

#[tokio::test]
async fn a_crossed_response_echoes_the_previous_request() {
    let server = start().await;
    let mut client = QueryClient::connect(server.address()).await;
    client.query(&[("x-request-id", "r1")], r#"{"n":1}"#).await.expect_response();
    server.apply_faults(faults(|patch| patch.crossed = Some(true)));
    let response = client.query(&[("x-request-id", "r2")], r#"{"n":2}"#).await.expect_response();
    assert_eq!(response.header("x-request-id"), "r1");
    assert!(response.body.ends_with(br#""echo":{"n":1}}"#), "{:?}", response.body);
}

#[tokio::test]
async fn a_duplicated_response_arrives_twice() {
    let server = start().await;
    server.apply_faults(faults(|patch| patch.duplicate = Some(true)));
    let mut stream = TcpStream::connect(server.address()).await.unwrap();
    let request =
        "POST /query HTTP/1.1\r\nhost: x\r\nx-request-id: r1\r\ncontent-length: 2\r\n\r\n{}";
    stream.write_all(request.as_bytes()).await.unwrap();
    let mut received = String::new();
    let mut buffer = [0; 4096];
    while received.matches("HTTP/1.1 200").count() < 2
        || received.matches("\"echo\":{}}").count() < 2
    {
        let count = stream.read(&mut buffer).await.unwrap();
        assert_ne!(count, 0, "{received}");
        received.push_str(std::str::from_utf8(&buffer[..count]).unwrap());
    }
    assert_eq!(server.report().executed, 1);
}

#[tokio::test]
async fn open_connections_go_silent_while_new_ones_work() {
    let server = start().await;
    let mut old = QueryClient::connect(server.address()).await;
    old.query(&[("x-request-id", "r1")], "{}").await.expect_response();
    server.apply_faults(faults(|patch| {
        patch.silent = Some(true);
        patch.silent_hold_ms = Some(60_000);
    }));
    assert!(matches!(old.query_with_timeout("r2").await, QueryOutcome::TimedOut));
    let mut new = QueryClient::connect(server.address()).await;
    new.query(&[("x-request-id", "r3")], "{}").await.expect_response();
    drop(old);
    drop(new);
    // The server does not detect that the client closed the old connection.
    wait_until(|| server.report().connections == 1).await;
    let report = server.report();
    assert_eq!((report.executed, report.silenced, report.connections_opened), (2, 1, 2));
}

#[tokio::test]
async fn a_running_request_completes_after_its_connection_went_silent() {
    let settings = ServerSettings { service_us: 300_000, ..ServerSettings::default() };
    let server = BackendStandin::start(settings).await.unwrap();
    let mut client = QueryClient::connect(server.address()).await;
    let query = tokio::spawn(async move { client.query_with_timeout("r1").await });
    wait_until(|| server.report().running == 1).await;
    server.apply_faults(faults(|patch| patch.silent = Some(true)));
    query.abort();
    wait_until(|| server.report().completed == 1).await;
    assert_eq!(server.report().cancelled, 0);
}

#[tokio::test]
async fn a_silent_server_sends_no_responses() {
    let server = start().await;
    server.apply_faults(faults(|patch| {
        patch.silent = Some(true);
        patch.silent_new = Some(true);
    }));
    let mut client = QueryClient::connect(server.address()).await;
    assert!(matches!(client.query_with_timeout("r1").await, QueryOutcome::TimedOut));
    assert_eq!(server.report().executed, 0);
    server.apply_faults(faults(|patch| {
        patch.silent = Some(false);
        patch.silent_new = Some(false);
    }));
    let mut client = QueryClient::connect(server.address()).await;
    client.query(&[("x-request-id", "r2")], "{}").await.expect_response();
}

#[tokio::test]
async fn health_reports_the_state_unless_it_is_misleading() {
    let cases = [
        (HealthState::Healthy, false, r#"{"state":"healthy","load":0.0}"#),
        (HealthState::Draining, false, r#"{"state":"draining","load":0.0}"#),
        (HealthState::Draining, true, r#"{"state":"healthy","load":0.0}"#),
    ];
    let server = start().await;
    for (state, misleading, expected) in cases {
        server.apply_faults(faults(|patch| {
            patch.state = Some(state);
            patch.misleading_health = Some(misleading);
        }));
        let mut stream = TcpStream::connect(server.address()).await.unwrap();
        let request = "GET /health HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\r\n";
        stream.write_all(request.as_bytes()).await.unwrap();
        let mut response = String::new();
        stream.read_to_string(&mut response).await.unwrap();
        assert!(response.ends_with(expected), "{response}");
    }
}

#[tokio::test]
async fn each_slow_factor_delays_responses() {
    let settings = ServerSettings { service_us: 1_000, ..ServerSettings::default() };
    let server = BackendStandin::start(settings).await.unwrap();
    let changes: [fn(&mut ServerFaultsPatch); 3] = [
        |patch| patch.slow_factor = Some(1e6),
        |patch| {
            patch.slow_factor = Some(1.0);
            patch.straggle_percent = Some(100.0);
            patch.straggle_factor = Some(1e6);
        },
        |patch| {
            patch.straggle_percent = Some(0.0);
            patch.cold = Some(true);
            patch.cold_ms = Some(3_600_000);
            patch.cold_factor = Some(1e6);
        },
    ];
    for change in changes {
        server.apply_faults(faults(change));
        let mut client = QueryClient::connect(server.address()).await;
        assert!(matches!(client.query_with_timeout("r1").await, QueryOutcome::TimedOut));
    }
    server.apply_faults(faults(|patch| patch.cold = Some(false)));
    let mut client = QueryClient::connect(server.address()).await;
    let query = client.query(&[("x-request-id", "r2")], "{}");
    timeout(Duration::from_secs(30), query).await.unwrap().expect_response();
}

#[tokio::test]
async fn the_control_address_serves_faults_and_reports() {
    let server = start().await;
    let cases = [
        ("POST /standin/faults", r#"{"shed":true}"#, "HTTP/1.1 200", r#""shed":true"#),
        ("GET /standin/faults", "", "HTTP/1.1 200", r#""shed":true"#),
        ("POST /standin/faults", r#"{"hats":1}"#, "HTTP/1.1 400", "hats"),
        ("GET /standin/report", "", "HTTP/1.1 200", r#""executions":{}"#),
        ("GET /standin/summary", "", "HTTP/1.1 200", r#""violations":0"#),
        ("GET /query", "", "HTTP/1.1 404", ""),
    ];
    for (line, body, status, expected) in cases {
        let request = format!(
            "{line} HTTP/1.1\r\nhost: x\r\nconnection: close\r\ncontent-length: {}\r\n\r\n{body}",
            body.len()
        );
        let mut stream = TcpStream::connect(server.control()).await.unwrap();
        stream.write_all(request.as_bytes()).await.unwrap();
        let mut response = String::new();
        stream.read_to_string(&mut response).await.unwrap();
        assert!(response.starts_with(status) && response.contains(expected), "{line}: {response}");
    }
}
