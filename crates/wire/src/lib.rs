//! Messages between nodes, and the HTTP/2 streams that carry them.
//!
//! Each request uses one stream. The request body is one bincode frame; the
//! response body holds one or more reply frames, each prefixed with its length.
//! Resetting the stream cancels the request.

mod client;
mod codec;
mod control;
mod error;
mod listener;
mod reason;
mod server;
mod shard;
mod shard_codec;
mod stream;

pub use client::{PeerHealth, PeerHealthUpdate, PeerPool, ReplyStream};
pub use codec::{MAX_FRAME_BYTES, decode, encode};
pub use control::{
    ConfigCopy, ControlMessage, ControlReply, FetchReply, FetchRequest, GossipDigest, GrantNotice,
    LeaseClosedNotice, LeavingReport, ManifestCopy, PeerHeartbeat, PeerRecord, UpdateNotice,
    VouchReply, VouchRequest,
};
pub use error::{WireError, WireErrorKind};
pub use listener::serve_connections;
pub use reason::{RefusalReason, RequestOutcome, RetryReason};
pub use server::{PeerBounds, PeerHandler, ReplySink, serve_peers, serve_peers_within};
pub use shard::{RequestId, ShardReply, ShardRequest, ShardResult};
pub use stream::probe_interval;

use serde::{Deserialize, Serialize};

/// The body of a request stream.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum PeerRequest {
    /// Runs a shard request on a backend server whose grant the receiver holds.
    Shard(ShardRequest),
    /// Exchanges membership, grants and configuration.
    Control(ControlMessage),
}

/// One reply in the response body of a stream.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum PeerReply {
    /// Reply to a shard request.
    Shard(ShardReply),
    /// Reply to a control message.
    Control(ControlReply),
}
