//! Shard requests and replies.

use std::fmt;

use bytes::Bytes;
use carobstep_config::{ServerName, ShardName};
use serde::{Deserialize, Serialize};

use crate::reason::{RefusalReason, RequestOutcome};

/// Identifier of one attempt of a request, unique across nodes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct RequestId(pub u128);

impl fmt::Display for RequestId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:032x}", self.0)
    }
}

/// Request for a backend server, sent by an entry node to the node that holds the
/// server's grant.
///
/// Each search sends one per shard. Its encoding is therefore written by hand, in
/// the `shard_codec` module.
#[derive(Clone, Debug, PartialEq)]
pub struct ShardRequest {
    /// Identifier that the reply must echo.
    pub id: RequestId,
    /// The backend server that runs the request.
    pub server: ServerName,
    /// The shard, or `None` for a request without shards.
    pub shard: Option<ShardName>,
    /// The snapshot, or `None` for a request without shards.
    pub snapshot: Option<u64>,
    /// Time from sending the request to its deadline, in microseconds.
    pub budget_us: u64,
    /// Idempotency key of a request that must run at most once.
    pub idempotency_key: Option<String>,
    /// Whether the request is a hedge, which is refused instead of queued.
    pub hedge: bool,
    /// Digest of the customer that the request is charged to.
    pub customer: u64,
    /// Digest of the caller's identity, which stays the same when it retries a refused
    /// request.
    pub caller: u64,
    /// Request body for the backend server.
    pub body: Bytes,
}

/// Reply of the holder to a [`ShardRequest`].
#[derive(Clone, Debug, PartialEq)]
pub struct ShardReply {
    /// Identifier of the request.
    pub id: RequestId,
    /// Shard that the backend server named in its reply.
    pub shard: Option<ShardName>,
    /// Snapshot that the backend server named in its reply.
    pub snapshot: Option<u64>,
    /// Result of the request.
    pub result: ShardResult,
    /// Number of requests in the server's queue when the reply was sent.
    pub queue_length: u16,
    /// Time that the backend server took for the request, in microseconds.
    pub service_us: u64,
}

/// Result of a shard request.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum ShardResult {
    /// The complete reply body of the backend server.
    Body(Bytes),
    /// The request was refused or abandoned.
    Refused {
        /// Whether it may have been executed.
        outcome: RequestOutcome,
        /// Reason of the refusal.
        reason: RefusalReason,
        /// Delay before a retry is useful, in milliseconds.
        retry_after_ms: u64,
    },
}
