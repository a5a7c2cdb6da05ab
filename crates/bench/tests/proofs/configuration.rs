//! An accepted configuration is in force on every node within seconds, and no
//! node reverts to an older version.

use std::{collections::BTreeMap, time::Duration};

use carobstep_bench::{HttpCall, ProcessSignal};
use serde_json::json;
use tokio::time::Instant;

use crate::support::{ProofRun, pause};

/// Timeout until an accepted version is in force on every node.
const IN_FORCE_TIMEOUT: Duration = Duration::from_secs(18);

/// Returns the version in force on each running node; panics when a node has
/// reverted to a version older than in `last_versions`, which is updated.
pub async fn read_versions(
    run: &mut ProofRun,
    last_versions: &mut BTreeMap<String, u64>,
) -> Vec<u64> {
    let mut versions = Vec::new();
    for position in 0..run.deployment.nodes.len() {
        if !run.deployment.is_running(position) {
            continue;
        }
        let node = run.deployment.nodes[position].clone();
        let call = HttpCall::get("/v1/status");
        let Ok(status) = run.deployment.client.call_json(node.operators, &call).await else {
            continue;
        };
        let version = status["config_version"].as_u64().unwrap_or(0);
        let before = last_versions.insert(node.name.clone(), version).unwrap_or(0);
        assert!(version >= before, "{} went from version {before} to {version}", node.name);
        versions.push(version);
    }
    versions
}

/// Waits until at least `version` is in force on every running node; panics after
/// [`IN_FORCE_TIMEOUT`].
pub async fn require_in_force(
    run: &mut ProofRun,
    version: u64,
    last_versions: &mut BTreeMap<String, u64>,
) {
    let start = Instant::now();
    loop {
        let versions = read_versions(run, last_versions).await;
        if versions.iter().all(|seen| *seen >= version) {
            println!("version {version} in force on {} nodes", versions.len());
            return;
        }
        assert!(start.elapsed() < IN_FORCE_TIMEOUT, "version {version}: {versions:?}");
        pause(50).await;
    }
}

/// Submits a version with a deadline that differs in each version; returns whether
/// it was accepted.
pub async fn submit_version(run: &ProofRun, version: u64) -> bool {
    let mut document = serde_json::to_value(run.deployment.config_document()).unwrap();
    document["indexes"][run.deployment.plan.index]["deadline_ms"] = json!(1_000 + version);
    run.deployment.submit_config(version, &document).await.is_ok()
}

#[tokio::test(flavor = "multi_thread")]
async fn is_in_force_everywhere_after_racing_operators() {
    let mut run = ProofRun::start("config-raced").await;
    let mut last_versions = BTreeMap::new();
    for version in 2..=8 {
        // Two operators submit the same version; exactly one is accepted.
        let (one, other) =
            tokio::join!(submit_version(&run, version), submit_version(&run, version));
        assert!(one != other, "version {version}: {one} and {other}");
        require_in_force(&mut run, version, &mut last_versions).await;
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn does_not_revert_when_the_platform_shows_an_older_version() {
    let mut run = ProofRun::start("config-older").await;
    let mut last_versions = BTreeMap::new();
    let older = HttpCall::get("/objects/config/current");
    let older = run.deployment.client.call_json(run.deployment.platform, &older).await.unwrap();
    for version in 2..=4 {
        assert!(submit_version(&run, version).await);
        require_in_force(&mut run, version, &mut last_versions).await;
    }
    run.deployment.replace_object("config/current", &older).await.unwrap();
    for _ in 0..40 {
        let versions = read_versions(&mut run, &mut last_versions).await;
        assert!(versions.iter().all(|version| *version == 4), "{versions:?}");
        pause(100).await;
    }
}

struct OutageCase {
    name: &'static str,
    during: &'static str,
    after: &'static str,
    /// Whether a version submitted during the fault must reach every node.
    propagates: bool,
}

const CASES: [OutageCase; 3] = [
    OutageCase {
        name: "slow",
        during: r#"{"delay_ms": 400}"#,
        after: r#"{"delay_ms": 0}"#,
        propagates: true,
    },
    OutageCase {
        name: "stale reads",
        during: r#"{"stale_reads": true}"#,
        after: r#"{"stale_reads": false}"#,
        propagates: false,
    },
    OutageCase {
        name: "zone partitioned from the platform",
        during: r#"{"cut_zones": ["perth-a"]}"#,
        after: r#"{"cut_zones": []}"#,
        propagates: true,
    },
];

#[tokio::test(flavor = "multi_thread")]
async fn is_in_force_everywhere_when_the_platform_misbehaves() {
    let mut run = ProofRun::start("config-outage").await;
    let mut last_versions = BTreeMap::new();
    let mut version = 1;
    for case in CASES {
        println!("case {}", case.name);
        run.deployment
            .set_platform_faults(&serde_json::from_str(case.during).unwrap())
            .await
            .unwrap();
        if case.propagates {
            version += 1;
            assert!(submit_version(&run, version).await, "{}", case.name);
            require_in_force(&mut run, version, &mut last_versions).await;
        }
        pause(1_000).await;
        run.deployment
            .set_platform_faults(&serde_json::from_str(case.after).unwrap())
            .await
            .unwrap();
        version += 1;
        assert!(submit_version(&run, version).await, "{}", case.name);
        require_in_force(&mut run, version, &mut last_versions).await;
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn reaches_a_node_that_starts_while_the_platform_is_down() {
    let mut run = ProofRun::start("config-down").await;
    let mut last_versions = BTreeMap::new();
    assert!(submit_version(&run, 2).await);
    require_in_force(&mut run, 2, &mut last_versions).await;
    run.deployment.signal_node(3, ProcessSignal::Kill).unwrap();
    run.deployment.set_platform_faults(&json!({"down": true})).await.unwrap();
    last_versions.clear();
    run.deployment.start_node(3).await.unwrap();
    require_in_force(&mut run, 2, &mut last_versions).await;
    run.deployment.set_platform_faults(&json!({"down": false})).await.unwrap();
    assert!(submit_version(&run, 3).await);
    require_in_force(&mut run, 3, &mut last_versions).await;
}
