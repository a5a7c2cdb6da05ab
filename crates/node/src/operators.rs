//! The operators' listener: liveness, readiness, status and counters.

use std::{
    net::SocketAddr,
    sync::{Arc, atomic::Ordering},
};

use carobstep_config::{ConfigVersion, IndexName, NodeName, ServerName, ZoneName};
use http::{Method, Request, Response, StatusCode};
use hyper::body::Incoming;
use indexmap::IndexMap;
use serde::Serialize;
use serde_json::json;

use crate::{
    context::NodeContext,
    counters::NodeEvent,
    http_listener::RequestHandler,
    problem::{AnswerBody, json_response},
};

/// Answers requests of operators.
#[derive(Debug)]
pub struct OperatorHandler {
    context: Arc<NodeContext>,
}

/// What `GET /v1/status` shows.
#[derive(Debug, Serialize)]
struct NodeStatus {
    node: NodeName,
    zone: ZoneName,
    region: String,
    ready: bool,
    stopping: bool,
    config_version: ConfigVersion,
    snapshots: IndexMap<IndexName, u64>,
    held: Vec<ServerName>,
    routes: IndexMap<ServerName, NodeName>,
    peer_bytes_sent: u64,
    peer_bytes_received: u64,
    #[serde(flatten)]
    control: serde_json::Value,
}

impl OperatorHandler {
    /// Builds the handler.
    #[must_use]
    pub const fn new(context: Arc<NodeContext>) -> Self {
        Self { context }
    }

    fn status(&self) -> NodeStatus {
        let context = &self.context;
        let view = context.latest_view();
        let mut routes = IndexMap::new();
        for (key, entry) in view.topology.servers() {
            if let Some(route) = view.route_of(key) {
                routes.insert(entry.name.clone(), route.node.clone());
            }
        }
        let snapshots = view.manifests.iter();
        let (peer_bytes_sent, peer_bytes_received) = context.peers.traffic();
        NodeStatus {
            node: context.settings.node.clone(),
            zone: context.settings.zone.clone(),
            region: context.settings.region.to_string(),
            ready: self.is_ready(),
            stopping: context.stopping.load(Ordering::Relaxed),
            config_version: view.topology.version(),
            snapshots: snapshots.map(|(name, map)| (name.clone(), map.newest().number)).collect(),
            held: context.holders.servers(),
            routes,
            peer_bytes_sent,
            peer_bytes_received,
            control: json!({}),
        }
    }

    fn is_ready(&self) -> bool {
        self.context.latest_view().ready && !self.context.stopping.load(Ordering::Relaxed)
    }

    fn readiness(&self) -> Response<AnswerBody> {
        if self.is_ready() {
            return json_response(StatusCode::OK, &json!({ "ready": true }));
        }
        let stopping = self.context.stopping.load(Ordering::Relaxed);
        let reason = if stopping { "stopping" } else { "no configuration" };
        let body = json!({ "ready": false, "reason": reason });
        json_response(StatusCode::SERVICE_UNAVAILABLE, &body)
    }
}

impl RequestHandler for OperatorHandler {
    async fn handle(
        &self,
        _remote: SocketAddr,
        request: Request<Incoming>,
    ) -> Response<AnswerBody> {
        if request.method() != Method::GET {
            self.context.counters.event(NodeEvent::BadOperatorInput);
            let detail = json!({ "detail": format!("method {} is not GET", request.method()) });
            return json_response(StatusCode::METHOD_NOT_ALLOWED, &detail);
        }
        match request.uri().path() {
            "/livez" => json_response(StatusCode::OK, &json!({ "live": true })),
            "/readyz" => self.readiness(),
            "/v1/status" => json_response(StatusCode::OK, &self.status()),
            "/v1/counters" => json_response(StatusCode::OK, &self.context.counters.read()),
            path => {
                self.context.counters.event(NodeEvent::BadOperatorInput);
                let detail = json!({ "detail": format!("no such path: {path:?}") });
                json_response(StatusCode::NOT_FOUND, &detail)
            }
        }
    }

    fn count_bad_input(&self) {
        self.context.counters.event(NodeEvent::BadOperatorInput);
    }

    fn is_stopping(&self) -> bool {
        false
    }
}
