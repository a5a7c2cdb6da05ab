//! One request of a caller: route, plan, answer.

use std::{rc::Rc, sync::Arc, time::Duration};

use bytes::Bytes;
use carobstep_clock::BootTime;
use carobstep_platform::headers;
use carobstep_tier::{
    ClientLimits, DealtShards, DelegationRequest, FanoutEnd, FanoutPlan, GatherPlan,
    LifecyclePhase, RouteConfig, RouteTarget, merge_records, plan_delegations,
};
use http::{HeaderMap, HeaderValue, Request, Response, StatusCode, header, request::Parts};
use http_body_util::{BodyExt, Full, LengthLimitError, Limited};
use hyper::body::Incoming;

use crate::{
    backend::{BackendAnswer, BackendRequest},
    fanout::{FanoutOutcome, run_fanout},
    gateway::Gateway,
    peers::DelegatedScope,
    report::{RequestReport, Verdict},
};

/// Time that a client needs to reach the node and to read the answer, beside
/// the node's own: a new connection and one request and answer at 3 ms each way.
const CLIENT_MARGIN: Duration = Duration::from_millis(14);

/// Time before the caller's deadline at which it gets its final answer.
const ANSWER_MARGIN: Duration = Duration::from_millis(8);

/// Wait that a caller is told while the node knows no configuration or no server.
const STARTING_RETRY: Duration = Duration::from_millis(500);

/// Wait that a caller is told when every server refused.
const REFUSED_RETRY: Duration = Duration::from_millis(60);

/// Counts a request as in flight until it is answered or its client leaves.
struct InFlight<'gateway>(&'gateway Gateway);

impl<'gateway> InFlight<'gateway> {
    fn new(gateway: &'gateway Gateway) -> Self {
        gateway.state.borrow_mut().in_flight += 1;
        Self(gateway)
    }
}

impl Drop for InFlight<'_> {
    fn drop(&mut self) {
        self.0.state.borrow_mut().in_flight -= 1;
    }
}

/// Answers one request.
pub(crate) async fn handle(
    gateway: Rc<Gateway>,
    request: Request<Incoming>,
) -> Response<Full<Bytes>> {
    let _in_flight = InFlight::new(&gateway);
    let arrived = BootTime::now();
    let (head, body) = request.into_parts();
    let mut report = RequestReport::new(&gateway.reporter, &head.headers, arrived);
    let mut response = answer(&gateway, arrived, head, body, &mut report).await;
    // An open connection stays with its node: a caller that should use another
    // node has to open a new one.
    if gateway.phase() != LifecyclePhase::Ready {
        response.headers_mut().insert(header::CONNECTION, HeaderValue::from_static("close"));
    }
    report.finish(response.status());
    response
}

async fn answer(
    gateway: &Rc<Gateway>,
    arrived: BootTime,
    head: Parts,
    body: Incoming,
    report: &mut RequestReport<'_>,
) -> Response<Full<Bytes>> {
    let configuration = {
        let state = gateway.state.borrow();
        report.store_age = state.freshness.age(arrived);
        state.configuration.clone()
    };
    report.version = configuration.version;
    if configuration.version == 0 {
        report.verdict = Verdict::Starting;
        return refusal(STARTING_RETRY);
    }
    let body = match read_body(&configuration.limits, &head.headers, body).await {
        Ok(body) => body,
        Err(status) => {
            report.verdict = Verdict::BadRequest;
            return empty(status);
        }
    };
    if !head.headers.contains_key(headers::REQUEST_ID) {
        report.verdict = Verdict::BadRequest;
        return empty(StatusCode::BAD_REQUEST);
    }
    let host = host_of(&head);
    let route = gateway.state.borrow().routes.find(&host, head.uri.path()).cloned();
    let Some(route) = route else {
        report.verdict = Verdict::NoRoute;
        return empty(StatusCode::NOT_FOUND);
    };
    report.route = Some(route.clone());
    let patience = headers::deadline_of(&head.headers).unwrap_or(route.timeout);
    report.patience = patience;
    let (plan, scope) = plan_of(gateway, &route, arrived, patience.min(route.timeout));
    let request = Rc::new(backend_request(head, body));
    let mut outcome = run_fanout(gateway, plan, request, scope, |_, _| {}).await;
    report.take_in(&mut outcome);
    match &route.target {
        RouteTarget::Gather(gather) => search_answer(gather, &outcome),
        RouteTarget::Service(_) | RouteTarget::Split(_) => single_answer(outcome),
    }
}

async fn read_body(
    limits: &ClientLimits,
    headers: &HeaderMap,
    body: Incoming,
) -> Result<Bytes, StatusCode> {
    let header_bytes: usize =
        headers.iter().map(|(name, value)| name.as_str().len() + value.len() + 4).sum();
    if header_bytes > limits.header_bytes {
        return Err(StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE);
    }
    match Limited::new(body, limits.body_bytes).collect().await {
        Ok(whole) => Ok(whole.to_bytes()),
        Err(error) if error.is::<LengthLimitError>() => Err(StatusCode::PAYLOAD_TOO_LARGE),
        Err(_) => Err(StatusCode::BAD_REQUEST),
    }
}

fn host_of(head: &Parts) -> String {
    let host = head.headers.get(header::HOST).and_then(|host| host.to_str().ok());
    host.or_else(|| head.uri.host()).unwrap_or_default().to_owned()
}

fn plan_of(
    gateway: &Gateway,
    route: &RouteConfig,
    arrived: BootTime,
    patience: Duration,
) -> (FanoutPlan, DelegatedScope) {
    let state = &mut *gateway.state.borrow_mut();
    let (names, least): (Vec<Arc<str>>, usize) = match &route.target {
        RouteTarget::Service(service) => (vec![service.clone()], 1),
        RouteTarget::Split(parts) => {
            let part = state.rotation.next(&route.name, parts);
            (vec![parts[part].service.clone()], 1)
        }
        RouteTarget::Gather(gather) => (gather.shards.clone(), gather.least_shards()),
    };
    let fleet = &mut state.fleet;
    let services: Vec<_> = names.iter().map(|name| fleet.service(arrived, name)).collect();
    let class = fleet.classes.class_of(route);
    let answer_by = arrived + route.objective.saturating_sub(CLIENT_MARGIN).min(patience);
    let mut scope = DelegatedScope::default();
    let mut dealt = DealtShards::default();
    if let RouteTarget::Gather(gather) = &route.target {
        state.searches += 1;
        let request = DelegationRequest {
            names: &names,
            services: &services,
            class,
            objective: route.objective,
            attempts: route.attempts,
            answer_by,
            number: state.searches,
        };
        dealt = plan_delegations(arrived, request, fleet, &state.peers);
        scope = DelegatedScope {
            top: u32::try_from(gather.top).unwrap_or(u32::MAX),
            objective: route.objective,
            timeout: route.timeout,
        };
    }
    let plan = FanoutPlan {
        services,
        least,
        retry: route.retry,
        attempts: route.attempts,
        class,
        delegations: dealt.delegations,
        allowed: dealt.allowed,
        is_delegated: false,
        arrived,
        answer_by,
        deadline: arrived + patience.saturating_sub(ANSWER_MARGIN),
    };
    (plan, scope)
}

/// The request as it is forwarded: without headers of the caller's connection.
fn backend_request(head: Parts, body: Bytes) -> BackendRequest {
    let mut forwarded = head.headers;
    headers::remove_connection_headers(&mut forwarded);
    forwarded.remove(header::EXPECT);
    if !body.is_empty() {
        forwarded.insert(header::CONTENT_LENGTH, HeaderValue::from(body.len()));
    }
    let target = head.uri.path_and_query().map(|target| target.as_str()).unwrap_or("/");
    let target = target.parse().unwrap_or_default();
    BackendRequest { method: head.method, target, headers: forwarded, body }
}

fn search_answer(gather: &GatherPlan, outcome: &FanoutOutcome) -> Response<Full<Bytes>> {
    if outcome.end != FanoutEnd::Answered {
        return failed(outcome.end);
    }
    let answers = outcome.answers.iter().flatten();
    let direct = answers.clone().map(|answer| &answer.body[..]);
    let merged = outcome.merged.iter().map(|parts| &parts.records[..]);
    let body = merge_records(direct.chain(merged), gather.top);
    let direct = answers.filter_map(|answer| answer.headers.get(headers::SERVER_STAMP));
    let merged = outcome.merged.iter().flat_map(|parts| &parts.stamps);
    let stamps: Vec<&[u8]> =
        direct.map(HeaderValue::as_bytes).chain(merged.map(|stamp| &stamp[..])).collect();
    let stamps = stamps.join(&b", "[..]);
    let mut response = Response::new(Full::new(body));
    let missing = outcome.answers.len() - outcome.answered;
    let headers = response.headers_mut();
    // Stamps come out of header values, so that they make up one.
    if let Ok(stamps) = HeaderValue::from_bytes(&stamps) {
        headers.insert(headers::PART_STAMPS, stamps);
    }
    headers.insert(headers::MISSING_PARTS, HeaderValue::from(missing));
    response
}

fn single_answer(mut outcome: FanoutOutcome) -> Response<Full<Bytes>> {
    if outcome.end == FanoutEnd::Answered
        && let Some(answer) = outcome.answers.first_mut().and_then(Option::take)
    {
        return forwarded(answer);
    }
    // A refusal of the server says nothing that the caller may rely on here:
    // another attempt may have run.
    let failure = outcome.failure.filter(|answer| {
        outcome.end == FanoutEnd::Failed && answer.headers.contains_key(headers::SERVER_STAMP)
    });
    match failure {
        Some(answer) => forwarded(answer),
        None => failed(outcome.end),
    }
}

/// The server's answer as it goes to the caller.
fn forwarded(answer: BackendAnswer) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::new(answer.body));
    *response.status_mut() = answer.status;
    *response.headers_mut() = answer.headers;
    headers::remove_connection_headers(response.headers_mut());
    response
}

fn failed(end: FanoutEnd) -> Response<Full<Bytes>> {
    match end {
        FanoutEnd::NotRun => refusal(REFUSED_RETRY),
        FanoutEnd::TimedOut => empty(StatusCode::GATEWAY_TIMEOUT),
        FanoutEnd::Failed | FanoutEnd::Answered => empty(StatusCode::BAD_GATEWAY),
    }
}

fn refusal(wait: Duration) -> Response<Full<Bytes>> {
    let mut response = empty(StatusCode::SERVICE_UNAVAILABLE);
    response.headers_mut().insert(header::RETRY_AFTER, headers::retry_after_value(wait));
    response
}

fn empty(status: StatusCode) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::default());
    *response.status_mut() = status;
    response
}

impl RequestReport<'_> {
    fn take_in(&mut self, outcome: &mut FanoutOutcome) {
        self.verdict = outcome.end.into();
        self.shards = outcome.answers.len();
        self.answered = outcome.answered;
        self.lacking = outcome.lacking;
        self.delegations = outcome.delegations;
        self.extra_attempts = outcome.extra_attempts;
        self.trail = std::mem::take(&mut outcome.trail);
    }
}
