//! Shard requests in flight for one request of a caller.

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

/// What all shard requests of one request have in common.
#[derive(Clone, Debug)]
pub struct RequestTemplate {
    /// Who the request comes from.
    pub identity: CallerIdentity,
    /// Body for the backend servers.
    pub body: Bytes,
    /// Snapshot, for searches.
    pub snapshot: Option<u64>,
    /// Key of a request that must run at most once.
    pub idempotency_key: Option<String>,
}

/// The end of one attempt.
#[derive(Debug)]
pub struct AttemptEnd {
    /// The attempt.
    pub attempt: AttemptKey,
    /// The holder's reply, or why there is none.
    pub result: Result<ShardReply, SendFailure>,
}

/// Attempts in flight. Dropping the set cancels all of them.
#[derive(Debug)]
pub struct AttemptSet {
    context: Arc<NodeContext>,
    template: RequestTemplate,
    calls: JoinSet<AttemptEnd>,
    aborts: IndexMap<AttemptKey, AbortHandle>,
}

impl AttemptSet {
    /// Builds an empty set.
    #[must_use]
    pub fn new(context: Arc<NodeContext>, template: RequestTemplate) -> Self {
        Self { context, template, calls: JoinSet::new(), aborts: IndexMap::new() }
    }

    /// Names the snapshot of all further attempts.
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
        let call = self.calls.spawn(async move {
            let result = context.send_shard(request).await;
            AttemptEnd { attempt, result }
        });
        self.aborts.insert(attempt, call);
    }

    /// Cancels an attempt; its end is never reported.
    pub fn cancel(&mut self, attempt: AttemptKey) {
        if let Some(call) = self.aborts.swap_remove(&attempt) {
            call.abort();
        }
    }

    /// Waits for the end of an attempt; `None` when `until` comes first.
    pub async fn next(&mut self, until: BootTime) -> Option<AttemptEnd> {
        let timer = sleep(until.since(BootTime::now()));
        tokio::pin!(timer);
        loop {
            tokio::select! {
                biased;
                Some(ended) = self.calls.join_next() => {
                    // An aborted call ends in an error and is not reported.
                    let Ok(ended) = ended else { continue };
                    if self.aborts.swap_remove(&ended.attempt).is_some() {
                        return Some(ended);
                    }
                }
                () = timer.as_mut() => return None,
            }
        }
    }
}
