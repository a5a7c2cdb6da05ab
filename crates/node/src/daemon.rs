//! Starts a node, waits for the signal to stop, and stops it gracefully.

use std::{
    collections::hash_map::RandomState,
    hash::BuildHasher,
    net::SocketAddr,
    sync::{
        Arc, Mutex, OnceLock,
        atomic::{AtomicBool, Ordering},
    },
};

use carobstep_clock::BootTime;
use carobstep_config::{LimitSettings, Settings};
use carobstep_control::{ControlEvent, ControlOptions, ControlState, GossipTiming, LeaseTiming};
use carobstep_dispatch::ServerRouter;
use carobstep_logging::unix_millis;
use carobstep_store::HttpStore;
use carobstep_wire::{PeerPool, serve_peers};
use ractor::Actor;
use serde::Serialize;
use tokio::{
    net::TcpListener,
    signal::unix::{SignalKind, signal},
    sync::{Semaphore, watch},
    task::JoinHandle,
    time::{sleep, timeout},
};

use crate::{
    callers::CallerHandler,
    context::{NodeContext, NodeView},
    control_actor::{ControlActor, ControlArguments},
    counters::CounterSet,
    error::{NodeError, NodeErrorKind},
    holder::HolderRegistry,
    http_listener::{ListenerLimits, serve_http},
    metrics,
    operators::OperatorHandler,
    peer_watch::watch_peers,
    peers::NodePeerHandler,
    split::StaticSplit,
};

/// Largest body of an operator's request, in bytes.
const OPERATOR_BODY_BYTES: usize = 4096;

/// The three listeners of a node, bound before anything else starts.
struct NodeListeners {
    callers: TcpListener,
    operators: TcpListener,
    peers: TcpListener,
}

/// A node in this process: its listeners and the signals that stop them.
///
/// It must be started within a tokio runtime and keeps running until
/// [`RunningNode::stop`].
#[derive(Debug)]
pub struct RunningNode {
    context: Arc<NodeContext>,
    addresses: NodeAddresses,
    stop_callers: watch::Sender<bool>,
    stop_others: watch::Sender<bool>,
    handed_over: watch::Receiver<bool>,
    callers: JoinHandle<()>,
    peers: JoinHandle<()>,
}

/// Addresses that the listeners of a node are bound to.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub struct NodeAddresses {
    /// Listener for callers.
    pub callers: SocketAddr,
    /// Listener for operators and the balancer.
    pub operators: SocketAddr,
    /// Listener for other nodes.
    pub peers: SocketAddr,
}

/// Runs a node until SIGTERM or SIGINT, then stops it gracefully.
///
/// Prints one line, `ready` and the listener addresses as JSON, to standard
/// output once it listens.
///
/// # Errors
///
/// Fails when a listener, an actor or the metrics client can't be started.
pub async fn run(settings: Settings) -> Result<(), NodeError> {
    let mut terminate = stop_signal(SignalKind::terminate())?;
    let mut interrupt = stop_signal(SignalKind::interrupt())?;
    let node = RunningNode::start(settings).await?;
    let addresses = serde_json::to_string(&node.addresses()).unwrap_or_default();
    println!("ready {addresses}");
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    node.stop().await;
    log::logger().flush();
    Ok(())
}

fn stop_signal(kind: SignalKind) -> Result<tokio::signal::unix::Signal, NodeError> {
    signal(kind).map_err(|error| {
        NodeError::new(NodeErrorKind::Listener, format!("signal handler: {error}"))
    })
}

impl RunningNode {
    /// Binds the listeners and starts the node.
    ///
    /// # Errors
    ///
    /// Fails when a listener, an actor or the metrics client can't be started.
    pub async fn start(settings: Settings) -> Result<Self, NodeError> {
        let listeners = NodeListeners {
            callers: bind("callers", settings.callers).await?,
            operators: bind("operators", settings.operators).await?,
            peers: bind("peers", settings.peers).await?,
        };
        let addresses = listeners.addresses()?;
        let (view_sender, view) = watch::channel(Arc::new(NodeView::default()));
        let (finished, handed_over) = watch::channel(false);
        let (peers, news) = PeerPool::new(Some(addresses.peers.ip()));
        let context = Arc::new(build_context(settings, addresses, peers, view));
        tokio::spawn(watch_peers(context.clone(), news));
        let arguments = ControlArguments { context: context.clone(), view: view_sender, finished };
        let (actor, _) = Actor::spawn(None, ControlActor, arguments)
            .await
            .map_err(|error| NodeError::new(NodeErrorKind::Actor, format!("control: {error}")))?;
        // The cell was empty until now, so that setting it can't fail.
        let _ = context.control_actor.set(actor);
        if let Some(address) = context.settings.metrics {
            let client = metrics::build_client(address, context.settings.node.as_str())?;
            tokio::spawn(metrics::report(client, context.counters.clone()));
        }
        Ok(serve(context, addresses, listeners, handed_over))
    }

    /// Addresses that the listeners are bound to.
    #[must_use]
    pub const fn addresses(&self) -> NodeAddresses {
        self.addresses
    }

    /// Every counter of the node.
    #[must_use]
    pub fn counters(&self) -> &CounterSet {
        &self.context.counters
    }

    /// Stops in four steps: not ready, grants handed over, callers drained,
    /// peers drained. Each step has the time that the settings give.
    pub async fn stop(mut self) {
        let stop = self.context.settings.stop;
        log::info!("stopping");
        self.context.stopping.store(true, Ordering::Relaxed);
        self.context.tell_control(ControlEvent::Stop);
        sleep(stop.notice).await;
        // The receivers may be gone already, and then there is nothing to stop.
        let _ = self.stop_callers.send(true);
        if timeout(stop.drain_timeout, self.drain()).await.is_err() {
            log::warn!("stop: requests or grants were left after {:?}", stop.drain_timeout);
        }
        let _ = self.stop_others.send(true);
        if timeout(stop.drain_timeout, self.peers).await.is_err() {
            log::warn!("stop: peer streams were left after {:?}", stop.drain_timeout);
        }
        log::info!("stopped");
    }

    /// Waits for the callers' requests and for the handover of the grants.
    async fn drain(&mut self) {
        // A listener task that panicked has no requests left either.
        let _ = (&mut self.callers).await;
        // Orders go on after their callers have disconnected.
        let all = u32::try_from(self.context.settings.limits.in_flight).unwrap_or(u32::MAX);
        let _ = self.context.in_flight.acquire_many(all).await;
        let _ = self.handed_over.wait_for(|finished| *finished).await;
    }
}

impl NodeListeners {
    fn addresses(&self) -> Result<NodeAddresses, NodeError> {
        Ok(NodeAddresses {
            callers: local_address(&self.callers)?,
            operators: local_address(&self.operators)?,
            peers: local_address(&self.peers)?,
        })
    }
}

fn build_context(
    settings: Settings,
    addresses: NodeAddresses,
    peers: PeerPool,
    view: watch::Receiver<Arc<NodeView>>,
) -> NodeContext {
    let now = BootTime::now();
    let random_seed = RandomState::new().hash_one(settings.node.as_str());
    let incarnation = unix_millis();
    let options = ControlOptions {
        node: settings.node.clone(),
        zone: settings.zone.clone(),
        region: settings.region.to_string(),
        peer_address: settings.peers_advertised.unwrap_or(addresses.peers),
        operators_address: addresses.operators,
        incarnation,
        seeds: settings.seeds.clone(),
        random_seed,
        lease: LeaseTiming {
            term: settings.lease.term,
            renew: settings.lease.renew,
            drift: settings.lease.drift,
            fence: settings.lease.fence,
        },
        gossip: GossipTiming {
            interval: settings.gossip.interval,
            fanout: settings.gossip.fanout,
            peer_timeout: settings.gossip.peer_timeout,
            ..GossipTiming::default()
        },
        grant: carobstep_control::GrantTiming::default(),
    };
    let build_store = || HttpStore::builder(settings.platform).zone(settings.zone.clone()).build();
    let zone = settings.zone.clone();
    NodeContext {
        counters: Arc::new(CounterSet::default()),
        store: Arc::new(build_store()),
        claim_store: Arc::new(build_store()),
        peers,
        control: Mutex::new(ControlState::new(options, now)),
        router: Mutex::new(ServerRouter::new(Arc::default(), zone.as_str(), random_seed, now)),
        gates: Mutex::default(),
        control_actor: OnceLock::new(),
        split: StaticSplit::of(&settings),
        holders: HolderRegistry::default(),
        unusable_peers: Mutex::default(),
        stopping: AtomicBool::new(false),
        in_flight: Arc::new(Semaphore::new(settings.limits.in_flight)),
        view,
        settings,
    }
}

fn serve(
    context: Arc<NodeContext>,
    addresses: NodeAddresses,
    listeners: NodeListeners,
    handed_over: watch::Receiver<bool>,
) -> RunningNode {
    let (stop_callers, callers_stop) = watch::channel(false);
    let (stop_others, others_stop) = watch::channel(false);
    let limits = caller_limits(context.settings.limits);
    let callers = Arc::new(CallerHandler::new(context.clone(), limits));
    let callers = tokio::spawn(serve_http(listeners.callers, callers, limits, callers_stop));
    let operators = Arc::new(OperatorHandler::new(context.clone()));
    let operator_limits = ListenerLimits { body_bytes: OPERATOR_BODY_BYTES, ..limits };
    tokio::spawn(serve_http(listeners.operators, operators, operator_limits, others_stop.clone()));
    let peers = Arc::new(NodePeerHandler::new(context.clone()));
    let peers = tokio::spawn(serve_peers(listeners.peers, peers, others_stop));
    RunningNode { context, addresses, stop_callers, stop_others, handed_over, callers, peers }
}

async fn bind(name: &str, address: SocketAddr) -> Result<TcpListener, NodeError> {
    TcpListener::bind(address).await.map_err(|error| {
        NodeError::new(NodeErrorKind::Listener, format!("{name} listener {address}: {error}"))
    })
}

fn local_address(listener: &TcpListener) -> Result<SocketAddr, NodeError> {
    listener
        .local_addr()
        .map_err(|error| NodeError::new(NodeErrorKind::Listener, format!("listener: {error}")))
}

const fn caller_limits(limits: LimitSettings) -> ListenerLimits {
    ListenerLimits {
        body_bytes: limits.body_bytes,
        header_bytes: limits.header_bytes,
        read_timeout: limits.header_timeout,
    }
}
