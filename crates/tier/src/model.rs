//! Checked configuration, server entries and machine settings.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};
use strum::{Display, EnumString};

/// One version of the configuration in full.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Configuration {
    /// Number of the version; a later one is greater.
    pub version: u64,
    /// Routes in the order in which they were given.
    pub routes: Vec<Arc<RouteConfig>>,
    /// Services by name.
    pub services: IndexMap<Arc<str>, ServiceConfig>,
    /// Limits on what a caller may send.
    pub limits: ClientLimits,
}

/// One route: which requests it takes and how they are handled.
#[derive(Clone, Debug, PartialEq)]
pub struct RouteConfig {
    /// Name of the route.
    pub name: Arc<str>,
    /// Host that a request must name.
    pub host: Arc<str>,
    /// Start of the paths that it takes; begins and ends with a slash.
    pub prefix: Arc<str>,
    /// Whether a request may run more than once.
    pub retry: RetryPolicy,
    /// Longest time that a request may be kept waiting.
    pub timeout: Duration,
    /// Latency within which an answer is worth the most.
    pub objective: Duration,
    /// Rank among routes; 0 is the highest.
    pub priority: u32,
    /// Backend servers that one client attempt may reach, for each shard.
    pub attempts: u32,
    /// Where requests go.
    pub target: RouteTarget,
}

/// Whether a request may run more than once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RetryPolicy {
    /// It may run any number of times.
    Idempotent,
    /// It may run at most once for each client attempt.
    AtMostOnce,
}

/// Where the requests of a route go.
#[derive(Clone, Debug, PartialEq)]
pub enum RouteTarget {
    /// To one service.
    Service(Arc<str>),
    /// To several services in proportion to their weights.
    Split(Vec<SplitPart>),
    /// To every shard of an index.
    Gather(GatherPlan),
}

/// One part of a split route.
#[derive(Clone, Debug, PartialEq)]
pub struct SplitPart {
    /// Service that gets this part.
    pub service: Arc<str>,
    /// Its weight; only the proportion to the other weights counts.
    pub weight: f64,
}

/// How a search collects its answer.
#[derive(Clone, Debug, PartialEq)]
pub struct GatherPlan {
    /// One service per shard.
    pub shards: Vec<Arc<str>>,
    /// Greatest records that the answer holds.
    pub top: usize,
    /// Least share of the shards that an answer must include.
    pub least_share: f64,
}

impl GatherPlan {
    /// Least number of shards that an answer must include.
    #[must_use]
    pub fn least_shards(&self) -> usize {
        // Keeps a share such as 0.95 of 20 from rounding up to one shard more.
        const ROUNDING: f64 = 1e-9;
        let least = self.least_share * self.shards.len() as f64 - ROUNDING;
        (least.ceil().max(1.0) as usize).min(self.shards.len().max(1))
    }
}

/// What the configuration says of a service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServiceConfig {
    /// Connections that each of its servers accepts from all callers together.
    pub max_connections: u32,
}

/// Limits on what a caller may send.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ClientLimits {
    /// Largest header section, in bytes.
    pub header_bytes: usize,
    /// Largest request body, in bytes.
    pub body_bytes: usize,
    /// Time to send a header section.
    pub header_timeout: Duration,
    /// Time for which a connection may stay idle.
    pub idle_timeout: Duration,
}

impl Default for ClientLimits {
    /// Limits in force until a configuration is known.
    fn default() -> Self {
        Self {
            header_bytes: 16 * 1024,
            body_bytes: 256 * 1024,
            header_timeout: Duration::from_secs(3),
            idle_timeout: Duration::from_secs(15),
        }
    }
}

/// What a backend server says of itself.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServerEntry {
    /// Identifier of the server.
    pub id: Arc<str>,
    /// Service that it belongs to.
    pub service: Arc<str>,
    /// Where it listens.
    pub address: SocketAddr,
    /// Its availability zone.
    pub zone: Arc<str>,
    /// Requests that it works on at the same time.
    pub slots: u32,
    /// Whether it takes new requests.
    pub phase: ServerPhase,
    /// Time for which it stays slow after its start, counted from its report.
    pub cold_left: Duration,
    /// Unix milliseconds of its start; tells two lives under one identifier apart.
    pub born_ms: Option<u64>,
    /// Counts the server's reports in this life.
    pub report_number: u64,
}

impl ServerEntry {
    /// Whether two reports differ in nothing but their number.
    #[must_use]
    pub fn has_same_content(&self, other: &Self) -> bool {
        let numbered = Self { report_number: other.report_number, ..self.clone() };
        numbered == *other
    }

    /// Whether another report of the same server was written earlier by it,
    /// whatever order the store took them in.
    #[must_use]
    pub fn is_newer_than(&self, other: &Self) -> bool {
        match (self.born_ms, other.born_ms) {
            (Some(own), Some(others)) if own != others => own > others,
            (Some(_), Some(_)) => self.report_number > other.report_number,
            _ => false,
        }
    }
}

/// Whether a backend server takes new requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, EnumString, Serialize, Deserialize)]
#[strum(serialize_all = "snake_case")]
pub enum ServerPhase {
    /// It takes requests.
    Ready,
    /// It finishes what it has and then leaves.
    Draining,
}

/// Settings of one process on its machine.
#[derive(Clone, Debug, PartialEq)]
pub struct MachineSettings {
    /// Name of the machine.
    pub node: String,
    /// Its availability zone.
    pub zone: Arc<str>,
    /// Listener for callers.
    pub callers: SocketAddr,
    /// Listener for the balancer's readiness checks.
    pub readiness: SocketAddr,
    /// First port that nodes may use among themselves.
    pub peer_port: u16,
    /// Address of the platform's store.
    pub store: SocketAddr,
    /// Share of a core that the process has.
    pub cpu_share: f64,
    /// Bandwidth of the machine's link, in Mbit/s.
    pub link_mbps: f64,
    /// Bounds of the promises.
    pub bounds: PromiseBounds,
}

/// Bounds of the promises to the users.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PromiseBounds {
    /// Time from SIGTERM to SIGKILL.
    pub grace: Duration,
    /// Extra requests to a service per request to it.
    pub retry_ratio: f64,
    /// Extra requests to a service that are allowed in each window beside the ratio.
    pub retry_slack: f64,
}
