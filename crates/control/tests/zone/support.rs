//! Control states of a few nodes wired to an object store in memory, on a
//! clock that only moves when a test says so.

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

/// Step of the clock.
const STEP: Duration = Duration::from_millis(100);

/// Events of one step; more mean that a node retries without a pause.
const MAX_EVENTS_PER_STEP: usize = 100_000;

/// Objects with versions, as the platform keeps them.
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
                let items = objects.map(|((_, name), (at, value))| stored(name, *at, value));
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

/// One node and what a test does to it.
pub struct TestNode {
    pub state: ControlState,
    pub address: SocketAddr,
    pub alive: bool,
    /// Whether the process never comes back.
    pub removed: bool,
    pub reaches_store: bool,
    /// Writes that take effect although their answers are lost.
    pub answers_to_lose: u32,
    /// Whether servers become idle as soon as they are asked to drain.
    pub drains: bool,
    pub effects_seen: Vec<ControlEffect>,
    pub stopped: bool,
    pub bytes_sent: usize,
    pub bytes_received: usize,
    /// Calls to the store that named a lease, whether or not they arrived.
    pub lease_calls: u64,
    watches: IndexMap<ObjectKind, u64>,
}

/// Nodes, their store and the links between them.
pub struct TestZone {
    pub now: BootTime,
    pub store: Store,
    pub nodes: Vec<TestNode>,
    pub cut_links: Vec<(usize, usize)>,
    pending_events: VecDeque<(usize, ControlEvent)>,
}

pub fn name(at: usize) -> NodeName {
    NodeName::try_from(format!("n{at}")).unwrap()
}

pub fn server(text: &str) -> ServerName {
    ServerName::try_from(text).unwrap()
}

pub fn options(at: usize, zone: &str) -> ControlOptions {
    ControlOptions {
        node: name(at),
        zone: ZoneName::try_from(zone).unwrap(),
        region: "r1".to_owned(),
        peer_address: address(at),
        operators_address: address(at + 1000),
        incarnation: 1,
        seeds: (0..3).map(address).collect(),
        random_seed: at as u64,
        lease: LeaseTiming::default(),
        gossip: GossipTiming::default(),
        grant: GrantTiming::default(),
    }
}

pub fn address(at: usize) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 7000 + u16::try_from(at).unwrap()))
}

/// A configuration with `services` services of two servers each in zone `z1`.
pub fn config(version: u64, services: usize) -> Value {
    config_in(version, services, 1)
}

/// A configuration whose services take turns over `zones` zones from `z1` on.
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
    /// `count` nodes in zone `z1` that start together.
    pub fn new(count: usize, services: usize) -> Self {
        let mut zone = Self {
            now: BootTime::from_millis(1_000_000),
            store: Store::default(),
            nodes: Vec::new(),
            cut_links: Vec::new(),
            pending_events: VecDeque::new(),
        };
        zone.store.write(ObjectKind::Config, "current", config(1, services));
        for at in 0..count {
            zone.add(options(at, "z1"));
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
            answers_to_lose: 0,
            drains: true,
            effects_seen: Vec::new(),
            stopped: false,
            bytes_sent: 0,
            bytes_received: 0,
            lease_calls: 0,
            watches: IndexMap::new(),
        });
    }

    /// Replaces a node by a new process at the same address.
    pub fn restart(&mut self, at: usize, options: ControlOptions) {
        self.add(options);
        let fresh = self.nodes.pop().unwrap();
        self.nodes[at] = fresh;
    }

    /// Ends a node for good, and takes it off the VM list.
    pub fn remove(&mut self, at: usize) {
        self.nodes[at].alive = false;
        self.nodes[at].removed = true;
        let address = self.nodes[at].address.to_string();
        self.store.vms.retain(|vm| vm.address != address);
    }

    /// Lets time pass in steps.
    pub fn run(&mut self, span: Duration) {
        let end = self.now + span;
        while self.now < end {
            self.now += STEP;
            self.report_changes();
            for at in 0..self.nodes.len() {
                if self.nodes[at].alive && self.nodes[at].state.next_wakeup() <= self.now {
                    self.pending_events.push_back((at, ControlEvent::Tick));
                }
            }
            self.process_events();
        }
    }

    pub fn send_event(&mut self, at: usize, event: ControlEvent) {
        self.pending_events.push_back((at, event));
        self.process_events();
    }

    fn report_changes(&mut self) {
        for at in 0..self.nodes.len() {
            let node = &mut self.nodes[at];
            for (kind, after) in &mut node.watches {
                let objects = self.store.objects.iter();
                for ((other, name), (version, value)) in objects {
                    if other != kind || version <= after || !node.reaches_store {
                        continue;
                    }
                    self.pending_events.push_back((
                        at,
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
        while let Some((at, event)) = self.pending_events.pop_front() {
            events += 1;
            assert!(events < MAX_EVENTS_PER_STEP, "events lead to events without end: {event:?}");
            let node = &mut self.nodes[at];
            if !node.alive {
                continue;
            }
            let mut effects = Vec::new();
            node.state.handle(self.now, event, &mut effects);
            for effect in effects {
                self.perform(at, effect);
            }
        }
    }

    fn perform(&mut self, at: usize, effect: ControlEffect) {
        match effect {
            ControlEffect::Object { call, object } => {
                let result = self.call_store(at, object);
                self.pending_events.push_back((at, ControlEvent::ObjectAnswer { call, result }));
            }
            ControlEffect::Send { call, to, message } => {
                let sent = encoded_len(&message);
                self.nodes[at].bytes_sent += sent;
                let result = self.deliver(at, to, message);
                if let Ok(answer) = &result {
                    self.nodes[at].bytes_received += encoded_len(answer);
                }
                self.pending_events.push_back((at, ControlEvent::Replied { call, result }));
            }
            ControlEffect::Watch { kind, after } => {
                self.nodes[at].watches.insert(kind, after.0);
            }
            ControlEffect::Unwatch { kind } => {
                self.nodes[at].watches.swap_remove(&kind);
            }
            ControlEffect::GrantReleasing { ref server } => {
                if self.nodes[at].drains {
                    let server = server.clone();
                    self.pending_events
                        .push_back((at, ControlEvent::ServerIdle { server, idle: true }));
                }
                self.nodes[at].effects_seen.push(effect);
            }
            ControlEffect::StopFinished => self.nodes[at].stopped = true,
            other => self.nodes[at].effects_seen.push(other),
        }
    }

    fn call_store(&mut self, at: usize, call: ObjectCall) -> Result<ObjectReply, StoreError> {
        let node = &mut self.nodes[at];
        let is_lease_call = matches!(
            &call,
            ObjectCall::Get { kind: ObjectKind::Lease, .. }
                | ObjectCall::Put { kind: ObjectKind::Lease, .. }
        );
        node.lease_calls += u64::from(is_lease_call);
        if !node.reaches_store {
            return Err(StoreError::new(StoreErrorKind::NotSent, "cut"));
        }
        let reply = self.store.call(call);
        if matches!(reply, ObjectReply::Written(_)) && node.answers_to_lose > 0 {
            node.answers_to_lose -= 1;
            return Err(StoreError::new(StoreErrorKind::AnswerLost, "lost"));
        }
        Ok(reply)
    }

    /// Hands a message to its receiver, whose answer comes back at once.
    fn deliver(
        &mut self,
        from: usize,
        to: SocketAddr,
        message: carobstep_wire::ControlMessage,
    ) -> Result<carobstep_wire::ControlReply, PeerFailure> {
        let Some(at) = self.nodes.iter().position(|node| node.address == to) else {
            return Err(PeerFailure);
        };
        let cut = self.cut_links.contains(&(from.min(at), from.max(at)));
        if cut || !self.nodes[at].alive || at == from {
            return Err(PeerFailure);
        }
        self.nodes[at].bytes_received += encoded_len(&message);
        let mut effects = Vec::new();
        let reply = carobstep_control::ReplyKey(0);
        let event = ControlEvent::Received { reply, message };
        self.nodes[at].state.handle(self.now, event, &mut effects);
        let mut result = Err(PeerFailure);
        for effect in effects {
            match effect {
                ControlEffect::Answer { answer, .. } => {
                    self.nodes[at].bytes_sent += encoded_len(&answer);
                    result = Ok(answer);
                }
                other => self.perform(at, other),
            }
        }
        result
    }

    /// Nodes that may start a request to a server now, dead ones left out.
    pub fn dispatchers(&self, name: &ServerName) -> Vec<usize> {
        let nodes = self.nodes.iter().enumerate().filter(|(_, node)| node.alive);
        let dispatchers = nodes.filter(|(_, node)| node.state.may_dispatch(self.now, name).is_ok());
        dispatchers.map(|(at, _)| at).collect()
    }

    /// How many grants each node holds.
    pub fn loads(&self) -> Vec<usize> {
        self.nodes.iter().map(|node| node.state.held_grants().count()).collect()
    }
}

fn encoded_len<T: serde::Serialize>(message: &T) -> usize {
    bincode::serde::encode_to_vec(message, bincode::config::standard()).unwrap().len()
}

/// The entry of a node in the platform's VM list.
pub fn entry_vm(at: usize, zone: &str) -> VmRecord {
    VmRecord {
        name: format!("n{at}"),
        zone: zone.to_owned(),
        role: carobstep_store::VmRole::Entry,
        state: carobstep_store::VmState::Live,
        address: address(at).to_string(),
    }
}
