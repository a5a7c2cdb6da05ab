//! What nodes say to one another.

use std::{sync::Arc, time::Duration};

use bytes::Bytes;
use carobstep_tier::{DirectoryNews, PeerEntry};
use serde::{Deserialize, Serialize};

/// A call to a peer.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) enum PeerCall {
    /// Ask the servers of some shards.
    Search(DelegatedSearch),
    /// Tell what has changed in the store.
    Follow(FollowCall),
}

/// A peer's answer.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) enum PeerAnswer {
    /// Parts that came: all that are there at the answer time, then each later one.
    Parts(DelegatedParts),
    /// What has changed in the store.
    News(Box<StoreNews>),
    /// The peer has heard nothing fresh of the store itself, for as long as this.
    NoNews(Duration),
    /// The peer is stopping, and sent nothing to any server.
    Refused,
}

/// Some shards of a search.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct DelegatedSearch {
    /// Short names of the servers that may be asked, for each shard.
    pub(crate) shards: Vec<Vec<u32>>,
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
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub(crate) struct DelegatedParts {
    /// Positions of the shards whose parts are in, in the order of the call.
    pub(crate) shards: Vec<u16>,
    /// The servers' signatures, one for each of those shards.
    pub(crate) stamps: Vec<Bytes>,
    /// The greatest records of these parts, greatest first.
    pub(crate) records: Bytes,
    /// Positions of shards that no server was asked for, and none will be.
    pub(crate) unasked: Vec<u16>,
}

/// Asks a peer that follows the store for changes; it waits a while for one.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct FollowCall {
    /// Life of the peer from which the numbers come.
    pub(crate) life: u64,
    /// Number of the last change of a server that is known.
    pub(crate) servers: u64,
    /// Number of the last change of the list of nodes that is known.
    pub(crate) nodes: u64,
    /// Version of the configuration in force.
    pub(crate) version: u64,
}

/// What a peer that follows the store knows.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct StoreNews {
    /// Life of the peer from which the numbers come.
    pub(crate) life: u64,
    /// Time since the store last told of what follows, to the peer or to the one
    /// that told the peer.
    pub(crate) age: Duration,
    /// Time for which the peer waited for something new before it answered.
    pub(crate) waited: Duration,
    /// Node that the peer asks itself, if it does not hear from the store.
    pub(crate) source: Option<Arc<str>>,
    pub(crate) servers: DirectoryNews,
    /// Number of the last change of the list of nodes.
    pub(crate) node_number: u64,
    /// Every node, if the list has changed.
    pub(crate) nodes: Option<Vec<PeerEntry>>,
    /// A later configuration: revision of its object and its content as JSON.
    pub(crate) configuration: Option<(u64, String)>,
}
