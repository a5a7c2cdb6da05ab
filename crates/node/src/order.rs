//! Service requests that run at most once, under the caller's idempotency key.
//!
//! The claim object is created before the request is sent, and its outcome is
//! recorded before the caller is answered, so that the same key through any
//! node finds the outcome instead of running again.

use std::{sync::Arc, time::Duration};

use carobstep_clock::BootTime;
use carobstep_config::ServiceKey;
use carobstep_dispatch::SingleReport;
use carobstep_logging::unix_millis;
use carobstep_store::{
    AttemptId, ClaimEnd, ClaimOutcome, ClaimRecord, ClaimRequest, ObjectVersion, OwnerSight,
    RecordedOutcome, abandon_claim, acquire_claim, digest_of, record_claim,
};
use carobstep_wire::{RefusalReason, RequestOutcome};
use http::Response;
use tokio::{sync::OwnedSemaphorePermit, time::Instant};

use crate::{
    context::{DEFAULT_RETRY_AFTER, NodeContext, NodeView},
    counters::NodeEvent,
    problem::{AnswerBody, ProblemDocument, refuse},
    service::{ServiceRequest, answer, ran, run_single},
};

/// Part of the deadline that taking the claim may use up.
const CLAIM_SHARE: u32 = 2;

/// Longest wait for the outcome to be recorded before the caller is answered.
const RECORD_WAIT: Duration = Duration::from_millis(500);

/// How long recording goes on after the caller was answered.
const RECORD_LIMIT: Duration = Duration::from_secs(60);

/// Age at which an open claim of a node that is not known counts as left behind.
const GONE_AGE: Duration = Duration::from_secs(10);

/// Runs a request at most once and answers with its outcome.
///
/// The work goes on when the caller disconnects, so that the outcome is
/// recorded for a caller that asks again.
pub async fn run_order(
    context: Arc<NodeContext>,
    view: Arc<NodeView>,
    service: ServiceKey,
    request: ServiceRequest,
    deadline: BootTime,
    permit: OwnedSemaphorePermit,
) -> Response<AnswerBody> {
    let id = request.identity.request;
    let Some(key) = request.key.clone() else {
        let detail = format!("service {:?} requires the header idempotency-key", request.service);
        let problem =
            ProblemDocument::new(RequestOutcome::NotRun, RefusalReason::KeyMissing, detail);
        return refuse(&context.counters, id, problem);
    };
    let claim = ClaimRequest {
        service: view.topology.service(service).name.clone(),
        key,
        body_digest: digest_of(&request.body),
        node: context.settings.node.clone(),
        incarnation: context.lock_control().incarnation(),
        attempt: AttemptId(rand::random()),
        time_ms: unix_millis(),
    };
    let order = OrderRun { context: context.clone(), view, service, request, deadline, claim };
    let work = tokio::spawn(async move {
        let _permit = permit;
        order.run().await
    });
    work.await.unwrap_or_else(|error| {
        let detail = format!("order ended early: {error}");
        let problem =
            ProblemDocument::new(RequestOutcome::Unknown, RefusalReason::ServerError, detail);
        refuse(&context.counters, id, problem)
    })
}

/// One attempt to run an order.
struct OrderRun {
    context: Arc<NodeContext>,
    view: Arc<NodeView>,
    service: ServiceKey,
    request: ServiceRequest,
    deadline: BootTime,
    claim: ClaimRequest,
}

impl OrderRun {
    async fn run(self) -> Response<AnswerBody> {
        match self.acquire().await {
            ClaimEnd::Acquired(version) => self.dispatch(version).await,
            ClaimEnd::Replay(recorded) => self.replay(&recorded),
            ClaimEnd::InProgress => self.in_progress(),
            ClaimEnd::Mismatch => {
                self.refuse(RefusalReason::ClaimMismatch, "the key was used with another body")
            }
            ClaimEnd::Uncertain => {
                self.abandon();
                self.refuse(RefusalReason::PlatformDown, "the claim could not be settled in time")
            }
            _ => self.refuse(RefusalReason::PlatformDown, "the claim could not be taken"),
        }
    }

    async fn acquire(&self) -> ClaimEnd {
        let limit = self.deadline.since(BootTime::now()) / CLAIM_SHARE;
        let sight = |record: &ClaimRecord| owner_sight(&self.context, record);
        let deadline = Instant::now() + limit;
        acquire_claim(self.context.claim_store.as_ref(), &self.claim, sight, deadline).await
    }

    async fn dispatch(self, version: ObjectVersion) -> Response<AnswerBody> {
        let report =
            run_single(&self.context, &self.view, self.service, &self.request, self.deadline).await;
        let response =
            answer(&self.context, self.request.identity.request, &self.request.service, &report);
        self.record(version, &report).await;
        response
    }

    /// Records the outcome; goes on in the background when that takes long.
    async fn record(self, version: ObjectVersion, report: &SingleReport) {
        let outcome = match report.outcome {
            RequestOutcome::Ran => ClaimOutcome::Ran,
            RequestOutcome::NotRun => ClaimOutcome::NotRun,
            RequestOutcome::Unknown => ClaimOutcome::Unknown,
        };
        let body = report.body.as_ref().map(|body| String::from_utf8_lossy(body).into_owned());
        let Self { context, claim, .. } = self;
        let recording = tokio::spawn(async move {
            let deadline = Instant::now() + RECORD_LIMIT;
            let store = context.claim_store.as_ref();
            record_claim(store, &claim, version, outcome, body, deadline).await
        });
        // After the wait the caller is answered anyway: it has the outcome.
        let _ = tokio::time::timeout(RECORD_WAIT, recording).await;
    }

    /// Records in the background that a claim that may still land did not run.
    fn abandon(&self) {
        let context = self.context.clone();
        let claim = self.claim.clone();
        tokio::spawn(async move {
            let deadline = Instant::now() + RECORD_LIMIT;
            abandon_claim(context.claim_store.as_ref(), &claim, deadline).await
        });
    }

    fn replay(&self, recorded: &RecordedOutcome) -> Response<AnswerBody> {
        self.context.counters.event(NodeEvent::ServiceReplays);
        let id = self.request.identity.request;
        if recorded.outcome == ClaimOutcome::Ran {
            let body = recorded.answer.as_deref().unwrap_or("null");
            return ran(id, body.as_bytes(), true);
        }
        let detail = format!("service {:?}: the recorded outcome is unknown", self.request.service);
        let problem =
            ProblemDocument::new(RequestOutcome::Unknown, RefusalReason::ServerError, detail);
        refuse(&self.context.counters, id, problem)
    }

    fn in_progress(&self) -> Response<AnswerBody> {
        let detail =
            format!("service {:?}: the key's request is in progress", self.request.service);
        let problem =
            ProblemDocument::new(RequestOutcome::Unknown, RefusalReason::ClaimInProgress, detail)
                .with_retry_after(DEFAULT_RETRY_AFTER);
        refuse(&self.context.counters, self.request.identity.request, problem)
    }

    fn refuse(&self, reason: RefusalReason, text: &str) -> Response<AnswerBody> {
        let detail = format!("service {:?}: {text}", self.request.service);
        let mut problem = ProblemDocument::new(RequestOutcome::NotRun, reason, detail);
        if reason == RefusalReason::PlatformDown {
            problem = problem.with_retry_after(DEFAULT_RETRY_AFTER);
        }
        refuse(&self.context.counters, self.request.identity.request, problem)
    }
}

/// What this node knows of the owner of a claim. `Gone` may be wrong: it only
/// leads to the record of an unknown outcome, which the owner may replace.
fn owner_sight(context: &NodeContext, record: &ClaimRecord) -> OwnerSight {
    let control = context.lock_control();
    if record.node == context.settings.node {
        let same = record.incarnation == control.incarnation();
        return if same { OwnerSight::Present } else { OwnerSight::Gone };
    }
    let mut peers = control.live_peers(BootTime::now());
    if let Some(peer) = peers.find(|peer| peer.node == record.node) {
        let same = peer.incarnation == record.incarnation;
        return if same { OwnerSight::Present } else { OwnerSight::Gone };
    }
    let age = Duration::from_millis(unix_millis().saturating_sub(record.time_ms));
    if age > GONE_AGE { OwnerSight::Gone } else { OwnerSight::Present }
}
