//! Carries out what the control state asks for and publishes the node's view.

use std::{net::SocketAddr, sync::Arc, time::Duration};

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

/// Time for a peer to answer a control message.
const PEER_TIMEOUT: Duration = Duration::from_millis(1_000);

/// Longest time for which a node with a configuration waits for routes before
/// it turns ready.
const ROUTES_PATIENCE: Duration = Duration::from_secs(5);

/// Messages to the control actor.
#[derive(Debug)]
pub enum ControlInput {
    /// Something happened outside the control state.
    Event(ControlEvent),
    /// A peer sent a message and waits for the answer.
    Peer(ControlMessage, oneshot::Sender<ControlReply>),
    /// The control state's next wakeup has come.
    Tick,
}

/// The actor type; its state is [`ControlDriver`].
pub struct ControlActor;

/// What the actor is started with.
pub struct ControlArguments {
    /// What every task of the node shares.
    pub context: Arc<NodeContext>,
    /// Where the latest view is published.
    pub view: watch::Sender<Arc<NodeView>>,
    /// Becomes `true` when the control state has handed everything over.
    pub finished: watch::Sender<bool>,
}

/// State of the actor: what is needed to carry out effects.
pub struct ControlDriver {
    context: Arc<NodeContext>,
    view: watch::Sender<Arc<NodeView>>,
    finished: watch::Sender<bool>,
    topology: Arc<ConfigTopology>,
    manifests: IndexMap<IndexName, Arc<ManifestDocument>>,
    /// Whether the control state is ready.
    ready: bool,
    /// When the first configuration came into force.
    configured: Option<BootTime>,
    /// Whether every service had a route at some time, or the wait is over.
    routed: bool,
    replies: IndexMap<ReplyKey, oneshot::Sender<ControlReply>>,
    next_reply: u64,
    watches: IndexMap<ObjectKind, AbortHandle>,
    wake_at: BootTime,
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
        let event = driver.event_of(input);
        let now = BootTime::now();
        let mut effects = Vec::new();
        driver.context.lock_control().handle(now, event, &mut effects);
        let mut view_changed = false;
        for effect in effects {
            view_changed |= driver.carry_out(effect).await;
        }
        if view_changed || driver.awaits_routes() {
            driver.publish();
        }
        driver.schedule();
        Ok(())
    }
}

impl ControlDriver {
    fn new(arguments: ControlArguments, myself: ActorRef<ControlInput>) -> Self {
        Self {
            context: arguments.context,
            view: arguments.view,
            finished: arguments.finished,
            topology: Arc::default(),
            manifests: IndexMap::new(),
            ready: false,
            configured: None,
            routed: false,
            replies: IndexMap::new(),
            next_reply: 0,
            watches: IndexMap::new(),
            wake_at: BootTime::MAX,
            myself,
        }
    }

    fn event_of(&mut self, input: ControlInput) -> ControlEvent {
        match input {
            ControlInput::Event(event) => event,
            ControlInput::Tick => {
                self.wake_at = BootTime::MAX;
                ControlEvent::Tick
            }
            ControlInput::Peer(message, sender) => {
                let reply = ReplyKey(self.next_reply);
                self.next_reply += 1;
                self.replies.insert(reply, sender);
                ControlEvent::Received { reply, message }
            }
        }
    }

    /// Carries out one effect; `true` when the published view is out of date.
    async fn carry_out(&mut self, effect: ControlEffect) -> bool {
        match effect {
            ControlEffect::Object { call, object } => self.call_platform(call, object),
            ControlEffect::Send { call, to, message } => {
                self.send(call, to, PeerRequest::Control(message));
            }
            ControlEffect::Answer { reply, answer } => {
                if let Some(sender) = self.replies.swap_remove(&reply) {
                    // A failed send means that the peer has cancelled.
                    let _ = sender.send(answer);
                }
            }
            ControlEffect::Watch { kind, after } => self.open_watch(kind, after),
            ControlEffect::Unwatch { kind } => self.close_watch(kind),
            // In a static split the shares decide, and grants mean nothing.
            ControlEffect::GrantTaken { .. }
            | ControlEffect::GrantReleasing { .. }
            | ControlEffect::GrantDropped { .. }
                if self.context.split.is_some() => {}
            ControlEffect::GrantTaken { server, epoch } => {
                log::info!(server = server.as_str(), epoch; "grant taken");
                self.context.counters.event(NodeEvent::GrantsTaken);
                self.start_holder(server.as_str()).await;
            }
            ControlEffect::GrantReleasing { server } => {
                self.context.holders.tell(&server, HolderMessage::Release);
            }
            ControlEffect::GrantDropped { server } => {
                log::info!(server = server.as_str(); "grant dropped");
                self.context.counters.event(NodeEvent::GrantsDropped);
                self.context.holders.stop(&server);
            }
            ControlEffect::ConfigInForce { topology, .. } => {
                self.put_in_force(topology).await;
                return true;
            }
            ControlEffect::ManifestInForce { manifest } => {
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
                // The receivers live as long as the daemon.
                let _ = self.finished.send(true);
            }
        }
        false
    }

    fn call_platform(&self, call: CallKey, object: ObjectCall) {
        let context = self.context.clone();
        let myself = self.myself.clone();
        tokio::spawn(async move {
            context.counters.event(NodeEvent::PlatformCalls);
            let result = context.store.call(object).await;
            if let Err(error) = &result {
                context.counters.event(NodeEvent::PlatformFailures);
                log::debug!("platform call failed: {error}");
            }
            // A failed send means that the process is ending.
            let _ = myself.cast(ControlInput::Event(ControlEvent::ObjectAnswer { call, result }));
        });
    }

    fn send(&self, call: CallKey, to: SocketAddr, request: PeerRequest) {
        let context = self.context.clone();
        let myself = self.myself.clone();
        tokio::spawn(async move {
            context.counters.event(NodeEvent::ControlMessages);
            let answer = timeout(PEER_TIMEOUT, context.peers.call(to, &request)).await;
            let result = match answer {
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
            context.counters.event(NodeEvent::PlatformCalls);
            follow(&context, &myself, kind, after).await;
            // A failed send means that the process is ending.
            let _ = myself.cast(ControlInput::Event(ControlEvent::WatchLost { kind }));
        });
        self.watches.insert(kind, task.abort_handle());
    }

    fn close_watch(&mut self, kind: ObjectKind) {
        if let Some(task) = self.watches.swap_remove(&kind) {
            task.abort();
        }
    }

    async fn start_holder(&self, server: &str) {
        let Some(key) = self.topology.find_server(server) else { return };
        let entry = self.topology.server(key);
        let Some(limits) = self.limits_of(entry, self.leaving(entry)) else { return };
        let started = self.context.holders.start(self.context.clone(), &entry.name, limits).await;
        if let Err(error) = started {
            log::error!("{error}");
        }
    }

    async fn put_in_force(&mut self, topology: Arc<ConfigTopology>) {
        log::info!(version = topology.version().0; "configuration in force");
        self.context.counters.event(NodeEvent::ConfigsInForce);
        self.topology = topology;
        self.configured.get_or_insert_with(BootTime::now);
        self.tell_router();
        if self.context.split.is_some() {
            self.hold_shares().await;
        }
    }

    fn tell_router(&self) {
        let mut router = self.context.lock_router();
        router.set_topology(BootTime::now(), self.topology.clone());
        router.set_own_zone(self.context.settings.zone.as_str());
    }

    /// Runs a holder for exactly the servers that this node has a share of.
    async fn hold_shares(&self) {
        for server in self.context.holders.servers() {
            let key = self.topology.find_server(server.as_str());
            let entry = key.map(|key| self.topology.server(key));
            if entry.and_then(|entry| self.limits_of(entry, false)).is_none() {
                self.context.holders.stop(&server);
            }
        }
        for (_, entry) in self.topology.servers() {
            self.start_holder(entry.name.as_str()).await;
        }
    }

    fn leaving(&self, entry: &ServerEntry) -> bool {
        self.context.lock_control().leaving_servers().any(|server| *server == entry.name)
    }

    /// Limits under which this node may use a server; none without a share.
    fn limits_of(&self, entry: &ServerEntry, leaving: bool) -> Option<ServerLimits> {
        let waiting = self.context.settings.limits.queue_per_server;
        let whole = ServerLimits {
            address: entry.address,
            slots: entry.slots,
            connections: entry.connections,
            waiting: u16::try_from(waiting).unwrap_or(u16::MAX),
            leaving,
        };
        match &self.context.split {
            Some(split) => split.limits(&entry.name, whole),
            None => Some(whole),
        }
    }

    /// Whether the node is not ready only because it knows too few routes.
    const fn awaits_routes(&self) -> bool {
        self.ready && !self.routed
    }

    /// Whether every service has a route, or the wait for them is over. In a
    /// static split a node waits for none, since it may never have them all.
    ///
    /// A node that has just started learns the configuration before the
    /// routes; taking requests in between would refuse them for nothing.
    fn has_routes(&self, now: BootTime, routes: &[Option<ServerRoute>]) -> bool {
        let configured = self.configured.unwrap_or(now);
        if self.context.split.is_some() || now >= configured + ROUTES_PATIENCE {
            return true;
        }
        let routed = |server: &ServerKey| routes.get(server.index()).is_some_and(Option::is_some);
        self.topology.services().all(|(_, service)| service.servers.iter().any(routed))
    }

    /// Rebuilds the view and tells the router and the holders what changed.
    fn publish(&mut self) {
        let now = BootTime::now();
        let mut routes = Vec::new();
        let control = self.context.lock_control();
        let mut router = self.context.lock_router();
        let leaving_servers: IndexSet<&ServerName> = control.leaving_servers().collect();
        for (key, entry) in self.topology.servers() {
            let leaving = leaving_servers.contains(&entry.name);
            let limits = self.limits_of(entry, leaving);
            let route = match &self.context.split {
                Some(_) => limits.map(|_| own_route(&self.context.settings)),
                None => control.holder_of(&entry.name),
            };
            router.set_leaving(now, key, leaving);
            let own = |route: &ServerRoute| route.node == self.context.settings.node;
            if let Some(limits) = limits.filter(|_| route.as_ref().is_some_and(own)) {
                self.context.holders.tell(&entry.name, HolderMessage::Limits(limits));
            }
            routes.push(route);
        }
        let peers: IndexSet<SocketAddr> =
            control.live_peers(now).map(|peer| peer.address).collect();
        drop(router);
        drop(control);
        self.routed |= self.configured.is_some() && self.has_routes(now, &routes);
        let view = NodeView {
            topology: self.topology.clone(),
            routes,
            manifests: self.checked_manifests(),
            ready: self.ready && self.routed,
        };
        let view = Arc::new(view);
        self.context.peers.retain(|address| view.leads_to(address) || peers.contains(&address));
        self.context.apply_routes(&view);
        self.view.send_replace(view);
    }

    /// Manifests that fit the configuration in force.
    fn checked_manifests(&self) -> IndexMap<IndexName, IndexManifest> {
        let mut manifests = IndexMap::new();
        for (name, document) in &self.manifests {
            match IndexManifest::fitting(&self.topology, document) {
                Ok(manifest) => {
                    manifests.insert(name.clone(), manifest);
                }
                Err(error) => log::warn!(index = name.as_str(); "manifest not usable: {error}"),
            }
        }
        manifests
    }

    fn schedule(&mut self) {
        let due = self.context.lock_control().next_wakeup();
        if due >= self.wake_at {
            return;
        }
        self.wake_at = due;
        let delay = due.since(BootTime::now()) + Duration::from_micros(100);
        self.myself.send_after(delay, || ControlInput::Tick);
    }
}

/// Hands the changes of a watch to the actor until the watch ends.
async fn follow(
    context: &NodeContext,
    myself: &ActorRef<ControlInput>,
    kind: ObjectKind,
    after: ObjectVersion,
) {
    let Ok(mut watch) = context.store.watch(kind, after).await else { return };
    let tell = |event| {
        // A failed send means that the process is ending.
        let _ = myself.cast(ControlInput::Event(event));
    };
    tell(ControlEvent::WatchOpened { kind });
    while let Some(Ok(change)) = watch.next().await {
        let (name, version, value) = (change.name, change.version, change.value);
        tell(ControlEvent::Watched { kind, name, version, value });
    }
}
