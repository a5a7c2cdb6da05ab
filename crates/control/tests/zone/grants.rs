//! Grants of one zone: assignment, handover, takeover and platform outages.

use std::time::Duration;

use crate::support::{TestZone, address, entry_vm, options, server};
use carobstep_control::{ControlEffect, ControlEvent, LeaseState, NodePhase};
use carobstep_store::ObjectKind;

const START_TIME: Duration = Duration::from_secs(10);

macro_rules! assert_loads {
    ($zone:expr, $loads:expr) => {
        assert_eq!($zone.loads(), $loads, "at {:?}", $zone.now)
    };
}

fn assert_single_holders(zone: &TestZone, services: usize) {
    for service in 0..services {
        for replica in 0..2 {
            let name = server(&format!("s{service}-{replica}"));
            assert_eq!(zone.dispatchers(&name).len(), 1, "server {name}");
        }
    }
}

#[test]
fn servers_spread_evenly_and_replicas_apart() {
    let mut zone = TestZone::new(3, 6);
    zone.run(START_TIME);
    assert_loads!(zone, [4, 4, 4]);
    assert_single_holders(&zone, 6);
    for service in 0..6 {
        let first = zone.dispatchers(&server(&format!("s{service}-0")));
        let second = zone.dispatchers(&server(&format!("s{service}-1")));
        assert_ne!(first, second, "service {service}");
    }
}

#[test]
fn every_node_routes_to_the_holder() {
    let mut zone = TestZone::new(3, 2);
    zone.run(START_TIME);
    let name = server("s1-0");
    let holder = zone.dispatchers(&name)[0];
    for node in &zone.nodes {
        let route = node.state.holder_of(&name).unwrap();
        assert_eq!(route.address, zone.nodes[holder].address);
    }
}

#[test]
fn a_new_node_gets_its_share() {
    let mut zone = TestZone::new(2, 6);
    zone.run(START_TIME);
    assert_loads!(zone, [6, 6]);
    zone.add(options(2, "z1"));
    zone.run(Duration::from_secs(20));
    assert_loads!(zone, [4, 4, 4]);
    assert_single_holders(&zone, 6);
}

#[test]
fn a_stopping_node_hands_over_and_finishes() {
    let mut zone = TestZone::new(3, 6);
    zone.run(START_TIME);
    zone.send_event(0, ControlEvent::Stop);
    zone.run(Duration::from_secs(3));
    assert!(zone.nodes[0].stopped);
    assert_eq!(zone.nodes[0].state.phase(), NodePhase::Stopped);
    assert_eq!(zone.loads()[0], 0);
    assert_single_holders(&zone, 6);
    zone.run(Duration::from_secs(10));
    assert_loads!(zone, [0, 6, 6]);
    assert_single_holders(&zone, 6);
    assert_eq!(zone.store.value(ObjectKind::Lease, "n0")["state"], "released");
}

#[test]
fn a_release_waits_until_the_server_is_idle() {
    let mut zone = TestZone::new(2, 1);
    zone.run(START_TIME);
    zone.nodes[0].drains_immediately = false;
    zone.send_event(0, ControlEvent::Stop);
    zone.run(Duration::from_secs(3));
    assert!(!zone.nodes[0].stopped);
    assert_loads!(zone, [1, 1]);
    let held = zone.nodes[0].state.held_grants().next().unwrap().0.clone();
    assert!(zone.dispatchers(&held).is_empty());
    zone.send_event(0, ControlEvent::ServerIdle { server: held, idle: true });
    zone.run(Duration::from_secs(1));
    assert_loads!(zone, [0, 2]);
}

#[test]
fn grants_of_a_dead_node_move_after_its_lease_expires() {
    let mut zone = TestZone::new(3, 6);
    zone.run(START_TIME);
    zone.nodes[0].alive = false;
    zone.run(Duration::from_secs(8));
    assert_loads!(zone, [4, 4, 4]);
    zone.run(Duration::from_secs(12));
    assert_loads!(zone, [4, 6, 6]);
    assert_single_holders(&zone, 6);
}

#[test]
fn a_zone_of_two_moves_no_grant_without_the_vm_list() {
    let mut zone = TestZone::new(2, 2);
    zone.run(START_TIME);
    zone.nodes[0].alive = false;
    zone.run(Duration::from_secs(60));
    assert_loads!(zone, [2, 2]);
}

/// Guards against a process that was paused and acts on a lease that has expired: in a
/// zone of two, a node that vouches for itself is half of the witnesses.
#[test]
fn a_node_that_was_paused_does_not_vouch_for_itself() {
    let mut zone = TestZone::new(2, 2);
    zone.store.vms = vec![entry_vm(0, "z1"), entry_vm(1, "z1")];
    zone.run(START_TIME);
    let held: Vec<_> =
        zone.nodes[0].state.held_grants().map(|(server, _)| server.clone()).collect();
    assert!(!held.is_empty());
    zone.nodes[0].alive = false;
    let listed = zone.store.vms.clone();
    let address = zone.nodes[0].address.to_string();
    zone.store.vms.retain(|vm| vm.address != address);
    zone.run(Duration::from_secs(60));
    // The process runs again and has not yet handled any event.
    zone.nodes[0].alive = true;
    zone.store.vms = listed;
    for server in &held {
        assert_eq!(zone.dispatchers(server), [1], "{server} at the resumption");
    }
    zone.run(Duration::from_secs(20));
    assert_single_holders(&zone, 2);
}

#[test]
fn a_node_that_was_paused_without_platform_goes_on_once_its_witness_vouches() {
    let mut zone = TestZone::new(2, 2);
    zone.run(START_TIME);
    for node in &mut zone.nodes {
        node.reaches_store = false;
    }
    zone.run(Duration::from_secs(30));
    let held: Vec<_> =
        zone.nodes[0].state.held_grants().map(|(server, _)| server.clone()).collect();
    zone.broken_links = vec![(0, 1)];
    zone.nodes[0].alive = false;
    zone.run(Duration::from_secs(10));
    zone.nodes[0].alive = true;
    zone.run(Duration::from_secs(5));
    for server in &held {
        assert!(zone.dispatchers(server).is_empty(), "{server} without a vouch");
    }
    zone.broken_links.clear();
    zone.run(Duration::from_secs(10));
    for server in &held {
        assert_eq!(zone.dispatchers(server), [0], "{server}");
    }
}

#[test]
fn a_restarted_node_reacquires_its_grants() {
    let mut zone = TestZone::new(2, 2);
    zone.run(START_TIME);
    zone.nodes[0].alive = false;
    zone.run(Duration::from_secs(1));
    zone.restart(0, options(0, "z1"));
    zone.run(Duration::from_secs(6));
    assert_loads!(zone, [2, 2]);
    assert_eq!(zone.nodes[0].state.incarnation(), 2);
    assert_single_holders(&zone, 2);
}

#[test]
fn a_zone_without_platform_keeps_dispatching() {
    let mut zone = TestZone::new(3, 3);
    zone.run(START_TIME);
    for node in &mut zone.nodes {
        node.reaches_store = false;
    }
    zone.run(Duration::from_secs(120));
    assert_single_holders(&zone, 3);
    for node in &mut zone.nodes {
        node.reaches_store = true;
    }
    zone.run(Duration::from_secs(20));
    assert_single_holders(&zone, 3);
    assert_loads!(zone, [2, 2, 2]);
}

#[test]
fn an_isolated_node_stops_dispatching_and_is_replaced() {
    let mut zone = TestZone::new(3, 3);
    zone.run(START_TIME);
    zone.nodes[0].reaches_store = false;
    zone.broken_links = vec![(0, 1), (0, 2)];
    zone.run(Duration::from_secs(25));
    assert_single_holders(&zone, 3);
    assert_eq!(zone.loads()[1..], [3, 3]);
    zone.nodes[0].reaches_store = true;
    zone.broken_links.clear();
    zone.run(Duration::from_secs(25));
    assert_single_holders(&zone, 3);
    assert_loads!(zone, [2, 2, 2]);
}

#[test]
fn lost_replies_are_resolved_by_reading_back() {
    let mut zone = TestZone::new(2, 4);
    zone.nodes[0].replies_to_lose = 4;
    zone.nodes[1].replies_to_lose = 4;
    zone.run(Duration::from_secs(15));
    assert_single_holders(&zone, 4);
    for idx in 0..2 {
        zone.nodes[idx].replies_to_lose = 3;
    }
    zone.run(Duration::from_secs(15));
    assert_single_holders(&zone, 4);
    zone.nodes[0].replies_to_lose = 3;
    zone.send_event(0, ControlEvent::Stop);
    zone.run(Duration::from_secs(8));
    assert_loads!(zone, [0, 8]);
}

#[test]
fn a_node_removed_from_the_vm_list_is_replaced_in_a_zone_of_two() {
    let mut zone = TestZone::new(2, 2);
    for idx in 0..2 {
        zone.store.vms.push(entry_vm(idx, "z1"));
    }
    zone.run(START_TIME);
    zone.nodes[0].alive = false;
    zone.store.vms.remove(0);
    zone.run(Duration::from_secs(15));
    assert_loads!(zone, [2, 4]);
    assert_single_holders(&zone, 2);
}

#[test]
fn replacing_every_node_one_by_one_keeps_each_server_held() {
    let mut zone = TestZone::new(3, 6);
    zone.run(START_TIME);
    for idx in 0..3 {
        zone.add(options(idx + 3, "z1"));
        zone.run(Duration::from_secs(5));
        zone.send_event(idx, ControlEvent::Stop);
        zone.run(Duration::from_secs(5));
        assert!(zone.nodes[idx].stopped, "node {idx}");
        zone.nodes[idx].alive = false;
        assert_single_holders(&zone, 6);
    }
    zone.run(START_TIME);
    assert_loads!(zone, [0, 0, 0, 4, 4, 4]);
}

#[test]
fn a_process_at_another_address_waits_until_the_earlier_one_is_proven_to_have_ended() {
    let mut zone = TestZone::new(3, 3);
    zone.run(START_TIME);
    zone.nodes[0].alive = false;
    let mut moved = options(0, "z1");
    moved.peer_address = address(9);
    zone.add(moved);
    zone.run(Duration::from_secs(5));
    assert_eq!(zone.nodes[3].state.lease_state(), LeaseState::Opening);
    zone.run(Duration::from_secs(25));
    assert_eq!(zone.nodes[3].state.lease_state(), LeaseState::Open);
    assert_loads!(zone, [2, 2, 2, 2]);
    assert_single_holders(&zone, 3);
}

/// A grant is kept if the platform goes down after the holder has drained the
/// server and before it writes the release.
#[test]
fn a_grant_whose_release_was_never_sent_is_kept() {
    let mut zone = TestZone::new(1, 2);
    zone.run(START_TIME);
    zone.nodes[0].drains_immediately = false;
    zone.add(options(1, "z1"));
    zone.run(Duration::from_secs(7));
    let released = zone.nodes[0].effects.iter().filter_map(|effect| match effect {
        ControlEffect::GrantReleasing { server } => Some(server.clone()),
        _ => None,
    });
    let released: Vec<_> = released.collect();
    assert!(!released.is_empty());
    zone.nodes[0].reaches_store = false;
    zone.nodes[0].effects.clear();
    for server in &released {
        assert!(zone.dispatchers(server).is_empty());
        zone.send_event(0, ControlEvent::ServerIdle { server: server.clone(), idle: true });
    }
    zone.run(Duration::from_secs(1));
    for server in released {
        assert_eq!(zone.dispatchers(&server), [0]);
        assert!(zone.nodes[0].effects.contains(&ControlEffect::GrantTaken { server, epoch: 1 }));
    }
}

/// All VMs of a zone fail at the same time and are replaced under other names.
#[test]
fn a_zone_whose_nodes_are_all_replaced_at_once_is_served_again() {
    let mut zone = TestZone::new(3, 3);
    for idx in 0..3 {
        zone.store.vms.push(entry_vm(idx, "z1"));
    }
    zone.run(START_TIME);
    for idx in 0..3 {
        zone.remove(idx);
        zone.add(options(idx + 3, "z1"));
        zone.store.vms.push(entry_vm(idx + 3, "z1"));
    }
    zone.run(Duration::from_secs(20));
    assert_single_holders(&zone, 3);
}

#[test]
fn a_zone_dispatches_through_an_outage_of_an_hour() {
    let mut zone = TestZone::new(3, 3);
    zone.run(START_TIME);
    for node in &mut zone.nodes {
        node.reaches_store = false;
    }
    zone.run(Duration::from_secs(3600));
    assert_single_holders(&zone, 3);
}
