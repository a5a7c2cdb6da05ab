//! Handler of the operators' listener: liveness, readiness, status and counters.

use std::{
    net::SocketAddr,
    sync::{Arc, atomic::Ordering},
};

use carobstep_clock::BootTime;
use carobstep_config::{ConfigVersion, IndexName, NodeName, ServerName, ZoneName};
use http::{Method, Request, Response, StatusCode};
use hyper::body::Incoming;
use indexmap::IndexMap;
use serde::Serialize;
use serde_json::json;

use crate::{
    context::{NodeContext, NodeView},
    counters::NodeEvent,
    http_listener::RequestHandler,
    problem::{ResponseBody, json_response},
};

/// Handles requests from operators.
#[derive(Debug)]
pub struct OperatorHandler {
    context: Arc<NodeContext>,
}

/// Query string of `GET /v1/status` that omits [`StatusDetails`].
const BRIEF_QUERY: &str = "brief=true";

/// Body of the response to `GET /v1/status`.
#[derive(Debug, Serialize)]
struct NodeStatus {
    node: NodeName,
    zone: ZoneName,
    region: String,
    incarnation: u64,
    phase: String,
    ready: bool,
    stopping: bool,
    config_version: ConfigVersion,
    snapshots: IndexMap<IndexName, u64>,
    lease: LeaseStatus,
    #[serde(flatten)]
    details: Option<StatusDetails>,
}

/// Status of the node's own lease.
#[derive(Debug, Serialize)]
struct LeaseStatus {
    state: String,
    /// Whether the last renewal is more recent than the lease term.
    renewed: bool,
}

/// Part of the status whose size grows with the number of nodes and servers.
#[derive(Debug, Serialize)]
struct StatusDetails {
    held: Vec<ServerName>,
    epochs: IndexMap<ServerName, u64>,
    takeovers: Vec<TakeoverStatus>,
    live_peers: Vec<NodeName>,
    leaving_servers: Vec<ServerName>,
    routes: IndexMap<ServerName, NodeName>,
    peer_bytes_sent: u64,
    peer_bytes_received: u64,
}

/// Takeover of another node's servers that is in progress.
#[derive(Debug, Serialize)]
struct TakeoverStatus {
    node: NodeName,
    incarnation: u64,
    step: String,
}

impl OperatorHandler {
    #[must_use]
    pub const fn new(context: Arc<NodeContext>) -> Self {
        Self { context }
    }

    fn status(&self, brief: bool) -> NodeStatus {
        let context = &self.context;
        let view = context.latest_view();
        let snapshots = view.manifests.iter();
        let details = (!brief).then(|| self.details(&view));
        let control = context.lock_control();
        NodeStatus {
            node: context.settings.node.clone(),
            zone: context.settings.zone.clone(),
            region: context.settings.region.to_string(),
            incarnation: control.incarnation(),
            phase: control.phase().to_string(),
            ready: self.is_ready(),
            stopping: context.stopping.load(Ordering::Relaxed),
            config_version: view.topology.version(),
            snapshots: snapshots.map(|(name, map)| (name.clone(), map.newest().number)).collect(),
            lease: LeaseStatus {
                state: control.lease_state().to_string(),
                renewed: control.is_lease_renewed(BootTime::now()),
            },
            details,
        }
    }

    fn details(&self, view: &NodeView) -> StatusDetails {
        let mut routes = IndexMap::new();
        for (key, entry) in view.topology.servers() {
            if let Some(route) = view.route_by_key(key) {
                routes.insert(entry.name.clone(), route.node.clone());
            }
        }
        let (peer_bytes_sent, peer_bytes_received) = self.context.peers.traffic();
        let held = sorted(self.context.holders.servers());
        let control = self.context.lock_control();
        let epochs = control.held_grants().map(|(server, epoch)| (server.clone(), epoch));
        let mut epochs: IndexMap<ServerName, u64> = epochs.collect();
        epochs.sort_keys();
        let peers = control.live_peers(BootTime::now()).map(|peer| peer.node.clone());
        let mut takeovers = Vec::new();
        for (node, incarnation, step) in control.takeovers() {
            takeovers.push(TakeoverStatus { node: node.clone(), incarnation, step });
        }
        StatusDetails {
            held,
            epochs,
            takeovers,
            live_peers: sorted(peers.collect()),
            leaving_servers: sorted(control.leaving_servers().cloned().collect()),
            routes,
            peer_bytes_sent,
            peer_bytes_received,
        }
    }

    fn is_ready(&self) -> bool {
        self.context.latest_view().ready && !self.context.stopping.load(Ordering::Relaxed)
    }

    fn readiness(&self) -> Response<ResponseBody> {
        if self.is_ready() {
            return json_response(StatusCode::OK, &json!({ "ready": true }));
        }
        let stopping = self.context.stopping.load(Ordering::Relaxed);
        let reason = if stopping { "stopping" } else { "no configuration or routes" };
        let body = json!({ "ready": false, "reason": reason });
        json_response(StatusCode::SERVICE_UNAVAILABLE, &body)
    }
}

impl RequestHandler for OperatorHandler {
    async fn handle(
        &self,
        _remote: SocketAddr,
        request: Request<Incoming>,
    ) -> Response<ResponseBody> {
        if request.method() != Method::GET {
            self.context.counters.count_event(NodeEvent::BadOperatorInput);
            let detail = json!({ "detail": format!("method {} is not GET", request.method()) });
            return json_response(StatusCode::METHOD_NOT_ALLOWED, &detail);
        }
        match request.uri().path() {
            "/livez" => json_response(StatusCode::OK, &json!({ "live": true })),
            "/readyz" => self.readiness(),
            "/v1/status" => {
                let brief = request.uri().query() == Some(BRIEF_QUERY);
                json_response(StatusCode::OK, &self.status(brief))
            }
            "/v1/counters" => json_response(StatusCode::OK, &self.context.counters.read()),
            path => {
                self.context.counters.count_event(NodeEvent::BadOperatorInput);
                let detail = json!({ "detail": format!("no such path: {path:?}") });
                json_response(StatusCode::NOT_FOUND, &detail)
            }
        }
    }

    fn count_invalid_input(&self) {
        self.context.counters.count_event(NodeEvent::BadOperatorInput);
    }

    fn is_stopping(&self) -> bool {
        false
    }
}

/// Sorts names, so that two responses can be compared as text.
fn sorted<T: Ord>(mut names: Vec<T>) -> Vec<T> {
    names.sort_unstable();
    names
}
