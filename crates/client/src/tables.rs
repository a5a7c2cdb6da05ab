//! Tables of nodes, availability zones, grants, backend servers and counters.

use std::sync::Arc;

use carobstep_config::{ConfigTopology, ServerState};
use carobstep_store::{ObjectKind, ObjectStore, StoredObject, VmState};
use indexmap::IndexMap;
use serde::Serialize;
use serde_json::{Value, json};

use crate::{
    error::{ClientError, ExitStatus},
    fleet::{NodePresence, NodeResponse, NodeRoster},
    nodes::{BRIEF_STATUS_PATH, NodeApi},
    output::{CommandReport, TextTable, cell},
    platform::{current_config, list_objects, list_vms},
};

/// State of a grant that its holder has released.
const RELEASED_STATE: &str = "released";

#[derive(Serialize)]
struct NodeRow {
    node: String,
    zone: String,
    presence: NodePresence,
    config_version: Option<u64>,
    operators: Option<String>,
    /// Reason why the node gave no usable response.
    #[serde(skip_serializing_if = "Option::is_none")]
    silence: Option<String>,
    #[serde(skip_serializing_if = "Option::is_none")]
    status: Option<Value>,
}

impl From<&NodeResponse> for NodeRow {
    fn from(node: &NodeResponse) -> Self {
        Self {
            node: node.entry.node.clone(),
            zone: node.entry.zone.clone(),
            presence: node.presence,
            config_version: node.config_version().map(|version| version.0),
            operators: node.entry.operators.map(|address| address.to_string()),
            silence: node.response.as_ref().err().map(|error| error.0.clone()),
            status: node.response.as_ref().ok().cloned(),
        }
    }
}

/// Lists the nodes with the configuration version in force on each.
///
/// # Errors
///
/// Fails if a platform call fails.
pub async fn nodes<A: NodeApi>(
    store: &impl ObjectStore,
    api: &Arc<A>,
) -> Result<CommandReport, ClientError> {
    let responses = NodeRoster::read(store).await?.query(api, BRIEF_STATUS_PATH).await;
    let rows: Vec<_> = responses.iter().map(NodeRow::from).collect();
    let mut table = TextTable::new(&["NODE", "ZONE", "STATE", "CONFIG", "OPERATORS", "NOTE"]);
    for row in &rows {
        table.push([
            row.node.clone(),
            row.zone.clone(),
            row.presence.to_string(),
            cell(row.config_version),
            cell(row.operators.as_ref()),
            cell(row.silence.as_ref()),
        ]);
    }
    Ok(CommandReport::from_rows(&table, &rows))
}

#[derive(Default, Serialize)]
struct ZoneRow {
    zone: String,
    nodes: usize,
    answering: usize,
    servers: usize,
    slots: u64,
    connections: u64,
}

/// Lists the availability zones with their nodes, backend servers and the sums of
/// the servers' limits.
///
/// # Errors
///
/// Fails if a platform call fails or the platform holds no configuration.
pub async fn zones<A: NodeApi>(
    store: &impl ObjectStore,
    api: &Arc<A>,
) -> Result<CommandReport, ClientError> {
    let topology = topology(store).await?;
    let mut zones: IndexMap<String, ZoneRow> = IndexMap::new();
    for (_, server) in topology.servers() {
        let row = zones.entry(topology.zone(server.zone).to_string()).or_default();
        row.servers += 1;
        row.slots += u64::from(server.slots);
        row.connections += u64::from(server.connections);
    }
    for node in NodeRoster::read(store).await?.query(api, BRIEF_STATUS_PATH).await {
        if node.presence == NodePresence::Gone {
            continue;
        }
        let row = zones.entry(node.entry.zone.clone()).or_default();
        row.nodes += 1;
        row.answering += usize::from(node.presence == NodePresence::Answering);
    }
    zones.sort_keys();
    let mut table =
        TextTable::new(&["ZONE", "NODES", "ANSWERING", "SERVERS", "SLOTS", "CONNECTIONS"]);
    let mut rows = Vec::with_capacity(zones.len());
    for (zone, row) in zones {
        table.push([
            zone.clone(),
            row.nodes.to_string(),
            row.answering.to_string(),
            row.servers.to_string(),
            row.slots.to_string(),
            row.connections.to_string(),
        ]);
        rows.push(ZoneRow { zone, ..row });
    }
    Ok(CommandReport::from_rows(&table, &rows))
}

#[derive(Serialize)]
struct GrantRow {
    server: String,
    holder: Option<String>,
    incarnation: Option<u64>,
    epoch: Option<u64>,
    state: Option<String>,
}

impl GrantRow {
    /// Returns the holder, unless it has released the grant.
    fn active_holder(self) -> Option<String> {
        let released = self.state.as_deref() == Some(RELEASED_STATE);
        self.holder.filter(|_| !released)
    }
}

impl From<&StoredObject> for GrantRow {
    fn from(object: &StoredObject) -> Self {
        let number = |key: &str| object.value.get(key).and_then(Value::as_u64);
        let text = |key: &str| object.value.get(key).and_then(Value::as_str).map(str::to_owned);
        Self {
            server: object.name.clone(),
            holder: text("holder"),
            incarnation: number("incarnation"),
            epoch: number("epoch"),
            state: text("state"),
        }
    }
}

/// Lists the grants with their holders.
///
/// # Errors
///
/// Fails if a platform call fails.
pub async fn grants(store: &impl ObjectStore) -> Result<CommandReport, ClientError> {
    let mut rows: Vec<_> =
        list_objects(store, ObjectKind::Grant).await?.iter().map(GrantRow::from).collect();
    rows.sort_by(|one, other| one.server.cmp(&other.server));
    let mut table = TextTable::new(&["SERVER", "HOLDER", "STATE", "EPOCH", "INCARNATION"]);
    for row in &rows {
        table.push([
            row.server.clone(),
            cell(row.holder.as_ref()),
            cell(row.state.as_ref()),
            cell(row.epoch),
            cell(row.incarnation),
        ]);
    }
    Ok(CommandReport::from_rows(&table, &rows))
}

#[derive(Serialize)]
struct ServerRow {
    server: String,
    service: String,
    zone: String,
    address: String,
    slots: u16,
    connections: u16,
    state: ServerState,
    vm: Option<VmState>,
    holder: Option<String>,
}

/// Lists the backend servers with their limits and the holders of their grants.
///
/// # Errors
///
/// Fails if a platform call fails or the platform holds no configuration.
pub async fn servers(store: &impl ObjectStore) -> Result<CommandReport, ClientError> {
    let topology = topology(store).await?;
    let grants = list_objects(store, ObjectKind::Grant).await?;
    let holders: IndexMap<String, Option<String>> = grants
        .iter()
        .map(GrantRow::from)
        .map(|row| (row.server.clone(), row.active_holder()))
        .collect();
    let vms: IndexMap<String, VmState> =
        list_vms(store).await?.into_iter().map(|record| (record.name, record.state)).collect();
    let mut rows = Vec::new();
    for (_, server) in topology.servers() {
        rows.push(ServerRow {
            server: server.name.to_string(),
            service: topology.service(server.service).name.to_string(),
            zone: topology.zone(server.zone).to_string(),
            address: server.address.to_string(),
            slots: server.slots,
            connections: server.connections,
            state: server.state,
            vm: vms.get(server.name.as_str()).copied(),
            holder: holders.get(server.name.as_str()).cloned().flatten(),
        });
    }
    let mut table = TextTable::new(&[
        "SERVER",
        "SERVICE",
        "ZONE",
        "ADDRESS",
        "SLOTS",
        "CONNECTIONS",
        "STATE",
        "VM",
        "HOLDER",
    ]);
    for row in &rows {
        table.push([
            row.server.clone(),
            row.service.clone(),
            row.zone.clone(),
            row.address.clone(),
            row.slots.to_string(),
            row.connections.to_string(),
            row.state.to_string(),
            cell(row.vm),
            cell(row.holder.as_ref()),
        ]);
    }
    Ok(CommandReport::from_rows(&table, &rows))
}

/// Shows the counters of one node, or the sums over all nodes that respond.
///
/// # Errors
///
/// Fails if a platform call fails, or if the named node does not exist or does
/// not respond.
pub async fn counters<A: NodeApi>(
    store: &impl ObjectStore,
    api: &Arc<A>,
    node: Option<&str>,
) -> Result<CommandReport, ClientError> {
    let mut responses = NodeRoster::read(store).await?.query(api, "/v1/counters").await;
    if let Some(name) = node {
        responses.retain(|response| response.entry.node == name);
        check_node(name, &responses)?;
    }
    let mut totals: IndexMap<String, u64> = IndexMap::new();
    let mut by_node = IndexMap::new();
    let mut unresponsive = Vec::new();
    for node in responses {
        let Ok(response) = node.response else {
            unresponsive.push(node.entry.node);
            continue;
        };
        for (name, value) in response.as_object().into_iter().flatten() {
            *totals.entry(name.clone()).or_default() += value.as_u64().unwrap_or(0);
        }
        by_node.insert(node.entry.node, response);
    }
    Ok(counter_report(&totals, &by_node, &unresponsive))
}

/// Fails unless `responses` contains a successful response of the node `name`.
fn check_node(name: &str, responses: &[NodeResponse]) -> Result<(), ClientError> {
    let Some(node) = responses.first() else {
        let message = format!("node {name:?} does not exist");
        return Err(ClientError::new(ExitStatus::NotFound, message));
    };
    let Err(error) = &node.response else { return Ok(()) };
    let message = format!("node {name} does not respond: {}", error.0);
    Err(ClientError::new(ExitStatus::Failure, message))
}

fn counter_report(
    totals: &IndexMap<String, u64>,
    by_node: &IndexMap<String, Value>,
    unresponsive: &[String],
) -> CommandReport {
    let mut table = TextTable::new(&["COUNTER", "VALUE"]);
    for (name, value) in totals.iter().filter(|(_, value)| **value > 0) {
        table.push([name.clone(), value.to_string()]);
    }
    let mut plain = table.to_text();
    plain.push_str(&format!("\n{} nodes answered", by_node.len()));
    if !unresponsive.is_empty() {
        plain.push_str(&format!("; no answer from {}", unresponsive.join(", ")));
    }
    let value = json!({"totals": totals, "nodes": by_node, "silent": unresponsive});
    CommandReport { plain, value }
}

/// Reads and validates the configuration in force.
async fn topology(store: &impl ObjectStore) -> Result<ConfigTopology, ClientError> {
    let record = current_config(store).await?;
    ConfigTopology::try_from((record.version, &record.document)).map_err(|error| {
        let message = format!("configuration {} in force is invalid: {error}", record.version);
        ClientError::new(ExitStatus::Failure, message)
    })
}
