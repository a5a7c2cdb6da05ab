//! Checked settings, configuration documents, index manifests and patches.
//!
//! Raw input (JSON with comments) is parsed into plain serde types and then
//! turned into checked types with `TryFrom`. Everything past this crate works
//! on the checked types only.

mod document;
mod jsonc;
mod manifest;
mod names;
mod record;
mod settings;

pub use document::{
    ConfigVersion, Document, DocumentError, HedgeDocument, IndexDocument, IndexEntry, IndexKey,
    RepeatPolicy, ServerDocument, ServerEntry, ServerKey, ServerState, ServiceDocument,
    ServiceEntry, ServiceKey, Topology, ZoneKey,
};
pub use jsonc::{JsoncError, parse_jsonc};
pub use manifest::{
    IndexManifest, ManifestDocument, ManifestError, ShardEntry, SnapshotDocument, SnapshotMap,
};
pub use names::{
    IndexName, NameError, NodeName, RegionName, ServerName, ServiceName, ShardName, ZoneName,
};
pub use record::ConfigRecord;
pub use settings::{
    GossipSettings, LeaseSettings, LimitSettings, LogLevel, Settings, SettingsDocument,
    SettingsError, SettingsFault, StopSettings,
};
