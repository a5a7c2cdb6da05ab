//! The stored form of a configuration.

use serde::{Deserialize, Serialize};

use crate::document::{ConfigVersion, Document};

/// A configuration as the platform stores it: the value of the object
/// `config/current` and of each `history/{version}`.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ConfigRecord {
    /// Number of the configuration.
    pub version: ConfigVersion,
    /// Identifier of the patch that made it.
    pub patch_id: String,
    /// Who submitted the patch.
    pub author: String,
    /// When it was submitted, in UTC with whole seconds (RFC 3339).
    pub time: String,
    /// The configuration itself.
    pub document: Document,
}
