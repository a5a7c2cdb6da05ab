//! Writes and removals of this node's objects in the platform's store.
//!
//! The store may execute a call that it didn't answer seconds later, when another process
//! has written the object. Replacements and removals therefore name the revision that they
//! are meant for.

use std::time::Duration;

use bytes::Bytes;
use carobstep_platform::{
    ObjectRequest, StoredObject, collection_path, conditional_path, headers, read_object,
};
use carobstep_store::ReplyParts;
use carobstep_tier::StoreRevision;
use http::{Method, Request, StatusCode, header};
use http_body_util::Full;

use crate::gateway::Gateway;

/// Timeout of one call to the store.
const CALL_TIMEOUT: Duration = Duration::from_millis(1_000);

/// An object in the store that a write would replace.
pub(crate) struct ExistingObject {
    pub(crate) object: StoredObject,
    /// Revision of its last change.
    pub(crate) revision: StoreRevision,
}

/// Outcome of creating an object.
pub(crate) enum Creation {
    /// The object was created; the number of the revision is zero if the store doesn't tell.
    Created(StoreRevision),
    /// An object of that name exists.
    Exists(ExistingObject),
}

/// Creates an object, unless there is one.
pub(crate) async fn create_object(
    gateway: &Gateway,
    kind: &str,
    body: Vec<u8>,
) -> Result<Creation, String> {
    let reply = send(gateway, Method::POST, collection_path(kind), body).await?;
    if reply.status != StatusCode::CONFLICT {
        return Ok(Creation::Created(revision_of_write(&reply)?));
    }
    let object = read_object(&reply.body).map_err(|error| error.to_string())?;
    Ok(Creation::Exists(ExistingObject { object, revision: revision_of(&reply)? }))
}

/// Replaces an object if it still has the number of a revision. Returns the revision of the
/// write; `None` if the object is gone.
pub(crate) async fn replace_object(
    gateway: &Gateway,
    (kind, name): (&str, &str),
    number: u64,
    body: Vec<u8>,
) -> Result<Option<StoreRevision>, String> {
    let path = conditional_path(kind, name, number);
    let reply = send(gateway, Method::PUT, path, body).await?;
    if reply.status == StatusCode::NOT_FOUND {
        return Ok(None);
    }
    revision_of_write(&reply).map(Some)
}

/// Removes an object if it still has the number of a revision; one that has another belongs
/// to somebody else. Without a number, the object as it is now is removed.
pub(crate) async fn remove_object(
    gateway: &Gateway,
    (kind, name): (&str, &str),
    number: Option<u64>,
) -> Result<(), String> {
    let number = match number {
        Some(number) => number,
        None => {
            let path = ObjectRequest::Get { kind, name }.path();
            let reply = send(gateway, Method::GET, path, Vec::new()).await?;
            if reply.status == StatusCode::NOT_FOUND {
                return Ok(());
            }
            revision_of_write(&reply)?.number
        }
    };
    let path = conditional_path(kind, name, number);
    let reply = send(gateway, Method::DELETE, path, Vec::new()).await?;
    let is_gone = matches!(reply.status, StatusCode::NOT_FOUND | StatusCode::CONFLICT);
    if reply.status.is_success() || is_gone {
        return Ok(());
    }
    Err(format!("status {}", reply.status))
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

/// Calls the store.
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
