//! Settings of the daemon: the checked form of its settings file.

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

/// Longest duration that a setting may ask for, in milliseconds.
const MAX_SPAN_MS: u64 = 600_000;

/// Least size of the header buffer that the HTTP library accepts, in bytes.
const MIN_HEADER_BYTES: u64 = 8 * 1024;

/// Largest size of a header section, in bytes.
const MAX_HEADER_BYTES: u64 = 256 * 1024;

/// Largest request body, in bytes.
const MAX_BODY_BYTES: u64 = 1024 * 1024;

/// Checked settings of one daemon.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Settings {
    /// Name of the node.
    pub node: NodeName,
    /// Region of the node.
    pub region: RegionName,
    /// Availability zone of the node.
    pub zone: ZoneName,
    /// Listener for callers.
    pub callers: SocketAddr,
    /// Listener for operators and the balancer.
    pub operators: SocketAddr,
    /// Listener for other nodes.
    pub peers: SocketAddr,
    /// Address that other nodes use, if it is not that of the listener.
    pub peers_advertised: Option<SocketAddr>,
    /// Address of the platform's object API.
    pub platform: SocketAddr,
    /// Peer addresses to try before the platform has answered.
    pub seeds: Vec<SocketAddr>,
    /// Address that metrics are sent to over UDP.
    pub metrics: Option<SocketAddr>,
    /// Least level of log lines.
    pub log_level: LogLevel,
    /// Timing of leases.
    pub lease: LeaseSettings,
    /// Timing of messages between nodes.
    pub gossip: GossipSettings,
    /// Limits on requests.
    pub limits: LimitSettings,
    /// Timing of a graceful stop.
    pub stop: StopSettings,
    /// Nodes that share the slots of every backend server in a static split;
    /// without them grants decide.
    pub split: Option<SplitSettings>,
}

/// Least level of log lines that are written.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Display, EnumString)]
#[strum(serialize_all = "lowercase")]
pub enum LogLevel {
    /// Nothing is written.
    Off,
    /// Faults that need an operator.
    Error,
    /// Faults that the node handles itself.
    Warn,
    /// Changes of state.
    #[default]
    Info,
    /// Each request.
    Debug,
    /// Each step of a request.
    Trace,
}

/// Timing of leases.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LeaseSettings {
    /// Time that a renewal lasts.
    pub term: Duration,
    /// Time between renewals.
    pub renew: Duration,
    /// Margin for clocks that run at different speeds.
    pub drift: Duration,
    /// Wait between closing a lapsed lease and moving its grants.
    pub fence: Duration,
}

/// Timing of messages between nodes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct GossipSettings {
    /// Time between rounds.
    pub interval: Duration,
    /// Peers that are told in each round.
    pub fanout: usize,
    /// Silence after which a peer counts as unreachable.
    pub peer_timeout: Duration,
}

/// Limits on requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LimitSettings {
    /// Largest request body, in bytes.
    pub body_bytes: usize,
    /// Largest header section, in bytes.
    pub header_bytes: usize,
    /// Requests that the node works on at the same time.
    pub in_flight: usize,
    /// Requests that may wait for one backend server.
    pub queue_per_server: usize,
    /// Time in which a request's header section must have arrived.
    pub header_timeout: Duration,
}

/// Timing of a graceful stop.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StopSettings {
    /// Longest wait for requests in flight.
    pub drain_timeout: Duration,
    /// Time between turning not ready and closing the listeners.
    pub notice: Duration,
}

/// Nodes of a static split, for comparisons only.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SplitSettings {
    /// All nodes of the region, this one among them.
    pub nodes: Vec<NodeName>,
}

impl Settings {
    /// Parses and checks a settings file; `label` names it in messages.
    ///
    /// # Errors
    ///
    /// Reports every fault of the file at once, each with its line.
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
        let fixed: Vec<_> =
            [callers, operators, peers, platform, metrics].into_iter().flatten().collect();
        checker.distinct(&fixed);
        check_advertised(&mut checker, &[operators, peers]);
        let seeds = check_seeds(&mut checker, &document.seeds);
        let log_level = check_level(&mut checker, document.log_level.as_ref());
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

/// Requires listeners whose address is told to others to name an IP number.
fn check_advertised(checker: &mut SettingsChecker, listeners: &[Option<Checked<SocketAddr>>]) {
    for listener in listeners.iter().flatten() {
        if !listener.value.ip().is_unspecified() {
            continue;
        }
        let message = format!("{} names no IP number that others can reach", listener.value);
        checker.fault(listener.line.unwrap_or(1), listener.key, message);
    }
}

fn check_seeds(checker: &mut SettingsChecker, texts: &[Located<String>]) -> Vec<SocketAddr> {
    let mut checked = Vec::with_capacity(texts.len());
    for text in texts {
        checked.extend(checker.remote_address("seeds", Some(text)));
    }
    checker.distinct(&checked);
    checked.into_iter().map(|seed| seed.value).collect()
}

fn check_level(checker: &mut SettingsChecker, text: Option<&Located<String>>) -> LogLevel {
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
    let term = checker.number("lease.term_ms", document.term_ms, 6_000, 100..=MAX_SPAN_MS);
    let renew = checker.number("lease.renew_ms", document.renew_ms, 2_000, 10..=MAX_SPAN_MS);
    let drift = checker.number("lease.drift_ms", document.drift_ms, 500, 1..=MAX_SPAN_MS);
    let fence = checker.number("lease.fence_ms", document.fence_ms, 2_000, 1..=MAX_SPAN_MS);
    checker.less(renew, term);
    checker.less(drift, term);
    checker.less(fence, term);
    LeaseSettings {
        term: term.millis(),
        renew: renew.millis(),
        drift: drift.millis(),
        fence: fence.millis(),
    }
}

fn check_gossip(checker: &mut SettingsChecker, document: &GossipDocument) -> GossipSettings {
    let interval = checker.number("gossip.interval_ms", document.interval_ms, 500, 10..=60_000);
    let fanout = checker.number("gossip.fanout", document.fanout, 3, 1..=64);
    let timeout =
        checker.number("gossip.peer_timeout_ms", document.peer_timeout_ms, 3_000, 10..=MAX_SPAN_MS);
    checker.less(interval, timeout);
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
        10..=MAX_SPAN_MS,
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
    let drain =
        checker.number("stop.drain_timeout_ms", document.drain_timeout_ms, 20_000, 1..=MAX_SPAN_MS);
    let notice = checker.number("stop.notice_ms", document.notice_ms, 1_000, 0..=MAX_SPAN_MS);
    checker.less(notice, drain);
    StopSettings { drain_timeout: drain.millis(), notice: notice.millis() }
}

fn check_split(
    checker: &mut SettingsChecker,
    texts: &[Located<String>],
    own: Option<&NodeName>,
) -> Option<SplitSettings> {
    let first = texts.first()?;
    let mut nodes: Vec<NodeName> = Vec::with_capacity(texts.len());
    for text in texts {
        let Some(node) = checker.name("split.nodes", Some(text.clone())) else { continue };
        if nodes.contains(&node) {
            checker.fault(text.line, "split.nodes", format!("node {node} stands twice"));
            continue;
        }
        nodes.push(node);
    }
    let own = own?;
    if !nodes.contains(own) {
        checker.fault(first.line, "split.nodes", format!("node {own} is not in the list"));
    }
    Some(SplitSettings { nodes })
}
