//! Handler of the callers' listener: searches and service requests.

use std::{
    net::SocketAddr,
    sync::{Arc, atomic::Ordering},
    time::Duration,
};

use carobstep_wire::{RefusalReason, RequestOutcome};
use http::{HeaderMap, Method, Request, Response};
use hyper::body::Incoming;

use crate::{
    context::{DEFAULT_RETRY_AFTER, NodeContext},
    counters::NodeEvent,
    http_listener::{BodyFailure, ListenerLimits, RequestHandler, read_body},
    identity::CallerIdentity,
    problem::{ProblemDocument, ResponseBody, refuse},
    search::{SearchRequest, run_search},
    service::{ServiceRequest, run_service},
};

/// Longest accepted idempotency key, in bytes.
const MAX_KEY_BYTES: usize = 128;

/// Handles requests from callers.
#[derive(Debug)]
pub struct CallerHandler {
    context: Arc<NodeContext>,
    limits: ListenerLimits,
}

/// Target that a request's path names.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum CallerTarget<'path> {
    Search(&'path str),
    Service(&'path str),
}

impl CallerHandler {
    /// Builds a handler that reads request bodies within `limits`.
    #[must_use]
    pub const fn new(context: Arc<NodeContext>, limits: ListenerLimits) -> Self {
        Self { context, limits }
    }

    async fn try_handle(
        &self,
        identity: CallerIdentity,
        request: Request<Incoming>,
    ) -> Result<Response<ResponseBody>, ProblemDocument> {
        let (head, body) = request.into_parts();
        let target = parse_target(&head.method, head.uri.path())?;
        // A stopping node reports not ready to the load balancer, but still serves
        // the requests that reach it.
        if !self.context.latest_view().ready && !self.is_stopping() {
            let detail = format!("node {} has no configuration yet", self.context.settings.node);
            return Err(
                not_run(RefusalReason::NotReady, detail).with_retry_after(DEFAULT_RETRY_AFTER)
            );
        }
        let Ok(permit) = self.context.in_flight.clone().try_acquire_owned() else {
            let detail = format!("node {} is at its limit", self.context.settings.node);
            return Err(
                not_run(RefusalReason::CallerLimit, detail).with_retry_after(DEFAULT_RETRY_AFTER)
            );
        };
        let time_limit = parse_time_limit(&head.headers)?;
        let key = parse_idempotency_key(&head.headers)?;
        let body = read_body(body, self.limits).await.map_err(body_problem)?;
        serde_json::from_slice::<serde::de::IgnoredAny>(&body).map_err(|error| {
            not_run(RefusalReason::BadRequest, format!("request body is not JSON: {error}"))
        })?;
        let context = self.context.clone();
        match target {
            CallerTarget::Search(index) => {
                let index = index.to_owned();
                Ok(run_search(context, SearchRequest { identity, index, time_limit, body }).await)
            }
            CallerTarget::Service(service) => {
                let service = service.to_owned();
                let request = ServiceRequest { identity, service, key, time_limit, body };
                Ok(run_service(context, request, permit).await)
            }
        }
    }
}

impl RequestHandler for CallerHandler {
    async fn handle(
        &self,
        remote: SocketAddr,
        request: Request<Incoming>,
    ) -> Response<ResponseBody> {
        let identity = CallerIdentity::read(request.headers(), &remote.ip().to_string());
        let id = identity.request;
        match self.try_handle(identity, request).await {
            Ok(response) => response,
            Err(problem) => {
                if problem.reason() == RefusalReason::BadRequest {
                    self.context.counters.count_event(NodeEvent::BadCallerInput);
                }
                refuse(&self.context.counters, id, problem)
            }
        }
    }

    fn count_invalid_input(&self) {
        self.context.counters.count_event(NodeEvent::BadCallerInput);
    }

    fn is_stopping(&self) -> bool {
        self.context.stopping.load(Ordering::Relaxed)
    }
}

fn parse_target<'path>(
    method: &Method,
    path: &'path str,
) -> Result<CallerTarget<'path>, ProblemDocument> {
    let target = if let Some(index) = path.strip_prefix("/v1/search/") {
        CallerTarget::Search(index)
    } else if let Some(service) = path.strip_prefix("/v1/services/") {
        CallerTarget::Service(service)
    } else {
        return Err(not_run(RefusalReason::UnknownTarget, format!("no such path: {path:?}")));
    };
    if method != Method::POST {
        let detail = format!("method {method} is not POST");
        return Err(not_run(RefusalReason::BadRequest, detail));
    }
    Ok(target)
}

fn parse_time_limit(headers: &HeaderMap) -> Result<Option<Duration>, ProblemDocument> {
    let Some(value) = headers.get("x-deadline-ms") else { return Ok(None) };
    let millis = value.to_str().ok().and_then(|text| text.parse::<u64>().ok());
    match millis {
        Some(millis) if millis > 0 => Ok(Some(Duration::from_millis(millis))),
        _ => {
            let detail = format!("header x-deadline-ms: {value:?} is not a positive number");
            Err(not_run(RefusalReason::BadRequest, detail))
        }
    }
}

fn parse_idempotency_key(headers: &HeaderMap) -> Result<Option<String>, ProblemDocument> {
    let Some(value) = headers.get("idempotency-key") else { return Ok(None) };
    let key = value.to_str().ok().filter(|key| {
        (1..=MAX_KEY_BYTES).contains(&key.len()) && key.bytes().all(|byte| byte.is_ascii_graphic())
    });
    key.map(|key| Some(key.to_owned())).ok_or_else(|| {
        let detail =
            format!("header idempotency-key is not 1 to {MAX_KEY_BYTES} visible ASCII characters");
        not_run(RefusalReason::BadRequest, detail)
    })
}

fn body_problem(failure: BodyFailure) -> ProblemDocument {
    let detail = match failure {
        BodyFailure::TooLarge => "request body is over the limit",
        BodyFailure::TooSlow => "request body did not arrive in time",
        BodyFailure::Broken => "request body ended early",
    };
    not_run(RefusalReason::BadRequest, detail)
}

fn not_run(reason: RefusalReason, detail: impl Into<String>) -> ProblemDocument {
    ProblemDocument::new(RequestOutcome::NotRun, reason, detail)
}
