//! Sends counter increments to a statsd server.

use std::{
    net::{SocketAddr, UdpSocket},
    sync::Arc,
    time::Duration,
};

use cadence::{BufferedUdpMetricSink, Counted, QueuingMetricSink, StatsdClient};
use indexmap::IndexMap;
use tokio::time::interval;

use crate::{
    counters::CounterSet,
    error::{NodeError, NodeErrorKind},
};

/// Interval between two reports.
const REPORT_INTERVAL: Duration = Duration::from_secs(1);

/// Prefix of every metric.
const METRIC_PREFIX: &str = "carobstep";

/// Builds a client that sends to `address` and tags each metric with the node's
/// name.
///
/// # Errors
///
/// Fails if no local socket can be bound or the metric sink can't be built.
pub fn build_client(address: SocketAddr, node: &str) -> Result<StatsdClient, NodeError> {
    let local = if address.is_ipv4() { "0.0.0.0:0" } else { "[::]:0" };
    let fail = |text: String| {
        NodeError::new(NodeErrorKind::Metrics, format!("metrics address {address}: {text}"))
    };
    let socket = UdpSocket::bind(local).map_err(|error| fail(error.to_string()))?;
    socket.set_nonblocking(true).map_err(|error| fail(error.to_string()))?;
    let sink =
        BufferedUdpMetricSink::from(address, socket).map_err(|error| fail(error.to_string()))?;
    let sink = QueuingMetricSink::from(sink);
    Ok(StatsdClient::builder(METRIC_PREFIX, sink).with_tag("node", node).build())
}

/// Sends the increments of all counters at a fixed interval. Never returns.
pub async fn report(client: StatsdClient, counters: Arc<CounterSet>) {
    let mut sent: IndexMap<String, u64> = IndexMap::new();
    let mut ticks = interval(REPORT_INTERVAL);
    loop {
        ticks.tick().await;
        for (name, value) in counters.read() {
            let before = sent.insert(name.clone(), value).unwrap_or(0);
            if value == before {
                continue;
            }
            // Metrics are best effort: a failed send must not affect requests.
            let _ = client.count(&name, value - before);
        }
    }
}
