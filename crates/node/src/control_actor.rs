//! Actor that drives the control state: it feeds events in, executes the
//! resulting effects and publishes the node's view.

use std::{
    net::SocketAddr,
    sync::{Arc, atomic::Ordering},
    time::Duration,
};

use carobstep_clock::BootTime;
use carobstep_config::{
    ConfigTopology, IndexManifest, IndexName, ManifestDocument, ServerEntry, ServerKey, ServerName,
};
use carobstep_control::{CallKey, ControlEffect, ControlEvent, PeerFailure, ReplyKey, ServerRoute};
use carobstep_store::{ObjectCall, ObjectKind, ObjectStore, ObjectVersion};
use carobstep_wire::{ControlMessage, ControlReply, PeerReply, PeerRequest};
use indexmap::{IndexMap, IndexSet};
use ractor::{Actor, ActorProcessingErr, ActorRef};
use tokio::{
    sync::{oneshot, watch},
    task::AbortHandle,
    time::timeout,
};

use crate::{
    context::{NodeContext, NodeView},
    counters::NodeEvent,
    holder::{HolderMessage, ServerLimits},
    split::own_route,
};

/// Time within which a peer must answer a control message.
const PEER_TIMEOUT: Duration = Duration::from_millis(1_000);

/// Longest time for which a node that has a configuration waits for routes
/// before it reports ready.
const ROUTES_TIMEOUT: Duration = Duration::from_secs(5);

/// Messages to [`ControlActor`].
#[derive(Debug)]
pub enum ControlInput {
    /// An event for the control state.
    Event(ControlEvent),
    /// A peer's message, and the channel for the reply to it.
    Peer(ControlMessage, oneshot::Sender<ControlReply>),
    /// The control state's next scheduled wakeup is due.
    Tick,
}

/// The actor type; its state is [`ControlDriver`].
pub struct ControlActor;

/// Start arguments of [`ControlActor`].
pub struct ControlArguments {
    /// State shared by all tasks of the node.
    pub context: Arc<NodeContext>,
    /// Sender that publishes the latest view.
    pub view: watch::Sender<Arc<NodeView>>,
    /// Set to `true` once the control state has handed over all grants after a
    /// stop request.
    pub stop_finished: watch::Sender<bool>,
}

/// State of [`ControlActor`], from which it executes effects.
pub struct ControlDriver {
    context: Arc<NodeContext>,
    view: watch::Sender<Arc<NodeView>>,
    stop_finished: watch::Sender<bool>,
    topology: Arc<ConfigTopology>,
    manifests: IndexMap<IndexName, Arc<ManifestDocument>>,
    /// Whether the control state reports ready.
    ready: bool,
    /// Time at which the first configuration was applied.
    configured_at: Option<BootTime>,
    /// Whether the wait for routes is over; once set it stays set.
    route_wait_over: bool,
    pending_replies: IndexMap<ReplyKey, oneshot::Sender<ControlReply>>,
    next_reply: u64,
    watch_tasks: IndexMap<ObjectKind, AbortHandle>,
    /// Time of the earliest [`ControlInput::Tick`] that is scheduled.
    next_tick: BootTime,
    myself: ActorRef<ControlInput>,
}

impl Actor for ControlActor {
    type Msg = ControlInput;
    type State = ControlDriver;
    type Arguments = ControlArguments;

    async fn pre_start(
        &self,
        myself: ActorRef<Self::Msg>,
        arguments: ControlArguments,
    ) -> Result<ControlDriver, ActorProcessingErr> {
        // A failed send would mean that the actor does not exist.
        let _ = myself.cast(ControlInput::Tick);
        Ok(ControlDriver::new(arguments, myself))
    }

    async fn handle(
        &self,
        _myself: ActorRef<Self::Msg>,
        input: ControlInput,
        driver: &mut ControlDriver,
    ) -> Result<(), ActorProcessingErr> {
        let event = driver.convert_input(input);
        let now = BootTime::now();
        let mut effects = Vec::new();
        driver.context.lock_control().handle(now, event, &mut effects);
        let mut view_changed = false;
        for effect in effects {
            view_changed |= driver.execute_effect(effect).await;
        }
        if view_changed || driver.is_awaiting_routes() {
            driver.publish_view();
        }
        driver.schedule_tick();
        Ok(())
    }
}

impl ControlDriver {
    fn new(arguments: ControlArguments, myself: ActorRef<ControlInput>) -> Self {
        Self {
            context: arguments.context,
            view: arguments.view,
            stop_finished: arguments.stop_finished,
            topology: Arc::default(),
            manifests: IndexMap::new(),
            ready: false,
            configured_at: None,
            route_wait_over: false,
            pending_replies: IndexMap::new(),
            next_reply: 0,
            watch_tasks: IndexMap::new(),
            next_tick: BootTime::MAX,
            myself,
        }
    }

    fn convert_input(&mut self, input: ControlInput) -> ControlEvent {
        match input {
            ControlInput::Event(event) => event,
            ControlInput::Tick => {
                self.next_tick = BootTime::MAX;
                ControlEvent::Tick
            }
            ControlInput::Peer(message, sender) => {
                let reply = ReplyKey(self.next_reply);
                self.next_reply += 1;
                self.pending_replies.insert(reply, sender);
                ControlEvent::Received { reply, message }
            }
        }
    }

    /// Executes one effect. Returns `true` if the published view is out of date.
    async fn execute_effect(&mut self, effect: ControlEffect) -> bool {
        match effect {
            ControlEffect::Object { call, object } => self.call_platform(call, object),
            ControlEffect::Send { call, to, message } => {
                self.call_peer(call, to, PeerRequest::Control(message));
            }
            ControlEffect::Answer { reply, answer } => {
                if let Some(sender) = self.pending_replies.swap_remove(&reply) {
                    // A failed send means that the peer has cancelled its request.
                    let _ = sender.send(answer);
                }
            }
            ControlEffect::Watch { kind, after } => self.open_watch(kind, after),
            ControlEffect::Unwatch { kind } => self.close_watch(kind),
            // A static split assigns slots without grants, so grant effects are ignored.
            ControlEffect::GrantTaken { .. }
            | ControlEffect::GrantReleasing { .. }
            | ControlEffect::GrantDropped { .. }
                if self.context.split.is_some() => {}
            ControlEffect::GrantTaken { server, epoch } => {
                log::info!(server = server.as_str(), epoch; "grant taken");
                self.context.counters.count_event(NodeEvent::GrantsTaken);
                self.start_holder(server.as_str()).await;
            }
            ControlEffect::GrantReleasing { server } => {
                self.context.holders.send(&server, HolderMessage::Release);
            }
            ControlEffect::GrantDropped { server } => {
                log::info!(server = server.as_str(); "grant dropped");
                self.context.counters.count_event(NodeEvent::GrantsDropped);
                self.context.holders.stop(&server);
            }
            ControlEffect::ConfigChanged { topology, .. } => {
                self.apply_config(topology).await;
                return true;
            }
            ControlEffect::ManifestChanged { manifest } => {
                self.manifests.insert(manifest.index.clone(), manifest);
                return true;
            }
            ControlEffect::Rejected { object, message } => {
                log::warn!(object = object.as_str(); "object rejected: {message}");
            }
            ControlEffect::RoutesChanged => return true,
            ControlEffect::Ready(ready) => {
                self.ready = ready;
                return true;
            }
            ControlEffect::StopFinished => {
                // Sending fails only if the daemon has dropped its receiver.
                let _ = self.stop_finished.send(true);
            }
        }
        false
    }

    fn call_platform(&self, call: CallKey, object: ObjectCall) {
        let context = self.context.clone();
        let myself = self.myself.clone();
        tokio::spawn(async move {
            context.counters.count_event(NodeEvent::PlatformCalls);
            let result = context.store.call(object).await;
            match &result {
                Ok(_) => {
                    if context.platform_lost.swap(false, Ordering::Relaxed) {
                        log::info!("the platform answers again");
                    }
                }
                Err(error) => {
                    context.counters.count_event(NodeEvent::PlatformFailures);
                    if !context.platform_lost.swap(true, Ordering::Relaxed) {
                        log::warn!("the platform does not answer: {error}");
                    }
                }
            }
            // A failed send means that the process is ending.
            let _ = myself.cast(ControlInput::Event(ControlEvent::ObjectReplied { call, result }));
        });
    }

    fn call_peer(&self, call: CallKey, to: SocketAddr, request: PeerRequest) {
        let context = self.context.clone();
        let myself = self.myself.clone();
        tokio::spawn(async move {
            context.counters.count_event(NodeEvent::ControlMessages);
            let reply = timeout(PEER_TIMEOUT, context.peers.call(to, &request)).await;
            let result = match reply {
                Ok(Ok(PeerReply::Control(reply))) => Ok(reply),
                _ => Err(PeerFailure),
            };
            // A failed send means that the process is ending.
            let _ = myself.cast(ControlInput::Event(ControlEvent::Replied { call, result }));
        });
    }

    fn open_watch(&mut self, kind: ObjectKind, after: ObjectVersion) {
        self.close_watch(kind);
        let context = self.context.clone();
        let myself = self.myself.clone();
        let task = tokio::spawn(async move {
            context.counters.count_event(NodeEvent::PlatformCalls);
            run_watch(&context, &myself, kind, after).await;
            // A failed send means that the process is ending.
            let _ = myself.cast(ControlInput::Event(ControlEvent::WatchLost { kind }));
        });
        self.watch_tasks.insert(kind, task.abort_handle());
    }

    fn close_watch(&mut self, kind: ObjectKind) {
        if let Some(task) = self.watch_tasks.swap_remove(&kind) {
            task.abort();
        }
    }

    async fn start_holder(&self, server: &str) {
        let Some(key) = self.topology.find_server(server) else { return };
        let entry = self.topology.server(key);
        let Some(limits) = self.server_limits(entry, self.is_leaving(entry)) else { return };
        let started = self.context.holders.start(self.context.clone(), &entry.name, limits).await;
        if let Err(error) = started {
            log::error!("{error}");
        }
    }

    async fn apply_config(&mut self, topology: Arc<ConfigTopology>) {
        log::info!(version = topology.version().0; "configuration applied");
        self.context.counters.count_event(NodeEvent::ConfigsInForce);
        self.topology = topology;
        self.configured_at.get_or_insert_with(BootTime::now);
        self.update_router();
        if self.context.split.is_some() {
            self.sync_split_holders().await;
        }
    }

    fn update_router(&self) {
        let mut router = self.context.lock_router();
        router.set_topology(BootTime::now(), self.topology.clone());
        router.set_local_zone(self.context.settings.zone.as_str());
    }

    /// Starts a holder for each server that this node has slots of under the
    /// static split, and stops the holders of all other servers.
    async fn sync_split_holders(&self) {
        for server in self.context.holders.servers() {
            let key = self.topology.find_server(server.as_str());
            let entry = key.map(|key| self.topology.server(key));
            if entry.and_then(|entry| self.server_limits(entry, false)).is_none() {
                self.context.holders.stop(&server);
            }
        }
        for (_, entry) in self.topology.servers() {
            self.start_holder(entry.name.as_str()).await;
        }
    }

    fn is_leaving(&self, entry: &ServerEntry) -> bool {
        self.context.lock_control().leaving_servers().any(|server| *server == entry.name)
    }

    /// Returns the limits under which this node may use a server, or `None` if a
    /// static split gives it no slots there.
    fn server_limits(&self, entry: &ServerEntry, leaving: bool) -> Option<ServerLimits> {
        let max_waiting = self.context.settings.limits.queue_per_server;
        let total = ServerLimits {
            address: entry.address,
            slots: entry.slots,
            connections: entry.connections,
            max_waiting: u16::try_from(max_waiting).unwrap_or(u16::MAX),
            leaving,
        };
        match &self.context.split {
            Some(split) => split.limits(&entry.name, total),
            None => Some(total),
        }
    }

    /// Whether missing routes are all that keeps the node from being ready.
    const fn is_awaiting_routes(&self) -> bool {
        self.ready && !self.route_wait_over
    }

    /// Whether the node can stop waiting for routes: every service has a route or
    /// [`ROUTES_TIMEOUT`] has passed. With a static split it never waits, since
    /// it may have no slots of some services.
    ///
    /// A node that has just started learns the configuration before the routes,
    /// and would refuse requests that arrive in between although the servers
    /// are available.
    fn is_route_wait_over(&self, now: BootTime, routes: &[Option<ServerRoute>]) -> bool {
        let configured_at = self.configured_at.unwrap_or(now);
        if self.context.split.is_some() || now >= configured_at + ROUTES_TIMEOUT {
            return true;
        }
        let has_route =
            |server: &ServerKey| routes.get(server.index()).is_some_and(Option::is_some);
        self.topology.services().all(|(_, service)| service.servers.iter().any(has_route))
    }

    /// Rebuilds and publishes the view, and passes the changes on to the router
    /// and the holders.
    fn publish_view(&mut self) {
        let now = BootTime::now();
        let mut routes = Vec::new();
        let control = self.context.lock_control();
        let mut router = self.context.lock_router();
        let leaving_servers: IndexSet<&ServerName> = control.leaving_servers().collect();
        for (key, entry) in self.topology.servers() {
            let leaving = leaving_servers.contains(&entry.name);
            let limits = self.server_limits(entry, leaving);
            let route = match &self.context.split {
                Some(_) => limits.map(|_| own_route(&self.context.settings)),
                None => control.holder_of(&entry.name),
            };
            router.set_leaving(now, key, leaving);
            let is_own = |route: &ServerRoute| route.node == self.context.settings.node;
            if let Some(limits) = limits.filter(|_| route.as_ref().is_some_and(is_own)) {
                self.context.holders.send(&entry.name, HolderMessage::SetLimits(limits));
            }
            routes.push(route);
        }
        let peers: IndexSet<SocketAddr> =
            control.live_peers(now).map(|peer| peer.address).collect();
        drop(router);
        drop(control);
        self.route_wait_over |=
            self.configured_at.is_some() && self.is_route_wait_over(now, &routes);
        let view = NodeView {
            topology: self.topology.clone(),
            routes,
            manifests: self.valid_manifests(),
            ready: self.ready && self.route_wait_over,
        };
        let view = Arc::new(view);
        self.context.peers.retain(|address| view.has_route_to(address) || peers.contains(&address));
        self.context.apply_routes(&view);
        self.view.send_replace(view);
    }

    /// Returns the manifests that are valid for the active configuration.
    fn valid_manifests(&self) -> IndexMap<IndexName, IndexManifest> {
        let mut manifests = IndexMap::new();
        for (name, document) in &self.manifests {
            match IndexManifest::skipping_unknown_services(&self.topology, document) {
                Ok(manifest) => {
                    manifests.insert(name.clone(), manifest);
                }
                Err(error) => {
                    log::warn!(
                        index = name.as_str();
                        "manifest not usable, searches of the index are refused: {error}"
                    );
                }
            }
        }
        manifests
    }

    fn schedule_tick(&mut self) {
        let due = self.context.lock_control().next_wakeup();
        if due >= self.next_tick {
            return;
        }
        self.next_tick = due;
        let delay = due.since(BootTime::now()) + Duration::from_micros(100);
        self.myself.send_after(delay, || ControlInput::Tick);
    }
}

/// Opens a watch and forwards its changes to the actor until the watch ends.
async fn run_watch(
    context: &NodeContext,
    myself: &ActorRef<ControlInput>,
    kind: ObjectKind,
    after: ObjectVersion,
) {
    let Ok(mut watch) = context.store.watch(kind, after).await else { return };
    let notify = |event| {
        // A failed send means that the process is ending.
        let _ = myself.cast(ControlInput::Event(event));
    };
    notify(ControlEvent::WatchOpened { kind });
    while let Some(Ok(change)) = watch.next().await {
        let (name, version, value) = (change.name, change.version, change.value);
        notify(ControlEvent::Watched { kind, name, version, value });
    }
}
