//! Names by which nodes tell each other of servers.
//!
//! Nodes name a server by its incarnation, which is unambiguous. Nodes of the version before
//! name it by a hash of its identifier, which several servers may share: such a name stands
//! for none of them.

use std::sync::Arc;

use indexmap::IndexMap;
use xxhash_rust::xxh3::xxh3_64;

use super::{ServerFleet, ServerKey, ServiceKey};
use crate::{model::ServerIncarnation, observations::ServerObservation};

/// Servers by the hash of their identifiers.
#[derive(Clone, Debug, Default)]
pub(super) struct HashedNames {
    keys: IndexMap<u32, Vec<ServerKey>>,
}

impl HashedNames {
    pub(super) fn insert(&mut self, id: &str, key: ServerKey) {
        self.keys.entry(id_hash(id)).or_default().push(key);
    }

    pub(super) fn remove(&mut self, id: &str, key: ServerKey) {
        let hash = id_hash(id);
        let Some(keys) = self.keys.get_mut(&hash) else { return };
        keys.retain(|other| *other != key);
        if keys.is_empty() {
            self.keys.swap_remove(&hash);
        }
    }

    /// Returns the server with a hashed identifier; `None` if there is none or more than one.
    pub(super) fn find(&self, hash: u32) -> Option<ServerKey> {
        match self.keys.get(&hash)?[..] {
            [key] => Some(key),
            _ => None,
        }
    }
}

impl ServerFleet {
    /// Returns the names of servers for another node.
    #[must_use]
    pub fn incarnations(&self, keys: &[ServerKey]) -> Vec<ServerIncarnation> {
        let servers = keys.iter().filter_map(|key| self.servers.get(*key));
        servers.map(|server| (&server.entry).into()).collect()
    }

    /// Looks up servers that another node names. Returns the service of the first known one
    /// and all of them that belong to it, or `None` if none is known.
    #[must_use]
    pub fn find_servers(
        &self,
        names: &[ServerIncarnation],
    ) -> Option<(ServiceKey, Vec<ServerKey>)> {
        let known = names.iter().filter_map(|name| {
            let key = *self.server_ids.get(&name.id)?;
            let is_same = self.servers.get(key)?.entry.born_ms == name.born_ms;
            is_same.then_some(key)
        });
        self.in_one_service(known.collect())
    }

    /// Returns the hashed identifiers of servers, without those that other servers share.
    #[must_use]
    pub fn id_hashes(&self, keys: &[ServerKey]) -> Vec<u32> {
        let servers = keys.iter().filter_map(|key| self.servers.get(*key));
        let hashes = servers.map(|server| id_hash(&server.entry.id));
        hashes.filter(|hash| self.hashed_names.find(*hash).is_some()).collect()
    }

    /// Looks up servers by their hashed identifiers, like [`ServerFleet::find_servers`].
    /// Identifiers that several servers share stand for none of them.
    #[must_use]
    pub fn find_servers_by_hash(&self, id_hashes: &[u32]) -> Option<(ServiceKey, Vec<ServerKey>)> {
        let known = id_hashes.iter().filter_map(|hash| self.hashed_names.find(*hash));
        self.in_one_service(known.collect())
    }

    /// Returns the attempts that a node of the version before reports, by identifier.
    #[must_use]
    pub fn name_observations(
        &self,
        hashed: &[ServerObservation<u32>],
    ) -> Vec<ServerObservation<Arc<str>>> {
        let named = hashed.iter().filter_map(|it| {
            let server = self.servers.get(self.hashed_names.find(it.server)?)?;
            Some(it.with_name(server.entry.id.clone()))
        });
        named.collect()
    }

    /// Returns attempts as a node of the version before reads them.
    #[must_use]
    pub fn hash_observations(
        &self,
        named: &[ServerObservation<Arc<str>>],
    ) -> Vec<ServerObservation<u32>> {
        let hashed = named.iter().map(|it| it.with_name(id_hash(&it.server)));
        hashed.filter(|it| self.hashed_names.find(it.server).is_some()).collect()
    }

    fn in_one_service(&self, keys: Vec<ServerKey>) -> Option<(ServiceKey, Vec<ServerKey>)> {
        let service = self.servers.get(*keys.first()?)?.service;
        let in_service = |key: &ServerKey| {
            self.servers.get(*key).is_some_and(|server| server.service == service)
        };
        Some((service, keys.into_iter().filter(in_service).collect()))
    }
}

/// Returns the hashed identifier of a server.
fn id_hash(id: &str) -> u32 {
    xxh3_64(id.as_bytes()) as u32
}
