//! Counters of the calls that the platform received.

use carobstep_store::ObjectKind;
use indexmap::IndexMap;
use serde::{Deserialize, Serialize};
use strum::{Display, IntoStaticStr};
use tokio::time::Instant;

/// Category under which the platform counts a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Display, IntoStaticStr, Serialize)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub(crate) enum CallMethod {
    /// Reads one object.
    Get,
    /// Reads every object of a kind.
    List,
    /// Writes one object.
    Put,
    /// Deletes one object.
    Delete,
    /// Watches the changes of a kind; counted once, however long the watch stays open.
    Watch,
    /// Reads the VM list.
    Vms,
}

impl CallMethod {
    const fn is_write(self) -> bool {
        matches!(self, Self::Put | Self::Delete)
    }
}

/// Calls and traffic that the platform counted since it started.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct CallReport {
    /// Total number of calls.
    pub total: u64,
    /// Calls by method and then by kind.
    pub calls: IndexMap<String, IndexMap<String, u64>>,
    /// Calls by the zone in the client's `x-zone` header.
    pub zones: IndexMap<String, u64>,
    /// Calls that a fault discarded before execution; not included in `total`.
    pub dropped: u64,
    /// Watches that are open now.
    pub open_watches: u64,
    /// Writes rejected because their version condition did not match.
    pub conflicts: u64,
    /// Highest number of reads within one second; every call but a put or
    /// delete counts as a read.
    pub peak_reads_per_second: u64,
    /// Highest number of writes within one second.
    pub peak_writes_per_second: u64,
    /// Bytes received on all connections.
    pub bytes_received: u64,
    /// Bytes sent on all connections.
    pub bytes_sent: u64,
}

/// Maintains the [`CallReport`] and counts the calls of the current second for its peak rates.
#[derive(Debug)]
pub(crate) struct CallCounter {
    pub(crate) report: CallReport,
    second_start: Instant,
    reads: u64,
    writes: u64,
}

impl CallCounter {
    pub(crate) fn new(now: Instant) -> Self {
        Self { report: CallReport::default(), second_start: now, reads: 0, writes: 0 }
    }

    /// Counts one call.
    pub(crate) fn count(
        &mut self,
        method: CallMethod,
        kind: Option<ObjectKind>,
        zone: Option<&str>,
        now: Instant,
    ) {
        let kind = kind.map_or("vms", <&str>::from);
        self.report.total += 1;
        let kinds = self.report.calls.entry(method.to_string()).or_default();
        *kinds.entry(kind.to_owned()).or_default() += 1;
        if let Some(zone) = zone {
            *self.report.zones.entry(zone.to_owned()).or_default() += 1;
        }
        self.count_rate(method, now);
    }

    fn count_rate(&mut self, method: CallMethod, now: Instant) {
        if now.duration_since(self.second_start).as_secs() >= 1 {
            self.second_start = now;
            self.reads = 0;
            self.writes = 0;
        }
        if method.is_write() {
            self.writes += 1;
        } else {
            self.reads += 1;
        }
        let report = &mut self.report;
        report.peak_reads_per_second = report.peak_reads_per_second.max(self.reads);
        report.peak_writes_per_second = report.peak_writes_per_second.max(self.writes);
    }
}
