//! Backend servers of a deployment: their flags, faults and reports.

use std::{net::SocketAddr, time::Duration};

use indexmap::IndexMap;
use serde::Deserialize;
use serde_json::Value;

use crate::{
    address::free_address,
    error::{BenchError, BenchErrorKind},
    http::{HttpCall, HttpClient},
    process::ProcessKey,
    scenario::ScenarioPlan,
};

/// One backend server: what it is started with.
#[derive(Clone, Debug)]
pub struct ServerPlan {
    /// Name of the server.
    pub name: String,
    /// Service it belongs to.
    pub service: String,
    /// Its availability zone.
    pub zone: &'static str,
    /// Listener for requests.
    pub address: SocketAddr,
    /// Listener for faults and the report.
    pub control: SocketAddr,
    /// Lent slots.
    pub slots: u16,
    /// Lent connections.
    pub connections: u16,
    /// Mean service time.
    pub service_time: Duration,
    /// Time that a new connection costs.
    pub connect_delay: Duration,
    /// One-way delay of the path to it.
    pub path_delay: Duration,
    /// The process that hosts it.
    pub process: Option<ProcessKey>,
}

/// What a backend server recorded.
#[derive(Clone, Debug, Default, PartialEq, Eq, Deserialize)]
pub struct ServerReport {
    /// Requests whose work was started.
    pub executed: u64,
    /// Requests whose work was stopped before its end.
    #[serde(default)]
    pub cancelled: u64,
    /// Started work by request id and by idempotency key.
    #[serde(default)]
    pub executions: IndexMap<String, u64>,
    /// Most requests that ran at the same time.
    pub peak_running: u64,
    /// Most connections that were open at the same time.
    pub peak_connections: u64,
    /// Connections opened since the start.
    #[serde(default)]
    pub connections_opened: u64,
    /// Times a lent limit was exceeded.
    pub violations: u64,
    /// Requests shed.
    #[serde(default)]
    pub shed: u64,
    /// Requests refused because the server leaves.
    #[serde(default)]
    pub draining: u64,
}

impl ServerPlan {
    /// The backend servers of a scenario; replicas of a service lie in
    /// different zones, and the zones carry equal numbers.
    ///
    /// # Errors
    ///
    /// Fails when no address is free.
    pub fn plan(plan: &ScenarioPlan) -> Result<Vec<Self>, BenchError> {
        let mut servers = Vec::new();
        for (position, (service, group)) in plan.services().enumerate() {
            for number in 0..group.servers {
                let zone = plan.zones[(position + number) % plan.zones.len()];
                servers.push(Self {
                    name: format!("{service}-{}", letters(number)),
                    service: service.clone(),
                    zone,
                    address: free_address()?,
                    control: free_address()?,
                    slots: group.slots,
                    connections: group.connections,
                    service_time: group.service_time,
                    connect_delay: group.connect_delay,
                    path_delay: plan.server_delay,
                    process: None,
                });
            }
        }
        Ok(servers)
    }

    /// The stand-in's `--server` argument.
    #[must_use]
    pub fn argument(&self, seed: u64, snapshots: &[u64]) -> String {
        let snapshots: Vec<String> = snapshots.iter().map(u64::to_string).collect();
        format!(
            "name={},address={},control={},slots={},connections={},service-us={},\
             connect-delay-us={},delay-us={},seed={seed},snapshots={}",
            self.name,
            self.address,
            self.control,
            self.slots,
            self.connections,
            self.service_time.as_micros(),
            self.connect_delay.as_micros(),
            self.path_delay.as_micros(),
            snapshots.join("+"),
        )
    }

    /// Sets faults of the server.
    ///
    /// # Errors
    ///
    /// Fails when the stand-in does not accept them.
    pub async fn faults(&self, client: &HttpClient, faults: &Value) -> Result<(), BenchError> {
        let call = HttpCall::post("/standin/faults", faults);
        client.expect(self.control, &call).await.map(drop)
    }

    /// Reads what the server recorded.
    ///
    /// # Errors
    ///
    /// Fails when the stand-in does not answer or its report is malformed.
    pub async fn report(&self, client: &HttpClient) -> Result<ServerReport, BenchError> {
        self.read(client, "/standin/report").await
    }

    /// Reads what the server recorded, without the single executions.
    ///
    /// # Errors
    ///
    /// Fails like [`ServerPlan::report`].
    pub async fn summary(&self, client: &HttpClient) -> Result<ServerReport, BenchError> {
        self.read(client, "/standin/summary").await
    }

    async fn read(&self, client: &HttpClient, path: &str) -> Result<ServerReport, BenchError> {
        let value = client.expect(self.control, &HttpCall::get(path)).await?;
        serde_json::from_value(value).map_err(|error| {
            let message = format!("report of {}: {error}", self.name);
            BenchError::new(BenchErrorKind::Answer, message)
        })
    }
}

/// Spells a number as `a` to `z`, then `aa` and on.
fn letters(number: usize) -> String {
    const ALPHABET: &[u8; 26] = b"abcdefghijklmnopqrstuvwxyz";
    let last = char::from(ALPHABET[number % ALPHABET.len()]);
    match number / ALPHABET.len() {
        0 => last.to_string(),
        more => format!("{}{last}", letters(more - 1)),
    }
}
