//! Attempts, i.e. shard requests, in flight for one request from a caller.

use std::sync::Arc;

use bytes::Bytes;
use carobstep_clock::BootTime;
use carobstep_config::{ServerName, ShardName};
use carobstep_dispatch::{AttemptKey, AttemptSend};
use carobstep_wire::{ShardReply, ShardRequest};
use indexmap::IndexMap;
use tokio::{
    task::{AbortHandle, JoinSet},
    time::sleep,
};

use crate::{
    context::{NodeContext, SendFailure, budget_us},
    identity::CallerIdentity,
};

/// Values that all attempts of one request have in common.
#[derive(Clone, Debug)]
pub struct RequestTemplate {
    /// Identity of the caller and the request.
    pub identity: CallerIdentity,
    /// Body that is sent to the backend servers.
    pub body: Bytes,
    /// Number of the snapshot, for searches.
    pub snapshot: Option<u64>,
    /// Idempotency key, for a request that must run at most once.
    pub idempotency_key: Option<String>,
}

/// A finished attempt and its result.
#[derive(Debug)]
pub struct FinishedAttempt {
    pub attempt: AttemptKey,
    /// The holder's reply, or the failure to get one.
    pub result: Result<ShardReply, SendFailure>,
}

/// Set of attempts in flight. Dropping the set cancels all of them.
#[derive(Debug)]
pub struct AttemptSet {
    context: Arc<NodeContext>,
    template: RequestTemplate,
    tasks: JoinSet<FinishedAttempt>,
    abort_handles: IndexMap<AttemptKey, AbortHandle>,
}

impl AttemptSet {
    #[must_use]
    pub fn new(context: Arc<NodeContext>, template: RequestTemplate) -> Self {
        Self { context, template, tasks: JoinSet::new(), abort_handles: IndexMap::new() }
    }

    /// Sets the snapshot for all further attempts.
    pub fn set_snapshot(&mut self, snapshot: u64) {
        self.template.snapshot = Some(snapshot);
    }

    /// Sends one attempt to the holder of `server`.
    pub fn send(&mut self, send: &AttemptSend, server: ServerName, shard: Option<ShardName>) {
        let request = ShardRequest {
            id: send.id,
            server,
            shard,
            snapshot: self.template.snapshot,
            budget_us: budget_us(BootTime::now(), send.deadline),
            idempotency_key: self.template.idempotency_key.clone(),
            hedge: send.hedge,
            customer: self.template.identity.customer,
            caller: self.template.identity.caller,
            body: self.template.body.clone(),
        };
        let context = self.context.clone();
        let attempt = send.attempt;
        let abort_handle = self.tasks.spawn(async move {
            let result = context.send_shard(request).await;
            FinishedAttempt { attempt, result }
        });
        self.abort_handles.insert(attempt, abort_handle);
    }

    /// Cancels an attempt; [`AttemptSet::next`] does not return it.
    pub fn cancel(&mut self, attempt: AttemptKey) {
        if let Some(abort_handle) = self.abort_handles.swap_remove(&attempt) {
            abort_handle.abort();
        }
    }

    /// Waits until an attempt has finished, or returns `None` at the time `until`.
    pub async fn next(&mut self, until: BootTime) -> Option<FinishedAttempt> {
        let timer = sleep(until.since(BootTime::now()));
        tokio::pin!(timer);
        loop {
            tokio::select! {
                biased;
                Some(joined) = self.tasks.join_next() => {
                    // The task of a cancelled attempt ends with a join error, which is
                    // skipped.
                    let Ok(finished) = joined else { continue };
                    if self.abort_handles.swap_remove(&finished.attempt).is_some() {
                        return Some(finished);
                    }
                }
                () = timer.as_mut() => return None,
            }
        }
    }
}
