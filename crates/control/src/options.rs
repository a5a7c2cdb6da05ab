//! Settings of the control state.

use std::{net::SocketAddr, time::Duration};

use carobstep_config::{NodeName, ZoneName};

/// Identity, timing and limits of one node's control state.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ControlOptions {
    /// Name of the node; no two running processes share it.
    pub node: NodeName,
    /// Availability zone of the node.
    pub zone: ZoneName,
    /// Region of the node.
    pub region: String,
    /// Address on which the node accepts peers; it must be bound already.
    pub peer_address: SocketAddr,
    /// Address on which the node answers operators.
    pub operators_address: SocketAddr,
    /// Lowest incarnation to use; the recorded one plus one when that is higher.
    pub incarnation: u64,
    /// Peer addresses to gossip with before any other node is known.
    pub seeds: Vec<SocketAddr>,
    /// Seed of the choices that gossip makes.
    pub random_seed: u64,
    /// Timing of leases.
    pub lease: LeaseTiming,
    /// Timing and reach of gossip.
    pub gossip: GossipTiming,
    /// Timing of grants and of calls.
    pub grant: GrantTiming,
}

/// Timing of leases; all nodes use the same values.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct LeaseTiming {
    /// How long a lease is valid after the renewal was sent.
    pub term: Duration,
    /// Time between two renewals.
    pub renew: Duration,
    /// Most that two clocks drift apart within a term or a fence.
    pub drift: Duration,
    /// How long a witness's answer lasts, counted from the request.
    pub fence: Duration,
}

impl Default for LeaseTiming {
    fn default() -> Self {
        Self {
            term: Duration::from_secs(9),
            renew: Duration::from_secs(3),
            drift: Duration::from_millis(500),
            fence: Duration::from_secs(3),
        }
    }
}

/// Timing and reach of gossip.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct GossipTiming {
    /// Time between two rounds.
    pub interval: Duration,
    /// Nodes of the own zone addressed in each round.
    pub fanout: usize,
    /// Rounds between two that also address another zone.
    pub zone_rounds: u64,
    /// A node of the zone without a new heartbeat for this long counts as dead.
    pub peer_timeout: Duration,
    /// How long a change is repeated in digests.
    pub news: Duration,
    /// Nodes of each zone that watch the platform.
    pub watchers: usize,
}

impl Default for GossipTiming {
    fn default() -> Self {
        Self {
            interval: Duration::from_secs(1),
            fanout: 2,
            zone_rounds: 4,
            peer_timeout: Duration::from_secs(5),
            news: Duration::from_secs(8),
            watchers: 2,
        }
    }
}

/// Timing of grants and of calls to the platform.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct GrantTiming {
    /// How long a started node listens before it acquires grants.
    pub join: Duration,
    /// How long the assignment must name another node before a holder releases.
    pub settle: Duration,
    /// Grants that a holder releases at the same time while it is not stopping.
    pub releases: usize,
    /// Time between two attempts of a failed call.
    pub retry: Duration,
    /// Shortest time between two readings of the VM list.
    pub vm_poll: Duration,
    /// Shortest time between two readings of the configuration by a watcher.
    pub config_poll: Duration,
    /// Longest time that a stopping node waits for the platform.
    pub stop: Duration,
    /// How long a sign that a server leaves outlasts signs that it does not.
    pub leaving_hold: Duration,
}

impl Default for GrantTiming {
    fn default() -> Self {
        Self {
            join: Duration::from_millis(1500),
            settle: Duration::from_secs(4),
            releases: 2,
            retry: Duration::from_millis(500),
            vm_poll: Duration::from_secs(2),
            config_poll: Duration::from_secs(15),
            stop: Duration::from_secs(10),
            leaving_hold: Duration::from_secs(60),
        }
    }
}
