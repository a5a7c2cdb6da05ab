//! Answers the requests of the object API and of the control paths.

use std::{future::pending, sync::Arc, time::Duration};

use bytes::{Bytes, BytesMut};
use carobstep_store::{MAX_VALUE_BYTES, ObjectKind, ObjectVersion, VmRecord};
use http::{HeaderValue, Method, Request, Response, StatusCode, header, request};
use hyper::body::Incoming;
use tokio::time::{Instant, sleep};

use super::{
    faults::PlatformFaultsPatch,
    objects::ObjectEntry,
    request::ApiRequest,
    state::{ConnectionState, PlatformState},
    watch,
};
use crate::http::{ConnectionDropped, Reply, ReplyBody, empty, json, problem, raw_json, read_body};

/// Largest body of a control request.
const MAX_CONTROL_BYTES: usize = 64 * 1024;

/// Answers one request.
pub(crate) async fn answer(
    state: &Arc<PlatformState>,
    connection: &ConnectionState,
    request: Request<Incoming>,
) -> Reply {
    let (parts, body) = request.into_parts();
    if let Some(path) = parts.uri.path().strip_prefix("/standin/") {
        connection.set_control();
        return Ok(control(state, &parts.method, path, body).await);
    }
    let zone = zone_of(&parts);
    connection.set_zone(zone);
    let faults = state.faults();
    if faults.severs(zone) {
        state.counter().report.dropped += 1;
        return Err(ConnectionDropped);
    }
    if faults.silences(zone) {
        state.counter().report.dropped += 1;
        return pending().await;
    }
    let api_request = match ApiRequest::try_from(&parts) {
        Ok(api_request) => api_request,
        Err(error) => return Ok(problem(error.status, &error.detail)),
    };
    let value = match read_body(body, MAX_VALUE_BYTES).await {
        Ok(value) => value,
        Err(refusal) => return Ok(refusal),
    };
    state.delay().await;
    state.counter().count(api_request.method(), api_request.kind(), zone, Instant::now());
    carry_out(state, zone, api_request, value)
}

fn zone_of(parts: &request::Parts) -> Option<&str> {
    parts.headers.get("x-zone").and_then(|zone| zone.to_str().ok())
}

fn carry_out(
    state: &Arc<PlatformState>,
    zone: Option<&str>,
    request: ApiRequest,
    value: Bytes,
) -> Reply {
    match request {
        ApiRequest::Get { kind, name } => Ok(get(state, kind, &name)),
        ApiRequest::List { kind } => Ok(list(state, kind)),
        ApiRequest::Vms => Ok(json(StatusCode::OK, &serde_json::json!({"vms": state.read_vms()}))),
        ApiRequest::Watch { kind, after } => Ok(match watch::start(state, zone, kind, after) {
            Ok(body) => Response::new(body),
            Err(_) => problem(StatusCode::GONE, "the version is too old"),
        }),
        ApiRequest::Put { .. } | ApiRequest::Delete { .. } => write(state, request, value),
    }
}

fn get(state: &PlatformState, kind: ObjectKind, name: &str) -> Response<ReplyBody> {
    let entry = state.table().get(kind, name).cloned();
    match entry {
        Some(ObjectEntry { version, value }) => with_tag(raw_json(StatusCode::OK, value), version),
        None => problem(StatusCode::NOT_FOUND, "no such object"),
    }
}

fn list(state: &PlatformState, kind: ObjectKind) -> Response<ReplyBody> {
    let table = state.table();
    let (version, items) = table.list(kind);
    let mut body = BytesMut::from(format!("{{\"version\":{},\"items\":[", version.0).as_bytes());
    for (index, (name, entry)) in items.enumerate() {
        let comma = if index == 0 { "" } else { "," };
        let head =
            format!("{comma}{{\"name\":\"{name}\",\"version\":{},\"value\":", entry.version.0);
        body.extend_from_slice(head.as_bytes());
        body.extend_from_slice(&entry.value);
        body.extend_from_slice(b"}");
    }
    body.extend_from_slice(b"]}");
    raw_json(StatusCode::OK, body.freeze())
}

/// Carries out a write, at once or late, with or without an answer.
fn write(state: &Arc<PlatformState>, request: ApiRequest, value: Bytes) -> Reply {
    let is_put = matches!(request, ApiRequest::Put { .. });
    if is_put && serde_json::from_slice::<serde::de::IgnoredAny>(&value).is_err() {
        return Ok(problem(StatusCode::BAD_REQUEST, "the value is not JSON"));
    }
    let late = state.faults().delay_writes_ms;
    if late > 0 {
        let state = Arc::clone(state);
        tokio::spawn(async move {
            sleep(Duration::from_millis(late)).await;
            apply_write(&state, request, value);
        });
        return Err(ConnectionDropped);
    }
    let response = apply_write(state, request, value);
    if response.status().is_success() && state.take_lost_answer() {
        return Err(ConnectionDropped);
    }
    Ok(response)
}

fn apply_write(state: &PlatformState, request: ApiRequest, value: Bytes) -> Response<ReplyBody> {
    let written = match request {
        ApiRequest::Put { kind, name, condition } => {
            state.table().put(kind, &name, condition, value).map(Some)
        }
        ApiRequest::Delete { kind, name, at } => {
            state.table().delete(kind, &name, at).map(|()| None)
        }
        _ => return empty(StatusCode::INTERNAL_SERVER_ERROR),
    };
    state.wake_watches();
    match written {
        Ok(Some(version)) => with_tag(empty(StatusCode::OK), version),
        Ok(None) => empty(StatusCode::NO_CONTENT),
        Err(_) => {
            state.counter().report.conflicts += 1;
            problem(StatusCode::PRECONDITION_FAILED, "the condition does not hold")
        }
    }
}

fn with_tag(mut response: Response<ReplyBody>, version: ObjectVersion) -> Response<ReplyBody> {
    if let Ok(tag) = HeaderValue::from_str(&format!("\"{}\"", version.0)) {
        response.headers_mut().insert(header::ETAG, tag);
    }
    response
}

async fn control(
    state: &PlatformState,
    method: &Method,
    path: &str,
    body: Incoming,
) -> Response<ReplyBody> {
    let body = match read_body(body, MAX_CONTROL_BYTES).await {
        Ok(body) => body,
        Err(refusal) => return refusal,
    };
    let segments: Vec<&str> = path.split('/').collect();
    match (method, segments.as_slice()) {
        (&Method::GET, ["calls"]) => json(StatusCode::OK, &state.report()),
        (&Method::GET, ["faults"]) => json(StatusCode::OK, &state.faults()),
        (&Method::POST, ["faults"]) => change_faults(state, &body),
        (&Method::PUT, ["vms", name]) => put_vm(state, name, &body),
        (&Method::DELETE, ["vms", name]) => {
            state.remove_vm(name);
            empty(StatusCode::NO_CONTENT)
        }
        _ => problem(StatusCode::NOT_FOUND, "no such control path"),
    }
}

fn change_faults(state: &PlatformState, body: &[u8]) -> Response<ReplyBody> {
    match serde_json::from_slice::<PlatformFaultsPatch>(body) {
        Ok(patch) => {
            state.apply_faults(patch);
            json(StatusCode::OK, &state.faults())
        }
        Err(error) => problem(StatusCode::BAD_REQUEST, &error.to_string()),
    }
}

fn put_vm(state: &PlatformState, name: &str, body: &[u8]) -> Response<ReplyBody> {
    match serde_json::from_slice::<VmRecord>(body) {
        Ok(vm) if vm.name == name => {
            state.put_vm(vm);
            empty(StatusCode::NO_CONTENT)
        }
        Ok(vm) => {
            let detail = format!("the path names VM {name:?}, the body {:?}", vm.name);
            problem(StatusCode::BAD_REQUEST, &detail)
        }
        Err(error) => problem(StatusCode::BAD_REQUEST, &error.to_string()),
    }
}
