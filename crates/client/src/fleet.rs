//! The nodes as the platform lists them and as they answer themselves.

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
    nodes::{NodeApi, NodeSilence},
    platform::{list, list_vms},
};

/// Nodes that are asked at the same time.
const ASK_BATCH: usize = 64;

/// What the platform knows of one node.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct NodeEntry {
    /// Name of the node.
    pub node: String,
    /// Its availability zone.
    pub zone: String,
    /// Its operators listener, when it has published one.
    pub operators: Option<SocketAddr>,
    /// Whether its VM is live or leaving, when the list names it.
    pub vm: Option<VmState>,
}

/// Whether a node takes part.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Display)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum NodePresence {
    /// It answers.
    Answering,
    /// Its VM is listed as live, but it does not answer.
    Silent,
    /// Its VM is listed as leaving and it does not answer.
    Leaving,
    /// Its VM is not listed and it does not answer.
    Gone,
}

/// A node with its own answer.
#[derive(Clone, Debug)]
pub struct NodeAnswer {
    /// What the platform knows.
    pub entry: NodeEntry,
    /// Whether it takes part.
    pub presence: NodePresence,
    /// Its answer, or why there is none.
    pub answer: Result<Value, NodeSilence>,
}

impl NodeAnswer {
    /// Version of the configuration that the node has in force.
    #[must_use]
    pub fn config_version(&self) -> Option<ConfigVersion> {
        let version = self.answer.as_ref().ok()?.get("config_version")?.as_u64()?;
        Some(ConfigVersion(version))
    }

    /// Whether a change counts as everywhere only with this node.
    #[must_use]
    pub fn is_awaited(&self) -> bool {
        matches!(self.presence, NodePresence::Answering | NodePresence::Silent)
    }
}

/// The nodes that the platform names, in the order of their names.
#[derive(Clone, Debug, Default)]
pub struct NodeRoster {
    entries: IndexMap<String, NodeEntry>,
    /// Whether the VM list names any entry VM, so that absence means gone.
    has_vms: bool,
}

impl NodeRoster {
    /// Reads the published status of the nodes and the list of VMs.
    ///
    /// # Errors
    ///
    /// Fails when the platform does.
    pub async fn read(store: &impl ObjectStore) -> Result<Self, ClientError> {
        let mut roster = Self::default();
        for object in list(store, ObjectKind::Status).await? {
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

    /// Leaves out the nodes whose name satisfies `is_forgotten`.
    pub fn forget(&mut self, is_forgotten: impl Fn(&str) -> bool) {
        self.entries.retain(|node, _| !is_forgotten(node));
    }

    /// Asks every node for a path of its operators listener.
    pub async fn ask<A: NodeApi>(&self, api: &Arc<A>, path: &'static str) -> Vec<NodeAnswer> {
        let entries: Vec<&NodeEntry> = self.entries.values().collect();
        let mut answers = IndexMap::with_capacity(entries.len());
        for batch in entries.chunks(ASK_BATCH) {
            let mut asks = JoinSet::new();
            for entry in batch {
                let Some(address) = entry.operators else { continue };
                let (api, node) = (Arc::clone(api), entry.node.clone());
                asks.spawn(async move { (node, api.get(address, path).await) });
            }
            answers.extend(asks.join_all().await);
        }
        let mut nodes = Vec::with_capacity(entries.len());
        for entry in entries {
            let answer = answers.swap_remove(&entry.node);
            let answer = answer.unwrap_or_else(|| Err(no_address()));
            let presence = self.presence(entry, answer.is_ok());
            nodes.push(NodeAnswer { entry: entry.clone(), presence, answer });
        }
        nodes
    }

    fn presence(&self, entry: &NodeEntry, answers: bool) -> NodePresence {
        match entry.vm {
            _ if answers => NodePresence::Answering,
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

fn no_address() -> NodeSilence {
    NodeSilence("it has published no operators address".to_owned())
}
