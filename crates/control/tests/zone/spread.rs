//! Distribution of configuration, membership and leaving reports, and the cost
//! of the control traffic.

use std::time::Duration;

use crate::support::{TestZone, config, config_in, entry_vm, name, options, server};
use carobstep_control::{ControlEffect, ControlEvent, NodePhase};
use carobstep_store::{ObjectKind, VmRecord, VmRole, VmState};
use serde_json::json;

const START_TIME: Duration = Duration::from_secs(10);

/// Maximum control traffic that a node sends and receives, without headers.
const CONTROL_BYTES_PER_SECOND: usize = 13_000;

fn versions(zone: &TestZone) -> Vec<u64> {
    zone.nodes.iter().map(|node| node.state.config_version().0).collect()
}

fn leaving(zone: &TestZone, text: &str) -> usize {
    let name = server(text);
    let nodes = zone.nodes.iter();
    nodes.filter(|node| node.state.leaving_servers().any(|other| *other == name)).count()
}

#[test]
fn a_new_configuration_reaches_nodes_that_do_not_watch() {
    let mut zone = TestZone::new(9, 4);
    zone.run(START_TIME);
    zone.store.write(ObjectKind::Config, "current", config(2, 5));
    zone.run(Duration::from_secs(1));
    assert_eq!(versions(&zone), [2; 9]);
    zone.run(START_TIME);
    assert_eq!(zone.loads().iter().sum::<usize>(), 10);
}

#[test]
fn an_older_configuration_is_ignored() {
    let mut zone = TestZone::new(3, 4);
    zone.store.write(ObjectKind::Config, "current", config(7, 4));
    zone.run(START_TIME);
    zone.store.write(ObjectKind::Config, "current", config(6, 4));
    zone.run(START_TIME);
    assert_eq!(versions(&zone), [7; 3]);
}

#[test]
fn a_node_that_starts_in_an_outage_gets_the_configuration_from_peers() {
    let mut zone = TestZone::new(3, 4);
    zone.run(START_TIME);
    zone.add(options(3, "z1"));
    zone.nodes[3].reaches_store = false;
    zone.run(Duration::from_secs(3));
    assert_eq!(zone.nodes[3].state.phase(), NodePhase::Serving);
    assert_eq!(versions(&zone), [1; 4]);
    assert_eq!(zone.nodes[3].state.held_grants().count(), 0);
    assert!(zone.nodes[3].state.holder_of(&server("s0-0")).is_some());
}

#[test]
fn a_node_without_configuration_is_not_ready() {
    let mut zone = TestZone::new(1, 1);
    zone.nodes[0].reaches_store = false;
    zone.run(START_TIME);
    assert_eq!(zone.nodes[0].state.phase(), NodePhase::Starting);
    assert!(!zone.nodes[0].effects.contains(&ControlEffect::Ready(true)));
    zone.nodes[0].reaches_store = true;
    zone.run(START_TIME);
    assert!(zone.nodes[0].effects.contains(&ControlEffect::Ready(true)));
}

#[test]
fn an_isolated_zone_catches_up_and_never_reverts() {
    let mut zone = TestZone::new(3, 1);
    for idx in 3..6 {
        zone.add(options(idx, "z2"));
    }
    zone.run(START_TIME);
    for node in &mut zone.nodes[3..] {
        node.reaches_store = false;
    }
    zone.broken_links = (0..3).flat_map(|idx| (3..6).map(move |other| (idx, other))).collect();
    zone.store.write(ObjectKind::Config, "current", config(2, 1));
    zone.run(START_TIME);
    assert_eq!(versions(&zone), [2, 2, 2, 1, 1, 1]);
    zone.broken_links.clear();
    zone.run(Duration::from_secs(18));
    assert_eq!(versions(&zone), [2; 6]);
}

#[test]
fn other_zones_route_to_the_current_holder() {
    let mut zone = TestZone::new(2, 2);
    zone.add(options(2, "z2"));
    zone.run(START_TIME);
    let holder = zone.dispatchers(&server("s0-0"))[0];
    let route = zone.nodes[2].state.holder_of(&server("s0-0")).unwrap();
    assert_eq!(route.node, name(holder));
    zone.send_event(holder, ControlEvent::Stop);
    zone.run(Duration::from_secs(3));
    let route = zone.nodes[2].state.holder_of(&server("s0-0")).unwrap();
    assert_eq!(route.node, name(1 - holder));
}

#[test]
fn a_leaving_report_outlasts_contrary_reports() {
    let mut zone = TestZone::new(4, 2);
    zone.run(START_TIME);
    zone.send_event(1, ControlEvent::ServerObserved { server: server("s0-0"), leaving: true });
    assert_eq!(leaving(&zone, "s0-0"), 4);
    zone.send_event(2, ControlEvent::ServerObserved { server: server("s0-0"), leaving: false });
    zone.run(Duration::from_secs(30));
    assert_eq!(leaving(&zone, "s0-0"), 4);
}

#[test]
fn a_server_is_leaving_when_the_vm_list_or_the_configuration_says_so() {
    let mut zone = TestZone::new(3, 2);
    let vm = VmRecord {
        name: "s0-0".to_owned(),
        zone: "z1".to_owned(),
        role: VmRole::Backend,
        state: VmState::Live,
        address: "127.0.0.1:20000".to_owned(),
    };
    zone.store.vms.push(vm);
    zone.run(START_TIME);
    assert_eq!(leaving(&zone, "s0-0"), 0);
    zone.store.vms[0].state = VmState::Leaving;
    zone.run(Duration::from_secs(3));
    assert_eq!(leaving(&zone, "s0-0"), 3);
    let mut drained = config(2, 2);
    drained["document"]["services"]["s1"]["servers"]["s1-1"]["state"] = json!("draining");
    zone.store.write(ObjectKind::Config, "current", drained);
    zone.run(Duration::from_secs(1));
    assert_eq!(leaving(&zone, "s1-1"), 3);
    zone.store.write(ObjectKind::Config, "current", config(3, 2));
    zone.run(Duration::from_secs(1));
    assert_eq!(leaving(&zone, "s1-1"), 0);
}

/// Size of a fleet.
struct FleetCase {
    zones: usize,
    nodes_per_zone: usize,
    services: usize,
}

/// A sixteenth, a quarter and all of the fleet size that the design targets.
const FLEETS: &[FleetCase] = &[
    FleetCase { zones: 3, nodes_per_zone: 9, services: 53 },
    FleetCase { zones: 5, nodes_per_zone: 21, services: 212 },
    FleetCase { zones: 10, nodes_per_zone: 43, services: 850 },
];

const SETTLE_TIME: Duration = Duration::from_secs(20);
const MEASURED_SECONDS: usize = 8;
const MAX_CONFIG_SECONDS: u64 = 18;

fn fleet(case: &FleetCase) -> TestZone {
    let mut zone = TestZone::new(0, 0);
    zone.store.write(ObjectKind::Config, "current", config_in(1, case.services, case.zones));
    for idx in 0..case.zones * case.nodes_per_zone {
        zone.store.vms.push(entry_vm(idx, "z1"));
        zone.add(options(idx, &format!("z{}", 1 + idx % case.zones)));
    }
    zone.run(SETTLE_TIME);
    zone
}

/// Returns the bytes per second that the busiest node sends and receives, and
/// the platform calls per second of all nodes.
fn measure(zone: &mut TestZone) -> (usize, usize) {
    for node in &mut zone.nodes {
        node.bytes_sent = 0;
        node.bytes_received = 0;
    }
    zone.store.calls = 0;
    zone.run(Duration::from_secs(MEASURED_SECONDS as u64));
    let traffic = zone.nodes.iter().map(|node| node.bytes_sent + node.bytes_received);
    let calls = usize::try_from(zone.store.calls).unwrap();
    (traffic.max().unwrap_or(0) / MEASURED_SECONDS, calls / MEASURED_SECONDS)
}

#[test]
fn control_of_a_fleet_stays_within_its_bounds() {
    for case in FLEETS {
        let mut zone = fleet(case);
        let nodes = zone.nodes.len();
        let held: usize = zone.loads().iter().sum();
        assert_eq!(held, 2 * case.services);
        let (bytes, calls) = measure(&mut zone);
        println!("{nodes} nodes: {bytes} bytes/s at the busiest node, {calls} platform calls/s");
        assert!(bytes < CONTROL_BYTES_PER_SECOND, "{nodes} nodes: {bytes}");
        let changed = zone.now;
        zone.store.write(ObjectKind::Config, "current", config_in(2, case.services, case.zones));
        while versions(&zone).contains(&1) {
            zone.run(Duration::from_millis(100));
        }
        let took = zone.now.since(changed);
        println!("{nodes} nodes: all have the new configuration after {took:?}");
        assert!(took <= Duration::from_secs(MAX_CONFIG_SECONDS), "{nodes} nodes: {took:?}");
    }
}

/// Vouch requests of all nodes of a full zone stay within the bound while the
/// platform is down.
#[test]
fn control_of_a_full_zone_in_an_outage_stays_within_its_bound() {
    let mut zone = fleet(&FleetCase { zones: 1, nodes_per_zone: 43, services: 85 });
    for node in &mut zone.nodes {
        node.reaches_store = false;
    }
    zone.run(SETTLE_TIME);
    let (bytes, _) = measure(&mut zone);
    println!("43 nodes without platform: {bytes} bytes/s at the busiest node");
    assert!(bytes < CONTROL_BYTES_PER_SECOND, "{bytes}");
}
