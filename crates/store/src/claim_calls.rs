//! Makes the calls that a [`ClaimMachine`] asks for.

use tokio::time::{Instant, timeout_at};

use crate::{
    call::{ObjectCall, ObjectKind, ObjectReply, ObjectVersion, StoreError},
    claim::{ClaimOutcome, ClaimRecord, ClaimRequest, ClaimWrite, OwnerSight},
    claim_machine::{ClaimEnd, ClaimMachine, ClaimRead, ClaimStep},
    pacing::CallPacing,
    settle::PutEnd,
    store::ObjectStore,
};

/// Takes the claim of a request, or finds out why not, until a deadline.
///
/// Only [`ClaimEnd::Acquired`] allows a dispatch.
pub async fn acquire_claim<S: ObjectStore>(
    store: &S,
    request: &ClaimRequest,
    sight: impl Fn(&ClaimRecord) -> OwnerSight,
    deadline: Instant,
) -> ClaimEnd {
    run(store, request, ClaimMachine::acquire(request), sight, deadline).await
}

/// Records the outcome of the attempt that acquired the claim at `version`.
pub async fn record_claim<S: ObjectStore>(
    store: &S,
    request: &ClaimRequest,
    version: ObjectVersion,
    outcome: ClaimOutcome,
    answer: Option<String>,
    deadline: Instant,
) -> ClaimEnd {
    let machine = ClaimMachine::record(request, version, outcome, answer);
    run(store, request, machine, |_| OwnerSight::Present, deadline).await
}

/// Records that an attempt which ended as [`ClaimEnd::Uncertain`] did not run.
pub async fn abandon_claim<S: ObjectStore>(
    store: &S,
    request: &ClaimRequest,
    deadline: Instant,
) -> ClaimEnd {
    let machine = ClaimMachine::abandon();
    run(store, request, machine, |_| OwnerSight::Present, deadline).await
}

async fn run<S: ObjectStore>(
    store: &S,
    request: &ClaimRequest,
    mut machine: ClaimMachine,
    sight: impl Fn(&ClaimRecord) -> OwnerSight,
    deadline: Instant,
) -> ClaimEnd {
    let name = request.object_name();
    let mut pacing = CallPacing::new(deadline);
    loop {
        if let ClaimStep::Done(end) = machine.step() {
            return end.clone();
        }
        if !pacing.wait().await {
            return machine.give_up();
        }
        match machine.step() {
            ClaimStep::Write(write) => {
                let call = put_call(&name, write);
                // A write that is cut off by the deadline may have left.
                let end = timeout_at(deadline, store.call(call))
                    .await
                    .map_or(PutEnd::AnswerLost, |result| PutEnd::from(&result));
                machine.on_write(end);
            }
            _ => {
                let call = ObjectCall::Get { kind: ObjectKind::Claim, name: name.clone() };
                let result = timeout_at(deadline, store.call(call)).await;
                machine.on_read(read_of(result.ok().as_ref()), request, &sight);
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

const fn read_of(result: Option<&Result<ObjectReply, StoreError>>) -> ClaimRead<'_> {
    match result {
        Some(Ok(ObjectReply::Found(object))) => ClaimRead::Seen(Some(object)),
        Some(Ok(ObjectReply::Missing)) => ClaimRead::Seen(None),
        _ => ClaimRead::Failed,
    }
}
