//! Which nodes have lost their links to the servers of which availability zones, replicated
//! between nodes.
//!
//! Each node numbers its own reports, and all nodes keep the one with the highest number. A
//! node that has started again finds its earlier report at the others and supersedes it.

use std::sync::Arc;

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

/// Maximum number of nodes whose reports are kept; the oldest is forgotten first.
const MAX_REPORTS: usize = 4096;

/// Greatest valid number of a report; a damaged one must not end the numbering.
const MAX_VERSION: u64 = 1 << 48;

/// Zones whose servers a node doesn't reach.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LinkReport {
    /// Name of the node.
    pub node: Arc<str>,
    /// Number of the report among those of the node.
    pub version: u64,
    /// Zones of which no server responds to the node, sorted by name.
    pub lost_zones: Vec<Arc<str>>,
}

/// Reports that a node sends to a peer.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LinkUpdate {
    /// Number of the sender's last change; the next update starts after it.
    pub number: u64,
    /// Reports that changed at the sender since the previous update.
    pub reports: Vec<LinkReport>,
}

/// The latest report of each node that has lost links.
#[derive(Clone, Debug)]
pub struct LinkReports {
    own: Arc<str>,
    reports: IndexMap<Arc<str>, KnownReport>,
    /// Number of the last change of any report.
    last_change: u64,
}

#[derive(Clone, Debug)]
struct KnownReport {
    report: LinkReport,
    /// Number of the last change of this report.
    change: u64,
}

impl LinkReports {
    /// Creates the table of the node `own`, without any report.
    #[must_use]
    pub fn new(own: Arc<str>) -> Self {
        Self { own, reports: IndexMap::new(), last_change: 0 }
    }

    /// Reports the zones that this node doesn't reach; returns whether that has changed.
    pub fn set_own(&mut self, lost_zones: Vec<Arc<str>>) -> bool {
        let known = self.reports.get(&self.own);
        if known.map_or(&[][..], |known| &known.report.lost_zones) == lost_zones {
            return false;
        }
        let version = known.map_or(0, |known| known.report.version) + 1;
        self.insert(LinkReport { node: self.own.clone(), version, lost_zones });
        true
    }

    /// Returns the report of this node, if it has lost links since its start.
    #[must_use]
    pub fn own(&self) -> Option<&LinkReport> {
        self.reports.get(&self.own).map(|known| &known.report)
    }

    /// Applies a report from a peer; returns whether it is news.
    pub fn merge(&mut self, report: &LinkReport) -> bool {
        let known = self.reports.get(&report.node).map(|known| &known.report);
        let is_newer = known.is_none_or(|known| report.version > known.version);
        if !is_newer || report.version > MAX_VERSION {
            return false;
        }
        let mut report = report.clone();
        if report.node == self.own {
            // An earlier process of this node has written it.
            report.lost_zones = known.map(|known| known.lost_zones.clone()).unwrap_or_default();
            report.version += 1;
        }
        self.insert(report);
        true
    }

    fn insert(&mut self, report: LinkReport) {
        self.last_change += 1;
        let known = KnownReport { change: self.last_change, report };
        self.reports.insert(known.report.node.clone(), known);
        if self.reports.len() > MAX_REPORTS {
            self.reports.shift_remove_index(0);
        }
    }

    /// Forgets the report of a node that is gone.
    pub(crate) fn remove(&mut self, node: &str) {
        if *node != *self.own {
            self.reports.shift_remove(node);
        }
    }

    /// Returns whether a node reaches servers of a zone, as far as it is known.
    #[must_use]
    pub fn reaches(&self, node: &str, zone: &str) -> bool {
        let lost_zones = self.reports.get(node).map(|known| &known.report.lost_zones);
        lost_zones.is_none_or(|zones| !zones.iter().any(|lost| **lost == *zone))
    }

    /// Returns the number of nodes that have lost links to a zone.
    #[must_use]
    pub fn nodes_without_links(&self) -> usize {
        self.reports.values().filter(|known| !known.report.lost_zones.is_empty()).count()
    }

    /// Returns the number of the last change, for [`LinkReports::updates_after`].
    #[must_use]
    pub const fn last_change(&self) -> u64 {
        self.last_change
    }

    /// Returns the reports that have changed after change `number`.
    #[must_use]
    pub fn updates_after(&self, number: u64) -> LinkUpdate {
        let mut update = LinkUpdate { number: self.last_change, reports: Vec::new() };
        if number == self.last_change {
            return update;
        }
        for known in self.reports.values() {
            if known.change > number {
                update.reports.push(known.report.clone());
            }
        }
        update
    }
}
