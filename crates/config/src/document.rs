//! The numbered configuration document and its checked form, the topology.

use std::{fmt, net::SocketAddr, time::Duration};

use indexmap::{IndexMap, IndexSet};
use serde::{Deserialize, Serialize};
use strum::{Display, EnumString};

use crate::names::{IndexName, ServerName, ServiceName, ZoneName};

/// Number of an accepted configuration; each accepted patch adds one.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct ConfigVersion(pub u64);

impl fmt::Display for ConfigVersion {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

/// The configuration document as operators write it.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Document {
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

macro_rules! arena_key {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(
            Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
        )]
        pub struct $name(pub u16);

        impl $name {
            /// Position in the topology's arena.
            #[must_use]
            pub const fn index(self) -> usize {
                self.0 as usize
            }
        }
    };
}

arena_key! {
    /// Key of a service within one topology.
    ServiceKey
}
arena_key! {
    /// Key of a backend server within one topology.
    ServerKey
}
arena_key! {
    /// Key of an availability zone within one topology.
    ZoneKey
}
arena_key! {
    /// Key of a search index within one topology.
    IndexKey
}

/// One checked service.
#[derive(Clone, Debug, PartialEq)]
pub struct ServiceEntry {
    /// Name of the service.
    pub name: ServiceName,
    /// Whether its requests may be sent more than once.
    pub repeat: RepeatPolicy,
    /// Longest time a request may take.
    pub deadline: Duration,
    /// Hedged requests allowed per first request, as a fraction.
    pub hedge_ratio: f64,
    /// Retries allowed per first request, as a fraction.
    pub retry_ratio: f64,
    /// Its backend servers.
    pub servers: Vec<ServerKey>,
}

/// One checked backend server.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServerEntry {
    /// Name of the server.
    pub name: ServerName,
    /// The service it belongs to.
    pub service: ServiceKey,
    /// Its availability zone.
    pub zone: ZoneKey,
    /// Its address.
    pub address: SocketAddr,
    /// Lent slots.
    pub slots: u16,
    /// Lent connections.
    pub connections: u16,
    /// Whether it takes new requests.
    pub state: ServerState,
}

/// One checked search index.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct IndexEntry {
    /// Name of the index.
    pub name: IndexName,
    /// Longest time a search may take.
    pub deadline: Duration,
}

/// The checked form of a document: arenas addressed by small keys.
///
/// Keys belong to one topology and must not be used with another.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Topology {
    version: ConfigVersion,
    zones: IndexSet<ZoneName>,
    services: IndexMap<ServiceName, ServiceEntry>,
    servers: IndexMap<ServerName, ServerEntry>,
    indexes: IndexMap<IndexName, IndexEntry>,
}

/// Everything that is wrong with a document, one entry per fault.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DocumentError {
    faults: Vec<DocumentFault>,
}

/// One fault with the path inside the document.
#[derive(Clone, Debug, PartialEq, Eq)]
struct DocumentFault {
    path: String,
    message: String,
}

impl DocumentError {
    /// The faults as `path: message` lines.
    pub fn lines(&self) -> impl Iterator<Item = String> + '_ {
        self.faults.iter().map(|fault| format!("{}: {}", fault.path, fault.message))
    }
}

impl fmt::Display for DocumentError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (position, line) in self.lines().enumerate() {
            if position > 0 {
                f.write_str("; ")?;
            }
            f.write_str(&line)?;
        }
        Ok(())
    }
}

impl std::error::Error for DocumentError {}

impl Topology {
    /// Version of the document it was built from.
    #[must_use]
    pub const fn version(&self) -> ConfigVersion {
        self.version
    }

    /// Services with their keys.
    pub fn services(&self) -> impl Iterator<Item = (ServiceKey, &ServiceEntry)> {
        (0u16..).map(ServiceKey).zip(self.services.values())
    }

    /// Backend servers with their keys.
    pub fn servers(&self) -> impl Iterator<Item = (ServerKey, &ServerEntry)> {
        (0u16..).map(ServerKey).zip(self.servers.values())
    }

    /// Search indexes with their keys.
    pub fn indexes(&self) -> impl Iterator<Item = (IndexKey, &IndexEntry)> {
        (0u16..).map(IndexKey).zip(self.indexes.values())
    }

    /// The service behind a key of this topology.
    #[must_use]
    pub fn service(&self, key: ServiceKey) -> &ServiceEntry {
        &self.services[key.index()]
    }

    /// The backend server behind a key of this topology.
    #[must_use]
    pub fn server(&self, key: ServerKey) -> &ServerEntry {
        &self.servers[key.index()]
    }

    /// The search index behind a key of this topology.
    #[must_use]
    pub fn search_index(&self, key: IndexKey) -> &IndexEntry {
        &self.indexes[key.index()]
    }

    /// The availability zone behind a key of this topology.
    #[must_use]
    pub fn zone(&self, key: ZoneKey) -> &ZoneName {
        &self.zones[key.index()]
    }

    /// Finds a service by name.
    #[must_use]
    pub fn find_service(&self, name: &str) -> Option<ServiceKey> {
        self.services.get_index_of(name).and_then(|at| u16::try_from(at).ok()).map(ServiceKey)
    }

    /// Finds a backend server by name.
    #[must_use]
    pub fn find_server(&self, name: &str) -> Option<ServerKey> {
        self.servers.get_index_of(name).and_then(|at| u16::try_from(at).ok()).map(ServerKey)
    }

    /// Finds a search index by name.
    #[must_use]
    pub fn find_index(&self, name: &str) -> Option<IndexKey> {
        self.indexes.get_index_of(name).and_then(|at| u16::try_from(at).ok()).map(IndexKey)
    }

    /// Finds an availability zone by name.
    #[must_use]
    pub fn find_zone(&self, name: &str) -> Option<ZoneKey> {
        self.zones.get_index_of(name).and_then(|at| u16::try_from(at).ok()).map(ZoneKey)
    }
}

impl TryFrom<(ConfigVersion, &Document)> for Topology {
    type Error = DocumentError;

    /// Checks the whole document and reports every fault at once.
    fn try_from((version, document): (ConfigVersion, &Document)) -> Result<Self, DocumentError> {
        let mut topology = Self { version, ..Self::default() };
        let mut faults = Vec::new();
        for (name, service) in &document.services {
            topology.add_service(name, service, &mut faults);
        }
        for (name, index) in &document.indexes {
            topology.add_index(name, *index, &mut faults);
        }
        if faults.is_empty() { Ok(topology) } else { Err(DocumentError { faults }) }
    }
}

impl Topology {
    fn add_service(
        &mut self,
        name: &str,
        service: &ServiceDocument,
        faults: &mut Vec<DocumentFault>,
    ) {
        let path = format!("/services/{name}");
        let Some(checked) = note(ServiceName::try_from(name), &path, faults) else { return };
        let Ok(position) = u16::try_from(self.services.len()) else { return };
        let key = ServiceKey(position);
        let mut servers = Vec::new();
        for (server_name, server) in &service.servers {
            let server_path = format!("{path}/servers/{server_name}");
            if let Some(server) = self.add_server(key, server_name, server, &server_path, faults) {
                servers.push(server);
            }
        }
        check_range(service.deadline_ms, 1..=60_000, &format!("{path}/deadline_ms"), faults);
        check_percent(service.hedge.hedge_percent, &format!("{path}/hedge/hedge_percent"), faults);
        check_percent(service.hedge.retry_percent, &format!("{path}/hedge/retry_percent"), faults);
        let entry = ServiceEntry {
            name: checked.clone(),
            repeat: service.repeat,
            deadline: Duration::from_millis(service.deadline_ms),
            hedge_ratio: service.hedge.hedge_percent / 100.0,
            retry_ratio: service.hedge.retry_percent / 100.0,
            servers,
        };
        self.services.insert(checked, entry);
    }

    fn add_server(
        &mut self,
        service: ServiceKey,
        name: &str,
        server: &ServerDocument,
        path: &str,
        faults: &mut Vec<DocumentFault>,
    ) -> Option<ServerKey> {
        let checked = note(ServerName::try_from(name), path, faults)?;
        let zone_path = format!("{path}/zone");
        let zone = note(ZoneName::try_from(server.zone.as_str()), &zone_path, faults)?;
        let address_path = format!("{path}/address");
        let address = note(server.address.parse::<SocketAddr>(), &address_path, faults)?;
        check_range(u64::from(server.slots), 1..=1024, &format!("{path}/slots"), faults);
        let connections_path = format!("{path}/connections");
        let least = u64::from(server.slots);
        check_range(u64::from(server.connections), least..=4096, &connections_path, faults);
        if self.servers.contains_key(&checked) {
            faults.push(DocumentFault::new(path, format!("server {name:?} is declared twice")));
            return None;
        }
        if self.servers.values().any(|other| other.address == address) {
            faults.push(DocumentFault::new(
                &address_path,
                format!("address {address} belongs to two servers"),
            ));
        }
        let (zone_position, _) = self.zones.insert_full(zone);
        let position = u16::try_from(self.servers.len()).ok()?;
        let entry = ServerEntry {
            name: checked.clone(),
            service,
            zone: ZoneKey(u16::try_from(zone_position).ok()?),
            address,
            slots: server.slots,
            connections: server.connections,
            state: server.state,
        };
        self.servers.insert(checked, entry);
        Some(ServerKey(position))
    }

    fn add_index(&mut self, name: &str, index: IndexDocument, faults: &mut Vec<DocumentFault>) {
        let path = format!("/indexes/{name}");
        let Some(checked) = note(IndexName::try_from(name), &path, faults) else { return };
        check_range(index.deadline_ms, 1..=60_000, &format!("{path}/deadline_ms"), faults);
        let deadline = Duration::from_millis(index.deadline_ms);
        self.indexes.insert(checked.clone(), IndexEntry { name: checked, deadline });
    }
}

impl DocumentFault {
    fn new(path: &str, message: String) -> Self {
        Self { path: path.to_owned(), message }
    }
}

fn note<T, E: fmt::Display>(
    result: Result<T, E>,
    path: &str,
    faults: &mut Vec<DocumentFault>,
) -> Option<T> {
    match result {
        Ok(value) => Some(value),
        Err(error) => {
            faults.push(DocumentFault::new(path, error.to_string()));
            None
        }
    }
}

fn check_range(
    value: u64,
    range: std::ops::RangeInclusive<u64>,
    path: &str,
    faults: &mut Vec<DocumentFault>,
) {
    if range.contains(&value) {
        return;
    }
    let message = format!("{value} is outside {} to {}", range.start(), range.end());
    faults.push(DocumentFault::new(path, message));
}

fn check_percent(value: f64, path: &str, faults: &mut Vec<DocumentFault>) {
    if (0.0..=100.0).contains(&value) {
        return;
    }
    faults.push(DocumentFault::new(path, format!("{value} is not a percentage")));
}
