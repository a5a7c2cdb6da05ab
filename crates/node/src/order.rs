//! Orders: service requests that run at most once per idempotency key.
//!
//! A claim object for the key is created in the platform's store before the
//! request is sent, and the outcome is recorded in it before the caller gets the
//! response. A repeated request with the same key, through any node, finds the
//! recorded outcome and does not run again.

use std::{sync::Arc, time::Duration};

use carobstep_clock::BootTime;
use carobstep_config::ServiceKey;
use carobstep_dispatch::ServiceRequestReport;
use carobstep_logging::unix_millis;
use carobstep_store::{
    AttemptId, ClaimOutcome, ClaimRecord, ClaimRequest, ClaimResult, ObjectVersion, OwnerStatus,
    RecordedOutcome, abandon_claim, acquire_claim, hex_digest, record_claim,
};
use carobstep_wire::{RefusalReason, RequestOutcome};
use http::Response;
use tokio::{sync::OwnedSemaphorePermit, time::Instant};

use crate::{
    context::{DEFAULT_RETRY_AFTER, NodeContext, NodeView},
    counters::NodeEvent,
    problem::{ProblemDocument, ResponseBody, refuse},
    service::{ServiceRequest, run_service_request, service_response, success_response},
};

/// Acquiring the claim may use at most the time left until the deadline divided
/// by this number.
const CLAIM_TIME_DIVISOR: u32 = 2;

/// Longest time for which the response waits for the outcome to be recorded.
const RECORD_WAIT: Duration = Duration::from_millis(500);

/// Time limit for recording an outcome, which may go on after the response.
const RECORD_TIMEOUT: Duration = Duration::from_secs(60);

/// Age of an open claim from which its owner counts as unavailable, if this node
/// does not know the owner as a live peer.
const UNKNOWN_OWNER_TIMEOUT: Duration = Duration::from_secs(10);

/// Runs a request at most once and returns the response with its outcome.
///
/// The request goes on if the caller disconnects, so that its outcome is
/// recorded for a retry.
pub async fn run_order(
    context: Arc<NodeContext>,
    view: Arc<NodeView>,
    service: ServiceKey,
    request: ServiceRequest,
    deadline: BootTime,
    permit: OwnedSemaphorePermit,
) -> Response<ResponseBody> {
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
        body_digest: hex_digest(&request.body),
        node: context.settings.node.clone(),
        incarnation: context.lock_control().incarnation(),
        attempt: AttemptId(rand::random()),
        time_ms: unix_millis(),
    };
    let order = OrderRun { context: context.clone(), view, service, request, deadline, claim };
    let task = tokio::spawn(async move {
        let _permit = permit;
        order.run().await
    });
    task.await.unwrap_or_else(|error| {
        let detail = format!("order ended early: {error}");
        let problem =
            ProblemDocument::new(RequestOutcome::Unknown, RefusalReason::ServerError, detail);
        refuse(&context.counters, id, problem)
    })
}

/// One attempt to run an order under its claim.
struct OrderRun {
    context: Arc<NodeContext>,
    view: Arc<NodeView>,
    service: ServiceKey,
    request: ServiceRequest,
    deadline: BootTime,
    claim: ClaimRequest,
}

impl OrderRun {
    async fn run(self) -> Response<ResponseBody> {
        match self.acquire().await {
            ClaimResult::Acquired(claim_version) => self.dispatch(claim_version).await,
            ClaimResult::Replay(recorded) => self.replay(&recorded),
            ClaimResult::InProgress => self.refuse_in_progress(),
            ClaimResult::Mismatch => self
                .refuse_not_run(RefusalReason::ClaimMismatch, "the key was used with another body"),
            ClaimResult::Uncertain => {
                self.abandon();
                self.refuse_not_run(
                    RefusalReason::PlatformDown,
                    "the claim could not be settled in time",
                )
            }
            _ => self.refuse_not_run(RefusalReason::PlatformDown, "the claim could not be taken"),
        }
    }

    async fn acquire(&self) -> ClaimResult {
        let time_limit = self.deadline.since(BootTime::now()) / CLAIM_TIME_DIVISOR;
        let status = |record: &ClaimRecord| owner_status(&self.context, record);
        let deadline = Instant::now() + time_limit;
        acquire_claim(self.context.claim_store.as_ref(), &self.claim, status, deadline).await
    }

    async fn dispatch(self, claim_version: ObjectVersion) -> Response<ResponseBody> {
        let report = run_service_request(
            &self.context,
            &self.view,
            self.service,
            &self.request,
            self.deadline,
        )
        .await;
        let response = service_response(
            &self.context,
            self.request.identity.request,
            &self.request.service,
            &report,
        );
        self.record(claim_version, &report).await;
        response
    }

    /// Records the outcome. Returns after [`RECORD_WAIT`] at the latest, while the
    /// recording goes on in the background.
    async fn record(self, claim_version: ObjectVersion, report: &ServiceRequestReport) {
        let outcome = match report.outcome {
            RequestOutcome::Ran => ClaimOutcome::Ran,
            RequestOutcome::NotRun => ClaimOutcome::NotRun,
            RequestOutcome::Unknown => ClaimOutcome::Unknown,
        };
        let body = report.body.as_ref().map(|body| String::from_utf8_lossy(body).into_owned());
        let Self { context, claim, .. } = self;
        let recording = tokio::spawn(async move {
            let deadline = Instant::now() + RECORD_TIMEOUT;
            let store = context.claim_store.as_ref();
            record_claim(store, &claim, claim_version, outcome, body, deadline).await
        });
        // After a time-out the caller still gets the outcome, in the response.
        let _ = tokio::time::timeout(RECORD_WAIT, recording).await;
    }

    /// Records in the background that the request did not run, since the write of
    /// its claim may still take effect.
    fn abandon(&self) {
        let context = self.context.clone();
        let claim = self.claim.clone();
        tokio::spawn(async move {
            let deadline = Instant::now() + RECORD_TIMEOUT;
            abandon_claim(context.claim_store.as_ref(), &claim, deadline).await
        });
    }

    /// Builds the response from a recorded outcome, which is `Ran` or `Unknown`:
    /// a claim with the outcome `NotRun` is acquired again instead.
    fn replay(&self, recorded: &RecordedOutcome) -> Response<ResponseBody> {
        self.context.counters.count_event(NodeEvent::ServiceReplays);
        let id = self.request.identity.request;
        if recorded.outcome == ClaimOutcome::Ran {
            let body = recorded.answer.as_deref().unwrap_or("null");
            return success_response(id, body.as_bytes(), true);
        }
        let detail = format!("service {:?}: the recorded outcome is unknown", self.request.service);
        let problem =
            ProblemDocument::new(RequestOutcome::Unknown, RefusalReason::ServerError, detail);
        refuse(&self.context.counters, id, problem)
    }

    fn refuse_in_progress(&self) -> Response<ResponseBody> {
        let detail =
            format!("service {:?}: the key's request is in progress", self.request.service);
        let problem =
            ProblemDocument::new(RequestOutcome::Unknown, RefusalReason::ClaimInProgress, detail)
                .with_retry_after(DEFAULT_RETRY_AFTER);
        refuse(&self.context.counters, self.request.identity.request, problem)
    }

    fn refuse_not_run(&self, reason: RefusalReason, text: &str) -> Response<ResponseBody> {
        let detail = format!("service {:?}: {text}", self.request.service);
        let mut problem = ProblemDocument::new(RequestOutcome::NotRun, reason, detail);
        if reason == RefusalReason::PlatformDown {
            problem = problem.with_retry_after(DEFAULT_RETRY_AFTER);
        }
        refuse(&self.context.counters, self.request.identity.request, problem)
    }
}

/// Returns what this node knows about whether the owner of a claim still runs.
///
/// `Unavailable` may be wrong. It only makes this node record an unknown outcome, which
/// the owner may still replace.
fn owner_status(context: &NodeContext, record: &ClaimRecord) -> OwnerStatus {
    let control = context.lock_control();
    if record.node == context.settings.node {
        let is_same_process = record.incarnation == control.incarnation();
        return if is_same_process { OwnerStatus::Present } else { OwnerStatus::Unavailable };
    }
    let mut peers = control.live_peers(BootTime::now());
    if let Some(peer) = peers.find(|peer| peer.node == record.node) {
        let is_same_process = peer.incarnation == record.incarnation;
        return if is_same_process { OwnerStatus::Present } else { OwnerStatus::Unavailable };
    }
    let age = Duration::from_millis(unix_millis().saturating_sub(record.time_ms));
    if age > UNKNOWN_OWNER_TIMEOUT { OwnerStatus::Unavailable } else { OwnerStatus::Present }
}
