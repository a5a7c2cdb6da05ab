//! Control state machine of one node.

mod calls;
mod gossip;
mod held_grants;
mod own_lease;
mod sources;
mod takeover_tasks;

use std::sync::LazyLock;

use carobstep_chart::StateChart;
use carobstep_clock::BootTime;
use carobstep_config::{ConfigVersion, IndexName, NodeName, ServerName, ServerState};
use carobstep_wire::{PeerRecord, RefusalReason};
use indexmap::IndexMap;
use strum::{Display, EnumString};

use crate::{
    documents::DocumentTable,
    event::{ControlEffect, ControlEvent, ServerRoute},
    grants::GrantTable,
    lease::LeaseState,
    leaving::LeavingTable,
    options::ControlOptions,
    peers::PeerTable,
    random::SeededRng,
    witness::LeaseWitness,
};
use calls::CallTable;
use gossip::GossipState;
use held_grants::{Acquisition, AssignmentView, HeldGrant};
use own_lease::OwnLease;
use sources::PlatformSources;
use takeover_tasks::{TakeoverKey, TakeoverTask};

/// Maximum time between wakeups while the node is not serving, or while a
/// takeover, an acquisition or a release is pending.
const MAX_BUSY_WAKEUP: std::time::Duration = std::time::Duration::from_millis(100);

/// Lifecycle phase of a node.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Display, EnumString)]
#[strum(serialize_all = "snake_case")]
pub enum NodePhase {
    /// The node has no configuration yet.
    Starting,
    /// The node accepts requests from callers.
    Serving,
    /// The node releases its grants.
    Stopping,
    /// The node releases its lease.
    Leaving,
    /// Shutdown is complete and the process may exit.
    Stopped,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, EnumString)]
#[strum(serialize_all = "snake_case")]
enum NodeInput {
    Configured,
    Stop,
    Released,
    Finished,
}

static CHART: LazyLock<StateChart<NodePhase, NodeInput>> = LazyLock::new(|| {
    StateChart::parse(include_str!("../charts/node.jsonc")).expect("the node chart is valid")
});

/// Control state machine of one node: membership, lease, grants and
/// configuration.
///
/// The caller must report the result of every [`ControlEffect::Object`] and
/// [`ControlEffect::Send`] as an event, with an error if the call times out.
#[derive(Debug)]
pub struct ControlState {
    options: ControlOptions,
    now: BootTime,
    started_at: BootTime,
    stop_deadline: BootTime,
    phase: NodePhase,
    calls: CallTable,
    outbox: Vec<ControlEffect>,
    routes_changed: bool,
    rng: SeededRng,
    lease: OwnLease,
    witness: LeaseWitness<NodeName>,
    peers: PeerTable,
    grants: GrantTable,
    leaving_reports: LeavingTable,
    documents: DocumentTable,
    gossip: GossipState,
    sources: PlatformSources,
    assignment: AssignmentView,
    held_grants: IndexMap<ServerName, HeldGrant>,
    acquisitions: IndexMap<ServerName, Acquisition>,
    takeover_tasks: IndexMap<TakeoverKey, TakeoverTask>,
}

impl ControlState {
    /// Creates the state of a node that starts at `now`.
    ///
    /// The first wakeup is due immediately.
    #[must_use]
    pub fn new(options: ControlOptions, now: BootTime) -> Self {
        Self {
            now,
            started_at: now,
            stop_deadline: BootTime::MAX,
            phase: CHART.initial(),
            calls: CallTable::default(),
            outbox: Vec::new(),
            routes_changed: false,
            rng: SeededRng::new(options.random_seed),
            lease: OwnLease::new(options.node.clone(), options.incarnation, now),
            witness: LeaseWitness::default(),
            peers: PeerTable::default(),
            grants: GrantTable::default(),
            leaving_reports: LeavingTable::default(),
            documents: DocumentTable::default(),
            gossip: GossipState::new(now),
            sources: PlatformSources::new(now),
            assignment: AssignmentView::default(),
            held_grants: IndexMap::new(),
            acquisitions: IndexMap::new(),
            takeover_tasks: IndexMap::new(),
            options,
        }
    }

    /// Handles an event that happened at `now` and appends the resulting
    /// effects to `effects`.
    pub fn handle(&mut self, now: BootTime, event: ControlEvent, effects: &mut Vec<ControlEffect>) {
        if self.lease.was_paused(now, &self.options.lease) {
            self.lease.resumed_at = Some(now);
        }
        self.lease.ran_at = now;
        self.now = now;
        self.handle_event(event);
        self.advance();
        if std::mem::take(&mut self.routes_changed) {
            self.outbox.push(ControlEffect::RoutesChanged);
        }
        effects.append(&mut self.outbox);
    }

    fn handle_event(&mut self, event: ControlEvent) {
        match event {
            ControlEvent::Tick => {}
            ControlEvent::Received { reply, message } => {
                let answer = self.handle_message(message);
                self.outbox.push(ControlEffect::Answer { reply, answer });
            }
            ControlEvent::Replied { call, result } => self.handle_reply(call, result),
            ControlEvent::ObjectReplied { call, result } => self.handle_object_reply(call, result),
            ControlEvent::Watched { kind, name, version, value } => {
                self.handle_change(kind, name, version, value);
            }
            ControlEvent::WatchOpened { .. } => {}
            ControlEvent::WatchLost { kind } => self.handle_watch_lost(kind),
            ControlEvent::ServerIdle { server, idle } => {
                if let Some(held) = self.held_grants.get_mut(&server) {
                    held.set_idle(idle);
                }
            }
            ControlEvent::ServerObserved { server, leaving } => {
                self.observe_server(&server, leaving)
            }
            ControlEvent::PeerReachability { node, reachable } => {
                self.peers.set_reachable(&node, reachable)
            }
            ControlEvent::Stop => self.begin_stop(),
        }
    }

    /// Starts all work that is due at the current time.
    fn advance(&mut self) {
        if self.phase == NodePhase::Stopped {
            return;
        }
        self.advance_lease();
        self.advance_sources();
        self.advance_gossip();
        self.advance_assignment();
        self.advance_takeovers();
        self.advance_acquisitions();
        self.advance_held_grants();
        self.advance_stop();
    }

    /// Returns the time at which the next [`ControlEvent::Tick`] is due.
    #[must_use]
    pub fn next_wakeup(&self) -> BootTime {
        if self.phase == NodePhase::Stopped {
            return BootTime::MAX;
        }
        let regular = self.gossip.next_at.min(self.lease.next_at).max(self.now);
        let busy = !self.takeover_tasks.is_empty()
            || !self.acquisitions.is_empty()
            || self.phase != NodePhase::Serving
            || self.held_grants.values().any(HeldGrant::is_being_released)
            || self.assignment.has_unheld(&self.options.node, &self.held_grants);
        if busy { regular.min(self.now + MAX_BUSY_WAKEUP) } else { regular }
    }

    fn begin_stop(&mut self) {
        if !matches!(self.phase, NodePhase::Starting | NodePhase::Serving) {
            return;
        }
        self.apply(NodeInput::Stop);
        self.stop_deadline = self.now + self.options.grant.stop_timeout;
        self.outbox.push(ControlEffect::Ready(false));
        self.assignment.invalidate();
        self.push_own_record();
    }

    /// Releases the lease once all grants are released, then finishes.
    ///
    /// If the platform does not answer, the node finishes at the stop deadline, as
    /// soon as its held servers are idle. Other nodes then take over the remaining
    /// grants as they do after a crash.
    fn advance_stop(&mut self) {
        if self.phase == NodePhase::Stopping {
            let overdue =
                self.now >= self.stop_deadline && self.held_grants.values().all(HeldGrant::is_idle);
            if self.acquisitions.is_empty() && self.held_grants.is_empty() || overdue {
                self.apply(NodeInput::Released);
                self.lease.next_at = self.now;
                self.advance_lease();
            }
        }
        if self.phase == NodePhase::Leaving {
            let released = self.lease.guard.state() == LeaseState::Released;
            if released || self.now >= self.stop_deadline {
                self.apply(NodeInput::Finished);
                self.outbox.push(ControlEffect::StopFinished);
            }
        }
    }

    fn apply(&mut self, input: NodeInput) {
        if let Some(next) = CHART.next(self.phase, input) {
            self.phase = next;
        }
    }

    /// Returns the epoch of the grant if this node may start a request to
    /// `server` at `now`.
    ///
    /// # Errors
    ///
    /// Returns the reason if the node does not hold the grant, its lease has expired
    /// and too few witnesses vouch for it, or requests of the previous holder may
    /// still run.
    pub fn may_dispatch(&self, now: BootTime, server: &ServerName) -> Result<u64, RefusalReason> {
        let Some(held) = self.held_grants.get(server) else { return Err(RefusalReason::NotHolder) };
        if !self.lease.guard.may_dispatch(now, &self.options.lease) || self.is_lease_doubtful(now) {
            return Err(RefusalReason::LeaseLapsed);
        }
        held.may_dispatch(now)
    }

    /// Returns the time from which requests to a held server may start, `None`
    /// if this node does not hold its grant.
    #[must_use]
    pub fn dispatch_from(&self, server: &ServerName) -> Option<BootTime> {
        self.held_grants.get(server).map(HeldGrant::not_before)
    }

    /// Returns the route to the current holder of a backend server, `None` if no
    /// usable holder is known.
    #[must_use]
    pub fn holder_of(&self, server: &ServerName) -> Option<ServerRoute> {
        let notice = self.grants.get(server)?;
        let holder = notice.holder.clone()?;
        let (epoch, incarnation) = (notice.epoch, notice.incarnation);
        if holder == self.options.node {
            let address = self.options.peer_address;
            return self.held_grants.contains_key(server).then_some(ServerRoute {
                node: holder,
                address,
                epoch,
                incarnation,
            });
        }
        let peer = self.peers.get(&holder)?;
        let address = peer.record.address;
        (peer.record.incarnation == incarnation).then_some(ServerRoute {
            node: holder,
            address,
            epoch,
            incarnation,
        })
    }

    /// Returns the other nodes that are live at `now`.
    pub fn live_peers(&self, now: BootTime) -> impl Iterator<Item = &PeerRecord> {
        let peers = self.peers.iter().filter(move |peer| self.is_usable(now, peer));
        peers.map(|peer| &peer.record)
    }

    /// Returns the backend servers that take no new requests because they are
    /// leaving or the configuration drains them.
    pub fn leaving_servers(&self) -> impl Iterator<Item = &ServerName> {
        let entries =
            self.documents.config().into_iter().flat_map(|entry| entry.topology.servers());
        let drained = entries
            .filter(|(_, server)| server.state == ServerState::Draining)
            .filter(|(_, server)| !self.leaving_reports.is_leaving(&server.name))
            .map(|(_, server)| &server.name);
        self.leaving_reports.leaving().chain(drained)
    }

    /// Returns the servers whose grants this node holds, with the grant epochs.
    pub fn held_grants(&self) -> impl Iterator<Item = (&ServerName, u64)> {
        self.held_grants.iter().map(|(server, held)| (server, held.epoch()))
    }

    /// Returns the state of this node's lease.
    #[must_use]
    pub const fn lease_state(&self) -> LeaseState {
        self.lease.guard.state()
    }

    /// Whether the lease is open and its last confirmed renewal is younger than
    /// the term.
    #[must_use]
    pub fn is_lease_renewed(&self, now: BootTime) -> bool {
        self.lease.guard.state() == LeaseState::Open
            && now < self.lease.guard.term_end(&self.options.lease)
    }

    /// Returns the current incarnation of the node.
    #[must_use]
    pub const fn incarnation(&self) -> u64 {
        self.lease.incarnation
    }

    /// Returns the lifecycle phase of the node.
    #[must_use]
    pub const fn phase(&self) -> NodePhase {
        self.phase
    }

    /// Returns the version of the current configuration, zero if there is none.
    #[must_use]
    pub fn config_version(&self) -> ConfigVersion {
        self.documents.version()
    }

    /// Returns the number of the newest snapshot of each index.
    #[must_use]
    pub fn snapshots(&self) -> Vec<(IndexName, u64)> {
        self.documents.snapshots()
    }

    /// Returns the node, the incarnation and the state of each takeover in
    /// progress.
    pub fn takeovers(&self) -> impl Iterator<Item = (&NodeName, u64, String)> {
        let takeover_tasks = self.takeover_tasks.iter();
        takeover_tasks.map(|(key, task)| (&key.node, key.incarnation, task.state().to_string()))
    }
}
