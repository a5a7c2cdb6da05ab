//! Registers this node in the platform's store and deregisters it at shutdown.

use std::{rc::Rc, time::Duration};

use bytes::Bytes;
use carobstep_platform::{NODE_KIND, ObjectRequest, collection_path, write_node};
use http::{Method, Request, StatusCode, header};
use http_body_util::Full;
use log::{info, warn};
use tokio::{task::spawn_local, time::sleep};

use crate::gateway::Gateway;

/// Timeout of one call to the store.
const CALL_TIMEOUT: Duration = Duration::from_millis(1_000);

/// Pause after a failed call.
const RETRY_PAUSE: Duration = Duration::from_millis(1_000);

/// Maximum number of registration attempts. After that the node runs unregistered,
/// and other nodes delegate no searches to it.
const MAX_TRIES: u32 = 30;

/// Registers the node in a background task, with retries.
pub(crate) fn register(gateway: &Rc<Gateway>) {
    let gateway = gateway.clone();
    spawn_local(async move {
        for _ in 0..MAX_TRIES {
            match write_node_object(&gateway).await {
                Ok(()) => {
                    info!("registered");
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

/// Deletes the node's object, so that peers no longer follow the node or
/// delegate searches to it.
pub(crate) async fn deregister(gateway: &Gateway) {
    let name = gateway.settings.node.as_str();
    let path = ObjectRequest::Get { kind: NODE_KIND, name }.path();
    if let Err(reason) = send(gateway, Method::DELETE, path, Vec::new()).await {
        warn!(reason = reason.as_str(); "deregistration failed; the node's entry stays in the store");
    }
}

/// Creates the node's object, or replaces the one left by an earlier process.
async fn write_node_object(gateway: &Gateway) -> Result<(), String> {
    let own = gateway.state.borrow().peers.own().clone();
    let body = write_node(&own).map_err(|error| error.to_string())?;
    let status = send(gateway, Method::POST, collection_path(NODE_KIND), body.clone()).await?;
    if status.is_success() {
        return Ok(());
    }
    if status != StatusCode::CONFLICT {
        return Err(format!("status {status}"));
    }
    let object_path = ObjectRequest::Get { kind: NODE_KIND, name: &own.name }.path();
    let status = send(gateway, Method::PUT, object_path, body).await?;
    if status.is_success() { Ok(()) } else { Err(format!("status {status}")) }
}

async fn send(
    gateway: &Gateway,
    method: Method,
    path: String,
    body: Vec<u8>,
) -> Result<StatusCode, String> {
    let request = Request::builder()
        .method(method)
        .uri(path)
        .header(header::HOST, gateway.store.address().to_string())
        .header(header::CONTENT_TYPE, "application/json")
        .body(Full::new(Bytes::from(body)))
        .map_err(|error| error.to_string())?;
    let reply = gateway.store.call(request, CALL_TIMEOUT).await;
    gateway.reporter.count_store_call(reply.is_ok());
    reply.map(|reply| reply.status).map_err(|error| error.to_string())
}
