//! Each search response comes from a single snapshot while new snapshots are
//! published.

use carobstep_bench::{ManifestCheck, RequestOutcome, SampleKind};
use serde_json::{Value, json};
use std::sync::Arc;

use crate::support::{ProofRun, pause};

/// Returns a snapshot whose shards are assigned round-robin to the services,
/// starting at index `first`.
fn snapshot(run: &ProofRun, number: u64, prefix: &str, shards: usize, first: usize) -> Value {
    let services: Vec<String> = run.deployment.plan.searched_services().collect();
    let mut map = serde_json::Map::new();
    for shard in 0..shards {
        let service = &services[(first + shard) % services.len()];
        map.insert(format!("{prefix}{shard:02}"), json!(service));
    }
    json!({"number": number, "shards": map})
}

fn manifest(run: &ProofRun, snapshots: &[&Value]) -> Value {
    json!({"index": run.deployment.plan.index, "snapshots": snapshots})
}

/// Sets the snapshots that every second backend server has, starting at index
/// `skip`.
async fn set_server_snapshots(run: &ProofRun, skip: usize, snapshots: &[u64]) {
    let faults = json!({"snapshots": snapshots});
    for server in run.deployment.servers.iter().skip(skip).step_by(2) {
        server.set_faults(&run.deployment.client, &faults).await.unwrap();
    }
}

async fn publish(run: &ProofRun, manifest: &Value) {
    let path = format!("manifest/{}", run.deployment.plan.index);
    run.deployment.replace_object(&path, manifest).await.unwrap();
}

#[tokio::test(flavor = "multi_thread")]
async fn are_not_blended_while_they_advance_and_shards_move() {
    let mut run = ProofRun::start("snapshots").await;
    let first = snapshot(&run, 1, "s", 6, 0);
    let second = snapshot(&run, 2, "s", 6, 2);
    // The third snapshot has different shards, nine on six services.
    let third = snapshot(&run, 3, "t", 9, 1);
    let mut check = ManifestCheck::default();
    check.add(&manifest(&run, &[&first, &second, &third]));
    run.callers.manifest_check = Arc::new(check);

    let load = run.start_load(50.0, 0.0, 14);
    pause(2_000).await;
    // Half of the replicas lag by one snapshot.
    set_server_snapshots(&run, 0, &[1, 2]).await;
    publish(&run, &manifest(&run, &[&first, &second])).await;
    pause(2_000).await;
    set_server_snapshots(&run, 1, &[1, 2]).await;
    pause(1_000).await;
    set_server_snapshots(&run, 0, &[2, 3]).await;
    publish(&run, &manifest(&run, &[&second, &third])).await;
    pause(2_000).await;
    set_server_snapshots(&run, 1, &[2, 3]).await;
    pause(1_000).await;
    publish(&run, &manifest(&run, &[&third])).await;
    set_server_snapshots(&run, 0, &[3]).await;
    set_server_snapshots(&run, 1, &[3]).await;

    let samples = load.await.unwrap();
    let (searches, _) = run.require_valid(&samples).await;
    assert_eq!(searches.answered, searches.sent, "{searches:?}");
    let mut seen: Vec<u64> = Vec::new();
    for sample in samples.iter().filter(|sample| sample.kind == SampleKind::Search) {
        let RequestOutcome::Searched(outcome) = &sample.outcome else { continue };
        if !seen.contains(&outcome.snapshot) {
            seen.push(outcome.snapshot);
        }
    }
    assert_eq!(seen.first(), Some(&1));
    assert!(seen.contains(&2) && seen.contains(&3), "{seen:?}");
    let last = samples.last().map(|sample| &sample.outcome);
    let Some(RequestOutcome::Searched(outcome)) = last else { panic!("{last:?}") };
    assert_eq!((outcome.snapshot, outcome.covered), (3, 9));
}
