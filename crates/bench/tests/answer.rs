//! Responses are checked against the manifest and the request.

use bytes::Bytes;
use carobstep_bench::{
    ExecutionLedger, HttpAnswer, LedgerMismatches, LoadSample, ManifestCheck, RequestOutcome,
    SampleKind, SearchOutcome, service_outcome,
};
use http::{HeaderMap, StatusCode};
use serde_json::{Value, json};
use std::time::Duration;

fn response(status: u16, body: &Value) -> HttpAnswer {
    HttpAnswer {
        status: StatusCode::from_u16(status).unwrap(),
        headers: HeaderMap::new(),
        body: Bytes::from(body.to_string()),
    }
}

fn result(shard: &str, holds: &str, snapshot: u64, echo: u64) -> Value {
    json!({"shard": shard, "body": {"shard": holds, "snapshot": snapshot, "echo": {"q": echo}}})
}

struct SearchCase {
    name: &'static str,
    snapshot: u64,
    covered: Value,
    missing: Value,
    results: Value,
    error: Option<&'static str>,
}

#[test]
fn search_responses_are_checked() {
    let missing = json!([{"shard": "s1", "reason": "deadline_passed"}]);
    let cases = [
        SearchCase {
            name: "full",
            snapshot: 2,
            covered: json!(["s0", "s1"]),
            missing: json!([]),
            results: json!([result("s0", "s0", 2, 7), result("s1", "s1", 2, 7)]),
            error: None,
        },
        SearchCase {
            name: "partial",
            snapshot: 2,
            covered: json!(["s0"]),
            missing: missing.clone(),
            results: json!([result("s0", "s0", 2, 7)]),
            error: None,
        },
        SearchCase {
            name: "unknown snapshot",
            snapshot: 3,
            covered: json!(["s0"]),
            missing: missing.clone(),
            results: json!([result("s0", "s0", 3, 7)]),
            error: Some("never published"),
        },
        SearchCase {
            name: "shard in both lists",
            snapshot: 2,
            covered: json!(["s0", "s1"]),
            missing: missing.clone(),
            results: json!([]),
            error: Some("listed twice"),
        },
        SearchCase {
            name: "shard missing",
            snapshot: 2,
            covered: json!(["s0"]),
            missing: json!([]),
            results: json!([result("s0", "s0", 2, 7)]),
            error: Some("1 of 2 shards"),
        },
        SearchCase {
            name: "mixed snapshots",
            snapshot: 2,
            covered: json!(["s0"]),
            missing: missing.clone(),
            results: json!([result("s0", "s0", 1, 7)]),
            error: Some("of snapshot 1"),
        },
        SearchCase {
            name: "another shard's result",
            snapshot: 2,
            covered: json!(["s0"]),
            missing: missing.clone(),
            results: json!([result("s0", "s1", 2, 7)]),
            error: Some("holds shard"),
        },
        SearchCase {
            name: "another request's result",
            snapshot: 2,
            covered: json!(["s0"]),
            missing,
            results: json!([result("s0", "s0", 2, 8)]),
            error: Some("another request"),
        },
    ];
    let mut check = ManifestCheck::default();
    check.add(&json!({"snapshots": [{"number": 2, "shards": {"s0": "a", "s1": "b"}}]}));
    for case in cases {
        let coverage = json!({"covered": case.covered, "lacking": case.missing});
        let body =
            json!({"snapshot": case.snapshot, "coverage": coverage, "results": case.results});
        let outcome = check.search_outcome(&json!({"q": 7}), &response(200, &body));
        match (outcome, case.error) {
            (RequestOutcome::Searched(SearchOutcome { snapshot, .. }), None) => {
                assert_eq!(snapshot, 2)
            }
            (RequestOutcome::Invalid(message), Some(error)) => {
                assert!(message.contains(error), "{}: {message}", case.name);
            }
            (outcome, _) => panic!("{}: {outcome:?}", case.name),
        }
    }
}

struct ServiceCase {
    status: u16,
    body: Value,
    outcome: RequestOutcome,
}

#[test]
fn service_responses_map_to_their_outcomes() {
    let not_run = RequestOutcome::NotRun {
        reason: "platform_down".to_owned(),
        retry_after: Some(Duration::from_millis(250)),
    };
    let cases = [
        ServiceCase {
            status: 200,
            body: json!({"outcome": "ran", "replayed": true}),
            outcome: RequestOutcome::Ran { replayed: true },
        },
        ServiceCase {
            status: 503,
            body: json!({"outcome": "not_run", "reason": "platform_down", "retry_after_ms": 250}),
            outcome: not_run,
        },
        ServiceCase {
            status: 504,
            body: json!({"outcome": "unknown", "reason": "peer_lost"}),
            outcome: RequestOutcome::Unknown { reason: "peer_lost".to_owned() },
        },
        ServiceCase {
            status: 500,
            body: json!({}),
            outcome: RequestOutcome::Invalid(
                "status 500 Internal Server Error without an outcome".into(),
            ),
        },
    ];
    for case in cases {
        assert_eq!(service_outcome(&response(case.status, &case.body)), case.outcome);
    }
}

fn order(key: &str, outcome: RequestOutcome) -> LoadSample {
    LoadSample {
        kind: SampleKind::Order,
        scheduled_at: Duration::ZERO,
        latency: Duration::ZERO,
        outcome,
        key: Some(key.to_owned()),
        retry_outcome: None,
    }
}

#[test]
fn ledger_finds_contradictions() {
    let refused = RequestOutcome::NotRun { reason: String::new(), retry_after: None };
    let ran = RequestOutcome::Ran { replayed: false };
    let samples = [
        order("reported-not-run", refused.clone()),
        order("reported-ran", ran.clone()),
        order("retried", refused),
        order("retried", ran),
    ];
    let executions = [("reported-not-run", 1), ("retried", 1), ("twice", 2)];
    let ledger: ExecutionLedger =
        executions.into_iter().map(|(key, count)| (key.to_owned(), count)).collect();
    let mismatches =
        LedgerMismatches { repeated: 1, not_run_but_executed: 1, ran_but_not_executed: 1 };
    assert_eq!(ledger.compare(&samples), mismatches);
}
