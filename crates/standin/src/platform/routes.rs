//! Handles the requests of the object API and of the control paths.

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
use crate::http::{
    ConnectionDropped, HandlerResult, ResponseBody, empty, json, problem, raw_json, read_body,
};

/// Largest body of a control request.
const MAX_CONTROL_BYTES: usize = 64 * 1024;

/// Handles one request, subject to the active faults.
pub(crate) async fn handle_request(
    state: &Arc<PlatformState>,
    connection: &ConnectionState,
    request: Request<Incoming>,
) -> HandlerResult {
    let (parts, body) = request.into_parts();
    if let Some(path) = parts.uri.path().strip_prefix("/standin/") {
        connection.mark_as_control();
        return Ok(handle_control(state, &parts.method, path, body).await);
    }
    let zone = client_zone(&parts);
    connection.set_zone(zone);
    let faults = state.faults();
    if faults.drops_connections(zone) {
        state.counter().report.dropped += 1;
        return Err(ConnectionDropped);
    }
    if faults.is_silent(zone) {
        state.counter().report.dropped += 1;
        return pending().await;
    }
    let api_request = match ApiRequest::try_from(&parts) {
        Ok(api_request) => api_request,
        Err(error) => return Ok(problem(error.status, &error.detail)),
    };
    let value = match read_body(body, MAX_VALUE_BYTES).await {
        Ok(value) => value,
        Err(error_response) => return Ok(error_response),
    };
    state.delay().await;
    state.counter().count(api_request.method(), api_request.kind(), zone, Instant::now());
    execute(state, zone, api_request, value)
}

fn client_zone(parts: &request::Parts) -> Option<&str> {
    parts.headers.get("x-zone").and_then(|zone| zone.to_str().ok())
}

fn execute(
    state: &Arc<PlatformState>,
    zone: Option<&str>,
    request: ApiRequest,
    value: Bytes,
) -> HandlerResult {
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

fn get(state: &PlatformState, kind: ObjectKind, name: &str) -> Response<ResponseBody> {
    let entry = state.table().get(kind, name).cloned();
    match entry {
        Some(ObjectEntry { version, value }) => with_etag(raw_json(StatusCode::OK, value), version),
        None => problem(StatusCode::NOT_FOUND, "no such object"),
    }
}

fn list(state: &PlatformState, kind: ObjectKind) -> Response<ResponseBody> {
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

/// Executes a write, delayed or without a response if a fault requires it.
fn write(state: &Arc<PlatformState>, request: ApiRequest, value: Bytes) -> HandlerResult {
    let is_put = matches!(request, ApiRequest::Put { .. });
    if is_put && serde_json::from_slice::<serde::de::IgnoredAny>(&value).is_err() {
        return Ok(problem(StatusCode::BAD_REQUEST, "the value is not JSON"));
    }
    let delay_ms = state.faults().delay_writes_ms;
    if delay_ms > 0 {
        let state = Arc::clone(state);
        tokio::spawn(async move {
            sleep(Duration::from_millis(delay_ms)).await;
            apply_write(&state, request, value);
        });
        return Err(ConnectionDropped);
    }
    let response = apply_write(state, request, value);
    if response.status().is_success() && state.consume_lost_response() {
        return Err(ConnectionDropped);
    }
    Ok(response)
}

fn apply_write(state: &PlatformState, request: ApiRequest, value: Bytes) -> Response<ResponseBody> {
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
        Ok(Some(version)) => with_etag(empty(StatusCode::OK), version),
        Ok(None) => empty(StatusCode::NO_CONTENT),
        Err(_) => {
            state.counter().report.conflicts += 1;
            problem(StatusCode::PRECONDITION_FAILED, "the condition does not hold")
        }
    }
}

fn with_etag(
    mut response: Response<ResponseBody>,
    version: ObjectVersion,
) -> Response<ResponseBody> {
    if let Ok(tag) = HeaderValue::from_str(&format!("\"{}\"", version.0)) {
        response.headers_mut().insert(header::ETAG, tag);
    }
    response
}

async fn handle_control(
    state: &PlatformState,
    method: &Method,
    path: &str,
    body: Incoming,
) -> Response<ResponseBody> {
    let body = match read_body(body, MAX_CONTROL_BYTES).await {
        Ok(body) => body,
        Err(error_response) => return error_response,
    };
    let segments: Vec<&str> = path.split('/').collect();
    match (method, segments.as_slice()) {
        (&Method::GET, ["calls"]) => json(StatusCode::OK, &state.report()),
        (&Method::GET, ["faults"]) => json(StatusCode::OK, &state.faults()),
        (&Method::POST, ["faults"]) => handle_faults_patch(state, &body),
        (&Method::PUT, ["vms", name]) => put_vm(state, name, &body),
        (&Method::DELETE, ["vms", name]) => {
            state.remove_vm(name);
            empty(StatusCode::NO_CONTENT)
        }
        _ => problem(StatusCode::NOT_FOUND, "no such control path"),
    }
}

fn handle_faults_patch(state: &PlatformState, body: &[u8]) -> Response<ResponseBody> {
    match serde_json::from_slice::<PlatformFaultsPatch>(body) {
        Ok(patch) => {
            state.apply_faults(patch);
            json(StatusCode::OK, &state.faults())
        }
        Err(error) => problem(StatusCode::BAD_REQUEST, &error.to_string()),
    }
}

fn put_vm(state: &PlatformState, name: &str, body: &[u8]) -> Response<ResponseBody> {
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
