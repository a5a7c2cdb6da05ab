//! Limits the memory allocations of load control decisions and the memory of their state.

mod support;

use std::alloc::System;

use stats_alloc::{INSTRUMENTED_SYSTEM, Region, StatsAlloc};

use support::design::{DesignNode, NODES, SERVERS, SHARDS, design_topology};

#[global_allocator]
static ALLOCATOR: &StatsAlloc<System> = &INSTRUMENTED_SYSTEM;

/// Number of searches before the allocations are counted, and again while they are.
const SEARCHES: usize = 2_000;

/// Maximum memory that a node may use for load control.
const MAX_NODE_BYTES: usize = 128 * 1024 * 1024;

/// Number of searches in flight at a node: 228 per second for 170 ms each, doubled.
const OPEN_SEARCHES: usize = 80;

fn allocations_per_search(shards: usize) -> f64 {
    let topology = design_topology(SERVERS / 4);
    let mut node = DesignNode::new(&topology, shards, 1);
    for _ in 0..SEARCHES {
        node.search();
    }
    let region = Region::new(ALLOCATOR);
    for _ in 0..SEARCHES {
        node.search();
    }
    region.change().allocations as f64 / SEARCHES as f64
}

fn allocations_per_holder_request() -> f64 {
    let topology = design_topology(SERVERS / 16);
    let mut node = DesignNode::new(&topology, SHARDS, 4);
    node.serve_requests(SEARCHES * SHARDS);
    let region = Region::new(ALLOCATOR);
    node.serve_requests(SEARCHES * SHARDS);
    region.change().allocations as f64 / (SEARCHES * SHARDS) as f64
}

fn node_bytes() -> usize {
    let region = Region::new(ALLOCATOR);
    let topology = design_topology(SERVERS);
    let mut node = DesignNode::new(&topology, SHARDS, SERVERS.div_ceil(NODES));
    for _ in 0..SEARCHES {
        node.search();
    }
    node.serve_requests(SEARCHES * SHARDS);
    let change = region.change();
    let bytes = change.bytes_allocated - change.bytes_deallocated;
    drop(node);
    bytes
}

/// This file has a single test, since the allocations of the whole process are counted.
#[test]
fn shard_requests_allocate_nothing_and_state_is_small() {
    let half_allocations = allocations_per_search(SHARDS / 2);
    let full_allocations = allocations_per_search(SHARDS);
    let per_shard = (full_allocations - half_allocations) / (SHARDS - SHARDS / 2) as f64;
    println!(
        "allocations: {full_allocations:.2} per query, {per_shard:.4} per further shard request"
    );
    assert!(per_shard <= 0.01, "{per_shard} allocations per shard request");
    assert!(full_allocations <= 8.0, "{full_allocations} allocations per query");
    let per_request = allocations_per_holder_request();
    println!("allocations: {per_request:.4} per request at the holder");
    assert!(per_request <= 0.01, "{per_request} allocations per request at the holder");
    let bytes = node_bytes();
    println!(
        "{bytes} bytes of load control state at {SERVERS} servers, without {OPEN_SEARCHES} open queries"
    );
    assert!(bytes < MAX_NODE_BYTES, "{bytes} bytes");
}
