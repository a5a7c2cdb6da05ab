//! Runs a search: plans it, fans it out to the shards and assembles the response.

use std::{sync::Arc, time::Duration};

use bytes::Bytes;
use carobstep_clock::BootTime;
use carobstep_config::{ConfigTopology, IndexEntry, IndexName, ShardName, SnapshotMap};
use carobstep_dispatch::{
    AdmissionGate, GateDecision, RequestAction, SearchLoad, SearchPlan, SearchReport, SearchState,
};
use carobstep_wire::{RefusalReason, RequestId, RequestOutcome, ShardResult};
use http::{Response, StatusCode};
use serde::Serialize;
use serde_json::value::RawValue;

use crate::{
    attempts::{AttemptSet, FinishedAttempt, RequestTemplate},
    context::{DEFAULT_RETRY_AFTER, NodeContext},
    counters::NodeEvent,
    identity::CallerIdentity,
    problem::{ProblemDocument, ResponseBody, json_response, refuse},
};

/// A search request from a caller.
#[derive(Clone, Debug)]
pub struct SearchRequest {
    /// Identity of the caller and the request.
    pub identity: CallerIdentity,
    /// Name of the index.
    pub index: String,
    /// Time limit set by the caller; the index's own limit caps it.
    pub time_limit: Option<Duration>,
    /// Body that is sent to the backend servers.
    pub body: Bytes,
}

/// Body of the response to a search.
#[derive(Debug, Serialize)]
struct SearchResponse<'report> {
    request_id: String,
    index: &'report str,
    snapshot: u64,
    coverage: CoverageLists<'report>,
    #[serde(skip_serializing_if = "Option::is_none")]
    retry_after_ms: Option<u64>,
    results: Vec<ShardBody<'report>>,
}

/// Shards that the response covers, and shards that are missing from it.
#[derive(Debug, Serialize)]
struct CoverageLists<'report> {
    covered: Vec<&'report ShardName>,
    lacking: Vec<MissingShard<'report>>,
}

#[derive(Debug, Serialize)]
struct MissingShard<'report> {
    shard: &'report ShardName,
    reason: RefusalReason,
}

#[derive(Debug, Serialize)]
struct ShardBody<'report> {
    shard: &'report ShardName,
    body: &'report RawValue,
}

/// A search in progress.
struct SearchRun {
    context: Arc<NodeContext>,
    index: IndexName,
    state: SearchState,
    map: Arc<SnapshotMap>,
    attempts: AttemptSet,
    started: BootTime,
    /// Whether any attempt finished with an unknown outcome.
    has_unknown_outcome: bool,
}

/// Runs one search and returns the response.
pub async fn run_search(
    context: Arc<NodeContext>,
    request: SearchRequest,
) -> Response<ResponseBody> {
    let started = BootTime::now();
    context.counters.count_event(NodeEvent::Searches);
    let id = request.identity.request;
    let run = match SearchRun::plan(context.clone(), &request, started) {
        Ok(run) => run,
        Err(problem) => return refuse(&context.counters, id, problem),
    };
    run.run(id).await
}

impl SearchRun {
    /// Admits the search and plans it on the newest snapshot of the index.
    fn plan(
        context: Arc<NodeContext>,
        request: &SearchRequest,
        now: BootTime,
    ) -> Result<Self, ProblemDocument> {
        let view = context.latest_view();
        let key = view.topology.find_index(&request.index);
        let entry = key.map(|key| view.topology.index_entry(key)).ok_or_else(|| {
            let detail = format!("index {:?} is not configured", request.index);
            ProblemDocument::new(RequestOutcome::NotRun, RefusalReason::UnknownTarget, detail)
        })?;
        let manifest = view.manifests.get(request.index.as_str()).ok_or_else(|| {
            let detail = format!("index {:?} has no manifest yet", request.index);
            ProblemDocument::new(RequestOutcome::NotRun, RefusalReason::NotReady, detail)
                .with_retry_after(DEFAULT_RETRY_AFTER)
        })?;
        admit(&context, entry, request.identity.caller, now)?;
        let time_limit =
            request.time_limit.map_or(entry.deadline, |limit| limit.min(entry.deadline));
        let map = manifest.newest().clone();
        let plan = SearchPlan {
            id: request.identity.attempt_seed(),
            deadline: now + time_limit,
            map: map.clone(),
            topology: view.topology.clone(),
        };
        context.counters.count_events(NodeEvent::ShardsNeeded, map.shards.len() as u64);
        let template = RequestTemplate {
            identity: request.identity.clone(),
            body: request.body.clone(),
            snapshot: Some(map.number),
            idempotency_key: None,
        };
        Ok(Self {
            attempts: AttemptSet::new(context.clone(), template),
            context,
            index: entry.name.clone(),
            state: SearchState::new(plan, now),
            map,
            started: now,
            has_unknown_outcome: false,
        })
    }

    /// Runs until every shard has a result or the deadline is near.
    async fn run(mut self, id: RequestId) -> Response<ResponseBody> {
        let mut actions = Vec::new();
        self.state.start(BootTime::now(), &mut self.context.lock_router(), &mut actions);
        self.execute_actions(&mut actions);
        while !self.state.is_finished() {
            let finished = self.attempts.next(self.state.next_wakeup()).await;
            self.advance(finished, &mut actions);
            self.execute_actions(&mut actions);
        }
        let Self { context, index, state, started, has_unknown_outcome, .. } = self;
        let report = state.into_report();
        report_load(&context, &index, started, &report);
        search_response(&context, id, &index, &report, has_unknown_outcome)
    }

    /// Passes a finished attempt to the search, or runs its timer if there is none.
    fn advance(&mut self, finished: Option<FinishedAttempt>, actions: &mut Vec<RequestAction>) {
        let now = BootTime::now();
        let router = &mut self.context.lock_router();
        let Some(finished) = finished else {
            return self.state.on_timer(now, router, actions);
        };
        match finished.result {
            Ok(reply) => {
                if let ShardResult::Refused { outcome, .. } = reply.result {
                    self.has_unknown_outcome |= outcome == RequestOutcome::Unknown;
                }
                self.state.on_reply(now, finished.attempt, reply, router, actions);
            }
            Err(failure) => {
                self.has_unknown_outcome |= failure.outcome == RequestOutcome::Unknown;
                let (outcome, reason) = (failure.outcome, failure.reason);
                self.state.on_failure(now, finished.attempt, outcome, reason, router, actions);
            }
        }
    }

    /// Executes actions, including those that a new plan adds.
    fn execute_actions(&mut self, actions: &mut Vec<RequestAction>) {
        while !actions.is_empty() {
            let batch = std::mem::take(actions);
            for action in batch {
                match action {
                    RequestAction::Send(send) => {
                        let server = self.state.topology().server(send.server).name.clone();
                        let shard = self.map.shards[send.shard].name.clone();
                        self.attempts.send(&send, server, Some(shard));
                    }
                    RequestAction::Cancel { attempt } => self.attempts.cancel(attempt),
                    RequestAction::Replan { avoid } => self.replan(avoid, actions),
                    RequestAction::CountRetry(reason) => self.context.counters.count_retry(reason),
                    RequestAction::CountRefusal(reason) => {
                        self.context.counters.count_refusal(reason)
                    }
                    RequestAction::Finish => {}
                }
            }
        }
    }

    /// Restarts the whole search on the newest snapshot other than `avoid`.
    fn replan(&mut self, avoid: u64, actions: &mut Vec<RequestAction>) {
        let view = self.context.latest_view();
        let Some((map, topology)) =
            newest_snapshot_except(&view.manifests, &view.topology, &self.index, avoid)
        else {
            return self.state.decline_replan(actions);
        };
        self.map = map.clone();
        self.attempts.set_snapshot(map.number);
        let router = &mut self.context.lock_router();
        self.state.restart(BootTime::now(), map, topology, router, actions);
    }
}

fn newest_snapshot_except(
    manifests: &indexmap::IndexMap<IndexName, carobstep_config::IndexManifest>,
    topology: &Arc<ConfigTopology>,
    index: &IndexName,
    avoid: u64,
) -> Option<(Arc<SnapshotMap>, Arc<ConfigTopology>)> {
    let manifest = manifests.get(index)?;
    let map = manifest.snapshots.iter().rev().find(|map| map.number != avoid)?;
    Some((map.clone(), topology.clone()))
}

/// Admits a search, or refuses it if the servers lack the capacity to answer it
/// in full.
fn admit(
    context: &NodeContext,
    index: &IndexEntry,
    caller: u64,
    now: BootTime,
) -> Result<(), ProblemDocument> {
    let mut gates = context.lock_gates();
    let gate =
        gates.entry(index.name.clone()).or_insert_with(|| AdmissionGate::new(now, index.deadline));
    let GateDecision::Refuse { retry_after } = gate.offer(now, caller) else { return Ok(()) };
    let detail = format!("index {:?}: the backend servers are at their limit", index.name.as_str());
    Err(ProblemDocument::new(RequestOutcome::NotRun, RefusalReason::Overloaded, detail)
        .with_retry_after(retry_after))
}

/// Reports to the admission gate how many shards were refused because of load.
fn report_load(context: &NodeContext, index: &IndexName, started: BootTime, report: &SearchReport) {
    let refused = report.missing().filter(|(_, reason)| is_overload(*reason)).count();
    let load = SearchLoad { shards: report.shards.len(), refused };
    if let Some(gate) = context.lock_gates().get_mut(index) {
        gate.finish(BootTime::now(), started, load);
    }
}

const fn is_overload(reason: RefusalReason) -> bool {
    matches!(
        reason,
        RefusalReason::DeadlineUnreachable | RefusalReason::QueueFull | RefusalReason::ServerShed
    )
}

fn search_response(
    context: &NodeContext,
    id: RequestId,
    index: &IndexName,
    report: &SearchReport,
    has_unknown_outcome: bool,
) -> Response<ResponseBody> {
    let (results, missing) = partition_shards(report);
    let complete = missing.is_empty();
    let event = if complete { NodeEvent::SearchesFull } else { NodeEvent::SearchesPartial };
    context.counters.count_event(event);
    let delay = report.retry_after.unwrap_or(DEFAULT_RETRY_AFTER);
    if results.is_empty()
        && let Some(first) = missing.first()
    {
        let outcome =
            if has_unknown_outcome { RequestOutcome::Unknown } else { RequestOutcome::NotRun };
        let detail =
            format!("index {:?}: none of {} shards answered", index.as_str(), missing.len());
        return ProblemDocument::new(outcome, first.reason, detail)
            .with_retry_after(delay)
            .into_response(id);
    }
    let retry_after_ms = (!complete).then(|| u64::try_from(delay.as_millis()).unwrap_or(u64::MAX));
    let response = SearchResponse {
        request_id: id.to_string(),
        index: index.as_str(),
        snapshot: report.snapshot(),
        coverage: CoverageLists {
            covered: results.iter().map(|result| result.shard).collect(),
            lacking: missing,
        },
        retry_after_ms,
        results,
    };
    json_response(StatusCode::OK, &response)
}

/// Splits the report into shards with and without a result. A shard whose body
/// is not JSON counts as missing.
fn partition_shards(report: &SearchReport) -> (Vec<ShardBody<'_>>, Vec<MissingShard<'_>>) {
    let mut results = Vec::with_capacity(report.shards.len());
    let mut missing = Vec::new();
    for (shard, body) in report.covered() {
        match serde_json::from_slice(body) {
            Ok(body) => results.push(ShardBody { shard, body }),
            Err(_) => missing.push(MissingShard { shard, reason: RefusalReason::ReplyTruncated }),
        }
    }
    for (shard, reason) in report.missing() {
        missing.push(MissingShard { shard, reason });
    }
    (results, missing)
}
