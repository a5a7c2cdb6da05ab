//! The numbered configuration document as operators write it.

mod reader;

pub use reader::DocumentTextError;

use std::fmt;

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};
use strum::{Display, EnumString};

/// Number of an accepted configuration; each accepted patch adds one.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct ConfigVersion(pub u64);

impl ConfigVersion {
    /// The version that the next accepted patch makes.
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

/// The configuration document as operators write it.
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

/// One service of the document.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ServiceDocument {
    /// Whether a request may be sent more than once.
    #[serde(default)]
    pub repeat: RepeatPolicy,
    /// Longest time a request to this service may take, in milliseconds.
    pub deadline_ms: u64,
    /// Budgets for hedged requests and retries.
    #[serde(default)]
    pub hedge: HedgeDocument,
    /// Backend servers by name.
    pub servers: IndexMap<String, ServerDocument>,
}

/// Budgets for extra load, set by the owner of the backend servers.
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

/// One backend server of the document, and what its owner lends of it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ServerDocument {
    /// Availability zone of the server.
    pub zone: String,
    /// Address in the form `ip:port`.
    pub address: String,
    /// Lent slots: requests that may run at the same time.
    pub slots: u16,
    /// Lent connections: connections that may be open at the same time.
    pub connections: u16,
    /// Whether the server takes new requests.
    #[serde(default)]
    pub state: ServerState,
}

/// One search index of the document.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct IndexDocument {
    /// Longest time a search of this index may take, in milliseconds.
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
    /// A request runs at most once, under the caller's idempotency key.
    AtMostOnce,
}

/// Whether a backend server takes new requests, as its owner declares it.
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
    /// Takes new requests.
    #[default]
    Active,
    /// Finishes what runs and takes nothing new.
    Draining,
}
