//! Availability zones whose servers get no requests until the operator says otherwise.

use std::{sync::Arc, time::Duration};

use carobstep_clock::BootTime;
use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

use crate::directory::StoreRevision;

/// Time for which a zone stays evacuated that a restored store lacks, until the operator
/// has written its entry again.
const RESTORE_HOLD: Duration = Duration::from_secs(3);

/// Known evacuations, and the store revision as of which they are known.
///
/// A known evacuation holds until its removal is known, whatever the age of the data.
#[derive(Clone, Debug, Default)]
pub struct EvacuationTable {
    /// Revision as of which the zones were last listed or changed.
    changed: StoreRevision,
    /// Revision up to which all changes are applied.
    confirmed: StoreRevision,
    zones: IndexMap<Arc<str>, EvacuatedZone>,
}

#[derive(Clone, Copy, Debug)]
enum EvacuatedZone {
    /// The store has an entry.
    Listed,
    /// The store was restored and has no entry; ends at this time.
    Held(BootTime),
}

/// All evacuations as of a revision of the store, for another node.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct EvacuationUpdate {
    /// Revision as of which the zones were last listed or changed.
    pub changed: StoreRevision,
    /// Revision up to which the zones are current.
    pub confirmed: StoreRevision,
    /// Time since the store last confirmed them.
    pub age: Duration,
    /// The evacuated zones.
    pub zones: Vec<Arc<str>>,
}

/// Start or end of the evacuation of a zone.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum EvacuationChange {
    /// Servers of the zone get no more requests.
    Started(Arc<str>),
    /// Servers of the zone get requests again.
    Ended(Arc<str>),
}

impl EvacuationTable {
    /// Returns the revision as of which the zones were last listed or changed.
    #[must_use]
    pub const fn last_change(&self) -> StoreRevision {
        self.changed
    }

    /// Returns the revision up to which all changes are applied.
    #[must_use]
    pub const fn revision(&self) -> StoreRevision {
        self.confirmed
    }

    /// Returns the zones whose servers get no requests.
    pub fn zones(&self) -> impl Iterator<Item = &Arc<str>> {
        self.zones.keys()
    }

    /// Returns the zones that the store lists, as of the last change.
    #[must_use]
    pub fn update(&self, age: Duration) -> EvacuationUpdate {
        let mut zones = Vec::new();
        for (zone, state) in &self.zones {
            if matches!(state, EvacuatedZone::Listed) {
                zones.push(zone.clone());
            }
        }
        EvacuationUpdate { changed: self.changed, confirmed: self.confirmed, age, zones }
    }

    /// Records that the store has confirmed the zones up to a revision.
    pub fn confirm(&mut self, revision: StoreRevision) {
        self.confirmed = self.confirmed.max(revision);
    }

    /// Applies a complete list of the evacuated zones. A list that is no newer than what is
    /// known changes nothing.
    pub fn replace(
        &mut self,
        now: BootTime,
        revision: StoreRevision,
        zones: &[Arc<str>],
    ) -> Vec<EvacuationChange> {
        if revision <= self.changed {
            return Vec::new();
        }
        let is_restored = self.changed.number > 0 && revision.era > self.changed.era;
        let mut changes = Vec::new();
        self.zones.retain(|zone, state| {
            if zones.contains(zone) {
                return true;
            }
            match state {
                EvacuatedZone::Listed if is_restored => {
                    *state = EvacuatedZone::Held(now + RESTORE_HOLD);
                    true
                }
                // The entry is not written again yet.
                EvacuatedZone::Held(until) if now < *until => true,
                EvacuatedZone::Listed | EvacuatedZone::Held(_) => {
                    changes.push(EvacuationChange::Ended(zone.clone()));
                    false
                }
            }
        });
        for zone in zones {
            if self.zones.insert(zone.clone(), EvacuatedZone::Listed).is_none() {
                changes.push(EvacuationChange::Started(zone.clone()));
            }
        }
        self.changed = revision;
        self.confirm(revision);
        changes
    }

    /// Applies the creation or removal of a zone's entry, as seen by a watch that has reached
    /// `revision`.
    pub fn apply_event(
        &mut self,
        now: BootTime,
        revision: StoreRevision,
        zone: &Arc<str>,
        is_removed: bool,
    ) -> Vec<EvacuationChange> {
        if revision < self.changed {
            return Vec::new();
        }
        self.changed = revision;
        self.confirm(revision);
        let is_known = self.zones.contains_key(zone);
        if is_removed {
            // A restored store may play the removal of an earlier entry again.
            let is_held =
                matches!(self.zones.get(zone), Some(EvacuatedZone::Held(until)) if now < *until);
            if is_held || self.zones.shift_remove(zone).is_none() {
                return Vec::new();
            }
            return vec![EvacuationChange::Ended(zone.clone())];
        }
        self.zones.insert(zone.clone(), EvacuatedZone::Listed);
        if is_known { Vec::new() } else { vec![EvacuationChange::Started(zone.clone())] }
    }

    /// Ends the evacuations that a restored store lacks and that were not written again in
    /// time.
    pub fn expire(&mut self, now: BootTime) -> Vec<EvacuationChange> {
        let mut changes = Vec::new();
        self.zones.retain(|zone, state| {
            let is_over = matches!(state, EvacuatedZone::Held(until) if now >= *until);
            if is_over {
                changes.push(EvacuationChange::Ended(zone.clone()));
            }
            !is_over
        });
        changes
    }
}
