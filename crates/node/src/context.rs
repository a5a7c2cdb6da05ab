//! What every task of a node shares.

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
    PeerPool, PeerReply, PeerRequest, RefusalReason, RequestOutcome, ShardReply, ShardRequest,
    WireErrorKind,
};
use indexmap::{IndexMap, IndexSet};
use ractor::ActorRef;
use tokio::sync::{Semaphore, watch};

use crate::{
    backend::WriteFence,
    control_actor::ControlInput,
    counters::{CounterSet, NodeEvent},
    holder::HolderRegistry,
    split::StaticSplit,
};

/// Time to come back when no better estimate exists.
pub const DEFAULT_RETRY_AFTER: Duration = Duration::from_millis(250);

/// One consistent view of configuration, manifests and routes.
#[derive(Debug, Default)]
pub struct NodeView {
    /// Configuration in force.
    pub topology: Arc<ConfigTopology>,
    /// Route of each backend server, by key of `topology`.
    pub routes: Vec<Option<ServerRoute>>,
    /// Manifests that fit `topology`.
    pub manifests: IndexMap<IndexName, IndexManifest>,
    /// Whether the node takes requests of callers.
    pub ready: bool,
}

/// What every task of a node shares.
#[derive(Debug)]
pub struct NodeContext {
    /// Settings of the daemon.
    pub settings: Settings,
    /// Every counter.
    pub counters: Arc<CounterSet>,
    /// Client of the platform.
    pub store: Arc<HttpStore>,
    /// Client of the platform for claims, so that a burst of orders can't hold
    /// up lease renewals.
    pub claim_store: Arc<HttpStore>,
    /// Connections to peer nodes.
    pub peers: PeerPool,
    /// Membership, leases and grants.
    pub control: Mutex<ControlState>,
    /// Choice of backend servers, from this node's own observations.
    pub router: Mutex<ServerRouter>,
    /// Limit on the searches of each index.
    pub gates: Mutex<IndexMap<IndexName, AdmissionGate>>,
    /// The actor that carries out what the control state asks for.
    pub control_actor: OnceLock<ActorRef<ControlInput>>,
    /// Shares that take the place of grants, in a comparison.
    pub split: Option<StaticSplit>,
    /// Held backend servers.
    pub holders: HolderRegistry,
    /// Peer addresses that do not answer probes.
    pub unusable_peers: Mutex<IndexSet<SocketAddr>>,
    /// Whether the process was asked to stop.
    pub stopping: AtomicBool,
    /// Permits for requests of callers in flight.
    pub in_flight: Arc<Semaphore>,
    /// Latest view.
    pub view: watch::Receiver<Arc<NodeView>>,
}

/// A shard request that got no reply from its holder.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SendFailure {
    /// Whether it may have executed.
    pub outcome: RequestOutcome,
    /// Why there is no reply.
    pub reason: RefusalReason,
}

impl NodeContext {
    /// The latest view.
    #[must_use]
    pub fn latest_view(&self) -> Arc<NodeView> {
        self.view.borrow().clone()
    }

    /// Locks the control state.
    pub fn lock_control(&self) -> MutexGuard<'_, ControlState> {
        self.control.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Locks the limits on searches.
    pub fn lock_gates(&self) -> MutexGuard<'_, IndexMap<IndexName, AdmissionGate>> {
        self.gates.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Locks the router.
    pub fn lock_router(&self) -> MutexGuard<'_, ServerRouter> {
        self.router.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Sets whether requests may go to a peer; `false` when nothing changed.
    pub fn set_peer_usable(&self, address: SocketAddr, usable: bool) -> bool {
        let changed = {
            let mut unusable = self.lock_unusable();
            if usable { unusable.swap_remove(&address) } else { unusable.insert(address) }
        };
        if changed {
            self.apply_routes(&self.latest_view());
        }
        changed
    }

    /// Whether a peer does not answer probes.
    #[must_use]
    pub fn is_unusable(&self, address: SocketAddr) -> bool {
        self.lock_unusable().contains(&address)
    }

    /// Tells the router which servers have a holder that can be reached.
    pub fn apply_routes(&self, view: &NodeView) {
        let mut router = self.lock_router();
        let unusable = self.lock_unusable();
        if !Arc::ptr_eq(router.topology(), &view.topology) {
            return;
        }
        for (key, route) in (0..).map(ServerKey).zip(&view.routes) {
            let usable = route.as_ref().is_some_and(|route| !unusable.contains(&route.address));
            router.set_usable(key, usable);
        }
    }

    fn lock_unusable(&self) -> MutexGuard<'_, IndexSet<SocketAddr>> {
        self.unusable_peers.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Whether this node may send a request to a backend server now.
    ///
    /// # Errors
    ///
    /// Fails with the reason when the grant or the lease does not allow it.
    pub fn may_dispatch(&self, server: &ServerName) -> Result<(), RefusalReason> {
        if self.split.is_some() {
            // In a static split only the servers with a share have a holder.
            return Ok(());
        }
        self.lock_control().may_dispatch(BootTime::now(), server).map(|_| ())
    }

    /// The fence of connections to a backend server.
    pub fn write_fence(self: &Arc<Self>, server: &ServerName) -> WriteFence {
        let context = self.clone();
        let server = server.clone();
        Arc::new(move || context.may_dispatch(&server).is_ok())
    }

    /// Hands an event to the control actor.
    pub fn tell_control(&self, event: ControlEvent) {
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
    /// Fails when no holder is known or the holder did not reply.
    pub async fn send_shard(&self, request: ShardRequest) -> Result<ShardReply, SendFailure> {
        let Some(route) = self.latest_view().route(&request.server) else {
            return Err(SendFailure::not_run(RefusalReason::NoHolder));
        };
        self.counters.event(NodeEvent::EntryDispatches);
        if request.hedge {
            self.counters.event(NodeEvent::EntryHedges);
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
                WireErrorKind::Codec => SendFailure::unknown(RefusalReason::ReplyTruncated),
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
    /// The route of a backend server, if a holder is known.
    #[must_use]
    pub fn route(&self, server: &ServerName) -> Option<ServerRoute> {
        let key = self.topology.find_server(server.as_str())?;
        self.route_of(key).cloned()
    }

    /// The route of a backend server by key.
    #[must_use]
    pub fn route_of(&self, key: ServerKey) -> Option<&ServerRoute> {
        self.routes.get(key.index())?.as_ref()
    }

    /// Whether any route leads to a peer address.
    #[must_use]
    pub fn leads_to(&self, address: SocketAddr) -> bool {
        self.routes.iter().flatten().any(|route| route.address == address)
    }
}

/// Time left until `deadline`, in microseconds.
#[must_use]
pub fn budget_us(now: BootTime, deadline: BootTime) -> u64 {
    u64::try_from(deadline.since(now).as_micros()).unwrap_or(u64::MAX)
}
