//! Answers control requests: faults and the report.

use std::sync::Arc;

use http::{Method, Request, StatusCode};
use hyper::body::Incoming;

use super::{faults::ServerFaultsPatch, ledger::ServerReport, state::ServerState};
use crate::http::{HandlerResult, json, problem, read_body};

/// Largest body of a control request.
const MAX_CONTROL_BYTES: usize = 64 * 1024;

/// Answers one control request.
pub(crate) async fn answer(state: &Arc<ServerState>, request: Request<Incoming>) -> HandlerResult {
    let (parts, body) = request.into_parts();
    let body = match read_body(body, MAX_CONTROL_BYTES).await {
        Ok(body) => body,
        Err(refusal) => return Ok(refusal),
    };
    let reply = match (&parts.method, parts.uri.path()) {
        (&Method::GET, "/standin/report") => json(StatusCode::OK, &state.report()),
        (&Method::GET, "/standin/summary") => json(StatusCode::OK, &summary(state)),
        (&Method::GET, "/standin/faults") => json(StatusCode::OK, &state.faults()),
        (&Method::POST, "/standin/faults") => {
            match serde_json::from_slice::<ServerFaultsPatch>(&body) {
                Ok(patch) => {
                    state.apply_faults(patch);
                    json(StatusCode::OK, &state.faults())
                }
                Err(error) => problem(StatusCode::BAD_REQUEST, &error.to_string()),
            }
        }
        _ => problem(StatusCode::NOT_FOUND, "no such control path"),
    };
    Ok(reply)
}

/// The report without the list of executions.
fn summary(state: &ServerState) -> ServerReport {
    let ledger = state.ledger();
    ServerReport { executions: indexmap::IndexMap::new(), ..ledger.report.clone() }
}
