//! Counters of a node: one for each event, refusal reason and retry reason.

use std::{
    array,
    sync::atomic::{AtomicU64, Ordering},
};

use carobstep_wire::{RefusalReason, RetryReason};
use indexmap::IndexMap;
use strum::{Display, EnumCount, EnumIter, IntoEnumIterator, IntoStaticStr};

/// Events that a node counts, besides refusals and retries.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Display, EnumCount, EnumIter, IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum NodeEvent {
    /// Searches started for callers, including those that were then refused.
    Searches,
    /// Searches answered with every shard covered.
    SearchesFull,
    /// Searches answered with some or all shards missing.
    SearchesPartial,
    /// Shards that searches needed.
    ShardsNeeded,
    /// Service requests started for callers, including those that were then refused.
    ServiceRequests,
    /// Service requests answered from a recorded outcome.
    ServiceReplays,
    /// Shard requests sent by this node as entry node.
    EntryDispatches,
    /// Hedged shard requests sent by this node as entry node.
    EntryHedges,
    /// Requests sent to backend servers by this node as holder.
    ServerDispatches,
    /// Connections opened to backend servers.
    ConnectionsOpened,
    /// Connections to backend servers abandoned while they carried a request.
    ConnectionsAbandoned,
    /// Requests from callers that were malformed or over a limit.
    BadCallerInput,
    /// Streams from peers that were malformed or over a limit.
    BadPeerInput,
    /// Requests from operators that were malformed or over a limit.
    BadOperatorInput,
    /// Control messages sent to peers.
    ControlMessages,
    /// Calls of the control state to the platform, including each opened watch but not
    /// the calls for claims.
    PlatformCalls,
    /// Calls of the control state to the platform that failed, without watches.
    PlatformFailures,
    /// Grants acquired.
    GrantsTaken,
    /// Grants released or lost.
    GrantsDropped,
    /// Configurations applied.
    ConfigsInForce,
}

/// All counters of a node, each cumulative since its start.
#[derive(Debug)]
pub struct CounterSet {
    events: [AtomicU64; NodeEvent::COUNT],
    refusals: [AtomicU64; RefusalReason::COUNT],
    retries: [AtomicU64; RetryReason::COUNT],
}

impl Default for CounterSet {
    fn default() -> Self {
        Self {
            events: array::from_fn(|_| AtomicU64::new(0)),
            refusals: array::from_fn(|_| AtomicU64::new(0)),
            retries: array::from_fn(|_| AtomicU64::new(0)),
        }
    }
}

impl CounterSet {
    /// Adds one to the counter of an event.
    pub fn count_event(&self, event: NodeEvent) {
        self.count_events(event, 1);
    }

    /// Adds `count` to the counter of an event.
    pub fn count_events(&self, event: NodeEvent, count: u64) {
        self.events[event as usize].fetch_add(count, Ordering::Relaxed);
    }

    /// Adds one to the counter of a refusal reason.
    pub fn count_refusal(&self, reason: RefusalReason) {
        self.refusals[reason as usize].fetch_add(1, Ordering::Relaxed);
    }

    /// Adds one to the counter of a retry reason.
    pub fn count_retry(&self, reason: RetryReason) {
        self.retries[reason as usize].fetch_add(1, Ordering::Relaxed);
    }

    /// Returns the value of every counter by name. Names of refusals start with
    /// `refused.`, those of retries with `retried.`.
    #[must_use]
    pub fn read(&self) -> IndexMap<String, u64> {
        let mut values = IndexMap::new();
        for event in NodeEvent::iter() {
            values.insert(event.to_string(), self.events[event as usize].load(Ordering::Relaxed));
        }
        for reason in RefusalReason::iter() {
            let value = self.refusals[reason as usize].load(Ordering::Relaxed);
            values.insert(format!("refused.{reason}"), value);
        }
        for reason in RetryReason::iter() {
            let value = self.retries[reason as usize].load(Ordering::Relaxed);
            values.insert(format!("retried.{reason}"), value);
        }
        values
    }
}
