//! State shared by all tasks of the process.

use std::{
    cell::RefCell, collections::hash_map::RandomState, hash::BuildHasher, net::SocketAddr, rc::Rc,
    sync::Arc,
};

use carobstep_clock::BootTime;
use carobstep_platform::StoredObject;
use carobstep_store::StoreTransport;
use carobstep_tier::{
    AccountKey, AccountTable, AccountUses, AttemptOutcome, AttemptTicket, Configuration,
    CrashDoubts, CrashEvidence, CrashRecord, CrashTable, DirectoryChange, EvacuationTable,
    FinishLag, FleetLimits, LifecyclePhase, LimitChange, LimitNotice, LimitRecord, NodeLifecycle,
    NodeRegistration, NodeSettings, ObservationLedger, OwnedAccounts, OwnerSupport, PauseRequest,
    PeerEntry, PeerTable, QuarantineChange, RelayRoom, RequestAdmission, RequestFingerprint,
    RouteTable, SearchAdmission, ServerDirectory, ServerFleet, ServerIncarnation, ServerKey,
    ServerNotice, ShareLedger, SpreadTiming, StopTiming, StoreRevision, SupportedOwners,
    WeightedRoundRobin,
};
use carobstep_wire::PeerPool;
use indexmap::{IndexMap, IndexSet};
use log::{info, warn};
use slotmap::SecondaryMap;
use tokio::sync::{Notify, watch};

use crate::{
    accounts::log_conflicts,
    backend::ServerPool,
    byte_budget::ByteBudget,
    callers::CallerListeners,
    follow::StoreFreshness,
    report::{GaugeReadings, NoticeKind, Reporter},
};

/// Number of nodes assumed to share [`FleetLimits`] until the list of nodes is known.
const INITIAL_NODE_COUNT: u32 = 10;

/// Minimum number of nodes assumed to share [`FleetLimits`], because further nodes
/// may start at any time.
const MIN_NODE_COUNT: u32 = 4;

/// Number of changes of servers at the same time that get a log line each; more get one
/// line together.
const MAX_LOGGED_CHANGES: usize = 32;

/// Maximum number of requests whose standing waits to be written to the store.
const MAX_UNSTORED: usize = 1024;

/// Share of the process's memory that responses of servers may take.
const RESPONSE_MEMORY_SHARE: f64 = 0.2;

/// Memory assumed for a process without a limit, in bytes.
const DEFAULT_MEMORY_BYTES: usize = 256 * 1024 * 1024;

/// Returns the limit on the response bytes that the process holds.
fn max_held_bytes(memory_bytes: Option<usize>) -> usize {
    (memory_bytes.unwrap_or(DEFAULT_MEMORY_BYTES) as f64 * RESPONSE_MEMORY_SHARE) as usize
}

/// Process state; all of it is used from one thread.
pub(crate) struct Gateway {
    pub(crate) settings: NodeSettings,
    pub(crate) store: StoreTransport,
    pub(crate) reporter: Reporter,
    pub(crate) peer_pool: PeerPool,
    pub(crate) state: RefCell<GatewayState>,
    /// Number of changes so far; an increment wakes the calls of peers that wait for
    /// an update.
    pub(crate) change_count: watch::Sender<u64>,
    /// Times of the calls that spread the store's data.
    pub(crate) timing: SpreadTiming,
    /// Wakes the task that looks after the links to servers.
    pub(crate) links_notify: Notify,
    /// Wakes the task that announces the requests that this node has quarantined or cleared.
    pub(crate) quarantine_notify: Notify,
    /// Wakes the task that tells other nodes of servers that fail.
    pub(crate) failures_notify: Notify,
    /// Wakes the task that asks for tokens of shared retry budgets.
    pub(crate) extra_notify: Notify,
    /// Wakes the task that tells nodes of accounts that have used up their limits.
    pub(crate) accounts_notify: Notify,
    /// Start time of the process.
    pub(crate) started: BootTime,
    /// Non-zero random number that distinguishes this process from earlier ones
    /// of the same node.
    pub(crate) incarnation: u64,
    /// Set to `true` to stop accepting callers, and to close connections as soon as
    /// they are idle.
    pub(crate) closing: watch::Sender<bool>,
    /// Connections of callers, of the load balancer and of readers of the metrics.
    pub(crate) callers: CallerListeners,
}

/// Mutable state: configuration, known servers and nodes, and lifecycle.
pub(crate) struct GatewayState {
    pub(crate) configuration: Rc<Configuration>,
    /// Store object that the configuration was read from, forwarded to peers.
    pub(crate) configuration_object: Option<StoredObject>,
    /// Store revision up to which all changes of the configuration are applied.
    pub(crate) configuration_revision: StoreRevision,
    pub(crate) freshness: StoreFreshness,
    pub(crate) routes: RouteTable,
    pub(crate) accounts: AccountTable,
    /// Requests of client accounts that this node has admitted.
    pub(crate) account_uses: AccountUses,
    /// Client accounts whose limits this node shares out.
    pub(crate) owned_accounts: OwnedAccounts,
    /// Accounts whose requests are being reported to their owners.
    pub(crate) reporting: IndexSet<AccountKey>,
    pub(crate) round_robin: WeightedRoundRobin,
    pub(crate) directory: ServerDirectory,
    pub(crate) fleet: ServerFleet,
    /// Tokens that this node shares out.
    pub(crate) quotas: ShareLedger,
    /// Nodes that take this one for the owner of limits.
    pub(crate) support: OwnerSupport,
    /// Nodes that take this one for the owner of the limits on cold servers.
    pub(crate) cold_support: OwnerSupport,
    /// Nodes that this one takes for the owners of those limits.
    pub(crate) cold_owners: SupportedOwners,
    /// Failures of servers that the nodes of the zone have reported to this one.
    pub(crate) observations: ObservationLedger,
    /// When nodes of the zone last heard of such failures from this one.
    pub(crate) observation_contacts: IndexMap<Arc<str>, BootTime>,
    /// Decides which searches can still be served.
    pub(crate) admission: SearchAdmission,
    /// Room for requests of nodes that have lost their links to servers.
    pub(crate) room: RelayRoom,
    /// Requests that crashed servers.
    pub(crate) crashes: CrashTable,
    /// Crashes that may be lost links.
    pub(crate) crash_doubts: CrashDoubts,
    /// Requests that this node has quarantined or cleared and not announced yet.
    pub(crate) unannounced: Vec<RequestFingerprint>,
    pub(crate) evacuations: EvacuationTable,
    /// Whether the followed peer sends no data in addition to changes in the store.
    pub(crate) follows_old_peer: bool,
    /// Requests whose standing has changed and is to be written to the store.
    pub(crate) unstored: IndexSet<RequestFingerprint>,
    /// Wakes the task that writes them.
    pub(crate) unstored_notify: Rc<Notify>,
    /// Requests whose objects in the store this node looks after.
    pub(crate) stored: IndexSet<RequestFingerprint>,
    pub(crate) peers: PeerTable,
    /// Number of requests since the start of the process.
    pub(crate) requests: usize,
    pub(crate) finish_lag: FinishLag,
    pub(crate) lifecycle: NodeLifecycle,
    pub(crate) in_flight: usize,
    pub(crate) registration: NodeRegistration,
    /// Whether a peer has sent its copy of the store's data.
    pub(crate) has_peer_copy: bool,
    pub(crate) pools: SecondaryMap<ServerKey, Rc<ServerPool>>,
    pub(crate) byte_budget: Rc<ByteBudget>,
}

/// Counts a request as in flight until it is answered or its caller disconnects.
pub(crate) struct InFlightGuard<'gateway>(&'gateway Gateway);

impl<'gateway> InFlightGuard<'gateway> {
    pub(crate) fn new(gateway: &'gateway Gateway) -> Self {
        gateway.state.borrow_mut().in_flight += 1;
        Self(gateway)
    }
}

impl Drop for InFlightGuard<'_> {
    fn drop(&mut self) {
        self.0.state.borrow_mut().in_flight -= 1;
    }
}

impl Gateway {
    pub(crate) fn new(settings: NodeSettings, reporter: Reporter) -> Self {
        let limits = FleetLimits {
            retry_ratio: settings.bounds.retry_ratio,
            retry_slack: settings.bounds.retry_slack,
            nodes: INITIAL_NODE_COUNT,
        };
        let own = PeerEntry {
            name: settings.node.as_str().into(),
            zone: settings.zone.clone(),
            address: SocketAddr::new(settings.caller_listener.ip(), settings.peer_port),
            cpu_share: settings.cpu_share,
            link_mbps: settings.link_mbps,
        };
        let started = BootTime::now();
        let incarnation = RandomState::new().hash_one(settings.node.as_str()).max(1);
        // The connection events of the pool are not needed: each delegation
        // reports the failure of its peer itself.
        let (peer_pool, _) = PeerPool::new(Some(settings.caller_listener.ip()));
        let state = GatewayState {
            configuration: Rc::new(Configuration::default()),
            configuration_object: None,
            configuration_revision: StoreRevision::default(),
            freshness: StoreFreshness::default(),
            routes: RouteTable::default(),
            accounts: AccountTable::default(),
            account_uses: AccountUses::new(started),
            owned_accounts: OwnedAccounts::new(started),
            reporting: IndexSet::new(),
            round_robin: WeightedRoundRobin::default(),
            directory: ServerDirectory::default(),
            fleet: ServerFleet::new(settings.zone.clone(), limits)
                .with_seed(incarnation)
                .with_cold_bounds(settings.bounds.cold),
            quotas: ShareLedger::default(),
            support: OwnerSupport::default(),
            cold_support: OwnerSupport::default(),
            cold_owners: SupportedOwners::default(),
            observations: ObservationLedger::default(),
            observation_contacts: IndexMap::new(),
            admission: SearchAdmission::default(),
            room: RelayRoom::new(BootTime::now()),
            crashes: CrashTable::default(),
            crash_doubts: CrashDoubts::default(),
            unannounced: Vec::new(),
            evacuations: EvacuationTable::default(),
            follows_old_peer: false,
            unstored: IndexSet::new(),
            unstored_notify: Rc::default(),
            stored: IndexSet::new(),
            peers: PeerTable::new(own),
            requests: 0,
            finish_lag: FinishLag::new(settings.cpu_share),
            lifecycle: NodeLifecycle::new(StopTiming::within(settings.bounds.grace)),
            in_flight: 0,
            registration: NodeRegistration::default(),
            has_peer_copy: false,
            pools: SecondaryMap::new(),
            byte_budget: Rc::new(ByteBudget::new(max_held_bytes(settings.memory_bytes))),
        };
        Self {
            store: StoreTransport::new(settings.store),
            reporter,
            peer_pool,
            state: RefCell::new(state),
            change_count: watch::Sender::new(0),
            timing: SpreadTiming::within(settings.bounds.spread),
            links_notify: Notify::new(),
            quarantine_notify: Notify::new(),
            failures_notify: Notify::new(),
            extra_notify: Notify::new(),
            accounts_notify: Notify::new(),
            started,
            incarnation,
            closing: watch::Sender::new(false),
            callers: CallerListeners::new(settings.memory_bytes, settings.max_descriptors),
            settings,
        }
    }

    /// Applies a configuration if its version is greater than the current one.
    pub(crate) fn apply_configuration(&self, configuration: Configuration, object: StoredObject) {
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
        let conflicts = state.accounts.configure(configuration.accounts.as_deref());
        log_conflicts(&conflicts);
        state.round_robin.retain(&configuration);
        state.fleet.configure(BootTime::now(), &configuration);
        state.lifecycle.on_configuration();
        state.configuration = Rc::new(configuration);
        state.configuration_object = Some(object);
        self.notify_peers();
    }

    /// Wakes the calls of peers that wait for an update.
    pub(crate) fn notify_peers(&self) {
        self.change_count.send_modify(|count| *count += 1);
    }

    /// Applies changes of the list of servers.
    pub(crate) fn apply_changes(&self, changes: &[DirectoryChange]) {
        if changes.is_empty() {
            return;
        }
        let now = BootTime::now();
        let state = &mut *self.state.borrow_mut();
        let is_logged = changes.len() <= MAX_LOGGED_CHANGES;
        if !is_logged {
            info!(changes = changes.len(); "servers changed");
        }
        for change in changes {
            match change {
                _ if !is_logged => {}
                DirectoryChange::Changed(entry) => info!(
                    server = entry.id.as_ref(), service = entry.service.as_ref(),
                    address:% = entry.address, phase:% = entry.phase;
                    "server changed"
                ),
                DirectoryChange::Removed(id) => info!(server = id.as_ref(); "server gone"),
            }
            if let Some(key) = state.fleet.apply(now, change) {
                state.pools.remove(key);
            }
        }
        self.notify_peers();
    }

    /// Applies a change to the list of nodes and adjusts the limits to their number.
    pub(crate) fn update_peers(&self, change: impl FnOnce(&mut PeerTable)) {
        let state = &mut *self.state.borrow_mut();
        change(&mut state.peers);
        let nodes = state.peers.live_nodes();
        let bounds = self.settings.bounds;
        let limits = FleetLimits {
            retry_ratio: bounds.retry_ratio,
            retry_slack: bounds.retry_slack,
            nodes: nodes.max(MIN_NODE_COUNT),
        };
        state.fleet.set_limits(limits);
        state.fleet.set_extra_pool(limits.extra_pool(bounds.retry_window, state.peers.zones()));
        self.notify_peers();
    }

    /// Applies what a response of a server, to a request that was sent at `sent` on a
    /// connection that was opened at `opened`, says about the server.
    pub(crate) fn apply_notice(
        &self,
        server: ServerKey,
        (opened, sent): (BootTime, BootTime),
        incarnation: &ServerIncarnation,
        notice: ServerNotice,
    ) {
        {
            let state = &mut *self.state.borrow_mut();
            state.fleet.on_response(BootTime::now(), server);
            if let Some(exonerated) = state.fleet.exonerate(opened, server) {
                state.refute_crash(&exonerated);
                self.notify_peers();
                self.quarantine_notify.notify_one();
            }
        }
        if notice == ServerNotice::default() {
            return;
        }
        if let Some(cold_for) = notice.cold_for {
            self.record_cold(server, cold_for);
        }
        match notice.pause {
            PauseRequest::None => {}
            PauseRequest::For(pause) => {
                self.reporter.count_server_notice(NoticeKind::Pause);
                self.state.borrow_mut().fleet.pause_server(BootTime::now(), server, pause);
            }
            PauseRequest::Unreadable => {
                self.reporter.count_server_notice(NoticeKind::UnreadablePause);
            }
        }
        match notice.limit {
            LimitNotice::Unknown | LimitNotice::Unlimited => {}
            LimitNotice::Limited(_) => self.reporter.count_server_notice(NoticeKind::Limit),
            LimitNotice::Unreadable => {
                self.reporter.count_server_notice(NoticeKind::UnreadableLimit);
            }
        }
        let change = {
            let fleet = &mut self.state.borrow_mut().fleet;
            fleet.observe_limit(BootTime::now(), sent, incarnation, notice.limit)
        };
        if let Some(change) = change {
            self.log_limit(incarnation, change, "response");
            self.notify_peers();
        }
        if notice.is_leaving {
            self.reporter.count_server_notice(NoticeKind::Leaving);
            self.mark_leaving(std::slice::from_ref(incarnation));
        }
    }

    /// Applies limits on requests that another node knows of.
    pub(crate) fn merge_limits(&self, records: &[LimitRecord]) {
        if records.is_empty() {
            return;
        }
        let (before, after, changes) = {
            let fleet = &mut self.state.borrow_mut().fleet;
            let before = fleet.last_limit_change();
            let changes = fleet.merge_limits(BootTime::now(), records);
            (before, fleet.last_limit_change(), changes)
        };
        for (server, change) in changes {
            self.log_limit(&server, change, "peer");
        }
        if after != before {
            self.notify_peers();
        }
    }

    fn log_limit(&self, server: &ServerIncarnation, change: LimitChange, source: &str) {
        match change {
            LimitChange::Named(rate) => info!(
                server = server.id.as_ref(), per_second = rate.per_second(), source = source;
                "server names a request limit"
            ),
            LimitChange::Ended { attempts } => info!(
                server = server.id.as_ref(), attempts = attempts, source = source;
                "server names no request limit any more"
            ),
        }
    }

    /// Returns whether and how a request may be sent to servers.
    pub(crate) fn admit(&self, request: RequestFingerprint) -> RequestAdmission {
        let now = BootTime::now();
        let state = &mut *self.state.borrow_mut();
        if !state.crashes.is_suspected(request) {
            return RequestAdmission::Free;
        }
        let is_prober = state.peers.is_first_for(now, &request.to_string());
        let before = state.crashes.last_change();
        let admission = state.crashes.admit(now, request, is_prober);
        if state.crashes.last_change() != before {
            state.store_later(request);
            self.notify_peers();
        }
        admission
    }

    /// Applies what another node knows of requests that crashed servers.
    pub(crate) fn merge_crashes(&self, records: &[CrashRecord]) {
        if records.is_empty() {
            return;
        }
        let now = BootTime::now();
        let state = &mut *self.state.borrow_mut();
        let before = state.crashes.last_change();
        for record in records {
            let change = state.crashes.merge(now, record);
            log_quarantine(record.request, change);
            // The evidence of several nodes may have come together here first.
            if change.is_some() && state.peers.is_first_for(now, &record.request.to_string()) {
                state.store_later(record.request);
            }
        }
        if state.crashes.last_change() != before {
            state.fleet.accuse_by_evidence(now, state.crashes.evidence());
            self.notify_peers();
        }
    }

    /// Stops new requests to servers that are leaving.
    pub(crate) fn mark_leaving(&self, servers: &[ServerIncarnation]) {
        if servers.is_empty() {
            return;
        }
        let now = BootTime::now();
        let changes: Vec<_> = {
            let directory = &mut self.state.borrow_mut().directory;
            servers.iter().filter_map(|server| directory.mark_leaving(now, server)).collect()
        };
        self.apply_changes(&changes);
    }

    /// Returns the servers that recently said that they are leaving.
    pub(crate) fn recently_leaving(&self) -> Vec<ServerIncarnation> {
        self.state.borrow().directory.recently_leaving(BootTime::now())
    }

    /// Records the time at which the answer to a search is ready, if it was waited for
    /// until the answer time.
    pub(crate) fn record_finish(&self, answer_by: BootTime, shards: usize) {
        let now = BootTime::now();
        if now >= answer_by {
            self.state.borrow_mut().finish_lag.record(shards, now.since(answer_by));
        }
    }

    /// Records the outcome of an attempt.
    pub(crate) fn record_attempt(&self, ticket: AttemptTicket, outcome: AttemptOutcome) {
        self.reporter.count_attempt(outcome);
        if outcome.is_failure() {
            self.failures_notify.notify_one();
        }
        self.state.borrow_mut().fleet.on_attempt_ended(BootTime::now(), ticket, outcome);
    }

    /// Returns the connection pool of a server, creating it on first use; `None`
    /// if the server no longer exists.
    pub(crate) fn pool(&self, key: ServerKey) -> Option<Rc<ServerPool>> {
        let state = &mut *self.state.borrow_mut();
        if let Some(pool) = state.pools.get(key) {
            // The server may have moved to another zone.
            pool.is_evacuated.set(state.fleet.is_evacuated(key));
            return Some(pool.clone());
        }
        let endpoint = state.fleet.endpoint(key)?;
        let pool = Rc::new(ServerPool::new(&endpoint.entry, state.byte_budget.clone()));
        pool.is_evacuated.set(state.fleet.is_evacuated(key));
        state.pools.insert(key, pool.clone());
        Some(pool)
    }

    pub(crate) fn phase(&self) -> LifecyclePhase {
        let state = self.state.borrow();
        let unfinished = state.in_flight + self.callers.callers.answering();
        state.lifecycle.phase(BootTime::now(), unfinished)
    }

    /// Reads the gauges, and returns every metric in the text format of Prometheus.
    pub(crate) fn metrics(&self) -> Vec<u8> {
        let ready = self.phase() == LifecyclePhase::Ready;
        let readings = {
            let state = self.state.borrow();
            let now = BootTime::now();
            GaugeReadings {
                version: state.configuration.version,
                servers: state.fleet.server_count(),
                nodes: state.peers.live_nodes(),
                in_flight: state.in_flight,
                store_age: state.freshness.age(now),
                store_era: state.directory.revision().era,
                ready,
                quarantined_requests: state.crashes.quarantined(),
                paced_servers: state.fleet.paced_servers(now),
                evacuated_zones: state.evacuations.zones().count(),
                limited_servers: state.fleet.limited_servers(now),
                failing_servers: state.fleet.failing_servers(now),
                unreachable_zones: state.fleet.lost_zones(now).len(),
                lost_servers: state.fleet.lost_servers(now),
                nodes_without_links: state.peers.link_reports().nodes_without_links(),
                extra_use: state.fleet.extra_use(),
                client_accounts: state.accounts.len(),
                short_accounts: state.account_uses.short_accounts(now),
                callers: self.callers.callers.usage(),
            }
        };
        self.reporter.encode_metrics(readings)
    }
}

impl GatewayState {
    /// Records that a server has not crashed after all.
    fn refute_crash(&mut self, server: &ServerIncarnation) {
        let evidence = CrashEvidence::of(server);
        for (request, change) in self.crashes.refute(BootTime::now(), evidence) {
            self.on_quarantine(request, Some(change));
        }
    }

    /// Records the crashes that are certain to be no lost links; returns whether there are any.
    pub(crate) fn resolve_crash_doubts(&mut self, now: BootTime) -> bool {
        let confirmed = self.crash_doubts.resolve(now, &self.fleet);
        for (request, evidence) in &confirmed {
            self.record_crash(*request, *evidence);
        }
        !confirmed.is_empty()
    }

    /// Returns whether servers may have crashed under a request.
    pub(crate) fn is_suspected(&self, request: RequestFingerprint) -> bool {
        self.crashes.is_suspected(request) || self.crash_doubts.is_suspected(request)
    }

    /// Records that a server has crashed under a request.
    pub(crate) fn record_crash(&mut self, request: RequestFingerprint, evidence: CrashEvidence) {
        let change = self.crashes.record_crash(BootTime::now(), request, evidence);
        self.on_quarantine(request, change);
    }

    /// Records that a server has responded to a request.
    pub(crate) fn record_response(&mut self, request: RequestFingerprint) {
        let change = self.crashes.record_response(BootTime::now(), request);
        self.on_quarantine(request, change);
    }

    fn store_later(&mut self, request: RequestFingerprint) {
        if self.unstored.len() < MAX_UNSTORED {
            self.unstored.insert(request);
            self.unstored_notify.notify_one();
        }
    }

    fn on_quarantine(&mut self, request: RequestFingerprint, change: Option<QuarantineChange>) {
        log_quarantine(request, change);
        if change.is_some() {
            self.unannounced.push(request);
            self.store_later(request);
        }
    }
}

fn log_quarantine(request: RequestFingerprint, change: Option<QuarantineChange>) {
    match change {
        None => {}
        Some(QuarantineChange::Started) => {
            warn!(fingerprint:% = request; "servers crashed under a request; it is refused");
        }
        Some(QuarantineChange::Ended) => {
            info!(fingerprint:% = request; "a request that was refused is sent again");
        }
    }
}
