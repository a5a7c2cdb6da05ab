//! Calls by which the nodes of an availability zone tell each other which servers fail.

use std::{rc::Rc, sync::Arc, time::Duration};

use carobstep_clock::BootTime;
use carobstep_tier::report_interval;
use carobstep_wire::WireErrorKind;
use indexmap::IndexMap;
use log::{debug, info};
use tokio::{
    task::spawn_local,
    time::{sleep, timeout},
};

use crate::{
    gateway::{Gateway, GatewayState},
    peer_messages::{ObservationsReply, ObservationsRequest, PeerReply, PeerRequest},
    report::ObservationCall,
};

/// Timeout of a call.
const CALL_TIMEOUT: Duration = Duration::from_millis(250);

/// Time for which a node that does not know these calls gets none.
const UNAWARE_LIFETIME: Duration = Duration::from_secs(60);

/// Time within which a node of the zone has heard of the failures if it called this node.
const MIN_CONTACT_INTERVALS: u32 = 3;

/// Interval at which a node that knows of no failures forgets calls of other nodes.
const IDLE_INTERVAL: Duration = Duration::from_secs(5);

/// Number of failing servers from which the first report is logged.
const MIN_LOGGED_SERVERS: usize = 3;

/// Reports the failures of servers to the first node of the zone, and as that node tells
/// the others of them, for the lifetime of the process.
pub(crate) async fn share_observations(gateway: Rc<Gateway>) {
    let mut unaware: IndexMap<Arc<str>, BootTime> = IndexMap::new();
    let mut was_failing = false;
    loop {
        let now = BootTime::now();
        unaware.retain(|_, since| now.since(*since) < UNAWARE_LIFETIME);
        let (owner, nodes) = {
            let state = gateway.state.borrow();
            let zone = state.peers.own().zone.clone();
            let in_zone = state.peers.live_entries().filter(|peer| peer.zone == zone).count();
            let nodes = u32::try_from(in_zone + 1).unwrap_or(u32::MAX);
            (state.peers.quota_owner(now, &zone), nodes)
        };
        let interval = report_interval(nodes);
        let failing = gateway.state.borrow().fleet.failing_servers(now);
        if (failing >= MIN_LOGGED_SERVERS) != was_failing {
            was_failing = !was_failing;
            let owner = owner.as_deref().unwrap_or("this node");
            info!(servers = failing, owner = owner, nodes = nodes; "servers fail, as seen in the zone");
        }
        match owner {
            None => {
                let reports = gateway.state.borrow_mut().fleet.take_observations(now);
                let request = ObservationsRequest { reports, ..ObservationsRequest::default() };
                let reply = merge_observations(&gateway, &request);
                apply_reply(&gateway, &reply);
                tell_zone(&gateway, interval, &reply);
            }
            Some(owner) if failing > 0 && !unaware.contains_key(&owner) => {
                if !report_to(&gateway, &owner).await {
                    unaware.insert(owner, now);
                }
            }
            Some(_) => {}
        }
        if failing > 0 {
            sleep(interval).await;
            continue;
        }
        // Nothing is to be told until a server fails, here or at another node.
        let _ = timeout(IDLE_INTERVAL, gateway.failures_notify.notified()).await;
    }
}

/// Reports to the first node of the zone, if there is anything to report; returns whether it
/// knows such calls. It tells nodes without reports, which are most while few servers fail.
async fn report_to(gateway: &Rc<Gateway>, owner: &Arc<str>) -> bool {
    let (address, request) = {
        let state = &mut *gateway.state.borrow_mut();
        let Some(address) = state.peers.address(owner) else { return true };
        let reports = state.fleet.take_observations(BootTime::now());
        if reports.is_empty() {
            return true;
        }
        let node = state.peers.own().name.clone();
        let request = ObservationsRequest { node, reports, failing: None };
        (address, encode_for(state, owner, request))
    };
    gateway.reporter.count_observations(ObservationCall::Reported);
    let calling = gateway.peer_pool.call_typed(address, &request);
    match timeout(CALL_TIMEOUT, calling).await {
        Ok(Ok(PeerReply::NamedObservations(reply))) => apply_reply(gateway, &reply),
        Ok(Ok(PeerReply::Observations(reply))) => {
            let fleet = &mut gateway.state.borrow_mut().fleet;
            let failing = fleet.name_observations(&reply.failing);
            fleet.apply_observations(BootTime::now(), &failing);
        }
        Ok(Ok(_)) => debug!(peer = owner.as_ref(); "a peer's reply names no failing servers"),
        Ok(Err(error)) if error.kind() == WireErrorKind::Rejected => {
            gateway.state.borrow_mut().peers.on_names_rejected(BootTime::now(), owner);
            // It may know these calls with hashed names.
            return matches!(request, PeerRequest::NamedObservations(_));
        }
        Ok(Err(_)) | Err(_) => {
            gateway.reporter.count_observations(ObservationCall::Unanswered);
            gateway.state.borrow_mut().peers.on_failed(BootTime::now(), owner);
        }
    }
    true
}

/// Returns a message that a node can read, which may be of the version before.
fn encode_for(
    state: &GatewayState,
    peer: &str,
    request: ObservationsRequest<Arc<str>>,
) -> PeerRequest {
    if state.peers.accepts_names(BootTime::now(), peer) {
        return PeerRequest::NamedObservations(request);
    }
    let ObservationsRequest { node, reports, failing } = request;
    let reports = state.fleet.hash_observations(&reports);
    let failing = failing.map(|failing| state.fleet.hash_observations(&failing));
    PeerRequest::Observations(ObservationsRequest { node, reports, failing })
}

/// Tells the nodes of the zone that have not called lately of failing servers, if there are
/// any.
fn tell_zone(gateway: &Rc<Gateway>, interval: Duration, reply: &ObservationsReply<Arc<str>>) {
    let now = BootTime::now();
    let (addresses, node) = {
        let state = &mut *gateway.state.borrow_mut();
        let contacts = &mut state.observation_contacts;
        contacts.retain(|_, at| now.since(*at) < interval * MIN_CONTACT_INTERVALS);
        if reply.failing.is_empty() {
            return;
        }
        let zone = &state.peers.own().zone;
        let silent = state.peers.live_entries();
        let silent = silent.filter(|it| it.zone == *zone && !contacts.contains_key(&it.name));
        let told: Vec<_> = silent.map(|it| (it.name.clone(), it.address)).collect();
        contacts.extend(told.iter().map(|(name, _)| (name.clone(), now)));
        (told, state.peers.own().name.clone())
    };
    let failing = Some(reply.failing.clone());
    let request = ObservationsRequest { node, reports: Vec::new(), failing };
    for (name, address) in addresses {
        let gateway = gateway.clone();
        let request = encode_for(&gateway.state.borrow(), &name, request.clone());
        gateway.reporter.count_observations(ObservationCall::Told);
        spawn_local(async move {
            let calling = gateway.peer_pool.call_typed::<_, PeerReply>(address, &request);
            match timeout(CALL_TIMEOUT, calling).await {
                Ok(Ok(_)) => {}
                Ok(Err(error)) if error.kind() == WireErrorKind::Rejected => {
                    gateway.state.borrow_mut().peers.on_names_rejected(BootTime::now(), &name);
                }
                Ok(Err(_)) | Err(_) => {
                    debug!(peer:% = address; "a peer was not told of failing servers");
                }
            }
        });
    }
}

fn apply_reply(gateway: &Gateway, reply: &ObservationsReply<Arc<str>>) {
    gateway.state.borrow_mut().fleet.apply_observations(BootTime::now(), &reply.failing);
}

/// Adds up what a node, which may be this one, has observed, and applies what it knows of
/// the zone.
pub(crate) fn merge_observations(
    gateway: &Gateway,
    request: &ObservationsRequest<Arc<str>>,
) -> ObservationsReply<Arc<str>> {
    let now = BootTime::now();
    let state = &mut *gateway.state.borrow_mut();
    if let Some(failing) = &request.failing {
        state.fleet.apply_observations(now, failing);
        return ObservationsReply::default();
    }
    if !request.node.is_empty() {
        state.observation_contacts.insert(request.node.clone(), now);
    }
    state.observations.merge(now, &request.reports);
    ObservationsReply { failing: state.observations.failing(now) }
}

/// Like [`merge_observations`], for a node of the version before.
pub(crate) fn merge_hashed_observations(
    gateway: &Gateway,
    request: ObservationsRequest<u32>,
) -> ObservationsReply<u32> {
    let ObservationsRequest { node, reports, failing } = request;
    let named = {
        let fleet = &gateway.state.borrow().fleet;
        let failing = failing.map(|failing| fleet.name_observations(&failing));
        ObservationsRequest { node, reports: fleet.name_observations(&reports), failing }
    };
    let reply = merge_observations(gateway, &named);
    let failing = gateway.state.borrow().fleet.hash_observations(&reply.failing);
    ObservationsReply { failing }
}
