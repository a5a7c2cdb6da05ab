//! Availability zones that are cut from each other go on serving what they
//! can, and exceed no limit.

use std::{
    collections::{BTreeMap, BTreeSet},
    ops::Range,
    sync::Arc,
    time::Duration,
};

use carobstep_bench::{
    CallerView, Deployment, ExecutionLedger, HttpCall, LoadOptions, LoadSample, NodeBalancer,
    SampleKind, run_load,
};
use serde_json::Value;
use tokio::time::{Instant, sleep_until};

use crate::{
    configuration::{require_in_force, submit},
    relay::ZonePair,
    support::{LEASE_TERM, LoadTask, ProofRun, pause},
};

const SEARCH_RATE: f64 = 25.0;
const ORDER_RATE: f64 = 5.0;

/// Time between the start of the load and the cut.
const BEFORE_CUT: Duration = Duration::from_secs(1);

/// Length of a cut: more than three lease terms, and a time to judge orders.
const CUT: Duration = LEASE_TERM.saturating_mul(3).saturating_add(Duration::from_secs(3));

/// Length of the load, which goes on after the cut.
const LOAD: Duration = CUT.saturating_add(Duration::from_secs(3));

/// Time after a cut in which nodes find out whom they don't reach.
const DETECTION: Duration = Duration::from_millis(1_500);

/// Orders sent in this time end before the cut does.
const REFUSED_ORDERS: Range<Duration> = Duration::from_millis(1_500)..Duration::from_secs(7);

struct ZoneCut {
    name: &'static str,
    pairs: &'static [ZonePair],
    /// Faults of the platform meanwhile.
    platform: &'static str,
    /// Zones that don't reach the platform.
    alone: &'static [&'static str],
    /// Node that is killed at the start of the cut and restarted after it.
    killed: Option<usize>,
}

const HEALED: &str = r#"{"cut_zones": [], "silent_zones": []}"#;

const ONE_FROM_ALL: &[ZonePair] = &[("perth-a", "perth-b"), ("perth-a", "perth-c")];

const REFUSED: ZoneCut = ZoneCut {
    name: "a zone cut from all, connections to the platform closed",
    pairs: ONE_FROM_ALL,
    platform: r#"{"cut_zones": ["perth-a"]}"#,
    alone: &["perth-a"],
    killed: None,
};

const SILENT: ZoneCut = ZoneCut {
    name: "a zone cut from all, connections to the platform silent",
    pairs: ONE_FROM_ALL,
    platform: r#"{"silent_zones": ["perth-a"]}"#,
    alone: &["perth-a"],
    killed: None,
};

const PAIR: ZoneCut = ZoneCut {
    name: "two zones cut from each other",
    pairs: &[("perth-a", "perth-b")],
    platform: HEALED,
    alone: &[],
    killed: None,
};

const APART: ZoneCut = ZoneCut {
    name: "all zones cut from each other and from the platform",
    pairs: &[("perth-a", "perth-b"), ("perth-a", "perth-c"), ("perth-b", "perth-c")],
    platform: r#"{"silent_zones": ["perth-a", "perth-b", "perth-c"]}"#,
    alone: &["perth-a", "perth-b", "perth-c"],
    killed: None,
};

const KILLED: ZoneCut =
    ZoneCut { name: "a zone cut from all, and one of its nodes killed", killed: Some(0), ..SILENT };

impl ZoneCut {
    fn reaches(&self, from: &str, to: &str) -> bool {
        !self.pairs.iter().any(|pair| *pair == (from, to) || *pair == (to, from))
    }

    /// Number of shards with a backend server that a zone's nodes reach, and
    /// that is not among the `lost` ones.
    fn reachable_shards(&self, deployment: &Deployment, zone: &str, lost: &[String]) -> usize {
        let searched: BTreeSet<String> = deployment.plan.searched_services().collect();
        let servers = deployment.servers.iter();
        let servers = servers.filter(|server| self.reaches(zone, server.zone));
        let servers = servers.filter(|server| !lost.contains(&server.name));
        let services: BTreeSet<&String> = servers.map(|server| &server.service).collect();
        services.into_iter().filter(|service| searched.contains(*service)).count()
    }
}

/// Runs cuts one after another on one deployment, each under load.
async fn run_cuts(name: &str, cuts: &[ZoneCut]) {
    let (mut run, relays) = ProofRun::start_relayed(name).await;
    let mut samples = Vec::new();
    let mut last = BTreeMap::new();
    for (version, cut) in (2..).zip(cuts) {
        println!("cut {version}: {}", cut.name);
        let seed = version * 10;
        let loads = zone_loads(&run, seed);
        tokio::time::sleep(BEFORE_CUT).await;
        let healed_at = Instant::now() + CUT;
        let held = relays.held();
        relays.cut(cut.pairs);
        run.deployment.platform_faults(&parse(cut.platform)).await.unwrap();
        let lost = kill(&mut run, cut).await;
        pause(500).await;
        assert!(submit(&run, version).await);
        sleep_until(healed_at).await;
        assert!(relays.held() > held, "nothing came to the relays");
        require_spread(&mut run, cut, version).await;
        run.deployment.platform_faults(&parse(HEALED)).await.unwrap();
        relays.cut(&[]);
        if let Some(position) = cut.killed {
            run.restart_node(position).await;
        }
        require_in_force(&mut run, version, &mut last).await;
        run.require_recovery().await;
        for (zone, load) in loads {
            let load = load.await.unwrap();
            require_served(&run, cut, zone, &lost, &load).await;
            samples.extend(load);
        }
        run.require_sound(&samples).await;
        let after = run.load_seeded(40.0, 10.0, 2, seed + 9).await.unwrap();
        let (searches, orders) = run.require_sound(&after).await;
        samples.extend(after);
        assert_eq!(searches.full, searches.sent, "{searches:?}");
        assert_eq!(orders.answered, orders.sent, "{orders:?}");
    }
}

/// Kills the node of a cut, if it has one; returns the backend servers that
/// nobody holds from then on.
async fn kill(run: &mut ProofRun, cut: &ZoneCut) -> Vec<String> {
    let Some(position) = cut.killed else { return Vec::new() };
    let held = status(run, position).await["held"].clone();
    run.kill_node(position).await;
    serde_json::from_value(held).unwrap()
}

async fn status(run: &ProofRun, position: usize) -> Value {
    let node = &run.deployment.nodes[position];
    let call = HttpCall::get("/v1/status");
    run.deployment.client.expect(node.operators, &call).await.unwrap()
}

/// Requires that a version submitted during the cut is in force where the
/// platform or a peer that has it is reached, and nowhere else.
async fn require_spread(run: &mut ProofRun, cut: &ZoneCut, version: u64) {
    for position in 0..run.deployment.nodes.len() {
        if !run.deployment.is_running(position) {
            continue;
        }
        let status = status(run, position).await;
        let node = &run.deployment.nodes[position];
        let expected = if cut.alone.contains(&node.zone) { version - 1 } else { version };
        assert_eq!(status["config_version"], expected, "{}", node.name);
    }
}

fn parse(faults: &str) -> Value {
    serde_json::from_str(faults).unwrap()
}

/// Starts one load on the nodes of each zone.
fn zone_loads(run: &ProofRun, seed: u64) -> Vec<(&'static str, LoadTask)> {
    let mut loads = Vec::new();
    for (seed, zone) in (seed..).zip(run.deployment.plan.zones) {
        let nodes = run.deployment.nodes.iter().filter(|node| node.zone == zone);
        let nodes: Vec<_> = nodes.cloned().collect();
        let mut side = run.side.clone();
        side.balancer = Arc::new(NodeBalancer::start(&nodes));
        let options = LoadOptions {
            search_rate: SEARCH_RATE,
            order_rate: ORDER_RATE,
            length: LOAD,
            warmup: Duration::ZERO,
            seed,
            come_back: false,
        };
        loads.push((zone, tokio::spawn(async move { run_load(&side, options).await })));
    }
    loads
}

/// Requires that a zone's callers got what its nodes could still serve.
async fn require_served(
    run: &ProofRun,
    cut: &ZoneCut,
    zone: &str,
    lost: &[String],
    load: &[LoadSample],
) {
    let reachable = cut.reachable_shards(&run.deployment, zone, lost);
    let detected = BEFORE_CUT + DETECTION..BEFORE_CUT + CUT;
    let mut short = Vec::new();
    for sample in load.iter().filter(|sample| sample.kind == SampleKind::Search) {
        let CallerView::Searched(search) = &sample.view else {
            short.push(sample);
            continue;
        };
        if search.covered < reachable {
            short.push(sample);
        }
    }
    let late = short.iter().filter(|sample| detected.contains(&sample.at)).count();
    println!("{zone}: {reachable} shards; {} searches short, {late} after detection", short.len());
    assert_eq!(late, 0, "{zone}: {short:?}");
    if !cut.alone.contains(&zone) {
        return;
    }
    let service = run.deployment.plan.order_service;
    let ledger = ExecutionLedger::read(&run.deployment, service).await.unwrap();
    let orders = load.iter().filter(|sample| sample.kind == SampleKind::Order);
    let mut refused = 0;
    for sample in orders.filter(|sample| REFUSED_ORDERS.contains(&sample.at)) {
        let CallerView::NotRun { retry_after, .. } = &sample.view else {
            panic!("{:?}: {:?}", sample.at, sample.view);
        };
        assert!(retry_after.is_some_and(|span| !span.is_zero()), "{:?}", sample.view);
        assert_eq!(ledger.executions(sample.key.as_deref().unwrap()), 0);
        refused += 1;
    }
    println!("{zone}: {refused} orders refused");
    assert!(refused > 0);
}

#[tokio::test(flavor = "multi_thread")]
async fn serve_what_they_reach_when_one_is_cut_from_all() {
    run_cuts("zones-one", &[SILENT]).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn serve_what_they_reach_when_one_is_cut_twice() {
    run_cuts("zones-twice", &[REFUSED, SILENT]).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn serve_what_they_reach_when_two_are_cut_from_each_other() {
    run_cuts("zones-pair", &[PAIR, PAIR]).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn serve_what_they_reach_when_all_are_apart() {
    run_cuts("zones-apart", &[APART]).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn serve_what_they_reach_when_a_node_of_a_cut_zone_is_killed() {
    run_cuts("zones-killed", &[KILLED]).await;
}
