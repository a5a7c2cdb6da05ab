//! Shard requests and replies.

use std::fmt;

use bytes::Bytes;
use carobstep_config::{ServerName, ShardName};
use serde::{Deserialize, Serialize};

use crate::reason::{RefusalReason, RequestOutcome};

/// Identifies one attempt of one request across all nodes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct RequestId(pub u128);

impl fmt::Display for RequestId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:032x}", self.0)
    }
}

/// One request to one backend server, sent from an entry node to the holder.
///
/// Every search sends one per shard, so that its encoding is written by hand
/// in the `shard_codec` module.
#[derive(Clone, Debug, PartialEq)]
pub struct ShardRequest {
    /// Identifier that the reply must echo.
    pub id: RequestId,
    /// The backend server to use.
    pub server: ServerName,
    /// The shard, or `None` for a plain service request.
    pub shard: Option<ShardName>,
    /// The snapshot, or `None` for a plain service request.
    pub snapshot: Option<u64>,
    /// Time left until the deadline when the request was sent, in microseconds.
    pub budget_us: u64,
    /// Key of a request that must run at most once.
    pub idempotency_key: Option<String>,
    /// Whether the request is a hedge, which never waits in a queue.
    pub hedge: bool,
    /// Digest of the customer that the request is charged to.
    pub customer: u64,
    /// Digest of the identity that a refused caller presents again.
    pub caller: u64,
    /// Body for the backend server.
    pub body: Bytes,
}

/// The holder's answer to a [`ShardRequest`].
#[derive(Clone, Debug, PartialEq)]
pub struct ShardReply {
    /// Identifier of the request.
    pub id: RequestId,
    /// Shard that the backend server answered for.
    pub shard: Option<ShardName>,
    /// Snapshot that the backend server answered from.
    pub snapshot: Option<u64>,
    /// What happened.
    pub result: ShardResult,
    /// Requests waiting in the server's queue when the reply was sent.
    pub queue_length: u16,
    /// Time that the backend server took, in microseconds.
    pub service_us: u64,
}

/// What happened to a shard request.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum ShardResult {
    /// The whole reply of the backend server.
    Body(Bytes),
    /// The request was given up.
    Refused {
        /// Whether it may have executed.
        outcome: RequestOutcome,
        /// Why it was given up.
        reason: RefusalReason,
        /// When a new attempt makes sense, in milliseconds from now.
        retry_after_ms: u64,
    },
}
