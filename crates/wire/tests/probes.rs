//! Interval between probes of idle connections to peers.

use std::time::Duration;

use carobstep_wire::probe_interval;
use yare::parameterized;

#[parameterized(
    alone = { 0, 1_000 },
    six_nodes = { 5, 1_000 },
    fifty = { 50, 1_000 },
    hundred = { 100, 2_000 },
    design_size = { 429, 8_580 },
)]
fn probes_stay_within_fifty_per_second(connections: usize, interval_ms: u64) {
    let interval = probe_interval(connections);
    assert_eq!(interval, Duration::from_millis(interval_ms));
    assert!(connections as f64 / interval.as_secs_f64() <= 50.0);
}
