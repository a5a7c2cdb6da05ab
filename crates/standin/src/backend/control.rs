//! Handles control requests, which change faults and read the report.

use std::sync::Arc;

use http::{Method, Request, StatusCode};
use hyper::body::Incoming;

use super::{faults::ServerFaultsPatch, load_tracker::ServerReport, state::ServerState};
use crate::http::{HandlerResult, json, problem, read_body};

/// Largest body of a control request.
const MAX_CONTROL_BYTES: usize = 64 * 1024;

/// Handles one control request.
pub(crate) async fn handle_request(
    state: &Arc<ServerState>,
    request: Request<Incoming>,
) -> HandlerResult {
    let (parts, body) = request.into_parts();
    let body = match read_body(body, MAX_CONTROL_BYTES).await {
        Ok(body) => body,
        Err(error_response) => return Ok(error_response),
    };
    let response = match (&parts.method, parts.uri.path()) {
        (&Method::GET, "/standin/report") => json(StatusCode::OK, &state.report()),
        (&Method::GET, "/standin/summary") => json(StatusCode::OK, &summarize(state)),
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
    Ok(response)
}

/// Returns the report with an empty list of executions.
fn summarize(state: &ServerState) -> ServerReport {
    let tracker = state.tracker();
    ServerReport { executions: indexmap::IndexMap::new(), ..tracker.report.clone() }
}
