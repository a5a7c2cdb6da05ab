//! Each caller receives the whole answer to its own request.

use carobstep_bench::{CallerView, OutcomeSummary};
use serde_json::json;
use tokio::task::JoinSet;

use crate::support::ProofRun;

/// Requests that are in flight at the same time.
const IN_FLIGHT: usize = 2_000;

struct ReplyCase {
    name: &'static str,
    faults: &'static str,
}

const CASES: [ReplyCase; 4] = [
    ReplyCase { name: "none", faults: "{}" },
    ReplyCase { name: "crossed", faults: r#"{"crossed": true}"# },
    ReplyCase { name: "duplicated", faults: r#"{"crossed": false, "duplicate": true}"# },
    ReplyCase { name: "late", faults: r#"{"duplicate": false, "straggle_percent": 20}"# },
];

#[tokio::test(flavor = "multi_thread")]
async fn belong_to_their_requests_with_thousands_in_flight() {
    let run = ProofRun::start("answers").await;
    for case in CASES {
        println!("case {}", case.name);
        let faults = serde_json::from_str(case.faults).unwrap();
        // Half of the replicas misbehave, so that the others still answer.
        for server in run.deployment.servers.iter().step_by(2) {
            server.faults(&run.deployment.client, &faults).await.unwrap();
        }
        let mut callers = JoinSet::new();
        for number in 0..IN_FLIGHT {
            let side = run.side.clone();
            let padding = "x".repeat(number % 1_500);
            let body = json!({"case": case.name, "payload": number, "padding": padding});
            callers.spawn(async move { side.search_with(body).await });
        }
        let views = callers.join_all().await;
        for view in &views {
            // A search that finds no room for any shard may be refused whole.
            let answered = matches!(
                view,
                CallerView::Searched(_) | CallerView::NotRun { .. } | CallerView::Unknown { .. }
            );
            assert!(answered, "{}: {view:?}", case.name);
        }
        let covered = views.iter().map(|view| match view {
            CallerView::Searched(search) => search.covered,
            _ => 0,
        });
        assert!(covered.sum::<usize>() > 0, "{}", case.name);
    }
    let (searches, _): (OutcomeSummary, _) = run.require_sound(&[]).await;
    assert_eq!(searches.sent, 0);
}
