//! Calls between nodes: delegated shards of a search.

use std::{rc::Rc, time::Duration};

use bytes::Bytes;
use carobstep_clock::BootTime;
use carobstep_platform::headers;
use carobstep_tier::{
    FanoutPlan, LifecyclePhase, RetryPolicy, ServerFleet, ShardIndex, merge_records,
};
use carobstep_wire::{PeerHandler, ReplySink};
use http::{HeaderMap, HeaderName, HeaderValue};
use indexmap::IndexMap;
use log::debug;
use tokio::{
    sync::mpsc::{UnboundedReceiver, UnboundedSender, unbounded_channel},
    task::spawn_local,
};

use crate::{
    backend::{BackendAnswer, BackendRequest},
    fanout::run_fanout,
    follow::news_for,
    gateway::Gateway,
    peer_messages::{DelegatedParts, DelegatedSearch, PeerAnswer, PeerCall},
};

/// Time for a delegated answer on its way back: a zone's distance and a turn on
/// each processor.
const HOP_MARGIN: Duration = Duration::from_millis(4);

/// A call of a peer and where its answers go.
type QueuedCall = (PeerCall, ReplySink<PeerAnswer>);

/// Hands the calls of peers over to the thread that owns the gateway.
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
    type Request = PeerCall;
    type Reply = PeerAnswer;

    async fn handle(&self, call: PeerCall, replies: ReplySink<PeerAnswer>) {
        // A closed queue means that the process ends.
        let _ = self.calls.send((call, replies));
    }

    fn count_bad_input(&self) {
        debug!("a peer sent something that is no call");
    }
}

/// Answers the calls of peers for as long as the process lives.
pub(crate) async fn serve_calls(gateway: Rc<Gateway>, mut queue: UnboundedReceiver<QueuedCall>) {
    while let Some((call, replies)) = queue.recv().await {
        let gateway = gateway.clone();
        spawn_local(async move {
            tokio::select! {
                () = serve_call(&gateway, call, &replies) => {}
                () = replies.cancelled() => {}
            }
        });
    }
}

async fn serve_call(gateway: &Rc<Gateway>, call: PeerCall, replies: &ReplySink<PeerAnswer>) {
    match call {
        PeerCall::Search(search) => search_shards(gateway, search, replies).await,
        PeerCall::Follow(_) if gateway.state.borrow().lifecycle.is_stopping() => {
            replies.send(PeerAnswer::Refused);
        }
        PeerCall::Follow(call) => replies.send(news_for(gateway, call).await),
    }
}

async fn search_shards(
    gateway: &Rc<Gateway>,
    search: DelegatedSearch,
    replies: &ReplySink<PeerAnswer>,
) {
    let usable = matches!(gateway.phase(), LifecyclePhase::Ready | LifecyclePhase::CutOff);
    let top = search.top as usize;
    let Some((plan, request)) = usable.then(|| plan_of(gateway, search)).flatten() else {
        replies.send(PeerAnswer::Refused);
        return;
    };
    let mut ledger = ReportLedger { told: vec![false; plan.services.len()], has_reported: false };
    let scope = DelegatedScope::default();
    let mut report = |answers: &[Option<BackendAnswer>], unasked: &[ShardIndex]| {
        if let Some(parts) = ledger.next_parts(answers, unasked, top) {
            replies.send(PeerAnswer::Parts(parts));
        }
    };
    let outcome = run_fanout(gateway, plan, Rc::new(request), scope, &mut report).await;
    report(&outcome.answers, &outcome.unasked);
}

/// What the node that delegated some shards was told of them.
struct ReportLedger {
    /// One for each shard.
    told: Vec<bool>,
    has_reported: bool,
}

impl ReportLedger {
    /// Merges what was not told yet; `None` if nothing is new after a first report.
    fn next_parts(
        &mut self,
        answers: &[Option<BackendAnswer>],
        unasked: &[ShardIndex],
        top: usize,
    ) -> Option<DelegatedParts> {
        let mut merged = DelegatedParts::default();
        let mut parts = Vec::new();
        for (position, answer) in answers.iter().enumerate() {
            let Some(answer) = answer else { continue };
            let Some(stamp) = answer.headers.get(headers::SERVER_STAMP) else { continue };
            if std::mem::replace(&mut self.told[position], true) {
                continue;
            }
            merged.shards.push(u16::try_from(position).unwrap_or(u16::MAX));
            merged.stamps.push(Bytes::copy_from_slice(stamp.as_bytes()));
            parts.push(&answer.body[..]);
        }
        for shard in unasked {
            if !std::mem::replace(&mut self.told[usize::from(shard.0)], true) {
                merged.unasked.push(shard.0);
            }
        }
        merged.records = merge_records(parts, top);
        let is_new = !merged.shards.is_empty() || !merged.unasked.is_empty();
        let had_reported = std::mem::replace(&mut self.has_reported, true);
        (is_new || !had_reported).then_some(merged)
    }
}

fn plan_of(gateway: &Gateway, search: DelegatedSearch) -> Option<(FanoutPlan, BackendRequest)> {
    let now = BootTime::now();
    let state = &mut *gateway.state.borrow_mut();
    let fleet = &mut state.fleet;
    let mut services = Vec::with_capacity(search.shards.len());
    let mut allowed = IndexMap::with_capacity(search.shards.len());
    for (position, short_names) in search.shards.iter().enumerate() {
        // A shard of which no server is known here is given up at once.
        let (service, servers) = fleet.find_servers(short_names).unwrap_or_default();
        services.push(service);
        allowed.insert(ShardIndex(u16::try_from(position).unwrap_or(u16::MAX)), servers);
    }
    let plan = FanoutPlan {
        services,
        least: 0,
        retry: RetryPolicy::Idempotent,
        attempts: search.attempts,
        class: fleet.classes.class_for(search.objective, search.timeout, true),
        delegations: Vec::new(),
        allowed,
        is_delegated: true,
        arrived: now,
        answer_by: now + search.answer_in,
        deadline: now + search.deadline_in,
    };
    let mut forwarded = HeaderMap::with_capacity(search.headers.len());
    for (name, value) in &search.headers {
        let name = HeaderName::from_bytes(name.as_bytes()).ok()?;
        forwarded.append(name, HeaderValue::from_bytes(value).ok()?);
    }
    let request = BackendRequest {
        method: search.method.parse().ok()?,
        target: search.target.parse().ok()?,
        headers: forwarded,
        body: search.body,
    };
    Some((plan, request))
}

/// The call that asks a peer for some shards of a search.
pub(crate) fn search_call(
    fleet: &ServerFleet,
    request: &BackendRequest,
    plan: &FanoutPlan,
    group: usize,
    search: &DelegatedScope,
) -> PeerCall {
    let now = BootTime::now();
    let delegation = &plan.delegations[group];
    let servers = |shard| plan.allowed.get(shard).map(|keys| fleet.short_names(keys));
    let shards = delegation.shards.iter().map(|shard| servers(shard).unwrap_or_default());
    let mut copied = Vec::with_capacity(request.headers.len());
    for (name, value) in &request.headers {
        copied.push((name.as_str().to_owned(), Bytes::copy_from_slice(value.as_bytes())));
    }
    PeerCall::Search(DelegatedSearch {
        shards: shards.collect(),
        top: search.top,
        attempts: plan.attempts,
        objective: search.objective,
        timeout: search.timeout,
        answer_in: plan.answer_by.since(now).saturating_sub(HOP_MARGIN),
        deadline_in: plan.deadline.since(now),
        method: request.method.to_string(),
        target: request.target.to_string(),
        headers: copied,
        body: request.body.clone(),
    })
}

/// What a peer has to know of the whole search.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct DelegatedScope {
    pub(crate) top: u32,
    pub(crate) objective: Duration,
    pub(crate) timeout: Duration,
}
