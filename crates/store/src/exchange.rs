//! Conversion between object calls and HTTP requests and replies.

use bytes::Bytes;
use http::{HeaderMap, Method, Request, StatusCode, header};
use http_body_util::Full;
use serde::Deserialize;

use crate::call::{
    ObjectCall, ObjectKind, ObjectReply, ObjectVersion, StoreError, StoreErrorKind, StoredObject,
    VmRecord, WriteCondition, is_object_name,
};
use crate::transport::ReplyParts;

/// Largest accepted value of an object, in bytes of JSON.
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

/// Encodes a call as an HTTP request.
pub(crate) fn encode_call(call: &ObjectCall) -> Result<Request<Full<Bytes>>, StoreError> {
    match call {
        ObjectCall::Get { kind, name } => {
            build_request(Method::GET, &object_path(*kind, name)?, None, Bytes::new())
        }
        ObjectCall::List { kind } => {
            build_request(Method::GET, &format!("/objects/{kind}"), None, Bytes::new())
        }
        ObjectCall::Put { kind, name, condition, value } => {
            let path = object_path(*kind, name)?;
            let body = serde_json::to_vec(value).map_err(|error| rejected(&error.to_string()))?;
            if body.len() > MAX_VALUE_BYTES {
                let message = format!(
                    "value of {kind}/{name} has {} bytes; the limit is {MAX_VALUE_BYTES}",
                    body.len()
                );
                return Err(rejected(&message));
            }
            build_request(Method::PUT, &path, Some(*condition), body.into())
        }
        ObjectCall::Delete { kind, name, at } => {
            let condition = Some(WriteCondition::At(*at));
            build_request(Method::DELETE, &object_path(*kind, name)?, condition, Bytes::new())
        }
        ObjectCall::ListVms => build_request(Method::GET, "/vms", None, Bytes::new()),
    }
}

/// Encodes the start of a watch as an HTTP request.
pub(crate) fn encode_watch(
    kind: ObjectKind,
    after: ObjectVersion,
) -> Result<Request<Full<Bytes>>, StoreError> {
    build_request(Method::GET, &format!("/watch/{kind}?after={}", after.0), None, Bytes::new())
}

fn build_request(
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
        let message = format!("object name {name:?} is not a valid path segment");
        return Err(rejected(&message));
    }
    Ok(format!("/objects/{kind}/{name}"))
}

/// Decodes the HTTP reply to a call.
pub(crate) fn decode_reply(
    call: &ObjectCall,
    reply: &ReplyParts,
) -> Result<ObjectReply, StoreError> {
    match (call, reply.status) {
        (ObjectCall::Get { name, .. }, StatusCode::OK) => {
            let version = parse_etag(call, &reply.headers)?;
            let value = parse_body(call, &reply.body)?;
            Ok(ObjectReply::Found(StoredObject { name: name.clone(), version, value }))
        }
        (ObjectCall::Get { .. }, StatusCode::NOT_FOUND) => Ok(ObjectReply::Missing),
        (ObjectCall::List { .. }, StatusCode::OK) => {
            let body: ListBody = parse_body(call, &reply.body)?;
            let items = body.items.into_iter().map(StoredObject::from).collect();
            Ok(ObjectReply::Listed { version: body.version, items })
        }
        (ObjectCall::Put { .. }, StatusCode::OK) => {
            parse_etag(call, &reply.headers).map(ObjectReply::Written)
        }
        (ObjectCall::Delete { .. }, StatusCode::NO_CONTENT) => Ok(ObjectReply::Deleted),
        (ObjectCall::Delete { .. }, StatusCode::NOT_FOUND)
        | (ObjectCall::Put { .. } | ObjectCall::Delete { .. }, StatusCode::PRECONDITION_FAILED) => {
            Ok(ObjectReply::ConditionFailed)
        }
        (ObjectCall::ListVms, StatusCode::OK) => {
            let body: VmsBody = parse_body(call, &reply.body)?;
            Ok(ObjectReply::Vms(body.vms))
        }
        (_, status) => Err(status_error(&describe(call), status)),
    }
}

/// Returns an error unless `status` says that the watch has started.
pub(crate) fn check_watch(
    kind: ObjectKind,
    after: ObjectVersion,
    status: StatusCode,
) -> Result<(), StoreError> {
    let subject = format!("watch {kind} after {}", after.0);
    match status {
        StatusCode::OK => Ok(()),
        StatusCode::GONE => {
            let message =
                format!("{subject}: the platform no longer has the changes since this version");
            Err(StoreError::new(StoreErrorKind::VersionGone, message))
        }
        _ => Err(status_error(&subject, status)),
    }
}

/// Returns the error for an unexpected status.
///
/// A 4xx status means that the platform rejected the call. After any other
/// status, a write may have taken effect.
fn status_error(subject: &str, status: StatusCode) -> StoreError {
    let kind = if status.is_client_error() {
        StoreErrorKind::Rejected
    } else {
        StoreErrorKind::AnswerLost
    };
    StoreError::new(kind, format!("{subject}: status {status}"))
}

fn parse_etag(call: &ObjectCall, headers: &HeaderMap) -> Result<ObjectVersion, StoreError> {
    let tag = headers.get(header::ETAG).and_then(|tag| tag.to_str().ok());
    let digits = tag.and_then(|tag| tag.strip_prefix('"')?.strip_suffix('"'));
    let version = digits.and_then(|digits| digits.parse().ok()).map(ObjectVersion);
    version.ok_or_else(|| {
        malformed_reply(call, &format!("entity tag {tag:?} is not an object version"))
    })
}

fn parse_body<T: serde::de::DeserializeOwned>(
    call: &ObjectCall,
    body: &[u8],
) -> Result<T, StoreError> {
    serde_json::from_slice(body).map_err(|error| malformed_reply(call, &error.to_string()))
}

/// Returns the error for a malformed reply, after which a write may have taken
/// effect.
fn malformed_reply(call: &ObjectCall, reason: &str) -> StoreError {
    let message = format!("{}: malformed reply: {reason}", describe(call));
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
