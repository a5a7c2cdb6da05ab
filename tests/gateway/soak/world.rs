//! The processes, stand-ins and links of one run, and how faults reach them.

use std::{
    fs,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    time::{Duration, Instant},
};

use carobstep_bench::HttpClient;
use serde_json::{Value, json};
use tokio::{task::JoinSet, time::sleep};

use super::{
    caller::{CallKind, CallLog, CallRecord, run_caller, send},
    faults::{FAULT_TIME, FaultKind, FaultPlan, ServerGroup},
};
use crate::{
    backend::{ServerFault, StandinServer},
    node::GatewayNode,
    relay::{LinkFault, LinkRelay},
    store::{StandinStore, StoreFault},
};

/// Gateways: two in the zone of the servers, two in one without.
pub const NODES: usize = 4;

/// Shards of a search.
pub const SHARDS: usize = 6;

/// Servers of each shard and of the single service.
pub const SERVERS: usize = 3;

/// Servers that one request may reach, for each shard.
pub const ATTEMPTS: usize = 2;

/// Least share of the shards that an answer must include.
pub const LEAST_SHARE: f64 = 0.6;

/// Callers.
const CALLERS: usize = 8;

/// Longest time from SIGTERM to the end of a process, as in its settings.
const GRACE: Duration = Duration::from_secs(6);

/// Time after SIGTERM in which a node still takes what the balancer sends.
const ROTATION: Duration = Duration::from_millis(2_500);

/// Time after the last fault in which the nodes are back to service.
const RECOVERY: Duration = Duration::from_secs(6);

/// Requests of each kind to each node that must all be served in the end.
const FINAL_REQUESTS: usize = 5;

/// Something that was done to a node or to all of them.
#[derive(Clone, Copy, Debug)]
pub struct Disturbance {
    /// The node, `None` for all.
    pub node: Option<usize>,
    pub from: Instant,
    pub to: Instant,
    /// Whether it kept the process from answering.
    pub is_down: bool,
}

/// A server's drain, from the store's acknowledgement on.
#[derive(Clone, Debug)]
pub struct Drain {
    pub server: String,
    pub at: Instant,
}

/// A server and the link to it.
pub struct LinkedServer {
    pub server: StandinServer,
    pub service: String,
    pub relay: LinkRelay,
}

pub struct SoakWorld {
    pub store: StandinStore,
    pub servers: Vec<LinkedServer>,
    pub disturbances: Vec<Disturbance>,
    pub drains: Vec<Drain>,
    /// Promises that were seen broken on the way.
    pub broken: Vec<String>,
    nodes: Vec<GatewayNode>,
    /// One address of the store for each node, and the link to it.
    store_addresses: Vec<StandinStore>,
    store_links: Vec<LinkRelay>,
    peer_links: Vec<LinkRelay>,
    version: u64,
    births: u64,
    started_at: [Instant; NODES],
    /// When each node was last frozen or woken.
    paused_at: [Option<Instant>; NODES],
}

/// A fault that goes on, and when it ends.
struct OpenFault {
    ends: Instant,
    began: Instant,
    kind: FaultKind,
}

pub fn service_of(index: usize) -> String {
    let shard = index / SERVERS;
    if shard < SHARDS { format!("shard-{shard}") } else { "single".to_owned() }
}

fn configuration(version: u64) -> Value {
    let shards: Vec<String> = (0..SHARDS).map(|shard| format!("shard-{shard}")).collect();
    let single = |name: &str, kind: &str| {
        json!({
            "name": name, "host": "127.0.0.1", "path_prefix": format!("/{name}/"), "type": kind,
            "timeout_ms": 800, "goal_ms": 300, "priority": 2, "attempts": ATTEMPTS,
            "service": "single",
        })
    };
    let search = json!({
        "name": "search", "host": "127.0.0.1", "path_prefix": "/search/", "type": "idempotent",
        "timeout_ms": 800, "goal_ms": 150 + version % 3, "priority": 1, "attempts": ATTEMPTS,
        "gather": shards, "top_k": 4, "oldest_version": LEAST_SHARE,
    });
    json!({
        "version": version,
        "routes": [search, single("fetch", "idempotent"), single("order", "non_idempotent")],
        "services": [{ "name": "single", "health_path": "/healthz", "max_conns": 40 }],
        "limits": { "max_header_bytes": 16384, "max_body_bytes": 65536,
            "header_timeout_ms": 3000, "idle_timeout_ms": 5000 },
    })
}

impl SoakWorld {
    pub async fn start() -> Self {
        let store = StandinStore::start().await;
        let mut world = Self {
            store: store.clone(),
            servers: Vec::new(),
            disturbances: Vec::new(),
            drains: Vec::new(),
            broken: Vec::new(),
            nodes: Vec::new(),
            store_addresses: Vec::new(),
            store_links: Vec::new(),
            peer_links: Vec::new(),
            version: 1,
            births: 0,
            started_at: [Instant::now(); NODES],
            paused_at: [None; NODES],
        };
        for index in 0..SERVERS * (SHARDS + 1) {
            let server = world.start_server(&service_of(index)).await;
            let relay = LinkRelay::start(server.address).await;
            world.servers.push(LinkedServer { server, service: service_of(index), relay });
            world.register(index, "ready");
        }
        store.put("config", "main", configuration(world.version));
        for index in 0..NODES {
            let address = store.second_address().await;
            let link = LinkRelay::start(address.address).await;
            let zone = if index < NODES / 2 { "a" } else { "b" };
            let node = GatewayNode::start(&format!("front-{zone}-{index}"), zone, link.address);
            let peer_link = LinkRelay::start(node.peers).await;
            store.alias(node.peers, peer_link.address);
            world.nodes.push(node);
            world.store_addresses.push(address);
            world.store_links.push(link);
            world.peer_links.push(peer_link);
        }
        for node in &world.nodes {
            node.wait_ready().await;
        }
        world
    }

    async fn start_server(&mut self, service: &str) -> StandinServer {
        self.births += 1;
        StandinServer::start_personal(&format!("i-{service}-{}", self.births), service).await
    }

    fn register(&self, index: usize, state: &str) {
        let LinkedServer { server, service, relay } = &self.servers[index];
        let entry = json!({
            "service": service, "addr": relay.address.to_string(), "zone": "a", "version": "v1",
            "slots": 4, "state": state, "cold_left_ms": 0, "seq": 1, "born": 1_700_000_000_000u64,
        });
        self.store.put("servers", &server.id, entry);
    }

    /// Plays the faults under load and returns every request.
    pub async fn run(&mut self, plan: &FaultPlan) -> Vec<CallRecord> {
        let log = CallLog::default();
        let stop = Arc::new(AtomicBool::new(false));
        let addresses: Vec<_> = self.nodes.iter().map(|node| node.callers).collect();
        let mut callers = JoinSet::new();
        for number in 0..CALLERS {
            callers.spawn(run_caller(number, addresses.clone(), log.clone(), stop.clone()));
        }
        let start = Instant::now();
        let mut open: Vec<OpenFault> = Vec::new();
        let mut planned = plan.faults.iter().peekable();
        while planned.peek().is_some() || !open.is_empty() {
            sleep(Duration::from_millis(10)).await;
            let now = Instant::now();
            while let Some(fault) = planned.next_if(|fault| start + fault.at <= now) {
                if self.begin(fault.kind).await {
                    let ends = now + fault.lasts;
                    open.push(OpenFault { ends, began: now, kind: fault.kind });
                }
            }
            let mut still = Vec::new();
            for fault in open {
                if now < fault.ends || !self.has_ended(&fault) {
                    still.push(fault);
                } else {
                    self.end(&fault).await;
                }
            }
            open = still;
        }
        sleep(RECOVERY.max((start + FAULT_TIME).saturating_duration_since(Instant::now()))).await;
        stop.store(true, Ordering::Relaxed);
        while callers.join_next().await.is_some() {}
        let mut calls = log.take();
        calls.extend(self.check_recovery(&addresses).await);
        calls
    }

    /// Begins a fault; returns whether it has to be ended.
    async fn begin(&mut self, kind: FaultKind) -> bool {
        match kind {
            FaultKind::Stop { node } => self.signal(node, "TERM"),
            FaultKind::Kill { node } => self.nodes[node].kill(),
            FaultKind::KillAll => self.nodes.iter_mut().for_each(GatewayNode::kill),
            FaultKind::Pause { node } => {
                self.signal(node, "STOP");
                self.paused_at[node] = Some(Instant::now());
            }
            FaultKind::Reload { node } => {
                self.signal(node, "HUP");
                return false;
            }
            FaultKind::PeerLink { node, link } => self.peer_links[node].set_fault(link),
            FaultKind::StoreLink { node, link } => self.store_links[node].set_fault(link),
            FaultKind::StoreRefuses { node, fault } => self.store_addresses[node].set_fault(fault),
            FaultKind::StoreDown { fault } => {
                self.store_addresses.iter().for_each(|address| address.set_fault(fault));
            }
            FaultKind::Compact => {
                self.store.compact();
                return false;
            }
            FaultKind::ServerLink { server, link } => self.servers[server].relay.set_fault(link),
            FaultKind::Servers { group, fault } => self.set_servers(group, fault),
            FaultKind::Replace { server } => {
                self.register(server, "draining");
                let id = self.servers[server].server.id.clone();
                self.drains.push(Drain { server: id, at: Instant::now() });
            }
            FaultKind::Configure => {
                self.version += 3;
                self.store.put("config", "main", configuration(self.version));
                return false;
            }
        }
        true
    }

    async fn end(&mut self, fault: &OpenFault) {
        match fault.kind {
            FaultKind::Stop { node } => {
                // It still answers what comes while the balancer notices.
                self.restart(node, fault, ROTATION);
            }
            FaultKind::Kill { node } => self.restart(node, fault, Duration::ZERO),
            FaultKind::KillAll => {
                for node in 0..NODES {
                    self.restart(node, fault, Duration::ZERO);
                }
            }
            FaultKind::Pause { node } => {
                self.signal(node, "CONT");
                self.paused_at[node] = Some(Instant::now());
                self.disturbed(Some(node), fault, true);
            }
            FaultKind::PeerLink { node, .. } => {
                self.peer_links[node].set_fault(LinkFault::None);
                self.disturbed(None, fault, false);
            }
            FaultKind::StoreLink { node, .. } => {
                self.store_links[node].set_fault(LinkFault::None);
                self.disturbed(None, fault, false);
            }
            FaultKind::StoreRefuses { node, .. } => {
                self.store_addresses[node].set_fault(StoreFault::None);
                self.disturbed(None, fault, false);
            }
            FaultKind::StoreDown { .. } => {
                for address in &self.store_addresses {
                    address.set_fault(StoreFault::None);
                }
                self.disturbed(None, fault, false);
            }
            FaultKind::ServerLink { server, .. } => {
                self.servers[server].relay.set_fault(LinkFault::None);
                self.disturbed(None, fault, false);
            }
            FaultKind::Servers { group, .. } => self.set_servers(group, ServerFault::None),
            FaultKind::Replace { server } => self.replace(server).await,
            FaultKind::Reload { .. } | FaultKind::Compact | FaultKind::Configure => {}
        }
    }

    fn set_servers(&self, group: ServerGroup, fault: ServerFault) {
        // Behind the first ones are those that were replaced.
        let current = self.servers.iter().take(SERVERS * (SHARDS + 1)).enumerate();
        for (_, linked) in current.filter(|(index, _)| group.has(*index)) {
            linked.server.set_fault(fault);
        }
    }

    fn signal(&mut self, node: usize, name: &str) {
        if self.nodes[node].exit_status().is_none() {
            self.nodes[node].signal(name);
        }
    }

    fn disturbed(&mut self, node: Option<usize>, fault: &OpenFault, is_down: bool) {
        let (from, to) = (fault.began, Instant::now());
        self.disturbances.push(Disturbance { node, from, to, is_down });
    }

    /// Whether the process of a stopped node is gone, or has had its time for that.
    fn has_ended(&mut self, fault: &OpenFault) -> bool {
        let FaultKind::Stop { node } = fault.kind else { return true };
        if self.started_at[node] > fault.began || self.nodes[node].exit_status().is_some() {
            return true;
        }
        if Instant::now() < fault.began + GRACE + Duration::from_millis(500) {
            return false;
        }
        // A frozen process can't end.
        if self.paused_at[node].is_none_or(|at| at < fault.began) {
            self.broken.push(format!("STOP: node {node} still runs after its grace"));
        }
        true
    }

    /// Starts a node again that was stopped or killed, unless another fault's end
    /// has done so.
    fn restart(&mut self, node: usize, fault: &OpenFault, serves_on: Duration) {
        if self.started_at[node] <= fault.began {
            self.nodes[node].kill();
            self.nodes[node].restart();
            self.started_at[node] = Instant::now();
        }
        self.disturbed(Some(node), fault, false);
        let from = fault.began + serves_on;
        let down = Disturbance { node: Some(node), from, to: Instant::now(), is_down: true };
        self.disturbances.push(down);
    }

    /// Has a drained server leave; one of another service gets its address, and
    /// a new one takes its place.
    async fn replace(&mut self, index: usize) {
        let service = self.servers[index].service.clone();
        self.store.remove("servers", &self.servers[index].server.id);
        let next = self.start_server(&service).await;
        let relay = LinkRelay::start(next.address).await;
        let stranger = self.start_server("stranger").await;
        self.servers[index].relay.set_target(stranger.address);
        let old = std::mem::replace(
            &mut self.servers[index],
            LinkedServer { server: next, service, relay },
        );
        self.register(index, "ready");
        let relay = old.relay.clone();
        self.servers.push(old);
        self.servers.push(LinkedServer { server: stranger, service: "stranger".to_owned(), relay });
    }

    /// Every node serves every kind of request once nothing is wrong any more.
    async fn check_recovery(&mut self, addresses: &[std::net::SocketAddr]) -> Vec<CallRecord> {
        let client = HttpClient::default();
        let mut calls = Vec::new();
        for node in 0..NODES {
            if let Some(status) = self.nodes[node].exit_status() {
                self.broken.push(format!("FAULT: node {node} ended by itself: {status}"));
                continue;
            }
            for kind in [CallKind::Search, CallKind::Fetch, CallKind::Order] {
                for number in 0..FINAL_REQUESTS {
                    let id = format!("final-{node}-{kind:?}-{number}");
                    calls.push(send(&client, addresses, node, kind, id).await);
                }
            }
        }
        let served = |call: &CallRecord| matches!(&call.answer, Ok(answer) if answer.status == 200);
        for call in calls.iter().filter(|call| !served(call)) {
            let answer = call.answer.as_ref().map(|answer| answer.status);
            self.broken.push(format!("RECOVER: {} of node {}: {answer:?}", call.id, call.node));
        }
        calls
    }

    /// Copies the logs of the nodes to where they outlive the run.
    pub fn keep_logs(&self, seed: u64) {
        let dir = std::env::temp_dir().join(format!("carobstep-soak-{seed}"));
        let kept = fs::create_dir_all(&dir).and_then(|()| {
            for (number, node) in self.nodes.iter().enumerate() {
                fs::copy(node.log_path(), dir.join(format!("node-{number}.log")))?;
            }
            Ok(())
        });
        match kept {
            Ok(()) => eprintln!("logs of seed {seed}: {}", dir.display()),
            Err(error) => eprintln!("logs of seed {seed} are not kept: {error}"),
        }
    }
}
