//! The client over real sockets, against the platform stand-in and nodes that
//! respond incorrectly.

use std::{sync::Arc, time::Duration};

use carobstep_client::{CommandLine, ExitStatus, HttpNodeApi, NodeApi, ReportPrinter, run_command};
use carobstep_standin::{PlatformFaultsPatch, PlatformSettings, PlatformStandin};
use carobstep_store::{HttpStore, ObjectKind};
use serde_json::{Value, json};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpListener,
    task::JoinSet,
};

use crate::support::ScratchFile;

const EXAMPLE: &str = concat!(env!("CARGO_MANIFEST_DIR"), "/../../examples/config.jsonc");

/// Timeout of one call, short so that lost responses do not slow down the test.
const CALL_TIMEOUT: Duration = Duration::from_millis(300);

async fn start() -> PlatformStandin {
    let platform = PlatformStandin::start(PlatformSettings::default()).await.unwrap();
    run(&platform, &["init", EXAMPLE]).await.unwrap();
    platform
}

async fn run(platform: &PlatformStandin, args: &[&str]) -> Result<Value, ExitStatus> {
    let address = platform.address().to_string();
    let global = ["--platform", &address, "--json"];
    let args: Vec<_> = args.iter().chain(&global).map(|arg| (*arg).to_owned()).collect();
    let CommandLine::Run { platform, format, command } = CommandLine::try_from(&args[..]).unwrap()
    else {
        panic!("{args:?} is no command");
    };
    let store = HttpStore::builder(platform).timeout(CALL_TIMEOUT).build();
    let mut out = Vec::new();
    let mut printer = ReportPrinter::new(format, &mut out);
    let execution = run_command(command, &store, &Arc::new(HttpNodeApi), &mut printer).await;
    execution.map_err(|error| error.status())?;
    Ok(serde_json::from_slice(&out).unwrap())
}

/// Returns the version of the configuration in force.
fn in_force(platform: &PlatformStandin) -> u64 {
    let (_, value) = platform.object(ObjectKind::Config, "current").unwrap();
    value["version"].as_u64().unwrap()
}

#[tokio::test]
async fn lost_responses_and_delayed_writes_create_one_version() {
    let file = ScratchFile::new("edge.jsonc", r#"{"services": {"orders": {"deadline_ms": 9}}}"#);
    let path = file.path();
    let faults = [
        PlatformFaultsPatch { lose_answers: Some(1), ..Default::default() },
        PlatformFaultsPatch { lose_answers: Some(2), ..Default::default() },
        PlatformFaultsPatch { delay_writes_ms: Some(500), ..Default::default() },
    ];
    for fault in faults {
        let platform = start().await;
        platform.apply_faults(fault.clone());
        let report = run(&platform, &["submit", "--base", "1", "--merge", path]).await;
        let report = report.unwrap_or_else(|status| panic!("{fault:?}: {status}"));
        assert_eq!(report["version"], 2, "{fault:?}");
        let again = ["submit", "--base", "1", "--merge", path, "--id"];
        let id = report["patch_id"].as_str().unwrap();
        let report = run(&platform, &[&again[..], &[id]].concat()).await.unwrap();
        assert_eq!(report["proof"], "earlier_run", "{fault:?}");
        assert_eq!(in_force(&platform), 2, "{fault:?}");
    }
}

#[tokio::test]
async fn one_of_concurrent_submissions_is_accepted() {
    let platform = Arc::new(start().await);
    let file = ScratchFile::new("race.jsonc", r#"{"indexes": {"race": {"deadline_ms": 9}}}"#);
    for base in 1..=5u64 {
        let mut submissions = JoinSet::new();
        for _ in 0..8 {
            let (platform, path) = (Arc::clone(&platform), file.path().to_owned());
            submissions.spawn(async move {
                let base = base.to_string();
                run(&platform, &["submit", "--base", &base, "--merge", &path]).await
            });
        }
        let results = submissions.join_all().await;
        let accepted = results.iter().filter(|result| result.is_ok()).count();
        let conflicts = results.iter().filter(|result| **result == Err(ExitStatus::Conflict));
        assert_eq!((accepted, conflicts.count()), (1, 7), "base {base}");
        assert_eq!(in_force(&platform), base + 1);
    }
    let history = run(&platform, &["history"]).await.unwrap();
    let listed = history.as_array().unwrap();
    assert_eq!(listed.len(), 6);
    assert!(listed.iter().all(|entry| entry.get("missing").is_none()), "{history}");
}

#[tokio::test]
async fn unavailable_platform_is_reported() {
    let platform = start().await;
    platform.apply_faults(PlatformFaultsPatch { down: Some(true), ..Default::default() });
    assert_eq!(run(&platform, &["show"]).await, Err(ExitStatus::Unreachable));
}

struct ResponseCase {
    response: &'static str,
    expected: Result<u64, &'static str>,
}

const RESPONSE_CASES: &[ResponseCase] = &[
    ResponseCase {
        response: "HTTP/1.1 200 OK\r\ncontent-length: 20\r\n\r\n{\"config_version\": 3}",
        expected: Err("EOF while parsing an object"),
    },
    ResponseCase {
        response: "HTTP/1.1 200 OK\r\ncontent-length: 21\r\n\r\n{\"config_version\": 3}",
        expected: Ok(3),
    },
    ResponseCase {
        response: "HTTP/1.1 200 OK\r\ncontent-length: 99\r\n\r\n{\"config_version\": 3}",
        expected: Err("error reading a body"),
    },
    ResponseCase {
        response: "HTTP/1.1 200 OK\r\ncontent-length: 9999999\r\n\r\n{}",
        expected: Err("answer is longer than 1048576 bytes"),
    },
    ResponseCase {
        response: "HTTP/1.1 503 Service Unavailable\r\ncontent-length: 0\r\n\r\n",
        expected: Err("status 503"),
    },
    ResponseCase { response: "garbage\r\n\r\n", expected: Err("invalid HTTP version") },
    ResponseCase { response: "", expected: Err("connection closed") },
];

#[tokio::test]
async fn malformed_node_responses_are_errors() {
    for case in RESPONSE_CASES {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let serving = tokio::spawn(async move {
            let (mut stream, _) = listener.accept().await.unwrap();
            let mut request = [0; 1024];
            let _ = stream.read(&mut request).await.unwrap();
            stream.write_all(case.response.as_bytes()).await.unwrap();
        });
        let found = HttpNodeApi.get(address, "/v1/status").await;
        serving.await.unwrap();
        match (found, case.expected) {
            (Ok(value), Ok(version)) => assert_eq!(value, json!({"config_version": version})),
            (Err(error), Err(part)) => {
                assert!(error.0.contains(part), "{:?}: {}", case.response, error.0);
            }
            (found, _) => panic!("{:?}: {found:?}", case.response),
        }
    }
}

#[tokio::test]
async fn unresponsive_node_times_out() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let error = HttpNodeApi.get(address, "/v1/status").await.expect_err("a timeout");
    assert_eq!(error.0, "no answer in 2000 ms");
}
