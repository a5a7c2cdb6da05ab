//! Comparison of the lease protocol with simpler alternatives, on a simulated
//! clock.

use std::time::Duration;

use carobstep_control::ControlOptions;
use carobstep_store::ObjectKind;

use crate::support::{TestZone, config, entry_vm, options, server};

const SERVICES: usize = 3;
const LIST_LAG: Duration = Duration::from_secs(60);
const MAX_WAIT: Duration = Duration::from_secs(300);

/// Evidence on which the grants of a dead node may be moved.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum MoveTrigger {
    LeaseExpiry,
    VmListOnly,
}

/// Crash of one node, and the maximum time until each server is held again.
struct CrashCase {
    nodes: usize,
    trigger: MoveTrigger,
    within: Duration,
}

const CRASH_CASES: &[CrashCase] = &[
    CrashCase { nodes: 3, trigger: MoveTrigger::LeaseExpiry, within: Duration::from_secs(18) },
    CrashCase { nodes: 3, trigger: MoveTrigger::VmListOnly, within: Duration::from_secs(70) },
    CrashCase { nodes: 2, trigger: MoveTrigger::LeaseExpiry, within: Duration::from_secs(70) },
];

fn zone_of(nodes: usize, change: impl Fn(&mut ControlOptions)) -> TestZone {
    let mut zone = TestZone::new(0, SERVICES);
    zone.store.write(ObjectKind::Config, "current", config(1, SERVICES));
    for idx in 0..nodes {
        let mut options = options(idx, "z1");
        change(&mut options);
        zone.add(options);
        zone.store.vms.push(entry_vm(idx, "z1"));
    }
    zone.run(Duration::from_secs(20));
    zone
}

fn count_held(zone: &TestZone) -> usize {
    let names = (0..SERVICES).flat_map(|idx| [format!("s{idx}-0"), format!("s{idx}-1")]);
    names.filter(|name| zone.dispatchers(&server(name)).len() == 1).count()
}

fn time_without_holder(case: &CrashCase) -> Duration {
    let mut zone = zone_of(case.nodes, |options| {
        if case.trigger == MoveTrigger::VmListOnly {
            options.lease.term = Duration::from_secs(3600);
        }
    });
    zone.nodes[0].alive = false;
    let mut waited = Duration::ZERO;
    while count_held(&zone) < 2 * SERVICES && waited < MAX_WAIT {
        if waited == LIST_LAG {
            zone.store.vms.remove(0);
        }
        zone.run(Duration::from_secs(1));
        waited += Duration::from_secs(1);
    }
    waited
}

#[test]
fn a_lapse_moves_grants_before_a_list_that_lags() {
    for case in CRASH_CASES {
        let waited = time_without_holder(case);
        println!("{:?} in a zone of {}: {waited:?} without a holder", case.trigger, case.nodes);
        assert!(waited <= case.within, "{waited:?}");
    }
}

/// Nodes dispatch past the term of their leases as long as their witnesses vouch.
///
/// Breaking all links simulates a protocol without witnesses: for the holder,
/// witnesses that do not reply are the same as none.
#[test]
fn the_outage_rule_keeps_a_zone_without_platform_at_work() {
    for witnesses_reachable in [true, false] {
        let mut zone = zone_of(3, |_| {});
        for node in &mut zone.nodes {
            node.reaches_store = false;
        }
        if !witnesses_reachable {
            zone.broken_links = vec![(0, 1), (0, 2), (1, 2)];
        }
        zone.run(Duration::from_secs(120));
        println!(
            "witnesses reachable {witnesses_reachable}: {} of {} servers held",
            count_held(&zone),
            2 * SERVICES
        );
        assert_eq!(count_held(&zone), if witnesses_reachable { 2 * SERVICES } else { 0 });
    }
}

/// If one half of a split zone reaches the platform, the other half keeps its
/// grants and continues to dispatch.
#[test]
fn the_halves_of_a_split_zone_both_go_on_with_what_they_hold() {
    let mut zone = zone_of(4, |_| {});
    let before = zone.loads();
    for node in &mut zone.nodes[2..] {
        node.reaches_store = false;
    }
    zone.broken_links = vec![(0, 2), (0, 3), (1, 2), (1, 3)];
    zone.run(Duration::from_secs(120));
    assert_eq!(count_held(&zone), 2 * SERVICES);
    assert_eq!(zone.loads(), before);
}
