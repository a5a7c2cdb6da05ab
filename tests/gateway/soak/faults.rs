//! What goes wrong in one run, drawn from its seed.

use std::time::Duration;

use rand::{RngExt, SeedableRng, rngs::StdRng};

use super::world::{NODES, SERVERS, SHARDS};
use crate::{backend::ServerFault, relay::LinkFault, store::StoreFault};

/// Time in which faults begin.
pub const FAULT_TIME: Duration = Duration::from_secs(12);

/// Fewest and most faults of a run.
const FAULT_COUNT: (usize, usize) = (4, 12);

/// Everything that goes wrong in one run.
#[derive(Clone, Debug)]
pub struct FaultPlan {
    pub faults: Vec<PlannedFault>,
}

/// One fault and when it begins.
#[derive(Clone, Debug)]
pub struct PlannedFault {
    pub at: Duration,
    pub lasts: Duration,
    pub kind: FaultKind,
}

#[derive(Clone, Copy, Debug)]
pub enum FaultKind {
    /// SIGTERM, then a new start once the process has ended.
    Stop { node: usize },
    /// SIGKILL, then a new start.
    Kill { node: usize },
    /// SIGKILL of every node at the same moment.
    KillAll,
    /// SIGSTOP, then SIGCONT.
    Pause { node: usize },
    /// SIGHUP.
    Reload { node: usize },
    /// The link from the other nodes to one is harmed.
    PeerLink { node: usize, link: LinkFault },
    /// The link of one node to the store is harmed.
    StoreLink { node: usize, link: LinkFault },
    /// The store refuses one node, or is silent to it.
    StoreRefuses { node: usize, fault: StoreFault },
    /// The store refuses everybody, or is silent.
    StoreDown { fault: StoreFault },
    /// The store drops its history.
    Compact,
    /// The link to one server is harmed.
    ServerLink { server: usize, link: LinkFault },
    /// Some servers treat their requests badly.
    Servers { group: ServerGroup, fault: ServerFault },
    /// A server drains, leaves, and its address goes to one of another service.
    Replace { server: usize },
    /// A new configuration moves a route.
    Configure,
}

/// Servers that a fault strikes together.
#[derive(Clone, Copy, Debug)]
pub enum ServerGroup {
    One(usize),
    /// All servers of a shard or of the single service.
    Service(usize),
    /// One server of each service, at the same place.
    Row(usize),
}

impl ServerGroup {
    /// Whether the server at an index is in the group.
    pub const fn has(self, index: usize) -> bool {
        match self {
            Self::One(server) => index == server,
            Self::Service(service) => index / SERVERS == service,
            Self::Row(row) => index % SERVERS == row,
        }
    }

    fn draw(rng: &mut StdRng) -> Self {
        match rng.random_range(0..4) {
            0 => Self::One(rng.random_range(0..SERVERS * (SHARDS + 1))),
            1 => Self::Service(rng.random_range(0..=SHARDS)),
            // Orders go only there.
            2 => Self::Service(SHARDS),
            _ => Self::Row(rng.random_range(0..SERVERS)),
        }
    }
}

impl FaultPlan {
    pub fn draw(seed: u64) -> Self {
        let mut rng = StdRng::seed_from_u64(seed);
        let (fewest, most) = FAULT_COUNT;
        let count = rng.random_range(fewest..=most);
        let mut faults: Vec<_> = (0..count).map(|_| PlannedFault::draw(&mut rng)).collect();
        faults.sort_by_key(|fault| fault.at);
        Self { faults }
    }
}

impl PlannedFault {
    fn draw(rng: &mut StdRng) -> Self {
        let millis =
            |rng: &mut StdRng, least, most| Duration::from_millis(rng.random_range(least..most));
        let at = millis(rng, 0, FAULT_TIME.as_millis() as u64);
        let lasts = millis(rng, 200, 4_000);
        let node = rng.random_range(0..NODES);
        let server = rng.random_range(0..SERVERS * (SHARDS + 1));
        let link = match rng.random_range(0..4) {
            0 => LinkFault::Delay(millis(rng, 5, 300)),
            1 => LinkFault::Silent,
            2 => LinkFault::OneWay,
            _ => LinkFault::Reset,
        };
        let store = if rng.random_bool(0.5) { StoreFault::Busy } else { StoreFault::Silent };
        let server_fault = match rng.random_range(0..6) {
            0 => ServerFault::Shed,
            1 => ServerFault::Error,
            2 => ServerFault::Lose,
            3 => ServerFault::Hang,
            4 => ServerFault::Extra,
            _ => ServerFault::Truncate,
        };
        let group = ServerGroup::draw(rng);
        let kind = match rng.random_range(0..19) {
            0 | 1 => FaultKind::Stop { node },
            2 => FaultKind::Kill { node },
            3 => FaultKind::KillAll,
            4 | 5 => FaultKind::Pause { node },
            6 => FaultKind::Reload { node },
            7 => FaultKind::PeerLink { node, link },
            8 => FaultKind::StoreLink { node, link },
            9 => FaultKind::StoreRefuses { node, fault: store },
            10 => FaultKind::StoreDown { fault: store },
            11 => FaultKind::Compact,
            12 => FaultKind::ServerLink { server, link },
            13..=16 => FaultKind::Servers { group, fault: server_fault },
            17 => FaultKind::Replace { server },
            _ => FaultKind::Configure,
        };
        Self { at, lasts, kind }
    }
}
