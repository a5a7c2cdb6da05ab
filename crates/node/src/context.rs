//! State shared by all tasks of a node.

use std::{
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard, OnceLock, PoisonError, atomic::AtomicBool},
    time::Duration,
};

use carobstep_clock::BootTime;
use carobstep_config::{ConfigTopology, IndexManifest, IndexName, ServerKey, ServerName, Settings};
use carobstep_control::{ControlEvent, ControlState, ServerRoute};
use carobstep_dispatch::{AdmissionGate, ServerRouter};
use carobstep_store::HttpStore;
use carobstep_wire::{
    PeerHealth, PeerPool, PeerReply, PeerRequest, RefusalReason, RequestOutcome, ShardReply,
    ShardRequest, WireErrorKind,
};
use indexmap::IndexMap;
use ractor::ActorRef;
use tokio::sync::{Semaphore, watch};

use crate::{
    backend::WriteFence,
    control_actor::ControlInput,
    counters::{CounterSet, NodeEvent},
    holder::HolderRegistry,
    reach::{HeldServer, usable_servers},
    split::StaticSplit,
};

/// Delay before a retry, for refusals without a better estimate.
pub const DEFAULT_RETRY_AFTER: Duration = Duration::from_millis(250);

/// A consistent view of configuration, manifests and routes.
#[derive(Debug, Default)]
pub struct NodeView {
    /// Active configuration.
    pub topology: Arc<ConfigTopology>,
    /// Route of each backend server, indexed by its key in `topology`.
    pub routes: Vec<Option<ServerRoute>>,
    /// Manifests that are valid for `topology`.
    pub manifests: IndexMap<IndexName, IndexManifest>,
    /// Whether the node accepts requests from callers.
    pub ready: bool,
}

/// State shared by all tasks of a node.
#[derive(Debug)]
pub struct NodeContext {
    pub settings: Settings,
    pub counters: Arc<CounterSet>,
    /// Client of the platform, whose object store holds configurations, manifests,
    /// leases and grants.
    pub store: Arc<HttpStore>,
    /// Separate client of the platform for claims, so that a burst of orders can't
    /// delay lease renewals.
    pub claim_store: Arc<HttpStore>,
    /// Connections to peer nodes.
    pub peers: PeerPool,
    /// Membership, leases and grants.
    pub control: Mutex<ControlState>,
    /// Router that chooses backend servers from this node's own observations.
    pub router: Mutex<ServerRouter>,
    /// Admission gate for the searches of each index.
    pub gates: Mutex<IndexMap<IndexName, AdmissionGate>>,
    /// Actor that executes the effects of the control state.
    pub control_actor: OnceLock<ActorRef<ControlInput>>,
    /// Static split of slots that replaces grants, for benchmark comparisons.
    pub split: Option<StaticSplit>,
    /// Actors of the backend servers whose grants this node holds.
    pub holders: HolderRegistry,
    /// Health of the peers that do not answer probes in time.
    pub failing_peers: Mutex<IndexMap<SocketAddr, PeerHealth>>,
    /// Whether the last call to the platform got no reply.
    pub platform_lost: AtomicBool,
    /// Whether the process was asked to stop.
    pub stopping: AtomicBool,
    /// Permits that limit the callers' requests in flight.
    pub in_flight: Arc<Semaphore>,
    /// Latest view, which the control actor publishes.
    pub view: watch::Receiver<Arc<NodeView>>,
}

/// Failure to get a holder's reply to a shard request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SendFailure {
    /// Whether the request may have been executed.
    pub outcome: RequestOutcome,
    /// Why there is no reply.
    pub reason: RefusalReason,
}

impl NodeContext {
    #[must_use]
    pub fn latest_view(&self) -> Arc<NodeView> {
        self.view.borrow().clone()
    }

    pub fn lock_control(&self) -> MutexGuard<'_, ControlState> {
        self.control.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub fn lock_gates(&self) -> MutexGuard<'_, IndexMap<IndexName, AdmissionGate>> {
        self.gates.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub fn lock_router(&self) -> MutexGuard<'_, ServerRouter> {
        self.router.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Sets the health of a peer. Returns whether that is a change.
    pub fn set_peer_health(&self, address: SocketAddr, health: PeerHealth) -> bool {
        let changed = {
            let mut failing = self.lock_failing_peers();
            let before = match health {
                PeerHealth::Reachable => failing.swap_remove(&address),
                PeerHealth::Suspect | PeerHealth::Unreachable => failing.insert(address, health),
            };
            before.unwrap_or(PeerHealth::Reachable) != health
        };
        if changed {
            self.apply_routes(&self.latest_view());
        }
        changed
    }

    /// Whether a peer does not answer probes in time.
    #[must_use]
    pub fn is_peer_failing(&self, address: SocketAddr) -> bool {
        self.lock_failing_peers().contains_key(&address)
    }

    /// Updates the router's record of which servers have a reachable holder. Does
    /// nothing if the router has another topology than the view.
    pub fn apply_routes(&self, view: &NodeView) {
        let mut router = self.lock_router();
        let failing = self.lock_failing_peers();
        if !Arc::ptr_eq(router.topology(), &view.topology) {
            return;
        }
        let mut servers = Vec::with_capacity(view.routes.len());
        for ((_, server), route) in view.topology.servers().zip(&view.routes) {
            let holder = route
                .as_ref()
                .map(|route| failing.get(&route.address).copied().unwrap_or(PeerHealth::Reachable));
            servers.push(HeldServer { service: server.service, holder });
        }
        for (key, usable) in (0..).map(ServerKey).zip(usable_servers(&servers)) {
            router.set_usable(key, usable);
        }
    }

    fn lock_failing_peers(&self) -> MutexGuard<'_, IndexMap<SocketAddr, PeerHealth>> {
        self.failing_peers.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Checks that this node may send a request to a backend server now.
    ///
    /// # Errors
    ///
    /// Fails with the reason if the grant or the lease does not permit it.
    pub fn check_dispatch(&self, server: &ServerName) -> Result<(), RefusalReason> {
        if self.split.is_some() {
            // In a static split only servers of which this node has slots have a
            // holder.
            return Ok(());
        }
        self.lock_control().may_dispatch(BootTime::now(), server).map(|_| ())
    }

    /// Returns the check that runs before each write to a backend server.
    pub fn write_fence(self: &Arc<Self>, server: &ServerName) -> WriteFence {
        let context = self.clone();
        let server = server.clone();
        Arc::new(move || context.check_dispatch(&server).is_ok())
    }

    /// Sends an event to the control actor.
    pub fn send_control_event(&self, event: ControlEvent) {
        if let Some(actor) = self.control_actor.get() {
            // A failed send means that the process is ending.
            let _ = actor.cast(ControlInput::Event(event));
        }
    }

    /// Sends a shard request to the holder of its server.
    ///
    /// Dropping the future cancels the request.
    ///
    /// # Errors
    ///
    /// Fails if no holder is known or the holder does not reply.
    pub async fn send_shard(&self, request: ShardRequest) -> Result<ShardReply, SendFailure> {
        let Some(route) = self.latest_view().route(&request.server) else {
            return Err(SendFailure::not_run(RefusalReason::NoHolder));
        };
        self.counters.count_event(NodeEvent::EntryDispatches);
        if request.hedge {
            self.counters.count_event(NodeEvent::EntryHedges);
        }
        if route.node == self.settings.node {
            return Ok(self.holders.run(request).await);
        }
        self.send_remote(route.address, request).await
    }

    async fn send_remote(
        &self,
        address: SocketAddr,
        request: ShardRequest,
    ) -> Result<ShardReply, SendFailure> {
        match self.peers.call(address, &PeerRequest::Shard(request)).await {
            Ok(PeerReply::Shard(reply)) => Ok(reply),
            Ok(PeerReply::Control(_)) => Err(SendFailure::unknown(RefusalReason::ReplyMismatch)),
            Err(error) => Err(match error.kind() {
                WireErrorKind::NotSent => SendFailure::not_run(RefusalReason::PeerUnreachable),
                WireErrorKind::Codec | WireErrorKind::Rejected => {
                    SendFailure::unknown(RefusalReason::ReplyTruncated)
                }
                WireErrorKind::Lost => SendFailure::unknown(RefusalReason::PeerLost),
            }),
        }
    }
}

impl SendFailure {
    const fn not_run(reason: RefusalReason) -> Self {
        Self { outcome: RequestOutcome::NotRun, reason }
    }

    const fn unknown(reason: RefusalReason) -> Self {
        Self { outcome: RequestOutcome::Unknown, reason }
    }
}

impl NodeView {
    /// Returns the route of a backend server, if a holder is known.
    #[must_use]
    pub fn route(&self, server: &ServerName) -> Option<ServerRoute> {
        let key = self.topology.find_server(server.as_str())?;
        self.route_by_key(key).cloned()
    }

    /// Returns the route of the backend server with a key.
    #[must_use]
    pub fn route_by_key(&self, key: ServerKey) -> Option<&ServerRoute> {
        self.routes.get(key.index())?.as_ref()
    }

    /// Whether any route goes to a peer's address.
    #[must_use]
    pub fn has_route_to(&self, address: SocketAddr) -> bool {
        self.routes.iter().flatten().any(|route| route.address == address)
    }
}

/// Returns the time left until `deadline`, in microseconds.
#[must_use]
pub fn budget_us(now: BootTime, deadline: BootTime) -> u64 {
    u64::try_from(deadline.since(now).as_micros()).unwrap_or(u64::MAX)
}
