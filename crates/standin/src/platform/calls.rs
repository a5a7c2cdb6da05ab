//! Counts of the calls that the platform answered.

use carobstep_store::ObjectKind;
use indexmap::IndexMap;
use serde::{Deserialize, Serialize};
use strum::{Display, IntoStaticStr};
use tokio::time::Instant;

/// What a call does, as the platform counts it.
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
    /// Waits for changes; counted once however long it lasts.
    Watch,
    /// Reads the VM list.
    Vms,
}

impl CallMethod {
    const fn is_write(self) -> bool {
        matches!(self, Self::Put | Self::Delete)
    }
}

/// What the platform has counted.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct CallReport {
    /// All calls.
    pub total: u64,
    /// Calls by method and then by kind.
    pub calls: IndexMap<String, IndexMap<String, u64>>,
    /// Calls by the zone that the client names.
    pub zones: IndexMap<String, u64>,
    /// Calls that a fault dropped before they were carried out.
    pub dropped: u64,
    /// Watches that are open now.
    pub open_watches: u64,
    /// Writes whose condition did not hold.
    pub conflicts: u64,
    /// Most reads in one second.
    pub peak_reads_per_second: u64,
    /// Most writes in one second.
    pub peak_writes_per_second: u64,
    /// Bytes received on all connections.
    pub bytes_received: u64,
    /// Bytes sent on all connections.
    pub bytes_sent: u64,
}

/// Keeps the report and the count of the running second.
#[derive(Debug)]
pub(crate) struct CallCounter {
    pub(crate) report: CallReport,
    second: Instant,
    reads: u64,
    writes: u64,
}

impl CallCounter {
    /// Starts with nothing counted.
    pub(crate) fn new(now: Instant) -> Self {
        Self { report: CallReport::default(), second: now, reads: 0, writes: 0 }
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
        if now.duration_since(self.second).as_secs() >= 1 {
            self.second = now;
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
