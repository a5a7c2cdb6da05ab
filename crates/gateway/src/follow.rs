//! Learns what is in the store from a peer, so that few nodes call it.
//!
//! One node of each zone watches the store; the others ask it and get changes
//! as they come. Each answer says how old the peer's last answer of the store
//! is. A node that hears nothing fresh calls the store itself.

use std::{rc::Rc, sync::Arc, time::Duration};

use carobstep_clock::BootTime;
use carobstep_platform::{CONFIGURATION_NAME, StoredObject, read_configuration};
use carobstep_tier::StoreFollower;
use log::{info, warn};
use tokio::time::{sleep, timeout};

use crate::{
    gateway::Gateway,
    peer_messages::{FollowCall, PeerAnswer, PeerCall, StoreNews},
};

/// Longest wait of a peer for a change before it answers without one.
const NEWS_WAIT: Duration = Duration::from_millis(500);

/// Longest time for a call beside that wait.
const CALL_TIMEOUT: Duration = Duration::from_millis(300);

/// Age of the last answer of the store beyond which a node calls it itself; the
/// bounds on leaving servers and on configurations are 3 s and more.
const STALE: Duration = Duration::from_millis(1_900);

/// Time for which a node that has just started waits for a peer's first news.
const START_PATIENCE: Duration = Duration::from_millis(1_000);

/// Pause before the next call after a failed one.
const RETRY_PAUSE: Duration = Duration::from_millis(50);

/// Interval at which a node that follows the store looks whether it still has to.
const OWN_PAUSE: Duration = Duration::from_millis(250);

/// What is known of the freshness of the node's beliefs.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct StoreFreshness {
    /// When the store last told of configurations, by way of peers or not.
    pub(crate) configuration: BootTime,
    /// When it last told of servers.
    pub(crate) servers: BootTime,
}

impl StoreFreshness {
    /// Age of the older of the two.
    pub(crate) fn age(&self, now: BootTime) -> Duration {
        now.since(self.configuration.min(self.servers))
    }
}

/// Whether this node follows the store for its zone.
pub(crate) fn is_follower(gateway: &Gateway) -> bool {
    gateway.state.borrow().peers.follower(BootTime::now()) == StoreFollower::Own
}

/// Whether this node has to call the store: no peer does it for the node, or
/// what the peer says is stale.
pub(crate) fn must_call_store(gateway: &Gateway) -> bool {
    let now = BootTime::now();
    let age = gateway.state.borrow().freshness.age(now);
    // A node that has just started hears from its peer first.
    let stale = now.since(gateway.started) > START_PATIENCE && age > STALE;
    stale || is_follower(gateway)
}

/// The peer that this node asks for news of the store, if any.
fn news_source(gateway: &Gateway) -> Option<Arc<str>> {
    let now = BootTime::now();
    let state = gateway.state.borrow();
    match state.peers.follower(now) {
        StoreFollower::Peer(peer) => Some(peer),
        StoreFollower::Own if state.directory.is_store_failing() => state.peers.substitute(now),
        StoreFollower::Own => None,
    }
}

/// Asks the peer that follows the store, for as long as the process lives.
pub(crate) async fn follow_peer(gateway: Rc<Gateway>) {
    let mut known = FollowCall { life: 0, servers: 0, nodes: 0, version: 0 };
    let mut asked = None;
    loop {
        let Some(peer) = news_source(&gateway) else {
            sleep(OWN_PAUSE).await;
            continue;
        };
        if asked.as_ref() != Some(&peer) {
            info!(peer = peer.as_ref(); "learning of the store from a peer");
            known.life = 0;
            asked = Some(peer.clone());
        }
        let address = gateway.state.borrow().peers.address(&peer);
        let Some(address) = address else { continue };
        known.version = gateway.state.borrow().configuration.version;
        let call = PeerCall::Follow(known.clone());
        let called = BootTime::now();
        let calling = gateway.peer_pool.call_typed(address, &call);
        match timeout(NEWS_WAIT + CALL_TIMEOUT, calling).await {
            Ok(Ok(PeerAnswer::News(news))) => {
                let is_own = news.source.as_ref() == Some(&gateway.state.borrow().peers.own().name);
                let is_stale = news.age > STALE;
                known.life = news.life;
                known.servers = news.servers.number;
                known.nodes = news.node_number;
                let age_ms = news.age.as_millis() as u64;
                take_news(&gateway, called, *news);
                if is_own || is_stale {
                    pass_over(&gateway, &peer, age_ms, is_own);
                }
            }
            Ok(Ok(PeerAnswer::NoNews(age))) => {
                pass_over(&gateway, &peer, age.as_millis() as u64, false);
            }
            Ok(Ok(_)) => lose_peer(&gateway, &peer, "it is stopping").await,
            Ok(Err(error)) => lose_peer(&gateway, &peer, &error.to_string()).await,
            Err(_) => lose_peer(&gateway, &peer, "it is silent").await,
        }
    }
}

fn pass_over(gateway: &Gateway, peer: &str, age_ms: u64, source_is_own: bool) {
    info!(
        peer = peer, age_ms = age_ms, source_is_own = source_is_own;
        "a peer has no news of the store"
    );
    gateway.state.borrow_mut().peers.has_no_news(BootTime::now(), peer);
}

async fn lose_peer(gateway: &Gateway, peer: &str, reason: &str) {
    warn!(peer = peer, reason = reason; "no news of the store from a peer");
    gateway.state.borrow_mut().peers.failed(BootTime::now(), peer);
    sleep(RETRY_PAUSE).await;
}

fn take_news(gateway: &Gateway, called: BootTime, news: StoreNews) {
    let now = BootTime::now();
    // Counted from the call, not from the answer: news that go round among nodes
    // must not become younger by their way.
    let heard = called + news.waited - news.age;
    let changes = {
        let state = &mut *gateway.state.borrow_mut();
        // A peer that has just started may not have a list yet.
        if news.servers.revision == 0 {
            Vec::new()
        } else {
            state.freshness.servers = state.freshness.servers.max(heard);
            state.freshness.configuration = state.freshness.configuration.max(heard);
            state.lifecycle.servers_known();
            state.directory.take_news(now, news.servers)
        }
    };
    gateway.apply_changes(&changes);
    if let Some(nodes) = news.nodes {
        gateway.change_peers(|peers| peers.replace(nodes));
    }
    if let Some((revision, content)) = news.configuration {
        let object = StoredObject::passed_on(CONFIGURATION_NAME, revision, content);
        match object.and_then(|object| Ok((read_configuration(&object)?, object))) {
            Ok((configuration, object)) => gateway.configure(configuration, object),
            Err(error) => warn!(reason:% = error; "a peer's configuration can't be read"),
        }
    }
}

/// Answers a peer that learns of the store from this node.
pub(crate) async fn news_for(gateway: &Gateway, call: FollowCall) -> PeerAnswer {
    let called = BootTime::now();
    let mut changes = gateway.changed.subscribe();
    let same_life = call.life == gateway.life;
    let age = || gateway.state.borrow().freshness.age(BootTime::now());
    let is_news = |_: &u64| {
        if !same_life {
            return age() <= STALE;
        }
        let state = gateway.state.borrow();
        call.servers != state.directory.number()
            || call.nodes != state.node_number
            || call.version < state.configuration.version
    };
    // Without news the answer still tells how fresh the node's knowledge is.
    let _ = timeout(NEWS_WAIT, changes.wait_for(is_news)).await;
    // A whole list is long, and worth nothing if it is old.
    if !same_life && age() > STALE {
        return PeerAnswer::NoNews(age());
    }
    let source = news_source(gateway);
    let state = gateway.state.borrow();
    let now = BootTime::now();
    let mut nodes: Vec<_> = state.peers.entries().cloned().collect();
    nodes.push(state.peers.own().clone());
    let later = call.version < state.configuration.version;
    let object = state.configuration_object.as_ref().filter(|_| later);
    PeerAnswer::News(Box::new(StoreNews {
        life: gateway.life,
        age: state.freshness.age(now),
        waited: now.since(called),
        source,
        servers: state.directory.news_after(same_life.then_some(call.servers)),
        node_number: state.node_number,
        nodes: (!same_life || call.nodes != state.node_number).then_some(nodes),
        configuration: object.map(|object| (object.revision, object.content.get().to_owned())),
    }))
}
