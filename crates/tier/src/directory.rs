//! Directory of backend servers, replicated from the platform's store.

mod updates;

use std::{collections::VecDeque, sync::Arc, time::Duration};

use carobstep_clock::BootTime;
use indexmap::{IndexMap, IndexSet};
use serde::{Deserialize, Serialize};

use crate::model::{ServerEntry, ServerIncarnation, ServerPhase};
pub use updates::DirectoryUpdate;

/// Time for which entries that expired during an outage of the store are kept after
/// the store has recovered; servers that are still running register again within it.
const EXPIRY_GRACE: Duration = Duration::from_secs(2);

/// Duration of failed calls to the store that counts as an outage, in which entries
/// may have expired although their servers are still running.
const MIN_OUTAGE: Duration = Duration::from_millis(1_000);

/// Maximum number of removals that are remembered in order to reject older updates.
const MAX_TOMBSTONES: usize = 1024;

/// Maximum number of leaving servers that are remembered; the oldest is forgotten first.
const MAX_LEAVING: usize = 4096;

/// Time for which a leaving server is named in searches that are delegated to peers.
const LEAVING_SPREAD_TIME: Duration = Duration::from_secs(5);

/// Lowest revision of a store's era that counts as known; the history since then is gone
/// after a restore, so that a node that continues from it lists again.
const FIRST_REVISION: u64 = 1;

/// Maximum number of changes that are kept for incremental updates to peers.
const MAX_CHANGES: usize = 512;

/// Position in the history of the store.
///
/// The revision of a store that was restored from an older copy is lower than before,
/// and it gives out again the revisions in between. Its era is higher, so that the order
/// of the two fields is the order of the changes.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct StoreRevision {
    /// Number of times that the store has been restored.
    pub era: u64,
    /// Revision within the era.
    pub number: u64,
}

/// Addition, change or removal of one server in the directory.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum DirectoryChange {
    /// A server was added, or its entry has changed.
    Changed(ServerEntry),
    /// The server with this identifier was removed.
    Removed(Arc<str>),
}

/// Entry or removal of a server at a revision of the store.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct VersionedServer {
    /// Store revision of the last change.
    pub revision: StoreRevision,
    /// Identifier of the server.
    pub id: Arc<str>,
    /// Registration of the server, or `None` if it was removed.
    pub entry: Option<ServerEntry>,
}

/// Servers listed by the store, and those whose entries expired during an outage.
#[derive(Clone, Debug, Default)]
pub struct ServerDirectory {
    entries: IndexMap<Arc<str>, ListedEntry>,
    failing_since: Option<BootTime>,
    recovered_at: Option<BootTime>,
    /// Store revision up to which all changes are known; deferred removals included.
    revision: StoreRevision,
    /// Revision since which every removal is in `tombstones`.
    history_since: StoreRevision,
    tombstones: IndexMap<Arc<str>, RemovedEntry>,
    leaving: IndexMap<Arc<str>, LeavingMark>,
    /// Number of the last change of `leaving`.
    last_leaving_change: u64,
    /// Number of the last change in `changes`.
    last_change: u64,
    changes: VecDeque<VersionedServer>,
}

#[derive(Clone, Debug)]
struct ListedEntry {
    entry: ServerEntry,
    revision: StoreRevision,
    /// Removal of an entry that is missing from the store; `None` for listed entries.
    deferred: Option<DeferredRemoval>,
}

/// Removal that is put off until a grace period ends.
#[derive(Clone, Copy, Debug)]
struct DeferredRemoval {
    due_at: BootTime,
    /// Revision at which the entry was missing; one written later is there again.
    missing_at: StoreRevision,
    /// Latest revision that is certain to precede the removal.
    known_before: StoreRevision,
}

/// Last known state of a removed entry.
#[derive(Clone, Copy, Debug)]
struct RemovedEntry {
    revision: StoreRevision,
    born_ms: Option<u64>,
    report_number: u64,
}

/// Incarnation of a server that is leaving.
#[derive(Clone, Copy, Debug)]
struct LeavingMark {
    born_ms: Option<u64>,
    /// Until when delegated searches name the server.
    spread_until: BootTime,
    /// Number of the change that added the mark.
    change: u64,
}

impl ListedEntry {
    /// Ends the deferral of the entry's removal if it was written at a revision later than
    /// that at which it was missing. A peer may still send an earlier one.
    fn end_deferral(&mut self, written: StoreRevision) {
        self.deferred = self.deferred.filter(|removal| written <= removal.missing_at);
    }
}

impl RemovedEntry {
    /// Returns whether an entry at `revision` is older than the removal.
    fn covers(&self, revision: StoreRevision, entry: &ServerEntry) -> bool {
        // A restored store may hold an entry that it had removed. The server has not
        // written it again unless its report is newer.
        let is_restored = revision.era > self.revision.era
            && entry.born_ms == self.born_ms
            && entry.report_number <= self.report_number;
        self.revision >= revision || is_restored
    }
}

impl ServerDirectory {
    /// Iterates over the entries of all servers.
    pub fn entries(&self) -> impl Iterator<Item = &ServerEntry> {
        self.entries.values().map(|listed| &listed.entry)
    }

    /// Records that a call to the store, started at `called`, got no reply.
    pub const fn on_store_failure(&mut self, called: BootTime) {
        if self.failing_since.is_none() {
            self.failing_since = Some(called);
        }
    }

    /// Records a reply of the store. If calls failed for long enough before it to count
    /// as an outage, the grace period for expired entries starts.
    pub fn on_store_reply(&mut self, now: BootTime) {
        let failing = self.failing_since.take();
        if failing.is_some_and(|since| now.since(since) >= MIN_OUTAGE) {
            self.recovered_at = Some(now);
        }
    }

    /// Returns whether the last call to the store failed.
    #[must_use]
    pub const fn is_store_failing(&self) -> bool {
        self.failing_since.is_some()
    }

    /// Returns the number of the last change, for [`ServerDirectory::updates_after`].
    #[must_use]
    pub const fn last_change(&self) -> u64 {
        self.last_change
    }

    /// Records that all changes up to a revision are applied.
    pub fn confirm(&mut self, revision: StoreRevision) {
        self.revision = self.revision.max(revision);
    }

    /// Returns the store revision up to which all changes are applied. It precedes every
    /// deferred removal, so that a node that continues from it learns of the removal.
    #[must_use]
    pub fn revision(&self) -> StoreRevision {
        let deferred = self.entries.values().filter_map(|listed| listed.deferred);
        deferred.map(|removal| removal.known_before).fold(self.revision, StoreRevision::min)
    }

    /// Replaces the directory with the complete list of servers at a store revision;
    /// returns the changes. Ignores a list of an earlier era of the store.
    pub fn replace(
        &mut self,
        now: BootTime,
        revision: StoreRevision,
        list: Vec<(StoreRevision, ServerEntry)>,
    ) -> Vec<DirectoryChange> {
        let mut changes = Vec::new();
        let known = self.revision;
        if revision.era < known.era {
            return changes;
        }
        if known.number > 0 && revision.era > known.era {
            // The store lost the registrations of its last seconds; the servers write
            // them again.
            self.recovered_at = Some(now);
        }
        if revision > known {
            // The list says nothing of entries that only peers have known meanwhile.
            self.history_since = revision;
        }
        if known.number == 0 {
            // A peer that followed this node before knows nothing of it.
            self.forget_changes();
        }
        let listed: IndexSet<Arc<str>> = list.iter().map(|(_, entry)| entry.id.clone()).collect();
        let missing: Vec<Arc<str>> =
            self.entries.keys().filter(|id| !listed.contains(*id)).cloned().collect();
        // Nothing tells when the missing entries were removed.
        let known_before = if known.era == revision.era {
            known.min(revision)
        } else {
            StoreRevision { number: FIRST_REVISION, ..revision }
        };
        for id in missing {
            self.remove_or_defer(now, revision, known_before, &id, &mut changes);
        }
        for (revision, entry) in list {
            self.insert(revision, entry, &mut changes);
        }
        // An entry may be newer than the list: it doesn't tell what was removed before it.
        self.revision = known.max(revision);
        changes
    }

    /// Adds or updates an entry; ignores entries older than the known one or its removal.
    pub fn insert(
        &mut self,
        revision: StoreRevision,
        mut entry: ServerEntry,
        changes: &mut Vec<DirectoryChange>,
    ) {
        self.apply_leaving_mark(&mut entry);
        let removed = self.tombstones.get(&entry.id);
        let was_removed = removed.is_some_and(|removed| removed.covers(revision, &entry));
        let known = self.entries.get(&entry.id);
        if was_removed || known.is_some_and(|listed| listed.revision > revision) {
            return;
        }
        // A report that was delayed on its way may be stored after later ones, and a restored
        // store may hold an earlier one.
        if known.is_some_and(|listed| listed.entry.is_newer_than(&entry)) {
            if let Some(listed) = self.entries.get_mut(&entry.id) {
                listed.end_deferral(revision);
                listed.revision = revision;
            }
            return;
        }
        let is_unchanged = known.is_some_and(|listed| listed.entry.has_same_content(&entry));
        let is_rewritten = known.is_none_or(|listed| listed.revision != revision);
        self.revision = self.revision.max(revision);
        let deferred = known.and_then(|listed| listed.deferred);
        let mut listed = ListedEntry { entry: entry.clone(), revision, deferred };
        listed.end_deferral(revision);
        self.entries.insert(entry.id.clone(), listed);
        if !is_unchanged {
            changes.push(DirectoryChange::Changed(entry.clone()));
        }
        // An entry that was written again may have been removed in between. A peer that
        // has seen the removal needs the entry, although nothing has changed here.
        if !is_unchanged || is_rewritten {
            self.record_change(VersionedServer {
                revision,
                id: entry.id.clone(),
                entry: Some(entry),
            });
        }
    }

    /// Removes an entry that is missing from the store as of a revision. After an outage,
    /// the removal is deferred until the grace period ends.
    pub fn remove(
        &mut self,
        now: BootTime,
        revision: StoreRevision,
        id: &str,
        changes: &mut Vec<DirectoryChange>,
    ) {
        let known_before = StoreRevision { number: revision.number.saturating_sub(1), ..revision };
        self.remove_or_defer(now, revision, known_before, id, changes);
    }

    fn remove_or_defer(
        &mut self,
        now: BootTime,
        revision: StoreRevision,
        known_before: StoreRevision,
        id: &str,
        changes: &mut Vec<DirectoryChange>,
    ) {
        let Some(listed) = self.entries.get_mut(id) else {
            self.pass_on_removal(revision, id);
            return;
        };
        if listed.revision > revision {
            return;
        }
        let grace_end = self.recovered_at.map(|recovered_at| recovered_at + EXPIRY_GRACE);
        if let Some(due_at) = grace_end.filter(|end| now < *end) {
            let removal = DeferredRemoval { due_at, missing_at: revision, known_before };
            let deferred = listed.deferred.get_or_insert(removal);
            deferred.missing_at = deferred.missing_at.max(revision);
            // Peers ignore what is known of an earlier era.
            if deferred.known_before.era < known_before.era {
                deferred.known_before = known_before;
            }
            return;
        }
        self.remove_entry(revision, id, changes);
    }

    /// Records the removal of an entry that this node doesn't list, for peers that may: a
    /// restored store may have held it, and only some nodes know that it had been removed.
    fn pass_on_removal(&mut self, revision: StoreRevision, id: &str) {
        let unknown = RemovedEntry { revision, born_ms: None, report_number: 0 };
        let removed = match self.tombstones.get(id) {
            // Nodes that follow each other would tell each other again and again.
            Some(known) if known.revision >= revision => return,
            Some(known) => RemovedEntry { revision, ..*known },
            None => unknown,
        };
        let id: Arc<str> = id.into();
        self.add_tombstone(id.clone(), removed);
        self.record_change(VersionedServer { revision, id, entry: None });
    }

    fn add_tombstone(&mut self, id: Arc<str>, removed: RemovedEntry) {
        self.tombstones.shift_remove(&id);
        self.tombstones.insert(id, removed);
        if self.tombstones.len() > MAX_TOMBSTONES
            && let Some((_, forgotten)) = self.tombstones.shift_remove_index(0)
        {
            self.history_since = self.history_since.max(forgotten.revision);
        }
    }

    fn remove_entry(
        &mut self,
        revision: StoreRevision,
        id: &str,
        changes: &mut Vec<DirectoryChange>,
    ) {
        let Some((id, listed)) = self.entries.shift_remove_entry(id) else { return };
        let revision = revision.max(listed.revision);
        self.revision = self.revision.max(revision);
        let ServerEntry { born_ms, report_number, .. } = listed.entry;
        self.add_tombstone(id.clone(), RemovedEntry { revision, born_ms, report_number });
        changes.push(DirectoryChange::Removed(id.clone()));
        self.record_change(VersionedServer { revision, id, entry: None });
    }

    /// Makes peers that know the changes so far get a full snapshot, because changes alone
    /// don't say what is missing from a list.
    fn forget_changes(&mut self) {
        self.last_change += 1;
        self.changes.clear();
    }

    fn record_change(&mut self, change: VersionedServer) {
        self.last_change += 1;
        self.changes.push_back(change);
        if self.changes.len() > MAX_CHANGES {
            self.changes.pop_front();
        }
    }

    /// Records that a server said that it is leaving, or that a peer said so of it. Until
    /// the server starts again, its entry stays [`ServerPhase::Leaving`]; returns the change
    /// if it was not.
    pub fn mark_leaving(
        &mut self,
        now: BootTime,
        server: &ServerIncarnation,
    ) -> Option<DirectoryChange> {
        let ServerIncarnation { id, born_ms } = server;
        let listed = self.entries.get_mut(id);
        if listed.as_ref().is_some_and(|listed| listed.entry.is_born_after(*born_ms)) {
            return None;
        }
        let known = self.leaving.get(id);
        if known.is_none_or(|mark| mark.born_ms != *born_ms) {
            self.insert_leaving_mark(id.clone(), *born_ms, now + LEAVING_SPREAD_TIME);
        }
        let listed = self.entries.get_mut(id);
        let listed = listed.filter(|listed| listed.entry.phase != ServerPhase::Leaving)?;
        listed.entry.phase = ServerPhase::Leaving;
        let (entry, revision) = (listed.entry.clone(), listed.revision);
        self.record_change(VersionedServer {
            revision,
            id: id.clone(),
            entry: Some(entry.clone()),
        });
        Some(DirectoryChange::Changed(entry))
    }

    fn insert_leaving_mark(&mut self, id: Arc<str>, born_ms: Option<u64>, spread_until: BootTime) {
        self.last_leaving_change += 1;
        let change = self.last_leaving_change;
        self.leaving.insert(id, LeavingMark { born_ms, spread_until, change });
        if self.leaving.len() > MAX_LEAVING {
            self.leaving.shift_remove_index(0);
        }
    }

    /// Returns the listed servers that were marked as leaving after change `number`, and
    /// the number of the last change, for a peer that has confirmed the changes until then.
    #[must_use]
    pub fn leaving_after(&self, number: u64) -> (u64, Vec<ServerIncarnation>) {
        let mut servers = Vec::new();
        for (id, mark) in &self.leaving {
            if mark.change > number && self.entries.contains_key(id) {
                servers.push(ServerIncarnation { id: id.clone(), born_ms: mark.born_ms });
            }
        }
        (self.last_leaving_change, servers)
    }

    /// Returns the servers that were marked as leaving recently, for delegated searches.
    #[must_use]
    pub fn recently_leaving(&self, now: BootTime) -> Vec<ServerIncarnation> {
        let mut recent = Vec::new();
        for (id, mark) in &self.leaving {
            if now < mark.spread_until {
                recent.push(ServerIncarnation { id: id.clone(), born_ms: mark.born_ms });
            }
        }
        recent
    }

    /// Marks an entry as leaving if its incarnation is known to be, or remembers that a
    /// peer sent it so marked. Forgets the mark of an earlier incarnation.
    fn apply_leaving_mark(&mut self, entry: &mut ServerEntry) {
        let mark = self.leaving.get(&entry.id);
        if entry.phase == ServerPhase::Leaving {
            if mark.is_none_or(|mark| entry.is_born_after(mark.born_ms)) {
                self.insert_leaving_mark(entry.id.clone(), entry.born_ms, BootTime::ZERO);
            }
            return;
        }
        let Some(mark) = mark else { return };
        if entry.is_born_after(mark.born_ms) {
            self.leaving.shift_remove(&entry.id);
        } else {
            entry.phase = ServerPhase::Leaving;
        }
    }

    /// Removes the expired entries whose grace period has ended; returns the changes.
    pub fn expire(&mut self, now: BootTime) -> Vec<DirectoryChange> {
        let is_expired =
            |listed: &&ListedEntry| listed.deferred.is_some_and(|removal| removal.due_at <= now);
        let expired: Vec<Arc<str>> = self
            .entries
            .values()
            .filter(is_expired)
            .map(|listed| listed.entry.id.clone())
            .collect();
        let mut changes = Vec::new();
        for id in expired {
            // Peers that know a later revision than that of the entry must learn of this.
            self.remove_entry(self.revision, &id, &mut changes);
        }
        changes
    }

    /// Returns when [`ServerDirectory::expire`] is due next.
    #[must_use]
    pub fn next_expiry(&self) -> Option<BootTime> {
        self.entries.values().filter_map(|listed| Some(listed.deferred?.due_at)).min()
    }
}
