//! Handles queries and health requests.

use std::{future::pending, sync::Arc, time::Duration};

use bytes::{BufMut, Bytes, BytesMut};
use http::{HeaderMap, HeaderValue, Method, Request, Response, StatusCode, header};
use hyper::body::Incoming;
use serde::de::IgnoredAny;
use tokio::{sync::mpsc, time::Instant};

use super::{
    execution::{self, ExecutionOutcome},
    faults::{HealthState, ServerFaults},
    state::{EchoedFields, ServerState},
};
use crate::http::{
    ChannelBody, ConnectionDropped, HandlerResult, ResponseBody, json, problem, raw_json, read_body,
};

/// Maximum size of a query body.
const MAX_QUERY_BYTES: usize = 1024 * 1024;

/// A query with parsed headers.
struct Query {
    echo: EchoedFields,
    idempotency_key: Option<String>,
    deadline: Option<Instant>,
}

/// Handles one request of the connection `connection_id`, subject to the active faults.
pub(crate) async fn handle_request(
    state: &Arc<ServerState>,
    connection_id: u64,
    request: Request<Incoming>,
) -> HandlerResult {
    block_if_silent(state, connection_id).await;
    let delay = state.settings().delay();
    state.pause(delay).await;
    let (parts, body) = request.into_parts();
    let response = match (&parts.method, parts.uri.path()) {
        (&Method::POST, "/query") => {
            let body = match read_body(body, MAX_QUERY_BYTES).await {
                Ok(body) => body,
                Err(error_response) => return Ok(error_response),
            };
            match read_query(&parts.headers, body) {
                Ok(query) => handle_query(state, connection_id, query).await,
                Err(detail) => problem(StatusCode::BAD_REQUEST, &detail),
            }
        }
        (&Method::GET, "/health") => health_response(state),
        _ => problem(StatusCode::NOT_FOUND, "no such path"),
    };
    state.pause(delay).await;
    block_if_silent(state, connection_id).await;
    Ok(response)
}

/// Blocks forever when the connection is silent, so that no response is sent.
async fn block_if_silent(state: &ServerState, connection_id: u64) {
    if state.is_silent(connection_id) {
        state.tracker().report.silenced += 1;
        pending::<()>().await;
    }
}

fn read_query(headers: &HeaderMap, body: Bytes) -> Result<Query, String> {
    let request_id = header_text(headers, "x-request-id").ok_or("x-request-id is missing")?;
    let snapshot = match header_text(headers, "x-snapshot") {
        Some(number) => Some(parse_number("x-snapshot", &number)?),
        None => None,
    };
    let deadline = match header_text(headers, "x-deadline-ms") {
        Some(millis) => {
            Some(Instant::now() + Duration::from_millis(parse_number("x-deadline-ms", &millis)?))
        }
        None => None,
    };
    let echo = EchoedFields { request_id, shard: header_text(headers, "x-shard"), snapshot, body };
    Ok(Query { echo, idempotency_key: header_text(headers, "idempotency-key"), deadline })
}

fn header_text(headers: &HeaderMap, name: &str) -> Option<String> {
    headers.get(name)?.to_str().ok().map(str::to_owned)
}

fn parse_number(name: &str, digits: &str) -> Result<u64, String> {
    digits.parse().map_err(|_| format!("{name}: {digits:?} is no number"))
}

async fn handle_query(
    state: &Arc<ServerState>,
    connection_id: u64,
    query: Query,
) -> Response<ResponseBody> {
    if let Some(rejection) = check_admission(state, query.echo.snapshot) {
        return rejection;
    }
    let key = query.idempotency_key.as_deref();
    let request_id = &query.echo.request_id;
    let outcome = execution::run(state, connection_id, request_id, key, query.deadline).await;
    if outcome == ExecutionOutcome::DeadlinePassed {
        return problem(StatusCode::GATEWAY_TIMEOUT, "the deadline passed while the request ran");
    }
    // Read again, since the faults may have changed during the execution.
    let faults = state.faults();
    if faults.error500 {
        return problem(StatusCode::INTERNAL_SERVER_ERROR, "the request failed after its work");
    }
    let echo = corrupt_echo(state, &faults, query.echo);
    let body = response_body(&state.settings().name, &echo);
    let response =
        if faults.truncate { truncated_response(&body) } else { raw_json(StatusCode::OK, body) };
    with_echo_headers(response, &echo)
}

/// Returns the rejection of a request that must not be executed, or `None` to execute it.
fn check_admission(state: &ServerState, snapshot: Option<u64>) -> Option<Response<ResponseBody>> {
    let faults = state.faults();
    if faults.state == HealthState::Draining {
        state.tracker().report.draining += 1;
        return Some(rejection_response(StatusCode::SERVICE_UNAVAILABLE, "draining"));
    }
    if faults.shed {
        state.tracker().report.shed += 1;
        let mut rejection = rejection_response(StatusCode::SERVICE_UNAVAILABLE, "shed");
        if let Some(millis) = faults.shed_retry_after_ms {
            rejection.headers_mut().insert("retry-after-ms", HeaderValue::from(millis));
        }
        return Some(rejection);
    }
    let snapshot = snapshot?;
    let newest = *faults.snapshots.iter().max()?;
    if faults.snapshots.contains(&snapshot) {
        return None;
    }
    state.tracker().report.wrong_snapshot += 1;
    let reason = if snapshot > newest { "snapshot-ahead" } else { "snapshot-gone" };
    Some(rejection_response(StatusCode::CONFLICT, reason))
}

fn rejection_response(status: StatusCode, reason: &'static str) -> Response<ResponseBody> {
    let mut response = problem(status, reason);
    response.headers_mut().insert("x-not-run", HeaderValue::from_static(reason));
    response
}

/// Returns the fields to echo: those of the request, or wrong ones under the `crossed` and
/// `swap_echo` faults.
fn corrupt_echo(state: &ServerState, faults: &ServerFaults, echo: EchoedFields) -> EchoedFields {
    let previous = state.swap_last_echo(echo.clone());
    if faults.crossed {
        return previous.unwrap_or(echo);
    }
    if !faults.swap_echo {
        return echo;
    }
    let rotation = state.tracker().report.completed % 3;
    match rotation {
        0 => EchoedFields { request_id: "f".repeat(32), ..echo },
        1 => EchoedFields { shard: echo.shard.map(|shard| format!("{shard}-other")), ..echo },
        _ => EchoedFields { snapshot: echo.snapshot.map(|number| number + 1), ..echo },
    }
}

/// Serializes the response body, in which a JSON query is echoed byte for byte.
fn response_body(server: &str, echo: &EchoedFields) -> Bytes {
    let mut body = BytesMut::new();
    body.put_slice(b"{\"server\":");
    body.put_slice(serde_json::json!(server).to_string().as_bytes());
    body.put_slice(b",\"shard\":");
    body.put_slice(serde_json::json!(echo.shard).to_string().as_bytes());
    body.put_slice(b",\"snapshot\":");
    body.put_slice(serde_json::json!(echo.snapshot).to_string().as_bytes());
    body.put_slice(b",\"echo\":");
    if serde_json::from_slice::<IgnoredAny>(&echo.body).is_ok() {
        body.put_slice(&echo.body);
    } else {
        let query_text = String::from_utf8_lossy(&echo.body);
        body.put_slice(serde_json::json!(query_text).to_string().as_bytes());
    }
    body.put_slice(b"}");
    body.freeze()
}

/// Builds a response whose body ends after half of its declared length.
fn truncated_response(body: &Bytes) -> Response<ResponseBody> {
    let (chunk_tx, chunk_rx) = mpsc::channel(2);
    // The channel has capacity for both chunks, so neither send can fail.
    let _ = chunk_tx.try_send(Ok(body.slice(..body.len() / 2)));
    let _ = chunk_tx.try_send(Err(ConnectionDropped));
    let mut response = Response::new(ChannelBody::boxed(chunk_rx));
    response.headers_mut().insert(header::CONTENT_LENGTH, HeaderValue::from(body.len()));
    response
}

fn with_echo_headers(
    mut response: Response<ResponseBody>,
    echo: &EchoedFields,
) -> Response<ResponseBody> {
    let headers = response.headers_mut();
    if let Ok(request_id) = HeaderValue::from_str(&echo.request_id) {
        headers.insert("x-request-id", request_id);
    }
    if let Some(Ok(shard)) = echo.shard.as_deref().map(HeaderValue::from_str) {
        headers.insert("x-shard", shard);
    }
    if let Some(number) = echo.snapshot {
        headers.insert("x-snapshot", HeaderValue::from(number));
    }
    response
}

fn health_response(state: &ServerState) -> Response<ResponseBody> {
    let faults = state.faults();
    if faults.misleading_health {
        return json(StatusCode::OK, &serde_json::json!({"state": "healthy", "load": 0.0}));
    }
    let running = f64::from(state.tracker().report.running);
    let load = running / f64::from(state.settings().slots.max(1));
    json(StatusCode::OK, &serde_json::json!({"state": faults.state, "load": load}))
}
