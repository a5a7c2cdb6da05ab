//! Each fault of a backend server shows on the wire as it is meant to.

mod common;

use std::time::Duration;

use carobstep_standin::{BackendStandin, HealthState, ServerFaultsPatch, ServerSettings};
use common::{Caller, QueryEnd, until};
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

struct RefusalCase {
    name: &'static str,
    change: fn(&mut ServerFaultsPatch),
    snapshot: &'static str,
    status: u16,
    not_run: &'static str,
    executed: u64,
}

const REFUSAL_CASES: &[RefusalCase] = &[
    refusal("none", |_| {}, "7", 200, "", 1),
    refusal("shed", |patch| patch.shed = Some(true), "7", 503, "shed", 0),
    refusal("draining", |patch| patch.state = Some(DRAINING), "7", 503, "draining", 0),
    refusal("snapshot gone", |_| {}, "5", 409, "snapshot-gone", 0),
    refusal("snapshot ahead", |_| {}, "8", 409, "snapshot-ahead", 0),
    refusal("moved on", |patch| patch.snapshots = Some(vec![8]), "7", 409, "snapshot-gone", 0),
    refusal("every snapshot", |patch| patch.snapshots = Some(Vec::new()), "99", 200, "", 1),
    refusal("error after the work", |patch| patch.error500 = Some(true), "7", 500, "", 1),
];

const DRAINING: HealthState = HealthState::Draining;

const fn refusal(
    name: &'static str,
    change: fn(&mut ServerFaultsPatch),
    snapshot: &'static str,
    status: u16,
    not_run: &'static str,
    executed: u64,
) -> RefusalCase {
    RefusalCase { name, change, snapshot, status, not_run, executed }
}

#[tokio::test]
async fn refusals_tell_whether_the_work_started() {
    for case in REFUSAL_CASES {
        let server = start().await;
        server.apply_faults(faults(case.change));
        let mut caller = Caller::connect(server.address()).await;
        let headers = [("x-request-id", "r1"), ("x-snapshot", case.snapshot)];
        let reply = caller.query(&headers, "{}").await.reply();
        assert_eq!(reply.status.as_u16(), case.status, "{}", case.name);
        assert_eq!(reply.header("x-not-run"), case.not_run, "{}", case.name);
        assert_eq!(server.report().executed, case.executed, "{}", case.name);
    }
}

#[tokio::test]
async fn a_shed_request_is_told_when_to_come_back() {
    let server = start().await;
    server.apply_faults(faults(|patch| {
        patch.shed = Some(true);
        patch.shed_retry_after_ms = Some(125);
    }));
    let mut caller = Caller::connect(server.address()).await;
    let reply = caller.query(&[("x-request-id", "r1")], "{}").await.reply();
    assert_eq!(reply.header("retry-after-ms"), "125");
}

#[tokio::test]
async fn a_truncated_reply_is_no_reply() {
    let server = start().await;
    server.apply_faults(faults(|patch| patch.truncate = Some(true)));
    let mut caller = Caller::connect(server.address()).await;
    let end = caller.query_or_silence("r1").await;
    assert!(matches!(end, QueryEnd::Broken), "{end:?}");
    assert_eq!(server.report().completed, 1);
}

#[tokio::test]
async fn a_swapped_echo_is_wrong_in_turn() {
    let server = start().await;
    server.apply_faults(faults(|patch| patch.swap_echo = Some(true)));
    let mut caller = Caller::connect(server.address()).await;
    let mut wrong = Vec::new();
    for _ in 0..3 {
        let headers = [("x-request-id", "r1"), ("x-shard", "s00"), ("x-snapshot", "7")];
        let reply = caller.query(&headers, "{}").await.reply();
        for (name, sent) in headers {
            if reply.header(name) != sent {
                wrong.push(name);
            }
        }
    }
    assert_eq!(wrong, ["x-shard", "x-snapshot", "x-request-id"]);
}

#[tokio::test]
async fn a_crossed_reply_belongs_to_the_request_before() {
    let server = start().await;
    let mut caller = Caller::connect(server.address()).await;
    caller.query(&[("x-request-id", "r1")], r#"{"n":1}"#).await.reply();
    server.apply_faults(faults(|patch| patch.crossed = Some(true)));
    let reply = caller.query(&[("x-request-id", "r2")], r#"{"n":2}"#).await.reply();
    assert_eq!(reply.header("x-request-id"), "r1");
    assert!(reply.body.ends_with(br#""echo":{"n":1}}"#), "{:?}", reply.body);
}

#[tokio::test]
async fn a_duplicated_reply_arrives_twice() {
    let server = start().await;
    server.apply_faults(faults(|patch| patch.duplicate = Some(true)));
    let mut stream = TcpStream::connect(server.address()).await.unwrap();
    let request =
        "POST /query HTTP/1.1\r\nhost: x\r\nx-request-id: r1\r\ncontent-length: 2\r\n\r\n{}";
    stream.write_all(request.as_bytes()).await.unwrap();
    let mut seen = String::new();
    let mut buffer = [0; 4096];
    while seen.matches("HTTP/1.1 200").count() < 2 || seen.matches("\"echo\":{}}").count() < 2 {
        let count = stream.read(&mut buffer).await.unwrap();
        assert_ne!(count, 0, "{seen}");
        seen.push_str(std::str::from_utf8(&buffer[..count]).unwrap());
    }
    assert_eq!(server.report().executed, 1);
}

#[tokio::test]
async fn old_connections_go_silent_while_new_ones_work() {
    let server = start().await;
    let mut old = Caller::connect(server.address()).await;
    old.query(&[("x-request-id", "r1")], "{}").await.reply();
    server.apply_faults(faults(|patch| {
        patch.silent = Some(true);
        patch.silent_hold_ms = Some(60_000);
    }));
    assert!(matches!(old.query_or_silence("r2").await, QueryEnd::Silent));
    let mut new = Caller::connect(server.address()).await;
    new.query(&[("x-request-id", "r3")], "{}").await.reply();
    drop(old);
    drop(new);
    // The server never learns that the old connection was closed.
    until(|| server.report().connections == 1).await;
    let report = server.report();
    assert_eq!((report.executed, report.silenced, report.connections_opened), (2, 1, 2));
}

#[tokio::test]
async fn a_request_that_runs_when_its_connection_goes_silent_runs_on() {
    let settings = ServerSettings { service_us: 300_000, ..ServerSettings::default() };
    let server = BackendStandin::start(settings).await.unwrap();
    let mut caller = Caller::connect(server.address()).await;
    let query = tokio::spawn(async move { caller.query_or_silence("r1").await });
    until(|| server.report().running == 1).await;
    server.apply_faults(faults(|patch| patch.silent = Some(true)));
    query.abort();
    until(|| server.report().completed == 1).await;
    assert_eq!(server.report().cancelled, 0);
}

#[tokio::test]
async fn a_silent_server_answers_nobody() {
    let server = start().await;
    server.apply_faults(faults(|patch| {
        patch.silent = Some(true);
        patch.silent_new = Some(true);
    }));
    let mut caller = Caller::connect(server.address()).await;
    assert!(matches!(caller.query_or_silence("r1").await, QueryEnd::Silent));
    assert_eq!(server.report().executed, 0);
    server.apply_faults(faults(|patch| {
        patch.silent = Some(false);
        patch.silent_new = Some(false);
    }));
    let mut caller = Caller::connect(server.address()).await;
    caller.query(&[("x-request-id", "r2")], "{}").await.reply();
}

#[tokio::test]
async fn health_follows_the_state_unless_it_misleads() {
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
        let mut reply = String::new();
        stream.read_to_string(&mut reply).await.unwrap();
        assert!(reply.ends_with(expected), "{reply}");
    }
}

#[tokio::test]
async fn slow_factors_multiply() {
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
        let mut caller = Caller::connect(server.address()).await;
        assert!(matches!(caller.query_or_silence("r1").await, QueryEnd::Silent));
    }
    server.apply_faults(faults(|patch| patch.cold = Some(false)));
    let mut caller = Caller::connect(server.address()).await;
    let query = caller.query(&[("x-request-id", "r2")], "{}");
    timeout(Duration::from_secs(30), query).await.unwrap().reply();
}

#[tokio::test]
async fn faults_and_report_go_over_the_control_address() {
    let server = start().await;
    let cases = [
        ("POST /standin/faults", r#"{"shed":true}"#, "HTTP/1.1 200", r#""shed":true"#),
        ("GET /standin/faults", "", "HTTP/1.1 200", r#""shed":true"#),
        ("POST /standin/faults", r#"{"hats":1}"#, "HTTP/1.1 400", "hats"),
        ("GET /standin/report", "", "HTTP/1.1 200", r#""executions":{}"#),
        ("GET /standin/summary", "", "HTTP/1.1 200", r#""violations":0"#),
        ("GET /query", "", "HTTP/1.1 404", ""),
    ];
    for (line, body, status, part) in cases {
        let request = format!(
            "{line} HTTP/1.1\r\nhost: x\r\nconnection: close\r\ncontent-length: {}\r\n\r\n{body}",
            body.len()
        );
        let mut stream = TcpStream::connect(server.control()).await.unwrap();
        stream.write_all(request.as_bytes()).await.unwrap();
        let mut reply = String::new();
        stream.read_to_string(&mut reply).await.unwrap();
        assert!(reply.starts_with(status) && reply.contains(part), "{line}: {reply}");
    }
}
