//! The peers' listener: shard requests for held servers and control messages.

use std::sync::Arc;

use carobstep_wire::{
    ControlMessage, ControlReply, PeerHandler, PeerReply, PeerRequest, ReplySink,
};
use tokio::sync::oneshot;

use crate::{context::NodeContext, control_actor::ControlInput, counters::NodeEvent};

/// Answers requests of peer nodes.
#[derive(Debug)]
pub struct NodePeerHandler {
    context: Arc<NodeContext>,
}

impl NodePeerHandler {
    /// Builds the handler.
    #[must_use]
    pub const fn new(context: Arc<NodeContext>) -> Self {
        Self { context }
    }

    async fn control(&self, message: ControlMessage) -> ControlReply {
        let (sender, reply) = oneshot::channel();
        if let Some(actor) = self.context.control_actor.get() {
            // A failed send means that the process is ending.
            let _ = actor.cast(ControlInput::Peer(message, sender));
        }
        reply.await.unwrap_or(ControlReply::Done)
    }
}

impl PeerHandler for NodePeerHandler {
    type Request = PeerRequest;
    type Reply = PeerReply;

    async fn handle(&self, request: PeerRequest, replies: ReplySink<PeerReply>) {
        replies.send(match request {
            PeerRequest::Shard(request) => {
                PeerReply::Shard(self.context.holders.run(request).await)
            }
            PeerRequest::Control(message) => PeerReply::Control(self.control(message).await),
        });
    }

    fn count_bad_input(&self) {
        self.context.counters.event(NodeEvent::BadPeerInput);
    }
}
