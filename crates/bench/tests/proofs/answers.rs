//! Each caller receives the complete response to its own request.

use carobstep_bench::{OutcomeSummary, RequestOutcome};
use serde_json::json;
use tokio::task::JoinSet;

use crate::support::ProofRun;

/// Number of concurrent requests.
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
        // Only half of the replicas are faulty, so that every shard still has a
        // working one.
        for server in run.deployment.servers.iter().step_by(2) {
            server.set_faults(&run.deployment.client, &faults).await.unwrap();
        }
        let mut requests = JoinSet::new();
        for number in 0..IN_FLIGHT {
            let callers = run.callers.clone();
            let padding = "x".repeat(number % 1_500);
            let body = json!({"case": case.name, "payload": number, "padding": padding});
            requests.spawn(async move { callers.search_with(body).await });
        }
        let outcomes = requests.join_all().await;
        for outcome in &outcomes {
            // A search may be refused when there is no free capacity for any shard.
            let answered = matches!(
                outcome,
                RequestOutcome::Searched(_)
                    | RequestOutcome::NotRun { .. }
                    | RequestOutcome::Unknown { .. }
            );
            assert!(answered, "{}: {outcome:?}", case.name);
        }
        let covered = outcomes.iter().map(|outcome| match outcome {
            RequestOutcome::Searched(search) => search.covered,
            _ => 0,
        });
        assert!(covered.sum::<usize>() > 0, "{}", case.name);
    }
    let (searches, _): (OutcomeSummary, _) = run.require_valid(&[]).await;
    assert_eq!(searches.sent, 0);
}
