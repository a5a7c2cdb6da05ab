//! Links to the servers of a fleet: what requests and probes show of them.

use std::{sync::Arc, time::Duration};

use carobstep_clock::BootTime;

use super::{ServerFleet, ServerKey, ServiceKey, hash_fraction};
use crate::{links::ProbeOutcome, server_state::ServerState};

/// Number of servers of a zone that are probed at the same time, and that must not respond
/// for the zone to count as lost.
const PROBES_PER_ROUND: usize = 3;

/// Interval at which links to single servers are examined.
const SCAN_INTERVAL: Duration = Duration::from_millis(200);

/// Time for which other nodes are not asked to call the servers of a service after none
/// could.
const FUTILE_TIME: Duration = Duration::from_millis(500);

/// Time after a probe within which its outcome is known.
const PROBE_TIME: Duration = Duration::from_millis(500);

impl ServerFleet {
    /// Records that a server has responded to anything.
    pub fn on_response(&mut self, now: BootTime, key: ServerKey) {
        let Some(server) = self.servers.get_mut(key) else { return };
        if server.link.on_response(now) {
            server.forget_link_failures();
        }
        server.waiting_since = now;
        let zone = server.entry.zone.clone();
        let random_fraction = || hash_fraction(self.seed, now.as_micros());
        let nodes = self.limits.nodes;
        if !self.zone_links.on_response(now, &zone, nodes, random_fraction) {
            return;
        }
        // What the lost links have shown of the servers is not the servers' fault.
        for server in self.servers.values_mut().filter(|server| server.entry.zone == zone) {
            server.link.on_response(now);
            server.forget_observations(now);
        }
    }

    /// Records that a connection to a server broke before it responded.
    pub fn on_connection_broken(&mut self, key: ServerKey) {
        if let Some(server) = self.servers.get_mut(key) {
            server.link.on_failure();
        }
    }

    /// Returns whether this node can send requests to a server, as far as it knows.
    #[must_use]
    pub fn is_reached(&self, now: BootTime, key: ServerKey) -> bool {
        self.servers.get(key).is_some_and(|server| self.has_link(now, server))
    }

    /// Returns whether this node reaches a server that responds to it, as far as it knows.
    #[must_use]
    pub fn is_responding(&self, now: BootTime, key: ServerKey) -> bool {
        self.servers
            .get(key)
            .is_some_and(|server| self.has_link(now, server) && !server.link.is_lost())
    }

    pub(super) fn has_link(&self, now: BootTime, server: &ServerState) -> bool {
        !server.link.is_unreachable() && !self.zone_links.is_lost(now, &server.entry.zone)
    }

    /// Returns whether any server of the service that accepts requests responds to this node.
    #[must_use]
    pub fn has_responding_server(&self, now: BootTime, service: ServiceKey) -> bool {
        let Some(state) = self.services.get(service) else { return false };
        state
            .servers
            .iter()
            .any(|key| self.accepts_requests(now, *key) && self.is_responding(now, *key))
    }

    /// Returns the availability zones whose servers this node doesn't reach.
    #[must_use]
    pub fn lost_zones(&self, now: BootTime) -> Vec<Arc<str>> {
        self.zone_links.lost(now)
    }

    /// Returns the number of servers that this node doesn't reach.
    #[must_use]
    pub fn lost_servers(&self, now: BootTime) -> usize {
        let is_lost = |server: &&ServerState| server.link.is_lost() || !self.has_link(now, server);
        self.servers.values().filter(is_lost).count()
    }

    /// Returns whether this node doesn't reach some servers.
    #[must_use]
    pub fn has_lost_links(&self, now: BootTime) -> bool {
        self.zone_links.any_lost(now) || self.servers.values().any(|server| server.link.is_lost())
    }

    /// Returns the zones with servers of a service that accept requests, whether this node
    /// reaches them or not.
    #[must_use]
    pub fn zones_of(&self, now: BootTime, service: ServiceKey) -> Vec<Arc<str>> {
        let mut zones: Vec<Arc<str>> = Vec::new();
        let Some(state) = self.services.get(service) else { return zones };
        for server in state.servers.iter().filter_map(|key| self.servers.get(*key)) {
            if server.is_available(now) && !zones.contains(&server.entry.zone) {
                zones.push(server.entry.zone.clone());
            }
        }
        zones
    }

    /// Records that no other node can call the servers of a service either.
    pub fn on_relays_failed(&mut self, now: BootTime, service: ServiceKey) {
        if let Some(state) = self.services.get_mut(service) {
            state.relay_futile_until = now + FUTILE_TIME;
        }
    }

    /// Returns whether other nodes were found lately not to reach servers of a service.
    #[must_use]
    pub fn is_relay_futile(&self, now: BootTime, service: ServiceKey) -> bool {
        self.services.get(service).is_some_and(|state| now < state.relay_futile_until)
    }

    /// Returns whether a server accepts requests, except that this node may not reach it.
    #[must_use]
    pub fn accepts_requests(&self, now: BootTime, key: ServerKey) -> bool {
        self.servers.get(key).is_some_and(|server| server.is_available(now))
    }

    /// Returns the servers of a service.
    pub(crate) fn servers_of(&self, service: ServiceKey) -> &[ServerKey] {
        self.services.get(service).map_or(&[], |state| &state.servers)
    }

    /// Returns whether a zone has a server that accepts requests other than those that may
    /// have crashed.
    pub(crate) fn has_witness(
        &self,
        now: BootTime,
        zone: &str,
        is_accused: impl Fn(ServerKey) -> bool,
    ) -> bool {
        self.servers.iter().any(|(key, server)| {
            *server.entry.zone == *zone && server.is_available(now) && !is_accused(key)
        })
    }

    /// Probes servers of a zone at once.
    pub(crate) fn probe_zone(&mut self, now: BootTime, zone: &Arc<str>) {
        self.zone_links.suspect_at(now, zone);
    }

    /// Returns whether no server of a zone responds to this node.
    #[must_use]
    pub fn is_zone_lost(&self, now: BootTime, zone: &str) -> bool {
        self.zone_links.is_lost(now, zone)
    }

    /// Returns whether any server of a zone has responded since `time`.
    #[must_use]
    pub fn has_responded_since(&self, time: BootTime, zone: &str) -> bool {
        self.zone_links.last_response(zone) > time
    }

    /// Probes the servers of a zone that another node doesn't reach, unless this node does.
    pub fn suspect_zone(&mut self, now: BootTime, zone: &Arc<str>) {
        self.zone_links.suspect(now, zone);
    }

    /// Returns to the zones of a service whose links are back without a further delay, since
    /// no other node calls its servers; returns whether there are such zones.
    pub fn end_return(&mut self, now: BootTime, service: ServiceKey) -> bool {
        let mut has_ended = false;
        for zone in self.zones_of(now, service) {
            has_ended |= self.zone_links.end_return(&zone);
        }
        has_ended
    }

    /// Returns when this node knows at the earliest whether its lost links are back.
    #[must_use]
    pub fn link_check_due(&self, now: BootTime) -> Option<BootTime> {
        self.zone_links.next_round(now).map(|round| round.max(now) + PROBE_TIME)
    }

    /// Returns the servers to probe now. [`ServerFleet::on_probe_ended`] must be called for
    /// each.
    pub fn due_probes(&mut self, now: BootTime) -> Vec<ServerKey> {
        let mut due = Vec::new();
        for (zone, link) in self.zone_links.iter_mut() {
            link.finish_return(now);
            let Some(start) = link.start_round(now, PROBES_PER_ROUND) else { continue };
            let in_zone = self.servers.iter().filter(|(_, server)| server.entry.zone == *zone);
            let is_target =
                |server: &ServerState| server.is_available(now) && !server.link.is_probed();
            let mut targets: Vec<_> = in_zone.filter(|(_, it)| is_target(it)).collect();
            if targets.is_empty() {
                continue;
            }
            let middle = start % targets.len();
            targets.rotate_left(middle);
            // The sort is stable, so that equal servers keep the rotated order.
            targets.sort_by_key(|(_, server)| {
                // A server that this node waits for may be slow, or crash under the request.
                (server.accused_since.is_some(), server.link.is_lost(), server.is_waiting())
            });
            due.extend(targets.iter().take(PROBES_PER_ROUND).map(|(key, _)| *key));
        }
        if now >= self.next_link_scan {
            self.next_link_scan = now + SCAN_INTERVAL;
            let mut suspects = Vec::new();
            for (key, server) in &self.servers {
                let waiting_since = server.is_waiting().then_some(server.waiting_since);
                let is_due = server.link.needs_probe(now, waiting_since);
                if !is_due
                    || !server.is_available(now)
                    || self.zone_links.is_lost(now, &server.entry.zone)
                {
                    continue;
                }
                if !due.contains(&key) {
                    suspects.push(key);
                }
            }
            suspects.truncate(PROBES_PER_ROUND);
            due.extend(suspects);
        }
        for key in &due {
            if let Some(server) = self.servers.get_mut(*key) {
                server.link.on_probe_sent(now);
            }
        }
        due
    }

    /// Records the end of a probe.
    pub fn on_probe_ended(&mut self, now: BootTime, key: ServerKey, outcome: ProbeOutcome) {
        let Some(server) = self.servers.get_mut(key) else { return };
        if outcome == ProbeOutcome::Answered {
            server.link.on_probe_answered();
            self.on_response(now, key);
            return;
        }
        if !server.link.on_probe_failed(now, outcome == ProbeOutcome::Silent) {
            return;
        }
        let zone = server.entry.zone.clone();
        let last_response = self.zone_links.last_response(&zone);
        let in_zone = self.servers.values().filter(|server| server.entry.zone == zone);
        let servers = in_zone.clone().count();
        let lost = in_zone.filter(|server| server.link.is_lost_since(last_response)).count();
        if lost >= PROBES_PER_ROUND.min(servers) {
            self.zone_links.on_lost(now, &zone);
        }
    }
}
