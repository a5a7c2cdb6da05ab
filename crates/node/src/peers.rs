//! Handler of the peers' listener: shard requests for servers that this node
//! holds, and control messages.

use std::sync::Arc;

use carobstep_wire::{
    ControlMessage, ControlReply, PeerHandler, PeerReply, PeerRequest, ReplySink,
};
use tokio::sync::oneshot;

use crate::{context::NodeContext, control_actor::ControlInput, counters::NodeEvent};

/// Handles requests from peer nodes.
#[derive(Debug)]
pub struct NodePeerHandler {
    context: Arc<NodeContext>,
}

impl NodePeerHandler {
    #[must_use]
    pub const fn new(context: Arc<NodeContext>) -> Self {
        Self { context }
    }

    async fn handle_control(&self, message: ControlMessage) -> ControlReply {
        let (reply_tx, reply_rx) = oneshot::channel();
        if let Some(actor) = self.context.control_actor.get() {
            // A failed send means that the process is ending.
            let _ = actor.cast(ControlInput::Peer(message, reply_tx));
        }
        reply_rx.await.unwrap_or(ControlReply::Done)
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
            PeerRequest::Control(message) => PeerReply::Control(self.handle_control(message).await),
        });
    }

    fn count_invalid_input(&self) {
        self.context.counters.count_event(NodeEvent::BadPeerInput);
    }
}
