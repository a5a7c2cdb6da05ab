//! Limits on requests that servers name in their responses, replicated between nodes.
//!
//! A limit holds for the requests of all nodes together, and for as long as the server
//! names it. Every node observes the responses that it gets. What it learns is a new
//! version of the server's record; nodes exchange the records, and the highest version
//! wins. A wrong version is corrected by the next response, so that no clocks have to be
//! compared.

use std::{sync::Arc, time::Duration};

use carobstep_clock::BootTime;
use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

use crate::model::{LimitNotice, RequestRate, ServerIncarnation};

/// Maximum number of servers whose limits are remembered; the oldest is forgotten first.
const MAX_RECORDS: usize = 4096;

/// Relative difference below which another value is the same limit. A server that names
/// a slightly different one in each response would cause as many messages.
const MIN_RELATIVE_CHANGE: f64 = 1.0 / 16.0;

/// Time for which a server must not have named its limit for the limit to end. A server
/// that names it in some responses only would cause messages with each of them.
const END_DELAY: Duration = Duration::from_millis(200);

/// What is known of the limit of one incarnation of a server.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LimitRecord {
    /// The server.
    pub server: ServerIncarnation,
    /// Number of changes of the limit that led to this record.
    pub version: u32,
    /// Requests that the server takes from all nodes; `None` if it names no limit any more.
    pub rate: Option<RequestRate>,
}

impl LimitRecord {
    /// Returns whether the record replaces `other`, a record of a server with the same name.
    #[must_use]
    pub fn supersedes(&self, other: &Self) -> bool {
        if self.server != other.server {
            let (own, others) = (self.server.born_ms, other.server.born_ms);
            return matches!((own, others), (Some(own), Some(others)) if own > others);
        }
        // Of two nodes' records with the same version, all nodes keep the stricter one.
        let strictness = |record: &Self| std::cmp::Reverse(record.rate.unwrap_or(RequestRate::MAX));
        (self.version, strictness(self)) > (other.version, strictness(other))
    }
}

/// Records that a node sends to a peer.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LimitUpdate {
    /// Number of the sender's last change; the next update starts after it.
    pub number: u64,
    /// Records that changed at the sender since the previous update.
    pub records: Vec<LimitRecord>,
}

/// The limits of all servers that named one.
#[derive(Clone, Debug, Default)]
pub struct LimitTable {
    records: IndexMap<Arc<str>, KnownLimit>,
    /// Number of the last change of any record.
    last_change: u64,
}

#[derive(Clone, Debug)]
struct KnownLimit {
    record: LimitRecord,
    /// Number of the last change of this record.
    change: u64,
    /// When the server, or a peer, last said that the limit holds.
    named_at: BootTime,
}

impl LimitTable {
    /// Returns the number of the last change, for [`LimitTable::updates_after`].
    #[must_use]
    pub const fn last_change(&self) -> u64 {
        self.last_change
    }

    /// Returns whether any server names a limit.
    #[must_use]
    pub fn has_limits(&self) -> bool {
        self.records.values().any(|known| known.record.rate.is_some())
    }

    /// Returns the limit of a server.
    #[must_use]
    pub fn rate_of(&self, server: &ServerIncarnation) -> Option<RequestRate> {
        let known = self.records.get(&server.id)?;
        if known.record.server == *server { known.record.rate } else { None }
    }

    /// Returns the record of a server, if it has named a limit.
    #[must_use]
    pub fn record_of(&self, server: &ServerIncarnation) -> Option<&LimitRecord> {
        let known = self.records.get(&server.id)?;
        (known.record.server == *server).then_some(&known.record)
    }

    /// Records what the response to a request that was sent at `sent` says about the
    /// server; returns the new record, if the limit has changed.
    pub fn observe(
        &mut self,
        now: BootTime,
        sent: BootTime,
        server: &ServerIncarnation,
        notice: LimitNotice,
    ) -> Option<LimitRecord> {
        let known = self.records.get_mut(&server.id);
        let mut known = known.filter(|known| known.record.server == *server);
        let rate = match notice {
            LimitNotice::Unknown | LimitNotice::Unreadable => return None,
            LimitNotice::Limited(rate) => {
                if let Some(known) = &mut known {
                    known.named_at = now;
                    if known.record.rate.is_some_and(|other| is_same_limit(rate, other)) {
                        return None;
                    }
                }
                Some(rate)
            }
            LimitNotice::Unlimited => {
                let known = known.as_ref().filter(|known| known.record.rate.is_some())?;
                // The response may also be older than the last one that named the limit.
                if sent <= known.named_at + END_DELAY {
                    return None;
                }
                None
            }
        };
        let version = known.map_or(0, |known| known.record.version).saturating_add(1);
        let record = LimitRecord { server: server.clone(), version, rate };
        self.merge(now, &record).then_some(record)
    }

    /// Applies a record from a peer; returns whether it is news.
    pub fn merge(&mut self, now: BootTime, record: &LimitRecord) -> bool {
        let known = self.records.get(&record.server.id);
        if known.is_some_and(|known| !record.supersedes(&known.record)) {
            return false;
        }
        self.last_change += 1;
        let known = KnownLimit { record: record.clone(), change: self.last_change, named_at: now };
        self.records.insert(record.server.id.clone(), known);
        if self.records.len() > MAX_RECORDS {
            self.records.shift_remove_index(0);
        }
        true
    }

    /// Forgets the limit of a server that has been removed.
    pub fn remove(&mut self, id: &str) {
        self.records.shift_remove(id);
    }

    /// Returns the records that have changed after change `number`.
    #[must_use]
    pub fn updates_after(&self, number: u64) -> LimitUpdate {
        let mut update = LimitUpdate { number: self.last_change, records: Vec::new() };
        if number == self.last_change {
            return update;
        }
        for known in self.records.values() {
            if known.change > number {
                update.records.push(known.record.clone());
            }
        }
        update
    }
}

fn is_same_limit(one: RequestRate, other: RequestRate) -> bool {
    let (one, other) = (one.per_second(), other.per_second());
    (one - other).abs() <= MIN_RELATIVE_CHANGE * one.min(other)
}
