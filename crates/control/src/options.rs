//! Options of the control state.

use std::{net::SocketAddr, time::Duration};

use carobstep_config::{NodeName, ZoneName};

/// Identity, timing and limits of one node's control state.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ControlOptions {
    /// Name of the node, unique among running processes.
    pub node: NodeName,
    /// Availability zone of the node.
    pub zone: ZoneName,
    /// Region of the node.
    pub region: String,
    /// Address on which the node accepts connections from peers. The process must
    /// have bound it already, because that proves that an earlier process at the
    /// same address has exited.
    pub peer_address: SocketAddr,
    /// Address on which the node answers operators.
    pub operators_address: SocketAddr,
    /// Minimum incarnation. The node uses the incarnation recorded in its lease
    /// plus one if that is higher.
    pub incarnation: u64,
    /// Peer addresses to gossip with while no other node is known.
    pub seeds: Vec<SocketAddr>,
    /// Seed of the random choice of gossip receivers.
    pub random_seed: u64,
    /// Timing of leases.
    pub lease: LeaseTiming,
    /// Timing and fan-out of gossip.
    pub gossip: GossipTiming,
    /// Timing of grants and of calls to the platform.
    pub grant: GrantTiming,
}

/// Timing of leases, which must be the same on all nodes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct LeaseTiming {
    /// Validity of a lease, counted from the time at which the renewal was sent.
    pub term: Duration,
    /// Interval between renewals.
    pub renew: Duration,
    /// Maximum drift between two clocks within a term or a fence time.
    pub drift: Duration,
    /// Validity of a witness's vouch, counted from the time of the request.
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

/// Timing and fan-out of gossip.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct GossipTiming {
    /// Interval between rounds.
    pub interval: Duration,
    /// Number of nodes of the same zone addressed in each round.
    pub fanout: usize,
    /// Interval, in rounds, at which a node of another zone is also addressed.
    pub remote_round_interval: u64,
    /// Time without a new heartbeat after which a node of the zone counts as dead.
    pub peer_timeout: Duration,
    /// Time for which a change is repeated in digests.
    pub change_retention: Duration,
    /// Number of nodes of each zone that watch the platform.
    pub watchers: usize,
}

impl Default for GossipTiming {
    fn default() -> Self {
        Self {
            interval: Duration::from_secs(1),
            fanout: 2,
            remote_round_interval: 4,
            peer_timeout: Duration::from_secs(5),
            change_retention: Duration::from_secs(8),
            watchers: 2,
        }
    }
}

/// Timing of grants and of calls to the platform.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct GrantTiming {
    /// Time after opening its lease for which a node listens to gossip before it
    /// acquires grants.
    pub join_delay: Duration,
    /// Time for which a grant must be assigned to another node before its holder
    /// releases it.
    pub release_delay: Duration,
    /// Maximum number of concurrent releases of a node that is not stopping.
    pub max_releases: usize,
    /// Interval between attempts of a failed call.
    pub retry_interval: Duration,
    /// Minimum interval between reads of the VM list.
    pub vm_poll_interval: Duration,
    /// Minimum interval between a watcher's reads of the configuration.
    pub config_poll_interval: Duration,
    /// Maximum time that a stopping node waits for the platform.
    pub stop_timeout: Duration,
    /// Time for which an observation that a server is leaving overrides
    /// observations that it is not.
    pub leaving_hold_time: Duration,
}

impl Default for GrantTiming {
    fn default() -> Self {
        Self {
            join_delay: Duration::from_millis(1500),
            release_delay: Duration::from_secs(4),
            max_releases: 2,
            retry_interval: Duration::from_millis(500),
            vm_poll_interval: Duration::from_secs(2),
            config_poll_interval: Duration::from_secs(15),
            stop_timeout: Duration::from_secs(10),
            leaving_hold_time: Duration::from_secs(60),
        }
    }
}
