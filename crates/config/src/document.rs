//! The configuration document as operators write it.

mod reader;

pub use reader::DocumentTextError;

use std::fmt;

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};
use strum::{Display, EnumString};

/// Version number of a configuration, incremented by each accepted patch.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct ConfigVersion(pub u64);

impl ConfigVersion {
    /// Returns the version that the next accepted patch creates.
    #[must_use]
    pub const fn next(self) -> Self {
        Self(self.0.saturating_add(1))
    }
}

impl fmt::Display for ConfigVersion {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

/// The configuration document as operators write it, before it is validated.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ConfigDocument {
    /// Services by name.
    #[serde(default)]
    pub services: IndexMap<String, ServiceDocument>,
    /// Search indexes by name.
    #[serde(default)]
    pub indexes: IndexMap<String, IndexDocument>,
}

/// One service in a [`ConfigDocument`].
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ServiceDocument {
    /// Whether a request may be sent more than once.
    #[serde(default)]
    pub repeat: RepeatPolicy,
    /// Maximum duration of a request to this service, in milliseconds.
    pub deadline_ms: u64,
    /// Budgets for hedged requests and retries, as percentages.
    #[serde(default)]
    pub hedge: HedgeDocument,
    /// Backend servers by name.
    pub servers: IndexMap<String, ServerDocument>,
}

/// Budgets for the extra load of hedged requests and retries, set by the owner
/// of the backend servers.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct HedgeDocument {
    /// Hedged requests allowed per hundred first requests.
    pub hedge_percent: f64,
    /// Retries allowed per hundred first requests.
    pub retry_percent: f64,
}

impl Default for HedgeDocument {
    fn default() -> Self {
        Self { hedge_percent: 2.0, retry_percent: 10.0 }
    }
}

/// One backend server in a [`ServiceDocument`], with the limits that its owner
/// sets on its use.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ServerDocument {
    /// Availability zone of the server.
    pub zone: String,
    /// Address in the form `ip:port`.
    pub address: String,
    /// Maximum number of requests that may run on the server at the same time.
    pub slots: u16,
    /// Maximum number of connections that may be open at the same time.
    pub connections: u16,
    /// Whether the server accepts new requests.
    #[serde(default)]
    pub state: ServerState,
}

/// One search index in a [`ConfigDocument`].
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct IndexDocument {
    /// Maximum duration of a search in this index, in milliseconds.
    pub deadline_ms: u64,
}

/// Whether requests of a service may be sent more than once.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Serialize,
    Deserialize,
    Display,
    EnumString,
)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum RepeatPolicy {
    /// A request may be retried and hedged.
    #[default]
    Idempotent,
    /// A request is executed at most once, identified by the caller's
    /// idempotency key.
    AtMostOnce,
}

/// Whether a backend server accepts new requests, as declared by its owner.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Serialize,
    Deserialize,
    Display,
    EnumString,
)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum ServerState {
    /// Accepts new requests.
    #[default]
    Active,
    /// Completes running requests and accepts no new ones.
    Draining,
}
