//! Names by which nodes tell each other of servers.
//!
//! A message names a server by a short hash of its identifier, since it names hundreds. A hash
//! that several known servers share stands for none of them. As the receiver may not know the
//! server that is meant, but another one with its hash, the message has a digest of the services
//! as well, with which the receiver checks what it has found.

use std::sync::Arc;

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

use super::{ServerFleet, ServerKey, ServiceKey};
use crate::observations::ServerObservation;

/// Digest of the names of the services that a message is about.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServicesDigest(u64);

/// Servers by the hash of their identifiers.
#[derive(Clone, Debug, Default)]
pub(super) struct HashedNames {
    keys: IndexMap<u32, Vec<ServerKey>>,
    /// Number of servers beyond the first of each hash.
    shared: usize,
}

impl HashedNames {
    pub(super) fn insert(&mut self, id: &str, key: ServerKey) {
        let keys = self.keys.entry(id_hash(id)).or_default();
        keys.push(key);
        self.shared += usize::from(keys.len() > 1);
    }

    pub(super) fn remove(&mut self, id: &str, key: ServerKey) {
        let hash = id_hash(id);
        let Some(keys) = self.keys.get_mut(&hash) else { return };
        let Some(position) = keys.iter().position(|other| *other == key) else { return };
        keys.swap_remove(position);
        if keys.is_empty() {
            self.keys.swap_remove(&hash);
        } else {
            self.shared -= 1;
        }
    }

    /// Returns whether a hash stands for exactly one of the servers, of which it is one.
    fn is_unambiguous(&self, hash: u32) -> bool {
        self.shared == 0 || self.find(hash).is_some()
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
    /// Returns the hashed identifiers of servers, without those that other servers share.
    #[must_use]
    pub fn id_hashes(&self, keys: &[ServerKey]) -> Vec<u32> {
        let servers = keys.iter().filter_map(|key| self.servers.get(*key));
        let hashes = servers.map(|server| id_hash(&server.entry.id));
        hashes.filter(|hash| self.hashed_names.is_unambiguous(*hash)).collect()
    }

    /// Looks up servers by their hashed identifiers. Returns the service of the first known one
    /// and all of them that belong to it, or `None` if none is known. Identifiers that several
    /// servers share stand for none of them.
    #[must_use]
    pub fn find_servers_by_hash(&self, id_hashes: &[u32]) -> Option<(ServiceKey, Vec<ServerKey>)> {
        let known = id_hashes.iter().filter_map(|hash| self.hashed_names.find(*hash));
        let keys: Vec<_> = known.collect();
        let service = self.servers.get(*keys.first()?)?.service;
        let in_service = |key: &ServerKey| {
            self.servers.get(*key).is_some_and(|server| server.service == service)
        };
        Some((service, keys.into_iter().filter(in_service).collect()))
    }

    /// Returns the digest of services in this order; `None` if one of them is not known.
    #[must_use]
    pub fn services_digest(
        &self,
        services: impl Iterator<Item = ServiceKey>,
    ) -> Option<ServicesDigest> {
        let mut names = Vec::new();
        for key in services {
            let name = &self.services.get(key)?.name;
            names.extend_from_slice(&(name.len() as u64).to_le_bytes());
            names.extend_from_slice(name.as_bytes());
        }
        Some(ServicesDigest(xxh3_64(&names)))
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
}

/// Returns the hashed identifier of a server.
fn id_hash(id: &str) -> u32 {
    xxh3_64(id.as_bytes()) as u32
}
