//! Which backend servers are believed to exist.

use std::{sync::Arc, time::Duration};

use carobstep_clock::BootTime;
use indexmap::IndexMap;

use crate::model::ServerEntry;

/// Time for which an entry that lapsed during an outage of the store is still
/// believed after its return; living servers have registered again by then.
const LAPSE_GRACE: Duration = Duration::from_secs(2);

/// Time without an answer of the store after which entries may have lapsed
/// although their servers live.
const OUTAGE: Duration = Duration::from_millis(1_000);

/// A change of what is believed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum DirectoryChange {
    /// A server is new, or says something new of itself.
    Changed(ServerEntry),
    /// A server is gone.
    Gone(Arc<str>),
}

/// The servers that the store lists, with those that lapsed during an outage.
#[derive(Clone, Debug, Default)]
pub struct ServerDirectory {
    entries: IndexMap<Arc<str>, ListedEntry>,
    last_answer: Option<BootTime>,
    returned: Option<BootTime>,
}

#[derive(Clone, Debug)]
struct ListedEntry {
    entry: ServerEntry,
    /// When a lapsed entry is given up.
    gone_at: Option<BootTime>,
}

impl ServerDirectory {
    /// Entries that are believed.
    pub fn entries(&self) -> impl Iterator<Item = &ServerEntry> {
        self.entries.values().map(|listed| &listed.entry)
    }

    /// Notes an answer of the store; a long gap before it is an outage.
    pub fn store_answered(&mut self, now: BootTime, called: BootTime) {
        let gap = self.last_answer.is_some_and(|last| called.since(last) >= OUTAGE);
        if gap {
            self.returned = Some(now);
        }
        self.last_answer = Some(now);
    }

    /// Takes in a whole list.
    pub fn replace(&mut self, now: BootTime, list: Vec<ServerEntry>) -> Vec<DirectoryChange> {
        let mut changes = Vec::new();
        let mut listed = IndexMap::with_capacity(list.len());
        for entry in list {
            listed.insert(entry.id.clone(), entry);
        }
        let missing: Vec<Arc<str>> =
            self.entries.keys().filter(|id| !listed.contains_key(*id)).cloned().collect();
        for id in missing {
            self.remove(now, &id, &mut changes);
        }
        for entry in listed.into_values() {
            self.insert(entry, &mut changes);
        }
        changes
    }

    /// Takes in an entry that is new or has changed.
    pub fn insert(&mut self, entry: ServerEntry, changes: &mut Vec<DirectoryChange>) {
        let known = self.entries.get(&entry.id).is_some_and(|listed| listed.entry == entry);
        if !known {
            changes.push(DirectoryChange::Changed(entry.clone()));
        }
        self.entries.insert(entry.id.clone(), ListedEntry { entry, gone_at: None });
    }

    /// Takes in that an entry is no longer there.
    pub fn remove(&mut self, now: BootTime, id: &str, changes: &mut Vec<DirectoryChange>) {
        let lapse_end = self.returned.map(|returned| returned + LAPSE_GRACE);
        if let Some(end) = lapse_end.filter(|end| now < *end) {
            if let Some(listed) = self.entries.get_mut(id) {
                listed.gone_at.get_or_insert(end);
            }
            return;
        }
        if let Some((id, _)) = self.entries.shift_remove_entry(id) {
            changes.push(DirectoryChange::Gone(id));
        }
    }

    /// Gives up the lapsed entries whose time is over.
    pub fn expire(&mut self, now: BootTime) -> Vec<DirectoryChange> {
        let mut changes = Vec::new();
        self.entries.retain(|id, listed| {
            let keep = listed.gone_at.is_none_or(|gone_at| now < gone_at);
            if !keep {
                changes.push(DirectoryChange::Gone(id.clone()));
            }
            keep
        });
        changes
    }

    /// When [`ServerDirectory::expire`] is due next.
    #[must_use]
    pub fn next_expiry(&self) -> Option<BootTime> {
        self.entries.values().filter_map(|listed| listed.gone_at).min()
    }
}
