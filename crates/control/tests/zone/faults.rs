//! Random sequential and overlapping faults: at any time at most one node may
//! start requests to a server, and each server is held after the faults end.

use std::time::Duration;

use crate::support::{TestZone, entry_vm, options, server};

const SEEDS: u64 = 100;
const SERVICES: usize = 3;
const MAX_NODES: usize = 7;
const FAULT_SECONDS: u64 = 120;
const RECOVERY_TIME: Duration = Duration::from_secs(60);

/// Xorshift generator (Marsaglia 2003) that selects the faults.
struct FaultRng(u64);

impl FaultRng {
    fn below(&mut self, bound: usize) -> usize {
        self.0 ^= self.0 << 13;
        self.0 ^= self.0 >> 7;
        self.0 ^= self.0 << 17;
        usize::try_from(self.0 % bound as u64).unwrap()
    }
}

fn inject(zone: &mut TestZone, source: &mut FaultRng) {
    let nodes = zone.nodes.len();
    let idx = source.below(nodes);
    if zone.nodes[idx].removed {
        return;
    }
    match source.below(11) {
        0 | 1 => zone.nodes[idx].alive = !zone.nodes[idx].alive,
        2 | 3 => zone.nodes[idx].reaches_store = !zone.nodes[idx].reaches_store,
        4 | 5 => toggle_link(zone, idx, source.below(nodes)),
        6 => zone.nodes[idx].replies_to_lose += 2,
        7 => {
            zone.restart(idx, options(idx, "z1"));
        }
        8 => {
            let down = source.below(2) == 0;
            for node in &mut zone.nodes {
                node.reaches_store = !down;
            }
        }
        9 if nodes < MAX_NODES => replace(zone, idx),
        _ => zone.broken_links.clear(),
    }
}

/// Replaces a VM by one with another name and address.
fn replace(zone: &mut TestZone, idx: usize) {
    zone.remove(idx);
    let new_idx = zone.nodes.len();
    zone.add(options(new_idx, "z1"));
    zone.store.vms.push(entry_vm(new_idx, "z1"));
}

fn toggle_link(zone: &mut TestZone, one: usize, other: usize) {
    let link = (one.min(other), one.max(other));
    if zone.broken_links.contains(&link) {
        zone.broken_links.retain(|broken| *broken != link);
    } else {
        zone.broken_links.push(link);
    }
}

fn check(zone: &TestZone, seed: u64) {
    for service in 0..SERVICES {
        for replica in 0..2 {
            let name = server(&format!("s{service}-{replica}"));
            let dispatchers = zone.dispatchers(&name);
            assert!(
                dispatchers.len() <= 1,
                "seed {seed}, server {name}: {dispatchers:?} at {:?}",
                zone.now
            );
        }
    }
}

fn run_seed(nodes: usize, seed: u64) {
    let mut zone = TestZone::new(nodes, SERVICES);
    for idx in 0..nodes {
        zone.store.vms.push(entry_vm(idx, "z1"));
    }
    let mut source = FaultRng(seed.wrapping_mul(0x9E37_79B9_7F4A_7C15) | 1);
    zone.run(Duration::from_secs(10));
    for _ in 0..FAULT_SECONDS {
        if source.below(4) == 0 {
            inject(&mut zone, &mut source);
            check(&zone, seed);
        }
        for _ in 0..10 {
            zone.run(Duration::from_millis(100));
            check(&zone, seed);
        }
    }
    zone.broken_links.clear();
    for node in zone.nodes.iter_mut().filter(|node| !node.removed) {
        node.alive = true;
        node.reaches_store = true;
        node.replies_to_lose = 0;
    }
    zone.run(RECOVERY_TIME);
    let names = (0..SERVICES).flat_map(|idx| [format!("s{idx}-0"), format!("s{idx}-1")]);
    for name in names {
        let dispatchers = zone.dispatchers(&server(&name));
        assert_eq!(dispatchers.len(), 1, "seed {seed}, server {name}: {dispatchers:?}");
    }
}

#[test]
fn faults_never_let_two_nodes_dispatch() {
    for seed in 0..SEEDS {
        run_seed(2 + usize::try_from(seed % 3).unwrap(), seed);
    }
}
