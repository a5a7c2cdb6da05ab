//! A shard request that a holder queues and runs.

use std::time::Duration;

use carobstep_clock::BootTime;
use carobstep_dispatch::{CustomerKey, QueueTicket};
use carobstep_wire::{RefusalReason, RequestOutcome, ShardReply, ShardRequest, ShardResult};
use tokio::sync::oneshot;

/// Identifier of one run of a shard request, unique within the node's process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct RunKey(pub u64);

/// A shard request with the channel for its reply.
#[derive(Debug)]
pub struct RunJob {
    pub run: RunKey,
    pub request: ShardRequest,
    /// Time by which the reply must be sent.
    pub deadline: BootTime,
    reply: Option<oneshot::Sender<ShardReply>>,
    /// Dropping this sender cancels the exchange with the backend server.
    cancel: Option<oneshot::Sender<()>>,
}

impl RunJob {
    /// Builds a job whose deadline is the request's time budget from now.
    #[must_use]
    pub fn new(run: RunKey, request: ShardRequest, reply: oneshot::Sender<ShardReply>) -> Self {
        let deadline = BootTime::now() + Duration::from_micros(request.budget_us);
        Self { run, request, deadline, reply: Some(reply), cancel: None }
    }

    /// Returns the job's entry for the server's queue.
    #[must_use]
    pub const fn ticket(&self) -> QueueTicket {
        QueueTicket {
            deadline: self.deadline,
            hedge: self.request.hedge,
            customer: CustomerKey(self.request.customer),
            caller_id: self.request.caller,
        }
    }

    /// Creates the signal that cancels the job's exchange.
    pub fn create_cancel_signal(&mut self) -> oneshot::Receiver<()> {
        let (cancel, cancelled) = oneshot::channel();
        self.cancel = Some(cancel);
        cancelled
    }

    /// Cancels the exchange, if one is running.
    pub fn cancel(&mut self) {
        self.cancel = None;
    }

    /// Sends the reply; later calls do nothing.
    pub fn reply(&mut self, result: ShardResult, queue_length: usize, service_time: Duration) {
        let Some(reply) = self.reply.take() else { return };
        // A failed send means that the requester no longer waits.
        let _ = reply.send(ShardReply {
            id: self.request.id,
            shard: self.request.shard.clone(),
            snapshot: self.request.snapshot,
            result,
            queue_length: u16::try_from(queue_length).unwrap_or(u16::MAX),
            service_us: u64::try_from(service_time.as_micros()).unwrap_or(u64::MAX),
        });
    }

    /// Sends a refusal as the reply.
    pub fn refuse(
        &mut self,
        outcome: RequestOutcome,
        reason: RefusalReason,
        retry_after: Duration,
        queue_length: usize,
    ) {
        let retry_after_ms = u64::try_from(retry_after.as_millis()).unwrap_or(u64::MAX).max(1);
        let result = ShardResult::Refused { outcome, reason, retry_after_ms };
        self.reply(result, queue_length, Duration::ZERO);
    }
}
