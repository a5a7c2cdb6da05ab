//! Data of a deployment of a given size: names, records and documents.

use std::net::{IpAddr, Ipv4Addr, SocketAddr};

use carobstep_config::{
    ConfigDocument, ConfigTopology, ConfigVersion, HedgeDocument, IndexDocument, NodeName,
    RepeatPolicy, ServerDocument, ServerName, ServerState, ServiceDocument, ZoneName,
};
use carobstep_control::{
    GrantRecord, GrantRecordState, LeaseRecord, LeaseRecordState, assign_servers,
};
use carobstep_store::{VmRecord, VmRole, VmState};
use carobstep_wire::PeerRecord;
use indexmap::IndexMap;
use serde_json::{Value, json};

/// Number of availability zones.
pub const ZONES: usize = 10;

/// Number of shards of the index. Each is served by a service of its own, as long
/// as there are enough services.
pub const SHARDS: usize = 56;

const SERVERS_PER_SERVICE: usize = 3;

/// Number of nodes and backend servers.
#[derive(Clone, Copy, Debug)]
pub struct FleetSize {
    pub nodes: usize,
    pub servers: usize,
}

/// Deployment of nodes and backend servers, with the holder of each server.
#[derive(Debug)]
pub struct Fleet {
    pub size: FleetSize,
    pub topology: ConfigTopology,
    pub document: ConfigDocument,
    pub holders: IndexMap<ServerName, NodeName>,
}

impl Fleet {
    pub fn new(size: FleetSize) -> Self {
        let document = document(size.servers);
        let topology = ConfigTopology::try_from((ConfigVersion(1), &document)).expect("a topology");
        let mut fleet = Self { size, topology, document, holders: IndexMap::new() };
        for zone in 0..ZONES {
            let nodes = fleet.zone_nodes(zone);
            let assigned = assign_servers(&fleet.topology, &zone_name(zone), &nodes);
            fleet.holders.extend(assigned);
        }
        fleet
    }

    /// Returns the names of the nodes in a zone.
    pub fn zone_nodes(&self, zone: usize) -> Vec<NodeName> {
        (0..self.size.nodes).filter(|number| number % ZONES == zone).map(node_name).collect()
    }

    /// Returns the record of every node as its peers know it.
    pub fn peers(&self, heartbeat: u64) -> Vec<PeerRecord> {
        (0..self.size.nodes).map(|number| peer(number, heartbeat)).collect()
    }

    /// Returns the value of every grant object, by server name.
    pub fn grants(&self) -> IndexMap<String, Value> {
        let mut grants = IndexMap::new();
        for (server, holder) in &self.holders {
            let record = GrantRecord {
                server: server.clone(),
                holder: holder.clone(),
                incarnation: 1,
                epoch: 1,
                slots: 2,
                connections: 25,
                state: GrantRecordState::Held,
            };
            grants.insert(server.to_string(), json!(record));
        }
        grants
    }

    /// Returns the value of every lease object, by node name.
    pub fn leases(&self) -> IndexMap<String, Value> {
        let mut leases = IndexMap::new();
        for number in 0..self.size.nodes {
            let record = LeaseRecord {
                node: node_name(number),
                zone: zone_name(number % ZONES),
                region: "perth".to_owned(),
                incarnation: 1,
                term_ms: 9_000,
                renewal: 100,
                witnesses: self.zone_nodes(number % ZONES),
                peers: node_address(number, 7100),
                operators: node_address(number, 7200),
                listed: true,
                state: LeaseRecordState::Open,
            };
            leases.insert(record.node.to_string(), json!(record));
        }
        leases
    }

    /// Returns the platform's list of VMs.
    pub fn vms(&self) -> Vec<VmRecord> {
        let mut vms = Vec::new();
        for number in 0..self.size.nodes {
            vms.push(vm(
                node_name(number).to_string(),
                number,
                VmRole::Entry,
                node_address(number, 7100),
            ));
        }
        for (number, (_, server)) in self.topology.servers().enumerate() {
            vms.push(vm(server.name.to_string(), number, VmRole::Backend, server.address));
        }
        vms
    }

    /// Returns the value of the object `config/current` at a version.
    pub fn config(&self, version: u64) -> Value {
        let mut document = json!(self.document);
        document["services"]["service-0000"]["deadline_ms"] = json!(170 + version);
        json!({"version": version, "patch_id": "p", "author": "ops", "time": "", "document": document})
    }

    /// Returns the value of the index's manifest object.
    pub fn manifest(&self) -> Value {
        let services = self.topology.services().count();
        let mut shards = serde_json::Map::new();
        for shard in 0..SHARDS {
            let service = format!("service-{:04}", shard % services);
            shards.insert(format!("shard-{shard:02}"), json!(service));
        }
        json!({"index": "garments", "snapshots": [{"number": 1, "shards": shards}]})
    }
}

/// Returns the name of a node by its number.
pub fn node_name(number: usize) -> NodeName {
    format!("entry-{:02}-{number:03}", number % ZONES).try_into().expect("a node name")
}

/// Returns the name of a zone by its number.
pub fn zone_name(zone: usize) -> ZoneName {
    format!("zone-{zone:02}").try_into().expect("a zone name")
}

/// Returns an address of a node by its number.
pub fn node_address(number: usize, port: u16) -> SocketAddr {
    let [high, low] = u16::try_from(number).expect("at most 65,535 nodes").to_be_bytes();
    SocketAddr::new(IpAddr::V4(Ipv4Addr::new(10, 200, high, low)), port)
}

/// Returns the record of a node as its peers know it.
pub fn peer(number: usize, heartbeat: u64) -> PeerRecord {
    PeerRecord {
        node: node_name(number),
        zone: zone_name(number % ZONES),
        address: node_address(number, 7100),
        incarnation: 1,
        heartbeat,
        stopping: false,
    }
}

fn vm(name: String, number: usize, role: VmRole, address: SocketAddr) -> VmRecord {
    let zone = format!("zone-{:02}", number % ZONES);
    VmRecord { name, zone, role, state: VmState::Live, address: address.to_string() }
}

fn document(servers: usize) -> ConfigDocument {
    let mut document = ConfigDocument::default();
    for number in 0..servers {
        let service = format!("service-{:04}", number / SERVERS_PER_SERVICE);
        let entry = document.services.entry(service.clone()).or_insert_with(|| ServiceDocument {
            repeat: RepeatPolicy::Idempotent,
            deadline_ms: 170,
            hedge: HedgeDocument::default(),
            servers: Default::default(),
        });
        let server = ServerDocument {
            zone: zone_name(number % ZONES).to_string(),
            address: format!("10.{}.{}.1:8080", number / 256, number % 256),
            slots: 2,
            connections: 25,
            state: ServerState::Active,
        };
        entry.servers.insert(format!("{service}-{number:04}"), server);
    }
    document.indexes.insert("garments".to_owned(), IndexDocument { deadline_ms: 170 });
    document
}
