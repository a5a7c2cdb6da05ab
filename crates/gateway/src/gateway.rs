//! What all tasks of the process share.

use std::{
    cell::RefCell, collections::hash_map::RandomState, hash::BuildHasher, net::SocketAddr, rc::Rc,
    sync::Arc, time::Duration,
};

use carobstep_clock::BootTime;
use carobstep_platform::StoredObject;
use carobstep_store::StoreTransport;
use carobstep_tier::{
    AttemptEnd, Configuration, DirectoryChange, FleetLimits, LifecyclePhase, MachineSettings,
    NodeLifecycle, PeerEntry, PeerTable, RouteTable, SentTicket, ServerDirectory, ServerFleet,
    ServerKey, SplitRotation, StopTiming,
};
use carobstep_wire::PeerPool;
use log::info;
use slotmap::SecondaryMap;
use tokio::{
    net::TcpStream,
    sync::watch,
    task::spawn_local,
    time::{sleep, timeout},
};

use crate::{
    backend::ServerPool,
    follow::StoreFreshness,
    report::{GaugeReadings, Reporter},
};

/// Nodes that are assumed to share the limits until others are known.
const ASSUMED_NODES: u32 = 10;

/// Interval at which silent availability zones are looked for.
const REACH_TICK: Duration = Duration::from_millis(50);

/// Time in which a probed server must accept a connection; zones of a region
/// are a few milliseconds apart.
const PROBE_TIMEOUT: Duration = Duration::from_millis(150);

/// Nodes that are always assumed to share the limits; others may start at any time.
const MIN_NODES: u32 = 4;

/// State of the process; it lives on one thread.
pub(crate) struct Gateway {
    pub(crate) settings: MachineSettings,
    pub(crate) store: StoreTransport,
    pub(crate) reporter: Reporter,
    pub(crate) peer_pool: PeerPool,
    pub(crate) state: RefCell<GatewayState>,
    /// Counts changes that peers want to know.
    pub(crate) changed: watch::Sender<u64>,
    /// When the process started.
    pub(crate) started: BootTime,
    /// Tells this process apart from earlier ones of the node.
    pub(crate) life: u64,
    /// Tells connections to close as soon as they are idle.
    pub(crate) closing: watch::Sender<bool>,
}

/// What the process believes.
pub(crate) struct GatewayState {
    pub(crate) configuration: Rc<Configuration>,
    /// The object that the configuration was read from, for peers.
    pub(crate) configuration_object: Option<StoredObject>,
    pub(crate) freshness: StoreFreshness,
    pub(crate) routes: RouteTable,
    pub(crate) rotation: SplitRotation,
    pub(crate) directory: ServerDirectory,
    pub(crate) fleet: ServerFleet,
    pub(crate) peers: PeerTable,
    /// Number of the last change of the list of nodes.
    pub(crate) node_number: u64,
    /// Number of searches so far.
    pub(crate) searches: usize,
    pub(crate) lifecycle: NodeLifecycle,
    pub(crate) in_flight: usize,
    pools: SecondaryMap<ServerKey, Rc<ServerPool>>,
}

impl Gateway {
    pub(crate) fn new(settings: MachineSettings, reporter: Reporter) -> Self {
        let limits = FleetLimits {
            retry_ratio: settings.bounds.retry_ratio,
            retry_slack: settings.bounds.retry_slack,
            nodes: ASSUMED_NODES,
        };
        let own = PeerEntry {
            name: settings.node.as_str().into(),
            zone: settings.zone.clone(),
            address: SocketAddr::new(settings.callers.ip(), settings.peer_port),
            cpu_share: settings.cpu_share,
            link_mbps: settings.link_mbps,
        };
        // Delegations tell of their peers themselves, so that the news are not needed.
        let (peer_pool, _) = PeerPool::new(Some(settings.callers.ip()));
        let state = GatewayState {
            configuration: Rc::new(Configuration::default()),
            configuration_object: None,
            freshness: StoreFreshness::default(),
            routes: RouteTable::default(),
            rotation: SplitRotation::default(),
            directory: ServerDirectory::default(),
            fleet: ServerFleet::new(settings.zone.clone(), limits),
            peers: PeerTable::new(own),
            node_number: 0,
            searches: 0,
            lifecycle: NodeLifecycle::new(StopTiming::within(settings.bounds.grace)),
            in_flight: 0,
            pools: SecondaryMap::new(),
        };
        Self {
            store: StoreTransport::new(settings.store),
            reporter,
            peer_pool,
            state: RefCell::new(state),
            changed: watch::Sender::new(0),
            started: BootTime::now(),
            life: RandomState::new().hash_one(settings.node.as_str()).max(1),
            closing: watch::Sender::new(false),
            settings,
        }
    }

    /// Puts a configuration in force unless a later one is.
    pub(crate) fn configure(&self, configuration: Configuration, object: StoredObject) {
        let state = &mut *self.state.borrow_mut();
        if configuration.version <= state.configuration.version {
            return;
        }
        info!(
            version = configuration.version, before = state.configuration.version,
            routes = configuration.routes.len();
            "configuration in force"
        );
        state.routes = RouteTable::from(&configuration);
        state.rotation.retain(&configuration);
        state.fleet.configure(BootTime::now(), &configuration);
        state.lifecycle.configuration_known();
        state.configuration = Rc::new(configuration);
        state.configuration_object = Some(object);
        self.tell_peers();
    }

    /// Wakes the peers that wait for news.
    fn tell_peers(&self) {
        self.changed.send_modify(|count| *count += 1);
    }

    /// Takes in changes of the list of servers.
    pub(crate) fn apply_changes(&self, changes: &[DirectoryChange]) {
        if changes.is_empty() {
            return;
        }
        let now = BootTime::now();
        let state = &mut *self.state.borrow_mut();
        for change in changes {
            match change {
                DirectoryChange::Changed(entry) => info!(
                    server = entry.id.as_ref(), service = entry.service.as_ref(),
                    address:% = entry.address, phase:% = entry.phase;
                    "server changed"
                ),
                DirectoryChange::Gone(id) => info!(server = id.as_ref(); "server gone"),
            }
            if let Some(key) = state.fleet.apply(now, change) {
                state.pools.remove(key);
            }
        }
        self.tell_peers();
    }

    /// Takes in a change of the list of nodes.
    pub(crate) fn change_peers(&self, change: impl FnOnce(&mut PeerTable)) {
        let state = &mut *self.state.borrow_mut();
        change(&mut state.peers);
        state.node_number += 1;
        let nodes = state.peers.live_nodes();
        let bounds = self.settings.bounds;
        state.fleet.set_limits(FleetLimits {
            retry_ratio: bounds.retry_ratio,
            retry_slack: bounds.retry_slack,
            nodes: nodes.max(MIN_NODES),
        });
        self.tell_peers();
    }

    /// Takes in the end of an attempt.
    pub(crate) fn attempt_ended(&self, ticket: SentTicket, end: AttemptEnd) {
        self.reporter.count_attempt(end);
        self.state.borrow_mut().fleet.ended(BootTime::now(), ticket, end);
    }

    /// Connections to a server; made when it is first needed.
    pub(crate) fn pool(&self, key: ServerKey) -> Option<Rc<ServerPool>> {
        let state = &mut *self.state.borrow_mut();
        if let Some(pool) = state.pools.get(key) {
            return Some(pool.clone());
        }
        let sight = state.fleet.sight(key)?;
        let pool = Rc::new(ServerPool::new(&sight.entry));
        state.pools.insert(key, pool.clone());
        Some(pool)
    }

    pub(crate) fn phase(&self) -> LifecyclePhase {
        let state = self.state.borrow();
        state.lifecycle.phase(BootTime::now(), state.in_flight)
    }

    /// Every metric as text.
    pub(crate) fn metrics(&self) -> Vec<u8> {
        let ready = self.phase() == LifecyclePhase::Ready;
        let readings = {
            let state = self.state.borrow();
            GaugeReadings {
                version: state.configuration.version,
                servers: state.fleet.server_count(),
                nodes: state.peers.live_nodes(),
                in_flight: state.in_flight,
                store_age: state.freshness.age(BootTime::now()),
                ready,
            }
        };
        self.reporter.text(readings)
    }

    /// Probes availability zones that went silent, and leaves the balancer's
    /// rotation while unreachable ones keep a route from being served.
    pub(crate) async fn watch_reach(self: Rc<Self>) {
        let mut round = 0;
        loop {
            sleep(REACH_TICK).await;
            let now = BootTime::now();
            let due = self.state.borrow_mut().fleet.reach.due_probes(now);
            for zone in due {
                round += 1;
                let targets = self.state.borrow().fleet.probe_targets(&zone, round);
                for address in targets {
                    self.state.borrow_mut().fleet.reach.probe_sent(&zone);
                    spawn_local(self.clone().probe(zone.clone(), address));
                }
            }
            self.update_reach();
        }
    }

    async fn probe(self: Rc<Self>, zone: Arc<str>, address: SocketAddr) {
        let connecting = timeout(PROBE_TIMEOUT, TcpStream::connect(address)).await;
        let reached = matches!(connecting, Ok(Ok(_)));
        let changed = self.state.borrow_mut().fleet.reach.probe_ended(&zone, reached);
        if changed {
            info!(zone = zone.as_ref(), reached = reached; "availability zone reached or lost");
            self.update_reach();
        }
    }

    fn update_reach(&self) {
        let state = &mut *self.state.borrow_mut();
        let fleet = &state.fleet;
        let cut_off = fleet.reach.any_down()
            && state.configuration.routes.iter().any(|route| fleet.is_route_cut_off(route));
        if state.lifecycle.set_cut_off(cut_off) {
            info!(cut_off = cut_off; "readiness changed with the zones in reach");
        }
    }
}
