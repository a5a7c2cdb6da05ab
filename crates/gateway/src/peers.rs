//! Requests from peers: delegated shards of a request, and store updates.

use std::{rc::Rc, time::Duration};

use bytes::Bytes;
use carobstep_clock::BootTime;
use carobstep_platform::headers::{self, ForwardedAccount};
use carobstep_tier::{
    AccountAccess, Delegation, FanoutOutcome, FanoutPlan, FanoutRole, LifecyclePhase, RetryPolicy,
    ServicesDigest, ShardIndex, merge_records,
};
use carobstep_wire::{PeerHandler, ReplySink};
use http::{HeaderMap, HeaderName, HeaderValue, header};
use indexmap::IndexMap;
use log::debug;
use tokio::{
    sync::mpsc::{UnboundedReceiver, UnboundedSender, unbounded_channel},
    task::spawn_local,
};

use crate::{
    account_handover::apply_handover,
    account_quota::apply_notice,
    backend::BackendRequest,
    fanout::{FanoutProgress, run_fanout},
    follow::wait_for_update,
    gateway::{Gateway, GatewayState, InFlightGuard},
    observations::{merge_hashed_observations, merge_observations},
    peer_messages::{
        DelegatedOutcome, DelegatedParts, DelegatedRequest, DelegatedResponse, DelegatedVerdict,
        FollowRequest, PeerReply, PeerRequest,
    },
    quota::grant_tokens,
    shares::answer_shares,
};

/// Time reserved for the transfer of a peer's reply: the network latency between two
/// zones, and scheduling on both nodes.
const HOP_MARGIN: Duration = Duration::from_millis(4);

/// Maximum size of the part of a response's body in one message, in bytes; well below that
/// of a message.
const MAX_CHUNK_BYTES: usize = 1024 * 1024;

/// A request of a peer and the sink for its replies.
type QueuedCall = (PeerRequest, ReplySink<PeerReply>);

/// Forwards requests of peers to the thread that owns the gateway.
#[derive(Debug)]
pub(crate) struct PeerBridge {
    calls: UnboundedSender<QueuedCall>,
}

impl PeerBridge {
    pub(crate) fn new() -> (Self, UnboundedReceiver<QueuedCall>) {
        let (calls, queue) = unbounded_channel();
        (Self { calls }, queue)
    }
}

impl PeerHandler for PeerBridge {
    type Request = PeerRequest;
    type Reply = PeerReply;

    async fn handle(&self, request: PeerRequest, replies: ReplySink<PeerReply>) {
        // The queue is closed when the process is exiting.
        let _ = self.calls.send((request, replies));
    }

    fn count_invalid_input(&self) {
        debug!("a peer sent an invalid request");
    }
}

/// Handles requests of peers for the lifetime of the process.
pub(crate) async fn serve_calls(gateway: Rc<Gateway>, mut queue: UnboundedReceiver<QueuedCall>) {
    while let Some((request, replies)) = queue.recv().await {
        let gateway = gateway.clone();
        spawn_local(async move {
            tokio::select! {
                () = serve_call(&gateway, request, &replies) => {}
                () = replies.cancelled() => {}
            }
        });
    }
}

async fn serve_call(gateway: &Rc<Gateway>, request: PeerRequest, replies: &ReplySink<PeerReply>) {
    match &request {
        PeerRequest::Delegated(delegated) => gateway.mark_leaving(&delegated.leaving),
        PeerRequest::DelegatedChecked(delegated, _) => gateway.mark_leaving(&delegated.leaving),
        PeerRequest::Follow(follow) => merge_follower(gateway, follow),
        PeerRequest::FollowExtended(follow, _) => merge_follower(gateway, follow),
        PeerRequest::Crashes(records) => gateway.merge_crashes(records),
        PeerRequest::Contact(links) => gateway.merge_links(links),
        PeerRequest::Quota(_)
        | PeerRequest::Share(_)
        | PeerRequest::Observations(_)
        | PeerRequest::NamedObservations(_)
        | PeerRequest::ShortAccounts(_)
        | PeerRequest::Handover(_) => {}
    }
    let is_stopping = gateway.state.borrow().lifecycle.is_stopping();
    match request {
        PeerRequest::Delegated(request) => serve_delegated(gateway, request, None, replies).await,
        PeerRequest::DelegatedChecked(request, digest) => {
            serve_delegated(gateway, *request, Some(digest), replies).await;
        }
        PeerRequest::Follow(_) | PeerRequest::FollowExtended(..) | PeerRequest::Contact(_)
            if is_stopping =>
        {
            replies.send(PeerReply::Refused);
        }
        PeerRequest::Crashes(_) => replies.send(PeerReply::Received),
        PeerRequest::Contact(_) => replies.send(PeerReply::Contact(gateway.own_links())),
        PeerRequest::Quota(request) => {
            replies.send(PeerReply::Quota(grant_tokens(gateway, &request)));
        }
        PeerRequest::Share(request) => {
            replies.send(PeerReply::Share(answer_shares(gateway, request).await));
        }
        PeerRequest::Observations(request) => {
            gateway.failures_notify.notify_one();
            replies.send(PeerReply::Observations(merge_hashed_observations(gateway, request)));
        }
        PeerRequest::NamedObservations(request) => {
            gateway.failures_notify.notify_one();
            replies.send(PeerReply::NamedObservations(merge_observations(gateway, &request)));
        }
        PeerRequest::Follow(request) => {
            replies.send(wait_for_update(gateway, request, None).await);
        }
        PeerRequest::FollowExtended(request, extensions) => {
            replies.send(wait_for_update(gateway, *request, Some(&extensions)).await);
        }
        PeerRequest::ShortAccounts(notice) => {
            replies.send(PeerReply::Support(apply_notice(gateway, &notice)));
        }
        PeerRequest::Handover(handover) => {
            apply_handover(gateway, &handover);
            replies.send(PeerReply::Received);
        }
    }
}

/// Applies what a follower knows.
fn merge_follower(gateway: &Rc<Gateway>, follow: &FollowRequest) {
    gateway.mark_leaving(&follow.leaving);
    gateway.merge_links(&follow.links);
    gateway.merge_limits(&follow.limits);
    gateway.merge_crashes(&follow.crashes);
}

/// Calls servers for a request of another node.
async fn serve_delegated(
    gateway: &Rc<Gateway>,
    request: DelegatedRequest,
    digest: Option<ServicesDigest>,
    replies: &ReplySink<PeerReply>,
) {
    let is_serving = matches!(gateway.phase(), LifecyclePhase::Ready | LifecyclePhase::CutOff);
    if !is_serving {
        replies.send(PeerReply::Refused);
        return;
    }
    if request.is_relay {
        let admission = gateway.take_relayed(request.shards.len(), request.priority);
        if let Err(retry_in) = admission {
            replies.send(PeerReply::Full(retry_in));
            return;
        }
    }
    // A node that stops finishes what it has taken on.
    let _in_flight = InFlightGuard::new(gateway);
    let (is_search, max_records) = (request.is_search, request.top as usize);
    let Some((plan, request)) = plan_delegated(gateway, request, digest) else {
        replies.send(PeerReply::Refused);
        return;
    };
    if is_search {
        search_shards(gateway, plan, request, max_records, replies).await;
    } else {
        call_service(gateway, plan, request, replies).await;
    }
}

async fn search_shards(
    gateway: &Rc<Gateway>,
    plan: FanoutPlan,
    request: BackendRequest,
    max_records: usize,
    replies: &ReplySink<PeerReply>,
) {
    let mut reported =
        ReportedShards { is_shard_reported: vec![false; plan.services.len()], has_replied: false };
    // Not used, because a peer does not delegate the shards further.
    let scope = DelegatedScope::default();
    let mut send_progress = |progress: &FanoutProgress<'_>| {
        if let Some(mut parts) = reported.next_parts(progress, max_records) {
            parts.leaving = gateway.recently_leaving();
            parts.links = gateway.own_links();
            replies.send(PeerReply::Parts(parts));
        }
    };
    let result = run_fanout(gateway, plan, Rc::new(request), scope, &mut send_progress).await;
    send_progress(&result.progress());
}

/// Sends a request to one service, and its outcome to the node that delegated it.
async fn call_service(
    gateway: &Rc<Gateway>,
    plan: FanoutPlan,
    request: BackendRequest,
    replies: &ReplySink<PeerReply>,
) {
    let scope = DelegatedScope::default();
    let mut result = run_fanout(gateway, plan, Rc::new(request), scope, |_| {}).await;
    let (verdict, response) = match result.outcome {
        FanoutOutcome::Answered => {
            (DelegatedVerdict::Answered, result.responses.first_mut().and_then(Option::take))
        }
        FanoutOutcome::NotRun if !result.not_called.is_empty() => {
            (DelegatedVerdict::NotCalled, None)
        }
        FanoutOutcome::NotRun => (DelegatedVerdict::NotRun, None),
        FanoutOutcome::Failed | FanoutOutcome::TimedOut => {
            (DelegatedVerdict::Failed, result.failure.take())
        }
    };
    let mut rest = Bytes::new();
    let response = response.map(|response| {
        let mut body = response.body;
        let length = body.len();
        rest = body.split_off(length.min(MAX_CHUNK_BYTES));
        let (status, headers) = (response.status.as_u16(), copy_headers(&response.headers));
        DelegatedResponse { status, headers, length, body }
    });
    replies.send(PeerReply::Outcome(Box::new(DelegatedOutcome {
        verdict,
        response,
        retry_in: result.retry_delay,
        leaving: gateway.recently_leaving(),
        links: gateway.own_links(),
    })));
    while !rest.is_empty() {
        replies.send(PeerReply::MoreBody(rest.split_to(rest.len().min(MAX_CHUNK_BYTES))));
    }
}

/// Which shards have been reported to the node that delegated them.
struct ReportedShards {
    /// One entry for each shard.
    is_shard_reported: Vec<bool>,
    /// Whether a reply has been sent, with results or without.
    has_replied: bool,
}

impl ReportedShards {
    /// Merges the results that have not been reported yet. Returns `None` if there are
    /// none, except on the first call.
    fn next_parts(
        &mut self,
        progress: &FanoutProgress<'_>,
        max_records: usize,
    ) -> Option<DelegatedParts> {
        let FanoutProgress { responses, not_called, broken } = progress;
        let mut parts = DelegatedParts::default();
        let mut bodies = Vec::new();
        for (position, response) in responses.iter().enumerate() {
            let Some(response) = response else { continue };
            let Some(stamp) = response.headers.get(headers::SERVER_STAMP) else { continue };
            if std::mem::replace(&mut self.is_shard_reported[position], true) {
                continue;
            }
            parts.shards.push(u16::try_from(position).unwrap_or(u16::MAX));
            parts.stamps.push(Bytes::copy_from_slice(stamp.as_bytes()));
            bodies.push(&response.body[..]);
        }
        for shard in *not_called {
            if !std::mem::replace(&mut self.is_shard_reported[usize::from(shard.0)], true) {
                parts.unasked.push(shard.0);
            }
        }
        for shard in *broken {
            if !std::mem::replace(&mut self.is_shard_reported[usize::from(shard.0)], true) {
                parts.broken.push(shard.0);
            }
        }
        parts.records = merge_records(bodies, max_records);
        let is_new =
            !(parts.shards.is_empty() && parts.unasked.is_empty() && parts.broken.is_empty());
        let had_replied = std::mem::replace(&mut self.has_replied, true);
        (is_new || !had_replied).then_some(parts)
    }
}

/// Plans a delegated request; `None` if it can't be decoded as HTTP.
fn plan_delegated(
    gateway: &Gateway,
    delegated: DelegatedRequest,
    digest: Option<ServicesDigest>,
) -> Option<(FanoutPlan, BackendRequest)> {
    let now = BootTime::now();
    let state = &mut *gateway.state.borrow_mut();
    let DelegatedRequest { is_search, is_first, objective, .. } = delegated;
    let reserve = if is_search {
        state.finish_lag.reserve(delegated.shards.len(), objective)
    } else {
        Duration::ZERO
    };
    let fleet = &mut state.fleet;
    let mut services = Vec::with_capacity(delegated.shards.len());
    let mut allowed = IndexMap::with_capacity(delegated.shards.len());
    for (position, id_hashes) in delegated.shards.iter().enumerate() {
        // A shard without a server that this node knows is abandoned at once.
        let (service, servers) = fleet.find_servers_by_hash(id_hashes).unwrap_or_default();
        services.push(service);
        allowed.insert(ShardIndex(u16::try_from(position).unwrap_or(u16::MAX)), servers);
    }
    let named = delegated.shards.iter().zip(&services).filter(|(names, _)| !names.is_empty());
    let found = fleet.services_digest(named.map(|(_, service)| *service));
    if digest.is_some_and(|digest| found != Some(digest)) {
        debug!("the names of servers in a delegated request mean others here, or none");
        allowed.values_mut().for_each(Vec::clear);
    }
    let plan = FanoutPlan {
        services,
        min_shards: usize::from(!is_search),
        retry: if delegated.is_at_most_once {
            RetryPolicy::AtMostOnce
        } else {
            RetryPolicy::Idempotent
        },
        attempts: delegated.attempts,
        class: fleet.classes.class_for(objective, delegated.timeout, is_search),
        delegations: Vec::new(),
        allowed,
        role: FanoutRole::Delegate { is_first },
        is_cautious: delegated.is_cautious,
        arrived: now,
        answer_by: now + delegated.answer_in.saturating_sub(reserve),
        deadline: now + delegated.deadline_in,
    };
    let mut headers = read_headers(&delegated.headers)?;
    // A sender that forwards a key does not have the configuration yet that introduces accounts.
    if state.accounts.is_in_force() && headers.contains_key(header::AUTHORIZATION) {
        let account = match state.accounts.identify(true, headers::account_key_of(&headers)) {
            AccountAccess::Known(account) => state.accounts.get(account),
            AccountAccess::Open | AccountAccess::Anonymous | AccountAccess::Denied => None,
        };
        let forwarded = account
            .map_or(ForwardedAccount::Absent, |account| ForwardedAccount::Named(&account.name));
        headers::set_account(&mut headers, forwarded);
    }
    let request = BackendRequest {
        method: delegated.method.parse().ok()?,
        target: delegated.target.parse().ok()?,
        headers,
        body: delegated.body,
    };
    Some((plan, request))
}

/// Builds the request that delegates shards to a peer.
pub(crate) fn build_delegated_request(
    state: &GatewayState,
    request: &BackendRequest,
    plan: &FanoutPlan,
    delegation: &Delegation,
    scope: &DelegatedScope,
) -> PeerRequest {
    let now = BootTime::now();
    let servers = |shard| plan.allowed.get(shard).map(|keys| state.fleet.id_hashes(keys));
    let shards = delegation.shards.iter().map(|shard| servers(shard).unwrap_or_default());
    let shards: Vec<_> = shards.collect();
    let services = delegation.shards.iter().filter_map(|it| plan.services.get(usize::from(it.0)));
    let named = shards.iter().zip(services).filter(|(names, _)| !names.is_empty());
    let digest = state.fleet.services_digest(named.map(|(_, service)| *service));
    let is_checked = state.peers.accepts_names(now, &delegation.peer);
    let request = DelegatedRequest {
        is_search: scope.is_search,
        is_at_most_once: plan.retry == RetryPolicy::AtMostOnce,
        is_cautious: plan.is_cautious,
        is_relay: delegation.is_relay,
        is_first: delegation.is_first,
        priority: scope.priority,
        shards,
        top: scope.max_records,
        attempts: plan.attempts,
        objective: scope.objective,
        timeout: scope.timeout,
        answer_in: plan.answer_by.since(now).saturating_sub(HOP_MARGIN),
        deadline_in: state.fleet.horizon().limit(plan.deadline).since(now),
        method: request.method.to_string(),
        target: request.target.to_string(),
        headers: copy_headers(&request.headers),
        body: request.body.clone(),
        leaving: state.directory.recently_leaving(now),
    };
    match digest.filter(|_| is_checked) {
        Some(digest) => PeerRequest::DelegatedChecked(Box::new(request), digest),
        None => PeerRequest::Delegated(request),
    }
}

fn copy_headers(headers: &HeaderMap) -> Vec<(String, Bytes)> {
    let mut copied = Vec::with_capacity(headers.len());
    for (name, value) in headers {
        copied.push((name.as_str().to_owned(), Bytes::copy_from_slice(value.as_bytes())));
    }
    copied
}

/// Decodes copied headers; `None` if a name or value is not valid in HTTP.
pub(crate) fn read_headers(copied: &[(String, Bytes)]) -> Option<HeaderMap> {
    let mut headers = HeaderMap::with_capacity(copied.len());
    for (name, value) in copied {
        let name = HeaderName::from_bytes(name.as_bytes()).ok()?;
        headers.append(name, HeaderValue::from_bytes(value).ok()?);
    }
    Some(headers)
}

/// Properties of the whole request that a peer needs.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct DelegatedScope {
    /// Whether the results of the shards are merged.
    pub(crate) is_search: bool,
    /// Priority of the request; 0 is the highest.
    pub(crate) priority: u32,
    /// Maximum number of greatest records in the response.
    pub(crate) max_records: u32,
    /// Latency objective of the route; determines the latency class with the timeout.
    pub(crate) objective: Duration,
    /// Timeout of the route.
    pub(crate) timeout: Duration,
}
