//! Control states of several nodes, connected to each other and to an in-memory
//! object store, on a simulated clock that tests advance.

use std::{collections::VecDeque, net::SocketAddr, time::Duration};

use carobstep_clock::BootTime;
use carobstep_config::{NodeName, ServerName, ZoneName};
use carobstep_control::{
    ControlEffect, ControlEvent, ControlOptions, ControlState, GossipTiming, GrantTiming,
    LeaseTiming, PeerFailure,
};
use carobstep_store::{
    ObjectCall, ObjectKind, ObjectReply, ObjectVersion, StoreError, StoreErrorKind, StoredObject,
    VmRecord, WriteCondition,
};
use indexmap::IndexMap;
use serde_json::{Value, json};

/// Step of the simulated clock.
const STEP: Duration = Duration::from_millis(100);

/// Maximum number of events in one step. More events mean that a node retries
/// without a delay.
const MAX_EVENTS_PER_STEP: usize = 100_000;

/// In-memory replacement for the platform's versioned object store.
#[derive(Default)]
pub struct Store {
    pub version: u64,
    pub objects: IndexMap<(ObjectKind, String), (u64, Value)>,
    pub vms: Vec<VmRecord>,
    pub calls: u64,
}

impl Store {
    pub fn write(&mut self, kind: ObjectKind, name: &str, value: Value) -> ObjectVersion {
        self.version += 1;
        self.objects.insert((kind, name.to_owned()), (self.version, value));
        ObjectVersion(self.version)
    }

    pub fn value(&self, kind: ObjectKind, name: &str) -> Value {
        self.objects
            .get(&(kind, name.to_owned()))
            .map(|(_, value)| value.clone())
            .unwrap_or_default()
    }

    fn call(&mut self, call: ObjectCall) -> ObjectReply {
        self.calls += 1;
        match call {
            ObjectCall::Get { kind, name } => match self.objects.get(&(kind, name.clone())) {
                Some((version, value)) => ObjectReply::Found(stored(&name, *version, value)),
                None => ObjectReply::Missing,
            },
            ObjectCall::List { kind } => {
                let objects = self.objects.iter().filter(|((other, _), _)| *other == kind);
                let items =
                    objects.map(|((_, name), (version, value))| stored(name, *version, value));
                ObjectReply::Listed { version: ObjectVersion(self.version), items: items.collect() }
            }
            ObjectCall::Put { kind, name, condition, value } => {
                let found = self.objects.get(&(kind, name.clone())).map(|(version, _)| *version);
                let holds = match condition {
                    WriteCondition::Absent => found.is_none(),
                    WriteCondition::At(version) => found == Some(version.0),
                };
                if !holds {
                    return ObjectReply::ConditionFailed;
                }
                ObjectReply::Written(self.write(kind, &name, value))
            }
            ObjectCall::Delete { .. } => ObjectReply::ConditionFailed,
            ObjectCall::ListVms => ObjectReply::Vms(self.vms.clone()),
        }
    }
}

fn stored(name: &str, version: u64, value: &Value) -> StoredObject {
    StoredObject { name: name.to_owned(), version: ObjectVersion(version), value: value.clone() }
}

/// A simulated node and its injected faults.
pub struct TestNode {
    pub state: ControlState,
    pub address: SocketAddr,
    pub alive: bool,
    /// Whether the node has been removed for good.
    pub removed: bool,
    pub reaches_store: bool,
    /// Number of further writes that take effect but whose replies are lost.
    pub replies_to_lose: u32,
    /// Whether servers become idle as soon as they begin to drain.
    pub drains_immediately: bool,
    pub effects: Vec<ControlEffect>,
    pub stopped: bool,
    pub bytes_sent: usize,
    pub bytes_received: usize,
    /// Number of calls about a lease, including those that did not reach the store.
    pub lease_calls: u64,
    watches: IndexMap<ObjectKind, u64>,
}

/// Simulated nodes, their store and the links between them.
pub struct TestZone {
    pub now: BootTime,
    pub store: Store,
    pub nodes: Vec<TestNode>,
    pub broken_links: Vec<(usize, usize)>,
    pending_events: VecDeque<(usize, ControlEvent)>,
}

pub fn name(idx: usize) -> NodeName {
    NodeName::try_from(format!("n{idx}")).unwrap()
}

pub fn server(text: &str) -> ServerName {
    ServerName::try_from(text).unwrap()
}

pub fn options(idx: usize, zone: &str) -> ControlOptions {
    ControlOptions {
        node: name(idx),
        zone: ZoneName::try_from(zone).unwrap(),
        region: "r1".to_owned(),
        peer_address: address(idx),
        operators_address: address(idx + 1000),
        incarnation: 1,
        seeds: (0..3).map(address).collect(),
        random_seed: idx as u64,
        lease: LeaseTiming::default(),
        gossip: GossipTiming::default(),
        grant: GrantTiming::default(),
    }
}

pub fn address(idx: usize) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 7000 + u16::try_from(idx).unwrap()))
}

/// Returns a configuration with `services` services of two servers each in zone
/// `z1`.
pub fn config(version: u64, services: usize) -> Value {
    config_in(version, services, 1)
}

/// Returns a configuration whose services are distributed round-robin over
/// `zones` zones, from `z1` on.
pub fn config_in(version: u64, services: usize, zones: usize) -> Value {
    let mut entries = serde_json::Map::new();
    for service in 0..services {
        let mut servers = serde_json::Map::new();
        for replica in 0..2 {
            let port = 20_000 + 2 * service + replica;
            let zone = format!("z{}", 1 + service % zones);
            let name = format!("s{service}-{replica}");
            let address = format!("127.0.0.1:{port}");
            let entry = json!({"zone": zone, "address": address, "slots": 2, "connections": 4});
            servers.insert(name, entry);
        }
        entries.insert(format!("s{service}"), json!({"deadline_ms": 500, "servers": servers}));
    }
    json!({"version": version, "document": {"services": entries}})
}

impl TestZone {
    /// Creates `count` nodes in zone `z1` that start at the same time.
    pub fn new(count: usize, services: usize) -> Self {
        let mut zone = Self {
            now: BootTime::from_millis(1_000_000),
            store: Store::default(),
            nodes: Vec::new(),
            broken_links: Vec::new(),
            pending_events: VecDeque::new(),
        };
        zone.store.write(ObjectKind::Config, "current", config(1, services));
        for idx in 0..count {
            zone.add(options(idx, "z1"));
        }
        zone
    }

    pub fn add(&mut self, options: ControlOptions) {
        let address = options.peer_address;
        let state = ControlState::new(options, self.now);
        self.nodes.push(TestNode {
            state,
            address,
            alive: true,
            removed: false,
            reaches_store: true,
            replies_to_lose: 0,
            drains_immediately: true,
            effects: Vec::new(),
            stopped: false,
            bytes_sent: 0,
            bytes_received: 0,
            lease_calls: 0,
            watches: IndexMap::new(),
        });
    }

    /// Replaces a node by a new process at the same address.
    pub fn restart(&mut self, idx: usize, options: ControlOptions) {
        self.add(options);
        let restarted = self.nodes.pop().unwrap();
        self.nodes[idx] = restarted;
    }

    /// Stops a node for good and removes it from the VM list.
    pub fn remove(&mut self, idx: usize) {
        self.nodes[idx].alive = false;
        self.nodes[idx].removed = true;
        let address = self.nodes[idx].address.to_string();
        self.store.vms.retain(|vm| vm.address != address);
    }

    /// Advances the clock by `duration` in steps.
    pub fn run(&mut self, duration: Duration) {
        let end = self.now + duration;
        while self.now < end {
            self.now += STEP;
            self.report_changes();
            for idx in 0..self.nodes.len() {
                if self.nodes[idx].alive && self.nodes[idx].state.next_wakeup() <= self.now {
                    self.pending_events.push_back((idx, ControlEvent::Tick));
                }
            }
            self.process_events();
        }
    }

    pub fn send_event(&mut self, idx: usize, event: ControlEvent) {
        self.pending_events.push_back((idx, event));
        self.process_events();
    }

    fn report_changes(&mut self) {
        for idx in 0..self.nodes.len() {
            let node = &mut self.nodes[idx];
            for (kind, after) in &mut node.watches {
                let objects = self.store.objects.iter();
                for ((other, name), (version, value)) in objects {
                    if other != kind || version <= after || !node.reaches_store {
                        continue;
                    }
                    self.pending_events.push_back((
                        idx,
                        ControlEvent::Watched {
                            kind: *kind,
                            name: name.clone(),
                            version: ObjectVersion(*version),
                            value: Some(value.clone()),
                        },
                    ));
                }
                *after = if node.reaches_store { self.store.version } else { *after };
            }
        }
    }

    fn process_events(&mut self) {
        let mut events = 0;
        while let Some((idx, event)) = self.pending_events.pop_front() {
            events += 1;
            assert!(
                events < MAX_EVENTS_PER_STEP,
                "more than {MAX_EVENTS_PER_STEP} events in one step, last {event:?}"
            );
            let node = &mut self.nodes[idx];
            if !node.alive {
                continue;
            }
            let mut effects = Vec::new();
            node.state.handle(self.now, event, &mut effects);
            for effect in effects {
                self.perform(idx, effect);
            }
        }
    }

    fn perform(&mut self, idx: usize, effect: ControlEffect) {
        match effect {
            ControlEffect::Object { call, object } => {
                let result = self.call_store(idx, object);
                self.pending_events.push_back((idx, ControlEvent::ObjectReplied { call, result }));
            }
            ControlEffect::Send { call, to, message } => {
                let sent = encoded_len(&message);
                self.nodes[idx].bytes_sent += sent;
                let result = self.deliver(idx, to, message);
                if let Ok(reply) = &result {
                    self.nodes[idx].bytes_received += encoded_len(reply);
                }
                self.pending_events.push_back((idx, ControlEvent::Replied { call, result }));
            }
            ControlEffect::Watch { kind, after } => {
                self.nodes[idx].watches.insert(kind, after.0);
            }
            ControlEffect::Unwatch { kind } => {
                self.nodes[idx].watches.swap_remove(&kind);
            }
            ControlEffect::GrantReleasing { ref server } => {
                if self.nodes[idx].drains_immediately {
                    let server = server.clone();
                    self.pending_events
                        .push_back((idx, ControlEvent::ServerIdle { server, idle: true }));
                }
                self.nodes[idx].effects.push(effect);
            }
            ControlEffect::StopFinished => self.nodes[idx].stopped = true,
            other => self.nodes[idx].effects.push(other),
        }
    }

    fn call_store(&mut self, idx: usize, call: ObjectCall) -> Result<ObjectReply, StoreError> {
        let node = &mut self.nodes[idx];
        let is_lease_call = matches!(
            &call,
            ObjectCall::Get { kind: ObjectKind::Lease, .. }
                | ObjectCall::Put { kind: ObjectKind::Lease, .. }
        );
        node.lease_calls += u64::from(is_lease_call);
        if !node.reaches_store {
            return Err(StoreError::new(StoreErrorKind::NotSent, "the store is unreachable"));
        }
        let reply = self.store.call(call);
        if matches!(reply, ObjectReply::Written(_)) && node.replies_to_lose > 0 {
            node.replies_to_lose -= 1;
            return Err(StoreError::new(StoreErrorKind::AnswerLost, "the reply was lost"));
        }
        Ok(reply)
    }

    /// Delivers a message to its receiver and returns the reply immediately.
    fn deliver(
        &mut self,
        from: usize,
        to: SocketAddr,
        message: carobstep_wire::ControlMessage,
    ) -> Result<carobstep_wire::ControlReply, PeerFailure> {
        let Some(idx) = self.nodes.iter().position(|node| node.address == to) else {
            return Err(PeerFailure);
        };
        let broken = self.broken_links.contains(&(from.min(idx), from.max(idx)));
        if broken || !self.nodes[idx].alive || idx == from {
            return Err(PeerFailure);
        }
        self.nodes[idx].bytes_received += encoded_len(&message);
        let mut effects = Vec::new();
        let reply = carobstep_control::ReplyKey(0);
        let event = ControlEvent::Received { reply, message };
        self.nodes[idx].state.handle(self.now, event, &mut effects);
        let mut result = Err(PeerFailure);
        for effect in effects {
            match effect {
                ControlEffect::Answer { answer, .. } => {
                    self.nodes[idx].bytes_sent += encoded_len(&answer);
                    result = Ok(answer);
                }
                other => self.perform(idx, other),
            }
        }
        result
    }

    /// Returns the live nodes that may start a request to a server now.
    pub fn dispatchers(&self, name: &ServerName) -> Vec<usize> {
        let nodes = self.nodes.iter().enumerate().filter(|(_, node)| node.alive);
        let dispatchers = nodes.filter(|(_, node)| node.state.may_dispatch(self.now, name).is_ok());
        dispatchers.map(|(idx, _)| idx).collect()
    }

    /// Returns the number of grants that each node holds.
    pub fn loads(&self) -> Vec<usize> {
        self.nodes.iter().map(|node| node.state.held_grants().count()).collect()
    }
}

fn encoded_len<T: serde::Serialize>(message: &T) -> usize {
    bincode::serde::encode_to_vec(message, bincode::config::standard()).unwrap().len()
}

/// Returns the entry of a node in the platform's VM list.
pub fn entry_vm(idx: usize, zone: &str) -> VmRecord {
    VmRecord {
        name: format!("n{idx}"),
        zone: zone.to_owned(),
        role: carobstep_store::VmRole::Entry,
        state: carobstep_store::VmState::Live,
        address: address(idx).to_string(),
    }
}
