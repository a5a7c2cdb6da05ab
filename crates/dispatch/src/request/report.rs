//! What a finished search reports.

use std::{sync::Arc, time::Duration};

use bytes::Bytes;
use carobstep_config::{ShardName, SnapshotMap};
use carobstep_wire::RefusalReason;

/// Attempts of one request by what they were for.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RequestCounts {
    /// Attempts sent in all.
    pub dispatches: u32,
    /// Of these, hedges.
    pub hedges: u32,
    /// Of these, retries after a failed attempt.
    pub retries: u32,
    /// Times that the query moved to another snapshot.
    pub moves: u32,
    /// Replies dropped because they answer something else.
    pub mismatches: u32,
}

/// The answer of one search: every shard of its snapshot is covered or lacking.
#[derive(Clone, Debug, PartialEq)]
pub struct AnswerReport {
    /// The snapshot that all results come from.
    pub map: Arc<SnapshotMap>,
    /// Body or reason per shard, in the order of the snapshot's shards.
    pub shards: Vec<Result<Bytes, RefusalReason>>,
    /// When a caller that lacks shards finds capacity for them.
    pub retry_after: Option<Duration>,
    /// Attempts by what they were for.
    pub counts: RequestCounts,
}

impl AnswerReport {
    /// Number of the snapshot.
    #[must_use]
    pub fn snapshot(&self) -> u64 {
        self.map.number
    }

    /// Shards whose whole reply came, with their bodies.
    pub fn covered(&self) -> impl Iterator<Item = (&ShardName, &Bytes)> {
        let named = self.map.shards.iter().zip(&self.shards);
        named.filter_map(|(entry, result)| result.as_ref().ok().map(|body| (&entry.name, body)))
    }

    /// Shards without a whole reply, with the reason.
    pub fn lacking(&self) -> impl Iterator<Item = (&ShardName, RefusalReason)> {
        let named = self.map.shards.iter().zip(&self.shards);
        named.filter_map(|(entry, result)| result.as_ref().err().map(|why| (&entry.name, *why)))
    }
}
