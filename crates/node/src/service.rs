//! Runs a service request on one backend server; at most once where the service
//! is configured so.

use std::{sync::Arc, time::Duration};

use bytes::Bytes;
use carobstep_clock::BootTime;
use carobstep_config::{ConfigTopology, RepeatPolicy, ServiceEntry, ServiceKey};
use carobstep_dispatch::{
    RequestAction, ServiceRequestPlan, ServiceRequestReport, ServiceRequestState,
};
use carobstep_wire::{RefusalReason, RequestId, RequestOutcome};
use http::{Response, StatusCode};
use serde::Serialize;
use serde_json::value::RawValue;
use tokio::sync::OwnedSemaphorePermit;

use crate::{
    attempts::{AttemptSet, FinishedAttempt, RequestTemplate},
    context::{NodeContext, NodeView},
    counters::NodeEvent,
    identity::CallerIdentity,
    order::run_order,
    problem::{ProblemDocument, ResponseBody, json_response, refuse},
};

/// A service request from a caller.
#[derive(Clone, Debug)]
pub struct ServiceRequest {
    /// Identity of the caller and the request.
    pub identity: CallerIdentity,
    /// Name of the service.
    pub service: String,
    /// The caller's idempotency key.
    pub key: Option<String>,
    /// Time limit set by the caller; the service's own limit caps it.
    pub time_limit: Option<Duration>,
    /// Body that is sent to the backend server.
    pub body: Bytes,
}

/// Body of the response to a service request that ran.
#[derive(Debug, Serialize)]
struct ServiceResponse<'body> {
    request_id: String,
    outcome: RequestOutcome,
    #[serde(skip_serializing_if = "is_false")]
    replayed: bool,
    body: &'body RawValue,
}

#[expect(clippy::trivially_copy_pass_by_ref, reason = "serde passes a reference")]
const fn is_false(value: &bool) -> bool {
    !*value
}

/// Runs one service request and returns the response.
pub async fn run_service(
    context: Arc<NodeContext>,
    request: ServiceRequest,
    permit: OwnedSemaphorePermit,
) -> Response<ResponseBody> {
    context.counters.count_event(NodeEvent::ServiceRequests);
    let started = BootTime::now();
    let id = request.identity.request;
    let view = context.latest_view();
    let Some(key) = view.topology.find_service(&request.service) else {
        let detail = format!("service {:?} is not configured", request.service);
        let problem =
            ProblemDocument::new(RequestOutcome::NotRun, RefusalReason::UnknownTarget, detail);
        return refuse(&context.counters, id, problem);
    };
    let entry = view.topology.service(key);
    let deadline =
        started + request.time_limit.map_or(entry.deadline, |limit| limit.min(entry.deadline));
    match entry.repeat {
        RepeatPolicy::Idempotent => {
            let report = run_service_request(&context, &view, key, &request, deadline).await;
            service_response(&context, id, &request.service, &report)
        }
        RepeatPolicy::AtMostOnce => {
            run_order(context, view.clone(), key, request, deadline, permit).await
        }
    }
}

/// Sends the request to a backend server, and retries it where that is allowed.
pub async fn run_service_request(
    context: &Arc<NodeContext>,
    view: &NodeView,
    service: ServiceKey,
    request: &ServiceRequest,
    deadline: BootTime,
) -> ServiceRequestReport {
    let entry: &ServiceEntry = view.topology.service(service);
    let at_most_once = entry.repeat == RepeatPolicy::AtMostOnce;
    let template = RequestTemplate {
        identity: request.identity.clone(),
        body: request.body.clone(),
        snapshot: None,
        idempotency_key: at_most_once.then(|| request.key.clone()).flatten(),
    };
    let plan = ServiceRequestPlan {
        id: request.identity.attempt_seed(),
        deadline,
        service,
        topology: view.topology.clone(),
    };
    let mut attempts = AttemptSet::new(context.clone(), template);
    let mut state = ServiceRequestState::new(plan);
    let mut actions = Vec::new();
    state.start(BootTime::now(), &mut context.lock_router(), &mut actions);
    execute_actions(context, state.topology(), &mut attempts, &mut actions);
    while !state.is_finished() {
        let finished = attempts.next(state.next_wakeup()).await;
        advance(context, &mut state, finished, &mut actions);
        execute_actions(context, state.topology(), &mut attempts, &mut actions);
    }
    state.into_report()
}

/// Passes a finished attempt to the request, or runs its timer if there is none.
fn advance(
    context: &NodeContext,
    state: &mut ServiceRequestState,
    finished: Option<FinishedAttempt>,
    actions: &mut Vec<RequestAction>,
) {
    let now = BootTime::now();
    let router = &mut context.lock_router();
    let Some(finished) = finished else { return state.on_timer(now, router, actions) };
    match finished.result {
        Ok(reply) => state.on_reply(now, finished.attempt, reply, router, actions),
        Err(failure) => {
            let (outcome, reason) = (failure.outcome, failure.reason);
            state.on_failure(now, finished.attempt, outcome, reason, router, actions);
        }
    }
}

fn execute_actions(
    context: &NodeContext,
    topology: &ConfigTopology,
    attempts: &mut AttemptSet,
    actions: &mut Vec<RequestAction>,
) {
    for action in actions.drain(..) {
        match action {
            RequestAction::Send(send) => {
                let name = topology.server(send.server).name.clone();
                attempts.send(&send, name, None);
            }
            RequestAction::Cancel { attempt } => attempts.cancel(attempt),
            RequestAction::CountRetry(reason) => context.counters.count_retry(reason),
            RequestAction::CountRefusal(reason) => context.counters.count_refusal(reason),
            RequestAction::Replan { .. } | RequestAction::Finish => {}
        }
    }
}

/// Builds the response to a finished request.
#[must_use]
pub fn service_response(
    context: &NodeContext,
    id: RequestId,
    service: &str,
    report: &ServiceRequestReport,
) -> Response<ResponseBody> {
    if let Some(body) = &report.body {
        return success_response(id, body, false);
    }
    let reason = report.reason.unwrap_or(RefusalReason::ServerError);
    let detail = format!("service {service:?}: {reason}");
    let mut problem = ProblemDocument::new(report.outcome, reason, detail);
    if report.outcome == RequestOutcome::NotRun {
        problem = problem.with_retry_after(report.retry_after);
    }
    refuse(&context.counters, id, problem)
}

/// Builds the response to a request that ran, with the backend server's body.
#[must_use]
pub fn success_response(id: RequestId, body: &[u8], replayed: bool) -> Response<ResponseBody> {
    let quoted;
    let body: &RawValue = match serde_json::from_slice(body) {
        Ok(body) => body,
        Err(_) => {
            // A body that is not JSON is passed on as a JSON string.
            quoted =
                serde_json::value::to_raw_value(&String::from_utf8_lossy(body)).unwrap_or_default();
            &quoted
        }
    };
    let response = ServiceResponse {
        request_id: id.to_string(),
        outcome: RequestOutcome::Ran,
        replayed,
        body,
    };
    json_response(StatusCode::OK, &response)
}
