//! Names by which nodes tell each other of servers.

mod support;

use carobstep_tier::{
    AttemptKind, AttemptOutcome, DirectoryChange, ObservationLedger, ServerFleet, ServerKey,
};
use support::{LIMITS, at, class, entry, fleet, name};

/// Two identifiers whose hashes have the same lower 32 bits.
const SHARD_ID: &str = "i-ddefe50c";
const OTHER_ID: &str = "i-bebf4198";

/// Builds a fleet with one server of a service for each identifier.
fn fleet_of(servers: &[(&str, &str)]) -> ServerFleet {
    let (mut fleet, _) = fleet(0, &[], LIMITS);
    for (id, service) in servers {
        fleet.apply(at(0), &DirectoryChange::Changed(entry(id, service, "b")));
    }
    fleet
}

/// Returns the servers of a service.
fn servers_of(fleet: &mut ServerFleet, service: &str) -> Vec<ServerKey> {
    let service = fleet.get_or_insert_service(at(0), &name(service));
    let class = class(fleet);
    fleet.choose_allowed(at(0), service, class, "b", usize::MAX, &[])
}

/// Guards against a search that a delegate sends to a server of another service.
#[test]
fn a_hashed_name_that_two_servers_share_stands_for_neither() {
    let mut sender = fleet_of(&[(SHARD_ID, "shard")]);
    let hashes = hashes_of(&mut sender);
    let servers = [(SHARD_ID, "shard"), (OTHER_ID, "desk")];
    for order in [[0, 1], [1, 0]] {
        let mut receiver = fleet_of(&order.map(|position| servers[position]));
        assert_eq!(receiver.find_servers_by_hash(&hashes), None);
        assert!(hashes_of(&mut receiver).is_empty());
        // Once the other server is gone, the name is that of one server again.
        receiver.apply(at(1), &DirectoryChange::Removed(name(OTHER_ID)));
        let found = receiver.find_servers_by_hash(&hashes).map(|(_, servers)| servers);
        assert_eq!(found, Some(servers_of(&mut receiver, "shard")));
    }
}

/// Guards against a name that means another server to the receiver, which doesn't know the one
/// that is meant yet.
#[test]
fn the_receiver_notices_that_a_hashed_name_means_a_server_of_another_service() {
    struct NameCase {
        label: &'static str,
        known: &'static [(&'static str, &'static str)],
        is_same: bool,
    }
    let cases = [
        NameCase { label: "known", known: &[(SHARD_ID, "shard"), ("i-1", "other")], is_same: true },
        NameCase {
            label: "not known yet, another one with the same hash is",
            known: &[(OTHER_ID, "desk"), ("i-1", "other")],
            is_same: false,
        },
        NameCase { label: "not known yet", known: &[("i-1", "other")], is_same: false },
        NameCase {
            label: "two services with their names swapped",
            known: &[(SHARD_ID, "other"), ("i-1", "shard")],
            is_same: false,
        },
    ];
    let mut sender = fleet_of(&[(SHARD_ID, "shard"), ("i-1", "other")]);
    let mut names = Vec::new();
    let mut services = Vec::new();
    for service in ["shard", "other"] {
        let servers = servers_of(&mut sender, service);
        names.push(sender.id_hashes(&servers));
        services.push(sender.get_or_insert_service(at(0), &name(service)));
    }
    let digest = sender.services_digest(services.into_iter());
    assert!(digest.is_some());
    for case in cases {
        let receiver = fleet_of(case.known);
        let found = names.iter().map(|it| receiver.find_servers_by_hash(it).unwrap_or_default().0);
        assert_eq!(receiver.services_digest(found) == digest, case.is_same, "{}", case.label);
    }
}

/// Guards against a sound server that is avoided because another one fails.
#[test]
fn failures_are_not_laid_on_a_server_with_the_same_hash() {
    let mut reporter = fleet_of(&[(SHARD_ID, "shard")]);
    let (key, class) = (servers_of(&mut reporter, "shard")[0], class(&mut reporter));
    for _ in 0..5 {
        let ticket = reporter.on_attempt_sent(at(0), key, class, AttemptKind::First);
        reporter.on_attempt_ended(at(1), ticket, AttemptOutcome::Failed);
    }
    let reports = reporter.take_observations(at(2));
    assert_eq!(reports.len(), 1);
    let mut ledger = ObservationLedger::default();
    ledger.merge(at(2), &reports);
    let failing = ledger.failing(at(2));

    let mut receiver = fleet_of(&[(SHARD_ID, "shard"), (OTHER_ID, "desk")]);
    // As a node of the version before tells of them, they concern neither.
    let hashed: Vec<_> =
        failing.iter().map(|it| it.with_name(hashes_of(&mut reporter)[0])).collect();
    receiver.apply_observations(at(3), &receiver.name_observations(&hashed));
    assert_eq!(receiver.failing_servers(at(3)), 0);
    receiver.apply_observations(at(3), &failing);
    assert_eq!(receiver.failing_servers(at(3)), 1);
    let desk = servers_of(&mut receiver, "desk")[0];
    assert_eq!(receiver.failure_odds(at(3), desk).total(), 0.0);
}

/// Returns the hashed names of the servers of the shard.
fn hashes_of(fleet: &mut ServerFleet) -> Vec<u32> {
    let servers = servers_of(fleet, "shard");
    fleet.id_hashes(&servers)
}
