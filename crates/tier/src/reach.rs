//! Reachability of the availability zones from this node.
//!
//! Handles network partitions between zones: the nodes of an isolated zone must
//! neither let searches wait for servers that cannot answer nor stay in the load
//! balancer's rotation. A zone that has not answered for a while is probed, and it
//! only counts as unreachable once probes have failed.

use std::{sync::Arc, time::Duration};

use carobstep_clock::BootTime;
use indexmap::IndexMap;

/// Time without an answer from a zone, while requests to it are in flight, after
/// which it is probed.
const PROBE_AFTER: Duration = Duration::from_millis(200);

/// Number of servers that are probed at the same time in one zone.
const PROBES_PER_ZONE: usize = 2;

/// Interval between two rounds of probes of one zone.
const PROBE_INTERVAL: Duration = Duration::from_millis(250);

/// Reachability state of each zone.
#[derive(Clone, Debug, Default)]
pub struct ZoneReachability {
    zones: IndexMap<Arc<str>, ZoneState>,
}

#[derive(Clone, Debug, Default)]
struct ZoneState {
    /// Time of the first request since the last answer.
    unanswered_since: Option<BootTime>,
    is_unreachable: bool,
    next_probe: BootTime,
    /// Probes sent in the current round.
    probes: usize,
    /// Probes of the current round that have failed.
    failed_probes: usize,
}

impl ZoneReachability {
    /// Records that a request is sent to a zone.
    pub fn on_request_sent(&mut self, now: BootTime, zone: &Arc<str>) {
        match self.zones.get_mut(zone) {
            Some(state) => {
                state.unanswered_since.get_or_insert(now);
            }
            None => {
                let state = ZoneState { unanswered_since: Some(now), ..ZoneState::default() };
                self.zones.insert(zone.clone(), state);
            }
        }
    }

    /// Records an answer from a zone; returns whether the zone was unreachable before.
    pub fn on_answered(&mut self, zone: &str) -> bool {
        let Some(state) = self.zones.get_mut(zone) else { return false };
        state.unanswered_since = None;
        std::mem::take(&mut state.is_unreachable)
    }

    /// Returns whether a zone counts as unreachable.
    #[must_use]
    pub fn is_unreachable(&self, zone: &str) -> bool {
        self.zones.get(zone).is_some_and(|state| state.is_unreachable)
    }

    /// Records that a peer found a zone unreachable. It is probed at once, and counts as
    /// unreachable only if the probes of this node fail, too.
    pub fn suspect(&mut self, now: BootTime, zone: &Arc<str>) {
        let state = self.zones.entry(zone.clone()).or_default();
        if state.is_unreachable || now < state.next_probe {
            return;
        }
        let since = now - PROBE_AFTER;
        state.unanswered_since = Some(state.unanswered_since.unwrap_or(since).min(since));
    }

    /// Returns the zones that count as unreachable.
    #[must_use]
    pub fn unreachable_zones(&self) -> Vec<Arc<str>> {
        let unreachable = self.zones.iter().filter(|(_, state)| state.is_unreachable);
        unreachable.map(|(zone, _)| zone.clone()).collect()
    }

    /// Returns whether any zone counts as unreachable.
    #[must_use]
    pub fn any_unreachable(&self) -> bool {
        self.zones.values().any(|state| state.is_unreachable)
    }

    /// Starts a round of probes; returns the zones that are due. The caller must probe
    /// [`ZoneReachability::probes_per_zone`] servers of each.
    pub fn due_probes(&mut self, now: BootTime) -> Vec<Arc<str>> {
        let mut due = Vec::new();
        for (zone, state) in &mut self.zones {
            let is_silent =
                state.unanswered_since.is_some_and(|since| now.since(since) >= PROBE_AFTER);
            if !(is_silent || state.is_unreachable) || now < state.next_probe {
                continue;
            }
            state.next_probe = now + PROBE_INTERVAL;
            state.probes = 0;
            state.failed_probes = 0;
            due.push(zone.clone());
        }
        due
    }

    /// Returns the number of servers that are probed in one zone.
    #[must_use]
    pub const fn probes_per_zone() -> usize {
        PROBES_PER_ZONE
    }

    /// Records the start of one probe.
    pub fn on_probe_sent(&mut self, zone: &str) {
        if let Some(state) = self.zones.get_mut(zone) {
            state.probes += 1;
        }
    }

    /// Records the result of one probe; returns whether the reachability of the zone has
    /// changed.
    pub fn on_probe_ended(&mut self, zone: &str, reached: bool) -> bool {
        let Some(state) = self.zones.get_mut(zone) else { return false };
        if reached {
            state.unanswered_since = None;
            return std::mem::take(&mut state.is_unreachable);
        }
        state.failed_probes += 1;
        let is_silent = state.unanswered_since.is_some();
        if !is_silent || state.is_unreachable || state.failed_probes < state.probes {
            return false;
        }
        state.is_unreachable = true;
        true
    }
}
