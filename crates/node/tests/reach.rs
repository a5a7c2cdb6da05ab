//! Servers that are reached through holders of uncertain health.
//!
//! Guards against a search that lacks shards because one probe of the only holder was
//! late by some milliseconds.

use carobstep_config::ServiceKey;
use carobstep_node::{HeldServer, usable_servers};
use carobstep_wire::PeerHealth::{Reachable, Suspect, Unreachable};
use yare::parameterized;

/// Health of the holders of the two servers of a service, and which of the servers may
/// be called.
struct HolderCase {
    holders: [Option<carobstep_wire::PeerHealth>; 2],
    usable: [bool; 2],
}

#[parameterized(
    both_answer = { HolderCase { holders: [Some(Reachable), Some(Reachable)], usable: [true, true] } },
    one_is_late = { HolderCase { holders: [Some(Suspect), Some(Reachable)], usable: [false, true] } },
    both_are_late = { HolderCase { holders: [Some(Suspect), Some(Suspect)], usable: [true, true] } },
    only_holder_is_late = { HolderCase { holders: [Some(Suspect), None], usable: [true, false] } },
    other_is_lost = {
        HolderCase { holders: [Some(Unreachable), Some(Suspect)], usable: [false, true] }
    },
    both_are_lost = { HolderCase { holders: [Some(Unreachable), None], usable: [false, false] } },
)]
fn a_late_holder_is_used_if_it_is_the_only_one(case: HolderCase) {
    let mut servers = Vec::new();
    for holder in case.holders {
        servers.push(HeldServer { service: ServiceKey(0), holder });
    }
    // The holders of another service make no difference.
    servers.push(HeldServer { service: ServiceKey(1), holder: Some(Reachable) });
    let usable = usable_servers(&servers);
    assert_eq!(usable[..2], case.usable);
}
