//! One shard request on its way through a holder.

use std::time::Duration;

use carobstep_clock::BootTime;
use carobstep_dispatch::{CustomerKey, QueueTicket};
use carobstep_wire::{RefusalReason, RequestOutcome, ShardReply, ShardRequest, ShardResult};
use tokio::sync::oneshot;

/// Identifies one run at one node.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct RunKey(pub u64);

/// A shard request and the way back to whoever waits for its reply.
#[derive(Debug)]
pub struct RunJob {
    /// Identifier of the run.
    pub run: RunKey,
    /// The request.
    pub request: ShardRequest,
    /// When the reply must be there.
    pub deadline: BootTime,
    reply: Option<oneshot::Sender<ShardReply>>,
    /// Dropping it cancels the exchange with the backend server.
    cancel: Option<oneshot::Sender<()>>,
}

impl RunJob {
    /// Builds a job whose deadline counts from now.
    #[must_use]
    pub fn new(run: RunKey, request: ShardRequest, reply: oneshot::Sender<ShardReply>) -> Self {
        let deadline = BootTime::now() + Duration::from_micros(request.budget_us);
        Self { run, request, deadline, reply: Some(reply), cancel: None }
    }

    /// The job as the server's queue sees it.
    #[must_use]
    pub const fn ticket(&self) -> QueueTicket {
        QueueTicket {
            deadline: self.deadline,
            hedge: self.request.hedge,
            customer: CustomerKey(self.request.customer),
            caller: self.request.caller,
        }
    }

    /// Arms the job with a signal that ends its exchange.
    pub fn arm(&mut self) -> oneshot::Receiver<()> {
        let (cancel, cancelled) = oneshot::channel();
        self.cancel = Some(cancel);
        cancelled
    }

    /// Ends the exchange, if one runs.
    pub fn cancel(&mut self) {
        self.cancel = None;
    }

    /// Sends the reply; only the first one counts.
    pub fn reply(&mut self, result: ShardResult, queue_length: usize, service: Duration) {
        let Some(reply) = self.reply.take() else { return };
        // A failed send means that nobody waits any more.
        let _ = reply.send(ShardReply {
            id: self.request.id,
            shard: self.request.shard.clone(),
            snapshot: self.request.snapshot,
            result,
            queue_length: u16::try_from(queue_length).unwrap_or(u16::MAX),
            service_us: u64::try_from(service.as_micros()).unwrap_or(u64::MAX),
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
