//! Index manifests: which service holds which shard in which snapshot.

use std::{fmt, sync::Arc};

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

use crate::{
    names::{IndexName, ShardName},
    topology::{ConfigTopology, ServiceKey},
};

/// The manifest of one index as its publisher writes it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ManifestDocument {
    /// Name of the index.
    pub index: IndexName,
    /// Published snapshots that servers still hold, newest last.
    pub snapshots: Vec<SnapshotDocument>,
}

/// One snapshot: its number and the service of each shard.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct SnapshotDocument {
    /// Snapshot number; grows with each publication.
    pub number: u64,
    /// Service name by shard name.
    pub shards: IndexMap<ShardName, String>,
}

/// One checked shard: its name and the service that holds it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ShardEntry {
    /// Name of the shard.
    pub name: ShardName,
    /// The service that holds it.
    pub service: ServiceKey,
}

/// One checked snapshot of an index.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SnapshotMap {
    /// Snapshot number.
    pub number: u64,
    /// Its shards in manifest order.
    pub shards: Vec<ShardEntry>,
}

/// The checked manifest of one index; keys belong to one topology.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct IndexManifest {
    /// Name of the index.
    pub index: IndexName,
    /// Snapshots, newest last, never empty.
    pub snapshots: Vec<Arc<SnapshotMap>>,
}

/// A manifest that does not fit the configuration.
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
                    "snapshot {} of index {} is not newer than the one before it",
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
                "shard {name} of index {index} names service {service:?}, which configuration {} lacks",
                topology.version()
            );
            return Err(ManifestError { message });
        };
        shards.push(ShardEntry { name: name.clone(), service: key });
    }
    Ok(SnapshotMap { number: snapshot.number, shards })
}

impl IndexManifest {
    /// Checks a manifest and leaves out the snapshots that name services which
    /// the configuration lacks.
    ///
    /// A manifest and the configuration that it needs are spread apart from
    /// each other, so that either may come first; the snapshots that both know
    /// stay usable meanwhile.
    ///
    /// # Errors
    ///
    /// Fails when no snapshot fits or their numbers do not grow.
    pub fn fitting(
        topology: &ConfigTopology,
        document: &ManifestDocument,
    ) -> Result<Self, ManifestError> {
        let mut fitting = ManifestDocument { index: document.index.clone(), snapshots: Vec::new() };
        let mut last_error = None;
        for snapshot in &document.snapshots {
            match check_snapshot(topology, &document.index, snapshot) {
                Ok(_) => fitting.snapshots.push(snapshot.clone()),
                Err(error) => last_error = Some(error),
            }
        }
        match last_error {
            Some(error) if fitting.snapshots.is_empty() => Err(error),
            _ => Self::try_from((topology, &fitting)),
        }
    }

    /// The newest snapshot.
    #[must_use]
    pub fn newest(&self) -> &Arc<SnapshotMap> {
        &self.snapshots[self.snapshots.len() - 1]
    }
}
