//! An accepted configuration is in force on every node within seconds and
//! never reverts.

use std::{collections::BTreeMap, time::Duration};

use carobstep_bench::{HttpCall, ProcessSignal};
use serde_json::json;
use tokio::time::Instant;

use crate::support::{ProofRun, pause};

/// Longest time until an accepted version is in force on every node.
const IN_FORCE_WITHIN: Duration = Duration::from_secs(18);

/// Reads the version in force on each running node, and requires that no
/// node went back since the last reading.
pub async fn read_versions(run: &mut ProofRun, last: &mut BTreeMap<String, u64>) -> Vec<u64> {
    let mut versions = Vec::new();
    for position in 0..run.deployment.nodes.len() {
        if !run.deployment.is_running(position) {
            continue;
        }
        let node = run.deployment.nodes[position].clone();
        let call = HttpCall::get("/v1/status");
        let Ok(status) = run.deployment.client.expect(node.operators, &call).await else {
            continue;
        };
        let version = status["config_version"].as_u64().unwrap_or(0);
        let before = last.insert(node.name.clone(), version).unwrap_or(0);
        assert!(version >= before, "{} went from version {before} to {version}", node.name);
        versions.push(version);
    }
    versions
}

pub async fn require_in_force(run: &mut ProofRun, version: u64, last: &mut BTreeMap<String, u64>) {
    let start = Instant::now();
    loop {
        let versions = read_versions(run, last).await;
        if versions.iter().all(|seen| *seen >= version) {
            println!("version {version} in force on {} nodes", versions.len());
            return;
        }
        assert!(start.elapsed() < IN_FORCE_WITHIN, "version {version}: {versions:?}");
        pause(50).await;
    }
}

/// Submits the next version with a deadline that tells it from others.
pub async fn submit(run: &ProofRun, version: u64) -> bool {
    let mut document = serde_json::to_value(run.deployment.document()).unwrap();
    document["indexes"][run.deployment.plan.index]["deadline_ms"] = json!(1_000 + version);
    run.deployment.submit(version, &document).await.is_ok()
}

#[tokio::test(flavor = "multi_thread")]
async fn is_in_force_everywhere_after_racing_operators() {
    let mut run = ProofRun::start("config-raced").await;
    let mut last = BTreeMap::new();
    for version in 2..=8 {
        // Two operators submit the same version; exactly one is accepted.
        let (one, other) = tokio::join!(submit(&run, version), submit(&run, version));
        assert!(one != other, "version {version}: {one} and {other}");
        require_in_force(&mut run, version, &mut last).await;
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn does_not_revert_when_the_platform_shows_an_older_version() {
    let mut run = ProofRun::start("config-older").await;
    let mut last = BTreeMap::new();
    let older = HttpCall::get("/objects/config/current");
    let older = run.deployment.client.expect(run.deployment.platform, &older).await.unwrap();
    for version in 2..=4 {
        assert!(submit(&run, version).await);
        require_in_force(&mut run, version, &mut last).await;
    }
    run.deployment.replace("config/current", &older).await.unwrap();
    for _ in 0..40 {
        let versions = read_versions(&mut run, &mut last).await;
        assert!(versions.iter().all(|version| *version == 4), "{versions:?}");
        pause(100).await;
    }
}

struct OutageCase {
    name: &'static str,
    during: &'static str,
    after: &'static str,
    /// Whether nodes that reach the platform must learn of it meanwhile.
    spreads: bool,
}

const CASES: [OutageCase; 3] = [
    OutageCase {
        name: "slow",
        during: r#"{"delay_ms": 400}"#,
        after: r#"{"delay_ms": 0}"#,
        spreads: true,
    },
    OutageCase {
        name: "stale reads",
        during: r#"{"stale_reads": true}"#,
        after: r#"{"stale_reads": false}"#,
        spreads: false,
    },
    OutageCase {
        name: "zone cut from the platform",
        during: r#"{"cut_zones": ["perth-a"]}"#,
        after: r#"{"cut_zones": []}"#,
        spreads: true,
    },
];

#[tokio::test(flavor = "multi_thread")]
async fn is_in_force_everywhere_when_the_platform_misbehaves() {
    let mut run = ProofRun::start("config-outage").await;
    let mut last = BTreeMap::new();
    let mut version = 1;
    for case in CASES {
        println!("case {}", case.name);
        run.deployment.platform_faults(&serde_json::from_str(case.during).unwrap()).await.unwrap();
        if case.spreads {
            version += 1;
            assert!(submit(&run, version).await, "{}", case.name);
            require_in_force(&mut run, version, &mut last).await;
        }
        pause(1_000).await;
        run.deployment.platform_faults(&serde_json::from_str(case.after).unwrap()).await.unwrap();
        version += 1;
        assert!(submit(&run, version).await, "{}", case.name);
        require_in_force(&mut run, version, &mut last).await;
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn reaches_a_node_that_starts_while_the_platform_is_down() {
    let mut run = ProofRun::start("config-down").await;
    let mut last = BTreeMap::new();
    assert!(submit(&run, 2).await);
    require_in_force(&mut run, 2, &mut last).await;
    run.deployment.signal_node(3, ProcessSignal::Kill).unwrap();
    run.deployment.platform_faults(&json!({"down": true})).await.unwrap();
    last.clear();
    run.deployment.start_node(3).await.unwrap();
    require_in_force(&mut run, 2, &mut last).await;
    run.deployment.platform_faults(&json!({"down": false})).await.unwrap();
    assert!(submit(&run, 3).await);
    require_in_force(&mut run, 3, &mut last).await;
}
