//! Backend servers whose grants this node holds.
//!
//! A grant makes one node the only one that sends requests to a server, its
//! holder. Each held server has one actor, which owns the queue and the
//! connections of that server. The registry maps a server's name to its actor.

mod actor;
mod exchange;
mod job;

use std::sync::{
    Arc, PoisonError, RwLock,
    atomic::{AtomicU64, Ordering},
};

use carobstep_config::ServerName;
use carobstep_wire::{RefusalReason, RequestOutcome, ShardReply, ShardRequest, ShardResult};
use indexmap::IndexMap;
use ractor::{Actor, ActorRef};
use tokio::sync::oneshot;

pub use actor::{HolderMessage, ServerLimits};
pub use job::{RunJob, RunKey};

use self::actor::{HolderActor, HolderArguments};
use crate::{
    context::{DEFAULT_RETRY_AFTER, NodeContext},
    error::{NodeError, NodeErrorKind},
};

/// Registry of the actors of the held backend servers.
#[derive(Debug, Default)]
pub struct HolderRegistry {
    actors: RwLock<IndexMap<ServerName, ActorRef<HolderMessage>>>,
    next_run: AtomicU64,
}

impl HolderRegistry {
    /// Starts the actor of a newly held server; does nothing if it already runs.
    ///
    /// # Errors
    ///
    /// Fails when the actor can't be started.
    pub async fn start(
        &self,
        context: Arc<NodeContext>,
        server: &ServerName,
        limits: ServerLimits,
    ) -> Result<(), NodeError> {
        if self.find(server).is_some() {
            return Ok(());
        }
        let arguments = HolderArguments { context, server: server.clone(), limits };
        let (actor, _) = Actor::spawn(None, HolderActor, arguments).await.map_err(|error| {
            NodeError::new(
                NodeErrorKind::Actor,
                format!("cannot start the holder actor of server {server}: {error}"),
            )
        })?;
        self.actors.write().unwrap_or_else(PoisonError::into_inner).insert(server.clone(), actor);
        Ok(())
    }

    /// Stops and removes the actor of a server that is no longer held.
    pub fn stop(&self, server: &ServerName) {
        let actor = self.actors.write().unwrap_or_else(PoisonError::into_inner).swap_remove(server);
        if let Some(actor) = actor {
            actor.stop(None);
        }
    }

    /// Sends a message to the actor of a server, if the server is held.
    pub fn send(&self, server: &ServerName, message: HolderMessage) {
        if let Some(actor) = self.find(server) {
            // A failed send means that the actor has stopped.
            let _ = actor.cast(message);
        }
    }

    /// Returns the names of the held servers.
    #[must_use]
    pub fn servers(&self) -> Vec<ServerName> {
        self.actors.read().unwrap_or_else(PoisonError::into_inner).keys().cloned().collect()
    }

    /// Runs a shard request on a held server. Dropping the future cancels the
    /// request.
    pub async fn run(&self, request: ShardRequest) -> ShardReply {
        let Some(actor) = self.find(&request.server) else {
            return refused_reply(&request, RequestOutcome::NotRun, RefusalReason::NotHolder);
        };
        let run = RunKey(self.next_run.fetch_add(1, Ordering::Relaxed));
        let lost_reply = refused_reply(&request, RequestOutcome::Unknown, RefusalReason::PeerLost);
        let (reply_tx, reply) = oneshot::channel();
        let job = RunJob::new(run, request, reply_tx);
        let mut guard = CancelGuard { actor: actor.clone(), run, armed: true };
        if let Err(error) = actor.cast(HolderMessage::Run(job)) {
            guard.armed = false;
            return match error {
                ractor::MessagingErr::SendErr(HolderMessage::Run(job)) => {
                    refused_reply(&job.request, RequestOutcome::NotRun, RefusalReason::NotHolder)
                }
                _ => lost_reply,
            };
        }
        let reply = reply.await.unwrap_or(lost_reply);
        guard.armed = false;
        reply
    }

    fn find(&self, server: &ServerName) -> Option<ActorRef<HolderMessage>> {
        self.actors.read().unwrap_or_else(PoisonError::into_inner).get(server).cloned()
    }
}

/// Cancels a run when the future that waits for its reply is dropped.
struct CancelGuard {
    actor: ActorRef<HolderMessage>,
    run: RunKey,
    armed: bool,
}

impl Drop for CancelGuard {
    fn drop(&mut self) {
        if self.armed {
            // A failed send means that the actor has stopped.
            let _ = self.actor.cast(HolderMessage::Cancel(self.run));
        }
    }
}

/// Builds the reply that refuses a request, with [`DEFAULT_RETRY_AFTER`].
pub fn refused_reply(
    request: &ShardRequest,
    outcome: RequestOutcome,
    reason: RefusalReason,
) -> ShardReply {
    let retry_after_ms = u64::try_from(DEFAULT_RETRY_AFTER.as_millis()).unwrap_or(u64::MAX);
    ShardReply {
        id: request.id,
        shard: request.shard.clone(),
        snapshot: request.snapshot,
        result: ShardResult::Refused { outcome, reason, retry_after_ms },
        queue_length: 0,
        service_us: 0,
    }
}
