//! One search: plan, fan out, assemble the answer.

use std::{sync::Arc, time::Duration};

use bytes::Bytes;
use carobstep_clock::BootTime;
use carobstep_config::{ConfigTopology, IndexEntry, IndexName, ShardName, SnapshotMap};
use carobstep_dispatch::{
    AdmissionGate, AnswerReport, GateDecision, QueryPlan, QueryState, RequestAction, SearchLoad,
};
use carobstep_wire::{RefusalReason, RequestId, RequestOutcome, ShardResult};
use http::{Response, StatusCode};
use serde::Serialize;
use serde_json::value::RawValue;

use crate::{
    attempts::{AttemptEnd, AttemptSet, RequestTemplate},
    context::{DEFAULT_RETRY_AFTER, NodeContext},
    counters::NodeEvent,
    identity::CallerIdentity,
    problem::{AnswerBody, ProblemDocument, json_response, refuse},
};

/// A search as a caller asked for it.
#[derive(Clone, Debug)]
pub struct SearchRequest {
    /// Who asks.
    pub identity: CallerIdentity,
    /// Name of the index.
    pub index: String,
    /// Deadline asked for, if shorter than the index's.
    pub deadline: Option<Duration>,
    /// Body for the backend servers.
    pub body: Bytes,
}

/// The answer to a search.
#[derive(Debug, Serialize)]
struct SearchAnswer<'report> {
    request_id: String,
    index: &'report str,
    snapshot: u64,
    coverage: CoverageLists<'report>,
    #[serde(skip_serializing_if = "Option::is_none")]
    retry_after_ms: Option<u64>,
    results: Vec<ShardAnswer<'report>>,
}

/// Which shards the answer covers and which it lacks.
#[derive(Debug, Serialize)]
struct CoverageLists<'report> {
    covered: Vec<&'report ShardName>,
    lacking: Vec<LackingShard<'report>>,
}

#[derive(Debug, Serialize)]
struct LackingShard<'report> {
    shard: &'report ShardName,
    reason: RefusalReason,
}

#[derive(Debug, Serialize)]
struct ShardAnswer<'report> {
    shard: &'report ShardName,
    body: &'report RawValue,
}

/// A search in progress.
struct SearchRun {
    context: Arc<NodeContext>,
    index: IndexName,
    state: QueryState,
    map: Arc<SnapshotMap>,
    attempts: AttemptSet,
    started: BootTime,
    any_unknown: bool,
}

/// Runs one search to its answer.
pub async fn run_search(context: Arc<NodeContext>, request: SearchRequest) -> Response<AnswerBody> {
    let started = BootTime::now();
    context.counters.event(NodeEvent::Searches);
    let id = request.identity.request;
    let run = match SearchRun::plan(context.clone(), &request, started) {
        Ok(run) => run,
        Err(problem) => return refuse(&context.counters, id, problem),
    };
    run.finish(id).await
}

impl SearchRun {
    /// Plans the search from the newest snapshot of the index.
    fn plan(
        context: Arc<NodeContext>,
        request: &SearchRequest,
        now: BootTime,
    ) -> Result<Self, ProblemDocument> {
        let view = context.latest_view();
        let key = view.topology.find_index(&request.index);
        let entry = key.map(|key| view.topology.search_index(key)).ok_or_else(|| {
            let detail = format!("index {:?} is not configured", request.index);
            ProblemDocument::new(RequestOutcome::NotRun, RefusalReason::UnknownTarget, detail)
        })?;
        let manifest = view.manifests.get(request.index.as_str()).ok_or_else(|| {
            let detail = format!("index {:?} has no manifest yet", request.index);
            ProblemDocument::new(RequestOutcome::NotRun, RefusalReason::NotReady, detail)
                .with_retry_after(DEFAULT_RETRY_AFTER)
        })?;
        admit(&context, entry, request.identity.caller, now)?;
        let span = request.deadline.map_or(entry.deadline, |asked| asked.min(entry.deadline));
        let map = manifest.newest().clone();
        let plan = QueryPlan {
            id: request.identity.attempt_seed(),
            deadline: now + span,
            map: map.clone(),
            topology: view.topology.clone(),
        };
        context.counters.events(NodeEvent::ShardsNeeded, map.shards.len() as u64);
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
            state: QueryState::new(plan, now),
            map,
            started: now,
            any_unknown: false,
        })
    }

    /// Runs until every shard is settled or the deadline is near.
    async fn finish(mut self, id: RequestId) -> Response<AnswerBody> {
        let mut actions = Vec::new();
        self.state.start(BootTime::now(), &mut self.context.lock_router(), &mut actions);
        self.carry_out(&mut actions);
        while !self.state.is_finished() {
            let ended = self.attempts.next(self.state.next_wakeup()).await;
            self.step(ended, &mut actions);
            self.carry_out(&mut actions);
        }
        let Self { context, index, state, started, any_unknown, .. } = self;
        let report = state.into_report();
        note_load(&context, &index, started, &report);
        answer(&context, id, &index, &report, any_unknown)
    }

    fn step(&mut self, ended: Option<AttemptEnd>, actions: &mut Vec<RequestAction>) {
        let now = BootTime::now();
        let router = &mut self.context.lock_router();
        let Some(ended) = ended else {
            return self.state.on_timer(now, router, actions);
        };
        match ended.result {
            Ok(reply) => {
                if let ShardResult::Refused { outcome, .. } = reply.result {
                    self.any_unknown |= outcome == RequestOutcome::Unknown;
                }
                self.state.on_reply(now, ended.attempt, reply, router, actions);
            }
            Err(failure) => {
                self.any_unknown |= failure.outcome == RequestOutcome::Unknown;
                let (outcome, reason) = (failure.outcome, failure.reason);
                self.state.on_failure(now, ended.attempt, outcome, reason, router, actions);
            }
        }
    }

    /// Carries out actions, those that follow from a new plan included.
    fn carry_out(&mut self, actions: &mut Vec<RequestAction>) {
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
                    RequestAction::CountRetry(reason) => self.context.counters.retry(reason),
                    RequestAction::CountRefusal(reason) => self.context.counters.refusal(reason),
                    RequestAction::Finish => {}
                }
            }
        }
    }

    /// Moves the whole query to the newest snapshot other than `avoid`.
    fn replan(&mut self, avoid: u64, actions: &mut Vec<RequestAction>) {
        let view = self.context.latest_view();
        let Some((map, topology)) =
            other_snapshot(&view.manifests, &view.topology, &self.index, avoid)
        else {
            return self.state.decline_move(actions);
        };
        self.map = map.clone();
        self.attempts.set_snapshot(map.number);
        let router = &mut self.context.lock_router();
        self.state.restart(BootTime::now(), map, topology, router, actions);
    }
}

fn other_snapshot(
    manifests: &indexmap::IndexMap<IndexName, carobstep_config::IndexManifest>,
    topology: &Arc<ConfigTopology>,
    index: &IndexName,
    avoid: u64,
) -> Option<(Arc<SnapshotMap>, Arc<ConfigTopology>)> {
    let manifest = manifests.get(index)?;
    let map = manifest.snapshots.iter().rev().find(|map| map.number != avoid)?;
    Some((map.clone(), topology.clone()))
}

/// Lets a search in, or refuses it when the servers can't carry it whole.
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

/// Tells the gate how many shards were refused for load.
fn note_load(context: &NodeContext, index: &IndexName, started: BootTime, report: &AnswerReport) {
    let refused = report.lacking().filter(|(_, reason)| is_overload(*reason)).count();
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

fn answer(
    context: &NodeContext,
    id: RequestId,
    index: &IndexName,
    report: &AnswerReport,
    any_unknown: bool,
) -> Response<AnswerBody> {
    let (results, lacking) = split(report);
    let complete = lacking.is_empty();
    let event = if complete { NodeEvent::SearchesFull } else { NodeEvent::SearchesPartial };
    context.counters.event(event);
    let delay = report.retry_after.unwrap_or(DEFAULT_RETRY_AFTER);
    if results.is_empty()
        && let Some(first) = lacking.first()
    {
        let outcome = if any_unknown { RequestOutcome::Unknown } else { RequestOutcome::NotRun };
        let detail =
            format!("index {:?}: none of {} shards answered", index.as_str(), lacking.len());
        return ProblemDocument::new(outcome, first.reason, detail)
            .with_retry_after(delay)
            .into_response(id);
    }
    let retry_after_ms = (!complete).then(|| u64::try_from(delay.as_millis()).unwrap_or(u64::MAX));
    let answer = SearchAnswer {
        request_id: id.to_string(),
        index: index.as_str(),
        snapshot: report.snapshot(),
        coverage: CoverageLists {
            covered: results.iter().map(|result| result.shard).collect(),
            lacking,
        },
        retry_after_ms,
        results,
    };
    json_response(StatusCode::OK, &answer)
}

/// Splits the report; a covered shard whose body is not JSON is lacking.
fn split(report: &AnswerReport) -> (Vec<ShardAnswer<'_>>, Vec<LackingShard<'_>>) {
    let mut results = Vec::with_capacity(report.shards.len());
    let mut lacking = Vec::new();
    for (shard, body) in report.covered() {
        match serde_json::from_slice(body) {
            Ok(body) => results.push(ShardAnswer { shard, body }),
            Err(_) => lacking.push(LackingShard { shard, reason: RefusalReason::ReplyTruncated }),
        }
    }
    for (shard, reason) in report.lacking() {
        lacking.push(LackingShard { shard, reason });
    }
    (results, lacking)
}
