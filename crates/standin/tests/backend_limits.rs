//! A backend server counts what runs, what is open and what it executed.

mod common;

use std::time::Duration;

use carobstep_standin::{BackendStandin, ServerSettings};
use common::{Caller, QueryEnd, until};
use http::StatusCode;
use tokio::task::JoinSet;

const LONG_US: u64 = 60_000_000;

async fn start(settings: ServerSettings) -> BackendStandin {
    BackendStandin::start(settings).await.unwrap()
}

struct LimitCase {
    name: &'static str,
    callers: u32,
    slots: u32,
    connections: u32,
    violations: u64,
}

const LIMIT_CASES: &[LimitCase] = &[
    LimitCase { name: "within", callers: 2, slots: 2, connections: 2, violations: 0 },
    LimitCase { name: "slots", callers: 3, slots: 2, connections: 9, violations: 1 },
    LimitCase { name: "connections", callers: 4, slots: 9, connections: 2, violations: 2 },
    LimitCase { name: "both", callers: 3, slots: 1, connections: 2, violations: 3 },
];

#[tokio::test]
async fn going_past_what_was_lent_is_a_violation() {
    for case in LIMIT_CASES {
        let settings = ServerSettings {
            slots: case.slots,
            connections: case.connections,
            service_us: LONG_US,
            ..ServerSettings::default()
        };
        let server = start(settings).await;
        let mut callers = JoinSet::new();
        for number in 0..case.callers {
            let mut caller = Caller::connect(server.address()).await;
            let id = format!("r{number}");
            callers.spawn(async move { caller.query(&[("x-request-id", &id)], "{}").await });
        }
        until(|| server.report().running == case.callers).await;
        let report = server.report();
        assert_eq!(report.violations, case.violations, "{}", case.name);
        assert_eq!(report.peak_running, case.callers, "{}", case.name);
        assert_eq!(report.peak_connections, case.callers, "{}", case.name);
        callers.abort_all();
        until(|| server.report().running == 0 && server.report().connections == 0).await;
        let report = server.report();
        assert_eq!(report.cancelled, u64::from(case.callers), "{}", case.name);
        assert_eq!(report.executed, u64::from(case.callers), "{}", case.name);
    }
}

#[tokio::test]
async fn a_connection_is_kept_for_the_next_query() {
    let server = start(ServerSettings::default()).await;
    let mut caller = Caller::connect(server.address()).await;
    for number in 0..5 {
        let id = format!("r{number}");
        caller.query(&[("x-request-id", &id)], "{}").await.reply();
    }
    let report = server.report();
    assert_eq!((report.connections_opened, report.completed, report.violations), (1, 5, 0));
}

#[tokio::test]
async fn an_idle_connection_is_closed() {
    let server = start(ServerSettings { idle_ms: 50, ..ServerSettings::default() }).await;
    let mut caller = Caller::connect(server.address()).await;
    caller.query(&[("x-request-id", "r1")], "{}").await.reply();
    until(|| server.report().connections == 0).await;
    let end = caller.query_or_silence("r2").await;
    assert!(matches!(end, QueryEnd::Broken), "{end:?}");
    assert_eq!(server.report().executed, 1);
}

#[tokio::test]
async fn executions_are_counted_by_request_id_and_by_key() {
    let server = start(ServerSettings::default()).await;
    let mut caller = Caller::connect(server.address()).await;
    let queries: [&[(&str, &str)]; 3] = [
        &[("x-request-id", "r1"), ("idempotency-key", "k1")],
        &[("x-request-id", "r2"), ("idempotency-key", "k1")],
        &[("x-request-id", "r2")],
    ];
    for headers in queries {
        caller.query(headers, "{}").await.reply();
    }
    let executions = server.report().executions;
    let counted = ["r1", "r2", "k1"].map(|key| executions[key]);
    assert_eq!(counted, [1, 2, 2]);
}

#[tokio::test]
async fn a_deadline_stops_the_work() {
    let settings = ServerSettings { service_us: LONG_US, ..ServerSettings::default() };
    let server = start(settings).await;
    let mut caller = Caller::connect(server.address()).await;
    let headers = [("x-request-id", "r1"), ("x-deadline-ms", "30")];
    let reply = caller.query(&headers, "{}").await.reply();
    assert_eq!(reply.status, StatusCode::GATEWAY_TIMEOUT);
    assert_eq!(reply.header("x-not-run"), "");
    let report = server.report();
    assert_eq!((report.executed, report.cancelled, report.running), (1, 1, 0));
}

#[tokio::test]
async fn work_may_outlive_its_connection_for_a_while() {
    let cancel_us = 3_000_000;
    let settings = ServerSettings { service_us: LONG_US, cancel_us, ..ServerSettings::default() };
    let server = start(settings).await;
    let mut caller = Caller::connect(server.address()).await;
    let query = caller.query(&[("x-request-id", "r1")], "{}");
    let gave_up = tokio::time::timeout(Duration::from_millis(100), query).await.is_err();
    assert!(gave_up);
    drop(caller);
    until(|| server.report().connections == 0).await;
    assert_eq!(server.report().running, 1);
    until(|| server.report().running == 0).await;
    assert_eq!(server.report().cancelled, 1);
}

#[tokio::test]
async fn a_search_comes_back_byte_for_byte() {
    let cases = [
        (r#"{"q": [1,  2.50, "\u00e9"]}"#, r#"{"q": [1,  2.50, "\u00e9"]}"#),
        ("", r#""""#),
        ("not json", r#""not json""#),
    ];
    let settings = ServerSettings { name: "b7".to_owned(), ..ServerSettings::default() };
    let server = start(settings).await;
    let mut caller = Caller::connect(server.address()).await;
    for (body, echo) in cases {
        let headers = [("x-request-id", "r1"), ("x-shard", "s00"), ("x-snapshot", "7")];
        let reply = caller.query(&headers, body).await.reply();
        let expected = format!(r#"{{"server":"b7","shard":"s00","snapshot":7,"echo":{echo}}}"#);
        assert_eq!(reply.body, expected.as_bytes());
        let echoed = ["x-request-id", "x-shard", "x-snapshot"].map(|name| reply.header(name));
        assert_eq!(echoed, ["r1", "s00", "7"]);
    }
}

#[tokio::test]
async fn a_broken_caller_is_told_apart_from_a_silent_one() {
    let server = start(ServerSettings::default()).await;
    let mut caller = Caller::connect(server.address()).await;
    drop(server);
    let end = caller.query_or_silence("r1").await;
    assert!(matches!(end, QueryEnd::Broken), "{end:?}");
}
