//! Answers are checked against the manifest and the request.

use bytes::Bytes;
use carobstep_bench::{
    CallerView, ExecutionLedger, HttpAnswer, LedgerFaults, LoadSample, ManifestCheck, SampleKind,
    SearchView, service_view,
};
use http::{HeaderMap, StatusCode};
use serde_json::{Value, json};
use std::time::Duration;

fn answer(status: u16, body: &Value) -> HttpAnswer {
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
    lacking: Value,
    results: Value,
    fault: Option<&'static str>,
}

#[test]
fn search_answers_are_checked() {
    let lacking = json!([{"shard": "s1", "reason": "deadline_passed"}]);
    let cases = [
        SearchCase {
            name: "full",
            snapshot: 2,
            covered: json!(["s0", "s1"]),
            lacking: json!([]),
            results: json!([result("s0", "s0", 2, 7), result("s1", "s1", 2, 7)]),
            fault: None,
        },
        SearchCase {
            name: "partial",
            snapshot: 2,
            covered: json!(["s0"]),
            lacking: lacking.clone(),
            results: json!([result("s0", "s0", 2, 7)]),
            fault: None,
        },
        SearchCase {
            name: "unknown snapshot",
            snapshot: 3,
            covered: json!(["s0"]),
            lacking: lacking.clone(),
            results: json!([result("s0", "s0", 3, 7)]),
            fault: Some("never published"),
        },
        SearchCase {
            name: "shard in both lists",
            snapshot: 2,
            covered: json!(["s0", "s1"]),
            lacking: lacking.clone(),
            results: json!([]),
            fault: Some("listed twice"),
        },
        SearchCase {
            name: "shard missing",
            snapshot: 2,
            covered: json!(["s0"]),
            lacking: json!([]),
            results: json!([result("s0", "s0", 2, 7)]),
            fault: Some("1 of 2 shards"),
        },
        SearchCase {
            name: "blend of snapshots",
            snapshot: 2,
            covered: json!(["s0"]),
            lacking: lacking.clone(),
            results: json!([result("s0", "s0", 1, 7)]),
            fault: Some("of snapshot 1"),
        },
        SearchCase {
            name: "another shard's result",
            snapshot: 2,
            covered: json!(["s0"]),
            lacking: lacking.clone(),
            results: json!([result("s0", "s1", 2, 7)]),
            fault: Some("holds shard"),
        },
        SearchCase {
            name: "another request's result",
            snapshot: 2,
            covered: json!(["s0"]),
            lacking,
            results: json!([result("s0", "s0", 2, 8)]),
            fault: Some("another request"),
        },
    ];
    let mut check = ManifestCheck::default();
    check.add(&json!({"snapshots": [{"number": 2, "shards": {"s0": "a", "s1": "b"}}]}));
    for case in cases {
        let coverage = json!({"covered": case.covered, "lacking": case.lacking});
        let body =
            json!({"snapshot": case.snapshot, "coverage": coverage, "results": case.results});
        let view = check.search_view(&json!({"q": 7}), &answer(200, &body));
        match (view, case.fault) {
            (CallerView::Searched(SearchView { snapshot, .. }), None) => assert_eq!(snapshot, 2),
            (CallerView::False(message), Some(fault)) => {
                assert!(message.contains(fault), "{}: {message}", case.name);
            }
            (view, _) => panic!("{}: {view:?}", case.name),
        }
    }
}

struct ServiceCase {
    status: u16,
    body: Value,
    view: CallerView,
}

#[test]
fn service_answers_keep_the_three_outcomes_apart() {
    let not_run = CallerView::NotRun {
        reason: "platform_down".to_owned(),
        retry_after: Some(Duration::from_millis(250)),
    };
    let cases = [
        ServiceCase {
            status: 200,
            body: json!({"outcome": "ran", "replayed": true}),
            view: CallerView::Ran { replayed: true },
        },
        ServiceCase {
            status: 503,
            body: json!({"outcome": "not_run", "reason": "platform_down", "retry_after_ms": 250}),
            view: not_run,
        },
        ServiceCase {
            status: 504,
            body: json!({"outcome": "unknown", "reason": "peer_lost"}),
            view: CallerView::Unknown { reason: "peer_lost".to_owned() },
        },
        ServiceCase {
            status: 500,
            body: json!({}),
            view: CallerView::False("status 500 Internal Server Error without an outcome".into()),
        },
    ];
    for case in cases {
        assert_eq!(service_view(&answer(case.status, &case.body)), case.view);
    }
}

fn order(key: &str, view: CallerView) -> LoadSample {
    LoadSample {
        kind: SampleKind::Order,
        at: Duration::ZERO,
        latency: Duration::ZERO,
        view,
        key: Some(key.to_owned()),
        later: None,
    }
}

#[test]
fn ledger_finds_contradictions() {
    let refused = CallerView::NotRun { reason: String::new(), retry_after: None };
    let ran = CallerView::Ran { replayed: false };
    let samples = [
        order("told-not-run", refused.clone()),
        order("told-ran", ran.clone()),
        order("resent", refused),
        order("resent", ran),
    ];
    let executions = [("told-not-run", 1), ("resent", 1), ("twice", 2)];
    let ledger: ExecutionLedger =
        executions.into_iter().map(|(key, count)| (key.to_owned(), count)).collect();
    let faults = LedgerFaults { repeated: 1, not_run_but_executed: 1, ran_but_not_executed: 1 };
    assert_eq!(ledger.compare(&samples), faults);
}
