//! The configuration and the manifests in force.

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

/// A configuration or manifest that could not be used.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DocumentError {
    object: String,
    message: String,
}

impl DocumentError {
    fn new(object: impl Into<String>, error: &impl fmt::Display) -> Self {
        Self { object: object.into(), message: error.to_string() }
    }

    /// Kind and name of the object.
    #[must_use]
    pub fn object(&self) -> &str {
        &self.object
    }

    /// What is wrong with it.
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

/// A configuration that is in force.
#[derive(Clone, Debug)]
pub struct ConfigEntry {
    /// Its checked form.
    pub topology: Arc<ConfigTopology>,
    /// Its JSON text.
    pub document: Arc<str>,
}

#[derive(Clone, Debug)]
struct ManifestEntry {
    snapshot: u64,
    document: Arc<ManifestDocument>,
}

/// Keeps the highest version of everything that was ever offered.
///
/// Lower versions are ignored wherever they come from, so a configuration in
/// force never reverts.
#[derive(Clone, Debug, Default)]
pub struct DocumentTable {
    config: Option<ConfigEntry>,
    packed: Vec<u8>,
    manifests: IndexMap<IndexName, ManifestEntry>,
}

impl DocumentTable {
    /// Version in force, zero before the first.
    #[must_use]
    pub fn version(&self) -> ConfigVersion {
        self.config.as_ref().map_or(ConfigVersion(0), |entry| entry.topology.version())
    }

    /// The configuration in force.
    #[must_use]
    pub const fn config(&self) -> Option<&ConfigEntry> {
        self.config.as_ref()
    }

    /// Takes in the value of `config/current`; returns the entry when it is newer.
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
        self.adopt(record.version, text, packed)
    }

    /// Takes in a peer's copy; returns the entry when it is newer.
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
        self.adopt(copy.version, text, copy.packed)
    }

    fn adopt(
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

    /// Takes in the value of a manifest; returns it when it is newer.
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

    /// Newest snapshot of each index.
    #[must_use]
    pub fn snapshots(&self) -> Vec<(IndexName, u64)> {
        let entries = self.manifests.iter();
        entries.map(|(index, entry)| (index.clone(), entry.snapshot)).collect()
    }

    /// The manifests in force.
    pub fn manifests(&self) -> impl Iterator<Item = &Arc<ManifestDocument>> {
        self.manifests.values().map(|entry| &entry.document)
    }

    /// Whether a peer with these versions has something newer.
    #[must_use]
    pub fn is_behind(&self, config: ConfigVersion, snapshots: &[(IndexName, u64)]) -> bool {
        let newer = |(index, snapshot): &(IndexName, u64)| {
            self.manifests.get(index).is_none_or(|entry| entry.snapshot < *snapshot)
        };
        config > self.version() || snapshots.iter().any(newer)
    }

    /// The configuration for a peer that has `version`.
    #[must_use]
    pub fn config_after(&self, version: ConfigVersion) -> Option<ConfigCopy> {
        let newer = self.version() > version;
        newer.then(|| ConfigCopy { version: self.version(), packed: self.packed.clone() })
    }

    /// The manifests for a peer that has these snapshots.
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
