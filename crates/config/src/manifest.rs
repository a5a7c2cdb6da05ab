//! Index manifests, which map each shard of an index snapshot to the service
//! that serves it.

use std::{fmt, sync::Arc};

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

use crate::{
    names::{IndexName, ShardName},
    topology::{ConfigTopology, ServiceKey},
};

/// The manifest of one index as published, before it is validated.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ManifestDocument {
    /// Name of the index.
    pub index: IndexName,
    /// Published snapshots that backend servers still serve, oldest first.
    pub snapshots: Vec<SnapshotDocument>,
}

/// One snapshot of an index in a [`ManifestDocument`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct SnapshotDocument {
    /// Snapshot number, which increases with each publication.
    pub number: u64,
    /// Maps the name of each shard to the name of the service that serves it.
    pub shards: IndexMap<ShardName, String>,
}

/// One validated shard of a snapshot.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ShardEntry {
    /// Name of the shard.
    pub name: ShardName,
    /// The service that serves the shard.
    pub service: ServiceKey,
}

/// One validated snapshot of an index.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SnapshotMap {
    /// Snapshot number.
    pub number: u64,
    /// Shards in the order of the manifest.
    pub shards: Vec<ShardEntry>,
}

/// The validated manifest of one index.
///
/// Its service keys are valid only for the topology that it was validated against.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct IndexManifest {
    /// Name of the index.
    pub index: IndexName,
    /// Snapshots, oldest first; never empty.
    pub snapshots: Vec<Arc<SnapshotMap>>,
}

/// A manifest that is malformed or names services missing from the configuration.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ManifestError {
    message: String,
}

impl fmt::Display for ManifestError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.message)
    }
}

impl std::error::Error for ManifestError {}

impl TryFrom<(&ConfigTopology, &ManifestDocument)> for IndexManifest {
    type Error = ManifestError;

    fn try_from(
        (topology, document): (&ConfigTopology, &ManifestDocument),
    ) -> Result<Self, ManifestError> {
        let mut snapshots: Vec<Arc<SnapshotMap>> = Vec::new();
        for snapshot in &document.snapshots {
            if snapshots.last().is_some_and(|last| last.number >= snapshot.number) {
                let message = format!(
                    "snapshot {} of index {} does not have a higher number than the snapshot listed before it",
                    snapshot.number, document.index
                );
                return Err(ManifestError { message });
            }
            snapshots.push(Arc::new(check_snapshot(topology, &document.index, snapshot)?));
        }
        if snapshots.is_empty() {
            let message = format!("manifest of index {} lists no snapshot", document.index);
            return Err(ManifestError { message });
        }
        Ok(Self { index: document.index.clone(), snapshots })
    }
}

fn check_snapshot(
    topology: &ConfigTopology,
    index: &IndexName,
    snapshot: &SnapshotDocument,
) -> Result<SnapshotMap, ManifestError> {
    let mut shards = Vec::with_capacity(snapshot.shards.len());
    for (name, service) in &snapshot.shards {
        let Some(key) = topology.find_service(service) else {
            let message = format!(
                "shard {name} of index {index} names service {service:?}, which does not exist in configuration {}",
                topology.version()
            );
            return Err(ManifestError { message });
        };
        shards.push(ShardEntry { name: name.clone(), service: key });
    }
    Ok(SnapshotMap { number: snapshot.number, shards })
}

impl IndexManifest {
    /// Validates a manifest, skipping snapshots that name services missing from
    /// the configuration.
    ///
    /// Manifests and configurations are distributed independently, so either
    /// may arrive first. Until both have arrived, the snapshots whose services
    /// all exist in the configuration remain usable.
    ///
    /// # Errors
    ///
    /// Fails if no usable snapshot is left or the snapshot numbers do not
    /// increase.
    pub fn skipping_unknown_services(
        topology: &ConfigTopology,
        document: &ManifestDocument,
    ) -> Result<Self, ManifestError> {
        let mut usable = ManifestDocument { index: document.index.clone(), snapshots: Vec::new() };
        let mut last_error = None;
        for snapshot in &document.snapshots {
            match check_snapshot(topology, &document.index, snapshot) {
                Ok(_) => usable.snapshots.push(snapshot.clone()),
                Err(error) => last_error = Some(error),
            }
        }
        match last_error {
            Some(error) if usable.snapshots.is_empty() => Err(error),
            _ => Self::try_from((topology, &usable)),
        }
    }

    /// Returns the newest snapshot.
    #[must_use]
    pub fn newest(&self) -> &Arc<SnapshotMap> {
        &self.snapshots[self.snapshots.len() - 1]
    }
}
