//! Tokens for servers that are cold: requests to the nodes that share them out, and replies
//! to those of other nodes.

use std::{rc::Rc, sync::Arc, time::Duration};

use carobstep_clock::BootTime;
use carobstep_tier::{
    ColdAsk, ServerIncarnation, ServerKey, ShareAsk, ShareGrant, SharedSubject, ask_interval,
    support_interval,
};
use carobstep_wire::WireErrorKind;
use indexmap::{IndexMap, IndexSet};
use log::{debug, info};
use tokio::{task::spawn_local, time::sleep};

use crate::{
    gateway::{Gateway, GatewayState},
    peer_messages::ShareRequest,
    shares::{call_owner, grant_shares},
};

/// Timeout of a request for tokens; later ones have expired.
const ASK_TIMEOUT: Duration = Duration::from_millis(250);

/// Asks for tokens for cold servers, and tells owners that this node takes them for the
/// owner, for the lifetime of the process.
pub(crate) async fn ask_for_cold(gateway: Rc<Gateway>) {
    let mut changes = gateway.change_count.subscribe();
    loop {
        if !gateway.state.borrow().fleet.has_limited_cold(BootTime::now()) {
            // The sender lives as long as the gateway.
            let _ = changes.changed().await;
            continue;
        }
        let now = BootTime::now();
        let (asks, own, nodes) = {
            let state = &mut *gateway.state.borrow_mut();
            let asks = asks_by_owner(state, now);
            (asks, state.peers.own().name.clone(), state.peers.registered_nodes())
        };
        for (owner, asks) in asks {
            if owner == own {
                let grants = grant_shares(&gateway, &request_of(&own, &asks));
                add_tokens(&gateway, now, &asks, &grants);
            } else {
                spawn_local(ask_peer(gateway.clone(), owner, request_of(&own, &asks), asks));
            }
        }
        sleep(ask_interval(nodes)).await;
    }
}

/// Returns the requests that are due, by owner.
fn asks_by_owner(state: &mut GatewayState, now: BootTime) -> IndexMap<Arc<str>, Vec<ColdAsk>> {
    let mut asks: IndexMap<Arc<str>, Vec<ColdAsk>> = IndexMap::new();
    let nodes = state.peers.registered_nodes();
    let due = state.fleet.cold_asks(now);
    let wanted: IndexSet<_> =
        due.iter().filter(|ask| ask.tokens > 0).map(|ask| ask.zone.clone()).collect();
    let mut owners: IndexMap<Arc<str>, Option<Arc<str>>> = IndexMap::new();
    for ask in due {
        let owner = owners.entry(ask.zone.clone()).or_insert_with(|| {
            let owner = state.peers.quota_owner(now, &ask.zone);
            let owner = owner.unwrap_or_else(|| state.peers.own().name.clone());
            let called_at = state.cold_owners.called_at(&ask.zone);
            let is_due = called_at.is_none_or(|at| now.since(at) >= support_interval(nodes));
            let may_call = (is_due || wanted.contains(&ask.zone))
                && state.cold_owners.may_call(now, &ask.zone, &owner, nodes);
            may_call.then_some(owner)
        });
        if let Some(owner) = owner {
            asks.entry(owner.clone()).or_default().push(ask);
        }
    }
    asks
}

fn request_of(own: &Arc<str>, asks: &[ColdAsk]) -> ShareRequest {
    let share_ask = |ask: &ColdAsk| ShareAsk {
        subject: SharedSubject::ColdServer(ask.server.clone()),
        tokens: ask.tokens,
        used: 0,
        recent: 0,
    };
    ShareRequest { node: own.clone(), asks: asks.iter().map(share_ask).collect() }
}

async fn ask_peer(
    gateway: Rc<Gateway>,
    owner: Arc<str>,
    request: ShareRequest,
    asks: Vec<ColdAsk>,
) {
    let asked_at = BootTime::now();
    match call_owner(&gateway, &owner, request, ASK_TIMEOUT).await {
        Ok(grants) => add_tokens(&gateway, asked_at, &asks, &grants),
        // A node of the version before hands out no such tokens.
        Err(error) if error.kind() == WireErrorKind::Rejected => {}
        Err(error) => {
            debug!(peer = owner.as_ref(), error:% = error; "no tokens for cold servers");
        }
    }
}

fn add_tokens(gateway: &Gateway, asked_at: BootTime, asks: &[ColdAsk], grants: &[ShareGrant]) {
    let now = BootTime::now();
    let fleet = &mut gateway.state.borrow_mut().fleet;
    for (ask, grant) in asks.iter().zip(grants) {
        fleet.add_cold_tokens(now, asked_at, ask, grant.tokens);
    }
}

/// Answers a node, which may be this one, as the owner of the limit on a cold server.
pub(crate) fn answer_cold(
    state: &mut GatewayState,
    node: &Arc<str>,
    (server, ask): (&ServerIncarnation, &ShareAsk),
) -> ShareGrant {
    let now = BootTime::now();
    let Some((zone, terms)) = state.fleet.cold_terms(server) else {
        return ShareGrant::default();
    };
    state.cold_support.record(now, &zone, node);
    let share = state.cold_support.share(now, &zone, state.peers.registered_nodes());
    let tokens = state.quotas.grant(now, &ask.subject, terms.share, share, ask.tokens);
    ShareGrant { tokens, level: 0, is_known: true }
}

impl Gateway {
    /// Records that a server says how long it stays cold.
    pub(crate) fn record_cold(&self, server: ServerKey, cold_for: Duration) {
        let now = BootTime::now();
        let fleet = &mut self.state.borrow_mut().fleet;
        let was_limited = fleet.has_limited_cold(now);
        fleet.record_cold(now, server, cold_for);
        if !was_limited && fleet.has_limited_cold(now) {
            info!(cold_for:? = cold_for; "a server is cold and its requests are limited");
            self.notify_peers();
        }
    }
}
