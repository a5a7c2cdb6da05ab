//! Faults that can be injected into the platform.

use serde::{Deserialize, Serialize};

/// The active faults.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize)]
pub struct PlatformFaults {
    /// Whether every connection is dropped, including those of open watches.
    pub down: bool,
    /// Whether the platform stops responding: calls get no response, watches send nothing, and
    /// connections stay open.
    pub silent: bool,
    /// Delay before each call is executed and before each part of a watch is sent, in milliseconds.
    pub delay_ms: u64,
    /// Number of upcoming successful writes that take effect but get no response, as their
    /// connection is dropped.
    pub lose_answers: u32,
    /// Delay in milliseconds after which a write takes effect; its connection is dropped at once.
    /// Zero executes writes normally.
    pub delay_writes_ms: u64,
    /// Whether reads, lists and watches show the objects as they were when this fault began.
    pub stale_reads: bool,
    /// Age of the VM list that readers see, in milliseconds.
    pub vm_lag_ms: u64,
    /// Availability zones whose connections are dropped.
    pub cut_zones: Vec<String>,
    /// Availability zones whose calls and watches get no response while their connections stay
    /// open.
    pub silent_zones: Vec<String>,
}

/// A partial update of the faults; a missing field keeps its value.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct PlatformFaultsPatch {
    /// New value of [`PlatformFaults::down`].
    pub down: Option<bool>,
    /// New value of [`PlatformFaults::silent`].
    pub silent: Option<bool>,
    /// New value of [`PlatformFaults::delay_ms`].
    pub delay_ms: Option<u64>,
    /// New value of [`PlatformFaults::lose_answers`].
    pub lose_answers: Option<u32>,
    /// New value of [`PlatformFaults::delay_writes_ms`].
    pub delay_writes_ms: Option<u64>,
    /// New value of [`PlatformFaults::stale_reads`].
    pub stale_reads: Option<bool>,
    /// New value of [`PlatformFaults::vm_lag_ms`].
    pub vm_lag_ms: Option<u64>,
    /// New value of [`PlatformFaults::cut_zones`].
    pub cut_zones: Option<Vec<String>>,
    /// New value of [`PlatformFaults::silent_zones`].
    pub silent_zones: Option<Vec<String>>,
}

impl PlatformFaults {
    /// Sets the fields that the patch contains.
    pub(crate) fn apply(&mut self, patch: PlatformFaultsPatch) {
        self.down = patch.down.unwrap_or(self.down);
        self.silent = patch.silent.unwrap_or(self.silent);
        self.delay_ms = patch.delay_ms.unwrap_or(self.delay_ms);
        self.lose_answers = patch.lose_answers.unwrap_or(self.lose_answers);
        self.delay_writes_ms = patch.delay_writes_ms.unwrap_or(self.delay_writes_ms);
        self.stale_reads = patch.stale_reads.unwrap_or(self.stale_reads);
        self.vm_lag_ms = patch.vm_lag_ms.unwrap_or(self.vm_lag_ms);
        if let Some(zones) = patch.cut_zones {
            self.cut_zones = zones;
        }
        if let Some(zones) = patch.silent_zones {
            self.silent_zones = zones;
        }
    }

    /// Returns whether connections from `zone` are dropped; `None` is a client without a zone.
    pub(crate) fn drops_connections(&self, zone: Option<&str>) -> bool {
        self.down || contains_zone(&self.cut_zones, zone)
    }

    /// Returns whether clients in `zone` get no response on connections that stay open.
    pub(crate) fn is_silent(&self, zone: Option<&str>) -> bool {
        self.silent || contains_zone(&self.silent_zones, zone)
    }
}

fn contains_zone(zones: &[String], zone: Option<&str>) -> bool {
    zone.is_some_and(|zone| zones.iter().any(|candidate| candidate == zone))
}
