//! The faults of one run, generated from its seed.

use std::time::Duration;

use rand::{RngExt, SeedableRng, rngs::StdRng};

use super::cluster::{NODES, SERVERS, SHARDS};
use crate::{backend::ServerFault, relay::LinkFault, store::StoreFault};

/// Time span in which faults begin.
pub const FAULT_TIME: Duration = Duration::from_secs(12);

/// Minimum and maximum number of faults of a run.
const FAULT_COUNT: (usize, usize) = (4, 12);

/// Distinguishes the random numbers for further faults of a seed.
const LEARNED_FAULTS: u64 = 0x6c69_6d69_7473;

/// Distinguishes the random numbers for planned work of a seed.
const PLANNED_WORK: u64 = 0x706c_616e_6e65_6400;

/// All faults of one run, ordered by their beginning.
#[derive(Clone, Debug)]
pub struct FaultPlan {
    pub faults: Vec<PlannedFault>,
    /// Whether operators cause all of them, and orders of different length are sent.
    pub is_planned_work: bool,
}

/// A fault, with its beginning after the start of the run and its duration.
#[derive(Clone, Debug)]
pub struct PlannedFault {
    pub at: Duration,
    pub duration: Duration,
    pub kind: FaultKind,
}

#[derive(Clone, Copy, Debug)]
pub enum FaultKind {
    /// SIGTERM, then a restart once the process has exited.
    Stop { node: usize },
    /// SIGKILL, then a restart.
    Kill { node: usize },
    /// SIGKILL of every node at the same moment.
    KillAll,
    /// SIGSTOP, then SIGCONT.
    Pause { node: usize },
    /// SIGHUP.
    Reload { node: usize },
    /// A fault of the link from the other nodes to one node.
    PeerLink { node: usize, link: LinkFault },
    /// A fault of the link from one node to the store.
    StoreLink { node: usize, link: LinkFault },
    /// The store refuses the calls of one node, or does not respond to them.
    StoreDownForNode { node: usize, fault: StoreFault },
    /// The store refuses all calls, or does not respond to them.
    StoreDown { fault: StoreFault },
    /// The store compacts its history.
    Compact,
    /// A fault of the link to one server.
    ServerLink { server: usize, link: LinkFault },
    /// A fault of several servers.
    Servers { group: ServerGroup, fault: ServerFault },
    /// A server drains and leaves, and a server of another service gets its address.
    Replace { server: usize },
    /// A new version of the configuration.
    Configure,
    /// Several servers name a limit on their requests.
    Limit { group: ServerGroup, rate: &'static str },
    /// Callers send a request that crashes every server, again and again.
    Crash,
}

/// Servers that a fault affects together.
#[derive(Clone, Copy, Debug)]
pub enum ServerGroup {
    One(usize),
    /// All servers of a shard or of the single service.
    Service(usize),
    /// One server of each service, with the same index within its service.
    IndexInService(usize),
}

impl ServerGroup {
    /// Whether the server at an index is in the group.
    pub const fn contains(self, index: usize) -> bool {
        match self {
            Self::One(server) => index == server,
            Self::Service(service) => index / SERVERS == service,
            Self::IndexInService(position) => index % SERVERS == position,
        }
    }

    fn generate(rng: &mut StdRng) -> Self {
        match rng.random_range(0..4) {
            0 => Self::One(rng.random_range(0..SERVERS * (SHARDS + 1))),
            1 => Self::Service(rng.random_range(0..=SHARDS)),
            // The single service, the only one that receives orders.
            2 => Self::Service(SHARDS),
            _ => Self::IndexInService(rng.random_range(0..SERVERS)),
        }
    }
}

impl FaultPlan {
    pub fn generate(seed: u64) -> Self {
        let mut rng = StdRng::seed_from_u64(seed);
        let (min, max) = FAULT_COUNT;
        let count = rng.random_range(min..=max);
        let mut faults: Vec<_> = (0..count).map(|_| PlannedFault::generate(&mut rng)).collect();
        faults.extend(PlannedFault::generate_learned(seed));
        faults.sort_by_key(|fault| fault.at);
        Self { faults, is_planned_work: false }
    }

    /// Generates series of stops and starts that overlap with each other, with signals to
    /// reload the settings, with new configurations and with servers that are replaced.
    pub fn generate_planned(seed: u64) -> Self {
        let mut rng = StdRng::seed_from_u64(seed ^ PLANNED_WORK);
        let mut faults = Vec::new();
        let mut add = |at: u64, kind| {
            let at = Duration::from_millis(at % FAULT_TIME.as_millis() as u64);
            faults.push(PlannedFault { at, duration: Duration::from_millis(300), kind });
        };
        for _ in 0..rng.random_range(1..=3) {
            let mut at = rng.random_range(0..10_000);
            let first = rng.random_range(0..NODES);
            let gap = rng.random_range(50..2_500);
            for step in 0..rng.random_range(1..=NODES) {
                let node = (first + step) % NODES;
                add(at, FaultKind::Stop { node });
                for _ in 0..rng.random_range(0..3) {
                    add(at + rng.random_range(0..3_000), FaultKind::Reload { node });
                }
                if rng.random_bool(0.3) {
                    add(at + rng.random_range(0..3_000), FaultKind::Stop { node });
                }
                at += gap;
            }
        }
        for _ in 0..rng.random_range(0..6) {
            add(rng.random_range(0..12_000), FaultKind::Configure);
        }
        for _ in 0..rng.random_range(0..4) {
            let server = rng.random_range(0..SERVERS * (SHARDS + 1));
            add(rng.random_range(0..8_000), FaultKind::Replace { server });
        }
        faults.sort_by_key(|fault| fault.at);
        Self { faults, is_planned_work: true }
    }
}

impl PlannedFault {
    fn generate(rng: &mut StdRng) -> Self {
        let millis = |rng: &mut StdRng, min, max| Duration::from_millis(rng.random_range(min..max));
        let at = millis(rng, 0, FAULT_TIME.as_millis() as u64);
        let duration = millis(rng, 200, 4_000);
        let node = rng.random_range(0..NODES);
        let server = rng.random_range(0..SERVERS * (SHARDS + 1));
        let link = match rng.random_range(0..4) {
            0 => LinkFault::Delay(millis(rng, 5, 300)),
            1 => LinkFault::Stalled,
            2 => LinkFault::OneWay,
            _ => LinkFault::Reset,
        };
        let store_fault =
            if rng.random_bool(0.5) { StoreFault::Unavailable } else { StoreFault::Unresponsive };
        let server_fault = match rng.random_range(0..6) {
            0 => ServerFault::Shed,
            1 => ServerFault::Error,
            2 => ServerFault::CloseWithoutResponse,
            3 => ServerFault::Hang,
            4 => ServerFault::ExtraResponse,
            _ => ServerFault::Truncate,
        };
        let group = ServerGroup::generate(rng);
        let kind = match rng.random_range(0..19) {
            0 | 1 => FaultKind::Stop { node },
            2 => FaultKind::Kill { node },
            3 => FaultKind::KillAll,
            4 | 5 => FaultKind::Pause { node },
            6 => FaultKind::Reload { node },
            7 => FaultKind::PeerLink { node, link },
            8 => FaultKind::StoreLink { node, link },
            9 => FaultKind::StoreDownForNode { node, fault: store_fault },
            10 => FaultKind::StoreDown { fault: store_fault },
            11 => FaultKind::Compact,
            12 => FaultKind::ServerLink { server, link },
            13..=16 => FaultKind::Servers { group, fault: server_fault },
            17 => FaultKind::Replace { server },
            _ => FaultKind::Configure,
        };
        Self { at, duration, kind }
    }

    /// Generates faults of which all nodes have to learn, from a random number generator
    /// of their own: the other faults of a seed stay the same.
    fn generate_learned(seed: u64) -> Vec<Self> {
        let mut rng = StdRng::seed_from_u64(seed ^ LEARNED_FAULTS);
        let mut faults = Vec::new();
        let mut add = |rng: &mut StdRng, kind| {
            let at = Duration::from_millis(rng.random_range(0..FAULT_TIME.as_millis() as u64));
            let duration = Duration::from_millis(rng.random_range(3_000..6_000));
            faults.push(Self { at, duration, kind });
        };
        if rng.random_bool(0.6) {
            let rate = ["4", "10", "12.5"][rng.random_range(0..3)];
            let kind = FaultKind::Limit { group: ServerGroup::generate(&mut rng), rate };
            add(&mut rng, kind);
        }
        if rng.random_bool(0.4) {
            add(&mut rng, FaultKind::Crash);
        }
        faults
    }
}
