//! The control state of one node.

mod calls;
mod gossip;
mod holds;
mod own_lease;
mod pursuit;
mod sources;

use std::sync::LazyLock;

use carobstep_chart::StateChart;
use carobstep_clock::BootTime;
use carobstep_config::{ConfigVersion, IndexName, NodeName, ServerName, ServerState};
use carobstep_wire::{PeerRecord, RefusalReason};
use indexmap::IndexMap;
use strum::{Display, EnumString};

use crate::{
    event::{ControlEffect, ControlEvent, ServerRoute},
    lease::LeaseState,
    options::ControlOptions,
    peers::PeerTable,
    random::ChoiceSource,
    routes::GrantTable,
    signs::SignTable,
    spread::ConfigSpread,
    witness::LeaseWitness,
};
use calls::CallTable;
use gossip::GossipDesk;
use holds::{Acquisition, AssignmentView, Hold};
use own_lease::OwnLease;
use pursuit::{Pursuit, PursuitKey};
use sources::SourceDesk;

/// Longest time between two wakeups while something is under way.
const BUSY_WAKEUP: std::time::Duration = std::time::Duration::from_millis(100);

/// Where a node is between its start and its exit.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Display, EnumString)]
#[strum(serialize_all = "snake_case")]
pub enum NodePhase {
    /// No configuration yet.
    Starting,
    /// Ready for callers.
    Serving,
    /// Handing its grants over.
    Stopping,
    /// Giving its lease up.
    Leaving,
    /// Done; the process may exit.
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

/// The control side of one node: membership, lease, grants and configuration.
///
/// Every call and message that it asks for must be answered, if only by an
/// error after a timeout.
#[derive(Debug)]
pub struct ControlState {
    options: ControlOptions,
    now: BootTime,
    started_at: BootTime,
    stop_at: BootTime,
    phase: NodePhase,
    calls: CallTable,
    outbox: Vec<ControlEffect>,
    routes_changed: bool,
    choice: ChoiceSource,
    lease: OwnLease,
    witness: LeaseWitness<NodeName>,
    peers: PeerTable,
    grants: GrantTable,
    signs: SignTable,
    spread: ConfigSpread,
    gossip: GossipDesk,
    sources: SourceDesk,
    assignment: AssignmentView,
    holds: IndexMap<ServerName, Hold>,
    acquisitions: IndexMap<ServerName, Acquisition>,
    pursuits: IndexMap<PursuitKey, Pursuit>,
}

impl ControlState {
    /// A node that starts at `now`; its first wakeup is at once.
    #[must_use]
    pub fn new(options: ControlOptions, now: BootTime) -> Self {
        Self {
            now,
            started_at: now,
            stop_at: BootTime::MAX,
            phase: CHART.initial(),
            calls: CallTable::default(),
            outbox: Vec::new(),
            routes_changed: false,
            choice: ChoiceSource::new(options.random_seed),
            lease: OwnLease::new(options.node.clone(), options.incarnation, now),
            witness: LeaseWitness::default(),
            peers: PeerTable::default(),
            grants: GrantTable::default(),
            signs: SignTable::default(),
            spread: ConfigSpread::default(),
            gossip: GossipDesk::new(now),
            sources: SourceDesk::new(now),
            assignment: AssignmentView::default(),
            holds: IndexMap::new(),
            acquisitions: IndexMap::new(),
            pursuits: IndexMap::new(),
            options,
        }
    }

    /// Takes in an event and appends what has to be done.
    pub fn handle(&mut self, now: BootTime, event: ControlEvent, effects: &mut Vec<ControlEffect>) {
        self.now = now;
        self.take(event);
        self.advance();
        if std::mem::take(&mut self.routes_changed) {
            self.outbox.push(ControlEffect::RoutesChanged);
        }
        effects.append(&mut self.outbox);
    }

    fn take(&mut self, event: ControlEvent) {
        match event {
            ControlEvent::Tick => {}
            ControlEvent::Received { reply, message } => {
                let answer = self.take_message(message);
                self.outbox.push(ControlEffect::Answer { reply, answer });
            }
            ControlEvent::Replied { call, result } => self.take_reply(call, result),
            ControlEvent::ObjectAnswer { call, result } => self.take_object(call, result),
            ControlEvent::Watched { kind, name, version, value } => {
                self.take_change(kind, name, version, value);
            }
            ControlEvent::WatchOpened { .. } => {}
            ControlEvent::WatchLost { kind } => self.lose_watch(kind),
            ControlEvent::ServerIdle { server, idle } => {
                if let Some(hold) = self.holds.get_mut(&server) {
                    hold.set_idle(idle);
                }
            }
            ControlEvent::ServerSeen { server, leaving } => self.observe_server(&server, leaving),
            ControlEvent::PeerSeen { node, reachable } => self.peers.seen(&node, reachable),
            ControlEvent::Stop => self.begin_stop(),
        }
    }

    /// Runs every part that is due.
    fn advance(&mut self) {
        if self.phase == NodePhase::Stopped {
            return;
        }
        self.advance_lease();
        self.advance_sources();
        self.advance_gossip();
        self.advance_assignment();
        self.advance_pursuits();
        self.advance_acquisitions();
        self.advance_holds();
        self.advance_stop();
    }

    /// When the next [`ControlEvent::Tick`] is due.
    #[must_use]
    pub fn next_wakeup(&self) -> BootTime {
        if self.phase == NodePhase::Stopped {
            return BootTime::MAX;
        }
        let regular = self.gossip.next_at.min(self.lease.next_at).max(self.now);
        let busy = !self.pursuits.is_empty()
            || !self.acquisitions.is_empty()
            || self.phase != NodePhase::Serving
            || self.holds.values().any(Hold::is_leaving)
            || self.assignment.has_free(&self.options.node, &self.holds);
        if busy { regular.min(self.now + BUSY_WAKEUP) } else { regular }
    }

    fn begin_stop(&mut self) {
        if !matches!(self.phase, NodePhase::Starting | NodePhase::Serving) {
            return;
        }
        self.apply(NodeInput::Stop);
        self.stop_at = self.now + self.options.grant.stop;
        self.outbox.push(ControlEffect::Ready(false));
        self.assignment.invalidate();
        self.push_news_of_self();
    }

    /// Gives up the lease once every grant is handed over.
    ///
    /// A platform that does not answer delays the exit only until the stop
    /// time; what was not handed over is then proven by the usual rules.
    fn advance_stop(&mut self) {
        if self.phase == NodePhase::Stopping {
            let overdue = self.now >= self.stop_at && self.holds.values().all(Hold::is_idle);
            if self.acquisitions.is_empty() && self.holds.is_empty() || overdue {
                self.apply(NodeInput::Released);
                self.lease.next_at = self.now;
                self.advance_lease();
            }
        }
        if self.phase == NodePhase::Leaving {
            let released = self.lease.guard.state() == LeaseState::Released;
            if released || self.now >= self.stop_at {
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

    /// Whether a request to a held server may start at `now`.
    ///
    /// Returns the epoch of the grant.
    ///
    /// # Errors
    ///
    /// Names the reason for which the request must not start.
    pub fn may_dispatch(&self, now: BootTime, server: &ServerName) -> Result<u64, RefusalReason> {
        let Some(hold) = self.holds.get(server) else { return Err(RefusalReason::NotHolder) };
        if !self.lease.guard.may_dispatch(now, &self.options.lease) {
            return Err(RefusalReason::LeaseLapsed);
        }
        hold.may_dispatch(now)
    }

    /// From when requests to a held server may start.
    #[must_use]
    pub fn dispatch_from(&self, server: &ServerName) -> Option<BootTime> {
        self.holds.get(server).map(Hold::not_before)
    }

    /// Where requests to a backend server go.
    #[must_use]
    pub fn holder_of(&self, server: &ServerName) -> Option<ServerRoute> {
        let notice = self.grants.get(server)?;
        let holder = notice.holder.clone()?;
        let (epoch, incarnation) = (notice.epoch, notice.incarnation);
        if holder == self.options.node {
            let address = self.options.peer_address;
            return self.holds.contains_key(server).then_some(ServerRoute {
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

    /// Nodes that can be used, the node itself left out.
    pub fn live_peers(&self, now: BootTime) -> impl Iterator<Item = &PeerRecord> {
        let peers = self.peers.iter().filter(move |peer| self.is_usable(now, peer));
        peers.map(|peer| &peer.record)
    }

    /// Backend servers that take no new requests.
    pub fn leaving_servers(&self) -> impl Iterator<Item = &ServerName> {
        let entries = self.spread.config().into_iter().flat_map(|entry| entry.topology.servers());
        let drained = entries
            .filter(|(_, server)| server.state == ServerState::Draining)
            .filter(|(_, server)| !self.signs.is_leaving(&server.name))
            .map(|(_, server)| &server.name);
        self.signs.leaving().chain(drained)
    }

    /// Grants that the node holds, with their epochs.
    pub fn held_grants(&self) -> impl Iterator<Item = (&ServerName, u64)> {
        self.holds.iter().map(|(server, hold)| (server, hold.epoch()))
    }

    /// State of the own lease.
    #[must_use]
    pub const fn lease_state(&self) -> LeaseState {
        self.lease.guard.state()
    }

    /// Whether the last renewal is younger than the term.
    #[must_use]
    pub fn is_lease_renewed(&self, now: BootTime) -> bool {
        self.lease.guard.state() == LeaseState::Open
            && now < self.lease.guard.term_end(&self.options.lease)
    }

    /// Incarnation of the node.
    #[must_use]
    pub const fn incarnation(&self) -> u64 {
        self.lease.incarnation
    }

    /// Where the node is between its start and its exit.
    #[must_use]
    pub const fn phase(&self) -> NodePhase {
        self.phase
    }

    /// Version of the configuration in force, zero before the first.
    #[must_use]
    pub fn config_version(&self) -> ConfigVersion {
        self.spread.version()
    }

    /// Newest snapshot of each index.
    #[must_use]
    pub fn snapshots(&self) -> Vec<(IndexName, u64)> {
        self.spread.snapshots()
    }

    /// Takeovers under way: the other node, its incarnation and the step.
    pub fn takeovers(&self) -> impl Iterator<Item = (&NodeName, u64, String)> {
        let pursuits = self.pursuits.iter();
        pursuits.map(|(key, pursuit)| (&key.node, key.incarnation, pursuit.state().to_string()))
    }
}
