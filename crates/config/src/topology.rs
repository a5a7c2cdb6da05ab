//! The validated form of a configuration document, indexed by small integer keys.

use std::{net::SocketAddr, ops::RangeInclusive, time::Duration};

use indexmap::{IndexMap, IndexSet};
use serde::{Deserialize, Serialize};

use crate::{
    document::{
        ConfigDocument, ConfigVersion, IndexDocument, RepeatPolicy, ServerDocument, ServerState,
        ServiceDocument,
    },
    fault::{DocumentError, FaultList, child_path},
    names::{IndexName, ServerName, ServiceName, ZoneName},
};

/// Maximum deadline of a service or an index, in milliseconds.
const MAX_DEADLINE_MS: u64 = 60_000;

/// Maximum slot limit of one backend server.
const MAX_SLOTS: u64 = 1_024;

/// Maximum connection limit of one backend server.
const MAX_CONNECTIONS: u64 = 4_096;

/// Maximum number of services, of servers and of indexes, so that keys fit into
/// 16 bits.
const MAX_ENTRIES: usize = 65_536;

macro_rules! arena_key {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(
            Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
        )]
        pub struct $name(pub u16);

        impl $name {
            /// Returns the index into the topology's arena.
            #[must_use]
            pub const fn index(self) -> usize {
                self.0 as usize
            }
        }
    };
}

arena_key! {
    /// Key of a service, valid within one topology.
    ServiceKey
}
arena_key! {
    /// Key of a backend server, valid within one topology.
    ServerKey
}
arena_key! {
    /// Key of an availability zone, valid within one topology.
    ZoneKey
}
arena_key! {
    /// Key of a search index, valid within one topology.
    IndexKey
}

/// One validated service.
#[derive(Clone, Debug, PartialEq)]
pub struct ServiceEntry {
    /// Name of the service.
    pub name: ServiceName,
    /// Whether a request may be sent more than once.
    pub repeat: RepeatPolicy,
    /// Maximum duration of a request.
    pub deadline: Duration,
    /// Hedged requests allowed per first request, as a fraction of 1.
    pub hedge_ratio: f64,
    /// Retries allowed per first request, as a fraction of 1.
    pub retry_ratio: f64,
    /// Backend servers of the service.
    pub servers: Vec<ServerKey>,
}

/// One validated backend server.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServerEntry {
    /// Name of the server.
    pub name: ServerName,
    /// The service that the server belongs to.
    pub service: ServiceKey,
    /// Availability zone of the server.
    pub zone: ZoneKey,
    /// Address that the server listens on.
    pub address: SocketAddr,
    /// Maximum number of requests that may run at the same time.
    pub slots: u16,
    /// Maximum number of connections that may be open at the same time.
    pub connections: u16,
    /// Whether the server accepts new requests.
    pub state: ServerState,
}

/// One validated search index.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct IndexEntry {
    /// Name of the index.
    pub name: IndexName,
    /// Maximum duration of a search.
    pub deadline: Duration,
}

/// The validated form of a [`ConfigDocument`]: arenas indexed by small keys.
///
/// Keys are valid only for the topology that returned them.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ConfigTopology {
    version: ConfigVersion,
    zones: IndexSet<ZoneName>,
    services: IndexMap<ServiceName, ServiceEntry>,
    servers: IndexMap<ServerName, ServerEntry>,
    indexes: IndexMap<IndexName, IndexEntry>,
}

impl ConfigTopology {
    /// Returns the version of the document that the topology was built from.
    #[must_use]
    pub const fn version(&self) -> ConfigVersion {
        self.version
    }

    /// Iterates over the services with their keys.
    pub fn services(&self) -> impl Iterator<Item = (ServiceKey, &ServiceEntry)> {
        (0u16..).map(ServiceKey).zip(self.services.values())
    }

    /// Iterates over the backend servers with their keys.
    pub fn servers(&self) -> impl Iterator<Item = (ServerKey, &ServerEntry)> {
        (0u16..).map(ServerKey).zip(self.servers.values())
    }

    /// Iterates over the search indexes with their keys.
    pub fn indexes(&self) -> impl Iterator<Item = (IndexKey, &IndexEntry)> {
        (0u16..).map(IndexKey).zip(self.indexes.values())
    }

    /// Returns the service with the given key.
    ///
    /// # Panics
    ///
    /// May panic if the key belongs to another topology.
    #[must_use]
    pub fn service(&self, key: ServiceKey) -> &ServiceEntry {
        &self.services[key.index()]
    }

    /// Returns the backend server with the given key.
    ///
    /// # Panics
    ///
    /// May panic if the key belongs to another topology.
    #[must_use]
    pub fn server(&self, key: ServerKey) -> &ServerEntry {
        &self.servers[key.index()]
    }

    /// Returns the search index with the given key.
    ///
    /// # Panics
    ///
    /// May panic if the key belongs to another topology.
    #[must_use]
    pub fn index_entry(&self, key: IndexKey) -> &IndexEntry {
        &self.indexes[key.index()]
    }

    /// Returns the availability zone with the given key.
    ///
    /// # Panics
    ///
    /// May panic if the key belongs to another topology.
    #[must_use]
    pub fn zone(&self, key: ZoneKey) -> &ZoneName {
        &self.zones[key.index()]
    }

    /// Finds a service by name.
    #[must_use]
    pub fn find_service(&self, name: &str) -> Option<ServiceKey> {
        self.services
            .get_index_of(name)
            .and_then(|position| u16::try_from(position).ok())
            .map(ServiceKey)
    }

    /// Finds a backend server by name.
    #[must_use]
    pub fn find_server(&self, name: &str) -> Option<ServerKey> {
        self.servers
            .get_index_of(name)
            .and_then(|position| u16::try_from(position).ok())
            .map(ServerKey)
    }

    /// Finds a search index by name.
    #[must_use]
    pub fn find_index(&self, name: &str) -> Option<IndexKey> {
        self.indexes
            .get_index_of(name)
            .and_then(|position| u16::try_from(position).ok())
            .map(IndexKey)
    }

    /// Finds an availability zone by name.
    #[must_use]
    pub fn find_zone(&self, name: &str) -> Option<ZoneKey> {
        self.zones.get_index_of(name).and_then(|position| u16::try_from(position).ok()).map(ZoneKey)
    }
}

impl TryFrom<(ConfigVersion, &ConfigDocument)> for ConfigTopology {
    type Error = DocumentError;

    /// Validates the whole document and returns all errors together.
    fn try_from(
        (version, document): (ConfigVersion, &ConfigDocument),
    ) -> Result<Self, DocumentError> {
        let mut builder = TopologyBuilder {
            topology: Self { version, ..Self::default() },
            servers_by_address: IndexMap::new(),
            faults: FaultList::default(),
        };
        for (name, service) in &document.services {
            builder.add_service(name, service);
        }
        for (name, index) in &document.indexes {
            builder.add_index(name, *index);
        }
        builder.check_counts();
        builder.faults.finish(builder.topology)
    }
}

/// Builds a topology from a document and collects the errors found on the way.
struct TopologyBuilder<'a> {
    topology: ConfigTopology,
    /// Maps each address to the name of the server that uses it.
    servers_by_address: IndexMap<SocketAddr, &'a str>,
    faults: FaultList,
}

impl<'a> TopologyBuilder<'a> {
    fn add_service(&mut self, name: &str, service: &'a ServiceDocument) {
        let path = child_path("/services", name);
        let checked_name = self.faults.ok_or_record(&path, ServiceName::try_from(name));
        let key = ServiceKey(arena_position(self.topology.services.len()));
        let servers_path = child_path(&path, "servers");
        if service.servers.is_empty() {
            self.faults.push(&servers_path, "lists no server");
        }
        let mut servers = Vec::with_capacity(service.servers.len());
        for (server_name, server) in &service.servers {
            let server_path = child_path(&servers_path, server_name);
            servers.extend(self.add_server(key, server_name, server, &server_path));
        }
        self.check_deadline(&path, service.deadline_ms);
        let hedge_path = child_path(&path, "hedge");
        self.check_percent(&child_path(&hedge_path, "hedge_percent"), service.hedge.hedge_percent);
        self.check_percent(&child_path(&hedge_path, "retry_percent"), service.hedge.retry_percent);
        let Some(name) = checked_name else { return };
        let entry = ServiceEntry {
            name: name.clone(),
            repeat: service.repeat,
            deadline: Duration::from_millis(service.deadline_ms),
            hedge_ratio: service.hedge.hedge_percent / 100.0,
            retry_ratio: service.hedge.retry_percent / 100.0,
            servers,
        };
        self.topology.services.insert(name, entry);
    }

    fn add_server(
        &mut self,
        service: ServiceKey,
        name: &'a str,
        server: &'a ServerDocument,
        path: &str,
    ) -> Option<ServerKey> {
        let checked_name = self.faults.ok_or_record(path, ServerName::try_from(name));
        let zone_path = child_path(path, "zone");
        let zone = self.faults.ok_or_record(&zone_path, ZoneName::try_from(server.zone.as_str()));
        let address = self.check_address(name, server, path);
        self.check_range(&child_path(path, "slots"), server.slots.into(), 1..=MAX_SLOTS);
        self.check_range(
            &child_path(path, "connections"),
            server.connections.into(),
            u64::from(server.slots)..=MAX_CONNECTIONS,
        );
        let name = checked_name?;
        if self.topology.servers.contains_key(&name) {
            self.faults.push(path, format!("server {name} is declared twice"));
            return None;
        }
        let (zone_position, _) = self.topology.zones.insert_full(zone?);
        let key = ServerKey(arena_position(self.topology.servers.len()));
        let entry = ServerEntry {
            name: name.clone(),
            service,
            zone: ZoneKey(arena_position(zone_position)),
            address: address?,
            slots: server.slots,
            connections: server.connections,
            state: server.state,
        };
        self.topology.servers.insert(name, entry);
        Some(key)
    }

    fn add_index(&mut self, name: &str, index: IndexDocument) {
        let path = child_path("/indexes", name);
        let checked_name = self.faults.ok_or_record(&path, IndexName::try_from(name));
        self.check_deadline(&path, index.deadline_ms);
        let Some(name) = checked_name else { return };
        let deadline = Duration::from_millis(index.deadline_ms);
        self.topology.indexes.insert(name.clone(), IndexEntry { name, deadline });
    }

    fn check_address(
        &mut self,
        name: &'a str,
        server: &ServerDocument,
        path: &str,
    ) -> Option<SocketAddr> {
        let path = child_path(path, "address");
        let Ok(address) = server.address.parse::<SocketAddr>() else {
            self.faults.push(&path, format!("{:?} is not an ip:port address", server.address));
            return None;
        };
        if address.port() == 0 || address.ip().is_unspecified() {
            self.faults.push(
                &path,
                format!("{address} cannot be connected to: IP or port is unspecified"),
            );
            return None;
        }
        if let Some(other) = self.servers_by_address.insert(address, name) {
            self.faults.push(&path, format!("{address} is already used by server {other}"));
            return None;
        }
        Some(address)
    }

    fn check_deadline(&mut self, path: &str, deadline_ms: u64) {
        self.check_range(&child_path(path, "deadline_ms"), deadline_ms, 1..=MAX_DEADLINE_MS);
    }

    fn check_range(&mut self, path: &str, value: u64, range: RangeInclusive<u64>) {
        if range.contains(&value) {
            return;
        }
        let message = format!("{value} is outside {} to {}", range.start(), range.end());
        self.faults.push(path, message);
    }

    fn check_percent(&mut self, path: &str, value: f64) {
        if (0.0..=100.0).contains(&value) {
            return;
        }
        self.faults.push(path, format!("{value} is not a percentage from 0 to 100"));
    }

    fn check_counts(&mut self) {
        let counts = [
            ("/services", self.topology.services.len()),
            ("/services", self.topology.servers.len()),
            ("/indexes", self.topology.indexes.len()),
        ];
        for (path, count) in counts {
            if count > MAX_ENTRIES {
                self.faults
                    .push(path, format!("{count} entries exceed the limit of {MAX_ENTRIES}"));
            }
        }
    }
}

/// Converts an arena position into the number of a key. A position over 65,535
/// becomes 65,535 here, and `check_counts` rejects the document later.
fn arena_position(position: usize) -> u16 {
    u16::try_from(position).unwrap_or(u16::MAX)
}
