//! Which availability zones this node reaches.
//!
//! Load that this answers: a zone that is cut off from the servers of others.
//! Its nodes must neither let searches wait for servers that can't answer nor
//! stay in the balancer's rotation. A zone that gave no answer for a while is
//! probed; only probes that fail make it unreachable.

use std::{sync::Arc, time::Duration};

use carobstep_clock::BootTime;
use indexmap::IndexMap;

/// Silence of a zone, while requests to it are under way, after which it is probed.
const SILENCE: Duration = Duration::from_millis(200);

/// Servers of a zone that are probed at the same time.
const PROBED_SERVERS: usize = 2;

/// Interval between two rounds of probes of one zone.
const PROBE_INTERVAL: Duration = Duration::from_millis(250);

/// What is known of each zone.
#[derive(Clone, Debug, Default)]
pub struct ZoneReachability {
    zones: IndexMap<Arc<str>, ZoneState>,
}

#[derive(Clone, Debug, Default)]
struct ZoneState {
    /// First request since the last answer.
    unanswered_since: Option<BootTime>,
    is_down: bool,
    next_probe: BootTime,
    probes: usize,
    failed_probes: usize,
}

impl ZoneReachability {
    /// Notes that a request goes to a zone.
    pub fn sent(&mut self, now: BootTime, zone: &Arc<str>) {
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

    /// Notes an answer out of a zone; returns whether that ends an outage.
    pub fn answered(&mut self, zone: &str) -> bool {
        let Some(state) = self.zones.get_mut(zone) else { return false };
        state.unanswered_since = None;
        std::mem::take(&mut state.is_down)
    }

    /// Whether no server of the zone can be reached.
    #[must_use]
    pub fn is_down(&self, zone: &str) -> bool {
        self.zones.get(zone).is_some_and(|state| state.is_down)
    }

    /// Whether any zone can't be reached.
    #[must_use]
    pub fn any_down(&self) -> bool {
        self.zones.values().any(|state| state.is_down)
    }

    /// Zones that have to be probed now, each at [`ZoneReachability::probes_per_zone`] servers.
    pub fn due_probes(&mut self, now: BootTime) -> Vec<Arc<str>> {
        let mut due = Vec::new();
        for (zone, state) in &mut self.zones {
            let silent = state.unanswered_since.is_some_and(|since| now.since(since) >= SILENCE);
            if !(silent || state.is_down) || now < state.next_probe {
                continue;
            }
            state.next_probe = now + PROBE_INTERVAL;
            state.probes = 0;
            state.failed_probes = 0;
            due.push(zone.clone());
        }
        due
    }

    /// Servers that are probed of one zone.
    #[must_use]
    pub const fn probes_per_zone() -> usize {
        PROBED_SERVERS
    }

    /// Notes the start of one probe.
    pub fn probe_sent(&mut self, zone: &str) {
        if let Some(state) = self.zones.get_mut(zone) {
            state.probes += 1;
        }
    }

    /// Takes in the end of one probe; returns whether the belief has changed.
    pub fn probe_ended(&mut self, zone: &str, reached: bool) -> bool {
        let Some(state) = self.zones.get_mut(zone) else { return false };
        if reached {
            state.unanswered_since = None;
            return std::mem::take(&mut state.is_down);
        }
        state.failed_probes += 1;
        let silent = state.unanswered_since.is_some();
        if !silent || state.is_down || state.failed_probes < state.probes {
            return false;
        }
        state.is_down = true;
        true
    }
}
