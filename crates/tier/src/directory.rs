//! Which backend servers are believed to exist.

use std::{collections::VecDeque, sync::Arc, time::Duration};

use carobstep_clock::BootTime;
use indexmap::{IndexMap, IndexSet};
use serde::{Deserialize, Serialize};

use crate::model::ServerEntry;

/// Time for which an entry that lapsed during an outage of the store is still
/// believed after its return; living servers have registered again by then.
const LAPSE_GRACE: Duration = Duration::from_secs(2);

/// Time of failed calls to the store after which entries may have lapsed
/// although their servers live.
const OUTAGE: Duration = Duration::from_millis(1_000);

/// Removals that are remembered against older news.
const MAX_TOMBSTONES: usize = 1024;

/// Changes that are kept for peers that follow this node.
const KEPT_CHANGES: usize = 512;

/// A change of what is believed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum DirectoryChange {
    /// A server is new, or says something new of itself.
    Changed(ServerEntry),
    /// A server is gone.
    Gone(Arc<str>),
}

/// A server as the store listed it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct VersionedServer {
    /// The store's revision of the last change.
    pub revision: u64,
    /// Identifier of the server.
    pub id: Arc<str>,
    /// What it says of itself, `None` once it is gone.
    pub entry: Option<ServerEntry>,
}

/// What a peer that follows this node gets.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DirectoryNews {
    /// Number of the last change; the next news start behind it.
    pub number: u64,
    /// Whether these are all servers, so that others are gone.
    pub whole: bool,
    /// The store's revision up to which they hold.
    pub revision: u64,
    /// Servers that have changed.
    pub servers: Vec<VersionedServer>,
}

/// The servers that the store lists, with those that lapsed during an outage.
#[derive(Clone, Debug, Default)]
pub struct ServerDirectory {
    entries: IndexMap<Arc<str>, ListedEntry>,
    failing_since: Option<BootTime>,
    returned: Option<BootTime>,
    /// The store's revision of the newest change or list.
    revision: u64,
    tombstones: IndexMap<Arc<str>, u64>,
    /// Number of the newest of the kept changes.
    number: u64,
    changes: VecDeque<VersionedServer>,
}

#[derive(Clone, Debug)]
struct ListedEntry {
    entry: ServerEntry,
    revision: u64,
    /// When a lapsed entry is given up.
    gone_at: Option<BootTime>,
}

impl ServerDirectory {
    /// Entries that are believed.
    pub fn entries(&self) -> impl Iterator<Item = &ServerEntry> {
        self.entries.values().map(|listed| &listed.entry)
    }

    /// Notes that a call to the store got no answer.
    pub const fn store_failed(&mut self, called: BootTime) {
        if self.failing_since.is_none() {
            self.failing_since = Some(called);
        }
    }

    /// Notes an answer of the store; failed calls for a while before it are an outage.
    pub fn store_answered(&mut self, now: BootTime) {
        let failing = self.failing_since.take();
        if failing.is_some_and(|since| now.since(since) >= OUTAGE) {
            self.returned = Some(now);
        }
    }

    /// Whether the last call to the store failed.
    #[must_use]
    pub const fn is_store_failing(&self) -> bool {
        self.failing_since.is_some()
    }

    /// Number of the newest change.
    #[must_use]
    pub const fn number(&self) -> u64 {
        self.number
    }

    /// Takes in a whole list as of a revision.
    pub fn replace(
        &mut self,
        now: BootTime,
        revision: u64,
        list: Vec<(u64, ServerEntry)>,
    ) -> Vec<DirectoryChange> {
        let mut changes = Vec::new();
        let listed: IndexSet<Arc<str>> = list.iter().map(|(_, entry)| entry.id.clone()).collect();
        let missing: Vec<Arc<str>> =
            self.entries.keys().filter(|id| !listed.contains(*id)).cloned().collect();
        for id in missing {
            self.remove(now, revision, &id, &mut changes);
        }
        for (revision, entry) in list {
            self.insert(revision, entry, &mut changes);
        }
        self.revision = self.revision.max(revision);
        changes
    }

    /// Takes in an entry that is new or has changed; older news change nothing.
    pub fn insert(
        &mut self,
        revision: u64,
        entry: ServerEntry,
        changes: &mut Vec<DirectoryChange>,
    ) {
        let removed = self.tombstones.get(&entry.id).is_some_and(|at| *at >= revision);
        let known = self.entries.get(&entry.id);
        if removed || known.is_some_and(|listed| listed.revision > revision) {
            return;
        }
        // A report that was held up on its way may be written after later ones.
        if known.is_some_and(|listed| listed.entry.is_newer_than(&entry)) {
            return;
        }
        let same = known.is_some_and(|listed| listed.entry.has_same_content(&entry));
        self.revision = self.revision.max(revision);
        let listed = ListedEntry { entry: entry.clone(), revision, gone_at: None };
        self.entries.insert(entry.id.clone(), listed);
        if !same {
            changes.push(DirectoryChange::Changed(entry.clone()));
            self.keep_change(VersionedServer {
                revision,
                id: entry.id.clone(),
                entry: Some(entry),
            });
        }
    }

    /// Takes in that an entry is no longer there as of a revision.
    pub fn remove(
        &mut self,
        now: BootTime,
        revision: u64,
        id: &str,
        changes: &mut Vec<DirectoryChange>,
    ) {
        let Some(listed) = self.entries.get_mut(id) else { return };
        if listed.revision > revision {
            return;
        }
        let lapse_end = self.returned.map(|returned| returned + LAPSE_GRACE);
        if let Some(end) = lapse_end.filter(|end| now < *end) {
            listed.gone_at.get_or_insert(end);
            return;
        }
        self.drop_entry(revision, id, changes);
    }

    fn drop_entry(&mut self, revision: u64, id: &str, changes: &mut Vec<DirectoryChange>) {
        let Some((id, listed)) = self.entries.shift_remove_entry(id) else { return };
        let revision = revision.max(listed.revision);
        self.revision = self.revision.max(revision);
        self.tombstones.insert(id.clone(), revision);
        if self.tombstones.len() > MAX_TOMBSTONES {
            self.tombstones.shift_remove_index(0);
        }
        changes.push(DirectoryChange::Gone(id.clone()));
        self.keep_change(VersionedServer { revision, id, entry: None });
    }

    fn keep_change(&mut self, change: VersionedServer) {
        self.number += 1;
        self.changes.push_back(change);
        if self.changes.len() > KEPT_CHANGES {
            self.changes.pop_front();
        }
    }

    /// What has changed behind a number, or everything if that is not known any more.
    #[must_use]
    pub fn news_after(&self, number: Option<u64>) -> DirectoryNews {
        let behind = number.and_then(|number| self.number.checked_sub(number));
        let kept = behind.and_then(|behind| usize::try_from(behind).ok());
        if let Some(behind) = kept.filter(|behind| *behind <= self.changes.len()) {
            let servers = self.changes.iter().skip(self.changes.len() - behind).cloned().collect();
            return DirectoryNews {
                number: self.number,
                whole: false,
                revision: self.revision,
                servers,
            };
        }
        let server = |listed: &ListedEntry| VersionedServer {
            revision: listed.revision,
            id: listed.entry.id.clone(),
            entry: Some(listed.entry.clone()),
        };
        DirectoryNews {
            number: self.number,
            whole: true,
            revision: self.revision,
            servers: self.entries.values().map(server).collect(),
        }
    }

    /// Takes in the news of a peer that follows the store.
    pub fn take_news(&mut self, now: BootTime, news: DirectoryNews) -> Vec<DirectoryChange> {
        if news.whole {
            let known = news.servers.into_iter();
            let list = known.filter_map(|server| Some((server.revision, server.entry?))).collect();
            return self.replace(now, news.revision, list);
        }
        let mut changes = Vec::new();
        for server in news.servers {
            match server.entry {
                Some(entry) => self.insert(server.revision, entry, &mut changes),
                None => self.drop_if_older(server.revision, &server.id, &mut changes),
            }
        }
        changes
    }

    fn drop_if_older(&mut self, revision: u64, id: &str, changes: &mut Vec<DirectoryChange>) {
        if self.entries.get(id).is_some_and(|listed| listed.revision <= revision) {
            self.drop_entry(revision, id, changes);
        }
    }

    /// Gives up the lapsed entries whose time is over.
    pub fn expire(&mut self, now: BootTime) -> Vec<DirectoryChange> {
        let over = |listed: &&ListedEntry| listed.gone_at.is_some_and(|gone_at| gone_at <= now);
        let lapsed: Vec<Arc<str>> =
            self.entries.values().filter(over).map(|listed| listed.entry.id.clone()).collect();
        let mut changes = Vec::new();
        for id in lapsed {
            self.drop_entry(0, &id, &mut changes);
        }
        changes
    }

    /// When [`ServerDirectory::expire`] is due next.
    #[must_use]
    pub fn next_expiry(&self) -> Option<BootTime> {
        self.entries.values().filter_map(|listed| listed.gone_at).min()
    }
}
