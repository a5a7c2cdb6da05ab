//! The newest configuration and manifests that a node knows.

use std::{fmt, sync::Arc};

use carobstep_config::{
    ConfigDocument, ConfigTopology, ConfigVersion, IndexName, ManifestDocument,
};
use carobstep_wire::{ConfigCopy, ManifestCopy};
use indexmap::IndexMap;

use crate::{
    compression::{compress, decompress},
    record::ConfigRecord,
};

/// Error of a configuration or manifest that is malformed or invalid.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DocumentError {
    object: String,
    message: String,
}

impl DocumentError {
    fn new(object: impl Into<String>, error: &impl fmt::Display) -> Self {
        Self { object: object.into(), message: error.to_string() }
    }

    /// Returns the kind and the name of the object.
    #[must_use]
    pub fn object(&self) -> &str {
        &self.object
    }

    /// Returns the reason why the object cannot be used.
    #[must_use]
    pub fn message(&self) -> &str {
        &self.message
    }
}

impl fmt::Display for DocumentError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.object, self.message)
    }
}

impl std::error::Error for DocumentError {}

/// A validated configuration.
#[derive(Clone, Debug)]
pub struct ConfigEntry {
    /// The validated configuration.
    pub topology: Arc<ConfigTopology>,
    /// The JSON text of the configuration.
    pub document: Arc<str>,
}

#[derive(Clone, Debug)]
struct ManifestEntry {
    snapshot: u64,
    document: Arc<ManifestDocument>,
}

/// Newest version of the configuration and of each manifest.
///
/// Merging ignores lower versions from any source, so that a node never reverts
/// to an older version.
#[derive(Clone, Debug, Default)]
pub struct DocumentTable {
    config: Option<ConfigEntry>,
    packed: Vec<u8>,
    manifests: IndexMap<IndexName, ManifestEntry>,
}

impl DocumentTable {
    /// Returns the version of the current configuration, zero if there is none.
    #[must_use]
    pub fn version(&self) -> ConfigVersion {
        self.config.as_ref().map_or(ConfigVersion(0), |entry| entry.topology.version())
    }

    /// Returns the current configuration.
    #[must_use]
    pub const fn config(&self) -> Option<&ConfigEntry> {
        self.config.as_ref()
    }

    /// Merges the value of `config/current` and returns the new entry if its
    /// version is higher than the current one.
    ///
    /// # Errors
    ///
    /// Fails when a newer value is malformed or describes no valid topology.
    pub fn merge_record(
        &mut self,
        value: &serde_json::Value,
    ) -> Result<Option<&ConfigEntry>, DocumentError> {
        let record: ConfigRecord = serde_json::from_value(value.clone())
            .map_err(|error| DocumentError::new("config/current", &error))?;
        if record.version <= self.version() {
            return Ok(None);
        }
        let text = record.document.to_string();
        let packed = compress(&text);
        self.install(record.version, text, packed)
    }

    /// Merges a peer's copy and returns the new entry if its version is higher than
    /// the current one.
    ///
    /// # Errors
    ///
    /// Fails when a newer copy is malformed or describes no valid topology.
    pub fn merge_copy(&mut self, copy: ConfigCopy) -> Result<Option<&ConfigEntry>, DocumentError> {
        if copy.version <= self.version() {
            return Ok(None);
        }
        let name = format!("config {}", copy.version);
        let text = decompress(&copy.packed).map_err(|error| DocumentError::new(name, &error))?;
        self.install(copy.version, text, copy.packed)
    }

    fn install(
        &mut self,
        version: ConfigVersion,
        text: String,
        packed: Vec<u8>,
    ) -> Result<Option<&ConfigEntry>, DocumentError> {
        let name = format!("config {version}");
        let document: ConfigDocument =
            serde_json::from_str(&text).map_err(|error| DocumentError::new(&name, &error))?;
        let topology = ConfigTopology::try_from((version, &document))
            .map_err(|error| DocumentError::new(&name, &error))?;
        let entry = ConfigEntry { topology: Arc::new(topology), document: text.into() };
        self.packed = packed;
        Ok(Some(self.config.insert(entry)))
    }

    /// Merges the value of a manifest and returns it if its newest snapshot is
    /// higher than the known one.
    ///
    /// # Errors
    ///
    /// Fails when the value is malformed or lists no snapshot.
    pub fn merge_manifest(
        &mut self,
        value: serde_json::Value,
    ) -> Result<Option<Arc<ManifestDocument>>, DocumentError> {
        let document: ManifestDocument = serde_json::from_value(value)
            .map_err(|error| DocumentError::new("manifest", &error))?;
        let name = format!("manifest/{}", document.index);
        let Some(newest) = document.snapshots.last() else {
            return Err(DocumentError::new(name, &"the manifest lists no snapshot"));
        };
        let snapshot = newest.number;
        if self.manifests.get(&document.index).is_some_and(|old| old.snapshot >= snapshot) {
            return Ok(None);
        }
        let document = Arc::new(document);
        let entry = ManifestEntry { snapshot, document: Arc::clone(&document) };
        self.manifests.insert(document.index.clone(), entry);
        Ok(Some(document))
    }

    /// Returns the number of the newest snapshot of each index.
    #[must_use]
    pub fn snapshots(&self) -> Vec<(IndexName, u64)> {
        let entries = self.manifests.iter();
        entries.map(|(index, entry)| (index.clone(), entry.snapshot)).collect()
    }

    /// Returns the newest manifest of each index.
    pub fn manifests(&self) -> impl Iterator<Item = &Arc<ManifestDocument>> {
        self.manifests.values().map(|entry| &entry.document)
    }

    /// Whether a peer with these versions has a newer configuration or manifest.
    #[must_use]
    pub fn is_behind(&self, config: ConfigVersion, snapshots: &[(IndexName, u64)]) -> bool {
        let newer = |(index, snapshot): &(IndexName, u64)| {
            self.manifests.get(index).is_none_or(|entry| entry.snapshot < *snapshot)
        };
        config > self.version() || snapshots.iter().any(newer)
    }

    /// Returns a copy of the configuration for a peer that has `version`, `None` if
    /// the peer's version is not older.
    #[must_use]
    pub fn config_after(&self, version: ConfigVersion) -> Option<ConfigCopy> {
        let newer = self.version() > version;
        newer.then(|| ConfigCopy { version: self.version(), packed: self.packed.clone() })
    }

    /// Returns copies of the manifests that are newer than a peer's `snapshots`.
    #[must_use]
    pub fn manifests_after(&self, snapshots: &[(IndexName, u64)]) -> Vec<ManifestCopy> {
        let mut copies = Vec::new();
        for (index, entry) in &self.manifests {
            let known =
                snapshots.iter().any(|(name, number)| name == index && *number >= entry.snapshot);
            if known {
                continue;
            }
            let Ok(document) = serde_json::to_string(entry.document.as_ref()) else { continue };
            copies.push(ManifestCopy { index: index.clone(), snapshot: entry.snapshot, document });
        }
        copies
    }
}
