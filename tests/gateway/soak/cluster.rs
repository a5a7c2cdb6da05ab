//! The test cluster of one run: gateway processes, stand-ins and links, and the
//! injection of faults into them.

use std::{
    fs,
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicUsize, Ordering},
    },
    time::{Duration, Instant},
};

use carobstep_bench::HttpClient;
use serde_json::{Value, json};
use tokio::{task::JoinSet, time::sleep};

use super::{
    caller::{
        CallKind, CallLog, CallRecord, run_caller, run_crashing_caller, run_order_caller, send,
    },
    faults::{FAULT_TIME, FaultKind, FaultPlan, ServerGroup},
};
use crate::{
    backend::{HEALTH_PATH, ServerFault, StandinServer},
    node::GatewayNode,
    relay::{LinkFault, LinkRelay},
    store::{StandinStore, StoreFault},
};

/// Number of gateways: two in the zone of the servers, two in a zone without servers.
pub const NODES: usize = 4;

/// Number of shards of a search.
pub const SHARDS: usize = 6;

/// Number of servers of each shard and of the single service.
pub const SERVERS: usize = 3;

/// Maximum number of servers that one request may reach, for each shard.
pub const ATTEMPTS: usize = 2;

/// Minimum fraction of the shards that a response must include.
pub const MIN_SHARE: f64 = 0.6;

/// Number of concurrent callers.
const CALLERS: usize = 8;

/// Number of concurrent callers that send long orders beside planned work.
const ORDER_CALLERS: usize = 8;

/// Longest time from SIGTERM to the exit of a process, as in its settings.
const GRACE_PERIOD: Duration = Duration::from_secs(6);

/// Time after SIGTERM during which a node still accepts requests, until the load
/// balancer stops sending them.
const ROTATION_TIME: Duration = Duration::from_millis(2_500);

/// Time after the last fault within which all nodes serve requests again.
const RECOVERY_TIME: Duration = Duration::from_secs(6);

/// Number of requests of each kind sent to each node after the recovery, all of which
/// must be served.
const FINAL_REQUESTS: usize = 5;

/// Time span of a fault that affects a node or all nodes.
#[derive(Clone, Copy, Debug)]
pub struct FaultInterval {
    /// The affected node; `None` if the fault may affect all.
    pub node: Option<usize>,
    pub from: Instant,
    pub to: Instant,
    /// Whether the node was unable to respond during this time.
    pub is_down: bool,
}

/// Beginning of a server's drain, as acknowledged by the store.
#[derive(Clone, Debug)]
pub struct Drain {
    pub server: String,
    pub at: Instant,
}

/// Time span in which a server named a limit on its requests.
#[derive(Clone, Debug)]
pub struct LimitInterval {
    pub server: String,
    pub per_second: f64,
    pub from: Instant,
    pub to: Instant,
}

/// Time span in which a request crashed every server.
#[derive(Clone, Copy, Debug)]
pub struct CrashInterval {
    pub round: usize,
    pub from: Instant,
    pub to: Instant,
}

/// A backend server and the link to it.
pub struct LinkedServer {
    pub server: StandinServer,
    pub service: String,
    pub relay: LinkRelay,
}

pub struct TestCluster {
    pub store: StandinStore,
    pub servers: Vec<LinkedServer>,
    pub fault_intervals: Vec<FaultInterval>,
    pub drains: Vec<Drain>,
    pub limits: Vec<LimitInterval>,
    pub crashes: Vec<CrashInterval>,
    /// Violations that were detected during the run.
    pub violations: Vec<String>,
    nodes: Vec<GatewayNode>,
    /// One address of the store for each node.
    store_addresses: Vec<StandinStore>,
    /// Links from the nodes to their addresses of the store.
    store_links: Vec<LinkRelay>,
    /// Links to the nodes from their peers.
    peer_links: Vec<LinkRelay>,
    /// Number of the round in which a request crashes every server; 0 if there is none.
    crash_round: Arc<AtomicUsize>,
    version: u64,
    started_servers: u64,
    started_at: [Instant; NODES],
    /// When each node was last paused or resumed.
    paused_at: [Option<Instant>; NODES],
}

/// An active fault and the time at which it ends.
struct ActiveFault {
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
        "timeout_ms": 800, "goal_ms": 150 + version / 3 % 3, "priority": 1, "attempts": ATTEMPTS,
        "gather": &shards, "top_k": 4, "oldest_version": MIN_SHARE,
    });
    let mut long = single("long", "non_idempotent");
    long["timeout_ms"] = json!(8_000);
    long["goal_ms"] = json!(6_000);
    let names = shards.iter().map(String::as_str).chain(["single"]);
    let services: Vec<_> = names
        .map(|name| json!({ "name": name, "health_path": HEALTH_PATH, "max_conns": 40 }))
        .collect();
    json!({
        "version": version,
        "routes": [search, single("fetch", "idempotent"), single("order", "non_idempotent"), long],
        "services": services,
        "limits": { "max_header_bytes": 16384, "max_body_bytes": 65536,
            "header_timeout_ms": 3000, "idle_timeout_ms": 5000 },
    })
}

impl TestCluster {
    pub async fn start() -> Self {
        let store = StandinStore::start().await;
        let mut cluster = Self {
            store: store.clone(),
            servers: Vec::new(),
            fault_intervals: Vec::new(),
            drains: Vec::new(),
            limits: Vec::new(),
            crashes: Vec::new(),
            crash_round: Arc::default(),
            violations: Vec::new(),
            nodes: Vec::new(),
            store_addresses: Vec::new(),
            store_links: Vec::new(),
            peer_links: Vec::new(),
            version: 1,
            started_servers: 0,
            started_at: [Instant::now(); NODES],
            paused_at: [None; NODES],
        };
        for index in 0..SERVERS * (SHARDS + 1) {
            let server = cluster.start_server(&service_of(index)).await;
            let relay = LinkRelay::start(server.address).await;
            cluster.servers.push(LinkedServer { server, service: service_of(index), relay });
            cluster.register(index, "ready");
        }
        store.put("config", "main", configuration(cluster.version));
        for index in 0..NODES {
            let address = store.second_address().await;
            let link = LinkRelay::start(address.address).await;
            let zone = if index < NODES / 2 { "a" } else { "b" };
            let node = GatewayNode::start(&format!("front-{zone}-{index}"), zone, link.address);
            let peer_link = LinkRelay::start(node.peers).await;
            store.alias(node.peers, peer_link.address);
            cluster.nodes.push(node);
            cluster.store_addresses.push(address);
            cluster.store_links.push(link);
            cluster.peer_links.push(peer_link);
        }
        for node in &cluster.nodes {
            node.wait_ready().await;
        }
        cluster
    }

    async fn start_server(&mut self, service: &str) -> StandinServer {
        self.started_servers += 1;
        StandinServer::start_per_request(&format!("i-{service}-{}", self.started_servers), service)
            .await
    }

    fn register(&self, index: usize, state: &str) {
        let LinkedServer { server, service, relay } = &self.servers[index];
        let entry = json!({
            "service": service, "addr": relay.address.to_string(), "zone": "a", "version": "v1",
            "slots": 4, "state": state, "cold_left_ms": 0, "seq": 1, "born": 1_700_000_000_000u64,
        });
        self.store.put("servers", &server.id, entry);
    }

    /// Injects the faults under load, and returns all requests.
    pub async fn run(&mut self, plan: &FaultPlan) -> Vec<CallRecord> {
        let log = CallLog::default();
        let stop = Arc::new(AtomicBool::new(false));
        let addresses: Vec<_> = self.nodes.iter().map(|node| node.callers).collect();
        let mut callers = JoinSet::new();
        for number in 0..CALLERS {
            callers.spawn(run_caller(number, addresses.clone(), log.clone(), stop.clone()));
        }
        callers.spawn(run_crashing_caller(
            addresses.clone(),
            self.crash_round.clone(),
            log.clone(),
            stop.clone(),
        ));
        if plan.is_planned_work {
            for number in 0..ORDER_CALLERS {
                let (addresses, log) = (addresses.clone(), log.clone());
                callers.spawn(run_order_caller(number, addresses, log, stop.clone()));
            }
        }
        let start = Instant::now();
        let mut active: Vec<ActiveFault> = Vec::new();
        let mut planned = plan.faults.iter().peekable();
        while planned.peek().is_some() || !active.is_empty() {
            sleep(Duration::from_millis(10)).await;
            let now = Instant::now();
            while let Some(fault) = planned.next_if(|fault| start + fault.at <= now) {
                if self.start_fault(fault.kind).await {
                    let ends = now + fault.duration;
                    active.push(ActiveFault { ends, began: now, kind: fault.kind });
                }
            }
            let mut remaining = Vec::new();
            for fault in active {
                if now < fault.ends || !self.has_ended(&fault) {
                    remaining.push(fault);
                } else {
                    self.end_fault(&fault).await;
                }
            }
            active = remaining;
        }
        sleep(RECOVERY_TIME.max((start + FAULT_TIME).saturating_duration_since(Instant::now())))
            .await;
        stop.store(true, Ordering::Relaxed);
        while callers.join_next().await.is_some() {}
        let mut calls = log.take();
        calls.extend(self.check_recovery(&addresses).await);
        calls
    }

    /// Injects a fault; returns whether it has to be ended later.
    async fn start_fault(&mut self, kind: FaultKind) -> bool {
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
            FaultKind::StoreDownForNode { node, fault } => {
                self.store_addresses[node].set_fault(fault)
            }
            FaultKind::StoreDown { fault } => {
                self.store_addresses.iter().for_each(|address| address.set_fault(fault));
            }
            FaultKind::Compact => {
                self.store.compact();
                return false;
            }
            FaultKind::ServerLink { server, link } => self.servers[server].relay.set_fault(link),
            // All servers do the same while a request crashes them.
            FaultKind::Servers { .. } | FaultKind::Limit { .. } if self.is_crashing() => {
                return false;
            }
            FaultKind::Servers { group, fault } => self.set_servers(group, fault),
            FaultKind::Limit { group, rate } => {
                self.set_servers(group, ServerFault::Limited(rate));
            }
            FaultKind::Crash => {
                self.crash_round.store(self.crashes.len() + 1, Ordering::Relaxed);
                for group in (0..=SHARDS).map(ServerGroup::Service) {
                    self.set_servers(group, ServerFault::CrashOnRequest);
                }
            }
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

    /// Ends a fault and records its interval where it may affect callers.
    async fn end_fault(&mut self, fault: &ActiveFault) {
        match fault.kind {
            FaultKind::Stop { node } => {
                // The node still responds until the load balancer has noticed the stop.
                self.restart(node, fault, ROTATION_TIME);
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
                self.record_fault(Some(node), fault, true);
            }
            FaultKind::PeerLink { node, .. } => {
                self.peer_links[node].set_fault(LinkFault::None);
                self.record_fault(None, fault, false);
            }
            FaultKind::StoreLink { node, .. } => {
                self.store_links[node].set_fault(LinkFault::None);
                self.record_fault(None, fault, false);
            }
            FaultKind::StoreDownForNode { node, .. } => {
                self.store_addresses[node].set_fault(StoreFault::None);
                self.record_fault(None, fault, false);
            }
            FaultKind::StoreDown { .. } => {
                for address in &self.store_addresses {
                    address.set_fault(StoreFault::None);
                }
                self.record_fault(None, fault, false);
            }
            FaultKind::ServerLink { server, .. } => {
                self.servers[server].relay.set_fault(LinkFault::None);
                self.record_fault(None, fault, false);
            }
            FaultKind::Servers { group, .. } => self.set_servers(group, self.usual_fault()),
            FaultKind::Limit { group, rate } => {
                self.record_limit(group, rate, fault.began);
                self.set_servers(group, self.usual_fault());
            }
            FaultKind::Crash => {
                let round = self.crash_round.swap(0, Ordering::Relaxed);
                let to = Instant::now();
                self.crashes.push(CrashInterval { round, from: fault.began, to });
                for group in (0..=SHARDS).map(ServerGroup::Service) {
                    self.set_servers(group, ServerFault::None);
                }
            }
            FaultKind::Replace { server } => self.replace(server).await,
            FaultKind::Reload { .. } | FaultKind::Compact | FaultKind::Configure => {}
        }
    }

    fn is_crashing(&self) -> bool {
        self.crash_round.load(Ordering::Relaxed) > 0
    }

    /// Returns the fault of servers that have no other one.
    fn usual_fault(&self) -> ServerFault {
        if self.is_crashing() { ServerFault::CrashOnRequest } else { ServerFault::None }
    }

    /// Records that the servers of a group named a limit until now, unless a later fault
    /// has ended it.
    fn record_limit(&mut self, group: ServerGroup, rate: &'static str, from: Instant) {
        let current = self.servers.iter().take(SERVERS * (SHARDS + 1)).enumerate();
        for (_, LinkedServer { server, .. }) in current.filter(|(index, _)| group.contains(*index))
        {
            if server.fault() == ServerFault::Limited(rate) {
                let per_second = rate.parse().expect("a rate");
                let (server, to) = (server.id.clone(), Instant::now());
                self.limits.push(LimitInterval { server, per_second, from, to });
            }
        }
    }

    fn set_servers(&self, group: ServerGroup, fault: ServerFault) {
        // Replaced servers follow after the current ones.
        let current = self.servers.iter().take(SERVERS * (SHARDS + 1)).enumerate();
        for (_, linked) in current.filter(|(index, _)| group.contains(*index)) {
            linked.server.set_fault(fault);
        }
    }

    fn signal(&mut self, node: usize, name: &str) {
        if self.nodes[node].exit_status().is_none() {
            self.nodes[node].signal(name);
        }
    }

    /// Records that a fault lasted until now, for one node or for all.
    fn record_fault(&mut self, node: Option<usize>, fault: &ActiveFault, is_down: bool) {
        let (from, to) = (fault.began, Instant::now());
        self.fault_intervals.push(FaultInterval { node, from, to, is_down });
    }

    /// Whether a fault can end: a stopped node has exited, or its grace period is over.
    fn has_ended(&mut self, fault: &ActiveFault) -> bool {
        let FaultKind::Stop { node } = fault.kind else { return true };
        if self.started_at[node] > fault.began || self.nodes[node].exit_status().is_some() {
            return true;
        }
        if Instant::now() < fault.began + GRACE_PERIOD + Duration::from_millis(500) {
            return false;
        }
        // A paused process can't exit.
        if self.paused_at[node].is_none_or(|at| at < fault.began) {
            self.violations.push(format!("STOP: node {node} still runs after its grace period"));
        }
        true
    }

    /// Restarts a node that was stopped or killed, unless the end of another fault has
    /// done so.
    fn restart(&mut self, node: usize, fault: &ActiveFault, serving_time: Duration) {
        if self.started_at[node] <= fault.began {
            self.nodes[node].kill();
            self.nodes[node].restart();
            self.started_at[node] = Instant::now();
        }
        self.record_fault(Some(node), fault, false);
        let from = fault.began + serving_time;
        let down = FaultInterval { node: Some(node), from, to: Instant::now(), is_down: true };
        self.fault_intervals.push(down);
    }

    /// Removes a drained server and starts a new one in its place. A server of another
    /// service gets its address.
    async fn replace(&mut self, index: usize) {
        let service = self.servers[index].service.clone();
        self.store.remove("servers", &self.servers[index].server.id);
        let next = self.start_server(&service).await;
        next.set_fault(self.usual_fault());
        let relay = LinkRelay::start(next.address).await;
        let unrelated = self.start_server("unrelated").await;
        self.servers[index].relay.set_target(unrelated.address);
        let old = std::mem::replace(
            &mut self.servers[index],
            LinkedServer { server: next, service, relay },
        );
        self.register(index, "ready");
        let relay = old.relay.clone();
        self.servers.push(old);
        self.servers.push(LinkedServer {
            server: unrelated,
            service: "unrelated".to_owned(),
            relay,
        });
    }

    /// Checks that every node serves every kind of request after the last fault, and
    /// returns these requests.
    async fn check_recovery(&mut self, addresses: &[std::net::SocketAddr]) -> Vec<CallRecord> {
        let client = HttpClient::default();
        let mut calls = Vec::new();
        for node in 0..NODES {
            if let Some(status) = self.nodes[node].exit_status() {
                self.violations.push(format!("FAULT: node {node} exited by itself: {status}"));
                continue;
            }
            for kind in [CallKind::Search, CallKind::Fetch, CallKind::Order] {
                for number in 0..FINAL_REQUESTS {
                    let id = format!("final-{node}-{kind:?}-{number}");
                    calls.push(send(&client, addresses, node, kind, id).await);
                }
            }
        }
        let served =
            |call: &CallRecord| matches!(&call.response, Ok(response) if response.status == 200);
        for call in calls.iter().filter(|call| !served(call)) {
            let response = call.response.as_ref().map(|response| response.status);
            self.violations
                .push(format!("RECOVER: {} of node {}: {response:?}", call.id, call.node));
        }
        calls
    }

    /// Copies the logs of the nodes to a directory that outlives the run.
    pub fn keep_logs(&self, seed: u64) {
        let dir = std::env::temp_dir().join(format!("carobstep-soak-{seed}"));
        let copied = fs::create_dir_all(&dir).and_then(|()| {
            for (number, node) in self.nodes.iter().enumerate() {
                fs::copy(node.log_path(), dir.join(format!("node-{number}.log")))?;
            }
            Ok(())
        });
        match copied {
            Ok(()) => eprintln!("logs of seed {seed}: {}", dir.display()),
            Err(error) => eprintln!("copying the logs of seed {seed} failed: {error}"),
        }
    }
}
