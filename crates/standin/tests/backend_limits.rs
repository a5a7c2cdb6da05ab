//! Checks how a backend server counts running requests, connections and executions.

mod common;

use std::time::Duration;

use carobstep_standin::{BackendStandin, ServerSettings};
use common::{QueryClient, QueryOutcome, wait_until};
use http::StatusCode;
use tokio::task::JoinSet;

const LONG_SERVICE_US: u64 = 60_000_000;

async fn start(settings: ServerSettings) -> BackendStandin {
    BackendStandin::start(settings).await.unwrap()
}

struct LimitCase {
    name: &'static str,
    clients: u32,
    slots: u32,
    connections: u32,
    violations: u64,
}

const LIMIT_CASES: &[LimitCase] = &[
    LimitCase { name: "within", clients: 2, slots: 2, connections: 2, violations: 0 },
    LimitCase { name: "slots", clients: 3, slots: 2, connections: 9, violations: 1 },
    LimitCase { name: "connections", clients: 4, slots: 9, connections: 2, violations: 2 },
    LimitCase { name: "both", clients: 3, slots: 1, connections: 2, violations: 3 },
];

#[tokio::test]
async fn exceeding_a_limit_is_a_violation() {
    for case in LIMIT_CASES {
        let settings = ServerSettings {
            slots: case.slots,
            connections: case.connections,
            service_us: LONG_SERVICE_US,
            ..ServerSettings::default()
        };
        let server = start(settings).await;
        let mut clients = JoinSet::new();
        for number in 0..case.clients {
            let mut client = QueryClient::connect(server.address()).await;
            let id = format!("r{number}");
            clients.spawn(async move { client.query(&[("x-request-id", &id)], "{}").await });
        }
        wait_until(|| server.report().running == case.clients).await;
        let report = server.report();
        assert_eq!(report.violations, case.violations, "{}", case.name);
        assert_eq!(report.peak_running, case.clients, "{}", case.name);
        assert_eq!(report.peak_connections, case.clients, "{}", case.name);
        clients.abort_all();
        wait_until(|| server.report().running == 0 && server.report().connections == 0).await;
        let report = server.report();
        assert_eq!(report.cancelled, u64::from(case.clients), "{}", case.name);
        assert_eq!(report.executed, u64::from(case.clients), "{}", case.name);
    }
}

#[tokio::test]
async fn a_connection_is_reused_for_the_next_query() {
    let server = start(ServerSettings::default()).await;
    let mut client = QueryClient::connect(server.address()).await;
    for number in 0..5 {
        let id = format!("r{number}");
        client.query(&[("x-request-id", &id)], "{}").await.expect_response();
    }
    let report = server.report();
    assert_eq!((report.connections_opened, report.completed, report.violations), (1, 5, 0));
}

#[tokio::test]
async fn an_idle_connection_is_closed() {
    let server = start(ServerSettings { idle_ms: 50, ..ServerSettings::default() }).await;
    let mut client = QueryClient::connect(server.address()).await;
    client.query(&[("x-request-id", "r1")], "{}").await.expect_response();
    wait_until(|| server.report().connections == 0).await;
    let outcome = client.query_with_timeout("r2").await;
    assert!(matches!(outcome, QueryOutcome::ConnectionClosed), "{outcome:?}");
    assert_eq!(server.report().executed, 1);
}

#[tokio::test]
async fn executions_are_counted_by_request_id_and_by_key() {
    let server = start(ServerSettings::default()).await;
    let mut client = QueryClient::connect(server.address()).await;
    let queries: [&[(&str, &str)]; 3] = [
        &[("x-request-id", "r1"), ("idempotency-key", "k1")],
        &[("x-request-id", "r2"), ("idempotency-key", "k1")],
        &[("x-request-id", "r2")],
    ];
    for headers in queries {
        client.query(headers, "{}").await.expect_response();
    }
    let executions = server.report().executions;
    let counted = ["r1", "r2", "k1"].map(|key| executions[key]);
    assert_eq!(counted, [1, 2, 2]);
}

#[tokio::test]
async fn a_passed_deadline_cancels_the_execution() {
    let settings = ServerSettings { service_us: LONG_SERVICE_US, ..ServerSettings::default() };
    let server = start(settings).await;
    let mut client = QueryClient::connect(server.address()).await;
    let headers = [("x-request-id", "r1"), ("x-deadline-ms", "30")];
    let response = client.query(&headers, "{}").await.expect_response();
    assert_eq!(response.status, StatusCode::GATEWAY_TIMEOUT);
    assert_eq!(response.header("x-not-run"), "");
    let report = server.report();
    assert_eq!((report.executed, report.cancelled, report.running), (1, 1, 0));
}

#[tokio::test]
async fn an_execution_outlives_its_connection_by_the_cancellation_delay() {
    let cancel_us = 3_000_000;
    let settings =
        ServerSettings { service_us: LONG_SERVICE_US, cancel_us, ..ServerSettings::default() };
    let server = start(settings).await;
    let mut client = QueryClient::connect(server.address()).await;
    let query = client.query(&[("x-request-id", "r1")], "{}");
    let timed_out = tokio::time::timeout(Duration::from_millis(100), query).await.is_err();
    assert!(timed_out);
    drop(client);
    wait_until(|| server.report().connections == 0).await;
    assert_eq!(server.report().running, 1);
    wait_until(|| server.report().running == 0).await;
    assert_eq!(server.report().cancelled, 1);
}

#[tokio::test]
async fn a_query_is_echoed_byte_for_byte() {
    let cases = [
        (r#"{"q": [1,  2.50, "\u00e9"]}"#, r#"{"q": [1,  2.50, "\u00e9"]}"#),
        ("", r#""""#),
        ("not json", r#""not json""#),
    ];
    let settings = ServerSettings { name: "b7".to_owned(), ..ServerSettings::default() };
    let server = start(settings).await;
    let mut client = QueryClient::connect(server.address()).await;
    for (body, echo) in cases {
        let headers = [("x-request-id", "r1"), ("x-shard", "s00"), ("x-snapshot", "7")];
        let response = client.query(&headers, body).await.expect_response();
        let expected = format!(r#"{{"server":"b7","shard":"s00","snapshot":7,"echo":{echo}}}"#);
        assert_eq!(response.body, expected.as_bytes());
        let echoed = ["x-request-id", "x-shard", "x-snapshot"].map(|name| response.header(name));
        assert_eq!(echoed, ["r1", "s00", "7"]);
    }
}

#[tokio::test]
async fn a_closed_connection_differs_from_a_missing_response() {
    let server = start(ServerSettings::default()).await;
    let mut client = QueryClient::connect(server.address()).await;
    drop(server);
    let outcome = client.query_with_timeout("r1").await;
    assert!(matches!(outcome, QueryOutcome::ConnectionClosed), "{outcome:?}");
}
