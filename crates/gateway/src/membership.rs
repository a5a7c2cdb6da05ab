//! Registers this node in the platform's store and deregisters it at shutdown.

use std::{rc::Rc, time::Duration};

use bytes::Bytes;
use carobstep_platform::{
    NODE_KIND, ObjectRequest, collection_path, headers, read_node, read_object, write_node,
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

/// Maximum number of registration attempts. After that the node runs unregistered,
/// and other nodes delegate no searches to it.
const MAX_TRIES: u32 = 30;

/// Longest delay before a node registers again after a restore of the store, so that
/// the calls of all nodes are spread over this time.
const MAX_RESTORE_DELAY: Duration = Duration::from_millis(1_000);

/// Registers the node in a background task, with retries.
pub(crate) fn register(gateway: &Rc<Gateway>) {
    register_after(gateway, Duration::ZERO);
}

fn register_after(gateway: &Rc<Gateway>, delay: Duration) {
    let gateway = gateway.clone();
    spawn_local(async move {
        sleep(delay).await;
        for _ in 0..MAX_TRIES {
            match write_node_object(&gateway).await {
                Ok(era) => {
                    info!(era = era; "registered");
                    let registered_era = &mut gateway.state.borrow_mut().registered_era;
                    *registered_era = (*registered_era).max(Some(era));
                    return;
                }
                Err(reason) => {
                    warn!(
                        reason = reason.as_str();
                        "registration in the store failed; other nodes delegate no searches to \
                         this node until it succeeds"
                    );
                }
            }
            sleep(RETRY_PAUSE).await;
        }
    });
}

/// Registers the node again if the store was restored from a copy that lacks its
/// registration. `nodes` is a complete list of the nodes in an era of the store.
pub(crate) fn check_registration(
    gateway: &Rc<Gateway>,
    era: u64,
    nodes: &[(StoreRevision, PeerEntry)],
) {
    let is_lost = {
        let state = &mut *gateway.state.borrow_mut();
        if state.registered_era.is_none_or(|registered| registered >= era)
            || state.lifecycle.is_stopping()
        {
            return;
        }
        state.registered_era = Some(era);
        !nodes.iter().any(|(_, node)| node.name == state.peers.own().name)
    };
    if is_lost {
        warn!(era = era; "the store was restored and lacks this node; registering again");
        let fraction = rand::rng().random_range(0.0..1.0);
        register_after(gateway, MAX_RESTORE_DELAY.mul_f64(fraction));
    }
}

/// Deletes the node's object, so that peers no longer follow the node or
/// delegate searches to it.
pub(crate) async fn deregister(gateway: &Gateway) {
    let name = gateway.settings.node.as_str();
    let path = ObjectRequest::Get { kind: NODE_KIND, name }.path();
    if let Err(reason) = send(gateway, Method::DELETE, path, Vec::new()).await {
        warn!(reason = reason.as_str(); "deregistration failed; the node's entry stays in the store");
    }
}

/// Creates the node's object, or replaces the one left by an earlier process. Returns
/// the era of the store.
async fn write_node_object(gateway: &Gateway) -> Result<u64, String> {
    let own = gateway.state.borrow().peers.own().clone();
    let body = write_node(&own).map_err(|error| error.to_string())?;
    let reply = send(gateway, Method::POST, collection_path(NODE_KIND), body.clone()).await?;
    if reply.status != StatusCode::CONFLICT {
        return era_of_write(&reply);
    }
    // A process that crashed has left the same object, which needs no second call.
    let stored = read_object(&reply.body).and_then(|object| read_node(&object));
    if stored.is_ok_and(|node| node == own) {
        return era_of(&reply);
    }
    let object_path = ObjectRequest::Get { kind: NODE_KIND, name: &own.name }.path();
    era_of_write(&send(gateway, Method::PUT, object_path, body).await?)
}

fn era_of_write(reply: &ReplyParts) -> Result<u64, String> {
    if !reply.status.is_success() {
        return Err(format!("status {}", reply.status));
    }
    era_of(reply)
}

fn era_of(reply: &ReplyParts) -> Result<u64, String> {
    headers::store_era(&reply.headers).map_err(|error| error.to_string())
}

async fn send(
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
