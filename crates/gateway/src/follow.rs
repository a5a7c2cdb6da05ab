//! Receives store updates through a peer, to limit the load on the store.
//!
//! The nodes form a tree, see [`UpdateSource`]; the first one watches the store, and the
//! others receive changes by long polling. Each reply states the age of the peer's data,
//! which is the time since the store last answered, and the node that it answered. A
//! node whose data becomes stale calls the store itself.

use std::{rc::Rc, sync::Arc, time::Duration};

use carobstep_clock::BootTime;
use carobstep_platform::{CONFIGURATION_NAME, StoredObject, read_configuration};
use carobstep_tier::UpdateSource;
use carobstep_wire::WireErrorKind;
use indexmap::IndexMap;
use log::{info, warn};
use tokio::time::{sleep, timeout};

use crate::{
    gateway::Gateway,
    membership::{check_registration, check_removal},
    peer_messages::{Extension, FollowRequest, PeerReply, PeerRequest, StaleReply, StoreUpdate},
};

/// Timeout of a call to a peer, in addition to the time that the peer may wait.
const CALL_TIMEOUT: Duration = Duration::from_millis(300);

/// Time after its start for which a node waits for a peer's first update.
const STARTUP_WAIT: Duration = Duration::from_millis(2_000);

/// Pause after a failed call.
const RETRY_PAUSE: Duration = Duration::from_millis(50);

/// Least difference in age for which fresher data is sent to a peer although nothing has
/// changed.
const MIN_AGE_GAIN: Duration = Duration::from_millis(250);

/// Time for which a peer that can't decode an extended call for changes gets plain ones.
const OLD_PEER_MEMORY: Duration = Duration::from_secs(60);

/// Interval at which a node that watches the store itself checks whether it has to
/// follow a peer.
const SOURCE_CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// Changes of this node that the peer that it follows has confirmed to know.
#[derive(Clone, Copy, Debug, Default)]
struct ConfirmedChanges {
    /// Incarnation of the peer.
    life: u64,
    /// Number of the last change of a limit.
    limits: u64,
    /// Number of the last change of a request that crashed servers.
    crashes: u64,
    /// Number of the last change of the leaving servers.
    leaving: u64,
    /// Number of the last change of a link report.
    links: u64,
}

/// Times of the last store data, from which the age of the local state follows.
#[derive(Clone, Debug, Default)]
pub(crate) struct StoreFreshness {
    /// Node that the store last answered, if that was a peer.
    pub(crate) origin: Option<Arc<str>>,
    /// When the store last answered about configurations, directly or through a peer.
    pub(crate) configuration: BootTime,
    /// When the store last answered about servers, directly or through a peer.
    pub(crate) servers: BootTime,
    /// When the store last answered about evacuations, directly or through a peer.
    pub(crate) evacuations: BootTime,
}

impl StoreFreshness {
    /// Returns the age of the older data of the two.
    pub(crate) fn age(&self, now: BootTime) -> Duration {
        now.since(self.configuration.min(self.servers))
    }

    /// Returns the age of what is known of evacuations.
    pub(crate) fn evacuation_age(&self, now: BootTime) -> Duration {
        now.since(self.evacuations)
    }
}

/// Whether this node watches the store for others.
pub(crate) fn is_store_watcher(gateway: &Gateway) -> bool {
    gateway.state.borrow().peers.update_source(BootTime::now()) == UpdateSource::Store
}

/// Whether this node has to call the store, because it watches the store for others or
/// because the data received from the peer is stale.
pub(crate) fn must_call_store(gateway: &Gateway) -> bool {
    let now = BootTime::now();
    let is_stale = {
        let state = gateway.state.borrow();
        let call_age = gateway.timing.call_age(state.peers.tree_place(now));
        // A node that has just started waits for its peer's first update.
        now.since(gateway.started) > STARTUP_WAIT && state.freshness.age(now) > call_age
    };
    is_stale || is_store_watcher(gateway)
}

/// Whether this node has to read the evacuations from the store, because it watches the
/// store for others, or because the peer that it follows doesn't send them.
pub(crate) fn must_read_evacuations(gateway: &Gateway) -> bool {
    let now = BootTime::now();
    let is_lacking = {
        let state = gateway.state.borrow();
        let call_age = gateway.timing.call_age(state.peers.tree_place(now));
        let is_stale = state.freshness.evacuation_age(now) > call_age;
        state.follows_old_peer || (now.since(gateway.started) > STARTUP_WAIT && is_stale)
    };
    is_lacking || is_store_watcher(gateway)
}

/// Returns the peer that this node follows: its parent in the tree, or another peer if
/// this node watches the store and its own calls fail.
fn peer_to_follow(gateway: &Gateway) -> Option<Arc<str>> {
    let now = BootTime::now();
    let state = gateway.state.borrow();
    match state.peers.update_source(now) {
        UpdateSource::Peer(peer) => Some(peer),
        UpdateSource::Store if state.directory.is_store_failing() => state.peers.fallback_peer(now),
        UpdateSource::Store => None,
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
    let mut confirmed = ConfirmedChanges::default();
    let mut old_peers: IndexMap<Arc<str>, BootTime> = IndexMap::new();
    loop {
        let sent;
        let source = peer_to_follow(&gateway);
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
        {
            let state = gateway.state.borrow();
            let now = BootTime::now();
            follow_request.version = state.configuration.version;
            follow_request.revision = state.directory.revision();
            follow_request.nodes = state.peers.revision();
            follow_request.age = state.freshness.age(now);
            if confirmed.life != follow_request.life {
                confirmed = ConfirmedChanges { life: follow_request.life, ..Default::default() };
                follow_request.limits_known = 0;
                follow_request.crashes_known = 0;
                follow_request.links_known = 0;
            }
            let limits = state.fleet.limits_after(confirmed.limits);
            let crashes = state.crashes.updates_after(now, confirmed.crashes);
            let links = state.peers.link_reports().updates_after(confirmed.links);
            let (leaving_number, leaving) = state.directory.leaving_after(confirmed.leaving);
            sent = ConfirmedChanges {
                life: 0,
                limits: limits.number,
                crashes: crashes.number,
                leaving: leaving_number,
                links: links.number,
            };
            follow_request.leaving = leaving;
            follow_request.limits = limits.records;
            follow_request.crashes = crashes.records;
            follow_request.links = links.reports;
        }
        let called = BootTime::now();
        old_peers.retain(|_, until| called < *until);
        let is_old = old_peers.contains_key(&peer);
        gateway.state.borrow_mut().follows_old_peer = is_old;
        let extensions = if is_old { Vec::new() } else { gateway.follow_extensions() };
        let is_extended = !extensions.is_empty();
        let request = if is_extended {
            PeerRequest::FollowExtended(Box::new(follow_request.clone()), extensions)
        } else {
            PeerRequest::Follow(follow_request.clone())
        };
        let calling = gateway.peer_pool.call_typed(address, &request);
        let reply = timeout(gateway.timing.update_wait() + CALL_TIMEOUT, calling).await;
        let reply = match reply {
            Ok(Ok(PeerReply::ExtendedNews(update, extensions))) => {
                gateway.apply_extensions(&peer, called + update.waited, &extensions);
                Ok(Ok(PeerReply::News(update)))
            }
            Ok(Err(error)) if is_extended && error.kind() == WireErrorKind::Rejected => {
                info!(peer = peer.as_ref(); "a peer knows no extended calls for changes");
                old_peers.insert(peer, called + OLD_PEER_MEMORY);
                continue;
            }
            reply => reply,
        };
        match reply {
            Ok(Ok(PeerReply::News(update))) => {
                // Data that this node itself had from the store is no news.
                let source_is_own =
                    update.origin.as_ref() == Some(&gateway.state.borrow().peers.own().name);
                let is_stale = update.age > gateway.timing.max_age();
                follow_request.life = update.life;
                follow_request.servers = update.servers.number;
                // Of an update that is ignored, the changes are still to be learned.
                if gateway.state.borrow().directory.is_outdated(&update.servers) {
                    follow_request.life = 0;
                }
                follow_request.limits_known = update.limits.number;
                follow_request.crashes_known = update.crashes.number;
                follow_request.links_known = update.links.number;
                confirmed = ConfirmedChanges { life: update.life, ..sent };
                let age_ms = update.age.as_millis() as u64;
                apply_update(&gateway, called, *update);
                if (source_is_own && !is_copying) || is_stale {
                    handle_stale_peer(&gateway, &peer, age_ms, source_is_own);
                }
            }
            Ok(Ok(PeerReply::NoNews(reply))) => {
                gateway.mark_leaving(&reply.leaving);
                gateway.merge_limits(&reply.limits);
                gateway.merge_crashes(&reply.crashes);
                gateway.merge_links(&reply.links);
                handle_stale_peer(&gateway, &peer, reply.age.as_millis() as u64, false);
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
    let now = BootTime::now();
    // At the start of all nodes, the peer has no data yet, but will have soon.
    if now.since(gateway.started) > STARTUP_WAIT {
        gateway.state.borrow_mut().peers.mark_stale(now, peer);
    }
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
    gateway.merge_links(&update.links.reports);
    let changes = {
        let state = &mut *gateway.state.borrow_mut();
        // A peer that has just started may not have a list of servers yet.
        if update.servers.revision.number == 0 {
            Vec::new()
        } else {
            let freshness = &mut state.freshness;
            if confirmed_at > freshness.servers.min(freshness.configuration) {
                freshness.origin = update.origin;
            }
            freshness.servers = freshness.servers.max(confirmed_at);
            freshness.configuration = freshness.configuration.max(confirmed_at);
            state.lifecycle.on_server_list();
            state.directory.apply_update(now, update.servers)
        }
    };
    gateway.apply_changes(&changes);
    // A limit of a server that is not known yet is kept until the server is.
    gateway.merge_limits(&update.limits.records);
    gateway.merge_crashes(&update.crashes.records);
    if let Some(nodes) = update.nodes {
        if nodes.whole {
            check_registration(gateway, nodes.revision, &nodes.changed);
        }
        for (revision, name) in &nodes.removed {
            check_removal(gateway, *revision, name);
        }
        gateway.update_peers(|peers| peers.apply_update(BootTime::now(), nodes));
    }
    {
        let known = &mut gateway.state.borrow_mut().configuration_revision;
        *known = (*known).max(update.configuration_revision);
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
    gateway.state.borrow_mut().has_peer_copy = true;
    // Passes on the age of the data, although nothing may have changed.
    gateway.notify_peers();
}

fn stale_reply(gateway: &Gateway) -> StaleReply {
    let state = gateway.state.borrow();
    let now = BootTime::now();
    let (_, leaving) = state.directory.leaving_after(0);
    StaleReply {
        age: state.freshness.age(now),
        leaving,
        limits: state.fleet.limits_after(0).records,
        crashes: state.crashes.updates_after(now, 0).records,
        links: state.peers.link_reports().updates_after(0).reports,
    }
}

/// Builds the reply to a peer that follows this node, after waiting for a change or for
/// fresher data.
/// `extensions` is what an extended call sent in addition.
pub(crate) async fn wait_for_update(
    gateway: &Gateway,
    request: FollowRequest,
    extensions: Option<&[Extension]>,
) -> PeerReply {
    let called = BootTime::now();
    let mut changes = gateway.change_count.subscribe();
    let is_same_incarnation = request.life == gateway.incarnation;
    let max_age = gateway.timing.max_age();
    let age = || gateway.state.borrow().freshness.age(BootTime::now());
    let has_update = |_: &u64| {
        if !is_same_incarnation {
            return age() <= max_age;
        }
        if extensions.is_some_and(|extensions| gateway.has_extended_news(extensions)) {
            return true;
        }
        let state = gateway.state.borrow();
        let now = BootTime::now();
        request.servers != state.directory.last_change()
            || request.limits_known != state.fleet.last_limit_change()
            || request.crashes_known != state.crashes.last_change()
            || request.links_known != state.peers.link_reports().last_change()
            || request.nodes < state.peers.revision()
            || request.version < state.configuration.version
            || state.freshness.age(now) + MIN_AGE_GAIN
                < request.age.saturating_add(now.since(called))
    };
    // After a timeout, the reply still carries the age of this node's data.
    let _ = timeout(gateway.timing.update_wait(), changes.wait_for(has_update)).await;
    // Stale data is of no use to a peer that does not follow this node yet.
    if !is_same_incarnation && age() > max_age {
        return PeerReply::NoNews(Box::new(stale_reply(gateway)));
    }
    let state = gateway.state.borrow();
    let now = BootTime::now();
    let is_outdated = request.version < state.configuration.version;
    let object = state.configuration_object.as_ref().filter(|_| is_outdated);
    let servers = if is_same_incarnation {
        state.directory.updates_after(Some(request.servers))
    } else {
        state.directory.updates_since(request.revision)
    };
    let has_newer_nodes = request.nodes < state.peers.revision();
    let update = Box::new(StoreUpdate {
        life: gateway.incarnation,
        age: state.freshness.age(now),
        waited: now.since(called),
        links: state.peers.link_reports().updates_after(if is_same_incarnation {
            request.links_known
        } else {
            0
        }),
        origin: Some(state.freshness.origin.clone().unwrap_or(state.peers.own().name.clone())),
        servers,
        limits: state.fleet.limits_after(if is_same_incarnation {
            request.limits_known
        } else {
            0
        }),
        crashes: state
            .crashes
            .updates_after(now, if is_same_incarnation { request.crashes_known } else { 0 }),
        nodes: has_newer_nodes.then(|| state.peers.updates_since(request.nodes)),
        configuration_revision: state.configuration_revision,
        configuration: object.map(|object| (object.revision, object.content.get().to_owned())),
    });
    match extensions {
        Some(_) => PeerReply::ExtendedNews(update, gateway.news_extensions(now)),
        None => PeerReply::News(update),
    }
}
