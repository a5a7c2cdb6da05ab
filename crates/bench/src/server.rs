//! Backend server stand-ins of a deployment: arguments, faults and reports.

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

/// Parameters and process of one backend server.
#[derive(Clone, Debug)]
pub struct ServerPlan {
    /// Name of the server.
    pub name: String,
    /// Service that the server belongs to.
    pub service: String,
    /// Availability zone of the server.
    pub zone: &'static str,
    /// Address of the listener for requests.
    pub address: SocketAddr,
    /// Address of the control listener, for faults and reports.
    pub control: SocketAddr,
    /// Slot limit.
    pub slots: u16,
    /// Connection limit.
    pub connections: u16,
    /// Mean service time.
    pub service_time: Duration,
    /// Time to establish a connection.
    pub connect_delay: Duration,
    /// One-way network delay to the server.
    pub path_delay: Duration,
    /// The process that hosts the server; `None` before its start.
    pub process: Option<ProcessKey>,
}

/// Counts that a backend server recorded.
#[derive(Clone, Debug, Default, PartialEq, Eq, Deserialize)]
pub struct ServerReport {
    /// Requests whose execution started.
    pub executed: u64,
    /// Requests whose execution was cancelled.
    #[serde(default)]
    pub cancelled: u64,
    /// Number of started executions, by request id and by idempotency key.
    #[serde(default)]
    pub executions: IndexMap<String, u64>,
    /// Largest number of requests that ran concurrently.
    pub peak_running: u64,
    /// Largest number of connections that were open concurrently.
    pub peak_connections: u64,
    /// Connections opened since the start.
    #[serde(default)]
    pub connections_opened: u64,
    /// Number of times that a limit was exceeded.
    pub violations: u64,
    /// Requests shed.
    #[serde(default)]
    pub shed: u64,
    /// Requests refused because the server is draining.
    #[serde(default)]
    pub draining: u64,
}

impl ServerPlan {
    /// Plans the backend servers of a scenario. The replicas of a service are
    /// spread over the zones, and the servers evenly over the zones.
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
                    name: format!("{service}-{}", letter_suffix(number)),
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

    /// Returns the value of the stand-in's `--server` argument.
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

    /// Sets the faults that the server injects.
    ///
    /// # Errors
    ///
    /// Fails when the stand-in rejects them.
    pub async fn set_faults(&self, client: &HttpClient, faults: &Value) -> Result<(), BenchError> {
        let call = HttpCall::post("/standin/faults", faults);
        client.call_json(self.control, &call).await.map(drop)
    }

    /// Reads the server's report.
    ///
    /// # Errors
    ///
    /// Fails when the stand-in does not respond, or when its report is malformed.
    pub async fn report(&self, client: &HttpClient) -> Result<ServerReport, BenchError> {
        self.read(client, "/standin/report").await
    }

    /// Reads the server's report without the executions by key.
    ///
    /// # Errors
    ///
    /// Fails for the same reasons as [`ServerPlan::report`].
    pub async fn summary(&self, client: &HttpClient) -> Result<ServerReport, BenchError> {
        self.read(client, "/standin/summary").await
    }

    async fn read(&self, client: &HttpClient, path: &str) -> Result<ServerReport, BenchError> {
        let value = client.call_json(self.control, &HttpCall::get(path)).await?;
        serde_json::from_value(value).map_err(|error| {
            let message = format!("report of {}: {error}", self.name);
            BenchError::new(BenchErrorKind::Response, message)
        })
    }
}

/// Returns a number as letters: `a` to `z`, then `aa`, `ab` and so on.
fn letter_suffix(number: usize) -> String {
    const ALPHABET: &[u8; 26] = b"abcdefghijklmnopqrstuvwxyz";
    let last = char::from(ALPHABET[number % ALPHABET.len()]);
    match number / ALPHABET.len() {
        0 => last.to_string(),
        more => format!("{}{last}", letter_suffix(more - 1)),
    }
}
