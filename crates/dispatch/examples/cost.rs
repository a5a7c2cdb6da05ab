//! Prints the cost of load control decisions at fractions of the design size.
//!
//! `cargo run --release -p carobstep-dispatch --example cost`

#[path = "../tests/support/mod.rs"]
mod support;

use std::{alloc::System, time::Instant};

use stats_alloc::{INSTRUMENTED_SYSTEM, Region, StatsAlloc};

use support::design::{DesignNode, NODES, SERVERS, SHARDS, design_topology};

#[global_allocator]
static ALLOCATOR: &StatsAlloc<System> = &INSTRUMENTED_SYSTEM;

/// Number of searches per round.
const SEARCHES: usize = 5_000;

/// Number of rounds per size.
const ROUNDS: usize = 5;

fn main() {
    println!("servers  entry µs/query  holder µs/56  allocations/query  router bytes  bytes/query");
    for divisor in [16, 4, 1] {
        let servers = SERVERS / divisor;
        let topology = design_topology(servers);
        let region = Region::new(ALLOCATOR);
        let mut node = DesignNode::new(&topology, SHARDS, SERVERS.div_ceil(NODES));
        let router_bytes = region.change().bytes_allocated - region.change().bytes_deallocated;
        for _ in 0..SEARCHES {
            node.search();
        }
        node.serve_requests(SEARCHES * SHARDS);
        for _ in 0..ROUNDS {
            let region = Region::new(ALLOCATOR);
            let start = Instant::now();
            for _ in 0..SEARCHES {
                node.search();
            }
            let entry_time = start.elapsed();
            let change = region.change();
            let start = Instant::now();
            node.serve_requests(SEARCHES * SHARDS);
            let holder_time = start.elapsed();
            println!(
                "{servers:>7}  {:>14.2}  {:>12.2}  {:>17.2}  {router_bytes:>12}  {:>11}",
                entry_time.as_secs_f64() * 1e6 / SEARCHES as f64,
                holder_time.as_secs_f64() * 1e6 / SEARCHES as f64,
                change.allocations as f64 / SEARCHES as f64,
                change.bytes_allocated / SEARCHES,
            );
        }
    }
}
