//! Receives store updates through a peer, to limit the load on the store.
//!
//! One node of each zone watches the store; the others follow that node, and
//! receive changes by long polling. Each reply states the age of the peer's data,
//! which is the time since the store last answered. A node whose data becomes
//! stale calls the store itself.

use std::{rc::Rc, sync::Arc, time::Duration};

use carobstep_clock::BootTime;
use carobstep_platform::{CONFIGURATION_NAME, StoredObject, read_configuration};
use carobstep_tier::StoreWatcher;
use log::{info, warn};
use tokio::time::{sleep, timeout};

use crate::{
    gateway::Gateway,
    membership::check_registration,
    peer_messages::{FollowRequest, PeerReply, PeerRequest, StoreUpdate},
};

/// Longest time that a peer waits for a change before it replies without one.
const UPDATE_WAIT: Duration = Duration::from_millis(500);

/// Timeout of a call to a peer, in addition to [`UPDATE_WAIT`].
const CALL_TIMEOUT: Duration = Duration::from_millis(300);

/// Age of the store data above which a node calls the store itself. The time limits
/// for draining servers and for configuration changes are 3 s or longer.
const MAX_STORE_AGE: Duration = Duration::from_millis(1_900);

/// Time after its start for which a node waits for a peer's first update.
const STARTUP_WAIT: Duration = Duration::from_millis(1_000);

/// Pause after a failed call.
const RETRY_PAUSE: Duration = Duration::from_millis(50);

/// Interval at which a node that watches the store itself checks whether it has to
/// follow a peer.
const SOURCE_CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// Times of the last store data, from which the age of the local state follows.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct StoreFreshness {
    /// When the store last answered about configurations, directly or through a peer.
    pub(crate) configuration: BootTime,
    /// When the store last answered about servers, directly or through a peer.
    pub(crate) servers: BootTime,
}

impl StoreFreshness {
    /// Returns the age of the older data of the two.
    pub(crate) fn age(&self, now: BootTime) -> Duration {
        now.since(self.configuration.min(self.servers))
    }
}

/// Whether this node is the one that watches the store for its zone.
pub(crate) fn is_store_watcher(gateway: &Gateway) -> bool {
    gateway.state.borrow().peers.store_watcher(BootTime::now()) == StoreWatcher::Own
}

/// Whether this node has to call the store, because it is its zone's watcher or
/// because the data received from the peer is stale.
pub(crate) fn must_call_store(gateway: &Gateway) -> bool {
    let now = BootTime::now();
    let age = gateway.state.borrow().freshness.age(now);
    // A node that has just started waits for its peer's first update.
    let is_stale = now.since(gateway.started) > STARTUP_WAIT && age > MAX_STORE_AGE;
    is_stale || is_store_watcher(gateway)
}

/// Returns the peer that this node follows: the node that watches the store for the
/// zone, or another peer if this node watches the store and its own calls fail.
fn update_source(gateway: &Gateway) -> Option<Arc<str>> {
    let now = BootTime::now();
    let state = gateway.state.borrow();
    match state.peers.store_watcher(now) {
        StoreWatcher::Peer(peer) => Some(peer),
        StoreWatcher::Own if state.directory.is_store_failing() => state.peers.fallback_peer(now),
        StoreWatcher::Own => None,
    }
}

/// Returns the peer whose copy of the store's data a starting node takes once, although
/// it watches the store itself: a store that was just restored may hold older data.
fn first_copy_source(gateway: &Gateway) -> Option<Arc<str>> {
    let now = BootTime::now();
    let state = gateway.state.borrow();
    let is_starting = now.since(gateway.started) < STARTUP_WAIT;
    (is_starting && !state.has_peer_copy).then(|| state.peers.fallback_peer(now)).flatten()
}

/// Follows the peer that watches the store, for the lifetime of the process.
pub(crate) async fn follow_peer(gateway: Rc<Gateway>) {
    let mut follow_request = FollowRequest::default();
    let mut followed_peer = None;
    loop {
        let source = update_source(&gateway);
        let is_copying = source.is_none();
        let Some(peer) = source.or_else(|| first_copy_source(&gateway)) else {
            sleep(SOURCE_CHECK_INTERVAL).await;
            continue;
        };
        if followed_peer.as_ref() != Some(&peer) {
            info!(peer = peer.as_ref(); "learning of the store from a peer");
            follow_request.life = 0;
            followed_peer = Some(peer.clone());
        }
        let address = gateway.state.borrow().peers.address(&peer);
        let Some(address) = address else { continue };
        follow_request.version = gateway.state.borrow().configuration.version;
        follow_request.leaving = gateway.recently_leaving();
        let request = PeerRequest::Follow(follow_request.clone());
        let called = BootTime::now();
        let calling = gateway.peer_pool.call_typed(address, &request);
        match timeout(UPDATE_WAIT + CALL_TIMEOUT, calling).await {
            Ok(Ok(PeerReply::News(update))) => {
                let source_is_own =
                    update.source.as_ref() == Some(&gateway.state.borrow().peers.own().name);
                let is_stale = update.age > MAX_STORE_AGE;
                follow_request.life = update.life;
                follow_request.servers = update.servers.number;
                follow_request.nodes = update.node_number;
                let age_ms = update.age.as_millis() as u64;
                apply_update(&gateway, called, *update);
                if (source_is_own && !is_copying) || is_stale {
                    handle_stale_peer(&gateway, &peer, age_ms, source_is_own);
                }
            }
            Ok(Ok(PeerReply::NoNews(age))) => {
                handle_stale_peer(&gateway, &peer, age.as_millis() as u64, false);
            }
            // A peer refuses to be followed only while it is stopping.
            Ok(Ok(_)) => handle_peer_failure(&gateway, &peer, "the peer is stopping").await,
            Ok(Err(error)) => handle_peer_failure(&gateway, &peer, &error.to_string()).await,
            Err(_) => handle_peer_failure(&gateway, &peer, "the call timed out").await,
        }
    }
}

fn handle_stale_peer(gateway: &Gateway, peer: &str, age_ms: u64, source_is_own: bool) {
    info!(
        peer = peer, age_ms = age_ms, source_is_own = source_is_own;
        "a peer has no news of the store"
    );
    gateway.state.borrow_mut().peers.mark_stale(BootTime::now(), peer);
}

async fn handle_peer_failure(gateway: &Gateway, peer: &str, reason: &str) {
    warn!(peer = peer, reason = reason; "no news of the store from a peer");
    gateway.state.borrow_mut().peers.on_failed(BootTime::now(), peer);
    sleep(RETRY_PAUSE).await;
}

/// Applies an update that a peer sent in reply to a call made at `called`.
fn apply_update(gateway: &Rc<Gateway>, called: BootTime, update: StoreUpdate) {
    let now = BootTime::now();
    // Measured from the call, not from the reply. Otherwise the update would look
    // fresher by the network delay each time that it is passed on, and nodes may
    // follow each other in a cycle.
    let confirmed_at = called + update.waited - update.age;
    let changes = {
        let state = &mut *gateway.state.borrow_mut();
        // A peer that has just started may not have a list of servers yet.
        if update.servers.revision.number == 0 {
            Vec::new()
        } else {
            state.freshness.servers = state.freshness.servers.max(confirmed_at);
            state.freshness.configuration = state.freshness.configuration.max(confirmed_at);
            state.lifecycle.on_server_list();
            state.directory.apply_update(now, update.servers)
        }
    };
    gateway.apply_changes(&changes);
    let node_revision = gateway.state.borrow().node_revision;
    let nodes = update.nodes.filter(|_| update.node_revision >= node_revision);
    if let Some(nodes) = nodes {
        check_registration(gateway, update.node_revision.era, &nodes);
        gateway.state.borrow_mut().node_revision = update.node_revision;
        gateway.update_peers(|peers| peers.replace(nodes));
    }
    if let Some((revision, content)) = update.configuration {
        let object = StoredObject::from_peer(CONFIGURATION_NAME, revision, content);
        match object.and_then(|object| Ok((read_configuration(&object)?, object))) {
            Ok((configuration, object)) => gateway.apply_configuration(configuration, object),
            Err(error) => {
                warn!(reason:% = error; "a peer sent an invalid configuration, which is ignored");
            }
        }
    }
    if !std::mem::replace(&mut gateway.state.borrow_mut().has_peer_copy, true) {
        gateway.notify_peers();
    }
}

/// Builds the reply to a peer that follows this node, after waiting up to
/// [`UPDATE_WAIT`] for a change.
pub(crate) async fn wait_for_update(gateway: &Gateway, request: FollowRequest) -> PeerReply {
    let called = BootTime::now();
    let mut changes = gateway.change_count.subscribe();
    let is_same_incarnation = request.life == gateway.incarnation;
    let age = || gateway.state.borrow().freshness.age(BootTime::now());
    let has_update = |_: &u64| {
        if !is_same_incarnation {
            return age() <= MAX_STORE_AGE;
        }
        let state = gateway.state.borrow();
        request.servers != state.directory.last_change()
            || request.nodes != state.node_change_number
            || request.version < state.configuration.version
    };
    // After a timeout, the reply still carries the age of this node's data.
    let _ = timeout(UPDATE_WAIT, changes.wait_for(has_update)).await;
    // A full list is large, and useless to the peer if it is stale.
    if !is_same_incarnation && age() > MAX_STORE_AGE {
        return PeerReply::NoNews(age());
    }
    let source = update_source(gateway);
    let state = gateway.state.borrow();
    let now = BootTime::now();
    let mut nodes: Vec<_> = state.peers.entries().cloned().collect();
    nodes.push(state.peers.own().clone());
    let is_outdated = request.version < state.configuration.version;
    let object = state.configuration_object.as_ref().filter(|_| is_outdated);
    PeerReply::News(Box::new(StoreUpdate {
        life: gateway.incarnation,
        age: state.freshness.age(now),
        waited: now.since(called),
        source,
        servers: state.directory.updates_after(is_same_incarnation.then_some(request.servers)),
        node_number: state.node_change_number,
        node_revision: state.node_revision,
        nodes: (!is_same_incarnation || request.nodes != state.node_change_number).then_some(nodes),
        configuration: object.map(|object| (object.revision, object.content.get().to_owned())),
    }))
}
