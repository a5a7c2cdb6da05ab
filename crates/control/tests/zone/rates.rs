//! Rate of the nodes' lease calls to the platform.

use std::time::Duration;

use carobstep_control::LeaseTiming;

use crate::support::TestZone;

#[test]
fn renewals_keep_the_regular_rate_while_the_platform_is_down() {
    let mut zone = TestZone::new(3, 3);
    zone.run(Duration::from_secs(10));
    for node in &mut zone.nodes {
        node.reaches_store = false;
    }
    let timing = LeaseTiming::default();
    zone.run(timing.term);
    let before: Vec<u64> = zone.nodes.iter().map(|node| node.lease_calls).collect();
    zone.run(Duration::from_secs(60));
    let most = 60 / timing.renew.as_secs() + 1;
    for (node, before) in zone.nodes.iter().zip(before) {
        let calls = node.lease_calls - before;
        assert!(calls <= most, "{calls} lease calls in 60 s, at most {most} expected");
    }
}

#[test]
fn leases_are_renewed_soon_after_the_platform_is_available_again() {
    let mut zone = TestZone::new(3, 3);
    zone.run(Duration::from_secs(10));
    for node in &mut zone.nodes {
        node.reaches_store = false;
    }
    zone.run(Duration::from_secs(3_600));
    for node in &mut zone.nodes {
        node.reaches_store = true;
    }
    zone.run(LeaseTiming::default().renew);
    for node in &zone.nodes {
        assert!(
            node.state.is_lease_renewed(zone.now),
            "lease of node {} is not renewed",
            node.address
        );
    }
}
