//! Counts the allocations of the decisions.

mod support;

use std::alloc::System;

use stats_alloc::{INSTRUMENTED_SYSTEM, Region, StatsAlloc};

use support::design::{NODES, Node, SERVERS, SHARDS, design_topology};

#[global_allocator]
static ALLOCATOR: &StatsAlloc<System> = &INSTRUMENTED_SYSTEM;

/// Queries before and while allocations are counted.
const QUERIES: usize = 2_000;

/// Memory that a node may use for control.
const MAX_NODE_BYTES: usize = 128 * 1024 * 1024;

/// Queries that a node has under way: 228 a second for 170 ms each, and as many again.
const OPEN_QUERIES: usize = 80;

fn allocations_per_query(shards: usize) -> f64 {
    let topology = design_topology(SERVERS / 4);
    let mut node = Node::new(&topology, shards, 1);
    for _ in 0..QUERIES {
        node.query();
    }
    let region = Region::new(ALLOCATOR);
    for _ in 0..QUERIES {
        node.query();
    }
    region.change().allocations as f64 / QUERIES as f64
}

fn allocations_per_held_request() -> f64 {
    let topology = design_topology(SERVERS / 16);
    let mut node = Node::new(&topology, SHARDS, 4);
    node.hold(QUERIES * SHARDS);
    let region = Region::new(ALLOCATOR);
    node.hold(QUERIES * SHARDS);
    region.change().allocations as f64 / (QUERIES * SHARDS) as f64
}

fn node_bytes() -> usize {
    let region = Region::new(ALLOCATOR);
    let topology = design_topology(SERVERS);
    let mut node = Node::new(&topology, SHARDS, SERVERS.div_ceil(NODES));
    for _ in 0..QUERIES {
        node.query();
    }
    node.hold(QUERIES * SHARDS);
    let change = region.change();
    let bytes = change.bytes_allocated - change.bytes_deallocated;
    drop(node);
    bytes
}

/// One test, since the counts are those of the whole process.
#[test]
fn shard_requests_allocate_nothing_and_state_is_small() {
    let half = allocations_per_query(SHARDS / 2);
    let whole = allocations_per_query(SHARDS);
    let per_shard = (whole - half) / (SHARDS - SHARDS / 2) as f64;
    println!("allocations: {whole:.2} per query, {per_shard:.4} per further shard request");
    assert!(per_shard <= 0.01, "{per_shard} allocations per shard request");
    assert!(whole <= 8.0, "{whole} allocations per query");
    let held = allocations_per_held_request();
    println!("allocations: {held:.4} per held request");
    assert!(held <= 0.01, "{held} allocations per held request");
    let bytes = node_bytes();
    println!(
        "{bytes} bytes of decision state at {SERVERS} servers, {OPEN_QUERIES} open queries beside"
    );
    assert!(bytes < MAX_NODE_BYTES, "{bytes} bytes");
}
