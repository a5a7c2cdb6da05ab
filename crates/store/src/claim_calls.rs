//! Drives a [`ClaimMachine`] by making its calls.

use tokio::time::{Instant, timeout_at};

use crate::{
    backoff::CallBackoff,
    call::{ObjectCall, ObjectKind, ObjectReply, ObjectVersion, StoreError},
    claim::{ClaimOutcome, ClaimRecord, ClaimRequest, ClaimWrite, OwnerStatus},
    claim_machine::{ClaimMachine, ClaimRead, ClaimResult, ClaimStep},
    resolve::PutOutcome,
    store::ObjectStore,
};

/// Acquires the claim of a request before a deadline, or returns why it can't be
/// acquired.
///
/// The request may be dispatched only after [`ClaimResult::Acquired`].
pub async fn acquire_claim<S: ObjectStore>(
    store: &S,
    request: &ClaimRequest,
    owner_status: impl Fn(&ClaimRecord) -> OwnerStatus,
    deadline: Instant,
) -> ClaimResult {
    drive_machine(store, request, ClaimMachine::acquire(request), owner_status, deadline).await
}

/// Records the outcome of the attempt that acquired the claim at `version`.
pub async fn record_claim<S: ObjectStore>(
    store: &S,
    request: &ClaimRequest,
    version: ObjectVersion,
    outcome: ClaimOutcome,
    answer: Option<String>,
    deadline: Instant,
) -> ClaimResult {
    let machine = ClaimMachine::record(request, version, outcome, answer);
    drive_machine(store, request, machine, |_| OwnerStatus::Present, deadline).await
}

/// Records that an attempt that ended as [`ClaimResult::Uncertain`] did not run.
pub async fn abandon_claim<S: ObjectStore>(
    store: &S,
    request: &ClaimRequest,
    deadline: Instant,
) -> ClaimResult {
    let machine = ClaimMachine::abandon();
    drive_machine(store, request, machine, |_| OwnerStatus::Present, deadline).await
}

/// Makes the calls of `machine` until it is done or the deadline passes.
async fn drive_machine<S: ObjectStore>(
    store: &S,
    request: &ClaimRequest,
    mut machine: ClaimMachine,
    owner_status: impl Fn(&ClaimRecord) -> OwnerStatus,
    deadline: Instant,
) -> ClaimResult {
    let name = request.object_name();
    let mut backoff = CallBackoff::new(deadline);
    loop {
        if let ClaimStep::Done(result) = machine.step() {
            return result.clone();
        }
        if !backoff.wait().await {
            return machine.result_at_deadline();
        }
        match machine.step() {
            ClaimStep::Write(write) => {
                let call = put_call(&name, write);
                // A write that is cancelled at the deadline may have been sent.
                let outcome = timeout_at(deadline, store.call(call))
                    .await
                    .map_or(PutOutcome::ReplyLost, |result| PutOutcome::from(&result));
                machine.on_write(outcome);
            }
            _ => {
                let call = ObjectCall::Get { kind: ObjectKind::Claim, name: name.clone() };
                let result = timeout_at(deadline, store.call(call)).await;
                machine.on_read(claim_read(result.ok().as_ref()), request, &owner_status);
            }
        }
    }
}

fn put_call(name: &str, write: &ClaimWrite) -> ObjectCall {
    ObjectCall::Put {
        kind: ObjectKind::Claim,
        name: name.to_owned(),
        condition: write.condition,
        value: serde_json::json!(write.record),
    }
}

const fn claim_read(result: Option<&Result<ObjectReply, StoreError>>) -> ClaimRead<'_> {
    match result {
        Some(Ok(ObjectReply::Found(object))) => ClaimRead::Seen(Some(object)),
        Some(Ok(ObjectReply::Missing)) => ClaimRead::Seen(None),
        _ => ClaimRead::Failed,
    }
}
