//! Report of a finished search, and attempt counts of any request.

use std::{sync::Arc, time::Duration};

use bytes::Bytes;
use carobstep_config::{ShardName, SnapshotMap};
use carobstep_wire::RefusalReason;

/// Attempt, restart and mismatch counts of one request.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RequestCounts {
    /// All attempts sent.
    pub dispatches: u32,
    /// Hedges among them.
    pub hedges: u32,
    /// Retries after a failed attempt among them.
    pub retries: u32,
    /// Times that the search restarted on another snapshot.
    pub restarts: u32,
    /// Replies dropped because they belong to another request, shard or snapshot.
    pub mismatches: u32,
}

/// Result of one search, in which every shard of its snapshot is covered or missing.
#[derive(Clone, Debug, PartialEq)]
pub struct SearchReport {
    /// The snapshot that all shard results belong to.
    pub map: Arc<SnapshotMap>,
    /// Reply body or reason for its absence per shard, in the order of the snapshot's shards.
    pub shards: Vec<Result<Bytes, RefusalReason>>,
    /// Delay after which a retry finds capacity for the missing shards, if known.
    pub retry_after: Option<Duration>,
    /// Attempt counts of the search.
    pub counts: RequestCounts,
}

impl SearchReport {
    /// Returns the number of the snapshot that the results belong to.
    #[must_use]
    pub fn snapshot(&self) -> u64 {
        self.map.number
    }

    /// Returns the shards with a complete reply, and its body.
    pub fn covered(&self) -> impl Iterator<Item = (&ShardName, &Bytes)> {
        let named = self.map.shards.iter().zip(&self.shards);
        named.filter_map(|(entry, result)| result.as_ref().ok().map(|body| (&entry.name, body)))
    }

    /// Returns the shards without a complete reply, and the reason.
    pub fn missing(&self) -> impl Iterator<Item = (&ShardName, RefusalReason)> {
        let named = self.map.shards.iter().zip(&self.shards);
        named.filter_map(|(entry, result)| {
            result.as_ref().err().map(|reason| (&entry.name, *reason))
        })
    }
}
