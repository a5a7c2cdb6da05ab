//! Registers this node in the platform's store and deregisters it at shutdown.

use std::{rc::Rc, time::Duration};

use bytes::Bytes;
use carobstep_platform::{
    NODE_KIND, ObjectRequest, collection_path, headers, read_node, read_object, removal_path,
    write_node,
};
use carobstep_store::ReplyParts;
use carobstep_tier::{PeerEntry, StoreRevision};
use http::{Method, Request, StatusCode, header};
use http_body_util::Full;
use log::{info, warn};
use rand::RngExt;
use tokio::{task::spawn_local, time::sleep};

use crate::gateway::Gateway;

/// Timeout of one call to the store.
const CALL_TIMEOUT: Duration = Duration::from_millis(1_000);

/// Pause after a failed call.
const RETRY_PAUSE: Duration = Duration::from_millis(1_000);

/// Longest pause after repeatedly failed calls.
const MAX_RETRY_PAUSE: Duration = Duration::from_secs(30);

/// Shortest time over which the nodes spread their calls when their entries are gone.
const MIN_SPREAD_TIME: Duration = Duration::from_millis(1_000);

/// Time over which they are spread for each node, since all entries may be gone at once.
const SPREAD_TIME_PER_NODE: Duration = Duration::from_millis(10);

/// Registers the node in a background task, with retries.
pub(crate) fn register(gateway: &Rc<Gateway>) {
    gateway.state.borrow_mut().registration.on_write_started();
    register_after(gateway, Duration::ZERO);
}

fn register_after(gateway: &Rc<Gateway>, delay: Duration) {
    let gateway = gateway.clone();
    spawn_local(async move {
        sleep(delay).await;
        let mut pause = RETRY_PAUSE;
        while !gateway.state.borrow().lifecycle.is_stopping() {
            match write_node_object(&gateway).await {
                Ok(revision) => {
                    info!(era = revision.era, revision = revision.number; "registered");
                    if !gateway.state.borrow_mut().registration.on_written(revision) {
                        return;
                    }
                }
                Err(reason) => {
                    warn!(
                        reason = reason.as_str();
                        "registration in the store failed; other nodes delegate no searches to \
                         this node until it succeeds"
                    );
                }
            }
            sleep(pause.mul_f64(rand::rng().random_range(0.5..1.5))).await;
            pause = (pause * 2).min(MAX_RETRY_PAUSE);
        }
    });
}

/// Registers the node again if its entry is not in `nodes`, a complete list of the nodes as
/// of a revision of the store. The store may have been restored from a copy that lacks it.
pub(crate) fn check_registration(
    gateway: &Rc<Gateway>,
    revision: StoreRevision,
    nodes: &[(StoreRevision, PeerEntry)],
) {
    let is_gone = {
        let state = &mut *gateway.state.borrow_mut();
        let own = &state.peers.own().name;
        !nodes.iter().any(|(_, node)| node.name == *own) && state.registration.on_missing(revision)
    };
    if is_gone {
        register_again(gateway, revision);
    }
}

/// Registers the node again if the entry that was removed is its own: an earlier process may
/// have removed it, by a call that the store executed late.
pub(crate) fn check_removal(gateway: &Rc<Gateway>, revision: StoreRevision, name: &str) {
    let is_gone = {
        let state = &mut *gateway.state.borrow_mut();
        *name == *state.peers.own().name && state.registration.on_removed(revision)
    };
    if is_gone {
        register_again(gateway, revision);
    }
}

fn register_again(gateway: &Rc<Gateway>, revision: StoreRevision) {
    if gateway.state.borrow().lifecycle.is_stopping() {
        return;
    }
    warn!(
        era = revision.era, revision = revision.number;
        "the entry of this node is gone; registering again"
    );
    let nodes = gateway.state.borrow().peers.live_nodes();
    let spread = MIN_SPREAD_TIME + SPREAD_TIME_PER_NODE * nodes;
    let fraction = rand::rng().random_range(0.0..1.0);
    register_after(gateway, spread.mul_f64(fraction));
}

/// Deletes the node's object, so that peers no longer follow the node or delegate searches
/// to it. A call that the store executes late must not remove the entry that the next
/// process has written.
pub(crate) async fn deregister(gateway: &Gateway) {
    let name = gateway.settings.node.as_str();
    let revision = {
        let state = gateway.state.borrow();
        // In a restored store, the entry may have another revision.
        let era = state.directory.revision().era;
        state.registration.revision().filter(|written| written.era == era).map(|it| it.number)
    };
    let path = removal_path(NODE_KIND, name, revision);
    if let Err(reason) = send(gateway, Method::DELETE, path, Vec::new()).await {
        warn!(reason = reason.as_str(); "deregistration failed; the node's entry stays in the store");
    }
}

/// Creates the node's object, or replaces the one left by an earlier process. Returns the
/// revision of the object; its number is zero if the store does not tell.
async fn write_node_object(gateway: &Gateway) -> Result<StoreRevision, String> {
    let own = gateway.state.borrow().peers.own().clone();
    let body = write_node(&own).map_err(|error| error.to_string())?;
    let reply = send(gateway, Method::POST, collection_path(NODE_KIND), body.clone()).await?;
    if reply.status != StatusCode::CONFLICT {
        return revision_of_write(&reply);
    }
    // A process that crashed has left the same object, which needs no second call.
    let stored = read_object(&reply.body).and_then(|object| read_node(&object));
    if stored.is_ok_and(|node| node == own) {
        return revision_of(&reply);
    }
    let object_path = ObjectRequest::Get { kind: NODE_KIND, name: &own.name }.path();
    revision_of_write(&send(gateway, Method::PUT, object_path, body).await?)
}

fn revision_of_write(reply: &ReplyParts) -> Result<StoreRevision, String> {
    if !reply.status.is_success() {
        return Err(format!("status {}", reply.status));
    }
    revision_of(reply)
}

fn revision_of(reply: &ReplyParts) -> Result<StoreRevision, String> {
    let era = headers::store_era(&reply.headers).map_err(|error| error.to_string())?;
    let number = read_object(&reply.body).map_or(0, |object| object.revision);
    Ok(StoreRevision { era, number })
}

pub(crate) async fn send(
    gateway: &Gateway,
    method: Method,
    path: String,
    body: Vec<u8>,
) -> Result<ReplyParts, String> {
    let request = Request::builder()
        .method(method)
        .uri(path)
        .header(header::HOST, gateway.store.address().to_string())
        .header(header::CONTENT_TYPE, "application/json")
        .body(Full::new(Bytes::from(body)))
        .map_err(|error| error.to_string())?;
    let reply = gateway.store.call(request, CALL_TIMEOUT).await;
    gateway.reporter.count_store_call(reply.is_ok());
    reply.map_err(|error| error.to_string())
}
