//! Servers of evacuated availability zones.

use std::sync::Arc;

use carobstep_clock::BootTime;

use super::{ServerFleet, ServerKey};

impl ServerFleet {
    /// Stops new requests to the servers of `zones`, and allows them to the servers of all
    /// other zones. Returns the servers for which that has changed.
    pub fn set_evacuated_zones(&mut self, now: BootTime, zones: Vec<Arc<str>>) -> Vec<ServerKey> {
        let mut changed = Vec::new();
        for (key, server) in &mut self.servers {
            let is_evacuated = zones.contains(&server.entry.zone);
            if server.is_evacuated == is_evacuated {
                continue;
            }
            server.is_evacuated = is_evacuated;
            // What was seen of it before says little of its return.
            server.forget_observations(now);
            server.start_pace(now);
            changed.push(key);
        }
        self.evacuated_zones = zones;
        changed
    }

    /// Returns whether a server gets no requests because its zone is evacuated.
    #[must_use]
    pub fn is_evacuated(&self, key: ServerKey) -> bool {
        self.servers.get(key).is_some_and(|server| server.is_evacuated)
    }
}
