//! Service requests that run at most once, under the caller's idempotency key.

use std::sync::Arc;

use carobstep_clock::BootTime;
use carobstep_config::ServiceKey;
use carobstep_platform::{
    Condition, ObjectCall, ObjectKind, ObjectReply, ObjectStore, StoreErrorKind,
};
use carobstep_wire::{Outcome, RefusalReason};
use http::Response;
use serde_json::{Value, json};
use xxhash_rust::xxh3::xxh3_128;

use crate::{
    context::{DEFAULT_RETRY_AFTER, NodeContext, NodeView},
    problem::{AnswerBody, Problem},
    service::{ServiceRequest, answer, refuse, run_single},
};

/// Claims the key, runs the request and records its outcome.
///
/// The work goes on when the caller disconnects, so that the outcome is
/// recorded for a caller that asks again.
pub async fn run_order(
    context: Arc<NodeContext>,
    view: Arc<NodeView>,
    service: ServiceKey,
    request: ServiceRequest,
    deadline: BootTime,
) -> Response<AnswerBody> {
    let id = request.identity.request;
    let Some(key) = request.key.clone() else {
        let detail = format!("service {:?} requires the header idempotency-key", request.service);
        let problem = Problem::new(Outcome::NotRun, RefusalReason::KeyMissing, detail);
        return refuse(&context, id, problem);
    };
    let name = format!("{}.{:032x}", request.service, xxh3_128(key.as_bytes()));
    let value = json!({ "request_id": id.to_string(), "state": "dispatched" });
    let call = ObjectCall::Put {
        kind: ObjectKind::Claim,
        name,
        condition: Condition::Absent,
        value: Value::clone(&value),
    };
    match context.store.call(call).await {
        Ok(ObjectReply::Written(_)) => {}
        Ok(_) => {
            let detail = format!("service {:?}: the key is claimed already", request.service);
            let problem = Problem::new(Outcome::Unknown, RefusalReason::ClaimInProgress, detail);
            return refuse(&context, id, problem.with_retry_after(DEFAULT_RETRY_AFTER));
        }
        Err(error) => {
            let detail = format!("service {:?}: {error}", request.service);
            let outcome = match error.kind() {
                StoreErrorKind::NotSent => Outcome::NotRun,
                _ => Outcome::Unknown,
            };
            let problem = Problem::new(outcome, RefusalReason::PlatformDown, detail);
            return refuse(&context, id, problem.with_retry_after(DEFAULT_RETRY_AFTER));
        }
    }
    let report = run_single(&context, &view, service, &request, deadline).await;
    answer(&context, id, &request.service, &report, false)
}
