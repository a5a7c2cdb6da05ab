//! Prints the cost of one node's control state in deployments of three sizes:
//! 430 nodes with 1,700 backend servers, a quarter and a sixteenth of that. The
//! cost is processor time, messages, bytes, platform calls and memory.

mod driver;
mod fleet;
mod memory;

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use carobstep_config::{ConfigTopology, ConfigVersion, NodeName, ZoneName};
use carobstep_control::{ControlEvent, assign_servers};
use carobstep_dispatch::ServerRouter;
use carobstep_store::{ObjectKind, ObjectVersion};
use carobstep_wire::{ControlMessage, FetchRequest, UpdateNotice};

use driver::{NodeCosts, NodeDriver, reply_bytes, request_bytes};
use fleet::{Fleet, FleetSize, ZONES, node_name, peer, zone_name};

const SIZES: [FleetSize; 3] = [
    FleetSize { nodes: 27, servers: 106 },
    FleetSize { nodes: 108, servers: 425 },
    FleetSize { nodes: 430, servers: 1_700 },
];

/// Time for which the steady state is measured.
const STEADY_DURATION: Duration = Duration::from_secs(60);

/// Time for which a takeover is measured.
const TAKEOVER_DURATION: Duration = Duration::from_secs(30);

/// Number of runs of each short measurement, of which the shortest is reported.
const ROUNDS: usize = 20;

/// The measured node, a peer in its zone and a peer in another zone.
struct NodeGroup {
    node: NodeDriver,
    zone_peer: NodeDriver,
    remote_peer: NodeDriver,
    heartbeat: u64,
    largest_digests: DigestBytes,
}

/// Sizes of the largest gossip digests that the node sent, in bytes.
#[derive(Clone, Copy, Default)]
struct DigestBytes {
    in_zone: u64,
    cross_zone: u64,
}

impl NodeGroup {
    fn new(fleet: &Fleet, number: usize) -> Self {
        let zone_peer = if number == 0 { ZONES } else { 0 };
        Self {
            node: NodeDriver::new(fleet, number),
            zone_peer: NodeDriver::new(fleet, zone_peer),
            remote_peer: NodeDriver::new(fleet, 1),
            heartbeat: 1,
            largest_digests: DigestBytes::default(),
        }
    }

    /// Simulates one second. Nodes for which `is_silent` holds send no heartbeat.
    fn run_second(&mut self, fleet: &Fleet, is_silent: &dyn Fn(&NodeName, &ZoneName) -> bool) {
        self.heartbeat += 1;
        let mut peers = fleet.peers(self.heartbeat);
        peers.retain(|peer| !is_silent(&peer.node, &peer.zone));
        let notice = UpdateNotice { peers, ..UpdateNotice::default() };
        for driver in [&mut self.node, &mut self.zone_peer, &mut self.remote_peer] {
            driver.handle(ControlEvent::Tick);
            driver.receive_uncounted(ControlMessage::News(notice.clone()));
            driver.run_until(driver.now + Duration::from_secs(1));
        }
        self.exchange_gossip();
    }

    /// Delivers every gossip digest that was sent, and the reply to it.
    fn exchange_gossip(&mut self) {
        for message in std::mem::take(&mut self.node.sent_digests) {
            let bytes = request_bytes(&message);
            let is_remote = is_cross_zone(&message);
            let digests = &mut self.largest_digests;
            let largest = if is_remote { &mut digests.cross_zone } else { &mut digests.in_zone };
            *largest = bytes.max(*largest);
            let peer = if is_remote { &mut self.remote_peer } else { &mut self.zone_peer };
            exchange_digest(&mut self.node, peer, message);
        }
        for message in std::mem::take(&mut self.zone_peer.sent_digests) {
            if !is_cross_zone(&message) {
                self.node.receive(message);
            }
        }
        for (position, message) in
            std::mem::take(&mut self.remote_peer.sent_digests).into_iter().enumerate()
        {
            if position == 0 && is_cross_zone(&message) {
                self.node.receive(message);
            }
        }
    }

    /// Simulates some seconds in which every node sends heartbeats.
    fn run_seconds(&mut self, fleet: &Fleet, seconds: u32) {
        for _ in 0..seconds {
            self.run_second(fleet, &|_, _| false);
        }
    }
}

/// Whether a message is a digest for another zone. Such a digest carries the
/// records of its sender's zone and no heartbeats.
fn is_cross_zone(message: &ControlMessage) -> bool {
    matches!(message, ControlMessage::Gossip(digest) if digest.beats.is_empty())
}

/// Delivers a digest of `node` to `peer`, and the reply to `node`.
fn exchange_digest(node: &mut NodeDriver, peer: &mut NodeDriver, message: ControlMessage) {
    peer.receive(message);
    if let Some(carobstep_wire::ControlReply::Gossip(digest)) = peer.last_reply.take() {
        node.costs.peer_bytes += reply_bytes(&carobstep_wire::ControlReply::Gossip(digest.clone()));
        node.handle_digest(digest);
    }
}

impl NodeDriver {
    /// Handles a digest that arrived as a reply like a received one. The reply that
    /// this produces is not sent, so its bytes are not counted.
    fn handle_digest(&mut self, digest: carobstep_wire::GossipDigest) {
        let bytes = self.costs.peer_bytes;
        self.handle(ControlEvent::Received {
            reply: carobstep_control::ReplyKey(0),
            message: ControlMessage::Gossip(digest),
        });
        self.costs.peer_bytes = bytes;
    }
}

fn print_costs(label: &str, costs: &NodeCosts, seconds: f64) {
    println!(
        "  {label}: {:.0} us CPU, {} events, {} messages sent, {} received, {} peer bytes, \
         {} platform calls, {} platform bytes, {} route changes; \
         per second {:.1} us, {:.0} peer bytes, {:.2} calls, {:.0} platform bytes",
        micros(costs.cpu),
        costs.events,
        costs.messages_sent,
        costs.messages_received,
        costs.peer_bytes,
        costs.call_count(),
        costs.platform_bytes,
        costs.route_changes,
        micros(costs.cpu) / seconds,
        costs.peer_bytes as f64 / seconds,
        costs.call_count() as f64 / seconds,
        costs.platform_bytes as f64 / seconds,
    );
    println!("    calls: {:?}", costs.calls);
}

fn micros(span: Duration) -> f64 {
    span.as_secs_f64() * 1e6
}

fn shortest_run(mut run: impl FnMut()) -> f64 {
    let mut shortest = Duration::MAX;
    for _ in 0..ROUNDS {
        let start = Instant::now();
        run();
        shortest = shortest.min(start.elapsed());
    }
    micros(shortest)
}

/// Measures the start and the steady state of a node, whose role is to watch the
/// platform or not.
fn measure_role(fleet: &Fleet, number: usize) -> NodeGroup {
    let mut group = NodeGroup::new(fleet, number);
    group.run_seconds(fleet, 12);
    let start = group.node.take_costs();
    let role = if group.node.watching { "watcher" } else { "non-watcher" };
    print_costs(&format!("{role} start, 12 s"), &start, 12.0);
    group.run_seconds(fleet, 10);
    group.node.take_costs();
    group.run_seconds(fleet, STEADY_DURATION.as_secs() as u32);
    let steady = group.node.take_costs();
    print_costs(&format!("{role} steady, 60 s"), &steady, STEADY_DURATION.as_secs_f64());
    group
}

/// Prints the size of the largest digests within five seconds.
fn measure_digests(group: &mut NodeGroup, fleet: &Fleet, label: &str) {
    group.largest_digests = DigestBytes::default();
    group.run_seconds(fleet, 5);
    let DigestBytes { in_zone, cross_zone } = group.largest_digests;
    println!("  digest {label}: {in_zone} B in the zone, {cross_zone} B to another zone");
}

fn measure_gossip(group: &mut NodeGroup, fleet: &Fleet) {
    group.run_seconds(fleet, 10);
    group.zone_peer.run_until(group.zone_peer.now + Duration::from_secs(1));
    let digest =
        group.zone_peer.sent_digests.iter().find(|message| !is_cross_zone(message)).cloned();
    let Some(digest) = digest else { return };
    let received = shortest_run(|| group.node.receive(digest.clone()));
    let tick = shortest_run(|| group.node.handle(ControlEvent::Tick));
    println!("  CPU: digest received and answered {received:.1} us, idle tick {tick:.1} us");
}

fn measure_fetch(group: &mut NodeGroup) {
    let request = FetchRequest {
        config: ConfigVersion(0),
        manifests: Vec::new(),
        peers: true,
        grant_buckets: (0..16).collect(),
    };
    let config_only = FetchRequest { peers: false, grant_buckets: Vec::new(), ..request.clone() };
    let one_bucket = FetchRequest {
        config: ConfigVersion(u64::MAX),
        peers: false,
        grant_buckets: vec![3],
        ..request.clone()
    };
    for (label, request) in
        [("everything", request), ("config and manifests", config_only), ("one bucket", one_bucket)]
    {
        group.node.last_reply = None;
        let cpu = shortest_run(|| group.node.receive(ControlMessage::Fetch(request.clone())));
        let bytes = group.node.last_reply.as_ref().map_or(0, reply_bytes);
        println!("  fetch of {label}: {bytes} B, {cpu:.0} us with encoding");
    }
}

/// Measures the cost of a configuration change for control state, router and
/// routes.
fn measure_config(group: &mut NodeGroup, fleet: &Fleet) {
    group.node.take_costs();
    let mut version = 1;
    let control = shortest_run(|| {
        version += 1;
        let (kind, name) = (ObjectKind::Config, "current".to_owned());
        let value = Some(fleet.config(version));
        let version = ObjectVersion(100_000 + version);
        group.node.take_costs();
        group.node.handle(ControlEvent::Watched { kind, name, version, value });
        group.node.costs.cpu = group.node.costs.cpu.min(Duration::from_secs(1));
    });
    let control_only = micros(group.node.costs.cpu);
    let topology = Arc::new(fleet.topology.clone());
    let mut router = ServerRouter::new(topology.clone(), "zone-00", 1, group.node.now);
    let routed = shortest_run(|| router.set_topology(group.node.now, topology.clone()));
    let bytes = fleet.config(1).to_string().len();
    println!(
        "  configuration of {bytes} B applied: {control_only:.0} us control ({control:.0} us with \
         building the value), {routed:.0} us router"
    );
    let rebuild = shortest_run(|| rebuild_routes(group, &topology, &mut router));
    println!("  route table rebuild: {rebuild:.0} us");
}

fn rebuild_routes(group: &NodeGroup, topology: &ConfigTopology, router: &mut ServerRouter) {
    let mut routes = Vec::new();
    for (key, server) in topology.servers() {
        router.set_leaving(group.node.now, key, false);
        routes.push(group.node.control.holder_of(&server.name));
    }
}

/// Prints how many servers move when a node is removed. Returns the pair of
/// a removed node and a successor where the successor acquires the most servers.
fn measure_moves(fleet: &Fleet) -> Option<(NodeName, NodeName)> {
    let nodes = fleet.zone_nodes(0);
    let (mut held, mut moved) = (0, 0);
    let mut best = (0, None);
    for removed in &nodes {
        let rest: Vec<NodeName> = nodes.iter().filter(|node| *node != removed).cloned().collect();
        let after = assign_servers(&fleet.topology, &zone_name(0), &rest);
        let changed = after.iter().filter(|(server, node)| fleet.holders[*server] != **node);
        moved += changed.count();
        for successor in &rest {
            let acquired = after
                .iter()
                .filter(|(server, node)| *node == successor && fleet.holders[*server] == *removed)
                .count();
            if acquired > best.0 {
                best = (acquired, Some((removed.clone(), successor.clone())));
            }
        }
        held += fleet.holders.values().filter(|node| *node == removed).count();
    }
    println!(
        "  node removed: holds {:.1} servers, moves {:.1} grants",
        held as f64 / nodes.len() as f64,
        moved as f64 / nodes.len() as f64
    );
    best.1
}

/// Measures a node while it takes over the servers of a node that has stopped
/// sending heartbeats.
fn measure_takeover(fleet: &Fleet) {
    let Some((removed, successor)) = measure_moves(fleet) else { return };
    let number = (0..fleet.size.nodes).find(|number| node_name(*number) == successor).unwrap_or(0);
    let mut group = NodeGroup::new(fleet, number);
    group.run_seconds(fleet, 22);
    group.node.take_costs();
    let held_before = group.node.control.held_grants().count();
    let mut seconds = 0;
    let mut largest = Duration::ZERO;
    while seconds < TAKEOVER_DURATION.as_secs() {
        let before = group.node.costs.cpu;
        group.run_second(fleet, &|node, _| *node == removed);
        largest = largest.max(group.node.costs.cpu - before);
        seconds += 1;
    }
    let costs = group.node.take_costs();
    let held_after = group.node.control.held_grants().count();
    print_costs("takeover of a silent node, 30 s", &costs, TAKEOVER_DURATION.as_secs_f64());
    println!(
        "    holds {held_before} before, {held_after} after; busiest second {:.0} us",
        micros(largest)
    );
    measure_digests(&mut group, fleet, "after a takeover");
}

/// Measures an outage of the platform that is longer than the lease term, and
/// the recovery from it.
fn measure_outage(fleet: &Fleet) {
    let mut group = NodeGroup::new(fleet, 0);
    group.run_seconds(fleet, 22);
    for driver in [&mut group.node, &mut group.zone_peer, &mut group.remote_peer] {
        driver.platform_down = true;
        driver.handle(ControlEvent::WatchLost { kind: ObjectKind::Config });
        driver.handle(ControlEvent::WatchLost { kind: ObjectKind::Manifest });
        driver.handle(ControlEvent::WatchLost { kind: ObjectKind::Grant });
    }
    group.run_seconds(fleet, 20);
    group.node.take_costs();
    group.run_seconds(fleet, 60);
    print_costs("platform down, 60 s", &group.node.take_costs(), 60.0);
    for driver in [&mut group.node, &mut group.zone_peer, &mut group.remote_peer] {
        driver.platform_down = false;
    }
    group.run_seconds(fleet, 10);
    print_costs("platform back, 10 s", &group.node.take_costs(), 10.0);
}

/// Measures the replacement of all nodes of another zone at the same time.
fn measure_zone_return(fleet: &Fleet) {
    let mut group = NodeGroup::new(fleet, 0);
    group.run_seconds(fleet, 22);
    group.largest_digests = DigestBytes::default();
    for _ in 0..20 {
        group.run_second(fleet, &|_, zone| *zone == zone_name(2));
    }
    group.node.take_costs();
    println!(
        "  digest 20 s after a zone fell silent: {} B in the zone, {} B to another zone",
        group.largest_digests.in_zone, group.largest_digests.cross_zone
    );
    let peers = (0..fleet.size.nodes).filter(|number| number % ZONES == 2);
    let peers: Vec<_> = peers
        .map(|number| carobstep_wire::PeerRecord { incarnation: 2, ..peer(number, 1) })
        .collect();
    let notice = UpdateNotice { peers, ..UpdateNotice::default() };
    group.node.receive(ControlMessage::News(notice));
    let moved = fleet.holders.iter().filter(|(_, node)| node.as_str().starts_with("entry-02"));
    for (position, (server, node)) in moved.enumerate() {
        let grant = carobstep_wire::GrantNotice {
            server: server.clone(),
            holder: Some(node.clone()),
            incarnation: 2,
            epoch: 2,
            version: 50_000 + position as u64,
        };
        let grants = vec![grant];
        group
            .node
            .receive(ControlMessage::News(UpdateNotice { grants, ..UpdateNotice::default() }));
    }
    let costs = group.node.take_costs();
    print_costs("another zone replaced at once", &costs, 1.0);
    measure_digests(&mut group, fleet, "while another zone is replaced");
}

/// Prints the sizes of the platform's objects, in bytes.
fn print_objects(fleet: &Fleet) {
    let sum = |objects: indexmap::IndexMap<String, serde_json::Value>| -> usize {
        objects.values().map(|value| value.to_string().len()).sum()
    };
    let (grants, leases) = (sum(fleet.grants()), sum(fleet.leases()));
    let vms = serde_json::json!(fleet.vms()).to_string().len();
    println!(
        "  objects: configuration {} B, grants {grants} B, leases {leases} B, VM list {vms} B",
        fleet.config(1).to_string().len()
    );
}

fn main() {
    for size in SIZES {
        memory::measure(&Fleet::new(size));
    }
    for size in SIZES {
        let fleet = Fleet::new(size);
        println!("{} nodes, {} servers, {ZONES} zones", size.nodes, size.servers);
        print_objects(&fleet);
        let zone = (0..size.nodes).filter(|number| number % ZONES == 0);
        let mut roles = [false; 2];
        for number in zone {
            let mut probe = NodeGroup::new(&fleet, number);
            probe.run_seconds(&fleet, 8);
            let role = usize::from(probe.node.watching);
            if std::mem::replace(&mut roles[role], true) {
                continue;
            }
            let mut group = measure_role(&fleet, number);
            if role == 0 {
                measure_digests(&mut group, &fleet, "steady");
                measure_gossip(&mut group, &fleet);
                measure_fetch(&mut group);
                measure_config(&mut group, &fleet);
            }
            if roles == [true; 2] {
                break;
            }
        }
        measure_takeover(&fleet);
        measure_zone_return(&fleet);
        measure_outage(&fleet);
    }
}
