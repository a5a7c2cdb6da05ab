//! Starts a node, waits for the signal to stop, and stops it gracefully.

use std::{
    collections::hash_map::RandomState,
    hash::BuildHasher,
    net::SocketAddr,
    sync::{
        Arc, Mutex, OnceLock,
        atomic::{AtomicBool, Ordering},
    },
    time::{SystemTime, UNIX_EPOCH},
};

use carobstep_clock::BootTime;
use carobstep_config::{LimitSettings, Settings};
use carobstep_control::{ControlEvent, ControlOptions, ControlState, GossipTiming, LeaseTiming};
use carobstep_dispatch::Router;
use carobstep_platform::HttpStore;
use carobstep_wire::{PeerPool, serve_peers};
use ractor::Actor;
use serde_json::json;
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
};

/// Largest body of an operator's request, in bytes.
const OPERATOR_BODY_BYTES: usize = 4096;

/// The three listeners of a node, bound before anything else starts.
struct NodeListeners {
    callers: TcpListener,
    operators: TcpListener,
    peers: TcpListener,
}

/// Running listeners and the signals that stop them.
struct RunningNode {
    context: Arc<NodeContext>,
    stop_callers: watch::Sender<bool>,
    stop_others: watch::Sender<bool>,
    handed_over: watch::Receiver<bool>,
    callers: JoinHandle<()>,
    peers: JoinHandle<()>,
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
    let node = start(settings).await?;
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    stop(node).await;
    Ok(())
}

fn stop_signal(kind: SignalKind) -> Result<tokio::signal::unix::Signal, NodeError> {
    signal(kind).map_err(|error| {
        NodeError::new(NodeErrorKind::Listener, format!("signal handler: {error}"))
    })
}

async fn start(settings: Settings) -> Result<RunningNode, NodeError> {
    let listeners = NodeListeners {
        callers: bind("callers", settings.callers).await?,
        operators: bind("operators", settings.operators).await?,
        peers: bind("peers", settings.peers).await?,
    };
    let (view_sender, view) = watch::channel(Arc::new(NodeView::default()));
    let (finished, handed_over) = watch::channel(false);
    let (peers, news) = PeerPool::new();
    let context = Arc::new(build_context(settings, &listeners, peers, view)?);
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
    announce(&listeners);
    Ok(serve(context, listeners, handed_over))
}

fn build_context(
    settings: Settings,
    listeners: &NodeListeners,
    peers: PeerPool,
    view: watch::Receiver<Arc<NodeView>>,
) -> Result<NodeContext, NodeError> {
    let now = BootTime::now();
    let random_seed = RandomState::new().hash_one(settings.node.as_str());
    let incarnation = unix_millis();
    let options = ControlOptions {
        node: settings.node.clone(),
        zone: settings.zone.clone(),
        region: settings.region.to_string(),
        peer_address: local_address(&listeners.peers)?,
        operators_address: local_address(&listeners.operators)?,
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
    let store = HttpStore::builder(settings.platform).zone(settings.zone.clone()).build();
    let zone = settings.zone.clone();
    Ok(NodeContext {
        counters: Arc::new(CounterSet::default()),
        store: Arc::new(store),
        peers,
        control: Mutex::new(ControlState::new(options, now)),
        router: Mutex::new(Router::new(Arc::default(), zone.as_str(), random_seed, now)),
        control_actor: OnceLock::new(),
        holders: HolderRegistry::default(),
        unusable_peers: Mutex::default(),
        stopping: AtomicBool::new(false),
        in_flight: Arc::new(Semaphore::new(settings.limits.in_flight)),
        view,
        settings,
    })
}

fn serve(
    context: Arc<NodeContext>,
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
    RunningNode { context, stop_callers, stop_others, handed_over, callers, peers }
}

/// Stops in four steps: not ready, grants handed over, callers drained, peers
/// drained. Each step has the time that the settings give.
async fn stop(mut node: RunningNode) {
    let stop = node.context.settings.stop;
    log::info!("stopping");
    node.context.stopping.store(true, Ordering::Relaxed);
    node.context.tell_control(ControlEvent::Stop);
    sleep(stop.notice).await;
    // The receivers may be gone already, and then there is nothing to stop.
    let _ = node.stop_callers.send(true);
    let drained = timeout(stop.drain_timeout, async {
        let _ = node.callers.await;
        // Orders go on after their callers have disconnected.
        let all = u32::try_from(node.context.settings.limits.in_flight).unwrap_or(u32::MAX);
        let _ = node.context.in_flight.acquire_many(all).await;
        let _ = node.handed_over.wait_for(|finished| *finished).await;
    });
    if drained.await.is_err() {
        log::warn!("stop: requests or grants were left after {:?}", stop.drain_timeout);
    }
    let _ = node.stop_others.send(true);
    if timeout(stop.drain_timeout, node.peers).await.is_err() {
        log::warn!("stop: peer streams were left after {:?}", stop.drain_timeout);
    }
    log::info!("stopped");
    log::logger().flush();
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

fn announce(listeners: &NodeListeners) {
    let address = |listener: &TcpListener| listener.local_addr().map(|at| at.to_string()).ok();
    let line = json!({
        "callers": address(&listeners.callers),
        "operators": address(&listeners.operators),
        "peers": address(&listeners.peers),
    });
    println!("ready {line}");
}

const fn caller_limits(limits: LimitSettings) -> ListenerLimits {
    ListenerLimits {
        body_bytes: limits.body_bytes,
        header_bytes: limits.header_bytes,
        read_timeout: limits.header_timeout,
    }
}

fn unix_millis() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    u64::try_from(since.as_millis()).unwrap_or(u64::MAX)
}
