//! Reports of whether backend servers are leaving.

use std::time::Duration;

use carobstep_clock::BootTime;
use carobstep_config::ServerName;
use carobstep_wire::LeavingReport;
use indexmap::IndexMap;

/// Newest leaving report of each backend server.
#[derive(Clone, Debug, Default)]
pub(crate) struct LeavingTable {
    entries: IndexMap<ServerName, LeavingEntry>,
}

#[derive(Clone, Debug)]
struct LeavingEntry {
    report: LeavingReport,
    changed_at: BootTime,
    confirmed_at: BootTime,
}

impl LeavingTable {
    /// Whether the newest report says that the server is leaving, so that it takes
    /// no new requests.
    pub(crate) fn is_leaving(&self, server: &ServerName) -> bool {
        self.entries.get(server).is_some_and(|entry| entry.report.leaving)
    }

    /// Records an observation of this node and returns whether the state changed.
    ///
    /// An observation that the server is leaving applies immediately. The opposite
    /// one applies only if no observation for `hold_time` showed the server as
    /// leaving, because VM lists and health reports lag behind.
    pub(crate) fn observe(
        &mut self,
        now: BootTime,
        server: &ServerName,
        leaving: bool,
        hold_time: Duration,
    ) -> bool {
        let Some(entry) = self.entries.get_mut(server) else {
            if leaving {
                self.insert(now, server, 1, leaving);
            }
            return leaving;
        };
        if leaving && entry.report.leaving {
            entry.confirmed_at = now;
        }
        if leaving == entry.report.leaving || (!leaving && now < entry.confirmed_at + hold_time) {
            return false;
        }
        let sequence = entry.report.sequence + 1;
        self.insert(now, server, sequence, leaving);
        true
    }

    /// Marks the server as not leaving, after a newer configuration made it active.
    pub(crate) fn clear(&mut self, now: BootTime, server: &ServerName) {
        if let Some(entry) = self.entries.get(server)
            && entry.report.leaving
        {
            let sequence = entry.report.sequence + 1;
            self.insert(now, server, sequence, false);
        }
    }

    fn insert(&mut self, now: BootTime, server: &ServerName, sequence: u64, leaving: bool) {
        let report = LeavingReport { server: server.clone(), sequence, leaving };
        let entry = LeavingEntry { report, changed_at: now, confirmed_at: now };
        self.entries.insert(server.clone(), entry);
    }

    /// Merges a peer's report and returns whether the state changed.
    ///
    /// The report with the higher sequence wins. Of two with the same sequence, the
    /// one that says that the server is leaving wins.
    pub(crate) fn merge(&mut self, now: BootTime, report: LeavingReport) -> bool {
        if let Some(entry) = self.entries.get(&report.server)
            && (entry.report.sequence, entry.report.leaving) >= (report.sequence, report.leaving)
        {
            return false;
        }
        let changed = self.is_leaving(&report.server) != report.leaving;
        let server = report.server.clone();
        self.entries.insert(server, LeavingEntry { report, changed_at: now, confirmed_at: now });
        changed
    }

    pub(crate) fn leaving(&self) -> impl Iterator<Item = &ServerName> {
        self.entries.values().filter(|entry| entry.report.leaving).map(|entry| &entry.report.server)
    }

    /// Returns the newest report of each server.
    pub(crate) fn all(&self) -> Vec<LeavingReport> {
        self.entries.values().map(|entry| entry.report.clone()).collect()
    }

    /// Returns the reports that changed within `age`.
    pub(crate) fn changed_within(&self, now: BootTime, age: Duration) -> Vec<LeavingReport> {
        let changed = self.entries.values().filter(|entry| now < entry.changed_at + age);
        changed.map(|entry| entry.report.clone()).collect()
    }
}
