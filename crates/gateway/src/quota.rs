//! Tokens for servers that limit the requests of all nodes together: requests to the
//! nodes that share them out, and replies to those of other nodes.

use std::{rc::Rc, sync::Arc, time::Duration};

use carobstep_clock::BootTime;
use carobstep_tier::{QuotaAsk, SharedSubject, ask_interval, server_terms, support_interval};
use indexmap::IndexMap;
use log::debug;
use tokio::{
    task::spawn_local,
    time::{sleep, timeout},
};

use crate::{
    gateway::Gateway,
    peer_messages::{PeerReply, PeerRequest, QuotaReply, QuotaRequest},
};

/// Timeout for a request for tokens.
const ASK_TIMEOUT: Duration = Duration::from_millis(250);

/// Asks for tokens where this node lacks them, and tells owners that this node takes them
/// for the owner, for the lifetime of the process.
pub(crate) async fn ask_for_tokens(gateway: Rc<Gateway>) {
    let mut changes = gateway.change_count.subscribe();
    let mut supported_at: IndexMap<Arc<str>, BootTime> = IndexMap::new();
    loop {
        if !gateway.state.borrow().fleet.has_limits() {
            gateway.state.borrow_mut().support.clear();
            // The sender lives as long as the gateway.
            let _ = changes.changed().await;
            continue;
        }
        let now = BootTime::now();
        let (requests, nodes) = requests_by_owner(&gateway, now);
        supported_at.retain(|_, at| now.since(*at) < support_interval(nodes));
        for (owner, request) in requests {
            let Some(peer) = owner else {
                let reply = grant_tokens(&gateway, &request);
                apply_reply(&gateway, now, &request.asks, &reply);
                continue;
            };
            if request.asks.is_empty() && supported_at.contains_key(&peer) {
                continue;
            }
            supported_at.insert(peer.clone(), now);
            spawn_local(ask_peer(gateway.clone(), peer, request));
        }
        sleep(ask_interval(nodes)).await;
    }
}

/// Returns the requests to the owners of all zones with limited servers, and the number of
/// nodes. `None` is this node.
fn requests_by_owner(
    gateway: &Gateway,
    now: BootTime,
) -> (IndexMap<Option<Arc<str>>, QuotaRequest>, u32) {
    let mut requests: IndexMap<Option<Arc<str>>, QuotaRequest> = IndexMap::new();
    let state = &mut *gateway.state.borrow_mut();
    let mut asks = state.fleet.token_asks(now);
    for zone in state.fleet.limited_zones() {
        let owner = state.peers.quota_owner(now, &zone);
        let request = requests.entry(owner).or_default();
        request.node = state.peers.own().name.clone();
        request.asks.extend(asks.extract_if(.., |ask| ask.zone == zone));
        request.zones.push(zone);
    }
    (requests, state.peers.registered_nodes())
}

async fn ask_peer(gateway: Rc<Gateway>, peer: Arc<str>, request: QuotaRequest) {
    let address = gateway.state.borrow().peers.address(&peer);
    let Some(address) = address else { return };
    let asked_at = BootTime::now();
    let asks = request.asks.clone();
    let request = PeerRequest::Quota(request);
    let calling = gateway.peer_pool.call_typed(address, &request);
    match timeout(ASK_TIMEOUT, calling).await {
        Ok(Ok(PeerReply::Quota(reply))) => apply_reply(&gateway, asked_at, &asks, &reply),
        Ok(Ok(_)) => debug!(peer = peer.as_ref(); "a peer's reply grants no tokens"),
        Ok(Err(_)) | Err(_) => {
            debug!(peer = peer.as_ref(); "a peer that shares out tokens did not reply");
            gateway.state.borrow_mut().peers.on_failed(BootTime::now(), &peer);
        }
    }
}

fn apply_reply(gateway: &Gateway, asked_at: BootTime, asks: &[QuotaAsk], reply: &QuotaReply) {
    gateway.merge_limits(&reply.records);
    let now = BootTime::now();
    let fleet = &mut gateway.state.borrow_mut().fleet;
    for (ask, granted) in asks.iter().zip(&reply.tokens) {
        fleet.add_tokens(now, asked_at, ask, *granted);
    }
}

/// Grants the tokens that a node, which may be this one, asks for.
pub(crate) fn grant_tokens(gateway: &Gateway, request: &QuotaRequest) -> QuotaReply {
    let known: Vec<_> = request.asks.iter().map(|ask| ask.record.clone()).collect();
    gateway.merge_limits(&known);
    let now = BootTime::now();
    let state = &mut *gateway.state.borrow_mut();
    let nodes = state.peers.registered_nodes();
    let mut shares = IndexMap::with_capacity(request.zones.len());
    for zone in &request.zones {
        state.support.record(now, zone, &request.node);
        shares.insert(zone, state.support.share(now, zone, nodes));
    }
    let mut reply = QuotaReply::default();
    for ask in &request.asks {
        let record = state.fleet.limit_record(&ask.record.server).unwrap_or(&ask.record);
        if *record != ask.record {
            reply.records.push(record.clone());
        }
        let share = shares.get(&ask.zone).copied().unwrap_or_default();
        let granted = match record.rate {
            Some(rate) => {
                let subject = SharedSubject::Server(record.server.clone());
                state.quotas.grant(now, &subject, server_terms(rate), share, ask.tokens)
            }
            None => 0,
        };
        reply.tokens.push(granted);
    }
    reply
}
