//! Updates of the directory that nodes send to each other.

use carobstep_clock::BootTime;
use serde::{Deserialize, Serialize};

use super::{
    DirectoryChange, FIRST_REVISION, ListedEntry, ServerDirectory, StoreRevision, VersionedServer,
};
use crate::model::ServerPhase;

/// Update of the directory that a node sends to a peer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DirectoryUpdate {
    /// Number of the sender's last change; the next incremental update starts after it.
    pub number: u64,
    /// Whether this is a full snapshot, so that servers missing from it are removed.
    pub whole: bool,
    /// Store revision that the update reflects.
    pub revision: StoreRevision,
    /// Changed servers, or all servers in a full snapshot.
    pub servers: Vec<VersionedServer>,
}

impl ServerDirectory {
    /// Returns the changes since a store revision for a peer that got its data from another
    /// node, or a full snapshot if they are not known any more.
    #[must_use]
    pub fn updates_since(&self, since: StoreRevision) -> DirectoryUpdate {
        // A node that claims the first revision may list what a restored store lacks.
        if since.number <= FIRST_REVISION || since < self.history_since {
            return self.updates_after(None);
        }
        let mut servers = Vec::new();
        for (id, listed) in &self.entries {
            // A server is marked as leaving without a change in the store.
            if listed.revision >= since || listed.entry.phase == ServerPhase::Leaving {
                let entry = Some(listed.entry.clone());
                servers.push(VersionedServer { revision: listed.revision, id: id.clone(), entry });
            }
        }
        for (id, removed) in &self.tombstones {
            if removed.revision >= since && !self.entries.contains_key(id) {
                let revision = removed.revision;
                servers.push(VersionedServer { revision, id: id.clone(), entry: None });
            }
        }
        DirectoryUpdate {
            number: self.last_change,
            whole: false,
            revision: self.revision(),
            servers,
        }
    }

    /// Returns the changes after change `number`, or a full snapshot if they are not
    /// kept any more.
    #[must_use]
    pub fn updates_after(&self, number: Option<u64>) -> DirectoryUpdate {
        let missed = number.and_then(|number| self.last_change.checked_sub(number));
        let missed = missed.and_then(|missed| usize::try_from(missed).ok());
        if let Some(missed) = missed.filter(|missed| *missed <= self.changes.len()) {
            let servers = self.changes.iter().skip(self.changes.len() - missed).cloned().collect();
            return DirectoryUpdate {
                number: self.last_change,
                whole: false,
                revision: self.revision(),
                servers,
            };
        }
        let server = |listed: &ListedEntry| VersionedServer {
            revision: listed.revision,
            id: listed.entry.id.clone(),
            entry: Some(listed.entry.clone()),
        };
        let mut servers: Vec<_> = self.entries.values().map(server).collect();
        // That a server is missing tells nothing of removals behind the claimed revision.
        let claimed = self.revision();
        for (id, removed) in &self.tombstones {
            if removed.revision > claimed && !self.entries.contains_key(id) {
                let revision = removed.revision;
                servers.push(VersionedServer { revision, id: id.clone(), entry: None });
            }
        }
        DirectoryUpdate { number: self.last_change, whole: true, revision: claimed, servers }
    }

    /// Returns whether an update is of an earlier era of the store, so that it is ignored.
    #[must_use]
    pub const fn is_outdated(&self, update: &DirectoryUpdate) -> bool {
        update.revision.era < self.revision.era
    }

    /// Applies an update from a peer; returns the resulting changes. Ignores an outdated one.
    pub fn apply_update(
        &mut self,
        now: BootTime,
        mut update: DirectoryUpdate,
    ) -> Vec<DirectoryChange> {
        if self.is_outdated(&update) {
            return Vec::new();
        }
        // An entry that this node has not listed as of a later revision was removed by then.
        let (known, is_later) = (self.revision, update.revision > self.revision);
        update.servers.retain(|server| {
            let is_listed = self.entries.contains_key(&server.id);
            is_later || server.entry.is_none() || is_listed || server.revision > known
        });
        if update.whole {
            let (mut list, mut removed) = (Vec::new(), Vec::new());
            for server in update.servers {
                match server.entry {
                    Some(entry) => list.push((server.revision, entry)),
                    None => removed.push((server.revision, server.id)),
                }
            }
            let mut changes = self.replace(now, update.revision, list);
            let known = self.revision;
            for (revision, id) in removed {
                self.remove_if_older(revision, &id, &mut changes);
            }
            self.revision = known;
            return changes;
        }
        let known = self.revision;
        let mut changes = Vec::new();
        for server in update.servers {
            match server.entry {
                Some(entry) => self.insert(server.revision, entry, &mut changes),
                None => self.remove_if_older(server.revision, &server.id, &mut changes),
            }
        }
        // The peer may have deferred a removal that precedes these changes.
        self.revision = known.max(update.revision);
        changes
    }

    fn remove_if_older(
        &mut self,
        revision: StoreRevision,
        id: &str,
        changes: &mut Vec<DirectoryChange>,
    ) {
        match self.entries.get(id) {
            Some(listed) if listed.revision <= revision => {
                self.remove_entry(revision, id, changes);
            }
            Some(_) => {}
            None => self.pass_on_removal(revision, id),
        }
    }
}
