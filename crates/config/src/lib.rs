//! Validated settings, configuration documents, index manifests and patches.
//!
//! Raw input (JSON with comments) is parsed into plain serde types and then
//! converted into validated types with `TryFrom`. Other crates work only with
//! the validated types.

mod document;
mod fault;
mod jsonc;
mod manifest;
mod names;
mod patch;
mod record;
mod settings;
mod shorten;
mod topology;

pub use document::{
    ConfigDocument, ConfigVersion, DocumentTextError, HedgeDocument, IndexDocument, RepeatPolicy,
    ServerDocument, ServerState, ServiceDocument,
};
pub use fault::{DocumentError, child_path};
pub use jsonc::{JsoncError, parse_jsonc};
pub use manifest::{
    IndexManifest, ManifestDocument, ManifestError, ShardEntry, SnapshotDocument, SnapshotMap,
};
pub use names::{
    IndexName, NameError, NodeName, RegionName, ServerName, ServiceName, ShardName, ZoneName,
};
pub use patch::{
    AuthorName, ConfigPatch, PatchBody, PatchDocument, PatchError, PatchErrorKind, PatchFormat,
    PatchId, apply_patch,
};
pub use record::{ConfigRecord, UtcTime};
pub use settings::{
    GossipSettings, LeaseSettings, LimitSettings, LogLevel, Settings, SettingsDocument,
    SettingsError, SettingsFault, SplitSettings, StopSettings,
};
pub use topology::{
    ConfigTopology, IndexEntry, IndexKey, ServerEntry, ServerKey, ServiceEntry, ServiceKey, ZoneKey,
};
