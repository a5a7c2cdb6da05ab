//! Messages between nodes and the h2 streams that carry them.
//!
//! One request is one h2 stream: one bincode frame to the peer, and one reply or
//! several back, each with its length in front. Resetting the stream cancels the
//! request.

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

pub use client::{PeerHealth, PeerNews, PeerPool, ReplyStream};
pub use codec::{MAX_FRAME_BYTES, decode, encode};
pub use control::{
    CloseNotice, ConfigCopy, ControlMessage, ControlReply, FetchReply, FetchRequest, GossipDigest,
    GrantNotice, ManifestCopy, NewsNotice, PeerBeat, PeerRecord, ServerSign, VouchReply,
    VouchRequest,
};
pub use error::{WireError, WireErrorKind};
pub use listener::serve_connections;
pub use reason::{RefusalReason, RequestOutcome, RetryReason};
pub use server::{PeerHandler, ReplySink, serve_peers};
pub use shard::{RequestId, ShardReply, ShardRequest, ShardResult};
pub use stream::probe_interval;

use serde::{Deserialize, Serialize};

/// The body of a request stream.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum PeerRequest {
    /// Run one shard request on a held backend server.
    Shard(ShardRequest),
    /// Exchange of membership, grants and configuration.
    Control(ControlMessage),
}

/// The body of a reply stream.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum PeerReply {
    /// Answer to a shard request.
    Shard(ShardReply),
    /// Answer to a control message.
    Control(ControlReply),
}
