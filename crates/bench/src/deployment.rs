//! Runs a scenario as processes: platform stand-in, backend servers and nodes.

use std::{
    fs,
    net::SocketAddr,
    path::{Path, PathBuf},
    sync::Arc,
    time::Duration,
};

use carobstep_config::HedgeDocument;
use indexmap::IndexMap;
use serde_json::{Value, json};
use tokio::time;

use crate::{
    address::{distinct_address, free_address},
    error::{BenchError, BenchErrorKind},
    http::{HttpCall, HttpClient},
    process::{ProcessGroup, ProcessKey, ProcessSignal},
    scenario::ScenarioPlan,
    server::ServerPlan,
};

/// Program of the platform stand-in.
const PLATFORM_PROGRAM: &str = "carobstep-standin-platform";

/// Program of the backend server stand-in.
const SERVER_PROGRAM: &str = "carobstep-standin-backend";

/// Program of a node.
const NODE_PROGRAM: &str = "carobstepd";

/// Interval at which a condition is polled.
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Default number of backend servers that one process hosts.
const SERVERS_PER_PROCESS: usize = 64;

/// Options of a deployment.
#[derive(Clone, Debug)]
pub struct DeploymentOptions {
    /// Directory that holds the programs.
    pub bin_dir: PathBuf,
    /// Directory for settings and logs; created when it does not exist.
    pub run_dir: PathBuf,
    /// Seed of the backend servers' service times.
    pub seed: u64,
    /// Snapshots that the manifest lists and the backend servers have.
    pub snapshots: Vec<u64>,
    /// Settings of every node that replace the defaults, as a JSON object.
    pub node_settings: Value,
    /// Hedge and retry budgets of the services; the hedge budget applies only to
    /// services whose requests may be repeated.
    pub hedge: HedgeDocument,
    /// Faults that are set on every backend server at the start.
    pub server_faults: Option<Value>,
    /// Whether the limits are split statically over the nodes, without grants.
    pub split: bool,
    /// Number of backend servers that one process hosts.
    pub servers_per_process: usize,
    /// Whether nodes connect to each other through relays. The user of this type
    /// runs the relays, from [`NodeProcess::peers`] to
    /// [`NodeProcess::peers_listener`].
    pub peer_relays: bool,
}

impl DeploymentOptions {
    /// Creates options with the defaults of a small run.
    #[must_use]
    pub fn new(bin_dir: &Path, run_dir: &Path) -> Self {
        Self {
            bin_dir: bin_dir.to_owned(),
            run_dir: run_dir.to_owned(),
            seed: 1,
            snapshots: vec![1],
            node_settings: json!({}),
            hedge: HedgeDocument::default(),
            server_faults: None,
            split: false,
            servers_per_process: SERVERS_PER_PROCESS,
            peer_relays: false,
        }
    }
}

/// One node of a deployment.
#[derive(Clone, Debug)]
pub struct NodeProcess {
    /// Name of the node.
    pub name: String,
    /// Availability zone of the node.
    pub zone: &'static str,
    /// Address of the listener for callers.
    pub callers: SocketAddr,
    /// Address of the listener for operators.
    pub operators: SocketAddr,
    /// Address that other nodes connect to.
    pub peers: SocketAddr,
    /// Address of the listener for peers; differs from `peers` behind a relay.
    pub peers_listener: SocketAddr,
    /// The node's process, the most recent one after a restart; `None` before the
    /// first start.
    pub process: Option<ProcessKey>,
    /// Whether the process is frozen (stopped by `SIGSTOP`).
    pub frozen: bool,
}

/// A running deployment. Dropping it kills every process that it started.
#[derive(Debug)]
pub struct Deployment {
    /// The scenario plan.
    pub plan: ScenarioPlan,
    /// The nodes.
    pub nodes: Vec<NodeProcess>,
    /// The backend servers.
    pub servers: Vec<ServerPlan>,
    /// Address of the platform stand-in's listener.
    pub platform: SocketAddr,
    /// Client for control calls and requests.
    pub client: Arc<HttpClient>,
    /// The child processes.
    pub group: ProcessGroup,
    pub(crate) options: DeploymentOptions,
}

impl Deployment {
    /// Starts the platform stand-in and the backend servers, writes the initial
    /// state to the platform, and starts the nodes.
    ///
    /// # Errors
    ///
    /// Fails when a process does not start, or when the platform rejects the
    /// initial state.
    pub async fn start(plan: ScenarioPlan, options: DeploymentOptions) -> Result<Self, BenchError> {
        let mut deployment = Self::prepare(plan, options)?;
        deployment.start_platform().await?;
        deployment.start_servers().await?;
        deployment.seed_platform().await?;
        for position in 0..deployment.nodes.len() {
            deployment.start_node(position).await?;
        }
        Ok(deployment)
    }

    /// Does the same as [`Deployment::start`], without starting the nodes.
    ///
    /// # Errors
    ///
    /// Fails for the same reasons as [`Deployment::start`].
    pub async fn start_without_nodes(
        plan: ScenarioPlan,
        options: DeploymentOptions,
    ) -> Result<Self, BenchError> {
        let mut deployment = Self::prepare(plan, options)?;
        deployment.start_platform().await?;
        deployment.start_servers().await?;
        deployment.seed_platform().await?;
        Ok(deployment)
    }

    fn prepare(plan: ScenarioPlan, options: DeploymentOptions) -> Result<Self, BenchError> {
        fs::create_dir_all(&options.run_dir)
            .map_err(|error| output_error(&options.run_dir, &error))?;
        Ok(Self {
            nodes: plan_nodes(&plan, options.peer_relays)?,
            servers: ServerPlan::plan(&plan)?,
            platform: free_address()?,
            client: Arc::new(HttpClient::default()),
            group: ProcessGroup::new(&options.bin_dir, &options.run_dir),
            plan,
            options,
        })
    }

    async fn start_platform(&mut self) -> Result<(), BenchError> {
        let args = ["--address".to_owned(), self.platform.to_string()];
        self.group.spawn("platform", PLATFORM_PROGRAM, &args).await?;
        Ok(())
    }

    async fn start_servers(&mut self) -> Result<(), BenchError> {
        for position in 0..self.servers.len().div_ceil(self.options.servers_per_process) {
            self.start_server_process(position).await?;
        }
        let Some(faults) = &self.options.server_faults else { return Ok(()) };
        for server in &self.servers {
            server.set_faults(&self.client, faults).await?;
        }
        Ok(())
    }

    async fn start_server_process(&mut self, position: usize) -> Result<(), BenchError> {
        let count = self.options.servers_per_process;
        let first = position * count;
        let mut args = Vec::new();
        let servers = self.servers.iter().enumerate().skip(first).take(count);
        for (number, server) in servers {
            let seed = self.options.seed.wrapping_add(number as u64);
            args.push("--server".to_owned());
            args.push(server.argument(seed, &self.options.snapshots));
        }
        let label = format!("servers-{position}");
        let (key, _) = self.group.spawn(&label, SERVER_PROGRAM, &args).await?;
        for server in self.servers.iter_mut().skip(first).take(count) {
            server.process = Some(key);
        }
        Ok(())
    }

    /// Starts a node that is not running, with the same settings as before.
    ///
    /// # Errors
    ///
    /// Fails when the process does not print its ready line.
    pub async fn start_node(&mut self, position: usize) -> Result<(), BenchError> {
        let node = &self.nodes[position];
        let path = self.options.run_dir.join(format!("{}.jsonc", node.name));
        let text = self.node_settings(position).to_string();
        fs::write(&path, text).map_err(|error| output_error(&path, &error))?;
        let args = ["--settings".to_owned(), path.display().to_string()];
        let (key, _) = self.group.spawn(&node.name, NODE_PROGRAM, &args).await?;
        self.nodes[position].process = Some(key);
        self.nodes[position].frozen = false;
        Ok(())
    }

    fn node_settings(&self, position: usize) -> Value {
        let node = &self.nodes[position];
        let others = self.nodes.iter().filter(|other| other.name != node.name);
        let seeds: Vec<String> = others.map(|other| other.peers.to_string()).collect();
        let mut settings = json!({
            "node": node.name,
            "region": self.plan.region,
            "zone": node.zone,
            "callers": node.callers.to_string(),
            "operators": node.operators.to_string(),
            "peers": node.peers_listener.to_string(),
            "peers_advertised": node.peers.to_string(),
            "platform": self.platform.to_string(),
            "seeds": seeds,
        });
        if self.options.split {
            let names: Vec<&str> = self.nodes.iter().map(|node| node.name.as_str()).collect();
            settings["split"] = json!({ "nodes": names });
        }
        if let (Some(settings), Some(extra)) =
            (settings.as_object_mut(), self.options.node_settings.as_object())
        {
            for (key, value) in extra {
                settings.insert(key.clone(), value.clone());
            }
        }
        settings
    }

    /// Sends a signal to a node.
    ///
    /// # Errors
    ///
    /// Fails when the node is not running.
    pub fn signal_node(
        &mut self,
        position: usize,
        signal: ProcessSignal,
    ) -> Result<(), BenchError> {
        let key = self.node_key(position)?;
        self.nodes[position].frozen = signal == ProcessSignal::Freeze;
        self.group.signal(key, signal)
    }

    /// Waits until a node has exited; returns whether its exit status was a
    /// success.
    ///
    /// # Errors
    ///
    /// Fails when it is still running after `timeout`.
    pub async fn wait_node(
        &mut self,
        position: usize,
        timeout: Duration,
    ) -> Result<bool, BenchError> {
        let key = self.node_key(position)?;
        let status = self.group.wait(key, timeout).await?;
        Ok(status.success())
    }

    /// Returns whether a node's process is running and not frozen.
    pub fn is_running(&mut self, position: usize) -> bool {
        match self.nodes[position].process {
            Some(key) => !self.nodes[position].frozen && self.group.is_running(key),
            None => false,
        }
    }

    fn node_key(&self, position: usize) -> Result<ProcessKey, BenchError> {
        let node = &self.nodes[position];
        node.process.ok_or_else(|| {
            BenchError::new(
                BenchErrorKind::Process,
                format!("node {} was never started", node.name),
            )
        })
    }

    /// Waits until every running node is ready and routes every backend server
    /// to a running node that holds the server's grant. With a static split,
    /// waits instead until some node has a share of every server, and each node
    /// routes the servers that it has a share of to itself.
    ///
    /// # Errors
    ///
    /// Fails when this takes longer than `timeout`.
    pub async fn wait_ready(&mut self, timeout: Duration) -> Result<(), BenchError> {
        let deadline = time::Instant::now() + timeout;
        loop {
            let Err(reason) = self.check_ready().await else { return Ok(()) };
            if time::Instant::now() >= deadline {
                let message = format!("deployment is not ready after {timeout:?}: {reason}");
                return Err(BenchError::new(BenchErrorKind::Timeout, message));
            }
            time::sleep(POLL_INTERVAL).await;
        }
    }

    /// Checks once whether the deployment is ready; the error says why not.
    async fn check_ready(&mut self) -> Result<(), String> {
        let mut statuses: IndexMap<String, Value> = IndexMap::new();
        for position in 0..self.nodes.len() {
            if !self.is_running(position) {
                continue;
            }
            let node = &self.nodes[position];
            let call = HttpCall::get("/v1/status");
            let status = self.client.call_json(node.operators, &call).await;
            let status = status.map_err(|error| error.to_string())?;
            if status["ready"] != true {
                return Err(format!("node {} is not ready", node.name));
            }
            statuses.insert(node.name.clone(), status);
        }
        if self.options.split {
            return self.check_shares(&statuses);
        }
        for server in &self.servers {
            for (node, status) in &statuses {
                let route = status["routes"][&server.name].as_str();
                let Some(holder) = route.and_then(|holder| statuses.get(holder)) else {
                    return Err(format!("node {node} routes {} to {route:?}", server.name));
                };
                if !contains_name(&holder["held"], &server.name) {
                    return Err(format!("{route:?} does not hold {}", server.name));
                }
            }
        }
        Ok(())
    }

    /// Checks that some node has a share of every server, and that each node
    /// routes the servers that it has a share of to itself.
    fn check_shares(&self, statuses: &IndexMap<String, Value>) -> Result<(), String> {
        for server in &self.servers {
            let mut shared = false;
            for (node, status) in statuses {
                if !contains_name(&status["held"], &server.name) {
                    continue;
                }
                shared = true;
                if status["routes"][&server.name] != node.as_str() {
                    return Err(format!(
                        "node {node} does not route to its share of {}",
                        server.name
                    ));
                }
            }
            if !shared {
                return Err(format!("no node has a share of {}", server.name));
            }
        }
        Ok(())
    }

    /// Returns the sums of the counters over the running nodes, by name; nodes
    /// that do not respond are left out.
    pub async fn counters(&mut self) -> IndexMap<String, u64> {
        let mut sums = IndexMap::new();
        for position in 0..self.nodes.len() {
            if !self.is_running(position) {
                continue;
            }
            let call = HttpCall::get("/v1/counters");
            let Ok(counters) = self.client.call_json(self.nodes[position].operators, &call).await
            else {
                continue;
            };
            let Some(counters) = counters.as_object() else { continue };
            for (name, value) in counters {
                *sums.entry(name.clone()).or_insert(0) += value.as_u64().unwrap_or(0);
            }
        }
        sums.sort_keys();
        sums
    }
}

fn plan_nodes(plan: &ScenarioPlan, peer_relays: bool) -> Result<Vec<NodeProcess>, BenchError> {
    let mut nodes = Vec::new();
    for number in 0..plan.nodes_per_zone {
        for zone in plan.zones {
            let peers = free_address()?;
            // A relay identifies the connecting node by its IP address.
            let peers_listener = if peer_relays { distinct_address(nodes.len())? } else { peers };
            nodes.push(NodeProcess {
                name: format!("{zone}-{number}"),
                zone,
                callers: free_address()?,
                operators: free_address()?,
                peers,
                peers_listener,
                process: None,
                frozen: false,
            });
        }
    }
    Ok(nodes)
}

fn contains_name(list: &Value, name: &str) -> bool {
    list.as_array().is_some_and(|list| list.iter().any(|item| item == name))
}

fn output_error(path: &Path, error: &std::io::Error) -> BenchError {
    BenchError::new(BenchErrorKind::Output, format!("{}: {error}", path.display()))
}
