//! Translation between object calls and HTTP messages.

use bytes::Bytes;
use http::{HeaderMap, Method, Request, StatusCode, header};
use http_body_util::Full;
use serde::Deserialize;

use crate::call::{
    ObjectCall, ObjectKind, ObjectReply, ObjectVersion, StoreError, StoreErrorKind, StoredObject,
    VmRecord, WriteCondition, is_object_name,
};
use crate::transport::ReplyParts;

/// Largest accepted value of an object, as JSON.
pub const MAX_VALUE_BYTES: usize = 1024 * 1024;

#[derive(Deserialize)]
struct ListBody {
    version: ObjectVersion,
    items: Vec<ListItem>,
}

#[derive(Deserialize)]
struct ListItem {
    name: String,
    version: ObjectVersion,
    value: serde_json::Value,
}

#[derive(Deserialize)]
struct VmsBody {
    vms: Vec<VmRecord>,
}

/// Builds the HTTP request of a call.
pub(crate) fn request_of(call: &ObjectCall) -> Result<Request<Full<Bytes>>, StoreError> {
    match call {
        ObjectCall::Get { kind, name } => {
            build(Method::GET, &object_path(*kind, name)?, None, Bytes::new())
        }
        ObjectCall::List { kind } => {
            build(Method::GET, &format!("/objects/{kind}"), None, Bytes::new())
        }
        ObjectCall::Put { kind, name, condition, value } => {
            let path = object_path(*kind, name)?;
            let body = serde_json::to_vec(value).map_err(|error| rejected(&error.to_string()))?;
            if body.len() > MAX_VALUE_BYTES {
                let message = format!(
                    "value of {kind}/{name} has {} bytes, more than {MAX_VALUE_BYTES}",
                    body.len()
                );
                return Err(rejected(&message));
            }
            build(Method::PUT, &path, Some(*condition), body.into())
        }
        ObjectCall::Delete { kind, name, at } => {
            let condition = Some(WriteCondition::At(*at));
            build(Method::DELETE, &object_path(*kind, name)?, condition, Bytes::new())
        }
        ObjectCall::ListVms => build(Method::GET, "/vms", None, Bytes::new()),
    }
}

/// Builds the HTTP request of a watch.
pub(crate) fn watch_request(
    kind: ObjectKind,
    after: ObjectVersion,
) -> Result<Request<Full<Bytes>>, StoreError> {
    build(Method::GET, &format!("/watch/{kind}?after={}", after.0), None, Bytes::new())
}

fn build(
    method: Method,
    path: &str,
    condition: Option<WriteCondition>,
    body: Bytes,
) -> Result<Request<Full<Bytes>>, StoreError> {
    let mut builder = Request::builder().method(method).uri(path);
    builder = match condition {
        Some(WriteCondition::Absent) => builder.header(header::IF_NONE_MATCH, "*"),
        Some(WriteCondition::At(version)) => {
            builder.header(header::IF_MATCH, format!("\"{}\"", version.0))
        }
        None => builder,
    };
    if !body.is_empty() {
        builder = builder.header(header::CONTENT_TYPE, "application/json");
    }
    builder.body(Full::new(body)).map_err(|error| rejected(&format!("path {path:?}: {error}")))
}

fn object_path(kind: ObjectKind, name: &str) -> Result<String, StoreError> {
    if !is_object_name(name) {
        let message = format!("object name {name:?} does not fit into a path segment");
        return Err(rejected(&message));
    }
    Ok(format!("/objects/{kind}/{name}"))
}

/// Reads the reply of a call.
pub(crate) fn reply_of(call: &ObjectCall, reply: &ReplyParts) -> Result<ObjectReply, StoreError> {
    match (call, reply.status) {
        (ObjectCall::Get { name, .. }, StatusCode::OK) => {
            let version = version_of(call, &reply.headers)?;
            let value = parse(call, &reply.body)?;
            Ok(ObjectReply::Found(StoredObject { name: name.clone(), version, value }))
        }
        (ObjectCall::Get { .. }, StatusCode::NOT_FOUND) => Ok(ObjectReply::Missing),
        (ObjectCall::List { .. }, StatusCode::OK) => {
            let body: ListBody = parse(call, &reply.body)?;
            let items = body.items.into_iter().map(StoredObject::from).collect();
            Ok(ObjectReply::Listed { version: body.version, items })
        }
        (ObjectCall::Put { .. }, StatusCode::OK) => {
            version_of(call, &reply.headers).map(ObjectReply::Written)
        }
        (ObjectCall::Delete { .. }, StatusCode::NO_CONTENT) => Ok(ObjectReply::Deleted),
        (ObjectCall::Delete { .. }, StatusCode::NOT_FOUND)
        | (ObjectCall::Put { .. } | ObjectCall::Delete { .. }, StatusCode::PRECONDITION_FAILED) => {
            Ok(ObjectReply::ConditionFailed)
        }
        (ObjectCall::ListVms, StatusCode::OK) => {
            let body: VmsBody = parse(call, &reply.body)?;
            Ok(ObjectReply::Vms(body.vms))
        }
        (_, status) => Err(status_error(&describe(call), status)),
    }
}

/// Checks the status of a watch before its body is read.
pub(crate) fn check_watch(
    kind: ObjectKind,
    after: ObjectVersion,
    status: StatusCode,
) -> Result<(), StoreError> {
    let subject = format!("watch {kind} after {}", after.0);
    match status {
        StatusCode::OK => Ok(()),
        StatusCode::GONE => {
            let message = format!("{subject}: the version is too old");
            Err(StoreError::new(StoreErrorKind::VersionGone, message))
        }
        _ => Err(status_error(&subject, status)),
    }
}

/// A client error is final; after any other status a write may have happened.
fn status_error(subject: &str, status: StatusCode) -> StoreError {
    let kind = if status.is_client_error() {
        StoreErrorKind::Rejected
    } else {
        StoreErrorKind::AnswerLost
    };
    StoreError::new(kind, format!("{subject}: status {status}"))
}

fn version_of(call: &ObjectCall, headers: &HeaderMap) -> Result<ObjectVersion, StoreError> {
    let tag = headers.get(header::ETAG).and_then(|tag| tag.to_str().ok());
    let digits = tag.and_then(|tag| tag.strip_prefix('"')?.strip_suffix('"'));
    let version = digits.and_then(|digits| digits.parse().ok()).map(ObjectVersion);
    version.ok_or_else(|| unreadable(call, &format!("entity tag {tag:?} is no version")))
}

fn parse<T: serde::de::DeserializeOwned>(call: &ObjectCall, body: &[u8]) -> Result<T, StoreError> {
    serde_json::from_slice(body).map_err(|error| unreadable(call, &error.to_string()))
}

/// A reply that makes no sense leaves open what the platform did.
fn unreadable(call: &ObjectCall, reason: &str) -> StoreError {
    let message = format!("{}: unreadable reply: {reason}", describe(call));
    StoreError::new(StoreErrorKind::AnswerLost, message)
}

fn rejected(message: &str) -> StoreError {
    StoreError::new(StoreErrorKind::Rejected, message)
}

fn describe(call: &ObjectCall) -> String {
    match call {
        ObjectCall::Get { kind, name } => format!("get {kind}/{name}"),
        ObjectCall::List { kind } => format!("list {kind}"),
        ObjectCall::Put { kind, name, .. } => format!("put {kind}/{name}"),
        ObjectCall::Delete { kind, name, .. } => format!("delete {kind}/{name}"),
        ObjectCall::ListVms => "list VMs".to_owned(),
    }
}

impl From<ListItem> for StoredObject {
    fn from(item: ListItem) -> Self {
        Self { name: item.name, version: item.version, value: item.value }
    }
}
