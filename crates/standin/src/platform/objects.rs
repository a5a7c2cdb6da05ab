//! The stored objects, their versions and the change log from which watches read.

use std::collections::VecDeque;

use bytes::Bytes;
use carobstep_store::{ObjectKind, ObjectVersion, WriteCondition};
use indexmap::IndexMap;

/// Maximum total size of the values in the change log.
const MAX_LOG_BYTES: usize = 64 * 1024 * 1024;

/// A stored object.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct ObjectEntry {
    /// Version that the last write of the object created.
    pub(crate) version: ObjectVersion,
    /// The value as JSON text.
    pub(crate) value: Bytes,
}

/// One entry of the change log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Change {
    /// Kind of the object.
    pub(crate) kind: ObjectKind,
    /// Name of the object.
    pub(crate) name: String,
    /// Version that the change created.
    pub(crate) version: ObjectVersion,
    /// The new value as JSON text, or `None` for a deletion.
    pub(crate) value: Option<Bytes>,
}

/// The error of a write whose version condition did not match.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct ConditionFailed;

/// The error of a watch that starts at a version older than the change log.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct VersionGone;

type ObjectMap = IndexMap<ObjectKind, IndexMap<String, ObjectEntry>>;

/// All objects with their change log.
#[derive(Debug)]
pub(crate) struct ObjectTable {
    objects: ObjectMap,
    latest_version: ObjectVersion,
    log: VecDeque<Change>,
    log_bytes: usize,
    max_log_entries: usize,
    /// Version of the newest change that was evicted from the log.
    last_evicted: ObjectVersion,
    /// Objects and version that reads see while stale reads are enabled.
    stale_state: Option<(ObjectMap, ObjectVersion)>,
}

impl ObjectTable {
    /// Creates an empty table whose change log keeps at most `max_log_entries` changes.
    pub(crate) fn new(max_log_entries: usize) -> Self {
        Self {
            objects: ObjectMap::new(),
            latest_version: ObjectVersion(0),
            log: VecDeque::new(),
            log_bytes: 0,
            max_log_entries,
            last_evicted: ObjectVersion(0),
            stale_state: None,
        }
    }

    /// Freezes the state that reads see, or returns reads to the current state.
    pub(crate) fn set_stale(&mut self, stale: bool) {
        if !stale {
            self.stale_state = None;
        } else if self.stale_state.is_none() {
            self.stale_state = Some((self.objects.clone(), self.latest_version));
        }
    }

    fn visible_state(&self) -> (&ObjectMap, ObjectVersion) {
        match &self.stale_state {
            Some((objects, version)) => (objects, *version),
            None => (&self.objects, self.latest_version),
        }
    }

    /// Reads one object as readers see it, which may be stale.
    pub(crate) fn get(&self, kind: ObjectKind, name: &str) -> Option<&ObjectEntry> {
        self.visible_state().0.get(&kind)?.get(name)
    }

    /// Reads the current state of one object even while stale reads are enabled.
    pub(crate) fn get_current(&self, kind: ObjectKind, name: &str) -> Option<&ObjectEntry> {
        self.objects.get(&kind)?.get(name)
    }

    /// Reads every object of a kind, with the latest version that readers see.
    pub(crate) fn list(
        &self,
        kind: ObjectKind,
    ) -> (ObjectVersion, impl Iterator<Item = (&str, &ObjectEntry)>) {
        let (objects, version) = self.visible_state();
        let items = objects.get(&kind).into_iter().flatten();
        (version, items.map(|(name, entry)| (name.as_str(), entry)))
    }

    /// Writes one object if `condition` holds and returns its new version.
    pub(crate) fn put(
        &mut self,
        kind: ObjectKind,
        name: &str,
        condition: WriteCondition,
        value: Bytes,
    ) -> Result<ObjectVersion, ConditionFailed> {
        let current = self.get_current(kind, name).map(|entry| entry.version);
        let is_satisfied = match condition {
            WriteCondition::Absent => current.is_none(),
            WriteCondition::At(version) => current == Some(version),
        };
        if !is_satisfied {
            return Err(ConditionFailed);
        }
        let version = self.append_change(kind, name, Some(value.clone()));
        let entry = ObjectEntry { version, value };
        self.objects.entry(kind).or_default().insert(name.to_owned(), entry);
        Ok(version)
    }

    /// Deletes one object if its version is `at`.
    pub(crate) fn delete(
        &mut self,
        kind: ObjectKind,
        name: &str,
        at: ObjectVersion,
    ) -> Result<(), ConditionFailed> {
        let current = self.get_current(kind, name).map(|entry| entry.version);
        if current != Some(at) {
            return Err(ConditionFailed);
        }
        self.objects.entry(kind).or_default().swap_remove(name);
        self.append_change(kind, name, None);
        Ok(())
    }

    /// Returns the changes of a kind after a version that readers can see.
    pub(crate) fn changes(
        &self,
        kind: ObjectKind,
        after: ObjectVersion,
    ) -> Result<Vec<Change>, VersionGone> {
        if after < self.last_evicted {
            return Err(VersionGone);
        }
        let (_, visible) = self.visible_state();
        let start = self.log.partition_point(|change| change.version <= after);
        let mut changes = Vec::new();
        for change in self.log.range(start..) {
            if change.kind != kind || change.version > visible {
                continue;
            }
            changes.push(change.clone());
        }
        Ok(changes)
    }

    fn append_change(
        &mut self,
        kind: ObjectKind,
        name: &str,
        value: Option<Bytes>,
    ) -> ObjectVersion {
        self.latest_version = ObjectVersion(self.latest_version.0 + 1);
        self.log_bytes += value.as_ref().map_or(0, Bytes::len);
        let version = self.latest_version;
        self.log.push_back(Change { kind, name: name.to_owned(), version, value });
        while self.log.len() > self.max_log_entries || self.log_bytes > MAX_LOG_BYTES {
            let Some(oldest) = self.log.pop_front() else { break };
            self.log_bytes -= oldest.value.as_ref().map_or(0, Bytes::len);
            self.last_evicted = oldest.version;
        }
        version
    }
}
