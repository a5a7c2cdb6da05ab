//! Starts a node, waits for a stop signal and stops the node gracefully.

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

/// Largest body of an operator request, in bytes.
const OPERATOR_BODY_BYTES: usize = 4096;

/// The three listeners of a node, bound before any task starts.
struct NodeListeners {
    callers: TcpListener,
    operators: TcpListener,
    peers: TcpListener,
}

/// A node that runs in this process, with the channels that stop its listeners.
///
/// It must be started within a tokio runtime and keeps running until
/// [`RunningNode::stop`].
#[derive(Debug)]
pub struct RunningNode {
    context: Arc<NodeContext>,
    addresses: NodeAddresses,
    stop_callers: watch::Sender<bool>,
    stop_others: watch::Sender<bool>,
    stop_finished: watch::Receiver<bool>,
    callers: JoinHandle<()>,
    peers: JoinHandle<()>,
}

/// Addresses that the listeners of a node are bound to.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub struct NodeAddresses {
    /// Listener for callers.
    pub callers: SocketAddr,
    /// Listener for operators and the load balancer.
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
        NodeError::new(NodeErrorKind::Listener, format!("cannot install a signal handler: {error}"))
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
        let (view_tx, view) = watch::channel(Arc::new(NodeView::default()));
        let (stop_finished_tx, stop_finished) = watch::channel(false);
        let (peers, peer_updates) = PeerPool::new(Some(addresses.peers.ip()));
        let context = Arc::new(build_context(settings, addresses, peers, view));
        tokio::spawn(watch_peers(context.clone(), peer_updates));
        let arguments = ControlArguments {
            context: context.clone(),
            view: view_tx,
            stop_finished: stop_finished_tx,
        };
        let (actor, _) = Actor::spawn(None, ControlActor, arguments).await.map_err(|error| {
            NodeError::new(NodeErrorKind::Actor, format!("cannot start the control actor: {error}"))
        })?;
        // Setting the cell can't fail, since nothing has set it before.
        let _ = context.control_actor.set(actor);
        if let Some(address) = context.settings.metrics {
            let client = metrics::build_client(address, context.settings.node.as_str())?;
            tokio::spawn(metrics::report(client, context.counters.clone()));
        }
        Ok(serve(context, addresses, listeners, stop_finished))
    }

    /// Returns the addresses that the listeners are bound to.
    #[must_use]
    pub const fn addresses(&self) -> NodeAddresses {
        self.addresses
    }

    /// Returns the counters of the node.
    #[must_use]
    pub fn counters(&self) -> &CounterSet {
        &self.context.counters
    }

    /// Stops the node gracefully: reports not ready for `stop.notice_ms`, drains
    /// the callers' requests and hands over the grants, then drains the peers'
    /// streams. Each of the two drains takes at most `stop.drain_timeout_ms`.
    pub async fn stop(mut self) {
        let stop = self.context.settings.stop;
        log::info!("stopping");
        self.context.stopping.store(true, Ordering::Relaxed);
        self.context.send_control_event(ControlEvent::Stop);
        sleep(stop.notice_period).await;
        // A failed send means that the listener's task has ended already.
        let _ = self.stop_callers.send(true);
        if timeout(stop.drain_timeout, self.drain()).await.is_err() {
            log::warn!(
                "drain timeout of {:?} expired before all requests ended and all grants were \
                 handed over; stopping anyway",
                stop.drain_timeout
            );
        }
        let _ = self.stop_others.send(true);
        if timeout(stop.drain_timeout, self.peers).await.is_err() {
            log::warn!(
                "drain timeout of {:?} expired with peer streams still open; closing them",
                stop.drain_timeout
            );
        }
        log::info!("stopped");
    }

    /// Waits until the callers' requests have ended and the grants are handed over.
    async fn drain(&mut self) {
        // A listener task that panicked has no requests left, like one that ended.
        let _ = (&mut self.callers).await;
        // Orders continue after their callers have disconnected, so wait for all
        // permits.
        let all = u32::try_from(self.context.settings.limits.in_flight).unwrap_or(u32::MAX);
        let _ = self.context.in_flight.acquire_many(all).await;
        let _ = self.stop_finished.wait_for(|finished| *finished).await;
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
            renew: settings.lease.renew_interval,
            drift: settings.lease.clock_drift,
            fence: settings.lease.fence_delay,
        },
        gossip: GossipTiming {
            interval: settings.gossip.interval,
            fanout: settings.gossip.fanout,
            peer_timeout: settings.gossip.peer_timeout,
            ..GossipTiming::default()
        },
        grant: carobstep_control::GrantTiming::default(),
    };
    let new_store = || HttpStore::builder(settings.platform).zone(settings.zone.clone()).build();
    let zone = settings.zone.clone();
    NodeContext {
        counters: Arc::new(CounterSet::default()),
        store: Arc::new(new_store()),
        claim_store: Arc::new(new_store()),
        peers,
        control: Mutex::new(ControlState::new(options, now)),
        router: Mutex::new(ServerRouter::new(Arc::default(), zone.as_str(), random_seed, now)),
        gates: Mutex::default(),
        control_actor: OnceLock::new(),
        split: StaticSplit::from_settings(&settings),
        holders: HolderRegistry::default(),
        failing_peers: Mutex::default(),
        platform_lost: AtomicBool::new(false),
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
    stop_finished: watch::Receiver<bool>,
) -> RunningNode {
    let (stop_callers, stop_callers_rx) = watch::channel(false);
    let (stop_others, stop_others_rx) = watch::channel(false);
    let limits = caller_limits(context.settings.limits);
    let callers = Arc::new(CallerHandler::new(context.clone(), limits));
    let callers = tokio::spawn(serve_http(listeners.callers, callers, limits, stop_callers_rx));
    let operators = Arc::new(OperatorHandler::new(context.clone()));
    let operator_limits = ListenerLimits { body_bytes: OPERATOR_BODY_BYTES, ..limits };
    tokio::spawn(serve_http(
        listeners.operators,
        operators,
        operator_limits,
        stop_others_rx.clone(),
    ));
    let peers = Arc::new(NodePeerHandler::new(context.clone()));
    let peers = tokio::spawn(serve_peers(listeners.peers, peers, stop_others_rx));
    RunningNode { context, addresses, stop_callers, stop_others, stop_finished, callers, peers }
}

async fn bind(name: &str, address: SocketAddr) -> Result<TcpListener, NodeError> {
    TcpListener::bind(address).await.map_err(|error| {
        NodeError::new(
            NodeErrorKind::Listener,
            format!("cannot bind the {name} listener to {address}: {error}"),
        )
    })
}

fn local_address(listener: &TcpListener) -> Result<SocketAddr, NodeError> {
    listener.local_addr().map_err(|error| {
        NodeError::new(
            NodeErrorKind::Listener,
            format!("cannot read the address of a listener: {error}"),
        )
    })
}

const fn caller_limits(limits: LimitSettings) -> ListenerLimits {
    ListenerLimits {
        body_bytes: limits.body_bytes,
        header_bytes: limits.header_bytes,
        read_timeout: limits.header_timeout,
    }
}
