//! Pace of servers that have started or recovered.

use std::{sync::Arc, time::Duration};

use carobstep_clock::BootTime;

use super::{ServerFleet, ServerKey, ServiceKey, hash_fraction};
use crate::{
    pace::{PaceEnd, PaceRule},
    server_state::ServerState,
};

/// Maximum number of events that wait to be reported; further ones are dropped.
const MAX_EVENTS: usize = 64;

/// Number of draws for one choice of a server.
const DRAWS_PER_PICK: u64 = 64;

/// End of the time in which a server got fewer requests than others.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PaceEvent {
    /// Identifier of the server.
    pub server: Arc<str>,
    /// Why it ended.
    pub end: PaceEnd,
    /// Number of good answers meanwhile.
    pub good: u32,
    /// Number of refusals, failures and slow answers meanwhile.
    pub bad: u32,
}

/// The random numbers of one choice of a server.
#[derive(Clone, Copy, Debug)]
pub(super) struct PaceDraw {
    seed: u64,
    number: u64,
    rivals: PaceRivals,
}

/// The servers among which one is chosen.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct PaceRivals {
    /// Greatest share of them.
    max_share: f64,
    /// Number of those in the zone of this node.
    local: u32,
    /// Number of all of them.
    total: u32,
}

impl PaceRivals {
    /// Adds a server that responds, whether it has capacity at the moment or not.
    pub(super) const fn add(&mut self, share: f64, is_local: bool) {
        self.max_share = self.max_share.max(share);
        self.total += 1;
        self.local += is_local as u32;
    }
}

impl PaceDraw {
    /// Returns whether the server at a position may compete for the request. One that does
    /// is preferred to its equals, so it competes as often as it would be one of them.
    pub(super) fn admits(
        self,
        now: BootTime,
        position: usize,
        server: &ServerState,
        is_local: bool,
    ) -> bool {
        let share = server.share(now);
        let PaceRivals { max_share, local, total } = self.rivals;
        // Where all have just started, they get as much as ever.
        if share >= max_share {
            return true;
        }
        let equals = f64::from(if is_local { local } else { total }.max(1));
        let number = self.number.wrapping_mul(DRAWS_PER_PICK).wrapping_add(position as u64);
        hash_fraction(self.seed, number) * max_share * equals < share
    }
}

impl ServerFleet {
    /// Sets how the share of a server starts that has just started or recovered.
    #[must_use]
    pub const fn with_pace(mut self, rule: PaceRule) -> Self {
        self.pace_rule = rule;
        self
    }

    /// Returns whether a service has a server that gets its whole share and is not cold.
    pub(super) fn has_warm_server(&self, now: BootTime, service: ServiceKey) -> bool {
        let Some(state) = self.services.get(service) else { return false };
        let mut servers = state.servers.iter().filter_map(|key| self.servers.get(*key));
        servers.any(|server| server.is_warm(now))
    }

    /// Draws the random numbers of one choice among `rivals`.
    pub(super) const fn draw_pace(&mut self, rivals: PaceRivals) -> PaceDraw {
        self.draws = self.draws.wrapping_add(1);
        PaceDraw { seed: self.seed, number: self.draws, rivals }
    }

    pub(super) fn record_pace_event(&mut self, event: PaceEvent) {
        if self.pace_events.len() < MAX_EVENTS {
            self.pace_events.push(event);
        }
    }

    /// Returns the events since the last call.
    pub fn take_pace_events(&mut self) -> Vec<PaceEvent> {
        std::mem::take(&mut self.pace_events)
    }

    /// Returns the number of servers that get fewer requests than others, since they have
    /// started or recovered.
    #[must_use]
    pub fn paced_servers(&self, now: BootTime) -> usize {
        self.servers.values().filter(|server| server.share(now) < 1.0).count()
    }

    /// Records that a server says how long it stays cold.
    pub fn record_cold(&mut self, now: BootTime, key: ServerKey, cold_for: Duration) {
        if let Some(server) = self.servers.get_mut(key) {
            server.record_cold(now, cold_for);
        }
        self.limit_cold(now, key);
    }
}
