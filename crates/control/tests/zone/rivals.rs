//! The rules of leases against their rivals, on a clock that tests move.

use std::time::Duration;

use carobstep_control::ControlOptions;
use carobstep_store::ObjectKind;

use crate::support::{TestZone, config, entry_vm, options, server};

const SERVICES: usize = 3;
const LIST_LAG: Duration = Duration::from_secs(60);
const LIMIT: Duration = Duration::from_secs(300);

/// What may move the grants of a node that died.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum MoveTrigger {
    Lapse,
    VmListOnly,
}

/// A death of one node and the time until each server is held again.
struct DeathCase {
    nodes: usize,
    trigger: MoveTrigger,
    within: Duration,
}

const DEATH_CASES: &[DeathCase] = &[
    DeathCase { nodes: 3, trigger: MoveTrigger::Lapse, within: Duration::from_secs(18) },
    DeathCase { nodes: 3, trigger: MoveTrigger::VmListOnly, within: Duration::from_secs(70) },
    DeathCase { nodes: 2, trigger: MoveTrigger::Lapse, within: Duration::from_secs(70) },
];

fn zone_of(nodes: usize, change: impl Fn(&mut ControlOptions)) -> TestZone {
    let mut zone = TestZone::new(0, SERVICES);
    zone.store.write(ObjectKind::Config, "current", config(1, SERVICES));
    for at in 0..nodes {
        let mut options = options(at, "z1");
        change(&mut options);
        zone.add(options);
        zone.store.vms.push(entry_vm(at, "z1"));
    }
    zone.run(Duration::from_secs(20));
    zone
}

fn count_held(zone: &TestZone) -> usize {
    let names = (0..SERVICES).flat_map(|at| [format!("s{at}-0"), format!("s{at}-1")]);
    names.filter(|name| zone.dispatchers(&server(name)).len() == 1).count()
}

fn time_without_holder(case: &DeathCase) -> Duration {
    let mut zone = zone_of(case.nodes, |options| {
        if case.trigger == MoveTrigger::VmListOnly {
            options.lease.term = Duration::from_secs(3600);
        }
    });
    zone.nodes[0].alive = false;
    let mut waited = Duration::ZERO;
    while count_held(&zone) < 2 * SERVICES && waited < LIMIT {
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
    for case in DEATH_CASES {
        let waited = time_without_holder(case);
        println!("{:?} in a zone of {}: {waited:?} without a holder", case.trigger, case.nodes);
        assert!(waited <= case.within, "{waited:?}");
    }
}

/// Without the rule, nobody would be asked; with all links cut, nobody
/// answers, which is the same to the holder.
#[test]
fn the_outage_rule_keeps_a_zone_without_platform_at_work() {
    for rule in [true, false] {
        let mut zone = zone_of(3, |_| {});
        for node in &mut zone.nodes {
            node.reaches_store = false;
        }
        if !rule {
            zone.cut_links = vec![(0, 1), (0, 2), (1, 2)];
        }
        zone.run(Duration::from_secs(120));
        println!("outage rule {rule}: {} of {} servers held", count_held(&zone), 2 * SERVICES);
        assert_eq!(count_held(&zone), if rule { 2 * SERVICES } else { 0 });
    }
}

/// One half of a split zone reaches the platform: the holders of the other
/// half go on, and nothing of theirs is taken.
#[test]
fn the_halves_of_a_split_zone_both_go_on_with_what_they_hold() {
    let mut zone = zone_of(4, |_| {});
    let before = zone.loads();
    for node in &mut zone.nodes[2..] {
        node.reaches_store = false;
    }
    zone.cut_links = vec![(0, 2), (0, 3), (1, 2), (1, 3)];
    zone.run(Duration::from_secs(120));
    assert_eq!(count_held(&zone), 2 * SERVICES);
    assert_eq!(zone.loads(), before);
}
