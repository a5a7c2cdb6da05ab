//! Builders for server entries and a small fleet, shared by the tests of this crate.

use std::{sync::Arc, time::Duration};

use carobstep_clock::BootTime;
use carobstep_tier::{
    ClassKey, DirectoryChange, FleetLimits, ServerEntry, ServerFleet, ServerPhase, ServiceKey,
};

/// Latency objective of the searches in the tests.
pub const OBJECTIVE: Duration = Duration::from_millis(100);

/// Limits for a single node.
pub const LIMITS: FleetLimits = FleetLimits { retry_ratio: 0.2, retry_slack: 10.0, nodes: 1 };

pub const fn at(millis: u64) -> BootTime {
    BootTime::from_millis(10_000 + millis)
}

pub fn name(text: &str) -> Arc<str> {
    Arc::from(text)
}

pub fn entry(id: &str, service: &str, zone: &str) -> ServerEntry {
    ServerEntry {
        id: name(id),
        service: name(service),
        address: format!("127.0.0.1:{}", 1000 + id.len()).parse().expect("an address"),
        zone: name(zone),
        slots: 2,
        phase: ServerPhase::Ready,
        cold_left: Duration::ZERO,
        born_ms: Some(1),
        report_number: 1,
    }
}

/// Builds the fleet of a node in zone `a`, with one server per shard in each of `zones`.
pub fn fleet(shards: usize, zones: &[&str], limits: FleetLimits) -> (ServerFleet, Vec<ServiceKey>) {
    let mut fleet = ServerFleet::new(name("a"), limits);
    let services = add_servers(&mut fleet, shards, zones);
    (fleet, services)
}

/// Adds one server per shard in each of `zones` to a fleet.
pub fn add_servers(fleet: &mut ServerFleet, shards: usize, zones: &[&str]) -> Vec<ServiceKey> {
    let mut services = Vec::new();
    for shard in 0..shards {
        let service = format!("shard-{shard}");
        services.push(fleet.get_or_insert_service(at(0), &name(&service)));
        for zone in zones {
            let id = format!("{service}-{zone}");
            fleet.apply(at(0), &DirectoryChange::Changed(entry(&id, &service, zone)));
        }
    }
    services
}

pub fn class(fleet: &mut ServerFleet) -> ClassKey {
    fleet.classes.class_for(OBJECTIVE, Duration::from_millis(500), true)
}
