//! Keeps the known evacuations of availability zones, and exchanges them with peers.

use std::rc::Rc;

use carobstep_clock::BootTime;
use carobstep_tier::{EvacuationChange, EvacuationTable, EvacuationUpdate, StoreRevision};
use log::{info, warn};

use crate::{
    gateway::Gateway,
    peer_messages::{Extension, ExtensionKind},
};

impl Gateway {
    /// Changes the known evacuations with `change`, and allows or stops requests to servers
    /// accordingly. `source` says where the change comes from.
    pub(crate) fn update_evacuations(
        &self,
        source: &str,
        change: impl FnOnce(&mut EvacuationTable) -> Vec<EvacuationChange>,
    ) {
        let now = BootTime::now();
        let state = &mut *self.state.borrow_mut();
        let before = state.evacuations.last_change();
        let changes = change(&mut state.evacuations);
        let last = state.evacuations.last_change();
        if !changes.is_empty() {
            let zones = state.evacuations.zones().cloned().collect();
            let servers = state.fleet.set_evacuated_zones(now, zones);
            for key in &servers {
                if let Some(pool) = state.pools.get(*key) {
                    pool.is_evacuated.set(state.fleet.is_evacuated(*key));
                }
            }
            let age_ms = state.freshness.evacuation_age(now).as_millis() as u64;
            for change in &changes {
                self.reporter.count_evacuation_change(change);
                let (era, revision, servers) = (last.era, last.number, servers.len());
                match change {
                    EvacuationChange::Started(zone) => warn!(
                        zone = zone.as_ref(), source = source, era = era, revision = revision,
                        age_ms = age_ms, servers = servers;
                        "zone evacuated; its servers get no requests"
                    ),
                    EvacuationChange::Ended(zone) => info!(
                        zone = zone.as_ref(), source = source, era = era, revision = revision,
                        age_ms = age_ms, servers = servers;
                        "evacuation of a zone ended"
                    ),
                }
            }
        }
        if last != before {
            self.notify_peers();
        }
    }

    /// Returns what is sent to the followed peer in addition to a call for changes.
    pub(crate) fn follow_extensions(&self) -> Vec<Extension> {
        let mut extensions = Vec::new();
        if self.settings.bounds.evacuation.is_some() {
            let known = self.state.borrow().evacuations.last_change();
            extensions.extend(Extension::encode(ExtensionKind::Evacuations, &known));
        }
        extensions
    }

    /// Returns whether something is known that a follower lacks, according to the
    /// `extensions` of its call.
    pub(crate) fn has_extended_news(&self, extensions: &[Extension]) -> bool {
        let known: Option<StoreRevision> = Extension::find(extensions, ExtensionKind::Evacuations);
        known.is_some_and(|known| known < self.state.borrow().evacuations.last_change())
    }

    /// Returns what a follower gets in addition to changes in the store.
    pub(crate) fn news_extensions(&self, now: BootTime) -> Vec<Extension> {
        let mut extensions = Vec::new();
        let state = self.state.borrow();
        if self.settings.bounds.evacuation.is_some() && state.evacuations.revision().number > 0 {
            let update = state.evacuations.update(state.freshness.evacuation_age(now));
            extensions.extend(Extension::encode(ExtensionKind::Evacuations, &update));
        }
        extensions
    }

    /// Applies what a peer sent in addition to changes in the store. `replied` is the time
    /// from which the ages count.
    pub(crate) fn apply_extensions(
        self: &Rc<Self>,
        peer: &str,
        replied: BootTime,
        extensions: &[Extension],
    ) {
        let update: Option<EvacuationUpdate> =
            Extension::find(extensions, ExtensionKind::Evacuations);
        let Some(update) = update.filter(|_| self.settings.bounds.evacuation.is_some()) else {
            return;
        };
        {
            let freshness = &mut self.state.borrow_mut().freshness;
            freshness.evacuations = freshness.evacuations.max(replied - update.age);
        }
        self.update_evacuations(peer, |evacuations| {
            let changes = evacuations.replace(BootTime::now(), update.changed, &update.zones);
            if update.changed >= evacuations.last_change() {
                evacuations.confirm(update.confirmed);
            }
            changes
        });
    }
}
