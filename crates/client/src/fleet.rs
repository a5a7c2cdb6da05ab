//! The nodes as listed by the platform, and their own responses to queries.

use std::{net::SocketAddr, sync::Arc};

use carobstep_config::ConfigVersion;
use carobstep_store::{ObjectKind, ObjectStore, StoredObject, VmRole, VmState};
use indexmap::IndexMap;
use serde::Serialize;
use serde_json::Value;
use strum::Display;
use tokio::task::JoinSet;

use crate::{
    error::ClientError,
    nodes::{NodeApi, NodeQueryError},
    platform::{list_objects, list_vms},
};

/// Maximum number of nodes that are queried at the same time.
const QUERY_BATCH_SIZE: usize = 64;

/// One node as listed by the platform.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct NodeEntry {
    /// Name of the node.
    pub node: String,
    /// Availability zone of the node.
    pub zone: String,
    /// Address of its listener for operators, if it has published one.
    pub operators: Option<SocketAddr>,
    /// State of its VM, if the platform's VM list contains it.
    pub vm: Option<VmState>,
}

/// Whether a node responds to queries, and if not, the state of its VM.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Display)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum NodePresence {
    /// The node responds.
    Answering,
    /// The node does not respond, and its VM is listed as live or no VM of any node
    /// is listed.
    Silent,
    /// The node does not respond and its VM is listed as leaving.
    Leaving,
    /// The node does not respond and its VM is not listed.
    Gone,
}

/// A node with its response to a query.
#[derive(Clone, Debug)]
pub struct NodeResponse {
    /// The node as listed by the platform.
    pub entry: NodeEntry,
    /// Whether the node responded.
    pub presence: NodePresence,
    /// The JSON response, or why there is no usable one.
    pub response: Result<Value, NodeQueryError>,
}

impl NodeResponse {
    /// Returns the version of the configuration in force on the node, if it
    /// responded with one.
    #[must_use]
    pub fn config_version(&self) -> Option<ConfigVersion> {
        let version = self.response.as_ref().ok()?.get("config_version")?.as_u64()?;
        Some(ConfigVersion(version))
    }

    /// Whether a rollout is complete only once this node has the configuration.
    #[must_use]
    pub fn is_awaited(&self) -> bool {
        matches!(self.presence, NodePresence::Answering | NodePresence::Silent)
    }
}

/// The nodes listed by the platform, sorted by name.
#[derive(Clone, Debug, Default)]
pub struct NodeRoster {
    entries: IndexMap<String, NodeEntry>,
    /// Whether the VM list contains the VM of any node. Only then does a node's
    /// absence from the list mean that its VM was removed.
    has_vms: bool,
}

impl NodeRoster {
    /// Reads the published status of the nodes and the list of VMs.
    ///
    /// # Errors
    ///
    /// Fails if a platform call fails.
    pub async fn read(store: &impl ObjectStore) -> Result<Self, ClientError> {
        let mut roster = Self::default();
        for object in list_objects(store, ObjectKind::Status).await? {
            let entry = NodeEntry::from(&object);
            roster.entries.insert(entry.node.clone(), entry);
        }
        for record in list_vms(store).await? {
            if record.role != VmRole::Entry {
                continue;
            }
            roster.has_vms = true;
            let entry = roster.entries.entry(record.name.clone()).or_insert_with(|| NodeEntry {
                node: record.name.clone(),
                zone: record.zone.clone(),
                ..NodeEntry::default()
            });
            entry.vm = Some(record.state);
        }
        roster.entries.sort_keys();
        Ok(roster)
    }

    /// Removes the nodes whose name satisfies `is_excluded`.
    pub fn exclude(&mut self, is_excluded: impl Fn(&str) -> bool) {
        self.entries.retain(|node, _| !is_excluded(node));
    }

    /// Queries a path of every node's listener for operators.
    pub async fn query<A: NodeApi>(&self, api: &Arc<A>, path: &'static str) -> Vec<NodeResponse> {
        let entries: Vec<&NodeEntry> = self.entries.values().collect();
        let mut responses = IndexMap::with_capacity(entries.len());
        for batch in entries.chunks(QUERY_BATCH_SIZE) {
            let mut queries = JoinSet::new();
            for entry in batch {
                let Some(address) = entry.operators else { continue };
                let (api, node) = (Arc::clone(api), entry.node.clone());
                queries.spawn(async move { (node, api.get(address, path).await) });
            }
            responses.extend(queries.join_all().await);
        }
        let mut nodes = Vec::with_capacity(entries.len());
        for entry in entries {
            let response = responses.swap_remove(&entry.node);
            let response = response.unwrap_or_else(|| Err(no_address_error()));
            let presence = self.presence(entry, response.is_ok());
            nodes.push(NodeResponse { entry: entry.clone(), presence, response });
        }
        nodes
    }

    fn presence(&self, entry: &NodeEntry, has_response: bool) -> NodePresence {
        match entry.vm {
            _ if has_response => NodePresence::Answering,
            Some(VmState::Live) => NodePresence::Silent,
            Some(VmState::Leaving) => NodePresence::Leaving,
            None if self.has_vms => NodePresence::Gone,
            None => NodePresence::Silent,
        }
    }
}

impl From<&StoredObject> for NodeEntry {
    fn from(object: &StoredObject) -> Self {
        let text = |key: &str| object.value.get(key).and_then(Value::as_str);
        Self {
            node: object.name.clone(),
            zone: text("zone").unwrap_or_default().to_owned(),
            operators: text("operators").and_then(|address| address.parse().ok()),
            vm: None,
        }
    }
}

fn no_address_error() -> NodeQueryError {
    NodeQueryError("it has published no operators address".to_owned())
}
