//! Answers queries and health requests.

use std::{future::pending, sync::Arc, time::Duration};

use bytes::{BufMut, Bytes, BytesMut};
use http::{HeaderMap, HeaderValue, Method, Request, Response, StatusCode, header};
use hyper::body::Incoming;
use serde::de::IgnoredAny;
use tokio::{sync::mpsc, time::Instant};

use super::{
    execution::{self, WorkEnd},
    faults::{HealthState, ServerFaults},
    state::{ReplyEcho, ServerState},
};
use crate::http::{
    ChannelBody, ConnectionDropped, HandlerResult, ResponseBody, json, problem, raw_json, read_body,
};

/// Largest accepted query.
const MAX_QUERY_BYTES: usize = 1024 * 1024;

/// A query with its headers checked.
struct Query {
    echo: ReplyEcho,
    idempotency_key: Option<String>,
    deadline: Option<Instant>,
}

/// Answers one request that arrived on a connection.
pub(crate) async fn answer(
    state: &Arc<ServerState>,
    connection_id: u64,
    request: Request<Incoming>,
) -> HandlerResult {
    silence(state, connection_id).await;
    let delay = state.settings().delay();
    state.pause(delay).await;
    let (parts, body) = request.into_parts();
    let reply = match (&parts.method, parts.uri.path()) {
        (&Method::POST, "/query") => {
            let body = match read_body(body, MAX_QUERY_BYTES).await {
                Ok(body) => body,
                Err(refusal) => return Ok(refusal),
            };
            match read_query(&parts.headers, body) {
                Ok(query) => answer_query(state, connection_id, query).await,
                Err(detail) => problem(StatusCode::BAD_REQUEST, &detail),
            }
        }
        (&Method::GET, "/health") => health(state),
        _ => problem(StatusCode::NOT_FOUND, "no such path"),
    };
    state.pause(delay).await;
    silence(state, connection_id).await;
    Ok(reply)
}

/// Waits without end when nothing gets through on the connection.
async fn silence(state: &ServerState, connection_id: u64) {
    if state.is_silent(connection_id) {
        state.ledger().report.silenced += 1;
        pending::<()>().await;
    }
}

fn read_query(headers: &HeaderMap, body: Bytes) -> Result<Query, String> {
    let request_id = text(headers, "x-request-id").ok_or("x-request-id is missing")?;
    let snapshot = match text(headers, "x-snapshot") {
        Some(number) => Some(parse("x-snapshot", &number)?),
        None => None,
    };
    let deadline = match text(headers, "x-deadline-ms") {
        Some(millis) => {
            Some(Instant::now() + Duration::from_millis(parse("x-deadline-ms", &millis)?))
        }
        None => None,
    };
    let echo = ReplyEcho { request_id, shard: text(headers, "x-shard"), snapshot, body };
    Ok(Query { echo, idempotency_key: text(headers, "idempotency-key"), deadline })
}

fn text(headers: &HeaderMap, name: &str) -> Option<String> {
    headers.get(name)?.to_str().ok().map(str::to_owned)
}

fn parse(name: &str, digits: &str) -> Result<u64, String> {
    digits.parse().map_err(|_| format!("{name}: {digits:?} is no number"))
}

async fn answer_query(
    state: &Arc<ServerState>,
    connection_id: u64,
    query: Query,
) -> Response<ResponseBody> {
    if let Some(refusal) = refuse(state, query.echo.snapshot) {
        return refusal;
    }
    let key = query.idempotency_key.as_deref();
    let request_id = &query.echo.request_id;
    let end = execution::run(state, connection_id, request_id, key, query.deadline).await;
    if end == WorkEnd::DeadlinePassed {
        return problem(StatusCode::GATEWAY_TIMEOUT, "the deadline passed while the request ran");
    }
    let faults = state.faults();
    if faults.error500 {
        return problem(StatusCode::INTERNAL_SERVER_ERROR, "the request failed after its work");
    }
    let echo = falsify(state, &faults, query.echo);
    let body = reply_body(&state.settings().name, &echo);
    let body = if faults.truncate { truncated(&body) } else { raw_json(StatusCode::OK, body) };
    with_echo(body, &echo)
}

/// Refuses a request before its work starts.
fn refuse(state: &ServerState, snapshot: Option<u64>) -> Option<Response<ResponseBody>> {
    let faults = state.faults();
    if faults.state == HealthState::Draining {
        state.ledger().report.draining += 1;
        return Some(not_run(StatusCode::SERVICE_UNAVAILABLE, "draining"));
    }
    if faults.shed {
        state.ledger().report.shed += 1;
        let mut refusal = not_run(StatusCode::SERVICE_UNAVAILABLE, "shed");
        if let Some(millis) = faults.shed_retry_after_ms {
            refusal.headers_mut().insert("retry-after-ms", HeaderValue::from(millis));
        }
        return Some(refusal);
    }
    let snapshot = snapshot?;
    let newest = *faults.snapshots.iter().max()?;
    if faults.snapshots.contains(&snapshot) {
        return None;
    }
    state.ledger().report.wrong_snapshot += 1;
    let reason = if snapshot > newest { "snapshot-ahead" } else { "snapshot-gone" };
    Some(not_run(StatusCode::CONFLICT, reason))
}

fn not_run(status: StatusCode, reason: &'static str) -> Response<ResponseBody> {
    let mut response = problem(status, reason);
    response.headers_mut().insert("x-not-run", HeaderValue::from_static(reason));
    response
}

/// Replaces what the reply echoes when a fault asks for it.
fn falsify(state: &ServerState, faults: &ServerFaults, echo: ReplyEcho) -> ReplyEcho {
    let previous = state.swap_last_echo(echo.clone());
    if faults.crossed {
        return previous.unwrap_or(echo);
    }
    if !faults.swap_echo {
        return echo;
    }
    let turn = state.ledger().report.completed % 3;
    match turn {
        0 => ReplyEcho { request_id: "f".repeat(32), ..echo },
        1 => ReplyEcho { shard: echo.shard.map(|shard| format!("{shard}-other")), ..echo },
        _ => ReplyEcho { snapshot: echo.snapshot.map(|number| number + 1), ..echo },
    }
}

/// Writes the body of a reply; a query that is JSON comes back byte for byte.
fn reply_body(server: &str, echo: &ReplyEcho) -> Bytes {
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
        let text = String::from_utf8_lossy(&echo.body);
        body.put_slice(serde_json::json!(text).to_string().as_bytes());
    }
    body.put_slice(b"}");
    body.freeze()
}

/// A reply whose body stops after half of its declared length.
fn truncated(body: &Bytes) -> Response<ResponseBody> {
    let (parts, receiver) = mpsc::channel(2);
    // The channel has room for both parts, so neither send can fail.
    let _ = parts.try_send(Ok(body.slice(..body.len() / 2)));
    let _ = parts.try_send(Err(ConnectionDropped));
    let mut response = Response::new(ChannelBody::boxed(receiver));
    response.headers_mut().insert(header::CONTENT_LENGTH, HeaderValue::from(body.len()));
    response
}

fn with_echo(mut response: Response<ResponseBody>, echo: &ReplyEcho) -> Response<ResponseBody> {
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

fn health(state: &ServerState) -> Response<ResponseBody> {
    let faults = state.faults();
    if faults.misleading_health {
        return json(StatusCode::OK, &serde_json::json!({"state": "healthy", "load": 0.0}));
    }
    let running = f64::from(state.ledger().report.running);
    let load = running / f64::from(state.settings().slots.max(1));
    json(StatusCode::OK, &serde_json::json!({"state": faults.state, "load": load}))
}
