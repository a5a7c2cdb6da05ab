//! Drives the control state of one node and counts its costs.

use std::{
    collections::VecDeque,
    time::{Duration, Instant},
};

use carobstep_clock::BootTime;
use carobstep_control::{ControlEffect, ControlEvent, ControlOptions, ControlState, ReplyKey};
use carobstep_store::{
    ObjectCall, ObjectKind, ObjectReply, ObjectVersion, StoreError, StoreErrorKind, StoredObject,
};
use carobstep_wire::{
    ControlMessage, ControlReply, FetchReply, PeerReply, PeerRequest, UpdateNotice, VouchReply,
    encode,
};
use indexmap::IndexMap;
use serde_json::{Value, json};

use crate::fleet::{Fleet, ZONES, node_address, node_name, zone_name};

/// Processor time, messages and platform calls of a node.
#[derive(Clone, Debug, Default)]
pub struct NodeCosts {
    pub cpu: Duration,
    pub events: u64,
    pub messages_sent: u64,
    pub messages_received: u64,
    pub peer_bytes: u64,
    pub calls: IndexMap<String, u64>,
    pub platform_bytes: u64,
    pub route_changes: u64,
}

impl NodeCosts {
    pub fn call_count(&self) -> u64 {
        self.calls.values().sum()
    }
}

/// Control state of one node, with a simulated platform and simulated peers that
/// reply immediately.
pub struct NodeDriver {
    pub control: ControlState,
    pub now: BootTime,
    pub costs: NodeCosts,
    /// Whether the node has a watch open on the platform.
    pub watching: bool,
    /// Gossip digests that the node sent and that have not been delivered yet.
    pub sent_digests: Vec<ControlMessage>,
    /// The node's latest reply to a message.
    pub last_reply: Option<ControlReply>,
    /// Whether all calls to the platform fail.
    pub platform_down: bool,
    version: u64,
    grants: IndexMap<String, Value>,
    leases: IndexMap<String, Value>,
    config: Value,
    manifest: Value,
    vms: Vec<carobstep_store::VmRecord>,
}

impl NodeDriver {
    /// Builds a node that has not started yet.
    pub fn new(fleet: &Fleet, number: usize) -> Self {
        let now = BootTime::from_millis(1_000);
        let options = ControlOptions {
            node: node_name(number),
            zone: zone_name(number % ZONES),
            region: "perth".to_owned(),
            peer_address: node_address(number, 7100),
            operators_address: node_address(number, 7200),
            incarnation: 1,
            seeds: (0..4).map(|seed| node_address(seed, 7100)).collect(),
            random_seed: 7,
            lease: Default::default(),
            gossip: Default::default(),
            grant: Default::default(),
        };
        let mut leases = fleet.leases();
        leases.swap_remove(options.node.as_str());
        Self {
            control: ControlState::new(options, now),
            now,
            costs: NodeCosts::default(),
            watching: false,
            sent_digests: Vec::new(),
            last_reply: None,
            platform_down: false,
            version: 10_000,
            grants: fleet.grants(),
            leases,
            config: fleet.config(1),
            manifest: fleet.manifest(),
            vms: fleet.vms(),
        }
    }

    /// Handles one event, and replies to every call that results from it.
    pub fn handle(&mut self, event: ControlEvent) {
        let mut events = VecDeque::from([event]);
        while let Some(event) = events.pop_front() {
            let mut effects = Vec::new();
            let start = Instant::now();
            self.control.handle(self.now, event, &mut effects);
            let _due = self.control.next_wakeup();
            self.costs.cpu += start.elapsed();
            self.costs.events += 1;
            for effect in effects {
                events.extend(self.execute_effect(effect));
            }
        }
    }

    fn execute_effect(&mut self, effect: ControlEffect) -> Option<ControlEvent> {
        match effect {
            ControlEffect::Object { call, object } => {
                if self.platform_down {
                    self.count_call("failed".to_owned(), 0);
                    let error = StoreError::new(StoreErrorKind::NotSent, "down");
                    return Some(ControlEvent::ObjectReplied { call, result: Err(error) });
                }
                let reply = self.reply_as_platform(object);
                Some(ControlEvent::ObjectReplied { call, result: Ok(reply) })
            }
            ControlEffect::Send { call, message, .. } => {
                self.costs.messages_sent += 1;
                self.costs.peer_bytes += request_bytes(&message);
                let reply = self.reply_as_peer(message);
                self.costs.peer_bytes += reply_bytes(&reply);
                Some(ControlEvent::Replied { call, result: Ok(reply) })
            }
            ControlEffect::Answer { answer, .. } => {
                self.costs.peer_bytes += reply_bytes(&answer);
                self.last_reply = Some(answer);
                None
            }
            ControlEffect::Watch { kind, .. } => {
                if self.platform_down {
                    return Some(ControlEvent::WatchLost { kind });
                }
                self.watching = true;
                self.count_call(format!("watch {kind}"), 0);
                Some(ControlEvent::WatchOpened { kind })
            }
            ControlEffect::Unwatch { .. } => {
                self.watching = false;
                None
            }
            ControlEffect::RoutesChanged => {
                self.costs.route_changes += 1;
                None
            }
            _ => None,
        }
    }

    fn reply_as_peer(&mut self, message: ControlMessage) -> ControlReply {
        match message {
            ControlMessage::Gossip(_) => {
                self.sent_digests.push(message);
                ControlReply::Done
            }
            ControlMessage::Vouch(request) => {
                ControlReply::Vouch(VouchReply { round: request.round, vouched: true })
            }
            ControlMessage::Fetch(_) => ControlReply::Fetched(FetchReply {
                config: None,
                manifests: Vec::new(),
                tables: UpdateNotice::default(),
            }),
            ControlMessage::Close(_) | ControlMessage::News(_) => ControlReply::Done,
        }
    }

    fn count_call(&mut self, name: String, bytes: usize) {
        *self.costs.calls.entry(name).or_default() += 1;
        self.costs.platform_bytes += bytes as u64;
    }

    fn reply_as_platform(&mut self, call: ObjectCall) -> ObjectReply {
        match call {
            ObjectCall::Get { kind, name } => {
                let objects = self.objects(kind);
                let value = objects.get(&name).cloned();
                let bytes = value.as_ref().map_or(0, json_bytes);
                self.count_call(format!("get {kind}"), bytes);
                let version = ObjectVersion(1);
                value.map_or(ObjectReply::Missing, |value| {
                    ObjectReply::Found(StoredObject { name, version, value })
                })
            }
            ObjectCall::List { kind } => {
                let objects = self.objects(kind).clone();
                let bytes = objects.values().map(json_bytes).sum();
                self.count_call(format!("list {kind}"), bytes);
                let items = objects.into_iter().map(|(name, value)| StoredObject {
                    name,
                    version: ObjectVersion(1),
                    value,
                });
                let version = ObjectVersion(self.version);
                ObjectReply::Listed { version, items: items.collect() }
            }
            ObjectCall::Put { kind, name, value, .. } => {
                self.count_call(format!("put {kind}"), json_bytes(&value));
                self.version += 1;
                if kind == ObjectKind::Grant {
                    self.grants.insert(name, value);
                }
                ObjectReply::Written(ObjectVersion(self.version))
            }
            ObjectCall::Delete { .. } => ObjectReply::Deleted,
            ObjectCall::ListVms => {
                let bytes = serde_json::to_string(&self.vms).expect("a list").len();
                self.count_call("list vms".to_owned(), bytes);
                ObjectReply::Vms(self.vms.clone())
            }
        }
    }

    fn objects(&self, kind: ObjectKind) -> IndexMap<String, Value> {
        match kind {
            ObjectKind::Config => [("current".to_owned(), self.config.clone())].into(),
            ObjectKind::Manifest => [("garments".to_owned(), self.manifest.clone())].into(),
            ObjectKind::Grant => self.grants.clone(),
            ObjectKind::Lease => self.leases.clone(),
            _ => IndexMap::new(),
        }
    }

    /// Handles a message from a peer and counts its costs.
    pub fn receive(&mut self, message: ControlMessage) {
        self.costs.messages_received += 1;
        self.costs.peer_bytes += request_bytes(&message);
        self.handle(ControlEvent::Received { reply: ReplyKey(0), message });
    }

    /// Handles a message from a peer without counting its costs.
    pub fn receive_uncounted(&mut self, message: ControlMessage) {
        let costs = self.costs.clone();
        self.handle(ControlEvent::Received { reply: ReplyKey(0), message });
        self.costs = costs;
    }

    /// Advances the time to `until` and runs every wakeup that is due by then.
    pub fn run_until(&mut self, until: BootTime) {
        loop {
            let due = self.control.next_wakeup().max(self.now + Duration::from_millis(1));
            if due > until {
                break;
            }
            self.now = due;
            self.handle(ControlEvent::Tick);
        }
        self.now = until;
    }

    /// Returns the costs since the last call, and resets them.
    pub fn take_costs(&mut self) -> NodeCosts {
        std::mem::take(&mut self.costs)
    }
}

/// Returns the encoded size of a message in bytes, without framing.
pub fn request_bytes(message: &ControlMessage) -> u64 {
    encode(&PeerRequest::Control(message.clone())).expect("a frame").len() as u64
}

/// Returns the encoded size of a reply in bytes, without framing.
pub fn reply_bytes(reply: &ControlReply) -> u64 {
    encode(&PeerReply::Control(reply.clone())).expect("a frame").len() as u64
}

fn json_bytes(value: &Value) -> usize {
    json!(value).to_string().len()
}
