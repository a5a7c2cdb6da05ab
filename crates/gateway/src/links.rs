//! Probes of servers that don't respond, and contacts with the nodes that can call servers
//! in place of this one.

use std::{rc::Rc, sync::Arc, time::Duration};

use carobstep_clock::BootTime;
use carobstep_tier::{
    FanoutPlan, LinkReport, ProbeOutcome, RouteConfig, RouteTarget, ServerKey, ServingReach,
};
use indexmap::IndexSet;
use log::{debug, info};
use tokio::{task::spawn_local, time::timeout};

use crate::{
    backend::ProbeFailure,
    gateway::{Gateway, GatewayState},
    peer_messages::{PeerReply, PeerRequest},
};

/// Interval at which links that may be lost are looked for.
const CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// Timeout of a call that finds out whether a peer is there.
const CONTACT_TIMEOUT: Duration = Duration::from_millis(300);

/// Probes servers that don't respond, reports the links that are lost, and keeps in contact
/// with other nodes while there are any, for the lifetime of the process.
pub(crate) async fn monitor_links(gateway: Rc<Gateway>) {
    let called = Rc::default();
    loop {
        // A broken connection is looked into at once.
        let _ = timeout(CHECK_INTERVAL, gateway.links_notify.notified()).await;
        let now = BootTime::now();
        if gateway.state.borrow_mut().resolve_crash_doubts(now) {
            gateway.notify_peers();
            gateway.quarantine_notify.notify_one();
        }
        for server in gateway.state.borrow_mut().fleet.due_probes(now) {
            spawn_local(probe(gateway.clone(), server));
        }
        report_lost_zones(&gateway);
        for peer in contacts_to_check(&gateway) {
            spawn_local(check_contact(gateway.clone(), peer, Rc::clone(&called)));
        }
        update_readiness(&gateway);
    }
}

async fn probe(gateway: Rc<Gateway>, server: ServerKey) {
    let Some(pool) = gateway.pool(server) else { return };
    let path = gateway.state.borrow().fleet.health_path(server);
    let sent = BootTime::now();
    let on_notice = |opened, notice| {
        gateway.apply_notice(server, (opened, sent), pool.incarnation(), notice);
    };
    let (outcome, reason) = match pool.probe(path.as_deref(), on_notice).await {
        Ok(()) => (ProbeOutcome::Answered, String::new()),
        Err(ProbeFailure { outcome, reason }) => (outcome, reason),
    };
    let lost_before = lost_zones(&gateway);
    gateway.state.borrow_mut().fleet.on_probe_ended(BootTime::now(), server, outcome);
    for zone in lost_zones(&gateway) {
        if lost_before.contains(&zone) {
            continue;
        }
        info!(
            zone = zone.as_ref(), server = pool.incarnation().id.as_ref(),
            reason = reason.as_str();
            "no server of an availability zone responds to this node"
        );
    }
    report_lost_zones(&gateway);
    gateway.links_notify.notify_one();
}

fn lost_zones(gateway: &Gateway) -> Vec<Arc<str>> {
    gateway.state.borrow().fleet.lost_zones(BootTime::now())
}

/// Tells the other nodes which zones this node doesn't reach, if that has changed.
fn report_lost_zones(gateway: &Gateway) {
    let lost_zones = lost_zones(gateway);
    let names = lost_zones.join(",");
    {
        let peers = &mut gateway.state.borrow_mut().peers;
        let own = peers.own().name.clone();
        let is_further_loss = lost_zones.iter().any(|zone| peers.reaches(&own, zone));
        if !peers.link_reports_mut().set_own(lost_zones) {
            return;
        }
        if is_further_loss {
            peers.forget_contacts();
        }
    }
    info!(lost_zones = names.as_str(); "links to the servers of availability zones changed");
    gateway.notify_peers();
}

fn contacts_to_check(gateway: &Gateway) -> Vec<Arc<str>> {
    let now = BootTime::now();
    let state = gateway.state.borrow();
    if !state.fleet.has_lost_links(now) {
        return Vec::new();
    }
    state.peers.contacts_to_check(now, &state.fleet.lost_zones(now))
}

/// Calls a peer to find out whether it is there; exchanges what both know of their links.
async fn check_contact(
    gateway: Rc<Gateway>,
    peer: Arc<str>,
    called: Rc<std::cell::RefCell<IndexSet<Arc<str>>>>,
) {
    let address = gateway.state.borrow().peers.address(&peer);
    let Some(address) = address else { return };
    if !called.borrow_mut().insert(peer.clone()) {
        return;
    }
    let request = PeerRequest::Contact(gateway.own_links());
    let calling = gateway.peer_pool.call_typed(address, &request);
    let reply = timeout(CONTACT_TIMEOUT, calling).await;
    called.borrow_mut().swap_remove(&peer);
    let now = BootTime::now();
    match reply {
        Ok(Ok(PeerReply::Contact(links))) => {
            gateway.merge_links(&links);
            gateway.state.borrow_mut().peers.on_answered(now, &peer);
        }
        Ok(Ok(_)) => debug!(peer = peer.as_ref(); "a peer is stopping"),
        Ok(Err(_)) | Err(_) => gateway.state.borrow_mut().peers.on_failed(now, &peer),
    }
}

/// Reports the node as not ready if a route can't be served here and other nodes may serve
/// it, none of which responds to this one.
fn update_readiness(gateway: &Gateway) {
    let now = BootTime::now();
    let state = &mut *gateway.state.borrow_mut();
    let reach = if !state.fleet.has_lost_links(now) {
        ServingReach::Own
    } else if state.configuration.routes.iter().any(|route| state.is_cut_off(now, route)) {
        ServingReach::CutOff
    } else {
        ServingReach::Peers
    };
    if state.lifecycle.set_reach(now, reach) {
        let is_cut_off = state.lifecycle.is_cut_off();
        info!(cut_off = is_cut_off; "readiness changed with the servers and nodes in reach");
    }
}

impl GatewayState {
    /// Returns the time after which a caller may be served that is refused because this node
    /// reaches too few servers: when a peer has room, when the links are checked again, or
    /// when the load balancer sends it to another node.
    pub(crate) fn retry_delay_without_links(&self, now: BootTime, plan: &FanoutPlan) -> Duration {
        if self.lifecycle.is_cut_off() {
            return self.lifecycle.balancer_delay(now);
        }
        let services = plan.services.iter();
        let mut zones: Vec<_> = services.flat_map(|it| self.fleet.zones_of(now, *it)).collect();
        zones.sort();
        zones.dedup();
        let room_at = self.peers.relay_room_due(now, &zones).filter(|at| *at > now);
        room_at
            .or_else(|| self.fleet.link_check_due(now))
            .map_or(Duration::ZERO, |at| at.since(now))
    }

    /// Returns whether servers that a route needs are out of reach of this node and of the
    /// peers that respond, but not of all other nodes.
    fn is_cut_off(&self, now: BootTime, route: &RouteConfig) -> bool {
        let is_lost = |name: &Arc<str>| {
            let Some(service) = self.fleet.service_key(name) else { return false };
            if !self.fleet.is_out_of_reach(now, service) {
                return false;
            }
            let zones = self.fleet.zones_of(now, service);
            self.peers.relay_room_due(now, &zones).is_none()
                && zones.iter().any(|zone| self.peers.any_reaches(zone))
        };
        match &route.target {
            RouteTarget::Service(service) => is_lost(service),
            RouteTarget::Split(services) => services.iter().any(|it| is_lost(&it.service)),
            RouteTarget::Gather(gather) => {
                let lost = gather.shards.iter().filter(|shard| is_lost(shard)).count();
                gather.shards.len() - lost < gather.min_shards()
            }
        }
    }
}

impl Gateway {
    /// Returns what is known of this node's own links, if it has lost any.
    pub(crate) fn own_links(&self) -> Vec<LinkReport> {
        let state = self.state.borrow();
        state.peers.link_reports().own().cloned().into_iter().collect()
    }

    /// Applies what other nodes know of links. A zone that another node has lost is probed.
    pub(crate) fn merge_links(&self, reports: &[LinkReport]) {
        if reports.is_empty() {
            return;
        }
        let now = BootTime::now();
        let is_changed = {
            let state = &mut *self.state.borrow_mut();
            let before = state.peers.link_reports().last_change();
            for report in reports {
                if !state.peers.link_reports_mut().merge(report) {
                    continue;
                }
                for zone in report.lost_zones.iter().filter(|zone| **zone != self.settings.zone) {
                    state.fleet.suspect_zone(now, zone);
                }
            }
            state.peers.link_reports().last_change() != before
        };
        if is_changed {
            self.notify_peers();
        }
    }
}
