//! Measures the resident memory of control states, topologies, routers and
//! searches.

use std::{fs, sync::Arc, time::Duration};

use carobstep_config::{ConfigTopology, ConfigVersion, IndexManifest, ManifestDocument};
use carobstep_dispatch::{SearchPlan, SearchState, ServerRouter};
use carobstep_wire::RequestId;

use crate::{driver::NodeDriver, fleet::Fleet};

/// Number of copies of each state that are measured together, so that the page
/// size does not distort the result.
const COPIES: usize = 10;

/// Number of concurrent searches that are measured together.
const SEARCHES: usize = 1_000;

/// Returns the resident memory of this process, in KiB.
fn resident_kib() -> u64 {
    let status = fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    line.and_then(|line| line.trim().trim_end_matches(" kB").parse().ok()).unwrap_or(0)
}

/// Builds `copies` values and returns the growth of resident memory for each, in
/// KiB.
fn memory_growth<T>(copies: usize, mut build: impl FnMut(usize) -> T) -> f64 {
    // The first value makes the allocator fill its free lists; it isn't counted.
    let first = build(0);
    let before = resident_kib();
    let built: Vec<T> = (1..=copies).map(build).collect();
    let grown = resident_kib().saturating_sub(before);
    // Leaks the values: the next measurement would reuse freed memory and not see
    // it as growth.
    std::mem::forget((first, built));
    grown as f64 / copies as f64
}

/// Measures and prints the memory of each state.
pub fn measure(fleet: &Fleet) {
    let control = memory_growth(COPIES, |_| {
        let mut driver = NodeDriver::new(fleet, 0);
        let peers = fleet.peers(2);
        let notice = carobstep_wire::UpdateNotice { peers, ..Default::default() };
        driver.run_until(driver.now + Duration::from_secs(3));
        driver.receive(carobstep_wire::ControlMessage::News(notice));
        driver.run_until(driver.now + Duration::from_secs(3));
        driver.control
    });
    let topology = memory_growth(COPIES, |_| {
        ConfigTopology::try_from((ConfigVersion(1), &fleet.document)).expect("a topology")
    });
    let shared_topology = Arc::new(fleet.topology.clone());
    let now = carobstep_clock::BootTime::from_millis(1);
    let router =
        memory_growth(COPIES, |_| ServerRouter::new(shared_topology.clone(), "zone-00", 1, now));
    let searches = search_memory(fleet);
    println!(
        "{} nodes, memory: control state {control:.0} KiB, topology {topology:.0} KiB, \
         router {router:.0} KiB, one search {searches:.1} KiB",
        fleet.size.nodes
    );
}

/// Returns the memory of one search that has sent all its shard requests, in KiB.
fn search_memory(fleet: &Fleet) -> f64 {
    let topology = Arc::new(fleet.topology.clone());
    let document: ManifestDocument = serde_json::from_value(fleet.manifest()).expect("a manifest");
    let manifest = IndexManifest::try_from((topology.as_ref(), &document)).expect("a manifest");
    let map = manifest.newest().clone();
    let now = carobstep_clock::BootTime::from_millis(1);
    let mut router = ServerRouter::new(topology.clone(), "zone-00", 1, now);
    for (key, _) in topology.servers() {
        router.set_usable(key, true);
    }
    memory_growth(SEARCHES, |number| {
        let plan = SearchPlan {
            id: RequestId(number as u128),
            deadline: now + Duration::from_millis(170),
            map: map.clone(),
            topology: topology.clone(),
        };
        let mut search = SearchState::new(plan, now);
        let mut actions = Vec::new();
        search.start(now, &mut router, &mut actions);
        (search, actions)
    })
}
