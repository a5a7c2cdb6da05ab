//! Request handling: finds the route, plans the fan-out, and builds the response.

use std::{rc::Rc, sync::Arc, time::Duration};

use bytes::Bytes;
use carobstep_clock::BootTime;
use carobstep_platform::headers;
use carobstep_tier::{
    FanoutOutcome, FanoutPlan, FanoutRole, GatherConfig, LifecyclePhase, PlacementRequest,
    RequestAdmission, RouteConfig, RouteTarget, merge_records, place_request,
};
use http::{HeaderValue, Request, Response, StatusCode, header, request::Parts};
use http_body_util::Full;
use hyper::body::Incoming;

use crate::{
    account_quota::{admit_request, refund_request},
    accounts::{RequestAccess, identify, over_limit_response, unknown_key_response},
    backend::{BackendRequest, BackendResponse},
    caller_body::{BodyFailure, CallerBody},
    callers::CallerConnection,
    fanout::{FanoutResult, run_fanout},
    gateway::{Gateway, InFlightGuard},
    peers::DelegatedScope,
    report::{RequestReport, RequestVerdict},
};

/// Time that a caller needs, in addition to the node's processing, to reach the node
/// and read the response: a new connection, one request and one response, at a
/// network latency of 3 ms each way.
const CALLER_MARGIN: Duration = Duration::from_millis(14);

/// Time before the caller's deadline at which the final response is sent.
const RESPONSE_MARGIN: Duration = Duration::from_millis(8);

/// Retry delay sent to callers while the node has no configuration.
const STARTING_RETRY_AFTER: Duration = Duration::from_millis(500);

/// Retry delay sent to callers when no server executed the request.
const REFUSED_RETRY_AFTER: Duration = Duration::from_millis(60);

/// Handles one request and returns the response.
pub(crate) async fn handle(
    gateway: Rc<Gateway>,
    caller: Rc<CallerConnection>,
    request: Request<Incoming>,
) -> Response<Full<Bytes>> {
    let _in_flight = InFlightGuard::new(&gateway);
    let arrived = BootTime::now();
    let (head, body) = request.into_parts();
    let body = CallerBody::new(caller.clone(), &head.headers, body);
    let mut report = RequestReport::new(&gateway.reporter, &head.headers, arrived);
    let mut response = respond(&gateway, arrived, head, body, &mut report).await;
    // The load balancer assigns a node to each connection, so that a caller has to
    // open a new connection to reach another node.
    if gateway.phase() != LifecyclePhase::Ready || caller.is_evicted() {
        response.headers_mut().insert(header::CONNECTION, HeaderValue::from_static("close"));
    }
    report.finish(response.status());
    response
}

async fn respond(
    gateway: &Rc<Gateway>,
    arrived: BootTime,
    head: Parts,
    body: CallerBody,
    report: &mut RequestReport<'_>,
) -> Response<Full<Bytes>> {
    let configuration = {
        let state = gateway.state.borrow();
        report.store_age = state.freshness.age(arrived);
        state.configuration.clone()
    };
    report.version = configuration.version;
    if configuration.version == 0 {
        report.verdict = RequestVerdict::Starting;
        return unavailable_response(STARTING_RETRY_AFTER);
    }
    if !head.headers.contains_key(headers::REQUEST_ID) {
        report.verdict = RequestVerdict::BadRequest;
        return empty_response(StatusCode::BAD_REQUEST);
    }
    let host = host_of(&head);
    let route = gateway.state.borrow().routes.find(&host, head.uri.path()).cloned();
    let Some(route) = route else {
        report.verdict = RequestVerdict::NoRoute;
        return empty_response(StatusCode::NOT_FOUND);
    };
    report.route = Some(route.clone());
    let Some(access) = identify(gateway, &route, &head.headers) else {
        report.verdict = RequestVerdict::UnknownKey;
        return unknown_key_response();
    };
    report.account = access.name.clone();
    report.account_label = access.label.clone();
    let limited = access.limited.as_ref();
    if let Err(wait) = admit_request(gateway, limited).await {
        report.verdict = RequestVerdict::OverLimit;
        return over_limit_response(wait);
    }
    let body = match body.receive(&head.headers).await {
        Ok(body) => body,
        Err(BodyFailure::Refused(status)) => {
            refund_request(gateway, limited);
            report.verdict = RequestVerdict::BadRequest;
            return empty_response(status);
        }
        Err(BodyFailure::NoRoom) => {
            refund_request(gateway, limited);
            report.verdict = RequestVerdict::NotRun;
            return no_room_response();
        }
    };
    let caller_timeout = headers::deadline_of(&head.headers).unwrap_or(route.timeout);
    report.caller_timeout = caller_timeout;
    let request = Rc::new(backend_request(head, body, &access));
    let fingerprint = request.fingerprint();
    report.fingerprint = Some(fingerprint);
    let admission = gateway.admit(fingerprint);
    if let RequestAdmission::Refused { until } = admission {
        refund_request(gateway, limited);
        report.verdict = RequestVerdict::Quarantined;
        return unavailable_response(until.since(arrived));
    }
    let timeout = caller_timeout.min(route.timeout);
    let is_cautious = admission == RequestAdmission::Cautious;
    let (plan, scope) = plan_fanout(gateway, &route, &access, arrived, timeout, is_cautious);
    if scope.is_search
        && let Err(refusal) = gateway.admit_search(&plan, access.priority.rank())
    {
        refund_request(gateway, limited);
        report.verdict = RequestVerdict::Hopeless;
        report.refusal = Some(refusal);
        return unavailable_response(refusal.retry_in);
    }
    let answer_by = plan.answer_by;
    let mut result = run_fanout(gateway, plan, request, scope, |_| {}).await;
    report.record_result(&mut result);
    if result.outcome == FanoutOutcome::NotRun {
        refund_request(gateway, limited);
        if gateway.state.borrow().lifecycle.is_stopping() {
            report.verdict = RequestVerdict::Stopping;
        }
    }
    match &route.target {
        RouteTarget::Gather(gather) => {
            let response = search_response(gather, &result);
            // A search that had too few results at the answer time says nothing about the
            // time that finishing takes.
            if result.is_finished_by_timer {
                gateway.record_finish(answer_by, gather.shards.len());
            }
            response
        }
        RouteTarget::Service(_) | RouteTarget::Split(_) => single_response(result),
    }
}

fn host_of(head: &Parts) -> String {
    let host = head.headers.get(header::HOST).and_then(|host| host.to_str().ok());
    host.or_else(|| head.uri.host()).unwrap_or_default().to_owned()
}

/// Plans the fan-out of a request that must be answered within `timeout`.
fn plan_fanout(
    gateway: &Gateway,
    route: &RouteConfig,
    access: &RequestAccess,
    arrived: BootTime,
    timeout: Duration,
    is_cautious: bool,
) -> (FanoutPlan, DelegatedScope) {
    let state = &mut *gateway.state.borrow_mut();
    let (service_names, min_shards): (Vec<Arc<str>>, usize) = match &route.target {
        RouteTarget::Service(service) => (vec![service.clone()], 1),
        RouteTarget::Split(services) => {
            let position = state.round_robin.next(&route.name, services);
            (vec![services[position].service.clone()], 1)
        }
        RouteTarget::Gather(gather) => (gather.shards.clone(), gather.min_shards()),
    };
    let fleet = &mut state.fleet;
    let services: Vec<_> =
        service_names.iter().map(|name| fleet.get_or_insert_service(arrived, name)).collect();
    let class = fleet.classes.class_of(route);
    let reserve = match &route.target {
        RouteTarget::Gather(gather) => {
            state.finish_lag.reserve(gather.shards.len(), route.objective)
        }
        RouteTarget::Service(_) | RouteTarget::Split(_) => Duration::ZERO,
    };
    let answer_in = route.objective.saturating_sub(CALLER_MARGIN + reserve);
    let answer_by = arrived + answer_in.min(timeout);
    let is_search = matches!(route.target, RouteTarget::Gather(_));
    let max_records = match &route.target {
        RouteTarget::Gather(gather) => gather.max_records,
        RouteTarget::Service(_) | RouteTarget::Split(_) => 0,
    };
    let deadline = arrived + timeout.saturating_sub(RESPONSE_MARGIN);
    state.requests += 1;
    let request = PlacementRequest {
        is_search,
        is_cautious,
        class,
        objective: route.objective,
        attempts: route.attempts,
        answer_by,
        deadline,
        number: state.requests,
    };
    let placement = place_request(arrived, request, &service_names, &services, fleet, &state.peers);
    let delegated: usize = placement.delegations.iter().map(|it| it.shards.len()).sum();
    let own_seconds = (services.len() - delegated) as f64 * state.peers.own().shard_seconds();
    state.room.record_own(arrived, own_seconds);
    let scope = DelegatedScope {
        is_search,
        priority: access.priority.level(),
        max_records: u32::try_from(max_records).unwrap_or(u32::MAX),
        objective: route.objective,
        timeout: route.timeout,
    };
    let plan = FanoutPlan {
        services,
        min_shards,
        retry: route.retry,
        attempts: route.attempts,
        class,
        delegations: placement.delegations,
        allowed: placement.allowed,
        role: FanoutRole::Entry { has_peers: state.peers.live_nodes() > 1 },
        is_cautious,
        arrived,
        answer_by,
        deadline,
    };
    (plan, scope)
}

/// Builds the request to forward, whether this node or another one calls the servers.
fn backend_request(head: Parts, body: Bytes, access: &RequestAccess) -> BackendRequest {
    let mut forwarded = head.headers;
    headers::forward_request(&mut forwarded, access.forwarded_account());
    if !body.is_empty() {
        forwarded.insert(header::CONTENT_LENGTH, HeaderValue::from(body.len()));
    }
    let target = head.uri.path_and_query().map(|target| target.as_str()).unwrap_or("/");
    let target = target.parse().unwrap_or_default();
    BackendRequest { method: head.method, target, headers: forwarded, body }
}

/// Builds the response to a search from the responses of servers and peers.
fn search_response(gather: &GatherConfig, result: &FanoutResult) -> Response<Full<Bytes>> {
    if result.outcome != FanoutOutcome::Answered {
        return failure_response(result);
    }
    let responses = result.responses.iter().flatten();
    let direct = responses.clone().map(|response| &response.body[..]);
    let delegated = result.accepted_parts.iter().map(|parts| &parts.records[..]);
    let body = merge_records(direct.chain(delegated), gather.max_records);
    let direct_stamps =
        responses.filter_map(|response| response.headers.get(headers::SERVER_STAMP));
    let delegated_stamps = result.accepted_parts.iter().flat_map(|parts| &parts.stamps);
    let stamps: Vec<&[u8]> = direct_stamps
        .map(HeaderValue::as_bytes)
        .chain(delegated_stamps.map(|stamp| &stamp[..]))
        .collect();
    let stamps = stamps.join(&b", "[..]);
    let mut response = Response::new(Full::new(body));
    let missing = result.responses.len() - result.answered;
    let headers = response.headers_mut();
    // The stamps were header values, so that the joined list is one as well.
    if let Ok(stamps) = HeaderValue::from_bytes(&stamps) {
        headers.insert(headers::PART_STAMPS, stamps);
    }
    headers.insert(headers::MISSING_PARTS, HeaderValue::from(missing));
    response
}

/// Builds the response to a request that was sent to a single service.
fn single_response(mut result: FanoutResult) -> Response<Full<Bytes>> {
    if result.outcome == FanoutOutcome::Answered
        && let Some(response) = result.responses.first_mut().and_then(Option::take)
    {
        return forward_response(response);
    }
    // Forwards only a failure that a server stamped. A server's refusal must not
    // reach the caller here, because another attempt may have been executed.
    let has_failed = result.outcome == FanoutOutcome::Failed;
    let failure = result.failure.take_if(|response| {
        has_failed
            && response.headers.contains_key(headers::SERVER_STAMP)
            && !headers::promises_not_run(response.status, &response.headers)
    });
    match failure {
        Some(response) => forward_response(response),
        None => failure_response(&result),
    }
}

/// Builds the response to the caller from a server's response.
fn forward_response(backend: BackendResponse) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::new(backend.body));
    *response.status_mut() = backend.status;
    *response.headers_mut() = backend.headers;
    headers::forward_response(response.headers_mut());
    response
}

/// Builds the response to a request that failed.
fn failure_response(result: &FanoutResult) -> Response<Full<Bytes>> {
    match result.outcome {
        FanoutOutcome::NotRun => unavailable_response(result.retry_delay.max(REFUSED_RETRY_AFTER)),
        FanoutOutcome::TimedOut => empty_response(StatusCode::GATEWAY_TIMEOUT),
        FanoutOutcome::Failed | FanoutOutcome::Answered => empty_response(StatusCode::BAD_GATEWAY),
    }
}

/// Builds a response that says that the request was not executed and when to retry.
fn unavailable_response(wait: Duration) -> Response<Full<Bytes>> {
    let mut response = empty_response(StatusCode::SERVICE_UNAVAILABLE);
    response.headers_mut().insert(header::RETRY_AFTER, headers::retry_after_value(wait));
    response
}

/// Builds the response to a request that has no room and was not executed.
pub(crate) fn no_room_response() -> Response<Full<Bytes>> {
    let mut response = unavailable_response(REFUSED_RETRY_AFTER);
    response.headers_mut().insert(header::CONNECTION, HeaderValue::from_static("close"));
    response
}

pub(crate) fn empty_response(status: StatusCode) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::default());
    *response.status_mut() = status;
    response
}

impl RequestReport<'_> {
    /// Records the result of the fan-out.
    fn record_result(&mut self, result: &mut FanoutResult) {
        self.verdict = result.outcome.into();
        self.shards = result.responses.len();
        self.answered = result.answered;
        self.missing = result.missing;
        self.delegations = result.delegations;
        self.extra_attempts = result.extra_attempts;
        self.failed_attempts = std::mem::take(&mut result.failed_attempts);
    }
}
