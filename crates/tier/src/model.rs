//! Validated configuration, server entries and machine settings.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};
use strum::{Display, EnumString};

use crate::accounts::SecretKey;

/// One complete version of the configuration.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Configuration {
    /// Version number; increases with each version.
    pub version: u64,
    /// Routes in the order of the configuration document.
    pub routes: Vec<Arc<RouteConfig>>,
    /// Services by name.
    pub services: IndexMap<Arc<str>, ServiceConfig>,
    /// Limits on what a client may send.
    pub limits: CallerLimits,
    /// Client accounts; `None` if requests carry no keys.
    pub accounts: Option<Vec<AccountConfig>>,
}

/// Client account: who may send requests, and how many.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AccountConfig {
    /// Name of the account, which servers get with each request.
    pub name: Arc<str>,
    /// Keys of the account. They are secret: neither logs nor servers get them.
    pub keys: Vec<SecretKey>,
    /// Priority of the account's requests, which takes precedence over that of their route;
    /// 0 is the highest.
    pub priority: Option<u32>,
    /// Limit on the account's requests over all nodes, if there is one.
    pub quota: Option<AccountQuota>,
}

/// Limit on the requests of a client account over all nodes together.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AccountQuota {
    /// Sustained rate.
    pub rate: RequestRate,
    /// Requests beyond the rate that may come at once.
    pub burst: u32,
}

/// Route: which requests match it and how they are handled.
#[derive(Clone, Debug, PartialEq)]
pub struct RouteConfig {
    /// Name of the route.
    pub name: Arc<str>,
    /// Host that a request must have.
    pub host: Arc<str>,
    /// Prefix of the paths that match; begins and ends with a slash.
    pub prefix: Arc<str>,
    /// Whether a request may run more than once.
    pub retry: RetryPolicy,
    /// Maximum time until a request is answered or fails.
    pub timeout: Duration,
    /// Latency objective; an answer within it is worth the most.
    pub objective: Duration,
    /// Priority among routes; 0 is the highest.
    pub priority: u32,
    /// Maximum number of backend servers that one client attempt may reach, for each shard.
    pub attempts: u32,
    /// Target of the requests.
    pub target: RouteTarget,
    /// Whether requests need no key.
    pub is_public: bool,
}

/// Whether a request may run more than once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RetryPolicy {
    /// The request may run any number of times.
    Idempotent,
    /// The request may run at most once for each client attempt.
    AtMostOnce,
}

/// Target of the requests of a route.
#[derive(Clone, Debug, PartialEq)]
pub enum RouteTarget {
    /// One service.
    Service(Arc<str>),
    /// Several services, in proportion to their weights.
    Split(Vec<WeightedService>),
    /// Every shard of an index, whose answers are merged.
    Gather(GatherConfig),
}

/// Service of a split route, and its share of the requests.
#[derive(Clone, Debug, PartialEq)]
pub struct WeightedService {
    /// Service that gets this share of the requests.
    pub service: Arc<str>,
    /// Weight relative to the other services of the route.
    pub weight: f64,
}

/// Shards of a search and the conditions for its answer.
#[derive(Clone, Debug, PartialEq)]
pub struct GatherConfig {
    /// One service per shard.
    pub shards: Vec<Arc<str>>,
    /// Maximum number of records in the answer; the greatest ones are kept.
    pub max_records: usize,
    /// Minimum share of the shards that an answer must include.
    pub min_share: f64,
}

impl GatherConfig {
    /// Returns the minimum number of shards that an answer must include; at least 1.
    #[must_use]
    pub fn min_shards(&self) -> usize {
        // Prevents floating-point error from rounding a share such as 0.95 of 20 up by one shard.
        const ROUNDING: f64 = 1e-9;
        let min_shards = self.min_share * self.shards.len() as f64 - ROUNDING;
        (min_shards.ceil().max(1.0) as usize).min(self.shards.len().max(1))
    }
}

/// Limits that the configuration sets for a service.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ServiceConfig {
    /// Maximum number of connections that each of its servers accepts from all nodes together.
    pub max_connections: u32,
    /// Path of the health check of its servers.
    pub health_path: Option<Arc<str>>,
    /// Requests per second that each of its servers takes from all nodes together while it
    /// is cold after its start, if that is limited.
    pub cold_rate: Option<RequestRate>,
}

/// Limits on what a client may send.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallerLimits {
    /// Maximum size of a header section, in bytes.
    pub header_bytes: usize,
    /// Maximum size of a request body, in bytes.
    pub body_bytes: usize,
    /// Time within which a client must send a header section.
    pub header_timeout: Duration,
    /// Time for which a connection may stay idle.
    pub idle_timeout: Duration,
}

impl Default for CallerLimits {
    /// Returns the limits that apply until a configuration is known.
    fn default() -> Self {
        Self {
            header_bytes: 16 * 1024,
            body_bytes: 256 * 1024,
            header_timeout: Duration::from_secs(3),
            idle_timeout: Duration::from_secs(15),
        }
    }
}

/// Registration of a backend server.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServerEntry {
    /// Identifier of the server.
    pub id: Arc<str>,
    /// Service that it belongs to.
    pub service: Arc<str>,
    /// Address on which the server listens.
    pub address: SocketAddr,
    /// Availability zone of the server.
    pub zone: Arc<str>,
    /// Number of requests that the server processes concurrently.
    pub slots: u32,
    /// Whether the server accepts new requests.
    pub phase: ServerPhase,
    /// Time for which the server remains slow after its start, counted from this report.
    pub cold_left: Duration,
    /// Start time of the server in Unix milliseconds; distinguishes incarnations that
    /// use the same identifier.
    pub born_ms: Option<u64>,
    /// Sequence number of the report within this incarnation.
    pub report_number: u64,
}

impl ServerEntry {
    /// Returns whether two reports are equal except for their number.
    #[must_use]
    pub fn has_same_content(&self, other: &Self) -> bool {
        let renumbered = Self { report_number: other.report_number, ..self.clone() };
        renumbered == *other
    }

    /// Returns whether the entry belongs to a later incarnation than the one that
    /// started at `born_ms`. An unknown start time proves no later incarnation.
    #[must_use]
    pub const fn is_born_after(&self, born_ms: Option<u64>) -> bool {
        matches!((self.born_ms, born_ms), (Some(own), Some(other)) if own > other)
    }

    /// Returns whether the server wrote this report after `other`, regardless of the
    /// order in which the store received them; `false` if either start time is unknown.
    #[must_use]
    pub fn is_newer_than(&self, other: &Self) -> bool {
        match (self.born_ms, other.born_ms) {
            (Some(own), Some(others)) if own != others => own > others,
            (Some(_), Some(_)) => self.report_number > other.report_number,
            _ => false,
        }
    }
}

/// Whether a backend server accepts new requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, EnumString, Serialize, Deserialize)]
#[strum(serialize_all = "snake_case")]
pub enum ServerPhase {
    /// The server accepts requests.
    Ready,
    /// The server finishes its current requests and then stops.
    Draining,
    /// A response of the server said that it is leaving. Holds until the server starts
    /// again, whatever its registration says.
    Leaving,
}

/// One incarnation of a backend server.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct ServerIncarnation {
    /// Identifier of the server.
    pub id: Arc<str>,
    /// Start time of the server; see [`ServerEntry::born_ms`].
    pub born_ms: Option<u64>,
}

impl From<&ServerEntry> for ServerIncarnation {
    fn from(entry: &ServerEntry) -> Self {
        Self { id: entry.id.clone(), born_ms: entry.born_ms }
    }
}

/// What a response of a server says about the server itself.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ServerNotice {
    /// Whether the server is leaving and must get no new requests.
    pub is_leaving: bool,
    /// Pause that the server asks for after it has refused a request.
    pub pause: PauseRequest,
    /// Limit on its requests that the server names.
    pub limit: LimitNotice,
    /// Time for which the server says that it stays cold.
    pub cold_for: Option<Duration>,
}

/// Pause between requests that a server asks for.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum PauseRequest {
    /// The server asks for no pause.
    #[default]
    None,
    /// The server wants no requests for this time.
    For(Duration),
    /// The server asks for a pause in a form that can't be read.
    Unreadable,
}

/// What a response says about the limit on a server's requests.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum LimitNotice {
    /// The response is not known to come from the server.
    #[default]
    Unknown,
    /// The server names no limit.
    Unlimited,
    /// The server takes at most this many requests from all nodes together.
    Limited(RequestRate),
    /// The server names a limit in a form that can't be read.
    Unreadable,
}

/// A number of requests per second, in thousandths.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct RequestRate(u64);

impl RequestRate {
    /// The highest rate.
    pub const MAX: Self = Self(u64::MAX);

    /// Returns the requests per second.
    #[must_use]
    pub fn per_second(self) -> f64 {
        self.0 as f64 / 1000.0
    }
}

impl TryFrom<f64> for RequestRate {
    type Error = InvalidRate;

    /// Converts requests per second, rounded up to thousandths.
    fn try_from(per_second: f64) -> Result<Self, InvalidRate> {
        if per_second.is_nan() || per_second < 0.0 {
            return Err(InvalidRate);
        }
        Ok(Self((per_second * 1000.0).ceil() as u64))
    }
}

/// A number that is no rate: negative or not a number.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct InvalidRate;

/// Local settings of a node.
#[derive(Clone, Debug, PartialEq)]
pub struct NodeSettings {
    /// Name of the machine.
    pub node: String,
    /// Availability zone of the machine.
    pub zone: Arc<str>,
    /// Listen address for client requests.
    pub caller_listener: SocketAddr,
    /// Listen address for the load balancer's readiness checks.
    pub readiness_listener: SocketAddr,
    /// First port of the range for traffic between nodes.
    pub peer_port: u16,
    /// Address of the platform's store.
    pub store: SocketAddr,
    /// Share of a core that the process may use.
    pub cpu_share: f64,
    /// Bandwidth of the machine's link, in Mbit/s.
    pub link_mbps: f64,
    /// Memory that the process may use, if it is limited.
    pub memory_bytes: Option<usize>,
    /// Descriptors that the process may have open, if they are limited.
    pub max_descriptors: Option<usize>,
    /// Bounds on shutdown time and extra requests.
    pub bounds: ServiceBounds,
}

/// Bounds that the tier guarantees to its users: on the time until a change takes effect,
/// on shutdown time and extra requests.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ServiceBounds {
    /// Time within which a change in the store must take effect on every node.
    pub spread: Duration,
    /// Time from SIGTERM to SIGKILL.
    pub grace: Duration,
    /// Extra requests (retries and hedges) that are allowed per first request to a service.
    pub retry_ratio: f64,
    /// Extra requests to a service that are allowed per window on top of the ratio.
    pub retry_slack: f64,
    /// Length of that window, if it is stated.
    pub retry_window: Option<Duration>,
    /// Tolerance of the limits on client accounts, if there are any.
    pub quota: Option<QuotaBounds>,
    /// Tolerance of the limits on cold servers, if there are any.
    pub cold: Option<ColdBounds>,
    /// Time within which an evacuation of a zone must take effect on every node, if zones
    /// are evacuated.
    pub evacuation: Option<Duration>,
}

/// Tolerance of the limits on client accounts: in any window, all nodes together may pass on
/// `(rate * window + burst) * (1 + over) + slack` requests.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct QuotaBounds {
    /// Length of the window.
    pub window: Duration,
    /// Tolerated excess, as a fraction.
    pub over: f64,
    /// Requests that are tolerated on top.
    pub slack: f64,
}

/// Tolerance of the limits on cold servers: in any second, all nodes together may send
/// `rate * over + slack` requests.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ColdBounds {
    /// Factor on the rate.
    pub over: f64,
    /// Requests that are tolerated on top.
    pub slack: f64,
}
