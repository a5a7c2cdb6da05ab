//! Faults of the platform.

use serde::{Deserialize, Serialize};

/// The faults in force.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize)]
pub struct PlatformFaults {
    /// Every connection is dropped, open watches included.
    pub down: bool,
    /// Calls and watches wait without end, and watches send nothing.
    pub silent: bool,
    /// Time that each call waits before it is carried out.
    pub delay_ms: u64,
    /// Writes yet to come that take effect without an answer.
    pub lose_answers: u32,
    /// Time after which a write lands; its connection is dropped at once.
    pub delay_writes_ms: u64,
    /// Reads and watches show the state in which the fault began.
    pub stale_reads: bool,
    /// Age of the VM list.
    pub vm_lag_ms: u64,
    /// Availability zones whose connections are dropped.
    pub cut_zones: Vec<String>,
    /// Availability zones whose calls and watches get no answer.
    pub silent_zones: Vec<String>,
}

/// A change of the faults; a missing field stays as it is.
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
    /// Takes over the fields that the patch names.
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

    /// Whether a connection from `zone` is dropped.
    pub(crate) fn severs(&self, zone: Option<&str>) -> bool {
        self.down || names_zone(&self.cut_zones, zone)
    }

    /// Whether nothing gets through between the platform and `zone`.
    pub(crate) fn silences(&self, zone: Option<&str>) -> bool {
        self.silent || names_zone(&self.silent_zones, zone)
    }
}

fn names_zone(zones: &[String], zone: Option<&str>) -> bool {
    zone.is_some_and(|zone| zones.iter().any(|named| named == zone))
}
