//! A scenario as running processes: platform, backend servers and nodes.

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
    address::{free_address, own_address},
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

/// Pause between two looks at a condition that is waited for.
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Backend servers that one process hosts unless the options say otherwise.
const SERVERS_PER_PROCESS: usize = 64;

/// What a deployment is built from.
#[derive(Clone, Debug)]
pub struct DeploymentOptions {
    /// Directory of the programs.
    pub bin_dir: PathBuf,
    /// Directory for settings and logs; created when missing.
    pub run_dir: PathBuf,
    /// Seed of the backend servers' service times.
    pub seed: u64,
    /// Snapshots that the manifest lists and the servers hold.
    pub snapshots: Vec<u64>,
    /// Settings of every node that differ from the defaults, by JSON key.
    pub node_settings: Value,
    /// Budgets of the services whose requests may be repeated.
    pub hedge: HedgeDocument,
    /// Faults that every backend server starts with.
    pub server_faults: Option<Value>,
    /// Whether the nodes split the limits among themselves, without grants.
    pub split: bool,
    /// Backend servers that one process hosts.
    pub servers_per_process: usize,
    /// Whether nodes reach each other through relays, which the caller runs
    /// from [`NodeProcess::peers`] to [`NodeProcess::peers_listener`].
    pub peer_relays: bool,
}

impl DeploymentOptions {
    /// Options with the defaults of a small run.
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
    /// Its availability zone.
    pub zone: &'static str,
    /// Listener for callers.
    pub callers: SocketAddr,
    /// Listener for operators.
    pub operators: SocketAddr,
    /// Address that other nodes use.
    pub peers: SocketAddr,
    /// Listener for peers.
    pub peers_listener: SocketAddr,
    /// Its process; the last one after a restart.
    pub process: Option<ProcessKey>,
    /// Whether its process is frozen.
    pub frozen: bool,
}

/// A running deployment. Dropping it ends every process it started.
#[derive(Debug)]
pub struct Deployment {
    /// The plan it was built from.
    pub plan: ScenarioPlan,
    /// Its nodes.
    pub nodes: Vec<NodeProcess>,
    /// Its backend servers.
    pub servers: Vec<ServerPlan>,
    /// The platform stand-in's listener.
    pub platform: SocketAddr,
    /// Client for callers and control calls.
    pub client: Arc<HttpClient>,
    /// The processes.
    pub group: ProcessGroup,
    pub(crate) options: DeploymentOptions,
}

impl Deployment {
    /// Starts the platform, seeds it, and starts backend servers and nodes.
    ///
    /// # Errors
    ///
    /// Fails when a process does not start or the platform refuses the seed.
    pub async fn start(plan: ScenarioPlan, options: DeploymentOptions) -> Result<Self, BenchError> {
        let mut deployment = Self::prepare(plan, options)?;
        deployment.start_platform().await?;
        deployment.start_servers().await?;
        deployment.seed().await?;
        for position in 0..deployment.nodes.len() {
            deployment.start_node(position).await?;
        }
        Ok(deployment)
    }

    /// Starts platform, seed and backend servers, but no node.
    ///
    /// # Errors
    ///
    /// Fails like [`Deployment::start`].
    pub async fn start_without_nodes(
        plan: ScenarioPlan,
        options: DeploymentOptions,
    ) -> Result<Self, BenchError> {
        let mut deployment = Self::prepare(plan, options)?;
        deployment.start_platform().await?;
        deployment.start_servers().await?;
        deployment.seed().await?;
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
            server.faults(&self.client, faults).await?;
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

    /// Starts a node that does not run, with the settings it had before.
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
    /// Fails when the node does not run.
    pub fn signal_node(
        &mut self,
        position: usize,
        signal: ProcessSignal,
    ) -> Result<(), BenchError> {
        let key = self.node_key(position)?;
        self.nodes[position].frozen = signal == ProcessSignal::Freeze;
        self.group.signal(key, signal)
    }

    /// Waits until a node has exited; returns whether it reported success.
    ///
    /// # Errors
    ///
    /// Fails when it still runs after `timeout`.
    pub async fn wait_node(
        &mut self,
        position: usize,
        timeout: Duration,
    ) -> Result<bool, BenchError> {
        let key = self.node_key(position)?;
        let status = self.group.wait(key, timeout).await?;
        Ok(status.success())
    }

    /// Whether a node's process runs and is not frozen.
    pub fn is_running(&mut self, position: usize) -> bool {
        match self.nodes[position].process {
            Some(key) => !self.nodes[position].frozen && self.group.is_running(key),
            None => false,
        }
    }

    fn node_key(&self, position: usize) -> Result<ProcessKey, BenchError> {
        let node = &self.nodes[position];
        node.process.ok_or_else(|| {
            BenchError::new(BenchErrorKind::Process, format!("{} was never started", node.name))
        })
    }

    /// Waits until every running node is ready and knows a running holder of
    /// every backend server's grant, and every holder knows of its grants. In
    /// a static split every server must be used by some node instead.
    ///
    /// # Errors
    ///
    /// Fails when that takes longer than `timeout`.
    pub async fn wait_ready(&mut self, timeout: Duration) -> Result<(), BenchError> {
        let deadline = time::Instant::now() + timeout;
        loop {
            let Err(missing) = self.check_ready().await else { return Ok(()) };
            if time::Instant::now() >= deadline {
                let message = format!("after {timeout:?}: {missing}");
                return Err(BenchError::new(BenchErrorKind::Timeout, message));
            }
            time::sleep(POLL_INTERVAL).await;
        }
    }

    /// Says what is missing until the deployment is ready.
    async fn check_ready(&mut self) -> Result<(), String> {
        let mut statuses: IndexMap<String, Value> = IndexMap::new();
        for position in 0..self.nodes.len() {
            if !self.is_running(position) {
                continue;
            }
            let node = &self.nodes[position];
            let call = HttpCall::get("/v1/status");
            let status = self.client.expect(node.operators, &call).await;
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
                if !lists(&holder["held"], &server.name) {
                    return Err(format!("{route:?} does not hold {}", server.name));
                }
            }
        }
        Ok(())
    }

    /// Says which server no node has a share of, or is not routed to by a node
    /// that has one.
    fn check_shares(&self, statuses: &IndexMap<String, Value>) -> Result<(), String> {
        for server in &self.servers {
            let mut shared = false;
            for (node, status) in statuses {
                if !lists(&status["held"], &server.name) {
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

    /// Sums the counters of every running node that answers.
    pub async fn counters(&mut self) -> IndexMap<String, u64> {
        let mut sums = IndexMap::new();
        for position in 0..self.nodes.len() {
            if !self.is_running(position) {
                continue;
            }
            let call = HttpCall::get("/v1/counters");
            let Ok(counters) = self.client.expect(self.nodes[position].operators, &call).await
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
            // A relay tells the nodes apart by their IP numbers.
            let peers_listener = if peer_relays { own_address(nodes.len())? } else { peers };
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

fn lists(list: &Value, name: &str) -> bool {
    list.as_array().is_some_and(|list| list.iter().any(|item| item == name))
}

fn output_error(path: &Path, error: &std::io::Error) -> BenchError {
    BenchError::new(BenchErrorKind::Output, format!("{}: {error}", path.display()))
}
