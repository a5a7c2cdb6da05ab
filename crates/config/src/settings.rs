//! Settings of the daemon: the validated form of its settings file.

mod checker;
mod document;
mod error;
mod section;

use std::{net::SocketAddr, time::Duration};

use strum::{Display, EnumString};

use self::{
    checker::{Checked, SettingsChecker},
    document::{GossipDocument, LeaseDocument, LimitsDocument, StopDocument},
    section::Located,
};
pub use self::{
    document::SettingsDocument,
    error::{SettingsError, SettingsFault},
};
use crate::names::{NodeName, RegionName, ZoneName};

/// Maximum value of a duration setting, in milliseconds.
const MAX_DURATION_MS: u64 = 600_000;

/// Smallest header buffer that the HTTP library accepts, in bytes.
const MIN_HEADER_BYTES: u64 = 8 * 1024;

/// Upper bound of the setting `limits.header_bytes`, in bytes.
const MAX_HEADER_BYTES: u64 = 256 * 1024;

/// Upper bound of the setting `limits.body_bytes`, in bytes.
const MAX_BODY_BYTES: u64 = 1024 * 1024;

/// Validated settings of one daemon.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Settings {
    /// Name of the node.
    pub node: NodeName,
    /// Region of the node.
    pub region: RegionName,
    /// Availability zone of the node.
    pub zone: ZoneName,
    /// Address of the listener for callers.
    pub callers: SocketAddr,
    /// Address of the listener for operators and the load balancer.
    pub operators: SocketAddr,
    /// Address of the listener for other nodes.
    pub peers: SocketAddr,
    /// Address that other nodes connect to, if it differs from the listener's.
    pub peers_advertised: Option<SocketAddr>,
    /// Address of the platform's object API.
    pub platform: SocketAddr,
    /// Peer addresses to contact before the first response from the platform.
    pub seeds: Vec<SocketAddr>,
    /// Address to which metrics are sent over UDP.
    pub metrics: Option<SocketAddr>,
    /// Minimum severity of log lines.
    pub log_level: LogLevel,
    /// Timing of leases.
    pub lease: LeaseSettings,
    /// Timing of gossip between nodes.
    pub gossip: GossipSettings,
    /// Limits on requests.
    pub limits: LimitSettings,
    /// Timing of a graceful stop.
    pub stop: StopSettings,
    /// Nodes among which the slots of every backend server are statically split;
    /// if absent, slots are assigned by grants.
    pub split: Option<SplitSettings>,
}

/// Minimum severity of the log lines that are written.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Display, EnumString)]
#[strum(serialize_all = "lowercase")]
pub enum LogLevel {
    /// Disables logging.
    Off,
    /// Errors that require an operator's attention.
    Error,
    /// Errors that the node recovers from by itself.
    Warn,
    /// State changes.
    #[default]
    Info,
    /// Every request.
    Debug,
    /// Every step of a request.
    Trace,
}

/// Timing of leases.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LeaseSettings {
    /// Time for which a lease is valid after a renewal.
    pub term: Duration,
    /// Interval between renewals.
    pub renew_interval: Duration,
    /// Safety margin for clocks that run at different rates.
    pub clock_drift: Duration,
    /// Delay between closing an expired lease and reassigning its grants.
    pub fence_delay: Duration,
}

/// Timing of gossip between nodes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct GossipSettings {
    /// Interval between gossip rounds.
    pub interval: Duration,
    /// Number of peers that an update is sent to in each round.
    pub fanout: usize,
    /// Time without a message from a peer after which it is considered unreachable.
    pub peer_timeout: Duration,
}

/// Limits on requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LimitSettings {
    /// Maximum size of a request body, in bytes.
    pub body_bytes: usize,
    /// Maximum size of a request's header section, in bytes.
    pub header_bytes: usize,
    /// Maximum number of requests from callers that the node processes at the same
    /// time.
    pub in_flight: usize,
    /// Maximum number of requests queued for one backend server.
    pub queue_per_server: usize,
    /// Time within which a request's header section must be received, and again its
    /// body.
    pub header_timeout: Duration,
}

/// Timing of a graceful stop.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StopSettings {
    /// Maximum time to wait for callers' requests to complete and grants to be handed
    /// over, and again for the streams of peers to end.
    pub drain_timeout: Duration,
    /// Time between reporting not ready and closing the callers' listener.
    pub notice_period: Duration,
}

/// Nodes of a static split, which serves only as a baseline for comparisons.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SplitSettings {
    /// All nodes of the region, including this one.
    pub nodes: Vec<NodeName>,
}

impl Settings {
    /// Parses and validates a settings file; `label` names the file in error
    /// messages.
    ///
    /// # Errors
    ///
    /// Returns all errors in the file together, each with its line.
    pub fn parse(label: &str, text: &str) -> Result<Self, SettingsError> {
        Self::try_from(SettingsDocument::read(label, text))
    }
}

impl TryFrom<SettingsDocument> for Settings {
    type Error = SettingsError;

    fn try_from(document: SettingsDocument) -> Result<Self, SettingsError> {
        let mut checker = SettingsChecker::new(document.faults);
        let node = checker.name("node", document.node);
        let region = checker.name("region", document.region);
        let zone = checker.name("zone", document.zone);
        let callers = checker.address("callers", document.callers.as_ref());
        let operators = checker.address("operators", document.operators.as_ref());
        let peers = checker.address("peers", document.peers.as_ref());
        let peers_advertised =
            checker.remote_address("peers_advertised", document.peers_advertised.as_ref());
        let platform = checker.remote_address("platform", document.platform.as_ref());
        let metrics = checker.remote_address("metrics", document.metrics.as_ref());
        let addresses: Vec<_> =
            [callers, operators, peers, platform, metrics].into_iter().flatten().collect();
        checker.require_distinct(&addresses);
        check_advertised(&mut checker, &[operators, peers]);
        let seeds = check_seeds(&mut checker, &document.seeds);
        let log_level = check_log_level(&mut checker, document.log_level.as_ref());
        let lease = check_lease(&mut checker, &document.lease);
        let gossip = check_gossip(&mut checker, &document.gossip);
        let limits = check_limits(&mut checker, &document.limits);
        let stop = check_stop(&mut checker, &document.stop);
        let split = check_split(&mut checker, &document.split.nodes, node.as_ref());
        let checked = (|| {
            Some(Self {
                node: node?,
                region: region?,
                zone: zone?,
                callers: callers?.value,
                operators: operators?.value,
                peers: peers?.value,
                peers_advertised: peers_advertised.map(|peers| peers.value),
                platform: platform?.value,
                seeds,
                metrics: metrics.map(|metrics| metrics.value),
                log_level,
                lease,
                gossip,
                limits,
                stop,
                split,
            })
        })();
        let faults = checker.into_faults();
        match checked {
            Some(settings) if faults.is_empty() => Ok(settings),
            _ => Err(SettingsError::new(&document.label, faults)),
        }
    }
}

/// Requires the listeners whose addresses are advertised to others to have a
/// definite IP address.
fn check_advertised(checker: &mut SettingsChecker, listeners: &[Option<Checked<SocketAddr>>]) {
    for listener in listeners.iter().flatten() {
        if !listener.value.ip().is_unspecified() {
            continue;
        }
        let message = format!(
            "{} has an unspecified IP address, expected one that other hosts can connect to",
            listener.value
        );
        checker.fault(listener.line.unwrap_or(1), listener.key, message);
    }
}

fn check_seeds(checker: &mut SettingsChecker, texts: &[Located<String>]) -> Vec<SocketAddr> {
    let mut checked = Vec::with_capacity(texts.len());
    for text in texts {
        checked.extend(checker.remote_address("seeds", Some(text)));
    }
    checker.require_distinct(&checked);
    checked.into_iter().map(|seed| seed.value).collect()
}

fn check_log_level(checker: &mut SettingsChecker, text: Option<&Located<String>>) -> LogLevel {
    let Some(text) = text else { return LogLevel::default() };
    let Ok(level) = text.value.parse() else {
        let message =
            format!("{:?} is not one of off, error, warn, info, debug and trace", text.value);
        checker.fault(text.line, "log_level", message);
        return LogLevel::default();
    };
    level
}

fn check_lease(checker: &mut SettingsChecker, document: &LeaseDocument) -> LeaseSettings {
    let term = checker.number("lease.term_ms", document.term_ms, 6_000, 100..=MAX_DURATION_MS);
    let renew = checker.number("lease.renew_ms", document.renew_ms, 2_000, 10..=MAX_DURATION_MS);
    let drift = checker.number("lease.drift_ms", document.drift_ms, 500, 1..=MAX_DURATION_MS);
    let fence = checker.number("lease.fence_ms", document.fence_ms, 2_000, 1..=MAX_DURATION_MS);
    checker.require_less(renew, term);
    checker.require_less(drift, term);
    checker.require_less(fence, term);
    LeaseSettings {
        term: term.millis(),
        renew_interval: renew.millis(),
        clock_drift: drift.millis(),
        fence_delay: fence.millis(),
    }
}

fn check_gossip(checker: &mut SettingsChecker, document: &GossipDocument) -> GossipSettings {
    let interval = checker.number("gossip.interval_ms", document.interval_ms, 500, 10..=60_000);
    let fanout = checker.number("gossip.fanout", document.fanout, 3, 1..=64);
    let timeout = checker.number(
        "gossip.peer_timeout_ms",
        document.peer_timeout_ms,
        3_000,
        10..=MAX_DURATION_MS,
    );
    checker.require_less(interval, timeout);
    GossipSettings {
        interval: interval.millis(),
        fanout: fanout.count(),
        peer_timeout: timeout.millis(),
    }
}

fn check_limits(checker: &mut SettingsChecker, document: &LimitsDocument) -> LimitSettings {
    let body = checker.number("limits.body_bytes", document.body_bytes, 65_536, 1..=MAX_BODY_BYTES);
    let header = checker.number(
        "limits.header_bytes",
        document.header_bytes,
        16_384,
        MIN_HEADER_BYTES..=MAX_HEADER_BYTES,
    );
    let in_flight = checker.number("limits.in_flight", document.in_flight, 4_096, 1..=1_000_000);
    let queue =
        checker.number("limits.queue_per_server", document.queue_per_server, 64, 1..=65_535);
    let timeout = checker.number(
        "limits.header_timeout_ms",
        document.header_timeout_ms,
        5_000,
        10..=MAX_DURATION_MS,
    );
    LimitSettings {
        body_bytes: body.count(),
        header_bytes: header.count(),
        in_flight: in_flight.count(),
        queue_per_server: queue.count(),
        header_timeout: timeout.millis(),
    }
}

fn check_stop(checker: &mut SettingsChecker, document: &StopDocument) -> StopSettings {
    let drain = checker.number(
        "stop.drain_timeout_ms",
        document.drain_timeout_ms,
        20_000,
        1..=MAX_DURATION_MS,
    );
    let notice = checker.number("stop.notice_ms", document.notice_ms, 1_000, 0..=MAX_DURATION_MS);
    checker.require_less(notice, drain);
    StopSettings { drain_timeout: drain.millis(), notice_period: notice.millis() }
}

fn check_split(
    checker: &mut SettingsChecker,
    texts: &[Located<String>],
    own_node: Option<&NodeName>,
) -> Option<SplitSettings> {
    let first = texts.first()?;
    let mut nodes: Vec<NodeName> = Vec::with_capacity(texts.len());
    for text in texts {
        let Some(node) = checker.name("split.nodes", Some(text.clone())) else { continue };
        if nodes.contains(&node) {
            checker.fault(text.line, "split.nodes", format!("node {node} is listed twice"));
            continue;
        }
        nodes.push(node);
    }
    let own_node = own_node?;
    if !nodes.contains(own_node) {
        checker.fault(
            first.line,
            "split.nodes",
            format!("this node ({own_node}) is not in the list"),
        );
    }
    Some(SplitSettings { nodes })
}
