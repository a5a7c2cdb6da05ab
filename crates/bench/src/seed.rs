//! A deployment's state in the platform: configuration, manifests and VMs.

use std::{net::SocketAddr, time::Duration};

use carobstep_config::{
    ConfigDocument, HedgeDocument, IndexDocument, RepeatPolicy, ServerDocument, ServerState,
    ServiceDocument,
};
use indexmap::IndexMap;
use serde_json::{Value, json};

use crate::{
    deployment::{Deployment, NodeProcess},
    error::{BenchError, BenchErrorKind},
    http::HttpCall,
    server::ServerPlan,
};

impl Deployment {
    /// Sets the faults that the platform stand-in injects.
    ///
    /// # Errors
    ///
    /// Fails when the stand-in rejects them.
    pub async fn set_platform_faults(&self, faults: &Value) -> Result<(), BenchError> {
        let call = HttpCall::post("/standin/faults", faults);
        self.client.call_json(self.platform, &call).await.map(drop)
    }

    /// Submits `document` as the configuration with the given version, which
    /// must directly follow the version in force.
    ///
    /// # Errors
    ///
    /// Fails when another version is in force, or when a concurrent write is
    /// accepted first.
    pub async fn submit_config(&self, version: u64, document: &Value) -> Result<(), BenchError> {
        let path = "/objects/config/current";
        let current = self.client.call_checked(self.platform, &HttpCall::get(path)).await?;
        let in_force = current.json()["version"].as_u64();
        let etag = current.headers.get("etag").and_then(|etag| etag.to_str().ok());
        let (Some(etag), true) = (etag, in_force == Some(version - 1)) else {
            let message = format!("version in force is {in_force:?}, expected {}", version - 1);
            return Err(BenchError::new(BenchErrorKind::Response, message));
        };
        let record = config_record(version, document);
        let call = HttpCall::put(path, &record).header("if-match", etag);
        self.client.call_json(self.platform, &call).await?;
        self.create_object(&format!("history/{version}"), &record).await
    }

    /// Writes the initial configuration and manifest to the platform, and
    /// registers the VMs of the nodes and backend servers.
    pub(crate) async fn seed_platform(&self) -> Result<(), BenchError> {
        let document = serde_json::to_value(self.config_document())
            .map_err(|error| BenchError::new(BenchErrorKind::Output, error.to_string()))?;
        let record = config_record(1, &document);
        self.create_object("history/1", &record).await?;
        self.create_object("config/current", &record).await?;
        let manifest = self.manifest(&self.options.snapshots);
        self.create_object(&format!("manifest/{}", self.plan.index), &manifest).await?;
        for node in &self.nodes {
            self.register_node(node, "live").await?;
        }
        for server in &self.servers {
            self.register_vm(&server.name, server.zone, "backend", "live", server.address).await?;
        }
        Ok(())
    }

    /// Replaces an object in the platform's store, whichever version it has.
    ///
    /// # Errors
    ///
    /// Fails when the object does not exist, or when it changes concurrently.
    pub async fn replace_object(&self, path: &str, value: &Value) -> Result<(), BenchError> {
        let path = format!("/objects/{path}");
        let current = self.client.call_checked(self.platform, &HttpCall::get(&path)).await?;
        let etag = current.headers.get("etag").and_then(|etag| etag.to_str().ok());
        let etag = etag.ok_or_else(|| {
            BenchError::new(BenchErrorKind::Response, format!("{path}: response has no ETag"))
        })?;
        let call = HttpCall::put(&path, value).header("if-match", etag);
        self.client.call_json(self.platform, &call).await.map(drop)
    }

    /// Removes a VM from the platform's VM list.
    ///
    /// # Errors
    ///
    /// Fails when the platform rejects the request.
    pub async fn deregister_vm(&self, name: &str) -> Result<(), BenchError> {
        let call = HttpCall::delete(&format!("/standin/vms/{name}"));
        self.client.call_json(self.platform, &call).await.map(drop)
    }

    async fn create_object(&self, path: &str, value: &Value) -> Result<(), BenchError> {
        let call = HttpCall::put(&format!("/objects/{path}"), value).header("if-none-match", "*");
        self.client.call_json(self.platform, &call).await.map(drop)
    }

    /// Adds a node's VM to the platform's VM list, or updates its entry.
    ///
    /// # Errors
    ///
    /// Fails when the platform rejects the request.
    pub async fn register_node(&self, node: &NodeProcess, state: &str) -> Result<(), BenchError> {
        self.register_vm(&node.name, node.zone, "entry", state, node.peers).await
    }

    /// Adds a VM to the platform's VM list, or updates its entry.
    ///
    /// # Errors
    ///
    /// Fails when the platform rejects the request.
    pub async fn register_vm(
        &self,
        name: &str,
        zone: &str,
        role: &str,
        state: &str,
        address: SocketAddr,
    ) -> Result<(), BenchError> {
        let record = json!({
            "name": name,
            "zone": zone,
            "role": role,
            "state": state,
            "address": address,
        });
        let call = HttpCall::put(&format!("/standin/vms/{name}"), &record);
        self.client.call_json(self.platform, &call).await.map(drop)
    }

    /// Returns the configuration document of the deployment.
    #[must_use]
    pub fn config_document(&self) -> ConfigDocument {
        let mut document = ConfigDocument::default();
        for (name, group) in self.plan.services() {
            let servers = self.servers.iter().filter(|server| server.service == name);
            let servers = servers.map(|server| (server.name.clone(), server_document(server)));
            let service = ServiceDocument {
                repeat: group.repeat,
                deadline_ms: millis(group.deadline),
                hedge: self.hedge_document(group.repeat),
                servers: servers.collect(),
            };
            document.services.insert(name, service);
        }
        let index = IndexDocument { deadline_ms: millis(self.plan.search_deadline) };
        document.indexes.insert(self.plan.index.to_owned(), index);
        document
    }

    fn hedge_document(&self, repeat: RepeatPolicy) -> HedgeDocument {
        match repeat {
            RepeatPolicy::Idempotent => self.options.hedge,
            RepeatPolicy::AtMostOnce => HedgeDocument { hedge_percent: 0.0, ..self.options.hedge },
        }
    }

    /// Returns the manifest of the index with the given snapshots; each snapshot
    /// has one shard on each searched service.
    #[must_use]
    pub fn manifest(&self, snapshots: &[u64]) -> Value {
        let services: Vec<String> = self.plan.searched_services().collect();
        let mut list = Vec::new();
        for number in snapshots {
            let mut shards = IndexMap::new();
            for (position, service) in services.iter().enumerate() {
                shards.insert(format!("s{position:02}"), service.clone());
            }
            list.push(json!({"number": number, "shards": shards}));
        }
        json!({"index": self.plan.index, "snapshots": list})
    }
}

fn config_record(version: u64, document: &Value) -> Value {
    json!({
        "version": version,
        "patch_id": format!("bench-{version}"),
        "author": "bench",
        "time": "1970-01-01T00:00:00Z",
        "document": document,
    })
}

fn server_document(server: &ServerPlan) -> ServerDocument {
    ServerDocument {
        zone: server.zone.to_owned(),
        address: server.address.to_string(),
        slots: server.slots,
        connections: server.connections,
        state: ServerState::Active,
    }
}

fn millis(span: Duration) -> u64 {
    u64::try_from(span.as_millis()).unwrap_or(u64::MAX)
}
