//! Gauges of a node, read when the metrics are scraped.

use std::time::Duration;

use carobstep_tier::ExtraUse;
use prometheus::{IntGauge, Registry};

/// Gauges, set when the metrics are scraped.
pub(super) struct Gauges {
    version: IntGauge,
    servers: IntGauge,
    nodes: IntGauge,
    in_flight: IntGauge,
    store_age_ms: IntGauge,
    store_era: IntGauge,
    ready: IntGauge,
    client_accounts: IntGauge,
    short_accounts: IntGauge,
    quarantined_requests: IntGauge,
    limited_servers: IntGauge,
    failing_servers: IntGauge,
    evacuated_zones: IntGauge,
    paced_servers: IntGauge,
    unreachable_zones: IntGauge,
    lost_servers: IntGauge,
    nodes_without_links: IntGauge,
    extra_paid: IntGauge,
    extra_refused: IntGauge,
    extra_pooled: IntGauge,
    caller_connections: IntGauge,
    caller_bytes: IntGauge,
}

/// Values for the gauges.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct GaugeReadings {
    pub(crate) version: u64,
    pub(crate) servers: usize,
    pub(crate) nodes: u32,
    pub(crate) in_flight: usize,
    pub(crate) store_age: Duration,
    pub(crate) store_era: u64,
    pub(crate) ready: bool,
    pub(crate) client_accounts: usize,
    pub(crate) short_accounts: usize,
    pub(crate) quarantined_requests: usize,
    pub(crate) limited_servers: usize,
    pub(crate) failing_servers: usize,
    pub(crate) evacuated_zones: usize,
    pub(crate) paced_servers: usize,
    pub(crate) unreachable_zones: usize,
    pub(crate) lost_servers: usize,
    pub(crate) nodes_without_links: usize,
    pub(crate) extra_use: ExtraUse,
    /// Connections of callers, and the bytes that they hold beyond what each one may hold.
    pub(crate) callers: (usize, usize),
}

impl Gauges {
    /// Creates the gauges and adds them to the registry.
    pub(super) fn register(registry: &Registry) -> Result<Self, prometheus::Error> {
        let gauge = |name: &str, help: &str| {
            let gauge = IntGauge::new(name, help)?;
            registry.register(Box::new(gauge.clone()))?;
            Ok::<_, prometheus::Error>(gauge)
        };
        Ok(Self {
            version: gauge("carobstep_configuration_version", "Configuration in force.")?,
            servers: gauge("carobstep_servers", "Backend servers that are believed to exist.")?,
            nodes: gauge("carobstep_nodes", "Nodes that share the limits.")?,
            in_flight: gauge("carobstep_requests_in_flight", "Requests not answered yet.")?,
            store_age_ms: gauge(
                "carobstep_store_age_milliseconds",
                "Time since the store's last word, by way of peers or not.",
            )?,
            store_era: gauge("carobstep_store_era", "Times that the store was restored.")?,
            quarantined_requests: gauge(
                "carobstep_quarantined_requests",
                "Requests that are not sent because servers crashed under them.",
            )?,
            limited_servers: gauge(
                "carobstep_limited_servers",
                "Backend servers that name a limit on their requests.",
            )?,
            failing_servers: gauge(
                "carobstep_failing_servers",
                "Backend servers that failed lately, as seen by the nodes of this zone.",
            )?,
            paced_servers: gauge(
                "carobstep_paced_servers",
                "Backend servers that get fewer requests, since they started or recovered.",
            )?,
            evacuated_zones: gauge(
                "carobstep_evacuated_zones",
                "Availability zones whose servers get no requests.",
            )?,
            unreachable_zones: gauge(
                "carobstep_unreachable_zones",
                "Availability zones whose servers this node can't reach.",
            )?,
            lost_servers: gauge(
                "carobstep_lost_servers",
                "Backend servers that don't respond to this node.",
            )?,
            nodes_without_links: gauge(
                "carobstep_nodes_without_links",
                "Nodes, with this one, that can't reach the servers of some zone.",
            )?,
            extra_paid: gauge(
                "carobstep_extra_requests_paid",
                "Retries and hedges that the retry budgets paid for.",
            )?,
            extra_refused: gauge(
                "carobstep_extra_requests_refused",
                "Times that a retry budget could not pay for a retry or hedge.",
            )?,
            extra_pooled: gauge(
                "carobstep_extra_tokens_pooled",
                "Tokens that this node got from retry budgets that nodes share by demand.",
            )?,
            client_accounts: gauge(
                "carobstep_client_accounts",
                "Client accounts of the configuration in force.",
            )?,
            short_accounts: gauge(
                "carobstep_short_accounts",
                "Client accounts of whose limit few tokens are left, as far as known here.",
            )?,
            caller_connections: gauge(
                "carobstep_caller_connections",
                "Open connections of callers.",
            )?,
            caller_bytes: gauge(
                "carobstep_caller_bytes",
                "Bytes of large requests and unread answers of callers.",
            )?,
            ready: gauge("carobstep_ready", "Whether the balancer is told that it is ready.")?,
        })
    }

    pub(super) fn set(&self, readings: GaugeReadings) {
        self.version.set(i64::try_from(readings.version).unwrap_or(i64::MAX));
        self.servers.set(readings.servers as i64);
        self.nodes.set(i64::from(readings.nodes));
        self.in_flight.set(readings.in_flight as i64);
        let age = i64::try_from(readings.store_age.as_millis()).unwrap_or(i64::MAX);
        self.store_age_ms.set(age);
        self.store_era.set(i64::try_from(readings.store_era).unwrap_or(i64::MAX));
        self.ready.set(i64::from(readings.ready));
        self.client_accounts.set(readings.client_accounts as i64);
        self.short_accounts.set(readings.short_accounts as i64);
        self.quarantined_requests.set(readings.quarantined_requests as i64);
        self.limited_servers.set(readings.limited_servers as i64);
        self.failing_servers.set(readings.failing_servers as i64);
        self.paced_servers.set(readings.paced_servers as i64);
        self.evacuated_zones.set(readings.evacuated_zones as i64);
        self.unreachable_zones.set(readings.unreachable_zones as i64);
        self.lost_servers.set(readings.lost_servers as i64);
        self.nodes_without_links.set(readings.nodes_without_links as i64);
        let count = |number: u64| i64::try_from(number).unwrap_or(i64::MAX);
        self.extra_paid.set(count(readings.extra_use.paid));
        self.extra_refused.set(count(readings.extra_use.refused));
        self.extra_pooled.set(count(readings.extra_use.pooled));
        let (connections, bytes) = readings.callers;
        self.caller_connections.set(connections as i64);
        self.caller_bytes.set(bytes as i64);
    }
}
