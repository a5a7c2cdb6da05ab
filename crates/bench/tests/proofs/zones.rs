//! Availability zones that are partitioned from each other keep serving what they
//! can reach, and exceed no limit.

use std::{
    collections::{BTreeMap, BTreeSet},
    ops::Range,
    sync::Arc,
    time::Duration,
};

use carobstep_bench::{
    Deployment, ExecutionLedger, HttpCall, LoadOptions, LoadSample, NodeBalancer, RequestOutcome,
    SampleKind, run_load,
};
use serde_json::Value;
use tokio::time::{Instant, sleep_until};

use crate::{
    configuration::{require_in_force, submit_version},
    relay::ZonePair,
    support::{LEASE_TERM, LoadTask, ProofRun, pause},
};

const SEARCH_RATE: f64 = 25.0;
const ORDER_RATE: f64 = 5.0;

/// Time between the start of the load and the partition.
const BEFORE_PARTITION: Duration = Duration::from_secs(1);

/// Duration of a partition: three lease terms, and some time for the checks of the
/// orders.
const PARTITION_LENGTH: Duration =
    LEASE_TERM.saturating_mul(3).saturating_add(Duration::from_secs(3));

/// Duration of the load, which continues after the partition.
const LOAD_LENGTH: Duration = PARTITION_LENGTH.saturating_add(Duration::from_secs(3));

/// Time after the start of a partition in which nodes detect who is unreachable.
const DETECTION_TIME: Duration = Duration::from_millis(1_500);

/// Orders sent in this time, from the start of the load, complete before the
/// partition ends.
const REFUSED_ORDERS: Range<Duration> = Duration::from_millis(1_500)..Duration::from_secs(7);

struct ZonePartition {
    name: &'static str,
    pairs: &'static [ZonePair],
    /// Faults of the platform during the partition.
    platform: &'static str,
    /// Zones from which the platform is unreachable.
    without_platform: &'static [&'static str],
    /// Node that is killed at the start of the partition and restarted after it.
    killed: Option<usize>,
}

const HEALED: &str = r#"{"cut_zones": [], "silent_zones": []}"#;

const ONE_FROM_ALL: &[ZonePair] = &[("perth-a", "perth-b"), ("perth-a", "perth-c")];

const CLOSED_CONNECTIONS: ZonePartition = ZonePartition {
    name: "one zone partitioned from all, connections to the platform closed",
    pairs: ONE_FROM_ALL,
    platform: r#"{"cut_zones": ["perth-a"]}"#,
    without_platform: &["perth-a"],
    killed: None,
};

const SILENT_CONNECTIONS: ZonePartition = ZonePartition {
    name: "one zone partitioned from all, connections to the platform silent",
    pairs: ONE_FROM_ALL,
    platform: r#"{"silent_zones": ["perth-a"]}"#,
    without_platform: &["perth-a"],
    killed: None,
};

const ZONE_PAIR: ZonePartition = ZonePartition {
    name: "two zones partitioned from each other",
    pairs: &[("perth-a", "perth-b")],
    platform: HEALED,
    without_platform: &[],
    killed: None,
};

const ALL_ZONES: ZonePartition = ZonePartition {
    name: "all zones partitioned from each other and from the platform",
    pairs: &[("perth-a", "perth-b"), ("perth-a", "perth-c"), ("perth-b", "perth-c")],
    platform: r#"{"silent_zones": ["perth-a", "perth-b", "perth-c"]}"#,
    without_platform: &["perth-a", "perth-b", "perth-c"],
    killed: None,
};

const NODE_KILLED: ZonePartition = ZonePartition {
    name: "one zone partitioned from all, and one of its nodes killed",
    killed: Some(0),
    ..SILENT_CONNECTIONS
};

impl ZonePartition {
    fn is_reachable(&self, from: &str, to: &str) -> bool {
        !self.pairs.iter().any(|pair| *pair == (from, to) || *pair == (to, from))
    }

    /// Returns the number of shards with a backend server that is reachable from a
    /// zone and not in `lost_servers`.
    fn reachable_shards(
        &self,
        deployment: &Deployment,
        zone: &str,
        lost_servers: &[String],
    ) -> usize {
        let searched: BTreeSet<String> = deployment.plan.searched_services().collect();
        let servers = deployment.servers.iter();
        let servers = servers.filter(|server| self.is_reachable(zone, server.zone));
        let servers = servers.filter(|server| !lost_servers.contains(&server.name));
        let services: BTreeSet<&String> = servers.map(|server| &server.service).collect();
        services.into_iter().filter(|service| searched.contains(*service)).count()
    }
}

/// Runs partitions one after another on one deployment, each under load.
async fn run_partitions(name: &str, partitions: &[ZonePartition]) {
    let (mut run, relays) = ProofRun::start_relayed(name).await;
    let mut samples = Vec::new();
    let mut last_versions = BTreeMap::new();
    for (version, partition) in (2..).zip(partitions) {
        println!("partition {version}: {}", partition.name);
        let seed = version * 10;
        let loads = zone_loads(&run, seed);
        tokio::time::sleep(BEFORE_PARTITION).await;
        let healed_at = Instant::now() + PARTITION_LENGTH;
        let delayed = relays.delayed();
        relays.partition(partition.pairs);
        run.deployment.set_platform_faults(&parse(partition.platform)).await.unwrap();
        let lost_servers = kill_specified_node(&mut run, partition).await;
        pause(500).await;
        assert!(submit_version(&run, version).await);
        sleep_until(healed_at).await;
        assert!(relays.delayed() > delayed, "the partition delayed nothing");
        require_propagation(&mut run, partition, version).await;
        run.deployment.set_platform_faults(&parse(HEALED)).await.unwrap();
        relays.partition(&[]);
        if let Some(position) = partition.killed {
            run.restart_node(position).await;
        }
        require_in_force(&mut run, version, &mut last_versions).await;
        run.require_recovery().await;
        for (zone, load) in loads {
            let load = load.await.unwrap();
            require_served(&run, partition, zone, &lost_servers, &load).await;
            samples.extend(load);
        }
        run.require_valid(&samples).await;
        let after = run.start_load_with_seed(40.0, 10.0, 2, seed + 9).await.unwrap();
        let (searches, orders) = run.require_valid(&after).await;
        samples.extend(after);
        assert_eq!(searches.full, searches.sent, "{searches:?}");
        assert_eq!(orders.answered, orders.sent, "{orders:?}");
    }
}

/// Kills the node that a partition specifies, if any; returns the backend servers
/// whose grants it held.
async fn kill_specified_node(run: &mut ProofRun, partition: &ZonePartition) -> Vec<String> {
    let Some(position) = partition.killed else { return Vec::new() };
    let held = status(run, position).await["held"].clone();
    run.kill_node(position).await;
    serde_json::from_value(held).unwrap()
}

async fn status(run: &ProofRun, position: usize) -> Value {
    let node = &run.deployment.nodes[position];
    let call = HttpCall::get("/v1/status");
    run.deployment.client.call_json(node.operators, &call).await.unwrap()
}

/// Asserts that a version submitted during the partition is in force on the nodes
/// that can reach the platform or a peer that has it, and on no other.
async fn require_propagation(run: &mut ProofRun, partition: &ZonePartition, version: u64) {
    for position in 0..run.deployment.nodes.len() {
        if !run.deployment.is_running(position) {
            continue;
        }
        let status = status(run, position).await;
        let node = &run.deployment.nodes[position];
        let expected =
            if partition.without_platform.contains(&node.zone) { version - 1 } else { version };
        assert_eq!(status["config_version"], expected, "{}", node.name);
    }
}

fn parse(faults: &str) -> Value {
    serde_json::from_str(faults).unwrap()
}

/// Starts a separate load on the nodes of each zone.
fn zone_loads(run: &ProofRun, seed: u64) -> Vec<(&'static str, LoadTask)> {
    let mut loads = Vec::new();
    for (seed, zone) in (seed..).zip(run.deployment.plan.zones) {
        let nodes = run.deployment.nodes.iter().filter(|node| node.zone == zone);
        let nodes: Vec<_> = nodes.cloned().collect();
        let mut callers = run.callers.clone();
        callers.balancer = Arc::new(NodeBalancer::start(&nodes));
        let options = LoadOptions {
            search_rate: SEARCH_RATE,
            order_rate: ORDER_RATE,
            length: LOAD_LENGTH,
            warmup: Duration::ZERO,
            seed,
            retry_refused: false,
        };
        loads.push((zone, tokio::spawn(async move { run_load(&callers, options).await })));
    }
    loads
}

/// Asserts that a zone's searches covered every reachable shard once the partition
/// was detected. In a zone without platform, asserts also that orders were refused
/// with a retry delay and not executed.
async fn require_served(
    run: &ProofRun,
    partition: &ZonePartition,
    zone: &str,
    lost_servers: &[String],
    load: &[LoadSample],
) {
    let reachable = partition.reachable_shards(&run.deployment, zone, lost_servers);
    let after_detection = BEFORE_PARTITION + DETECTION_TIME..BEFORE_PARTITION + PARTITION_LENGTH;
    let mut incomplete = Vec::new();
    for sample in load.iter().filter(|sample| sample.kind == SampleKind::Search) {
        let RequestOutcome::Searched(search) = &sample.outcome else {
            incomplete.push(sample);
            continue;
        };
        if search.covered < reachable {
            incomplete.push(sample);
        }
    }
    let incomplete_after_detection =
        incomplete.iter().filter(|sample| after_detection.contains(&sample.scheduled_at)).count();
    println!(
        "{zone}: {reachable} shards; {} searches incomplete, {incomplete_after_detection} after detection",
        incomplete.len()
    );
    assert_eq!(incomplete_after_detection, 0, "{zone}: {incomplete:?}");
    if !partition.without_platform.contains(&zone) {
        return;
    }
    let service = run.deployment.plan.order_service;
    let ledger = ExecutionLedger::read(&run.deployment, service).await.unwrap();
    let orders = load.iter().filter(|sample| sample.kind == SampleKind::Order);
    let mut refused = 0;
    for sample in orders.filter(|sample| REFUSED_ORDERS.contains(&sample.scheduled_at)) {
        let RequestOutcome::NotRun { retry_after, .. } = &sample.outcome else {
            panic!("{:?}: {:?}", sample.scheduled_at, sample.outcome);
        };
        assert!(retry_after.is_some_and(|span| !span.is_zero()), "{:?}", sample.outcome);
        assert_eq!(ledger.executions(sample.key.as_deref().unwrap()), 0);
        refused += 1;
    }
    println!("{zone}: {refused} orders refused");
    assert!(refused > 0);
}

#[tokio::test(flavor = "multi_thread")]
async fn serve_what_they_reach_when_one_is_cut_from_all() {
    run_partitions("zones-one", &[SILENT_CONNECTIONS]).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn serve_what_they_reach_when_one_is_cut_twice() {
    run_partitions("zones-twice", &[CLOSED_CONNECTIONS, SILENT_CONNECTIONS]).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn serve_what_they_reach_when_two_are_cut_from_each_other() {
    run_partitions("zones-pair", &[ZONE_PAIR, ZONE_PAIR]).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn serve_what_they_reach_when_all_are_apart() {
    run_partitions("zones-apart", &[ALL_ZONES]).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn serve_what_they_reach_when_a_node_of_a_cut_zone_is_killed() {
    run_partitions("zones-killed", &[NODE_KILLED]).await;
}
