//! What nodes say to one another.

use std::time::Duration;

use bytes::Bytes;
use serde::{Deserialize, Serialize};

/// A call to a peer.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) enum PeerCall {
    /// Ask the servers of some shards.
    Search(DelegatedSearch),
}

/// A peer's answer.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) enum PeerAnswer {
    /// The parts that came in time.
    Parts(DelegatedParts),
    /// The peer is stopping, and sent nothing to any server.
    Refused,
}

/// Some shards of a search.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct DelegatedSearch {
    /// Names of the shards' services.
    pub(crate) shards: Vec<String>,
    /// Greatest records that are needed of all parts together.
    pub(crate) top: u32,
    /// Servers that may be asked for each shard.
    pub(crate) attempts: u32,
    /// Latency objective of the route.
    pub(crate) objective: Duration,
    /// Timeout of the route.
    pub(crate) timeout: Duration,
    /// Time until the answer has to go out with the parts that are there.
    pub(crate) answer_in: Duration,
    /// Time until nobody waits any more.
    pub(crate) deadline_in: Duration,
    pub(crate) method: String,
    /// Path and query.
    pub(crate) target: String,
    pub(crate) headers: Vec<(String, Bytes)>,
    pub(crate) body: Bytes,
}

/// Parts of a search, merged.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct DelegatedParts {
    /// Positions of the shards whose parts are in, in the order of the call.
    pub(crate) shards: Vec<u16>,
    /// The servers' signatures, one for each of those shards.
    pub(crate) stamps: Vec<Bytes>,
    /// The greatest records of these parts, greatest first.
    pub(crate) records: Bytes,
}
