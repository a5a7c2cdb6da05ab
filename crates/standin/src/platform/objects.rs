//! The objects, their versions and the log that watches read.

use std::collections::VecDeque;

use bytes::Bytes;
use carobstep_store::{ObjectKind, ObjectVersion, WriteCondition};
use indexmap::IndexMap;

/// Bytes of values that the log of changes keeps.
const MAX_LOG_BYTES: usize = 64 * 1024 * 1024;

/// One object: its version and its value as JSON text.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct ObjectEntry {
    /// Version of the last write.
    pub(crate) version: ObjectVersion,
    /// The value as JSON text.
    pub(crate) value: Bytes,
}

/// One entry of the log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Change {
    /// Kind of the object.
    pub(crate) kind: ObjectKind,
    /// Name of the object.
    pub(crate) name: String,
    /// Version after the change.
    pub(crate) version: ObjectVersion,
    /// The new value, or `None` after a deletion.
    pub(crate) value: Option<Bytes>,
}

/// A write whose condition did not hold.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct ConditionFailed;

/// A watch from a version that the log no longer reaches.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct VersionGone;

type ObjectMap = IndexMap<ObjectKind, IndexMap<String, ObjectEntry>>;

/// All objects.
#[derive(Debug)]
pub(crate) struct ObjectTable {
    objects: ObjectMap,
    latest: ObjectVersion,
    log: VecDeque<Change>,
    log_bytes: usize,
    log_length: usize,
    /// Version of the newest change that left the log.
    trimmed: ObjectVersion,
    /// What reads see while they are stale.
    frozen: Option<(ObjectMap, ObjectVersion)>,
}

impl ObjectTable {
    /// Builds an empty table that keeps `log_length` changes.
    pub(crate) fn new(log_length: usize) -> Self {
        Self {
            objects: ObjectMap::new(),
            latest: ObjectVersion(0),
            log: VecDeque::new(),
            log_bytes: 0,
            log_length,
            trimmed: ObjectVersion(0),
            frozen: None,
        }
    }

    /// Makes reads show the present state from now on, or lets them follow again.
    pub(crate) fn set_stale(&mut self, stale: bool) {
        if !stale {
            self.frozen = None;
        } else if self.frozen.is_none() {
            self.frozen = Some((self.objects.clone(), self.latest));
        }
    }

    fn readable(&self) -> (&ObjectMap, ObjectVersion) {
        match &self.frozen {
            Some((objects, version)) => (objects, *version),
            None => (&self.objects, self.latest),
        }
    }

    /// Reads one object.
    pub(crate) fn get(&self, kind: ObjectKind, name: &str) -> Option<&ObjectEntry> {
        self.readable().0.get(&kind)?.get(name)
    }

    /// Reads one object past stale reads.
    pub(crate) fn get_current(&self, kind: ObjectKind, name: &str) -> Option<&ObjectEntry> {
        self.objects.get(&kind)?.get(name)
    }

    /// Reads every object of a kind, with the latest version.
    pub(crate) fn list(
        &self,
        kind: ObjectKind,
    ) -> (ObjectVersion, impl Iterator<Item = (&str, &ObjectEntry)>) {
        let (objects, version) = self.readable();
        let items = objects.get(&kind).into_iter().flatten();
        (version, items.map(|(name, entry)| (name.as_str(), entry)))
    }

    /// Writes one object.
    pub(crate) fn put(
        &mut self,
        kind: ObjectKind,
        name: &str,
        condition: WriteCondition,
        value: Bytes,
    ) -> Result<ObjectVersion, ConditionFailed> {
        let current = self.get_current(kind, name).map(|entry| entry.version);
        let holds = match condition {
            WriteCondition::Absent => current.is_none(),
            WriteCondition::At(version) => current == Some(version),
        };
        if !holds {
            return Err(ConditionFailed);
        }
        let version = self.log_change(kind, name, Some(value.clone()));
        let entry = ObjectEntry { version, value };
        self.objects.entry(kind).or_default().insert(name.to_owned(), entry);
        Ok(version)
    }

    /// Deletes one object.
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
        self.log_change(kind, name, None);
        Ok(())
    }

    /// Changes of a kind after a version, as far as reads may see them.
    pub(crate) fn changes(
        &self,
        kind: ObjectKind,
        after: ObjectVersion,
    ) -> Result<Vec<Change>, VersionGone> {
        if after < self.trimmed {
            return Err(VersionGone);
        }
        let (_, visible) = self.readable();
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

    fn log_change(&mut self, kind: ObjectKind, name: &str, value: Option<Bytes>) -> ObjectVersion {
        self.latest = ObjectVersion(self.latest.0 + 1);
        self.log_bytes += value.as_ref().map_or(0, Bytes::len);
        let version = self.latest;
        self.log.push_back(Change { kind, name: name.to_owned(), version, value });
        while self.log.len() > self.log_length || self.log_bytes > MAX_LOG_BYTES {
            let Some(oldest) = self.log.pop_front() else { break };
            self.log_bytes -= oldest.value.as_ref().map_or(0, Bytes::len);
            self.trimmed = oldest.version;
        }
        version
    }
}
