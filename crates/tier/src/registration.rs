//! Registration of this node in the platform's store, which others may remove.

use crate::directory::StoreRevision;

/// What is known of this node's entry in the store.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct NodeRegistration {
    /// Revision of the entry; the number is zero if it is not known.
    written: Option<StoreRevision>,
    /// Latest revision at which the entry was seen to be missing.
    missing: StoreRevision,
    is_writing: bool,
}

impl NodeRegistration {
    /// Returns the revision of this node's entry, if it was written and its revision is known.
    #[must_use]
    pub fn revision(&self) -> Option<StoreRevision> {
        self.written.filter(|written| written.number > 0)
    }

    /// Records that a write of the entry starts; it is repeated until it succeeds.
    pub const fn on_write_started(&mut self) {
        self.is_writing = true;
    }

    /// Records that the entry is in the store as of a revision, the number of which is zero
    /// if it is not known. Returns whether the entry was removed meanwhile and must be
    /// written again.
    #[must_use]
    pub fn on_written(&mut self, revision: StoreRevision) -> bool {
        let is_known = revision.number > 0;
        self.written = Some(if is_known { revision } else { revision.max(self.missing) });
        self.is_writing = is_known && self.missing > revision;
        self.is_writing
    }

    /// Records that the entry was removed before a revision. Returns whether it must be
    /// written again.
    #[must_use]
    pub fn on_removed(&mut self, revision: StoreRevision) -> bool {
        self.missing = self.missing.max(revision);
        if self.is_writing || self.written.is_none_or(|written| revision <= written) {
            return false;
        }
        self.is_writing = true;
        true
    }

    /// Records that a complete list as of a revision lacks the entry. Returns whether it must
    /// be written again.
    #[must_use]
    pub fn on_missing(&mut self, revision: StoreRevision) -> bool {
        // A list from before the write lacks the entry as well.
        let is_comparable =
            self.written.is_some_and(|written| written.number > 0 || written.era < revision.era);
        is_comparable && self.on_removed(revision)
    }
}
