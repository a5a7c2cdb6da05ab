//! Search responses report exactly the shards that they cover.

use carobstep_bench::RequestOutcome;

use crate::support::{ProofRun, pause};

struct ReplicaCase {
    name: &'static str,
    faults: &'static str,
}

/// Faults under which a replica's reply must not count as covering its shard.
const CASES: [ReplicaCase; 6] = [
    ReplicaCase { name: "truncated", faults: r#"{"truncate": true}"# },
    ReplicaCase { name: "other reply", faults: r#"{"swap_echo": true}"# },
    ReplicaCase { name: "failed", faults: r#"{"error500": true}"# },
    ReplicaCase { name: "shed", faults: r#"{"shed": true}"# },
    ReplicaCase { name: "snapshot gone", faults: r#"{"snapshots": [2]}"# },
    ReplicaCase { name: "silent", faults: r#"{"silent": true, "silent_new": true}"# },
];

const HEALED: &str = r#"{"truncate": false, "swap_echo": false, "error500": false, "shed": false,
    "snapshots": [1], "silent": false, "silent_new": false}"#;

async fn set_faults(run: &ProofRun, service: &str, faults: &str) {
    let faults = serde_json::from_str(faults).unwrap();
    for server in &run.deployment.servers {
        if server.service != service {
            continue;
        }
        server.set_faults(&run.deployment.client, &faults).await.unwrap();
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn is_true_when_every_replica_of_a_shard_fails() {
    let run = ProofRun::start("coverage-all").await;
    let services: Vec<String> = run.deployment.plan.searched_services().collect();
    for (case, service) in CASES.iter().zip(&services) {
        println!("case {}", case.name);
        set_faults(&run, service, case.faults).await;
        let mut partial = 0;
        for payload in 0..5 {
            match run.callers.search(payload).await {
                RequestOutcome::Searched(outcome) => {
                    partial += usize::from(outcome.missing.len() == 1)
                }
                outcome => panic!("{}: {outcome:?}", case.name),
            }
        }
        assert_eq!(partial, 5, "{}", case.name);
        set_faults(&run, service, HEALED).await;
        pause(1_500).await;
    }
    run.require_valid(&[]).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn is_true_while_single_replicas_fail_under_load() {
    let run = ProofRun::start("coverage-one").await;
    let load = run.start_load(50.0, 0.0, 12);
    for (position, case) in CASES.iter().enumerate() {
        let server = &run.deployment.servers[position * 2];
        let faults = serde_json::from_str(case.faults).unwrap();
        server.set_faults(&run.deployment.client, &faults).await.unwrap();
        pause(1_800).await;
        let healed = serde_json::from_str(HEALED).unwrap();
        server.set_faults(&run.deployment.client, &healed).await.unwrap();
    }
    let samples = load.await.unwrap();
    let (searches, _) = run.require_valid(&samples).await;
    assert_eq!(searches.answered, searches.sent, "{searches:?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn is_full_again_after_a_replica_was_killed() {
    let mut options = crate::support::options("coverage-killed");
    options.servers_per_process = 1;
    let mut run = ProofRun::start_with(options, 2).await;
    let load = run.start_load(40.0, 0.0, 8);
    pause(1_500).await;
    let killed = run.deployment.servers[0].process.unwrap();
    run.deployment.group.signal(killed, carobstep_bench::ProcessSignal::Kill).unwrap();
    run.deployment.servers.remove(0);
    let samples = load.await.unwrap();
    let (searches, _) = run.require_valid(&samples).await;
    assert_eq!(searches.answered, searches.sent, "{searches:?}");
    // Once the failure has been detected, the other replica serves every search.
    let late = samples.iter().rev().take(40);
    for sample in late {
        let RequestOutcome::Searched(outcome) = &sample.outcome else {
            panic!("{:?}", sample.outcome)
        };
        assert!(outcome.missing.is_empty(), "{outcome:?}");
    }
}
